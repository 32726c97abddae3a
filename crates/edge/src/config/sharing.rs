//! How fronts share what they know.

use super::Config;
use pulleystair_dash::address;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A front as the others reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    pub name: String,
    pub at: SocketAddr,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sharing {
    /// How often others are asked, and how many each time.
    pub every_ms: f64,
    pub fan_out: usize,
    /// What this front sends to others, at most, bytes a second.
    pub bytes_s: f64,
    /// Not heard for so long, a front is doubted; for so long, unheard.
    pub doubted_ms: f64,
    pub unheard_ms: f64,
    /// Parts of a cold server's pace are lent for so long.
    pub lend_ms: f64,
    /// Further allocations and probes of all fronts to one server, a second; 0 for no bound but each front's own.
    pub further_s: f64,
    pub probes_s: f64,
    /// The approved versions, an append-only file, looked at like the keys.
    pub approved: Option<PathBuf>,
    /// A verdict is an alarm once it has stood so long.
    pub hold_ms: f64,
    /// While adrift in a rule, go by the stricter of both figures.
    pub stricter: bool,
    /// Estimates are made over buckets of so long, the present one and the one before.
    pub bucket_ms: f64,
    /// Where `pulleystair-edge drift` asks this front, on this machine alone.
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

type Wrong = (String, String, &'static str);

impl Config {
    /// This front's name among its peers, where it shares.
    pub fn own_name(&self) -> Option<&str> {
        self.fleet.peers.get(self.rank).map(|peer| peer.name.as_str())
    }

    pub(super) fn check_sharing(&self) -> Result<(), Wrong> {
        let (fleet, it) = (&self.fleet, &self.sharing);
        let told = [fleet.name.is_some(), fleet.listen.is_some(), !fleet.peers.is_empty()];
        if told.contains(&true) && told.contains(&false) {
            let found = "one without the others".to_string();
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
            ("every_ms", it.every_ms, 10.0, 60_000.0),
            ("fan_out", it.fan_out as f64, 1.0, 100.0),
            ("bytes_s", it.bytes_s, 2_400.0, 1e9),
            ("doubted_ms", it.doubted_ms, it.every_ms, 3.6e6),
            ("unheard_ms", it.unheard_ms, it.doubted_ms, 3.6e6),
            ("lend_ms", it.lend_ms, 2.0 * it.every_ms, 600_000.0),
            ("further_s", it.further_s, 0.0, 1e9),
            ("probes_s", it.probes_s, 0.0, 1e9),
            ("hold_ms", it.hold_ms, 0.0, 3.6e6),
            ("bucket_ms", it.bucket_ms, 100.0, 8.64e7),
        ];
        for (name, x, least, most) in bounds {
            if !(x.is_finite() && (least..=most).contains(&x)) {
                let allowed = "a number in its bounds (docs/operate-fleet.md)";
                return Err((format!("sharing.{name}"), x.to_string(), allowed));
            }
        }
        if let Some(ask) = it.ask.filter(|ask| !ask.ip().is_loopback()) {
            return Err(("sharing.ask".into(), ask.to_string(), "an address of this machine alone"));
        }
        Ok(())
    }
}
