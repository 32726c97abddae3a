//! How the descriptors that a node may hold are shared out. A reserve is left, so that accepting, to turn someone away, and
//! closing always work.

/// For the log, the loop, its signals and wake-ups, the listener and the name service.
const INTERNAL_DESCRIPTORS: usize = 16;
/// Free at all times: what is accepted only to be turned away, files that are read anew.
const RESERVED_DESCRIPTORS: usize = 16;

#[derive(Clone, Copy, Debug)]
pub struct Shares {
    pub viewers: usize,
    pub servers: usize,
}

impl Shares {
    /// Usual viewers keep to a third of the limit; as much again is for those who don't, and the last third for servers.
    pub fn new(sockets: usize) -> Shares {
        let available = sockets.saturating_sub(INTERNAL_DESCRIPTORS + RESERVED_DESCRIPTORS).max(12);
        let servers = available / 3;
        Shares { viewers: available - servers, servers }
    }
}

/// `EMFILE`, `ENFILE`, `ENOBUFS`, `ENOMEM`: there is no descriptor, or no memory for one, by now.
const EXHAUSTION_ERRNOS: [i32; 4] = [24, 23, 105, 12];

/// What could not be done for want of a descriptor is tried again after so long, ms.
pub const RETRY_DELAY_MS: f64 = 50.0;

/// Whether something failed for lack of what may be there again soon.
pub fn is_resource_exhaustion(error: &std::io::Error) -> bool {
    error.raw_os_error().is_some_and(|errno| EXHAUSTION_ERRNOS.contains(&errno))
}
