//! Sums from which the estimates are computed. They can be added up over fronts, and are sent between fronts in cells.
//! Times are in ms.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A way to choose among the holders that could have been drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Policy {
    /// By the chances of the actual draw.
    AsDrawn,
    /// Always the holder with the most room.
    Roomiest,
    /// All holders with the same chance.
    Uniform,
    /// As drawn, among the holders in the front's own zone.
    OwnZone,
    /// In proportion to room only. (The actual draw gives half of the chance to the holder with the most room, and the rest
    /// in proportion.)
    Weighted,
}

/// All policies, in the order of [`Stratum::policies`].
pub const POLICIES: [Policy; 5] =
    [Policy::AsDrawn, Policy::Roomiest, Policy::Uniform, Policy::OwnZone, Policy::Weighted];

/// A bucket of time, a product and, while there is room for it, the checksum of the title (0 for all other titles).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StratumKey {
    /// Number of the bucket of time.
    pub bucket: u64,
    /// Index of the product.
    pub product: u16,
    /// Checksum of the title, or 0.
    pub title: u32,
}

/// Weighted sums of values y with weights w, from which a mean and its error are computed: the sums of w, w², wy, w²y and
/// w²y².
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WeightedSum {
    pub w: f64,
    pub w2: f64,
    pub wy: f64,
    pub w2y: f64,
    pub w2yy: f64,
}

impl WeightedSum {
    /// Adds one value with its weight.
    fn record(&mut self, y: f64, w: f64) {
        self.w += w;
        self.w2 += w * w;
        self.wy += w * y;
        self.w2y += w * w * y;
        self.w2yy += w * w * y * y;
    }

    /// Adds other sums.
    fn add(&mut self, other: &WeightedSum) {
        self.w += other.w;
        self.w2 += other.w2;
        self.wy += other.wy;
        self.w2y += other.w2y;
        self.w2yy += other.w2yy;
    }

    /// The mean, with weights normalised by their sum, and its standard error.
    pub fn mean(&self) -> Option<(f64, f64)> {
        if self.w <= 0.0 {
            return None;
        }
        let mean = self.wy / self.w;
        let residuals = self.w2yy - 2.0 * mean * self.w2y + mean * mean * self.w2;
        Some((mean, residuals.max(0.0).sqrt() / self.w))
    }

    /// Effective sample size: the number of evenly weighted values with the same variance of the mean.
    pub fn effective_count(&self) -> f64 {
        if self.w2 > 0.0 { self.w * self.w / self.w2 } else { 0.0 }
    }

    /// Whether all sums are finite and not negative.
    fn is_plausible(&self) -> bool {
        let all = [self.w, self.w2, self.wy, self.w2y, self.w2yy];
        all.iter().all(|x| x.is_finite() && *x >= 0.0)
    }
}

/// Unweighted sums of one value per play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainSum {
    /// Sum of the values.
    pub sum: f64,
    /// Sum of their squares.
    pub squares: f64,
}

impl PlainSum {
    /// Adds one value.
    fn record(&mut self, y: f64) {
        self.sum += y;
        self.squares += y * y;
    }

    /// Adds other sums.
    fn add(&mut self, other: &PlainSum) {
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// The mean of `n` values and its standard error; `None` for fewer than two.
    pub fn mean(&self, n: f64) -> Option<(f64, f64)> {
        if n < 2.0 {
            return None;
        }
        let mean = self.sum / n;
        let variance = ((self.squares - n * mean * mean) / (n - 1.0)).max(0.0);
        Some((mean, (variance / n).sqrt()))
    }

    /// Whether the sums are possible.
    fn is_plausible(&self) -> bool {
        self.sum.is_finite() && self.squares.is_finite() && self.squares >= 0.0
    }
}

/// Sums for one policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicySums {
    /// Set-up times by inverse propensity weights.
    pub inverse: WeightedSum,
    /// Expected times by the model of the servers alone.
    pub direct: PlainSum,
    /// Doubly robust values: `direct`, corrected by the weighted error of the model.
    pub robust: PlainSum,
    /// The doubly robust value less the actual set-up time.
    pub gain: PlainSum,
}

