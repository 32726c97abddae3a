//! The front itself: one thread, one event loop. Players' requests and servers' answers are taken off the
//! lines here, told to the desk, and what the desk wants done is done by the [`EdgeState`], its hands.
//!
//! A play's way: [`Edge::request`] takes the manifest request (`players`), the desk sends it ([`EdgeState::send`]), the
//! allocation's line tells how that went ([`Edge::allocation`], `servers`), and the waiting player is answered
//! ([`EdgeState::answer`]). Segments go by [`Edge::segment`] and [`Edge::on_server_connection`]. Files are looked at in `watch`.

use crate::config::Config;
use crate::connections::{AllocationStage, ConnectionId, Connections, PlayerState, Role};
use crate::fleet::Fleet;
use crate::server_list::{List, ListContext, WatchedFiles};
use crate::sessions::{Bounds, Life, SessionTable};
use crate::state::{AllocationEnd, EdgeState, Timer, text_answer};
use crate::stats::Stats;
use crate::tls::TlsConfigs;
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
    pub(crate) dispatcher: Dispatcher,
    pub(crate) state: EdgeState,
}

pub(crate) fn list_context(rundown: &Config) -> ListContext<'_> {
    ListContext {
        zones: &rundown.zones,
        kinds: rundown.fleet.kinds.iter().map(|k| k.name.as_str()).collect(),
        products: rundown.products.iter().map(|p| p.name.as_str()).collect(),
        cells: rundown.fleet.cells,
        uses_tls: rundown.tls.servers.is_some(),
    }
}

/// Reads the list that a rundown names.
pub fn read_list(rundown: &Config) -> Result<List, pulleystair_jsonnet::LoadError> {
    List::load(&rundown.list, &list_context(rundown))
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
    edge.state.listener = Some(door);
    if let Some(at) = edge.state.config.sharing.ask.filter(|_| edge.state.fleet.is_some()) {
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
        Signal::SIGHUP => edge.reload_all_files(),
        Signal::SIGXFSZ => {}
        _ => edge.stop(),
    })?;
    info!(target: "front", %address, servers = edge.state.servers.len(), "listens");
    while !edge.state.is_finished() {
        let wait = edge.state.timers.time_to_next();
        event_loop.dispatch(wait, &mut edge)?;
        edge.ring();
        while edge.dispatcher.end_turn(edge.state.now(), &mut edge.state) {
            edge.process_pending();
        }
        let now = edge.state.now();
        edge.state.loop_lag.turn_ended(now);
        edge.state.wall_clock.sync(now, since_1970().as_secs_f64() * 1000.0);
    }
    info!(target: "front", left = edge.state.sessions.open_plays().len(), "stopped");
    // The last word is the sums. A log that is read, if slowly, is given the time to take them.
    for _ in 0..LAST_WORDS {
        let before = edge.state.dropped_log_lines.dropped_lines();
        edge.state.log_stats();
        if edge.state.dropped_log_lines.dropped_lines() == before {
            break;
        }
        std::thread::sleep(LAST_WORD);
    }
    Ok(())
}

