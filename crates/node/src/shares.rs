//! How the file descriptors of a node are divided between viewers and servers. Some are kept in reserve, so
//! that it is always possible to accept a connection in order to reject it, and to close one.

/// Descriptors for the log, the event loop, its signals and wake-ups, the listener and the name service.
const INTERNAL_DESCRIPTORS: usize = 16;
/// Descriptors that are always kept free: for connections that are accepted only to be rejected, and for
/// files that are read again.
const RESERVED_DESCRIPTORS: usize = 16;

/// The division of the file descriptors between connections to viewers and to servers.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    /// How many connections to viewers may be open.
    pub viewers: usize,
    /// How many connections to servers may be open.
    pub servers: usize,
}

impl Shares {
    /// Divides `sockets` descriptors, without those that are in use or kept free: two thirds are for viewers,
    /// who normally use half of that, and one third is for servers.
    pub fn new(sockets: usize) -> Shares {
        let available = sockets.saturating_sub(INTERNAL_DESCRIPTORS + RESERVED_DESCRIPTORS).max(12);
        let servers = available / 3;
        Shares { viewers: available - servers, servers }
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
