//! The list of servers as fronts are given it, and the troubles of a day.

use crate::fronts::Fronts;
use crate::scenario::{FaultEvent, Kind, Scenario};
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
pub fn titles(day: &Scenario) -> Vec<Title> {
    let mut rnd = StdRng::seed_from_u64(day.seed ^ 0x7171e5);
    let mut out = Vec::new();
    for (product, it) in day.products.iter().enumerate() {
        for i in 0..it.titles {
            let seconds = it.seconds.0 + (it.seconds.1 - it.seconds.0) * rnd.random::<f64>();
            let segments = (seconds * 1000.0 / day.players.segment_ms as f64).round().max(1.0) as u64;
            out.push(Title {
                name: format!("{}-{i}", it.name),
                product,
                first_cell: rnd.random_range(0..day.fleet.servers),
                holders: it.holders,
                duration_ms: segments * day.players.segment_ms,
                segment_ms: day.players.segment_ms,
            });
        }
    }
    out
}

/// How a server stands on the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListedState {
    Ready { started: f64 },
    Draining { started: f64 },
    Gone,
}

struct Board {
    states: Vec<ListedState>,
    /// Servers that are out of service for a trouble: no other trouble takes them.
    taken: Vec<bool>,
}

/// Everything that a day's troubles act on.
#[derive(Clone)]
pub struct Environment {
    day: Arc<Scenario>,
    titles: Arc<Vec<Title>>,
    boxes: FakeServers,
    fronts: Fronts,
    log: Recorder,
    file: PathBuf,
    board: Arc<Mutex<Board>>,
}

impl Environment {
    pub fn new(
        day: Arc<Scenario>,
        titles: Arc<Vec<Title>>,
        boxes: FakeServers,
        fronts: Fronts,
        log: Recorder,
        file: PathBuf,
    ) -> Result<Environment> {
        let count = day.fleet.servers;
        let board =
            Board { states: vec![ListedState::Ready { started: 0.0 }; count], taken: vec![false; count] };
        let stage = Environment { day, titles, boxes, fronts, log, file, board: Arc::new(Mutex::new(board)) };
        stage.write(&stage.board.lock().expect("nobody dies while holding the board"))?;
        Ok(stage)
    }

    fn write(&self, board: &Board) -> Result<()> {
        let mut servers = Vec::new();
        for (server, state) in board.states.iter().enumerate() {
            let (word, started) = match state {
                ListedState::Ready { started } => ("ready", started),
                ListedState::Draining { started } => ("draining", started),
                ListedState::Gone => continue,
            };
            servers.push(json!({
                "name": format!("m{server}"),
                "address": self.boxes.addresses[server],
                "zone": self.day.zones[self.day.zone_of(server)],
                "kind": "standard",
                "cell": server,
                "weight": 1.0,
                "state": word,
                "started_ms": started,
            }));
        }
        let titles: Vec<serde_json::Value> = self
            .titles
            .iter()
            .map(|t| {
                json!({
                    "name": t.name,
                    "product": self.day.products[t.product].name,
                    "first_cell": t.first_cell,
                    "holders": t.holders,
                    "duration_ms": t.duration_ms,
                    "segment_ms": t.segment_ms,
                })
            })
            .collect();
        let text = serde_json::to_string(&json!({ "servers": servers, "titles": titles }))?;
        Ok(replace(&self.file, text)?)
    }

    /// Lists a server anew, for all fronts at once. What is decided, logged and written is one step: another change
    /// must not put this one into the file before the log has it, or a front would seem to act on what nobody told.
    pub fn list(&self, server: usize, state: ListedState) {
        let board = self.board.lock().expect("nobody dies while holding the board");
        self.put_up(board, server, state);
    }

    fn put_up(&self, mut board: MutexGuard<Board>, server: usize, state: ListedState) {
        board.states[server] = state;
        self.log.record(Observed::Listed { server, ready: matches!(state, ListedState::Ready { .. }) });
        if let Err(e) = self.write(&board) {
            eprintln!("pulleystair-lab: the list could not be written: {e}");
        }
    }

