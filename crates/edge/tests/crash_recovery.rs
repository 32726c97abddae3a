//! Interruptions at every point: the front is killed, gets SIGTERM or can't write, or a connection ends half-way. After a
//! kill the front is started again, and earlier guarantees must still hold. The sockets and the front are real.

mod test_fleet;

use pulleystair_fake_servers::content;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::{Observation, Observed};
use serde_json::{Value, json};
use std::process::Stdio;
use test_case::test_case;
use test_fleet::{TestFleet, base_scenario, body_text, get_request, segment_base_url, set_up_count};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

const FREE: usize = 0;
const PAID: usize = 1;

/// Number of set-ups that servers have completed.
fn done_count(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::Done { .. })).count()
}

/// Scenario in which no time limit passes and no title ends during a test, with small buffers and one set-up at a time.
fn long_running_scenario() -> Value {
    let mut scenario = base_scenario();
    for product in [FREE, PAID] {
        scenario["products"][product]["time_limit_ms"] = json!(20_000);
        scenario["products"][product]["first_frame_target_ms"] = json!(15_000);
        scenario["products"][product]["seconds"] = json!([60, 60]);
    }
    scenario["ladder"] = json!([{ "rate_kb": 200, "earns": 0.4 }, { "rate_kb": 400, "earns": 1 }]);
    scenario["limits"] = json!({ "send_buffer_bytes": 8192, "relay_bytes": 65536 });
    scenario["admission"] = json!({ "least": 1, "most": 1, "reserve_ms": 1 });
    scenario
}

/// What a front is doing when it is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Point {
    RequestPartlyRead,
    Queued,
    SetUpUnanswered,
    SetUpAnswerLost,
    Playing,
    SegmentPartlyRelayed,
    EndNoticeUnanswered,
    /// The viewer left while its set-up was unanswered.
    Withdrawn,
    Stopping,
}

/// Connections, requests and the play that are open at a front until it is killed.
#[derive(Default)]
struct OpenRequests {
    peers: Vec<HttpPeer>,
    pending: Vec<test_fleet::PendingRequest>,
    base_url: Option<String>,
}

/// Brings front 0 to a point with a play of the given product.
async fn bring_front_to(fleet: &TestFleet, point: Point, product: usize) -> OpenRequests {
    let mut open = OpenRequests::default();
    match point {
        Point::RequestPartlyRead => {
            let mut peer = fleet.connect(0).await.expect("a connection");
            peer.write(b"GET /v1/free/").await.expect("half a request head is written");
            open.peers.push(peer);
        }
        Point::Queued => {
            fleet.set_faults(|faults| faults.silent = true);
            open.pending.push(fleet.send_manifest_request(0, "pending", product).await);
            fleet
                .wait_for_observations("the only set-up that may be pending", |seen| set_up_count(seen) == 1)
                .await;
            open.pending.push(fleet.send_manifest_request(0, "queued", product).await);
        }
        Point::SetUpUnanswered => {
            fleet.set_faults(|faults| faults.silent = true);
            open.pending.push(fleet.send_manifest_request(0, "pending", product).await);
            fleet.wait_for_observations("the set-up", |seen| set_up_count(seen) == 1).await;
        }
        Point::SetUpAnswerLost => {
            fleet.set_faults(|faults| faults.lost = 1.0);
            open.pending.push(fleet.send_manifest_request(0, "ran", product).await);
            fleet.wait_for_observations("the set-up ran", |seen| done_count(seen) == 1).await;
        }
        Point::Withdrawn => {
            fleet.set_faults(|faults| faults.silent = true);
            let pending = fleet.send_manifest_request(0, "left", product).await;
            fleet.wait_for_observations("the set-up", |seen| set_up_count(seen) == 1).await;
            pending.leave();
        }
        Point::Playing | Point::SegmentPartlyRelayed | Point::EndNoticeUnanswered | Point::Stopping => {
            let base_url = segment_base_url(&fleet.fetch_manifest("plays", product).await);
            match point {
                Point::SegmentPartlyRelayed => {
                    let socket = TcpSocket::new_v4().expect("a socket");
                    socket.set_recv_buffer_size(4096).expect("a small buffer");
                    let mut slow_reader =
                        HttpPeer::new(socket.connect(fleet.front_addresses[0]).await.expect("a connection"));
                    slow_reader
                        .write(get_request(&format!("{base_url}1/1.m4s")).as_bytes())
                        .await
                        .expect("a request");
                    slow_reader.stream.read_exact(&mut [0; 64]).await.expect("the segment has begun");
                    open.peers.push(slow_reader);
                }
                Point::EndNoticeUnanswered => {
                    fleet.set_faults(|faults| faults.silent = true);
                    let delete_request = format!("DELETE {base_url} HTTP/1.1\r\nHost: f\r\n\r\n");
                    assert_eq!(fleet.send_raw(&delete_request).await.expect("an answer").status, 200);
                }
                Point::Stopping => {
                    fleet.signal(0, "-TERM").await;
                    fleet.wait_for_log("stopping: no new plays", 1).await;
                }
                _ => {}
            }
            open.base_url = Some(base_url);
        }
    }
    open
}

