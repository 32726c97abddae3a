//! The node between viewers and servers that send invalid input, too much input or none. Each test covers one kind of failure.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, DnsServer, MediaServer, Node, ServerConnection, ServerRecord, Viewer, encode_message,
    rtsp_response, set_up_message,
};
use node_fixture::{
    ANSWER, NodeFixture, RELEASE, SET_UP, TITLE_AT_FIRST, start_fixture, start_session_at,
    start_with_sockets, start_with_twelve_servers, wait_for_contact,
};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use test_case::test_case;

// ---- bad viewers ----

/// Set-ups of an unknown class, with ids from 1000.
fn bad_set_ups(n: u64) -> Vec<u8> {
    (0..n).flat_map(|i| set_up_message(1000 + i, &[(3, "unheard-of")])).collect()
}

#[test_case(vec![0, 3, 1, 0, 0]; "a length too short")]
#[test_case(vec![0xff, 0xff, 1, 0, 0, 0]; "a length above the limit")]
#[test_case(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(); "another protocol")]
#[test_case(vec![7; 200_000]; "long noise")]
#[test_case(set_up_message(0, &[]); "no id")]
#[test_case(set_up_message(20, &[(3, "")]); "no class")]
#[test_case(set_up_message(20, &[(3, "unheard-of")]); "an unknown class")]
#[test_case(set_up_message(20, &[(15, "")]); "no title")]
#[test_case(set_up_message(20, &[(6, "")]); "no time limit")]
#[test_case(set_up_message(20, &[(6, "-5")]); "a negative time limit")]
#[test_case(set_up_message(20, &[(6, "1e300")]); "a huge time limit")]
#[test_case(set_up_message(20, &[(6, "soon")]); "a time limit that is no number")]
#[test_case(set_up_message(20, &[(33, "NaN")]); "a hint that is no number")]
#[test_case(set_up_message(20, &[(18, "home:99;copies:1;top:1")]); "an unknown cell")]
#[test_case(set_up_message(20, &[(18, "home:0;copies:-1;top:1")]); "a negative count")]
#[test_case(set_up_message(20, &[(18, "home:0;copies:1;top:1e9")]); "an unknown rung")]
#[test_case(set_up_message(20, &[(48, "")]); "no description")]
#[test_case({ let mut m = encode_message(SET_UP, 20, &[(3, b"paid")]); m[13] = 200; m }; "a parameter longer than its message")]
#[test_case(encode_message(99, 20, &[]); "an unknown type")]
#[test_case(encode_message(RELEASE, 12345, &[(45, &[16])]); "the release of an unknown session")]
#[test_case(set_up_message(20, &[TITLE_AT_FIRST])[..30].to_vec(); "half a set-up")]
#[test_case(Vec::new(); "silence")]
#[test_case(bad_set_ups(2_000); "thousands at once")]
fn invalid_viewer_input_is_ended_in_time_and_delays_no_other_viewer(bytes: Vec<u8>) {
    let fixture = start_fixture();
    let started_at = Instant::now();
    let mut bad_viewer = fixture.node.connect_viewer();
    bad_viewer.send(&bytes);
    let mut viewer = fixture.node.connect_viewer();
    drop(fixture.start_session(&mut viewer, 21));
    if let Some(message) = bad_viewer.next_message() {
        assert_eq!(message.kind, RELEASE, "{message:?}");
    }
    assert!(started_at.elapsed() < Duration::from_secs(3));
}

#[test]
fn duplicate_play_id_does_not_affect_the_open_play() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(22, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let mut bad_viewer = fixture.node.connect_viewer();
    bad_viewer.send(&set_up_message(22, &[TITLE_AT_FIRST, (48, "another\r\n")]));
    assert_eq!(bad_viewer.next_message(), None, "the connection is closed without an answer");
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 22);
    viewer.expect_no_message();
}

#[test]
fn flood_of_set_ups_on_one_connection_is_declined_at_once() {
    let fixture = start_fixture();
    let mut bad_viewer = fixture.node.connect_viewer();
    for play in 0..100 {
        bad_viewer.send(&set_up_message(3000 + play, &[TITLE_AT_FIRST]));
    }
    let message = bad_viewer.next_message().expect("an answer before any server has responded");
    assert_eq!((message.kind, message.parameter(21)), (RELEASE, Some(b"500".as_slice())));
}

