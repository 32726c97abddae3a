//! Connections that are to be handled again in the next turn of the event loop, each once.

use pulleystair_connections::ConnectionId;
use std::collections::{HashSet, VecDeque};

/// The queue of these connections. Those that are queued first are handled first.
#[derive(Default)]
pub(crate) struct RevisitQueue {
    order: VecDeque<ConnectionId>,
    queued: HashSet<ConnectionId>,
}

impl RevisitQueue {
    /// Queues a connection, unless it is queued already.
    pub(crate) fn push(&mut self, connection_id: ConnectionId) {
        if self.queued.insert(connection_id) {
            self.order.push_back(connection_id);
        }
    }

    /// Removes and returns the first connection.
    pub(crate) fn pop(&mut self) -> Option<ConnectionId> {
        let connection_id = self.order.pop_front()?;
        self.queued.remove(&connection_id);
        Some(connection_id)
    }

    /// Whether this connection is queued.
    pub(crate) fn contains(&self, connection_id: ConnectionId) -> bool {
        self.queued.contains(&connection_id)
    }

    /// How many connections are queued.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no connection is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
