//! All decisions of one front. A caller makes a [`Front`] from its call sheet and seed, tells it facts as
//! they come (`list`, `take`, `adopt`, `figure`, `rung_told`, `left`), and asks three things of it: `place`
//! (where to send this play, or not yet, or never), `after` (what to do after this outcome) and `wait` (how
//! long until the play is to be asked about again). The plain values that pass are defined in `src/lib.rs`.

use crate::{CallSheet, Figure, Listing, Next, Outcome, Place, Play, Standing, Steps, Value, number};
use std::collections::{BTreeMap, VecDeque};

/// A draw below this takes the roomiest holder outright (Wamser et al.).
const WEIGHT: f64 = 0.5;
/// Outcomes that a server is judged by, and how many failures among them make it doubted.
const OUTCOMES: usize = 4;
const FAILURES: usize = 2;
/// Quiet spell before a step up, and the random addition to it, ms.
const QUIET: f64 = 5_000.0;
const JITTER: f64 = 5_000.0;
/// Room left for the spread of true rates and for late figures, in parts of a play's rate over the root of
/// the number of plays.
const SPREAD: f64 = 0.3;
/// All fronts are reckoned to set up as much as this one does in so many ms, where that is over a play.
const RECENT: f64 = 1_500.0;
/// A step down of others must cost this much less importance than it buys.
const BARGAIN: f64 = 1.5;
/// Asked over given from which a link counts as short: figures err by as much, and plays end by themselves.
const SHORT: f64 = 1.04;
/// Part of what would push a cold server over that all fronts together send it.
const PACED: f64 = 0.6;
/// How long a front recalls which servers its plays asked for, ms.
const MEMORY: f64 = 60_000.0;
/// A figure older than this is to be refreshed by a probe, whose answer is waited for so long, ms.
const OLD: f64 = 6_000.0;
const ECHO: f64 = 50.0;
/// What the probes for one allocation may cost, in parts of a play's worth.
const PROBES: f64 = 0.025;
/// So many of the fronts that meet at a server may set up plays there within the life of a figure.
const COMING: f64 = 4.0;
/// Measurements heard closer than this are of one moment, ms.
const APART: f64 = 500.0;

/// What viewers of a live title share at a server.
fn stream(play: &Play) -> (usize, usize, usize) {
    (play.title, play.product, play.rung)
}

struct Product {
    importance: f64,
    target: f64,
    effect: String,
    group: String,
    repeat_window: f64,
    floor: usize,
    top: usize,
    scale: f64,
    live: bool,
    seats: usize,
}

/// A link or uplink: what was asked of it when last measured, and what this front has changed since.
#[derive(Default)]
struct Pipe {
    size: f64,
    asked: Option<f64>,
    /// The measurement before that one, with what this front has changed since.
    before: f64,
    taken: f64,
    /// When the present moment of measurements began.
    heard: f64,
    since: VecDeque<(f64, f64)>,
    /// How many fronts have plays on it, this one included.
    fronts: f64,
    /// What the others are reckoned to have cut for reports up to that time, and have not been heard to.
    cut: (f64, f64),
}

impl Pipe {
    fn measured(&mut self, now: f64, taken: f64, share: f64) {
        if self.asked.is_some() && taken < self.taken {
            return;
        }
        if now >= self.heard + APART {
            (self.before, self.heard) = (self.now_asked().unwrap_or(0.0), now);
        }
        (self.asked, self.taken) = (Some(share.min(100.0) * self.size), taken);
        self.since.retain(|c| c.0 > taken);
        if self.cut.0 <= taken {
            self.cut.1 = 0.0;
        }
    }

    /// What changed before `settled` counts as one change: no measurement still to come is older.
    fn change(&mut self, now: f64, kb: f64, settled: f64) {
        while self.since.len() > 1 && self.since[1].0 <= settled {
            let oldest = self.since.pop_front().map_or(0.0, |c| c.1);
            self.since[0].1 += oldest;
        }
        self.since.push_back((now, kb));
        self.before += kb;
    }

    /// Asked over given where two measurements in a row say so. Guards against blinking links and noise, and
    /// should against any single wrong figure; a real shortage is answered one measurement later.
    fn short_twice(&self) -> f64 {
        self.share().min(self.before / self.size)
    }

    /// The same less what other fronts are reckoned to have cut.
    fn steady_share(&self) -> f64 {
        self.short_twice().min(self.share() - self.cut.1 / self.size)
    }

    fn known(&self, now: f64) -> bool {
        self.asked.is_some() && now - self.taken < OLD
    }

    fn now_asked(&self) -> Option<f64> {
        self.asked.map(|a| (a + self.own_change()).max(0.0))
    }

    fn own_change(&self) -> f64 {
        self.since.iter().map(|c| c.1).sum()
    }

    fn share(&self) -> f64 {
        self.now_asked().map_or(0.0, |a| a / self.size)
    }
}

