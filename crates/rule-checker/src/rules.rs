//! The six rules, decided from what was seen. Each breach names its rule, the time, and what was seen.
//!
//! Which front an allocation is of, and whether it is a play's first, is told by who was asked for its session, and
//! when ([`assign`]): the name of an allocation is the front's own word, and only keeps what one server saw together.
//!
//! Seen and sent differ by how long a busy machine takes to move bytes between two sockets and to let their
//! readers run, so orders between different sockets are held to `slack`.

use crate::{Observation, Observed};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The terms that a run is held to.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleParams {
    pub products: Vec<Product>,
    pub drain_grace: f64,
    pub cold: f64,
    pub cold_from: f64,
    pub overload: f64,
    /// Over this span a cold server's load is counted.
    #[serde(rename = "fall")]
    pub overload_window: f64,
    /// Streams of each server.
    pub streams: Vec<f64>,
    pub zones: Vec<usize>,
    pub cells: Vec<usize>,
    pub budget: Option<Budget>,
    /// How long it takes until a front has read a list that was replaced.
    #[serde(rename = "told")]
    pub list_delay: f64,
    /// How late a thing may be seen.
    pub slack: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub limit: f64,
    pub effect: Effect,
    pub floor: usize,
    pub top: usize,
    pub seats: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// May be set up again without harm.
    Free,
    /// Only in the same group of servers, within this many ms of the first that may have run.
    Keyed { group: Group, window: f64 },
    /// Paid for at set-up.
    Paid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    pub span: f64,
    pub share: f64,
    pub free: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// 1 to 6; 0 for a wrong segment.
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// What a check covered, so that a clean verdict on an empty log is told from one on a full one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Coverage {
    pub requests: usize,
    pub set_ups: usize,
    pub further: usize,
    pub drains: usize,
    pub cold_set_ups: usize,
    pub segments: usize,
}

/// A front, and how often it had been started before: it dies with all that it knew.
type Run = (usize, usize);

/// Whose an allocation is whose session nobody asked for.
const NOBODY: Run = (usize::MAX, 0);

struct Request<'a> {
    at: f64,
    session: &'a str,
    run: Run,
    product: usize,
    title: &'a str,
    top: usize,
    answers: Vec<(f64, u16)>,
    /// When the player left.
    gone: Option<f64>,
}

struct Allocation<'a> {
    name: &'a str,
    at: f64,
    server: usize,
    session: &'a str,
    product: usize,
    title: &'a str,
    rungs: Vec<(f64, usize)>,
    done: Option<(f64, bool, u16)>,
    closed: f64,
    run: Run,
    /// Which of its session's plays at that run it is of, and that play's so-many-th allocation; both from 1.
    play: usize,
    n: usize,
}

impl Allocation<'_> {
    /// Until when it was out or played, as its server saw it: a refusal or error ends it when written.
    fn end(&self) -> f64 {
        match self.done {
            Some((at, _, status)) if status != 200 => at.min(self.closed),
            _ => self.closed,
        }
    }
}

/// When processes began and ended: those of servers that began cold, and those of fronts.
#[derive(Default)]
struct Lives {
    starts: Vec<(usize, f64)>,
    stops: Vec<(usize, f64)>,
    ups: BTreeMap<usize, Vec<f64>>,
    downs: Vec<(usize, f64)>,
}