    /// Some of the servers that no other trouble has taken out of service; these are taken with it.
    fn take(&self, rnd: &mut StdRng, among: Vec<usize>, part: f64) -> Vec<usize> {
        let mut board = self.board.lock().expect("nobody dies while holding the board");
        let count = (among.len() as f64 * part).round().max(1.0) as usize;
        let mut free: Vec<usize> = among.into_iter().filter(|s| !board.taken[*s]).collect();
        free.shuffle(rnd);
        free.truncate(count);
        free.iter().for_each(|s| board.taken[*s] = true);
        free
    }

    fn give_back(&self, servers: &[usize]) {
        let mut board = self.board.lock().expect("nobody dies while holding the board");
        servers.iter().for_each(|s| board.taken[*s] = false);
    }

    fn ail(&self, servers: &[usize], change: impl Fn(&mut ServerFaults)) {
        let mut world = self.boxes.model();
        servers.iter().for_each(|s| change(&mut world.servers[*s].faults));
    }

    fn stop_and_tell_late(&self, server: usize) {
        self.boxes.stop(server);
        let (stage, late) = (self.clone(), ms(self.day.fleet.list_late_ms));
        tokio::spawn(async move {
            sleep(late).await;
            // Seen to be down and listed as gone in one step: one that starts meanwhile is listed after that.
            let board = stage.board.lock().expect("nobody dies while holding the board");
            let down = stage.boxes.model().servers[server].faults.down;
            if down {
                stage.put_up(board, server, ListedState::Gone);
            }
        });
    }

    /// A server's process starts anew, cold, and the list tells so.
    pub fn restart(&self, server: usize) {
        self.boxes.restart(server, true);
        self.list(server, ListedState::Ready { started: self.log.now() });
    }

    /// A server is replaced: it drains, ends, and comes back cold.
    async fn replace(&self, server: usize, notice: Duration, down: Duration) {
        let started = match self.board.lock().expect("nobody dies while holding the board").states[server] {
            ListedState::Ready { started } | ListedState::Draining { started } => started,
            ListedState::Gone => 0.0,
        };
        self.list(server, ListedState::Draining { started });
        sleep(notice).await;
        self.boxes.stop(server);
        self.list(server, ListedState::Gone);
        sleep(down).await;
        self.restart(server);
    }

