//! The environment of the fronts in a scenario: the server list file that they read, and the injection of faults.

use crate::fronts::Fronts;
use crate::scenario::{FaultEvent, FaultKind, Scenario};
use anyhow::Result;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::model::ServerFaults;
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_fake_servers::server::FakeServers;
use pulleystair_rule_checker::Observed;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::sleep;

/// A title of the scenario.
#[derive(Clone, Debug)]
pub struct Title {
    pub name: String,
    /// Index of the product among those of the scenario.
    pub product: usize,
    /// First of the consecutive cells that hold the title; they continue with cell 0 after the last one.
    pub first_cell: usize,
    /// Number of cells that hold the title.
    pub holders: usize,
    pub duration_ms: u64,
    pub segment_ms: u64,
}

/// Draws the titles of a scenario; each is held by a consecutive range of cells.
pub fn titles(scenario: &Scenario) -> Vec<Title> {
    let mut rng = StdRng::seed_from_u64(scenario.seed ^ 0x7171e5);
    let mut titles = Vec::new();
    for (product, product_config) in scenario.products.iter().enumerate() {
        for i in 0..product_config.titles {
            let seconds = product_config.seconds.0
                + (product_config.seconds.1 - product_config.seconds.0) * rng.random::<f64>();
            let segments = (seconds * 1000.0 / scenario.players.segment_ms as f64).round().max(1.0) as u64;
            titles.push(Title {
                name: format!("{}-{i}", product_config.name),
                product,
                first_cell: rng.random_range(0..scenario.fleet.servers),
                holders: product_config.holders,
                duration_ms: segments * scenario.players.segment_ms,
                segment_ms: scenario.players.segment_ms,
            });
        }
    }
    titles
}

/// State of a server in the list; `started` is the start time of its process in ms since 1970, 0 if unknown. A server
/// that is gone is not in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListedState {
    Ready { started: f64 },
    Draining { started: f64 },
    Gone,
}

/// The state of all servers, by their number.
struct ServerStates {
    states: Vec<ListedState>,
    /// Servers that an active fault stops, drains or replaces, or will; no other such fault selects them. Faults that
    /// only degrade servers may.
    reserved: Vec<bool>,
}

/// Everything that the faults of a scenario act on.
#[derive(Clone)]
pub struct Environment {
    scenario: Arc<Scenario>,
    titles: Arc<Vec<Title>>,
    servers: FakeServers,
    fronts: Fronts,
    recorder: Recorder,
    list_file: PathBuf,
    server_states: Arc<Mutex<ServerStates>>,
}

impl Environment {
    /// Writes the first server list, in which all servers are ready.
    pub fn new(
        scenario: Arc<Scenario>,
        titles: Arc<Vec<Title>>,
        servers: FakeServers,
        fronts: Fronts,
        recorder: Recorder,
        list_file: PathBuf,
    ) -> Result<Environment> {
        let count = scenario.fleet.servers;
        let server_states = ServerStates {
            states: vec![ListedState::Ready { started: 0.0 }; count],
            reserved: vec![false; count],
        };
        let environment = Environment {
            scenario,
            titles,
            servers,
            fronts,
            recorder,
            list_file,
            server_states: Arc::new(Mutex::new(server_states)),
        };
        environment.write_list(
            &environment.server_states.lock().expect("no task panics while it holds the server states"),
        )?;
        Ok(environment)
    }

    /// Replaces the server list file.
    fn write_list(&self, server_states: &ServerStates) -> Result<()> {
        let mut servers = Vec::new();
        for (server, state) in server_states.states.iter().enumerate() {
            let (state_name, started) = match state {
                ListedState::Ready { started } => ("ready", started),
                ListedState::Draining { started } => ("draining", started),
                ListedState::Gone => continue,
            };
            servers.push(json!({
                "name": format!("m{server}"),
                "address": self.servers.addresses[server],
                "zone": self.scenario.zones[self.scenario.zone_of(server)],
                "kind": "standard",
                "cell": server,
                "weight": 1.0,
                "state": state_name,
                "started_ms": started,
            }));
        }
        let titles: Vec<serde_json::Value> = self
            .titles
            .iter()
            .map(|title| {
                json!({
                    "name": title.name,
                    "product": self.scenario.products[title.product].name,
                    "first_cell": title.first_cell,
                    "holders": title.holders,
                    "duration_ms": title.duration_ms,
                    "segment_ms": title.segment_ms,
                })
            })
            .collect();
        let text = serde_json::to_string(&json!({ "servers": servers, "titles": titles }))?;
        Ok(replace(&self.list_file, text)?)
    }

    /// Changes the listed state of a server, for all fronts at once. The state is changed, recorded and written under
    /// one lock: otherwise the file could contain a change before it is recorded, and a front that acts on it would
    /// seem to break a rule.
    pub fn set_listed_state(&self, server: usize, state: ListedState) {
        let server_states =
            self.server_states.lock().expect("no task panics while it holds the server states");
        self.apply_state(server_states, server, state);
    }

