//! Places a play: the ordinary path, from the title's holders to a server and a rung, and the rules on which servers may be
//! sent a play at all. Times are in ms, rates and rooms in kB.

use super::{ELIGIBLE_MEMORY_MS, Policy, pace::FLOOD_MEMORY_MS, room::Link};
use crate::{HolderChance, Placement, Play, RungChanges, Standing, Value};

/// A random number below this takes the holder with the most room (Wamser et al.).
const BEST_CHANCE: f64 = 0.5;
/// How long the answers to probes are waited for.
const PROBE_WAIT_MS: f64 = 50.0;
/// What the probes for one allocation may cost together, as a share of a play's worth, which is the unit of `costs.probe`.
const MAX_PROBE_COST: f64 = 0.025;

/// Those servers that pass the test, or all where none passes.
fn prefer(servers: Vec<usize>, is_preferred: impl Fn(&usize) -> bool) -> Vec<usize> {
    let preferred: Vec<usize> = servers.iter().copied().filter(is_preferred).collect();
    if preferred.is_empty() { servers } else { preferred }
}

impl Policy {
    /// Decides where this play goes: from the title's holders to a server and a rung. For a play that runs already, decides
    /// about a step up. Also returns the other plays whose rungs change.
    pub fn place(&mut self, now: f64, plays: &mut [Play], play_index: usize) -> (Placement, RungChanges) {
        let decay = ((self.recent_set_up_kb.1 - now) / FLOOD_MEMORY_MS).exp();
        (self.recent_set_up_kb, self.recent_plays) =
            ((self.recent_set_up_kb.0 * decay, now), self.recent_plays * decay);
        if plays[play_index].playing {
            return self.step_up(now, plays, play_index);
        }
        // A caller places waiting plays again after each new fact; that does not count as another play.
        let (is_early, was_queued) =
            (now < plays[play_index].recheck_at - 0.01, plays[play_index].waiting_for.is_some());
        self.recent_plays += if is_early { 0.0 } else { 1.0 };
        let (product, title) = (plays[play_index].product, plays[play_index].title);
        let seat_limit = self.products[product].seat_limit;
        let no_seat_left =
            self.seats_taken.get(&(product, title)).is_some_and(|n| seat_limit > 0 && *n >= seat_limit);
        let no_allocation_left =
            plays[play_index].allocations > 0 && !self.may_allocate_again(now, &plays[play_index]);
        if no_seat_left || no_allocation_left || now >= plays[play_index].deadline - 1.0 {
            return (self.refuse(plays, play_index), Vec::new());
        }

        // The holders that may be sent a play at all; those that failed this play only if there are no others.
        let mut holders = prefer(self.holders(&plays[play_index]), |s| !plays[play_index].tried.contains(s));
        holders.retain(|s| !self.is_overloaded_for(plays, *s, &plays[play_index]));
        if holders.is_empty() {
            return (self.refuse(plays, play_index), Vec::new());
        }
        for s in holders.iter().filter(|_| !is_early) {
            let eligible_plays = &mut self.servers[*s].eligible_plays;
            *eligible_plays =
                (1.0 + eligible_plays.0 * ((eligible_plays.1 - now) / ELIGIBLE_MEMORY_MS).exp(), now);
        }
        // Cold and doubted holders take plays only at their pace; a play without another holder waits in a
        // server's queue.
        self.leave_queue(plays, play_index);
        let (arrived_at, is_further) = (plays[play_index].arrived_at, plays[play_index].allocations > 0);
        let send_times: Vec<f64> =
            holders.iter().map(|s| self.earliest_send_at(now, *s, arrived_at, is_further)).collect();
        let mut eligible: Vec<usize> =
            (0..holders.len()).filter(|i| send_times[*i] <= now).map(|i| holders[i]).collect();
        if eligible.is_empty() {
            let soonest =
                (0..send_times.len()).min_by(|a, b| send_times[*a].total_cmp(&send_times[*b])).unwrap_or(0);
            if send_times[soonest] >= plays[play_index].deadline - 200.0 {
                return (self.refuse(plays, play_index), Vec::new());
            }
            (plays[play_index].waiting_for, plays[play_index].recheck_at) =
                (Some(holders[soonest]), send_times[soonest].max(now + 1.0));
            let queue = &mut self.servers[holders[soonest]].queue;
            queue.insert(queue.partition_point(|q| q.0 <= arrived_at), (arrived_at, play_index));
            return (Placement::Wait { probe: Vec::new() }, Vec::new());
        }
        // A play that waits for answers to its probes is not placed before `recheck_at`.
        if is_early && !was_queued {
            return (Placement::Wait { probe: Vec::new() }, Vec::new());
        }
        // The viewers of a live title share a stream, which few would if a random draw scattered them. Holders that already
        // stream the title and have room therefore come before all others.
        let same_title = |o: &usize| (plays[*o].title, plays[*o].product) == (title, product);
        let streams_title =
            |s: &usize| self.servers[*s].plays.iter().any(same_title) && self.room_kb(plays, *s) > 0.0;
        if self.products[product].is_live && self.join_share < 1.0 {
            eligible = prefer(eligible, streams_title);
        }
        // Metrics grow old where this front seldom has plays: as far as the price allows, holders are probed, and those
        // that do not answer are avoided. Guards against guessed room and silent servers, at the price of a short wait.
        // Holders measured lately count towards the number that the price allows.
        let affordable =
            (MAX_PROBE_COST / self.number_setting("costs.probe", MAX_PROBE_COST).max(1e-6)) as usize;
        let mut to_probe = eligible.clone();
        to_probe.retain(|s| !self.servers[*s].link.is_measured_lately(now));
        let measured_count = eligible.len() - to_probe.len();
        to_probe.retain(|s| now >= self.servers[*s].next_probe_at);
        let probe_count = affordable.saturating_sub(measured_count).min(to_probe.len());
        while to_probe.len() > probe_count {
            to_probe.swap_remove(self.rng.rand_range(0..to_probe.len() as u64) as usize);
        }
        let may_wait = !plays[play_index].probed && now + 4.0 * PROBE_WAIT_MS < plays[play_index].deadline;
        if may_wait && !to_probe.is_empty() && self.number_setting("ceilings.probes", 0.0) > 0.0 {
            (plays[play_index].probed, plays[play_index].recheck_at) = (true, now + PROBE_WAIT_MS);
            to_probe.iter().for_each(|s| self.servers[*s].next_probe_at = now + self.servers[*s].probe_gap);
            return (Placement::Wait { probe: to_probe }, Vec::new());
        }
        if plays[play_index].probed {
            eligible = prefer(eligible, |s| {
                self.servers[*s].link.measured_kb.is_some() && self.room_kb(plays, *s) > 0.0
            });
        }

        // Where crossing zones has a price, holders of the front's zone with ample room come before others.
        let ample_kb = 2.0 * self.rate_kb(&plays[play_index], self.max_rung(&plays[play_index]));
        let in_own_zone =
            |s: &usize| self.servers[*s].listing.zone as f64 == self.number_setting("zone", 0.0);
        if self.number_setting("costs.cross_zone", 0.0) > 0.0 {
            eligible = prefer(eligible, |s| in_own_zone(s) && self.room_kb(plays, *s) > ample_kb);
        }
        // The same where a connection has a price: holders measured lately have a connection, and come first with ample
        // room. Guards against many fronts that each connect to all servers; meanwhile fewer servers take the load.
        if self.number_setting("costs.handshake", 0.0) > 0.0 {
            eligible = prefer(eligible, |s| {
                self.servers[*s].link.is_measured_lately(now) && self.room_kb(plays, *s) > ample_kb
            });
        }
        // Holders without a measurement first; then a weighted draw: half the time the holder with the most room, else one
        // drawn in proportion to room.
        let is_unmeasured = |s: &usize| self.servers[*s].link.measured_kb.is_none();
        let rooms: Vec<f64> = eligible.iter().map(|s| self.room_kb(plays, *s).max(0.0)).collect();
        let total_room: f64 = rooms.iter().sum();
        let candidates = self.candidate_chances(&eligible, &rooms, total_room);
        let server_index = if eligible.iter().any(is_unmeasured) {
            eligible.retain(is_unmeasured);
            eligible[self.rng.rand_range(0..eligible.len() as u64) as usize]
        } else if total_room <= 0.0 {
            let utilization = |s: &usize| self.fuller_link(*s, Link::utilization).1.utilization();
            *eligible.iter().min_by(|a, b| utilization(a).total_cmp(&utilization(b))).unwrap_or(&eligible[0])
        } else if self.rng.rand_float() < BEST_CHANCE {
            let best = (0..eligible.len()).max_by(|a, b| rooms[*a].total_cmp(&rooms[*b]));
            eligible[best.unwrap_or(0)]
        } else {
            let mut draw = self.rng.rand_float() * total_room;
            let drawn = rooms.iter().position(|r| {
                draw -= r;
                draw < 0.0
            });
            eligible[drawn.unwrap_or(eligible.len() - 1)]
        };

        // The highest rung that the link has room for, including what other plays give up for it.
        let (rung, rung_changes) = self.choose_rung(now, plays, play_index, server_index);
        let kb = self.added_load_kb(plays, server_index, &plays[play_index], play_index, rung);
        self.change_load(now, server_index, kb);
        self.recent_set_up_kb.0 += kb;
        self.servers[server_index].next_play_at = now + self.play_gap(now, server_index);
        let play = &mut plays[play_index];
        if is_further {
            self.servers[server_index].next_further_at = now + self.servers[server_index].further_gap;
        }
        if play.allocations > 0 && self.settings.contains_key("rules.budget_share") {
            self.further_allocations.push_back(now);
        }
        // The time left is divided among the allocations that are still allowed, three at most. It is the time to the
        // first-frame target, but to the deadline for the last allocation or with less than 100 ms left to the target.
        let target_at = play.arrived_at + self.products[product].first_frame_target;
        let tries = (self.number_setting("ceilings.attempts_cap", 4.0) as usize)
            .saturating_sub(play.allocations)
            .clamp(1, 3);
        let answer_by = if tries == 1 || target_at - now < 100.0 { play.deadline } else { target_at };
        let time_out = ((answer_by - now) / tries as f64).min(play.deadline - now);
        (play.server, play.rung, play.sent_at) = (Some(server_index), rung, now);
        play.allocations += 1;
        self.servers[server_index].plays.push(play_index);
        *self.seats_taken.entry((product, title)).or_default() += 1;
        (Placement::Send { server: server_index, rung, time_out, candidates }, rung_changes)
    }

