//! Checks the stored histories in `histories/`, which were recorded with the real front and fake servers. Clean
//! histories must pass; for each rule there is one history of a front that was configured to break it, which must be
//! rejected for that rule and no other. They were written by `crates/edge/tests/rule_violations.rs` and
//! `scenario_runs.rs` with `PULLEYSTAIR_HISTORIES` set to that folder.

use pulleystair_rule_checker::Observed;
use pulleystair_rule_checker::history::{History, HistoryError};
use std::collections::BTreeSet;
use std::path::Path;
use test_case::test_case;

fn text(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("histories").join(format!("{name}.jsonl"));
    std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()))
}

fn read(name: &str) -> History {
    History::parse(&text(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

#[test_case("broken-1", &[1]; "responds late")]
#[test_case("broken-2", &[2]; "sends a paid set-up again")]
#[test_case("broken-3", &[3]; "is not informed of drains")]
#[test_case("broken-4", &[4]; "overloads cold servers")]
#[test_case("broken-5", &[5]; "goes below the floor")]
#[test_case("broken-6", &[6]; "has no budget")]
#[test_case("stop", &[]; "killed with a paid set-up in flight")]
#[test_case("day-1", &[]; "short scenario with many faults")]
fn stored_histories_get_their_declared_verdict(name: &str, breaks: &[u8]) {
    let history = read(name);
    assert_eq!(history.header.breaks, breaks);
    let verdict = history.verdict();
    assert_eq!(
        verdict.broken_rules(),
        breaks.iter().copied().collect::<BTreeSet<u8>>(),
        "{:?}",
        verdict.breaches
    );
    let coverage = &verdict.coverage;
    assert!(coverage.requests > 0 && (coverage.set_ups > 0 || breaks == [1]), "{coverage:?}");
    if name == "day-1" {
        let all = [coverage.further_allocations, coverage.drains, coverage.cold_set_ups, coverage.segments];
        assert!(coverage.set_ups > 100 && all.iter().all(|n| *n > 0), "{coverage:?}");
    }
    assert_eq!(
        History::parse(&history.to_text().expect("a history can be serialized"))
            .expect("a formatted history can be parsed")
            .observations,
        history.observations
    );
}

/// Guards against checks that pass without looking at the data: changing one observation of a clean history must break
/// the rule that depends on it.
#[test_case(|s| matches!(s, Observed::Answered { .. }), |_| None, 1; "a response is missing")]
#[test_case(|s| matches!(s, Observed::Done { status: 200, .. }), |_| None, 1; "a response of 200 without a set-up")]
#[test_case(|s| matches!(s, Observed::SetUp { .. }), |s| match s {
    Observed::SetUp { server, allocation, session, product, title, .. } =>
        Some(Observed::SetUp { server, allocation, session, product, title, rung: 99 }),
    other => Some(other),
}, 5; "a rung above the top")]
fn changing_one_observation_of_a_clean_history_is_rejected(
    matches_kind: fn(&Observed) -> bool,
    change: fn(Observed) -> Option<Observed>,
    rule: u8,
) {
    let mut history = read("day-1");
    let index = history
        .observations
        .iter()
        .position(|s| matches_kind(&s.what))
        .expect("the history contains such an observation");
    let observation = history.observations.remove(index);
    if let Some(what) = change(observation.what) {
        history
            .observations
            .insert(index, pulleystair_rule_checker::Observation { at: observation.at, what });
    }
    assert_eq!(history.verdict().broken_rules().into_iter().collect::<Vec<u8>>(), [rule]);
}

fn parse_error(text: &str) -> HistoryError {
    History::parse(text).map(|_| ()).expect_err("the history is damaged")
}

#[test]
fn damaged_history_is_an_error_with_its_line() {
    let full_text = text("broken-3");
    let lines: Vec<&str> = full_text.lines().collect();
    for cut in 0..full_text.len() - 1 {
        assert!(History::parse(&full_text[..cut]).is_err(), "cut at byte {cut}");
    }
    for line in 0..lines.len() {
        let without: Vec<&str> =
            lines.iter().enumerate().filter(|(i, _)| *i != line).map(|(_, l)| *l).collect();
        assert!(History::parse(&without.join("\n")).is_err(), "without line {}", line + 1);
    }
    let error_with = |line: usize, text: &str| {
        let mut lines = lines.clone();
        lines[line] = text;
        parse_error(&lines.join("\n"))
    };
    assert_eq!(error_with(2, "{\"at\":1,\"what\":{\"what\":\"flew\"}}").line, 3);
    assert!(
        error_with(1, "{\"at\":1,\"what\":{\"what\":\"listed\",\"server\":4,\"ready\":true}}")
            .cause
            .contains("server 4")
    );
    assert!(error_with(0, &lines[0].replace("\"history\":1", "\"history\":2")).cause.contains("format 2"));
    assert_eq!(parse_error("").line, 1);
    let no_observations = format!("{}\n{{\"end\":0}}\n", lines[0]);
    assert!(parse_error(&no_observations).cause.contains("nothing to check"));
}
