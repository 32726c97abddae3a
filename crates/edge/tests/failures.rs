//! Failures between players, a front and its servers, on real sockets: the front is the program itself, the servers are
//! fakes, and the rules are checked on what both sides observed.

mod test_fleet;

use pulleystair_fake_servers::content;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use serde_json::json;
use test_case::test_case;
use test_fleet::{
    TestFleet, base_scenario, body_text, closed_count, get_request, long_time_limit_scenario,
    segment_base_url, set_up_count,
};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

const FREE: usize = 0;
const PAID: usize = 1;

#[tokio::test]
async fn play_runs_from_manifest_to_last_segment_and_is_freed() {
    let fleet = TestFleet::start().await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", body_text(&manifest));
    let base_url = segment_base_url(&manifest);
    for number in 0..=4u64 {
        let file = if number == 0 { "init.mp4".to_string() } else { format!("{number}.m4s") };
        let segment = fleet.get(&format!("{base_url}1/{file}")).await;
        assert_eq!(segment.status, 200);
        let content = content::parse(&segment.body).expect("the segment describes its content");
        assert!(
            content.intact && content.number == number && content.title == fleet.titles[FREE].name,
            "{content:?}"
        );
        assert!(segment.header("cmsd-dynamic").is_some_and(|h| h.contains("mb=")));
    }
    assert_eq!(fleet.get(&format!("{base_url}1/5.m4s")).await.status, 404, "the title has four segments");
    // After the last segment the play ends by itself, and its server is notified.
    fleet
        .wait_for_observations("the server observes the end of the play", |seen| closed_count(seen) == 1)
        .await;
    fleet
        .wait_until("the play is freed", || fleet.servers.model().servers.iter().all(|s| s.plays.is_empty()))
        .await;
    assert_eq!(fleet.get(&format!("{base_url}1/4.m4s")).await.status, 410);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn unanswered_set_ups_decline_free_plays_and_fail_paid_plays() {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.silent = true);
    let answer = fleet.fetch_manifest("s", FREE).await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("1")));
    let paid = fleet.fetch_manifest("p", PAID).await;
    assert!([502, 504].contains(&paid.status), "the set-up may have run: {}", paid.status);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn truncated_response_head_is_retried_for_a_free_play() {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.half_heads = 1.0);
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 503);
    assert!(fleet.set_up_servers().len() > 1, "a free play is set up again");
    fleet.assert_rules_kept();
}

#[test_case(FREE, 200, 2; "free: set up again")]
#[test_case(PAID, 502, 1; "paid: fails with 502, not set up again")]
#[tokio::test]
async fn reset_after_the_set_up_ran_is_retried_only_for_free_plays(
    product: usize,
    status: u16,
    min_set_ups: usize,
) {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.reset = 1.0);
    let pending = fleet.send_manifest_request(0, "s", product).await;
    fleet.wait_for_observations("a set-up", |seen| set_up_count(seen) == 1).await;
    // Only the first server keeps the fault.
    let first = fleet.set_up_servers()[0];
    fleet.set_faults_except(first, |faults| faults.reset = 0.0);
    assert_eq!(pending.response().await.status, status);
    // `min_set_ups` is a minimum for the free play and exact for the paid one.
    assert!(fleet.set_up_servers().len() >= min_set_ups, "{:?}", fleet.set_up_servers());
    assert!(product == FREE || fleet.set_up_servers().len() == 1);
    fleet.assert_rules_kept();
}

