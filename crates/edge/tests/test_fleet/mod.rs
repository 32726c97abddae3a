//! Test fleet on loopback: fake media servers, fronts as processes, and requests of players. At its end a test checks
//! the rules on what was observed on the sockets. Used by all test targets that start fronts.
#![allow(dead_code)] // Each test target uses a part of it.

mod requests;

pub use requests::PendingRequest;

use pulleystair_dash::address;
use pulleystair_dash::token::EntryClaims;
use pulleystair_fake_servers::http::{HttpPeer, Message};
use pulleystair_fake_servers::model::ServerFaults;
use pulleystair_lab::fronts::{FRONT_NAME, Program};
use pulleystair_lab::scenario::Scenario;
use pulleystair_lab::testbed::Testbed;
use pulleystair_rule_checker::history::History;
use pulleystair_rule_checker::rules::check;
use pulleystair_rule_checker::{Observation, Observed};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_rustls::TlsConnector;

/// Time after which a wait fails. It only bounds a hang: no awaited event takes this long on any machine.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// A running fleet. It dereferences to the lab's [`Testbed`], which holds the fake servers, the fronts and the recorder.
pub struct TestFleet {
    testbed: Testbed,
    /// Player-side address of each started front.
    pub front_addresses: Vec<SocketAddr>,
    folder: tempfile::TempDir,
    next_request_id: AtomicU64,
    tls_connector: Option<TlsConnector>,
}

/// Scenario with one front, four servers and two products, `free` and `paid`. Each product has one title, which all
/// servers hold.
pub fn base_scenario() -> Value {
    let product = |name: &str, effect: &str| {
        json!({
            "name": name, "importance": 1, "first_frame_target_ms": 600, "time_limit_ms": 1500,
            "effect": effect, "part": 0.5, "titles": 1, "holders": 4, "seconds": [4, 4],
        })
    };
    json!({
        "seed": 7, "seconds": 1, "fronts": 1, "zones": ["here"],
        "fleet": {
            "servers": 4, "racks": 2, "cores": 64, "queue": 4000, "streams": 1000, "link_kb": 100_000.0,
            "rack_link_kb": 200_000.0, "spread": 0, "work_ms": 5, "work_spread": 0,
            "reports_late_ms": 50, "notes_late_ms": 300, "notes_every_ms": 1000,
            "list_late_ms": 300, "lease_ms": 200,
        },
        "ladder": [{ "rate_kb": 10, "earns": 0.4 }, { "rate_kb": 20, "earns": 1 }],
        "products": [product("free", "read_like"), product("paid", "non_idempotent")],
        "rules": {
            "drain_grace_ms": 400, "cold_ms": 3000, "cold_from": 0.3, "overload_factor": 2.5,
            "fall_ms": 1000, "down_ms": 1000, "allocations": 3, "retry_after_ms": 500,
        },
        "players": {
            "per_s": 1, "come_back": 0, "leave": 0, "ask_twice": 0, "ask_again": 0, "small": 0,
            "segment_ms": 1000,
        },
    })
}

impl Deref for TestFleet {
    type Target = Testbed;

    fn deref(&self) -> &Testbed {
        &self.testbed
    }
}

impl TestFleet {
    /// Starts the base scenario.
    pub async fn start() -> TestFleet {
        TestFleet::start_with(base_scenario()).await
    }

