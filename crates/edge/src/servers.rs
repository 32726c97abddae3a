//! What is received from media servers: responses to set-ups, the notes on running plays, and responses to pooled
//! requests. The event loop calls this for connections to servers; times are in ms.

use crate::actions::{parse_load_report, parse_note};
use crate::connections::{AllocationStage, ConnectionId, PlayerState, RequestKind, Role};
use crate::edge::Edge;
use crate::http::{self, Body};
use crate::sessions::SessionPhase;
use crate::state::text_answer;
use crate::stats::SERVER_LOST;
use pulleystair::{LoadMetric, Outcome};
use pulleystair_admission::read_retries::ReadError;
use tracing::{debug, warn};

/// The longest note (one line) that is accepted from a server, bytes.
const MAX_NOTE_BYTES: usize = 4096;

/// The largest response body that is read to its end only to be discarded, bytes; for a larger one the connection
/// is closed.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

impl Edge {
    /// Handles an allocation's connection that can be read or written: reads the response to the set-up, then the
    /// notes.
    pub(crate) fn on_allocation_connection(&mut self, connection_id: ConnectionId) {
        let now = self.state.now();
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let is_connected = connection.poll_established();
        if is_connected == Some(true) {
            connection.flush();
        }
        connection.read(http::MAX_RESPONSE_HEAD_BYTES.max(2 * MAX_NOTE_BYTES));
        // Reading may have completed a handshake, or made it fail.
        let is_connected = connection.poll_established();
        let is_closed = connection.has_ended || is_connected == Some(false);
        let tls_error = connection.tls_error.take();
        let Role::Allocation { play, server, stage } = &mut connection.role else { return };
        let (play, server) = (*play, *server);
        if let AllocationStage::AwaitingResponse = stage {
            if let Some(e) = tls_error {
                warn!(target: "server", server = self.state.server_name(server), "TLS error on the connection of a set-up: {e}");
            }
            if is_connected == Some(false) {
                return self.on_allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            match http::parse_response(&connection.input) {
                Ok(None) if is_closed => return self.on_allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(None) => return,
                Err(e) => {
                    warn!(target: "server", server = self.state.server_name(server), "invalid response to a set-up: {e}");
                    return self.on_allocation_ended(play, server, Outcome::Error, &[]);
                }
                Ok(Some((response, used))) => {
                    connection.input.drain(..used);
                    let load = parse_load_report(response.load_report.as_deref());
                    match (response.status, response.body) {
                        (200, Body::Chunked(chunks)) => {
                            connection.role = Role::Allocation {
                                play,
                                server,
                                stage: AllocationStage::ReadingNotes { chunks, text: Vec::new() },
                            };
                            self.on_play_started(now, play, server, &load);
                        }
                        (429, _) => return self.on_allocation_ended(play, server, Outcome::Full, &load),
                        _ => return self.on_allocation_ended(play, server, Outcome::Error, &load),
                    }
                }
            }
        }
        self.read_notes(connection_id, play, server);
    }

    /// The play's first frame is ready: answers the connections that wait with the manifest, and reports to the
    /// dispatcher that the play runs, and the metrics of the response's load report.
    pub(crate) fn on_play_started(&mut self, now: f64, play: u64, server: u32, load: &[LoadMetric]) {
        let state = &mut self.state;
        state.fleet_on_result(now, play, server, Outcome::Playing);
        let sent_at = state.sessions.get(play).map_or(now, |s| s.allocation_sent_at);
        state.set_up_limit.on_set_up(now - sent_at, state.pending_set_ups);
        state.pending_set_ups = state.pending_set_ups.saturating_sub(1);
        if let Some(answer) = state.manifest_answer(play) {
            state.stats.played +=
                u64::from(state.sessions.get(play).is_some_and(|s| s.phase() == SessionPhase::Allocating));
            for connection_id in state.sessions.start_playing(now, play, answer.clone()) {
                state.send_answer(connection_id, &answer);
            }
            state.schedule_session_timer(play);
            state.notify_rung(play);
        }
        self.dispatcher.on_playing(now, play, &mut self.state);
        for metric in load {
            match metric {
                LoadMetric::Streams(_) => {
                    self.dispatcher.on_load_report(now, server, &[*metric], &mut self.state)
                }
                _ => self.dispatcher.on_play_note(now, play, server, *metric, &mut self.state),
            }
        }
    }

    /// Reads the notes on a running play, which come in a chunked body, until no more is received. The end of the
    /// body ends the play.
    pub(crate) fn read_notes(&mut self, connection_id: ConnectionId, play: u64, server: u32) {
        loop {
            let now = self.state.now();
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            let is_closed = connection.has_ended;
            let Role::Allocation { stage: AllocationStage::ReadingNotes { chunks, text }, .. } =
                &mut connection.role
            else {
                return;
            };
            let decoded = chunks.decode(&mut connection.input, text);
            let mut notes = Vec::new();
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let note: Vec<u8> = text.drain(..=end).collect();
                notes.push(note);
            }
            let is_too_long = text.len() > MAX_NOTE_BYTES;
            for note in &notes {
                match parse_note(note) {
                    Some(metrics) => metrics.into_iter().for_each(|metric| {
                        self.dispatcher.on_play_note(now, play, server, metric, &mut self.state);
                    }),
                    None => {
                        debug!(target: "server", server = self.state.server_name(server), "malformed note ignored")
                    }
                }
            }
            match decoded {
                Ok(true) => return self.on_allocation_ended(play, server, Outcome::Finished, &[]),
                Err(_) => return self.on_allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) if is_too_long => {
                    return self.on_allocation_ended(play, server, Outcome::Broken, &[]);
                }
                Ok(false) if is_closed => {
                    return self.on_allocation_ended(play, server, Outcome::Broken, &[]);
                }
                Ok(false) => {}
            }
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            if !connection.read(2 * MAX_NOTE_BYTES) && !connection.has_ended {
                return;
            }
        }
    }

    /// An allocation has ended: closes its connection, before the dispatcher may start a further allocation, ends the
    /// play if it was running, and reports the end to the dispatcher.
    pub(crate) fn on_allocation_ended(
        &mut self,
        play: u64,
        server: u32,
        outcome: Outcome,
        load: &[LoadMetric],
    ) {
        let now = self.state.now();
        let mut was_playing = false;
        let was_allocating =
            self.state.sessions.get(play).is_some_and(|s| s.phase() == SessionPhase::Allocating);
        if was_allocating {
            self.state.fleet_on_result(now, play, server, outcome);
        }
        if let Some(session) = self.state.sessions.get_mut(play) {
            if let Some(connection) = session.allocation_connection.take() {
                self.state.connections.close(connection);
            }
            was_playing = self.state.sessions.get(play).is_some_and(|s| s.phase() == SessionPhase::Playing);
            if was_playing {
                let is_lost = outcome != Outcome::Finished;
                let cause = if is_lost { SERVER_LOST } else { "server ended it" };
                self.state.end_play(play, cause, text_answer(410, cause));
            } else {
                debug!(target: "play", play, server = self.state.server_name(server), ?outcome, "allocation ended");
            }
        }
        if self.state.sessions.end_allocation(play) {
            let state = &mut self.state;
            // A set-up that a full server refused, or that timed out, indicates that the servers are overloaded.
            if matches!(outcome, Outcome::Full | Outcome::TimedOut) {
                state.set_up_limit.on_overload_failure(state.pending_set_ups);
            }
            state.pending_set_ups = state.pending_set_ups.saturating_sub(1);
            state.schedule_session_timer(play);
        }
        self.dispatcher.on_allocation_ended(now, play, server, outcome, was_playing, load, &mut self.state);
        self.state.set_up_limit.record_decision_time(self.state.now() - now);
    }

    /// Resumes reading a segment from its server once the player has read enough of what was buffered for it.
    /// `player` is the player's connection.
    pub(crate) fn resume_relay(&mut self, player: ConnectionId) {
        let state = &mut self.state;
        let Some(connection) = state.connections.get_mut(player) else { return };
        let Role::Player(PlayerState::FetchingSegment(_)) = connection.role else { return };
        if let Some(connection_id) = state.fetch_connections.get(&player).copied() {
            self.on_server_connection(connection_id);
        }
    }

    /// Handles a pooled connection that can be read or written: reads the response to its request, and relays a
    /// segment's body to the player.
    pub(crate) fn on_server_connection(&mut self, connection_id: ConnectionId) {
        loop {
            let state = &mut self.state;
            let now = state.now();
            let relay_bytes = state.config.limits.relay_bytes;
            let Some(connection) = state.connections.get_mut(connection_id) else { return };
            let is_connected = connection.poll_established();
            if is_connected == Some(true) {
                connection.flush();
            }
            let has_read = connection.read(64 << 10);
            let is_closed = connection.has_ended || is_connected == Some(false);
            let Role::ServerPool { server, request, .. } = &mut connection.role else { return };
            let server = *server;
            let Some(request) = request else {
                // The server closed an idle connection, or sent data on it without a request.
                if is_closed || !connection.input.is_empty() {
                    state.close_pooled_connection(connection_id);
                }
                return;
            };
            if request.body_bytes_left.is_none() {
                let (response, used) = match http::parse_response(&connection.input) {
                    Ok(None) if is_closed => {
                        return state.on_request_failed(connection_id, ReadError::Broken);
                    }
                    Ok(None) => return,
                    Err(e) => {
                        warn!(target: "server", server = state.server_name(server), "invalid response: {e}");
                        return state.on_request_failed(connection_id, ReadError::Malformed);
                    }
                    Ok(Some(parsed)) => parsed,
                };
                connection.input.drain(..used);
                let Body::Length(length) = response.body else {
                    return state.on_request_failed(connection_id, ReadError::Malformed);
                };
                let body_length = request
                    .segment_read
                    .as_ref()
                    .map_or(length, |segment_read| segment_read.body_length(length));
                (request.body_bytes_left, request.close_after) = (Some(body_length), !response.keep_alive);
                let (kind, head) = (
                    request.kind,
                    request
                        .segment_read
                        .as_mut()
                        .map(|segment_read| segment_read.accept_response_head(&response)),
                );
                state.set_connection_deadline(connection_id, now + state.config.limits.segment_ms);
                let load = parse_load_report(response.load_report.as_deref());
                match (kind, head) {
                    (RequestKind::Segment { player, play, .. }, Some(Ok(Some(head)))) => {
                        state.write_segment_head(player, play, &head);
                    }
                    (_, Some(Err(e))) => state.on_request_failed(connection_id, e),
                    _ => {}
                }
                self.dispatcher.on_load_report(now, server, &load, &mut self.state);
                continue;
            }
            let bytes_left = request.body_bytes_left.unwrap_or(0);
            let kind = request.kind;
            let n = (connection.input.len() as u64).min(bytes_left) as usize;
            let part: Vec<u8> = connection.input.drain(..n).collect();
            request.body_bytes_left = Some(bytes_left - n as u64);
            let is_done = bytes_left == n as u64;
            if let RequestKind::Segment { player, .. } = kind {
                let Some(connection) = state.connections.get_mut(player) else {
                    // The player disconnected during the response; the rest is not needed.
                    return state.close_pooled_connection(connection_id);
                };
                connection.queue(&part);
                connection.flush();
                let is_full = connection.unsent_bytes() >= relay_bytes && !is_done;
                if n > 0 {
                    state.set_connection_deadline(connection_id, now + state.config.limits.segment_ms);
                    state.add_relayed_bytes(connection_id, n as u64);
                }
                if is_full {
                    // Reading goes on once the player has read some of the buffer. The player's connection has its
                    // own deadline meanwhile.
                    if let Some(connection) = state.connections.get_mut(connection_id) {
                        connection.deadline = f64::INFINITY;
                    }
                    return;
                }
            } else if bytes_left > MAX_DISCARDED_BYTES {
                return state.close_pooled_connection(connection_id);
            }
            if is_done {
                return self.on_response_complete(connection_id, server, kind);
            }
            if is_closed {
                return state.on_request_failed(connection_id, ReadError::Truncated);
            }
            if !has_read {
                return;
            }
        }
    }

    /// A response was read completely: returns the connection to the pool or closes it, and completes the player's
    /// segment request or the rung notification for which the request was sent.
    pub(crate) fn on_response_complete(
        &mut self,
        connection_id: ConnectionId,
        server: u32,
        kind: RequestKind,
    ) {
        let state = &mut self.state;
        let now = state.now();
        let mut must_close = false;
        if let Some(connection) = state.connections.get_mut(connection_id) {
            // With more data than its length the response is valid, but the connection can't be reused.
            must_close = connection.has_ended || !connection.input.is_empty();
            if let Role::ServerPool { request, is_fresh, .. } = &mut connection.role {
                must_close |= request.as_ref().is_none_or(|r| r.close_after);
                (*request, *is_fresh) = (None, false);
            }
        }
        if must_close {
            state.close_pooled_connection(connection_id);
        } else {
            state.set_connection_deadline(connection_id, now + state.config.limits.server_idle_ms);
            state.servers[server as usize].idle_connections.push(connection_id);
        }
        state.on_request_done(server);
        state.on_rung_notification_done(kind, true);
        if let RequestKind::Segment { player, play, number } = kind {
            state.fetch_connections.remove(&player);
            state.stats.segments += 1;
            if let Some(session) = state.sessions.get_mut(play) {
                session.active_fetches = session.active_fetches.saturating_sub(1);
                session.last_active_at = now;
                session.is_complete |= session.title.presentation.segment_count() == Some(number);
                state.schedule_session_timer(play);
            }
            state.on_answer_written(player);
            self.on_player_connection(player);
        }
    }
}
