//! How many plays are being set up or run at a server, over all fronts, as an interval that **always contains the true
//! number**:
//!
//! - Lower bound: this front's own plays, plus for each other front the plays that it reported less those that may have
//!   ended since, by the stated maximum rate. If no rate is stated, all of them may have ended.
//! - Upper bound: what was reported, plus what each front's budget allows it to have added since. A cold server is paced:
//!   all fronts together add no more than the whole pace over the age of the oldest row, plus one set-up each that was
//!   already due. A server that is not paced holds no more plays than `max_plays`.
//! - A front that was never heard, or was last heard before its restart, is counted by its budget alone.
//!
//! Rules use the upper bound. Decisions that only affect quality use the best estimate, which is the reported
//! number, limited to the interval.

use crate::{PeerState, decode_cells, encode_cells};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Size up to which entries are packed into one cell, bytes. It is below the gossip's maximum size of a cell.
const MAX_CELL_BYTES: usize = 900;

/// One front's plays of a product at a server: being set up, and playing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlayCount {
    server: u64,
    product: u16,
    setting_up: u32,
    playing: u32,
}

/// Bounds on a number of plays, and the best estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Interval {
    /// Lower bound.
    pub low: f64,
    /// The reported number, limited to the bounds.
    pub best_estimate: f64,
    /// Upper bound.
    pub high: f64,
}

/// Limits on how the number of plays at a server changes.
#[derive(Clone, Copy, Debug)]
pub struct PlayBounds {
    /// Maximum number of plays that the server holds.
    pub max_plays: f64,
    /// Plays that all fronts together may add per ms while the server is paced; `None` if it is not.
    pub max_added_per_ms: Option<f64>,
    /// Plays of one front that may end there per ms; `None` if all may end at once.
    pub max_ended_per_ms: Option<f64>,
}

/// This front's plays, by server and product: being set up, and playing.
#[derive(Default)]
pub struct PlayCounts {
    own_counts: BTreeMap<(u64, u16), (u32, u32)>,
}

impl PlayCounts {
    /// Sets this front's numbers for one server and product.
    pub fn set(&mut self, server: u64, product: u16, setting_up: u32, playing: u32) {
        if setting_up + playing == 0 {
            self.own_counts.remove(&(server, product));
        } else {
            self.own_counts.insert((server, product), (setting_up, playing));
        }
    }

    /// Replaces all of this front's numbers.
    pub fn replace(&mut self, own_counts: BTreeMap<(u64, u16), (u32, u32)>) {
        self.own_counts = own_counts;
    }

    /// The cells for this front's row.
    pub fn cells(&self) -> Vec<Vec<u8>> {
        let row = |(key, counts): (&(u64, u16), &(u32, u32))| PlayCount {
            server: key.0,
            product: key.1,
            setting_up: counts.0,
            playing: counts.1,
        };
        encode_cells(self.own_counts.iter().map(row), MAX_CELL_BYTES)
    }

    /// Plays at a server, of one product or of all. `peers` must hold every other front; the age of those never heard is
    /// infinite.
    pub fn estimate(
        &self,
        server: u64,
        product: Option<u16>,
        peers: &[PeerState],
        bounds: PlayBounds,
    ) -> Interval {
        let matches = |s: u64, p: u16| s == server && product.is_none_or(|product| product == p);
        let own_plays = self.own_counts.iter().filter(|(k, _)| matches(k.0, k.1));
        let own_plays: f64 = own_plays.map(|(_, n)| f64::from(n.0 + n.1)).sum();
        let (mut low, mut reported_total, mut oldest_age) = (own_plays, own_plays, 0.0f64);
        for peer in peers {
            let rows = decode_cells::<PlayCount>(&peer.counts);
            let reported = rows.iter().filter(|r| matches(r.server, r.product));
            let reported: f64 = reported.map(|r| f64::from(r.setting_up) + f64::from(r.playing)).sum();
            let reported = if peer.age.is_finite() { reported } else { 0.0 };
            low += bounds
                .max_ended_per_ms
                .map_or(0.0, |max_ended_per_ms| (reported - (max_ended_per_ms * peer.age).ceil()).max(0.0));
            reported_total += reported;
            oldest_age = oldest_age.max(peer.age);
        }
        let added = bounds.max_added_per_ms.map_or(f64::INFINITY, |max_added_per_ms| {
            (max_added_per_ms * oldest_age).ceil() + peers.len() as f64
        });
        let high = (reported_total + added).min(bounds.max_plays).max(own_plays);
        let low = low.min(high);
        Interval { low, best_estimate: reported_total.clamp(low, high), high }
    }
}
