//! A day's script: the fleet, the products, the players who come and what goes wrong when. Times in the
//! script are ms or, where the name says so, s; rates are kB a second.

use pulleystair_fake_servers::model::{ServerFleetSpec, ServerSpec};
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use pulleystair_rule_checker::rules::{self, RuleParams};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::path::Path;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: f64,
    pub fronts: usize,
    pub zones: Vec<String>,
    pub fleet: Fleet,
    pub ladder: Vec<Rung>,
    pub products: Vec<Product>,
    pub rules: Rules,
    pub players: Players,
    #[serde(default)]
    pub troubles: Vec<FaultEvent>,
    /// Limits of the fronts, as in a front's rundown.
    #[serde(default)]
    pub limits: serde_json::Map<String, serde_json::Value>,
    /// Repeated reads of segments, likewise.
    #[serde(default)]
    pub reads: serde_json::Map<String, serde_json::Value>,
    /// How many set-ups a front has out at once, likewise.
    #[serde(default)]
    pub admission: serde_json::Map<String, serde_json::Value>,
    /// Fronts share what they know, over relays; how, as in a front's rundown. Left out, they don't.
    pub sharing: Option<serde_json::Map<String, serde_json::Value>>,
    /// Players, fronts and servers speak TLS, each with a certificate of the laboratory's own authority.
    #[serde(default)]
    pub tls: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Each server is a cell of its own.
    pub servers: usize,
    pub racks: usize,
    pub cores: usize,
    pub queue: usize,
    pub streams: usize,
    pub link_kb: f64,
    pub rack_link_kb: f64,
    /// Links, uplinks and true rates lie off what fronts are told by up to this part.
    pub spread: f64,
    pub work_ms: f64,
    pub work_spread: f64,
    #[serde(default = "one")]
    pub shared_part: f64,
    pub reports_late_ms: f64,
    pub notes_late_ms: f64,
    pub notes_every_ms: f64,
    /// How long until the list tells of a server that is lost.
    pub list_late_ms: f64,
    pub lease_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    pub rate_kb: f64,
    pub earns: f64,
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
    #[serde(default)]
    pub repeat_group: Group,
    #[serde(default)]
    pub repeat_window_ms: f64,
    #[serde(default)]
    pub floor: usize,
    pub top: Option<usize>,
    #[serde(default = "one")]
    pub scale: f64,
    #[serde(default)]
    pub live: bool,
    #[serde(default)]
    pub seats: usize,
    /// Part of the new plays, its titles and by how many servers each is held, and how long they are, s.
    pub part: f64,
    pub titles: usize,
    pub holders: usize,
    pub seconds: (f64, f64),
}

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
pub struct Rules {
    pub drain_grace_ms: f64,
    pub cold_ms: f64,
    pub cold_from: f64,
    pub overload_factor: f64,
    pub fall_ms: f64,
    pub down_ms: f64,
    pub allocations: usize,
    pub budget: Option<Budget>,
    #[serde(default)]
    pub retry_after_ms: f64,
    #[serde(default)]
    pub probes: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub span_ms: f64,
    pub share: f64,
    pub free: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Players {
    /// New plays a second over all fronts.
    pub per_s: f64,
    /// Parts of players who come again after a break or a decline, leave in the middle, ask twice at once, and
    /// close while they wait and ask again.
    pub come_back: f64,
    pub leave: f64,
    pub ask_twice: f64,
    pub ask_again: f64,
    /// Part of viewers who can't use the upper half of the ladder.
    pub small: f64,
    pub segment_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEvent {
    pub kind: FaultKind,
    pub at_s: f64,
    pub length_s: f64,
    /// Part of the servers (or racks, zones, titles) that it befalls.
    #[serde(default)]
    pub part: f64,
    /// How bad; what it means goes by the kind, see `Kind`.
    #[serde(default = "one")]
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Processes end, and come back cold after the length.
    Crash,
    /// Servers take requests and answer none.
    Silence,
    /// So large a part of the set-ups fails at once.
    FastErrors,
    /// So large a part of the answers is lost after the work: half by silence, half by a reset.
    LostAnswers,
    /// So large a part of the answers breaks off within its head.
    HalfHeads,
    /// So large a part of the segments breaks off half-way, or stalls there.
    CutSegments,
    StallSegments,
    /// Work takes up to so many times as long, more and more, then the process ends and comes back cold.
    SlowDeath,
    /// Links carry so much less.
    LinkLoss,
    /// Uplinks of a part of the racks carry so much less.
    UplinkLoss,
    /// Another program takes so large a part of the links, on and off each second.
    Neighbour,
    /// Reports and notes come later by so many seconds.
    LateReports,
    /// Servers drain; the process ends after the length and comes back cold.
    Drain,
    /// The same, one server after another over the length, each down for `size` seconds.
    Rolling,
    /// All servers of a zone are lost at once.
    ZoneLoss,
    /// A front is killed, and started again after the length.
    FrontDeath,
    /// The exchange between fronts loses so large a part of its datagrams, doubles as large a part, and is late.
    ExchangeLoss,
    /// Fronts of one side, so large a part of them, and the others don't hear each other.
    ExchangeSplit,
    /// So large a part of the fronts is heard, and hears nothing.
    ExchangeDeaf,
    /// Token keys, and certificates where there are any, are replaced so many times over the length.
    Renew,
    /// So many times the usual new plays come.
    Surge,
    /// So many times the usual new plays come, all for one title of the first product.
    Crowd,
}

fn one() -> f64 {
    1.0
}

impl Scenario {
    pub fn read(file: &Path) -> Result<Scenario, LoadError> {
        let scenario: Scenario = load(file)?;
        scenario
            .validate()
            .map_err(|(setting, found, allowed)| invalid_value(file, &setting, found, allowed))?;
        Ok(scenario)
    }

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

    pub fn zone_of(&self, server: usize) -> usize {
        server % self.zones.len()
    }

    /// The servers as they are built, off what fronts are told by the spread.
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

    /// What the checker holds the run to.
    pub fn terms(&self) -> RuleParams {
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
