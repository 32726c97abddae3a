//! Tests of what a front concludes about servers and play counts from other fronts' reports: false reports, isolated zones,
//! old rows.

use pulleystair_shared_state::counts::{PlayBounds, PlayCounts};
use pulleystair_shared_state::server_health::{AllocationResult, HealthView, ServerHealth, WINDOW_MS};
use pulleystair_shared_state::{PeerState, Server};
use std::collections::BTreeMap;
use test_case::test_case;

/// Eight servers, of which the even ones are in zone 0.
fn servers() -> Vec<Server> {
    (0..8).map(|s| Server { id: s, zone: s as usize % 2, placement_cell: s as usize, link: 1.0 }).collect()
}

/// Eight titles with four holders each.
fn titles() -> Vec<Vec<u64>> {
    (0..8).map(|first| (0..4).map(|i| (first + i) % 8).collect()).collect()
}

/// A front's zone and its results: server, result, how often.
type Front = (usize, Vec<(u64, AllocationResult, usize)>);

/// The cells in which a front reports its results.
fn cells(front: &Front) -> Vec<Vec<u8>> {
    let mut health = ServerHealth::new(0.0, front.0);
    for (server, result, times) in &front.1 {
        (0..*times).for_each(|_| health.record(100.0, *server, *result));
    }
    health.cells(100.0)
}

/// What a front concludes about the servers from its own results and the others' reports of this age.
fn evaluate(own_results: &Front, others: &[Front], age: f64) -> HealthView {
    let report_cells: Vec<Vec<Vec<u8>>> = others.iter().map(cells).collect();
    let mut peers = Vec::new();
    for (i, front) in others.iter().enumerate() {
        peers.push(PeerState {
            origin: i as u32,
            incarnation: 1,
            zone: Some(front.0),
            age,
            loan_requests: Vec::new(),
            grants: Vec::new(),
            counts: Vec::new(),
            server_results: report_cells[i].iter().map(Vec::as_slice).collect(),
        });
    }
    let mut health = ServerHealth::new(0.0, own_results.0);
    for (server, result, times) in &own_results.1 {
        (0..*times).for_each(|_| health.record(100.0, *server, *result));
    }
    health.evaluate(100.0, &peers, &servers(), &titles())
}

fn timing_out_at(zone: usize, servers: &[u64]) -> Front {
    (zone, servers.iter().map(|s| (*s, AllocationResult::TimedOut, 3)).collect())
}

fn served_at(zone: usize, servers: &[u64]) -> Front {
    (zone, servers.iter().map(|s| (*s, AllocationResult::Success, 3)).collect())
}