impl ConnectionHandler for Edge {
    fn connection_ready(&mut self, key: ConnectionId) {
        let now = self.state.now();
        self.state.loop_lag.work_started(now);
        self.sync_fleet();
        let Some(line) = self.state.connections.get_mut(key) else { return };
        match &line.role {
            Role::Player(_) => self.player(key),
            Role::Allocation { .. } => self.allocation(key),
            Role::ServerPool { .. } => self.on_server_connection(key),
        }
        self.process_pending();
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
        let mut keys = rundown.keys.clone().map(WatchedFiles::new);
        keys.iter_mut().for_each(|keys| {
            keys.check_replaced();
        });
        let (entry_keys, pass_keys, revoked) =
            rundown.key_rings().map_err(|(path, cause)| anyhow::anyhow!("{path}: {cause}"))?;
        let mut watched = WatchedFiles::new(rundown.list.clone());
        watched.check_replaced();
        let seals = TlsConfigs::load(&rundown.tls, since.as_secs())?;
        let clocks = Timers::new(since.as_secs_f64() * 1000.0);
        let company = Fleet::join(&rundown, &handle, clocks.now(), seed)?;
        let floor = EdgeState {
            entry_keys,
            pass_keys,
            keys_file: keys,
            tls: seals,
            revoked: revoked.into_iter().collect(),
            connections: Connections::new(handle.clone()),
            queue: AdmissionQueue::new(rundown.admission.queue_config()),
            set_up_limit: ConcurrencyLimit::new(rundown.admission.limit_config()),
            pending_set_ups: 0,
            loop_lag: LoopLag::default(),
            wall_clock: WallClock::new(since.as_secs_f64() * 1000.0),
            home_addresses: Vec::new(),
            homes_file: rundown.homes.clone().map(WatchedFiles::new),
            loop_handle: handle,
            listener: None,
            sessions: SessionTable::new(bounds),
            list_file: watched,
            title_numbers: HashMap::new(),
            titles_by_number: HashMap::new(),
            next_title_number: 0,
            servers: Vec::new(),
            server_numbers: HashMap::new(),
            timers: clocks,
            finished_allocations: VecDeque::new(),
            player_count: 0,
            fetch_connections: HashMap::new(),
            open_requests: 0,
            players_to_resume: Vec::new(),
            run_id: format!("{:x}-{:x}", since.as_millis() as u64, std::process::id()),
            stats: Stats::default(),
            last_logged_stats: (Stats::default(), 0),
            dropped_log_lines: dropped,
            fleet: company,
            is_stopping: false,
            is_halted: false,
            config: rundown,
        };
        let mut edge =
            Edge { dispatcher: Dispatcher::new(floor.config.policy_settings(), seed), state: floor };
        let list = read_list(&edge.state.config)?;
        // It may be older than what it tells of: a server that started anew since may not be listed so yet.
        edge.apply_list(list, true);
        edge.sync_fleet();
        edge.poll_homes();
        edge.state.schedule(edge.state.now() + edge.state.config.limits.list_poll_ms, Timer::ListPoll);
        edge.state.schedule(edge.state.now() + edge.state.config.limits.keys_poll_ms, Timer::FilePoll);
        edge.state.schedule(edge.state.now() + edge.state.config.limits.tally_ms, Timer::StatsLog);
        Ok(edge)
    }

    /// Tells the desk what was found while it was busy.
    pub(crate) fn process_pending(&mut self) {
        loop {
            if let Some(AllocationEnd { play, server, outcome }) = self.state.finished_allocations.pop_front()
            {
                self.allocation_ended(play, server, outcome, &[]);
            } else if let Some(player) = self.state.players_to_resume.pop() {
                self.player(player);
            } else if !self.state.queue.is_empty()
                && self.state.pending_set_ups < self.state.set_up_limit.current()
            {
                self.admit_waiting();
            } else {
                return;
            }
        }
    }

    // ---- clocks ----

    /// Does what has fallen due.
    fn ring(&mut self) {
        self.sync_fleet();
        loop {
            let now = self.state.now();
            let Some((due, clock)) = self.state.timers.pop_due(now) else { return };
            self.state.loop_lag.timer_fired(now, due);
            match clock {
                Timer::Dispatcher(mark) => self.dispatcher.on_timer(now, mark, &mut self.state),
                Timer::SetUpTimeout(play, n) => self.time_out(now, play, n),
                Timer::Connection(key) => self.line_due(now, key),
                Timer::RungRetry(play) => self.state.rung_due(play),
                Timer::AdmissionQueue => self.admit_waiting(),
                Timer::Session(play) => self.session_due(now, play),
                Timer::ListPoll => {
                    self.state.schedule(now + self.state.config.limits.list_poll_ms, Timer::ListPoll);
                    self.poll_list();
                }
                Timer::FilePoll => {
                    self.state.schedule(now + self.state.config.limits.keys_poll_ms, Timer::FilePoll);
                    self.poll_keys();
                    self.poll_tls();
                    self.poll_homes();
                    self.poll_approved_versions();
                }
                Timer::FleetSync => self.sync_fleet(),
                Timer::AcceptRetry => self.state.set_accepting(true),
                Timer::StatsLog => {
                    self.state.schedule(now + self.state.config.limits.tally_ms, Timer::StatsLog);
                    self.state.log_stats();
                }
                Timer::StopDeadline => self.give_up(),
            }
            self.process_pending();
        }
    }

