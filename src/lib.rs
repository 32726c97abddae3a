//! pulleystair decides where the plays of a media fleet are placed and on which rung they run.
//!
//! This file holds the plain values that a caller and the placement logic exchange; the logic itself is
//! in [`logic`]. The caller keeps the plays and the timers, and passes both in with each call.
//! All times are milliseconds as floating-point numbers; servers, titles and plays are identified by dense indices.

pub mod logic;

use std::collections::BTreeMap;

/// Source text of the placement logic that this program was built with, from which callers compute a digest.
/// `settings_view` is left out, since it decides nothing.
pub const POLICY: [&str; 6] = [
    include_str!("logic/mod.rs"),
    include_str!("logic/placing.rs"),
    include_str!("logic/facts.rs"),
    include_str!("logic/room.rs"),
    include_str!("logic/pace.rs"),
    include_str!("logic/rungs.rs"),
];

/// The operators' settings, read at start: flat names such as `products.0.importance`.
pub type Settings = BTreeMap<String, Value>;

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
}

/// The numeric setting of this name, or `default` where the settings have no number of that name.
pub fn number(settings: &Settings, name: &str, default: f64) -> f64 {
    if let Some(Value::Number(n)) = settings.get(name) { *n } else { default }
}

/// A viewer's session. The caller keeps all plays in a slice, and a play is identified by its index there.
#[derive(Clone, Debug, Default)]
pub struct Play {
    /// Index of the product.
    pub product: usize,
    /// Index of the title.
    pub title: usize,
    /// First of the cells whose servers hold the title.
    pub first_cell: usize,
    /// Number of consecutive cells, from `first_cell` on, whose servers hold the title.
    pub holder_cells: usize,
    /// Highest rung that the viewer can use.
    pub max_rung: usize,
    pub arrived_at: f64,
    /// The time at which the viewer gives up waiting for a set-up.
    pub deadline: f64,

    // The fields below are written by the placement logic; a caller reads `finished` and `server`.
    /// The play has had its final answer, or has ended.
    pub finished: bool,
    /// The server of the allocation in flight, or the server that the play runs on.
    pub server: Option<usize>,
    /// The play runs: an allocation of it has succeeded.
    pub playing: bool,
    /// The rung that the play runs on, or is to be set up on.
    pub rung: usize,
    /// Number of allocations so far.
    pub allocations: usize,
    /// The first server that an earlier allocation may have run on, and when that allocation was sent.
    pub may_have_run: Option<(usize, f64)>,
    /// Servers whose allocation of this play has ended.
    pub tried: Vec<usize>,
    /// Those of `tried` that answered an error. Whether the server or the play caused the error is known once the play
    /// is served elsewhere.
    pub errored_on: Vec<usize>,
    /// Servers were probed for its next allocation.
    pub probed: bool,
    /// The cold or doubted server in whose queue the play waits.
    pub waiting_for: Option<usize>,
    /// When its latest allocation was sent.
    pub sent_at: f64,
    /// When it began to run.
    pub started_at: f64,
    /// When the play is to be placed again, or checked for a step up.
    pub recheck_at: f64,
}

/// Changes of rung: indices of plays and the rung that each now has.
pub type RungChanges = Vec<(usize, usize)>;

/// A holder that could have been drawn: its chance, and the room (kB) that it was weighted by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderChance {
    /// Index of the server.
    pub server: usize,
    pub chance: f64,
    pub room: f64,
}

/// What other fronts let this one know of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHint {
    /// Index of the server.
    pub server: usize,
    /// Other fronts doubt the server.
    pub doubted: bool,
    /// How much of the server's pace (the rate of plays that it may be sent while cold or doubted) this front holds, in
    /// multiples of its part without loans: 1 where nothing is lent or borrowed. Each 1 above that adds 1/n of the whole pace,
    /// where n is the number of fronts; below 1, this front sends at that fraction of its usual rate.
    pub pace_multiple: f64,
    /// Minimum distance between further allocations (those after a play's first) to the server, ms.
    pub further_gap: f64,
    /// Minimum distance between probes of the server, ms.
    pub probe_gap: f64,
}

/// The decision where a play goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// Set the play up on this server and rung; an answer counts as too late after `time_out` ms.
    Send { server: usize, rung: usize, time_out: f64, candidates: Vec<HolderChance> },
    /// The play has to wait. Place it again once `time_to_recheck` has passed, and after each turn of the event
    /// loop in which the logic was given a new fact, since that may have made the wait hopeless. Meanwhile probe these servers.
    Wait { probe: Vec<usize> },
    /// The play runs, and continues on this rung.
    Keep { rung: usize },
    /// Final: the play is not placed, and the viewer may safely repeat the request: no allocation of it ran, or a repeat does
    /// no harm. A retry should come after `retry_after` ms at the earliest.
    Declined { retry_after: f64 },
    /// Final: the play is not placed, an allocation of it may have run, and a repeat may do harm.
    Failed,
}

/// How an allocation went on or ended. After `Full`, `Unreachable` and `NeverSent` the allocation has had no effect on the
/// server; after every other outcome it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The set-up succeeded: the play runs.
    Playing,
    /// The play ran to its end.
    Finished,
    /// The server answered the set-up with an error, or with an answer that cannot be read.
    Error,
    /// The server refused the set-up because it is full.
    Full,
    /// The set-up was not answered in time.
    TimedOut,
    /// The set-up did not reach the server: there was no usable connection.
    Unreachable,
    /// The connection broke before the set-up was answered, or while the play ran; the process may have been lost.
    Broken,
    /// The host or the server ended the allocation or the running play, without a fault.
    Withdrawn,
    /// The set-up was not sent, or is known to have had no effect.
    NeverSent,
}

impl Outcome {
    /// Whether the allocation may have had an effect on its server.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent)
    }
}

/// What to do with a play after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Place the play again at once.
    Place,
    /// Leave the play as it is: it runs, or is finished.
    Nothing,
}

/// One value of a server's load, from a load report or from a note. A note is a server's report about one running play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadMetric {
    /// Share of its rate that each play on the server gets.
    Delivered(f64),
    /// Demand on the server's link over the link's capacity.
    Link(f64),
    /// Demand on the server's link over the link's capacity, capped at 1.
    LinkCapped(f64),
    /// Demand on the rack's uplink over the uplink's capacity.
    Uplink(f64),
    /// Streams that the server runs or sets up.
    Streams(f64),
}

impl LoadMetric {
    /// The number, whichever metric it is.
    pub fn value(self) -> f64 {
        use LoadMetric::{Delivered, Link, LinkCapped, Streams, Uplink};
        let (Delivered(x) | Link(x) | LinkCapped(x) | Uplink(x) | Streams(x)) = self;
        x
    }
}

/// A server's state in the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// May be sent plays.
    Ready,
    /// Keeps its plays and is sent no new ones.
    Draining,
    /// Not in the list, or listed as gone.
    #[default]
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    /// Index of the server.
    pub server: usize,
    /// Number of the zone.
    pub zone: usize,
    /// Number of the kind of server, by which the setting `extra.places_by_kind` limits its streams.
    pub kind: usize,
    /// Number of the cell. Cells are assigned to racks in rotation.
    pub cell: usize,
    pub standing: Standing,
    /// Capacity of the server's link, in multiples of the setting `extra.link_unit_kb`.
    pub weight: f64,
    /// Time of the latest start; 0 for long ago.
    pub started_at: f64,
}
