//! Health of media servers: what each front experienced there recently, and what a front concludes from the others'
//! reports. `pulleystair-fleet-member` calls it; times are in ms.
//!
//! - Own results outrank reports of others. A server that served this front within the window is not doubted because of
//!   reports, and the first own success ends such a doubt.
//! - A front's report counts while it is fresh, once per front, and only if that front is in this front's zone: a server
//!   that another zone cannot reach is not necessarily down. If too few fronts of the own zone have used the server, reports
//!   from at least two zones count instead.
//! - At least [`MIN_AGREEING`] fronts must report failures, and they must outnumber the fronts that the server served.
//! - However many agree, **no more than [`MAX_DOUBTED_LINKS`] of the total link capacity and no more than
//!   [`MAX_DOUBTED_HOLDERS`] of any title's holders are doubted because of reports**. This bounds what a few fronts with
//!   false reports, or a fleet that hears nothing, can cost.
//! - A zone counts as lost if at least [`LOST_ZONE_SHARE`] of its servers timed out or refused since any of them last
//!   served, as seen by this front and those of its zone, while servers elsewhere serve. This front must have seen such a
//!   failure there itself, or [`MIN_AGREEING`] fronts of its zone must have. A report is at most `age` old: a failure in
//!   it is dated as early as possible and a success as late as possible, so that a failure is never taken to be later than
//!   a reported success that followed it. A zone with more than [`MAX_LOST_ZONE_LINKS`] of the total link capacity does
//!   not count as lost, and if several zones would, none does. The servers of the lost zone are doubted in addition to
//!   those above. Once one of them serves, the zone no longer counts as lost.
//!
//! A doubted server is still tried at its pace, so that a wrong doubt is discovered.

use crate::{PeerState, Server, decode_cells, encode_cells};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of fronts that must report failures before a server is doubted because of reports, or before a zone counts
/// as lost in which this front has seen no failure itself.
pub const MIN_AGREEING: usize = 3;
/// Maximum share of the total link capacity that is doubted because of reports.
pub const MAX_DOUBTED_LINKS: f64 = 0.25;
/// Maximum share of each title's holders that is doubted because of reports.
pub const MAX_DOUBTED_HOLDERS: f64 = 0.5;
/// Minimum share of a lost zone's servers that time out or refuse.
pub const LOST_ZONE_SHARE: f64 = 0.5;
/// Minimum number of a lost zone's servers that time out or refuse.
pub const LOST_ZONE_MIN: usize = 3;
/// Maximum share of the total link capacity in a zone that counts as lost.
pub const MAX_LOST_ZONE_LINKS: f64 = 0.6;
/// Length of the window in which results count, ms. The window moves on by half its length. A report that is older than half
/// of it no longer counts.
pub const WINDOW_MS: f64 = 5_000.0;
/// Size up to which entries are packed into one cell, bytes. It is below the gossip's maximum size of a cell.
const MAX_CELL_BYTES: usize = 900;

/// The result of an allocation, as far as it concerns the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationResult {
    /// The play was set up.
    Success,
    /// The server answered with an error.
    Error,
    /// The server did not answer in time, or the connection broke.
    TimedOut,
    /// The server refused the connection or could not be reached.
    Refused,
}

/// Numbers of allocations and of their results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultCounts {
    /// Allocations with a result.
    pub tries: u32,
    pub successes: u32,
    pub errors: u32,
    pub timed_out: u32,
    pub refused: u32,
}

impl ResultCounts {
    /// Adds other numbers, saturating.
    fn add(&mut self, other: &ResultCounts) {
        self.tries = self.tries.saturating_add(other.tries);
        self.successes = self.successes.saturating_add(other.successes);
        self.errors = self.errors.saturating_add(other.errors);
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
        self.refused = self.refused.saturating_add(other.refused);
    }

    /// Errors, time-outs and refusals.
    fn failures(&self) -> u32 {
        self.errors.saturating_add(self.timed_out).saturating_add(self.refused)
    }

    /// At least two failures, and more than twice as many as successes.
    fn is_failing(&self) -> bool {
        self.failures() >= 2 && self.failures() > self.successes.saturating_mul(2)
    }

    /// At least one success, and not failing.
    fn is_serving(&self) -> bool {
        self.successes > 0 && !self.is_failing()
    }

    /// Whether the numbers are possible: no more results than tries.
    fn is_plausible(&self) -> bool {
        u64::from(self.successes) + u64::from(self.failures()) <= u64::from(self.tries)
    }
}

/// A front's results at one server, as sent in a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ServerResults {
    server: u64,
    counts: ResultCounts,
    /// How long ago the server last served this front, in tenths of a second.
    served_ago: Option<u8>,
    /// How long ago it last timed out or refused (not: answered with an error), in tenths of a second.
    unreachable_ago: Option<u8>,
}

/// A peer's results at a server. `served_at` is the latest moment that it may have last served, and `unreachable_at` the
/// earliest that it may have last timed out or refused, on this front's clock.
#[derive(Clone, Copy, Debug)]
struct ServerReport {
    zone: Option<usize>,
    counts: ResultCounts,
    served_at: Option<f64>,
    unreachable_at: Option<f64>,
}

