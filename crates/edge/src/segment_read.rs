//! A segment's read through all its tries: what is asked for, and whether an answer fits what was already given
//! to the player. What becomes of one that failed is decided by [`pulleystair_admission::read_retries`].

use crate::http::{Body, Response};
use pulleystair_admission::read_retries::{ReadError, ReadProgress};

#[derive(Clone, Debug)]
pub struct SegmentRead {
    pub target: String,
    /// The part that the player wants: first byte and, where told, last.
    pub part: Option<(u64, Option<u64>)>,
    /// Only the head is wanted.
    pub bare: bool,
    /// What the player has already, as it says.
    pub unless: Option<String>,
    pub tries: usize,
    pub until: f64,
    /// What the server calls the bytes that are being answered.
    tag: Option<String>,
    /// The bytes being answered, first and one past the last, once the player has a head.
    span: Option<(u64, u64)>,
    /// The next of them to come.
    next: u64,
}

/// The head that a player is to be given.
#[derive(Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    pub length: u64,
    /// First and last byte, and the whole's length, of a partial answer (RFC 9110, section 14.4).
    pub range: Option<(u64, u64, u64)>,
    pub tag: Option<String>,
}

impl SegmentRead {
    pub fn new(target: String, part: Option<(u64, Option<u64>)>, until: f64) -> SegmentRead {
        SegmentRead {
            target,
            part,
            bare: false,
            unless: None,
            tries: 1,
            until,
            tag: None,
            span: None,
            next: 0,
        }
    }

