//! Load, sessions at several fronts, fronts that are killed, session tokens that are expired or used by others, and
//! clocks that disagree, on real sockets.

mod test_fleet;

use pulleystair_admission::homes::home_front;
use pulleystair_dash::address;
use pulleystair_dash::token::EntryClaims;
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::fronts::portal_keys;
use pulleystair_rule_checker::Observed;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use test_fleet::{TestFleet, base_scenario, body_text, get_request, segment_base_url, set_up_count};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

const FREE: usize = 0;
const PAID: usize = 1;

/// Base scenario with two fronts that poll their keys every 20 ms.
fn two_front_scenario() -> serde_json::Value {
    let mut scenario = base_scenario();
    scenario["fronts"] = json!(2);
    scenario["limits"] = json!({ "keys_poll_ms": 20 });
    scenario
}

/// Id of a session whose home is the given one of two fronts.
fn session_with_home(front: usize) -> String {
    (0..)
        .map(|n| format!("s{n}"))
        .find(|session| home_front(session, 2) == front)
        .expect("each front is the home of half of the sessions")
}

/// Waits until both fronts know the home of every session.
async fn wait_for_homes(fleet: &TestFleet) {
    for front in 0..2 {
        fleet
            .wait_until("the front knows the homes", || fleet.front_log(front).contains("homes taken"))
            .await;
    }
}

#[tokio::test]
async fn session_at_two_fronts_plays_at_both_if_free_and_at_its_home_if_paid() {
    let fleet = TestFleet::start_with(two_front_scenario()).await;
    wait_for_homes(&fleet).await;
    fleet.set_faults(|faults| faults.slow = 20.0);
    // A free session plays at each front; a paid one is redirected to its home.
    let (first, second) = (
        fleet.send_manifest_request(0, "free", FREE).await,
        fleet.send_manifest_request(1, "free", FREE).await,
    );
    let (first, second) = tokio::join!(first.response(), second.response());
    assert_eq!((first.status, second.status, set_up_count(&fleet.recorder.observations())), (200, 200, 2));
    let session = session_with_home(1);
    let (first, second) = (
        fleet.send_manifest_request(0, &session, PAID).await,
        fleet.send_manifest_request(1, &session, PAID).await,
    );
    let (first, second) = tokio::join!(first.response(), second.response());
    assert_eq!((first.status, second.status), (307, 200));
    let home_location = format!("//{}{}", fleet.front_addresses[1], fleet.manifest_target(&session, PAID));
    assert_eq!(
        first.header("location").map(|at| at.split('?').next()),
        Some(home_location.split('?').next())
    );
    assert_eq!(set_up_count(&fleet.recorder.observations()), 3, "the paid session is set up once");
    fleet.assert_rules_kept();
}

