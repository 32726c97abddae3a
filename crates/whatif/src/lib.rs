//! What would set-ups have taken, had plays gone to other holders than those drawn? The mechanism draws at random, so the
//! chance of each choice is known exactly, and outcomes can be weighed by it; no request is ever sent for this.
//!
//! [`OutcomeLog`] is one front's own: the choices that are out, and bounded [`aggregates`] of those that ended. [`report`] is what
//! the sums of all fronts that are heard say: set-up times under a few policies, by class of title and by title, the
//! servers that are slower than the others, and what the routing lost. No I/O.
//!
//! - A set-up that was given up or withdrawn is censored: it would have taken longer than it was waited for, by what those
//!   that were waited for longer took on (Buckley and James, on the Kaplan-Meier estimate of all set-ups).
//! - A play's allocation counts once at its front, and a front's sums are its own cell, replaced as a whole; so however
//!   often a row comes, and whichever way two parts of a fleet meet again, nothing counts twice.
//! - A server that restarted is another server.

pub mod aggregates;
pub mod censored;
pub mod report;

use aggregates::{POLICIES, Policy, ServerSums, Stratum, StratumKey};
use censored::CensoredTimes;
use std::collections::{BTreeMap, VecDeque};

/// Choices that are out at a time, strata of a bucket and servers, at most; what is beyond is not counted, or goes to
/// the class as a whole.
const OUT: usize = 10_000;
const STRATA: usize = 64;
const SERVERS: usize = 4_096;
/// Inverse chances are cut off here.
pub const CLIP: f64 = 10.0;
/// A server's own mean counts beside the mean of all as so many set-ups do.
const PRIOR: f64 = 8.0;

/// A holder that could have been drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub server: u64,
    /// When its process started: another start is another server.
    pub born: u64,
    pub zone: usize,
    pub chance: f64,
    pub room: f64,
}

/// How an allocation ended: its set-up time, or how long it was waited for in vain; ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpResult {
    Playing(f64),
    GivenUp(f64),
}

struct Choice {
    product: u16,
    title: u32,
    chosen: usize,
    candidates: Vec<Candidate>,
}

/// One front's own choices and sums.
pub struct OutcomeLog {
    zone: usize,
    /// How long a bucket of time is, ms.
    bucket: f64,
    out: BTreeMap<(u64, u32), Choice>,
    order: VecDeque<(u64, u32)>,
    times: CensoredTimes,
    pub(crate) strata: BTreeMap<StratumKey, Stratum>,
    pub(crate) servers: BTreeMap<(u64, u64), ServerSums>,
    /// Set-ups' mean by server, and of all: the model that the direct estimate goes by.
    means: BTreeMap<(u64, u64), (f64, f64)>,
    mean: (f64, f64),
}

/// The chance that a policy gives to each candidate that the draw gives any.
fn chances(policy: Policy, zone: usize, from: &[Candidate]) -> Vec<f64> {
    let open = |c: &Candidate| c.chance > 0.0;
    let even = |take: &dyn Fn(&Candidate) -> bool| {
        let count = from.iter().filter(|c| open(c) && take(c)).count();
        let one = |c: &Candidate| if open(c) && take(c) { 1.0 / count as f64 } else { 0.0 };
        from.iter().map(one).collect::<Vec<f64>>()
    };
    let by_room = |take: &dyn Fn(&Candidate) -> bool| {
        let total: f64 = from.iter().filter(|c| open(c) && take(c)).map(|c| c.room.max(0.0)).sum();
        if total <= 0.0 {
            return even(take);
        }
        from.iter().map(|c| if open(c) && take(c) { c.room.max(0.0) / total } else { 0.0 }).collect()
    };
    let drawn = |take: &dyn Fn(&Candidate) -> bool| {
        let total: f64 = from.iter().filter(|c| take(c)).map(|c| c.chance).sum();
        from.iter().map(|c| if take(c) { c.chance / total } else { 0.0 }).collect::<Vec<f64>>()
    };
    match policy {
        Policy::AsDrawn => from.iter().map(|c| c.chance).collect(),
        Policy::Uniform => even(&|_| true),
        Policy::Weighted => by_room(&|_| true),
        Policy::Roomiest => {
            let most = from.iter().filter(|c| open(c)).map(|c| c.room).fold(f64::NEG_INFINITY, f64::max);
            even(&|c| c.room >= most)
        }
        // Where no candidate is of the own zone it is as drawn.
        Policy::OwnZone if from.iter().any(|c| open(c) && c.zone == zone) => drawn(&|c| c.zone == zone),
        Policy::OwnZone => from.iter().map(|c| c.chance).collect(),
    }
}

