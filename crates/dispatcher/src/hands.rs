//! What a desk and its host have to do with each other.

/// What a host does for a desk. Each call is made while the host's own call into the desk runs.
pub trait Actions {
    /// Set the play up at this server and rung; an answer later than `time_out` ms is [`pulleystair::Outcome::TimedOut`].
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64);
    /// What the choice that is sent next was drawn from: servers, their chances and rooms.
    fn record_candidates(&mut self, _play: u64, _odds: &[(u32, f64, f64)]) {}
    /// The viewer has left: give up the allocation that is out, or end what plays.
    fn withdraw(&mut self, play: u64);
    /// The play now has this rung.
    fn set_rung(&mut self, play: u64, rung: usize);
    fn probe(&mut self, server: u32);
    /// The final answer: never, and nothing of it ran; best not to come back within `pause` ms.
    fn decline(&mut self, play: u64, pause: f64);
    /// The final answer: never, and an allocation may have run.
    fn fail(&mut self, play: u64);
    /// Ring with this `timer` once `delay` ms have passed. A timer is never taken back: stale ones do no harm.
    fn set_timer(&mut self, timer: u32, delay: f64);
    /// Ask for changes of the list.
    fn watch_list(&mut self);
}

/// What a viewer asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlayRequest {
    pub product: usize,
    /// The title by the host's own id.
    pub title: u64,
    /// The title's holders are `holders` cells in a row from `first_cell`.
    pub first_cell: usize,
    pub holders: usize,
    /// Highest rung that the viewer can use.
    pub max_rung: usize,
    /// When the viewer asked, which may be before the play was taken in hand.
    pub arrived_at: f64,
    /// The clock time at which the viewer gives up on a set-up.
    pub deadline: f64,
}
