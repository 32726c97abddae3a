//! Retries of failed segment reads. A segment may be requested twice without harm, so a failed read is repeated, or
//! resumed where it broke off, while three conditions hold: tries are left, time is left, and the server's retry
//! budget is not used up. A try on a connection that proved stale is repeated in any case. A read that can't go on ends
//! in such a way that the player sees that it is incomplete.
//!
//! The front (`pulleystair-edge`) calls this for each read from a media server. Times are ms.

use std::collections::VecDeque;

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// No connection could be made.
    Unreachable,
    /// A reused connection turned out to be closed before a byte arrived; this is not the server's fault.
    Stale,
    /// The connection ended before the response head was complete.
    Broken,
    /// The response head was invalid or did not match the request.
    Malformed,
    /// The response had this status.
    Status(u16),
    /// The body ended before its stated length.
    Truncated,
    /// More than the stated length arrived, or the length, the range or the ETag does not fit the first response.
    Length,
    /// Nothing arrived for too long.
    Stalled,
}

/// State of a read in progress, as far as the decision on a retry needs it.
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    /// Tries so far, the current one included; those that found a stale connection do not count.
    pub tries: usize,
    /// When the player is assumed to stop waiting.
    pub deadline: f64,
    /// Bytes of the body that were relayed to the player, once the response head was sent. All of them are valid.
    pub bytes_relayed: Option<u64>,
}

/// What to do about a failed read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAction {
    /// Request the segment again from this byte of the body on, on a new connection.
    Again { from: u64 },
    /// Answer the player with this status; nothing has been sent to it yet.
    Answer(u16),
    /// Close the player's connection: the response head has been sent, and the rest of the body is not available.
    Cut,
}

/// How often reads may be repeated.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Tries that one read may take.
    pub max_tries: usize,
    /// Length of the sliding span in which the reads of one server are counted, ms.
    pub span_ms: f64,
    /// Retries allowed within a span, as a share of the first tries.
    pub retry_share: f64,
    /// Retries allowed within a span in addition to that share.
    pub free_retries: f64,
}

/// Retries and first tries at one server, counted over a sliding span.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Slices of the span, the oldest first: start, number of first tries, number of retries.
    slices: VecDeque<(f64, f64, f64)>,
}

/// Number of slices that a span is counted in; the span's end is exact to one slice.
const SLICES_PER_SPAN: f64 = 16.0;

impl RetryBudget {
    /// Drops the slices that lie before the span, then returns the slice of this moment, which is created if absent.
    fn current_slice(&mut self, now: f64, span: f64) -> &mut (f64, f64, f64) {
        while self.slices.front().is_some_and(|s| s.0 <= now - span) {
            self.slices.pop_front();
        }
        let slice_start = now - now.rem_euclid(span / SLICES_PER_SPAN);
        if self.slices.back().is_none_or(|s| s.0 < slice_start) {
            self.slices.push_back((slice_start, 0.0, 0.0));
        }
        self.slices.back_mut().expect("a slice was pushed above")
    }

    /// Records the first try of a read.
    pub fn record_first(&mut self, now: f64, config: &RetryConfig) {
        self.current_slice(now, config.span_ms).1 += 1.0;
    }

    /// If a retry is within the budget, records it and returns true.
    fn take_retry(&mut self, now: f64, config: &RetryConfig) -> bool {
        // Drops the old slices, so that the totals (first tries, retries) cover the span only.
        self.current_slice(now, config.span_ms);
        let totals = self.slices.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
        let allowed = totals.1 + 1.0 <= config.free_retries + config.retry_share * totals.0;
        if allowed {
            self.current_slice(now, config.span_ms).2 += 1.0;
        }
        allowed
    }

