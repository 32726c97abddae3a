//! Scenario files: the servers, the products, the players who arrive, and the faults that are injected. Times are in ms
//! unless the name says seconds (`_s`, `seconds`); rates are in kB/s. The names of fields and variants are those of the
//! files (examples/*.jsonnet).

use pulleystair_fake_servers::model::{ServerFleetSpec, ServerSpec};
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use pulleystair_rule_checker::rules::{self, RuleParams};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A scenario, as read from its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the random draws of the lab, the fake servers and the fronts.
    pub seed: u64,
    /// For how long players arrive, in seconds.
    pub seconds: f64,
    /// Number of fronts. Their zones are assigned in rotation.
    pub fronts: usize,
    /// Names of the zones. The zones of servers are assigned in rotation.
    pub zones: Vec<String>,
    pub fleet: Fleet,
    /// The rungs, from the lowest rate to the highest.
    pub ladder: Vec<Rung>,
    pub products: Vec<Product>,
    pub rules: Rules,
    pub players: Players,
    /// The faults that are injected.
    #[serde(default)]
    pub troubles: Vec<FaultEvent>,
    /// Limits of the fronts, as in a front's configuration file.
    #[serde(default)]
    pub limits: serde_json::Map<String, serde_json::Value>,
    /// Retries of segment reads, as in a front's configuration file.
    #[serde(default)]
    pub reads: serde_json::Map<String, serde_json::Value>,
    /// Limits of concurrent set-ups of a front, as in its configuration file.
    #[serde(default)]
    pub admission: serde_json::Map<String, serde_json::Value>,
    /// Settings of the state that fronts share over relays, as in a front's configuration file; without it they share
    /// none.
    pub sharing: Option<serde_json::Map<String, serde_json::Value>>,
    /// Players, fronts and servers use TLS, with certificates of an authority of the lab.
    #[serde(default)]
    pub tls: bool,
}

/// The media servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of servers. Each is the only one of its cell, which is the set of servers that hold the same titles.
    pub servers: usize,
    /// Number of racks. Servers are assigned to racks in rotation.
    pub racks: usize,
    /// Number of cores of a server that work on set-ups.
    pub cores: usize,
    /// Number of set-ups that may wait for a core at a server.
    pub queue: usize,
    /// Maximum number of concurrent plays of a server.
    pub streams: usize,
    /// Capacity of the link of a server, kB/s.
    pub link_kb: f64,
    /// Capacity of the uplink of a rack, kB/s.
    pub rack_link_kb: f64,
    /// True capacities and rates differ by up to this part from those in the fronts' configuration (rates by half of
    /// it).
    pub spread: f64,
    /// Median work of a set-up, ms.
    pub work_ms: f64,
    /// Spread of the work of a set-up: sigma of a log-normal distribution.
    pub work_spread: f64,
    /// Part of its rate that each further viewer of a live title adds to the load.
    #[serde(default = "one")]
    pub shared_part: f64,
    /// Delay of the load in servers' response headers.
    pub reports_late_ms: f64,
    /// Delay of the load in notes.
    pub notes_late_ms: f64,
    /// Interval of link notes.
    pub notes_every_ms: f64,
    /// How long it takes until the list shows a lost server as gone.
    pub list_late_ms: f64,
    /// How long after its connection broke a play is freed.
    pub lease_ms: f64,
}

/// A rung of the ladder: its rate, and what a second on it earns.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    pub rate_kb: f64,
    pub earns: f64,
}

/// A product with its titles and its share of the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    /// Weight of its plays, relative to the other products.
    pub importance: f64,
    /// Time after the request within which a play counts as set up in time.
    pub first_frame_target_ms: f64,
    /// Time after the request within which the front must respond.
    pub time_limit_ms: f64,
    /// Whether a set-up may be repeated.
    #[serde(default)]
    pub effect: Effect,
    /// The servers among which a set-up with an idempotency key may be repeated.
    #[serde(default)]
    pub repeat_group: Group,
    /// For how long such a set-up may be repeated.
    #[serde(default)]
    pub repeat_window_ms: f64,
    /// Lowest rung, as an index of the ladder.
    #[serde(default)]
    pub floor: usize,
    /// Highest rung, as an index of the ladder; the highest of the ladder if absent.
    pub top: Option<usize>,
    /// Factor of its rates relative to those of the ladder.
    #[serde(default = "one")]
    pub scale: f64,
    /// Whether its titles are live, so that viewers at one server share a stream.
    #[serde(default)]
    pub live: bool,
    /// Maximum number of concurrent plays of a title at one front; 0 if unlimited.
    #[serde(default)]
    pub seats: usize,
    /// Share of the new plays, relative to the sum over all products.
    pub part: f64,
    /// Number of titles.
    pub titles: usize,
    /// Number of servers that hold each title.
    pub holders: usize,
    /// Shortest and longest title, in seconds.
    pub seconds: (f64, f64),
}

/// Whether a set-up may be repeated: freely, within its group and window, or only if the earlier one did not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    #[default]
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// The servers among which a set-up may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

