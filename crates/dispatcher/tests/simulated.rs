//! The real dispatchers and placement logic of three fronts in simulated time, with servers that fail in every way that a host
//! can distinguish. What players and servers would observe is recorded as a history, which the rule checker judges. One seed
//! determines a run. Times are in ms.

mod recorded_actions;

use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing, Value};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use pulleystair_rule_checker::history::History;
use pulleystair_rule_checker::rules::{Budget, Effect, Group, Product, RuleParams};
use pulleystair_rule_checker::{Observation, Observed};
use recorded_actions::{Action, RecordedActions};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const FRONTS: usize = 3;
const SERVERS: usize = 6;
const MAX_STREAMS: f64 = 40.0;
const DURATION_MS: f64 = 40_000.0;
const TIME_LIMIT_MS: f64 = 2_000.0;
const SEAT_LIMIT: usize = 4;

#[derive(Clone, Copy)]
enum Event {
    PlayArrives(usize),
    ViewerLeaves(usize, u64),
    TimerFires(usize, u32),
    /// An allocation's outcome or time-out: front, play, number of the allocation among the play's, outcome.
    AllocationEnds(usize, u64, usize, Outcome),
    ProbeAnswered(usize, u32),
    NoteSent(usize, u64),
    ListArrives(usize),
    FaultStarts,
    ServerRecovers(usize),
    StandingChanges(usize, Standing),
}

/// A play as its viewer and server see it.
struct Play {
    session: String,
    product: usize,
    request: u64,
    allocations: usize,
    /// The server of the allocation in flight or of the running play, and whether the play runs.
    server: Option<(usize, bool)>,
    answered: bool,
}

/// The simulated fronts and servers, the scheduled events, and the recorded observations.
struct Simulation {
    rng: oorandom::Rand64,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    last_event: u64,
    dispatchers: Vec<Dispatcher>,
    plays: Vec<BTreeMap<u64, Play>>,
    list: Vec<Listing>,
    is_up: Vec<bool>,
    is_silent: Vec<bool>,
    error_rates: Vec<f64>,
    observations: Vec<Observation>,
    requests: u64,
}

fn test_settings(rank: usize) -> Settings {
    let numbers = [
        ("balancers", FRONTS as f64),
        ("rank", rank as f64),
        ("extra.ladder_kb.0", 100.0),
        ("extra.ladder_kb.1", 200.0),
        ("extra.ladder_kb.2", 400.0),
        ("extra.rung_worth.0", 0.3),
        ("extra.rung_worth.1", 0.7),
        ("extra.rung_worth.2", 1.0),
        ("extra.link_unit_kb", 4_000.0),
        ("extra.rack_link_kb", 12_000.0),
        ("extra.fleet_kb", 24_000.0),
        ("extra.cabinets", 2.0),
        ("extra.places", SERVERS as f64),
        ("extra.places_by_kind.0", MAX_STREAMS),
        ("extra.seen_after", 600.0),
        ("extra.stall_cost", 7.0),
        ("extra.change_costs_s", 0.5),
        ("extra.class_floor.1", 1.0),
        ("extra.seats.2", SEAT_LIMIT as f64),
        ("ceilings.attempts_cap", 4.0),
        ("ceilings.probes", 1.0),
        ("costs.probe", 0.01),
        ("rules.cold", 6_000.0),
        ("rules.cold_from", 0.3),
        ("rules.overload_factor", 2.0),
        ("rules.budget_share", 0.05),
        ("rules.budget_span", 5_000.0),
        ("rules.free_resends", 2.0),
    ];
    let mut settings: Settings =
        numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect();
    for (product, effect) in ["read_like", "non_idempotent", "idempotency_key"].iter().enumerate() {
        settings.insert(format!("products.{product}.importance"), Value::Number(1.0 + product as f64));
        settings.insert(format!("products.{product}.first_frame_target"), Value::Number(700.0));
        settings.insert(format!("products.{product}.repeat_window"), Value::Number(1_200.0));
        settings.insert(format!("products.{product}.effect"), Value::Text((*effect).into()));
        settings.insert(format!("products.{product}.key_scope"), Value::Text("zone".into()));
    }
    settings
}

