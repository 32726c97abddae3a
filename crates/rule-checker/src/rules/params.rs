//! What a run is checked against.

use serde::{Deserialize, Serialize};

/// The parameters that a run is checked against. Durations are in ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleParams {
    pub products: Vec<Product>,
    /// How long after a server was listed as not ready set-ups may still be sent to it.
    pub drain_grace: f64,
    /// How long a server that started cold needs to warm up.
    pub cold: f64,
    /// The part of its capacity that a server has at a cold start, rising to 1 over `cold`.
    pub cold_from: f64,
    /// A cold server is overloaded when set-ups arrive this many times as fast as would fill its streams within `cold`.
    pub overload: f64,
    /// Length of the window over which set-ups at a cold server are counted.
    #[serde(rename = "fall")]
    pub overload_window: f64,
    /// Number of streams of each server.
    pub streams: Vec<f64>,
    /// Zone of each server.
    pub zones: Vec<usize>,
    /// Cell of each server. A cell is a set of servers that hold the same titles.
    pub cells: Vec<usize>,
    /// Budget of further allocations of each front; none if it is unlimited.
    pub budget: Option<Budget>,
    /// How long a front takes to read a server list that was replaced.
    #[serde(rename = "told")]
    pub list_delay: f64,
    /// Tolerance for the order of observations on different sockets.
    pub slack: f64,
}

/// A product, as far as the rules depend on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    /// Time limit of a request.
    pub limit: f64,
    pub effect: Effect,
    /// Lowest rung that plays may be on.
    pub floor: usize,
    /// Highest rung that plays may be on; a viewer's own limit may be lower.
    pub top: usize,
    /// Maximum number of concurrent plays of a title at one front; 0 if unlimited.
    pub seats: usize,
}

/// Whether a set-up of a product may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A set-up may be repeated without harm.
    Free,
    /// A set-up may be repeated only within the same group of servers, and within `window` ms of the first set-up that
    /// may have run.
    Keyed { group: Group, window: f64 },
    /// A set-up is paid for, so it may be repeated only if all earlier ones were rejected before any
    /// processing (429).
    Paid,
}

/// The servers among which a keyed set-up may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// Budget of further allocations: within any `span`, a front may make `free` of them plus `share` for each session that
/// was first requested at it within that span, also if the session was declined.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub span: f64,
    pub share: f64,
    pub free: f64,
}
