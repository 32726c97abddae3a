//! What is known of a media server: its link and its rack's uplink, what they carry, and the room left.

use super::Policy;
use crate::{Listing, Play};
use std::collections::VecDeque;

/// Outcomes that a server is judged by, and how many failures among them make it doubted.
const OUTCOMES: usize = 4;
const FAILURES: usize = 2;
/// Room left for the spread of true rates and for late figures, in parts of a play's rate over the root of
/// the number of plays.
const SPREAD: f64 = 0.3;
/// A figure older than this is to be refreshed by a probe, ms.
const OLD: f64 = 6_000.0;
/// Measurements heard closer than this are of one moment, ms.
const APART: f64 = 500.0;

/// What viewers of a live title share at a server.
pub(super) fn stream(play: &Play) -> (usize, usize, usize) {
    (play.title, play.product, play.rung)
}

/// A link or uplink: what was asked of it when last measured, and what this front has changed since.
#[derive(Default)]
pub(super) struct Pipe {
    pub(super) size: f64,
    pub(super) asked: Option<f64>,
    /// The measurement before that one, with what this front has changed since.
    pub(super) before: f64,
    pub(super) taken: f64,
    /// When the present moment of measurements began.
    pub(super) heard: f64,
    pub(super) since: VecDeque<(f64, f64)>,
    /// How many fronts have plays on it, this one included.
    pub(super) fronts: f64,
    /// What the others are reckoned to have cut for reports up to that time, and have not been heard to.
    pub(super) cut: (f64, f64),
}

impl Pipe {
    pub(super) fn measured(&mut self, now: f64, taken: f64, share: f64) {
        if self.asked.is_some() && taken < self.taken {
            return;
        }
        if now >= self.heard + APART {
            (self.before, self.heard) = (self.now_asked().unwrap_or(0.0), now);
        }
        (self.asked, self.taken) = (Some(share.min(100.0) * self.size), taken);
        self.since.retain(|c| c.0 > taken);
        if self.cut.0 <= taken {
            self.cut.1 = 0.0;
        }
    }

    /// What changed before `settled` counts as one change: no measurement still to come is older.
    pub(super) fn change(&mut self, now: f64, kb: f64, settled: f64) {
        while self.since.len() > 1 && self.since[1].0 <= settled {
            let oldest = self.since.pop_front().map_or(0.0, |c| c.1);
            self.since[0].1 += oldest;
        }
        self.since.push_back((now, kb));
        self.before += kb;
    }

    /// Asked over given where two measurements in a row say so. Guards against blinking links and noise, and
    /// should against any single wrong figure; a real shortage is answered one measurement later.
    pub(super) fn short_twice(&self) -> f64 {
        self.share().min(self.before / self.size)
    }

    /// The same less what other fronts are reckoned to have cut.
    pub(super) fn steady_share(&self) -> f64 {
        self.short_twice().min(self.share() - self.cut.1 / self.size)
    }

    pub(super) fn known(&self, now: f64) -> bool {
        self.asked.is_some() && now - self.taken < OLD
    }

    pub(super) fn now_asked(&self) -> Option<f64> {
        self.asked.map(|a| (a + self.own_change()).max(0.0))
    }

    pub(super) fn own_change(&self) -> f64 {
        self.since.iter().map(|c| c.1).sum()
    }

    pub(super) fn share(&self) -> f64 {
        self.now_asked().map_or(0.0, |a| a / self.size)
    }
}

/// All that is known of one media server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) listing: Listing,
    pub(super) link: Pipe,
    pub(super) rack: usize,
    /// Streams that it runs at most, and those it was last known to run.
    pub(super) places: f64,
    pub(super) streams: f64,
    pub(super) outcomes: VecDeque<bool>,
    /// Since when it counts as cold: its start, or the last sign that its process may have been lost.
    pub(super) cold_since: f64,
    pub(super) next_pace: f64,
    /// Doubted by other fronts, and what they lend of their pace, in this front's unaided parts.
    pub(super) hearsay: bool,
    pub(super) lent: f64,
    /// What keeps further allocations and probes apart, ms, and when the next may go.
    pub(super) further_gap: f64,
    pub(super) next_further: f64,
    pub(super) probe_gap: f64,
    pub(super) next_probe: f64,
    /// Plays that could have gone there, each fading over MEMORY, and when the last was counted.
    pub(super) asks: (f64, f64),
    pub(super) plays: Vec<usize>,
    /// Plays that wait for their turn there, by when they came.
    pub(super) queue: Vec<(f64, usize)>,
}

