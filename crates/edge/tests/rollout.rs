//! Approved versions over many fronts as processes: who goes by which, who is not heard, and what a front does that finds
//! itself adrift.

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

fn wall_clock_ms() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a clock").as_secs_f64().floor() * 1000.0
}

/// What a rundown comes to, less the list, which changes by itself.
fn sections(folder: &Path, front: usize) -> Sections {
    let config = Config::read(&folder.join(format!("front-{front}.json"))).expect("it reads");
    let mut sections = active_config::sections(&config, Value::Null);
    sections.remove("list");
    sections
}

fn set_value(sections: &mut Sections, section: &str, name: &str, value: Value) {
    sections.get_mut(section).expect("it is there")[name] = value;
}

fn chain(folder: &Path) -> VersionChain {
    let text = std::fs::read_to_string(folder.join("approved.jsonl")).unwrap_or_default();
    if text.is_empty() { VersionChain::default() } else { VersionChain::parse(&text).expect("it reads") }
}

/// Approves these sections for all, to be had from then on, and by then.
fn approve(folder: &Path, sections: Sections, from_ms: f64, by_ms: f64) {
    let mut chain = chain(folder);
    let head = chain.head();
    let document = ApprovedVersion {
        number: head.map_or(1, |d| d.number + 1),
        parent: head.map(ApprovedVersion::digest),
        sections,
        stages: vec![RolloutStage { fronts: vec![], from_ms, by_ms }],
        by: "the night shift".into(),
        at_ms: head.map_or(from_ms, |d| d.at_ms),
    };
    chain.append(document).expect("it goes on");
    let text: String = chain.documents.iter().map(ApprovedVersion::line).collect();
    pulleystair_fake_servers::files::replace(&folder.join("approved.jsonl"), text).expect("it is written");
}

/// Fronts of which the first are started; each looks at the approved versions when it is told to, and goes by them now.
async fn start_fleet(fronts: usize, count: usize, stricter: bool) -> TestFleet {
    let mut scenario = sharing_scenario(fronts, 2);
    scenario["limits"] = json!({ "keys_poll_ms": 600_000 });
    scenario["sharing"]["approved"] = json!("approved.jsonl");
    scenario["sharing"]["stricter"] = json!(stricter);
    TestFleet::start_first(scenario, Program::edge(EDGE.into()), count, |_, folder| {
        // The file must be there for a rundown to be read.
        let approved_at = wall_clock_ms() - 60_000.0;
        std::fs::write(folder.join("approved.jsonl"), "").expect("it is written");
        approve(folder, sections(folder, 0), approved_at, approved_at);
    })
    .await
}

fn verdict(status: &Value, front: usize) -> String {
    let all = status["drift"]["fronts"].as_array().into_iter().flatten();
    let mut front_status = all.filter(|f| f["front"] == format!("front-{front}"));
    front_status.next().and_then(|f| f["verdict"]["is"].as_str()).unwrap_or("none").to_string()
}

/// Waits until a front says these of all.
async fn wait_for_verdicts(fleet: &TestFleet, front: usize, verdicts: &[&str]) {
    let started_at = std::time::Instant::now();
    wait_until(&format!("front {front} says {verdicts:?}"), || {
        let status = query_status(fleet, front);
        (0..verdicts.len()).all(|f| verdict(&status, f) == verdicts[f])
    })
    .await;
    println!("{:?} until front {front} said {verdicts:?}", started_at.elapsed());
}

fn run_drift_command(fleet: &TestFleet, front: usize, more_arguments: &[&str]) -> Output {
    let file = fleet.folder().join(format!("front-{front}.json"));
    let run =
        || Command::new(EDGE).args(["--level", "error", "drift"]).arg(file).args(more_arguments).output();
    tokio::task::block_in_place(run).expect("it runs")
}

