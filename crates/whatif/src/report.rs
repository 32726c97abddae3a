//! Computes estimates from the sums, with their uncertainty, and states where the data does not allow any. Times are in ms.

use crate::aggregates::{Aggregates, POLICIES, PlainSum, Policy, ServerSums, Stratum};
use serde::Serialize;

/// Standard errors to either side of a 90% interval.
const INTERVAL_ERRORS: f64 = 1.645;
/// Standard errors by which a server must be slower than the others, or an alternative better, to be named. At this value,
/// chance names one of 36 servers in one report of twenty.
const SIGNIFICANT_ERRORS: f64 = 3.0;
/// No estimate is given for fewer plays than this.
const MIN_PLAYS: f64 = 20.0;
/// No estimate is given if more than this share of the plays was given up.
const MAX_GIVEN_UP_SHARE: f64 = 0.5;

/// How many fronts there are, and whose sums are included.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Scope {
    /// Fronts in the fleet.
    pub fronts: usize,
    /// Fronts whose sums are included.
    pub heard: usize,
    /// Names of the other fronts.
    pub unheard: Vec<String>,
}

/// A mean in ms with its 90% interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    pub mean: f64,
    /// Lower bound: the interval contains the true mean in nine of ten cases.
    pub low: f64,
    /// Upper bound.
    pub high: f64,
}

/// What set-ups would have taken under a policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyEstimate {
    pub policy: Policy,
    /// The doubly robust estimate; `None` if the data does not allow one.
    pub robust: Option<Estimate>,
    /// The estimate by inverse propensity weights.
    pub inverse: Option<Estimate>,
    /// The estimate by the model of the servers alone, without an interval.
    pub direct: Option<f64>,
    /// Change of the set-up time under this policy, ms. Below 0, the actual routing was worse.
    pub gain: Option<Estimate>,
    /// Effective number of plays behind the estimate by inverse propensity weights.
    pub effective: f64,
}

/// The set-up times of one server.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServerEstimate {
    /// Identifier of the server.
    pub server: u64,
    /// When its process started.
    pub born: u64,
    /// Number of set-ups there.
    pub plays: u32,
    /// Mean set-up time.
    pub mean: Option<Estimate>,
    /// Excess over the mean of the other servers, ms.
    pub more: Option<Estimate>,
    /// Whether it is slower by more than chance explains.
    pub slow: bool,
}

/// All estimates for a set of strata.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Whose sums are included.
    pub over: Scope,
    /// Number of set-ups.
    pub plays: u32,
    /// How many of them were given up.
    pub given_up: u32,
    /// Whether the data is too scarce for any estimate.
    pub undecided: bool,
    /// The reasons if `undecided`.
    pub because: Vec<String>,
    /// The estimates by policy.
    pub policies: Vec<PolicyEstimate>,
    /// The estimates by server.
    pub servers: Vec<ServerEstimate>,
    /// The alternative that is significantly better, if there is one; the best of several.
    pub better: Option<Policy>,
}

/// The interval of a mean. It is widened by the share of fronts whose sums are missing.
fn interval(scope: &Scope, (mean, error): (f64, f64), errors: f64) -> Estimate {
    let half_width = errors * error * scope.fronts as f64 / scope.heard.max(1) as f64;
    Estimate { mean, low: mean - half_width, high: mean + half_width }
}

/// The reasons why no estimate may be given; empty if there are none.
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

/// The estimates for each policy.
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

/// A server, its sums, and its mean with the standard error.
type KnownServer<'a> = (&'a (u64, u64), &'a ServerSums, (f64, f64));

/// The estimates for each server, compared with the mean of the others.
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

/// The report on all strata that `include` accepts. The estimates for servers are over all strata.
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
