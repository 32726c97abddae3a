//! Limits of a front: how much it accepts, how much it holds, and how long it waits. Names are the keys of the
//! configuration file. Times are ms, rates kB/s.

use pulleystair_admission::{concurrency, queue, read_retries};
use serde::{Deserialize, Serialize};

/// Limits on connections, requests, plays, and the times allowed for them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of players; further ones are answered 503 and closed.
    pub connections: usize,
    /// Size of a request line with its headers.
    pub header_bytes: usize,
    /// Time to send the request head, from its first byte.
    pub header_ms: f64,
    /// How long a connection may be idle between requests.
    pub idle_ms: f64,
    /// A player must have read a response within this time plus the response's size over `slow_reader_kb`.
    pub slow_reader_ms: f64,
    /// The rate for `slow_reader_ms`, kB/s.
    pub slow_reader_kb: f64,
    /// Socket send buffer towards players; 0 leaves its size to the system.
    pub send_buffer_bytes: usize,
    /// Bytes of a relayed response that may be queued for a player before the front stops reading from the server.
    pub relay_bytes: usize,
    /// Plays that are not answered yet: those that wait for admission and those being set up.
    pub deciding: usize,
    /// Plays that the front holds: those not answered yet and those running.
    pub plays: usize,
    /// Sessions that the front holds, including ended ones whose answer is still kept.
    pub sessions: usize,
    /// Requests that may wait for the answer of one session.
    pub waiters: usize,
    /// Concurrent segment requests of one play.
    pub fetches: usize,
    /// Whether a session token is valid only from the address that requested the play. Viewers whose address changes
    /// lose their plays.
    pub same_address: bool,
    /// Pooled connections to one server, for segments, rung changes and probes.
    pub server_connections: usize,
    /// Requests that may wait for such a connection.
    pub server_queue: usize,
    /// An idle connection to a server is closed after this.
    pub server_idle_ms: f64,
    /// A connection to a server must be established within this time.
    pub dial_ms: f64,
    /// A segment read fails if nothing arrives for this time.
    pub segment_ms: f64,
    /// A play without requests for this time has ended.
    pub play_idle_ms: f64,
    /// How long the answer of an ended play is kept.
    pub remember_ms: f64,
    /// A viewer whose connection closed during the set-up may reconnect for its answer within this time.
    pub come_back_ms: f64,
    /// How often the server list file is polled.
    pub list_poll_ms: f64,
    /// How often the files of keys, certificates, home addresses and approved versions are polled.
    pub keys_poll_ms: f64,
    /// A session token is valid for this time after its last use.
    pub pass_ms: f64,
    /// Clocks may differ by this much.
    pub skew_ms: f64,
    /// A removed key is still accepted for this time.
    pub key_overlap_ms: f64,
    /// A warning is logged for a certificate that expires within this time.
    pub expiry_ms: f64,
    /// How often the totals since the start are logged, if they have changed.
    pub tally_ms: f64,
    /// After a signal to stop, plays may continue for this time.
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

/// Retries of failed segment reads: how often one read is tried, for how long the player is assumed to wait, and how
/// many retries one server gets within any span.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reads {
    /// Tries of one read.
    pub tries: usize,
    /// How long the player is assumed to wait for a segment.
    pub patience_ms: f64,
    /// Length of the sliding span in which the retries at one server are counted.
    pub span_ms: f64,
    /// Retries allowed within a span, as a share of the first tries.
    pub share: f64,
    /// Retries allowed within a span in addition to that share.
    pub free: f64,
}

impl Default for Reads {
    fn default() -> Reads {
        Reads { tries: 3, patience_ms: 8_000.0, span_ms: 10_000.0, share: 0.1, free: 8.0 }
    }
}

impl Reads {
    /// These limits in the form that the admission package uses.
    pub fn retry_config(&self) -> read_retries::RetryConfig {
        read_retries::RetryConfig {
            max_tries: self.tries,
            span_ms: self.span_ms,
            retry_share: self.share,
            free_retries: self.free,
        }
    }
}

/// Admission of plays: how many set-ups may be in progress at once, adapted to their delay, and which plays wait.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Lower bound of the limit on set-ups in progress. The limit may be lower because of `work_ms`.
    pub least: f64,
    /// Upper bound of the limit on set-ups in progress.
    pub most: f64,
    /// The set-up delay may grow by this factor, plus `slack_ms`, before the limit shrinks.
    pub tolerance: f64,
    pub slack_ms: f64,
    /// Number of set-ups in a sample, after which the limit is adapted.
    pub sample: usize,
    /// Plays that may wait for admission.
    pub queue: usize,
    /// Once the oldest play has waited this long, the newest play is admitted first.
    pub crowded_ms: f64,
    /// A waiting play with no more time left than this is refused at once.
    pub reserve_ms: f64,
    /// While the front's event loop is late by more than this, the front refuses further plays.
    pub behind_ms: f64,
    /// No more set-ups are in progress than the front could make one decision each for within this time; a decision is
    /// one call of the placement logic.
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
    /// The bounds of the concurrency limit in the form that the admission package uses.
    pub fn limit_config(&self) -> concurrency::LimitConfig {
        let Admission { least, most, tolerance, slack_ms: slack, sample, work_ms: work, .. } = *self;
        concurrency::LimitConfig {
            min_limit: least,
            max_limit: most,
            tolerance,
            slack_ms: slack,
            sample_size: sample,
            work_ms: work,
        }
    }

    /// The bounds of the queue in the form that the admission package uses.
    pub fn queue_config(&self) -> queue::QueueConfig {
        queue::QueueConfig { capacity: self.queue, newest_first_after_ms: self.crowded_ms }
    }
}
