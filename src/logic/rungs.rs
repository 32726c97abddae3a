//! The rung that a play gets at set-up, and its steps down and up while it runs. Rates are in kB, times in ms.

use super::{Policy, QUIET_JITTER_MS, QUIET_MS, room::Link, room::stream_key};
use crate::{Placement, Play, RungChanges};

/// A new play's step up must gain this many times the worth per kB that a step down of other plays loses. A play's worth is
/// its product's importance times the value of its rung.
const MIN_GAIN_RATIO: f64 = 1.5;
/// Of the fronts with plays on a server, the number assumed to set up plays there before the next measurement, at most.
const MAX_CONCURRENT_FRONTS: f64 = 4.0;

impl Policy {
    /// Sets the rung on which an adopted play runs, at most the ladder's highest.
    pub fn set_adopted_rung(&mut self, plays: &mut [Play], play_index: usize, rung: usize) {
        plays[play_index].rung = rung.min(self.ladder_kb.len().saturating_sub(1));
    }

    /// The step down that loses the least worth for what it frees: the loss per kB, which includes the cost of a change, the
    /// kB freed, and the plays (one play, or all plays of this front that share a live stream).
    pub(super) fn cheapest_step_down(
        &self,
        plays: &[Play],
        servers: &[usize],
    ) -> Option<(f64, f64, Vec<usize>)> {
        let mut best: Option<(f64, f64, Vec<usize>)> = None;
        for server_index in servers {
            for (i, play_index) in self.servers[*server_index].plays.iter().enumerate() {
                let play = &plays[*play_index];
                let product = &self.products[play.product];
                if play.finished || play.rung <= product.min_rung {
                    continue;
                }
                let shares_stream = |o: &&usize| {
                    *o == play_index || product.is_live && stream_key(&plays[**o]) == stream_key(play)
                };
                if self.servers[*server_index].plays[..i].iter().any(|o| shares_stream(&o)) {
                    continue;
                }
                let group: Vec<usize> =
                    self.servers[*server_index].plays.iter().filter(shares_stream).copied().collect();
                let rate_factor = 1.0 + (group.len() - 1) as f64 * self.join_share;
                let freed_kb =
                    (self.rate_kb(play, play.rung) - self.rate_kb(play, play.rung - 1)) * rate_factor;
                let change_cost = self.number_setting("extra.change_costs_s", 0.0)
                    / ((QUIET_MS + QUIET_JITTER_MS) / 1000.0);
                let value_loss = self.rung_values[play.rung] - self.rung_values[play.rung - 1] + change_cost;
                let loss_per_kb = group.len() as f64 * product.importance * value_loss / freed_kb.max(1e-9);
                if best.as_ref().is_none_or(|b| loss_per_kb < b.0) {
                    best = Some((loss_per_kb, freed_kb, group));
                }
            }
        }
        best
    }

    /// Steps these plays, which share a server, down by one rung and adds them to `rung_changes`.
    pub(super) fn step_down(
        &mut self,
        now: f64,
        plays: &mut [Play],
        group: &[usize],
        freed_kb: f64,
        rung_changes: &mut RungChanges,
    ) {
        for play_index in group {
            let play = &mut plays[*play_index];
            play.rung -= 1;
            play.recheck_at = now + self.draw_quiet_period();
            rung_changes.retain(|change| change.0 != *play_index);
            rung_changes.push((*play_index, play.rung));
        }
        if let Some(server_index) = plays[group[0]].server {
            self.change_load(now, server_index, -freed_kb);
        }
    }

    /// The rung at set-up, and the plays stepped down for it. Where the new play would start low while plays of this front
    /// run on rungs of less worth per kB, those step down. A rung's value grows more slowly than its rate, so room is worth
    /// most on low rungs; without this, the plays that came first would keep all of it.
    pub(super) fn choose_rung(
        &mut self,
        now: f64,
        plays: &mut [Play],
        play_index: usize,
        server_index: usize,
    ) -> (usize, RungChanges) {
        let product = &self.products[plays[play_index].product];
        let (min_rung, importance) = (product.min_rung, product.importance);
        let max_rung = self.max_rung(&plays[play_index]).max(min_rung);
        // Other fronts see the same room, so the more fronts there are, the more room a set-up leaves. Guards against all
        // fronts filling it at once; with one front the whole room counts.
        let mut room_kb = self.room_kb(plays, server_index);
        let link = &self.servers[server_index].link;
        let front_count = if link.is_measured_lately(now) {
            link.front_count.min(MAX_CONCURRENT_FRONTS)
        } else {
            link.front_count
        };
        room_kb *= if room_kb > 0.0 { 2.0 / (1.0 + front_count) } else { 1.0 };
        let mut rung = min_rung;
        room_kb -= self.added_load_kb(plays, server_index, &plays[play_index], play_index, rung);
        let servers = self.servers_on_link(server_index, self.fuller_link(server_index, Link::utilization).0);
        let mut rung_changes = Vec::new();
        while rung < max_rung {
            let added_kb = self.next_rung_kb(plays, server_index, play_index, rung);
            if added_kb <= room_kb {
                rung += 1;
                room_kb -= added_kb;
                continue;
            }
            // Both `gain` and `loss` are worth per kB.
            let gain =
                importance * (self.rung_values[rung + 1] - self.rung_values[rung]) / added_kb.max(1e-9);
            let Some((loss, freed_kb, group)) = self.cheapest_step_down(plays, &servers) else { break };
            if loss * MIN_GAIN_RATIO > gain {
                break;
            }
            room_kb += freed_kb;
            self.step_down(now, plays, &group, freed_kb, &mut rung_changes);
        }
        (rung, rung_changes)
    }

    /// The highest rung that the viewer, the product and the ladder allow.
    pub(super) fn max_rung(&self, play: &Play) -> usize {
        play.max_rung.min(self.products[play.product].max_rung).min(self.ladder_kb.len() - 1)
    }

    /// Steps a running play up after its quiet period, as far as this front's share of the room allows.
    pub(super) fn step_up(
        &mut self,
        now: f64,
        plays: &mut [Play],
        play_index: usize,
    ) -> (Placement, RungChanges) {
        let rung = plays[play_index].rung;
        let Some(server_index) =
            plays[play_index].server.filter(|_| now >= plays[play_index].recheck_at - 0.01)
        else {
            return (Placement::Keep { rung }, Vec::new());
        };
        plays[play_index].recheck_at = now + self.draw_quiet_period();
        if server_index < self.servers.len() {
            // A change costs the viewer the same whatever its size, so the play goes up as far as the room allows.
            let mut room_share_kb =
                self.room_kb(plays, server_index) / self.servers[server_index].link.front_count;
            while plays[play_index].rung < self.max_rung(&plays[play_index]) {
                let added_kb = self.next_rung_kb(plays, server_index, play_index, plays[play_index].rung);
                if added_kb > room_share_kb {
                    break;
                }
                room_share_kb -= added_kb;
                plays[play_index].rung += 1;
                self.change_load(now, server_index, added_kb);
            }
        }
        (Placement::Keep { rung: plays[play_index].rung }, Vec::new())
    }
}
