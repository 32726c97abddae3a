//! What a front is told: the list, servers' load, plays that come and leave, and what follows on an outcome.

use super::{JITTER, Policy, room::Pipe, room::Server, room::meeting};
use crate::{Listing, LoadMetric, Next, Outcome, Play, RungChanges, ServerHint, Standing, number};

/// Asked over given from which a link counts as short: figures err by as much, and plays end by themselves.
const SHORT: f64 = 1.04;

impl Policy {
    /// The list of servers, whole or its changes. A cached one may be old: all on it count as just started
    /// until discovery speaks, lest a front that restarts rush a server that restarted meanwhile.
    pub fn update_list(&mut self, now: f64, whole: bool, cached: bool, lines: &[Listing]) {
        let unit = self.rule("extra.link_unit_kb", 1.0);
        self.since = self.since.min(now);
        if whole {
            self.servers.iter_mut().for_each(|s| s.listing.standing = Standing::Gone);
        }
        for line in lines {
            self.know(line.server);
            let s = &mut self.servers[line.server];
            if line.started_at > s.listing.started_at && s.listing.weight > 0.0 {
                (s.link.asked, s.streams) = (None, 0.0);
                s.outcomes.clear();
                s.hearsay = false;
            }
            s.cold_since = if cached { now } else { s.cold_since.max(line.started_at) };
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
            vouched.for_each(|s| s.cold_since = s.listing.started_at);
        }
    }

    /// What other fronts let this one know; a wait for a server's pace goes on at the new one.
    pub fn apply_hint(&mut self, now: f64, it: &ServerHint) {
        self.know(it.server);
        let before = self.gap(now, it.server);
        let s = &mut self.servers[it.server];
        let new = it.doubted && !s.hearsay;
        (s.hearsay, s.lent) = (it.doubted, it.pace.max(0.01) - 1.0);
        (s.further_gap, s.probe_gap) = (it.further_gap, it.probe_gap);
        let gap = self.gap(now, it.server);
        let first = if new { gap * (self.rank + 1.0) / self.fronts } else { 0.0 };
        let s = &mut self.servers[it.server];
        s.next_pace = now + ((s.next_pace - now).max(0.0) * gap / before).max(first);
    }

    /// A server is gone for good: its index may be another's from now on.
    pub fn forget_server(&mut self, s: usize) {
        if let Some(server) = self.servers.get_mut(s) {
            *server = Server::default();
        }
    }

    /// What a server told of itself, or a note about it on play `of`. Answers the steps down it asks for.
    pub fn on_load_metric(
        &mut self,
        now: f64,
        plays: &mut [Play],
        s: usize,
        of: Option<usize>,
        it: LoadMetric,
    ) -> RungChanges {
        let x = it.value();
        if s >= self.servers.len() || !x.is_finite() || x < 0.0 {
            return Vec::new();
        }
        // The note at set-up is of now; all else is as late as notes are.
        let fresh = of.is_some_and(|ply| plays[ply].started_at == now);
        let taken = if fresh { now } else { now - self.rule("extra.seen_after", 1000.0) };
        let rack = self.servers[s].rack;
        let known = self.servers[s].link.share();
        match it {
            LoadMetric::Streams(_) => self.servers[s].streams = x,
            LoadMetric::Uplink(_) => self.racks[rack].measured(now, taken, x),
            LoadMetric::Link(_) | LoadMetric::LinkCapped(_) => {
                // A capped figure tells of a full link only that it is full.
                let x = if matches!(it, LoadMetric::LinkCapped(_)) && x >= 1.0 { known.max(1.0) } else { x };
                self.mean += (x.min(1.0) - self.mean) / 16.0;
                self.servers[s].link.measured(now, taken, x);
            }
            LoadMetric::Delivered(_) => {
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

    /// A play was taken.
    pub fn add_play(&mut self, now: f64, play: &mut Play) {
        if self.sheet.contains_key("rules.budget_share") {
            self.taken.push_back(now);
            self.forget_taken(now);
        }
        play.recheck_at = now;
        play.rung = self.products[play.product].floor;
    }

    /// A play that was under way before this front started.
    pub fn adopt(&mut self, now: f64, plays: &mut [Play], ply: usize) {
        plays[ply].rung = self.products[plays[ply].product].floor;
        (plays[ply].playing, plays[ply].allocations) = (true, 1);
        // Its last change is past, so only the jitter is left of its quiet spell.
        plays[ply].recheck_at = now + JITTER * self.rnd.rand_float();
        if let Some(s) = plays[ply].server {
            self.know(s);
            self.servers[s].plays.push(ply);
        }
        *self.seats.entry((plays[ply].product, plays[ply].title)).or_default() += 1;
    }

    /// The viewer left; an allocation may still be out.
    pub fn on_viewer_left(&mut self, plays: &mut [Play], ply: usize) {
        self.leave_queue(plays, ply);
        plays[ply].finished = true;
    }

    /// What to do after an outcome of the play's latest allocation. `closed`: the play has ended with it.
    pub fn after_outcome(
        &mut self,
        now: f64,
        plays: &mut [Play],
        ply: usize,
        what: Outcome,
        closed: bool,
    ) -> Next {
        let Some(s) = plays[ply].server else {
            if closed {
                self.on_viewer_left(plays, ply);
            }
            return Next::Nothing;
        };
        if what == Outcome::Playing {
            (plays[ply].playing, plays[ply].started_at) = (true, now);
            plays[ply].recheck_at = now + self.spell();
            self.servers[s].heard(true);
            // Served here, so errors met elsewhere were the servers' own. Guards against plays that nobody
            // can serve making every server doubted; a server that fails is found out one set-up later.
            std::mem::take(&mut plays[ply].errored_on).iter().for_each(|e| self.servers[*e].heard(false));
            return Next::Nothing;
        }
        match what {
            Outcome::Error => plays[ply].errored_on.push(s),
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
            play.ran_at.get_or_insert((s, play.sent_at));
        }
        (play.server, play.probed, play.recheck_at) = (None, false, now);
        play.tried.push(s);
        play.rung = self.products[play.product].floor;
        play.finished |= closed || play.playing;
        if play.finished { Next::Nothing } else { Next::Place }
    }

    /// How long until the play is to be asked about again; none while an allocation is out.
    pub fn time_to_recheck(&self, now: f64, play: &Play) -> Option<f64> {
        let due = !play.finished && (play.playing || play.server.is_none());
        due.then(|| (play.recheck_at - now).max(0.0))
    }

    /// Plays taken longer ago than the budget's span no longer count in it.
    pub(super) fn forget_taken(&mut self, now: f64) -> f64 {
        let span = self.rule("rules.budget_span", 0.0);
        while self.taken.front().is_some_and(|t| *t <= now - span) {
            self.taken.pop_front();
        }
        span
    }
}
