//! Three fronts, four servers in two zones, viewers and a name service in simulated time, from one seed. Servers crash and
//! come back cold, drain, fall silent; fronts share what they know. What players and servers see is a history.

use crate::inbox::{self, SetUp};
use crate::{Kind, MutatedMessage};
use oorandom::Rand64;
use pulleystair::{Listing, Outcome as End, ServerHint, Standing};
use pulleystair_fleet_member::{policy_hint, stable_id};
use pulleystair_rule_checker::rules::check;
use pulleystair_rule_checker::{Observation, Observed};
use pulleystair_shared_state::budgets::PARTS_PER_FRONT;
use std::collections::{BTreeMap, BTreeSet};

use crate::front::{Front, Session, front, terms};

pub const FRONTS: usize = 3;
pub const SERVERS: usize = 4;
/// The front that speaks HTTP to servers; the others speak RTSP.
pub(crate) const BY_HTTP: usize = 2;
pub(crate) const STREAMS: f64 = 40.0;
pub(crate) const LIMIT: f64 = 1_500.0;
/// Plays come until then, and the rest of the run heals.
const BUSY: f64 = 2_000.0;
/// Messages until then are the run's; what comes later heals.
pub(crate) const RECORDED: f64 = 2_300.0;
const END: f64 = 4_600.0;
pub(crate) const COLD: f64 = 2_000.0;

pub(crate) enum Event {
    Comes(usize),
    Mail(Mail),
    /// One that was late, doubled or overtaken: it is not looked at again.
    Again(Mail),
    Wake(usize, u32),
    TimeOut(usize, u64, u32),
    Fellow(usize),
    Asks(usize),
    Ends(usize, usize, u64, u32),
    Unreachable(usize, u64, u32),
    Trouble(usize),
}

/// A message to a front: from which server or front, and of a server's, on which connection and to which allocation.
#[derive(Clone)]
pub(crate) struct Mail {
    pub(crate) to: usize,
    pub(crate) kind: Kind,
    pub(crate) bytes: Vec<u8>,
    pub(crate) from: usize,
    pub(crate) line: u64,
    pub(crate) of: (u64, u32),
}

#[derive(Clone, Copy)]
pub(crate) struct Host {
    pub(crate) up: bool,
    pub(crate) silent: bool,
}

/// What the run came to.
#[derive(Debug, Default)]
pub struct RunResult {
    pub messages: Vec<(Kind, Vec<u8>)>,
    pub breaches: Vec<(u8, String)>,
    pub requests: usize,
    /// The most that all fronts together ever held of a server's pace, and what they may.
    pub held: u32,
    pub total_parts: u32,
    pub lent: bool,
    /// At the end, by each front: the verdict's status, fronts that it calls other than in step, zones and servers doubted.
    pub status: Vec<u8>,
    pub doubted: Vec<usize>,
    /// Whether each goes by the latest list.
    pub listed: Vec<bool>,
    pub lost: Vec<bool>,
    /// Allocations of which each front's estimates speak, and those that there were.
    pub answers: Vec<u32>,
    pub sent: u32,
}

pub struct World {
    pub(crate) now: f64,
    pub(crate) rnd: Rand64,
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) next: u64,
    pub(crate) fronts: Vec<Front>,
    pub(crate) hosts: [Host; SERVERS],
    pub(crate) list: Vec<Listing>,
    pub(crate) serial: u32,
    pub(crate) seen: Vec<Observation>,
    pub(crate) requests: u64,
    pub(crate) change: Option<MutatedMessage>,
    /// The last message of each kind, and one that waits to be overtaken.
    pub(crate) before: BTreeMap<Kind, Vec<u8>>,
    pub(crate) overtaken: Option<Mail>,
    pub(crate) out: RunResult,
}

