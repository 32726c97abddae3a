//! What the sums say, with how surely, and where they may not say.

use crate::aggregates::{Aggregates, POLICIES, PlainSum, Policy, ServerSums, Stratum};
use serde::Serialize;

/// Standard errors to either side of a 90% interval.
const NINETY: f64 = 1.645;
/// Standard errors by which a server must be slower than the others to be named, and an alternative better: chance names one of 36 in one reading
/// of twenty.
const NAMED: f64 = 3.0;
/// Fewer say nothing; nor do sums of which more than this part was given up.
const LEAST: f64 = 20.0;
const GIVEN_UP: f64 = 0.5;

/// How many fronts there are, and whose sums these are.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Scope {
    pub fronts: usize,
    pub heard: usize,
    pub unheard: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// ms; the interval holds the truth in nine of ten.
    pub mean: f64,
    pub low: f64,
    pub high: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyEstimate {
    pub policy: Policy,
    /// None where it may not be said.
    pub robust: Option<Estimate>,
    pub inverse: Option<Estimate>,
    pub direct: Option<f64>,
    /// What it would have changed, ms a set-up: below 0 the routing lost by not doing so.
    pub gain: Option<Estimate>,
    /// As many evenly weighted plays say as much.
    pub effective: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerEstimate {
    pub server: u64,
    pub born: u64,
    pub plays: u32,
    pub mean: Option<Estimate>,
    /// Over the mean of the other servers, ms.
    pub more: Option<Estimate>,
    /// So much slower that chance is no explanation.
    pub slow: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub over: Scope,
    pub plays: u32,
    pub given_up: u32,
    pub undecided: bool,
    /// Why.
    pub because: Vec<String>,
    pub policies: Vec<PolicyEstimate>,
    pub servers: Vec<ServerEstimate>,
    /// The alternative that would have been better for sure, if any is.
    pub better: Option<Policy>,
}

/// An interval is wider by what part of the fleet it does not know.
fn widened(over: &Scope, (mean, error): (f64, f64), times: f64) -> Estimate {
    let half = times * error * over.fronts as f64 / over.heard.max(1) as f64;
    Estimate { mean, low: mean - half, high: mean + half }
}

/// Why nothing may be said of these, if so.
fn silent(over: &Scope, n: f64, given_up: f64) -> Vec<String> {
    let mut because = Vec::new();
    if over.heard * 2 <= over.fronts {
        because.push(format!("{} of {} fronts are heard", over.heard, over.fronts));
    }
    if n < LEAST {
        because.push(format!("{n} plays"));
    }
    if given_up > GIVEN_UP * n {
        because.push(format!("{given_up} of {n} plays were given up"));
    }
    because
}

pub fn policies(over: &Scope, it: &Stratum) -> Vec<PolicyEstimate> {
    let n = f64::from(it.n);
    let quiet = !silent(over, n, f64::from(it.given_up)).is_empty();
    let of = |(policy, sums): (&Policy, &crate::aggregates::PolicySums)| {
        let effective = sums.inverse.effective();
        let say = |it: Option<(f64, f64)>| {
            it.filter(|_| !quiet && effective >= LEAST).map(|it| widened(over, it, NINETY))
        };
        let plain = |it: &PlainSum| say(it.mean(n));
        PolicyEstimate {
            policy: *policy,
            robust: plain(&sums.robust),
            inverse: say(sums.inverse.mean()),
            direct: plain(&sums.direct).map(|it| it.mean),
            gain: plain(&sums.gain).filter(|_| *policy != Policy::AsDrawn),
            effective,
        }
    };
    POLICIES.iter().zip(&it.policies).map(of).collect()
}

/// A server, its sums, its mean and the error of that.
type Known<'a> = (&'a (u64, u64), &'a ServerSums, (f64, f64));

fn servers(over: &Scope, sums: &Aggregates) -> Vec<ServerEstimate> {
    let known: Vec<Known> = sums
        .servers
        .iter()
        .filter(|(_, s)| silent(over, s.times.effective(), 0.0).is_empty())
        .filter(|(_, s)| f64::from(s.given_up) <= GIVEN_UP * f64::from(s.n))
        .filter_map(|(id, s)| Some((id, s, s.times.mean()?)))
        .collect();
    let count = known.len() as f64;
    let (sum, errors) = known.iter().fold((0.0, 0.0), |a, k| (a.0 + k.2.0, a.1 + k.2.1 * k.2.1));
    let of = |(id, it): (&(u64, u64), &ServerSums)| {
        let own = known.iter().find(|k| k.0 == id).map(|k| k.2);
        let more = own.filter(|_| count >= 2.0).map(|(mean, error)| {
            let others = count - 1.0;
            let rest = (errors - error * error).max(0.0) / (others * others);
            (mean - (sum - mean) / others, (error * error + rest).sqrt())
        });
        ServerEstimate {
            server: id.0,
            born: id.1,
            plays: it.n,
            mean: own.map(|own| widened(over, own, NINETY)),
            more: more.map(|more| widened(over, more, NINETY)),
            slow: more.is_some_and(|more| widened(over, more, NAMED).low > 0.0),
        }
    };
    sums.servers.iter().map(of).collect()
}

/// What all of it says, or what is said of one class or title.
pub fn report(over: Scope, sums: &Aggregates, of: impl Fn(&crate::aggregates::StratumKey) -> bool) -> Report {
    let whole = sums.whole(of);
    let because = silent(&over, f64::from(whole.n), f64::from(whole.given_up));
    let policies = policies(&over, &whole);
    let sure = |p: &&PolicyEstimate| {
        p.gain.is_some_and(|gain| gain.mean + (gain.high - gain.mean) * NAMED / NINETY < 0.0)
    };
    let gain = |p: &&PolicyEstimate| p.gain.map_or(0.0, |gain| gain.mean);
    let better = policies.iter().filter(sure).min_by(|a, b| gain(a).total_cmp(&gain(b)));
    Report {
        plays: whole.n,
        given_up: whole.given_up,
        undecided: !because.is_empty(),
        because,
        better: better.map(|p| p.policy),
        servers: servers(&over, sums),
        policies,
        over,
    }
}
