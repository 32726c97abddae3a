//! Approved versions over many fronts as processes: who goes by which, who is not heard, and what a front does that finds
//! itself adrift.

mod company;
mod house;

use company::{Fake, change_rundown, sharing, told, until};
use house::House;
use pulleystair_drift::Sections;
use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_edge::active_config;
use pulleystair_edge::config::Config;
use pulleystair_lab::fronts::Program;
use serde_json::{Value, json};
use std::path::Path;
use std::process::{Command, Output};
use test_case::test_case;

const EDGE: &str = env!("CARGO_BIN_EXE_pulleystair-edge");

fn wall() -> f64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a clock").as_secs_f64().floor() * 1000.0
}

/// What a rundown comes to, less the list, which changes by itself.
fn sections(folder: &Path, front: usize) -> Sections {
    let rundown = Config::read(&folder.join(format!("front-{front}.json"))).expect("it reads");
    let mut it = active_config::sections(&rundown, Value::Null);
    it.remove("list");
    it
}

fn set(sections: &mut Sections, section: &str, name: &str, value: Value) {
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
async fn fleet(fronts: usize, count: usize, stricter: bool) -> House {
    let mut day = sharing(fronts, 2);
    day["limits"] = json!({ "keys_poll_ms": 600_000 });
    day["sharing"]["approved"] = json!("approved.jsonl");
    day["sharing"]["stricter"] = json!(stricter);
    House::some(day, Program::edge(EDGE.into()), count, |_, folder| {
        // The file must be there for a rundown to be read.
        let then = wall() - 60_000.0;
        std::fs::write(folder.join("approved.jsonl"), "").expect("it is written");
        approve(folder, sections(folder, 0), then, then);
    })
    .await
}

fn verdict(of: &Value, front: usize) -> String {
    let all = of["drift"]["fronts"].as_array().into_iter().flatten();
    let mut it = all.filter(|f| f["front"] == format!("front-{front}"));
    it.next().and_then(|f| f["verdict"]["is"].as_str()).unwrap_or("none").to_string()
}

/// Waits until a front says these of all.
async fn says(house: &House, by: usize, verdicts: &[&str]) {
    let since = std::time::Instant::now();
    until(&format!("front {by} says {verdicts:?}"), || {
        let it = told(house, by);
        (0..verdicts.len()).all(|f| verdict(&it, f) == verdicts[f])
    })
    .await;
    println!("{:?} until front {by} said {verdicts:?}", since.elapsed());
}

fn drift(house: &House, front: usize, more: &[&str]) -> Output {
    let file = house.folder().join(format!("front-{front}.json"));
    let run = || Command::new(EDGE).args(["--level", "error", "drift"]).arg(file).args(more).output();
    tokio::task::block_in_place(run).expect("it runs")
}

fn newer(it: &mut Value) {
    it["rules"]["drain_grace_ms"] = json!(300);
    it["ladder"][0]["rate_kb"] = json!(9);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_rollout_with_one_that_missed_it_one_torn_one_old_program_and_one_cut_off() {
    let _alone = company::alone().await;
    let mut house = fleet(6, 4, false).await;
    // Front 5 is real and started last; front 4 is an older program.
    house.fronts.start(5).await.expect("it starts");
    let mut older = sections(house.folder(), 0);
    older.insert("policy".into(), json!("of last year"));
    let approved = chain(house.folder());
    let old = Fake::of(&house, 4, "here", move |fellow, _| {
        let _ = fellow.set_approved(approved.clone());
        fellow.set_active(older.clone());
    });
    says(&house, 0, &["in_step", "in_step", "in_step", "in_step", "adrift", "in_step"]).await;
    let out = drift(&house, 0, &[]);
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(out.status.code(), Some(1), "{text}");
    assert!(text.contains("1 adrift, 5 in step") && text.contains(r#"policy is "of last year""#), "{text}");

    // Version 2 is approved, and told to all but front 3.
    let by = wall() + 4_000.0;
    let new = house.folder().join("front-9.json");
    std::fs::copy(house.folder().join("front-0.json"), &new).expect("it is copied");
    change_rundown(house.folder(), 9, newer);
    approve(house.folder(), sections(house.folder(), 9), wall() - 30_000.0, by);
    for front in [0, 1, 2, 5] {
        house.signal(front, "-HUP").await;
    }
    says(&house, 0, &["on_its_way", "on_its_way", "on_its_way", "on_its_way", "adrift", "on_its_way"]).await;
    // Who missed it can't say whether the others are in step.
    says(&house, 3, &["unknown", "unknown", "unknown", "in_step"]).await;
    assert_eq!(drift(&house, 3, &["--json"]).status.code(), Some(1), "front 4 is adrift by either version");

    // Fronts 1 and 5 take it; front 2 takes half of it.
    for front in [1, 5] {
        change_rundown(house.folder(), front, newer);
    }
    change_rundown(house.folder(), 2, |it| it["rules"]["drain_grace_ms"] = json!(300));
    house.restart(1).await;
    house.restart(2).await;
    house.fronts.kill(5).await;
    house.fronts.start(5).await.expect("it starts again");
    until("its stage is over", || wall() > by).await;
    says(&house, 1, &["behind", "in_step", "torn", "behind", "adrift", "in_step"]).await;
    let between = house.fronts.between.clone().expect("they share");
    between.split(|front| front == 5);
    says(&house, 1, &["behind", "in_step", "torn", "behind", "adrift", "unheard"]).await;

    // Healed: all in step, and no verdict is left over.
    between.heal();
    drop(old);
    for front in [0, 2, 3, 4] {
        change_rundown(house.folder(), front, newer);
    }
    for front in [0, 2, 3] {
        house.restart(front).await;
    }
    house.fronts.start(4).await.expect("it starts");
    for by in 0..6 {
        says(&house, by, &["in_step"; 6]).await;
    }
    let out = drift(&house, 3, &[]);
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stdout));
    house.fronts.kill(3).await;
    assert_eq!(drift(&house, 3, &[]).status.code(), Some(2), "a front that does not run can't say");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_front_that_is_out_of_step_in_a_rule_goes_by_the_stricter_figure_until_it_is_in_step() {
    let _alone = company::alone().await;
    let house = fleet(1, 1, true).await;
    let mut strict = sections(house.folder(), 0);
    set(&mut strict, "rules", "drain_grace_ms", json!(300.0));
    set(&mut strict, "rules", "overload_factor", json!(9.0));
    set(&mut strict, "floors", "paid", json!(1));
    let lax = sections(house.folder(), 0);
    approve(house.folder(), strict, wall() - 30_000.0, wall() - 30_000.0);
    house.signal(0, "-HUP").await;
    house.says("goes by the stricter figure", 2).await;
    let log = house.log_of(0);
    assert!(log.contains(r#""path":"floors.paid","own":0.0,"figure":1.0"#), "{log}");
    assert!(log.contains(r#""path":"rules.drain_grace_ms","own":400.0,"figure":300.0"#), "{log}");
    assert!(!log.contains(r#""path":"rules.overload_factor""#), "its own is the stricter one");
    let it = told(&house, 0);
    assert_eq!(verdict(&it, 0), "behind", "what it holds itself to does not make it in step");
    // A file that is none, then one that approves what can't be meant: the version in hand stays.
    let good = std::fs::read_to_string(house.folder().join("approved.jsonl")).expect("it is there");
    let put = |text: &str| {
        pulleystair_fake_servers::files::replace(&house.folder().join("approved.jsonl"), text)
            .expect("written");
    };
    put(&format!("{good}half a li"));
    house.signal(0, "-HUP").await;
    house.says("approved version not taken", 1).await;
    put(&good);
    // The first version's content again, as a third: in step, so its own figures are in force again.
    approve(house.folder(), lax, wall() - 20_000.0, wall() - 20_000.0);
    house.signal(0, "-HUP").await;
    house.says("goes by its own figure again", 2).await;
    says(&house, 0, &["in_step"]).await;
}

fn spoil_nothing(_: &Path) {}

#[test_case(|it| it["fleet"]["peers"] = json!([]), spoil_nothing, "fleet.name, listen, peers"; "no peers")]
#[test_case(|it| it["fleet"]["peers"] = json!([it["fleet"]["peers"][0]]), spoil_nothing, "fleet.peers: found 1 of them"; "a peer is missing")]
#[test_case(|it| it["fleet"]["peers"][1]["name"] = json!("front-0"), spoil_nothing, "fleet.peers[1].name"; "one name twice")]
#[test_case(|it| it["fleet"]["name"] = json!("no/name"), spoil_nothing, "fleet.name"; "a name that can not be")]
#[test_case(|it| it["sharing"]["lend_ms"] = json!(1), spoil_nothing, "sharing.lend_ms"; "loans shorter than rounds")]
#[test_case(|it| it["sharing"]["ask"] = json!("0.0.0.0:1"), spoil_nothing, "sharing.ask"; "asked from anywhere")]
#[test_case(|it| it["fleet"]["listen"] = json!("192.0.2.1:1"), spoil_nothing, "fleet.listen: 192.0.2.1:1 can't be had"; "an address that is not ours")]
#[test_case(|it| it["sharing"]["approved"] = json!("nowhere"), spoil_nothing, "sharing.approved"; "no versions there")]
#[test_case(|_| {}, |folder| std::fs::write(folder.join("approved.jsonl"), "{").expect("written"), "line 1"; "versions that do not parse")]
#[test_case(|_| {}, no_parent, "parent: missing"; "a version without a parent")]
#[test_case(|_| {}, past, "lies in the past"; "a version of the past")]
#[test_case(|_| {}, cannot_be_meant, "version 2: rules.cold_from: 7"; "a version that breaks a rule itself")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_cannot_be_ends_the_start_with_path_and_cause(
    change: fn(&mut Value),
    spoil: fn(&Path),
    cause: &str,
) {
    let house = fleet(2, 0, false).await;
    change_rundown(house.folder(), 0, change);
    spoil(house.folder());
    let file = house.folder().join("front-0.json");
    let out = Command::new(EDGE).args(["run"]).arg(file).output().expect("it runs");
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && text.contains(cause), "{cause}: {text}");
}

fn rewrite(folder: &Path, change: impl FnOnce(&mut ApprovedVersion)) {
    approve(folder, sections(folder, 0), wall(), wall());
    let mut second = chain(folder).documents[1].clone();
    change(&mut second);
    let text = chain(folder).documents[0].line() + &second.line();
    std::fs::write(folder.join("approved.jsonl"), text).expect("it is written");
}

fn no_parent(folder: &Path) {
    rewrite(folder, |d| d.parent = None);
}

fn past(folder: &Path) {
    rewrite(folder, |d| d.stages[0].from_ms = 1.0);
}

fn cannot_be_meant(folder: &Path) {
    rewrite(folder, |d| set(&mut d.sections, "rules", "cold_from", json!(7)));
}
