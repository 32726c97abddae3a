//! The list of servers and titles: a file that is polled and loaded again when it was replaced. Every other source of
//! the list (a registry, xDS, a planner) would deliver the same type, a checked [`List`]. Also contains
//! [`WatchedFiles`], by which all files that may be replaced are checked for replacement.

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

/// The media servers and titles that this front serves from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The media servers; at least one.
    pub servers: Vec<Server>,
    /// The titles that viewers may ask for.
    pub titles: Vec<Title>,
}

/// A media server of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name, unique in the list.
    pub name: String,
    /// Address at which the front connects to it.
    pub address: SocketAddr,
    /// Its zone, one of the configuration's `zones`.
    pub zone: String,
    /// Its kind, one of the configuration's `fleet.kinds`.
    pub kind: String,
    /// Its cell; the server holds the titles of that cell.
    pub cell: usize,
    /// Its capacity relative to other servers, in units of `fleet.link_unit_kb`.
    pub weight: f64,
    /// Whether new plays may be set up at the server.
    #[serde(default)]
    pub state: State,
    /// When the process of the server last started, ms since 1970; 0 if that was long ago.
    #[serde(default)]
    pub started_ms: f64,
}

/// State of a server: new plays may be set up there, or it only continues those that it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    #[default]
    Ready,
    Draining,
}

/// A title that viewers may ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Title {
    /// Its name, unique within its product.
    pub name: String,
    /// Its product, one of the configuration's `products`.
    pub product: String,
    /// The first of the consecutive cells that hold the title.
    pub first_cell: usize,
    /// Number of cells that hold the title.
    pub holders: usize,
    /// Duration of the title; absent if a manifest states it, 0 for a live title without a known end.
    #[serde(default)]
    pub duration_ms: u64,
    /// Duration of a segment; absent if a manifest states it.
    #[serde(default)]
    pub segment_ms: u64,
    /// Set for a live title without a manifest.
    pub live: Option<Live>,
    /// File of an MPD that describes the title, relative to the list's folder.
    pub manifest: Option<PathBuf>,
    /// The presentation that results from the fields above; set by [`List::load`].
    #[serde(skip, default = "empty_presentation")]
    pub presentation: Rc<Presentation>,
}

/// Times of a live title.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Live {
    /// When its first segment began, ms since 1970.
    pub from_ms: u64,
    /// How often players refresh the manifest.
    pub update_ms: u64,
    /// How far back segments are kept.
    pub window_ms: u64,
}

/// Placeholder for the presentation of a title that was parsed, until [`List::load`] sets it.
fn empty_presentation() -> Rc<Presentation> {
    Rc::new(Presentation::single_period(String::new(), 1, 1))
}

impl Title {
    /// Sets the presentation of a title without a manifest, from `duration_ms`, `segment_ms` and `live`: all segments
    /// are `segment_ms` long.
    pub fn with_uniform_segments(self) -> Title {
        let mut presentation =
            Presentation::single_period(self.name.clone(), self.duration_ms, self.segment_ms);
        if let Some(live) = self.live {
            presentation.duration_ms = Some(self.duration_ms).filter(|ms| *ms > 0);
            presentation.live = Some(mpd::Live {
                from_ms: live.from_ms,
                update_ms: Some(live.update_ms),
                window_ms: Some(live.window_ms),
                published_ms: live.from_ms,
            });
        }
        Title { presentation: Rc::new(presentation), ..self }
    }

    /// Sets the presentation of a title from its manifest, a file in `folder`. An error names the file and the cause.
    fn with_manifest(self, folder: &Path, file: &Path) -> Result<Title, String> {
        let file = folder.join(file);
        let manifest_error = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        let size = std::fs::metadata(&file).map_err(|e| manifest_error(&e))?.len();
        if size > mpd::MAX_BYTES as u64 {
            return Err(manifest_error(&format!("{size} bytes; {} at most", mpd::MAX_BYTES)));
        }
        let text = std::fs::read_to_string(&file).map_err(|e| manifest_error(&e))?;
        let presentation = mpd::parse(&text).map_err(|e| manifest_error(&e))?;
        Ok(Title { presentation: Rc::new(Presentation { title: self.name.clone(), ..presentation }), ..self })
    }
}

/// What a list must agree with: the values of the configuration that its entries refer to.
pub struct ListContext<'a> {
    /// All zones.
    pub zones: &'a [String],
    /// Names of the kinds of servers.
    pub kinds: Vec<&'a str>,
    /// Names of the products.
    pub products: Vec<&'a str>,
    /// Number of cells.
    pub cells: usize,
    /// Whether servers are verified by certificates, which must contain their names.
    pub uses_tls: bool,
}

