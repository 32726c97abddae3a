//! What a node keeps: the lines, the sessions that viewers asked for, the media servers, and the clocks. What is written to either
//! side is in `to_viewers` and `to_servers`, what the desk has done in `hands`.

use crate::config::{Config, NodeLimits};
use crate::ended::Ended;
use crate::node::Node;
use crate::shares::Shares;
use calloop::{LoopHandle, RegistrationToken};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_connections::ConnectionId;
use pulleystair_connections::timers::Timers;
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub(crate) type Lines = pulleystair_connections::Connections<Node, Role>;

/// Causes that viewers are given: refused, trying again is harmless; failed; the session is over.
pub(crate) const REFUSED: u8 = 34;
pub(crate) const BUSY: u8 = 42;
pub(crate) const FAILED: u8 = 41;
pub(crate) const UNUSABLE: u8 = 100;
/// Causes on the way to servers and back.
pub(crate) const ENDED: u8 = 16;
pub(crate) const WITHDRAWN: u8 = 31;
/// `CSeq` of each request to a server, and of the answers to it.
pub(crate) const SET_UP: u32 = 1;
pub(crate) const GIVE_UP: u32 = 2;
pub(crate) const ASK: u32 = 3;
pub(crate) const OTHER: u32 = 4;
/// Bytes read of a line at a time: a message fits.
pub(crate) const READ: usize = 32 << 10;
/// Bytes that may wait for a viewer that does not read them.
pub(crate) const UNREAD: usize = 256 << 10;
/// How long a release waits for a viewer's connection, ms: it has to be told within that time of the end.
pub(crate) const OWED: f64 = 8_000.0;
/// Releases that may wait.
pub(crate) const OWED_MOST: usize = 4_096;

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
    /// Ends of sessions that were told on it of late: a connection that ends may not have brought them.
    pub(crate) told: Vec<Told>,
}

/// The end of a session that its viewer is told: from where that asked, since when it is owed, and when it was written.
pub(crate) struct Told {
    pub(crate) play: u64,
    pub(crate) cause: u8,
    pub(crate) from: Option<IpAddr>,
    pub(crate) since: f64,
    pub(crate) written: f64,
}

/// A connection to a media server.
pub(crate) struct Wire {
    pub(crate) server: u32,
    /// Set-ups on it that have no answer yet.
    pub(crate) open: Vec<Open>,
    /// Ends of sessions that were told on it and of which nothing has left yet.
    pub(crate) cuts: Vec<Cut>,
    pub(crate) up: bool,
    /// When something last came on it, and when it last came or was written.
    pub(crate) heard: f64,
    pub(crate) stirred: f64,
    /// No further set-ups: it brought no answer to one while it was silent.
    pub(crate) tired: bool,
    /// When it was dialled: what a server's process before that knew is not this connection's.
    pub(crate) dialled: f64,
}

impl Wire {
    pub(crate) fn new(server: u32, now: f64) -> Wire {
        let (open, cuts) = (Vec::new(), Vec::new());
        Wire { server, open, cuts, up: false, heard: now, stirred: now, tired: false, dialled: now }
    }
}

/// A set-up on a line: where it begins among all bytes of the line, and how long it is.
#[derive(Clone, Copy)]
pub(crate) struct Open {
    pub(crate) play: u64,
    pub(crate) begins: u64,
    pub(crate) length: usize,
}

/// The end of a session that its server is to be told, and where that begins among all bytes of the line that it was written on.
pub(crate) struct Cut {
    pub(crate) server: u32,
    pub(crate) play: u64,
    pub(crate) cause: u8,
    pub(crate) since: f64,
    pub(crate) begins: u64,
}

/// An attempt that the desk wants made: the session's how-manieth.
pub(crate) struct Attempt {
    pub(crate) session: u64,
    pub(crate) number: u32,
}

