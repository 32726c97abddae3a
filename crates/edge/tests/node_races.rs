//! Two events at a node in the same instant, one of them a viewer's or a server's: the crossing is forced, by a node that stands still
//! while both come, or by a connection that comes up when it is told to. `docs/notes/crossings.md` has a row for each.

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

/// How a viewer goes.
#[derive(Clone, Copy)]
enum Departure {
    Close,
    Reset,
    HalfClose,
    Release,
}

fn depart(mut viewer: Viewer, play: u64, departure: Departure) -> Option<Viewer> {
    match departure {
        Departure::Close => drop(viewer),
        Departure::Reset => viewer.reset(),
        Departure::HalfClose => {
            viewer.stream.shutdown(Shutdown::Write).expect("so");
            return Some(viewer);
        }
        Departure::Release => {
            viewer.send(&encode_message(RELEASE, play, &[(45, &[16])]));
            return Some(viewer);
        }
    }
    None
}

/// The next set-up that the first host is asked for is this one.
fn assert_next_set_up(fixture: &NodeFixture, play: u64) {
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    assert_eq!(request.session(), play, "nobody waits for an earlier one");
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, play);
}

#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Reset; "resets")]
#[test_case(Departure::HalfClose; "closes one side")]
#[test_case(Departure::Release; "gives up")]
fn a_viewer_that_goes_as_its_set_up_is_read_has_none_made(departure: Departure) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.expect_no_message();
    let mut kept = None;
    fixture.node.while_paused(|| {
        viewer.send(&set_up_message(101, &[TITLE_AT_FIRST]));
        kept = depart(viewer, 101, departure);
    });
    assert_next_set_up(&fixture, 102);
    drop(kept);
}

/// The time of its first attempt and its viewer's end come while the node stands still; so does the server's refusal.
#[test_case(Departure::Close, false; "closes as its time rings")]
#[test_case(Departure::Release, false; "gives up as its time rings")]
#[test_case(Departure::Close, true; "closes as it is refused")]
#[test_case(Departure::Release, true; "gives up as it is refused")]
fn a_viewer_that_goes_has_no_further_attempt_made(departure: Departure, refused: bool) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    // A connection that has been up for long: no clock of its own has it read.
    let mut connection = fixture.start_session(&mut viewer, 100);
    fixture.wait_until_read(&mut viewer);
    viewer.send(&set_up_message(103, &[TITLE_AT_FIRST]));
    let request = connection.expect_request("SETUP");
    let mut kept = None;
    fixture.node.while_paused(|| {
        if refused {
            connection.respond(&request, 453, "");
        } else {
            // A third of the first-frame target, and more.
            std::thread::sleep(Duration::from_millis(1_000));
        }
        kept = depart(viewer, 103, departure);
    });
    let mut next = fixture.node.connect_viewer();
    next.send(&set_up_message(104, &[TITLE_AT_FIRST]));
    if !refused {
        connection.expect_request("TEARDOWN");
    }
    assert_eq!(connection.expect_request("SETUP").session(), 104);
    drop(kept);
}

