//! Reads of segments that fail. A segment may be asked for twice without harm, so a read is repeated, or taken
//! up where it broke off, while three things allow it: tries are left, time is left, and the server's budget
//! holds. A read that can't go on ends so that the player sees it is not whole.

use std::collections::VecDeque;

/// What went wrong with a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
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
pub struct Read {
    /// Tries so far, this one included; those that found a stale connection do not count.
    pub tries: usize,
    /// Until when the player is thought to wait.
    pub until: f64,
    /// Bytes of the body that the player has been given, once the head went out; all bytes are good ones.
    pub given: Option<u64>,
}

/// What to do with a read that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask again, from this byte of the body on, on a new connection.
    Again { from: u64 },
    /// Answer the player with this status; nothing has gone out yet.
    Answer(u16),
    /// Close the player's connection: part of the body has gone out, and the rest can't be had.
    Cut,
}

/// How often reads may be repeated: tries of one read, and further tries of all reads of a server over a span.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub tries: usize,
    pub span: f64,
    pub share: f64,
    pub free: f64,
}

/// Further tries at one server, against first ones, over a sliding span.
#[derive(Debug, Default)]
pub struct Budget {
    /// Counts of first and further tries in slices of the span, the oldest first, and when each began.
    slices: VecDeque<(f64, f64, f64)>,
}

/// A span is counted in so many slices: its end is exact to a part of that.
const SLICES: f64 = 16.0;

impl Budget {
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
    pub fn first(&mut self, now: f64, terms: &Terms) {
        self.slice(now, terms.span).1 += 1.0;
    }

    /// Whether a further try may go out; it counts if so.
    fn further(&mut self, now: f64, terms: &Terms) -> bool {
        self.slice(now, terms.span);
        let sums = self.slices.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
        let may = sums.1 + 1.0 <= terms.free + terms.share * sums.0;
        if may {
            self.slice(now, terms.span).2 += 1.0;
        }
        may
    }

    /// What becomes of a read that failed.
    pub fn after(&mut self, now: f64, terms: &Terms, read: &Read, fault: Fault) -> Next {
        let end = match (read.given, fault) {
            (Some(_), _) => Next::Cut,
            (None, Fault::Stalled) => Next::Answer(504),
            // What the server does not have, no other try will find.
            (None, Fault::Status(404 | 410)) => return Next::Answer(502),
            // The part that was asked for lies beyond its end (RFC 9110, section 15.5.17).
            (None, Fault::Status(416)) => return Next::Answer(416),
            (None, Fault::Status(429 | 503)) => return Next::Answer(503),
            (None, _) => Next::Answer(502),
        };
        // A body that grew or shrank is another one: its bytes can't follow those already given.
        if fault == Fault::Length && read.given.is_some() {
            return end;
        }
        let again = Next::Again { from: read.given.unwrap_or(0) };
        if fault == Fault::Stale {
            return again;
        }
        let may = read.tries < terms.tries && now < read.until;
        if may && self.further(now, terms) { again } else { end }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const TERMS: Terms = Terms { tries: 3, span: 1600.0, share: 0.2, free: 2.0 };

    fn read(given: Option<u64>) -> Read {
        Read { tries: 1, until: 1000.0, given }
    }

    #[test_case(Fault::Unreachable, None, Next::Again { from: 0 }; "not reached")]
    #[test_case(Fault::Broken, None, Next::Again { from: 0 }; "broken")]
    #[test_case(Fault::Truncated, Some(700), Next::Again { from: 700 }; "cut short: taken up where it broke")]
    #[test_case(Fault::Stalled, Some(700), Next::Again { from: 700 }; "stalled: the same")]
    #[test_case(Fault::Status(500), None, Next::Again { from: 0 }; "a server's error")]
    #[test_case(Fault::Status(404), None, Next::Answer(502); "not there")]
    #[test_case(Fault::Status(503), None, Next::Answer(503); "busy: not asked again at once")]
    #[test_case(Fault::Status(416), None, Next::Answer(416); "a part beyond its end")]
    #[test_case(Fault::Length, Some(700), Next::Cut; "another body can't be joined on")]
    #[test_case(Fault::Length, None, Next::Again { from: 0 }; "a wrong length before a byte went out")]
    fn a_first_failure(fault: Fault, given: Option<u64>, next: Next) {
        let mut budget = Budget::default();
        budget.first(0.0, &TERMS);
        assert_eq!(budget.after(10.0, &TERMS, &read(given), fault), next);
    }

    #[test_case(Read { tries: 3, until: 1000.0, given: None }, Next::Answer(502); "no tries left")]
    #[test_case(Read { tries: 1, until: 5.0, given: None }, Next::Answer(502); "no time left")]
    #[test_case(Read { tries: 1, until: 5.0, given: Some(9) }, Next::Cut; "no time left in the middle")]
    fn an_end(read: Read, next: Next) {
        assert_eq!(Budget::default().after(10.0, &TERMS, &read, Fault::Broken), next);
    }

    #[test]
    fn a_sick_server_is_not_buried_and_a_stale_connection_costs_nothing() {
        let mut budget = Budget::default();
        (0..100).for_each(|i| budget.first(f64::from(i), &TERMS));
        let mut again = 0;
        for _ in 0..100 {
            let next = budget.after(100.0, &TERMS, &read(None), Fault::Broken);
            again += usize::from(next == Next::Again { from: 0 });
        }
        assert_eq!(again, 22, "two free and a fifth of a hundred");
        assert_eq!(budget.after(100.0, &TERMS, &read(None), Fault::Stale), Next::Again { from: 0 });
        // Long after, only the free ones are left.
        assert_eq!(
            budget.after(9000.0, &TERMS, &Read { until: 9999.0, ..read(None) }, Fault::Broken),
            Next::Again { from: 0 }
        );
        assert!(budget.slices.len() <= 1 + SLICES as usize);
    }

    proptest! {
        /// Whatever happens in whatever order, a further try that may go out stays within what the span before it
        /// allows, give or take the slice at its edge.
        #[test]
        fn the_budget_holds(steps in prop::collection::vec((0.0f64..60.0, any::<bool>()), 1..300)) {
            let (mut budget, mut now) = (Budget::default(), 0.0);
            let (mut firsts, mut furthers) = (Vec::new(), Vec::new());
            for (wait, first) in steps {
                now += wait;
                if first {
                    budget.first(now, &TERMS);
                    firsts.push(now);
                    continue;
                }
                let read = Read { tries: 1, until: f64::MAX, given: None };
                if budget.after(now, &TERMS, &read, Fault::Broken) == Next::Answer(502) {
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
