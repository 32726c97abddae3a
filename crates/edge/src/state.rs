//! A front's state beside the dispatcher: connections, sessions, servers and their connection pools, timers, and
//! the answers written to players. The dispatcher's actions (`actions`) work on it. It never calls the dispatcher;
//! an allocation that ends during a call by the dispatcher is put into [`EdgeState::pending_allocation_ends`], which
//! [`crate::edge`] reports to the dispatcher after that call has returned. Times are in ms.

use crate::config::Config;
use crate::connections::{ConnectionId, Connections, Role, ServerRequest};
use crate::server_list::{Title, WatchedFiles};
use crate::sessions::{Answer, SessionTable};
use crate::stats::Stats;
use crate::tls::TlsConfigs;
use calloop::{LoopHandle, RegistrationToken};
use pulleystair::Outcome;
use pulleystair_admission::concurrency::ConcurrencyLimit;
use pulleystair_admission::loop_lag::LoopLag;
use pulleystair_admission::queue::AdmissionQueue;
use pulleystair_admission::read_retries::RetryBudget;
use pulleystair_admission::wall_clock::WallClock;
use pulleystair_connections::timers::Timers;
use pulleystair_dash::token::KeyRing;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{error, info};
use tracing_appender::non_blocking::ErrorCounter;

use crate::edge::Edge;
use crate::fleet::Fleet;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer that the dispatcher asked for, by its number.
    Dispatcher(u32),
    /// The time-out of a set-up: the play, and the number of its allocation.
    SetUpTimeout(u64, usize),
    /// The deadline of a connection.
    Connection(ConnectionId),
    /// A session's next deadline ([`SessionTable::next_deadline`]), by its play.
    Session(u64),
    /// A rung notification of this play got no response and is to be repeated.
    RungNotificationRetry(u64),
    /// The deadline of a play in the admission queue.
    AdmissionQueue,
    /// The poll of the list of servers and titles.
    ListPoll,
    /// The poll of keys, certificates, homes and approved versions.
    FilePoll,
    /// Connections are accepted again after accepting one failed.
    AcceptRetry,
    /// The counts are logged.
    StatsLog,
    /// The exchange with the other fronts is due.
    FleetSync,
    /// A stopping front ends the plays that are still open.
    StopDeadline,
}

/// A media server: how to reach it, its connection pool, and the requests that wait for a connection.
pub(crate) struct MediaServer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Identifies the server at all fronts; its index in [`EdgeState::servers`] is this front's own.
    pub(crate) stable_id: u64,
    pub(crate) zone: String,
    /// When the server's process started, ms since 1970.
    pub(crate) started_at: u64,
    pub(crate) idle_connections: Vec<ConnectionId>,
    /// Pooled connections to the server, idle or in use.
    pub(crate) connection_count: usize,
    pub(crate) waiting_requests: VecDeque<ServerRequest>,
    /// Limits the retries of segment reads at this server.
    pub(crate) retry_budget: RetryBudget,
}

/// The end of an allocation, to be reported to the dispatcher.
pub(crate) struct AllocationEnd {
    pub(crate) play: u64,
    pub(crate) server: u32,
    pub(crate) outcome: Outcome,
}

