//! One front's desk: it keeps the plays in hand, their timers and the small indices, puts the decisions'
//! three questions and has the answers carried out by its host's [`Hands`].
//!
//! It is the only caller of [`pulleystair::logic`], and the same for the bench's adapter as for the real
//! front. It does no I/O and decides nothing: a host hands it the time and what happened, by plain calls.
//! All times are milliseconds with fractions, all on the host's one clock.

mod hands;
mod indices;

pub use hands::{Hands, Wish};
use indices::{Indices, Titles};
use pulleystair::logic::Front;
use pulleystair::{CallSheet, Figure, Given, Listing, Next, Outcome, Place, Play, Steps};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The timer that reminds a front to ask for its list; all others are slots of plays.
const FOLLOW: u32 = u32::MAX;
/// The timer of a round that is not through.
const ROUND: u32 = u32::MAX - 1;
/// So many waiting plays are asked about anew in one turn, and in each ms, at most: a crowd that waits must not hold up the rest.
const AT_ONCE: f64 = 32.0;
const EACH_MS: f64 = 1.0;

pub struct Desk {
    front: Front,
    plays: Vec<Play>,
    /// For each slot of `plays`: the host's id, and when its timer is due.
    slots: Vec<(u64, Option<f64>)>,
    free: Vec<usize>,
    by_id: HashMap<u64, usize>,
    /// Plays with no answer and no allocation out, and whether a fact was told since the last round of questions about them.
    waiting: BTreeSet<usize>,
    told: bool,
    /// The rest of a round, whether its timer runs, how many may be asked about now, and when that was reckoned.
    round: VecDeque<usize>,
    runs: bool,
    may_ask: (f64, f64),
    servers: Indices<u32>,
    titles: Titles,
}

impl Desk {
    pub fn new(sheet: CallSheet, seed: u64) -> Desk {
        Desk {
            front: Front::new(sheet, seed),
            plays: Vec::new(),
            slots: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            waiting: BTreeSet::new(),
            told: false,
            round: VecDeque::new(),
            runs: false,
            may_ask: (AT_ONCE, 0.0),
            servers: Indices::default(),
            titles: Titles::default(),
        }
    }

    /// Whether the call sheet names this product; a play of another can't be taken.
    pub fn sells(&self, product: usize) -> bool {
        self.front.sells(product)
    }

    /// A play in hand, for a host's records.
    pub fn play(&self, id: u64) -> Option<&Play> {
        self.by_id.get(&id).map(|ply| &self.plays[*ply])
    }

    /// How many plays are in hand: asked for, out or playing.
    pub fn held(&self) -> usize {
        self.by_id.len()
    }

    /// Asks discovery for changes, now or later, where the front says that it must be asked.
    pub fn follow(&mut self, failed: bool, actions: &mut impl Hands) {
        match self.front.follow(failed) {
            Some(0.0) => actions.follow(),
            Some(pause) => actions.wake(FOLLOW, pause),
            None => {}
        }
    }

    /// The list of servers, whole or its changes; `cached` where it may be old. A line's own index is not
    /// read: its server goes by the id beside it.
    pub fn list(&mut self, now: f64, whole: bool, cached: bool, lines: &[(u32, Listing)]) {
        let lines: Vec<Listing> =
            lines.iter().map(|(id, line)| Listing { server: self.servers.of(*id), ..*line }).collect();
        self.front.list(now, whole, cached, &lines);
        self.told = true;
    }

    /// What other fronts let this one know of servers. A given's own index is not read.
    pub fn given(&mut self, now: f64, given: &[(u32, Given)]) {
        for (id, it) in given {
            let server = self.servers.of(*id);
            self.front.given(now, &Given { server, ..*it });
            self.told = true;
        }
    }

    /// All that the decisions go by now.
    pub fn goes_by(&self) -> CallSheet {
        self.front.goes_by()
    }

    pub fn go_by(&mut self, name: &str, value: f64) {
        self.front.go_by(name, value);
        self.told = true;
    }

    /// Servers that plays wait for a turn at.
    pub fn waited_for(&self) -> BTreeSet<u32> {
        self.waiting.iter().filter_map(|ply| Some(self.servers.ids[self.plays[*ply].waits?])).collect()
    }

    /// Set-ups out and plays that run, by server and product.
    pub fn counts(&self) -> BTreeMap<(u32, usize), (u32, u32)> {
        let mut out: BTreeMap<(u32, usize), (u32, u32)> = BTreeMap::new();
        for play in self.by_id.values().map(|ply| &self.plays[*ply]) {
            let Some(server) = play.server else { continue };
            let count = out.entry((self.servers.ids[server], play.product)).or_default();
            if play.playing { count.1 += 1 } else { count.0 += 1 }
        }
        out
    }

