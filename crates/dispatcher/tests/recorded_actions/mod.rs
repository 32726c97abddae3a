//! An implementation of [`Actions`] that records what the dispatcher requests, except `watch_list` and `record_candidates`.

use pulleystair_dispatcher::Actions;
use std::collections::VecDeque;

/// One requested action.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { play: u64, server: u32, rung: usize, time_out: f64 },
    Withdraw(u64),
    SetRung(u64, usize),
    Probe(u32),
    Decline(u64, f64),
    Fail(u64),
    SetTimer(u32, f64),
}

/// The requested actions, oldest first.
#[derive(Default)]
pub struct RecordedActions(pub VecDeque<Action>);

impl Actions for RecordedActions {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.0.push_back(Action::Send { play, server, rung, time_out });
    }
    fn withdraw(&mut self, play: u64) {
        self.0.push_back(Action::Withdraw(play));
    }
    fn set_rung(&mut self, play: u64, rung: usize) {
        self.0.push_back(Action::SetRung(play, rung));
    }
    fn probe(&mut self, server: u32) {
        self.0.push_back(Action::Probe(server));
    }
    fn decline(&mut self, play: u64, retry_after: f64) {
        self.0.push_back(Action::Decline(play, retry_after));
    }
    fn fail(&mut self, play: u64) {
        self.0.push_back(Action::Fail(play));
    }
    fn set_timer(&mut self, timer: u32, delay: f64) {
        self.0.push_back(Action::SetTimer(timer, delay));
    }
    fn watch_list(&mut self) {}
}
