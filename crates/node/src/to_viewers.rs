//! What is written to viewers: final answers, and the ends of sessions that stood.

use crate::floor::{Floor, OWED, OWED_MOST, Role, Told, UNREAD};
use pulleystair_connections::ConnectionId;
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use std::net::IpAddr;
use tracing::debug;

impl Floor {
    /// Writes on a viewer's line; one that does not read is closed.
    pub(crate) fn write_viewer(&mut self, key: ConnectionId, bytes: &[u8]) {
        let Some(line) = self.lines.get_mut(key) else { return };
        line.write(bytes);
        line.flush();
        if line.closed || line.pending() > UNREAD {
            line.closed = true;
            self.again.push_back(key);
        }
    }

    /// The final answer of a play that does not run.
    pub(crate) fn turn_away(&mut self, play: u64, cause: u8, pause: f64) {
        let Some(session) = self.sessions.remove(&play) else { return };
        self.answered(session.viewer, play);
        self.tell_release(session.viewer, play, cause, pause);
    }

    /// A refusal, a failure or the end of what stood, under an id that need not have been taken.
    pub(crate) fn tell_release(&mut self, key: ConnectionId, play: u64, cause: u8, pause: f64) {
        let pause = format!("{}", pause.ceil().max(0.0));
        let mut parameters: Vec<(u8, &[u8])> = vec![(code::CAUSE, std::slice::from_ref(&cause))];
        if pause != "0" {
            parameters.push((code::RETRY_AFTER, pause.as_bytes()));
        }
        if let Some(bytes) = protocol::encode(kind::RELEASE, play, &parameters) {
            self.write_viewer(key, &bytes);
        }
    }

    /// A set-up has its answer, or needs none any more.
    pub(crate) fn answered(&mut self, key: ConnectionId, play: u64) {
        self.deciding = self.deciding.saturating_sub(1);
        if let Some(viewer) = self.viewer(key) {
            viewer.open.retain(|p| *p != play);
        }
    }

    /// What has stood is over: its viewer is told, on its own connection or on another, now or as soon as there is one.
    pub(crate) fn release(&mut self, play: u64, viewer: ConnectionId, from: Option<IpAddr>, cause: u8) {
        let since = self.now();
        self.tell_end(Told { play, cause, from, since, written: since }, viewer);
    }

    /// Tells an end that is owed since then, until whoever is owed it must have heard of it otherwise.
    pub(crate) fn tell_end(&mut self, it: Told, viewer: ConnectionId) {
        if self.now() - it.since >= OWED {
            return;
        }
        let key = if self.is_there(viewer) { Some(viewer) } else { self.way_to(it.from) };
        debug!(target: "play", play = format!("{:016x}", it.play), it.cause, own = key == Some(viewer), waits = key.is_none(), "over");
        match key {
            Some(key) => self.write_end(key, it),
            None if self.owed.len() < OWED_MOST => self.owed.push_back(it),
            None => {}
        }
    }

    /// Writes an end on this connection; it is kept in mind, as the connection may end before it has brought it.
    fn write_end(&mut self, key: ConnectionId, mut it: Told) {
        let (play, cause, now) = (it.play, it.cause, self.now());
        it.written = now;
        if let Some(viewer) = self.viewer(key) {
            viewer.told.retain(|told| now - told.since < OWED);
            viewer.told.push(it);
        }
        self.tell_release(key, play, cause, 0.0);
    }

    /// The latest connection on which a viewer of that address has asked for something, else of any.
    fn way_to(&mut self, from: Option<IpAddr>) -> Option<ConnectionId> {
        let mut other = None;
        for key in self.viewers.clone().into_iter().rev() {
            let Some(line) = self.lines.get_mut(key) else { continue };
            let asks = matches!(&line.role, Role::Viewer(viewer) if viewer.proven);
            let own = line.peer_ip() == from;
            if !asks || !own && other.is_some() || !self.is_there(key) {
                continue;
            }
            if own {
                return Some(key);
            }
            other = Some(key);
        }
        other
    }

    /// A viewer's connection has proven to be one: what is owed goes out on it.
    pub(crate) fn pay(&mut self, key: ConnectionId) {
        let now = self.now();
        for it in std::mem::take(&mut self.owed) {
            debug!(target: "play", play = format!("{:016x}", it.play), waited = now - it.since, "release that waited");
            if now - it.since < OWED {
                self.write_end(key, it);
            }
        }
    }
}