/// Checks all rules on a log in any order.
pub fn check(log: &[Observation], terms: &RuleParams) -> (Vec<Breach>, Coverage) {
    let mut log: Vec<&Observation> = log.iter().collect();
    log.sort_by(|a, b| a.at.total_cmp(&b.at));
    let end = log.last().map_or(0.0, |s| s.at);
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut allocations: BTreeMap<&str, Allocation> = BTreeMap::new();
    let mut lives = Lives::default();
    let mut listed: BTreeMap<usize, Vec<(f64, bool)>> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut covered = Coverage::default();
    for seen in &log {
        let at = seen.at;
        match &seen.what {
            Observed::Asked { request, session, front, product, title, top } => {
                let run = (*front, lives.ups.get(front).map_or(0, |ups| ups.len().saturating_sub(1)));
                let (product, top) = (*product, *top);
                let it = Request { at, session, run, product, title, top, answers: Vec::new(), gone: None };
                requests.insert(*request, it);
            }
            Observed::Answered { request, status } => {
                if let Some(r) = requests.get_mut(request) {
                    r.answers.push((at, *status));
                }
            }
            // A connection cut by a front that lives is no answer; by one that died, see `downs`.
            Observed::Cut { .. } => {}
            Observed::Left { request } => {
                if let Some(r) = requests.get_mut(request) {
                    r.gone.get_or_insert(at);
                }
            }
            Observed::Fetched { session, title, number, rung, got } => {
                covered.segments += 1;
                let right = got.as_ref().is_some_and(|got| {
                    got.intact && got.title == *title && got.number == *number && got.rung <= *rung
                });
                if !right {
                    let what = format!("session {session}: segment {title}/{rung}/{number} came as {got:?}");
                    breaches.push(Breach { rule: 0, at, what });
                }
            }
            Observed::SetUp { server, allocation, session, product, title, rung } => {
                let it = Allocation {
                    name: allocation,
                    at,
                    server: *server,
                    session,
                    product: *product,
                    title,
                    rungs: vec![(at, *rung)],
                    done: None,
                    closed: f64::INFINITY,
                    run: NOBODY,
                    play: 1,
                    n: 1,
                };
                if allocations.insert(allocation, it).is_some() {
                    breaches.push(Breach {
                        rule: 2,
                        at,
                        what: format!("allocation {allocation} came twice"),
                    });
                }
            }
            Observed::Done { allocation, ran, status } => {
                if let Some(a) = allocations.get_mut(allocation.as_str()) {
                    a.done = Some((at, *ran, *status));
                }
            }
            Observed::Closed { allocation } => {
                if let Some(a) = allocations.get_mut(allocation.as_str()) {
                    a.closed = a.closed.min(at);
                }
            }
            Observed::Rung { allocation, rung } => {
                if let Some(a) = allocations.get_mut(allocation.as_str()) {
                    a.rungs.push((at, *rung));
                }
            }
            Observed::Front { front, up: false } => lives.downs.push((*front, at)),
            Observed::Front { front, up: true } => lives.ups.entry(*front).or_default().push(at),
            Observed::Started { server, cold: true } => lives.starts.push((*server, at)),
            Observed::Started { .. } => {}
            Observed::Stopped { server } => lives.stops.push((*server, at)),
            Observed::Listed { server, ready } => listed.entry(*server).or_default().push((at, *ready)),
        }
    }
    let requests: Vec<Request> = requests.into_values().collect();
    let mut allocations: Vec<Allocation> = allocations.into_values().collect();
    assign(&requests, &mut allocations, &lives.downs, terms);
    covered.requests = requests.len();
    covered.set_ups = allocations.len();
    answered_once(&requests, &allocations, &lives.downs, end, terms, &mut breaches);
    one_at_a_time(&requests, &allocations, terms, &mut breaches, &mut covered);
    drains_kept(&allocations, &listed, terms, &mut breaches, &mut covered);
    cold_not_overrun(&allocations, &listed, &lives, terms, &mut breaches, &mut covered);
    terms_kept(&requests, &allocations, terms, &mut breaches);
    budget_kept(&requests, &allocations, terms, &mut breaches);
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    (breaches, covered)
}

