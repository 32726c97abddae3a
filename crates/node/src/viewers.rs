//! What viewers send: set-ups, the withdrawal of set-ups, the ends of sessions, and health checks.

use crate::ended_sessions::EndReport;
use crate::hand_overs::HandOver;
use crate::node::Node;
use crate::recent_plays::EarlierAttempts;
use crate::set_up::SetUpRequest;
use crate::state::{
    CAUSE_BUSY, CAUSE_FAILED, CAUSE_UNUSABLE, CAUSE_WITHDRAWN, HandledInTurn, MAX_VIEWER_INPUT_BYTES,
    NodeState,
};
use pulleystair_connections::ConnectionId;
use pulleystair_dispatcher::EarlierAllocations;
use pulleystair_viewer_protocol::{Message, code, kind};
use tracing::debug;

/// Maximum number of messages of one connection that are handled in a turn, and of their bytes where there are
/// several, so that a connection that brings much delays the others by little.
const MAX_MESSAGES_PER_TURN: usize = 64;
const MAX_BYTES_PER_TURN: usize = 16 << 10;
/// Maximum number of set-ups that may be pending on one connection, and on all connections together.
const MAX_SET_UPS_PER_VIEWER_CONNECTION: usize = 48;
const MAX_PENDING_SET_UPS: usize = 1_024;

/// How much of the input of a connection was handled: how many bytes, and whether that is all messages that it
/// holds.
struct Handled {
    used: usize,
    is_complete: bool,
}

/// The input of a connection is of no use, so the connection is to be closed.
struct Unusable;

impl NodeState {
    /// Counts a message of a viewer's connection, of so many bytes, that is to be handled in this turn. Returns
    /// false if the connection has had its share.
    fn may_handle_message(&mut self, connection_id: ConnectionId, length: usize) -> bool {
        let turn = self.turn;
        let Some(viewer) = self.viewer_connection(connection_id) else { return true };
        let handled = &mut viewer.handled_in_turn;
        if handled.turn != turn {
            *handled = HandledInTurn { turn, messages: 0, bytes: 0 };
        }
        let is_first = handled.messages == 0;
        let has_room =
            handled.messages < MAX_MESSAGES_PER_TURN && handled.bytes + length <= MAX_BYTES_PER_TURN;
        if is_first || has_room {
            handled.messages += 1;
            handled.bytes += length;
        }
        is_first || has_room
    }
}

impl Node {
    /// Abandons all set-ups that are pending on a viewer's connection.
    pub(crate) fn abandon_pending_set_ups(&mut self, connection_id: ConnectionId) {
        let abandoned = self
            .state
            .viewer_connection(connection_id)
            .map(|viewer| std::mem::take(&mut viewer.pending_set_ups));
        for play in abandoned.unwrap_or_default() {
            self.abandon_set_up(play);
        }
        self.report_ends();
    }

    /// Abandons a pending set-up, because its viewer no longer waits for it.
    fn abandon_set_up(&mut self, play: u64) {
        let Some(session) = self.state.sessions.get(&play) else { return };
        let (connection_id, server_number) = (session.viewer_connection_id, session.server_number);
        self.state.mark_set_up_answered(connection_id, play);
        self.dispatcher.close_play(play, &mut self.state);
        // A session with a current attempt is removed when the outcome of the attempt is reported to the
        // dispatcher.
        if server_number.is_none() {
            self.state.remove_session(play);
        }
    }

