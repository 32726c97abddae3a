//! The front on the platform's protocol, run as a process between scripted peers. Each test covers one kind of failure and checks
//! what the peers see on their sockets.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, MediaServer, Node, ServerConnection, ServerRecord, encode_message, set_up_message,
};
use node_fixture::{
    ANSWER, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_replacements, wait_for_contact,
};
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn set_up_answer_and_release_are_relayed() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(0x9b1f_03aa_5c7e_2d41, &[TITLE_AT_FIRST, (33, "8200.0")]));
    let mut connection = fixture.servers[0].accept();
    let request = connection.expect_request("SETUP");
    assert_eq!(request.start_line, "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0");
    assert_eq!((request.header("CSeq"), request.header("Session")), (Some("1"), Some("9b1f03aa5c7e2d41")));
    assert_eq!((request.header("X-Call-Class"), request.header("Rate-Step")), (Some("paid"), Some("1")));
    let time_limit_ms: u32 =
        request.header("X-Ring-Limit").expect("a time limit").parse().expect("a number of ms");
    assert!(time_limit_ms > 0 && time_limit_ms <= 3000);
    assert_eq!(request.body, DESCRIPTION);
    // Progress is ignored; the description of the answer is relayed unchanged.
    connection.respond(&request, 180, "");
    connection.respond(&request, 200, "another one\r\n");
    let message = viewer.expect_message(ANSWER, request.session());
    assert_eq!(message.parameters, [(48, b"another one\r\n".to_vec())]);
    connection.send_request("ANNOUNCE", request.session(), "X-Why: l\r\nFigure: 0.2\r\n");
    connection.end_play(&mut viewer, request.session());
    // The server repeats the teardown on the next connection; for a session already unknown it is ignored.
    connection.send_request("TEARDOWN", request.session(), "Reason: cause=16\r\n");
    viewer.expect_no_message();
}

#[test]
fn release_is_sent_on_another_connection_when_the_viewers_is_closed() {
    let fixture = start_fixture();
    let mut first_viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first_viewer, 1);
    drop(first_viewer);
    connection.send_request("TEARDOWN", 1, "Reason: cause=41\r\n");
    // No viewer is connected; the next one that sends a request receives the release.
    let mut second_viewer = fixture.node.connect_viewer();
    second_viewer.send(&set_up_message(2, &[TITLE_AT_FIRST]));
    assert_eq!(second_viewer.expect_message(RELEASE, 1).cause(), 41);
    connection.serve_set_up(&mut second_viewer, 2);
    let mut third_viewer = fixture.node.connect_viewer();
    third_viewer.send(&set_up_message(3, &[TITLE_AT_FIRST]));
    connection.serve_set_up(&mut third_viewer, 3);
    drop(third_viewer);
    connection.end_play(&mut second_viewer, 3);
}

#[test]
fn released_set_up_is_withdrawn_and_its_late_answer_torn_down() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(5, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    viewer.send(&encode_message(RELEASE, 5, &[(45, &[16])]));
    let withdrawal = connection.expect_request("TEARDOWN");
    assert_eq!(
        (withdrawal.session(), withdrawal.header("CSeq"), withdrawal.header("Reason")),
        (5, Some("2"), None)
    );
    connection.respond(&request, 200, DESCRIPTION);
    let teardown = connection.expect_request("TEARDOWN");
    assert!(teardown.session() == 5 && teardown.header("Reason").is_some(), "{teardown:?}");
    viewer.expect_no_message();
}

#[test]
fn timed_out_allocation_is_withdrawn_and_its_late_answer_dropped() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(6, &[]));
    let contacted = usize::from(wait_for_contact(&fixture));
    let (mut slow_connection, request) = fixture.next_set_up(contacted);
    assert_eq!(slow_connection.expect_request("TEARDOWN").session(), 6);
    let (mut good_connection, retried) = fixture.next_set_up(1 - contacted);
    slow_connection.respond(&request, 200, "late\r\n");
    let teardown = slow_connection.expect_request("TEARDOWN");
    assert!(teardown.header("Reason").is_some());
    good_connection.respond(&retried, 200, DESCRIPTION);
    assert_eq!(viewer.expect_message(ANSWER, 6).parameter(48), Some(DESCRIPTION.as_bytes()));
    viewer.expect_no_message();
}

#[test]
fn viewer_may_release_a_session_on_any_connection() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 7);
    fixture.node.connect_viewer().send(&encode_message(RELEASE, 7, &[(45, &[19])]));
    let teardown = connection.expect_request("TEARDOWN");
    assert_eq!((teardown.session(), teardown.header("Reason")), (7, Some("cause=19")));
    connection.send_request("TEARDOWN", 7, "Reason: cause=31\r\n");
    viewer.expect_no_message();
}

/// A connection on which only a release was sent is used for end notices too: it may be the only one left for a long time.
#[test]
fn connection_that_released_a_session_receives_the_end_of_another() {
    let fixture = start_fixture();
    let mut first_viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first_viewer, 14);
    first_viewer.send(&set_up_message(15, &[TITLE_AT_FIRST]));
    connection.serve_set_up(&mut first_viewer, 15);
    let mut other_viewer = fixture.node.connect_viewer();
    other_viewer.send(&encode_message(RELEASE, 14, &[(45, &[31])]));
    connection.expect_request("TEARDOWN");
    drop(first_viewer);
    connection.end_play(&mut other_viewer, 15);
}

