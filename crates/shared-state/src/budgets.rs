//! Budgets by parts: a server's cold pace, the fleet's further allocations to one server, its probes. After escrow and
//! bounded counters (O'Neil 1986; Balegas et al. 2015), with leases (Gray and Cheriton 1989).
//!
//! Of each budget each of N fronts has [`PARTS_PER_FRONT`] parts; the whole is N x PARTS_PER_FRONT. **At no time do all fronts together hold more
//! than the whole:**
//!
//! - A front holds `PARTS_PER_FRONT - lent + borrowed`, and keeps [`RESERVED_PARTS`] whatever it lends. What it hears, or that it hears
//!   nothing, never adds but by a grant.
//! - A grant answers a wish by its number, and counts once: of each giver's grants the borrower counts the newest alone,
//!   while the giver takes off the largest that may still be counted. So doubling and reorder add nothing.
//! - The giver takes off before it says so. The borrower counts a grant until `span` after it *asked*, on its clock; the
//!   giver takes it back `span x (1 + LEASE_MARGIN)` after it *gave*, on its own. Asking came before giving, so with clocks
//!   that run apart by at most [`MAX_CLOCK_DRIFT`], (1 + LEASE_MARGIN)/(1 + MAX_CLOCK_DRIFT) >= 1/(1 - MAX_CLOCK_DRIFT) keeps the end of use before the end
//!   of the loan, however late, doubled or lost the words are. A grant that comes after its span is nothing.
//! - A front that restarts cannot know what it lent: it holds RESERVED_PARTS and lends nothing until `span x (1 + LEASE_MARGIN)` after
//!   its start. What it had borrowed is gone with its incarnation, which grants name.
//!
//! So lost words cost capacity for a span, and never make any.

use crate::{PeerState, chunks, items};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that a front has of each budget, and those that it never lends.
pub const PARTS_PER_FRONT: u32 = 1_000;
pub const RESERVED_PARTS: u32 = 250;
/// Clocks run apart by no more than this part.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// A loan's end at its giver is later than at its borrower by this part of the span: 2 x MAX_CLOCK_DRIFT / (1 - MAX_CLOCK_DRIFT), twice over.
pub const LEASE_MARGIN: f64 = 0.04;
/// Wishes and grants that a row may hold. There are up to three for each cold server.
const MOST: usize = 2_048;
/// Numbers of a wish whose grants may still be under way.
const ASKED: usize = 4;
const CELL: usize = 900;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetKind {
    Pace,
    Further,
    Probes,
}

