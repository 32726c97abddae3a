//! Media servers.

use super::*;
use socket2::{Domain, Socket, Type};
use std::cell::RefCell;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub struct MediaServer {
    pub id: String,
    pub(super) listener: Option<TcpListener>,
    pub(super) accepted: RefCell<Option<TcpStream>>,
    pub addr: SocketAddr,
    pub cell: usize,
    /// Connections that backlog its queue.
    backlog: Vec<TcpStream>,
}

pub struct ServerConnection {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
}

#[derive(Debug)]
pub struct Request {
    pub start_line: String,
    pub(super) headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().expect("a method")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    pub fn session(&self) -> u64 {
        u64::from_str_radix(self.header("Session").expect("a session"), 16).expect("hex")
    }
}

impl MediaServer {
    pub fn start(id: &str, cell: usize) -> MediaServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("so");
        let addr = listener.local_addr().expect("its address");
        MediaServer {
            id: id.into(),
            listener: Some(listener),
            accepted: RefCell::new(None),
            addr,
            cell,
            backlog: Vec::new(),
        }
    }

    /// One that is listed and takes no connections.
    pub fn without_listener(id: &str, cell: usize, addr: SocketAddr) -> MediaServer {
        MediaServer {
            id: id.into(),
            listener: None,
            accepted: RefCell::new(None),
            addr,
            cell,
            backlog: Vec::new(),
        }
    }

    pub fn dns_record(&self) -> ServerRecord {
        ServerRecord { id: self.id.clone(), addr: self.addr, cell: self.cell, draining: false, started_at: 0 }
    }

    /// The next connection of the node.
    pub fn accept(&self) -> ServerConnection {
        self.wait_for_connection();
        let stream = self.accepted.borrow_mut().take().expect("it has called");
        stream.set_nonblocking(false).expect("so");
        stream.set_nodelay(true).expect("so");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time");
        ServerConnection { stream, input: Vec::new() }
    }

    /// One whose machine answers no call until [`Host::comes_up`]: its queue is full, so that a connection comes up late.
    pub fn start_with_full_backlog(id: &str, cell: usize) -> MediaServer {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("so");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("its address");
        // The one that fits, and others until one has to wait.
        let mut backlog = Vec::new();
        let connect_timeout = Duration::from_millis(100);
        while let Ok(stream) = TcpStream::connect_timeout(&addr, connect_timeout) {
            backlog.push(stream);
        }
        listener.set_nonblocking(true).expect("so");
        MediaServer {
            id: id.into(),
            listener: Some(listener),
            accepted: RefCell::new(None),
            addr,
            cell,
            backlog,
        }
    }

    /// From now on calls are answered.
    pub fn drain_backlog(&mut self) {
        let listener = self.listener.as_ref().expect("it listens");
        self.backlog.drain(..).for_each(|stream| {
            let (accepted, peer_addr) = listener.accept().expect("it waits in the queue");
            assert_eq!(Some(peer_addr), stream.local_addr().ok());
            drop(accepted);
        });
    }

    /// Waits until the node has called, and its connection is up.
    pub fn wait_for_connection(&self) {
        let started_at = Instant::now();
        while !self.has_connection() {
            assert!(started_at.elapsed() < TIMEOUT, "{}: the node calls", self.id);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Whether the node has called; its connection is kept for [`Host::accept`].
    pub fn has_connection(&self) -> bool {
        let mut accepted = self.accepted.borrow_mut();
        if accepted.is_none() {
            *accepted = self.listener.as_ref().and_then(|listener| listener.accept().ok()).map(|it| it.0);
        }
        accepted.is_some()
    }

    /// From now on connections are refused.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }
}

impl ServerConnection {
    /// The next request; none once the node has closed.
    pub fn next_request(&mut self) -> Option<Request> {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.input[..end].to_vec()).expect("text");
                let mut lines = head.split("\r\n");
                let start_line = lines.next().expect("a first line").to_string();
                let headers: Vec<(String, String)> = lines
                    .map(|l| l.split_once(": ").expect("a field"))
                    .map(|(a, b)| (a.into(), b.into()))
                    .collect();
                let length =
                    headers.iter().find(|f| f.0 == "Content-Length").expect("a length").1.parse::<usize>();
                let total_len = end + 4 + length.expect("a number");
                if self.input.len() >= total_len {
                    let body = String::from_utf8(self.input[end + 4..total_len].to_vec()).expect("text");
                    self.input.drain(..total_len);
                    return Some(Request { start_line, headers, body });
                }
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(n) => self.input.extend(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing from the node: {e}"),
            }
        }
    }

    /// The next request, which is this one.
    pub fn expect_request(&mut self, method: &str) -> Request {
        let request = self.next_request().expect("the node keeps the connection");
        assert_eq!(request.method(), method, "{request:?}");
        request
    }

    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the node reads");
    }

    pub fn respond(&mut self, request: &Request, status: u16, body: &str) {
        let cseq = request.header("CSeq").expect("a number");
        self.send(&rtsp_response(status, cseq, request.session(), body));
    }

    pub fn send_request(&mut self, method: &str, session: u64, headers: &str) {
        self.send(&format!(
            "{method} rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\n{headers}Content-Length: 0\r\n\r\n"
        ));
    }

    /// The set-up that comes next is served, and its viewer hears so.
    pub fn serve_set_up(&mut self, viewer: &mut Viewer, session: u64) {
        let request = self.expect_request("SETUP");
        self.respond(&request, 200, DESCRIPTION);
        viewer.expect_message(9, session);
    }

    /// A play that stands comes to its end, and its viewer hears so.
    pub fn end_play(&mut self, viewer: &mut Viewer, session: u64) {
        self.send_request("TEARDOWN", session, "Reason: cause=16\r\n");
        assert_eq!(viewer.expect_message(12, session).cause(), 16);
    }

    /// Closed as a server closes what is idle.
    pub fn close(self) {}

    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("to be reset");
    }
}

pub fn rtsp_response(status: u16, cseq: &str, session: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
