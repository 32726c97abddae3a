//! The platform's part: a front node's configuration, its start by the deploy file's `run`, and its end.

use crate::{cannot_run, free_address, now_ms, sleep_ms, Listed, Viewer, READY};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// What a case states of the configuration; the rest is the same for all.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub resolver: SocketAddr,
    pub known: Vec<Listed>,
    /// The settings as JSON.
    pub settings: String,
}

impl Config {
    fn json(&self) -> String {
        let servers: Vec<String> = self
            .known
            .iter()
            .map(|s| {
                format!(
                    r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{}","weight":{},"started_ms":{}}}"#,
                    s.id,
                    s.address,
                    s.zone,
                    s.kind,
                    s.cell,
                    if s.priority == READY { "in_service" } else { "terminating" },
                    s.weight,
                    s.started_ms
                )
            })
            .collect();
        format!(
            r#"{{"name":"{}","listen":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"resolver":"{}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"version":1,"full":true,"servers":[{}]}}}}]}},"settings":{}}}"#,
            self.name,
            self.listen,
            self.seed,
            self.memory_mb,
            self.sockets,
            self.resolver,
            servers.join(","),
            self.settings
        )
    }
}

/// A running front node. It is killed when the value is dropped.
pub struct Front {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

/// The folder for temporary files, made by the script.
fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| cannot_run("FOLDER names no folder")))
}

impl Front {
    /// Starts a front node by the deploy file's `run` from the root, and waits until it passes a test.
    pub fn start(config: Config) -> Front {
        let run = std::env::var("RUN").unwrap_or_else(|_| cannot_run("RUN has no command"));
        let root = std::env::var("ROOT").unwrap_or_else(|_| cannot_run("ROOT names no folder"));
        let config_path = folder().join(format!("{}.json", config.name));
        let log_path = folder().join(format!("{}.log", config.name));
        std::fs::write(&config_path, config.json()).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = std::fs::File::create(&log_path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(Path::new(&root))
            .env("PROXY_NAME", &config.name)
            .env("PROXY_LISTEN", config.listen.to_string())
            .env("PROXY_CONFIG", &config_path)
            .env("TMPDIR", folder())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        // The script ends what is left over by these ids.
        let mut pids =
            std::fs::OpenOptions::new().create(true).append(true).open(folder().join("pids")).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        let mut front = Front { name: config.name, address: config.listen, child };
        let started_at = now_ms();
        while !Viewer::passes_test(front.address) {
            if now_ms() - started_at > 10_000.0 || front.exit_status().is_some() {
                let log = std::fs::read_to_string(&log_path).unwrap_or_default();
                cannot_run(&format!("{} is not ready: {log}", front.name));
            }
            sleep_ms(10);
        }
        front
    }

    /// A free address for a front node to listen on.
    pub fn free_address() -> SocketAddr {
        free_address()
    }

    /// Its status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The memory that it holds, in MB, as the system counts it.
    pub fn memory_mb(&self) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The script need not end it any more.
        let pids = std::fs::read_to_string(folder().join("pids")).unwrap_or_default();
        let own = self.child.id().to_string();
        let left: String = pids.lines().filter(|l| *l != own).map(|l| format!("{l}\n")).collect();
        let _ = std::fs::write(folder().join("pids"), left);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}
