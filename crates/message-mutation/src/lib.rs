//! Simulates a small fleet with the real code from one seed, with exactly one message mutated or with none.
//!
//! [`world`] simulates three fronts, each with the real dispatcher, policy, fleet member and codecs, and four servers, their viewers
//! and the name service, in simulated time from one seed. All input of a front arrives as bytes. [`MutatedMessage`] names the
//! mutated message and its mutation, [`fields`] sets a field of each kind of message, and [`world::RunResult`] holds what the
//! tests check after the run. Times are in ms.

mod delivery;
pub mod fields;
mod front;
pub mod messages;
pub mod world;

/// The kind of a message that a front receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A viewer's binary message.
    Viewer,
    /// A media server's RTSP message.
    Rtsp,
    /// The head of a media server's HTTP response.
    Http,
    /// A response of the name service with the server list.
    Dns,
    /// A gossip datagram of another front.
    Gossip,
}

/// The value that a field is set to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldValue {
    Min,
    Max,
    /// The value in the previous message of this kind.
    Previous,
}

/// How a message is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    Dropped,
    Duplicated,
    /// Delivered this many ms late.
    Delayed(u32),
    /// Delivered after the next message to the same front that arrives while messages are recorded, or never if there is none.
    Reordered,
    /// Cut to this many eighths of its length.
    Truncated(usize),
    /// One bit is flipped, at this many 64ths of its length.
    BitFlipped(usize),
    /// The field with this index is set to a value; see [`fields`].
    FieldSet(usize, FieldValue),
}

/// A message, by its index among the recorded messages of the run, and its mutation. Until that message, the run is the same as
/// one without a mutation; later messages may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MutatedMessage {
    pub index: usize,
    pub mutation: Mutation,
}

/// All mutations of a message.
pub fn mutations_of(index: usize, kind: Kind, bytes: &[u8]) -> Vec<MutatedMessage> {
    let mut mutations = vec![
        Mutation::Dropped,
        Mutation::Duplicated,
        Mutation::Delayed(40),
        Mutation::Delayed(700),
        Mutation::Reordered,
    ];
    mutations.extend([1, 4, 7].map(Mutation::Truncated));
    mutations.extend([0, 9, 23, 41, 63].map(Mutation::BitFlipped));
    for field in 0..fields::field_count(kind, bytes) {
        mutations.extend(
            [FieldValue::Min, FieldValue::Max, FieldValue::Previous]
                .map(|value| Mutation::FieldSet(field, value)),
        );
    }
    mutations.into_iter().map(|m| MutatedMessage { index, mutation: m }).collect()
}
