//! The HTTP/1.1 (RFC 9112) codec of a front, without I/O: heads are parsed from received bytes, and responses are
//! written to a buffer. Every size is bounded by the caller or here.

use std::io::Write;

/// The largest number of headers of a message.
const MAX_HEADERS: usize = 64;
/// The longest response head of a media server, bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 16 << 10;
/// The longest line with a chunk's size, bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The longest validator (`ETag`, `If-None-Match`), bytes; a longer one is ignored.
const MAX_ETAG_BYTES: usize = 256;

/// The head of a player's request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub keep_alive: bool,
    /// The token of a `Bearer` authorization.
    pub bearer: Option<String>,
    /// The requested byte range: first byte and, where given, last.
    pub range: Option<(u64, Option<u64>)>,
    /// `If-None-Match` as received (RFC 9110, section 13.1.2).
    pub if_none_match: Option<String>,
}

/// Why a request is refused, and the status with which it is answered.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestError {
    pub status: u16,
    pub why: &'static str,
}

/// The refusal of a request.
fn refuse<T>(status: u16, why: &'static str) -> Result<T, RequestError> {
    Err(RequestError { status, why })
}

/// Parses a request's head of at most `max_bytes` bytes. Returns the head and its length in bytes, or none while it
/// is incomplete.
pub fn parse_request(input: &[u8], max_bytes: usize) -> Result<Option<(Request, usize)>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(&input[..input.len().min(max_bytes)]) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if input.len() < max_bytes => return Ok(None),
        Ok(httparse::Status::Partial) => return refuse(431, "request head too large"),
        Err(httparse::Error::TooManyHeaders) => return refuse(431, "too many headers"),
        Err(_) => return refuse(400, "request head malformed"),
    };
    let minor_version = head.version.unwrap_or(1);
    let (mut keep_alive, mut host_count, mut bearer, mut range) = (minor_version == 1, 0, None, None);
    let mut if_none_match = None;
    for header in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value).map(str::trim) else {
            return refuse(400, "header value is not text");
        };
        match header.name.to_ascii_lowercase().as_str() {
            "host" => host_count += 1,
            "connection" if list_contains(value, "close") => keep_alive = false,
            "connection" if minor_version == 0 && list_contains(value, "keep-alive") => keep_alive = true,
            "content-length" if value == "0" => {}
            "content-length" | "transfer-encoding" => return refuse(413, "requests have no body here"),
            "range" => range = parse_range(value),
            "if-none-match" => if_none_match = Some(value.to_string()).filter(|v| v.len() <= MAX_ETAG_BYTES),
            "authorization" => {
                if let Some((scheme, token)) = value.split_once(' ') {
                    let token = token.trim().to_string();
                    bearer = scheme.eq_ignore_ascii_case("bearer").then_some(token);
                }
            }
            _ => {}
        }
    }
    if minor_version == 1 && host_count != 1 {
        return refuse(400, "exactly one Host header is wanted");
    }
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    Ok(Some((
        Request { method: method.into(), target: target.into(), keep_alive, bearer, range, if_none_match },
        size,
    )))
}

/// Whether a comma-separated header value contains this word, in any case.
fn list_contains(list: &str, word: &str) -> bool {
    list.split(',').any(|part| part.trim().eq_ignore_ascii_case(word))
}

/// The reason phrase of a status line (RFC 9112, section 4).
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        206 => "Partial Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        416 => "Range Not Satisfiable",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// Writes a response's head. `headers` are further header lines without line ends; where none of them is
/// `Cache-Control`, the response may not be cached.
pub fn write_response_head(
    out: &mut Vec<u8>,
    status: u16,
    length: u64,
    keep_alive: bool,
    headers: &[String],
) {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nConnection: {connection}\r\n", reason_phrase(status));
    // Responses 204 and 304 have no body, so `length` is not written: `Content-Length` is forbidden in a 204, and in a 304
    // it would state the length of the corresponding 200 response (RFC 9110, section 8.6).
    if status != 304 && status != 204 {
        let _ = write!(out, "Content-Length: {length}\r\n");
    }
    if !headers.iter().any(|line| line.starts_with("Cache-Control:")) {
        out.extend_from_slice(b"Cache-Control: no-store\r\n");
    }
    // Players in browsers run in the portal's pages. Access depends on the token, not on the origin.
    let _ = write!(out, "Access-Control-Allow-Origin: *\r\nAccess-Control-Expose-Headers: *\r\n");
    headers.iter().for_each(|line| {
        let _ = write!(out, "{line}\r\n");
    });
    out.extend_from_slice(b"\r\n");
}

/// How a response's body is framed (RFC 9112, section 6.3).
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    /// This many bytes.
    Length(u64),
    /// Chunks, and the state of their decoding.
    Chunked(Chunks),
}

