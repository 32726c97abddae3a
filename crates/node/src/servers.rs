//! What comes from media servers: answers to set-ups, the notes and ends of sessions that stand, reports, and the loss of
//! connections.

use crate::ended::Word;
use crate::floor::{ASK, ENDED, FAILED, GIVE_UP, OWED, READ, Role, Server, Session, WITHDRAWN};
use crate::node::{LOOK, Node};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_connections::ConnectionId;
use pulleystair_rtsp::{Message, Start};
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use tracing::{debug, info};

/// Reads of a line in one turn.
const TURN: usize = 16;
/// Notes that are missing for longer than this, beyond the time between them, are missing for a cause, ms.
const SILENCE: f64 = 1_000.0;
/// Of the time in which viewers must hear of an end, kept for the look that finds it and for the release, ms.
const HASTE: f64 = 750.0;
/// So many calls in a row that did not come up mean that it is lost.
const CALLS: u32 = 2;

impl Node {
    pub(crate) fn wire_ready(&mut self, key: ConnectionId) {
        for _ in 0..TURN {
            let now = self.floor.now();
            let Some(line) = self.floor.lines.get_mut(key) else { return };
            match line.connected() {
                Some(false) => return self.wire_lost(key),
                None => return,
                Some(true) => {}
            }
            let Role::Server(wire) = &mut line.role else { return };
            let number = wire.server;
            let newly = !std::mem::replace(&mut wire.up, true);
            if newly {
                (wire.heard, wire.stirred) = (now, now);
            }
            self.look_before_sending(key);
            let Some(line) = self.floor.lines.get_mut(key) else { return };
            line.flush();
            let came = line.read(READ);
            let ended = line.closed;
            let Role::Server(wire) = &mut line.role else { return };
            if came || newly {
                (wire.heard, wire.stirred) = (now, now);
                line.deadline = f64::INFINITY;
                if let Some(server) = self.floor.servers.get_mut(&number) {
                    (server.heard, server.lost) = (now, 0);
                }
            }
            let Some(line) = self.floor.lines.get_mut(key) else { return };
            if !line.input.is_empty() {
                let input = std::mem::take(&mut line.input);
                match self.server_messages(key, number, &input) {
                    Some(used) => {
                        let Some(line) = self.floor.lines.get_mut(key) else { return };
                        line.unread(input, used);
                    }
                    None => return self.wire_lost(key),
                }
            }
            if ended {
                return self.wire_lost(key);
            }
            if !came {
                return;
            }
        }
        self.floor.again.push_back(key);
    }

    /// Takes the whole messages off; none where what came can't be read.
    fn server_messages(&mut self, key: ConnectionId, server: u32, input: &[u8]) -> Option<usize> {
        let mut used = 0;
        let mut found = Message::parse(input);
        loop {
            match found {
                Ok(None) => return Some(used),
                Err(e) => {
                    debug!(target: "server", server = self.floor.id_of(server), "spoilt: {e}");
                    self.floor.sums.spoilt += 1;
                    return None;
                }
                Ok(Some((message, n))) => {
                    used += n;
                    found = Message::parse(&input[used..]);
                    // What follows an answer and can't be read spoils that too: its length did not fit.
                    if found.is_ok() {
                        self.server_message(key, server, &message);
                        self.settle();
                        if self.floor.lines.get_mut(key).is_none() {
                            return Some(used);
                        }
                    }
                }
            }
        }
    }

