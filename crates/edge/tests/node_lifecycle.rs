//! The node's server list, signals, start, handed-over sessions and memory. Each test covers one kind of failure.

mod fake_peers;
mod node_fixture;

use fake_peers::{
    DESCRIPTION, DnsMode, DnsServer, MediaServer, Node, ServerRecord, encode_message, hand_over_message,
    set_up_message,
};
use node_fixture::{
    ANSWER, NodeFixture, RELEASE, TITLE_AT_FIRST, start_fixture, start_with_replacements, wait_for_contact,
};
use std::time::Duration;
use test_case::test_case;

#[test]
fn new_id_at_a_known_address_is_a_new_server() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let old_connection = fixture.start_session(&mut viewer, 26);
    let renamed = ServerRecord { id: "s-0000000c".into(), ..fixture.servers[0].dns_record() };
    fixture.dns.update_zone(|zone| {
        (zone.serial, zone.records) = (2, vec![renamed, fixture.servers[1].dns_record()])
    });
    fixture.node.wait_for_log("serial=2");
    viewer.send(&set_up_message(27, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 27);
    drop(old_connection);
}

/// Lists another server, under a new id, at the address of the first one, which is gone.
fn replace_first_server(fixture: &NodeFixture, started_at: u64) {
    let successor = ServerRecord { id: "s-0000000c".into(), started_at, ..fixture.servers[0].dns_record() };
    fixture.dns.update_zone(|zone| {
        (zone.serial, zone.records) = (2, vec![successor, fixture.servers[1].dns_record()]);
    });
    fixture.node.wait_for_log("serial=2");
}

/// Guards against sessions of a process that has died, which live on because another server has come up at its address and is taken for
/// it (review/8). A session that was set up at the new process under the old id goes on, and can be ended.
#[test]
fn sessions_end_when_another_server_has_come_up_at_the_address() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut viewer, 30);
    // Nothing is refused between the end of the old process and the start of the new one.
    connection.reset();
    let mut new_connection = fixture.servers[0].accept();
    viewer.send(&set_up_message(31, &[TITLE_AT_FIRST]));
    new_connection.serve_set_up(&mut viewer, 31);
    new_connection.keep_sending_notes(31);
    replace_first_server(&fixture, 0);
    assert_eq!(viewer.expect_message(RELEASE, 30).cause(), 41);
    viewer.expect_no_message();
    viewer.send(&encode_message(RELEASE, 31, &[(45, &[16])]));
    while new_connection.expect_request("TEARDOWN").session() != 31 {}
}

/// The list tells when the process at the address started. Guards against older sessions that count as its own because it is heard.
#[test]
fn sessions_older_than_the_start_of_the_server_at_their_address_end() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut viewer, 32);
    connection.keep_sending_notes(999);
    let since_1970 =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock after 1970");
    replace_first_server(&fixture, since_1970.as_millis() as u64 + 1);
    assert_eq!(viewer.expect_message(RELEASE, 32).cause(), 41);
    drop(connection);
}

/// A node that starts with an old list adopts a session at a server whose address another one has by now, and reaches that one.
#[test]
fn handed_over_session_ends_when_another_server_has_the_address() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(33, "s-0000000a"));
    let connection = fixture.servers[0].accept();
    connection.keep_sending_notes(999);
    replace_first_server(&fixture, 0);
    assert_eq!(viewer.expect_message(RELEASE, 33).cause(), 41);
    drop(connection);
}

#[test]
fn draining_and_delisted_servers_get_no_new_plays() {
    let fixture = start_fixture();
    for (serial, gone) in [(2, false), (3, true)] {
        fixture.dns.update_zone(|zone| {
            let draining = ServerRecord { draining: true, ..fixture.servers[0].dns_record() };
            zone.serial = serial;
            zone.records = if gone { vec![] } else { vec![draining] };
            zone.records.push(fixture.servers[1].dns_record());
        });
        fixture.node.wait_for_log(&format!("serial={serial}"));
        let mut viewer = fixture.node.connect_viewer();
        viewer.send(&set_up_message(28 + u64::from(serial), &[TITLE_AT_FIRST]));
        viewer.expect_message(RELEASE, 28 + u64::from(serial));
    }
}

