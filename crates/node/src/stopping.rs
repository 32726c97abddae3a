//! The shutdown of a node: after SIGTERM it still accepts connections for a short time, answers all set-ups
//! that it has accepted, and ends at a fixed deadline at the latest.

use crate::node::Node;
use crate::shares::RETRY_DELAY_MS;
use crate::state::Timer;
use tracing::{info, warn};

/// How long connections are accepted after SIGTERM, ms. New ones keep arriving for 0.6 s after the signal.
const ACCEPT_AFTER_STOP_MS: f64 = 900.0;
/// A node is killed at the earliest `STOP_MARGIN_MS` plus the longest time limit after SIGTERM, where a time
/// limit counts as `MAX_STOP_TIME_LIMIT_MS` at most. By then the node has answered everything that is
/// pending. Both in ms.
const MAX_STOP_TIME_LIMIT_MS: f64 = 3_000.0;
const STOP_MARGIN_MS: f64 = 600.0;
/// How many turns' worth of a connection's input is handled at the deadline.
const MAX_TURNS_AT_DEADLINE: usize = 1_000;

impl Node {
    /// Starts the shutdown. No new connections are accepted once the listener is closed. A second signal
    /// changes nothing: the set-ups accepted so far still get their answers, and the deadline is fixed.
    pub(crate) fn stop(&mut self) {
        if self.state.stopping_since.is_some() {
            return warn!(target: "node", "told to stop again: the node is already stopping");
        }
        let now = self.state.now();
        self.state.stopping_since = Some(now);
        info!(target: "node", open = self.state.pending_set_up_count, standing = self.state.sessions.len(), "stopping");
        let stop_at = now + self.state.limits.max_time_limit.min(MAX_STOP_TIME_LIMIT_MS) + STOP_MARGIN_MS;
        self.state.schedule(stop_at, Timer::StopDeadline);
        self.state.schedule(now + ACCEPT_AFTER_STOP_MS, Timer::CloseListener);
    }

    /// Closes the listener once no connection waits in its backlog. The kernel has accepted those
    /// connections, so they count as accepted by the node.
    pub(crate) fn close_listener(&mut self) {
        if !self.accept_viewers() {
            let now = self.state.now();
            return self.state.schedule(now + RETRY_DELAY_MS, Timer::CloseListener);
        }
        if let Some((registration, _)) = self.state.listener.take() {
            self.state.loop_handle.remove(registration);
        }
    }

    /// Whether the node was told to stop and has nothing left to do: no set-up to answer, no incomplete
    /// message from a viewer, and no notice to a server that a session has ended.
    pub(crate) fn is_done(&mut self) -> bool {
        if self.is_halted || self.state.stopping_since.is_none() {
            return self.is_halted;
        }
        let state = &mut self.state;
        let has_partial_message = state.viewer_connections.iter().any(|connection_id| {
            state.connections.get_mut(*connection_id).is_some_and(|c| !c.input.is_empty())
        });
        let has_open_work = state.listener.is_some()
            || state.pending_set_up_count > 0
            || has_partial_message
            || !state.revisit_queue.is_empty()
            || !state.pending_teardowns.is_empty()
            || state.connections.any_unsent_bytes(|_| true);
        !has_open_work
    }

    /// Handles all input that has arrived, which may add work. Returns true if nothing is left to do.
    pub(crate) fn drain_input_and_check_done(&mut self) -> bool {
        if !self.is_halted {
            self.accept_viewers();
            for connection_id in self.state.connections.ids() {
                self.handle_connection(connection_id);
            }
            self.end_turn();
        }
        self.is_done()
    }

    /// Answers everything that is pending, because the deadline has come, and ends the loop.
    pub(crate) fn expire_pending_and_halt(&mut self) {
        for _ in 0..MAX_TURNS_AT_DEADLINE {
            self.state.turn += 1;
            let connections_left = self.state.revisit_queue.len();
            for _ in 0..connections_left {
                self.state.revisit_queue.pop();
            }
            self.drain_input_and_check_done();
            if self.state.revisit_queue.is_empty() {
                break;
            }
        }
        self.dispatcher.expire_unanswered(self.state.now(), &mut self.state);
        self.report_ends();
        self.is_halted = true;
    }
}
