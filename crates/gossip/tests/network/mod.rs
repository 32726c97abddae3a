//! Exchanges of many fronts over a network of one seed's making, in simulated time.
#![allow(dead_code)] // Each file of tests uses a part of it.

use oorandom::Rand64;
use pulleystair_gossip::message::Origin;
use pulleystair_gossip::{Datagram, Gossip, GossipConfig, origin_of};
use std::collections::BTreeMap;

/// What the network does to each datagram.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub lost: f64,
    pub doubled: f64,
    /// Each is late by up to so many ms, one in ten by up to ten times as many.
    pub late: f64,
}

pub struct Network {
    pub now: f64,
    pub fronts: Vec<Gossip>,
    pub up: Vec<bool>,
    pub faults: Faults,
    /// Whether a datagram may pass from one to another.
    pub open: fn(usize, usize) -> bool,
    rnd: Rand64,
    under_way: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    next: u64,
    pub bytes: Vec<u64>,
}

pub fn name(front: usize) -> String {
    format!("front-{front}")
}

pub fn terms(front: usize, count: usize) -> GossipConfig {
    GossipConfig {
        fleet: "fleet".into(),
        name: name(front),
        peers: (0..count).filter(|i| *i != front).map(name).collect(),
        interval: 200.0,
        fan_out: 2,
        bytes_s: 64_000.0,
        doubted_after: 2_000.0,
        unheard_after: 5_000.0,
    }
}

impl Network {
    pub fn new(count: usize, seed: u64, faults: Faults) -> Network {
        let front = |i| Gossip::new(terms(i, count), 0.0, 1_000, seed * 1_000 + i as u64).expect("fit");
        Network {
            now: 0.0,
            fronts: (0..count).map(front).collect(),
            up: vec![true; count],
            faults,
            open: |_, _| true,
            rnd: Rand64::new(seed.into()),
            under_way: BTreeMap::new(),
            next: 0,
            bytes: vec![0; count],
        }
    }

    pub fn restart(&mut self, front: usize, incarnation: u64) {
        let count = self.fronts.len();
        let seed = incarnation + front as u64;
        self.fronts[front] = Gossip::new(terms(front, count), self.now, incarnation, seed).expect("fit");
        self.up[front] = true;
    }

    pub fn index(&self, origin: Origin) -> usize {
        (0..self.fronts.len()).find(|i| origin_of(&name(*i)) == origin).expect("a front of this fleet")
    }

    fn send(&mut self, from: usize, out: Vec<Datagram>) {
        for Datagram { to, bytes } in out {
            self.bytes[from] += bytes.len() as u64;
            let to = self.index(to);
            let copies = 1 + usize::from(self.rnd.rand_float() < self.faults.doubled);
            for _ in 0..copies {
                if self.rnd.rand_float() < self.faults.lost || !(self.open)(from, to) {
                    continue;
                }
                let tail = if self.rnd.rand_float() < 0.1 { 10.0 } else { 1.0 };
                let at = self.now + 0.2 + self.faults.late * self.rnd.rand_float() * tail;
                self.next += 1;
                self.under_way.insert(((at * 1_000.0) as u64, self.next), (from, to, bytes.clone()));
            }
        }
    }

    /// Runs for so many ms; `look` is called after every event.
    pub fn run(&mut self, ms: f64, mut look: impl FnMut(&Network)) {
        let end = self.now + ms;
        loop {
            let up = |i: &usize| self.up[*i];
            let round = (0..self.fronts.len()).filter(up).map(|i| (self.fronts[i].next_deadline(), i));
            let round = round.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((f64::INFINITY, 0));
            let first = self.under_way.keys().next().copied();
            let due = first.map_or(f64::INFINITY, |key| key.0 as f64 / 1_000.0);
            if round.0.min(due) > end {
                self.now = end;
                return;
            }
            if round.0 < due {
                self.now = self.now.max(round.0);
                let out = self.fronts[round.1].run_round(self.now);
                self.send(round.1, out);
            } else if let Some((_, to, bytes)) = first.and_then(|key| self.under_way.remove(&key)) {
                self.now = self.now.max(due);
                if self.up[to] {
                    let out = self.fronts[to].receive(self.now, &bytes);
                    self.send(to, out);
                }
            }
            look(self);
        }
    }
}
