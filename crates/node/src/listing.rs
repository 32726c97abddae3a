//! The list of media servers: the initial events of the configuration file, and then the responses of the
//! name service, which is queried about every 200 ms.

use crate::config::Config;
use crate::node::Node;
use crate::shares::{RETRY_DELAY_MS, is_resource_exhaustion};
use crate::state::{AttemptEnd, NodeState, Server, Timer};
use anyhow::Context;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_dns_discovery::{self as dns, ResponseError, ServerEntry};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{info, warn};

/// Interval between queries for the list, ms, and the fraction by which each interval varies, so that nodes
/// that started or were signalled together do not query together. A change is in use well within half a
/// second after it was published.
const QUERY_INTERVAL_MS: f64 = 200.0;
const QUERY_JITTER: f64 = 0.25;
/// Maximum number of names of zones, and of names of kinds, counting those of the settings and others.
const MAX_NAMES: usize = 4_096;
/// How long the response to a query is accepted, ms. A late response is as good as another: it holds the list
/// as it was when the response was sent.
const RESPONSE_TIMEOUT_MS: f64 = 30_000.0;
/// Maximum number of queries whose responses are accepted.
const MAX_PENDING_QUERIES: usize = 512;
/// Maximum number of responses that are read in a turn.
const MAX_RESPONSES_PER_TURN: usize = 8;
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
    source: RegistrationToken,
    /// The queries whose responses are accepted, oldest first. Several responses to one query are accepted.
    pending_queries: VecDeque<PendingQuery>,
    /// When the next query is due, Unix ms. Timers that fire earlier are stale and ignored.
    next_query_at: f64,
    /// The revision of the list in use, which is the number of the last event that it includes.
    pub(crate) revision: Option<u32>,
    /// Whether a response was accepted since the start.
    pub(crate) has_response: bool,
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
            buffer: vec![0; dns::MAX_BYTES],
            consecutive_errors: 0,
        })
    }

    /// Sends a query. One that cannot be sent now is repeated at the next interval.
    fn send_query(&mut self, now: f64, id: u16) {
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
    fn receive(&mut self, now: f64) -> Option<Result<ListResponse, ResponseError>> {
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
    fn log_rejected(&mut self, error: &ResponseError) {
        self.consecutive_errors += 1;
        if self.consecutive_errors % ERRORS_PER_WARNING == 1 {
            warn!(target: "names", rev = self.revision, in_a_row = self.consecutive_errors, "DNS response rejected: {error}");
        }
    }

    /// Takes the revision of a response's list into use. Returns whether the list is to be applied: if it is
    /// newer than the one in use, or the first response that confirms the initial list.
    fn accept(&mut self, serial: u32) -> bool {
        self.consecutive_errors = 0;
        let is_newer = dns::is_newer(self.revision, serial);
        let is_confirmed = self.revision == Some(serial) && !self.has_response;
        if is_newer || is_confirmed {
            (self.revision, self.has_response) = (Some(serial), true);
        }
        is_newer || is_confirmed
    }
}

/// A response of the name service.
struct ListResponse {
    /// The revision of the list.
    serial: u32,
    servers: Vec<ServerEntry>,
    /// How long after its query the response arrived, ms.
    delay: f64,
}

impl NodeState {
    /// The number of a server that a list names. A new id gets a new number and an entry in `servers`.
    fn number_listed_server(&mut self, entry: &ServerEntry, listing: Listing) -> u32 {
        if let Some(server_number) = self.server_numbers.get(&entry.id) {
            return *server_number;
        }
        let server_number = self.next_server_number;
        self.next_server_number = self.next_server_number.wrapping_add(1);
        self.server_numbers.insert(entry.id.clone(), server_number);
        self.servers.insert(server_number, Server::new(entry.id.clone(), entry.address, listing));
        server_number
    }
}

impl Node {
    /// Applies the initial events, or those of a new file, as one merged list: applied one by one, old events
    /// would make servers seem to start and leave now. Before the first response of the name service the list
    /// may be older than the servers' state; afterwards it counts as newer, and server starts in it are
    /// handled like those in responses.
    pub(crate) fn apply_initial_events(&mut self) {
        let (is_whole, entries) = self.state.config.known.merged_list();
        self.state.config.known.notices.clear();
        self.apply_list(is_whole, !self.dns_client.has_response, &entries);
        self.dns_client.revision = Some(self.state.config.known.revision);
    }

    /// Queries the name service if the next query is due; otherwise the timer that fired is stale.
    pub(crate) fn query_list_if_due(&mut self, now: f64) {
        if now >= self.dns_client.next_query_at {
            self.query_list();
        }
    }

    /// Queries the name service, and sets the timer of the next query to 200 ms from now, varied by up to a
    /// quarter.
    pub(crate) fn query_list(&mut self) {
        let id = self.state.rng.rand_range(0..1 << 16) as u16;
        let now = self.state.now();
        self.dns_client.send_query(now, id);
        let delay = QUERY_INTERVAL_MS * (1.0 + QUERY_JITTER * (2.0 * self.state.rng.rand_float() - 1.0));
        let next_query_at = now + delay;
        self.dns_client.next_query_at = next_query_at;
        self.state.schedule(next_query_at, Timer::QueryList);
    }

    /// Reads responses of the name service and applies each list that is newer than the one in use.
    fn read_responses(&mut self) {
        for _ in 0..MAX_RESPONSES_PER_TURN {
            let now = self.state.now();
            match self.dns_client.receive(now) {
                None => return,
                Some(Err(error)) => self.dns_client.log_rejected(&error),
                Some(Ok(response)) => self.apply_response(&response),
            }
        }
    }

    /// Applies the list of a response if it is newer than the one in use.
    fn apply_response(&mut self, response: &ListResponse) {
        if self.dns_client.accept(response.serial) {
            let ListResponse { serial, servers, delay } = response;
            info!(target: "names", serial, servers = servers.len(), delay, "new server list");
            self.apply_list(true, false, servers);
        }
    }

    /// Updates the servers from a list, whole or changes only, and reports it to the dispatcher. `is_cached`:
    /// the list may be old.
    fn apply_list(&mut self, is_whole: bool, is_cached: bool, entries: &[ServerEntry]) {
        let now = self.state.now();
        let mut listings = Vec::new();
        let mut restarted = Vec::new();
        if is_whole {
            for server in self.state.servers.values_mut() {
                server.listing.standing = Standing::Gone;
            }
        }
        for entry in entries {
            let limits = &mut self.state.limits;
            let listing = Listing {
                server: 0,
                zone: index_of_name(&mut limits.zones, &entry.zone, "zone"),
                kind: index_of_name(&mut limits.kinds, &entry.kind, "kind"),
                cell: entry.cell,
                standing: entry.standing,
                weight: entry.weight,
                started_at: entry.started_at,
            };
            let server_number = self.state.number_listed_server(entry, listing);
            listings.push((server_number, listing));
            let Some(server) = self.state.servers.get_mut(&server_number) else { continue };
            let has_moved = server.address != entry.address;
            if has_moved || listing.started_at > server.listing.started_at {
                restarted.push((server_number, if has_moved { f64::INFINITY } else { listing.started_at }));
            }
            (server.address, server.listing) = (entry.address, listing);
        }
        self.dispatcher.update_list(now, is_whole, is_cached, &listings);
        for (server_number, started_at) in restarted {
            self.on_server_restarted(server_number, started_at);
        }
        self.adopt_listed_hand_overs();
        self.cancel_unsent_set_ups();
        self.report_ends();
        self.forget_gone_servers();
    }

    /// Cancels unsent set-ups to servers that accept no new ones any more.
    fn cancel_unsent_set_ups(&mut self) {
        let not_ready = self.state.servers.iter().filter(|(_, s)| s.listing.standing != Standing::Ready);
        let connections: Vec<(u32, u64)> = not_ready
            .flat_map(|(n, s)| s.connections.iter().map(|connection_id| (*n, *connection_id)))
            .collect();
        for (server_number, connection_id) in connections {
            let plays: Vec<u64> = self
                .state
                .server_connection(connection_id)
                .map_or(Vec::new(), |c| c.pending_set_ups.iter().map(|s| s.play).collect());
            for play in plays {
                if self.state.cancel_unsent_set_up(connection_id, play) {
                    self.state.unreported_ends.push_back(AttemptEnd {
                        play,
                        server_number,
                        outcome: Outcome::NeverSent,
                    });
                }
            }
        }
    }

    /// Reads the configuration file again and from then on queries the name service that it names. If this
    /// fails for lack of a descriptor, it is tried again: at once if a viewer's connection can be closed,
    /// otherwise after a delay.
    pub(crate) fn reload_config(&mut self, is_retry: bool) {
        let error = match self.apply_config_file() {
            Err(e) if is_out_of_resources(&e) && self.evict_viewer_connection() => {
                self.apply_config_file().err()
            }
            other => other.err(),
        };
        match error {
            Some(e) if is_out_of_resources(&e) => {
                if !is_retry {
                    warn!(target: "node", "the old configuration stays in force until there is a descriptor: {e:#}");
                }
                let retry_at = self.state.now() + RETRY_DELAY_MS;
                self.state.schedule(retry_at, Timer::ReloadConfig);
            }
            Some(e) => warn!(target: "node", "the old configuration stays in force: {e:#}"),
            None => self.query_list(),
        }
    }

    /// Checks the file, turns to the name service that it names, and applies its events if they are newer.
    fn apply_config_file(&mut self) -> anyhow::Result<()> {
        let config = Config::load(&self.state.config.path)?;
        let old = &self.state.config;
        // The file belongs to another node, and perhaps to another customer, so no part of it is applied.
        if (&config.name, config.listen) != (&old.name, old.listen) {
            let (name, listen) = (&old.name, old.listen);
            anyhow::bail!(
                "name, listen: the file is for {:?} at {}, this node is {name:?} at {listen}",
                config.name,
                config.listen
            );
        }
        if config.policy_settings != old.policy_settings {
            warn!(target: "node", "settings: they have changed; the settings from the start stay in force until a restart");
        }
        self.use_resolver(config.resolver)?;
        if self.dns_client.revision.is_none_or(|rev| config.known.revision > rev) {
            self.state.config.known = config.known;
            self.apply_initial_events();
        }
        Ok(())
    }

    /// Queries the name service at this address from now on. If that is the present one, the client is kept:
    /// responses to its queries may still be on the way.
    fn use_resolver(&mut self, resolver: SocketAddr) -> anyhow::Result<()> {
        let old_resolver = self.state.config.resolver;
        if resolver == old_resolver {
            info!(target: "names", %resolver, "name service unchanged");
            return Ok(());
        }
        let dns_client =
            DnsClient::new(&self.state, resolver, self.dns_client.revision, self.dns_client.has_response)?;
        let old_client = std::mem::replace(&mut self.dns_client, dns_client);
        self.state.loop_handle.remove(old_client.source);
        self.state.config.resolver = resolver;
        info!(target: "names", was = %old_resolver, %resolver, "name service changed");
        Ok(())
    }
}

/// Whether the error was caused by a lack of descriptors or memory.
fn is_out_of_resources(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| cause.downcast_ref().is_some_and(is_resource_exhaustion))
}

/// The index of a name in `names`. A name that the settings lack gets an index of its own after the others,
/// for which no setting exists. At most `MAX_NAMES` names get an index of their own; further names share the
/// last one.
fn index_of_name(names: &mut Vec<String>, name: &str, kind_of_name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            warn!(target: "names", name, "the settings name no such {kind_of_name}");
            names.push(name.to_string());
        }
        names.len() - 1
    })
}
