//! The rundown: all that a front is given at start, as a Jsonnet file. Read and checked here, shown by
//! `pulleystair-edge show`, and turned into the decisions' call sheet at one place, [`Rundown::call_sheet`].
//! Times are ms, rates kB a second, sizes bytes.

use pulleystair::{CallSheet, Value};
use pulleystair_admission::{limit, queue, reads};
use pulleystair_dash::address;
use pulleystair_dash::token::Ring;
use pulleystair_templates::{Fault, load, refused};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rundown {
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

/// The keys in service, as a file that may be replaced while plays run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    pub entry: Vec<KeyFile>,
    pub pass: Vec<KeyFile>,
    /// Sessions that are to end, and may not come again.
    #[serde(default)]
    pub revoked: Vec<String>,
}

/// Sessions that may be revoked at once.
const MOST_REVOKED: usize = 100_000;

/// Keys by their ids.
type Secrets = Vec<(String, Vec<u8>)>;

impl Keys {
    /// Reads the file, and the secrets that it names from its folder: those of entries and those of passes.
    pub fn read(file: &Path) -> Result<(Keys, Secrets, Secrets), Fault> {
        let keys: Keys = load(file)?;
        if keys.revoked.len() > MOST_REVOKED {
            let found = format!("{} of them", keys.revoked.len());
            return Err(refused(file, "revoked", found, "at most 100000"));
        }
        let folder = file.parent().unwrap_or(Path::new(""));
        let secrets = |path: &str, keys: &[KeyFile]| {
            let fault = |cause| Fault::Value { file: file.display().to_string(), path: path.into(), cause };
            let secrets = secrets(folder, keys).map_err(fault)?;
            Ring::new(&secrets).map_err(|e| fault(e.to_string()))?;
            Ok(secrets)
        };
        let (entry, pass) = (secrets("entry", &keys.entry)?, secrets("pass", &keys.pass)?);
        Ok((keys, entry, pass))
    }
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

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of players; further ones are answered 503 and closed.
    pub connections: usize,
    /// A request's line and headers.
    pub header_bytes: usize,
    /// Time to send them, from the first byte; and how long a connection may be idle between requests.
    pub header_ms: f64,
    pub idle_ms: f64,
    /// A reader must take an answer within this, plus the answer's size over this rate.
    pub slow_reader_ms: f64,
    pub slow_reader_kb: f64,
    /// Socket send buffer towards players; 0 leaves it to the system.
    pub send_buffer_bytes: usize,
    /// Bytes of a relayed answer that wait for a player before reading on from the server.
    pub relay_bytes: usize,
    /// Plays being decided, plays held in all, and sessions known in all (those that ended included).
    pub deciding: usize,
    pub plays: usize,
    pub sessions: usize,
    /// Requests that may wait on one session's answer, and reads of one play's segments at once.
    pub waiters: usize,
    pub fetches: usize,
    /// A pass opens its play only from the address that asked for it. Viewers behind changing addresses lose theirs.
    pub same_address: bool,
    /// Connections for segments, steps and probes to one server, and errands that may wait for one.
    pub server_connections: usize,
    pub server_queue: usize,
    /// An idle connection to a server is closed after this.
    pub server_idle_ms: f64,
    /// A connection to a server must be there within this, and a segment come on within that.
    pub dial_ms: f64,
    pub segment_ms: f64,
    /// A play without requests for so long has ended; how long an ended one's answer is kept.
    pub play_idle_ms: f64,
    pub remember_ms: f64,
    /// A viewer whose connection closed while the set-up is out may come back for its answer within this.
    pub come_back_ms: f64,
    /// How often the files of the list, and those of keys and certificates, are looked at.
    pub list_poll_ms: f64,
    pub keys_poll_ms: f64,
    /// A session token opens its play for so long after its last use; clocks may be so far apart; a key that was
    /// taken out is read for so long.
    pub pass_ms: f64,
    pub skew_ms: f64,
    pub key_overlap_ms: f64,
    /// A certificate that runs out within this is told of in the log.
    pub expiry_ms: f64,
    /// How often what was done since the start is written to the log, where that has changed.
    pub tally_ms: f64,
    /// After a signal to stop, plays may run on for so long.
    pub stop_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_bytes: 8192,
            header_ms: 5_000.0,
            idle_ms: 30_000.0,
            slow_reader_ms: 10_000.0,
            slow_reader_kb: 20.0,
            send_buffer_bytes: 0,
            relay_bytes: 256 << 10,
            deciding: 1024,
            plays: 10_000,
            sessions: 40_000,
            waiters: 8,
            fetches: 16,
            same_address: false,
            server_connections: 64,
            server_queue: 256,
            server_idle_ms: 20_000.0,
            dial_ms: 250.0,
            segment_ms: 5_000.0,
            play_idle_ms: 15_000.0,
            remember_ms: 30_000.0,
            come_back_ms: 500.0,
            list_poll_ms: 50.0,
            keys_poll_ms: 500.0,
            pass_ms: 60_000.0,
            skew_ms: 5_000.0,
            key_overlap_ms: 120_000.0,
            expiry_ms: 7.0 * 86_400_000.0,
            tally_ms: 10_000.0,
            stop_ms: 10_000.0,
        }
    }
}

