//! The read of a segment from its server over all its tries: what is requested, and whether a response continues
//! what was already relayed to the player. Byte ranges are as in HTTP, with the last byte included, unless said
//! otherwise. What happens after a failed try is decided by
//! [`pulleystair_admission::read_retries`].

use crate::http::{Body, Response};
use pulleystair_admission::read_retries::{ReadError, ReadProgress};

/// The read of a segment over all its tries.
#[derive(Clone, Debug)]
pub struct SegmentRead {
    /// The segment's path at its server.
    pub target: String,
    /// The byte range that the player requested: first byte and, where given, last.
    pub requested_range: Option<(u64, Option<u64>)>,
    /// The player sent a HEAD request.
    pub head_only: bool,
    /// The player's `If-None-Match`: the validator of the segment that it already has.
    pub if_none_match: Option<String>,
    /// The number of tries so far, the current one included. A try on a connection that the server had already closed
    /// does not count.
    pub tries: usize,
    /// Until when the player is assumed to wait, ms since 1970; no retry begins later.
    pub deadline: f64,
    /// The server's validator of the bytes that are being relayed.
    etag: Option<String>,
    /// The bytes that are relayed to the player: the first, and the one past the last. Set once a response's head was
    /// accepted.
    relay_span: Option<(u64, u64)>,
    /// The next byte to be relayed.
    next_byte: u64,
}

/// The head of the response to a player.
#[derive(Debug, PartialEq)]
pub struct SegmentHead {
    pub status: u16,
    pub length: u64,
    /// First and last byte, and the length of the whole, of a partial response (RFC 9110, section 14.4).
    pub range: Option<(u64, u64, u64)>,
    /// `ETag` as the server sent it.
    pub etag: Option<String>,
}

impl SegmentRead {
    /// A read before its first try.
    pub fn new(target: String, requested_range: Option<(u64, Option<u64>)>, deadline: f64) -> SegmentRead {
        SegmentRead {
            target,
            requested_range,
            head_only: false,
            if_none_match: None,
            tries: 1,
            deadline,
            etag: None,
            relay_span: None,
            next_byte: 0,
        }
    }

