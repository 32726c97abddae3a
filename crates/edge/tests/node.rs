//! The front on the platform's protocol, as a process, between scripted peers: one story a failure. What is held is what the
//! peers saw on their sockets.

mod peers;

use peers::{DESCRIPTION, Host, Manner, Names, Node, Record, Viewer, Wire, answer, message, set_up};
use std::time::{Duration, Instant};
use test_case::test_case;

const SET_UP: u8 = 1;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

/// A node with two holders of every title.
struct Stage {
    node: Node,
    names: Names,
    hosts: Vec<Host>,
}

fn stage_of(sockets: usize) -> Stage {
    stage_told(sockets, &[])
}

/// A stage whose node is told otherwise in places of its settings.
fn stage_told(sockets: usize, otherwise: &[(&str, &str)]) -> Stage {
    let hosts = vec![Host::start("s-0000000a", 0), Host::start("s-0000000b", 1)];
    let names = Names::start(hosts.iter().map(Host::record).collect());
    let all: Vec<&Host> = hosts.iter().collect();
    let mut posting = Node::posting(names.at, &all, sockets, 3_000_000);
    for (was, is) in otherwise {
        assert!(posting.contains(was), "{was}");
        posting = posting.replace(was, is);
    }
    let node = Node::start(&posting);
    Stage { node, names, hosts }
}

fn stage() -> Stage {
    stage_of(256)
}

/// Title at the first host only.
const HERE: (u8, &str) = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521");

impl Stage {
    /// A play that stands at the first host.
    fn stands(&self, viewer: &mut Viewer, session: u64) -> Wire {
        viewer.say(&set_up(session, &[HERE]));
        let mut wire = self.hosts[0].accept();
        wire.serves(viewer, session);
        wire
    }

    /// The next set-up of a play, at whichever host it comes.
    fn next_at(&self, host: usize) -> (Wire, peers::Asked) {
        let mut wire = self.hosts[host].accept();
        let asked = wire.wants("SETUP");
        (wire, asked)
    }
}

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

/// Which host the node has called.
fn wait_any(stage: &Stage) -> bool {
    let since = Instant::now();
    loop {
        for host in [0, 1] {
            if stage.hosts[host].called() {
                return host == 1;
            }
        }
        assert!(since.elapsed() < peers::PATIENCE, "a host is called");
        std::thread::sleep(Duration::from_millis(2));
    }
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

// ---- bad viewers ----

fn many(n: u64) -> Vec<u8> {
    (0..n).flat_map(|i| set_up(1000 + i, &[(3, "unheard-of")])).collect()
}

#[test_case(vec![0, 3, 1, 0, 0]; "a length too short")]
#[test_case(vec![0xff, 0xff, 1, 0, 0, 0]; "a length beyond what is taken")]
#[test_case(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(); "another protocol")]
#[test_case(vec![7; 200_000]; "noise without end")]
#[test_case(set_up(0, &[]); "no id")]
#[test_case(set_up(20, &[(3, "")]); "no class")]
#[test_case(set_up(20, &[(3, "unheard-of")]); "an unknown class")]
#[test_case(set_up(20, &[(15, "")]); "no title")]
#[test_case(set_up(20, &[(6, "")]); "no time limit")]
#[test_case(set_up(20, &[(6, "-5")]); "a negative time limit")]
#[test_case(set_up(20, &[(6, "1e300")]); "a huge time limit")]
#[test_case(set_up(20, &[(6, "soon")]); "a time limit that is no number")]
#[test_case(set_up(20, &[(33, "NaN")]); "a hint that is no number")]
#[test_case(set_up(20, &[(18, "home:99;copies:1;top:1")]); "a cell that is not there")]
#[test_case(set_up(20, &[(18, "home:0;copies:-1;top:1")]); "a negative count")]
#[test_case(set_up(20, &[(18, "home:0;copies:1;top:1e9")]); "a rung that is not there")]
#[test_case(set_up(20, &[(48, "")]); "no description")]
#[test_case({ let mut m = message(SET_UP, 20, &[(3, b"paid")]); m[13] = 200; m }; "a parameter longer than its message")]
#[test_case(message(99, 20, &[]); "an unknown type")]
#[test_case(message(RELEASE, 12345, &[(45, &[16])]); "the end of what nobody knows")]
#[test_case(set_up(20, &[HERE])[..30].to_vec(); "half a set-up")]
#[test_case(Vec::new(); "silence")]
#[test_case(many(2_000); "thousands at once")]
fn a_bad_viewer_gets_an_end_in_time_and_nobody_waits_for_it(bytes: Vec<u8>) {
    let stage = stage();
    let since = Instant::now();
    let mut bad = stage.node.viewer();
    bad.say(&bytes);
    let mut viewer = stage.node.viewer();
    drop(stage.stands(&mut viewer, 21));
    if let Some(told) = bad.next() {
        assert_eq!(told.kind, RELEASE, "{told:?}");
    }
    assert!(since.elapsed() < Duration::from_secs(3));
}

#[test]
fn the_id_of_an_open_play_again_changes_nothing_for_that_play() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(22, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    let mut bad = stage.node.viewer();
    bad.say(&set_up(22, &[HERE, (48, "another\r\n")]));
    assert_eq!(bad.next(), None, "closed, with no answer of its own");
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 22);
    viewer.hears_nothing();
}

