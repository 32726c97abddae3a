//! Verdicts and chains, a story a case that is easily told wrongly.

use pulleystair_drift::approved::{ApprovedVersion, RolloutStage, VersionChain};
use pulleystair_drift::detector::Detector;
use pulleystair_drift::stricter::stricter;
use pulleystair_drift::verdict::{FrontReport, Verdict, judge};
use pulleystair_drift::{ActiveVersion, Sections, differences};
use serde_json::{Value, json};
use test_case::test_case;

fn sections(grace: f64, ladder: f64) -> Sections {
    let rules = json!({ "drain_grace_ms": grace, "cold_ms": 3000 });
    Sections::from([("rules".into(), rules), ("ladder".into(), json!([ladder, 200]))])
}

/// Version 1 from 0 on, version 2 from 1,000 and by 2,000, for `b` from 3,000 and by 4,000.
fn chain() -> VersionChain {
    let stage = |fronts: &[&str], from_ms, by_ms| RolloutStage {
        fronts: fronts.iter().map(|f| (*f).to_string()).collect(),
        from_ms,
        by_ms,
    };
    let mut chain = VersionChain::default();
    let one = document(&chain, sections(400.0, 100.0), 0.0, vec![stage(&[], 0.0, 0.0)]);
    chain.append(one).expect("it is the first");
    let stages = vec![stage(&["b"], 3_000.0, 4_000.0), stage(&[], 1_000.0, 2_000.0)];
    chain.append(document(&chain, sections(300.0, 150.0), 500.0, stages)).expect("it goes on");
    chain
}

