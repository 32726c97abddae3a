//! The front on the platform's protocol, as a process, between scripted peers: one story a failure. What is held is what the
//! peers saw on their sockets.

mod peers;
mod stage;

use peers::{DESCRIPTION, Host, Node, Record, message, set_up};
use stage::{ANSWER, HERE, RELEASE, stage, stage_told, wait_any};
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn a_play_from_set_up_to_release() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(0x9b1f_03aa_5c7e_2d41, &[HERE, (33, "8200.0")]));
    let mut wire = stage.hosts[0].accept();
    let asked = wire.wants("SETUP");
    assert_eq!(asked.line, "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0");
    assert_eq!((asked.get("CSeq"), asked.get("Session")), (Some("1"), Some("9b1f03aa5c7e2d41")));
    assert_eq!((asked.get("X-Call-Class"), asked.get("Rate-Step")), (Some("paid"), Some("1")));
    let waits: u32 = asked.get("X-Ring-Limit").expect("a wait").parse().expect("ms");
    assert!(waits > 0 && waits <= 3000);
    assert_eq!(asked.body, DESCRIPTION);
    // Progress means nothing; the description is the server's own, whatever it is.
    wire.answer(&asked, 180, "");
    wire.answer(&asked, 200, "another one\r\n");
    let told = viewer.hears(ANSWER, asked.session());
    assert_eq!(told.parameters, [(48, b"another one\r\n".to_vec())]);
    wire.request("ANNOUNCE", asked.session(), "X-Why: l\r\nFigure: 0.2\r\n");
    wire.ends(&mut viewer, asked.session());
    // It is sent again on the next connection: a session that is unknown by now is passed over.
    wire.request("TEARDOWN", asked.session(), "Reason: cause=16\r\n");
    viewer.hears_nothing();
}

#[test]
fn a_release_takes_whichever_connection_is_left_or_comes() {
    let stage = stage();
    let mut first = stage.node.viewer();
    let mut wire = stage.stands(&mut first, 1);
    drop(first);
    wire.request("TEARDOWN", 1, "Reason: cause=41\r\n");
    // Nobody is there; whoever asks next is told.
    let mut second = stage.node.viewer();
    second.say(&set_up(2, &[HERE]));
    assert_eq!(second.hears(RELEASE, 1).cause(), 41);
    wire.serves(&mut second, 2);
    let mut third = stage.node.viewer();
    third.say(&set_up(3, &[HERE]));
    wire.serves(&mut third, 3);
    drop(third);
    wire.ends(&mut second, 3);
}

#[test]
fn a_set_up_that_is_given_up_is_withdrawn_and_its_late_answer_ended() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(5, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    viewer.say(&message(RELEASE, 5, &[(45, &[16])]));
    let gone = wire.wants("TEARDOWN");
    assert_eq!((gone.session(), gone.get("CSeq"), gone.get("Reason")), (5, Some("2"), None));
    wire.answer(&asked, 200, DESCRIPTION);
    let ended = wire.wants("TEARDOWN");
    assert!(ended.session() == 5 && ended.get("Reason").is_some(), "{ended:?}");
    viewer.hears_nothing();
}

#[test]
fn an_allocation_that_timed_out_is_given_up_and_its_late_answer_not_passed_on() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(6, &[]));
    let at = usize::from(wait_any(&stage));
    let (mut slow, asked) = stage.next_at(at);
    assert_eq!(slow.wants("TEARDOWN").session(), 6);
    let (mut good, again) = stage.next_at(1 - at);
    slow.answer(&asked, 200, "late\r\n");
    let ended = slow.wants("TEARDOWN");
    assert!(ended.get("Reason").is_some());
    good.answer(&again, 200, DESCRIPTION);
    assert_eq!(viewer.hears(ANSWER, 6).get(48), Some(DESCRIPTION.as_bytes()));
    viewer.hears_nothing();
}

#[test]
fn a_viewer_ends_what_stands_on_any_connection() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 7);
    stage.node.viewer().say(&message(RELEASE, 7, &[(45, &[19])]));
    let cut = wire.wants("TEARDOWN");
    assert_eq!((cut.session(), cut.get("Reason")), (7, Some("cause=19")));
    wire.request("TEARDOWN", 7, "Reason: cause=31\r\n");
    viewer.hears_nothing();
}

/// It is the only connection that is left, and may be for long.
#[test]
fn a_connection_that_ended_one_session_hears_of_the_end_of_another() {
    let stage = stage();
    let mut first = stage.node.viewer();
    let mut wire = stage.stands(&mut first, 14);
    first.say(&set_up(15, &[HERE]));
    wire.serves(&mut first, 15);
    let mut other = stage.node.viewer();
    other.say(&message(RELEASE, 14, &[(45, &[31])]));
    wire.wants("TEARDOWN");
    drop(first);
    wire.ends(&mut other, 15);
}

