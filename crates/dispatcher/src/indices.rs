//! Dense indices for servers and titles, which the host knows by its own ids.

use std::collections::HashMap;
use std::hash::Hash;

/// Dense indices for a host's ids, assigned in order of first use. The index released last is assigned to the next new id.
#[derive(Default)]
pub(crate) struct Indices<K> {
    /// The index of each id that has one.
    pub(crate) by_id: HashMap<K, usize>,
    /// The id for each index; out of date at free indices.
    pub(crate) ids: Vec<K>,
    /// Released indices, to be assigned again.
    pub(crate) free_indices: Vec<usize>,
}

impl<K: Copy + Eq + Hash> Indices<K> {
    /// The index of this id, assigned now if it has none.
    pub(crate) fn get_or_assign(&mut self, id: K) -> usize {
        *self.by_id.entry(id).or_insert_with(|| {
            let index = self.free_indices.pop().unwrap_or(self.ids.len());
            if index == self.ids.len() {
                self.ids.push(id);
            }
            self.ids[index] = id;
            index
        })
    }

    /// Releases an index for the next new id.
    pub(crate) fn release(&mut self, index: usize) {
        self.by_id.remove(&self.ids[index]);
        self.free_indices.push(index);
    }
}

/// Indices for titles with open plays; the index of a title without any is released.
#[derive(Default)]
pub(crate) struct Titles {
    pub(crate) indices: Indices<u64>,
    /// Number of open plays of the title, for each index.
    pub(crate) play_counts: Vec<usize>,
}

impl Titles {
    /// Counts a new play of this title and returns the title's index.
    pub(crate) fn add_play(&mut self, id: u64) -> usize {
        let index = self.indices.get_or_assign(id);
        self.play_counts.resize(self.indices.ids.len(), 0);
        self.play_counts[index] += 1;
        index
    }

    /// Takes a closed play off the count of the title with this index, and releases the index with the last one.
    pub(crate) fn remove_play(&mut self, index: usize) {
        self.play_counts[index] -= 1;
        if self.play_counts[index] == 0 {
            self.indices.release(index);
        }
    }
}
