//! One front's desk: it keeps the plays in hand, their timers and the small indices, puts the decisions'
//! three questions and has the answers carried out by its host's [`Hands`].
//!
//! It is the only caller of [`pulleystair::logic`], and the same for the bench's adapter as for the real
//! front. It does no I/O and decides nothing: a host hands it the time and what happened, by plain calls.
//! All times are milliseconds with fractions, all on the host's one clock.

use pulleystair::logic::Front;
use pulleystair::{CallSheet, Figure, Listing, Next, Outcome, Place, Play, Steps};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

/// The timer that reminds a front to ask for its list; all others are slots of plays.
const FOLLOW: u32 = u32::MAX;
/// The timer of a round that is not through.
const ROUND: u32 = u32::MAX - 1;
/// So many waiting plays are asked about anew in one turn, and in each ms, at most: a crowd that waits must not hold up the rest.
const AT_ONCE: f64 = 32.0;
const EACH_MS: f64 = 1.0;

/// What a host does for a desk. Each call is made while the host's own call into the desk runs.
pub trait Hands {
    /// Set the play up at this server and rung; an answer later than `time_out` ms is [`Outcome::TimedOut`].
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64);
    /// The viewer has left: give up the allocation that is out, or end what plays.
    fn withdraw(&mut self, play: u64);
    /// The play now has this rung.
    fn step(&mut self, play: u64, rung: usize);
    fn probe(&mut self, server: u32);
    /// The final answer: never, and nothing of it ran; best not to come back within `pause` ms.
    fn declined(&mut self, play: u64, pause: f64);
    /// The final answer: never, and an allocation may have run.
    fn failed(&mut self, play: u64);
    /// Ring with this mark once `wait` ms have passed. A timer is never taken back: stale ones do no harm.
    fn wake(&mut self, mark: u32, wait: f64);
    /// Ask for changes of the list.
    fn follow(&mut self);
}

/// What a viewer asks for.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    pub product: usize,
    /// The title by the host's own id.
    pub title: u64,
    /// The title's holders are `holders` cells in a row from `first_cell`.
    pub first_cell: usize,
    pub holders: usize,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// When the viewer asked, which may be before the play was taken in hand.
    pub came: f64,
    /// The clock time at which the viewer gives up on a set-up.
    pub limit: f64,
}

/// Small indices for a host's ids, in order of first sight; one that is given back is the next new id's.
#[derive(Default)]
struct Indices<K> {
    by_id: HashMap<K, usize>,
    ids: Vec<K>,
    free: Vec<usize>,
}

impl<K: Copy + Eq + Hash> Indices<K> {
    fn of(&mut self, id: K) -> usize {
        *self.by_id.entry(id).or_insert_with(|| {
            let index = self.free.pop().unwrap_or(self.ids.len());
            if index == self.ids.len() {
                self.ids.push(id);
            }
            self.ids[index] = id;
            index
        })
    }

    fn give_back(&mut self, index: usize) {
        self.by_id.remove(&self.ids[index]);
        self.free.push(index);
    }
}

/// Indices for titles with plays in hand; one that has none any more gives its index back.
#[derive(Default)]
struct Titles {
    indices: Indices<u64>,
    /// For each index: how many plays of the title are in hand.
    held: Vec<usize>,
}

impl Titles {
    fn take(&mut self, id: u64) -> usize {
        let index = self.indices.of(id);
        self.held.resize(self.indices.ids.len(), 0);
        self.held[index] += 1;
        index
    }

