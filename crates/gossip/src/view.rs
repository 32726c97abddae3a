//! What is known of other fronts, what goes to them, and what was counted.

use crate::message::Origin;
use crate::row::Row;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    Heard,
    Doubted,
    Unheard,
}

/// What came and was not taken, and what was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipStats {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub long: u64,
    pub version: u64,
    pub foreign: u64,
    pub spoilt: u64,
    pub ages: u64,
    /// From a front, or about one, that is no peer; answers to nothing that was asked lately; rows with a gap.
    pub unknown: u64,
    pub late: u64,
    pub gaps: u64,
    /// Changes that did not come to what their checksum says.
    pub altered: u64,
    /// Not sent, as the rate was spent.
    pub held_back: u64,
    /// Times that another claimed to be this front.
    pub claimed: u64,
}

/// A datagram to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub to: Origin,
    pub bytes: Vec<u8>,
}

/// What is known of a front.
pub struct FrontView<'a> {
    pub origin: Origin,
    pub incarnation: u64,
    pub version: u64,
    /// ms that have passed at most since the row was its origin's own; infinite where it was never heard.
    pub age: f64,
    pub liveness: Liveness,
    /// Two rows of one incarnation and version differed, of late.
    pub contradictory: bool,
    pub(crate) row: &'a Row,
}

impl<'a> FrontView<'a> {
    pub fn cell(&self, key: u16) -> Option<&'a [u8]> {
        self.row.cells.get(&key).map(|(_, value)| value.as_slice())
    }

    /// The cells of keys within a range, by key.
    pub fn cells(&self, keys: std::ops::Range<u16>) -> impl Iterator<Item = (u16, &'a [u8])> + use<'a> {
        self.row.cells.range(keys).map(|(key, (_, value))| (*key, value.as_slice()))
    }
}
