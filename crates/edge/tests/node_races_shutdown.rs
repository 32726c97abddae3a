//! Races of the node's shutdown, of the reload of its configuration and of a lack of file descriptors with other events.
//! `docs/notes/crossings.md` has a row for each race.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, DnsMode, DnsServer, MediaServer, Node, encode_message, hand_over_message, set_up_message,
};
use node_fixture::{ANSWER, TITLE_AT_FIRST, start_fixture, start_with_replacements, start_with_servers};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_case::test_case;

/// A node that is stopping still answers the plays that it had accepted, whatever signals follow.
#[test_case("TERM"; "terminate again")]
#[test_case("INT"; "interrupt")]
#[test_case("HUP"; "reload")]
fn signal_during_shutdown_loses_no_answer(signal: &str) {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(201, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    fixture.node.send_signal(signal);
    fixture.node.wait_for_log(if signal == "HUP" { "name service unchanged" } else { "told to stop again" });
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 201);
    assert!(fixture.node.wait_for_exit().success());
}

/// The set-up arrives together with the signal, on an open connection or on one not yet accepted.
#[test_case(true; "on an open connection")]
#[test_case(false; "on a new connection")]
fn set_up_arriving_with_sigterm_is_answered(open: bool) {
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

/// The listener is closed when half of a set-up has arrived; the other half follows.
#[test]
fn set_up_split_across_the_listener_close_is_answered() {
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

/// The viewer releases its session as the node stops, while the connection to the server is still being established.
#[test]
fn shutdown_waits_for_a_pending_teardown() {
    let long_dial_timeout = (r#""dialTimeoutUs":250000"#, r#""dialTimeoutUs":10000000"#);
    let mut fixture = start_with_servers(
        vec![MediaServer::start_with_full_backlog("s-0000000a", 0)],
        256,
        &[long_dial_timeout],
    );
    let mut viewer = fixture.node.connect_viewer();
    let mut hand_over_and_release = hand_over_message(204, "s-0000000a");
    hand_over_and_release.extend(encode_message(node_fixture::RELEASE, 204, &[(45, &[19])]));
    viewer.send(&hand_over_and_release);
    viewer.expect_no_message();
    fixture.node.send_signal("TERM");
    while TcpStream::connect(fixture.node.addr).is_ok() {
        std::thread::sleep(Duration::from_millis(10));
    }
    fixture.servers[0].drain_backlog();
    assert_eq!(fixture.servers[0].accept().expect_request("TEARDOWN").session(), 204);
    assert!(fixture.node.wait_for_exit().success());
}

// ---- reload of the configuration ----

/// The reload needs a descriptor and all are in use. Without a second signal it is retried: at once if the node can close the connection
/// of an idle viewer for it, otherwise repeatedly until the limit is raised.
#[test_case(false; "used by the node")]
#[test_case(true; "used by idle viewers")]
fn config_reload_is_retried_when_out_of_descriptors(with_idle_viewers: bool) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let idle_viewers: Vec<fake_peers::Viewer> = (0..if with_idle_viewers { 8 } else { 0 })
        .map(|_| {
            let mut viewer = fixture.node.connect_viewer();
            viewer.expect_no_message();
            viewer
        })
        .collect();
    let new_dns = DnsServer::start(vec![fixture.servers[1].dns_record()]);
    new_dns.update_zone(|zone| zone.serial = 2);
    fixture.node.rewrite_config(&Node::config(new_dns.addr, &[], 256, 3_000_000));
    fixture.node.block_new_descriptors();
    fixture.node.send_signal("HUP");
    if !with_idle_viewers {
        fixture.node.wait_for_log("until there is a descriptor");
        fixture.node.set_descriptor_limit(256);
    }
    fixture.node.wait_for_log("serial=2");
    drop(idle_viewers);
}

/// The file of another node or customer names a name service that is not this node's.
#[test_case(r#""name":"n1""#, r#""name":"n2""#; "another name")]
#[test_case(r#""listen":"127.0.0.1:0""#, r#""listen":"127.0.0.1:9""#; "another address")]
fn reload_ignores_the_config_of_another_node(old_text: &str, new_text: &str) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let new_dns = DnsServer::start(vec![]);
    new_dns.update_zone(|zone| zone.serial = 9);
    fixture.node.rewrite_config(&Node::config(new_dns.addr, &[], 256, 3_000_000).replace(old_text, new_text));
    fixture.node.send_signal("HUP");
    assert!(fixture.node.wait_for_log("stays in force").contains("name, listen"));
    fixture.dns.update_zone(|zone| zone.serial = 2);
    fixture.node.wait_for_log("serial=2");
}

#[test]
fn reload_applies_the_name_service_but_not_changed_settings() {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let new_dns = DnsServer::start(vec![fixture.servers[0].dns_record()]);
    new_dns.update_zone(|zone| zone.serial = 2);
    let all: Vec<&MediaServer> = fixture.servers.iter().collect();
    let changed =
        Node::config(new_dns.addr, &all, 256, 3_000_000).replace(r#""name":"paid""#, r#""name":"dear""#);
    fixture.node.rewrite_config(&changed);
    fixture.node.send_signal("HUP");
    fixture.node.wait_for_log("settings: they have changed");
    fixture.node.wait_for_log("serial=2");
    let mut viewer = fixture.node.connect_viewer();
    let _connection = fixture.start_session(&mut viewer, 205);
    viewer.send(&set_up_message(206, &[TITLE_AT_FIRST, (3, "dear")]));
    assert_eq!(viewer.expect_message(node_fixture::RELEASE, 206).cause(), 100);
}

/// Guards against a fault in which a zone missing from the settings was taken for the first one that they name.
#[test]
fn server_in_an_unknown_zone_counts_as_remote() {
    let servers = [MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)];
    let dns = DnsServer::start(vec![]);
    dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let config = Node::config(dns.addr, &[&servers[0], &servers[1]], 256, 3_000_000);
    let unknown_zone = config.replacen(r#""zone":"east""#, r#""zone":"west""#, 1);
    let priced = unknown_zone.replace(r#""rules":{"#, r#""costs":{"crossZone":0.1},"rules":{"#);
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

/// No connection can be evicted, as all have an open set-up. The listener pauses between tries instead of spinning.
#[test]
fn listener_pauses_when_out_of_descriptors_and_resumes() {
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

/// The listener is due to close 0.9 s after the signal, while a connection in its backlog can't be accepted for lack of a descriptor. The
/// kernel has accepted that connection, so the listener stays open until the node can accept it too.
#[test]
fn listener_closes_only_after_its_backlog_is_accepted() {
    let mut fixture = start_with_replacements(256, &[(r#""aimUs":2000000"#, r#""aimUs":90000000"#)]);
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(223, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.block_new_descriptors();
    let mut newcomer = fixture.node.connect_viewer();
    newcomer.send(&set_up_message(224, &[TITLE_AT_FIRST]));
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    // At least 1.05 s, which is longer than the 0.9 s after which the listener is due to close.
    fixture.dns.wait_for_queries(8);
    fixture.node.set_descriptor_limit(256);
    fixture.servers[0].accept().serve_set_up(&mut newcomer, 224);
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 223);
    assert!(fixture.node.wait_for_exit().success());
}

/// Idle connections use up the descriptors while the name service is silent. Sessions go on, and a newcomer gets its answer.
#[test]
fn idle_viewers_block_nobody_while_the_name_service_is_silent() {
    let fixture = start_with_replacements(64, &[]);
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Silent);
    let mut first_viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut first_viewer, 221);
    for round in 0..4 {
        let idle_viewers: Vec<fake_peers::Viewer> = (0..100).map(|_| fixture.node.connect_viewer()).collect();
        let mut newcomer = fixture.node.connect_viewer();
        newcomer.send(&set_up_message(222 + round, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut newcomer, 222 + round);
        connection.end_play(&mut newcomer, 222 + round);
        assert!(fixture.node.descriptor_count() <= 64);
        drop(idle_viewers);
    }
    connection.end_play(&mut first_viewer, 221);
}
