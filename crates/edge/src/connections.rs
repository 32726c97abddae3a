//! The roles of this front's connections: players, allocations and pooled connections to media servers. The
//! connections themselves are those of [`pulleystair_connections`].

use crate::edge::Edge;
use crate::http::Chunks;
use crate::segment_read::SegmentRead;
pub use pulleystair_connections::ConnectionId;

/// This front's open connections.
pub type Connections = pulleystair_connections::Connections<Edge, Role, ResponseOptions>;

/// How a player's request is to be answered.
#[derive(Default)]
pub struct ResponseOptions {
    /// The connection is closed after the answer.
    pub close: bool,
    /// The answer's head is sent without its body.
    pub head_only: bool,
    /// The connection was accepted on the operators' address (`sharing.ask`).
    pub is_operator: bool,
}

/// What a connection is used for.
pub enum Role {
    /// A player's connection.
    Player(PlayerState),
    /// An allocation: its set-up and, after a successful response, the notes on the play. Each has a connection of
    /// its own, so that a refused connection can be distinguished from one that breaks during the set-up.
    Allocation { play: u64, server: u32, stage: AllocationStage },
    /// A pooled connection to a server, with a request or idle. `is_fresh` until its first response is complete.
    ServerPool { server: u32, request: Option<ServerRequest>, is_fresh: bool },
}

/// What a player's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlayerState {
    /// Reads the next request.
    ReadingRequest,
    /// Waits for the answer to the manifest of this play.
    AwaitingManifest(u64),
    /// Waits for or receives a segment of this play. A fetch is a player's segment request under way; a read
    /// ([`SegmentRead`]) is the request for it to the server, over all its tries.
    FetchingSegment(u64),
    /// Closes once the answer is written.
    Closing,
}

/// How far an allocation's connection has come.
pub enum AllocationStage {
    /// The set-up was sent, and its response is awaited.
    AwaitingResponse,
    /// The set-up succeeded. `text` is the part of the notes that has no line end yet.
    ReadingNotes { chunks: Chunks, text: Vec<u8> },
}

/// A request to a server on a pooled connection.
pub struct ServerRequest {
    pub kind: RequestKind,
    /// The request as it is sent, without the headers that a segment's read adds.
    pub bytes: Vec<u8>,
    /// For a segment: its read, with the progress over all tries.
    pub segment_read: Option<SegmentRead>,
    /// Bytes of the response's body still to be received; none until its head was read.
    pub body_bytes_left: Option<u64>,
    /// The server closes the connection after the response.
    pub close_after: bool,
}

impl ServerRequest {
    /// A request that is not a segment's read.
    pub fn new(kind: RequestKind, bytes: Vec<u8>) -> ServerRequest {
        ServerRequest { kind, bytes, segment_read: None, body_bytes_left: None, close_after: false }
    }
}

/// What a request to a server is for. The log shows the names of the variants and their fields.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// Reads a segment for a player; `player` is its connection, `number` the segment's number.
    Segment { player: ConnectionId, play: u64, number: u64 },
    /// Requests a load report.
    Probe,
    /// A rung notification: sends a play's rung to its server. A play has at most one under way, so that none
    /// overtakes another.
    Step { play: u64 },
    /// Notifies the server of a play's end; the response has no effect.
    Word,
}
