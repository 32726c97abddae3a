//! Checks of the rules that limit how much is sent: to cold servers, of high rungs, to seats, and again.

use super::run::{Allocation, FrontLifetime, ProcessLifetimes, Request};
use super::{Breach, Coverage, RuleParams};
use std::collections::{BTreeMap, BTreeSet};

/// Rule 4: the set-ups of all fronts together do not overload a cold server; two above the limit are tolerated. A
/// window counts only if most of its set-ups came from fronts that knew, or had to assume, that the server is cold. At
/// most one breach is reported for each cold start.
pub(super) fn check_cold_starts(
    allocations: &[Allocation],
    list_changes: &BTreeMap<usize, Vec<(f64, bool)>>,
    lifetimes: &ProcessLifetimes,
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
    coverage: &mut Coverage,
) {
    let ProcessLifetimes { cold_starts, server_stops, front_starts, .. } = lifetimes;
    for (server, started_at) in cold_starts {
        let later_stops =
            server_stops.iter().filter(|(s, at)| s == server && at > started_at).map(|(_, at)| *at);
        let cold_until = later_stops.fold(started_at + params.cold, f64::min);
        let earlier_stops =
            server_stops.iter().filter(|(s, at)| s == server && at < started_at).map(|(_, at)| *at);
        let previous_stop_at = earlier_stops.fold(f64::NEG_INFINITY, f64::max);
        // A front knows of the start once it has read it in the server list, or when it lost its own plays with the
        // server's previous process. A front that started after the server must assume that what it read at its own
        // start may be outdated.
        let ready_listing =
            list_changes.get(server).into_iter().flatten().find(|(at, ready)| *ready && at >= started_at);
        let server_allocations: Vec<&Allocation> =
            allocations.iter().filter(|a| a.server == *server).collect();
        let lost_plays_there = |lifetime: FrontLifetime| {
            server_allocations.iter().any(|a| {
                a.lifetime == lifetime
                    && a.set_up_at < previous_stop_at
                    && a.ended_at() >= previous_stop_at - params.slack
            })
        };
        let started_after_server = |lifetime: FrontLifetime| {
            front_starts
                .get(&lifetime.0)
                .and_then(|starts| starts.get(lifetime.1))
                .is_some_and(|front_started_at| front_started_at > started_at)
        };
        let was_informed = |allocation: &Allocation| {
            ready_listing.is_some_and(|(at, _)| allocation.set_up_at > at + params.list_delay + params.slack)
                || lost_plays_there(allocation.lifetime)
                || started_after_server(allocation.lifetime)
        };
        let set_ups =
            server_allocations.iter().filter(|a| a.set_up_at >= *started_at && a.set_up_at < cold_until);
        let mut set_ups: Vec<(f64, bool)> = set_ups.map(|a| (a.set_up_at, was_informed(a))).collect();
        set_ups.sort_by(|a, b| a.0.total_cmp(&b.0));
        coverage.cold_set_ups += set_ups.len();
        for (i, (window_end, _)) in set_ups.iter().enumerate() {
            let window: Vec<bool> = set_ups[..=i]
                .iter()
                .filter(|(at, _)| *at > window_end - params.overload_window)
                .map(|(_, informed)| *informed)
                .collect();
            let informed_count = window.iter().filter(|informed| **informed).count();
            let capacity_fraction =
                params.cold_from + (1.0 - params.cold_from) * (window_end - started_at) / params.cold;
            let allowed = params.overload * params.streams[*server] / params.cold
                * capacity_fraction
                * params.overload_window;
            // One or two set-ups above the rate are tolerated: they may coincide by chance.
            if window.len() as f64 > allowed + 2.0 && 2 * informed_count > window.len() {
                let count = window.len();
                let what = format!("server {server}: {count} set-ups in a window that allows {allowed:.1}");
                breaches.push(Breach { rule: 4, at: *window_end, what });
                break;
            }
        }
    }
}

/// Rule 5: plays stay between the floor and the top rung, and a title has no more plays at a front than seats.
pub(super) fn check_rungs_and_seats(
    requests: &[Request],
    allocations: &[Allocation],
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let requested_max_rungs: BTreeMap<&str, usize> =
        requests.iter().map(|r| (r.session, r.max_rung)).collect();
    // Start and end of each allocation, by front lifetime, product and title.
    type SpansByTitle<'a> = BTreeMap<(FrontLifetime, usize, &'a str), Vec<(f64, f64)>>;
    let mut spans_by_title = SpansByTitle::new();
    for allocation in allocations {
        let product = &params.products[allocation.product];
        let max_rung = product
            .top
            .min(*requested_max_rungs.get(allocation.session).unwrap_or(&usize::MAX))
            .max(product.floor);
        if let Some((at, rung)) = allocation.rungs.iter().find(|(_, r)| *r < product.floor || *r > max_rung) {
            let what = format!(
                "{} was at rung {rung}; allowed are {} to {max_rung}",
                allocation.name, product.floor
            );
            breaches.push(Breach { rule: 5, at: *at, what });
        }
        if product.seats > 0 {
            spans_by_title
                .entry((allocation.lifetime, allocation.product, allocation.title))
                .or_default()
                .push((allocation.set_up_at, allocation.ended_at()));
        }
    }
    for (((front, _), product, title), spans) in spans_by_title {
        let seats = params.products[product].seats;
        for (at, _) in &spans {
            let concurrent_plays =
                spans.iter().filter(|(from, to)| from <= at && *to > at + params.slack).count();
            if concurrent_plays > seats {
                let what = format!(
                    "front {front}: {concurrent_plays} concurrent plays of {title}, but {seats} seats"
                );
                breaches.push(Breach { rule: 5, at: *at, what });
                break;
            }
        }
    }
}

/// Rule 6: within any span, a front makes no more further allocations than its budget allows for the sessions that were
/// first requested at it. At most one breach is reported for each lifetime of a front.
pub(super) fn check_budget(
    requests: &[Request],
    allocations: &[Allocation],
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let Some(budget) = &params.budget else { return };
    let mut further_by_lifetime: BTreeMap<FrontLifetime, Vec<f64>> = BTreeMap::new();
    for allocation in allocations.iter().filter(|allocation| allocation.ordinal > 1) {
        further_by_lifetime.entry(allocation.lifetime).or_default().push(allocation.set_up_at);
    }
    for (lifetime, mut further_set_ups_at) in further_by_lifetime {
        further_set_ups_at.sort_by(f64::total_cmp);
        let mut sessions = BTreeSet::new();
        let lifetime_requests = requests.iter().filter(|r| r.lifetime == lifetime);
        let first_requests_at: Vec<f64> =
            lifetime_requests.filter(|r| sessions.insert(r.session)).map(|r| r.requested_at).collect();
        for (i, at) in further_set_ups_at.iter().enumerate() {
            let window_start = at - budget.span;
            let further_count =
                further_set_ups_at[..=i].iter().filter(|t| **t > window_start + params.slack).count() as f64;
            let session_count = first_requests_at
                .iter()
                .filter(|t| **t > window_start - params.slack && **t <= at + params.slack)
                .count();
            let allowed = budget.free + budget.share * session_count as f64;
            if further_count > allowed {
                let what = format!(
                    "front {}: {further_count} further allocations, {allowed:.1} allowed",
                    lifetime.0
                );
                breaches.push(Breach { rule: 6, at: *at, what });
                break;
            }
        }
    }
}
