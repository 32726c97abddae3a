//! The name service: a DNS server that lists media servers and can be made to fail.

use super::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A media server as the name service lists it. `started_at` is in ms since the epoch.
#[derive(Clone)]
pub struct ServerRecord {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: usize,
    pub draining: bool,
    pub started_at: u64,
}

/// How the name service answers queries.
#[derive(Clone, Copy, PartialEq)]
pub enum DnsMode {
    Normal,
    /// No response is sent.
    Silent,
    /// The response code is SERVFAIL.
    Failing,
    /// Half of the response is sent.
    Truncated,
    /// The response carries another id than the query.
    WrongId,
}

/// What the name service serves.
pub struct Zone {
    pub serial: u32,
    pub records: Vec<ServerRecord>,
    pub mode: DnsMode,
    /// How long after its query each response is sent. It holds the list as it is then.
    pub delay: Duration,
}

/// A name service that runs on a thread of its own.
pub struct DnsServer {
    pub addr: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
    pub(super) queries: Arc<AtomicUsize>,
}

/// Encodes a domain name as DNS labels.
fn encode_name(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

/// Encodes a resource record of class IN with TTL 0.
fn encode_record(name: &str, record_type: u16, rdata: &[u8]) -> Vec<u8> {
    let mut out = encode_name(name);
    out.extend(record_type.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((rdata.len() as u16).to_be_bytes());
    out.extend(rdata);
    out
}

/// Encodes the response to a query: an SRV record per server, the SOA with the serial, and A and TXT records per server.
fn encode_response(query: &[u8], zone: &Zone) -> Vec<u8> {
    let (mut srv_records, mut additional) = (Vec::new(), Vec::new());
    for r in &zone.records {
        let target = format!("{}.east.hosts", r.id);
        let mut rdata = u16::from(r.draining).to_be_bytes().to_vec();
        rdata.extend(40u16.to_be_bytes());
        rdata.extend(r.addr.port().to_be_bytes());
        rdata.extend(encode_name(&target));
        srv_records.extend(encode_record("_app._tcp.cluster.lan", 33, &rdata));
        let SocketAddr::V4(v4) = r.addr else { panic!("the address of a record must be IPv4") };
        additional.extend(encode_record(&target, 1, &v4.ip().octets()));
        let mut txt_data = Vec::new();
        for text in ["kind=std".to_string(), format!("cell={}", r.cell), format!("started={}", r.started_at)]
        {
            txt_data.push(text.len() as u8);
            txt_data.extend(text.bytes());
        }
        additional.extend(encode_record(&target, 16, &txt_data));
    }
    let mut soa = encode_name("ns.hosts");
    soa.extend(encode_name("admin.hosts"));
    soa.extend(zone.serial.to_be_bytes());
    soa.extend([0; 16]);
    let count = zone.records.len() as u16;
    let mut out = query[..2].to_vec();
    let failing = zone.mode == DnsMode::Failing;
    out.extend([0x84, if failing { 2 } else { 0 }, 0, 1]);
    out.extend(count.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * count).to_be_bytes());
    out.extend(&query[12..]);
    out.extend(srv_records);
    out.extend(encode_record("cluster.lan", 6, &soa));
    out.extend(additional);
    match zone.mode {
        DnsMode::Truncated => out.truncate(out.len() / 2),
        DnsMode::WrongId => out[0] ^= 0x55,
        _ => {}
    }
    out
}

/// Responds to a query from the present zone, unless that is silent.
fn send_response(socket: &UdpSocket, query: &[u8], zone: &Mutex<Zone>, to: SocketAddr) {
    let zone = zone.lock().expect("the lock of the zone");
    if zone.mode != DnsMode::Silent {
        let _ = socket.send_to(&encode_response(query, &zone), to);
    }
}

impl DnsServer {
    /// Starts a name service that serves these records under serial 1.
    pub fn start(records: Vec<ServerRecord>) -> DnsServer {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let addr = socket.local_addr().expect("the address of the socket");
        let zone =
            Arc::new(Mutex::new(Zone { serial: 1, records, mode: DnsMode::Normal, delay: Duration::ZERO }));
        let queries = Arc::new(AtomicUsize::new(0));
        let (served_zone, received) = (zone.clone(), queries.clone());
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((size, from)) = socket.recv_from(&mut buffer) {
                let query = buffer[..size].to_vec();
                let delay = served_zone.lock().expect("the lock of the zone").delay;
                if delay.is_zero() {
                    send_response(&socket, &query, &served_zone, from);
                } else {
                    let socket = socket.try_clone().expect("a copy of the socket");
                    let zone = served_zone.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(delay);
                        send_response(&socket, &query, &zone, from);
                    });
                }
                received.fetch_add(1, Ordering::SeqCst);
            }
        });
        DnsServer { addr, zone, queries }
    }

    /// Edits the served zone; later queries are answered from it.
    pub fn update_zone(&self, edit: impl FnOnce(&mut Zone)) {
        edit(&mut self.zone.lock().expect("the lock of the zone"));
    }

    /// The number of queries received, answered or not.
    pub fn query_count(&self) -> usize {
        self.queries.load(Ordering::SeqCst)
    }

    /// Waits until `more` further queries have been received and handled, answered or not. The node sends a query every 150 to 250 ms,
    /// and one more after each SIGHUP; the first may be due at once. Without a SIGHUP, N queries thus take at least (N - 1) x 150 ms.
    pub fn wait_for_queries(&self, more: usize) {
        let target_count = self.queries.load(Ordering::SeqCst) + more;
        let started_at = Instant::now();
        while self.queries.load(Ordering::SeqCst) < target_count {
            assert!(started_at.elapsed() < TIMEOUT, "the name service was not queried in time");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
