//! Sessions that stand at a node, where the word of their end crosses another event: their hand-over, or the close of the connection on
//! which it is told. `docs/notes/crossings.md` has a row for each.

mod peers;
mod stage;

use peers::{Host, Names, Node, Viewer, Wire, message, set_up};
use stage::{HERE, RELEASE, Stage, late_stage, stage};
use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

const AT: (u8, &str) = (18, "home:0;copies:1;top:1;at:s-0000000a");

/// The server tells of ends on the first connection that it sees, of which the hand-over is still to come.
#[test]
fn a_session_that_is_handed_over_after_its_servers_release_is_over() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(120, &[AT, (6, "0")]));
    let mut wire = stage.hosts[0].accept();
    wire.request("TEARDOWN", 121, "Reason: cause=41\r\n");
    wire.ends(&mut viewer, 120);
    viewer.say(&set_up(121, &[AT, (6, "0")]));
    assert_eq!(viewer.hears(RELEASE, 121).cause(), 41);
    // What is handed over once more after its end was told stays over.
    viewer.say(&set_up(121, &[AT, (6, "0")]));
    viewer.say(&set_up(120, &[AT, (6, "0")]));
    viewer.hears_nothing();
    stage.node.logs("sessions=0");
}

/// The end is told on the connection that is being read, and more waits there than is read at a time.
#[test]
fn what_waits_on_a_connection_as_an_end_is_told_on_it_is_not_lost() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(125, &[AT, (6, "0")]));
    let mut wire = stage.hosts[0].accept();
    wire.request("TEARDOWN", 126, "Reason: cause=41\r\n");
    wire.ends(&mut viewer, 125);
    stage.node.meanwhile(|| {
        let mut bytes = set_up(126, &[AT, (6, "0")]);
        // Progress, which means nothing, and then a test.
        (0..6_000).for_each(|_| bytes.extend(message(6, 126, &[])));
        bytes.extend(message(52, 127, &[(45, &[0])]));
        viewer.say(&bytes);
    });
    assert_eq!(viewer.hears(RELEASE, 126).cause(), 41);
    viewer.hears(53, 127);
}

/// Its viewer ends it on one connection while another hands it over.
#[test]
fn a_session_that_is_handed_over_after_its_viewers_release_is_ended_at_its_server() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&message(RELEASE, 122, &[(45, &[19])]));
    viewer.hears_nothing();
    let mut other = stage.node.viewer();
    other.say(&set_up(122, &[AT, (6, "0")]));
    let cut = stage.hosts[0].accept().wants("TEARDOWN");
    assert_eq!((cut.session(), cut.get("Reason")), (122, Some("cause=19")));
}

/// Handed over and ended in one go, while no connection to its server comes up in time.
#[test]
fn an_end_that_its_connection_could_not_carry_is_told_on_the_next() {
    let mut stage = late_stage(&[]);
    let mut viewer = stage.node.viewer();
    let mut both = set_up(123, &[AT, (6, "0")]);
    both.extend(message(RELEASE, 123, &[(45, &[19])]));
    viewer.say(&both);
    // The time to make the first connection has passed by then.
    stage.names.asked(5);
    stage.hosts[0].comes_up();
    let cut = stage.hosts[0].accept().next().expect("an end");
    assert_eq!((cut.method(), cut.session(), cut.get("Reason")), ("TEARDOWN", 123, Some("cause=19")));
}

/// The list of the start lacks its server, and the name service is silent: it may be on the list that comes.
#[test]
fn a_session_at_a_server_that_no_list_has_told_of_yet_is_not_over() {
    let hosts = [Host::start("s-0000000a", 0), Host::start("s-0000000b", 1)];
    let names = Names::start(hosts.iter().map(Host::record).collect());
    names.change(|zone| (zone.serial, zone.manner) = (2, peers::Manner::Silent));
    let node = Node::start(&Node::posting(names.at, &[&hosts[1]], 256, 3_000_000));
    let mut viewer = node.viewer();
    viewer.say(&set_up(124, &[AT, (6, "0")]));
    viewer.hears_nothing();
    // Two looks at the servers and more.
    names.asked(8);
    names.change(|zone| zone.manner = peers::Manner::Good);
    hosts[0].accept().ends(&mut viewer, 124);
}

// ---- the word of an end, and the close of the connection that it is told on ----

/// A viewer with a session that stands, another of the same address that has asked for something, and the session's connection.
fn two_viewers(stage: &Stage, session: u64) -> (Viewer, Viewer, Wire) {
    let (mut first, mut other) = (stage.node.viewer(), stage.node.viewer());
    let mut wire = stage.stands(&mut first, session);
    other.say(&set_up(session + 1, &[HERE]));
    wire.serves(&mut other, session + 1);
    (first, other, wire)
}

