//! Crowds, several fronts at once, fronts that die at the worst moment, passes in wrong hands or out of time, and
//! clocks that disagree, each story on real sockets.

mod house;

use house::{House, base, day, get, set_ups, text};
use pulleystair_admission::homes::home_front;
use pulleystair_dash::address;
use pulleystair_dash::token::EntryToken;
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::fronts::portal_keys;
use pulleystair_rule_checker::Observed;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

const FREE: usize = 0;
const PAID: usize = 1;

fn two_fronts() -> serde_json::Value {
    let mut day = day();
    day["fronts"] = json!(2);
    day["limits"] = json!({ "keys_poll_ms": 20 });
    day
}

/// A session's name whose home is this one of two fronts.
fn at_home(front: usize) -> String {
    (0..)
        .map(|n| format!("s{n}"))
        .find(|name| home_front(name, 2) == front)
        .expect("each front is home to half")
}

async fn homes_known(house: &House) {
    for front in 0..2 {
        house.until_true("the homes are known", || house.log_of(front).contains("homes taken")).await;
    }
}

#[tokio::test]
async fn the_same_session_at_two_fronts_at_once() {
    let house = House::of(two_fronts()).await;
    homes_known(&house).await;
    house.ail(|a| a.slow = 20.0);
    // What may be set up again is a play at each; what may not is taken by its home alone.
    let (one, other) = (house.ask_at(0, "free", FREE).await, house.ask_at(1, "free", FREE).await);
    let (one, other) = tokio::join!(one.answer(), other.answer());
    assert_eq!((one.status, other.status, set_ups(&house.log.observations())), (200, 200, 2));
    let session = at_home(1);
    let (one, other) = (house.ask_at(0, &session, PAID).await, house.ask_at(1, &session, PAID).await);
    let (one, other) = tokio::join!(one.answer(), other.answer());
    assert_eq!((one.status, other.status), (307, 200));
    let there = format!("//{}{}", house.at[1], house.manifest(&session, PAID));
    assert_eq!(one.header("location").map(|at| at.split('?').next()), Some(there.split('?').next()));
    assert_eq!(set_ups(&house.log.observations()), 3, "the paid one once");
    house.kept();
}

/// The viewer of a paid play whose front died in the middle may ask where it will: it is not set up again before
/// its home is back, and there it is a new play, for the home has forgotten that it ever was.
#[tokio::test]
async fn a_front_killed_between_set_up_and_manifest() {
    let house = House::of(two_fronts()).await;
    homes_known(&house).await;
    house.ail(|a| a.silent = true);
    let (free, paid) = ("s", at_home(0));
    let asking = [house.ask_at(0, free, FREE).await, house.ask_at(0, &paid, PAID).await];
    house.until("both are out", |seen| set_ups(seen) == 2).await;
    house.fronts.kill(0).await;
    asking.into_iter().for_each(|one| one.leave());
    house
        .until("servers see the end", |seen| {
            seen.iter().filter(|s| matches!(s.what, Observed::Closed { .. })).count() == 2
        })
        .await;
    house.ail(|a| a.silent = false);
    assert_eq!(house.ask_at(1, free, FREE).await.answer().await.status, 200, "elsewhere at once");
    assert_eq!(house.ask_at(1, &paid, PAID).await.answer().await.status, 307, "not elsewhere");
    assert_eq!(set_ups(&house.log.observations()), 3);
    house.kept();
}

