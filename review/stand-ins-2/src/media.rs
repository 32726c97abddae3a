//! Media servers, which speak RTSP with the node.

use crate::names::Listed;
use crate::record::Record;
use crate::sys;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a server does with a set-up.
#[derive(Clone, Debug)]
pub enum Response {
    /// The session stands, after so many ms; its description is this, or the usual one.
    Stand(u64),
    /// These bytes, as they are; the connection is of no further use.
    Raw(Vec<u8>),
    /// These bytes, and so many ms later a second copy of them.
    Copy(Vec<u8>, u64),
}

/// A set-up as it came.
#[derive(Clone, Debug)]
pub struct SetUp {
    pub session: u64,
}

type Plan = Box<dyn FnMut(&SetUp) -> Response + Send>;

struct Standing {
    connection: usize,
    ended: bool,
}

struct State {
    connections: BTreeMap<usize, TcpStream>,
    sessions: BTreeMap<u64, Standing>,
    /// The sessions in the order of their starts.
    order: Vec<u64>,
    set_ups: Vec<SetUp>,
    plan: Plan,
    /// Another server has the address.
    replaced: bool,
    /// How long a session lasts until the server ends it, ms; 0 for no end.
    life_ms: u64,
    next: usize,
}

#[derive(Clone)]
pub struct Media {
    pub listed: Listed,
    /// None while no process listens.
    listener: Arc<Mutex<Option<TcpListener>>>,
    state: Arc<Mutex<State>>,
    record: Record,
}

/// The description that a server gives for a session.
pub fn description(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n").into_bytes()
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.split("\r\n").find_map(|l| l.strip_prefix(name)?.strip_prefix(": "))
}

/// A message with `Session` and `Content-Length`.
pub fn message(first: &str, cseq: u32, session: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{first}\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}

impl Media {
    /// Starts a server on a free port.
    pub fn start(id: &str, cell: u32, record: &Record) -> Media {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("its address") else { panic!("IPv4") };
        Media::with_listener(id, cell, address, Arc::new(Mutex::new(Some(listener))), record)
    }

    /// Starts a server on the address of another one, whose process has died.
    pub fn replace(&self, id: &str, cell: u32) -> Media {
        self.state.lock().expect("the lock").replaced = true;
        let mut listener = self.listener.lock().expect("the lock");
        listener.get_or_insert_with(|| TcpListener::bind(self.listed.address).expect("the address is free"));
        drop(listener);
        self.record.line(&format!("{id}: listens on the address of {}", self.id()));
        Media::with_listener(id, cell, self.listed.address, self.listener.clone(), &self.record)
    }

