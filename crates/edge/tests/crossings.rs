//! Two events at a node in the same instant, one of them a viewer's or a server's: the crossing is forced, by a node that stands still
//! while both come, or by a connection that comes up when it is told to. `docs/notes/crossings.md` has a row for each.

mod peers;
mod stage;

use peers::{DESCRIPTION, Viewer, message, set_up};
use stage::{ANSWER, HERE, RELEASE, Stage, late_stage, stage, stage_told};
use std::net::Shutdown;
use std::time::{Duration, Instant};
use test_case::test_case;

/// How a viewer goes.
#[derive(Clone, Copy)]
enum Goes {
    Closes,
    Resets,
    HalfCloses,
    GivesUp,
}

fn goes(mut viewer: Viewer, play: u64, how: Goes) -> Option<Viewer> {
    match how {
        Goes::Closes => drop(viewer),
        Goes::Resets => viewer.reset(),
        Goes::HalfCloses => {
            viewer.stream.shutdown(Shutdown::Write).expect("so");
            return Some(viewer);
        }
        Goes::GivesUp => {
            viewer.say(&message(RELEASE, play, &[(45, &[16])]));
            return Some(viewer);
        }
    }
    None
}

/// The next set-up that the first host is asked for is this one.
fn next_is(stage: &Stage, play: u64) {
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(play, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    assert_eq!(asked.session(), play, "nobody waits for an earlier one");
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, play);
}

#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::Resets; "resets")]
#[test_case(Goes::HalfCloses; "closes one side")]
#[test_case(Goes::GivesUp; "gives up")]
fn a_viewer_that_goes_as_its_set_up_is_read_has_none_made(how: Goes) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.hears_nothing();
    let mut kept = None;
    stage.node.meanwhile(|| {
        viewer.say(&set_up(101, &[HERE]));
        kept = goes(viewer, 101, how);
    });
    next_is(&stage, 102);
    drop(kept);
}

/// The time of its first attempt and its viewer's end come while the node stands still; so does the server's refusal.
#[test_case(Goes::Closes, false; "closes as its time rings")]
#[test_case(Goes::GivesUp, false; "gives up as its time rings")]
#[test_case(Goes::Closes, true; "closes as it is refused")]
#[test_case(Goes::GivesUp, true; "gives up as it is refused")]
fn a_viewer_that_goes_has_no_further_attempt_made(how: Goes, refused: bool) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    // A connection that has been up for long: no clock of its own has it read.
    let mut wire = stage.stands(&mut viewer, 100);
    stage.has_read(&mut viewer);
    viewer.say(&set_up(103, &[HERE]));
    let asked = wire.wants("SETUP");
    let mut kept = None;
    stage.node.meanwhile(|| {
        if refused {
            wire.answer(&asked, 453, "");
        } else {
            // A third of the first-frame target, and more.
            std::thread::sleep(Duration::from_millis(1_000));
        }
        kept = goes(viewer, 103, how);
    });
    let mut next = stage.node.viewer();
    next.say(&set_up(104, &[HERE]));
    if !refused {
        wire.wants("TEARDOWN");
    }
    assert_eq!(wire.wants("SETUP").session(), 104);
    drop(kept);
}

/// Its time had rung before its server's answer was read.
#[test]
fn an_answer_that_has_come_counts_before_the_time_that_rings() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 100);
    stage.has_read(&mut viewer);
    viewer.say(&set_up(105, &[HERE]));
    let asked = wire.wants("SETUP");
    stage.node.meanwhile(|| {
        std::thread::sleep(Duration::from_millis(1_000));
        wire.answer(&asked, 200, DESCRIPTION);
    });
    viewer.hears(ANSWER, 105);
    wire.ends(&mut viewer, 105);
}

