//! Three fronts, four servers in two zones, viewers and a name service in simulated time, from one seed. Servers crash and
//! come back cold, drain, fall silent; fronts share what they know. What players and servers see is a history.

use crate::inbox::{self, SetUp};
use crate::{Change, How, Kind, fields};
use oorandom::Rand64;
use pulleystair::{CallSheet, Figure, Given, Listing, Outcome as End, Standing, Value};
use pulleystair_desk::{Desk, Hands, Wish};
use pulleystair_drift::Sections;
use pulleystair_drift::approved::{Chain, Document, Stage};
use pulleystair_edge::http;
use pulleystair_fellow::{Candidate, Ended, Exchange, Fellow, Listed, Met, Terms as Share, number_of};
use pulleystair_gossip::message::Origin;
use pulleystair_gossip::origin_of;
use pulleystair_rtsp as rtsp;
use pulleystair_shared::Server;
use pulleystair_shared::budgets::OWN;
use pulleystair_witness::rules::{Budget, Effect, Group, Product, Terms, check};
use pulleystair_witness::{Seen, What};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const FRONTS: usize = 3;
pub const SERVERS: usize = 4;
/// The front that speaks HTTP to servers; the others speak RTSP.
const BY_HTTP: usize = 2;
const STREAMS: f64 = 40.0;
const LIMIT: f64 = 1_500.0;
/// Plays come until then, and the rest of the run heals.
const BUSY: f64 = 2_000.0;
/// Messages until then are the run's; what comes later heals.
const RECORDED: f64 = 2_300.0;
const END: f64 = 4_600.0;
const COLD: f64 = 2_000.0;

enum Event {
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
struct Mail {
    to: usize,
    kind: Kind,
    bytes: Vec<u8>,
    from: usize,
    line: u64,
    of: (u64, u32),
}

enum Deed {
    Chose(Vec<(u32, f64, f64)>),
    Send(u64, u32, usize, f64),
    Withdraw(u64),
    Step(u64, usize),
    Answer(u64, u16),
    Wake(u32, f64),
    Probe(u32),
}

#[derive(Default)]
struct Deeds(VecDeque<Deed>);

impl Hands for Deeds {
    fn chose(&mut self, _: u64, odds: &[(u32, f64, f64)]) {
        self.0.push_back(Deed::Chose(odds.to_vec()));
    }
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.0.push_back(Deed::Send(play, server, rung, time_out));
    }
    fn withdraw(&mut self, play: u64) {
        self.0.push_back(Deed::Withdraw(play));
    }
    fn step(&mut self, play: u64, rung: usize) {
        self.0.push_back(Deed::Step(play, rung));
    }
    fn probe(&mut self, server: u32) {
        self.0.push_back(Deed::Probe(server));
    }
    fn declined(&mut self, play: u64, _: f64) {
        self.0.push_back(Deed::Answer(play, 503));
    }
    fn failed(&mut self, play: u64) {
        self.0.push_back(Deed::Answer(play, 504));
    }
    fn wake(&mut self, mark: u32, wait: f64) {
        self.0.push_back(Deed::Wake(mark, wait));
    }
    fn follow(&mut self) {}
}

struct Session {
    request: u64,
    product: usize,
    title: String,
    n: u32,
    at: Option<(usize, bool)>,
    sent: f64,
    answered: bool,
}

struct Front {
    desk: Desk,
    fellow: Fellow,
    sessions: BTreeMap<u64, Session>,
    rev: Option<u32>,
    asked: VecDeque<u16>,
    /// Its connection to each server: a new one after it was broken.
    lines: [u64; SERVERS],
    drawn: Vec<(u32, f64, f64)>,
}

#[derive(Clone, Copy)]
struct Host {
    up: bool,
    silent: bool,
}

/// What the run came to.
#[derive(Debug, Default)]
pub struct Outcome {
    pub messages: Vec<(Kind, Vec<u8>)>,
    pub breaches: Vec<(u8, String)>,
    pub requests: usize,
    /// The most that all fronts together ever held of a server's pace, and what they may.
    pub held: u32,
    pub whole: u32,
    pub lent: bool,
    /// At the end, by each front: the verdict's status, fronts that it calls other than in step, zones and servers doubted.
    pub status: Vec<u8>,
    pub doubted: Vec<usize>,
    pub lost: Vec<bool>,
    /// Allocations of which each front's estimates speak, and those that there were.
    pub said: Vec<u32>,
    pub sent: u32,
}