/// ms in the unit of [`ServerResults`]'s times.
const TENTH_MS: f64 = 100.0;

/// Time since a moment, in tenths of a second, at most 255.
fn tenths_ago(now: f64, at: Option<&f64>) -> Option<u8> {
    at.map(|at| ((now - at) / TENTH_MS).clamp(0.0, 255.0) as u8)
}

/// What this front concludes about the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    /// Identifiers of the servers that are doubted.
    pub doubted: BTreeSet<u64>,
    /// The zone that counts as lost; its servers are among the doubted.
    pub lost_zone: Option<usize>,
}

/// This front's own results of the last [`WINDOW_MS`].
pub struct ServerHealth {
    zone: usize,
    /// The current half of the window and the one before it, and when the current one began.
    halves: [BTreeMap<u64, ResultCounts>; 2],
    half_began_at: f64,
    /// By server: when it last served this front.
    served_at: BTreeMap<u64, f64>,
    /// By server: when it last timed out or refused for this front.
    unreachable_at: BTreeMap<u64, f64>,
}

impl ServerHealth {
    /// For a front in this zone.
    pub fn new(now: f64, zone: usize) -> ServerHealth {
        ServerHealth {
            zone,
            halves: Default::default(),
            half_began_at: now,
            served_at: BTreeMap::new(),
            unreachable_at: BTreeMap::new(),
        }
    }

    /// Records the result of an allocation of this front.
    pub fn record(&mut self, now: f64, server: u64, result: AllocationResult) {
        self.advance_window(now);
        let counts = self.halves[0].entry(server).or_default();
        counts.tries += 1;
        match result {
            AllocationResult::Success => counts.successes += 1,
            AllocationResult::Error => counts.errors += 1,
            AllocationResult::TimedOut => counts.timed_out += 1,
            AllocationResult::Refused => counts.refused += 1,
        }
        match result {
            AllocationResult::Success => self.served_at.insert(server, now),
            AllocationResult::TimedOut | AllocationResult::Refused => self.unreachable_at.insert(server, now),
            AllocationResult::Error => None,
        };
    }

    /// Moves the window on to the current time and drops older results.
    fn advance_window(&mut self, now: f64) {
        while now >= self.half_began_at + WINDOW_MS / 2.0 {
            self.half_began_at += WINDOW_MS / 2.0;
            if now >= self.half_began_at + WINDOW_MS {
                self.half_began_at = now;
                self.halves = Default::default();
            }
            self.halves.swap(0, 1);
            self.halves[0].clear();
        }
        self.served_at.retain(|_, at| now < *at + WINDOW_MS);
        self.unreachable_at.retain(|_, at| now < *at + WINDOW_MS);
    }

    /// This front's results in the window, by server.
    fn own_results(&self) -> BTreeMap<u64, ResultCounts> {
        let mut own_results = self.halves[1].clone();
        for (server, counts) in &self.halves[0] {
            own_results.entry(*server).or_default().add(counts);
        }
        own_results
    }

    /// The cells for this front's row.
    pub fn cells(&mut self, now: f64) -> Vec<Vec<u8>> {
        self.advance_window(now);
        let row = |(server, counts): (u64, ResultCounts)| ServerResults {
            server,
            counts,
            served_ago: tenths_ago(now, self.served_at.get(&server)),
            unreachable_ago: tenths_ago(now, self.unreachable_at.get(&server)),
        };
        encode_cells(self.own_results().into_iter().map(row), MAX_CELL_BYTES)
    }

    /// Evaluates the servers' health from this front's own results and the peers' reports. `titles` holds the ids of each
    /// title's holders.
    pub fn evaluate(
        &mut self,
        now: f64,
        peers: &[PeerState],
        servers: &[Server],
        titles: &[Vec<u64>],
    ) -> HealthView {
        self.advance_window(now);
        let own_results = self.own_results();
        // By server: the reports of each peer that is fresh.
        let mut reports: BTreeMap<u64, Vec<ServerReport>> = BTreeMap::new();
        for peer in peers.iter().filter(|p| p.age < WINDOW_MS / 2.0) {
            let mut by_server = BTreeMap::new();
            for row in decode_cells::<ServerResults>(&peer.server_results) {
                by_server.insert(row.server, row);
            }
            for row in by_server.into_values().filter(|row| row.counts.is_plausible()) {
                let at = |ago: Option<u8>, margin: f64| ago.map(|n| now - f64::from(n) * TENTH_MS - margin);
                reports.entry(row.server).or_default().push(ServerReport {
                    zone: peer.zone,
                    counts: row.counts,
                    served_at: at(row.served_ago, 0.0),
                    unreachable_at: at(row.unreachable_ago, peer.age + TENTH_MS),
                });
            }
        }
        let lost_zone = self.lost_zone(&reports, servers);
        let mut doubted = BTreeSet::new();
        let mut suspects: Vec<(usize, &Server)> = servers
            .iter()
            .filter(|s| !self.served_at.contains_key(&s.id))
            .filter_map(|s| Some((self.count_agreeing(own_results.get(&s.id), reports.get(&s.id)?)?, s)))
            .collect();
        suspects.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
        let total_link: f64 = servers.iter().map(|s| s.link).sum();
        let mut links = 0.0;
        for (_, server) in suspects {
            let has_server = |title: &&Vec<u64>| title.contains(&server.id);
            let holders_allow_doubt = titles.iter().filter(has_server).all(|title| {
                let doubted_holders = title.iter().filter(|s| doubted.contains(*s)).count();
                doubted_holders < (title.len() as f64 * MAX_DOUBTED_HOLDERS) as usize
            });
            if holders_allow_doubt && links + server.link <= total_link * MAX_DOUBTED_LINKS {
                links += server.link;
                doubted.insert(server.id);
            }
        }
        doubted.extend(servers.iter().filter(|s| Some(s.zone) == lost_zone).map(|s| s.id));
        HealthView { doubted, lost_zone }
    }