    /// The chance that each eligible holder has in the draw of [`Policy::place`].
    fn candidate_chances(&self, eligible: &[usize], rooms: &[f64], total_room: f64) -> Vec<HolderChance> {
        let is_unmeasured = |s: &usize| self.servers[*s].link.measured_kb.is_none();
        let unmeasured_count = eligible.iter().filter(|s| is_unmeasured(s)).count();
        let utilization = |i: &usize| self.fuller_link(eligible[*i], Link::utilization).1.utilization();
        let least_used = (0..eligible.len()).min_by(|a, b| utilization(a).total_cmp(&utilization(b)));
        let best = (0..eligible.len()).max_by(|a, b| rooms[*a].total_cmp(&rooms[*b]));
        let chance = |i: usize| match total_room {
            _ if unmeasured_count > 0 => f64::from(is_unmeasured(&eligible[i])) / unmeasured_count as f64,
            _ if total_room <= 0.0 => f64::from(least_used == Some(i)),
            _ => BEST_CHANCE * f64::from(best == Some(i)) + (1.0 - BEST_CHANCE) * rooms[i] / total_room,
        };
        (0..eligible.len())
            .map(|i| HolderChance { server: eligible[i], chance: chance(i), room: rooms[i] })
            .collect()
    }

    /// The title's holders that this play may be sent to.
    pub(super) fn holders(&self, play: &Play) -> Vec<usize> {
        let cell_count = self.cells.len();
        let cells =
            (0..play.holder_cells.min(cell_count)).map(|i| (play.first_cell % cell_count + i) % cell_count);
        cells.flat_map(|c| &self.cells[c]).copied().filter(|s| self.may_take(*s, play)).collect()
    }

