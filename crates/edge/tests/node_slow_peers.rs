//! Peers that are slow or rude at a node, and what goes on beside them; a node that comes back while what it was lingers.
//! `docs/notes/crossings.md` has a row for each.

mod fake_peers;
mod node_fixture;

use fake_peers::{DESCRIPTION, DnsMode, Node, encode_message, rtsp_response, set_up_message};
use node_fixture::{ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_replacements};
use std::net::Shutdown;
use test_case::test_case;

/// Title at the second host only.
const TITLE_AT_SECOND: (u8, &str) = (18, "home:1;copies:1;top:1;viewer:00000000b4d65521");
const PAID: (&str, &str) = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
const LONG_TIMEOUTS: (&str, &str) = (r#""aimUs":2000000"#, r#""aimUs":90000000"#);

/// So many sessions are set up at the second host and come to their end.
fn run_sessions_at_second(fixture: &NodeFixture, from: u64, count: u64) {
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(from, &[TITLE_AT_SECOND]));
    let mut connection = fixture.servers[1].accept();
    connection.serve_set_up(&mut viewer, from);
    for play in from + 1..from + count {
        viewer.send(&set_up_message(play, &[TITLE_AT_SECOND]));
        connection.serve_set_up(&mut viewer, play);
        connection.end_play(&mut viewer, play);
    }
}

/// Between any two bytes of its answer others are served, and then so is its own.
#[test]
fn a_server_that_speaks_a_byte_at_a_time_holds_up_nobody() {
    let fixture = start_with_replacements(256, &[LONG_TIMEOUTS]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(301, &[TITLE_AT_FIRST, (6, "60000")]));
    let (mut connection, request) = fixture.next_set_up(0);
    let mut other = fixture.node.connect_viewer();
    other.send(&set_up_message(400, &[TITLE_AT_SECOND]));
    let mut beside = fixture.servers[1].accept();
    beside.serve_set_up(&mut other, 400);
    for (byte, play) in rtsp_response(200, "1", request.session(), DESCRIPTION).chars().zip(401..) {
        connection.send(&byte.to_string());
        other.send(&set_up_message(play, &[TITLE_AT_SECOND]));
        beside.serve_set_up(&mut other, play);
        beside.end_play(&mut other, play);
    }
    assert_eq!(viewer.expect_message(ANSWER, 301).parameter(48), Some(DESCRIPTION.as_bytes()));
}

/// Between any two bytes of its set-up others are served, and then so is its own.
#[test]
fn a_viewer_that_speaks_a_byte_at_a_time_holds_up_nobody() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    // It has proven to be one: only what has brought nothing is closed for being slow.
    let mut connection = fixture.start_session(&mut viewer, 302);
    let mut other = fixture.node.connect_viewer();
    let bytes = set_up_message(303, &[TITLE_AT_FIRST]);
    let (last, first) = bytes.split_last().expect("bytes");
    for (byte, play) in first.iter().zip(500..) {
        viewer.send(&[*byte]);
        other.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut other, play);
        connection.end_play(&mut other, play);
    }
    viewer.send(&[*last]);
    connection.serve_set_up(&mut viewer, 303);
}

/// How much of an answer comes before the connection ends.
#[test_case(20, false; "in its head, closed")]
#[test_case(20, true; "in its head, reset")]
#[test_case(100, false; "in its body, closed")]
#[test_case(100, true; "in its body, reset")]
fn an_answer_that_breaks_off_has_not_come(bytes: usize, reset: bool) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(304, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let whole = rtsp_response(200, "1", request.session(), DESCRIPTION);
    let head = whole.find("\r\n\r\n").expect("a head") + 4;
    assert!(bytes < whole.len() && (bytes < head) == (bytes == 20));
    connection.send(&whole[..bytes]);
    if reset {
        connection.reset();
    } else {
        connection.close();
    }
    // It may be made again, and is.
    fixture.servers[0].accept().serve_set_up(&mut viewer, 304);
    run_sessions_at_second(&fixture, 600, 3);
}

/// A paid one has run, and is not made again.
#[test]
fn a_paid_answer_that_breaks_off_is_answered_as_failed() {
    let fixture = start_with_replacements(256, &[PAID]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(305, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let whole = rtsp_response(200, "1", request.session(), DESCRIPTION);
    connection.send(&whole[..whole.len() - 3]);
    connection.close();
    assert_eq!(viewer.expect_message(RELEASE, 305).cause(), 41);
    viewer.expect_no_message();
    assert!(
        !fixture.servers[0].has_connection() && !fixture.servers[1].has_connection(),
        "nothing was sent again"
    );
}

/// The whole answer comes with the connection's end, in one go: it counts, and the session stands.
#[test]
fn an_answer_whose_connection_ends_after_the_body_counts() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(306, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.while_paused(|| {
        connection.respond(&request, 200, DESCRIPTION);
        connection.close();
    });
    viewer.expect_message(ANSWER, 306);
    // The server is called, as it may have something to say, and what stood still stands.
    fixture.servers[0].accept().end_play(&mut viewer, 306);
}

// ---- a node that comes back ----

/// A node at the address of the one before, while the name service is silent.
fn restart_node(fixture: &NodeFixture) -> Node {
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let servers: Vec<_> = fixture.servers.iter().collect();
    let config = Node::config(fixture.dns.addr, &servers, 256, 3_000_000);
    let listen = format!(r#""listen":"{}""#, fixture.node.addr);
    Node::start(&config.replace(r#""listen":"127.0.0.1:0""#, &listen))
}

/// Connections of the one before linger at its viewers; the next listens there at once, passes its test and takes over, with the
/// name service silent all the while.
#[test_case("TERM"; "told to stop")]
#[test_case("KILL"; "killed")]
fn a_node_comes_back_at_its_address_while_connections_to_it_linger(signal: &str) {
    let mut fixture = start_fixture();
    let mut lingers = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut lingers, 310);
    let idle: Vec<_> = (0..20).map(|_| fixture.node.connect_viewer()).collect();
    fixture.node.send_signal(signal);
    assert_eq!(fixture.node.wait_for_exit().success(), signal == "TERM");
    let node = restart_node(&fixture);
    let mut viewer = node.connect_viewer();
    viewer.expect_no_message();
    viewer.send(&set_up_message(310, &[(18, "home:0;copies:1;top:1;at:s-0000000a"), (6, "0")]));
    let mut anew = fixture.servers[0].accept();
    anew.end_play(&mut viewer, 310);
    viewer.send(&set_up_message(311, &[TITLE_AT_FIRST]));
    anew.serve_set_up(&mut viewer, 311);
    assert_eq!(lingers.next_message(), None);
    drop((connection, idle));
}

/// Half of a set-up had come on a connection to the one before; the other half comes to nobody, and a new connection is a new one.
#[test]
fn half_a_set_up_to_the_node_before_is_nothing_to_the_next() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.expect_no_message();
    let bytes = set_up_message(312, &[TITLE_AT_FIRST]);
    viewer.send(&bytes[..30]);
    fixture.node.send_signal("KILL");
    fixture.node.wait_for_exit();
    let node = restart_node(&fixture);
    viewer.send(&bytes[30..]);
    let _ = viewer.stream.shutdown(Shutdown::Write);
    assert_eq!(viewer.next_message(), None);
    let mut again = node.connect_viewer();
    again.send(&encode_message(RELEASE, 312, &[(45, &[16])]));
    again.send(&set_up_message(313, &[TITLE_AT_FIRST]));
    fixture.servers[0].accept().serve_set_up(&mut again, 313);
}
