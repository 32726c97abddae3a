//! A node's end, its file read anew and its descriptors, each crossed with what else comes in the same instant.
//! `docs/notes/crossings.md` has a row for each.

mod fake_peers;
mod node_fixture;

use fake_peers::{DESCRIPTION, DnsMode, DnsServer, MediaServer, Node, encode_message, set_up_message};
use node_fixture::{ANSWER, TITLE_AT_FIRST, start_fixture, start_with_replacements, start_with_servers};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// It was told once, and what it had taken by then is owed its answer all the same.
#[test_case("TERM"; "the same again")]
#[test_case("INT"; "another")]
#[test_case("HUP"; "the file anew")]
fn a_further_signal_while_it_stops_loses_nothing(signal: &str) {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(201, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    fixture.node.send_signal(signal);
    fixture.node.wait_for_log(if signal == "HUP" { "name service changed" } else { "told to stop again" });
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 201);
    assert!(fixture.node.wait_for_exit().success());
}

/// Its bytes come in the same instant as the signal, on a connection that was open and on one that was not yet accepted.
#[test_case(true; "on an open connection")]
#[test_case(false; "on a new one")]
fn a_set_up_that_comes_with_the_signal_is_answered(open: bool) {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    if open {
        viewer.expect_no_message();
    }
    fixture.node.while_paused(|| {
        fixture.node.send_signal("TERM");
        viewer.send(&set_up_message(202, &[TITLE_AT_FIRST]));
    });
    fixture.servers[0].accept().serve_set_up(&mut viewer, 202);
    assert!(fixture.node.wait_for_exit().success());
}

/// The door is closed while half a set-up has come; the other half follows.
#[test]
fn half_a_set_up_across_the_doors_closing_is_answered() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.expect_no_message();
    let bytes = set_up_message(203, &[TITLE_AT_FIRST]);
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    viewer.send(&bytes[..30]);
    while TcpStream::connect(fixture.node.addr).is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    viewer.send(&bytes[30..]);
    fixture.servers[0].accept().serve_set_up(&mut viewer, 203);
    assert!(fixture.node.wait_for_exit().success());
}

/// Its viewer ends a session as the node stops, and the connection to its server is still being made.
#[test]
fn an_end_on_its_way_to_a_server_keeps_a_node_that_stops() {
    let patient = (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#);
    let mut fixture =
        start_with_servers(vec![MediaServer::start_with_full_backlog("s-0000000a", 0)], 256, &[patient]);
    let mut viewer = fixture.node.connect_viewer();
    let mut both = set_up_message(204, &[(18, "home:0;copies:1;top:1;at:s-0000000a"), (6, "0")]);
    both.extend(encode_message(node_fixture::RELEASE, 204, &[(45, &[19])]));
    viewer.send(&both);
    viewer.expect_no_message();
    fixture.node.send_signal("TERM");
    while TcpStream::connect(fixture.node.addr).is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    fixture.servers[0].drain_backlog();
    assert_eq!(fixture.servers[0].accept().expect_request("TEARDOWN").session(), 204);
    assert!(fixture.node.wait_for_exit().success());
}

// ---- the file anew ----

/// All descriptors are taken when the signal comes, and there is no second signal.
#[test_case(false; "by what it needs")]
#[test_case(true; "by idle viewers")]
fn a_file_that_cannot_be_read_for_want_of_a_descriptor_is_read_soon(idle: bool) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let crowd: Vec<fake_peers::Viewer> = (0..if idle { 8 } else { 0 })
        .map(|_| {
            let mut viewer = fixture.node.connect_viewer();
            viewer.expect_no_message();
            viewer
        })
        .collect();
    let other_dns = DnsServer::start(vec![fixture.servers[1].dns_record()]);
    other_dns.update_zone(|zone| zone.serial = 2);
    fixture.node.rewrite_config(&Node::config(other_dns.addr, &[], 256, 3_000_000));
    fixture.node.block_new_descriptors();
    fixture.node.send_signal("HUP");
    if !idle {
        fixture.node.wait_for_log("until there is a descriptor");
        fixture.node.set_descriptor_limit(256);
    }
    fixture.node.wait_for_log("serial=2");
    drop(crowd);
}

/// Another node's, or another customer's: its name service is not this node's.
#[test_case(r#""name":"n1""#, r#""name":"n2""#; "another name")]
#[test_case(r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1:9""#; "another address")]
fn the_file_of_another_node_changes_nothing(was: &str, is: &str) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let other_dns = DnsServer::start(vec![]);
    other_dns.update_zone(|zone| zone.serial = 9);
    fixture.node.rewrite_config(&Node::config(other_dns.addr, &[], 256, 3_000_000).replace(was, is));
    fixture.node.send_signal("HUP");
    assert!(fixture.node.wait_for_log("stays in force").contains("name, listen"));
    fixture.dns.update_zone(|zone| zone.serial = 2);
    fixture.node.wait_for_log("serial=2");
}

