//! The running front. `main.rs` is the command line; [`edge`] is the loop, `players` and `servers` what comes from either,
//! `watch` the files that are looked at meanwhile, `floor` what the desk's hands work with (`hands`), with `answers` to players and
//! `errands` to servers; `company` the exchange with other fronts, `figures` and `versions` what this front goes by and
//! what was approved. [`rundown`] is what a front is
//! given at start, [`listing`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, [`lines`] the connections, `seals` their certificates, `tally` its sums for the log, and [`reading`] a segment's read through
//! all its tries.

mod answers;
pub mod ask;
mod company;
pub mod edge;
mod errands;
pub mod figures;
mod floor;
mod hands;
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
pub mod versions;
mod watch;
