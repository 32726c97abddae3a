//! Which of a registry's endpoints is asked next, and when. Free of I/O; chance comes from the seed.
//!
//! After a failure the wait is drawn evenly from nothing to a ceiling that doubles (full jitter): fronts that lost the same
//! registry at the same moment come back spread over the ceiling, not together. An endpoint that answers late is
//! left for a quicker one, one that does not answer at all is left at once; both are tried again in their turn.

use oorandom::Rand64;

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Ceiling of the first wait and of all, ms.
    pub first: f64,
    pub most: f64,
    /// An endpoint is slow from this many times the quickest one's delay on, and at least so many ms.
    pub slow: f64,
    pub slow_ms: f64,
}

/// Part by which one answer moves what an endpoint's delay is taken for.
const RECENT: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct Endpoint {
    delay: Option<f64>,
    /// Failures since its last answer, and from when it may be asked again.
    failures: u32,
    from: f64,
}

#[derive(Clone, Debug)]
pub struct Endpoints {
    terms: Terms,
    all: Vec<Endpoint>,
    present: usize,
    rnd: Rand64,
}

impl Endpoints {
    /// Fronts begin at different endpoints.
    pub fn new(terms: Terms, count: usize, seed: u64) -> Endpoints {
        let mut rnd = Rand64::new(seed.into());
        let count = count.max(1);
        let present = rnd.rand_range(0..count as u64) as usize;
        Endpoints { terms, all: vec![Endpoint::default(); count], present, rnd }
    }

    /// Whom to ask, and how long to wait before that, ms: the present one while it answers, else whichever may be
    /// asked soonest, and of those that may the quickest.
    pub fn next(&mut self, now: f64) -> (usize, f64) {
        let present = &self.all[self.present];
        if present.failures > 0 || self.slow(self.present) {
            let wait = |e: &Endpoint| (e.from - now).max(0.0);
            let order = |a: &usize, b: &usize| {
                let (a, b) = (&self.all[*a], &self.all[*b]);
                let delay = |e: &Endpoint| e.delay.unwrap_or(0.0);
                wait(a)
                    .total_cmp(&wait(b))
                    .then(a.failures.cmp(&b.failures))
                    .then(delay(a).total_cmp(&delay(b)))
            };
            // From the one after the present on, so that equal ones take turns.
            let count = self.all.len();
            let turn = (1..=count).map(|step| (self.present + step) % count);
            self.present = turn.min_by(order).unwrap_or(self.present);
        }
        (self.present, (self.all[self.present].from - now).max(0.0))
    }

    /// It answered after this, ms, apart from the time it was asked to wait.
    pub fn answered(&mut self, endpoint: usize, delay: f64) {
        let it = &mut self.all[endpoint];
        it.delay = Some(it.delay.map_or(delay, |known| known + RECENT * (delay - known)));
        (it.failures, it.from) = (0, 0.0);
    }

    pub fn failed(&mut self, now: f64, endpoint: usize) {
        let it = &mut self.all[endpoint];
        let ceiling = (self.terms.first * 2f64.powi(it.failures.min(30) as i32)).min(self.terms.most);
        it.failures += 1;
        it.from = now + ceiling * self.rnd.rand_float();
    }

    fn slow(&self, endpoint: usize) -> bool {
        let others = self.all.iter().filter(|e| e.failures == 0).filter_map(|e| e.delay);
        let quickest = others.min_by(f64::total_cmp);
        let limit = quickest.map(|q| (q * self.terms.slow).max(self.terms.slow_ms));
        matches!((self.all[endpoint].delay, limit), (Some(delay), Some(limit)) if delay > limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERMS: Terms = Terms { first: 200.0, most: 10_000.0, slow: 4.0, slow_ms: 100.0 };

    #[test]
    fn the_present_one_is_kept_while_it_answers() {
        let mut it = Endpoints::new(TERMS, 3, 1);
        let (first, wait) = it.next(0.0);
        assert_eq!(wait, 0.0);
        for n in 1..100 {
            it.answered(first, 5.0);
            assert_eq!(it.next(f64::from(n)), (first, 0.0));
        }
    }

    #[test]
    fn a_dead_one_is_left_at_once_and_tried_again_later() {
        let mut it = Endpoints::new(TERMS, 2, 1);
        let (dead, _) = it.next(0.0);
        it.failed(0.0, dead);
        let (other, wait) = it.next(0.0);
        assert!(other != dead && wait == 0.0);
        it.failed(1.0, other);
        let (next, wait) = it.next(1.0);
        assert!(wait <= 200.0, "whichever may be asked sooner: {next} in {wait}");
    }

    #[test]
    fn a_slow_one_is_left_for_a_quicker_one_and_a_quick_one_is_never_slow() {
        let mut it = Endpoints::new(TERMS, 2, 1);
        let (slow, _) = it.next(0.0);
        let other = 1 - slow;
        it.answered(slow, 900.0);
        assert_eq!(it.next(1.0).0, slow, "nothing is known to be quicker");
        it.answered(other, 8.0);
        assert_eq!(it.next(2.0).0, other);
        it.answered(other, 30.0);
        assert_eq!(it.next(3.0).0, other, "many times its own best, and still quick");
    }

    #[test]
    fn waits_grow_to_their_ceiling() {
        let mut it = Endpoints::new(TERMS, 1, 7);
        let mut most = 0.0f64;
        for n in 0..200 {
            it.failed(0.0, 0);
            let (_, wait) = it.next(0.0);
            assert!(wait <= (200.0 * 2f64.powi(n.min(30))).min(10_000.0));
            most = most.max(wait);
        }
        assert!(most > 9_000.0);
        it.answered(0, 3.0);
        assert_eq!(it.next(0.0).1, 0.0);
    }

    /// Three hundred fronts lose the registry at the same moment, and it is back after eight seconds.
    #[test]
    fn no_herd_comes_back_together() {
        let mut at = vec![0; 40];
        for seed in 0..300 {
            let mut it = Endpoints::new(TERMS, 3, seed);
            let mut now = 0.0;
            loop {
                let (endpoint, wait) = it.next(now);
                now += wait;
                if now >= 8_000.0 {
                    break;
                }
                // A refused connection is told within a millisecond.
                now += 1.0;
                it.failed(now, endpoint);
            }
            at[((now - 8_000.0) / 100.0) as usize % 40] += 1;
        }
        let most = at.iter().max().copied().unwrap_or(0);
        assert!(most <= 75, "of 300 within a tenth of a second: {at:?}");
    }
}
