//! What is known of a media server: its link and its rack's uplink, the load on them, and the room left. Loads and
//! capacities are in kB, times in ms.

use super::Policy;
use crate::{Listing, Play};
use std::collections::VecDeque;

/// Number of latest results that a server is judged by.
const MAX_RESULTS: usize = 4;
/// The number of failures among the latest results from which the server is doubted.
const DOUBT_FAILURES: usize = 2;
/// Reserve for the spread of true rates and for late metrics, as a factor of a play's rate times the root of the number of
/// plays.
const RESERVE_FACTOR: f64 = 0.3;
/// A measurement older than this is to be refreshed by a probe.
const MAX_MEASUREMENT_AGE_MS: f64 = 6_000.0;
/// Changes by this front within this time count as one, so that a flood of set-ups leaves few of them.
const CHANGE_RESOLUTION_MS: f64 = 1.0;
/// Measurements that arrive within this time count as one.
const MEASUREMENT_DISTANCE_MS: f64 = 500.0;

/// Plays with equal keys on a server share one stream if the title is live.
pub(super) fn stream_key(play: &Play) -> (usize, usize, usize) {
    (play.title, play.product, play.rung)
}

/// A server's link or a rack's uplink: the demand when last measured, and what this front has changed since.
#[derive(Default)]
pub(super) struct Link {
    pub(super) capacity_kb: f64,
    /// Latest measured demand; none before the first measurement.
    pub(super) measured_kb: Option<f64>,
    /// The measurement before the latest, with what this front has changed since.
    pub(super) previous_kb: f64,
    /// The time that the latest measurement describes, which is earlier than its arrival.
    pub(super) measured_at: f64,
    /// When the first of the measurements that count as the latest one arrived.
    pub(super) received_at: f64,
    /// This front's changes after `measured_at`: time and kB, earliest first.
    pub(super) own_changes: VecDeque<(f64, f64)>,
    /// The sum of `own_changes`, kB. It is asked for many times a play, and there may be many changes.
    pub(super) own_change_kb: f64,
    /// Estimated number of fronts with plays on the link, this one included.
    pub(super) front_count: f64,
    /// Estimated reduction by the other fronts that no measurement shows yet: the time of the report that they acted on,
    /// and kB.
    pub(super) others_cut: (f64, f64),
}

impl Link {
    /// Takes a measurement of demand over capacity that arrives now and describes `measured_at`.
    pub(super) fn record_measurement(&mut self, now: f64, measured_at: f64, utilization: f64) {
        if self.measured_kb.is_some() && measured_at < self.measured_at {
            return;
        }
        if now >= self.received_at + MEASUREMENT_DISTANCE_MS {
            (self.previous_kb, self.received_at) = (self.demand_kb().unwrap_or(0.0), now);
        }
        (self.measured_kb, self.measured_at) = (Some(utilization.min(100.0) * self.capacity_kb), measured_at);
        while self.own_changes.front().is_some_and(|change| change.0 <= measured_at) {
            self.own_changes.pop_front();
        }
        self.own_change_kb = self.own_changes.iter().map(|change| change.1).sum();
        if self.others_cut.0 <= measured_at {
            self.others_cut.1 = 0.0;
        }
    }

    /// Adds a change by this front. Changes within [`CHANGE_RESOLUTION_MS`] count as one. Changes up to `settled_at` are merged
    /// into one: every measurement still to come describes that time or a later one, so they need not be told apart.
    pub(super) fn record_own_change(&mut self, now: f64, kb: f64, settled_at: f64) {
        while self.own_changes.len() > 1 && self.own_changes[1].0 <= settled_at {
            let oldest_kb = self.own_changes.pop_front().map_or(0.0, |c| c.1);
            self.own_changes[0].1 += oldest_kb;
        }
        match self.own_changes.back_mut() {
            Some(latest) if now - latest.0 < CHANGE_RESOLUTION_MS => latest.1 += kb,
            _ => self.own_changes.push_back((now, kb)),
        }
        self.own_change_kb += kb;
        self.previous_kb += kb;
    }

    /// Demand over capacity that two consecutive measurements agree on. Guards against flapping links, noise, and
    /// any single wrong metric; a real shortage is answered one measurement later.
    pub(super) fn confirmed_utilization(&self) -> f64 {
        self.utilization().min(self.previous_kb / self.capacity_kb)
    }

