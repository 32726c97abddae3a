//! pulleystair decides where the plays of a media fleet go and on which rung they run.
//!
//! This file holds the plain values that a caller and the decisions exchange; the decisions are
//! in [`logic`]. A caller keeps the plays and the timers, and hands both in with each call.
//! All times are milliseconds with fractions; servers, titles and plays go by small indices.

pub mod logic;

use std::collections::BTreeMap;

/// The text of the decisions that this program was built with, for a digest of it.
pub const POLICY: [&str; 6] = [
    include_str!("logic/mod.rs"),
    include_str!("logic/placing.rs"),
    include_str!("logic/facts.rs"),
    include_str!("logic/room.rs"),
    include_str!("logic/pace.rs"),
    include_str!("logic/rungs.rs"),
];

/// What the operators hand over at start: flat names such as `products.0.importance`.
pub type Settings = BTreeMap<String, Value>;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
}

/// A number of the call sheet, or this one where it has none of that name.
pub fn number(settings: &Settings, name: &str, default: f64) -> f64 {
    if let Some(Value::Number(n)) = settings.get(name) { *n } else { default }
}

/// A viewer's session, kept by the caller in a slice and named by its index there.
#[derive(Clone, Debug, Default)]
pub struct Play {
    pub product: usize,
    pub title: usize,
    /// The title's holders are `holders` cells in a row from `first_cell`.
    pub first_cell: usize,
    pub holders: usize,
    /// Highest rung that the viewer can use.
    pub max_rung: usize,
    pub arrived_at: f64,
    /// The clock time at which the viewer gives up on a set-up.
    pub deadline: f64,

    // The rest is written by the decisions; a caller reads `finished` and `server`.
    /// Has had its final answer, or has ended.
    pub finished: bool,
    /// The server that an allocation is out to, or that it plays at.
    pub server: Option<usize>,
    pub playing: bool,
    pub rung: usize,
    pub allocations: usize,
    /// The first server that an earlier allocation may have run at, and when it was sent there.
    pub ran_at: Option<(usize, f64)>,
    pub tried: Vec<usize>,
    /// Those of them that answered an error; whose it was shows once the play is served elsewhere.
    pub errored_on: Vec<usize>,
    /// Servers were probed for its next allocation.
    pub probed: bool,
    /// The cold or doubted server that it waits for.
    pub waiting_for: Option<usize>,
    pub sent_at: f64,
    pub started_at: f64,
    pub recheck_at: f64,
}

/// Changes of rung: plays and the rung that each now has.
pub type RungChanges = Vec<(usize, usize)>;

/// A holder that could have been drawn: its chance, and the room that it was weighed by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderChance {
    pub server: usize,
    pub chance: f64,
    pub room: f64,
}

/// What is known of a server by other fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHint {
    pub server: usize,
    /// Doubted on hearsay.
    pub doubted: bool,
    /// This front's part of its pace over its unaided part; 1 where nothing is lent.
    pub pace: f64,
    /// Further allocations and probes go there no closer than this, ms.
    pub further_gap: f64,
    pub probe_gap: f64,
}

/// Where a play goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    Send {
        server: usize,
        rung: usize,
        time_out: f64,
        candidates: Vec<HolderChance>,
    },
    /// It is to be asked about again once `time_to_recheck` has passed, and after a turn in which the decisions were told
    /// a fact, which may have taken its last hope; meanwhile these servers are to be probed.
    Wait {
        probe: Vec<usize>,
    },
    /// It plays, on this rung.
    Keep {
        rung: usize,
    },
    /// Never, and nothing of it ran: the viewer may come back, best after `retry_after`.
    Declined {
        retry_after: f64,
    },
    /// Never, and an allocation of it may have run.
    Failed,
}

/// How an allocation went on or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Playing,
    Finished,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    NeverSent,
}

/// What to do with a play after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask at once where it goes now.
    Place,
    Nothing,
}

/// What a server, or a note about one, tells of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadMetric {
    /// Share of its rate that each play there gets.
    Delivered(f64),
    /// Asked of the link over what the link gives.
    Link(f64),
    /// The same, but never shown above 1.
    LinkCapped(f64),
    /// Asked of the rack's uplink over what it gives.
    Uplink(f64),
    /// Streams that the server runs or sets up.
    Streams(f64),
}

impl LoadMetric {
    pub fn value(self) -> f64 {
        use LoadMetric::{Delivered, Link, LinkCapped, Streams, Uplink};
        let (Delivered(x) | Link(x) | LinkCapped(x) | Uplink(x) | Streams(x)) = self;
        x
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the list of servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub server: usize,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub standing: Standing,
    pub weight: f64,
    /// Clock time of the latest start; 0 for long ago.
    pub started_at: f64,
}