#[test]
fn a_flood_on_one_connection_is_turned_away_at_once() {
    let stage = stage();
    let mut bad = stage.node.viewer();
    for play in 0..100 {
        bad.say(&set_up(3000 + play, &[HERE]));
    }
    let told = bad.next().expect("an answer before any server has spoken");
    assert_eq!((told.kind, told.get(21)), (RELEASE, Some(b"500".as_slice())));
}

#[test]
fn silent_connections_by_hundreds_leave_room_for_a_viewer() {
    let stage = stage_of(64);
    let crowd: Vec<Viewer> = (0..300).map(|_| stage.node.viewer()).collect();
    let mut viewer = stage.node.viewer();
    drop(stage.stands(&mut viewer, 23));
    drop(crowd);
}

// ---- bad servers ----

/// As many viewers as there may be, the first of them with a session that stands; none has a set-up open.
fn full(stage: &Stage) -> (Vec<Viewer>, Wire) {
    let mut viewers: Vec<Viewer> = (0..22).map(|_| stage.node.viewer()).collect();
    let mut wire = stage.stands(&mut viewers[0], 100);
    for (i, viewer) in viewers.iter_mut().enumerate().skip(1) {
        let play = 100 + i as u64;
        viewer.say(&set_up(play, &[HERE]));
        wire.serves(viewer, play);
        wire.ends(viewer, play);
    }
    (viewers, wire)
}

#[test]
fn room_for_a_viewer_is_not_made_where_a_session_stands_or_a_set_up_waits_unread() {
    let stage = stage_of(64);
    let (mut viewers, mut wire) = full(&stage);
    stage.node.signal("STOP");
    let mut newcomer = stage.node.viewer();
    viewers[1].say(&set_up(200, &[HERE]));
    stage.node.signal("CONT");
    wire.serves(&mut viewers[1], 200);
    assert_eq!(viewers[2].next(), None);
    newcomer.hears_nothing();
    wire.ends(&mut viewers[0], 100);
}

#[test]
fn a_viewer_for_whom_there_is_no_room_is_told_so() {
    let stage = stage_of(64);
    let mut viewers: Vec<Viewer> = (0..22).map(|_| stage.node.viewer()).collect();
    viewers.iter_mut().zip(300..).for_each(|(viewer, play)| viewer.say(&set_up(play, &[HERE])));
    let mut wire = stage.hosts[0].accept();
    let held: Vec<peers::Asked> = (0..22).map(|_| wire.wants("SETUP")).collect();
    let mut newcomer = stage.node.viewer();
    newcomer.say(&set_up(400, &[HERE]));
    assert_eq!(newcomer.hears(RELEASE, 400).cause(), 42);
    drop(held);
}