    /// Starts all fronts of a scenario.
    pub async fn start_with(scenario: Value) -> TestFleet {
        TestFleet::start_program(scenario, Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into())).await
    }

    /// Starts all fronts by a shell that first runs `shell_prefix`, which limits their resources or changes their files.
    /// The shell's arguments are those of the front; the last one is the path of its configuration file.
    pub async fn start_with_shell_prefix(scenario: Value, shell_prefix: &str) -> TestFleet {
        let edge = Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into());
        let mut arguments = vec!["-c".to_string(), format!("{shell_prefix}; exec \"$0\" \"$@\"")];
        arguments.push(edge.path.display().to_string());
        arguments.extend(edge.args);
        TestFleet::start_program(scenario, Program { path: "/bin/sh".into(), args: arguments }).await
    }

    /// Starts all fronts of a scenario as processes of `program`.
    async fn start_program(scenario: Value, program: Program) -> TestFleet {
        let count = scenario["fronts"].as_u64().expect("a number") as usize;
        TestFleet::start_first(scenario, program, count, |_, _| {}).await
    }

    /// Starts only the first `count` fronts, after `change` has changed the files in the folder of the fleet.
    pub async fn start_first(
        scenario: Value,
        program: Program,
        count: usize,
        change: impl FnOnce(&Testbed, &Path),
    ) -> TestFleet {
        let scenario: Scenario = serde_json::from_value(scenario).expect("the scenario parses");
        let folder = tempfile::tempdir().expect("a temporary folder is created");
        let testbed = Testbed::build(scenario, program, folder.path()).await.expect("the testbed is built");
        change(&testbed, folder.path());
        let mut front_addresses = Vec::new();
        for front in 0..count {
            front_addresses.push(testbed.fronts.start(front).await.expect("the fronts start"));
        }
        let tls_connector = testbed.fronts.connector().expect("the TLS connector is built");
        TestFleet { testbed, front_addresses, folder, next_request_id: AtomicU64::new(1), tls_connector }
    }

    /// Kills a front with SIGKILL and starts it again.
    pub async fn restart(&mut self, front: usize) {
        self.fronts.kill(front).await;
        self.front_addresses[front] = self.fronts.start(front).await.expect("the front starts again");
    }

    /// Sends a signal to a front by `kill`; `name` is an option such as `-TERM`.
    pub async fn signal(&self, front: usize, name: &str) {
        let process_id = self.fronts.process_id(front).expect("the front runs").to_string();
        let sent = tokio::process::Command::new("kill").args([name, &process_id]).status().await;
        assert!(sent.expect("a signal is sent").success());
    }

    /// The latest statistics that a front wrote to its log (target `tally`), by name.
    pub fn latest_stats(&self, front: usize) -> serde_json::Map<String, Value> {
        let log = self.front_log(front);
        let mut lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let last = lines.rfind(|line| line["target"] == "tally");
        last.and_then(|line| line.as_object().cloned()).unwrap_or_default()
    }

    /// Folder with the files and logs of the fronts.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Changes the injected faults of all servers.
    pub fn set_faults(&self, change: impl Fn(&mut ServerFaults)) {
        self.servers.model().servers.iter_mut().for_each(|s| change(&mut s.faults));
    }

    /// Changes the injected faults of all servers except one.
    pub fn set_faults_except(&self, excluded: usize, change: impl Fn(&mut ServerFaults)) {
        let mut model = self.servers.model();
        let others = model.servers.iter_mut().enumerate().filter(|(server, _)| *server != excluded);
        others.for_each(|(_, s)| change(&mut s.faults));
    }

    /// Signed entry token for a product, for rungs up to 1. The index of the product also serves as the index of its title:
    /// in the base scenario each product has one title, and both are in the same order.
    pub fn entry_token(&self, session: &str, product: usize) -> String {
        self.entry_token_up_to(session, product, 1)
    }

    /// Like [`TestFleet::entry_token`], for rungs up to `max_rung`. The token expires in ten minutes.
    fn entry_token_up_to(&self, session: &str, product: usize, max_rung: usize) -> String {
        self.fronts.sign(&EntryClaims {
            jti: session.into(),
            sub: "viewer".into(),
            product: self.scenario.products[product].name.clone(),
            title: self.titles[product].name.clone(),
            top: max_rung,
            exp: (self.recorder.now() / 1000.0) as u64 + 600,
        })
    }

    /// Request target of the manifest, for a session of a product and the title of the same index (see
    /// [`TestFleet::entry_token`]).
    pub fn manifest_target(&self, session: &str, product: usize) -> String {
        let (product_name, title_name) = (&self.scenario.products[product].name, &self.titles[product].name);
        address::play_request_target(product_name, title_name, &self.entry_token(session, product))
    }

    /// Sends a manifest request of a session for any title of the scenario, by its index among all titles.
    pub async fn send_title_request(&self, front: usize, session: &str, title: usize) -> PendingRequest {
        let title_entry = &self.titles[title];
        let product = &self.scenario.products[title_entry.product].name;
        let token = self.fronts.sign(&EntryClaims {
            jti: session.into(),
            sub: "viewer".into(),
            product: product.clone(),
            title: title_entry.name.clone(),
            top: 1,
            exp: (self.recorder.now() / 1000.0) as u64 + 600,
        });
        let target = address::play_request_target(product, &title_entry.name, &token);
        self.write_manifest_request(front, session, title, &target).await
    }

    /// Writes a manifest request for `target` on a new connection, and records it as [`Observed::Asked`] for the title.
    async fn write_manifest_request(
        &self,
        front: usize,
        session: &str,
        title: usize,
        target: &str,
    ) -> PendingRequest {
        let mut peer = self.connect(front).await.expect("the front accepts connections");
        let request = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let title_entry = &self.titles[title];
        self.recorder.record(Observed::Asked {
            request,
            session: session.into(),
            front,
            product: title_entry.product,
            title: title_entry.name.clone(),
            top: 1,
        });
        peer.write(get_request(target).as_bytes()).await.expect("the request is written");
        PendingRequest { peer, request, recorder: self.recorder.clone() }
    }

    /// Sends a manifest request of a session to a front, for the title of the product's index;
    /// [`PendingRequest::response`] waits for the response.
    pub async fn send_manifest_request(&self, front: usize, session: &str, product: usize) -> PendingRequest {
        let target = self.manifest_target(session, product);
        self.write_manifest_request(front, session, product, &target).await
    }

    /// Requests a manifest for rungs up to `max_rung` from front 0 and waits for the response. The request is not recorded,
    /// so the rules are not checked on it.
    pub async fn fetch_manifest_up_to(&self, session: &str, product: usize, max_rung: usize) -> Message {
        let (product_name, title_name) = (&self.scenario.products[product].name, &self.titles[product].name);
        self.get(&address::play_request_target(
            product_name,
            title_name,
            &self.entry_token_up_to(session, product, max_rung),
        ))
        .await
    }

    /// Requests a manifest from front 0 and waits for the response.
    pub async fn fetch_manifest(&self, session: &str, product: usize) -> Message {
        self.send_manifest_request(0, session, product).await.response().await
    }

    /// Lets sessions `s0`, `s1`, ... request manifests of front 0 concurrently; returns how many got status 200.
    pub async fn count_concurrent_plays(&self, count: usize, product: usize) -> usize {
        let mut pending = Vec::new();
        for i in 0..count {
            pending.push(self.send_manifest_request(0, &format!("s{i}"), product).await.read_in_background());
        }
        let mut played = 0;
        for request in pending {
            played += usize::from(request.await.expect("the player task succeeds").status == 200);
        }
        played
    }

    /// Restarts all servers cold, one after the other, and waits after each until front 0 has loaded the list with the new
    /// start time.
    pub async fn restart_all_servers_cold(&self) {
        for server in 0..self.scenario.fleet.servers {
            let lists_loaded = self.front_log(0).matches("list taken").count();
            self.servers.stop(server);
            self.environment.restart(server);
            self.wait_for_log("list taken", lists_loaded + 1).await;
        }
    }

    /// Connects to a front, with TLS where the scenario enables it.
    pub async fn connect(&self, front: usize) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(
            self.front_addresses[front],
            self.tls_connector.as_ref().map(|connector| (connector, FRONT_NAME)),
        )
        .await
    }

    /// The whole log of a front so far; empty where there is none.
    pub fn front_log(&self, front: usize) -> String {
        std::fs::read_to_string(self.folder().join(format!("front-{front}.log"))).unwrap_or_default()
    }

    /// Waits until the log of front 0 contains a text at least `times` times.
    pub async fn wait_for_log(&self, text: &str, times: usize) {
        self.wait_until(text, || self.front_log(0).matches(text).count() >= times).await;
    }

    /// Sends a GET request to front 0 on a new connection; returns the response.
    pub async fn get(&self, target: &str) -> Message {
        self.send_raw(&get_request(target)).await.expect("the front responds")
    }

    /// Sends text unchanged to front 0 on a new connection; `None` if the front closes without a response.
    pub async fn send_raw(&self, text: &str) -> Option<Message> {
        let mut peer = self.connect(0).await.ok()?;
        peer.write(text.as_bytes()).await.ok()?;
        tokio::time::timeout(MAX_WAIT, peer.read_response())
            .await
            .expect("the front responds or closes")
            .ok()?
    }

    /// Waits until the recorded observations fulfil `is_seen`; `what` names the event in the panic message.
    pub async fn wait_for_observations(&self, what: &str, is_seen: impl Fn(&[Observation]) -> bool) {
        self.wait_until(what, || is_seen(&self.recorder.observations())).await;
    }

    /// Polls a condition until it holds, for at most [`MAX_WAIT`]; `what` names it in the panic message.
    pub async fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed() < MAX_WAIT, "timed out waiting for: {what}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// The server of each set-up that servers have read, in order of observation.
    pub fn set_up_servers(&self) -> Vec<usize> {
        let seen = self.recorder.observations();
        let server = |s: &Observation| match s.what {
            Observed::SetUp { server, .. } => Some(server),
            _ => None,
        };
        seen.iter().filter_map(server).collect()
    }

    /// The observations so far, with a description of the run, the parameters of the rules, and the numbers of the rules
    /// that the run is meant to break.
    pub fn history(&self, description: &str, breaks: &[u8]) -> History {
        History::new(description, breaks, self.scenario.rule_params(), self.recorder.observations())
    }

    /// Asserts that the recorded observations contain requests and break no rule.
    pub fn assert_rules_kept(&self) {
        let (breaches, covered) = check(&self.recorder.observations(), &self.scenario.rule_params());
        assert!(covered.requests > 0, "no request was observed");
        assert!(breaches.is_empty(), "{breaches:?}");
    }
}

