//! Stand-in media servers on loopback. [`model`] is the model of links, racks, streams and cold starts, free
//! of I/O; [`server`] speaks the front's side of HTTP over it and breaks it on purpose; [`content`] makes
//! segments whose bytes can be checked; [`http`] is the little HTTP that stand-ins and players need. None of
//! it shares code with the front. What the servers see goes to a [`recorder::Recorder`].
//!
//! The protocol of a media server, as the front uses it:
//!
//! - `POST /plays/NAME` with `{"title","product","rung","session"}` sets a play up. `200` comes with the first
//!   frame at hand; its chunked body are notes, one JSON object a line (`delivered`, `link`, `uplink`), and
//!   ends when the play does. `429`: refused without inspection. Anything else: failed, and may have run.
//! - `GET /plays/NAME/RUNG/NUMBER` is a segment; `PATCH /plays/NAME` with `{"rung"}` steps; `DELETE` ends.
//! - `GET /load` does nothing. Every answer has an `endpoint-load-metrics` header.
//! - A play whose connection breaks is freed after a short lease.

pub mod certificates;
pub mod content;
pub mod files;
pub mod http;
pub mod model;
pub mod recorder;
pub mod server;
