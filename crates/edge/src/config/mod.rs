//! The rundown: all that a front is given at start, as a Jsonnet file. Read and checked here, shown by
//! `pulleystair-edge show`, and turned into the decisions' call sheet at one place, [`Config::policy_settings`].
//! Times are ms, rates kB a second, sizes bytes.

mod check;
mod keys;
mod limits;
mod settings;
mod sharing;

pub use keys::{KeyFile, Keys, homes};
pub use limits::{Admission, Limits, Reads};
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use serde::{Deserialize, Serialize};
pub use sharing::{Peer, Sharing};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where players come; port 0 takes any, and the first line of the log tells which.
    pub listen: SocketAddr,
    /// The zone that this front is in, one of `zones`.
    pub zone: String,
    pub zones: Vec<String>,
    /// How many fronts there are, and this one's place among them from 0.
    pub fronts: usize,
    pub rank: usize,
    /// Start of the decisions' chance; left out, it is drawn from the clock.
    pub seed: Option<u64>,
    /// The list of servers and titles, from this file's folder.
    pub list: PathBuf,
    pub products: Vec<Product>,
    pub ladder: Vec<Rung>,
    pub fleet: Fleet,
    /// How fronts share, where the fleet names its peers.
    #[serde(default)]
    pub sharing: Sharing,
    pub rules: Rules,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub reads: Reads,
    #[serde(default)]
    pub admission: Admission,
    /// A file that tells where players reach each front, by rank, as a list of `HOST:PORT`; looked at like the keys.
    /// With it a session of a product that may not be set up twice is taken by its home alone.
    pub homes: Option<PathBuf>,
    /// Keys of the portal's entry tokens, and of this fleet's session tokens; the first one signs.
    #[serde(default)]
    pub entry_keys: Vec<KeyFile>,
    #[serde(default)]
    pub pass_keys: Vec<KeyFile>,
    /// A file with those keys in place of the above, looked at again and again and read when replaced.
    pub keys: Option<PathBuf>,
    #[serde(default)]
    pub tls: Tls,
}

/// Folders of certificates, looked at like the keys; a side that is left out is not sealed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// `chain.pem`, `key.pem`, `authority.pem`, and `viewers.pem` where players must show a certificate.
    pub players: Option<PathBuf>,
    /// `authority.pem`, and `chain.pem` with `key.pem` where media servers ask for one.
    pub servers: Option<PathBuf>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    pub importance: f64,
    pub first_frame_target_ms: f64,
    pub time_limit_ms: f64,
    #[serde(default)]
    pub effect: Effect,
    /// Where a set-up that may have run may be sent again: `all`, the same `zone`, or the same `cell`.
    #[serde(default)]
    pub repeat_group: Group,
    #[serde(default)]
    pub repeat_window_ms: f64,
    /// Lowest and highest rung, as indices of the ladder.
    #[serde(default)]
    pub floor: usize,
    pub top: Option<usize>,
    /// Its rates over those of the ladder.
    #[serde(default = "one")]
    pub scale: f64,
    #[serde(default)]
    pub live: bool,
    /// Plays of one title that this front may hold; 0 for no cap.
    #[serde(default)]
    pub seats: usize,
}

/// What a second set-up of a play does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    #[default]
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    pub rate_kb: f64,
    /// What a second at this rung earns, in parts of the importance.
    pub earns: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The fleet's name, where this front listens for others, and where each front is reached, by rank, this one among
    /// them. With them fronts share what they know; without them, not a word of it goes out.
    pub name: Option<String>,
    pub listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Cells that titles are held by; a cell's rack is its number modulo `racks`.
    pub cells: usize,
    pub racks: usize,
    pub kinds: Vec<Kind>,
    /// Mean uplink of a rack, link of a server for each unit of its weight, and all links together, kB/s.
    pub rack_link_kb: f64,
    pub link_unit_kb: f64,
    pub links_kb: f64,
    /// What a further viewer of a live title adds to a stream at the same server, as a part of the rate.
    #[serde(default = "one")]
    pub shared_part: f64,
    /// How late servers' notes on their plays are.
    pub notes_late_ms: f64,
    /// Points of importance lost for each point of the rate that is missing.
    pub stall_cost: f64,
    /// A change of rung costs so many seconds of importance.
    pub change_costs_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    /// Streams that such a server runs at most.
    pub streams: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a server so long after this front learned that it drains or is gone.
    pub drain_grace_ms: f64,
    /// A server is cold for so long after its start, begins at this part of its pace, and falls over when sent
    /// more than this multiple.
    pub cold_ms: f64,
    pub cold_from: f64,
    pub overload_factor: f64,
    /// Allocations that a play may have.
    pub allocations: usize,
    pub budget: Option<Budget>,
    /// The longest time to come back that players are told; 0 tells none.
    #[serde(default)]
    pub retry_after_ms: f64,
    #[serde(default)]
    pub probes: bool,
}

/// Further allocations in any span: so many free, plus a share of the plays taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub span_ms: f64,
    pub share: f64,
    pub free: f64,
}

/// What things cost, in points of service; 0 for what is free.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    pub probe: f64,
    pub cross_zone: f64,
}

fn one() -> f64 {
    1.0
}

impl Config {
    /// Reads and checks a rundown; its paths come out relative to where the file is.
    pub fn read(file: &Path) -> Result<Config, LoadError> {
        let mut it: Config = load(file)?;
        it.check().map_err(|(path, found, allowed)| invalid_value(file, &path, found, allowed))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        it.list = folder.join(&it.list);
        it.keys = it.keys.map(|keys| folder.join(keys));
        it.sharing.approved = it.sharing.approved.map(|approved| folder.join(approved));
        it.homes = it.homes.map(|homes| folder.join(homes));
        it.tls.players = it.tls.players.map(|tls| folder.join(tls));
        it.tls.servers = it.tls.servers.map(|tls| folder.join(tls));
        for key in it.entry_keys.iter_mut().chain(&mut it.pass_keys) {
            key.file = folder.join(&key.file);
        }
        if it.keys.is_some() && !(it.entry_keys.is_empty() && it.pass_keys.is_empty()) {
            return Err(invalid_value(file, "keys", "entry_keys or pass_keys beside it", "either, not both"));
        }
        let fault = |path: &str, cause| LoadError::Value {
            file: file.display().to_string(),
            path: path.into(),
            cause,
        };
        it.key_rings().map_err(|(path, cause)| fault(path, cause))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        if let Some(folder) = &it.tls.players {
            pulleystair_tls::load_player_config(folder, now)
                .map_err(|e| fault("tls.players", e.to_string()))?;
        }
        if let Some(folder) = &it.tls.servers {
            pulleystair_tls::load_server_config(folder, now)
                .map_err(|e| fault("tls.servers", e.to_string()))?;
        }
        Ok(it)
    }
}
