//! Reads of segments that fail. A segment may be asked for twice without harm, so a read is repeated, or taken
//! up where it broke off, while three things allow it: tries are left, time is left, and the server's budget
//! holds. A read that can't go on ends so that the player sees it is not whole.

use std::collections::VecDeque;

/// What went wrong with a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// No connection could be had.
    Unreachable,
    /// A kept connection turned out to be closed before a byte came: no fault of the server's.
    Stale,
    /// The connection ended before the answer's head was whole.
    Broken,
    /// The head made no sense, or did not fit what was asked for.
    Malformed,
    /// The answer was this status.
    Status(u16),
    /// The body ended before its length.
    Truncated,
    /// More came than the length, or another length than at first.
    Length,
    /// Nothing came for too long.
    Stalled,
}

/// A read under way, as far as the decision needs it.
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    /// Tries so far, this one included; those that found a stale connection do not count.
    pub tries: usize,
    /// Until when the player is thought to wait.
    pub deadline: f64,
    /// Bytes of the body that the player has been given, once the head went out; all bytes are good ones.
    pub bytes_relayed: Option<u64>,
}

/// What to do with a read that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAction {
    /// Ask again, from this byte of the body on, on a new connection.
    Again { from: u64 },
    /// Answer the player with this status; nothing has gone out yet.
    Answer(u16),
    /// Close the player's connection: part of the body has gone out, and the rest can't be had.
    Cut,
}

/// How often reads may be repeated: tries of one read, and further tries of all reads of a server over a span.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    pub tries: usize,
    pub span: f64,
    pub share: f64,
    pub free: f64,
}

/// Further tries at one server, against first ones, over a sliding span.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Counts of first and further tries in slices of the span, the oldest first, and when each began.
    slices: VecDeque<(f64, f64, f64)>,
}

/// A span is counted in so many slices: its end is exact to a part of that.
const SLICES: f64 = 16.0;

impl RetryBudget {
    fn slice(&mut self, now: f64, span: f64) -> &mut (f64, f64, f64) {
        while self.slices.front().is_some_and(|s| s.0 <= now - span) {
            self.slices.pop_front();
        }
        let begun = now - now.rem_euclid(span / SLICES);
        if self.slices.back().is_none_or(|s| s.0 < begun) {
            self.slices.push_back((begun, 0.0, 0.0));
        }
        self.slices.back_mut().expect("one was pushed")
    }

    /// A first try goes out.
    pub fn record_first(&mut self, now: f64, terms: &RetryConfig) {
        self.slice(now, terms.span).1 += 1.0;
    }

    /// Whether a further try may go out; it counts if so.
    fn further(&mut self, now: f64, terms: &RetryConfig) -> bool {
        self.slice(now, terms.span);
        let sums = self.slices.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
        let may = sums.1 + 1.0 <= terms.free + terms.share * sums.0;
        if may {
            self.slice(now, terms.span).2 += 1.0;
        }
        may
    }

