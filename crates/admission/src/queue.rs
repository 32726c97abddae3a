//! Queue of the plays that wait for admission while the limit on set-ups in progress is reached.
//!
//! Plays are admitted in order of arrival while waits are short. Once the play at the head has waited too long, the
//! newest play is admitted first: under overload the oldest plays have the least time left, and serving them in order
//! would answer every play late. A play that can no longer be answered in time is returned at once, to be refused.
//!
//! The front (`pulleystair-edge`) owns the queue and gives the answers. Times are ms.

use std::collections::VecDeque;

/// Bounds of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// How many plays may wait.
    pub capacity: usize,
    /// Once the oldest play has waited this long, ms, the newest play is admitted first.
    pub newest_first_after_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct WaitingPlay {
    play: u64,
    arrived_at: f64,
    /// The latest time at which its admission is still of use.
    deadline: f64,
}

/// The waiting plays, in order of arrival.
#[derive(Debug)]
pub struct AdmissionQueue {
    config: QueueConfig,
    waiting: VecDeque<WaitingPlay>,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(config: QueueConfig) -> AdmissionQueue {
        AdmissionQueue { config, waiting: VecDeque::new() }
    }

    /// How many plays wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no play waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a play that arrives now and may wait until `deadline`. If the queue then holds more than its capacity,
    /// evicts and returns the play with the earliest deadline, which may be the added one.
    pub fn push(&mut self, now: f64, play: u64, deadline: f64) -> Option<u64> {
        self.waiting.push_back(WaitingPlay { play, arrived_at: now, deadline });
        if self.waiting.len() <= self.config.capacity {
            return None;
        }
        let by_deadline =
            |a: &(usize, &WaitingPlay), b: &(usize, &WaitingPlay)| a.1.deadline.total_cmp(&b.1.deadline);
        let (index, _) = self.waiting.iter().enumerate().min_by(by_deadline)?;
        self.waiting.remove(index).map(|w| w.play)
    }

    /// Removes and returns the play that is to be admitted now: the oldest one, or the newest one once the oldest has
    /// waited too long.
    pub fn pop(&mut self, now: f64) -> Option<u64> {
        let overloaded =
            self.waiting.front().is_some_and(|w| now - w.arrived_at >= self.config.newest_first_after_ms);
        let next = if overloaded { self.waiting.pop_back() } else { self.waiting.pop_front() };
        next.map(|w| w.play)
    }

    /// Removes and returns the plays whose deadline has passed.
    pub fn take_expired(&mut self, now: f64) -> Vec<u64> {
        let expired: Vec<u64> = self.waiting.iter().filter(|w| w.deadline <= now).map(|w| w.play).collect();
        self.waiting.retain(|w| w.deadline > now);
        expired
    }

    /// The earliest deadline of the waiting plays.
    pub fn next_deadline(&self) -> Option<f64> {
        self.waiting.iter().map(|w| w.deadline).min_by(f64::total_cmp)
    }

    /// Removes a play whose viewer left; true if it was waiting.
    pub fn remove(&mut self, play: u64) -> bool {
        let len_before = self.waiting.len();
        self.waiting.retain(|w| w.play != play);
        self.waiting.len() < len_before
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const CONFIG: QueueConfig = QueueConfig { capacity: 4, newest_first_after_ms: 100.0 };

    #[test]
    fn plays_are_popped_in_order_and_newest_first_under_overload() {
        let mut queue = AdmissionQueue::new(CONFIG);
        (1..=3).for_each(|play| assert_eq!(queue.push(play as f64, play, 1000.0), None));
        assert_eq!(queue.pop(50.0), Some(1));
        assert_eq!(queue.pop(150.0), Some(3));
        assert_eq!(queue.pop(150.0), Some(2));
        assert_eq!(queue.pop(150.0), None);
    }

    #[test]
    fn a_full_queue_evicts_the_play_with_the_earliest_deadline() {
        let mut queue = AdmissionQueue::new(CONFIG);
        let deadlines = [900.0, 300.0, 800.0, 700.0];
        (1..=4).zip(deadlines).for_each(|(play, deadline)| assert_eq!(queue.push(0.0, play, deadline), None));
        assert_eq!(queue.push(1.0, 5, 1000.0), Some(2));
        assert_eq!(queue.push(2.0, 6, 100.0), Some(6), "the added play itself may be evicted");
    }

    #[test]
    fn expired_plays_are_returned() {
        let mut queue = AdmissionQueue::new(CONFIG);
        queue.push(0.0, 1, 50.0);
        queue.push(0.0, 2, 40.0);
        assert_eq!(queue.next_deadline(), Some(40.0));
        assert_eq!(queue.take_expired(45.0), [2]);
        assert!(queue.remove(1) && !queue.remove(1) && queue.is_empty());
    }

    proptest! {
        /// Each play leaves the queue exactly once: popped, evicted, expired or removed.
        #[test]
        fn each_play_leaves_the_queue_exactly_once(steps in prop::collection::vec((0u8..5, 0.0f64..50.0, 10.0f64..400.0), 1..200)) {
            let (mut queue, mut now, mut pushed) = (AdmissionQueue::new(CONFIG), 0.0, 0u64);
            let mut left = Vec::new();
            for (operation, elapsed, time_left) in steps {
                now += elapsed;
                match operation {
                    0 | 1 => {
                        pushed += 1;
                        left.extend(queue.push(now, pushed, now + time_left));
                    }
                    2 => left.extend(queue.pop(now)),
                    3 => left.extend(queue.take_expired(now)),
                    _ => left.extend((pushed > 0 && queue.remove(pushed)).then_some(pushed)),
                }
                prop_assert!(queue.len() <= CONFIG.capacity);
                prop_assert_eq!(left.len() + queue.len(), pushed as usize);
            }
            while let Some(play) = queue.pop(now) {
                left.push(play);
            }
            left.sort_unstable();
            prop_assert_eq!(left, (1..=pushed).collect::<Vec<u64>>());
        }
    }
}
