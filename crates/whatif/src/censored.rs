//! Set-up times of which some are known only to be longer than they were waited for: Kaplan and Meier's estimate, on
//! histograms of both.

use hdrhistogram::Histogram;

/// Whole ms in the histograms, to one digit in a hundred.
const DIGITS: u8 = 2;

pub struct CensoredTimes {
    longest: f64,
    seen: Option<(Histogram<u64>, Histogram<u64>)>,
}

impl CensoredTimes {
    pub fn new(longest: f64) -> CensoredTimes {
        let longest = longest.clamp(2.0, 3_600_000.0);
        let make = || Histogram::new_with_bounds(1, longest as u64 + 1, DIGITS).ok();
        CensoredTimes { longest, seen: make().zip(make()) }
    }

    pub fn longest(&self) -> f64 {
        self.longest
    }

    pub fn record(&mut self, ms: f64, given_up: bool) {
        if let Some((came, gone)) = &mut self.seen {
            let ms = (ms.round() as u64).clamp(1, self.longest as u64);
            if given_up { gone.saturating_record(ms) } else { came.saturating_record(ms) }
        }
    }

    /// What a set-up that was waited for so long in vain would have taken: the mean of the longer ones, as far as any
    /// were waited for longer; that long where none was.
    pub fn expected_after(&self, waited: f64) -> f64 {
        let waited = waited.min(self.longest);
        let Some((came, gone)) = &self.seen else { return waited };
        let mut steps: Vec<(u64, u64, u64)> =
            came.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value(), 0)).collect();
        steps.extend(gone.iter_recorded().map(|v| (v.value_iterated_to(), 0, v.count_at_value())));
        steps.sort_unstable();
        let later = steps.iter().filter(|s| s.0 as f64 > waited);
        let mut at_risk: u64 = later.clone().map(|s| s.1 + s.2).sum();
        let (mut alive, mut at, mut mean) = (1.0, waited, waited);
        for (value, died, left) in later {
            mean += alive * (*value as f64 - at);
            at = *value as f64;
            if *died > 0 && at_risk > 0 {
                alive *= 1.0 - *died as f64 / at_risk as f64;
            }
            at_risk -= died + left;
        }
        mean
    }
}