    /// A server is listed as gone and its id will not come again: what is known of it is given back, unless a play in hand
    /// still goes by it. True once nothing is left.
    pub fn forget_server(&mut self, id: u32) -> bool {
        let Some(&s) = self.servers.by_id.get(&id) else { return true };
        let named = |play: &Play| {
            play.server == Some(s) || play.tried.contains(&s) || play.ran_at.is_some_and(|(at, _)| at == s)
        };
        if self.by_id.values().any(|ply| named(&self.plays[*ply])) {
            return false;
        }
        self.front.forget(s);
        self.servers.give_back(s);
        true
    }

    /// How many plays are out to a server or play there, for a host's records.
    pub fn held_at(&self, id: u32) -> usize {
        let Some(&s) = self.servers.by_id.get(&id) else { return 0 };
        self.by_id.values().filter(|ply| self.plays[**ply].server == Some(s)).count()
    }

    /// A viewer asks for a play that has not been in hand before.
    pub fn take(&mut self, now: f64, id: u64, wish: &Wish, actions: &mut impl Hands) {
        let ply = self.keep(id, wish);
        self.front.take(now, &mut self.plays[ply]);
        self.ask(now, ply, actions);
    }

    /// A play that ran at this server before this front started.
    pub fn adopt(&mut self, now: f64, id: u64, wish: &Wish, server: u32, actions: &mut impl Hands) {
        let server = self.servers.of(server);
        let ply = self.keep(id, wish);
        self.plays[ply].server = Some(server);
        self.front.adopt(now, &mut self.plays, ply);
        self.set_timer(now, ply, actions);
    }

