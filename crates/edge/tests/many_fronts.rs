//! Several front processes that share state, with faults between them: every message that they exchange goes over
//! relays on loopback, which drop, delay, duplicate and reorder messages and split the fleet. The assertions are on what
//! servers observed on their sockets and on the status that fronts report.

mod sharing;
mod test_fleet;

use pulleystair_lab::fronts::Program;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use sharing::{
    FakeFront, query_status, run_plays, run_plays_from_title, send_play_requests, sharing_scenario,
    start_unresponsive_server, wait_until,
};
use std::path::Path;
use std::time::Duration;
use test_fleet::TestFleet;
use tokio::time::sleep;

const FREE: usize = 0;

/// The front, with log level `debug` for the target `play`.
fn edge_program() -> Program {
    let mut program = Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into());
    program.args[3] = "info,play=debug".into();
    program
}

/// Sets the price of servers in another zone to 0, so that all servers are used.
fn clear_cross_zone_prices(folder: &Path, fronts: usize) {
    (0..fronts).for_each(|f| {
        sharing::change_front_config(folder, f, |config| config["prices"]["cross_zone"] = json!(0))
    });
}

/// Sorted names of the servers in a status report that match.
fn server_names(status: &Value, matches_server: impl Fn(&Value) -> bool) -> Vec<String> {
    let all = status["servers"].as_array().into_iter().flatten().filter(|s| matches_server(s));
    let mut names: Vec<String> = all.map(|s| s["server"].as_str().expect("a name").to_string()).collect();
    names.sort();
    names
}

/// Sorted names of the servers that a front doubts.
fn doubted_servers(status: &Value) -> Vec<String> {
    server_names(status, |s| s["doubted"] == true)
}

/// Pace of each front for server 0 as reported in its status, as a multiple of its own part of the budget.
fn paces(fleet: &TestFleet, fronts: std::ops::Range<usize>) -> Vec<f64> {
    fronts.map(|front| query_status(fleet, front)["servers"][0]["pace"].as_f64().expect("a pace")).collect()
}

/// Waits until all fronts hear each other, and then for 1.1 loan periods, so that each knows what it has lent.
async fn wait_until_all_heard(fleet: &TestFleet, fronts: usize, lend_ms: f64) {
    wait_until("all fronts hear each other", || {
        (0..fronts).all(|f| query_status(fleet, f)["unheard"].as_array().is_some_and(Vec::is_empty))
    })
    .await;
    sleep(Duration::from_secs_f64(lend_ms * 1.1 / 1000.0)).await;
}

// ---- the ports of the fronts ----

/// Guards against a port that the lab chooses and another socket takes before the front listens on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn fronts_choose_all_ports_on_which_they_listen() {
    let fleet = TestFleet::start_first(sharing_scenario(2, 1), edge_program(), 0, |_, _| {}).await;
    let text = std::fs::read(fleet.folder().join("front-0.json")).expect("the configuration is written");
    let config: Value = serde_json::from_slice(&text).expect("the configuration is JSON");
    for listener in ["/listen", "/fleet/listen", "/sharing/ask"] {
        assert_eq!(config.pointer(listener), Some(&json!("127.0.0.1:0")), "{listener}");
    }
}

// ---- the shared budget for a cold server ----

const STREAMS: u32 = 500;
const COLD_MS: f64 = 9_000.0;

