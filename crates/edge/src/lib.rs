//! The running front. `main.rs` is the command line; [`edge`] is the loop, `players` and `servers` what comes from either,
//! `watch` the files that are looked at meanwhile, `floor` what the desk's hands work with (`hands`), with `answers` to players and
//! `errands` to servers; `company` the exchange with other fronts, `active_config` and `approved_versions` what this front goes by and
//! what was approved. [`config`] is what a front is
//! given at start, [`server_list`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, [`connections`] the connections, `seals` their certificates, `tally` its sums for the log, and [`segment_read`] a segment's read through
//! all its tries.

pub mod active_config;
mod answers;
pub mod approved_versions;
mod company;
pub mod config;
pub mod connections;
pub mod edge;
mod errands;
mod floor;
mod hands;
pub mod http;
mod players;
mod seals;
pub mod segment_read;
pub mod server_list;
mod servers;
pub mod sessions;
pub mod status;
mod tally;
mod watch;
