//! How late the machine is by itself, whatever runs on it: on each core somebody sleeps for a moment, again and again, and sees by how
//! much it woke too late. A core that is taken away for a while holds up whoever is on it, and the rules' times are not to be read
//! off a day on which that happened.

use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// So long is each sleep: short against what is looked for, and cheap.
const SLEEP: Duration = Duration::from_millis(5);

/// Watches until it is asked.
pub struct HostLoad {
    stop: Arc<AtomicBool>,
    sleepers: Vec<JoinHandle<f64>>,
}

impl HostLoad {
    pub fn watch() -> HostLoad {
        let stop = Arc::new(AtomicBool::new(false));
        let allowed = sched_getaffinity(None).unwrap_or_default();
        let cores = (0..CpuSet::MAX_CPU).filter(|core| allowed.is_set(*core));
        let sleepers = cores.map(|core| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut one_core = CpuSet::new();
                one_core.set(core);
                // Where it may not be held to its core it sleeps on any, and sees less.
                let _ = sched_setaffinity(None, &one_core);
                let mut max_lateness_ms = 0.0_f64;
                while !stop.load(Ordering::Relaxed) {
                    let slept_at = Instant::now();
                    std::thread::sleep(SLEEP);
                    max_lateness_ms =
                        max_lateness_ms.max(slept_at.elapsed().saturating_sub(SLEEP).as_secs_f64() * 1000.0);
                }
                max_lateness_ms
            })
        });
        HostLoad { sleepers: sleepers.collect(), stop }
    }

    /// The latest that anyone woke, ms.
    pub fn lateness_ms(mut self) -> f64 {
        self.stop.store(true, Ordering::Relaxed);
        std::mem::take(&mut self.sleepers)
            .into_iter()
            .filter_map(|sleeper| sleeper.join().ok())
            .fold(0.0, f64::max)
    }
}

/// A day that breaks off leaves nobody watching.
impl Drop for HostLoad {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