impl PolicySums {
    /// Adds one set-up: its time and inverse propensity weight, and its direct and doubly robust values.
    pub(crate) fn record(&mut self, set_up_ms: f64, weight: f64, direct: f64, robust: f64) {
        self.inverse.record(set_up_ms, weight);
        self.direct.record(direct);
        self.robust.record(robust);
        self.gain.record(robust - set_up_ms);
    }

    /// Adds other sums.
    fn add(&mut self, other: &PolicySums) {
        self.inverse.add(&other.inverse);
        self.direct.add(&other.direct);
        self.robust.add(&other.robust);
        self.gain.add(&other.gain);
    }
}

/// Sums over the set-ups of one stratum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stratum {
    /// Number of set-ups.
    pub set_ups: u32,
    /// How many of them were given up.
    pub given_up: u32,
    /// Set-up times, with the expected ones of those given up.
    pub set_up_times: PlainSum,
    /// Sums by policy, in the order of [`POLICIES`].
    pub policies: [PolicySums; 5],
}

impl Stratum {
    /// Adds one set-up, without the sums by policy.
    pub(crate) fn record(&mut self, set_up_ms: f64, given_up: bool) {
        self.set_ups += 1;
        self.given_up += u32::from(given_up);
        self.set_up_times.record(set_up_ms);
    }

    /// Adds another stratum's sums, including those by policy.
    pub(crate) fn add(&mut self, other: &Stratum) {
        self.set_ups = self.set_ups.saturating_add(other.set_ups);
        self.given_up = self.given_up.saturating_add(other.given_up);
        self.set_up_times.add(&other.set_up_times);
        for (mine, theirs) in self.policies.iter_mut().zip(&other.policies) {
            mine.add(theirs);
        }
    }

    /// Whether the sums are possible; others are ignored.
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

/// Sums over one server's set-ups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerSums {
    /// Number of set-ups.
    pub set_ups: u32,
    /// How many of them were given up.
    pub given_up: u32,
    /// Their times by inverse propensity weights.
    pub times: WeightedSum,
}

impl ServerSums {
    /// Adds one set-up with its inverse propensity weight.
    pub(crate) fn record(&mut self, set_up_ms: f64, weight: f64, given_up: bool) {
        self.set_ups += 1;
        self.given_up += u32::from(given_up);
        self.times.record(set_up_ms, weight);
    }

    /// Adds other sums.
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

/// Servers in a cell; the entry of one takes up to 65 bytes.
const SERVERS_PER_CELL: usize = 14;

/// Encodes one front's sums as cells.
pub(crate) fn encode_cells(
    strata: &BTreeMap<StratumKey, Stratum>,
    servers: &BTreeMap<(u64, u64), ServerSums>,
) -> Vec<Vec<u8>> {
    let servers: Vec<(u64, u64, ServerSums)> = servers.iter().map(|(id, s)| (id.0, id.1, *s)).collect();
    let strata = strata.iter().map(|(key, stratum)| Cell::Stratum(*key, Box::new(*stratum)));
    let servers = servers.chunks(SERVERS_PER_CELL).map(|part| Cell::Servers(part.to_vec()));
    strata.chain(servers).filter_map(|cell| postcard::to_stdvec(&cell).ok()).collect()
}

/// The sums of one front or of several. Each front's may be added only once.
#[derive(Clone, Debug, Default)]
pub struct Aggregates {
    /// By bucket of time, product and title.
    pub strata: BTreeMap<StratumKey, Stratum>,
    /// By server and the start of its process.
    pub servers: BTreeMap<(u64, u64), ServerSums>,
}

impl Aggregates {
    /// Adds one front's cells. Cells that cannot be decoded, or hold impossible sums, are skipped; their number is returned.
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

    /// The sum of all strata that `include` accepts.
    pub fn total(&self, include: impl Fn(&StratumKey) -> bool) -> Stratum {
        let mut total = Stratum::default();
        self.strata.iter().filter(|(key, _)| include(key)).for_each(|(_, stratum)| total.add(stratum));
        total
    }
}
