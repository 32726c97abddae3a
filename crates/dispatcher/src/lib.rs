//! One front's desk: it keeps the plays in hand, their timers and the small indices, puts the decisions'
//! three questions and has the answers carried out by its host's [`Actions`].
//!
//! It is the only caller of [`pulleystair::logic`], and the same for the bench's adapter as for the real
//! front. It does no I/O and decides nothing: a host hands it the time and what happened, by plain calls.
//! All times are milliseconds with fractions, all on the host's one clock.

mod hands;
mod indices;

pub use hands::{Actions, PlayRequest};
use indices::{Indices, Titles};
use pulleystair::logic::Policy;
use pulleystair::{Listing, LoadMetric, Next, Outcome, Placement, Play, RungChanges, ServerHint, Settings};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The timer that reminds a front to ask for its list; all others are slots of plays.
const FOLLOW: u32 = u32::MAX;
/// The timer of a round that is not through.
const ROUND: u32 = u32::MAX - 1;
/// So many waiting plays are asked about anew in one turn, and in each ms, at most: a crowd that waits must not hold up the rest.
const AT_ONCE: f64 = 32.0;
const EACH_MS: f64 = 1.0;

pub struct Dispatcher {
    front: Policy,
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

impl Dispatcher {
    pub fn new(sheet: Settings, seed: u64) -> Dispatcher {
        Dispatcher {
            front: Policy::new(sheet, seed),
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
    pub fn has_product(&self, product: usize) -> bool {
        self.front.has_product(product)
    }

    /// A play in hand, for a host's records.
    pub fn play(&self, id: u64) -> Option<&Play> {
        self.by_id.get(&id).map(|ply| &self.plays[*ply])
    }

    /// How many plays are in hand: asked for, out or playing.
    pub fn play_count(&self) -> usize {
        self.by_id.len()
    }

    /// Asks discovery for changes, now or later, where the front says that it must be asked.
    pub fn watch_list(&mut self, failed: bool, actions: &mut impl Actions) {
        match self.front.list_watch_delay(failed) {
            Some(0.0) => actions.watch_list(),
            Some(pause) => actions.set_timer(FOLLOW, pause),
            None => {}
        }
    }

    /// The list of servers, whole or its changes; `cached` where it may be old. A line's own index is not
    /// read: its server goes by the id beside it.
    pub fn update_list(&mut self, now: f64, whole: bool, cached: bool, lines: &[(u32, Listing)]) {
        let lines: Vec<Listing> =
            lines.iter().map(|(id, line)| Listing { server: self.servers.of(*id), ..*line }).collect();
        self.front.update_list(now, whole, cached, &lines);
        self.told = true;
    }

    /// What other fronts let this one know of servers. A given's own index is not read.
    pub fn apply_hints(&mut self, now: f64, given: &[(u32, ServerHint)]) {
        for (id, it) in given {
            let server = self.servers.of(*id);
            self.front.apply_hint(now, &ServerHint { server, ..*it });
            self.told = true;
        }
    }

    /// All that the decisions go by now.
    pub fn active_settings(&self) -> Settings {
        self.front.active_settings()
    }

    pub fn override_setting(&mut self, name: &str, value: f64) {
        self.front.override_setting(name, value);
        self.told = true;
    }

    /// Servers that plays wait for a turn at.
    pub fn awaited_servers(&self) -> BTreeSet<u32> {
        self.waiting.iter().filter_map(|ply| Some(self.servers.ids[self.plays[*ply].waiting_for?])).collect()
    }

    /// Set-ups out and plays that run, by server and product.
    pub fn play_counts(&self) -> BTreeMap<(u32, usize), (u32, u32)> {
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
        self.front.forget_server(s);
        self.servers.give_back(s);
        true
    }

    /// How many plays are out to a server or play there, for a host's records.
    pub fn play_count_at(&self, id: u32) -> usize {
        let Some(&s) = self.servers.by_id.get(&id) else { return 0 };
        self.by_id.values().filter(|ply| self.plays[**ply].server == Some(s)).count()
    }

    /// A viewer asks for a play that has not been in hand before.
    pub fn add_play(&mut self, now: f64, id: u64, wish: &PlayRequest, actions: &mut impl Actions) {
        let ply = self.keep(id, wish);
        self.front.add_play(now, &mut self.plays[ply]);
        self.ask(now, ply, actions);
    }

    /// A play that ran at this server before this front started.
    pub fn adopt(&mut self, now: f64, id: u64, wish: &PlayRequest, server: u32, actions: &mut impl Actions) {
        let server = self.servers.of(server);
        let ply = self.keep(id, wish);
        self.plays[ply].server = Some(server);
        self.front.adopt(now, &mut self.plays, ply);
        self.set_timer(now, ply, actions);
    }

    /// The allocation that was out plays.
    pub fn on_playing(&mut self, now: f64, id: u64, actions: &mut impl Actions) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.after_outcome(now, &mut self.plays, ply, Outcome::Playing, false);
            self.told = true;
            self.set_timer(now, ply, actions);
        }
    }

    /// An allocation ended, with what the server told of its load. `closed`: the play has ended with it.
    #[allow(clippy::too_many_arguments)]
    pub fn on_allocation_ended(
        &mut self,
        now: f64,
        id: u64,
        server: u32,
        outcome: Outcome,
        closed: bool,
        load: &[LoadMetric],
        actions: &mut impl Actions,
    ) {
        let at = self.servers.of(server);
        let ply = self.by_id.get(&id).copied();
        let next = ply.map(|ply| (ply, self.front.after_outcome(now, &mut self.plays, ply, outcome, closed)));
        self.told = true;
        self.figures(now, at, None, load, actions);
        match next {
            Some((ply, Next::Place)) => self.ask(now, ply, actions),
            Some((ply, Next::Nothing)) => self.release(ply),
            None => {}
        }
    }

