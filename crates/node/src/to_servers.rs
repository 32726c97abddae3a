//! What is written to media servers, and the connections to them.

use crate::floor::{
    Attempt, Clock, Cut, Floor, GIVE_UP, OTHER, OWED, OWED_MOST, Open, Role, SET_UP, Server, Wire,
};
use crate::node::LOOK;
use pulleystair_connections::ConnectionId;
use pulleystair_rtsp as rtsp;
use tracing::debug;

impl Floor {
    pub(crate) fn id_of(&self, server: u32) -> &str {
        self.servers.get(&server).map_or("?", |s| s.id.as_str())
    }

    /// The number of a server by its id, a new one for a new id.
    pub(crate) fn number(&mut self, id: &str) -> u32 {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        let number = self.next_server;
        self.next_server = self.next_server.wrapping_add(1);
        self.numbers.insert(id.to_string(), number);
        self.servers.insert(number, Server { id: id.to_string(), ..Server::default() });
        number
    }

    /// A new connection to a server that is listed; `pressing` if one to another server that has sessions may give way for it.
    pub(crate) fn dial(&mut self, number: u32, pressing: bool) -> Option<ConnectionId> {
        let address = self.servers.get(&number)?.callable()?;
        if self.has_all_lines() && !self.spare_wire(pressing) {
            return None;
        }
        let server = self.servers.get(&number)?;
        let stream = pulleystair_connections::connect(address)
            .inspect_err(|e| debug!(target: "server", id = server.id, "dial: {e}"))
            .ok()?;
        let now = self.now();
        let wire = Wire::new(number, now);
        let key = self.lines.open(stream, None, Role::Server(wire)).ok()?;
        let server = self.servers.get_mut(&number)?;
        server.lines.push(key);
        debug!(target: "server", server = server.id, lines = server.lines.len(), playing = server.playing, silent = now - server.heard, "dials");
        let due = now + self.terms.dial;
        if let Some(line) = self.lines.get_mut(key) {
            line.deadline = due;
        }
        self.clock(due, Clock::Line(key));
        Some(key)
    }

    /// Whether there are as many lines to servers as there may be.
    pub(crate) fn has_all_lines(&self) -> bool {
        self.wires_open() >= self.shares.servers
    }

    /// Closes the line that is needed least, where there is one: nothing is under way on it or waits there unread, and no play
    /// stands at its server or another line leads there; of these the one that has been silent longest. Where it is pressing, last
    /// of all the only line to a server with plays, which has had the time to tell of all ends before it; that server is called again.
    fn spare_wire(&mut self, pressing: bool) -> bool {
        let now = self.now();
        let mut idle: Vec<(bool, f64, ConnectionId)> = Vec::new();
        for server in self.servers.values() {
            let needed = server.playing > 0 && server.lines.len() <= 1;
            for key in &server.lines {
                let Some(line) = self.lines.get_mut(*key) else { continue };
                let waits = line.pending() > 0;
                let Role::Server(wire) = &line.role else { continue };
                let may_go = !needed || pressing && wire.up && now - wire.dialled >= LOOK;
                if may_go && !waits && wire.open.is_empty() {
                    idle.push((needed, wire.heard, *key));
                }
            }
        }
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        // A server tells of an end on one line and on the next that is opened, so what has come on this one may be its only word.
        let Some((_, _, key)) = idle.into_iter().find(|(_, _, key)| self.is_quiet(*key)) else {
            return false;
        };
        self.drop_wire(key);
        true
    }

    /// Whether a connection is open and nothing has come on it that was not acted on.
    fn is_quiet(&mut self, key: ConnectionId) -> bool {
        self.is_there(key) && self.lines.get_mut(key).is_some_and(|line| line.input.is_empty())
    }

    /// Lines to servers: all that are no viewer's.
    pub(crate) fn wires_open(&self) -> usize {
        self.lines.count() - self.viewers.len()
    }

    /// Lines that a server may have: its part of those that there may be.
    fn lines_each(&self) -> usize {
        let listed = self.servers.values().filter(|s| !s.lines.is_empty()).count().max(8);
        (self.shares.servers / listed).clamp(1, 8)
    }

