//! Who waits for a decision while the limit is reached, for how long, and who is next.
//!
//! In order of coming while the wait is short. Once whoever is next has waited too long the newest is taken
//! first: under a crowd the old ones have the least time left, and serving them in order would answer everyone
//! late. Whoever can't be answered in time any more is told at once.

use std::collections::VecDeque;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueConfig {
    /// So many may wait.
    pub most: usize,
    /// From this wait of the oldest on, ms, the newest come first.
    pub crowded: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiting {
    play: u64,
    came: f64,
    /// The latest time at which it is worth taking up.
    until: f64,
}

#[derive(Debug)]
pub struct AdmissionQueue {
    terms: QueueConfig,
    waiting: VecDeque<Waiting>,
}

impl AdmissionQueue {
    pub fn new(terms: QueueConfig) -> AdmissionQueue {
        AdmissionQueue { terms, waiting: VecDeque::new() }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a play wait until then at the latest. Answers who gives way where the queue is full: whoever has the
    /// least time left, which may be the one that came.
    pub fn push(&mut self, now: f64, play: u64, until: f64) -> Option<u64> {
        self.waiting.push_back(Waiting { play, came: now, until });
        if self.waiting.len() <= self.terms.most {
            return None;
        }
        let least = |a: &(usize, &Waiting), b: &(usize, &Waiting)| a.1.until.total_cmp(&b.1.until);
        let (at, _) = self.waiting.iter().enumerate().min_by(least)?;
        self.waiting.remove(at).map(|w| w.play)
    }

    /// Who is taken up now.
    pub fn pop(&mut self, now: f64) -> Option<u64> {
        let crowded = self.waiting.front().is_some_and(|w| now - w.came >= self.terms.crowded);
        let next = if crowded { self.waiting.pop_back() } else { self.waiting.pop_front() };
        next.map(|w| w.play)
    }

    /// Those for whom it is too late.
    pub fn take_expired(&mut self, now: f64) -> Vec<u64> {
        let late: Vec<u64> = self.waiting.iter().filter(|w| w.until <= now).map(|w| w.play).collect();
        self.waiting.retain(|w| w.until > now);
        late
    }

    /// When the next of them is too late.
    pub fn next_deadline(&self) -> Option<f64> {
        self.waiting.iter().map(|w| w.until).min_by(f64::total_cmp)
    }

    /// Whoever left; true if it was waiting.
    pub fn remove(&mut self, play: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.play != play);
        self.waiting.len() < before
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TERMS: QueueConfig = QueueConfig { most: 4, crowded: 100.0 };

    #[test]
    fn in_order_while_the_wait_is_short_and_the_newest_first_in_a_crowd() {
        let mut queue = AdmissionQueue::new(TERMS);
        (1..=3).for_each(|play| assert_eq!(queue.push(play as f64, play, 1000.0), None));
        assert_eq!(queue.pop(50.0), Some(1));
        assert_eq!(queue.pop(150.0), Some(3));
        assert_eq!(queue.pop(150.0), Some(2));
        assert_eq!(queue.pop(150.0), None);
    }

    #[test]
    fn a_full_queue_lets_go_whoever_has_least_time_left() {
        let mut queue = AdmissionQueue::new(TERMS);
        let times = [900.0, 300.0, 800.0, 700.0];
        (1..=4).zip(times).for_each(|(play, until)| assert_eq!(queue.push(0.0, play, until), None));
        assert_eq!(queue.push(1.0, 5, 1000.0), Some(2));
        assert_eq!(queue.push(2.0, 6, 100.0), Some(6), "the one that came may be it");
    }

    #[test]
    fn whoever_is_too_late_is_told() {
        let mut queue = AdmissionQueue::new(TERMS);
        queue.push(0.0, 1, 50.0);
        queue.push(0.0, 2, 40.0);
        assert_eq!(queue.next_deadline(), Some(40.0));
        assert_eq!(queue.take_expired(45.0), [2]);
        assert!(queue.remove(1) && !queue.remove(1) && queue.is_empty());
    }

    proptest! {
        /// Whoever comes goes exactly once: taken up, let go, too late, or left.
        #[test]
        fn nobody_is_lost_or_told_twice(steps in prop::collection::vec((0u8..5, 0.0f64..50.0, 10.0f64..400.0), 1..200)) {
            let (mut queue, mut now, mut came) = (AdmissionQueue::new(TERMS), 0.0, 0u64);
            let mut gone = Vec::new();
            for (what, wait, patience) in steps {
                now += wait;
                match what {
                    0 | 1 => {
                        came += 1;
                        gone.extend(queue.push(now, came, now + patience));
                    }
                    2 => gone.extend(queue.pop(now)),
                    3 => gone.extend(queue.take_expired(now)),
                    _ => gone.extend((came > 0 && queue.remove(came)).then_some(came)),
                }
                prop_assert!(queue.len() <= TERMS.most);
                prop_assert_eq!(gone.len() + queue.len(), came as usize);
            }
            while let Some(play) = queue.pop(now) {
                gone.push(play);
            }
            gone.sort_unstable();
            prop_assert_eq!(gone, (1..=came).collect::<Vec<u64>>());
        }
    }
}
