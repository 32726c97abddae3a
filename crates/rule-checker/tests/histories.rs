//! Histories of the real front against the stand-ins, kept in `histories/`: sound ones that must pass, and one of a
//! front broken on purpose for each rule, which must be rejected for that rule and no other. They were written by
//! `crates/edge/tests/broken.rs` and `days.rs` with `PULLEYSTAIR_HISTORIES` set to that folder.

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

#[test_case("broken-1", &[1]; "answers late")]
#[test_case("broken-2", &[2]; "sends a paid set-up again")]
#[test_case("broken-3", &[3]; "does not hear of drains")]
#[test_case("broken-4", &[4]; "rushes cold servers")]
#[test_case("broken-5", &[5]; "goes under the floor")]
#[test_case("broken-6", &[6]; "knows no budget")]
#[test_case("stop", &[]; "killed with a paid set-up out")]
#[test_case("day-1", &[]; "a short bad day")]
fn stored_histories_get_their_declared_verdict(name: &str, breaks: &[u8]) {
    let history = read(name);
    assert_eq!(history.header.breaks, breaks);
    let verdict = history.verdict();
    assert_eq!(verdict.rules(), breaks.iter().copied().collect::<BTreeSet<u8>>(), "{:?}", verdict.breaches);
    let covered = &verdict.covered;
    assert!(covered.requests > 0 && (covered.set_ups > 0 || breaks == [1]), "{covered:?}");
    if name == "day-1" {
        let all = [covered.further, covered.drains, covered.cold_set_ups, covered.segments];
        assert!(covered.set_ups > 100 && all.iter().all(|n| *n > 0), "{covered:?}");
    }
    assert_eq!(
        History::parse(&history.to_text().expect("it is plain")).expect("it reads").observations,
        history.observations
    );
}

/// A sound day is no longer sound once a word of it is changed: the checks that it passed were made on it.
#[test_case(|s| matches!(s, Observed::Answered { .. }), |_| None, 1; "an answer that never came")]
#[test_case(|s| matches!(s, Observed::Done { status: 200, .. }), |_| None, 1; "told that it plays, and it does not")]
#[test_case(|s| matches!(s, Observed::SetUp { .. }), |s| match s {
    Observed::SetUp { server, allocation, session, product, title, .. } =>
        Some(Observed::SetUp { server, allocation, session, product, title, rung: 99 }),
    other => Some(other),
}, 5; "a rung over the top")]
fn changing_one_observation_of_a_clean_history_is_rejected(
    matches_kind: fn(&Observed) -> bool,
    change: fn(Observed) -> Option<Observed>,
    rule: u8,
) {
    let mut history = read("day-1");
    let index =
        history.observations.iter().position(|s| matches_kind(&s.what)).expect("there is such a thing");
    let observation = history.observations.remove(index);
    if let Some(what) = change(observation.what) {
        history
            .observations
            .insert(index, pulleystair_rule_checker::Observation { at: observation.at, what });
    }
    assert_eq!(history.verdict().rules().into_iter().collect::<Vec<u8>>(), [rule]);
}

fn fault(text: &str) -> HistoryError {
    History::parse(text).map(|_| ()).expect_err("it is damaged")
}

#[test]
fn damaged_history_is_an_error_with_its_line() {
    let whole = text("broken-3");
    let lines: Vec<&str> = whole.lines().collect();
    for cut in 0..whole.len() - 1 {
        assert!(History::parse(&whole[..cut]).is_err(), "cut at byte {cut}");
    }
    for line in 0..lines.len() {
        let without: Vec<&str> =
            lines.iter().enumerate().filter(|(i, _)| *i != line).map(|(_, l)| *l).collect();
        assert!(History::parse(&without.join("\n")).is_err(), "without line {}", line + 1);
    }
    let with = |line: usize, text: &str| {
        let mut lines = lines.clone();
        lines[line] = text;
        fault(&lines.join("\n"))
    };
    assert_eq!(with(2, "{\"at\":1,\"what\":{\"what\":\"flew\"}}").line, 3);
    assert!(
        with(1, "{\"at\":1,\"what\":{\"what\":\"listed\",\"server\":4,\"ready\":true}}")
            .cause
            .contains("server 4")
    );
    assert!(with(0, &lines[0].replace("\"history\":1", "\"history\":2")).cause.contains("form 2"));
    assert_eq!(fault("").line, 1);
    let nothing = format!("{}\n{{\"end\":0}}\n", lines[0]);
    assert!(fault(&nothing).cause.contains("nothing to check"));
}
