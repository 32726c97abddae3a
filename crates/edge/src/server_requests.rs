//! Requests to media servers on pooled connections: segments, rung notifications, ends of plays and probes. The
//! handlers of players' requests and the dispatcher's actions start them; `servers` reads the responses.
//! Times are in ms.

use crate::connections::{ConnectionId, RequestKind, Role, ServerRequest};
use crate::http;
use crate::segment_read::SegmentHead;
use crate::sessions::{Answer, SessionPhase};
use pulleystair_admission::read_retries::{self, ReadAction};
use std::io;
use tracing::debug;

use crate::state::{EdgeState, Timer, text_answer};

impl EdgeState {
    /// The path of a play's allocation of this number at its server. It contains the id of this run, so no path is
    /// ever used again, by this run or another.
    pub(crate) fn allocation_path(&self, play: u64, allocation_number: usize) -> String {
        format!("/plays/{}-{play}-{allocation_number}", self.run_id)
    }

    /// The bytes of an HTTP request to this server. Without a body no `Content-Length` is written.
    pub(crate) fn format_request(&self, server: u32, method: &str, target: &str, body: &str) -> Vec<u8> {
        let address = self.servers[server as usize].address;
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n{body}").into_bytes()
    }

    /// Starts to connect to this server, with TLS where certificates for servers are configured.
    pub(crate) fn connect_to_server(&mut self, server: u32, role: Role) -> io::Result<ConnectionId> {
        let address = self.servers[server as usize].address;
        let stream = pulleystair_connections::connect(address)?;
        let tls = match &self.tls.servers {
            Some(certificates) => {
                let name =
                    rustls::pki_types::ServerName::try_from(self.servers[server as usize].name.clone());
                let name = name.map_err(io::Error::other)?;
                let tls_connection = rustls::ClientConnection::new(certificates.config.clone(), name);
                Some(tls_connection.map_err(io::Error::other)?.into())
            }
            None => None,
        };
        self.connections.open(stream, tls, role)
    }

    /// Runs the request on an idle connection or a new one, or queues it until a connection is free. It is abandoned
    /// where the queue is full or no connection can be opened.
    pub(crate) fn run_request(&mut self, server: u32, request: ServerRequest) {
        let media_server = &mut self.servers[server as usize];
        if let Some(connection_id) = media_server.idle_connections.pop() {
            self.open_requests += 1;
            return self.send_request(connection_id, request);
        }
        let limits = &self.config.limits;
        if media_server.connection_count >= limits.server_connections {
            if media_server.waiting_requests.len() < limits.server_queue {
                self.open_requests += 1;
                return media_server.waiting_requests.push_back(request);
            }
            return self.abandon_request(request, 503, "too many requests wait for the server");
        }
        self.open_requests += 1;
        self.run_on_new_connection(server, request);
    }

    /// Runs the request on a new connection. Returns false where none can be opened; the request is abandoned
    /// then.
    pub(crate) fn run_on_new_connection(&mut self, server: u32, request: ServerRequest) -> bool {
        match self.connect_to_server(server, Role::ServerPool { server, request: None, is_fresh: true }) {
            Ok(connection_id) => {
                self.servers[server as usize].connection_count += 1;
                self.send_request(connection_id, request);
                true
            }
            Err(e) => {
                debug!(target: "server", server = self.server_name(server), "can't connect to the media server: {e}");
                self.open_requests -= 1;
                self.abandon_request(request, 502, "the media server can't be reached");
                false
            }
        }
    }

    /// Writes the request to a pooled connection that carries none, and sets the deadline of its response.
    pub(crate) fn send_request(&mut self, connection_id: ConnectionId, new_request: ServerRequest) {
        if let RequestKind::Segment { player, .. } = new_request.kind {
            self.fetch_connections.insert(player, connection_id);
        }
        let deadline = self.now() + self.config.limits.segment_ms;
        if let Some(connection) = self.connections.get_mut(connection_id)
            && let Role::ServerPool { request, .. } = &mut connection.role
        {
            // The headers of a segment's read go before the empty line that ends the head.
            let headers = new_request.segment_read.as_ref().map(|r| r.request_headers()).unwrap_or_default();
            let (head, end) =
                new_request.bytes.split_at(new_request.bytes.len() - if headers.is_empty() { 0 } else { 2 });
            let bytes = [head, headers.as_bytes(), end].concat();
            *request = Some(new_request);
            connection.queue(&bytes);
            connection.flush();
        }
        self.set_connection_deadline(connection_id, deadline);
    }

