//! Viewers that leave with much unread, and that come again under the id of a request that they have left.

mod fake_peers;
mod node_fixture;

use fake_peers::{DESCRIPTION, ServerConnection, Viewer, encode_message, set_up_message};
use node_fixture::{ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_replacements};
use std::io::Write;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Cause of the release of a play that has failed.
const FAILED: u8 = 41;
/// Replacement in the configuration: no set-up may run twice.
const NON_IDEMPOTENT: (&str, &str) = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);

/// As much as fits is written before the node reads any of it, and then the connection ends. Guards against set-ups that are sent
/// although their viewer has left.
#[test_case(false; "closed")]
#[test_case(true; "reset")]
fn unread_set_ups_of_a_viewer_that_has_left_are_not_sent(reset: bool) {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.expect_no_message();
    fixture.node.while_paused(|| {
        viewer.stream.set_nonblocking(true).expect("making the socket non-blocking");
        for play in 1..20_000 {
            if viewer.stream.write_all(&set_up_message(play, &[])).is_err() {
                break;
            }
        }
        if reset { viewer.reset() } else { drop(viewer) }
    });
    let mut other_viewer = fixture.node.connect_viewer();
    fixture.wait_until_read(&mut other_viewer);
    assert!(!fixture.servers[0].has_connection() && !fixture.servers[1].has_connection());
}

/// What becomes of the first request under the id.
#[derive(Clone, Copy, PartialEq)]
enum FirstRequest {
    LeftUnanswered,
    EndedByViewer,
    EndedByServer,
}

/// Sends a set-up, which reaches the first server, and has it end in this way.
fn end_first_request(fixture: &NodeFixture, play: u64, first: FirstRequest) -> ServerConnection {
    let mut viewer: Viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    if first == FirstRequest::LeftUnanswered {
        drop(viewer);
        connection.expect_request("TEARDOWN");
        return connection;
    }
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, play);
    if first == FirstRequest::EndedByServer {
        connection.end_play(&mut viewer, play);
    } else {
        viewer.send(&encode_message(RELEASE, play, &[(45, &[16])]));
        connection.expect_request("TEARDOWN");
    }
    connection
}

/// Guards against an id that runs twice because it comes again after its viewer has left, or after its session has ended.
#[test_case(FirstRequest::LeftUnanswered; "left unanswered")]
#[test_case(FirstRequest::EndedByViewer; "ended by its viewer")]
#[test_case(FirstRequest::EndedByServer; "ended by its server")]
fn returning_id_that_may_have_run_is_not_set_up_again(first: FirstRequest) {
    let fixture = start_with_replacements(256, &[NON_IDEMPOTENT]);
    let mut connection = end_first_request(&fixture, 200, first);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(200, &[]));
    assert_eq!(viewer.expect_message(RELEASE, 200).cause(), FAILED);
    connection.expect_no_request();
    assert!(!fixture.servers[0].has_connection() && !fixture.servers[1].has_connection());
}

/// An id that may have run comes again twice, the first time on a connection that has no room for it. Guards against one that is
/// forgotten with its refusal.
#[test]
fn returning_id_that_was_refused_for_want_of_room_is_not_set_up_later() {
    let fixture = start_with_replacements(256, &[NON_IDEMPOTENT]);
    let connection = end_first_request(&fixture, 203, FirstRequest::LeftUnanswered);
    let mut crowded_viewer = fixture.node.connect_viewer();
    let pending = (300..348).flat_map(|play| set_up_message(play, &[TITLE_AT_FIRST]));
    crowded_viewer.send(&pending.chain(set_up_message(203, &[])).collect::<Vec<u8>>());
    assert_eq!(crowded_viewer.expect_message(RELEASE, 203).cause(), FAILED);
    let mut viewer = fixture.node.connect_viewer();
    let sent_at = Instant::now();
    viewer.send(&set_up_message(203, &[]));
    assert_eq!(viewer.expect_message(RELEASE, 203).cause(), FAILED);
    // An attempt that no server answers takes a third of the target of 2 s.
    assert!(sent_at.elapsed() < Duration::from_millis(500), "an attempt was made");
    drop(connection);
}

/// Where a repeat does no harm, an id that comes again is set up again, on a connection of its own.
#[test]
fn returning_id_that_may_be_repeated_is_set_up_again() {
    let fixture = start_fixture();
    let connection = end_first_request(&fixture, 201, FirstRequest::LeftUnanswered);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(201, &[TITLE_AT_FIRST]));
    let (mut next_connection, request) = fixture.next_set_up(0);
    next_connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 201);
    drop(connection);
}

/// Nothing was sent for the first request, as no connection to its server was established: it is set up when it comes again.
#[test]
fn returning_id_that_never_ran_is_set_up() {
    let mut fixture = node_fixture::start_with_full_backlog(&[NON_IDEMPOTENT]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(202, &[TITLE_AT_FIRST]));
    fixture.wait_until_read(&mut viewer);
    drop(viewer);
    fixture.servers[0].drain_backlog();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(202, &[(18, "home:1;copies:1;top:1;viewer:00000000b4d65521")]));
    let (mut connection, request) = fixture.next_set_up(1);
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 202);
}
