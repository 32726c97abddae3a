//! The front itself: one thread, one event loop. Players' requests and servers' responses are read from their
//! connections here and passed to the dispatcher, whose actions are carried out on the `EdgeState`. `main.rs`
//! calls [`run`]. Times are in ms.
//!
//! The course of a play: `Edge::handle_request` takes the manifest request (`players`), the dispatcher sends a
//! set-up (`EdgeState::send`), its response is read by `Edge::on_allocation_connection` (`servers`), and the
//! waiting player is answered (`EdgeState::send_answer`). Segments are fetched by
//! `Edge::handle_segment_request` and `Edge::on_server_connection`. Files are polled in `watch`.

use crate::config::Config;
use crate::connections::{AllocationStage, ConnectionId, Connections, PlayerState, Role};
use crate::fleet::Fleet;
use crate::server_list::{List, ListContext, WatchedFiles};
use crate::sessions::{SessionLimits, SessionPhase, SessionTable};
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

/// File descriptors needed beside those of players and plays: for pooled connections to servers, the log, the list
/// and the event loop.
const SPARE_FILE_DESCRIPTORS: u64 = 256;
/// The final counts are logged at most this often, until the log drops no line.
const FINAL_STATS_TRIES: usize = 50;
/// The time between two attempts to log the final counts.
const FINAL_STATS_INTERVAL: Duration = Duration::from_millis(20);

/// A running front: the dispatcher, and the state on which its actions work.
pub struct Edge {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) state: EdgeState,
}

/// What this configuration requires of the list.
pub(crate) fn list_context(config: &Config) -> ListContext<'_> {
    ListContext {
        zones: &config.zones,
        kinds: config.fleet.kinds.iter().map(|k| k.name.as_str()).collect(),
        products: config.products.iter().map(|p| p.name.as_str()).collect(),
        cells: config.fleet.cells,
        uses_tls: config.tls.servers.is_some(),
    }
}

/// Reads the list of servers and titles that the configuration names.
pub fn read_list(config: &Config) -> Result<List, pulleystair_jsonnet::LoadError> {
    List::load(&config.list, &list_context(config))
}

/// The system's time of day since 1970.
fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Blocks SIGTERM, SIGINT, SIGHUP and SIGXFSZ, so that the event loop receives them and their default action, which
/// ends the process, is not taken. To be called before any thread starts: a thread in which they are not blocked
/// would still end the process.
pub fn block_signals() -> anyhow::Result<Signals> {
    // SIGTERM and SIGINT stop the front, SIGHUP has it read all files again. SIGXFSZ is sent when the log's file has
    // reached its size limit, and is ignored.
    Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGXFSZ])?)
}

