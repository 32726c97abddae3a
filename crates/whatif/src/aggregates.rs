//! Sums that say all that the estimates need, add up over fronts, and go round in cells.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Policy {
    AsDrawn,
    /// Always the roomiest.
    Roomiest,
    /// Each alike.
    Uniform,
    /// As drawn, among those of the front's own zone.
    OwnZone,
    /// By room, without the half that the roomiest gets outright.
    Weighted,
}

pub const POLICIES: [Policy; 5] =
    [Policy::AsDrawn, Policy::Roomiest, Policy::Uniform, Policy::OwnZone, Policy::Weighted];

/// A bucket of time, a class of titles and, where there is room for it, the title by its checksum (0 for the rest).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StratumKey {
    pub bucket: u64,
    pub product: u16,
    pub title: u32,
}

/// Weighted sums of times, from which a mean and its error come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedSum {
    pub w: f64,
    pub w2: f64,
    pub wy: f64,
    pub w2y: f64,
    pub w2yy: f64,
}

impl WeightedSum {
    fn record(&mut self, y: f64, w: f64) {
        self.w += w;
        self.w2 += w * w;
        self.wy += w * y;
        self.w2y += w * w * y;
        self.w2yy += w * w * y * y;
    }

    fn add(&mut self, other: &WeightedSum) {
        self.w += other.w;
        self.w2 += other.w2;
        self.wy += other.wy;
        self.w2y += other.w2y;
        self.w2yy += other.w2yy;
    }

    /// The mean, weights normalised by their sum, and its standard error.
    pub fn mean(&self) -> Option<(f64, f64)> {
        if self.w <= 0.0 {
            return None;
        }
        let mean = self.wy / self.w;
        let residuals = self.w2yy - 2.0 * mean * self.w2y + mean * mean * self.w2;
        Some((mean, residuals.max(0.0).sqrt() / self.w))
    }

    /// As many evenly weighted ones would say as much.
    pub fn effective_count(&self) -> f64 {
        if self.w2 > 0.0 { self.w * self.w / self.w2 } else { 0.0 }
    }

    fn is_plausible(&self) -> bool {
        let all = [self.w, self.w2, self.wy, self.w2y, self.w2yy];
        all.iter().all(|x| x.is_finite() && *x >= 0.0)
    }
}

/// Plain sums of one figure a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainSum {
    pub sum: f64,
    pub squares: f64,
}

impl PlainSum {
    fn record(&mut self, y: f64) {
        self.sum += y;
        self.squares += y * y;
    }

    fn add(&mut self, other: &PlainSum) {
        self.sum += other.sum;
        self.squares += other.squares;
    }

    pub fn mean(&self, n: f64) -> Option<(f64, f64)> {
        if n < 2.0 {
            return None;
        }
        let mean = self.sum / n;
        let variance = ((self.squares - n * mean * mean) / (n - 1.0)).max(0.0);
        Some((mean, (variance / n).sqrt()))
    }

    fn is_plausible(&self) -> bool {
        self.sum.is_finite() && self.squares.is_finite() && self.squares >= 0.0
    }
}

/// One policy's sums: by inverse chances, direct, doubly robust, and the last less what was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySums {
    pub inverse: WeightedSum,
    pub direct: PlainSum,
    pub robust: PlainSum,
    pub gain: PlainSum,
}

impl PolicySums {
    pub(crate) fn record(&mut self, set_up_ms: f64, weight: f64, direct: f64, robust: f64) {
        self.inverse.record(set_up_ms, weight);
        self.direct.record(direct);
        self.robust.record(robust);
        self.gain.record(robust - set_up_ms);
    }

