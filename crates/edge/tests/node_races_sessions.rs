//! Sessions that stand at a node, where the word of their end crosses another event: their hand-over, or the close of the connection on
//! which it is told. `docs/notes/crossings.md` has a row for each.

mod fake_peers;
mod node_fixture;

use fake_peers::{DnsServer, MediaServer, Node, ServerConnection, Viewer, encode_message, set_up_message};
use node_fixture::{NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_full_backlog};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

const HANDED_OVER_AT_FIRST: (u8, &str) = (18, "home:0;copies:1;top:1;at:s-0000000a");

/// The server tells of ends on the first connection that it sees, of which the hand-over is still to come.
#[test]
fn a_session_that_is_handed_over_after_its_servers_release_is_over() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(120, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    let mut connection = fixture.servers[0].accept();
    connection.send_request("TEARDOWN", 121, "Reason: cause=41\r\n");
    connection.end_play(&mut viewer, 120);
    viewer.send(&set_up_message(121, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    assert_eq!(viewer.expect_message(RELEASE, 121).cause(), 41);
    // What is handed over once more after its end was told stays over.
    viewer.send(&set_up_message(121, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    viewer.send(&set_up_message(120, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    viewer.expect_no_message();
    fixture.node.wait_for_log("sessions=0");
}

/// The end is told on the connection that is being read, and more waits there than is read at a time.
#[test]
fn what_waits_on_a_connection_as_an_end_is_told_on_it_is_not_lost() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(125, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    let mut connection = fixture.servers[0].accept();
    connection.send_request("TEARDOWN", 126, "Reason: cause=41\r\n");
    connection.end_play(&mut viewer, 125);
    fixture.node.while_paused(|| {
        let mut bytes = set_up_message(126, &[HANDED_OVER_AT_FIRST, (6, "0")]);
        // Progress, which means nothing, and then a test.
        (0..6_000).for_each(|_| bytes.extend(encode_message(6, 126, &[])));
        bytes.extend(encode_message(52, 127, &[(45, &[0])]));
        viewer.send(&bytes);
    });
    assert_eq!(viewer.expect_message(RELEASE, 126).cause(), 41);
    viewer.expect_message(53, 127);
}

/// Its viewer ends it on one connection while another hands it over.
#[test]
fn a_session_that_is_handed_over_after_its_viewers_release_is_ended_at_its_server() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&encode_message(RELEASE, 122, &[(45, &[19])]));
    viewer.expect_no_message();
    let mut other = fixture.node.connect_viewer();
    other.send(&set_up_message(122, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    let cut = fixture.servers[0].accept().expect_request("TEARDOWN");
    assert_eq!((cut.session(), cut.header("Reason")), (122, Some("cause=19")));
}

/// Handed over and ended in one go, while no connection to its server comes up in time.
#[test]
fn an_end_that_its_connection_could_not_carry_is_told_on_the_next() {
    let mut fixture = start_with_full_backlog(&[]);
    let mut viewer = fixture.node.connect_viewer();
    let mut both = set_up_message(123, &[HANDED_OVER_AT_FIRST, (6, "0")]);
    both.extend(encode_message(RELEASE, 123, &[(45, &[19])]));
    viewer.send(&both);
    // The time to make the first connection has passed by then.
    fixture.dns.wait_for_queries(5);
    fixture.servers[0].drain_backlog();
    let cut = fixture.servers[0].accept().next_request().expect("an end");
    assert_eq!((cut.method(), cut.session(), cut.header("Reason")), ("TEARDOWN", 123, Some("cause=19")));
}

/// The list of the start lacks its server, and the name service is silent: it may be on the list that comes.
#[test]
fn a_session_at_a_server_that_no_list_has_told_of_yet_is_not_over() {
    let servers = [MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let dns = DnsServer::start(servers.iter().map(MediaServer::dns_record).collect());
    dns.update_zone(|zone| (zone.serial, zone.mode) = (2, fake_peers::DnsMode::Silent));
    let node = Node::start(&Node::config(dns.addr, &[&servers[1]], 256, 3_000_000));
    let mut viewer = node.connect_viewer();
    viewer.send(&set_up_message(124, &[HANDED_OVER_AT_FIRST, (6, "0")]));
    viewer.expect_no_message();
    // Two looks at the servers and more.
    dns.wait_for_queries(8);
    dns.update_zone(|zone| zone.mode = fake_peers::DnsMode::Normal);
    servers[0].accept().end_play(&mut viewer, 124);
}

// ---- the word of an end, and the close of the connection that it is told on ----

/// A viewer with a session that stands, another of the same address that has asked for something, and the session's connection.
fn two_viewers(fixture: &NodeFixture, session: u64) -> (Viewer, Viewer, ServerConnection) {
    let (mut first, mut other) = (fixture.node.connect_viewer(), fixture.node.connect_viewer());
    let mut connection = fixture.start_session(&mut first, session);
    other.send(&set_up_message(session + 1, &[TITLE_AT_FIRST]));
    connection.serve_set_up(&mut other, session + 1);
    (first, other, connection)
}

/// The end has come to its viewer's machine, and nobody reads it there any more.
#[test]
fn an_end_that_its_viewer_has_not_read_as_it_closed_is_told_on_another_connection() {
    let fixture = start_fixture();
    let (first, mut other, mut connection) = two_viewers(&fixture, 130);
    connection.send_request("TEARDOWN", 130, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    // Half a second of the node's own time: what was written then crosses nothing.
    fixture.dns.wait_for_queries(3);
    drop(first);
    assert_eq!(other.expect_message(RELEASE, 130).cause(), 41);
    other.expect_no_message();
}

/// Of several that are there, one of its own address, though another has come later: a connection that was broken off has none any more.
#[test]
fn an_end_that_was_not_read_is_told_where_its_viewer_is() {
    let fixture = start_fixture();
    let here = [127, 0, 0, 2];
    let (mut first, mut own, mut another) = (
        fixture.node.connect_viewer_from(here),
        fixture.node.connect_viewer_from(here),
        fixture.node.connect_viewer(),
    );
    let mut connection = fixture.start_session(&mut first, 160);
    for (viewer, play) in [(&mut own, 161), (&mut another, 162)] {
        viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(viewer, play);
    }
    connection.send_request("TEARDOWN", 160, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    drop(first);
    assert_eq!(own.expect_message(RELEASE, 160).cause(), 41);
    another.expect_no_message();
}

/// Nobody is there to be told: whoever asks for something next is.
#[test]
fn an_end_that_its_viewer_has_not_read_is_told_to_whoever_comes() {
    let fixture = start_fixture();
    let mut first = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first, 132);
    connection.send_request("TEARDOWN", 132, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    fixture.dns.wait_for_queries(3);
    drop(first);
    let mut next = fixture.node.connect_viewer();
    next.send(&set_up_message(133, &[TITLE_AT_FIRST]));
    assert_eq!(next.expect_message(RELEASE, 132).cause(), 41);
    connection.serve_set_up(&mut next, 133);
}

/// It reads nothing at all, and is closed for that with the end among what it has not read.
#[test]
fn an_end_told_to_a_viewer_that_reads_nothing_is_told_on_another_connection() {
    let fixture = start_fixture();
    let (mut first, mut other, mut connection) = two_viewers(&fixture, 134);
    connection.send_request("TEARDOWN", 134, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    fixture.dns.wait_for_queries(3);
    let tests = encode_message(52, 136, &[(45, &[0])]).repeat(1_000);
    while first.stream.write_all(&tests).is_ok() {}
    assert_eq!(other.expect_message(RELEASE, 134).cause(), 41);
    drop(first);
}

/// The end and the close come in the same instant, whichever the node looks at first.
#[test_case(true; "the end first")]
#[test_case(false; "the close first")]
fn an_end_in_the_instant_in_which_its_viewer_closes_is_told_on_another_connection(end_first: bool) {
    let fixture = start_fixture();
    let (first, mut other, mut connection) = two_viewers(&fixture, 137);
    let mut first = Some(first);
    fixture.node.while_paused(|| {
        first.take_if(|_| !end_first);
        connection.send_request("TEARDOWN", 137, "Reason: cause=41\r\n");
        first.take();
    });
    assert_eq!(other.expect_message(RELEASE, 137).cause(), 41);
    other.expect_no_message();
}

/// It closes its side before it has read the end, which comes to nobody then: the close may be seen first, and that it was not read
/// only later. Which of them is, is the machine's, so that it is done some times.
#[test]
fn an_end_that_crosses_its_viewers_close_is_told_on_another_connection() {
    let fixture = start_fixture();
    let (mut first, mut other, mut connection) = two_viewers(&fixture, 149);
    for play in 139..149 {
        first.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut first, play);
        connection.send_request("TEARDOWN", play, "Reason: cause=41\r\n");
        first.stream.peek(&mut [0]).expect("the end comes");
        first.stream.shutdown(Shutdown::Write).expect("so");
        first = fixture.node.connect_viewer();
        assert_eq!(other.expect_message(RELEASE, play).cause(), 41);
    }
    other.expect_no_message();
}

/// An end that was read before its viewer closed is told nobody else.
#[test]
fn an_end_that_was_read_is_told_once() {
    let fixture = start_fixture();
    let (mut first, mut other, mut connection) = two_viewers(&fixture, 151);
    connection.end_play(&mut first, 151);
    let held = fixture.node.descriptor_count();
    drop(first);
    let started_at = Instant::now();
    while fixture.node.descriptor_count() >= held {
        assert!(started_at.elapsed() < fake_peers::TIMEOUT, "its connection is closed");
        std::thread::sleep(Duration::from_millis(5));
    }
    other.expect_no_message();
}
