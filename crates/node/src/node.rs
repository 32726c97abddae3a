//! The node's event loop, which runs on one thread. It passes all input from the connections to the
//! dispatcher, and [`NodeState`] carries out the dispatcher's actions.
//!
//! The path of a play: `viewers` receives the set-up, the dispatcher sends it to a server
//! (`NodeState::send`), and `servers` receives the response and forwards it to the viewer.

use crate::config::Config;
use crate::dns_client::DnsClient;
use crate::state::{NodeState, Role, Timer};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction};
use pulleystair_connections::{ConnectionHandler, ConnectionId};
use pulleystair_dispatcher::Dispatcher;
use socket2::{Domain, Protocol, Socket, Type};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tracing::{debug, enabled, info};

/// Connections that may wait in the kernel to be accepted.
const BACKLOG: i32 = 1_024;
/// Interval at which it is checked whether servers are silent, ms.
const LIVENESS_CHECK_INTERVAL_MS: f64 = 100.0;
/// Intervals at which what waits for a server is checked, and the counters are logged, ms.
pub(crate) const SERVER_CHECK_INTERVAL_MS: f64 = 500.0;
const STATS_INTERVAL_MS: f64 = 5_000.0;
/// A deadline waits this long for a connection that has input left, ms.
const REVISIT_DELAY_MS: f64 = 10.0;

/// A node: the dispatcher, the state that its actions change, and the client of the name service.
pub struct Node {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) state: NodeState,
    pub(crate) dns_client: DnsClient,
    /// Whether the loop ends, although work may be left.
    pub(crate) is_halted: bool,
}

impl ConnectionHandler for Node {
    fn connection_ready(&mut self, connection_id: ConnectionId) {
        self.handle_connection(connection_id);
    }
}

/// Opens the non-blocking socket on which viewers connect.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(address), Type::STREAM.nonblocking().cloexec(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts a node and runs it until it is told to stop. Called by the subcommand `node`.
pub fn run(config: Config, signals: Signals) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Node> = EventLoop::try_new()?;
    let loop_handle = event_loop.handle();
    let address = config.listen;
    let listener = listen(address).map_err(|e| anyhow::anyhow!("listen: cannot listen on {address}: {e}"))?;
    let (address, listener) = (listener.local_addr()?, Arc::new(listener));
    let dispatcher = Dispatcher::new(config.policy_settings.clone(), config.salt);
    let state = NodeState::new(config, loop_handle.clone());
    let dns_client = DnsClient::new(&state, state.config.resolver, None, false)?;
    let mut node = Node { dispatcher, state, dns_client, is_halted: false };
    node.apply_initial_events();
    let registration = loop_handle.insert_source(
        Generic::new(listener.clone(), Interest::READ, Mode::Level),
        |_, _, node| {
            node.accept_viewers();
            Ok(PostAction::Continue)
        },
    )?;
    node.state.listener = Some((registration, listener));
    loop_handle.insert_source(signals, |event, (), node| match event.signal() {
        Signal::SIGHUP => node.reload_config(false),
        Signal::SIGXFSZ => {}
        _ => node.stop(),
    })?;
    node.query_list();
    let now = node.state.now();
    node.state.schedule(now + LIVENESS_CHECK_INTERVAL_MS, Timer::CheckLiveness);
    node.state.schedule(now + SERVER_CHECK_INTERVAL_MS, Timer::CheckServers);
    node.state.schedule(now + STATS_INTERVAL_MS, Timer::LogStats);
    info!(target: "node", name = node.state.config.name, at = %address, servers = node.state.servers.len(), shares = ?node.state.shares, "listens");
    // Input is handled before timers: in one turn, connections that are ready are read before due timers
    // fire.
    while !(node.is_done() && node.drain_input_and_check_done()) {
        let delay = node.state.dispatch_timeout();
        node.state.turn += 1;
        event_loop.dispatch(delay, &mut node)?;
        for _ in 0..node.state.revisit_queue.len() {
            let Some(connection_id) = node.state.revisit_queue.pop() else { break };
            node.handle_connection(connection_id);
        }
        node.fire_due_timers();
        node.end_turn();
    }
    info!(target: "node", sums = ?node.state.stats, open = node.state.pending_set_up_count, standing = node.state.sessions.len(), "stopped");
    Ok(())
}

impl Node {
    /// Handles the input of a connection.
    pub(crate) fn handle_connection(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        match &connection.role {
            Role::Viewer(_) => drop(self.handle_viewer_connection(connection_id)),
            Role::Server(_) => self.handle_server_connection(connection_id),
        }
        self.report_ends();
    }

