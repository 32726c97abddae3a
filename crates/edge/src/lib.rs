//! The running front. `main.rs` is the command line; [`edge`] is the loop, `floor` what the
//! desk's hands work with, [`rundown`] what it is given at
//! start, [`listing`] the list of servers and titles, [`sessions`] who asked for what and was answered how,
//! [`http`] the codec, and [`lines`] the connections.

pub mod edge;
mod floor;
pub mod http;
pub mod lines;
pub mod listing;
pub mod rundown;
pub mod sessions;
