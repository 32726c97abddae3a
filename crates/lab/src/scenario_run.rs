//! Runs one scenario: starts the servers and fronts, lets players arrive, injects the faults, stops everything, and
//! checks the rules.

use crate::fronts::Program;
use crate::players::{PlayerPool, PlayerResult, arrivals, run_arrivals};
use crate::scenario::Scenario;
use crate::scheduling_delay::SchedulingDelay;
use crate::testbed::Testbed;
use anyhow::Result;
use pulleystair_rule_checker::Observation;
use pulleystair_rule_checker::rules::{Breach, Coverage, check};
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// How long each front may take to stop after the last player has left.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// The results of a run.
pub struct RunResult {
    /// One result for each viewer that arrived.
    pub player_results: Vec<PlayerResult>,
    /// All observations of players, fake servers and the lab, sorted by time.
    pub observations: Vec<Observation>,
    /// The breaches of the rules, sorted by time.
    pub breaches: Vec<Breach>,
    /// What the check of the rules covered.
    pub coverage: Coverage,
    /// The longest delay of a player's start or of a thread on any core, ms. A run in which it is large says little
    /// about time limits.
    pub lateness_ms: f64,
    /// CPU time in ms and memory in kB of each front's last process at the end of the run; none if it is not running.
    pub front_usage: Vec<Option<(f64, u64)>>,
}

/// Runs the scenario with `program` as its fronts; their configurations and logs go to `folder`.
pub async fn run(scenario: Scenario, program: Program, folder: &Path) -> Result<RunResult> {
    let testbed = Testbed::build(scenario, program, folder).await?;
    testbed.start().await?;
    let Testbed { scenario, titles, fronts, environment, recorder, .. } = testbed;
    let pool = Arc::new(PlayerPool {
        scenario: scenario.clone(),
        titles: titles.clone(),
        fronts: fronts.clone(),
        tls: fronts.connector()?,
        recorder: recorder.clone(),
        next_request: AtomicU64::new(1),
        results: Mutex::default(),
    });
    let scheduling_delay = SchedulingDelay::start();
    let start = Instant::now();
    let mut fault_tasks = Vec::new();
    for (i, fault) in scenario.troubles.iter().enumerate() {
        let (environment, fault) = (environment.clone(), fault.clone());
        let seed = scenario.seed.wrapping_mul(31).wrapping_add(i as u64);
        fault_tasks.push(tokio::spawn(async move { environment.inject(fault, seed).await }));
    }
    let max_start_delay_ms = run_arrivals(pool.clone(), arrivals(&scenario, &titles), start).await?;
    for task in fault_tasks {
        task.await?;
    }
    let front_usage = (0..scenario.fronts).map(|front| fronts.resource_usage(front)).collect();
    fronts.stop(STOP_TIMEOUT).await?;
    let lateness_ms = scheduling_delay.stop().max(max_start_delay_ms);
    let observations = recorder.observations();
    let (breaches, coverage) = check(&observations, &scenario.rule_params());
    let player_results =
        std::mem::take(&mut *pool.results.lock().expect("no player panics while it holds the results"));
    Ok(RunResult { player_results, observations, breaches, coverage, lateness_ms, front_usage })
}
