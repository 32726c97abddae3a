//! A node's end, its file read anew and its descriptors, each crossed with what else comes in the same instant.
//! `docs/notes/crossings.md` has a row for each.

mod peers;
mod stage;

use peers::{DESCRIPTION, Host, Manner, Names, Node, message, set_up};
use stage::{ANSWER, HERE, stage, stage_told, stage_with};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// It was told once, and what it had taken by then is owed its answer all the same.
#[test_case("TERM"; "the same again")]
#[test_case("INT"; "another")]
#[test_case("HUP"; "the file anew")]
fn a_further_signal_while_it_stops_loses_nothing(signal: &str) {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(201, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    stage.node.signal("TERM");
    stage.node.logs("stopping");
    stage.node.signal(signal);
    stage.node.logs(if signal == "HUP" { "name service changed" } else { "told to stop again" });
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 201);
    assert!(stage.node.ended().success());
}

/// Its bytes come in the same instant as the signal, on a connection that was open and on one that was not yet accepted.
#[test_case(true; "on an open connection")]
#[test_case(false; "on a new one")]
fn a_set_up_that_comes_with_the_signal_is_answered(open: bool) {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    if open {
        viewer.hears_nothing();
    }
    stage.node.meanwhile(|| {
        stage.node.signal("TERM");
        viewer.say(&set_up(202, &[HERE]));
    });
    stage.hosts[0].accept().serves(&mut viewer, 202);
    assert!(stage.node.ended().success());
}

/// The door is closed while half a set-up has come; the other half follows.
#[test]
fn half_a_set_up_across_the_doors_closing_is_answered() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.hears_nothing();
    let bytes = set_up(203, &[HERE]);
    stage.node.signal("TERM");
    stage.node.logs("stopping");
    viewer.say(&bytes[..30]);
    while TcpStream::connect(stage.node.at).is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    viewer.say(&bytes[30..]);
    stage.hosts[0].accept().serves(&mut viewer, 203);
    assert!(stage.node.ended().success());
}