    /// The smaller of [`Link::confirmed_utilization`] and the present utilization less the estimated reduction by other fronts.
    pub(super) fn adjusted_utilization(&self) -> f64 {
        self.confirmed_utilization().min(self.utilization() - self.others_cut.1 / self.capacity_kb)
    }

    /// Whether there is a measurement young enough to need no probe.
    pub(super) fn is_measured_lately(&self, now: f64) -> bool {
        self.measured_kb.is_some() && now - self.measured_at < MAX_MEASUREMENT_AGE_MS
    }

    /// Present demand: the latest measurement and this front's changes since.
    pub(super) fn demand_kb(&self) -> Option<f64> {
        self.measured_kb.map(|kb| (kb + self.own_change_kb()).max(0.0))
    }

    /// What this front has changed since the latest measurement.
    pub(super) fn own_change_kb(&self) -> f64 {
        self.own_change_kb
    }

    /// Present demand over capacity; 0 before the first measurement.
    pub(super) fn utilization(&self) -> f64 {
        self.demand_kb().map_or(0.0, |kb| kb / self.capacity_kb)
    }
}

/// All that is known of one media server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) listing: Listing,
    pub(super) link: Link,
    pub(super) rack: usize,
    /// Streams that the server runs at most.
    pub(super) max_streams: f64,
    /// Streams that the server reported last.
    pub(super) streams: f64,
    /// Latest results of allocations, newest first: whether each succeeded. An allocation that plays is a success; those that
    /// timed out, did not reach the server or broke off are failures, and so are errors once the play is served elsewhere.
    /// Other outcomes are not recorded.
    pub(super) results: VecDeque<bool>,
    /// Since when the server counts as cold: its start, or the last sign that its process may have been lost.
    pub(super) cold_since: f64,
    /// While the server is cold or doubted, its next play may be sent at this time.
    pub(super) next_play_at: f64,
    /// Whether other fronts doubt the server.
    pub(super) doubted_by_others: bool,
    /// The part of the server's pace that this front holds beyond its part without loans, in multiples of the latter;
    /// negative where it lends.
    pub(super) borrowed_pace: f64,
    /// Minimum distance between further allocations (those after a play's first).
    pub(super) further_gap: f64,
    /// When the next further allocation may be sent.
    pub(super) next_further_at: f64,
    /// Minimum distance between probes.
    pub(super) probe_gap: f64,
    /// When the next probe may be sent.
    pub(super) next_probe_at: f64,
    /// Number of plays that could have been sent to the server (it was one of their holders), decaying over
    /// ELIGIBLE_MEMORY_MS, and when the last was counted.
    pub(super) eligible_plays: (f64, f64),
    /// This front's plays on the server, set-ups included.
    pub(super) plays: Vec<usize>,
    /// Plays that wait to be sent to the server while it is cold or doubted, ordered by arrival: time of arrival and play.
    pub(super) queue: Vec<(f64, usize)>,
}

impl Server {
    /// Whether the server is suspected to be faulty: other fronts say so, or at least DOUBT_FAILURES of its latest results
    /// here are failures. A doubted server gets plays only at a limited rate.
    pub(super) fn is_doubted(&self) -> bool {
        self.doubted_by_others || self.results.iter().filter(|ok| !**ok).count() >= DOUBT_FAILURES
    }

    /// Records an allocation's result; a success also ends the doubt reported by other fronts.
    pub(super) fn record_result(&mut self, succeeded: bool) {
        self.results.push_front(succeeded);
        self.results.truncate(MAX_RESULTS);
        self.doubted_by_others &= !succeeded;
    }
}

/// Estimated number of fronts that have a play on a link of this capacity, this front included, if the fronts' plays at the
/// ladder's middle rate filled it. With two or three fronts that is all of them, with hundreds a few.
pub(super) fn fronts_on_link(front_count: f64, ladder_kb: &[f64], capacity_kb: f64) -> f64 {
    let others = front_count - 1.0;
    let play_count = capacity_kb / ladder_kb[ladder_kb.len() / 2].max(1.0);
    1.0 + others * (1.0 - (1.0 - 1.0 / front_count).powf(play_count))
}