/// A paid play whose front was killed during its set-up is not set up at another front: only its home may, once it is
/// back. There the play is a new one, because the home keeps nothing of the old one.
#[tokio::test]
async fn paid_play_of_a_killed_front_is_not_set_up_at_another_front() {
    let fleet = TestFleet::start_with(two_front_scenario()).await;
    wait_for_homes(&fleet).await;
    fleet.set_faults(|faults| faults.silent = true);
    let (free, paid) = ("s", session_with_home(0));
    let pending =
        [fleet.send_manifest_request(0, free, FREE).await, fleet.send_manifest_request(0, &paid, PAID).await];
    fleet.wait_for_observations("both set-ups are pending", |seen| set_up_count(seen) == 2).await;
    fleet.fronts.kill(0).await;
    pending.into_iter().for_each(|request| request.leave());
    fleet
        .wait_for_observations("servers observe the end of both", |seen| {
            seen.iter().filter(|s| matches!(s.what, Observed::Closed { .. })).count() == 2
        })
        .await;
    fleet.set_faults(|faults| faults.silent = false);
    assert_eq!(
        fleet.send_manifest_request(1, free, FREE).await.response().await.status,
        200,
        "a free play is served by the other front at once"
    );
    assert_eq!(
        fleet.send_manifest_request(1, &paid, PAID).await.response().await.status,
        307,
        "a paid play is redirected to its home"
    );
    assert_eq!(set_up_count(&fleet.recorder.observations()), 3);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn rules_hold_for_five_thousand_sessions_in_two_seconds_with_retries() {
    let mut scenario = base_scenario();
    scenario["rules"]["allocations"] = json!(1);
    scenario["fleet"]["cores"] = json!(16);
    scenario["products"][FREE]["time_limit_ms"] = json!(3000);
    scenario["limits"] = json!({ "connections": 8000, "deciding": 4000 });
    let fleet = Arc::new(TestFleet::start_with(scenario).await);
    let start = Instant::now();
    let mut viewers = Vec::new();
    for n in 0..5000u64 {
        let (fleet, arrives_at) = (fleet.clone(), start + Duration::from_micros(400 * n));
        viewers.push(tokio::spawn(async move {
            sleep_until(arrives_at).await;
            let (mut requested, mut last) = (0, 0);
            // Three in ten viewers retry every 300 ms in a new session, up to four times, until they are served.
            for try_number in 0..4 {
                requested += 1;
                last = fleet.fetch_manifest(&format!("s{n}-{try_number}"), FREE).await.status;
                if last == 200 || n % 10 >= 3 {
                    break;
                }
                sleep(Duration::from_millis(300)).await;
            }
            (requested, last)
        }));
    }
    let (mut requested, mut served, mut declined) = (0, 0, 0);
    for viewer in viewers {
        let (times, status) = viewer.await.expect("the viewer task succeeds");
        requested += times;
        served += usize::from(status == 200);
        declined += usize::from(status == 503);
        assert!([200, 503, 504].contains(&status), "{status}");
    }
    assert!(requested >= 5000 && served >= 500, "{requested} requests, {served} served, {declined} declined");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn slow_request_heads_time_out_without_delaying_others() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "connections": 200, "header_ms": 600 });
    let fleet = TestFleet::start_with(scenario).await;
    let mut slow_connections = Vec::new();
    for _ in 0..20 {
        let front_address = fleet.front_addresses[0];
        slow_connections.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(front_address).await.expect("a connection");
            let (mut read, mut write) = stream.split();
            let write_slowly = async {
                for byte in get_request("/v1/free/free-0/manifest.mpd").bytes().cycle() {
                    if tokio::io::AsyncWriteExt::write_all(&mut write, &[byte]).await.is_err() {
                        break;
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            };
            let mut answer = Vec::new();
            tokio::select! {
                _ = write_slowly => {}
                _ = read.read_to_end(&mut answer) => {}
            }
            String::from_utf8_lossy(&answer).starts_with("HTTP/1.1 408")
        }));
    }
    for n in 0..100 {
        assert_eq!(fleet.fetch_manifest(&format!("s{n}"), FREE).await.status, 200);
    }
    for connection in slow_connections {
        assert!(connection.await.expect("the player task succeeds"), "each slow head gets status 408");
    }
    fleet.assert_rules_kept();
}

/// Manifest target of a session whose entry token expires at `exp`, in seconds since the epoch.
fn manifest_target_expiring(fleet: &TestFleet, session: &str, exp: u64) -> String {
    let (product, title) = (fleet.scenario.products[FREE].name.clone(), fleet.titles[FREE].name.clone());
    let claims = EntryClaims { jti: session.into(), sub: "v".into(), product, title, top: 1, exp };
    address::play_request_target(&claims.product, &claims.title, &portal_keys().sign(&claims))
}

