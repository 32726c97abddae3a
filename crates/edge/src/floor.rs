//! The floor: what the desk's hands work with. Connections, the sessions' book, servers and their pools, clocks,
//! and the answers written to players. It never calls the desk; what it finds while the desk is busy goes to
//! [`Floor::news`], which [`crate::edge`] tells afterwards.

use crate::config::Config;
use crate::connections::{ConnectionId, Errand, Lines, Role};
use crate::seals::Seals;
use crate::server_list::{Title, Watched};
use crate::sessions::{Book, Final};
use crate::tally::Tally;
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

use crate::company::Company;
use crate::edge::Edge;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Clock {
    Desk(u32),
    /// The time-out of a play's so-many-th allocation.
    TimeOut(u64, usize),
    Line(ConnectionId),
    Session(u64),
    /// The word of a step of this play was lost: it is told again.
    Rung(u64),
    Queue,
    List,
    Keys,
    Accept,
    Tally,
    Fleet,
    Stop,
}

/// A media server as the floor knows it: how to reach it, and the lines that are there.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Its number for all fronts alike.
    pub(crate) id: u64,
    pub(crate) zone: String,
    /// When its process started, ms since 1970.
    pub(crate) born: u64,
    pub(crate) idle: Vec<ConnectionId>,
    pub(crate) lines: usize,
    pub(crate) queue: VecDeque<Errand>,
    /// Further tries of segments' reads there.
    pub(crate) budget: RetryBudget,
}

/// An allocation's end that was found while the desk was busy.
pub(crate) struct News {
    pub(crate) play: u64,
    pub(crate) server: u32,
    pub(crate) outcome: Outcome,
}

pub(crate) struct Floor {
    pub(crate) rundown: Config,
    pub(crate) entry_keys: KeyRing,
    pub(crate) pass_keys: KeyRing,
    pub(crate) keys: Option<Watched>,
    pub(crate) seals: Seals,
    pub(crate) revoked: HashSet<String>,
    pub(crate) lines: Lines,
    pub(crate) handle: LoopHandle<'static, Edge>,
    pub(crate) door: Option<RegistrationToken>,
    pub(crate) book: Book,
    /// Who waits until a set-up more may be out, how many may be and are.
    pub(crate) queue: AdmissionQueue,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) out: usize,
    pub(crate) lag: LoopLag,
    pub(crate) wall: WallClock,
    /// Where the fronts of this fleet are to be had by players, by rank, and the file that tells; none where they
    /// may all set up any session.
    pub(crate) homes: Vec<String>,
    pub(crate) homes_file: Option<Watched>,
    pub(crate) watched: Watched,
    /// Every title has a number that no other ever has; what is listed now is told beside what it is. One that is
    /// listed no more is kept while a session knows it.
    pub(crate) titles: HashMap<(usize, String), usize>,
    pub(crate) shows: HashMap<usize, (Rc<Title>, bool)>,
    pub(crate) next_title: usize,
    pub(crate) servers: Vec<Server>,
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) clocks: Timers<Clock>,
    pub(crate) news: VecDeque<News>,
    pub(crate) players: usize,
    /// The pooled connection that fetches for a player, and how many errands are out or wait.
    pub(crate) fetchers: HashMap<ConnectionId, ConnectionId>,
    pub(crate) errands_out: usize,
    /// Players with a further request at hand when their answer was written.
    pub(crate) woken: Vec<ConnectionId>,
    /// Names this run of this front in the names of its allocations.
    pub(crate) run: String,
    pub(crate) tally: Tally,
    /// The sums as they were last written, and the log's count of lines that it dropped.
    pub(crate) tallied: (Tally, usize),
    pub(crate) dropped: ErrorCounter,
    /// Other fronts, where the rundown names any.
    pub(crate) company: Option<Box<Company>>,
    pub(crate) stopping: bool,
    /// A second signal came.
    pub(crate) halted: bool,
}

pub(crate) fn words(status: u16, why: &str) -> Final {
    Final { status, body: format!("{why}\n").into(), retry_after: None, location: None }
}

impl Floor {
    /// ms since 1970, never going back.
    pub(crate) fn now(&self) -> f64 {
        self.clocks.now()
    }

    /// ms since 1970 as tokens and live titles have it.
    pub(crate) fn time_of_day(&self) -> f64 {
        self.wall.time_at(self.now())
    }

    pub(crate) fn clock(&mut self, at: f64, clock: Clock) {
        self.clocks.schedule(at, clock);
    }

    pub(crate) fn done(&self) -> bool {
        let idle = self.book.deciding() + self.book.playing() == 0 && self.errands_out == 0;
        self.halted
            || self.stopping && idle && !self.lines.any_pending(|role| matches!(role, Role::Player(_)))
    }

    pub(crate) fn name(&self, server: u32) -> &str {
        self.servers.get(server as usize).map_or("?", |s| s.name.as_str())
    }

    pub(crate) fn set_due(&mut self, key: ConnectionId, due: f64) {
        if let Some(line) = self.lines.get_mut(key) {
            line.deadline = due;
            self.clock(due, Clock::Line(key));
        }
    }

    pub(crate) fn take_connections(&self, so: bool) {
        let Some(door) = &self.door else { return };
        let done = if so { self.handle.enable(door) } else { self.handle.disable(door) };
        if let Err(e) = done {
            error!(target: "front", "the listening socket can't be set: {e}");
        }
    }

    /// Writes the sums, where they have changed since they were last written.
    pub(crate) fn write_tally(&mut self) {
        let sums = (self.tally, self.dropped.dropped_lines());
        if sums == self.tallied {
            return;
        }
        self.tallied = sums;
        let Tally { taken, away, played, declined, failed, left, ended, lost, allocations, segments } =
            sums.0;
        let deciding = self.book.deciding();
        info!(
            target: "tally", taken, away, played, declined, failed, left, deciding, ended, lost, allocations, segments,
            lines_dropped = sums.1, "since the start",
        );
    }
}
