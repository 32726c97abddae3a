//! The node itself: one thread, one event loop. What comes on the lines is told to the desk, and what the desk wants done is
//! done by the [`Floor`], its hands.
//!
//! A play's way: `viewers` takes the set-up, the desk sends it ([`Floor::send`]), `servers` takes the answer and hands it on.

use crate::config::Config;
use crate::floor::{Clock, FAILED, Floor, Role, Server};
use crate::listing::Asking;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction};
use pulleystair::Outcome;
use pulleystair_connections::{ConnectionHandler, ConnectionId};
use pulleystair_dispatcher::Dispatcher;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tracing::{debug, enabled, info};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// So often are servers looked at, ms, and the sums written.
pub(crate) const LOOK: f64 = 500.0;
const SUMS: f64 = 5_000.0;
pub struct Node {
    pub(crate) desk: Dispatcher,
    pub(crate) floor: Floor,
    pub(crate) asking: Asking,
    pub(crate) halted: bool,
}

impl ConnectionHandler for Node {
    fn connection_ready(&mut self, key: ConnectionId) {
        self.look_at(key);
    }
}

fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket =
        Socket::new(Domain::for_address(at), Type::STREAM.nonblocking().cloexec(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts a node and runs it until it is told to stop.
pub fn run(posting: Config, signals: Signals) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Node> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let at = posting.listen;
    let listener = listen(at).map_err(|e| anyhow::anyhow!("listen: {at} can't be had: {e}"))?;
    let (at, listener) = (listener.local_addr()?, Arc::new(listener));
    let desk = Dispatcher::new(posting.policy_settings.clone(), posting.salt);
    let floor = Floor::new(posting, handle.clone());
    let asking = Asking::new(&floor, None, false)?;
    let mut node = Node { desk, floor, asking, halted: false };
    node.take_known();
    let door =
        handle.insert_source(Generic::new(listener.clone(), Interest::READ, Mode::Level), |_, _, node| {
            node.accept();
            Ok(PostAction::Continue)
        })?;
    node.floor.door = Some((door, listener));
    handle.insert_source(signals, |event, (), node| match event.signal() {
        Signal::SIGHUP => node.read_anew(false),
        Signal::SIGXFSZ => {}
        _ => node.stop(),
    })?;
    node.ask();
    let now = node.floor.now();
    node.floor.clock(now + LOOK, Clock::Look);
    node.floor.clock(now + SUMS, Clock::Sums);
    info!(target: "node", name = node.floor.posting.name, %at, servers = node.floor.servers.len(), shares = ?node.floor.shares, "listens");
    // What has been read decides before what has come due: in one turn, connections that are ready are read before clocks ring.
    while !(node.done() && node.nothing_came()) {
        let wait = node.floor.next_clock();
        event_loop.dispatch(wait, &mut node)?;
        for _ in 0..node.floor.again.len() {
            let Some(key) = node.floor.again.pop_front() else { break };
            node.look_at(key);
        }
        node.ring();
        node.end_turn();
    }
    info!(target: "node", sums = ?node.floor.sums, open = node.floor.deciding, standing = node.floor.sessions.len(), "stopped");
    Ok(())
}

impl Node {
    /// Takes what has come on a connection.
    pub(crate) fn look_at(&mut self, key: ConnectionId) {
        let Some(line) = self.floor.lines.get_mut(key) else { return };
        match &line.role {
            Role::Viewer(_) => drop(self.viewer_ready(key)),
            Role::Server(_) => self.wire_ready(key),
        }
        self.settle();
    }

    /// The desk asks anew about what waits, and what it wants sent goes out.
    pub(crate) fn end_turn(&mut self) {
        self.take_up_held();
        loop {
            let asked = self.desk.end_turn(self.floor.now(), &mut self.floor);
            self.settle();
            if !self.send_out() && !asked {
                return;
            }
        }
    }

    fn ring(&mut self) {
        loop {
            let now = self.floor.now();
            let Some((_, clock)) = self.floor.clocks.pop_due(now) else { return };
            match clock {
                Clock::Desk(mark) => self.desk.on_timer(now, mark, &mut self.floor),
                Clock::TimeOut(play, number) => self.time_out(play, number),
                Clock::Line(key) => self.line_due(now, key),
                Clock::Ask => self.ask_if_due(now),
                Clock::Look => {
                    self.look_at_servers(now);
                    self.floor.cut_again(now);
                    if enabled!(target: "belief", tracing::Level::DEBUG) {
                        self.write_beliefs();
                    }
                    self.floor.clock(now + LOOK, Clock::Look);
                }
                Clock::Sums => {
                    let floor = &self.floor;
                    info!(target: "sums", sums = ?floor.sums, open = floor.deciding, sessions = floor.sessions.len(),
                        held = self.desk.play_count(), viewers = floor.viewers.len(), wires = floor.wires_open(),
                        servers = floor.servers.len(), owed = floor.owed.len(), cuts = floor.cuts.len(), clocks = floor.clocks.len());
                    self.forget_gone();
                    self.floor.clock(now + SUMS, Clock::Sums);
                }
                Clock::Door => self.close_door(),
                Clock::Accept => self.open_door(),
                Clock::Anew => self.read_anew(true),
                Clock::Stop => self.answer_all(),
            }
            self.settle();
        }
    }

    fn line_due(&mut self, now: f64, key: ConnectionId) {
        let is_due = |node: &mut Node| node.floor.lines.get_mut(key).is_some_and(|line| line.deadline <= now);
        if !is_due(self) {
            return;
        }
        // The loop may be behind: what has come by now counts.
        self.look_at(key);
        let Some(line) = self.floor.lines.get_mut(key).filter(|line| line.deadline <= now) else { return };
        line.deadline = f64::INFINITY;
        let connected = line.connected() == Some(true);
        match &line.role {
            Role::Viewer(viewer) if !viewer.proven && viewer.came.is_finite() => {
                debug!(target: "viewer", "closed: nothing usable came");
                self.viewer_gone(key);
            }
            Role::Server(_) if !connected => self.wire_lost(key),
            _ => {}
        }
    }

    /// A server has started anew: what stood there before does no more.
    /// Connections to the process before it lead nowhere any more.
    pub(crate) fn restarted(&mut self, number: u32, born: f64) {
        for play in self.floor.standing_at(number) {
            if self.floor.sessions.get(&play).is_some_and(|s| s.since < born) {
                self.stood(play, number, Outcome::Broken, FAILED, &[]);
            }
        }
        for key in self.floor.servers.get(&number).map(|s| s.lines.clone()).unwrap_or_default() {
            if self.floor.wire(key).is_some_and(|wire| wire.dialled < born) {
                self.wire_lost(key);
            }
        }
    }

    /// Servers that are gone and have nothing left are forgotten, in every layer.
    pub(crate) fn forget_gone(&mut self) {
        let held: HashSet<u32> = self.floor.sessions.values().filter_map(|s| s.server).collect();
        let gone = |s: &Server| s.is_gone() && s.address.is_some();
        let gone = self.floor.servers.iter().filter(|(n, s)| gone(s) && !held.contains(n)).map(|(n, _)| *n);
        for number in gone.collect::<Vec<u32>>() {
            if !self.desk.forget_server(number) {
                continue;
            }
            let Some(server) = self.floor.servers.remove(&number) else { continue };
            self.floor.numbers.remove(&server.id);
            for key in server.lines {
                self.floor.drop_wire(key);
            }
        }
    }

    /// What is believed of each server, to be held against its sockets.
    fn write_beliefs(&mut self) {
        let mut numbers: Vec<u32> = self.floor.servers.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(server) = self.floor.servers.get(&number) else { continue };
            let (id, playing, standing) = (server.id.clone(), server.playing, server.listing.standing);
            let lines = server.lines.clone();
            let out: usize = lines.iter().map(|key| self.floor.wire(*key).map_or(0, |w| w.open.len())).sum();
            debug!(target: "belief", id, ?standing, playing, out, held = self.desk.play_count_at(number), lines = lines.len());
        }
    }
}
