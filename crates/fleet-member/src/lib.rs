//! A fellow: one front's part in a fleet that shares. It keeps the front's own row in the exchange, reads the others', and
//! hands back plain values: datagrams to send, what the decisions are to be told of servers, verdicts and estimates. It
//! decides nothing on plays, does no I/O, and is handed the time; the real front and the tests' fleets run the same one.
//!
//! [`FleetMember::next_deadline`] says when it wants to be looked at; a loan that ends is told at that moment, so a host looks at it
//! before it does anything else.

mod row;
mod said;

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
const LOOK: f64 = 100.0;
const SELDOM: u64 = 10;

/// A server's or title's number for all fronts alike: SipHash 1-3 of its name.
pub fn stable_id(name: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// What the decisions are told of a server; which one, its host says beside it.
pub fn policy_hint(it: &ServerHint) -> pulleystair::ServerHint {
    let ServerHint { doubted, pace, further_gap, probe_gap, .. } = *it;
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
    terms: FleetConfig,
    gossip: Gossip,
    incarnation: u64,
    fronts: usize,
    budgets: Budgets,
    counts: PlayCounts,
    judgements: ServerHealth,
    pub outcomes: OutcomeLog,
    detector: Detector,
    chain: Option<VersionChain>,
    sections: Sections,
    listed: BTreeMap<u64, ListedServer>,
    titles: Vec<Vec<u64>>,
    belief: HealthView,
    given: BTreeMap<u64, ServerHint>,
    /// When each budget was last used, so that use that is too dense shows.
    last: BTreeMap<(u64, BudgetKind), f64>,
    /// Chunks that each kind of cell had when last written.
    written: BTreeMap<u16, usize>,
    next: f64,
    looks: u64,
}

impl FleetMember {
    pub fn new(
        terms: FleetConfig,
        now: f64,
        incarnation: u64,
        seed: u64,
    ) -> Result<FleetMember, PeerListError> {
        let gossip = Gossip::new(terms.gossip.clone(), now, incarnation, seed)?;
        let fronts = terms.gossip.peers.len() + 1;
        let mut fellow = FleetMember {
            incarnation,
            fronts,
            budgets: Budgets::new(now, gossip.own(), incarnation, fronts, terms.lease_ms),
            counts: PlayCounts::default(),
            judgements: ServerHealth::new(now, terms.zone),
            outcomes: OutcomeLog::new(terms.zone, terms.bucket, terms.max_set_up),
            detector: Detector::new(terms.alarm_delay),
            chain: None,
            sections: Sections::new(),
            listed: BTreeMap::new(),
            titles: Vec::new(),
            belief: HealthView::default(),
            given: BTreeMap::new(),
            last: BTreeMap::new(),
            written: BTreeMap::new(),
            next: now,
            looks: 0,
            gossip,
            terms,
        };
        fellow.hello();
        Ok(fellow)
    }

    // ---- what this front does and knows ----

    /// The list of servers, and the holders of each title.
    pub fn update_list(&mut self, servers: &[ListedServer], titles: Vec<Vec<u64>>) {
        self.listed = servers.iter().map(|it| (it.server.id, *it)).collect();
        self.titles = titles;
        let listed = &self.listed;
        self.outcomes.keep_servers(|id, born| listed.get(&id).is_some_and(|it| it.born == born));
        self.given.retain(|id, _| listed.contains_key(id));
    }

    /// An allocation goes to a server; a further one of its play's, perhaps.
    pub fn on_sent(&mut self, now: f64, server: u64, further: bool) {
        self.budgets.request(now, (server, BudgetKind::Pace), false);
        if further {
            self.used(now, server, BudgetKind::Further);
        }
    }

    pub fn on_probed(&mut self, now: f64, server: u64) {
        self.used(now, server, BudgetKind::Probes);
    }

    /// What comes again within two of its gaps wants more.
    fn used(&mut self, now: f64, server: u64, kind: BudgetKind) {
        let gap = self.given.get(&server).map_or(0.0, |it| match kind {
            BudgetKind::Further => it.further_gap,
            _ => it.probe_gap,
        });
        let before = self.last.insert((server, kind), now);
        self.budgets.request(now, (server, kind), before.is_some_and(|at| now - at < 2.0 * gap));
    }

    /// Servers at which plays wait for their turn.
    pub fn on_waiting(&mut self, now: f64, servers: impl IntoIterator<Item = u64>) {
        for id in servers {
            let cold = self.listed.get(&id).is_some_and(|it| now < it.cold_until);
            self.budgets.request(now, (id, if cold { BudgetKind::Pace } else { BudgetKind::Further }), true);
        }
    }

    pub fn on_result(&mut self, now: f64, server: u64, met: AllocationResult) {
        self.judgements.record(now, server, met);
    }

    /// A play's so-many-th allocation, out for so long, plays or is out no more.
    pub fn on_allocation_result(
        &mut self,
        now: f64,
        wall: f64,
        server: u64,
        (play, n): (u64, u32),
        outcome: Outcome,
        waited: f64,
    ) {
        let met = match outcome {
            Outcome::Playing => Some(AllocationResult::Success),
            Outcome::Error => Some(AllocationResult::Error),
            Outcome::TimedOut | Outcome::Broken => Some(AllocationResult::TimedOut),
            Outcome::Unreachable => Some(AllocationResult::Refused),
            Outcome::Full | Outcome::Finished | Outcome::Withdrawn | Outcome::NeverSent => None,
        };
        met.into_iter().for_each(|met| self.on_result(now, server, met));
        let played = outcome == Outcome::Playing;
        let how = if played { SetUpResult::Playing(waited) } else { SetUpResult::GivenUp(waited) };
        self.outcomes.record_result(wall, play, n, how);
    }

    /// Set-ups out and plays that run, by server and product: all of this front's own.
    pub fn set_play_counts(&mut self, own: BTreeMap<(u64, u16), (u32, u32)>) {
        self.counts.replace(own);
    }

    /// What runs, as it was read back from it; without what this front holds itself to for being adrift.
    pub fn set_active(&mut self, sections: Sections) {
        self.sections = sections;
    }

    /// The approved versions. A chain that does not go on from the one in hand is refused.
    pub fn set_approved(&mut self, chain: VersionChain) -> Result<(), String> {
        match &self.chain {
            Some(was) if !was.is_prefix_of(&chain) => {
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
        self.next.min(self.gossip.next_deadline()).min(self.budgets.next_expiry())
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
    pub fn tick(&mut self, now: f64, wall: f64) -> (Vec<ServerHint>, Vec<Datagram>) {
        if self.gossip.incarnation() != self.incarnation {
            self.incarnation = self.gossip.incarnation();
            self.budgets.restart(self.incarnation);
        }
        self.budgets.expire(now);
        if now >= self.next {
            self.next = now + LOOK;
            self.looks += 1;
            self.read(now);
            self.write(now, wall);
        }
        (self.told(now), self.gossip.run_round(now))
    }

    fn read(&mut self, now: f64) {
        let rows: Vec<FrontView> =
            self.gossip.fronts(now).filter(|v| v.origin != self.gossip.own()).collect();
        let heard: Vec<PeerState> = rows.iter().map(|row| row::heard(row, &self.terms.zones)).collect();
        self.budgets.merge(now, &heard);
        let servers: Vec<Server> = self.listed.values().map(|it| it.server).collect();
        self.belief = self.judgements.evaluate(now, &heard, &servers, &self.titles);
    }

    /// What has changed of what the decisions are told.
    fn told(&mut self, now: f64) -> Vec<ServerHint> {
        let mut out = Vec::new();
        for id in self.listed.keys() {
            let parts = |kind| f64::from(self.budgets.parts(now, (*id, kind))) / f64::from(PARTS_PER_FRONT);
            let gap = |whole: f64, kind| match whole {
                _ if whole > 0.0 => 1_000.0 * self.fronts as f64 / (whole * parts(kind)),
                _ => 0.0,
            };
            let it = ServerHint {
                server: *id,
                doubted: self.belief.doubted.contains(id),
                pace: parts(BudgetKind::Pace),
                further_gap: gap(self.terms.further_s, BudgetKind::Further),
                probe_gap: gap(self.terms.probes_s, BudgetKind::Probes),
            };
            if self.given.get(id) != Some(&it) {
                self.given.insert(*id, it);
                out.push(it);
            }
        }
        out
    }

    /// What this front believes of the servers now.
    pub fn health(&self) -> &HealthView {
        &self.belief
    }

    /// Parts of a server's pace that this front holds now.
    pub fn budget_parts(&self, now: f64, server: u64) -> u32 {
        self.budgets.parts(now, (server, BudgetKind::Pace))
    }

    // ---- drift ----

    /// This front's own word on what it goes by.
    fn own_active(&self, wall: f64) -> ActiveVersion {
        let head = self.chain.as_ref().and_then(VersionChain::head_id);
        ActiveVersion::new(&self.sections, head, self.own_differences(wall))
    }

    fn own_differences(&self, wall: f64) -> Vec<pulleystair_drift::Difference> {
        let Some(chain) = &self.chain else { return Vec::new() };
        let at = chain.version_window(&self.terms.gossip.name, wall).0;
        at.map(|at| differences(&chain.sections(at), &self.sections)).unwrap_or_default()
    }

    /// While it is adrift and asked to: the figures that it is to go by instead of its own, by path.
    pub fn stricter(&self, wall: f64) -> Vec<(String, f64)> {
        let Some(chain) = self.chain.as_ref().filter(|_| self.terms.stricter) else { return Vec::new() };
        let word = said::own(&self.terms.gossip.name, self.own_active(wall));
        match judge(chain, wall, &word).0 {
            it if it.is_wrong() => stricter(&self.own_differences(wall)),
            _ => Vec::new(),
        }
    }

    /// The verdict on each front and on the fleet; none without an approved version.
    pub fn drift(&mut self, now: f64, wall: f64) -> Option<FleetStatus> {
        let own = said::own(&self.terms.gossip.name, self.own_active(wall));
        let chain = self.chain.as_ref()?;
        let mut words = said::words(&self.gossip, now);
        words.push(own);
        words.sort_by(|a, b| a.front.cmp(&b.front));
        Some(self.detector.observe(&self.terms.gossip.name, wall, chain, &words))
    }

    pub fn gossip_stats(&self) -> pulleystair_gossip::GossipStats {
        self.gossip.stats
    }

    /// Fronts that are not heard now, by name.
    pub fn unheard(&self, now: f64) -> BTreeSet<String> {
        said::unheard(&self.gossip, now)
    }
}
