//! Tests of verdicts and of the chain of approved versions, for cases that are easily judged wrongly.

use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_drift::detector::Detector;
use pulleystair_drift::stricter::stricter;
use pulleystair_drift::verdict::{KnownFront, Verdict, judge};
use pulleystair_drift::{ConfigReport, Sections, differences};
use serde_json::{Value, json};
use test_case::test_case;

/// Sections with two values that the tests vary: one of a rule, and one of the ladder.
fn sections(grace: f64, ladder: f64) -> Sections {
    let rules = json!({ "drain_grace_ms": grace, "cold_ms": 3000 });
    Sections::from([("rules".into(), rules), ("ladder".into(), json!([ladder, 200]))])
}

/// Version 1 is allowed and required from 0 on; version 2 from 1,000 and by 2,000, for front `b` from 3,000 and by 4,000.
fn chain() -> VersionChain {
    let stage = |fronts: &[&str], from_ms, by_ms| RolloutStage {
        fronts: fronts.iter().map(|f| (*f).to_string()).collect(),
        from_ms,
        by_ms,
    };
    let mut chain = VersionChain::default();
    let first = next_version(&chain, sections(400.0, 100.0), 0.0, vec![stage(&[], 0.0, 0.0)]);
    chain.append(first).expect("it is valid as the first version");
    let stages = vec![stage(&["b"], 3_000.0, 4_000.0), stage(&[], 1_000.0, 2_000.0)];
    chain
        .append(next_version(&chain, sections(300.0, 150.0), 500.0, stages))
        .expect("it follows the previous version");
    chain
}

/// A version that follows the last one of a chain.
fn next_version(
    after: &VersionChain,
    sections: Sections,
    at_ms: f64,
    stages: Vec<RolloutStage>,
) -> ApprovedVersion {
    let head = after.head();
    ApprovedVersion {
        number: head.map_or(1, |d| d.number + 1),
        parent: head.map(ApprovedVersion::digest),
        sections,
        stages,
        by: "the night shift".into(),
        at_ms,
    }
}

/// A front that reports these active sections.
fn known_front(front: &str, active: &Sections, chain: &VersionChain) -> KnownFront {
    let report = ConfigReport::new(active, chain.head_id(), differences(&chain.sections(1), active));
    KnownFront {
        name: front.into(),
        age: 10.0,
        unheard: false,
        contradictory: false,
        config_report: ConfigReport::decode(&report.encode()),
    }
}

#[test_case("a", 500.0, 400.0, 100.0, "in step"; "the first version is in force")]
#[test_case("a", 500.0, 300.0, 150.0, "ahead"; "the second is not allowed yet")]
#[test_case("a", 1_500.0, 400.0, 100.0, "on its way"; "the first is still allowed")]
#[test_case("a", 1_500.0, 300.0, 150.0, "in step"; "the second is allowed")]
#[test_case("a", 2_500.0, 400.0, 100.0, "behind"; "the first is no longer allowed")]
#[test_case("b", 2_500.0, 400.0, 100.0, "in step"; "a later stage still runs the first")]
#[test_case("b", 2_500.0, 300.0, 150.0, "ahead"; "a later stage runs the second too early")]
#[test_case("a", 2_500.0, 300.0, 100.0, "torn"; "rule new and ladder old")]
#[test_case("a", 1_500.0, 400.0, 150.0, "torn"; "rule old and ladder new")]
#[test_case("a", 2_500.0, 250.0, 150.0, "adrift"; "a value that was never approved")]
fn a_verdict_depends_on_the_fronts_rollout_stage(
    front: &str,
    wall_clock: f64,
    grace: f64,
    ladder: f64,
    expected: &str,
) {
    let chain = chain();
    assert_eq!(
        judge(&chain, wall_clock, &known_front(front, &sections(grace, ladder), &chain)).0.name(),
        expected
    );
}