/// The answer comes first, and the node reads it first; its viewer was gone by then.
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::GivesUp; "gives up")]
fn an_answer_for_a_viewer_that_has_gone_leaves_nothing_standing(how: Goes) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(106, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    let mut kept = None;
    stage.node.meanwhile(|| {
        wire.answer(&asked, 200, DESCRIPTION);
        kept = goes(viewer, 106, how);
    });
    assert_eq!(wire.wants("TEARDOWN").session(), 106);
    if let Some(mut viewer) = kept {
        viewer.hears_nothing();
    }
}

/// The node waits for connections for 10 s, and for answers for 30 s.
const PATIENT: [(&str, &str); 2] = [
    (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#),
    (r#""aimUs":2000000"#, r#""aimUs":90000000"#),
];
const LONG: (u8, &str) = (6, "120000");

/// Its connection is still being made; what waits there would reach the server when nobody asks for it any more.
#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::GivesUp; "gives up")]
fn a_set_up_that_waits_for_its_connection_is_taken_back_with_its_viewer(how: Goes) {
    let mut stage = late_stage(&PATIENT);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(107, &[HERE, LONG]));
    stage.has_read(&mut viewer);
    let kept = goes(viewer, 107, how);
    let mut next = stage.node.viewer();
    stage.has_read(&mut next);
    next.say(&set_up(108, &[HERE, LONG]));
    stage.has_read(&mut next);
    stage.hosts[0].comes_up();
    assert_eq!(stage.next_at(0).1.session(), 108, "it is the first on the first connection");
    drop(kept);
}

#[test]
fn a_set_up_that_waits_for_its_connection_is_taken_back_when_its_server_drains() {
    let mut stage = late_stage(&PATIENT);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(109, &[HERE, LONG]));
    stage.has_read(&mut viewer);
    let mut draining = stage.hosts[0].record();
    draining.draining = true;
    stage.names.change(|zone| (zone.serial, zone.records) = (2, vec![draining]));
    assert_eq!(viewer.hears(RELEASE, 109).cause(), 34);
    stage.hosts[0].comes_up();
    let mut wire = stage.hosts[0].accept();
    stage.node.signal("TERM");
    assert!(wire.next().is_none(), "nothing was sent on it");
}

/// A set-up waits on a connection that is still being made, and this comes in the instant in which that comes up, after it.
fn as_its_connection_comes_up(stage: &mut Stage, then: impl FnOnce()) {
    let (node, host) = (&stage.node, &mut stage.hosts[0]);
    node.meanwhile(|| {
        host.comes_up();
        host.until_called();
        then();
    });
}

#[test_case(Goes::Closes; "closes")]
#[test_case(Goes::Resets; "resets")]
#[test_case(Goes::HalfCloses; "closes one side")]
#[test_case(Goes::GivesUp; "gives up")]
fn a_viewer_that_goes_as_the_connection_of_its_set_up_comes_up_has_nothing_sent(how: Goes) {
    let mut stage = late_stage(&PATIENT);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(118, &[HERE, LONG]));
    stage.has_read(&mut viewer);
    let mut kept = None;
    as_its_connection_comes_up(&mut stage, || kept = goes(viewer, 118, how));
    let mut next = stage.node.viewer();
    next.say(&set_up(119, &[HERE, LONG]));
    assert_eq!(stage.next_at(0).1.session(), 119, "it is the first on that connection");
    drop(kept);
}

