//! A front's row as it is known here. What came is taken into it only once it is whole and its checksum holds, so that a
//! reader never sees half of a change, or one that was altered on its way.

use crate::MAX_CLOCK_DRIFT;
use crate::message::{Cell, Change, MAX_BYTES, Message, Origin, RowVersion};
use std::collections::BTreeMap;

/// Room that is kept in a datagram beside changes' cells, bytes.
const HEADS: usize = 64;

pub(crate) struct Row {
    pub(crate) incarnation: u64,
    pub(crate) version: u64,
    pub(crate) cells: BTreeMap<u16, (u64, Vec<u8>)>,
    /// Checksum over all cells, in no order.
    pub(crate) sum: u32,
    /// Parts of a change that is not whole yet, and up to which version they go.
    pub(crate) staged: BTreeMap<u16, (u64, Vec<u8>)>,
    pub(crate) upto: u64,
    /// The version of the row that they are parts of: one of an older state would not make them whole.
    pub(crate) of: u64,
    /// When another row of this incarnation and version was last met.
    pub(crate) contradicted: f64,
    /// On this front's clock: the row was its origin's own then, or later.
    pub(crate) as_of: f64,
    /// When it last changed here.
    pub(crate) changed: f64,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    Yes,
    /// It is of an incarnation that is past.
    Old,
    /// Something before it is missing.
    Gap,
    /// It does not come to what its checksum says.
    Altered,
}

impl Default for Row {
    fn default() -> Row {
        Row {
            incarnation: 0,
            version: 0,
            cells: BTreeMap::new(),
            sum: 0,
            staged: BTreeMap::new(),
            upto: 0,
            of: 0,
            contradicted: f64::NEG_INFINITY,
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
        (now - self.as_of).max(0.0) * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
    }

    /// How far it is known here, for whoever wants to know it.
    pub(crate) fn known(&self, now: f64, origin: Origin) -> RowVersion {
        let age = self.age(now);
        RowVersion {
            origin,
            incarnation: self.incarnation,
            version: self.version,
            age: age.is_finite().then_some(age.ceil() as u32),
            sum: Some(self.sum),
        }
    }

    /// The same for whoever is asked for the rest: parts that have come count.
    pub(crate) fn had(&self, now: f64, origin: Origin) -> RowVersion {
        let known = self.known(now, origin);
        if self.staged.is_empty() {
            known
        } else {
            RowVersion { version: self.upto, age: None, sum: None, ..known }
        }
    }

    pub(crate) fn take(&mut self, now: f64, change: &Change) -> Taken {
        let known = &change.known;
        if known.incarnation < self.incarnation {
            return Taken::Old;
        }
        if known.incarnation > self.incarnation {
            if change.from > 0 {
                return Taken::Gap;
            }
            *self = Row { incarnation: known.incarnation, ..Row::default() };
        }
        if change.from > self.version.max(self.upto) {
            return Taken::Gap;
        }
        for Cell { key, version, value } in &change.cells {
            let had = self.staged.get(key).or(self.cells.get(key)).map_or(0, |(version, _)| *version);
            if *version > had.max(self.version) {
                self.staged.insert(*key, (*version, value.clone()));
            }
        }
        self.upto = self.upto.max(known.version);
        self.of = self.of.max(change.of);
        let Some(sum) = known.sum.filter(|_| known.version >= self.of) else { return Taken::Yes };
        if known.version <= self.version {
            return Taken::Yes;
        }
        let mut now_sum = self.sum;
        for (key, (version, value)) in &self.staged {
            now_sum ^= sum_of(*key, *version, value);
            now_sum ^= self.cells.get(key).map_or(0, |(version, was)| sum_of(*key, *version, was));
        }
        if now_sum != sum {
            self.distrust(now);
            return Taken::Altered;
        }
        for (key, (version, value)) in std::mem::take(&mut self.staged) {
            self.set(key, version, value);
        }
        (self.version, self.changed) = (known.version, now);
        Taken::Yes
    }

    /// What came, or what is held, is not its origin's: nobody can say which, so all of it is asked for again.
    fn distrust(&mut self, now: f64) {
        *self = Row { incarnation: self.incarnation, contradicted: now, changed: now, ..Row::default() };
    }

    /// Somebody who was asked then knows the row as far as we do, so old at most.
    pub(crate) fn vouched(&mut self, now: f64, asked: f64, known: &RowVersion) {
        if (known.incarnation, known.version) != (self.incarnation, self.version) || known.incarnation == 0 {
            return;
        }
        match known.sum {
            Some(sum) if sum != self.sum => self.distrust(now),
            Some(_) => {
                self.as_of = known.age.map_or(self.as_of, |age| self.as_of.max(asked - f64::from(age)))
            }
            None => {}
        }
    }

    /// What changed after a version, split over answers. A change that is cut short says up to where it goes.
    pub(crate) fn changes(&self, known: RowVersion, after: u64, answers: &mut Vec<Message>) {
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
            let mut left = MAX_BYTES.saturating_sub(last.size() + HEADS);
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
            let known = if whole { known } else { RowVersion { version: to, age: None, sum: None, ..known } };
            if let Some(last) = answers.last_mut() {
                last.changes.push(Change { known, from, of: self.version, cells: part });
            }
            if whole {
                return;
            }
            from = to;
        }
    }
}
