//! Counts of what a front did since it started, logged at intervals (`tally_ms`). Log lines are dropped while the
//! reader of the log is slower than they are written; the counts include everything, so that the next line that
//! gets through still shows what happened, and how many lines were dropped.
//!
//! `taken` always equals `played + declined + failed + left` plus the plays that are being decided.

/// Counts since the start; none ever decreases. The log shows the names of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Plays accepted for a decision, and requests for a play that a limit of this front refused before that.
    pub taken: u64,
    pub away: u64,
    /// The results of the plays taken: answered with a manifest, with 503, with 502 or 504, or ended because the
    /// viewer left or the session was revoked.
    pub played: u64,
    pub declined: u64,
    pub failed: u64,
    pub left: u64,
    /// Of the plays that played: those that have ended, and those that ended because the server was lost.
    pub ended: u64,
    pub lost: u64,
    pub allocations: u64,
    pub segments: u64,
}

impl Stats {
    /// Counts a play that got its final answer without having played.
    pub fn record_final_answer(&mut self, status: u16) {
        *match status {
            503 => &mut self.declined,
            502 | 504 => &mut self.failed,
            _ => &mut self.left,
        } += 1;
    }

    /// Counts the end of a play that had started.
    pub fn record_end(&mut self, cause: &str) {
        self.ended += 1;
        self.lost += u64::from(cause == SERVER_LOST);
    }
}

/// The cause of end of a play whose server was lost.
pub const SERVER_LOST: &str = "server lost";
