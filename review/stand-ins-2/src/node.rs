//! The process under test, started with the `run` command of the deploy file, and its configuration.

use crate::names::Listed;
use crate::record::Record;
use crate::sys;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What a case chooses of the configuration.
#[derive(Clone)]
pub struct Setting {
    pub balancers: u32,
    pub sockets: usize,
    /// Streams that a media server runs at most.
    pub places: u32,
    pub cells: u32,
    pub cold_us: u64,
    pub reports_every_us: u64,
    pub seen_after_us: u64,
    /// `effect` of the class `paid`.
    pub effect: &'static str,
    pub dial_timeout_us: u64,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            balancers: 2,
            sockets: 1024,
            places: 30,
            cells: 4,
            cold_us: 8_000_000,
            reports_every_us: 3_000_000,
            seen_after_us: 760_000,
            effect: "read_like",
            dial_timeout_us: 250_000,
        }
    }
}

fn settings_json(s: &Setting) -> String {
    let class = |name: &str, aim: u64, give_up: u64, effect: &str, worth: f64| {
        format!(
            r#"{{"aimUs":{aim},"effect":"{effect}","giveUpUs":{give_up},"keyScope":"all","lateWorth":0.0,"name":"{name}","repeatWindowUs":5000000,"streamed":true,"worth":{worth:?}}}"#
        )
    };
    let lanes = [
        class("paid", 800_000, 3_000_000, s.effect, 3.0),
        class("free", 1_000_000, 4_000_000, "read_like", 1.0),
    ]
    .join(",");
    format!(
        r#"{{"balancers":{},"ceilings":{{"attemptsCap":4,"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutUs":{},
"idleCloseUs":30000000,"maxRetryAfterUs":500000,"mostHeld":1000000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":100}},
"clientHabits":{{"marksRetry":false}},"costs":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.053,"moves":0.1,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.0}},
"discovery":"automatic","extra":{{"cabinets":1,"changeCostsS":0.58,"classFloor":[0,0],"classLive":[false,false],"classScale":[1.0,1.0],"fleetKb":{}.0,"join":1.0,
"ladderKb":[313.0,470.0,704.0,1056.0,1582.0,2371.0],"linkUnitKb":40000.0,"places":{},"placesByKind":[{}],"rackLinkKb":9000000.0,"refusesFrom":0.0,"reportsEveryUs":{},
"rungWorth":[0.26,0.43,0.58,0.73,0.86,1.0],"seats":[0,0],"seenAfterUs":{},"stallCost":7.0,"topByClass":[5,3]}},
"failureDomains":["east"],"family":"streams","kinds":["std"],"lanes":[{lanes}],"loadInfo":{{"columns":["utilization","x1"],"how":"inline"}},"overShareWorth":0.1,"rank":0,"resolutionUs":10000,
"rules":{{"answerSlackUs":40000,"coldFrom":0.5,"coldUs":{},"drainGraceUs":500000,"fallUs":1000000,"mustAskInUs":10000000,"overloadFactor":2.5}},
"tenants":[],"tier":0,"tiers":["media"],"valueBy":"work","weightSource":"nominal","zone":0}}"#,
        s.balancers,
        s.dial_timeout_us,
        160_000 * s.cells,
        s.cells,
        s.places,
        s.reports_every_us,
        s.seen_after_us,
        s.cold_us,
    )
}

/// A running node. It is killed when the value is dropped.
pub struct Node {
    child: Child,
    record: Record,
}

/// A folder of this run's own, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A port that is free now.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml, from the root");
    let line = text.lines().find(|l| l.starts_with("run = ")).expect("a line `run`");
    line.split('"').nth(1).expect("the command in quotes").to_string()
}

/// The text of a configuration file.
pub fn config(
    setting: &Setting,
    listen: SocketAddrV4,
    resolver: SocketAddrV4,
    revision: u32,
    listed: &[Listed],
) -> String {
    let mut servers = String::new();
    for (i, s) in listed.iter().enumerate() {
        let comma = if i > 0 { "," } else { "" };
        let state = if s.draining { "terminating" } else { "in_service" };
        let _ = write!(
            servers,
            r#"{comma}{{"id":"{}","addr":"{}","zone":"east","kind":"std","cell":{},"state":"{state}","weight":4,"started_ms":{}}}"#,
            s.id, s.address, s.cell, s.started_ms
        );
    }
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"resolver":"{resolver}",
"known":{{"rev":{revision},"notices":[{{"rev":{revision},"pool":{{"version":{revision},"full":true,"servers":[{servers}]}}}}]}},"settings":{}}}"#,
        setting.sockets,
        settings_json(setting)
    )
}

impl Node {
    /// Starts a node and waits until it listens.
    pub fn start(folder: &Folder, listen: SocketAddrV4, config: &str, record: &Record) -> Node {
        let path = folder.0.join("config.json");
        std::fs::write(&path, config).expect("the configuration file");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TMPDIR", &folder.0)
            .env("PROXY_CONFIG", &path)
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", listen.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        // SAFETY: only a system call between fork and exec.
        unsafe { command.pre_exec(sys::die_with_parent) };
        let mut child = command.spawn().expect("the node starts");
        let (tx, rx) = mpsc::channel();
        let (stderr, log) = (child.stderr.take().expect("its standard error"), record.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if line.contains(" listens ") {
                    let _ = tx.send(());
                }
                log.line(&format!("node log: {line}"));
            }
        });
        rx.recv_timeout(Duration::from_secs(20)).expect("the node listens");
        record.line(&format!("node {} started, process {}", listen, child.id()));
        Node { child, record: record.clone() }
    }

    pub fn signal(&self, signal: i32) -> f64 {
        sys::signal(self.child.id(), signal);
        self.record.line(&format!("signal {signal} to the node"))
    }

    /// Waits for the end of the process, and returns whether it came in time.
    pub fn wait(&mut self, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                self.record.line(&format!("the node has ended: {status}"));
                return true;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
