//! Races of the end of an established session with its hand-over, or with the close of the connection on which the viewer is notified.
//! The end notice is the release that the node sends to the viewer of a session that has ended. `docs/notes/crossings.md` has a row
//! for each race.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DnsMode, DnsServer, MediaServer, Node, ServerConnection, Viewer, encode_message, hand_over_message,
    set_up_message,
};
use node_fixture::{NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_full_backlog};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

/// The id of the first server, at which the sessions that are handed over play.
const FIRST_SERVER: &str = "s-0000000a";

/// On its first connection the server reports the end of a session whose hand-over has not arrived yet.
#[test]
fn session_handed_over_after_its_servers_teardown_is_released() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(120, FIRST_SERVER));
    let mut connection = fixture.servers[0].accept();
    connection.send_request("TEARDOWN", 121, "Reason: cause=41\r\n");
    connection.end_play(&mut viewer, 120);
    viewer.send(&hand_over_message(121, FIRST_SERVER));
    assert_eq!(viewer.expect_message(RELEASE, 121).cause(), 41);
    // A hand-over that is repeated after the end notice doesn't revive the session.
    viewer.send(&hand_over_message(121, FIRST_SERVER));
    viewer.send(&hand_over_message(120, FIRST_SERVER));
    viewer.expect_no_message();
    fixture.node.wait_for_log("sessions=0");
}

/// The end notice is sent on the connection that is being read, which holds more input than is read at a time.
#[test]
fn unread_input_survives_an_end_notice_on_the_same_connection() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(125, FIRST_SERVER));
    let mut connection = fixture.servers[0].accept();
    connection.send_request("TEARDOWN", 126, "Reason: cause=41\r\n");
    connection.end_play(&mut viewer, 125);
    fixture.node.while_paused(|| {
        let mut bytes = hand_over_message(126, FIRST_SERVER);
        // Progress messages, which are ignored, and then a health check.
        (0..6_000).for_each(|_| bytes.extend(encode_message(6, 126, &[])));
        bytes.extend(encode_message(52, 127, &[(45, &[0])]));
        viewer.send(&bytes);
    });
    assert_eq!(viewer.expect_message(RELEASE, 126).cause(), 41);
    viewer.expect_message(53, 127);
}

/// The viewer releases the session on one connection before another hands it over.
#[test]
fn session_handed_over_after_its_viewers_release_is_torn_down() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&encode_message(RELEASE, 122, &[(45, &[19])]));
    viewer.expect_no_message();
    let mut other_viewer = fixture.node.connect_viewer();
    other_viewer.send(&hand_over_message(122, FIRST_SERVER));
    let teardown = fixture.servers[0].accept().expect_request("TEARDOWN");
    assert_eq!((teardown.session(), teardown.header("Reason")), (122, Some("cause=19")));
}

/// The session is handed over and released at once, while no connection to its server completes in time.
#[test]
fn teardown_is_retried_on_the_next_connection() {
    let mut fixture = start_with_full_backlog(&[]);
    let mut viewer = fixture.node.connect_viewer();
    let mut hand_over_and_release = hand_over_message(123, FIRST_SERVER);
    hand_over_and_release.extend(encode_message(RELEASE, 123, &[(45, &[19])]));
    viewer.send(&hand_over_and_release);
    // At least 0.6 s: the first attempt to connect has timed out by then, after 0.25 s.
    fixture.dns.wait_for_queries(5);
    fixture.servers[0].drain_backlog();
    let teardown = fixture.servers[0].accept().next_request().expect("a teardown");
    assert_eq!(
        (teardown.method(), teardown.session(), teardown.header("Reason")),
        ("TEARDOWN", 123, Some("cause=19"))
    );
}

/// The list at start lacks the session's server and the name service is silent: a later list may hold it.
#[test]
fn session_at_a_server_not_yet_listed_is_kept() {
    let servers = [MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let dns = DnsServer::start(servers.iter().map(MediaServer::dns_record).collect());
    dns.update_zone(|zone| (zone.serial, zone.mode) = (2, fake_peers::DnsMode::Silent));
    let node = Node::start(&Node::config(dns.addr, &[&servers[1]], 256, 3_000_000));
    let mut viewer = node.connect_viewer();
    viewer.send(&hand_over_message(124, FIRST_SERVER));
    viewer.expect_no_message();
    // At least 1.05 s: more than two ticks of the server check, which are 0.5 s apart.
    dns.wait_for_queries(8);
    dns.update_zone(|zone| zone.mode = fake_peers::DnsMode::Normal);
    servers[0].accept().end_play(&mut viewer, 124);
}

/// The viewer's connection is reset, and the viewer hands its session, which the node holds, over on a new one. Guards against viewers
/// who are back and are not notified of the end (review/9). The session plays or waits for a list that names its server.
#[test_case(FIRST_SERVER, &[]; "a session that plays")]
#[test_case("s-0000000c", &[DnsMode::Silent]; "a session at a server not yet listed")]
fn end_is_sent_to_a_viewer_that_repeats_its_hand_over(server_id: &str, modes: &[DnsMode]) {
    let fixture = start_fixture();
    modes.iter().for_each(|mode| fixture.dns.update_zone(|zone| (zone.serial, zone.mode) = (2, *mode)));
    let mut first_viewer = fixture.node.connect_viewer();
    first_viewer.send(&hand_over_message(163, server_id));
    first_viewer.expect_no_message();
    first_viewer.reset();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(163, server_id));
    viewer.expect_no_message();
    if modes.is_empty() {
        // More than the time after which a connection is closed that is not a viewer's.
        fixture.dns.wait_for_queries(18);
        fixture.servers[0].accept().end_play(&mut viewer, 163);
    } else {
        fixture.dns.update_zone(|zone| zone.mode = DnsMode::Normal);
        assert_eq!(viewer.expect_message(RELEASE, 163).cause(), 41);
    }
}