/// The rules' parameters that match [`test_settings`].
fn rule_params() -> RuleParams {
    let product = |effect, floor, seats| Product { limit: TIME_LIMIT_MS, effect, floor, top: 2, seats };
    RuleParams {
        products: vec![
            product(Effect::Free, 0, 0),
            product(Effect::Paid, 1, 0),
            product(Effect::Keyed { group: Group::Zone, window: 1_200.0 }, 0, SEAT_LIMIT),
        ],
        drain_grace: 300.0,
        cold: 6_000.0,
        cold_from: 0.3,
        overload: 2.0,
        overload_window: 1_000.0,
        streams: vec![MAX_STREAMS; SERVERS],
        zones: (0..SERVERS).map(|s| s % 2).collect(),
        cells: (0..SERVERS).collect(),
        budget: Some(Budget { span: 5_000.0, share: 0.05, free: 2.0 }),
        list_delay: 200.0,
        slack: 1.0,
    }
}

impl Simulation {
    /// A simulation where these settings override the usual ones at all fronts.
    fn new(seed: u64, overrides: &[(&str, Value)]) -> Simulation {
        let settings = |front| {
            let mut settings = test_settings(front);
            settings.extend(overrides.iter().map(|(name, value)| ((*name).to_string(), value.clone())));
            settings
        };
        let entry = |s: usize| Listing {
            server: s,
            zone: s % 2,
            cell: s,
            standing: Standing::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        let mut simulation = Simulation {
            rng: oorandom::Rand64::new(seed.into()),
            now: 10_000.0,
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_event: 0,
            dispatchers: (0..FRONTS)
                .map(|front| Dispatcher::new(settings(front), seed * 10 + front as u64))
                .collect(),
            plays: (0..FRONTS).map(|_| BTreeMap::new()).collect(),
            list: (0..SERVERS).map(entry).collect(),
            is_up: vec![true; SERVERS],
            is_silent: vec![false; SERVERS],
            error_rates: vec![0.0; SERVERS],
            observations: Vec::new(),
            requests: 0,
        };
        for front in 0..FRONTS {
            simulation.record(Observed::Front { front, up: true });
            simulation.send_list(front);
            simulation.schedule(simulation.now, 0.0, Event::PlayArrives(front));
        }
        simulation.schedule(simulation.now, 1_000.0, Event::FaultStarts);
        simulation
    }

    fn draw(&mut self) -> f64 {
        self.rng.rand_float()
    }

    fn record(&mut self, what: Observed) {
        self.observations.push(Observation { at: self.now, what });
    }

    /// Schedules an event `delay` ms after `now`.
    fn schedule(&mut self, now: f64, delay: f64, event: Event) {
        self.last_event += 1;
        self.scheduled.insert(self.last_event, event);
        self.events.push(Reverse((((now + delay) * 1000.0).ceil() as u64, self.last_event)));
    }

    fn allocation_name(front: usize, play_id: u64, number: usize) -> String {
        format!("{front}-{play_id}-{number}")
    }

    /// Gives the front the present list.
    fn send_list(&mut self, front: usize) {
        let entries: Vec<(u32, Listing)> = self
            .list
            .iter()
            .filter(|entry| entry.standing != Standing::Gone)
            .map(|entry| (entry.server as u32, *entry))
            .collect();
        self.call(front, |dispatcher, now, _| dispatcher.update_list(now, true, false, &entries));
    }

    /// The load that this server reports.
    fn load_of(&mut self, server: usize) -> Vec<LoadMetric> {
        let is_there = |p: &&Play| p.server.is_some_and(|(s, _)| s == server);
        let running = self.plays.iter().flat_map(BTreeMap::values).filter(is_there).count() as f64;
        vec![LoadMetric::Link(running * 200.0 / 4_000.0), LoadMetric::Streams(running)]
    }

    /// Calls a front's dispatcher, ends the turn, and carries out the requested actions in order.
    fn call(&mut self, front: usize, call: impl FnOnce(&mut Dispatcher, f64, &mut RecordedActions)) {
        let mut actions = RecordedActions::default();
        call(&mut self.dispatchers[front], self.now, &mut actions);
        self.dispatchers[front].end_turn(self.now, &mut actions);
        while let Some(action) = actions.0.pop_front() {
            match action {
                Action::Send { play: play_id, server, rung, time_out } => {
                    self.send(front, play_id, server as usize, rung, time_out)
                }
                Action::Withdraw(play_id) => self.end_allocation(front, play_id, Outcome::Withdrawn),
                Action::SetRung(play_id, rung) => {
                    if let Some(play) = self.plays[front].get(&play_id).filter(|play| play.server.is_some()) {
                        let allocation = Simulation::allocation_name(front, play_id, play.allocations);
                        self.record(Observed::Rung { allocation, rung });
                    }
                }
                Action::Probe(server) => self.schedule(self.now, 5.0, Event::ProbeAnswered(front, server)),
                Action::Decline(play_id, _) => self.answer_viewer(front, play_id, 503),
                Action::Fail(play_id) => self.answer_viewer(front, play_id, 504),
                Action::SetTimer(timer, delay) => {
                    self.schedule(self.now, delay, Event::TimerFires(front, timer))
                }
            }
        }
    }

    /// Records the answer to the viewer of this play.
    fn answer_viewer(&mut self, front: usize, play_id: u64, status: u16) {
        let play = self.plays[front].get_mut(&play_id).expect("the answer is for an open play");
        assert!(!std::mem::replace(&mut play.answered, true), "a viewer is answered once");
        let request = play.request;
        self.record(Observed::Answered { request, status });
    }

    /// Sets a play up on a server, and schedules how the server answers.
    fn send(&mut self, front: usize, play_id: u64, server: usize, rung: usize, time_out: f64) {
        let play = self.plays[front].get_mut(&play_id).expect("the play that is sent is open");
        assert!(play.server.is_none(), "a play has one allocation at a time");
        play.allocations += 1;
        play.server = Some((server, false));
        let (number, session, product) = (play.allocations, play.session.clone(), play.product);
        self.schedule(self.now, time_out, Event::AllocationEnds(front, play_id, number, Outcome::TimedOut));
        if !self.is_up[server] {
            return self.schedule(
                self.now,
                1.0,
                Event::AllocationEnds(front, play_id, number, Outcome::Unreachable),
            );
        }
        let (allocation, title) =
            (Simulation::allocation_name(front, play_id, number), format!("t{}", product));
        self.record(Observed::SetUp { server, allocation, session, product, title, rung });
        let draw = self.draw();
        let streams = self.load_of(server)[1].value();
        let (delay, outcome) = match draw {
            _ if self.is_silent[server] => return,
            _ if streams > MAX_STREAMS => (2.0, Outcome::Full),
            _ if draw < self.error_rates[server] => (3.0, Outcome::Error),
            _ if draw > 0.99 => (40.0, Outcome::Broken),
            _ if draw > 0.97 => return,
            _ => (20.0 + 200.0 * self.draw().powi(4), Outcome::Playing),
        };
        self.schedule(self.now, delay, Event::AllocationEnds(front, play_id, number, outcome));
    }

    /// Ends an allocation or a running play with this outcome.
    fn end_allocation(&mut self, front: usize, play_id: u64, outcome: Outcome) {
        let Some(play) = self.plays[front].get_mut(&play_id) else { return };
        let Some((server, playing)) = play.server.take() else { return };
        let allocation = Simulation::allocation_name(front, play_id, play.allocations);
        let status = match outcome {
            Outcome::Full => Some((false, 429)),
            Outcome::Error => Some((true, 502)),
            _ => None,
        };
        if let Some((ran, status)) = status {
            self.record(Observed::Done { allocation: allocation.clone(), ran, status });
        }
        self.record(Observed::Closed { allocation });
        let load = if self.is_up[server] && outcome != Outcome::TimedOut {
            self.load_of(server)
        } else {
            Vec::new()
        };
        self.call(front, |dispatcher, now, actions| {
            dispatcher.on_allocation_ended(now, play_id, server as u32, outcome, playing, &load, actions)
        });
    }

    /// Carries an event out.
    fn run_event(&mut self, event: Event) {
        match event {
            Event::PlayArrives(front) => {
                let gap = -60.0 * (1.0 - self.draw()).ln();
                self.schedule(self.now, gap, Event::PlayArrives(front));
                self.requests += 1;
                let (request, product) = (self.requests, (self.draw() * 3.0) as usize);
                let (session, title) = (format!("s{request}"), format!("t{product}"));
                self.record(Observed::Asked {
                    request,
                    session: session.clone(),
                    front,
                    product,
                    title,
                    top: 2,
                });
                let play = Play { session, product, request, allocations: 0, server: None, answered: false };
                self.plays[front].insert(request, play);
                let request_parameters = PlayRequest {
                    product,
                    title: product as u64,
                    first_cell: product,
                    holder_cells: 4,
                    max_rung: 2,
                    arrived_at: self.now,
                    deadline: self.now + TIME_LIMIT_MS,
                };
                if self.draw() < 0.05 {
                    let delay = 400.0 * self.draw();
                    self.schedule(self.now, delay, Event::ViewerLeaves(front, request));
                }
                self.call(front, |dispatcher, now, actions| {
                    dispatcher.add_play(now, request, &request_parameters, actions)
                });
            }
            Event::ViewerLeaves(front, play_id) => {
                if self.plays[front].get(&play_id).is_some_and(|play| !play.answered) {
                    self.plays[front].get_mut(&play_id).expect("the play is open").answered = true;
                    self.record(Observed::Left { request: play_id });
                    self.call(front, |dispatcher, _, actions| dispatcher.close_play(play_id, actions));
                }
            }
            Event::TimerFires(front, timer) => {
                self.call(front, |dispatcher, now, actions| dispatcher.on_timer(now, timer, actions))
            }
            Event::AllocationEnds(front, play_id, number, outcome) => {
                let Some(play) = self.plays[front].get(&play_id) else { return };
                let Some((server, playing)) = play.server.filter(|_| play.allocations == number) else {
                    return;
                };
                if outcome == Outcome::Playing {
                    self.plays[front].get_mut(&play_id).expect("the play is open").server =
                        Some((server, true));
                    self.record(Observed::Done {
                        allocation: Simulation::allocation_name(front, play_id, number),
                        ran: true,
                        status: 200,
                    });
                    self.answer_viewer(front, play_id, 200);
                    let duration = 1_000.0 + 6_000.0 * self.draw();
                    self.schedule(
                        self.now,
                        duration,
                        Event::AllocationEnds(front, play_id, number, Outcome::Finished),
                    );
                    self.schedule(self.now, duration / 3.0, Event::NoteSent(front, play_id));
                    let load = self.load_of(server);
                    self.call(front, |dispatcher, now, actions| {
                        dispatcher.on_playing(now, play_id, actions);
                        dispatcher.on_load_report(now, server as u32, &load, actions);
                    });
                } else if playing == (outcome == Outcome::Finished) {
                    self.end_allocation(front, play_id, outcome);
                }
            }
            Event::ProbeAnswered(front, server) => {
                if self.is_up[server as usize] && !self.is_silent[server as usize] {
                    let load = self.load_of(server as usize);
                    self.call(front, |dispatcher, now, actions| {
                        dispatcher.on_load_report(now, server, &load, actions)
                    });
                }
            }
            Event::NoteSent(front, play_id) => {
                let Some((server, true)) = self.plays[front].get(&play_id).and_then(|play| play.server)
                else {
                    return;
                };
                let metric = match (self.draw() * 4.0) as usize {
                    0 => LoadMetric::Delivered(0.5 + self.draw()),
                    1 => LoadMetric::Uplink(self.draw() * 1.6),
                    _ => LoadMetric::Link(self.draw() * 1.6),
                };
                self.call(front, |dispatcher, now, actions| {
                    dispatcher.on_play_note(now, play_id, server as u32, metric, actions)
                });
                self.schedule(self.now, 700.0, Event::NoteSent(front, play_id));
            }
            Event::ListArrives(front) => self.send_list(front),
            Event::StandingChanges(server, standing) => {
                self.list[server].standing = standing;
                self.record(Observed::Listed { server, ready: standing == Standing::Ready });
                for front in 0..FRONTS {
                    let delay = 100.0 * self.draw();
                    self.schedule(self.now, delay, Event::ListArrives(front));
                }
            }
            Event::FaultStarts => {
                self.schedule(self.now, 1_500.0, Event::FaultStarts);
                let server = (self.draw() * SERVERS as f64) as usize;
                let duration = 500.0 + 3_000.0 * self.draw();
                match (self.draw() * 4.0) as usize {
                    0 if self.is_up[server] => {
                        self.is_up[server] = false;
                        self.record(Observed::Stopped { server });
                        for front in 0..FRONTS {
                            let is_lost =
                                |(_, play): &(&u64, &Play)| play.server.is_some_and(|(s, _)| s == server);
                            let lost_plays: Vec<u64> = self.plays[front]
                                .iter()
                                .filter(is_lost)
                                .map(|(play_id, _)| *play_id)
                                .collect();
                            lost_plays
                                .into_iter()
                                .for_each(|play_id| self.end_allocation(front, play_id, Outcome::Broken));
                        }
                        self.schedule(self.now, 300.0, Event::StandingChanges(server, Standing::Gone));
                        self.schedule(self.now, 400.0 + duration, Event::ServerRecovers(server));
                    }
                    1 if self.is_up[server] => {
                        self.schedule(self.now, 0.0, Event::StandingChanges(server, Standing::Draining));
                        self.schedule(self.now, duration, Event::StandingChanges(server, Standing::Ready));
                    }
                    2 => self.is_silent[server] = !self.is_silent[server],
                    _ => {
                        self.error_rates[server] =
                            if self.error_rates[server] > 0.0 { 0.0 } else { self.draw() }
                    }
                }
            }
            Event::ServerRecovers(server) => {
                (self.is_up[server], self.is_silent[server], self.error_rates[server]) = (true, false, 0.0);
                self.list[server].started_at = self.now;
                self.record(Observed::Started { server, cold: true });
                self.schedule(self.now, 0.0, Event::StandingChanges(server, Standing::Ready));
            }
        }
    }

    /// Runs all events and returns the history.
    fn run(mut self) -> History {
        let end = self.now + DURATION_MS;
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > end {
                break;
            }
            let event = self.scheduled.remove(&id).expect("each event is scheduled once");
            self.run_event(event);
        }
        History::new("three dispatchers in simulated time", &[], rule_params(), self.observations)
    }
}