/// The end has come to its viewer's machine, and nobody reads it there any more.
#[test]
fn an_end_that_its_viewer_has_not_read_as_it_closed_is_told_on_another_connection() {
    let stage = stage();
    let (first, mut other, mut wire) = two_viewers(&stage, 130);
    wire.request("TEARDOWN", 130, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    // Half a second of the node's own time: what was written then crosses nothing.
    stage.names.asked(3);
    drop(first);
    assert_eq!(other.hears(RELEASE, 130).cause(), 41);
    other.hears_nothing();
}

/// Of several that are there, one of its own address, though another has come later: a connection that was broken off has none any more.
#[test]
fn an_end_that_was_not_read_is_told_where_its_viewer_is() {
    let stage = stage();
    let here = [127, 0, 0, 2];
    let (mut first, mut own, mut another) =
        (stage.node.viewer_at(here), stage.node.viewer_at(here), stage.node.viewer());
    let mut wire = stage.stands(&mut first, 160);
    for (viewer, play) in [(&mut own, 161), (&mut another, 162)] {
        viewer.say(&set_up(play, &[HERE]));
        wire.serves(viewer, play);
    }
    wire.request("TEARDOWN", 160, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    drop(first);
    assert_eq!(own.hears(RELEASE, 160).cause(), 41);
    another.hears_nothing();
}

/// Nobody is there to be told: whoever asks for something next is.
#[test]
fn an_end_that_its_viewer_has_not_read_is_told_to_whoever_comes() {
    let stage = stage();
    let mut first = stage.node.viewer();
    let mut wire = stage.stands(&mut first, 132);
    wire.request("TEARDOWN", 132, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    stage.names.asked(3);
    drop(first);
    let mut next = stage.node.viewer();
    next.say(&set_up(133, &[HERE]));
    assert_eq!(next.hears(RELEASE, 132).cause(), 41);
    wire.serves(&mut next, 133);
}

/// It reads nothing at all, and is closed for that with the end among what it has not read.
#[test]
fn an_end_told_to_a_viewer_that_reads_nothing_is_told_on_another_connection() {
    let stage = stage();
    let (mut first, mut other, mut wire) = two_viewers(&stage, 134);
    wire.request("TEARDOWN", 134, "Reason: cause=41\r\n");
    first.stream.peek(&mut [0]).expect("the end comes");
    stage.names.asked(3);
    let tests = message(52, 136, &[(45, &[0])]).repeat(1_000);
    while first.stream.write_all(&tests).is_ok() {}
    assert_eq!(other.hears(RELEASE, 134).cause(), 41);
    drop(first);
}

/// The end and the close come in the same instant, whichever the node looks at first.
#[test_case(true; "the end first")]
#[test_case(false; "the close first")]
fn an_end_in_the_instant_in_which_its_viewer_closes_is_told_on_another_connection(end_first: bool) {
    let stage = stage();
    let (first, mut other, mut wire) = two_viewers(&stage, 137);
    let mut first = Some(first);
    stage.node.meanwhile(|| {
        first.take_if(|_| !end_first);
        wire.request("TEARDOWN", 137, "Reason: cause=41\r\n");
        first.take();
    });
    assert_eq!(other.hears(RELEASE, 137).cause(), 41);
    other.hears_nothing();
}

/// It closes its side before it has read the end, which comes to nobody then: the close may be seen first, and that it was not read
/// only later. Which of them is, is the machine's, so that it is done some times.
#[test]
fn an_end_that_crosses_its_viewers_close_is_told_on_another_connection() {
    let stage = stage();
    let (mut first, mut other, mut wire) = two_viewers(&stage, 149);
    for play in 139..149 {
        first.say(&set_up(play, &[HERE]));
        wire.serves(&mut first, play);
        wire.request("TEARDOWN", play, "Reason: cause=41\r\n");
        first.stream.peek(&mut [0]).expect("the end comes");
        first.stream.shutdown(Shutdown::Write).expect("so");
        first = stage.node.viewer();
        assert_eq!(other.hears(RELEASE, play).cause(), 41);
    }
    other.hears_nothing();
}

/// An end that was read before its viewer closed is told nobody else.
#[test]
fn an_end_that_was_read_is_told_once() {
    let stage = stage();
    let (mut first, mut other, mut wire) = two_viewers(&stage, 151);
    wire.ends(&mut first, 151);
    let held = stage.node.holds();
    drop(first);
    let since = Instant::now();
    while stage.node.holds() >= held {
        assert!(since.elapsed() < peers::PATIENCE, "its connection is closed");
        std::thread::sleep(Duration::from_millis(5));
    }
    other.hears_nothing();
}