/// All that is known of one media server.
#[derive(Default)]
struct Server {
    listing: Listing,
    link: Pipe,
    rack: usize,
    /// Streams that it runs at most, and those it was last known to run.
    places: f64,
    streams: f64,
    outcomes: VecDeque<bool>,
    /// Since when it counts as cold: its start, or the last sign that its process may have been lost.
    cold_since: f64,
    next_pace: f64,
    /// Plays that could have gone there, each fading over MEMORY, and when the last was counted.
    asks: (f64, f64),
    plays: Vec<usize>,
    /// Plays that wait for their turn there, by when they came.
    queue: Vec<(f64, usize)>,
}

impl Server {
    fn doubted(&self) -> bool {
        self.outcomes.iter().filter(|ok| !**ok).count() >= FAILURES
    }

    fn heard(&mut self, ok: bool) {
        self.outcomes.push_front(ok);
        self.outcomes.truncate(OUTCOMES);
    }
}

pub struct Front {
    sheet: CallSheet,
    rnd: oorandom::Rand64,
    fronts: f64,
    rank: f64,
    ladder: Vec<f64>,
    earns: Vec<f64>,
    products: Vec<Product>,
    /// The part of its rate that a further viewer adds to a live stream.
    shared: f64,
    servers: Vec<Server>,
    /// The listed servers of each cell, and the uplink of each rack.
    cells: Vec<Vec<usize>>,
    racks: Vec<Pipe>,
    /// Running mean of the links' shares heard, which stands in for servers that are not measured.
    mean: f64,
    fleet: f64,
    /// What this front set up of late, kB, and how many plays wanted a server; both fade over RECENT.
    recent: (f64, f64),
    wanted: f64,
    seats: BTreeMap<(usize, usize), usize>,
    taken: VecDeque<f64>,
    further: VecDeque<f64>,
    /// When a cached list made all servers count as cold.
    cached: f64,
}

fn text(sheet: &CallSheet, name: &str) -> String {
    if let Some(Value::Text(t)) = sheet.get(name) { t.clone() } else { String::new() }
}

fn row(sheet: &CallSheet, name: &str) -> Vec<f64> {
    let given = (0..).take_while(|i| sheet.contains_key(&format!("{name}.{i}")));
    given.map(|i| number(sheet, &format!("{name}.{i}"), 0.0)).collect()
}

/// How many of the fronts meet at a pipe: those that would have a play there if plays of all filled it at the
/// ladder's middle rate. At two or three fronts that is all of them, at hundreds a few.
fn meeting(fronts: f64, ladder: &[f64], size: f64) -> f64 {
    let others = fronts - 1.0;
    let plays = size / ladder[ladder.len() / 2].max(1.0);
    1.0 + others * (1.0 - (1.0 - 1.0 / fronts).powf(plays))
}

/// Those that pass, or all where none does.
fn prefer(from: Vec<usize>, good: impl Fn(&usize) -> bool) -> Vec<usize> {
    let passed: Vec<usize> = from.iter().copied().filter(good).collect();
    if passed.is_empty() { from } else { passed }
}

impl Front {
    pub fn new(sheet: CallSheet, seed: u64) -> Front {
        let mut ladder = row(&sheet, "extra.ladder_kb");
        let mut earns = row(&sheet, "extra.rung_worth");
        ladder.resize(ladder.len().max(1), 0.0);
        earns.resize(ladder.len(), 0.0);
        let product = |i: usize| {
            let of = |part: &str, other: f64| number(&sheet, &format!("products.{i}.{part}"), other);
            let extra = |part: &str, other: f64| number(&sheet, &format!("extra.{part}.{i}"), other);
            Product {
                importance: of("importance", 1.0),
                target: of("first_frame_target", 1000.0),
                effect: text(&sheet, &format!("products.{i}.effect")),
                group: text(&sheet, &format!("products.{i}.key_scope")),
                repeat_window: of("repeat_window", 0.0),
                floor: (extra("class_floor", 0.0) as usize).min(ladder.len() - 1),
                top: extra("top_by_class", 99.0) as usize,
                scale: extra("class_scale", 1.0),
                live: extra("class_live", 0.0) > 0.0,
                seats: extra("seats", 0.0) as usize,
            }
        };
        let count = (0..).take_while(|i| sheet.contains_key(&format!("products.{i}.importance"))).count();
        let products = (0..count).map(product).collect();
        let racks = number(&sheet, "extra.cabinets", 1.0).clamp(1.0, 65_536.0) as usize;
        // A rack's share of all uplinks goes by its part of the cells.
        let (mean, cells) = (number(&sheet, "extra.rack_link_kb", 1.0), number(&sheet, "extra.places", 1.0));
        let fronts = number(&sheet, "balancers", 1.0).max(1.0);
        let rack = |r: usize| {
            let own = ((cells - r as f64) / racks as f64).ceil();
            let size = (mean * racks as f64 * own / cells).max(1.0);
            Pipe { size, fronts: meeting(fronts, &ladder, size), ..Pipe::default() }
        };
        Front {
            racks: (0..racks).map(rack).collect(),
            rnd: oorandom::Rand64::new(seed.into()),
            fronts,
            rank: number(&sheet, "rank", 0.0),
            earns,
            ladder,
            products,
            shared: number(&sheet, "extra.join", 1.0),
            servers: Vec::new(),
            cells: vec![Vec::new(); cells.clamp(1.0, 65_536.0) as usize],
            mean: 0.5,
            recent: (0.0, 0.0),
            wanted: 0.0,
            fleet: number(&sheet, "extra.fleet_kb", 1.0).max(1.0),
            seats: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            cached: -1.0,
            sheet,
        }
    }

