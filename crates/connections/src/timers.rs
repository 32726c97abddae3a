//! Pending timers of an event loop, and the time that the loop uses. Called by the edge's and the node's
//! event loop; times are Unix ms.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Timers that are set and have not fired. An owner may cancel a timer, or ignore one that is stale when it
/// fires; timers that are set often and far ahead have to be cancelled, as they use memory until then. The same
/// timer may be set for several times.
pub struct Timers<T: Ord> {
    /// The timers by their due time in Unix µs, earliest first.
    pending: BTreeSet<(u64, T)>,
    /// When the loop started, as monotonic time and as Unix ms.
    started_at: (Instant, f64),
}

impl<T: Ord> Timers<T> {
    /// Creates an empty set of timers. `unix_ms` is the present time of the wall clock, to which the
    /// monotonic time that passes from now on is added.
    pub fn new(unix_ms: f64) -> Timers<T> {
        Timers { pending: BTreeSet::new(), started_at: (Instant::now(), unix_ms) }
    }

    /// The current time in Unix ms. Steps of the wall clock do not move it.
    pub fn now(&self) -> f64 {
        self.started_at.1 + self.started_at.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Sets a timer. Its time is rounded up to whole µs, so that it never fires early: an owner ignores an
    /// early timer, and the timer does not fire again. Present Unix times in ms as `f64` are a quarter of a
    /// µs apart, so the conversion to whole µs and back can itself round down by that much, which is
    /// corrected.
    pub fn schedule(&mut self, due_at: f64, timer: T) {
        self.pending.insert((due_us(due_at), timer));
    }

    /// Cancels a timer that was set for this time. Does nothing if there is none.
    pub fn cancel(&mut self, due_at: f64, timer: T) {
        self.pending.remove(&(due_us(due_at), timer));
    }

    /// How long until the next timer is due: zero if it is overdue, `None` if no timer is set.
    pub fn time_to_next(&self) -> Option<Duration> {
        let next = self.pending.first()?.0 as f64 / 1000.0;
        Some(Duration::from_secs_f64((next - self.now()).max(0.0) / 1000.0))
    }

    /// Removes the earliest timer that is due at `now`, and returns it with its time.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        let to_ms = |us: u64| us as f64 / 1000.0;
        self.pending.first().filter(|next| to_ms(next.0) <= now)?;
        self.pending.pop_first().map(|(due_us, timer)| (to_ms(due_us), timer))
    }

    /// How many timers are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// A time in Unix ms as whole µs, rounded up.
fn due_us(due_at: f64) -> u64 {
    let us = (due_at * 1000.0).max(0.0).ceil() as u64;
    if us as f64 / 1000.0 < due_at { us.saturating_add(1) } else { us }
}