/// Tells whose each allocation is. A session's allocation is of a front that was asked for it and has not answered yet;
/// of several such fronts, of the one that had fewest for it. After an answer, a session that is asked for again is
/// a new play.
fn assign(requests: &[Request], allocations: &mut [Allocation], downs: &[(usize, f64)], terms: &RuleParams) {
    let mut asked: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    requests.iter().for_each(|r| asked.entry(r.session).or_default().push(r));
    asked.values_mut().for_each(|of| of.sort_by(|a, b| a.at.total_cmp(&b.at)));
    allocations.sort_by(|a, b| a.at.total_cmp(&b.at));
    // The latest allocation of each session at each run: when, of which play, its so-many-th.
    let mut latest: BTreeMap<(&str, Run), (f64, usize, usize)> = BTreeMap::new();
    for a in allocations {
        let Some(of) = asked.get(a.session) else { continue };
        let before = of.iter().filter(|r| r.at <= a.at);
        let alive = |r: &&&Request| {
            !downs.iter().any(|(front, at)| *front == r.run.0 && *at >= r.at && *at + terms.slack < a.at)
        };
        let pending = |r: &&&Request| r.answers.iter().all(|(at, _)| at + terms.slack >= a.at);
        let had = |run: Run| latest.get(&(a.session, run)).map_or(0, |l| l.2);
        let waiting = before.clone().filter(alive).filter(pending).min_by_key(|r| had(r.run));
        let Some(run) =
            waiting.or(before.clone().rev().find(alive)).or(before.clone().next_back()).map(|r| r.run)
        else {
            continue;
        };
        let (play, n) = match latest.get(&(a.session, run)) {
            None => (1, 1),
            Some((at, play, n)) => {
                let here = || of.iter().filter(|r| r.run == run);
                let again = |told: f64| here().any(|r| r.at >= told && r.at <= a.at);
                let told = here().flat_map(|r| &r.answers).any(|(told, _)| told >= at && again(*told));
                if told { (play + 1, 1) } else { (*play, n + 1) }
            }
        };
        (a.run, a.play, a.n) = (run, play, n);
        latest.insert((a.session, run), (a.at, play, n));
    }
}

/// Rule 1: every request of a front that lives gets one answer by its time limit, and 200 is true.
fn answered_once(
    requests: &[Request],
    allocations: &[Allocation],
    downs: &[(usize, f64)],
    end: f64,
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let mut playing: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for a in allocations {
        if let Some((at, _, 200)) = a.done {
            playing.entry((a.session, a.title)).and_modify(|t| *t = t.min(at)).or_insert(at);
        }
    }
    for r in requests {
        let due = r.at + terms.products[r.product].limit + terms.slack;
        let died =
            downs.iter().any(|(front, at)| *front == r.run.0 && *at >= r.at - terms.slack && *at <= due);
        let left = r.gone.is_some_and(|at| at <= due && r.answers.is_empty());
        let breach = |at: f64, what: String| Breach { rule: 1, at, what };
        match r.answers.as_slice() {
            [] if died || due > end => {}
            // A player that leaves of itself is owed nothing.
            [] if left => {}
            [] => breaches.push(breach(due, format!("session {} was never answered", r.session))),
            [(at, _)] if *at > due => {
                let late = at - due + terms.slack;
                breaches.push(breach(*at, format!("session {} was answered {late:.0} ms late", r.session)));
            }
            [(at, 200)]
                if playing.get(&(r.session, r.title)).is_none_or(|since| *since > at + terms.slack) =>
            {
                breaches.push(breach(*at, format!("session {} was told it plays, and does not", r.session)));
            }
            [_] => {}
            [_, (at, _), ..] => {
                breaches.push(breach(*at, format!("session {} was answered twice", r.session)));
            }
        }
    }
}