    /// What becomes of a read that failed.
    pub fn next_action(
        &mut self,
        now: f64,
        terms: &RetryConfig,
        read: &ReadProgress,
        fault: ReadError,
    ) -> ReadAction {
        let end = match (read.bytes_relayed, fault) {
            (Some(_), _) => ReadAction::Cut,
            (None, ReadError::Stalled) => ReadAction::Answer(504),
            // What the server does not have, no other try will find.
            (None, ReadError::Status(404 | 410)) => return ReadAction::Answer(502),
            // The part that was asked for lies beyond its end (RFC 9110, section 15.5.17).
            (None, ReadError::Status(416)) => return ReadAction::Answer(416),
            (None, ReadError::Status(429 | 503)) => return ReadAction::Answer(503),
            (None, _) => ReadAction::Answer(502),
        };
        // A body that grew or shrank is another one: its bytes can't follow those already given.
        if fault == ReadError::Length && read.bytes_relayed.is_some() {
            return end;
        }
        let again = ReadAction::Again { from: read.bytes_relayed.unwrap_or(0) };
        if fault == ReadError::Stale {
            return again;
        }
        let may = read.tries < terms.tries && now < read.deadline;
        if may && self.further(now, terms) { again } else { end }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const TERMS: RetryConfig = RetryConfig { tries: 3, span: 1600.0, share: 0.2, free: 2.0 };

    fn read(given: Option<u64>) -> ReadProgress {
        ReadProgress { tries: 1, deadline: 1000.0, bytes_relayed: given }
    }

    #[test_case(ReadError::Unreachable, None, ReadAction::Again { from: 0 }; "not reached")]
    #[test_case(ReadError::Broken, None, ReadAction::Again { from: 0 }; "broken")]
    #[test_case(ReadError::Truncated, Some(700), ReadAction::Again { from: 700 }; "cut short: taken up where it broke")]
    #[test_case(ReadError::Stalled, Some(700), ReadAction::Again { from: 700 }; "stalled: the same")]
    #[test_case(ReadError::Status(500), None, ReadAction::Again { from: 0 }; "a server's error")]
    #[test_case(ReadError::Status(404), None, ReadAction::Answer(502); "not there")]
    #[test_case(ReadError::Status(503), None, ReadAction::Answer(503); "busy: not asked again at once")]
    #[test_case(ReadError::Status(416), None, ReadAction::Answer(416); "a part beyond its end")]
    #[test_case(ReadError::Length, Some(700), ReadAction::Cut; "another body can't be joined on")]
    #[test_case(ReadError::Length, None, ReadAction::Again { from: 0 }; "a wrong length before a byte went out")]
    fn a_first_failure(fault: ReadError, given: Option<u64>, next: ReadAction) {
        let mut budget = RetryBudget::default();
        budget.record_first(0.0, &TERMS);
        assert_eq!(budget.next_action(10.0, &TERMS, &read(given), fault), next);
    }

    #[test_case(ReadProgress { tries: 3, deadline: 1000.0, bytes_relayed: None }, ReadAction::Answer(502); "no tries left")]
    #[test_case(ReadProgress { tries: 1, deadline: 5.0, bytes_relayed: None }, ReadAction::Answer(502); "no time left")]
    #[test_case(ReadProgress { tries: 1, deadline: 5.0, bytes_relayed: Some(9) }, ReadAction::Cut; "no time left in the middle")]
    fn an_end(read: ReadProgress, next: ReadAction) {
        assert_eq!(RetryBudget::default().next_action(10.0, &TERMS, &read, ReadError::Broken), next);
    }

    #[test]
    fn a_sick_server_is_not_buried_and_a_stale_connection_costs_nothing() {
        let mut budget = RetryBudget::default();
        (0..100).for_each(|i| budget.record_first(f64::from(i), &TERMS));
        let mut again = 0;
        for _ in 0..100 {
            let next = budget.next_action(100.0, &TERMS, &read(None), ReadError::Broken);
            again += usize::from(next == ReadAction::Again { from: 0 });
        }
        assert_eq!(again, 22, "two free and a fifth of a hundred");
        assert_eq!(
            budget.next_action(100.0, &TERMS, &read(None), ReadError::Stale),
            ReadAction::Again { from: 0 }
        );
        // Long after, only the free ones are left.
        assert_eq!(
            budget.next_action(
                9000.0,
                &TERMS,
                &ReadProgress { deadline: 9999.0, ..read(None) },
                ReadError::Broken
            ),
            ReadAction::Again { from: 0 }
        );
        assert!(budget.slices.len() <= 1 + SLICES as usize);
    }

    proptest! {
        /// Whatever happens in whatever order, a further try that may go out stays within what the span before it
        /// allows, give or take the slice at its edge.
        #[test]
        fn the_budget_holds(steps in prop::collection::vec((0.0f64..60.0, any::<bool>()), 1..300)) {
            let (mut budget, mut now) = (RetryBudget::default(), 0.0);
            let (mut firsts, mut furthers) = (Vec::new(), Vec::new());
            for (wait, first) in steps {
                now += wait;
                if first {
                    budget.record_first(now, &TERMS);
                    firsts.push(now);
                    continue;
                }
                let read = ReadProgress { tries: 1, deadline: f64::MAX, bytes_relayed: None };
                if budget.next_action(now, &TERMS, &read, ReadError::Broken) == ReadAction::Answer(502) {
                    continue;
                }
                furthers.push(now);
                let within = |all: &[f64], span: f64| all.iter().filter(|t| **t > now - span).count() as f64;
                let most = TERMS.free + TERMS.share * within(&firsts, TERMS.span);
                prop_assert!(within(&furthers, TERMS.span - TERMS.span / SLICES) <= most);
            }
        }
    }
}
