//! The front on the platform's protocol: viewers' binary messages, media servers' RTSP, the list by DNS. `config` is what a
//! node is given at start, `node` its loop, `stopping` its end, `viewers` and `servers` what comes from either, `asked` a set-up as it
//! is read, `attempts` those on their way, `listing` the list of servers, `floor` what is kept of all that, `hands` what the desk has
//! done, `to_viewers` and `to_servers` what is written, `ended` what has ended lately, `shares` how the descriptors are shared out. It
//! decides nothing: where a play goes, and what follows an outcome, the desk is asked.

mod actions;
mod attempts;
mod config;
mod ended_sessions;
mod listing;
mod node;
mod servers;
mod set_up;
mod shares;
mod state;
mod stopping;
mod to_servers;
mod to_viewers;
mod viewers;

pub use config::Config;
pub use node::run;
