//! Slow or misbehaving peers of a node and their effect on other plays; restarts of a node while its old connections linger.
//! `docs/notes/crossings.md` has a row for each case.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, DnsMode, Node, encode_message, hand_over_message, rtsp_response, set_up_message,
};
use node_fixture::{ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_replacements};
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Set-up parameter: only the second server holds the title.
const TITLE_AT_SECOND: (u8, &str) = (18, "home:1;copies:1;top:1;viewer:00000000b4d65521");
/// Replacement: set-ups are non-idempotent.
const NON_IDEMPOTENT: (&str, &str) = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
/// Replacement: the first-frame target is 90 s.
const LONG_TARGET: (&str, &str) = (r#""aimUs":2000000"#, r#""aimUs":90000000"#);

/// Sets up `count` sessions at the second server; all but the first are ended as well.
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

// ---- a slow name service ----

/// Guards against a node that forgets its queries before the name service has responded, and so never uses a list again: it would go on
/// sending set-ups to a server that drains.
#[test_case(2_500; "later than a dozen queries")]
#[test_case(7_000; "later than thirty queries")]
fn late_response_of_the_name_service_is_used(delay_ms: u64) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    fixture.dns.update_zone(|zone| {
        zone.delay = Duration::from_millis(delay_ms);
        (zone.serial, zone.records[0].draining) = (2, true);
    });
    fixture.node.wait_for_log("serial=2");
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(330, &[TITLE_AT_FIRST]));
    viewer.expect_message(RELEASE, 330);
    assert!(!fixture.servers[0].has_connection());
}

/// Guards against a reload that drops the queries under way: with reloads closer together than the name service is slow, no list would
/// ever be used.
#[test]
fn late_response_is_used_despite_reloads_in_quick_succession() {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    fixture.dns.update_zone(|zone| (zone.serial, zone.delay) = (2, Duration::from_millis(1_500)));
    let has_new_list = || fixture.node.log.lock().expect("the lock of the log").contains("serial=2");
    let changed_at = Instant::now();
    while !has_new_list() {
        assert!(changed_at.elapsed() < fake_peers::TIMEOUT, "the new list was not used in time");
        fixture.node.send_signal("HUP");
        std::thread::sleep(Duration::from_millis(300));
    }
}

// ---- slow servers and viewers ----

/// Other plays are served between any two bytes of the answer, and the slow one at the end.
#[test]
fn server_answering_byte_by_byte_delays_no_other_play() {
    let fixture = start_with_replacements(256, &[LONG_TARGET]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(301, &[TITLE_AT_FIRST, (6, "60000")]));
    let (mut connection, request) = fixture.next_set_up(0);
    let mut other_viewer = fixture.node.connect_viewer();
    other_viewer.send(&set_up_message(400, &[TITLE_AT_SECOND]));
    let mut other_connection = fixture.servers[1].accept();
    other_connection.serve_set_up(&mut other_viewer, 400);
    for (byte, play) in rtsp_response(200, "1", request.session(), DESCRIPTION).chars().zip(401..) {
        connection.send(&byte.to_string());
        other_viewer.send(&set_up_message(play, &[TITLE_AT_SECOND]));
        other_connection.serve_set_up(&mut other_viewer, play);
        other_connection.end_play(&mut other_viewer, play);
    }
    assert_eq!(viewer.expect_message(ANSWER, 301).parameter(48), Some(DESCRIPTION.as_bytes()));
}

/// Other viewers are served between any two bytes of the set-up, and the slow one at the end.
#[test]
fn viewer_sending_byte_by_byte_delays_no_other_viewer() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    // The viewer has an established session: only connections that never sent a message are closed for being slow.
    let mut connection = fixture.start_session(&mut viewer, 302);
    let mut other_viewer = fixture.node.connect_viewer();
    let bytes = set_up_message(303, &[TITLE_AT_FIRST]);
    let (last, first) = bytes.split_last().expect("bytes");
    for (byte, play) in first.iter().zip(500..) {
        viewer.send(&[*byte]);
        other_viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut other_viewer, play);
        connection.end_play(&mut other_viewer, play);
    }
    viewer.send(&[*last]);
    connection.serve_set_up(&mut viewer, 303);
}