/// The time of a paid set-up is over by the time at which its connection is up. Nothing of it has left: it goes on elsewhere, which
/// what may have run does not.
#[test]
fn a_set_up_whose_time_is_over_as_its_connection_comes_up_is_not_sent() {
    let paid = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let brief = (r#""aimUs":2000000"#, r#""aimUs":6000000"#);
    let mut stage = late_stage(&[PATIENT[0], brief, paid]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(117, &[HERE, LONG]));
    stage.has_read(&mut viewer);
    // That of one attempt is 2 s; the node's own has passed by far when it goes on.
    as_its_connection_comes_up(&mut stage, || std::thread::sleep(Duration::from_millis(2_500)));
    stage.hosts[0].accept().serves(&mut viewer, 117);
}

/// A connection that is not up when the time of a set-up on it rings may never be: the next attempt goes on another.
#[test]
fn a_further_attempt_does_not_wait_for_the_connection_that_was_too_late() {
    let mut stage = late_stage(&[PATIENT[0], (r#""aimUs":2000000"#, r#""aimUs":600000"#)]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(117, &[HERE, LONG]));
    // 0.6 s of the node's own time and more: that of one attempt is 0.2 s.
    stage.names.asked(5);
    stage.hosts[0].comes_up();
    let (_first, _second) = (stage.hosts[0].accept(), stage.hosts[0].accept());
}

/// Two paid set-ups wait on one connection; the first is taken back. The second goes out whole, and has left when the connection is
/// reset: it may have run, and is not made again.
#[test]
fn what_waits_beside_a_set_up_that_is_taken_back_goes_out_whole() {
    let one_line = (r#""sockets":256"#, r#""sockets":44"#);
    let paid = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
    let mut stage = late_stage(&[PATIENT[0], PATIENT[1], one_line, paid]);
    let (mut first, mut second) = (stage.node.viewer(), stage.node.viewer());
    for (viewer, play) in [(&mut first, 110), (&mut second, 111)] {
        viewer.say(&set_up(play, &[HERE, LONG]));
        stage.has_read(viewer);
    }
    first.say(&message(RELEASE, 110, &[(45, &[16])]));
    stage.has_read(&mut first);
    stage.hosts[0].comes_up();
    let (wire, asked) = stage.next_at(0);
    assert_eq!((asked.session(), asked.body.as_str()), (111, DESCRIPTION));
    wire.reset();
    assert_eq!(second.hears(RELEASE, 111).cause(), 41);
}

/// The first answer comes on the line on which it was given up, while the same id is out at the same server on another: an end
/// told for the one would be taken for the other's.
#[test]
fn a_late_answer_under_an_id_that_is_out_there_again_is_passed_over() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(112, &[HERE]));
    let (mut old, asked) = stage.next_at(0);
    assert_eq!(old.wants("TEARDOWN").get("Reason"), None);
    let (mut wire, again) = stage.next_at(0);
    assert_eq!(again.session(), 112);
    old.answer(&asked, 200, "late\r\n");
    viewer.hears_nothing();
    wire.answer(&again, 200, DESCRIPTION);
    assert_eq!(viewer.hears(ANSWER, 112).get(48), Some(DESCRIPTION.as_bytes()));
    wire.ends(&mut viewer, 112);
    stage.node.signal("TERM");
    assert!(stage.node.ended().success());
    assert!(old.next().is_none(), "no end was told on the line of the attempt given up");
}

/// It was idle; its server closes it in the instant in which a set-up comes. A paid one that went out on it would have failed.
#[test]
fn a_set_up_is_not_written_on_a_connection_that_its_server_has_closed() {
    let stage = stage_told(256, &[(r#""effect":"read_like""#, r#""effect":"non_idempotent""#)]);
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 113);
    wire.ends(&mut viewer, 113);
    stage.node.meanwhile(|| {
        viewer.say(&set_up(114, &[HERE]));
        wire.close();
    });
    stage.hosts[0].accept().serves(&mut viewer, 114);
}

/// Its server closes connections that are idle for 2 s; one that is nearly that may be closed as the set-up is on its way.
#[test]
fn a_connection_that_is_about_to_be_closed_as_idle_gets_no_set_up() {
    let stage = stage_told(256, &[PATIENT[1], (r#""idleCloseUs":30000000"#, r#""idleCloseUs":2000000"#)]);
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 115);
    wire.ends(&mut viewer, 115);
    let since = Instant::now();
    while since.elapsed() < Duration::from_millis(1_800) {
        viewer.hears_nothing();
        std::thread::sleep(Duration::from_millis(20));
    }
    viewer.say(&set_up(116, &[HERE, LONG]));
    stage.hosts[0].accept().serves(&mut viewer, 116);
}
