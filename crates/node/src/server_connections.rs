//! The connections to media servers: which of them to use, and when to open and to close one.

use crate::media_server::ServerConnection;
use crate::state::{MAX_NOTICES, NodeState, Role, Timer};
use pulleystair_connections::ConnectionId;
use tracing::debug;

/// A connection to a server with sessions is kept for at least this long, ms: the server may have ends to
/// report on it.
const MIN_CONNECTION_TIME_MS: f64 = 500.0;

impl NodeState {
    /// The id of a server, for the log.
    pub(crate) fn server_id(&self, server_number: u32) -> &str {
        self.servers.get(&server_number).map_or("?", |s| s.id.as_str())
    }

    /// Opens a connection to a listed server. At the limit of connections, another one is closed for it (see
    /// `close_idle_connection`). Returns `None` if no connection can be opened.
    pub(crate) fn dial(&mut self, server_number: u32, may_close_needed: bool) -> Option<ConnectionId> {
        let now = self.now();
        let server = self.servers.get_mut(&server_number)?;
        let address = server.dial_address()?;
        server.liveness.on_dialled(now);
        if self.is_at_connection_limit() && !self.close_idle_connection(may_close_needed) {
            return None;
        }
        let server = self.servers.get(&server_number)?;
        let stream = pulleystair_connections::connect(address)
            .inspect_err(|e| debug!(target: "server", id = server.id, "cannot open a connection: {e}"))
            .ok()?;
        let server_connection = ServerConnection::new(server_number, now);
        let connection_id = self.connections.open(stream, None, Role::Server(server_connection)).ok()?;
        let server = self.servers.get_mut(&server_number)?;
        server.connections.push(connection_id);
        debug!(target: "server", server = server.id, lines = server.connections.len(), playing = server.playing_sessions, silent = server.liveness.silence(now), "opening a connection");
        let dial_deadline = now + self.limits.dial_timeout;
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.deadline = dial_deadline;
        }
        self.schedule(dial_deadline, Timer::ConnectionDeadline(connection_id));
        Some(connection_id)
    }

    /// Whether there are as many connections to servers as there may be.
    pub(crate) fn is_at_connection_limit(&self) -> bool {
        self.server_connection_count() >= self.shares.servers
    }

    /// Closes the connection to a server that is needed least, and returns whether there was one. No set-up
    /// may be pending on it and no output may wait, and its server must have no sessions or another
    /// connection. Of several, the one that was silent longest is closed. If `may_close_needed`, the only
    /// connection to a server with sessions may be closed as a last resort, once the server has had the time
    /// to report all earlier ends on it; that server is dialled again later.
    fn close_idle_connection(&mut self, may_close_needed: bool) -> bool {
        let now = self.now();
        let mut idle: Vec<(bool, f64, ConnectionId)> = Vec::new();
        for server in self.servers.values() {
            let is_needed = server.playing_sessions > 0 && server.connections.len() <= 1;
            for connection_id in &server.connections {
                let Some(connection) = self.connections.get_mut(*connection_id) else { continue };
                let has_pending_output = connection.unsent_bytes() > 0;
                let Role::Server(server_connection) = &connection.role else { continue };
                let may_close = !is_needed
                    || may_close_needed
                        && server_connection.is_established()
                        && now - server_connection.dialled_at >= MIN_CONNECTION_TIME_MS;
                if may_close && !has_pending_output && server_connection.pending_set_ups.is_empty() {
                    idle.push((is_needed, server_connection.last_heard_at, *connection_id));
                }
            }
        }
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        // A server reports an end on one connection, or on the next one that is opened. So input on this
        // connection may be the only report of an end, and has to be handled first.
        let Some((_, _, connection_id)) =
            idle.into_iter().find(|(_, _, connection_id)| self.has_no_unhandled_input(*connection_id))
        else {
            return false;
        };
        self.close_server_connection(connection_id);
        true
    }

    /// Whether the peer has kept the connection open and all input on it was handled.
    fn has_no_unhandled_input(&mut self, connection_id: ConnectionId) -> bool {
        self.is_peer_open(connection_id)
            && self.connections.get_mut(connection_id).is_some_and(|connection| connection.input.is_empty())
    }

    /// How many connections to servers are open: all that are not viewers'.
    pub(crate) fn server_connection_count(&self) -> usize {
        self.connections.count() - self.viewer_connections.len()
    }

    /// How many connections one server may have: its share of all connections to servers.
    fn max_connections_per_server(&self) -> usize {
        let connected_servers = self.servers.values().filter(|s| !s.connections.is_empty()).count().max(8);
        (self.shares.servers / connected_servers).clamp(1, 8)
    }

    /// The connection on which to send a set-up: one without pending set-ups, otherwise a new one, otherwise
    /// the one with the fewest pending set-ups. A connection that its server has closed is not used, nor one
    /// that its server may close as idle while the set-up is on its way.
    pub(crate) fn connection_for_set_up(
        &mut self,
        server_number: u32,
        excluded: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let connection_ids = self.servers.get(&server_number)?.connections.clone();
        let now = self.now();
        let max_idle = self.limits.idle_close - self.limits.dial_timeout;
        let mut best: Option<(bool, usize, ConnectionId)> = None;
        for connection_id in &connection_ids {
            if self
                .server_connection(*connection_id)
                .is_none_or(|server_connection| server_connection.is_established())
                && !self.is_peer_open(*connection_id)
            {
                continue;
            }
            let Some(connection) = self.connections.get_mut(*connection_id) else { continue };
            let Role::Server(server_connection) = &connection.role else { continue };
            let may_be_closing = server_connection.pending_set_ups.is_empty()
                && now - server_connection.last_active_at > max_idle;
            if server_connection.is_unresponsive
                || connection.has_ended
                || may_be_closing
                || excluded.contains(connection_id)
                || server_connection.pending_set_ups.len() >= self.limits.max_set_ups_per_server_connection
            {
                continue;
            }
            let candidate = (
                !server_connection.is_established(),
                server_connection.pending_set_ups.len(),
                *connection_id,
            );
            if best.is_none_or(|b| (candidate.1, candidate.0) < (b.1, b.0)) {
                best = Some(candidate);
            }
        }
        let has_max_connections = connection_ids.len() >= self.max_connections_per_server();
        let may_dial = !has_max_connections && !self.is_at_connection_limit();
        match best {
            Some((_, 0, connection_id)) => Some(connection_id),
            Some((_, _, connection_id)) if !may_dial => Some(connection_id),
            Some((_, _, connection_id)) => self.dial(server_number, false).or(Some(connection_id)),
            // None of the connections to this server can be used. If the server has as many as it may have,
            // one without pending set-ups is closed for a new one.
            None => {
                let is_unused = |connection_id: &ConnectionId| {
                    self.server_connection(*connection_id)
                        .is_some_and(|server_connection| server_connection.pending_set_ups.is_empty())
                };
                let unused_connections: Vec<ConnectionId> =
                    connection_ids.into_iter().filter(is_unused).collect();
                if let Some(connection_id) = unused_connections
                    .into_iter()
                    .find(|connection_id| has_max_connections && self.has_no_unhandled_input(*connection_id))
                {
                    self.close_server_connection(connection_id);
                }
                self.dial(server_number, true)
            }
        }
    }

    /// A connection on which to send requests about a server's sessions: an existing one, or a new one. If the
    /// server is gone, that is one to its successor, at which the sessions run that are left.
    /// `may_close_needed`: the only connection to another server with sessions may be closed for the new one.
    pub(crate) fn connection_to(
        &mut self,
        server_number: u32,
        may_close_needed: bool,
    ) -> Option<ConnectionId> {
        let connection_ids = self.servers.get(&server_number)?.connections.clone();
        let usable = connection_ids.into_iter().find(|connection_id| {
            self.connections
                .get_mut(*connection_id)
                .is_some_and(|connection| !connection.has_ended && matches!(&connection.role, Role::Server(server_connection) if !server_connection.is_unresponsive))
        });
        if usable.is_some() {
            return usable;
        }
        match self.successor(server_number) {
            Some(successor) => self.connection_to(successor, may_close_needed),
            None => self.dial(server_number, may_close_needed),
        }
    }

    /// The `preferred` connection if it is open, otherwise any connection to the server.
    pub(crate) fn preferred_or_any_connection(
        &mut self,
        server_number: u32,
        preferred: Option<ConnectionId>,
    ) -> Option<ConnectionId> {
        let usable = preferred.filter(|connection_id| {
            self.connections.get_mut(*connection_id).is_some_and(|connection| !connection.has_ended)
        });
        usable.or_else(|| self.connection_to(server_number, true))
    }

    /// Queues bytes for a server. They are sent at once if the connection is known to be established,
    /// otherwise when it is found to be.
    pub(crate) fn write_to_server(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.queue(bytes);
        if matches!(&connection.role, Role::Server(server_connection) if server_connection.is_established()) {
            connection.flush();
        }
        let (is_closed, bytes_sent) = (connection.has_ended, connection.bytes_sent());
        if let Role::Server(server_connection) = &mut connection.role {
            server_connection.last_active_at = now;
            server_connection.forget_sent_teardowns(bytes_sent);
        }
        if is_closed {
            self.revisit_queue.push(connection_id);
        }
    }

    /// Closes a connection to a server. No set-up may be pending on it.
    pub(crate) fn close_server_connection(&mut self, connection_id: ConnectionId) {
        let bytes_sent =
            self.connections.get_mut(connection_id).map_or(0, |connection| connection.bytes_sent());
        let Some(Role::Server(server_connection)) = self.connections.close(connection_id) else { return };
        // TEARDOWNs of which no byte was sent are sent on another connection.
        let unsent =
            server_connection.unsent_teardowns.into_iter().filter(|teardown| teardown.offset >= bytes_sent);
        self.pending_teardowns.extend(unsent.take(MAX_NOTICES.saturating_sub(self.pending_teardowns.len())));
        if let Some(server) = self.servers.get_mut(&server_connection.server_number) {
            server.connections.retain(|id| *id != connection_id);
        }
    }
}
