//! What the sums say, with how surely, and where they may not say.

use crate::aggregates::{Aggregates, POLICIES, PlainSum, Policy, ServerSums, Stratum};
use serde::Serialize;

/// Standard errors to either side of a 90% interval.
const INTERVAL_ERRORS: f64 = 1.645;
/// Standard errors by which a server must be slower than the others to be named, and an alternative better: chance names one of 36 in one reading
/// of twenty.
const SIGNIFICANT_ERRORS: f64 = 3.0;
/// Fewer say nothing; nor do sums of which more than this part was given up.
const MIN_PLAYS: f64 = 20.0;
const MAX_GIVEN_UP_SHARE: f64 = 0.5;

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
fn interval(scope: &Scope, (mean, error): (f64, f64), errors: f64) -> Estimate {
    let half_width = errors * error * scope.fronts as f64 / scope.heard.max(1) as f64;
    Estimate { mean, low: mean - half_width, high: mean + half_width }
}

/// Why nothing may be said of these, if so.
fn reasons_undecided(scope: &Scope, plays: f64, given_up: f64) -> Vec<String> {
    let mut reasons = Vec::new();
    if scope.heard * 2 <= scope.fronts {
        reasons.push(format!("{} of {} fronts are heard", scope.heard, scope.fronts));
    }
    if plays < MIN_PLAYS {
        reasons.push(format!("{plays} plays"));
    }
    if given_up > MAX_GIVEN_UP_SHARE * plays {
        reasons.push(format!("{given_up} of {plays} plays were given up"));
    }
    reasons
}

pub fn policy_estimates(scope: &Scope, stratum: &Stratum) -> Vec<PolicyEstimate> {
    let plays = f64::from(stratum.set_ups);
    let is_undecided = !reasons_undecided(scope, plays, f64::from(stratum.given_up)).is_empty();
    let estimate = |(policy, sums): (&Policy, &crate::aggregates::PolicySums)| {
        let effective = sums.inverse.effective_count();
        let estimate_mean = |mean: Option<(f64, f64)>| {
            mean.filter(|_| !is_undecided && effective >= MIN_PLAYS)
                .map(|mean| interval(scope, mean, INTERVAL_ERRORS))
        };
        let estimate_plain = |sum: &PlainSum| estimate_mean(sum.mean(plays));
        PolicyEstimate {
            policy: *policy,
            robust: estimate_plain(&sums.robust),
            inverse: estimate_mean(sums.inverse.mean()),
            direct: estimate_plain(&sums.direct).map(|estimate| estimate.mean),
            gain: estimate_plain(&sums.gain).filter(|_| *policy != Policy::AsDrawn),
            effective,
        }
    };
    POLICIES.iter().zip(&stratum.policies).map(estimate).collect()
}

/// A server, its sums, its mean and the error of that.
type KnownServer<'a> = (&'a (u64, u64), &'a ServerSums, (f64, f64));

fn server_estimates(scope: &Scope, sums: &Aggregates) -> Vec<ServerEstimate> {
    let known: Vec<KnownServer> = sums
        .servers
        .iter()
        .filter(|(_, s)| reasons_undecided(scope, s.times.effective_count(), 0.0).is_empty())
        .filter(|(_, s)| f64::from(s.given_up) <= MAX_GIVEN_UP_SHARE * f64::from(s.set_ups))
        .filter_map(|(id, s)| Some((id, s, s.times.mean()?)))
        .collect();
    let known_count = known.len() as f64;
    let (sum, squared_errors) = known.iter().fold((0.0, 0.0), |a, k| (a.0 + k.2.0, a.1 + k.2.1 * k.2.1));
    let estimate_server = |(id, server_sums): (&(u64, u64), &ServerSums)| {
        let own_mean = known.iter().find(|k| k.0 == id).map(|k| k.2);
        let excess = own_mean.filter(|_| known_count >= 2.0).map(|(mean, error)| {
            let others = known_count - 1.0;
            let others_squared_error = (squared_errors - error * error).max(0.0) / (others * others);
            (mean - (sum - mean) / others, (error * error + others_squared_error).sqrt())
        });
        ServerEstimate {
            server: id.0,
            born: id.1,
            plays: server_sums.set_ups,
            mean: own_mean.map(|own_mean| interval(scope, own_mean, INTERVAL_ERRORS)),
            more: excess.map(|excess| interval(scope, excess, INTERVAL_ERRORS)),
            slow: excess.is_some_and(|excess| interval(scope, excess, SIGNIFICANT_ERRORS).low > 0.0),
        }
    };
    sums.servers.iter().map(estimate_server).collect()
}

/// What all of it says, or what is said of one class or title.
pub fn report(
    scope: Scope,
    sums: &Aggregates,
    include: impl Fn(&crate::aggregates::StratumKey) -> bool,
) -> Report {
    let total = sums.total(include);
    let reasons = reasons_undecided(&scope, f64::from(total.set_ups), f64::from(total.given_up));
    let policies = policy_estimates(&scope, &total);
    let is_significant = |p: &&PolicyEstimate| {
        p.gain.is_some_and(|gain| {
            gain.mean + (gain.high - gain.mean) * SIGNIFICANT_ERRORS / INTERVAL_ERRORS < 0.0
        })
    };
    let gain = |p: &&PolicyEstimate| p.gain.map_or(0.0, |gain| gain.mean);
    let better = policies.iter().filter(is_significant).min_by(|a, b| gain(a).total_cmp(&gain(b)));
    Report {
        plays: total.set_ups,
        given_up: total.given_up,
        undecided: !reasons.is_empty(),
        because: reasons,
        better: better.map(|p| p.policy),
        servers: server_estimates(&scope, sums),
        policies,
        over: scope,
    }
}
