//! Recently ended sessions. The adoption of a session by a node that has just started and the report of the
//! session's end arrive on different connections and in either order.

use crate::state::{MAX_NOTICES, NOTICE_TTL_MS};
use std::collections::{HashMap, VecDeque};

/// Who has reported the end of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndReport {
    /// The media server, with this cause. The viewer has not been notified.
    Server(u8),
    /// The viewer, with this cause. The media server has not been notified.
    Viewer(u8),
    /// Both the viewer and the media server know of the end.
    Both,
}

/// The ends of the last [`NOTICE_TTL_MS`] ms, at most [`MAX_NOTICES`]. The oldest are dropped first.
#[derive(Default)]
pub(crate) struct EndedSessions {
    /// When each session's end was reported, Unix ms, and by whom.
    reports: HashMap<u64, (f64, EndReport)>,
    /// The sessions in the order of their ends.
    order: VecDeque<u64>,
}

impl EndedSessions {
    /// Records the end of a session. A report that is already there stays.
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

    /// What is known of the end of a session that a viewer asks the node to adopt.
    pub(crate) fn report(&self, now: f64, play: u64) -> Option<EndReport> {
        let (ended_at, report) = self.reports.get(&play)?;
        (now - *ended_at < NOTICE_TTL_MS).then_some(*report)
    }

    /// Like [`EndedSessions::report`]. Afterwards the end counts as known to both sides.
    pub(crate) fn take_report(&mut self, now: f64, play: u64) -> Option<EndReport> {
        let report = self.report(now, play)?;
        if let Some((_, kept)) = self.reports.get_mut(&play) {
            *kept = EndReport::Both;
        }
        Some(report)
    }
}