/// Parameters of the rules, and of servers that fail under overload during a cold start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How long after a server was listed as not ready set-ups may still be sent to it.
    pub drain_grace_ms: f64,
    /// How long a cold server needs to warm up.
    pub cold_ms: f64,
    /// Part of its capacity that a server has at a cold start.
    pub cold_from: f64,
    /// A cold server is overloaded when set-ups arrive this many times as fast as would fill its streams within
    /// `cold_ms`.
    pub overload_factor: f64,
    /// Length of the window over which set-ups at a cold server are counted.
    pub fall_ms: f64,
    /// How long a server that failed under overload stays down.
    pub down_ms: f64,
    /// Maximum number of allocations of a play.
    pub allocations: usize,
    /// Budget of further allocations of each front; none if it is unlimited.
    pub budget: Option<Budget>,
    /// Longest Retry-After that fronts give; 0 for none.
    #[serde(default)]
    pub retry_after_ms: f64,
    /// Whether fronts may probe servers.
    #[serde(default)]
    pub probes: bool,
}

/// Budget of further allocations of a front.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Length of the span.
    pub span_ms: f64,
    /// Further allocations allowed in a span, as a share of the plays.
    pub share: f64,
    /// Further allocations allowed in a span in addition to that share.
    pub free: f64,
}

/// The load that the players generate. Parts are from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Players {
    /// New plays per second over all fronts.
    pub per_s: f64,
    /// Part of the failures after which a player returns.
    pub come_back: f64,
    /// Part of the plays that the player leaves half-way through the title.
    pub leave: f64,
    /// Part of the manifest requests that players send twice at once.
    pub ask_twice: f64,
    /// Part of the manifest requests after which the player closes the connection if there is no response within a time
    /// below 30 ms, and requests again.
    pub ask_again: f64,
    /// Part of viewers who cannot use the upper half of the ladder.
    pub small: f64,
    /// Duration of a segment.
    pub segment_ms: u64,
}

/// A fault that is injected at `at_s` and lasts for `length_s`, in seconds since the start of the run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    pub kind: FaultKind,
    pub at_s: f64,
    pub length_s: f64,
    /// Part of the servers (or racks, or fronts) that it affects.
    #[serde(default)]
    pub part: f64,
    /// Severity of the fault; its meaning depends on the kind, see [`FaultKind`].
    #[serde(default = "one")]
    pub size: f64,
}

/// The kinds of faults. `size` and `part` are the fields of [`FaultEvent`], and the duration is its `length_s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes end, and start again cold after the duration.
    Crash,
    /// Servers accept requests and never respond.
    Silence,
    /// A part of `size` of the set-ups fails at once.
    FastErrors,
    /// A part of `size` of the responses is lost after the work: half of them by silence, half by a reset.
    LostAnswers,
    /// A part of `size` of the responses breaks off within the head.
    HalfHeads,
    /// A part of `size` of the segments breaks off half-way.
    CutSegments,
    /// A part of `size` of the segments stalls half-way.
    StallSegments,
    /// Work slows down gradually by a factor of up to `size`; then the process ends and starts again cold.
    SlowDeath,
    /// The capacity of links is divided by `size`.
    LinkLoss,
    /// The capacity of the uplinks of a part of the racks is divided by `size`.
    UplinkLoss,
    /// Another program uses a part of `size` of the links, every other second.
    Neighbour,
    /// Load reports and notes are delayed by another `size` seconds.
    LateReports,
    /// Servers drain for half of the duration, are down for the other half, and start again cold.
    Drain,
    /// Servers drain and restart one after another over the duration, each down for up to `size` seconds.
    Rolling,
    /// The processes of all servers of a zone end at once, and start again cold after the duration.
    ZoneLoss,
    /// A front is killed, and started again after the duration.
    FrontDeath,
    /// In the exchange between fronts, a part of `size` of the datagrams is lost, a part of `size` is duplicated, and
    /// all are delayed.
    ExchangeLoss,
    /// A part of the fronts and the others cannot exchange datagrams.
    ExchangeSplit,
    /// A part of the fronts can send datagrams to the others, but receives none.
    ExchangeDeaf,
    /// Token keys, and certificates if TLS is used, are replaced `size` times over the duration.
    Renew,
    /// New plays arrive at `size` times the usual rate.
    Surge,
    /// In addition to the usual plays, `size` times as many arrive, all for one title of the first product.
    Crowd,
}

/// Default of factors and parts.
fn one() -> f64 {
    1.0
}

impl Scenario {
    /// Reads a scenario file and checks its values.
    pub fn load(file: &Path) -> Result<Scenario, LoadError> {
        let scenario: Scenario = load(file)?;
        scenario
            .validate()
            .map_err(|(setting, found, allowed)| invalid_value(file, &setting, found, allowed))?;
        Ok(scenario)
    }

