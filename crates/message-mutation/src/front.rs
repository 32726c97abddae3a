//! One simulated front: its settings, its state and the actions that its dispatcher requests.

use pulleystair::{Settings, Value};
use pulleystair_dispatcher::{Actions, Dispatcher};
use pulleystair_drift::Sections;
use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_fleet_member::{FleetConfig, FleetMember, GossipConfig};
use pulleystair_rule_checker::rules::{Budget, Effect, Group, Product, RuleParams};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};

use crate::world::{COLD_MS, FRONTS, SERVERS, STREAMS_PER_SERVER, TIME_LIMIT_MS};

/// An action that the dispatcher requested, with the arguments of the method of [`Actions`].
pub(crate) enum Action {
    RecordCandidates(Vec<(u32, f64, f64)>),
    Send(u64, u32, usize, f64),
    Withdraw(u64),
    SetRung(u64, usize),
    /// The final status for a declined or failed play.
    Answer(u64, u16),
    SetTimer(u32, f64),
    Probe(u32),
}

/// Collects the dispatcher's actions in order.
#[derive(Default)]
pub(crate) struct ActionQueue(pub(crate) VecDeque<Action>);

impl Actions for ActionQueue {
    fn record_candidates(&mut self, _: u64, candidates: &[(u32, f64, f64)]) {
        self.0.push_back(Action::RecordCandidates(candidates.to_vec()));
    }
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.0.push_back(Action::Send(play, server, rung, time_out));
    }
    fn withdraw(&mut self, play: u64) {
        self.0.push_back(Action::Withdraw(play));
    }
    fn set_rung(&mut self, play: u64, rung: usize) {
        self.0.push_back(Action::SetRung(play, rung));
    }
    fn probe(&mut self, server: u32) {
        self.0.push_back(Action::Probe(server));
    }
    fn decline(&mut self, play: u64, _: f64) {
        self.0.push_back(Action::Answer(play, 503));
    }
    fn fail(&mut self, play: u64) {
        self.0.push_back(Action::Answer(play, 504));
    }
    fn set_timer(&mut self, timer: u32, delay: f64) {
        self.0.push_back(Action::SetTimer(timer, delay));
    }
    fn watch_list(&mut self) {}
}

/// A play at a front, from its set-up on, and the session that follows from it.
pub(crate) struct Session {
    /// The number of the request, as in the observations.
    pub(crate) request: u64,
    pub(crate) product: usize,
    pub(crate) title: String,
    /// The number of allocations so far, which is the number of the latest one.
    pub(crate) allocation_number: u32,
    /// The server of the open allocation, and whether the play is established there.
    pub(crate) allocated_to: Option<(usize, bool)>,
    /// When the latest allocation was sent.
    pub(crate) sent_at: f64,
    /// Whether the viewer has its final answer.
    pub(crate) answered: bool,
}

/// A front: the real dispatcher and fleet member, and the state of their host.
pub(crate) struct Front {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) member: FleetMember,
    /// Plays and their sessions, by the id of the play.
    pub(crate) sessions: BTreeMap<u64, Session>,
    /// The serial of the server list in use.
    pub(crate) list_serial: Option<u32>,
    /// The ids of the latest DNS queries; a response must carry one of them.
    pub(crate) dns_query_ids: VecDeque<u16>,
    /// The number of the present connection to each server; it grows when a connection breaks.
    pub(crate) connections: [u64; SERVERS],
    /// The candidates of the latest choice: server, chance, room.
    pub(crate) candidates: Vec<(u32, f64, f64)>,
}

/// The name of a front in the fleet.
pub(crate) fn front_name(front_id: usize) -> String {
    format!("f{front_id}")
}