/// Its viewer ends a session as the node stops, and the connection to its server is still being made.
#[test]
fn an_end_on_its_way_to_a_server_keeps_a_node_that_stops() {
    let patient = (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#);
    let mut stage = stage_with(vec![Host::late("s-0000000a", 0)], 256, &[patient]);
    let mut viewer = stage.node.viewer();
    let mut both = set_up(204, &[(18, "home:0;copies:1;top:1;at:s-0000000a"), (6, "0")]);
    both.extend(message(stage::RELEASE, 204, &[(45, &[19])]));
    viewer.say(&both);
    viewer.hears_nothing();
    stage.node.signal("TERM");
    while TcpStream::connect(stage.node.at).is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    stage.hosts[0].comes_up();
    assert_eq!(stage.hosts[0].accept().wants("TEARDOWN").session(), 204);
    assert!(stage.node.ended().success());
}

// ---- the file anew ----

/// All descriptors are taken when the signal comes, and there is no second signal.
#[test_case(false; "by what it needs")]
#[test_case(true; "by idle viewers")]
fn a_file_that_cannot_be_read_for_want_of_a_descriptor_is_read_soon(idle: bool) {
    let stage = stage();
    stage.node.logs("serial=1");
    let crowd: Vec<peers::Viewer> = (0..if idle { 8 } else { 0 })
        .map(|_| {
            let mut viewer = stage.node.viewer();
            viewer.hears_nothing();
            viewer
        })
        .collect();
    let others = Names::start(vec![stage.hosts[1].record()]);
    others.change(|zone| zone.serial = 2);
    stage.node.rewrite(&Node::posting(others.at, &[], 256, 3_000_000));
    stage.node.may_hold_no_more();
    stage.node.signal("HUP");
    if !idle {
        stage.node.logs("until there is a descriptor");
        stage.node.may_hold(256);
    }
    stage.node.logs("serial=2");
    drop(crowd);
}

/// Another node's, or another customer's: its name service is not this node's.
#[test_case(r#""name":"n1""#, r#""name":"n2""#; "another name")]
#[test_case(r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1:9""#; "another address")]
fn the_file_of_another_node_changes_nothing(was: &str, is: &str) {
    let stage = stage();
    stage.node.logs("serial=1");
    let others = Names::start(vec![]);
    others.change(|zone| zone.serial = 9);
    stage.node.rewrite(&Node::posting(others.at, &[], 256, 3_000_000).replace(was, is));
    stage.node.signal("HUP");
    assert!(stage.node.logs("stays in force").contains("name, listen"));
    stage.names.change(|zone| zone.serial = 2);
    stage.node.logs("serial=2");
}

#[test]
fn other_settings_in_a_new_file_wait_for_a_restart_and_its_name_service_is_asked() {
    let stage = stage();
    stage.node.logs("serial=1");
    let others = Names::start(vec![stage.hosts[0].record()]);
    others.change(|zone| zone.serial = 2);
    let all: Vec<&Host> = stage.hosts.iter().collect();
    let other =
        Node::posting(others.at, &all, 256, 3_000_000).replace(r#""name":"paid""#, r#""name":"dear""#);
    stage.node.rewrite(&other);
    stage.node.signal("HUP");
    stage.node.logs("settings: they have changed");
    stage.node.logs("serial=2");
    let mut viewer = stage.node.viewer();
    let _wire = stage.stands(&mut viewer, 205);
    viewer.say(&set_up(206, &[HERE, (3, "dear")]));
    assert_eq!(viewer.hears(stage::RELEASE, 206).cause(), 100);
}

/// A zone that the settings do not name is not the first that they name.
#[test]
fn a_zone_that_the_settings_do_not_name_is_nobodys_home() {
    let hosts = [Host::start("s-0000000a", 0), Host::start("s-0000000b", 1)];
    let names = Names::start(vec![]);
    names.change(|zone| zone.manner = Manner::Silent);
    let posting = Node::posting(names.at, &[&hosts[0], &hosts[1]], 256, 3_000_000);
    let strange = posting.replacen(r#""zone":"east""#, r#""zone":"west""#, 1);
    let priced = strange.replace(r#""rules":{"#, r#""costs":{"crossZone":0.1},"rules":{"#);
    assert!(priced.contains("west") && priced.contains("crossZone"));
    let node = Node::start(&priced);
    let mut viewer = node.viewer();
    let mut wire = None;
    for play in 210..218 {
        viewer.say(&set_up(play, &[]));
        wire.get_or_insert_with(|| hosts[1].accept()).serves(&mut viewer, play);
    }
    assert!(!hosts[0].called());
}

// ---- descriptors ----

/// Nobody can give way: all have a set-up open. The door is left alone for a moment at a time, and not asked without end.
#[test]
fn a_door_without_a_descriptor_rests_and_is_opened_again() {
    let stage = stage_told(256, &[(r#""aimUs":2000000"#, r#""aimUs":90000000"#)]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(220, &[HERE, (6, "60000")]));
    let (mut wire, asked) = stage.next_at(0);
    stage.node.may_hold_no_more();
    let mut newcomer = stage.node.viewer();
    let before = stage.node.ticks();
    let since = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let (used, waited) = (stage.node.ticks() - before, since.elapsed().as_millis() as u64 / 10);
    assert!(used < waited / 2, "{used} of {waited} ticks");
    stage.node.may_hold(256);
    newcomer.hears_nothing();
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 220);
}

/// The door's time is up while whoever waits there finds no descriptor; the machine has accepted it, and so it is answered.
#[test]
fn the_door_closes_only_once_nobody_waits_there() {
    let mut stage = stage_told(256, &[(r#""aimUs":2000000"#, r#""aimUs":90000000"#)]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(223, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    stage.node.may_hold_no_more();
    let mut newcomer = stage.node.viewer();
    newcomer.say(&set_up(224, &[HERE]));
    stage.node.signal("TERM");
    stage.node.logs("stopping");
    // 1.2 s of the node's own time and more.
    stage.names.asked(8);
    stage.node.may_hold(256);
    stage.hosts[0].accept().serves(&mut newcomer, 224);
    wire.answer(&asked, 200, DESCRIPTION);
    viewer.hears(ANSWER, 223);
    assert!(stage.node.ended().success());
}

/// Idle connections fill the descriptors while the name service is silent; sessions go on, and a newcomer gets its answer.
#[test]
fn idle_viewers_while_the_list_is_silent_hold_nobody_up() {
    let stage = stage_told(64, &[]);
    stage.names.change(|zone| zone.manner = Manner::Silent);
    let mut first = stage.node.viewer();
    let mut wire = stage.stands(&mut first, 221);
    for round in 0..4 {
        let crowd: Vec<peers::Viewer> = (0..100).map(|_| stage.node.viewer()).collect();
        let mut newcomer = stage.node.viewer();
        newcomer.say(&set_up(222 + round, &[HERE]));
        wire.serves(&mut newcomer, 222 + round);
        wire.ends(&mut newcomer, 222 + round);
        assert!(stage.node.holds() <= 64);
        drop(crowd);
    }
    wire.ends(&mut first, 221);
}