const ALL_SERVERS: [u64; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

#[test_case(2, &[]; "two are too few")]
#[test_case(3, &[2]; "three are enough")]
fn three_fronts_of_the_own_zone_must_agree(count: usize, doubted: &[u64]) {
    let others: Vec<Front> = (0..count).map(|_| timing_out_at(0, &[2])).collect();
    let view = evaluate(&(0, vec![]), &others, 10.0);
    assert_eq!(view.doubted.into_iter().collect::<Vec<u64>>(), doubted);
}

#[test]
fn own_success_outranks_any_number_of_reports() {
    let others: Vec<Front> = (0..7).map(|_| timing_out_at(0, &[2])).collect();
    assert!(evaluate(&served_at(0, &[2]), &others, 10.0).doubted.is_empty());
}

#[test]
fn old_reports_do_not_count() {
    let others: Vec<Front> = (0..7).map(|_| timing_out_at(0, &[2])).collect();
    assert!(evaluate(&(0, vec![]), &others, WINDOW_MS).doubted.is_empty());
}

#[test]
fn three_false_reports_are_outvoted_by_fronts_that_were_served() {
    let mut others: Vec<Front> = (0..3).map(|_| timing_out_at(0, &ALL_SERVERS)).collect();
    others.extend((0..4).map(|_| served_at(0, &ALL_SERVERS)));
    assert_eq!(evaluate(&(0, vec![]), &others, 10.0), HealthView::default());
}

/// Without contrary reports, false reports must cost no more than a quarter of the links and half of a title's holders.
#[test]
fn any_number_of_false_reports_doubts_only_a_part() {
    let others: Vec<Front> = (0..7).map(|_| timing_out_at(0, &ALL_SERVERS)).collect();
    let view = evaluate(&(0, vec![]), &others, 10.0);
    assert_eq!((view.doubted.len(), view.lost_zone), (2, None));
    for title in titles() {
        assert!(title.iter().filter(|s| view.doubted.contains(s)).count() <= 2);
    }
}

/// Zone 1 cannot reach the servers of zone 0. A front in zone 0 must not doubt them because of zone 1's reports, whether it
/// has been served itself or not.
#[test]
fn an_isolated_zones_reports_do_not_doubt_servers() {
    let mut others: Vec<Front> = (0..4).map(|_| timing_out_at(1, &[0, 2, 4, 6])).collect();
    others.extend((0..3).map(|_| served_at(0, &[0, 2, 4, 6])));
    assert_eq!(evaluate(&served_at(0, &[0]), &others, 10.0), HealthView::default());
    assert_eq!(evaluate(&(0, vec![]), &others, 10.0), HealthView::default());
}

#[test]
fn a_failing_zone_is_lost_until_its_first_success() {
    let own_results: Front = (0, vec![(1, AllocationResult::TimedOut, 1), (0, AllocationResult::Success, 3)]);
    let others = [timing_out_at(0, &[3]), timing_out_at(0, &[5]), served_at(0, &[2, 4])];
    let view = evaluate(&own_results, &others, 10.0);
    assert_eq!((view.lost_zone, view.doubted.into_iter().collect::<Vec<u64>>()), (Some(1), vec![1, 3, 5, 7]));
    let after_success = [timing_out_at(0, &[3]), timing_out_at(0, &[5]), served_at(0, &[2, 4, 7])];
    assert_eq!(evaluate(&own_results, &after_success, 10.0), HealthView::default());
}

#[test]
fn one_false_report_does_not_make_a_zone_lost() {
    let false_report = timing_out_at(0, &[1, 3, 5, 7]);
    let view = evaluate(&served_at(0, &[0]), &[false_report, served_at(0, &[2])], 10.0);
    assert_eq!(view, HealthView::default());
}

#[test]
fn a_report_with_more_results_than_tries_is_ignored() {
    // Postcard: 1 server, with id 2, 0 tries, 0 successes, 0 errors, 9 time-outs, 0 refusals, and neither time.
    let row: &[u8] = &[1, 2, 0, 0, 0, 9, 0, 0, 0];
    let peer = |i| PeerState {
        origin: i,
        incarnation: 1,
        zone: Some(0),
        age: 0.0,
        loan_requests: vec![],
        grants: vec![],
        counts: vec![],
        server_results: vec![row],
    };
    let peers: Vec<PeerState> = (0..5).map(peer).collect();
    let view = ServerHealth::new(0.0, 0).evaluate(10.0, &peers, &servers(), &titles());
    assert_eq!(view, HealthView::default());
}

/// Plays come to a paced server and end at random. What is estimated from old rows must contain the true number.
#[test]
fn the_interval_contains_the_true_count() {
    let mut rng = oorandom::Rand64::new(5);
    // All fronts together add no more than one play in 20 ms.
    let bounds = PlayBounds { max_plays: 1e6, max_added_per_ms: Some(1.0 / 20.0), max_ended_per_ms: None };
    let (mut true_counts, mut last_rows) = ([0u32; 4], vec![(0.0, Vec::new()); 4]);
    for step in 0..4_000 {
        let now = step as f64 * 20.0;
        let front = rng.rand_range(0..4) as usize;
        true_counts[front] += 1;
        let leaver = rng.rand_range(0..4) as usize;
        // In every second period of 5 s none ends.
        if now % 10_000.0 < 5_000.0 && rng.rand_float() < 0.9 {
            true_counts[leaver] = true_counts[leaver].saturating_sub(3);
        }
        if rng.rand_float() < 0.02 {
            let mut reported = PlayCounts::default();
            reported.set(1, 0, 0, true_counts[front]);
            last_rows[front] = (now, reported.cells());
        }
        let mut own_counts = PlayCounts::default();
        own_counts.replace(BTreeMap::from([((1, 0), (0, true_counts[0]))]));
        let peer = |i: usize| PeerState {
            origin: i as u32,
            incarnation: 1,
            zone: None,
            age: now - last_rows[i].0,
            loan_requests: vec![],
            grants: vec![],
            counts: last_rows[i].1.iter().map(|c: &Vec<u8>| c.as_slice()).collect(),
            server_results: vec![],
        };
        let peers: Vec<PeerState> = (1..4).map(peer).collect();
        let interval = own_counts.estimate(1, None, &peers, bounds);
        let total = f64::from(true_counts.iter().sum::<u32>());
        assert!(
            interval.low <= total
                && total <= interval.high
                && interval.low <= interval.best_estimate
                && interval.best_estimate <= interval.high,
            "{interval:?} {total}"
        );
    }
}