    /// Checks ranges of values. The error names the setting, the value found and what is allowed.
    fn validate(&self) -> Result<(), (String, String, &'static str)> {
        let counts = [
            ("fronts", self.fronts),
            ("zones", self.zones.len()),
            ("fleet.servers", self.fleet.servers),
            ("fleet.racks", self.fleet.racks),
            ("ladder", self.ladder.len()),
            ("products", self.products.len()),
        ];
        for (path, count) in counts {
            if count == 0 || count > 10_000 {
                return Err((path.into(), count.to_string(), "1 to 10000"));
            }
        }
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return Err(("seconds".into(), self.seconds.to_string(), "a time up to a day"));
        }
        if !(self.players.per_s > 0.0 && self.players.per_s <= 100_000.0) {
            return Err(("players.per_s".into(), self.players.per_s.to_string(), "a rate up to 100000"));
        }
        for (i, product) in self.products.iter().enumerate() {
            if product.holders == 0 || product.holders > self.fleet.servers {
                let found = product.holders.to_string();
                return Err((format!("products[{i}].holders"), found, "1 to fleet.servers"));
            }
            if product.titles == 0 || product.titles > 10_000 {
                let found = product.titles.to_string();
                return Err((format!("products[{i}].titles"), found, "1 to 10000"));
            }
            if !(product.seconds.0 > 0.0 && product.seconds.1 >= product.seconds.0) {
                let found = format!("{:?}", product.seconds);
                return Err((format!("products[{i}].seconds"), found, "shortest and longest, above 0"));
            }
        }
        for (i, fault) in self.troubles.iter().enumerate() {
            if !(fault.at_s >= 0.0 && fault.length_s > 0.0 && (0.0..=1.0).contains(&fault.part)) {
                let found = serde_json::to_string(fault).unwrap_or_default();
                return Err((format!("troubles[{i}]"), found, "times from 0, a part from 0 to 1"));
            }
        }
        Ok(())
    }

    /// The zone of a server.
    pub fn zone_of(&self, server: usize) -> usize {
        server % self.zones.len()
    }

    /// The true properties of the servers, which differ from the fronts' configuration by the spread.
    pub fn server_specs(&self) -> Vec<ServerSpec> {
        let mut rng = StdRng::seed_from_u64(self.seed ^ 0xb111d);
        let mut vary = |x: f64| x * (1.0 + self.fleet.spread * (2.0 * rng.random::<f64>() - 1.0));
        (0..self.fleet.servers)
            .map(|server| ServerSpec {
                zone: self.zone_of(server),
                cell: server,
                cores: self.fleet.cores,
                queue: self.fleet.queue,
                streams: self.fleet.streams,
                link_kb: vary(self.fleet.link_kb),
                work_ms: self.fleet.work_ms,
                work_spread: self.fleet.work_spread,
            })
            .collect()
    }

    /// The true common properties of the servers.
    pub fn server_fleet_spec(&self) -> ServerFleetSpec {
        let mut rng = StdRng::seed_from_u64(self.seed ^ 0x94a2);
        let mut vary = |x: f64| x * (1.0 + self.fleet.spread * (2.0 * rng.random::<f64>() - 1.0));
        ServerFleetSpec {
            ladder: self.ladder.iter().map(|r| r.rate_kb).collect(),
            uplinks_kb: (0..self.fleet.racks).map(|_| vary(self.fleet.rack_link_kb)).collect(),
            shared_part: self.fleet.shared_part,
            rate_spread: self.fleet.spread / 2.0,
            reports_late_ms: self.fleet.reports_late_ms,
            notes_late_ms: self.fleet.notes_late_ms,
            notes_every_ms: self.fleet.notes_every_ms,
            cold_ms: self.rules.cold_ms,
            cold_from: self.rules.cold_from,
            overload_factor: self.rules.overload_factor,
            overload_window_ms: self.rules.fall_ms,
            down_ms: self.rules.down_ms,
            lease_ms: self.fleet.lease_ms,
        }
    }

    /// The parameters that the rule checker uses for the run.
    pub fn rule_params(&self) -> RuleParams {
        let product_params = |p: &Product| rules::Product {
            limit: p.time_limit_ms,
            effect: match p.effect {
                Effect::ReadLike => rules::Effect::Free,
                Effect::NonIdempotent => rules::Effect::Paid,
                Effect::IdempotencyKey => rules::Effect::Keyed {
                    group: match p.repeat_group {
                        Group::All => rules::Group::All,
                        Group::Zone => rules::Group::Zone,
                        Group::Cell => rules::Group::Cell,
                    },
                    window: p.repeat_window_ms,
                },
            },
            floor: p.floor,
            top: p.top.unwrap_or(self.ladder.len() - 1),
            seats: p.seats,
        };
        let servers = 0..self.fleet.servers;
        RuleParams {
            products: self.products.iter().map(product_params).collect(),
            drain_grace: self.rules.drain_grace_ms,
            cold: self.rules.cold_ms,
            cold_from: self.rules.cold_from,
            overload: self.rules.overload_factor,
            overload_window: self.rules.fall_ms,
            streams: vec![self.fleet.streams as f64; self.fleet.servers],
            zones: servers.clone().map(|s| self.zone_of(s)).collect(),
            cells: servers.collect(),
            budget: self.rules.budget.as_ref().map(|b| rules::Budget {
                span: b.span_ms,
                share: b.share,
                free: b.free,
            }),
            list_delay: 100.0,
            slack: 150.0,
        }
    }
}
