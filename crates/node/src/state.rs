//! What a node keeps: the lines, the sessions that viewers asked for, the media servers, and the clocks. What is written to either
//! side is in `to_viewers` and `to_servers`, what the desk has done in `hands`.

use crate::config::{Config, NodeLimits};
use crate::ended_sessions::EndedSessions;
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

pub(crate) type Connections = pulleystair_connections::Connections<Node, Role>;

/// Causes that viewers are given: refused, trying again is harmless; failed; the session is over.
pub(crate) const CAUSE_REFUSED: u8 = 34;
pub(crate) const CAUSE_BUSY: u8 = 42;
pub(crate) const CAUSE_FAILED: u8 = 41;
pub(crate) const CAUSE_UNUSABLE: u8 = 100;
/// Causes on the way to servers and back.
pub(crate) const CAUSE_ENDED: u8 = 16;
pub(crate) const CAUSE_WITHDRAWN: u8 = 31;
/// `CSeq` of each request to a server, and of the answers to it.
pub(crate) const CSEQ_SET_UP: u32 = 1;
pub(crate) const CSEQ_TEARDOWN: u32 = 2;
pub(crate) const CSEQ_PROBE: u32 = 3;
pub(crate) const CSEQ_OTHER: u32 = 4;
/// Bytes read of a line at a time: a message fits.
pub(crate) const MAX_INPUT_BYTES: usize = 32 << 10;
/// Bytes that may wait for a viewer that does not read them.
pub(crate) const MAX_UNREAD_BYTES: usize = 256 << 10;
/// How long a release waits for a viewer's connection, ms: it has to be told within that time of the end.
pub(crate) const NOTICE_TTL_MS: f64 = 8_000.0;
/// Releases that may wait.
pub(crate) const MAX_NOTICES: usize = 4_096;

pub(crate) enum Role {
    Viewer(ViewerConnection),
    Server(ServerConnection),
}

/// A viewer's connection.
pub(crate) struct ViewerConnection {
    pub(crate) accepted_at: f64,
    /// A set-up that could be taken has come on it.
    pub(crate) is_proven: bool,
    /// Set-ups on it that have no answer yet.
    pub(crate) pending_set_ups: Vec<u64>,
    /// Turned away on it, for whatever cause.
    pub(crate) refusals: usize,
    /// Ends of sessions that were told on it of late: a connection that ends may not have brought them.
    pub(crate) recent_notices: Vec<EndNotice>,
}

/// The end of a session that its viewer is told: from where that asked, since when it is owed, and when it was written.
pub(crate) struct EndNotice {
    pub(crate) play: u64,
    pub(crate) cause: u8,
    pub(crate) viewer_ip: Option<IpAddr>,
    pub(crate) ended_at: f64,
    pub(crate) written_at: f64,
}

/// A connection to a media server.
pub(crate) struct ServerConnection {
    pub(crate) server: u32,
    /// Set-ups on it that have no answer yet.
    pub(crate) pending_set_ups: Vec<PendingSetUp>,
    /// Ends of sessions that were told on it and of which nothing has left yet.
    pub(crate) unsent_releases: Vec<ReleaseNotice>,
    pub(crate) is_up: bool,
    /// When something last came on it, and when it last came or was written.
    pub(crate) last_heard_at: f64,
    pub(crate) last_active_at: f64,
    /// No further set-ups: it brought no answer to one while it was silent.
    pub(crate) is_unresponsive: bool,
    /// When it was dialled: what a server's process before that knew is not this connection's.
    pub(crate) dialled_at: f64,
}

impl ServerConnection {
    pub(crate) fn new(server: u32, now: f64) -> ServerConnection {
        let (pending_set_ups, unsent_releases) = (Vec::new(), Vec::new());
        ServerConnection {
            server,
            pending_set_ups,
            unsent_releases,
            is_up: false,
            last_heard_at: now,
            last_active_at: now,
            is_unresponsive: false,
            dialled_at: now,
        }
    }
}

/// A set-up on a line: where it begins among all bytes of the line, and how long it is.
#[derive(Clone, Copy)]
pub(crate) struct PendingSetUp {
    pub(crate) play: u64,
    pub(crate) offset: u64,
    pub(crate) length: usize,
}

/// The end of a session that its server is to be told, and where that begins among all bytes of the line that it was written on.
pub(crate) struct ReleaseNotice {
    pub(crate) server: u32,
    pub(crate) play: u64,
    pub(crate) cause: u8,
    pub(crate) created_at: f64,
    pub(crate) offset: u64,
}

/// An attempt that the desk wants made: the session's how-manieth.
pub(crate) struct Attempt {
    pub(crate) session: u64,
    pub(crate) number: u32,
}

/// A play as the sockets have it.
pub(crate) struct Session {
    pub(crate) viewer_connection: ConnectionId,
    pub(crate) viewer_ip: Option<IpAddr>,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    /// Where it is out or plays, and on which line.
    pub(crate) server: Option<u32>,
    pub(crate) server_connection: Option<ConnectionId>,
    pub(crate) is_playing: bool,
    pub(crate) since: f64,
    /// When the attempt that is out has had its time.
    pub(crate) attempt_deadline: f64,
    pub(crate) attempts: u32,
    /// Lines on which an earlier attempt was given up: what still comes there is not for a later one.
    pub(crate) abandoned_connections: Vec<ConnectionId>,
    pub(crate) rung: usize,
    pub(crate) rung_sent: usize,
    /// The cause with which its viewer ended it.
    pub(crate) release_cause: u8,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: String,
    /// None while no list has told of it.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) listing: Listing,
    pub(crate) connections: Vec<ConnectionId>,
    pub(crate) playing_sessions: usize,
    pub(crate) last_heard_at: f64,
    /// How many connections in a row could not be made while plays stand there.
    pub(crate) failed_dials: u32,
}

