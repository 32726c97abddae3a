//! What the desk's hands work with: the lines, the sessions that viewers asked for, the media servers, and the clocks.

use crate::node::Node;
use crate::posting::{Posting, Terms};
use crate::shares::Shares;
use calloop::{LoopHandle, RegistrationToken};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_desk::Hands;
use pulleystair_lines::Key;
use pulleystair_lines::clocks::Clocks;
use pulleystair_rtsp as rtsp;
use pulleystair_signal::{self as signal, code, kind};
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::debug;

pub(crate) type Lines = pulleystair_lines::Lines<Node, Role>;

/// Causes that viewers are given: refused, trying again is harmless; failed; the session is over.
pub(crate) const REFUSED: u8 = 34;
pub(crate) const BUSY: u8 = 42;
pub(crate) const FAILED: u8 = 41;
pub(crate) const UNUSABLE: u8 = 100;
/// Causes on the way to servers and back.
pub(crate) const ENDED: u8 = 16;
pub(crate) const WITHDRAWN: u8 = 31;
/// `CSeq` of each request to a server, and of the answers to it.
const SET_UP: u32 = 1;
pub(crate) const GIVE_UP: u32 = 2;
pub(crate) const ASK: u32 = 3;
const OTHER: u32 = 4;
/// Bytes read of a line at a time: a message fits.
pub(crate) const READ: usize = 32 << 10;
/// Bytes that may wait for a viewer that does not read them.
const UNREAD: usize = 256 << 10;
/// How long a release waits for a viewer's connection, ms: it has to be told within that time of the end.
pub(crate) const OWED: f64 = 8_000.0;
/// Releases that may wait.
const OWED_MOST: usize = 4_096;

pub(crate) enum Role {
    Viewer(Viewer),
    Server(Wire),
}

/// A viewer's connection.
pub(crate) struct Viewer {
    pub(crate) came: f64,
    /// A set-up that could be taken has come on it.
    pub(crate) proven: bool,
    /// Set-ups on it that have no answer yet.
    pub(crate) open: Vec<u64>,
    /// Turned away on it, for whatever cause.
    pub(crate) turned: usize,
}

/// A connection to a media server.
pub(crate) struct Wire {
    pub(crate) server: u32,
    /// Set-ups on it that have no answer yet, with where each begins among all bytes of the line.
    pub(crate) open: Vec<(u64, u64)>,
    pub(crate) up: bool,
    /// When something last came on it.
    pub(crate) heard: f64,
    /// No further set-ups: it brought no answer to one while it was silent.
    pub(crate) tired: bool,
}

/// A play as the sockets have it.
pub(crate) struct Session {
    pub(crate) viewer: Key,
    pub(crate) from: Option<IpAddr>,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    /// Where it is out or plays, and on which line.
    pub(crate) server: Option<u32>,
    pub(crate) line: Option<Key>,
    pub(crate) playing: bool,
    pub(crate) since: f64,
    pub(crate) allocations: u32,
    /// Lines on which an earlier allocation was given up: what still comes there is not for a later one.
    pub(crate) used: Vec<Key>,
    pub(crate) rung: usize,
    pub(crate) rung_sent: usize,
    /// The cause with which its viewer ended it.
    pub(crate) cause: u8,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: String,
    /// None while no list has told of it.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) listing: Listing,
    pub(crate) lines: Vec<Key>,
    pub(crate) playing: usize,
    pub(crate) heard: f64,
    /// How many connections in a row could not be made while plays stand there.
    pub(crate) lost: u32,
}

