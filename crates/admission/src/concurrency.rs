//! How many plays may be decided at once. The delay of set-ups tells whether servers keep up: while it stays
//! near what it is without a crowd the limit grows, and it shrinks as the delay does more.
//!
//! The gradient form: the limit is scaled by undisturbed delay over present delay, with room for a small queue.
//! Against additive increase and multiplicative decrease it settles near the capacity instead of sawing, and it
//! reacts to how much delay grew and not only that it did; see `docs/notes/dash-path.md`.
//!
//! The front's own work is a second bound: each play that is out will ask for a decision more, at the worst all of
//! them at once, and what they wait for is this front. So no more are out than it can decide in a stated time, by
//! what decisions were seen to take.

/// Bounds and pace of a limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    pub least: f64,
    pub most: f64,
    /// Delay may grow by this factor before the limit gives way.
    pub tolerance: f64,
    /// And by so many ms more: what no viewer notices is no reason to make others wait.
    pub slack: f64,
    /// So many outcomes make a sample.
    pub sample: usize,
    /// All that is out can be decided once more within so many ms.
    pub work: f64,
}

/// Part by which a sample moves the limit.
const SMOOTH: f64 = 0.2;
/// Undisturbed delay follows lower samples at once and higher ones by this part: a fleet may grow slower for good.
const DRIFT: f64 = 0.002;
/// A sample halves the limit at most.
const HALF: f64 = 0.5;
/// Part of a sample that was lost from which the limit does not grow at all. Work that is lost was done in vain: a
/// limit that grows beside losses settles where much of what servers do is for nobody.
const LOSSY: f64 = 0.1;
/// Part by which one decision moves what decisions are reckoned to take: a hundred of them make it.
const RECENT: f64 = 0.02;

#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    terms: LimitConfig,
    limit: f64,
    /// Delay without a crowd, ms, once known.
    undisturbed: Option<f64>,
    sum: f64,
    count: usize,
    /// The most that was in hand while the sample was taken, and whether anything was lost for lack of time.
    in_hand: usize,
    lost: usize,
    /// What a decision takes, ms.
    decision: f64,
}

impl ConcurrencyLimit {
    pub fn new(terms: LimitConfig) -> ConcurrencyLimit {
        // Begins in the middle of what it may be: a front that starts into a crowd must not open wide.
        let limit = (terms.least * terms.most).sqrt().clamp(terms.least, terms.most);
        ConcurrencyLimit {
            terms,
            limit,
            undisturbed: None,
            sum: 0.0,
            count: 0,
            in_hand: 0,
            lost: 0,
            decision: 0.0,
        }
    }

    pub fn current(&self) -> usize {
        let by_work = if self.decision > 0.0 { self.terms.work / self.decision } else { f64::INFINITY };
        self.limit.min(by_work).floor().max(1.0) as usize
    }

    /// A decision took so many ms.
    pub fn on_decided(&mut self, took: f64) {
        if took.is_finite() && took >= 0.0 {
            self.decision += RECENT * (took - self.decision);
        }
    }

    /// A play was set up after this delay, with so many in hand.
    pub fn on_set_up(&mut self, delay: f64, in_hand: usize) {
        if delay.is_finite() && delay >= 0.0 {
            self.sum += delay.max(0.1);
            self.seen(in_hand);
        }
    }

    /// A play was lost for lack of time: it says as much as a long delay, without telling how long.
    pub fn on_lost(&mut self, in_hand: usize) {
        self.lost += 1;
        self.seen(in_hand);
    }

    fn seen(&mut self, in_hand: usize) {
        self.count += 1;
        self.in_hand = self.in_hand.max(in_hand);
        if self.count >= self.terms.sample {
            self.sampled();
        }
    }

