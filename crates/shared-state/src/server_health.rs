//! Judgements on media servers: what each front met there of late, and what a front believes of what others met.
//!
//! - Own evidence outranks hearsay: a server that served this front within the window is not doubted on hearsay, and
//!   what is doubted on hearsay no longer is with the first own success.
//! - A front's word counts while it is fresh, once a front, and only from the zone that this front is in: a server that
//!   another zone can't reach is not a server that is down. Where too few of the own zone have met the server, words of
//!   at least two zones do.
//! - It takes [`MIN_AGREEING`] fronts that met failures, and more of them than of those that it served.
//! - However many agree, **no more than [`MAX_DOUBTED_LINKS`] of all links in sum and no more than [`MAX_DOUBTED_HOLDERS`] of any title's holders
//!   are doubted on hearsay**, so that any few that lie, or a fleet that is deaf, cost no more than that.
//! - A zone counts as lost where at least [`LOST_ZONE_SHARE`] of its servers were silent or refused since any of them last served,
//!   as this front and those of its zone met them, while servers elsewhere serve. This front must have met such a failure
//!   there itself, or [`MIN_AGREEING`] of its zone. Where words are old, failures count as that much older and successes do
//!   not. At most one zone does, with no more than [`MAX_LOST_ZONE_LINKS`] of all links; its servers are doubted beside those above,
//!   and all are taken back with the first of them that serves.
//!
//! A doubted server is tried at its pace, so what is doubted wrongly is found out.

use crate::{PeerState, Server, chunks, items};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Fronts that must agree.
pub const MIN_AGREEING: usize = 3;
/// Of all links in sum, and of each title's holders.
pub const MAX_DOUBTED_LINKS: f64 = 0.25;
pub const MAX_DOUBTED_HOLDERS: f64 = 0.5;
/// Of a zone's servers, and no fewer than so many.
pub const LOST_ZONE_SHARE: f64 = 0.5;
pub const LOST_ZONE_MIN: usize = 3;
/// Of all links in sum, for a zone that counts as lost.
pub const MAX_LOST_ZONE_LINKS: f64 = 0.6;
/// What was met within so long counts, ms, by halves; a word that is older by half of it counts no more.
pub const WINDOW: f64 = 5_000.0;
const CELL: usize = 900;

/// How an allocation went, as far as it tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllocationResult {
    Success,
    Error,
    TimedOut,
    Refused,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultCounts {
    pub tries: u32,
    pub successes: u32,
    pub errors: u32,
    pub timed_out: u32,
    pub refused: u32,
}

impl ResultCounts {
    fn add(&mut self, other: &ResultCounts) {
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
    tries: ResultCounts,
    /// How long ago it last served, and was last silent or refused, in tenths of a second.
    served: Option<u8>,
    failed: Option<u8>,
}

/// What a front met at a server, with the latest moments that it served and the earliest that it last failed, on this
/// front's clock.
#[derive(Clone, Copy, Debug)]
struct Word {
    zone: Option<usize>,
    tries: ResultCounts,
    served: Option<f64>,
    failed: Option<f64>,
}

const TENTH: f64 = 100.0;

fn ago(now: f64, at: Option<&f64>) -> Option<u8> {
    at.map(|at| ((now - at) / TENTH).clamp(0.0, 255.0) as u8)
}

/// What is believed of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthView {
    pub doubted: BTreeSet<u64>,
    /// The zone that counts as lost; its servers are among the doubted.
    pub lost: Option<usize>,
}

pub struct ServerHealth {
    zone: usize,
    /// The present half of the window and the one before, and when the present one began.
    halves: [BTreeMap<u64, ResultCounts>; 2],
    began: f64,
    /// The servers that served this front last, and when; and that were silent or refused.
    served: BTreeMap<u64, f64>,
    failed: BTreeMap<u64, f64>,
}

impl ServerHealth {
    pub fn new(now: f64, zone: usize) -> ServerHealth {
        ServerHealth {
            zone,
            halves: Default::default(),
            began: now,
            served: BTreeMap::new(),
            failed: BTreeMap::new(),
        }
    }

    pub fn record(&mut self, now: f64, server: u64, met: AllocationResult) {
        self.turn(now);
        let tries = self.halves[0].entry(server).or_default();
        tries.tries += 1;
        match met {
            AllocationResult::Success => tries.successes += 1,
            AllocationResult::Error => tries.errors += 1,
            AllocationResult::TimedOut => tries.timed_out += 1,
            AllocationResult::Refused => tries.refused += 1,
        }
        match met {
            AllocationResult::Success => self.served.insert(server, now),
            AllocationResult::TimedOut | AllocationResult::Refused => self.failed.insert(server, now),
            AllocationResult::Error => None,
        };
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
        self.failed.retain(|_, at| now < *at + WINDOW);
    }

    fn own(&self) -> BTreeMap<u64, ResultCounts> {
        let mut own = self.halves[1].clone();
        for (server, tries) in &self.halves[0] {
            own.entry(*server).or_default().add(tries);
        }
        own
    }

