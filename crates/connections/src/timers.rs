//! What falls due on a loop, and the time that the loop goes by.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Clocks that were set and have not rung. One that is set is never taken back.
pub struct Timers<C: Ord> {
    set: BinaryHeap<Reverse<(u64, C)>>,
    started: (Instant, f64),
}

impl<C: Ord> Timers<C> {
    /// From one reading of the wall clock, Unix ms.
    pub fn new(unix: f64) -> Timers<C> {
        Timers { set: BinaryHeap::new(), started: (Instant::now(), unix) }
    }

    /// Unix ms, which no step of the wall clock moves.
    pub fn now(&self) -> f64 {
        self.started.1 + self.started.0.elapsed().as_secs_f64() * 1000.0
    }

    /// Rounded up: one that rang before its time would be passed over, and not ring again. A Unix time in ms is kept to a quarter of
    /// a µs, which the way to whole µs and back may lose; a loop that wakes to the instant then is too early by that much.
    pub fn schedule(&mut self, at: f64, clock: C) {
        let mut us = (at * 1000.0).max(0.0).ceil() as u64;
        if us as f64 / 1000.0 < at {
            us = us.saturating_add(1);
        }
        self.set.push(Reverse((us, clock)));
    }

    /// How long until the next rings; none where none is set.
    pub fn time_to_next(&self) -> Option<Duration> {
        let next = self.set.peek()?.0.0 as f64 / 1000.0;
        Some(Duration::from_secs_f64((next - self.now()).max(0.0) / 1000.0))
    }

    /// The first that has fallen due by then, with its time.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, C)> {
        let due = |at: u64| at as f64 / 1000.0;
        self.set.peek().filter(|next| due(next.0.0) <= now)?;
        self.set.pop().map(|Reverse((at, clock))| (due(at), clock))
    }

    pub fn len(&self) -> usize {
        self.set.len()
    }

    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}