#[test]
fn a_rollback_version_with_old_content_is_judged_by_its_content() {
    let mut chain = chain();
    let all = vec![RolloutStage { fronts: vec![], from_ms: 2_600.0, by_ms: 2_900.0 }];
    chain
        .append(next_version(&chain, sections(400.0, 100.0), 2_600.0, all))
        .expect("it follows the previous version");
    let verdict = |wall_clock, grace, ladder| {
        judge(&chain, wall_clock, &known_front("a", &sections(grace, ladder), &chain)).0.name()
    };
    assert_eq!([verdict(2_700.0, 400.0, 100.0), verdict(2_700.0, 300.0, 150.0)], ["in step", "on its way"]);
    assert_eq!([verdict(3_000.0, 400.0, 100.0), verdict(3_000.0, 300.0, 150.0)], ["in step", "behind"]);
}

#[test]
fn a_version_replaced_during_rollout_is_not_required() {
    let mut chain = chain();
    let all = vec![RolloutStage { fronts: vec![], from_ms: 1_500.0, by_ms: 5_000.0 }];
    chain
        .append(next_version(&chain, sections(350.0, 175.0), 1_500.0, all))
        .expect("it follows the previous version");
    let verdict = |wall_clock, grace, ladder| {
        judge(&chain, wall_clock, &known_front("a", &sections(grace, ladder), &chain)).0.name()
    };
    assert_eq!([verdict(1_800.0, 400.0, 100.0), verdict(1_800.0, 300.0, 150.0)], ["on its way"; 2]);
    assert_eq!([verdict(2_500.0, 400.0, 100.0), verdict(2_500.0, 350.0, 175.0)], ["behind", "in step"]);
}

#[test]
fn unheard_and_contradictory_fronts_are_never_in_step() {
    let chain = chain();
    let in_step = known_front("a", &sections(300.0, 150.0), &chain);
    let silent = KnownFront { unheard: true, age: f64::INFINITY, ..in_step.clone() };
    assert_eq!(judge(&chain, 2_500.0, &silent).0, Verdict::Unheard { age: None });
    let contradictory = KnownFront { contradictory: true, ..in_step };
    assert_eq!(judge(&chain, 2_500.0, &contradictory).0, Verdict::Contradictory);
}

/// A partitioned fleet approved a different version 2 on each side. Both sides must report the fork, until one of the two
/// versions is on both sides.
#[test]
fn a_fork_is_reported_on_both_sides_and_heals() {
    let (left, mut right) = (chain(), VersionChain::default());
    right.append(left.versions[0].clone()).expect("it is valid as the first version");
    let all = vec![RolloutStage { fronts: vec![], from_ms: 1_000.0, by_ms: 2_000.0 }];
    right
        .append(next_version(&right, sections(200.0, 100.0), 600.0, all))
        .expect("it follows the previous version");
    for (ours, theirs, active) in
        [(&left, &right, sections(200.0, 100.0)), (&right, &left, sections(300.0, 150.0))]
    {
        let fleet = Detector::new(0.0).observe("a", 2_500.0, ours, &[known_front("b", &active, theirs)]);
        assert!(fleet.forked && fleet.status() == 2, "{fleet:?}");
        assert_eq!(fleet.counts.get("contradictory"), Some(&1));
    }
    let fleet =
        Detector::new(0.0).observe("a", 2_500.0, &left, &[known_front("a", &sections(300.0, 150.0), &left)]);
    assert!(!fleet.forked && fleet.status() == 0);
    assert!(!left.is_prefix_of(&right) && left.is_prefix_of(&left));
}

#[test]
fn a_version_unknown_to_the_reader_is_reported_as_unknown() {
    let long = chain();
    let mut short = VersionChain::default();
    short.append(long.versions[0].clone()).expect("it is valid as the first version");
    assert_eq!(
        judge(&short, 2_500.0, &known_front("a", &sections(300.0, 150.0), &long)).0,
        Verdict::Unknown { number: 2 }
    );
}