    pub fn cells(&mut self, now: f64) -> Vec<Vec<u8>> {
        self.turn(now);
        let row = |(server, tries): (u64, ResultCounts)| Row {
            server,
            tries,
            served: ago(now, self.served.get(&server)),
            failed: ago(now, self.failed.get(&server)),
        };
        chunks(self.own().into_iter().map(row), CELL)
    }

    /// What to believe. `titles`: the holders of each title, by id.
    pub fn evaluate(
        &mut self,
        now: f64,
        heard: &[PeerState],
        servers: &[Server],
        titles: &[Vec<u64>],
    ) -> HealthView {
        self.turn(now);
        let own = self.own();
        // What each fresh front met, by server.
        let mut words: BTreeMap<u64, Vec<Word>> = BTreeMap::new();
        for peer in heard.iter().filter(|p| p.age < WINDOW / 2.0) {
            let mut said = BTreeMap::new();
            for row in items::<Row>(&peer.judgements) {
                said.insert(row.server, row);
            }
            for row in said.into_values().filter(|row| row.tries.sound()) {
                let at = |ago: Option<u8>, more: f64| ago.map(|n| now - f64::from(n) * TENTH - more);
                words.entry(row.server).or_default().push(Word {
                    zone: peer.zone,
                    tries: row.tries,
                    served: at(row.served, 0.0),
                    failed: at(row.failed, peer.age + TENTH),
                });
            }
        }
        let lost = self.lost(&words, servers);
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
                there < (title.len() as f64 * MAX_DOUBTED_HOLDERS) as usize
            });
            if room && links + server.link <= all * MAX_DOUBTED_LINKS {
                links += server.link;
                doubted.insert(server.id);
            }
        }
        doubted.extend(servers.iter().filter(|s| Some(s.zone) == lost).map(|s| s.id));
        HealthView { doubted, lost }
    }

    /// How many fronts speak against a server, where that is enough.
    fn against(&self, own: Option<&ResultCounts>, words: &[Word]) -> Option<usize> {
        let mine = own.map(|tries| (Some(self.zone), *tries));
        let all: Vec<(Option<usize>, ResultCounts)> =
            words.iter().map(|w| (w.zone, w.tries)).chain(mine).collect();
        let near: Vec<(Option<usize>, ResultCounts)> =
            all.iter().filter(|w| w.0 == Some(self.zone)).copied().collect();
        let count = |from: &[(Option<usize>, ResultCounts)]| {
            let bad = from.iter().filter(|w| w.1.bad()).count();
            (bad, from.iter().filter(|w| w.1.good()).count())
        };
        let (bad, good) = count(&near);
        if bad + good >= MIN_AGREEING {
            return (bad >= MIN_AGREEING && bad > good).then_some(bad);
        }
        let zones: BTreeSet<Option<usize>> = all.iter().filter(|w| w.1.bad()).map(|w| w.0).collect();
        let near_good = good > 0;
        let (bad, good) = count(&all);
        (bad >= MIN_AGREEING && bad > good && zones.len() >= 2 && !near_good).then_some(bad)
    }

    /// The zone whose servers were silent to this front and those near it since the last of them served any.
    fn lost(&self, words: &BTreeMap<u64, Vec<Word>>, servers: &[Server]) -> Option<usize> {
        let near = |id: u64| words.get(&id).into_iter().flatten().filter(|w| w.zone == Some(self.zone));
        let mut zones: BTreeMap<usize, Vec<&Server>> = BTreeMap::new();
        servers.iter().for_each(|server| zones.entry(server.zone).or_default().push(server));
        let served = |there: &[&Server]| {
            let last = there.iter().flat_map(|s| {
                let mine = self.served.get(&s.id).copied();
                near(s.id).filter_map(|w| w.served).chain(mine)
            });
            last.fold(f64::NEG_INFINITY, f64::max)
        };
        let all: f64 = servers.iter().map(|s| s.link).sum();
        let dark = |there: &[&Server]| {
            let last = served(there);
            let since = |at: f64| at > last;
            let mine = |s: &Server| self.failed.get(&s.id).is_some_and(|at| since(*at));
            let theirs = |s: &Server| near(s.id).filter(|w| w.failed.is_some_and(since)).count();
            let failed = there.iter().filter(|s| mine(s) || theirs(s) > 0).count();
            // One front of the zone that makes it up must not be enough.
            let met = there.iter().any(|s| mine(s) || theirs(s) >= MIN_AGREEING);
            let least = ((there.len() as f64 * LOST_ZONE_SHARE).ceil() as usize).max(LOST_ZONE_MIN);
            let links: f64 = there.iter().map(|s| s.link).sum();
            met && failed >= least && links <= all * MAX_LOST_ZONE_LINKS
        };
        let mut lost = zones.iter().filter(|(_, there)| dark(there)).map(|(zone, _)| *zone);
        let first = lost.next().filter(|_| lost.next().is_none())?;
        let others = zones.iter().filter(|(zone, _)| **zone != first);
        others.map(|(_, there)| served(there)).any(f64::is_finite).then_some(first)
    }
}
