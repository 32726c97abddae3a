//! Viewers that send as much as they can, or hold as much as they can, while others use the node as usual.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, MediaServer, Viewer, encode_message, hand_over_message, rtsp_response, set_up_message,
};
use node_fixture::{ANSWER, NodeFixture, RELEASE, SET_UP, start_with_replacements, start_with_servers};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A set-up is lost if its answer takes longer: the time limit of 3 s, half a second, and the slack of 50 ms.
const ANSWER_DEADLINE: Duration = Duration::from_millis(3_550);
/// The smallest limit of memory that a node is given, kB.
const MEMORY_LIMIT_KB: usize = 32 << 10;
/// Replacement in the configuration: that limit.
const SMALL_MEMORY: (&str, &str) = (r#""memory_mb":64"#, r#""memory_mb":32"#);
/// Set-up parameters: only the second server, or only the first one, holds the title.
const TITLE_AT_SECOND: (u8, &str) = (18, "home:1;copies:1;top:1;viewer:00000000b4d65521");
const TITLE_AT_FIRST: (u8, &str) = node_fixture::TITLE_AT_FIRST;

/// Answers every set-up on a connection of the node with 200.
fn serve_connection(mut stream: TcpStream) {
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        input.extend_from_slice(&chunk[..n]);
        while let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).to_string();
            let field = |name: &str| {
                let value = head.split("\r\n").find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
                value.expect("the field is there").to_string()
            };
            let length: usize = field("Content-Length").parse().expect("a number");
            if input.len() < end + 4 + length {
                break;
            }
            input.drain(..end + 4 + length);
            let session = u64::from_str_radix(&field("Session"), 16).expect("hex");
            let response = rtsp_response(200, "1", session, DESCRIPTION);
            if head.starts_with("SETUP") && stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Serves the set-ups at this server from now on.
fn serve(server: MediaServer) {
    std::thread::spawn(move || {
        loop {
            while !server.has_connection() {
                std::thread::sleep(Duration::from_millis(2));
            }
            let stream = server.accept().into_stream();
            std::thread::spawn(move || serve_connection(stream));
        }
    });
}

/// Starts a node with these replacements and 1,024 sockets, whose second server serves its set-ups; the first one accepts connections
/// and reads nothing.
fn start_node(replacements: &[(&str, &str)]) -> NodeFixture {
    let servers = vec![MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let mut fixture = start_with_servers(servers, 1_024, replacements);
    serve(fixture.servers.remove(1));
    fixture
}

/// Sends a set-up for a title at the second server ten times a second, and asserts that each is answered in time.
fn assert_served(fixture: &NodeFixture, set_ups: u64) {
    let mut viewer = fixture.node.connect_viewer();
    for play in 1..=set_ups {
        let sent_at = Instant::now();
        viewer.send(&set_up_message(play, &[TITLE_AT_SECOND]));
        viewer.expect_message(ANSWER, play);
        assert!(sent_at.elapsed() < ANSWER_DEADLINE, "{:?}", sent_at.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Reads and drops what the node sends on this connection.
fn discard_input(viewer: &Viewer) {
    let mut stream = viewer.stream.try_clone().expect("a second descriptor");
    std::thread::spawn(move || while matches!(stream.read(&mut [0; 16384]), Ok(1..)) {});
}

/// A set-up and its withdrawal, under this id.
fn set_up_taken_back(play: u64, time_limit_ms: &str) -> Vec<u8> {
    let mut bytes = set_up_message(play, &[TITLE_AT_SECOND, (6, time_limit_ms)]);
    bytes.extend(encode_message(RELEASE, play, &[(45, &[16])]));
    bytes
}

/// Three viewers take hundreds of set-ups back at once, again and again. Guards against a cost of each set-up that grows with the
/// number of recent ones (review/6).
#[test]
fn set_ups_taken_back_at_once_delay_no_other_viewer() {
    let fixture = start_node(&[(r#""seenAfterUs":500000"#, r#""seenAfterUs":1200000"#)]);
    for client in 1..=3_u64 {
        let mut viewer = fixture.node.connect_viewer();
        discard_input(&viewer);
        std::thread::spawn(move || {
            for round in 0.. {
                let first = client << 40 | round << 10;
                let bytes: Vec<u8> =
                    (first..first + 900).flat_map(|play| set_up_taken_back(play, "3000")).collect();
                if viewer.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
        });
    }
    std::thread::sleep(Duration::from_secs(2));
    assert_served(&fixture, 20);
}

/// A hundred connections hold as many small messages as their buffers take when the usual viewer connects. Guards against a turn of
/// the event loop in which all input of one connection is handled before that of the next.
#[test]
fn small_messages_on_many_connections_delay_no_other_viewer() {
    let fixture = start_node(&[]);
    let mut viewers: Vec<Viewer> = (0..100).map(|_| fixture.node.connect_viewer()).collect();
    viewers.iter().for_each(discard_input);
    let health_checks = encode_message(52, 7, &[(45, &[0])]).repeat(4_000);
    fixture.node.while_paused(|| {
        for viewer in &mut viewers {
            viewer.stream.set_write_timeout(Some(Duration::from_millis(10))).expect("a write timeout");
            while viewer.stream.write_all(&health_checks).is_ok() {}
        }
    });
    assert_served(&fixture, 5);
}

/// The only attempt of a set-up may take as long as its viewer waits. Guards against timers that stay until then although the set-up
/// was taken back: memory grew without end.
#[test]
fn set_ups_taken_back_leave_no_timers() {
    let fixture = start_node(&[(r#""attemptsCap":4"#, r#""attemptsCap":1"#)]);
    let mut viewer = fixture.node.connect_viewer();
    let bytes: Vec<u8> = (1..=10_000).flat_map(|play| set_up_taken_back(play, "600000")).collect();
    viewer.send(&bytes);
    viewer.expect_no_message();
    let line = fixture.node.wait_for_log("sums=");
    let timers: usize =
        line.rsplit_once("clocks=").expect("the number of timers").1.parse().expect("a number");
    assert!(timers < 100, "{timers} timers");
}

/// Viewers hand sessions over at a server that reads nothing, and release them. Guards against output and TEARDOWNs towards a server
/// that grow without end.
#[test]
fn teardowns_for_a_server_that_reads_nothing_are_limited() {
    let fixture = start_node(&[SMALL_MEMORY]);
    let mut viewer = fixture.node.connect_viewer();
    discard_input(&viewer);
    for first in (1..200_000_u64).step_by(1_000) {
        let hand_overs = (first << 20..).take(1_000).flat_map(|play| {
            let mut bytes = hand_over_message(play, "s-0000000a");
            bytes.extend(encode_message(RELEASE, play, &[(45, &[16])]));
            bytes
        });
        viewer.send(&hand_overs.collect::<Vec<u8>>());
    }
    assert_served(&fixture, 1);
    assert!(fixture.node.memory_kb() < MEMORY_LIMIT_KB, "{} kB", fixture.node.memory_kb());
}

/// Hundreds of viewers each send set-ups of the greatest length for a server that reads nothing, and half of a further one. Guards
/// against descriptions and input that together pass the limit of memory.
#[test]
fn large_set_ups_of_hundreds_of_viewers_stay_within_the_memory() {
    let fixture = start_node(&[SMALL_MEMORY]);
    let description = "x".repeat(16_000);
    let mut viewers: Vec<Viewer> = (0..600).map(|_| fixture.node.connect_viewer()).collect();
    for (i, viewer) in viewers.iter_mut().enumerate() {
        let first = (i as u64 + 1) << 20;
        let set_up = |play| set_up_message(play, &[TITLE_AT_FIRST, (48, &description)]);
        let mut bytes: Vec<u8> = (first..first + 4).flat_map(set_up).collect();
        bytes.extend_from_slice(&set_up(first + 4)[..16_000]);
        viewer.send(&bytes);
    }
    assert_served(&fixture, 5);
    assert!(fixture.node.memory_kb() < MEMORY_LIMIT_KB, "{} kB", fixture.node.memory_kb());
}

/// Hundreds of viewers each send messages of thousands of empty parameters. Guards against input that costs much for its length.
#[test]
fn messages_of_many_short_parameters_delay_no_other_viewer() {
    let fixture = start_with_replacements(1_024, &[SMALL_MEMORY]);
    let parameters: Vec<(u8, &[u8])> = vec![(200, b""); 5_400];
    let message = encode_message(SET_UP, 9, &parameters);
    let mut fixture = fixture;
    serve(fixture.servers.remove(1));
    let mut viewers: Vec<Viewer> = (0..300).map(|_| fixture.node.connect_viewer()).collect();
    viewers.iter().for_each(discard_input);
    fixture.node.while_paused(|| {
        for viewer in &mut viewers {
            viewer.stream.set_write_timeout(Some(Duration::from_millis(10))).expect("a write timeout");
            while viewer.stream.write_all(&message).is_ok() {}
        }
    });
    assert_served(&fixture, 5);
    assert!(fixture.node.memory_kb() < MEMORY_LIMIT_KB, "{} kB", fixture.node.memory_kb());
}
