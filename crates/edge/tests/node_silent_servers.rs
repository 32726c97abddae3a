//! Media servers that fall silent while sessions play at them: lost, cut off for some seconds, or restarted. Their viewers have
//! to be notified of the end in time, and sessions that continue are kept.

mod fake_peers;
mod node_fixture;

use fake_peers::{DESCRIPTION, DnsMode, ServerConnection, Viewer, hand_over_message, set_up_message};
use node_fixture::{
    ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_session_at, start_with_replacements,
    start_with_twelve_servers,
};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Cause of the release of a session that is lost.
const FAILED: u8 = 41;
/// The viewer of a session that is over has to be notified within this time.
const NOTICE_DEADLINE: Duration = Duration::from_secs(8);
/// Replacement in the configuration: servers may be pinged.
const PINGS: (&str, &str) = (r#""probes":false"#, r#""probes":true"#);

/// Starts a node between two servers, with this interval between their notes and this dial time-out.
fn start_with_times(note_interval: Duration, dial_timeout: Duration) -> NodeFixture {
    let notes = format!(r#""reportsEveryUs":{}"#, note_interval.as_micros());
    let dial = format!(r#""dialTimeoutUs":{}"#, dial_timeout.as_micros());
    let replacements =
        [(r#""reportsEveryUs":3000000"#, notes.as_str()), (r#""dialTimeoutUs":250000"#, &dial), PINGS];
    let fixture = start_with_replacements(256, &replacements);
    fixture.node.wait_for_log("serial=1");
    fixture
}

/// Sets session 1 up at the first server, which responds to requests for load reports on the way.
fn start_session(fixture: &NodeFixture) -> (Viewer, ServerConnection) {
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(1, &[TITLE_AT_FIRST]));
    let mut connection = fixture.servers[0].accept();
    loop {
        let request = connection.next_request().expect("the node keeps the connection");
        connection.respond(&request, 200, DESCRIPTION);
        if request.method() == "SETUP" {
            viewer.expect_message(ANSWER, 1);
            return (viewer, connection);
        }
    }
}

/// Starts a node between two servers whose notes are 4.9 s apart, and a session at the first.
fn start_with_session() -> (NodeFixture, Viewer, ServerConnection) {
    let fixture = start_with_times(Duration::from_millis(4_900), Duration::from_millis(250));
    let (viewer, connection) = start_session(&fixture);
    (fixture, viewer, connection)
}

/// Asserts that the viewer is notified in time that a session is lost which ended at `ended_at`.
fn expect_lost(viewer: &mut Viewer, session: u64, ended_at: Instant) {
    assert_eq!(viewer.expect_message(RELEASE, session).cause(), FAILED);
    assert!(ended_at.elapsed() < NOTICE_DEADLINE, "{:?}", ended_at.elapsed());
}

/// Waits until the time in which a viewer has to be notified is over, and asserts that it was not.
fn expect_kept(fixture: &NodeFixture, viewer: &mut Viewer, since: Instant) {
    while since.elapsed() < NOTICE_DEADLINE + Duration::from_millis(500) {
        fixture.dns.wait_for_queries(1);
    }
    viewer.expect_no_message();
}

/// Guards against viewers who hear too late that their server's machine is lost (review/3): the node waited for notes that are far
/// apart, and for dials to time out.
#[test_case(0, 250; "no notes")]
#[test_case(2_200, 250; "notes every 2.2 s")]
#[test_case(4_900, 250; "notes every 4.9 s")]
#[test_case(4_900, 1; "notes every 4.9 s and the shortest dial time-out")]
#[test_case(4_900, 1_000; "notes every 4.9 s and a dial time-out of 1 s")]
#[test_case(4_900, 10_000; "notes every 4.9 s and a dial time-out of 10 s")]
#[test_case(10_000, 250; "notes every 10 s")]
fn viewer_is_notified_in_time_of_a_silent_server(note_interval_ms: u64, dial_timeout_ms: u64) {
    let times = [note_interval_ms, dial_timeout_ms].map(Duration::from_millis);
    let mut fixture = start_with_times(times[0], times[1]);
    let (mut viewer, connection) = start_session(&fixture);
    let silent_since = Instant::now();
    fixture.servers[0].fill_backlog();
    expect_lost(&mut viewer, 1, silent_since);
    drop(connection);
}

/// Guards against sessions that end although their server, which was cut off, can be reached again before viewers must know.
#[test_case(Duration::from_millis(4_000), DnsMode::Normal; "for 4 s")]
#[test_case(Duration::from_millis(6_000), DnsMode::Normal; "for 6 s")]
#[test_case(Duration::from_millis(6_000), DnsMode::Silent; "for 6 s while the name service is silent")]
fn sessions_continue_after_their_server_was_cut_off(duration: Duration, dns_mode: DnsMode) {
    let (mut fixture, mut viewer, mut connection) = start_with_session();
    fixture.dns.update_zone(|zone| zone.mode = dns_mode);
    let silent_since = Instant::now();
    fixture.servers[0].fill_backlog();
    std::thread::sleep(duration.saturating_sub(silent_since.elapsed()));
    fixture.servers[0].drain_backlog();
    if dns_mode == DnsMode::Silent {
        let request = connection.expect_request("OPTIONS");
        connection.respond(&request, 200, "");
    }
    expect_kept(&fixture, &mut viewer, silent_since);
    connection.end_play(&mut viewer, 1);
}

/// Guards against a node that takes a connection to a restarted machine for a sign that the sessions continue: while the name
/// service is silent, nothing tells it of the restart.
#[test]
fn viewer_is_notified_in_time_of_a_restart_that_no_list_shows() {
    let (mut fixture, mut viewer, connection) = start_with_session();
    let silent_since = Instant::now();
    fixture.servers[0].fill_backlog();
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    std::thread::sleep(Duration::from_secs(5));
    fixture.servers[0].drain_backlog();
    let mut new_connection = fixture.servers[0].accept();
    expect_lost(&mut viewer, 1, silent_since);
    // If the session does exist there, it has to end.
    assert_eq!(new_connection.expect_request("TEARDOWN").session(), 1);
    drop(connection);
}

/// Guards against refused dials that count as dials that timed out: a process that has died and refuses connections until a new one
/// listens 0.3 s later was taken for the new one (`dead` in review/REPORT-2.md).
#[test]
fn viewer_is_notified_in_time_of_a_process_that_died_and_refused_connections() {
    let (mut fixture, mut viewer, connection) = start_with_session();
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    fixture.servers[0].stop_listening();
    let died_at = Instant::now();
    connection.reset();
    std::thread::sleep(Duration::from_millis(300));
    let mut server = fixture.servers.remove(0);
    server.listen_again();
    // Where the node connects to the new process, that one is heard, though not on the session.
    std::thread::spawn(move || {
        while !server.has_connection() {
            std::thread::sleep(Duration::from_millis(5));
        }
        server.accept().keep_sending_notes(999);
        std::thread::sleep(NOTICE_DEADLINE);
    });
    expect_lost(&mut viewer, 1, died_at);
}

/// Guards against sessions that end because their server, which the list shows not to have restarted, does not respond on an
/// old connection.
#[test]
fn sessions_continue_on_a_new_connection_if_the_list_shows_no_restart() {
    let (fixture, mut viewer, connection) = start_with_session();
    let silent_since = Instant::now();
    let mut new_connection = fixture.servers[0].accept();
    expect_kept(&fixture, &mut viewer, silent_since);
    new_connection.end_play(&mut viewer, 1);
    drop(connection);
}

/// Guards against viewers who hear too late that a server has gone, as it is waited for as long as its notes may be apart.
#[test]
fn viewer_is_notified_in_time_of_a_silent_server_that_is_listed_as_gone() {
    let mut fixture = start_with_times(Duration::from_secs(10), Duration::from_millis(250));
    let (mut viewer, connection) = start_session(&fixture);
    let silent_since = Instant::now();
    fixture.servers[0].fill_backlog();
    fixture.dns.update_zone(|zone| (zone.serial, _) = (2, zone.records.remove(0)));
    expect_lost(&mut viewer, 1, silent_since);
    drop(connection);
}

/// Guards against viewers who hear too late that a session is lost which they handed over: dials to its server time out slowly.
#[test]
fn viewer_is_notified_in_time_of_a_session_handed_over_at_a_silent_server() {
    let mut fixture = start_with_times(Duration::from_secs(10), Duration::from_secs(10));
    fixture.servers[0].fill_backlog();
    let mut viewer = fixture.node.connect_viewer();
    let handed_over_at = Instant::now();
    viewer.send(&hand_over_message(1, "s-0000000a"));
    expect_lost(&mut viewer, 1, handed_over_at);
}

/// Guards against viewers who hear too late of a silent server, or of sessions that end with it, where more servers have sessions
/// than the node may have connections.
#[test]
fn silent_server_is_lost_alone_where_servers_outnumber_connections() {
    let NodeFixture { node, dns: _dns, mut servers } = start_with_twelve_servers();
    let mut viewer = node.connect_viewer();
    let mut connections = Vec::new();
    let mut silent_since = Instant::now();
    for (cell, server) in servers.iter().enumerate() {
        if cell == 10 {
            // Connections become replaceable half a second after they were dialled.
            std::thread::sleep(Duration::from_millis(600));
        }
        silent_since = Instant::now();
        connections.push(start_session_at(server, &mut viewer, 1 + cell as u64));
    }
    servers[11].fill_backlog();
    expect_lost(&mut viewer, 12, silent_since);
    viewer.expect_no_message();
}
