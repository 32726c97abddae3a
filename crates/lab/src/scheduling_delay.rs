//! Measures the scheduling delay of the machine, whatever runs on it. On each core, a thread repeatedly sleeps for a
//! few ms and measures how late it is woken. A core that other processes or the hypervisor occupy for a while delays
//! every process on it, so a run in which that happened says nothing about the time limits of the rules.

use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Length of each sleep: short compared to the delays of interest, and cheap.
const SLEEP: Duration = Duration::from_millis(5);

/// Measures from its creation until [`SchedulingDelay::stop`] is called.
pub struct SchedulingDelay {
    stop: Arc<AtomicBool>,
    sleepers: Vec<JoinHandle<f64>>,
}

impl SchedulingDelay {
    /// Starts one thread for each core that this process may use.
    pub fn start() -> SchedulingDelay {
        let stop = Arc::new(AtomicBool::new(false));
        let allowed = sched_getaffinity(None).unwrap_or_default();
        let cores = (0..CpuSet::MAX_CPU).filter(|core| allowed.is_set(*core));
        let sleepers = cores.map(|core| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut one_core = CpuSet::new();
                one_core.set(core);
                // Without permission to be pinned, the thread sleeps on any core and detects less.
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
        SchedulingDelay { sleepers: sleepers.collect(), stop }
    }

    /// Stops the threads, and returns the longest delay that any of them measured, ms.
    pub fn stop(mut self) -> f64 {
        self.stop.store(true, Ordering::Relaxed);
        std::mem::take(&mut self.sleepers)
            .into_iter()
            .filter_map(|sleeper| sleeper.join().ok())
            .fold(0.0, f64::max)
    }
}

/// Stops the threads if a run fails.
impl Drop for SchedulingDelay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
