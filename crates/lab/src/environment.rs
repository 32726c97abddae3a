//! The list of servers as fronts are given it, and the troubles of a day.

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

/// A title as the day has it.
#[derive(Clone, Debug)]
pub struct Title {
    pub name: String,
    pub product: usize,
    pub first_cell: usize,
    pub holders: usize,
    pub duration_ms: u64,
    pub segment_ms: u64,
}

/// The titles of a day, each on some servers only.
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

/// How a server stands on the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListedState {
    Ready { started: f64 },
    Draining { started: f64 },
    Gone,
}

struct ServerStates {
    states: Vec<ListedState>,
    /// Servers that are out of service for a trouble: no other trouble takes them.
    reserved: Vec<bool>,
}

/// Everything that a day's troubles act on.
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
        environment
            .write_list(&environment.server_states.lock().expect("nobody dies while holding the board"))?;
        Ok(environment)
    }

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

    /// Lists a server anew, for all fronts at once. What is decided, logged and written is one step: another change
    /// must not put this one into the file before the log has it, or a front would seem to act on what nobody told.
    pub fn list(&self, server: usize, state: ListedState) {
        let server_states = self.server_states.lock().expect("nobody dies while holding the board");
        self.apply_state(server_states, server, state);
    }

    fn apply_state(&self, mut server_states: MutexGuard<ServerStates>, server: usize, state: ListedState) {
        server_states.states[server] = state;
        self.recorder.record(Observed::Listed { server, ready: matches!(state, ListedState::Ready { .. }) });
        if let Err(error) = self.write_list(&server_states) {
            eprintln!("pulleystair-lab: the list could not be written: {error}");
        }
    }

    /// Some of the servers that no other trouble has taken out of service; these are taken with it.
    fn reserve_servers(&self, rng: &mut StdRng, candidates: Vec<usize>, part: f64) -> Vec<usize> {
        let mut server_states = self.server_states.lock().expect("nobody dies while holding the board");
        let count = (candidates.len() as f64 * part).round().max(1.0) as usize;
        let mut chosen: Vec<usize> = candidates.into_iter().filter(|s| !server_states.reserved[*s]).collect();
        chosen.shuffle(rng);
        chosen.truncate(count);
        chosen.iter().for_each(|s| server_states.reserved[*s] = true);
        chosen
    }

    fn release_servers(&self, servers: &[usize]) {
        let mut server_states = self.server_states.lock().expect("nobody dies while holding the board");
        servers.iter().for_each(|s| server_states.reserved[*s] = false);
    }

    fn change_faults(&self, servers: &[usize], change: impl Fn(&mut ServerFaults)) {
        let mut model = self.servers.model();
        servers.iter().for_each(|s| change(&mut model.servers[*s].faults));
    }

    fn stop_and_delist_later(&self, server: usize) {
        self.servers.stop(server);
        let (environment, delay) = (self.clone(), from_ms(self.scenario.fleet.list_late_ms));
        tokio::spawn(async move {
            sleep(delay).await;
            // Seen to be down and listed as gone in one step: one that starts meanwhile is listed after that.
            let server_states =
                environment.server_states.lock().expect("nobody dies while holding the board");
            let is_down = environment.servers.model().servers[server].faults.down;
            if is_down {
                environment.apply_state(server_states, server, ListedState::Gone);
            }
        });
    }

    /// A server's process starts anew, cold, and the list tells so.
    pub fn restart(&self, server: usize) {
        self.servers.restart(server, true);
        self.list(server, ListedState::Ready { started: self.recorder.now() });
    }

    /// A server is replaced: it drains, ends, and comes back cold.
    async fn replace_server(&self, server: usize, drain_time: Duration, down_time: Duration) {
        let started =
            match self.server_states.lock().expect("nobody dies while holding the board").states[server] {
                ListedState::Ready { started } | ListedState::Draining { started } => started,
                ListedState::Gone => 0.0,
            };
        self.list(server, ListedState::Draining { started });
        sleep(drain_time).await;
        self.servers.stop(server);
        self.list(server, ListedState::Gone);
        sleep(down_time).await;
        self.restart(server);
    }

    /// Lets one trouble loose and sees it through. Surges and crowds are the players' part.
    pub async fn inject(&self, fault: FaultEvent, seed: u64) {
        sleep(Duration::from_secs_f64(fault.at_s)).await;
        let mut rng = StdRng::seed_from_u64(seed);
        let duration = Duration::from_secs_f64(fault.length_s);
        let all_servers: Vec<usize> = (0..self.scenario.fleet.servers).collect();
        let severity = fault.size;
        match fault.kind {
            FaultKind::Surge | FaultKind::Crowd => {}
            FaultKind::Renew => {
                let each = duration / severity.max(1.0) as u32;
                for _ in 0..severity as usize {
                    let renewed =
                        self.fronts.renew_certificates().and(self.fronts.renew_keys(each / 2).await);
                    if let Err(error) = renewed {
                        eprintln!("pulleystair-lab: keys could not be replaced: {error}");
                    }
                    sleep(each / 2).await;
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
                let Some(relays) = &self.fronts.between else { return };
                let chosen = choose_part(&mut rng, (0..self.fronts.count()).collect(), fault.part);
                relays.change(|from, to, conditions| match fault.kind {
                    FaultKind::ExchangeLoss => {
                        (conditions.lost, conditions.doubled, conditions.late_ms) = (severity, severity, 20.0)
                    }
                    FaultKind::ExchangeSplit => {
                        conditions.open &= chosen.contains(&from) == chosen.contains(&to)
                    }
                    _ => conditions.open &= !chosen.contains(&to),
                });
                sleep(duration).await;
                relays.heal();
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
                let each = affected.iter().map(|s| self.replace_server(*s, duration / 2, duration / 2));
                join_all(each).await;
                self.release_servers(&affected);
            }
            FaultKind::Rolling => {
                let affected = self.reserve_servers(&mut rng, all_servers, fault.part);
                let each = duration / affected.len().max(1) as u32;
                for server in &affected {
                    let down_time = Duration::from_secs_f64(severity).min(each / 2);
                    self.replace_server(*server, each - down_time, down_time).await;
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

/// Sets what a trouble does to a server; a size that is none takes it away.
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
            faults.late_ms = if is_active { severity * 1000.0 } else { healthy.late_ms }
        }
        _ => {}
    }
}

fn choose_part(rng: &mut StdRng, mut candidates: Vec<usize>, part: f64) -> Vec<usize> {
    let count = (candidates.len() as f64 * part).round().max(1.0) as usize;
    candidates.shuffle(rng);
    candidates.truncate(count);
    candidates
}

async fn join_all(pending: impl Iterator<Item = impl Future<Output = ()>>) {
    // A handful of futures that mostly sleep: polled together by hand.
    let mut pending: Vec<_> = pending.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        pending.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

pub fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
