//! The log of what was seen, on one clock for all of a process's witnesses.

use pulleystair_rule_checker::{Seen, What};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

#[derive(Clone)]
pub struct Log {
    seen: Arc<Mutex<Vec<Seen>>>,
    start: Instant,
    since_1970: f64,
}

impl Default for Log {
    fn default() -> Log {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Log { seen: Arc::default(), start: Instant::now(), since_1970: since_1970.as_secs_f64() * 1000.0 }
    }
}

impl Log {
    /// ms since 1970, never going back.
    pub fn now(&self) -> f64 {
        self.since_1970 + self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn saw(&self, what: What) {
        let mut seen = self.seen.lock().expect("no witness dies while it writes");
        let at = self.now();
        seen.push(Seen { at, what });
    }

    pub fn taken(&self) -> Vec<Seen> {
        self.seen.lock().expect("no witness dies while it writes").clone()
    }
}
