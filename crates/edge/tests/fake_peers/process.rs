//! The process of the node under test, and the configuration that it starts with.

use super::*;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// A running node; it is killed when the value is dropped.
pub struct Node {
    pub(super) child: Child,
    pub addr: SocketAddr,
    pub log: Arc<Mutex<String>>,
    pub(super) log_lines: mpsc::Receiver<String>,
    pub(super) config_dir: tempfile::TempDir,
}

/// The policy settings of the node as JSON.
fn settings(report_interval_us: &str) -> String {
    let paid_class = r#"{"name":"paid","aimUs":2000000,"giveUpUs":3000000,"effect":"read_like","worth":1.0}"#;
    let free_class = paid_class.replace("paid", "free");
    format!(
        r#"{{"balancers":1,"rank":0,"zone":0,"failureDomains":["east"],"kinds":["std"],"lanes":[{paid_class},{free_class}],
        "ceilings":{{"attemptsCap":4,"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxRetryAfterUs":500000,
        "retryAfter":true,"probes":false,"streamsPerConn":100,"cancel":true}},
        "extra":{{"places":2,"cabinets":1,"ladderKb":[100.0,200.0],"rungWorth":[0.5,1.0],"classFloor":[0,0],
        "classScale":[1.0,1.0],"topByClass":[5,5],"fleetKb":80000.0,"rackLinkKb":80000.0,"linkUnitKb":10000.0,
        "placesByKind":[1000.0],"seenAfterUs":500000,"reportsEveryUs":{report_interval_us},"stallCost":7.0,"changeCostsS":0.5}},
        "loadInfo":{{"how":"inline","columns":["utilization","x1"]}},
        "rules":{{"coldUs":0,"coldFrom":0.5,"overloadFactor":2.5,"drainGraceUs":500000}}}}"#
    )
}

impl Node {
    /// The configuration file of a node: name service, servers listed at start, limit of sockets, interval of the servers' load reports
    /// in µs.
    pub fn config(
        resolver: SocketAddr,
        listed: &[&MediaServer],
        sockets: usize,
        report_interval_us: u64,
    ) -> String {
        let mut servers = String::new();
        for (i, server) in listed.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            let _ = write!(
                servers,
                r#"{comma}{{"id":"{}","addr":"{}","zone":"east","kind":"std","cell":{},"state":"in_service","weight":4,"started_ms":0}}"#,
                server.id, server.addr, server.cell
            );
        }
        let settings = settings(&report_interval_us.to_string());
        format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"resolver":"{resolver}",
            "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
            "settings":{settings}}}"#
        )
    }

    /// Starts a node with this configuration and waits until it listens.
    pub fn start(config: &str) -> Node {
        let config_dir = tempfile::tempdir().expect("a temporary folder");
        let path = config_dir.path().join("config.json");
        std::fs::write(&path, config).expect("writing the configuration file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"))
            .args(["--level", "info,belief=debug", "node"])
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (tx, log_lines) = mpsc::channel();
        let (stderr, log_copy) = (child.stderr.take().expect("the standard error of the node"), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                log_copy.lock().expect("the lock of the log").push_str(&format!("{line}\n"));
                let _ = tx.send(line);
            }
        });
        let mut node = Node { child, addr: ([127, 0, 0, 1], 0).into(), log, log_lines, config_dir };
        let line = node.wait_for_log("listens");
        let addr = line.split("at=").nth(1).and_then(|rest| rest.split(' ').next()).expect("an address");
        node.addr = addr.parse().expect("an address");
        node
    }

    /// Waits for the next line of the log that contains this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let line = self.log_lines.recv_timeout(deadline.saturating_duration_since(Instant::now()));
            let line = line.unwrap_or_else(|_| {
                panic!("the log has no line with {text:?}: {}", self.log.lock().expect("the lock of the log"))
            });
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Connects a viewer to the node.
    pub fn connect_viewer(&self) -> Viewer {
        let stream = TcpStream::connect(self.addr).expect("the node accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout");
        stream.set_nodelay(true).expect("setting TCP_NODELAY");
        Viewer { stream }
    }

    /// Connects a viewer from another loopback address.
    pub fn connect_viewer_from(&self, from: [u8; 4]) -> Viewer {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((from, 0)).into()).expect("all of 127/8 is this machine");
        socket.connect(&self.addr.into()).expect("the node accepts");
        socket.set_read_timeout(Some(TIMEOUT)).expect("setting the read timeout");
        socket.set_tcp_nodelay(true).expect("setting TCP_NODELAY");
        Viewer { stream: socket.into() }
    }

    /// Sends the process a signal, by name without `SIG`.
    pub fn send_signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill").success());
    }

    /// Runs `action` while the process is stopped by SIGSTOP: all that peers send meanwhile has arrived when the node continues.
    pub fn while_paused(&self, action: impl FnOnce()) {
        self.send_signal("STOP");
        let started_at = Instant::now();
        while !self.proc_stat().starts_with('T') {
            assert!(started_at.elapsed() < TIMEOUT, "the node did not stop in time");
            std::thread::sleep(Duration::from_millis(1));
        }
        action();
        self.send_signal("CONT");
    }

    /// Sets the soft limit of the node's file descriptors.
    pub fn set_descriptor_limit(&self, descriptors: usize) {
        let (pid, limit) = (self.child.id().to_string(), format!("--nofile={descriptors}:20000"));
        let status = Command::new("prlimit").args(["--pid", &pid, &limit]).status();
        assert!(status.expect("prlimit").success());
    }

    /// Lowers the limit of file descriptors so that the node can open no further one.
    pub fn block_new_descriptors(&self) {
        let is_open = |n: &usize| std::fs::read_link(format!("/proc/{}/fd/{n}", self.child.id())).is_ok();
        self.set_descriptor_limit((0..).find(|n| !is_open(n)).expect("a free descriptor number"));
    }

    /// The number of file descriptors that the node has open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the node runs").count()
    }

    /// The fields of `/proc/PID/stat` from the process state on.
    fn proc_stat(&self) -> String {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("the node runs");
        stat.rsplit_once(") ").expect("the process name in parentheses").1.to_string()
    }

    /// The processor time that the node has used, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        self.proc_stat().split_whitespace().skip(11).take(2).map(|t| t.parse::<u64>().expect("ticks")).sum()
    }

    /// Replaces the node's configuration file; the node reads it on SIGHUP.
    pub fn rewrite_config(&self, config: &str) {
        std::fs::write(self.config_dir.path().join("config.json"), config)
            .expect("writing the configuration file");
    }

    /// The resident memory of the node, kB.
    pub fn memory_kb(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("the node runs");
        let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("the line VmRSS");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number of kB")
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the exit status") {
                return status;
            }
            assert!(started_at.elapsed() < TIMEOUT, "the node did not exit in time");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
