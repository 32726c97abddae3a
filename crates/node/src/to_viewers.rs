//! What is sent to viewers: final answers to set-ups, and notices that sessions have ended.

use crate::state::{EndNotice, MAX_NOTICES, MAX_UNREAD_BYTES, NOTICE_TTL_MS, NodeState, Role};
use pulleystair_connections::ConnectionId;
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use std::net::IpAddr;
use tracing::debug;

impl NodeState {
    /// Queues bytes for a viewer and sends what the socket takes. A connection with more than
    /// `MAX_UNREAD_BYTES` unsent bytes is closed.
    pub(crate) fn write_to_viewer(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.queue(bytes);
        connection.flush();
        if connection.has_ended || connection.unsent_bytes() > MAX_UNREAD_BYTES {
            connection.has_ended = true;
            self.revisit_queue.push_back(connection_id);
        }
    }

    /// Sends the final answer to a play that the dispatcher has declined or failed, and forgets the play.
    pub(crate) fn reject_play(&mut self, play: u64, cause: u8, retry_after: f64) {
        let Some(session) = self.sessions.remove(&play) else { return };
        self.mark_set_up_answered(session.viewer_connection_id, play);
        self.write_final_message(session.viewer_connection_id, play, cause, retry_after);
    }

    /// Sends the last message on a play, of kind `RELEASE`: that it was rejected or failed, or that its
    /// session has ended. The play need not be known.
    pub(crate) fn write_final_message(
        &mut self,
        connection_id: ConnectionId,
        play: u64,
        cause: u8,
        retry_after: f64,
    ) {
        let retry_after = format!("{}", retry_after.ceil().max(0.0));
        let mut parameters: Vec<(u8, &[u8])> = vec![(code::CAUSE, std::slice::from_ref(&cause))];
        if retry_after != "0" {
            parameters.push((code::RETRY_AFTER, retry_after.as_bytes()));
        }
        if let Some(bytes) = protocol::encode(kind::RELEASE, play, &parameters) {
            self.write_to_viewer(connection_id, &bytes);
        }
    }

    /// Removes a set-up from the pending ones, because it was answered or no longer needs an answer.
    pub(crate) fn mark_set_up_answered(&mut self, connection_id: ConnectionId, play: u64) {
        self.pending_set_up_count = self.pending_set_up_count.saturating_sub(1);
        if let Some(viewer) = self.viewer_connection(connection_id) {
            viewer.pending_set_ups.retain(|p| *p != play);
        }
    }

    /// Notifies a viewer that its session has ended: on its own connection or another one, now or as soon as
    /// there is one.
    pub(crate) fn notify_session_end(
        &mut self,
        play: u64,
        connection_id: ConnectionId,
        viewer_ip: Option<IpAddr>,
        cause: u8,
    ) {
        let ended_at = self.now();
        self.send_end_notice(
            EndNotice { play, cause, viewer_ip, ended_at, queued_at: ended_at },
            connection_id,
        );
    }

    /// Sends an end notice, or keeps it if there is no connection to the viewer. The notice is dropped if
    /// `NOTICE_TTL_MS` has passed, because the viewer must have learnt of the end in another way by then.
    pub(crate) fn send_end_notice(&mut self, notice: EndNotice, preferred: ConnectionId) {
        if self.now() - notice.ended_at >= NOTICE_TTL_MS {
            return;
        }
        let connection_id = if self.is_peer_open(preferred) {
            Some(preferred)
        } else {
            self.find_viewer_connection(notice.viewer_ip)
        };
        debug!(target: "play", play = format!("{:016x}", notice.play), it.cause = notice.cause, own = connection_id == Some(preferred), waits = connection_id.is_none(), "session ended");
        match connection_id {
            Some(connection_id) => self.write_end_notice(connection_id, notice),
            None if self.pending_notices.len() < MAX_NOTICES => self.pending_notices.push_back(notice),
            None => {}
        }
    }

    /// Sends an end notice on this connection. The notice is recorded, because the connection may end before
    /// the viewer has received it.
    fn write_end_notice(&mut self, connection_id: ConnectionId, mut notice: EndNotice) {
        let (play, cause, now) = (notice.play, notice.cause, self.now());
        notice.queued_at = now;
        if let Some(viewer) = self.viewer_connection(connection_id) {
            viewer.recent_notices.retain(|kept| now - kept.ended_at < NOTICE_TTL_MS);
            viewer.recent_notices.push(notice);
        }
        self.write_final_message(connection_id, play, cause, 0.0);
    }

    /// The newest open connection from this address that is identified as a viewer's, or the newest from any
    /// address if there is none.
    fn find_viewer_connection(&mut self, viewer_ip: Option<IpAddr>) -> Option<ConnectionId> {
        let mut fallback = None;
        for connection_id in self.viewer_connections.clone().into_iter().rev() {
            let Some(connection) = self.connections.get_mut(connection_id) else { continue };
            let is_identified = matches!(&connection.role, Role::Viewer(viewer) if viewer.is_identified);
            let is_same_ip = connection.peer_ip() == viewer_ip;
            if !is_identified || !is_same_ip && fallback.is_some() || !self.is_peer_open(connection_id) {
                continue;
            }
            if is_same_ip {
                return Some(connection_id);
            }
            fallback = Some(connection_id);
        }
        fallback
    }

    /// Sends the pending end notices on a connection that has just been identified as a viewer's.
    pub(crate) fn send_pending_notices(&mut self, connection_id: ConnectionId) {
        let now = self.now();
        for notice in std::mem::take(&mut self.pending_notices) {
            debug!(target: "play", play = format!("{:016x}", notice.play), waited = now - notice.ended_at, "connection found for a delayed end notice");
            if now - notice.ended_at < NOTICE_TTL_MS {
                self.write_end_notice(connection_id, notice);
            }
        }
    }
}
