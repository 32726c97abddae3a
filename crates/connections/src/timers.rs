//! What falls due on a loop, and the time that the loop goes by.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Clocks that were set and have not rung. One that is set is never taken back.
pub struct Timers<T: Ord> {
    pending: BinaryHeap<Reverse<(u64, T)>>,
    started_at: (Instant, f64),
}

impl<T: Ord> Timers<T> {
    /// From one reading of the wall clock, Unix ms.
    pub fn new(unix_ms: f64) -> Timers<T> {
        Timers { pending: BinaryHeap::new(), started_at: (Instant::now(), unix_ms) }
    }

    /// Unix ms, which no step of the wall clock moves.
    pub fn now(&self) -> f64 {
        self.started_at.1 + self.started_at.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Rounded up: one that rang before its time would be passed over, and not ring again. A Unix time in ms is kept to a quarter of
    /// a µs, which the way to whole µs and back may lose; a loop that wakes to the instant then is too early by that much.
    pub fn schedule(&mut self, due_at: f64, timer: T) {
        let mut us = (due_at * 1000.0).max(0.0).ceil() as u64;
        if us as f64 / 1000.0 < due_at {
            us = us.saturating_add(1);
        }
        self.pending.push(Reverse((us, timer)));
    }

    /// How long until the next rings; none where none is set.
    pub fn time_to_next(&self) -> Option<Duration> {
        let next = self.pending.peek()?.0.0 as f64 / 1000.0;
        Some(Duration::from_secs_f64((next - self.now()).max(0.0) / 1000.0))
    }

    /// The first that has fallen due by then, with its time.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        let to_ms = |us: u64| us as f64 / 1000.0;
        self.pending.peek().filter(|next| to_ms(next.0.0) <= now)?;
        self.pending.pop().map(|Reverse((due_us, timer))| (to_ms(due_us), timer))
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