    /// Whether a server is ready, has a free stream, and recognises the play's key if an earlier allocation may have run.
    pub(super) fn may_take(&self, server_index: usize, play: &Play) -> bool {
        let server = &self.servers[server_index];
        let listing = &server.listing;
        let in_key_scope =
            play.may_have_run.is_none_or(|(r, _)| match self.products[play.product].key_scope.as_str() {
                _ if self.products[play.product].effect != "idempotency_key" => true,
                "zone" => self.servers[r].listing.zone == listing.zone,
                "cell" => self.servers[r].listing.cell == listing.cell,
                _ => true,
            });
        listing.standing == Standing::Ready
            && in_key_scope
            && server.streams.max(server.plays.len() as f64) < server.max_streams
    }

    /// Whether the rules allow a further allocation of a play that has had at least one.
    pub(super) fn may_allocate_again(&mut self, now: f64, play: &Play) -> bool {
        let product = &self.products[play.product];
        let is_repeatable = play.may_have_run.is_none()
            || match product.effect.as_str() {
                "non_idempotent" => false,
                "idempotency_key" => {
                    play.may_have_run.is_none_or(|(_, sent_at)| now - sent_at < product.repeat_window)
                }
                _ => true,
            };
        let span_ms = self.drop_old_arrivals(now);
        while self.further_allocations.front().is_some_and(|t| *t < now - span_ms) {
            self.further_allocations.pop_front();
        }
        let free = self.number_setting("rules.free_resends", 0.0);
        let budget = match self.settings.get("rules.budget_share") {
            Some(Value::Number(share)) => free + share * self.arrivals.len() as f64,
            _ => f64::MAX,
        };
        let max_allocations = self.number_setting("ceilings.attempts_cap", 4.0) as usize;
        is_repeatable
            && play.allocations < max_allocations
            && self.further_allocations.len() as f64 + 1.0 <= budget
    }

