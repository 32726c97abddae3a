//! The connections of one event loop, and how they are registered with it.

use crate::{Connection, ConnectionId, connection_id};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use rustls::Connection as TlsConnection;
use slab::Slab;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// Implemented by the owner of the event loop on which the connections are registered.
pub trait ConnectionHandler: 'static {
    /// Called when the connection may be readable or writable, or has ended.
    fn connection_ready(&mut self, id: ConnectionId);
}

/// All connections of one event loop.
pub struct Connections<H: ConnectionHandler, R, O = ()> {
    connections: Slab<(u32, Connection<R, O>)>,
    generation: u32,
    handle: LoopHandle<'static, H>,
}

impl<H: ConnectionHandler, R, O: Default> Connections<H, R, O> {
    /// Creates an empty set of connections on this event loop.
    pub fn new(handle: LoopHandle<'static, H>) -> Connections<H, R, O> {
        Connections { connections: Slab::new(), generation: 0, handle }
    }

    /// Registers a stream with the event loop and returns the id of its connection.
    pub fn open(
        &mut self,
        stream: TcpStream,
        tls: Option<TlsConnection>,
        role: R,
    ) -> io::Result<ConnectionId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.generation = self.generation.wrapping_add(1);
        let entry = self.connections.vacant_entry();
        let id = connection_id(entry.key(), self.generation);
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let source = self
            .handle
            .insert_source(source, move |_, _, owner| {
                owner.connection_ready(id);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        let connection = Connection {
            stream,
            tls: tls.map(Box::new),
            tls_error: None,
            source,
            role,
            options: O::default(),
            input: Vec::new(),
            output: Vec::new(),
            output_sent: 0,
            bytes_queued: 0,
            bytes_sent: 0,
            deadline: f64::INFINITY,
            has_ended: false,
            failure: None,
            is_write_shut_down: false,
            is_connected: false,
            is_handshake_reported: false,
        };
        entry.insert((self.generation, connection));
        Ok(id)
    }

    /// The connection with this id, or `None` if the owner has closed it.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection<R, O>> {
        let (generation, connection) = self.connections.get(id as u32 as usize)?;
        (*generation == (id >> 32) as u32).then_some(connection)
    }

    /// The connection with this id, to be changed, or `None` if the owner has closed it.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection<R, O>> {
        let (generation, connection) = self.connections.get_mut(id as u32 as usize)?;
        (*generation == (id >> 32) as u32).then_some(connection)
    }

    /// Whether any connection whose role satisfies `has_role` still has unsent bytes.
    pub fn any_unsent_bytes(&self, has_role: impl Fn(&R) -> bool) -> bool {
        self.connections
            .iter()
            .any(|(_, (_, connection))| has_role(&connection.role) && connection.unsent_bytes() > 0)
    }

    /// The ids of all open connections.
    pub fn ids(&self) -> Vec<ConnectionId> {
        self.connections.iter().map(|(slot, (generation, _))| connection_id(slot, *generation)).collect()
    }

    /// How many connections are open.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Closes a connection and returns its role, or `None` if the owner has closed it before.
    pub fn close(&mut self, id: ConnectionId) -> Option<R> {
        self.get_mut(id)?;
        let (_, connection) = self.connections.remove(id as u32 as usize);
        self.handle.remove(connection.source);
        Some(connection.role)
    }
}
