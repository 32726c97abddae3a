//! Sessions that viewers hand over to a node: at servers that no list names yet or ever, and more than the node may hold.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, DnsMode, DnsServer, MediaServer, Node, Viewer, hand_over_message, set_up_message,
};
use node_fixture::{ANSWER, NodeFixture, RELEASE, start_fixture};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Cause of the release of a session that is lost.
const FAILED: u8 = 41;
/// The viewer of a session that is over has to be notified within this time.
const RELEASE_DEADLINE: Duration = Duration::from_secs(8);
/// Limits of the node on hand-overs at servers that no list names, and on sessions and set-ups (docs/operate-node.md).
const MAX_UNLISTED_PER_CONNECTION: u64 = 256;
const MAX_UNLISTED: u64 = 2_048;
const MAX_SESSIONS: u64 = 8_192;

/// Hands sessions over, each at a server of its own that no list names.
fn hand_over_unlisted(viewer: &mut Viewer, sessions: std::ops::Range<u64>) {
    let bytes: Vec<u8> = sessions.flat_map(|s| hand_over_message(s, &format!("s-{s:08x}"))).collect();
    viewer.send(&bytes);
}

/// Starts a node that knows the first of two servers, beside a name service that lists both but does not respond yet.
fn start_before_first_list() -> NodeFixture {
    start_with_note_interval(3_000_000)
}

/// Starts a node as [`start_before_first_list`] does, with this interval between the notes of servers, µs.
fn start_with_note_interval(interval_us: u64) -> NodeFixture {
    let servers = vec![MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let dns = DnsServer::start(servers.iter().map(MediaServer::dns_record).collect());
    dns.update_zone(|zone| (zone.serial, zone.mode) = (2, DnsMode::Silent));
    let node = Node::start(&Node::config(dns.addr, &[&servers[0]], 256, interval_us));
    NodeFixture { node, dns, servers }
}

/// Guards against a node that keeps an entry for each server id that a viewer names, until it is killed for its memory.
#[test]
fn hand_overs_at_unknown_servers_leave_no_memory_in_use() {
    const CONNECTIONS: u64 = 8;
    const PER_CONNECTION: u64 = MAX_UNLISTED_PER_CONNECTION - 1;
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 1);
    let run_rounds = |rounds: std::ops::Range<u64>| {
        for round in rounds {
            let first = |client: u64| 1_000_000 * (round + 1) + 1_000 * client;
            let mut clients: Vec<Viewer> = (0..CONNECTIONS).map(|_| fixture.node.connect_viewer()).collect();
            for (client, bad_viewer) in (0..).zip(&mut clients) {
                hand_over_unlisted(bad_viewer, first(client)..first(client) + PER_CONNECTION);
            }
            for (client, bad_viewer) in (0..).zip(&mut clients) {
                for session in first(client)..first(client) + PER_CONNECTION {
                    assert_eq!(bad_viewer.expect_message(RELEASE, session).cause(), FAILED);
                }
            }
        }
    };
    run_rounds(0..2);
    let before = fixture.node.memory_kb();
    run_rounds(2..10);
    let grown = fixture.node.memory_kb().saturating_sub(before);
    assert!(grown < 1_024, "{grown} kB more for {} unknown servers", 8 * CONNECTIONS * PER_CONNECTION);
    viewer.send(&set_up_message(2, &[node_fixture::TITLE_AT_FIRST]));
    connection.serve_set_up(&mut viewer, 2);
    fixture.node.wait_for_log("servers=2 owed=0 cuts=0 unlisted=0");
}

/// Guards against a session that stands for ever, or as long as notes may be apart, because no list comes that could name
/// its server.
#[test_case(3_000_000; "notes every 3 s")]
#[test_case(10_000_000; "notes further apart than viewers may wait")]
fn hand_over_at_an_unlisted_server_ends_while_the_name_service_is_silent(note_interval_us: u64) {
    let fixture = start_with_note_interval(note_interval_us);
    let mut viewer = fixture.node.connect_viewer();
    let handed_over_at = Instant::now();
    viewer.send(&hand_over_message(10, "s-0000000b"));
    // A repeated hand-over changes nothing.
    viewer.send(&hand_over_message(10, "s-0000000b"));
    assert_eq!(viewer.expect_message(RELEASE, 10).cause(), FAILED);
    assert!(handed_over_at.elapsed() < RELEASE_DEADLINE, "{:?}", handed_over_at.elapsed());
    viewer.expect_no_message();
}

