//! The list of media servers: what is known at the start, and the name service asked for the rest, again and again.

use crate::config::Config;
use crate::node::Node;
use crate::shares::{RETRY_DELAY_MS, is_resource_exhaustion};
use crate::state::{AllocationEnd, NodeState, Timer};
use anyhow::Context;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_dns_discovery::{self as dns, ServerEntry};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info, warn};

/// So often is the list asked for, ms, and the part by which each wait is longer or shorter, so that nodes which started or
/// were signalled together do not ask together. A change is in use well within half a second of being told.
const QUERY_INTERVAL_MS: f64 = 200.0;
const QUERY_JITTER: f64 = 0.25;
/// Names of zones and of kinds at most, the settings' and others.
const MAX_NAMES: usize = 4_096;
/// Questions whose answers are still taken.
const MAX_PENDING_QUERIES: usize = 8;
/// Of answers in a row that can't be taken, one in so many is warned of.
const ERRORS_PER_WARNING: u32 = 50;

/// The name service as it is asked.
pub(crate) struct DnsClient {
    socket: UdpSocket,
    source: RegistrationToken,
    query_ids: VecDeque<u16>,
    /// When it is asked next; clocks that ring before that are left over.
    next_query_at: f64,
    /// The number of the last event that is in use.
    pub(crate) revision: Option<u32>,
    /// An answer has been taken since the start.
    pub(crate) has_response: bool,
    /// What answers are read into; pages that none has filled are not had.
    buffer: Vec<u8>,
    /// Answers in a row that could not be taken.
    consecutive_errors: u32,
}