    /// Decrements `open_requests` for a request that is over, and runs the next that waits for this server.
    pub(crate) fn on_request_done(&mut self, server: u32) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.run_waiting_requests(server);
    }

    /// Runs waiting requests until one of them has a connection. A segment read whose player has disconnected is
    /// dropped.
    fn run_waiting_requests(&mut self, server: u32) {
        while let Some(request) = self.servers[server as usize].waiting_requests.pop_front() {
            self.open_requests -= 1;
            if let RequestKind::Segment { player, .. } = request.kind
                && self.connections.get_mut(player).is_none()
            {
                continue;
            }
            self.run_request(server, request);
            if self.servers[server as usize].connection_count > 0 {
                return;
            }
        }
    }

    /// Closes a pooled connection. A request that it carries is no longer needed, and counts as done.
    pub(crate) fn close_pooled_connection(&mut self, connection_id: ConnectionId) {
        if let Some(Role::ServerPool { server, request, .. }) = self.connections.close(connection_id) {
            let media_server = &mut self.servers[server as usize];
            media_server.connection_count -= 1;
            media_server.idle_connections.retain(|id| *id != connection_id);
            if let Some(request) = request {
                self.on_request_done(server);
                self.on_rung_notification_done(request.kind, true);
            }
        }
    }

    /// Closes a pooled connection that failed. If it carried a request, that request got no complete, valid response: a
    /// segment's read may be retried on a new connection; any other request is repeated only if `is_stale`, which means that
    /// the connection had been used before and broke without a response head, so that the server had probably closed it
    /// before the request arrived.
    pub(crate) fn on_request_failed(&mut self, connection_id: ConnectionId, error: read_retries::ReadError) {
        let Some(Role::ServerPool { server, request, is_fresh }) = self.connections.close(connection_id)
        else {
            return;
        };
        let now = self.now();
        let media_server = &mut self.servers[server as usize];
        media_server.connection_count -= 1;
        media_server.idle_connections.retain(|id| *id != connection_id);
        let Some(mut request) = request else { return };
        let has_head = request.body_bytes_left.is_some();
        let is_stale = !is_fresh
            && !has_head
            && matches!(error, read_retries::ReadError::Broken | read_retries::ReadError::Unreachable);
        let error = if is_stale { read_retries::ReadError::Stale } else { error };
        let action = match &request.segment_read {
            Some(segment_read) => media_server.retry_budget.next_action(
                now,
                &self.config.reads.retry_config(),
                &segment_read.progress(),
                error,
            ),
            None if is_stale => ReadAction::Again { from: 0 },
            None => ReadAction::Answer(502),
        };
        debug!(target: "server", server = self.server_name(server), what = ?request.kind, fault = ?error, next = ?action, "errand failed");
        match action {
            ReadAction::Again { .. } => {
                request.body_bytes_left = None;
                if let Some(segment_read) = request.segment_read.as_mut().filter(|_| !is_stale) {
                    segment_read.tries += 1;
                }
                // The request stays open, so no waiting request is run, unless no connection could be opened and the
                // request was abandoned.
                if !self.run_on_new_connection(server, request) {
                    self.run_waiting_requests(server);
                }
                return;
            }
            ReadAction::Answer(status) => {
                self.abandon_request(request, status, "the media server did not answer well")
            }
            ReadAction::Cut => {
                if let RequestKind::Segment { player, .. } = request.kind {
                    self.abort_player_response(player);
                }
            }
        }
        self.on_request_done(server);
    }

    /// Records that `bytes` more of the read on this connection have been relayed to its player.
    pub(crate) fn add_relayed_bytes(&mut self, connection_id: ConnectionId, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(connection_id)
            && let Role::ServerPool {
                request: Some(ServerRequest { segment_read: Some(segment_read), .. }),
                ..
            } = &mut connection.role
        {
            segment_read.add_relayed_bytes(bytes);
        }
    }

    /// Closes the player's connection in the middle of a segment, so that the player sees that the response is
    /// incomplete.
    pub(crate) fn abort_player_response(&mut self, player: ConnectionId) {
        self.fetch_connections.remove(&player);
        self.close_player_connection(player);
    }

    /// Gives the request up. A player that waits for its segment gets an answer of this status and text, or 410 where
    /// the play has ended; it is disconnected where a part of the response has been relayed to it.
    pub(crate) fn abandon_request(&mut self, request: ServerRequest, status: u16, why: &str) {
        self.on_rung_notification_done(request.kind, false);
        let RequestKind::Segment { player, play, .. } = request.kind else { return };
        if request.segment_read.is_some_and(|r| r.progress().bytes_relayed.is_some()) {
            return self.abort_player_response(player);
        }
        let has_ended = self.sessions.get(play).is_none_or(|s| s.phase() != SessionPhase::Playing);
        let answer = match status {
            _ if has_ended => text_answer(410, "this session has ended"),
            503 => self.retry_later_answer(why),
            _ => text_answer(status, why),
        };
        self.refuse_segment_request(player, play, &answer);
    }

    /// Answers a player's segment request with this answer in place of the segment, and decrements the play's
    /// `active_fetches`.
    pub(crate) fn refuse_segment_request(&mut self, player: ConnectionId, play: u64, answer: &Answer) {
        self.fetch_connections.remove(&player);
        // The fetch of a closed connection was already subtracted in `close_player_connection`.
        if self.connections.get_mut(player).is_none() {
            return;
        }
        if let Some(session) = self.sessions.get_mut(play) {
            session.active_fetches = session.active_fetches.saturating_sub(1);
        }
        self.send_answer(player, answer);
    }

    /// Sends the play's current rung to its server, unless the server has it or a notification is under way. Before
    /// the play runs nothing is sent, since the notification could arrive before the set-up; `on_play_started` calls
    /// this again.
    pub(crate) fn notify_rung(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        let (SessionPhase::Playing, Some(server), allocation_number) =
            (session.phase(), session.server, session.allocation_count())
        else {
            return;
        };
        let rung = session.rung;
        if session.notified_rung == Some(rung) || session.is_notifying_rung {
            return;
        }
        (session.notified_rung, session.is_notifying_rung) = (Some(rung), true);
        let target = self.allocation_path(play, allocation_number);
        let request = self.format_request(server, "PATCH", &target, &format!("{{\"rung\":{rung}}}"));
        self.run_request(server, ServerRequest::new(RequestKind::Step { play }, request));
    }

    /// A rung notification is over; other kinds of request are ignored. `is_answered` says that a response was
    /// received, whatever its status: a rung that changed meanwhile is then sent now. Without a response the
    /// notification is repeated after `segment_ms`, since the server may still run the play on the previous rung.
    pub(crate) fn on_rung_notification_done(&mut self, kind: RequestKind, is_answered: bool) {
        let RequestKind::Step { play } = kind else { return };
        let retry_at = self.now() + self.config.limits.segment_ms;
        let Some(session) = self.sessions.get_mut(play) else { return };
        session.is_notifying_rung = !is_answered;
        if is_answered {
            self.notify_rung(play);
        } else {
            self.schedule(retry_at, Timer::RungNotificationRetry(play));
        }
    }

    /// Sends the play's current rung again after a notification that got no response.
    pub(crate) fn retry_rung_notification(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        (session.notified_rung, session.is_notifying_rung) = (None, false);
        self.notify_rung(play);
    }

    /// Writes the head of a segment's response to the player, and sets the deadline by which the player must have
    /// read all of the response.
    pub(crate) fn write_segment_head(&mut self, player: ConnectionId, play: u64, head: &SegmentHead) {
        let Some(session) = self.sessions.get(play) else { return };
        let product = &self.config.products[session.product];
        let kbps = (self.config.ladder[session.rung].rate_kb * product.scale * 8.0).ceil() as u64;
        // CTA-5006: the maximum suggested bitrate, kbit/s.
        let mut headers =
            vec!["Content-Type: video/mp4".to_string(), format!("CMSD-Dynamic: \"pulleystair\";mb={kbps}")];
        headers.push("Accept-Ranges: bytes".into());
        // The address contains the viewer's pass: no shared cache may keep it, and none beyond the pass's life.
        let max_age_s = (self.config.limits.pass_ms / 1000.0) as u64;
        headers.push(format!("Cache-Control: private, max-age={max_age_s}"));
        headers.extend(head.etag.iter().map(|tag| format!("ETag: {tag}")));
        if let Some((first, last, whole)) = head.range {
            headers.push(format!("Content-Range: bytes {first}-{last}/{whole}"));
        }
        let limits = &self.config.limits;
        let deadline = self.now() + limits.slow_reader_ms + head.length as f64 / limits.slow_reader_kb;
        let Some(connection) = self.connections.get_mut(player) else { return };
        let mut out = Vec::new();
        http::write_response_head(&mut out, head.status, head.length, !connection.options.close, &headers);
        connection.queue(&out);
        self.set_connection_deadline(player, deadline);
    }
}
