//! The real desks and decisions of three fronts in simulated time, with servers that fail in every way a host can tell:
//! what players and servers would have seen is a history, and the checker of the rules judges it. One number draws a day.

mod notebook;

use notebook::{Deed, Notebook};
use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing, Value};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use pulleystair_rule_checker::history::History;
use pulleystair_rule_checker::rules::{Budget, Effect, Group, Product, RuleParams};
use pulleystair_rule_checker::{Observation, Observed};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const FRONTS: usize = 3;
const SERVERS: usize = 6;
const STREAMS: f64 = 40.0;
const LENGTH: f64 = 40_000.0;
const LIMIT: f64 = 2_000.0;
const SEATS: usize = 4;

#[derive(Clone, Copy)]
enum Event {
    Ask(usize),
    Leave(usize, u64),
    Wake(usize, u32),
    /// An allocation's outcome, or its time-out, by its so-many-th of the play.
    Ends(usize, u64, usize, Outcome),
    Probed(usize, u32),
    Note(usize, u64),
    Told(usize),
    Trouble,
    Recovers(usize),
    Listed(usize, Standing),
}

struct Play {
    session: String,
    product: usize,
    request: u64,
    allocations: usize,
    /// The server that the allocation is out to or plays at, and whether it plays.
    at: Option<(usize, bool)>,
    answered: bool,
}

struct Day {
    rnd: oorandom::Rand64,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, Event>,
    next: u64,
    desks: Vec<Dispatcher>,
    plays: Vec<BTreeMap<u64, Play>>,
    listings: Vec<Listing>,
    up: Vec<bool>,
    silent: Vec<bool>,
    errors: Vec<f64>,
    seen: Vec<Observation>,
    requests: u64,
}

fn sheet(rank: usize) -> Settings {
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
        ("extra.places_by_kind.0", STREAMS),
        ("extra.seen_after", 600.0),
        ("extra.stall_cost", 7.0),
        ("extra.change_costs_s", 0.5),
        ("extra.class_floor.1", 1.0),
        ("extra.seats.2", SEATS as f64),
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
    let mut sheet: Settings =
        numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect();
    for (product, effect) in ["read_like", "non_idempotent", "idempotency_key"].iter().enumerate() {
        sheet.insert(format!("products.{product}.importance"), Value::Number(1.0 + product as f64));
        sheet.insert(format!("products.{product}.first_frame_target"), Value::Number(700.0));
        sheet.insert(format!("products.{product}.repeat_window"), Value::Number(1_200.0));
        sheet.insert(format!("products.{product}.effect"), Value::Text((*effect).into()));
        sheet.insert(format!("products.{product}.key_scope"), Value::Text("zone".into()));
    }
    sheet
}

fn terms() -> RuleParams {
    let product = |effect, floor, seats| Product { limit: LIMIT, effect, floor, top: 2, seats };
    RuleParams {
        products: vec![
            product(Effect::Free, 0, 0),
            product(Effect::Paid, 1, 0),
            product(Effect::Keyed { group: Group::Zone, window: 1_200.0 }, 0, SEATS),
        ],
        drain_grace: 300.0,
        cold: 6_000.0,
        cold_from: 0.3,
        overload: 2.0,
        overload_window: 1_000.0,
        streams: vec![STREAMS; SERVERS],
        zones: (0..SERVERS).map(|s| s % 2).collect(),
        cells: (0..SERVERS).collect(),
        budget: Some(Budget { span: 5_000.0, share: 0.05, free: 2.0 }),
        list_delay: 200.0,
        slack: 1.0,
    }
}

