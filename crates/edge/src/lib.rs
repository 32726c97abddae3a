//! The running front. `main.rs` is the command line; [`edge`] is the loop, `players` and `servers` what comes from either,
//! `watch` the files that are looked at meanwhile, `floor` what the desk's hands work with. [`rundown`] is what a front is
//! given at start, [`listing`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, [`lines`] the connections, `seals` their certificates, `tally` its sums for the log, and [`reading`] a segment's read through
//! all its tries.

pub mod edge;
mod floor;
pub mod http;
pub mod lines;
pub mod listing;
mod players;
pub mod reading;
pub mod rundown;
mod seals;
mod servers;
pub mod sessions;
mod tally;
mod watch;