/// The front cannot tell whether its own clock or that of the portal is off; it only sees that they disagree.
#[tokio::test]
async fn token_expiry_tolerates_the_configured_clock_skew() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "skew_ms": 12_000 });
    let fleet = TestFleet::start_with(scenario).await;
    let now = (fleet.recorder.now() / 1000.0) as u64;
    let running = fleet.fetch_manifest("s", FREE).await;
    // A token from a portal whose clock is 10 s behind expires 10 s early; one from a clock that is ahead expires late.
    assert_eq!(fleet.get(&manifest_target_expiring(&fleet, "behind", now - 10)).await.status, 200);
    assert_eq!(fleet.get(&manifest_target_expiring(&fleet, "ahead", now + 70)).await.status, 200);
    assert_eq!(fleet.get(&manifest_target_expiring(&fleet, "gone", now - 20)).await.status, 410);
    assert_eq!(
        fleet.get(&format!("{}0/1.m4s", segment_base_url(&running))).await.status,
        200,
        "a running play continues"
    );
    assert_eq!(set_up_count(&fleet.recorder.observations()), 3);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn expired_session_token_is_refused_but_a_begun_segment_completes() {
    let mut scenario = base_scenario();
    scenario["ladder"] = json!([{ "rate_kb": 400, "earns": 1 }]);
    scenario["limits"] = json!({ "pass_ms": 1000, "skew_ms": 0, "play_idle_ms": 20_000 });
    let fleet = TestFleet::start_with(scenario).await;
    let late_manifest = fleet.fetch_manifest("late", FREE).await;
    let quick_manifest = fleet.fetch_manifest("quick", FREE).await;
    // The link is so slow that the segment takes longer than the session token is valid.
    fleet.set_faults(|faults| faults.link = 0.002);
    let requested_at = Instant::now();
    let segment = fleet.get(&format!("{}0/1.m4s", segment_base_url(&quick_manifest))).await;
    assert!(
        requested_at.elapsed() > Duration::from_millis(1000),
        "the segment took longer than the session token is valid"
    );
    assert!(content::parse(&segment.body).is_some_and(|c| c.intact), "a segment that was begun is completed");
    fleet.set_faults(|faults| faults.link = 1.0);
    let first = fleet.get(&format!("{}0/1.m4s", segment_base_url(&late_manifest))).await;
    assert_eq!(first.status, 410, "{}", body_text(&first));
    // The entry token is still valid: it gets the same play with a new session token.
    let again = fleet.fetch_manifest("late", FREE).await;
    assert_eq!(fleet.get(&format!("{}0/1.m4s", segment_base_url(&again))).await.status, 200);
    assert_eq!(
        set_up_count(&fleet.recorder.observations()),
        2,
        "the repeated request made no second allocation"
    );
    fleet.assert_rules_kept();
}

/// Status of a request that is sent from the given loopback address.
async fn fetch_status_from(address: [u8; 4], fleet: &TestFleet, target: &str) -> u16 {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind((address, 0).into()).expect("every address in 127/8 is local");
    let mut peer = HttpPeer::new(socket.connect(fleet.front_addresses[0]).await.expect("a connection"));
    peer.write(get_request(target).as_bytes()).await.expect("the request is written");
    peer.read_response().await.expect("an answer").expect("an answer").status
}

#[tokio::test]
async fn session_token_is_bound_to_its_address_and_to_parallel_fetches() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "same_address": true, "fetches": 2 });
    let fleet = TestFleet::start_with(scenario).await;
    let target = format!("{}0/1.m4s", segment_base_url(&fleet.fetch_manifest("s", FREE).await));
    assert_eq!(fetch_status_from([127, 0, 0, 1], &fleet, &target).await, 200);
    assert_eq!(fetch_status_from([127, 0, 0, 2], &fleet, &target).await, 403);
    // At the same address, a shared session token is limited to the parallel fetches of one viewer.
    fleet.set_faults(|faults| faults.stall = 1.0);
    let peers = [fleet.connect(0).await.unwrap(), fleet.connect(0).await.unwrap()];
    for mut peer in peers {
        peer.write(get_request(&target).as_bytes()).await.unwrap();
        assert!(peer.read_more().await.unwrap(), "the segment has begun");
        std::mem::forget(peer);
    }
    assert_eq!(fleet.get(&target).await.status, 429);
    assert_eq!(set_up_count(&fleet.recorder.observations()), 1);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn token_keys_replaced_under_load_drop_no_play() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "keys_poll_ms": 20, "key_overlap_ms": 5000 });
    let fleet = Arc::new(TestFleet::start_with(scenario).await);
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut viewers = Vec::new();
    for viewer in 0..8 {
        let (fleet, stop) = (fleet.clone(), stop.clone());
        viewers.push(tokio::spawn(async move {
            let mut plays = 0;
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                let session = format!("v{viewer}-{plays}");
                let manifest = fleet.fetch_manifest(&session, FREE).await;
                assert_eq!(manifest.status, 200, "{session}: {}", body_text(&manifest));
                let segment = fleet.get(&format!("{}0/1.m4s", segment_base_url(&manifest))).await;
                assert_eq!(segment.status, 200, "{session}: {}", body_text(&segment));
                plays += 1;
            }
            plays
        }));
    }
    for n in 1..=10 {
        fleet.fronts.renew_keys(Duration::from_millis(100)).await.expect("keys are written");
        fleet.wait_for_log("keys taken", n).await;
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut plays = 0;
    for viewer in viewers {
        plays += viewer.await.expect("the viewer's plays succeed");
    }
    assert!(plays >= 16, "only {plays} plays during the replacements");
    fleet.assert_rules_kept();
}
