//! The front process: accepts viewers' requests over HTTP, sets their plays up at media servers, and relays segments.
//! `main.rs` is the command line.
//!
//! - [`edge`]: the event loop and the start of a front; `stopping`: its stop.
//! - `players`, `servers`: events of connections to players and to media servers.
//! - `state`: what the front holds beside the dispatcher; `actions` carries out the dispatcher's decisions on it, with
//!   `answers` to players and `server_requests` to media servers.
//! - [`sessions`]: the table of sessions, with who requested each and how it was answered.
//! - [`segment_read`]: one segment read over all its tries.
//! - [`connections`]: the roles of connections; [`http`]: the HTTP codec; `tls`: certificates.
//! - [`config`]: the configuration file; [`server_list`]: the list of servers and titles; `watch`: polling of the files
//!   that may be replaced while the front runs.
//! - `fleet`: the exchange with other fronts; [`active_config`]: the configuration in effect; [`approved_versions`]: the
//!   approved versions; [`status`]: queries a running front.
//! - `stats`: counters for the log.

mod actions;
pub mod active_config;
mod answers;
pub mod approved_versions;
pub mod config;
pub mod connections;
pub mod edge;
mod fleet;
pub mod http;
mod players;
pub mod segment_read;
pub mod server_list;
mod server_requests;
mod servers;
pub mod sessions;
mod state;
mod stats;
pub mod status;
mod stopping;
mod tls;
mod watch;
