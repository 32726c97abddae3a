//! Attempts to set sessions up: how they begin, and how one that was out has ended without a session that stands.
//!
//! What has come from a viewer decides before anything is begun for it: a viewer that has closed its connection or given its set-up
//! up by the time at which the attempt would begin has none made. So the desk's sends wait for the end of the turn, and there each
//! viewer's connection is read to its end first. A connection that brings more than one turn takes holds its own attempts back, and
//! those alone, until it is read. The time between that look and the set-up's bytes is that of one write.

use crate::floor::{Attempt, News};
use crate::node::Node;
use pulleystair::{LoadMetric, Outcome, Standing};
use pulleystair_connections::ConnectionId;
use tracing::debug;

impl Node {
    /// Carries out what the desk wants sent; true if there was anything.
    pub(crate) fn send_out(&mut self) -> bool {
        let mut any = false;
        while let Some(it) = self.floor.outgoing.pop_front() {
            any = true;
            self.begin(it);
            self.settle();
        }
        any
    }

    /// Attempts whose viewers' connections were read only in part are looked at again in the next turn.
    pub(crate) fn take_up_held(&mut self) {
        let held = std::mem::take(&mut self.floor.held);
        self.floor.outgoing.extend(held);
    }

    fn begin(&mut self, it: Attempt) {
        let Some((_, viewer)) = self.floor.to_begin(&it) else { return };
        if !self.viewer_ready(viewer) {
            return self.floor.held.push(it);
        }
        let Some((server, _)) = self.floor.to_begin(&it) else {
            return debug!(target: "play", play = format!("{:016x}", it.session), "its viewer has gone: not sent");
        };
        let (play, standing) = (it.session, self.floor.servers.get(&server).map(|s| s.listing.standing));
        let outcome = if standing != Some(Standing::Ready) {
            Outcome::NeverSent
        } else if !self.floor.begin(&it, server) {
            Outcome::Unreachable
        } else {
            self.floor.sums.sent += 1;
            return;
        };
        self.floor.news.push_back(News { play, server, outcome });
    }

    /// What waited for its connection is about to go out, now that it is up: a set-up whose viewer has gone by now, or whose time
    /// is over, does not.
    pub(crate) fn look_before_sending(&mut self, key: ConnectionId) {
        for play in self.floor.unsent(key) {
            if let Some(session) = self.floor.sessions.get(&play) {
                self.viewer_ready(session.viewer);
            }
            let now = self.floor.now();
            if let Some(session) = self.floor.sessions.get(&play).filter(|session| session.until <= now) {
                self.time_out(play, session.attempts);
            }
        }
    }

    /// An attempt has had its time.
    pub(crate) fn time_out(&mut self, play: u64, number: u32) {
        let out = |node: &Node| {
            let session = node.floor.sessions.get(&play)?;
            let out = session.attempts == number && !session.playing;
            Some((session.server.filter(|_| out)?, session.line))
        };
        // What its server has said by now, or that it has closed, decides; to what has not left it can't have said anything.
        if let Some((_, Some(key))) = out(self)
            && !self.floor.unsent(key).contains(&play)
        {
            self.wire_ready(key);
        }
        let Some((server, line)) = out(self) else { return };
        let since = self.floor.sessions.get(&play).map_or(0.0, |session| session.since);
        if let Some(wire) = line.and_then(|key| self.floor.wire(key)) {
            // Not up by now, or silent since this set-up went out: it may never speak.
            wire.tired |= !wire.up || wire.heard < since;
        }
        let unsent = self.floor.give_up(play);
        let waited = self.floor.now() - since;
        debug!(target: "play", play = format!("{play:016x}"), server = self.floor.id_of(server), waited, unsent, "timed out");
        let outcome = match (unsent, line) {
            (false, _) => Outcome::TimedOut,
            (true, Some(_)) => Outcome::Unreachable,
            (true, None) => Outcome::NeverSent,
        };
        self.attempt_ended(play, server, outcome, &[]);
        self.settle();
    }

    /// An attempt that was out has ended without a session that stands.
    pub(crate) fn attempt_ended(&mut self, play: u64, server: u32, outcome: Outcome, load: &[LoadMetric]) {
        let now = self.floor.now();
        if let Some(session) = self.floor.sessions.get_mut(&play).filter(|s| s.server == Some(server)) {
            let key = session.line.take();
            session.server = None;
            let waited = now - session.since;
            if let Some(key) = key {
                self.floor.no_more_open(key, play);
            }
            debug!(target: "play", play = format!("{play:016x}"), server = self.floor.id_of(server), ?outcome, waited, "attempt ended");
        }
        self.desk.on_allocation_ended(now, play, server, outcome, false, load, &mut self.floor);
        if self.desk.play(play).is_none() {
            self.floor.sessions.remove(&play);
        }
    }

    pub(crate) fn settle(&mut self) {
        while let Some(News { play, server, outcome }) = self.floor.news.pop_front() {
            self.attempt_ended(play, server, outcome, &[]);
        }
    }
}
