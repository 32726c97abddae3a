//! A front's row as it is known here.

use crate::DRIFT;
use crate::message::{Cell, Change, Known, MOST, Message, Origin};
use std::collections::BTreeMap;

/// Room that is kept in a datagram beside changes' cells, bytes.
const HEADS: usize = 64;

pub(crate) struct Row {
    pub(crate) incarnation: u64,
    pub(crate) version: u64,
    pub(crate) cells: BTreeMap<u16, (u64, Vec<u8>)>,
    /// Checksum over all cells, in no order; says something only where the row is whole.
    pub(crate) sum: u32,
    pub(crate) whole: bool,
    pub(crate) contradictory: bool,
    /// On this front's clock: the row was its origin's own then, or later.
    pub(crate) as_of: f64,
    /// When it last changed here.
    pub(crate) changed: f64,
}

impl Default for Row {
    fn default() -> Row {
        Row {
            incarnation: 0,
            version: 0,
            cells: BTreeMap::new(),
            sum: 0,
            whole: false,
            contradictory: false,
            as_of: f64::NEG_INFINITY,
            changed: f64::NEG_INFINITY,
        }
    }
}

fn sum_of(key: u16, version: u64, value: &[u8]) -> u32 {
    let head = [&key.to_be_bytes()[..], &version.to_be_bytes()].concat();
    crc32c::crc32c_append(crc32c::crc32c(&head), value)
}

impl Row {
    pub(crate) fn set(&mut self, key: u16, version: u64, value: Vec<u8>) {
        self.sum ^= sum_of(key, version, &value);
        if let Some((version, was)) = self.cells.insert(key, (version, value)) {
            self.sum ^= sum_of(key, version, &was);
        }
    }

    /// ms, at most; a slow clock of this front's counts too few.
    pub(crate) fn age(&self, now: f64) -> f64 {
        (now - self.as_of).max(0.0) * (1.0 + 2.0 * DRIFT)
    }

    pub(crate) fn known(&self, now: f64, origin: Origin) -> Known {
        let age = self.age(now);
        Known {
            origin,
            incarnation: self.incarnation,
            version: self.version,
            age: age.is_finite().then_some(age.ceil() as u32),
            sum: self.whole.then_some(self.sum),
        }
    }

    /// Takes a change; false where something between is missing.
    pub(crate) fn take(&mut self, now: f64, change: &Change) -> bool {
        let known = &change.known;
        if known.incarnation < self.incarnation {
            return true;
        }
        if known.incarnation > self.incarnation {
            if change.from > 0 {
                return false;
            }
            *self = Row { incarnation: known.incarnation, ..Row::default() };
        }
        if change.from > self.version {
            return false;
        }
        for Cell { key, version, value } in &change.cells {
            if *version > self.version && self.cells.get(key).is_none_or(|(v, _)| v < version) {
                self.set(*key, *version, value.clone());
            }
        }
        if known.version > self.version {
            (self.version, self.changed) = (known.version, now);
            self.whole = known.sum == Some(self.sum);
            self.contradictory |= known.sum.is_some() && !self.whole;
        }
        true
    }

    /// Somebody who was asked then knows the row as far as we do, so old at most.
    pub(crate) fn vouched(&mut self, asked: f64, known: &Known) {
        if (known.incarnation, known.version) != (self.incarnation, self.version) || known.incarnation == 0 {
            return;
        }
        if let (Some(theirs), true) = (known.sum, self.whole) {
            self.contradictory |= theirs != self.sum;
        }
        if let Some(age) = known.age {
            self.as_of = self.as_of.max(asked - f64::from(age));
        }
    }

    /// What changed after a version, split over answers. A change that is cut short says up to where it goes.
    pub(crate) fn changes(&self, known: Known, after: u64, answers: &mut Vec<Message>) {
        let mut cells: Vec<Cell> = self
            .cells
            .iter()
            .filter(|(_, (version, _))| *version > after)
            .map(|(key, (version, value))| Cell { key: *key, version: *version, value: value.clone() })
            .collect();
        cells.sort_by_key(|c| c.version);
        let mut from = after;
        let mut cells = cells.into_iter().peekable();
        loop {
            let Some(last) = answers.last() else { return };
            let mut left = MOST.saturating_sub(last.size() + HEADS);
            let mut part = Vec::new();
            while let Some(cell) = cells.next_if(|c| c.value.len() + 16 <= left) {
                left -= cell.value.len() + 16;
                part.push(cell);
            }
            let whole = cells.peek().is_none();
            if whole && left < HEADS && part.is_empty() || !whole && part.is_empty() {
                // Nothing fits: a new datagram, unless this one is new already.
                if last.changes.is_empty() && last.known.is_empty() {
                    return;
                }
                let next = Message { known: Vec::new(), changes: Vec::new(), asks: false, ..last.clone() };
                answers.push(next);
                continue;
            }
            let to = if whole { known.version } else { part.last().map_or(from, |c| c.version) };
            // A part is not current, so it vouches for nothing.
            let known = if whole { known } else { Known { version: to, age: None, sum: None, ..known } };
            if let Some(last) = answers.last_mut() {
                last.changes.push(Change { known, from, cells: part });
            }
            if whole {
                return;
            }
            from = to;
        }
    }
}