#[test_case(DnsMode::Silent; "no response")]
#[test_case(DnsMode::Failing; "failure code")]
#[test_case(DnsMode::Truncated; "truncated")]
#[test_case(DnsMode::WrongId; "wrong id")]
fn invalid_dns_response_changes_nothing_and_is_retried(mode: DnsMode) {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    let one_record = vec![fixture.servers[1].dns_record()];
    fixture.dns.update_zone(|zone| (zone.serial, zone.records, zone.mode) = (2, one_record, mode));
    fixture.dns.wait_for_queries(3);
    if mode != DnsMode::Silent {
        fixture.node.wait_for_log("DNS response rejected");
    }
    let mut viewer = fixture.node.connect_viewer();
    let connection = fixture.start_session(&mut viewer, 33);
    fixture.dns.update_zone(|zone| zone.mode = DnsMode::Normal);
    fixture.node.wait_for_log("serial=2");
    // An older list that arrives after a newer one is ignored.
    let full_list = fixture.servers.iter().map(MediaServer::dns_record).collect();
    fixture.dns.update_zone(|zone| (zone.serial, zone.records) = (1, full_list));
    fixture.dns.wait_for_queries(3);
    viewer.send(&set_up_message(34, &[TITLE_AT_FIRST]));
    viewer.expect_message(RELEASE, 34);
    drop(connection);
}

// ---- signals ----

#[test]
fn sighup_switches_the_name_service_and_ignores_an_invalid_file() {
    let fixture = start_fixture();
    fixture.node.wait_for_log("serial=1");
    fixture.node.rewrite_config("{\"name\":");
    fixture.node.send_signal("HUP");
    fixture.node.wait_for_log("stays in force");
    let new_dns = DnsServer::start(vec![fixture.servers[1].dns_record()]);
    new_dns.update_zone(|zone| zone.serial = 2);
    fixture.node.rewrite_config(&Node::config(new_dns.addr, &[], 256, 3_000_000));
    fixture.node.send_signal("HUP");
    fixture.node.wait_for_log("serial=2");
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(35, &[TITLE_AT_FIRST]));
    viewer.expect_message(RELEASE, 35);
}

/// Start times in a newer file count as those of the name service do: a server that it lists as old is not cold and accepts plays
/// in parallel. At a cold server's pace of one play a minute, the second play would time out.
#[test]
fn reloading_a_newer_known_list_makes_no_server_cold() {
    let cold = [
        (r#""coldUs":0"#, r#""coldUs":90000000"#),
        (r#""placesByKind":[1000.0]"#, r#""placesByKind":[2.0]"#),
    ];
    let fixture = start_with_replacements(256, &cold);
    fixture.node.wait_for_log("serial=1");
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let all: Vec<&MediaServer> = fixture.servers.iter().collect();
    let resolver_addr = silent.local_addr().expect("its address");
    let newer = Node::config(resolver_addr, &all, 256, 3_000_000)
        .replace(r#""known":{"rev":1"#, r#""known":{"rev":2"#);
    fixture.node.rewrite_config(&newer);
    fixture.node.send_signal("HUP");
    fixture.node.wait_for_log("name service changed");
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 71);
    viewer.send(&set_up_message(72, &[TITLE_AT_FIRST]));
    assert_eq!(connection.expect_request("SETUP").session(), 72);
}

/// Guards against a fault in which each signal started a further series of queries beside the existing ones.
#[test]
fn sighup_does_not_increase_the_dns_query_rate() {
    let fixture = start_fixture();
    for _ in 0..4 {
        fixture.node.send_signal("HUP");
        fixture.node.wait_for_log("name service unchanged");
    }
    let before = fixture.dns.query_count();
    // The node closes a connection that has sent no message within 2.4 s.
    assert_eq!(fixture.node.connect_viewer().next_message(), None);
    let queries = fixture.dns.query_count() - before;
    assert!((1..=24).contains(&queries), "{queries} queries in 2.4 s");
}

#[test]
fn sigterm_answers_open_and_late_set_ups_before_a_successful_exit() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(36, &[TITLE_AT_FIRST]));
    let (mut connection, request) = fixture.next_set_up(0);
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    let mut late_viewer = fixture.node.connect_viewer();
    late_viewer.send(&set_up_message(37, &[TITLE_AT_FIRST]));
    let late_set_up = fixture.servers[0].accept().expect_request("SETUP");
    connection.respond(&request, 200, DESCRIPTION);
    viewer.expect_message(ANSWER, 36);
    drop(late_set_up);
    assert_eq!(late_viewer.next_message().map(|message| message.session), Some(37));
    assert!(fixture.node.wait_for_exit().success());
}

