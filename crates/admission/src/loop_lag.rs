//! Whether a front's own loop is behind. One that is refuses further plays before it takes them: what it took it
//! must answer in time, and it can't while it is busy with more.

/// What was seen of a loop's lag, fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    lag: f64,
    at: f64,
    /// When the round under way did its first work.
    began: Option<f64>,
}

/// A lag that is not seen again fades by this time, ms.
const FADES: f64 = 200.0;

impl LoopLag {
    /// Something is done in the round under way.
    pub fn work_started(&mut self, now: f64) {
        self.began.get_or_insert(now);
    }

    /// A clock that was due then rings now.
    pub fn timer_fired(&mut self, now: f64, due: f64) {
        (self.lag, self.at) = ((now - due).max(self.left(now)), now);
    }

    /// The round has ended; the next one may wait for long without being behind.
    pub fn turn_ended(&mut self, now: f64) {
        if let Some(began) = self.began.take() {
            self.timer_fired(now, began);
        }
    }

    fn left(&self, now: f64) -> f64 {
        self.lag * ((self.at - now) / FADES).exp()
    }

    /// Whether the loop is behind by more than this, ms.
    pub fn exceeds(&self, now: f64, most: f64) -> bool {
        self.left(now).max(self.began.map_or(0.0, |began| now - began)) > most
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_long_round_is_seen_while_it_lasts_and_a_long_wait_is_none() {
        let mut lag = LoopLag::default();
        lag.work_started(1000.0);
        assert!(!lag.exceeds(1040.0, 50.0) && lag.exceeds(1060.0, 50.0));
        lag.turn_ended(1060.0);
        assert!(lag.exceeds(1061.0, 50.0) && !lag.exceeds(1200.0, 50.0), "it fades");
        lag.work_started(9000.0);
        assert!(!lag.exceeds(9001.0, 50.0), "nothing was to be done meanwhile");
    }

    #[test]
    fn a_clock_that_rings_late_is_seen() {
        let mut lag = LoopLag::default();
        lag.timer_fired(1000.0, 999.0);
        assert!(!lag.exceeds(1000.0, 50.0));
        lag.timer_fired(1100.0, 1000.0);
        lag.timer_fired(1101.0, 1101.0);
        assert!(lag.exceeds(1110.0, 50.0), "one that rings in time does not make up for it at once");
    }
}
