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
const STOP: Duration = Duration::from_secs(40);

pub struct RunResult {
    pub watched: Vec<PlayerResult>,
    pub seen: Vec<Observation>,
    pub breaches: Vec<Breach>,
    pub covered: Coverage,
    /// How late the latest player set out, or anyone on any core woke, ms: a day on which this is large says little.
    pub lateness_ms: f64,
    /// CPU of each front at the end of the day, ms, and memory, kB; none for one that was restarted last.
    pub used: Vec<Option<(f64, u64)>>,
}

/// Plays the day with `program` as its fronts, in a folder for what they are given and what they say.
pub async fn run(day: Scenario, program: Program, folder: &Path) -> Result<RunResult> {
    let set = Testbed::build(day, program, folder).await?;
    set.start().await?;
    let Testbed { day, titles, fronts, stage, log, .. } = set;
    let room = Arc::new(PlayerPool {
        day: day.clone(),
        titles: titles.clone(),
        fronts: fronts.clone(),
        seal: fronts.connector()?,
        log: log.clone(),
        requests: AtomicU64::new(1),
        watched: Mutex::default(),
    });
    let machine = HostLoad::watch();
    let start = Instant::now();
    let mut troubles = Vec::new();
    for (i, trouble) in day.troubles.iter().enumerate() {
        let (stage, trouble) = (stage.clone(), trouble.clone());
        let seed = day.seed.wrapping_mul(31).wrapping_add(i as u64);
        troubles.push(tokio::spawn(async move { stage.inject(trouble, seed).await }));
    }
    let set_out = run_arrivals(room.clone(), arrivals(&day, &titles), start).await?;
    for trouble in troubles {
        trouble.await?;
    }
    let used = (0..day.fronts).map(|front| fronts.used(front)).collect();
    fronts.stop(STOP).await?;
    let lateness_ms = machine.lateness_ms().max(set_out);
    let seen = log.observations();
    let (breaches, covered) = check(&seen, &day.terms());
    let watched = std::mem::take(&mut *room.watched.lock().expect("no player dies while it reports"));
    Ok(RunResult { watched, seen, breaches, covered, lateness_ms, used })
}
