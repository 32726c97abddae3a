//! Estimates how long set-ups would have taken had plays gone to other holders than those drawn. Holders are drawn at
//! random, so the chance of each choice is known exactly and results can be weighted by its inverse (inverse propensity
//! weighting). No request is ever sent for the purpose of these estimates.
//!
//! [`OutcomeLog`] belongs to one front: the choices whose results are open, and bounded [`aggregates`] of the finished
//! ones. [`report`] computes estimates from the sums of all fronts that are heard: set-up times under several policies,
//! overall and by title, the servers that are slower than the others, and how much better another policy would have been.
//! The package does no I/O; times are in ms.
//!
//! - A set-up that was given up or withdrawn is censored. It counts as its expected total time, given the time waited: the
//!   mean of the longer times by the Kaplan-Meier estimate of all set-ups (Buckley and James).
//! - An allocation of a play counts once, at its front. A front's sums are in its own cells, which are replaced as a whole.
//!   Nothing counts twice, however often a row arrives and however two parts of a partitioned fleet are joined again.
//! - A server that restarted counts as a different server.

pub mod aggregates;
pub mod censored;
pub mod report;

use aggregates::{POLICIES, Policy, ServerSums, Stratum, StratumKey};
use censored::CensoredTimes;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of open choices. Beyond it, the oldest open choice is dropped.
const MAX_OPEN_CHOICES: usize = 10_000;
/// Maximum number of strata per bucket. Beyond it, further titles are counted together, as title 0 of their product.
const MAX_STRATA: usize = 64;
/// Maximum number of servers. Beyond it, further servers get no sums of their own.
const MAX_SERVERS: usize = 4_096;
/// Maximum inverse propensity weight of a set-up: a policy's chance (for a server: 1) divided by the chance in the draw.
pub const MAX_WEIGHT: f64 = 10.0;
/// Weight of the overall mean against a server's own mean, in set-ups.
const PRIOR_SET_UPS: f64 = 8.0;

/// A holder that could have been drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Identifier of the server.
    pub server: u64,
    /// When its process started. After a restart it counts as a different server.
    pub process_started_at: u64,
    /// Index of its zone.
    pub zone: usize,
    /// The probability that the draw chooses it.
    pub chance: f64,
    /// Free capacity by which the draw is weighted.
    pub room: f64,
}

/// The result of an allocation, in ms: the set-up time, or the time waited until it was given up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SetUpResult {
    /// The play was set up.
    Playing(f64),
    /// The set-up failed, was withdrawn or timed out.
    GivenUp(f64),
}

/// A choice whose result is open.
struct Choice {
    product: u16,
    title: u32,
    chosen: usize,
    candidates: Vec<Candidate>,
}

/// One front's open choices, and the sums of the finished ones.
pub struct OutcomeLog {
    zone: usize,
    /// Length of a bucket of time, ms.
    bucket_ms: f64,
    /// By play and number of its allocation; `choice_order` has them in the order in which they were made.
    open_choices: BTreeMap<(u64, u32), Choice>,
    choice_order: VecDeque<(u64, u32)>,
    times: CensoredTimes,
    pub(crate) strata: BTreeMap<StratumKey, Stratum>,
    pub(crate) servers: BTreeMap<(u64, u64), ServerSums>,
    /// Number and sum of set-up times, by server and of all: the model behind the direct estimate.
    server_totals: BTreeMap<(u64, u64), (f64, f64)>,
    overall_total: (f64, f64),
}

/// The chance that a policy gives to each candidate. Candidates that could not be drawn get none.
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
        // Without a candidate in the own zone, the draw is unchanged.
        Policy::OwnZone if candidates.iter().any(|c| is_possible(c) && c.zone == zone) => {
            as_drawn_among(&|c| c.zone == zone)
        }
        Policy::OwnZone => candidates.iter().map(|c| c.chance).collect(),
    }
}

impl OutcomeLog {
    /// For a front in this zone. Set-ups that take longer than `max_set_up_ms` count as `max_set_up_ms`.
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

    /// Records to which candidate an allocation of a play goes. Choices that cannot have been drawn are ignored.
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

    /// The model's set-up time for a candidate: a mean of its server's set-ups and of all.
    fn expected_ms(&self, c: &Candidate) -> f64 {
        let overall_mean =
            if self.overall_total.0 > 0.0 { self.overall_total.1 / self.overall_total.0 } else { 0.0 };
        let (count, sum) =
            self.server_totals.get(&(c.server, c.process_started_at)).copied().unwrap_or_default();
        (sum + PRIOR_SET_UPS * overall_mean) / (count + PRIOR_SET_UPS)
    }

    /// Records the result of an allocation. It is ignored if the choice is unknown or has a result already.
    pub fn record_result(&mut self, wall_clock: f64, play: u64, allocation: u32, result: SetUpResult) {
        let Some(choice) = self.open_choices.remove(&(play, allocation)) else { return };
        let (SetUpResult::Playing(elapsed_ms) | SetUpResult::GivenUp(elapsed_ms)) = result;
        if !elapsed_ms.is_finite() || elapsed_ms < 0.0 {
            return;
        }
        let given_up = matches!(result, SetUpResult::GivenUp(_));
        // Computed before this result enters the model, so that a result does not influence its own estimate.
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
        let id = (candidate.server, candidate.process_started_at);
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

    /// The stratum of a set-up, after old buckets were dropped. Two buckets are kept, with at most [`MAX_STRATA`] each.
    fn stratum_key(&mut self, wall_clock: f64, product: u16, title: u32) -> StratumKey {
        let bucket = (wall_clock / self.bucket_ms).max(0.0) as u64;
        self.strata.retain(|key, _| key.bucket + 1 >= bucket && key.bucket <= bucket);
        let key = StratumKey { bucket, product, title };
        let is_full = self.strata.keys().filter(|k| k.bucket == bucket).count() >= MAX_STRATA;
        if is_full && !self.strata.contains_key(&key) { StratumKey { title: 0, ..key } } else { key }
    }

    /// Drops what is known of servers that are no longer listed with this start of their process.
    pub fn keep_servers(&mut self, is_listed: impl Fn(u64, u64) -> bool) {
        self.servers.retain(|id, _| is_listed(id.0, id.1));
        self.server_totals.retain(|id, _| is_listed(id.0, id.1));
    }

    /// The cells for this front's row.
    pub fn cells(&self) -> Vec<Vec<u8>> {
        aggregates::encode_cells(&self.strata, &self.servers)
    }
}
