//! Judgements on media servers: what each front met there of late, and what a front believes of what others met.
//!
//! - Own evidence outranks hearsay: a server that served this front within the window is not doubted on hearsay, and
//!   what is doubted on hearsay no longer is with the first own success.
//! - A front's word counts while it is fresh, once a front, and only from the zone that this front is in: a server that
//!   another zone can't reach is not a server that is down. Where too few of the own zone have met the server, words of
//!   at least two zones do.
//! - It takes [`SEVERAL`] fronts that met failures, and more of them than of those that it served.
//! - However many agree, **no more than [`LINKS`] of all links in sum and no more than [`HOLDERS`] of any title's holders
//!   are doubted on hearsay**, so that any few that lie, or a fleet that is deaf, cost no more than that.
//! - A zone counts as lost where at least [`LOST`] of its servers failed, as this front and those of its zone met them,
//!   and none of it served any of them within the window, while servers elsewhere do. This front must have met a failure
//!   there itself, or [`SEVERAL`] of its zone. At most one zone does, with no more than [`ZONE_LINKS`] of all links; its
//!   servers are doubted beside those above, and all are taken back with the first of them that serves.
//!
//! A doubted server is tried at its pace, so what is doubted wrongly is found out.

use crate::{Heard, Server, chunks, items};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Fronts that must agree.
pub const SEVERAL: usize = 3;
/// Of all links in sum, and of each title's holders.
pub const LINKS: f64 = 0.25;
pub const HOLDERS: f64 = 0.5;
/// Of a zone's servers, and no fewer than so many.
pub const LOST: f64 = 0.5;
pub const LOST_LEAST: usize = 3;
/// Of all links in sum, for a zone that counts as lost.
pub const ZONE_LINKS: f64 = 0.6;
/// What was met within so long counts, ms, by halves; a word that is older by half of it counts no more.
pub const WINDOW: f64 = 5_000.0;
const CELL: usize = 900;

/// How an allocation went, as far as it tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    Success,
    Error,
    TimedOut,
    Refused,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tries {
    pub tries: u32,
    pub successes: u32,
    pub errors: u32,
    pub timed_out: u32,
    pub refused: u32,
}

impl Tries {
    fn add(&mut self, other: &Tries) {
        self.tries = self.tries.saturating_add(other.tries);
        self.successes = self.successes.saturating_add(other.successes);
        self.errors = self.errors.saturating_add(other.errors);
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
        self.refused = self.refused.saturating_add(other.refused);
    }

    fn failures(&self) -> u32 {
        self.errors.saturating_add(self.timed_out).saturating_add(self.refused)
    }

    /// Twice at least, and more often than it served by far.
    fn bad(&self) -> bool {
        self.failures() >= 2 && self.failures() > self.successes.saturating_mul(2)
    }

    fn good(&self) -> bool {
        self.successes > 0 && !self.bad()
    }

    /// A row that can't be: more outcomes than tries.
    fn sound(&self) -> bool {
        u64::from(self.successes) + u64::from(self.failures()) <= u64::from(self.tries)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    server: u64,
    tries: Tries,
}

/// What is believed of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Belief {
    pub doubted: BTreeSet<u64>,
    /// The zone that counts as lost; its servers are among the doubted.
    pub lost: Option<usize>,
}

pub struct Judgements {
    zone: usize,
    /// The present half of the window and the one before, and when the present one began.
    halves: [BTreeMap<u64, Tries>; 2],
    began: f64,
    /// The servers that served this front last, and when.
    served: BTreeMap<u64, f64>,
}

impl Judgements {
    pub fn new(now: f64, zone: usize) -> Judgements {
        Judgements { zone, halves: Default::default(), began: now, served: BTreeMap::new() }
    }

    pub fn met(&mut self, now: f64, server: u64, met: Met) {
        self.turn(now);
        let tries = self.halves[0].entry(server).or_default();
        tries.tries += 1;
        match met {
            Met::Success => tries.successes += 1,
            Met::Error => tries.errors += 1,
            Met::TimedOut => tries.timed_out += 1,
            Met::Refused => tries.refused += 1,
        }
        if met == Met::Success {
            self.served.insert(server, now);
        }
    }

    fn turn(&mut self, now: f64) {
        while now >= self.began + WINDOW / 2.0 {
            self.began += WINDOW / 2.0;
            if now >= self.began + WINDOW {
                self.began = now;
                self.halves = Default::default();
            }
            self.halves.swap(0, 1);
            self.halves[0].clear();
        }
        self.served.retain(|_, at| now < *at + WINDOW);
    }

    fn own(&self) -> BTreeMap<u64, Tries> {
        let mut own = self.halves[1].clone();
        for (server, tries) in &self.halves[0] {
            own.entry(*server).or_default().add(tries);
        }
        own
    }

    pub fn cells(&mut self, now: f64) -> Vec<Vec<u8>> {
        self.turn(now);
        chunks(self.own().into_iter().map(|(server, tries)| Row { server, tries }), CELL)
    }

