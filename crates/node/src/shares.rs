//! How the limits of a node's process are divided: the file descriptors between viewers and servers, and the
//! memory between what is kept for peers. Some descriptors are kept in reserve, so that it is always possible
//! to accept a connection in order to reject it, and to close one.

use crate::config::Limits;

/// Descriptors for the log, the event loop, its signals and wake-ups, the listener and the name service.
const INTERNAL_DESCRIPTORS: usize = 16;
/// Descriptors that are always kept free: for connections that are accepted only to be rejected, and for
/// files that are read again.
const RESERVED_DESCRIPTORS: usize = 16;

/// Bytes in a MiB.
const MIB: f64 = 1_048_576.0;
/// The shares of the memory that output for viewers and descriptions of pending set-ups may use.
const UNREAD_SHARE: f64 = 1.0 / 8.0;
const DESCRIPTION_SHARE: f64 = 1.0 / 16.0;
/// Memory for each session that may be held, bytes. It uses about half of that.
const BYTES_PER_SESSION: f64 = 2_048.0;
/// The bytes that may wait for a viewer that does not read them: at least and at most, however many viewers are
/// connected.
const MIN_UNREAD_BYTES: usize = 8 << 10;
const MAX_UNREAD_BYTES: usize = 256 << 10;

/// The division of the process's limits.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// How many connections to viewers may be open.
    pub viewers: usize,
    /// How many connections to servers may be open.
    pub servers: usize,
    /// How many bytes may wait for all viewers that do not read them.
    pub unread_bytes: usize,
    /// How many bytes the descriptions of all pending set-ups may have.
    pub description_bytes: usize,
    /// How many sessions and pending set-ups may be held.
    pub sessions: usize,
}

impl Shares {
    /// Divides the limits. Of the descriptors, without those that are in use or kept free, two thirds are for
    /// viewers, who normally use half of that, and one third is for servers.
    pub fn new(limits: &Limits) -> Shares {
        let memory = limits.memory_mb.max(1.0) * MIB;
        let available = limits.sockets.saturating_sub(INTERNAL_DESCRIPTORS + RESERVED_DESCRIPTORS).max(12);
        let servers = available / 3;
        Shares {
            viewers: available - servers,
            servers,
            unread_bytes: (memory * UNREAD_SHARE) as usize,
            description_bytes: (memory * DESCRIPTION_SHARE) as usize,
            sessions: (memory / BYTES_PER_SESSION) as usize,
        }
    }

    /// How many bytes may wait for one viewer that does not read them, while so many are connected.
    pub fn unread_bytes_per_viewer(&self, viewers: usize) -> usize {
        (self.unread_bytes / viewers.max(1)).clamp(MIN_UNREAD_BYTES, MAX_UNREAD_BYTES)
    }
}

/// `EMFILE`, `ENFILE`, `ENOBUFS`, `ENOMEM`: there is currently no descriptor, or no memory for one.
const EXHAUSTION_ERRNOS: [i32; 4] = [24, 23, 105, 12];

/// Delay before an operation that failed for lack of a descriptor is tried again, ms.
pub const RETRY_DELAY_MS: f64 = 50.0;

/// Whether an operation failed for lack of a resource that may be available again soon.
pub fn is_resource_exhaustion(error: &std::io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| EXHAUSTION_ERRNOS.contains(&errno))
}
