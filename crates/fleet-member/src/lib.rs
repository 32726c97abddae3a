//! A fellow: one front's part in a fleet that shares. It keeps the front's own row in the exchange, reads the others', and
//! hands back plain values: datagrams to send, what the decisions are to be told of servers, verdicts and estimates. It
//! decides nothing on plays, does no I/O, and is handed the time; the real front and the tests' fleets run the same one.
//!
//! [`Fellow::due`] says when it wants to be looked at; a loan that ends is told at that moment, so a host looks at it
//! before it does anything else.

mod row;
mod said;

use pulleystair::Outcome;
use pulleystair_drift::approved::Chain;
use pulleystair_drift::detector::{Detector, Fleet};
use pulleystair_drift::stricter::stricter;
use pulleystair_drift::verdict::judge;
use pulleystair_drift::{Active, Sections, differences};
use pulleystair_gossip::message::Origin;
use pulleystair_gossip::{Gossip, Unfit, View};
use pulleystair_shared_state::budgets::{Budgets, Kind, OWN};
use pulleystair_shared_state::counts::Counts;
use pulleystair_shared_state::server_health::{Belief, Judgements};
use pulleystair_shared_state::{Given, Heard, Server};
use pulleystair_whatif::Ledger;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

pub use pulleystair_gossip::{Out, Terms as Exchange};
pub use pulleystair_shared_state::server_health::Met;
pub use pulleystair_whatif::{Candidate, Ended};

/// So often its row is written anew, and others' are read, ms; what changes seldom or costs more, every so many times.
const LOOK: f64 = 100.0;
const SELDOM: u64 = 10;

/// A server's or title's number for all fronts alike: SipHash 1-3 of its name.
pub fn number_of(name: &str) -> u64 {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// What the decisions are told of a server; which one, its host says beside it.
pub fn told(it: &Given) -> pulleystair::ServerHint {
    let Given { doubted, pace, further_gap, probe_gap, .. } = *it;
    pulleystair::ServerHint { server: 0, doubted, pace, further_gap, probe_gap }
}

#[derive(Clone, Debug)]
pub struct Terms {
    pub exchange: Exchange,
    /// This front's zone among all.
    pub zone: usize,
    pub zones: Vec<String>,
    /// How long parts of budgets are lent, ms.
    pub lend: f64,
    /// Further allocations and probes of all fronts to one server, a second; 0 for no bound.
    pub further_s: f64,
    pub probes_s: f64,
    /// A verdict is an alarm once it has stood so long, ms.
    pub hold: f64,
    /// Go by the stricter figure while adrift in a rule.
    pub stricter: bool,
    /// Buckets of estimates, and the longest set-up that counts, ms.
    pub bucket: f64,
    pub longest: f64,
}

/// A server as this front's list has it, with when its process started.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    pub server: Server,
    pub born: u64,
    pub cold_until: f64,
}

pub struct Fellow {
    terms: Terms,
    gossip: Gossip,
    incarnation: u64,
    fronts: usize,
    budgets: Budgets,
    counts: Counts,
    judgements: Judgements,
    pub ledger: Ledger,
    detector: Detector,
    chain: Option<Chain>,
    sections: Sections,
    listed: BTreeMap<u64, Listed>,
    titles: Vec<Vec<u64>>,
    belief: Belief,
    given: BTreeMap<u64, Given>,
    /// When each budget was last used, so that use that is too dense shows.
    last: BTreeMap<(u64, Kind), f64>,
    /// Chunks that each kind of cell had when last written.
    written: BTreeMap<u16, usize>,
    next: f64,
    looks: u64,
}