    /// Changes and records the listed state of a server, writes the list, and then releases the caller's lock. A failed
    /// write is only reported on stderr.
    fn apply_state(&self, mut server_states: MutexGuard<ServerStates>, server: usize, state: ListedState) {
        server_states.states[server] = state;
        self.recorder.record(Observed::Listed { server, ready: matches!(state, ListedState::Ready { .. }) });
        if let Err(error) = self.write_list(&server_states) {
            eprintln!("pulleystair-lab: failed to write the server list: {error}");
        }
    }

    /// Reserves a random part of the candidates, without those that another fault has reserved.
    fn reserve_servers(&self, rng: &mut StdRng, candidates: Vec<usize>, part: f64) -> Vec<usize> {
        let mut server_states =
            self.server_states.lock().expect("no task panics while it holds the server states");
        let count = (candidates.len() as f64 * part).round().max(1.0) as usize;
        let mut chosen: Vec<usize> = candidates.into_iter().filter(|s| !server_states.reserved[*s]).collect();
        chosen.shuffle(rng);
        chosen.truncate(count);
        chosen.iter().for_each(|s| server_states.reserved[*s] = true);
        chosen
    }

    /// Releases servers when the fault that reserved them has ended.
    fn release_servers(&self, servers: &[usize]) {
        let mut server_states =
            self.server_states.lock().expect("no task panics while it holds the server states");
        servers.iter().for_each(|s| server_states.reserved[*s] = false);
    }

    /// Changes the injected faults of servers.
    fn change_faults(&self, servers: &[usize], change: impl Fn(&mut ServerFaults)) {
        let mut model = self.servers.model();
        servers.iter().for_each(|s| change(&mut model.servers[*s].faults));
    }

    /// Ends the process of a server; the list shows it as gone after `list_late_ms`.
    fn stop_and_delist_later(&self, server: usize) {
        self.servers.stop(server);
        let (environment, delay) = (self.clone(), from_ms(self.scenario.fleet.list_late_ms));
        tokio::spawn(async move {
            sleep(delay).await;
            // Checked and listed under one lock: a server that starts meanwhile is listed as ready afterwards.
            let server_states =
                environment.server_states.lock().expect("no task panics while it holds the server states");
            let is_down = environment.servers.model().servers[server].faults.down;
            if is_down {
                environment.apply_state(server_states, server, ListedState::Gone);
            }
        });
    }

    /// Starts the process of a server, cold, and lists it as ready.
    pub fn restart(&self, server: usize) {
        self.servers.restart(server, true);
        self.set_listed_state(server, ListedState::Ready { started: self.recorder.now() });
    }

    /// Replaces a server: it drains for `drain_time`, is down for `down_time`, and starts again cold.
    async fn replace_server(&self, server: usize, drain_time: Duration, down_time: Duration) {
        let started =
            match self.server_states.lock().expect("no task panics while it holds the server states").states
                [server]
            {
                ListedState::Ready { started } | ListedState::Draining { started } => started,
                ListedState::Gone => 0.0,
            };
        self.set_listed_state(server, ListedState::Draining { started });
        sleep(drain_time).await;
        self.servers.stop(server);
        self.set_listed_state(server, ListedState::Gone);
        sleep(down_time).await;
        self.restart(server);
    }

