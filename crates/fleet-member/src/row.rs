//! Layout of a front's row: assigns the keys to cells. Writes this front's row, and reads the others' rows.

use crate::{FleetMember, SLOW_TICKS};
use pulleystair_gossip::{FrontView, Gossip};
use pulleystair_shared_state::PeerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Range;

/// Key of the cell with the front's zone.
const ZONE: u16 = 0;
/// Key of the cell with the front's configuration report.
pub(crate) const CONFIG_REPORT: u16 = 1;
/// Keys of the cells with lists; see [`PeerState`].
const LOAN_REQUESTS: Range<u16> = 0x100..0x200;
const GRANTS: Range<u16> = 0x200..0x400;
const COUNTS: Range<u16> = 0x400..0x600;
const SERVER_RESULTS: Range<u16> = 0x600..0x800;
/// Keys of the cells with the sums for estimates.
pub(crate) const AGGREGATES: Range<u16> = 0x800..0xC00;

/// The cell with the name of the front's zone.
#[derive(Serialize, Deserialize)]
struct ZoneCell {
    zone: String,
}

/// Writes a list of cells under its keys. Cells beyond the range of keys are dropped, and cells of a previous, longer list
/// are emptied.
fn write_cells(
    gossip: &mut Gossip,
    cells_written: &mut BTreeMap<u16, usize>,
    keys: Range<u16>,
    cells: Vec<Vec<u8>>,
) {
    let max_cells = keys.len();
    let old_count = cells_written.insert(keys.start, cells.len().min(max_cells)).unwrap_or(0);
    let new_count = cells.len();
    for (key, cell) in keys.clone().zip(cells) {
        gossip.set_cell(key, cell);
    }
    for key in keys.skip(new_count).take(old_count.saturating_sub(new_count)) {
        gossip.set_cell(key, Vec::new());
    }
}

impl FleetMember {
    /// Writes the cell with this front's zone.
    pub(crate) fn write_zone(&mut self) {
        let zone = self.config.zones.get(self.config.zone).cloned().unwrap_or_default();
        self.gossip.set_cell(ZONE, postcard::to_stdvec(&ZoneCell { zone }).unwrap_or_default());
    }

    /// Writes all other cells of this front's row.
    pub(crate) fn write_row(&mut self, now: f64, wall_clock: f64) {
        let (loan_requests, grants) = self.budgets.cells();
        let (counts, server_results) = (self.counts.cells(), self.server_health.cells(now));
        let (gossip, cells_written) = (&mut self.gossip, &mut self.cells_written);
        write_cells(gossip, cells_written, LOAN_REQUESTS, loan_requests);
        write_cells(gossip, cells_written, GRANTS, grants);
        write_cells(gossip, cells_written, COUNTS, counts);
        write_cells(gossip, cells_written, SERVER_RESULTS, server_results);
        // The sums for estimates are the largest and least urgent part of a row. The larger the fleet, the less often they
        // are sent.
        let aggregate_ticks = SLOW_TICKS * (self.front_count as u64).div_ceil(10);
        if self.ticks % aggregate_ticks == 1 {
            write_cells(gossip, cells_written, AGGREGATES, self.outcomes.cells());
        }
        if self.ticks % SLOW_TICKS == 1 {
            let config_report = self.own_config_report(wall_clock).encode();
            self.gossip.set_cell(CONFIG_REPORT, config_report);
        }
    }
}

/// The part of a row that budgets, play counts and the health of servers need.
pub(crate) fn peer_state<'a>(row: &FrontView<'a>, zones: &[String]) -> PeerState<'a> {
    let zone_cell: Option<ZoneCell> = row.cell(ZONE).and_then(|cell| postcard::from_bytes(cell).ok());
    let cells = |keys: Range<u16>| row.cells(keys).map(|(_, cell)| cell).collect::<Vec<&[u8]>>();
    PeerState {
        origin: row.origin,
        incarnation: row.incarnation,
        zone: zone_cell.and_then(|cell| zones.iter().position(|z| *z == cell.zone)),
        age: row.age,
        loan_requests: cells(LOAN_REQUESTS),
        grants: cells(GRANTS),
        counts: cells(COUNTS),
        server_results: cells(SERVER_RESULTS),
    }
}
