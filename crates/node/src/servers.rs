//! What media servers send: responses to set-ups, notes on playing sessions and their ends, load reports; and
//! the loss of connections to servers.

use crate::ended_sessions::EndReport;
use crate::node::{Node, SERVER_CHECK_INTERVAL_MS};
use crate::state::{
    CAUSE_ENDED, CAUSE_FAILED, CAUSE_WITHDRAWN, CSEQ_PROBE, CSEQ_TEARDOWN, MAX_INPUT_BYTES, NOTICE_TTL_MS,
    Role, Server, Session,
};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_connections::ConnectionId;
use pulleystair_rtsp::{Message, StartLine};
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use tracing::{debug, info};

/// Maximum number of reads of one connection in a turn.
const MAX_SERVER_READS_PER_TURN: usize = 16;
/// The part of the time within which viewers must be notified of an end that is kept for detecting the end
/// and for sending the notice, ms.
const DETECTION_MARGIN_MS: f64 = 750.0;
/// A server counts as lost after this many consecutive connections that could not be established.
const MAX_FAILED_DIALS: u32 = 2;

impl Node {
    /// Handles the events of a connection to a server: it is established, has input, or is closed.
    pub(crate) fn handle_server_connection(&mut self, connection_id: ConnectionId) {
        for _ in 0..MAX_SERVER_READS_PER_TURN {
            let now = self.state.now();
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            match connection.poll_established() {
                Some(false) => return self.on_server_connection_lost(connection_id),
                None => return,
                Some(true) => {}
            }
            let Role::Server(server_connection) = &mut connection.role else { return };
            let server_number = server_connection.server_number;
            let has_just_connected = !std::mem::replace(&mut server_connection.is_established, true);
            if has_just_connected {
                (server_connection.last_heard_at, server_connection.last_active_at) = (now, now);
            }
            self.recheck_unsent_set_ups(connection_id);
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            connection.flush();
            let has_read = connection.read(MAX_INPUT_BYTES);
            let is_closed = connection.has_ended;
            let Role::Server(server_connection) = &mut connection.role else { return };
            if has_read || has_just_connected {
                (server_connection.last_heard_at, server_connection.last_active_at) = (now, now);
                connection.deadline = f64::INFINITY;
                if let Some(server) = self.state.servers.get_mut(&server_number) {
                    (server.last_heard_at, server.failed_dials) = (now, 0);
                }
            }
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            if !connection.input.is_empty() {
                let input = std::mem::take(&mut connection.input);
                match self.handle_server_messages(connection_id, server_number, &input) {
                    Some(used) => {
                        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
                        connection.restore_input(input, used);
                    }
                    None => return self.on_server_connection_lost(connection_id),
                }
            }
            if is_closed {
                return self.on_server_connection_lost(connection_id);
            }
            if !has_read {
                return;
            }
        }
        self.state.revisit_queue.push_back(connection_id);
    }

    /// Handles the complete messages of `input`. Returns how many bytes they take, or `None` if the input
    /// cannot be parsed.
    fn handle_server_messages(
        &mut self,
        connection_id: ConnectionId,
        server_number: u32,
        input: &[u8],
    ) -> Option<usize> {
        let mut used = 0;
        let mut parsed = Message::parse(input);
        loop {
            match parsed {
                Ok(None) => return Some(used),
                Err(e) => {
                    debug!(target: "server", server = self.state.server_id(server_number), "connection closed: message cannot be parsed: {e}");
                    self.state.stats.spoilt += 1;
                    return None;
                }
                Ok(Some((message, n))) => {
                    used += n;
                    parsed = Message::parse(&input[used..]);
                    // If the bytes after a message cannot be parsed, the length of the message was wrong, so
                    // the message is not used either.
                    if parsed.is_ok() {
                        self.handle_server_message(connection_id, server_number, &message);
                        self.report_ends();
                        if self.state.connections.get_mut(connection_id).is_none() {
                            return Some(used);
                        }
                    }
                }
            }
        }
    }