/// Everything that a front holds beside the dispatcher.
pub(crate) struct EdgeState {
    pub(crate) config: Config,
    /// The keys that verify entry tokens.
    pub(crate) entry_key_ring: KeyRing,
    /// The keys that sign and verify passes (session tokens).
    pub(crate) session_key_ring: KeyRing,
    pub(crate) keys_file: Option<WatchedFiles>,
    pub(crate) tls: TlsConfigs,
    /// Ids of the sessions that were revoked.
    pub(crate) revoked: HashSet<String>,
    pub(crate) connections: Connections,
    pub(crate) loop_handle: LoopHandle<'static, Edge>,
    /// The registration of the players' listening socket at the event loop.
    pub(crate) listener: Option<RegistrationToken>,
    pub(crate) sessions: SessionTable,
    /// Plays that wait to be passed to the dispatcher until another set-up may begin.
    pub(crate) admission_queue: AdmissionQueue,
    /// How many set-ups may be under way at once.
    pub(crate) set_up_limit: ConcurrencyLimit,
    /// How many set-ups are under way.
    pub(crate) pending_set_ups: usize,
    pub(crate) loop_lag: LoopLag,
    pub(crate) wall_clock: WallClock,
    /// The addresses at which players reach the fronts of this fleet, by rank. A session of a product whose effect
    /// is not read-like is served only by its home front, which [`pulleystair_admission::homes::home_front`] assigns.
    /// Empty where every front may set up any session.
    pub(crate) home_addresses: Vec<String>,
    /// The file that lists the home addresses.
    pub(crate) homes_file: Option<WatchedFiles>,
    pub(crate) list_file: WatchedFiles,
    /// The number of each title, by product and name. A number is never reused.
    pub(crate) title_numbers: HashMap<(usize, String), usize>,
    /// Each title and whether it is listed now. A title that is no longer listed is kept while a session refers to
    /// it.
    pub(crate) titles_by_number: HashMap<usize, (Rc<Title>, bool)>,
    /// The number that the next new title gets.
    pub(crate) next_title_number: usize,
    /// Every media server that has been listed, by its number at this front.
    pub(crate) servers: Vec<MediaServer>,
    /// The number of each server, by its name.
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) timers: Timers<Timer>,
    /// Ends of allocations that occurred during a call by the dispatcher, to be reported to it after that call
    /// returns.
    pub(crate) pending_allocation_ends: VecDeque<AllocationEnd>,
    /// Open connections that were accepted, those on the operators' address included.
    pub(crate) player_connection_count: usize,
    /// By player connection: the pooled connection that fetches a segment for it.
    pub(crate) fetch_connections: HashMap<ConnectionId, ConnectionId>,
    /// Requests to servers that are under way or wait for a connection.
    pub(crate) open_requests: usize,
    /// Player connections on which more input had been received when an answer was written; their next requests are
    /// handled after the current event.
    pub(crate) connections_with_buffered_request: Vec<ConnectionId>,
    /// Identifies this run of this front in the paths of its allocations.
    pub(crate) run_id: String,
    pub(crate) stats: Stats,
    /// The counts that were logged last, with the number of dropped log lines at that time.
    pub(crate) last_logged_stats: (Stats, usize),
    pub(crate) dropped_log_lines: ErrorCounter,
    /// The exchange with other fronts, where the configuration names any.
    pub(crate) fleet: Option<Box<Fleet>>,
    /// A signal to stop was received: no new plays are accepted.
    pub(crate) is_stopping: bool,
    /// A second signal to stop was received: the process exits at once.
    pub(crate) is_halted: bool,
}

/// An answer with a line of plain text.
pub(crate) fn text_answer(status: u16, why: &str) -> Answer {
    Answer { status, body: format!("{why}\n").into(), retry_after: None, location: None }
}

impl EdgeState {
    /// The event loop's time, ms since 1970; it never goes back.
    pub(crate) fn now(&self) -> f64 {
        self.timers.now()
    }

    /// The wall clock, ms since 1970, as tokens and live titles use it.
    pub(crate) fn wall_clock_now(&self) -> f64 {
        self.wall_clock.time_at(self.now())
    }

    /// Has this timer fire at `due_at`.
    pub(crate) fn schedule(&mut self, due_at: f64, timer: Timer) {
        self.timers.schedule(due_at, timer);
    }

    /// Whether the event loop is to end: on a second signal to stop, or once a stopping front has no undecided or
    /// running play, no request to a server, and nothing left to write to players.
    pub(crate) fn should_exit(&self) -> bool {
        let is_idle =
            self.sessions.deciding_count() + self.sessions.playing_count() == 0 && self.open_requests == 0;
        self.is_halted
            || self.is_stopping
                && is_idle
                && !self.connections.any_unsent_bytes(|role| matches!(role, Role::Player(_)))
    }

    /// The server's name for the log.
    pub(crate) fn server_name(&self, server: u32) -> &str {
        self.servers.get(server as usize).map_or("?", |s| s.name.as_str())
    }

    /// Sets a connection's deadline and schedules its timer.
    pub(crate) fn set_connection_deadline(&mut self, connection_id: ConnectionId, deadline: f64) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.deadline = deadline;
            self.schedule(deadline, Timer::Connection(connection_id));
        }
    }

    /// Starts or stops accepting players' connections; those on the operators' address are not affected.
    pub(crate) fn set_accepting(&self, is_accepting: bool) {
        let Some(listener) = &self.listener else { return };
        let result =
            if is_accepting { self.loop_handle.enable(listener) } else { self.loop_handle.disable(listener) };
        if let Err(e) = result {
            error!(target: "front", "can't enable or disable the listening socket: {e}");
        }
    }

    /// Logs the counts, where they have changed since they were last logged.
    pub(crate) fn log_stats(&mut self) {
        let counts = (self.stats, self.dropped_log_lines.dropped_lines());
        if counts == self.last_logged_stats {
            return;
        }
        self.last_logged_stats = counts;
        let Stats { taken, away, played, declined, failed, left, ended, lost, allocations, segments } =
            counts.0;
        let deciding = self.sessions.deciding_count();
        info!(
            target: "tally", taken, away, played, declined, failed, left, deciding, ended, lost, allocations, segments,
            lines_dropped = counts.1, "counts since the start",
        );
    }
}
