//! Hands that write down what they are asked to do.

use pulleystair_dispatcher::Actions;
use std::collections::VecDeque;

/// What the hands were asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    Send { play: u64, server: u32, rung: usize, time_out: f64 },
    Withdraw(u64),
    Step(u64, usize),
    Probe(u32),
    Declined(u64, f64),
    Failed(u64),
    Wake(u32, f64),
}

#[derive(Default)]
pub struct Notebook(pub VecDeque<Deed>);

impl Actions for Notebook {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.0.push_back(Deed::Send { play, server, rung, time_out });
    }
    fn withdraw(&mut self, play: u64) {
        self.0.push_back(Deed::Withdraw(play));
    }
    fn set_rung(&mut self, play: u64, rung: usize) {
        self.0.push_back(Deed::Step(play, rung));
    }
    fn probe(&mut self, server: u32) {
        self.0.push_back(Deed::Probe(server));
    }
    fn decline(&mut self, play: u64, pause: f64) {
        self.0.push_back(Deed::Declined(play, pause));
    }
    fn fail(&mut self, play: u64) {
        self.0.push_back(Deed::Failed(play));
    }
    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.0.push_back(Deed::Wake(mark, wait));
    }
    fn watch_list(&mut self) {}
}
