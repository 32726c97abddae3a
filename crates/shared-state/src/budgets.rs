//! Budgets in parts: the pace of allocations to a cold server, the fleet's further allocations to one server, and its
//! probes. The scheme follows escrow and bounded counters (O'Neil 1986; Balegas et al. 2015), with leases (Gray and
//! Cheriton 1989). `pulleystair-fleet-member` calls it; times are in ms.
//!
//! A loan is a number of parts that one front (the lender) lets another (the borrower) use for a limited time. The borrower
//! publishes a loan request; the lender keeps a lease, and publishes it as a grant; the borrower counts the grant.
//!
//! Each of N fronts has [`PARTS_PER_FRONT`] parts of each budget, so the whole budget is N x PARTS_PER_FRONT. **At no time
//! do all fronts together hold more than the whole:**
//!
//! - A front holds `PARTS_PER_FRONT - lent + borrowed`, and keeps [`RESERVED_PARTS`] whatever it lends. Only a grant adds to
//!   what it holds; nothing else that it receives does, and neither does receiving nothing.
//! - A grant names the number of the loan request that it answers, and counts once: the borrower counts only the newest
//!   grant of each lender, while the lender deducts the largest grant that the borrower may still count. Duplicated and
//!   reordered messages therefore add nothing.
//! - The lender deducts a grant before it announces it. The borrower counts the grant until `lease_ms` after it *asked*, on
//!   its own clock. The lender takes it back `lease_ms x (1 + LEASE_MARGIN)` after it *lent*, on its own clock. The
//!   borrower asks before the lender lends, and each clock is fast or slow by at most [`MAX_CLOCK_DRIFT`]. With
//!   (1 + LEASE_MARGIN)/(1 + MAX_CLOCK_DRIFT) >= 1/(1 - MAX_CLOCK_DRIFT), the borrower's use ends before the lender's loan
//!   ends, however late, duplicated or lost the messages are. A grant that arrives after its lease has ended counts nothing.
//! - A front that restarts cannot know what it lent before. It holds RESERVED_PARTS and lends nothing until
//!   `lease_ms x (1 + LEASE_MARGIN)` after its start. What it had borrowed ends with its incarnation, which grants name.
//!
//! Lost messages therefore cost capacity for the time of a lease, and never create any.

use crate::{PeerState, decode_cells, encode_cells};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that each front has of each budget.
pub const PARTS_PER_FRONT: u32 = 1_000;
/// How many of its parts a front never lends.
pub const RESERVED_PARTS: u32 = 250;
/// Maximum relative error of one front's clock.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// The lender's end of a loan is later than the borrower's by this fraction of the lease. It is about twice the required
/// 2 x MAX_CLOCK_DRIFT / (1 - MAX_CLOCK_DRIFT).
pub const LEASE_MARGIN: f64 = 0.04;
/// Maximum number of budgets with a state, and of loan requests and of grants in this front's gossip row. Up to three are
/// needed for each cold server.
const MAX_LOANS: usize = 2_048;
/// Maximum number of loan requests of one budget whose grants are still counted.
const MAX_OPEN_REQUESTS: usize = 4;
/// Size up to which entries are packed into one cell, bytes. It is below the gossip's maximum size of a cell.
const MAX_CELL_BYTES: usize = 900;

/// What a budget limits: the pace of allocations to a cold server, further allocations of a play, or probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    /// Allocations to a cold server.
    Pace,
    /// Further allocations of plays that have one already.
    Further,
    /// Probes.
    Probes,
}

/// A budget: the server, and what is limited there.
pub type BudgetId = (u64, BudgetKind);

/// A front's request for parts of a budget. Its number grows with each request of that front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LoanRequest {
    budget: BudgetId,
    number: u32,
}

/// A loan as announced in the lender's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Grant {
    to: u32,
    /// The borrower's incarnation. Another incarnation of that front did not ask and must not count the grant.
    incarnation: u64,
    budget: BudgetId,
    number: u32,
    parts: u32,
}

/// The lender's record of a loan: parts that this front has lent, until `expires_at` on its own clock.
struct Lease {
    to: u32,
    incarnation: u64,
    number: u32,
    parts: u32,
    expires_at: f64,
}

/// This front's state of one budget.
#[derive(Default)]
struct BudgetState {
    /// When this front last used the budget.
    used_at: Option<f64>,
    /// When this front last needed more of the budget than it holds.
    wanted_more_at: Option<f64>,
    /// The latest loan requests: their numbers, and when they were made.
    requests: Vec<(u32, f64)>,
    leases: Vec<Lease>,
    /// By lender: the number of the request, the parts, and when they expire.
    borrowed: BTreeMap<u32, (u32, u32, f64)>,
}