impl World {
    pub fn new(seed: u64, change: Option<MutatedMessage>) -> World {
        let listing = |s: usize| Listing {
            server: s,
            zone: s % 2,
            cell: s,
            standing: Standing::Ready,
            weight: 4.0,
            ..Listing::default()
        };
        let mut world = World {
            now: 0.0,
            rnd: Rand64::new(seed.into()),
            queue: BTreeMap::new(),
            next: 0,
            fronts: (0..FRONTS).map(|f| front(f, seed)).collect(),
            hosts: [Host { up: true, silent: false }; SERVERS],
            list: (0..SERVERS).map(listing).collect(),
            serial: 1,
            seen: Vec::new(),
            requests: 0,
            change,
            before: BTreeMap::new(),
            overtaken: None,
            out: RunResult { total_parts: FRONTS as u32 * PARTS_PER_FRONT, ..RunResult::default() },
        };
        for f in 0..FRONTS {
            world.saw(Observed::Front { front: f, up: true });
            world.at(0.0, Event::Asks(f));
            world.at(1.0, Event::Fellow(f));
            world.at(20.0, Event::Comes(f));
        }
        (0..6).for_each(|i| world.at([500.0, 700.0, 900.0, 1_300.0, 1_500.0, 1_900.0][i], Event::Trouble(i)));
        world
    }

    pub(crate) fn saw(&mut self, what: Observed) {
        self.seen.push(Observation { at: self.now, what });
    }

    pub(crate) fn at(&mut self, wait: f64, event: Event) {
        self.next += 1;
        self.queue.insert((((self.now + wait) * 1_000.0).ceil() as u64, self.next), event);
    }

    pub(crate) fn draw(&mut self) -> f64 {
        self.rnd.rand_float()
    }

