//! Cold servers under the sum of many fronts, in simulated time: real desks and decisions, thin and uneven traffic, crowds for one
//! title, lists told late, fronts that restart and do not know what they sent. What is asserted is the bound at the head of
//! `src/logic/pace.rs`: in no window is a server sent more than its budget N and 2 root N + 2.

use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing, Value};
use pulleystair_dispatcher::{Actions, Dispatcher, PlayRequest};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use test_case::test_case;

const COLD: f64 = 7_000.0;
const FROM: f64 = 0.5;
const PLACES: f64 = 22.0;
const FACTOR: f64 = 2.5;
const FALL: f64 = 1_000.0;
/// A server's link, kB, and the middle rate; so many sessions fill it.
const LINK: f64 = 12_000.0;
const LIFE: f64 = 2_500.0;

#[derive(Clone, Copy, PartialEq)]
enum Event {
    Ask(usize),
    /// One of a crowd, for a title of this cell.
    Crowd(usize, usize),
    Wake(usize, u32, u64),
    Answered(usize, u64, u32),
    Ends(usize, u64, u32),
    /// A server starts in place of another; each front is told of it in its own time.
    Replaced(u32),
    Told(usize),
    Restarts(usize),
}

#[derive(Default)]
struct Noted {
    sends: Vec<(u64, u32)>,
    probes: Vec<u32>,
    wakes: Vec<(u32, f64)>,
}

impl Actions for Noted {
    fn send(&mut self, play: u64, server: u32, _: usize, _: f64) {
        self.sends.push((play, server));
    }
    fn withdraw(&mut self, _: u64) {}
    fn set_rung(&mut self, _: u64, _: usize) {}
    fn probe(&mut self, server: u32) {
        self.probes.push(server);
    }
    fn decline(&mut self, _: u64, _: f64) {}
    fn fail(&mut self, _: u64) {}
    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.wakes.push((mark, wait));
    }
    fn watch_list(&mut self) {}
}

/// A fleet: how many fronts and cells, how many set-ups a second for each cell, how much later than its fellows a front is told of a
/// server's start, and how many restart just after it.
#[derive(Clone, Copy)]
struct Fleet {
    fronts: usize,
    cells: usize,
    rate: f64,
    late: f64,
    restart: usize,
    /// How long the fronts have run when the first server is replaced.
    before: f64,
    /// Cells that hold a title, and a crowd that comes within three seconds for one that the new server's cell holds first.
    holders: usize,
    crowd: usize,
}

struct Day {
    fleet: Fleet,
    rnd: oorandom::Rand64,
    seed: u64,
    now: f64,
    next: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, Event>,
    desks: Vec<Dispatcher>,
    /// How often each front was started, so that what concerns an earlier start is passed over.
    starts: Vec<u64>,
    weights: Vec<f64>,
    listings: Vec<Listing>,
    playing: BTreeMap<u32, usize>,
    /// When the servers that have started lately were sent set-ups.
    cold: BTreeMap<u32, Vec<f64>>,
    plays: u64,
}

fn sheet(fleet: &Fleet, rank: usize) -> Settings {
    let numbers = [
        ("balancers", fleet.fronts as f64),
        ("rank", rank as f64),
        ("products.0.importance", 1.0),
        ("products.0.first_frame_target", 800.0),
        ("extra.ladder_kb.0", 300.0),
        ("extra.ladder_kb.1", 800.0),
        ("extra.ladder_kb.2", 2_000.0),
        ("extra.rung_worth.0", 0.3),
        ("extra.rung_worth.1", 0.7),
        ("extra.rung_worth.2", 1.0),
        ("extra.link_unit_kb", LINK),
        ("extra.rack_link_kb", LINK * fleet.cells as f64),
        ("extra.fleet_kb", LINK * fleet.cells as f64),
        ("extra.cabinets", 1.0),
        ("extra.places", fleet.cells as f64),
        ("extra.places_by_kind.0", PLACES),
        ("extra.seen_after", 300.0),
        ("extra.stall_cost", 7.0),
        ("extra.change_costs_s", 0.5),
        ("ceilings.attempts_cap", 4.0),
        ("ceilings.probes", 1.0),
        ("costs.probe", 0.01),
        ("rules.cold", COLD),
        ("rules.cold_from", FROM),
        ("rules.overload_factor", FACTOR),
    ];
    let mut sheet: Settings =
        numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect();
    sheet.insert("products.0.effect".into(), Value::Text("read_like".into()));
    sheet
}