impl Policy {
    /// Room left on a server: what both its link and its rack's uplink can still carry, less the reserve. Every decision
    /// that asks for room uses this value; overload is judged by `confirmed_utilization` and `adjusted_utilization`. Where
    /// this front sets up many plays in a row, all fronts are assumed to do the same: guards against floods that no metric
    /// shows yet.
    pub(super) fn room_kb(&self, plays: &[Play], server_index: usize) -> f64 {
        let middle_kb = self.ladder_kb[self.ladder_kb.len() / 2];
        let free_kb = |link: &Link, demand_kb: f64| {
            let flood_kb =
                (self.recent_set_up_kb.0 - middle_kb).max(0.0) * (self.front_count - 1.0) * link.capacity_kb
                    / self.total_capacity_kb;
            link.capacity_kb - demand_kb - flood_kb - RESERVE_FACTOR * (link.capacity_kb * middle_kb).sqrt()
        };
        let server = &self.servers[server_index];
        let guess_kb = || {
            (self.mean_utilization * server.link.capacity_kb)
                .max(self.own_load_kb(plays, server_index) * server.link.front_count)
        };
        let link_demand_kb = server.link.demand_kb().unwrap_or_else(guess_kb);
        let uplink = &self.uplinks[server.rack];
        free_kb(&server.link, link_demand_kb)
            .min(free_kb(uplink, uplink.demand_kb().unwrap_or(0.5 * uplink.capacity_kb)))
    }

    /// The rate of a play on this rung.
    pub(super) fn rate_kb(&self, play: &Play, rung: usize) -> f64 {
        self.ladder_kb[rung] * self.products[play.product].rate_scale
    }

    /// The load that this play on this rung adds to a server; only its `join_share` where the server already streams the
    /// live title.
    pub(super) fn added_load_kb(
        &self,
        plays: &[Play],
        server_index: usize,
        play: &Play,
        play_index: usize,
        rung: usize,
    ) -> f64 {
        let same_stream =
            |o: &usize| *o != play_index && stream_key(&plays[*o]) == (play.title, play.product, rung);
        let is_shared =
            self.products[play.product].is_live && self.servers[server_index].plays.iter().any(same_stream);
        self.rate_kb(play, rung) * if is_shared { self.join_share } else { 1.0 }
    }

    /// The load that the rung above this one adds.
    pub(super) fn next_rung_kb(
        &self,
        plays: &[Play],
        server_index: usize,
        play_index: usize,
        rung: usize,
    ) -> f64 {
        self.added_load_kb(plays, server_index, &plays[play_index], play_index, rung + 1)
            - self.added_load_kb(plays, server_index, &plays[play_index], play_index, rung)
    }

    /// The load of this front's own plays on a server.
    pub(super) fn own_load_kb(&self, plays: &[Play], server_index: usize) -> f64 {
        let play_indices = &self.servers[server_index].plays;
        let load_kb = |(i, play_index): (usize, &usize)| {
            let play = &plays[*play_index];
            let joins_earlier =
                || play_indices[..i].iter().any(|o| stream_key(&plays[*o]) == stream_key(play));
            let is_shared = self.products[play.product].is_live && joins_earlier();
            self.rate_kb(play, play.rung) * if is_shared { self.join_share } else { 1.0 }
        };
        play_indices.iter().enumerate().map(load_kb).sum()
    }

    /// Records on a server's link and its rack's uplink that this front's load changed by `kb`.
    pub(super) fn change_load(&mut self, now: f64, server_index: usize, kb: f64) {
        let settled_at = now - self.number_setting("extra.seen_after", 1000.0);
        self.servers[server_index].link.record_own_change(now, kb, settled_at);
        let rack = self.servers[server_index].rack;
        self.uplinks[rack].record_own_change(now, kb, settled_at);
    }

    /// The fuller of a server's link and its rack's uplink by this measure, and whether that is the uplink.
    pub(super) fn fuller_link(&self, server_index: usize, measure: fn(&Link) -> f64) -> (bool, &Link) {
        let (link, uplink) =
            (&self.servers[server_index].link, &self.uplinks[self.servers[server_index].rack]);
        if measure(uplink) > measure(link) { (true, uplink) } else { (false, link) }
    }

    /// The servers that share a server's rack uplink, or only the server itself where its own link is meant.
    pub(super) fn servers_on_link(&self, server_index: usize, is_uplink: bool) -> Vec<usize> {
        if !is_uplink {
            return vec![server_index];
        }
        let rack = self.servers[server_index].rack;
        (rack..self.cells.len()).step_by(self.uplinks.len()).flat_map(|c| &self.cells[c]).copied().collect()
    }
}
