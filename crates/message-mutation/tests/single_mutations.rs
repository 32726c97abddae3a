//! Every message of a recorded run times every change of it: after each, nobody panics, the six rules hold, no budget is
//! more than the whole, and what was told wrongly is over by the end.

use pulleystair_message_mutation::world::{FRONTS, RunResult, World};
use pulleystair_message_mutation::{Kind, MutatedMessage, Mutation, changes};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

const SEED: u64 = 1;

/// What is wrong after a change; nothing, if all is well.
fn wrong(change: &MutatedMessage, kind: Kind, out: &RunResult) -> Vec<String> {
    let mut wrong = Vec::new();
    // A list that says otherwise is what a front is told, and what it goes by until the next; a lost or late one is not.
    let told_otherwise =
        kind == Kind::Names && matches!(change.mutation, Mutation::Field(..) | Mutation::Bit(_));
    let rules = out.breaches.iter().filter(|(rule, _)| !(told_otherwise && matches!(rule, 3 | 4)));
    wrong.extend(rules.map(|(rule, what)| format!("rule {rule}: {what}")));
    if out.held > out.total_parts {
        wrong.push(format!("{} held of {}", out.held, out.total_parts));
    }
    if out.status != [0; FRONTS] {
        wrong.push(format!("verdicts {:?}", out.status));
    }
    if out.listed != [true; FRONTS] {
        wrong.push(format!("the latest list: {:?}", out.listed));
    }
    if out.lost.contains(&true) || out.doubted.iter().any(|n| *n > 1) {
        wrong.push(format!("doubted {:?} lost {:?}", out.doubted, out.lost));
    }
    if out.answers.iter().any(|said| *said > out.sent) {
        wrong.push(format!("{:?} plays said of {}", out.answers, out.sent));
    }
    wrong
}

#[test]
fn no_single_message_changed_breaks_a_rule_a_bound_or_a_verdict() {
    let base = World::new(SEED, None).run();
    assert_eq!(
        wrong(&MutatedMessage { at: usize::MAX, mutation: Mutation::Dropped }, Kind::Row, &base),
        Vec::<String>::new()
    );
    assert!(
        base.requests > 80 && base.lent && base.answers.iter().all(|n| *n > 60),
        "{} {:?}",
        base.requests,
        base.answers
    );
    let mut all = Vec::new();
    for (at, (kind, bytes)) in base.messages.iter().enumerate() {
        all.extend(changes(at, *kind, bytes).into_iter().map(|change| (change, *kind)));
    }
    let mut kinds: BTreeMap<Kind, usize> = BTreeMap::new();
    base.messages.iter().for_each(|(kind, _)| *kinds.entry(*kind).or_default() += 1);
    assert!(kinds.len() == 5 && kinds.values().all(|n| *n >= 20), "{kinds:?}");
    println!("{} messages {kinds:?}, {} changes", base.messages.len(), all.len());
    let (next, failures) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((change, kind)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = || World::new(SEED, Some(*change)).run();
                    let found = match std::panic::catch_unwind(run) {
                        Ok(out) => wrong(change, *kind, &out),
                        Err(_) => vec!["a panic".to_string()],
                    };
                    if !found.is_empty() {
                        failures.lock().expect("no thread dies").push((*change, *kind, found));
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no thread dies");
    for (change, kind, found) in failures.iter().take(12) {
        println!("{kind:?} {change:?}: {:.300}", found.join("; "));
    }
    assert!(failures.is_empty(), "{} of {} changes", failures.len(), all.len());
}
