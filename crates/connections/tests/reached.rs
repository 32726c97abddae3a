//! Whether a connection counts as established: one that was reset does if the peer can have read anything on it, one that was
//! refused never does.

use calloop::EventLoop;
use pulleystair_connections::{ConnectionHandler, ConnectionId, Connections};
use std::io::Read;
use std::net::{TcpListener, TcpStream};

struct NoOpHandler;

impl ConnectionHandler for NoOpHandler {
    fn connection_ready(&mut self, _: ConnectionId) {}
}

/// While the event loop is busy, a server can read a set-up, run it and reset the connection. If the
/// connection then counted as never established, a set-up that must not run twice would be sent a second
/// time.
#[test]
fn a_reset_after_the_request_was_read_counts_as_established() {
    let event_loop = EventLoop::<'static, NoOpHandler>::try_new().expect("an event loop");
    let mut connections: Connections<NoOpHandler, ()> = Connections::new(event_loop.handle());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream =
        TcpStream::connect(listener.local_addr().expect("the listener's address")).expect("a connection");
    let id = connections.open(stream, None, ()).expect("a connection is opened");
    let connection = connections.get_mut(id).expect("the connection is open");
    connection.queue(b"POST");
    assert!(connection.flush());
    let (mut server, _) = listener.accept().expect("the server accepts");
    server.read_exact(&mut [0; 4]).expect("the server reads the request");
    socket2::SockRef::from(&server)
        .set_linger(Some(std::time::Duration::ZERO))
        .expect("the socket takes the linger option");
    drop(server);
    while connection.peer_ip().is_some() {
        std::thread::yield_now();
    }
    assert_eq!(connection.poll_established(), Some(true));
}

/// Guards against a refused connection that counts as one still in progress once its socket has reported the error.
#[test]
fn a_refused_connection_stays_refused() {
    let event_loop = EventLoop::<'static, NoOpHandler>::try_new().expect("an event loop");
    let mut connections: Connections<NoOpHandler, ()> = Connections::new(event_loop.handle());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("the listener's address");
    drop(listener);
    let stream = pulleystair_connections::connect(address).expect("the connection is in progress");
    let id = connections.open(stream, None, ()).expect("a connection is opened");
    let connection = connections.get_mut(id).expect("the connection is open");
    while connection.poll_established().is_none() {
        std::thread::yield_now();
    }
    for _ in 0..2 {
        assert_eq!((connection.poll_established(), connection.is_refused()), (Some(false), true));
    }
}
