//! The binary messages between viewers and the node: a parser for bytes that arrive in any fragments, and an
//! encoder. No I/O; called by the node, the fuzz checks and the message mutation.
//!
//! A message consists of a length of two bytes (which counts all that follows), a type, a session id of eight
//! bytes, and parameters. Each parameter consists of a code, a length of two bytes and a value. Numbers are
//! big-endian.

use thiserror::Error;

/// Maximum number of bytes of a message, including its length field.
pub const MAX_BYTES: usize = 16 << 10;
/// Bytes of the length field.
const LENGTH_BYTES: usize = 2;
/// Bytes of the type and the session id, which every message has.
const HEADER_BYTES: usize = 9;

/// The types of messages.
pub mod kind {
    /// From a viewer: requests a play, or has the node adopt a session that plays already.
    pub const SET_UP: u8 = 1;
    /// From a viewer; the node ignores it.
    pub const PROGRESS: u8 = 6;
    /// To a viewer: the session plays, with the description from its server.
    pub const ANSWER: u8 = 9;
    /// From a viewer: withdraws the set-up or ends the session. To a viewer: the play was rejected or has
    /// failed, or its session has ended.
    pub const RELEASE: u8 = 12;
    /// From a viewer; the node ignores it.
    pub const ACK: u8 = 16;
    /// From a viewer; the node ignores it.
    pub const NOTE: u8 = 44;
    /// From a viewer: ends the playing session.
    pub const MOVE: u8 = 51;
    /// Asks the node whether it accepts plays.
    pub const HEALTH_CHECK: u8 = 52;
    /// The response to a health check. Its cause is 1, or 0 once the node was told to stop.
    pub const HEALTH_CHECK_REPLY: u8 = 53;
    /// From a viewer; the node ignores it.
    pub const RUNG: u8 = 60;
}

/// The codes of parameters.
pub mod code {
    /// The name of the product.
    pub const CLASS: u8 = 3;
    /// How long the viewer waits for an answer, ms, as text.
    pub const TIME_LIMIT: u8 = 6;
    /// The id of the title, 1 to 16 hex digits.
    pub const TITLE: u8 = 15;
    /// Further attributes of the play as text, such as `home:3;copies:2;top:4`; `at:ID` names the server of a
    /// session that is to be adopted.
    pub const EXTRAS: u8 = 18;
    /// Delay before the viewer may try again, ms, as text.
    pub const RETRY_AFTER: u8 = 21;
    /// A time as text. The node checks only that it is one.
    pub const HINT: u8 = 33;
    /// The cause of a release or the result of a health check, one byte.
    pub const CAUSE: u8 = 45;
    /// The description of the session, which the node forwards unchanged in both directions.
    pub const DESCRIPTION: u8 = 48;
}

/// Why bytes from a peer could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    #[error("message length {0} is too short for the type and the session id")]
    TooShort(usize),
    #[error("message length {0} exceeds the limit")]
    TooLong(usize),
    #[error("parameter {code} has length {length}, but only {left} bytes are left in the message")]
    ParameterOverrun { code: u8, length: usize, left: usize },
    #[error("the message ends within the header of a parameter")]
    TruncatedParameter,
}

/// A parsed message, which borrows its parameters from the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The type, one of [`kind`].
    pub kind: u8,
    /// The id of the session, which is also that of the play.
    pub session: u64,
    parameters: &'a [u8],
}

impl<'a> Message<'a> {
    /// Parses the first message of `input`. Returns the message and its length in bytes, or `None` if the
    /// message is incomplete.
    pub fn parse(input: &'a [u8]) -> Result<Option<(Message<'a>, usize)>, ParseError> {
        let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u16::from_be_bytes(*length) as usize;
        if length < HEADER_BYTES {
            return Err(ParseError::TooShort(length));
        }
        if length + LENGTH_BYTES > MAX_BYTES {
            return Err(ParseError::TooLong(length));
        }
        let Some(body) = input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
        let mut session = [0; 8];
        session.copy_from_slice(&body[1..HEADER_BYTES]);
        let message = Message {
            kind: body[0],
            session: u64::from_be_bytes(session),
            parameters: &body[HEADER_BYTES..],
        };
        Ok(Some((message, LENGTH_BYTES + length)))
    }

    /// The parameters in order, up to and including the first that cannot be parsed.
    pub fn parameters(&self) -> impl Iterator<Item = Result<(u8, &'a [u8]), ParseError>> + use<'a> {
        let mut rest = self.parameters;
        std::iter::from_fn(move || {
            let (code, after) = rest.split_first()?;
            let Some((length, after)) = after.split_first_chunk::<2>() else {
                rest = &[];
                return Some(Err(ParseError::TruncatedParameter));
            };
            let length = u16::from_be_bytes(*length) as usize;
            let Some((value, after)) = after.split_at_checked(length) else {
                rest = &[];
                return Some(Err(ParseError::ParameterOverrun { code: *code, length, left: after.len() }));
            };
            rest = after;
            Some(Ok((*code, value)))
        })
    }

    /// The value of the first parameter with this code.
    pub fn get(&self, code: u8) -> Option<&'a [u8]> {
        self.parameters().map_while(Result::ok).find(|p| p.0 == code).map(|p| p.1)
    }

    /// Like [`Message::get`], as text; `None` if the value is not UTF-8.
    pub fn text(&self, code: u8) -> Option<&'a str> {
        self.get(code).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The cause of a release, or `None` if the message has no cause of exactly one byte.
    pub fn cause(&self) -> Option<u8> {
        self.get(code::CAUSE).filter(|value| value.len() == 1).map(|value| value[0])
    }
}

/// Encodes a message, or returns `None` if it would exceed [`MAX_BYTES`].
pub fn encode(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Option<Vec<u8>> {
    let length = HEADER_BYTES + parameters.iter().map(|(_, value)| 3 + value.len()).sum::<usize>();
    if length + LENGTH_BYTES > MAX_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend_from_slice(&(length as u16).to_be_bytes());
    bytes.push(kind);
    bytes.extend_from_slice(&session.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value);
    }
    Some(bytes)
}
