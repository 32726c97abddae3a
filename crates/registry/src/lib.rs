//! Requests to Consul ([`consul`], blocking queries with an index) and etcd ([`etcd`], watches from a revision), and parsing
//! of their responses. The module does no I/O: a caller sends the requests, passes the responses in, and applies the
//! resulting [`Update`](pulleystair_membership::Update) to the membership view. A response that can't be used is a
//! [`RegistryError`]: a blocking query continues from its last index, a watch starts again with a full read.

pub mod consul;
pub mod etcd;

use pulleystair_membership::{Server, Standing};
use serde::Deserialize;
use std::net::SocketAddr;

/// Size limit of a response, bytes.
pub const MAX_BYTES: usize = 64 << 20;
/// Maximum number of servers in a response.
pub const MAX_SERVERS: usize = 100_000;

/// Why a response is not used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    #[error("registry answered with status {0}")]
    UnexpectedStatus(u16),
    #[error("response has no {0} header with a number")]
    MissingHeader(&'static str),
    #[error("response has {0} bytes, more than {MAX_BYTES}")]
    TooLarge(usize),
    /// A range response of etcd has further pages, or a response of either registry is too long.
    #[error("response has further pages or lists over {MAX_SERVERS} servers")]
    IncompleteOrTooManyServers,
    #[error("response is not valid: {0}")]
    InvalidJson(String),
    /// Name or key of the server, and the cause.
    #[error("{0}: {1}")]
    InvalidServer(String, String),
    #[error("registry has no leader")]
    NoLeader,
    #[error("watch ended: {0}")]
    WatchCancelled(String),
}

/// What a registry holds of a server beside its name, address and standing: metadata of a service instance, or part of a
/// key's value.
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
    /// Checks weight and start time, and completes the server.
    fn into_server(
        self,
        name: &str,
        address: SocketAddr,
        standing: Standing,
    ) -> Result<Server, RegistryError> {
        let invalid = |cause: String| RegistryError::InvalidServer(name.chars().take(64).collect(), cause);
        if !(self.weight.is_finite() && self.weight > 0.0) {
            return Err(invalid(format!("weight {} is not a finite number above 0", self.weight)));
        }
        if !(self.started_ms.is_finite() && self.started_ms >= 0.0) {
            return Err(invalid(format!(
                "started_ms {} is not a finite number of at least 0",
                self.started_ms
            )));
        }
        let ServerMetadata { zone, kind, cell, weight, started_ms: started_at } = self;
        Ok(Server { name: name.into(), address, zone, kind, cell, weight, standing, started_at })
    }
}