    /// Whether the call sheet names this product.
    pub fn sells(&self, product: usize) -> bool {
        product < self.products.len()
    }

    /// When to ask discovery for changes, where it must be asked: now, or after a pause if a call has failed.
    pub fn follow(&self, failed: bool) -> Option<f64> {
        let asked = text(&self.sheet, "discovery") == "subscribe";
        asked.then_some(if failed { 1000.0 } else { 0.0 })
    }

    fn spell(&mut self) -> f64 {
        QUIET + JITTER * self.rnd.rand_float()
    }

    fn know(&mut self, s: usize) {
        if s >= self.servers.len() {
            self.servers.resize_with(s + 1, Server::default);
        }
    }

    fn rule(&self, name: &str, otherwise: f64) -> f64 {
        number(&self.sheet, name, otherwise)
    }

    // ---- facts ----

    /// The list of servers, whole or its changes. A cached one may be old: all on it count as just started
    /// until discovery speaks, lest a front that restarts rush a server that restarted meanwhile.
    pub fn list(&mut self, now: f64, whole: bool, cached: bool, lines: &[Listing]) {
        let unit = self.rule("extra.link_unit_kb", 1.0);
        if whole {
            self.servers.iter_mut().for_each(|s| s.listing.standing = Standing::Gone);
        }
        for line in lines {
            self.know(line.server);
            let s = &mut self.servers[line.server];
            if line.born > s.listing.born && s.listing.weight > 0.0 {
                (s.link.asked, s.streams) = (None, 0.0);
                s.outcomes.clear();
            }
            s.cold_since = if cached { now } else { s.cold_since.max(line.born) };
            (s.rack, s.link.size) = (line.cell % self.racks.len(), (line.weight * unit).max(1.0));
            s.link.fronts = meeting(self.fronts, &self.ladder, s.link.size);
            s.listing = *line;
            s.places = number(&self.sheet, &format!("extra.places_by_kind.{}", line.kind), f64::MAX);
        }
        self.cells.iter_mut().for_each(Vec::clear);
        let count = self.cells.len();
        for s in (0..self.servers.len()).filter(|s| self.servers[*s].listing.standing != Standing::Gone) {
            self.cells[self.servers[s].listing.cell % count].push(s);
        }
        if cached {
            self.cached = now;
        } else if whole {
            let vouched = self.servers.iter_mut().filter(|s| s.cold_since == self.cached);
            vouched.for_each(|s| s.cold_since = s.listing.born);
        }
    }

    /// A server is gone for good: its index may be another's from now on.
    pub fn forget(&mut self, s: usize) {
        if let Some(server) = self.servers.get_mut(s) {
            *server = Server::default();
        }
    }

    /// A play was taken.
    pub fn take(&mut self, now: f64, play: &mut Play) {
        if self.sheet.contains_key("rules.budget_share") {
            self.taken.push_back(now);
            self.forget_taken(now);
        }
        play.ask_at = now;
        play.rung = self.products[play.product].floor;
    }

    /// A play that was under way before this front started.
    pub fn adopt(&mut self, now: f64, plays: &mut [Play], ply: usize) {
        plays[ply].rung = self.products[plays[ply].product].floor;
        (plays[ply].playing, plays[ply].allocations) = (true, 1);
        // Its last change is past, so only the jitter is left of its quiet spell.
        plays[ply].ask_at = now + JITTER * self.rnd.rand_float();
        if let Some(s) = plays[ply].server {
            self.know(s);
            self.servers[s].plays.push(ply);
        }
        *self.seats.entry((plays[ply].product, plays[ply].title)).or_default() += 1;
    }

    pub fn rung_told(&mut self, plays: &mut [Play], ply: usize, rung: usize) {
        plays[ply].rung = rung.min(self.ladder.len().saturating_sub(1));
    }

    /// The viewer left; an allocation may still be out.
    pub fn left(&mut self, plays: &mut [Play], ply: usize) {
        self.leave_queue(plays, ply);
        plays[ply].over = true;
    }