/// Number of set-ups that servers have read.
pub fn set_up_count(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::SetUp { .. })).count()
}

/// Number of set-ups whose end servers have observed.
pub fn closed_count(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::Closed { .. })).count()
}

/// The base scenario with a single server, which holds all titles, plays of 60 s, and frequent notes (every 600 ms, not
/// delayed).
pub fn one_server_scenario() -> Value {
    let mut scenario = base_scenario();
    scenario["fleet"]["servers"] = json!(1);
    scenario["fleet"]["racks"] = json!(1);
    scenario["fleet"]["notes_late_ms"] = json!(0);
    scenario["fleet"]["notes_every_ms"] = json!(600);
    for product in scenario["products"].as_array_mut().expect("there are products") {
        product["holders"] = json!(1);
        product["seconds"] = json!([60, 60]);
    }
    scenario
}

/// Text of a GET request.
pub fn get_request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: front\r\n\r\n")
}

/// Body of a response as text.
pub fn body_text(message: &Message) -> &str {
    std::str::from_utf8(&message.body).expect("the body is UTF-8")
}

/// The `BaseURL` of a manifest, to which segment paths are appended.
pub fn segment_base_url(manifest: &Message) -> String {
    let text = body_text(manifest);
    let (_, rest) = text.split_once("<BaseURL>").expect("the manifest has a BaseURL");
    rest.split_once("</BaseURL>").expect("the manifest closes its BaseURL").0.to_string()
}

/// Scenario with one allocation per play and a time limit of 20 s for free plays, so that a set-up is awaited for as long
/// as the viewer waits.
pub fn long_time_limit_scenario() -> Value {
    let mut scenario = base_scenario();
    scenario["rules"]["allocations"] = json!(1);
    scenario["products"][0]["time_limit_ms"] = json!(20_000);
    scenario
}
