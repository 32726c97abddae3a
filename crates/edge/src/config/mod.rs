//! The configuration of a front: a Jsonnet file read at start. It is loaded and checked here, printed by
//! `pulleystair-edge show`, and converted to the settings of the placement logic at one place,
//! [`Config::policy_settings`]. Times are ms, rates kB/s, sizes bytes. Field names are the keys of the file.

mod check;
mod keys;
mod limits;
mod settings;
mod sharing;

pub use keys::{KeyFile, Keys, load_home_addresses};
pub use limits::{Admission, Limits, Reads};
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use serde::{Deserialize, Serialize};
pub use sharing::{FrontAddress, Sharing};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The configuration file of a front.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Address on which the front listens for players. With port 0 the system chooses a port, which the first log line
    /// states.
    pub listen: SocketAddr,
    /// The zone of this front, one of `zones`.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// Number of fronts.
    pub fronts: usize,
    /// Rank of this front among all fronts, from 0.
    pub rank: usize,
    /// Seed of the random numbers used for decisions; taken from the clock if absent.
    pub seed: Option<u64>,
    /// File of the list of servers and titles, relative to this file's folder.
    pub list: PathBuf,
    /// The products that plays are of.
    pub products: Vec<Product>,
    /// The rungs that plays may have, by ascending rate.
    pub ladder: Vec<Rung>,
    /// The fleet of fronts and the media servers.
    pub fleet: Fleet,
    /// How fronts exchange state; used if `fleet` has `name`, `listen` and `peers`.
    #[serde(default)]
    pub sharing: Sharing,
    /// The rules that every decision must keep.
    pub rules: Rules,
    /// Costs that decisions weigh.
    #[serde(default)]
    pub prices: Prices,
    /// Limits of this front.
    #[serde(default)]
    pub limits: Limits,
    /// Retries of failed segment reads.
    #[serde(default)]
    pub reads: Reads,
    /// Admission of plays: how many set-ups may be in progress at once, and which plays wait.
    #[serde(default)]
    pub admission: Admission,
    /// File of the addresses at which players reach the fronts, by rank, as a list of `HOST:PORT`; polled like the
    /// keys. With it, a session of a product that must not be set up twice is accepted only by its home front.
    pub homes: Option<PathBuf>,
    /// Keys of the portal's entry tokens.
    #[serde(default)]
    pub entry_keys: Vec<KeyFile>,
    /// Keys of this fleet's session tokens; the first one signs.
    #[serde(default)]
    pub pass_keys: Vec<KeyFile>,
    /// File with these keys, instead of `entry_keys` and `pass_keys`; polled, and loaded again when it was replaced.
    pub keys: Option<PathBuf>,
    /// Folders of certificates.
    #[serde(default)]
    pub tls: Tls,
}

/// Folders of certificates, polled like the keys; a side without one does not use TLS.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// `chain.pem`, `key.pem`, `authority.pem`, and `viewers.pem` if players must present a certificate.
    pub players: Option<PathBuf>,
    /// `authority.pem`, and `chain.pem` with `key.pem` if media servers require a certificate.
    pub servers: Option<PathBuf>,
}

/// A product: the kind of play that a viewer buys.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    /// Its name.
    pub name: String,
    /// Weight of its plays in decisions, relative to the other products.
    pub importance: f64,
    /// Within this time of its request a play should start.
    pub first_frame_target_ms: f64,
    /// Within this time of its request a play must start or be answered otherwise.
    pub time_limit_ms: f64,
    /// What a second set-up of one of its plays does.
    #[serde(default)]
    pub effect: Effect,
    /// Where a set-up that may have been carried out may be repeated: at `all` servers, in the same `zone`, or in the
    /// same `cell`.
    #[serde(default)]
    pub repeat_group: Group,
    /// For how long such a set-up may be repeated.
    #[serde(default)]
    pub repeat_window_ms: f64,
    /// Lowest rung, as an index of the ladder.
    #[serde(default)]
    pub floor: usize,
    /// Highest rung, as an index of the ladder; the top of the ladder if absent.
    pub top: Option<usize>,
    /// Factor of its rates to those of the ladder.
    #[serde(default = "default_factor")]
    pub scale: f64,
    /// Whether its titles are live.
    #[serde(default)]
    pub live: bool,
    /// Plays of one title that this front may hold; 0 for no bound.
    #[serde(default)]
    pub seats: usize,
}

/// What a second set-up of a play does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A second set-up does no harm, like a second read.
    #[default]
    ReadLike,
    /// A second set-up does no harm within the repeat window and the repeat group.
    IdempotencyKey,
    /// A second set-up does harm.
    NonIdempotent,
}

/// The servers at which a set-up may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// A rung of the ladder.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    /// Rate of a play at this rung.
    pub rate_kb: f64,
    /// Value of one second of a play at this rung, as a multiple of the product's importance.
    pub earns: f64,
}