    fn give_back(&mut self, index: usize) {
        self.held[index] -= 1;
        if self.held[index] == 0 {
            self.indices.give_back(index);
        }
    }
}

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
    pub fn follow(&mut self, failed: bool, hands: &mut impl Hands) {
        match self.front.follow(failed) {
            Some(0.0) => hands.follow(),
            Some(pause) => hands.wake(FOLLOW, pause),
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
    pub fn take(&mut self, now: f64, id: u64, wish: &Wish, hands: &mut impl Hands) {
        let ply = self.keep(id, wish);
        self.front.take(now, &mut self.plays[ply]);
        self.ask(now, ply, hands);
    }

    /// A play that ran at this server before this front started.
    pub fn adopt(&mut self, now: f64, id: u64, wish: &Wish, server: u32, hands: &mut impl Hands) {
        let server = self.servers.of(server);
        let ply = self.keep(id, wish);
        self.plays[ply].server = Some(server);
        self.front.adopt(now, &mut self.plays, ply);
        self.set_timer(now, ply, hands);
    }

    /// The allocation that was out plays.
    pub fn playing(&mut self, now: f64, id: u64, hands: &mut impl Hands) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.after(now, &mut self.plays, ply, Outcome::Playing, false);
            self.told = true;
            self.set_timer(now, ply, hands);
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
        hands: &mut impl Hands,
    ) {
        let at = self.servers.of(server);
        let ply = self.by_id.get(&id).copied();
        let next = ply.map(|ply| (ply, self.front.after(now, &mut self.plays, ply, outcome, closed)));
        self.told = true;
        self.figures(now, at, None, load, hands);
        match next {
            Some((ply, Next::Ask)) => self.ask(now, ply, hands),
            Some((ply, Next::Nothing)) => self.release(ply),
            None => {}
        }
    }

    /// The viewer left, or the play's end was reported from elsewhere.
    pub fn left(&mut self, id: u64, hands: &mut impl Hands) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.left(&mut self.plays, ply);
            if self.plays[ply].server.is_some() {
                hands.withdraw(id);
            }
            self.release(ply);
        }
    }

    /// The host stops and can hold nothing any longer: for all that has no answer yet, the time is up.
    pub fn time_is_up(&mut self, now: f64, hands: &mut impl Hands) {
        let mut open: Vec<usize> =
            self.by_id.values().copied().filter(|ply| !self.plays[*ply].playing).collect();
        open.sort_unstable();
        for ply in open {
            self.plays[ply].limit = now;
            if self.plays[ply].server.is_some() {
                hands.withdraw(self.slots[ply].0);
            } else {
                self.ask(now, ply, hands);
            }
        }
    }

    /// A timer rings.
    pub fn rings(&mut self, now: f64, mark: u32, hands: &mut impl Hands) {
        let ply = mark as usize;
        if mark == ROUND {
            self.runs = false;
        } else if mark == FOLLOW {
            self.follow(false, hands);
        } else if self.slots.get(ply).and_then(|s| s.1).is_some_and(|due| due <= now) {
            self.slots[ply].1 = None;
            self.ask(now, ply, hands);
        }
    }

    /// To be called at the end of each turn of the host's. Facts that were told in it may have taken a waiting play's last hope, or
    /// brought its turn: all that wait are asked about anew, once for all facts of the turn; a crowd over several turns. True if
    /// any were.
    pub fn turn_ends(&mut self, now: f64, hands: &mut impl Hands) -> bool {
        if self.round.is_empty() && std::mem::take(&mut self.told) {
            self.round.extend(&self.waiting);
        }
        let mut asked = false;
        self.may_ask = ((self.may_ask.0 + (now - self.may_ask.1) * EACH_MS).clamp(0.0, AT_ONCE), now);
        while self.may_ask.0 >= 1.0 {
            let Some(ply) = self.round.pop_front() else { break };
            if self.waiting.contains(&ply) {
                self.may_ask.0 -= 1.0;
                self.ask(now, ply, hands);
                asked = true;
            }
        }
        if !self.round.is_empty() && !self.runs {
            self.runs = true;
            hands.wake(ROUND, 1.0);
        }
        asked
    }

    /// What a server tells of its load, in an answer or a probe's.
    pub fn report(&mut self, now: f64, server: u32, load: &[Figure], hands: &mut impl Hands) {
        let server = self.servers.of(server);
        self.figures(now, server, None, load, hands);
    }

    /// What a server tells on one of its plays.
    pub fn note(&mut self, now: f64, id: u64, server: u32, figure: Figure, hands: &mut impl Hands) {
        let server = self.servers.of(server);
        if let Some(&ply) = self.by_id.get(&id) {
            self.figures(now, server, Some(ply), &[figure], hands);
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
    fn ask(&mut self, now: f64, ply: usize, hands: &mut impl Hands) {
        let id = self.slots[ply].0;
        let was = self.plays[ply].rung;
        let (place, steps) = self.front.place(now, &mut self.plays, ply);
        self.steps(now, &steps, hands);
        match place {
            Place::Send { server, rung, time_out } => {
                hands.send(id, self.servers.ids[server], rung, time_out);
            }
            Place::Stays { rung } if rung != was => hands.step(id, rung),
            Place::Stays { .. } => {}
            Place::NotYet { sound_out } => {
                sound_out.iter().for_each(|server| hands.probe(self.servers.ids[*server]));
            }
            Place::Declined { pause } => hands.declined(id, pause),
            Place::Failed => hands.failed(id),
        }
        self.set_timer(now, ply, hands);
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
        hands: &mut impl Hands,
    ) {
        self.told |= !load.is_empty();
        for figure in load {
            let steps = self.front.figure(now, &mut self.plays, server, of, *figure);
            self.steps(now, &steps, hands);
        }
    }

    fn steps(&mut self, now: f64, steps: &Steps, hands: &mut impl Hands) {
        for (ply, rung) in steps {
            hands.step(self.slots[*ply].0, *rung);
            self.set_timer(now, *ply, hands);
        }
    }

    /// Sets the play's timer anew where the wait has changed; stale ones are passed over when they ring.
    fn set_timer(&mut self, now: f64, ply: usize, hands: &mut impl Hands) {
        let due = self.front.wait(now, &self.plays[ply]).map(|wait| (wait, now + wait));
        if due.map(|d| d.1) != self.slots[ply].1 {
            self.slots[ply].1 = due.map(|d| d.1);
            if let Some((wait, _)) = due {
                hands.wake(ply as u32, wait);
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
