//! Counts of what a front did since it started, logged at intervals (`tally_ms`). Log lines are dropped while the
//! reader of the log is slower than they are written; the counts include everything, so that the next line that
//! gets through still shows what happened, and how many lines were dropped.
//!
//! `taken` always equals `played + declined + failed + left` plus the plays that are being decided.

/// Counts since the start; none ever decreases. The log shows the names of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Plays accepted for a decision.
    pub taken: u64,
    /// Manifest requests refused with 503 without a decision: a limit of this front is reached, or the front is
    /// stopping or overloaded.
    pub away: u64,
    /// Plays that were answered with a manifest.
    pub played: u64,
    /// Plays that were answered with 503.
    pub declined: u64,
    /// Plays that were answered with 502 or 504.
    pub failed: u64,
    /// Plays that ended undecided because the viewer left or the session was revoked.
    pub left: u64,
    /// Running plays that have ended, for any cause.
    pub ended: u64,
    /// Running plays that ended because the server was lost.
    pub lost: u64,
    /// Allocations that were sent, or failed to be sent because no connection could be opened.
    pub allocations: u64,
    /// Segment requests of players whose response was received completely from the server.
    pub segments: u64,
}

impl Stats {
    /// Counts a play that ended undecided, by the status of its final answer.
    pub fn record_final_answer(&mut self, status: u16) {
        *match status {
            503 => &mut self.declined,
            502 | 504 => &mut self.failed,
            _ => &mut self.left,
        } += 1;
    }

    /// Counts the end of a running play.
    pub fn record_end(&mut self, cause: &str) {
        self.ended += 1;
        self.lost += u64::from(cause == SERVER_LOST);
    }
}

/// The cause of a running play's end where its server was lost, as it is logged.
pub const SERVER_LOST: &str = "server lost";
