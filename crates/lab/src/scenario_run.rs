//! Plays one scripted day: starts servers and fronts, lets players come and troubles loose, stops all, and has
//! the rules checked.

use crate::fronts::Program;
use crate::host_load::HostLoad;
use crate::players::{PlayerPool, PlayerResult, arrivals, run_arrivals};
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use anyhow::Result;
use pulleystair_rule_checker::Observation;
use pulleystair_rule_checker::rules::{Breach, Coverage, check};
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// How long fronts may take to stop after the last player has left.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

pub struct RunResult {
    pub player_results: Vec<PlayerResult>,
    pub seen: Vec<Observation>,
    pub breaches: Vec<Breach>,
    pub covered: Coverage,
    /// How late the latest player set out, or anyone on any core woke, ms: a day on which this is large says little.
    pub lateness_ms: f64,
    /// CPU of each front at the end of the day, ms, and memory, kB; none for one that was restarted last.
    pub front_usage: Vec<Option<(f64, u64)>>,
}

/// Plays the day with `program` as its fronts, in a folder for what they are given and what they say.
pub async fn run(scenario: Scenario, program: Program, folder: &Path) -> Result<RunResult> {
    let testbed = Testbed::build(scenario, program, folder).await?;
    testbed.start().await?;
    let Testbed { day: scenario, titles, fronts, stage: environment, log: recorder, .. } = testbed;
    let pool = Arc::new(PlayerPool {
        scenario: scenario.clone(),
        titles: titles.clone(),
        fronts: fronts.clone(),
        tls: fronts.connector()?,
        recorder: recorder.clone(),
        next_request: AtomicU64::new(1),
        results: Mutex::default(),
    });
    let host_load = HostLoad::watch();
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
    let lateness_ms = host_load.lateness_ms().max(max_start_delay_ms);
    let seen = recorder.observations();
    let (breaches, covered) = check(&seen, &scenario.terms());
    let player_results = std::mem::take(&mut *pool.results.lock().expect("no player dies while it reports"));
    Ok(RunResult { player_results, seen, breaches, covered, lateness_ms, front_usage })
}
