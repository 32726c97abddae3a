//! One front's membership in a fleet of fronts that share state. [`FleetMember`] writes the front's own gossip row, reads
//! the rows of the others, and returns plain values: datagrams to send, hints on servers for the placement policy, verdicts
//! and estimates. It decides nothing about plays, does no I/O, and gets the time from its caller; times are in ms. The real
//! front (`pulleystair-edge`) and the tests' fleets use the same code.
//!
//! [`FleetMember::next_deadline`] gives the next moment at which [`FleetMember::tick`] must be called. The hints change
//! when a loan ends, so the caller must tick at that moment, before it uses any hint.

mod row;
mod status;

use pulleystair::Outcome;
use pulleystair_drift::approved::VersionChain;
use pulleystair_drift::detector::{Detector, FleetStatus};
use pulleystair_drift::stricter::stricter;
use pulleystair_drift::verdict::judge;
use pulleystair_drift::{ConfigReport, Sections, differences};
use pulleystair_gossip::message::FrontId;
use pulleystair_gossip::{FrontView, Gossip, PeerListError};
use pulleystair_shared_state::budgets::{BudgetKind, Budgets, PARTS_PER_FRONT};
use pulleystair_shared_state::counts::PlayCounts;
use pulleystair_shared_state::server_health::{HealthView, ServerHealth};
use pulleystair_shared_state::{PeerState, Server, ServerHint};
use pulleystair_whatif::OutcomeLog;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

pub use pulleystair_gossip::{Datagram, GossipConfig};
pub use pulleystair_shared_state::server_health::AllocationResult;
pub use pulleystair_whatif::{Candidate, SetUpResult};

/// Time between two ticks that write this front's row and read the others', ms.
const TICK_MS: f64 = 100.0;
/// What changes seldom or is expensive to write is written once in this many ticks.
const SLOW_TICKS: u64 = 10;

/// Identifier of a server or title that is the same at all fronts: SipHash 1-3 of its name.
pub fn stable_id(name: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Converts a hint to the placement policy's type. `server` is left 0: the caller must set it to the policy's own number of
/// the server.
pub fn policy_hint(hint: &ServerHint) -> pulleystair::ServerHint {
    let ServerHint { doubted, pace_multiple, further_gap, probe_gap, .. } = *hint;
    pulleystair::ServerHint { server: 0, doubted, pace_multiple, further_gap, probe_gap }
}

/// What a [`FleetMember`] is made with.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Fleet, peers and rates of the gossip.
    pub gossip: GossipConfig,
    /// Index of this front's zone in `zones`.
    pub zone: usize,
    /// Names of all zones, the same at all fronts.
    pub zones: Vec<String>,
    /// How long parts of budgets are lent, ms.
    pub lease_ms: f64,
    /// Maximum number of further allocations, and of probes, of all fronts to one server per second; 0 for no limit.
    pub max_further_per_second: f64,
    pub max_probes_per_second: f64,
    /// A front raises an alarm once its verdicts have been wrong or unknown without a break for this time, ms.
    pub alarm_delay_ms: f64,
    /// Whether the front uses the stricter of its own and the approved values while its verdict is wrong (behind, ahead,
    /// adrift or torn).
    pub stricter: bool,
    /// Length of the time buckets of the estimates, ms.
    pub bucket_ms: f64,
    /// Set-ups that take longer than this count as this long in the estimates, ms.
    pub max_set_up_ms: f64,
}

/// A server in this front's list, when its process started, and until when it is cold (ms).
#[derive(Clone, Copy, Debug)]
pub struct ListedServer {
    /// The server.
    pub server: Server,
    /// When its process started.
    pub process_started_at: u64,
    /// Until when it is cold, ms.
    pub cold_until: f64,
}