/// A play as the sockets have it.
pub(crate) struct Session {
    pub(crate) viewer: ConnectionId,
    pub(crate) from: Option<IpAddr>,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    /// Where it is out or plays, and on which line.
    pub(crate) server: Option<u32>,
    pub(crate) line: Option<ConnectionId>,
    pub(crate) playing: bool,
    pub(crate) since: f64,
    /// When the attempt that is out has had its time.
    pub(crate) until: f64,
    pub(crate) attempts: u32,
    /// Lines on which an earlier attempt was given up: what still comes there is not for a later one.
    pub(crate) used: Vec<ConnectionId>,
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
    pub(crate) lines: Vec<ConnectionId>,
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

    /// Where it can be called: none while no list has told of it, or once one says that it is no more.
    pub(crate) fn callable(&self) -> Option<SocketAddr> {
        self.address.filter(|_| !self.is_gone())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Clock {
    Desk(u32),
    /// This attempt of a session has had its time.
    TimeOut(u64, u32),
    Line(ConnectionId),
    Ask,
    Look,
    Sums,
    /// After a stop, connections are taken no more.
    Door,
    /// Connections are taken again, after there was no descriptor for one.
    Accept,
    /// The file is read anew once more, after there was no descriptor for it.
    Anew,
    Stop,
}

/// What was found while the desk was busy: how an attempt ended.
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
    pub(crate) posting: Config,
    pub(crate) terms: NodeLimits,
    pub(crate) shares: Shares,
    pub(crate) lines: Lines,
    pub(crate) handle: LoopHandle<'static, Node>,
    pub(crate) door: Option<(RegistrationToken, Arc<TcpListener>)>,
    pub(crate) sessions: HashMap<u64, Session>,
    pub(crate) servers: HashMap<u32, Server>,
    pub(crate) numbers: HashMap<String, u32>,
    pub(crate) next_server: u32,
    pub(crate) clocks: Timers<Clock>,
    pub(crate) news: VecDeque<News>,
    /// Attempts that the desk wants made, and those whose viewer's connection was read only in part.
    pub(crate) outgoing: VecDeque<Attempt>,
    pub(crate) held: Vec<Attempt>,
    /// Ends that no line could carry to their servers.
    pub(crate) cuts: VecDeque<Cut>,
    pub(crate) ended: Ended,
    /// Lines that have more to read than one turn takes.
    pub(crate) again: VecDeque<ConnectionId>,
    /// Viewers' lines in the order in which they came.
    pub(crate) viewers: VecDeque<ConnectionId>,
    /// Ends of sessions that found no connection.
    pub(crate) owed: VecDeque<Told>,
    /// Set-ups without an answer.
    pub(crate) deciding: usize,
    pub(crate) rnd: oorandom::Rand64,
    pub(crate) sums: Sums,
    pub(crate) stopping: Option<f64>,
}

impl Floor {
    pub(crate) fn new(posting: Config, handle: LoopHandle<'static, Node>) -> Floor {
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
            clocks: Timers::new(unix),
            news: VecDeque::new(),
            outgoing: VecDeque::new(),
            held: Vec::new(),
            cuts: VecDeque::new(),
            ended: Ended::default(),
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
        self.clocks.schedule(due, clock);
    }

    pub(crate) fn next_clock(&self) -> Option<Duration> {
        if !self.again.is_empty() {
            return Some(Duration::ZERO);
        }
        self.clocks.time_to_next()
    }

    pub(crate) fn viewer(&mut self, key: ConnectionId) -> Option<&mut Viewer> {
        match &mut self.lines.get_mut(key)?.role {
            Role::Viewer(viewer) => Some(viewer),
            Role::Server(_) => None,
        }
    }

    pub(crate) fn wire(&mut self, key: ConnectionId) -> Option<&mut Wire> {
        match &mut self.lines.get_mut(key)?.role {
            Role::Server(wire) => Some(wire),
            Role::Viewer(_) => None,
        }
    }

    /// Whether a connection is still open at its other end, as far as can be told. What comes meanwhile is acted on at the line's
    /// own turn.
    pub(crate) fn is_there(&mut self, key: ConnectionId) -> bool {
        let Some(line) = self.lines.get_mut(key) else { return false };
        if line.read(READ) || line.closed {
            self.again.push_back(key);
        }
        self.lines.get_mut(key).is_some_and(|line| !line.closed)
    }
}