/// Starts a front and runs it until a signal stops it; `dropped` counts the lines that its log has dropped.
pub fn run(config: Config, stop: Signals, dropped: ErrorCounter) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Edge> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listener = TcpListener::bind(config.listen)
        .map_err(|e| anyhow::anyhow!("listen: {} can't be had: {e}", config.listen))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    // One descriptor for each player's connection and each play, and some for connections to servers.
    let wanted = (config.limits.connections + config.limits.plays) as u64;
    let may_open = rlimit::increase_nofile_limit(u64::MAX)?;
    if may_open < wanted + SPARE_FILE_DESCRIPTORS {
        warn!(target: "front", may_open, wanted, "too few file descriptors for the limits of this front");
    }
    let mut edge = Edge::new(config, handle.clone(), dropped)?;
    let registration =
        handle.insert_source(Generic::new(listener, Interest::READ, Mode::Level), |_, listener, edge| {
            edge.accept(listener, false);
            Ok(PostAction::Continue)
        })?;
    edge.state.listener = Some(registration);
    if let Some(operator_address) = edge.state.config.sharing.ask.filter(|_| edge.state.fleet.is_some()) {
        let operator_listener = TcpListener::bind(operator_address)
            .map_err(|e| anyhow::anyhow!("sharing.ask: {operator_address} can't be had: {e}"))?;
        operator_listener.set_nonblocking(true)?;
        info!(target: "fleet", address = %operator_listener.local_addr()?, "answers operators' requests");
        handle.insert_source(
            Generic::new(operator_listener, Interest::READ, Mode::Level),
            |_, operator_listener, edge| {
                edge.accept(operator_listener, true);
                Ok(PostAction::Continue)
            },
        )?;
    }
    handle.insert_source(stop, |event, (), edge| match event.signal() {
        Signal::SIGHUP => edge.reload_all_files(),
        Signal::SIGXFSZ => {}
        _ => edge.begin_stop(),
    })?;
    info!(target: "front", %address, servers = edge.state.servers.len(), "listens");
    while !edge.state.should_exit() {
        let timeout = edge.state.timers.time_to_next();
        event_loop.dispatch(timeout, &mut edge)?;
        edge.run_due_timers();
        while edge.dispatcher.end_turn(edge.state.now(), &mut edge.state) {
            edge.process_pending();
        }
        let now = edge.state.now();
        edge.state.loop_lag.turn_ended(now);
        edge.state.wall_clock.sync(now, since_1970().as_secs_f64() * 1000.0);
    }
    info!(target: "front", left = edge.state.sessions.open_plays().len(), "stopped");
    // The counts are logged last. If the line is dropped because the log is read slowly, it is written again.
    for _ in 0..FINAL_STATS_TRIES {
        let dropped_before = edge.state.dropped_log_lines.dropped_lines();
        edge.state.log_stats();
        if edge.state.dropped_log_lines.dropped_lines() == dropped_before {
            break;
        }
        std::thread::sleep(FINAL_STATS_INTERVAL);
    }
    Ok(())
}

impl ConnectionHandler for Edge {
    /// Handles a connection that can be read or written, by its role.
    fn connection_ready(&mut self, connection_id: ConnectionId) {
        let now = self.state.now();
        self.state.loop_lag.work_started(now);
        self.sync_fleet();
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        match &connection.role {
            Role::Player(_) => self.on_player_connection(connection_id),
            Role::Allocation { .. } => self.on_allocation_connection(connection_id),
            Role::ServerPool { .. } => self.on_server_connection(connection_id),
        }
        self.process_pending();
    }
}

