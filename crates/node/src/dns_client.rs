//! The client of the name service: which queries are pending, and which responses are accepted.

use crate::node::Node;
use crate::state::NodeState;
use anyhow::Context;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use pulleystair_dns_discovery::{self as dns, ResponseError, ServerEntry};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::warn;

/// How long the response to a query is accepted, ms. A late response is as good as another: it holds the list
/// as it was when the response was sent.
const RESPONSE_TIMEOUT_MS: f64 = 30_000.0;
/// Maximum number of queries whose responses are accepted.
const MAX_PENDING_QUERIES: usize = 512;
/// Of consecutive rejected responses, one in this many is logged as a warning.
const ERRORS_PER_WARNING: u32 = 50;

/// A query whose response is accepted.
struct PendingQuery {
    id: u16,
    /// When it was sent, Unix ms.
    sent_at: f64,
}

/// The client of the name service.
pub(crate) struct DnsClient {
    /// The UDP socket, connected to the name service.
    socket: UdpSocket,
    /// The socket's registration with the event loop.
    pub(crate) source: RegistrationToken,
    /// The queries whose responses are accepted, oldest first. Several responses to one query are accepted.
    pending_queries: VecDeque<PendingQuery>,
    /// When the next query is due, Unix ms. Timers that fire earlier are stale and ignored.
    pub(crate) next_query_at: f64,
    /// The revision of the list in use, which is the number of the last event that it includes.
    pub(crate) revision: Option<u32>,
    /// Whether a response was accepted since the start.
    pub(crate) has_response: bool,
    /// When the newest of the queries was sent whose response holds the list in use, Unix ms; 0 if there is
    /// none.
    pub(crate) list_as_of: f64,
    /// The buffer for responses. Pages of it that no response has filled use no memory.
    buffer: Vec<u8>,
    /// How many consecutive responses were rejected.
    consecutive_errors: u32,
}

/// Opens a non-blocking UDP socket that is connected to the name service.
fn connect_socket(resolver: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if resolver.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(resolver)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl DnsClient {
    /// Opens the socket and registers it with the event loop.
    pub(crate) fn new(
        state: &NodeState,
        resolver: SocketAddr,
        revision: Option<u32>,
        has_response: bool,
    ) -> anyhow::Result<DnsClient> {
        let socket = connect_socket(resolver).context("resolver")?;
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        let source = state.loop_handle.insert_source(source, |_, _, node: &mut Node| {
            node.read_responses();
            Ok(PostAction::Continue)
        });
        let source = source.map_err(|e| anyhow::Error::new(std::io::Error::from(e.error)))?;
        Ok(DnsClient {
            socket,
            source,
            pending_queries: VecDeque::new(),
            next_query_at: 0.0,
            revision,
            has_response,
            list_as_of: 0.0,
            buffer: vec![0; dns::MAX_BYTES],
            consecutive_errors: 0,
        })
    }

    /// Sends a query. One that cannot be sent now is repeated at the next interval.
    pub(crate) fn send_query(&mut self, now: f64, id: u16) {
        let is_expired = |query: &PendingQuery| now - query.sent_at > RESPONSE_TIMEOUT_MS;
        while self.pending_queries.len() >= MAX_PENDING_QUERIES
            || self.pending_queries.front().is_some_and(is_expired)
        {
            self.pending_queries.pop_front();
        }
        self.pending_queries.push_back(PendingQuery { id, sent_at: now });
        let _ = self.socket.send(&dns::query(id));
    }

    /// Reads a response; `None` if there is none to read.
    pub(crate) fn receive(&mut self, now: f64) -> Option<Result<ListResponse, ResponseError>> {
        let n = self.socket.recv(&mut self.buffer).ok()?;
        let bytes = &self.buffer[..n];
        let id = dns::response_id(bytes);
        // Of several queries with the same id, the newest is taken for the response's.
        let query = self.pending_queries.iter().rev().find(|query| Some(query.id) == id);
        let Some(query) = query else { return Some(Err(ResponseError::UnknownId)) };
        let delay = now - query.sent_at;
        Some(dns::parse_response(bytes).map(|(serial, servers)| ListResponse { serial, servers, delay }))
    }

    /// Logs a response that was rejected, if it is the first of several in a row or one in
    /// [`ERRORS_PER_WARNING`]: if the list is not updated for lack of responses, the log has to show it.
    pub(crate) fn log_rejected(&mut self, error: &ResponseError) {
        self.consecutive_errors += 1;
        if self.consecutive_errors % ERRORS_PER_WARNING == 1 {
            warn!(target: "names", rev = self.revision, in_a_row = self.consecutive_errors, "DNS response rejected: {error}");
        }
    }

    /// Takes the revision of a response's list into use. Returns whether the list is to be applied: if it is
    /// newer than the one in use, or the first response that confirms the initial list. `sent_at`: when the
    /// query was sent, Unix ms.
    pub(crate) fn accept(&mut self, serial: u32, sent_at: f64) -> bool {
        self.consecutive_errors = 0;
        let is_newer = dns::is_newer(self.revision, serial);
        let is_confirmed = self.revision == Some(serial) && !self.has_response;
        if is_newer || is_confirmed {
            (self.revision, self.has_response) = (Some(serial), true);
        }
        if self.revision == Some(serial) {
            self.list_as_of = self.list_as_of.max(sent_at);
        }
        is_newer || is_confirmed
    }
}

/// A response of the name service.
pub(crate) struct ListResponse {
    /// The revision of the list.
    pub(crate) serial: u32,
    pub(crate) servers: Vec<ServerEntry>,
    /// How long after its query the response arrived, ms.
    pub(crate) delay: f64,
}
