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
pub const MAX_BYTES: usize = 64 << 20;
pub const MAX_SERVERS: usize = 100_000;

/// Why an answer tells nothing.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    #[error("answered {0}")]
    UnexpectedStatus(u16),
    #[error("no {0} header with a number")]
    MissingHeader(&'static str),
    #[error("{0} bytes; {MAX_BYTES} at most")]
    TooLarge(usize),
    #[error("over {MAX_SERVERS} servers")]
    TooManyServers,
    #[error("not read: {0}")]
    InvalidJson(String),
    #[error("{0}: {1}")]
    InvalidServer(String, String),
    #[error("knows no leader")]
    NoLeader,
    #[error("watch ended: {0}")]
    WatchCancelled(String),
}

/// What is told of a server beside its name, address and standing: as metadata of a service, or the value of a key.
#[derive(Clone, Debug, Deserialize)]
struct ServerMetadata {
    zone: String,
    kind: String,
    cell: usize,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl ServerMetadata {
    fn into_server(
        self,
        name: &str,
        address: SocketAddr,
        standing: Standing,
    ) -> Result<Server, RegistryError> {
        let invalid = |cause: String| RegistryError::InvalidServer(name.chars().take(64).collect(), cause);
        if !(self.weight.is_finite() && self.weight > 0.0) {
            return Err(invalid(format!("weight is {}", self.weight)));
        }
        if !(self.started_ms.is_finite() && self.started_ms >= 0.0) {
            return Err(invalid(format!("started_ms is {}", self.started_ms)));
        }
        let ServerMetadata { zone, kind, cell, weight, started_ms: started_at } = self;
        Ok(Server { name: name.into(), address, zone, kind, cell, weight, standing, started_at })
    }
}
