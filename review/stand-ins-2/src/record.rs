//! The record of a run: what was sent, answered and run, with the time in seconds since the start of the run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let now = self.now();
        let _ = writeln!(file, "{now:9.4} {text}");
        now
    }
}
