//! The log of what was seen, on one clock for all of a process's witnesses.

use pulleystair_rule_checker::{Observation, Observed};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

#[derive(Clone)]
pub struct Recorder {
    seen: Arc<Mutex<Vec<Observation>>>,
    start: Instant,
    since_1970: f64,
}

impl Default for Recorder {
    fn default() -> Recorder {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Recorder {
            seen: Arc::default(),
            start: Instant::now(),
            since_1970: since_1970.as_secs_f64() * 1000.0,
        }
    }
}

impl Recorder {
    /// ms since 1970, never going back.
    pub fn now(&self) -> f64 {
        self.since_1970 + self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn record(&self, what: Observed) {
        let mut seen = self.seen.lock().expect("no witness dies while it writes");
        let at = self.now();
        seen.push(Observation { at, what });
    }

    pub fn observations(&self) -> Vec<Observation> {
        self.seen.lock().expect("no witness dies while it writes").clone()
    }
}
