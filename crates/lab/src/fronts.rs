//! Runs the real fronts as processes: writes their configurations, keys and certificates, and starts, kills and stops
//! them.

use crate::front_config::full_front_config;
use crate::relays::Relays;
use crate::scenario::Scenario;
use anyhow::{Context, Result, bail, ensure};
use pulleystair_dash::token::{EntryClaims, KeyRing};
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
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A front's process and its listening address while it runs.
#[derive(Default)]
struct Front {
    child: Option<Child>,
    address: Option<SocketAddr>,
    /// The address of the present or the last process.
    last_address: Option<SocketAddr>,
    /// The address on which the present or the last process answers status queries, if the fronts share state.
    status_address: Option<SocketAddr>,
}

/// The program to run as a front.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    /// The arguments before the path of the configuration file.
    pub args: Vec<String>,
}

impl Program {
    /// The real front, `pulleystair-edge`, with a JSON log, in which the lab looks for the listening addresses.
    pub fn edge(path: PathBuf) -> Program {
        Program {
            path,
            args: ["--log", "json", "--level", "info,server=debug", "run"].map(String::from).to_vec(),
        }
    }
}

/// All fronts of a scenario; clones refer to the same processes.
#[derive(Clone)]
pub struct Fronts {
    program: Program,
    folder: PathBuf,
    zone_count: usize,
    fronts: Arc<Mutex<Vec<Front>>>,
    recorder: Recorder,
    /// The relays between the fronts, if the fronts share state.
    pub relays: Option<Relays>,
    /// The portal's present key ring and its number; numbers count the renewals.
    portal: Arc<Mutex<(KeyRing, usize)>>,
    /// Issues the certificates of fronts and servers; none without TLS.
    pub authority: Option<Arc<CertificateAuthority>>,
}

/// The server name for which the certificates of all fronts are issued.
pub const FRONT_NAME: &str = "front";

/// The portal's first keys, with which entry tokens are signed.
pub fn portal_keys() -> KeyRing {
    portal_key_ring(1)
}

/// The portal's key ring after `number` - 1 renewals.
fn portal_key_ring(number: usize) -> KeyRing {
    KeyRing::new(&[(format!("portal-{number}"), key_secret("entry", number))])
        .expect("a ring of one long key is valid")
}

/// The secret of a key, for `entry` or `pass` tokens.
fn key_secret(token_kind: &str, number: usize) -> Vec<u8> {
    format!("{token_kind} tokens of this laboratory, not a secret {number}").into_bytes()
}

impl Fronts {
    /// Writes keys, certificates and configurations to the folder. The server list must exist before a front starts.
    pub fn new(scenario: &Scenario, program: Program, folder: &Path, recorder: Recorder) -> Result<Fronts> {
        let relays =
            scenario.sharing.as_ref().map(|_| Relays::open(scenario.fronts, scenario.seed)).transpose()?;
        for front in 0..scenario.fronts {
            let text = serde_json::to_string_pretty(&full_front_config(scenario, front, &relays))?;
            std::fs::write(folder.join(format!("front-{front}.json")), text)?;
        }
        let front_states = (0..scenario.fronts).map(|_| Front::default()).collect();
        let fronts = Fronts {
            program,
            folder: folder.into(),
            zone_count: scenario.zones.len(),
            fronts: Arc::new(Mutex::new(front_states)),
            recorder,
            relays,
            portal: Arc::new(Mutex::new((portal_key_ring(1), 1))),
            authority: scenario.tls.then(|| Arc::new(CertificateAuthority::default())),
        };
        fronts.write_key_files(&[1])?;
        if let Some(authority) = &fronts.authority {
            for side in ["players", "servers"] {
                std::fs::create_dir_all(folder.join(side))?;
                replace(&folder.join(side).join("authority.pem"), authority.pem().as_bytes())?;
            }
        }
        fronts.renew_certificates()?;
        Ok(fronts)
    }

    /// Writes these token keys and the key file that names them; the first one signs.
    fn write_key_files(&self, numbers: &[usize]) -> Result<()> {
        let mut keys = json!({ "entry": [], "pass": [] });
        for number in numbers {
            for (token_kind, kid_prefix) in [("entry", "portal"), ("pass", "pass")] {
                let file = format!("{token_kind}-{number}.key");
                replace(&self.folder.join(&file), key_secret(token_kind, *number))?;
                let key_list = keys[token_kind].as_array_mut().context("the key list is not an array")?;
                key_list.push(json!({ "kid": format!("{kid_prefix}-{number}"), "file": file }));
            }
        }
        Ok(replace(&self.folder.join("keys.json"), keys.to_string())?)
    }

