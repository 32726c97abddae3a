//! A fellow: one front's part in a fleet that shares. It keeps the front's own row in the exchange, reads the others', and
//! hands back plain values: datagrams to send, what the decisions are to be told of servers, verdicts and estimates. It
//! decides nothing on plays, does no I/O, and is handed the time; the real front and the tests' fleets run the same one.
//!
//! [`FleetMember::next_deadline`] says when it wants to be looked at; a loan that ends is told at that moment, so a host looks at it
//! before it does anything else.

mod row;
mod status;

use pulleystair::Outcome;
use pulleystair_drift::approved::VersionChain;
use pulleystair_drift::detector::{Detector, FleetStatus};
use pulleystair_drift::stricter::stricter;
use pulleystair_drift::verdict::judge;
use pulleystair_drift::{ActiveVersion, Sections, differences};
use pulleystair_gossip::message::Origin;
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

/// So often its row is written anew, and others' are read, ms; what changes seldom or costs more, every so many times.
const TICK_MS: f64 = 100.0;
const SLOW_TICKS: u64 = 10;

/// A server's or title's number for all fronts alike: SipHash 1-3 of its name.
pub fn stable_id(name: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// What the decisions are told of a server; which one, its host says beside it.
pub fn policy_hint(hint: &ServerHint) -> pulleystair::ServerHint {
    let ServerHint { doubted, pace, further_gap, probe_gap, .. } = *hint;
    pulleystair::ServerHint { server: 0, doubted, pace, further_gap, probe_gap }
}

#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub gossip: GossipConfig,
    /// This front's zone among all.
    pub zone: usize,
    pub zones: Vec<String>,
    /// How long parts of budgets are lent, ms.
    pub lease_ms: f64,
    /// Further allocations and probes of all fronts to one server, a second; 0 for no bound.
    pub further_s: f64,
    pub probes_s: f64,
    /// A verdict is an alarm once it has stood so long, ms.
    pub alarm_delay: f64,
    /// Go by the stricter figure while adrift in a rule.
    pub stricter: bool,
    /// Buckets of estimates, and the longest set-up that counts, ms.
    pub bucket: f64,
    pub max_set_up: f64,
}

/// A server as this front's list has it, with when its process started.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer {
    pub server: Server,
    pub born: u64,
    pub cold_until: f64,
}

pub struct FleetMember {
    config: FleetConfig,
    gossip: Gossip,
    incarnation: u64,
    fronts: usize,
    budgets: Budgets,
    counts: PlayCounts,
    server_health: ServerHealth,
    pub outcomes: OutcomeLog,
    detector: Detector,
    chain: Option<VersionChain>,
    sections: Sections,
    listed_servers: BTreeMap<u64, ListedServer>,
    titles: Vec<Vec<u64>>,
    health: HealthView,
    last_hints: BTreeMap<u64, ServerHint>,
    /// When each budget was last used, so that use that is too dense shows.
    last_used_at: BTreeMap<(u64, BudgetKind), f64>,
    /// Chunks that each kind of cell had when last written.
    cells_written: BTreeMap<u16, usize>,
    next_tick_at: f64,
    ticks: u64,
}

