//! The front itself: one thread, one event loop. Players' requests and servers' answers are taken off the
//! lines here, told to the desk, and what the desk wants done is done by the [`Floor`], its hands.
//!
//! A play's way: [`Edge::request`] takes the manifest request (`players`), the desk sends it ([`Floor::send`]), the
//! allocation's line tells how that went ([`Edge::allocation`], `servers`), and the waiting player is answered
//! ([`Floor::answer`]). Segments go by [`Edge::segment`] and [`Edge::errand`]. Files are looked at in `watch`.

use crate::company::Company;
use crate::config::Config;
use crate::connections::{ConnectionId, Doing, Lines, Role, Stage};
use crate::floor::{Clock, Floor, News, words};
use crate::seals::Seals;
use crate::server_list::{Known, List, Watched};
use crate::sessions::{Book, Bounds, Life};
use crate::tally::Tally;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pulleystair::Outcome;
use pulleystair_admission::concurrency::ConcurrencyLimit;
use pulleystair_admission::loop_lag::LoopLag;
use pulleystair_admission::queue::AdmissionQueue;
use pulleystair_admission::read_retries::ReadError;
use pulleystair_admission::wall_clock::WallClock;
use pulleystair_connections::ConnectionHandler;
use pulleystair_connections::timers::Timers;
use pulleystair_dispatcher::Dispatcher;
use std::collections::{HashMap, VecDeque};
use std::net::TcpListener;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};
use tracing_appender::non_blocking::ErrorCounter;

/// File descriptors beside those of players and plays: to servers, for the log, the list and the loop.
const SPARE_FILES: u64 = 256;
/// So often, and so far apart, are the last sums offered to a log that drops them.
const LAST_WORDS: usize = 50;
const LAST_WORD: Duration = Duration::from_millis(20);

pub struct Edge {
    pub(crate) desk: Dispatcher,
    pub(crate) floor: Floor,
}

pub(crate) fn known(rundown: &Config) -> Known<'_> {
    Known {
        zones: &rundown.zones,
        kinds: rundown.fleet.kinds.iter().map(|k| k.name.as_str()).collect(),
        products: rundown.products.iter().map(|p| p.name.as_str()).collect(),
        cells: rundown.fleet.cells,
        sealed: rundown.tls.servers.is_some(),
    }
}

/// Reads the list that a rundown names.
pub fn read_list(rundown: &Config) -> Result<List, pulleystair_jsonnet::LoadError> {
    List::read(&rundown.list, &known(rundown))
}

fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The signals to stop and to look at all files anew, held back for the loop to read. To be called before any thread
/// starts: a thread that does not hold them back would end the process.
pub fn stop_signals() -> anyhow::Result<Signals> {
    // The last one comes where the log's file may grow no more; not held back it would end the process.
    Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])?)
}

/// Starts a front and runs it until it is told to stop; `dropped` counts lines that its log could not take.
pub fn run(rundown: Config, stop: Signals, dropped: ErrorCounter) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Edge> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listener = TcpListener::bind(rundown.listen)
        .map_err(|e| anyhow::anyhow!("listen: {} can't be had: {e}", rundown.listen))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    // A descriptor for each player's connection and each play, and some to servers.
    let wanted = (rundown.limits.connections + rundown.limits.plays) as u64;
    let may_open = rlimit::increase_nofile_limit(u64::MAX)?;
    if may_open < wanted + SPARE_FILES {
        warn!(target: "front", may_open, wanted, "too few file descriptors for the limits of this front");
    }
    let mut edge = Edge::new(rundown, handle.clone(), dropped)?;
    let door =
        handle.insert_source(Generic::new(listener, Interest::READ, Mode::Level), |_, listener, edge| {
            edge.accept(listener, false);
            Ok(PostAction::Continue)
        })?;
    edge.floor.door = Some(door);
    if let Some(at) = edge.floor.rundown.sharing.ask.filter(|_| edge.floor.company.is_some()) {
        let asked =
            TcpListener::bind(at).map_err(|e| anyhow::anyhow!("sharing.ask: {at} can't be had: {e}"))?;
        asked.set_nonblocking(true)?;
        info!(target: "fleet", address = %asked.local_addr()?, "may be asked");
        handle.insert_source(Generic::new(asked, Interest::READ, Mode::Level), |_, asked, edge| {
            edge.accept(asked, true);
            Ok(PostAction::Continue)
        })?;
    }
    handle.insert_source(stop, |event, (), edge| match event.signal() {
        Signal::SIGHUP => edge.look_at_all(),
        Signal::SIGXFSZ => {}
        _ => edge.stop(),
    })?;
    info!(target: "front", %address, servers = edge.floor.servers.len(), "listens");
    while !edge.floor.done() {
        let wait = edge.floor.clocks.time_to_next();
        event_loop.dispatch(wait, &mut edge)?;
        edge.ring();
        while edge.desk.end_turn(edge.floor.now(), &mut edge.floor) {
            edge.settle();
        }
        let now = edge.floor.now();
        edge.floor.lag.turn_ended(now);
        edge.floor.wall.sync(now, since_1970().as_secs_f64() * 1000.0);
    }
    info!(target: "front", left = edge.floor.book.held().len(), "stopped");
    // The last word is the sums. A log that is read, if slowly, is given the time to take them.
    for _ in 0..LAST_WORDS {
        let before = edge.floor.dropped.dropped_lines();
        edge.floor.write_tally();
        if edge.floor.dropped.dropped_lines() == before {
            break;
        }
        std::thread::sleep(LAST_WORD);
    }
    Ok(())
}

