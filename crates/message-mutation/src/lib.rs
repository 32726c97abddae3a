//! A recorded run of a small fleet, replayed against the real code with exactly one message changed.
//!
//! [`world`] plays three fronts, each the real desk, decisions, fellow and codecs, four servers, their viewers and the name
//! service in simulated time from one seed: everything that comes in to a front comes as bytes. [`MutatedMessage`] says which
//! message is changed, and how; [`fields`] how a field of each kind of message is set. What must hold after it is judged by
//! [`world::RunResult`].

pub mod fields;
mod front;
pub mod inbox;
mod post;
pub mod world;

/// What kind of message comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A viewer's binary message.
    Signal,
    /// A media server's RTSP message, or the head of its HTTP answer.
    Rtsp,
    Http,
    /// The list.
    Names,
    /// A datagram of another front.
    Row,
}

/// What a field is set to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldValue {
    Least,
    Greatest,
    /// What it is in the message of this kind before.
    Neighbours,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    Dropped,
    Doubled,
    /// By so many ms.
    Late(u32),
    /// Comes after the next to the same front.
    Swapped,
    /// At so many eighths of its length.
    Cut(usize),
    /// One bit, at so many 1/64 of its length.
    Bit(usize),
    Field(usize, FieldValue),
}

/// The message by its number in the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MutatedMessage {
    pub at: usize,
    pub mutation: Mutation,
}

/// All changes of a message.
pub fn changes(at: usize, kind: Kind, bytes: &[u8]) -> Vec<MutatedMessage> {
    let mut out = vec![
        Mutation::Dropped,
        Mutation::Doubled,
        Mutation::Late(40),
        Mutation::Late(700),
        Mutation::Swapped,
    ];
    out.extend([1, 4, 7].map(Mutation::Cut));
    out.extend([0, 9, 23, 41, 63].map(Mutation::Bit));
    for field in 0..fields::count(kind, bytes) {
        out.extend(
            [FieldValue::Least, FieldValue::Greatest, FieldValue::Neighbours]
                .map(|to| Mutation::Field(field, to)),
        );
    }
    out.into_iter().map(|how| MutatedMessage { at, mutation: how }).collect()
}