    /// Handles one message of a server.
    fn handle_server_message(&mut self, connection_id: ConnectionId, server_number: u32, message: &Message) {
        let now = self.state.now();
        let play = message.session;
        let load: Vec<LoadMetric> = message
            .load_values()
            .filter_map(|(name, value)| pulleystair_settings::load_metric(name, value))
            .collect();
        // If the viewer has gone by now, the response must not be forwarded, so the viewer's input is handled
        // first.
        let awaits_response = |s: &&Session| !s.is_playing && message.cseq() != Some(CSEQ_PROBE);
        if let (StartLine::Response(200), Some(session)) =
            (&message.start, self.state.sessions.get(&play).filter(awaits_response))
        {
            self.handle_viewer_connection(session.viewer_connection_id);
        }
        let session_of_play = self.state.sessions.get(&play);
        let session = session_of_play.filter(|s| s.server_number == Some(server_number));
        let is_playing = session.is_some_and(|s| s.is_playing);
        let is_pending =
            session.is_some_and(|s| !s.is_playing && s.server_connection_id == Some(connection_id));
        match &message.start {
            StartLine::Response(100..=199) => {}
            StartLine::Response(_) if message.cseq() == Some(CSEQ_TEARDOWN) => {}
            StartLine::Response(_) if message.cseq() == Some(CSEQ_PROBE) => {
                self.dispatcher.on_load_report(now, server_number, &load, &mut self.state);
            }
            StartLine::Response(200) if is_pending => {
                self.on_set_up_succeeded(now, connection_id, server_number, play, &message.body, &load)
            }
            // The response belongs to an attempt that was abandoned on another connection. This play has a
            // newer attempt or a session at the same server, which a TEARDOWN would end.
            StartLine::Response(200) if session.is_some() => self.state.stats.late += 1,
            StartLine::Response(200) => {
                // The response is late or belongs to no known play. The server must not keep a session that
                // was given up.
                self.state.stats.late += 1;
                self.state.tear_down_on_server(server_number, Some(connection_id), play, CAUSE_WITHDRAWN);
            }
            StartLine::Response(status) if is_pending => {
                // In RTSP, 453 is "Not Enough Bandwidth", 454 "Session Not Found" and 504 "Gateway Time-out".
                let outcome = match status {
                    453 => Outcome::Full,
                    454 => Outcome::NeverSent,
                    504 => Outcome::Broken,
                    _ => Outcome::Error,
                };
                self.on_attempt_ended(play, server_number, outcome, &load);
            }
            StartLine::Response(_) => {}
            StartLine::Request(method) => match method.as_str() {
                "TEARDOWN" if is_playing => {
                    let cause = message.cause().unwrap_or(CAUSE_FAILED);
                    let outcome = match cause {
                        CAUSE_ENDED => Outcome::Finished,
                        CAUSE_WITHDRAWN => Outcome::Withdrawn,
                        _ => Outcome::Broken,
                    };
                    self.on_session_ended_by_server(play, server_number, outcome, cause, &load);
                }
                "TEARDOWN" if session_of_play.is_none() => {
                    let cause = message.cause().unwrap_or(CAUSE_FAILED);
                    self.state.ended_sessions.record(now, play, EndReport::Server(cause));
                }
                "TEARDOWN" if is_pending => {
                    self.on_attempt_ended(play, server_number, Outcome::Broken, &load)
                }
                // The session counts as withdrawn, and the viewer is notified that it has failed.
                "REDIRECT" if is_playing => self.on_session_ended_by_server(
                    play,
                    server_number,
                    Outcome::Withdrawn,
                    CAUSE_FAILED,
                    &load,
                ),
                // A note: the delivered share ("d"), the load of the link ("l") or of the uplink ("u"), or
                // the rung that the server has changed to ("r").
                "ANNOUNCE" if is_playing => {
                    let (Some(metric), Some(value)) =
                        (message.field("X-Why"), message.number_field("Figure"))
                    else {
                        return;
                    };
                    match metric {
                        "d" => self.dispatcher.on_play_note(
                            now,
                            play,
                            server_number,
                            LoadMetric::Delivered(value),
                            &mut self.state,
                        ),
                        "l" => self.dispatcher.on_play_note(
                            now,
                            play,
                            server_number,
                            LoadMetric::Link(value),
                            &mut self.state,
                        ),
                        "u" => self.dispatcher.on_play_note(
                            now,
                            play,
                            server_number,
                            LoadMetric::Uplink(value),
                            &mut self.state,
                        ),
                        "r" => {
                            let rung = value.max(0.0) as usize;
                            self.dispatcher.set_adopted_rung(play, rung);
                            if let Some(session) = self.state.sessions.get_mut(&play) {
                                (session.rung, session.rung_sent) = (rung, rung);
                            }
                        }
                        _ => {}
                    }
                }
                _ => {}
            },
        }
    }

