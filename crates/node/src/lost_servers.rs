//! Media servers that are lost, silent, restarted or gone, and what becomes of the sessions at them.

use crate::liveness::{Connectivity, DialFailure, LivenessAction};
use crate::media_server::Server;
use crate::node::Node;
use crate::state::{CAUSE_FAILED, CAUSE_WITHDRAWN, NodeState, Role};
use pulleystair::Outcome;
use pulleystair_connections::ConnectionId;
use std::collections::HashSet;
use tracing::{debug, info};

/// If more servers have sessions than there may be connections, the only connection to a server with sessions
/// may be closed for one to a server that was silent for this long, ms.
const MAKE_ROOM_AFTER_MS: f64 = 3_000.0;

impl NodeState {
    /// Records that a connection to a server was established.
    pub(crate) fn on_server_connected(&mut self, now: f64, connection_id: ConnectionId, server_number: u32) {
        let Some(server) = self.servers.get(&server_number) else { return };
        let mut others = server.connections.iter().filter(|other| **other != connection_id);
        let has_other = others.any(|other| self.is_established(*other));
        if let Some(server) = self.servers.get_mut(&server_number) {
            server.liveness.on_connected(now, has_other, &self.limits);
        }
    }

    /// Records that a message of a server shows that a session continues or has just ended.
    pub(crate) fn on_session_confirmed(&mut self, server_number: u32, play: u64) {
        let now = self.now();
        let Some(session) = self.sessions.get(&play) else { return };
        if let Some(server) = self.servers.get_mut(&server_number) {
            server.liveness.on_heard(now, session.phase_started_at);
        }
    }

    /// The server that has the address of one that is gone; `None` if the server is not gone, or nobody has
    /// its address.
    pub(crate) fn successor(&self, server_number: u32) -> Option<u32> {
        let gone = self.servers.get(&server_number).filter(|server| server.is_gone())?;
        let is_successor = |server: &Server| !server.is_gone() && server.address == gone.address;
        self.servers.iter().filter(|(_, server)| is_successor(server)).map(|(n, _)| *n).min()
    }

    /// Since when the process has existed that is reached at the address of a server that is gone and has a
    /// successor, Unix ms: since the successor's start or, if the list does not name that, since connections
    /// have certainly led to the same process.
    fn successor_since(&self, server_number: u32, successor: u32) -> Option<f64> {
        let started_at = self.servers.get(&successor)?.listing.started_at;
        let is_start_listed = started_at > 0.0;
        let same_process_since = self.servers.get(&server_number)?.liveness.same_process_since();
        Some(if is_start_listed { started_at } else { same_process_since })
    }

    /// Requests a load report on the connections to a server that were established before a time.
    fn ping(&mut self, now: f64, server_number: u32, established_before: f64) {
        let Some(server) = self.servers.get_mut(&server_number) else { return };
        server.liveness.on_pinged(now);
        debug!(target: "server", id = server.id, silent = server.liveness.silence(now), "pinging a server that may have restarted");
        for connection_id in server.connections.clone() {
            let Some(connection) = self.server_connection(connection_id) else { continue };
            if connection.established_at.is_some_and(|at| at < established_before) {
                self.stats.pings += 1;
                self.request_load_report(connection_id);
            }
        }
    }
}

impl Node {
    /// Handles a connection to a server that could not be established, was lost, or brought input that cannot
    /// be parsed.
    pub(crate) fn on_server_connection_lost(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let dial_failure = match connection.poll_established() {
            Some(true) => None,
            Some(false) if connection.is_refused() => Some(DialFailure::Refused),
            Some(false) | None => Some(DialFailure::TimedOut),
        };
        let bytes_sent = connection.bytes_sent();
        let Role::Server(server_connection) = &mut connection.role else { return };
        let (server_number, lost_set_ups) =
            (server_connection.server_number, std::mem::take(&mut server_connection.pending_set_ups));
        self.state.close_server_connection(connection_id);
        let (playing, left) = self
            .state
            .servers
            .get(&server_number)
            .map_or((0, 0), |s| (s.playing_sessions, s.connections.len()));
        let id = self.state.server_id(server_number);
        debug!(target: "server", id, ?dial_failure, open = lost_set_ups.len(), playing, left, "connection lost");
        for set_up in lost_set_ups {
            // A set-up of which no byte was sent cannot have run.
            let has_never_run = dial_failure.is_some() || bytes_sent <= set_up.offset;
            let outcome = if has_never_run { Outcome::Unreachable } else { Outcome::Broken };
            self.on_attempt_ended(set_up.play, server_number, outcome, &[]);
        }
        self.replace_lost_connection(server_number, dial_failure);
        self.report_ends();
    }

