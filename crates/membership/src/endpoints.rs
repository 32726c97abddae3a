//! Selects the endpoint of a registry that is queried next, and the delay before the query. The module does no I/O; its
//! random numbers come from a seed.
//!
//! After a failure the delay is drawn uniformly from 0 to a ceiling that doubles with each failure (full jitter), so that
//! fronts that lost the same registry at the same moment retry spread over time. A slow endpoint is left for a
//! faster one, and an endpoint that does not respond is left at once. Both are tried again later.

use oorandom::Rand64;

/// Retry delays, and when an endpoint counts as slow.
#[derive(Clone, Copy, Debug)]
pub struct EndpointConfig {
    /// Ceiling of the delay after the first failure, ms.
    pub first_delay_ms: f64,
    /// Ceiling of any delay, ms.
    pub max_delay_ms: f64,
    /// An endpoint is slow if its latency exceeds both this many times the fastest endpoint's latency and `min_slow_ms`.
    pub slow_factor: f64,
    /// An endpoint with a latency up to this, ms, is never slow.
    pub min_slow_ms: f64,
}

/// Weight of the newest response in the moving average of an endpoint's latency.
const LATENCY_SMOOTHING: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct Endpoint {
    /// Moving average; none before the first response.
    latency_ms: Option<f64>,
    /// Failures since the last response.
    failures: u32,
    /// Earliest time of the next query, ms.
    retry_at: f64,
}

/// The endpoints of one registry, and the one in use.
#[derive(Clone, Debug)]
pub struct Endpoints {
    config: EndpointConfig,
    endpoints: Vec<Endpoint>,
    /// Index of the endpoint in use.
    current: usize,
    rng: Rand64,
}

impl Endpoints {
    /// Starts at an endpoint chosen by the seed, so that fronts start at different ones.
    pub fn new(config: EndpointConfig, count: usize, seed: u64) -> Endpoints {
        let mut rng = Rand64::new(seed.into());
        let count = count.max(1);
        let current = rng.rand_range(0..count as u64) as usize;
        Endpoints { config, endpoints: vec![Endpoint::default(); count], current, rng }
    }

    /// The endpoint to query, and the delay before the query, ms. The current endpoint is kept while it responds and is not
    /// slow. Otherwise the one with the shortest delay is chosen, then the one with the fewest failures, then the fastest; an
    /// endpoint that has not responded yet counts as the fastest.
    pub fn select(&mut self, now: f64) -> (usize, f64) {
        let current = &self.endpoints[self.current];
        if current.failures > 0 || self.is_slow(self.current) {
            let delay = |e: &Endpoint| (e.retry_at - now).max(0.0);
            let order = |a: &usize, b: &usize| {
                let (a, b) = (&self.endpoints[*a], &self.endpoints[*b]);
                let latency = |e: &Endpoint| e.latency_ms.unwrap_or(0.0);
                delay(a)
                    .total_cmp(&delay(b))
                    .then(a.failures.cmp(&b.failures))
                    .then(latency(a).total_cmp(&latency(b)))
            };
            // The search starts after the current endpoint, so that equal ones take turns.
            let count = self.endpoints.len();
            let in_turn = (1..=count).map(|step| (self.current + step) % count);
            self.current = in_turn.min_by(order).unwrap_or(self.current);
        }
        (self.current, (self.endpoints[self.current].retry_at - now).max(0.0))
    }

