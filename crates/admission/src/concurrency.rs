//! Adaptive limit on how many set-ups may be in progress at once. The set-up delay shows whether the servers keep up:
//! while it stays near its unloaded value the limit grows, and as the delay rises the limit shrinks.
//!
//! The limit follows the gradient form: it is scaled by unloaded delay over present delay, with room for a small
//! queue. Compared with additive increase and multiplicative decrease, it settles near the capacity instead of
//! oscillating, and it reacts to how much the delay grew and not only to the fact that it grew; see
//! `docs/notes/dash-path.md`.
//!
//! The front's own work is a second bound. A decision is one call of the placement logic; a play needs several. Each
//! set-up in progress will need one more decision, in the worst case all of them at the same time, and they all wait
//! for this front. The limit therefore never exceeds the number of decisions that the front can make within a
//! configured time, at the measured time per decision; but it is at least 1.
//!
//! The front (`pulleystair-edge`) reports the outcome of each set-up and the time of each decision, and reads the
//! limit. Times are ms.

/// Bounds and speed of adaptation of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Lower bound of the limit.
    pub min_limit: f64,
    /// Upper bound of the limit.
    pub max_limit: f64,
    /// The delay may grow by this factor before the limit shrinks.
    pub tolerance: f64,
    /// The delay may grow by this many further ms: growth that no viewer notices is no reason to make others wait.
    pub slack_ms: f64,
    /// Number of outcomes of set-ups in a sample.
    pub sample_size: usize,
    /// The front must be able to make one decision for each set-up in progress within this many ms.
    pub work_ms: f64,
}

/// Share of the distance to its target by which a sample moves the limit.
const SMOOTHING: f64 = 0.2;
/// Share by which the baseline delay follows higher samples; it follows lower ones at once. It rises at all because
/// a fleet may become slower for good.
const BASELINE_DRIFT: f64 = 0.002;
/// Lowest gradient: one sample halves the limit at most.
const MIN_GRADIENT: f64 = 0.5;
/// Share of failed set-ups in a sample from which the limit does not grow at all. The work on a failed set-up was done
/// in vain: a limit that grows despite failures settles where much of the servers' work is for nobody.
const NO_GROWTH_FAILURE_SHARE: f64 = 0.1;
/// Weight of the latest decision in the moving mean of the time per decision, which thus covers about a hundred
/// decisions.
const DECISION_SMOOTHING: f64 = 0.02;

/// The limit on set-ups in progress, adapted to the reported outcomes.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    config: LimitConfig,
    limit: f64,
    /// Set-up delay of an unloaded fleet, ms, once known.
    baseline_delay: Option<f64>,
    delay_sum: f64,
    outcome_count: usize,
    /// Highest number of set-ups that were in progress at an outcome of the sample.
    max_in_progress: usize,
    /// Set-ups of the sample that failed because the servers are overloaded.
    failed_count: usize,
    /// Moving mean of the time per decision, ms; 0 until a decision was recorded.
    decision_ms: f64,
}

impl ConcurrencyLimit {
    /// Starts at the geometric mean of the bounds.
    pub fn new(config: LimitConfig) -> ConcurrencyLimit {
        // A front that starts under overload must not start at the upper bound.
        let limit = (config.min_limit * config.max_limit).sqrt().clamp(config.min_limit, config.max_limit);
        ConcurrencyLimit {
            config,
            limit,
            baseline_delay: None,
            delay_sum: 0.0,
            outcome_count: 0,
            max_in_progress: 0,
            failed_count: 0,
            decision_ms: 0.0,
        }
    }

    /// How many set-ups may be in progress now; at least 1.
    pub fn current(&self) -> usize {
        let limit_by_work =
            if self.decision_ms > 0.0 { self.config.work_ms / self.decision_ms } else { f64::INFINITY };
        self.limit.min(limit_by_work).floor().max(1.0) as usize
    }

    /// Records that the front spent `duration_ms` on one decision (one call of the placement logic), which is not the
    /// set-up delay of a play.
    pub fn record_decision_time(&mut self, duration_ms: f64) {
        if duration_ms.is_finite() && duration_ms >= 0.0 {
            self.decision_ms += DECISION_SMOOTHING * (duration_ms - self.decision_ms);
        }
    }

    /// Records a set-up that succeeded after `delay_ms`, while `in_progress` set-ups, this one included, were in
    /// progress.
    pub fn on_set_up(&mut self, delay_ms: f64, in_progress: usize) {
        if delay_ms.is_finite() && delay_ms >= 0.0 {
            self.delay_sum += delay_ms.max(0.1);
            self.record_outcome(in_progress);
        }
    }

    /// Records a set-up that failed because the servers are overloaded: a full server refused it, or it timed out. It
    /// counts like a long delay of unknown length. `in_progress` includes this set-up.
    pub fn on_overload_failure(&mut self, in_progress: usize) {
        self.failed_count += 1;
        self.record_outcome(in_progress);
    }

    /// Counts an outcome of a set-up, and finishes the sample if it is complete.
    fn record_outcome(&mut self, in_progress: usize) {
        self.outcome_count += 1;
        self.max_in_progress = self.max_in_progress.max(in_progress);
        if self.outcome_count >= self.config.sample_size {
            self.finish_sample();
        }
    }

