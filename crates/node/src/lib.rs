//! The node: the front on the platform's protocol, with the viewers' binary messages, the media servers' RTSP
//! and the server list by DNS. The dispatcher decides where a play goes and what follows an outcome; this
//! crate connects it to the network.
//!
//! - `config` and `reload`: the configuration file, at the start and on SIGHUP
//! - `node`: the event loop
//! - `stopping`: the shutdown
//! - `viewers` and `servers`: what viewers and servers send
//! - `viewer_connections`: the connections of viewers
//! - `set_up`: the parsing of a viewer's set-up
//! - `hand_overs`: sessions that play already when the node starts
//! - `attempts`: attempts at servers
//! - `listing` and `dns_client`: the list of servers, and the client of the name service
//! - `server_connections`: the connections to servers
//! - `liveness`: signs of life of a server, and what follows from its silence
//! - `lost_servers`: servers that are lost, silent, restarted or gone
//! - `media_server`: what is kept about each server and each connection to one
//! - `state`: the node's state beside the dispatcher
//! - `actions`: what the node does for the dispatcher
//! - `to_viewers` and `to_servers`: what is sent to viewers and servers
//! - `ended_sessions`: recently ended sessions
//! - `held_bytes`: bytes held for many plays, and their sum
//! - `recent_plays`: plays that are over, in case their viewers come again
//! - `revisit_queue`: connections to be handled again in the next turn
//! - `shares`: the division of the file descriptors

mod actions;
mod attempts;
mod config;
mod dns_client;
mod ended_sessions;
mod hand_overs;
mod held_bytes;
mod listing;
mod liveness;
mod lost_servers;
mod media_server;
mod node;
mod recent_plays;
mod reload;
mod revisit_queue;
mod server_connections;
mod servers;
mod set_up;
mod shares;
mod state;
mod stopping;
mod to_servers;
mod to_viewers;
mod viewer_connections;
mod viewers;

pub use config::Config;
pub use node::run;