#[test]
fn other_settings_in_a_new_file_wait_for_a_restart_and_its_name_service_is_asked() {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let other_dns = DnsServer::start(vec![fixture.servers[0].dns_record()]);
    other_dns.update_zone(|zone| zone.serial = 2);
    let all: Vec<&MediaServer> = fixture.servers.iter().collect();
    let other =
        Node::config(other_dns.addr, &all, 256, 3_000_000).replace(r#""name":"paid""#, r#""name":"dear""#);
    fixture.node.rewrite_config(&other);
    fixture.node.send_signal("HUP");
    fixture.node.wait_for_log("settings: they have changed");
    fixture.node.wait_for_log("serial=2");
    let mut viewer = fixture.node.connect_viewer();
    let _wire = fixture.start_session(&mut viewer, 205);
    viewer.send(&set_up_message(206, &[TITLE_AT_FIRST, (3, "dear")]));
    assert_eq!(viewer.expect_message(node_fixture::RELEASE, 206).cause(), 100);
}

/// A zone that the settings do not name is not the first that they name.
#[test]
fn a_zone_that_the_settings_do_not_name_is_nobodys_home() {
    let servers = [MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let dns = DnsServer::start(vec![]);
    dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let config = Node::config(dns.addr, &[&servers[0], &servers[1]], 256, 3_000_000);
    let strange = config.replacen(r#""zone":"east""#, r#""zone":"west""#, 1);
    let priced = strange.replace(r#""rules":{"#, r#""costs":{"crossZone":0.1},"rules":{"#);
    assert!(priced.contains("west") && priced.contains("crossZone"));
    let node = Node::start(&priced);
    let mut viewer = node.connect_viewer();
    let mut connection = None;
    for play in 210..218 {
        viewer.send(&set_up_message(play, &[]));
        connection.get_or_insert_with(|| servers[1].accept()).serve_set_up(&mut viewer, play);
    }
    assert!(!servers[0].has_connection());
}

// ---- descriptors ----

/// Nobody can give way: all have a set-up open. The door is left alone for a moment at a time, and not asked without end.
#[test]
fn a_door_without_a_descriptor_rests_and_is_opened_again() {
    let fixture = start_with_replacements(256, &[(r#""aimUs":2000000"#, r#""aimUs":90000000"#)]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(220, &[TITLE_AT_FIRST, (6, "60000")]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.block_new_descriptors();
    let mut newcomer = fixture.node.connect_viewer();
    let before = fixture.node.cpu_ticks();
    let started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(500));
    let (used, waited) = (fixture.node.cpu_ticks() - before, started_at.elapsed().as_millis() as u64 / 10);
    assert!(used < waited / 2, "{used} of {waited} ticks");
    fixture.node.set_descriptor_limit(256);
    newcomer.expect_no_message();
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 220);
}

/// The door's time is up while whoever waits there finds no descriptor; the machine has accepted it, and so it is answered.
#[test]
fn the_door_closes_only_once_nobody_waits_there() {
    let mut fixture = start_with_replacements(256, &[(r#""aimUs":2000000"#, r#""aimUs":90000000"#)]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(223, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.block_new_descriptors();
    let mut newcomer = fixture.node.connect_viewer();
    newcomer.send(&set_up_message(224, &[TITLE_AT_FIRST]));
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    // 1.2 s of the node's own time and more.
    fixture.dns.wait_for_queries(8);
    fixture.node.set_descriptor_limit(256);
    fixture.servers[0].accept().serve_set_up(&mut newcomer, 224);
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 223);
    assert!(fixture.node.wait_for_exit().success());
}

/// Idle connections fill the descriptors while the name service is silent; sessions go on, and a newcomer gets its answer.
#[test]
fn idle_viewers_while_the_list_is_silent_hold_nobody_up() {
    let fixture = start_with_replacements(64, &[]);
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let mut first = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first, 221);
    for round in 0..4 {
        let crowd: Vec<fake_peers::Viewer> = (0..100).map(|_| fixture.node.connect_viewer()).collect();
        let mut newcomer = fixture.node.connect_viewer();
        newcomer.send(&set_up_message(222 + round, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut newcomer, 222 + round);
        connection.end_play(&mut newcomer, 222 + round);
        assert!(fixture.node.descriptor_count() <= 64);
        drop(crowd);
    }
    connection.end_play(&mut first, 221);
}