/// Reads of segments that fail are repeated, or taken up where they broke off: so often each, while the player is
/// thought to wait, and at each server within any span so many free plus a share of its first tries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reads {
    pub tries: usize,
    pub patience_ms: f64,
    pub span_ms: f64,
    pub share: f64,
    pub free: f64,
}

impl Default for Reads {
    fn default() -> Reads {
        Reads { tries: 3, patience_ms: 8_000.0, span_ms: 10_000.0, share: 0.1, free: 8.0 }
    }
}

impl Reads {
    pub fn terms(&self) -> reads::Terms {
        reads::Terms { tries: self.tries, span: self.span_ms, share: self.share, free: self.free }
    }
}

/// How many set-ups may be out at once, adapted to their delay, and who waits meanwhile.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    pub least: f64,
    pub most: f64,
    /// Delay may grow by this factor and so much more before the limit gives way; so many outcomes make a sample.
    pub tolerance: f64,
    pub slack_ms: f64,
    pub sample: usize,
    /// Plays that may wait; from this wait of the oldest on the newest come first; whoever has no more time left
    /// than the reserve is told at once.
    pub queue: usize,
    pub crowded_ms: f64,
    pub reserve_ms: f64,
    /// While this front's own loop is behind by more than this, it takes no further plays; and no more set-ups are
    /// out than it could decide on once more within that time.
    pub behind_ms: f64,
    pub work_ms: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            least: 4.0,
            most: 1_000.0,
            tolerance: 2.0,
            slack_ms: 20.0,
            sample: 20,
            queue: 1_000,
            crowded_ms: 200.0,
            reserve_ms: 300.0,
            behind_ms: 50.0,
            work_ms: 200.0,
        }
    }
}

impl Admission {
    pub fn limit(&self) -> limit::Terms {
        let Admission { least, most, tolerance, slack_ms: slack, sample, work_ms: work, .. } = *self;
        limit::Terms { least, most, tolerance, slack, sample, work }
    }

    pub fn queue(&self) -> queue::Terms {
        queue::Terms { most: self.queue, crowded: self.crowded_ms }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    pub kid: String,
    /// The secret's bytes, a line end after them left out; from the folder of the file that names it.
    pub file: PathBuf,
}

fn one() -> f64 {
    1.0
}

impl Rundown {
    /// Reads and checks a rundown; its paths come out relative to where the file is.
    pub fn read(file: &Path) -> Result<Rundown, Fault> {
        let mut it: Rundown = load(file)?;
        it.check().map_err(|(path, found, allowed)| refused(file, &path, found, allowed))?;
        let folder = file.parent().unwrap_or(Path::new(""));
        it.list = folder.join(&it.list);
        it.keys = it.keys.map(|keys| folder.join(keys));
        it.homes = it.homes.map(|homes| folder.join(homes));
        it.tls.players = it.tls.players.map(|tls| folder.join(tls));
        it.tls.servers = it.tls.servers.map(|tls| folder.join(tls));
        for key in it.entry_keys.iter_mut().chain(&mut it.pass_keys) {
            key.file = folder.join(&key.file);
        }
        if it.keys.is_some() && !(it.entry_keys.is_empty() && it.pass_keys.is_empty()) {
            return Err(refused(file, "keys", "entry_keys or pass_keys beside it", "either, not both"));
        }
        let fault =
            |path: &str, cause| Fault::Value { file: file.display().to_string(), path: path.into(), cause };
        it.rings().map_err(|(path, cause)| fault(path, cause))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        if let Some(folder) = &it.tls.players {
            pulleystair_tls::players(folder, now).map_err(|e| fault("tls.players", e.to_string()))?;
        }
        if let Some(folder) = &it.tls.servers {
            pulleystair_tls::servers(folder, now).map_err(|e| fault("tls.servers", e.to_string()))?;
        }
        Ok(it)
    }

