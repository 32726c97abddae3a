//! Fronts that break a rule on purpose, one for each rule: the real front, with another configuration than the one that
//! the rules are checked against. From the observations of its players and servers, the checker must find that the front
//! breaks that rule and no other; a checker that finds no breach in one of these runs is useless.

mod test_fleet;

use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;
use test_fleet::{TestFleet, base_scenario};

const FREE: usize = 0;
const PAID: usize = 1;

/// Starts a fleet whose front reads a configuration that a sed script has changed; the rules are checked against the
/// unchanged scenario. `$last` is the last argument, the path of the configuration file.
async fn start_with_changed_config(scenario: Value, sed_script: &str) -> TestFleet {
    TestFleet::start_with_shell_prefix(
        scenario,
        &format!("for last; do :; done; sed -i '{sed_script}' \"$last\""),
    )
    .await
}

/// Rule 1: the front has twice the time limit of its players.
async fn run_late_answers() -> TestFleet {
    let fleet =
        start_with_changed_config(base_scenario(), "s/\"time_limit_ms\": 1500/\"time_limit_ms\": 3000/")
            .await;
    fleet.set_faults(|faults| faults.silent = true);
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

/// Rule 2: the front treats the paid product as one that may be set up again.
async fn run_paid_retry() -> TestFleet {
    let fleet = start_with_changed_config(base_scenario(), "s/\"non_idempotent\"/\"read_like\"/").await;
    fleet.set_faults(|faults| faults.errors = 1.0);
    fleet.fetch_manifest("s", PAID).await;
    fleet
}

/// Rule 3: the front does not read the list again and sends plays to draining servers.
async fn run_ignored_drains() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "list_poll_ms": 300 });
    let sed_script = "s/\"drain_grace_ms\": 400/\"drain_grace_ms\": 900000/; s/\"list_poll_ms\": 300/\"list_poll_ms\": 900000/";
    let fleet = start_with_changed_config(scenario, sed_script).await;
    for server in 0..4 {
        fleet.environment.set_listed_state(server, ListedState::Draining { started: 0.0 });
    }
    // By then the rule's drain grace (400 ms) and the checker's tolerance (150 ms) have passed.
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

/// Rule 4: the front treats cold servers as warm after 1 ms.
async fn run_cold_overload() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["fleet"]["streams"] = json!(24);
    let fleet = start_with_changed_config(scenario, "s/\"cold_ms\": 3000/\"cold_ms\": 1/").await;
    for server in 0..4 {
        fleet.servers.stop(server);
        fleet.environment.restart(server);
    }
    fleet.wait_for_log("list taken", 2).await;
    // The front may not have read the last of the four lists yet. The checker allows 100 ms for reading a list and adds a
    // tolerance of 150 ms.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.count_concurrent_plays(100, FREE).await;
    fleet
}

/// Rule 5: the front is configured without the minimum rung (`floor`) of the free product.
async fn run_below_rung_floor() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["fleet"]["link_kb"] = json!(15.0);
    scenario["products"][FREE]["floor"] = json!(1);
    let fleet = start_with_changed_config(scenario, "s/\"floor\": 1/\"floor\": 0/").await;
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

/// Rule 6: the front has a budget of 50 further allocations instead of none.
async fn run_over_retry_budget() -> TestFleet {
    let mut scenario = base_scenario();
    scenario["rules"]["budget"] = json!({ "span_ms": 5000, "share": 0, "free": 0 });
    let fleet = start_with_changed_config(scenario, "s/\"free\": 0/\"free\": 50/").await;
    fleet.set_faults(|faults| faults.errors = 1.0);
    fleet.fetch_manifest("s", FREE).await;
    fleet
}

#[test_case(1; "answers late")]
#[test_case(2; "sends a paid set-up again")]
#[test_case(3; "ignores drains")]
#[test_case(4; "overloads cold servers")]
#[test_case(5; "goes below the rung floor")]
#[test_case(6; "exceeds the retry budget")]
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
    assert_eq!(verdict.broken_rules().into_iter().collect::<Vec<u8>>(), [rule], "{:?}", verdict.breaches);
    write_history(&history, &format!("broken-{rule}"));
}

/// Writes the history to the folder that `PULLEYSTAIR_HISTORIES` names, if it is set; the committed copies are in
/// `crates/rule-checker/histories`.
fn write_history(history: &pulleystair_rule_checker::history::History, name: &str) {
    if let Some(folder) = std::env::var_os("PULLEYSTAIR_HISTORIES") {
        let file = std::path::Path::new(&folder).join(format!("{name}.jsonl"));
        std::fs::write(file, history.to_text().expect("the history serializes"))
            .expect("the history is written");
    }
}

#[tokio::test]
async fn front_killed_during_a_paid_set_up_breaks_no_rule() {
    let mut fleet = TestFleet::start().await;
    fleet.set_faults(|faults| faults.errors = 0.5);
    for i in 0..10 {
        fleet.fetch_manifest(&format!("before-{i}"), i % 2).await;
    }
    fleet.set_faults(|faults| (faults.silent, faults.errors) = (true, 0.0));
    let pending = fleet.send_manifest_request(0, "out", PAID).await;
    fleet
        .wait_for_observations(
            "the paid set-up",
            |seen| matches!(seen.last(), Some(s) if matches!(s.what, Observed::SetUp { .. })),
        )
        .await;
    fleet.restart(0).await;
    fleet.recorder.record(pending.connection_lost());
    fleet.set_faults(|faults| faults.silent = false);
    for i in 0..10 {
        fleet.fetch_manifest(&format!("after-{i}"), i % 2).await;
    }
    let history = fleet.history("a front killed with a paid set-up out, and started again", &[]);
    let verdict = history.verdict();
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    assert!(
        verdict.coverage.set_ups > 15 && verdict.coverage.further_allocations > 0,
        "{:?}",
        verdict.coverage
    );
    write_history(&history, "stop");
}