    /// What a server told of itself, or a note about it on play `of`. Answers the steps down it asks for.
    pub fn figure(&mut self, now: f64, plays: &mut [Play], s: usize, of: Option<usize>, it: Figure) -> Steps {
        let x = it.amount();
        if s >= self.servers.len() || !x.is_finite() || x < 0.0 {
            return Vec::new();
        }
        // The note at set-up is of now; all else is as late as notes are.
        let fresh = of.is_some_and(|ply| plays[ply].started == now);
        let taken = if fresh { now } else { now - self.rule("extra.seen_after", 1000.0) };
        let rack = self.servers[s].rack;
        let known = self.servers[s].link.share();
        match it {
            Figure::Streams(_) => self.servers[s].streams = x,
            Figure::Uplink(_) => self.racks[rack].measured(now, taken, x),
            Figure::Link(_) | Figure::LinkCapped(_) => {
                // A capped figure tells of a full link only that it is full.
                let x = if matches!(it, Figure::LinkCapped(_)) && x >= 1.0 { known.max(1.0) } else { x };
                self.mean += (x.min(1.0) - self.mean) / 16.0;
                self.servers[s].link.measured(now, taken, x);
            }
            Figure::Delivered(_) => {
                // A rack is short for all its servers: one that delivers short beside a rack with room is
                // short itself. Guards against a silent server's notes cutting its whole rack.
                let by_rack = self.racks[rack].share() > known.max(0.9);
                let pipe = if by_rack { &mut self.racks[rack] } else { &mut self.servers[s].link };
                if x < 0.98 || pipe.share() > 1.0 {
                    pipe.measured(now, taken, if x < 0.98 { 1.0 / x.max(0.05) } else { 1.0 });
                }
            }
        }
        // Short of room: this front's plays there give up their part, as every other front's do.
        let mut steps = Vec::new();
        let (uplink, pipe) = self.shorter(s, Pipe::steady_share);
        let share = pipe.steady_share();
        if share > SHORT {
            let scope = self.scope(s, uplink);
            let own: f64 = scope.iter().map(|s| self.own(plays, *s)).sum();
            let mut excess = own * (1.0 - SHORT / share);
            let cut = ((share - 1.0) * pipe.size - excess).max(0.0);
            let pipe = if uplink { &mut self.racks[rack] } else { &mut self.servers[s].link };
            pipe.cut = (now, pipe.cut.1 + cut);
            while excess > 0.0 {
                let Some((_, freed, unit)) = self.cheapest(plays, &scope) else { break };
                // Rungs are coarse: the last step is left to chance, or all fronts together would overshoot.
                if freed > excess && self.rnd.rand_float() > excess / freed {
                    break;
                }
                excess -= freed;
                self.step_down(now, plays, &unit, freed, &mut steps);
            }
        }
        steps
    }

    // ---- the three questions ----

