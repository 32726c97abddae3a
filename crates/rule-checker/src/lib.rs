//! What players and stand-in media servers saw on their sockets, on one clock, and the six rules checked on
//! that alone. Nothing here knows the front: not its words, its code or its log.

pub mod history;
pub mod rules;

use serde::{Deserialize, Serialize};

/// One thing seen. Times are ms on the clock that all of a run's witnesses share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    pub at: f64,
    pub what: Observed,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Observed {
    // ---- by players ----
    /// A manifest request was written. `request` is one try of that session.
    Asked {
        request: u64,
        session: String,
        front: usize,
        product: usize,
        title: String,
        top: usize,
    },
    /// Its answer came whole.
    Answered {
        request: u64,
        status: u16,
    },
    /// The player closed before an answer came, by its own choice.
    Left {
        request: u64,
    },
    /// The connection broke before an answer.
    Cut {
        request: u64,
    },
    /// A segment came whole: what was asked for and what was in it.
    Fetched {
        session: String,
        title: String,
        number: u64,
        rung: usize,
        got: Option<Content>,
    },

    // ---- by media servers ----
    /// The request for a set-up was read.
    SetUp {
        server: usize,
        allocation: String,
        session: String,
        product: usize,
        title: String,
        rung: usize,
    },
    /// The set-up was done, or refused, or failed; `ran` where work was done for it.
    Done {
        allocation: String,
        ran: bool,
        status: u16,
    },
    /// The connection that the set-up came on has ended, from whichever side.
    Closed {
        allocation: String,
    },
    /// The play's rung was set.
    Rung {
        allocation: String,
        rung: usize,
    },

    // ---- by whoever runs the day ----
    Front {
        front: usize,
        up: bool,
    },
    /// A server's process started; `cold` where it has yet to warm up.
    Started {
        server: usize,
        cold: bool,
    },
    Stopped {
        server: usize,
    },
    /// What fronts are told of a server from now on.
    Listed {
        server: usize,
        ready: bool,
    },
}

/// What a segment says that it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Content {
    pub title: String,
    pub number: u64,
    pub rung: usize,
    /// Its bytes are those that this segment has.
    pub intact: bool,
}
