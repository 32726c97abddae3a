//! Small indices for what the host knows by ids of its own.

use std::collections::HashMap;
use std::hash::Hash;

/// Small indices for a host's ids, in order of first sight; one that is given back is the next new id's.
#[derive(Default)]
pub(crate) struct Indices<K> {
    pub(crate) by_id: HashMap<K, usize>,
    pub(crate) ids: Vec<K>,
    pub(crate) free: Vec<usize>,
}

impl<K: Copy + Eq + Hash> Indices<K> {
    pub(crate) fn of(&mut self, id: K) -> usize {
        *self.by_id.entry(id).or_insert_with(|| {
            let index = self.free.pop().unwrap_or(self.ids.len());
            if index == self.ids.len() {
                self.ids.push(id);
            }
            self.ids[index] = id;
            index
        })
    }

    pub(crate) fn give_back(&mut self, index: usize) {
        self.by_id.remove(&self.ids[index]);
        self.free.push(index);
    }
}

/// Indices for titles with plays in hand; one that has none any more gives its index back.
#[derive(Default)]
pub(crate) struct Titles {
    pub(crate) indices: Indices<u64>,
    /// For each index: how many plays of the title are in hand.
    pub(crate) held: Vec<usize>,
}

impl Titles {
    pub(crate) fn take(&mut self, id: u64) -> usize {
        let index = self.indices.of(id);
        self.held.resize(self.indices.ids.len(), 0);
        self.held[index] += 1;
        index
    }

    pub(crate) fn give_back(&mut self, index: usize) {
        self.held[index] -= 1;
        if self.held[index] == 0 {
            self.indices.give_back(index);
        }
    }
}