/// Maximum number of set-ups that all fronts together may send a cold server from `from` to `to`, in ms after its start: the
/// pace at the end of the window times its length, plus one play for each front. The factors of the pace are `cold_from`
/// (0.3, which rises to 1 during the warm-up), `overload_factor` (2.5) and the share of the overload that all fronts
/// together use (0.6, `PACED_SHARE` in `src/logic/pace.rs`).
fn max_set_ups(fronts: usize, from: f64, to: f64) -> f64 {
    let pace =
        |at: f64| f64::from(STREAMS) / COLD_MS * (0.3 + 0.7 * (at / COLD_MS).clamp(0.0, 1.0)) * 2.5 * 0.6;
    (to - from) * pace(to) + fronts as f64
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn cold_server_set_ups_stay_within_the_fleet_budget_despite_gossip_faults() {
    let _exclusive = sharing::exclusive_run().await;
    let mut scenario = sharing_scenario(8, 1);
    scenario["sharing"]["lend_ms"] = json!(1_200);
    scenario["fleet"]["streams"] = json!(STREAMS);
    scenario["rules"]["cold_ms"] = json!(COLD_MS);
    scenario["products"][FREE]["time_limit_ms"] = json!(15_000);
    scenario["products"][FREE]["first_frame_target_ms"] = json!(14_000);
    let mut fleet = TestFleet::start_first(scenario, edge_program(), 8, |_, _| {}).await;
    wait_until_all_heard(&fleet, 8, 1_200.0).await;
    let relays = fleet.fronts.relays.clone().expect("the fronts share state");
    fleet.environment.restart(0);
    let restarted_at = fleet.recorder.now();
    // Many plays at two fronts: all other fronts lend them parts of their budgets, and none of them more than it may.
    let mut pending = send_play_requests(&fleet, "first", &[0, 1], 120).await;
    wait_until("parts of the budgets of all other fronts are lent", || {
        let lender_paces = paces(&fleet, 2..8);
        assert!(lender_paces.iter().all(|p| *p >= 0.25), "{lender_paces:?}");
        lender_paces.iter().all(|p| *p < 1.0) && paces(&fleet, 0..2).iter().all(|p| *p > 1.5)
    })
    .await;
    // Front 0 is split from the others. Then the links open again, except that from front 3 to front 0, and lose, duplicate
    // and delay messages, and half of the fronts are killed and restarted.
    relays.split(|front| front == 0);
    wait_until("front 0 has only its own part", || paces(&fleet, 0..1) == [1.0]).await;
    let split_at_ms = fleet.recorder.now();
    wait_until("set-ups of front 0 without the others", || {
        let seen = fleet.recorder.observations();
        seen.iter().filter(|s| s.at > split_at_ms && matches!(s.what, Observed::SetUp { .. })).count() >= 6
    })
    .await;
    relays.change_conditions(|from, to, link| {
        (link.open, link.loss_rate, link.duplicate_rate, link.max_usual_delay_ms) =
            (from != 3 || to != 0, 0.2, 0.2, 10.0)
    });
    for front in 4..8 {
        fleet.restart(front).await;
    }
    pending.extend(send_play_requests(&fleet, "second", &[0, 1, 2, 3, 4, 5, 6, 7], 12).await);
    wait_until("the server is warm", || fleet.recorder.now() > restarted_at + COLD_MS + 500.0).await;
    drop(pending);
    let set_up_times: Vec<f64> = fleet
        .recorder
        .observations()
        .iter()
        .filter(|s| s.at >= restarted_at && matches!(s.what, Observed::SetUp { .. }))
        .map(|s| s.at - restarted_at)
        .filter(|at| *at < COLD_MS)
        .collect();
    assert!(set_up_times.len() > 100, "{} set-ups", set_up_times.len());
    for length in [250.0, 1_000.0, 3_000.0] {
        for from in &set_up_times {
            let count = set_up_times.iter().filter(|at| (*from..*from + length).contains(*at)).count() as f64;
            let max_count = max_set_ups(8, *from, from + length);
            assert!(count <= max_count, "{count} of {max_count:.1} in {length} ms from {from:.0}");
        }
    }
    fleet.assert_rules_kept();
}

// ---- doubted servers and zones inferred lost ----

/// Two fronts that cannot reach a server are fewer than the three (`MIN_AGREEING`) whose reports are needed to doubt it.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn server_failing_at_two_fronts_is_doubted_by_no_front() {
    let _exclusive = sharing::exclusive_run().await;
    let unresponsive = start_unresponsive_server();
    let fleet = TestFleet::start_first(sharing_scenario(5, 4), edge_program(), 5, |testbed, folder| {
        (0..2).for_each(|front| {
            sharing::override_server_addresses(testbed, folder, front, &[(0, unresponsive.address)])
        });
    })
    .await;
    wait_until_all_heard(&fleet, 5, 0.0).await;
    run_plays(&fleet, "a", &[0, 1, 2, 3, 4], 14).await;
    wait_until("messages have been exchanged", || {
        (0..5).all(|f| query_status(&fleet, f)["exchange"]["taken"].as_u64() > Some(40))
    })
    .await;
    for front in 0..5 {
        assert_eq!((front, doubted_servers(&query_status(&fleet, front))), (front, vec![]));
    }
}

