//! Attempts to set sessions up: how they begin, and how one that was out has ended without a session that stands.
//!
//! What has come from a viewer decides before anything is begun for it: a viewer that has closed its connection or given its set-up
//! up by the time at which the attempt would begin has none made. So the desk's sends wait for the end of the turn, and there each
//! viewer's connection is read to its end first. A connection that brings more than one turn takes holds its own attempts back, and
//! those alone, until it is read. The time between that look and the set-up's bytes is that of one write.

use crate::node::Node;
use crate::state::{AllocationEnd, Attempt};
use pulleystair::{LoadMetric, Outcome, Standing};
use pulleystair_connections::ConnectionId;
use tracing::debug;

impl Node {
    /// Carries out what the desk wants sent; true if there was anything.
    pub(crate) fn start_outgoing_attempts(&mut self) -> bool {
        let mut has_started = false;
        while let Some(attempt) = self.state.outgoing_attempts.pop_front() {
            has_started = true;
            self.start_attempt(attempt);
            self.report_finished_allocations();
        }
        has_started
    }

    /// Attempts whose viewers' connections were read only in part are looked at again in the next turn.
    pub(crate) fn requeue_held_attempts(&mut self) {
        let held = std::mem::take(&mut self.state.held_attempts);
        self.state.outgoing_attempts.extend(held);
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        let Some((_, viewer_connection)) = self.state.startable_attempt(&attempt) else { return };
        if !self.handle_viewer_connection(viewer_connection) {
            return self.state.held_attempts.push(attempt);
        }
        let Some((server, _)) = self.state.startable_attempt(&attempt) else {
            return debug!(target: "play", play = format!("{:016x}", attempt.session), "its viewer has gone: not sent");
        };
        let (play, standing) = (attempt.session, self.state.servers.get(&server).map(|s| s.listing.standing));
        let outcome = if standing != Some(Standing::Ready) {
            Outcome::NeverSent
        } else if !self.state.send_set_up(&attempt, server) {
            Outcome::Unreachable
        } else {
            self.state.stats.sent += 1;
            return;
        };
        self.state.finished_allocations.push_back(AllocationEnd { play, server, outcome });
    }

    /// What waited for its connection is about to go out, now that it is up: a set-up whose viewer has gone by now, or whose time
    /// is over, does not.
    pub(crate) fn recheck_unsent_set_ups(&mut self, connection_id: ConnectionId) {
        for play in self.state.unsent_set_ups(connection_id) {
            if let Some(session) = self.state.sessions.get(&play) {
                self.handle_viewer_connection(session.viewer_connection);
            }
            let now = self.state.now();
            if let Some(session) =
                self.state.sessions.get(&play).filter(|session| session.attempt_deadline <= now)
            {
                self.on_attempt_deadline(play, session.attempts);
            }
        }
    }

    /// An attempt has had its time.
    pub(crate) fn on_attempt_deadline(&mut self, play: u64, number: u32) {
        let pending_attempt = |node: &Node| {
            let session = node.state.sessions.get(&play)?;
            let is_pending = session.attempts == number && !session.is_playing;
            Some((session.server.filter(|_| is_pending)?, session.server_connection))
        };
        // What its server has said by now, or that it has closed, decides; to what has not left it can't have said anything.
        if let Some((_, Some(connection_id))) = pending_attempt(self)
            && !self.state.unsent_set_ups(connection_id).contains(&play)
        {
            self.handle_server_connection(connection_id);
        }
        let Some((server, connection_id)) = pending_attempt(self) else { return };
        let since = self.state.sessions.get(&play).map_or(0.0, |session| session.since);
        if let Some(connection) =
            connection_id.and_then(|connection_id| self.state.server_connection(connection_id))
        {
            // Not up by now, or silent since this set-up went out: it may never speak.
            connection.is_unresponsive |= !connection.is_up || connection.last_heard_at < since;
        }
        let unsent = self.state.abandon_attempt(play);
        let waited = self.state.now() - since;
        debug!(target: "play", play = format!("{play:016x}"), server = self.state.server_id(server), waited, unsent, "timed out");
        let outcome = match (unsent, connection_id) {
            (false, _) => Outcome::TimedOut,
            (true, Some(_)) => Outcome::Unreachable,
            (true, None) => Outcome::NeverSent,
        };
        self.on_attempt_ended(play, server, outcome, &[]);
        self.report_finished_allocations();
    }

    /// An attempt that was out has ended without a session that stands.
    pub(crate) fn on_attempt_ended(&mut self, play: u64, server: u32, outcome: Outcome, load: &[LoadMetric]) {
        let now = self.state.now();
        if let Some(session) = self.state.sessions.get_mut(&play).filter(|s| s.server == Some(server)) {
            let connection_id = session.server_connection.take();
            session.server = None;
            let waited = now - session.since;
            if let Some(connection_id) = connection_id {
                self.state.remove_pending_set_up(connection_id, play);
            }
            debug!(target: "play", play = format!("{play:016x}"), server = self.state.server_id(server), ?outcome, waited, "attempt ended");
        }
        self.dispatcher.on_allocation_ended(now, play, server, outcome, false, load, &mut self.state);
        if self.dispatcher.play(play).is_none() {
            self.state.sessions.remove(&play);
        }
    }

    pub(crate) fn report_finished_allocations(&mut self) {
        while let Some(AllocationEnd { play, server, outcome }) = self.state.finished_allocations.pop_front()
        {
            self.on_attempt_ended(play, server, outcome, &[]);
        }
    }
}
