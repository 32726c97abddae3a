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
const MAX_OPEN_CHOICES: usize = 10_000;
const MAX_STRATA: usize = 64;
const MAX_SERVERS: usize = 4_096;
/// Inverse chances are cut off here.
pub const MAX_WEIGHT: f64 = 10.0;
/// A server's own mean counts beside the mean of all as so many set-ups do.
const PRIOR_SET_UPS: f64 = 8.0;

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
    bucket_ms: f64,
    open_choices: BTreeMap<(u64, u32), Choice>,
    choice_order: VecDeque<(u64, u32)>,
    times: CensoredTimes,
    pub(crate) strata: BTreeMap<StratumKey, Stratum>,
    pub(crate) servers: BTreeMap<(u64, u64), ServerSums>,
    /// Set-ups' mean by server, and of all: the model that the direct estimate goes by.
    server_totals: BTreeMap<(u64, u64), (f64, f64)>,
    overall_total: (f64, f64),
}

/// The chance that a policy gives to each candidate that the draw gives any.
fn chances(policy: Policy, zone: usize, candidates: &[Candidate]) -> Vec<f64> {
    let is_possible = |c: &Candidate| c.chance > 0.0;
    let uniform_among = |include: &dyn Fn(&Candidate) -> bool| {
        let count = candidates.iter().filter(|c| is_possible(c) && include(c)).count();
        let share = |c: &Candidate| if is_possible(c) && include(c) { 1.0 / count as f64 } else { 0.0 };
        candidates.iter().map(share).collect::<Vec<f64>>()
    };
    let by_room_among = |include: &dyn Fn(&Candidate) -> bool| {
        let total: f64 =
            candidates.iter().filter(|c| is_possible(c) && include(c)).map(|c| c.room.max(0.0)).sum();
        if total <= 0.0 {
            return uniform_among(include);
        }
        candidates
            .iter()
            .map(|c| if is_possible(c) && include(c) { c.room.max(0.0) / total } else { 0.0 })
            .collect()
    };
    let as_drawn_among = |include: &dyn Fn(&Candidate) -> bool| {
        let total: f64 = candidates.iter().filter(|c| include(c)).map(|c| c.chance).sum();
        candidates.iter().map(|c| if include(c) { c.chance / total } else { 0.0 }).collect::<Vec<f64>>()
    };
    match policy {
        Policy::AsDrawn => candidates.iter().map(|c| c.chance).collect(),
        Policy::Uniform => uniform_among(&|_| true),
        Policy::Weighted => by_room_among(&|_| true),
        Policy::Roomiest => {
            let max_room = candidates
                .iter()
                .filter(|c| is_possible(c))
                .map(|c| c.room)
                .fold(f64::NEG_INFINITY, f64::max);
            uniform_among(&|c| c.room >= max_room)
        }
        // Where no candidate is of the own zone it is as drawn.
        Policy::OwnZone if candidates.iter().any(|c| is_possible(c) && c.zone == zone) => {
            as_drawn_among(&|c| c.zone == zone)
        }
        Policy::OwnZone => candidates.iter().map(|c| c.chance).collect(),
    }
}

impl OutcomeLog {
    /// Of a front in this zone; set-ups that take longer than `longest` count as that.
    pub fn new(zone: usize, bucket_ms: f64, max_set_up_ms: f64) -> OutcomeLog {
        OutcomeLog {
            zone,
            bucket_ms: bucket_ms.max(1.0),
            open_choices: BTreeMap::new(),
            choice_order: VecDeque::new(),
            times: CensoredTimes::new(max_set_up_ms),
            strata: BTreeMap::new(),
            servers: BTreeMap::new(),
            server_totals: BTreeMap::new(),
            overall_total: (0.0, 0.0),
        }
    }

    /// A play's so-many-th allocation goes to this candidate. What can't have been drawn is not counted.
    pub fn record_choice(
        &mut self,
        play: u64,
        allocation: u32,
        product: u16,
        title: u32,
        chosen: usize,
        candidates: Vec<Candidate>,
    ) {
        let total: f64 = candidates.iter().map(|c| c.chance).sum();
        let is_valid = candidates.get(chosen).is_some_and(|c| c.chance > 0.0) && (total - 1.0).abs() < 1e-6;
        if !is_valid {
            return;
        }
        while self.open_choices.len() >= MAX_OPEN_CHOICES {
            let Some(oldest) = self.choice_order.pop_front() else { break };
            self.open_choices.remove(&oldest);
        }
        if self
            .open_choices
            .insert((play, allocation), Choice { product, title, chosen, candidates })
            .is_none()
        {
            self.choice_order.push_back((play, allocation));
        }
        if self.choice_order.len() > 2 * MAX_OPEN_CHOICES {
            self.choice_order.retain(|key| self.open_choices.contains_key(key));
        }
    }

