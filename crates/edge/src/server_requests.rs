//! Requests to media servers on pooled connections: segments, steps of rung and probes.

use crate::connections::{ConnectionId, RequestKind, Role, ServerRequest};
use crate::http;
use crate::segment_read::Head;
use crate::sessions::{Answer, Life};
use pulleystair_admission::read_retries::{self, ReadAction};
use std::io;
use tracing::debug;

use crate::state::{EdgeState, Timer, text_answer};

impl EdgeState {
    /// Where a server has a play's so-many-th allocation: its name is never used again, by this run or another.
    pub(crate) fn allocation(&self, play: u64, n: usize) -> String {
        format!("/plays/{}-{play}-{n}", self.run_id)
    }

    pub(crate) fn request_to(&self, server: u32, method: &str, target: &str, body: &str) -> Vec<u8> {
        let address = self.servers[server as usize].address;
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n{body}").into_bytes()
    }

    pub(crate) fn dial(&mut self, server: u32, role: Role) -> io::Result<ConnectionId> {
        let address = self.servers[server as usize].address;
        let stream = pulleystair_connections::connect(address)?;
        let seal = match &self.tls.servers {
            Some(sealed) => {
                let name =
                    rustls::pki_types::ServerName::try_from(self.servers[server as usize].name.clone());
                let name = name.map_err(io::Error::other)?;
                let seal = rustls::ClientConnection::new(sealed.config.clone(), name);
                Some(seal.map_err(io::Error::other)?.into())
            }
            None => None,
        };
        self.connections.open(stream, seal, role)
    }

    /// Has the errand run on an idle connection, a new one, or once one comes free.
    pub(crate) fn run_request(&mut self, server: u32, errand: ServerRequest) {
        let at = &mut self.servers[server as usize];
        if let Some(key) = at.idle_connections.pop() {
            self.open_requests += 1;
            return self.begin(key, errand);
        }
        let limits = &self.config.limits;
        if at.connection_count >= limits.server_connections {
            if at.waiting_requests.len() < limits.server_queue {
                self.open_requests += 1;
                return at.waiting_requests.push_back(errand);
            }
            return self.abandon_request(errand, 503, "too many requests wait for the server");
        }
        self.open_requests += 1;
        self.run_on_new_connection(server, errand);
    }

    /// False where it can't be had; the errand is lost then.
    pub(crate) fn run_on_new_connection(&mut self, server: u32, errand: ServerRequest) -> bool {
        match self.dial(server, Role::ServerPool { server, errand: None, fresh: true }) {
            Ok(key) => {
                self.servers[server as usize].connection_count += 1;
                self.begin(key, errand);
                true
            }
            Err(e) => {
                debug!(target: "server", server = self.server_name(server), "not reached: {e}");
                self.open_requests -= 1;
                self.abandon_request(errand, 502, "the media server can't be reached");
                false
            }
        }
    }

    pub(crate) fn begin(&mut self, key: ConnectionId, it: ServerRequest) {
        if let RequestKind::Segment { player, .. } = it.kind {
            self.fetch_connections.insert(player, key);
        }
        let due = self.now() + self.config.limits.segment_ms;
        if let Some(line) = self.connections.get_mut(key)
            && let Role::ServerPool { errand, .. } = &mut line.role
        {
            // What is wanted of it goes before the empty line that ends the head.
            let wanted = it.segment_read.as_ref().map(|r| r.headers()).unwrap_or_default();
            let (head, end) = it.request.split_at(it.request.len() - if wanted.is_empty() { 0 } else { 2 });
            let request = [head, wanted.as_bytes(), end].concat();
            *errand = Some(it);
            line.write(&request);
            line.flush();
        }
        self.set_connection_deadline(key, due);
    }

