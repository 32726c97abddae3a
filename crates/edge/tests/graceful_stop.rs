//! Graceful stop of a front: pending and running plays are finished, within a time limit.

mod test_fleet;

use serde_json::json;
use std::time::Duration;
use test_fleet::{TestFleet, base_scenario, segment_base_url, set_up_count};

const FREE: usize = 0;
const PAID: usize = 1;

/// Waits until the front logs that it is stopping.
async fn wait_for_stopping(fleet: &TestFleet) {
    fleet
        .wait_until("the front logs that it is stopping", || {
            fleet.front_log(0).contains("stopping: no new plays")
        })
        .await;
}

/// Sends SIGTERM to front 0.
async fn send_term_signal(fleet: &TestFleet) {
    fleet.signal(0, "-TERM").await;
}

#[tokio::test]
async fn stopping_front_finishes_pending_and_running_plays() {
    let fleet = TestFleet::start().await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    fleet.set_faults(|faults| faults.slow = 60.0);
    let pending_free = fleet.send_manifest_request(0, "waits", FREE).await;
    fleet.wait_for_observations("the set-up of the pending play", |seen| set_up_count(seen) == 2).await;
    send_term_signal(&fleet).await;
    wait_for_stopping(&fleet).await;
    assert_eq!(fleet.get(&fleet.manifest_target("new", FREE)).await.status, 503);
    let pending_manifest = pending_free.response().await;
    assert_eq!(pending_manifest.status, 200, "the pending play gets its manifest");
    for play in [&manifest, &pending_manifest] {
        let base_url = segment_base_url(play);
        assert_eq!(fleet.get(&format!("{base_url}0/1.m4s")).await.status, 200, "running plays get segments");
        let delete_request = format!("DELETE {base_url} HTTP/1.1\r\nHost: f\r\n\r\n");
        assert_eq!(fleet.send_raw(&delete_request).await.unwrap().status, 200);
    }
    assert!(fleet.fronts.wait_exited(0).await, "the front exits with success");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn stop_deadline_answers_pending_plays_and_a_second_signal_exits_at_once() {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "stop_ms": 100 });
    let fleet = TestFleet::start_with(scenario.clone()).await;
    fleet.set_faults(|faults| faults.silent = true);
    let pending_free = fleet.send_manifest_request(0, "waits", FREE).await;
    let pending_paid = fleet.send_manifest_request(0, "paid", PAID).await;
    fleet.wait_for_observations("both set-ups", |seen| set_up_count(seen) == 2).await;
    send_term_signal(&fleet).await;
    let answer = pending_free.response().await;
    assert_eq!(
        (answer.status, answer.header("retry-after")),
        (503, Some("1")),
        "the free play may be requested again"
    );
    assert!([502, 504].contains(&pending_paid.response().await.status), "the paid set-up may have run");
    assert!(fleet.fronts.wait_exited(0).await);
    fleet.assert_rules_kept();

    scenario["limits"] = json!({ "stop_ms": 600_000 });
    let fleet = TestFleet::start_with(scenario).await;
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    send_term_signal(&fleet).await;
    wait_for_stopping(&fleet).await;
    send_term_signal(&fleet).await;
    let ended = tokio::time::timeout(Duration::from_secs(30), fleet.fronts.wait_exited(0)).await;
    assert_eq!(ended, Ok(true), "the second signal ends the stop period of ten minutes");
}