#[tokio::test]
async fn five_thousand_sessions_in_two_seconds_and_a_third_of_them_again_and_again() {
    let mut day = day();
    day["rules"]["allocations"] = json!(1);
    day["fleet"]["cores"] = json!(16);
    day["products"][FREE]["time_limit_ms"] = json!(3000);
    day["limits"] = json!({ "connections": 8000, "deciding": 4000 });
    let house = Arc::new(House::of(day).await);
    let start = Instant::now();
    let mut all = Vec::new();
    for n in 0..5000u64 {
        let (house, due) = (house.clone(), start + Duration::from_micros(400 * n));
        all.push(tokio::spawn(async move {
            sleep_until(due).await;
            let (mut asked, mut last) = (0, 0);
            // Each asks until it is served, three in ten of them in new sessions every 300 ms.
            for come in 0..4 {
                asked += 1;
                last = house.ask(&format!("s{n}-{come}"), FREE).await.status;
                if last == 200 || n % 10 >= 3 {
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
            (asked, last)
        }));
    }
    let (mut asked, mut served, mut told) = (0, 0, 0);
    for one in all {
        let (times, status) = one.await.expect("no viewer dies");
        asked += times;
        served += usize::from(status == 200);
        told += usize::from(status == 503);
        assert!([200, 503, 504].contains(&status), "{status}");
    }
    assert!(asked >= 5000 && served >= 500, "{asked} asked, {served} served, {told} told to stay away");
    house.kept();
}

#[tokio::test]
async fn slow_heads_on_a_tenth_of_the_connections_hold_up_nobody() {
    let mut day = day();
    day["limits"] = json!({ "connections": 200, "header_ms": 600 });
    let house = House::of(day).await;
    let mut slow = Vec::new();
    for _ in 0..20 {
        let at = house.at[0];
        slow.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(at).await.expect("a connection");
            let (mut read, mut write) = stream.split();
            let drip = async {
                for byte in get("/v1/free/free-0/manifest.mpd").bytes().cycle() {
                    if tokio::io::AsyncWriteExt::write_all(&mut write, &[byte]).await.is_err() {
                        break;
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            };
            let mut answer = Vec::new();
            tokio::select! {
                _ = drip => {}
                _ = read.read_to_end(&mut answer) => {}
            }
            String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 408")
        }));
    }
    for n in 0..100 {
        assert_eq!(house.ask(&format!("s{n}"), FREE).await.status, 200);
    }
    for one in slow {
        assert!(one.await.expect("no player dies"), "each is told that its time is up");
    }
    house.kept();
}

fn signed(house: &House, session: &str, exp: u64) -> String {
    let (product, title) = (house.day.products[FREE].name.clone(), house.titles[FREE].name.clone());
    let entry = EntryToken { jti: session.into(), sub: "v".into(), product, title, top: 1, exp };
    address::manifest_path(&entry.product, &entry.title, &portal_keys().sign(&entry))
}

/// To the front, a portal whose clock was stepped and a front's own that was are the same: they disagree.
#[tokio::test]
async fn clocks_that_disagree_by_seconds() {
    let mut day = day();
    day["limits"] = json!({ "skew_ms": 12_000 });
    let house = House::of(day).await;
    let now = (house.log.now() / 1000.0) as u64;
    let running = house.ask("s", FREE).await;
    // A token of a minute by a portal that is 10 s behind has run out 10 s early, and one that is ahead lasts.
    assert_eq!(house.get(&signed(&house, "behind", now - 10)).await.status, 200);
    assert_eq!(house.get(&signed(&house, "ahead", now + 70)).await.status, 200);
    assert_eq!(house.get(&signed(&house, "gone", now - 20)).await.status, 410);
    assert_eq!(house.get(&format!("{}0/1.m4s", base(&running))).await.status, 200, "what plays goes on");
    assert_eq!(set_ups(&house.log.observations()), 3);
    house.kept();
}

#[tokio::test]
async fn a_pass_that_runs_out_before_the_first_segment_and_one_in_the_middle_of_one() {
    let mut day = day();
    day["ladder"] = json!([{ "rate_kb": 400, "earns": 1 }]);
    day["limits"] = json!({ "pass_ms": 1000, "skew_ms": 0, "play_idle_ms": 20_000 });
    let house = House::of(day).await;
    let late = house.ask("late", FREE).await;
    let quick = house.ask("quick", FREE).await;
    // The link is so slow that the segment takes longer than the pass lasts.
    house.ail(|a| a.link = 0.002);
    let asked = Instant::now();
    let segment = house.get(&format!("{}0/1.m4s", base(&quick))).await;
    assert!(asked.elapsed() > Duration::from_millis(1000), "it took longer than the pass lasts");
    assert!(content::parse(&segment.body).is_some_and(|c| c.intact), "what was begun comes whole");
    house.ail(|a| a.link = 1.0);
    let first = house.get(&format!("{}0/1.m4s", base(&late))).await;
    assert_eq!(first.status, 410, "{}", text(&first));
    // The same entry token, still good, gets the same play and a pass anew.
    let again = house.ask("late", FREE).await;
    assert_eq!(house.get(&format!("{}0/1.m4s", base(&again))).await.status, 200);
    assert_eq!(set_ups(&house.log.observations()), 2, "no second allocation was made for it");
    house.kept();
}

/// A request from another of this machine's addresses.
async fn from(address: [u8; 4], house: &House, target: &str) -> u16 {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind((address, 0).into()).expect("all of 127/8 is this machine");
    let mut peer = HttpPeer::new(socket.connect(house.at[0]).await.expect("a connection"));
    peer.write(get(target).as_bytes()).await.expect("the request is taken");
    peer.read_response().await.expect("an answer").expect("an answer").status
}

#[tokio::test]
async fn a_pass_in_another_viewers_hands() {
    let mut day = day();
    day["limits"] = json!({ "same_address": true, "fetches": 2 });
    let house = House::of(day).await;
    let target = format!("{}0/1.m4s", base(&house.ask("s", FREE).await));
    assert_eq!(from([127, 0, 0, 1], &house, &target).await, 200);
    assert_eq!(from([127, 0, 0, 2], &house, &target).await, 403);
    // Where addresses tell nothing, a pass that is handed round is held to what one viewer reads at once.
    house.ail(|a| a.stall = 1.0);
    let both = [house.call(0).await.unwrap(), house.call(0).await.unwrap()];
    for mut peer in both {
        peer.write(get(&target).as_bytes()).await.unwrap();
        assert!(peer.read_more().await.unwrap(), "it has begun");
        std::mem::forget(peer);
    }
    assert_eq!(house.get(&target).await.status, 429);
    assert_eq!(set_ups(&house.log.observations()), 1);
    house.kept();
}

#[tokio::test]
async fn token_keys_replaced_ten_times_under_load() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20, "key_overlap_ms": 5000 });
    let house = Arc::new(House::of(day).await);
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut viewers = Vec::new();
    for viewer in 0..8 {
        let (house, stop) = (house.clone(), stop.clone());
        viewers.push(tokio::spawn(async move {
            let mut plays = 0;
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                let session = format!("v{viewer}-{plays}");
                let manifest = house.ask(&session, FREE).await;
                assert_eq!(manifest.status, 200, "{session}: {}", text(&manifest));
                let segment = house.get(&format!("{}0/1.m4s", base(&manifest))).await;
                assert_eq!(segment.status, 200, "{session}: {}", text(&segment));
                plays += 1;
            }
            plays
        }));
    }
    for n in 1..=10 {
        house.fronts.renew_keys(Duration::from_millis(100)).await.expect("keys are written");
        house.says("keys taken", n).await;
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut plays = 0;
    for viewer in viewers {
        plays += viewer.await.expect("no play was dropped");
    }
    assert!(plays >= 16, "{plays} plays meanwhile");
    house.kept();
}
