//! The few calls of the C library that the standard library does not offer. The layouts are those of Linux on
//! x86-64 and arm64.

use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

fn sock_addr(address: SocketAddrV4) -> SockAddrIn {
    SockAddrIn { family: 2, port: address.port().to_be_bytes(), address: address.ip().octets(), zero: [0; 8] }
}

/// Connects from this address of the loopback range.
pub fn connect_from(from: Ipv4Addr, to: SocketAddrV4) -> std::io::Result<TcpStream> {
    let error = std::io::Error::last_os_error;
    // SAFETY: the structures live through the calls, and the descriptor is owned by the stream from then on.
    unsafe {
        let fd = socket(2, 1 | 0o2000000, 0);
        if fd < 0 {
            return Err(error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (own, peer) = (sock_addr(SocketAddrV4::new(from, 0)), sock_addr(to));
        if bind(fd, &own, 16) != 0 || connect(fd, &peer, 16) != 0 {
            return Err(error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Resets the connection.
pub fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the structure lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
    let fd = stream.as_raw_fd();
    // A connection to no address ends the present one: with this linger time by a reset, whoever else still
    // holds the descriptor.
    let none = SockAddrIn { family: 0, port: [0; 2], address: [0; 4], zero: [0; 8] };
    // SAFETY: the structure lives through the call.
    unsafe { connect(fd, &none, 16) };
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this run started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: a call without pointers.
    unsafe { kill(pid as i32, signal) };
}

/// Has the kernel end this process once its parent has ended. For a child before exec.
pub fn die_with_parent() -> std::io::Result<()> {
    // SAFETY: a call without pointers. 1 is PR_SET_PDEATHSIG.
    unsafe { prctl(1, SIGKILL as u64, 0, 0, 0) };
    Ok(())
}
