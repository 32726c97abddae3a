//! What media servers send: responses to set-ups, notes on playing sessions and their ends, load reports.

use crate::ended_sessions::EndReport;
use crate::held_bytes::HeldBytes;
use crate::node::Node;
use crate::state::{
    CAUSE_ENDED, CAUSE_FAILED, CAUSE_WITHDRAWN, CSEQ_PROBE, CSEQ_TEARDOWN, MAX_SERVER_INPUT_BYTES, Role,
    Timer,
};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_connections::ConnectionId;
use pulleystair_rtsp::{Message, StartLine, is_boundary_uncertain};
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use tracing::debug;

/// Maximum number of reads of one connection in a turn.
const MAX_SERVER_READS_PER_TURN: usize = 16;

/// The sender of a message: a connection to a server.
#[derive(Clone, Copy)]
struct Sender {
    connection_id: ConnectionId,
    server_number: u32,
}

/// How a play stands with the sender of a message about it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlayState {
    /// The node does not know the play.
    Unknown,
    /// The play is at another server, or at none.
    Elsewhere,
    /// The play's set-up waits for its response on this connection.
    Pending,
    /// The play's set-up was sent to this server on another connection, or is still to be sent.
    PendingOnOtherConnection,
    /// The play's session plays at this server.
    Playing,
}

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
            let has_just_connected = !server_connection.is_established();
            let established_at = *server_connection.established_at.get_or_insert(now);
            if has_just_connected {
                (server_connection.last_heard_at, server_connection.last_active_at) = (now, now);
                connection.deadline = f64::INFINITY;
                self.state.on_server_connected(now, connection_id, server_number);
            }
            self.recheck_unsent_set_ups(connection_id);
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
            connection.flush();
            let has_read = connection.read(MAX_SERVER_INPUT_BYTES);
            let is_closed = connection.has_ended;
            let Role::Server(server_connection) = &mut connection.role else { return };
            if has_read {
                (server_connection.last_heard_at, server_connection.last_active_at) = (now, now);
                if let Some(server) = self.state.servers.get_mut(&server_number) {
                    server.liveness.on_heard(now, established_at);
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
        self.state.revisit_queue.push(connection_id);
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
            let (message, length) = match parsed {
                Ok(None) => return Some(used),
                Ok(Some(parsed)) => parsed,
                Err(e) => {
                    debug!(target: "server", server = self.state.server_id(server_number), "connection closed: message cannot be parsed: {e}");
                    self.state.stats.spoilt += 1;
                    return None;
                }
            };
            let following = &input[used + length..];
            parsed = Message::parse(following);
            // If the bytes after a message cannot be parsed, the length of the message was wrong, so the
            // message is not used either.
            if parsed.is_err() {
                continue;
            }
            // The message waits for the bytes that show whether its length was right.
            let may_be_cut = following.is_empty() && input.len() >= MAX_SERVER_INPUT_BYTES;
            if may_be_cut || is_boundary_uncertain(following) {
                return Some(used);
            }
            used += length;
            self.handle_server_message(connection_id, server_number, &message);
            self.report_ends();
            if self.state.connections.get_mut(connection_id).is_none() {
                return Some(used);
            }
        }
    }

    /// Handles one message of a server.
    fn handle_server_message(&mut self, connection_id: ConnectionId, server_number: u32, message: &Message) {
        let sender = Sender { connection_id, server_number };
        let load: Vec<LoadMetric> = message
            .load_values()
            .filter_map(|(name, value)| pulleystair_settings::load_metric(name, value))
            .collect();
        match &message.start {
            StartLine::Response(100..=199) => {}
            StartLine::Response(_) if message.cseq() == Some(CSEQ_TEARDOWN) => {}
            StartLine::Response(_) if message.cseq() == Some(CSEQ_PROBE) => {
                let now = self.state.now();
                self.dispatcher.on_load_report(now, server_number, &load, &mut self.state);
            }
            StartLine::Response(status) => self.handle_set_up_response(sender, *status, message, &load),
            StartLine::Request(method) => self.handle_server_request(sender, method, message, &load),
        }
    }

    /// How a play stands with the sender of a message about it.
    fn play_state(&self, sender: Sender, play: u64) -> PlayState {
        let Some(session) = self.state.sessions.get(&play) else { return PlayState::Unknown };
        if session.server_number != Some(sender.server_number) {
            PlayState::Elsewhere
        } else if session.is_playing {
            PlayState::Playing
        } else if session.server_connection_id == Some(sender.connection_id) {
            PlayState::Pending
        } else {
            PlayState::PendingOnOtherConnection
        }
    }

    /// Handles the final response to a set-up.
    fn handle_set_up_response(
        &mut self,
        sender: Sender,
        status: u16,
        message: &Message,
        load: &[LoadMetric],
    ) {
        let Sender { connection_id, server_number } = sender;
        let now = self.state.now();
        let play = message.session;
        // If the viewer has gone by now, the response must not be forwarded, so the viewer's input is handled
        // first.
        let waiting_session = self.state.sessions.get(&play).filter(|session| !session.is_playing);
        if let (200, Some(session)) = (status, waiting_session) {
            self.handle_viewer_connection(session.viewer_connection_id);
        }
        match (status, self.play_state(sender, play)) {
            (200, PlayState::Pending) => {
                self.on_set_up_succeeded(now, connection_id, server_number, play, &message.body, load);
            }
            // The response belongs to an attempt that was abandoned on another connection. This play has a
            // newer attempt or a session at the same server, which a TEARDOWN would end.
            (200, PlayState::Playing | PlayState::PendingOnOtherConnection) => self.state.stats.late += 1,
            // The response is late or belongs to no known play. The server must not keep a session that was
            // given up.
            (200, PlayState::Unknown | PlayState::Elsewhere) => {
                self.state.stats.late += 1;
                self.state.tear_down_on_server(server_number, Some(connection_id), play, CAUSE_WITHDRAWN);
            }
            (_, PlayState::Pending) => {
                // In RTSP, 453 is "Not Enough Bandwidth", 454 "Session Not Found" and 504 "Gateway Time-out".
                let outcome = match status {
                    453 => Outcome::Full,
                    454 => Outcome::NeverSent,
                    504 => Outcome::Broken,
                    _ => Outcome::Error,
                };
                self.on_attempt_ended(play, server_number, outcome, load);
            }
            _ => {}
        }
    }

    /// Handles a request of a server: the end of a session, or a note on one.
    fn handle_server_request(
        &mut self,
        sender: Sender,
        method: &str,
        message: &Message,
        load: &[LoadMetric],
    ) {
        let server_number = sender.server_number;
        let play = message.session;
        let play_state = self.play_state(sender, play);
        if play_state == PlayState::Playing {
            self.state.on_session_confirmed(server_number, play);
        }
        match (method, play_state) {
            ("TEARDOWN", PlayState::Playing) => {
                let cause = message.cause().unwrap_or(CAUSE_FAILED);
                let outcome = match cause {
                    CAUSE_ENDED => Outcome::Finished,
                    CAUSE_WITHDRAWN => Outcome::Withdrawn,
                    _ => Outcome::Broken,
                };
                self.on_session_ended_by_server(play, server_number, outcome, cause, load);
            }
            ("TEARDOWN", PlayState::Unknown) => {
                let cause = message.cause().unwrap_or(CAUSE_FAILED);
                let now = self.state.now();
                self.state.ended_sessions.record(now, play, EndReport::Server(cause));
            }
            ("TEARDOWN", PlayState::Pending) => {
                self.on_attempt_ended(play, server_number, Outcome::Broken, load);
            }
            // The session counts as withdrawn, and the viewer is notified that it has failed.
            ("REDIRECT", PlayState::Playing) => {
                self.on_session_ended_by_server(play, server_number, Outcome::Withdrawn, CAUSE_FAILED, load)
            }
            ("ANNOUNCE", PlayState::Playing) => self.handle_note(server_number, message),
            _ => {}
        }
    }

    /// Handles a note on a playing session: the delivered share (`d`), the load of the link (`l`) or of the
    /// uplink (`u`), or the rung that the server has changed to (`r`).
    fn handle_note(&mut self, server_number: u32, message: &Message) {
        let play = message.session;
        let (Some(reason), Some(value)) = (message.field("X-Why"), message.number_field("Figure")) else {
            return;
        };
        let metric = match reason {
            "d" => LoadMetric::Delivered(value),
            "l" => LoadMetric::Link(value),
            "u" => LoadMetric::Uplink(value),
            "r" => return self.on_rung_changed_by_server(play, value.max(0.0) as usize),
            _ => return,
        };
        let now = self.state.now();
        self.dispatcher.on_play_note(now, play, server_number, metric, &mut self.state);
    }

    /// Takes the rung that the server of a playing session has changed to.
    fn on_rung_changed_by_server(&mut self, play: u64, rung: usize) {
        self.dispatcher.set_adopted_rung(play, rung);
        if let Some(session) = self.state.sessions.get_mut(&play) {
            (session.rung, session.rung_sent) = (rung, rung);
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
        session.may_have_run.get_or_insert((server_number, session.phase_started_at));
        session.is_playing = true;
        session.phase_started_at = now;
        session.description = HeldBytes::default();
        session.earlier_connections = Vec::new();
        let viewer_connection_id = session.viewer_connection_id;
        let (deadline, number) = (session.attempt_deadline, session.attempts);
        self.state.cancel_timer(deadline, Timer::AttemptDeadline(play, number));
        self.state.stats.played += 1;
        self.state.mark_set_up_answered(viewer_connection_id, play);
        self.state.write_to_viewer(viewer_connection_id, &bytes);
        self.state.add_playing_session(now, server_number);
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
        let Some(session) = self.state.remove_session(play) else { return };
        self.state.ended_sessions.record(now, play, EndReport::Both);
        self.state.remove_playing_session(server_number);
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
        let Some(session) = self.state.remove_session(play) else { return };
        self.state.ended_sessions.record(now, play, EndReport::Both);
        if let Some(server_number) = session.server_number {
            self.state.remove_playing_session(server_number);
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
}