impl Day {
    fn new(seed: u64, told: &[(&str, Value)]) -> Day {
        let sheet = |front| {
            let mut sheet = sheet(front);
            sheet.extend(told.iter().map(|(name, value)| ((*name).to_string(), value.clone())));
            sheet
        };
        let line = |s: usize| Listing {
            server: s,
            zone: s % 2,
            cell: s,
            standing: Standing::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        let mut day = Day {
            rnd: oorandom::Rand64::new(seed.into()),
            now: 10_000.0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
            desks: (0..FRONTS).map(|front| Dispatcher::new(sheet(front), seed * 10 + front as u64)).collect(),
            plays: (0..FRONTS).map(|_| BTreeMap::new()).collect(),
            listings: (0..SERVERS).map(line).collect(),
            up: vec![true; SERVERS],
            silent: vec![false; SERVERS],
            errors: vec![0.0; SERVERS],
            seen: Vec::new(),
            requests: 0,
        };
        for front in 0..FRONTS {
            day.saw(Observed::Front { front, up: true });
            day.tell(front);
            day.after(day.now, 0.0, Event::Ask(front));
        }
        day.after(day.now, 1_000.0, Event::Trouble);
        day
    }

    fn draw(&mut self) -> f64 {
        self.rnd.rand_float()
    }

    fn saw(&mut self, what: Observed) {
        self.seen.push(Observation { at: self.now, what });
    }

    fn after(&mut self, now: f64, wait: f64, event: Event) {
        self.next += 1;
        self.what.insert(self.next, event);
        self.events.push(Reverse((((now + wait) * 1000.0).ceil() as u64, self.next)));
    }

    fn name(front: usize, play: u64, n: usize) -> String {
        format!("{front}-{play}-{n}")
    }

    fn tell(&mut self, front: usize) {
        let lines: Vec<(u32, Listing)> = self
            .listings
            .iter()
            .filter(|l| l.standing != Standing::Gone)
            .map(|l| (l.server as u32, *l))
            .collect();
        self.call(front, |desk, now, _| desk.update_list(now, true, false, &lines));
    }

    fn load(&mut self, server: usize) -> Vec<LoadMetric> {
        let at = |p: &&Play| p.at.is_some_and(|(s, _)| s == server);
        let there = self.plays.iter().flat_map(BTreeMap::values).filter(at).count() as f64;
        vec![LoadMetric::Link(there * 200.0 / 4_000.0), LoadMetric::Streams(there)]
    }

    /// Has a desk called, and does what it wants done, in order.
    fn call(&mut self, front: usize, call: impl FnOnce(&mut Dispatcher, f64, &mut Notebook)) {
        let mut notes = Notebook::default();
        call(&mut self.desks[front], self.now, &mut notes);
        self.desks[front].end_turn(self.now, &mut notes);
        while let Some(deed) = notes.0.pop_front() {
            match deed {
                Deed::Send { play, server, rung, time_out } => {
                    self.send(front, play, server as usize, rung, time_out)
                }
                Deed::Withdraw(play) => self.over(front, play, Outcome::Withdrawn),
                Deed::Step(play, rung) => {
                    if let Some(it) = self.plays[front].get(&play).filter(|it| it.at.is_some()) {
                        let allocation = Day::name(front, play, it.allocations);
                        self.saw(Observed::Rung { allocation, rung });
                    }
                }
                Deed::Probe(server) => self.after(self.now, 5.0, Event::Probed(front, server)),
                Deed::Declined(play, _) => self.answer(front, play, 503),
                Deed::Failed(play) => self.answer(front, play, 504),
                Deed::Wake(mark, wait) => self.after(self.now, wait, Event::Wake(front, mark)),
            }
        }
    }

    fn answer(&mut self, front: usize, play: u64, status: u16) {
        let it = self.plays[front].get_mut(&play).expect("an answer is for a play in hand");
        assert!(!std::mem::replace(&mut it.answered, true), "answered once");
        let request = it.request;
        self.saw(Observed::Answered { request, status });
    }

    fn send(&mut self, front: usize, play: u64, server: usize, rung: usize, time_out: f64) {
        let it = self.plays[front].get_mut(&play).expect("what is sent is in hand");
        assert!(it.at.is_none(), "one at a time");
        it.allocations += 1;
        it.at = Some((server, false));
        let (n, session, product) = (it.allocations, it.session.clone(), it.product);
        self.after(self.now, time_out, Event::Ends(front, play, n, Outcome::TimedOut));
        if !self.up[server] {
            return self.after(self.now, 1.0, Event::Ends(front, play, n, Outcome::Unreachable));
        }
        let (allocation, title) = (Day::name(front, play, n), format!("t{}", product));
        self.saw(Observed::SetUp { server, allocation, session, product, title, rung });
        let dice = self.draw();
        let streams = self.load(server)[1].value();
        let (wait, outcome) = match dice {
            _ if self.silent[server] => return,
            _ if streams > STREAMS => (2.0, Outcome::Full),
            _ if dice < self.errors[server] => (3.0, Outcome::Error),
            _ if dice > 0.99 => (40.0, Outcome::Broken),
            _ if dice > 0.97 => return,
            _ => (20.0 + 200.0 * self.draw().powi(4), Outcome::Playing),
        };
        self.after(self.now, wait, Event::Ends(front, play, n, outcome));
    }

    /// An allocation ends, or a play that runs does.
    fn over(&mut self, front: usize, play: u64, outcome: Outcome) {
        let Some(it) = self.plays[front].get_mut(&play) else { return };
        let Some((server, playing)) = it.at.take() else { return };
        let allocation = Day::name(front, play, it.allocations);
        let status = match outcome {
            Outcome::Full => Some((false, 429)),
            Outcome::Error => Some((true, 502)),
            _ => None,
        };
        if let Some((ran, status)) = status {
            self.saw(Observed::Done { allocation: allocation.clone(), ran, status });
        }
        self.saw(Observed::Closed { allocation });
        let load =
            if self.up[server] && outcome != Outcome::TimedOut { self.load(server) } else { Vec::new() };
        self.call(front, |desk, now, hands| {
            desk.on_allocation_ended(now, play, server as u32, outcome, playing, &load, hands)
        });
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Ask(front) => {
                let gap = -60.0 * (1.0 - self.draw()).ln();
                self.after(self.now, gap, Event::Ask(front));
                self.requests += 1;
                let (request, product) = (self.requests, (self.draw() * 3.0) as usize);
                let (session, title) = (format!("s{request}"), format!("t{product}"));
                self.saw(Observed::Asked {
                    request,
                    session: session.clone(),
                    front,
                    product,
                    title,
                    top: 2,
                });
                let play = Play { session, product, request, allocations: 0, at: None, answered: false };
                self.plays[front].insert(request, play);
                let wish = PlayRequest {
                    product,
                    title: product as u64,
                    first_cell: product,
                    holders: 4,
                    max_rung: 2,
                    arrived_at: self.now,
                    deadline: self.now + LIMIT,
                };
                if self.draw() < 0.05 {
                    let wait = 400.0 * self.draw();
                    self.after(self.now, wait, Event::Leave(front, request));
                }
                self.call(front, |desk, now, hands| desk.add_play(now, request, &wish, hands));
            }
            Event::Leave(front, play) => {
                if self.plays[front].get(&play).is_some_and(|it| !it.answered) {
                    self.plays[front].get_mut(&play).expect("it is there").answered = true;
                    self.saw(Observed::Left { request: play });
                    self.call(front, |desk, _, hands| desk.on_viewer_left(play, hands));
                }
            }
            Event::Wake(front, mark) => self.call(front, |desk, now, hands| desk.on_timer(now, mark, hands)),
            Event::Ends(front, play, n, outcome) => {
                let Some(it) = self.plays[front].get(&play) else { return };
                let Some((server, playing)) = it.at.filter(|_| it.allocations == n) else { return };
                if outcome == Outcome::Playing {
                    self.plays[front].get_mut(&play).expect("it is there").at = Some((server, true));
                    self.saw(Observed::Done {
                        allocation: Day::name(front, play, n),
                        ran: true,
                        status: 200,
                    });
                    self.answer(front, play, 200);
                    let lasts = 1_000.0 + 6_000.0 * self.draw();
                    self.after(self.now, lasts, Event::Ends(front, play, n, Outcome::Finished));
                    self.after(self.now, lasts / 3.0, Event::Note(front, play));
                    let load = self.load(server);
                    self.call(front, |desk, now, hands| {
                        desk.on_playing(now, play, hands);
                        desk.on_load_report(now, server as u32, &load, hands);
                    });
                } else if playing == (outcome == Outcome::Finished) {
                    self.over(front, play, outcome);
                }
            }
            Event::Probed(front, server) => {
                if self.up[server as usize] && !self.silent[server as usize] {
                    let load = self.load(server as usize);
                    self.call(front, |desk, now, hands| desk.on_load_report(now, server, &load, hands));
                }
            }
            Event::Note(front, play) => {
                let Some((server, true)) = self.plays[front].get(&play).and_then(|it| it.at) else { return };
                let figure = match (self.draw() * 4.0) as usize {
                    0 => LoadMetric::Delivered(0.5 + self.draw()),
                    1 => LoadMetric::Uplink(self.draw() * 1.6),
                    _ => LoadMetric::Link(self.draw() * 1.6),
                };
                self.call(front, |desk, now, hands| {
                    desk.on_play_note(now, play, server as u32, figure, hands)
                });
                self.after(self.now, 700.0, Event::Note(front, play));
            }
            Event::Told(front) => self.tell(front),
            Event::Listed(server, standing) => {
                self.listings[server].standing = standing;
                self.saw(Observed::Listed { server, ready: standing == Standing::Ready });
                for front in 0..FRONTS {
                    let late = 100.0 * self.draw();
                    self.after(self.now, late, Event::Told(front));
                }
            }
            Event::Trouble => {
                self.after(self.now, 1_500.0, Event::Trouble);
                let server = (self.draw() * SERVERS as f64) as usize;
                let length = 500.0 + 3_000.0 * self.draw();
                match (self.draw() * 4.0) as usize {
                    0 if self.up[server] => {
                        self.up[server] = false;
                        self.saw(Observed::Stopped { server });
                        for front in 0..FRONTS {
                            let here = |(_, it): &(&u64, &Play)| it.at.is_some_and(|(s, _)| s == server);
                            let lost: Vec<u64> =
                                self.plays[front].iter().filter(here).map(|(play, _)| *play).collect();
                            lost.into_iter().for_each(|play| self.over(front, play, Outcome::Broken));
                        }
                        self.after(self.now, 300.0, Event::Listed(server, Standing::Gone));
                        self.after(self.now, 400.0 + length, Event::Recovers(server));
                    }
                    1 if self.up[server] => {
                        self.after(self.now, 0.0, Event::Listed(server, Standing::Draining));
                        self.after(self.now, length, Event::Listed(server, Standing::Ready));
                    }
                    2 => self.silent[server] = !self.silent[server],
                    _ => self.errors[server] = if self.errors[server] > 0.0 { 0.0 } else { self.draw() },
                }
            }
            Event::Recovers(server) => {
                (self.up[server], self.silent[server], self.errors[server]) = (true, false, 0.0);
                self.listings[server].started_at = self.now;
                self.saw(Observed::Started { server, cold: true });
                self.after(self.now, 0.0, Event::Listed(server, Standing::Ready));
            }
        }
    }