    fn expected_ms(&self, c: &Candidate) -> f64 {
        let overall_mean =
            if self.overall_total.0 > 0.0 { self.overall_total.1 / self.overall_total.0 } else { 0.0 };
        let (count, sum) = self.server_totals.get(&(c.server, c.born)).copied().unwrap_or_default();
        (sum + PRIOR_SET_UPS * overall_mean) / (count + PRIOR_SET_UPS)
    }

    /// That allocation ended. One that is not known, or has ended before, counts no more.
    pub fn record_result(&mut self, wall_clock: f64, play: u64, allocation: u32, result: SetUpResult) {
        let Some(choice) = self.open_choices.remove(&(play, allocation)) else { return };
        let (SetUpResult::Playing(elapsed_ms) | SetUpResult::GivenUp(elapsed_ms)) = result;
        if !elapsed_ms.is_finite() || elapsed_ms < 0.0 {
            return;
        }
        let given_up = matches!(result, SetUpResult::GivenUp(_));
        // Reckoned before this outcome is known to the model, so that it does not vouch for itself.
        let set_up_ms = if given_up {
            self.times.expected_after(elapsed_ms)
        } else {
            self.times.max_ms().min(elapsed_ms)
        };
        self.times.record(elapsed_ms, given_up);
        let candidate = choice.candidates[choice.chosen];
        let expected: Vec<f64> = choice.candidates.iter().map(|c| self.expected_ms(c)).collect();
        let key = self.stratum_key(wall_clock, choice.product, choice.title);
        let stratum = self.strata.entry(key).or_default();
        stratum.record(set_up_ms, given_up);
        for (policy, sums) in POLICIES.iter().zip(&mut stratum.policies) {
            let policy_chances = chances(*policy, self.zone, &choice.candidates);
            let weight = (policy_chances[choice.chosen] / candidate.chance).min(MAX_WEIGHT);
            let direct: f64 = policy_chances.iter().zip(&expected).map(|(p, q)| p * q).sum();
            sums.record(set_up_ms, weight, direct, direct + weight * (set_up_ms - expected[choice.chosen]));
        }
        let id = (candidate.server, candidate.born);
        if self.servers.len() < MAX_SERVERS || self.servers.contains_key(&id) {
            self.servers.entry(id).or_default().record(
                set_up_ms,
                (1.0 / candidate.chance).min(MAX_WEIGHT),
                given_up,
            );
            let total = self.server_totals.entry(id).or_default();
            *total = (total.0 + 1.0, total.1 + set_up_ms);
        }
        self.overall_total = (self.overall_total.0 + 1.0, self.overall_total.1 + set_up_ms);
    }

    /// The bucket and the stratum, after room was made: two buckets are kept, and so many strata of each.
    fn stratum_key(&mut self, wall_clock: f64, product: u16, title: u32) -> StratumKey {
        let bucket = (wall_clock / self.bucket_ms).max(0.0) as u64;
        self.strata.retain(|key, _| key.bucket + 1 >= bucket && key.bucket <= bucket);
        let key = StratumKey { bucket, product, title };
        let is_full = self.strata.keys().filter(|k| k.bucket == bucket).count() >= MAX_STRATA;
        if is_full && !self.strata.contains_key(&key) { StratumKey { title: 0, ..key } } else { key }
    }

    /// A server is not listed any more, or started anew: what is known of it goes.
    pub fn keep_servers(&mut self, is_listed: impl Fn(u64, u64) -> bool) {
        self.servers.retain(|id, _| is_listed(id.0, id.1));
        self.server_totals.retain(|id, _| is_listed(id.0, id.1));
    }

    /// This front's sums as cells.
    pub fn cells(&self) -> Vec<Vec<u8>> {
        aggregates::encode_cells(&self.strata, &self.servers)
    }
}