// ---- the end notice and the close of its connection ----

/// Connects two viewers of the same address, each with an established session: of this id and of the next one. Returns them and the
/// connection to the server.
fn two_viewers(fixture: &NodeFixture, session: u64) -> (Viewer, Viewer, ServerConnection) {
    let (mut first_viewer, mut other_viewer) = (fixture.node.connect_viewer(), fixture.node.connect_viewer());
    let mut connection = fixture.start_session(&mut first_viewer, session);
    other_viewer.send(&set_up_message(session + 1, &[TITLE_AT_FIRST]));
    connection.serve_set_up(&mut other_viewer, session + 1);
    (first_viewer, other_viewer, connection)
}

/// The notice has reached the viewer's machine, and the viewer closes without reading it.
#[test]
fn unread_end_notice_is_resent_on_another_connection() {
    let fixture = start_fixture();
    let (first_viewer, mut other_viewer, mut connection) = two_viewers(&fixture, 130);
    connection.send_request("TEARDOWN", 130, "Reason: cause=41\r\n");
    first_viewer.stream.peek(&mut [0]).expect("the end notice arrives");
    // At least 0.3 s. Only a notice that was sent less than 50 ms before the viewer's close counts as possibly crossing it.
    fixture.dns.wait_for_queries(3);
    drop(first_viewer);
    assert_eq!(other_viewer.expect_message(RELEASE, 130).cause(), 41);
    other_viewer.expect_no_message();
}

/// The notice goes to a connection from the address of the closed one, although another viewer has connected later. The address is no
/// longer available from a connection that was reset.
#[test]
fn unread_end_notice_prefers_a_connection_from_the_same_address() {
    let fixture = start_fixture();
    let address = [127, 0, 0, 2];
    let (mut first_viewer, mut same_address_viewer, mut other_address_viewer) = (
        fixture.node.connect_viewer_from(address),
        fixture.node.connect_viewer_from(address),
        fixture.node.connect_viewer(),
    );
    let mut connection = fixture.start_session(&mut first_viewer, 160);
    for (viewer, play) in [(&mut same_address_viewer, 161), (&mut other_address_viewer, 162)] {
        viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(viewer, play);
    }
    connection.send_request("TEARDOWN", 160, "Reason: cause=41\r\n");
    first_viewer.stream.peek(&mut [0]).expect("the end notice arrives");
    drop(first_viewer);
    assert_eq!(same_address_viewer.expect_message(RELEASE, 160).cause(), 41);
    other_address_viewer.expect_no_message();
}

/// The address of a viewer whose connection is reset.
const AWAY: [u8; 4] = [127, 0, 0, 2];

/// Starts this session for a viewer at this address, and the next one for another viewer; then the first one's connection is reset.
/// Returns the other viewer, and the connection to the server.
fn reset_viewer_at(fixture: &NodeFixture, address: [u8; 4], session: u64) -> (Viewer, ServerConnection) {
    let (mut viewer, mut other_viewer) =
        (fixture.node.connect_viewer_from(address), fixture.node.connect_viewer());
    let mut connection = fixture.start_session(&mut viewer, session);
    other_viewer.send(&set_up_message(session + 1, &[TITLE_AT_FIRST]));
    connection.serve_set_up(&mut other_viewer, session + 1);
    viewer.reset();
    other_viewer.expect_no_message();
    (other_viewer, connection)
}

/// The viewer is back before its notice is due, at its address; another viewer is connected all the time. Guards against notices that
/// go to another viewer and count as sent (`foreign` in review/REPORT-2.md).
#[test]
fn end_notice_waits_for_a_connection_from_its_viewers_address() {
    let fixture = start_fixture();
    let (mut other_viewer, mut connection) = reset_viewer_at(&fixture, AWAY, 164);
    connection.send_request("TEARDOWN", 164, "Reason: cause=41\r\n");
    fixture.dns.wait_for_queries(1);
    let mut viewer = fixture.node.connect_viewer_from(AWAY);
    viewer.send(&hand_over_message(166, FIRST_SERVER));
    assert_eq!(viewer.expect_message(RELEASE, 164).cause(), 41);
    fixture.dns.wait_for_queries(8);
    other_viewer.expect_no_message();
}

