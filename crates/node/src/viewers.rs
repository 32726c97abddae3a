//! What viewers send: set-ups, the withdrawal of set-ups, the ends of sessions, and health checks.

use crate::ended_sessions::EndReport;
use crate::hand_overs::HandOver;
use crate::node::Node;
use crate::set_up::new_session;
use crate::shares::{RETRY_DELAY_MS, is_resource_exhaustion};
use crate::state::{
    CAUSE_BUSY, CAUSE_UNUSABLE, CAUSE_WITHDRAWN, MAX_INPUT_BYTES, Role, Timer, ViewerConnection,
};
use pulleystair_connections::ConnectionId;
use pulleystair_viewer_protocol::{Message, code, kind};
use std::collections::HashSet;
use tracing::debug;

/// Maximum number of reads of one connection in a turn.
const MAX_VIEWER_READS_PER_TURN: usize = 64;
/// A connection that is not identified as a viewer's after this time is closed, ms. It must be closed within
/// 3 s.
const UNIDENTIFIED_TIMEOUT_MS: f64 = 2_400.0;
/// Maximum number of set-ups that may be pending on one connection, and on all connections together.
const MAX_SET_UPS_PER_VIEWER_CONNECTION: usize = 48;
const MAX_PENDING_SET_UPS: usize = 1_024;
/// How many connections are accepted beyond the limit, only to reject set-ups on them. They use the reserved
/// descriptors.
const EXTRA_CONNECTIONS: usize = 8;
/// An end notice that was sent less than this time before the viewer's close is seen may have crossed the
/// close on the network, ms. The platform states this time for a set-up that crosses a close; it is used for
/// notices too.
const CLOSE_CROSSING_MS: f64 = 50.0;

