//! HTTP/1.1 (RFC 9112) as a front needs it, without I/O: heads are read from what has come in, answers are
//! written to a buffer. Every size is bounded by the caller or here.

use std::io::Write;

/// Headers of one message at most.
const MOST_HEADERS: usize = 64;
/// A media server's answer head, and a line of chunk size, at most.
pub const ANSWER_HEAD: usize = 16 << 10;
const CHUNK_LINE: usize = 256;
/// A validator at most; a longer one is as none.
const TAG: usize = 256;

/// A player's request, its head read.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub keep_alive: bool,
    pub bearer: Option<String>,
    pub range: Option<(u64, Option<u64>)>,
    /// `If-None-Match`, as it came (RFC 9110, section 13.1.2).
    pub unless: Option<String>,
}

/// Why a request is not taken, and how that is answered.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestError {
    pub status: u16,
    pub why: &'static str,
}

fn refuse<T>(status: u16, why: &'static str) -> Result<T, RequestError> {
    Err(RequestError { status, why })
}

/// Reads a request's head of `most` bytes at most, and tells how long it was; none while more must come.
pub fn parse_request(input: &[u8], most: usize) -> Result<Option<(Request, usize)>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let size = match head.parse(&input[..input.len().min(most)]) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if input.len() < most => return Ok(None),
        Ok(httparse::Status::Partial) => return refuse(431, "request head too large"),
        Err(httparse::Error::TooManyHeaders) => return refuse(431, "too many headers"),
        Err(_) => return refuse(400, "request head malformed"),
    };
    let minor = head.version.unwrap_or(1);
    let (mut keep_alive, mut hosts, mut bearer, mut part) = (minor == 1, 0, None, None);
    let mut unless = None;
    for header in head.headers.iter() {
        let Ok(value) = std::str::from_utf8(header.value).map(str::trim) else {
            return refuse(400, "header value is not text");
        };
        match header.name.to_ascii_lowercase().as_str() {
            "host" => hosts += 1,
            "connection" if has(value, "close") => keep_alive = false,
            "connection" if minor == 0 && has(value, "keep-alive") => keep_alive = true,
            "content-length" if value == "0" => {}
            "content-length" | "transfer-encoding" => return refuse(413, "requests have no body here"),
            "range" => part = parse_range(value),
            "if-none-match" => unless = Some(value.to_string()).filter(|v| v.len() <= TAG),
            "authorization" => {
                if let Some((scheme, token)) = value.split_once(' ') {
                    let token = token.trim().to_string();
                    bearer = scheme.eq_ignore_ascii_case("bearer").then_some(token);
                }
            }
            _ => {}
        }
    }
    if minor == 1 && hosts != 1 {
        return refuse(400, "exactly one Host header is wanted");
    }
    let (method, target) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    Ok(Some((
        Request { method: method.into(), target: target.into(), keep_alive, bearer, range: part, unless },
        size,
    )))
}

fn has(list: &str, word: &str) -> bool {
    list.split(',').any(|part| part.trim().eq_ignore_ascii_case(word))
}

pub fn reason(status: u16) -> &'static str {
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

/// Writes an answer's head. `more` are whole header lines; where none of them says how long it may be kept, it may
/// not be.
pub fn write_response_head(out: &mut Vec<u8>, status: u16, length: u64, keep_alive: bool, more: &[String]) {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nConnection: {connection}\r\n", reason(status));
    // Neither has a body, and a length would be that of another answer (RFC 9110, section 8.6).
    if status != 304 && status != 204 {
        let _ = write!(out, "Content-Length: {length}\r\n");
    }
    if !more.iter().any(|line| line.starts_with("Cache-Control:")) {
        out.extend_from_slice(b"Cache-Control: no-store\r\n");
    }
    // Players in browsers come from the portal's pages; the token, not the origin, is what opens anything.
    let _ = write!(out, "Access-Control-Allow-Origin: *\r\nAccess-Control-Expose-Headers: *\r\n");
    more.iter().for_each(|line| {
        let _ = write!(out, "{line}\r\n");
    });
    out.extend_from_slice(b"\r\n");
}

