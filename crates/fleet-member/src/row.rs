//! Where in a front's row what stands: the one place that gives keys to cells.

use crate::{FleetMember, SELDOM};
use pulleystair_gossip::{FrontView, Gossip};
use pulleystair_shared_state::PeerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Range;

const HELLO: u16 = 0;
pub(crate) const ACTIVE: u16 = 1;
const WISHES: Range<u16> = 0x100..0x200;
const GRANTS: Range<u16> = 0x200..0x400;
const COUNTS: Range<u16> = 0x400..0x600;
const JUDGEMENTS: Range<u16> = 0x600..0x800;
pub(crate) const SUMS: Range<u16> = 0x800..0xC00;

#[derive(Serialize, Deserialize)]
struct Hello {
    zone: String,
}

/// Writes a list of cells under its keys; those that the list no longer has are emptied.
fn put(gossip: &mut Gossip, written: &mut BTreeMap<u16, usize>, keys: Range<u16>, cells: Vec<Vec<u8>>) {
    let most = keys.len();
    let before = written.insert(keys.start, cells.len().min(most)).unwrap_or(0);
    let count = cells.len();
    for (key, cell) in keys.clone().zip(cells) {
        gossip.put(key, cell);
    }
    for key in keys.skip(count).take(before.saturating_sub(count)) {
        gossip.put(key, Vec::new());
    }
}

impl FleetMember {
    pub(crate) fn hello(&mut self) {
        let zone = self.terms.zones.get(self.terms.zone).cloned().unwrap_or_default();
        self.gossip.put(HELLO, postcard::to_stdvec(&Hello { zone }).unwrap_or_default());
    }

    /// Writes this front's own row.
    pub(crate) fn write(&mut self, now: f64, wall: f64) {
        let (wishes, grants) = self.budgets.cells();
        let (counts, judgements) = (self.counts.cells(), self.judgements.cells(now));
        let (gossip, written) = (&mut self.gossip, &mut self.written);
        put(gossip, written, WISHES, wishes);
        put(gossip, written, GRANTS, grants);
        put(gossip, written, COUNTS, counts);
        put(gossip, written, JUDGEMENTS, judgements);
        // Estimates are the largest part of a row, and the least urgent: in a large fleet they go round more seldom.
        let sums = SELDOM * (self.fronts as u64).div_ceil(10);
        if self.looks % sums == 1 {
            put(gossip, written, SUMS, self.outcomes.cells());
        }
        if self.looks % SELDOM == 1 {
            let active = self.own_active(wall).encode();
            self.gossip.put(ACTIVE, active);
        }
    }
}

/// What a row says to budgets, counts and judgements.
pub(crate) fn heard<'a>(row: &FrontView<'a>, zones: &[String]) -> PeerState<'a> {
    let hello: Option<Hello> = row.cell(HELLO).and_then(|cell| postcard::from_bytes(cell).ok());
    let cells = |keys: Range<u16>| row.cells(keys).map(|(_, cell)| cell).collect::<Vec<&[u8]>>();
    PeerState {
        origin: row.origin,
        incarnation: row.incarnation,
        zone: hello.and_then(|it| zones.iter().position(|z| *z == it.zone)),
        age: row.age,
        loan_requests: cells(WISHES),
        grants: cells(GRANTS),
        counts: cells(COUNTS),
        server_results: cells(JUDGEMENTS),
    }
}
