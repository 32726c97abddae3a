//! What a node knows of whether a media server with sessions is still there, and whether it is still the
//! process at which the sessions began. Free of I/O; called by `lost_servers`, and by whatever handles input
//! of a server.
//!
//! A machine that is lost says nothing, and neither does one that is cut off for some seconds. So silence
//! decides by its length alone: viewers must be notified within [`NOTICE_TTL_MS`] of the end of their
//! sessions, which may have been right after the server was last heard. The sessions of a server that stays
//! silent end after [`LOST_AFTER_MS`], whatever the interval of its notes and the dial time-out are. Before
//! that the node dials it, so that one that was cut off keeps its sessions.
//!
//! A new connection shows that the machine is up, and not that the sessions exist: the machine may have
//! restarted. See [`PossibleRestart`].

use crate::config::NodeLimits;
use crate::state::NOTICE_TTL_MS;

#[cfg(test)]
mod tests;

/// The part of [`NOTICE_TTL_MS`] that is kept for sending the notices, ms. The event loop may be late.
const NOTICE_MARGIN_MS: f64 = 750.0;
/// The sessions of a server that was silent for this long end, ms.
pub(crate) const LOST_AFTER_MS: f64 = NOTICE_TTL_MS - NOTICE_MARGIN_MS;
/// A silent server with open connections is dialled after this time, ms. Servers that send notes do so more
/// often, so most never have to be dialled.
const DIAL_AFTER_MS: f64 = 5_500.0;
/// A server that may have restarted is pinged once the process before was silent for this long, ms.
const PING_AFTER_MS: f64 = 5_000.0;
/// Notes at longer intervals than this, ms, may come too late to show that sessions continue.
const MAX_USEFUL_NOTE_INTERVAL_MS: f64 = 5_000.0;
/// Interval between attempts to dial a server, ms.
const DIAL_INTERVAL_MS: f64 = 250.0;
/// Interval at which a silent server is dialled again while an earlier dial is pending, ms. The earlier one may
/// have been sent when the machine could not be reached.
const PARALLEL_DIAL_INTERVAL_MS: f64 = 500.0;
/// A server has this long to respond before it can count as lost, ms. It matters only if the node itself was
/// stopped for some seconds.
const RESPONSE_TIME_MS: f64 = 250.0;
/// A machine needs at least this long to restart, ms.
const MIN_RESTART_MS: f64 = 1_000.0;
/// A server counts as lost once this many consecutive dials have failed and the last was refused. If they
/// timed out instead, the server may have restarted when it can be reached again.
const MAX_FAILED_DIALS: u32 = 2;
/// A restart is in the list at most this long after it, ms: the name service learns of it within 2 s, and
/// publishes it within [`LIST_MAX_AGE_MS`] more (the platform's page on the protocol).
const LIST_DELAY_MS: f64 = 3_500.0;
/// The list shows restarts in time while its age is at most this, ms.
const LIST_MAX_AGE_MS: f64 = 1_500.0;

/// Why a dial did not lead to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DialFailure {
    /// The machine refused it: no process listens there.
    Refused,
    /// It was not established in time, or failed for another reason: the machine is cut off, lost or slow.
    TimedOut,
}

/// How a server is connected to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connectivity {
    /// There is no connection.
    Unconnected,
    /// A connection is being established, perhaps beside others.
    Dialling,
    /// All connections are established.
    Connected,
}

/// What is to be done about a server with sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LivenessAction {
    /// Nothing now.
    Wait,
    /// Request something on the connections that were established before this time, Unix ms.
    Ping { established_before: f64 },
    /// Open a connection.
    Dial,
    /// End the sessions that are older than the possible restart, which was at this time, Unix ms.
    EndSessionsBefore(f64),
    /// End all sessions.
    EndAllSessions,
}

/// A server may have restarted: a connection was established after some silence, while nothing shows that the
/// process at its other end is the one before. The sessions that began before continue if something arrives
/// that only the process before can have sent: input on a connection that was established before, or a
/// message on such a session. The list can settle it too, as it has the start times of servers. If the list is
/// too old for that, the open connections from before are pinged, and the sessions end once the process before
/// was silent for [`LOST_AFTER_MS`].
#[derive(Clone, Copy, Debug)]
struct PossibleRestart {
    /// When the connection was established, Unix ms.
    at: f64,
    /// When the process before was last heard, Unix ms.
    last_heard_before: f64,
}

/// The signs of life of one server. All times are Unix ms.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    /// When the server was last heard, or its first session was handed over.
    last_heard_at: f64,
    possible_restart: Option<PossibleRestart>,
    /// Since when connections have certainly led to the process that is reached now: there was no moment since
    /// without a connection, and no sign of a restart.
    same_process_since: f64,
    /// When the node last pinged the server.
    last_ping_at: f64,
    /// When the node last dialled the server, or had no connection left for it.
    last_dial_at: f64,
    /// When the node first dialled the server in the present silence.
    first_dial_at: Option<f64>,
    /// How many consecutive dials have failed since the server was last heard.
    failed_dials: u32,
}

impl Liveness {
    /// How long the server has been silent, ms.
    pub(crate) fn silence(&self, now: f64) -> f64 {
        now - self.last_heard_at
    }

    /// The server has its first session, which it or the session's viewer has just reported.
    pub(crate) fn on_first_session(&mut self, now: f64) {
        self.possible_restart = None;
        self.record_heard(now);
    }