impl OutcomeLog {
    /// Of a front in this zone; set-ups that take longer than `longest` count as that.
    pub fn new(zone: usize, bucket: f64, longest: f64) -> OutcomeLog {
        OutcomeLog {
            zone,
            bucket: bucket.max(1.0),
            out: BTreeMap::new(),
            order: VecDeque::new(),
            times: CensoredTimes::new(longest),
            strata: BTreeMap::new(),
            servers: BTreeMap::new(),
            means: BTreeMap::new(),
            mean: (0.0, 0.0),
        }
    }

    /// A play's so-many-th allocation goes to this candidate. What can't have been drawn is not counted.
    pub fn record_choice(
        &mut self,
        play: u64,
        n: u32,
        product: u16,
        title: u32,
        chosen: usize,
        candidates: Vec<Candidate>,
    ) {
        let total: f64 = candidates.iter().map(|c| c.chance).sum();
        let sound = candidates.get(chosen).is_some_and(|c| c.chance > 0.0) && (total - 1.0).abs() < 1e-6;
        if !sound {
            return;
        }
        while self.out.len() >= OUT {
            let Some(oldest) = self.order.pop_front() else { break };
            self.out.remove(&oldest);
        }
        if self.out.insert((play, n), Choice { product, title, chosen, candidates }).is_none() {
            self.order.push_back((play, n));
        }
        if self.order.len() > 2 * OUT {
            self.order.retain(|key| self.out.contains_key(key));
        }
    }

    fn model(&self, c: &Candidate) -> f64 {
        let all = if self.mean.0 > 0.0 { self.mean.1 / self.mean.0 } else { 0.0 };
        let (n, sum) = self.means.get(&(c.server, c.born)).copied().unwrap_or_default();
        (sum + PRIOR * all) / (n + PRIOR)
    }

    /// That allocation ended. One that is not known, or has ended before, counts no more.
    pub fn record_result(&mut self, wall: f64, play: u64, n: u32, how: SetUpResult) {
        let Some(it) = self.out.remove(&(play, n)) else { return };
        let (SetUpResult::Playing(ms) | SetUpResult::GivenUp(ms)) = how;
        if !ms.is_finite() || ms < 0.0 {
            return;
        }
        let given_up = matches!(how, SetUpResult::GivenUp(_));
        // Reckoned before this outcome is known to the model, so that it does not vouch for itself.
        let took = if given_up { self.times.expected_after(ms) } else { self.times.longest().min(ms) };
        self.times.record(ms, given_up);
        let chosen = it.candidates[it.chosen];
        let models: Vec<f64> = it.candidates.iter().map(|c| self.model(c)).collect();
        let key = self.key(wall, it.product, it.title);
        let stratum = self.strata.entry(key).or_default();
        stratum.saw(took, given_up);
        for (policy, sums) in POLICIES.iter().zip(&mut stratum.policies) {
            let by = chances(*policy, self.zone, &it.candidates);
            let weight = (by[it.chosen] / chosen.chance).min(CLIP);
            let direct: f64 = by.iter().zip(&models).map(|(p, q)| p * q).sum();
            sums.saw(took, weight, direct, direct + weight * (took - models[it.chosen]));
        }
        let id = (chosen.server, chosen.born);
        if self.servers.len() < SERVERS || self.servers.contains_key(&id) {
            self.servers.entry(id).or_default().saw(took, (1.0 / chosen.chance).min(CLIP), given_up);
            let mean = self.means.entry(id).or_default();
            *mean = (mean.0 + 1.0, mean.1 + took);
        }
        self.mean = (self.mean.0 + 1.0, self.mean.1 + took);
    }

    /// The bucket and the stratum, after room was made: two buckets are kept, and so many strata of each.
    fn key(&mut self, wall: f64, product: u16, title: u32) -> StratumKey {
        let bucket = (wall / self.bucket).max(0.0) as u64;
        self.strata.retain(|key, _| key.bucket + 1 >= bucket && key.bucket <= bucket);
        let key = StratumKey { bucket, product, title };
        let full = self.strata.keys().filter(|k| k.bucket == bucket).count() >= STRATA;
        if full && !self.strata.contains_key(&key) { StratumKey { title: 0, ..key } } else { key }
    }

    /// A server is not listed any more, or started anew: what is known of it goes.
    pub fn keep_servers(&mut self, listed: impl Fn(u64, u64) -> bool) {
        self.servers.retain(|id, _| listed(id.0, id.1));
        self.means.retain(|id, _| listed(id.0, id.1));
    }

    /// This front's sums as cells.
    pub fn cells(&self) -> Vec<Vec<u8>> {
        aggregates::cells(&self.strata, &self.servers)
    }
}