    /// The method of the request to the server.
    pub fn method(&self) -> &'static str {
        if self.head_only { "HEAD" } else { "GET" }
    }

    /// The range and precondition headers of the next try, each with its line end. The rest of a response is
    /// requested only if it is still the rest of the same bytes (`If-Range`, RFC 9110, section 13.1.5).
    pub fn request_headers(&self) -> String {
        let mut out = match (self.relay_span, self.requested_range) {
            (Some((_, end)), _) if self.next_byte > 0 => {
                format!("Range: bytes={}-{}\r\n", self.next_byte, end - 1)
            }
            (None, Some((first, Some(last)))) => format!("Range: bytes={first}-{last}\r\n"),
            (None, Some((first, None))) => format!("Range: bytes={first}-\r\n"),
            _ => String::new(),
        };
        if self.relay_span.is_none() {
            out.extend(self.if_none_match.iter().map(|etag| format!("If-None-Match: {etag}\r\n")));
        } else if !out.is_empty() {
            // A weak validator does not guarantee that the bytes are the same.
            let strong = self.etag.iter().filter(|etag| !etag.starts_with("W/"));
            out.extend(strong.map(|etag| format!("If-Range: {etag}\r\n")));
        }
        out
    }

    /// Bytes of the body that follows a response's head with this `Content-Length`.
    pub fn body_length(&self, length: u64) -> u64 {
        if self.head_only { 0 } else { length }
    }

    /// The progress so far, on which the decision after a failure depends.
    pub fn progress(&self) -> ReadProgress {
        let bytes_relayed = self.relay_span.map(|(first, _)| self.next_byte - first);
        ReadProgress { tries: self.tries, deadline: self.deadline, bytes_relayed }
    }

    /// Records that `bytes` more have been relayed to the player.
    pub fn add_relayed_bytes(&mut self, bytes: u64) {
        self.next_byte += bytes;
    }

    /// Checks the head of a try's response, and records which bytes are relayed. Returns the head for the player, or
    /// none where the player has a head and this response continues it; an error where the response can't be used.
    pub fn accept_response_head(&mut self, response: &Response) -> Result<Option<SegmentHead>, ReadError> {
        let Body::Length(length) = response.body else { return Err(ReadError::Malformed) };
        let etag = response.etag.clone();
        if response.status == 304 && self.if_none_match.is_some() && self.relay_span.is_none() {
            return Ok(Some(SegmentHead { status: 304, length: 0, range: None, etag }));
        }
        if !matches!(response.status, 200 | 206) {
            return Err(ReadError::Status(response.status));
        }
        let first = match (response.status, response.range) {
            (200, _) => 0,
            (_, Some((first, last, _))) if last.checked_sub(first) == length.checked_sub(1) => first,
            _ => return Err(ReadError::Malformed),
        };
        match self.relay_span {
            None => {
                let requested_first = self.requested_range.map_or(0, |p| p.0);
                if response.status == 206 && (self.requested_range.is_none() || first != requested_first) {
                    return Err(ReadError::Malformed);
                }
                self.relay_span = Some((first, first + length));
                self.next_byte = first;
                self.etag = etag.clone();
                let range = response.range.filter(|_| response.status == 206);
                Ok(Some(SegmentHead { status: response.status, length, range, etag }))
            }
            // Another version of the segment, reported as `Length`: its bytes can't follow those already relayed.
            Some(_) if self.etag.is_some() && etag.is_some() && etag != self.etag => Err(ReadError::Length),
            Some((_, end)) if first == self.next_byte && first + length == end => Ok(None),
            Some(_) => Err(ReadError::Length),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn response(status: u16, length: u64, range: Option<(u64, u64, u64)>) -> Response {
        Response {
            status,
            keep_alive: true,
            body: Body::Length(length),
            load_report: None,
            range,
            etag: None,
        }
    }

    #[test_case(200, 1000, None, Ok(Some(SegmentHead { status: 200, length: 1000, range: None, etag: None })); "whole")]
    #[test_case(404, 0, None, Err(ReadError::Status(404)); "not there")]
    #[test_case(206, 10, Some((0, 9, 1000)), Err(ReadError::Malformed); "a range although none was requested")]
    fn the_first_response_gives_the_players_head_or_an_error(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<SegmentHead>, ReadError>,
    ) {
        assert_eq!(
            SegmentRead::new("/x".into(), None, 0.0).accept_response_head(&response(status, length, range)),
            head
        );
    }

    #[test_case(206, 700, Some((300, 999, 1000)), Ok(None); "the rest")]
    #[test_case(200, 1000, None, Err(ReadError::Length); "the whole again")]
    #[test_case(206, 700, Some((299, 998, 1000)), Err(ReadError::Length); "from another byte")]
    #[test_case(206, 800, Some((300, 1099, 1100)), Err(ReadError::Length); "the rest of a longer segment")]
    #[test_case(206, 700, Some((300, 1000, 1000)), Err(ReadError::Malformed); "a length that is not its range's")]
    #[test_case(206, 700, None, Err(ReadError::Malformed); "206 without Content-Range")]
    fn a_retry_after_300_of_1000_bytes_must_be_the_rest(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<SegmentHead>, ReadError>,
    ) {
        let mut segment_read = SegmentRead::new("/x".into(), None, 0.0);
        segment_read.accept_response_head(&response(200, 1000, None)).unwrap();
        segment_read.add_relayed_bytes(300);
        assert_eq!(segment_read.request_headers(), "Range: bytes=300-999\r\n");
        assert_eq!(segment_read.progress().bytes_relayed, Some(300));
        assert_eq!(segment_read.accept_response_head(&response(status, length, range)), head);
    }

    #[test]
    fn a_retry_with_another_etag_is_refused() {
        let tagged = |status, length, range, etag: &str| Response {
            etag: Some(etag.into()),
            ..response(status, length, range)
        };
        let mut segment_read = SegmentRead::new("/x".into(), None, 0.0);
        segment_read.if_none_match = Some("\"a\"".into());
        assert_eq!(segment_read.request_headers(), "If-None-Match: \"a\"\r\n");
        segment_read.accept_response_head(&tagged(200, 1000, None, "\"b\"")).unwrap();
        segment_read.add_relayed_bytes(300);
        assert_eq!(segment_read.request_headers(), "Range: bytes=300-999\r\nIf-Range: \"b\"\r\n");
        let rest = |etag| tagged(206, 700, Some((300, 999, 1000)), etag);
        assert_eq!(segment_read.clone().accept_response_head(&rest("\"c\"")), Err(ReadError::Length));
        assert_eq!(segment_read.accept_response_head(&rest("\"b\"")), Ok(None));
        let mut segment_read = SegmentRead::new("/x".into(), None, 0.0);
        segment_read.accept_response_head(&tagged(200, 1000, None, "W/\"b\"")).unwrap();
        segment_read.add_relayed_bytes(300);
        assert_eq!(
            segment_read.request_headers(),
            "Range: bytes=300-999\r\n",
            "a weak validator does not identify bytes"
        );
    }

    #[test]
    fn a_304_is_accepted_only_after_if_none_match() {
        let mut segment_read = SegmentRead::new("/x".into(), None, 0.0);
        assert_eq!(
            segment_read.accept_response_head(&response(304, 0, None)),
            Err(ReadError::Status(304)),
            "without If-None-Match"
        );
        segment_read.if_none_match = Some("\"a\"".into());
        assert_eq!(
            segment_read.accept_response_head(&response(304, 0, None)).unwrap().map(|h| h.status),
            Some(304)
        );
    }

    #[test]
    fn a_retry_of_a_range_requests_the_rest_of_that_range() {
        let mut segment_read = SegmentRead::new("/x".into(), Some((100, Some(199))), 0.0);
        assert_eq!(segment_read.request_headers(), "Range: bytes=100-199\r\n");
        let head =
            segment_read.accept_response_head(&response(206, 100, Some((100, 199, 1000)))).unwrap().unwrap();
        assert_eq!(head.range, Some((100, 199, 1000)));
        segment_read.add_relayed_bytes(50);
        assert_eq!(segment_read.request_headers(), "Range: bytes=150-199\r\n");
        assert_eq!(segment_read.accept_response_head(&response(206, 50, Some((150, 199, 1000)))), Ok(None));
    }
}