/// The policy settings of the front with this rank.
pub(crate) fn policy_settings(rank: usize) -> Settings {
    let number_values = [
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
        ("extra.places_by_kind.0", STREAMS_PER_SERVER),
        ("extra.seen_after", 300.0),
        ("extra.stall_cost", 7.0),
        ("extra.class_floor.1", 1.0),
        ("ceilings.probes", 1.0),
        ("costs.probe", 0.01),
        ("rules.cold", COLD_MS),
        ("rules.cold_from", 0.3),
        ("rules.overload_factor", 2.0),
        ("rules.budget_share", 0.1),
        ("rules.budget_span", 5_000.0),
        ("rules.free_resends", 3.0),
    ];
    let mut policy_settings: Settings =
        number_values.iter().map(|(name, x)| ((*name).to_string(), Value::Number(*x))).collect();
    for (i, effect) in ["read_like", "non_idempotent", "idempotency_key"].iter().enumerate() {
        let text_values = [("effect", *effect), ("key_scope", "zone")];
        let number_values = [("importance", 1.0), ("first_frame_target", 500.0), ("repeat_window", 900.0)];
        policy_settings
            .extend(text_values.map(|(name, t)| (format!("products.{i}.{name}"), Value::Text(t.into()))));
        policy_settings
            .extend(number_values.map(|(name, x)| (format!("products.{i}.{name}"), Value::Number(x))));
    }
    policy_settings
}

/// The parameters of the six rules; they match [`policy_settings`].
pub(crate) fn rule_params() -> RuleParams {
    let product = |effect, floor| Product { limit: TIME_LIMIT_MS, effect, floor, top: 1, seats: 0 };
    RuleParams {
        products: vec![
            product(Effect::Free, 0),
            product(Effect::Paid, 1),
            product(Effect::Keyed { group: Group::Zone, window: 900.0 }, 0),
        ],
        drain_grace: 300.0,
        cold: COLD_MS,
        cold_from: 0.3,
        overload: 2.0,
        overload_window: 1_000.0,
        streams: vec![STREAMS_PER_SERVER; SERVERS],
        zones: (0..SERVERS).map(|s| s % 2).collect(),
        cells: (0..SERVERS).collect(),
        budget: Some(Budget { span: 5_000.0, share: 0.1, free: 3.0 }),
        // A response of the name service may be lost; the fronts query it every 150 ms.
        list_delay: 400.0,
        slack: 1.0,
    }
}

/// Creates a front with an approved version and its gossip configuration.
pub(crate) fn new_front(rank: usize, seed: u64) -> Front {
    let gossip_config = GossipConfig {
        fleet: "mutated".into(),
        name: front_name(rank),
        peers: (0..FRONTS).filter(|f| *f != rank).map(front_name).collect(),
        interval: 250.0,
        fan_out: 1,
        max_bytes_per_second: 64_000.0,
        doubted_after: 900.0,
        unheard_after: 1_600.0,
    };
    let config = FleetConfig {
        gossip: gossip_config,
        zone: rank % 2,
        zones: vec!["z0".into(), "z1".into()],
        lease_ms: 600.0,
        max_further_per_second: 50.0,
        max_probes_per_second: 50.0,
        alarm_delay_ms: 0.0,
        stricter: false,
        bucket_ms: 60_000.0,
        max_set_up_ms: TIME_LIMIT_MS,
    };
    let sections = Sections::from([("rules".into(), json!({ "drain_grace_ms": 300 }))]);
    let stage = RolloutStage { fronts: vec![], from_ms: 0.0, by_ms: 0.0 };
    let version = ApprovedVersion {
        number: 1,
        parent: None,
        sections: sections.clone(),
        stages: vec![stage],
        by: "the story".into(),
        at_ms: 0.0,
    };
    let mut chain = VersionChain::default();
    chain.append(version).expect("the first version of a chain is valid");
    let mut member =
        FleetMember::new(config, 0.0, 1_000, seed + rank as u64).expect("the configuration is valid");
    member.set_approved(chain).expect("the member had no chain before");
    member.set_active(sections);
    Front {
        dispatcher: Dispatcher::new(policy_settings(rank), seed * 10 + rank as u64),
        member,
        sessions: BTreeMap::new(),
        // The list in the configuration file, as a node has it at start.
        list_serial: Some(0),
        dns_query_ids: VecDeque::new(),
        connections: [0; SERVERS],
        candidates: Vec::new(),
    }
}
