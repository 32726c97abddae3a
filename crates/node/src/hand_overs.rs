//! Sessions that viewers hand over to a node that has just started. Each plays already at a media server, which
//! the viewer names by its id.
//!
//! A viewer can name any id, so an id alone creates nothing that stays: a server has a number, and with it an
//! entry in the dispatcher and in the placement logic, only while a list names it. A session at an unlisted
//! server is not adopted; its hand-over waits in [`UnlistedHandOvers`] until a list names the server. If none
//! does, the session ends at the next check of the servers after the name service has responded, or when the
//! server would count as lost for its silence.

use crate::ended_sessions::EndReport;
use crate::liveness::LOST_AFTER_MS;
use crate::node::{Node, SERVER_CHECK_INTERVAL_MS};
use crate::set_up::SetUpRequest;
use crate::state::{CAUSE_FAILED, CAUSE_WITHDRAWN, NodeState};
use pulleystair_connections::ConnectionId;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use tracing::info;

/// Maximum number of hand-overs at unlisted servers that may wait: of one connection, and of all together.
const MAX_UNLISTED_PER_CONNECTION: usize = 256;
const MAX_UNLISTED: usize = 2_048;
/// A hand-over is refused while the node holds this many sessions and pending set-ups. They use about 1 KiB
/// each.
const MAX_SESSIONS: usize = 8_192;

/// A session that a viewer has handed over.
pub(crate) struct HandOver {
    pub(crate) play: u64,
    /// The connection on which the viewer handed the session over, and the viewer's address.
    pub(crate) viewer_connection_id: ConnectionId,
    pub(crate) viewer_ip: Option<IpAddr>,
    /// The id of the server at which the session plays.
    pub(crate) server_id: String,
    pub(crate) set_up: SetUpRequest,
}

/// The hand-overs at servers that the list does not name, at most [`MAX_UNLISTED`].
#[derive(Default)]
pub(crate) struct UnlistedHandOvers {
    by_play: BTreeMap<u64, HandOver>,
    /// How many of them each connection brought.
    counts: HashMap<ConnectionId, usize>,
}

impl UnlistedHandOvers {
    /// How many hand-overs wait.
    pub(crate) fn len(&self) -> usize {
        self.by_play.len()
    }

    /// Whether a hand-over of this session waits.
    pub(crate) fn contains(&self, play: u64) -> bool {
        self.by_play.contains_key(&play)
    }

    /// The connection that brought the hand-over of this session, if one waits.
    fn connection_of(&self, play: u64) -> Option<ConnectionId> {
        self.by_play.get(&play).map(|hand_over| hand_over.viewer_connection_id)
    }

    /// Whether a further hand-over on this connection is within the limits.
    fn has_room(&self, connection_id: ConnectionId) -> bool {
        let count = self.counts.get(&connection_id).copied().unwrap_or(0);
        count < MAX_UNLISTED_PER_CONNECTION && self.by_play.len() < MAX_UNLISTED
    }

    /// Adds a hand-over. There must be room for it.
    fn insert(&mut self, hand_over: HandOver) {
        *self.counts.entry(hand_over.viewer_connection_id).or_default() += 1;
        self.by_play.insert(hand_over.play, hand_over);
    }

    /// Records that a viewer has repeated a hand-over that waits, on another connection.
    fn move_to(&mut self, play: u64, connection_id: ConnectionId, viewer_ip: Option<IpAddr>) {
        for mut hand_over in self.take(|hand_over| hand_over.play == play) {
            (hand_over.viewer_connection_id, hand_over.viewer_ip) = (connection_id, viewer_ip);
            self.insert(hand_over);
        }
    }

    /// Removes and returns the hand-overs for which `is_taken` returns true, by ascending session id.
    fn take(&mut self, is_taken: impl Fn(&HandOver) -> bool) -> Vec<HandOver> {
        let all = std::mem::take(self).by_play.into_values();
        let (taken, left): (Vec<HandOver>, Vec<HandOver>) = all.partition(|hand_over| is_taken(hand_over));
        left.into_iter().for_each(|hand_over| self.insert(hand_over));
        taken
    }
}

impl NodeState {
    /// Refuses a hand-over that is over a limit. Its connection stays open, however many are refused: it may be
    /// other viewers that have used the limit up.
    fn refuse_hand_over(&mut self, hand_over: &HandOver) {
        self.stats.flooded += 1;
        self.write_final_message(hand_over.viewer_connection_id, hand_over.play, CAUSE_FAILED, 0.0);
    }
}

impl Node {
    /// Handles the hand-over of a session that the node does not know: adopts the session if its server is
    /// listed, otherwise keeps the hand-over.
    pub(crate) fn handle_hand_over(&mut self, mut hand_over: HandOver) {
        // The viewer keeps the connection while the session plays, to be notified of its end.
        self.mark_identified(hand_over.viewer_connection_id);
        // Only a set-up that is sent to a server needs its description.
        hand_over.set_up.description = Vec::new();
        match self.state.server_numbers.get(&hand_over.server_id).copied() {
            Some(server_number) => self.adopt_session(hand_over, server_number),
            None => self.keep_unlisted(hand_over),
        }
    }