impl Edge {
    /// Reads all files that the configuration names, joins the fleet, and schedules the polls.
    fn new(config: Config, handle: LoopHandle<'static, Edge>, dropped: ErrorCounter) -> anyhow::Result<Edge> {
        let started_at = since_1970();
        let seed = config.seed.unwrap_or(started_at.as_nanos() as u64);
        let limits = &config.limits;
        let session_limits = SessionLimits {
            deciding: limits.deciding,
            plays: limits.plays,
            sessions: limits.sessions,
            waiters: limits.waiters,
            remember_ms: limits.remember_ms,
        };
        // `check_replaced` records the present versions. It comes before the files are read, so that the next poll
        // sees a file that is replaced in between.
        let mut keys_file = config.keys.clone().map(WatchedFiles::new);
        keys_file.iter_mut().for_each(|keys_file| {
            keys_file.check_replaced();
        });
        let (entry_key_ring, session_key_ring, revoked) =
            config.key_rings().map_err(|(path, cause)| anyhow::anyhow!("{path}: {cause}"))?;
        let mut list_file = WatchedFiles::new(config.list.clone());
        list_file.check_replaced();
        let tls = TlsConfigs::load(&config.tls, started_at.as_secs())?;
        let timers = Timers::new(started_at.as_secs_f64() * 1000.0);
        let fleet = Fleet::join(&config, &handle, timers.now(), seed)?;
        let state = EdgeState {
            entry_key_ring,
            session_key_ring,
            keys_file,
            tls,
            revoked: revoked.into_iter().collect(),
            connections: Connections::new(handle.clone()),
            admission_queue: AdmissionQueue::new(config.admission.queue_config()),
            set_up_limit: ConcurrencyLimit::new(config.admission.limit_config()),
            pending_set_ups: 0,
            loop_lag: LoopLag::default(),
            wall_clock: WallClock::new(started_at.as_secs_f64() * 1000.0),
            home_addresses: Vec::new(),
            homes_file: config.homes.clone().map(WatchedFiles::new),
            loop_handle: handle,
            listener: None,
            sessions: SessionTable::new(session_limits),
            list_file,
            title_numbers: HashMap::new(),
            titles_by_number: HashMap::new(),
            next_title_number: 0,
            servers: Vec::new(),
            server_numbers: HashMap::new(),
            timers,
            pending_allocation_ends: VecDeque::new(),
            player_connection_count: 0,
            fetch_connections: HashMap::new(),
            open_requests: 0,
            connections_with_buffered_request: Vec::new(),
            run_id: format!("{:x}-{:x}", started_at.as_millis() as u64, std::process::id()),
            stats: Stats::default(),
            last_logged_stats: (Stats::default(), 0),
            dropped_log_lines: dropped,
            fleet,
            is_stopping: false,
            is_halted: false,
            config,
        };
        let mut edge = Edge { dispatcher: Dispatcher::new(state.config.policy_settings(), seed), state };
        let list = read_list(&edge.state.config)?;
        // The list may be out of date: a server that was restarted since may be listed with its old start.
        edge.apply_list(list, true);
        edge.sync_fleet();
        edge.poll_homes();
        edge.state.schedule(edge.state.now() + edge.state.config.limits.list_poll_ms, Timer::ListPoll);
        edge.state.schedule(edge.state.now() + edge.state.config.limits.keys_poll_ms, Timer::FilePoll);
        edge.state.schedule(edge.state.now() + edge.state.config.limits.tally_ms, Timer::StatsLog);
        Ok(edge)
    }

    /// Does what an event has left to be done, until nothing is left: reports ended allocations to the dispatcher,
    /// handles requests that players have already sent, and admits plays from the queue.
    pub(crate) fn process_pending(&mut self) {
        loop {
            if let Some(AllocationEnd { play, server, outcome }) =
                self.state.pending_allocation_ends.pop_front()
            {
                self.on_allocation_ended(play, server, outcome, &[]);
            } else if let Some(connection_id) = self.state.connections_with_buffered_request.pop() {
                self.on_player_connection(connection_id);
            } else if !self.state.admission_queue.is_empty()
                && self.state.pending_set_ups < self.state.set_up_limit.current()
            {
                self.admit_queued();
            } else {
                return;
            }
        }
    }

    // ---- timers ----

    /// Runs every timer that is due.
    fn run_due_timers(&mut self) {
        self.sync_fleet();
        loop {
            let now = self.state.now();
            let Some((due_at, timer)) = self.state.timers.pop_due(now) else { return };
            self.state.loop_lag.timer_fired(now, due_at);
            match timer {
                Timer::Dispatcher(number) => self.dispatcher.on_timer(now, number, &mut self.state),
                Timer::SetUpTimeout(play, allocation_number) => {
                    self.on_set_up_timeout(now, play, allocation_number)
                }
                Timer::Connection(connection_id) => self.on_connection_deadline(now, connection_id),
                Timer::RungNotificationRetry(play) => self.state.retry_rung_notification(play),
                Timer::AdmissionQueue => self.admit_queued(),
                Timer::Session(play) => self.on_session_timer(now, play),
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
                Timer::StopDeadline => self.end_all_plays(),
            }
            self.process_pending();
        }
    }

