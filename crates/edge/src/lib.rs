//! The running front. `main.rs` is the command line; [`edge`] is the loop, `floor` what the
//! desk's hands work with, [`rundown`] what it is given at
//! start, [`listing`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, [`lines`] the connections,
//! and [`reading`] a segment's read through all its tries.

pub mod edge;
mod floor;
pub mod http;
pub mod lines;
pub mod listing;
pub mod reading;
pub mod rundown;
mod seals;
pub mod sessions;
