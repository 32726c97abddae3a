//! Real fronts as processes: writes what they are given at start, starts, kills and stops them.

use crate::relays::Relays;
use crate::scenario::Scenario;
use anyhow::{Context, Result, bail, ensure};
use pulleystair_dash::token::{EntryToken, KeyRing};
use pulleystair_fake_servers::certificates::{Certificate, CertificateAuthority};
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_rule_checker::Observed;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep};
use tokio_rustls::TlsConnector;

/// How long a front may take until it listens.
const START: Duration = Duration::from_secs(20);

struct Front {
    child: Option<Child>,
    address: Option<SocketAddr>,
    /// Where it is, or was when it last ran.
    home: Option<SocketAddr>,
}

/// What is run as a front: a program, and its words before the rundown's file.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub words: Vec<String>,
}

impl Program {
    /// The real front.
    pub fn edge(path: PathBuf) -> Program {
        Program {
            path,
            words: ["--log", "json", "--level", "info,server=debug", "run"].map(String::from).to_vec(),
        }
    }
}

#[derive(Clone)]
pub struct Fronts {
    program: Program,
    folder: PathBuf,
    zones: usize,
    all: Arc<Mutex<Vec<Front>>>,
    log: Recorder,
    /// What stands between fronts that share.
    pub between: Option<Relays>,
    /// The portal's present key, and how many keys there were.
    portal: Arc<Mutex<(KeyRing, usize)>>,
    /// Who vouches for fronts and servers, where they speak TLS.
    pub authority: Option<Arc<CertificateAuthority>>,
}

/// The name that fronts' certificates bear.
pub const FRONT: &str = "front";

/// The portal's key, with which entry tokens are signed.
pub fn portal_keys() -> KeyRing {
    ring(1)
}

fn ring(n: usize) -> KeyRing {
    KeyRing::new(&[(format!("portal-{n}"), secret("entry", n))]).expect("one long key is a ring")
}

fn secret(of: &str, n: usize) -> Vec<u8> {
    format!("{of} tokens of this laboratory, not a secret {n}").into_bytes()
}

/// The name of a front among its peers.
pub fn name(front: usize) -> String {
    format!("front-{front}")
}

/// A port that nobody has at present.
fn free_port() -> Result<SocketAddr> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// The rundown of one front of a day, where its fronts share also with its ways to the others.
fn shared_rundown(day: &Scenario, front: usize, between: &Option<Relays>) -> Result<serde_json::Value> {
    let mut it = front_config(day, front);
    if let (Some(between), Some(sharing)) = (between, &day.sharing) {
        let peer = |to: usize| json!({ "name": name(to), "at": between.way(front, to) });
        it["fleet"]["name"] = json!("laboratory");
        it["fleet"]["listen"] = json!("127.0.0.1:0");
        it["fleet"]["peers"] = (0..day.fronts).map(peer).collect();
        it["sharing"] = json!(sharing);
        it["sharing"]["ask"] = json!(free_port()?);
    }
    Ok(it)
}

/// The rundown of one front of a day.
pub fn front_config(day: &Scenario, front: usize) -> serde_json::Value {
    let fleet = &day.fleet;
    let links: f64 = fleet.link_kb * fleet.servers as f64;
    let products: Vec<serde_json::Value> = day
        .products
        .iter()
        .map(|p| {
            let mut it = serde_json::to_value(p).unwrap_or_default();
            if let Some(it) = it.as_object_mut() {
                ["part", "titles", "holders", "seconds"].iter().for_each(|name| {
                    it.remove(*name);
                });
            }
            it
        })
        .collect();
    json!({
        "listen": "127.0.0.1:0",
        "zone": day.zones[front % day.zones.len()],
        "zones": day.zones,
        "fronts": day.fronts,
        "rank": front,
        "seed": day.seed.wrapping_add(front as u64),
        "list": "list.json",
        "products": products,
        "ladder": day.ladder,
        "fleet": {
            "cells": fleet.servers,
            "racks": fleet.racks,
            "kinds": [{ "name": "standard", "streams": fleet.streams }],
            "rack_link_kb": fleet.rack_link_kb,
            "link_unit_kb": fleet.link_kb,
            "links_kb": links,
            "shared_part": fleet.shared_part,
            "notes_late_ms": fleet.notes_late_ms,
            "stall_cost": 7.0,
            "change_costs_s": 0.5,
        },
        "rules": {
            "drain_grace_ms": day.rules.drain_grace_ms,
            "cold_ms": day.rules.cold_ms,
            "cold_from": day.rules.cold_from,
            "overload_factor": day.rules.overload_factor,
            "allocations": day.rules.allocations,
            "budget": day.rules.budget,
            "retry_after_ms": day.rules.retry_after_ms,
            "probes": day.rules.probes,
        },
        "prices": { "probe": 0.01, "cross_zone": 0.02 },
        "limits": day.limits,
        "reads": day.reads,
        "admission": day.admission,
        "keys": "keys.json",
        "homes": if day.fronts > 1 { json!("homes.json") } else { json!(null) },
        "tls": if day.tls { json!({ "players": "players", "servers": "servers" }) } else { json!({}) },
    })
}