#[test_case(Point::RequestPartlyRead, FREE; "a partly read request")]
#[test_case(Point::Queued, FREE; "a queued play")]
#[test_case(Point::SetUpUnanswered, FREE; "an unanswered set-up")]
#[test_case(Point::SetUpUnanswered, PAID; "an unanswered paid set-up")]
#[test_case(Point::SetUpAnswerLost, PAID; "a paid set-up that ran and whose answer was lost")]
#[test_case(Point::Playing, PAID; "a running play")]
#[test_case(Point::SegmentPartlyRelayed, FREE; "a partly relayed segment")]
#[test_case(Point::EndNoticeUnanswered, FREE; "an unanswered end notice")]
#[test_case(Point::Withdrawn, FREE; "a withdrawn set-up")]
#[test_case(Point::Stopping, FREE; "a stopping front")]
#[tokio::test]
async fn killed_front_leaves_no_plays_and_restarts_cleanly(point: Point, product: usize) {
    let mut fleet = TestFleet::start_with(long_running_scenario()).await;
    let mut open = bring_front_to(&fleet, point, product).await;
    let set_ups_before = set_up_count(&fleet.recorder.observations());
    fleet.restart(0).await;
    // Open connections end, and an incomplete segment is shorter than announced.
    for mut peer in open.peers.drain(..) {
        let mut rest = Vec::new();
        let _ = peer.stream.read_to_end(&mut rest).await;
        assert!(rest.len() < 400_000);
    }
    for mut pending in open.pending.drain(..) {
        let answer = pending.peer.read_response().await;
        assert!(!matches!(answer, Ok(Some(_))), "no response is sent for a pending request");
        fleet.recorder.record(pending.connection_lost());
    }
    fleet.set_faults(|faults| (faults.silent, faults.lost) = (false, 0.0));
    fleet
        .wait_until("the servers have no plays", || {
            fleet.servers.model().servers.iter().all(|s| s.plays.is_empty())
        })
        .await;
    assert_eq!(
        set_up_count(&fleet.recorder.observations()),
        set_ups_before,
        "the new front sends no set-up of its own"
    );
    if let Some(base_url) = open.base_url {
        assert_eq!(
            fleet.get(&format!("{base_url}1/1.m4s")).await.status,
            410,
            "the play of the killed front is not known any more"
        );
    }
    let manifest = fleet.fetch_manifest("new", product).await;
    assert_eq!(manifest.status, 200, "{}", body_text(&manifest));
    let segment = fleet.get(&format!("{}0/1.m4s", segment_base_url(&manifest))).await;
    assert!(content::parse(&segment.body).is_some_and(|c| c.intact));
    assert_eq!(fleet.set_up_servers().len(), set_ups_before + 1);
    fleet.assert_rules_kept();
}