    /// Lets one trouble loose and sees it through. Surges and crowds are the players' part.
    pub async fn inject(&self, trouble: FaultEvent, seed: u64) {
        sleep(Duration::from_secs_f64(trouble.at_s)).await;
        let mut rnd = StdRng::seed_from_u64(seed);
        let length = Duration::from_secs_f64(trouble.length_s);
        let all: Vec<usize> = (0..self.day.fleet.servers).collect();
        let size = trouble.size;
        match trouble.kind {
            Kind::Surge | Kind::Crowd => {}
            Kind::Renew => {
                let each = length / size.max(1.0) as u32;
                for _ in 0..size as usize {
                    let renewed =
                        self.fronts.renew_certificates().and(self.fronts.renew_keys(each / 2).await);
                    if let Err(e) = renewed {
                        eprintln!("pulleystair-lab: keys could not be replaced: {e}");
                    }
                    sleep(each / 2).await;
                }
            }
            Kind::FrontDeath => {
                let front = rnd.random_range(0..self.fronts.count());
                self.fronts.kill(front).await;
                sleep(length).await;
                if let Err(e) = self.fronts.start(front).await {
                    eprintln!("pulleystair-lab: {e}");
                }
            }
            Kind::ExchangeLoss | Kind::ExchangeSplit | Kind::ExchangeDeaf => {
                let Some(between) = &self.fronts.between else { return };
                let some = some(&mut rnd, (0..self.fronts.count()).collect(), trouble.part);
                between.change(|from, to, way| match trouble.kind {
                    Kind::ExchangeLoss => (way.lost, way.doubled, way.late_ms) = (size, size, 20.0),
                    Kind::ExchangeSplit => way.open &= some.contains(&from) == some.contains(&to),
                    _ => way.open &= !some.contains(&to),
                });
                sleep(length).await;
                between.heal();
            }
            Kind::Crash | Kind::ZoneLoss => {
                let (among, part) = if trouble.kind == Kind::Crash {
                    (all, trouble.part)
                } else {
                    let zone = rnd.random_range(0..self.day.zones.len());
                    (all.into_iter().filter(|s| self.day.zone_of(*s) == zone).collect(), 1.0)
                };
                let hit = self.take(&mut rnd, among, part);
                hit.iter().for_each(|s| self.stop_and_tell_late(*s));
                sleep(length).await;
                hit.iter().for_each(|s| self.restart(*s));
                self.give_back(&hit);
            }
            Kind::SlowDeath => {
                let hit = self.take(&mut rnd, all, trouble.part);
                for step in 1..=10 {
                    self.ail(&hit, |a| a.slow = 1.0 + (size - 1.0) * f64::from(step) / 10.0);
                    sleep(length / 20).await;
                }
                hit.iter().for_each(|s| self.stop_and_tell_late(*s));
                self.ail(&hit, |a| a.slow = 1.0);
                sleep(length / 2).await;
                hit.iter().for_each(|s| self.restart(*s));
                self.give_back(&hit);
            }
            Kind::Drain => {
                let hit = self.take(&mut rnd, all, trouble.part);
                let each = hit.iter().map(|s| self.replace(*s, length / 2, length / 2));
                join(each).await;
                self.give_back(&hit);
            }
            Kind::Rolling => {
                let hit = self.take(&mut rnd, all, trouble.part);
                let each = length / hit.len().max(1) as u32;
                for server in &hit {
                    let down = Duration::from_secs_f64(size).min(each / 2);
                    self.replace(*server, each - down, down).await;
                }
                self.give_back(&hit);
            }
            Kind::Neighbour => {
                let hit = some(&mut rnd, all, trouble.part);
                for blink in 0..trouble.length_s.ceil() as u32 {
                    let takes = if blink % 2 == 0 { size } else { 0.0 };
                    self.ail(&hit, |a| a.neighbour = takes);
                    sleep(Duration::from_secs(1)).await;
                }
                self.ail(&hit, |a| a.neighbour = 0.0);
            }
            Kind::UplinkLoss => {
                let racks = some(&mut rnd, (0..self.day.fleet.racks).collect(), trouble.part);
                let hit: Vec<usize> =
                    all.into_iter().filter(|s| racks.contains(&(s % self.day.fleet.racks))).collect();
                self.ail(&hit, |a| a.uplink = 1.0 / size);
                sleep(length).await;
                self.ail(&hit, |a| a.uplink = 1.0);
            }
            kind => {
                let hit = some(&mut rnd, all, trouble.part);
                self.ail(&hit, |a| set(a, kind, size));
                sleep(length).await;
                self.ail(&hit, |a| set(a, kind, f64::NAN));
            }
        }
    }
}

/// Sets what a trouble does to a server; a size that is none takes it away.
fn set(ails: &mut ServerFaults, kind: Kind, size: f64) {
    let well = ServerFaults::default();
    let on = !size.is_nan();
    match kind {
        Kind::Silence => ails.silent = on,
        Kind::FastErrors => ails.errors = if on { size } else { well.errors },
        Kind::LostAnswers => {
            let half = if on { size / 2.0 } else { 0.0 };
            (ails.lost, ails.reset) = (half, half);
        }
        Kind::HalfHeads => ails.half_heads = if on { size } else { well.half_heads },
        Kind::CutSegments => ails.cut = if on { size } else { well.cut },
        Kind::StallSegments => ails.stall = if on { size } else { well.stall },
        Kind::LinkLoss => ails.link = if on { 1.0 / size } else { well.link },
        Kind::LateReports => ails.late_ms = if on { size * 1000.0 } else { well.late_ms },
        _ => {}
    }
}

fn some(rnd: &mut StdRng, mut among: Vec<usize>, part: f64) -> Vec<usize> {
    let count = (among.len() as f64 * part).round().max(1.0) as usize;
    among.shuffle(rnd);
    among.truncate(count);
    among
}

async fn join(all: impl Iterator<Item = impl Future<Output = ()>>) {
    // A handful of futures that mostly sleep: polled together by hand.
    let mut all: Vec<_> = all.map(Box::pin).collect();
    std::future::poll_fn(|context| {
        all.retain_mut(|one| one.as_mut().poll(context).is_pending());
        if all.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
}

pub fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
