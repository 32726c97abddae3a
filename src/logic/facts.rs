//! Takes in the facts that a front learns: the server list, servers' load, plays that arrive and leave, and the outcomes of
//! allocations; and draws the consequences. The dispatcher calls these methods. Times are in ms, loads in kB.

use super::{Policy, QUIET_JITTER_MS, room::Link, room::Server, room::fronts_on_link};
use crate::{Listing, LoadMetric, Next, Outcome, Play, RungChanges, ServerHint, Standing, number};

/// Demand over capacity from which a link counts as overloaded: metrics err by as much, and plays end by themselves.
const OVERLOAD_UTILIZATION: f64 = 1.04;

impl Policy {
    /// Takes the server list, whole or its changes. A cached list may be old: all servers on it count as just started
    /// until discovery answers, so that a front that restarts does not overload a server that restarted meanwhile.
    pub fn update_list(&mut self, now: f64, is_whole: bool, is_cached: bool, entries: &[Listing]) {
        let link_unit_kb = self.number_setting("extra.link_unit_kb", 1.0);
        self.listing_since = self.listing_since.min(now);
        if is_whole {
            self.servers.iter_mut().for_each(|s| s.listing.standing = Standing::Gone);
        }
        for entry in entries {
            self.ensure_server(entry.server);
            let server = &mut self.servers[entry.server];
            if entry.started_at > server.listing.started_at && server.listing.weight > 0.0 {
                (server.link.measured_kb, server.streams) = (None, 0.0);
                server.results.clear();
                server.doubted_by_others = false;
            }
            server.cold_since = if is_cached { now } else { server.cold_since.max(entry.started_at) };
            (server.rack, server.link.capacity_kb) =
                (entry.cell % self.uplinks.len(), (entry.weight * link_unit_kb).max(1.0));
            server.link.front_count =
                fronts_on_link(self.front_count, &self.ladder_kb, server.link.capacity_kb);
            server.listing = *entry;
            server.max_streams =
                number(&self.settings, &format!("extra.places_by_kind.{}", entry.kind), f64::MAX);
        }
        self.cells.iter_mut().for_each(Vec::clear);
        let cell_count = self.cells.len();
        for s in (0..self.servers.len()).filter(|s| self.servers[*s].listing.standing != Standing::Gone) {
            self.cells[self.servers[s].listing.cell % cell_count].push(s);
        }
        if is_cached {
            self.cached_list_at = now;
        } else if is_whole {
            let confirmed = self.servers.iter_mut().filter(|s| s.cold_since == self.cached_list_at);
            confirmed.for_each(|s| s.cold_since = s.listing.started_at);
        }
    }

    /// Takes what other fronts let this one know of a server. What is left of the time to the server's next play is scaled
    /// to the new pace. If other fronts have just begun to doubt the server, this front's first trial is also put off by a part
    /// of the gap that grows with its rank, so that the fronts do not try it together.
    pub fn apply_hint(&mut self, now: f64, hint: &ServerHint) {
        self.ensure_server(hint.server);
        let old_gap = self.play_gap(now, hint.server);
        let server = &mut self.servers[hint.server];
        let newly_doubted = hint.doubted && !server.doubted_by_others;
        (server.doubted_by_others, server.borrowed_pace) = (hint.doubted, hint.pace_multiple.max(0.01) - 1.0);
        (server.further_gap, server.probe_gap) = (hint.further_gap, hint.probe_gap);
        let new_gap = self.play_gap(now, hint.server);
        let first_trial_delay =
            if newly_doubted { new_gap * (self.rank + 1.0) / self.front_count } else { 0.0 };
        let server = &mut self.servers[hint.server];
        server.next_play_at =
            now + ((server.next_play_at - now).max(0.0) * new_gap / old_gap).max(first_trial_delay);
    }

    /// Drops what is known of a server that is gone for good; its index may be given to another server.
    pub fn forget_server(&mut self, server_index: usize) {
        if let Some(server) = self.servers.get_mut(server_index) {
            *server = Server::default();
        }
    }

