//! What is sent to media servers: set-ups, TEARDOWNs, rungs and requests for load reports.

use crate::media_server::{PendingSetUp, Teardown};
use crate::state::{
    Attempt, CSEQ_OTHER, CSEQ_PROBE, CSEQ_SET_UP, CSEQ_TEARDOWN, MAX_NOTICES, NOTICE_TTL_MS, NodeState, Role,
    Session,
};
use pulleystair_connections::ConnectionId;
use pulleystair_rtsp as rtsp;
use std::collections::HashSet;

impl NodeState {
    /// Notifies a server with a TEARDOWN that a session at it has ended: on the `preferred` connection, on
    /// any other, or later if there is none.
    pub(crate) fn tear_down_on_server(
        &mut self,
        server_number: u32,
        preferred: Option<ConnectionId>,
        play: u64,
        cause: u8,
    ) {
        let created_at = self.now();
        self.send_teardown(preferred, Teardown { server_number, play, cause, created_at, offset: 0 });
    }

    /// Sends a TEARDOWN, or keeps it if there is no connection to its server with room for it. Returns whether
    /// it was sent.
    fn send_teardown(&mut self, preferred: Option<ConnectionId>, mut teardown: Teardown) -> bool {
        let connection_id = self.preferred_or_any_connection(teardown.server_number, preferred);
        let has_room = connection_id
            .and_then(|connection_id| self.server_connection(connection_id))
            .is_some_and(|server_connection| server_connection.has_room_for_teardown());
        let Some(connection_id) = connection_id.filter(|_| has_room) else {
            self.keep_teardown(teardown);
            return false;
        };
        let reason = format!("cause={}", teardown.cause);
        let bytes = rtsp::encode_request(
            "TEARDOWN",
            "session",
            CSEQ_TEARDOWN,
            teardown.play,
            &[("Reason", &reason)],
            b"",
        );
        teardown.offset =
            self.connections.get_mut(connection_id).map_or(0, |connection| connection.bytes_queued());
        if let Some(server_connection) = self.server_connection(connection_id) {
            server_connection.unsent_teardowns.push_back(teardown);
        }
        self.write_to_server(connection_id, &bytes);
        true
    }

    /// Keeps a TEARDOWN to be sent later. It is dropped if `MAX_NOTICES` are kept.
    fn keep_teardown(&mut self, teardown: Teardown) {
        if self.pending_teardowns.len() < MAX_NOTICES {
            self.pending_teardowns.push_back(teardown);
        } else {
            self.stats.dropped_teardowns += 1;
        }
    }

    /// Tries to send the pending TEARDOWNs, until one cannot be sent to its server. A TEARDOWN is dropped if its
    /// server is gone or `NOTICE_TTL_MS` has passed, because by then the viewer must have learnt of the end in
    /// another way.
    pub(crate) fn retry_pending_teardowns(&mut self, now: f64) {
        let mut blocked_servers: HashSet<u32> = HashSet::new();
        for teardown in std::mem::take(&mut self.pending_teardowns) {
            let is_reachable =
                self.servers.get(&teardown.server_number).is_some_and(|s| s.dial_address().is_some())
                    || self.successor(teardown.server_number).is_some();
            if !is_reachable || now - teardown.created_at >= NOTICE_TTL_MS {
                continue;
            }
            let server_number = teardown.server_number;
            if blocked_servers.contains(&server_number) {
                self.keep_teardown(teardown);
            } else if !self.send_teardown(None, teardown) {
                blocked_servers.insert(server_number);
            }
        }
    }

    /// The server's number and the viewer's connection of an attempt that is still to be started, or `None`
    /// if its play no longer waits for it.
    pub(crate) fn startable_attempt(&self, attempt: &Attempt) -> Option<(u32, ConnectionId)> {
        let session = self.sessions.get(&attempt.play)?;
        let is_startable = session.attempts == attempt.number
            && !session.is_playing
            && session.server_connection_id.is_none();
        Some((session.server_number.filter(|_| is_startable)?, session.viewer_connection_id))
    }

    /// Sends the set-up of an attempt. Returns false if there is no connection to the server.
    pub(crate) fn send_set_up(&mut self, attempt: &Attempt, server_number: u32) -> bool {
        let now = self.now();
        let excluded =
            self.sessions.get(&attempt.play).map(|s| s.earlier_connections.clone()).unwrap_or_default();
        let Some(connection_id) = self.connection_for_set_up(server_number, &excluded) else { return false };
        let Some(session) = self.sessions.get_mut(&attempt.play) else { return true };
        session.server_connection_id = Some(connection_id);
        let time_limit = (session.attempt_deadline - now).max(1.0).ceil().to_string();
        let rung = session.rung.to_string();
        let fields: [(&str, &str); 3] =
            [("X-Call-Class", &session.class), ("X-Ring-Limit", &time_limit), ("Rate-Step", &rung)];
        let bytes = rtsp::encode_request(
            "SETUP",
            &session.title,
            CSEQ_SET_UP,
            attempt.play,
            &fields,
            session.description.as_slice(),
        );
        if let Some(connection) = self.connections.get_mut(connection_id) {
            let offset = connection.bytes_queued();
            if let Role::Server(server_connection) = &mut connection.role {
                server_connection.pending_set_ups.push(PendingSetUp {
                    play: attempt.play,
                    offset,
                    length: bytes.len(),
                });
            }
        }
        self.write_to_server(connection_id, &bytes);
        true
    }