/// The head of a media server's response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub keep_alive: bool,
    pub body: Body,
    /// The value of its load report's header, not parsed.
    pub load_report: Option<String>,
    /// `Content-Range` of a partial response: first and last byte, both included, and the length of the whole.
    pub range: Option<(u64, u64, u64)>,
    /// `ETag` (RFC 9110, section 8.8.3).
    pub etag: Option<String>,
}

/// Why a media server's response can't be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    #[error("response head longer than {MAX_RESPONSE_HEAD_BYTES} bytes")]
    TooLong,
    #[error("response head malformed: {0}")]
    Malformed(String),
    #[error("response has neither Content-Length nor a chunked body")]
    NoLength,
    #[error("malformed chunk in the response's body")]
    Chunk,
    #[error("line of notes longer than {0} bytes")]
    Line(usize),
}

/// Parses a media server's response head. Returns the head and its length in bytes, or none while it is incomplete.
pub fn parse_response(input: &[u8]) -> Result<Option<(Response, usize)>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(&input[..input.len().min(MAX_RESPONSE_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if input.len() < MAX_RESPONSE_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::TooLong),
        Err(e) => return Err(ResponseError::Malformed(e.to_string())),
    };
    let status = head.code.unwrap_or(0);
    let (mut length, mut chunked, mut load_report, mut range) = (None, false, None, None);
    let mut etag = None;
    let mut keep_alive = head.version == Some(1);
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        let value = value.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let n = value.parse().map_err(|_| ResponseError::Malformed("Content-Length".into()))?;
                if length.is_some_and(|l| l != n) {
                    return Err(ResponseError::Malformed("two different Content-Length headers".into()));
                }
                length = Some(n);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => chunked = true,
            "transfer-encoding" => return Err(ResponseError::Malformed("Transfer-Encoding".into())),
            "connection" if list_contains(value, "close") => keep_alive = false,
            "content-range" => {
                range =
                    Some(parse_content_range(value).ok_or(ResponseError::Malformed("Content-Range".into()))?);
            }
            "etag" if (2..=MAX_ETAG_BYTES).contains(&value.len()) => etag = Some(value.to_string()),
            pulleystair_orca::HEADER => load_report = Some(value.to_string()),
            _ => {}
        }
    }
    let body = match (chunked, length) {
        (true, None) => Body::Chunked(Chunks::default()),
        (true, Some(_)) => {
            return Err(ResponseError::Malformed("both Content-Length and a chunked body".into()));
        }
        (false, _) if status == 204 || status == 304 => Body::Length(0),
        (false, Some(n)) => Body::Length(n),
        (false, None) => return Err(ResponseError::NoLength),
    };
    Ok(Some((Response { status, keep_alive, body, load_report, range, etag }, size)))
}

/// Parses `Content-Range`: `bytes FIRST-LAST/LENGTH` (RFC 9110, section 14.4).
fn parse_content_range(value: &str) -> Option<(u64, u64, u64)> {
    let (part, whole) = value.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = part.split_once('-')?;
    let (first, last, whole) = (first.parse().ok()?, last.parse().ok()?, whole.parse().ok()?);
    (first <= last && last < whole).then_some((first, last, whole))
}

/// Parses `Range`: one `bytes=FIRST-` or `bytes=FIRST-LAST` (RFC 9110, section 14.1.2). Other forms give none: the
/// whole is a valid response to them.
pub fn parse_range(value: &str) -> Option<(u64, Option<u64>)> {
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let digits = |text: &str| text.len() <= 15 && text.bytes().all(|b| b.is_ascii_digit());
    let first: u64 = first.parse().ok().filter(|_| digits(first))?;
    if last.is_empty() {
        return Some((first, None));
    }
    let last: u64 = last.parse().ok().filter(|_| digits(last))?;
    (first <= last).then_some((first, Some(last)))
}

/// The state of decoding a chunked body (RFC 9112, section 7.1).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Chunks {
    /// Bytes of the current chunk still to come, its line end included.
    bytes_left: u64,
    is_last_chunk: bool,
}

