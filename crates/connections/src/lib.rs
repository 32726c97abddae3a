//! Non-blocking TCP and TLS connections on a front's event loop, each with its input and output buffers. Used
//! by the edge and the node.
//!
//! The owner of the event loop keeps its own state beside each connection as a role, and
//! [`ConnectionHandler::connection_ready`] tells the owner of every event on a connection.
//!
//! A connection with TLS counts as connected only once the handshake is done, so no byte of a request has
//! been sent to a server whose handshake failed. Bytes that wait inside the TLS session count as unsent for
//! [`Connection::unsent_bytes`], and as sent for [`Connection::bytes_sent`].

mod registered;
pub mod timers;

use calloop::RegistrationToken;
pub use registered::{ConnectionHandler, Connections};
use rustls::Connection as TlsConnection;
use socket2::{Domain, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// Identifies a connection: its slot in the lower half and its generation in the upper half, so that the id
/// of a closed connection is not reused.
pub type ConnectionId = u64;

/// Builds a connection's id from its slot and its generation.
fn connection_id(slot: usize, generation: u32) -> ConnectionId {
    slot as u64 | u64::from(generation) << 32
}

/// Maximum number of bytes that are read from a socket at a time.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Capacity that an empty buffer keeps, bytes.
const MAX_SPARE_BYTES: usize = 4 << 10;
/// Maximum number of bytes of plaintext that are passed to the TLS session at a time.
const TLS_CHUNK_BYTES: usize = 64 << 10;

/// An open connection with the owner's role `R` and options `O`.
pub struct Connection<R, O = ()> {
    stream: Rc<TcpStream>,
    tls: Option<Box<TlsConnection>>,
    /// The error of the TLS session: why the handshake or the received records were rejected.
    pub tls_error: Option<rustls::Error>,
    source: RegistrationToken,
    /// What the connection is for, kept for its owner.
    pub role: R,
    /// The owner's options for what it currently does on this connection.
    pub options: O,
    /// Bytes that were read and not yet consumed by the owner.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// How many bytes at the front of `output` have been sent.
    output_sent: usize,
    /// How many bytes were ever queued, and how many of them were sent, which means that the socket (with
    /// TLS: the TLS session) has taken them.
    bytes_queued: u64,
    bytes_sent: u64,
    /// When the owner's timer for this connection runs out, Unix ms; infinite if no timer is set.
    pub deadline: f64,
    /// Whether nothing more can be read: the peer has closed its side, the connection is broken, or the owner
    /// has given it up.
    pub has_ended: bool,
    /// Why the connection has failed. The socket reports its error only once.
    failure: Option<io::ErrorKind>,
    is_write_shut_down: bool,
    is_connected: bool,
    is_handshake_reported: bool,
}

impl<R, O> Connection<R, O> {
    /// Reads what is available until `input` holds `max_bytes` bytes. Returns true if anything was read.
    pub fn read(&mut self, max_bytes: usize) -> bool {
        let before = self.input.len();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while !self.has_ended && self.input.len() < max_bytes {
            let wanted = (max_bytes - self.input.len()).min(READ_CHUNK_BYTES);
            let read = match self.tls.as_mut() {
                Some(tls) => {
                    match read_tls_plaintext(tls, &self.stream, &mut chunk[..wanted], &mut self.tls_error) {
                        // After a TLS error the peer is sent the alert, if it can still be written.
                        Err(e) if self.tls_error.is_some() => {
                            let _ = tls.write_tls(&mut &*self.stream);
                            Err(e)
                        }
                        read => read,
                    }
                }
                None => (&*self.stream).read(&mut chunk[..wanted]),
            };
            match read {
                Ok(0) => self.has_ended = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => self.fail(e.kind()),
            }
        }
        self.input.len() > before
    }

    /// The IP address of the peer.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.peer_addr().ok().map(|address| address.ip())
    }

    /// How many bytes were ever queued, without cancelled ones. This is the offset at which the next message
    /// will start.
    pub fn bytes_queued(&self) -> u64 {
        self.bytes_queued
    }

    /// How many of the queued bytes were sent. The peer may have read all of them.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Queues bytes. They are sent by [`Connection::flush`].
    pub fn queue(&mut self, bytes: &[u8]) {
        self.bytes_queued += bytes.len() as u64;
        self.output.extend_from_slice(bytes);
    }

    /// Removes `length` queued bytes that start at `offset`. Returns false and changes nothing if any of them
    /// may have been sent, or was never queued. The bytes queued after them move forward by `length`, so the
    /// caller has to adjust the offsets that it keeps.
    pub fn cancel_queued(&mut self, offset: u64, length: usize) -> bool {
        if offset < self.bytes_sent || offset + length as u64 > self.bytes_queued {
            return false;
        }
        let start = self.output_sent + (offset - self.bytes_sent) as usize;
        self.output.drain(start..start + length);
        self.bytes_queued -= length as u64;
        true
    }

    /// Puts back input that the caller had taken out, without its first `used` bytes. Input that was read
    /// meanwhile follows it.
    pub fn restore_input(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        input.append(&mut self.input);
        if input.capacity() > MAX_SPARE_BYTES + 2 * input.len() {
            input.shrink_to_fit();
        }
        self.input = input;
    }

    /// How many bytes were queued and not sent. All output that waits inside the TLS session counts as one
    /// byte.
    pub fn unsent_bytes(&self) -> usize {
        let has_tls_output = self.tls.as_ref().is_some_and(|tls| tls.wants_write());
        self.output.len() - self.output_sent + usize::from(has_tls_output)
    }

    /// Sends as many of the queued bytes as the socket takes. Returns true if the socket took anything.
    pub fn flush(&mut self) -> bool {
        let mut has_written = false;
        while self.unsent_bytes() > 0 {
            let unsent = &self.output[self.output_sent..];
            let written = match self.tls.as_mut() {
                Some(tls) if tls.wants_write() => tls.write_tls(&mut &*self.stream).map(|n| (n, 0)),
                Some(tls) if tls.is_handshaking() => break,
                Some(tls) => tls.writer().write(&unsent[..unsent.len().min(TLS_CHUNK_BYTES)]).map(|n| (n, n)),
                None => (&*self.stream).write(unsent).map(|n| (n, n)),
            };
            match written {
                Ok((0, _)) => break,
                // The peer may have read and acted on any byte that the socket took. So the connection counts
                // as established, whatever happens to it later.
                Ok((_, taken)) => {
                    (self.output_sent, has_written, self.is_connected) =
                        (self.output_sent + taken, true, true);
                    self.bytes_sent += taken as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // The connection is not established yet, or the socket's send buffer is full.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break;
                }
                Err(e) => {
                    self.fail(e.kind());
                    break;
                }
            }
        }
        self.release_sent_output();
        has_written
    }

    /// Gives back the memory of output that was sent, once that is as much as what is left, or all.
    fn release_sent_output(&mut self) {
        let unsent = self.output.len() - self.output_sent;
        if self.output_sent >= unsent {
            self.output.drain(..self.output_sent);
            self.output_sent = 0;
        }
        if self.output.capacity() > MAX_SPARE_BYTES + 4 * self.output.len() {
            self.output.shrink_to_fit();
        }
    }

    /// Whether the connection has failed (a reset, an I/O error or a TLS error), so that the peer may not
    /// have read all that was sent. A peer that has closed the connection resets it only when later bytes
    /// reach the peer, so a reset may become known some time after the close.
    pub fn is_broken(&mut self) -> bool {
        self.take_socket_error();
        self.failure.is_some()
    }

    /// Whether the peer's machine has refused the connection, which shows that no process listens there. Known
    /// once [`Connection::poll_established`] has returned false.
    pub fn is_refused(&self) -> bool {
        !self.is_connected && self.failure == Some(io::ErrorKind::ConnectionRefused)
    }

    /// Records the first failure of the connection. Nothing more can be read.
    fn fail(&mut self, kind: io::ErrorKind) {
        self.has_ended = true;
        self.failure.get_or_insert(kind);
    }

    /// Records the error that the socket reports, if any. What has arrived before it can still be read.
    fn take_socket_error(&mut self) {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(e)) | Err(e) => {
                self.failure.get_or_insert(e.kind());
            }
        }
    }

    /// Closes the sending side. The receiving side stays open until the peer closes its own, so that the peer
    /// can read the rest of the answer.
    pub fn shutdown_write(&mut self) {
        if !self.is_write_shut_down {
            self.is_write_shut_down = true;
            if let Some(tls) = self.tls.as_mut() {
                tls.send_close_notify();
                self.flush();
            }
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Whether the connection was established, including its TLS handshake. Returns `None` while this is in
    /// progress. A connection that could not be established stays so, however often this is called.
    pub fn poll_established(&mut self) -> Option<bool> {
        if !self.is_connected {
            self.take_socket_error();
            if self.failure.is_some() {
                return Some(false);
            }
            self.is_connected = self.stream.peer_addr().is_ok();
        }
        if self.is_connected && self.is_handshaking() {
            self.flush();
            self.read(READ_CHUNK_BYTES);
            self.flush();
            if self.is_handshaking() {
                return self.has_ended.then_some(false);
            }
        }
        self.is_connected.then_some(true)
    }

    /// Whether a TLS handshake is in progress.
    fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Returns true once: on the first call after the TLS handshake is done.
    pub fn take_handshake_done(&mut self) -> bool {
        let done = !self.is_handshake_reported && self.tls.is_some() && !self.is_handshaking();
        self.is_handshake_reported |= done;
        done
    }
}

/// Reads plaintext from a TLS session like from a stream. Stores a TLS error in `tls_error`.
fn read_tls_plaintext(
    tls: &mut TlsConnection,
    stream: &TcpStream,
    chunk: &mut [u8],
    tls_error: &mut Option<rustls::Error>,
) -> io::Result<usize> {
    loop {
        match tls.reader().read(chunk) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
        if !tls.wants_read() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let ended = tls.read_tls(&mut &*stream)? == 0;
        if let Err(e) = tls.process_new_packets() {
            *tls_error = Some(e);
            return Err(io::ErrorKind::InvalidData.into());
        }
        if ended && tls.is_handshaking() {
            return Ok(0);
        }
        // Handshake messages, including the final ones, are sent at once. What the socket does not take now
        // is sent by the next flush.
        if tls.wants_write() {
            let _ = tls.write_tls(&mut &*stream);
        }
    }
}

/// errno `EINPROGRESS`: the non-blocking connect is in progress.
const EINPROGRESS: i32 = 115;

/// Opens a non-blocking connection, which is established or still in progress when this returns.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}