    /// The plays whose set-ups on this connection have not been sent, not even in part.
    pub(crate) fn unsent_set_ups(&mut self, connection_id: ConnectionId) -> Vec<u64> {
        let Some(connection) =
            self.connections.get_mut(connection_id).filter(|connection| connection.unsent_bytes() > 0)
        else {
            return Vec::new();
        };
        let bytes_sent = connection.bytes_sent();
        let Role::Server(server_connection) = &connection.role else { return Vec::new() };
        server_connection
            .pending_set_ups
            .iter()
            .filter(|set_up| set_up.offset >= bytes_sent)
            .map(|set_up| set_up.play)
            .collect()
    }

    /// Removes a set-up of which no byte was sent from the output of its connection. Returns true if this was
    /// possible; the set-up has then never run.
    pub(crate) fn cancel_unsent_set_up(&mut self, connection_id: ConnectionId, play: u64) -> bool {
        let Some(connection) = self.connections.get_mut(connection_id) else { return false };
        let Role::Server(server_connection) = &mut connection.role else { return false };
        let Some(set_up) =
            server_connection.pending_set_ups.iter().find(|set_up| set_up.play == play).copied()
        else {
            return false;
        };
        if !connection.cancel_queued(set_up.offset, set_up.length) {
            return false;
        }
        let Role::Server(server_connection) = &mut connection.role else { return false };
        server_connection.pending_set_ups.retain(|set_up| set_up.play != play);
        let length = set_up.length as u64;
        server_connection
            .pending_set_ups
            .iter_mut()
            .filter(|s| s.offset > set_up.offset)
            .for_each(|s| s.offset -= length);
        server_connection
            .unsent_teardowns
            .iter_mut()
            .filter(|r| r.offset > set_up.offset)
            .for_each(|r| r.offset -= length);
        true
    }

    /// Abandons the current attempt. Returns true if no byte of its set-up was sent; otherwise a TEARDOWN
    /// tells the server to end the session.
    pub(crate) fn abandon_attempt(&mut self, play: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        let Some(connection_id) = session.server_connection_id.take() else { return true };
        if self.cancel_unsent_set_up(connection_id, play) {
            return true;
        }
        if let Some(session) = self.sessions.get_mut(&play) {
            session.earlier_connections.push(connection_id);
        }
        self.remove_pending_set_up(connection_id, play);
        let bytes = rtsp::encode_request("TEARDOWN", "session", CSEQ_TEARDOWN, play, &[], b"");
        self.write_to_server(connection_id, &bytes);
        false
    }

    /// Removes a set-up from those that wait for a response on a connection, because the response has arrived
    /// or is no longer awaited.
    pub(crate) fn remove_pending_set_up(&mut self, connection_id: ConnectionId, play: u64) {
        if let Some(server_connection) = self.server_connection(connection_id) {
            server_connection.pending_set_ups.retain(|set_up| set_up.play != play);
        }
    }

    /// The ids of the plays on a server that began to play before a time, ascending.
    pub(crate) fn plays_begun_before(&self, server_number: u32, time: f64) -> Vec<u64> {
        let is_earlier = |session: &Session| {
            session.is_playing
                && session.server_number == Some(server_number)
                && session.phase_started_at < time
        };
        let earlier = self.sessions.iter().filter(|(_, session)| is_earlier(session));
        let mut plays: Vec<u64> = earlier.map(|(play, _)| *play).collect();
        plays.sort_unstable();
        plays
    }

    /// Sends the rung of a playing session to its server, unless the server knows it already.
    pub(crate) fn send_rung(&mut self, play: u64) {
        let Some(session) = self.sessions.get_mut(&play) else { return };
        let (Some(server_number), true) = (session.server_number, session.is_playing) else { return };
        if session.rung == session.rung_sent {
            return;
        }
        session.rung_sent = session.rung;
        let rung = session.rung.to_string();
        let preferred = session.server_connection_id;
        self.stats.steps += 1;
        let bytes =
            rtsp::encode_request("SET_PARAMETER", "session", CSEQ_OTHER, play, &[("Rate-Step", &rung)], b"");
        if let Some(connection_id) = self.preferred_or_any_connection(server_number, preferred) {
            self.write_to_server(connection_id, &bytes);
        }
    }

    /// Requests a load report from the server at the other end of a connection.
    pub(crate) fn request_load_report(&mut self, connection_id: ConnectionId) {
        let id = self.rng.rand_u64();
        let bytes = rtsp::encode_request("OPTIONS", "load", CSEQ_PROBE, id, &[], b"");
        self.write_to_server(connection_id, &bytes);
    }
}
