//! Who belongs to the fleet. Several sources of the list (a file, a registry) pour into one [`View`]; it settles order,
//! duplicates, servers in two sources, lists that shrink suspiciously, and how far old lists are trusted. Free of I/O:
//! callers hand in the time, ms, and what a source told; they ask for the list when [`Taken::changed`] says so, and call
//! [`View::tick`] when [`View::next_deadline`] has come.
//!
//! [`endpoints`] decides which of a registry's endpoints is asked next and when, [`snapshot`] is the last list as bytes.
//!
//! What takes a server out of use is believed sooner than what brings one in: a drain at once and from anybody, a
//! removal at once unless so many go together that the list is more likely wrong than the fleet gone.

pub mod endpoints;
mod settle;
pub mod snapshot;

pub use settle::{Offer, Say, Says, settle};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// How far lists are trusted.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// A list that loses more than this part of its servers in one step is held back for so long, ms; removals in it
    /// count once the source has told the same again after that.
    pub shrink: f64,
    pub hold: f64,
    /// A server that came back so often within a span, ms, gets nothing new until it has stayed for as long.
    pub flaps: usize,
    pub flap_span: f64,
    /// A list older than this, ms, adds servers only as long as no source is in step.
    pub old: f64,
    /// How long it is remembered that a source has told a server gone, ms.
    pub forget: f64,
}

/// A list shorter than this may lose servers without suspicion, but not all of them.
const FEW: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    Ready,
    Draining,
}

/// A server as a source tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub weight: f64,
    pub standing: Standing,
    /// When its process started, ms since 1970; 0 for long ago.
    pub started: f64,
}

/// What a source tells.
#[derive(Clone, Debug)]
pub enum Update {
    /// All servers as of a revision, so old when it was told, ms.
    Whole { revision: u64, age: f64, servers: Vec<Server> },
    /// What a revision changed.
    Change { revision: u64, put: Vec<Server>, gone: Vec<String> },
    /// Nothing, but the source is there.
    Alive,
    /// The connection broke, or the revision to go on from is compacted: what follows must be whole.
    Lost,
}

/// What became of news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    /// The list is another one now.
    pub changed: bool,
    /// The source is to be asked for all of it.
    pub whole_wanted: bool,
    pub held: Option<Held>,
}

/// Why a part of the news is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// So many of so many servers were gone at once.
    Shrunk { gone: usize, of: usize },
    /// The revision went back: a stale follower, or a registry that was set up anew.
    Backwards { from: u64, to: u64 },
}

/// A server that plays may go to, or that still has some.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub server: Server,
    /// Told by an old list alone.
    pub cached: bool,
}

#[derive(Clone, Default)]
struct Source {
    revision: u64,
    /// It has told all, and every change since.
    in_step: bool,
    heard: Option<f64>,
    said: HashMap<String, Said>,
    /// How many of them it lists.
    there: usize,
    /// Servers whose removal is held back, and since when.
    held: Option<(f64, BTreeSet<String>)>,
    /// A revision that is lower than one seen before, and since when.
    backwards: Option<(f64, u64)>,
}

/// A source's last word on a server; `server` is as it was before where it is gone.
#[derive(Clone)]
struct Said {
    server: Server,
    gone: bool,
    old: bool,
    at: f64,
}

/// A server as the view has it.
#[derive(Clone)]
struct Member {
    server: Server,
    offer: Option<Offer>,
    /// When it came back lately, and until when it gets nothing new for that.
    comings: VecDeque<f64>,
    out_until: f64,
}

#[derive(Clone)]
pub struct View {
    terms: MembershipConfig,
    sources: Vec<Source>,
    members: BTreeMap<String, Member>,
    /// Servers on which sources differ, which a mere word from one of them may settle otherwise.
    disputed: BTreeSet<String>,
}

impl View {
    pub fn new(terms: MembershipConfig, sources: usize) -> View {
        View {
            terms,
            sources: (0..sources).map(|_| Source::default()).collect(),
            members: BTreeMap::new(),
            disputed: BTreeSet::new(),
        }
    }

    /// The revision up to which a source has told all; none if it must tell all anew.
    pub fn revision(&self, source: usize) -> Option<u64> {
        self.sources[source].in_step.then_some(self.sources[source].revision)
    }

    /// When a source was last heard.
    pub fn heard(&self, source: usize) -> Option<f64> {
        self.sources[source].heard
    }

    /// Takes what a source tells.
    pub fn apply(&mut self, now: f64, source: usize, news: Update) -> Taken {
        let stepped = self.in_step();
        let (mut touched, mut taken) = match news {
            Update::Whole { revision, age, servers } => self.whole(now, source, revision, age, servers),
            Update::Change { revision, put, gone } => self.change(now, source, revision, put, gone),
            Update::Alive => (BTreeSet::new(), Taken::default()),
            Update::Lost => {
                self.sources[source].in_step = false;
                return Taken { whole_wanted: true, ..Taken::default() };
            }
        };
        self.sources[source].heard = Some(now);
        if stepped != self.in_step() {
            // Whether old lists may add depends on it.
            touched.extend(self.members.keys().cloned());
        }
        touched.extend(self.disputed.iter().cloned());
        taken.changed = self.refresh(now, touched);
        taken
    }

