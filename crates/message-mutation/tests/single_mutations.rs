//! Applies every mutation to every recorded message of a base run, one per run from the same seed. In each run no front panics, the
//! rules of `pulleystair-rule-checker` hold, no budget is exceeded, and the what-if estimates count no more plays than were sent. By
//! the end all fronts have recovered from the mutated message.

use pulleystair_message_mutation::world::{FRONTS, RunResult, World};
use pulleystair_message_mutation::{Kind, MutatedMessage, Mutation, mutations_of};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const SEED: u64 = 1;

/// What is wrong with the result of a run with this message mutated; empty if nothing is.
fn violations(mutated: &MutatedMessage, kind: Kind, result: &RunResult) -> Vec<String> {
    let mut found = Vec::new();
    // A front acts on an altered list until the next one, so that rules 3 and 4 may break. A list that is lost or late must not break them.
    let is_list_altered =
        kind == Kind::Dns && matches!(mutated.mutation, Mutation::FieldSet(..) | Mutation::BitFlipped(_));
    let rules = result.breaches.iter().filter(|(rule, _)| !(is_list_altered && matches!(rule, 3 | 4)));
    found.extend(rules.map(|(rule, what)| format!("rule {rule}: {what}")));
    if result.max_parts_held > result.total_parts {
        found.push(format!("{} budget parts held of {}", result.max_parts_held, result.total_parts));
    }
    if result.drift_status != [0; FRONTS] {
        found.push(format!("drift status {:?}", result.drift_status));
    }
    if result.has_latest_list != [true; FRONTS] {
        found.push(format!("has the latest list: {:?}", result.has_latest_list));
    }
    if result.has_lost_zone.contains(&true) || result.doubted.iter().any(|n| *n > 1) {
        found.push(format!("doubted {:?}, lost zone {:?}", result.doubted, result.has_lost_zone));
    }
    if result.estimated_plays.iter().any(|n| *n > result.allocations_sent) {
        found.push(format!(
            "{:?} plays estimated of {} allocations",
            result.estimated_plays, result.allocations_sent
        ));
    }
    found
}

#[test]
fn no_single_mutated_message_breaks_a_rule_or_a_budget_or_prevents_recovery() {
    let base = World::new(SEED, None).run();
    assert_eq!(
        violations(&MutatedMessage { index: usize::MAX, mutation: Mutation::Dropped }, Kind::Gossip, &base),
        Vec::<String>::new()
    );
    assert!(
        base.requests > 80 && base.has_borrowed && base.estimated_plays.iter().all(|n| *n > 60),
        "{} {:?}",
        base.requests,
        base.estimated_plays
    );
    let mut all = Vec::new();
    for (index, (kind, bytes)) in base.messages.iter().enumerate() {
        all.extend(mutations_of(index, *kind, bytes).into_iter().map(|mutated| (mutated, *kind)));
    }
    let mut kinds: BTreeMap<Kind, usize> = BTreeMap::new();
    base.messages.iter().for_each(|(kind, _)| *kinds.entry(*kind).or_default() += 1);
    assert!(kinds.len() == 5 && kinds.values().all(|n| *n >= 20), "{kinds:?}");
    println!("{} messages {kinds:?}, {} mutations", base.messages.len(), all.len());
    let (next, failures) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((mutated, kind)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = || World::new(SEED, Some(*mutated)).run();
                    let found = match std::panic::catch_unwind(run) {
                        Ok(result) => violations(mutated, *kind, &result),
                        Err(_) => vec!["a panic".to_string()],
                    };
                    if !found.is_empty() {
                        failures.lock().expect("no thread dies").push((*mutated, *kind, found));
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread dies");
    for (mutated, kind, found) in failures.iter().take(12) {
        println!("{kind:?} {mutated:?}: {:.300}", found.join("; "));
    }
    assert!(failures.is_empty(), "{} of {} mutations broke something", failures.len(), all.len());
}