/// Its time had rung before its server's answer was read.
#[test]
fn an_answer_that_has_come_counts_before_the_time_that_rings() {
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

/// The answer comes first, and the node reads it first; its viewer was gone by then.
#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Release; "gives up")]
fn an_answer_for_a_viewer_that_has_gone_leaves_nothing_standing(departure: Departure) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(106, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    let mut kept = None;
    fixture.node.while_paused(|| {
        connection.respond(&request, 200, DESCRIPTION);
        kept = depart(viewer, 106, departure);
    });
    assert_eq!(connection.expect_request("TEARDOWN").session(), 106);
    if let Some(mut viewer) = kept {
        viewer.expect_no_message();
    }
}

/// The node waits for connections for 10 s, and for answers for 30 s.
const LONG_TIMEOUTS: [(&str, &str); 2] = [
    (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#),
    (r#""aimUs":2000000"#, r#""aimUs":90000000"#),
];
const LONG_TIME_LIMIT: (u8, &str) = (6, "120000");

/// Its connection is still being made; what waits there would reach the server when nobody asks for it any more.
#[test_case(Departure::Close; "closes")]
#[test_case(Departure::Release; "gives up")]
fn a_set_up_that_waits_for_its_connection_is_taken_back_with_its_viewer(departure: Departure) {
    let mut fixture = start_with_full_backlog(&LONG_TIMEOUTS);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(107, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    let kept = depart(viewer, 107, departure);
    let mut next = fixture.node.connect_viewer();
    fixture.wait_until_read(&mut next);
    next.send(&set_up_message(108, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut next);
    fixture.servers[0].drain_backlog();
    assert_eq!(fixture.next_set_up(0).1.session(), 108, "it is the first on the first connection");
    drop(kept);
}

#[test]
fn a_set_up_that_waits_for_its_connection_is_taken_back_when_its_server_drains() {
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
    assert!(connection.next_request().is_none(), "nothing was sent on it");
}

/// A set-up waits on a connection that is still being made, and this comes in the instant in which that comes up, after it.
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
#[test_case(Departure::Release; "gives up")]
fn a_viewer_that_goes_as_the_connection_of_its_set_up_comes_up_has_nothing_sent(departure: Departure) {
    let mut fixture = start_with_full_backlog(&LONG_TIMEOUTS);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(118, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    let mut kept = None;
    while_paused_as_connection_completes(&mut fixture, || kept = depart(viewer, 118, departure));
    let mut next = fixture.node.connect_viewer();
    next.send(&set_up_message(119, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    assert_eq!(fixture.next_set_up(0).1.session(), 119, "it is the first on that connection");
    drop(kept);
}

/// The time of a paid set-up is over by the time at which its connection is up. Nothing of it has left: it goes on elsewhere, which
/// what may have run does not.
#[test]
fn a_set_up_whose_time_is_over_as_its_connection_comes_up_is_not_sent() {
    let paid = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let brief = (r#""aimUs":2000000"#, r#""aimUs":6000000"#);
    let mut fixture = start_with_full_backlog(&[LONG_TIMEOUTS[0], brief, paid]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(117, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    fixture.wait_until_read(&mut viewer);
    // That of one attempt is 2 s; the node's own has passed by far when it goes on.
    while_paused_as_connection_completes(&mut fixture, || std::thread::sleep(Duration::from_millis(2_500)));
    fixture.servers[0].accept().serve_set_up(&mut viewer, 117);
}

/// A connection that is not up when the time of a set-up on it rings may never be: the next attempt goes on another.
#[test]
fn a_further_attempt_does_not_wait_for_the_connection_that_was_too_late() {
    let mut fixture =
        start_with_full_backlog(&[LONG_TIMEOUTS[0], (r#""aimUs":2000000"#, r#""aimUs":600000"#)]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(117, &[TITLE_AT_FIRST, LONG_TIME_LIMIT]));
    // 0.6 s of the node's own time and more: that of one attempt is 0.2 s.
    fixture.dns.wait_for_queries(5);
    fixture.servers[0].drain_backlog();
    let (_first, _second) = (fixture.servers[0].accept(), fixture.servers[0].accept());
}

/// Two paid set-ups wait on one connection; the first is taken back. The second goes out whole, and has left when the connection is
/// reset: it may have run, and is not made again.
#[test]
fn what_waits_beside_a_set_up_that_is_taken_back_goes_out_whole() {
    let one_connection = (r#""sockets":256"#, r#""sockets":44"#);
    let paid = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let mut fixture = start_with_full_backlog(&[LONG_TIMEOUTS[0], LONG_TIMEOUTS[1], one_connection, paid]);
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

/// The first answer comes on the line on which it was given up, while the same id is out at the same server on another: an end
/// told for the one would be taken for the other's.
#[test]
fn a_late_answer_under_an_id_that_is_out_there_again_is_passed_over() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(112, &[TITLE_AT_FIRST]));
    let (mut old, request) = fixture.next_set_up(0);
    assert_eq!(old.expect_request("TEARDOWN").header("Reason"), None);
    let (mut connection, again) = fixture.next_set_up(0);
    assert_eq!(again.session(), 112);
    old.respond(&request, 200, "late\r\n");
    viewer.expect_no_message();
    connection.respond(&again, 200, DESCRIPTION);
    assert_eq!(viewer.expect_message(ANSWER, 112).parameter(48), Some(DESCRIPTION.as_bytes()));
    connection.end_play(&mut viewer, 112);
    fixture.node.send_signal("TERM");
    assert!(fixture.node.wait_for_exit().success());
    assert!(old.next_request().is_none(), "no end was told on the line of the attempt given up");
}

/// It was idle; its server closes it in the instant in which a set-up comes. A paid one that went out on it would have failed.
#[test]
fn a_set_up_is_not_written_on_a_connection_that_its_server_has_closed() {
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

/// Its server closes connections that are idle for 2 s; one that is nearly that may be closed as the set-up is on its way.
#[test]
fn a_connection_that_is_about_to_be_closed_as_idle_gets_no_set_up() {
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
