//! What a node is given at start: a file of JSON, with the platform's settings as a call sheet.

use anyhow::{Context, anyhow};
use pulleystair::{Settings, number};
use pulleystair_dns_discovery::InitialEvents;
use pulleystair_settings::{settings_from_json, text_list};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bytes of the file at most.
const MOST: u64 = 16 << 20;

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
    pub dial: f64,
    /// How often a server tells of its link where a play runs, ms; 0 for never.
    pub tells: f64,
    /// The longest time to come back that viewers heed, ms; 0 where they heed none.
    pub stay_away: f64,
    /// The longest of the products' time limits, ms.
    pub longest: f64,
    /// A server closes a connection that was idle for so long, ms; infinite where the settings name no such time.
    pub idle: f64,
    /// Set-ups that a connection to a server may carry at once.
    pub streams: usize,
}

impl Config {
    pub fn read(path: &Path) -> anyhow::Result<Config> {
        let place = || path.display().to_string();
        let size = std::fs::metadata(path).with_context(place)?.len();
        if size > MOST {
            return Err(anyhow!("{}: it has {size} bytes, more than {MOST}", place()));
        }
        let text = std::fs::read(path).with_context(place)?;
        let mut json = serde_json::Deserializer::from_slice(&text);
        let mut it: Config = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| anyhow!("{}: {}: {}", place(), e.path(), e.inner()))?;
        it.policy_settings =
            settings_from_json(&it.settings).map_err(|e| anyhow!("{}: settings: {e}", place()))?;
        it.salt = u64::from_str_radix(&it.seed, 16)
            .map_err(|e| anyhow!("{}: seed: {:?} are no hex digits: {e}", place(), it.seed))?;
        it.settings = serde_json::Value::Null;
        // A node without classes could take no set-up, and would turn every viewer away as one that makes no sense.
        if it.terms().products.is_empty() {
            return Err(anyhow!("{}: settings: lanes[0].name is missing: no class is named", place()));
        }
        it.path = path.to_path_buf();
        Ok(it)
    }

    pub fn terms(&self) -> NodeLimits {
        let number = |name: &str, other: f64| number(&self.policy_settings, name, other);
        let names = |of: &str| text_list(&self.policy_settings, |i| format!("{of}.{i}"));
        let count =
            |of: &str| (0..).take_while(|i| self.policy_settings.contains_key(&format!("{of}.{i}"))).count();
        let products = text_list(&self.policy_settings, |i| format!("products.{i}.name"));
        let limit = |i: usize| number(&format!("products.{i}.time_limit"), 3_000.0);
        let heeded = number("ceilings.retry_after", 0.0) > 0.0;
        NodeLimits {
            longest: (0..products.len()).map(limit).fold(0.0, f64::max),
            products,
            zones: names("failure_domains"),
            kinds: names("kinds"),
            cells: number("extra.places", 1.0).max(1.0) as usize,
            rungs: count("extra.ladder_kb").max(1),
            dial: number("ceilings.dial_timeout", 250.0).max(1.0),
            tells: number("extra.reports_every", 0.0),
            stay_away: if heeded { number("ceilings.max_retry_after", 0.0) } else { 0.0 },
            idle: Some(number("ceilings.idle_close", 0.0)).filter(|ms| *ms > 0.0).unwrap_or(f64::INFINITY),
            streams: number("ceilings.streams_per_conn", 100.0).max(1.0) as usize,
        }
    }
}