/// One front's part in the fleet.
pub struct FleetMember {
    config: FleetConfig,
    gossip: Gossip,
    /// Incarnation of this front's row that the budgets use.
    incarnation: u64,
    /// Number of fronts in the fleet, including this one.
    front_count: usize,
    budgets: Budgets,
    counts: PlayCounts,
    server_health: ServerHealth,
    /// Choices and their results; the caller records the choices directly.
    pub outcomes: OutcomeLog,
    detector: Detector,
    /// The approved versions.
    chain: Option<VersionChain>,
    /// The sections that this front runs.
    sections: Sections,
    /// The servers in this front's list, by id.
    listed_servers: BTreeMap<u64, ListedServer>,
    /// The ids of each title's holders.
    titles: Vec<Vec<u64>>,
    health: HealthView,
    /// The hints that were last handed out, by server.
    last_hints: BTreeMap<u64, ServerHint>,
    /// When each budget was last used, to detect that it is used more often than the gap allows.
    last_used_at: BTreeMap<(u64, BudgetKind), f64>,
    /// Number of cells of each kind that were last written, by their first key.
    cells_written: BTreeMap<u16, usize>,
    next_tick_at: f64,
    ticks: u64,
}

impl FleetMember {
    /// Joins the fleet as a front without a server list and without approved versions. `incarnation` must be higher than in
    /// any earlier start of this front; see [`Gossip::new`].
    pub fn new(
        config: FleetConfig,
        now: f64,
        incarnation: u64,
        seed: u64,
    ) -> Result<FleetMember, PeerListError> {
        let gossip = Gossip::new(config.gossip.clone(), now, incarnation, seed)?;
        let front_count = config.gossip.peers.len() + 1;
        let mut member = FleetMember {
            incarnation,
            front_count,
            budgets: Budgets::new(now, gossip.own_id(), incarnation, front_count, config.lease_ms),
            counts: PlayCounts::default(),
            server_health: ServerHealth::new(now, config.zone),
            outcomes: OutcomeLog::new(config.zone, config.bucket_ms, config.max_set_up_ms),
            detector: Detector::new(config.alarm_delay_ms),
            chain: None,
            sections: Sections::new(),
            listed_servers: BTreeMap::new(),
            titles: Vec::new(),
            health: HealthView::default(),
            last_hints: BTreeMap::new(),
            last_used_at: BTreeMap::new(),
            cells_written: BTreeMap::new(),
            next_tick_at: now,
            ticks: 0,
            gossip,
            config,
        };
        member.write_zone();
        Ok(member)
    }

    // ---- what this front does and knows ----

    /// Sets the list of servers and the holders of each title.
    pub fn update_list(&mut self, servers: &[ListedServer], titles: Vec<Vec<u64>>) {
        self.listed_servers = servers.iter().map(|server| (server.server.id, *server)).collect();
        self.titles = titles;
        let listed_servers = &self.listed_servers;
        self.outcomes.keep_servers(|id, born| {
            listed_servers.get(&id).is_some_and(|server| server.process_started_at == born)
        });
        self.last_hints.retain(|id, _| listed_servers.contains_key(id));
    }

    /// Records that an allocation was sent to a server; `further` if it is not the first of its play.
    pub fn on_sent(&mut self, now: f64, server: u64, further: bool) {
        self.budgets.record_use(now, (server, BudgetKind::Pace), false);
        if further {
            self.record_budget_use(now, server, BudgetKind::Further);
        }
    }

    /// Records that a probe was sent to a server.
    pub fn on_probed(&mut self, now: f64, server: u64) {
        self.record_budget_use(now, server, BudgetKind::Probes);
    }

    /// Records a use of a budget. Two uses within twice its gap mean that the front needs more of it.
    fn record_budget_use(&mut self, now: f64, server: u64, kind: BudgetKind) {
        let gap = self.last_hints.get(&server).map_or(0.0, |hint| match kind {
            BudgetKind::Further => hint.further_gap,
            _ => hint.probe_gap,
        });
        let last_used_at = self.last_used_at.insert((server, kind), now);
        self.budgets.record_use(
            now,
            (server, kind),
            last_used_at.is_some_and(|last_used_at| now - last_used_at < 2.0 * gap),
        );
    }

