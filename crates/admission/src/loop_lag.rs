//! Lag of the front's event loop. A front whose loop is late refuses further plays before it accepts them: it must
//! answer the accepted ones in time, and it can't while it is busy with more.
//!
//! The loop of the front (`pulleystair-edge`) reports its turns and timers. Times are ms.

/// The measured lag of an event loop, which decays over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    lag: f64,
    measured_at: f64,
    /// When the current turn did its first work.
    work_started_at: Option<f64>,
}

/// Time constant by which a measured lag decays.
const DECAY_MS: f64 = 200.0;

impl LoopLag {
    /// Records that the current turn does some work; only the first call of a turn has an effect.
    pub fn work_started(&mut self, now: f64) {
        self.work_started_at.get_or_insert(now);
    }

    /// Records that a timer that was due at `due_at` fires now. A lag that is recorded already only decays: a timer
    /// that fires in time does not clear it.
    pub fn timer_fired(&mut self, now: f64, due_at: f64) {
        (self.lag, self.measured_at) = ((now - due_at).max(self.decayed_lag(now)), now);
    }

    /// Records the end of the turn. The time since its first work counts as lag, as with a timer that was due then; the
    /// time until the next turn does not.
    pub fn turn_ended(&mut self, now: f64) {
        if let Some(started_at) = self.work_started_at.take() {
            self.timer_fired(now, started_at);
        }
    }

    /// The last recorded lag, as far as it has not decayed by now.
    fn decayed_lag(&self, now: f64) -> f64 {
        self.lag * ((self.measured_at - now) / DECAY_MS).exp()
    }

    /// Whether the loop is late by more than `max_lag` ms, by the recorded lag or by the length of the current turn.
    pub fn exceeds(&self, now: f64, max_lag: f64) -> bool {
        self.decayed_lag(now).max(self.work_started_at.map_or(0.0, |started_at| now - started_at)) > max_lag
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_turn_is_lag_and_idle_time_is_not() {
        let mut lag = LoopLag::default();
        lag.work_started(1000.0);
        assert!(!lag.exceeds(1040.0, 50.0) && lag.exceeds(1060.0, 50.0));
        lag.turn_ended(1060.0);
        assert!(lag.exceeds(1061.0, 50.0) && !lag.exceeds(1200.0, 50.0), "the lag decays");
        lag.work_started(9000.0);
        assert!(!lag.exceeds(9001.0, 50.0), "the loop had no work in between");
    }

    #[test]
    fn a_late_timer_is_lag_that_a_punctual_timer_does_not_clear() {
        let mut lag = LoopLag::default();
        lag.timer_fired(1000.0, 999.0);
        assert!(!lag.exceeds(1000.0, 50.0));
        lag.timer_fired(1100.0, 1000.0);
        lag.timer_fired(1101.0, 1101.0);
        assert!(lag.exceeds(1110.0, 50.0), "a timer that fires in time does not clear the lag at once");
    }
}
