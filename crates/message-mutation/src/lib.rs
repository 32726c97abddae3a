//! A recorded run of a small fleet, replayed against the real code with exactly one message changed.
//!
//! [`world`] plays three fronts, each the real desk, decisions, fellow and codecs, four servers, their viewers and the name
//! service in simulated time from one seed: everything that comes in to a front comes as bytes. [`MutatedMessage`] says which
//! message is changed, and how; [`fields`] how a field of each kind of message is set. What must hold after it is judged by
//! [`world::RunResult`].

mod delivery;
pub mod fields;
mod front;
pub mod messages;
pub mod world;

/// What kind of message comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A viewer's binary message.
    Viewer,
    /// A media server's RTSP message, or the head of its HTTP answer.
    Rtsp,
    Http,
    /// The list.
    Dns,
    /// A datagram of another front.
    Gossip,
}

/// What a field is set to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldValue {
    Min,
    Max,
    /// What it is in the message of this kind before.
    Previous,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    Dropped,
    Duplicated,
    /// By so many ms.
    Delayed(u32),
    /// Comes after the next to the same front.
    Reordered,
    /// At so many eighths of its length.
    Truncated(usize),
    /// One bit, at so many 1/64 of its length.
    BitFlipped(usize),
    FieldSet(usize, FieldValue),
}

/// The message by its number in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MutatedMessage {
    pub index: usize,
    pub mutation: Mutation,
}

/// All changes of a message.
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
    for field in 0..fields::count(kind, bytes) {
        mutations.extend(
            [FieldValue::Min, FieldValue::Max, FieldValue::Previous]
                .map(|value| Mutation::FieldSet(field, value)),
        );
    }
    mutations.into_iter().map(|mutation| MutatedMessage { index, mutation }).collect()
}
