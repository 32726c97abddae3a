//! The name service.

use super::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    pub id: String,
    pub at: SocketAddr,
    pub cell: usize,
    pub draining: bool,
    pub started: u64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Good,
    Silent,
    Failing,
    Cut,
    ForeignId,
}

pub struct Zone {
    pub serial: u32,
    pub records: Vec<Record>,
    pub manner: Manner,
}

pub struct Names {
    pub at: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
    pub(super) asked: Arc<AtomicUsize>,
}

fn labels(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

fn record(name: &str, kind: u16, data: &[u8]) -> Vec<u8> {
    let mut out = labels(name);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

fn zone_answer(question: &[u8], zone: &Zone) -> Vec<u8> {
    let (mut srv, mut more) = (Vec::new(), Vec::new());
    for r in &zone.records {
        let target = format!("{}.east.hosts", r.id);
        let mut data = u16::from(r.draining).to_be_bytes().to_vec();
        data.extend(40u16.to_be_bytes());
        data.extend(r.at.port().to_be_bytes());
        data.extend(labels(&target));
        srv.extend(record("_app._tcp.cluster.lan", 33, &data));
        let SocketAddr::V4(at) = r.at else { panic!("IPv4") };
        more.extend(record(&target, 1, &at.ip().octets()));
        let mut texts = Vec::new();
        for text in ["kind=std".to_string(), format!("cell={}", r.cell), format!("started={}", r.started)] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        more.extend(record(&target, 16, &texts));
    }
    let mut soa = labels("ns.hosts");
    soa.extend(labels("admin.hosts"));
    soa.extend(zone.serial.to_be_bytes());
    soa.extend([0; 16]);
    let n = zone.records.len() as u16;
    let mut out = question[..2].to_vec();
    let failing = zone.manner == Manner::Failing;
    out.extend([0x84, if failing { 2 } else { 0 }, 0, 1]);
    out.extend(n.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * n).to_be_bytes());
    out.extend(&question[12..]);
    out.extend(srv);
    out.extend(record("cluster.lan", 6, &soa));
    out.extend(more);
    match zone.manner {
        Manner::Cut => out.truncate(out.len() / 2),
        Manner::ForeignId => out[0] ^= 0x55,
        _ => {}
    }
    out
}

impl Names {
    pub fn start(records: Vec<Record>) -> Names {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = socket.local_addr().expect("its address");
        let zone = Arc::new(Mutex::new(Zone { serial: 1, records, manner: Manner::Good }));
        let asked = Arc::new(AtomicUsize::new(0));
        let (shown, count) = (zone.clone(), asked.clone());
        std::thread::spawn(move || {
            let mut room = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut room) {
                {
                    let zone = shown.lock().expect("the zone");
                    if zone.manner != Manner::Silent {
                        let _ = socket.send_to(&zone_answer(&room[..n], &zone), from);
                    }
                }
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        Names { at, zone, asked }
    }

    pub fn change(&self, with: impl FnOnce(&mut Zone)) {
        with(&mut self.zone.lock().expect("the zone"));
    }

    /// How many questions have come, answered or not.
    pub fn answered(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }

    /// Waits until so many more questions were answered, or not, in the present manner.
    pub fn asked(&self, more: usize) {
        let until = self.asked.load(Ordering::SeqCst) + more;
        let since = Instant::now();
        while self.asked.load(Ordering::SeqCst) < until {
            assert!(since.elapsed() < PATIENCE, "the name service is asked");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
