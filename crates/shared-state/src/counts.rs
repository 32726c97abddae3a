//! How many plays are out to a server or run there, over all fronts, as an interval that **holds the truth**:
//!
//! - At least: this front's own, and of each other what was heard less what may have ended since, by the stated most that
//!   end in a second; where none is stated, all may have.
//! - At most: what was heard, plus what its budget lets each add since. A server that is cold is paced: all fronts
//!   together add no more than its whole pace over the age of the oldest row, and one set-up each for the turn that had
//!   come. A server that is not paced holds no more than its places.
//! - A front that was never heard, or that is heard of from before its restart, is counted by its budget alone.
//!
//! Rules go by the upper end, quality by the middle, which is what was heard, within the two.

use crate::{PeerState, chunks, items};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const CELL: usize = 900;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    server: u64,
    product: u16,
    out: u32,
    playing: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    pub low: f64,
    pub middle: f64,
    pub high: f64,
}

/// What bounds how a server's plays come and go.
#[derive(Clone, Copy, Debug)]
pub struct PlayBounds {
    /// Plays that it holds at most.
    pub places: f64,
    /// What all fronts together may add, plays an ms, while it is paced; none where it is not.
    pub pace: Option<f64>,
    /// Plays of one front that end there at most, an ms; none where all may at once.
    pub ends: Option<f64>,
}

#[derive(Default)]
pub struct PlayCounts {
    own: BTreeMap<(u64, u16), (u32, u32)>,
}

impl PlayCounts {
    /// This front's own: set-ups out, and plays that run.
    pub fn set(&mut self, server: u64, product: u16, out: u32, playing: u32) {
        if out + playing == 0 {
            self.own.remove(&(server, product));
        } else {
            self.own.insert((server, product), (out, playing));
        }
    }

    /// All of this front's own anew.
    pub fn replace(&mut self, own: BTreeMap<(u64, u16), (u32, u32)>) {
        self.own = own;
    }

    pub fn cells(&self) -> Vec<Vec<u8>> {
        let row =
            |(of, n): (&(u64, u16), &(u32, u32))| Row { server: of.0, product: of.1, out: n.0, playing: n.1 };
        chunks(self.own.iter().map(row), CELL)
    }

    /// Plays at a server, of one product or of all; `heard` must hold every other front, those never heard with an
    /// infinite age.
    pub fn estimate(
        &self,
        server: u64,
        product: Option<u16>,
        heard: &[PeerState],
        bounds: PlayBounds,
    ) -> Interval {
        let of = |s: u64, p: u16| s == server && product.is_none_or(|product| product == p);
        let own = self.own.iter().filter(|(k, _)| of(k.0, k.1));
        let own: f64 = own.map(|(_, n)| f64::from(n.0 + n.1)).sum();
        let (mut low, mut middle, mut oldest) = (own, own, 0.0f64);
        for peer in heard {
            let rows = items::<Row>(&peer.counts);
            let said = rows.iter().filter(|r| of(r.server, r.product));
            let said: f64 = said.map(|r| f64::from(r.out) + f64::from(r.playing)).sum();
            let said = if peer.age.is_finite() { said } else { 0.0 };
            low += bounds.ends.map_or(0.0, |ends| (said - (ends * peer.age).ceil()).max(0.0));
            middle += said;
            oldest = oldest.max(peer.age);
        }
        let added = bounds.pace.map_or(f64::INFINITY, |pace| (pace * oldest).ceil() + heard.len() as f64);
        let high = (middle + added).min(bounds.places).max(own);
        let low = low.min(high);
        Interval { low, middle: middle.clamp(low, high), high }
    }
}