    /// Dials a server with sessions that has lost its last connection. If it refuses connections, it is lost,
    /// unless it was heard lately on a connection that is still open: it may accept no new ones and run on.
    fn replace_lost_connection(&mut self, server_number: u32, dial_failure: Option<DialFailure>) {
        let now = self.state.now();
        let Some(server) = self.state.servers.get(&server_number) else { return };
        let is_in_use = self.state.has_established_connection(server) && !server.liveness.is_silent(now);
        let Some(server) = self.state.servers.get_mut(&server_number) else { return };
        let has_refused = dial_failure.is_some_and(|failure| server.liveness.on_dial_failed(failure));
        let is_lost = has_refused && !is_in_use;
        if server.playing_sessions == 0 {
            return;
        }
        if is_lost {
            self.on_server_lost(server_number);
        } else if server.connections.is_empty() && server.liveness.may_redial_at_once() {
            self.reconnect(server_number, false);
        }
    }

    /// Dials a server with sessions that has no connection or is silent, because the server may have ends to
    /// report. If there is no address to dial, the server counts as lost. `may_close_needed`: the only
    /// connection to another server with sessions may be closed for the new one.
    fn reconnect(&mut self, server_number: u32, may_close_needed: bool) {
        if self.state.servers.get(&server_number).is_some_and(|s| s.dial_address().is_none()) {
            return self.on_server_lost(server_number);
        }
        // If no connection is left for the server, a later check dials it.
        let _ = self.state.dial(server_number, may_close_needed);
    }

    /// Ends all sessions at a server that is lost, and closes the connections to it. Those that run at its
    /// successor have to end there too.
    fn on_server_lost(&mut self, server_number: u32) {
        let plays = self.state.servers.get(&server_number).map_or(0, |s| s.playing_sessions);
        info!(target: "server", server = self.state.server_id(server_number), plays, "server lost: its sessions end");
        let ended = self.end_sessions_before(server_number, f64::INFINITY);
        if let Some(successor) = self.state.successor(server_number) {
            self.tear_down_all(successor, &ended);
        }
    }

    /// Ends the sessions at servers that are gone and whose address another server has by now, unless they
    /// began at that one: set-ups may have reached it under the id of the server before. A session that ends
    /// although it runs there has to end there too.
    pub(crate) fn end_sessions_at_replaced_servers(&mut self) {
        for server_number in self.state.playing_servers.clone() {
            let Some(successor) = self.state.successor(server_number) else { continue };
            let Some(since) = self.state.successor_since(server_number, successor) else { continue };
            if self.state.plays_begun_before(server_number, since).is_empty() {
                continue;
            }
            let ended = self.end_sessions_before(server_number, since);
            info!(target: "server", server = self.state.server_id(server_number), successor = self.state.server_id(successor), plays = ended.len(), "another server has the address of one that is gone: its sessions end");
            self.tear_down_all(successor, &ended);
        }
    }

    /// Has a server end these sessions, which count as ended already.
    fn tear_down_all(&mut self, server_number: u32, plays: &[u64]) {
        for play in plays {
            self.state.tear_down_on_server(server_number, None, *play, CAUSE_WITHDRAWN);
        }
    }

