//! The log of what was seen, on one clock for all of a process's witnesses.

use pulleystair_rule_checker::{Observation, Observed};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

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
    /// ms since 1970, never going back.
    pub fn now(&self) -> f64 {
        self.start_unix_ms + self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    pub fn record(&self, what: Observed) {
        let mut observations = self.observations.lock().expect("no witness dies while it writes");
        let at = self.now();
        observations.push(Observation { at, what });
    }

    pub fn observations(&self) -> Vec<Observation> {
        self.observations.lock().expect("no witness dies while it writes").clone()
    }
}
