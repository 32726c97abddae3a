//! What comes from viewers: set-ups, what gives them up, the ends of sessions, and tests.

use crate::asked::{Asked, session};
use crate::ended::Word;
use crate::floor::{BUSY, Clock, READ, Role, UNUSABLE, Viewer, WITHDRAWN};
use crate::node::Node;
use crate::shares::{SOON, lacks};
use pulleystair_connections::ConnectionId;
use pulleystair_viewer_protocol::{Message, code, kind};
use std::collections::HashSet;
use tracing::debug;

/// Messages taken off a line in one turn.
const TURN: usize = 64;
/// A connection that has brought nothing usable by then is closed, ms. Such a viewer is owed an end within 3 s.
const SILENT: f64 = 2_400.0;
/// Set-ups that a connection may have open, and all together.
const OPEN_EACH: usize = 48;
const OPEN_MOST: usize = 1_024;
/// Connections beyond those that there may be, on which set-ups are turned away; the reserve of descriptors bears them.
const SPARE: usize = 8;
/// What crosses the close of a connection does so by this at most, ms: the page's time for a set-up that does.
const CROSSING: f64 = 50.0;
/// So many turned away on one connection close it.
const TURNED: usize = 256;

impl Node {
    /// Takes whoever waits at the door; false if there was no descriptor for some.
    pub(crate) fn accept(&mut self) -> bool {
        let Some(listener) = self.floor.door.as_ref().map(|door| door.1.clone()) else { return true };
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => continue,
                // Out of descriptors: whoever waits gets the place of one that has brought nothing.
                Err(e) if lacks(&e) && self.make_room() => continue,
                Err(e) if lacks(&e) => {
                    self.rest_door();
                    return false;
                }
                Err(_) => return true,
            };
            // With set-ups open on all, some more are let in to be told so.
            let most = self.floor.shares.viewers;
            if self.floor.viewers.len() >= most
                && !self.make_room()
                && self.floor.viewers.len() >= most + SPARE
            {
                drop(stream);
                continue;
            }
            let now = self.floor.now();
            let viewer = Viewer { came: now, proven: false, open: Vec::new(), turned: 0, told: Vec::new() };
            let Ok(key) = self.floor.lines.open(stream, None, Role::Viewer(viewer)) else { continue };
            self.floor.viewers.push_back(key);
            debug!(target: "viewer", key, viewers = self.floor.viewers.len(), "connected");
            if let Some(line) = self.floor.lines.get_mut(key) {
                line.deadline = now + SILENT;
            }
            self.floor.clock(now + SILENT, Clock::Line(key));
        }
    }

    /// With no descriptor for whoever waits at the door, it would be ready at once, again and again; it is left for a moment.
    fn rest_door(&mut self) {
        if let Some((door, _)) = &self.floor.door {
            let _ = self.floor.handle.disable(door);
            let now = self.floor.now();
            self.floor.clock(now + SOON, Clock::Accept);
        }
    }

    pub(crate) fn open_door(&mut self) {
        if let Some((door, _)) = &self.floor.door {
            let _ = self.floor.handle.enable(door);
        }
    }

    /// Closes the oldest connection that has brought nothing, else the oldest with no open set-up; those on which sessions
    /// stand come last, as their viewers hear of the end there. What has come by now is taken first.
    pub(crate) fn make_room(&mut self) -> bool {
        let floor = &mut self.floor;
        let holds: HashSet<ConnectionId> =
            floor.sessions.values().filter(|s| s.playing).map(|s| s.viewer).collect();
        let mut idle: Vec<(bool, bool, ConnectionId)> = Vec::new();
        for key in floor.viewers.clone() {
            if let Some(viewer) = floor.viewer(key).filter(|viewer| viewer.open.is_empty()) {
                idle.push((viewer.proven, holds.contains(&key), key));
            }
        }
        // Those alike stay in the order in which they came.
        idle.sort_by_key(|it| (it.0, it.1));
        for (_, _, key) in idle {
            self.viewer_ready(key);
            if self.floor.viewer(key).is_none_or(|viewer| viewer.open.is_empty()) {
                self.floor.sums.evicted += 1;
                self.viewer_gone(key);
                return true;
            }
        }
        false
    }

    /// A viewer's connection is at its end: what it had open is given up, and ends of sessions that it has not brought are owed.
    pub(crate) fn viewer_gone(&mut self, key: ConnectionId) {
        self.give_up_all(key);
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        let unread = line.broken() || line.pending() > 0;
        let Some(Role::Viewer(viewer)) = self.floor.lines.close(key) else { return };
        self.floor.viewers.retain(|k| *k != key);
        debug!(target: "viewer", key, proven = viewer.proven, unread, viewers = self.floor.viewers.len(), "gone");
        for it in viewer.told.into_iter().filter(|_| unread) {
            self.floor.tell_end(it, key);
        }
    }

    /// Its viewer has closed a connection. The end of a session that was told on it just now may have crossed that: then the viewer's
    /// machine breaks the connection off when it comes there, which is waited for.
    fn viewer_closed(&mut self, key: ConnectionId) {
        let now = self.floor.now();
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        let broken = line.broken();
        let Role::Viewer(viewer) = &line.role else { return };
        let crosses = viewer.told.iter().map(|it| it.written + CROSSING).fold(now, f64::max);
        if broken || crosses <= now {
            return self.viewer_gone(key);
        }
        line.deadline = crosses;
        self.floor.clock(crosses, Clock::Line(key));
        self.give_up_all(key);
    }

    /// No set-up that is open on a viewer's connection is waited for any more.
    fn give_up_all(&mut self, key: ConnectionId) {
        let open = self.floor.viewer(key).map(|viewer| std::mem::take(&mut viewer.open));
        for play in open.unwrap_or_default() {
            self.gave_up(play);
        }
        self.settle();
    }

    /// An open set-up is not waited for any more.
    fn gave_up(&mut self, play: u64) {
        let Some(session) = self.floor.sessions.get(&play) else { return };
        let (key, server) = (session.viewer, session.server);
        self.floor.answered(key, play);
        self.desk.on_viewer_left(play, &mut self.floor);
        // One that is out is forgotten with the outcome that the desk is still told.
        if server.is_none() {
            self.floor.sessions.remove(&play);
        }
    }

    /// Takes what has come; false if that was more than a turn takes, and there may be more.
    pub(crate) fn viewer_ready(&mut self, key: ConnectionId) -> bool {
        for _ in 0..TURN {
            let Some(line) = self.floor.lines.get_mut(key) else { return true };
            line.flush();
            let came = line.read(READ);
            let ended = line.closed;
            if !line.input.is_empty() {
                let input = std::mem::take(&mut line.input);
                let used = self.messages(key, &input);
                let Some(line) = self.floor.lines.get_mut(key) else { return true };
                let Some(used) = used else {
                    self.viewer_gone(key);
                    return true;
                };
                line.unread(input, used);
            }
            if ended {
                self.viewer_closed(key);
                return true;
            }
            if !came {
                return true;
            }
        }
        self.floor.again.push_back(key);
        false
    }

    /// Takes the whole messages off; none where the connection is to be closed.
    fn messages(&mut self, key: ConnectionId, input: &[u8]) -> Option<usize> {
        let mut used = 0;
        loop {
            match Message::parse(&input[used..]) {
                Ok(None) => return Some(used),
                Err(e) => {
                    debug!(target: "viewer", "closed: {e}");
                    self.floor.sums.unusable += 1;
                    return None;
                }
                Ok(Some((message, n))) => {
                    used += n;
                    if !self.message(key, &message) {
                        return None;
                    }
                    self.settle();
                }
            }
        }
    }

    /// Takes one message; false where the connection is to be closed.
    fn message(&mut self, key: ConnectionId, message: &Message) -> bool {
        let play = message.session;
        match message.kind {
            kind::SET_UP => return self.set_up(key, message),
            kind::RELEASE => {
                let cause = message.cause().unwrap_or(WITHDRAWN);
                let Some(session) = self.floor.sessions.get_mut(&play) else {
                    let now = self.floor.now();
                    self.floor.ended.note(now, play, Word::Viewer(cause));
                    return true;
                };
                if session.playing {
                    session.cause = cause;
                    self.over(play);
                    self.prove(key);
                } else if session.viewer == key {
                    self.gave_up(play);
                }
            }
            kind::MOVE => {
                if self.floor.sessions.get(&play).is_some_and(|s| s.playing) {
                    self.over(play);
                    self.prove(key);
                }
            }
            kind::HEALTH_CHECK => {
                let passed = u8::from(self.floor.stopping.is_none());
                let bytes = pulleystair_viewer_protocol::encode(
                    kind::HEALTH_CHECK_REPLY,
                    play,
                    &[(code::CAUSE, &[passed])],
                );
                self.floor.write_viewer(key, &bytes.unwrap_or_default());
                if let Some(viewer) = self.floor.viewer(key) {
                    viewer.came = f64::INFINITY;
                }
            }
            kind::PROGRESS | kind::ACK | kind::NOTE | kind::RUNG => {}
            _ => return false,
        }
        true
    }

    /// The connection is a viewer's: ends are told on it, and it is not closed for having brought nothing.
    fn prove(&mut self, key: ConnectionId) {
        if self.floor.viewer(key).is_some_and(|viewer| !std::mem::replace(&mut viewer.proven, true)) {
            self.floor.pay(key);
        }
    }

    fn set_up(&mut self, key: ConnectionId, message: &Message) -> bool {
        let play = message.session;
        let now = self.floor.now();
        let known = self.floor.sessions.contains_key(&play);
        let asked = match self.read_set_up(now, message) {
            Ok(asked) => asked,
            Err(cause) => {
                debug!(target: "viewer", play = format!("{play:016x}"), "not usable: {cause}");
                // The id of an open play again: that one keeps its answer.
                if known {
                    return false;
                }
                self.floor.sums.unusable += 1;
                return self.turn_off(key, play, UNUSABLE, 0.0);
            }
        };
        if let Some(at) = asked.at.clone() {
            if !known {
                self.adopt(now, key, play, asked, &at);
            }
            return true;
        }
        if known {
            return false;
        }
        self.floor.sums.asked += 1;
        let Some(line) = self.floor.lines.get_mut(key) else { return true };
        let from = line.peer_ip();
        let Role::Viewer(viewer) = &mut line.role else { return true };
        let crowded = self.floor.viewers.len() > self.floor.shares.viewers;
        if crowded || viewer.open.len() >= OPEN_EACH || self.floor.deciding >= OPEN_MOST {
            self.floor.sums.flooded += 1;
            return self.turn_off(key, play, BUSY, self.floor.terms.stay_away);
        }
        viewer.open.push(play);
        self.floor.deciding += 1;
        let wish = asked.wish;
        self.floor.sessions.insert(play, session(key, from, asked));
        self.prove(key);
        self.desk.add_play(now, play, &wish, &mut self.floor);
        true
    }

    /// Refuses what was not taken; false where that was once too often on this connection.
    fn turn_off(&mut self, key: ConnectionId, play: u64, cause: u8, pause: f64) -> bool {
        self.floor.tell_release(key, play, cause, pause);
        let Some(viewer) = self.floor.viewer(key) else { return true };
        viewer.turned += 1;
        viewer.turned <= TURNED
    }

    /// A session that plays already at that server.
    fn adopt(&mut self, now: f64, key: ConnectionId, play: u64, asked: Asked, at: &str) {
        let server = self.floor.number(at);
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        let from = line.peer_ip();
        // Its viewer keeps the connection while the session stands, to hear of its end.
        self.prove(key);
        match self.floor.ended.of(now, play) {
            None => {}
            // It has ended already, and the word of that came first.
            Some(Word::Server(WITHDRAWN) | Word::Both) => return,
            Some(Word::Server(cause)) => return self.floor.release(play, key, from, cause),
            Some(Word::Viewer(cause)) => return self.floor.cut(server, None, play, cause),
        }
        let wish = asked.wish;
        let mut it = session(key, from, asked);
        (it.server, it.playing, it.since) = (Some(server), true, now);
        self.floor.sessions.insert(play, it);
        if let Some(server) = self.floor.servers.get_mut(&server) {
            server.playing += 1;
            if server.heard == 0.0 {
                server.heard = now;
            }
        }
        self.desk.adopt(now, play, &wish, server, &mut self.floor);
        // A server that knows no connection of this front can't tell of the session.
        let _ = self.floor.any_line(server, false);
    }
}