#[test_case("\u{7}\u{3}noise"; "noise")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "another protocol")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 3000000000\r\n\r\nv=0"; "three gigabytes")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: -4\r\n\r\nv=0"; "a length below nothing")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\nContent-Length: 3\r\n\r\nv=0\r\no=1\r\n\r\n"; "a length that does not fit")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000018\r\n\r\n"; "no length")]
#[test_case("RTSP/1.0 200 OK\r\nCSeq: 1\r\nno field at all\r\n\r\n"; "a line that can't be read")]
fn a_spoilt_answer_costs_the_plays_on_its_connection_and_no_more(bytes: &str) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(0x18, &[]));
    let at = usize::from(wait_any(&stage));
    let (mut wire, _) = stage.next_at(at);
    wire.say(bytes);
    assert!(wire.next().is_none_or(|asked| asked.method() == "TEARDOWN"), "it is of no further use");
    let (mut other, again) = stage.next_at(1 - at);
    other.answer(&again, 200, DESCRIPTION);
    assert_eq!(viewer.hears(ANSWER, 0x18).get(48), Some(DESCRIPTION.as_bytes()));
    viewer.hears_nothing();
}

#[test]
fn copies_and_answers_to_nobody_harm_nothing() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(25, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    wire.say(&answer(200, "1", 999, "whose\r\n"));
    wire.answer(&asked, 200, DESCRIPTION);
    wire.answer(&asked, 200, DESCRIPTION);
    assert_eq!(viewer.hears(ANSWER, 25).get(48), Some(DESCRIPTION.as_bytes()));
    viewer.hears_nothing();
    assert_eq!(wire.wants("TEARDOWN").session(), 999);
    wire.ends(&mut viewer, 25);
}

// ---- the list ----

#[test]
fn a_new_id_at_an_old_address_is_a_new_server() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let old = stage.stands(&mut viewer, 26);
    let renamed = Record { id: "s-0000000c".into(), ..stage.hosts[0].record() };
    stage.names.change(|zone| (zone.serial, zone.records) = (2, vec![renamed, stage.hosts[1].record()]));
    stage.node.logs("serial=2");
    viewer.say(&set_up(27, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 27);
    drop(old);
}

#[test]
fn a_draining_server_gets_nothing_new_and_a_missing_one_is_gone() {
    let stage = stage();
    for (serial, gone) in [(2, false), (3, true)] {
        stage.names.change(|zone| {
            let draining = Record { draining: true, ..stage.hosts[0].record() };
            zone.serial = serial;
            zone.records = if gone { vec![] } else { vec![draining] };
            zone.records.push(stage.hosts[1].record());
        });
        stage.node.logs(&format!("serial={serial}"));
        let mut viewer = stage.node.viewer();
        viewer.say(&set_up(28 + u64::from(serial), &[HERE]));
        viewer.hears(RELEASE, 28 + u64::from(serial));
    }
}

#[test_case(Manner::Silent; "lost")]
#[test_case(Manner::Failing; "failing")]
#[test_case(Manner::Cut; "cut")]
#[test_case(Manner::ForeignId; "under another id")]
fn a_bad_answer_of_the_name_service_changes_nothing_and_is_asked_again(manner: Manner) {
    let stage = stage();
    stage.node.logs("serial=1");
    let only = vec![stage.hosts[1].record()];
    stage.names.change(|zone| (zone.serial, zone.records, zone.manner) = (2, only, manner));
    stage.names.asked(3);
    let mut viewer = stage.node.viewer();
    let wire = stage.stands(&mut viewer, 33);
    stage.names.change(|zone| zone.manner = Manner::Good);
    stage.node.logs("serial=2");
    // An older list, told after a newer one.
    let both = stage.hosts.iter().map(Host::record).collect();
    stage.names.change(|zone| (zone.serial, zone.records) = (1, both));
    stage.names.asked(3);
    viewer.say(&set_up(34, &[HERE]));
    viewer.hears(RELEASE, 34);
    drop(wire);
}