    /// Handles the input of a viewer's connection. Returns false if input may be left for the next turn, because
    /// the connection has had its share of this one.
    pub(crate) fn handle_viewer_connection(&mut self, connection_id: ConnectionId) -> bool {
        loop {
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return true };
            connection.flush();
            let mut may_have_more = connection.read(MAX_VIEWER_INPUT_BYTES);
            let is_closed = connection.has_ended;
            if !connection.input.is_empty() {
                let input = std::mem::take(&mut connection.input);
                let handled = self.handle_viewer_messages(connection_id, &input);
                let Some(connection) = self.state.connections.get_mut(connection_id) else { return true };
                match handled {
                    Ok(Handled { used, is_complete }) => {
                        connection.restore_input(input, used);
                        // Input that was left by an earlier turn may have left no room to read more.
                        may_have_more |= used > 0;
                        if !is_complete {
                            self.state.revisit_queue.push(connection_id);
                            return false;
                        }
                    }
                    Err(Unusable) => {
                        self.close_viewer_connection(connection_id);
                        return true;
                    }
                }
            }
            if is_closed {
                self.on_viewer_closed(connection_id);
                return true;
            }
            if !may_have_more {
                return true;
            }
        }
    }

    /// Handles the complete messages of `input`, as many as the connection may have handled in this turn. The
    /// error says that the connection is to be closed.
    fn handle_viewer_messages(
        &mut self,
        connection_id: ConnectionId,
        input: &[u8],
    ) -> Result<Handled, Unusable> {
        let mut used = 0;
        loop {
            match Message::parse(&input[used..]) {
                Ok(None) => return Ok(Handled { used, is_complete: true }),
                Err(e) => {
                    debug!(target: "viewer", "connection closed: message cannot be parsed: {e}");
                    self.state.stats.unusable += 1;
                    return Err(Unusable);
                }
                Ok(Some((message, n))) => {
                    if !self.state.may_handle_message(connection_id, n) {
                        return Ok(Handled { used, is_complete: false });
                    }
                    used += n;
                    if !self.handle_viewer_message(connection_id, &message) {
                        return Err(Unusable);
                    }
                    self.report_ends();
                }
            }
        }
    }

    /// Handles one message. Returns false if the connection is to be closed.
    fn handle_viewer_message(&mut self, connection_id: ConnectionId, message: &Message) -> bool {
        let play = message.session;
        match message.kind {
            kind::SET_UP => return self.handle_set_up(connection_id, message),
            kind::RELEASE => {
                let cause = message.cause().unwrap_or(CAUSE_WITHDRAWN);
                let Some(session) = self.state.sessions.get_mut(&play) else {
                    let now = self.state.now();
                    self.state.ended_sessions.record(now, play, EndReport::Viewer(cause));
                    return true;
                };
                if session.is_playing {
                    session.release_cause = cause;
                    self.on_session_ended_by_viewer(play);
                    self.mark_identified(connection_id);
                } else if session.viewer_connection_id == connection_id {
                    self.abandon_set_up(play);
                }
            }
            // The session ends as with a release, but the message states no cause.
            kind::MOVE => {
                if self.state.sessions.get(&play).is_some_and(|s| s.is_playing) {
                    self.on_session_ended_by_viewer(play);
                    self.mark_identified(connection_id);
                }
            }
            kind::HEALTH_CHECK => {
                let passed = u8::from(self.state.stopping_since.is_none());
                let bytes = pulleystair_viewer_protocol::encode(
                    kind::HEALTH_CHECK_REPLY,
                    play,
                    &[(code::CAUSE, &[passed])],
                );
                self.state.write_to_viewer(connection_id, &bytes.unwrap_or_default());
                if let Some(viewer) = self.state.viewer_connection(connection_id) {
                    // The connection is not closed for lack of a set-up.
                    viewer.accepted_at = f64::INFINITY;
                }
            }
            kind::PROGRESS | kind::ACK | kind::NOTE | kind::RUNG => {}
            _ => return false,
        }
        true
    }

    /// Marks a connection as identified as a viewer's: pending end notices are sent on it, and it is not
    /// closed at `UNIDENTIFIED_TIMEOUT_MS`.
    pub(crate) fn mark_identified(&mut self, connection_id: ConnectionId) {
        if self
            .state
            .viewer_connection(connection_id)
            .is_some_and(|viewer| !std::mem::replace(&mut viewer.is_identified, true))
        {
            self.state.send_pending_notices(connection_id);
        }
    }

    /// Handles a set-up: starts a play, takes a session over, or rejects it. Returns false if the connection is
    /// to be closed. However many set-ups are rejected, that is no reason: others may be open on the
    /// connection, or under way to it.
    fn handle_set_up(&mut self, connection_id: ConnectionId, message: &Message) -> bool {
        let play = message.session;
        let now = self.state.now();
        let is_known =
            self.state.sessions.contains_key(&play) || self.state.unlisted_hand_overs.contains(play);
        let mut set_up = match self.parse_set_up(now, message) {
            Ok(set_up) => set_up,
            Err(cause) => {
                debug!(target: "viewer", play = format!("{play:016x}"), "set-up not usable: {cause}");
                // The id belongs to a known play, whose answer this set-up must not take.
                if is_known {
                    return false;
                }
                self.state.stats.unusable += 1;
                self.state.write_final_message(connection_id, play, CAUSE_UNUSABLE, 0.0);
                return true;
            }
        };
        let current_server_id = set_up.current_server_id.take();
        let Some(viewer) = self.state.viewer_connection(connection_id) else { return true };
        let viewer_ip = viewer.ip;
        if is_known {
            let is_hand_over = current_server_id.is_some();
            if is_hand_over {
                self.handle_known_hand_over(play, connection_id, viewer_ip);
            }
            return is_hand_over;
        }
        if let Some(server_id) = current_server_id {
            let viewer_connection_id = connection_id;
            self.handle_hand_over(HandOver { play, viewer_connection_id, viewer_ip, server_id, set_up });
            return true;
        }
        // A viewer that has closed its connection by now has left.
        if self.state.connections.get(connection_id).is_none_or(|connection| connection.has_ended) {
            return true;
        }
        self.state.stats.asked += 1;
        let earlier = self.state.recent_plays.take(now, play);
        let Some(viewer) = self.state.viewer_connection(connection_id) else { return true };
        let pending_here = viewer.pending_set_ups.len();
        let is_over_limit = self.state.viewer_connections.len() > self.state.shares.viewers;
        if is_over_limit
            || pending_here >= MAX_SET_UPS_PER_VIEWER_CONNECTION
            || self.state.pending_set_up_count >= MAX_PENDING_SET_UPS
            || !self.state.has_room_for(&set_up)
        {
            self.state.stats.flooded += 1;
            let retry_after = self.state.limits.max_retry_after;
            let mut cause = CAUSE_BUSY;
            if let Some(earlier) = earlier {
                cause = CAUSE_FAILED;
                self.state.recent_plays.insert(now, play, earlier);
            }
            self.state.write_final_message(connection_id, play, cause, retry_after);
            return true;
        }
        if let Some(viewer) = self.state.viewer_connection(connection_id) {
            viewer.pending_set_ups.push(play);
        }
        self.state.pending_set_up_count += 1;
        self.mark_identified(connection_id);
        self.start_play(now, play, connection_id, set_up, earlier);
        true
    }

    /// Starts the play of a set-up that was taken. If its id was used before, the dispatcher is told which
    /// attempts may have run.
    fn start_play(
        &mut self,
        now: f64,
        play: u64,
        connection_id: ConnectionId,
        set_up: SetUpRequest,
        earlier: Option<EarlierAttempts>,
    ) {
        let request = set_up.request;
        let viewer_ip = self.state.viewer_connection(connection_id).and_then(|viewer| viewer.ip);
        let mut session = self.state.new_session(connection_id, viewer_ip, set_up);
        let Some(earlier) = earlier else {
            self.state.sessions.insert(play, session);
            return self.dispatcher.add_play(now, play, &request, &mut self.state);
        };
        let EarlierAttempts { server_number, sent_at, count, connections } = earlier;
        session.attempts = count;
        session.earlier_connections = connections;
        session.may_have_run = Some((server_number, sent_at));
        self.state.sessions.insert(play, session);
        // Nothing is known any more of a server that was forgotten, so nothing can follow an attempt there.
        if !self.state.servers.contains_key(&server_number) {
            return self.state.reject_play(play, CAUSE_FAILED, 0.0);
        }
        let earlier = EarlierAllocations { count: count as usize, server_id: server_number, sent_at };
        self.dispatcher.add_returning_play(now, play, &request, &earlier, &mut self.state);
    }
}