impl BudgetState {
    /// Parts lent now: for each borrower, the largest lease that it may still count.
    fn parts_lent(&self, now: f64) -> u32 {
        let mut max_by_borrower: BTreeMap<(u32, u64), u32> = BTreeMap::new();
        for lease in self.leases.iter().filter(|l| now < l.expires_at) {
            let max_parts = max_by_borrower.entry((lease.to, lease.incarnation)).or_default();
            *max_parts = (*max_parts).max(lease.parts);
        }
        max_by_borrower.values().sum()
    }

    /// Whether nothing is recorded, so that the state may be dropped.
    fn is_idle(&self) -> bool {
        self.used_at.is_none()
            && self.leases.is_empty()
            && self.borrowed.is_empty()
            && self.requests.is_empty()
    }
}

/// This front's parts of all budgets.
pub struct Budgets {
    origin: u32,
    incarnation: u64,
    lease_ms: f64,
    front_count: u32,
    /// Until then there may be loans of an earlier start that this front does not know of.
    loans_unknown_until: f64,
    last_request_number: u32,
    states: BTreeMap<BudgetId, BudgetState>,
}

impl Budgets {
    /// For a fleet of `fronts` fronts, with loans of `lease_ms`.
    pub fn new(now: f64, origin: u32, incarnation: u64, front_count: usize, lease_ms: f64) -> Budgets {
        let loans_unknown_until = now + lease_ms * (1.0 + LEASE_MARGIN);
        let front_count = front_count.clamp(1, 1_000_000) as u32;
        Budgets {
            origin,
            incarnation,
            lease_ms,
            front_count,
            loans_unknown_until,
            last_request_number: 0,
            states: BTreeMap::new(),
        }
    }

    /// Parts of a budget that all fronts together may hold.
    pub fn total_parts(&self) -> u32 {
        self.front_count * PARTS_PER_FRONT
    }

