//! The connections of viewers: how they are accepted, closed for room, and closed.

use crate::node::Node;
use crate::shares::{RETRY_DELAY_MS, is_resource_exhaustion};
use crate::state::{HandledInTurn, Role, Timer, ViewerConnection};
use pulleystair_connections::ConnectionId;
use std::collections::HashSet;
use tracing::debug;

/// Maximum number of connections that are accepted in a turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;
/// A connection that is not identified as a viewer's after this time is closed, ms. It must be closed within
/// 3 s.
const UNIDENTIFIED_TIMEOUT_MS: f64 = 2_400.0;
/// How many connections are accepted beyond the limit, only to reject set-ups on them. They use the reserved
/// descriptors.
const EXTRA_CONNECTIONS: usize = 8;
/// An end notice that was sent less than this time before the viewer's close is seen may have crossed the
/// close on the network, ms. The platform states this time for a set-up that crosses a close; it is used for
/// notices too.
const CLOSE_CROSSING_MS: f64 = 50.0;

impl Node {
    /// Accepts waiting connections. Returns false if some may still wait: there was no descriptor for them, or
    /// this turn has accepted enough. The event loop reports the listener again for those.
    pub(crate) fn accept_viewers(&mut self) -> bool {
        let Some(listener) = self.state.listener.as_ref().map(|registered| registered.1.clone()) else {
            return true;
        };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
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
                handled_in_turn: HandledInTurn::default(),
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
        false
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
            let is_read = self.handle_viewer_connection(connection_id);
            if is_read
                && self
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
        let deadline = connection.deadline;
        let Some(Role::Viewer(viewer)) = self.state.connections.close(connection_id) else { return };
        self.state.cancel_timer(deadline, Timer::ConnectionDeadline(connection_id));
        self.state.viewer_connections.retain(|id| *id != connection_id);
        debug!(target: "viewer", key = connection_id, proven = viewer.is_identified, unread, viewers = self.state.viewer_connections.len(), "viewer connection closed");
        for notice in viewer.recent_notices.into_iter().filter(|_| unread) {
            self.state.send_end_notice(notice, connection_id);
        }
    }

    /// Handles a connection that its viewer has closed. A recent end notice may have crossed the close on the
    /// network. In that case the viewer's machine resets the connection when the notice arrives, so the
    /// connection is kept open for `CLOSE_CROSSING_MS` after the notice, until the reset has been seen.
    pub(crate) fn on_viewer_closed(&mut self, connection_id: ConnectionId) {
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
}