    /// The allocation that was out plays.
    pub fn playing(&mut self, now: f64, id: u64, actions: &mut impl Hands) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.after(now, &mut self.plays, ply, Outcome::Playing, false);
            self.told = true;
            self.set_timer(now, ply, actions);
        }
    }

    /// An allocation ended, with what the server told of its load. `closed`: the play has ended with it.
    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: f64,
        id: u64,
        server: u32,
        outcome: Outcome,
        closed: bool,
        load: &[Figure],
        actions: &mut impl Hands,
    ) {
        let at = self.servers.of(server);
        let ply = self.by_id.get(&id).copied();
        let next = ply.map(|ply| (ply, self.front.after(now, &mut self.plays, ply, outcome, closed)));
        self.told = true;
        self.figures(now, at, None, load, actions);
        match next {
            Some((ply, Next::Ask)) => self.ask(now, ply, actions),
            Some((ply, Next::Nothing)) => self.release(ply),
            None => {}
        }
    }

    /// The viewer left, or the play's end was reported from elsewhere.
    pub fn left(&mut self, id: u64, actions: &mut impl Hands) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.left(&mut self.plays, ply);
            if self.plays[ply].server.is_some() {
                actions.withdraw(id);
            }
            self.release(ply);
        }
    }

    /// The host stops and can hold nothing any longer: for all that has no answer yet, the time is up.
    pub fn time_is_up(&mut self, now: f64, actions: &mut impl Hands) {
        let mut open: Vec<usize> =
            self.by_id.values().copied().filter(|ply| !self.plays[*ply].playing).collect();
        open.sort_unstable();
        for ply in open {
            self.plays[ply].limit = now;
            if self.plays[ply].server.is_some() {
                actions.withdraw(self.slots[ply].0);
            } else {
                self.ask(now, ply, actions);
            }
        }
    }

    /// A timer rings.
    pub fn rings(&mut self, now: f64, mark: u32, actions: &mut impl Hands) {
        let ply = mark as usize;
        if mark == ROUND {
            self.runs = false;
        } else if mark == FOLLOW {
            self.follow(false, actions);
        } else if self.slots.get(ply).and_then(|s| s.1).is_some_and(|due| due <= now) {
            self.slots[ply].1 = None;
            self.ask(now, ply, actions);
        }
    }

    /// To be called at the end of each turn of the host's. Facts that were told in it may have taken a waiting play's last hope, or
    /// brought its turn: all that wait are asked about anew, once for all facts of the turn; a crowd over several turns. True if
    /// any were.
    pub fn turn_ends(&mut self, now: f64, actions: &mut impl Hands) -> bool {
        if self.round.is_empty() && std::mem::take(&mut self.told) {
            self.round.extend(&self.waiting);
        }
        let mut asked = false;
        self.may_ask = ((self.may_ask.0 + (now - self.may_ask.1) * EACH_MS).clamp(0.0, AT_ONCE), now);
        while self.may_ask.0 >= 1.0 {
            let Some(ply) = self.round.pop_front() else { break };
            if self.waiting.contains(&ply) {
                self.may_ask.0 -= 1.0;
                self.ask(now, ply, actions);
                asked = true;
            }
        }
        if !self.round.is_empty() && !self.runs {
            self.runs = true;
            actions.wake(ROUND, 1.0);
        }
        asked
    }

    /// What a server tells of its load, in an answer or a probe's.
    pub fn report(&mut self, now: f64, server: u32, load: &[Figure], actions: &mut impl Hands) {
        let server = self.servers.of(server);
        self.figures(now, server, None, load, actions);
    }

    /// What a server tells on one of its plays.
    pub fn note(&mut self, now: f64, id: u64, server: u32, figure: Figure, actions: &mut impl Hands) {
        let server = self.servers.of(server);
        if let Some(&ply) = self.by_id.get(&id) {
            self.figures(now, server, Some(ply), &[figure], actions);
        }
    }

    /// The rung of an adopted play.
    pub fn rung_told(&mut self, id: u64, rung: usize) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.rung_told(&mut self.plays, ply, rung);
        }
    }

    fn keep(&mut self, id: u64, wish: &Wish) -> usize {
        let Wish { product, first_cell, holders, top, came, limit, .. } = *wish;
        let title = self.titles.take(wish.title);
        let play = Play { product, title, first_cell, holders, top, came, limit, ..Play::default() };
        let ply = self.free.pop().unwrap_or(self.plays.len());
        if ply == self.plays.len() {
            self.plays.push(play);
            self.slots.push((id, None));
        } else {
            self.plays[ply] = play;
            self.slots[ply] = (id, None);
        }
        self.by_id.insert(id, ply);
        ply
    }

    /// Asks where a play goes, and has it carried out.
    fn ask(&mut self, now: f64, ply: usize, actions: &mut impl Hands) {
        let id = self.slots[ply].0;
        let was = self.plays[ply].rung;
        let (place, steps) = self.front.place(now, &mut self.plays, ply);
        self.steps(now, &steps, actions);
        match place {
            Place::Send { server, rung, time_out, odds } => {
                let odds: Vec<_> =
                    odds.iter().map(|o| (self.servers.ids[o.server], o.chance, o.room)).collect();
                actions.chose(id, &odds);
                actions.send(id, self.servers.ids[server], rung, time_out);
            }
            Place::Stays { rung } if rung != was => actions.step(id, rung),
            Place::Stays { .. } => {}
            Place::NotYet { sound_out } => {
                sound_out.iter().for_each(|server| actions.probe(self.servers.ids[*server]));
            }
            Place::Declined { pause } => actions.declined(id, pause),
            Place::Failed => actions.failed(id),
        }
        self.set_timer(now, ply, actions);
        let play = &self.plays[ply];
        if play.over || play.playing || play.server.is_some() {
            self.waiting.remove(&ply);
        } else {
            self.waiting.insert(ply);
        }
        self.release(ply);
    }

    /// What a server told, of itself or on play `of`.
    fn figures(
        &mut self,
        now: f64,
        server: usize,
        of: Option<usize>,
        load: &[Figure],
        actions: &mut impl Hands,
    ) {
        self.told |= !load.is_empty();
        for figure in load {
            let steps = self.front.figure(now, &mut self.plays, server, of, *figure);
            self.steps(now, &steps, actions);
        }
    }

    fn steps(&mut self, now: f64, steps: &Steps, actions: &mut impl Hands) {
        for (ply, rung) in steps {
            actions.step(self.slots[*ply].0, *rung);
            self.set_timer(now, *ply, actions);
        }
    }

    /// Sets the play's timer anew where the wait has changed; stale ones are passed over when they ring.
    fn set_timer(&mut self, now: f64, ply: usize, actions: &mut impl Hands) {
        let due = self.front.wait(now, &self.plays[ply]).map(|wait| (wait, now + wait));
        if due.map(|d| d.1) != self.slots[ply].1 {
            self.slots[ply].1 = due.map(|d| d.1);
            if let Some((wait, _)) = due {
                actions.wake(ply as u32, wait);
            }
        }
    }

    /// Gives up the slot of a play that is over and has nothing out.
    fn release(&mut self, ply: usize) {
        if self.plays[ply].over
            && self.plays[ply].server.is_none()
            && self.by_id.remove(&self.slots[ply].0).is_some()
        {
            self.slots[ply].1 = None;
            self.waiting.remove(&ply);
            self.titles.give_back(self.plays[ply].title);
            self.free.push(ply);
        }
    }
}