/// Guards against a connection that is closed for the number of its refusals while set-ups are open on it (review/7): those got no
/// answer. The first 48 set-ups of a connection are taken; no server answers them.
#[test_case(&[]; "for want of room")]
#[test_case(&[(3, "unheard-of")]; "as unusable")]
fn refusals_leave_the_open_set_ups_of_their_connection_alone(refused: &[(u8, &str)]) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let taken = (1..=48).flat_map(|play| set_up_message(play, &[TITLE_AT_FIRST, (6, "1500")]));
    let refused = (49..=700).flat_map(|play| set_up_message(play, refused));
    viewer.send(&taken.chain(refused).collect::<Vec<u8>>());
    let mut unanswered: BTreeSet<u64> = (1..=700).collect();
    while !unanswered.is_empty() {
        let message = viewer.next_message().expect("the node keeps the connection");
        assert_eq!(message.kind, RELEASE, "{message:?}");
        assert!(unanswered.remove(&message.session), "answered twice: {message:?}");
    }
    viewer.expect_no_message();
}

#[test]
fn hundreds_of_idle_connections_do_not_block_a_viewer() {
    let fixture = start_with_sockets(64);
    let idle_viewers: Vec<Viewer> = (0..300).map(|_| fixture.node.connect_viewer()).collect();
    let mut viewer = fixture.node.connect_viewer();
    drop(fixture.start_session(&mut viewer, 23));
    drop(idle_viewers);
}

// ---- bad servers ----

/// Connects 22 viewers, as many as a node with 64 sockets accepts without evicting one. The first has an established session; none
/// has an open set-up.
fn fill_with_viewers(fixture: &NodeFixture) -> (Vec<Viewer>, ServerConnection) {
    let mut viewers: Vec<Viewer> = (0..22).map(|_| fixture.node.connect_viewer()).collect();
    let mut connection = fixture.start_session(&mut viewers[0], 100);
    for (i, viewer) in viewers.iter_mut().enumerate().skip(1) {
        let play = 100 + i as u64;
        viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(viewer, play);
        connection.end_play(viewer, play);
    }
    (viewers, connection)
}

#[test]
fn eviction_spares_connections_with_a_session_or_an_unread_set_up() {
    let fixture = start_with_sockets(64);
    let (mut viewers, mut connection) = fill_with_viewers(&fixture);
    let mut newcomer = None;
    fixture.node.while_paused(|| {
        newcomer = Some(fixture.node.connect_viewer());
        viewers[1].send(&set_up_message(200, &[TITLE_AT_FIRST]));
    });
    let mut newcomer = newcomer.expect("the newcomer has connected");
    connection.serve_set_up(&mut viewers[1], 200);
    assert_eq!(viewers[2].next_message(), None);
    newcomer.expect_no_message();
    connection.end_play(&mut viewers[0], 100);
}

#[test]
fn viewer_beyond_the_connection_limit_is_declined() {
    let fixture = start_with_sockets(64);
    // As many viewers as the node accepts without evicting one, all with an open set-up.
    let mut viewers: Vec<Viewer> = (0..22).map(|_| fixture.node.connect_viewer()).collect();
    viewers
        .iter_mut()
        .zip(300..)
        .for_each(|(viewer, play)| viewer.send(&set_up_message(play, &[TITLE_AT_FIRST])));
    let mut connection = fixture.servers[0].accept();
    let pending_requests: Vec<fake_peers::Request> =
        (0..22).map(|_| connection.expect_request("SETUP")).collect();
    let mut newcomer = fixture.node.connect_viewer();
    newcomer.send(&set_up_message(400, &[TITLE_AT_FIRST]));
    assert_eq!(newcomer.expect_message(RELEASE, 400).cause(), 42);
    drop(pending_requests);
}

#[test_case("\u{7}\u{3}noise"; "noise")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "another protocol")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 3000000000\r\n\r\nv=0"; "three gigabytes")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: -4\r\n\r\nv=0"; "a negative length")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 3\r\n\r\nv=0\r\no=1\r\n\r\n"; "a length that does not fit")]
// Guards against answers that are served without their end, because the rest of the body was taken for the beginning of the next message.
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 6\r\n\r\nm=a 8 101"; "a length too short for a last line without its end")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 3\r\n\r\nv=0 RTP/AVP 0 8"; "a length too short by words")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 5\r\n\r\ns=TOUR"; "a length too short by a capital letter")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\n\r\n"; "no length")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nno field at all\r\n\r\n"; "a malformed header field")]
fn invalid_answer_fails_only_the_plays_on_its_connection(bytes: &str) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(0x18, &[]));
    let contacted = usize::from(wait_for_contact(&fixture));
    let (mut connection, _) = fixture.next_set_up(contacted);
    connection.send(bytes);
    assert!(
        connection.next_request().is_none_or(|request| request.method() == "TEARDOWN"),
        "the connection is used no further"
    );
    let (mut other_connection, retried) = fixture.next_set_up(1 - contacted);
    other_connection.respond(&retried, 200, DESCRIPTION);
    assert_eq!(viewer.expect_message(ANSWER, 0x18).parameter(48), Some(DESCRIPTION.as_bytes()));
    viewer.expect_no_message();
}