fn change_to_version_2(config: &mut Value) {
    config["rules"]["drain_grace_ms"] = json!(300);
    config["ladder"][0]["rate_kb"] = json!(9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn rollout_verdicts_tell_behind_torn_adrift_and_unheard_fronts_apart() {
    let _exclusive = sharing::exclusive_run().await;
    let mut fleet = start_fleet(6, 4, false).await;
    // Front 5 is real and started last; front 4 is an older program.
    fleet.fronts.start(5).await.expect("it starts");
    let mut old_sections = sections(fleet.folder(), 0);
    old_sections.insert("policy".into(), json!("of last year"));
    let approved = chain(fleet.folder());
    let old_front = FakeFront::start_with(&fleet, 4, "here", move |member, _| {
        let _ = member.set_approved(approved.clone());
        member.set_active(old_sections.clone());
    });
    wait_for_verdicts(&fleet, 0, &["in_step", "in_step", "in_step", "in_step", "adrift", "in_step"]).await;
    let out = run_drift_command(&fleet, 0, &[]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(1), "{text}");
    assert!(text.contains("1 adrift, 5 in step") && text.contains(r#"policy is "of last year""#), "{text}");

    // Version 2 is approved, and told to all but front 3.
    let deadline_ms = wall_clock_ms() + 4_000.0;
    let new_file = fleet.folder().join("front-9.json");
    std::fs::copy(fleet.folder().join("front-0.json"), &new_file).expect("it is copied");
    change_front_config(fleet.folder(), 9, change_to_version_2);
    approve(fleet.folder(), sections(fleet.folder(), 9), wall_clock_ms() - 30_000.0, deadline_ms);
    for front in [0, 1, 2, 5] {
        fleet.signal(front, "-HUP").await;
    }
    wait_for_verdicts(
        &fleet,
        0,
        &["on_its_way", "on_its_way", "on_its_way", "on_its_way", "adrift", "on_its_way"],
    )
    .await;
    // Who missed it can't say whether the others are in step.
    wait_for_verdicts(&fleet, 3, &["unknown", "unknown", "unknown", "in_step"]).await;
    assert_eq!(
        run_drift_command(&fleet, 3, &["--json"]).status.code(),
        Some(1),
        "front 4 is adrift by either version"
    );

    // Fronts 1 and 5 take it; front 2 takes half of it.
    for front in [1, 5] {
        change_front_config(fleet.folder(), front, change_to_version_2);
    }
    change_front_config(fleet.folder(), 2, |config| config["rules"]["drain_grace_ms"] = json!(300));
    fleet.restart(1).await;
    fleet.restart(2).await;
    fleet.fronts.kill(5).await;
    fleet.fronts.start(5).await.expect("it starts again");
    wait_until("its stage is over", || wall_clock_ms() > deadline_ms).await;
    wait_for_verdicts(&fleet, 1, &["behind", "in_step", "torn", "behind", "adrift", "in_step"]).await;
    let relays = fleet.fronts.between.clone().expect("they share");
    relays.split(|front| front == 5);
    wait_for_verdicts(&fleet, 1, &["behind", "in_step", "torn", "behind", "adrift", "unheard"]).await;

    // Healed: all in step, and no verdict is left over.
    relays.heal();
    drop(old_front);
    for front in [0, 2, 3, 4] {
        change_front_config(fleet.folder(), front, change_to_version_2);
    }
    for front in [0, 2, 3] {
        fleet.restart(front).await;
    }
    fleet.fronts.start(4).await.expect("it starts");
    for front in 0..6 {
        wait_for_verdicts(&fleet, front, &["in_step"; 6]).await;
    }
    let out = run_drift_command(&fleet, 3, &[]);
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stdout));
    fleet.fronts.kill(3).await;
    assert_eq!(
        run_drift_command(&fleet, 3, &[]).status.code(),
        Some(2),
        "a front that does not run can't say"
    );
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
    approve(fleet.folder(), stricter, wall_clock_ms() - 30_000.0, wall_clock_ms() - 30_000.0);
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("goes by the stricter figure", 2).await;
    let log = fleet.front_log(0);
    assert!(log.contains(r#""path":"floors.paid","own":0.0,"figure":1.0"#), "{log}");
    assert!(log.contains(r#""path":"rules.drain_grace_ms","own":400.0,"figure":300.0"#), "{log}");
    assert!(!log.contains(r#""path":"rules.overload_factor""#), "its own is the stricter one");
    let status = query_status(&fleet, 0);
    assert_eq!(verdict(&status, 0), "behind", "what it holds itself to does not make it in step");
    // A file that is none, then one that approves what can't be meant: the version in hand stays.
    let valid = std::fs::read_to_string(fleet.folder().join("approved.jsonl")).expect("it is there");
    let replace_approved = |text: &str| {
        pulleystair_fake_servers::files::replace(&fleet.folder().join("approved.jsonl"), text)
            .expect("written");
    };
    replace_approved(&format!("{valid}half a li"));
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("approved version not taken", 1).await;
    replace_approved(&valid);
    // The first version's content again, as a third: in step, so its own figures are in force again.
    approve(fleet.folder(), original, wall_clock_ms() - 20_000.0, wall_clock_ms() - 20_000.0);
    fleet.signal(0, "-HUP").await;
    fleet.wait_for_log("goes by its own figure again", 2).await;
    wait_for_verdicts(&fleet, 0, &["in_step"]).await;
}

fn leave_files(_: &Path) {}

#[test_case(|config| config["fleet"]["peers"] = json!([]), leave_files, "fleet.name, listen, peers"; "no peers")]
#[test_case(|config| config["fleet"]["peers"] = json!([config["fleet"]["peers"][0]]), leave_files, "fleet.peers: found 1 of them"; "a peer is missing")]
#[test_case(|config| config["fleet"]["peers"][1]["name"] = json!("front-0"), leave_files, "fleet.peers[1].name"; "one name twice")]
#[test_case(|config| config["fleet"]["name"] = json!("no/name"), leave_files, "fleet.name"; "a name that can not be")]
#[test_case(|config| config["sharing"]["lend_ms"] = json!(1), leave_files, "sharing.lend_ms"; "loans shorter than rounds")]
#[test_case(|config| config["sharing"]["ask"] = json!("0.0.0.0:1"), leave_files, "sharing.ask"; "asked from anywhere")]
#[test_case(|config| config["fleet"]["listen"] = json!("192.0.2.1:1"), leave_files, "fleet.listen: 192.0.2.1:1 can't be had"; "an address that is not ours")]
#[test_case(|config| config["sharing"]["approved"] = json!("nowhere"), leave_files, "sharing.approved"; "no versions there")]
#[test_case(|_| {}, |folder| std::fs::write(folder.join("approved.jsonl"), "{").expect("written"), "line 1"; "versions that do not parse")]
#[test_case(|_| {}, remove_parent, "parent: missing"; "a version without a parent")]
#[test_case(|_| {}, set_past_stage, "lies in the past"; "a version of the past")]
#[test_case(|_| {}, set_invalid_rule, "version 2: rules.cold_from: 7"; "a version that breaks a rule itself")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_configuration_fails_the_start_with_path_and_cause(
    change: fn(&mut Value),
    spoil: fn(&Path),
    cause: &str,
) {
    let fleet = start_fleet(2, 0, false).await;
    change_front_config(fleet.folder(), 0, change);
    spoil(fleet.folder());
    let file = fleet.folder().join("front-0.json");
    let out = Command::new(EDGE).args(["run"]).arg(file).output().expect("it runs");
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && text.contains(cause), "{cause}: {text}");
}

fn append_changed_version(folder: &Path, change: impl FnOnce(&mut ApprovedVersion)) {
    approve(folder, sections(folder, 0), wall_clock_ms(), wall_clock_ms());
    let mut second = chain(folder).documents[1].clone();
    change(&mut second);
    let text = chain(folder).documents[0].line() + &second.line();
    std::fs::write(folder.join("approved.jsonl"), text).expect("it is written");
}

fn remove_parent(folder: &Path) {
    append_changed_version(folder, |d| d.parent = None);
}

fn set_past_stage(folder: &Path) {
    append_changed_version(folder, |d| d.stages[0].from_ms = 1.0);
}

fn set_invalid_rule(folder: &Path) {
    append_changed_version(folder, |d| set_value(&mut d.sections, "rules", "cold_from", json!(7)));
}