/// Maximum duration of a title, ms: one day.
const MAX_TITLE_MS: u64 = 86_400_000;
/// Latest point in time that is accepted, ms since 1970: the year 9999.
const MAX_TIME_MS: u64 = 253_370_764_800_000;
/// Maximum number of servers, and of titles, in a list.
const MAX_ENTRIES: usize = 100_000;

impl List {
    /// Loads and checks a list file and the manifests that it names.
    pub fn load(file: &Path, context: &ListContext) -> Result<List, LoadError> {
        let mut list: List = load(file)?;
        list.check(context).map_err(|(path, found, allowed)| invalid_value(file, &path, found, allowed))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        let titles = list.titles.into_iter().enumerate().map(|(i, title)| match title.manifest.clone() {
            None => Ok(title.with_uniform_segments()),
            Some(manifest) => title.with_manifest(folder, &manifest).map_err(|found| {
                invalid_value(file, &format!("titles[{i}].manifest"), found, "a manifest that can be read")
            }),
        });
        list.titles = titles.collect::<Result<_, _>>()?;
        Ok(list)
    }

    /// Checks the list against the configuration's values. The error is the first invalid value: its path in the file,
    /// what was found, what is allowed.
    fn check(&self, context: &ListContext) -> Result<(), (String, String, &'static str)> {
        if self.servers.is_empty() || self.servers.len() > MAX_ENTRIES {
            return Err(("servers".into(), format!("{} of them", self.servers.len()), "1 to 100000"));
        }
        if self.titles.len() > MAX_ENTRIES {
            return Err(("titles".into(), format!("{} of them", self.titles.len()), "at most 100000"));
        }
        let mut seen_names = HashMap::new();
        for (i, server) in self.servers.iter().enumerate() {
            let path = |name: &str| format!("servers[{i}].{name}");
            if !address::is_valid_name(&server.name) {
                let allowed = "1 to 64 letters, digits, - _ .";
                return Err((path("name"), format!("{:?}", server.name), allowed));
            }
            if seen_names.insert(&server.name, i).is_some() {
                return Err((path("name"), format!("{:?}", server.name), "a name that no other server has"));
            }
            if context.uses_tls && rustls::pki_types::DnsName::try_from(server.name.as_str()).is_err() {
                let allowed = "a host name, because the server's certificate must contain it";
                return Err((path("name"), format!("{:?}", server.name), allowed));
            }
            if !context.zones.contains(&server.zone) {
                return Err((path("zone"), format!("{:?}", server.zone), "one of the configuration's zones"));
            }
            if !context.kinds.contains(&server.kind.as_str()) {
                return Err((
                    path("kind"),
                    format!("{:?}", server.kind),
                    "one of the configuration's fleet.kinds",
                ));
            }
            if server.cell >= context.cells {
                return Err((path("cell"), server.cell.to_string(), "a number under fleet.cells"));
            }
            if !(server.weight.is_finite() && server.weight > 0.0) {
                return Err((path("weight"), server.weight.to_string(), "a number above 0"));
            }
            if !(server.started_ms.is_finite() && server.started_ms >= 0.0) {
                return Err((path("started_ms"), server.started_ms.to_string(), "a time from 0"));
            }
        }
        let mut seen_names = HashMap::new();
        for (i, title) in self.titles.iter().enumerate() {
            let path = |name: &str| format!("titles[{i}].{name}");
            if !address::is_valid_name(&title.name) {
                let allowed = "1 to 64 letters, digits, - _ .";
                return Err((path("name"), format!("{:?}", title.name), allowed));
            }
            if seen_names.insert((&title.product, &title.name), i).is_some() {
                let allowed = "a name that no other title of the product has";
                return Err((path("name"), format!("{:?}", title.name), allowed));
            }
            if !context.products.contains(&title.product.as_str()) {
                return Err((
                    path("product"),
                    format!("{:?}", title.product),
                    "one of the configuration's products",
                ));
            }
            if title.first_cell >= context.cells {
                return Err((path("first_cell"), title.first_cell.to_string(), "a number under fleet.cells"));
            }
            if title.holders == 0 || title.holders > context.cells {
                return Err((path("holders"), title.holders.to_string(), "1 to fleet.cells"));
            }
            if title.manifest.is_some() {
                if title.duration_ms > 0 || title.segment_ms > 0 || title.live.is_some() {
                    let found = "duration_ms, segment_ms or live in addition".to_string();
                    return Err((path("manifest"), found, "either a manifest, or these keys"));
                }
                continue;
            }
            if (title.duration_ms == 0 && title.live.is_none()) || title.duration_ms > MAX_TITLE_MS {
                return Err((path("duration_ms"), title.duration_ms.to_string(), "1 to 86400000"));
            }
            let max_segment_ms = if title.duration_ms == 0 { MAX_TITLE_MS } else { title.duration_ms };
            if title.segment_ms == 0 || title.segment_ms > max_segment_ms {
                return Err((
                    path("segment_ms"),
                    title.segment_ms.to_string(),
                    "1 to duration_ms, or to 86400000 if that is 0",
                ));
            }
            if let Some(live) = title.live {
                if live.from_ms > MAX_TIME_MS {
                    return Err((path("live.from_ms"), live.from_ms.to_string(), "a time in ms since 1970"));
                }
                if live.update_ms == 0 || live.update_ms > MAX_TITLE_MS {
                    return Err((path("live.update_ms"), live.update_ms.to_string(), "1 to 86400000"));
                }
                if live.window_ms < title.segment_ms || live.window_ms > MAX_TITLE_MS {
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

    /// The servers in the form that the dispatcher expects, each with its number, which `index` returns.
    pub fn entries(
        &self,
        context: &ListContext,
        mut index: impl FnMut(&Server) -> u32,
    ) -> Vec<(u32, Listing)> {
        let position = |names: &[&str], name: &str| names.iter().position(|n| *n == name).unwrap_or(0);
        let zones: Vec<&str> = context.zones.iter().map(String::as_str).collect();
        let entry = |server: &Server| {
            let listing = Listing {
                server: 0,
                zone: position(&zones, &server.zone),
                kind: position(&context.kinds, &server.kind),
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
        self.servers.iter().map(entry).collect()
    }
}

/// A file, or several files that belong together, polled for replacement.
pub struct WatchedFiles {
    /// While the first file is missing, no file counts as replaced.
    files: Vec<PathBuf>,
    /// Inode, size and modification time of each file at the last check; none for a missing file.
    last_seen: Vec<Option<(u64, u64, i64, i64)>>,
    /// Why the current content was refused, and whether it is to be read again although it was not replaced; none if it
    /// was not refused.
    refusal: Option<(String, bool)>,
}

impl WatchedFiles {
    /// Watches a single file.
    pub fn new(file: PathBuf) -> WatchedFiles {
        WatchedFiles { files: vec![file], last_seen: Vec::new(), refusal: None }
    }

    /// Watches the files of these names in a folder.
    pub fn in_folder(folder: &Path, names: &[&str]) -> WatchedFiles {
        WatchedFiles {
            files: names.iter().map(|name| folder.join(name)).collect(),
            last_seen: Vec::new(),
            refusal: None,
        }
    }

    /// The watched file; the first one if there are several.
    pub fn first_file(&self) -> &Path {
        &self.files[0]
    }

    /// Whether a file was replaced, added or removed since the last check, or the files are to be read again. Always
    /// false while the first file is missing. Call this before the files are read, so that a replacement during the
    /// read is seen at the next check.
    pub fn check_replaced(&mut self) -> bool {
        let file_version = |file: &PathBuf| {
            let meta = std::fs::metadata(file).ok()?;
            Some((meta.ino(), meta.size(), meta.mtime(), meta.mtime_nsec()))
        };
        let current: Vec<_> = self.files.iter().map(file_version).collect();
        if current[0].is_none() {
            return false;
        }
        if current != self.last_seen {
            (self.last_seen, self.refusal) = (current, None);
            return true;
        }
        self.refusal.as_ref().is_some_and(|(_, reread)| *reread)
    }

    /// Records that the content was refused. With `reread` the files are read again at each check, even if they were
    /// not replaced, because the cause may lie outside these files. Returns true if this cause is to be logged: once.
    pub fn record_refusal(&mut self, cause: &impl ToString, reread: bool) -> bool {
        let cause = cause.to_string();
        let is_logged = self.refusal.as_ref().is_some_and(|(logged, _)| *logged == cause);
        self.refusal = Some((cause, reread));
        !is_logged
    }

    /// Records that the content was accepted.
    pub fn record_acceptance(&mut self) {
        self.refusal = None;
    }

    /// Makes the next check report a replacement, if the first file exists.
    pub fn force_reread(&mut self) {
        self.last_seen.clear();
    }
}
