//! Limits of a front on pending plays, connections and request heads, and its answers to unsupported requests, on real
//! sockets.

mod test_fleet;

use pulleystair_fake_servers::http::Message;
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::Observed;
use serde_json::json;
use std::time::Duration;
use test_case::test_case;
use test_fleet::{TestFleet, base_scenario, body_text, get_request, long_time_limit_scenario};
use tokio::net::TcpStream;

const FREE: usize = 0;

/// The highest number of set-ups that were pending at once, each until its server completed it or observed the end of its
/// connection. A server may observe that end up to 25 ms after the next set-up.
fn max_pending_set_ups(fleet: &TestFleet) -> usize {
    const MAX_CLOSE_DELAY_MS: f64 = 25.0;
    let seen = fleet.recorder.observations();
    let mut spans: std::collections::BTreeMap<&str, (f64, f64)> = Default::default();
    for s in &seen {
        match &s.what {
            Observed::SetUp { allocation, .. } => {
                spans.insert(allocation, (s.at, f64::INFINITY));
            }
            Observed::Done { allocation, .. } | Observed::Closed { allocation } => {
                spans.entry(allocation).and_modify(|span| span.1 = span.1.min(s.at));
            }
            _ => {}
        }
    }
    let pending_at =
        |at: f64| spans.values().filter(|(from, to)| *from <= at && at < *to - MAX_CLOSE_DELAY_MS).count();
    spans.values().map(|(from, _)| pending_at(*from)).max().unwrap_or(0)
}

#[tokio::test]
async fn pending_set_ups_stay_within_the_limit_of_deciding() {
    let mut scenario = long_time_limit_scenario();
    scenario["limits"] = json!({ "deciding": 200 });
    scenario["admission"] = json!({ "least": 200, "most": 200, "work_ms": 1e9, "behind_ms": 1e9 });
    let fleet = TestFleet::start_with(scenario).await;
    // Each set-up takes two seconds. In that time far more than 200 requests arrive, on any machine.
    fleet.set_faults(|faults| faults.slow = 400.0);
    let mut pending = Vec::new();
    for i in 0..1000 {
        pending.push(fleet.send_manifest_request(0, &format!("s{i}"), FREE).await.read_in_background());
    }
    let (mut played, mut limited) = (0, 0);
    for request in pending {
        let answer = request.await.expect("the player task succeeds");
        played += usize::from(answer.status == 200);
        let at_limit = body_text(&answer).contains("limit of deciding");
        assert!(!at_limit || answer.status == 503 && answer.header("retry-after").is_some());
        limited += usize::from(at_limit);
    }
    assert!(played >= 100 && limited >= 100, "{played} played, {limited} were declined at the limit");
    let max_pending = max_pending_set_ups(&fleet);
    assert!(max_pending <= 200, "{max_pending} set-ups pending at once");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn queued_plays_that_cannot_be_served_in_time_are_declined() {
    let mut scenario = base_scenario();
    scenario["rules"]["allocations"] = json!(1);
    scenario["admission"] = json!({
        "least": 8, "most": 8, "queue": 100, "reserve_ms": 400, "work_ms": 1e9, "behind_ms": 1e9,
    });
    let fleet = TestFleet::start_with(scenario).await;
    // A front treats its first list as possibly out of date and all servers in it as cold, until it has loaded a second
    // list. Cold servers would be limited in rate.
    fleet.environment.set_listed_state(0, ListedState::Ready { started: 0.0 });
    fleet.wait_for_log("list taken", 2).await;
    // Eight concurrent set-ups of 100 ms each, for little more than a second: fewer than 100 of the 300 requests are served.
    fleet.set_faults(|faults| faults.slow = 20.0);
    // Each response is read while the later requests are sent, so that it is recorded when it arrives.
    let (mut pending, mut leaving) = (Vec::new(), Vec::new());
    for i in 0..300 {
        let request = fleet.send_manifest_request(0, &format!("s{i}"), FREE).await;
        if (250..260).contains(&i) {
            leaving.push(request);
        } else {
            pending.push(request.read_in_background());
        }
    }
    // Ten of the waiting viewers leave.
    leaving.into_iter().for_each(test_fleet::PendingRequest::leave);
    let (mut played, mut overloaded) = (0, 0);
    for request in pending {
        let answer = request.await.expect("the player task succeeds");
        played += usize::from(answer.status == 200);
        overloaded += usize::from(answer.status == 503 && body_text(&answer).contains("too many plays"));
    }
    assert!(played >= 8 && overloaded >= 100, "{played} played, {overloaded} were declined");
    let max_pending = max_pending_set_ups(&fleet);
    assert!(max_pending <= 8, "{max_pending} set-ups pending at once");
    fleet.assert_rules_kept();
}

/// Starts a front that takes new plays while its event loop is late by less than `behind_ms`.
async fn start_with_max_lag(behind_ms: f64) -> TestFleet {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "keys_poll_ms": 20 });
    scenario["admission"] = json!({ "behind_ms": behind_ms });
    TestFleet::start_with(scenario).await
}