/// The front keeps nothing on disk. By the rules, a viewer who returns to a front that was killed is a new request: its
/// session is set up again, paid or not, but never while the earlier set-up is pending. See docs/review-of-parts.md.
#[tokio::test]
async fn paid_session_is_set_up_again_after_a_kill_only_once_the_first_ended() {
    let mut fleet = TestFleet::start_with(long_running_scenario()).await;
    fleet.set_faults(|faults| faults.silent = true);
    let pending = fleet.send_manifest_request(0, "s", PAID).await;
    fleet.wait_for_observations("the set-up", |seen| set_up_count(seen) == 1).await;
    fleet.restart(0).await;
    fleet.recorder.record(pending.connection_lost());
    fleet.set_faults(|faults| faults.silent = false);
    let ended = |seen: &[Observation]| seen.iter().any(|s| matches!(s.what, Observed::Closed { .. }));
    fleet.wait_for_observations("the server observes the end of the first set-up", ended).await;
    assert_eq!(fleet.fetch_manifest("s", PAID).await.status, 200);
    assert_eq!(fleet.fetch_manifest("s", PAID).await.status, 200, "a repeated request gets the same play");
    assert_eq!(set_up_count(&fleet.recorder.observations()), 2);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn drain_still_holds_after_a_kill() {
    let mut fleet = TestFleet::start().await;
    for server in 0..3 {
        fleet.environment.set_listed_state(server, ListedState::Draining { started: 0.0 });
    }
    fleet.wait_for_log("\"draining\":3", 1).await;
    fleet.restart(0).await;
    for i in 0..20 {
        assert_eq!(fleet.fetch_manifest(&format!("s{i}"), FREE).await.status, 200);
    }
    assert!(fleet.set_up_servers().iter().all(|server| *server == 3), "{:?}", fleet.set_up_servers());
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn cold_server_rate_limit_holds_across_kills() {
    let mut scenario = base_scenario();
    scenario["fleet"]["streams"] = json!(24);
    let mut fleet = TestFleet::start_with(scenario).await;
    fleet.restart_all_servers_cold().await;
    for round in 0..3 {
        let mut pending = Vec::new();
        for i in 0..40 {
            pending.push(fleet.send_manifest_request(0, &format!("s{round}-{i}"), FREE).await);
        }
        let set_ups_before = set_up_count(&fleet.recorder.observations());
        fleet.wait_for_observations("a further set-up", |seen| set_up_count(seen) > set_ups_before).await;
        fleet.restart(0).await;
        pending.into_iter().for_each(|request| fleet.recorder.record(request.connection_lost()));
    }
    assert!(fleet.servers.model().servers.iter().all(|s| !s.faults.down), "no cold server was overloaded");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn front_started_with_a_stale_list_limits_the_rate_of_restarted_servers() {
    let mut scenario = base_scenario();
    scenario["fleet"]["streams"] = json!(24);
    let mut fleet = TestFleet::start_with(scenario).await;
    // All servers restart, and the list still has their earlier start times.
    for server in 0..4 {
        fleet.servers.stop(server);
        fleet.servers.restart(server, true);
    }
    fleet.restart(0).await;
    assert!(fleet.count_concurrent_plays(60, FREE).await > 0, "restarted servers take some plays");
    fleet.assert_rules_kept();
}

/// Runs a second front until it exits, with a changed copy of the configuration of front 0; returns whether it succeeded,
/// and its log.
async fn run_second_front(fleet: &TestFleet, change: impl Fn(&mut Value)) -> (bool, String) {
    let text =
        std::fs::read_to_string(fleet.folder().join("front-0.json")).expect("the configuration is readable");
    let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    change(&mut config);
    let file = fleet.folder().join("second.json");
    replace(&file, config.to_string()).expect("the second configuration is written");
    let child = tokio::process::Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"))
        .args(["--log", "json", "run"])
        .arg(&file)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let out = child.await.expect("the second front runs and exits");
    (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test_case(|_, r| r["list"] = json!("half.json"), "half.json"; "a truncated list")]
#[test_case(|_, r| r["keys"] = json!("half.json"), "half.json"; "a truncated key file")]
#[test_case(|_, r| r["list"] = json!("nowhere.json"), "can't be read"; "a missing list")]
#[test_case(|h, r| r["listen"] = json!(h.front_addresses[0]), "can't be had"; "a port in use")]
#[tokio::test]
async fn failed_start_logs_the_cause_and_leaves_the_running_front_alone(
    change: fn(&TestFleet, &mut Value),
    expected_log: &str,
) {
    let fleet = TestFleet::start().await;
    let list = std::fs::read_to_string(fleet.folder().join("list.json")).expect("the list");
    std::fs::write(fleet.folder().join("half.json"), &list[..list.len() / 2]).expect("half a file");
    let (succeeded, log) = run_second_front(&fleet, |config| change(&fleet, config)).await;
    assert!(!succeeded && log.contains(expected_log) && !log.contains("panicked"), "{log}");
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200, "the first front still serves");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn stopping_front_finishes_writing_buffered_responses() {
    let mut scenario = long_running_scenario();
    // The front can buffer a whole segment, so that its server is done early.
    scenario["limits"] = json!({ "send_buffer_bytes": 8192, "relay_bytes": 1_000_000 });
    let fleet = TestFleet::start_with(scenario).await;
    let base_url = segment_base_url(&fleet.fetch_manifest("s", FREE).await);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut slow_reader =
        HttpPeer::new(socket.connect(fleet.front_addresses[0]).await.expect("a connection"));
    slow_reader.write(get_request(&format!("{base_url}0/2.m4s")).as_bytes()).await.expect("a request");
    let delete_request = format!("DELETE {base_url} HTTP/1.1\r\nHost: f\r\n\r\n");
    slow_reader.stream.read_exact(&mut [0; 16]).await.expect("the segment has begun");
    // Segment 3 comes after segment 2: once it has arrived, the server has sent all of segment 2.
    assert_eq!(fleet.get(&format!("{base_url}0/3.m4s")).await.status, 200);
    assert_eq!(fleet.send_raw(&delete_request).await.expect("an answer").status, 200);
    fleet.signal(0, "-TERM").await;
    fleet.wait_for_log("stopping: no new plays", 1).await;
    let ended = fleet.fronts.wait_exited(0);
    let read = async {
        let mut rest = Vec::new();
        // Reads in small parts until the front logs `stopped`: the front must stay until it has written the response.
        while !fleet.front_log(0).contains("stopped") && rest.len() < 200_000 {
            let mut part = [0; 2048];
            match slow_reader.stream.read(&mut part).await {
                Ok(n) if n > 0 => rest.extend_from_slice(&part[..n]),
                _ => break,
            }
        }
        let _ = slow_reader.stream.read_to_end(&mut rest).await;
        rest
    };
    let (ended, rest) = tokio::join!(ended, read);
    let body = rest.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    assert!(content::parse(&rest[body..]).is_some_and(|c| c.intact && c.number == 2), "{} bytes", rest.len());
    assert!(ended, "the front then exits with success");
    fleet.assert_rules_kept();
}

// ---- the log ----

/// Scenario whose fronts log their statistics every 50 ms.
fn frequent_stats_scenario() -> Value {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "tally_ms": 50 });
    scenario
}

/// Shell prefix: the log goes into a pipe. Its reader stops after 4 kB and goes on once the file `go` exists in the folder
/// of the fleet, or after a minute. `$last` is the last argument, the path of the configuration file.
const SLOW_LOG_READER: &str = r#"for last; do :; done; d=$(dirname "$last"); mkfifo "$d/p"
    { dd bs=1 count=4000 status=none; n=0; while [ ! -e "$d/go" ] && [ $n -lt 1200 ]; do sleep 0.05; n=$((n+1)); done; cat; } <"$d/p" >&2 &
    exec 2>"$d/p"; set -- --log-lines 16 "$@""#;

/// Shell prefix: the log goes into a pipe whose reader exits after 4 kB. `$last` is as in [`SLOW_LOG_READER`].
const CLOSED_LOG_READER: &str = r#"for last; do :; done; d=$(dirname "$last"); mkfifo "$d/p"
    dd bs=1 count=4000 status=none <"$d/p" >&2 &
    exec 2>"$d/p""#;

/// Requests plays one after the other, every second one, from the first on, while all set-ups fail; returns how many played
/// and how many were declined.
async fn run_alternately_failing_plays(fleet: &TestFleet, plays: usize) -> (u64, u64) {
    let (mut played, mut declined) = (0, 0);
    for i in 0..plays {
        fleet.set_faults(|faults| faults.errors = if i % 2 == 0 { 1.0 } else { 0.0 });
        match fleet.fetch_manifest(&format!("s{i}"), FREE).await.status {
            200 => played += 1,
            503 => declined += 1,
            other => panic!("answered {other}"),
        }
    }
    fleet.set_faults(|faults| faults.errors = 0.0);
    (played, declined)
}

#[tokio::test]
async fn stats_count_plays_whose_log_lines_were_dropped() {
    let fleet = TestFleet::start_with_shell_prefix(frequent_stats_scenario(), SLOW_LOG_READER).await;
    let (played, declined) = run_alternately_failing_plays(&fleet, 1200).await;
    std::fs::write(fleet.folder().join("go"), "").expect("the file go is written");
    let stat = |name: &str| fleet.latest_stats(0).get(name).and_then(Value::as_u64).unwrap_or(0);
    fleet.wait_until("the statistics count all plays", || stat("taken") == 1200).await;
    assert!(stat("lines_dropped") > 0, "the statistics count dropped lines");
    assert_eq!((stat("played"), stat("declined")), (played, declined));
    assert_eq!(
        stat("taken"),
        ["played", "declined", "failed", "left", "deciding"].map(stat).iter().sum::<u64>()
    );
    assert_eq!(
        stat("allocations") as usize,
        fleet.set_up_servers().len(),
        "as many allocations as servers observed"
    );
    fleet.assert_rules_kept();
}

#[test_case(CLOSED_LOG_READER; "its reader has exited")]
#[test_case("ulimit -f 8"; "its file size is limited")]
#[tokio::test]
async fn unwritable_log_does_not_stop_the_front(shell_prefix: &str) {
    let fleet = TestFleet::start_with_shell_prefix(frequent_stats_scenario(), shell_prefix).await;
    run_alternately_failing_plays(&fleet, 200).await;
    assert!(fleet.front_log(0).len() <= 4096, "the log has reached its limit");
    let last = fleet.fetch_manifest("last", FREE).await;
    assert_eq!(fleet.get(&format!("{}0/1.m4s", segment_base_url(&last))).await.status, 200);
    fleet.signal(0, "-TERM").await;
    let delete_request = format!("DELETE {} HTTP/1.1\r\nHost: f\r\n\r\n", segment_base_url(&last));
    let _ = fleet.send_raw(&delete_request).await;
    assert!(fleet.fronts.wait_exited(0).await, "the front exits with success");
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn five_hundred_partial_requests_fit_in_limited_memory() {
    let fleet = TestFleet::start_with_shell_prefix(base_scenario(), "ulimit -v 400000").await;
    let mut partial_requests = Vec::new();
    let partial_head = format!("GET /v1/free/{}", "x".repeat(8000));
    for _ in 0..500 {
        let mut peer =
            HttpPeer::new(TcpStream::connect(fleet.front_addresses[0]).await.expect("a connection"));
        peer.write(partial_head.as_bytes()).await.expect("the partial head is written");
        partial_requests.push(peer);
    }
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    fleet.assert_rules_kept();
}