    pub fn method(&self) -> &'static str {
        if self.bare { "HEAD" } else { "GET" }
    }

    /// The headers of the next try that tell what is wanted, each with its line end. The rest of an answer is asked
    /// for only if it is still the rest of the same bytes (`If-Range`, RFC 9110, section 13.1.5).
    pub fn headers(&self) -> String {
        let mut out = match (self.span, self.part) {
            (Some((_, end)), _) if self.next > 0 => format!("Range: bytes={}-{}\r\n", self.next, end - 1),
            (None, Some((first, Some(last)))) => format!("Range: bytes={first}-{last}\r\n"),
            (None, Some((first, None))) => format!("Range: bytes={first}-\r\n"),
            _ => String::new(),
        };
        if self.span.is_none() {
            out.extend(self.unless.iter().map(|tag| format!("If-None-Match: {tag}\r\n")));
        } else if !out.is_empty() {
            // A weak one does not tell that the bytes are the same.
            let strong = self.tag.iter().filter(|tag| !tag.starts_with("W/"));
            out.extend(strong.map(|tag| format!("If-Range: {tag}\r\n")));
        }
        out
    }

    /// Bytes of a body that follow such an answer's head.
    pub fn follows(&self, length: u64) -> u64 {
        if self.bare { 0 } else { length }
    }

    /// What the decision on a failure needs.
    pub fn so_far(&self) -> ReadProgress {
        let given = self.span.map(|(first, _)| self.next - first);
        ReadProgress { tries: self.tries, deadline: self.until, bytes_relayed: given }
    }

    /// So many good bytes have gone to the player.
    pub fn gave(&mut self, bytes: u64) {
        self.next += bytes;
    }

    /// Takes an answer's head: the player's head at the first, nothing more at a later one that fits.
    pub fn head(&mut self, answer: &Response) -> Result<Option<Head>, ReadError> {
        let Body::Length(length) = answer.body else { return Err(ReadError::Malformed) };
        let tag = answer.tag.clone();
        if answer.status == 304 && self.unless.is_some() && self.span.is_none() {
            return Ok(Some(Head { status: 304, length: 0, range: None, tag }));
        }
        if !matches!(answer.status, 200 | 206) {
            return Err(ReadError::Status(answer.status));
        }
        let first = match (answer.status, answer.range) {
            (200, _) => 0,
            (_, Some((first, last, _))) if last.checked_sub(first) == length.checked_sub(1) => first,
            _ => return Err(ReadError::Malformed),
        };
        match self.span {
            None => {
                let wanted = self.part.map_or(0, |p| p.0);
                if answer.status == 206 && (self.part.is_none() || first != wanted) {
                    return Err(ReadError::Malformed);
                }
                self.span = Some((first, first + length));
                self.next = first;
                self.tag = tag.clone();
                let range = answer.range.filter(|_| answer.status == 206);
                Ok(Some(Head { status: answer.status, length, range, tag }))
            }
            Some(_) if self.tag.is_some() && tag.is_some() && tag != self.tag => Err(ReadError::Length),
            Some((_, end)) if first == self.next && first + length == end => Ok(None),
            Some(_) => Err(ReadError::Length),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn answer(status: u16, length: u64, range: Option<(u64, u64, u64)>) -> Response {
        Response { status, keep_alive: true, body: Body::Length(length), load: None, range, tag: None }
    }

    #[test_case(200, 1000, None, Ok(Some(Head { status: 200, length: 1000, range: None, tag: None })); "whole")]
    #[test_case(404, 0, None, Err(ReadError::Status(404)); "not there")]
    #[test_case(206, 10, Some((0, 9, 1000)), Err(ReadError::Malformed); "a part nobody asked for")]
    fn a_first_answer(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<Head>, ReadError>,
    ) {
        assert_eq!(SegmentRead::new("/x".into(), None, 0.0).head(&answer(status, length, range)), head);
    }

    #[test_case(206, 700, Some((300, 999, 1000)), Ok(None); "the rest")]
    #[test_case(200, 1000, None, Err(ReadError::Length); "all of it again")]
    #[test_case(206, 700, Some((299, 998, 1000)), Err(ReadError::Length); "from another byte")]
    #[test_case(206, 800, Some((300, 1099, 1100)), Err(ReadError::Length); "of a longer one")]
    #[test_case(206, 700, Some((300, 1000, 1000)), Err(ReadError::Malformed); "a length that is not its range's")]
    #[test_case(206, 700, None, Err(ReadError::Malformed); "a part without a range")]
    fn an_answer_after_300_of_1000_bytes(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<Head>, ReadError>,
    ) {
        let mut it = SegmentRead::new("/x".into(), None, 0.0);
        it.head(&answer(200, 1000, None)).unwrap();
        it.gave(300);
        assert_eq!(it.headers(), "Range: bytes=300-999\r\n");
        assert_eq!(it.so_far().bytes_relayed, Some(300));
        assert_eq!(it.head(&answer(status, length, range)), head);
    }

    #[test]
    fn bytes_that_are_others_meanwhile_do_not_go_on() {
        let tagged = |status, length, range, tag: &str| Response {
            tag: Some(tag.into()),
            ..answer(status, length, range)
        };
        let mut it = SegmentRead::new("/x".into(), None, 0.0);
        it.unless = Some("\"a\"".into());
        assert_eq!(it.headers(), "If-None-Match: \"a\"\r\n");
        it.head(&tagged(200, 1000, None, "\"b\"")).unwrap();
        it.gave(300);
        assert_eq!(it.headers(), "Range: bytes=300-999\r\nIf-Range: \"b\"\r\n");
        let rest = |tag| tagged(206, 700, Some((300, 999, 1000)), tag);
        assert_eq!(it.clone().head(&rest("\"c\"")), Err(ReadError::Length));
        assert_eq!(it.head(&rest("\"b\"")), Ok(None));
        let mut it = SegmentRead::new("/x".into(), None, 0.0);
        it.head(&tagged(200, 1000, None, "W/\"b\"")).unwrap();
        it.gave(300);
        assert_eq!(it.headers(), "Range: bytes=300-999\r\n", "a weak one says nothing of bytes");
    }

    #[test]
    fn what_the_player_has_is_not_sent_again() {
        let mut it = SegmentRead::new("/x".into(), None, 0.0);
        assert_eq!(it.head(&answer(304, 0, None)), Err(ReadError::Status(304)), "nobody asked");
        it.unless = Some("\"a\"".into());
        assert_eq!(it.head(&answer(304, 0, None)).unwrap().map(|h| h.status), Some(304));
    }

    #[test]
    fn a_part_is_read_on_within_itself() {
        let mut it = SegmentRead::new("/x".into(), Some((100, Some(199))), 0.0);
        assert_eq!(it.headers(), "Range: bytes=100-199\r\n");
        let head = it.head(&answer(206, 100, Some((100, 199, 1000)))).unwrap().unwrap();
        assert_eq!(head.range, Some((100, 199, 1000)));
        it.gave(50);
        assert_eq!(it.headers(), "Range: bytes=150-199\r\n");
        assert_eq!(it.head(&answer(206, 50, Some((150, 199, 1000)))), Ok(None));
    }
}
