//! The exchange of state between fronts: its configuration and the checks of it. Times are ms.

use super::Config;
use pulleystair_dash::address;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A front and the address at which the other fronts reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontAddress {
    /// Name of the front, unique among the fronts.
    pub name: String,
    /// Its UDP address.
    pub at: SocketAddr,
}

/// How fronts exchange what they know.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sharing {
    /// Interval between gossip rounds.
    pub every_ms: f64,
    /// How many other fronts are contacted in each round.
    pub fan_out: usize,
    /// Maximum rate at which this front sends to the others, bytes/s.
    pub bytes_s: f64,
    /// A front that was not heard from for longer than this is *doubted*. This affects no decision; it is the lower
    /// bound of `unheard_ms`.
    pub doubted_ms: f64,
    /// A front that was not heard from for longer than this is *unheard*: no verdict on its configuration is possible,
    /// and estimates leave out its results.
    pub unheard_ms: f64,
    /// How long a lease on part of a cold server's pace lasts.
    pub lend_ms: f64,
    /// Further allocations (after a play's first) of all fronts together to one server, per second; 0 for no shared
    /// bound.
    pub further_s: f64,
    /// Probes of all fronts together to one server, per second; 0 for no shared bound.
    pub probes_s: f64,
    /// Append-only file of the approved versions, polled like the keys.
    pub approved: Option<PathBuf>,
    /// An alarm on a front is raised once the verdict on it has been a wrong or unknown one for this long.
    pub hold_ms: f64,
    /// Whether this front, while the verdict on it is behind, ahead, adrift or torn, applies the stricter of the
    /// approved and its own value of a rule.
    pub stricter: bool,
    /// Length of the buckets that estimates are made over: the current bucket and the one before.
    pub bucket_ms: f64,
    /// Address at which `pulleystair-edge drift` queries this front; must be a loopback address.
    pub ask: Option<SocketAddr>,
}

impl Default for Sharing {
    fn default() -> Sharing {
        Sharing {
            every_ms: 200.0,
            fan_out: 2,
            bytes_s: 64_000.0,
            doubted_ms: 2_000.0,
            unheard_ms: 6_000.0,
            lend_ms: 3_000.0,
            further_s: 0.0,
            probes_s: 0.0,
            approved: None,
            hold_ms: 3_000.0,
            stricter: false,
            bucket_ms: 60_000.0,
            ask: None,
        }
    }
}

/// An invalid value: its path in the file, what was found, what is allowed.
type InvalidValue = (String, String, &'static str);

impl Config {
    /// This front's name in the list of fronts; none if it does not exchange state with others.
    pub fn own_name(&self) -> Option<&str> {
        self.fleet.peers.get(self.rank).map(|peer| peer.name.as_str())
    }

    /// Checks the values of `fleet` and `sharing` that concern the exchange between fronts.
    pub(super) fn check_sharing(&self) -> Result<(), InvalidValue> {
        let (fleet, sharing) = (&self.fleet, &self.sharing);
        let given = [fleet.name.is_some(), fleet.listen.is_some(), !fleet.peers.is_empty()];
        if given.contains(&true) && given.contains(&false) {
            let found = "some of the three without the others".to_string();
            return Err(("fleet.name, listen, peers".into(), found, "all three, or none of them"));
        }
        if let Some(name) = fleet.name.as_ref().filter(|name| !address::is_valid_name(name)) {
            return Err(("fleet.name".into(), format!("{name:?}"), "1 to 64 letters, digits, - _ ."));
        }
        if !fleet.peers.is_empty() && fleet.peers.len() != self.fronts {
            let found = format!("{} of them", fleet.peers.len());
            return Err(("fleet.peers".into(), found, "one for each front, by rank, this one among them"));
        }
        for (i, peer) in fleet.peers.iter().enumerate() {
            let path = |part: &str| format!("fleet.peers[{i}].{part}");
            if !address::is_valid_name(&peer.name) || fleet.peers[..i].iter().any(|p| p.name == peer.name) {
                let allowed = "1 to 64 letters, digits, - _ . that no other front has";
                return Err((path("name"), format!("{:?}", peer.name), allowed));
            }
            if peer.at.port() == 0 || fleet.peers[..i].iter().any(|p| p.at == peer.at) {
                return Err((path("at"), peer.at.to_string(), "an address that no other front has"));
            }
        }
        let bounds = [
            ("every_ms", sharing.every_ms, 10.0, 60_000.0),
            ("fan_out", sharing.fan_out as f64, 1.0, 100.0),
            ("bytes_s", sharing.bytes_s, 2_400.0, 1e9),
            ("doubted_ms", sharing.doubted_ms, sharing.every_ms, 3.6e6),
            ("unheard_ms", sharing.unheard_ms, sharing.doubted_ms, 3.6e6),
            ("lend_ms", sharing.lend_ms, 2.0 * sharing.every_ms, 600_000.0),
            ("further_s", sharing.further_s, 0.0, 1e9),
            ("probes_s", sharing.probes_s, 0.0, 1e9),
            ("hold_ms", sharing.hold_ms, 0.0, 3.6e6),
            ("bucket_ms", sharing.bucket_ms, 100.0, 8.64e7),
        ];
        for (name, value, min, max) in bounds {
            if !(value.is_finite() && (min..=max).contains(&value)) {
                let allowed = "a number within the bounds of this setting (docs/operate-fleet.md)";
                return Err((format!("sharing.{name}"), value.to_string(), allowed));
            }
        }
        if let Some(ask) = sharing.ask.filter(|ask| !ask.ip().is_loopback()) {
            return Err(("sharing.ask".into(), ask.to_string(), "a loopback address"));
        }
        Ok(())
    }
}