    fn sampled(&mut self) {
        let good = self.count - self.lost;
        let lost = self.lost as f64 / self.count as f64;
        let gradient = if good == 0 {
            HALF
        } else {
            let delay = self.sum / good as f64;
            let base = match self.undisturbed {
                Some(base) if delay > base => base + DRIFT * (delay - base),
                _ => delay,
            };
            self.undisturbed = Some(base);
            let allowed = self.terms.tolerance * base + self.terms.slack;
            (allowed / delay * (1.0 - lost)).clamp(HALF, 1.0)
        };
        let queue = self.limit.sqrt() * (1.0 - lost / LOSSY).max(0.0);
        let wanted = self.limit * gradient + queue;
        // A limit that nothing presses on says nothing about capacity: it may fall, not rise.
        if wanted < self.limit || self.in_hand as f64 * 2.0 > self.limit {
            self.limit += SMOOTH * (wanted - self.limit);
        }
        self.limit = self.limit.clamp(self.terms.least, self.terms.most);
        (self.sum, self.count, self.in_hand, self.lost) = (0.0, 0, 0, 0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: LimitConfig =
        LimitConfig { least: 4.0, most: 1000.0, tolerance: 1.5, slack: 0.0, sample: 10, work: 200.0 };

    /// A fleet that sets up so many at once in 20 ms, and queues what is more.
    fn delay(in_hand: usize, capacity: usize) -> f64 {
        20.0 * (in_hand as f64 / capacity as f64).max(1.0)
    }

    fn run(limit: &mut ConcurrencyLimit, capacity: usize, offered: usize, outcomes: usize) {
        for _ in 0..outcomes {
            let in_hand = limit.current().min(offered);
            limit.on_set_up(delay(in_hand, capacity), in_hand);
        }
    }

    #[test]
    fn it_settles_near_what_the_fleet_carries_and_follows_it() {
        let mut limit = ConcurrencyLimit::new(TERMS);
        run(&mut limit, 1000, 10, 100);
        run(&mut limit, 100, 5000, 3000);
        assert!((100..260).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 20, 5000, 3000);
        assert!((20..80).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 400, 5000, 6000);
        assert!(limit.current() > 300, "{}", limit.current());
    }

    #[test]
    fn what_is_lost_brings_it_down_and_it_stays_within_bounds() {
        let mut limit = ConcurrencyLimit::new(TERMS);
        (0..2000).for_each(|_| limit.on_lost(limit.clone().current()));
        // The small queue keeps a trickle going, by which a fleet that is back is found.
        assert!((4..=10).contains(&limit.current()), "{}", limit.current());
        run(&mut limit, 100_000, 100_000, 50_000);
        assert_eq!(limit.current(), 1000);
    }

    #[test]
    fn a_growth_that_no_viewer_notices_is_no_crowd() {
        let mut limit = ConcurrencyLimit::new(LimitConfig { slack: 20.0, ..TERMS });
        let start = limit.current();
        (0..50).for_each(|_| limit.on_set_up(0.5, limit.clone().current()));
        (0..2000).for_each(|_| limit.on_set_up(8.0, limit.clone().current()));
        assert!(limit.current() > start);
        (0..2000).for_each(|_| limit.on_set_up(200.0, limit.clone().current()));
        assert!(limit.current() < start);
    }

    #[test]
    fn no_more_are_out_than_can_be_decided_in_time() {
        let mut limit = ConcurrencyLimit::new(LimitConfig { most: 1e6, ..TERMS });
        run(&mut limit, 1_000_000, 1_000_000, 100_000);
        (0..1000).for_each(|_| limit.on_decided(0.1));
        assert!((1900..=2100).contains(&limit.current()), "{}", limit.current());
        (0..1000).for_each(|_| limit.on_decided(5.0));
        assert!((39..=41).contains(&limit.current()), "{}", limit.current());
        (0..1000).for_each(|_| limit.on_decided(5000.0));
        assert_eq!(limit.current(), 1, "one at a time goes on, whatever the least");
    }

    #[test]
    fn a_quiet_hour_does_not_open_it() {
        let mut limit = ConcurrencyLimit::new(TERMS);
        let before = limit.current();
        run(&mut limit, 1000, 3, 10_000);
        assert!(limit.current() <= before);
    }

    #[test]
    fn nonsense_is_passed_over() {
        let mut limit = ConcurrencyLimit::new(TERMS);
        [f64::NAN, f64::INFINITY, -1.0].iter().for_each(|d| (0..100).for_each(|_| limit.on_set_up(*d, 9)));
        assert_eq!(limit.current(), ConcurrencyLimit::new(TERMS).current());
    }
}
