//! The running front. `main.rs` is the command line; [`edge`] is the loop, `players` and `servers` what comes from either,
//! `watch` the files that are looked at meanwhile, `state` what the desk's hands work with (`actions`), with `answers` to players and
//! `server_requests` to servers; `fleet` the exchange with other fronts, `active_config` and `approved_versions` what this front goes by and
//! what was approved. [`config`] is what a front is
//! given at start, [`server_list`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, [`connections`] the connections, `tls` their certificates, `stats` its sums for the log, and [`segment_read`] a segment's read through
//! all its tries.

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
mod tls;
mod watch;