    /// Takes a load metric that a server reported of itself, or in a note about the play `noted_play`. Returns the steps
    /// down that follow.
    pub fn on_load_metric(
        &mut self,
        now: f64,
        plays: &mut [Play],
        server_index: usize,
        noted_play: Option<usize>,
        metric: LoadMetric,
    ) -> RungChanges {
        let value = metric.value();
        if server_index >= self.servers.len() || !value.is_finite() || value < 0.0 {
            return Vec::new();
        }
        // A note that arrives in the moment in which its play starts is current; every other metric describes the time
        // `extra.seen_after` ago.
        let is_current = noted_play.is_some_and(|play_index| plays[play_index].started_at == now);
        let measured_at =
            if is_current { now } else { now - self.number_setting("extra.seen_after", 1000.0) };
        let rack = self.servers[server_index].rack;
        let link_utilization = self.servers[server_index].link.utilization();
        match metric {
            LoadMetric::Streams(_) => self.servers[server_index].streams = value,
            LoadMetric::Uplink(_) => self.uplinks[rack].record_measurement(now, measured_at, value),
            LoadMetric::Link(_) | LoadMetric::LinkCapped(_) => {
                // A capped metric says of a full link only that it is full, not by how much it is overloaded.
                let value = if matches!(metric, LoadMetric::LinkCapped(_)) && value >= 1.0 {
                    link_utilization.max(1.0)
                } else {
                    value
                };
                self.mean_utilization += (value.min(1.0) - self.mean_utilization) / 16.0;
                self.servers[server_index].link.record_measurement(now, measured_at, value);
            }
            LoadMetric::Delivered(_) => {
                // An overloaded uplink affects all servers of the rack: a server that delivers too little on an uplink
                // with room is itself overloaded. Guards against notes about plays on one failing server
                // stepping down the plays of its whole rack.
                let by_uplink = self.uplinks[rack].utilization() > link_utilization.max(0.9);
                let link =
                    if by_uplink { &mut self.uplinks[rack] } else { &mut self.servers[server_index].link };
                if value < 0.98 || link.utilization() > 1.0 {
                    link.record_measurement(
                        now,
                        measured_at,
                        if value < 0.98 { 1.0 / value.max(0.05) } else { 1.0 },
                    );
                }
            }
        }
        // On overload, this front's plays on the link give up their share of the excess, as every other front's do.
        let mut rung_changes = Vec::new();
        let (is_uplink, link) = self.fuller_link(server_index, Link::adjusted_utilization);
        let utilization = link.adjusted_utilization();
        if utilization > OVERLOAD_UTILIZATION {
            let servers = self.servers_on_link(server_index, is_uplink);
            let own_load_kb: f64 = servers.iter().map(|s| self.own_load_kb(plays, *s)).sum();
            let mut excess_kb = own_load_kb * (1.0 - OVERLOAD_UTILIZATION / utilization);
            let others_cut_kb = ((utilization - 1.0) * link.capacity_kb - excess_kb).max(0.0);
            let link = if is_uplink { &mut self.uplinks[rack] } else { &mut self.servers[server_index].link };
            link.others_cut = (now, link.others_cut.1 + others_cut_kb);
            while excess_kb > 0.0 {
                let Some((_, freed_kb, group)) = self.cheapest_step_down(plays, &servers) else { break };
                // Rungs are coarse: whether the last step is made is drawn at random, or all fronts together would
                // free too much.
                if freed_kb > excess_kb && self.rng.rand_float() > excess_kb / freed_kb {
                    break;
                }
                excess_kb -= freed_kb;
                self.step_down(now, plays, &group, freed_kb, &mut rung_changes);
            }
        }
        rung_changes
    }

    /// Takes a new play, which starts on its product's lowest rung and counts for the allocation budget. Allocations of it
    /// may have been made before.
    pub fn add_play(&mut self, now: f64, play: &mut Play) {
        if let Some((server_index, _)) = play.may_have_run {
            self.ensure_server(server_index);
        }
        if self.settings.contains_key("rules.budget_share") {
            self.arrivals.push_back(now);
            self.drop_old_arrivals(now);
        }
        play.recheck_at = now;
        play.rung = self.products[play.product].min_rung;
    }