/// The fleet of fronts, and the fleet of media servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the fleet. With `name`, `listen` and `peers` fronts exchange what they know; without them, nothing is
    /// sent.
    pub name: Option<String>,
    /// Address on which this front listens for other fronts.
    pub listen: Option<SocketAddr>,
    /// All fronts, this one included, by rank, with the addresses at which they reach each other.
    #[serde(default)]
    pub peers: Vec<FrontAddress>,
    /// Number of cells, which hold the titles.
    pub cells: usize,
    /// Number of racks; the rack of a cell is its number modulo `racks`.
    pub racks: usize,
    /// Kinds of media servers.
    pub kinds: Vec<Kind>,
    /// Mean uplink of a rack, kB/s.
    pub rack_link_kb: f64,
    /// Link of a server per unit of its weight, kB/s.
    pub link_unit_kb: f64,
    /// Links of all servers together, kB/s.
    pub links_kb: f64,
    /// Load that a further viewer of a live title adds to a stream at the same server, as a fraction of the rate.
    #[serde(default = "default_factor")]
    pub shared_part: f64,
    /// By this much the load metrics of servers are assumed to lag, as do their notes on running plays.
    pub notes_late_ms: f64,
    /// Value that the plays on an overloaded link lose, as a multiple of their value (importance times `earns`), per
    /// share of the link's capacity by which the load exceeds it.
    pub stall_cost: f64,
    /// Cost of a change of rung, as the number of seconds in which a play with `earns` 1 earns as much.
    pub change_costs_s: f64,
}

/// A kind of media server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Maximum number of streams of such a server.
    pub streams: usize,
}

/// Rules that every decision keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new is sent to a server once this time has passed since this front learned that it drains or is gone.
    pub drain_grace_ms: f64,
    /// How long a server is cold after its start.
    pub cold_ms: f64,
    /// Fraction of its full pace at which a cold server begins. The full pace is as many set-ups within `cold_ms` as its
    /// kind has `streams`.
    pub cold_from: f64,
    /// A cold server becomes overloaded when it is sent more than this multiple of its pace.
    pub overload_factor: f64,
    /// Maximum number of allocations of a play.
    pub allocations: usize,
    /// Bound on further allocations of all plays.
    pub budget: Option<Budget>,
    /// Longest Retry-After that players are given; 0 for none.
    #[serde(default)]
    pub retry_after_ms: f64,
    /// Whether servers may be probed.
    #[serde(default)]
    pub probes: bool,
}

/// Bound on further allocations (after a play's first) in any span.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Length of the span.
    pub span_ms: f64,
    /// Further allocations allowed, as a share of the plays admitted within the span.
    pub share: f64,
    /// Further allocations allowed in addition to that share.
    pub free: f64,
}

/// Costs that decisions weigh.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of a probe, as a share of a play's value. The probes for one allocation may cost 0.025 together, so a lower
    /// cost allows more of them. 0 counts as 0.025: at most one server is probed.
    pub probe: f64,
    /// Cost of sending a play to a server in another zone. Only whether it is above 0 matters: if so, servers of the
    /// front's zone with ample room are preferred.
    pub cross_zone: f64,
}

fn default_factor() -> f64 {
    1.0
}

impl Config {
    /// Loads and checks a configuration file. Its paths, which are relative to the folder of the file, are joined to
    /// that folder.
    pub fn load(file: &Path) -> Result<Config, LoadError> {
        let mut config: Config = load(file)?;
        config.check().map_err(|(path, found, allowed)| invalid_value(file, &path, found, allowed))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        config.list = folder.join(&config.list);
        config.keys = config.keys.map(|keys| folder.join(keys));
        config.sharing.approved = config.sharing.approved.map(|approved| folder.join(approved));
        config.homes = config.homes.map(|homes| folder.join(homes));
        config.tls.players = config.tls.players.map(|tls| folder.join(tls));
        config.tls.servers = config.tls.servers.map(|tls| folder.join(tls));
        for key in config.entry_keys.iter_mut().chain(&mut config.pass_keys) {
            key.file = folder.join(&key.file);
        }
        if config.keys.is_some() && !(config.entry_keys.is_empty() && config.pass_keys.is_empty()) {
            return Err(invalid_value(
                file,
                "keys",
                "entry_keys or pass_keys in addition",
                "either keys, or entry_keys and pass_keys",
            ));
        }
        let value_error = |path: &str, cause| LoadError::Value {
            file: file.display().to_string(),
            path: path.into(),
            cause,
        };
        config.key_rings().map_err(|(path, cause)| value_error(path, cause))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        if let Some(folder) = &config.tls.players {
            pulleystair_tls::load_player_config(folder, now)
                .map_err(|e| value_error("tls.players", e.to_string()))?;
        }
        if let Some(folder) = &config.tls.servers {
            pulleystair_tls::load_server_config(folder, now)
                .map_err(|e| value_error("tls.servers", e.to_string()))?;
        }
        Ok(config)
    }
}