    /// Moves the limit by the sample and starts the next sample.
    fn finish_sample(&mut self) {
        let set_up_count = self.outcome_count - self.failed_count;
        let failed_share = self.failed_count as f64 / self.outcome_count as f64;
        let gradient = if set_up_count == 0 {
            MIN_GRADIENT
        } else {
            let delay = self.delay_sum / set_up_count as f64;
            let baseline = match self.baseline_delay {
                Some(baseline) if delay > baseline => baseline + BASELINE_DRIFT * (delay - baseline),
                _ => delay,
            };
            self.baseline_delay = Some(baseline);
            let allowed_delay = self.config.tolerance * baseline + self.config.slack_ms;
            (allowed_delay / delay * (1.0 - failed_share)).clamp(MIN_GRADIENT, 1.0)
        };
        let queue_room = self.limit.sqrt() * (1.0 - failed_share / NO_GROWTH_FAILURE_SHARE).max(0.0);
        let target = self.limit * gradient + queue_room;
        // A limit that is not used up shows nothing about the capacity: it may fall, but not rise.
        if target < self.limit || self.max_in_progress as f64 * 2.0 > self.limit {
            self.limit += SMOOTHING * (target - self.limit);
        }
        self.limit = self.limit.clamp(self.config.min_limit, self.config.max_limit);
        (self.delay_sum, self.outcome_count, self.max_in_progress, self.failed_count) = (0.0, 0, 0, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: LimitConfig = LimitConfig {
        min_limit: 4.0,
        max_limit: 1000.0,
        tolerance: 1.5,
        slack_ms: 0.0,
        sample_size: 10,
        work_ms: 200.0,
    };

    /// Set-up delay of a fleet that sets up `capacity` plays at once in 20 ms each and queues the others.
    fn fleet_delay(in_progress: usize, capacity: usize) -> f64 {
        20.0 * (in_progress as f64 / capacity as f64).max(1.0)
    }

    /// Reports `outcomes` successful set-ups of a fleet of this capacity, while `offered` plays ask for one.
    fn run(limit: &mut ConcurrencyLimit, capacity: usize, offered: usize, outcomes: usize) {
        for _ in 0..outcomes {
            let in_progress = limit.current().min(offered);
            limit.on_set_up(fleet_delay(in_progress, capacity), in_progress);
        }
    }

    #[test]
    fn limit_settles_near_capacity_and_follows_its_changes() {
        let mut limit = ConcurrencyLimit::new(CONFIG);
        run(&mut limit, 1000, 10, 100);
        run(&mut limit, 100, 5000, 3000);
        assert!((100..260).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 20, 5000, 3000);
        assert!((20..80).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 400, 5000, 6000);
        assert!(limit.current() > 300, "{}", limit.current());
    }

    #[test]
    fn failures_lower_the_limit_within_its_bounds() {
        let mut limit = ConcurrencyLimit::new(CONFIG);
        (0..2000).for_each(|_| limit.on_overload_failure(limit.clone().current()));
        // The room for a small queue lets a few plays through, by which the fleet's recovery is noticed.
        assert!((4..=10).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 100_000, 100_000, 50_000);
        assert_eq!(limit.current(), 1000);
    }

    #[test]
    fn delay_growth_within_the_slack_does_not_lower_the_limit() {
        let mut limit = ConcurrencyLimit::new(LimitConfig { slack_ms: 20.0, ..CONFIG });
        let start = limit.current();
        (0..50).for_each(|_| limit.on_set_up(0.5, limit.clone().current()));
        (0..2000).for_each(|_| limit.on_set_up(8.0, limit.clone().current()));
        assert!(limit.current() > start);
        (0..2000).for_each(|_| limit.on_set_up(200.0, limit.clone().current()));
        assert!(limit.current() < start);
    }

    #[test]
    fn time_per_decision_bounds_the_limit() {
        let mut limit = ConcurrencyLimit::new(LimitConfig { max_limit: 1e6, ..CONFIG });
        run(&mut limit, 1_000_000, 1_000_000, 100_000);
        (0..1000).for_each(|_| limit.record_decision_time(0.1));
        assert!((1900..=2100).contains(&limit.current()), "{}", limit.current());
        (0..1000).for_each(|_| limit.record_decision_time(5.0));
        assert!((39..=41).contains(&limit.current()), "{}", limit.current());
        (0..1000).for_each(|_| limit.record_decision_time(5000.0));
        assert_eq!(limit.current(), 1, "one set-up at a time is allowed, whatever the lower bound");
    }

    #[test]
    fn an_unused_limit_does_not_grow() {
        let mut limit = ConcurrencyLimit::new(CONFIG);
        let before = limit.current();
        run(&mut limit, 1000, 3, 10_000);
        assert!(limit.current() <= before);
    }

    #[test]
    fn invalid_delays_are_ignored() {
        let mut limit = ConcurrencyLimit::new(CONFIG);
        [f64::NAN, f64::INFINITY, -1.0].iter().for_each(|d| (0..100).for_each(|_| limit.on_set_up(*d, 9)));
        assert_eq!(limit.current(), ConcurrencyLimit::new(CONFIG).current());
    }
}