impl Server {
    pub(super) fn doubted(&self) -> bool {
        self.hearsay || self.outcomes.iter().filter(|ok| !**ok).count() >= FAILURES
    }

    pub(super) fn heard(&mut self, ok: bool) {
        self.outcomes.push_front(ok);
        self.outcomes.truncate(OUTCOMES);
        self.hearsay &= !ok;
    }
}

/// How many of the fronts meet at a pipe: those that would have a play there if plays of all filled it at the
/// ladder's middle rate. At two or three fronts that is all of them, at hundreds a few.
pub(super) fn meeting(fronts: f64, ladder: &[f64], size: f64) -> f64 {
    let others = fronts - 1.0;
    let plays = size / ladder[ladder.len() / 2].max(1.0);
    1.0 + others * (1.0 - (1.0 - 1.0 / fronts).powf(plays))
}

impl Policy {
    /// The one room figure: what the link and its rack's uplink both still carry, less the margin. Where this
    /// front sets up play on play, all are reckoned to: guards against floods that no figure shows yet.
    pub(super) fn room(&self, plays: &[Play], s: usize) -> f64 {
        let middle = self.ladder[self.ladder.len() / 2];
        let free = |pipe: &Pipe, asked: f64| {
            let flood = (self.recent.0 - middle).max(0.0) * (self.fronts - 1.0) * pipe.size / self.fleet;
            pipe.size - asked - flood - SPREAD * (pipe.size * middle).sqrt()
        };
        let server = &self.servers[s];
        let guess = || (self.mean * server.link.size).max(self.own(plays, s) * server.link.fronts);
        let link = server.link.now_asked().unwrap_or_else(guess);
        let rack = &self.racks[server.rack];
        free(&server.link, link).min(free(rack, rack.now_asked().unwrap_or(0.5 * rack.size)))
    }

    pub(super) fn rate(&self, play: &Play, rung: usize) -> f64 {
        self.ladder[rung] * self.products[play.product].scale
    }

    /// What this play at this rung adds to a server: of a live title that already streams there, only `join`.
    pub(super) fn adds(&self, plays: &[Play], s: usize, play: &Play, ply: usize, rung: usize) -> f64 {
        let same = |o: &usize| *o != ply && stream(&plays[*o]) == (play.title, play.product, rung);
        let shared = self.products[play.product].live && self.servers[s].plays.iter().any(same);
        self.rate(play, rung) * if shared { self.shared } else { 1.0 }
    }

    /// What its next rung adds to that.
    pub(super) fn next_rung(&self, plays: &[Play], s: usize, ply: usize, rung: usize) -> f64 {
        self.adds(plays, s, &plays[ply], ply, rung + 1) - self.adds(plays, s, &plays[ply], ply, rung)
    }

    pub(super) fn own(&self, plays: &[Play], s: usize) -> f64 {
        let at = &self.servers[s].plays;
        let part = |(i, ply): (usize, &usize)| {
            let p = &plays[*ply];
            let before = || at[..i].iter().any(|o| stream(&plays[*o]) == stream(p));
            let shared = self.products[p.product].live && before();
            self.rate(p, p.rung) * if shared { self.shared } else { 1.0 }
        };
        at.iter().enumerate().map(part).sum()
    }

    pub(super) fn load(&mut self, now: f64, s: usize, kb: f64) {
        let settled = now - self.rule("extra.seen_after", 1000.0);
        self.servers[s].link.change(now, kb, settled);
        let rack = self.servers[s].rack;
        self.racks[rack].change(now, kb, settled);
    }

    /// The shorter of a server's link and its rack's uplink by this measure, and whether that is the uplink.
    pub(super) fn shorter(&self, s: usize, by: fn(&Pipe) -> f64) -> (bool, &Pipe) {
        let (link, rack) = (&self.servers[s].link, &self.racks[self.servers[s].rack]);
        if by(rack) > by(link) { (true, rack) } else { (false, link) }
    }

    pub(super) fn scope(&self, s: usize, uplink: bool) -> Vec<usize> {
        if !uplink {
            return vec![s];
        }
        let rack = self.servers[s].rack;
        (rack..self.cells.len()).step_by(self.racks.len()).flat_map(|c| &self.cells[c]).copied().collect()
    }
}
