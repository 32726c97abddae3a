//! One front of the small world: what it is told, what it holds, and what its desk wants done.

use pulleystair::{Settings, Value};
use pulleystair_dispatcher::{Actions, Dispatcher};
use pulleystair_drift::Sections;
use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_fleet_member::{FleetConfig, FleetMember, GossipConfig};
use pulleystair_rule_checker::rules::{Budget, Effect, Group, Product, RuleParams};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

use crate::world::{COLD, FRONTS, LIMIT, SERVERS, STREAMS};

pub(crate) enum Deed {
    Chose(Vec<(u32, f64, f64)>),
    Send(u64, u32, usize, f64),
    Withdraw(u64),
    Step(u64, usize),
    Answer(u64, u16),
    Wake(u32, f64),
    Probe(u32),
}

#[derive(Default)]
pub(crate) struct Deeds(pub(crate) VecDeque<Deed>);

impl Actions for Deeds {
    fn record_candidates(&mut self, _: u64, odds: &[(u32, f64, f64)]) {
        self.0.push_back(Deed::Chose(odds.to_vec()));
    }
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.0.push_back(Deed::Send(play, server, rung, time_out));
    }
    fn withdraw(&mut self, play: u64) {
        self.0.push_back(Deed::Withdraw(play));
    }
    fn set_rung(&mut self, play: u64, rung: usize) {
        self.0.push_back(Deed::Step(play, rung));
    }
    fn probe(&mut self, server: u32) {
        self.0.push_back(Deed::Probe(server));
    }
    fn decline(&mut self, play: u64, _: f64) {
        self.0.push_back(Deed::Answer(play, 503));
    }
    fn fail(&mut self, play: u64) {
        self.0.push_back(Deed::Answer(play, 504));
    }
    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.0.push_back(Deed::Wake(mark, wait));
    }
    fn watch_list(&mut self) {}
}

pub(crate) struct Session {
    pub(crate) request: u64,
    pub(crate) product: usize,
    pub(crate) title: String,
    pub(crate) n: u32,
    pub(crate) at: Option<(usize, bool)>,
    pub(crate) sent: f64,
    pub(crate) answered: bool,
}

pub(crate) struct Front {
    pub(crate) desk: Dispatcher,
    pub(crate) fellow: FleetMember,
    pub(crate) sessions: BTreeMap<u64, Session>,
    pub(crate) rev: Option<u32>,
    pub(crate) asked: VecDeque<u16>,
    /// Its connection to each server: a new one after it was broken.
    pub(crate) lines: [u64; SERVERS],
    pub(crate) drawn: Vec<(u32, f64, f64)>,
}

pub(crate) fn name(front: usize) -> String {
    format!("f{front}")
}

pub(crate) fn sheet(rank: usize) -> Settings {
    let numbers = [
        ("balancers", FRONTS as f64),
        ("rank", rank as f64),
        ("extra.ladder_kb.0", 100.0),
        ("extra.ladder_kb.1", 200.0),
        ("extra.rung_worth.0", 0.5),
        ("extra.rung_worth.1", 1.0),
        ("extra.link_unit_kb", 2_000.0),
        ("extra.rack_link_kb", 12_000.0),
        ("extra.fleet_kb", 32_000.0),
        ("extra.places", SERVERS as f64),
        ("extra.places_by_kind.0", STREAMS),
        ("extra.seen_after", 300.0),
        ("extra.stall_cost", 7.0),
        ("extra.class_floor.1", 1.0),
        ("ceilings.probes", 1.0),
        ("costs.probe", 0.01),
        ("rules.cold", COLD),
        ("rules.cold_from", 0.3),
        ("rules.overload_factor", 2.0),
        ("rules.budget_share", 0.1),
        ("rules.budget_span", 5_000.0),
        ("rules.free_resends", 3.0),
    ];
    let mut sheet: Settings = numbers.iter().map(|(n, x)| ((*n).to_string(), Value::Number(*x))).collect();
    for (i, effect) in ["read_like", "non_idempotent", "idempotency_key"].iter().enumerate() {
        let texts = [("effect", *effect), ("key_scope", "zone")];
        let numbers = [("importance", 1.0), ("first_frame_target", 500.0), ("repeat_window", 900.0)];
        sheet.extend(texts.map(|(n, t)| (format!("products.{i}.{n}"), Value::Text(t.into()))));
        sheet.extend(numbers.map(|(n, x)| (format!("products.{i}.{n}"), Value::Number(x))));
    }
    sheet
}

pub(crate) fn terms() -> RuleParams {
    let product = |effect, floor| Product { limit: LIMIT, effect, floor, top: 1, seats: 0 };
    RuleParams {
        products: vec![
            product(Effect::Free, 0),
            product(Effect::Paid, 1),
            product(Effect::Keyed { group: Group::Zone, window: 900.0 }, 0),
        ],
        drain_grace: 300.0,
        cold: COLD,
        cold_from: 0.3,
        overload: 2.0,
        overload_window: 1_000.0,
        streams: vec![STREAMS; SERVERS],
        zones: (0..SERVERS).map(|s| s % 2).collect(),
        cells: (0..SERVERS).collect(),
        budget: Some(Budget { span: 5_000.0, share: 0.1, free: 3.0 }),
        // An answer of the name service may be lost: it is asked for every 150 ms.
        list_delay: 400.0,
        slack: 1.0,
    }
}

pub(crate) fn front(rank: usize, seed: u64) -> Front {
    let exchange = GossipConfig {
        fleet: "mutated".into(),
        name: name(rank),
        peers: (0..FRONTS).filter(|f| *f != rank).map(name).collect(),
        interval: 250.0,
        fan_out: 1,
        bytes_s: 64_000.0,
        doubted_after: 900.0,
        unheard_after: 1_600.0,
    };
    let share = FleetConfig {
        gossip: exchange,
        zone: rank % 2,
        zones: vec!["z0".into(), "z1".into()],
        lease_ms: 600.0,
        further_s: 50.0,
        probes_s: 50.0,
        alarm_delay: 0.0,
        stricter: false,
        bucket: 60_000.0,
        max_set_up: LIMIT,
    };
    let sections = Sections::from([("rules".into(), json!({ "drain_grace_ms": 300 }))]);
    let stage = RolloutStage { fronts: vec![], from_ms: 0.0, by_ms: 0.0 };
    let document = ApprovedVersion {
        number: 1,
        parent: None,
        sections: sections.clone(),
        stages: vec![stage],
        by: "the story".into(),
        at_ms: 0.0,
    };
    let mut chain = VersionChain::default();
    chain.append(document).expect("it is the first");
    let mut fellow = FleetMember::new(share, 0.0, 1_000, seed + rank as u64).expect("it fits");
    fellow.set_approved(chain).expect("it is the first");
    fellow.set_active(sections);
    Front {
        desk: Dispatcher::new(sheet(rank), seed * 10 + rank as u64),
        fellow,
        sessions: BTreeMap::new(),
        // Its file of the start, as a node has it.
        rev: Some(0),
        asked: VecDeque::new(),
        lines: [0; SERVERS],
        drawn: Vec::new(),
    }
}