impl Node {
    /// Accepts all waiting connections. Returns false if there was no descriptor for some of them.
    pub(crate) fn accept_viewers(&mut self) -> bool {
        let Some(listener) = self.state.listener.as_ref().map(|registered| registered.1.clone()) else {
            return true;
        };
        loop {
            let (stream, address) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => continue,
                // No descriptor is left for the waiting connection, so another one is closed.
                Err(e) if is_resource_exhaustion(&e) && self.evict_viewer_connection() => continue,
                Err(e) if is_resource_exhaustion(&e) => {
                    self.pause_accepting();
                    return false;
                }
                Err(_) => return true,
            };
            // If set-ups are pending on all connections, a few more are accepted in order to reject their
            // set-ups.
            let max_connections = self.state.shares.viewers;
            if self.state.viewer_connections.len() >= max_connections
                && !self.evict_viewer_connection()
                && self.state.viewer_connections.len() >= max_connections + EXTRA_CONNECTIONS
            {
                drop(stream);
                continue;
            }
            let now = self.state.now();
            let viewer = ViewerConnection {
                ip: Some(address.ip()),
                accepted_at: now,
                is_identified: false,
                pending_set_ups: Vec::new(),
                recent_notices: Vec::new(),
            };
            let Ok(connection_id) = self.state.connections.open(stream, None, Role::Viewer(viewer)) else {
                continue;
            };
            self.state.viewer_connections.push_back(connection_id);
            debug!(target: "viewer", key = connection_id, viewers = self.state.viewer_connections.len(), "viewer connected");
            if let Some(connection) = self.state.connections.get_mut(connection_id) {
                connection.deadline = now + UNIDENTIFIED_TIMEOUT_MS;
            }
            self.state.schedule(now + UNIDENTIFIED_TIMEOUT_MS, Timer::ConnectionDeadline(connection_id));
        }
    }

    /// Pauses accepting for `RETRY_DELAY_MS`. Without a descriptor for the waiting connections, the listener
    /// would be reported as ready again and again.
    fn pause_accepting(&mut self) {
        if let Some((registration, _)) = &self.state.listener {
            let _ = self.state.loop_handle.disable(registration);
            let now = self.state.now();
            self.state.schedule(now + RETRY_DELAY_MS, Timer::ResumeAccepting);
        }
    }

    /// Accepts connections again after a pause.
    pub(crate) fn resume_accepting(&mut self) {
        if let Some((registration, _)) = &self.state.listener {
            let _ = self.state.loop_handle.enable(registration);
        }
    }

    /// Closes one viewer's connection without pending set-ups to free its descriptor, and returns whether
    /// there was one. The oldest connection that is not identified as a viewer's is closed first, then the
    /// oldest without a playing session. Connections of playing sessions come last, because their viewers are
    /// notified of the end there. Input that has arrived by now is handled first.
    pub(crate) fn evict_viewer_connection(&mut self) -> bool {
        let state = &mut self.state;
        let playing_on: HashSet<ConnectionId> =
            state.sessions.values().filter(|s| s.is_playing).map(|s| s.viewer_connection_id).collect();
        let mut idle: Vec<(bool, bool, ConnectionId)> = Vec::new();
        for connection_id in state.viewer_connections.clone() {
            if let Some(viewer) =
                state.viewer_connection(connection_id).filter(|viewer| viewer.pending_set_ups.is_empty())
            {
                idle.push((viewer.is_identified, playing_on.contains(&connection_id), connection_id));
            }
        }
        // The sort is stable, so equal connections stay in the order in which they were accepted.
        idle.sort_by_key(|entry| (entry.0, entry.1));
        for (_, _, connection_id) in idle {
            self.handle_viewer_connection(connection_id);
            if self
                .state
                .viewer_connection(connection_id)
                .is_none_or(|viewer| viewer.pending_set_ups.is_empty())
            {
                self.state.stats.evicted += 1;
                self.close_viewer_connection(connection_id);
                return true;
            }
        }
        false
    }

    /// Closes a viewer's connection. Its pending set-ups are abandoned, and end notices that the viewer may
    /// not have received are sent again.
    pub(crate) fn close_viewer_connection(&mut self, connection_id: ConnectionId) {
        self.abandon_pending_set_ups(connection_id);
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let unread = connection.is_broken() || connection.unsent_bytes() > 0;
        let Some(Role::Viewer(viewer)) = self.state.connections.close(connection_id) else { return };
        self.state.viewer_connections.retain(|id| *id != connection_id);
        debug!(target: "viewer", key = connection_id, proven = viewer.is_identified, unread, viewers = self.state.viewer_connections.len(), "viewer connection closed");
        for notice in viewer.recent_notices.into_iter().filter(|_| unread) {
            self.state.send_end_notice(notice, connection_id);
        }
    }

    /// Handles a connection that its viewer has closed. A recent end notice may have crossed the close on the
    /// network. In that case the viewer's machine resets the connection when the notice arrives, so the
    /// connection is kept open for `CLOSE_CROSSING_MS` after the notice, until the reset has been seen.
    fn on_viewer_closed(&mut self, connection_id: ConnectionId) {
        let now = self.state.now();
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let broken = connection.is_broken();
        let Role::Viewer(viewer) = &connection.role else { return };
        let close_at = viewer
            .recent_notices
            .iter()
            .map(|notice| notice.queued_at + CLOSE_CROSSING_MS)
            .fold(now, f64::max);
        if broken || close_at <= now {
            return self.close_viewer_connection(connection_id);
        }
        connection.deadline = close_at;
        self.state.schedule(close_at, Timer::ConnectionDeadline(connection_id));
        self.abandon_pending_set_ups(connection_id);
    }

    /// Abandons all set-ups that are pending on a viewer's connection.
    fn abandon_pending_set_ups(&mut self, connection_id: ConnectionId) {
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
            self.state.sessions.remove(&play);
        }
    }

    /// Handles the input of a viewer's connection. Returns false if input may be left for the next turn.
    pub(crate) fn handle_viewer_connection(&mut self, connection_id: ConnectionId) -> bool {
        for _ in 0..MAX_VIEWER_READS_PER_TURN {
            let Some(connection) = self.state.connections.get_mut(connection_id) else { return true };
            connection.flush();
            let has_read = connection.read(MAX_INPUT_BYTES);
            let is_closed = connection.has_ended;
            if !connection.input.is_empty() {
                let input = std::mem::take(&mut connection.input);
                let used = self.handle_viewer_messages(connection_id, &input);
                let Some(connection) = self.state.connections.get_mut(connection_id) else { return true };
                let Some(used) = used else {
                    self.close_viewer_connection(connection_id);
                    return true;
                };
                connection.restore_input(input, used);
            }
            if is_closed {
                self.on_viewer_closed(connection_id);
                return true;
            }
            if !has_read {
                return true;
            }
        }
        self.state.revisit_queue.push_back(connection_id);
        false
    }

    /// Handles the complete messages of `input`. Returns how many bytes they take, or `None` if the
    /// connection is to be closed.
    fn handle_viewer_messages(&mut self, connection_id: ConnectionId, input: &[u8]) -> Option<usize> {
        let mut used = 0;
        loop {
            match Message::parse(&input[used..]) {
                Ok(None) => return Some(used),
                Err(e) => {
                    debug!(target: "viewer", "connection closed: message cannot be parsed: {e}");
                    self.state.stats.unusable += 1;
                    return None;
                }
                Ok(Some((message, n))) => {
                    used += n;
                    if !self.handle_viewer_message(connection_id, &message) {
                        return None;
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
        self.state.stats.asked += 1;
        let Some(viewer) = self.state.viewer_connection(connection_id) else { return true };
        let pending_here = viewer.pending_set_ups.len();
        let is_over_limit = self.state.viewer_connections.len() > self.state.shares.viewers;
        if is_over_limit
            || pending_here >= MAX_SET_UPS_PER_VIEWER_CONNECTION
            || self.state.pending_set_up_count >= MAX_PENDING_SET_UPS
        {
            self.state.stats.flooded += 1;
            let retry_after = self.state.limits.max_retry_after;
            self.state.write_final_message(connection_id, play, CAUSE_BUSY, retry_after);
            return true;
        }
        if let Some(viewer) = self.state.viewer_connection(connection_id) {
            viewer.pending_set_ups.push(play);
        }
        self.state.pending_set_up_count += 1;
        let request = set_up.request;
        self.state.sessions.insert(play, new_session(connection_id, viewer_ip, set_up));
        self.mark_identified(connection_id);
        self.dispatcher.add_play(now, play, &request, &mut self.state);
        true
    }
}
