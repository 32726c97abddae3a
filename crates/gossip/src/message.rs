//! What goes between two fronts: one datagram, checked whole before anything of it is taken.
//!
//! `GOSSIP_VERSION`, the fleet's name as a checksum, a checksum of all that follows, then postcard.

use serde::{Deserialize, Serialize};

/// A datagram's size at most, bytes: what a path of 1,280 carries with IPv6 and UDP heads.
pub const MAX_BYTES: usize = 1_200;
/// The form of what goes round; another is passed over.
pub const GOSSIP_VERSION: u8 = 1;
/// Version, fleet and checksum before the message.
const HEADER_BYTES: usize = 9;
/// No row is older, ms: a week. What claims to be is impossible.
const MAX_AGE_MS: u32 = 7 * 86_400_000;

/// A front by the checksum of its name.
pub type Origin = u32;

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    #[error("longer than 1,200 bytes")]
    TooLong,
    #[error("of another version of the exchange")]
    OtherVersion,
    #[error("of another fleet")]
    OtherFleet,
    #[error("spoilt")]
    Corrupt,
    #[error("an age that can't be")]
    ImpossibleAge,
}

/// How far a front knows a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowVersion {
    pub origin: Origin,
    pub incarnation: u64,
    pub version: u64,
    /// The row was its origin's own no longer ago than this, ms; none where nobody can say.
    pub age: Option<u32>,
    /// Checksum of all its cells, where they are known whole.
    pub sum: Option<u32>,
}

/// A value of a row, and the row's version that brought it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    pub key: u16,
    pub version: u64,
    pub value: Vec<u8>,
}

/// All that changed in a row after `from`, up to `known.version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    pub known: RowVersion,
    pub from: u64,
    /// The version of the row that it was taken from: a part lacks what changed up to there.
    pub source_version: u64,
    pub cells: Vec<Cell>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Origin,
    pub nonce: u32,
    /// The nonce that this answers: what tells the reader how old it may be at most.
    pub echo: Option<u32>,
    /// An answer to this is wanted.
    pub wants_answer: bool,
    pub known: Vec<RowVersion>,
    pub changes: Vec<Change>,
}

impl Message {
    pub fn encode(&self, fleet: u32) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
        out.push(GOSSIP_VERSION);
        out.extend_from_slice(&fleet.to_be_bytes());
        out.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
        out.extend_from_slice(&body);
        out
    }

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

    pub fn size(&self) -> usize {
        HEADER_BYTES + postcard::experimental::serialized_size(self).unwrap_or(MAX_BYTES)
    }
}

impl Change {
    /// Its cells' versions lie where it says.
    fn is_consistent(&self) -> bool {
        let within = |c: &Cell| self.from < c.version && c.version <= self.known.version;
        self.from <= self.known.version
            && self.known.version <= self.source_version
            && self.cells.iter().all(within)
    }
}