    /// Number of fronts (possibly including this one) at which a server is failing, if they are enough to doubt it.
    fn count_agreeing(&self, own_counts: Option<&ResultCounts>, reports: &[ServerReport]) -> Option<usize> {
        let own_report = own_counts.map(|counts| (Some(self.zone), *counts));
        let all: Vec<(Option<usize>, ResultCounts)> =
            reports.iter().map(|r| (r.zone, r.counts)).chain(own_report).collect();
        let own_zone: Vec<(Option<usize>, ResultCounts)> =
            all.iter().filter(|r| r.0 == Some(self.zone)).copied().collect();
        let count = |group: &[(Option<usize>, ResultCounts)]| {
            let failing = group.iter().filter(|r| r.1.is_failing()).count();
            (failing, group.iter().filter(|r| r.1.is_serving()).count())
        };
        let (failing, serving) = count(&own_zone);
        if failing + serving >= MIN_AGREEING {
            return (failing >= MIN_AGREEING && failing > serving).then_some(failing);
        }
        let zones: BTreeSet<Option<usize>> = all.iter().filter(|r| r.1.is_failing()).map(|r| r.0).collect();
        let own_zone_serves = serving > 0;
        let (failing, serving) = count(&all);
        (failing >= MIN_AGREEING && failing > serving && zones.len() >= 2 && !own_zone_serves)
            .then_some(failing)
    }

    /// The zone that counts as lost, if there is exactly one; see the module's rules.
    fn lost_zone(&self, reports: &BTreeMap<u64, Vec<ServerReport>>, servers: &[Server]) -> Option<usize> {
        let own_zone_reports =
            |id: u64| reports.get(&id).into_iter().flatten().filter(|r| r.zone == Some(self.zone));
        let mut zones: BTreeMap<usize, Vec<&Server>> = BTreeMap::new();
        servers.iter().for_each(|server| zones.entry(server.zone).or_default().push(server));
        let last_served = |zone_servers: &[&Server]| {
            let last_served_at = zone_servers.iter().flat_map(|s| {
                let own_served_at = self.served_at.get(&s.id).copied();
                own_zone_reports(s.id).filter_map(|r| r.served_at).chain(own_served_at)
            });
            last_served_at.fold(f64::NEG_INFINITY, f64::max)
        };
        let total_link: f64 = servers.iter().map(|s| s.link).sum();
        let looks_lost = |zone_servers: &[&Server]| {
            let last_served_at = last_served(zone_servers);
            let is_newer = |at: f64| at > last_served_at;
            let is_unreachable_here =
                |s: &Server| self.unreachable_at.get(&s.id).is_some_and(|at| is_newer(*at));
            let unreachable_reports = |s: &Server| {
                own_zone_reports(s.id).filter(|r| r.unreachable_at.is_some_and(is_newer)).count()
            };
            let unreachable_count =
                zone_servers.iter().filter(|s| is_unreachable_here(s) || unreachable_reports(s) > 0).count();
            // A single peer with false reports must not be enough.
            let is_confirmed =
                zone_servers.iter().any(|s| is_unreachable_here(s) || unreachable_reports(s) >= MIN_AGREEING);
            let min_unreachable =
                ((zone_servers.len() as f64 * LOST_ZONE_SHARE).ceil() as usize).max(LOST_ZONE_MIN);
            let links: f64 = zone_servers.iter().map(|s| s.link).sum();
            is_confirmed && unreachable_count >= min_unreachable && links <= total_link * MAX_LOST_ZONE_LINKS
        };
        let mut lost_zones =
            zones.iter().filter(|(_, zone_servers)| looks_lost(zone_servers)).map(|(zone, _)| *zone);
        let lost_zone = lost_zones.next().filter(|_| lost_zones.next().is_none())?;
        let others = zones.iter().filter(|(zone, _)| **zone != lost_zone);
        others.map(|(_, zone_servers)| last_served(zone_servers)).any(f64::is_finite).then_some(lost_zone)
    }
}
