//! Requests to media servers on pooled connections: segments, steps of rung and probes.

use crate::connections::{ConnectionId, Errand, Role, What};
use crate::http;
use crate::segment_read::Head;
use crate::sessions::{Final, Life};
use pulleystair_admission::read_retries::{self, ReadAction};
use std::io;
use tracing::debug;

use crate::floor::{Clock, Floor, words};

impl Floor {
    /// Where a server has a play's so-many-th allocation: its name is never used again, by this run or another.
    pub(crate) fn allocation(&self, play: u64, n: usize) -> String {
        format!("/plays/{}-{play}-{n}", self.run)
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
        let seal = match &self.seals.servers {
            Some(sealed) => {
                let name =
                    rustls::pki_types::ServerName::try_from(self.servers[server as usize].name.clone());
                let name = name.map_err(io::Error::other)?;
                let seal = rustls::ClientConnection::new(sealed.config.clone(), name);
                Some(seal.map_err(io::Error::other)?.into())
            }
            None => None,
        };
        self.lines.open(stream, seal, role)
    }

    /// Has the errand run on an idle connection, a new one, or once one comes free.
    pub(crate) fn run_errand(&mut self, server: u32, errand: Errand) {
        let at = &mut self.servers[server as usize];
        if let Some(key) = at.idle.pop() {
            self.errands_out += 1;
            return self.begin(key, errand);
        }
        let limits = &self.rundown.limits;
        if at.lines >= limits.server_connections {
            if at.queue.len() < limits.server_queue {
                self.errands_out += 1;
                return at.queue.push_back(errand);
            }
            return self.errand_lost(errand, 503, "too many requests wait for the server");
        }
        self.errands_out += 1;
        self.on_new_line(server, errand);
    }

    /// False where it can't be had; the errand is lost then.
    pub(crate) fn on_new_line(&mut self, server: u32, errand: Errand) -> bool {
        match self.dial(server, Role::Errands { server, errand: None, fresh: true }) {
            Ok(key) => {
                self.servers[server as usize].lines += 1;
                self.begin(key, errand);
                true
            }
            Err(e) => {
                debug!(target: "server", server = self.name(server), "not reached: {e}");
                self.errands_out -= 1;
                self.errand_lost(errand, 502, "the media server can't be reached");
                false
            }
        }
    }

    pub(crate) fn begin(&mut self, key: ConnectionId, it: Errand) {
        if let What::Segment { player, .. } = it.what {
            self.fetchers.insert(player, key);
        }
        let due = self.now() + self.rundown.limits.segment_ms;
        if let Some(line) = self.lines.get_mut(key)
            && let Role::Errands { errand, .. } = &mut line.role
        {
            // What is wanted of it goes before the empty line that ends the head.
            let wanted = it.reading.as_ref().map(|r| r.headers()).unwrap_or_default();
            let (head, end) = it.request.split_at(it.request.len() - if wanted.is_empty() { 0 } else { 2 });
            let request = [head, wanted.as_bytes(), end].concat();
            *errand = Some(it);
            line.write(&request);
            line.flush();
        }
        self.set_due(key, due);
    }

    /// An errand is over: the next that waits has its turn.
    pub(crate) fn next_errand(&mut self, server: u32) {
        self.errands_out = self.errands_out.saturating_sub(1);
        self.take_turns(server);
    }

    /// Has those that wait for a connection run until one of them has one. A read whose player is gone is not begun.
    fn take_turns(&mut self, server: u32) {
        while let Some(errand) = self.servers[server as usize].queue.pop_front() {
            self.errands_out -= 1;
            if let What::Segment { player, .. } = errand.what
                && self.lines.get_mut(player).is_none()
            {
                continue;
            }
            self.run_errand(server, errand);
            if self.servers[server as usize].lines > 0 {
                return;
            }
        }
    }

    /// Closes a pooled connection; an errand that it is on is no longer wanted.
    pub(crate) fn drop_errands_line(&mut self, key: ConnectionId) {
        if let Some(Role::Errands { server, errand, .. }) = self.lines.close(key) {
            let at = &mut self.servers[server as usize];
            at.lines -= 1;
            at.idle.retain(|k| *k != key);
            if let Some(errand) = errand {
                self.next_errand(server);
                self.rung_was_told(errand.what, true);
            }
        }
    }

    /// The errand got no answer, or not all of it. A segment's read may go on, on a new connection; a word or a
    /// probe only if it was sent on a connection that the server had closed meanwhile.
    pub(crate) fn errand_failed(&mut self, key: ConnectionId, fault: read_retries::ReadError) {
        let Some(Role::Errands { server, errand, fresh }) = self.lines.close(key) else { return };
        let now = self.now();
        let at = &mut self.servers[server as usize];
        at.lines -= 1;
        at.idle.retain(|k| *k != key);
        let Some(mut errand) = errand else { return };
        let begun = errand.left.is_some();
        let stale = !fresh
            && !begun
            && matches!(fault, read_retries::ReadError::Broken | read_retries::ReadError::Unreachable);
        let fault = if stale { read_retries::ReadError::Stale } else { fault };
        let next = match &errand.reading {
            Some(reading) => {
                at.budget.next_action(now, &self.rundown.reads.retry_config(), &reading.so_far(), fault)
            }
            None if stale => ReadAction::Again { from: 0 },
            None => ReadAction::Answer(502),
        };
        debug!(target: "server", server = self.name(server), what = ?errand.what, ?fault, ?next, "errand failed");
        match next {
            ReadAction::Again { .. } => {
                errand.left = None;
                if let Some(reading) = errand.reading.as_mut().filter(|_| !stale) {
                    reading.tries += 1;
                }
                // It goes on as the same errand, so nothing else takes its turn, unless it has come to its end.
                if !self.on_new_line(server, errand) {
                    self.take_turns(server);
                }
                return;
            }
            ReadAction::Answer(status) => {
                self.errand_lost(errand, status, "the media server did not answer well")
            }
            ReadAction::Cut => {
                if let What::Segment { player, .. } = errand.what {
                    self.player_cut(player);
                }
            }
        }
        self.next_errand(server);
    }

