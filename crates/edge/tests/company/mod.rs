//! What stories of many fronts have in common: their day, crowds, a front that is played by the test, and what fronts say.
#![allow(dead_code)] // Each file of stories uses a part of it.

use crate::house::{self, House};
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
const PATIENCE: Duration = Duration::from_secs(60);

/// Fleets of processes run one after the other, so that none is slow for want of a core.
pub async fn alone() -> tokio::sync::MutexGuard<'static, ()> {
    static FLEET: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
    FLEET.lock().await
}

/// A day of so many fronts that share and so many servers, all of one zone, with titles of four holders.
pub fn sharing(fronts: usize, servers: usize) -> Value {
    let mut day = house::day();
    day["fronts"] = json!(fronts);
    day["zones"] = json!(["here"]);
    day["fleet"]["servers"] = json!(servers);
    day["fleet"]["racks"] = json!(1);
    day["rules"]["cold_ms"] = json!(200);
    for product in day["products"].as_array_mut().expect("there are products") {
        product["holders"] = json!(servers.min(4));
        product["titles"] = json!(8);
        product["time_limit_ms"] = json!(3_000);
    }
    day["sharing"] = json!({
        "every_ms": 60, "doubted_ms": 500, "unheard_ms": 1_200, "lend_ms": 1_000, "hold_ms": 0, "bytes_s": 400_000,
    });
    day
}

fn rundown(house: &House, front: usize) -> Config {
    Config::read(&house.folder().join(format!("front-{front}.json"))).expect("its rundown reads")
}

/// What a front says when it is asked.
pub fn told(house: &House, front: usize) -> Value {
    let rundown = rundown(house, front);
    tokio::task::block_in_place(|| query(&rundown)).expect("a front that runs answers")
}

/// Waits until something is so.
pub async fn until(what: &str, so: impl Fn() -> bool) {
    let start = Instant::now();
    while !so() {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        sleep(Duration::from_millis(30)).await;
    }
}

/// So many plays at each of these fronts at once, for all titles in turn; none has been answered yet.
pub async fn at_fronts(house: &House, of: &str, fronts: &[usize], count: usize) -> Vec<house::Asking> {
    asking_from(house, of, 0, fronts, count).await
}

async fn asking_from(
    house: &House,
    of: &str,
    title: usize,
    fronts: &[usize],
    count: usize,
) -> Vec<house::Asking> {
    let mut out = Vec::new();
    for n in 0..count {
        for front in fronts {
            out.push(house.ask_title(*front, &format!("{of}-{front}-{n}"), (title + n) % 8).await);
        }
    }
    out
}

/// The same, with all answers waited for.
pub async fn plays(house: &House, of: &str, fronts: &[usize], count: usize) {
    for asking in at_fronts(house, of, fronts, count).await {
        asking.answer().await;
    }
}

/// The same, from another title on.
pub async fn from_title(house: &House, of: &str, title: usize, fronts: &[usize], count: usize) {
    for asking in asking_from(house, of, title, fronts, count).await {
        asking.answer().await;
    }
}

/// A server that takes connections and never says a word.
pub struct Stalled {
    pub at: SocketAddr,
    _listener: TcpListener,
}

pub fn stalls() -> Stalled {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    Stalled { at: listener.local_addr().expect("its address"), _listener: listener }
}

fn change_json(file: &Path, change: impl FnOnce(&mut Value)) {
    let mut it: Value =
        serde_json::from_slice(&std::fs::read(file).expect("it is there")).expect("it is JSON");
    change(&mut it);
    pulleystair_fake_servers::files::replace(file, it.to_string()).expect("it is written");
}

pub fn change_rundown(folder: &Path, front: usize, change: impl FnOnce(&mut Value)) {
    change_json(&folder.join(format!("front-{front}.json")), change);
}

/// A front's own list, in which some servers are to be had elsewhere.
pub fn cut(_set: &Testbed, folder: &Path, front: usize, servers: &[(usize, SocketAddr)]) {
    let own = format!("list-{front}.json");
    std::fs::copy(folder.join("list.json"), folder.join(&own)).expect("it is copied");
    change_json(&folder.join(&own), |list| {
        for it in list["servers"].as_array_mut().expect("there are servers") {
            let here = servers.iter().find(|s| it["name"] == format!("m{}", s.0));
            here.into_iter().for_each(|s| it["address"] = json!(s.1));
        }
    });
    change_rundown(folder, front, |it| it["list"] = json!(own));
}

/// That list is as all others again.
pub fn mend(house: &House, front: usize) {
    let text = std::fs::read(house.folder().join("list.json")).expect("it is there");
    pulleystair_fake_servers::files::replace(&house.folder().join(format!("list-{front}.json")), text)
        .expect("written");
}

/// A front that the test plays: a real fellow behind a socket of its own, without plays.
pub struct Fake {
    stop: Arc<AtomicBool>,
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl Fake {
    /// Says that all servers fail.
    pub fn fails_all(fellow: &mut FleetMember, now: f64) {
        (0..8).for_each(|server| {
            fellow.on_result(now, stable_id(&format!("m{server}")), AllocationResult::TimedOut)
        });
    }

    pub fn start(house: &House, front: usize, zone: &str, act: fn(&mut FleetMember, f64)) -> Fake {
        Fake::of(house, front, zone, act)
    }

    pub fn of(
        house: &House,
        front: usize,
        zone: &str,
        mut act: impl FnMut(&mut FleetMember, f64) + Send + 'static,
    ) -> Fake {
        let between = house.fronts.between.clone().expect("they share");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_millis(10))).expect("a time-out");
        between.listens(front, socket.local_addr().expect("its address"));
        let rundown = rundown(house, front);
        let it = &rundown.sharing;
        let others: Vec<usize> = (0..rundown.fronts).filter(|i| *i != front).collect();
        let terms = FleetConfig {
            gossip: GossipConfig {
                fleet: "laboratory".into(),
                name: name(front),
                peers: others.iter().map(|i| name(*i)).collect(),
                interval: it.every_ms,
                fan_out: it.fan_out,
                bytes_s: it.bytes_s,
                doubted_after: it.doubted_ms,
                unheard_after: it.unheard_ms,
            },
            zone: 0,
            zones: vec![zone.to_string()],
            lease_ms: it.lend_ms,
            further_s: it.further_s,
            probes_s: it.probes_s,
            alarm_delay: it.hold_ms,
            stricter: false,
            bucket: it.bucket_ms,
            max_set_up: 5_000.0,
        };
        let at: BTreeMap<String, SocketAddr> =
            others.iter().map(|i| (name(*i), between.way(front, *i))).collect();
        let wall = || {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            now.expect("a clock").as_secs_f64() * 1000.0
        };
        let mut fellow = FleetMember::new(terms, wall(), wall() as u64, front as u64).expect("it fits");
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let mut room = [0; 2048];
            while !stopped.load(Ordering::Relaxed) {
                let came = socket.recv_from(&mut room).map(|(n, _)| n);
                let now = wall();
                let mut out = came.map_or(Vec::new(), |n| fellow.receive(now, &room[..n]));
                if now >= fellow.next_deadline() {
                    act(&mut fellow, now);
                    out.extend(fellow.tick(now, now).1);
                }
                for it in out {
                    let _ = socket.send_to(&it.bytes, at[fellow.name(it.to)]);
                }
            }
        });
        Fake { stop }
    }
}