/// Three of eight fronts report that every server fails. While the others have recent successes no server is doubted; once
/// their reports are old, at most a quarter of the links is doubted, until a play succeeds there.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn false_failure_reports_doubt_a_quarter_of_servers_until_a_play_succeeds() {
    let _exclusive = sharing::exclusive_run().await;
    let fleet = TestFleet::start_first(sharing_scenario(8, 8), edge_program(), 5, |_, _| {}).await;
    let false_reporters: Vec<FakeFront> =
        (5..8).map(|front| FakeFront::start(&fleet, front, "here", FakeFront::report_all_failing)).collect();
    wait_until_all_heard(&fleet, 5, 0.0).await;
    run_plays(&fleet, "a", &[0, 1, 2, 3, 4], 30).await;
    // After 24 more messages each front has received the successes of the others.
    let accepted_messages = |f| query_status(&fleet, f)["exchange"]["taken"].as_u64().unwrap_or(0);
    let accepted_before: Vec<u64> = (0..5).map(accepted_messages).collect();
    wait_until("reports of the successes have been exchanged", || {
        (0..5).all(|f| accepted_messages(f) >= accepted_before[f] + 24)
    })
    .await;
    let fronts_without_doubts =
        (0..5).filter(|f| doubted_servers(&query_status(&fleet, *f)).is_empty()).count();
    assert_eq!(fronts_without_doubts, 5, "the successes of others outvote the false reports");
    wait_until("the reports of the real fronts are old", || {
        doubted_servers(&query_status(&fleet, 0)).len() == 2
    })
    .await;
    let doubted = doubted_servers(&query_status(&fleet, 0));
    // At most a quarter of the total link capacity may be doubted because of reports: two of eight equal servers.
    assert_eq!(doubted.len(), 2);
    let mut n = 0;
    while doubted_servers(&query_status(&fleet, 0)).iter().any(|s| doubted.contains(s)) {
        n += 1;
        assert!(n < 60, "the servers are still doubted");
        run_plays_from_title(&fleet, &format!("b{n}"), 4 * n, &[0], 4).await;
    }
    drop(false_reporters);
    fleet.assert_rules_kept();
}

/// The fronts of zone north can't reach the servers of zone south. They infer that south is lost; those of south doubt none.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn unreachable_zone_is_inferred_lost_only_by_the_zone_that_cannot_reach_it() {
    let _exclusive = sharing::exclusive_run().await;
    let unresponsive = start_unresponsive_server();
    let mut scenario = sharing_scenario(6, 8);
    scenario["zones"] = json!(["north", "south"]);
    let south: Vec<_> = [1, 3, 5, 7].map(|server| (server, unresponsive.address)).to_vec();
    let fleet = TestFleet::start_first(scenario, edge_program(), 6, |testbed, folder| {
        clear_cross_zone_prices(folder, 6);
        [0, 2, 4]
            .iter()
            .for_each(|front| sharing::override_server_addresses(testbed, folder, *front, &south));
    })
    .await;
    wait_until_all_heard(&fleet, 6, 0.0).await;
    let (mut inferred_count, mut n) = (0, 0);
    while inferred_count < 3 {
        n += 1;
        assert!(n < 20, "only {inferred_count} fronts inferred the lost zone");
        run_plays_from_title(&fleet, &format!("c{n}"), 3 * n, &[0, 1, 2, 3, 4, 5], 3).await;
        let lost_zones: Vec<Value> = (0..6).map(|f| query_status(&fleet, f)["zone_lost"].clone()).collect();
        inferred_count = [0, 2, 4].iter().filter(|f| lost_zones[**f] == "south").count();
        for front in [1, 3, 5] {
            assert_eq!(
                (front, &lost_zones[front], doubted_servers(&query_status(&fleet, front))),
                (front, &Value::Null, vec![])
            );
        }
    }
    assert_eq!(doubted_servers(&query_status(&fleet, 0)), ["m1", "m3", "m5", "m7"]);
    [0, 2, 4].iter().for_each(|front| sharing::restore_server_addresses(&fleet, *front));
    let mut n = 0;
    while (0..6).any(|f| !query_status(&fleet, f)["zone_lost"].is_null()) {
        n += 1;
        assert!(n < 40, "the zone still counts as lost");
        run_plays_from_title(&fleet, &format!("d{n}"), 3 * n, &[0, 2, 4], 3).await;
    }
    fleet.assert_rules_kept();
}

// ---- time-outs when a zone is lost ----

