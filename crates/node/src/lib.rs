//! The node: the front on the platform's protocol, with the viewers' binary messages, the media servers' RTSP
//! and the server list by DNS. The dispatcher decides where a play goes and what follows an outcome; this
//! crate connects it to the network.
//!
//! - `config`: the configuration file
//! - `node`: the event loop
//! - `stopping`: the shutdown
//! - `viewers` and `servers`: what viewers and servers send
//! - `set_up`: the parsing of a viewer's set-up
//! - `hand_overs`: sessions that play already when the node starts
//! - `attempts`: attempts at servers
//! - `listing`: the list of servers
//! - `state`: the node's state beside the dispatcher
//! - `actions`: what the node does for the dispatcher
//! - `to_viewers` and `to_servers`: what is sent to viewers and servers
//! - `ended_sessions`: recently ended sessions
//! - `shares`: the division of the file descriptors

mod actions;
mod attempts;
mod config;
mod ended_sessions;
mod hand_overs;
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