impl Fronts {
    /// Writes keys and rundowns into the folder; the list must be there before a front starts.
    pub fn new(day: &Scenario, program: Program, folder: &Path, log: Recorder) -> Result<Fronts> {
        let between = day.sharing.as_ref().map(|_| Relays::open(day.fronts, day.seed)).transpose()?;
        for front in 0..day.fronts {
            let text = serde_json::to_string_pretty(&shared_rundown(day, front, &between)?)?;
            std::fs::write(folder.join(format!("front-{front}.json")), text)?;
        }
        let all = (0..day.fronts).map(|_| Front { child: None, address: None, home: None }).collect();
        let fronts = Fronts {
            program,
            folder: folder.into(),
            zones: day.zones.len(),
            all: Arc::new(Mutex::new(all)),
            log,
            between,
            portal: Arc::new(Mutex::new((ring(1), 1))),
            authority: day.tls.then(|| Arc::new(CertificateAuthority::default())),
        };
        fronts.put_keys(&[1])?;
        if let Some(authority) = &fronts.authority {
            for side in ["players", "servers"] {
                std::fs::create_dir_all(folder.join(side))?;
                replace(&folder.join(side).join("authority.pem"), authority.pem().as_bytes())?;
            }
        }
        fronts.renew_certificates()?;
        Ok(fronts)
    }

    /// Puts these token keys in service, the first of them to sign.
    fn put_keys(&self, numbers: &[usize]) -> Result<()> {
        let mut keys = json!({ "entry": [], "pass": [] });
        for n in numbers {
            for (of, kid) in [("entry", "portal"), ("pass", "pass")] {
                let file = format!("{of}-{n}.key");
                replace(&self.folder.join(&file), secret(of, *n))?;
                let list = keys[of].as_array_mut().context("it was made a list")?;
                list.push(json!({ "kid": format!("{kid}-{n}"), "file": file }));
            }
        }
        Ok(replace(&self.folder.join("keys.json"), keys.to_string())?)
    }

    /// Replaces all token keys as an operator would: the new ones beside the old, then the portal signs by the
    /// new one, then the old are taken out.
    pub async fn renew_keys(&self, taken: Duration) -> Result<()> {
        let old = self.portal.lock().expect("nobody dies while holding the portal").1;
        self.put_keys(&[old + 1, old])?;
        sleep(taken).await;
        *self.portal.lock().expect("nobody dies while holding the portal") = (ring(old + 1), old + 1);
        self.put_keys(&[old + 1])
    }

    /// Replaces the fronts' certificates, where they have any.
    pub fn renew_certificates(&self) -> Result<()> {
        let Some(authority) = &self.authority else { return Ok(()) };
        for side in ["players", "servers"] {
            authority.issue_long_lived(FRONT).write_files(&self.folder.join(side))?;
        }
        Ok(())
    }

    /// A certificate for fronts, good until then.
    pub fn certificate(&self, until: SystemTime) -> Option<Certificate> {
        Some(self.authority.as_ref()?.issue(FRONT, until))
    }

    /// How players speak to fronts, where that is under TLS.
    pub fn connector(&self) -> Result<Option<TlsConnector>> {
        Ok(self.authority.as_ref().map(|authority| authority.connector(None)).transpose()?)
    }

    /// An entry token by the portal's present key.
    pub fn sign(&self, entry: &EntryToken) -> String {
        self.portal.lock().expect("nobody dies while holding the portal").0.sign(entry)
    }

    pub fn count(&self) -> usize {
        self.all.lock().expect("nobody dies while holding the fronts").len()
    }