impl ConnectionHandler for Edge {
    fn connection_ready(&mut self, key: ConnectionId) {
        let now = self.floor.now();
        self.floor.lag.work_started(now);
        self.accompany();
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        match &line.role {
            Role::Player(_) => self.player(key),
            Role::Allocation { .. } => self.allocation(key),
            Role::Errands { .. } => self.errand(key),
        }
        self.settle();
    }
}

impl Edge {
    fn new(
        rundown: Config,
        handle: LoopHandle<'static, Edge>,
        dropped: ErrorCounter,
    ) -> anyhow::Result<Edge> {
        let since = since_1970();
        let seed = rundown.seed.unwrap_or(since.as_nanos() as u64);
        let limits = &rundown.limits;
        let bounds = Bounds {
            deciding: limits.deciding,
            plays: limits.plays,
            sessions: limits.sessions,
            waiters: limits.waiters,
            remember: limits.remember_ms,
        };
        // Looked at before they are read: what is replaced meanwhile shows at the next look.
        let mut keys = rundown.keys.clone().map(Watched::new);
        keys.iter_mut().for_each(|keys| {
            keys.replaced();
        });
        let (entry_keys, pass_keys, revoked) =
            rundown.key_rings().map_err(|(path, cause)| anyhow::anyhow!("{path}: {cause}"))?;
        let mut watched = Watched::new(rundown.list.clone());
        watched.replaced();
        let seals = Seals::read(&rundown.tls, since.as_secs())?;
        let clocks = Timers::new(since.as_secs_f64() * 1000.0);
        let company = Company::join(&rundown, &handle, clocks.now(), seed)?;
        let floor = Floor {
            entry_keys,
            pass_keys,
            keys,
            seals,
            revoked: revoked.into_iter().collect(),
            lines: Lines::new(handle.clone()),
            queue: AdmissionQueue::new(rundown.admission.queue_config()),
            limit: ConcurrencyLimit::new(rundown.admission.limit_config()),
            out: 0,
            lag: LoopLag::default(),
            wall: WallClock::new(since.as_secs_f64() * 1000.0),
            homes: Vec::new(),
            homes_file: rundown.homes.clone().map(Watched::new),
            handle,
            door: None,
            book: Book::new(bounds),
            watched,
            titles: HashMap::new(),
            shows: HashMap::new(),
            next_title: 0,
            servers: Vec::new(),
            server_numbers: HashMap::new(),
            clocks,
            news: VecDeque::new(),
            players: 0,
            fetchers: HashMap::new(),
            errands_out: 0,
            woken: Vec::new(),
            run: format!("{:x}-{:x}", since.as_millis() as u64, std::process::id()),
            tally: Tally::default(),
            tallied: (Tally::default(), 0),
            dropped,
            company,
            stopping: false,
            halted: false,
            rundown,
        };
        let mut edge = Edge { desk: Dispatcher::new(floor.rundown.policy_settings(), seed), floor };
        let list = read_list(&edge.floor.rundown)?;
        // It may be older than what it tells of: a server that started anew since may not be listed so yet.
        edge.take_list(list, true);
        edge.accompany();
        edge.look_at_homes();
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.list_poll_ms, Clock::List);
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.keys_poll_ms, Clock::Keys);
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.tally_ms, Clock::Tally);
        Ok(edge)
    }

    /// Tells the desk what was found while it was busy.
    pub(crate) fn settle(&mut self) {
        loop {
            if let Some(News { play, server, outcome }) = self.floor.news.pop_front() {
                self.allocation_ended(play, server, outcome, &[]);
            } else if let Some(player) = self.floor.woken.pop() {
                self.player(player);
            } else if !self.floor.queue.is_empty() && self.floor.out < self.floor.limit.current() {
                self.admit_waiting();
            } else {
                return;
            }
        }
    }

    // ---- clocks ----

    /// Does what has fallen due.
    fn ring(&mut self) {
        self.accompany();
        loop {
            let now = self.floor.now();
            let Some((due, clock)) = self.floor.clocks.pop_due(now) else { return };
            self.floor.lag.timer_fired(now, due);
            match clock {
                Clock::Desk(mark) => self.desk.on_timer(now, mark, &mut self.floor),
                Clock::TimeOut(play, n) => self.time_out(now, play, n),
                Clock::Line(key) => self.line_due(now, key),
                Clock::Rung(play) => self.floor.rung_due(play),
                Clock::Queue => self.admit_waiting(),
                Clock::Session(play) => self.session_due(now, play),
                Clock::List => {
                    self.floor.clock(now + self.floor.rundown.limits.list_poll_ms, Clock::List);
                    self.look_at_list();
                }
                Clock::Keys => {
                    self.floor.clock(now + self.floor.rundown.limits.keys_poll_ms, Clock::Keys);
                    self.look_at_keys();
                    self.look_at_seals();
                    self.look_at_homes();
                    self.look_at_versions();
                }
                Clock::Fleet => self.accompany(),
                Clock::Accept => self.floor.take_connections(true),
                Clock::Tally => {
                    self.floor.clock(now + self.floor.rundown.limits.tally_ms, Clock::Tally);
                    self.floor.write_tally();
                }
                Clock::Stop => self.give_up(),
            }
            self.settle();
        }
    }

    fn time_out(&mut self, now: f64, play: u64, n: usize) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        if session.allocations() != n || session.life() != Life::Out {
            return;
        }
        let (Some(server), Some(key)) = (session.server, session.line) else { return };
        let connected = floor.lines.get_mut(key).and_then(|line| line.connected());
        let outcome = if connected == Some(true) { Outcome::TimedOut } else { Outcome::Unreachable };
        debug!(target: "play", play, server = floor.name(server), waited = now - session.came, "timed out");
        self.allocation_ended(play, server, outcome, &[]);
    }

    fn line_due(&mut self, now: f64, key: ConnectionId) {
        let floor = &mut self.floor;
        let Some(line) = floor.lines.get_mut(key) else { return };
        if line.deadline > now {
            return;
        }
        line.deadline = f64::INFINITY;
        let connected = line.connected() == Some(true);
        match &line.role {
            Role::Player(Doing::Reading) if line.pending() == 0 && !line.input.is_empty() => {
                floor.leave(key, &words(408, "the request did not come whole in time"));
            }
            Role::Player(_) => {
                if line.pending() > 0 {
                    info!(target: "front", "closed a reader that was too slow");
                }
                floor.player_gone(key);
            }
            // A set-up's own time runs by its time-out; this one is for the connection.
            Role::Allocation { play, server, stage: Stage::Asked } if !connected => {
                let (play, server) = (*play, *server);
                self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            Role::Allocation { .. } => {}
            Role::Errands { errand: None, .. } => floor.drop_errands_line(key),
            Role::Errands { .. } if connected => floor.errand_failed(key, ReadError::Stalled),
            Role::Errands { .. } => floor.errand_failed(key, ReadError::Unreachable),
        }
    }

    fn session_due(&mut self, now: f64, play: u64) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        let idle = floor.idle_of(play);
        if floor.book.due(play, idle, floor.rundown.limits.come_back_ms).is_none_or(|due| due > now) {
            return floor.session_clock(play);
        }
        match session.life() {
            Life::Ending | Life::Over => floor.book.forget(play),
            Life::Asked | Life::Out => {
                let answer = words(410, "the viewer left before the play was set up");
                self.give_up_on(play, "viewer gone", answer);
            }
            Life::Playing if session.fetching > 0 => {
                if let Some(session) = floor.book.get_mut(play) {
                    session.last_asked = now;
                }
                floor.session_clock(play);
            }
            Life::Playing => {
                let cause = if session.complete { "watched to the end" } else { "viewer silent" };
                self.finish(play, cause);
            }
        }
    }

    // ---- stopping ----

    /// A signal: no new plays from now on; a second one ends at once.
    fn stop(&mut self) {
        if self.floor.stopping {
            warn!(target: "front", "second signal: stops at once");
            self.floor.halted = true;
            return;
        }
        let floor = &mut self.floor;
        floor.stopping = true;
        let stop_ms = floor.rundown.limits.stop_ms;
        info!(target: "front", held = floor.book.held().len(), stop_ms, "stopping: no new plays");
        floor.clock(floor.now() + stop_ms, Clock::Stop);
    }

    /// The time to run on has passed: what is in hand gets its final answer.
    fn give_up(&mut self) {
        for play in self.floor.book.held() {
            if self.floor.queue.remove(play) {
                let answer = self.floor.away("this front has stopped");
                self.floor.over(play, "front stopped", answer);
            }
        }
        self.desk.expire_pending(self.floor.now(), &mut self.floor);
        self.settle();
        for play in self.floor.book.held() {
            self.finish(play, "front stopped");
            self.settle();
        }
    }
}