    fn server_message(&mut self, key: ConnectionId, server: u32, message: &Message) {
        let now = self.floor.now();
        let play = message.session;
        let load: Vec<LoadMetric> = message
            .report()
            .filter_map(|(name, value)| pulleystair_settings::load_metric(name, value))
            .collect();
        // An answer for a viewer that has gone by now is not for it any more.
        let waits = |s: &&Session| !s.playing && message.cseq() != Some(ASK);
        if let (Start::Answer(200), Some(session)) =
            (&message.start, self.floor.sessions.get(&play).filter(waits))
        {
            self.viewer_ready(session.viewer);
        }
        let known = self.floor.sessions.get(&play);
        let session = known.filter(|s| s.server == Some(server));
        let stands = session.is_some_and(|s| s.playing);
        let out = session.is_some_and(|s| !s.playing && s.line == Some(key));
        match &message.start {
            Start::Answer(100..=199) => {}
            Start::Answer(_) if message.cseq() == Some(GIVE_UP) => {}
            Start::Answer(_) if message.cseq() == Some(ASK) => {
                self.desk.on_load_report(now, server, &load, &mut self.floor);
            }
            Start::Answer(200) if out => self.plays(now, key, server, play, &message.body, &load),
            // Of an attempt given up on another line; the same id is out there again, or stands, and an end would be taken for its.
            Start::Answer(200) if session.is_some() => self.floor.sums.late += 1,
            Start::Answer(200) => {
                // Late, or nobody's: what was given up must not stand.
                self.floor.sums.late += 1;
                self.floor.cut(server, Some(key), play, WITHDRAWN);
            }
            Start::Answer(status) if out => {
                let outcome = match status {
                    453 => Outcome::Full,
                    454 => Outcome::NeverSent,
                    504 => Outcome::Broken,
                    _ => Outcome::Error,
                };
                self.attempt_ended(play, server, outcome, &load);
            }
            Start::Answer(_) => {}
            Start::Request(method) => match method.as_str() {
                "TEARDOWN" if stands => {
                    let cause = message.cause().unwrap_or(FAILED);
                    let outcome = match cause {
                        ENDED => Outcome::Finished,
                        WITHDRAWN => Outcome::Withdrawn,
                        _ => Outcome::Broken,
                    };
                    self.stood(play, server, outcome, cause, &load);
                }
                "TEARDOWN" if known.is_none() => {
                    let cause = message.cause().unwrap_or(FAILED);
                    self.floor.ended.note(now, play, Word::Server(cause));
                }
                "TEARDOWN" if out => self.attempt_ended(play, server, Outcome::Broken, &load),
                "REDIRECT" if stands => self.stood(play, server, Outcome::Withdrawn, FAILED, &load),
                "ANNOUNCE" if stands => {
                    let (Some(why), Some(amount)) = (message.field("X-Why"), message.number("Figure")) else {
                        return;
                    };
                    match why {
                        "d" => self.desk.on_play_note(
                            now,
                            play,
                            server,
                            LoadMetric::Delivered(amount),
                            &mut self.floor,
                        ),
                        "l" => self.desk.on_play_note(
                            now,
                            play,
                            server,
                            LoadMetric::Link(amount),
                            &mut self.floor,
                        ),
                        "u" => self.desk.on_play_note(
                            now,
                            play,
                            server,
                            LoadMetric::Uplink(amount),
                            &mut self.floor,
                        ),
                        "r" => {
                            let rung = amount.max(0.0) as usize;
                            self.desk.set_adopted_rung(play, rung);
                            if let Some(session) = self.floor.sessions.get_mut(&play) {
                                (session.rung, session.rung_sent) = (rung, rung);
                            }
                        }
                        _ => {}
                    }
                }
                _ => {}
            },
        }
    }

    /// The set-up was answered: its viewer gets the description as it came.
    fn plays(
        &mut self,
        now: f64,
        key: ConnectionId,
        server: u32,
        play: u64,
        description: &[u8],
        load: &[LoadMetric],
    ) {
        self.floor.no_more_open(key, play);
        let Some(bytes) = protocol::encode(kind::ANSWER, play, &[(code::DESCRIPTION, description)]) else {
            self.floor.cut(server, Some(key), play, WITHDRAWN);
            return self.attempt_ended(play, server, Outcome::Error, load);
        };
        let Some(session) = self.floor.sessions.get_mut(&play) else { return };
        session.playing = true;
        session.since = now;
        session.description = Vec::new();
        session.used = Vec::new();
        let viewer = session.viewer;
        self.floor.sums.played += 1;
        self.floor.answered(viewer, play);
        self.floor.write_viewer(viewer, &bytes);
        if let Some(server) = self.floor.servers.get_mut(&server) {
            server.playing += 1;
        }
        self.desk.on_playing(now, play, &mut self.floor);
        self.desk.on_load_report(now, server, load, &mut self.floor);
        self.floor.send_rung(play);
    }

    /// A session that stood is over, by its server's word or loss: the viewer is told, unless it ended it itself.
    pub(crate) fn stood(&mut self, play: u64, server: u32, outcome: Outcome, cause: u8, load: &[LoadMetric]) {
        let now = self.floor.now();
        let Some(session) = self.floor.sessions.remove(&play) else { return };
        self.floor.ended.note(now, play, Word::Both);
        if let Some(server) = self.floor.servers.get_mut(&server) {
            server.playing = server.playing.saturating_sub(1);
        }
        if outcome == Outcome::Finished {
            self.floor.sums.ended += 1;
        } else if outcome == Outcome::Broken {
            self.floor.sums.lost += 1;
        }
        if outcome != Outcome::Withdrawn || cause != WITHDRAWN {
            self.floor.release(play, session.viewer, session.from, cause);
        }
        self.desk.on_allocation_ended(now, play, server, outcome, true, load, &mut self.floor);
        self.settle();
    }

