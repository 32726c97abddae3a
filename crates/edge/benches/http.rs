//! Compares two HTTP servers on a calloop event loop: `GET` requests on persistent connections are answered with
//! 1 kB, by the front's own codec on httparse, and by hyper on calloop's executor.
//! `cargo bench -p pulleystair-edge --bench http`.

use calloop::generic::Generic;
use calloop::io::Async;
use calloop::{EventLoop, Interest, Mode, PostAction};
use futures_io::{AsyncRead, AsyncWrite};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use pulleystair_edge::http;
use std::convert::Infallible;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::mpsc;
use std::task::{Context, Poll};
use std::thread;
use std::time::{Duration, Instant};

const BODY: [u8; 1024] = [b'x'; 1024];
const CONNECTIONS: usize = 32;
const REQUEST: &[u8] = b"GET /s/pass/0/1.m4s HTTP/1.1\r\nHost: front\r\n\r\n";
const RUN_TIME: Duration = Duration::from_secs(4);

/// A calloop stream with hyper's I/O traits.
struct HyperStream(Async<'static, TcpStream>);

impl hyper::rt::Read for HyperStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        mut into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut part = [0; 8192];
        let max_bytes = part.len().min(into.remaining());
        Pin::new(&mut self.0)
            .poll_read(context, &mut part[..max_bytes])
            .map_ok(|n| into.put_slice(&part[..n]))
    }
}

impl hyper::rt::Write for HyperStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, from: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, from)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}

/// Serves the listener's connections by hyper, for ever.
fn serve_with_hyper(listener: TcpListener) {
    let mut events: EventLoop<()> = EventLoop::try_new().expect("a loop");
    let (executor, scheduler) = calloop::futures::executor::<()>().expect("an executor");
    events.handle().insert_source(executor, |(), (), ()| ()).expect("the executor runs");
    let handle = events.handle();
    listener.set_nonblocking(true).expect("a socket");
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let accepted = move |_, listener: &mut calloop::generic::NoIoDrop<TcpListener>, _: &mut ()| {
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nodelay(true)?;
            let stream = HyperStream(handle.adapt_io(stream).map_err(io::Error::other)?);
            let connection = http1::Builder::new().serve_connection(
                stream,
                service_fn(|_| async {
                    Ok::<_, Infallible>(hyper::Response::new(Full::new(Bytes::from_static(&BODY))))
                }),
            );
            let _ = scheduler.schedule(async move {
                let _ = connection.await;
            });
        }
        Ok(PostAction::Continue)
    };
    events.handle().insert_source(source, accepted).expect("the listener is registered");
    loop {
        events.dispatch(None, &mut ()).expect("the loop runs");
    }
}

/// Serves the listener's connections by the front's codec, for ever.
fn serve_with_codec(listener: TcpListener) {
    let mut events: EventLoop<()> = EventLoop::try_new().expect("a loop");
    let handle = events.handle();
    listener.set_nonblocking(true).expect("a socket");
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let accepted = move |_, listener: &mut calloop::generic::NoIoDrop<TcpListener>, _: &mut ()| {
        while let Ok((stream, _)) = listener.accept() {
            stream.set_nodelay(true)?;
            stream.set_nonblocking(true)?;
            let (mut input, mut output) = (Vec::new(), Vec::new());
            let source = Generic::new(stream, Interest::READ, Mode::Level);
            let ready = move |_, stream: &mut calloop::generic::NoIoDrop<TcpStream>, _: &mut ()| {
                let mut part = [0; 8192];
                match (&**stream).read(&mut part) {
                    Ok(0) | Err(_) => return Ok(PostAction::Remove),
                    Ok(n) => input.extend_from_slice(&part[..n]),
                }
                while let Ok(Some((request, used))) = http::parse_request(&input, 8192) {
                    input.drain(..used);
                    output.clear();
                    http::write_response_head(&mut output, 200, BODY.len() as u64, request.keep_alive, &[]);
                    output.extend_from_slice(&BODY);
                    (&**stream).write_all(&output)?;
                }
                Ok(PostAction::Continue)
            };
            handle.insert_source(source, ready).map_err(io::Error::other)?;
        }
        Ok(PostAction::Continue)
    };
    events.handle().insert_source(source, accepted).expect("the listener is registered");
    loop {
        events.dispatch(None, &mut ()).expect("the loop runs");
    }
}

/// Sends requests one after another on each connection for the run time. Returns how many were answered.
fn send_requests(address: SocketAddr) -> usize {
    let ends_at = Instant::now() + RUN_TIME;
    let client = move || {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        let (mut part, mut answered) = ([0; 8192], 0);
        while Instant::now() < ends_at {
            stream.write_all(REQUEST).expect("the request is written");
            let mut received = 0;
            let mut response_length = usize::MAX;
            while received < response_length {
                let n = stream.read(&mut part[received..]).expect("a response is read");
                assert!(n > 0, "the connection stays open");
                received += n;
                let head = part[..received].windows(4).position(|w| w == b"\r\n\r\n");
                response_length = head.map_or(usize::MAX, |at| at + 4 + BODY.len());
            }
            answered += 1;
        }
        answered
    };
    let clients: Vec<_> = (0..CONNECTIONS).map(|_| thread::spawn(client)).collect();
    clients.into_iter().map(|c| c.join().expect("the client does not panic")).sum()
}

/// CPU time of this process's thread `thread_id`, ms, in steps of 10.
fn cpu_ms(thread_id: i32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{thread_id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit_once(") ").map_or("", |s| s.1).split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

/// Measures and prints the requests per second and the CPU time per request of one server. Returns the former.
fn measure(name: &str, serve: fn(TcpListener)) -> f64 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (id_sender, id_receiver) = mpsc::channel();
    thread::spawn(move || {
        let link = std::fs::read_link("/proc/thread-self").expect("the thread's entry in /proc");
        let thread_id = link.file_name().and_then(|n| n.to_str()).and_then(|n| n.parse().ok()).unwrap_or(0);
        id_sender.send(thread_id).expect("the receiver waits");
        serve(listener);
    });
    let thread_id: i32 = id_receiver.recv().expect("the thread starts");
    let cpu_before = cpu_ms(thread_id);
    let answered = send_requests(address);
    let cpu_us = (cpu_ms(thread_id) - cpu_before) * 1000.0 / answered as f64;
    let requests_s = answered as f64 / RUN_TIME.as_secs_f64();
    println!("{name:<28} {requests_s:>9.0} requests/s {cpu_us:>8.2} us CPU of the loop per request");
    requests_s
}

fn main() {
    // With `--test` the bench only checks that it starts.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    for round in 1..=3 {
        println!("round {round}, {CONNECTIONS} persistent connections, 1 kB responses");
        let codec = measure("own codec on httparse", serve_with_codec);
        let hyper = measure("hyper on calloop's executor", serve_with_hyper);
        println!("own/hyper {:.2}", codec / hyper);
    }
}