/// Guards against losing the end of a session that comes while the node waits for the list that names the session's server.
#[test]
fn session_released_before_the_first_list_is_torn_down_after_it() {
    let fixture = start_before_first_list();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(20, "s-0000000b"));
    viewer.send(&fake_peers::encode_message(RELEASE, 20, &[(45, &[19])]));
    fixture.wait_until_read(&mut viewer);
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Normal);
    let request = fixture.servers[1].accept().expect_request("TEARDOWN");
    assert_eq!((request.session(), request.header("Reason")), (20, Some("cause=19")));
}

/// Guards against hand-overs that fill the memory before the name service has responded: of one connection, and of all.
#[test_case(1, MAX_UNLISTED_PER_CONNECTION; "of one connection")]
#[test_case(8, MAX_UNLISTED; "of all connections")]
fn unlisted_hand_overs_beyond_the_limit_are_refused(connections: u64, limit: u64) {
    let fixture = start_before_first_list();
    let per_connection = limit / connections;
    let mut viewers: Vec<Viewer> = (0..connections).map(|_| fixture.node.connect_viewer()).collect();
    for (client, viewer) in (0..).zip(&mut viewers) {
        let first = 1_000 * (client + 1);
        hand_over_unlisted(viewer, first..first + per_connection);
        viewer.expect_no_message();
    }
    let mut last_viewer = if connections == 1 { viewers.remove(0) } else { fixture.node.connect_viewer() };
    hand_over_unlisted(&mut last_viewer, 50_000..50_001);
    assert_eq!(last_viewer.expect_message(RELEASE, 50_000).cause(), FAILED);
    // The hand-overs within the limit still wait.
    viewers.push(last_viewer);
    viewers.iter_mut().for_each(Viewer::expect_no_message);
}

/// Guards against a node that goes over its memory because it takes any number of sessions over at servers that are listed.
#[test]
fn hand_overs_at_listed_servers_are_limited() {
    const MEMORY_LIMIT_KB: usize = 64 << 10;
    const SESSIONS_PER_CONNECTION: u64 = 500;
    let description = "x".repeat(8 << 10);
    let hand_over = |session: u64| {
        let at_first = (18, "home:0;copies:1;top:1;at:s-0000000a");
        set_up_message(session, &[at_first, (6, "0"), (48, &description)])
    };
    let fixture = start_fixture();
    let connections = MAX_SESSIONS / SESSIONS_PER_CONNECTION + 1;
    for client in 1..=connections {
        let mut viewer = fixture.node.connect_viewer();
        let first = 10_000 * client;
        let bytes: Vec<u8> = (first..first + SESSIONS_PER_CONNECTION).flat_map(hand_over).collect();
        viewer.send(&bytes);
        if client < connections {
            viewer.expect_no_message();
        } else {
            assert_eq!(viewer.next_message().expect("a refusal").cause(), FAILED);
        }
    }
    // However many hand-overs are refused, what else is pending on the connection goes on.
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(1, &[(18, "home:1;copies:1;top:1")]));
    let (mut server_connection, request) = fixture.next_set_up(1);
    viewer.send(&(2_000..2_400).flat_map(hand_over).collect::<Vec<u8>>());
    (2_000..2_400).for_each(|session| drop(viewer.expect_message(RELEASE, session)));
    server_connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 1);
    // The server of a refused session is told that the session is over.
    let mut connection = fixture.servers[0].accept();
    while connection.next_request().expect("the node keeps the connection").method() != "TEARDOWN" {}
    // The limit is one on hand-overs: the usual session has come on top.
    fixture.node.wait_for_log(&format!("sessions={} ", MAX_SESSIONS + 1));
    let memory_kb = fixture.node.memory_kb();
    assert!(memory_kb < MEMORY_LIMIT_KB, "{memory_kb} kB");
}
