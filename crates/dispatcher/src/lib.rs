//! The dispatcher of one front: keeps the open plays, their timers and the indices of plays, servers and titles, asks the
//! placement logic where plays go, and has the host carry the answers out through [`Actions`].
//!
//! It is the only caller of [`pulleystair::logic`], and serves the simulator's adapter and the real front alike. It does no
//! I/O and makes no decisions: its host calls it with the time and what happened. All times are milliseconds as
//! floating-point numbers on the host's clock.

mod actions;
mod arrivals;
mod indices;
mod records;

pub use actions::{Actions, EarlierAllocations, PlayRequest};
use indices::{Indices, Titles};
use pulleystair::logic::Policy;
use pulleystair::{Listing, LoadMetric, Next, Outcome, Placement, Play, RungChanges, ServerHint, Settings};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The timer after which discovery is asked for the server list again. Other timers are indices of plays.
const LIST_TIMER: u32 = u32::MAX;
/// The timer after which the next of the waiting plays are placed again.
const RECHECK_TIMER: u32 = u32::MAX - 1;
/// Limit on how many waiting plays are placed again in one turn of the event loop, so that many waiting plays do not delay
/// other work.
const MAX_RECHECKS_PER_TURN: f64 = 32.0;
/// Limit on how many waiting plays are placed again per ms, for the same reason.
const RECHECKS_PER_MS: f64 = 1.0;

/// The open plays of one front, and the placement logic that decides about them.
pub struct Dispatcher {
    policy: Policy,
    /// The plays by index; out of date at free indices.
    plays: Vec<Play>,
    /// For each index of `plays`: the host's id of the play, and when the play's timer is due.
    slots: Vec<(u64, Option<f64>)>,
    /// Indices of `plays` without an open play, to be used again.
    free_indices: Vec<usize>,
    /// The index of each open play, by the host's id.
    by_id: HashMap<u64, usize>,
    /// Plays without an answer and without an allocation in flight.
    waiting: BTreeSet<usize>,
    /// Whether a fact has come in since the waiting plays were last queued to be placed again.
    has_new_facts: bool,
    /// Waiting plays still to be placed again.
    recheck_queue: VecDeque<usize>,
    /// Whether RECHECK_TIMER is set.
    recheck_timer_set: bool,
    /// How many waiting plays may be placed again now, and the time at which that number was computed.
    recheck_allowance: (f64, f64),
    servers: Indices<u32>,
    titles: Titles,
}

impl Dispatcher {
    /// Creates a dispatcher without plays; `seed` determines the random draws of the placement logic.
    pub fn new(settings: Settings, seed: u64) -> Dispatcher {
        Dispatcher {
            policy: Policy::new(settings, seed),
            plays: Vec::new(),
            slots: Vec::new(),
            free_indices: Vec::new(),
            by_id: HashMap::new(),
            waiting: BTreeSet::new(),
            has_new_facts: false,
            recheck_queue: VecDeque::new(),
            recheck_timer_set: false,
            recheck_allowance: (MAX_RECHECKS_PER_TURN, 0.0),
            servers: Indices::default(),
            titles: Titles::default(),
        }
    }

    /// Asks discovery for changes of the server list where it has to be asked: now, or after a delay if the
    /// last call failed.
    pub fn watch_list(&mut self, failed: bool, actions: &mut impl Actions) {
        match self.policy.list_watch_delay(failed) {
            Some(0.0) => actions.watch_list(),
            Some(delay) => actions.set_timer(LIST_TIMER, delay),
            None => {}
        }
    }

    /// Takes the server list, whole or its changes; `is_cached` if it may be old. The index within an entry is ignored: the
    /// server is identified by the id beside the entry.
    pub fn update_list(&mut self, now: f64, is_whole: bool, is_cached: bool, entries: &[(u32, Listing)]) {
        let entries: Vec<Listing> = entries
            .iter()
            .map(|(server_id, entry)| Listing { server: self.servers.get_or_assign(*server_id), ..*entry })
            .collect();
        self.policy.update_list(now, is_whole, is_cached, &entries);
        self.has_new_facts = true;
    }

    /// Takes what other fronts let this one know of servers. The index within a hint is ignored.
    pub fn apply_hints(&mut self, now: f64, hints: &[(u32, ServerHint)]) {
        for (server_id, hint) in hints {
            let server_index = self.servers.get_or_assign(*server_id);
            self.policy.apply_hint(now, &ServerHint { server: server_index, ..*hint });
            self.has_new_facts = true;
        }
    }

    /// Uses another value for a setting from now on, within the limits of [`Policy::override_setting`]: a setting that is read
    /// only at the start keeps its former effect.
    pub fn override_setting(&mut self, name: &str, value: f64) {
        self.policy.override_setting(name, value);
        self.has_new_facts = true;
    }