fn connect_socket(resolver: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if resolver.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(resolver)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl DnsClient {
    pub(crate) fn new(
        state: &NodeState,
        revision: Option<u32>,
        has_response: bool,
    ) -> anyhow::Result<DnsClient> {
        let socket = connect_socket(state.config.resolver).context("resolver")?;
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        let source = state.loop_handle.insert_source(source, |_, _, node: &mut Node| {
            node.read_responses();
            Ok(PostAction::Continue)
        });
        let source = source.map_err(|e| anyhow::Error::new(std::io::Error::from(e.error)))?;
        Ok(DnsClient {
            socket,
            source,
            query_ids: VecDeque::new(),
            next_query_at: 0.0,
            revision,
            has_response,
            buffer: vec![0; dns::MAX_BYTES],
            consecutive_errors: 0,
        })
    }
}

impl Node {
    /// The events of the start, or those of a new file, as the one list that they come to: events that are long past by then start
    /// and end nothing. Before the name service was heard the list may be older than what it tells of; later it is taken for being
    /// newer, and tells of starts as the name service's answers do.
    pub(crate) fn apply_initial_events(&mut self) {
        let (is_whole, entries) = self.state.config.known.merged_list();
        self.state.config.known.notices.clear();
        self.apply_list(is_whole, !self.dns_client.has_response, &entries);
        self.dns_client.revision = Some(self.state.config.known.rev);
    }

    pub(crate) fn query_list_if_due(&mut self, now: f64) {
        if now >= self.dns_client.next_query_at {
            self.query_list();
        }
    }

    pub(crate) fn query_list(&mut self) {
        let id = self.state.rng.rand_range(0..1 << 16) as u16;
        let dns_client = &mut self.dns_client;
        dns_client.query_ids.push_back(id);
        if dns_client.query_ids.len() > MAX_PENDING_QUERIES {
            dns_client.query_ids.pop_front();
        }
        // What can't be sent now is asked again soon.
        let _ = dns_client.socket.send(&dns::query(id));
        let delay = QUERY_INTERVAL_MS * (1.0 + QUERY_JITTER * (2.0 * self.state.rng.rand_float() - 1.0));
        let next_query_at = self.state.now() + delay;
        dns_client.next_query_at = next_query_at;
        self.state.schedule(next_query_at, Timer::QueryList);
    }

    fn read_responses(&mut self) {
        for _ in 0..MAX_PENDING_QUERIES {
            let dns_client = &mut self.dns_client;
            let Ok(n) = dns_client.socket.recv(&mut dns_client.buffer) else { return };
            let response = &dns_client.buffer[..n];
            if !dns::response_id(response).is_some_and(|id| dns_client.query_ids.contains(&id)) {
                debug!(target: "names", "answer to nothing that was asked");
                continue;
            }
            match dns::parse_response(response) {
                Err(e) => {
                    dns_client.consecutive_errors += 1;
                    // A list that stands still for want of a whole answer is not to stand still in silence.
                    if dns_client.consecutive_errors % ERRORS_PER_WARNING == 1 {
                        warn!(target: "names", rev = dns_client.revision, in_a_row = dns_client.consecutive_errors, "answer not taken: {e}");
                    }
                }
                Ok((serial, list)) => {
                    dns_client.consecutive_errors = 0;
                    let is_newer = dns::is_newer(dns_client.revision, serial);
                    let is_same = dns_client.revision == Some(serial);
                    // The list of the start is vouched for by the first answer that is not older.
                    if is_newer || is_same && !dns_client.has_response {
                        (dns_client.revision, dns_client.has_response) = (Some(serial), true);
                        info!(target: "names", serial, servers = list.len(), "list");
                        self.apply_list(true, false, &list);
                    }
                }
            }
        }
    }

    fn apply_list(&mut self, is_whole: bool, is_cached: bool, entries: &[ServerEntry]) {
        let now = self.state.now();
        let mut listings = Vec::new();
        let mut restarted = Vec::new();
        if is_whole {
            for server in self.state.servers.values_mut().filter(|s| s.address.is_some()) {
                server.listing.standing = Standing::Gone;
            }
        }
        for entry in entries {
            let server_number = self.state.server_number(&entry.id);
            let limits = &mut self.state.limits;
            let listing = Listing {
                server: 0,
                zone: index_of_name(&mut limits.zones, &entry.zone, "zone"),
                kind: index_of_name(&mut limits.kinds, &entry.kind, "kind"),
                cell: entry.cell,
                standing: entry.standing,
                weight: entry.weight,
                started_at: entry.started,
            };
            listings.push((server_number, listing));
            let Some(server) = self.state.servers.get_mut(&server_number) else { continue };
            let has_moved = server.address.is_some_and(|a| a != entry.address);
            if server.address.is_some() && (has_moved || listing.started_at > server.listing.started_at) {
                restarted.push((server_number, if has_moved { f64::INFINITY } else { listing.started_at }));
            }
            (server.address, server.listing) = (Some(entry.address), listing);
        }
        self.dispatcher.update_list(now, is_whole, is_cached, &listings);
        for (server_number, started_at) in restarted {
            self.on_server_restarted(server_number, started_at);
        }
        self.cancel_unsent_set_ups();
        self.report_finished_allocations();
        self.forget_gone_servers();
    }

    /// Set-ups that wait on their lines to servers that take nothing new by now are not sent any more.
    fn cancel_unsent_set_ups(&mut self) {
        let not_ready = self.state.servers.iter().filter(|(_, s)| s.listing.standing != Standing::Ready);
        let connections: Vec<(u32, u64)> = not_ready
            .flat_map(|(n, s)| s.connections.iter().map(|connection_id| (*n, *connection_id)))
            .collect();
        for (server, connection_id) in connections {
            let plays: Vec<u64> = self
                .state
                .server_connection(connection_id)
                .map_or(Vec::new(), |c| c.pending_set_ups.iter().map(|s| s.play).collect());
            for play in plays {
                if self.state.cancel_unsent_set_up(connection_id, play) {
                    self.state.finished_allocations.push_back(AllocationEnd {
                        play,
                        server,
                        outcome: Outcome::NeverSent,
                    });
                }
            }
        }
    }

    /// The file is read anew; its name service is asked from now on. What fails for lack of a descriptor is tried again: at once if a
    /// connection that needs none can give way, else soon.
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
                    warn!(target: "node", "the old posting stays in force until there is a descriptor: {e:#}");
                }
                let retry_at = self.state.now() + RETRY_DELAY_MS;
                self.state.schedule(retry_at, Timer::ReloadConfig);
            }
            Some(e) => warn!(target: "node", "the old posting stays in force: {e:#}"),
            None => self.query_list(),
        }
    }

    fn apply_config_file(&mut self) -> anyhow::Result<()> {
        let config = Config::read(&self.state.config.path)?;
        let old = &self.state.config;
        // Another node's file, and maybe another customer's: nothing of it is this one's.
        if (&config.name, config.listen) != (&old.name, old.listen) {
            let (name, listen) = (&old.name, old.listen);
            anyhow::bail!("name, listen: {:?} at {}, not {name:?} at {listen}", config.name, config.listen);
        }
        if config.policy_settings != old.policy_settings {
            warn!(target: "node", "settings: they have changed; those of the start stay in force until a restart");
        }
        let old_resolver = std::mem::replace(&mut self.state.config.resolver, config.resolver);
        let dns_client = DnsClient::new(&self.state, self.dns_client.revision, self.dns_client.has_response)
            .inspect_err(|_| self.state.config.resolver = old_resolver)?;
        let old = std::mem::replace(&mut self.dns_client, dns_client);
        self.state.loop_handle.remove(old.source);
        info!(target: "names", was = %old_resolver, resolver = %config.resolver, "name service changed");
        if self.dns_client.revision.is_none_or(|rev| config.known.rev > rev) {
            self.state.config.known = config.known;
            self.apply_initial_events();
        }
        Ok(())
    }
}

fn is_out_of_resources(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| cause.downcast_ref().is_some_and(is_resource_exhaustion))
}

/// The number of a name in the settings' row. One that the settings lack is none of theirs, nor any other's: it gets a number of its
/// own beyond them, which no setting is kept under. So many are told apart; those beyond share the last.
fn index_of_name(names: &mut Vec<String>, name: &str, kind_of_name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        if names.len() < MAX_NAMES {
            warn!(target: "names", name, "the settings have no such {kind_of_name}");
            names.push(name.to_string());
        }
        names.len() - 1
    })
}
