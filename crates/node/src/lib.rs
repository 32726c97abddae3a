//! The front on the platform's protocol: viewers' binary messages, media servers' RTSP, the list by DNS. `posting` is what a
//! node is given at start, `node` its loop, `viewers` and `servers` what comes from either, `listing` the list of servers,
//! `floor` what the desk's hands work with, `shares` how the descriptors are shared out. It decides nothing: where a play
//! goes, and what follows an outcome, the desk is asked.

mod floor;
mod listing;
mod node;
mod posting;
mod servers;
mod shares;
mod viewers;

pub use node::run;
pub use posting::Posting;