    /// Drops what is known of a server that is gone and whose id will not be used again, unless an open play still refers to
    /// it. Returns true once nothing is left of the server.
    pub fn forget_server(&mut self, server_id: u32) -> bool {
        let Some(&server_index) = self.servers.by_id.get(&server_id) else { return true };
        let refers_to_server = |play: &Play| {
            play.server == Some(server_index)
                || play.tried.contains(&server_index)
                || play.may_have_run.is_some_and(|(ran_index, _)| ran_index == server_index)
        };
        if self.by_id.values().any(|play_index| refers_to_server(&self.plays[*play_index])) {
            return false;
        }
        self.policy.forget_server(server_index);
        self.servers.release(server_index);
        true
    }

    /// The allocation in flight has succeeded: the play runs.
    pub fn on_playing(&mut self, now: f64, play_id: u64, actions: &mut impl Actions) {
        if let Some(&play_index) = self.by_id.get(&play_id) {
            self.policy.after_outcome(now, &mut self.plays, play_index, Outcome::Playing, false);
            self.has_new_facts = true;
            self.update_timer(now, play_index, actions);
        }
    }

    /// An allocation has ended; `load` is what the server reported with it. `closed`: the play has ended too.
    #[allow(clippy::too_many_arguments)]
    pub fn on_allocation_ended(
        &mut self,
        now: f64,
        play_id: u64,
        server_id: u32,
        outcome: Outcome,
        closed: bool,
        load: &[LoadMetric],
        actions: &mut impl Actions,
    ) {
        let server_index = self.servers.get_or_assign(server_id);
        let play_index = self.by_id.get(&play_id).copied();
        let next = play_index.map(|play_index| {
            (play_index, self.policy.after_outcome(now, &mut self.plays, play_index, outcome, closed))
        });
        self.has_new_facts = true;
        self.apply_load(now, server_index, None, load, actions);
        match next {
            Some((play_index, Next::Place)) => self.place_play(now, play_index, actions),
            Some((play_index, Next::Nothing)) => self.release_if_finished(play_index),
            None => {}
        }
    }

    /// Ends a play, because its viewer has left or its end was reported from elsewhere.
    pub fn close_play(&mut self, play_id: u64, actions: &mut impl Actions) {
        if let Some(&play_index) = self.by_id.get(&play_id) {
            self.policy.finish_play(&mut self.plays, play_index);
            if self.plays[play_index].server.is_some() {
                actions.withdraw(play_id);
            }
            self.release_if_finished(play_index);
        }
    }

    /// Called when the host shuts down: sets the deadline of all plays that do not run yet to now. Set-ups in flight are
    /// withdrawn, and waiting plays get their final answer.
    pub fn expire_unanswered(&mut self, now: f64, actions: &mut impl Actions) {
        let mut unanswered: Vec<usize> =
            self.by_id.values().copied().filter(|play_index| !self.plays[*play_index].playing).collect();
        unanswered.sort_unstable();
        for play_index in unanswered {
            self.plays[play_index].deadline = now;
            if self.plays[play_index].server.is_some() {
                actions.withdraw(self.slots[play_index].0);
            } else {
                self.place_play(now, play_index, actions);
            }
        }
    }

    /// A timer set by [`Actions::set_timer`] has fired.
    pub fn on_timer(&mut self, now: f64, timer: u32, actions: &mut impl Actions) {
        let play_index = timer as usize;
        if timer == RECHECK_TIMER {
            self.recheck_timer_set = false;
        } else if timer == LIST_TIMER {
            self.watch_list(false, actions);
        } else if self.slots.get(play_index).and_then(|s| s.1).is_some_and(|due_at| due_at <= now) {
            self.slots[play_index].1 = None;
            self.place_play(now, play_index, actions);
        }
    }

    /// To be called at the end of each turn of the host's event loop. The facts of the turn may have made a wait hopeless or
    /// ended it, so all waiting plays are placed again, once for all facts of the turn; many waiting plays are spread over
    /// several turns. Returns whether any play was placed again, whatever the decision.
    pub fn end_turn(&mut self, now: f64, actions: &mut impl Actions) -> bool {
        if self.recheck_queue.is_empty() && std::mem::take(&mut self.has_new_facts) {
            self.recheck_queue.extend(&self.waiting);
        }
        let mut any_placed = false;
        self.recheck_allowance = (
            (self.recheck_allowance.0 + (now - self.recheck_allowance.1) * RECHECKS_PER_MS)
                .clamp(0.0, MAX_RECHECKS_PER_TURN),
            now,
        );
        while self.recheck_allowance.0 >= 1.0 {
            let Some(play_index) = self.recheck_queue.pop_front() else { break };
            if self.waiting.contains(&play_index) {
                self.recheck_allowance.0 -= 1.0;
                self.place_play(now, play_index, actions);
                any_placed = true;
            }
        }
        if !self.recheck_queue.is_empty() && !self.recheck_timer_set {
            self.recheck_timer_set = true;
            actions.set_timer(RECHECK_TIMER, 1.0);
        }
        any_placed
    }

