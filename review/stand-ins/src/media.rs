//! Media servers: they answer set-ups, note the load of their links, and end sessions.

use crate::{now_ms, sleep_ms, Record};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

/// A set-up that came whole.
#[derive(Clone, Debug)]
pub struct SetUp {
    pub at: f64,
    pub session: u64,
    pub title: String,
    /// The connection's peer, which is a front node's socket.
    pub peer: SocketAddr,
    pub status: u16,
}

/// A session that stands, or stood.
#[derive(Clone)]
struct Standing {
    connection: usize,
    ends_at: f64,
}

#[derive(Default)]
struct State {
    connections: HashMap<usize, TcpStream>,
    next_connection: usize,
    sessions: HashMap<u64, Standing>,
    set_ups: Vec<SetUp>,
    /// Sessions that ended: when, and how.
    ended: Vec<(u64, f64, &'static str)>,
    /// Refuses set-ups with this status.
    refuses: Option<u16>,
    fillers: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct MediaServer {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    is_silent: Arc<AtomicBool>,
    listener: Arc<Mutex<Option<TcpListener>>>,
    record: Record,
    life_ms: f64,
}

fn response(status: u16, cseq: &str, session: u64, load: &str, body: &str) -> String {
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nX-Circuits: {load}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn request(method: &str, session: u64, fields: &str) -> String {
    format!(
        "{method} rtsp://media/session RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

/// The load that a media server reports.
const LOAD: &str = "outstanding:6;x0:0.3;x1:0.3;utilization:0.3";

impl MediaServer {
    /// Starts a media server on a free port. Sessions last `life_ms`.
    pub fn start(record: &Record, id: &str, life_ms: f64) -> MediaServer {
        MediaServer::start_at(record, id, life_ms, "127.0.0.1:0".parse().expect("an address"))
    }

    pub fn start_at(record: &Record, id: &str, life_ms: f64, address: SocketAddr) -> MediaServer {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| crate::cannot_run(&format!("{address}: {e}")));
        listener.set_nonblocking(true).expect("a listener");
        let server = MediaServer {
            id: id.to_string(),
            address: listener.local_addr().expect("its address"),
            state: Arc::default(),
            is_silent: Arc::default(),
            listener: Arc::new(Mutex::new(Some(listener))),
            record: record.clone(),
            life_ms,
        };
        let accepting = server.clone();
        std::thread::spawn(move || loop {
            if accepting.is_silent.load(Ordering::SeqCst) {
                sleep_ms(5);
                continue;
            }
            let accepted = match &*accepting.listener.lock().expect("the listener") {
                Some(listener) => listener.accept(),
                None => return,
            };
            match accepted {
                Ok((stream, peer)) => accepting.serve(stream, peer),
                Err(_) => sleep_ms(2),
            }
        });
        let ending = server.clone();
        std::thread::spawn(move || loop {
            sleep_ms(10);
            ending.end_sessions();
        });
        server
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        let mut state = self.state.lock().expect("the state");
        state.next_connection += 1;
        let number = state.next_connection;
        state.connections.insert(number, stream.try_clone().expect("a socket"));
        drop(state);
        let server = self.clone();
        std::thread::spawn(move || server.read(stream, peer, number));
    }

    fn read(&self, mut stream: TcpStream, peer: SocketAddr, number: usize) {
        let mut input: Vec<u8> = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            if self.is_silent.load(Ordering::SeqCst) {
                sleep_ms(5);
                continue;
            }
            match stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => input.extend(&chunk[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(e) if e.kind() == std::io::ErrorKind::TimedOut => continue,
                Err(_) => break,
            }
            while let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&input[..end]).to_string();
                let field = |name: &str| {
                    let line = head.lines().find(|l| l.starts_with(&format!("{name}: ")));
                    line.map(|l| l[name.len() + 2..].to_string()).unwrap_or_default()
                };
                let length: usize = field("Content-Length").parse().unwrap_or(0);
                if input.len() < end + 4 + length {
                    break;
                }
                let body = String::from_utf8_lossy(&input[end + 4..end + 4 + length]).to_string();
                input.drain(..end + 4 + length);
                let session = u64::from_str_radix(&field("Session"), 16).unwrap_or(0);
                self.handle(&head, session, &field("CSeq"), &body, peer, number);
            }
        }
        self.state.lock().expect("the state").connections.remove(&number);
    }

    fn handle(&self, head: &str, session: u64, cseq: &str, body: &str, peer: SocketAddr, number: usize) {
        let mut words = head.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let mut state = self.state.lock().expect("the state");
        if self.is_silent.load(Ordering::SeqCst) {
            return;
        }
        let reply = match method {
            "SETUP" => {
                let title = target.trim_start_matches("rtsp://media/").to_string();
                let status = state.refuses.unwrap_or(200);
                self.record
                    .line(format!("{}: set-up {session:016x} title {title} from {peer}: {status}", self.id));
                state.set_ups.push(SetUp { at: now_ms(), session, title, peer, status });
                if status == 200 {
                    let ends_at = now_ms() + self.life_ms;
                    state.sessions.insert(session, Standing { connection: number, ends_at });
                    response(200, cseq, session, LOAD, &format!("{} {body}", self.id))
                } else {
                    response(status, cseq, session, LOAD, "")
                }
            }
            "TEARDOWN" => {
                if state.sessions.remove(&session).is_some() {
                    state.ended.push((session, now_ms(), "torn down by the front node"));
                    self.record.line(format!("{}: session {session:016x} torn down", self.id));
                }
                response(200, cseq, session, LOAD, "")
            }
            "OPTIONS" => response(200, cseq, session, LOAD, ""),
            _ => return,
        };
        if let Some(stream) = state.connections.get_mut(&number) {
            let _ = stream.write_all(reply.as_bytes());
        }
    }

    /// Ends the sessions whose time has come.
    fn end_sessions(&self) {
        if self.is_silent.load(Ordering::SeqCst) {
            return;
        }
        let now = now_ms();
        let mut state = self.state.lock().expect("the state");
        let over: Vec<u64> = state.sessions.iter().filter(|s| s.1.ends_at <= now).map(|s| *s.0).collect();
        for session in over {
            let standing = state.sessions.remove(&session).expect("a session");
            let own = state.connections.contains_key(&standing.connection);
            let number =
                if own { Some(standing.connection) } else { state.connections.keys().min().copied() };
            let Some(number) = number else {
                // It is sent on the next connection opened.
                state.sessions.insert(session, standing);
                continue;
            };
            let bytes = request("TEARDOWN", session, "Reason: cause=16\r\n");
            let sent =
                state.connections.get_mut(&number).is_some_and(|c| c.write_all(bytes.as_bytes()).is_ok());
            if sent {
                state.ended.push((session, now_ms(), "came to its end"));
                self.record.line(format!("{}: session {session:016x} came to its end", self.id));
            } else {
                state.connections.remove(&number);
                state.sessions.insert(session, standing);
            }
        }
    }

    /// Sends the notes on the load of link and uplink, for each connection on one of its sessions.
    pub fn send_notes(&self) {
        if self.is_silent.load(Ordering::SeqCst) {
            return;
        }
        let mut state = self.state.lock().expect("the state");
        let mut by_connection: HashMap<usize, u64> = HashMap::new();
        for (session, standing) in &state.sessions {
            by_connection.entry(standing.connection).or_insert(*session);
        }
        for (number, session) in by_connection {
            let Some(stream) = state.connections.get_mut(&number) else { continue };
            for metric in ["l", "u"] {
                let fields = format!("X-Why: {metric}\r\nFigure: 0.3\r\n");
                let _ = stream.write_all(request("ANNOUNCE", session, &fields).as_bytes());
            }
        }
    }

    /// From now on set-ups are refused with this status.
    pub fn refuse(&self, status: u16) {
        self.state.lock().expect("the state").refuses = Some(status);
    }

    /// The machine goes silent: its process and sessions are gone, open connections stay open and silent, and new ones
    /// never come up. Returns the sessions that were cut by it, and when.
    pub fn vanish(&self) -> (f64, Vec<u64>) {
        let mut state = self.state.lock().expect("the state");
        self.is_silent.store(true, Ordering::SeqCst);
        let at = now_ms();
        let cut: Vec<u64> = state.sessions.drain().map(|s| s.0).collect();
        // A full listen queue of length 0 drops the requests of new connections.
        if let Some(listener) = &*self.listener.lock().expect("the listener") {
            unsafe { listen(listener.as_raw_fd(), 0) };
        }
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
            state.fillers.push(stream);
        }
        self.record.line_at(at, format!("{}: its machine goes silent, {} sessions cut", self.id, cut.len()));
        (at, cut)
    }

    pub fn set_ups(&self) -> Vec<SetUp> {
        self.state.lock().expect("the state").set_ups.clone()
    }

    pub fn standing(&self) -> Vec<u64> {
        self.state.lock().expect("the state").sessions.keys().copied().collect()
    }

    /// The sessions that ended here: id, time, how.
    pub fn ended(&self) -> Vec<(u64, f64, &'static str)> {
        self.state.lock().expect("the state").ended.clone()
    }
}
