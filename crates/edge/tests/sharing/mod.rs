//! What stories of many fronts have in common: their day, crowds, a front that is played by the test, and what fronts say.
#![allow(dead_code)] // Each file of stories uses a part of it.

use crate::test_fleet::{self, TestFleet};
use pulleystair_edge::config::Config;
use pulleystair_edge::status::query;
use pulleystair_fleet_member::{AllocationResult, FleetConfig, FleetMember, GossipConfig, stable_id};
use pulleystair_lab::fronts::name;
use pulleystair_lab::testbed::Testbed;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// No event of these stories takes longer on any machine; it bounds a hang.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Fleets of processes run one after the other, so that none is slow for want of a core.
pub async fn exclusive_run() -> tokio::sync::MutexGuard<'static, ()> {
    static FLEET: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    FLEET.lock().await
}

/// A day of so many fronts that share and so many servers, all of one zone, with titles of four holders.
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

fn load_front_config(fleet: &TestFleet, front: usize) -> Config {
    Config::read(&fleet.folder().join(format!("front-{front}.json"))).expect("its rundown reads")
}

/// What a front says when it is asked.
pub fn query_status(fleet: &TestFleet, front: usize) -> Value {
    let config = load_front_config(fleet, front);
    tokio::task::block_in_place(|| query(&config)).expect("a front that runs answers")
}

/// Waits until something is so.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < MAX_WAIT, "never came: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

/// So many plays at each of these fronts at once, for all titles in turn; none has been answered yet.
pub async fn send_play_requests(
    fleet: &TestFleet,
    session_prefix: &str,
    fronts: &[usize],
    count: usize,
) -> Vec<test_fleet::PendingRequest> {
    send_play_requests_from(fleet, session_prefix, 0, fronts, count).await
}

async fn send_play_requests_from(
    fleet: &TestFleet,
    session_prefix: &str,
    title: usize,
    fronts: &[usize],
    count: usize,
) -> Vec<test_fleet::PendingRequest> {
    let mut requests = Vec::new();
    for n in 0..count {
        for front in fronts {
            requests.push(
                fleet
                    .send_title_request(*front, &format!("{session_prefix}-{front}-{n}"), (title + n) % 8)
                    .await,
            );
        }
    }
    requests
}

/// The same, with all answers waited for.
pub async fn run_plays(fleet: &TestFleet, session_prefix: &str, fronts: &[usize], count: usize) {
    for pending in send_play_requests(fleet, session_prefix, fronts, count).await {
        pending.response().await;
    }
}

/// The same, from another title on.
pub async fn run_plays_from_title(
    fleet: &TestFleet,
    session_prefix: &str,
    title: usize,
    fronts: &[usize],
    count: usize,
) {
    for pending in send_play_requests_from(fleet, session_prefix, title, fronts, count).await {
        pending.response().await;
    }
}

/// A server that takes connections and never says a word.
pub struct UnresponsiveServer {
    pub address: SocketAddr,
    _listener: TcpListener,
}

pub fn start_unresponsive_server() -> UnresponsiveServer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    UnresponsiveServer { address: listener.local_addr().expect("its address"), _listener: listener }
}

fn change_json(file: &Path, change: impl FnOnce(&mut Value)) {
    let mut json: Value =
        serde_json::from_slice(&std::fs::read(file).expect("it is there")).expect("it is JSON");
    change(&mut json);
    pulleystair_fake_servers::files::replace(file, json.to_string()).expect("it is written");
}

pub fn change_front_config(folder: &Path, front: usize, change: impl FnOnce(&mut Value)) {
    change_json(&folder.join(format!("front-{front}.json")), change);
}

/// A front's own list, in which some servers are to be had elsewhere.
pub fn override_server_addresses(
    _testbed: &Testbed,
    folder: &Path,
    front: usize,
    servers: &[(usize, SocketAddr)],
) {
    let list_name = format!("list-{front}.json");
    std::fs::copy(folder.join("list.json"), folder.join(&list_name)).expect("it is copied");
    change_json(&folder.join(&list_name), |list| {
        for server in list["servers"].as_array_mut().expect("there are servers") {
            let replacement = servers.iter().find(|s| server["name"] == format!("m{}", s.0));
            replacement.into_iter().for_each(|s| server["address"] = json!(s.1));
        }
    });
    change_front_config(folder, front, |config| config["list"] = json!(list_name));
}

/// That list is as all others again.
pub fn restore_server_addresses(fleet: &TestFleet, front: usize) {
    let text = std::fs::read(fleet.folder().join("list.json")).expect("it is there");
    pulleystair_fake_servers::files::replace(&fleet.folder().join(format!("list-{front}.json")), text)
        .expect("written");
}

/// A front that the test plays: a real fellow behind a socket of its own, without plays.
pub struct FakeFront {
    stop: Arc<AtomicBool>,
}

impl Drop for FakeFront {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl FakeFront {
    /// Says that all servers fail.
    pub fn report_all_failing(member: &mut FleetMember, now: f64) {
        (0..8).for_each(|server| {
            member.on_result(now, stable_id(&format!("m{server}")), AllocationResult::TimedOut)
        });
    }

    pub fn start(
        fleet: &TestFleet,
        front: usize,
        zone: &str,
        before_tick: fn(&mut FleetMember, f64),
    ) -> FakeFront {
        FakeFront::start_with(fleet, front, zone, before_tick)
    }

    pub fn start_with(
        fleet: &TestFleet,
        front: usize,
        zone: &str,
        mut before_tick: impl FnMut(&mut FleetMember, f64) + Send + 'static,
    ) -> FakeFront {
        let relays = fleet.fronts.between.clone().expect("they share");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_millis(10))).expect("a time-out");
        relays.listens(front, socket.local_addr().expect("its address"));
        let config = load_front_config(fleet, front);
        let sharing = &config.sharing;
        let others: Vec<usize> = (0..config.fronts).filter(|i| *i != front).collect();
        let member_config = FleetConfig {
            gossip: GossipConfig {
                fleet: "laboratory".into(),
                name: name(front),
                peers: others.iter().map(|i| name(*i)).collect(),
                interval: sharing.every_ms,
                fan_out: sharing.fan_out,
                bytes_s: sharing.bytes_s,
                doubted_after: sharing.doubted_ms,
                unheard_after: sharing.unheard_ms,
            },
            zone: 0,
            zones: vec![zone.to_string()],
            lease_ms: sharing.lend_ms,
            further_s: sharing.further_s,
            probes_s: sharing.probes_s,
            alarm_delay: sharing.hold_ms,
            stricter: false,
            bucket: sharing.bucket_ms,
            max_set_up: 5_000.0,
        };
        let addresses: BTreeMap<String, SocketAddr> =
            others.iter().map(|i| (name(*i), relays.way(front, *i))).collect();
        let wall_clock_ms = || {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            now.expect("a clock").as_secs_f64() * 1000.0
        };
        let mut member =
            FleetMember::new(member_config, wall_clock_ms(), wall_clock_ms() as u64, front as u64)
                .expect("it fits");
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
