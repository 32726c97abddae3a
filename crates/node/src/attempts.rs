//! Attempts to set up a session at a server: how they start, time out and end.
//!
//! All input from a viewer is handled before an attempt starts for it, so that no attempt is made for a
//! viewer that has closed its connection or given up its set-up by then. Therefore the attempts that the
//! dispatcher requests wait until the end of the turn, and each viewer's connection is first read until it is
//! empty. A connection with more input than one turn handles delays its own attempts, and only those, until
//! all of it is read. Nothing else runs between that read and the queueing of the set-up.

use crate::node::Node;
use crate::state::{Attempt, AttemptEnd, Timer};
use pulleystair::{LoadMetric, Outcome, Standing};
use pulleystair_connections::ConnectionId;
use tracing::debug;

impl Node {
    /// Starts the queued attempts. Returns true if there were any.
    pub(crate) fn start_outgoing_attempts(&mut self) -> bool {
        let mut has_started = false;
        while let Some(attempt) = self.state.outgoing_attempts.pop_front() {
            has_started = true;
            self.start_attempt(attempt);
            self.report_ends();
        }
        has_started
    }

    /// Queues the attempts again whose viewers' connections were read only in part in the last turn.
    pub(crate) fn requeue_held_attempts(&mut self) {
        let held = std::mem::take(&mut self.state.held_attempts);
        self.state.outgoing_attempts.extend(held);
    }

    /// Handles the viewer's input, then sends the set-up of one attempt if the viewer still waits for it.
    /// Holds the attempt if input is left. Queues the attempt's end if the server is not ready or has no
    /// connection.
    fn start_attempt(&mut self, attempt: Attempt) {
        let Some((_, viewer_connection_id)) = self.state.startable_attempt(&attempt) else { return };
        if !self.handle_viewer_connection(viewer_connection_id) {
            return self.state.held_attempts.push(attempt);
        }
        let Some((server_number, _)) = self.state.startable_attempt(&attempt) else {
            return debug!(target: "play", play = format!("{:016x}", attempt.play), "set-up not sent: its viewer no longer waits for it");
        };
        let (play, standing) =
            (attempt.play, self.state.servers.get(&server_number).map(|s| s.listing.standing));
        let outcome = if standing != Some(Standing::Ready) {
            Outcome::NeverSent
        } else if !self.state.send_set_up(&attempt, server_number) {
            Outcome::Unreachable
        } else {
            self.state.stats.sent += 1;
            return;
        };
        self.state.unreported_ends.push_back(AttemptEnd { play, server_number, outcome });
    }

    /// Holds a play's attempt, whose set-up was queued and cancelled, until its viewer's input is read.
    fn hold_attempt(&mut self, play: u64) {
        let Some(session) = self.state.sessions.get_mut(&play) else { return };
        session.server_connection_id = None;
        let number = session.attempts;
        self.state.held_attempts.push(Attempt { play, number });
    }

    /// Checks the set-ups that are queued on a connection and about to be sent. A set-up is dropped if its
    /// viewer no longer waits for it or its deadline has passed, and held if the viewer's input was read only in
    /// part.
    pub(crate) fn recheck_unsent_set_ups(&mut self, connection_id: ConnectionId) {
        for play in self.state.unsent_set_ups(connection_id) {
            if let Some(session) = self.state.sessions.get(&play)
                && !self.handle_viewer_connection(session.viewer_connection_id)
                && self.state.cancel_unsent_set_up(connection_id, play)
            {
                self.hold_attempt(play);
                continue;
            }
            let now = self.state.now();
            if let Some(session) =
                self.state.sessions.get(&play).filter(|session| session.attempt_deadline <= now)
            {
                self.on_attempt_deadline(play, session.attempts);
            }
        }
    }

    /// Ends the attempt with this number, whose deadline has passed, unless it ended before.
    pub(crate) fn on_attempt_deadline(&mut self, play: u64, number: u32) {
        let pending_attempt = |node: &Node| {
            let session = node.state.sessions.get(&play)?;
            let is_pending = session.attempts == number && !session.is_playing;
            Some((session.server_number.filter(|_| is_pending)?, session.server_connection_id))
        };
        // A response or a close that has already arrived decides the outcome. A set-up that was not sent
        // cannot have a response.
        if let Some((_, Some(connection_id))) = pending_attempt(self)
            && !self.state.unsent_set_ups(connection_id).contains(&play)
        {
            self.handle_server_connection(connection_id);
        }
        let Some((server_number, connection_id)) = pending_attempt(self) else { return };
        let phase_started_at = self.state.sessions.get(&play).map_or(0.0, |session| session.phase_started_at);
        if let Some(connection) =
            connection_id.and_then(|connection_id| self.state.server_connection(connection_id))
        {
            // The connection is not established by now, or has been silent since this set-up was sent, so the
            // server may never respond on it.
            connection.is_unresponsive |=
                !connection.is_established() || connection.last_heard_at < phase_started_at;
        }
        let unsent = self.state.abandon_attempt(play);
        let waited = self.state.now() - phase_started_at;
        debug!(target: "play", play = format!("{play:016x}"), server = self.state.server_id(server_number), waited, unsent, "attempt timed out");
        let outcome = match (unsent, connection_id) {
            (false, _) => Outcome::TimedOut,
            (true, Some(_)) => Outcome::Unreachable,
            (true, None) => Outcome::NeverSent,
        };
        self.on_attempt_ended(play, server_number, outcome, &[]);
        self.report_ends();
    }

    /// Records the end of an attempt, or the withdrawal that was queued as an [`AttemptEnd`], and reports it
    /// to the dispatcher. The server's `playing_sessions` is not changed here.
    pub(crate) fn on_attempt_ended(
        &mut self,
        play: u64,
        server_number: u32,
        outcome: Outcome,
        load: &[LoadMetric],
    ) {
        let now = self.state.now();
        if let Some(session) =
            self.state.sessions.get_mut(&play).filter(|s| s.server_number == Some(server_number))
        {
            let connection_id = session.server_connection_id.take();
            session.server_number = None;
            let (deadline, number) = (session.attempt_deadline, session.attempts);
            session.earlier_connections.extend(connection_id);
            if outcome.may_have_run() {
                session.may_have_run.get_or_insert((server_number, session.phase_started_at));
            }
            let waited = now - session.phase_started_at;
            self.state.cancel_timer(deadline, Timer::AttemptDeadline(play, number));
            if let Some(connection_id) = connection_id {
                self.state.remove_pending_set_up(connection_id, play);
            }
            debug!(target: "play", play = format!("{play:016x}"), server = self.state.server_id(server_number), ?outcome, waited, "attempt ended");
        }
        self.dispatcher.on_allocation_ended(now, play, server_number, outcome, false, load, &mut self.state);
        if self.dispatcher.play(play).is_none() {
            self.state.remove_session(play);
        }
    }

    /// Reports the queued ends to the dispatcher.
    pub(crate) fn report_ends(&mut self) {
        while let Some(AttemptEnd { play, server_number, outcome }) = self.state.unreported_ends.pop_front() {
            self.on_attempt_ended(play, server_number, outcome, &[]);
        }
    }
}
