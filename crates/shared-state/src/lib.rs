//! What the fronts of a fleet share, as one of them sees it: [`budgets`] by parts that are lent for a span, [`counts`] of
//! plays as intervals, and [`server_health`] on media servers. No I/O: what is heard of other fronts comes in as [`PeerState`],
//! what this front says of itself goes out as bytes for its own row, and what the decisions are told is a plain [`ServerHint`].
//!
//! Nothing here is agreed on: each front reads all rows and works out for itself what to believe. Without a word from
//! others a front does what it does unaided, less what it lent.

pub mod budgets;
pub mod counts;
pub mod server_health;

use serde::Serialize;

/// What one other front says, as it was heard.
#[derive(Clone, Debug)]
pub struct PeerState<'a> {
    pub origin: u32,
    pub incarnation: u64,
    /// The zone that it is in, where it said so.
    pub zone: Option<usize>,
    /// ms that have passed at most since it said so.
    pub age: f64,
    pub loan_requests: Vec<&'a [u8]>,
    pub grants: Vec<&'a [u8]>,
    pub counts: Vec<&'a [u8]>,
    pub server_results: Vec<&'a [u8]>,
}

/// A media server as the list has it.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    pub id: u64,
    pub zone: usize,
    pub cell: usize,
    /// Its link, in any unit that all have.
    pub link: f64,
}

/// What the decisions are told of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHint {
    pub server: u64,
    /// Doubted on hearsay.
    pub doubted: bool,
    /// This front's part of the server's pace over its unaided part.
    pub pace: f64,
    /// Further allocations and probes go there no closer than this, ms; 0 for no bound.
    pub further_gap: f64,
    pub probe_gap: f64,
}

/// Splits a list over as few cells as hold it.
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

/// The items of all cells that read; what does not read is no word at all.
fn decode_cells<T: for<'de> serde::Deserialize<'de>>(cells: &[&[u8]]) -> Vec<T> {
    let decode = |cell: &&[u8]| postcard::from_bytes::<Vec<T>>(cell).ok();
    cells.iter().filter_map(decode).flatten().collect()
}
