//! The connections of a front, each a non-blocking socket with its buffers, on the event loop. What a line is for is
//! its owner's affair, kept beside it as a role; what happens on it is told to the owner, by [`ConnectionHandler::connection_ready`].
//!
//! A line may be sealed by TLS. Then it counts as connected only once the handshake is done, so nothing of a request
//! has gone to a server whose handshake failed; and what waits in the seal counts as waiting to be written.

pub mod timers;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustls::Connection as TlsConnection;
use slab::Slab;
use socket2::{Domain, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

/// A line by its place and, in the upper half, its generation: the key of a closed one is never used again.
pub type ConnectionId = u64;

fn connection_id(slot: usize, generation: u32) -> ConnectionId {
    slot as u64 | u64::from(generation) << 32
}

const READ_CHUNK_BYTES: usize = 16 << 10;
/// Bytes that are handed to a seal at a time.
const TLS_CHUNK_BYTES: usize = 64 << 10;

pub struct Connection<R, O = ()> {
    stream: Rc<TcpStream>,
    tls: Option<Box<TlsConnection>>,
    /// Why the handshake, or what came under the seal, was not taken.
    pub tls_error: Option<rustls::Error>,
    source: RegistrationToken,
    pub role: R,
    /// How the owner is to go about what it now does on it.
    pub options: O,
    pub input: Vec<u8>,
    output: Vec<u8>,
    output_sent: usize,
    /// Bytes that were ever given to be written, and those that the socket has taken; of a sealed line, its seal.
    bytes_queued: u64,
    bytes_sent: u64,
    /// When its clock runs out; infinite for no clock.
    pub deadline: f64,
    /// The peer has closed its side, or the connection is broken.
    pub closed: bool,
    is_broken: bool,
    is_write_shut_down: bool,
    is_connected: bool,
    is_handshake_reported: bool,
}

impl<R, O> Connection<R, O> {
    /// Reads what is there until `input` holds `most` bytes; true if anything came.
    pub fn read(&mut self, max_bytes: usize) -> bool {
        let before = self.input.len();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while !self.closed && self.input.len() < max_bytes {
            let wanted = (max_bytes - self.input.len()).min(READ_CHUNK_BYTES);
            let read = match self.tls.as_mut() {
                Some(tls) => {
                    match read_tls_plaintext(tls, &self.stream, &mut chunk[..wanted], &mut self.tls_error) {
                        // A seal that was broken tells the peer why, if that can still go out.
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
                Ok(0) => self.closed = true,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => (self.closed, self.is_broken) = (true, true),
            }
        }
        self.input.len() > before
    }

    /// Whose connection it is.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.peer_addr().ok().map(|address| address.ip())
    }

    /// Bytes that were ever given to be written: where the next message will start.
    pub fn bytes_queued(&self) -> u64 {
        self.bytes_queued
    }

    /// Bytes that the socket has taken, of all that were given: what was given before may have been read.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.bytes_queued += bytes.len() as u64;
        self.output.extend_from_slice(bytes);
    }

    /// Takes back bytes that were given as from `begins`; false, and nothing is changed, if any of them may have left.
    pub fn cancel_write(&mut self, offset: u64, length: usize) -> bool {
        if offset < self.bytes_sent || offset + length as u64 > self.bytes_queued {
            return false;
        }
        let start = self.output_sent + (offset - self.bytes_sent) as usize;
        self.output.drain(start..start + length);
        self.bytes_queued -= length as u64;
        true
    }

    /// Gives input that was taken out back, without its first bytes, which are used; what has come meanwhile follows it.
    pub fn restore_input(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        input.append(&mut self.input);
        self.input = input;
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        let has_tls_output = self.tls.as_ref().is_some_and(|tls| tls.wants_write());
        self.output.len() - self.output_sent + usize::from(has_tls_output)
    }

    /// Writes what the socket takes; true if anything went.
    pub fn flush(&mut self) -> bool {
        let mut has_written = false;
        while self.pending() > 0 {
            let unsent = &self.output[self.output_sent..];
            let written = match self.tls.as_mut() {
                Some(tls) if tls.wants_write() => tls.write_tls(&mut &*self.stream).map(|n| (n, 0)),
                Some(tls) if tls.is_handshaking() => break,
                Some(tls) => tls.writer().write(&unsent[..unsent.len().min(TLS_CHUNK_BYTES)]).map(|n| (n, n)),
                None => (&*self.stream).write(unsent).map(|n| (n, n)),
            };
            match written {
                Ok((0, _)) => break,
                // What the socket has taken may be read and acted on: whatever becomes of the connection, it was there.
                Ok((_, taken)) => {
                    (self.output_sent, has_written, self.is_connected) =
                        (self.output_sent + taken, true, true);
                    self.bytes_sent += taken as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or full.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => {
                    (self.closed, self.is_broken) = (true, true);
                    break;
                }
            }
        }
        if self.output_sent == self.output.len() {
            self.output.clear();
            self.output_sent = 0;
        } else if self.output_sent > 1 << 20 {
            self.output.drain(..self.output_sent);
            self.output_sent = 0;
        }
        has_written
    }

    /// Whether the connection was broken off, so that what was written on it may not have been read. Where the peer closed its side
    /// before it had what was on its way, this is known only once that has come there.
    pub fn is_broken(&mut self) -> bool {
        self.is_broken |= !matches!(self.stream.take_error(), Ok(None));
        self.is_broken
    }

    /// Says that nothing more comes from here; the peer's end is waited for, so that it reads the answer.
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

    /// Whether the connection could be made, its seal included; none while it is under way.
    pub fn connected(&mut self) -> Option<bool> {
        if !self.is_connected {
            match self.stream.take_error() {
                Ok(None) => self.is_connected = self.stream.peer_addr().is_ok(),
                _ => return Some(false),
            }
        }
        if self.is_connected && self.is_handshaking() {
            self.flush();
            self.read(READ_CHUNK_BYTES);
            self.flush();
            if self.is_handshaking() {
                return self.closed.then_some(false);
            }
        }
        self.is_connected.then_some(true)
    }

    fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// True once: when the handshake of a sealed line is found to be done.
    pub fn take_handshake_done(&mut self) -> bool {
        let done = !self.is_handshake_reported && self.tls.is_some() && !self.is_handshaking();
        self.is_handshake_reported |= done;
        done
    }
}

/// Reads what came under a seal, as from a stream.
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
        // What a handshake asks for, and what ends it, goes out at once; what does not waits for the line's turn.
        if tls.wants_write() {
            let _ = tls.write_tls(&mut &*stream);
        }
    }
}

