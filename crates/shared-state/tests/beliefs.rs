//! What a front believes of servers and counts, from the words of others: few that lie, zones that are cut off, rows that
//! are old.

use pulleystair_shared_state::counts::{PlayBounds, PlayCounts};
use pulleystair_shared_state::server_health::{AllocationResult, HealthView, ServerHealth, WINDOW};
use pulleystair_shared_state::{PeerState, Server};
use std::collections::BTreeMap;
use test_case::test_case;

/// Eight servers, the even ones in zone 0; titles of four holders each.
fn servers() -> Vec<Server> {
    (0..8).map(|s| Server { id: s, zone: s as usize % 2, cell: s as usize, link: 1.0 }).collect()
}

fn titles() -> Vec<Vec<u64>> {
    (0..8).map(|first| (0..4).map(|i| (first + i) % 8).collect()).collect()
}

/// What a front in a zone met: server, how, how often.
type Front = (usize, Vec<(u64, AllocationResult, usize)>);

fn cells(front: &Front) -> Vec<Vec<u8>> {
    let mut own = ServerHealth::new(0.0, front.0);
    for (server, met, times) in &front.1 {
        (0..*times).for_each(|_| own.record(100.0, *server, *met));
    }
    own.cells(100.0)
}

fn believes(own: &Front, others: &[Front], age: f64) -> HealthView {
    let said: Vec<Vec<Vec<u8>>> = others.iter().map(cells).collect();
    let mut heard = Vec::new();
    for (i, front) in others.iter().enumerate() {
        heard.push(PeerState {
            origin: i as u32,
            incarnation: 1,
            zone: Some(front.0),
            age,
            loan_requests: Vec::new(),
            grants: Vec::new(),
            counts: Vec::new(),
            judgements: said[i].iter().map(Vec::as_slice).collect(),
        });
    }
    let mut judge = ServerHealth::new(0.0, own.0);
    for (server, met, times) in &own.1 {
        (0..*times).for_each(|_| judge.record(100.0, *server, *met));
    }
    judge.evaluate(100.0, &heard, &servers(), &titles())
}

fn fails(zone: usize, at: &[u64]) -> Front {
    (zone, at.iter().map(|s| (*s, AllocationResult::TimedOut, 3)).collect())
}

fn serves(zone: usize, at: &[u64]) -> Front {
    (zone, at.iter().map(|s| (*s, AllocationResult::Success, 3)).collect())
}

const ALL: [u64; 8] = [0, 1, 2, 3, 4, 5, 6, 7];

#[test_case(2, &[]; "two are not several")]
#[test_case(3, &[2]; "three are")]
fn several_of_the_own_zone_must_agree(count: usize, doubted: &[u64]) {
    let others: Vec<Front> = (0..count).map(|_| fails(0, &[2])).collect();
    let belief = believes(&(0, vec![]), &others, 10.0);
    assert_eq!(belief.doubted.into_iter().collect::<Vec<u64>>(), doubted);
}

#[test]
fn own_success_outranks_any_number() {
    let others: Vec<Front> = (0..7).map(|_| fails(0, &[2])).collect();
    assert!(believes(&serves(0, &[2]), &others, 10.0).doubted.is_empty());
}

#[test]
fn words_that_are_old_count_no_more() {
    let others: Vec<Front> = (0..7).map(|_| fails(0, &[2])).collect();
    assert!(believes(&(0, vec![]), &others, WINDOW).doubted.is_empty());
}

#[test]
fn three_that_lie_are_outvoted_by_those_that_were_served() {
    let mut others: Vec<Front> = (0..3).map(|_| fails(0, &ALL)).collect();
    others.extend((0..4).map(|_| serves(0, &ALL)));
    assert_eq!(believes(&(0, vec![]), &others, 10.0), HealthView::default());
}

/// Where nobody can say otherwise, what they cost is bounded: a quarter of the links, half of a title's holders.
#[test]
fn however_many_lie_only_a_part_is_doubted() {
    let others: Vec<Front> = (0..7).map(|_| fails(0, &ALL)).collect();
    let belief = believes(&(0, vec![]), &others, 10.0);
    assert_eq!((belief.doubted.len(), belief.lost), (2, None));
    for title in titles() {
        assert!(title.iter().filter(|s| belief.doubted.contains(s)).count() <= 2);
    }
}

