//! The two published forms of registries, as what to ask and what an answer tells: [`blocking`] queries with an index, and
//! [`watch`] from a revision. No I/O: a caller sends what it is handed, hands back what came, and passes the
//! [`Update`](pulleystair_membership::Update) on to the view. What does not read is a [`RegistryError`], and the query goes on from
//! where it was.

pub mod blocking;
pub mod watch;

use pulleystair_membership::{Server, Standing};
use serde::Deserialize;
use std::net::SocketAddr;

/// The largest answer that is read, bytes, and the most servers in one.
pub const MOST_BYTES: usize = 64 << 20;
pub const MOST_SERVERS: usize = 100_000;

/// Why an answer tells nothing.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    #[error("answered {0}")]
    Status(u16),
    #[error("no {0} header with a number")]
    Header(&'static str),
    #[error("{0} bytes; {MOST_BYTES} at most")]
    TooLarge(usize),
    #[error("over {MOST_SERVERS} servers")]
    TooMany,
    #[error("not read: {0}")]
    Json(String),
    #[error("{0}: {1}")]
    Server(String, String),
    #[error("knows no leader")]
    NoLeader,
    #[error("watch ended: {0}")]
    Cancelled(String),
}

/// What is told of a server beside its name, address and standing: as metadata of a service, or the value of a key.
#[derive(Clone, Debug, Deserialize)]
struct Told {
    zone: String,
    kind: String,
    cell: usize,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Told {
    fn server(self, name: &str, address: SocketAddr, standing: Standing) -> Result<Server, RegistryError> {
        let bad = |cause: String| RegistryError::Server(name.chars().take(64).collect(), cause);
        if !(self.weight.is_finite() && self.weight > 0.0) {
            return Err(bad(format!("weight is {}", self.weight)));
        }
        if !(self.started_ms.is_finite() && self.started_ms >= 0.0) {
            return Err(bad(format!("started_ms is {}", self.started_ms)));
        }
        let Told { zone, kind, cell, weight, started_ms: started } = self;
        Ok(Server { name: name.into(), address, zone, kind, cell, weight, standing, started })
    }
}