    pub fn run(mut self) -> RunResult {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at as f64 / 1_000.0;
            if self.now > END {
                break;
            }
            self.event(event);
            let parts = |s: usize| -> u32 {
                let id = stable_id(&format!("m{s}"));
                self.fronts.iter().map(|f| f.fellow.budget_parts(self.now, id)).sum()
            };
            let held = (0..SERVERS).map(parts).max().unwrap_or(0);
            self.out.held = self.out.held.max(held);
            self.out.lent |= self.fronts[0].fellow.budget_parts(self.now, stable_id("m0")) > PARTS_PER_FRONT;
        }
        self.now = END;
        for f in 0..FRONTS {
            let front = &mut self.fronts[f];
            let fleet = front.fellow.drift(END, END).expect("a version is approved");
            self.out.status.push(fleet.status());
            self.out.listed.push(front.rev == Some(self.serial));
            self.out.doubted.push(front.fellow.health().doubted.len());
            self.out.lost.push(front.fellow.health().lost.is_some());
            self.out.answers.push(front.fellow.whatif(END, |_| true).plays);
        }
        let (breaches, covered) = check(&self.seen, &terms());
        self.out.breaches = breaches.into_iter().map(|b| (b.rule, format!("{b:?}"))).collect();
        self.out.requests = covered.requests;
        self.out
    }

    // ---- what happens ----

    fn event(&mut self, event: Event) {
        match event {
            Event::Mail(mail) => self.mail(mail),
            Event::Again(mail) => self.take(mail),
            Event::Wake(f, mark) => self.call(f, |desk, now, hands| desk.on_timer(now, mark, hands)),
            Event::Comes(f) => self.comes(f),
            Event::TimeOut(f, play, n) => {
                let out = |s: &Session| s.n == n && matches!(s.at, Some((_, false)));
                if self.fronts[f].sessions.get(&play).is_some_and(out) {
                    self.over(f, play, End::TimedOut, &[]);
                }
            }
            Event::Unreachable(f, play, n) => {
                if self.fronts[f].sessions.get(&play).is_some_and(|s| s.n == n && s.at.is_some()) {
                    self.over(f, play, End::Unreachable, &[]);
                }
            }
            Event::Fellow(f) => self.look(f),
            Event::Asks(f) => {
                self.at(150.0, Event::Asks(f));
                let id = self.rnd.rand_range(0..1 << 16) as u16;
                let asked = &mut self.fronts[f].asked;
                asked.push_back(id);
                if asked.len() > 8 {
                    asked.pop_front();
                }
                let bytes = inbox::names(id, self.serial, &self.list);
                self.post(2.0, Mail { to: f, kind: Kind::Names, bytes, from: 0, line: 0, of: (0, 0) });
            }
            Event::Ends(f, server, play, n) => {
                let stood = |s: &Session| s.n == n && s.at == Some((server, true));
                if !self.fronts[f].sessions.get(&play).is_some_and(stood) {
                    return;
                }
                if f == BY_HTTP {
                    return self.over(f, play, End::Finished, &[]);
                }
                let line = self.fronts[f].lines[server];
                let mail = |bytes| Mail { to: f, kind: Kind::Rtsp, bytes, from: server, line, of: (play, n) };
                self.post(0.5, mail(inbox::note(play, 0.4)));
                self.post(1.0, mail(inbox::ending(play)));
            }
            Event::Trouble(i) => self.trouble(i),
        }
    }

    fn comes(&mut self, f: usize) {
        // A crowd at the first front, while the first server is cold.
        let crowd = f == 0 && (900.0..1_300.0).contains(&self.now);
        let mean = if crowd { 18.0 } else { 70.0 };
        let gap = -mean * (1.0 - self.draw()).ln();
        if self.now + gap < BUSY {
            self.at(gap, Event::Comes(f));
        }
        let (product, cell) = ((self.draw() * 3.0) as usize, (self.draw() * SERVERS as f64) as usize);
        let (cell, holders) = if crowd { (0, 1) } else { (cell, 3) };
        let play = (f as u64 + 1) << 32 | (self.next & 0xffff_ffff);
        let it = SetUp {
            play,
            product,
            title: format!("t{cell}"),
            limit: LIMIT,
            first_cell: cell,
            holders,
            top: 1,
        };
        self.post(
            1.0,
            Mail { to: f, kind: Kind::Signal, bytes: inbox::set_up(&it), from: 0, line: 0, of: (0, 0) },
        );
    }

    fn look(&mut self, f: usize) {
        let now = self.now;
        let front = &mut self.fronts[f];
        let id = |s: &u32| stable_id(&format!("m{s}"));
        front.fellow.on_waiting(now, front.desk.awaited_servers().iter().map(id));
        let counts = front.desk.play_counts();
        front.fellow.set_play_counts(counts.iter().map(|((s, p), c)| ((id(s), *p as u16), *c)).collect());
        let (given, out) = front.fellow.tick(now, now);
        let due = front.fellow.next_deadline();
        let numbers: BTreeMap<u64, u32> = (0..SERVERS as u32).map(|s| (id(&s), s)).collect();
        let given: Vec<(u32, ServerHint)> =
            given.iter().filter_map(|it| Some((*numbers.get(&it.server)?, policy_hint(it)))).collect();
        self.call(f, |desk, now, _| desk.apply_hints(now, &given));
        self.datagrams(f, out);
        self.at((due - now).max(0.001), Event::Fellow(f));
    }

    fn listed(&mut self, server: usize, standing: Standing) {
        self.serial += 1;
        self.list[server].standing = standing;
        self.saw(Observed::Listed { server, ready: standing == Standing::Ready });
    }

    fn trouble(&mut self, i: usize) {
        match i {
            // The first server dies and comes back cold; the second drains; the third falls silent for a while.
            0 => {
                self.hosts[0].up = false;
                self.saw(Observed::Stopped { server: 0 });
                for f in 0..FRONTS {
                    let here =
                        |(play, s): (&u64, &Session)| s.at.is_some_and(|at| at.0 == 0).then_some(*play);
                    let lost: BTreeSet<u64> = self.fronts[f].sessions.iter().filter_map(here).collect();
                    self.fronts[f].lines[0] += 1;
                    lost.into_iter().for_each(|play| self.over(f, play, End::Broken, &[]));
                }
                self.listed(0, Standing::Gone);
            }
            1 => {
                self.hosts[0].up = true;
                self.saw(Observed::Started { server: 0, cold: true });
                self.list[0].started_at = self.now;
                self.listed(0, Standing::Ready);
            }
            2 => self.listed(1, Standing::Draining),
            3 => self.hosts[2].silent = true,
            4 => self.listed(1, Standing::Ready),
            _ => self.hosts[2].silent = false,
        }
    }
}
