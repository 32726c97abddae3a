//! A front's row as this front knows it. A received change is applied only once it is complete and its checksum matches, so
//! that a reader never sees half of a change or one that was altered in transit.

use crate::MAX_CLOCK_DRIFT;
use crate::message::{Cell, Change, FrontId, MAX_BYTES, Message, RowVersion};
use std::collections::BTreeMap;

/// Bytes reserved in a datagram for the header of a change.
const CHANGE_HEADER_BYTES: usize = 64;

/// A row, and the parts of a change that have arrived so far.
pub(crate) struct Row {
    pub(crate) incarnation: u64,
    pub(crate) version: u64,
    /// By key: the version of the row that last changed the cell, and its value.
    pub(crate) cells: BTreeMap<u16, (u64, Vec<u8>)>,
    /// XOR of the checksums of all cells, so that their order does not matter.
    pub(crate) checksum: u32,
    /// Cells of a change that is still incomplete, and up to which version they go.
    pub(crate) staged: BTreeMap<u16, (u64, Vec<u8>)>,
    pub(crate) staged_version: u64,
    /// Newest version of the row from which any staged part was taken. Parts of an older version would not complete it.
    pub(crate) staged_source_version: u64,
    /// When a different row with this incarnation and version was last received.
    pub(crate) contradicted_at: f64,
    /// Moment on this front's clock at which, or after which, the row was current at its origin.
    pub(crate) as_of: f64,
    /// When it last changed at this front.
    pub(crate) changed_at: f64,
}

/// The result of applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeResult {
    /// It was applied, or staged until the rest arrives.
    Accepted,
    /// It belongs to an earlier incarnation.
    Outdated,
    /// A change before it is missing.
    Gap,
    /// The resulting row does not have the stated checksum.
    ChecksumMismatch,
}

impl Default for Row {
    fn default() -> Row {
        Row {
            incarnation: 0,
            version: 0,
            cells: BTreeMap::new(),
            checksum: 0,
            staged: BTreeMap::new(),
            staged_version: 0,
            staged_source_version: 0,
            contradicted_at: f64::NEG_INFINITY,
            as_of: f64::NEG_INFINITY,
            changed_at: f64::NEG_INFINITY,
        }
    }
}

/// Checksum of one cell: its key, version and value.
fn cell_checksum(key: u16, version: u64, value: &[u8]) -> u32 {
    let head = [&key.to_be_bytes()[..], &version.to_be_bytes()].concat();
    crc32c::crc32c_append(crc32c::crc32c(&head), value)
}

impl Row {
    /// Sets a cell and updates the row's checksum.
    pub(crate) fn set_cell(&mut self, key: u16, version: u64, value: Vec<u8>) {
        self.checksum ^= cell_checksum(key, version, &value);
        if let Some((version, old_value)) = self.cells.insert(key, (version, value)) {
            self.checksum ^= cell_checksum(key, version, &old_value);
        }
    }

    /// Upper bound on the row's age, ms. It is extended by the maximum clock drift, because this front's clock may run slow.
    pub(crate) fn age(&self, now: f64) -> f64 {
        (now - self.as_of).max(0.0) * (1.0 + 2.0 * MAX_CLOCK_DRIFT)
    }

    /// The complete version that is known here, as it is reported in an answer.
    pub(crate) fn row_version(&self, now: f64, origin: FrontId) -> RowVersion {
        let age = self.age(now);
        RowVersion {
            origin,
            incarnation: self.incarnation,
            version: self.version,
            age: age.is_finite().then_some(age.ceil() as u32),
            checksum: Some(self.checksum),
        }
    }

    /// The version reported in a question. It includes staged parts, so that they are not sent again.
    pub(crate) fn received_version(&self, now: f64, origin: FrontId) -> RowVersion {
        let row_version = self.row_version(now, origin);
        if self.staged.is_empty() {
            row_version
        } else {
            RowVersion { version: self.staged_version, age: None, checksum: None, ..row_version }
        }
    }

