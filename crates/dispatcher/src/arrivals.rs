//! How plays come to a dispatcher: as requests of viewers, under new ids or used ones, and as plays that run already.

use crate::{Actions, Dispatcher, EarlierAllocations, PlayRequest};
use pulleystair::Play;

impl Dispatcher {
    /// Takes a viewer's request for a play with a new id, and places the play.
    pub fn add_play(&mut self, now: f64, play_id: u64, request: &PlayRequest, actions: &mut impl Actions) {
        let play_index = self.insert_play(play_id, request);
        self.policy.add_play(now, &mut self.plays[play_index]);
        self.place_play(now, play_index, actions);
    }

    /// Takes a viewer's request for a play whose id was used before: further allocations are made only where the rules allow
    /// them after the earlier ones.
    pub fn add_returning_play(
        &mut self,
        now: f64,
        play_id: u64,
        request: &PlayRequest,
        earlier: &EarlierAllocations,
        actions: &mut impl Actions,
    ) {
        let server_index = self.servers.get_or_assign(earlier.server_id);
        let play_index = self.insert_play(play_id, request);
        let play = &mut self.plays[play_index];
        (play.allocations, play.may_have_run) = (earlier.count, Some((server_index, earlier.sent_at)));
        self.policy.add_play(now, play);
        self.place_play(now, play_index, actions);
    }

    /// Takes a play that ran on this server before this front started.
    pub fn adopt(
        &mut self,
        now: f64,
        play_id: u64,
        request: &PlayRequest,
        server_id: u32,
        actions: &mut impl Actions,
    ) {
        let server_index = self.servers.get_or_assign(server_id);
        let play_index = self.insert_play(play_id, request);
        self.plays[play_index].server = Some(server_index);
        self.policy.adopt(now, &mut self.plays, play_index);
        self.update_timer(now, play_index, actions);
    }

    /// Stores a new play and returns its index.
    fn insert_play(&mut self, play_id: u64, request: &PlayRequest) -> usize {
        let PlayRequest { product, first_cell, holder_cells, max_rung, arrived_at, deadline, .. } = *request;
        let title = self.titles.add_play(request.title);
        let play = Play {
            product,
            title,
            first_cell,
            holder_cells,
            max_rung,
            arrived_at,
            deadline,
            ..Play::default()
        };
        let play_index = self.free_indices.pop().unwrap_or(self.plays.len());
        if play_index == self.plays.len() {
            self.plays.push(play);
            self.slots.push((play_id, None));
        } else {
            self.plays[play_index] = play;
            self.slots[play_index] = (play_id, None);
        }
        self.by_id.insert(play_id, play_index);
        play_index
    }
}
