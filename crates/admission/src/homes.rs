//! Home front of a session: the one front that may set it up, for sessions that must be set up only once.
//!
//! Fronts know nothing of each other's sessions. If a viewer asks two fronts for the same session, or asks a second
//! one after the first died, the session would be set up twice. Where a second set-up does harm, only the session's
//! home front may set it up, and the other fronts redirect the viewer there. The home is chosen by rendezvous hashing
//! (highest random weight): every front computes the same home from the session's name and the number of fronts
//! alone, and adding or removing a front moves only the sessions whose home is that front.
//!
//! The front (`pulleystair-edge`) calls this for each new session.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The rank, from 0, of the home front of a session among `fronts` fronts.
pub fn home_front(session: &str, fronts: usize) -> usize {
    let weight = |front: &usize| {
        // The keys are not secret: all fronts must use the same ones.
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
    fn sessions_are_spread_evenly_over_fronts() {
        let mut counts = [0; 5];
        (0..10_000).for_each(|n| counts[home_front(&format!("session-{n}"), 5)] += 1);
        assert!(counts.iter().all(|n| (1800..2200).contains(n)), "{counts:?}");
    }

    #[test]
    fn an_added_front_moves_only_sessions_to_itself() {
        let names: Vec<String> = (0..5000).map(|n| format!("session-{n}")).collect();
        let moved = names.iter().filter(|name| home_front(name, 4) != home_front(name, 5));
        assert!(moved.clone().all(|name| home_front(name, 5) == 4));
        assert!((800..1200).contains(&moved.count()));
    }

    #[test]
    fn home_fronts_are_the_same_in_every_version() {
        let homes: Vec<usize> = ["a", "b", "c", "d", "e", "f"].iter().map(|s| home_front(s, 3)).collect();
        assert_eq!(homes, HOMES, "fronts of two versions must agree while one replaces the other");
    }

    const HOMES: [usize; 6] = [1, 2, 0, 2, 0, 1];
}
