//! Approved configuration versions across several front processes: the verdict of each front on all others, and what a
//! front does whose configuration differs from the approved one.

mod sharing;
mod test_fleet;

use pulleystair_drift::Sections;
use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_edge::active_config;
use pulleystair_edge::config::Config;
use pulleystair_lab::fronts::Program;
use serde_json::{Value, json};
use sharing::{FakeFront, change_front_config, query_status, sharing_scenario, wait_until};
use std::path::Path;
use std::process::{Command, Output};
use test_case::test_case;
use test_fleet::TestFleet;

const EDGE: &str = env!("CARGO_BIN_EXE_pulleystair-edge");

/// The wall clock in ms since the epoch, rounded down to a second.
fn wall_clock_whole_second_ms() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a clock").as_secs_f64().floor() * 1000.0
}

/// The sections of a front's configuration file without the server list, which changes while a front runs.
fn sections(folder: &Path, front: usize) -> Sections {
    let config = Config::load(&folder.join(format!("front-{front}.json"))).expect("the configuration loads");
    let mut sections = active_config::sections(&config, Value::Null);
    sections.remove("list");
    sections
}

/// Sets a value in a section.
fn set_value(sections: &mut Sections, section: &str, name: &str, value: Value) {
    sections.get_mut(section).expect("the section exists")[name] = value;
}

/// The chain in `approved.jsonl`; empty where there is none.
fn chain(folder: &Path) -> VersionChain {
    let text = std::fs::read_to_string(folder.join("approved.jsonl")).unwrap_or_default();
    if text.is_empty() {
        VersionChain::default()
    } else {
        VersionChain::parse(&text).expect("the chain parses")
    }
}

/// Appends a version with these sections to the chain: fronts may use it from `from_ms` on and must use it by `by_ms`.
fn approve(folder: &Path, sections: Sections, from_ms: f64, by_ms: f64) {
    let mut chain = chain(folder);
    let head = chain.head();
    let version = ApprovedVersion {
        number: head.map_or(1, |d| d.number + 1),
        parent: head.map(ApprovedVersion::digest),
        sections,
        stages: vec![RolloutStage { fronts: vec![], from_ms, by_ms }],
        by: "the night shift".into(),
        at_ms: head.map_or(from_ms, |d| d.at_ms),
    };
    chain.append(version).expect("the version continues the chain");
    let text: String = chain.versions.iter().map(ApprovedVersion::to_line).collect();
    pulleystair_fake_servers::files::replace(&folder.join("approved.jsonl"), text)
        .expect("the chain is replaced");
}

/// Starts the first `count` of `fronts` fronts, all on approved version 1. A front reads the approved versions again when it
/// gets SIGHUP. `stricter` lets a front that differs use the stricter value of a rule.
async fn start_fleet(fronts: usize, count: usize, stricter: bool) -> TestFleet {
    let mut scenario = sharing_scenario(fronts, 2);
    scenario["limits"] = json!({ "keys_poll_ms": 600_000 });
    scenario["sharing"]["approved"] = json!("approved.jsonl");
    scenario["sharing"]["stricter"] = json!(stricter);
    TestFleet::start_first(scenario, Program::edge(EDGE.into()), count, |_, folder| {
        // The configuration loads only if the file exists.
        let approved_at = wall_clock_whole_second_ms() - 60_000.0;
        std::fs::write(folder.join("approved.jsonl"), "").expect("the empty chain is written");
        approve(folder, sections(folder, 0), approved_at, approved_at);
    })
    .await
}

/// The verdict on a front in a status report, or `none`.
fn verdict(status: &Value, front: usize) -> String {
    let all = status["drift"]["fronts"].as_array().into_iter().flatten();
    let mut front_status = all.filter(|f| f["front"] == format!("front-{front}"));
    front_status.next().and_then(|f| f["verdict"]["is"].as_str()).unwrap_or("none").to_string()
}

/// Waits until `front` reports these verdicts on fronts 0, 1, ... and prints how long that took.
async fn wait_for_verdicts(fleet: &TestFleet, front: usize, verdicts: &[&str]) {
    let started_at = std::time::Instant::now();
    wait_until(&format!("front {front} reports {verdicts:?}"), || {
        let status = query_status(fleet, front);
        (0..verdicts.len()).all(|f| verdict(&status, f) == verdicts[f])
    })
    .await;
    println!("{:?} until front {front} reported {verdicts:?}", started_at.elapsed());
}

/// Runs the subcommand `drift` with the configuration of a front, in which the port that the front chose is filled in.
fn run_drift_command(fleet: &TestFleet, front: usize, more_arguments: &[&str]) -> Output {
    let file = fleet.folder().join(format!("drift-{front}.json"));
    std::fs::copy(fleet.folder().join(format!("front-{front}.json")), &file)
        .expect("the configuration is copied");
    sharing::change_json(&file, |config| {
        config["sharing"]["ask"] = json!(fleet.fronts.status_address(front));
    });
    let run =
        || Command::new(EDGE).args(["--level", "error", "drift"]).arg(file).args(more_arguments).output();
    tokio::task::block_in_place(run).expect("the drift command runs")
}