    /// The first value that can't be: its path, what it is, what is allowed.
    fn check(&self) -> Result<(), (String, String, &'static str)> {
        let positive = |path: &str, x: f64| {
            let good = x.is_finite() && x > 0.0 && x <= 1e12;
            good.then_some(()).ok_or((path.to_string(), x.to_string(), "a number above 0"))
        };
        let from_0 = |path: &str, x: f64| {
            let good = x.is_finite() && (0.0..=1e12).contains(&x);
            good.then_some(()).ok_or((path.to_string(), x.to_string(), "a number from 0"))
        };
        let part = |path: &str, x: f64| {
            let good = (0.0..=1.0).contains(&x);
            good.then_some(()).ok_or((path.to_string(), x.to_string(), "a number from 0 to 1"))
        };
        let count = |path: &str, n: usize, most: usize| {
            let good = n > 0 && n <= most;
            good.then_some(()).ok_or((
                path.to_string(),
                n.to_string(),
                "a whole number from 1, not that high",
            ))
        };
        let named = |path: String, name: &str| {
            let allowed = "1 to 64 letters, digits, - _ .";
            address::name(name).then_some(()).ok_or((path, format!("{name:?}"), allowed))
        };
        count("zones", self.zones.len(), 1000)?;
        if !self.zones.contains(&self.zone) {
            return Err(("zone".into(), format!("{:?}", self.zone), "one of zones"));
        }
        count("fronts", self.fronts, 100_000)?;
        if self.rank >= self.fronts {
            return Err(("rank".into(), self.rank.to_string(), "a whole number under fronts"));
        }
        count("ladder", self.ladder.len(), 64)?;
        for (i, rung) in self.ladder.iter().enumerate() {
            positive(&format!("ladder[{i}].rate_kb"), rung.rate_kb)?;
            from_0(&format!("ladder[{i}].earns"), rung.earns)?;
            if i > 0 && rung.rate_kb <= self.ladder[i - 1].rate_kb {
                let path = format!("ladder[{i}].rate_kb");
                return Err((path, rung.rate_kb.to_string(), "a rate above that of the rung before"));
            }
        }
        count("products", self.products.len(), 1000)?;
        for (i, product) in self.products.iter().enumerate() {
            let path = |name: &str| format!("products[{i}].{name}");
            named(path("name"), &product.name)?;
            if self.products[..i].iter().any(|p| p.name == product.name) {
                return Err((
                    path("name"),
                    format!("{:?}", product.name),
                    "a name that no other product has",
                ));
            }
            positive(&path("importance"), product.importance)?;
            positive(&path("first_frame_target_ms"), product.first_frame_target_ms)?;
            positive(&path("time_limit_ms"), product.time_limit_ms)?;
            if product.time_limit_ms < product.first_frame_target_ms {
                let found = product.time_limit_ms.to_string();
                return Err((path("time_limit_ms"), found, "a time no shorter than first_frame_target_ms"));
            }
            from_0(&path("repeat_window_ms"), product.repeat_window_ms)?;
            positive(&path("scale"), product.scale)?;
            for (name, rung) in [("floor", Some(product.floor)), ("top", product.top)] {
                if rung.is_some_and(|r| r >= self.ladder.len()) {
                    return Err((path(name), format!("{rung:?}"), "an index of the ladder"));
                }
            }
            if product.top.is_some_and(|top| top < product.floor) {
                return Err((path("top"), format!("{:?}", product.top), "a rung no lower than floor"));
            }
        }
        count("fleet.cells", self.fleet.cells, 65_536)?;
        count("fleet.racks", self.fleet.racks, self.fleet.cells)?;
        count("fleet.kinds", self.fleet.kinds.len(), 256)?;
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            named(format!("fleet.kinds[{i}].name"), &kind.name)?;
            count(&format!("fleet.kinds[{i}].streams"), kind.streams, 1_000_000)?;
        }
        positive("fleet.rack_link_kb", self.fleet.rack_link_kb)?;
        positive("fleet.link_unit_kb", self.fleet.link_unit_kb)?;
        positive("fleet.links_kb", self.fleet.links_kb)?;
        part("fleet.shared_part", self.fleet.shared_part)?;
        from_0("fleet.notes_late_ms", self.fleet.notes_late_ms)?;
        from_0("fleet.stall_cost", self.fleet.stall_cost)?;
        from_0("fleet.change_costs_s", self.fleet.change_costs_s)?;
        from_0("rules.drain_grace_ms", self.rules.drain_grace_ms)?;
        from_0("rules.cold_ms", self.rules.cold_ms)?;
        part("rules.cold_from", self.rules.cold_from)?;
        positive("rules.overload_factor", self.rules.overload_factor)?;
        count("rules.allocations", self.rules.allocations, 100)?;
        from_0("rules.retry_after_ms", self.rules.retry_after_ms)?;
        if let Some(budget) = &self.rules.budget {
            positive("rules.budget.span_ms", budget.span_ms)?;
            from_0("rules.budget.share", budget.share)?;
            from_0("rules.budget.free", budget.free)?;
        }
        from_0("prices.probe", self.prices.probe)?;
        from_0("prices.cross_zone", self.prices.cross_zone)?;
        positive("admission.least", self.admission.least)?;
        positive("admission.most", self.admission.most)?;
        if self.admission.most < self.admission.least {
            let found = self.admission.most.to_string();
            return Err(("admission.most".into(), found, "a number no lower than admission.least"));
        }
        if !(1.0..=100.0).contains(&self.admission.tolerance) {
            let found = self.admission.tolerance.to_string();
            return Err(("admission.tolerance".into(), found, "a number from 1 to 100"));
        }
        from_0("admission.slack_ms", self.admission.slack_ms)?;
        count("admission.sample", self.admission.sample, 100_000)?;
        count("admission.queue", self.admission.queue, 1_000_000)?;
        from_0("admission.crowded_ms", self.admission.crowded_ms)?;
        positive("admission.behind_ms", self.admission.behind_ms)?;
        positive("admission.work_ms", self.admission.work_ms)?;
        from_0("admission.reserve_ms", self.admission.reserve_ms)?;
        count("reads.tries", self.reads.tries, 100)?;
        positive("reads.patience_ms", self.reads.patience_ms)?;
        positive("reads.span_ms", self.reads.span_ms)?;
        from_0("reads.share", self.reads.share)?;
        from_0("reads.free", self.reads.free)?;
        let l = &self.limits;
        let counts = [
            ("connections", l.connections),
            ("header_bytes", l.header_bytes),
            ("relay_bytes", l.relay_bytes),
            ("deciding", l.deciding),
            ("plays", l.plays),
            ("sessions", l.sessions),
            ("waiters", l.waiters),
            ("fetches", l.fetches),
            ("server_connections", l.server_connections),
            ("server_queue", l.server_queue),
        ];
        for (name, n) in counts {
            count(&format!("limits.{name}"), n, 10_000_000)?;
        }
        let times = [
            ("header_ms", l.header_ms),
            ("idle_ms", l.idle_ms),
            ("slow_reader_ms", l.slow_reader_ms),
            ("slow_reader_kb", l.slow_reader_kb),
            ("server_idle_ms", l.server_idle_ms),
            ("dial_ms", l.dial_ms),
            ("segment_ms", l.segment_ms),
            ("play_idle_ms", l.play_idle_ms),
            ("remember_ms", l.remember_ms),
            ("come_back_ms", l.come_back_ms),
            ("list_poll_ms", l.list_poll_ms),
            ("keys_poll_ms", l.keys_poll_ms),
            ("pass_ms", l.pass_ms),
            ("key_overlap_ms", l.key_overlap_ms),
            ("expiry_ms", l.expiry_ms),
            ("stop_ms", l.stop_ms),
            ("tally_ms", l.tally_ms),
        ];
        for (name, x) in times {
            positive(&format!("limits.{name}"), x)?;
        }
        from_0("limits.skew_ms", l.skew_ms)?;
        if l.list_poll_ms > self.rules.drain_grace_ms {
            let allowed = "a time no longer than rules.drain_grace_ms";
            return Err(("limits.list_poll_ms".into(), l.list_poll_ms.to_string(), allowed));
        }
        Ok(())
    }

