//! Cost of a log line to the front's event loop: read by a reader, dropped because nothing reads, and below the level.
//!
//!     cargo bench -p pulleystair-edge --bench log

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::{debug, info};
use tracing_appender::non_blocking::NonBlockingBuilder;

const LINE_COUNT: u32 = 200_000;

/// A log reader that blocks while its lock is held elsewhere; counts the bytes it takes.
#[derive(Clone, Default)]
struct Reader(Arc<Mutex<u64>>);

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        *self.0.lock().expect("no thread panics while it holds the lock") += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(play: u32) {
    info!(
        target: "play", play, cause = "declined", answer = 503, product = "film", title = "film-17", server = "m12",
        rung = 2, allocations = 1, set_up_ms = 12.345, played_ms = 0.0,
    );
}

/// Prints the mean time of a log line.
fn measure(what: &str, log: impl Fn(u32)) {
    let start = Instant::now();
    (0..LINE_COUNT).for_each(log);
    let ns = start.elapsed().as_nanos() as f64 / f64::from(LINE_COUNT);
    println!("{what}: {ns:.0} ns a line");
}

fn main() {
    let reader = Reader::default();
    let (writer, _guard) =
        NonBlockingBuilder::default().buffered_lines_limit(65_536).lossy(true).finish(reader.clone());
    let dropped_lines = writer.error_counter();
    let subscriber = tracing_subscriber::fmt().with_env_filter("info").with_writer(writer);
    subscriber.json().flatten_event(true).init();
    measure("read", log_line);
    let before = dropped_lines.dropped_lines();
    println!("  of {LINE_COUNT}, dropped: {before}");
    {
        let _blocked = reader.0.lock().expect("no thread panics while it holds the lock");
        (0..70_000).for_each(log_line);
        let before = dropped_lines.dropped_lines();
        measure("dropped", log_line);
        println!("  of {LINE_COUNT}, dropped: {}", dropped_lines.dropped_lines() - before);
    }
    measure("below the level", |play| debug!(target: "server", play, "timed out"));
}