#[test]
fn duplicate_and_unmatched_answers_are_harmless() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(25, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    connection.send(&rtsp_response(200, "1", 999, "whose\r\n"));
    connection.respond(&request, 200, DESCRIPTION);
    connection.respond(&request, 200, DESCRIPTION);
    assert_eq!(viewer.expect_message(ANSWER, 25).parameter(48), Some(DESCRIPTION.as_bytes()));
    viewer.expect_no_message();
    assert_eq!(connection.expect_request("TEARDOWN").session(), 999);
    connection.end_play(&mut viewer, 25);
}

/// Guards against a second copy of a refusal that counts as the response to the next attempt, whose set-up then runs once more.
#[test_case(453; "full")]
#[test_case(500; "an error")]
fn second_copy_of_a_refusal_does_not_end_the_next_attempt(status: u16) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(26, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    connection.respond(&request, status, "");
    let (mut next_connection, next_request) = fixture.next_set_up(0);
    connection.expect_no_request();
    connection.respond(&request, status, "");
    fixture.wait_until_read(&mut viewer);
    next_connection.respond(&next_request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 26);
    next_connection.end_play(&mut viewer, 26);
}

// ---- size ----

/// With 64 sockets a node may have ten connections to servers; each title is held by one of twelve servers.
#[test]
fn server_connections_unused_for_longest_are_evicted_at_the_limit() {
    let NodeFixture { node, dns: _dns, servers } = start_with_twelve_servers();
    let mut viewer = node.connect_viewer();
    let mut connections: Vec<ServerConnection> = Vec::new();
    for (cell, server) in servers.iter().enumerate() {
        let play = 500 + cell as u64;
        let mut connection = start_session_at(server, &mut viewer, play);
        // The session at the first server goes on.
        if cell > 0 {
            connection.end_play(&mut viewer, play);
        }
        connections.push(connection);
    }
    // The two that were silent for longest are closed, and not the one with a session.
    assert!(connections[1].next_request().is_none() && connections[2].next_request().is_none());
    viewer.send(&set_up_message(600, &[TITLE_AT_FIRST]));
    connections[0].expect_request("SETUP");
}

/// With 64 sockets a node may have ten connections to servers, and twelve servers have sessions. Connections are closed in turn, and
/// each server is reconnected in time to report the end of its session.
#[test]
fn servers_with_sessions_beyond_the_connection_limit_are_reconnected_in_turn() {
    let NodeFixture { node, dns, servers } = start_with_twelve_servers();
    let mut viewer = node.connect_viewer();
    let mut connections: Vec<ServerConnection> = Vec::new();
    for (cell, server) in servers.iter().enumerate() {
        if cell == 10 {
            // At least 0.6 s. The node may close the only connection to a server with sessions 0.5 s after dialling it at the earliest:
            // until then the server may still report ends of earlier sessions on it.
            dns.wait_for_queries(5);
        }
        connections.push(start_session_at(server, &mut viewer, 700 + cell as u64));
    }
    // The two that were silent for longest are closed; none of the sessions has ended.
    assert!(connections[0].next_request().is_none() && connections[1].next_request().is_none());
    viewer.expect_no_message();
    for (server, play) in servers[..2].iter().zip(700..) {
        server.accept().end_play(&mut viewer, play);
    }
}

/// The configuration file lists 1,024 servers, and its settings have 1,024 nodes. The name service then lists 351 servers in one
/// datagram of about 55 kB, of 64 kB at most, and after that only one.
#[test]
fn server_lists_of_up_to_1024_entries_are_applied() {
    let server = MediaServer::start("s-0000ffff", 0);
    let numbered = |i: usize| ServerRecord { id: format!("s-{i:08x}"), cell: i % 2, ..server.dns_record() };
    let records = |n: usize| (0..n).map(numbered).chain([server.dns_record()]).collect::<Vec<ServerRecord>>();
    let dns = DnsServer::start(records(350));
    dns.update_zone(|zone| zone.serial = 2);
    let other_servers: Vec<MediaServer> = (1..1_024)
        .map(|i| MediaServer::without_listener(&format!("s-{i:08x}"), i % 2, server.addr))
        .collect();
    let config =
        Node::config(dns.addr, &other_servers.iter().chain([&server]).collect::<Vec<_>>(), 256, 3_000_000);
    let node = Node::start(&config.replace(r#""balancers":1"#, r#""balancers":1024"#));
    assert!(node.log.lock().expect("the log").contains("servers=1024"));
    assert!(node.wait_for_log("serial=2").contains("servers=351"));
    dns.update_zone(|zone| (zone.serial, zone.records) = (3, records(0)));
    assert!(node.wait_for_log("serial=3").contains("servers=1"));
    let mut viewer = node.connect_viewer();
    viewer.send(&set_up_message(601, &[TITLE_AT_FIRST]));
    let mut connection = server.accept();
    connection.serve_set_up(&mut viewer, 601);
}