    fn in_step(&self) -> bool {
        self.sources.iter().any(|s| s.in_step)
    }

    fn whole(
        &mut self,
        now: f64,
        source: usize,
        revision: u64,
        age: f64,
        servers: Vec<Server>,
    ) -> (BTreeSet<String>, Taken) {
        let (hold, old) = (self.terms.hold, age > self.terms.old);
        let it = &mut self.sources[source];
        if revision < it.revision {
            let (since, lowest) = *it.backwards.get_or_insert((now, revision));
            // What stays lower is a new history; until then only drains are taken from it.
            if now < since + hold || revision < lowest {
                let drains = servers.into_iter().filter(|s| s.standing == Standing::Draining);
                let drains = drains.filter(|s| it.said.get(&s.name).is_some_and(|said| !said.gone)).collect();
                let touched = it.put(now, drains, old);
                let held = Some(Held::Backwards { from: it.revision, to: revision });
                return (touched, Taken { whole_wanted: true, held, ..Taken::default() });
            }
        }
        it.backwards = None;
        // A list as old as that is no ground to go on from.
        (it.revision, it.in_step) = (revision, !old);
        let names: BTreeSet<&str> = servers.iter().map(|s| s.name.as_str()).collect();
        let there = it.said.iter().filter(|(_, said)| !said.gone);
        let gone: Vec<String> =
            there.map(|(name, _)| name.clone()).filter(|name| !names.contains(name.as_str())).collect();
        if let Some((_, held)) = it.held.as_mut() {
            held.retain(|name| !names.contains(name.as_str()));
        }
        let mut touched = it.put(now, servers, old);
        let held = self.remove(now, source, gone, &mut touched);
        (touched, Taken { whole_wanted: held.is_some() || old, held, ..Taken::default() })
    }

    fn change(
        &mut self,
        now: f64,
        source: usize,
        revision: u64,
        put: Vec<Server>,
        gone: Vec<String>,
    ) -> (BTreeSet<String>, Taken) {
        let it = &mut self.sources[source];
        if !it.in_step {
            // Something in between may be missing.
            return (BTreeSet::new(), Taken { whole_wanted: true, ..Taken::default() });
        }
        if revision <= it.revision {
            // A duplicate, or one that came late: what is known is newer.
            return (BTreeSet::new(), Taken::default());
        }
        it.revision = revision;
        if let Some((_, held)) = it.held.as_mut() {
            put.iter().for_each(|server| {
                held.remove(&server.name);
            });
        }
        let mut touched = it.put(now, put, false);
        let held = self.remove(now, source, gone, &mut touched);
        (touched, Taken { whole_wanted: held.is_some(), held, ..Taken::default() })
    }

    /// Takes servers out of a source's list, or holds that back where too many go at once.
    fn remove(
        &mut self,
        now: f64,
        source: usize,
        gone: Vec<String>,
        touched: &mut BTreeSet<String>,
    ) -> Option<Held> {
        let terms = self.terms;
        let it = &mut self.sources[source];
        let of = it.there;
        let mut out: BTreeSet<String> =
            gone.into_iter().filter(|name| it.said.get(name).is_some_and(|said| !said.gone)).collect();
        let (since, held) = it.held.take().unwrap_or((now, BTreeSet::new()));
        out.extend(held);
        let many = out.len() == of && of > 0 || of >= FEW && out.len() as f64 > terms.shrink * of as f64;
        let wait = many && now < since + terms.hold;
        // One that drained already has nothing to lose by being gone.
        let drained =
            |name: &String| it.said.get(name).is_some_and(|s| s.server.standing == Standing::Draining);
        let (now_gone, later): (BTreeSet<String>, BTreeSet<String>) =
            out.into_iter().partition(|name| !wait || drained(name));
        let count = later.len();
        it.held = (count > 0).then_some((since, later));
        for name in now_gone {
            if let Some(said) = it.said.get_mut(&name) {
                (said.gone, said.at) = (true, now);
                it.there -= 1;
            }
            touched.insert(name);
        }
        (count > 0).then_some(Held::Shrunk { gone: count, of })
    }

    /// When something becomes due by time alone.
    pub fn next_deadline(&self) -> Option<f64> {
        let holds = self.sources.iter().filter_map(|s| Some(s.held.as_ref()?.0 + self.terms.hold));
        let out =
            self.members.values().filter(|m| m.offer.is_some()).map(|m| m.out_until).filter(|t| *t > 0.0);
        holds.chain(out).min_by(f64::total_cmp)
    }