    /// A line to set a play up on: one that carries none, else a new one, else the one that carries least. None that its server
    /// has closed, or may be closing for being idle as the set-up is on its way.
    fn line_for(&mut self, number: u32, not: &[ConnectionId]) -> Option<ConnectionId> {
        let keys = self.servers.get(&number)?.lines.clone();
        let now = self.now();
        let idle = self.terms.idle - self.terms.dial;
        let mut best: Option<(bool, usize, ConnectionId)> = None;
        for key in &keys {
            if self.wire(*key).is_none_or(|wire| wire.up) && !self.is_there(*key) {
                continue;
            }
            let Some(line) = self.lines.get_mut(*key) else { continue };
            let Role::Server(wire) = &line.role else { continue };
            let closing = wire.open.is_empty() && now - wire.stirred > idle;
            if wire.tired
                || line.closed
                || closing
                || not.contains(key)
                || wire.open.len() >= self.terms.streams
            {
                continue;
            }
            let it = (!wire.up, wire.open.len(), *key);
            if best.is_none_or(|b| (it.1, it.0) < (b.1, b.0)) {
                best = Some(it);
            }
        }
        let has_all = keys.len() >= self.lines_each();
        let may_dial = !has_all && !self.has_all_lines();
        match best {
            Some((_, 0, key)) => Some(key),
            Some((_, _, key)) if !may_dial => Some(key),
            Some((_, _, key)) => self.dial(number, false).or(Some(key)),
            // All its lines are of no use: one that carries nothing makes room.
            None => {
                let idle = |key: &ConnectionId| self.wire(*key).is_some_and(|wire| wire.open.is_empty());
                let unused: Vec<ConnectionId> = keys.into_iter().filter(idle).collect();
                if let Some(key) = unused.into_iter().find(|key| has_all && self.is_quiet(*key)) {
                    self.drop_wire(key);
                }
                self.dial(number, true)
            }
        }
    }

    /// A line on which a server hears of its standing sessions.
    pub(crate) fn any_line(&mut self, number: u32, pressing: bool) -> Option<ConnectionId> {
        let keys = self.servers.get(&number)?.lines.clone();
        let usable = keys.into_iter().find(|key| {
            self.lines
                .get_mut(*key)
                .is_some_and(|line| !line.closed && matches!(&line.role, Role::Server(wire) if !wire.tired))
        });
        usable.or_else(|| self.dial(number, pressing))
    }

    /// What is given to a connection that is not known to be up waits for the turn in which it is found to be.
    pub(crate) fn write_wire(&mut self, key: ConnectionId, bytes: &[u8]) {
        let now = self.now();
        let Some(line) = self.lines.get_mut(key) else { return };
        line.write(bytes);
        if matches!(&line.role, Role::Server(wire) if wire.up) {
            line.flush();
        }
        let (ended, gone) = (line.closed, line.bytes_sent());
        if let Role::Server(wire) = &mut line.role {
            wire.stirred = now;
            wire.cuts.retain(|cut| cut.begins >= gone);
        }
        if ended {
            self.again.push_back(key);
        }
    }

    /// Takes a line to a server out of use; nothing is to be open on it.
    pub(crate) fn drop_wire(&mut self, key: ConnectionId) {
        let gone = self.lines.get_mut(key).map_or(0, |line| line.bytes_sent());
        let Some(Role::Server(wire)) = self.lines.close(key) else { return };
        // An end of which nothing has left is told on another line.
        let unsent = wire.cuts.into_iter().filter(|cut| cut.begins >= gone);
        self.cuts.extend(unsent.take(OWED_MOST.saturating_sub(self.cuts.len())));
        if let Some(server) = self.servers.get_mut(&wire.server) {
            server.lines.retain(|k| *k != key);
        }
    }

    /// Tells a server that a session which stands there is over, on this line or on any other; later, where there is none.
    pub(crate) fn cut(&mut self, server: u32, line: Option<ConnectionId>, play: u64, cause: u8) {
        let since = self.now();
        self.tell_cut(line, Cut { server, play, cause, since, begins: 0 });
    }

    fn tell_cut(&mut self, line: Option<ConnectionId>, mut cut: Cut) {
        let Some(key) = self.this_or_any(cut.server, line) else {
            if self.cuts.len() < OWED_MOST {
                self.cuts.push_back(cut);
            }
            return;
        };
        let reason = format!("cause={}", cut.cause);
        let bytes = rtsp::request("TEARDOWN", "session", GIVE_UP, cut.play, &[("Reason", &reason)], b"");
        cut.begins = self.lines.get_mut(key).map_or(0, |line| line.bytes_queued());
        if let Some(wire) = self.wire(key) {
            wire.cuts.push(cut);
        }
        self.write_wire(key, &bytes);
    }

    /// Ends that no line could carry are told again, until whoever plays there must have heard of it otherwise.
    pub(crate) fn cut_again(&mut self, now: f64) {
        for cut in std::mem::take(&mut self.cuts) {
            let there = self.servers.get(&cut.server).is_some_and(|s| s.callable().is_some());
            if there && now - cut.since < OWED {
                self.tell_cut(None, cut);
            }
        }
    }