    /// Replaces all token keys as an operator would: adds the new keys, waits for `overlap`, lets the portal sign with
    /// the new key, and removes the old keys.
    pub async fn renew_keys(&self, overlap: Duration) -> Result<()> {
        let old_number = self.portal.lock().expect("no task panics while it holds the portal's keys").1;
        self.write_key_files(&[old_number + 1, old_number])?;
        sleep(overlap).await;
        *self.portal.lock().expect("no task panics while it holds the portal's keys") =
            (portal_key_ring(old_number + 1), old_number + 1);
        self.write_key_files(&[old_number + 1])
    }

    /// Replaces the certificates of the fronts, if they use TLS.
    pub fn renew_certificates(&self) -> Result<()> {
        let Some(authority) = &self.authority else { return Ok(()) };
        for side in ["players", "servers"] {
            authority.issue_long_lived(FRONT_NAME).write_files(&self.folder.join(side))?;
        }
        Ok(())
    }

    /// Issues a certificate for fronts that is valid until `until`; none without TLS.
    pub fn certificate(&self, until: SystemTime) -> Option<Certificate> {
        Some(self.authority.as_ref()?.issue(FRONT_NAME, until))
    }

    /// The TLS connector of players to fronts; none without TLS.
    pub fn connector(&self) -> Result<Option<TlsConnector>> {
        Ok(self.authority.as_ref().map(|authority| authority.connector(None)).transpose()?)
    }

    /// Signs an entry token with the portal's present key.
    pub fn sign(&self, entry: &EntryClaims) -> String {
        self.portal.lock().expect("no task panics while it holds the portal's keys").0.sign(entry)
    }

    /// Number of fronts, running or not.
    pub fn count(&self) -> usize {
        self.fronts.lock().expect("no task panics while it holds the fronts").len()
    }