#[test]
fn a_verdict_shorter_than_the_alarm_delay_raises_no_alarm() {
    let (chain, mut detector) = (chain(), Detector::new(1_000.0));
    let mut observe = |wall_clock, grace, ladder| {
        let fleet =
            detector.observe("r", wall_clock, &chain, &[known_front("a", &sections(grace, ladder), &chain)]);
        (fleet.fronts[0].alarm, fleet.fronts[0].since, fleet.status())
    };
    assert_eq!(observe(2_500.0, 300.0, 100.0), (false, 2_500.0, 0));
    assert_eq!(observe(3_000.0, 300.0, 150.0), (false, 3_000.0, 0));
    assert_eq!(observe(3_100.0, 400.0, 100.0), (false, 3_100.0, 0));
    assert_eq!(observe(4_000.0, 400.0, 100.0), (false, 3_100.0, 0));
    assert_eq!(observe(4_200.0, 400.0, 100.0), (true, 3_100.0, 1));
}

#[test]
fn adrift_reports_the_differences_and_whether_a_rule_is_affected() {
    let chain = chain();
    let observe = |grace, ladder| {
        let front = known_front("a", &sections(grace, ladder), &chain);
        Detector::new(0.0).observe("r", 2_500.0, &chain, &[front]).fronts.remove(0)
    };
    let rule = observe(900.0, 150.0);
    assert!(rule.rule && rule.alarm);
    let difference = &rule.differences[0];
    assert_eq!(
        (difference.name.as_str(), difference.approved.as_str(), difference.active.as_str()),
        ("rules.drain_grace_ms", "300.0", "900.0")
    );
    assert_eq!(stricter(&rule.differences), [("rules.drain_grace_ms".to_string(), 300.0)]);
    let no_rule = observe(300.0, 160.0);
    assert!(!no_rule.rule && stricter(&no_rule.differences).is_empty());
}

/// The file of a chain.
fn text(chain: &VersionChain) -> String {
    chain.versions.iter().map(ApprovedVersion::to_line).collect()
}

#[test]
fn a_written_chain_parses_to_itself() {
    assert_eq!(VersionChain::parse(&text(&chain())).expect("the chain is valid"), chain());
}

/// The file of the two versions, with a change to the second one's JSON.
fn chain_with_change(change: impl Fn(&mut Value)) -> String {
    let mut version = chain().versions[1].clone();
    let mut value = serde_json::to_value(&version).expect("a version is plain JSON");
    change(&mut value);
    let first = chain().versions[0].to_line();
    match serde_json::from_value(value) {
        Ok(changed) => {
            version = changed;
            first + &version.to_line()
        }
        Err(_) => first,
    }
}

#[test_case("", "line 1: the file has no approved version"; "nothing")]
#[test_case("{", "line 1: EOF"; "no json")]
#[test_case(&chain().versions[1].to_line(), "line 1: parent: "; "no first")]
#[test_case(&text(&chain()).replace("200", "201"), "line 1: digest: "; "content changed")]
#[test_case(&chain_with_change(|d| d["parent"] = json!(null)), "line 2: parent: missing"; "no parent")]
#[test_case(&chain_with_change(|d| d["parent"] = json!("ab")), "line 2: parent: ab, but"; "another parent")]
#[test_case(&chain_with_change(|d| d["number"] = json!(1)), "line 2: number: found 1, expected 2"; "a number twice")]
#[test_case(&chain_with_change(|d| d["at_ms"] = json!(-5.0)), "line 2: at_ms: -5"; "approved before its parent")]
#[test_case(&chain_with_change(|d| d["stages"][0]["from_ms"] = json!(10.0)), "line 2: stages[0].from_ms: 10 "; "a date in the past")]
#[test_case(&chain_with_change(|d| d["stages"][0]["by_ms"] = json!(2_999.0)), "line 2: stages[0].by_ms"; "required before it is allowed")]
#[test_case(&chain_with_change(|d| d["by"] = json!(" ")), "line 2: by: nobody"; "nobody approved it")]
#[test_case(&chain_with_change(|d| d["sections"]["colour"] = json!(1)), "line 2: sections.colour"; "an unknown section")]
fn an_invalid_chain_is_rejected_with_line_and_cause(text: &str, cause: &str) {
    let error = VersionChain::parse(text).expect_err("the chain is invalid").to_string();
    assert!(error.starts_with(cause), "{error}");
}
