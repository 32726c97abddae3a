//! Where a play goes: the ordinary path, from the title's holders to a rung, and who may be sent to at all.

use super::{MEMORY, Policy, pace::RECENT, room::Pipe};
use crate::{HolderChance, Placement, Play, RungChanges, Standing, Value};

/// A draw below this takes the roomiest holder outright (Wamser et al.).
const WEIGHT: f64 = 0.5;
/// A probe's answer is waited for so long, ms.
const ECHO: f64 = 50.0;
/// What the probes for one allocation may cost, in parts of a play's worth.
const PROBES: f64 = 0.025;

/// Those that pass, or all where none does.
fn prefer(from: Vec<usize>, good: impl Fn(&usize) -> bool) -> Vec<usize> {
    let passed: Vec<usize> = from.iter().copied().filter(good).collect();
    if passed.is_empty() { from } else { passed }
}

impl Policy {
    /// Where this play goes: the design's ordinary path, from the title's holders to a rung.
    pub fn place(&mut self, now: f64, plays: &mut [Play], ply: usize) -> (Placement, RungChanges) {
        let fades = ((self.recent.1 - now) / RECENT).exp();
        (self.recent, self.wanted) = ((self.recent.0 * fades, now), self.wanted * fades);
        if plays[ply].playing {
            return self.step_up(now, plays, ply);
        }
        // A caller asks anew about plays that wait whenever it has told a fact; that is no further play.
        let (early, waited) = (now < plays[ply].recheck_at - 0.01, plays[ply].waiting_for.is_some());
        self.wanted += if early { 0.0 } else { 1.0 };
        let (product, title) = (plays[ply].product, plays[ply].title);
        let seats = self.products[product].seats;
        let seated = self.seats.get(&(product, title)).is_some_and(|n| seats > 0 && *n >= seats);
        let out_of_turn = plays[ply].allocations > 0 && !self.may_allocate_again(now, &plays[ply]);
        if seated || out_of_turn || now >= plays[ply].deadline - 1.0 {
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
        let (came, again) = (plays[ply].arrived_at, plays[ply].allocations > 0);
        let turns: Vec<f64> = holders.iter().map(|s| self.turn(now, *s, came, again)).collect();
        let mut open: Vec<usize> =
            (0..holders.len()).filter(|i| turns[*i] <= now).map(|i| holders[i]).collect();
        if open.is_empty() {
            let soonest = (0..turns.len()).min_by(|a, b| turns[*a].total_cmp(&turns[*b])).unwrap_or(0);
            if turns[soonest] >= plays[ply].deadline - 200.0 {
                return (self.never(plays, ply), Vec::new());
            }
            (plays[ply].waiting_for, plays[ply].recheck_at) =
                (Some(holders[soonest]), turns[soonest].max(now + 1.0));
            let queue = &mut self.servers[holders[soonest]].queue;
            queue.insert(queue.partition_point(|q| q.0 <= came), (came, ply));
            return (Placement::Wait { probe: Vec::new() }, Vec::new());
        }
        // Until the answers of its probes are due it waits for them.
        if early && !waited {
            return (Placement::Wait { probe: Vec::new() }, Vec::new());
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
        let measured = open.len() - sound_out.len();
        sound_out.retain(|s| now >= self.servers[*s].next_probe);
        let enough = worth.saturating_sub(measured).min(sound_out.len());
        while sound_out.len() > enough {
            sound_out.swap_remove(self.rnd.rand_range(0..sound_out.len() as u64) as usize);
        }
        let may_wait = !plays[ply].probed && now + 4.0 * ECHO < plays[ply].deadline;
        if may_wait && !sound_out.is_empty() && self.rule("ceilings.probes", 0.0) > 0.0 {
            (plays[ply].probed, plays[ply].recheck_at) = (true, now + ECHO);
            sound_out.iter().for_each(|s| self.servers[*s].next_probe = now + self.servers[*s].probe_gap);
            return (Placement::Wait { probe: sound_out }, Vec::new());
        }
        if plays[ply].probed {
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
        let odds = self.odds(&open, &rooms, total);
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
        if again {
            self.servers[server].next_further = now + self.servers[server].further_gap;
        }
        if play.allocations > 0 && self.sheet.contains_key("rules.budget_share") {
            self.further.push_back(now);
        }
        let target = play.arrived_at + self.products[product].target;
        let tries =
            (self.rule("ceilings.attempts_cap", 4.0) as usize).saturating_sub(play.allocations).clamp(1, 3);
        let until = if tries == 1 || target - now < 100.0 { play.deadline } else { target };
        let time_out = ((until - now) / tries as f64).min(play.deadline - now);
        (play.server, play.rung, play.sent_at) = (Some(server), rung, now);
        play.allocations += 1;
        self.servers[server].plays.push(ply);
        *self.seats.entry((product, title)).or_default() += 1;
        (Placement::Send { server, rung, time_out, candidates: odds }, steps)
    }

    /// The chance that each has in the draw below.
    fn odds(&self, open: &[usize], rooms: &[f64], total: f64) -> Vec<HolderChance> {
        let unmeasured = |s: &usize| self.servers[*s].link.asked.is_none();
        let new = open.iter().filter(|s| unmeasured(s)).count();
        let used = |i: &usize| self.shorter(open[*i], Pipe::share).1.share();
        let least = (0..open.len()).min_by(|a, b| used(a).total_cmp(&used(b)));
        let best = (0..open.len()).max_by(|a, b| rooms[*a].total_cmp(&rooms[*b]));
        let chance = |i: usize| match total {
            _ if new > 0 => f64::from(unmeasured(&open[i])) / new as f64,
            _ if total <= 0.0 => f64::from(least == Some(i)),
            _ => WEIGHT * f64::from(best == Some(i)) + (1.0 - WEIGHT) * rooms[i] / total,
        };
        (0..open.len()).map(|i| HolderChance { server: open[i], chance: chance(i), room: rooms[i] }).collect()
    }

    /// The title's holders that this play may go to.
    pub(super) fn holders(&self, play: &Play) -> Vec<usize> {
        let count = self.cells.len();
        let row = (0..play.holders.min(count)).map(|i| (play.first_cell % count + i) % count);
        row.flat_map(|c| &self.cells[c]).copied().filter(|s| self.may_take(*s, play)).collect()
    }

    pub(super) fn may_take(&self, s: usize, play: &Play) -> bool {
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
    pub(super) fn may_allocate_again(&mut self, now: f64, play: &Play) -> bool {
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

    pub(super) fn never(&mut self, plays: &mut [Play], ply: usize) -> Placement {
        self.on_viewer_left(plays, ply);
        let play = &plays[ply];
        let product = &self.products[play.product];
        let refusable = match product.effect.as_str() {
            "non_idempotent" => play.ran_at.is_none(),
            "idempotency_key" => play.ran_at.is_none() || product.group == "all",
            _ => true,
        };
        let heeded = self.rule("ceilings.retry_after", 0.0) > 0.0;
        let pause = if heeded { self.rule("ceilings.max_retry_after", 0.0) } else { 0.0 };
        if refusable { Placement::Declined { retry_after: pause } } else { Placement::Failed }
    }

    /// Whether a play would take more importance from those there than it brings, as link or uplink stays
    /// short. Guards against floods and links that shrink; may send a viewer off just after a shortage.
    pub(super) fn crowded(&self, plays: &[Play], s: usize, play: &Play) -> bool {
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
}