    /// Where this play goes: the design's ordinary path, from the title's holders to a rung.
    pub fn place(&mut self, now: f64, plays: &mut [Play], ply: usize) -> (Place, Steps) {
        let fades = ((self.recent.1 - now) / RECENT).exp();
        (self.recent, self.wanted) = ((self.recent.0 * fades, now), self.wanted * fades);
        if plays[ply].playing {
            return self.step_up(now, plays, ply);
        }
        // A caller asks anew about plays that wait whenever it has told a fact; that is no further play.
        let (early, waited) = (now < plays[ply].ask_at - 0.01, plays[ply].waits.is_some());
        self.wanted += if early { 0.0 } else { 1.0 };
        let (product, title) = (plays[ply].product, plays[ply].title);
        let seats = self.products[product].seats;
        let seated = self.seats.get(&(product, title)).is_some_and(|n| seats > 0 && *n >= seats);
        let out_of_turn = plays[ply].allocations > 0 && !self.may_allocate_again(now, &plays[ply]);
        if seated || out_of_turn || now >= plays[ply].limit - 1.0 {
            return (self.never(plays, ply), Vec::new());
        }

        // Holders that may be sent to at all; those that failed this play only if there are no others.
        let mut holders = prefer(self.holders(&plays[ply]), |s| !plays[ply].tried.contains(s));
        holders.retain(|s| !self.crowded(plays, *s, &plays[ply]));
        if holders.is_empty() {
            return (self.never(plays, ply), Vec::new());
        }
        for s in holders.iter().filter(|_| !early) {
            let asks = &mut self.servers[*s].asks;
            *asks = (1.0 + asks.0 * ((asks.1 - now) / MEMORY).exp(), now);
        }
        // Cold and doubted holders take plays at their pace only; a play that finds no other waits its turn.
        self.leave_queue(plays, ply);
        let came = plays[ply].came;
        let turns: Vec<f64> = holders.iter().map(|s| self.turn(now, *s, came)).collect();
        let mut open: Vec<usize> =
            (0..holders.len()).filter(|i| turns[*i] <= now).map(|i| holders[i]).collect();
        if open.is_empty() {
            let soonest = (0..turns.len()).min_by(|a, b| turns[*a].total_cmp(&turns[*b])).unwrap_or(0);
            if turns[soonest] >= plays[ply].limit - 200.0 {
                return (self.never(plays, ply), Vec::new());
            }
            (plays[ply].waits, plays[ply].ask_at) = (Some(holders[soonest]), turns[soonest].max(now + 1.0));
            let queue = &mut self.servers[holders[soonest]].queue;
            queue.insert(queue.partition_point(|q| q.0 <= came), (came, ply));
            return (Place::NotYet { sound_out: Vec::new() }, Vec::new());
        }
        // Until the answers of its probes are due it waits for them.
        if early && !waited {
            return (Place::NotYet { sound_out: Vec::new() }, Vec::new());
        }
        // A live title's viewers share a stream: scattered by the lottery few would, so holders that stream
        // it already and have room come before all others.
        let same = |o: &usize| (plays[*o].title, plays[*o].product) == (title, product);
        let shares = |s: &usize| self.servers[*s].plays.iter().any(same) && self.room(plays, *s) > 0.0;
        if self.products[product].live && self.shared < 1.0 {
            open = prefer(open, shares);
        }
        // Figures grow old where this front seldom has plays: as their price allows, holders are probed, and
        // those that do not answer are left. Guards against guessed room and silent servers; takes a moment.
        let worth = (PROBES / self.rule("costs.probe", PROBES).max(1e-6)) as usize;
        let mut sound_out = open.clone();
        sound_out.retain(|s| !self.servers[*s].link.known(now));
        let enough = worth.saturating_sub(open.len() - sound_out.len()).min(sound_out.len());
        while sound_out.len() > enough {
            sound_out.swap_remove(self.rnd.rand_range(0..sound_out.len() as u64) as usize);
        }
        let may_wait = !plays[ply].sounded && now + 4.0 * ECHO < plays[ply].limit;
        if may_wait && !sound_out.is_empty() && self.rule("ceilings.probes", 0.0) > 0.0 {
            (plays[ply].sounded, plays[ply].ask_at) = (true, now + ECHO);
            return (Place::NotYet { sound_out }, Vec::new());
        }
        if plays[ply].sounded {
            open = prefer(open, |s| self.servers[*s].link.asked.is_some() && self.room(plays, *s) > 0.0);
        }

        // A crossing of zones that is priced wants a reason: own holders with ample room come before others.
        let ample = 2.0 * self.rate(&plays[ply], self.top(&plays[ply]));
        let home = |s: &usize| self.servers[*s].listing.zone as f64 == self.rule("zone", 0.0);
        if self.rule("costs.cross_zone", 0.0) > 0.0 {
            open = prefer(open, |s| home(s) && self.room(plays, *s) > ample);
        }
        // So does a priced connection: holders heard from lately have one, and come first with ample room.
        // Guards against many fronts that each get to know all servers; leans on fewer of them meanwhile.
        if self.rule("costs.handshake", 0.0) > 0.0 {
            open = prefer(open, |s| self.servers[*s].link.known(now) && self.room(plays, *s) > ample);
        }
        // Unmeasured first; then the weighted draw: half the time the roomiest, else a lottery by room.
        let unmeasured = |s: &usize| self.servers[*s].link.asked.is_none();
        let rooms: Vec<f64> = open.iter().map(|s| self.room(plays, *s).max(0.0)).collect();
        let total: f64 = rooms.iter().sum();
        let server = if open.iter().any(unmeasured) {
            open.retain(unmeasured);
            open[self.rnd.rand_range(0..open.len() as u64) as usize]
        } else if total <= 0.0 {
            let used = |s: &usize| self.shorter(*s, Pipe::share).1.share();
            *open.iter().min_by(|a, b| used(a).total_cmp(&used(b))).unwrap_or(&open[0])
        } else if self.rnd.rand_float() < WEIGHT {
            let best = (0..open.len()).max_by(|a, b| rooms[*a].total_cmp(&rooms[*b]));
            open[best.unwrap_or(0)]
        } else {
            let mut draw = self.rnd.rand_float() * total;
            let won = rooms.iter().position(|r| {
                draw -= r;
                draw < 0.0
            });
            open[won.unwrap_or(open.len() - 1)]
        };

        // The highest rung that the link has room for, and what others give up for more.
        let (rung, steps) = self.rung_for(now, plays, ply, server);
        let kb = self.adds(plays, server, &plays[ply], ply, rung);
        self.load(now, server, kb);
        self.recent.0 += kb;
        self.servers[server].next_pace = now + self.gap(now, server);
        let play = &mut plays[ply];
        if play.allocations > 0 && self.sheet.contains_key("rules.budget_share") {
            self.further.push_back(now);
        }
        let target = play.came + self.products[product].target;
        let tries =
            (self.rule("ceilings.attempts_cap", 4.0) as usize).saturating_sub(play.allocations).clamp(1, 3);
        let until = if tries == 1 || target - now < 100.0 { play.limit } else { target };
        let time_out = ((until - now) / tries as f64).min(play.limit - now);
        (play.server, play.rung, play.sent) = (Some(server), rung, now);
        play.allocations += 1;
        self.servers[server].plays.push(ply);
        *self.seats.entry((product, title)).or_default() += 1;
        (Place::Send { server, rung, time_out }, steps)
    }