    /// Waits for the start of a fault, injects it and ends it. Surges and crowds are generated by the players instead.
    pub async fn inject(&self, fault: FaultEvent, seed: u64) {
        sleep(Duration::from_secs_f64(fault.at_s)).await;
        let mut rng = StdRng::seed_from_u64(seed);
        let duration = Duration::from_secs_f64(fault.length_s);
        let all_servers: Vec<usize> = (0..self.scenario.fleet.servers).collect();
        let severity = fault.size;
        match fault.kind {
            FaultKind::Surge | FaultKind::Crowd => {}
            FaultKind::Renew => {
                let interval = duration / severity.max(1.0) as u32;
                for _ in 0..severity as usize {
                    let renewed =
                        self.fronts.renew_certificates().and(self.fronts.renew_keys(interval / 2).await);
                    if let Err(error) = renewed {
                        eprintln!("pulleystair-lab: failed to replace keys or certificates: {error}");
                    }
                    sleep(interval / 2).await;
                }
            }
            FaultKind::FrontDeath => {
                let front = rng.random_range(0..self.fronts.count());
                self.fronts.kill(front).await;
                sleep(duration).await;
                if let Err(error) = self.fronts.start(front).await {
                    eprintln!("pulleystair-lab: {error}");
                }
            }
            FaultKind::ExchangeLoss | FaultKind::ExchangeSplit | FaultKind::ExchangeDeaf => {
                let Some(relays) = &self.fronts.relays else { return };
                let chosen = choose_part(&mut rng, (0..self.fronts.count()).collect(), fault.part);
                relays.change_conditions(|from, to, conditions| match fault.kind {
                    FaultKind::ExchangeLoss => {
                        (conditions.loss_rate, conditions.duplicate_rate, conditions.max_usual_delay_ms) =
                            (severity, severity, 20.0)
                    }
                    FaultKind::ExchangeSplit => {
                        conditions.open &= chosen.contains(&from) == chosen.contains(&to)
                    }
                    _ => conditions.open &= !chosen.contains(&to),
                });
                sleep(duration).await;
                relays.restore();
            }
            FaultKind::Crash | FaultKind::ZoneLoss => {
                let (candidates, part) = if fault.kind == FaultKind::Crash {
                    (all_servers, fault.part)
                } else {
                    let zone = rng.random_range(0..self.scenario.zones.len());
                    (all_servers.into_iter().filter(|s| self.scenario.zone_of(*s) == zone).collect(), 1.0)
                };
                let affected = self.reserve_servers(&mut rng, candidates, part);
                affected.iter().for_each(|s| self.stop_and_delist_later(*s));
                sleep(duration).await;
                affected.iter().for_each(|s| self.restart(*s));
                self.release_servers(&affected);
            }
            FaultKind::SlowDeath => {
                let affected = self.reserve_servers(&mut rng, all_servers, fault.part);
                for step in 1..=10 {
                    self.change_faults(&affected, |f| {
                        f.slow = 1.0 + (severity - 1.0) * f64::from(step) / 10.0
                    });
                    sleep(duration / 20).await;
                }
                affected.iter().for_each(|s| self.stop_and_delist_later(*s));
                self.change_faults(&affected, |f| f.slow = 1.0);
                sleep(duration / 2).await;
                affected.iter().for_each(|s| self.restart(*s));
                self.release_servers(&affected);
            }
            FaultKind::Drain => {
                let affected = self.reserve_servers(&mut rng, all_servers, fault.part);
                let replacements =
                    affected.iter().map(|s| self.replace_server(*s, duration / 2, duration / 2));
                join_all(replacements).await;
                self.release_servers(&affected);
            }
            FaultKind::Rolling => {
                let affected = self.reserve_servers(&mut rng, all_servers, fault.part);
                let time_per_server = duration / affected.len().max(1) as u32;
                for server in &affected {
                    let down_time = Duration::from_secs_f64(severity).min(time_per_server / 2);
                    self.replace_server(*server, time_per_server - down_time, down_time).await;
                }
                self.release_servers(&affected);
            }
            FaultKind::Neighbour => {
                let affected = choose_part(&mut rng, all_servers, fault.part);
                for second in 0..fault.length_s.ceil() as u32 {
                    let taken_part = if second % 2 == 0 { severity } else { 0.0 };
                    self.change_faults(&affected, |f| f.neighbour = taken_part);
                    sleep(Duration::from_secs(1)).await;
                }
                self.change_faults(&affected, |f| f.neighbour = 0.0);
            }
            FaultKind::UplinkLoss => {
                let racks = choose_part(&mut rng, (0..self.scenario.fleet.racks).collect(), fault.part);
                let affected: Vec<usize> = all_servers
                    .into_iter()
                    .filter(|s| racks.contains(&(s % self.scenario.fleet.racks)))
                    .collect();
                self.change_faults(&affected, |f| f.uplink = 1.0 / severity);
                sleep(duration).await;
                self.change_faults(&affected, |f| f.uplink = 1.0);
            }
            kind => {
                let affected = choose_part(&mut rng, all_servers, fault.part);
                self.change_faults(&affected, |f| set_fault(f, kind, severity));
                sleep(duration).await;
                self.change_faults(&affected, |f| set_fault(f, kind, f64::NAN));
            }
        }
    }
}

/// Applies a fault of this severity to a server, or removes it if the severity is NaN.
fn set_fault(faults: &mut ServerFaults, kind: FaultKind, severity: f64) {
    let healthy = ServerFaults::default();
    let is_active = !severity.is_nan();
    match kind {
        FaultKind::Silence => faults.silent = is_active,
        FaultKind::FastErrors => faults.errors = if is_active { severity } else { healthy.errors },
        FaultKind::LostAnswers => {
            let half = if is_active { severity / 2.0 } else { 0.0 };
            (faults.lost, faults.reset) = (half, half);
        }
        FaultKind::HalfHeads => faults.half_heads = if is_active { severity } else { healthy.half_heads },
        FaultKind::CutSegments => faults.cut = if is_active { severity } else { healthy.cut },
        FaultKind::StallSegments => faults.stall = if is_active { severity } else { healthy.stall },
        FaultKind::LinkLoss => faults.link = if is_active { 1.0 / severity } else { healthy.link },
        FaultKind::LateReports => {
            faults.report_delay_ms = if is_active { severity * 1000.0 } else { healthy.report_delay_ms }
        }
        _ => {}
    }
}

/// Chooses a random part of the candidates, at least one.
fn choose_part(rng: &mut StdRng, mut candidates: Vec<usize>, part: f64) -> Vec<usize> {
    let count = (candidates.len() as f64 * part).round().max(1.0) as usize;
    candidates.shuffle(rng);
    candidates.truncate(count);
    candidates
}

/// Waits until all futures have completed.
async fn join_all(pending: impl Iterator<Item = impl Future<Output = ()>>) {
    // Polled together without a library: there are only a few futures, and they mostly sleep.
    let mut pending: Vec<_> = pending.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

/// A duration from ms; negative values count as 0.
pub fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
