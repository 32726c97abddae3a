//! What is sent to viewers: final answers to set-ups, and notices that sessions have ended.

use crate::state::{EndNotice, MAX_NOTICES, NOTICE_TTL_MS, NodeState, Timer};
use pulleystair_connections::ConnectionId;
use pulleystair_viewer_protocol::{self as protocol, code, kind};
use std::net::IpAddr;
use tracing::debug;

/// An end notice waits this long for a connection from its viewer's address, ms. Then it is sent on any
/// viewer's connection, because the viewer must be notified within a second if it can be.
const OWN_ADDRESS_WAIT_MS: f64 = 700.0;

impl NodeState {
    /// Queues bytes for a viewer and sends what the socket takes. A connection with more unsent bytes than its
    /// share is closed.
    pub(crate) fn write_to_viewer(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        let max_unread_bytes = self.shares.unread_bytes_per_viewer(self.viewer_connections.len());
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        connection.queue(bytes);
        connection.flush();
        if connection.has_ended || connection.unsent_bytes() > max_unread_bytes {
            connection.has_ended = true;
            self.revisit_queue.push(connection_id);
        }
    }

    /// Sends the final answer to a play that the dispatcher has declined or failed, and forgets the play.
    pub(crate) fn reject_play(&mut self, play: u64, cause: u8, retry_after: f64) {
        let Some(session) = self.remove_session(play) else { return };
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

    /// Notifies a viewer that its session has ended: on its own connection or another one from its address, now
    /// or as soon as there is one.
    pub(crate) fn notify_session_end(
        &mut self,
        play: u64,
        connection_id: ConnectionId,
        viewer_ip: Option<IpAddr>,
        cause: u8,
    ) {
        let ended_at = self.now();
        self.send_end_notice(
            EndNotice { play, cause, viewer_ip, ended_at, queued_at: ended_at, is_sent_elsewhere: false },
            connection_id,
        );
    }

    /// Sends an end notice on the viewer's own connection, or on one from its address. If there is none, the
    /// notice is kept until there is one. It is dropped if `NOTICE_TTL_MS` has passed, because the viewer must
    /// have learnt of the end in another way by then.
    pub(crate) fn send_end_notice(&mut self, notice: EndNotice, preferred: ConnectionId) {
        if self.now() - notice.ended_at >= NOTICE_TTL_MS {
            return;
        }
        let connection_id = if self.is_peer_open(preferred) {
            Some(preferred)
        } else {
            self.find_viewer_connection(|viewer_ip| viewer_ip == notice.viewer_ip)
        };
        debug!(target: "play", play = format!("{:016x}", notice.play), it.cause = notice.cause, own = connection_id == Some(preferred), waits = connection_id.is_none(), "session ended");
        match connection_id {
            Some(connection_id) => self.write_end_notice(connection_id, notice),
            None => self.keep_notice(notice),
        }
    }

    /// Keeps an end notice for a connection from its viewer's address. After [`OWN_ADDRESS_WAIT_MS`] any
    /// viewer's connection will do.
    fn keep_notice(&mut self, mut notice: EndNotice) {
        let play = notice.play;
        notice.is_sent_elsewhere = false;
        if let Some(pending) = self.pending_notices.iter_mut().find(|pending| pending.play == play) {
            pending.is_sent_elsewhere = false;
        } else if self.pending_notices.len() < MAX_NOTICES {
            self.pending_notices.push_back(notice);
        } else {
            return;
        }
        self.schedule(notice.ended_at + OWN_ADDRESS_WAIT_MS, Timer::EndNotice(play));
    }

    /// Sends a pending end notice on any viewer's connection, because no connection from its viewer's address
    /// has come in time. It stays pending for such a connection.
    pub(crate) fn send_notice_elsewhere(&mut self, play: u64) {
        let is_waiting = |notice: &EndNotice| notice.play == play && !notice.is_sent_elsewhere;
        if !self.pending_notices.iter().any(is_waiting) {
            return;
        }
        let Some(connection_id) = self.find_viewer_connection(|_| true) else { return };
        if let Some(notice) = self.pending_notices.iter_mut().find(|notice| is_waiting(notice)) {
            notice.is_sent_elsewhere = true;
            let notice = *notice;
            self.write_end_notice(connection_id, notice);
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

    /// The newest open connection that is identified as a viewer's and comes from an accepted address.
    fn find_viewer_connection(
        &mut self,
        is_accepted: impl Fn(Option<IpAddr>) -> bool,
    ) -> Option<ConnectionId> {
        for connection_id in self.viewer_connections.clone().into_iter().rev() {
            let Some(viewer) = self.viewer_connection(connection_id) else { continue };
            if viewer.is_identified && is_accepted(viewer.ip) && self.is_peer_open(connection_id) {
                return Some(connection_id);
            }
        }
        None
    }

    /// Sends the pending end notices on a connection that has just been identified as a viewer's: those for its
    /// address, and those that have waited long enough for their own.
    pub(crate) fn send_pending_notices(&mut self, connection_id: ConnectionId) {
        self.drop_expired_notices();
        let now = self.now();
        let viewer_ip = self.viewer_connection(connection_id).and_then(|viewer| viewer.ip);
        for mut notice in std::mem::take(&mut self.pending_notices) {
            let is_own_address = notice.viewer_ip == viewer_ip;
            let is_overdue = now - notice.ended_at >= OWN_ADDRESS_WAIT_MS && !notice.is_sent_elsewhere;
            if is_own_address || is_overdue {
                debug!(target: "play", play = format!("{:016x}", notice.play), waited = now - notice.ended_at, is_own_address, "connection found for a delayed end notice");
                notice.is_sent_elsewhere = !is_own_address;
                self.write_end_notice(connection_id, notice);
            }
            if !is_own_address {
                self.pending_notices.push_back(notice);
            }
        }
    }

    /// Drops the pending end notices that are of no use any more.
    pub(crate) fn drop_expired_notices(&mut self) {
        let now = self.now();
        self.pending_notices.retain(|notice| now - notice.ended_at < NOTICE_TTL_MS);
    }
}