impl Chunks {
    /// Decodes as much of `input` as is possible to `out`, and removes it from `input`. Returns true once the body
    /// has ended.
    pub fn decode(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<bool, ResponseError> {
        let mut position = 0;
        let has_ended = loop {
            let rest = &input[position..];
            if self.bytes_left > 2 {
                let n = rest.len().min((self.bytes_left - 2) as usize);
                out.extend_from_slice(&rest[..n]);
                (position, self.bytes_left) = (position + n, self.bytes_left - n as u64);
                if self.bytes_left > 2 {
                    break false;
                }
                continue;
            }
            if self.bytes_left == 2 {
                match rest {
                    [b'\r', b'\n', ..] => (position, self.bytes_left) = (position + 2, 0),
                    [] | [b'\r'] => break false,
                    _ => return Err(ResponseError::Chunk),
                }
                if self.is_last_chunk {
                    break true;
                }
                continue;
            }
            match httparse::parse_chunk_size(&rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)]) {
                Ok(httparse::Status::Complete((used, size))) => {
                    (position, self.is_last_chunk) = (position + used, size == 0);
                    self.bytes_left = size.checked_add(2).ok_or(ResponseError::Chunk)?;
                }
                Ok(httparse::Status::Partial) if rest.len() < MAX_CHUNK_LINE_BYTES => break false,
                _ => return Err(ResponseError::Chunk),
            }
        };
        input.drain(..position);
        Ok(has_ended)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const VALID_REQUEST: &str =
        "GET /s/p/0/1.m4s HTTP/1.1\r\nHost: f\r\nAuthorization: bearer a.b.c\r\n\r\nGET";

    #[test]
    fn a_request_head_is_parsed_only_once_complete() {
        let size = VALID_REQUEST.len() - 3;
        for cut in 0..size {
            assert_eq!(parse_request(&VALID_REQUEST.as_bytes()[..cut], 8192), Ok(None), "split at {cut}");
        }
        let (request, used) = parse_request(VALID_REQUEST.as_bytes(), 8192).unwrap().unwrap();
        assert_eq!((used, request.target.as_str(), request.keep_alive), (size, "/s/p/0/1.m4s", true));
        assert_eq!(request.bearer.as_deref(), Some("a.b.c"));
    }

    #[test_case("GET / HTTP/1.1\r\n\r\n", 400; "no host")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400; "two hosts")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", 413; "a body")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 413; "chunks")]
    #[test_case("GET\r\n\r\n", 400; "no target")]
    #[test_case("\u{1}\u{2}\u{3}", 400; "no text")]
    fn a_malformed_request_is_refused(text: &str, status: u16) {
        assert_eq!(parse_request(text.as_bytes(), 8192).unwrap_err().status, status);
    }

    #[test]
    fn heads_beyond_a_limit_are_refused() {
        let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(9000));
        assert_eq!(parse_request(long.as_bytes(), 8192).unwrap_err().status, 431);
        let many = format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: y\r\n".repeat(70));
        assert_eq!(parse_request(many.as_bytes(), 8192).unwrap_err().status, 431);
        let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(20_000));
        assert_eq!(parse_response(long.as_bytes()), Err(ResponseError::TooLong));
    }

    #[test]
    fn a_chunked_body_is_decoded_wherever_its_bytes_are_split() {
        let body = b"4\r\nabcd\r\nA;x=y\r\n0123456789\r\n0\r\n\r\nnext";
        for cut in 0..body.len() {
            let (mut chunks, mut input, mut out) = (Chunks::default(), body[..cut].to_vec(), Vec::new());
            let mut has_ended = chunks.decode(&mut input, &mut out).unwrap();
            input.extend_from_slice(&body[cut..]);
            has_ended |= !has_ended && chunks.decode(&mut input, &mut out).unwrap();
            assert_eq!((has_ended, out.as_slice()), (true, b"abcd0123456789".as_slice()), "split at {cut}");
            assert_eq!(input, b"next", "split at {cut}");
        }
    }

    #[test_case("HTTP/1.1 200 OK\r\n\r\n"; "no length")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"; "two lengths")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"; "below zero")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"; "both framings")]
    #[test_case("SMTP ready\r\n\r\n"; "another protocol")]
    fn a_malformed_response_is_an_error(text: &str) {
        assert!(parse_response(text.as_bytes()).is_err());
    }

    #[test_case("bytes=0-99", Some((0, Some(99))); "first and last")]
    #[test_case("bytes=100-", Some((100, None)); "from there on")]
    #[test_case("bytes=9-3", None; "backwards")]
    #[test_case("bytes=-500", None; "the last ones")]
    #[test_case("bytes=0-1,5-6", None; "several")]
    #[test_case("bytes=+1-2", None; "a sign")]
    #[test_case("bytes=99999999999999999999-", None; "too large")]
    #[test_case("lines=1-2", None; "another unit")]
    fn only_a_single_forward_range_is_parsed(value: &str, range: Option<(u64, Option<u64>)>) {
        assert_eq!(parse_range(value), range);
    }

    #[test_case("zz\r\n"; "no size")]
    #[test_case("FFFFFFFFFFFFFFFF\r\n"; "too large")]
    #[test_case("1\r\nabc"; "longer than its size")]
    fn a_malformed_chunk_is_an_error(text: &str) {
        let (mut input, mut out) = (text.as_bytes().to_vec(), Vec::new());
        assert!(Chunks::default().decode(&mut input, &mut out).is_err());
    }
}