#[test_case(453; "full")]
#[test_case(500; "an error")]
#[test_case(454; "moot")]
#[test_case(504; "reset")]
fn a_play_that_one_holder_turns_away_is_asked_of_the_other(status: u16) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(8, &[]));
    let at = usize::from(wait_any(&stage));
    let (mut first, asked) = stage.next_at(at);
    first.answer(&asked, status, "");
    let (mut second, again) = stage.next_at(1 - at);
    second.answer(&again, 200, DESCRIPTION);
    viewer.hears(ANSWER, 8);
}

#[test]
fn what_is_given_up_on_is_answered_at_once_with_a_time_to_come_back() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let since = Instant::now();
    viewer.say(&set_up(9, &[HERE]));
    let (mut wire, mut asked) = stage.next_at(0);
    for _ in 0..3 {
        wire.answer(&asked, 453, "");
        asked = wire.wants("SETUP");
    }
    wire.answer(&asked, 453, "");
    let told = viewer.hears(RELEASE, 9);
    assert_eq!((told.cause(), told.get(21)), (34, Some(b"500".as_slice())));
    assert!(since.elapsed() < Duration::from_millis(2_900), "not held back to its time limit");
}

/// The next turn at the only holder, which has just started, is a minute away; its viewer would wait for two.
#[test]
fn a_play_that_waits_for_a_cold_server_hears_when_that_goes() {
    let cold = [
        (r#""coldUs":0"#, r#""coldUs":90000000"#),
        (r#""placesByKind":[1000.0]"#, r#""placesByKind":[2.0]"#),
    ];
    let stage = stage_told(256, &cold);
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let cold = Record { started: started.as_millis() as u64, ..stage.hosts[0].record() };
    stage.names.change(|zone| (zone.serial, zone.records) = (2, vec![cold.clone()]));
    stage.node.logs("serial=2");
    let mut viewer = stage.node.viewer();
    let _first = stage.stands(&mut viewer, 60);
    viewer.say(&set_up(61, &[HERE, (6, "120000")]));
    viewer.hears_nothing();
    stage.names.change(|zone| (zone.serial, zone.records) = (3, vec![Record { draining: true, ..cold }]));
    let told = viewer.hears(RELEASE, 61);
    assert_eq!((told.cause(), told.get(21)), (34, Some(b"500".as_slice())));
    stage.node.logs("serial=3");
}

#[test]
fn a_holder_that_refuses_connections_costs_a_play_nothing_but_the_way() {
    let mut stage = stage();
    stage.hosts[0].deaf();
    let mut viewer = stage.node.viewer();
    let mut wire = None;
    for play in 10..14 {
        viewer.say(&set_up(play, &[]));
        let wire = wire.get_or_insert_with(|| stage.hosts[1].accept());
        wire.serves(&mut viewer, play);
    }
}

#[test]
fn a_connection_reset_under_a_set_up_costs_it_an_allocation() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(15, &[]));
    let at = usize::from(wait_any(&stage));
    let (wire, _) = stage.next_at(at);
    wire.reset();
    let (mut other, again) = stage.next_at(1 - at);
    other.answer(&again, 200, DESCRIPTION);
    viewer.hears(ANSWER, 15);
}

#[test]
fn a_reset_of_its_connection_ends_no_session_whose_server_is_still_there() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    let wire = stage.stands(&mut viewer, 16);
    wire.reset();
    let mut next = stage.hosts[0].accept();
    viewer.hears_nothing();
    next.request("TEARDOWN", 16, "Reason: cause=16\r\n");
    assert_eq!(viewer.hears(RELEASE, 16).cause(), 16);
    // One that is not there any more has cut all that stood.
    next.reset();
    let wire = stage.stands(&mut viewer, 17);
    stage.hosts[0].deaf();
    wire.reset();
    assert_ne!(viewer.hears(RELEASE, 17).cause(), 16);
}

#[test]
fn a_server_that_is_silent_and_takes_no_connection_has_lost_its_sessions() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    let wire = stage.stands(&mut viewer, 18);
    stage.hosts[0].deaf();
    assert_ne!(viewer.hears(RELEASE, 18).cause(), 16);
    drop(wire);
}

/// Its notes are due ten times a second; it has eight seconds until viewers must hear of an end.
#[test]
fn a_server_that_was_cut_off_for_some_seconds_keeps_its_sessions() {
    let mut stage = stage();
    let all: Vec<&Host> = stage.hosts.iter().collect();
    stage.node = Node::start(&Node::posting(stage.names.at, &all, 256, 100_000));
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 19);
    stage.hosts[0].deaf();
    for _ in 0..2 {
        // One that says nothing is closed after 2.4 s.
        assert_eq!(stage.node.viewer().next(), None);
    }
    wire.ends(&mut viewer, 19);
}
