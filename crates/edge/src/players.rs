//! Players' connections and requests: manifests, segments and the end of a play, from the first byte to the
//! dispatcher and back. The event loop calls this for players' connections; times are in ms.

use crate::config::Effect;
use crate::connections::{ConnectionId, PlayerState, RequestKind, ResponseOptions, Role, ServerRequest};
use crate::edge::Edge;
use crate::http;
use crate::segment_read::SegmentRead;
use crate::sessions::{Answer, ManifestRequest, RequestResult, SessionPhase};
use crate::state::{Timer, text_answer};
use pulleystair::Outcome;
use pulleystair_admission::homes::home_front;
use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dispatcher::PlayRequest;
use std::io;
use std::net::TcpListener;
use tracing::warn;

/// How long no connection is accepted after accepting one failed, ms.
const ACCEPT_RETRY_DELAY_MS: f64 = 100.0;

impl Edge {
    /// Accepts the connections that wait at a listening socket. Connections beyond the configured number are answered
    /// 503 and closed; those beyond twice that number are closed unanswered.
    pub(crate) fn accept(&mut self, listener: &TcpListener, is_operator: bool) {
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    // Most likely no file descriptor is free; an immediate retry would fail again.
                    warn!(target: "front", "connection not taken: {e}");
                    self.state.set_accepting(false);
                    self.state.schedule(self.state.now() + ACCEPT_RETRY_DELAY_MS, Timer::AcceptRetry);
                    return;
                }
            };
            let state = &mut self.state;
            let limits = &state.config.limits;
            if state.player_connection_count >= 2 * limits.connections {
                continue;
            }
            if limits.send_buffer_bytes > 0 {
                let _ = socket2::SockRef::from(&stream).set_send_buffer_size(limits.send_buffer_bytes);
            }
            let certificates = state.tls.players.as_ref().filter(|_| !is_operator);
            let tls = certificates.map(|c| rustls::ServerConnection::new(c.config.clone()));
            let Ok(tls) = tls.transpose() else { continue };
            let uses_tls = tls.is_some();
            let tls = tls.map(rustls::Connection::from);
            let Ok(connection_id) =
                state.connections.open(stream, tls, Role::Player(PlayerState::ReadingRequest))
            else {
                continue;
            };
            state.player_connection_count += 1;
            state
                .connections
                .get_mut(connection_id)
                .into_iter()
                .for_each(|connection| connection.options.is_operator = is_operator);
            if state.player_connection_count > state.config.limits.connections {
                let answer = state.retry_later_answer("this front has all the connections it takes");
                state.send_answer_and_close(connection_id, &answer);
            } else {
                // A TLS handshake has as much time as a request's head.
                let limits = &state.config.limits;
                let timeout = if uses_tls { limits.header_ms } else { limits.idle_ms };
                state.set_connection_deadline(connection_id, state.now() + timeout);
            }
        }
    }

    /// Handles a player's connection that can be read or written: reads and answers its requests, or resumes the
    /// relay of its segment.
    pub(crate) fn on_player_connection(&mut self, connection_id: ConnectionId) {
        loop {
            let state = &mut self.state;
            let now = state.now();
            let limits = &state.config.limits;
            let (header_bytes, header_ms, idle_ms) = (limits.header_bytes, limits.header_ms, limits.idle_ms);
            let Some(connection) = state.connections.get_mut(connection_id) else { return };
            let Role::Player(player_state) = connection.role else { return };
            connection.flush();
            if player_state == PlayerState::Closing {
                // What the player still sends is read and discarded: unread data would cause a reset, by which the
                // answer may be lost.
                connection.read(header_bytes);
                connection.input.clear();
                if connection.unsent_bytes() == 0 {
                    connection.shutdown_write();
                }
                if connection.has_ended {
                    state.close_player_connection(connection_id);
                }
                return;
            }
            let length_before = connection.input.len();
            let has_read = connection.read(header_bytes);
            if connection.has_ended {
                state.close_player_connection(connection_id);
                return;
            }
            match player_state {
                PlayerState::FetchingSegment(_) => {
                    let (pending, relay_bytes) = (connection.unsent_bytes(), state.config.limits.relay_bytes);
                    if pending < relay_bytes / 2 {
                        self.resume_relay(connection_id);
                    }
                    return;
                }
                PlayerState::ReadingRequest if connection.unsent_bytes() == 0 => {}
                _ => return,
            }
            if connection.input.is_empty() {
                if connection.take_handshake_done() || connection.deadline.is_infinite() {
                    state.set_connection_deadline(connection_id, now + idle_ms);
                }
                return;
            }
            if has_read && length_before == 0 {
                state.set_connection_deadline(connection_id, now + header_ms);
            }
            let Some(connection) = state.connections.get_mut(connection_id) else { return };
            match http::parse_request(&connection.input, header_bytes) {
                Ok(None) => return,
                Err(e) => {
                    state.send_answer_and_close(connection_id, &text_answer(e.status, e.why));
                    return;
                }
                Ok(Some((request, used))) => {
                    connection.input.drain(..used);
                    let is_operator = connection.options.is_operator;
                    connection.options = ResponseOptions {
                        close: !request.keep_alive,
                        head_only: request.method == "HEAD",
                        is_operator,
                    };
                    connection.deadline = f64::INFINITY;
                    self.handle_request(connection_id, &request);
                }
            }
        }
    }

    /// Handles one request of a player or an operator. A manifest whose play is undecided and a segment are answered
    /// later.
    pub(crate) fn handle_request(&mut self, connection_id: ConnectionId, request: &http::Request) {
        if self
            .state
            .connections
            .get_mut(connection_id)
            .is_some_and(|connection| connection.options.is_operator)
        {
            let status = if request.target == "/fleet" { self.fleet_status() } else { None };
            let answer = status.map_or_else(
                || text_answer(404, "GET /fleet tells what this front knows of the fleet"),
                |status| text_answer(200, &status.to_string()),
            );
            return self.state.send_answer(connection_id, &answer);
        }
        let answer = match (request.method.as_str(), address::parse(&request.target)) {
            (_, None) => text_answer(404, "nothing is served here"),
            ("OPTIONS", _) => text_answer(204, ""),
            ("GET" | "HEAD", Some(Route::Time)) => {
                text_answer(200, &pulleystair_dash::mpd::format_date(self.state.wall_clock_now() as u64))
            }
            ("GET" | "HEAD", Some(Route::Refresh { session_token })) => {
                match self.state.authorize_pass(connection_id, session_token) {
                    Ok(play) => self.state.refresh_manifest(play),
                    Err(answer) => answer,
                }
            }
            ("HEAD", Some(Route::Manifest { .. })) => {
                text_answer(405, "HEAD would take no play: GET the manifest, or HEAD one that plays")
            }
            ("GET", Some(Route::Manifest { product, title, entry_token })) => {
                let token = request.bearer.as_deref().or(entry_token).unwrap_or("");
                match self.handle_manifest_request(connection_id, product, title, token) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("GET" | "HEAD", Some(Route::Segment { session_token, rung, segment })) => {
                match self.handle_segment_request(connection_id, session_token, rung, segment, request) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("DELETE", Some(Route::Session { session_token })) => {
                match self.state.authorize_pass(connection_id, session_token) {
                    Ok(play) => {
                        self.end_running_play(play, "viewer left");
                        text_answer(200, "ended")
                    }
                    Err(answer) => answer,
                }
            }
            _ => text_answer(405, "GET a manifest or a segment, or DELETE a session"),
        };
        self.state.send_answer(connection_id, &answer);
    }

    /// Handles a request for a play's manifest by its entry token. Returns the answer, or none while the play is
    /// being decided.
    pub(crate) fn handle_manifest_request(
        &mut self,
        connection_id: ConnectionId,
        product: &str,
        title: &str,
        token: &str,
    ) -> Option<Answer> {
        let state = &mut self.state;
        let now = state.now();
        let viewer_ip = state.connections.get_mut(connection_id).and_then(|connection| connection.peer_ip());
        // The wall clock less `skew_ms`, seconds: the issuer's clock may be that much slower, and a token that is
        // still valid by it is not refused as expired.
        let earliest_now_s =
            ((state.wall_clock_now() - state.config.limits.skew_ms) / 1000.0).max(0.0) as u64;
        let entry = match state.entry_key_ring.verify_entry(token, earliest_now_s, product, title) {
            Ok(entry) if state.revoked.contains(&entry.jti) => {
                return Some(text_answer(403, "this session was revoked"));
            }
            Ok(entry) => entry,
            Err(e) => return Some(text_answer(e.status(), &e.to_string())),
        };
        let config = &state.config;
        let product_number = config.products.iter().position(|p| p.name == product);
        let found = product_number.and_then(|n| {
            let title_number = *state.title_numbers.get(&(n, title.to_string()))?;
            Some((n, title_number, state.titles_by_number.get(&title_number)?.clone()))
        });
        let Some((product, title_number, (listed_title, is_listed))) = found else {
            return Some(text_answer(404, "no such title of that product"));
        };
        let is_known = state.sessions.by_id(&entry.jti).is_some();
        if !is_listed && !is_known {
            return Some(text_answer(404, "that title is listed no more"));
        }
        let deadline = now + config.products[product].time_limit_ms;
        // A second set-up of a play may do harm unless the product's effect is read-like. Such a session is set up only by
        // its home front; other fronts redirect the player there.
        let needs_home_front = config.products[product].effect != Effect::ReadLike;
        if needs_home_front && !is_known && state.home_addresses.len() == config.fronts {
            let home = home_front(&entry.jti, config.fronts);
            if home != config.rank {
                let location = format!(
                    "//{}{}",
                    state.home_addresses[home],
                    address::play_request_target(&entry.product, &entry.title, token)
                );
                let answer = text_answer(307, "this session is at home at another front");
                return Some(Answer { location: Some(location.into()), ..answer });
            }
        }
        let request = ManifestRequest {
            session_id: &entry.jti,
            viewer: &entry.sub,
            viewer_ip,
            product,
            title_number,
            title: &listed_title,
            max_rung: entry.top,
            deadline,
        };
        if state.is_stopping && !is_known {
            state.stats.away += 1;
            return Some(state.retry_later_answer("this front is stopping"));
        }
        let is_behind = state.loop_lag.exceeds(now, state.config.admission.behind_ms);
        if is_behind && !is_known {
            state.stats.away += 1;
            return Some(state.retry_later_answer("this front is behind with its work"));
        }
        match state.sessions.request_play(now, &request, connection_id) {
            RequestResult::Mismatch => Some(text_answer(403, "this session is another viewer's or title's")),
            RequestResult::LimitReached(limit) => {
                state.stats.away += 1;
                Some(state.retry_later_answer(&format!("this front is at its limit of {limit}")))
            }
            RequestResult::Answered(answer) if answer.status != 200 => Some(answer),
            // The play runs: its manifest again, with a new pass.
            RequestResult::Answered(answer) => {
                let play = state.sessions.by_id(&entry.jti);
                Some(play.and_then(|play| state.manifest_answer(play)).unwrap_or(answer))
            }
            RequestResult::Joined => {
                state.await_manifest(connection_id, state.sessions.by_id(&entry.jti).unwrap_or(0));
                None
            }
            RequestResult::New(play) => {
                state.stats.taken += 1;
                state.await_manifest(connection_id, play);
                self.admit_or_queue(now, play);
                None
            }
        }
    }

    /// Passes a new play to the dispatcher, or queues it where others are queued or as many set-ups are under way as
    /// the limit allows.
    pub(crate) fn admit_or_queue(&mut self, now: f64, play: u64) {
        let state = &mut self.state;
        if state.admission_queue.is_empty() && state.pending_set_ups < state.set_up_limit.current() {
            return self.admit(play);
        }
        let deadline = state.sessions.get(play).map_or(now, |s| s.deadline);
        let admit_by = deadline - state.config.admission.reserve_ms;
        if let Some(evicted) = state.admission_queue.push(now, play, admit_by) {
            state.decline_queued_play(evicted);
        }
        if let Some(next_deadline) = state.admission_queue.next_deadline() {
            state.schedule(next_deadline, Timer::AdmissionQueue);
        }
    }

    /// Passes the play to the dispatcher, which decides where it is set up.
    pub(crate) fn admit(&mut self, play: u64) {
        let now = self.state.now();
        let Some(session) = self.state.sessions.get(play) else { return };
        let play_request = PlayRequest {
            product: session.product,
            title: session.title_number as u64,
            first_cell: session.title.first_cell,
            holder_cells: session.title.holders,
            max_rung: session.max_rung.min(self.state.config.ladder.len() - 1),
            arrived_at: session.arrived_at,
            deadline: session.deadline,
        };
        self.dispatcher.add_play(now, play, &play_request, &mut self.state);
        self.state.set_up_limit.record_decision_time(self.state.now() - now);
    }

    /// Answers the queued plays whose time has run out with 503, and admits as many of the others as the limit
    /// allows.
    pub(crate) fn admit_queued(&mut self) {
        let now = self.state.now();
        for expired in self.state.admission_queue.take_expired(now) {
            self.state.decline_queued_play(expired);
        }
        while self.state.pending_set_ups < self.state.set_up_limit.current() {
            let Some(play) = self.state.admission_queue.pop(now) else { return };
            self.admit(play);
        }
    }

    /// Handles a request for a segment by its session token. Returns the answer that refuses it, or none
    /// where the segment is fetched from the play's server.
    pub(crate) fn handle_segment_request(
        &mut self,
        connection_id: ConnectionId,
        session_token: &str,
        rung: usize,
        segment: SegmentId,
        request: &http::Request,
    ) -> Option<Answer> {
        let state = &mut self.state;
        let now = state.now();
        let play = match state.authorize_pass(connection_id, session_token) {
            Ok(play) => play,
            Err(answer) => return Some(answer),
        };
        let session = state.sessions.get_mut(play)?;
        let presentation = &session.title.presentation;
        let number = match segment {
            SegmentId::Initialisation => Some(0),
            SegmentId::Number(number) => Some(number),
            SegmentId::Time { first, time } => presentation.segment_number_at(first, time),
        };
        let number = number.filter(|_| rung < state.config.ladder.len());
        let Some(number) = number else { return Some(text_answer(404, "no such segment")) };
        match presentation.available_segments(state.wall_clock.time_at(now) as u64) {
            _ if number == 0 => {}
            Some((first, _)) if number < first => {
                return Some(text_answer(404, "that segment is kept no more"));
            }
            Some((_, last)) if number <= last => {}
            _ if presentation.live.is_some() => {
                return Some(text_answer(404, "that segment is not there yet"));
            }
            _ => return Some(text_answer(404, "no such segment")),
        }
        session.last_active_at = now;
        if session.active_fetches >= state.config.limits.fetches {
            return Some(Answer {
                retry_after: Some(1),
                ..text_answer(429, "too many reads of this play at once")
            });
        }
        // Segments come only from the server on which the dispatcher placed the play.
        let Some(server) = session.server else {
            return Some(text_answer(410, "this session does not play here"));
        };
        session.active_fetches += 1;
        let rung = rung.min(session.rung);
        let allocation_number = session.allocation_count();
        let target = format!("{}/{rung}/{number}", state.allocation_path(play, allocation_number));
        if let Some(connection) = state.connections.get_mut(connection_id) {
            connection.role = Role::Player(PlayerState::FetchingSegment(play));
        }
        let reads = &state.config.reads;
        let mut segment_read = SegmentRead::new(target, request.range, now + reads.patience_ms);
        (segment_read.head_only, segment_read.if_none_match) =
            (request.method == "HEAD", request.if_none_match.clone());
        let retry_config = reads.retry_config();
        state.servers[server as usize].retry_budget.record_first(now, &retry_config);
        let kind = RequestKind::Segment { player: connection_id, play, number };
        let request = state.format_request(server, segment_read.method(), &segment_read.target, "");
        let request = ServerRequest { segment_read: Some(segment_read), ..ServerRequest::new(kind, request) };
        state.run_request(server, request);
        None
    }

    /// Ends a running play from this side, for example because the viewer left: closes its allocation's connection,
    /// sends a DELETE to its server, and reports the end to the dispatcher.
    pub(crate) fn end_running_play(&mut self, play: u64, cause: &'static str) {
        let state = &mut self.state;
        let now = state.now();
        let Some(session) = state.sessions.get_mut(play) else { return };
        let (Some(server), connection, allocation_number) =
            (session.server, session.allocation_connection.take(), session.allocation_count())
        else {
            return;
        };
        if let Some(connection) = connection {
            state.connections.close(connection);
        }
        let target = state.allocation_path(play, allocation_number);
        let request = state.format_request(server, "DELETE", &target, "");
        state.run_request(server, ServerRequest::new(RequestKind::Word, request));
        state.end_play(play, cause, text_answer(410, "this play has ended"));
        self.dispatcher.on_allocation_ended(now, play, server, Outcome::Finished, true, &[], &mut self.state);
    }

    /// Cancels an undecided play with this final answer, and takes it out of the admission queue or the dispatcher.
    pub(crate) fn cancel_undecided_play(&mut self, play: u64, cause: &'static str, answer: Answer) {
        self.state.end_play(play, cause, answer);
        if !self.state.admission_queue.remove(play) {
            self.dispatcher.close_play(play, &mut self.state);
        }
    }

    /// Ends the play of a session that was revoked, whether undecided or running.
    pub(crate) fn revoke(&mut self, play: u64) {
        match self.state.sessions.get(play).map(|s| s.phase()) {
            Some(SessionPhase::Requested | SessionPhase::Allocating) => {
                self.cancel_undecided_play(play, "revoked", text_answer(403, "this session was revoked"));
            }
            Some(SessionPhase::Playing) => self.end_running_play(play, "revoked"),
            _ => {}
        }
    }
}