/// How an answer's body is framed (RFC 9112, section 6.3).
#[derive(Debug, PartialEq, Eq)]
pub enum Body {
    Length(u64),
    Chunked(Chunks),
}

/// A media server's answer, its head read.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub keep_alive: bool,
    pub body: Body,
    /// The value of its load report.
    pub load: Option<String>,
    /// First and last byte, and the whole's length, of a partial answer.
    pub range: Option<(u64, u64, u64)>,
    /// `ETag` (RFC 9110, section 8.8.3).
    pub tag: Option<String>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    #[error("answer head over {ANSWER_HEAD} bytes")]
    TooLong,
    #[error("answer head malformed: {0}")]
    Malformed(String),
    #[error("answer has no length: neither Content-Length nor chunks")]
    NoLength,
    #[error("chunk malformed")]
    Chunk,
    #[error("line of notes over {0} bytes")]
    Line(usize),
}

/// Reads an answer's head, and tells how long it was; none while more must come.
pub fn parse_response(input: &[u8]) -> Result<Option<(Response, usize)>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head.parse(&input[..input.len().min(ANSWER_HEAD)]) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) if input.len() < ANSWER_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) => return Err(ResponseError::TooLong),
        Err(e) => return Err(ResponseError::Malformed(e.to_string())),
    };
    let status = head.code.unwrap_or(0);
    let (mut length, mut chunked, mut load, mut range) = (None, false, None, None);
    let mut tag = None;
    let mut keep_alive = head.version == Some(1);
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value);
        let value = value.trim();
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let n = value.parse().map_err(|_| ResponseError::Malformed("Content-Length".into()))?;
                if length.is_some_and(|l| l != n) {
                    return Err(ResponseError::Malformed("two lengths".into()));
                }
                length = Some(n);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => chunked = true,
            "transfer-encoding" => return Err(ResponseError::Malformed("Transfer-Encoding".into())),
            "connection" if has(value, "close") => keep_alive = false,
            "content-range" => {
                range = Some(content_range(value).ok_or(ResponseError::Malformed("Content-Range".into()))?);
            }
            "etag" if (2..=TAG).contains(&value.len()) => tag = Some(value.to_string()),
            pulleystair_orca::HEADER => load = Some(value.to_string()),
            _ => {}
        }
    }
    let body = match (chunked, length) {
        (true, None) => Body::Chunked(Chunks::default()),
        (true, Some(_)) => return Err(ResponseError::Malformed("both a length and chunks".into())),
        (false, _) if status == 204 || status == 304 => Body::Length(0),
        (false, Some(n)) => Body::Length(n),
        (false, None) => return Err(ResponseError::NoLength),
    };
    Ok(Some((Response { status, keep_alive, body, load, range, tag }, size)))
}

/// `bytes FIRST-LAST/LENGTH` (RFC 9110, section 14.4).
fn content_range(value: &str) -> Option<(u64, u64, u64)> {
    let (part, whole) = value.strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = part.split_once('-')?;
    let (first, last, whole) = (first.parse().ok()?, last.parse().ok()?, whole.parse().ok()?);
    (first <= last && last < whole).then_some((first, last, whole))
}

/// One `bytes=FIRST-` or `bytes=FIRST-LAST` (RFC 9110, section 14.1.2). Other forms are not served in parts: the
/// whole is a right answer to them.
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

/// Takes chunked bodies apart (RFC 9112, section 7.1).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Chunks {
    /// Bytes of the present chunk still to come, its line end included.
    left: u64,
    last: bool,
}

