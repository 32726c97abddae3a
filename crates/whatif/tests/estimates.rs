//! Compares estimates with simulated plays whose true set-up times are known.

use oorandom::Rand64;
use pulleystair_whatif::aggregates::{Aggregates, Policy};
use pulleystair_whatif::report::{Report, Scope, report};
use pulleystair_whatif::{Candidate, OutcomeLog, SetUpResult};
use test_case::test_case;

const SERVERS: usize = 6;

/// Simulates one front's plays, each with the weighted draw among four of six servers in two zones. The last server is
/// slower by `slower` ms. A set-up of an even-numbered play that takes longer than `patience` ms is given up. Also returns
/// the true means under the uniform policy and under the one that takes the holder with the most room.
fn simulate_plays(seed: u64, plays: usize, slower: f64, patience: f64) -> (OutcomeLog, [f64; 2]) {
    let mut rng = Rand64::new(seed.into());
    let mut log = OutcomeLog::new(0, 60_000.0, 10_000.0);
    let mut true_means = [0.0; 2];
    for play in 0..plays {
        let first = rng.rand_range(0..SERVERS as u64) as usize;
        let rooms: Vec<f64> = (0..4).map(|_| 1.0 + 9.0 * rng.rand_float()).collect();
        let total: f64 = rooms.iter().sum();
        let best = (0..4).max_by(|a, b| rooms[*a].total_cmp(&rooms[*b])).unwrap_or(0);
        let candidate = |i: usize| Candidate {
            server: ((first + i) % SERVERS) as u64,
            process_started_at: 1,
            zone: (first + i) % 2,
            chance: 0.5 * f64::from(i == best) + 0.5 * rooms[i] / total,
            room: rooms[i],
        };
        let candidates: Vec<Candidate> = (0..4).map(candidate).collect();
        let mut draw = rng.rand_float();
        let chosen = candidates.iter().position(|c| {
            draw -= c.chance;
            draw < 0.0
        });
        let chosen = chosen.unwrap_or(3);
        let noise = 30.0 - 40.0 * (1.0 - rng.rand_float()).ln();
        let set_up_time = |c: &Candidate| noise + if c.server == SERVERS as u64 - 1 { slower } else { 0.0 };
        true_means[0] += candidates.iter().map(set_up_time).sum::<f64>() / 4.0 / plays as f64;
        true_means[1] += set_up_time(&candidates[best]) / plays as f64;
        log.record_choice(play as u64, 1, 0, 0, chosen, candidates.clone());
        let set_up_ms = set_up_time(&candidates[chosen]);
        let result = if set_up_ms > patience && play % 2 == 0 {
            SetUpResult::GivenUp(patience)
        } else {
            SetUpResult::Playing(set_up_ms)
        };
        log.record_result(1_000.0, play as u64, 1, result);
    }
    (log, true_means)
}

/// Of 8 fronts, this many are heard.
fn scope(heard: usize) -> Scope {
    Scope { fronts: 8, heard, unheard: Vec::new() }
}

/// The report on the sums of several fronts.
fn combined_report(logs: &[&OutcomeLog], heard: usize) -> Report {
    let mut sums = Aggregates::default();
    for log in logs {
        assert_eq!(sums.add(log.cells().iter().map(Vec::as_slice)), 0);
    }
    report(scope(heard), &sums, |_| true)
}

#[test]
fn nine_in_ten_intervals_contain_the_true_mean() {
    let (mut containing, mut intervals) = (0, 0);
    for seed in 0..200 {
        let (log, true_means) = simulate_plays(seed, 300, 60.0, 1e9);
        let estimates = combined_report(&[&log], 8);
        for (policy, true_mean) in [(Policy::Uniform, true_means[0]), (Policy::Roomiest, true_means[1])] {
            let estimate = estimates.policies.iter().find(|p| p.policy == policy).and_then(|p| p.robust);
            let estimate = estimate.expect("300 plays are enough for an estimate");
            intervals += 1;
            containing += usize::from(estimate.low <= true_mean && true_mean <= estimate.high);
        }
    }
    println!("{containing} of {intervals} intervals contain the true mean");
    assert!(containing * 100 >= intervals * 85, "{containing} of {intervals}");
}