    /// An errand is over: the next that waits has its turn.
    pub(crate) fn on_request_done(&mut self, server: u32) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.take_turns(server);
    }

    /// Has those that wait for a connection run until one of them has one. A read whose player is gone is not begun.
    fn take_turns(&mut self, server: u32) {
        while let Some(errand) = self.servers[server as usize].waiting_requests.pop_front() {
            self.open_requests -= 1;
            if let RequestKind::Segment { player, .. } = errand.kind
                && self.connections.get_mut(player).is_none()
            {
                continue;
            }
            self.run_request(server, errand);
            if self.servers[server as usize].connection_count > 0 {
                return;
            }
        }
    }

    /// Closes a pooled connection; an errand that it is on is no longer wanted.
    pub(crate) fn close_pooled_connection(&mut self, key: ConnectionId) {
        if let Some(Role::ServerPool { server, errand, .. }) = self.connections.close(key) {
            let at = &mut self.servers[server as usize];
            at.connection_count -= 1;
            at.idle_connections.retain(|k| *k != key);
            if let Some(errand) = errand {
                self.on_request_done(server);
                self.rung_was_told(errand.kind, true);
            }
        }
    }

    /// The errand got no answer, or not all of it. A segment's read may go on, on a new connection; a word or a
    /// probe only if it was sent on a connection that the server had closed meanwhile.
    pub(crate) fn on_request_failed(&mut self, key: ConnectionId, fault: read_retries::ReadError) {
        let Some(Role::ServerPool { server, errand, fresh }) = self.connections.close(key) else { return };
        let now = self.now();
        let at = &mut self.servers[server as usize];
        at.connection_count -= 1;
        at.idle_connections.retain(|k| *k != key);
        let Some(mut errand) = errand else { return };
        let begun = errand.left.is_some();
        let stale = !fresh
            && !begun
            && matches!(fault, read_retries::ReadError::Broken | read_retries::ReadError::Unreachable);
        let fault = if stale { read_retries::ReadError::Stale } else { fault };
        let next = match &errand.segment_read {
            Some(reading) => {
                at.retry_budget.next_action(now, &self.config.reads.retry_config(), &reading.so_far(), fault)
            }
            None if stale => ReadAction::Again { from: 0 },
            None => ReadAction::Answer(502),
        };
        debug!(target: "server", server = self.server_name(server), what = ?errand.kind, ?fault, ?next, "errand failed");
        match next {
            ReadAction::Again { .. } => {
                errand.left = None;
                if let Some(reading) = errand.segment_read.as_mut().filter(|_| !stale) {
                    reading.tries += 1;
                }
                // It goes on as the same errand, so nothing else takes its turn, unless it has come to its end.
                if !self.run_on_new_connection(server, errand) {
                    self.take_turns(server);
                }
                return;
            }
            ReadAction::Answer(status) => {
                self.abandon_request(errand, status, "the media server did not answer well")
            }
            ReadAction::Cut => {
                if let RequestKind::Segment { player, .. } = errand.kind {
                    self.player_cut(player);
                }
            }
        }
        self.on_request_done(server);
    }

    /// So many bytes of the read on this connection have gone to its player.
    pub(crate) fn gave(&mut self, key: ConnectionId, bytes: u64) {
        if let Some(line) = self.connections.get_mut(key)
            && let Role::ServerPool {
                errand: Some(ServerRequest { segment_read: Some(reading), .. }), ..
            } = &mut line.role
        {
            reading.gave(bytes);
        }
    }

    /// A segment that broke off in the middle: its connection is closed, so that the player sees it is short.
    pub(crate) fn player_cut(&mut self, player: ConnectionId) {
        self.fetch_connections.remove(&player);
        self.player_gone(player);
    }

    /// The errand is given up; a player that waits for it is told, or cut off where a part had gone out.
    pub(crate) fn abandon_request(&mut self, errand: ServerRequest, status: u16, why: &str) {
        self.rung_was_told(errand.kind, false);
        let RequestKind::Segment { player, play, .. } = errand.kind else { return };
        if errand.segment_read.is_some_and(|r| r.so_far().bytes_relayed.is_some()) {
            return self.player_cut(player);
        }
        let over = self.sessions.get(play).is_none_or(|s| s.life() != Life::Playing);
        let answer = match status {
            _ if over => text_answer(410, "this session has ended"),
            503 => self.away(why),
            _ => text_answer(status, why),
        };
        self.segment_answer(player, play, &answer);
    }

    pub(crate) fn segment_answer(&mut self, player: ConnectionId, play: u64, answer: &Answer) {
        self.fetch_connections.remove(&player);
        // A player that is gone was counted off when it went.
        if self.connections.get_mut(player).is_none() {
            return;
        }
        if let Some(session) = self.sessions.get_mut(play) {
            session.fetching = session.fetching.saturating_sub(1);
        }
        self.answer(player, answer);
    }

    /// Tells the server of a play the rung that it now has. One whose set-up is still out is told once it plays: a
    /// word that overtakes the set-up would find no play there.
    pub(crate) fn tell_rung(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        let (Life::Playing, Some(server), n) = (session.life(), session.server, session.allocation_count())
        else {
            return;
        };
        let rung = session.rung;
        if session.told == Some(rung) || session.telling {
            return;
        }
        (session.told, session.telling) = (Some(rung), true);
        let target = self.allocation(play, n);
        let request = self.request_to(server, "PATCH", &target, &format!("{{\"rung\":{rung}}}"));
        self.run_request(server, ServerRequest::new(RequestKind::Step { play }, request));
    }

    /// The word of a step is under way no more: a step that came meanwhile is told now, and one that was not answered
    /// again after a while, since the server may still run the play on the rung before.
    pub(crate) fn rung_was_told(&mut self, what: RequestKind, answered: bool) {
        let RequestKind::Step { play } = what else { return };
        let again = self.now() + self.config.limits.segment_ms;
        let Some(session) = self.sessions.get_mut(play) else { return };
        session.telling = !answered;
        if answered {
            self.tell_rung(play);
        } else {
            self.schedule(again, Timer::RungRetry(play));
        }
    }

    /// The time to tell a lost step again has come.
    pub(crate) fn rung_due(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        (session.told, session.telling) = (None, false);
        self.tell_rung(play);
    }

    pub(crate) fn segment_head(&mut self, player: ConnectionId, play: u64, of: &Head) {
        let Some(session) = self.sessions.get(play) else { return };
        let product = &self.config.products[session.product];
        let kbps = (self.config.ladder[session.rung].rate_kb * product.scale * 8.0).ceil() as u64;
        // CTA-5006: the maximum suggested bitrate, kbit/s.
        let mut more =
            vec!["Content-Type: video/mp4".to_string(), format!("CMSD-Dynamic: \"pulleystair\";mb={kbps}")];
        more.push("Accept-Ranges: bytes".into());
        // Its address holds the viewer's pass: nobody else's cache is to keep it, and not beyond the pass.
        let keep = (self.config.limits.pass_ms / 1000.0) as u64;
        more.push(format!("Cache-Control: private, max-age={keep}"));
        more.extend(of.tag.iter().map(|tag| format!("ETag: {tag}")));
        if let Some((first, last, whole)) = of.range {
            more.push(format!("Content-Range: bytes {first}-{last}/{whole}"));
        }
        let limits = &self.config.limits;
        let due = self.now() + limits.slow_reader_ms + of.length as f64 / limits.slow_reader_kb;
        let Some(line) = self.connections.get_mut(player) else { return };
        let mut out = Vec::new();
        http::write_response_head(&mut out, of.status, of.length, !line.options.close, &more);
        line.write(&out);
        self.set_connection_deadline(player, due);
    }
}