impl Day {
    fn new(fleet: Fleet, seed: u64) -> Day {
        let mut rnd = oorandom::Rand64::new(seed.into());
        let line = |s: usize| Listing {
            server: s,
            cell: s,
            standing: Standing::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        // Some fronts have several times the mean.
        let weights: Vec<f64> = (0..fleet.fronts).map(|_| -(1.0 - rnd.rand_float()).ln()).collect();
        let mut day = Day {
            fleet,
            rnd,
            seed,
            now: 1_000_000.0,
            next: 0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            desks: (0..fleet.fronts)
                .map(|f| Dispatcher::new(sheet(&fleet, f), seed * 1_000 + f as u64))
                .collect(),
            starts: vec![0; fleet.fronts],
            weights,
            listings: (0..fleet.cells).map(line).collect(),
            playing: BTreeMap::new(),
            cold: BTreeMap::new(),
            plays: 0,
        };
        for front in 0..fleet.fronts {
            day.tell(front, false);
            day.asks(front);
        }
        day
    }

    fn after(&mut self, wait: f64, event: Event) {
        self.next += 1;
        self.what.insert(self.next, event);
        self.events.push(Reverse((((self.now + wait) * 1000.0).ceil() as u64, self.next)));
    }

    fn asks(&mut self, front: usize) {
        let all: f64 = self.weights.iter().sum();
        let rate = self.fleet.rate * self.fleet.cells as f64 * self.weights[front] / all / 1000.0;
        let wait = -(1.0 - self.rnd.rand_float()).ln() / rate.max(1e-9);
        self.after(wait, Event::Ask(front));
    }

    fn tell(&mut self, front: usize, cached: bool) {
        let lines: Vec<(u32, Listing)> = self.listings.iter().map(|l| (l.server as u32, *l)).collect();
        self.call(front, &mut |desk, now, _| desk.update_list(now, true, cached, &lines));
    }

    fn load(&self, server: u32) -> Vec<LoadMetric> {
        let there = *self.playing.get(&server).unwrap_or(&0) as f64;
        vec![LoadMetric::Link(there * 800.0 / LINK), LoadMetric::Streams(there)]
    }

    fn call(&mut self, front: usize, what: &mut dyn FnMut(&mut Dispatcher, f64, &mut Noted)) {
        let mut noted = Noted::default();
        what(&mut self.desks[front], self.now, &mut noted);
        while self.desks[front].end_turn(self.now, &mut noted) {}
        let start = self.starts[front];
        for (mark, wait) in std::mem::take(&mut noted.wakes) {
            self.after(wait, Event::Wake(front, mark, start));
        }
        for (play, server) in std::mem::take(&mut noted.sends) {
            if let Some(sends) = self.cold.get_mut(&server) {
                sends.push(self.now);
            }
            self.after(30.0, Event::Answered(front, play, server));
        }
        for server in std::mem::take(&mut noted.probes) {
            let load = self.load(server);
            self.call(front, &mut |desk, now, noted| desk.on_load_report(now, server, &load, noted));
        }
    }

    fn comes(&mut self, front: usize, title: u64) {
        self.plays += 1;
        let (play, first_cell) = (self.plays, title as usize % self.fleet.cells);
        let (came, limit) = (self.now, self.now + 3_000.0);
        let wish = PlayRequest {
            product: 0,
            title,
            first_cell,
            holders: self.fleet.holders,
            max_rung: 2,
            arrived_at: came,
            deadline: limit,
        };
        self.call(front, &mut |desk, now, noted| desk.add_play(now, play, &wish, noted));
    }

    /// A front, the busier the likelier.
    fn some_front(&mut self) -> usize {
        let mut draw = self.rnd.rand_float() * self.weights.iter().sum::<f64>();
        let drawn = self.weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, id))) = self.events.pop() else { return false };
        self.now = at as f64 / 1000.0;
        match self.what.remove(&id).expect("it was set") {
            Event::Ask(front) => {
                self.asks(front);
                // A few titles are wanted by many.
                let title = self.rnd.rand_float().powi(2) * 3.0 * self.fleet.cells as f64;
                self.comes(front, title as u64);
            }
            Event::Crowd(front, cell) => self.comes(front, cell as u64),
            Event::Wake(front, mark, start) if self.starts[front] == start => {
                self.call(front, &mut |desk, now, noted| desk.on_timer(now, mark, noted));
            }
            Event::Answered(front, play, server) => {
                if self.desks[front].play(play).is_none() {
                    return true;
                }
                if self.listings.iter().all(|l| l.server as u32 != server) {
                    self.call(front, &mut |desk, now, noted| {
                        desk.on_allocation_ended(now, play, server, Outcome::NeverSent, false, &[], noted);
                    });
                    return true;
                }
                *self.playing.entry(server).or_default() += 1;
                let load = self.load(server);
                self.call(front, &mut |desk, now, noted| {
                    desk.on_playing(now, play, noted);
                    desk.on_load_report(now, server, &load, noted);
                });
                let life = -(1.0 - self.rnd.rand_float()).ln() * LIFE;
                self.after(life, Event::Ends(front, play, server));
            }
            Event::Ends(front, play, server) => {
                if let Some(there) = self.playing.get_mut(&server) {
                    *there = there.saturating_sub(1);
                }
                let load = self.load(server);
                self.call(front, &mut |desk, now, noted| {
                    desk.on_allocation_ended(now, play, server, Outcome::Finished, true, &load, noted);
                });
            }
            Event::Replaced(new) => {
                let cell = new as usize % self.fleet.cells;
                let line = Listing {
                    server: new as usize,
                    cell,
                    standing: Standing::Ready,
                    weight: 1.0,
                    started_at: self.now,
                    ..Listing::default()
                };
                let old = self.listings.iter_mut().find(|l| l.cell == cell).expect("one a cell");
                *old = line;
                self.cold.insert(new, Vec::new());
                for front in 0..self.fleet.fronts {
                    let wait = 100.0 + self.rnd.rand_float() * self.fleet.late;
                    self.after(wait, Event::Told(front));
                }
                for _ in 0..self.fleet.crowd {
                    let (front, wait) = (self.some_front(), 1_500.0 + 3_000.0 * self.rnd.rand_float());
                    self.after(wait, Event::Crowd(front, cell));
                }
                for _ in 0..self.fleet.restart {
                    let front = self.rnd.rand_range(0..self.fleet.fronts as u64) as usize;
                    let wait = self.rnd.rand_float() * 0.7 * COLD;
                    self.after(wait, Event::Restarts(front));
                }
            }
            Event::Told(front) => self.tell(front, false),
            Event::Restarts(front) => {
                self.starts[front] += 1;
                let seed = self.seed * 1_000 + front as u64 + 7_777 * self.starts[front];
                self.desks[front] = Dispatcher::new(sheet(&self.fleet, front), seed);
                self.tell(front, true);
                self.after(200.0, Event::Told(front));
            }
            Event::Wake(..) => {}
        }
        true
    }
}

