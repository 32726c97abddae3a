//! The message between two fronts: one datagram, which is validated as a whole before any of it is applied.
//!
//! Layout: [`GOSSIP_VERSION`] (1 byte), CRC-32C of the fleet's name, CRC-32C of the body (4 bytes each, big endian), then
//! the body in postcard.

use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, bytes: what a path with an MTU of 1,280 carries beside IPv6 and UDP headers.
pub const MAX_BYTES: usize = 1_200;
/// Version of this format; datagrams of other versions are ignored.
pub const GOSSIP_VERSION: u8 = 1;
/// Bytes before the body: version, fleet and checksum.
const HEADER_BYTES: usize = 9;
/// Maximum age of a row, ms (a week). A row that claims to be older is invalid.
const MAX_AGE_MS: u32 = 7 * 86_400_000;

/// Identifier of a front, the CRC-32C of its name: the owner of a row, or the sender or receiver of a datagram.
pub type FrontId = u32;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than [`MAX_BYTES`].
    #[error("the datagram is longer than 1,200 bytes")]
    TooLong,
    /// Another [`GOSSIP_VERSION`].
    #[error("the datagram has another version of the gossip format")]
    OtherVersion,
    /// The checksum of another fleet's name.
    #[error("the datagram is from another fleet")]
    OtherFleet,
    /// Truncated, wrong checksum, not decodable, or with cells outside the stated versions.
    #[error("the datagram is truncated, corrupt or inconsistent")]
    Corrupt,
    /// A row older than `MAX_AGE_MS`.
    #[error("the datagram gives a row an impossible age")]
    ImpossibleAge,
}

/// The version at which a front knows a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    /// The front whose row it is.
    pub origin: FrontId,
    /// Incarnation of the row's origin.
    pub incarnation: u64,
    /// Number of changes that the origin had made in this incarnation.
    pub version: u64,
    /// Upper bound on the time since the row was current at its origin, ms; `None` if unknown.
    pub age: Option<u32>,
    /// Checksum of all the row's cells; `None` if the front has received only a part of them.
    pub checksum: Option<u32>,
}

/// One value of a row, and the version of the row that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Key of the cell; the layout is the caller's.
    pub key: u16,
    /// Version of the row that last changed the cell.
    pub version: u64,
    /// Value of the cell; the encoding is the caller's.
    pub value: Vec<u8>,
}

/// All changes of a row after `after_version`, up to `known.version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row, and the version up to which the change goes.
    pub known: RowVersion,
    /// Version after which the change begins; 0 for the whole row.
    pub after_version: u64,
    /// Version of the row at the sender when the change was taken from it. If it is above `known.version`, more parts
    /// follow.
    pub source_version: u64,
    /// The changed cells.
    pub cells: Vec<Cell>,
}

/// A question, an answer, or both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sending front.
    pub from: FrontId,
    /// Number of this message, which an answer repeats as `echo`.
    pub nonce: u32,
    /// Nonce of the question that this answers. It gives the receiver an upper bound on the age of the rows.
    pub echo: Option<u32>,
    /// Whether the sender wants an answer.
    pub wants_answer: bool,
    /// Versions of rows that the sender knows. A question lists those that it asks about. An answer lists those that need no
    /// change, and those that it asks about in turn.
    pub known: Vec<RowVersion>,
    /// Changes that the receiver lacks.
    pub changes: Vec<Change>,
}

impl Message {
    /// The datagram for a fleet, given as the checksum of its name.
    pub fn encode(&self, fleet: u32) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
        out.push(GOSSIP_VERSION);
        out.extend_from_slice(&fleet.to_be_bytes());
        out.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
        out.extend_from_slice(&body);
        out
    }

    /// Parses and validates a datagram of this fleet.
    pub fn decode(bytes: &[u8], fleet: u32) -> Result<Message, MessageError> {
        if bytes.len() > MAX_BYTES {
            return Err(MessageError::TooLong);
        }
        let read_u32 = |offset: usize| {
            bytes.get(offset..offset + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes)
        };
        let (Some(version), Some(sender_fleet), Some(sum)) = (bytes.first(), read_u32(1), read_u32(5)) else {
            return Err(MessageError::Corrupt);
        };
        if *version != GOSSIP_VERSION {
            return Err(MessageError::OtherVersion);
        }
        if sender_fleet != fleet {
            return Err(MessageError::OtherFleet);
        }
        let body = &bytes[HEADER_BYTES..];
        if crc32c::crc32c(body) != sum {
            return Err(MessageError::Corrupt);
        }
        let (message, rest): (Message, _) =
            postcard::take_from_bytes(body).map_err(|_| MessageError::Corrupt)?;
        let ages = message.known.iter().chain(message.changes.iter().map(|c| &c.known)).filter_map(|k| k.age);
        if ages.max().is_some_and(|age| age > MAX_AGE_MS) {
            return Err(MessageError::ImpossibleAge);
        }
        if !rest.is_empty() || message.changes.iter().any(|c| !c.is_consistent()) {
            return Err(MessageError::Corrupt);
        }
        Ok(message)
    }

    /// Size of the datagram, bytes; more than [`MAX_BYTES`] if it can't be computed.
    pub fn size(&self) -> usize {
        HEADER_BYTES + postcard::experimental::serialized_size(self).unwrap_or(MAX_BYTES)
    }
}

impl Change {
    /// Whether the versions of the cells lie in the stated range.
    fn is_consistent(&self) -> bool {
        let within = |c: &Cell| self.after_version < c.version && c.version <= self.known.version;
        self.after_version <= self.known.version
            && self.known.version <= self.source_version
            && self.cells.iter().all(within)
    }
}