    /// The decisions' plain map. The only place where what is given here gets the names used there.
    pub fn call_sheet(&self) -> CallSheet {
        let mut sheet = CallSheet::new();
        let mut number = |name: &str, x: f64| {
            sheet.insert(name.to_string(), Value::Number(x));
        };
        let truth = |b: bool| if b { 1.0 } else { 0.0 };
        number("balancers", self.fronts as f64);
        number("rank", self.rank as f64);
        number("zone", self.zones.iter().position(|z| *z == self.zone).unwrap_or(0) as f64);
        number("ceilings.attempts_cap", self.rules.allocations as f64);
        number("ceilings.probes", truth(self.rules.probes));
        number("ceilings.retry_after", truth(self.rules.retry_after_ms > 0.0));
        number("ceilings.max_retry_after", self.rules.retry_after_ms);
        number("costs.cross_zone", self.prices.cross_zone);
        if self.prices.probe > 0.0 {
            number("costs.probe", self.prices.probe);
        }
        number("rules.cold", self.rules.cold_ms);
        number("rules.cold_from", self.rules.cold_from);
        number("rules.overload_factor", self.rules.overload_factor);
        if let Some(budget) = &self.rules.budget {
            number("rules.budget_span", budget.span_ms);
            number("rules.budget_share", budget.share);
            number("rules.free_resends", budget.free);
        }
        number("extra.cabinets", self.fleet.racks as f64);
        number("extra.places", self.fleet.cells as f64);
        number("extra.rack_link_kb", self.fleet.rack_link_kb);
        number("extra.link_unit_kb", self.fleet.link_unit_kb);
        number("extra.fleet_kb", self.fleet.links_kb);
        number("extra.join", self.fleet.shared_part);
        number("extra.seen_after", self.fleet.notes_late_ms);
        number("extra.stall_cost", self.fleet.stall_cost);
        number("extra.change_costs_s", self.fleet.change_costs_s);
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            number(&format!("extra.places_by_kind.{i}"), kind.streams as f64);
        }
        for (i, rung) in self.ladder.iter().enumerate() {
            number(&format!("extra.ladder_kb.{i}"), rung.rate_kb);
            number(&format!("extra.rung_worth.{i}"), rung.earns);
        }
        for (i, product) in self.products.iter().enumerate() {
            number(&format!("products.{i}.importance"), product.importance);
            number(&format!("products.{i}.first_frame_target"), product.first_frame_target_ms);
            number(&format!("products.{i}.repeat_window"), product.repeat_window_ms);
            number(&format!("extra.class_floor.{i}"), product.floor as f64);
            number(&format!("extra.top_by_class.{i}"), product.top.unwrap_or(self.ladder.len() - 1) as f64);
            number(&format!("extra.class_scale.{i}"), product.scale);
            number(&format!("extra.class_live.{i}"), truth(product.live));
            number(&format!("extra.seats.{i}"), product.seats as f64);
        }
        for (i, product) in self.products.iter().enumerate() {
            let effect = match product.effect {
                Effect::ReadLike => "read_like",
                Effect::IdempotencyKey => "idempotency_key",
                Effect::NonIdempotent => "non_idempotent",
            };
            let group = match product.repeat_group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            sheet.insert(format!("products.{i}.effect"), Value::Text(effect.into()));
            sheet.insert(format!("products.{i}.key_scope"), Value::Text(group.into()));
        }
        sheet
    }
}

