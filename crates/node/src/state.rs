//! The state of a node beside the dispatcher: connections, sessions that viewers requested, media servers and
//! timers. The methods that send to viewers and servers are in `to_viewers` and `to_servers`; those that the
//! dispatcher calls are in `actions`.

use crate::config::{Config, NodeLimits};
use crate::ended_sessions::EndedSessions;
use crate::hand_overs::UnlistedHandOvers;
use crate::held_bytes::{HeldBytes, HeldTotal};
use crate::media_server::{Server, ServerConnection, Teardown};
use crate::node::Node;
use crate::recent_plays::{EarlierAttempts, RecentPlays};
use crate::revisit_queue::RevisitQueue;
use crate::shares::Shares;
use calloop::{LoopHandle, RegistrationToken};
use pulleystair::Outcome;
use pulleystair_connections::ConnectionId;
use pulleystair_connections::timers::Timers;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The connections of a node, with their roles.
pub(crate) type Connections = pulleystair_connections::Connections<Node, Role>;

/// Causes that are sent to viewers: the play was declined or the node is busy (in both cases nothing ran, so
/// a retry is harmless), the play failed or its session was lost, the set-up is unusable.
pub(crate) const CAUSE_DECLINED: u8 = 34;
pub(crate) const CAUSE_BUSY: u8 = 42;
pub(crate) const CAUSE_FAILED: u8 = 41;
pub(crate) const CAUSE_UNUSABLE: u8 = 100;
/// Causes that are sent to servers and received from them: the session has finished, or was given up.
pub(crate) const CAUSE_ENDED: u8 = 16;
pub(crate) const CAUSE_WITHDRAWN: u8 = 31;
/// The `CSeq` of each kind of request to a server, which its responses repeat.
pub(crate) const CSEQ_SET_UP: u32 = 1;
pub(crate) const CSEQ_TEARDOWN: u32 = 2;
pub(crate) const CSEQ_PROBE: u32 = 3;
pub(crate) const CSEQ_OTHER: u32 = 4;
/// Maximum number of bytes of input that are kept of a connection to a server. A message fits, and the
/// beginning of the next.
pub(crate) const MAX_SERVER_INPUT_BYTES: usize = 32 << 10;
/// Maximum number of bytes of input that are kept of a viewer's connection: the longest message.
pub(crate) const MAX_VIEWER_INPUT_BYTES: usize = pulleystair_viewer_protocol::MAX_BYTES;
/// How long after the end of a session notices of it are sent, ms. The viewer has to be notified within this
/// time.
pub(crate) const NOTICE_TTL_MS: f64 = 8_000.0;
/// Maximum number of notices that wait for a connection.
pub(crate) const MAX_NOTICES: usize = 4_096;

/// Who the peer of a connection is.
pub(crate) enum Role {
    Viewer(ViewerConnection),
    Server(ServerConnection),
}

/// A viewer's connection.
pub(crate) struct ViewerConnection {
    /// The viewer's address.
    pub(crate) ip: Option<IpAddr>,
    /// When it was accepted, Unix ms. Infinite once a health check has arrived on it, which means that it is
    /// not closed for lack of a set-up.
    pub(crate) accepted_at: f64,
    /// Whether a set-up was accepted, the adoption of a session requested, or a playing session ended on it.
    pub(crate) is_identified: bool,
    /// Plays whose set-up on this connection has no answer yet.
    pub(crate) pending_set_ups: Vec<u64>,
    /// What was handled of this connection in the last turn in which anything was.
    pub(crate) handled_in_turn: HandledInTurn,
    /// End notices that were queued recently. If the connection ends, the viewer may not have received them.
    pub(crate) recent_notices: Vec<EndNotice>,
}

/// How much of a connection's input was handled in a turn of the event loop.
#[derive(Default)]
pub(crate) struct HandledInTurn {
    /// The number of the turn.
    pub(crate) turn: u64,
    /// How many messages, and their bytes.
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
}

