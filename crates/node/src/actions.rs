//! What the desk has done: attempts, withdrawals, steps, probes and final answers.

use crate::state::{AllocationEnd, Attempt, CAUSE_FAILED, CAUSE_REFUSED, CSEQ_PROBE, NodeState, Timer};
use pulleystair::Outcome;
use pulleystair_dispatcher::Actions;
use pulleystair_rtsp as rtsp;

impl Actions for NodeState {
    /// It goes out at the end of the turn, once its viewer's connection was looked at.
    fn send(&mut self, play: u64, server: u32, rung: usize, timeout: f64) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&play) else { return };
        session.attempts += 1;
        (session.server, session.since, session.attempt_deadline) = (Some(server), now, now + timeout);
        (session.rung, session.rung_sent) = (rung, rung);
        let number = session.attempts;
        self.schedule(now + timeout, Timer::AttemptDeadline(play, number));
        self.outgoing_attempts.push_back(Attempt { session: play, number });
    }

    fn withdraw(&mut self, play: u64) {
        let Some(session) = self.sessions.get(&play) else { return };
        let Some(server) = session.server else { return };
        let mut outcome = Outcome::Withdrawn;
        if session.is_playing {
            let (preferred, cause) = (session.server_connection, session.release_cause);
            self.release_on_server(server, preferred, play, cause);
        } else if self.abandon_attempt(play) {
            outcome = Outcome::NeverSent;
        }
        self.finished_allocations.push_back(AllocationEnd { play, server, outcome });
    }

    fn set_rung(&mut self, play: u64, rung: usize) {
        if let Some(session) = self.sessions.get_mut(&play) {
            session.rung = rung;
        }
        self.send_rung(play);
    }

    fn probe(&mut self, server: u32) {
        self.stats.probes += 1;
        let Some(connection_id) = self.connection_to(server, false) else { return };
        let id = self.rng.rand_u64();
        let bytes = rtsp::request("OPTIONS", "load", CSEQ_PROBE, id, &[], b"");
        self.write_to_server(connection_id, &bytes);
    }

    fn decline(&mut self, play: u64, retry_after: f64) {
        self.stats.declined += 1;
        self.reject_play(play, CAUSE_REFUSED, retry_after);
    }

    fn fail(&mut self, play: u64) {
        self.stats.failed += 1;
        self.reject_play(play, CAUSE_FAILED, 0.0);
    }

    fn set_timer(&mut self, timer: u32, delay: f64) {
        let due_at = self.now() + delay;
        self.schedule(due_at, Timer::Dispatcher(timer));
    }

    /// The list is asked for all the time.
    fn watch_list(&mut self) {}
}