fn document(
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

fn word(front: &str, active: &Sections, chain: &VersionChain) -> FrontReport {
    let active = ActiveVersion::new(active, chain.head_id(), differences(&chain.sections(1), active));
    FrontReport {
        front: front.into(),
        age: 10.0,
        unheard: false,
        contradictory: false,
        active: ActiveVersion::decode(&active.encode()),
    }
}

#[test_case("a", 500.0, 400.0, 100.0, "in step"; "the first version is in force")]
#[test_case("a", 500.0, 300.0, 150.0, "ahead"; "the second may not be had yet")]
#[test_case("a", 1_500.0, 400.0, 100.0, "on its way"; "the first may still be had")]
#[test_case("a", 1_500.0, 300.0, 150.0, "in step"; "the second may be had")]
#[test_case("a", 2_500.0, 400.0, 100.0, "behind"; "the first must no longer be had")]
#[test_case("b", 2_500.0, 400.0, 100.0, "in step"; "a later stage still goes by the first")]
#[test_case("b", 2_500.0, 300.0, 150.0, "ahead"; "a later stage that has the second too soon")]
#[test_case("a", 2_500.0, 300.0, 100.0, "torn"; "part new and part old")]
#[test_case("a", 1_500.0, 400.0, 150.0, "torn"; "part old and part new")]
#[test_case("a", 2_500.0, 250.0, 150.0, "adrift"; "a value that was never approved")]
fn a_front_is_judged_by_its_stage(front: &str, wall: f64, grace: f64, ladder: f64, is: &str) {
    let chain = chain();
    assert_eq!(judge(&chain, wall, &word(front, &sections(grace, ladder), &chain)).0.name(), is);
}

#[test]
fn a_version_rolled_back_by_another_of_the_same_content_is_in_step_with_both() {
    let mut chain = chain();
    let all = vec![RolloutStage { fronts: vec![], from_ms: 2_600.0, by_ms: 2_900.0 }];
    chain.append(document(&chain, sections(400.0, 100.0), 2_600.0, all)).expect("it goes on");
    let is = |wall, grace, ladder| judge(&chain, wall, &word("a", &sections(grace, ladder), &chain)).0.name();
    assert_eq!([is(2_700.0, 400.0, 100.0), is(2_700.0, 300.0, 150.0)], ["in step", "on its way"]);
    assert_eq!([is(3_000.0, 400.0, 100.0), is(3_000.0, 300.0, 150.0)], ["in step", "behind"]);
}

#[test]
fn a_version_replaced_in_mid_rollout_need_not_be_had() {
    let mut chain = chain();
    let all = vec![RolloutStage { fronts: vec![], from_ms: 1_500.0, by_ms: 5_000.0 }];
    chain.append(document(&chain, sections(350.0, 175.0), 1_500.0, all)).expect("it goes on");
    let is = |wall, grace, ladder| judge(&chain, wall, &word("a", &sections(grace, ladder), &chain)).0.name();
    assert_eq!([is(1_800.0, 400.0, 100.0), is(1_800.0, 300.0, 150.0)], ["on its way"; 2]);
    assert_eq!([is(2_500.0, 400.0, 100.0), is(2_500.0, 350.0, 175.0)], ["behind", "in step"]);
}

#[test]
fn who_is_not_heard_is_never_in_step_and_who_says_two_things_is_neither() {
    let chain = chain();
    let well = word("a", &sections(300.0, 150.0), &chain);
    let silent = FrontReport { unheard: true, age: f64::INFINITY, ..well.clone() };
    assert_eq!(judge(&chain, 2_500.0, &silent).0, Verdict::Unheard { age: None });
    let twice = FrontReport { contradictory: true, ..well };
    assert_eq!(judge(&chain, 2_500.0, &twice).0, Verdict::Contradictory);
}

/// A fleet that was split approved another version 2 on each side; then one of them is on both.
#[test]
fn a_fork_is_told_on_both_sides_and_heals() {
    let (left, mut right) = (chain(), VersionChain::default());
    right.append(left.documents[0].clone()).expect("the same first");
    let all = vec![RolloutStage { fronts: vec![], from_ms: 1_000.0, by_ms: 2_000.0 }];
    right.append(document(&right, sections(200.0, 100.0), 600.0, all)).expect("it goes on");
    for (ours, theirs, active) in
        [(&left, &right, sections(200.0, 100.0)), (&right, &left, sections(300.0, 150.0))]
    {
        let fleet = Detector::new(0.0).observe("a", 2_500.0, ours, &[word("b", &active, theirs)]);
        assert!(fleet.forked && fleet.status() == 2, "{fleet:?}");
        assert_eq!(fleet.counts.get("contradictory"), Some(&1));
    }
    let fleet = Detector::new(0.0).observe("a", 2_500.0, &left, &[word("a", &sections(300.0, 150.0), &left)]);
    assert!(!fleet.forked && fleet.status() == 0);
    assert!(!left.is_prefix_of(&right) && left.is_prefix_of(&left));
}

#[test]
fn a_version_that_the_reader_does_not_have_is_unknown() {
    let long = chain();
    let mut short = VersionChain::default();
    short.append(long.documents[0].clone()).expect("the first");
    assert_eq!(
        judge(&short, 2_500.0, &word("a", &sections(300.0, 150.0), &long)).0,
        Verdict::Unknown { number: 2 }
    );
}

#[test]
fn what_passes_within_the_hold_time_is_no_alarm() {
    let (chain, mut detector) = (chain(), Detector::new(1_000.0));
    let mut look = |wall, grace, ladder| {
        let fleet = detector.observe("r", wall, &chain, &[word("a", &sections(grace, ladder), &chain)]);
        (fleet.fronts[0].alarm, fleet.fronts[0].since, fleet.status())
    };
    assert_eq!(look(2_500.0, 300.0, 100.0), (false, 2_500.0, 0));
    assert_eq!(look(3_000.0, 300.0, 150.0), (false, 3_000.0, 0));
    assert_eq!(look(3_100.0, 400.0, 100.0), (false, 3_100.0, 0));
    assert_eq!(look(4_000.0, 400.0, 100.0), (false, 3_100.0, 0));
    assert_eq!(look(4_200.0, 400.0, 100.0), (true, 3_100.0, 1));
}

#[test]
fn adrift_says_what_differs_and_whether_a_rule_does() {
    let chain = chain();
    let look = |grace, ladder| {
        let it = word("a", &sections(grace, ladder), &chain);
        Detector::new(0.0).observe("r", 2_500.0, &chain, &[it]).fronts.remove(0)
    };
    let rule = look(900.0, 150.0);
    assert!(rule.rule && rule.alarm);
    let told = &rule.differences[0];
    assert_eq!(
        (told.name.as_str(), told.approved.as_str(), told.active.as_str()),
        ("rules.drain_grace_ms", "300.0", "900.0")
    );
    assert_eq!(stricter(&rule.differences), [("rules.drain_grace_ms".to_string(), 300.0)]);
    let other = look(300.0, 160.0);
    assert!(!other.rule && stricter(&other.differences).is_empty());
}

fn text(chain: &VersionChain) -> String {
    chain.documents.iter().map(ApprovedVersion::line).collect()
}

#[test]
fn a_chain_reads_as_it_was_written() {
    assert_eq!(VersionChain::parse(&text(&chain())).expect("it reads"), chain());
}

fn spoilt(change: impl Fn(&mut Value)) -> String {
    let mut document = chain().documents[1].clone();
    let mut it = serde_json::to_value(&document).expect("it is plain");
    change(&mut it);
    let first = chain().documents[0].line();
    match serde_json::from_value(it) {
        Ok(changed) => {
            document = changed;
            first + &document.line()
        }
        Err(_) => first,
    }
}

#[test_case("", "line 1: no version is approved"; "nothing")]
#[test_case("{", "line 1: EOF"; "no json")]
#[test_case(&chain().documents[1].line(), "line 1: parent: "; "no first")]
#[test_case(&text(&chain()).replace("200", "201"), "line 1: digest: "; "content changed")]
#[test_case(&spoilt(|d| d["parent"] = json!(null)), "line 2: parent: missing"; "no parent")]
#[test_case(&spoilt(|d| d["parent"] = json!("ab")), "line 2: parent: ab, but"; "another parent")]
#[test_case(&spoilt(|d| d["number"] = json!(1)), "line 2: number: 1; 2 comes next"; "a number twice")]
#[test_case(&spoilt(|d| d["at_ms"] = json!(-5.0)), "line 2: at_ms: -5"; "approved before the one before")]
#[test_case(&spoilt(|d| d["stages"][0]["from_ms"] = json!(10.0)), "line 2: stages[0].from_ms: 10 "; "a date in the past")]
#[test_case(&spoilt(|d| d["stages"][0]["by_ms"] = json!(2_999.0)), "line 2: stages[0].by_ms"; "due before it may be had")]
#[test_case(&spoilt(|d| d["by"] = json!(" ")), "line 2: by: nobody"; "nobody approved it")]
#[test_case(&spoilt(|d| d["sections"]["colour"] = json!(1)), "line 2: sections.colour"; "an unknown section")]
fn a_chain_that_is_not_one_is_refused_with_line_and_cause(text: &str, cause: &str) {
    let fault = VersionChain::parse(text).expect_err("it is no chain").to_string();
    assert!(fault.starts_with(cause), "{fault}");
}