// ---- size ----

/// Ten lines may lead to servers here; each title is held by one server of twelve.
#[test]
fn lines_to_more_servers_than_there_may_be_make_room_for_each_other() {
    let hosts: Vec<Host> = (0..12).map(|cell| Host::start(&format!("s-{cell:08x}"), cell)).collect();
    let names = Names::start(hosts.iter().map(Host::record).collect());
    let posting = Node::posting(names.at, &hosts.iter().collect::<Vec<_>>(), 64, 3_000_000);
    let node = Node::start(&posting.replace(r#""places":2"#, r#""places":12"#));
    let mut viewer = node.viewer();
    let mut wires: Vec<Wire> = Vec::new();
    for (cell, host) in hosts.iter().enumerate() {
        let play = 500 + cell as u64;
        viewer.say(&set_up(play, &[(18, &format!("home:{cell};copies:1;top:1"))]));
        let mut wire = host.accept();
        wire.serves(&mut viewer, play);
        // What stands at the first goes on.
        if cell > 0 {
            wire.ends(&mut viewer, play);
        }
        wires.push(wire);
    }
    // The two that were heard of longest ago, and not the one with a session.
    assert!(wires[1].next().is_none() && wires[2].next().is_none());
    viewer.say(&set_up(600, &[HERE]));
    wires[0].wants("SETUP");
}

/// As many as a datagram of the name service holds, beside 1,024 nodes and a start list of 1,024.
#[test]
fn lists_of_hundreds_and_a_thousand_are_followed_from_end_to_end() {
    let host = Host::start("s-0000ffff", 0);
    let other = |i: usize| Record { id: format!("s-{i:08x}"), cell: i % 2, ..host.record() };
    let records = |n: usize| (0..n).map(other).chain([host.record()]).collect::<Vec<Record>>();
    let names = Names::start(records(350));
    names.change(|zone| zone.serial = 2);
    let many: Vec<Host> = (1..1_024).map(|i| Host::named(&format!("s-{i:08x}"), i % 2, host.at)).collect();
    let posting = Node::posting(names.at, &many.iter().chain([&host]).collect::<Vec<_>>(), 256, 3_000_000);
    let node = Node::start(&posting.replace(r#""balancers":1"#, r#""balancers":1024"#));
    assert!(node.log.lock().expect("the log").contains("servers=1024"));
    assert!(node.logs("serial=2").contains("servers=351"));
    names.change(|zone| (zone.serial, zone.records) = (3, records(0)));
    assert!(node.logs("serial=3").contains("servers=1"));
    let mut viewer = node.viewer();
    viewer.say(&set_up(601, &[HERE]));
    let mut wire = host.accept();
    wire.serves(&mut viewer, 601);
}

// ---- signals ----

#[test]
fn sighup_turns_to_another_name_service_and_a_bad_file_changes_nothing() {
    let stage = stage();
    stage.node.logs("serial=1");
    stage.node.rewrite("{\"name\":");
    stage.node.signal("HUP");
    stage.node.logs("stays in force");
    let others = Names::start(vec![stage.hosts[1].record()]);
    others.change(|zone| zone.serial = 2);
    stage.node.rewrite(&Node::posting(others.at, &[], 256, 3_000_000));
    stage.node.signal("HUP");
    stage.node.logs("serial=2");
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(35, &[HERE]));
    viewer.hears(RELEASE, 35);
}

/// A newer file in service tells of starts as the name service does: what it lists as old has not just started, and takes
/// plays beside each other. Under a server's pace of one a minute the second would wait out its time.
#[test]
fn a_newer_known_in_service_makes_no_server_cold() {
    let cold = [
        (r#""coldUs":0"#, r#""coldUs":90000000"#),
        (r#""placesByKind":[1000.0]"#, r#""placesByKind":[2.0]"#),
    ];
    let stage = stage_told(256, &cold);
    stage.node.logs("serial=1");
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let all: Vec<&Host> = stage.hosts.iter().collect();
    let at = silent.local_addr().expect("its address");
    let newer = Node::posting(at, &all, 256, 3_000_000).replace(r#""known":{"rev":1"#, r#""known":{"rev":2"#);
    stage.node.rewrite(&newer);
    stage.node.signal("HUP");
    stage.node.logs("name service changed");
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 71);
    viewer.say(&set_up(72, &[HERE]));
    assert_eq!(wire.wants("SETUP").session(), 72);
}

/// Each signal started a further round of questions beside those that there were.
#[test]
fn sighup_makes_the_list_asked_for_no_oftener() {
    let stage = stage();
    for _ in 0..4 {
        stage.node.signal("HUP");
        stage.node.logs("name service changed");
    }
    let before = stage.names.answered();
    // One that says nothing is closed after 2.4 s.
    assert_eq!(stage.node.viewer().next(), None);
    let asked = stage.names.answered() - before;
    assert!((1..=24).contains(&asked), "{asked} questions in 2.4 s");
}

#[test]
fn sigterm_answers_what_was_taken_and_what_still_comes_and_then_ends_well() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(36, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    stage.node.signal("TERM");
    stage.node.logs("stopping");
    let mut late = stage.node.viewer();
    late.say(&set_up(37, &[HERE]));
    let again = stage.hosts[0].accept().wants("SETUP");
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 36);
    drop(again);
    assert_eq!(late.next().map(|told| told.session), Some(37));
    assert!(stage.node.ended().success());
}

/// The machine accepted it before the door closed, while the node was behind.
#[test]
fn what_waits_at_the_door_when_it_closes_is_answered() {
    let mut stage = stage();
    stage.node.signal("TERM");
    stage.node.logs("stopping");
    stage.node.signal("STOP");
    let mut late = stage.node.viewer();
    late.say(&set_up(38, &[HERE]));
    std::thread::sleep(Duration::from_millis(1_000));
    stage.node.signal("CONT");
    let (mut wire, asked) = stage.next_at(0);
    wire.answer(&asked, 200, DESCRIPTION);
    late.hears(ANSWER, 38);
    assert!(stage.node.ended().success());
}

/// Its viewer waits for longer than the settings name, and the node may not.
#[test]
fn what_is_open_at_the_end_is_answered_before_it() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(39, &[(6, "60000")]));
    let held = stage.next_at(usize::from(wait_any(&stage)));
    stage.node.signal("TERM");
    let told = viewer.hears(RELEASE, 39);
    assert_eq!((told.cause(), told.get(21)), (34, Some(b"500".as_slice())), "it may be asked for again");
    assert!(stage.node.ended().success());
    drop(held);
}

#[test_case("{", "config.json"; "no JSON")]
#[test_case(r#"{"listen":"nowhere"}"#, "listen"; "a wrong address")]
fn a_bad_posting_ends_the_start_with_place_and_cause(posting: &str, place: &str) {
    refuses_to_start(posting, place);
}

fn refuses_to_start(posting: &str, place: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, posting).expect("a file");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"));
    let out = command.arg("node").env("PROXY_CONFIG", &path).output().expect("it runs");
    let said = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(out.status.code() == Some(1) && said.contains(place), "{said}");
}

#[test_case(r#""worth":1.0"#, r#""worth":"dear""#, "settings: lanes[0].worth is \"dear\""; "the wrong type")]
#[test_case(r#""effect":"read_like""#, r#""effect":"as_you_like""#, "settings: lanes[0].effect is"; "a word that is not known")]
#[test_case("[100.0,200.0]", "[200.0,100.0]", "settings: extra.ladderKb[1] is 100.0"; "a ladder that falls")]
#[test_case(r#""coldUs":0"#, r#""coldUs":-1"#, "settings: rules.coldUs is -1"; "out of range")]
fn settings_that_cannot_be_meant_end_the_start_with_place_and_cause(was: &str, is: &str, fault: &str) {
    let posting = Node::posting(([127, 0, 0, 1], 9).into(), &[], 256, 3_000_000);
    assert!(posting.contains(was));
    refuses_to_start(&posting.replace(was, is), fault);
}

// ---- adoption, memory, belief ----

#[test]
fn a_session_that_is_handed_over_is_heard_of_like_any_other() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let at = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521;at:s-0000000a");
    viewer.say(&set_up(40, &[at, (6, "0")]));
    let mut wire = stage.hosts[0].accept();
    viewer.say(&set_up(40, &[at, (6, "0")]));
    viewer.hears_nothing();
    wire.request("ANNOUNCE", 40, "X-Why: r\r\nFigure: 1\r\n");
    wire.ends(&mut viewer, 40);
}