    /// What to do after an outcome of the play's latest allocation. `closed`: the play has ended with it.
    pub fn after(&mut self, now: f64, plays: &mut [Play], ply: usize, what: Outcome, closed: bool) -> Next {
        let Some(s) = plays[ply].server else {
            if closed {
                self.left(plays, ply);
            }
            return Next::Nothing;
        };
        if what == Outcome::Playing {
            (plays[ply].playing, plays[ply].started) = (true, now);
            plays[ply].ask_at = now + self.spell();
            self.servers[s].heard(true);
            // Served here, so errors met elsewhere were the servers' own. Guards against plays that nobody
            // can serve making every server doubted; a server that fails is found out one set-up later.
            std::mem::take(&mut plays[ply].erred).iter().for_each(|e| self.servers[*e].heard(false));
            return Next::Nothing;
        }
        match what {
            Outcome::Error => plays[ply].erred.push(s),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => {
                // The process may be gone and come back cold before the list tells.
                self.servers[s].heard(false);
                self.servers[s].cold_since = now;
            }
            Outcome::Full => self.servers[s].link.measured(now, now, 1.0),
            _ => {}
        }
        let kb = self.adds(plays, s, &plays[ply], ply, plays[ply].rung);
        self.load(now, s, -kb);
        self.servers[s].plays.retain(|p| *p != ply);
        let seats = self.seats.entry((plays[ply].product, plays[ply].title)).or_default();
        *seats = seats.saturating_sub(1);
        let play = &mut plays[ply];
        if !matches!(what, Outcome::Full | Outcome::Unreachable | Outcome::NeverSent) {
            play.ran_at.get_or_insert((s, play.sent));
        }
        (play.server, play.sounded, play.ask_at) = (None, false, now);
        play.tried.push(s);
        play.rung = self.products[play.product].floor;
        play.over |= closed || play.playing;
        if play.over { Next::Nothing } else { Next::Ask }
    }

    /// How long until the play is to be asked about again; none while an allocation is out.
    pub fn wait(&self, now: f64, play: &Play) -> Option<f64> {
        let due = !play.over && (play.playing || play.server.is_none());
        due.then(|| (play.ask_at - now).max(0.0))
    }

    // ---- holders ----

    /// The title's holders that this play may go to.
    fn holders(&self, play: &Play) -> Vec<usize> {
        let count = self.cells.len();
        let row = (0..play.holders.min(count)).map(|i| (play.first_cell % count + i) % count);
        row.flat_map(|c| &self.cells[c]).copied().filter(|s| self.may_take(*s, play)).collect()
    }

    fn may_take(&self, s: usize, play: &Play) -> bool {
        let server = &self.servers[s];
        let at = &server.listing;
        let same = play.ran_at.is_none_or(|(r, _)| match self.products[play.product].group.as_str() {
            _ if self.products[play.product].effect != "idempotency_key" => true,
            "zone" => self.servers[r].listing.zone == at.zone,
            "cell" => self.servers[r].listing.cell == at.cell,
            _ => true,
        });
        at.standing == Standing::Ready
            && same
            && server.streams.max(server.plays.len() as f64) < server.places
    }

    /// Whether the rules leave room for one more allocation of a play that had some.
    fn may_allocate_again(&mut self, now: f64, play: &Play) -> bool {
        let product = &self.products[play.product];
        let repeatable = play.ran_at.is_none()
            || match product.effect.as_str() {
                "non_idempotent" => false,
                "idempotency_key" => play.ran_at.is_none_or(|(_, sent)| now - sent < product.repeat_window),
                _ => true,
            };
        let span = self.forget_taken(now);
        while self.further.front().is_some_and(|t| *t < now - span) {
            self.further.pop_front();
        }
        let free = self.rule("rules.free_resends", 0.0);
        let budget = match self.sheet.get("rules.budget_share") {
            Some(Value::Number(share)) => free + share * self.taken.len() as f64,
            _ => f64::MAX,
        };
        let cap = self.rule("ceilings.attempts_cap", 4.0) as usize;
        repeatable && play.allocations < cap && self.further.len() as f64 + 1.0 <= budget
    }

    /// Plays taken longer ago than the budget's span no longer count in it.
    fn forget_taken(&mut self, now: f64) -> f64 {
        let span = self.rule("rules.budget_span", 0.0);
        while self.taken.front().is_some_and(|t| *t <= now - span) {
            self.taken.pop_front();
        }
        span
    }

    fn never(&mut self, plays: &mut [Play], ply: usize) -> Place {
        self.left(plays, ply);
        let play = &plays[ply];
        let product = &self.products[play.product];
        let refusable = match product.effect.as_str() {
            "non_idempotent" => play.ran_at.is_none(),
            "idempotency_key" => play.ran_at.is_none() || product.group == "all",
            _ => true,
        };
        let heeded = self.rule("ceilings.retry_after", 0.0) > 0.0;
        let pause = if heeded { self.rule("ceilings.max_retry_after", 0.0) } else { 0.0 };
        if refusable { Place::Declined { pause } } else { Place::Failed }
    }

    /// Whether a play would take more importance from those there than it brings, as link or uplink stays
    /// short. Guards against floods and links that shrink; may send a viewer off just after a shortage.
    fn crowded(&self, plays: &[Play], s: usize, play: &Play) -> bool {
        let (uplink, pipe) = self.shorter(s, Pipe::short_twice);
        let short = pipe.short_twice() - 1.0;
        if short <= 0.0 {
            return false;
        }
        let stall = self.rule("extra.stall_cost", 0.0);
        let worth = |p: &Play| self.products[p.product].importance * self.earns[p.rung];
        let scope = self.scope(s, uplink);
        let there: f64 = scope.iter().flat_map(|s| &self.servers[*s].plays).map(|o| worth(&plays[*o])).sum();
        let takes = self.rate(play, play.rung) / pipe.size * stall * there * pipe.fronts;
        worth(play) * (1.0 - stall * short) <= takes
    }