    /// So many bytes of the read on this connection have gone to its player.
    pub(crate) fn gave(&mut self, key: ConnectionId, bytes: u64) {
        if let Some(line) = self.lines.get_mut(key)
            && let Role::Errands { errand: Some(Errand { reading: Some(reading), .. }), .. } = &mut line.role
        {
            reading.gave(bytes);
        }
    }

    /// A segment that broke off in the middle: its connection is closed, so that the player sees it is short.
    pub(crate) fn player_cut(&mut self, player: ConnectionId) {
        self.fetchers.remove(&player);
        self.player_gone(player);
    }

    /// The errand is given up; a player that waits for it is told, or cut off where a part had gone out.
    pub(crate) fn errand_lost(&mut self, errand: Errand, status: u16, why: &str) {
        self.rung_was_told(errand.what, false);
        let What::Segment { player, play, .. } = errand.what else { return };
        if errand.reading.is_some_and(|r| r.so_far().bytes_relayed.is_some()) {
            return self.player_cut(player);
        }
        let over = self.book.get(play).is_none_or(|s| s.life() != Life::Playing);
        let answer = match status {
            _ if over => words(410, "this session has ended"),
            503 => self.away(why),
            _ => words(status, why),
        };
        self.segment_answer(player, play, &answer);
    }

    pub(crate) fn segment_answer(&mut self, player: ConnectionId, play: u64, answer: &Final) {
        self.fetchers.remove(&player);
        // A player that is gone was counted off when it went.
        if self.lines.get_mut(player).is_none() {
            return;
        }
        if let Some(session) = self.book.get_mut(play) {
            session.fetching = session.fetching.saturating_sub(1);
        }
        self.answer(player, answer);
    }

    /// Tells the server of a play the rung that it now has. One whose set-up is still out is told once it plays: a
    /// word that overtakes the set-up would find no play there.
    pub(crate) fn tell_rung(&mut self, play: u64) {
        let Some(session) = self.book.get_mut(play) else { return };
        let (Life::Playing, Some(server), n) = (session.life(), session.server, session.allocations()) else {
            return;
        };
        let rung = session.rung;
        if session.told == Some(rung) || session.telling {
            return;
        }
        (session.told, session.telling) = (Some(rung), true);
        let target = self.allocation(play, n);
        let request = self.request_to(server, "PATCH", &target, &format!("{{\"rung\":{rung}}}"));
        self.run_errand(server, Errand::new(What::Step { play }, request));
    }

    /// The word of a step is under way no more: a step that came meanwhile is told now, and one that was not answered
    /// again after a while, since the server may still run the play on the rung before.
    pub(crate) fn rung_was_told(&mut self, what: What, answered: bool) {
        let What::Step { play } = what else { return };
        let again = self.now() + self.rundown.limits.segment_ms;
        let Some(session) = self.book.get_mut(play) else { return };
        session.telling = !answered;
        if answered {
            self.tell_rung(play);
        } else {
            self.clock(again, Clock::Rung(play));
        }
    }

    /// The time to tell a lost step again has come.
    pub(crate) fn rung_due(&mut self, play: u64) {
        let Some(session) = self.book.get_mut(play) else { return };
        (session.told, session.telling) = (None, false);
        self.tell_rung(play);
    }

    pub(crate) fn segment_head(&mut self, player: ConnectionId, play: u64, of: &Head) {
        let Some(session) = self.book.get(play) else { return };
        let product = &self.rundown.products[session.product];
        let kbps = (self.rundown.ladder[session.rung].rate_kb * product.scale * 8.0).ceil() as u64;
        // CTA-5006: the maximum suggested bitrate, kbit/s.
        let mut more =
            vec!["Content-Type: video/mp4".to_string(), format!("CMSD-Dynamic: \"pulleystair\";mb={kbps}")];
        more.push("Accept-Ranges: bytes".into());
        // Its address holds the viewer's pass: nobody else's cache is to keep it, and not beyond the pass.
        let keep = (self.rundown.limits.pass_ms / 1000.0) as u64;
        more.push(format!("Cache-Control: private, max-age={keep}"));
        more.extend(of.tag.iter().map(|tag| format!("ETag: {tag}")));
        if let Some((first, last, whole)) = of.range {
            more.push(format!("Content-Range: bytes {first}-{last}/{whole}"));
        }
        let limits = &self.rundown.limits;
        let due = self.now() + limits.slow_reader_ms + of.length as f64 / limits.slow_reader_kb;
        let Some(line) = self.lines.get_mut(player) else { return };
        let mut out = Vec::new();
        http::write_response_head(&mut out, of.status, of.length, !line.options.last, &more);
        line.write(&out);
        self.set_due(player, due);
    }
}