impl Server {
    /// The list says that it is no more.
    pub(crate) fn is_gone(&self) -> bool {
        self.listing.standing == Standing::Gone
    }

    /// Where it can be called: none while no list has told of it, or once one says that it is no more.
    pub(crate) fn dial_address(&self) -> Option<SocketAddr> {
        self.address.filter(|_| !self.is_gone())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Dispatcher(u32),
    /// This attempt of a session has had its time.
    AttemptDeadline(u64, u32),
    ConnectionDeadline(ConnectionId),
    QueryList,
    CheckServers,
    LogStats,
    /// After a stop, connections are taken no more.
    CloseListener,
    /// Connections are taken again, after there was no descriptor for one.
    ResumeAccepting,
    /// The file is read anew once more, after there was no descriptor for it.
    ReloadConfig,
    StopDeadline,
}

/// What was found while the desk was busy: how an attempt ended.
pub(crate) struct AllocationEnd {
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

pub(crate) struct NodeState {
    pub(crate) config: Config,
    pub(crate) limits: NodeLimits,
    pub(crate) shares: Shares,
    pub(crate) connections: Connections,
    pub(crate) loop_handle: LoopHandle<'static, Node>,
    pub(crate) listener: Option<(RegistrationToken, Arc<TcpListener>)>,
    pub(crate) sessions: HashMap<u64, Session>,
    pub(crate) servers: HashMap<u32, Server>,
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) next_server_number: u32,
    pub(crate) timers: Timers<Timer>,
    pub(crate) finished_allocations: VecDeque<AllocationEnd>,
    /// Attempts that the desk wants made, and those whose viewer's connection was read only in part.
    pub(crate) outgoing_attempts: VecDeque<Attempt>,
    pub(crate) held_attempts: Vec<Attempt>,
    /// Ends that no line could carry to their servers.
    pub(crate) pending_releases: VecDeque<ReleaseNotice>,
    pub(crate) ended_sessions: EndedSessions,
    /// Lines that have more to read than one turn takes.
    pub(crate) revisit_queue: VecDeque<ConnectionId>,
    /// Viewers' lines in the order in which they came.
    pub(crate) viewer_connections: VecDeque<ConnectionId>,
    /// Ends of sessions that found no connection.
    pub(crate) pending_notices: VecDeque<EndNotice>,
    /// Set-ups without an answer.
    pub(crate) undecided_set_ups: usize,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) stats: Sums,
    pub(crate) stopping_since: Option<f64>,
}

impl NodeState {
    pub(crate) fn new(config: Config, loop_handle: LoopHandle<'static, Node>) -> NodeState {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        NodeState {
            limits: config.node_limits(),
            shares: Shares::new(config.limits.sockets),
            rng: oorandom::Rand64::new(config.salt.into()),
            config,
            connections: Connections::new(loop_handle.clone()),
            loop_handle,
            listener: None,
            sessions: HashMap::new(),
            servers: HashMap::new(),
            server_numbers: HashMap::new(),
            next_server_number: 0,
            timers: Timers::new(unix_ms),
            finished_allocations: VecDeque::new(),
            outgoing_attempts: VecDeque::new(),
            held_attempts: Vec::new(),
            pending_releases: VecDeque::new(),
            ended_sessions: EndedSessions::default(),
            revisit_queue: VecDeque::new(),
            viewer_connections: VecDeque::new(),
            pending_notices: VecDeque::new(),
            undecided_set_ups: 0,
            stats: Sums::default(),
            stopping_since: None,
        }
    }

    /// Unix ms, from one reading of the wall clock at start.
    pub(crate) fn now(&self) -> f64 {
        self.timers.now()
    }

    pub(crate) fn schedule(&mut self, due_at: f64, timer: Timer) {
        self.timers.schedule(due_at, timer);
    }

    pub(crate) fn time_to_next_timer(&self) -> Option<Duration> {
        if !self.revisit_queue.is_empty() {
            return Some(Duration::ZERO);
        }
        self.timers.time_to_next()
    }

    pub(crate) fn viewer_connection(&mut self, connection_id: ConnectionId) -> Option<&mut ViewerConnection> {
        match &mut self.connections.get_mut(connection_id)?.role {
            Role::Viewer(viewer) => Some(viewer),
            Role::Server(_) => None,
        }
    }

    pub(crate) fn server_connection(&mut self, connection_id: ConnectionId) -> Option<&mut ServerConnection> {
        match &mut self.connections.get_mut(connection_id)?.role {
            Role::Server(server_connection) => Some(server_connection),
            Role::Viewer(_) => None,
        }
    }

    /// Whether a connection is still open at its other end, as far as can be told. What comes meanwhile is acted on at the line's
    /// own turn.
    pub(crate) fn is_peer_open(&mut self, connection_id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(connection_id) else { return false };
        if connection.read(MAX_INPUT_BYTES) || connection.closed {
            self.revisit_queue.push_back(connection_id);
        }
        self.connections.get_mut(connection_id).is_some_and(|connection| !connection.closed)
    }
}