    /// Something arrived that only a process can have sent which existed at `existed_at`: on a connection that
    /// was established then, or about a session that began then.
    pub(crate) fn on_heard(&mut self, now: f64, existed_at: f64) {
        self.same_process_since = self.same_process_since.min(existed_at);
        if self.possible_restart.is_some_and(|restart| existed_at < restart.at) {
            self.possible_restart = None;
        }
        self.record_heard(now);
    }

    /// A connection was established. `has_other`: another established connection is open, which is silent.
    pub(crate) fn on_connected(&mut self, now: f64, has_other: bool, limits: &NodeLimits) {
        let is_suspect = has_other || self.failed_dials >= MAX_FAILED_DIALS;
        let may_have_restarted = is_suspect && self.silence(now) >= MIN_RESTART_MS;
        if !has_other || may_have_restarted {
            self.same_process_since = now;
        }
        if may_have_restarted && can_confirm_sessions(limits) && self.possible_restart.is_none() {
            self.possible_restart = Some(PossibleRestart { at: now, last_heard_before: self.last_heard_at });
        }
        self.record_heard(now);
    }

    fn record_heard(&mut self, now: f64) {
        self.last_heard_at = now;
        self.first_dial_at = None;
        self.failed_dials = 0;
    }

    /// Since when connections have certainly led to the process that is reached now, Unix ms.
    pub(crate) fn same_process_since(&self) -> f64 {
        self.same_process_since
    }

    /// The node pings the server on the connections from before it may have restarted.
    pub(crate) fn on_pinged(&mut self, now: f64) {
        self.last_ping_at = now;
    }

    /// The node dials the server, or would have to and has no connection left for it.
    pub(crate) fn on_dialled(&mut self, now: f64) {
        self.last_dial_at = now;
        self.first_dial_at.get_or_insert(now);
    }

    /// Whether the server has been silent for so long that it is dialled although it has open connections.
    pub(crate) fn is_silent(&self, now: f64) -> bool {
        self.silence(now) >= DIAL_AFTER_MS
    }

    /// A dial has failed. Returns whether the server is lost by that, unless another connection leads to it.
    pub(crate) fn on_dial_failed(&mut self, failure: DialFailure) -> bool {
        self.failed_dials += 1;
        failure == DialFailure::Refused && self.failed_dials >= MAX_FAILED_DIALS
    }

    /// Whether a server that has just lost its last connection is dialled at once, and not at the next check.
    pub(crate) fn may_redial_at_once(&self) -> bool {
        self.failed_dials < MAX_FAILED_DIALS
    }

    /// The sessions that a restart has ended are removed: all of them if the server is lost.
    pub(crate) fn on_sessions_ended(&mut self) {
        self.possible_restart = None;
        self.failed_dials = 0;
    }

    /// What to do now about a listed server with sessions. `list_as_of` is when the present list was
    /// requested, Unix ms; all starts that the list names were handled.
    pub(crate) fn next_action(
        &mut self,
        now: f64,
        connectivity: Connectivity,
        list_as_of: f64,
        limits: &NodeLimits,
    ) -> LivenessAction {
        if self.possible_restart.is_some_and(|restart| list_as_of - restart.at >= LIST_DELAY_MS) {
            self.possible_restart = None;
        }
        if let Some(action) = self.restart_action(now, list_as_of, limits) {
            return action;
        }
        let silence = self.silence(now);
        if silence >= LOST_AFTER_MS && self.first_dial_at.is_some_and(|at| now - at >= RESPONSE_TIME_MS) {
            return LivenessAction::EndAllSessions;
        }
        if self.is_dial_due(now, connectivity) { LivenessAction::Dial } else { LivenessAction::Wait }
    }

    /// Whether the server is to be dialled now.
    fn is_dial_due(&self, now: f64, connectivity: Connectivity) -> bool {
        let is_silent = self.is_silent(now);
        let since_last_dial = now - self.last_dial_at;
        match connectivity {
            Connectivity::Unconnected => since_last_dial >= DIAL_INTERVAL_MS,
            Connectivity::Dialling => is_silent && since_last_dial >= PARALLEL_DIAL_INTERVAL_MS,
            Connectivity::Connected => is_silent && since_last_dial >= DIAL_INTERVAL_MS,
        }
    }

    /// What to do now about a possible restart that the list is too old to show.
    fn restart_action(&self, now: f64, list_as_of: f64, limits: &NodeLimits) -> Option<LivenessAction> {
        let is_list_old = now - list_as_of > LIST_MAX_AGE_MS;
        let restart = self.possible_restart.filter(|_| is_list_old)?;
        let unconfirmed_for = now - restart.last_heard_before;
        if limits.may_probe && unconfirmed_for >= PING_AFTER_MS && self.last_ping_at < restart.at {
            return Some(LivenessAction::Ping { established_before: restart.at });
        }
        let had_time_to_respond = now - self.last_ping_at.max(restart.at) >= RESPONSE_TIME_MS;
        (unconfirmed_for >= LOST_AFTER_MS && had_time_to_respond)
            .then_some(LivenessAction::EndSessionsBefore(restart.at))
    }
}

/// Whether anything but the list can show that sessions continue after a possible restart.
fn can_confirm_sessions(limits: &NodeLimits) -> bool {
    limits.may_probe || limits.note_interval > 0.0 && limits.note_interval <= MAX_USEFUL_NOTE_INTERVAL_MS
}