    fn with_listener(
        id: &str,
        cell: u32,
        address: SocketAddrV4,
        listener: Arc<Mutex<Option<TcpListener>>>,
        record: &Record,
    ) -> Media {
        let state = State {
            connections: BTreeMap::new(),
            sessions: BTreeMap::new(),
            order: Vec::new(),
            set_ups: Vec::new(),
            plan: Box::new(|_| Response::Stand(2)),
            replaced: false,
            life_ms: 0,
            next: 0,
        };
        let listed = Listed { id: id.into(), address, cell, draining: false, started_ms: 0 };
        let media = Media { listed, listener, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let accepting = media.clone();
        std::thread::spawn(move || accepting.accept());
        media
    }

    pub fn id(&self) -> &str {
        &self.listed.id
    }

    /// Whether another server may have the address now.
    fn is_over(&self) -> bool {
        let state = self.state.lock().expect("the lock");
        state.replaced
    }

    fn accept_one(&self) -> Option<(TcpStream, SocketAddr)> {
        let listener = self.listener.lock().expect("the lock");
        let listener = listener.as_ref()?;
        listener.set_nonblocking(true).expect("a listener that does not block");
        listener.accept().ok()
    }

    fn accept(self) {
        while !self.is_over() {
            let Some((stream, peer)) = self.accept_one() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream that blocks");
            stream.set_nodelay(true).expect("TCP_NODELAY");
            let number = {
                let mut state = self.state.lock().expect("the lock");
                state.next += 1;
                let number = state.next;
                state.connections.insert(number, stream.try_clone().expect("a second descriptor"));
                number
            };
            self.record.line(&format!("{}: connection {number} from {peer}", self.id()));
            let reading = self.clone();
            std::thread::spawn(move || reading.read(number, stream));
        }
    }

    fn read(self, number: usize, mut stream: TcpStream) {
        let (mut input, mut chunk) = (Vec::new(), [0; 16384]);
        loop {
            let n = match stream.read(&mut chunk) {
                Ok(n) if n > 0 => n,
                _ => break,
            };
            input.extend_from_slice(&chunk[..n]);
            let mut used = 0;
            while let Some(end) = input[used..].windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&input[used..used + end]).to_string();
                let length: usize = field(&head, "Content-Length").and_then(|t| t.parse().ok()).unwrap_or(0);
                if input.len() < used + end + 4 + length {
                    break;
                }
                used += end + 4 + length;
                self.handle(number, &head);
            }
            input.drain(..used);
        }
        let mut state = self.state.lock().expect("the lock");
        state.connections.remove(&number);
        drop(state);
        self.record.line(&format!("{}: connection {number} has ended", self.id()));
    }

    fn handle(&self, number: usize, head: &str) {
        let first = head.split("\r\n").next().unwrap_or("");
        let session = field(head, "Session").and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or(0);
        let method = first.split(' ').next().unwrap_or("");
        match method {
            "SETUP" => {
                let title =
                    first.split(' ').nth(1).unwrap_or("").trim_start_matches("rtsp://media/").to_string();
                self.record.line(&format!("{}: SETUP {session:016x} title {title} on {number}", self.id()));
                let set_up = SetUp { session };
                let response = {
                    let mut state = self.state.lock().expect("the lock");
                    state.set_ups.push(set_up.clone());
                    (state.plan)(&set_up)
                };
                let later = self.clone();
                std::thread::spawn(move || later.respond(number, session, response));
            }
            "TEARDOWN" => {
                let had = {
                    let mut state = self.state.lock().expect("the lock");
                    state.sessions.get_mut(&session).is_some_and(|s| !std::mem::replace(&mut s.ended, true))
                };
                if had {
                    let reason = field(head, "Reason").unwrap_or("none").to_string();
                    self.record.line(&format!("{}: TEARDOWN {session:016x} reason {reason}", self.id()));
                    self.send(number, &message("RTSP/1.0 200 OK", 2, session, "", b""));
                    self.send(
                        number,
                        &message("TEARDOWN rtsp://media/s RTSP/1.0", 2, session, "Reason: cause=31\r\n", b""),
                    );
                }
            }
            "OPTIONS" => {
                let load = "X-Circuits: utilization:0.20;x1:0.10\r\n";
                self.send(number, &message("RTSP/1.0 200 OK", 3, session, load, b""));
            }
            _ => {}
        }
    }

    fn respond(&self, number: usize, session: u64, response: Response) {
        match response {
            Response::Stand(delay) => {
                std::thread::sleep(Duration::from_millis(delay));
                let life_ms = {
                    let mut state = self.state.lock().expect("the lock");
                    if !state.connections.contains_key(&number) {
                        return;
                    }
                    state.sessions.insert(session, Standing { connection: number, ended: false });
                    state.order.push(session);
                    state.life_ms
                };
                let load = "X-Circuits: utilization:0.20;x1:0.10\r\n";
                self.send(number, &message("RTSP/1.0 200 OK", 1, session, load, &description(session)));
                self.record.line(&format!("{}: 200 {session:016x}", self.id()));
                if life_ms > 0 {
                    std::thread::sleep(Duration::from_millis(life_ms));
                    self.release(session, 16);
                }
            }
            Response::Raw(bytes) => {
                self.record.line(&format!("{}: {:?}", self.id(), String::from_utf8_lossy(&bytes)));
                self.send(number, &bytes);
            }
            Response::Copy(bytes, delay) => {
                for _ in 0..2 {
                    self.record.line(&format!("{}: {:?}", self.id(), String::from_utf8_lossy(&bytes)));
                    self.send(number, &bytes);
                    std::thread::sleep(Duration::from_millis(delay));
                }
            }
        }
    }

    fn send(&self, number: usize, bytes: &[u8]) -> bool {
        let stream = {
            let state = self.state.lock().expect("the lock");
            state.connections.get(&number).and_then(|s| s.try_clone().ok())
        };
        stream.is_some_and(|mut stream| stream.write_all(bytes).is_ok())
    }

    /// Ends a session that stands, with a release to the node: on the connection of its set-up, or else on any.
    pub fn release(&self, session: u64, cause: u8) -> Option<f64> {
        let number = {
            let mut state = self.state.lock().expect("the lock");
            let standing = state.sessions.get_mut(&session)?;
            if std::mem::replace(&mut standing.ended, true) {
                return None;
            }
            let number = standing.connection;
            if state.connections.contains_key(&number) { number } else { *state.connections.keys().next()? }
        };
        let reason = format!("Reason: cause={cause}\r\n");
        self.send(number, &message("TEARDOWN rtsp://media/s RTSP/1.0", 2, session, &reason, b""));
        Some(self.record.line(&format!("{}: the server ends {session:016x}, cause {cause}", self.id())))
    }

    /// Sends a report of the link's load on a session that stands.
    pub fn note(&self, session: u64) {
        let number = self.state.lock().expect("the lock").sessions.get(&session).map(|s| s.connection);
        if let Some(number) = number {
            let fields = "X-Why: l\r\nFigure: 0.20\r\n";
            self.send(number, &message("ANNOUNCE rtsp://media/s RTSP/1.0", 9, session, fields, b""));
            self.record.line(&format!("{}: note on {session:016x}", self.id()));
        }
    }

    /// The process dies: its connections are reset, its sessions cut, and nothing listens. Returns when.
    pub fn die(&self) -> f64 {
        *self.listener.lock().expect("the lock") = None;
        let mut state = self.state.lock().expect("the lock");
        state.connections.values().for_each(sys::reset);
        state.connections.clear();
        state.sessions.clear();
        self.record.line(&format!("{}: the process has died", self.listed.id))
    }

    /// A new process listens on the address of the one that died. Returns when it started, Unix ms.
    pub fn start_again(&self) -> u64 {
        let listener = TcpListener::bind(self.listed.address).expect("the address is free");
        *self.listener.lock().expect("the lock") = Some(listener);
        self.record.line(&format!("{}: a new process listens", self.id()));
        let since_1970 = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since_1970.expect("a clock after 1970").as_millis() as u64
    }

    pub fn set_plan(&self, plan: impl FnMut(&SetUp) -> Response + Send + 'static) {
        self.state.lock().expect("the lock").plan = Box::new(plan);
    }

    pub fn set_life(&self, life_ms: u64) {
        self.state.lock().expect("the lock").life_ms = life_ms;
    }

    pub fn set_ups(&self) -> Vec<SetUp> {
        self.state.lock().expect("the lock").set_ups.clone()
    }

    /// The session that has stood here longest.
    pub fn oldest(&self) -> Option<u64> {
        let state = self.state.lock().expect("the lock");
        state.order.iter().copied().find(|s| state.sessions.get(s).is_some_and(|s| !s.ended))
    }

    /// Whether a session stands here.
    pub fn stands(&self, session: u64) -> bool {
        self.state.lock().expect("the lock").sessions.get(&session).is_some_and(|s| !s.ended)
    }
}
