//! One session: its phases, the events that change them, and its answer.

use crate::server_list::Title;
use std::net::IpAddr;
use std::rc::Rc;

/// A complete answer to a player's request, in contrast to a segment, which is relayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// The manifest, or a text for a person.
    pub body: Rc<str>,
    /// `Retry-After`, seconds.
    pub retry_after: Option<u64>,
    /// `Location`: the address to send the request to instead.
    pub location: Option<Rc<str>>,
}

/// The phases of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// Not answered yet, and no allocation is under way.
    Requested,
    /// Not answered yet, and one allocation awaits its response.
    Allocating,
    /// The play runs: its first frame was ready, and the answer is the manifest.
    Playing,
    /// The final answer is set, and an allocation is still to be withdrawn.
    Ending,
    /// No allocation is left; the final answer is kept for `remember_ms`.
    Ended,
}

/// The events that change a session's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// An allocation is sent.
    SendAllocation,
    /// The allocation that was under way has ended without playing.
    AllocationEnded,
    /// The first frame is ready.
    StartPlaying,
    /// The final answer is set: the play was not set up, or the running play has ended.
    End,
    /// The session and its final answer are removed.
    Remove,
}

/// Every change of phase: the phase before, the event, and the phase after; none where the session is removed.
pub const TRANSITIONS: [(SessionPhase, Transition, Option<SessionPhase>); 8] = [
    (SessionPhase::Requested, Transition::SendAllocation, Some(SessionPhase::Allocating)),
    (SessionPhase::Requested, Transition::End, Some(SessionPhase::Ended)),
    (SessionPhase::Allocating, Transition::AllocationEnded, Some(SessionPhase::Requested)),
    (SessionPhase::Allocating, Transition::StartPlaying, Some(SessionPhase::Playing)),
    (SessionPhase::Allocating, Transition::End, Some(SessionPhase::Ending)),
    (SessionPhase::Playing, Transition::End, Some(SessionPhase::Ended)),
    (SessionPhase::Ending, Transition::AllocationEnded, Some(SessionPhase::Ended)),
    (SessionPhase::Ended, Transition::Remove, None),
];

impl SessionPhase {
    /// Whether the session is not answered yet.
    pub fn is_deciding(self) -> bool {
        matches!(self, SessionPhase::Requested | SessionPhase::Allocating)
    }

    /// Whether the session has its final answer; it has not played, or plays no longer.
    pub fn is_over(self) -> bool {
        matches!(self, SessionPhase::Ending | SessionPhase::Ended)
    }
}

/// A session and its play.
#[derive(Debug)]
pub struct Session {
    /// The id in its entry token.
    pub session_id: String,
    /// The viewer that the entry token names.
    pub viewer: String,
    /// The address from which it was first requested.
    pub viewer_ip: Option<IpAddr>,
    /// The product's index in the configuration.
    pub product: usize,
    /// The title's number at this front, which is never reused.
    pub title_number: usize,
    /// The title as it was listed when the play was requested.
    pub title: Rc<Title>,
    /// The highest rung that the entry token allows.
    pub max_rung: usize,
    /// When the play was requested.
    pub arrived_at: f64,
    /// When the play's set-up must have succeeded.
    pub deadline: f64,
    pub(super) phase: SessionPhase,
    /// The manifest while the play runs, then the final answer; none while the session is being decided.
    pub(super) answer: Option<Answer>,
    /// Connections that wait for the answer.
    pub waiters: Vec<u64>,
    /// Since when no connection has waited for the answer. Used only while the session is being decided and `waiters`
    /// is empty.
    pub no_waiters_since: f64,
    /// The server of the latest allocation; none before the first, and once an allocation has ended without playing.
    pub server: Option<u32>,
    pub(super) allocation_count: usize,
    /// When the latest allocation was sent.
    pub allocation_sent_at: f64,
    /// The connection of the latest allocation, while it is open.
    pub allocation_connection: Option<u64>,
    /// The rung that the play has now.
    pub rung: usize,
    /// The rung last sent to the server, in the set-up or a notification; none where it has to be sent again.
    pub notified_rung: Option<usize>,
    /// Whether a rung notification is under way or waits to be repeated.
    pub is_notifying_rung: bool,
    /// When the play's first frame was ready; 0 before that.
    pub started_at: f64,
    /// When the running play was last active: its player made a request, or a segment response to it ended.
    pub last_active_at: f64,
    /// The player's segment requests under way.
    pub active_fetches: usize,
    /// Until when its pass is valid, as renewed by the pass's last use, ms since 1970 of the wall clock.
    pub pass_valid_until: f64,
    /// Whether its last segment has been delivered.
    pub is_complete: bool,
    /// When the session and its final answer are removed; set at its end.
    pub(super) expires_at: f64,
}

impl Session {
    /// The phase that the session is in.
    pub fn phase(&self) -> SessionPhase {
        self.phase
    }

    /// The manifest while the play runs, then the final answer; none while the session is being decided.
    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    /// The number of allocations so far, which is also the number of the latest one in paths and timers.
    pub fn allocation_count(&self) -> usize {
        self.allocation_count
    }
}
