//! Fake media servers on loopback, for the lab and for integration tests.
//!
//! [`model`] models links, racks, streams and cold starts without I/O. [`server`] serves the media server's side of the
//! protocol over HTTP and injects faults. [`content`] generates segments whose bytes can be verified. [`http`] is the
//! small part of HTTP that the servers and the players of the lab need. None of these shares code with the front. The
//! servers record what they observe in a [`recorder::Recorder`].
//!
//! The protocol of a media server, as the front uses it:
//!
//! - `POST /plays/NAME` with `{"title","product","rung","session"}` sets up a play. Status `200` is sent when the first
//!   frame is available; its chunked body carries notes, one JSON object a line (`delivered`, `link`, `uplink`), and
//!   ends with the play. `429` means rejected before any processing. Any other status means that the set-up failed and
//!   may have run.
//! - `GET /plays/NAME/RUNG/NUMBER` returns a segment, `PATCH /plays/NAME` with `{"rung"}` changes the rung, and
//!   `DELETE` ends the play.
//! - `GET /load` does nothing but respond. Every response has an `endpoint-load-metrics` header.
//! - A play whose connection breaks is freed after a short lease.

pub mod certificates;
pub mod content;
pub mod files;
pub mod http;
pub mod model;
pub mod recorder;
pub mod server;