/// Makes the changes of version 2 in a configuration file.
fn change_to_version_2(config: &mut Value) {
    config["rules"]["drain_grace_ms"] = json!(300);
    config["ladder"][0]["rate_kb"] = json!(9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn rollout_verdicts_tell_behind_torn_adrift_and_unheard_fronts_apart() {
    let _exclusive = sharing::exclusive_run().await;
    let mut fleet = start_fleet(6, 4, false).await;
    // Front 5 is a process that starts last; front 4 is simulated, with an older program.
    fleet.fronts.start(5).await.expect("the front starts");
    let mut old_sections = sections(fleet.folder(), 0);
    old_sections.insert("policy".into(), json!("of last year"));
    let approved = chain(fleet.folder());
    let old_front = FakeFront::start_with(&fleet, 4, "here", move |member, _| {
        let _ = member.set_approved(approved.clone());
        member.set_active(old_sections.clone());
    });
    wait_for_verdicts(&fleet, 0, &["in_step", "in_step", "in_step", "in_step", "adrift", "in_step"]).await;
    let output = run_drift_command(&fleet, 0, &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("1 adrift, 5 in step") && text.contains(r#"policy is "of last year""#), "{text}");

    // Version 2 is approved, and all but front 3 are signalled to read it.
    let deadline_ms = wall_clock_whole_second_ms() + 4_000.0;
    let new_file = fleet.folder().join("front-9.json");
    std::fs::copy(fleet.folder().join("front-0.json"), &new_file).expect("the configuration is copied");
    change_front_config(fleet.folder(), 9, change_to_version_2);
    approve(
        fleet.folder(),
        sections(fleet.folder(), 9),
        wall_clock_whole_second_ms() - 30_000.0,
        deadline_ms,
    );
    for front in [0, 1, 2, 5] {
        fleet.signal(front, "-HUP").await;
    }
    wait_for_verdicts(
        &fleet,
        0,
        &["on_its_way", "on_its_way", "on_its_way", "on_its_way", "adrift", "on_its_way"],
    )
    .await;
    // Front 3 does not know version 2, so it can't tell whether the others are in step.
    wait_for_verdicts(&fleet, 3, &["unknown", "unknown", "unknown", "in_step"]).await;
    assert_eq!(
        run_drift_command(&fleet, 3, &["--json"]).status.code(),
        Some(1),
        "front 4 is adrift from both versions"
    );

    // Fronts 1 and 5 are configured for version 2; front 2 gets half of its changes.
    for front in [1, 5] {
        change_front_config(fleet.folder(), front, change_to_version_2);
    }
    change_front_config(fleet.folder(), 2, |config| config["rules"]["drain_grace_ms"] = json!(300));
    fleet.restart(1).await;
    fleet.restart(2).await;
    fleet.fronts.kill(5).await;
    fleet.fronts.start(5).await.expect("the front starts again");
    wait_until("the stage of version 2 has ended", || wall_clock_whole_second_ms() > deadline_ms).await;
    wait_for_verdicts(&fleet, 1, &["behind", "in_step", "torn", "behind", "adrift", "in_step"]).await;
    let relays = fleet.fronts.relays.clone().expect("the fronts share state");
    relays.split(|front| front == 5);
    wait_for_verdicts(&fleet, 1, &["behind", "in_step", "torn", "behind", "adrift", "unheard"]).await;

    // The split ends and all fronts are configured for version 2: all are in step.
    relays.restore();
    drop(old_front);
    for front in [0, 2, 3, 4] {
        change_front_config(fleet.folder(), front, change_to_version_2);
    }
    for front in [0, 2, 3] {
        fleet.restart(front).await;
    }
    fleet.fronts.start(4).await.expect("the front starts");
    for front in 0..6 {
        wait_for_verdicts(&fleet, front, &["in_step"; 6]).await;
    }
    let output = run_drift_command(&fleet, 3, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stdout));
    fleet.fronts.kill(3).await;
    assert_eq!(run_drift_command(&fleet, 3, &[]).status.code(), Some(2), "the front does not run");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn front_behind_in_a_rule_uses_the_stricter_value_until_in_step() {
    let _exclusive = sharing::exclusive_run().await;
    let fleet = start_fleet(1, 1, true).await;
    let mut stricter = sections(fleet.folder(), 0);
    set_value(&mut stricter, "rules", "drain_grace_ms", json!(300.0));
    set_value(&mut stricter, "rules", "overload_factor", json!(9.0));
    set_value(&mut stricter, "floors", "paid", json!(1));
    let original = sections(fleet.folder(), 0);
    approve(
        fleet.folder(),
        stricter,
        wall_clock_whole_second_ms() - 30_000.0,
        wall_clock_whole_second_ms() - 30_000.0,
    );
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("goes by the stricter figure", 2).await;
    let log = fleet.front_log(0);
    assert!(log.contains(r#""path":"floors.paid","own":0.0,"figure":1.0"#), "{log}");
    assert!(log.contains(r#""path":"rules.drain_grace_ms","own":400.0,"figure":300.0"#), "{log}");
    assert!(!log.contains(r#""path":"rules.overload_factor""#), "the own value is the stricter one");
    let status = query_status(&fleet, 0);
    assert_eq!(verdict(&status, 0), "behind", "a stricter value in use does not make the front in step");
    // A truncated file: the current version stays in use.
    let valid =
        std::fs::read_to_string(fleet.folder().join("approved.jsonl")).expect("the chain is readable");
    let replace_approved = |text: &str| {
        pulleystair_fake_servers::files::replace(&fleet.folder().join("approved.jsonl"), text)
            .expect("the chain is replaced");
    };
    replace_approved(&format!("{valid}half a li"));
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("approved version not taken", 1).await;
    replace_approved(&valid);
    // A third version with the content of the first: the front is in step, so its own values are in use again.
    approve(
        fleet.folder(),
        original,
        wall_clock_whole_second_ms() - 20_000.0,
        wall_clock_whole_second_ms() - 20_000.0,
    );
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("goes by its own figure again", 2).await;
    wait_for_verdicts(&fleet, 0, &["in_step"]).await;
}

/// Changes no file.
fn leave_files(_: &Path) {}

#[test_case(|config| config["fleet"]["peers"] = json!([]), leave_files, "fleet.name, listen, peers"; "no peers")]
#[test_case(|config| config["fleet"]["peers"] = json!([config["fleet"]["peers"][0]]), leave_files, "fleet.peers: found 1 of them"; "a missing peer")]
#[test_case(|config| config["fleet"]["peers"][1]["name"] = json!("front-0"), leave_files, "fleet.peers[1].name"; "a duplicate name")]
#[test_case(|config| config["fleet"]["name"] = json!("no/name"), leave_files, "fleet.name"; "an invalid name")]
#[test_case(|config| config["sharing"]["lend_ms"] = json!(1), leave_files, "sharing.lend_ms"; "loans shorter than gossip rounds")]
#[test_case(|config| config["sharing"]["ask"] = json!("0.0.0.0:1"), leave_files, "sharing.ask"; "a status address open to all")]
#[test_case(|config| config["fleet"]["listen"] = json!("192.0.2.1:1"), leave_files, "fleet.listen: 192.0.2.1:1 can't be had"; "a foreign listen address")]
#[test_case(|config| config["sharing"]["approved"] = json!("nowhere"), leave_files, "sharing.approved"; "a missing version file")]
#[test_case(|_| {}, |folder| std::fs::write(folder.join("approved.jsonl"), "{").expect("written"), "line 1"; "versions that do not parse")]
#[test_case(|_| {}, append_version_without_parent, "parent: missing"; "a version without a parent")]
#[test_case(|_| {}, append_version_with_early_stage, "lies in the past"; "a version whose stage starts before its approval")]
#[test_case(|_| {}, append_version_with_invalid_rule, "version 2: rules.cold_from: 7"; "a version with an invalid value")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_configuration_fails_the_start_with_path_and_cause(
    change: fn(&mut Value),
    change_files: fn(&Path),
    cause: &str,
) {
    let fleet = start_fleet(2, 0, false).await;
    change_front_config(fleet.folder(), 0, change);
    change_files(fleet.folder());
    let file = fleet.folder().join("front-0.json");
    let output = Command::new(EDGE).args(["run"]).arg(file).output().expect("the front runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && text.contains(cause), "{cause}: {text}");
}

/// Appends version 2 to the chain, changes it and writes the chain again without validation.
fn append_changed_version(folder: &Path, change: impl FnOnce(&mut ApprovedVersion)) {
    approve(folder, sections(folder, 0), wall_clock_whole_second_ms(), wall_clock_whole_second_ms());
    let mut second = chain(folder).versions[1].clone();
    change(&mut second);
    let text = chain(folder).versions[0].to_line() + &second.to_line();
    std::fs::write(folder.join("approved.jsonl"), text).expect("the chain is written");
}

/// Appends a version 2 without the digest of its parent, unvalidated.
fn append_version_without_parent(folder: &Path) {
    append_changed_version(folder, |d| d.parent = None);
}

/// Appends a version 2 whose stage starts before the version was approved, unvalidated.
fn append_version_with_early_stage(folder: &Path) {
    append_changed_version(folder, |d| d.stages[0].from_ms = 1.0);
}

/// Appends a version 2 with an invalid value of a rule, unvalidated.
fn append_version_with_invalid_rule(folder: &Path) {
    append_changed_version(folder, |d| set_value(&mut d.sections, "rules", "cold_from", json!(7)));
}