    /// Handles the hand-over of a session that the node holds already. The connection on which the viewer is to
    /// be notified of the end may be over; the viewer is reached on this one then.
    pub(crate) fn handle_known_hand_over(
        &mut self,
        play: u64,
        connection_id: ConnectionId,
        viewer_ip: Option<IpAddr>,
    ) {
        let known_connection_id = match self.state.sessions.get(&play) {
            Some(session) => Some(session.viewer_connection_id).filter(|_| session.is_playing),
            None => self.state.unlisted_hand_overs.connection_of(play),
        };
        if let Some(known_connection_id) = known_connection_id
            && !self.state.is_peer_open(known_connection_id)
        {
            self.state.unlisted_hand_overs.move_to(play, connection_id, viewer_ip);
            if let Some(session) = self.state.sessions.get_mut(&play) {
                (session.viewer_connection_id, session.viewer_ip) = (connection_id, viewer_ip);
            }
        }
        self.mark_identified(connection_id);
    }

    /// Keeps a hand-over until a list names its server.
    fn keep_unlisted(&mut self, hand_over: HandOver) {
        let report = self.state.ended_sessions.report(self.state.now(), hand_over.play);
        // If the viewer has ended the session, its server is still to be told.
        let is_settled = match report {
            None | Some(EndReport::Viewer(_)) => false,
            Some(EndReport::Server(_) | EndReport::Both) => self.settle_reported_end(&hand_over, None),
        };
        if is_settled {
            return;
        }
        if !self.state.unlisted_hand_overs.has_room(hand_over.viewer_connection_id) {
            return self.state.refuse_hand_over(&hand_over);
        }
        self.state.unlisted_hand_overs.insert(hand_over);
    }

    /// Adopts a session at a listed server, unless the session's end was reported before.
    fn adopt_session(&mut self, hand_over: HandOver, server_number: u32) {
        if self.settle_reported_end(&hand_over, Some(server_number)) {
            return;
        }
        if self.state.sessions.len() >= MAX_SESSIONS {
            self.state.tear_down_on_server(server_number, None, hand_over.play, CAUSE_WITHDRAWN);
            return self.state.refuse_hand_over(&hand_over);
        }
        let HandOver { play, viewer_connection_id, viewer_ip, set_up, .. } = hand_over;
        let now = self.state.now();
        let request = set_up.request;
        let mut session = self.state.new_session(viewer_connection_id, viewer_ip, set_up);
        (session.server_number, session.is_playing, session.phase_started_at) =
            (Some(server_number), true, f64::NEG_INFINITY);
        self.state.sessions.insert(play, session);
        self.state.add_playing_session(now, server_number);
        self.dispatcher.adopt(now, play, &request, server_number, &mut self.state);
        // A server without a connection to this node cannot report anything about the session.
        let _ = self.state.connection_to(server_number, false);
    }

    /// Passes an end of the session that was reported before its hand-over on to the side that does not know
    /// of it. Returns whether there was such a report.
    fn settle_reported_end(&mut self, hand_over: &HandOver, server_number: Option<u32>) -> bool {
        let HandOver { play, viewer_connection_id, viewer_ip, .. } = *hand_over;
        match self.state.ended_sessions.take_report(self.state.now(), play) {
            None => return false,
            Some(EndReport::Server(CAUSE_WITHDRAWN) | EndReport::Both) => {}
            Some(EndReport::Server(cause)) => {
                self.state.notify_session_end(play, viewer_connection_id, viewer_ip, cause);
            }
            Some(EndReport::Viewer(cause)) => {
                if let Some(server_number) = server_number {
                    self.state.tear_down_on_server(server_number, None, play, cause);
                }
            }
        }
        true
    }

    /// Adopts the sessions that were handed over at servers that the list names by now.
    pub(crate) fn adopt_listed_hand_overs(&mut self) {
        let server_numbers = &self.state.server_numbers;
        for hand_over in self.state.unlisted_hand_overs.take(|h| server_numbers.contains_key(&h.server_id)) {
            self.handle_hand_over(hand_over);
        }
    }

    /// Ends the sessions that were handed over at servers that the list does not name. Before the name service
    /// has responded, the list may be older than the hand-overs, and they wait like a silent server's sessions.
    pub(crate) fn end_unlisted_hand_overs(&mut self, now: f64) {
        let may_be_listed = !self.dns_client.has_response;
        // The next check may be too late.
        let max_wait = self.state.limits.note_timeout().min(LOST_AFTER_MS - SERVER_CHECK_INTERVAL_MS);
        let is_due = |h: &HandOver| !may_be_listed || now - h.set_up.request.arrived_at > max_wait;
        let ended = self.state.unlisted_hand_overs.take(is_due);
        if ended.is_empty() {
            return;
        }
        info!(target: "server", plays = ended.len(), "no list names the servers of these hand-overs: the sessions end");
        for hand_over in ended {
            if !self.settle_reported_end(&hand_over, None) {
                let HandOver { play, viewer_connection_id, viewer_ip, .. } = hand_over;
                self.state.stats.lost += 1;
                self.state.notify_session_end(play, viewer_connection_id, viewer_ip, CAUSE_FAILED);
            }
        }
    }
}