pub struct World {
    now: f64,
    rnd: Rand64,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    fronts: Vec<Front>,
    hosts: [Host; SERVERS],
    list: Vec<Listing>,
    serial: u32,
    seen: Vec<Seen>,
    requests: u64,
    change: Option<Change>,
    /// The last message of each kind, and one that waits to be overtaken.
    before: BTreeMap<Kind, Vec<u8>>,
    overtaken: Option<Mail>,
    out: Outcome,
}

fn name(front: usize) -> String {
    format!("f{front}")
}

fn sheet(rank: usize) -> CallSheet {
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
    let mut sheet: CallSheet = numbers.iter().map(|(n, x)| ((*n).to_string(), Value::Number(*x))).collect();
    for (i, effect) in ["read_like", "non_idempotent", "idempotency_key"].iter().enumerate() {
        let texts = [("effect", *effect), ("key_scope", "zone")];
        let numbers = [("importance", 1.0), ("first_frame_target", 500.0), ("repeat_window", 900.0)];
        sheet.extend(texts.map(|(n, t)| (format!("products.{i}.{n}"), Value::Text(t.into()))));
        sheet.extend(numbers.map(|(n, x)| (format!("products.{i}.{n}"), Value::Number(x))));
    }
    sheet
}

fn terms() -> Terms {
    let product = |effect, floor| Product { limit: LIMIT, effect, floor, top: 1, seats: 0 };
    Terms {
        products: vec![
            product(Effect::Free, 0),
            product(Effect::Paid, 1),
            product(Effect::Keyed { group: Group::Zone, window: 900.0 }, 0),
        ],
        drain_grace: 300.0,
        cold: COLD,
        cold_from: 0.3,
        overload: 2.0,
        fall: 1_000.0,
        streams: vec![STREAMS; SERVERS],
        zones: (0..SERVERS).map(|s| s % 2).collect(),
        cells: (0..SERVERS).collect(),
        budget: Some(Budget { span: 5_000.0, share: 0.1, free: 3.0 }),
        // An answer of the name service may be lost: it is asked for every 150 ms.
        told: 400.0,
        slack: 1.0,
    }
}

fn front(rank: usize, seed: u64) -> Front {
    let exchange = Exchange {
        fleet: "mutated".into(),
        name: name(rank),
        peers: (0..FRONTS).filter(|f| *f != rank).map(name).collect(),
        every: 250.0,
        fan_out: 1,
        bytes_s: 64_000.0,
        doubted: 900.0,
        unheard: 1_600.0,
    };
    let share = Share {
        exchange,
        zone: rank % 2,
        zones: vec!["z0".into(), "z1".into()],
        lend: 600.0,
        further_s: 50.0,
        probes_s: 50.0,
        hold: 0.0,
        stricter: false,
        bucket: 60_000.0,
        longest: LIMIT,
    };
    let sections = Sections::from([("rules".into(), json!({ "drain_grace_ms": 300 }))]);
    let stage = Stage { fronts: vec![], from_ms: 0.0, by_ms: 0.0 };
    let document = Document {
        number: 1,
        parent: None,
        sections: sections.clone(),
        stages: vec![stage],
        by: "the story".into(),
        at_ms: 0.0,
    };
    let mut chain = Chain::default();
    chain.append(document).expect("it is the first");
    let mut fellow = Fellow::new(share, 0.0, 1_000, seed + rank as u64).expect("it fits");
    fellow.approved(chain).expect("it is the first");
    fellow.active(sections);
    Front {
        desk: Desk::new(sheet(rank), seed * 10 + rank as u64),
        fellow,
        sessions: BTreeMap::new(),
        rev: None,
        asked: VecDeque::new(),
        lines: [0; SERVERS],
        drawn: Vec::new(),
    }
}