    /// Takes a play that ran before this front started.
    pub fn adopt(&mut self, now: f64, plays: &mut [Play], play_index: usize) {
        plays[play_index].rung = self.products[plays[play_index].product].min_rung;
        (plays[play_index].playing, plays[play_index].allocations) = (true, 1);
        // Its last change of rung is past, so only the random part of its quiet period is waited for.
        plays[play_index].recheck_at = now + QUIET_JITTER_MS * self.rng.rand_float();
        if let Some(server_index) = plays[play_index].server {
            self.ensure_server(server_index);
            self.servers[server_index].plays.push(play_index);
        }
        *self.seats_taken.entry((plays[play_index].product, plays[play_index].title)).or_default() += 1;
    }

    /// Marks the play as finished and removes it from the queue that it waits in; an allocation may still be in flight.
    pub fn finish_play(&mut self, plays: &mut [Play], play_index: usize) {
        self.leave_queue(plays, play_index);
        plays[play_index].finished = true;
    }

    /// Takes an outcome of the play's latest allocation and returns what to do next. `closed`: the play has ended with it.
    pub fn after_outcome(
        &mut self,
        now: f64,
        plays: &mut [Play],
        play_index: usize,
        outcome: Outcome,
        closed: bool,
    ) -> Next {
        let Some(server_index) = plays[play_index].server else {
            if closed {
                self.finish_play(plays, play_index);
            }
            return Next::Nothing;
        };
        if outcome == Outcome::Playing {
            (plays[play_index].playing, plays[play_index].started_at) = (true, now);
            plays[play_index].recheck_at = now + self.draw_quiet_period();
            self.servers[server_index].record_result(true);
            // The play is served here, so errors on other servers were the servers' own. Guards against plays that no
            // server can serve making every server doubted; a failing server is found one set-up later.
            std::mem::take(&mut plays[play_index].errored_on)
                .iter()
                .for_each(|e| self.servers[*e].record_result(false));
            return Next::Nothing;
        }
        match outcome {
            Outcome::Error => plays[play_index].errored_on.push(server_index),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken => {
                // The process may have been lost, and come back cold before the list shows it.
                self.servers[server_index].record_result(false);
                self.servers[server_index].cold_since = now;
            }
            Outcome::Full => self.servers[server_index].link.record_measurement(now, now, 1.0),
            _ => {}
        }
        let kb =
            self.added_load_kb(plays, server_index, &plays[play_index], play_index, plays[play_index].rung);
        self.change_load(now, server_index, -kb);
        self.servers[server_index].plays.retain(|p| *p != play_index);
        let seats = self.seats_taken.entry((plays[play_index].product, plays[play_index].title)).or_default();
        *seats = seats.saturating_sub(1);
        let play = &mut plays[play_index];
        if outcome.may_have_run() {
            play.may_have_run.get_or_insert((server_index, play.sent_at));
        }
        (play.server, play.probed, play.recheck_at) = (None, false, now);
        play.tried.push(server_index);
        play.rung = self.products[play.product].min_rung;
        play.finished |= closed || play.playing;
        if play.finished { Next::Nothing } else { Next::Place }
    }

    /// Time (ms) until the play is to be placed again, or checked for a step up if it runs; none while an allocation is in
    /// flight and once the play is finished.
    pub fn time_to_recheck(&self, now: f64, play: &Play) -> Option<f64> {
        let has_recheck_time = !play.finished && (play.playing || play.server.is_none());
        has_recheck_time.then(|| (play.recheck_at - now).max(0.0))
    }

    /// Drops the arrivals that are older than the allocation budget's span. Returns the span (ms), by which
    /// [`Policy::may_allocate_again`] drops further allocations.
    pub(super) fn drop_old_arrivals(&mut self, now: f64) -> f64 {
        let span_ms = self.number_setting("rules.budget_span", 0.0);
        while self.arrivals.front().is_some_and(|t| *t <= now - span_ms) {
            self.arrivals.pop_front();
        }
        span_ms
    }
}