    /// Ends the play's allocation of this number if it still awaits its response: `TimedOut`, or `Unreachable` if its
    /// connection is not made yet. An allocation that already plays is not affected.
    fn on_set_up_timeout(&mut self, now: f64, play: u64, allocation_number: usize) {
        let state = &mut self.state;
        let Some(session) = state.sessions.get(play) else { return };
        if session.allocation_count() != allocation_number || session.phase() != SessionPhase::Allocating {
            return;
        }
        let (Some(server), Some(connection_id)) = (session.server, session.allocation_connection) else {
            return;
        };
        let is_connected =
            state.connections.get_mut(connection_id).and_then(|connection| connection.poll_established());
        let outcome = if is_connected == Some(true) { Outcome::TimedOut } else { Outcome::Unreachable };
        // `waited` counts from the viewer's request, not from this allocation.
        debug!(target: "play", play, server = state.server_name(server), waited = now - session.arrived_at, "set-up timed out");
        self.on_allocation_ended(play, server, outcome, &[]);
    }

    /// Handles the deadline of a connection, if it has passed: a request that was received only in part is answered
    /// 408, other player connections and idle pooled ones are closed, a request to a server fails, and an allocation
    /// whose connection is not made yet ends.
    fn on_connection_deadline(&mut self, now: f64, connection_id: ConnectionId) {
        let state = &mut self.state;
        let Some(connection) = state.connections.get_mut(connection_id) else { return };
        if connection.deadline > now {
            return;
        }
        connection.deadline = f64::INFINITY;
        let is_connected = connection.poll_established() == Some(true);
        match &connection.role {
            Role::Player(PlayerState::ReadingRequest)
                if connection.unsent_bytes() == 0 && !connection.input.is_empty() =>
            {
                state.send_answer_and_close(
                    connection_id,
                    &text_answer(408, "the request did not come whole in time"),
                );
            }
            Role::Player(_) => {
                if connection.unsent_bytes() > 0 {
                    info!(target: "front", "closed a player's connection: it read the answer too slowly");
                }
                state.close_player_connection(connection_id);
            }
            // This deadline is for connecting; the response is awaited until `Timer::SetUpTimeout`.
            Role::Allocation { play, server, stage: AllocationStage::AwaitingResponse } if !is_connected => {
                let (play, server) = (*play, *server);
                self.on_allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            Role::Allocation { .. } => {}
            Role::ServerPool { request: None, .. } => state.close_pooled_connection(connection_id),
            Role::ServerPool { .. } if is_connected => {
                state.on_request_failed(connection_id, ReadError::Stalled)
            }
            Role::ServerPool { .. } => state.on_request_failed(connection_id, ReadError::Unreachable),
        }
    }

    /// Removes an ended session whose answer is kept no longer, cancels an undecided one for which no connection
    /// waits, and ends a running play without activity; schedules the session's next timer where none of that is due.
    fn on_session_timer(&mut self, now: f64, play: u64) {
        let state = &mut self.state;
        let Some(session) = state.sessions.get(play) else { return };
        let play_idle_timeout = state.play_idle_timeout(play);
        if state
            .sessions
            .next_deadline(play, play_idle_timeout, state.config.limits.come_back_ms)
            .is_none_or(|deadline| deadline > now)
        {
            return state.schedule_session_timer(play);
        }
        match session.phase() {
            // A session in phase `Ending` stays until its allocation has ended, which schedules this timer again.
            SessionPhase::Ending | SessionPhase::Ended => state.sessions.remove(play),
            SessionPhase::Requested | SessionPhase::Allocating => {
                let answer = text_answer(410, "the viewer left before the play was set up");
                self.cancel_undecided_play(play, "viewer gone", answer);
            }
            // A segment that is still being fetched counts as activity.
            SessionPhase::Playing if session.active_fetches > 0 => {
                if let Some(session) = state.sessions.get_mut(play) {
                    session.last_active_at = now;
                }
                state.schedule_session_timer(play);
            }
            SessionPhase::Playing => {
                let cause = if session.is_complete { "watched to the end" } else { "viewer silent" };
                self.end_running_play(play, cause);
            }
        }
    }
}
