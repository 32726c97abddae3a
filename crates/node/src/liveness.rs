//! What a node knows of whether a media server with sessions is still there. Free of I/O; called by
//! `lost_servers`, and by whatever handles input of a server.
//!
//! A machine that is lost says nothing, and neither does one that is cut off for some seconds. So silence
//! decides by its length alone: viewers must be notified within [`NOTICE_TTL_MS`] of the end of their
//! sessions, which may have been right after the server was last heard. The sessions of a server that stays
//! silent end after [`LOST_AFTER_MS`], whatever the interval of its notes and the dial time-out are. Before
//! that the node dials it, so that one that was cut off keeps its sessions.

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
/// Interval between attempts to dial a server, ms.
const DIAL_INTERVAL_MS: f64 = 250.0;
/// Interval at which a silent server is dialled again while an earlier dial is pending, ms. The earlier one may
/// have been sent when the machine could not be reached.
const PARALLEL_DIAL_INTERVAL_MS: f64 = 500.0;
/// A server has this long to respond before it can count as lost, ms. It matters only if the node itself was
/// stopped for some seconds.
const RESPONSE_TIME_MS: f64 = 250.0;
/// A server counts as lost once this many consecutive dials have failed and the last was refused.
const MAX_FAILED_DIALS: u32 = 2;

/// Why a dial did not lead to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DialFailure {
    /// The machine refused it: no process listens there.
    Refused,
    /// It was not established in time: the machine is cut off, lost or slow.
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
    /// Open a connection.
    Dial,
    /// End all sessions.
    EndAllSessions,
}

/// The signs of life of one server. All times are Unix ms.
#[derive(Debug, Default)]
pub(crate) struct Liveness {
    /// When the server was last heard, or its first session was handed over.
    last_heard_at: f64,
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

    /// Something arrived from the server, a connection to it was established, or its first session was handed
    /// over.
    pub(crate) fn on_heard(&mut self, now: f64) {
        self.last_heard_at = now;
        self.first_dial_at = None;
        self.failed_dials = 0;
    }

    /// The node dials the server, or would have to and has no connection left for it.
    pub(crate) fn on_dialled(&mut self, now: f64) {
        self.last_dial_at = now;
        self.first_dial_at.get_or_insert(now);
    }

    /// A dial has failed. Returns whether the server is lost by that.
    pub(crate) fn on_dial_failed(&mut self, failure: DialFailure) -> bool {
        self.failed_dials += 1;
        failure == DialFailure::Refused && self.failed_dials >= MAX_FAILED_DIALS
    }

    /// Whether a server that has just lost its last connection is dialled at once, and not at the next check.
    pub(crate) fn may_redial_at_once(&self) -> bool {
        self.failed_dials < MAX_FAILED_DIALS
    }

    /// All sessions have ended, as the server is lost.
    pub(crate) fn on_lost(&mut self) {
        self.failed_dials = 0;
    }

    /// What to do now about a listed server with sessions.
    pub(crate) fn next_action(&self, now: f64, connectivity: Connectivity) -> LivenessAction {
        let silence = self.silence(now);
        if silence >= LOST_AFTER_MS && self.first_dial_at.is_some_and(|at| now - at >= RESPONSE_TIME_MS) {
            return LivenessAction::EndAllSessions;
        }
        if self.is_dial_due(now, connectivity) { LivenessAction::Dial } else { LivenessAction::Wait }
    }

    /// Whether the server is to be dialled now.
    fn is_dial_due(&self, now: f64, connectivity: Connectivity) -> bool {
        let is_silent = self.silence(now) >= DIAL_AFTER_MS;
        let since_last_dial = now - self.last_dial_at;
        match connectivity {
            Connectivity::Unconnected => since_last_dial >= DIAL_INTERVAL_MS,
            Connectivity::Dialling => is_silent && since_last_dial >= PARALLEL_DIAL_INTERVAL_MS,
            Connectivity::Connected => is_silent && since_last_dial >= DIAL_INTERVAL_MS,
        }
    }
}
