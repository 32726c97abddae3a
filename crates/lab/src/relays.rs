//! UDP relays between fronts: one relay on loopback for each ordered pair, which forwards datagrams unchanged, delays
//! or duplicates them, or drops them. One seed determines what happens to each datagram.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// The conditions of the link from one front to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// Whether datagrams pass at all; a link that is not open drops all of them.
    pub open: bool,
    /// Part of the copies that are dropped, from 0 to 1.
    pub loss_rate: f64,
    /// Part of the datagrams that are duplicated, from 0 to 1.
    pub duplicate_rate: f64,
    /// Datagrams are delayed by a random time up to this, ms; one in ten by up to ten times that, so that datagrams
    /// are reordered.
    pub max_usual_delay_ms: f64,
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions { open: true, loss_rate: 0.0, duplicate_rate: 0.0, max_usual_delay_ms: 0.0 }
    }
}

/// State that all relays share; the tables are indexed by the sending and the receiving front.
struct RelayState {
    conditions: Vec<Vec<LinkConditions>>,
    front_addresses: Vec<Option<SocketAddr>>,
    rng: StdRng,
    /// Numbers of datagrams that were forwarded, with duplicates.
    forwarded_counts: Vec<Vec<u64>>,
}

/// Handle of the relays between the fronts of a scenario.
#[derive(Clone)]
pub struct Relays {
    /// The addresses to which the front of the first index sends datagrams for the second.
    relay_addresses: Arc<Vec<Vec<SocketAddr>>>,
    state: Arc<Mutex<RelayState>>,
}

impl Relays {
    /// Opens relays between `count` fronts; they run until the runtime ends.
    pub fn open(count: usize, seed: u64) -> io::Result<Relays> {
        let state = Arc::new(Mutex::new(RelayState {
            conditions: vec![vec![LinkConditions::default(); count]; count],
            front_addresses: vec![None; count],
            rng: StdRng::seed_from_u64(seed ^ 0xbe72),
            forwarded_counts: vec![vec![0; count]; count],
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
        self.state.lock().expect("no task panics while it holds the relay state")
    }

    /// The address of the relay to which one front sends its datagrams for another.
    pub fn relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.relay_addresses[from][to]
    }

    /// Sets the address on which a front receives datagrams. Until it is set, datagrams for the front are dropped.
    pub fn set_front_address(&self, front: usize, address: SocketAddr) {
        self.lock_state().front_addresses[front] = Some(address);
    }

    /// Changes the conditions of the links of all ordered pairs.
    pub fn change_conditions(&self, change: impl Fn(usize, usize, &mut LinkConditions)) {
        let mut state = self.lock_state();
        for (from, row) in state.conditions.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, conditions)| change(from, to, conditions));
        }
    }

    /// Closes all links between the fronts of one side and the others, in both directions.
    pub fn split(&self, side: impl Fn(usize) -> bool) {
        self.change_conditions(|from, to, conditions| conditions.open = side(from) == side(to));
    }

    /// Restores perfect conditions on all links.
    pub fn restore(&self) {
        self.change_conditions(|_, _, conditions| *conditions = LinkConditions::default());
    }

    /// Number of datagrams that were forwarded from one front to another, with duplicates.
    pub fn forwarded_count(&self, from: usize, to: usize) -> u64 {
        self.lock_state().forwarded_counts[from][to]
    }
}

/// Forwards the datagrams of one ordered pair.
async fn relay_datagrams(socket: UdpSocket, from: usize, to: usize, state: Arc<Mutex<RelayState>>) {
    let socket = Arc::new(socket);
    let mut buffer = [0; 4096];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let mut copies = Vec::new();
        {
            let mut state = state.lock().expect("no task panics while it holds the relay state");
            let conditions = state.conditions[from][to];
            let Some(target) = state.front_addresses[to] else { continue };
            let copy_count = 1 + usize::from(state.rng.random::<f64>() < conditions.duplicate_rate);
            for _ in 0..copy_count {
                if !conditions.open || state.rng.random::<f64>() < conditions.loss_rate {
                    continue;
                }
                let delay_factor = if state.rng.random::<f64>() < 0.1 { 10.0 } else { 1.0 };
                copies
                    .push((conditions.max_usual_delay_ms * state.rng.random::<f64>() * delay_factor, target));
                state.forwarded_counts[from][to] += 1;
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