/// Reads where players reach the fronts of a fleet, so many of them.
pub fn homes(file: &Path, fronts: usize) -> Result<Vec<String>, Fault> {
    let homes: Vec<String> = load(file)?;
    if homes.len() != fronts {
        return Err(refused(file, "homes", format!("{} of them", homes.len()), "one for each front"));
    }
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-.:[]".contains(&b);
    let bad = homes.iter().position(|at| at.is_empty() || at.len() > 255 || !at.bytes().all(plain));
    match bad {
        Some(i) => Err(refused(file, &format!("[{i}]"), format!("{:?}", homes[i]), "HOST or HOST:PORT")),
        None => Ok(homes),
    }
}

/// The secrets of keys, from their files; a line end after them is left out.
fn secrets(folder: &Path, keys: &[KeyFile]) -> Result<Secrets, String> {
    let read = |key: &KeyFile| {
        let file = folder.join(&key.file);
        let secret = std::fs::read(&file);
        let mut secret = secret.map_err(|e| format!("key {:?}: {}: {e}", key.kid, file.display()))?;
        while secret.last().is_some_and(|b| b"\r\n".contains(b)) {
            secret.pop();
        }
        Ok((key.kid.clone(), secret))
    };
    keys.iter().map(read).collect()
}

impl Rundown {
    /// The rings of entries and of passes, and the sessions revoked; a fault comes with its path.
    pub fn rings(&self) -> Result<(Ring, Ring, Vec<String>), (&'static str, String)> {
        let ring = |path, secrets: &Secrets| Ring::new(secrets).map_err(|e| (path, e.to_string()));
        if let Some(file) = &self.keys {
            let (keys, entry, pass) = Keys::read(file).map_err(|e| ("keys", e.to_string()))?;
            return Ok((ring("keys", &entry)?, ring("keys", &pass)?, keys.revoked));
        }
        let of = |path, keys: &[KeyFile]| {
            let secrets = secrets(Path::new(""), keys).map_err(|e| (path, e))?;
            ring(path, &secrets)
        };
        Ok((of("entry_keys", &self.entry_keys)?, of("pass_keys", &self.pass_keys)?, Vec::new()))
    }
}