impl Server {
    /// The list says that it is no more.
    pub(crate) fn is_gone(&self) -> bool {
        self.listing.standing == Standing::Gone
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Clock {
    Desk(u32),
    /// This allocation of a play has had its time.
    TimeOut(u64, u32),
    Line(Key),
    Ask,
    Look,
    Sums,
    /// After a stop, connections are taken no more.
    Door,
    Stop,
}

/// What was found while the desk was busy: how an allocation ended.
pub(crate) struct News {
    pub(crate) play: u64,
    pub(crate) server: u32,
    pub(crate) outcome: Outcome,
}

/// What was done since the start, for the log.
#[derive(Default, Debug)]
pub(crate) struct Sums {
    pub(crate) asked: u64,
    pub(crate) played: u64,
    pub(crate) declined: u64,
    pub(crate) failed: u64,
    pub(crate) unusable: u64,
    pub(crate) flooded: u64,
    pub(crate) sent: u64,
    pub(crate) ended: u64,
    pub(crate) lost: u64,
    pub(crate) probes: u64,
    pub(crate) late: u64,
    pub(crate) spoilt: u64,
    pub(crate) evicted: u64,
    pub(crate) steps: u64,
}

pub(crate) struct Floor {
    pub(crate) posting: Posting,
    pub(crate) terms: Terms,
    pub(crate) shares: Shares,
    pub(crate) lines: Lines,
    pub(crate) handle: LoopHandle<'static, Node>,
    pub(crate) door: Option<(RegistrationToken, Arc<TcpListener>)>,
    pub(crate) sessions: HashMap<u64, Session>,
    pub(crate) servers: HashMap<u32, Server>,
    pub(crate) numbers: HashMap<String, u32>,
    pub(crate) next_server: u32,
    pub(crate) clocks: Clocks<Clock>,
    pub(crate) news: VecDeque<News>,
    /// Lines that have more to read than one turn takes.
    pub(crate) again: VecDeque<Key>,
    /// Viewers' lines in the order in which they came.
    pub(crate) viewers: VecDeque<Key>,
    /// Releases that found no connection: session, cause, since when.
    pub(crate) owed: VecDeque<(u64, u8, f64)>,
    /// Set-ups without an answer.
    pub(crate) deciding: usize,
    pub(crate) rnd: oorandom::Rand64,
    pub(crate) sums: Sums,
    pub(crate) stopping: Option<f64>,
}

impl Floor {
    pub(crate) fn new(posting: Posting, handle: LoopHandle<'static, Node>) -> Floor {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        Floor {
            terms: posting.terms(),
            shares: Shares::of(posting.limits.sockets),
            rnd: oorandom::Rand64::new(posting.salt.into()),
            posting,
            lines: Lines::new(handle.clone()),
            handle,
            door: None,
            sessions: HashMap::new(),
            servers: HashMap::new(),
            numbers: HashMap::new(),
            next_server: 0,
            clocks: Clocks::new(unix),
            news: VecDeque::new(),
            again: VecDeque::new(),
            viewers: VecDeque::new(),
            owed: VecDeque::new(),
            deciding: 0,
            sums: Sums::default(),
            stopping: None,
        }
    }

    /// Unix ms, from one reading of the wall clock at start.
    pub(crate) fn now(&self) -> f64 {
        self.clocks.now()
    }

    pub(crate) fn clock(&mut self, due: f64, clock: Clock) {
        self.clocks.set(due, clock);
    }

    pub(crate) fn next_clock(&self) -> Option<Duration> {
        if !self.again.is_empty() {
            return Some(Duration::ZERO);
        }
        self.clocks.wait()
    }

    pub(crate) fn viewer(&mut self, key: Key) -> Option<&mut Viewer> {
        match &mut self.lines.get(key)?.role {
            Role::Viewer(viewer) => Some(viewer),
            Role::Server(_) => None,
        }
    }

    pub(crate) fn wire(&mut self, key: Key) -> Option<&mut Wire> {
        match &mut self.lines.get(key)?.role {
            Role::Server(wire) => Some(wire),
            Role::Viewer(_) => None,
        }
    }

    // ---- towards viewers ----

    /// Writes on a viewer's line; one that does not read is closed.
    pub(crate) fn write_viewer(&mut self, key: Key, bytes: &[u8]) {
        let Some(line) = self.lines.get(key) else { return };
        line.write(bytes);
        line.flush();
        if line.ended || line.pending() > UNREAD {
            line.ended = true;
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
    pub(crate) fn tell_release(&mut self, key: Key, play: u64, cause: u8, pause: f64) {
        let pause = format!("{}", pause.ceil().max(0.0));
        let mut parameters: Vec<(u8, &[u8])> = vec![(code::CAUSE, std::slice::from_ref(&cause))];
        if pause != "0" {
            parameters.push((code::STAY_AWAY, pause.as_bytes()));
        }
        if let Some(bytes) = signal::write(kind::RELEASE, play, &parameters) {
            self.write_viewer(key, &bytes);
        }
    }

    /// A set-up has its answer, or needs none any more.
    pub(crate) fn answered(&mut self, key: Key, play: u64) {
        self.deciding = self.deciding.saturating_sub(1);
        if let Some(viewer) = self.viewer(key) {
            viewer.open.retain(|p| *p != play);
        }
    }

    /// What has stood is over: its viewer is told, on its own connection or on another, now or as soon as there is one.
    pub(crate) fn release(&mut self, play: u64, viewer: Key, from: Option<IpAddr>, cause: u8) {
        let key = if self.is_there(viewer) { Some(viewer) } else { self.way_to(from) };
        debug!(target: "play", play = format!("{play:016x}"), cause, own = key == Some(viewer), waits = key.is_none(), "over");
        match key {
            Some(key) => self.tell_release(key, play, cause, 0.0),
            None if self.owed.len() < OWED_MOST => self.owed.push_back((play, cause, self.now())),
            None => {}
        }
    }

    /// Whether a viewer's connection is still open at its other end, as far as can be told.
    fn is_there(&mut self, key: Key) -> bool {
        let Some(line) = self.lines.get(key) else { return false };
        // What comes meanwhile is taken off at the line's own turn.
        if line.read(UNREAD) || line.ended {
            self.again.push_back(key);
        }
        self.lines.get(key).is_some_and(|line| !line.ended)
    }

    /// The latest connection on which a viewer of that address has asked for something, else of any.
    fn way_to(&mut self, from: Option<IpAddr>) -> Option<Key> {
        let mut other = None;
        for key in self.viewers.clone().into_iter().rev() {
            let Some(line) = self.lines.get(key) else { continue };
            let asks = matches!(&line.role, Role::Viewer(viewer) if viewer.proven);
            let own = line.from() == from;
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
    pub(crate) fn pay(&mut self, key: Key) {
        let now = self.now();
        while let Some((play, cause, since)) = self.owed.pop_front() {
            debug!(target: "play", play = format!("{play:016x}"), waited = now - since, "release that waited");
            if now - since < OWED {
                self.tell_release(key, play, cause, 0.0);
            }
        }
    }

    // ---- towards servers ----

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

    /// A new connection to a server that is listed.
    pub(crate) fn dial(&mut self, number: u32) -> Option<Key> {
        let server = self.servers.get(&number)?;
        let address = server.address?;
        if server.is_gone() {
            return None;
        }
        if self.wires_open() >= self.shares.servers && !self.spare_wire() {
            return None;
        }
        let server = self.servers.get(&number)?;
        let stream = pulleystair_lines::connect(address)
            .inspect_err(|e| debug!(target: "server", id = server.id, "dial: {e}"))
            .ok()?;
        let now = self.now();
        let wire = Wire { server: number, open: Vec::new(), up: false, heard: now, tired: false };
        let key = self.lines.open(stream, None, Role::Server(wire)).ok()?;
        let server = self.servers.get_mut(&number)?;
        server.lines.push(key);
        debug!(target: "server", server = server.id, lines = server.lines.len(), playing = server.playing, silent = now - server.heard, "dials");
        let due = now + self.terms.dial;
        if let Some(line) = self.lines.get(key) {
            line.due = due;
        }
        self.clock(due, Clock::Line(key));
        Some(key)
    }

    /// Closes the line that is needed least, where there is one: nothing is under way on it, and no play stands at its server
    /// or another line leads there; of these the one that has been silent longest.
    fn spare_wire(&mut self) -> bool {
        let mut least: Option<(f64, Key)> = None;
        for server in self.servers.values().filter(|s| s.playing == 0 || s.lines.len() > 1) {
            for key in &server.lines {
                let Some(line) = self.lines.get(*key) else { continue };
                let waits = line.pending() > 0;
                let Role::Server(wire) = &line.role else { continue };
                let it = (wire.heard, *key);
                if !waits && wire.open.is_empty() && least.is_none_or(|least| it < least) {
                    least = Some(it);
                }
            }
        }
        let Some((_, key)) = least else { return false };
        self.drop_wire(key);
        true
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

    /// A line to set a play up on: one that carries none, else a new one, else the one that carries least.
    fn line_for(&mut self, number: u32, not: &[Key]) -> Option<Key> {
        let keys = self.servers.get(&number)?.lines.clone();
        let mut best: Option<(bool, usize, Key)> = None;
        for key in &keys {
            let Some(line) = self.lines.get(*key) else { continue };
            let Role::Server(wire) = &line.role else { continue };
            if wire.tired || line.ended || not.contains(key) || wire.open.len() >= self.terms.streams {
                continue;
            }
            let it = (!wire.up, wire.open.len(), *key);
            if best.is_none_or(|b| (it.1, it.0) < (b.1, b.0)) {
                best = Some(it);
            }
        }
        let has_all = keys.len() >= self.lines_each();
        let may_dial = !has_all && self.wires_open() < self.shares.servers;
        match best {
            Some((_, 0, key)) => Some(key),
            Some((_, _, key)) if !may_dial => Some(key),
            Some((_, _, key)) => self.dial(number).or(Some(key)),
            // All its lines are of no use: one that carries nothing makes room.
            None => {
                let idle = |key: &Key| self.wire(*key).is_some_and(|wire| wire.open.is_empty());
                if let Some(key) = keys.into_iter().find(idle).filter(|_| has_all) {
                    self.drop_wire(key);
                }
                self.dial(number)
            }
        }
    }

    /// A line on which a server hears of its standing sessions.
    pub(crate) fn any_line(&mut self, number: u32) -> Option<Key> {
        let keys = self.servers.get(&number)?.lines.clone();
        let usable = keys.into_iter().find(|key| {
            self.lines
                .get(*key)
                .is_some_and(|line| !line.ended && matches!(&line.role, Role::Server(wire) if !wire.tired))
        });
        usable.or_else(|| self.dial(number))
    }

    pub(crate) fn write_wire(&mut self, key: Key, bytes: &[u8]) {
        let Some(line) = self.lines.get(key) else { return };
        line.write(bytes);
        line.flush();
        if line.ended {
            self.again.push_back(key);
        }
    }

    /// Takes a line to a server out of use; nothing is to be open on it.
    pub(crate) fn drop_wire(&mut self, key: Key) {
        let Some(Role::Server(wire)) = self.lines.close(key) else { return };
        if let Some(server) = self.servers.get_mut(&wire.server) {
            server.lines.retain(|k| *k != key);
        }
    }

    /// Tells a server that a session which stands there is over.
    pub(crate) fn cut(&mut self, number: u32, line: Option<Key>, play: u64, cause: u8) {
        let reason = format!("cause={cause}");
        let bytes = rtsp::request("TEARDOWN", "session", GIVE_UP, play, &[("Reason", &reason)], b"");
        self.tell(number, line, &bytes);
    }

    /// Writes on this line to a server, or on any other.
    fn tell(&mut self, number: u32, line: Option<Key>, bytes: &[u8]) {
        let own = line.filter(|key| self.lines.get(*key).is_some_and(|line| !line.ended));
        if let Some(key) = own.or_else(|| self.any_line(number)) {
            self.write_wire(key, bytes);
        }
    }

    /// The allocation that is out is given up: the server hears of it, unless nothing of it has left.
    pub(crate) fn give_up(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(&play) else { return };
        let Some(key) = session.line.take() else { return };
        session.used.push(key);
        self.no_more_open(key, play);
        let bytes = rtsp::request("TEARDOWN", "session", GIVE_UP, play, &[], b"");
        self.write_wire(key, &bytes);
    }

    /// A set-up on this line has its answer, or needs none any more.
    pub(crate) fn no_more_open(&mut self, key: Key, play: u64) {
        if let Some(wire) = self.wire(key) {
            wire.open.retain(|(p, _)| *p != play);
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
        self.tell(server, line, &bytes);
    }
}

impl Hands for Floor {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&play) else { return };
        session.allocations += 1;
        (session.server, session.since) = (Some(server), now);
        (session.rung, session.rung_sent) = (rung, rung);
        let (n, not) = (session.allocations, session.used.clone());
        self.sums.sent += 1;
        let Some(key) = self.line_for(server, &not) else {
            return self.news.push_back(News { play, server, outcome: Outcome::Unreachable });
        };
        let Some(session) = self.sessions.get_mut(&play) else { return };
        session.line = Some(key);
        let (limit, step) = (time_out.max(1.0).ceil().to_string(), rung.to_string());
        let fields: [(&str, &str); 3] =
            [("X-Call-Class", &session.class), ("X-Ring-Limit", &limit), ("Rate-Step", &step)];
        let bytes = rtsp::request("SETUP", &session.title, SET_UP, play, &fields, &session.description);
        if let Some(line) = self.lines.get(key) {
            let begins = line.given();
            if let Role::Server(wire) = &mut line.role {
                wire.open.push((play, begins));
            }
        }
        self.write_wire(key, &bytes);
        self.clock(now + time_out, Clock::TimeOut(play, n));
    }

    fn withdraw(&mut self, play: u64) {
        let Some(session) = self.sessions.get(&play) else { return };
        let Some(server) = session.server else { return };
        if session.playing {
            let (line, cause) = (session.line, session.cause);
            self.cut(server, line, play, cause);
        } else {
            self.give_up(play);
        }
        self.news.push_back(News { play, server, outcome: Outcome::Withdrawn });
    }

    fn step(&mut self, play: u64, rung: usize) {
        if let Some(session) = self.sessions.get_mut(&play) {
            session.rung = rung;
        }
        self.send_rung(play);
    }

    fn probe(&mut self, server: u32) {
        self.sums.probes += 1;
        let Some(key) = self.any_line(server) else { return };
        let id = self.rnd.rand_u64();
        let bytes = rtsp::request("OPTIONS", "load", ASK, id, &[], b"");
        self.write_wire(key, &bytes);
    }

    fn declined(&mut self, play: u64, pause: f64) {
        self.sums.declined += 1;
        self.turn_away(play, REFUSED, pause);
    }

    fn failed(&mut self, play: u64) {
        self.sums.failed += 1;
        self.turn_away(play, FAILED, 0.0);
    }

    fn wake(&mut self, mark: u32, wait: f64) {
        let due = self.now() + wait;
        self.clock(due, Clock::Desk(mark));
    }

    /// The list is asked for all the time.
    fn follow(&mut self) {}
}
