//! Media servers.

use super::*;
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub struct Host {
    pub id: String,
    pub(super) listener: Option<TcpListener>,
    pub(super) kept: RefCell<Option<TcpStream>>,
    pub at: SocketAddr,
    pub cell: usize,
    /// Connections that fill its queue.
    fill: Vec<TcpStream>,
}

pub struct Wire {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
}

#[derive(Debug)]
pub struct Asked {
    pub line: String,
    pub(super) fields: Vec<(String, String)>,
    pub body: String,
}

impl Asked {
    pub fn method(&self) -> &str {
        self.line.split(' ').next().expect("a method")
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    pub fn session(&self) -> u64 {
        u64::from_str_radix(self.get("Session").expect("a session"), 16).expect("hex")
    }
}

impl Host {
    pub fn start(id: &str, cell: usize) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("so");
        let at = listener.local_addr().expect("its address");
        Host { id: id.into(), listener: Some(listener), kept: RefCell::new(None), at, cell, fill: Vec::new() }
    }

    /// One that is listed and takes no connections.
    pub fn named(id: &str, cell: usize, at: SocketAddr) -> Host {
        Host { id: id.into(), listener: None, kept: RefCell::new(None), at, cell, fill: Vec::new() }
    }

    pub fn record(&self) -> Record {
        Record { id: self.id.clone(), at: self.at, cell: self.cell, draining: false, started: 0 }
    }

    /// The next connection of the node.
    pub fn accept(&self) -> Wire {
        self.until_called();
        let stream = self.kept.borrow_mut().take().expect("it has called");
        stream.set_nonblocking(false).expect("so");
        stream.set_nodelay(true).expect("so");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        Wire { stream, input: Vec::new() }
    }

    /// One whose machine answers no call until [`Host::comes_up`]: its queue is full, so that a connection comes up late.
    pub fn late(id: &str, cell: usize) -> Host {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("so");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("its address");
        // The one that fits, and others until one has to wait.
        let mut fill = Vec::new();
        let soon = Duration::from_millis(100);
        while let Ok(stream) = TcpStream::connect_timeout(&at, soon) {
            fill.push(stream);
        }
        listener.set_nonblocking(true).expect("so");
        Host { id: id.into(), listener: Some(listener), kept: RefCell::new(None), at, cell, fill }
    }

    /// From now on calls are answered.
    pub fn comes_up(&mut self) {
        let listener = self.listener.as_ref().expect("it listens");
        self.fill.drain(..).for_each(|stream| {
            let (taken, from) = listener.accept().expect("it waits in the queue");
            assert_eq!(Some(from), stream.local_addr().ok());
            drop(taken);
        });
    }

    /// Waits until the node has called, and its connection is up.
    pub fn until_called(&self) {
        let since = Instant::now();
        while !self.called() {
            assert!(since.elapsed() < PATIENCE, "{}: the node calls", self.id);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Whether the node has called; its connection is kept for [`Host::accept`].
    pub fn called(&self) -> bool {
        let mut kept = self.kept.borrow_mut();
        if kept.is_none() {
            *kept = self.listener.as_ref().and_then(|listener| listener.accept().ok()).map(|it| it.0);
        }
        kept.is_some()
    }

    /// From now on connections are refused.
    pub fn deaf(&mut self) {
        self.listener = None;
    }
}

impl Wire {
    /// The next request; none once the node has closed.
    pub fn next(&mut self) -> Option<Asked> {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.input[..end].to_vec()).expect("text");
                let mut lines = head.split("\r\n");
                let line = lines.next().expect("a first line").to_string();
                let fields: Vec<(String, String)> = lines
                    .map(|l| l.split_once(": ").expect("a field"))
                    .map(|(a, b)| (a.into(), b.into()))
                    .collect();
                let length =
                    fields.iter().find(|f| f.0 == "Content-Length").expect("a length").1.parse::<usize>();
                let whole = end + 4 + length.expect("a number");
                if self.input.len() >= whole {
                    let body = String::from_utf8(self.input[end + 4..whole].to_vec()).expect("text");
                    self.input.drain(..whole);
                    return Some(Asked { line, fields, body });
                }
            }
            let mut room = [0; 4096];
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(n) => self.input.extend(&room[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing from the node: {e}"),
            }
        }
    }

    /// The next request, which is this one.
    pub fn wants(&mut self, method: &str) -> Asked {
        let asked = self.next().expect("the node keeps the connection");
        assert_eq!(asked.method(), method, "{asked:?}");
        asked
    }

    pub fn say(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the node reads");
    }

    pub fn answer(&mut self, to: &Asked, status: u16, body: &str) {
        let cseq = to.get("CSeq").expect("a number");
        self.say(&answer(status, cseq, to.session(), body));
    }

    pub fn request(&mut self, method: &str, session: u64, fields: &str) {
        self.say(&format!(
            "{method} rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\n{fields}Content-Length: 0\r\n\r\n"
        ));
    }

    /// The set-up that comes next is served, and its viewer hears so.
    pub fn serves(&mut self, viewer: &mut Viewer, play: u64) {
        let asked = self.wants("SETUP");
        self.answer(&asked, 200, DESCRIPTION);
        viewer.hears(9, play);
    }

    /// A play that stands comes to its end, and its viewer hears so.
    pub fn ends(&mut self, viewer: &mut Viewer, play: u64) {
        self.request("TEARDOWN", play, "Reason: cause=16\r\n");
        assert_eq!(viewer.hears(12, play).cause(), 16);
    }

    /// Closed as a server closes what is idle.
    pub fn close(self) {}

    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("to be reset");
    }
}

pub fn answer(status: u16, cseq: &str, session: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
