//! What a node keeps about each media server and about each connection to one.

use crate::liveness::{Connectivity, Liveness};
use crate::state::{NodeState, Role};
use pulleystair::{Listing, Standing};
use pulleystair_connections::ConnectionId;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of TEARDOWNs that wait on one connection to be sent.
const MAX_UNSENT_TEARDOWNS: usize = 1_024;

/// A media server that a list has named.
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) listing: Listing,
    pub(crate) connections: Vec<ConnectionId>,
    /// How many sessions play on it.
    pub(crate) playing_sessions: usize,
    pub(crate) liveness: Liveness,
}

impl Server {
    /// A server that has just been listed.
    pub(crate) fn new(id: String, address: SocketAddr, listing: Listing) -> Server {
        Server {
            id,
            address,
            listing,
            connections: Vec::new(),
            playing_sessions: 0,
            liveness: Liveness::default(),
        }
    }

    /// Whether the server is listed as gone or is missing from the list.
    pub(crate) fn is_gone(&self) -> bool {
        self.listing.standing == Standing::Gone
    }

    /// The address to dial; `None` if the server is gone.
    pub(crate) fn dial_address(&self) -> Option<SocketAddr> {
        (!self.is_gone()).then_some(self.address)
    }
}

/// A connection to a media server.
pub(crate) struct ServerConnection {
    pub(crate) server_number: u32,
    /// Set-ups on this connection that have no response yet.
    pub(crate) pending_set_ups: Vec<PendingSetUp>,
    /// TEARDOWNs that were queued on this connection and of which no byte was sent yet, in the order of their
    /// offsets; at most [`MAX_UNSENT_TEARDOWNS`].
    pub(crate) unsent_teardowns: VecDeque<Teardown>,
    /// When the connection was established, Unix ms.
    pub(crate) established_at: Option<f64>,
    /// When something last arrived on the connection, and when something last arrived or was queued, Unix ms.
    pub(crate) last_heard_at: f64,
    pub(crate) last_active_at: f64,
    /// Whether a set-up had no response in time while the connection was silent. No further set-ups are sent
    /// on such a connection.
    pub(crate) is_unresponsive: bool,
    /// When it was dialled, Unix ms.
    pub(crate) dialled_at: f64,
}

impl ServerConnection {
    pub(crate) fn new(server_number: u32, now: f64) -> ServerConnection {
        ServerConnection {
            server_number,
            pending_set_ups: Vec::new(),
            unsent_teardowns: VecDeque::new(),
            established_at: None,
            last_heard_at: now,
            last_active_at: now,
            is_unresponsive: false,
            dialled_at: now,
        }
    }

    /// Whether a further TEARDOWN may be queued. A server that leaves so many unread may never read them.
    pub(crate) fn has_room_for_teardown(&self) -> bool {
        self.unsent_teardowns.len() < MAX_UNSENT_TEARDOWNS
    }

    /// Forgets the TEARDOWNs that were sent, at least in part.
    pub(crate) fn forget_sent_teardowns(&mut self, bytes_sent: u64) {
        while self.unsent_teardowns.front().is_some_and(|teardown| teardown.offset < bytes_sent) {
            self.unsent_teardowns.pop_front();
        }
    }

    /// Whether the connection is established.
    pub(crate) fn is_established(&self) -> bool {
        self.established_at.is_some()
    }

    /// When it was established or, until then, dialled, Unix ms. A server process that started later does not
    /// know this connection.
    pub(crate) fn opened_at(&self) -> f64 {
        self.established_at.unwrap_or(self.dialled_at)
    }
}

/// A set-up on a connection: its offset among all bytes queued on the connection, and its length.
#[derive(Clone, Copy)]
pub(crate) struct PendingSetUp {
    pub(crate) play: u64,
    pub(crate) offset: u64,
    pub(crate) length: usize,
}

/// The TEARDOWN with which a server is told that a session at it has ended.
pub(crate) struct Teardown {
    pub(crate) server_number: u32,
    pub(crate) play: u64,
    pub(crate) cause: u8,
    /// When the TEARDOWN was created, Unix ms.
    pub(crate) created_at: f64,
    /// Its offset among all bytes queued on its connection; 0 if it was not queued yet.
    pub(crate) offset: u64,
}

impl NodeState {
    /// Counts a session that plays at a server from now on.
    pub(crate) fn add_playing_session(&mut self, now: f64, server_number: u32) {
        let Some(server) = self.servers.get_mut(&server_number) else { return };
        if server.playing_sessions == 0 {
            server.liveness.on_first_session(now);
            self.playing_servers.insert(server_number);
        }
        server.playing_sessions += 1;
    }

    /// Counts the end of a session that played at a server.
    pub(crate) fn remove_playing_session(&mut self, server_number: u32) {
        let Some(server) = self.servers.get_mut(&server_number) else { return };
        server.playing_sessions = server.playing_sessions.saturating_sub(1);
        if server.playing_sessions == 0 {
            self.playing_servers.remove(&server_number);
        }
    }

    /// Whether a connection to a server is established and was not closed by its peer, as far as is known.
    pub(crate) fn is_established(&self, connection_id: ConnectionId) -> bool {
        self.connections.get(connection_id).is_some_and(|connection| {
            let is_established =
                matches!(&connection.role, Role::Server(connection) if connection.is_established());
            is_established && !connection.has_ended
        })
    }

    /// Whether any connection to a server is established.
    pub(crate) fn has_established_connection(&self, server: &Server) -> bool {
        server.connections.iter().any(|connection_id| self.is_established(*connection_id))
    }

    /// How a server is connected to the node.
    pub(crate) fn connectivity(&self, server: &Server) -> Connectivity {
        let is_pending = |connection_id: &ConnectionId| {
            let role = self.connections.get(*connection_id).map(|connection| &connection.role);
            matches!(role, Some(Role::Server(connection)) if !connection.is_established())
        };
        if server.connections.is_empty() {
            Connectivity::Unconnected
        } else if server.connections.iter().any(is_pending) {
            Connectivity::Dialling
        } else {
            Connectivity::Connected
        }
    }
}
