//! The node between viewers and servers that say what can't be used, too much, or nothing: one story a failure.

mod peers;
mod stage;

use peers::{DESCRIPTION, Host, Names, Node, Record, Viewer, Wire, answer, message, set_up};
use stage::{ANSWER, HERE, RELEASE, SET_UP, Stage, stage, stage_of, wait_any};
use std::time::{Duration, Instant};
use test_case::test_case;

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
    let mut newcomer = None;
    stage.node.meanwhile(|| {
        newcomer = Some(stage.node.viewer());
        viewers[1].say(&set_up(200, &[HERE]));
    });
    let mut newcomer = newcomer.expect("it has come");
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

// ---- size ----

/// Twelve servers, each of which holds titles of its own, and a node that may have ten lines to them.
fn twelve() -> (Vec<Host>, Names, Node) {
    let hosts: Vec<Host> = (0..12).map(|cell| Host::start(&format!("s-{cell:08x}"), cell)).collect();
    let names = Names::start(hosts.iter().map(Host::record).collect());
    let posting = Node::posting(names.at, &hosts.iter().collect::<Vec<_>>(), 64, 3_000_000);
    let node = Node::start(&posting.replace(r#""places":2"#, r#""places":12"#));
    (hosts, names, node)
}

/// Ten lines may lead to servers here; each title is held by one server of twelve.
#[test]
fn lines_to_more_servers_than_there_may_be_make_room_for_each_other() {
    let (hosts, _names, node) = twelve();
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

/// Ten lines may lead to servers here, and sessions stand at twelve: lines give way in turn, and each server is called again in time
/// to tell of an end.
#[test]
fn more_servers_with_sessions_than_there_may_be_lines_are_called_in_turn() {
    let (hosts, names, node) = twelve();
    let mut viewer = node.viewer();
    let mut wires: Vec<Wire> = Vec::new();
    for (cell, host) in hosts.iter().enumerate() {
        if cell == 10 {
            // Half a second of the node's own time: until then a server may still tell of what was over before.
            names.asked(5);
        }
        let play = 700 + cell as u64;
        viewer.say(&set_up(play, &[(18, &format!("home:{cell};copies:1;top:1"))]));
        let mut wire = host.accept();
        wire.serves(&mut viewer, play);
        wires.push(wire);
    }
    // Those that were heard of longest ago; none of the sessions has ended.
    assert!(wires[0].next().is_none() && wires[1].next().is_none());
    viewer.hears_nothing();
    for (host, play) in hosts[..2].iter().zip(700..) {
        host.accept().ends(&mut viewer, play);
    }
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