#[test_case(60.0, true; "one server is slower")]
#[test_case(0.0, false; "no server is slower")]
fn only_a_slower_server_is_named(slower: f64, expect_named: bool) {
    let mut wrong = 0;
    for seed in 0..20 {
        let (log, _) = simulate_plays(seed, 600, slower, 1e9);
        let estimates = combined_report(&[&log], 8);
        let slow: Vec<u64> = estimates.servers.iter().filter(|s| s.slow).map(|s| s.server).collect();
        let is_right = if expect_named { slow == [SERVERS as u64 - 1] } else { slow.is_empty() };
        wrong += usize::from(!is_right);
        if expect_named {
            let estimate =
                estimates.servers.iter().find(|s| s.server == SERVERS as u64 - 1).and_then(|s| s.more);
            assert!(estimate.is_some_and(|m| m.low < 80.0 && m.high > 40.0), "{estimate:?}");
        }
    }
    assert!(wrong <= 1, "{wrong} of 20");
}

/// Half of the viewers give up after 60 ms. Counted with the time waited, their set-ups would make the mean 9 ms too low;
/// left out, lower still.
#[test]
fn a_given_up_set_up_counts_as_longer_than_the_time_waited() {
    let (log, true_means) = simulate_plays(3, 6_000, 0.0, 60.0);
    let estimates = combined_report(&[&log], 8);
    let robust = estimates.policies[2].robust.expect("the data is enough for an estimate").mean;
    assert!(estimates.given_up > 1_000, "{}", estimates.given_up);
    assert!((robust - true_means[0]).abs() < 4.0, "{robust} {}", true_means[0]);
}

#[test]
fn intervals_widen_as_fronts_go_unheard_and_half_heard_is_undecided() {
    let logs: Vec<OutcomeLog> = (0..8).map(|seed| simulate_plays(seed, 100, 60.0, 1e9).0).collect();
    let width = |count: usize| {
        let estimates = combined_report(&logs.iter().take(count).collect::<Vec<_>>(), count);
        estimates.policies[2].robust.map(|e| e.high - e.low)
    };
    let widths: Vec<f64> = (5..=8).rev().filter_map(width).collect();
    assert!(widths.len() == 4 && widths.windows(2).all(|w| w[0] < w[1]), "{widths:?}");
    assert_eq!(width(4), None);
    let width_of_same_sums =
        |heard| combined_report(&[&logs[0], &logs[1]], heard).policies[2].robust.map(|e| e.high - e.low);
    assert!(
        width_of_same_sums(6) > width_of_same_sums(8),
        "the same sums must give wider intervals if fronts are missing"
    );
    assert!(combined_report(&logs.iter().take(4).collect::<Vec<_>>(), 4).undecided);
}

#[test]
fn a_repeated_result_counts_once() {
    let (mut log, _) = simulate_plays(1, 50, 0.0, 1e9);
    let before = log.cells();
    (0..50).for_each(|play| log.record_result(1_000.0, play, 1, SetUpResult::Playing(9.0)));
    assert_eq!(log.cells(), before);
}

#[test]
fn few_plays_are_undecided_and_invalid_cells_are_rejected() {
    let (few_plays, _) = simulate_plays(1, 10, 60.0, 1e9);
    assert!(combined_report(&[&few_plays], 8).undecided);
    let mut sums = Aggregates::default();
    let mut cells = few_plays.cells();
    cells.push(vec![0xff; 40]);
    cells.push(vec![]);
    assert_eq!(sums.add(cells.iter().map(Vec::as_slice)), 2);
}

#[test]
fn an_impossible_choice_is_not_counted() {
    let mut log = OutcomeLog::new(0, 60_000.0, 1_000.0);
    let candidate = |chance| Candidate { server: 1, process_started_at: 1, zone: 0, chance, room: 1.0 };
    log.record_choice(1, 1, 0, 0, 0, vec![candidate(0.4)]);
    log.record_choice(2, 1, 0, 0, 1, vec![candidate(1.0), candidate(0.0)]);
    log.record_choice(3, 1, 0, 0, 7, vec![candidate(1.0)]);
    (1..4).for_each(|play| log.record_result(0.0, play, 1, SetUpResult::Playing(5.0)));
    assert!(log.cells().is_empty());
}

#[test]
fn a_restarted_server_counts_as_another() {
    let mut log = OutcomeLog::new(0, 60_000.0, 1_000.0);
    for born in [1, 2] {
        let candidates =
            vec![Candidate { server: 1, process_started_at: born, zone: 0, chance: 1.0, room: 1.0 }];
        log.record_choice(born, 1, 0, 0, 0, candidates);
        log.record_result(0.0, born, 1, SetUpResult::Playing(5.0));
    }
    let estimates = combined_report(&[&log], 8);
    assert_eq!(estimates.servers.iter().map(|s| (s.born, s.plays)).collect::<Vec<_>>(), [(1, 1), (2, 1)]);
    log.keep_servers(|_, born| born == 2);
    assert_eq!(combined_report(&[&log], 8).servers.len(), 1);
}
