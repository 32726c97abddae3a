//! The list of servers and titles, from a file that is looked at again and again and read when replaced. Other
//! sources of the list (a registry, xDS, the planner) come in by the same door: a [`List`] that was checked.

use pulleystair::{Listing, Standing};
use pulleystair_dash::address;
use pulleystair_dash::mpd::{self, Presentation};
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

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
    /// How long it is, and its segments; left out where a manifest tells. 0 for a live title without a known end.
    #[serde(default)]
    pub duration_ms: u64,
    #[serde(default)]
    pub segment_ms: u64,
    pub live: Option<Live>,
    /// An MPD that describes it, from the list's folder.
    pub manifest: Option<PathBuf>,
    /// What all that comes to.
    #[serde(skip, default = "nothing")]
    pub presentation: Rc<Presentation>,
}

/// A title that is made while it is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Live {
    /// When its first segment began, ms since 1970.
    pub from_ms: u64,
    /// How often players ask for the manifest again, and how far back segments are kept.
    pub update_ms: u64,
    pub window_ms: u64,
}

fn nothing() -> Rc<Presentation> {
    Rc::new(Presentation::plain(String::new(), 1, 1))
}

impl Title {
    /// A title of even segments.
    pub fn shaped(self) -> Title {
        let mut shape = Presentation::plain(self.name.clone(), self.duration_ms, self.segment_ms);
        if let Some(live) = self.live {
            shape.duration_ms = Some(self.duration_ms).filter(|ms| *ms > 0);
            shape.live = Some(mpd::Live {
                from_ms: live.from_ms,
                update_ms: Some(live.update_ms),
                window_ms: Some(live.window_ms),
                published_ms: live.from_ms,
            });
        }
        Title { presentation: Rc::new(shape), ..self }
    }

    /// A title as its manifest describes it; an error tells what is wrong with that.
    fn described(self, folder: &Path, file: &Path) -> Result<Title, String> {
        let file = folder.join(file);
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        let size = std::fs::metadata(&file).map_err(|e| told(&e))?.len();
        if size > mpd::MAX_BYTES as u64 {
            return Err(told(&format!("{size} bytes; {} at most", mpd::MAX_BYTES)));
        }
        let text = std::fs::read_to_string(&file).map_err(|e| told(&e))?;
        let shape = mpd::parse(&text).map_err(|e| told(&e))?;
        Ok(Title { presentation: Rc::new(Presentation { title: self.name.clone(), ..shape }), ..self })
    }
}

/// What a list must agree with.
pub struct ListContext<'a> {
    pub zones: &'a [String],
    pub kinds: Vec<&'a str>,
    pub products: Vec<&'a str>,
    pub cells: usize,
    /// Servers are known by certificates, which must bear their names.
    pub uses_tls: bool,
}

/// The longest title, ms: a day.
const LONGEST: u64 = 86_400_000;
/// No clock is further, ms since 1970: the year 9999.
const FAR: u64 = 253_370_764_800_000;
/// Servers and titles that a list may hold.
const MOST: usize = 100_000;

impl List {
    pub fn load(file: &Path, known: &ListContext) -> Result<List, LoadError> {
        let mut it: List = load(file)?;
        it.check(known).map_err(|(path, found, allowed)| invalid_value(file, &path, found, allowed))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        let titles = it.titles.into_iter().enumerate().map(|(i, title)| match title.manifest.clone() {
            None => Ok(title.shaped()),
            Some(manifest) => title.described(folder, &manifest).map_err(|found| {
                invalid_value(file, &format!("titles[{i}].manifest"), found, "a manifest that can be read")
            }),
        });
        it.titles = titles.collect::<Result<_, _>>()?;
        Ok(it)
    }

