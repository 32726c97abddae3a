//! Scripted peers of a real node on loopback: viewers, media servers, the name service. Written from the protocol's page; no
//! codec is shared with the node, so that an error can't cancel itself out. They block, with a time after which a test fails.
#![allow(dead_code, unused_imports)] // Each file of stories uses a part of it.

mod dns;
mod process;
mod servers;
mod viewers;

pub use dns::{DnsMode, DnsServer, ServerRecord, Zone};
pub use process::Node;
pub use servers::{MediaServer, Request, ServerConnection, rtsp_response};
use std::time::Duration;
pub use viewers::{Message, Viewer, encode_message, set_up_message};

pub const TIMEOUT: Duration = Duration::from_secs(10);
pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n";