impl FleetMember {
    pub fn new(
        config: FleetConfig,
        now: f64,
        incarnation: u64,
        seed: u64,
    ) -> Result<FleetMember, PeerListError> {
        let gossip = Gossip::new(config.gossip.clone(), now, incarnation, seed)?;
        let fronts = config.gossip.peers.len() + 1;
        let mut member = FleetMember {
            incarnation,
            fronts,
            budgets: Budgets::new(now, gossip.own(), incarnation, fronts, config.lease_ms),
            counts: PlayCounts::default(),
            server_health: ServerHealth::new(now, config.zone),
            outcomes: OutcomeLog::new(config.zone, config.bucket, config.max_set_up),
            detector: Detector::new(config.alarm_delay),
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

    /// The list of servers, and the holders of each title.
    pub fn update_list(&mut self, servers: &[ListedServer], titles: Vec<Vec<u64>>) {
        self.listed_servers = servers.iter().map(|server| (server.server.id, *server)).collect();
        self.titles = titles;
        let listed_servers = &self.listed_servers;
        self.outcomes
            .keep_servers(|id, born| listed_servers.get(&id).is_some_and(|server| server.born == born));
        self.last_hints.retain(|id, _| listed_servers.contains_key(id));
    }

    /// An allocation goes to a server; a further one of its play's, perhaps.
    pub fn on_sent(&mut self, now: f64, server: u64, further: bool) {
        self.budgets.request(now, (server, BudgetKind::Pace), false);
        if further {
            self.note_budget_use(now, server, BudgetKind::Further);
        }
    }

    pub fn on_probed(&mut self, now: f64, server: u64) {
        self.note_budget_use(now, server, BudgetKind::Probes);
    }

    /// What comes again within two of its gaps wants more.
    fn note_budget_use(&mut self, now: f64, server: u64, kind: BudgetKind) {
        let gap = self.last_hints.get(&server).map_or(0.0, |hint| match kind {
            BudgetKind::Further => hint.further_gap,
            _ => hint.probe_gap,
        });
        let last_used_at = self.last_used_at.insert((server, kind), now);
        self.budgets.request(
            now,
            (server, kind),
            last_used_at.is_some_and(|last_used_at| now - last_used_at < 2.0 * gap),
        );
    }

    /// Servers at which plays wait for their turn.
    pub fn on_waiting(&mut self, now: f64, servers: impl IntoIterator<Item = u64>) {
        for id in servers {
            let is_cold = self.listed_servers.get(&id).is_some_and(|server| now < server.cold_until);
            self.budgets.request(
                now,
                (id, if is_cold { BudgetKind::Pace } else { BudgetKind::Further }),
                true,
            );
        }
    }

    pub fn on_result(&mut self, now: f64, server: u64, result: AllocationResult) {
        self.server_health.record(now, server, result);
    }

    /// A play's so-many-th allocation, out for so long, plays or is out no more.
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

    /// Set-ups out and plays that run, by server and product: all of this front's own.
    pub fn set_play_counts(&mut self, own_counts: BTreeMap<(u64, u16), (u32, u32)>) {
        self.counts.replace(own_counts);
    }

    /// What runs, as it was read back from it; without what this front holds itself to for being adrift.
    pub fn set_active(&mut self, sections: Sections) {
        self.sections = sections;
    }

    /// The approved versions. A chain that does not go on from the one in hand is refused.
    pub fn set_approved(&mut self, chain: VersionChain) -> Result<(), String> {
        match &self.chain {
            Some(current) if !current.is_prefix_of(&chain) => {
                Err("it does not go on from the versions that are in hand".into())
            }
            _ => {
                self.chain = Some(chain);
                Ok(())
            }
        }
    }

    // ---- the exchange ----

    /// When it wants to be looked at next: a round, a look, or the end of a loan.
    pub fn next_deadline(&self) -> f64 {
        self.next_tick_at.min(self.gossip.next_deadline()).min(self.budgets.next_expiry())
    }

    /// Who a datagram is for.
    pub fn name(&self, to: Origin) -> &str {
        self.gossip.name(to)
    }

    pub fn receive(&mut self, now: f64, bytes: &[u8]) -> Vec<Datagram> {
        self.gossip.receive(now, bytes)
    }

    /// Writes this front's row, reads the others', and asks some of them. What the decisions are to be told anew of
    /// servers comes back, and datagrams to send.
    pub fn tick(&mut self, now: f64, wall_clock: f64) -> (Vec<ServerHint>, Vec<Datagram>) {
        if self.gossip.incarnation() != self.incarnation {
            self.incarnation = self.gossip.incarnation();
            self.budgets.restart(self.incarnation);
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

    fn read_rows(&mut self, now: f64) {
        let rows: Vec<FrontView> =
            self.gossip.fronts(now).filter(|v| v.origin != self.gossip.own()).collect();
        let peers: Vec<PeerState> = rows.iter().map(|row| row::peer_state(row, &self.config.zones)).collect();
        self.budgets.merge(now, &peers);
        let servers: Vec<Server> = self.listed_servers.values().map(|it| it.server).collect();
        self.health = self.server_health.evaluate(now, &peers, &servers, &self.titles);
    }

    /// What has changed of what the decisions are told.
    fn changed_hints(&mut self, now: f64) -> Vec<ServerHint> {
        let mut out = Vec::new();
        for id in self.listed_servers.keys() {
            let share = |kind| f64::from(self.budgets.parts(now, (*id, kind))) / f64::from(PARTS_PER_FRONT);
            let gap = |fleet_rate: f64, kind| match fleet_rate {
                _ if fleet_rate > 0.0 => 1_000.0 * self.fronts as f64 / (fleet_rate * share(kind)),
                _ => 0.0,
            };
            let hint = ServerHint {
                server: *id,
                doubted: self.health.doubted.contains(id),
                pace: share(BudgetKind::Pace),
                further_gap: gap(self.config.further_s, BudgetKind::Further),
                probe_gap: gap(self.config.probes_s, BudgetKind::Probes),
            };
            if self.last_hints.get(id) != Some(&hint) {
                self.last_hints.insert(*id, hint);
                out.push(hint);
            }
        }
        out
    }

    /// What this front believes of the servers now.
    pub fn health(&self) -> &HealthView {
        &self.health
    }

    /// Parts of a server's pace that this front holds now.
    pub fn budget_parts(&self, now: f64, server: u64) -> u32 {
        self.budgets.parts(now, (server, BudgetKind::Pace))
    }

    // ---- drift ----

    /// This front's own word on what it goes by.
    fn own_active(&self, wall_clock: f64) -> ActiveVersion {
        let head = self.chain.as_ref().and_then(VersionChain::head_id);
        ActiveVersion::new(&self.sections, head, self.own_differences(wall_clock))
    }

    fn own_differences(&self, wall_clock: f64) -> Vec<pulleystair_drift::Difference> {
        let Some(chain) = &self.chain else { return Vec::new() };
        let index = chain.version_window(&self.config.gossip.name, wall_clock).0;
        index.map(|index| differences(&chain.sections(index), &self.sections)).unwrap_or_default()
    }

    /// While it is adrift and asked to: the figures that it is to go by instead of its own, by path.
    pub fn stricter(&self, wall_clock: f64) -> Vec<(String, f64)> {
        let Some(chain) = self.chain.as_ref().filter(|_| self.config.stricter) else { return Vec::new() };
        let own_report = status::own_report(&self.config.gossip.name, self.own_active(wall_clock));
        match judge(chain, wall_clock, &own_report).0 {
            verdict if verdict.is_wrong() => stricter(&self.own_differences(wall_clock)),
            _ => Vec::new(),
        }
    }

    /// The verdict on each front and on the fleet; none without an approved version.
    pub fn drift(&mut self, now: f64, wall_clock: f64) -> Option<FleetStatus> {
        let own_report = status::own_report(&self.config.gossip.name, self.own_active(wall_clock));
        let chain = self.chain.as_ref()?;
        let mut reports = status::peer_reports(&self.gossip, now);
        reports.push(own_report);
        reports.sort_by(|a, b| a.front.cmp(&b.front));
        Some(self.detector.observe(&self.config.gossip.name, wall_clock, chain, &reports))
    }

    pub fn gossip_stats(&self) -> pulleystair_gossip::GossipStats {
        self.gossip.stats
    }

    /// Fronts that are not heard now, by name.
    pub fn unheard(&self, now: f64) -> BTreeSet<String> {
        status::unheard(&self.gossip, now)
    }
}
