//! What stands between fronts: a relay on loopback for each ordered pair, which passes their datagrams on as they came,
//! late, doubled or not at all. One seed draws what happens to each.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The way from one front to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    pub open: bool,
    pub lost: f64,
    pub doubled: f64,
    /// Each datagram is late by up to so much, one in ten by up to ten times as much; so they overtake each other.
    pub late_ms: f64,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions { open: true, lost: 0.0, doubled: 0.0, late_ms: 0.0 }
    }
}

struct RelayState {
    conditions: Vec<Vec<LinkConditions>>,
    front_addresses: Vec<Option<SocketAddr>>,
    rng: StdRng,
    passed: Vec<Vec<u64>>,
}

#[derive(Clone)]
pub struct Relays {
    /// Where the front of the first index sends what is for the second.
    relay_addresses: Arc<Vec<Vec<SocketAddr>>>,
    state: Arc<Mutex<RelayState>>,
}

impl Relays {
    /// Relays between so many fronts; they end with the runtime.
    pub fn open(count: usize, seed: u64) -> io::Result<Relays> {
        let state = Arc::new(Mutex::new(RelayState {
            conditions: vec![vec![LinkConditions::default(); count]; count],
            front_addresses: vec![None; count],
            rng: StdRng::seed_from_u64(seed ^ 0xbe72),
            passed: vec![vec![0; count]; count],
        }));
        let mut relay_addresses = vec![Vec::new(); count];
        for (from, row) in relay_addresses.iter_mut().enumerate() {
            for to in 0..count {
                let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                row.push(socket.local_addr()?);
                tokio::spawn(relay_datagrams(UdpSocket::from_std(socket)?, from, to, state.clone()));
            }
        }
        Ok(Relays { relay_addresses: Arc::new(relay_addresses), state })
    }

    fn lock_state(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().expect("nobody dies while holding the weather")
    }

    pub fn way(&self, from: usize, to: usize) -> SocketAddr {
        self.relay_addresses[from][to]
    }

    /// Where a front listens, from now on.
    pub fn listens(&self, front: usize, address: SocketAddr) {
        self.lock_state().front_addresses[front] = Some(address);
    }

    /// Changes the ways of all ordered pairs.
    pub fn change(&self, change: impl Fn(usize, usize, &mut LinkConditions)) {
        let mut state = self.lock_state();
        for (from, row) in state.conditions.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, conditions)| change(from, to, conditions));
        }
    }

    /// No datagram passes between those on one side and the others, either way.
    pub fn split(&self, side: impl Fn(usize) -> bool) {
        self.change(|from, to, conditions| conditions.open = side(from) == side(to));
    }

    pub fn heal(&self) {
        self.change(|_, _, conditions| *conditions = LinkConditions::default());
    }

    /// Datagrams that passed from one front to another.
    pub fn passed(&self, from: usize, to: usize) -> u64 {
        self.lock_state().passed[from][to]
    }
}

async fn relay_datagrams(socket: UdpSocket, from: usize, to: usize, state: Arc<Mutex<RelayState>>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 4096];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let mut copies = Vec::new();
        {
            let mut state = state.lock().expect("nobody dies while holding the weather");
            let conditions = state.conditions[from][to];
            let Some(target) = state.front_addresses[to] else { continue };
            let copy_count = 1 + usize::from(state.rng.random::<f64>() < conditions.doubled);
            for _ in 0..copy_count {
                if !conditions.open || state.rng.random::<f64>() < conditions.lost {
                    continue;
                }
                let delay_factor = if state.rng.random::<f64>() < 0.1 { 10.0 } else { 1.0 };
                copies.push((conditions.late_ms * state.rng.random::<f64>() * delay_factor, target));
                state.passed[from][to] += 1;
            }
        }
        for (delay_ms, target) in copies {
            let (socket, bytes) = (socket.clone(), buffer[..length].to_vec());
            if delay_ms < 0.05 {
                let _ = socket.send_to(&bytes, target).await;
                continue;
            }
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }
}
