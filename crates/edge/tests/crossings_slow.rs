//! Peers that are slow or rude at a node, and what goes on beside them; a node that comes back while what it was lingers.
//! `docs/notes/crossings.md` has a row for each.

mod peers;
mod stage;

use peers::{DESCRIPTION, Manner, Node, answer, message, set_up};
use stage::{ANSWER, HERE, RELEASE, Stage, stage, stage_told};
use std::net::Shutdown;
use test_case::test_case;

/// Title at the second host only.
const THERE: (u8, &str) = (18, "home:1;copies:1;top:1;viewer:00000000b4d65521");
const PAID: (&str, &str) = (r#""effect":"read_like""#, r#""effect":"non_idempotent""#);
const PATIENT: (&str, &str) = (r#""aimUs":2000000"#, r#""aimUs":90000000"#);

/// So many sessions are set up at the second host and come to their end.
fn others_go_on(stage: &Stage, from: u64, count: u64) {
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(from, &[THERE]));
    let mut wire = stage.hosts[1].accept();
    wire.serves(&mut viewer, from);
    for play in from + 1..from + count {
        viewer.say(&set_up(play, &[THERE]));
        wire.serves(&mut viewer, play);
        wire.ends(&mut viewer, play);
    }
}

/// Between any two bytes of its answer others are served, and then so is its own.
#[test]
fn a_server_that_speaks_a_byte_at_a_time_holds_up_nobody() {
    let stage = stage_told(256, &[PATIENT]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(301, &[HERE, (6, "60000")]));
    let (mut wire, asked) = stage.next_at(0);
    let mut other = stage.node.viewer();
    other.say(&set_up(400, &[THERE]));
    let mut beside = stage.hosts[1].accept();
    beside.serves(&mut other, 400);
    for (byte, play) in answer(200, "1", asked.session(), DESCRIPTION).chars().zip(401..) {
        wire.say(&byte.to_string());
        other.say(&set_up(play, &[THERE]));
        beside.serves(&mut other, play);
        beside.ends(&mut other, play);
    }
    assert_eq!(viewer.hears(ANSWER, 301).get(48), Some(DESCRIPTION.as_bytes()));
}

/// Between any two bytes of its set-up others are served, and then so is its own.
#[test]
fn a_viewer_that_speaks_a_byte_at_a_time_holds_up_nobody() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    // It has proven to be one: only what has brought nothing is closed for being slow.
    let mut wire = stage.stands(&mut viewer, 302);
    let mut other = stage.node.viewer();
    let bytes = set_up(303, &[HERE]);
    let (last, first) = bytes.split_last().expect("bytes");
    for (byte, play) in first.iter().zip(500..) {
        viewer.say(&[*byte]);
        other.say(&set_up(play, &[HERE]));
        wire.serves(&mut other, play);
        wire.ends(&mut other, play);
    }
    viewer.say(&[*last]);
    wire.serves(&mut viewer, 303);
}

/// How much of an answer comes before the connection ends.
#[test_case(20, false; "in its head, closed")]
#[test_case(20, true; "in its head, reset")]
#[test_case(100, false; "in its body, closed")]
#[test_case(100, true; "in its body, reset")]
fn an_answer_that_breaks_off_has_not_come(bytes: usize, reset: bool) {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(304, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    let whole = answer(200, "1", asked.session(), DESCRIPTION);
    let head = whole.find("\r\n\r\n").expect("a head") + 4;
    assert!(bytes < whole.len() && (bytes < head) == (bytes == 20));
    wire.say(&whole[..bytes]);
    if reset {
        wire.reset();
    } else {
        wire.close();
    }
    // It may be made again, and is.
    stage.hosts[0].accept().serves(&mut viewer, 304);
    others_go_on(&stage, 600, 3);
}

/// A paid one has run, and is not made again.
#[test]
fn a_paid_answer_that_breaks_off_is_answered_as_failed() {
    let stage = stage_told(256, &[PAID]);
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(305, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    let whole = answer(200, "1", asked.session(), DESCRIPTION);
    wire.say(&whole[..whole.len() - 3]);
    wire.close();
    assert_eq!(viewer.hears(RELEASE, 305).cause(), 41);
    viewer.hears_nothing();
    assert!(!stage.hosts[0].called() && !stage.hosts[1].called(), "nothing was sent again");
}

/// The whole answer comes with the connection's end, in one go: it counts, and the session stands.
#[test]
fn an_answer_whose_connection_ends_after_the_body_counts() {
    let stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.say(&set_up(306, &[HERE]));
    let (mut wire, asked) = stage.next_at(0);
    stage.node.meanwhile(|| {
        wire.answer(&asked, 200, DESCRIPTION);
        wire.close();
    });
    viewer.hears(ANSWER, 306);
    // The server is called, as it may have something to say, and what stood still stands.
    stage.hosts[0].accept().ends(&mut viewer, 306);
}

// ---- a node that comes back ----

/// A node at the address of the one before, while the name service is silent.
fn comes_back(stage: &Stage) -> Node {
    stage.names.change(|zone| zone.manner = Manner::Silent);
    let hosts: Vec<_> = stage.hosts.iter().collect();
    let posting = Node::posting(stage.names.at, &hosts, 256, 3_000_000);
    let listen = format!(r#""listen":"{}""#, stage.node.at);
    Node::start(&posting.replace(r#""listen":"127.0.0.1:0""#, &listen))
}

/// Connections of the one before linger at its viewers; the next listens there at once, passes its test and takes over, with the
/// name service silent all the while.
#[test_case("TERM"; "told to stop")]
#[test_case("KILL"; "killed")]
fn a_node_comes_back_at_its_address_while_connections_to_it_linger(signal: &str) {
    let mut stage = stage();
    let mut lingers = stage.node.viewer();
    let wire = stage.stands(&mut lingers, 310);
    let idle: Vec<_> = (0..20).map(|_| stage.node.viewer()).collect();
    stage.node.signal(signal);
    assert_eq!(stage.node.ended().success(), signal == "TERM");
    let node = comes_back(&stage);
    let mut viewer = node.viewer();
    viewer.hears_nothing();
    viewer.say(&set_up(310, &[(18, "home:0;copies:1;top:1;at:s-0000000a"), (6, "0")]));
    let mut anew = stage.hosts[0].accept();
    anew.ends(&mut viewer, 310);
    viewer.say(&set_up(311, &[HERE]));
    anew.serves(&mut viewer, 311);
    assert_eq!(lingers.next(), None);
    drop((wire, idle));
}

/// Half of a set-up had come on a connection to the one before; the other half comes to nobody, and a new connection is a new one.
#[test]
fn half_a_set_up_to_the_node_before_is_nothing_to_the_next() {
    let mut stage = stage();
    let mut viewer = stage.node.viewer();
    viewer.hears_nothing();
    let bytes = set_up(312, &[HERE]);
    viewer.say(&bytes[..30]);
    stage.node.signal("KILL");
    stage.node.ended();
    let node = comes_back(&stage);
    viewer.say(&bytes[30..]);
    let _ = viewer.stream.shutdown(Shutdown::Write);
    assert_eq!(viewer.next(), None);
    let mut again = node.viewer();
    again.say(&message(RELEASE, 312, &[(45, &[16])]));
    again.say(&set_up(313, &[HERE]));
    stage.hosts[0].accept().serves(&mut again, 313);
}
