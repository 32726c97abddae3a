//! How the descriptors that a node may hold are shared out. A reserve is left, so that accepting, to turn someone away, and
//! closing always work.

/// For the log, the loop, its signals and wake-ups, the listener and the name service.
const OWN: usize = 16;
/// Free at all times: what is accepted only to be turned away, files that are read anew.
const RESERVE: usize = 16;

#[derive(Clone, Copy, Debug)]
pub struct Shares {
    pub viewers: usize,
    pub servers: usize,
}

impl Shares {
    /// Usual viewers keep to a third of the limit; as much again is for those who don't, and the last third for servers.
    pub fn of(sockets: usize) -> Shares {
        let left = sockets.saturating_sub(OWN + RESERVE).max(12);
        let servers = left / 3;
        Shares { viewers: left - servers, servers }
    }
}

/// `EMFILE`, `ENFILE`, `ENOBUFS`, `ENOMEM`: there is no descriptor, or no memory for one, by now.
const LACKS: [i32; 4] = [24, 23, 105, 12];

/// What could not be done for want of a descriptor is tried again after so long, ms.
pub const SOON: f64 = 50.0;

/// Whether something failed for lack of what may be there again soon.
pub fn lacks(e: &std::io::Error) -> bool {
    e.raw_os_error().is_some_and(|e| LACKS.contains(&e))
}
