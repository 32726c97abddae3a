//! The list of servers and titles, from a file that is looked at again and again and read when replaced. Other
//! sources of the list (a registry, xDS, the planner) come in by the same door: a [`List`] that was checked.

use pulleystair::{Listing, Standing};
use pulleystair_dash::address;
use pulleystair_templates::{Fault, load, refused};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    pub servers: Vec<Server>,
    pub titles: Vec<Title>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    /// The cell that it is; what lies there it holds.
    pub cell: usize,
    /// Its size beside other servers'.
    pub weight: f64,
    #[serde(default)]
    pub state: State,
    /// When its process last started, ms since 1970; 0 for long ago.
    #[serde(default)]
    pub started_ms: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    #[default]
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Title {
    pub name: String,
    pub product: String,
    /// Held by so many cells in a row from this one.
    pub first_cell: usize,
    pub holders: usize,
    pub duration_ms: u64,
    pub segment_ms: u64,
}

/// What a list must agree with.
pub struct Known<'a> {
    pub zones: &'a [String],
    pub kinds: Vec<&'a str>,
    pub products: Vec<&'a str>,
    pub cells: usize,
    /// Servers are known by certificates, which must bear their names.
    pub sealed: bool,
}

/// The longest title, ms: a day.
const LONGEST: u64 = 86_400_000;
/// Servers and titles that a list may hold.
const MOST: usize = 100_000;

impl List {
    pub fn read(file: &Path, known: &Known) -> Result<List, Fault> {
        let it: List = load(file)?;
        it.check(known).map_err(|(path, found, allowed)| refused(file, &path, found, allowed))?;
        Ok(it)
    }

    fn check(&self, known: &Known) -> Result<(), (String, String, &'static str)> {
        if self.servers.is_empty() || self.servers.len() > MOST {
            return Err(("servers".into(), format!("{} of them", self.servers.len()), "1 to 100000"));
        }
        if self.titles.len() > MOST {
            return Err(("titles".into(), format!("{} of them", self.titles.len()), "at most 100000"));
        }
        let mut seen = HashMap::new();
        for (i, server) in self.servers.iter().enumerate() {
            let path = |name: &str| format!("servers[{i}].{name}");
            if !address::name(&server.name) {
                let allowed = "1 to 64 letters, digits, - _ .";
                return Err((path("name"), format!("{:?}", server.name), allowed));
            }
            if seen.insert(&server.name, i).is_some() {
                return Err((path("name"), format!("{:?}", server.name), "a name that no other server has"));
            }
            if known.sealed && rustls::pki_types::DnsName::try_from(server.name.as_str()).is_err() {
                let allowed = "a host's name, for its certificate must bear it";
                return Err((path("name"), format!("{:?}", server.name), allowed));
            }
            if !known.zones.contains(&server.zone) {
                return Err((path("zone"), format!("{:?}", server.zone), "one of the rundown's zones"));
            }
            if !known.kinds.contains(&server.kind.as_str()) {
                return Err((path("kind"), format!("{:?}", server.kind), "one of the rundown's fleet.kinds"));
            }
            if server.cell >= known.cells {
                return Err((path("cell"), server.cell.to_string(), "a number under fleet.cells"));
            }
            if !(server.weight.is_finite() && server.weight > 0.0) {
                return Err((path("weight"), server.weight.to_string(), "a number above 0"));
            }
            if !(server.started_ms.is_finite() && server.started_ms >= 0.0) {
                return Err((path("started_ms"), server.started_ms.to_string(), "a time from 0"));
            }
        }
        let mut seen = HashMap::new();
        for (i, title) in self.titles.iter().enumerate() {
            let path = |name: &str| format!("titles[{i}].{name}");
            if !address::name(&title.name) {
                let allowed = "1 to 64 letters, digits, - _ .";
                return Err((path("name"), format!("{:?}", title.name), allowed));
            }
            if seen.insert((&title.product, &title.name), i).is_some() {
                let allowed = "a name that no other title of the product has";
                return Err((path("name"), format!("{:?}", title.name), allowed));
            }
            if !known.products.contains(&title.product.as_str()) {
                return Err((
                    path("product"),
                    format!("{:?}", title.product),
                    "one of the rundown's products",
                ));
            }
            if title.first_cell >= known.cells {
                return Err((path("first_cell"), title.first_cell.to_string(), "a number under fleet.cells"));
            }
            if title.holders == 0 || title.holders > known.cells {
                return Err((path("holders"), title.holders.to_string(), "1 to fleet.cells"));
            }
            if title.duration_ms == 0 || title.duration_ms > LONGEST {
                return Err((path("duration_ms"), title.duration_ms.to_string(), "1 to 86400000"));
            }
            if title.segment_ms == 0 || title.segment_ms > title.duration_ms {
                return Err((path("segment_ms"), title.segment_ms.to_string(), "1 to duration_ms"));
            }
        }
        Ok(())
    }

    /// The list as the decisions are told it; `index` gives a server's number.
    pub fn lines(&self, known: &Known, mut index: impl FnMut(&Server) -> u32) -> Vec<(u32, Listing)> {
        let at = |names: &[&str], name: &str| names.iter().position(|n| *n == name).unwrap_or(0);
        let zones: Vec<&str> = known.zones.iter().map(String::as_str).collect();
        let line = |server: &Server| {
            let listing = Listing {
                server: 0,
                zone: at(&zones, &server.zone),
                kind: at(&known.kinds, &server.kind),
                cell: server.cell,
                standing: match server.state {
                    State::Ready => Standing::Ready,
                    State::Draining => Standing::Draining,
                },
                weight: server.weight,
                born: server.started_ms,
            };
            (index(server), listing)
        };
        self.servers.iter().map(line).collect()
    }
}

/// Files that belong together and are looked at again and again.
pub struct Watched {
    /// The first one must be there: without it the others are not looked at.
    files: Vec<PathBuf>,
    seen: Vec<Option<(u64, u64, i64, i64)>>,
}

impl Watched {
    pub fn new(file: PathBuf) -> Watched {
        Watched { files: vec![file], seen: Vec::new() }
    }

    /// The files of a folder by their names.
    pub fn folder(folder: &Path, names: &[&str]) -> Watched {
        Watched { files: names.iter().map(|name| folder.join(name)).collect(), seen: Vec::new() }
    }

    pub fn file(&self) -> &Path {
        &self.files[0]
    }

    /// Whether a file is another than when last looked at. A first file that is away is not another one.
    pub fn replaced(&mut self) -> bool {
        let look = |file: &PathBuf| {
            let meta = std::fs::metadata(file).ok()?;
            Some((meta.ino(), meta.size(), meta.mtime(), meta.mtime_nsec()))
        };
        let now: Vec<_> = self.files.iter().map(look).collect();
        if now[0].is_none() {
            return false;
        }
        let replaced = now != self.seen;
        self.seen = now;
        replaced
    }

    /// Looks at them anew the next time, whether they were replaced or not.
    pub fn again(&mut self) {
        self.seen.clear();
    }
}
