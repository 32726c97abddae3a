//! The name service: the list of media servers by DNS over UDP.

use crate::record::Record;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};

/// A media server as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddrV4,
    pub cell: u32,
    pub draining: bool,
    pub started_ms: u64,
}

pub struct State {
    pub serial: u32,
    pub servers: Vec<Listed>,
    /// Whether no answers are sent.
    pub silent: bool,
    /// When the present list was first told, in seconds of the record.
    pub told_at: Option<f64>,
}

#[derive(Clone)]
pub struct Names {
    pub address: SocketAddrV4,
    pub state: Arc<Mutex<State>>,
    record: Record,
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

fn answer(query: &[u8], state: &State) -> Vec<u8> {
    let (mut answers, mut additional) = (Vec::new(), Vec::new());
    for s in &state.servers {
        let target = format!("{}.east.hosts", s.id);
        let mut srv = u16::from(s.draining).to_be_bytes().to_vec();
        srv.extend(40u16.to_be_bytes());
        srv.extend(s.address.port().to_be_bytes());
        srv.extend(name(&target));
        answers.extend(resource("_app._tcp.cluster.lan", 33, &srv));
        additional.extend(resource(&target, 1, &s.address.ip().octets()));
        let mut txt = Vec::new();
        for text in ["kind=std".to_string(), format!("cell={}", s.cell), format!("started={}", s.started_ms)]
        {
            txt.push(text.len() as u8);
            txt.extend(text.bytes());
        }
        additional.extend(resource(&target, 16, &txt));
    }
    let mut soa = name("ns.hosts");
    soa.extend(name("admin.hosts"));
    soa.extend(state.serial.to_be_bytes());
    soa.extend([0; 16]);
    let count = state.servers.len() as u16;
    let mut out = query[..2].to_vec();
    out.extend([0x84, 0, 0, 1]);
    out.extend(count.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * count).to_be_bytes());
    out.extend(&query[12..]);
    out.extend(answers);
    out.extend(resource("cluster.lan", 6, &soa));
    out.extend(additional);
    out
}

impl Names {
    pub fn start(servers: Vec<Listed>, record: &Record) -> Names {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let std::net::SocketAddr::V4(address) = socket.local_addr().expect("its address") else {
            panic!("IPv4")
        };
        let state = Arc::new(Mutex::new(State { serial: 1, servers, silent: false, told_at: None }));
        let names = Names { address, state, record: record.clone() };
        let shared = names.clone();
        std::thread::spawn(move || {
            let mut query = [0; 2048];
            while let Ok((n, peer)) = socket.recv_from(&mut query) {
                let mut state = shared.state.lock().expect("the lock");
                if n < 12 || state.silent {
                    continue;
                }
                let bytes = answer(&query[..n], &state);
                let _ = socket.send_to(&bytes, peer);
                if state.told_at.is_none() {
                    let text = format!(
                        "name service: told list {} of {} servers",
                        state.serial,
                        state.servers.len()
                    );
                    state.told_at = Some(shared.record.line(&text));
                }
            }
        });
        names
    }

    /// Makes this the list, as the next event.
    pub fn publish(&self, servers: Vec<Listed>) {
        let mut state = self.state.lock().expect("the lock");
        state.serial += 1;
        let ids: Vec<String> = servers.iter().map(|s| format!("{}@{}", s.id, s.address)).collect();
        self.record.line(&format!("name service: list {} is {}", state.serial, ids.join(" ")));
        (state.servers, state.told_at) = (servers, None);
    }

    pub fn set_silent(&self, silent: bool) {
        self.state.lock().expect("the lock").silent = silent;
        self.record.line(&format!("name service: {}", if silent { "silent" } else { "answers" }));
    }

    pub fn list(&self) -> Vec<Listed> {
        self.state.lock().expect("the lock").servers.clone()
    }

    pub fn serial(&self) -> u32 {
        self.state.lock().expect("the lock").serial
    }
}
