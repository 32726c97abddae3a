//! Races at the node between two events, one of them a viewer's or a server's. Each is forced: the node is stopped while both events
//! arrive, or a connection completes when the test lets it. `docs/notes/crossings.md` has a row for each race.

mod fake_peers;
mod node_fixture;

use fake_peers::{DESCRIPTION, Viewer, encode_message, set_up_message};
use node_fixture::{
    ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_full_backlog,
    start_with_replacements,
};
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

/// How a viewer leaves.
#[derive(Clone, Copy)]
enum Departure {
    Close,
    Reset,
    HalfClose,
    /// Sends a release and keeps the connection.
    Release,
}

/// Lets the viewer leave; returns it where its connection stays open.
fn depart(mut viewer: Viewer, play: u64, departure: Departure) -> Option<Viewer> {
    match departure {
        Departure::Close => drop(viewer),
        Departure::Reset => viewer.reset(),
        Departure::HalfClose => {
            viewer.stream.shutdown(Shutdown::Write).expect("closing the write side");
            return Some(viewer);
        }
        Departure::Release => {
            viewer.send(&encode_message(RELEASE, play, &[(45, &[16])]));
            return Some(viewer);
        }
    }
    None
}

/// Asserts that the next set-up at the first server is this one.
fn assert_next_set_up(fixture: &NodeFixture, play: u64) {
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    assert_eq!(request.session(), play, "an earlier set-up was sent");
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, play);
}

#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Reset; "resets")]
#[test_case(Departure::HalfClose; "closes one side")]
#[test_case(Departure::Release; "releases")]
fn viewer_leaving_as_its_set_up_is_read_has_none_sent(departure: Departure) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.expect_no_message();
    let mut open_viewer = None;
    fixture.node.while_paused(|| {
        viewer.send(&set_up_message(101, &[TITLE_AT_FIRST]));
        open_viewer = depart(viewer, 101, departure);
    });
    assert_next_set_up(&fixture, 102);
    drop(open_viewer);
}

/// While the node is stopped, the first attempt times out or is refused by its server, and the viewer leaves.
#[test_case(Departure::Close, false; "closes as its timer fires")]
#[test_case(Departure::Release, false; "releases as its timer fires")]
#[test_case(Departure::Close, true; "closes as it is refused")]
#[test_case(Departure::Release, true; "releases as it is refused")]
fn viewer_leaving_has_no_further_attempt_made(departure: Departure, refused: bool) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    // The connection has been established for long, so that no timer of its own makes the node read it.
    let mut connection = fixture.start_session(&mut viewer, 100);
    fixture.wait_until_read(&mut viewer);
    viewer.send(&set_up_message(103, &[TITLE_AT_FIRST]));
    let request = connection.expect_request("SETUP");
    let mut open_viewer = None;
    fixture.node.while_paused(|| {
        if refused {
            connection.respond(&request, 453, "");
        } else {
            // One attempt may take a third of the first-frame target (2 s), so its timer has expired by then.
            std::thread::sleep(Duration::from_millis(1_000));
        }
        open_viewer = depart(viewer, 103, departure);
    });
    let mut next_viewer = fixture.node.connect_viewer();
    next_viewer.send(&set_up_message(104, &[TITLE_AT_FIRST]));
    if !refused {
        connection.expect_request("TEARDOWN");
    }
    assert_eq!(connection.expect_request("SETUP").session(), 104);
    drop(open_viewer);
}

/// The timer of the attempt was due before the node read the server's answer.
#[test]
fn waiting_answer_takes_precedence_over_an_expired_timer() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 100);
    fixture.wait_until_read(&mut viewer);
    viewer.send(&set_up_message(105, &[TITLE_AT_FIRST]));
    let request = connection.expect_request("SETUP");
    fixture.node.while_paused(|| {
        std::thread::sleep(Duration::from_millis(1_000));
        connection.respond(&request, 200, DESCRIPTION);
    });
    viewer.expect_message(ANSWER, 105);
    connection.end_play(&mut viewer, 105);
}

