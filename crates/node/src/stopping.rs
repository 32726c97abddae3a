//! A node's end: after SIGTERM it takes what still comes, answers what it has taken, and then ends, by its last moment at the latest.

use crate::node::Node;
use crate::shares::RETRY_DELAY_MS;
use crate::state::Timer;
use tracing::{info, warn};

/// After SIGTERM connections and set-ups are taken for so long, ms: they keep coming for 0.6 s.
const ACCEPT_AFTER_STOP_MS: f64 = 900.0;
/// A node that was told to stop is killed no sooner than this after the longest time limit, which counts as `LONGEST` at
/// most; by `MARGIN` all that is still owed is answered, ms.
const MAX_TIME_LIMIT_MS: f64 = 3_000.0;
const STOP_MARGIN_MS: f64 = 600.0;

impl Node {
    /// No new plays once the door is closed. A further signal changes nothing: what was taken by then is owed its answer all the
    /// same, and the end is bounded.
    pub(crate) fn stop(&mut self) {
        if self.state.stopping_since.is_some() {
            return warn!(target: "node", "told to stop again: it is stopping");
        }
        let now = self.state.now();
        self.state.stopping_since = Some(now);
        info!(target: "node", open = self.state.undecided_set_ups, standing = self.state.sessions.len(), "stopping");
        let stop_at = now + self.state.limits.max_time_limit.min(MAX_TIME_LIMIT_MS) + STOP_MARGIN_MS;
        self.state.schedule(stop_at, Timer::StopDeadline);
        self.state.schedule(now + ACCEPT_AFTER_STOP_MS, Timer::CloseListener);
    }

    /// Whoever waits in the door's queue was accepted by the machine, and counts as taken: it closes once nobody does.
    pub(crate) fn close_listener(&mut self) {
        if !self.accept_viewers() {
            let now = self.state.now();
            return self.state.schedule(now + RETRY_DELAY_MS, Timer::CloseListener);
        }
        if let Some((registration, _)) = self.state.listener.take() {
            self.state.loop_handle.remove(registration);
        }
    }

    /// Told to stop, and nothing is owed any more: no answer to a viewer, no half of a set-up that is on its way, no end of a session
    /// that a server is to hear of.
    pub(crate) fn is_done(&mut self) -> bool {
        if self.halted || self.state.stopping_since.is_none() {
            return self.halted;
        }
        let state = &mut self.state;
        let has_partial_message = state.viewer_connections.iter().any(|connection_id| {
            state.connections.get_mut(*connection_id).is_some_and(|c| !c.input.is_empty())
        });
        let has_open_work = state.listener.is_some()
            || state.undecided_set_ups > 0
            || has_partial_message
            || !state.revisit_queue.is_empty()
            || !state.pending_releases.is_empty()
            || state.connections.any_pending(|_| true);
        !has_open_work
    }

    /// Takes what has come and was not looked at yet, which may be more to answer; true once there is nothing.
    pub(crate) fn drain_input_and_check_done(&mut self) -> bool {
        if !self.halted {
            self.accept_viewers();
            for connection_id in self.state.connections.ids() {
                self.handle_connection(connection_id);
            }
            self.end_turn();
        }
        self.is_done()
    }

    /// What is still open is answered, as the end comes before its time.
    pub(crate) fn expire_pending_and_halt(&mut self) {
        self.drain_input_and_check_done();
        self.dispatcher.expire_pending(self.state.now(), &mut self.state);
        self.report_finished_allocations();
        self.halted = true;
    }
}
