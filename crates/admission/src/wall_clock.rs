//! The time of day by which tokens and live titles are checked.
//!
//! A front's monotonic clock never goes back and never jumps, but it starts at the system time read at start, which
//! may have been wrong, and it drifts. The system time is corrected in steps. The time of day therefore runs with the
//! monotonic clock and follows the system time at a rate that no viewer notices: a step of 10 s is followed within
//! 100 s, so a token with a minute left never expires at once, and an expired token never becomes valid again.
//!
//! The front (`pulleystair-edge`) calls [`WallClock::sync`] regularly. Times are ms.

/// Share of the elapsed time by which the time of day may be slewed.
const MAX_SLEW: f64 = 0.1;

/// Offset of the time of day from the front's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    offset: f64,
    synced_at: f64,
}

impl WallClock {
    /// Starts with no offset.
    pub fn new(now: f64) -> WallClock {
        WallClock { offset: 0.0, synced_at: now }
    }

    /// Moves the offset towards the system time, within the allowed slew.
    pub fn sync(&mut self, now: f64, system_time: f64) {
        let max_change = MAX_SLEW * (now - self.synced_at).max(0.0);
        self.synced_at = self.synced_at.max(now);
        if system_time.is_finite() {
            self.offset += (system_time - now - self.offset).clamp(-max_change, max_change);
        }
    }

    /// The time of day, ms since 1970, at `now` of the monotonic clock.
    pub fn time_at(&self, now: f64) -> f64 {
        now + self.offset
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(10_000.0; "ahead")]
    #[test_case(-10_000.0; "back")]
    fn a_step_of_the_system_time_is_followed_slowly(step: f64) {
        let mut clock = WallClock::new(0.0);
        let mut previous = 0.0;
        for second in 1..=200 {
            let now = f64::from(second) * 1000.0;
            clock.sync(now, now + step);
            let passed = clock.time_at(now) - previous;
            assert!(
                (899.0..=1101.0).contains(&passed),
                "the time of day neither goes back nor jumps: {passed}"
            );
            previous = clock.time_at(now);
            if second == 50 {
                assert!((clock.time_at(now) - now - step / 2.0).abs() < 1.0);
            }
        }
        assert_eq!(clock.time_at(200_000.0), 200_000.0 + step);
    }

    #[test]
    fn a_drift_of_the_system_time_is_followed() {
        let mut clock = WallClock::new(0.0);
        for second in 1..=100_000 {
            let now = f64::from(second) * 1000.0;
            clock.sync(now, now * 1.0001);
        }
        assert!((clock.time_at(1e8) - 1e8 * 1.0001).abs() < 1.0);
    }

    #[test]
    fn an_invalid_system_time_is_ignored() {
        let mut clock = WallClock::new(0.0);
        [f64::NAN, f64::INFINITY].iter().for_each(|system_time| clock.sync(1000.0, *system_time));
        clock.sync(500.0, 9e9);
        assert_eq!(clock.time_at(1000.0), 1000.0);
    }
}
