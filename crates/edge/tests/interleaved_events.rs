//! What happens on several connections at once, in the order that hurts: words that overtake each other, reads that
//! wait behind one that fails, files that come in parts, each story on real sockets.

mod test_fleet;

use pulleystair_dash::token::{EntryToken, KeyRing};
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::{Observation, Observed};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use test_fleet::{TestFleet, base_scenario, get_request, one_server_scenario, segment_base_url};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const FREE: usize = 0;
const PAID: usize = 1;

/// No event takes longer on any machine; it bounds a hang.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The rungs of all plays of a product, as their servers have them.
fn play_rungs(fleet: &TestFleet, product: usize) -> Vec<usize> {
    let world = fleet.boxes.model();
    let plays = world.servers.iter().flat_map(|s| s.plays.values());
    plays.filter(|p| p.product == product).map(|p| p.rung).collect()
}

#[tokio::test]
async fn play_stepped_down_during_its_set_up_runs_on_the_lower_rung() {
    let mut scenario = one_server_scenario();
    scenario["fleet"]["link_kb"] = json!(450.0);
    scenario["fleet"]["notes_every_ms"] = json!(600_000);
    scenario["ladder"] = json!([{ "rate_kb": 10, "earns": 0.4 }, { "rate_kb": 200, "earns": 1 }]);
    scenario["products"][FREE]["importance"] = json!(0.1);
    for product in [FREE, PAID] {
        scenario["products"][product]["time_limit_ms"] = json!(20_000);
        scenario["products"][product]["first_frame_target_ms"] = json!(10_000);
    }
    let fleet = TestFleet::start_with(scenario).await;
    // Its answer tells that the link is free.
    assert_eq!(fleet.fetch_manifest("first", PAID).await.status, 200);
    fleet.set_faults(|a| a.slow = 60.0);
    let low_importance = fleet.send_manifest_request(0, "cheap", FREE).await;
    fleet
        .wait_for_observations("its set-up", |seen| {
            seen.iter().any(|s| matches!(&s.what, Observed::SetUp { rung: 1, product: FREE, .. }))
        })
        .await;
    // The link does not carry both on the high rung, and this one is worth ten times as much.
    let high_importance = fleet.send_manifest_request(0, "dear", PAID).await;
    assert_eq!((low_importance.response().await.status, high_importance.response().await.status), (200, 200));
    fleet.wait_until("the server has heard of the step", || play_rungs(&fleet, FREE) == [0]).await;
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn successive_rung_changes_are_applied_in_order() {
    let mut scenario = one_server_scenario();
    scenario["ladder"] = json!([
        { "rate_kb": 10, "earns": 0.4 }, { "rate_kb": 20, "earns": 0.8 }, { "rate_kb": 40, "earns": 1 },
    ]);
    let fleet = TestFleet::start_with(scenario).await;
    assert_eq!(fleet.fetch_manifest_up_to("s", FREE, 2).await.status, 200);
    // A link of 25 kB under a play of 40: it goes to 20, and its server is slow to do so.
    fleet.set_faults(|a| (a.link, a.late_steps_ms) = (0.000_25, 2_500.0));
    fleet.wait_until("a step is under way", || fleet.boxes.model().servers[0].steps_read == 1).await;
    // Now it is one of 5 kB, and a further step would be carried out at once.
    fleet.set_faults(|a| (a.link, a.late_steps_ms) = (0.000_05, 0.0));
    let rung_changes = |seen: &[Observation]| -> Vec<usize> {
        let rung = |s: &Observation| match s.what {
            Observed::Rung { rung, .. } => Some(rung),
            _ => None,
        };
        seen.iter().filter_map(rung).collect()
    };
    fleet.wait_for_observations("both are carried out", |seen| rung_changes(seen).len() == 2).await;
    assert_eq!(rung_changes(&fleet.log.observations()), [1, 0], "in the order in which they were decided");
}

#[tokio::test]
async fn unanswered_rung_change_is_sent_again() {
    let mut scenario = one_server_scenario();
    scenario["limits"] = json!({ "segment_ms": 300 });
    let fleet = TestFleet::start_with(scenario).await;
    assert_eq!(fleet.fetch_manifest_up_to("s", FREE, 1).await.status, 200);
    // Steps are read and not answered in time; the front gives up each word.
    fleet.set_faults(|a| (a.link, a.late_steps_ms) = (0.000_15, 3_600_000.0));
    fleet.wait_until("a step is under way", || fleet.boxes.model().servers[0].steps_read >= 1).await;
    fleet.set_faults(|a| a.late_steps_ms = 0.0);
    fleet.wait_until("the server has heard of it", || play_rungs(&fleet, FREE) == [0]).await;
}

/// A media server in the test's own hands: what is asked of it comes out, and what it answers goes in.
struct ManualServer {
    requests: mpsc::UnboundedReceiver<(HttpPeer, String)>,
    address: SocketAddr,
}

impl ManualServer {
    async fn open() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let (requests_sender, requests) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { return };
                let requests_sender = requests_sender.clone();
                tokio::spawn(async move {
                    let mut peer = HttpPeer::new(stream);
                    let Ok(Some(request)) = peer.read_request().await else { return };
                    let _ = requests_sender.send((peer, format!("{} {}", request.method, request.target)));
                });
            }
        });
        ManualServer { requests, address }
    }

    /// The next request of this method, and its connection.
    async fn next(&mut self, method: &str) -> (HttpPeer, String) {
        loop {
            let (peer, request_line) =
                timeout(MAX_WAIT, self.requests.recv()).await.expect("a request").expect("it listens");
            if request_line.starts_with(method) {
                return (peer, request_line);
            }
        }
    }
}