/// Its viewer has no other connection, and in thin traffic none may come for long.
#[test]
fn the_connection_that_handed_a_session_over_is_kept_for_its_end() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(41, &[(18, "home:0;copies:1;top:1;at:s-0000000a"), (6, "0")]));
    let mut wire = stage.hosts[0].accept();
    let mut silent = stage.node.viewer();
    assert_eq!(silent.next(), None);
    wire.ends(&mut viewer, 41);
}

#[test]
fn many_plays_and_ever_new_servers_leave_memory_as_it_was() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 50);
    let mut turn = |from: u64, plays: u64| {
        for play in from..from + plays {
            let title = format!("{play:016x}");
            viewer.say(&set_up(play, &[HERE, (15, &title)]));
            wire.serves(&mut viewer, play);
            wire.ends(&mut viewer, play);
        }
    };
    let servers = |from: u32| {
        for serial in from..from + 10 {
            let new =
                |i: u32| Record { id: format!("s-{:08x}", serial * 1000 + i), ..stage.hosts[1].record() };
            let mut records: Vec<Record> = (0..30).map(new).collect();
            records.push(stage.hosts[0].record());
            stage.names.change(|zone| (zone.serial, zone.records) = (serial, records));
            stage.node.logs(&format!("serial={serial}"));
        }
    };
    turn(10_000, 4_000);
    servers(2);
    let before = stage.node.memory_kb();
    turn(20_000, 4_000);
    servers(12);
    turn(30_000, 4_000);
    servers(22);
    let grown = stage.node.memory_kb().saturating_sub(before);
    // Clocks of plays that are over are held until they would have rung, for 10 s at most.
    assert!(grown < 1_024, "{grown} kB more for 8,000 plays and 600 servers that are gone");
    stage.node.logs("servers=31 owed=0");
}

#[test]
fn what_the_node_believes_is_what_passed_on_the_sockets() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    let mut wire = stage.stands(&mut viewer, 60);
    for play in 61..66 {
        viewer.say(&set_up(play, &[HERE]));
        wire.serves(&mut viewer, play);
    }
    viewer.say(&set_up(66, &[HERE]));
    let held = wire.wants("SETUP");
    wire.ends(&mut viewer, 60);
    viewer.say(&message(RELEASE, 61, &[(45, &[19])]));
    wire.wants("TEARDOWN");
    stage.node.logs("id=\"s-0000000a\" standing=Ready playing=4 out=1 held=5");
    wire.answer(&held, 453, "");
    wire.wants("SETUP");
    stage.node.logs("id=\"s-0000000a\" standing=Ready playing=4 out=1 held=5");
}
