//! Events on several connections in unfavourable order, on real sockets: rung changes that overtake each other, reads
//! queued behind one that fails, and files that are written in parts.

mod test_fleet;

use pulleystair_dash::token::{EntryClaims, KeyRing};
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

/// Time after which a wait fails. It only bounds a hang: no awaited event takes this long on any machine.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The rungs of all plays of a product, as the servers know them.
fn play_rungs(fleet: &TestFleet, product: usize) -> Vec<usize> {
    let model = fleet.servers.model();
    let plays = model.servers.iter().flat_map(|s| s.plays.values());
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
    // The response reports the load of the server, so the front knows that the link has room.
    assert_eq!(fleet.fetch_manifest("first", PAID).await.status, 200);
    fleet.set_faults(|faults| faults.slow = 60.0);
    let low_importance = fleet.send_manifest_request(0, "low", FREE).await;
    fleet
        .wait_for_observations("the set-up of the free play", |seen| {
            seen.iter().any(|s| matches!(&s.what, Observed::SetUp { rung: 1, product: FREE, .. }))
        })
        .await;
    // The link does not carry both plays on the high rung, and the paid one is worth ten times as much.
    let high_importance = fleet.send_manifest_request(0, "high", PAID).await;
    assert_eq!((low_importance.response().await.status, high_importance.response().await.status), (200, 200));
    fleet.wait_until("the server knows the lower rung", || play_rungs(&fleet, FREE) == [0]).await;
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
    // A link of 25 kB/s for a play of 40 kB/s: the play is stepped down to 20 kB/s, and its server applies that rung change
    // 2.5 s after reading it.
    fleet.set_faults(|faults| (faults.link, faults.late_steps_ms) = (0.000_25, 2_500.0));
    fleet
        .wait_until("the server reads a rung change", || fleet.servers.model().servers[0].steps_read == 1)
        .await;
    // A link of 5 kB/s: the play is stepped down again, and its server would apply that rung change at once.
    fleet.set_faults(|faults| (faults.link, faults.late_steps_ms) = (0.000_05, 0.0));
    let rung_changes = |seen: &[Observation]| -> Vec<usize> {
        let rung = |s: &Observation| match s.what {
            Observed::Rung { rung, .. } => Some(rung),
            _ => None,
        };
        seen.iter().filter_map(rung).collect()
    };
    fleet.wait_for_observations("both rung changes are applied", |seen| rung_changes(seen).len() == 2).await;
    assert_eq!(rung_changes(&fleet.recorder.observations()), [1, 0], "applied in the order of the decisions");
}

#[tokio::test]
async fn unanswered_rung_change_is_sent_again() {
    let mut scenario = one_server_scenario();
    scenario["limits"] = json!({ "segment_ms": 300 });
    let fleet = TestFleet::start_with(scenario).await;
    assert_eq!(fleet.fetch_manifest_up_to("s", FREE, 1).await.status, 200);
    // The server reads rung changes and does not respond in time; the front abandons each request.
    fleet.set_faults(|faults| (faults.link, faults.late_steps_ms) = (0.000_15, 3_600_000.0));
    fleet
        .wait_until("the server reads a rung change", || fleet.servers.model().servers[0].steps_read >= 1)
        .await;
    fleet.set_faults(|faults| faults.late_steps_ms = 0.0);
    fleet.wait_until("the server knows the lower rung", || play_rungs(&fleet, FREE) == [0]).await;
}

/// A media server that the test controls: it yields the requests that it reads, and the test writes the responses.
struct ManualServer {
    requests: mpsc::UnboundedReceiver<(HttpPeer, String)>,
    address: SocketAddr,
}

impl ManualServer {
    /// Listens on a free port.
    async fn open() -> ManualServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("the listener has an address");
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

    /// Waits for the next request of a method; returns its connection, and its method and target. Others are dropped.
    async fn next(&mut self, method: &str) -> (HttpPeer, String) {
        loop {
            let (peer, request_line) = timeout(MAX_WAIT, self.requests.recv())
                .await
                .expect("a request arrives")
                .expect("the server is listening");
            if request_line.starts_with(method) {
                return (peer, request_line);
            }
        }
    }
}

