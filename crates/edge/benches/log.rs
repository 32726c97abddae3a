//! What a line of the log costs the front's loop: taken by a reader, dropped because nobody reads, and below the level.
//!
//!     cargo bench -p pulleystair-edge --bench log

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tracing::{debug, info};
use tracing_appender::non_blocking::NonBlockingBuilder;

const LINES: u32 = 200_000;

/// A reader that takes nothing while it is held up.
#[derive(Clone, Default)]
struct Reader(Arc<Mutex<u64>>);

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        *self.0.lock().expect("nobody dies while reading") += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn line(play: u32) {
    info!(
        target: "play", play, cause = "declined", answer = 503, product = "film", title = "film-17", server = "m12",
        rung = 2, allocations = 1, set_up_ms = 12.345, played_ms = 0.0,
    );
}

fn each(what: &str, log: impl Fn(u32)) {
    let start = Instant::now();
    (0..LINES).for_each(log);
    let ns = start.elapsed().as_nanos() as f64 / f64::from(LINES);
    println!("{what}: {ns:.0} ns a line");
}

fn main() {
    let reader = Reader::default();
    let (writer, _guard) =
        NonBlockingBuilder::default().buffered_lines_limit(65_536).lossy(true).finish(reader.clone());
    let dropped = writer.error_counter();
    let to = tracing_subscriber::fmt().with_env_filter("info").with_writer(writer);
    to.json().flatten_event(true).init();
    each("read", line);
    let before = dropped.dropped_lines();
    println!("  of {LINES}, dropped: {before}");
    {
        let _held_up = reader.0.lock().expect("nobody dies while reading");
        (0..70_000).for_each(line);
        let before = dropped.dropped_lines();
        each("dropped", line);
        println!("  of {LINES}, dropped: {}", dropped.dropped_lines() - before);
    }
    each("below the level", |play| debug!(target: "server", play, "timed out"));
}
