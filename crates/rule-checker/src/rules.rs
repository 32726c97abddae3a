//! Checks of the six rules on recorded observations. Each breach names its rule, its time and what was observed. All
//! times are in ms.
//!
//! The front that made an allocation, and whether the allocation is the first of its play, follow from which front was
//! asked for the session, and when (`assign_to_fronts`). The name of an allocation is chosen by the front, so it is
//! only used to group the observations of one server.
//!
//! An observation is later than the event by the time that a busy machine needs to move bytes between two sockets and
//! to schedule the readers. The order of events on different sockets is therefore checked with the tolerance `slack`.

mod limits;
mod params;
mod run;

pub use params::{Budget, Effect, Group, Product, RuleParams};

use crate::{Observation, Observed};
use limits::{check_budget, check_cold_starts, check_rungs_and_seats};
use run::{Allocation, FrontLifetime, ProcessLifetimes, Request, UNKNOWN_LIFETIME};
use std::collections::BTreeMap;

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Number of the rule, 1 to 6; 0 for a wrong segment.
    pub rule: u8,
    /// Time of the breach in ms, on the clock of the observations.
    pub at: f64,
    /// What was observed.
    pub what: String,
}

/// What a check covered, to distinguish a clean verdict on an empty log from one on a full log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Coverage {
    /// Manifest requests of players.
    pub requests: usize,
    /// Set-up requests that servers read, each allocation counted once.
    pub set_ups: usize,
    /// Allocations after the first of their play.
    pub further_allocations: usize,
    /// List changes of a server to draining or gone.
    pub drains: usize,
    /// Set-ups at servers that were warming up.
    pub cold_set_ups: usize,
    /// Segments that players fetched.
    pub segments: usize,
}

