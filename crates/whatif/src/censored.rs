//! Estimates set-up times when some are censored, i.e. known only to be longer than the time waited. It uses the
//! Kaplan-Meier estimate on histograms of completed and of censored set-ups. Times are in ms.

use hdrhistogram::Histogram;

/// Precision of the histograms; they count whole ms.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Histograms of completed and of censored set-up times.
pub struct CensoredTimes {
    max_ms: f64,
    histograms: Option<(Histogram<u64>, Histogram<u64>)>,
}

impl CensoredTimes {
    /// Longer times than `max_ms` count as `max_ms`.
    pub fn new(max_ms: f64) -> CensoredTimes {
        let max_ms = max_ms.clamp(2.0, 3_600_000.0);
        let new_histogram = || Histogram::new_with_bounds(1, max_ms as u64 + 1, SIGNIFICANT_DIGITS).ok();
        CensoredTimes { max_ms, histograms: new_histogram().zip(new_histogram()) }
    }

    /// Longer times count as this, ms.
    pub fn max_ms(&self) -> f64 {
        self.max_ms
    }

    /// Records a completed set-up, or one that was given up after this time.
    pub fn record(&mut self, ms: f64, given_up: bool) {
        if let Some((completed, censored)) = &mut self.histograms {
            let ms = (ms.round() as u64).clamp(1, self.max_ms as u64);
            if given_up { censored.saturating_record(ms) } else { completed.saturating_record(ms) }
        }
    }

    /// Expected total time of a set-up that was given up after `waited_ms`: the Kaplan-Meier mean of longer times, up to the
    /// longest recorded one. It is `waited_ms` if no longer time was recorded.
    pub fn expected_after(&self, waited_ms: f64) -> f64 {
        let waited_ms = waited_ms.min(self.max_ms);
        let Some((completed, censored)) = &self.histograms else { return waited_ms };
        let mut steps: Vec<(u64, u64, u64)> =
            completed.iter_recorded().map(|v| (v.value_iterated_to(), v.count_at_value(), 0)).collect();
        steps.extend(censored.iter_recorded().map(|v| (v.value_iterated_to(), 0, v.count_at_value())));
        steps.sort_unstable();
        let later = steps.iter().filter(|s| s.0 as f64 > waited_ms);
        let mut at_risk: u64 = later.clone().map(|s| s.1 + s.2).sum();
        let (mut surviving, mut reached_ms, mut mean) = (1.0, waited_ms, waited_ms);
        for (time_ms, completed_count, censored_count) in later {
            mean += surviving * (*time_ms as f64 - reached_ms);
            reached_ms = *time_ms as f64;
            if *completed_count > 0 && at_risk > 0 {
                surviving *= 1.0 - *completed_count as f64 / at_risk as f64;
            }
            at_risk -= completed_count + censored_count;
        }
        mean
    }
}
