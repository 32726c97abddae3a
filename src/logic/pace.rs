//! Decides when a cold or doubted server may be sent the next play, so that all fronts together do not overload it.
//!
//! The bound: within the window in which the server would become overloaded, its budget is N = overload factor * its
//! pace * window, and random fluctuation may exceed the budget by 2 * sqrt(N) + 2. F fronts, of which the share A has
//! plays for the server within the warm-up, send F * A / gap * window, as their first sends are spread over one gap by
//! rank. Each front keeps
//!     gap >= F * A / (PACED_SHARE * overload factor * pace),   so that the mean of the sum is <= PACED_SHARE * N < N,
//! without any exchange with the others: it estimates A from its own rate alone, over the time that it has watched
//! (ELIGIBLE_MEMORY_MS at most, a warm-up at least), and a flood raises A by the recent plays. Whatever its rate, a
//! front's own mean is then at most PACED_SHARE * N / F, so uneven rates do not raise the sum. A front that restarts does
//! not know what it sent before: it sends one play too many at most, and estimates a high A until it has watched for long.

use super::{ELIGIBLE_MEMORY_MS, Policy};
use crate::Play;

/// The share of what would overload a cold server that all fronts together send to it.
const PACED_SHARE: f64 = 0.6;
/// Time constant of this front's recent plays and set-ups. Where these exceed one play, all fronts are assumed to have as
/// many: that is how a flood shows before any metric does.
pub(super) const FLOOD_MEMORY_MS: f64 = 1_500.0;

impl Policy {
    /// The earliest time at which this play may be sent to the server. If the server is neither cold nor doubted, that is
    /// `now`, or for a further allocation the end of the server's `further_gap` if that is later. Cold and doubted servers get
    /// plays at this front's share of the warm-up's pace, and plays that have waited longer go first.
    /// The fronts' first sends are spread by rank, so that they do not coincide. Protects a server that has just restarted,
    /// even if the list does not show it yet, and lets a failing or silent server return after a few trial plays. The cost: a
    /// play waits if all its holders are in this state, and is refused at once if it cannot be sent before its deadline.
    pub(super) fn earliest_send_at(
        &self,
        now: f64,
        server_index: usize,
        arrived_at: f64,
        is_further: bool,
    ) -> f64 {
        let server = &self.servers[server_index];
        // Other fronts' hints may set a minimum distance between further allocations to a server (`further_gap`), cold or not.
        let now = if is_further { server.next_further_at.max(now) } else { now };
        let is_cold = now < server.cold_since + self.number_setting("rules.cold", 0.0);
        if !is_cold && !server.is_doubted() {
            return now;
        }
        let first_send_at =
            server.cold_since + self.play_gap(server.cold_since, server_index) * self.rank / self.front_count;
        let next_send_at = server.next_play_at.max(first_send_at).max(now);
        let ahead = server.queue.partition_point(|q| q.0 < arrived_at) as f64;
        if ahead == 0.0 {
            return next_send_at;
        }
        next_send_at
            + ahead
                * self.play_gap(
                    next_send_at + ahead * self.play_gap(next_send_at, server_index) / 2.0,
                    server_index,
                )
    }

    /// Removes the play from the queue of the server that it waits for, if any.
    pub(super) fn leave_queue(&mut self, plays: &mut [Play], play_index: usize) {
        if let Some(server_index) = plays[play_index].waiting_for.take() {
            self.servers[server_index].queue.retain(|q| q.1 != play_index);
        }
    }

    /// Minimum distance (ms) at this time between this front's plays to the server while it is cold or doubted.
    pub(super) fn play_gap(&self, now: f64, server_index: usize) -> f64 {
        let server = &self.servers[server_index];
        let warm_up_ms = self.number_setting("rules.cold", 0.0).max(1.0);
        let max_streams = if server.max_streams < f64::MAX { server.max_streams.max(1.0) } else { 1.0 };
        let initial_share = self.number_setting("rules.cold_from", 0.1).clamp(0.01, 1.0);
        let warmed_share = ((now - server.cold_since) / warm_up_ms).clamp(0.0, 1.0);
        let pace = max_streams / warm_up_ms * (initial_share + (1.0 - initial_share) * warmed_share);
        // The number of fronts that send to the server: those that usually have plays there, and during the warm-up as many
        // as would have a play for it if all had this front's own rate, over the last minute or, in a flood, recently. A
        // server that counts as cold only because a cached list named it is left out of that.
        let is_warming_up = now < server.cold_since + warm_up_ms && server.cold_since != self.cached_list_at;
        let recent_rate = (self.recent_plays - 1.0).max(0.0) / FLOOD_MEMORY_MS * server.link.capacity_kb
            / self.total_capacity_kb;
        let watched_ms = ELIGIBLE_MEMORY_MS
            * (1.0 - (-(now - self.listing_since).max(warm_up_ms) / ELIGIBLE_MEMORY_MS).exp());
        let rate = (server.eligible_plays.0 / watched_ms).max(recent_rate);
        let active_share = if is_warming_up { 1.0 - (-rate * warm_up_ms).exp() } else { 0.0 };
        let front_count = (self.front_count * active_share).max(server.link.front_count);
        // On a server doubted by other fronts, all fronts together make as many trials as one front would. A borrowed
        // pace of 1 is 1/n of the server's pace, where n is the number of fronts; a negative one reduces this front's part.
        let front_count = if server.doubted_by_others { front_count * self.front_count } else { front_count };
        let borrowed_share = server.borrowed_pace.max(0.0) / self.front_count;
        let front_count = if borrowed_share > 0.0 {
            1.0 / (1.0 / front_count + borrowed_share)
        } else {
            front_count / (1.0 + server.borrowed_pace)
        };
        front_count / (pace * self.number_setting("rules.overload_factor", 1.0) * PACED_SHARE)
    }
}