    /// Records a response and its latency, ms, without the time for which the query asked the endpoint to wait.
    pub fn on_response(&mut self, endpoint: usize, latency_ms: f64) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.latency_ms = Some(
            endpoint.latency_ms.map_or(latency_ms, |known| known + LATENCY_SMOOTHING * (latency_ms - known)),
        );
        (endpoint.failures, endpoint.retry_at) = (0, 0.0);
    }

    /// Records a failed query, and draws the delay before the next one.
    pub fn on_failure(&mut self, now: f64, endpoint: usize) {
        let endpoint = &mut self.endpoints[endpoint];
        let ceiling = (self.config.first_delay_ms * 2f64.powi(endpoint.failures.min(30) as i32))
            .min(self.config.max_delay_ms);
        endpoint.failures += 1;
        endpoint.retry_at = now + ceiling * self.rng.rand_float();
    }

    /// Whether the endpoint is slow ([`EndpointConfig::slow_factor`]) compared with the fastest endpoint that responds, which
    /// may be the endpoint itself.
    fn is_slow(&self, endpoint: usize) -> bool {
        let latencies = self.endpoints.iter().filter(|e| e.failures == 0).filter_map(|e| e.latency_ms);
        let fastest_ms = latencies.min_by(f64::total_cmp);
        let limit = fastest_ms.map(|ms| (ms * self.config.slow_factor).max(self.config.min_slow_ms));
        matches!((self.endpoints[endpoint].latency_ms, limit), (Some(latency), Some(limit)) if latency > limit)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONFIG: EndpointConfig = EndpointConfig {
        first_delay_ms: 200.0,
        max_delay_ms: 10_000.0,
        slow_factor: 4.0,
        min_slow_ms: 100.0,
    };

    #[test]
    fn the_current_endpoint_is_kept_while_it_responds() {
        let mut endpoints = Endpoints::new(CONFIG, 3, 1);
        let (first, delay) = endpoints.select(0.0);
        assert_eq!(delay, 0.0);
        for n in 1..100 {
            endpoints.on_response(first, 5.0);
            assert_eq!(endpoints.select(f64::from(n)), (first, 0.0));
        }
    }

    #[test]
    fn an_unreachable_endpoint_is_left_at_once_and_retried_later() {
        let mut endpoints = Endpoints::new(CONFIG, 2, 1);
        let (dead, _) = endpoints.select(0.0);
        endpoints.on_failure(0.0, dead);
        let (other, delay) = endpoints.select(0.0);
        assert!(other != dead && delay == 0.0);
        endpoints.on_failure(1.0, other);
        let (next, delay) = endpoints.select(1.0);
        assert!(delay <= 200.0, "the endpoint that may be queried sooner: {next} in {delay}");
    }

    #[test]
    fn a_slow_endpoint_is_left_for_a_faster_one_and_a_fast_one_never_counts_as_slow() {
        let mut endpoints = Endpoints::new(CONFIG, 2, 1);
        let (slow, _) = endpoints.select(0.0);
        let other = 1 - slow;
        endpoints.on_response(slow, 900.0);
        assert_eq!(endpoints.select(1.0).0, slow, "no other endpoint is known to be faster");
        endpoints.on_response(other, 8.0);
        assert_eq!(endpoints.select(2.0).0, other);
        endpoints.on_response(other, 30.0);
        assert_eq!(
            endpoints.select(3.0).0,
            other,
            "many times its best latency, but below the minimum for slow endpoints"
        );
    }

    #[test]
    fn retry_delays_stay_below_a_doubling_ceiling_until_a_response() {
        let mut endpoints = Endpoints::new(CONFIG, 1, 7);
        let mut longest_delay = 0.0f64;
        for n in 0..200 {
            endpoints.on_failure(0.0, 0);
            let (_, delay) = endpoints.select(0.0);
            assert!(delay <= (200.0 * 2f64.powi(n.min(30))).min(10_000.0));
            longest_delay = longest_delay.max(delay);
        }
        assert!(longest_delay > 9_000.0);
        endpoints.on_response(0, 3.0);
        assert_eq!(endpoints.select(0.0).1, 0.0);
    }

    /// 300 fronts lose the registry at the same moment, and it is back after 8 s. Without jitter they would all reconnect at
    /// once.
    #[test]
    fn retries_of_many_fronts_are_spread_over_time() {
        let mut returns_by_100_ms = vec![0; 40];
        for seed in 0..300 {
            let mut endpoints = Endpoints::new(CONFIG, 3, seed);
            let mut now = 0.0;
            loop {
                let (endpoint, delay) = endpoints.select(now);
                now += delay;
                if now >= 8_000.0 {
                    break;
                }
                // A refused connection is reported within 1 ms.
                now += 1.0;
                endpoints.on_failure(now, endpoint);
            }
            returns_by_100_ms[((now - 8_000.0) / 100.0) as usize % 40] += 1;
        }
        let max_returns = returns_by_100_ms.iter().max().copied().unwrap_or(0);
        assert!(max_returns <= 75, "retries of 300 fronts within 100 ms: {returns_by_100_ms:?}");
    }
}