    /// When the server may be sent this play: cold and doubted ones by this front's part of the warm-up's
    /// pace, after the plays that have waited for it longer. Fronts take their first turns by rank, so that
    /// their parts do not fall together. Guards against rushing what has just come back, listed or not, and
    /// gives what fails or is silent a way back by few trials; it makes plays wait whose holders all look so,
    /// and lets those go at once whose turn can't come.
    fn turn(&self, now: f64, s: usize, came: f64) -> f64 {
        let server = &self.servers[s];
        let cold = now < server.cold_since + self.rule("rules.cold", 0.0);
        if !cold && !server.doubted() {
            return now;
        }
        let first = server.cold_since + self.gap(server.cold_since, s) * self.rank / self.fronts;
        let turn = server.next_pace.max(first).max(now);
        let ahead = server.queue.partition_point(|q| q.0 < came) as f64;
        if ahead == 0.0 {
            return turn;
        }
        turn + ahead * self.gap(turn + ahead * self.gap(turn, s) / 2.0, s)
    }

    fn leave_queue(&mut self, plays: &mut [Play], ply: usize) {
        if let Some(s) = plays[ply].waits.take() {
            self.servers[s].queue.retain(|q| q.1 != ply);
        }
    }

    fn gap(&self, now: f64, s: usize) -> f64 {
        let server = &self.servers[s];
        let warm_up = self.rule("rules.cold", 0.0).max(1.0);
        let places = if server.places < f64::MAX { server.places.max(1.0) } else { 1.0 };
        let from = self.rule("rules.cold_from", 0.1).clamp(0.01, 1.0);
        let warmed = ((now - server.cold_since) / warm_up).clamp(0.0, 1.0);
        let pace = places / warm_up * (from + (1.0 - from) * warmed);
        // The fronts that press on it: those that usually meet there, and while it warms up as many as would
        // ask if all asked at this front's own rate, over the last minute or, in a flood, of late.
        let cold = now < server.cold_since + warm_up && server.cold_since != self.cached;
        let lately = (self.wanted - 1.0).max(0.0) / RECENT * server.link.size / self.fleet;
        let rate = (server.asks.0 / MEMORY).max(lately);
        let asking = if cold { 1.0 - (-rate * warm_up).exp() } else { 0.0 };
        let fronts = (self.fronts * asking).max(server.link.fronts);
        fronts / (pace * self.rule("rules.overload_factor", 1.0) * PACED)
    }

    // ---- room and rungs ----

    /// The one room figure: what the link and its rack's uplink both still carry, less the margin. Where this
    /// front sets up play on play, all are reckoned to: guards against floods that no figure shows yet.
    fn room(&self, plays: &[Play], s: usize) -> f64 {
        let middle = self.ladder[self.ladder.len() / 2];
        let free = |pipe: &Pipe, asked: f64| {
            let flood = (self.recent.0 - middle).max(0.0) * (self.fronts - 1.0) * pipe.size / self.fleet;
            pipe.size - asked - flood - SPREAD * (pipe.size * middle).sqrt()
        };
        let server = &self.servers[s];
        let guess = || (self.mean * server.link.size).max(self.own(plays, s) * server.link.fronts);
        let link = server.link.now_asked().unwrap_or_else(guess);
        let rack = &self.racks[server.rack];
        free(&server.link, link).min(free(rack, rack.now_asked().unwrap_or(0.5 * rack.size)))
    }

    fn rate(&self, play: &Play, rung: usize) -> f64 {
        self.ladder[rung] * self.products[play.product].scale
    }

    /// What this play at this rung adds to a server: of a live title that already streams there, only `join`.
    fn adds(&self, plays: &[Play], s: usize, play: &Play, ply: usize, rung: usize) -> f64 {
        let same = |o: &usize| *o != ply && stream(&plays[*o]) == (play.title, play.product, rung);
        let shared = self.products[play.product].live && self.servers[s].plays.iter().any(same);
        self.rate(play, rung) * if shared { self.shared } else { 1.0 }
    }

    /// What its next rung adds to that.
    fn next_rung(&self, plays: &[Play], s: usize, ply: usize, rung: usize) -> f64 {
        self.adds(plays, s, &plays[ply], ply, rung + 1) - self.adds(plays, s, &plays[ply], ply, rung)
    }

    fn own(&self, plays: &[Play], s: usize) -> f64 {
        let at = &self.servers[s].plays;
        let part = |(i, ply): (usize, &usize)| {
            let p = &plays[*ply];
            let before = || at[..i].iter().any(|o| stream(&plays[*o]) == stream(p));
            let shared = self.products[p.product].live && before();
            self.rate(p, p.rung) * if shared { self.shared } else { 1.0 }
        };
        at.iter().enumerate().map(part).sum()
    }

    fn load(&mut self, now: f64, s: usize, kb: f64) {
        let settled = now - self.rule("extra.seen_after", 1000.0);
        self.servers[s].link.change(now, kb, settled);
        let rack = self.servers[s].rack;
        self.racks[rack].change(now, kb, settled);
    }

