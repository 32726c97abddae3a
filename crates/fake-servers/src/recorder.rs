//! Records the observations of all observers in a process on one clock. The fake servers, the players and the fault
//! injection of the lab write to it.

use pulleystair_rule_checker::{Observation, Observed};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A shared log of observations; clones write to the same log.
#[derive(Clone)]
pub struct Recorder {
    observations: Arc<Mutex<Vec<Observation>>>,
    started_at: Instant,
    start_unix_ms: f64,
}

impl Default for Recorder {
    fn default() -> Recorder {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Recorder {
            observations: Arc::default(),
            started_at: Instant::now(),
            start_unix_ms: unix_time.as_secs_f64() * 1000.0,
        }
    }
}

impl Recorder {
    /// The present time in ms since 1970, monotonic.
    pub fn now(&self) -> f64 {
        self.start_unix_ms + self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Appends an observation with the present time.
    pub fn record(&self, what: Observed) {
        let mut observations = self.observations.lock().expect("no observer panics while it holds the log");
        let at = self.now();
        observations.push(Observation { at, what });
    }

    /// All observations so far, sorted by time.
    pub fn observations(&self) -> Vec<Observation> {
        self.observations.lock().expect("no observer panics while it holds the log").clone()
    }
}