    /// Starts a front and waits until it listens.
    pub async fn start(&self, front: usize) -> Result<SocketAddr> {
        let file = self.log_file(front);
        let log_output = std::fs::OpenOptions::new().create(true).append(true).open(&file)?;
        let log_length = log_output.metadata()?.len() as usize;
        let child = Command::new(&self.program.path)
            .args(&self.program.args)
            .arg(self.folder.join(format!("front-{front}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_output)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("failed to start {}", self.program.path.display()))?;
        let start = Instant::now();
        let (address, status_address) = loop {
            let new_output = &std::fs::read(&file)?[log_length..];
            if let Some(address) = logged_address(new_output, "listens") {
                if let Some((relays, exchange_address)) =
                    self.relays.as_ref().zip(logged_address(new_output, "joins"))
                {
                    relays.set_front_address(front, exchange_address);
                }
                break (address, logged_address(new_output, "answers operators' requests"));
            }
            ensure!(
                start.elapsed() < START_TIMEOUT,
                "front {front} did not start listening in time; see {}",
                file.display()
            );
            sleep(Duration::from_millis(5)).await;
        };
        let mut fronts = self.fronts.lock().expect("no task panics while it holds the fronts");
        fronts[front] =
            Front { child: Some(child), address: Some(address), last_address: Some(address), status_address };
        // The addresses of all fronts are known once each has been started.
        let homes: Option<Vec<SocketAddr>> = fronts.iter().map(|front| front.last_address).collect();
        if let Some(homes) = homes.filter(|homes| homes.len() > 1) {
            replace(&self.folder.join("homes.json"), serde_json::to_string(&homes)?.as_bytes())?;
        }
        self.recorder.record(Observed::Front { front, up: true });
        Ok(address)
    }

    /// The file that receives the log of a front.
    fn log_file(&self, front: usize) -> PathBuf {
        self.folder.join(format!("front-{front}.log"))
    }

    /// Kills a front without a graceful stop.
    pub async fn kill(&self, front: usize) {
        let child = {
            let mut fronts = self.fronts.lock().expect("no task panics while it holds the fronts");
            fronts[front].address = None;
            fronts[front].child.take()
        };
        self.recorder.record(Observed::Front { front, up: false });
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Asks all fronts to stop, and waits up to `time_limit` for each.
    pub async fn stop(&self, time_limit: Duration) -> Result<()> {
        for front in 0..self.count() {
            let child = {
                let mut fronts = self.fronts.lock().expect("no task panics while it holds the fronts");
                fronts[front].address = None;
                fronts[front].child.take()
            };
            let Some(mut child) = child else { continue };
            if let Some(process_id) = child.id() {
                Command::new("kill").args(["-TERM", &process_id.to_string()]).status().await?;
            }
            match tokio::time::timeout(time_limit, child.wait()).await {
                Ok(status) if status.as_ref().is_ok_and(|s| s.success()) => {}
                Ok(status) => {
                    let log = std::fs::read(self.log_file(front)).unwrap_or_default();
                    let log = String::from_utf8_lossy(&log);
                    // The last line of the log tells why the front ended.
                    bail!(
                        "front {front} exited with {status:?}; the last line of its log: {}",
                        log.lines().last().unwrap_or_default()
                    );
                }
                Err(_) => bail!("front {front} did not stop within {time_limit:?}"),
            }
        }
        Ok(())
    }

    /// The process id of a running front.
    pub fn process_id(&self, front: usize) -> Option<u32> {
        self.fronts.lock().expect("no task panics while it holds the fronts")[front].child.as_ref()?.id()
    }

    /// The address on which a front answers status queries, or last did; none before its first start, and none if the
    /// fronts share no state.
    pub fn status_address(&self, front: usize) -> Option<SocketAddr> {
        self.fronts.lock().expect("no task panics while it holds the fronts")[front].status_address
    }

    /// Waits until a front exits by itself; true if it exited with success, false also if it was not running. The front
    /// then counts as stopped for `process_id` and `resource_usage`, but `choose_front` may still choose it.
    pub async fn wait_exited(&self, front: usize) -> bool {
        let child = self.fronts.lock().expect("no task panics while it holds the fronts")[front].child.take();
        match child {
            Some(mut child) => child.wait().await.is_ok_and(|status| status.success()),
            None => false,
        }
    }

    /// CPU time that a front has used so far, ms, and its resident memory, kB, read from /proc.
    pub fn resource_usage(&self, front: usize) -> Option<(f64, u64)> {
        let process_id = self.fronts.lock().expect("no task panics while it holds the fronts")[front]
            .child
            .as_ref()?
            .id()?;
        let stat_line = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
        let mut fields = stat_line.rsplit_once(") ")?.1.split(' ').skip(11);
        let ticks: f64 = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let memory_kb = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().split(' ').next()?;
        // The kernel counts CPU time in ticks of 10 ms.
        Some((ticks * 10.0, memory_kb.parse().ok()?))
    }

    /// The running front that listens on this address.
    pub fn front_at(&self, address: SocketAddr) -> Option<usize> {
        let fronts = self.fronts.lock().expect("no task panics while it holds the fronts");
        fronts.iter().position(|front| front.address == Some(address))
    }

    /// Chooses a running front of the zone, or any running front if the zone has none. `random_number`
    /// determines which of them.
    pub fn choose_front(&self, zone: usize, random_number: u64) -> Option<(usize, SocketAddr)> {
        let fronts = self.fronts.lock().expect("no task panics while it holds the fronts");
        let running: Vec<(usize, SocketAddr)> =
            fronts.iter().enumerate().filter_map(|(i, f)| Some((i, f.address?))).collect();
        let in_zone: Vec<(usize, SocketAddr)> =
            running.iter().filter(|(i, _)| i % self.zone_count == zone).copied().collect();
        let candidates = if in_zone.is_empty() { &running } else { &in_zone };
        (!candidates.is_empty()).then(|| candidates[(random_number % candidates.len() as u64) as usize])
    }
}

/// The address in the first log line with this message.
fn logged_address(log_bytes: &[u8], message: &str) -> Option<SocketAddr> {
    let lines = log_bytes.split(|b| *b == b'\n').filter_map(|l| serde_json::from_slice(l).ok());
    let mut lines = lines.filter(|l: &serde_json::Value| l["message"] == message);
    lines.next()?["address"].as_str()?.parse().ok()
}