    /// What to believe. `titles`: the holders of each title, by id.
    pub fn believe(&mut self, now: f64, heard: &[Heard], servers: &[Server], titles: &[Vec<u64>]) -> Belief {
        self.turn(now);
        let own = self.own();
        // What each fresh front met, by server.
        let mut words: BTreeMap<u64, Vec<(Option<usize>, Tries)>> = BTreeMap::new();
        for peer in heard.iter().filter(|p| p.age < WINDOW / 2.0) {
            let mut said = BTreeMap::new();
            for row in items::<Row>(&peer.judgements) {
                said.insert(row.server, row.tries);
            }
            for (server, tries) in said.into_iter().filter(|(_, tries)| tries.sound()) {
                words.entry(server).or_default().push((peer.zone, tries));
            }
        }
        let lost = self.lost(&own, &words, servers);
        let mut doubted = BTreeSet::new();
        let mut suspects: Vec<(usize, &Server)> = servers
            .iter()
            .filter(|s| !self.served.contains_key(&s.id))
            .filter_map(|s| Some((self.against(own.get(&s.id), words.get(&s.id)?)?, s)))
            .collect();
        suspects.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
        let all: f64 = servers.iter().map(|s| s.link).sum();
        let mut links = 0.0;
        for (_, server) in suspects {
            let within = |title: &&Vec<u64>| title.contains(&server.id);
            let room = titles.iter().filter(within).all(|title| {
                let there = title.iter().filter(|s| doubted.contains(*s)).count();
                there < (title.len() as f64 * HOLDERS) as usize
            });
            if room && links + server.link <= all * LINKS {
                links += server.link;
                doubted.insert(server.id);
            }
        }
        doubted.extend(servers.iter().filter(|s| Some(s.zone) == lost).map(|s| s.id));
        Belief { doubted, lost }
    }

    /// How many fronts speak against a server, where that is enough.
    fn against(&self, own: Option<&Tries>, words: &[(Option<usize>, Tries)]) -> Option<usize> {
        let mine = own.map(|tries| (Some(self.zone), *tries));
        let all: Vec<(Option<usize>, Tries)> = words.iter().copied().chain(mine).collect();
        let near: Vec<(Option<usize>, Tries)> =
            all.iter().filter(|w| w.0 == Some(self.zone)).copied().collect();
        let count = |from: &[(Option<usize>, Tries)]| {
            let bad = from.iter().filter(|w| w.1.bad()).count();
            (bad, from.iter().filter(|w| w.1.good()).count())
        };
        let (bad, good) = count(&near);
        if bad + good >= SEVERAL {
            return (bad >= SEVERAL && bad > good).then_some(bad);
        }
        let zones: BTreeSet<Option<usize>> = all.iter().filter(|w| w.1.bad()).map(|w| w.0).collect();
        let near_good = good > 0;
        let (bad, good) = count(&all);
        (bad >= SEVERAL && bad > good && zones.len() >= 2 && !near_good).then_some(bad)
    }

    /// The zone whose servers failed this front and those near it, and served none of them.
    fn lost(
        &self,
        own: &BTreeMap<u64, Tries>,
        words: &BTreeMap<u64, Vec<(Option<usize>, Tries)>>,
        servers: &[Server],
    ) -> Option<usize> {
        let near = |id: u64| {
            let mut sum = own.get(&id).copied().unwrap_or_default();
            for (_, tries) in words.get(&id).into_iter().flatten().filter(|w| w.0 == Some(self.zone)) {
                sum.add(tries);
            }
            sum
        };
        let mut zones: BTreeMap<usize, (usize, usize, u32, f64)> = BTreeMap::new();
        for server in servers {
            let sum = near(server.id);
            let (count, failed, served, links) = zones.entry(server.zone).or_default();
            *count += 1;
            *failed += usize::from(sum.failures() > 0 && sum.successes == 0);
            *served += sum.successes + u32::from(self.served.contains_key(&server.id));
            *links += server.link;
        }
        // One front of the zone that makes it up must not be enough.
        let met = |zone: usize| {
            let there: Vec<u64> = servers.iter().filter(|s| s.zone == zone).map(|s| s.id).collect();
            let most = |id: &u64| {
                let near = words.get(id).into_iter().flatten().filter(|w| w.0 == Some(self.zone));
                near.filter(|w| w.1.failures() > 0).count()
            };
            let mine = there.iter().any(|id| own.get(id).is_some_and(|tries| tries.failures() > 0));
            mine || there.iter().map(most).max().is_some_and(|most| most >= SEVERAL)
        };
        let all: f64 = servers.iter().map(|s| s.link).sum();
        let dark = |z: &(usize, usize, u32, f64)| {
            let least = ((z.0 as f64 * LOST).ceil() as usize).max(LOST_LEAST);
            z.1 >= least && z.2 == 0 && z.3 <= all * ZONE_LINKS
        };
        let mut lost = zones.iter().filter(|(zone, z)| dark(z) && met(**zone)).map(|(zone, _)| *zone);
        let first = lost.next().filter(|_| lost.next().is_none())?;
        zones.iter().any(|(zone, z)| *zone != first && z.2 > 0).then_some(first)
    }
}
