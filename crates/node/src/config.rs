//! What a node is given at start: a file of JSON, with the platform's settings as a call sheet.

use anyhow::{Context, anyhow};
use pulleystair::{Settings, number};
use pulleystair_dns_discovery::InitialEvents;
use pulleystair_settings::{settings_from_json, text_list};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bytes of the file at most.
const MAX_FILE_BYTES: u64 = 16 << 20;

#[derive(Debug, Deserialize)]
pub struct Config {
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    seed: String,
    pub limits: Limits,
    pub resolver: SocketAddr,
    pub known: InitialEvents,
    settings: serde_json::Value,
    #[serde(skip)]
    pub path: PathBuf,
    #[serde(skip)]
    pub policy_settings: Settings,
    #[serde(skip)]
    pub salt: u64,
}

#[derive(Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
}

/// What the node itself reads of the call sheet.
#[derive(Debug)]
pub struct NodeLimits {
    pub products: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub cells: usize,
    pub rungs: usize,
    /// Time to make a connection to a server, ms.
    pub dial_timeout: f64,
    /// How often a server tells of its link where a play runs, ms; 0 for never.
    pub note_interval: f64,
    /// The longest time to come back that viewers heed, ms; 0 where they heed none.
    pub max_retry_after: f64,
    /// The longest of the products' time limits, ms.
    pub max_time_limit: f64,
    /// A server closes a connection that was idle for so long, ms; infinite where the settings name no such time.
    pub idle_close: f64,
    /// Set-ups that a connection to a server may carry at once.
    pub max_set_ups_per_connection: usize,
}

impl Config {
    pub fn read(path: &Path) -> anyhow::Result<Config> {
        let file_name = || path.display().to_string();
        let size = std::fs::metadata(path).with_context(file_name)?.len();
        if size > MAX_FILE_BYTES {
            return Err(anyhow!("{}: it has {size} bytes, more than {MAX_FILE_BYTES}", file_name()));
        }
        let text = std::fs::read(path).with_context(file_name)?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let mut config: Config = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| anyhow!("{}: {}: {}", file_name(), e.path(), e.inner()))?;
        config.policy_settings =
            settings_from_json(&config.settings).map_err(|e| anyhow!("{}: settings: {e}", file_name()))?;
        config.salt = u64::from_str_radix(&config.seed, 16)
            .map_err(|e| anyhow!("{}: seed: {:?} are no hex digits: {e}", file_name(), config.seed))?;
        config.settings = serde_json::Value::Null;
        // A node without classes could take no set-up, and would turn every viewer away as one that makes no sense.
        if config.node_limits().products.is_empty() {
            return Err(anyhow!("{}: settings: lanes[0].name is missing: no class is named", file_name()));
        }
        config.path = path.to_path_buf();
        Ok(config)
    }

    pub fn node_limits(&self) -> NodeLimits {
        let number = |name: &str, default: f64| number(&self.policy_settings, name, default);
        let names = |prefix: &str| text_list(&self.policy_settings, |i| format!("{prefix}.{i}"));
        let count = |prefix: &str| {
            (0..).take_while(|i| self.policy_settings.contains_key(&format!("{prefix}.{i}"))).count()
        };
        let products = text_list(&self.policy_settings, |i| format!("products.{i}.name"));
        let time_limit = |i: usize| number(&format!("products.{i}.time_limit"), 3_000.0);
        let is_heeded = number("ceilings.retry_after", 0.0) > 0.0;
        NodeLimits {
            max_time_limit: (0..products.len()).map(time_limit).fold(0.0, f64::max),
            products,
            zones: names("failure_domains"),
            kinds: names("kinds"),
            cells: number("extra.places", 1.0).max(1.0) as usize,
            rungs: count("extra.ladder_kb").max(1),
            dial_timeout: number("ceilings.dial_timeout", 250.0).max(1.0),
            note_interval: number("extra.reports_every", 0.0),
            max_retry_after: if is_heeded { number("ceilings.max_retry_after", 0.0) } else { 0.0 },
            idle_close: Some(number("ceilings.idle_close", 0.0))
                .filter(|ms| *ms > 0.0)
                .unwrap_or(f64::INFINITY),
            max_set_ups_per_connection: number("ceilings.streams_per_conn", 100.0).max(1.0) as usize,
        }
    }
}