    /// The viewer left, or the play's end was reported from elsewhere.
    pub fn on_viewer_left(&mut self, id: u64, actions: &mut impl Actions) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.on_viewer_left(&mut self.plays, ply);
            if self.plays[ply].server.is_some() {
                actions.withdraw(id);
            }
            self.release(ply);
        }
    }

    /// The host stops and can hold nothing any longer: for all that has no answer yet, the time is up.
    pub fn expire_pending(&mut self, now: f64, actions: &mut impl Actions) {
        let mut open: Vec<usize> =
            self.by_id.values().copied().filter(|ply| !self.plays[*ply].playing).collect();
        open.sort_unstable();
        for ply in open {
            self.plays[ply].deadline = now;
            if self.plays[ply].server.is_some() {
                actions.withdraw(self.slots[ply].0);
            } else {
                self.ask(now, ply, actions);
            }
        }
    }

    /// A timer rings.
    pub fn on_timer(&mut self, now: f64, mark: u32, actions: &mut impl Actions) {
        let ply = mark as usize;
        if mark == ROUND {
            self.runs = false;
        } else if mark == FOLLOW {
            self.watch_list(false, actions);
        } else if self.slots.get(ply).and_then(|s| s.1).is_some_and(|due| due <= now) {
            self.slots[ply].1 = None;
            self.ask(now, ply, actions);
        }
    }

    /// To be called at the end of each turn of the host's. Facts that were told in it may have taken a waiting play's last hope, or
    /// brought its turn: all that wait are asked about anew, once for all facts of the turn; a crowd over several turns. True if
    /// any were.
    pub fn end_turn(&mut self, now: f64, actions: &mut impl Actions) -> bool {
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
            actions.set_timer(ROUND, 1.0);
        }
        asked
    }

    /// What a server tells of its load, in an answer or a probe's.
    pub fn on_load_report(&mut self, now: f64, server: u32, load: &[LoadMetric], actions: &mut impl Actions) {
        let server = self.servers.of(server);
        self.figures(now, server, None, load, actions);
    }

    /// What a server tells on one of its plays.
    pub fn on_play_note(
        &mut self,
        now: f64,
        id: u64,
        server: u32,
        figure: LoadMetric,
        actions: &mut impl Actions,
    ) {
        let server = self.servers.of(server);
        if let Some(&ply) = self.by_id.get(&id) {
            self.figures(now, server, Some(ply), &[figure], actions);
        }
    }

    /// The rung of an adopted play.
    pub fn set_adopted_rung(&mut self, id: u64, rung: usize) {
        if let Some(&ply) = self.by_id.get(&id) {
            self.front.set_adopted_rung(&mut self.plays, ply, rung);
        }
    }

    fn keep(&mut self, id: u64, wish: &PlayRequest) -> usize {
        let PlayRequest {
            product,
            first_cell,
            holders,
            max_rung: top,
            arrived_at: came,
            deadline: limit,
            ..
        } = *wish;
        let title = self.titles.take(wish.title);
        let play = Play {
            product,
            title,
            first_cell,
            holders,
            max_rung: top,
            arrived_at: came,
            deadline: limit,
            ..Play::default()
        };
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
    fn ask(&mut self, now: f64, ply: usize, actions: &mut impl Actions) {
        let id = self.slots[ply].0;
        let was = self.plays[ply].rung;
        let (place, steps) = self.front.place(now, &mut self.plays, ply);
        self.steps(now, &steps, actions);
        match place {
            Placement::Send { server, rung, time_out, candidates: odds } => {
                let odds: Vec<_> =
                    odds.iter().map(|o| (self.servers.ids[o.server], o.chance, o.room)).collect();
                actions.record_candidates(id, &odds);
                actions.send(id, self.servers.ids[server], rung, time_out);
            }
            Placement::Keep { rung } if rung != was => actions.set_rung(id, rung),
            Placement::Keep { .. } => {}
            Placement::Wait { probe: sound_out } => {
                sound_out.iter().for_each(|server| actions.probe(self.servers.ids[*server]));
            }
            Placement::Declined { retry_after: pause } => actions.decline(id, pause),
            Placement::Failed => actions.fail(id),
        }
        self.set_timer(now, ply, actions);
        let play = &self.plays[ply];
        if play.finished || play.playing || play.server.is_some() {
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
        load: &[LoadMetric],
        actions: &mut impl Actions,
    ) {
        self.told |= !load.is_empty();
        for figure in load {
            let steps = self.front.on_load_metric(now, &mut self.plays, server, of, *figure);
            self.steps(now, &steps, actions);
        }
    }

    fn steps(&mut self, now: f64, steps: &RungChanges, actions: &mut impl Actions) {
        for (ply, rung) in steps {
            actions.set_rung(self.slots[*ply].0, *rung);
            self.set_timer(now, *ply, actions);
        }
    }

    /// Sets the play's timer anew where the wait has changed; stale ones are passed over when they ring.
    fn set_timer(&mut self, now: f64, ply: usize, actions: &mut impl Actions) {
        let due = self.front.time_to_recheck(now, &self.plays[ply]).map(|wait| (wait, now + wait));
        if due.map(|d| d.1) != self.slots[ply].1 {
            self.slots[ply].1 = due.map(|d| d.1);
            if let Some((wait, _)) = due {
                actions.set_timer(ply as u32, wait);
            }
        }
    }

    /// Gives up the slot of a play that is over and has nothing out.
    fn release(&mut self, ply: usize) {
        if self.plays[ply].finished
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