/// A budget: of what, at which server.
pub type BudgetId = (u64, BudgetKind);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Wish {
    of: BudgetId,
    number: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Grant {
    to: u32,
    /// The borrower's incarnation: another of it did not ask.
    incarnation: u64,
    of: BudgetId,
    number: u32,
    parts: u32,
}

struct Lease {
    to: u32,
    incarnation: u64,
    number: u32,
    parts: u32,
    until: f64,
}

/// What this front does with one budget.
#[derive(Default)]
struct Purse {
    /// When it last needed any of it, and when it last needed more than it holds.
    used: Option<f64>,
    wanted: Option<f64>,
    /// The latest numbers of the wish, with when they were asked.
    asked: Vec<(u32, f64)>,
    lent: Vec<Lease>,
    /// Of each giver: the number, the parts, and until when.
    held: BTreeMap<u32, (u32, u32, f64)>,
}

impl Purse {
    /// For each borrower, the largest lease that it may still count.
    fn lent(&self, now: f64) -> u32 {
        let mut by: BTreeMap<(u32, u64), u32> = BTreeMap::new();
        for lease in self.lent.iter().filter(|l| now < l.until) {
            let most = by.entry((lease.to, lease.incarnation)).or_default();
            *most = (*most).max(lease.parts);
        }
        by.values().sum()
    }

    fn idle(&self) -> bool {
        self.used.is_none() && self.lent.is_empty() && self.held.is_empty() && self.asked.is_empty()
    }
}

pub struct Budgets {
    origin: u32,
    incarnation: u64,
    span: f64,
    fronts: u32,
    /// Until then it may have lent what it does not know of.
    unsure: f64,
    number: u32,
    purses: BTreeMap<BudgetId, Purse>,
}

impl Budgets {
    /// Of so many fronts, with loans of so many ms.
    pub fn new(now: f64, origin: u32, incarnation: u64, fronts: usize, span: f64) -> Budgets {
        let unsure = now + span * (1.0 + LEASE_MARGIN);
        let fronts = fronts.clamp(1, 1_000_000) as u32;
        Budgets { origin, incarnation, span, fronts, unsure, number: 0, purses: BTreeMap::new() }
    }

    /// All that fronts together may hold of a budget.
    pub fn whole(&self) -> u32 {
        self.fronts * PARTS_PER_FRONT
    }

    /// This front's row has another incarnation from now on: wishes of the former are nobody's.
    pub fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        for purse in self.purses.values_mut() {
            purse.asked.clear();
            purse.held.clear();
        }
    }

    /// This front has use for it, and what it holds is too little where `more`.
    pub fn request(&mut self, now: f64, of: BudgetId, more: bool) {
        if self.purses.len() < MOST || self.purses.contains_key(&of) {
            let purse = self.purses.entry(of).or_default();
            purse.used = Some(now);
            if more {
                purse.wanted = Some(now);
            }
        }
    }

    /// Parts that it may spend now. To be asked whenever it spends: loans end by the clock alone.
    pub fn parts(&self, now: f64, of: BudgetId) -> u32 {
        let own = if now < self.unsure { RESERVED_PARTS } else { PARTS_PER_FRONT };
        let Some(purse) = self.purses.get(&of) else { return own };
        let lent = purse.lent(now);
        let held: u32 = purse.held.values().filter(|h| now < h.2).map(|h| h.1).sum();
        let parts = own.saturating_sub(lent) + held;
        assert!(
            lent <= PARTS_PER_FRONT - RESERVED_PARTS && parts <= self.whole(),
            "{lent} lent, {parts} held of {}",
            self.whole()
        );
        parts
    }

    /// When a loan next ends, on either side, or this front next knows all that it lent.
    pub fn next_expiry(&self) -> f64 {
        let ends = self
            .purses
            .values()
            .flat_map(|p| p.lent.iter().map(|l| l.until).chain(p.held.values().map(|h| h.2)));
        ends.fold(f64::INFINITY, f64::min)
    }

    /// Forgets loans that have ended.
    pub fn expire(&mut self, now: f64) {
        for purse in self.purses.values_mut() {
            purse.lent.retain(|l| now < l.until);
            purse.held.retain(|_, h| now < h.2);
        }
    }

    /// Goes by what others say: counts grants, and lends what it does not need itself.
    pub fn merge(&mut self, now: f64, heard: &[PeerState]) {
        let (span, me) = (self.span, (self.origin, self.incarnation));
        self.expire(now);
        for purse in self.purses.values_mut() {
            purse.asked.retain(|a| now < a.1 + span);
            let lately = |at: &f64| now < at + span;
            purse.used = purse.used.filter(lately);
            purse.wanted = purse.wanted.filter(lately);
        }
        for peer in heard {
            for grant in items::<Grant>(&peer.grants) {
                if (grant.to, grant.incarnation) == me && grant.parts <= PARTS_PER_FRONT - RESERVED_PARTS {
                    self.granted(now, peer.origin, grant);
                }
            }
        }
        self.lend(now, heard);
        self.wish(now);
        self.purses.retain(|_, purse| !purse.idle());
    }

    fn granted(&mut self, now: f64, from: u32, grant: Grant) {
        let Some(purse) = self.purses.get_mut(&grant.of) else { return };
        let Some((_, asked)) = purse.asked.iter().find(|a| a.0 == grant.number) else { return };
        let until = asked + self.span;
        let newer = purse.held.get(&from).is_none_or(|h| h.0 < grant.number);
        if newer && now < until {
            purse.held.insert(from, (grant.number, grant.parts, until));
        }
    }

    /// Half of what is left goes to whoever asks first, so that one who asks a little later finds some.
    fn lend(&mut self, now: f64, heard: &[PeerState]) {
        if now < self.unsure {
            return;
        }
        let until = now + self.span * (1.0 + LEASE_MARGIN);
        for peer in heard.iter().filter(|p| p.age < self.span) {
            for Wish { of, number } in items::<Wish>(&peer.loan_requests) {
                if !self.purses.contains_key(&of) && self.purses.len() >= MOST {
                    continue;
                }
                let purse = self.purses.entry(of).or_default();
                let known = |l: &Lease| (l.to, l.incarnation) == (peer.origin, peer.incarnation);
                let answered = purse.lent.iter().filter(|l| known(l)).any(|l| l.number >= number);
                if purse.used.is_some() || answered {
                    continue;
                }
                let before = purse.lent.iter().filter(|l| known(l)).map(|l| l.parts).max().unwrap_or(0);
                let left = (PARTS_PER_FRONT - RESERVED_PARTS).saturating_sub(purse.lent(now));
                let parts = before + left.div_ceil(2);
                if parts > 0 {
                    let (to, incarnation) = (peer.origin, peer.incarnation);
                    purse.lent.push(Lease { to, incarnation, number, parts, until });
                }
            }
        }
    }

    /// Asks anew half a span after it last asked, while it lacks.
    fn wish(&mut self, now: f64) {
        for purse in self.purses.values_mut() {
            let last = purse.asked.last().map(|a| a.1);
            if purse.wanted.is_some() && last.is_none_or(|last| now >= last + self.span / 2.0) {
                self.number += 1;
                purse.asked.push((self.number, now));
                if purse.asked.len() > ASKED {
                    purse.asked.remove(0);
                }
            }
        }
    }

    /// The cells of its wishes, and those of its grants.
    pub fn cells(&self) -> (Vec<Vec<u8>>, Vec<Vec<u8>>) {
        let (mut wishes, mut grants) = (Vec::new(), Vec::new());
        for (of, purse) in &self.purses {
            if let Some((number, _)) = purse.asked.last().filter(|_| purse.wanted.is_some()) {
                wishes.push(Wish { of: *of, number: *number });
            }
            let mut newest: BTreeMap<(u32, u64), &Lease> = BTreeMap::new();
            for lease in &purse.lent {
                newest.insert((lease.to, lease.incarnation), lease);
            }
            for lease in newest.into_values() {
                let Lease { to, incarnation, number, parts, .. } = *lease;
                grants.push(Grant { to, incarnation, of: *of, number, parts });
            }
        }
        wishes.truncate(MOST);
        grants.truncate(MOST);
        (chunks(wishes, CELL), chunks(grants, CELL))
    }
}
