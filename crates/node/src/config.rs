//! The configuration of a node: a JSON file with the platform's settings, read at start and on SIGHUP.

use crate::liveness::LOST_AFTER_MS;
use anyhow::{Context, anyhow};
use pulleystair::{Settings, number};
use pulleystair_dns_discovery::InitialEvents;
use pulleystair_settings::{settings_from_json, text_list};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of bytes of the file.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// A server may be silent for this many intervals between its notes, and for `NOTE_GRACE_MS` more.
const NOTE_INTERVALS: f64 = 1.25;
const NOTE_GRACE_MS: f64 = 1_000.0;

/// The contents of the file, and what is derived from it.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The node's name, which a new file has to repeat.
    #[serde(default)]
    pub name: String,
    /// The address on which viewers connect.
    pub listen: SocketAddr,
    /// The seed of the node's random numbers, in hex digits.
    seed: String,
    /// Limits of the process.
    pub limits: Limits,
    /// The address of the name service.
    pub resolver: SocketAddr,
    /// The events of the server list that are known at the start.
    pub known: InitialEvents,
    /// The platform's settings as they stand in the file; null once `policy_settings` is set.
    settings: serde_json::Value,
    /// The path of the file, to read it again.
    #[serde(skip)]
    pub path: PathBuf,
    /// The settings by flat name.
    #[serde(skip)]
    pub policy_settings: Settings,
    /// `seed` as a number.
    #[serde(skip)]
    pub salt: u64,
}

/// The limit of memory where the file states none, MiB.
fn default_memory_mb() -> f64 {
    32.0
}

/// Limits of the process, as the file states them.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// How many file descriptors the process may use.
    pub sockets: usize,
    /// How much memory the process may use, MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// The part of the settings that the node itself uses.
#[derive(Debug, Default)]
pub struct NodeLimits {
    /// The names of the products, in order.
    pub products: Vec<String>,
    /// The names of the zones, in order.
    pub zones: Vec<String>,
    /// The names of the kinds of servers, in order.
    pub kinds: Vec<String>,
    /// How many cells the fleet of servers has.
    pub cells: usize,
    /// How many rungs the ladder has.
    pub rungs: usize,
    /// Time to establish a connection to a server, ms.
    pub dial_timeout: f64,
    /// Interval at which a server reports the load of its link while a play runs, ms; 0 if it never does.
    pub note_interval: f64,
    /// Whether the node may send requests to a server that are no set-ups.
    pub may_probe: bool,
    /// The longest retry delay that viewers obey, ms; 0 if they obey none.
    pub max_retry_after: f64,
    /// The longest of the products' time limits, ms.
    pub max_time_limit: f64,
    /// A server closes a connection that was idle for this long, ms; infinite if the settings name no such
    /// time.
    pub idle_close: f64,
    /// How many set-ups may be pending on a connection to a server at the same time.
    pub max_set_ups_per_server_connection: usize,
}

impl NodeLimits {
    /// The time after which a server with sessions that should send notes is missed, ms. It leaves the time to
    /// notify the viewers, however far apart the notes are.
    pub(crate) fn note_timeout(&self) -> f64 {
        (NOTE_INTERVALS * self.note_interval + NOTE_GRACE_MS).min(LOST_AFTER_MS)
    }
}

impl Config {
    /// Reads and checks the file. Errors name the path and the setting.
    pub fn load(path: &Path) -> anyhow::Result<Config> {
        let path_text = || path.display().to_string();
        let size = std::fs::metadata(path).with_context(path_text)?.len();
        if size > MAX_FILE_BYTES {
            return Err(anyhow!("{}: the file has {size} bytes, more than {MAX_FILE_BYTES}", path_text()));
        }
        let text = std::fs::read(path).with_context(path_text)?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let mut config: Config = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| anyhow!("{}: {}: {}", path_text(), e.path(), e.inner()))?;
        config.policy_settings =
            settings_from_json(&config.settings).map_err(|e| anyhow!("{}: settings: {e}", path_text()))?;
        config.salt = u64::from_str_radix(&config.seed, 16).map_err(|e| {
            anyhow!("{}: seed: {:?} is not a 64-bit number in hex digits: {e}", path_text(), config.seed)
        })?;
        config.settings = serde_json::Value::Null;
        // A product is a lane in the file and a class in a viewer's set-up. Without one, the node would
        // reject every set-up as unusable.
        if config.node_limits().products.is_empty() {
            return Err(anyhow!(
                "{}: settings: lanes[0].name is missing: there must be at least one lane",
                path_text()
            ));
        }
        config.path = path.to_path_buf();
        Ok(config)
    }

    /// Extracts what the node itself uses from the settings.
    pub fn node_limits(&self) -> NodeLimits {
        let number = |name: &str, default: f64| number(&self.policy_settings, name, default);
        let names = |prefix: &str| text_list(&self.policy_settings, |i| format!("{prefix}.{i}"));
        let count = |prefix: &str| {
            (0..).take_while(|i| self.policy_settings.contains_key(&format!("{prefix}.{i}"))).count()
        };
        let products = text_list(&self.policy_settings, |i| format!("products.{i}.name"));
        let time_limit = |i: usize| number(&format!("products.{i}.time_limit"), 3_000.0);
        let is_retry_after_obeyed = number("ceilings.retry_after", 0.0) > 0.0;
        NodeLimits {
            max_time_limit: (0..products.len()).map(time_limit).fold(0.0, f64::max),
            products,
            zones: names("failure_domains"),
            kinds: names("kinds"),
            cells: number("extra.places", 1.0).max(1.0) as usize,
            rungs: count("extra.ladder_kb").max(1),
            dial_timeout: number("ceilings.dial_timeout", 250.0).max(1.0),
            note_interval: number("extra.reports_every", 0.0),
            may_probe: number("ceilings.probes", 0.0) > 0.0,
            max_retry_after: if is_retry_after_obeyed {
                number("ceilings.max_retry_after", 0.0)
            } else {
                0.0
            },
            idle_close: Some(number("ceilings.idle_close", 0.0))
                .filter(|ms| *ms > 0.0)
                .unwrap_or(f64::INFINITY),
            max_set_ups_per_server_connection: number("ceilings.streams_per_conn", 100.0).max(1.0) as usize,
        }
    }
}
