//! The node's list, its signals, what it was before and what it keeps: one story a failure.

mod peers;
mod stage;

use peers::{DESCRIPTION, Host, Manner, Names, Node, Record, message, set_up};
use stage::{ANSWER, HERE, RELEASE, stage, stage_told, wait_any};
use std::time::Duration;
use test_case::test_case;

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
    let mut late = None;
    stage.node.meanwhile(|| {
        let viewer = late.insert(stage.node.viewer());
        viewer.say(&set_up(38, &[HERE]));
        std::thread::sleep(Duration::from_millis(1_000));
    });
    let mut late = late.expect("it has come");
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
#[test_case(r#""lanes""#, r#""rows""#, "settings: lanes[0].name"; "no class")]
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