/// Rule 2: never two allocations of a play out; a paid set-up again only if all earlier ones never ran.
fn one_at_a_time(
    requests: &[Request],
    allocations: &[Allocation],
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
    covered: &mut Coverage,
) {
    covered.further = allocations.iter().filter(|a| a.n > 1).count();
    // Whatever plays they are of, no two of a session are out at one front.
    let mut sessions: BTreeMap<(Run, &str), Vec<&Allocation>> = BTreeMap::new();
    let mut plays: BTreeMap<(Run, &str, usize), Vec<&Allocation>> = BTreeMap::new();
    for a in allocations {
        sessions.entry((a.run, a.session)).or_default().push(a);
        plays.entry((a.run, a.session, a.play)).or_default().push(a);
    }
    for ((_, session), sent) in &sessions {
        for (i, next) in sent.iter().enumerate().skip(1) {
            if let Some(out) = sent[..i].iter().find(|a| a.end() > next.at + terms.slack) {
                let what = format!("session {session}: {} and {} out at once", out.name, next.name);
                breaches.push(Breach { rule: 2, at: next.at, what });
            }
        }
    }
    for ((run, session, _), sent) in &plays {
        let product = &terms.products[sent[0].product];
        for (i, next) in sent.iter().enumerate().skip(1) {
            let breach = |what: String| Breach { rule: 2, at: next.at, what };
            // What the front could know: only a refusal without inspection proves that nothing ran.
            let mut may_have_run = sent[..i].iter().filter(|a| !matches!(a.done, Some((_, _, 429))));
            let Some(first) = may_have_run.next() else { continue };
            let same = |group| match group {
                Group::All => true,
                Group::Zone => terms.zones[first.server] == terms.zones[next.server],
                Group::Cell => terms.cells[first.server] == terms.cells[next.server],
            };
            match product.effect {
                Effect::Free => {}
                Effect::Paid => breaches
                    .push(breach(format!("session {session}: paid, and sent again after {}", first.name))),
                Effect::Keyed { group, window } => {
                    if !same(group) || next.at > first.at + window + terms.slack {
                        let what = format!("session {session}: {} out of group or window", next.name);
                        breaches.push(breach(what));
                    }
                }
            }
        }
        let ran = sent.iter().any(|a| !matches!(a.done, Some((_, _, 429))));
        let refusable = matches!(product.effect, Effect::Free | Effect::Keyed { group: Group::All, .. });
        let until =
            sessions[&(*run, *session)].iter().find(|a| a.play > sent[0].play).map_or(f64::MAX, |a| a.at);
        for r in requests.iter().filter(|r| (r.session, r.run) == (*session, *run) && ran && !refusable) {
            let within = |at: f64| at >= sent[0].at && at < until;
            if let Some((at, _)) = r.answers.iter().find(|(at, status)| *status == 503 && within(*at)) {
                let what = format!("session {session}: declined though {} may have run", sent[0].name);
                breaches.push(Breach { rule: 2, at: *at, what });
            }
        }
    }
}

/// Rule 3: nothing new to a draining or gone server after the grace.
fn drains_kept(
    allocations: &[Allocation],
    listed: &BTreeMap<usize, Vec<(f64, bool)>>,
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
    covered: &mut Coverage,
) {
    covered.drains = listed.values().flatten().filter(|(_, ready)| !ready).count();
    for a in allocations {
        let Some(changes) = listed.get(&a.server) else { continue };
        let Some((since, false)) = changes.iter().rev().find(|(at, _)| *at <= a.at) else { continue };
        if a.at > since + terms.drain_grace + terms.slack {
            let what = format!("{} sent to server {} {:.0} ms after", a.name, a.server, a.at - since);
            breaches.push(Breach { rule: 3, at: a.at, what });
        }
    }
}

/// Rule 4: all fronts together stay under what pushes a cold server over, in every window of which most came
/// from fronts that knew of its start.
fn cold_not_overrun(
    allocations: &[Allocation],
    listed: &BTreeMap<usize, Vec<(f64, bool)>>,
    lives: &Lives,
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
    covered: &mut Coverage,
) {
    let Lives { starts, stops, ups, .. } = lives;
    for (server, start) in starts {
        let stop = stops.iter().filter(|(s, at)| s == server && at > start).map(|(_, at)| *at);
        let until = stop.fold(start + terms.cold, f64::min);
        let before = stops.iter().filter(|(s, at)| s == server && at < start).map(|(_, at)| *at);
        let lost = before.fold(f64::NEG_INFINITY, f64::max);
        // A front knows once the list has told of this start, or when the server was lost under its own plays; and one
        // that started later than the server has nothing to go by but what it is given at its own start.
        let told = listed.get(server).into_iter().flatten().find(|(at, ready)| *ready && at >= start);
        let of_server: Vec<&Allocation> = allocations.iter().filter(|a| a.server == *server).collect();
        let saw_it_fail =
            |run: Run| of_server.iter().any(|a| a.run == run && a.at < lost && a.end() >= lost - terms.slack);
        let started_later =
            |run: Run| ups.get(&run.0).and_then(|ups| ups.get(run.1)).is_some_and(|up| up > start);
        let knew = |a: &Allocation| {
            told.is_some_and(|(at, _)| a.at > at + terms.list_delay + terms.slack)
                || saw_it_fail(a.run)
                || started_later(a.run)
        };
        let sent = of_server.iter().filter(|a| a.at >= *start && a.at < until);
        let mut sent: Vec<(f64, bool)> = sent.map(|a| (a.at, knew(a))).collect();
        sent.sort_by(|a, b| a.0.total_cmp(&b.0));
        covered.cold_set_ups += sent.len();
        for (i, (last, _)) in sent.iter().enumerate() {
            let window: Vec<bool> = sent[..=i]
                .iter()
                .filter(|(at, _)| *at > last - terms.overload_window)
                .map(|(_, knew)| *knew)
                .collect();
            let knowing = window.iter().filter(|knew| **knew).count();
            let warm = terms.cold_from + (1.0 - terms.cold_from) * (last - start) / terms.cold;
            let allowed = terms.overload * terms.streams[*server] / terms.cold * warm * terms.overload_window;
            // One or two that fall together overrun nothing.
            if window.len() as f64 > allowed + 2.0 && 2 * knowing > window.len() {
                let n = window.len();
                let what = format!("server {server}: {n} set-ups in a window that carries {allowed:.1}");
                breaches.push(Breach { rule: 4, at: *last, what });
                break;
            }
        }
    }
}