    fn run(mut self) -> History {
        let end = self.now + LENGTH;
        while let Some(Reverse((at, id))) = self.events.pop() {
            self.now = at as f64 / 1000.0;
            if self.now > end {
                break;
            }
            let event = self.what.remove(&id).expect("each event is there once");
            self.event(event);
        }
        History::new("three desks in simulated time", &[], terms(), self.seen)
    }
}

#[test_case(1..=10; "ten seeds")]
#[test_case(11..=20; "ten more")]
fn every_rule_is_kept_whatever_servers_do(seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let verdict = Day::new(seed, &[]).run().verdict();
        assert!(
            verdict.breaches.is_empty(),
            "seed {seed}: {:?}",
            &verdict.breaches[..1.min(verdict.breaches.len())]
        );
        let covered = &verdict.covered;
        assert!(covered.requests > 1_000 && covered.further > 20, "seed {seed}: {covered:?}");
        assert!(covered.drains > 2 && covered.cold_set_ups > 5, "seed {seed}: {covered:?}");
    }
}

/// Desks that are told other terms than those they are held to break that rule, and no other.
#[test_case(2, "products.1.effect", Value::Text("read_like".into()); "a paid set-up is free")]
#[test_case(4, "rules.cold", Value::Number(1.0); "no server is ever cold")]
#[test_case(5, "extra.class_floor.1", Value::Number(0.0); "no floor")]
#[test_case(5, "extra.seats.2", Value::Number(0.0); "no seats")]
#[test_case(6, "rules.free_resends", Value::Number(1e6); "no budget")]
fn a_desk_told_other_terms_is_found_out(rule: u8, name: &str, value: Value) {
    let verdict = Day::new(1, &[(name, value)]).run().verdict();
    assert_eq!(verdict.rules().into_iter().collect::<Vec<u8>>(), [rule], "{:?}", verdict.breaches);
}