    /// Decides what to do about a failed read. Records a retry in the budget, except one after a stale connection.
    pub fn next_action(
        &mut self,
        now: f64,
        config: &RetryConfig,
        read: &ReadProgress,
        error: ReadError,
    ) -> ReadAction {
        // Some statuses are answered at once, but only while no response head was relayed. After that, every error
        // except `Length` may be retried, these statuses included.
        let action_without_retry = match (read.bytes_relayed, error) {
            (Some(_), _) => ReadAction::Cut,
            (None, ReadError::Stalled) => ReadAction::Answer(504),
            // A retry won't find a segment that the server does not have.
            (None, ReadError::Status(404 | 410)) => return ReadAction::Answer(502),
            // The requested range lies beyond the segment's end (RFC 9110, section 15.5.17).
            (None, ReadError::Status(416)) => return ReadAction::Answer(416),
            (None, ReadError::Status(429 | 503)) => return ReadAction::Answer(503),
            (None, _) => ReadAction::Answer(502),
        };
        // A body of another length is another body: its bytes can't follow those already relayed.
        if error == ReadError::Length && read.bytes_relayed.is_some() {
            return action_without_retry;
        }
        let retry = ReadAction::Again { from: read.bytes_relayed.unwrap_or(0) };
        if error == ReadError::Stale {
            return retry;
        }
        let may_retry = read.tries < config.max_tries && now < read.deadline;
        if may_retry && self.take_retry(now, config) { retry } else { action_without_retry }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const CONFIG: RetryConfig =
        RetryConfig { max_tries: 3, span_ms: 1600.0, retry_share: 0.2, free_retries: 2.0 };

    fn read_progress(relayed: Option<u64>) -> ReadProgress {
        ReadProgress { tries: 1, deadline: 1000.0, bytes_relayed: relayed }
    }

    #[test_case(ReadError::Unreachable, None, ReadAction::Again { from: 0 }; "unreachable")]
    #[test_case(ReadError::Broken, None, ReadAction::Again { from: 0 }; "broken")]
    #[test_case(ReadError::Truncated, Some(700), ReadAction::Again { from: 700 }; "truncated: resumed where it broke off")]
    #[test_case(ReadError::Stalled, Some(700), ReadAction::Again { from: 700 }; "stalled: resumed as well")]
    #[test_case(ReadError::Status(500), None, ReadAction::Again { from: 0 }; "a server's error")]
    #[test_case(ReadError::Status(404), None, ReadAction::Answer(502); "not found")]
    #[test_case(ReadError::Status(503), None, ReadAction::Answer(503); "busy: not retried at once")]
    #[test_case(ReadError::Status(416), None, ReadAction::Answer(416); "a range beyond the end")]
    #[test_case(ReadError::Length, Some(700), ReadAction::Cut; "a body of another length is not resumed")]
    #[test_case(ReadError::Length, None, ReadAction::Again { from: 0 }; "a wrong length before a byte was relayed")]
    fn a_first_failure_is_retried_or_answered(error: ReadError, relayed: Option<u64>, expected: ReadAction) {
        let mut budget = RetryBudget::default();
        budget.record_first(0.0, &CONFIG);
        assert_eq!(budget.next_action(10.0, &CONFIG, &read_progress(relayed), error), expected);
    }

    #[test_case(ReadProgress { tries: 3, deadline: 1000.0, bytes_relayed: None }, ReadAction::Answer(502); "no tries left")]
    #[test_case(ReadProgress { tries: 1, deadline: 5.0, bytes_relayed: None }, ReadAction::Answer(502); "no time left")]
    #[test_case(ReadProgress { tries: 1, deadline: 5.0, bytes_relayed: Some(9) }, ReadAction::Cut; "no time left within the body")]
    fn a_read_without_tries_or_time_ends(read: ReadProgress, expected: ReadAction) {
        assert_eq!(RetryBudget::default().next_action(10.0, &CONFIG, &read, ReadError::Broken), expected);
    }

    #[test]
    fn the_budget_bounds_retries_and_stale_connections_are_not_counted() {
        let mut budget = RetryBudget::default();
        (0..100).for_each(|i| budget.record_first(f64::from(i), &CONFIG));
        let mut retries = 0;
        for _ in 0..100 {
            let action = budget.next_action(100.0, &CONFIG, &read_progress(None), ReadError::Broken);
            retries += usize::from(action == ReadAction::Again { from: 0 });
        }
        assert_eq!(retries, 22, "free_retries (2) and a fifth of 100 first tries");
        assert_eq!(
            budget.next_action(100.0, &CONFIG, &read_progress(None), ReadError::Stale),
            ReadAction::Again { from: 0 }
        );
        // Much later no first try is left in the span; `free_retries` allows this retry.
        assert_eq!(
            budget.next_action(
                9000.0,
                &CONFIG,
                &ReadProgress { deadline: 9999.0, ..read_progress(None) },
                ReadError::Broken
            ),
            ReadAction::Again { from: 0 }
        );
        assert!(budget.slices.len() <= 1 + SLICES_PER_SPAN as usize);
    }

    proptest! {
        /// In any order of events, the retries within a span stay within what its first tries allow, give or take the
        /// slice at the span's edge.
        #[test]
        fn retries_stay_within_the_budget(steps in prop::collection::vec((0.0f64..60.0, any::<bool>()), 1..300)) {
            let (mut budget, mut now) = (RetryBudget::default(), 0.0);
            let (mut first_tries, mut retries) = (Vec::new(), Vec::new());
            for (elapsed, is_first) in steps {
                now += elapsed;
                if is_first {
                    budget.record_first(now, &CONFIG);
                    first_tries.push(now);
                    continue;
                }
                let read = ReadProgress { tries: 1, deadline: f64::MAX, bytes_relayed: None };
                if budget.next_action(now, &CONFIG, &read, ReadError::Broken) == ReadAction::Answer(502) {
                    continue;
                }
                retries.push(now);
                let count_within = |all: &[f64], span: f64| all.iter().filter(|t| **t > now - span).count() as f64;
                let allowed = CONFIG.free_retries + CONFIG.retry_share * count_within(&first_tries, CONFIG.span_ms);
                prop_assert!(count_within(&retries, CONFIG.span_ms - CONFIG.span_ms / SLICES_PER_SPAN) <= allowed);
            }
        }
    }
}
