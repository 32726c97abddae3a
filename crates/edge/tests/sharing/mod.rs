//! Helpers for tests of several fronts that share state: their scenario, many plays at once, a front simulated by the
//! test, and the status that fronts report. Used by the targets `many_fronts` and `rollout`.
#![allow(dead_code)] // Each test target uses a part of it.

use crate::test_fleet::{self, PendingRequest, TestFleet};
use pulleystair_edge::config::Config;
use pulleystair_edge::status::query;
use pulleystair_fleet_member::{AllocationResult, FleetConfig, FleetMember, GossipConfig, stable_id};
use pulleystair_lab::front_config::front_name;
use pulleystair_lab::testbed::Testbed;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time after which a wait fails. It only bounds a hang: no awaited event takes this long on any machine.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Guard that lets only one fleet of processes of this test program run at a time, so that none is slowed down by a lack
/// of cores. Where each test runs in a process of its own (as with nextest), it has no effect.
pub async fn exclusive_run() -> tokio::sync::MutexGuard<'static, ()> {
    static FLEET: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    FLEET.lock().await
}

/// Scenario of fronts that share state and of servers, all in one zone, with eight titles a product and up to four
/// holders a title.
pub fn sharing_scenario(fronts: usize, servers: usize) -> Value {
    let mut scenario = test_fleet::base_scenario();
    scenario["fronts"] = json!(fronts);
    scenario["zones"] = json!(["here"]);
    scenario["fleet"]["servers"] = json!(servers);
    scenario["fleet"]["racks"] = json!(1);
    scenario["rules"]["cold_ms"] = json!(200);
    for product in scenario["products"].as_array_mut().expect("there are products") {
        product["holders"] = json!(servers.min(4));
        product["titles"] = json!(8);
        product["time_limit_ms"] = json!(3_000);
    }
    scenario["sharing"] = json!({
        "every_ms": 60, "doubted_ms": 500, "unheard_ms": 1_200, "lend_ms": 1_000, "hold_ms": 0, "bytes_s": 400_000,
    });
    scenario
}

/// Loads the configuration file of a front.
fn load_front_config(fleet: &TestFleet, front: usize) -> Config {
    Config::load(&fleet.folder().join(format!("front-{front}.json")))
        .expect("the configuration of the front loads")
}

/// Status report of a running front, as JSON.
pub fn query_status(fleet: &TestFleet, front: usize) -> Value {
    let mut config = load_front_config(fleet, front);
    config.sharing.ask = fleet.fronts.status_address(front);
    tokio::task::block_in_place(|| query(&config)).expect("the running front reports its status")
}

/// Polls a condition until it holds, for at most [`MAX_WAIT`]; `what` names it in the panic message.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "timed out waiting for: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

/// Sends `count` play requests to each of `fronts` at once, for titles 0 to 7 in turn, without reading the responses.
pub async fn send_play_requests(
    fleet: &TestFleet,
    session_prefix: &str,
    fronts: &[usize],
    count: usize,
) -> Vec<PendingRequest> {
    send_play_requests_from(fleet, session_prefix, 0, fronts, count, |request| request).await
}

/// Like [`send_play_requests`], beginning with the given title; `on_sent` takes each request as soon as it is sent.
async fn send_play_requests_from<T>(
    fleet: &TestFleet,
    session_prefix: &str,
    title: usize,
    fronts: &[usize],
    count: usize,
    on_sent: impl Fn(PendingRequest) -> T,
) -> Vec<T> {
    let mut sent = Vec::new();
    for n in 0..count {
        for front in fronts {
            let session = format!("{session_prefix}-{front}-{n}");
            sent.push(on_sent(fleet.send_title_request(*front, &session, (title + n) % 8).await));
        }
    }
    sent
}

/// Sends requests like [`send_play_requests`] and waits for all responses.
pub async fn run_plays(fleet: &TestFleet, session_prefix: &str, fronts: &[usize], count: usize) {
    run_plays_from_title(fleet, session_prefix, 0, fronts, count).await;
}

/// Like [`run_plays`], beginning with the given title.
pub async fn run_plays_from_title(
    fleet: &TestFleet,
    session_prefix: &str,
    title: usize,
    fronts: &[usize],
    count: usize,
) {
    let read = PendingRequest::read_in_background;
    for response in send_play_requests_from(fleet, session_prefix, title, fronts, count, read).await {
        response.await.expect("the player task succeeds");
    }
}

/// A server that accepts connections into its backlog and never responds.
pub struct UnresponsiveServer {
    pub address: SocketAddr,
    _listener: TcpListener,
}

/// Listens on a free port without ever reading.
pub fn start_unresponsive_server() -> UnresponsiveServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    UnresponsiveServer {
        address: listener.local_addr().expect("the listener has an address"),
        _listener: listener,
    }
}

/// Changes a JSON file and replaces it atomically.
pub fn change_json(file: &Path, change: impl FnOnce(&mut Value)) {
    let mut json: Value = serde_json::from_slice(&std::fs::read(file).expect("the file is readable"))
        .expect("the file is JSON");
    change(&mut json);
    pulleystair_fake_servers::files::replace(file, json.to_string()).expect("the file is replaced");
}

