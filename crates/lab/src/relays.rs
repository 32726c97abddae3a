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

struct Weather {
    ways: Vec<Vec<LinkConditions>>,
    targets: Vec<Option<SocketAddr>>,
    rnd: StdRng,
    passed: Vec<Vec<u64>>,
}

#[derive(Clone)]
pub struct Relays {
    /// Where the front of the first index sends what is for the second.
    at: Arc<Vec<Vec<SocketAddr>>>,
    weather: Arc<Mutex<Weather>>,
}

impl Relays {
    /// Relays between so many fronts; they end with the runtime.
    pub fn open(count: usize, seed: u64) -> io::Result<Relays> {
        let weather = Arc::new(Mutex::new(Weather {
            ways: vec![vec![LinkConditions::default(); count]; count],
            targets: vec![None; count],
            rnd: StdRng::seed_from_u64(seed ^ 0xbe72),
            passed: vec![vec![0; count]; count],
        }));
        let mut at = vec![Vec::new(); count];
        for (from, row) in at.iter_mut().enumerate() {
            for to in 0..count {
                let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                row.push(socket.local_addr()?);
                tokio::spawn(relay(UdpSocket::from_std(socket)?, from, to, weather.clone()));
            }
        }
        Ok(Relays { at: Arc::new(at), weather })
    }

    fn weather(&self) -> MutexGuard<'_, Weather> {
        self.weather.lock().expect("nobody dies while holding the weather")
    }

    pub fn way(&self, from: usize, to: usize) -> SocketAddr {
        self.at[from][to]
    }

    /// Where a front listens, from now on.
    pub fn listens(&self, front: usize, at: SocketAddr) {
        self.weather().targets[front] = Some(at);
    }

    /// Changes the ways of all ordered pairs.
    pub fn change(&self, change: impl Fn(usize, usize, &mut LinkConditions)) {
        let mut weather = self.weather();
        for (from, row) in weather.ways.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(to, way)| change(from, to, way));
        }
    }

    /// No datagram passes between those on one side and the others, either way.
    pub fn split(&self, side: impl Fn(usize) -> bool) {
        self.change(|from, to, way| way.open = side(from) == side(to));
    }

    pub fn heal(&self) {
        self.change(|_, _, way| *way = LinkConditions::default());
    }

    /// Datagrams that passed from one front to another.
    pub fn passed(&self, from: usize, to: usize) -> u64 {
        self.weather().passed[from][to]
    }
}

async fn relay(socket: UdpSocket, from: usize, to: usize, weather: Arc<Mutex<Weather>>) {
    let socket = Arc::new(socket);
    let mut room = [0; 4096];
    loop {
        let Ok((n, _)) = socket.recv_from(&mut room).await else { continue };
        let mut copies = Vec::new();
        {
            let mut weather = weather.lock().expect("nobody dies while holding the weather");
            let way = weather.ways[from][to];
            let Some(target) = weather.targets[to] else { continue };
            let count = 1 + usize::from(weather.rnd.random::<f64>() < way.doubled);
            for _ in 0..count {
                if !way.open || weather.rnd.random::<f64>() < way.lost {
                    continue;
                }
                let tail = if weather.rnd.random::<f64>() < 0.1 { 10.0 } else { 1.0 };
                copies.push((way.late_ms * weather.rnd.random::<f64>() * tail, target));
                weather.passed[from][to] += 1;
            }
        }
        for (late, target) in copies {
            let (socket, bytes) = (socket.clone(), room[..n].to_vec());
            if late < 0.05 {
                let _ = socket.send_to(&bytes, target).await;
                continue;
            }
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(late / 1000.0)).await;
                let _ = socket.send_to(&bytes, target).await;
            });
        }
    }
}
