//! Media servers, which speak RTSP with the node.

use super::*;
use std::cell::RefCell;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A media server on loopback.
pub struct MediaServer {
    pub id: String,
    pub(super) listener: Option<TcpListener>,
    /// A connection of the node that was accepted and not yet taken by [`MediaServer::accept`].
    pub(super) accepted: RefCell<Option<TcpStream>>,
    pub addr: SocketAddr,
    pub cell: usize,
    /// Connections that fill the listen queue.
    backlog: Vec<TcpStream>,
}

/// The server's end of a connection of the node.
pub struct ServerConnection {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
}

/// An RTSP request of the node.
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

    /// The value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    /// The id in the header field `Session`.
    pub fn session(&self) -> u64 {
        u64::from_str_radix(self.header("Session").expect("a field Session"), 16).expect("hex")
    }
}

impl MediaServer {
    /// Starts a server that listens.
    pub fn start(id: &str, cell: usize) -> MediaServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("making the socket non-blocking");
        let addr = listener.local_addr().expect("the address of the listener");
        MediaServer {
            id: id.into(),
            listener: Some(listener),
            accepted: RefCell::new(None),
            addr,
            cell,
            backlog: Vec::new(),
        }
    }

    /// A server without a listener of its own, to be listed at `addr`.
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

    /// The record with which the name service lists the server.
    pub fn dns_record(&self) -> ServerRecord {
        ServerRecord { id: self.id.clone(), addr: self.addr, cell: self.cell, draining: false, started_at: 0 }
    }

    /// Waits for the next connection of the node and takes it.
    pub fn accept(&self) -> ServerConnection {
        self.wait_for_connection();
        let stream = self.accepted.borrow_mut().take().expect("the node has connected");
        stream.set_nonblocking(false).expect("making the socket blocking");
        stream.set_nodelay(true).expect("setting TCP_NODELAY");
        stream.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout");
        ServerConnection { stream, input: Vec::new() }
    }

    /// Starts a server whose listen queue is full: connections complete only after [`MediaServer::drain_backlog`].
    pub fn start_with_full_backlog(id: &str, cell: usize) -> MediaServer {
        let mut server = MediaServer::start(id, cell);
        server.fill_backlog();
        server
    }

    /// Fills the listen queue. From now on connections are not established, as if the machine could not be reached, until
    /// [`MediaServer::drain_backlog`].
    pub fn fill_backlog(&mut self) {
        let listener = self.listener.as_ref().expect("the server listens");
        socket2::SockRef::from(listener).listen(0).expect("a shorter listen queue");
        // Connects until a connection has to wait.
        let connect_timeout = Duration::from_millis(100);
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr, connect_timeout) {
            self.backlog.push(stream);
        }
    }

    /// Empties the listen queue, so that new connections complete from now on.
    pub fn drain_backlog(&mut self) {
        let listener = self.listener.as_ref().expect("the server listens");
        self.backlog.drain(..).for_each(|stream| {
            let (accepted, peer_addr) = listener.accept().expect("the connection is in the listen queue");
            assert_eq!(Some(peer_addr), stream.local_addr().ok());
            drop(accepted);
        });
    }

    /// Waits until a connection of the node is established.
    pub fn wait_for_connection(&self) {
        let started_at = Instant::now();
        while !self.has_connection() {
            assert!(started_at.elapsed() < TIMEOUT, "{}: the node did not connect in time", self.id);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Whether the node has connected; the connection is kept for [`MediaServer::accept`].
    pub fn has_connection(&self) -> bool {
        let mut accepted = self.accepted.borrow_mut();
        if accepted.is_none() {
            *accepted = self.listener.as_ref().and_then(|listener| listener.accept().ok()).map(|it| it.0);
        }
        accepted.is_some()
    }

    /// A new process listens at the address at which the one before has stopped to listen.
    pub fn listen_again(&mut self) {
        let listener = TcpListener::bind(self.addr).expect("the address is free");
        listener.set_nonblocking(true).expect("making the socket non-blocking");
        self.listener = Some(listener);
    }

    /// From now on connections are refused.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }
}

impl ServerConnection {
    /// The next request; `None` once the node has closed the connection.
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
                // A read with a time-out is not restarted when the process is stopped and continued.
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(e) => panic!("reading from the node failed: {e}"),
            }
        }
    }

    /// Reads the next request and asserts its method.
    pub fn expect_request(&mut self, method: &str) -> Request {
        let request = self.next_request().expect("the node keeps the connection");
        assert_eq!(request.method(), method, "{request:?}");
        request
    }

    /// Sends a note on this session twice a second from now on, until the connection ends.
    pub fn keep_sending_notes(&self, session: u64) {
        let mut stream = self.stream.try_clone().expect("a second descriptor");
        let note = format!(
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\nX-Why: l\r\nFigure: 0.2\r\nContent-Length: 0\r\n\r\n"
        );
        std::thread::spawn(move || {
            while stream.write_all(note.as_bytes()).is_ok() {
                std::thread::sleep(Duration::from_millis(500));
            }
        });
    }

    /// Asserts that nothing has arrived that was not taken yet.
    pub fn expect_no_request(&mut self) {
        self.stream.set_nonblocking(true).expect("making the socket non-blocking");
        let peeked = self.stream.peek(&mut [0; 4096]).map_err(|e| e.kind());
        assert!(self.input.is_empty());
        assert_eq!(peeked, Err(std::io::ErrorKind::WouldBlock), "the node has sent a request");
        self.stream.set_nonblocking(false).expect("making the socket blocking");
    }

    /// Sends the node these bytes.
    pub fn send(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the node reads");
    }

    /// Sends the response to a request.
    pub fn respond(&mut self, request: &Request, status: u16, body: &str) {
        let cseq = request.header("CSeq").expect("a number");
        self.send(&rtsp_response(status, cseq, request.session(), body));
    }

    /// Sends the node a request about a session.
    pub fn send_request(&mut self, method: &str, session: u64, headers: &str) {
        self.send(&format!(
            "{method} rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\n{headers}Content-Length: 0\r\n\r\n"
        ));
    }

    /// Expects a set-up, answers it with 200 and asserts that its viewer receives the answer (kind 9).
    pub fn serve_set_up(&mut self, viewer: &mut Viewer, session: u64) {
        let request = self.expect_request("SETUP");
        self.respond(&request, 200, DESCRIPTION);
        viewer.expect_message(9, session);
    }

    /// Ends an established session and asserts that its viewer receives the release (kind 12).
    pub fn end_play(&mut self, viewer: &mut Viewer, session: u64) {
        self.send_request("TEARDOWN", session, "Reason: cause=16\r\n");
        assert_eq!(viewer.expect_message(12, session).cause(), 16);
    }

    /// The socket of the connection.
    pub fn into_stream(self) -> TcpStream {
        self.stream.set_read_timeout(None).expect("no read timeout");
        self.stream
    }

    /// Closes the connection with a FIN, as a server closes an idle one; the socket is closed when the value is dropped.
    pub fn close(self) {}

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("setting SO_LINGER");
    }
}

/// An RTSP response as text.
pub fn rtsp_response(status: u16, cseq: &str, session: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