    /// Records the servers for which plays are waiting: this front needs more of their pace if they are cold, else more
    /// further allocations.
    pub fn on_waiting(&mut self, now: f64, servers: impl IntoIterator<Item = u64>) {
        for id in servers {
            let is_cold = self.listed_servers.get(&id).is_some_and(|server| now < server.cold_until);
            self.budgets.record_use(
                now,
                (id, if is_cold { BudgetKind::Pace } else { BudgetKind::Further }),
                true,
            );
        }
    }

    /// Records the result of an allocation for the health of its server.
    pub fn on_result(&mut self, now: f64, server: u64, result: AllocationResult) {
        self.server_health.record(now, server, result);
    }

    /// Records that an allocation, given as play and number, plays or has ended, after `waited_ms`.
    pub fn on_allocation_result(
        &mut self,
        now: f64,
        wall_clock: f64,
        server: u64,
        (play, allocation): (u64, u32),
        outcome: Outcome,
        waited_ms: f64,
    ) {
        let result = match outcome {
            Outcome::Playing => Some(AllocationResult::Success),
            Outcome::Error => Some(AllocationResult::Error),
            Outcome::TimedOut | Outcome::Broken => Some(AllocationResult::TimedOut),
            Outcome::Unreachable => Some(AllocationResult::Refused),
            Outcome::Full | Outcome::Finished | Outcome::Withdrawn | Outcome::NeverSent => None,
        };
        result.into_iter().for_each(|result| self.on_result(now, server, result));
        let is_playing = outcome == Outcome::Playing;
        let set_up_result =
            if is_playing { SetUpResult::Playing(waited_ms) } else { SetUpResult::GivenUp(waited_ms) };
        self.outcomes.record_result(wall_clock, play, allocation, set_up_result);
    }

    /// Sets this front's own plays by server and product: those being set up, and those playing.
    pub fn set_play_counts(&mut self, own_counts: BTreeMap<(u64, u16), (u32, u32)>) {
        self.counts.replace(own_counts);
    }

    /// Sets the sections that the front runs, as read back from it, without the stricter values of
    /// [`FleetMember::stricter`].
    pub fn set_active(&mut self, sections: Sections) {
        self.sections = sections;
    }

    /// Sets the approved versions. A chain that does not begin with the current one is rejected.
    pub fn set_approved(&mut self, chain: VersionChain) -> Result<(), String> {
        match &self.chain {
            Some(current) if !current.is_prefix_of(&chain) => {
                Err("the file does not begin with the approved versions that are already in use".into())
            }
            _ => {
                self.chain = Some(chain);
                Ok(())
            }
        }
    }

    // ---- gossip ----

    /// The next moment at which `tick` must be called: a gossip round, a regular tick, or the end of a loan.
    pub fn next_deadline(&self) -> f64 {
        self.next_tick_at.min(self.gossip.next_deadline()).min(self.budgets.next_expiry())
    }

    /// The name of the front that a datagram is for.
    pub fn name(&self, to: FrontId) -> &str {
        self.gossip.name(to)
    }

