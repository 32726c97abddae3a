//! When a cold or doubted server may be sent the next play, so that all fronts together do not push it over.
//!
//! The bound: within the window in which it would fall, a server's budget is N = overload factor * its pace *
//! window, and beyond that 2 root N + 2 are chance. F fronts, of which the part A is asked for it within the
//! warm-up, send F * A / gap * window, as their first turns are spread over one gap by rank. Each keeps
//!     gap >= F * A / (PACED * overload factor * pace),   so that the sum's mean is <= PACED * N < N,
//! unaided: A is reckoned by its own rate alone, over the time that it has watched (MEMORY at most, a warm-up
//! at least), and a flood raises it by what came of late. Whatever its rate, a front's own mean is then at
//! most PACED * N / F, so that uneven rates don't raise the sum. One that restarts does not know what it
//! sent: it takes one turn more at most, and reckons a high A until it has watched for long.

use super::{MEMORY, Policy};
use crate::Play;

/// Part of what would push a cold server over that all fronts together send it.
const PACED: f64 = 0.6;
/// All fronts are reckoned to set up as much as this one does in so many ms, where that is over a play.
pub(super) const RECENT: f64 = 1_500.0;

impl Policy {
    /// When the server may be sent this play: cold and doubted ones by this front's part of the warm-up's
    /// pace, after the plays that have waited for it longer. Fronts take their first turns by rank, so that
    /// their parts do not fall together. Guards against rushing what has just come back, listed or not, and
    /// gives what fails or is silent a way back by few trials; it makes plays wait whose holders all look so,
    /// and lets those go at once whose turn can't come.
    pub(super) fn turn(&self, now: f64, s: usize, came: f64, again: bool) -> f64 {
        let server = &self.servers[s];
        // Further allocations are a budget of the whole fleet's, where fronts share.
        let now = if again { server.next_further.max(now) } else { now };
        let cold = now < server.cold_since + self.rule("rules.cold", 0.0);
        if !cold && !server.doubted() {
            return now;
        }
        let first = server.cold_since + self.gap(server.cold_since, s) * self.rank / self.fronts;
        let turn = server.next_pace.max(first).max(now);
        let ahead = server.queue.partition_point(|q| q.0 < came) as f64;
        if ahead == 0.0 {
            return turn;
        }
        turn + ahead * self.gap(turn + ahead * self.gap(turn, s) / 2.0, s)
    }

    pub(super) fn leave_queue(&mut self, plays: &mut [Play], ply: usize) {
        if let Some(s) = plays[ply].waiting_for.take() {
            self.servers[s].queue.retain(|q| q.1 != ply);
        }
    }

    pub(super) fn gap(&self, now: f64, s: usize) -> f64 {
        let server = &self.servers[s];
        let warm_up = self.rule("rules.cold", 0.0).max(1.0);
        let places = if server.places < f64::MAX { server.places.max(1.0) } else { 1.0 };
        let from = self.rule("rules.cold_from", 0.1).clamp(0.01, 1.0);
        let warmed = ((now - server.cold_since) / warm_up).clamp(0.0, 1.0);
        let pace = places / warm_up * (from + (1.0 - from) * warmed);
        // The fronts that press on it: those that usually meet there, and while it warms up as many as would
        // ask if all asked at this front's own rate, over the last minute or, in a flood, of late.
        let cold = now < server.cold_since + warm_up && server.cold_since != self.cached;
        let lately = (self.wanted - 1.0).max(0.0) / RECENT * server.link.size / self.fleet;
        let watched = MEMORY * (1.0 - (-(now - self.since).max(warm_up) / MEMORY).exp());
        let rate = (server.asks.0 / watched).max(lately);
        let asking = if cold { 1.0 - (-rate * warm_up).exp() } else { 0.0 };
        let fronts = (self.fronts * asking).max(server.link.fronts);
        // What is lent are parts of all fronts; what is doubted on hearsay all try as often as one would.
        let fronts = if server.hearsay { fronts * self.fronts } else { fronts };
        let lent = server.lent.max(0.0) / self.fronts;
        let fronts = if lent > 0.0 { 1.0 / (1.0 / fronts + lent) } else { fronts / (1.0 + server.lent) };
        fronts / (pace * self.rule("rules.overload_factor", 1.0) * PACED)
    }
}