/// The answer arrives first and the node reads it first; the viewer has already left.
#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Release; "releases")]
fn viewer_that_has_left_has_its_answer_torn_down(departure: Departure) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(106, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let mut open_viewer = None;
    fixture.node.while_paused(|| {
        connection.respond(&request, 200, DESCRIPTION);
        open_viewer = depart(viewer, 106, departure);
    });
    assert_eq!(connection.expect_request("TEARDOWN").session(), 106);
    if let Some(mut viewer) = open_viewer {
        viewer.expect_no_message();
    }
}

/// Replacements: the node waits 10 s for connections and 30 s for answers.
const LONG_TIMEOUTS: [(&str, &str); 2] = [
    (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#),
    (r#""aimUs":2000000"#, r#""aimUs":90000000"#),
];
/// Set-up parameter: the viewer waits for up to 120 s.
const LONG_TIME_LIMIT: (u8, &str) = (6, "120000");

/// The connection is still being established. The queued set-up would reach the server after its viewer has left.
#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Release; "releases")]
fn set_up_queued_for_a_connection_is_cancelled_when_its_viewer_leaves(departure: Departure) {
    let mut fixture = start_with_full_backlog(&LONG_TIMEOUTS);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(107, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    let open_viewer = depart(viewer, 107, departure);
    let mut next_viewer = fixture.node.connect_viewer();
    fixture.wait_until_read(&mut next_viewer);
    next_viewer.send(&set_up_message(108, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut next_viewer);
    fixture.servers[0].drain_backlog();
    assert_eq!(fixture.next_set_up(0).1.session(), 108, "the cancelled set-up was sent");
    drop(open_viewer);
}

#[test]
fn set_up_queued_for_a_connection_is_cancelled_when_its_server_drains() {
    let mut fixture = start_with_full_backlog(&LONG_TIMEOUTS);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(109, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    let mut draining = fixture.servers[0].dns_record();
    draining.draining = true;
    fixture.dns.update_zone(|zone| (zone.serial, zone.records) = (2, vec![draining]));
    assert_eq!(viewer.expect_message(RELEASE, 109).cause(), 34);
    fixture.servers[0].drain_backlog();
    let mut connection = fixture.servers[0].accept();
    fixture.node.send_signal("TERM");
    assert!(connection.next_request().is_none(), "a set-up was sent on the connection");
}

/// While the node is stopped, lets the connection on which a set-up is queued complete and then runs `then`.
fn while_paused_as_connection_completes(fixture: &mut NodeFixture, then: impl FnOnce()) {
    let (node, server) = (&fixture.node, &mut fixture.servers[0]);
    node.while_paused(|| {
        server.drain_backlog();
        server.wait_for_connection();
        then();
    });
}

#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Reset; "resets")]
#[test_case(Departure::HalfClose; "closes one side")]
#[test_case(Departure::Release; "releases")]
fn viewer_leaving_as_the_connection_completes_has_no_set_up_sent(departure: Departure) {
    let mut fixture = start_with_full_backlog(&LONG_TIMEOUTS);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(118, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    let mut open_viewer = None;
    while_paused_as_connection_completes(&mut fixture, || open_viewer = depart(viewer, 118, departure));
    let mut next_viewer = fixture.node.connect_viewer();
    next_viewer.send(&set_up_message(119, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    assert_eq!(fixture.next_set_up(0).1.session(), 119, "the cancelled set-up was sent");
    drop(open_viewer);
}

/// The time of a non-idempotent set-up has passed when its connection completes. As nothing was sent, it may be tried again; a set-up
/// that may have run may not.
#[test]
fn set_up_that_expired_is_not_sent_as_its_connection_completes() {
    let non_idempotent = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let short_target = (r#""aimUs":2000000"#, r#""aimUs":6000000"#);
    let mut fixture = start_with_full_backlog(&[LONG_TIMEOUTS[0], short_target, non_idempotent]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(117, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    // One attempt may take 2 s; that has passed by far when the node continues.
    while_paused_as_connection_completes(&mut fixture, || std::thread::sleep(Duration::from_millis(2_500)));
    fixture.servers[0].accept().serve_set_up(&mut viewer, 117);
}

/// A connection that is not established when a set-up on it times out may never be; the next attempt uses another.
#[test]
fn further_attempt_uses_a_new_connection() {
    let mut fixture =
        start_with_full_backlog(&[LONG_TIMEOUTS[0], (r#""aimUs":2000000"#, r#""aimUs":600000"#)]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(117, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    // At least 0.6 s; one attempt may take 0.2 s.
    fixture.dns.wait_for_queries(5);
    fixture.servers[0].drain_backlog();
    let (_first, _second) = (fixture.servers[0].accept(), fixture.servers[0].accept());
}

/// Two non-idempotent set-ups are queued on one connection and the first is cancelled. The second is sent whole; when the connection
/// is then reset, it may have run and is not tried again.
#[test]
fn whole_set_up_is_sent_after_the_one_queued_before_it_is_cancelled() {
    let one_connection = (r#""sockets":256"#, r#""sockets":44"#);
    let non_idempotent = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let mut fixture =
        start_with_full_backlog(&[LONG_TIMEOUTS[0], LONG_TIMEOUTS[1], one_connection, non_idempotent]);
    let (mut first, mut second) = (fixture.node.connect_viewer(), fixture.node.connect_viewer());
    for (viewer, play) in [(&mut first, 110), (&mut second, 111)] {
        viewer.send(&set_up_message(play, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
        fixture.wait_until_read(viewer);
    }
    first.send(&encode_message(RELEASE, 110, &[(45, &[16])]));
    fixture.wait_until_read(&mut first);
    fixture.servers[0].drain_backlog();
    let (connection, request) = fixture.next_set_up(0);
    assert_eq!((request.session(), request.body.as_str()), (111, DESCRIPTION));
    connection.reset();
    assert_eq!(second.expect_message(RELEASE, 111).cause(), 41);
}

/// The first answer arrives on the connection of the withdrawn attempt, while the same id is being set up at the same server on another
/// connection. A teardown for the first would be taken for the second.
#[test]
fn late_answer_is_ignored_while_its_id_is_being_set_up_again() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(112, &[TITLE_AT_FIRST]));
    let (mut old_connection, request) = fixture.next_set_up(0);
    assert_eq!(old_connection.expect_request("TEARDOWN").header("Reason"), None);
    let (mut connection, retried) = fixture.next_set_up(0);
    assert_eq!(retried.session(), 112);
    old_connection.respond(&request, 200, "late\r\n");
    viewer.expect_no_message();
    connection.respond(&retried, 200, DESCRIPTION);
    assert_eq!(viewer.expect_message(ANSWER, 112).parameter(48), Some(DESCRIPTION.as_bytes()));
    connection.end_play(&mut viewer, 112);
    fixture.node.send_signal("TERM");
    assert!(fixture.node.wait_for_exit().success());
    assert!(
        old_connection.next_request().is_none(),
        "a teardown was sent on the connection of the withdrawn attempt"
    );
}

/// The server closes an idle connection just as a set-up arrives. A non-idempotent set-up sent on it would fail.
#[test]
fn set_up_is_not_sent_on_a_connection_closed_by_the_server() {
    let fixture =
        start_with_replacements(256, &[(r#""effect":"read_like""#, r#""effect":"non_idempotent""#)]);
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 113);
    connection.end_play(&mut viewer, 113);
    fixture.node.while_paused(|| {
        viewer.send(&set_up_message(114, &[TITLE_AT_FIRST]));
        connection.close();
    });
    fixture.servers[0].accept().serve_set_up(&mut viewer, 114);
}

/// The server closes connections after 2 s of idleness; one close to that may be closed while a set-up is on its way.
#[test]
fn connection_close_to_its_idle_limit_gets_no_set_up() {
    let fixture = start_with_replacements(
        256,
        &[LONG_TIMEOUTS[1], (r#""idleCloseUs":30000000"#, r#""idleCloseUs":2000000"#)],
    );
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 115);
    connection.end_play(&mut viewer, 115);
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(1_800) {
        viewer.expect_no_message();
        std::thread::sleep(Duration::from_millis(20));
    }
    viewer.send(&set_up_message(116, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.servers[0].accept().serve_set_up(&mut viewer, 116);
}