    /// Takes a server's load, reported in an answer to a set-up or to [`Actions::probe`].
    pub fn on_load_report(
        &mut self,
        now: f64,
        server_id: u32,
        load: &[LoadMetric],
        actions: &mut impl Actions,
    ) {
        let server_index = self.servers.get_or_assign(server_id);
        self.apply_load(now, server_index, None, load, actions);
    }

    /// Takes a server's note about one of its running plays.
    pub fn on_play_note(
        &mut self,
        now: f64,
        play_id: u64,
        server_id: u32,
        metric: LoadMetric,
        actions: &mut impl Actions,
    ) {
        let server_index = self.servers.get_or_assign(server_id);
        if let Some(&play_index) = self.by_id.get(&play_id) {
            self.apply_load(now, server_index, Some(play_index), &[metric], actions);
        }
    }

    /// Sets the rung on which an adopted play runs.
    pub fn set_adopted_rung(&mut self, play_id: u64, rung: usize) {
        if let Some(&play_index) = self.by_id.get(&play_id) {
            self.policy.set_adopted_rung(&mut self.plays, play_index, rung);
        }
    }

    /// Has the placement logic place a play, and the host carry the decision out.
    fn place_play(&mut self, now: f64, play_index: usize, actions: &mut impl Actions) {
        let play_id = self.slots[play_index].0;
        let old_rung = self.plays[play_index].rung;
        let (placement, rung_changes) = self.policy.place(now, &mut self.plays, play_index);
        self.apply_rung_changes(now, &rung_changes, actions);
        match placement {
            Placement::Send { server, rung, time_out, candidates } => {
                let candidates: Vec<_> =
                    candidates.iter().map(|o| (self.servers.ids[o.server], o.chance, o.room)).collect();
                actions.record_candidates(play_id, &candidates);
                actions.send(play_id, self.servers.ids[server], rung, time_out);
            }
            Placement::Keep { rung } if rung != old_rung => actions.set_rung(play_id, rung),
            Placement::Keep { .. } => {}
            Placement::Wait { probe } => {
                probe.iter().for_each(|server_index| actions.probe(self.servers.ids[*server_index]));
            }
            Placement::Declined { retry_after } => actions.decline(play_id, retry_after),
            Placement::Failed => actions.fail(play_id),
        }
        self.update_timer(now, play_index, actions);
        let play = &self.plays[play_index];
        if play.finished || play.playing || play.server.is_some() {
            self.waiting.remove(&play_index);
        } else {
            self.waiting.insert(play_index);
        }
        self.release_if_finished(play_index);
    }

    /// Takes load metrics that a server reported of itself, or in a note about the play `noted_play`.
    fn apply_load(
        &mut self,
        now: f64,
        server_index: usize,
        noted_play: Option<usize>,
        load: &[LoadMetric],
        actions: &mut impl Actions,
    ) {
        self.has_new_facts |= !load.is_empty();
        for metric in load {
            let rung_changes =
                self.policy.on_load_metric(now, &mut self.plays, server_index, noted_play, *metric);
            self.apply_rung_changes(now, &rung_changes, actions);
        }
    }

    /// Has the host change the rungs of these plays.
    fn apply_rung_changes(&mut self, now: f64, rung_changes: &RungChanges, actions: &mut impl Actions) {
        for (play_index, rung) in rung_changes {
            actions.set_rung(self.slots[*play_index].0, *rung);
            self.update_timer(now, *play_index, actions);
        }
    }

    /// Sets the play's timer again if its time has changed. Outdated timers are ignored when they fire.
    fn update_timer(&mut self, now: f64, play_index: usize, actions: &mut impl Actions) {
        let due_at = self.policy.time_to_recheck(now, &self.plays[play_index]).map(|wait| (wait, now + wait));
        if due_at.map(|d| d.1) != self.slots[play_index].1 {
            self.slots[play_index].1 = due_at.map(|d| d.1);
            if let Some((wait, _)) = due_at {
                actions.set_timer(play_index as u32, wait);
            }
        }
    }

    /// Releases the index of a play that is finished and has no allocation in flight.
    fn release_if_finished(&mut self, play_index: usize) {
        if self.plays[play_index].finished
            && self.plays[play_index].server.is_none()
            && self.by_id.remove(&self.slots[play_index].0).is_some()
        {
            self.slots[play_index].1 = None;
            self.waiting.remove(&play_index);
            self.titles.remove_play(self.plays[play_index].title);
            self.free_indices.push(play_index);
        }
    }
}