/// The kernel accepted the connection before the listener closed, while the node was stopped.
#[test]
fn connection_in_the_backlog_at_shutdown_is_answered() {
    let mut fixture = start_fixture();
    fixture.node.send_signal("TERM");
    fixture.node.wait_for_log("stopping");
    let mut late_viewer = None;
    fixture.node.while_paused(|| {
        let viewer = late_viewer.insert(fixture.node.connect_viewer());
        viewer.send(&set_up_message(38, &[TITLE_AT_FIRST]));
        std::thread::sleep(Duration::from_millis(1_000));
    });
    let mut late_viewer = late_viewer.expect("the viewer has connected");
    let (mut connection, request) = fixture.next_set_up(0);
    connection.respond(&request, 200, DESCRIPTION);
    late_viewer.expect_message(ANSWER, 38);
    assert!(fixture.node.wait_for_exit().success());
}

/// The time limit of the viewer (60 s) is longer than the node may take by its settings.
#[test]
fn open_play_is_declined_before_exit() {
    let mut fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&set_up_message(39, &[(6, "60000")]));
    let pending_set_up = fixture.next_set_up(usize::from(wait_for_contact(&fixture)));
    fixture.node.send_signal("TERM");
    let message = viewer.expect_message(RELEASE, 39);
    assert_eq!(
        (message.cause(), message.parameter(21)),
        (34, Some(b"500".as_slice())),
        "the viewer may retry"
    );
    assert!(fixture.node.wait_for_exit().success());
    drop(pending_set_up);
}

#[test_case("{", "config.json"; "invalid JSON")]
#[test_case(r#"{"listen":"nowhere"}"#, "listen"; "a wrong address")]
fn invalid_config_fails_the_start_with_place_and_cause(config: &str, place: &str) {
    assert_start_fails(config, place);
}

/// Asserts that a node with this configuration exits with status 1 and names `place` on standard error.
fn assert_start_fails(config: &str, place: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, config).expect("a file");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"));
    let out = command.arg("node").env("PROXY_CONFIG", &path).output().expect("the program runs");
    let stderr = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(out.status.code() == Some(1) && stderr.contains(place), "{stderr}");
}

#[test_case(r#""worth":1.0"#, r#""worth":"dear""#, "settings: lanes[0].worth is \"dear\""; "the wrong type")]
#[test_case(r#""effect":"read_like""#, r#""effect":"as_you_like""#, "settings: lanes[0].effect is"; "an unknown name")]
#[test_case("[100.0,200.0]", "[200.0,100.0]", "settings: extra.ladderKb[1] is 100.0"; "a descending ladder")]
#[test_case(r#""coldUs":0"#, r#""coldUs":-1"#, "settings: rules.coldUs is -1"; "out of range")]
#[test_case(r#""lanes""#, r#""rows""#, "settings: lanes[0].name"; "no class name")]
fn invalid_settings_fail_the_start_with_place_and_cause(old_text: &str, new_text: &str, expected: &str) {
    let config = Node::config(([127, 0, 0, 1], 9).into(), &[], 256, 3_000_000);
    assert!(config.contains(old_text));
    assert_start_fails(&config.replace(old_text, new_text), expected);
}

