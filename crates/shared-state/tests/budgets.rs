//! Loans between fronts whose words come late, twice, out of order or never, whose clocks run apart, and which restart:
//! at no moment do all together hold more than the whole.

use oorandom::Rand64;
use pulleystair_shared_state::PeerState;
use pulleystair_shared_state::budgets::{
    BudgetKind, Budgets, LEASE_MARGIN, MAX_CLOCK_DRIFT, PARTS_PER_FRONT, RESERVED_PARTS,
};
use test_case::test_case;

const SPAN: f64 = 1_000.0;
const OF: (u64, BudgetKind) = (7, BudgetKind::Pace);

/// What a front has ever said, with its incarnation then.
type Said = Vec<(u64, f64, Vec<Vec<u8>>, Vec<Vec<u8>>)>;

struct Fleet {
    now: f64,
    rnd: Rand64,
    /// How fast each clock runs.
    clocks: Vec<f64>,
    fronts: Vec<Budgets>,
    said: Vec<Said>,
    lives: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut rnd = Rand64::new(seed.into());
        let clocks =
            (0..count).map(|_| 1.0 + MAX_CLOCK_DRIFT * (2.0 * rnd.rand_float() - 1.0).signum()).collect();
        let fronts = (0..count).map(|i| Budgets::new(0.0, i as u32, 1, count, SPAN)).collect();
        Fleet { now: 0.0, rnd, clocks, fronts, said: vec![Vec::new(); count], lives: vec![1; count] }
    }

    fn clock(&self, front: usize) -> f64 {
        self.now * self.clocks[front]
    }

    fn held(&self) -> u32 {
        (0..self.fronts.len()).map(|i| self.fronts[i].parts(self.clock(i), OF)).sum()
    }

    /// A front hears others, each in the words of any moment up to now, or not at all.
    fn hears(&mut self, front: usize, lost: f64, stale: f64) {
        let mut words = Vec::new();
        for other in (0..self.fronts.len()).filter(|o| *o != front) {
            if self.said[other].is_empty() || self.rnd.rand_float() < lost {
                continue;
            }
            let count = self.said[other].len();
            let back =
                if self.rnd.rand_float() < stale { self.rnd.rand_range(0..count as u64) as usize } else { 0 };
            words.push((other, self.said[other][count - 1 - back].clone()));
        }
        let heard: Vec<PeerState> = words
            .iter()
            .map(|(other, (life, at, wishes, grants))| PeerState {
                origin: *other as u32,
                incarnation: *life,
                zone: None,
                age: self.now - at,
                loan_requests: wishes.iter().map(Vec::as_slice).collect(),
                grants: grants.iter().map(Vec::as_slice).collect(),
                counts: Vec::new(),
                judgements: Vec::new(),
            })
            .collect();
        let now = self.clock(front);
        self.fronts[front].merge(now, &heard);
        let (wishes, grants) = self.fronts[front].cells();
        self.said[front].push((self.lives[front], self.now, wishes, grants));
        let whole = self.fronts.len() as u32 * PARTS_PER_FRONT;
        assert!(self.held() <= whole, "{} of {whole} at {}", self.held(), self.now);
    }

    fn restart(&mut self, front: usize) {
        self.lives[front] += 1;
        let now = self.clock(front);
        self.fronts[front] = Budgets::new(now, front as u32, self.lives[front], self.fronts.len(), SPAN);
    }
}

#[test_case(0.0, 0.0; "a good network")]
#[test_case(0.3, 0.5; "a bad one")]
#[test_case(0.8, 0.9; "a very bad one")]
fn all_together_never_hold_more_than_the_whole(lost: f64, stale: f64) {
    let mut most = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(5, seed);
        for _ in 0..600 {
            fleet.now += 40.0 * fleet.rnd.rand_float();
            let front = fleet.rnd.rand_range(0..5) as usize;
            let now = fleet.clock(front);
            match fleet.rnd.rand_range(0..100) {
                0 => fleet.restart(front),
                1..=5 => fleet.fronts[front].request(now, OF, false),
                // Two of them have a crowd.
                _ if front < 2 => fleet.fronts[front].request(now, OF, true),
                _ => {}
            }
            fleet.hears(front, lost, stale);
            most = most.max(fleet.fronts[front].parts(now, OF));
        }
    }
    assert!(most > PARTS_PER_FRONT, "nothing was lent");
}

#[test]
fn a_front_with_a_crowd_gets_what_idle_ones_do_not_need_and_gives_it_back() {
    let mut fleet = Fleet::new(4, 1);
    fleet.now = 2.0 * SPAN;
    for _ in 0..40 {
        let now = fleet.clock(0);
        fleet.fronts[0].request(now, OF, true);
        (0..4).for_each(|front| fleet.hears(front, 0.0, 0.0));
        fleet.now += 50.0;
    }
    let now = fleet.clock(0);
    assert!(fleet.fronts[0].parts(now, OF) > 3 * PARTS_PER_FRONT, "{}", fleet.fronts[0].parts(now, OF));
    // The crowd is over, and nobody hears anybody.
    fleet.now += SPAN * (1.0 + LEASE_MARGIN) * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
    let parts: Vec<u32> = (0..4).map(|i| fleet.fronts[i].parts(fleet.clock(i), OF)).collect();
    assert_eq!(parts, [PARTS_PER_FRONT; 4]);
}

#[test]
fn a_front_that_restarts_holds_what_it_never_lends_for_a_span() {
    let mut fleet = Fleet::new(2, 2);
    fleet.now = 5.0 * SPAN;
    fleet.restart(1);
    let parts = |fleet: &Fleet| fleet.fronts[1].parts(fleet.clock(1), OF);
    assert_eq!(parts(&fleet), RESERVED_PARTS);
    fleet.now += SPAN;
    assert_eq!(parts(&fleet), RESERVED_PARTS);
    fleet.now += SPAN * (LEASE_MARGIN + 3.0 * MAX_CLOCK_DRIFT);
    assert_eq!(parts(&fleet), PARTS_PER_FRONT);
}

#[test]
fn a_front_that_hears_nothing_keeps_its_own() {
    let mut fleet = Fleet::new(3, 3);
    fleet.now = 2.0 * SPAN;
    for _ in 0..100 {
        fleet.now += 50.0;
        let now = fleet.clock(0);
        fleet.fronts[0].request(now, OF, true);
        fleet.hears(0, 1.0, 0.0);
        assert_eq!(fleet.fronts[0].parts(fleet.clock(0), OF), PARTS_PER_FRONT);
    }
}

#[test]
fn words_that_do_not_read_are_none() {
    let mut one = Budgets::new(0.0, 0, 1, 2, SPAN);
    let noise: Vec<u8> = (0..200).map(|i| (i * 37) as u8).collect();
    let bad: Vec<&[u8]> = vec![&noise, &[], &[255; 900]];
    let heard = PeerState {
        origin: 1,
        incarnation: 1,
        zone: None,
        age: 0.0,
        loan_requests: bad.clone(),
        grants: bad.clone(),
        counts: bad.clone(),
        judgements: bad,
    };
    one.merge(2.0 * SPAN, &[heard]);
    assert_eq!(one.parts(2.0 * SPAN, OF), PARTS_PER_FRONT);
}
