//! Which of several fronts a session is at home at, where it may be set up once only.
//!
//! Fronts know nothing of each other's sessions. A viewer that asks two of them for the same one, or a second after
//! the first died, would have it set up twice; where a second set-up does harm, only the session's home may take it,
//! and the others send it there. The home goes by rendezvous hashing (highest random weight): every front reckons
//! the same one from the session's name and the count of fronts alone, and a front more or less moves only the
//! sessions that come to it or were at home there.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Home of a session among so many fronts, as its place from 0.
pub fn home_front(session: &str, fronts: usize) -> usize {
    let weight = |front: &usize| {
        // Keys of no secret: what counts is that all fronts use the same.
        let mut hash = SipHasher13::new_with_keys(0, *front as u64);
        hash.write(session.as_bytes());
        hash.finish()
    };
    (0..fronts).max_by_key(weight).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_front_is_home_to_its_part() {
        let mut at = [0; 5];
        (0..10_000).for_each(|n| at[home_front(&format!("session-{n}"), 5)] += 1);
        assert!(at.iter().all(|n| (1800..2200).contains(n)), "{at:?}");
    }

    #[test]
    fn a_front_more_moves_only_what_comes_to_it() {
        let names: Vec<String> = (0..5000).map(|n| format!("session-{n}")).collect();
        let moved = names.iter().filter(|name| home_front(name, 4) != home_front(name, 5));
        assert!(moved.clone().all(|name| home_front(name, 5) == 4));
        assert!((800..1200).contains(&moved.count()));
    }

    #[test]
    fn it_is_the_same_in_every_version() {
        let homes: Vec<usize> = ["a", "b", "c", "d", "e", "f"].iter().map(|s| home_front(s, 3)).collect();
        assert_eq!(homes, HOMES, "fronts of two versions must agree while one replaces the other");
    }

    const HOMES: [usize; 6] = [1, 2, 0, 2, 0, 1];
}
