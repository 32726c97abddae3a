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

fn key_of(place: usize, generation: u32) -> ConnectionId {
    place as u64 | u64::from(generation) << 32
}

const READ: usize = 16 << 10;
/// Bytes that are handed to a seal at a time.
const SEALED: usize = 64 << 10;

pub struct Connection<R, O = ()> {
    stream: Rc<TcpStream>,
    seal: Option<Box<TlsConnection>>,
    /// Why the handshake, or what came under the seal, was not taken.
    pub tls_error: Option<rustls::Error>,
    source: RegistrationToken,
    pub role: R,
    /// How the owner is to go about what it now does on it.
    pub options: O,
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// Bytes that were ever given to be written, and those that the socket has taken; of a sealed line, its seal.
    given: u64,
    gone: u64,
    /// When its clock runs out; infinite for no clock.
    pub deadline: f64,
    /// The peer has closed its side, or the connection is broken.
    pub closed: bool,
    broken: bool,
    shut: bool,
    connected: bool,
    shaken: bool,
}

impl<R, O> Connection<R, O> {
    /// Reads what is there until `input` holds `most` bytes; true if anything came.
    pub fn read(&mut self, most: usize) -> bool {
        let before = self.input.len();
        let mut part = [0; READ];
        while !self.closed && self.input.len() < most {
            let room = (most - self.input.len()).min(READ);
            let came = match self.seal.as_mut() {
                Some(seal) => match unseal(seal, &self.stream, &mut part[..room], &mut self.tls_error) {
                    // A seal that was broken tells the peer why, if that can still go out.
                    Err(e) if self.tls_error.is_some() => {
                        let _ = seal.write_tls(&mut &*self.stream);
                        Err(e)
                    }
                    came => came,
                },
                None => (&*self.stream).read(&mut part[..room]),
            };
            match came {
                Ok(0) => self.closed = true,
                Ok(n) => self.input.extend_from_slice(&part[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => (self.closed, self.broken) = (true, true),
            }
        }
        self.input.len() > before
    }

    /// Whose connection it is.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.stream.peer_addr().ok().map(|at| at.ip())
    }

    /// Bytes that were ever given to be written: where the next message will start.
    pub fn bytes_queued(&self) -> u64 {
        self.given
    }

    /// Bytes that the socket has taken, of all that were given: what was given before may have been read.
    pub fn bytes_sent(&self) -> u64 {
        self.gone
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.given += bytes.len() as u64;
        self.output.extend_from_slice(bytes);
    }

    /// Takes back bytes that were given as from `begins`; false, and nothing is changed, if any of them may have left.
    pub fn cancel_write(&mut self, begins: u64, count: usize) -> bool {
        if begins < self.gone || begins + count as u64 > self.given {
            return false;
        }
        let from = self.sent + (begins - self.gone) as usize;
        self.output.drain(from..from + count);
        self.given -= count as u64;
        true
    }

    /// Gives input that was taken out back, without its first bytes, which are used; what has come meanwhile follows it.
    pub fn unread(&mut self, mut input: Vec<u8>, used: usize) {
        input.drain(..used);
        input.append(&mut self.input);
        self.input = input;
    }

    /// Bytes that wait to be written.
    pub fn pending(&self) -> usize {
        let sealed = self.seal.as_ref().is_some_and(|seal| seal.wants_write());
        self.output.len() - self.sent + usize::from(sealed)
    }

    /// Writes what the socket takes; true if anything went.
    pub fn flush(&mut self) -> bool {
        let mut went = false;
        while self.pending() > 0 {
            let left = &self.output[self.sent..];
            let wrote = match self.seal.as_mut() {
                Some(seal) if seal.wants_write() => seal.write_tls(&mut &*self.stream).map(|n| (n, 0)),
                Some(seal) if seal.is_handshaking() => break,
                Some(seal) => seal.writer().write(&left[..left.len().min(SEALED)]).map(|n| (n, n)),
                None => (&*self.stream).write(left).map(|n| (n, n)),
            };
            match wrote {
                Ok((0, _)) => break,
                // What the socket has taken may be read and acted on: whatever becomes of the connection, it was there.
                Ok((_, taken)) => {
                    (self.sent, went, self.connected) = (self.sent + taken, true, true);
                    self.gone += taken as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not connected yet, or full.
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => {
                    (self.closed, self.broken) = (true, true);
                    break;
                }
            }
        }
        if self.sent == self.output.len() {
            self.output.clear();
            self.sent = 0;
        } else if self.sent > 1 << 20 {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
        went
    }

    /// Whether the connection was broken off, so that what was written on it may not have been read. Where the peer closed its side
    /// before it had what was on its way, this is known only once that has come there.
    pub fn broken(&mut self) -> bool {
        self.broken |= !matches!(self.stream.take_error(), Ok(None));
        self.broken
    }

    /// Says that nothing more comes from here; the peer's end is waited for, so that it reads the answer.
    pub fn shutdown_write(&mut self) {
        if !self.shut {
            self.shut = true;
            if let Some(seal) = self.seal.as_mut() {
                seal.send_close_notify();
                self.flush();
            }
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Whether the connection could be made, its seal included; none while it is under way.
    pub fn connected(&mut self) -> Option<bool> {
        if !self.connected {
            match self.stream.take_error() {
                Ok(None) => self.connected = self.stream.peer_addr().is_ok(),
                _ => return Some(false),
            }
        }
        if self.connected && self.shakes_hands() {
            self.flush();
            self.read(READ);
            self.flush();
            if self.shakes_hands() {
                return self.closed.then_some(false);
            }
        }
        self.connected.then_some(true)
    }

    fn shakes_hands(&self) -> bool {
        self.seal.as_ref().is_some_and(|seal| seal.is_handshaking())
    }

    /// True once: when the handshake of a sealed line is found to be done.
    pub fn take_handshake_done(&mut self) -> bool {
        let done = !self.shaken && self.seal.is_some() && !self.shakes_hands();
        self.shaken |= done;
        done
    }
}

/// Reads what came under a seal, as from a stream.
fn unseal(
    seal: &mut TlsConnection,
    stream: &TcpStream,
    part: &mut [u8],
    unsealed: &mut Option<rustls::Error>,
) -> io::Result<usize> {
    loop {
        match seal.reader().read(part) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
        if !seal.wants_read() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        let ended = seal.read_tls(&mut &*stream)? == 0;
        if let Err(e) = seal.process_new_packets() {
            *unsealed = Some(e);
            return Err(io::ErrorKind::InvalidData.into());
        }
        if ended && seal.is_handshaking() {
            return Ok(0);
        }
        // What a handshake asks for, and what ends it, goes out at once; what does not waits for the line's turn.
        if seal.wants_write() {
            let _ = seal.write_tls(&mut &*stream);
        }
    }
}

/// `EINPROGRESS`: the connection is under way.
const UNDER_WAY: i32 = 115;

/// A connection that is made, or under way.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(e) if e.raw_os_error() == Some(UNDER_WAY) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

/// Whoever runs the loop that the lines are on.
pub trait ConnectionHandler: 'static {
    /// Something may be read from this line or written to it, or it has ended.
    fn connection_ready(&mut self, key: ConnectionId);
}

pub struct Connections<H: ConnectionHandler, R, O = ()> {
    lines: Slab<(u32, Connection<R, O>)>,
    generation: u32,
    handle: LoopHandle<'static, H>,
}

impl<H: ConnectionHandler, R, O: Default> Connections<H, R, O> {
    pub fn new(handle: LoopHandle<'static, H>) -> Connections<H, R, O> {
        Connections { lines: Slab::new(), generation: 0, handle }
    }

    pub fn open(
        &mut self,
        stream: TcpStream,
        seal: Option<TlsConnection>,
        role: R,
    ) -> io::Result<ConnectionId> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.generation = self.generation.wrapping_add(1);
        let entry = self.lines.vacant_entry();
        let key = key_of(entry.key(), self.generation);
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let source = self
            .handle
            .insert_source(source, move |_, _, owner| {
                owner.connection_ready(key);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        let line = Connection {
            stream,
            seal: seal.map(Box::new),
            tls_error: None,
            source,
            role,
            options: O::default(),
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            given: 0,
            gone: 0,
            deadline: f64::INFINITY,
            closed: false,
            broken: false,
            shut: false,
            connected: false,
            shaken: false,
        };
        entry.insert((self.generation, line));
        Ok(key)
    }

    pub fn get_mut(&mut self, key: ConnectionId) -> Option<&mut Connection<R, O>> {
        let (generation, line) = self.lines.get_mut(key as u32 as usize)?;
        (*generation == (key >> 32) as u32).then_some(line)
    }

    /// Whether a line of such a role has still bytes that wait to be written.
    pub fn any_pending(&self, of: impl Fn(&R) -> bool) -> bool {
        self.lines.iter().any(|(_, (_, line))| of(&line.role) && line.pending() > 0)
    }

    /// All that are open.
    pub fn ids(&self) -> Vec<ConnectionId> {
        self.lines.iter().map(|(place, (generation, _))| key_of(place, *generation)).collect()
    }

    /// How many lines are open.
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    pub fn close(&mut self, key: ConnectionId) -> Option<R> {
        self.get_mut(key)?;
        let (_, line) = self.lines.remove(key as u32 as usize);
        self.handle.remove(line.source);
        Some(line.role)
    }
}