impl Fellow {
    pub fn new(terms: Terms, now: f64, incarnation: u64, seed: u64) -> Result<Fellow, Unfit> {
        let gossip = Gossip::new(terms.exchange.clone(), now, incarnation, seed)?;
        let fronts = terms.exchange.peers.len() + 1;
        let mut fellow = Fellow {
            incarnation,
            fronts,
            budgets: Budgets::new(now, gossip.own(), incarnation, fronts, terms.lend),
            counts: Counts::default(),
            judgements: Judgements::new(now, terms.zone),
            ledger: Ledger::new(terms.zone, terms.bucket, terms.longest),
            detector: Detector::new(terms.hold),
            chain: None,
            sections: Sections::new(),
            listed: BTreeMap::new(),
            titles: Vec::new(),
            belief: Belief::default(),
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
    pub fn list(&mut self, servers: &[Listed], titles: Vec<Vec<u64>>) {
        self.listed = servers.iter().map(|it| (it.server.id, *it)).collect();
        self.titles = titles;
        let listed = &self.listed;
        self.ledger.keep_servers(|id, born| listed.get(&id).is_some_and(|it| it.born == born));
        self.given.retain(|id, _| listed.contains_key(id));
    }

    /// An allocation goes to a server; a further one of its play's, perhaps.
    pub fn sent(&mut self, now: f64, server: u64, further: bool) {
        self.budgets.needs(now, (server, Kind::Pace), false);
        if further {
            self.used(now, server, Kind::Further);
        }
    }

    pub fn probed(&mut self, now: f64, server: u64) {
        self.used(now, server, Kind::Probes);
    }

    /// What comes again within two of its gaps wants more.
    fn used(&mut self, now: f64, server: u64, kind: Kind) {
        let gap = self.given.get(&server).map_or(0.0, |it| match kind {
            Kind::Further => it.further_gap,
            _ => it.probe_gap,
        });
        let before = self.last.insert((server, kind), now);
        self.budgets.needs(now, (server, kind), before.is_some_and(|at| now - at < 2.0 * gap));
    }

    /// Servers at which plays wait for their turn.
    pub fn waits(&mut self, now: f64, servers: impl IntoIterator<Item = u64>) {
        for id in servers {
            let cold = self.listed.get(&id).is_some_and(|it| now < it.cold_until);
            self.budgets.needs(now, (id, if cold { Kind::Pace } else { Kind::Further }), true);
        }
    }

    pub fn met(&mut self, now: f64, server: u64, met: Met) {
        self.judgements.met(now, server, met);
    }

    /// A play's so-many-th allocation, out for so long, plays or is out no more.
    pub fn out_no_more(
        &mut self,
        now: f64,
        wall: f64,
        server: u64,
        (play, n): (u64, u32),
        outcome: Outcome,
        waited: f64,
    ) {
        let met = match outcome {
            Outcome::Playing => Some(Met::Success),
            Outcome::Error => Some(Met::Error),
            Outcome::TimedOut | Outcome::Broken => Some(Met::TimedOut),
            Outcome::Unreachable => Some(Met::Refused),
            Outcome::Full | Outcome::Finished | Outcome::Withdrawn | Outcome::NeverSent => None,
        };
        met.into_iter().for_each(|met| self.met(now, server, met));
        let played = outcome == Outcome::Playing;
        let how = if played { Ended::Playing(waited) } else { Ended::GivenUp(waited) };
        self.ledger.ended(wall, play, n, how);
    }

    /// Set-ups out and plays that run, by server and product: all of this front's own.
    pub fn counts(&mut self, own: BTreeMap<(u64, u16), (u32, u32)>) {
        self.counts.replace(own);
    }

    /// What runs, as it was read back from it; without what this front holds itself to for being adrift.
    pub fn active(&mut self, sections: Sections) {
        self.sections = sections;
    }

    /// The approved versions. A chain that does not go on from the one in hand is refused.
    pub fn approved(&mut self, chain: Chain) -> Result<(), String> {
        match &self.chain {
            Some(was) if !was.goes_on_in(&chain) => {
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
    pub fn due(&self) -> f64 {
        self.next.min(self.gossip.due()).min(self.budgets.next_end())
    }

    /// Who a datagram is for.
    pub fn name(&self, to: Origin) -> &str {
        self.gossip.name(to)
    }

    pub fn came(&mut self, now: f64, bytes: &[u8]) -> Vec<Out> {
        self.gossip.came(now, bytes)
    }

    /// Writes this front's row, reads the others', and asks some of them. What the decisions are to be told anew of
    /// servers comes back, and datagrams to send.
    pub fn look(&mut self, now: f64, wall: f64) -> (Vec<Given>, Vec<Out>) {
        if self.gossip.incarnation() != self.incarnation {
            self.incarnation = self.gossip.incarnation();
            self.budgets.reborn(self.incarnation);
        }
        self.budgets.expire(now);
        if now >= self.next {
            self.next = now + LOOK;
            self.looks += 1;
            self.read(now);
            self.write(now, wall);
        }
        (self.told(now), self.gossip.round(now))
    }

    fn read(&mut self, now: f64) {
        let rows: Vec<View> = self.gossip.fronts(now).filter(|v| v.origin != self.gossip.own()).collect();
        let heard: Vec<Heard> = rows.iter().map(|row| row::heard(row, &self.terms.zones)).collect();
        self.budgets.read(now, &heard);
        let servers: Vec<Server> = self.listed.values().map(|it| it.server).collect();
        self.belief = self.judgements.believe(now, &heard, &servers, &self.titles);
    }

    /// What has changed of what the decisions are told.
    fn told(&mut self, now: f64) -> Vec<Given> {
        let mut out = Vec::new();
        for id in self.listed.keys() {
            let parts = |kind| f64::from(self.budgets.parts(now, (*id, kind))) / f64::from(OWN);
            let gap = |whole: f64, kind| match whole {
                _ if whole > 0.0 => 1_000.0 * self.fronts as f64 / (whole * parts(kind)),
                _ => 0.0,
            };
            let it = Given {
                server: *id,
                doubted: self.belief.doubted.contains(id),
                pace: parts(Kind::Pace),
                further_gap: gap(self.terms.further_s, Kind::Further),
                probe_gap: gap(self.terms.probes_s, Kind::Probes),
            };
            if self.given.get(id) != Some(&it) {
                self.given.insert(*id, it);
                out.push(it);
            }
        }
        out
    }

    /// What this front believes of the servers now.
    pub fn belief(&self) -> &Belief {
        &self.belief
    }

    /// Parts of a server's pace that this front holds now.
    pub fn parts(&self, now: f64, server: u64) -> u32 {
        self.budgets.parts(now, (server, Kind::Pace))
    }

    // ---- drift ----

    /// This front's own word on what it goes by.
    fn own_active(&self, wall: f64) -> Active {
        let head = self.chain.as_ref().and_then(Chain::head_mark);
        Active::of(&self.sections, head, self.own_differences(wall))
    }

    fn own_differences(&self, wall: f64) -> Vec<pulleystair_drift::Difference> {
        let Some(chain) = &self.chain else { return Vec::new() };
        let at = chain.window(&self.terms.exchange.name, wall).0;
        at.map(|at| differences(&chain.sections(at), &self.sections)).unwrap_or_default()
    }

    /// While it is adrift and asked to: the figures that it is to go by instead of its own, by path.
    pub fn stricter(&self, wall: f64) -> Vec<(String, f64)> {
        let Some(chain) = self.chain.as_ref().filter(|_| self.terms.stricter) else { return Vec::new() };
        let word = said::own(&self.terms.exchange.name, self.own_active(wall));
        match judge(chain, wall, &word).0 {
            it if it.wrong() => stricter(&self.own_differences(wall)),
            _ => Vec::new(),
        }
    }

    /// The verdict on each front and on the fleet; none without an approved version.
    pub fn drift(&mut self, now: f64, wall: f64) -> Option<Fleet> {
        let own = said::own(&self.terms.exchange.name, self.own_active(wall));
        let chain = self.chain.as_ref()?;
        let mut words = said::words(&self.gossip, now);
        words.push(own);
        words.sort_by(|a, b| a.front.cmp(&b.front));
        Some(self.detector.look(&self.terms.exchange.name, wall, chain, &words))
    }

    pub fn counted(&self) -> pulleystair_gossip::Counts {
        self.gossip.counts
    }

    /// Fronts that are not heard now, by name.
    pub fn unheard(&self, now: f64) -> BTreeSet<String> {
        said::unheard(&self.gossip, now)
    }
}
