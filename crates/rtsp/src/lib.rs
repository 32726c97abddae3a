//! The RTSP messages between media servers and the node: a parser for bytes that arrive in any fragments, and
//! an encoder for requests. No I/O; called by the node, the fuzz checks and the message mutation.
//!
//! The start line is parsed here. The header fields are parsed by httparse, which rejects an invalid field
//! before its line has ended.

use std::fmt::Write;
use thiserror::Error;

/// Maximum number of bytes of a message, head and body.
pub const MAX_BYTES: usize = 16 << 10;
/// Maximum number of bytes of a start line, the first line of a message.
const MAX_START_LINE_BYTES: usize = 1024;
/// Maximum number of header fields of a message.
const MAX_FIELDS: usize = 32;
/// The protocol version in the start line.
const VERSION: &str = "RTSP/1.0";
/// The scheme with which the target of a request begins.
const TARGET_SCHEME: &[u8] = b"rtsp://";
/// Maximum number of characters of an invalid start line that its error quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Why bytes from a peer could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    #[error("the start line contains the byte {0:#04x}")]
    InvalidByte(u8),
    #[error("the start line is longer than {MAX_START_LINE_BYTES} bytes")]
    StartLineTooLong,
    #[error("the start line is neither that of a response nor that of a request: {0:?}")]
    InvalidStartLine(String),
    #[error("the header cannot be parsed: {0}")]
    InvalidHeader(httparse::Error),
    #[error("the message needs exactly one valid Content-Length")]
    InvalidContentLength,
    #[error("message length {0} exceeds the limit")]
    TooLong(u64),
    #[error("the message has no Session of 16 hex digits")]
    InvalidSession,
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A response with its status code.
    Response(u16),
    /// A request with its method.
    Request(String),
}

/// A parsed message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start line.
    pub start: StartLine,
    /// The session id, from the header field `Session`.
    pub session: u64,
    /// The names and values of the header fields.
    fields: Vec<(String, String)>,
    /// The body, of the length that `Content-Length` states.
    pub body: Vec<u8>,
}

