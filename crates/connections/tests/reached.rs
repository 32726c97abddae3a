//! Whether a connection that was broken off was ever made.

use calloop::EventLoop;
use pulleystair_connections::{ConnectionHandler, ConnectionId, Connections};
use std::io::Read;
use std::net::{TcpListener, TcpStream};

struct Nobody;

impl ConnectionHandler for Nobody {
    fn connection_ready(&mut self, _: ConnectionId) {}
}

/// The loop was busy: the server read the set-up, ran it and reset the connection before this front looked. Taken
/// for a server that was never reached, a paid set-up would be sent a second time.
#[test]
fn a_server_that_read_the_request_and_reset_was_reached() {
    let event_loop = EventLoop::<'static, Nobody>::try_new().expect("a loop");
    let mut lines: Connections<Nobody, ()> = Connections::new(event_loop.handle());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    let key = lines.open(stream, None, ()).expect("a line");
    let line = lines.get_mut(key).expect("it is open");
    line.write(b"POST");
    assert!(line.flush());
    let (mut server, _) = listener.accept().expect("the server takes it");
    server.read_exact(&mut [0; 4]).expect("and reads it");
    socket2::SockRef::from(&server).set_linger(Some(std::time::Duration::ZERO)).expect("to be reset");
    drop(server);
    while line.peer_ip().is_some() {
        std::thread::yield_now();
    }
    assert_eq!(line.connected(), Some(true));
}
