//! Media servers that are lost, silent, restarted or gone, and what becomes of the sessions at them.

use crate::node::{Node, SERVER_CHECK_INTERVAL_MS};
use crate::state::{CAUSE_FAILED, NOTICE_TTL_MS, Role, Server};
use pulleystair::Outcome;
use pulleystair_connections::ConnectionId;
use std::collections::HashSet;
use tracing::{debug, info};

/// The part of the time within which viewers must be notified of an end that is kept for detecting the end
/// and for sending the notice, ms.
const DETECTION_MARGIN_MS: f64 = 750.0;
/// A server counts as lost after this many consecutive connections that could not be established.
const MAX_FAILED_DIALS: u32 = 2;

impl Node {
    /// Handles a connection to a server that could not be established, was lost, or brought input that cannot
    /// be parsed.
    pub(crate) fn on_server_connection_lost(&mut self, connection_id: ConnectionId) {
        let Some(connection) = self.state.connections.get_mut(connection_id) else { return };
        let up = connection.poll_established() == Some(true);
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
        debug!(target: "server", id, up, open = lost_set_ups.len(), playing, left, "connection lost");
        for set_up in lost_set_ups {
            // A set-up of which no byte was sent cannot have run.
            let outcome =
                if !up || bytes_sent <= set_up.offset { Outcome::Unreachable } else { Outcome::Broken };
            self.on_attempt_ended(set_up.play, server_number, outcome, &[]);
        }
        if let Some(server) = self.state.servers.get_mut(&server_number) {
            server.failed_dials += u32::from(!up);
            if server.playing_sessions > 0 {
                if server.failed_dials >= MAX_FAILED_DIALS {
                    self.on_server_lost(server_number);
                } else if server.connections.is_empty() {
                    self.reconnect(server_number, false);
                }
            }
        }
        self.report_ends();
    }

    /// Dials a server with sessions that has no connection or is silent, because the server may have ends to
    /// report. If there is no address to dial, the server counts as lost. `may_close_needed`: the only
    /// connection to another server with sessions may be closed for the new one.
    fn reconnect(&mut self, server_number: u32, may_close_needed: bool) {
        if self.state.servers.get(&server_number).is_some_and(|s| s.dial_address().is_none()) {
            return self.on_server_lost(server_number);
        }
        // If no descriptor is left, the next check dials the server.
        let _ = self.state.dial(server_number, may_close_needed);
    }

    /// Ends all sessions at a server that is lost, and closes the connections to it.
    fn on_server_lost(&mut self, server_number: u32) {
        let plays = self.state.plays_playing_on(server_number);
        info!(target: "server", server = self.state.server_id(server_number), plays = plays.len(), "server lost: its sessions end");
        for play in plays {
            self.on_session_ended_by_server(play, server_number, Outcome::Broken, CAUSE_FAILED, &[]);
        }
        let Some(server) = self.state.servers.get_mut(&server_number) else { return };
        server.failed_dials = 0;
        for connection_id in server.connections.clone() {
            self.on_server_connection_lost(connection_id);
        }
    }

    /// Dials servers with sessions that have no connection, or were silent for `silence_limit`. That is as
    /// late as the viewers' deadline for notices allows, so that a server that is cut off for some seconds
    /// keeps its sessions. A server that is listed as gone cannot be dialled: it is lost at the first check at
    /// which it has no connection, or was silent for `NodeLimits::note_timeout`.
    ///
    /// If more servers have sessions than there may be connections, the servers without one are dialled in
    /// turn, the longest silent first. After half of `silence_limit` they may close a connection to a server
    /// with sessions. Each check can replace all connections, so with M servers and K connections a server is
    /// heard again within half of `silence_limit` plus M / K checks.
    pub(crate) fn check_silent_servers(&mut self, now: f64) {
        let limits = &self.state.limits;
        let note_timeout = limits.note_timeout();
        let silence_limit = note_timeout.max(
            NOTICE_TTL_MS
                - DETECTION_MARGIN_MS
                - f64::from(MAX_FAILED_DIALS) * (limits.dial_timeout + SERVER_CHECK_INTERVAL_MS),
        );
        let is_late =
            |s: &Server| now - s.last_heard_at > if s.is_gone() { note_timeout } else { silence_limit };
        let is_silent = |s: &Server| s.playing_sessions > 0 && (s.connections.is_empty() || is_late(s));
        let silent_servers = self.state.servers.iter().filter(|(_, s)| is_silent(s));
        let mut silent_servers: Vec<(f64, u32)> =
            silent_servers.map(|(server_number, s)| (s.last_heard_at, *server_number)).collect();
        silent_servers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (last_heard_at, server_number) in silent_servers {
            let connections =
                self.state.servers.get(&server_number).map(|s| s.connections.clone()).unwrap_or_default();
            let may_close_needed = connections.is_empty() && now - last_heard_at > silence_limit / 2.0;
            if !connections.into_iter().any(|connection_id| {
                self.state
                    .server_connection(connection_id)
                    .is_some_and(|server_connection| !server_connection.is_established)
            }) {
                self.reconnect(server_number, may_close_needed);
            }
        }
    }

    /// Handles the restart of a server: sessions and connections that are older than the start are lost.
    pub(crate) fn on_server_restarted(&mut self, server_number: u32, started_at: f64) {
        for play in self.state.plays_playing_on(server_number) {
            if self.state.sessions.get(&play).is_some_and(|s| s.phase_started_at < started_at) {
                self.on_session_ended_by_server(play, server_number, Outcome::Broken, CAUSE_FAILED, &[]);
            }
        }
        for connection_id in
            self.state.servers.get(&server_number).map(|s| s.connections.clone()).unwrap_or_default()
        {
            if self
                .state
                .server_connection(connection_id)
                .is_some_and(|server_connection| server_connection.dialled_at < started_at)
            {
                self.on_server_connection_lost(connection_id);
            }
        }
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
