//! The time of day by which tokens and live titles are judged.
//!
//! A front's own clock never goes back and never jumps, but it began at what the system's clock said at start, which
//! may have been wrong, and it drifts. The system's clock is put right by steps. So the time of day runs with the
//! first and follows the second, at a pace that no viewer notices: a step of 10 s is taken up within 100 s, and a
//! token with a minute to run never ends at one blow, nor does one that ran out come back.

/// Part of the time that passes by which the time of day may run faster or slower meanwhile.
const PACE: f64 = 0.1;

/// How far the time of day is from the front's own clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    off: f64,
    looked: f64,
}

impl WallClock {
    /// At start both are the same.
    pub fn new(now: f64) -> WallClock {
        WallClock { off: 0.0, looked: now }
    }

    /// Compares the front's own clock with the system's.
    pub fn sync(&mut self, now: f64, system: f64) {
        let may = PACE * (now - self.looked).max(0.0);
        self.looked = self.looked.max(now);
        if system.is_finite() {
            self.off += (system - now - self.off).clamp(-may, may);
        }
    }

    pub fn time_at(&self, now: f64) -> f64 {
        now + self.off
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(10_000.0; "ahead")]
    #[test_case(-10_000.0; "back")]
    fn a_step_is_taken_up_slowly(step: f64) {
        let mut wall = WallClock::new(0.0);
        let mut before = 0.0;
        for s in 1..=200 {
            let now = f64::from(s) * 1000.0;
            wall.sync(now, now + step);
            let passed = wall.time_at(now) - before;
            assert!((899.0..=1101.0).contains(&passed), "never back, and no jump: {passed}");
            before = wall.time_at(now);
            if s == 50 {
                assert!((wall.time_at(now) - now - step / 2.0).abs() < 1.0);
            }
        }
        assert_eq!(wall.time_at(200_000.0), 200_000.0 + step);
    }

    #[test]
    fn a_drift_is_followed() {
        let mut wall = WallClock::new(0.0);
        for s in 1..=100_000 {
            let now = f64::from(s) * 1000.0;
            wall.sync(now, now * 1.0001);
        }
        assert!((wall.time_at(1e8) - 1e8 * 1.0001).abs() < 1.0);
    }

    #[test]
    fn a_clock_that_says_nonsense_is_not_followed() {
        let mut wall = WallClock::new(0.0);
        [f64::NAN, f64::INFINITY].iter().for_each(|system| wall.sync(1000.0, *system));
        wall.sync(500.0, 9e9);
        assert_eq!(wall.time_at(1000.0), 1000.0);
    }
}