/// The front is busy, so that resets arrive before it has polled the connections that it wrote to. The time limit is long,
/// because this test does not check how long that takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn concurrent_paid_set_ups_are_not_sent_again_after_a_reset() {
    let mut scenario = base_scenario();
    scenario["products"][PAID]["time_limit_ms"] = json!(20_000);
    scenario["fleet"]["work_ms"] = json!(0);
    scenario["admission"] = json!({ "least": 1000, "most": 1000, "work_ms": 1e9, "behind_ms": 1e9 });
    let fleet = TestFleet::start_with(scenario).await;
    // A front treats its first list as possibly out of date and all servers in it as cold, until it has loaded a second
    // list. Cold servers would be limited in rate.
    fleet.environment.set_listed_state(0, ListedState::Ready { started: 0.0 });
    fleet.wait_for_log("list taken", 2).await;
    fleet.set_faults(|faults| faults.reset = 1.0);
    assert_eq!(fleet.count_concurrent_plays(400, PAID).await, 0);
    assert_eq!(fleet.set_up_servers().len(), 400, "one set-up for each play");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn late_response_after_the_time_out_is_ignored() {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.slow = 120.0);
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    fleet.wait_for_observations("a set-up", |seen| set_up_count(seen) == 1).await;
    let first = fleet.set_up_servers()[0];
    fleet.set_faults_except(first, |faults| faults.slow = 1.0);
    assert_eq!(pending.response().await.status, 200);
    assert_eq!(fleet.set_up_servers().len(), 2);
    // The first connection was closed before the second set-up was sent, so a late response cannot arrive.
    fleet.wait_for_observations("the end of the first set-up", |seen| closed_count(seen) == 1).await;
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn concurrent_requests_of_one_session_share_one_play() {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.slow = 20.0);
    let (first, second) =
        (fleet.send_manifest_request(0, "s", FREE).await, fleet.send_manifest_request(0, "s", FREE).await);
    let (first, second) = tokio::join!(first.response(), second.response());
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    let again = fleet.fetch_manifest("s", FREE).await;
    assert_eq!(again.status, 200, "a later request gets the same play");
    assert_eq!(fleet.get(&format!("{}0/1.m4s", segment_base_url(&again))).await.status, 200);
    assert_eq!(fleet.set_up_servers().len(), 1);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn viewer_disconnect_withdraws_the_pending_set_up() {
    let fleet = TestFleet::start_with(long_time_limit_scenario()).await;
    fleet.set_faults(|faults| faults.silent = true);
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    fleet.wait_for_observations("a set-up", |seen| set_up_count(seen) == 1).await;
    pending.leave();
    fleet.wait_for_observations("the set-up is withdrawn", |seen| closed_count(seen) == 1).await;
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 410, "the viewer has left");
    assert_eq!(fleet.set_up_servers().len(), 1);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn returning_viewer_gets_the_result_of_the_pending_set_up() {
    let fleet = TestFleet::start_with(long_time_limit_scenario()).await;
    fleet.set_faults(|faults| faults.slow = 40.0);
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    fleet.wait_for_observations("a set-up", |seen| set_up_count(seen) == 1).await;
    pending.leave();
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    assert_eq!(fleet.set_up_servers().len(), 1);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn slow_reader_is_disconnected_while_others_are_served() {
    let mut scenario = base_scenario();
    scenario["ladder"] = json!([{ "rate_kb": 4000, "earns": 0.4 }, { "rate_kb": 8000, "earns": 1 }]);
    // The front closes a connection whose player has not read a response within `slow_reader_ms` plus the response's size
    // over `slow_reader_kb`. The small buffers keep the 4 MB of the segment from being buffered.
    scenario["limits"] = json!({
        "send_buffer_bytes": 8192, "relay_bytes": 65536, "slow_reader_ms": 300, "slow_reader_kb": 20000,
    });
    let fleet = TestFleet::start_with(scenario).await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let target = format!("{}0/1.m4s", segment_base_url(&manifest));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut slow_reader =
        HttpPeer::new(socket.connect(fleet.front_addresses[0]).await.expect("a connection"));
    slow_reader.write(get_request(&target).as_bytes()).await.expect("the request is written");
    let mut bytes_read = 0;
    let mut byte = [0];
    let ended = loop {
        let other_segment = fleet.get(&format!("{}0/init.mp4", segment_base_url(&manifest))).await;
        assert!(
            content::parse(&other_segment.body).is_some_and(|c| c.intact),
            "another connection is served meanwhile"
        );
        match slow_reader.stream.read(&mut byte).await {
            Ok(0) | Err(_) => break true,
            Ok(n) => bytes_read += n,
        }
        // Buffered bytes can still be read after the front has closed; its log shows the close at once.
        let log = fleet.front_log(0);
        if log.contains("too slow") {
            let mut rest = Vec::new();
            let _ = slow_reader.stream.read_to_end(&mut rest).await;
            bytes_read += rest.len();
            break true;
        }
    };
    assert!(ended && bytes_read < 4_000_000, "{bytes_read} bytes");
    fleet.assert_rules_kept();
}

/// Starts a fleet with one play; returns it with the target of a segment of 200 kB.
async fn start_with_segment(reads: serde_json::Value) -> (TestFleet, String) {
    let mut scenario = base_scenario();
    scenario["ladder"] = json!([{ "rate_kb": 200, "earns": 1 }]);
    scenario["reads"] = reads;
    scenario["limits"] = json!({ "segment_ms": 300 });
    let fleet = TestFleet::start_with(scenario).await;
    let base_url = segment_base_url(&fleet.fetch_manifest("s", FREE).await);
    (fleet, format!("{base_url}0/2.m4s"))
}

/// Whether the bytes are the whole segment 2.
fn is_segment_2(bytes: &[u8]) -> bool {
    content::parse(bytes).is_some_and(|c| c.intact && c.number == 2)
}

#[test_case(|faults| faults.cut = 1.0; "cut short")]
#[test_case(|faults| faults.stall = 1.0; "stalled")]
#[tokio::test]
async fn interrupted_segment_read_resumes_at_the_missing_byte(
    set_fault: fn(&mut pulleystair_fake_servers::model::ServerFaults),
) {
    // Each try reads half of the remaining bytes. The fault ends after the first retry; 50 tries are more than that needs.
    let (fleet, target) = start_with_segment(json!({ "tries": 50, "free": 100 })).await;
    fleet.set_faults(set_fault);
    let (fetched, ()) = tokio::join!(fleet.get(&target), async {
        // `Again` is the logged action of a retry.
        fleet.wait_until("a retry of the read", || fleet.front_log(0).contains("Again")).await;
        fleet.set_faults(|faults| (faults.cut, faults.stall) = (0.0, 0.0));
    });
    assert_eq!(fetched.status, 200);
    assert!(is_segment_2(&fetched.body), "no byte is missing or duplicated");
    assert_eq!(fleet.set_up_servers().len(), 1, "the resumed read made no second allocation");
    fleet.assert_rules_kept();
}

#[test_case(json!({ "tries": 2 }), |faults| faults.cut = 1.0; "no tries left")]
#[test_case(json!({ "free": 0, "share": 0 }), |faults| faults.cut = 1.0; "no budget")]
#[test_case(json!({}), |faults| (faults.cut, faults.no_ranges) = (1.0, 1.0); "a server without ranges")]
#[tokio::test]
async fn segment_that_cannot_resume_ends_short_without_wrong_bytes(
    reads: serde_json::Value,
    set_fault: fn(&mut pulleystair_fake_servers::model::ServerFaults),
) {
    let (fleet, target) = start_with_segment(reads).await;
    fleet.set_faults(set_fault);
    let mut peer = HttpPeer::new(TcpStream::connect(fleet.front_addresses[0]).await.expect("a connection"));
    peer.write(get_request(&target).as_bytes()).await.expect("the request is written");
    let mut bytes = Vec::new();
    peer.stream.read_to_end(&mut bytes).await.expect("the front closes");
    let body = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| bytes.split_off(at + 4));
    let body = body.expect("the response has a head");
    assert!(body.len() < 200_000, "the body is shorter than announced");
    assert_eq!(body, content::generate(&fleet.titles[FREE].name, 0, 2, 200_000)[..body.len()]);
    fleet.set_faults(|faults| (faults.cut, faults.no_ranges) = (0.0, 0.0));
    assert!(
        is_segment_2(&fleet.get(&target).await.body),
        "a new request of the player gets the whole segment"
    );
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn bytes_beyond_the_content_length_are_not_relayed() {
    let (fleet, target) = start_with_segment(json!({})).await;
    fleet.set_faults(|faults| faults.over_long = 1.0);
    for _ in 0..5 {
        assert!(is_segment_2(&fleet.get(&target).await.body));
    }
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn byte_ranges_of_a_segment_join_to_the_whole() {
    let (fleet, target) = start_with_segment(json!({})).await;
    let fetch_range = async |range: &str| {
        let text = format!("GET {target} HTTP/1.1\r\nHost: f\r\nRange: {range}\r\n\r\n");
        fleet.send_raw(&text).await.expect("the front responds")
    };
    let (first, rest) = (fetch_range("bytes=0-99999").await, fetch_range("bytes=100000-").await);
    assert_eq!((first.status, rest.status), (206, 206));
    assert_eq!(rest.header("content-range"), Some("bytes 100000-199999/200000"));
    assert!(is_segment_2(&[first.body, rest.body].concat()));
    assert_eq!(fetch_range("bytes=900000-").await.status, 416);
    assert!(
        is_segment_2(&fetch_range("bytes=-100").await.body),
        "a suffix range is answered with the whole segment"
    );
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn cold_holders_take_plays_at_a_limited_rate() {
    let mut scenario = base_scenario();
    scenario["fleet"]["streams"] = json!(24);
    let fleet = TestFleet::start_with(scenario).await;
    fleet.restart_all_servers_cold().await;
    assert!(fleet.count_concurrent_plays(60, FREE).await > 0, "cold servers take some plays");
    assert!(fleet.set_up_servers().len() < 60, "cold servers do not take all plays at once");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn plays_are_declined_once_all_holders_drain() {
    let fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.silent = true);
    let pending = fleet.send_manifest_request(0, "s", FREE).await;
    fleet.wait_for_observations("a set-up", |seen| set_up_count(seen) == 1).await;
    for server in 0..4 {
        fleet.environment.set_listed_state(server, ListedState::Draining { started: 0.0 });
    }
    assert_eq!(pending.response().await.status, 503);
    assert_eq!(fleet.fetch_manifest("later", FREE).await.status, 503, "no holder may take it");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn servers_free_the_play_of_a_killed_front_and_another_front_serves() {
    let mut scenario = base_scenario();
    scenario["fronts"] = json!(2);
    let fleet = TestFleet::start_with(scenario).await;
    assert_eq!(fleet.send_manifest_request(0, "s", FREE).await.response().await.status, 200);
    fleet.fronts.kill(0).await;
    fleet
        .wait_until("the lease expires", || fleet.servers.model().servers.iter().all(|s| s.plays.is_empty()))
        .await;
    assert_eq!(
        fleet.send_manifest_request(1, "s2", FREE).await.response().await.status,
        200,
        "another front serves the viewer"
    );
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn invalid_list_is_rejected_and_the_current_one_kept() {
    let fleet = TestFleet::start().await;
    let file = fleet.folder().join("list.json");
    let list_text = std::fs::read_to_string(&file).expect("the list is there");
    let log_count = |text: &str| {
        let log = fleet.front_log(0);
        log.matches(text).count()
    };
    // A truncated list, then one with a negative weight, then a valid one.
    std::fs::write(&file, &list_text[..list_text.len() / 2]).expect("the list is written");
    fleet.wait_until("the front logs the rejected list", || log_count("list not taken") >= 1).await;
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200, "the current list stays in use");
    std::fs::write(&file, list_text.replace("\"weight\":1.0", "\"weight\":-1")).expect("the list is written");
    fleet
        .wait_until("the front logs the invalid value", || log_count("servers[0].weight: found -1") >= 1)
        .await;
    fleet.environment.set_listed_state(0, ListedState::Draining { started: 0.0 });
    fleet.wait_until("the valid list is loaded", || log_count("\"draining\":1") >= 1).await;
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn reordered_titles_do_not_change_the_title_of_a_running_play() {
    let fleet = TestFleet::start().await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let file = fleet.folder().join("list.json");
    let mut list: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).expect("the list reads");
    // The title of the running play is removed, and the other title takes its index.
    list["titles"].as_array_mut().unwrap().remove(FREE);
    std::fs::write(&file, list.to_string()).expect("the list is written");
    fleet
        .wait_until("the front has read the list", || {
            let log = fleet.front_log(0);
            log.matches("list taken").count() >= 2
        })
        .await;
    let segment = fleet.get(&format!("{}0/2.m4s", segment_base_url(&manifest))).await;
    assert_eq!(content::parse(&segment.body).expect("a segment").title, fleet.titles[FREE].name);
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200, "a repeated request gets the same play");
    assert_eq!(fleet.get(&fleet.manifest_target("new", FREE)).await.status, 404);
    assert_eq!(fleet.fetch_manifest("p", PAID).await.status, 200);
    fleet.assert_rules_kept();
}
