//! The stop of a front: no new plays, then the end of those that are open.

use crate::edge::Edge;
use crate::state::Timer;
use tracing::{info, warn};

impl Edge {
    /// A signal to stop was received: no new plays are accepted from now on, and the open ones may run on for
    /// `stop_ms`. A second such signal ends the process at once.
    pub(crate) fn begin_stop(&mut self) {
        if self.state.is_stopping {
            warn!(target: "front", "second signal received: stopping at once");
            self.state.is_halted = true;
            return;
        }
        let state = &mut self.state;
        state.is_stopping = true;
        let stop_ms = state.config.limits.stop_ms;
        info!(target: "front", held = state.sessions.open_plays().len(), stop_ms, "stopping: no new plays");
        state.schedule(state.now() + stop_ms, Timer::StopDeadline);
    }

    /// Ends every open play of a stopping front: queued ones with 503, undecided ones as the dispatcher decides,
    /// running ones as ended.
    pub(crate) fn end_all_plays(&mut self) {
        for play in self.state.sessions.open_plays() {
            if self.state.admission_queue.remove(play) {
                let answer = self.state.retry_later_answer("this front has stopped");
                self.state.end_play(play, "front stopped", answer);
            }
        }
        self.dispatcher.expire_unanswered(self.state.now(), &mut self.state);
        self.process_pending();
        for play in self.state.sessions.open_plays() {
            self.end_running_play(play, "front stopped");
            self.process_pending();
        }
    }
}