    /// This line to a server, or any other.
    fn this_or_any(&mut self, number: u32, line: Option<ConnectionId>) -> Option<ConnectionId> {
        let own = line.filter(|key| self.lines.get_mut(*key).is_some_and(|line| !line.closed));
        own.or_else(|| self.any_line(number, true))
    }

    /// The server and the viewer's connection of an attempt that is still to begin; none once its session waits for it no more.
    pub(crate) fn to_begin(&self, it: &Attempt) -> Option<(u32, ConnectionId)> {
        let session = self.sessions.get(&it.session)?;
        let waits = session.attempts == it.number && !session.playing && session.line.is_none();
        Some((session.server.filter(|_| waits)?, session.viewer))
    }

    /// The attempt begins: its set-up is written. False where there is no way to its server.
    pub(crate) fn begin(&mut self, it: &Attempt, server: u32) -> bool {
        let now = self.now();
        let not = self.sessions.get(&it.session).map(|s| s.used.clone()).unwrap_or_default();
        let Some(key) = self.line_for(server, &not) else { return false };
        let Some(session) = self.sessions.get_mut(&it.session) else { return true };
        session.line = Some(key);
        let limit = (session.until - now).max(1.0).ceil().to_string();
        let step = session.rung.to_string();
        let fields: [(&str, &str); 3] =
            [("X-Call-Class", &session.class), ("X-Ring-Limit", &limit), ("Rate-Step", &step)];
        let bytes = rtsp::request("SETUP", &session.title, SET_UP, it.session, &fields, &session.description);
        if let Some(line) = self.lines.get_mut(key) {
            let begins = line.bytes_queued();
            if let Role::Server(wire) = &mut line.role {
                wire.open.push(Open { play: it.session, begins, length: bytes.len() });
            }
        }
        self.write_wire(key, &bytes);
        true
    }

    /// The set-ups on this line of which nothing has left.
    pub(crate) fn unsent(&mut self, key: ConnectionId) -> Vec<u64> {
        let Some(line) = self.lines.get_mut(key).filter(|line| line.pending() > 0) else { return Vec::new() };
        let gone = line.bytes_sent();
        let Role::Server(wire) = &line.role else { return Vec::new() };
        wire.open.iter().filter(|open| open.begins >= gone).map(|open| open.play).collect()
    }

    /// A set-up of which nothing has left is taken off its line: true if so, and it never ran.
    pub(crate) fn take_back(&mut self, key: ConnectionId, play: u64) -> bool {
        let Some(line) = self.lines.get_mut(key) else { return false };
        let Role::Server(wire) = &mut line.role else { return false };
        let Some(it) = wire.open.iter().find(|open| open.play == play).copied() else { return false };
        if !line.cancel_write(it.begins, it.length) {
            return false;
        }
        let Role::Server(wire) = &mut line.role else { return false };
        wire.open.retain(|open| open.play != play);
        let length = it.length as u64;
        wire.open.iter_mut().filter(|o| o.begins > it.begins).for_each(|o| o.begins -= length);
        wire.cuts.iter_mut().filter(|c| c.begins > it.begins).for_each(|c| c.begins -= length);
        true
    }

    /// The attempt that is out is given up: the server hears of it, unless nothing of it has left, which is true then.
    pub(crate) fn give_up(&mut self, play: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        let Some(key) = session.line.take() else { return true };
        if self.take_back(key, play) {
            return true;
        }
        if let Some(session) = self.sessions.get_mut(&play) {
            session.used.push(key);
        }
        self.no_more_open(key, play);
        let bytes = rtsp::request("TEARDOWN", "session", GIVE_UP, play, &[], b"");
        self.write_wire(key, &bytes);
        false
    }

    /// A set-up on this line has its answer, or needs none any more.
    pub(crate) fn no_more_open(&mut self, key: ConnectionId, play: u64) {
        if let Some(wire) = self.wire(key) {
            wire.open.retain(|open| open.play != play);
        }
    }

    /// The sessions that stand at a server, in order.
    pub(crate) fn standing_at(&self, number: u32) -> Vec<u64> {
        let here = self.sessions.iter().filter(|(_, s)| s.playing && s.server == Some(number));
        let mut plays: Vec<u64> = here.map(|(play, _)| *play).collect();
        plays.sort_unstable();
        plays
    }

    pub(crate) fn send_rung(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(&play) else { return };
        let (Some(server), true) = (session.server, session.playing) else { return };
        if session.rung == session.rung_sent {
            return;
        }
        session.rung_sent = session.rung;
        let rung = session.rung.to_string();
        let line = session.line;
        self.sums.steps += 1;
        let bytes = rtsp::request("SET_PARAMETER", "session", OTHER, play, &[("Rate-Step", &rung)], b"");
        if let Some(key) = self.this_or_any(server, line) {
            self.write_wire(key, &bytes);
        }
    }
}
