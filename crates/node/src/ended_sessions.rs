//! Sessions that have ended, for a while: the hand-over of a session to a node that has just started, and the word of its end, come
//! on different connections and in either order.

use crate::state::{MAX_NOTICES, NOTICE_TTL_MS};
use std::collections::{HashMap, VecDeque};

/// Who has told of an end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndReport {
    /// Its media server, with its cause; its viewer has not been told.
    Server(u8),
    /// Its viewer, with its cause; its media server has not been told.
    Viewer(u8),
    /// Both know.
    Both,
}

/// The ends of the last [`OWED`] ms, [`OWED_MOST`] at most, the oldest of which give way.
#[derive(Default)]
pub(crate) struct EndedSessions {
    reports: HashMap<u64, (f64, EndReport)>,
    order: VecDeque<u64>,
}

impl EndedSessions {
    pub(crate) fn record(&mut self, now: f64, play: u64, report: EndReport) {
        let is_expired = |ended: &EndedSessions, id: &u64| {
            ended.reports.get(id).is_none_or(|(ended_at, _)| now - ended_at >= NOTICE_TTL_MS)
        };
        while self.order.front().is_some_and(|id| is_expired(self, id) || self.order.len() >= MAX_NOTICES) {
            if let Some(oldest) = self.order.pop_front() {
                self.reports.remove(&oldest);
            }
        }
        if let std::collections::hash_map::Entry::Vacant(entry) = self.reports.entry(play) {
            entry.insert((now, report));
            self.order.push_back(play);
        }
    }

    /// What is known of the end of a session that is handed over; from then on both sides know.
    pub(crate) fn take_report(&mut self, now: f64, play: u64) -> Option<EndReport> {
        let (ended_at, report) = self.reports.get_mut(&play)?;
        (now - *ended_at < NOTICE_TTL_MS).then(|| std::mem::replace(report, EndReport::Both))
    }
}
