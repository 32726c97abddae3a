//! Simulates the gossip of many fronts over a network with faults, in simulated time and from one seed.
#![allow(dead_code)] // Each test file uses only a part of this module.

use oorandom::Rand64;
use pulleystair_gossip::message::FrontId;
use pulleystair_gossip::{Datagram, Gossip, GossipConfig, front_id};
use std::collections::BTreeMap;

/// Faults of the network: the probabilities that a datagram is lost and that it is duplicated.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub lost: f64,
    pub duplicated: f64,
    /// Each datagram is delayed by up to this, ms; one in ten by up to ten times as much.
    pub max_delay_ms: f64,
}

/// The fronts, and the datagrams in flight between them.
pub struct Network {
    pub now: f64,
    pub fronts: Vec<Gossip>,
    pub up: Vec<bool>,
    pub faults: Faults,
    /// Whether datagrams pass from one front to another.
    pub link_open: fn(usize, usize) -> bool,
    rng: Rand64,
    /// By arrival time (µs) and a sequence number: sender, receiver and bytes.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    next_sequence: u64,
    /// Bytes sent by each front.
    pub bytes: Vec<u64>,
}

pub fn front_name(front: usize) -> String {
    format!("front-{front}")
}

pub fn gossip_config(front: usize, count: usize) -> GossipConfig {
    GossipConfig {
        fleet: "fleet".into(),
        name: front_name(front),
        peers: (0..count).filter(|i| *i != front).map(front_name).collect(),
        interval: 200.0,
        fan_out: 2,
        max_bytes_per_second: 64_000.0,
        doubted_after: 2_000.0,
        unheard_after: 5_000.0,
    }
}

impl Network {
    pub fn new(count: usize, seed: u64, faults: Faults) -> Network {
        let front = |i| {
            Gossip::new(gossip_config(i, count), 0.0, 1_000, seed * 1_000 + i as u64)
                .expect("the peer list is valid")
        };
        Network {
            now: 0.0,
            fronts: (0..count).map(front).collect(),
            up: vec![true; count],
            faults,
            link_open: |_, _| true,
            rng: Rand64::new(seed.into()),
            in_flight: BTreeMap::new(),
            next_sequence: 0,
            bytes: vec![0; count],
        }
    }

    /// Replaces a front by a new one of this incarnation.
    pub fn restart(&mut self, front: usize, incarnation: u64) {
        let count = self.fronts.len();
        let seed = incarnation + front as u64;
        self.fronts[front] = Gossip::new(gossip_config(front, count), self.now, incarnation, seed)
            .expect("the peer list is valid");
        self.up[front] = true;
    }

    pub fn index(&self, origin: FrontId) -> usize {
        (0..self.fronts.len()).find(|i| front_id(&front_name(*i)) == origin).expect("a front of this fleet")
    }

    fn send(&mut self, from: usize, out: Vec<Datagram>) {
        for Datagram { to, bytes } in out {
            self.bytes[from] += bytes.len() as u64;
            let to = self.index(to);
            let copies = 1 + usize::from(self.rng.rand_float() < self.faults.duplicated);
            for _ in 0..copies {
                if self.rng.rand_float() < self.faults.lost || !(self.link_open)(from, to) {
                    continue;
                }
                let factor = if self.rng.rand_float() < 0.1 { 10.0 } else { 1.0 };
                let arrives_at = self.now + 0.2 + self.faults.max_delay_ms * self.rng.rand_float() * factor;
                self.next_sequence += 1;
                self.in_flight
                    .insert(((arrives_at * 1_000.0) as u64, self.next_sequence), (from, to, bytes.clone()));
            }
        }
    }

    /// Runs for this many ms and calls `on_event` after every event.
    pub fn run(&mut self, ms: f64, mut on_event: impl FnMut(&Network)) {
        let end = self.now + ms;
        loop {
            let up = |i: &usize| self.up[*i];
            let round = (0..self.fronts.len()).filter(up).map(|i| (self.fronts[i].next_deadline(), i));
            let round = round.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((f64::INFINITY, 0));
            let next_key = self.in_flight.keys().next().copied();
            let next_arrival_at = next_key.map_or(f64::INFINITY, |key| key.0 as f64 / 1_000.0);
            if round.0.min(next_arrival_at) > end {
                self.now = end;
                return;
            }
            if round.0 < next_arrival_at {
                self.now = self.now.max(round.0);
                let out = self.fronts[round.1].run_round(self.now);
                self.send(round.1, out);
            } else if let Some((_, to, bytes)) = next_key.and_then(|key| self.in_flight.remove(&key)) {
                self.now = self.now.max(next_arrival_at);
                if self.up[to] {
                    let out = self.fronts[to].receive(self.now, &bytes);
                    self.send(to, out);
                }
            }
            on_event(self);
        }
    }
}