/// The notice to a viewer that its session has ended.
#[derive(Clone, Copy)]
pub(crate) struct EndNotice {
    pub(crate) play: u64,
    pub(crate) cause: u8,
    /// The address from which the viewer sent its set-up.
    pub(crate) viewer_ip: Option<IpAddr>,
    /// When the session ended, Unix ms.
    pub(crate) ended_at: f64,
    /// When the notice was last queued on a connection, Unix ms.
    pub(crate) queued_at: f64,
    /// Whether it was sent on a connection from another address, and is kept for one from its viewer's.
    pub(crate) is_sent_elsewhere: bool,
}

/// An attempt that the dispatcher requests, numbered from 1 within its play.
pub(crate) struct Attempt {
    pub(crate) play: u64,
    pub(crate) number: u32,
}

/// A play, from its set-up to the end of its session.
pub(crate) struct Session {
    /// The connection on which the viewer sent the set-up.
    pub(crate) viewer_connection_id: ConnectionId,
    pub(crate) viewer_ip: Option<IpAddr>,
    pub(crate) class: String,
    pub(crate) title: String,
    /// The description that is sent to a server; empty once the session plays.
    pub(crate) description: HeldBytes,
    /// The number of the server of the current attempt or playing session, and the connection to that server.
    pub(crate) server_number: Option<u32>,
    pub(crate) server_connection_id: Option<ConnectionId>,
    /// Whether the server has accepted the set-up.
    pub(crate) is_playing: bool,
    /// When the current attempt was made or, once the session plays, when that began, Unix ms; negative
    /// infinity if the session was handed over and so began before.
    pub(crate) phase_started_at: f64,
    /// When the current attempt times out, Unix ms.
    pub(crate) attempt_deadline: f64,
    /// How many attempts were made, which is also the number of the current one.
    pub(crate) attempts: u32,
    /// Connections on which earlier attempts were made. What arrives there late or twice must not be taken for
    /// the response to a newer attempt, so no newer attempt uses them.
    pub(crate) earlier_connections: Vec<ConnectionId>,
    /// The number of the first server at which an attempt may have run, and when that attempt was made, Unix ms.
    pub(crate) may_have_run: Option<(u32, f64)>,
    pub(crate) rung: usize,
    /// The last rung that was sent to the server or reported by it.
    pub(crate) rung_sent: usize,
    /// The cause with which the viewer ended the session, to be sent to its server.
    pub(crate) release_cause: u8,
}

/// What is left of a session that was removed.
pub(crate) struct EndedSession {
    pub(crate) viewer_connection_id: ConnectionId,
    pub(crate) viewer_ip: Option<IpAddr>,
    pub(crate) server_number: Option<u32>,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the dispatcher.
    Dispatcher(u32),
    /// The attempt with this number of this play times out.
    AttemptDeadline(u64, u32),
    /// The deadline of a connection may have passed.
    ConnectionDeadline(ConnectionId),
    /// The end notice of this play has waited long enough for a connection from its viewer's address.
    EndNotice(u64),
    /// The name service is queried.
    QueryList,
    /// Servers with sessions are pinged, dialled or lost if they are silent.
    CheckLiveness,
    /// What waits for a server is checked: hand-overs and TEARDOWNs.
    CheckServers,
    /// The counters are logged.
    LogStats,
    /// After a stop signal, no further connections are accepted.
    CloseListener,
    /// Connections are accepted again, after there was no descriptor for one.
    ResumeAccepting,
    /// The configuration file is read again, after there was no descriptor for it.
    ReloadConfig,
    /// The node answers everything that is pending, and ends.
    StopDeadline,
}

/// The end of an attempt or the withdrawal of a playing session. It is queued to be reported, because the
/// dispatcher was busy when it came about. The dispatcher calls an attempt an allocation.
pub(crate) struct AttemptEnd {
    pub(crate) play: u64,
    pub(crate) server_number: u32,
    pub(crate) outcome: Outcome,
}

