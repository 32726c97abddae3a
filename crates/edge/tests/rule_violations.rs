//! Fronts broken on purpose, one for each rule: the real front, told other terms than those it is held to. Each must be
//! found to break that rule and no other by what its players and servers saw; a checker that passes one of them is
//! worth nothing.

mod test_fleet;

use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;
use test_fleet::{TestFleet, base_scenario};

const FREE: usize = 0;
const PAID: usize = 1;

/// A front whose rundown is changed by this word of sed before it starts.
async fn start_with_changed_config(scenario: Value, sed_script: &str) -> TestFleet {
    TestFleet::start_with_shell_prefix(
        scenario,
        &format!("for last; do :; done; sed -i '{sed_script}' \"$last\""),
    )
    .await
}

async fn run_late_answers() -> TestFleet {
    let fleet =
        start_with_changed_config(base_scenario(), "s/\"time_limit_ms\": 1500/\"time_limit_ms\": 3000/")
            .await;
    fleet.set_faults(|a| a.silent = true);
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

async fn run_paid_retry() -> TestFleet {
    let fleet = start_with_changed_config(base_scenario(), "s/\"non_idempotent\"/\"read_like\"/").await;
    fleet.set_faults(|a| a.errors = 1.0);
    fleet.fetch_manifest("s", PAID).await;
    fleet
}

async fn run_ignored_drains() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "list_poll_ms": 300 });
    let sed_script = "s/\"drain_grace_ms\": 400/\"drain_grace_ms\": 900000/; s/\"list_poll_ms\": 300/\"list_poll_ms\": 900000/";
    let fleet = start_with_changed_config(scenario, sed_script).await;
    for server in 0..4 {
        fleet.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    // The grace, and what may be seen late: the rule's own time.
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

async fn run_cold_overload() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["fleet"]["streams"] = json!(24);
    let fleet = start_with_changed_config(scenario, "s/\"cold_ms\": 3000/\"cold_ms\": 1/").await;
    for server in 0..4 {
        fleet.boxes.stop(server);
        fleet.stage.restart(server);
    }
    fleet.wait_for_log("list taken", 2).await;
    // Until then a front may not have read what it was told: the check's own time.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.count_concurrent_plays(100, FREE).await;
    fleet
}

async fn run_below_rung_floor() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["fleet"]["link_kb"] = json!(15.0);
    scenario["products"][FREE]["floor"] = json!(1);
    let fleet = start_with_changed_config(scenario, "s/\"floor\": 1/\"floor\": 0/").await;
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

async fn run_over_retry_budget() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["rules"]["budget"] = json!({ "span_ms": 5000, "share": 0, "free": 0 });
    let fleet = start_with_changed_config(scenario, "s/\"free\": 0/\"free\": 50/").await;
    fleet.set_faults(|a| a.errors = 1.0);
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

#[test_case(1; "answers late")]
#[test_case(2; "sends a paid set-up again")]
#[test_case(3; "does not hear of drains")]
#[test_case(4; "rushes cold servers")]
#[test_case(5; "goes under the floor")]
#[test_case(6; "knows no budget")]
#[tokio::test]
async fn checker_finds_the_one_rule_that_a_misconfigured_front_breaks(rule: u8) {
    let fleet = match rule {
        1 => run_late_answers().await,
        2 => run_paid_retry().await,
        3 => run_ignored_drains().await,
        4 => run_cold_overload().await,
        5 => run_below_rung_floor().await,
        _ => run_over_retry_budget().await,
    };
    let history =
        fleet.history(&format!("the real front, told other terms than those of rule {rule}"), &[rule]);
    let verdict = history.verdict();
    assert_eq!(verdict.rules().into_iter().collect::<Vec<u8>>(), [rule], "{:?}", verdict.breaches);
    write_history(&history, &format!("broken-{rule}"));
}

/// With `PULLEYSTAIR_HISTORIES` set to a folder, the history is written there, to be kept in `crates/rule-checker/histories`.
fn write_history(history: &pulleystair_rule_checker::history::History, name: &str) {
    if let Some(folder) = std::env::var_os("PULLEYSTAIR_HISTORIES") {
        let file = std::path::Path::new(&folder).join(format!("{name}.jsonl"));
        std::fs::write(file, history.to_text().expect("a history is plain")).expect("it is written");
    }
}

#[tokio::test]
async fn front_killed_during_a_paid_set_up_breaks_no_rule() {
    let mut fleet = TestFleet::start().await;
    fleet.set_faults(|a| a.errors = 0.5);
    for i in 0..10 {
        fleet.fetch_manifest(&format!("before-{i}"), i % 2).await;
    }
    fleet.set_faults(|a| (a.silent, a.errors) = (true, 0.0));
    let pending = fleet.send_manifest_request(0, "out", PAID).await;
    fleet
        .wait_for_observations(
            "its set-up",
            |seen| matches!(seen.last(), Some(s) if matches!(s.what, Observed::SetUp { .. })),
        )
        .await;
    fleet.restart(0).await;
    fleet.log.record(pending.connection_lost());
    fleet.set_faults(|a| a.silent = false);
    for i in 0..10 {
        fleet.fetch_manifest(&format!("after-{i}"), i % 2).await;
    }
    let history = fleet.history("a front killed with a paid set-up out, and started again", &[]);
    let verdict = history.verdict();
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    assert!(verdict.covered.set_ups > 15 && verdict.covered.further > 0, "{:?}", verdict.covered);
    write_history(&history, "stop");
}