/// `EINPROGRESS`: the connection is under way.
const EINPROGRESS: i32 = 115;

/// A connection that is made, or under way.
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

/// Whoever runs the loop that the lines are on.
pub trait ConnectionHandler: 'static {
    /// Something may be read from this line or written to it, or it has ended.
    fn connection_ready(&mut self, id: ConnectionId);
}

pub struct Connections<H: ConnectionHandler, R, O = ()> {
    connections: Slab<(u32, Connection<R, O>)>,
    generation: u32,
    handle: LoopHandle<'static, H>,
}

impl<H: ConnectionHandler, R, O: Default> Connections<H, R, O> {
    pub fn new(handle: LoopHandle<'static, H>) -> Connections<H, R, O> {
        Connections { connections: Slab::new(), generation: 0, handle }
    }

    pub fn open(
        &mut self,
        stream: TcpStream,
        tls: Option<TlsConnection>,
        role: R,
    ) -> io::Result<ConnectionId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.generation = self.generation.wrapping_add(1);
        let entry = self.connections.vacant_entry();
        let id = connection_id(entry.key(), self.generation);
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let source = self
            .handle
            .insert_source(source, move |_, _, owner| {
                owner.connection_ready(id);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        let connection = Connection {
            stream,
            tls: tls.map(Box::new),
            tls_error: None,
            source,
            role,
            options: O::default(),
            input: Vec::new(),
            output: Vec::new(),
            output_sent: 0,
            bytes_queued: 0,
            bytes_sent: 0,
            deadline: f64::INFINITY,
            closed: false,
            is_broken: false,
            is_write_shut_down: false,
            is_connected: false,
            is_handshake_reported: false,
        };
        entry.insert((self.generation, connection));
        Ok(id)
    }

    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection<R, O>> {
        let (generation, connection) = self.connections.get_mut(id as u32 as usize)?;
        (*generation == (id >> 32) as u32).then_some(connection)
    }

    /// Whether a line of such a role has still bytes that wait to be written.
    pub fn any_pending(&self, has_role: impl Fn(&R) -> bool) -> bool {
        self.connections
            .iter()
            .any(|(_, (_, connection))| has_role(&connection.role) && connection.pending() > 0)
    }

    /// All that are open.
    pub fn ids(&self) -> Vec<ConnectionId> {
        self.connections.iter().map(|(slot, (generation, _))| connection_id(slot, *generation)).collect()
    }

    /// How many lines are open.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    pub fn close(&mut self, id: ConnectionId) -> Option<R> {
        self.get_mut(id)?;
        let (_, connection) = self.connections.remove(id as u32 as usize);
        self.handle.remove(connection.source);
        Some(connection.role)
    }
}
