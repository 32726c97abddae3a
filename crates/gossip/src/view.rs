//! What the caller of [`crate::Gossip`] sees: other fronts' rows, datagrams to send, and counters.

use crate::message::FrontId;
use crate::row::Row;

/// How recently a front was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// Its row is recent.
    Heard,
    /// Its row is older than `doubted_after`.
    Doubted,
    /// Its row is older than `unheard_after`, or it was never heard.
    Unheard,
}

/// Counters of datagrams and changes that were sent, accepted and rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipStats {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub taken: u64,
    /// Datagrams rejected for each [`crate::message::MessageError`]: too long, another version, another fleet, corrupt,
    /// impossible age.
    pub long: u64,
    pub version: u64,
    pub foreign: u64,
    pub spoilt: u64,
    pub ages: u64,
    /// Datagrams from, or rows of, a front that is not a peer.
    pub unknown: u64,
    /// Answers to no recent question of this front.
    pub late: u64,
    /// Changes before which another is missing.
    pub gaps: u64,
    /// Changes that did not result in the stated checksum.
    pub altered: u64,
    /// Datagrams not sent because the rate limit was used up, or because they were too long.
    pub held_back: u64,
    /// Times that another process claimed to be this front, or this front's earlier incarnation was ahead of it.
    pub claimed: u64,
}

/// A datagram to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The receiving front.
    pub to: FrontId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// One front as this front knows it.
pub struct FrontView<'a> {
    /// Identifier of the front.
    pub origin: FrontId,
    /// Incarnation of its row; 0 if it was never heard.
    pub incarnation: u64,
    /// Version of its row.
    pub version: u64,
    /// Upper bound on the time since the row was current at its origin, ms; infinite if it was never heard.
    pub age: f64,
    /// How recently it was heard, by `age`.
    pub liveness: Liveness,
    /// Whether two different rows of the same incarnation and version were received recently.
    pub contradictory: bool,
    pub(crate) row: &'a Row,
}

impl<'a> FrontView<'a> {
    /// The value of a cell.
    pub fn cell(&self, key: u16) -> Option<&'a [u8]> {
        self.row.cells.get(&key).map(|(_, value)| value.as_slice())
    }

    /// The cells whose keys are in a range, ordered by key.
    pub fn cells(&self, keys: std::ops::Range<u16>) -> impl Iterator<Item = (u16, &'a [u8])> + use<'a> {
        self.row.cells.range(keys).map(|(key, (_, value))| (*key, value.as_slice()))
    }
}
