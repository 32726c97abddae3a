//! What the connections of this front are for; the connections themselves are those of [`pulleystair_connections`].

use crate::edge::Edge;
use crate::http::Chunks;
use crate::segment_read::SegmentRead;
pub use pulleystair_connections::ConnectionId;

pub type Connections = pulleystair_connections::Connections<Edge, Role, ResponseOptions>;

/// How a player's request wants to be answered.
#[derive(Default)]
pub struct ResponseOptions {
    /// The connection is closed after the answer.
    pub close: bool,
    /// The answer's head is wanted without its body.
    pub head_only: bool,
    /// It is one of whoever operates this front.
    pub is_operator: bool,
}

pub enum Role {
    /// A player's connection.
    Player(PlayerState),
    /// An allocation: its set-up and, once that is answered, the notes on the play. Its own connection, so
    /// that one refused and one broken under the set-up are told apart.
    Allocation { play: u64, server: u32, stage: AllocationStage },
    /// A pooled connection to a server, on an errand or idle.
    ServerPool { server: u32, errand: Option<ServerRequest>, fresh: bool },
}

/// What a player's connection does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlayerState {
    /// Reads the next request.
    ReadingRequest,
    /// Waits for the answer to the manifest of this play.
    AwaitingManifest(u64),
    /// Gets a segment of this play.
    FetchingSegment(u64),
    /// Closes once all is written.
    Closing,
}

pub enum AllocationStage {
    AwaitingResponse,
    ReadingNotes { chunks: Chunks, text: Vec<u8> },
}

/// A request to a server on a pooled connection.
pub struct ServerRequest {
    pub kind: RequestKind,
    /// What is sent, but for its range.
    pub request: Vec<u8>,
    /// Of a segment: its read through all its tries.
    pub segment_read: Option<SegmentRead>,
    /// Bytes of the answer's body still to come, once its head was read.
    pub left: Option<u64>,
    /// The line is to be closed after the answer.
    pub last: bool,
}

impl ServerRequest {
    /// One that is not a segment's read.
    pub fn new(what: RequestKind, request: Vec<u8>) -> ServerRequest {
        ServerRequest { kind: what, request, segment_read: None, left: None, last: false }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    Segment {
        player: ConnectionId,
        play: u64,
        number: u64,
    },
    Probe,
    /// A step of rung: one of a play is under way at a time, so that none overtakes another.
    Step {
        play: u64,
    },
    /// The end of a play: nothing hangs on the answer.
    Word,
}
