//! A small house on loopback: stand-in servers, fronts as processes, and one player's hands. What is seen on
//! the sockets is checked by the rules at the end of every story.
#![allow(dead_code)] // Each file of stories uses a part of it.

use pulleystair_dash::address;
use pulleystair_dash::token::EntryToken;
use pulleystair_fake_servers::http::{HttpPeer, Message};
use pulleystair_fake_servers::model::ServerFaults;
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_lab::fronts::{FRONT, Program};
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

/// No event of these stories takes longer than this on any machine; it bounds a hang, and proves nothing.
const MAX_WAIT: Duration = Duration::from_secs(30);

pub struct TestFleet {
    testbed: Testbed,
    pub front_addresses: Vec<SocketAddr>,
    folder: tempfile::TempDir,
    next_request_id: AtomicU64,
    tls_connector: Option<TlsConnector>,
}

/// Two products, `free` and `paid`, each with one title that all of four servers hold.
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
    pub async fn start() -> TestFleet {
        TestFleet::start_with(base_scenario()).await
    }

    pub async fn start_with(scenario: Value) -> TestFleet {
        TestFleet::start_program(scenario, Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into())).await
    }

    /// A house whose fronts are started by a shell after this word, which limits what they may have.
    pub async fn start_with_shell_prefix(scenario: Value, shell_prefix: &str) -> TestFleet {
        let edge = Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into());
        let mut arguments = vec!["-c".to_string(), format!("{shell_prefix}; exec \"$0\" \"$@\"")];
        arguments.push(edge.path.display().to_string());
        arguments.extend(edge.words);
        TestFleet::start_program(scenario, Program { path: "/bin/sh".into(), words: arguments }).await
    }

    async fn start_program(scenario: Value, program: Program) -> TestFleet {
        let count = scenario["fronts"].as_u64().expect("a number") as usize;
        TestFleet::start_first(scenario, program, count, |_, _| {}).await
    }

    /// A house of which only the first fronts are started, after its files were changed.
    pub async fn start_first(
        scenario: Value,
        program: Program,
        count: usize,
        change: impl FnOnce(&Testbed, &Path),
    ) -> TestFleet {
        let scenario: Scenario = serde_json::from_value(scenario).expect("the day reads");
        let folder = tempfile::tempdir().expect("a folder can be had");
        let testbed = Testbed::build(scenario, program, folder.path()).await.expect("the set is built");
        change(&testbed, folder.path());
        let mut front_addresses = Vec::new();
        for front in 0..count {
            front_addresses.push(testbed.fronts.start(front).await.expect("the fronts start"));
        }
        let tls_connector = testbed.fronts.connector().expect("an authority's own connector");
        TestFleet { testbed, front_addresses, folder, next_request_id: AtomicU64::new(1), tls_connector }
    }

    /// Kills a front outright and starts it anew.
    pub async fn restart(&mut self, front: usize) {
        self.fronts.kill(front).await;
        self.front_addresses[front] = self.fronts.start(front).await.expect("it starts again");
    }

    pub async fn signal(&self, front: usize, name: &str) {
        let process_id = self.fronts.process(front).expect("the front runs").to_string();
        let sent = tokio::process::Command::new("kill").args([name, &process_id]).status().await;
        assert!(sent.expect("a signal is sent").success());
    }

    /// The latest sums that a front wrote to its log, by name.
    pub fn latest_stats(&self, front: usize) -> serde_json::Map<String, Value> {
        let log = self.front_log(front);
        let mut lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let last = lines.rfind(|line| line["target"] == "tally");
        last.and_then(|line| line.as_object().cloned()).unwrap_or_default()
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Changes what ails all servers.
    pub fn set_faults(&self, change: impl Fn(&mut ServerFaults)) {
        self.boxes.model().servers.iter_mut().for_each(|s| change(&mut s.faults));
    }

    /// Changes what ails all servers but this one.
    pub fn set_faults_except(&self, excluded: usize, change: impl Fn(&mut ServerFaults)) {
        let mut model = self.boxes.model();
        let others = model.servers.iter_mut().enumerate().filter(|(server, _)| *server != excluded);
        others.for_each(|(_, s)| change(&mut s.faults));
    }

    pub fn entry_token(&self, session: &str, product: usize) -> String {
        self.entry_token_up_to(session, product, 1)
    }

    fn entry_token_up_to(&self, session: &str, product: usize, max_rung: usize) -> String {
        self.fronts.sign(&EntryToken {
            jti: session.into(),
            sub: "viewer".into(),
            product: self.day.products[product].name.clone(),
            title: self.titles[product].name.clone(),
            top: max_rung,
            exp: (self.log.now() / 1000.0) as u64 + 600,
        })
    }

    pub fn manifest_target(&self, session: &str, product: usize) -> String {
        let (product_name, title_name) = (&self.day.products[product].name, &self.titles[product].name);
        address::manifest_path(product_name, title_name, &self.entry_token(session, product))
    }

    /// The same for any of the day's titles, by its place among all.
    pub async fn send_title_request(&self, front: usize, session: &str, title: usize) -> PendingRequest {
        let title_entry = &self.titles[title];
        let product = &self.day.products[title_entry.product].name;
        let token = self.fronts.sign(&EntryToken {
            jti: session.into(),
            sub: "viewer".into(),
            product: product.clone(),
            title: title_entry.name.clone(),
            top: 1,
            exp: (self.log.now() / 1000.0) as u64 + 600,
        });
        let target = address::manifest_path(product, &title_entry.name, &token);
        self.write_manifest_request(front, session, title, &target).await
    }

    async fn write_manifest_request(
        &self,
        front: usize,
        session: &str,
        title: usize,
        target: &str,
    ) -> PendingRequest {
        let mut peer = self.connect(front).await.expect("the front takes connections");
        let request = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let title_entry = &self.titles[title];
        self.log.record(Observed::Asked {
            request,
            session: session.into(),
            front,
            product: title_entry.product,
            title: title_entry.name.clone(),
            top: 1,
        });
        peer.write(get_request(target).as_bytes()).await.expect("the request is taken");
        PendingRequest { peer, request, log: self.log.clone() }
    }

    /// Writes a manifest request of a session; its answer is to be waited for by [`Asking::answer`].
    pub async fn send_manifest_request(&self, front: usize, session: &str, product: usize) -> PendingRequest {
        let target = self.manifest_target(session, product);
        self.write_manifest_request(front, session, product, &target).await
    }

    /// Asks for a play of up to this rung, outside the log of requests.
    pub async fn fetch_manifest_up_to(&self, session: &str, product: usize, max_rung: usize) -> Message {
        let (product_name, title_name) = (&self.day.products[product].name, &self.titles[product].name);
        self.get(&address::manifest_path(
            product_name,
            title_name,
            &self.entry_token_up_to(session, product, max_rung),
        ))
        .await
    }

    pub async fn fetch_manifest(&self, session: &str, product: usize) -> Message {
        self.send_manifest_request(0, session, product).await.response().await
    }

    /// So many sessions `s0`, `s1`, ... ask at once; how many of them play.
    pub async fn count_concurrent_plays(&self, count: usize, product: usize) -> usize {
        let mut pending = Vec::new();
        for i in 0..count {
            pending.push(self.send_manifest_request(0, &format!("s{i}"), product).await.read_in_background());
        }
        let mut played = 0;
        for request in pending {
            played += usize::from(request.await.expect("no player dies").status == 200);
        }
        played
    }

    /// All servers start anew, cold, and the first front has read of each: its list was put up alone, and taken.
    pub async fn restart_all_servers_cold(&self) {
        for server in 0..self.day.fleet.servers {
            let lists_taken = self.front_log(0).matches("list taken").count();
            self.boxes.stop(server);
            self.stage.restart(server);
            self.wait_for_log("list taken", lists_taken + 1).await;
        }
    }

    /// A connection to a front, under TLS where the day has it.
    pub async fn connect(&self, front: usize) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(
            self.front_addresses[front],
            self.tls_connector.as_ref().map(|connector| (connector, FRONT)),
        )
        .await
    }

    pub fn front_log(&self, front: usize) -> String {
        std::fs::read_to_string(self.folder().join(format!("front-{front}.log"))).unwrap_or_default()
    }

    /// Waits until the front has said this so many times.
    pub async fn wait_for_log(&self, what: &str, times: usize) {
        self.wait_until(what, || self.front_log(0).matches(what).count() >= times).await;
    }

    /// Any other request, on a connection of its own.
    pub async fn get(&self, target: &str) -> Message {
        self.send_raw(&get_request(target)).await.expect("an answer comes")
    }

    /// Sends text as it is; none if the front closes without an answer.
    pub async fn send_raw(&self, text: &str) -> Option<Message> {
        let mut peer = self.connect(0).await.ok()?;
        peer.write(text.as_bytes()).await.ok()?;
        tokio::time::timeout(MAX_WAIT, peer.read_response()).await.expect("the front does something").ok()?
    }

    /// Waits until something has been seen.
    pub async fn wait_for_observations(&self, what: &str, is_seen: impl Fn(&[Observation]) -> bool) {
        self.wait_until(what, || is_seen(&self.log.observations())).await;
    }

    pub async fn wait_until(&self, what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed() < MAX_WAIT, "never came: {what}");
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn set_up_servers(&self) -> Vec<usize> {
        let seen = self.log.observations();
        let server = |s: &Observation| match s.what {
            Observed::SetUp { server, .. } => Some(server),
            _ => None,
        };
        seen.iter().filter_map(server).collect()
    }

    /// What has been seen so far, with the terms that it is held to.
    pub fn history(&self, what: &str, breaks: &[u8]) -> History {
        History::new(what, breaks, self.day.terms(), self.log.observations())
    }

    /// All rules must have been kept, on a log that holds something.
    pub fn assert_rules_kept(&self) {
        let (breaches, covered) = check(&self.log.observations(), &self.day.terms());
        assert!(covered.requests > 0, "nothing was checked");
        assert!(breaches.is_empty(), "{breaches:?}");
    }
}