#[test_case(1..=10; "ten seeds")]
#[test_case(11..=20; "ten more")]
fn all_rules_are_kept_whatever_servers_do(seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let verdict = Simulation::new(seed, &[]).run().verdict();
        assert!(
            verdict.breaches.is_empty(),
            "seed {seed}: {:?}",
            &verdict.breaches[..1.min(verdict.breaches.len())]
        );
        let covered = &verdict.coverage;
        assert!(covered.requests > 1_000 && covered.further_allocations > 20, "seed {seed}: {covered:?}");
        assert!(covered.drains > 2 && covered.cold_set_ups > 5, "seed {seed}: {covered:?}");
    }
}

/// Guards against a checker that misses breaches: dispatchers with other settings than the rules assume break the matching
/// rule, and no other.
#[test_case(2, "products.1.effect", Value::Text("read_like".into()); "a non-idempotent set-up is treated as repeatable")]
#[test_case(4, "rules.cold", Value::Number(1.0); "no server is ever cold")]
#[test_case(5, "extra.class_floor.1", Value::Number(0.0); "no lowest rung")]
#[test_case(5, "extra.seats.2", Value::Number(0.0); "no limit of seats")]
#[test_case(6, "rules.free_resends", Value::Number(1e6); "no allocation budget")]
fn settings_that_violate_a_rule_are_detected(rule: u8, name: &str, value: Value) {
    let verdict = Simulation::new(1, &[(name, value)]).run().verdict();
    assert_eq!(verdict.broken_rules().into_iter().collect::<Vec<u8>>(), [rule], "{:?}", verdict.breaches);
}