/// Changes the configuration file of a front; the front reads it when it starts.
pub fn change_front_config(folder: &Path, front: usize, change: impl FnOnce(&mut Value)) {
    change_json(&folder.join(format!("front-{front}.json")), change);
}

/// Gives a front a server list of its own, `list-N.json`, in which some servers, given by number, have another address.
/// The front reads the file's name when it starts.
pub fn override_server_addresses(
    _testbed: &Testbed,
    folder: &Path,
    front: usize,
    servers: &[(usize, SocketAddr)],
) {
    let list_name = format!("list-{front}.json");
    std::fs::copy(folder.join("list.json"), folder.join(&list_name)).expect("the list is copied");
    change_json(&folder.join(&list_name), |list| {
        for server in list["servers"].as_array_mut().expect("there are servers") {
            let replacement = servers.iter().find(|s| server["name"] == format!("m{}", s.0));
            replacement.into_iter().for_each(|s| server["address"] = json!(s.1));
        }
    });
    change_front_config(folder, front, |config| config["list"] = json!(list_name));
}

/// Replaces the front's own list, written by [`override_server_addresses`], with a copy of the common one.
pub fn restore_server_addresses(fleet: &TestFleet, front: usize) {
    let text = std::fs::read(fleet.folder().join("list.json")).expect("the common list is readable");
    pulleystair_fake_servers::files::replace(&fleet.folder().join(format!("list-{front}.json")), text)
        .expect("the list is replaced");
}

/// A front simulated by the test: a real [`FleetMember`] on a socket of its own, without plays.
pub struct FakeFront {
    stop: Arc<AtomicBool>,
}

impl Drop for FakeFront {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl FakeFront {
    /// Action for [`FakeFront::start`]: records a timed-out allocation for each of the servers `m0` to `m7`, whatever they
    /// do.
    pub fn report_all_failing(member: &mut FleetMember, now: f64) {
        (0..8).for_each(|server| {
            member.on_result(now, stable_id(&format!("m{server}")), AllocationResult::TimedOut)
        });
    }

    /// Like [`FakeFront::start_with`], for a function that captures no state.
    pub fn start(
        fleet: &TestFleet,
        front: usize,
        zone: &str,
        before_tick: fn(&mut FleetMember, f64),
    ) -> FakeFront {
        FakeFront::start_with(fleet, front, zone, before_tick)
    }

    /// Joins the fleet as `front` in a thread, in the place of a real one; `before_tick` runs before each gossip tick.
    pub fn start_with(
        fleet: &TestFleet,
        front: usize,
        zone: &str,
        mut before_tick: impl FnMut(&mut FleetMember, f64) + Send + 'static,
    ) -> FakeFront {
        let relays = fleet.fronts.relays.clone().expect("the fronts share state");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_millis(10))).expect("the read time-out is set");
        relays.set_front_address(front, socket.local_addr().expect("the socket has an address"));
        let config = load_front_config(fleet, front);
        let sharing = &config.sharing;
        let others: Vec<usize> = (0..config.fronts).filter(|i| *i != front).collect();
        let member_config = FleetConfig {
            gossip: GossipConfig {
                fleet: "laboratory".into(),
                name: front_name(front),
                peers: others.iter().map(|i| front_name(*i)).collect(),
                interval: sharing.every_ms,
                fan_out: sharing.fan_out,
                max_bytes_per_second: sharing.bytes_s,
                doubted_after: sharing.doubted_ms,
                unheard_after: sharing.unheard_ms,
            },
            zone: 0,
            zones: vec![zone.to_string()],
            lease_ms: sharing.lend_ms,
            max_further_per_second: sharing.further_s,
            max_probes_per_second: sharing.probes_s,
            alarm_delay_ms: sharing.hold_ms,
            stricter: false,
            bucket_ms: sharing.bucket_ms,
            max_set_up_ms: 5_000.0,
        };
        let addresses: BTreeMap<String, SocketAddr> =
            others.iter().map(|i| (front_name(*i), relays.relay_address(front, *i))).collect();
        let wall_clock_ms = || {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            now.expect("a clock").as_secs_f64() * 1000.0
        };
        let mut member =
            FleetMember::new(member_config, wall_clock_ms(), wall_clock_ms() as u64, front as u64)
                .expect("the member accepts its configuration");
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            while !stop_requested.load(Ordering::Relaxed) {
                let received = socket.recv_from(&mut buffer).map(|(n, _)| n);
                let now = wall_clock_ms();
                let mut out = received.map_or(Vec::new(), |n| member.receive(now, &buffer[..n]));
                if now >= member.next_deadline() {
                    before_tick(&mut member, now);
                    out.extend(member.tick(now, now).1);
                }
                for datagram in out {
                    let _ = socket.send_to(&datagram.bytes, addresses[member.name(datagram.to)]);
                }
            }
        });
        FakeFront { stop }
    }
}
