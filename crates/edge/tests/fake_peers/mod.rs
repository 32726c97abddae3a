//! Scripted peers of a real node on loopback: viewers, media servers and the name service. They are written from the protocol
//! description and share no codec with the node, so that an error on both sides can't cancel out. All calls block; a test
//! fails after [`TIMEOUT`]. The kinds and parameter codes of viewers' messages are listed at the head of `viewers.rs`.
#![allow(dead_code, unused_imports)] // Each test target uses only some of the peers.

mod dns;
mod process;
mod servers;
mod viewers;

pub use dns::{DnsMode, DnsServer, ServerRecord, Zone};
pub use process::Node;
pub use servers::{MediaServer, Request, ServerConnection, rtsp_response};
use std::time::Duration;
pub use viewers::{Message, Viewer, encode_message, hand_over_message, set_up_message};

/// Time after which a blocking call fails the test.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// The session description that set-ups and answers carry.
pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n";
