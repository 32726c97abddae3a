//! Viewers, which speak the binary protocol with the node.

use crate::record::Record;
use crate::sys;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

/// A message of the node.
#[derive(Clone, Debug)]
pub struct Heard {
    pub at: f64,
    pub kind: u8,
    pub session: u64,
    pub cause: u8,
    pub description: Vec<u8>,
}

#[derive(Default)]
struct State {
    heard: Vec<Heard>,
    /// When the node's end was seen, if the viewer did not end it itself.
    ended_at: Option<f64>,
    own_end: bool,
}

/// A connection of a viewer.
#[derive(Clone)]
pub struct Viewer {
    pub name: String,
    stream: Arc<TcpStream>,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn parameter(out: &mut Vec<u8>, code: u8, value: &[u8]) {
    out.push(code);
    out.extend((value.len() as u16).to_be_bytes());
    out.extend_from_slice(value);
}

fn encode(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    parameters.iter().for_each(|(code, value)| parameter(&mut body, *code, value));
    let mut out = (body.len() as u16).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// A set-up in the form of the page on the protocol.
fn encode_set_up(wish: &Wish) -> Vec<u8> {
    let mut extras =
        format!("home:{};copies:{};top:3;viewer:{:016x}", wish.home, wish.copies, wish.session ^ 0x55);
    if let Some(at) = &wish.at {
        extras += &format!(";at:{at}");
    }
    let (limit, title) = (wish.limit_ms.to_string(), format!("{:016x}", wish.title));
    let parameters: [(u8, &[u8]); 6] = [
        (3, wish.class.as_bytes()),
        (6, limit.as_bytes()),
        (15, title.as_bytes()),
        (33, b"8200.0"),
        (18, extras.as_bytes()),
        (48, b"v=0\r\nc=IN IP4 127.0.0.1\r\nm=audio 4000 RTP/AVP 0\r\n"),
    ];
    encode(SET_UP, wish.session, &parameters)
}

/// What a set-up asks for.
#[derive(Clone)]
pub struct Wish {
    pub session: u64,
    pub class: &'static str,
    pub limit_ms: u32,
    pub title: u64,
    pub home: u32,
    pub copies: u32,
    /// The media server at which the session stands already.
    pub at: Option<String>,
}

impl Wish {
    pub fn new(session: u64, home: u32, copies: u32) -> Wish {
        Wish {
            session,
            class: "paid",
            limit_ms: 3000,
            title: 0x7f3a_0000 + u64::from(home),
            home,
            copies,
            at: None,
        }
    }
}

impl Viewer {
    pub fn connect(name: &str, from: Ipv4Addr, to: SocketAddrV4, record: &Record) -> Viewer {
        Viewer::try_connect(name, from, to, record).expect("the node accepts")
    }

    pub fn try_connect(name: &str, from: Ipv4Addr, to: SocketAddrV4, record: &Record) -> Option<Viewer> {
        let stream = Arc::new(sys::connect_from(from, to).ok()?);
        record.line(&format!("{name}: connected from {from}"));
        let viewer = Viewer {
            name: name.into(),
            stream,
            state: Arc::new(Mutex::new(State::default())),
            record: record.clone(),
        };
        let reading = viewer.clone();
        std::thread::spawn(move || reading.read());
        Some(viewer)
    }

    fn read(self) {
        let (mut input, mut chunk) = (Vec::new(), [0; 16384]);
        while let Ok(n) = (&*self.stream).read(&mut chunk) {
            if n == 0 {
                break;
            }
            input.extend_from_slice(&chunk[..n]);
            while input.len() >= 2 {
                let length = u16::from_be_bytes([input[0], input[1]]) as usize;
                if input.len() < 2 + length || length < 9 {
                    break;
                }
                let body: Vec<u8> = input.drain(..2 + length).skip(2).collect();
                self.handle(&body);
            }
        }
        let mut state = self.state.lock().expect("the lock");
        if !state.own_end {
            state.ended_at =
                Some(self.record.line(&format!("{}: the node has ended the connection", self.name)));
        }
    }

    fn handle(&self, body: &[u8]) {
        let session = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
        let mut heard = Heard { at: 0.0, kind: body[0], session, cause: 0, description: Vec::new() };
        let (mut rest, mut wait) = (&body[9..], String::new());
        while rest.len() >= 3 {
            let length = u16::from_be_bytes([rest[1], rest[2]]) as usize;
            let value = &rest[3..3 + length];
            match rest[0] {
                45 => heard.cause = value[0],
                48 => heard.description = value.to_vec(),
                21 => wait = format!(", to come back after {} ms", String::from_utf8_lossy(value)),
                _ => {}
            }
            rest = &rest[3 + length..];
        }
        let what = match heard.kind {
            ANSWER => format!("answer {session:016x}, {} bytes", heard.description.len()),
            RELEASE => format!("release {session:016x}, cause {}{wait}", heard.cause),
            kind => format!("message {kind} {session:016x}, cause {}", heard.cause),
        };
        heard.at = self.record.line(&format!("{}: {what}", self.name));
        self.state.lock().expect("the lock").heard.push(heard);
    }

    fn write(&self, bytes: &[u8]) -> bool {
        (&*self.stream).write_all(bytes).is_ok()
    }

    /// Sends set-ups and takes each back at once, without a line in the record for each. Returns whether all
    /// could be written.
    pub fn set_up_and_take_back(&self, wishes: &[Wish]) -> bool {
        let mut bytes = Vec::new();
        for wish in wishes {
            bytes.extend(encode_set_up(wish));
            bytes.extend(encode(RELEASE, wish.session, &[(45, &[16])]));
        }
        self.write(&bytes)
    }

    /// Sends a set-up. Returns when its last byte was written, or `None` if it could not be.
    pub fn set_up(&self, wish: &Wish) -> Option<f64> {
        let written = self.write(&encode_set_up(wish));
        let at = wish.at.as_ref().map_or(String::new(), |at| format!(" at {at}"));
        let failed = if written { "" } else { ", not written" };
        let when = self.record.line(&format!("{}: set-up {:016x}{at}{failed}", self.name, wish.session));
        written.then_some(when)
    }

    /// Sends a test, and returns whether it was passed within a second.
    pub fn test(&self) -> bool {
        self.write(&encode(TEST, 0x7e57, &[(45, &[0])]));
        self.wait(1.0, |h| h.kind == TESTED).is_some_and(|h| h.cause == 1)
    }

    /// The first message that satisfies the condition, within so many seconds.
    pub fn wait(&self, seconds: f64, is_it: impl Fn(&Heard) -> bool) -> Option<Heard> {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        loop {
            if let Some(heard) = self.heard().into_iter().find(|h| is_it(h)) {
                return Some(heard);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn answered(&self, session: u64, seconds: f64) -> bool {
        self.wait(seconds, |h| h.kind == ANSWER && h.session == session).is_some()
    }

    pub fn released(&self, session: u64, seconds: f64) -> Option<Heard> {
        self.wait(seconds, |h| h.kind == RELEASE && h.session == session)
    }

    pub fn heard(&self) -> Vec<Heard> {
        self.state.lock().expect("the lock").heard.clone()
    }

    /// When the node ended the connection.
    pub fn ended_at(&self) -> Option<f64> {
        self.state.lock().expect("the lock").ended_at
    }

    /// The connection is reset.
    pub fn reset(&self) -> f64 {
        self.state.lock().expect("the lock").own_end = true;
        sys::reset(&self.stream);
        self.record.line(&format!("{}: the connection is reset", self.name))
    }

    /// The viewer closes the connection.
    pub fn close(&self) {
        self.state.lock().expect("the lock").own_end = true;
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        self.record.line(&format!("{}: the viewer closes the connection", self.name));
    }
}
