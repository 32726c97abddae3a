//! Sessions that have ended, for a while: the hand-over of a session to a node that has just started, and the word of its end, come
//! on different connections and in either order.

use crate::floor::{OWED, OWED_MOST};
use std::collections::{HashMap, VecDeque};

/// Who has told of an end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Word {
    /// Its media server, with its cause; its viewer has not been told.
    Server(u8),
    /// Its viewer, with its cause; its media server has not been told.
    Viewer(u8),
    /// Both know.
    Both,
}

/// The ends of the last [`OWED`] ms, [`OWED_MOST`] at most, the oldest of which give way.
#[derive(Default)]
pub(crate) struct Ended {
    words: HashMap<u64, (f64, Word)>,
    order: VecDeque<u64>,
}

impl Ended {
    pub(crate) fn note(&mut self, now: f64, session: u64, word: Word) {
        let old = |it: &Ended, id: &u64| it.words.get(id).is_none_or(|(at, _)| now - at >= OWED);
        while self.order.front().is_some_and(|id| old(self, id) || self.order.len() >= OWED_MOST) {
            if let Some(oldest) = self.order.pop_front() {
                self.words.remove(&oldest);
            }
        }
        if let std::collections::hash_map::Entry::Vacant(entry) = self.words.entry(session) {
            entry.insert((now, word));
            self.order.push_back(session);
        }
    }

    /// What is known of the end of a session that is handed over; from then on both sides know.
    pub(crate) fn of(&mut self, now: f64, session: u64) -> Option<Word> {
        let (at, word) = self.words.get_mut(&session)?;
        (now - *at < OWED).then(|| std::mem::replace(word, Word::Both))
    }
}