/// Zone 1 can't reach zone 0's servers. Who is in zone 0 is served there, and doubts none; who is in zone 1 and has few
/// beside it that tried does not take the servers for down on its own word.
#[test]
fn a_zone_that_is_cut_off_is_not_a_server_that_is_down() {
    let mut others: Vec<Front> = (0..4).map(|_| fails(1, &[0, 2, 4, 6])).collect();
    others.extend((0..3).map(|_| serves(0, &[0, 2, 4, 6])));
    assert_eq!(believes(&serves(0, &[0]), &others, 10.0), HealthView::default());
    assert_eq!(believes(&(0, vec![]), &others, 10.0), HealthView::default());
}

#[test]
fn a_zone_of_which_many_fail_at_once_is_lost_and_comes_back_with_the_first_success() {
    let own: Front = (0, vec![(1, AllocationResult::TimedOut, 1), (0, AllocationResult::Success, 3)]);
    let others = [fails(0, &[3]), fails(0, &[5]), serves(0, &[2, 4])];
    let belief = believes(&own, &others, 10.0);
    assert_eq!((belief.lost, belief.doubted.into_iter().collect::<Vec<u64>>()), (Some(1), vec![1, 3, 5, 7]));
    let back = [fails(0, &[3]), fails(0, &[5]), serves(0, &[2, 4, 7])];
    assert_eq!(believes(&own, &back, 10.0), HealthView::default());
}

#[test]
fn one_front_that_makes_a_lost_zone_up_is_not_enough() {
    let liar = fails(0, &[1, 3, 5, 7]);
    let belief = believes(&serves(0, &[0]), &[liar, serves(0, &[2])], 10.0);
    assert_eq!(belief, HealthView::default());
}

#[test]
fn a_row_with_more_outcomes_than_tries_is_no_word() {
    // As a row of one server with 0 tries and 9 time-outs.
    let row: &[u8] = &[1, 2, 0, 0, 0, 9, 0, 0, 0];
    let heard = |i| PeerState {
        origin: i,
        incarnation: 1,
        zone: Some(0),
        age: 0.0,
        loan_requests: vec![],
        grants: vec![],
        counts: vec![],
        judgements: vec![row],
    };
    let heard: Vec<PeerState> = (0..5).map(heard).collect();
    let belief = ServerHealth::new(0.0, 0).evaluate(10.0, &heard, &servers(), &titles());
    assert_eq!(belief, HealthView::default());
}

/// Plays come to a paced server and end at random; what a reader of old rows reckons holds the truth.
#[test]
fn an_interval_holds_the_truth() {
    let mut rnd = oorandom::Rand64::new(5);
    // All fronts together add no more than one play in 20 ms.
    let bounds = PlayBounds { places: 1e6, pace: Some(1.0 / 20.0), ends: None };
    let (mut truth, mut rows) = ([0u32; 4], vec![(0.0, Vec::new()); 4]);
    for step in 0..4_000 {
        let now = step as f64 * 20.0;
        let front = rnd.rand_range(0..4) as usize;
        truth[front] += 1;
        let leaver = rnd.rand_range(0..4) as usize;
        // For seconds on end none ends.
        if now % 10_000.0 < 5_000.0 && rnd.rand_float() < 0.9 {
            truth[leaver] = truth[leaver].saturating_sub(3);
        }
        if rnd.rand_float() < 0.02 {
            let mut said = PlayCounts::default();
            said.set(1, 0, 0, truth[front]);
            rows[front] = (now, said.cells());
        }
        let mut own = PlayCounts::default();
        own.replace(BTreeMap::from([((1, 0), (0, truth[0]))]));
        let heard = |i: usize| PeerState {
            origin: i as u32,
            incarnation: 1,
            zone: None,
            age: now - rows[i].0,
            loan_requests: vec![],
            grants: vec![],
            counts: rows[i].1.iter().map(|c: &Vec<u8>| c.as_slice()).collect(),
            judgements: vec![],
        };
        let heard: Vec<PeerState> = (1..4).map(heard).collect();
        let it = own.estimate(1, None, &heard, bounds);
        let all = f64::from(truth.iter().sum::<u32>());
        assert!(
            it.low <= all && all <= it.high && it.low <= it.middle && it.middle <= it.high,
            "{it:?} {all}"
        );
    }
}