/// Checks all rules on observations, which may be in any order. The breaches are sorted by time.
pub fn check(observations: &[Observation], params: &RuleParams) -> (Vec<Breach>, Coverage) {
    let mut observations: Vec<&Observation> = observations.iter().collect();
    observations.sort_by(|a, b| a.at.total_cmp(&b.at));
    let last_observed_at = observations.last().map_or(0.0, |s| s.at);
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut allocations: BTreeMap<&str, Allocation> = BTreeMap::new();
    let mut lifetimes = ProcessLifetimes::default();
    let mut list_changes: BTreeMap<usize, Vec<(f64, bool)>> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut coverage = Coverage::default();
    for observation in &observations {
        let at = observation.at;
        match &observation.what {
            Observed::Asked { request, session, front, product, title, top } => {
                let lifetime =
                    (*front, lifetimes.front_starts.get(front).map_or(0, |ups| ups.len().saturating_sub(1)));
                let (product, max_rung) = (*product, *top);
                let new_request = Request {
                    requested_at: at,
                    session,
                    lifetime,
                    product,
                    title,
                    max_rung,
                    responses: Vec::new(),
                    left_at: None,
                };
                requests.insert(*request, new_request);
            }
            Observed::Answered { request, status } => {
                if let Some(record) = requests.get_mut(request) {
                    record.responses.push((at, *status));
                }
            }
            // A connection that a running front cut counts as no response; for a front that died, see `front_stops`.
            Observed::Cut { .. } => {}
            Observed::Left { request } => {
                if let Some(record) = requests.get_mut(request) {
                    record.left_at.get_or_insert(at);
                }
            }
            Observed::Fetched { session, title, number, rung, got } => {
                coverage.segments += 1;
                let is_expected = got.as_ref().is_some_and(|got| {
                    got.intact && got.title == *title && got.number == *number && got.rung <= *rung
                });
                if !is_expected {
                    let what =
                        format!("session {session}: segment {title}/{rung}/{number} contained {got:?}");
                    breaches.push(Breach { rule: 0, at, what });
                }
            }
            Observed::SetUp { server, allocation, session, product, title, rung } => {
                let new_allocation = Allocation {
                    name: allocation,
                    set_up_at: at,
                    server: *server,
                    session,
                    product: *product,
                    title,
                    rungs: vec![(at, *rung)],
                    result: None,
                    closed_at: f64::INFINITY,
                    lifetime: UNKNOWN_LIFETIME,
                    play_number: 1,
                    ordinal: 1,
                };
                if allocations.insert(allocation, new_allocation).is_some() {
                    breaches.push(Breach {
                        rule: 2,
                        at,
                        what: format!("allocation {allocation} was sent twice"),
                    });
                }
            }
            Observed::Done { allocation, ran, status } => {
                if let Some(record) = allocations.get_mut(allocation.as_str()) {
                    record.result = Some((at, *ran, *status));
                }
            }
            Observed::Closed { allocation } => {
                if let Some(record) = allocations.get_mut(allocation.as_str()) {
                    record.closed_at = record.closed_at.min(at);
                }
            }
            Observed::Rung { allocation, rung } => {
                if let Some(record) = allocations.get_mut(allocation.as_str()) {
                    record.rungs.push((at, *rung));
                }
            }
            Observed::Front { front, up: false } => lifetimes.front_stops.push((*front, at)),
            Observed::Front { front, up: true } => lifetimes.front_starts.entry(*front).or_default().push(at),
            Observed::Started { server, cold: true } => lifetimes.cold_starts.push((*server, at)),
            Observed::Started { .. } => {}
            Observed::Stopped { server } => lifetimes.server_stops.push((*server, at)),
            Observed::Listed { server, ready } => list_changes.entry(*server).or_default().push((at, *ready)),
        }
    }
    let requests: Vec<Request> = requests.into_values().collect();
    let mut allocations: Vec<Allocation> = allocations.into_values().collect();
    assign_to_fronts(&requests, &mut allocations, &lifetimes.front_stops, params);
    coverage.requests = requests.len();
    coverage.set_ups = allocations.len();
    check_responses(&requests, &allocations, &lifetimes.front_stops, last_observed_at, params, &mut breaches);
    check_repeated_allocations(&requests, &allocations, params, &mut breaches, &mut coverage);
    check_drains(&allocations, &list_changes, params, &mut breaches, &mut coverage);
    check_cold_starts(&allocations, &list_changes, &lifetimes, params, &mut breaches, &mut coverage);
    check_rungs_and_seats(&requests, &allocations, params, &mut breaches);
    check_budget(&requests, &allocations, params, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    (breaches, coverage)
}

/// Determines the front lifetime, the play and the ordinal of each allocation. An allocation of a session belongs to a
/// front that was asked for the session and has not responded yet; of several such fronts, to the one with the fewest
/// allocations for the session. A session that is requested again after a response is a new play.
fn assign_to_fronts(
    requests: &[Request],
    allocations: &mut [Allocation],
    front_stops: &[(usize, f64)],
    params: &RuleParams,
) {
    let mut requests_by_session: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    requests.iter().for_each(|r| requests_by_session.entry(r.session).or_default().push(r));
    requests_by_session.values_mut().for_each(|session_requests| {
        session_requests.sort_by(|a, b| a.requested_at.total_cmp(&b.requested_at))
    });
    allocations.sort_by(|a, b| a.set_up_at.total_cmp(&b.set_up_at));
    // The latest allocation of each session in each front lifetime: its time, play number and ordinal.
    let mut latest: BTreeMap<(&str, FrontLifetime), (f64, usize, usize)> = BTreeMap::new();
    for allocation in allocations {
        let Some(session_requests) = requests_by_session.get(allocation.session) else { continue };
        let earlier_requests = session_requests.iter().filter(|r| r.requested_at <= allocation.set_up_at);
        let is_front_alive = |r: &&&Request| {
            !front_stops.iter().any(|(front, at)| {
                *front == r.lifetime.0 && *at >= r.requested_at && *at + params.slack < allocation.set_up_at
            })
        };
        let is_without_response =
            |r: &&&Request| r.responses.iter().all(|(at, _)| at + params.slack >= allocation.set_up_at);
        let allocation_count =
            |lifetime: FrontLifetime| latest.get(&(allocation.session, lifetime)).map_or(0, |l| l.2);
        let pending_request = earlier_requests
            .clone()
            .filter(is_front_alive)
            .filter(is_without_response)
            .min_by_key(|r| allocation_count(r.lifetime));
        let Some(lifetime) = pending_request
            .or(earlier_requests.clone().rev().find(is_front_alive))
            .or(earlier_requests.clone().next_back())
            .map(|r| r.lifetime)
        else {
            continue;
        };
        let (play_number, ordinal) = match latest.get(&(allocation.session, lifetime)) {
            None => (1, 1),
            Some((latest_at, play_number, ordinal)) => {
                let lifetime_requests = || session_requests.iter().filter(|r| r.lifetime == lifetime);
                let is_requested_since = |since: f64| {
                    lifetime_requests()
                        .any(|r| r.requested_at >= since && r.requested_at <= allocation.set_up_at)
                };
                let is_new_play = lifetime_requests()
                    .flat_map(|r| &r.responses)
                    .any(|(responded_at, _)| responded_at >= latest_at && is_requested_since(*responded_at));
                if is_new_play { (play_number + 1, 1) } else { (*play_number, ordinal + 1) }
            }
        };
        (allocation.lifetime, allocation.play_number, allocation.ordinal) = (lifetime, play_number, ordinal);
        latest.insert((allocation.session, lifetime), (allocation.set_up_at, play_number, ordinal));
    }
}

/// Rule 1: every request at a front that keeps running gets exactly one response within its time limit, and a response
/// of 200 means that the title plays.
fn check_responses(
    requests: &[Request],
    allocations: &[Allocation],
    front_stops: &[(usize, f64)],
    last_observed_at: f64,
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let mut playing_since: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for allocation in allocations {
        if let Some((at, _, 200)) = allocation.result {
            playing_since
                .entry((allocation.session, allocation.title))
                .and_modify(|t| *t = t.min(at))
                .or_insert(at);
        }
    }
    for request in requests {
        let deadline = request.requested_at + params.products[request.product].limit + params.slack;
        let front_died = front_stops.iter().any(|(front, at)| {
            *front == request.lifetime.0 && *at >= request.requested_at - params.slack && *at <= deadline
        });
        let player_left = request.left_at.is_some_and(|at| at <= deadline && request.responses.is_empty());
        let breach = |at: f64, what: String| Breach { rule: 1, at, what };
        match request.responses.as_slice() {
            [] if front_died || deadline > last_observed_at => {}
            // A player that closed the connection itself needs no response.
            [] if player_left => {}
            [] => breaches.push(breach(deadline, format!("session {} got no response", request.session))),
            [(at, _)] if *at > deadline => {
                let late = at - deadline + params.slack;
                breaches.push(breach(
                    *at,
                    format!("session {} got its response {late:.0} ms late", request.session),
                ));
            }
            [(at, 200)]
                if playing_since
                    .get(&(request.session, request.title))
                    .is_none_or(|since| *since > at + params.slack) =>
            {
                breaches.push(breach(
                    *at,
                    format!("session {} got a response of 200 but does not play", request.session),
                ));
            }
            [_] => {}
            [_, (at, _), ..] => {
                breaches.push(breach(*at, format!("session {} got more than one response", request.session)));
            }
        }
    }
}

/// Rule 2: a play never has two allocations in flight. A paid set-up is repeated only if no earlier one may have run; a
/// keyed one stays within its group and window. A request is not declined (503) after a set-up that may have run,
/// unless the set-up could be repeated anywhere.
fn check_repeated_allocations(
    requests: &[Request],
    allocations: &[Allocation],
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
    coverage: &mut Coverage,
) {
    coverage.further_allocations = allocations.iter().filter(|allocation| allocation.ordinal > 1).count();
    // A session never has two allocations in flight at one front, whichever plays they belong to.
    let mut by_session: BTreeMap<(FrontLifetime, &str), Vec<&Allocation>> = BTreeMap::new();
    let mut by_play: BTreeMap<(FrontLifetime, &str, usize), Vec<&Allocation>> = BTreeMap::new();
    for allocation in allocations {
        by_session.entry((allocation.lifetime, allocation.session)).or_default().push(allocation);
        by_play
            .entry((allocation.lifetime, allocation.session, allocation.play_number))
            .or_default()
            .push(allocation);
    }
    for ((_, session), sent_allocations) in &by_session {
        for (i, next) in sent_allocations.iter().enumerate().skip(1) {
            if let Some(concurrent) = sent_allocations[..i]
                .iter()
                .find(|allocation| allocation.ended_at() > next.set_up_at + params.slack)
            {
                let what = format!(
                    "session {session}: {} and {} were in flight at the same time",
                    concurrent.name, next.name
                );
                breaches.push(Breach { rule: 2, at: next.set_up_at, what });
            }
        }
    }
    for ((lifetime, session, _), sent_allocations) in &by_play {
        let product = &params.products[sent_allocations[0].product];
        for (i, next) in sent_allocations.iter().enumerate().skip(1) {
            let breach = |what: String| Breach { rule: 2, at: next.set_up_at, what };
            // Judged by what the front can know: only a rejection before any processing (429) proves that no work
            // was done.
            let mut may_have_run = sent_allocations[..i]
                .iter()
                .filter(|allocation| !matches!(allocation.result, Some((_, _, 429))));
            let Some(first) = may_have_run.next() else { continue };
            let is_same_group = |group| match group {
                Group::All => true,
                Group::Zone => params.zones[first.server] == params.zones[next.server],
                Group::Cell => params.cells[first.server] == params.cells[next.server],
            };
            match product.effect {
                Effect::Free => {}
                Effect::Paid => breaches.push(breach(format!(
                    "session {session}: a paid set-up was repeated after {}",
                    first.name
                ))),
                Effect::Keyed { group, window } => {
                    if !is_same_group(group) || next.set_up_at > first.set_up_at + window + params.slack {
                        let what = format!(
                            "session {session}: {} was sent outside of its group or window",
                            next.name
                        );
                        breaches.push(breach(what));
                    }
                }
            }
        }
        let any_may_have_run =
            sent_allocations.iter().any(|allocation| !matches!(allocation.result, Some((_, _, 429))));
        let may_decline = matches!(product.effect, Effect::Free | Effect::Keyed { group: Group::All, .. });
        let next_play_at = by_session[&(*lifetime, *session)]
            .iter()
            .find(|allocation| allocation.play_number > sent_allocations[0].play_number)
            .map_or(f64::MAX, |allocation| allocation.set_up_at);
        for request in requests.iter().filter(|request| {
            (request.session, request.lifetime) == (*session, *lifetime) && any_may_have_run && !may_decline
        }) {
            let is_within_play = |at: f64| at >= sent_allocations[0].set_up_at && at < next_play_at;
            if let Some((at, _)) =
                request.responses.iter().find(|(at, status)| *status == 503 && is_within_play(*at))
            {
                let what =
                    format!("session {session}: declined although {} may have run", sent_allocations[0].name);
                breaches.push(Breach { rule: 2, at: *at, what });
            }
        }
    }
}

/// Rule 3: no set-up is sent to a draining or gone server after the grace period.
fn check_drains(
    allocations: &[Allocation],
    list_changes: &BTreeMap<usize, Vec<(f64, bool)>>,
    params: &RuleParams,
    breaches: &mut Vec<Breach>,
    coverage: &mut Coverage,
) {
    coverage.drains = list_changes.values().flatten().filter(|(_, ready)| !ready).count();
    for allocation in allocations {
        let Some(changes) = list_changes.get(&allocation.server) else { continue };
        let Some((since, false)) = changes.iter().rev().find(|(at, _)| *at <= allocation.set_up_at) else {
            continue;
        };
        if allocation.set_up_at > since + params.drain_grace + params.slack {
            let what = format!(
                "{} was sent to server {} {:.0} ms after it was listed as not ready",
                allocation.name,
                allocation.server,
                allocation.set_up_at - since
            );
            breaches.push(Breach { rule: 3, at: allocation.set_up_at, what });
        }
    }
}