/// Counters since the start, for the log.
#[derive(Default, Debug)]
pub(crate) struct Sums {
    /// Usable set-ups, without adopted sessions.
    pub(crate) asked: u64,
    /// Sessions that started to play.
    pub(crate) played: u64,
    /// Plays that the dispatcher declined.
    pub(crate) declined: u64,
    /// Plays that the dispatcher failed.
    pub(crate) failed: u64,
    /// Set-ups and other messages from viewers that could not be used.
    pub(crate) unusable: u64,
    /// Set-ups and hand-overs that were rejected because too many were held or too many viewers' connections
    /// were open.
    pub(crate) flooded: u64,
    /// Set-ups that were sent to servers.
    pub(crate) sent: u64,
    /// Sessions that finished.
    pub(crate) ended: u64,
    /// Sessions that broke.
    pub(crate) lost: u64,
    /// Load reports that the dispatcher requested.
    pub(crate) probes: u64,
    /// Load reports that were requested of servers that may have restarted.
    pub(crate) pings: u64,
    /// Successful responses that arrived after their attempt was abandoned.
    pub(crate) late: u64,
    /// Connections to servers that brought input that cannot be parsed.
    pub(crate) spoilt: u64,
    /// Viewers' connections that were closed to free their descriptors.
    pub(crate) evicted: u64,
    /// Rung changes to be sent to servers.
    pub(crate) steps: u64,
    /// TEARDOWNs that were dropped, because too many waited for their servers.
    pub(crate) dropped_teardowns: u64,
}

/// The state of a node beside the dispatcher.
pub(crate) struct NodeState {
    pub(crate) config: Config,
    pub(crate) limits: NodeLimits,
    pub(crate) shares: Shares,
    pub(crate) connections: Connections,
    pub(crate) loop_handle: LoopHandle<'static, Node>,
    /// The listener and its registration with the event loop; `None` once it is closed.
    pub(crate) listener: Option<(RegistrationToken, Arc<TcpListener>)>,
    /// The sessions and pending set-ups by play id.
    pub(crate) sessions: HashMap<u64, Session>,
    /// The servers by the number that the dispatcher uses.
    pub(crate) servers: HashMap<u32, Server>,
    /// The numbers of the servers on which sessions play.
    pub(crate) playing_servers: BTreeSet<u32>,
    /// The numbers of the servers by their ids in the list. Only a list adds an id.
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) next_server_number: u32,
    pub(crate) timers: Timers<Timer>,
    /// When each timer of the dispatcher is due, Unix ms. Only the one that was set last counts.
    pub(crate) dispatcher_timers: HashMap<u32, f64>,
    /// Ends of attempts, and withdrawals, that are still to be reported to the dispatcher.
    pub(crate) unreported_ends: VecDeque<AttemptEnd>,
    /// Attempts that the dispatcher requested, and those of them whose viewer's connection was read only in
    /// part.
    pub(crate) outgoing_attempts: VecDeque<Attempt>,
    pub(crate) held_attempts: Vec<Attempt>,
    /// TEARDOWNs that are still to be sent, for lack of a connection to their servers.
    pub(crate) pending_teardowns: VecDeque<Teardown>,
    pub(crate) ended_sessions: EndedSessions,
    pub(crate) recent_plays: RecentPlays,
    /// Sessions handed over at servers that the list does not name.
    pub(crate) unlisted_hand_overs: UnlistedHandOvers,
    /// Connections to be handled again in the next turn: they may have input left, or are closed.
    pub(crate) revisit_queue: RevisitQueue,
    /// The number of the present turn of the event loop.
    pub(crate) turn: u64,
    /// Viewers' connections in the order in which they were accepted.
    pub(crate) viewer_connections: VecDeque<ConnectionId>,
    /// End notices that found no connection to their viewer.
    pub(crate) pending_notices: VecDeque<EndNotice>,
    /// How many set-ups have no answer yet.
    pub(crate) pending_set_up_count: usize,
    /// How many bytes the descriptions of all sessions have.
    pub(crate) held_descriptions: HeldTotal,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) stats: Sums,
    /// When the node was told to stop, Unix ms.
    pub(crate) stopping_since: Option<f64>,
}