    /// Lets the dispatcher place the waiting plays again, and starts the attempts that it requests, until
    /// there are no more.
    pub(crate) fn end_turn(&mut self) {
        self.requeue_held_attempts();
        loop {
            let has_placed = self.dispatcher.end_turn(self.state.now(), &mut self.state);
            self.report_ends();
            if !self.start_outgoing_attempts() && !has_placed {
                return;
            }
        }
    }

    /// Handles all timers that are due.
    fn fire_due_timers(&mut self) {
        loop {
            let now = self.state.now();
            let Some((_, timer)) = self.state.timers.pop_due(now) else { return };
            match timer {
                Timer::Dispatcher(timer) => {
                    self.state.dispatcher_timers.remove(&timer);
                    self.dispatcher.on_timer(now, timer, &mut self.state);
                }
                Timer::AttemptDeadline(play, number) => self.on_attempt_deadline(play, number),
                Timer::ConnectionDeadline(connection_id) => self.on_connection_deadline(now, connection_id),
                Timer::EndNotice(play) => self.state.send_notice_elsewhere(play),
                Timer::QueryList => self.query_list_if_due(now),
                Timer::CheckLiveness => {
                    self.check_liveness(now);
                    self.state.schedule(now + LIVENESS_CHECK_INTERVAL_MS, Timer::CheckLiveness);
                }
                Timer::CheckServers => {
                    self.end_unlisted_hand_overs(now);
                    self.state.retry_pending_teardowns(now);
                    self.state.drop_expired_notices();
                    if enabled!(target: "belief", tracing::Level::DEBUG) {
                        self.log_server_view();
                    }
                    self.state.schedule(now + SERVER_CHECK_INTERVAL_MS, Timer::CheckServers);
                }
                Timer::LogStats => {
                    let state = &self.state;
                    info!(target: "sums", sums = ?state.stats, open = state.pending_set_up_count, sessions = state.sessions.len(),
                        held = self.dispatcher.play_count(), viewers = state.viewer_connections.len(), wires = state.server_connection_count(),
                        servers = state.servers.len(), owed = state.pending_notices.len(), cuts = state.pending_teardowns.len(), unlisted = state.unlisted_hand_overs.len(), clocks = state.timers.len());
                    self.forget_gone_servers();
                    self.state.schedule(now + STATS_INTERVAL_MS, Timer::LogStats);
                }
                Timer::CloseListener => self.close_listener(),
                Timer::ResumeAccepting => self.resume_accepting(),
                Timer::ReloadConfig => self.reload_config(true),
                Timer::StopDeadline => self.expire_pending_and_halt(),
            }
            self.report_ends();
        }
    }

    /// Closes a connection at its deadline: a viewer's if it is not identified as such and no health check
    /// has arrived on it, a server's if it is not established.
    fn on_connection_deadline(&mut self, now: f64, connection_id: ConnectionId) {
        let is_due = |node: &mut Node| {
            node.state.connections.get_mut(connection_id).is_some_and(|connection| connection.deadline <= now)
        };
        if !is_due(self) {
            return;
        }
        // The loop may be late, so input that has arrived by now is handled before the deadline applies. What is
        // left for the next turn is handled then, and the deadline waits.
        self.handle_connection(connection_id);
        if self.state.revisit_queue.contains(connection_id) {
            return self.state.schedule(now + REVISIT_DELAY_MS, Timer::ConnectionDeadline(connection_id));
        }
        let Some(connection) =
            self.state.connections.get_mut(connection_id).filter(|connection| connection.deadline <= now)
        else {
            return;
        };
        connection.deadline = f64::INFINITY;
        let connected = connection.poll_established() == Some(true);
        match &connection.role {
            Role::Viewer(viewer) if !viewer.is_identified && viewer.accepted_at.is_finite() => {
                debug!(target: "viewer", "connection closed: no set-up was accepted and no session ended on it");
                self.close_viewer_connection(connection_id);
            }
            Role::Server(_) if !connected => self.on_server_connection_lost(connection_id),
            _ => {}
        }
    }

    /// Logs the state of each server, so that it can be compared with the server's sockets.
    fn log_server_view(&mut self) {
        let mut numbers: Vec<u32> = self.state.servers.keys().copied().collect();
        numbers.sort_unstable();
        for server_number in numbers {
            let Some(server) = self.state.servers.get(&server_number) else { continue };
            let (id, playing, standing) =
                (server.id.clone(), server.playing_sessions, server.listing.standing);
            let connections = server.connections.clone();
            let out: usize = connections
                .iter()
                .map(|connection_id| {
                    self.state.server_connection(*connection_id).map_or(0, |c| c.pending_set_ups.len())
                })
                .sum();
            debug!(target: "belief", id, ?standing, playing, out, held = self.dispatcher.play_count_at(server_number), lines = connections.len());
        }
    }
}