/// Lists all servers at this address, and waits until the front has read it.
async fn move_servers(fleet: &TestFleet, address: SocketAddr) {
    let taken = fleet.front_log(0).matches("list taken").count();
    let file = fleet.folder().join("list.json");
    let mut list: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&file).expect("the list")).expect("it reads");
    for server in list["servers"].as_array_mut().expect("servers") {
        server["address"] = json!(address);
    }
    replace(&file, list.to_string()).expect("the list is replaced");
    fleet.wait_for_log("list taken", taken + 1).await;
}

/// A house with one play at a server by hand, that it sets up; where the play's segments are, and its set-up's connection.
async fn start_with_manual_server(reads: serde_json::Value) -> (TestFleet, ManualServer, String, HttpPeer) {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "server_connections": 1 });
    scenario["reads"] = reads;
    let fleet = TestFleet::start_with(scenario).await;
    let mut server = ManualServer::open().await;
    move_servers(&fleet, server.address).await;
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    let (mut peer, _) = server.next("POST").await;
    peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("it is told");
    let base_url = segment_base_url(&pending.response().await);
    (fleet, server, base_url, peer)
}

/// Sends a request whose answer is waited for later, and makes sure that the front has read it.
async fn begin_request(fleet: &TestFleet, target: &str) -> HttpPeer {
    let mut peer = fleet.connect(0).await.expect("a connection");
    peer.write(get_request(target).as_bytes()).await.expect("the request is taken");
    assert_eq!(fleet.get("/v1/time").await.status, 200);
    peer
}

#[tokio::test]
async fn queued_read_is_answered_when_the_server_of_the_current_read_is_lost() {
    let (fleet, mut server, base_url, _play) =
        start_with_manual_server(json!({ "tries": 3, "free": 100 })).await;
    let mut first = begin_request(&fleet, &format!("{base_url}0/1.m4s")).await;
    let (current, _) = server.next("GET").await;
    let mut queued = begin_request(&fleet, &format!("{base_url}0/2.m4s")).await;
    // The server has moved to where nobody can connect, which shows at once, and its last connection is reset.
    move_servers(&fleet, "127.255.255.255:9".parse().expect("an address")).await;
    current.reset();
    for peer in [&mut first, &mut queued] {
        let answer = timeout(MAX_WAIT, peer.read_response()).await.expect("an answer, not silence");
        assert_eq!(answer.expect("a whole one").expect("one").status, 502);
    }
}

#[tokio::test]
async fn queued_read_is_dropped_when_its_player_leaves() {
    let (fleet, mut server, base_url, _play) = start_with_manual_server(json!({})).await;
    let _first = begin_request(&fleet, &format!("{base_url}0/1.m4s")).await;
    let (mut current, _) = server.next("GET").await;
    let left = begin_request(&fleet, &format!("{base_url}0/2.m4s")).await;
    drop(left);
    let _third = begin_request(&fleet, &format!("{base_url}0/3.m4s")).await;
    current
        .write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
        .await
        .expect("it is told");
    let (_, request_line) = server.next("GET").await;
    assert!(request_line.ends_with("/0/3"), "{request_line}");
}

#[tokio::test]
async fn list_is_read_again_once_file_handles_are_available() {
    let fleet = TestFleet::start_with_shell_prefix(base_scenario(), "ulimit -n 48").await;
    let mut connections = Vec::new();
    while !fleet.front_log(0).contains("connection not taken") {
        connections.push(TcpStream::connect(fleet.front_addresses[0]).await.expect("the system takes it"));
        tokio::task::yield_now().await;
    }
    for server in 0..4 {
        fleet.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    fleet.wait_for_log("list not taken", 1).await;
    drop(connections);
    // The last list of the four, or one before it, could not be read; nothing replaces it any more.
    fleet.wait_for_log("\"draining\":4", 1).await;
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 503, "nobody may take it");
    assert!(fleet.set_up_servers().is_empty());
    fleet.assert_rules_kept();
}

/// A token of this portal key for a session.
fn sign_token(fleet: &TestFleet, key_number: u8, session: &str) -> String {
    let ring =
        KeyRing::new(&[(format!("portal-{key_number}"), vec![b'a' + key_number; 40])]).expect("a ring");
    ring.sign(&EntryToken {
        jti: session.into(),
        sub: "viewer".into(),
        product: fleet.day.products[FREE].name.clone(),
        title: fleet.titles[FREE].name.clone(),
        top: 1,
        exp: u64::MAX >> 12,
    })
}

#[tokio::test]
async fn keys_are_loaded_once_their_missing_secret_file_appears() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "keys_poll_ms": 20 });
    let fleet = TestFleet::start_with(scenario).await;
    let keys = json!({
        "entry": [{ "kid": "portal-3", "file": "late.key" }], "pass": [{ "kid": "pass-3", "file": "late.key" }],
    });
    replace(&fleet.folder().join("keys.json"), keys.to_string()).expect("keys are replaced");
    fleet.wait_for_log("keys not taken", 1).await;
    let target =
        format!("/v1/free/{}/manifest.mpd?token={}", fleet.titles[FREE].name, sign_token(&fleet, 3, "s"));
    assert_eq!(fleet.get(&target).await.status, 401);
    replace(&fleet.folder().join("late.key"), [b'a' + 3; 40]).expect("the secret comes");
    fleet.wait_for_log("keys taken", 1).await;
    assert_eq!(fleet.get(&target).await.status, 200);
    assert_eq!(fleet.front_log(0).matches("keys not taken").count(), 1, "told once");
}