    /// The shorter of a server's link and its rack's uplink by this measure, and whether that is the uplink.
    fn shorter(&self, s: usize, by: fn(&Pipe) -> f64) -> (bool, &Pipe) {
        let (link, rack) = (&self.servers[s].link, &self.racks[self.servers[s].rack]);
        if by(rack) > by(link) { (true, rack) } else { (false, link) }
    }

    fn scope(&self, s: usize, uplink: bool) -> Vec<usize> {
        if !uplink {
            return vec![s];
        }
        let rack = self.servers[s].rack;
        (rack..self.cells.len()).step_by(self.racks.len()).flat_map(|c| &self.cells[c]).copied().collect()
    }

    /// The step down that loses least importance for what it frees: that loss per kB, the kB, and the plays
    /// (one, or all of this front that share a live stream).
    fn cheapest(&self, plays: &[Play], scope: &[usize]) -> Option<(f64, f64, Vec<usize>)> {
        let mut best: Option<(f64, f64, Vec<usize>)> = None;
        for s in scope {
            for (i, ply) in self.servers[*s].plays.iter().enumerate() {
                let p = &plays[*ply];
                let product = &self.products[p.product];
                if p.over || p.rung <= product.floor {
                    continue;
                }
                let with = |o: &&usize| *o == ply || product.live && stream(&plays[**o]) == stream(p);
                if self.servers[*s].plays[..i].iter().any(|o| with(&o)) {
                    continue;
                }
                let unit: Vec<usize> = self.servers[*s].plays.iter().filter(with).copied().collect();
                let streams = 1.0 + (unit.len() - 1) as f64 * self.shared;
                let freed = (self.rate(p, p.rung) - self.rate(p, p.rung - 1)) * streams;
                let change = self.rule("extra.change_costs_s", 0.0) / ((QUIET + JITTER) / 1000.0);
                let step = self.earns[p.rung] - self.earns[p.rung - 1] + change;
                let per_kb = unit.len() as f64 * product.importance * step / freed.max(1e-9);
                if best.as_ref().is_none_or(|b| per_kb < b.0) {
                    best = Some((per_kb, freed, unit));
                }
            }
        }
        best
    }

    fn step_down(&mut self, now: f64, plays: &mut [Play], unit: &[usize], freed: f64, steps: &mut Steps) {
        for ply in unit {
            let p = &mut plays[*ply];
            p.rung -= 1;
            p.ask_at = now + self.spell();
            steps.retain(|s| s.0 != *ply);
            steps.push((*ply, p.rung));
        }
        if let Some(s) = plays[unit[0]].server {
            self.load(now, s, -freed);
        }
    }

    /// The rung at set-up. Where it would start low while own plays there hold rungs that earn less for their
    /// rate, those step down for it: importance grows less than the rate, so first come must not take all.
    fn rung_for(&mut self, now: f64, plays: &mut [Play], ply: usize, s: usize) -> (usize, Steps) {
        let product = &self.products[plays[ply].product];
        let (floor, importance) = (product.floor, product.importance);
        let top = self.top(&plays[ply]).max(floor);
        // Other fronts read the same room: with more of them a set-up leaves more of it. Guards against all
        // filling it at once; with one front the whole room counts.
        let mut room = self.room(plays, s);
        let link = &self.servers[s].link;
        let fronts = if link.known(now) { link.fronts.min(COMING) } else { link.fronts };
        room *= if room > 0.0 { 2.0 / (1.0 + fronts) } else { 1.0 };
        let mut rung = floor;
        room -= self.adds(plays, s, &plays[ply], ply, rung);
        let scope = self.scope(s, self.shorter(s, Pipe::share).0);
        let mut steps = Vec::new();
        while rung < top {
            let more = self.next_rung(plays, s, ply, rung);
            if more <= room {
                rung += 1;
                room -= more;
                continue;
            }
            let gain = importance * (self.earns[rung + 1] - self.earns[rung]) / more.max(1e-9);
            let Some((lost, freed, unit)) = self.cheapest(plays, &scope) else { break };
            if lost * BARGAIN > gain {
                break;
            }
            room += freed;
            self.step_down(now, plays, &unit, freed, &mut steps);
        }
        (rung, steps)
    }

    fn top(&self, play: &Play) -> usize {
        play.top.min(self.products[play.product].top).min(self.ladder.len() - 1)
    }

    /// Up after the quiet spell, as far as this front's part of the room carries.
    fn step_up(&mut self, now: f64, plays: &mut [Play], ply: usize) -> (Place, Steps) {
        let rung = plays[ply].rung;
        let Some(s) = plays[ply].server.filter(|_| now >= plays[ply].ask_at - 0.01) else {
            return (Place::Stays { rung }, Vec::new());
        };
        plays[ply].ask_at = now + self.spell();
        if s < self.servers.len() {
            // A change costs the same however far it goes, so it goes as far as the room does.
            let mut part = self.room(plays, s) / self.servers[s].link.fronts;
            while plays[ply].rung < self.top(&plays[ply]) {
                let more = self.next_rung(plays, s, ply, plays[ply].rung);
                if more > part {
                    break;
                }
                part -= more;
                plays[ply].rung += 1;
                self.load(now, s, more);
            }
        }
        (Place::Stays { rung: plays[ply].rung }, Vec::new())
    }
}
