//! The state that the fronts of a fleet share, as one front sees it: [`budgets`], of which parts are lent for a limited
//! time, [`counts`] of plays as intervals, and [`server_health`] of media servers. The module does no I/O. What was received
//! from other fronts comes in as [`PeerState`], what this front reports goes out as bytes for its own gossip row, and what
//! the placement policy needs is a plain [`ServerHint`]. Times are in ms.
//!
//! Fronts do not negotiate an agreed state: each reads all rows and draws its own conclusions. A front that hears nothing
//! from others does what it would do alone, less what it has lent.

pub mod budgets;
pub mod counts;
pub mod server_health;

use serde::Serialize;

/// What one other front reports, as last received. The lists hold the cells of its row.
#[derive(Clone, Debug)]
pub struct PeerState<'a> {
    /// Identifier of the front.
    pub origin: u32,
    /// Incarnation of its row.
    pub incarnation: u64,
    /// The front's zone, if it reported one.
    pub zone: Option<usize>,
    /// Upper bound on the time since the front reported this, ms.
    pub age: f64,
    /// Cells with its loan requests; see [`budgets`].
    pub loan_requests: Vec<&'a [u8]>,
    /// Cells with the loans that it has granted; see [`budgets`].
    pub grants: Vec<&'a [u8]>,
    /// Cells with its numbers of plays; see [`counts`].
    pub counts: Vec<&'a [u8]>,
    /// Cells with its results at servers; see [`server_health`].
    pub server_results: Vec<&'a [u8]>,
}

/// A media server as the server list gives it.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Identifier that is the same at all fronts.
    pub id: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its placement cell (not a cell of a gossip row): the holders of a title are the servers of consecutive
    /// placement cells. This package does not use it.
    pub placement_cell: usize,
    /// Capacity of its link, in any unit that is the same for all servers.
    pub link: f64,
}

/// What the placement policy is to know about a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHint {
    /// Identifier of the server.
    pub server: u64,
    /// Whether it is doubted because of reports of other fronts.
    pub doubted: bool,
    /// This front's part of the server's pace, relative to the part that it has without loans.
    pub pace_multiple: f64,
    /// Minimum gap between two further allocations, and between two probes, of this front to the server, ms; 0 for none.
    pub further_gap: f64,
    pub probe_gap: f64,
}

/// Encodes a list into as few cells of at most `max_bytes` as possible.
fn encode_cells<T: Serialize>(items: impl IntoIterator<Item = T>, max_bytes: usize) -> Vec<Vec<u8>> {
    let mut out = Vec::new();
    let (mut part, mut size) = (Vec::new(), 4);
    for item in items {
        let bytes = postcard::experimental::serialized_size(&item).unwrap_or(max_bytes);
        if size + bytes > max_bytes && !part.is_empty() {
            out.push(postcard::to_stdvec(&part).unwrap_or_default());
            (part, size) = (Vec::new(), 4);
        }
        size += bytes;
        part.push(item);
    }
    if !part.is_empty() {
        out.push(postcard::to_stdvec(&part).unwrap_or_default());
    }
    out
}

/// Decodes all cells. A cell that cannot be decoded is ignored.
fn decode_cells<T: for<'de> serde::Deserialize<'de>>(cells: &[&[u8]]) -> Vec<T> {
    let decode = |cell: &&[u8]| postcard::from_bytes::<Vec<T>>(cell).ok();
    cells.iter().filter_map(decode).flatten().collect()
}
