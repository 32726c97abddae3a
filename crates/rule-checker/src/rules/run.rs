//! A run as players and servers observed it, ordered for the checks.

use std::collections::BTreeMap;

/// One process lifetime of a front: the front's number and how often it had been started before. A front that is
/// restarted has lost its state, so each lifetime is checked separately.
pub(super) type FrontLifetime = (usize, usize);

/// Front lifetime of an allocation whose session was never requested.
pub(super) const UNKNOWN_LIFETIME: FrontLifetime = (usize::MAX, 0);

/// A manifest request with all its responses.
pub(super) struct Request<'a> {
    pub(super) requested_at: f64,
    pub(super) session: &'a str,
    pub(super) lifetime: FrontLifetime,
    pub(super) product: usize,
    pub(super) title: &'a str,
    pub(super) max_rung: usize,
    /// Time and status of each response.
    pub(super) responses: Vec<(f64, u16)>,
    /// When the player closed the connection, if it did.
    pub(super) left_at: Option<f64>,
}

/// An allocation as its server observed it.
pub(super) struct Allocation<'a> {
    pub(super) name: &'a str,
    pub(super) set_up_at: f64,
    pub(super) server: usize,
    pub(super) session: &'a str,
    pub(super) product: usize,
    pub(super) title: &'a str,
    /// Each rung that was set, with its time.
    pub(super) rungs: Vec<(f64, usize)>,
    /// When the set-up was completed, whether work was done for it, and its status.
    pub(super) result: Option<(f64, bool, u16)>,
    pub(super) closed_at: f64,
    pub(super) lifetime: FrontLifetime,
    /// Number of the play among those of its session in `lifetime`, counted from 1.
    pub(super) play_number: usize,
    /// Number of the allocation among those of its play, counted from 1.
    pub(super) ordinal: usize,
}

impl Allocation<'_> {
    /// Until when the allocation was in flight or playing, as its server observed it. A rejection or an error ends it
    /// when the response is written.
    pub(super) fn ended_at(&self) -> f64 {
        match self.result {
            Some((at, _, status)) if status != 200 => at.min(self.closed_at),
            _ => self.closed_at,
        }
    }
}

/// Start and end times of the processes of servers and of fronts. Of the starts of servers, only cold ones are kept.
#[derive(Default)]
pub(super) struct ProcessLifetimes {
    pub(super) cold_starts: Vec<(usize, f64)>,
    pub(super) server_stops: Vec<(usize, f64)>,
    /// Start times of each front, in order.
    pub(super) front_starts: BTreeMap<usize, Vec<f64>>,
    pub(super) front_stops: Vec<(usize, f64)>,
}