impl Chunks {
    /// Moves what is whole from `input` to `out`; true once the body has ended.
    pub fn feed(&mut self, input: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<bool, ResponseError> {
        let mut at = 0;
        let ended = loop {
            let rest = &input[at..];
            if self.left > 2 {
                let n = rest.len().min((self.left - 2) as usize);
                out.extend_from_slice(&rest[..n]);
                (at, self.left) = (at + n, self.left - n as u64);
                if self.left > 2 {
                    break false;
                }
                continue;
            }
            if self.left == 2 {
                match rest {
                    [b'\r', b'\n', ..] => (at, self.left) = (at + 2, 0),
                    [] | [b'\r'] => break false,
                    _ => return Err(ResponseError::Chunk),
                }
                if self.last {
                    break true;
                }
                continue;
            }
            match httparse::parse_chunk_size(&rest[..rest.len().min(CHUNK_LINE)]) {
                Ok(httparse::Status::Complete((used, size))) => {
                    (at, self.last) = (at + used, size == 0);
                    self.left = size.checked_add(2).ok_or(ResponseError::Chunk)?;
                }
                Ok(httparse::Status::Partial) if rest.len() < CHUNK_LINE => break false,
                _ => return Err(ResponseError::Chunk),
            }
        };
        input.drain(..at);
        Ok(ended)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const GOOD: &str = "GET /s/p/0/1.m4s HTTP/1.1\r\nHost: f\r\nAuthorization: bearer a.b.c\r\n\r\nGET";

    #[test]
    fn a_request_is_read_whole_wherever_it_is_cut() {
        let size = GOOD.len() - 3;
        for cut in 0..size {
            assert_eq!(parse_request(&GOOD.as_bytes()[..cut], 8192), Ok(None), "cut at {cut}");
        }
        let (request, used) = parse_request(GOOD.as_bytes(), 8192).unwrap().unwrap();
        assert_eq!((used, request.target.as_str(), request.keep_alive), (size, "/s/p/0/1.m4s", true));
        assert_eq!(request.bearer.as_deref(), Some("a.b.c"));
    }

    #[test_case("GET / HTTP/1.1\r\n\r\n", 400; "no host")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400; "two hosts")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", 413; "a body")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 413; "chunks")]
    #[test_case("GET\r\n\r\n", 400; "no target")]
    #[test_case("\u{1}\u{2}\u{3}", 400; "no text")]
    fn a_bad_request_is_refused(text: &str, status: u16) {
        assert_eq!(parse_request(text.as_bytes(), 8192).unwrap_err().status, status);
    }

    #[test]
    fn heads_are_bounded() {
        let long = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(9000));
        assert_eq!(parse_request(long.as_bytes(), 8192).unwrap_err().status, 431);
        let many = format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: y\r\n".repeat(70));
        assert_eq!(parse_request(many.as_bytes(), 8192).unwrap_err().status, 431);
        let long = format!("HTTP/1.1 200 OK\r\nX: {}\r\n\r\n", "x".repeat(20_000));
        assert_eq!(parse_response(long.as_bytes()), Err(ResponseError::TooLong));
    }

    #[test]
    fn chunks_come_out_whole_wherever_they_are_cut() {
        let body = b"4\r\nabcd\r\nA;x=y\r\n0123456789\r\n0\r\n\r\nnext";
        for cut in 0..body.len() {
            let (mut chunks, mut input, mut out) = (Chunks::default(), body[..cut].to_vec(), Vec::new());
            let mut ended = chunks.feed(&mut input, &mut out).unwrap();
            input.extend_from_slice(&body[cut..]);
            ended |= !ended && chunks.feed(&mut input, &mut out).unwrap();
            assert_eq!((ended, out.as_slice()), (true, b"abcd0123456789".as_slice()), "cut at {cut}");
            assert_eq!(input, b"next", "cut at {cut}");
        }
    }

    #[test_case("HTTP/1.1 200 OK\r\n\r\n"; "no length")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"; "two lengths")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"; "below zero")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"; "both framings")]
    #[test_case("SMTP ready\r\n\r\n"; "another protocol")]
    fn a_bad_answer_is_told_apart(text: &str) {
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
    fn ranges_that_are_served_in_parts(value: &str, part: Option<(u64, Option<u64>)>) {
        assert_eq!(parse_range(value), part);
    }

    #[test_case("zz\r\n"; "no size")]
    #[test_case("FFFFFFFFFFFFFFFF\r\n"; "too large")]
    #[test_case("1\r\nabc"; "longer than told")]
    fn a_bad_chunk_is_an_error(text: &str) {
        let (mut input, mut out) = (text.as_bytes().to_vec(), Vec::new());
        assert!(Chunks::default().feed(&mut input, &mut out).is_err());
    }
}