    /// Starts a front and waits until it listens.
    pub async fn start(&self, front: usize) -> Result<SocketAddr> {
        let file = self.log_file(front);
        let words = std::fs::OpenOptions::new().create(true).append(true).open(&file)?;
        let said = words.metadata()?.len() as usize;
        let child = Command::new(&self.program.path)
            .args(&self.program.words)
            .arg(self.folder.join(format!("front-{front}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(words)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{} can't be started", self.program.path.display()))?;
        let start = Instant::now();
        let address = loop {
            let said = &std::fs::read(&file)?[said..];
            if let Some(address) = tells(said, "listens") {
                if let Some((between, at)) = self.between.as_ref().zip(tells(said, "joins")) {
                    between.listens(front, at);
                }
                break address;
            }
            ensure!(start.elapsed() < START, "front {front} does not listen; see {}", file.display());
            sleep(Duration::from_millis(5)).await;
        };
        let mut all = self.all.lock().expect("nobody dies while holding the fronts");
        all[front] = Front { child: Some(child), address: Some(address), home: Some(address) };
        // Players' way to each front is known once all have been started.
        let homes: Option<Vec<SocketAddr>> = all.iter().map(|front| front.home).collect();
        if let Some(homes) = homes.filter(|homes| homes.len() > 1) {
            replace(&self.folder.join("homes.json"), serde_json::to_string(&homes)?.as_bytes())?;
        }
        self.log.record(Observed::Front { front, up: true });
        Ok(address)
    }

    fn log_file(&self, front: usize) -> PathBuf {
        self.folder.join(format!("front-{front}.log"))
    }

    /// Kills a front outright.
    pub async fn kill(&self, front: usize) {
        let child = {
            let mut all = self.all.lock().expect("nobody dies while holding the fronts");
            all[front].address = None;
            all[front].child.take()
        };
        self.log.record(Observed::Front { front, up: false });
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Asks all to stop, and waits until they have.
    pub async fn stop(&self, within: Duration) -> Result<()> {
        for front in 0..self.count() {
            let child = {
                let mut all = self.all.lock().expect("nobody dies while holding the fronts");
                all[front].address = None;
                all[front].child.take()
            };
            let Some(mut child) = child else { continue };
            if let Some(id) = child.id() {
                Command::new("kill").args(["-TERM", &id.to_string()]).status().await?;
            }
            match tokio::time::timeout(within, child.wait()).await {
                Ok(status) if status.as_ref().is_ok_and(|s| s.success()) => {}
                Ok(status) => {
                    let log = std::fs::read(self.log_file(front)).unwrap_or_default();
                    let log = String::from_utf8_lossy(&log);
                    // Why it ended is its last word.
                    bail!("front {front} ended with {status:?}: {}", log.lines().last().unwrap_or_default());
                }
                Err(_) => bail!("front {front} did not stop within {within:?}"),
            }
        }
        Ok(())
    }

    /// The process id of a front that runs.
    pub fn process(&self, front: usize) -> Option<u32> {
        self.all.lock().expect("nobody dies while holding the fronts")[front].child.as_ref()?.id()
    }

    /// Waits for a front's own end; true if it ended well.
    pub async fn ended(&self, front: usize) -> bool {
        let child = self.all.lock().expect("nobody dies while holding the fronts")[front].child.take();
        match child {
            Some(mut child) => child.wait().await.is_ok_and(|status| status.success()),
            None => false,
        }
    }

    /// CPU time that a front has used so far, ms, and its resident memory, kB; from the process table.
    pub fn used(&self, front: usize) -> Option<(f64, u64)> {
        let id =
            self.all.lock().expect("nobody dies while holding the fronts")[front].child.as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let mut fields = stat.rsplit_once(") ")?.1.split(' ').skip(11);
        let ticks: f64 = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().split(' ').next()?;
        // The kernel counts in hundredths of a second.
        Some((ticks * 10.0, memory.parse().ok()?))
    }

    /// The front that is to be had there.
    pub fn at(&self, address: SocketAddr) -> Option<usize> {
        let all = self.all.lock().expect("nobody dies while holding the fronts");
        all.iter().position(|front| front.address == Some(address))
    }

    /// Where a viewer of this zone may ask: a front of the zone that runs, or any if none does. `draw` picks.
    pub fn pick(&self, zone: usize, draw: u64) -> Option<(usize, SocketAddr)> {
        let all = self.all.lock().expect("nobody dies while holding the fronts");
        let up: Vec<(usize, SocketAddr)> =
            all.iter().enumerate().filter_map(|(i, f)| Some((i, f.address?))).collect();
        let own: Vec<(usize, SocketAddr)> =
            up.iter().filter(|(i, _)| i % self.zones == zone).copied().collect();
        let from = if own.is_empty() { &up } else { &own };
        (!from.is_empty()).then(|| from[(draw % from.len() as u64) as usize])
    }
}

/// The address that a front tells with this message.
fn tells(words: &[u8], message: &str) -> Option<SocketAddr> {
    let lines = words.split(|b| *b == b'\n').filter_map(|l| serde_json::from_slice(l).ok());
    let mut lines = lines.filter(|l: &serde_json::Value| l["message"] == message);
    lines.next()?["address"].as_str()?.parse().ok()
}
