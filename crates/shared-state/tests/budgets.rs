//! Tests of loans between fronts whose messages are late, duplicated, reordered or lost, whose clocks drift, and which
//! restart: at no moment may all fronts together hold more than the whole.

use oorandom::Rand64;
use pulleystair_shared_state::PeerState;
use pulleystair_shared_state::budgets::{
    BudgetKind, Budgets, LEASE_MARGIN, MAX_CLOCK_DRIFT, PARTS_PER_FRONT, RESERVED_PARTS,
};
use test_case::test_case;

const LEASE_MS: f64 = 1_000.0;
const BUDGET: (u64, BudgetKind) = (7, BudgetKind::Pace);

/// All that a front ever reported: its incarnation, the time, its loan requests and its grants.
type History = Vec<(u64, f64, Vec<Vec<u8>>, Vec<Vec<u8>>)>;

/// Fronts in simulated time.
struct Fleet {
    now: f64,
    rng: Rand64,
    /// Rate of each front's clock.
    clock_rates: Vec<f64>,
    fronts: Vec<Budgets>,
    histories: Vec<History>,
    incarnations: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Fleet {
        let mut rng = Rand64::new(seed.into());
        let clock_rates =
            (0..count).map(|_| 1.0 + MAX_CLOCK_DRIFT * (2.0 * rng.rand_float() - 1.0).signum()).collect();
        let fronts = (0..count).map(|i| Budgets::new(0.0, i as u32, 1, count, LEASE_MS)).collect();
        Fleet {
            now: 0.0,
            rng,
            clock_rates,
            fronts,
            histories: vec![Vec::new(); count],
            incarnations: vec![1; count],
        }
    }

    /// The time on a front's own clock.
    fn local_time(&self, front: usize) -> f64 {
        self.now * self.clock_rates[front]
    }

    /// Parts that all fronts together hold now.
    fn total_held(&self) -> u32 {
        (0..self.fronts.len()).map(|i| self.fronts[i].parts(self.local_time(i), BUDGET)).sum()
    }

    /// A front receives from each other front its newest row, an older one, or nothing; then it reports itself.
    fn exchange(&mut self, front: usize, loss_rate: f64, stale_rate: f64) {
        let mut received = Vec::new();
        for other in (0..self.fronts.len()).filter(|o| *o != front) {
            if self.histories[other].is_empty() || self.rng.rand_float() < loss_rate {
                continue;
            }
            let count = self.histories[other].len();
            let reports_back = if self.rng.rand_float() < stale_rate {
                self.rng.rand_range(0..count as u64) as usize
            } else {
                0
            };
            received.push((other, self.histories[other][count - 1 - reports_back].clone()));
        }
        let peers: Vec<PeerState> = received
            .iter()
            .map(|(other, (incarnation, reported_at, loan_requests, grants))| PeerState {
                origin: *other as u32,
                incarnation: *incarnation,
                zone: None,
                age: self.now - reported_at,
                loan_requests: loan_requests.iter().map(Vec::as_slice).collect(),
                grants: grants.iter().map(Vec::as_slice).collect(),
                counts: Vec::new(),
                server_results: Vec::new(),
            })
            .collect();
        let now = self.local_time(front);
        self.fronts[front].merge(now, &peers);
        let (loan_requests, grants) = self.fronts[front].cells();
        self.histories[front].push((self.incarnations[front], self.now, loan_requests, grants));
        let total = self.fronts.len() as u32 * PARTS_PER_FRONT;
        assert!(self.total_held() <= total, "{} parts held of {total} at {} ms", self.total_held(), self.now);
    }

    fn restart(&mut self, front: usize) {
        self.incarnations[front] += 1;
        let now = self.local_time(front);
        self.fronts[front] =
            Budgets::new(now, front as u32, self.incarnations[front], self.fronts.len(), LEASE_MS);
    }
}