    /// Handles a datagram of another front; returns the answers to send.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) -> Vec<Datagram> {
        self.gossip.receive(now, bytes)
    }

    /// Reads the others' rows and writes this front's row if a regular tick is due, and asks some other fronts if a gossip
    /// round is due. Returns the hints that have changed, and the datagrams to send.
    pub fn tick(&mut self, now: f64, wall_clock: f64) -> (Vec<ServerHint>, Vec<Datagram>) {
        if self.gossip.incarnation() != self.incarnation {
            self.incarnation = self.gossip.incarnation();
            self.budgets.set_incarnation(self.incarnation);
        }
        self.budgets.expire(now);
        if now >= self.next_tick_at {
            self.next_tick_at = now + TICK_MS;
            self.ticks += 1;
            self.read_rows(now);
            self.write_row(now, wall_clock);
        }
        (self.changed_hints(now), self.gossip.run_round(now))
    }

    /// Reads the other fronts' rows into the budgets and the health of servers.
    fn read_rows(&mut self, now: f64) {
        let rows: Vec<FrontView> =
            self.gossip.fronts(now).filter(|v| v.origin != self.gossip.own_id()).collect();
        let peers: Vec<PeerState> = rows.iter().map(|row| row::peer_state(row, &self.config.zones)).collect();
        self.budgets.merge(now, &peers);
        let servers: Vec<Server> = self.listed_servers.values().map(|it| it.server).collect();
        self.health = self.server_health.evaluate(now, &peers, &servers, &self.titles);
    }

    /// The hints that differ from those last handed out.
    fn changed_hints(&mut self, now: f64) -> Vec<ServerHint> {
        let mut out = Vec::new();
        for id in self.listed_servers.keys() {
            let share = |kind| f64::from(self.budgets.parts(now, (*id, kind))) / f64::from(PARTS_PER_FRONT);
            let gap = |fleet_rate: f64, kind| match fleet_rate {
                _ if fleet_rate > 0.0 => 1_000.0 * self.front_count as f64 / (fleet_rate * share(kind)),
                _ => 0.0,
            };
            let hint = ServerHint {
                server: *id,
                doubted: self.health.doubted.contains(id),
                pace_multiple: share(BudgetKind::Pace),
                further_gap: gap(self.config.max_further_per_second, BudgetKind::Further),
                probe_gap: gap(self.config.max_probes_per_second, BudgetKind::Probes),
            };
            if self.last_hints.get(id) != Some(&hint) {
                self.last_hints.insert(*id, hint);
                out.push(hint);
            }
        }
        out
    }

    /// The servers that this front doubts, and the zone that counts as lost, as of the last regular tick.
    pub fn health(&self) -> &HealthView {
        &self.health
    }

    /// Parts of a server's pace that this front currently holds.
    pub fn budget_parts(&self, now: f64, server: u64) -> u32 {
        self.budgets.parts(now, (server, BudgetKind::Pace))
    }

    // ---- drift ----

    /// What this front reports about its own configuration.
    fn own_config_report(&self, wall_clock: f64) -> ConfigReport {
        let head = self.chain.as_ref().and_then(VersionChain::head_id);
        ConfigReport::new(&self.sections, head, self.own_differences(wall_clock))
    }

    /// Differences of this front's configuration from the newest version that it may run.
    fn own_differences(&self, wall_clock: f64) -> Vec<pulleystair_drift::Difference> {
        let Some(chain) = &self.chain else { return Vec::new() };
        let index = chain.version_window(&self.config.gossip.name, wall_clock).0;
        index.map(|index| differences(&chain.sections(index), &self.sections)).unwrap_or_default()
    }

    /// The stricter values that the front must use instead of its own, by path. Empty unless `config.stricter` is set and
    /// the verdict on this front is wrong (behind, ahead, adrift or torn).
    pub fn stricter(&self, wall_clock: f64) -> Vec<(String, f64)> {
        let Some(chain) = self.chain.as_ref().filter(|_| self.config.stricter) else { return Vec::new() };
        let own_front = status::own_front(&self.config.gossip.name, self.own_config_report(wall_clock));
        match judge(chain, wall_clock, &own_front).0 {
            verdict if verdict.is_wrong() => stricter(&self.own_differences(wall_clock)),
            _ => Vec::new(),
        }
    }

    /// The verdicts on all fronts and on the fleet; `None` without an approved version.
    pub fn drift(&mut self, now: f64, wall_clock: f64) -> Option<FleetStatus> {
        let own_front = status::own_front(&self.config.gossip.name, self.own_config_report(wall_clock));
        let chain = self.chain.as_ref()?;
        let mut fronts = status::peer_fronts(&self.gossip, now);
        fronts.push(own_front);
        fronts.sort_by(|a, b| a.name.cmp(&b.name));
        Some(self.detector.observe(&self.config.gossip.name, wall_clock, chain, &fronts))
    }

    /// Counters of the gossip.
    pub fn gossip_stats(&self) -> pulleystair_gossip::GossipStats {
        self.gossip.stats
    }

    /// Names of the fronts that are unheard now.
    pub fn unheard(&self, now: f64) -> BTreeSet<String> {
        status::unheard(&self.gossip, now)
    }
}