#[test_case(453; "full")]
#[test_case(500; "server error")]
#[test_case(454; "not set up")]
#[test_case(504; "broken off")]
fn refused_set_up_is_retried_at_the_other_holder(status: u16) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(8, &[]));
    let contacted = usize::from(wait_for_contact(&fixture));
    let (mut first_connection, request) = fixture.next_set_up(contacted);
    first_connection.respond(&request, status, "");
    let (mut second_connection, retried) = fixture.next_set_up(1 - contacted);
    second_connection.respond(&retried, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 8);
}

#[test]
fn failed_play_is_answered_at_once_with_retry_after() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let started_at = Instant::now();
    viewer.send(&set_up_message(9, &[TITLE_AT_FIRST]));
    // Each attempt is made on a connection of its own, where no second copy of an earlier refusal can come.
    let refused_connections: Vec<ServerConnection> = (0..4)
        .map(|_| {
            let (mut connection, request) = fixture.next_set_up(0);
            connection.respond(&request, 453, "");
            connection
        })
        .collect();
    let message = viewer.expect_message(RELEASE, 9);
    assert_eq!((message.cause(), message.parameter(21)), (34, Some(b"500".as_slice())));
    assert!(
        started_at.elapsed() < Duration::from_millis(2_900),
        "the answer was delayed until the time limit of the viewer"
    );
    drop(refused_connections);
}

/// The only holder has just started and accepts its next play in a minute; the viewer waits for up to two.
#[test]
fn play_waiting_for_a_cold_server_is_declined_when_it_drains() {
    let cold = [
        (r#""coldUs":0"#, r#""coldUs":90000000"#),
        (r#""placesByKind":[1000.0]"#, r#""placesByKind":[2.0]"#),
    ];
    let fixture = start_with_replacements(256, &cold);
    let started =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time after the epoch");
    let cold = ServerRecord { started_at: started.as_millis() as u64, ..fixture.servers[0].dns_record() };
    fixture.dns.update_zone(|zone| (zone.serial, zone.records) = (2, vec![cold.clone()]));
    fixture.node.wait_for_log("serial=2");
    let mut viewer = fixture.node.connect_viewer();
    let _first = fixture.start_session(&mut viewer, 60);
    viewer.send(&set_up_message(61, &[TITLE_AT_FIRST, (6, "120000")]));
    viewer.expect_no_message();
    fixture
        .dns
        .update_zone(|zone| (zone.serial, zone.records) = (3, vec![ServerRecord { draining: true, ..cold }]));
    let message = viewer.expect_message(RELEASE, 61);
    assert_eq!((message.cause(), message.parameter(21)), (34, Some(b"500".as_slice())));
    fixture.node.wait_for_log("serial=3");
}

#[test]
fn plays_fail_over_from_a_holder_that_refuses_connections() {
    let mut fixture = start_fixture();
    fixture.servers[0].stop_listening();
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = None;
    for play in 10..14 {
        viewer.send(&set_up_message(play, &[]));
        let connection = connection.get_or_insert_with(|| fixture.servers[1].accept());
        connection.serve_set_up(&mut viewer, play);
    }
}

#[test]
fn set_up_is_retried_at_the_other_holder_after_a_connection_reset() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(15, &[]));
    let contacted = usize::from(wait_for_contact(&fixture));
    let (connection, _) = fixture.next_set_up(contacted);
    connection.reset();
    let (mut other_connection, retried) = fixture.next_set_up(1 - contacted);
    other_connection.respond(&retried, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 15);
}

#[test]
fn connection_reset_ends_sessions_only_if_the_server_is_unreachable() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut viewer, 16);
    connection.reset();
    let mut next_connection = fixture.servers[0].accept();
    viewer.expect_no_message();
    next_connection.send_request("TEARDOWN", 16, "Reason: cause=16\r\n");
    assert_eq!(viewer.expect_message(RELEASE, 16).cause(), 16);
    // A server that is no longer there has ended all its sessions.
    next_connection.reset();
    let connection = fixture.start_session(&mut viewer, 17);
    fixture.servers[0].stop_listening();
    connection.reset();
    assert_ne!(viewer.expect_message(RELEASE, 17).cause(), 16);
}

#[test]
fn sessions_end_when_their_server_is_silent_and_refuses_connections() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut viewer, 18);
    fixture.servers[0].stop_listening();
    assert_ne!(viewer.expect_message(RELEASE, 18).cause(), 16);
    drop(connection);
}

/// By the settings, servers send notes ten times a second; this one sends none and refuses connections for 4.8 s. The node keeps
/// the sessions of a silent server for more than five seconds, as viewers need not be notified sooner than eight seconds after an end.
#[test]
fn sessions_survive_a_server_unreachable_for_some_seconds() {
    let mut fixture = start_fixture();
    let all: Vec<&MediaServer> = fixture.servers.iter().collect();
    fixture.node = Node::start(&Node::config(fixture.dns.addr, &all, 256, 100_000));
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 19);
    fixture.servers[0].stop_listening();
    for _ in 0..2 {
        // The node closes a connection that has sent no message within 2.4 s.
        assert_eq!(fixture.node.connect_viewer().next_message(), None);
    }
    connection.end_play(&mut viewer, 19);
}
