//! The floor: what the desk's hands work with. Connections, the sessions' book, servers and their pools, clocks,
//! and the answers written to players. It never calls the desk; what it finds while the desk is busy goes to
//! [`EdgeState::finished_allocations`], which [`crate::edge`] tells afterwards.

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
    Dispatcher(u32),
    /// The time-out of a play's so-many-th allocation.
    SetUpTimeout(u64, usize),
    Connection(ConnectionId),
    Session(u64),
    /// The word of a step of this play was lost: it is told again.
    RungRetry(u64),
    AdmissionQueue,
    ListPoll,
    FilePoll,
    AcceptRetry,
    StatsLog,
    FleetSync,
    StopDeadline,
}

/// A media server as the floor knows it: how to reach it, and the lines that are there.
pub(crate) struct MediaServer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Its number for all fronts alike.
    pub(crate) stable_id: u64,
    pub(crate) zone: String,
    /// When its process started, ms since 1970.
    pub(crate) started_at: u64,
    pub(crate) idle_connections: Vec<ConnectionId>,
    pub(crate) connection_count: usize,
    pub(crate) waiting_requests: VecDeque<ServerRequest>,
    /// Further tries of segments' reads there.
    pub(crate) retry_budget: RetryBudget,
}

/// An allocation's end that was found while the desk was busy.
pub(crate) struct AllocationEnd {
    pub(crate) play: u64,
    pub(crate) server: u32,
    pub(crate) outcome: Outcome,
}

pub(crate) struct EdgeState {
    pub(crate) config: Config,
    pub(crate) entry_keys: KeyRing,
    pub(crate) pass_keys: KeyRing,
    pub(crate) keys_file: Option<WatchedFiles>,
    pub(crate) tls: TlsConfigs,
    pub(crate) revoked: HashSet<String>,
    pub(crate) connections: Connections,
    pub(crate) loop_handle: LoopHandle<'static, Edge>,
    pub(crate) listener: Option<RegistrationToken>,
    pub(crate) sessions: SessionTable,
    /// Who waits until a set-up more may be out, how many may be and are.
    pub(crate) queue: AdmissionQueue,
    pub(crate) set_up_limit: ConcurrencyLimit,
    pub(crate) pending_set_ups: usize,
    pub(crate) loop_lag: LoopLag,
    pub(crate) wall_clock: WallClock,
    /// Where the fronts of this fleet are to be had by players, by rank, and the file that tells; none where they
    /// may all set up any session.
    pub(crate) home_addresses: Vec<String>,
    pub(crate) homes_file: Option<WatchedFiles>,
    pub(crate) list_file: WatchedFiles,
    /// Every title has a number that no other ever has; what is listed now is told beside what it is. One that is
    /// listed no more is kept while a session knows it.
    pub(crate) title_numbers: HashMap<(usize, String), usize>,
    pub(crate) titles_by_number: HashMap<usize, (Rc<Title>, bool)>,
    pub(crate) next_title_number: usize,
    pub(crate) servers: Vec<MediaServer>,
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) timers: Timers<Timer>,
    pub(crate) finished_allocations: VecDeque<AllocationEnd>,
    pub(crate) player_count: usize,
    /// The pooled connection that fetches for a player, and how many errands are out or wait.
    pub(crate) fetch_connections: HashMap<ConnectionId, ConnectionId>,
    pub(crate) open_requests: usize,
    /// Players with a further request at hand when their answer was written.
    pub(crate) players_to_resume: Vec<ConnectionId>,
    /// Names this run of this front in the names of its allocations.
    pub(crate) run_id: String,
    pub(crate) stats: Stats,
    /// The sums as they were last written, and the log's count of lines that it dropped.
    pub(crate) last_logged_stats: (Stats, usize),
    pub(crate) dropped_log_lines: ErrorCounter,
    /// Other fronts, where the rundown names any.
    pub(crate) fleet: Option<Box<Fleet>>,
    pub(crate) is_stopping: bool,
    /// A second signal came.
    pub(crate) is_halted: bool,
}

pub(crate) fn text_answer(status: u16, why: &str) -> Answer {
    Answer { status, body: format!("{why}\n").into(), retry_after: None, location: None }
}

impl EdgeState {
    /// ms since 1970, never going back.
    pub(crate) fn now(&self) -> f64 {
        self.timers.now()
    }

    /// ms since 1970 as tokens and live titles have it.
    pub(crate) fn wall_clock_now(&self) -> f64 {
        self.wall_clock.time_at(self.now())
    }

    pub(crate) fn schedule(&mut self, at: f64, clock: Timer) {
        self.timers.schedule(at, clock);
    }

    pub(crate) fn is_finished(&self) -> bool {
        let idle = self.sessions.deciding() + self.sessions.playing() == 0 && self.open_requests == 0;
        self.is_halted
            || self.is_stopping
                && idle
                && !self.connections.any_pending(|role| matches!(role, Role::Player(_)))
    }

    pub(crate) fn server_name(&self, server: u32) -> &str {
        self.servers.get(server as usize).map_or("?", |s| s.name.as_str())
    }

    pub(crate) fn set_connection_deadline(&mut self, key: ConnectionId, due: f64) {
        if let Some(line) = self.connections.get_mut(key) {
            line.deadline = due;
            self.schedule(due, Timer::Connection(key));
        }
    }

    pub(crate) fn set_accepting(&self, so: bool) {
        let Some(door) = &self.listener else { return };
        let done = if so { self.loop_handle.enable(door) } else { self.loop_handle.disable(door) };
        if let Err(e) = done {
            error!(target: "front", "the listening socket can't be set: {e}");
        }
    }

    /// Writes the sums, where they have changed since they were last written.
    pub(crate) fn log_stats(&mut self) {
        let sums = (self.stats, self.dropped_log_lines.dropped_lines());
        if sums == self.last_logged_stats {
            return;
        }
        self.last_logged_stats = sums;
        let Stats { taken, away, played, declined, failed, left, ended, lost, allocations, segments } =
            sums.0;
        let deciding = self.sessions.deciding();
        info!(
            target: "tally", taken, away, played, declined, failed, left, deciding, ended, lost, allocations, segments,
            lines_dropped = sums.1, "since the start",
        );
    }
}