    /// Takes up what has become due; true where the list is another one now. A removal that was held back counts only
    /// if its source has been heard since: one that is cut off has not told it again.
    pub fn tick(&mut self, now: f64) -> bool {
        let mut touched = BTreeSet::new();
        for source in 0..self.sources.len() {
            let it = &self.sources[source];
            let ripe = it.held.as_ref().is_some_and(|(since, _)| {
                now >= since + self.terms.hold
                    && it.heard.is_some_and(|heard| heard >= since + self.terms.hold)
            });
            if ripe {
                self.remove(now, source, Vec::new(), &mut touched);
            }
        }
        let forget = self.terms.forget;
        for it in &mut self.sources {
            it.said.retain(|_, said| !said.gone || now < said.at + forget);
        }
        let back = self.members.iter().filter(|(_, m)| m.out_until > 0.0 && m.out_until <= now);
        touched.extend(back.map(|(name, _)| name.clone()));
        self.refresh(now, touched)
    }

    /// Settles these servers anew; true where one of them now stands otherwise.
    fn refresh(&mut self, now: f64, touched: BTreeSet<String>) -> bool {
        let in_step = self.in_step();
        let mut changed = false;
        for name in touched {
            let words: Vec<(usize, &Said)> = (0..self.sources.len())
                .filter_map(|source| Some((source, self.sources[source].said.get(&name)?)))
                .collect();
            let says: Vec<Says> = words
                .iter()
                .map(|(source, said)| Says {
                    say: match (said.gone, said.server.standing) {
                        (true, _) => Say::Gone,
                        (false, Standing::Draining) => Say::Draining,
                        (false, Standing::Ready) => Say::Ready,
                    },
                    started: said.server.started,
                    at: said.at,
                    heard: self.sources[*source].heard.unwrap_or(f64::NEG_INFINITY),
                    old: said.old,
                })
                .collect();
            let differ = says.iter().any(|s| s.say != says[0].say || s.started != says[0].started);
            let offer = settle(&says, in_step);
            // The newest process is the one that counts; of two words on it, the first source's.
            let newest = words.iter().rev().max_by(|a, b| a.1.server.started.total_cmp(&b.1.server.started));
            let server = newest.map(|(_, said)| said.server.clone());
            if differ {
                self.disputed.insert(name.clone());
            } else {
                self.disputed.remove(&name);
            }
            changed |= self.member(now, name, server, offer);
        }
        changed
    }

    fn member(&mut self, now: f64, name: String, server: Option<Server>, offer: Option<Offer>) -> bool {
        let (terms, known) = (self.terms, self.members.get(&name));
        let Some(mut server) = server else { return self.members.remove(&name).is_some() };
        // Another address is another process, whatever it says of its start.
        if known.is_some_and(|m| m.server.address != server.address && server.started <= m.server.started) {
            server.started = now;
        } else if let Some(m) = known.filter(|m| m.server.address == server.address) {
            server.started = server.started.max(m.server.started);
        }
        let Some(it) = self.members.get_mut(&name) else {
            let offered = offer.is_some();
            let it = Member { server, offer, comings: VecDeque::new(), out_until: 0.0 };
            self.members.insert(name, it);
            return offered;
        };
        let back = it.offer.is_none() && offer.is_some();
        if back {
            it.comings.retain(|at| *at > now - terms.flap_span);
            it.comings.push_back(now);
            if it.comings.len() >= terms.flaps {
                it.out_until = now + terms.flap_span;
            }
        }
        let quiet = it.out_until > 0.0 && it.out_until <= now;
        if quiet {
            (it.out_until, it.comings) = (0.0, VecDeque::new());
        }
        let changed = quiet || (it.offer, &it.server) != (offer, &server);
        (it.server, it.offer) = (server, offer);
        changed
    }

    /// The list as it is: servers that may get plays, and those that drain, by name.
    pub fn list(&self, now: f64) -> Vec<Listed> {
        let mut by_address: HashMap<SocketAddr, (f64, &str)> = HashMap::new();
        let offered = || self.members.iter().filter(|(_, m)| m.offer.is_some());
        // Two names at one address: the process that started last is the one that is there.
        for (name, m) in offered() {
            let at = by_address.entry(m.server.address).or_insert((m.server.started, name));
            if m.server.started > at.0 {
                *at = (m.server.started, name);
            }
        }
        let there = offered().filter(|(name, m)| by_address[&m.server.address].1 == name.as_str());
        there
            .map(|(_, m)| {
                let out = m.offer == Some(Offer::Draining) || m.out_until > now;
                let standing = if out { Standing::Draining } else { Standing::Ready };
                let server = Server { standing, ..m.server.clone() };
                Listed { server, cached: m.offer == Some(Offer::Cached) }
            })
            .collect()
    }
}

impl Source {
    /// Takes what is told of servers; of two words on one the process that started later counts.
    fn put(&mut self, now: f64, servers: Vec<Server>, old: bool) -> BTreeSet<String> {
        let mut touched = BTreeSet::new();
        for server in servers {
            let name = server.name.clone();
            let twice = touched.contains(&name);
            if twice && self.said.get(&name).is_some_and(|said| said.server.started >= server.started) {
                continue;
            }
            let same = self
                .said
                .get(&name)
                .is_some_and(|said| !said.gone && said.server == server && said.old == old);
            if !same {
                self.there += usize::from(self.said.get(&name).is_none_or(|said| said.gone));
                self.said.insert(name.clone(), Said { server, gone: false, old, at: now });
                touched.insert(name);
            }
        }
        touched
    }
}