    /// Finishes a play that can't be placed: declined if no allocation of it can have had an effect or the viewer may
    /// safely repeat the request, else failed.
    pub(super) fn refuse(&mut self, plays: &mut [Play], play_index: usize) -> Placement {
        self.finish_play(plays, play_index);
        let play = &plays[play_index];
        let product = &self.products[play.product];
        let may_decline = match product.effect.as_str() {
            "non_idempotent" => play.may_have_run.is_none(),
            "idempotency_key" => play.may_have_run.is_none() || product.key_scope == "all",
            _ => true,
        };
        let viewers_heed_it = self.number_setting("ceilings.retry_after", 0.0) > 0.0;
        let retry_after =
            if viewers_heed_it { self.number_setting("ceilings.max_retry_after", 0.0) } else { 0.0 };
        if may_decline { Placement::Declined { retry_after } } else { Placement::Failed }
    }

    /// Whether a server's link or uplink stays overloaded and the plays there would lose at least as much worth to the play
    /// as it adds. A play's worth is its product's importance times the value of its rung. Guards against floods and links
    /// that shrink; may refuse a viewer just after a shortage has ended.
    pub(super) fn is_overloaded_for(&self, plays: &[Play], server_index: usize, play: &Play) -> bool {
        let (is_uplink, link) = self.fuller_link(server_index, Link::confirmed_utilization);
        let excess = link.confirmed_utilization() - 1.0;
        if excess <= 0.0 {
            return false;
        }
        let stall_cost = self.number_setting("extra.stall_cost", 0.0);
        let worth = |p: &Play| self.products[p.product].importance * self.rung_values[p.rung];
        let servers = self.servers_on_link(server_index, is_uplink);
        let worth_there: f64 =
            servers.iter().flat_map(|s| &self.servers[*s].plays).map(|o| worth(&plays[*o])).sum();
        let worth_taken =
            self.rate_kb(play, play.rung) / link.capacity_kb * stall_cost * worth_there * link.front_count;
        worth(play) * (1.0 - stall_cost * excess) <= worth_taken
    }
}
