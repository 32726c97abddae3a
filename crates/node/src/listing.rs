//! The list of media servers: the initial events of the configuration file, and then the responses of the
//! name service, which is queried about every 200 ms.

use crate::dns_client::ListResponse;
use crate::media_server::Server;
use crate::node::Node;
use crate::state::{AttemptEnd, NodeState, Timer};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_dns_discovery::ServerEntry;
use tracing::{info, warn};

/// Interval between queries for the list, ms, and the fraction by which each interval varies, so that nodes
/// that started or were signalled together do not query together. A change is in use well within half a
/// second after it was published.
const QUERY_INTERVAL_MS: f64 = 200.0;
const QUERY_JITTER: f64 = 0.25;
/// Maximum number of names of zones, and of names of kinds, counting those of the settings and others.
const MAX_NAMES: usize = 4_096;
/// Maximum number of responses that are read in a turn.
const MAX_RESPONSES_PER_TURN: usize = 8;

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
    pub(crate) fn read_responses(&mut self) {
        for _ in 0..MAX_RESPONSES_PER_TURN {
            let now = self.state.now();
            match self.dns_client.receive(now) {
                None => return,
                Some(Err(error)) => self.dns_client.log_rejected(&error),
                Some(Ok(response)) => self.apply_response(now, &response),
            }
        }
    }

    /// Applies the list of a response if it is newer than the one in use.
    fn apply_response(&mut self, now: f64, response: &ListResponse) {
        let ListResponse { serial, servers, delay } = response;
        if self.dns_client.accept(*serial, now - delay) {
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
            self.end_sessions_before(server_number, started_at);
        }
        self.adopt_listed_hand_overs();
        self.end_sessions_at_replaced_servers();
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