/// Rule 5: floors and tops of rungs, and seats of a title at each front.
fn terms_kept(
    requests: &[Request],
    allocations: &[Allocation],
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let tops: BTreeMap<&str, usize> = requests.iter().map(|r| (r.session, r.top)).collect();
    // By front's run, product and title: from when to when each play was there.
    type Rooms<'a> = BTreeMap<(Run, usize, &'a str), Vec<(f64, f64)>>;
    let mut rooms = Rooms::new();
    for a in allocations {
        let product = &terms.products[a.product];
        let top = product.top.min(*tops.get(a.session).unwrap_or(&usize::MAX)).max(product.floor);
        if let Some((at, rung)) = a.rungs.iter().find(|(_, r)| *r < product.floor || *r > top) {
            let what = format!("{} at rung {rung}, allowed {} to {top}", a.name, product.floor);
            breaches.push(Breach { rule: 5, at: *at, what });
        }
        if product.seats > 0 {
            rooms.entry((a.run, a.product, a.title)).or_default().push((a.at, a.end()));
        }
    }
    for (((front, _), product, title), spans) in rooms {
        let seats = terms.products[product].seats;
        for (at, _) in &spans {
            let there = spans.iter().filter(|(from, to)| from <= at && *to > at + terms.slack).count();
            if there > seats {
                let what = format!("front {front}: {there} plays of {title}, {seats} seats");
                breaches.push(Breach { rule: 5, at: *at, what });
                break;
            }
        }
    }
}

/// Rule 6: further allocations of a front within any span, against the plays it took in it.
fn budget_kept(
    requests: &[Request],
    allocations: &[Allocation],
    terms: &RuleParams,
    breaches: &mut Vec<Breach>,
) {
    let Some(budget) = &terms.budget else { return };
    let mut runs: BTreeMap<Run, Vec<f64>> = BTreeMap::new();
    for a in allocations.iter().filter(|a| a.n > 1) {
        runs.entry(a.run).or_default().push(a.at);
    }
    for (run, mut further) in runs {
        further.sort_by(f64::total_cmp);
        let mut sessions = BTreeSet::new();
        let of_front = requests.iter().filter(|r| r.run == run);
        let taken: Vec<f64> = of_front.filter(|r| sessions.insert(r.session)).map(|r| r.at).collect();
        for (i, at) in further.iter().enumerate() {
            let from = at - budget.span;
            let sent = further[..=i].iter().filter(|t| **t > from + terms.slack).count() as f64;
            let plays = taken.iter().filter(|t| **t > from - terms.slack && **t <= at + terms.slack).count();
            let allowed = budget.free + budget.share * plays as f64;
            if sent > allowed {
                let what = format!("front {}: {sent} further allocations, {allowed:.1} allowed", run.0);
                breaches.push(Breach { rule: 6, at: *at, what });
                break;
            }
        }
    }
}