/// Gives all servers in the list this address, and waits until the front has loaded the list.
async fn set_all_server_addresses(fleet: &TestFleet, address: SocketAddr) {
    let lists_loaded = fleet.front_log(0).matches("list taken").count();
    let file = fleet.folder().join("list.json");
    let mut list: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&file).expect("the list")).expect("the list is JSON");
    for server in list["servers"].as_array_mut().expect("servers") {
        server["address"] = json!(address);
    }
    replace(&file, list.to_string()).expect("the list is replaced");
    fleet.wait_for_log("list taken", lists_loaded + 1).await;
}

/// Starts a fleet with one play at a [`ManualServer`]; returns the fleet, the server, the base URL of the play's segments
/// and the connection of its set-up.
async fn start_with_manual_server(reads: serde_json::Value) -> (TestFleet, ManualServer, String, HttpPeer) {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "server_connections": 1 });
    scenario["reads"] = reads;
    let fleet = TestFleet::start_with(scenario).await;
    let mut server = ManualServer::open().await;
    set_all_server_addresses(&fleet, server.address).await;
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    let (mut peer, _) = server.next("POST").await;
    peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .expect("the response is written");
    let base_url = segment_base_url(&pending.response().await);
    (fleet, server, base_url, peer)
}

/// Sends a request without waiting for its response, and makes sure that the front has read it.
async fn begin_request(fleet: &TestFleet, target: &str) -> HttpPeer {
    let mut peer = fleet.connect(0).await.expect("a connection");
    peer.write(get_request(target).as_bytes()).await.expect("the request is written");
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
    // The server moves to an address that refuses connections at once, and its current connection is reset.
    set_all_server_addresses(&fleet, "127.255.255.255:9".parse().expect("an address")).await;
    current.reset();
    for peer in [&mut first, &mut queued] {
        let answer = timeout(MAX_WAIT, peer.read_response()).await.expect("the front responds");
        assert_eq!(answer.expect("the response is complete").expect("a response").status, 502);
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
        .expect("the response is written");
    let (_, request_line) = server.next("GET").await;
    assert!(request_line.ends_with("/0/3"), "{request_line}");
}

#[tokio::test]
async fn list_is_read_again_once_file_handles_are_available() {
    let fleet = TestFleet::start_with_shell_prefix(base_scenario(), "ulimit -n 48").await;
    let mut connections = Vec::new();
    while !fleet.front_log(0).contains("connection not taken") {
        connections.push(
            TcpStream::connect(fleet.front_addresses[0]).await.expect("the system accepts the connection"),
        );
        tokio::task::yield_now().await;
    }
    for server in 0..4 {
        fleet.environment.set_listed_state(server, ListedState::Draining { started: 0.0 });
    }
    fleet.wait_for_log("list not taken", 1).await;
    drop(connections);
    // The front failed to read at least one of the four lists, perhaps the last. The file does not change any more, so the
    // front must retry by itself.
    fleet.wait_for_log("\"draining\":4", 1).await;
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 503, "all servers drain");
    assert!(fleet.set_up_servers().is_empty());
    fleet.assert_rules_kept();
}

/// Entry token for a session, signed with a portal key.
fn sign_token(fleet: &TestFleet, key_number: u8, session: &str) -> String {
    let ring = KeyRing::new(&[(format!("portal-{key_number}"), vec![b'a' + key_number; 40])])
        .expect("the key ring is valid");
    ring.sign(&EntryClaims {
        jti: session.into(),
        sub: "viewer".into(),
        product: fleet.scenario.products[FREE].name.clone(),
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
    replace(&fleet.folder().join("late.key"), [b'a' + 3; 40]).expect("the secret is written");
    fleet.wait_for_log("keys taken", 1).await;
    assert_eq!(fleet.get(&target).await.status, 200);
    assert_eq!(fleet.front_log(0).matches("keys not taken").count(), 1, "the rejection is logged once");
}