    /// Handles a successful response to a set-up: the description is forwarded to the viewer unchanged.
    fn on_set_up_succeeded(
        &mut self,
        now: f64,
        connection_id: ConnectionId,
        server_number: u32,
        play: u64,
        description: &[u8],
        load: &[LoadMetric],
    ) {
        self.state.remove_pending_set_up(connection_id, play);
        let Some(bytes) = protocol::encode(kind::ANSWER, play, &[(code::DESCRIPTION, description)]) else {
            self.state.tear_down_on_server(server_number, Some(connection_id), play, CAUSE_WITHDRAWN);
            return self.on_attempt_ended(play, server_number, Outcome::Error, load);
        };
        let Some(session) = self.state.sessions.get_mut(&play) else { return };
        session.is_playing = true;
        session.phase_started_at = now;
        session.description = Vec::new();
        session.abandoned_connections = Vec::new();
        let viewer_connection_id = session.viewer_connection_id;
        self.state.stats.played += 1;
        self.state.mark_set_up_answered(viewer_connection_id, play);
        self.state.write_to_viewer(viewer_connection_id, &bytes);
        if let Some(server) = self.state.servers.get_mut(&server_number) {
            server.playing_sessions += 1;
        }
        self.dispatcher.on_playing(now, play, &mut self.state);
        self.dispatcher.on_load_report(now, server_number, load, &mut self.state);
        self.state.send_rung(play);
    }

    /// Ends a playing session that its server has ended or that was lost with the server. The viewer is
    /// notified, unless the viewer itself ended the session.
    pub(crate) fn on_session_ended_by_server(
        &mut self,
        play: u64,
        server_number: u32,
        outcome: Outcome,
        cause: u8,
        load: &[LoadMetric],
    ) {
        let now = self.state.now();
        let Some(session) = self.state.sessions.remove(&play) else { return };
        self.state.ended_sessions.record(now, play, EndReport::Both);
        if let Some(server) = self.state.servers.get_mut(&server_number) {
            server.playing_sessions = server.playing_sessions.saturating_sub(1);
        }
        if outcome == Outcome::Finished {
            self.state.stats.ended += 1;
        } else if outcome == Outcome::Broken {
            self.state.stats.lost += 1;
        }
        if outcome != Outcome::Withdrawn || cause != CAUSE_WITHDRAWN {
            self.state.notify_session_end(play, session.viewer_connection_id, session.viewer_ip, cause);
        }
        self.dispatcher.on_allocation_ended(now, play, server_number, outcome, true, load, &mut self.state);
        self.report_ends();
    }

    /// Ends a playing session that its viewer has ended.
    pub(crate) fn on_session_ended_by_viewer(&mut self, play: u64) {
        let now = self.state.now();
        self.dispatcher.close_play(play, &mut self.state);
        // The dispatcher has withdrawn the play, which queued an `AttemptEnd`. The end is reported below
        // instead, because the session no longer exists when the queue is processed.
        let Some(session) = self.state.sessions.remove(&play) else { return };
        self.state.ended_sessions.record(now, play, EndReport::Both);
        if let Some(server_number) = session.server_number {
            if let Some(server) = self.state.servers.get_mut(&server_number) {
                server.playing_sessions = server.playing_sessions.saturating_sub(1);
            }
            self.state.unreported_ends.retain(|end| end.play != play);
            self.dispatcher.on_allocation_ended(
                now,
                play,
                server_number,
                Outcome::Withdrawn,
                true,
                &[],
                &mut self.state,
            );
        }
    }