/// The viewer does not come back within a second: another viewer's connection has to do. If it is back later, it is notified too.
#[test]
fn end_notice_is_sent_on_any_connection_after_a_wait() {
    let fixture = start_fixture();
    let (mut other_viewer, mut connection) = reset_viewer_at(&fixture, AWAY, 167);
    let ended_at = Instant::now();
    connection.send_request("TEARDOWN", 167, "Reason: cause=41\r\n");
    assert_eq!(other_viewer.expect_message(RELEASE, 167).cause(), 41);
    assert!(ended_at.elapsed() < Duration::from_secs(1));
    let mut viewer = fixture.node.connect_viewer_from(AWAY);
    viewer.send(&hand_over_message(169, FIRST_SERVER));
    assert_eq!(viewer.expect_message(RELEASE, 167).cause(), 41);
    other_viewer.expect_no_message();
}

/// No viewer is connected; the next one that sends a request receives the notice.
#[test]
fn unread_end_notice_is_kept_for_the_next_viewer() {
    let fixture = start_fixture();
    let mut first_viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first_viewer, 132);
    connection.send_request("TEARDOWN", 132, "Reason: cause=41\r\n");
    first_viewer.stream.peek(&mut [0]).expect("the end notice arrives");
    fixture.dns.wait_for_queries(3);
    drop(first_viewer);
    let mut next_viewer = fixture.node.connect_viewer();
    next_viewer.send(&set_up_message(133, &[TITLE_AT_FIRST]));
    assert_eq!(next_viewer.expect_message(RELEASE, 132).cause(), 41);
    connection.serve_set_up(&mut next_viewer, 133);
}

/// The viewer reads nothing and is closed for that, with the notice among its unread data.
#[test]
fn end_notice_to_a_viewer_that_reads_nothing_is_resent() {
    let fixture = start_fixture();
    let (mut first_viewer, mut other_viewer, mut connection) = two_viewers(&fixture, 134);
    connection.send_request("TEARDOWN", 134, "Reason: cause=41\r\n");
    first_viewer.stream.peek(&mut [0]).expect("the end notice arrives");
    fixture.dns.wait_for_queries(3);
    let health_checks = encode_message(52, 136, &[(45, &[0])]).repeat(1_000);
    while first_viewer.stream.write_all(&health_checks).is_ok() {}
    assert_eq!(other_viewer.expect_message(RELEASE, 134).cause(), 41);
    drop(first_viewer);
}

/// The session's end and the close of the viewer's connection arrive together, in either order.
#[test_case(true; "the end first")]
#[test_case(false; "the close first")]
fn end_notice_simultaneous_with_the_viewers_close_is_resent(end_first: bool) {
    let fixture = start_fixture();
    let (first_viewer, mut other_viewer, mut connection) = two_viewers(&fixture, 137);
    let mut first_viewer = Some(first_viewer);
    fixture.node.while_paused(|| {
        // Taking the viewer closes its connection.
        first_viewer.take_if(|_| !end_first);
        connection.send_request("TEARDOWN", 137, "Reason: cause=41\r\n");
        first_viewer.take();
    });
    assert_eq!(other_viewer.expect_message(RELEASE, 137).cause(), 41);
    other_viewer.expect_no_message();
}

/// The viewer closes its side before it has read the notice, which is then lost. The node may see the close first and only later that
/// the notice was not read. The order depends on the kernel, so that the case is repeated.
#[test]
fn end_notice_crossing_a_half_close_is_resent() {
    let fixture = start_fixture();
    let (mut first_viewer, mut other_viewer, mut connection) = two_viewers(&fixture, 149);
    for play in 139..149 {
        first_viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut first_viewer, play);
        connection.send_request("TEARDOWN", play, "Reason: cause=41\r\n");
        first_viewer.stream.peek(&mut [0]).expect("the end notice arrives");
        first_viewer.stream.shutdown(Shutdown::Write).expect("closing the write side");
        first_viewer = fixture.node.connect_viewer();
        assert_eq!(other_viewer.expect_message(RELEASE, play).cause(), 41);
    }
    other_viewer.expect_no_message();
}

/// A notice that was read before its viewer closed is not sent to another viewer.
#[test]
fn end_notice_that_was_read_is_sent_once() {
    let fixture = start_fixture();
    let (mut first_viewer, mut other_viewer, mut connection) = two_viewers(&fixture, 151);
    connection.end_play(&mut first_viewer, 151);
    let descriptors = fixture.node.descriptor_count();
    drop(first_viewer);
    let started_at = Instant::now();
    while fixture.node.descriptor_count() >= descriptors {
        assert!(started_at.elapsed() < fake_peers::TIMEOUT, "the node did not close the connection in time");
        std::thread::sleep(Duration::from_millis(5));
    }
    other_viewer.expect_no_message();
}