// ---- handed-over sessions, memory, logged counts ----

#[test]
fn handed_over_session_receives_its_end() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let handed_over = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521;at:s-0000000a");
    viewer.send(&set_up_message(40, &[handed_over, (6, "0")]));
    let mut connection = fixture.servers[0].accept();
    viewer.send(&set_up_message(40, &[handed_over, (6, "0")]));
    viewer.expect_no_message();
    connection.send_request("ANNOUNCE", 40, "X-Why: r\r\nFigure: 1\r\n");
    connection.end_play(&mut viewer, 40);
}

/// The viewer has no other connection, and with little traffic it may not open one for a long time.
#[test]
fn connection_that_handed_over_a_session_is_not_closed_as_idle() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    viewer.send(&hand_over_message(41, "s-0000000a"));
    let mut connection = fixture.servers[0].accept();
    // A connection that never sends a message is closed after 2.4 s. By then the viewer's has been idle for longer.
    let mut silent = fixture.node.connect_viewer();
    assert_eq!(silent.next_message(), None);
    connection.end_play(&mut viewer, 41);
}

#[test]
fn memory_does_not_grow_with_past_plays_and_servers() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 50);
    let mut run_plays = |from: u64, plays: u64| {
        for play in from..from + plays {
            let title = format!("{play:016x}");
            viewer.send(&set_up_message(play, &[TITLE_AT_FIRST, (15, &title)]));
            connection.serve_set_up(&mut viewer, play);
            connection.end_play(&mut viewer, play);
        }
    };
    let replace_servers = |from: u32| {
        for serial in from..from + 10 {
            let new = |i: u32| ServerRecord {
                id: format!("s-{:08x}", serial * 1000 + i),
                ..fixture.servers[1].dns_record()
            };
            let mut records: Vec<ServerRecord> = (0..30).map(new).collect();
            records.push(fixture.servers[0].dns_record());
            fixture.dns.update_zone(|zone| (zone.serial, zone.records) = (serial, records));
            fixture.node.wait_for_log(&format!("serial={serial}"));
        }
    };
    run_plays(10_000, 4_000);
    replace_servers(2);
    let before = fixture.node.memory_kb();
    run_plays(20_000, 4_000);
    replace_servers(12);
    run_plays(30_000, 4_000);
    replace_servers(22);
    let grown = fixture.node.memory_kb().saturating_sub(before);
    // Timers of finished plays are kept until their due time, for 10 s at most.
    assert!(grown < 1_024, "{grown} kB more for 8,000 plays and 600 servers that are gone");
    fixture.node.wait_for_log("servers=31 owed=0");
}

#[test]
fn logged_play_counts_match_the_traffic() {
    let fixture = start_fixture();
    let mut viewer = fixture.node.connect_viewer();
    let mut connection = fixture.start_session(&mut viewer, 60);
    for play in 61..66 {
        viewer.send(&set_up_message(play, &[TITLE_AT_FIRST]));
        connection.serve_set_up(&mut viewer, play);
    }
    viewer.send(&set_up_message(66, &[TITLE_AT_FIRST]));
    let pending_set_up = connection.expect_request("SETUP");
    connection.end_play(&mut viewer, 60);
    viewer.send(&encode_message(RELEASE, 61, &[(45, &[19])]));
    connection.expect_request("TEARDOWN");
    fixture.node.wait_for_log("id=\"s-0000000a\" standing=Ready playing=4 out=1 held=5");
    connection.respond(&pending_set_up, 453, "");
    // The next attempt is made on another connection, where no second copy of the refusal can come.
    let (_next_connection, _) = fixture.next_set_up(0);
    fixture.node.wait_for_log("id=\"s-0000000a\" standing=Ready playing=4 out=1 held=5");
}