    /// Sets the new incarnation of this front's row. Drops its open loan requests and the parts that it has borrowed; its
    /// loans to others go on.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        for state in self.states.values_mut() {
            state.requests.clear();
            state.borrowed.clear();
        }
    }

    /// Records that this front uses a budget, and with `needs_more` that what it holds is too little.
    pub fn record_use(&mut self, now: f64, budget: BudgetId, needs_more: bool) {
        if self.states.len() < MAX_LOANS || self.states.contains_key(&budget) {
            let state = self.states.entry(budget).or_default();
            state.used_at = Some(now);
            if needs_more {
                state.wanted_more_at = Some(now);
            }
        }
    }

    /// Parts that this front may spend now. Ask before each use, because loans end by the clock alone.
    pub fn parts(&self, now: f64, budget: BudgetId) -> u32 {
        let own_parts = if now < self.loans_unknown_until { RESERVED_PARTS } else { PARTS_PER_FRONT };
        let Some(state) = self.states.get(&budget) else { return own_parts };
        let lent = state.parts_lent(now);
        let borrowed: u32 = state.borrowed.values().filter(|h| now < h.2).map(|h| h.1).sum();
        let parts = own_parts.saturating_sub(lent) + borrowed;
        assert!(
            lent <= PARTS_PER_FRONT - RESERVED_PARTS && parts <= self.total_parts(),
            "budget exceeded: {lent} parts lent, {parts} held, {} in total",
            self.total_parts()
        );
        parts
    }

    /// When the next loan ends, lent or borrowed; infinite if there is none.
    pub fn next_expiry(&self) -> f64 {
        let expiries = self
            .states
            .values()
            .flat_map(|p| p.leases.iter().map(|l| l.expires_at).chain(p.borrowed.values().map(|h| h.2)));
        expiries.fold(f64::INFINITY, f64::min)
    }

    /// Removes loans that have ended.
    pub fn expire(&mut self, now: f64) {
        for state in self.states.values_mut() {
            state.leases.retain(|l| now < l.expires_at);
            state.borrowed.retain(|_, h| now < h.2);
        }
    }

    /// Processes the peers' rows: counts grants to this front, and lends what this front does not need itself.
    pub fn merge(&mut self, now: f64, peers: &[PeerState]) {
        let (lease_ms, own_id) = (self.lease_ms, (self.origin, self.incarnation));
        self.expire(now);
        for state in self.states.values_mut() {
            state.requests.retain(|a| now < a.1 + lease_ms);
            let is_recent = |at: &f64| now < at + lease_ms;
            state.used_at = state.used_at.filter(is_recent);
            state.wanted_more_at = state.wanted_more_at.filter(is_recent);
        }
        for peer in peers {
            for grant in decode_cells::<Grant>(&peer.grants) {
                if (grant.to, grant.incarnation) == own_id && grant.parts <= PARTS_PER_FRONT - RESERVED_PARTS
                {
                    self.apply_grant(now, peer.origin, grant);
                }
            }
        }
        self.grant_loans(now, peers);
        self.renew_requests(now);
        self.states.retain(|_, state| !state.is_idle());
    }

    /// Counts a grant if it answers a recent request and is newer than the lender's previous one.
    fn apply_grant(&mut self, now: f64, lender: u32, grant: Grant) {
        let Some(state) = self.states.get_mut(&grant.budget) else { return };
        let Some((_, asked_at)) = state.requests.iter().find(|a| a.0 == grant.number) else { return };
        let expires_at = asked_at + self.lease_ms;
        let is_newer = state.borrowed.get(&lender).is_none_or(|h| h.0 < grant.number);
        if is_newer && now < expires_at {
            state.borrowed.insert(lender, (grant.number, grant.parts, expires_at));
        }
    }

    /// Lends half of what is left, of each budget that this front does not use itself, to each peer that asks, so that a
    /// peer that asks a little later still gets some. A peer that renews its request is granted the parts that are already
    /// lent to it, plus half of what is left.
    fn grant_loans(&mut self, now: f64, peers: &[PeerState]) {
        if now < self.loans_unknown_until {
            return;
        }
        let expires_at = now + self.lease_ms * (1.0 + LEASE_MARGIN);
        for peer in peers.iter().filter(|p| p.age < self.lease_ms) {
            for LoanRequest { budget, number } in decode_cells::<LoanRequest>(&peer.loan_requests) {
                if !self.states.contains_key(&budget) && self.states.len() >= MAX_LOANS {
                    continue;
                }
                let state = self.states.entry(budget).or_default();
                let is_theirs = |l: &Lease| (l.to, l.incarnation) == (peer.origin, peer.incarnation);
                let is_answered = state.leases.iter().filter(|l| is_theirs(l)).any(|l| l.number >= number);
                if state.used_at.is_some() || is_answered {
                    continue;
                }
                let already_lent =
                    state.leases.iter().filter(|l| is_theirs(l)).map(|l| l.parts).max().unwrap_or(0);
                let available = (PARTS_PER_FRONT - RESERVED_PARTS).saturating_sub(state.parts_lent(now));
                let parts = already_lent + available.div_ceil(2);
                if parts > 0 {
                    let (to, incarnation) = (peer.origin, peer.incarnation);
                    state.leases.push(Lease { to, incarnation, number, parts, expires_at });
                }
            }
        }
    }

    /// Requests a loan again half a lease after the last request, as long as more is needed.
    fn renew_requests(&mut self, now: f64) {
        for state in self.states.values_mut() {
            let last_asked_at = state.requests.last().map(|a| a.1);
            if state.wanted_more_at.is_some()
                && last_asked_at.is_none_or(|last_asked_at| now >= last_asked_at + self.lease_ms / 2.0)
            {
                self.last_request_number += 1;
                state.requests.push((self.last_request_number, now));
                if state.requests.len() > MAX_OPEN_REQUESTS {
                    state.requests.remove(0);
                }
            }
        }
    }

    /// The cells of this front's loan requests, and those of its grants.
    pub fn cells(&self) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
        let (mut loan_requests, mut grants) = (Vec::new(), Vec::new());
        for (budget, state) in &self.states {
            if let Some((number, _)) = state.requests.last().filter(|_| state.wanted_more_at.is_some()) {
                loan_requests.push(LoanRequest { budget: *budget, number: *number });
            }
            let mut newest: BTreeMap<(u32, u64), &Lease> = BTreeMap::new();
            for lease in &state.leases {
                newest.insert((lease.to, lease.incarnation), lease);
            }
            for lease in newest.into_values() {
                let Lease { to, incarnation, number, parts, .. } = *lease;
                grants.push(Grant { to, incarnation, budget: *budget, number, parts });
            }
        }
        loan_requests.truncate(MAX_LOANS);
        grants.truncate(MAX_LOANS);
        (encode_cells(loan_requests, MAX_CELL_BYTES), encode_cells(grants, MAX_CELL_BYTES))
    }
}