/// Parses a session id of exactly 16 hex digits.
fn parse_session_id(text: &str) -> Option<u64> {
    let is_valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_valid.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The error for a start line that is neither that of a response nor that of a request.
fn invalid_start_line(line: &str) -> ParseError {
    ParseError::InvalidStartLine(line.chars().take(MAX_QUOTED_CHARS).collect())
}

/// Parses the start line of a response or a request.
fn parse_start_line(line: &str) -> Result<StartLine, ParseError> {
    let error = || invalid_start_line(line);
    let (first_word, rest) = line.split_once(' ').ok_or_else(error)?;
    if first_word == VERSION {
        let code = rest.split(' ').next().unwrap_or(rest);
        let is_valid = code.len() == 3 && code.bytes().all(|b| b.is_ascii_digit());
        return is_valid.then(|| code.parse().ok()).flatten().map(StartLine::Response).ok_or_else(error);
    }
    let (target, version) = rest.rsplit_once(' ').ok_or_else(error)?;
    if !is_method(first_word) || version != VERSION || target.is_empty() || target.contains(' ') {
        return Err(error());
    }
    Ok(StartLine::Request(first_word.to_string()))
}

/// Whether a start line can begin with these words, of which the last may be incomplete.
fn may_begin_start_line(line: &str) -> bool {
    let mut words = line.splitn(3, ' ');
    let (first_word, second_word, rest) = (words.next().unwrap_or(""), words.next(), words.next());
    let Some(second_word) = second_word else {
        return VERSION.starts_with(first_word) || is_method(first_word);
    };
    if first_word == VERSION {
        let is_complete = rest.is_some();
        let has_code_length = if is_complete { second_word.len() == 3 } else { second_word.len() <= 3 };
        return has_code_length && second_word.bytes().all(|b| b.is_ascii_digit());
    }
    is_method(first_word)
        && rest.is_none_or(|version| !second_word.is_empty() && VERSION.starts_with(version))
}

/// Whether a word can be the method of a request.
fn is_method(word: &str) -> bool {
    !word.is_empty() && word.bytes().all(|b| b.is_ascii_uppercase() || b == b'_')
}

/// Whether the bytes that follow a message are too few to show that another message begins there: they may
/// as well be the rest of a body whose stated length is too small. No bytes at all are no such doubt.
pub fn is_boundary_uncertain(following: &[u8]) -> bool {
    let is_response =
        following.starts_with(VERSION.as_bytes()) && following.get(VERSION.len()) == Some(&b' ');
    let target_start = following.iter().position(|b| *b == b' ').map(|space| &following[space + 1..]);
    let is_request = target_start.is_some_and(|target| target.starts_with(TARGET_SCHEME));
    !following.is_empty() && !following.contains(&b'\n') && !is_response && !is_request
}

impl Message {
    /// Parses the first message of `input`. Returns the message and its length in bytes, or `None` if the
    /// message is incomplete. An incomplete start line is checked as far as it goes.
    pub fn parse(input: &[u8]) -> Result<Option<(Message, usize)>, ParseError> {
        let line = &input[..input.iter().position(|b| *b == b'\n').unwrap_or(input.len())];
        if line.len() > MAX_START_LINE_BYTES {
            return Err(ParseError::StartLineTooLong);
        }
        let start_line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(invalid_byte) = start_line.iter().find(|b| !(b' '..=b'~').contains(*b)) {
            return Err(ParseError::InvalidByte(*invalid_byte));
        }
        let start_line = String::from_utf8_lossy(start_line);
        if line.len() == input.len() {
            let is_possible = may_begin_start_line(&start_line);
            return if is_possible { Ok(None) } else { Err(invalid_start_line(&start_line)) };
        }
        let start = parse_start_line(&start_line)?;
        let head = &input[line.len() + 1..];
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let (used, headers) = match httparse::parse_headers(head, &mut header_slots) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if input.len() >= MAX_BYTES => {
                return Err(ParseError::TooLong(input.len() as u64));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(e) => return Err(ParseError::InvalidHeader(e)),
        };
        let to_text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_string();
        let fields: Vec<(String, String)> =
            headers.iter().map(|f| (f.name.to_string(), to_text(f.value))).collect();
        let mut lengths = fields.iter().filter(|f| f.0.eq_ignore_ascii_case("Content-Length"));
        let (Some((_, length)), None) = (lengths.next(), lengths.next()) else {
            return Err(ParseError::InvalidContentLength);
        };
        if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
            return Err(ParseError::InvalidContentLength);
        }
        let content_length: u64 = length.parse().unwrap_or(u64::MAX);
        let body_start = line.len() + 1 + used;
        let message_length = content_length.saturating_add(body_start as u64);
        if message_length > MAX_BYTES as u64 {
            return Err(ParseError::TooLong(message_length));
        }
        let message_length = message_length as usize;
        let mut message = Message { start, session: 0, fields, body: Vec::new() };
        message.session =
            message.field("Session").and_then(parse_session_id).ok_or(ParseError::InvalidSession)?;
        let Some(bytes) = input.get(body_start..message_length) else { return Ok(None) };
        message.body = bytes.to_vec();
        Ok(Some((message, message_length)))
    }

    /// The value of the first header field with this name, ignoring case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.as_str())
    }

    /// The value of a header field as a finite number.
    pub fn number_field(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok().filter(|n: &f64| n.is_finite())
    }

    /// The `CSeq` number, which says to which request a response belongs; `None` if it is missing or no
    /// number.
    pub fn cseq(&self) -> Option<u32> {
        self.field("CSeq")?.parse().ok()
    }

    /// The cause of a session's end, from the header field `Reason: cause=N`.
    pub fn cause(&self) -> Option<u8> {
        self.field("Reason")?.trim().strip_prefix("cause=")?.parse().ok()
    }

    /// The named load values of a load report, from the header field `X-Circuits`, such as `x0:12;x1:40`.
    /// Values that are not finite numbers are skipped.
    pub fn load_values(&self) -> impl Iterator<Item = (&str, f64)> {
        let pairs = self.field("X-Circuits").unwrap_or("").split(';');
        pairs.filter_map(|pair| {
            let (name, value) = pair.split_once(':')?;
            Some((name.trim(), value.trim().parse().ok().filter(|n: &f64| n.is_finite())?))
        })
    }
}

/// Encodes a request with its header and body. `path` is what follows `rtsp://media/` in the request's
/// target. The length is not checked against [`MAX_BYTES`].
pub fn encode_request(
    method: &str,
    path: &str,
    cseq: u32,
    session: u64,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head =
        format!("{method} rtsp://media/{path} {VERSION}\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\n");
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
