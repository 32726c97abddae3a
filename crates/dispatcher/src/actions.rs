//! The interface between a dispatcher and its host. Times are in ms.

/// The actions that a host carries out for a dispatcher. Each method is called while the host's own call into the dispatcher
/// runs.
pub trait Actions {
    /// Sets the play up on this server and rung. An answer later than `time_out` ms is [`pulleystair::Outcome::TimedOut`].
    fn send(&mut self, play_id: u64, server_id: u32, rung: usize, time_out: f64);
    /// Records the candidates from which the server of the next [`Actions::send`] was drawn: servers, their chances and
    /// rooms (kB).
    fn record_candidates(&mut self, _play_id: u64, _candidates: &[(u32, f64, f64)]) {}
    /// Cancels the allocation in flight, or ends the running play: its viewer has left, or its time is up.
    fn withdraw(&mut self, play_id: u64);
    /// Changes the play's rung to this one.
    fn set_rung(&mut self, play_id: u64, rung: usize);
    /// Asks the server for its load. The host passes an answer to [`crate::Dispatcher::on_load_report`]; if there is none, it
    /// calls nothing.
    fn probe(&mut self, server_id: u32);
    /// Gives the final answer that the play is not placed and the viewer may safely repeat the request: no allocation of it
    /// ran, or a repeat does no harm. A retry should come after `retry_after` ms at the earliest.
    fn decline(&mut self, play_id: u64, retry_after: f64);
    /// Gives the final answer that the play is not placed, an allocation of it may have run, and a repeat may do harm.
    fn fail(&mut self, play_id: u64);
    /// Has [`crate::Dispatcher::on_timer`] called with this `timer` once `delay` ms have passed. Timers are never
    /// cancelled: outdated ones do no harm.
    fn set_timer(&mut self, timer: u32, delay: f64);
    /// Asks discovery for changes of the server list. The host passes them to [`crate::Dispatcher::update_list`], and calls
    /// [`crate::Dispatcher::watch_list`] with `failed` if the call failed.
    fn watch_list(&mut self);
}

/// Allocations that were made for a play whose id a viewer uses again, at least one of which may have run.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAllocations {
    /// How many were made.
    pub count: usize,
    /// The first server on which one may have run, by the host's id. The dispatcher must know it.
    pub server_id: u32,
    /// When that one was sent.
    pub sent_at: f64,
}

/// What a viewer requests.
#[derive(Clone, Copy, Debug)]
pub struct PlayRequest {
    /// Index of the product.
    pub product: usize,
    /// The title by the host's own id.
    pub title: u64,
    /// First of the cells whose servers hold the title.
    pub first_cell: usize,
    /// Number of consecutive cells, from `first_cell` on, whose servers hold the title.
    pub holder_cells: usize,
    /// Highest rung that the viewer can use.
    pub max_rung: usize,
    /// When the viewer sent the request, which may be before the dispatcher took it.
    pub arrived_at: f64,
    /// The time at which the viewer gives up waiting for a set-up.
    pub deadline: f64,
}