impl NodeState {
    pub(crate) fn new(config: Config, loop_handle: LoopHandle<'static, Node>) -> NodeState {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
        NodeState {
            limits: config.node_limits(),
            shares: Shares::new(&config.limits),
            rng: oorandom::Rand64::new(config.salt.into()),
            config,
            connections: Connections::new(loop_handle.clone()),
            loop_handle,
            listener: None,
            sessions: HashMap::new(),
            servers: HashMap::new(),
            playing_servers: BTreeSet::new(),
            server_numbers: HashMap::new(),
            next_server_number: 0,
            timers: Timers::new(unix_ms),
            dispatcher_timers: HashMap::new(),
            unreported_ends: VecDeque::new(),
            outgoing_attempts: VecDeque::new(),
            held_attempts: Vec::new(),
            pending_teardowns: VecDeque::new(),
            ended_sessions: EndedSessions::default(),
            recent_plays: RecentPlays::default(),
            unlisted_hand_overs: UnlistedHandOvers::default(),
            revisit_queue: RevisitQueue::default(),
            turn: 0,
            viewer_connections: VecDeque::new(),
            pending_notices: VecDeque::new(),
            pending_set_up_count: 0,
            held_descriptions: HeldTotal::default(),
            stats: Sums::default(),
            stopping_since: None,
        }
    }

    /// The current time in Unix ms, based on one reading of the wall clock at start.
    pub(crate) fn now(&self) -> f64 {
        self.timers.now()
    }

    /// Sets a timer that fires at `due_at`, Unix ms.
    pub(crate) fn schedule(&mut self, due_at: f64, timer: Timer) {
        self.timers.schedule(due_at, timer);
    }

    /// Cancels a timer that was set for `due_at`, Unix ms.
    pub(crate) fn cancel_timer(&mut self, due_at: f64, timer: Timer) {
        self.timers.cancel(due_at, timer);
    }

    /// How long the event loop may wait for events: until the next timer, or not at all if connections are to
    /// be handled again.
    pub(crate) fn dispatch_timeout(&self) -> Option<Duration> {
        if !self.revisit_queue.is_empty() {
            return Some(Duration::ZERO);
        }
        self.timers.time_to_next()
    }

    /// Removes a session that is over. What may have run of it is remembered, in case its viewer comes again.
    pub(crate) fn remove_session(&mut self, play: u64) -> Option<EndedSession> {
        let session = self.sessions.remove(&play)?;
        let ended = EndedSession {
            viewer_connection_id: session.viewer_connection_id,
            viewer_ip: session.viewer_ip,
            server_number: session.server_number,
        };
        let now = self.now();
        if let Some(attempts) = EarlierAttempts::of(session) {
            self.recent_plays.insert(now, play, attempts);
        }
        Some(ended)
    }

    /// The node's state of a viewer's connection, or `None` if the connection is closed or leads to a server.
    pub(crate) fn viewer_connection(&mut self, connection_id: ConnectionId) -> Option<&mut ViewerConnection> {
        match &mut self.connections.get_mut(connection_id)?.role {
            Role::Viewer(viewer) => Some(viewer),
            Role::Server(_) => None,
        }
    }

    /// The node's state of a connection to a server, or `None` if it is closed or leads to a viewer.
    pub(crate) fn server_connection(&mut self, connection_id: ConnectionId) -> Option<&mut ServerConnection> {
        match &mut self.connections.get_mut(connection_id)?.role {
            Role::Server(server_connection) => Some(server_connection),
            Role::Viewer(_) => None,
        }
    }

    /// Whether the peer has kept the connection open, as far as is known. This reads the connection; what it
    /// finds is handled when the connection's turn in `revisit_queue` comes.
    pub(crate) fn is_peer_open(&mut self, connection_id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(connection_id) else { return false };
        let max_bytes = match connection.role {
            Role::Viewer(_) => MAX_VIEWER_INPUT_BYTES,
            Role::Server(_) => MAX_SERVER_INPUT_BYTES,
        };
        if connection.read(max_bytes) || connection.has_ended {
            self.revisit_queue.push(connection_id);
        }
        self.connections.get_mut(connection_id).is_some_and(|connection| !connection.has_ended)
    }
}
