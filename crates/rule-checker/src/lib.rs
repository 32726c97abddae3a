//! Observations that players and fake media servers make on their sockets, on one clock, and a checker of the six rules
//! that works on these observations alone.
//!
//! Nothing in this crate depends on the front: neither on its messages nor on its code or its log. Observations come
//! from the lab, the fake servers and the tests of other packages. All times are in ms.

pub mod history;
pub mod rules;

use serde::{Deserialize, Serialize};

/// One observation, at a time in ms on the clock that all observers of a run share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub at: f64,
    pub what: Observed,
}

/// What was observed. Variants and fields are stored in history files under these names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observed {
    // ---- observed by players ----
    /// A manifest request was written. `request` identifies one attempt of the session; `top` is the highest rung that
    /// the viewer can use.
    Asked { request: u64, session: String, front: usize, product: usize, title: String, top: usize },
    /// The response to the request arrived completely.
    Answered { request: u64, status: u16 },
    /// The player closed the connection by its own choice before a response arrived.
    Left { request: u64 },
    /// The connection was closed by the other side before a response arrived.
    Cut { request: u64 },
    /// A segment arrived completely: what was requested, and what it contained (`got`, none if it could not be parsed).
    Fetched { session: String, title: String, number: u64, rung: usize, got: Option<Content> },

    // ---- observed by media servers ----
    /// A set-up request was read.
    SetUp { server: usize, allocation: String, session: String, product: usize, title: String, rung: usize },
    /// The set-up succeeded, was rejected or failed. `ran` tells whether work was done for it.
    Done { allocation: String, ran: bool, status: u16 },
    /// The connection of the set-up was closed, by either side.
    Closed { allocation: String },
    /// The rung of the play was changed.
    Rung { allocation: String, rung: usize },

    // ---- recorded by the test that runs the scenario ----
    /// A front started listening (`up`) or was killed.
    Front { front: usize, up: bool },
    /// A server's process started; `cold` if it still has to warm up.
    Started { server: usize, cold: bool },
    /// A server's process ended.
    Stopped { server: usize },
    /// The server list that fronts read shows the server as ready, or as draining or gone, from now on.
    Listed { server: usize, ready: bool },
}

/// The identification that a segment carries in its first line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    pub title: String,
    pub number: u64,
    pub rung: usize,
    /// Whether the bytes match the identification.
    pub intact: bool,
}
