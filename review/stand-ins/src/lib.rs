//! Stand-ins for the review's cases: the name service, media servers, viewers, and the platform that starts front nodes.
//! They are written from the operators' pages and use the standard library only. All addresses are loopback addresses.

mod dns;
mod front;
mod media;
pub mod settings;
mod viewer;

pub use dns::{Listed, NameService, DRAINING, READY};
pub use front::{Config, Front};
pub use media::{MediaServer, SetUp};
pub use viewer::{message, set_up, Received, Viewer};

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time in ms.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_secs_f64() * 1000.0
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a Unix time in ms.
pub fn sleep_until(at: f64) {
    let left = at - now_ms();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left / 1000.0));
    }
}

/// An address on loopback that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// Ends the script: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// Whether the disruption is to take place (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of what was sent, answered and run: `record.txt` beside the script. Times are ms since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started_at: f64,
}

impl Record {
    /// Opens the record that the environment variable `RECORD` names.
    pub fn open() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| cannot_run("RECORD names no file"));
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record { file: Arc::new(Mutex::new(file)), started_at: now_ms() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at: f64, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:10.1} {}", at - self.started_at, text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