/// Stops the process of the front until its timers are late by a second, and asks it for a play once they have fired.
async fn fetch_manifest_after_pause(fleet: &TestFleet, session: &str) -> Message {
    fleet.signal(0, "-STOP").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.signal(0, "-CONT").await;
    // The response means that a turn has ended since, in which the late timers have fired.
    assert_eq!(fleet.get("/").await.status, 404);
    fleet.fetch_manifest(session, FREE).await
}

/// The measured lag falls below the limit 0.6 s after the pause: on a busy machine the request may come later than that.
#[tokio::test]
async fn front_whose_event_loop_is_late_declines_new_plays() {
    let fleet = start_with_max_lag(50.0).await;
    for round in 0..10 {
        let answer = fetch_manifest_after_pause(&fleet, &format!("s{round}")).await;
        if answer.status == 503 {
            assert!(body_text(&answer).contains("behind with its work"), "{}", body_text(&answer));
            assert!(answer.header("retry-after").is_some());
            return fleet.assert_rules_kept();
        }
    }
    panic!("the front declined no play");
}

#[tokio::test]
async fn front_whose_event_loop_is_late_by_less_than_the_limit_takes_new_plays() {
    let fleet = start_with_max_lag(1e9).await;
    assert_eq!(fetch_manifest_after_pause(&fleet, "s").await.status, 200);
    fleet.assert_rules_kept();
}

#[test_case("GET / HTTP/1.1\r\nHost: f\r\n\r\n", 404; "unknown path")]
#[test_case("POST /v1/free/x/manifest.mpd HTTP/1.1\r\nHost: f\r\n\r\n", 405; "unsupported method")]
#[test_case("POST / HTTP/1.1\r\nHost: f\r\nContent-Length: 3\r\n\r\nabc", 413; "request with a body")]
#[test_case("nonsense\r\n\r\n", 400; "malformed request")]
#[tokio::test]
async fn unsupported_request_gets_its_error_status(request: &str, status: u16) {
    let fleet = TestFleet::start().await;
    assert_eq!(fleet.send_raw(request).await.unwrap().status, status);
}

#[tokio::test]
async fn connections_and_request_heads_are_limited() {
    let mut scenario = base_scenario();
    scenario["limits"] =
        json!({ "connections": 3, "header_bytes": 2048, "header_ms": 200, "idle_ms": 60000 });
    let fleet = TestFleet::start_with(scenario).await;
    let long_head = format!("GET /{} HTTP/1.1\r\nHost: f\r\n\r\n", "x".repeat(4000));
    assert_eq!(fleet.send_raw(&long_head).await.unwrap().status, 431);
    // A request head that is never completed.
    assert_eq!(fleet.send_raw("GET / HTTP/1.1\r\nHo").await.unwrap().status, 408);
    let mut connections = Vec::new();
    for _ in 0..3 {
        connections.push(TcpStream::connect(fleet.front_addresses[0]).await.expect("a connection"));
    }
    fleet.wait_until("all three connections are accepted", || true).await;
    let refusal = fleet.send_raw(&get_request("/")).await.expect("a response before the front closes");
    assert_eq!((refusal.status, refusal.header("retry-after")), (503, Some("1")));
    drop(connections);
}
