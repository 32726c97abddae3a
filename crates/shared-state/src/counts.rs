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

use crate::{PeerState, decode_cells, encode_cells};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MAX_CELL_BYTES: usize = 900;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    server: u64,
    product: u16,
    setting_up: u32,
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
    pub max_plays: f64,
    /// What all fronts together may add, plays an ms, while it is paced; none where it is not.
    pub max_added_per_ms: Option<f64>,
    /// Plays of one front that end there at most, an ms; none where all may at once.
    pub max_ended_per_ms: Option<f64>,
}

#[derive(Default)]
pub struct PlayCounts {
    own: BTreeMap<(u64, u16), (u32, u32)>,
}

impl PlayCounts {
    /// This front's own: set-ups out, and plays that run.
    pub fn set(&mut self, server: u64, product: u16, setting_up: u32, playing: u32) {
        if setting_up + playing == 0 {
            self.own.remove(&(server, product));
        } else {
            self.own.insert((server, product), (setting_up, playing));
        }
    }

    /// All of this front's own anew.
    pub fn replace(&mut self, own: BTreeMap<(u64, u16), (u32, u32)>) {
        self.own = own;
    }

    pub fn cells(&self) -> Vec<Vec<u8>> {
        let row = |(key, counts): (&(u64, u16), &(u32, u32))| Row {
            server: key.0,
            product: key.1,
            setting_up: counts.0,
            playing: counts.1,
        };
        encode_cells(self.own.iter().map(row), MAX_CELL_BYTES)
    }

    /// Plays at a server, of one product or of all; `heard` must hold every other front, those never heard with an
    /// infinite age.
    pub fn estimate(
        &self,
        server: u64,
        product: Option<u16>,
        peers: &[PeerState],
        bounds: PlayBounds,
    ) -> Interval {
        let matches = |s: u64, p: u16| s == server && product.is_none_or(|product| product == p);
        let own = self.own.iter().filter(|(k, _)| matches(k.0, k.1));
        let own: f64 = own.map(|(_, n)| f64::from(n.0 + n.1)).sum();
        let (mut low, mut middle, mut oldest) = (own, own, 0.0f64);
        for peer in peers {
            let rows = decode_cells::<Row>(&peer.counts);
            let reported = rows.iter().filter(|r| matches(r.server, r.product));
            let reported: f64 = reported.map(|r| f64::from(r.setting_up) + f64::from(r.playing)).sum();
            let reported = if peer.age.is_finite() { reported } else { 0.0 };
            low += bounds
                .max_ended_per_ms
                .map_or(0.0, |max_ended_per_ms| (reported - (max_ended_per_ms * peer.age).ceil()).max(0.0));
            middle += reported;
            oldest = oldest.max(peer.age);
        }
        let added = bounds.max_added_per_ms.map_or(f64::INFINITY, |max_added_per_ms| {
            (max_added_per_ms * oldest).ceil() + peers.len() as f64
        });
        let high = (middle + added).min(bounds.max_plays).max(own);
        let low = low.min(high);
        Interval { low, middle: middle.clamp(low, high), high }
    }
}