    /// A session that stood is over by its viewer's word.
    pub(crate) fn over(&mut self, play: u64) {
        let now = self.floor.now();
        self.desk.on_viewer_left(play, &mut self.floor);
        // The desk has had it withdrawn; that is told as news, and the session is gone by then.
        let Some(session) = self.floor.sessions.remove(&play) else { return };
        self.floor.ended.note(now, play, Word::Both);
        if let Some(number) = session.server {
            if let Some(server) = self.floor.servers.get_mut(&number) {
                server.playing = server.playing.saturating_sub(1);
            }
            self.floor.news.retain(|news| news.play != play);
            self.desk.on_allocation_ended(now, play, number, Outcome::Withdrawn, true, &[], &mut self.floor);
        }
    }

    /// A connection to a server could not be made, was lost, or brought what can't be read.
    pub(crate) fn wire_lost(&mut self, key: ConnectionId) {
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        let up = line.connected() == Some(true);
        let gone = line.bytes_sent();
        let Role::Server(wire) = &mut line.role else { return };
        let (number, open) = (wire.server, std::mem::take(&mut wire.open));
        self.floor.drop_wire(key);
        let (playing, left) = self.floor.servers.get(&number).map_or((0, 0), |s| (s.playing, s.lines.len()));
        let id = self.floor.id_of(number);
        debug!(target: "server", id, up, open = open.len(), playing, left, "line lost");
        for it in open {
            // Nothing of a set-up that has not begun to leave can have run.
            let outcome = if !up || gone <= it.begins { Outcome::Unreachable } else { Outcome::Broken };
            self.attempt_ended(it.play, number, outcome, &[]);
        }
        if let Some(server) = self.floor.servers.get_mut(&number) {
            server.lost += u32::from(!up);
            if server.playing > 0 {
                if server.lost >= CALLS {
                    self.server_lost(number);
                } else if server.lines.is_empty() {
                    self.call(number, false);
                }
            }
        }
        self.settle();
    }

    /// Makes a connection to a server that has plays and none: it may have something to say, or be gone.
    fn call(&mut self, number: u32, pressing: bool) {
        if self.floor.servers.get(&number).is_some_and(|s| s.callable().is_none()) {
            return self.server_lost(number);
        }
        // One that can't be dialled for want of descriptors is called at the next look.
        let _ = self.floor.dial(number, pressing);
    }

    /// Nothing that stands at a server is there any more.
    fn server_lost(&mut self, number: u32) {
        let plays = self.floor.standing_at(number);
        info!(target: "server", server = self.floor.id_of(number), plays = plays.len(), "lost");
        for play in plays {
            self.stood(play, number, Outcome::Broken, FAILED, &[]);
        }
        let Some(server) = self.floor.servers.get_mut(&number) else { return };
        server.lost = 0;
        for key in server.lines.clone() {
            self.wire_lost(key);
        }
    }

    /// Servers with plays that are silent are called anew, as late as their viewers may hear of it: one that is cut off for
    /// some seconds keeps its sessions. One that is listed as gone is waited for no longer than its notes are apart. Where more
    /// servers have plays than there may be lines, those without one are called in turn, the one heard longest ago first: each look
    /// can move all lines, so that M servers with K lines are heard within half of that time and M / K looks.
    pub(crate) fn look_at_servers(&mut self, now: f64) {
        let terms = &self.floor.terms;
        let notes = terms.tells * 1.25 + SILENCE;
        let most = notes.max(OWED - HASTE - f64::from(CALLS) * (terms.dial + LOOK));
        let late = |s: &Server| now - s.heard > if s.is_gone() { notes } else { most };
        // A server that was named by a hand-over alone may be on the list that is still to come.
        let vouched = self.asking.heard;
        let may_come = |s: &Server| s.address.is_none() && !vouched;
        let silent = |s: &Server| s.playing > 0 && (s.lines.is_empty() && !may_come(s) || late(s));
        let silent = self.floor.servers.iter().filter(|(_, s)| silent(s));
        let mut silent: Vec<(f64, u32)> = silent.map(|(number, s)| (s.heard, *number)).collect();
        silent.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (heard, number) in silent {
            let lines = self.floor.servers.get(&number).map(|s| s.lines.clone()).unwrap_or_default();
            let pressing = lines.is_empty() && now - heard > most / 2.0;
            if !lines.into_iter().any(|key| self.floor.wire(key).is_some_and(|wire| !wire.up)) {
                self.call(number, pressing);
            }
        }
    }
}