    /// Pings, dials or gives up the servers with sessions that are silent, the longest silent first.
    ///
    /// If more servers have sessions than there may be connections, the servers without one are dialled in
    /// turn. After [`MAKE_ROOM_AFTER_MS`] they may close a connection to a server with sessions that has had
    /// its time. With M servers and K connections, a server is thus heard again within `MAKE_ROOM_AFTER_MS`
    /// plus M / K times half a second, if that is less than the time after which it counts as lost.
    pub(crate) fn check_liveness(&mut self, now: f64) {
        self.end_sessions_at_replaced_servers();
        let mut due: Vec<(f64, u32, LivenessAction)> = Vec::new();
        for server_number in self.state.playing_servers.clone() {
            let Some((silence, action)) = self.liveness_action(now, server_number) else { continue };
            if action != LivenessAction::Wait {
                due.push((silence, server_number, action));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (silence, server_number, action) in due {
            self.carry_out(now, server_number, silence, action);
        }
    }

    /// Carries out what is to be done about a server with sessions that was silent for `silence` ms.
    fn carry_out(&mut self, now: f64, server_number: u32, silence: f64, action: LivenessAction) {
        match action {
            LivenessAction::Wait => {}
            LivenessAction::Ping { established_before } => {
                self.state.ping(now, server_number, established_before);
            }
            LivenessAction::Dial => {
                let is_unconnected =
                    self.state.servers.get(&server_number).is_some_and(|s| s.connections.is_empty());
                self.reconnect(server_number, is_unconnected && silence > MAKE_ROOM_AFTER_MS);
            }
            LivenessAction::EndSessionsBefore(restarted_at) => {
                self.end_unconfirmed_sessions(server_number, restarted_at);
            }
            LivenessAction::EndAllSessions => self.on_server_lost(server_number),
        }
    }

    /// How long a server with sessions was silent, ms, and what to do about it. One that is gone cannot be
    /// reached: it is lost once it has no connection, or no note has come in time.
    fn liveness_action(&mut self, now: f64, server_number: u32) -> Option<(f64, LivenessAction)> {
        let connectivity = self.state.connectivity(self.state.servers.get(&server_number)?);
        let (limits, list_as_of) = (&self.state.limits, self.dns_client.list_as_of);
        let server = self.state.servers.get_mut(&server_number)?;
        let silence = server.liveness.silence(now);
        let action = if !server.is_gone() {
            server.liveness.next_action(now, connectivity, list_as_of, limits)
        } else if connectivity == Connectivity::Unconnected || silence > limits.note_timeout() {
            LivenessAction::EndAllSessions
        } else {
            LivenessAction::Wait
        };
        Some((silence, action))
    }

    /// Ends the sessions that began before a server may have restarted, as nothing has shown that they
    /// continue. If they do all the same, the server has to end them too.
    fn end_unconfirmed_sessions(&mut self, server_number: u32, restarted_at: f64) {
        let plays = self.end_sessions_before(server_number, restarted_at);
        info!(target: "server", server = self.state.server_id(server_number), plays = plays.len(), "server may have restarted: its sessions end");
        self.tear_down_all(server_number, &plays);
    }

    /// Ends the sessions at a server that are older than the start of its process, and closes the connections
    /// that are: they are lost. Returns the plays of those sessions.
    pub(crate) fn end_sessions_before(&mut self, server_number: u32, started_at: f64) -> Vec<u64> {
        let plays = self.state.plays_begun_before(server_number, started_at);
        for play in &plays {
            self.on_session_ended_by_server(*play, server_number, Outcome::Broken, CAUSE_FAILED, &[]);
        }
        let Some(server) = self.state.servers.get_mut(&server_number) else { return plays };
        server.liveness.on_sessions_ended();
        for connection_id in server.connections.clone() {
            if self.state.server_connection(connection_id).is_some_and(|c| c.opened_at() < started_at) {
                self.on_server_connection_lost(connection_id);
            }
        }
        plays
    }

    /// Forgets the servers that are gone and that no session or pending attempt uses, in the dispatcher too,
    /// and closes the connections to them. A server to which the dispatcher still refers is kept for now.
    pub(crate) fn forget_gone_servers(&mut self) {
        let servers_in_use: HashSet<u32> =
            self.state.sessions.values().filter_map(|s| s.server_number).collect();
        let gone = self
            .state
            .servers
            .iter()
            .filter(|(n, s)| s.is_gone() && !servers_in_use.contains(n))
            .map(|(n, _)| *n);
        for server_number in gone.collect::<Vec<u32>>() {
            if !self.dispatcher.forget_server(server_number) {
                continue;
            }
            let Some(server) = self.state.servers.remove(&server_number) else { continue };
            self.state.server_numbers.remove(&server.id);
            for connection_id in server.connections {
                self.state.close_server_connection(connection_id);
            }
        }
    }
}