/// Number of time-outs of each front while half of the servers, one of two zones, do not respond.
async fn count_time_outs(is_sharing: bool) -> Vec<usize> {
    let mut scenario = sharing_scenario(6, 8);
    scenario["zones"] = json!(["north", "south"]);
    // Doubted servers are tried rarely.
    scenario["fleet"]["streams"] = json!(40);
    scenario["rules"]["cold_ms"] = json!(3_000);
    if !is_sharing {
        scenario["sharing"] = Value::Null;
    }
    let fleet =
        TestFleet::start_first(scenario, edge_program(), 6, |_, folder| clear_cross_zone_prices(folder, 6))
            .await;
    if is_sharing {
        wait_until_all_heard(&fleet, 6, 0.0).await;
    }
    // A front treats its first list as possibly out of date and all servers in it as cold: wait for the 3 s of `cold_ms`.
    sleep(Duration::from_millis(3_000)).await;
    run_plays(&fleet, "a", &[0, 1, 2, 3, 4, 5], 6).await;
    for server in [1, 3, 5, 7] {
        fleet.servers.model().servers[server].faults.silent = true;
    }
    // One play after the other, as in light traffic.
    for n in 0..14 {
        run_plays_from_title(&fleet, &format!("b{n}"), n, &[0, 1, 2, 3, 4, 5], 1).await;
    }
    fleet.assert_rules_kept();
    (0..6).map(|front| fleet.front_log(front).matches("TimedOut").count()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn sharing_reduces_time_outs_when_a_zone_is_lost() {
    let _exclusive = sharing::exclusive_run().await;
    let (separate, shared) = (count_time_outs(false).await, count_time_outs(true).await);
    println!("time-outs of each front: {separate:?} without sharing, {shared:?} with sharing");
    let (separate, shared) = (separate.iter().sum::<usize>(), shared.iter().sum::<usize>());
    assert!(
        separate > 12 && shared * 3 < separate * 2,
        "{shared} time-outs with sharing, {separate} without"
    );
}

// ---- estimates of the set-up time at other holders ----

/// Runs 512 plays at eight fronts with server `m1` slower by `slower_ms`; returns the estimates that each front reports.
async fn run_estimates(slower_ms: f64) -> (TestFleet, Vec<Value>) {
    let mut scenario = sharing_scenario(8, 4);
    scenario["zones"] = json!(["north", "south"]);
    scenario["sharing"]["bucket_ms"] = json!(600_000);
    let fleet = TestFleet::start_first(scenario, edge_program(), 8, |_, _| {}).await;
    wait_until_all_heard(&fleet, 8, 0.0).await;
    // The factor on 5 ms of work that adds `slower_ms`.
    fleet.servers.model().servers[1].faults.slow = 1.0 + slower_ms / 5.0;
    for n in 0..8 {
        run_plays(&fleet, &format!("p{n}"), &[0, 1, 2, 3, 4, 5, 6, 7], 8).await;
    }
    wait_until("all fronts know the plays of all", || {
        (0..8).all(|front| query_status(&fleet, front)["whatif"]["plays"].as_u64() >= Some(480))
    })
    .await;
    let estimates = (0..8).map(|front| query_status(&fleet, front)["whatif"].clone()).collect();
    (fleet, estimates)
}

/// Names of the servers that a report calls slow.
fn slow_servers(whatif: &Value) -> Vec<String> {
    let all = whatif["servers"].as_array().into_iter().flatten().filter(|s| s["slow"] == true);
    all.map(|s| s["server"].as_str().expect("a name").to_string()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_server_is_named_by_all_fronts_and_by_none_that_hears_half_of_them() {
    let _exclusive = sharing::exclusive_run().await;
    let (fleet, estimates) = run_estimates(60.0).await;
    for whatif in &estimates {
        assert_eq!(slow_servers(whatif), ["m1"], "{whatif}");
        let server = whatif["servers"].as_array().and_then(|all| all.iter().find(|s| s["server"] == "m1"));
        let delay_estimate = &server.expect("the report has m1")["more"];
        let (low, mean, high) = (
            delay_estimate["low"].as_f64().unwrap(),
            delay_estimate["mean"].as_f64().unwrap(),
            delay_estimate["high"].as_f64().unwrap(),
        );
        // The fake servers add 60 ms; sockets and sleeps add a few more.
        assert!(low - 8.0 <= 60.0 && 60.0 <= high + 8.0 && mean > 40.0, "{delay_estimate}");
        assert_eq!((whatif["over"]["heard"].as_u64(), whatif["undecided"].as_bool()), (Some(8), Some(false)));
    }
    let relays = fleet.fronts.relays.clone().expect("the fronts share state");
    relays.split(|front| front < 4);
    wait_until("half of the fronts are unheard", || {
        query_status(&fleet, 0)["unheard"].as_array().is_some_and(|u| u.len() == 4)
    })
    .await;
    let partial_report = query_status(&fleet, 0)["whatif"].clone();
    assert_eq!((partial_report["undecided"].as_bool(), slow_servers(&partial_report)), (Some(true), vec![]));
    assert!(
        partial_report["policies"].as_array().is_some_and(|all| all.iter().all(|p| p["robust"].is_null()))
    );
    relays.restore();
    wait_until("front 0 names the slow server again", || {
        slow_servers(&query_status(&fleet, 0)["whatif"]) == ["m1"]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn equal_servers_yield_no_slow_server_and_no_better_policy() {
    let _exclusive = sharing::exclusive_run().await;
    for whatif in run_estimates(0.0).await.1 {
        assert_eq!((slow_servers(&whatif), &whatif["better"]), (vec![], &Value::Null), "{whatif}");
    }
}
