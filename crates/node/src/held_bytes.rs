//! Bytes that are held for many plays at a time, and their sum.

use std::cell::Cell;
use std::rc::Rc;

/// The sum of the lengths of all [`HeldBytes`] that were made from it and still exist.
#[derive(Clone, Default)]
pub(crate) struct HeldTotal(Rc<Cell<usize>>);

impl HeldTotal {
    /// How many bytes are held.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Holds these bytes.
    pub(crate) fn hold(&self, bytes: Vec<u8>) -> HeldBytes {
        self.0.set(self.0.get() + bytes.len());
        HeldBytes { bytes, total: self.clone() }
    }
}

/// Bytes that count towards a [`HeldTotal`] until they are dropped.
#[derive(Default)]
pub(crate) struct HeldBytes {
    bytes: Vec<u8>,
    total: HeldTotal,
}

impl HeldBytes {
    /// The bytes.
    pub(crate) fn as_slice(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.0.set(self.total.0.get() - self.bytes.len());
    }
}