    fn check(&self, known: &ListContext) -> Result<(), (String, String, &'static str)> {
        if self.servers.is_empty() || self.servers.len() > MOST {
            return Err(("servers".into(), format!("{} of them", self.servers.len()), "1 to 100000"));
        }
        if self.titles.len() > MOST {
            return Err(("titles".into(), format!("{} of them", self.titles.len()), "at most 100000"));
        }
        let mut seen = HashMap::new();
        for (i, server) in self.servers.iter().enumerate() {
            let path = |name: &str| format!("servers[{i}].{name}");
            if !address::is_valid_name(&server.name) {
                let allowed = "1 to 64 letters, digits, - _ .";
                return Err((path("name"), format!("{:?}", server.name), allowed));
            }
            if seen.insert(&server.name, i).is_some() {
                return Err((path("name"), format!("{:?}", server.name), "a name that no other server has"));
            }
            if known.uses_tls && rustls::pki_types::DnsName::try_from(server.name.as_str()).is_err() {
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
            if !address::is_valid_name(&title.name) {
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
            if title.manifest.is_some() {
                if title.duration_ms > 0 || title.segment_ms > 0 || title.live.is_some() {
                    let found = "duration_ms, segment_ms or live beside it".to_string();
                    return Err((path("manifest"), found, "either, not both"));
                }
                continue;
            }
            if (title.duration_ms == 0 && title.live.is_none()) || title.duration_ms > LONGEST {
                return Err((path("duration_ms"), title.duration_ms.to_string(), "1 to 86400000"));
            }
            let longest = if title.duration_ms == 0 { LONGEST } else { title.duration_ms };
            if title.segment_ms == 0 || title.segment_ms > longest {
                return Err((path("segment_ms"), title.segment_ms.to_string(), "1 to duration_ms"));
            }
            if let Some(live) = title.live {
                if live.from_ms > FAR {
                    return Err((path("live.from_ms"), live.from_ms.to_string(), "a time in ms since 1970"));
                }
                if live.update_ms == 0 || live.update_ms > LONGEST {
                    return Err((path("live.update_ms"), live.update_ms.to_string(), "1 to 86400000"));
                }
                if live.window_ms < title.segment_ms || live.window_ms > LONGEST {
                    return Err((
                        path("live.window_ms"),
                        live.window_ms.to_string(),
                        "segment_ms to 86400000",
                    ));
                }
            }
        }
        Ok(())
    }

    /// The list as the decisions are told it; `index` gives a server's number.
    pub fn entries(&self, known: &ListContext, mut index: impl FnMut(&Server) -> u32) -> Vec<(u32, Listing)> {
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
                started_at: server.started_ms,
            };
            (index(server), listing)
        };
        self.servers.iter().map(line).collect()
    }
}

/// Files that belong together and are looked at again and again.
pub struct WatchedFiles {
    /// The first one must be there: without it the others are not looked at.
    files: Vec<PathBuf>,
    seen: Vec<Option<(u64, u64, i64, i64)>>,
    /// Why what is there was not taken when last read, and whether it is to be read again all the same.
    refused: Option<(String, bool)>,
}

impl WatchedFiles {
    pub fn new(file: PathBuf) -> WatchedFiles {
        WatchedFiles { files: vec![file], seen: Vec::new(), refused: None }
    }

    /// The files of a folder by their names.
    pub fn folder(folder: &Path, names: &[&str]) -> WatchedFiles {
        WatchedFiles {
            files: names.iter().map(|name| folder.join(name)).collect(),
            seen: Vec::new(),
            refused: None,
        }
    }

    pub fn file(&self) -> &Path {
        &self.files[0]
    }

    /// Whether a file is another than when last looked at, or is to be read again. A first file that is away is not
    /// another one. To be asked before the files are read, so that what is replaced meanwhile shows the next time.
    pub fn check_replaced(&mut self) -> bool {
        let look = |file: &PathBuf| {
            let meta = std::fs::metadata(file).ok()?;
            Some((meta.ino(), meta.size(), meta.mtime(), meta.mtime_nsec()))
        };
        let now: Vec<_> = self.files.iter().map(look).collect();
        if now[0].is_none() {
            return false;
        }
        if now != self.seen {
            (self.seen, self.refused) = (now, None);
            return true;
        }
        self.refused.as_ref().is_some_and(|(_, again)| *again)
    }

    /// What was read is not taken. With `again` it is read anew at each look, whether replaced or not: what was at
    /// fault may lie outside these files. True where this cause is to be told, which it is once.
    pub fn refused(&mut self, cause: &impl ToString, again: bool) -> bool {
        let cause = cause.to_string();
        let told = self.refused.as_ref().is_some_and(|(known, _)| *known == cause);
        self.refused = Some((cause, again));
        !told
    }

    pub fn taken(&mut self) {
        self.refused = None;
    }

    /// Looks at them anew the next time, whether they were replaced or not.
    pub fn again(&mut self) {
        self.seen.clear();
    }
}