    /// Handles a connection to a server that could not be established, was lost, or brought input that cannot
    /// be parsed.
    pub(crate) fn on_server_connection_lost(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let up = connection.poll_established() == Some(true);
        let bytes_sent = connection.bytes_sent();
        let Role::Server(server_connection) = &mut connection.role else { return };
        let (server_number, lost_set_ups) =
            (server_connection.server_number, std::mem::take(&mut server_connection.pending_set_ups));
        self.state.close_server_connection(connection_id);
        let (playing, left) = self
            .state
            .servers
            .get(&server_number)
            .map_or((0, 0), |s| (s.playing_sessions, s.connections.len()));
        let id = self.state.server_id(server_number);
        debug!(target: "server", id, up, open = lost_set_ups.len(), playing, left, "connection lost");
        for set_up in lost_set_ups {
            // A set-up of which no byte was sent cannot have run.
            let outcome =
                if !up || bytes_sent <= set_up.offset { Outcome::Unreachable } else { Outcome::Broken };
            self.on_attempt_ended(set_up.play, server_number, outcome, &[]);
        }
        if let Some(server) = self.state.servers.get_mut(&server_number) {
            server.failed_dials += u32::from(!up);
            if server.playing_sessions > 0 {
                if server.failed_dials >= MAX_FAILED_DIALS {
                    self.on_server_lost(server_number);
                } else if server.connections.is_empty() {
                    self.reconnect(server_number, false);
                }
            }
        }
        self.report_ends();
    }

    /// Dials a server with sessions that has no connection or is silent, because the server may have ends to
    /// report. If there is no address to dial, the server counts as lost. `may_close_needed`: the only
    /// connection to another server with sessions may be closed for the new one.
    fn reconnect(&mut self, server_number: u32, may_close_needed: bool) {
        if self.state.servers.get(&server_number).is_some_and(|s| s.dial_address().is_none()) {
            return self.on_server_lost(server_number);
        }
        // If no descriptor is left, the next check dials the server.
        let _ = self.state.dial(server_number, may_close_needed);
    }

    /// Ends all sessions at a server that is lost, and closes the connections to it.
    fn on_server_lost(&mut self, server_number: u32) {
        let plays = self.state.plays_playing_on(server_number);
        info!(target: "server", server = self.state.server_id(server_number), plays = plays.len(), "server lost: its sessions end");
        for play in plays {
            self.on_session_ended_by_server(play, server_number, Outcome::Broken, CAUSE_FAILED, &[]);
        }
        let Some(server) = self.state.servers.get_mut(&server_number) else { return };
        server.failed_dials = 0;
        for connection_id in server.connections.clone() {
            self.on_server_connection_lost(connection_id);
        }
    }

    /// Dials servers with sessions that have no connection, or were silent for `silence_limit`. That is as
    /// late as the viewers' deadline for notices allows, so that a server that is cut off for some seconds
    /// keeps its sessions. A server that is listed as gone cannot be dialled: it is lost at the first check at
    /// which it has no connection, or was silent for `NodeLimits::note_timeout`.
    ///
    /// If more servers have sessions than there may be connections, the servers without one are dialled in
    /// turn, the longest silent first. After half of `silence_limit` they may close a connection to a server
    /// with sessions. Each check can replace all connections, so with M servers and K connections a server is
    /// heard again within half of `silence_limit` plus M / K checks.
    pub(crate) fn check_silent_servers(&mut self, now: f64) {
        let limits = &self.state.limits;
        let note_timeout = limits.note_timeout();
        let silence_limit = note_timeout.max(
            NOTICE_TTL_MS
                - DETECTION_MARGIN_MS
                - f64::from(MAX_FAILED_DIALS) * (limits.dial_timeout + SERVER_CHECK_INTERVAL_MS),
        );
        let is_late =
            |s: &Server| now - s.last_heard_at > if s.is_gone() { note_timeout } else { silence_limit };
        let is_silent = |s: &Server| s.playing_sessions > 0 && (s.connections.is_empty() || is_late(s));
        let silent_servers = self.state.servers.iter().filter(|(_, s)| is_silent(s));
        let mut silent_servers: Vec<(f64, u32)> =
            silent_servers.map(|(server_number, s)| (s.last_heard_at, *server_number)).collect();
        silent_servers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (last_heard_at, server_number) in silent_servers {
            let connections =
                self.state.servers.get(&server_number).map(|s| s.connections.clone()).unwrap_or_default();
            let may_close_needed = connections.is_empty() && now - last_heard_at > silence_limit / 2.0;
            if !connections.into_iter().any(|connection_id| {
                self.state
                    .server_connection(connection_id)
                    .is_some_and(|server_connection| !server_connection.is_established)
            }) {
                self.reconnect(server_number, may_close_needed);
            }
        }
    }
}