pub struct PendingRequest {
    pub peer: HttpPeer,
    request: u64,
    log: Recorder,
}

impl PendingRequest {
    pub async fn response(mut self) -> Message {
        let answer =
            tokio::time::timeout(MAX_WAIT, self.peer.read_response()).await.expect("an answer comes");
        let answer = answer.expect("the answer is whole").expect("the front answers");
        self.log.record(Observed::Answered { request: self.request, status: answer.status });
        answer
    }

    /// Reads while others ask: what is seen of an answer is when it came, not when it was its turn to be looked at.
    pub fn read_in_background(self) -> tokio::task::JoinHandle<Message> {
        tokio::spawn(self.response())
    }

    /// That the connection broke, as a player sees it.
    pub fn connection_lost(&self) -> Observed {
        Observed::Cut { request: self.request }
    }

    /// Closes without waiting for the answer.
    pub fn leave(self) {
        self.log.record(Observed::Left { request: self.request });
    }
}

/// How many set-ups servers have read.
pub fn set_up_count(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::SetUp { .. })).count()
}

/// How many set-ups servers have seen the end of.
pub fn closed_count(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::Closed { .. })).count()
}

/// That day with one server, which holds all, and short notes on it.
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

pub fn get_request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: front\r\n\r\n")
}

pub fn body_text(message: &Message) -> &str {
    std::str::from_utf8(&message.body).expect("answers are text")
}

/// Where a manifest says that its segments are.
pub fn segment_base_url(manifest: &Message) -> String {
    let text = body_text(manifest);
    let (_, rest) = text.split_once("<BaseURL>").expect("a manifest has its base");
    rest.split_once("</BaseURL>").expect("a manifest has its base").0.to_string()
}

/// A day on which a set-up is waited for as long as the viewer waits.
pub fn long_time_limit_scenario() -> Value {
    let mut scenario = base_scenario();
    scenario["rules"]["allocations"] = json!(1);
    scenario["products"][0]["time_limit_ms"] = json!(20_000);
    scenario
}