#[test_case(0.0, 0.0; "a good network")]
#[test_case(0.3, 0.5; "a bad network")]
#[test_case(0.8, 0.9; "a very bad network")]
fn fronts_together_never_hold_more_than_the_whole(loss_rate: f64, stale_rate: f64) {
    let mut max_held = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(5, seed);
        for _ in 0..600 {
            fleet.now += 40.0 * fleet.rng.rand_float();
            let front = fleet.rng.rand_range(0..5) as usize;
            let now = fleet.local_time(front);
            match fleet.rng.rand_range(0..100) {
                0 => fleet.restart(front),
                1..=5 => fleet.fronts[front].record_use(now, BUDGET, false),
                // Two of them need more than they have.
                _ if front < 2 => fleet.fronts[front].record_use(now, BUDGET, true),
                _ => {}
            }
            fleet.exchange(front, loss_rate, stale_rate);
            max_held = max_held.max(fleet.fronts[front].parts(now, BUDGET));
        }
    }
    assert!(max_held > PARTS_PER_FRONT, "nothing was lent");
}

#[test]
fn a_busy_front_borrows_from_idle_ones_and_returns_it() {
    let mut fleet = Fleet::new(4, 1);
    fleet.now = 2.0 * LEASE_MS;
    for _ in 0..40 {
        let now = fleet.local_time(0);
        fleet.fronts[0].record_use(now, BUDGET, true);
        (0..4).for_each(|front| fleet.exchange(front, 0.0, 0.0));
        fleet.now += 50.0;
    }
    let now = fleet.local_time(0);
    assert!(
        fleet.fronts[0].parts(now, BUDGET) > 3 * PARTS_PER_FRONT,
        "{}",
        fleet.fronts[0].parts(now, BUDGET)
    );
    // The need has ended, and no front receives anything.
    fleet.now += LEASE_MS * (1.0 + LEASE_MARGIN) * (1.0 + 2.0 * MAX_CLOCK_DRIFT);
    let parts: Vec<u32> = (0..4).map(|i| fleet.fronts[i].parts(fleet.local_time(i), BUDGET)).collect();
    assert_eq!(parts, [PARTS_PER_FRONT; 4]);
}

#[test]
fn a_restarted_front_holds_only_its_reserve_for_one_lease() {
    let mut fleet = Fleet::new(2, 2);
    fleet.now = 5.0 * LEASE_MS;
    fleet.restart(1);
    let parts = |fleet: &Fleet| fleet.fronts[1].parts(fleet.local_time(1), BUDGET);
    assert_eq!(parts(&fleet), RESERVED_PARTS);
    fleet.now += LEASE_MS;
    assert_eq!(parts(&fleet), RESERVED_PARTS);
    fleet.now += LEASE_MS * (LEASE_MARGIN + 3.0 * MAX_CLOCK_DRIFT);
    assert_eq!(parts(&fleet), PARTS_PER_FRONT);
}

#[test]
fn an_isolated_front_keeps_its_own_parts() {
    let mut fleet = Fleet::new(3, 3);
    fleet.now = 2.0 * LEASE_MS;
    for _ in 0..100 {
        fleet.now += 50.0;
        let now = fleet.local_time(0);
        fleet.fronts[0].record_use(now, BUDGET, true);
        fleet.exchange(0, 1.0, 0.0);
        assert_eq!(fleet.fronts[0].parts(fleet.local_time(0), BUDGET), PARTS_PER_FRONT);
    }
}

#[test]
fn undecodable_cells_are_ignored() {
    let mut budgets = Budgets::new(0.0, 0, 1, 2, LEASE_MS);
    let noise: Vec<u8> = (0..200).map(|i| (i * 37) as u8).collect();
    let invalid_cells: Vec<&[u8]> = vec![&noise, &[], &[255; 900]];
    let peer = PeerState {
        origin: 1,
        incarnation: 1,
        zone: None,
        age: 0.0,
        loan_requests: invalid_cells.clone(),
        grants: invalid_cells.clone(),
        counts: invalid_cells.clone(),
        server_results: invalid_cells,
    };
    budgets.merge(2.0 * LEASE_MS, &[peer]);
    assert_eq!(budgets.parts(2.0 * LEASE_MS, BUDGET), PARTS_PER_FRONT);
}