/// What a server that started at `born` may be sent in the window that ends at `at`: the integral of what it can do, times the factor.
fn budget(born: f64, at: f64) -> f64 {
    let share = |t: f64| FROM + (1.0 - FROM) * ((t - born) / COLD).clamp(0.0, 1.0);
    let from = (at - FALL).max(born);
    FACTOR * PLACES / COLD * (at - from) * (share(from) + share(at)) / 2.0
}

/// Plays a day on which servers are replaced, and tells in how many cold starts the fleet's sends went beyond what chance is allowed,
/// how many there were, and what was sent over what was allowed in the mean.
fn play(fleet: Fleet, seed: u64) -> (usize, usize, f64) {
    let mut day = Day::new(fleet, seed);
    let begins = day.now + fleet.before;
    let starts = fleet.cells as u32;
    for i in 0..starts {
        let new = fleet.cells as u32 * (1 + i / fleet.cells as u32) + i;
        let at = begins + f64::from(i) * 3_000.0 - day.now;
        day.after(at, Event::Replaced(new));
    }
    let end = begins + f64::from(starts) * 3_000.0 + COLD;
    while day.now < end && day.step() {}
    let (mut broken, mut used, mut may) = (0, 0.0, 0.0);
    for (server, sends) in &day.cold {
        let Some(born) = day.listings.iter().find(|l| l.server as u32 == *server).map(|l| l.started_at)
        else {
            continue;
        };
        let over = |at: &f64| {
            let n = budget(born, *at);
            let sent = sends.iter().filter(|t| **t <= *at && **t > *at - FALL).count() as f64;
            sent > n + 2.0 * n.sqrt() + 2.0
        };
        let within: Vec<f64> = sends.iter().copied().filter(|t| *t < born + COLD).collect();
        broken += usize::from(within.iter().any(over));
        used += within.len() as f64;
        may += FACTOR * PLACES * (1.0 + FROM) / 2.0;
    }
    (broken, day.cold.len(), used / may)
}

/// Fronts that have run for 5 s, lists up to 1.4 s late, a crowd for one title after each start; without restarts and with a third of
/// the fronts restarted while the server warms up.
#[test_case(20, 12, 6.0, 2, 100; "20 fronts")]
#[test_case(30, 12, 6.0, 1, 100; "30 fronts, one holder")]
#[test_case(30, 12, 1.0, 1, 200; "30 fronts, thin traffic and a large crowd")]
#[test_case(100, 20, 3.0, 1, 200; "100 fronts, thin traffic and a large crowd")]
#[test_case(300, 30, 6.0, 2, 200; "300 fronts")]
fn a_cold_server_is_sent_no_more_than_its_budget_and_chance(
    fronts: usize,
    cells: usize,
    rate: f64,
    holders: usize,
    crowd: usize,
) {
    for restart in [0, fronts / 3] {
        let fleet = Fleet { fronts, cells, rate, late: 1_400.0, restart, before: 5_000.0, holders, crowd };
        let seeds = 1..=if fronts > 50 { 6 } else { 12 };
        let (mut starts, mut used) = (0, 0.0);
        for seed in seeds.clone() {
            let (broken, all, part) = play(fleet, seed);
            assert_eq!(broken, 0, "of {all} starts, seed {seed}, {restart} restarts");
            (starts, used) = (starts + all, used + part);
        }
        // Nobody is kept out for that: a part of what they may take is taken.
        let used = used / seeds.count() as f64;
        assert!(used > 0.1, "{used:.2} of what {starts} may take");
    }
}