impl World {
    pub fn new(seed: u64, change: Option<Change>) -> World {
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
            out: Outcome { whole: FRONTS as u32 * OWN, ..Outcome::default() },
        };
        for f in 0..FRONTS {
            world.saw(What::Front { front: f, up: true });
            world.at(0.0, Event::Asks(f));
            world.at(1.0, Event::Fellow(f));
            world.at(20.0, Event::Comes(f));
        }
        (0..6).for_each(|i| world.at([500.0, 700.0, 900.0, 1_300.0, 1_500.0, 1_900.0][i], Event::Trouble(i)));
        world
    }

    fn saw(&mut self, what: What) {
        self.seen.push(Seen { at: self.now, what });
    }

    fn at(&mut self, wait: f64, event: Event) {
        self.next += 1;
        self.queue.insert((((self.now + wait) * 1_000.0).ceil() as u64, self.next), event);
    }

    fn draw(&mut self) -> f64 {
        self.rnd.rand_float()
    }

    pub fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at as f64 / 1_000.0;
            if self.now > END {
                break;
            }
            self.event(event);
            let parts = |s: usize| -> u32 {
                let id = number_of(&format!("m{s}"));
                self.fronts.iter().map(|f| f.fellow.parts(self.now, id)).sum()
            };
            let held = (0..SERVERS).map(parts).max().unwrap_or(0);
            self.out.held = self.out.held.max(held);
            self.out.lent |= self.fronts[0].fellow.parts(self.now, number_of("m0")) > OWN;
        }
        self.now = END;
        for f in 0..FRONTS {
            let front = &mut self.fronts[f];
            let fleet = front.fellow.drift(END, END).expect("a version is approved");
            self.out.status.push(fleet.status());
            self.out.doubted.push(front.fellow.belief().doubted.len());
            self.out.lost.push(front.fellow.belief().lost.is_some());
            self.out.said.push(front.fellow.whatif(END, |_| true).plays);
        }
        let (breaches, covered) = check(&self.seen, &terms());
        self.out.breaches = breaches.into_iter().map(|b| (b.rule, format!("{b:?}"))).collect();
        self.out.requests = covered.requests;
        self.out
    }

    // ---- messages ----

    fn post(&mut self, wait: f64, mail: Mail) {
        self.at(wait, Event::Mail(mail));
    }

    /// A message of the run has come: the one that is to be changed is, all others are taken as they are.
    fn mail(&mut self, mail: Mail) {
        if self.now > RECORDED {
            return self.take(mail);
        }
        let number = self.out.messages.len();
        self.out.messages.push((mail.kind, mail.bytes.clone()));
        let before = self.before.insert(mail.kind, mail.bytes.clone());
        let how = self.change.filter(|c| c.at == number).map(|c| c.how);
        let size = mail.bytes.len();
        match how {
            Some(How::Dropped) => {}
            Some(How::Doubled) => {
                self.take(mail.clone());
                self.take(mail);
            }
            Some(How::Late(ms)) => self.at(f64::from(ms), Event::Again(mail)),
            Some(How::Swapped) => self.overtaken = Some(mail),
            Some(How::Cut(eighths)) => {
                self.take(Mail { bytes: mail.bytes[..size * eighths / 8].to_vec(), ..mail })
            }
            Some(How::Bit(part)) => {
                let mut bytes = mail.bytes;
                bytes[size * part / 64] ^= 1 << (part % 8);
                self.take(Mail { bytes, ..mail });
            }
            Some(How::Field(field, to)) => {
                let fleet =
                    mail.bytes.get(1..5).and_then(|b| b.try_into().ok()).map_or(0, u32::from_be_bytes);
                if let Some(bytes) = fields::set(mail.kind, &mail.bytes, field, to, before.as_deref(), fleet)
                {
                    self.take(Mail { bytes, ..mail });
                }
            }
            None => {
                let to = mail.to;
                self.take(mail);
                if let Some(late) = self.overtaken.take_if(|late| late.to == to) {
                    self.take(late);
                }
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail.kind {
            Kind::Signal => self.set_up(mail.to, &mail.bytes),
            Kind::Names => self.names(mail.to, &mail.bytes),
            Kind::Row => {
                let now = self.now;
                let out = self.fronts[mail.to].fellow.came(now, &mail.bytes);
                self.datagrams(mail.to, out);
            }
            Kind::Rtsp => self.wire(&mail),
            Kind::Http => self.answered_by_http(&mail),
        }
    }

    fn datagrams(&mut self, from: usize, out: Vec<pulleystair_fellow::Out>) {
        for it in out {
            let to = (0..FRONTS).find(|f| origin_of(&name(*f)) as Origin == it.to);
            let Some(to) = to else { continue };
            let wait = 1.0 + 4.0 * self.draw();
            self.post(wait, Mail { to, kind: Kind::Row, bytes: it.bytes, from, line: 0, of: (0, 0) });
        }
    }

    fn set_up(&mut self, f: usize, bytes: &[u8]) {
        // What can't be used is refused, and no play; an id that is known is that play's.
        let Some(it) = inbox::read_set_up(bytes) else { return };
        if self.fronts[f].sessions.contains_key(&it.play) {
            return;
        }
        self.requests += 1;
        let (request, now) = (self.requests, self.now);
        let SetUp { play, product, title, limit, first_cell, holders, top } = it;
        let session = format!("{f}-{play:x}");
        self.saw(What::Asked { request, session, front: f, product, title: title.clone(), top });
        let wish = Wish {
            product,
            title: number_of(&title),
            first_cell,
            holders,
            top,
            came: now,
            limit: now + limit.min(LIMIT),
        };
        let it = Session { request, product, title, n: 0, at: None, sent: 0.0, answered: false };
        self.fronts[f].sessions.insert(play, it);
        self.call(f, |desk, now, hands| desk.take(now, play, &wish, hands));
    }

    fn names(&mut self, f: usize, bytes: &[u8]) {
        let Some((id, serial, lines)) = inbox::read_names(bytes) else { return };
        let front = &mut self.fronts[f];
        if !front.asked.contains(&id) || !pulleystair_names::follows(front.rev, serial) {
            return;
        }
        front.rev = Some(serial);
        let listed = |(server, line): &(u32, Listing)| Listed {
            server: Server {
                id: number_of(&format!("m{server}")),
                zone: line.zone,
                cell: line.cell,
                link: line.weight,
            },
            born: line.born as u64,
            cold_until: line.born + COLD,
        };
        let ready = lines.iter().filter(|l| l.1.standing == Standing::Ready);
        let servers: Vec<Listed> = ready.map(listed).collect();
        let all = servers.iter().map(|s| s.server.id).collect();
        front.fellow.list(&servers, vec![all]);
        self.call(f, |desk, now, _| desk.list(now, true, false, &lines));
    }

    /// What a server says on its connection. What can't be read costs the set-ups that are open on it.
    fn wire(&mut self, mail: &Mail) {
        let (f, server, now) = (mail.to, mail.from, self.now);
        if self.fronts[f].lines[server] != mail.line {
            return;
        }
        let Ok(Some((message, _))) = rtsp::Message::read(&mail.bytes) else {
            self.fronts[f].lines[server] += 1;
            let open = |(play, s): (&u64, &Session)| (s.at == Some((server, false))).then_some(*play);
            let open: Vec<u64> = self.fronts[f].sessions.iter().filter_map(open).collect();
            return open.into_iter().for_each(|play| self.over(f, play, End::Broken, &[]));
        };
        let play = message.session;
        let at = self.fronts[f].sessions.get(&play).and_then(|s| s.at).filter(|at| at.0 == server);
        let load = inbox::report(&message);
        match (&message.start, at) {
            (rtsp::Start::Answer(200), Some((_, false))) => self.stands(f, play, &load),
            (rtsp::Start::Answer(status), Some((_, false))) if *status >= 300 => {
                self.turned_away(f, play, *status, &load)
            }
            (rtsp::Start::Request(method), Some((_, true))) if method == "TEARDOWN" => {
                self.over(f, play, End::Finished, &[]);
            }
            (rtsp::Start::Request(method), Some((_, true))) if method == "ANNOUNCE" => {
                if let Some(figure) = message.number("Figure").filter(|_| message.field("X-Why") == Some("l"))
                {
                    let figure = Figure::Link(figure);
                    self.call(f, |desk, _, hands| desk.note(now, play, server as u32, figure, hands));
                }
            }
            _ => {}
        }
    }

    fn answered_by_http(&mut self, mail: &Mail) {
        let (f, (play, n)) = (mail.to, mail.of);
        let out =
            self.fronts[f].sessions.get(&play).is_some_and(|s| s.n == n && s.at == Some((mail.from, false)));
        if !out {
            return;
        }
        match http::answer(&mail.bytes) {
            Ok(Some((answer, _))) if answer.status == 200 => self.stands(f, play, &[]),
            Ok(Some((answer, _))) => self.turned_away(f, play, answer.status, &[]),
            // The connection is its own: what does not come whole has broken off.
            _ => self.over(f, play, End::Broken, &[]),
        }
    }

    fn stands(&mut self, f: usize, play: u64, load: &[Figure]) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        let Some((server, _)) = it.at else { return };
        it.at = Some((server, true));
        let allocation = format!("{f}-{play:x}-{}", it.n);
        self.met(f, play, server, End::Playing);
        self.saw(What::Done { allocation, ran: true, status: 200 });
        self.answer(f, play, 200);
        let load = load.to_vec();
        self.call(f, |desk, now, hands| {
            desk.playing(now, play, hands);
            desk.report(now, server as u32, &load, hands);
        });
    }

    fn turned_away(&mut self, f: usize, play: u64, status: u16, load: &[Figure]) {
        let Some(it) = self.fronts[f].sessions.get(&play) else { return };
        let full = status == 453 || status == 429;
        let allocation = format!("{f}-{play:x}-{}", it.n);
        self.saw(What::Done { allocation, ran: !full, status: if full { 429 } else { 502 } });
        self.over(f, play, if full { End::Full } else { End::Error }, load);
    }

    /// An allocation is out no more, or a play has ended.
    fn over(&mut self, f: usize, play: u64, outcome: End, load: &[Figure]) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        let Some((server, playing)) = it.at.take() else { return };
        let allocation = format!("{f}-{play:x}-{}", it.n);
        if !playing {
            self.met(f, play, server, outcome);
        }
        self.saw(What::Closed { allocation });
        let load = load.to_vec();
        self.call(f, |desk, now, hands| desk.ended(now, play, server as u32, outcome, playing, &load, hands));
    }

    fn met(&mut self, f: usize, play: u64, server: usize, outcome: End) {
        let now = self.now;
        let Some(it) = self.fronts[f].sessions.get(&play) else { return };
        let (n, waited) = (it.n, now - it.sent);
        let id = number_of(&format!("m{server}"));
        let met = match outcome {
            End::Playing => Some(Met::Success),
            End::Error => Some(Met::Error),
            End::TimedOut | End::Broken => Some(Met::TimedOut),
            End::Unreachable => Some(Met::Refused),
            _ => None,
        };
        let fellow = &mut self.fronts[f].fellow;
        met.into_iter().for_each(|met| fellow.met(now, id, met));
        let how = if outcome == End::Playing { Ended::Playing(waited) } else { Ended::GivenUp(waited) };
        fellow.ledger.ended(now, play, n, how);
    }

    fn answer(&mut self, f: usize, play: u64, status: u16) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        assert!(!std::mem::replace(&mut it.answered, true), "answered twice");
        let request = it.request;
        self.saw(What::Answered { request, status });
    }

    // ---- what the desk has done ----

    fn call(&mut self, f: usize, call: impl FnOnce(&mut Desk, f64, &mut Deeds)) {
        let mut deeds = Deeds::default();
        call(&mut self.fronts[f].desk, self.now, &mut deeds);
        self.fronts[f].desk.turn_ends(self.now, &mut deeds);
        while let Some(deed) = deeds.0.pop_front() {
            match deed {
                Deed::Chose(odds) => self.fronts[f].drawn = odds,
                Deed::Send(play, server, rung, time_out) => {
                    self.send(f, play, server as usize, rung, time_out)
                }
                Deed::Withdraw(play) => self.over(f, play, End::Withdrawn, &[]),
                Deed::Step(play, rung) => {
                    if let Some(it) = self.fronts[f].sessions.get(&play).filter(|it| it.at.is_some()) {
                        let allocation = format!("{f}-{play:x}-{}", it.n);
                        self.saw(What::Rung { allocation, rung });
                    }
                }
                Deed::Answer(play, status) => self.answer(f, play, status),
                Deed::Wake(mark, wait) => self.at(wait, Event::Wake(f, mark)),
                Deed::Probe(server) => {
                    let now = self.now;
                    self.fronts[f].fellow.probed(now, number_of(&format!("m{server}")));
                }
            }
        }
    }

    fn send(&mut self, f: usize, play: u64, server: usize, rung: usize, time_out: f64) {
        let now = self.now;
        let dice = self.draw();
        let front = &mut self.fronts[f];
        let Some(it) = front.sessions.get_mut(&play) else { return };
        assert!(it.at.is_none(), "one at a time");
        it.n += 1;
        (it.at, it.sent) = (Some((server, false)), now);
        let (n, product, title) = (it.n, it.product, it.title.clone());
        let candidate = |(s, chance, room): &(u32, f64, f64)| Candidate {
            server: number_of(&format!("m{s}")),
            born: 0,
            zone: *s as usize % 2,
            chance: *chance,
            room: *room,
        };
        let chosen = front.drawn.iter().position(|d| d.0 as usize == server);
        let candidates = front.drawn.iter().map(candidate).collect();
        front.fellow.sent(now, number_of(&format!("m{server}")), n > 1);
        if let Some(chosen) = chosen {
            front.fellow.ledger.chosen(play, n, product as u16, 1, chosen, candidates);
        }
        self.out.sent += 1;
        self.at(time_out, Event::TimeOut(f, play, n));
        if server >= SERVERS || !self.hosts[server].up {
            return self.at(1.0, Event::Unreachable(f, play, n));
        }
        let (allocation, session) = (format!("{f}-{play:x}-{n}"), format!("{f}-{play:x}"));
        self.saw(What::SetUp { server, allocation, session, product, title, rung });
        if self.hosts[server].silent {
            return;
        }
        let there = self.fronts.iter().flat_map(|f| f.sessions.values());
        let there = there.filter(|s| s.at.is_some_and(|at| at.0 == server)).count() as f64;
        let (wait, status) = match dice {
            _ if there > STREAMS => (2.0, 453),
            _ if dice < 0.04 => (3.0, 500),
            _ => (15.0 + 60.0 * dice, 200),
        };
        let mail = if f == BY_HTTP {
            let status = if status == 453 { 429 } else { status };
            let head = if status == 200 { "Transfer-Encoding: chunked" } else { "Content-Length: 0" };
            let bytes = format!("HTTP/1.1 {status} Told\r\n{head}\r\n\r\n").into_bytes();
            Mail { to: f, kind: Kind::Http, bytes, from: server, line: 0, of: (play, n) }
        } else {
            let bytes = inbox::answer(status, play, there / STREAMS);
            let line = self.fronts[f].lines[server];
            Mail { to: f, kind: Kind::Rtsp, bytes, from: server, line, of: (play, n) }
        };
        self.post(wait, mail);
        if status == 200 {
            self.at(wait + 200.0 + 500.0 * dice, Event::Ends(f, server, play, n));
        }
    }

    // ---- what happens ----

    fn event(&mut self, event: Event) {
        match event {
            Event::Mail(mail) => self.mail(mail),
            Event::Again(mail) => self.take(mail),
            Event::Wake(f, mark) => self.call(f, |desk, now, hands| desk.rings(now, mark, hands)),
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
        let id = |s: &u32| number_of(&format!("m{s}"));
        front.fellow.waits(now, front.desk.waited_for().iter().map(id));
        let counts = front.desk.counts();
        front.fellow.counts(counts.iter().map(|((s, p), c)| ((id(s), *p as u16), *c)).collect());
        let (given, out) = front.fellow.look(now, now);
        let due = front.fellow.due();
        let numbers: BTreeMap<u64, u32> = (0..SERVERS as u32).map(|s| (id(&s), s)).collect();
        let given: Vec<(u32, Given)> = given
            .iter()
            .filter_map(|it| {
                let told = Given {
                    server: 0,
                    doubted: it.doubted,
                    pace: it.pace,
                    further_gap: it.further_gap,
                    probe_gap: it.probe_gap,
                };
                Some((*numbers.get(&it.server)?, told))
            })
            .collect();
        self.call(f, |desk, now, _| desk.given(now, &given));
        self.datagrams(f, out);
        self.at((due - now).max(0.001), Event::Fellow(f));
    }

    fn listed(&mut self, server: usize, standing: Standing) {
        self.serial += 1;
        self.list[server].standing = standing;
        self.saw(What::Listed { server, ready: standing == Standing::Ready });
    }

    fn trouble(&mut self, i: usize) {
        match i {
            // The first server dies and comes back cold; the second drains; the third falls silent for a while.
            0 => {
                self.hosts[0].up = false;
                self.saw(What::Stopped { server: 0 });
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
                self.saw(What::Started { server: 0, cold: true });
                self.list[0].born = self.now;
                self.listed(0, Standing::Ready);
            }
            2 => self.listed(1, Standing::Draining),
            3 => self.hosts[2].silent = true,
            4 => self.listed(1, Standing::Ready),
            _ => self.hosts[2].silent = false,
        }
    }
}