    fn time_out(&mut self, now: f64, play: u64, n: usize) {
        let floor = &mut self.state;
        let Some(session) = floor.sessions.get(play) else { return };
        if session.allocation_count() != n || session.life() != Life::Out {
            return;
        }
        let (Some(server), Some(key)) = (session.server, session.line) else { return };
        let connected = floor.connections.get_mut(key).and_then(|line| line.connected());
        let outcome = if connected == Some(true) { Outcome::TimedOut } else { Outcome::Unreachable };
        debug!(target: "play", play, server = floor.server_name(server), waited = now - session.came, "timed out");
        self.allocation_ended(play, server, outcome, &[]);
    }

    fn line_due(&mut self, now: f64, key: ConnectionId) {
        let floor = &mut self.state;
        let Some(line) = floor.connections.get_mut(key) else { return };
        if line.deadline > now {
            return;
        }
        line.deadline = f64::INFINITY;
        let connected = line.connected() == Some(true);
        match &line.role {
            Role::Player(PlayerState::ReadingRequest) if line.pending() == 0 && !line.input.is_empty() => {
                floor.leave(key, &text_answer(408, "the request did not come whole in time"));
            }
            Role::Player(_) => {
                if line.pending() > 0 {
                    info!(target: "front", "closed a reader that was too slow");
                }
                floor.player_gone(key);
            }
            // A set-up's own time runs by its time-out; this one is for the connection.
            Role::Allocation { play, server, stage: AllocationStage::AwaitingResponse } if !connected => {
                let (play, server) = (*play, *server);
                self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            Role::Allocation { .. } => {}
            Role::ServerPool { errand: None, .. } => floor.close_pooled_connection(key),
            Role::ServerPool { .. } if connected => floor.on_request_failed(key, ReadError::Stalled),
            Role::ServerPool { .. } => floor.on_request_failed(key, ReadError::Unreachable),
        }
    }

    fn session_due(&mut self, now: f64, play: u64) {
        let floor = &mut self.state;
        let Some(session) = floor.sessions.get(play) else { return };
        let idle = floor.idle_of(play);
        if floor.sessions.due(play, idle, floor.config.limits.come_back_ms).is_none_or(|due| due > now) {
            return floor.session_clock(play);
        }
        match session.life() {
            Life::Ending | Life::Over => floor.sessions.forget(play),
            Life::Asked | Life::Out => {
                let answer = text_answer(410, "the viewer left before the play was set up");
                self.give_up_on(play, "viewer gone", answer);
            }
            Life::Playing if session.fetching > 0 => {
                if let Some(session) = floor.sessions.get_mut(play) {
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
        if self.state.is_stopping {
            warn!(target: "front", "second signal: stops at once");
            self.state.is_halted = true;
            return;
        }
        let floor = &mut self.state;
        floor.is_stopping = true;
        let stop_ms = floor.config.limits.stop_ms;
        info!(target: "front", held = floor.sessions.open_plays().len(), stop_ms, "stopping: no new plays");
        floor.schedule(floor.now() + stop_ms, Timer::StopDeadline);
    }

    /// The time to run on has passed: what is in hand gets its final answer.
    fn give_up(&mut self) {
        for play in self.state.sessions.open_plays() {
            if self.state.queue.remove(play) {
                let answer = self.state.away("this front has stopped");
                self.state.over(play, "front stopped", answer);
            }
        }
        self.dispatcher.expire_pending(self.state.now(), &mut self.state);
        self.process_pending();
        for play in self.state.sessions.open_plays() {
            self.finish(play, "front stopped");
            self.process_pending();
        }
    }
}
