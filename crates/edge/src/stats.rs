//! What a front did since it started, in one line of the log now and then. Single lines are dropped while whoever reads
//! the log is slower than they come; the sums are of everything, so that the next one that gets through still shows
//! what happened, and how much was not written down.
//!
//! `taken` is always `played + declined + failed + left` and those that are being decided.

/// Counts since the start, each of them never less than before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Plays taken in hand, and requests for a play that were turned away by a limit of this front before that.
    pub taken: u64,
    pub away: u64,
    /// What became of those taken: a manifest, 503, 502 or 504, or the viewer left or may no longer be.
    pub played: u64,
    pub declined: u64,
    pub failed: u64,
    pub left: u64,
    /// Of those that played: over, and over because the server was lost.
    pub ended: u64,
    pub lost: u64,
    pub allocations: u64,
    pub segments: u64,
}

impl Stats {
    /// A play got its final answer without having played.
    pub fn answered(&mut self, status: u16) {
        *match status {
            503 => &mut self.declined,
            502 | 504 => &mut self.failed,
            _ => &mut self.left,
        } += 1;
    }

    /// A play that ran is over.
    pub fn over(&mut self, cause: &str) {
        self.ended += 1;
        self.lost += u64::from(cause == LOST);
    }
}

/// Why a play ended whose server was lost.
pub const LOST: &str = "server lost";
