//! The rung that a play gets, and the steps down and up while it plays.

use super::{JITTER, Policy, QUIET, room::Pipe, room::stream};
use crate::{Placement, Play, RungChanges};

/// A step down of others must cost this much less importance than it buys.
const BARGAIN: f64 = 1.5;
/// So many of the fronts that meet at a server may set up plays there within the life of a figure.
const COMING: f64 = 4.0;

impl Policy {
    pub fn set_adopted_rung(&mut self, plays: &mut [Play], ply: usize, rung: usize) {
        plays[ply].rung = rung.min(self.ladder.len().saturating_sub(1));
    }

    /// The step down that loses least importance for what it frees: that loss per kB, the kB, and the plays
    /// (one, or all of this front that share a live stream).
    pub(super) fn cheapest(&self, plays: &[Play], scope: &[usize]) -> Option<(f64, f64, Vec<usize>)> {
        let mut best: Option<(f64, f64, Vec<usize>)> = None;
        for s in scope {
            for (i, ply) in self.servers[*s].plays.iter().enumerate() {
                let p = &plays[*ply];
                let product = &self.products[p.product];
                if p.finished || p.rung <= product.floor {
                    continue;
                }
                let with = |o: &&usize| *o == ply || product.live && stream(&plays[**o]) == stream(p);
                if self.servers[*s].plays[..i].iter().any(|o| with(&o)) {
                    continue;
                }
                let unit: Vec<usize> = self.servers[*s].plays.iter().filter(with).copied().collect();
                let streams = 1.0 + (unit.len() - 1) as f64 * self.shared;
                let freed = (self.rate(p, p.rung) - self.rate(p, p.rung - 1)) * streams;
                let change = self.rule("extra.change_costs_s", 0.0) / ((QUIET + JITTER) / 1000.0);
                let step = self.earns[p.rung] - self.earns[p.rung - 1] + change;
                let per_kb = unit.len() as f64 * product.importance * step / freed.max(1e-9);
                if best.as_ref().is_none_or(|b| per_kb < b.0) {
                    best = Some((per_kb, freed, unit));
                }
            }
        }
        best
    }

    pub(super) fn step_down(
        &mut self,
        now: f64,
        plays: &mut [Play],
        unit: &[usize],
        freed: f64,
        steps: &mut RungChanges,
    ) {
        for ply in unit {
            let p = &mut plays[*ply];
            p.rung -= 1;
            p.recheck_at = now + self.spell();
            steps.retain(|s| s.0 != *ply);
            steps.push((*ply, p.rung));
        }
        if let Some(s) = plays[unit[0]].server {
            self.load(now, s, -freed);
        }
    }

    /// The rung at set-up. Where it would start low while own plays there hold rungs that earn less for their
    /// rate, those step down for it: importance grows less than the rate, so first come must not take all.
    pub(super) fn rung_for(
        &mut self,
        now: f64,
        plays: &mut [Play],
        ply: usize,
        s: usize,
    ) -> (usize, RungChanges) {
        let product = &self.products[plays[ply].product];
        let (floor, importance) = (product.floor, product.importance);
        let top = self.top(&plays[ply]).max(floor);
        // Other fronts read the same room: with more of them a set-up leaves more of it. Guards against all
        // filling it at once; with one front the whole room counts.
        let mut room = self.room(plays, s);
        let link = &self.servers[s].link;
        let fronts = if link.known(now) { link.fronts.min(COMING) } else { link.fronts };
        room *= if room > 0.0 { 2.0 / (1.0 + fronts) } else { 1.0 };
        let mut rung = floor;
        room -= self.adds(plays, s, &plays[ply], ply, rung);
        let scope = self.scope(s, self.shorter(s, Pipe::share).0);
        let mut steps = Vec::new();
        while rung < top {
            let more = self.next_rung(plays, s, ply, rung);
            if more <= room {
                rung += 1;
                room -= more;
                continue;
            }
            let gain = importance * (self.earns[rung + 1] - self.earns[rung]) / more.max(1e-9);
            let Some((lost, freed, unit)) = self.cheapest(plays, &scope) else { break };
            if lost * BARGAIN > gain {
                break;
            }
            room += freed;
            self.step_down(now, plays, &unit, freed, &mut steps);
        }
        (rung, steps)
    }

    pub(super) fn top(&self, play: &Play) -> usize {
        play.max_rung.min(self.products[play.product].top).min(self.ladder.len() - 1)
    }

    /// Up after the quiet spell, as far as this front's part of the room carries.
    pub(super) fn step_up(&mut self, now: f64, plays: &mut [Play], ply: usize) -> (Placement, RungChanges) {
        let rung = plays[ply].rung;
        let Some(s) = plays[ply].server.filter(|_| now >= plays[ply].recheck_at - 0.01) else {
            return (Placement::Keep { rung }, Vec::new());
        };
        plays[ply].recheck_at = now + self.spell();
        if s < self.servers.len() {
            // A change costs the same however far it goes, so it goes as far as the room does.
            let mut part = self.room(plays, s) / self.servers[s].link.fronts;
            while plays[ply].rung < self.top(&plays[ply]) {
                let more = self.next_rung(plays, s, ply, plays[ply].rung);
                if more > part {
                    break;
                }
                part -= more;
                plays[ply].rung += 1;
                self.load(now, s, more);
            }
        }
        (Placement::Keep { rung: plays[ply].rung }, Vec::new())
    }
}