/// The connection ends after this many bytes of the answer.
#[test_case(20, false; "in its head, closed")]
#[test_case(20, true; "in its head, reset")]
#[test_case(100, false; "in its body, closed")]
#[test_case(100, true; "in its body, reset")]
fn truncated_answer_is_retried(bytes: usize, reset: bool) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(304, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let response = rtsp_response(200, "1", request.session(), DESCRIPTION);
    let head = response.find("\r\n\r\n").expect("a head") + 4;
    assert!(bytes < response.len() && (bytes < head) == (bytes == 20));
    connection.send(&response[..bytes]);
    if reset {
        connection.reset();
    } else {
        connection.close();
    }
    // The set-up is idempotent and is tried again.
    fixture.servers[0].accept().serve_set_up(&mut viewer, 304);
    run_sessions_at_second(&fixture, 600, 3);
}

/// A non-idempotent set-up may have run and is not tried again.
#[test]
fn truncated_answer_to_a_non_idempotent_set_up_fails_the_play() {
    let fixture = start_with_replacements(256, &[NON_IDEMPOTENT]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(305, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let response = rtsp_response(200, "1", request.session(), DESCRIPTION);
    connection.send(&response[..response.len() - 3]);
    connection.close();
    assert_eq!(viewer.expect_message(RELEASE, 305).cause(), 41);
    viewer.expect_no_message();
    assert!(
        !fixture.servers[0].has_connection() && !fixture.servers[1].has_connection(),
        "the set-up was sent again"
    );
}

/// The whole answer arrives together with the close of the connection: it counts, and the session is established.
#[test]
fn answer_followed_by_connection_close_is_accepted() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(306, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.while_paused(|| {
        connection.respond(&request, 200, DESCRIPTION);
        connection.close();
    });
    viewer.expect_message(ANSWER, 306);
    // The node reconnects to the server, as that may report an end; the session goes on.
    fixture.servers[0].accept().end_play(&mut viewer, 306);
}

// ---- restarts ----

/// Starts a node at the address of the previous one, while the name service is silent.
fn restart_node(fixture: &NodeFixture) -> Node {
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let servers: Vec<_> = fixture.servers.iter().collect();
    let config = Node::config(fixture.dns.addr, &servers, 256, 3_000_000);
    let listen = format!(r#""listen":"{}""#, fixture.node.addr);
    Node::start(&config.replace(r#""listen":"127.0.0.1:0""#, &listen))
}

/// Connections to the previous node linger at its viewers. The next node listens at once, passes the health check and takes over,
/// with the name service silent throughout.
#[test_case("TERM"; "terminated")]
#[test_case("KILL"; "killed")]
fn node_restarts_at_its_address_while_old_connections_linger(signal: &str) {
    let mut fixture = start_fixture();
    let mut old_viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut old_viewer, 310);
    let idle_viewers: Vec<_> = (0..20).map(|_| fixture.node.connect_viewer()).collect();
    fixture.node.send_signal(signal);
    assert_eq!(fixture.node.wait_for_exit().success(), signal == "TERM");
    let node = restart_node(&fixture);
    let mut viewer = node.connect_viewer();
    viewer.expect_no_message();
    viewer.send(&hand_over_message(310, "s-0000000a"));
    let mut new_connection = fixture.servers[0].accept();
    new_connection.end_play(&mut viewer, 310);
    viewer.send(&set_up_message(311, &[TITLE_AT_FIRST]));
    new_connection.serve_set_up(&mut viewer, 311);
    assert_eq!(old_viewer.next_message(), None);
    drop((connection, idle_viewers));
}

/// Half of a set-up was sent to the previous node. The other half reaches no node, and a new connection starts from scratch.
#[test]
fn partial_set_up_is_not_carried_over_a_restart() {
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
    let mut new_viewer = node.connect_viewer();
    new_viewer.send(&encode_message(RELEASE, 312, &[(45, &[16])]));
    new_viewer.send(&set_up_message(313, &[TITLE_AT_FIRST]));
    fixture.servers[0].accept().serve_set_up(&mut new_viewer, 313);
}