    /// Stages the cells of a change, and applies all of them once they are complete and match the checksum.
    pub(crate) fn apply(&mut self, now: f64, change: &Change) -> ChangeResult {
        let known = &change.known;
        if known.incarnation < self.incarnation {
            return ChangeResult::Outdated;
        }
        if known.incarnation > self.incarnation {
            if change.after_version > 0 {
                return ChangeResult::Gap;
            }
            *self = Row { incarnation: known.incarnation, ..Row::default() };
        }
        if change.after_version > self.version.max(self.staged_version) {
            return ChangeResult::Gap;
        }
        for Cell { key, version, value } in &change.cells {
            let received = self.staged.get(key).or(self.cells.get(key)).map_or(0, |(version, _)| *version);
            if *version > received.max(self.version) {
                self.staged.insert(*key, (*version, value.clone()));
            }
        }
        self.staged_version = self.staged_version.max(known.version);
        self.staged_source_version = self.staged_source_version.max(change.source_version);
        let Some(sum) = known.checksum.filter(|_| known.version >= self.staged_source_version) else {
            return ChangeResult::Accepted;
        };
        if known.version <= self.version {
            return ChangeResult::Accepted;
        }
        let mut new_checksum = self.checksum;
        for (key, (version, value)) in &self.staged {
            new_checksum ^= cell_checksum(*key, *version, value);
            new_checksum ^= self
                .cells
                .get(key)
                .map_or(0, |(version, old_value)| cell_checksum(*key, *version, old_value));
        }
        if new_checksum != sum {
            self.discard(now);
            return ChangeResult::ChecksumMismatch;
        }
        for (key, (version, value)) in std::mem::take(&mut self.staged) {
            self.set_cell(key, version, value);
        }
        (self.version, self.changed_at) = (known.version, now);
        ChangeResult::Accepted
    }

    /// Discards the row after a contradiction: two rows of one version differ, and nothing shows which of them is the
    /// origin's. The whole row is requested again.
    fn discard(&mut self, now: f64) {
        *self =
            Row { incarnation: self.incarnation, contradicted_at: now, changed_at: now, ..Row::default() };
    }

    /// Uses a peer's report that, when asked, it knew the row at this version and age. The same version with another
    /// checksum is a contradiction.
    pub(crate) fn confirm(&mut self, now: f64, asked_at: f64, known: &RowVersion) {
        if (known.incarnation, known.version) != (self.incarnation, self.version) || known.incarnation == 0 {
            return;
        }
        match known.checksum {
            Some(sum) if sum != self.checksum => self.discard(now),
            Some(_) => {
                self.as_of = known.age.map_or(self.as_of, |age| self.as_of.max(asked_at - f64::from(age)))
            }
            None => {}
        }
    }

    /// Appends all changes after a version to the answers, split over several datagrams as needed. A part states up to which
    /// version it goes.
    pub(crate) fn append_changes(&self, known: RowVersion, after_version: u64, answers: &mut Vec<Message>) {
        let mut cells: Vec<Cell> = self
            .cells
            .iter()
            .filter(|(_, (version, _))| *version > after_version)
            .map(|(key, (version, value))| Cell { key: *key, version: *version, value: value.clone() })
            .collect();
        cells.sort_by_key(|c| c.version);
        let mut from = after_version;
        let mut cells = cells.into_iter().peekable();
        loop {
            let Some(last) = answers.last() else { return };
            let mut bytes_left = MAX_BYTES.saturating_sub(last.size() + CHANGE_HEADER_BYTES);
            let mut part = Vec::new();
            // Key, version and length of a cell take up to 16 bytes.
            while let Some(cell) = cells.next_if(|c| c.value.len() + 16 <= bytes_left) {
                bytes_left -= cell.value.len() + 16;
                part.push(cell);
            }
            let is_last = cells.peek().is_none();
            if is_last && bytes_left < CHANGE_HEADER_BYTES && part.is_empty() || !is_last && part.is_empty() {
                // Nothing fits. Start a new datagram, unless this one is still empty.
                if last.changes.is_empty() && last.known.is_empty() {
                    return;
                }
                let next =
                    Message { known: Vec::new(), changes: Vec::new(), wants_answer: false, ..last.clone() };
                answers.push(next);
                continue;
            }
            let to_version = if is_last { known.version } else { part.last().map_or(from, |c| c.version) };
            // A part is not the current row, so it gives neither an age nor a checksum.
            let known = if is_last {
                known
            } else {
                RowVersion { version: to_version, age: None, checksum: None, ..known }
            };
            if let Some(last) = answers.last_mut() {
                last.changes.push(Change {
                    known,
                    after_version: from,
                    source_version: self.version,
                    cells: part,
                });
            }
            if is_last {
                return;
            }
            from = to_version;
        }
    }
}
