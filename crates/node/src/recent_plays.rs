//! Plays that are over and of which an attempt may have run. A viewer that comes again under the same id must
//! not have the play run a second time where that may do harm, so the placement logic is told of the earlier
//! attempts.

use crate::state::Session;
use pulleystair_connections::ConnectionId;
use std::collections::{HashMap, VecDeque};

/// How long a play is remembered, ms.
const MEMORY_MS: f64 = 30_000.0;
/// Maximum number of plays that are remembered. The oldest are forgotten first.
const MAX_PLAYS: usize = 8_192;

/// The attempts that were made for a play before.
pub(crate) struct EarlierAttempts {
    /// The number of the first server at which one may have run, and when that attempt was made, Unix ms.
    pub(crate) server_number: u32,
    pub(crate) sent_at: f64,
    /// How many attempts were made.
    pub(crate) count: u32,
    /// The connections on which they were made.
    pub(crate) connections: Vec<ConnectionId>,
}

impl EarlierAttempts {
    /// The attempts of a session that is over, if any may have run.
    pub(crate) fn of(session: Session) -> Option<EarlierAttempts> {
        let handed_over_at = || Some((session.server_number?, session.phase_started_at));
        let (server_number, sent_at) = match session.may_have_run {
            None if session.is_playing => handed_over_at()?,
            ran => ran?,
        };
        let count = session.attempts.max(1);
        Some(EarlierAttempts { server_number, sent_at, count, connections: session.earlier_connections })
    }
}

/// The plays that were over within the last [`MEMORY_MS`] ms, at most [`MAX_PLAYS`].
#[derive(Default)]
pub(crate) struct RecentPlays {
    /// When each was last over, Unix ms, and its attempts.
    by_play: HashMap<u64, (f64, EarlierAttempts)>,
    /// When each was over, Unix ms, oldest first. A play that has come again and is over anew is in it twice.
    order: VecDeque<(f64, u64)>,
}

impl RecentPlays {
    /// Remembers a play that is over.
    pub(crate) fn insert(&mut self, now: f64, play: u64, attempts: EarlierAttempts) {
        self.forget_old(now);
        self.by_play.insert(play, (now, attempts));
        self.order.push_back((now, play));
    }

    /// Removes and returns what is remembered of a play that comes again.
    pub(crate) fn take(&mut self, now: f64, play: u64) -> Option<EarlierAttempts> {
        self.forget_old(now);
        self.by_play.remove(&play).map(|(_, attempts)| attempts)
    }

    fn forget_old(&mut self, now: f64) {
        while let Some((over_at, play)) = self.order.front().copied() {
            if now - over_at < MEMORY_MS && self.order.len() < MAX_PLAYS {
                return;
            }
            self.order.pop_front();
            if self.by_play.get(&play).is_some_and(|(last_over_at, _)| *last_over_at <= over_at) {
                self.by_play.remove(&play);
            }
        }
    }
}
