//! The name service: the list of media servers as SRV, A and TXT records by UDP.

use crate::{now_ms, Record};
use std::collections::VecDeque;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const READY: u16 = 0;
pub const DRAINING: u16 = 1;

/// A media server on the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub weight: f64,
    pub started_ms: u64,
    pub priority: u16,
}

struct Zone {
    serial: u32,
    servers: Vec<Listed>,
    delay_ms: f64,
    /// When an answer with each serial was first sent, and to whom.
    told: Vec<(u32, SocketAddr, f64)>,
    /// How many queries came and how many answers were sent.
    counts: (usize, usize),
}

#[derive(Clone)]
pub struct NameService {
    pub address: SocketAddr,
    zone: Arc<Mutex<Zone>>,
}

fn name(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in text.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

fn resource(owner: &str, kind: u16, data: &[u8]) -> Vec<u8> {
    let mut out = name(owner);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

fn answer(query: &[u8], zone: &Zone) -> Vec<u8> {
    let (mut services, mut more) = (Vec::new(), Vec::new());
    for server in &zone.servers {
        let target = format!("{}.{}.hosts", server.id, server.zone);
        let mut data = server.priority.to_be_bytes().to_vec();
        data.extend(((server.weight * 10.0).round() as u16).to_be_bytes());
        data.extend(server.address.port().to_be_bytes());
        data.extend(name(&target));
        services.extend(resource("_app._tcp.cluster.lan", 33, &data));
        let SocketAddr::V4(v4) = server.address else { panic!("IPv4 only") };
        more.extend(resource(&target, 1, &v4.ip().octets()));
        let mut texts = Vec::new();
        let started = format!("started={}", server.started_ms);
        for text in [format!("kind={}", server.kind), format!("cell={}", server.cell), started] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        more.extend(resource(&target, 16, &texts));
    }
    let mut soa = name("ns.cluster.lan");
    soa.extend(name("admin.cluster.lan"));
    soa.extend(zone.serial.to_be_bytes());
    soa.extend([0; 16]);
    let count = zone.servers.len() as u16;
    let mut out = query[..2].to_vec();
    out.extend([0x84, 0, 0, 1]);
    out.extend(count.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * count).to_be_bytes());
    out.extend(&query[12..]);
    out.extend(services);
    out.extend(resource("cluster.lan", 6, &soa));
    out.extend(more);
    out
}

impl NameService {
    pub fn start(record: &Record, servers: Vec<Listed>) -> NameService {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free UDP port");
        let address = socket.local_addr().expect("its address");
        socket.set_read_timeout(Some(Duration::from_millis(2))).expect("a read timeout");
        let zone = Zone { serial: 1, servers, delay_ms: 0.0, told: Vec::new(), counts: (0, 0) };
        let zone = Arc::new(Mutex::new(zone));
        let (served, record) = (zone.clone(), record.clone());
        std::thread::spawn(move || {
            let mut waiting: VecDeque<(f64, Vec<u8>, SocketAddr)> = VecDeque::new();
            let mut buffer = [0; 2048];
            loop {
                if let Ok((size, from)) = socket.recv_from(&mut buffer) {
                    let mut zone = served.lock().expect("the zone");
                    zone.counts.0 += 1;
                    waiting.push_back((now_ms() + zone.delay_ms, buffer[..size].to_vec(), from));
                }
                while waiting.front().is_some_and(|w| w.0 <= now_ms()) {
                    let (_, query, from) = waiting.pop_front().expect("an answer that is due");
                    let mut zone = served.lock().expect("the zone");
                    let serial = zone.serial;
                    // The answer holds what is so when it is sent.
                    let _ = socket.send_to(&answer(&query, &zone), from);
                    zone.counts.1 += 1;
                    if !zone.told.iter().any(|t| (t.0, t.1) == (serial, from)) {
                        let at = now_ms();
                        zone.told.push((serial, from, at));
                        record.line_at(at, format!("name service: list {serial} first sent to {from}"));
                    }
                }
            }
        });
        NameService { address, zone }
    }

    /// Changes the list; this is its next event. Returns its number.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<Listed>)) -> u32 {
        let mut zone = self.zone.lock().expect("the zone");
        edit(&mut zone.servers);
        zone.serial += 1;
        zone.serial
    }

    /// From now on, each answer is sent this long after its query came.
    pub fn set_delay(&self, ms: f64) {
        self.zone.lock().expect("the zone").delay_ms = ms;
    }

    /// When an answer with this list or a later one was first sent to each asker.
    pub fn told(&self, serial: u32) -> Vec<(SocketAddr, f64)> {
        let zone = self.zone.lock().expect("the zone");
        let mut first: Vec<(SocketAddr, f64)> = Vec::new();
        for (_, from, at) in zone.told.iter().filter(|t| t.0 >= serial) {
            match first.iter_mut().find(|f| f.0 == *from) {
                Some(f) => f.1 = f.1.min(*at),
                None => first.push((*from, *at)),
            }
        }
        first
    }

    /// How many queries came and how many answers were sent.
    pub fn counts(&self) -> (usize, usize) {
        self.zone.lock().expect("the zone").counts
    }
}