    fn add(&mut self, other: &PolicySums) {
        self.inverse.add(&other.inverse);
        self.direct.add(&other.direct);
        self.robust.add(&other.robust);
        self.gain.add(&other.gain);
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stratum {
    pub set_ups: u32,
    pub given_up: u32,
    pub set_up_times: PlainSum,
    pub policies: [PolicySums; 5],
}

impl Stratum {
    pub(crate) fn record(&mut self, set_up_ms: f64, given_up: bool) {
        self.set_ups += 1;
        self.given_up += u32::from(given_up);
        self.set_up_times.record(set_up_ms);
    }

    pub(crate) fn add(&mut self, other: &Stratum) {
        self.set_ups = self.set_ups.saturating_add(other.set_ups);
        self.given_up = self.given_up.saturating_add(other.given_up);
        self.set_up_times.add(&other.set_up_times);
        for (mine, theirs) in self.policies.iter_mut().zip(&other.policies) {
            mine.add(theirs);
        }
    }

    /// Sums that can't be are none.
    fn is_plausible(&self) -> bool {
        let policy_is_plausible = |p: &PolicySums| {
            p.inverse.is_plausible()
                && p.direct.is_plausible()
                && p.robust.is_plausible()
                && p.gain.is_plausible()
        };
        self.given_up <= self.set_ups
            && self.set_up_times.is_plausible()
            && self.policies.iter().all(policy_is_plausible)
    }
}

/// One server's set-ups, weighed by inverse chances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerSums {
    pub set_ups: u32,
    pub given_up: u32,
    pub times: WeightedSum,
}

impl ServerSums {
    pub(crate) fn record(&mut self, set_up_ms: f64, weight: f64, given_up: bool) {
        self.set_ups += 1;
        self.given_up += u32::from(given_up);
        self.times.record(set_up_ms, weight);
    }

    pub(crate) fn add(&mut self, other: &ServerSums) {
        self.set_ups = self.set_ups.saturating_add(other.set_ups);
        self.given_up = self.given_up.saturating_add(other.given_up);
        self.times.add(&other.times);
    }
}

/// A cell holds one stratum, or some servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Cell {
    Stratum(StratumKey, Box<Stratum>),
    Servers(Vec<(u64, u64, ServerSums)>),
}

/// Servers in a cell: a row of one is up to 65 bytes.
const SERVERS_PER_CELL: usize = 14;

pub(crate) fn encode_cells(
    strata: &BTreeMap<StratumKey, Stratum>,
    servers: &BTreeMap<(u64, u64), ServerSums>,
) -> Vec<Vec<u8>> {
    let servers: Vec<(u64, u64, ServerSums)> = servers.iter().map(|(id, s)| (id.0, id.1, *s)).collect();
    let strata = strata.iter().map(|(key, stratum)| Cell::Stratum(*key, Box::new(*stratum)));
    let servers = servers.chunks(SERVERS_PER_CELL).map(|part| Cell::Servers(part.to_vec()));
    strata.chain(servers).filter_map(|cell| postcard::to_stdvec(&cell).ok()).collect()
}

/// The sums of one front or of several, each front's added once.
#[derive(Clone, Debug, Default)]
pub struct Aggregates {
    pub strata: BTreeMap<StratumKey, Stratum>,
    pub servers: BTreeMap<(u64, u64), ServerSums>,
}

impl Aggregates {
    /// Adds one front's cells; those that don't read, or can't be, are left out, with their count.
    pub fn add<'a>(&mut self, cells: impl IntoIterator<Item = &'a [u8]>) -> usize {
        let mut rejected = 0;
        for cell in cells {
            match postcard::from_bytes(cell) {
                Ok(Cell::Stratum(key, stratum)) if stratum.is_plausible() => {
                    self.strata.entry(key).or_default().add(&stratum)
                }
                Ok(Cell::Servers(servers)) if servers.iter().all(|s| s.2.times.is_plausible()) => {
                    servers.iter().for_each(|s| self.servers.entry((s.0, s.1)).or_default().add(&s.2));
                }
                _ => rejected += 1,
            }
        }
        rejected
    }

    /// All strata of a class, or of all, in one.
    pub fn total(&self, include: impl Fn(&StratumKey) -> bool) -> Stratum {
        let mut total = Stratum::default();
        self.strata.iter().filter(|(key, _)| include(key)).for_each(|(_, stratum)| total.add(stratum));
        total
    }
}
