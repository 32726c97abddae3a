//! Short days with all kinds of trouble over each other, under TLS: each request is answered once and in time, no play
//! ever holds two allocations, and every segment is the one asked for, whatever the seed.

use pulleystair_lab::fronts::Program;
use pulleystair_lab::scenario::Scenario;
use pulleystair_lab::scenario_run::{RunResult, run};
use pulleystair_rule_checker::Observed;
use pulleystair_rule_checker::history::History;
use serde_json::json;
use std::path::Path;
use test_case::test_case;

/// The long day of the examples, pressed into seconds.
fn short_scenario(seed: u64) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/dash-day.jsonnet");
    let mut scenario =
        serde_json::to_value(Scenario::read(&file).expect("the day reads")).expect("a day is plain");
    scenario["seed"] = json!(seed);
    scenario["seconds"] = json!(7);
    scenario["fronts"] = json!(2);
    scenario["players"]["segment_ms"] = json!(500);
    for product in scenario["products"].as_array_mut().expect("there are products") {
        product["seconds"] = json!([2, 4]);
    }
    for fault in scenario["troubles"].as_array_mut().expect("there are troubles") {
        for field in ["at_s", "length_s"] {
            fault[field] = json!(fault[field].as_f64().expect("a time") / 7.0);
        }
        if fault["kind"] == "renew" {
            fault["size"] = json!(3);
        }
    }
    serde_json::from_value(scenario).expect("the short day reads")
}

async fn run_once(scenario: &Scenario) -> RunResult {
    let folder = tempfile::tempdir().expect("a folder can be had");
    let program = Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into());
    run(scenario.clone(), program, folder.path()).await.expect("the day is played")
}

#[test_case(1; "one seed")]
#[test_case(2; "another")]
#[test_case(3; "and a third")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short_scenario_with_all_faults_keeps_every_rule(seed: u64) {
    let scenario = short_scenario(seed);
    let mut result = run_once(&scenario).await;
    // The rules' times are real ones, with little slack: a machine that held a front up for longer than half of that breaks them by
    // itself. Such a day is played again, twice at most, and the last counts whatever the machine did.
    for _ in 0..2 {
        if result.breaches.is_empty() || result.lateness_ms < scenario.terms().slack / 2.0 {
            break;
        }
        eprintln!("played again, the machine was {:.0} ms late: {:?}", result.lateness_ms, result.breaches);
        result = run_once(&scenario).await;
    }
    let count = |is: fn(&Observed) -> bool| result.seen.iter().filter(|s| is(&s.what)).count();
    let (asked, set_up) =
        (count(|w| matches!(w, Observed::Asked { .. })), count(|w| matches!(w, Observed::SetUp { .. })));
    let fetched = count(|w| matches!(w, Observed::Fetched { .. }));
    assert!(asked > 50 && set_up > 30 && fetched > 50, "{asked} asked, {set_up} set-ups, {fetched} fetched");
    assert!(result.breaches.is_empty(), "{:.0} ms late: {:?}", result.lateness_ms, result.breaches);
    assert!(result.covered.further > 0 && result.covered.drains > 0, "{:?}", result.covered);
    // With a folder named, the history is written there, to be kept in `crates/rule-checker/histories`.
    if let Some(folder) = std::env::var_os("PULLEYSTAIR_HISTORIES") {
        let description = format!("a short bad day under TLS, two fronts, seed {seed}");
        let text = History::new(&description, &[], scenario.terms(), result.seen)
            .to_text()
            .expect("a history is plain");
        std::fs::write(Path::new(&folder).join(format!("day-{seed}.jsonl")), text).expect("it is written");
    }
}
