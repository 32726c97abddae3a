//! What the node does for the dispatcher: starts and withdraws attempts, changes rungs, sends probes and
//! writes final answers.

use crate::state::{Attempt, AttemptEnd, CAUSE_DECLINED, CAUSE_FAILED, NodeState, Timer};
use pulleystair::Outcome;
use pulleystair_dispatcher::Actions;

impl Actions for NodeState {
    /// The set-up is sent at the end of the turn, after the viewer's connection was read.
    fn send(&mut self, play: u64, server_number: u32, rung: usize, timeout: f64) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&play) else { return };
        session.attempts += 1;
        (session.server_number, session.phase_started_at, session.attempt_deadline) =
            (Some(server_number), now, now + timeout);
        (session.rung, session.rung_sent) = (rung, rung);
        let number = session.attempts;
        self.schedule(now + timeout, Timer::AttemptDeadline(play, number));
        self.outgoing_attempts.push_back(Attempt { play, number });
    }

    /// Ends the play's session at its server or abandons its attempt, and queues the outcome.
    fn withdraw(&mut self, play: u64) {
        let Some(session) = self.sessions.get(&play) else { return };
        let Some(server_number) = session.server_number else { return };
        let mut outcome = Outcome::Withdrawn;
        if session.is_playing {
            let (preferred, cause) = (session.server_connection_id, session.release_cause);
            self.tear_down_on_server(server_number, preferred, play, cause);
        } else if self.abandon_attempt(play) {
            outcome = Outcome::NeverSent;
        }
        self.unreported_ends.push_back(AttemptEnd { play, server_number, outcome });
    }

    /// Records the rung and sends it to the server if the session plays.
    fn set_rung(&mut self, play: u64, rung: usize) {
        if let Some(session) = self.sessions.get_mut(&play) {
            session.rung = rung;
        }
        self.send_rung(play);
    }

    /// Requests a load report from a server, if a connection to it can be had.
    fn probe(&mut self, server_number: u32) {
        self.stats.probes += 1;
        let Some(connection_id) = self.connection_to(server_number, false) else { return };
        self.request_load_report(connection_id);
    }

    /// Answers that the play is declined. The viewer may try again after `retry_after` ms.
    fn decline(&mut self, play: u64, retry_after: f64) {
        self.stats.declined += 1;
        self.reject_play(play, CAUSE_DECLINED, retry_after);
    }

    /// Answers that the play has failed.
    fn fail(&mut self, play: u64) {
        self.stats.failed += 1;
        self.reject_play(play, CAUSE_FAILED, 0.0);
    }

    /// Sets a timer of the dispatcher, which fires after `delay` ms.
    fn set_timer(&mut self, timer: u32, delay: f64) {
        let due_at = self.now() + delay;
        if let Some(outdated) = self.dispatcher_timers.insert(timer, due_at) {
            self.cancel_timer(outdated, Timer::Dispatcher(timer));
        }
        self.schedule(due_at, Timer::Dispatcher(timer));
    }

    /// Does nothing, because the node queries the list regularly anyway.
    fn watch_list(&mut self) {}
}
