//! How much a front takes on, holds and waits for.

use pulleystair_admission::{concurrency, queue, read_retries};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of players; further ones are answered 503 and closed.
    pub connections: usize,
    /// A request's line and headers.
    pub header_bytes: usize,
    /// Time to send them, from the first byte; and how long a connection may be idle between requests.
    pub header_ms: f64,
    pub idle_ms: f64,
    /// A reader must take an answer within this, plus the answer's size over this rate.
    pub slow_reader_ms: f64,
    pub slow_reader_kb: f64,
    /// Socket send buffer towards players; 0 leaves it to the system.
    pub send_buffer_bytes: usize,
    /// Bytes of a relayed answer that wait for a player before reading on from the server.
    pub relay_bytes: usize,
    /// Plays being decided, plays held in all, and sessions known in all (those that ended included).
    pub deciding: usize,
    pub plays: usize,
    pub sessions: usize,
    /// Requests that may wait on one session's answer, and reads of one play's segments at once.
    pub waiters: usize,
    pub fetches: usize,
    /// A pass opens its play only from the address that asked for it. Viewers behind changing addresses lose theirs.
    pub same_address: bool,
    /// Connections for segments, steps and probes to one server, and errands that may wait for one.
    pub server_connections: usize,
    pub server_queue: usize,
    /// An idle connection to a server is closed after this.
    pub server_idle_ms: f64,
    /// A connection to a server must be there within this, and a segment come on within that.
    pub dial_ms: f64,
    pub segment_ms: f64,
    /// A play without requests for so long has ended; how long an ended one's answer is kept.
    pub play_idle_ms: f64,
    pub remember_ms: f64,
    /// A viewer whose connection closed while the set-up is out may come back for its answer within this.
    pub come_back_ms: f64,
    /// How often the files of the list, and those of keys and certificates, are looked at.
    pub list_poll_ms: f64,
    pub keys_poll_ms: f64,
    /// A session token opens its play for so long after its last use; clocks may be so far apart; a key that was
    /// taken out is read for so long.
    pub pass_ms: f64,
    pub skew_ms: f64,
    pub key_overlap_ms: f64,
    /// A certificate that runs out within this is told of in the log.
    pub expiry_ms: f64,
    /// How often what was done since the start is written to the log, where that has changed.
    pub tally_ms: f64,
    /// After a signal to stop, plays may run on for so long.
    pub stop_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_bytes: 8192,
            header_ms: 5_000.0,
            idle_ms: 30_000.0,
            slow_reader_ms: 10_000.0,
            slow_reader_kb: 20.0,
            send_buffer_bytes: 0,
            relay_bytes: 256 << 10,
            deciding: 1024,
            plays: 10_000,
            sessions: 40_000,
            waiters: 8,
            fetches: 16,
            same_address: false,
            server_connections: 64,
            server_queue: 256,
            server_idle_ms: 20_000.0,
            dial_ms: 250.0,
            segment_ms: 5_000.0,
            play_idle_ms: 15_000.0,
            remember_ms: 30_000.0,
            come_back_ms: 500.0,
            list_poll_ms: 50.0,
            keys_poll_ms: 500.0,
            pass_ms: 60_000.0,
            skew_ms: 5_000.0,
            key_overlap_ms: 120_000.0,
            expiry_ms: 7.0 * 86_400_000.0,
            tally_ms: 10_000.0,
            stop_ms: 10_000.0,
        }
    }
}

/// Reads of segments that fail are repeated, or taken up where they broke off: so often each, while the player is
/// thought to wait, and at each server within any span so many free plus a share of its first tries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reads {
    pub tries: usize,
    pub patience_ms: f64,
    pub span_ms: f64,
    pub share: f64,
    pub free: f64,
}

impl Default for Reads {
    fn default() -> Reads {
        Reads { tries: 3, patience_ms: 8_000.0, span_ms: 10_000.0, share: 0.1, free: 8.0 }
    }
}

impl Reads {
    pub fn retry_config(&self) -> read_retries::RetryConfig {
        read_retries::RetryConfig {
            tries: self.tries,
            span: self.span_ms,
            share: self.share,
            free: self.free,
        }
    }
}

/// How many set-ups may be out at once, adapted to their delay, and who waits meanwhile.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    pub least: f64,
    pub most: f64,
    /// Delay may grow by this factor and so much more before the limit gives way; so many outcomes make a sample.
    pub tolerance: f64,
    pub slack_ms: f64,
    pub sample: usize,
    /// Plays that may wait; from this wait of the oldest on the newest come first; whoever has no more time left
    /// than the reserve is told at once.
    pub queue: usize,
    pub crowded_ms: f64,
    pub reserve_ms: f64,
    /// While this front's own loop is behind by more than this, it takes no further plays; and no more set-ups are
    /// out than it could decide on once more within that time.
    pub behind_ms: f64,
    pub work_ms: f64,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission {
            least: 4.0,
            most: 1_000.0,
            tolerance: 2.0,
            slack_ms: 20.0,
            sample: 20,
            queue: 1_000,
            crowded_ms: 200.0,
            reserve_ms: 300.0,
            behind_ms: 50.0,
            work_ms: 200.0,
        }
    }
}

impl Admission {
    pub fn limit_config(&self) -> concurrency::LimitConfig {
        let Admission { least, most, tolerance, slack_ms: slack, sample, work_ms: work, .. } = *self;
        concurrency::LimitConfig { least, most, tolerance, slack, sample, work }
    }

    pub fn queue_config(&self) -> queue::QueueConfig {
        queue::QueueConfig { most: self.queue, crowded: self.crowded_ms }
    }
}
