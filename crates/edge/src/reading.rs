//! A segment's read through all its tries: what is asked for, and whether an answer fits what was already given
//! to the player. What becomes of one that failed is decided by [`pulleystair_admission::reads`].

use crate::http::{Answer, Body};
use pulleystair_admission::reads::{Fault, Read};

#[derive(Clone, Debug)]
pub struct Reading {
    pub target: String,
    /// The part that the player wants: first byte and, where told, last.
    pub part: Option<(u64, Option<u64>)>,
    pub tries: usize,
    pub until: f64,
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
}

impl Reading {
    pub fn new(target: String, part: Option<(u64, Option<u64>)>, until: f64) -> Reading {
        Reading { target, part, tries: 1, until, span: None, next: 0 }
    }

    /// The `Range` header of the next try, with its line end; none where all is asked for.
    pub fn range(&self) -> String {
        match (self.span, self.part) {
            (Some((_, end)), _) if self.next > 0 => format!("Range: bytes={}-{}\r\n", self.next, end - 1),
            (None, Some((first, Some(last)))) => format!("Range: bytes={first}-{last}\r\n"),
            (None, Some((first, None))) => format!("Range: bytes={first}-\r\n"),
            _ => String::new(),
        }
    }

    /// What the decision on a failure needs.
    pub fn so_far(&self) -> Read {
        let given = self.span.map(|(first, _)| self.next - first);
        Read { tries: self.tries, until: self.until, given }
    }

    /// So many good bytes have gone to the player.
    pub fn gave(&mut self, bytes: u64) {
        self.next += bytes;
    }

    /// Takes an answer's head: the player's head at the first, nothing more at a later one that fits.
    pub fn head(&mut self, answer: &Answer) -> Result<Option<Head>, Fault> {
        let Body::Length(length) = answer.body else { return Err(Fault::Malformed) };
        if !matches!(answer.status, 200 | 206) {
            return Err(Fault::Status(answer.status));
        }
        let first = match (answer.status, answer.range) {
            (200, _) => 0,
            (_, Some((first, last, _))) if last.checked_sub(first) == length.checked_sub(1) => first,
            _ => return Err(Fault::Malformed),
        };
        match self.span {
            None => {
                let wanted = self.part.map_or(0, |p| p.0);
                if answer.status == 206 && (self.part.is_none() || first != wanted) {
                    return Err(Fault::Malformed);
                }
                self.span = Some((first, first + length));
                self.next = first;
                let range = answer.range.filter(|_| answer.status == 206);
                Ok(Some(Head { status: answer.status, length, range }))
            }
            Some((_, end)) if first == self.next && first + length == end => Ok(None),
            Some(_) => Err(Fault::Length),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn answer(status: u16, length: u64, range: Option<(u64, u64, u64)>) -> Answer {
        Answer { status, keep_alive: true, body: Body::Length(length), load: None, range }
    }

    #[test_case(200, 1000, None, Ok(Some(Head { status: 200, length: 1000, range: None })); "whole")]
    #[test_case(404, 0, None, Err(Fault::Status(404)); "not there")]
    #[test_case(206, 10, Some((0, 9, 1000)), Err(Fault::Malformed); "a part nobody asked for")]
    fn a_first_answer(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<Head>, Fault>,
    ) {
        assert_eq!(Reading::new("/x".into(), None, 0.0).head(&answer(status, length, range)), head);
    }

    #[test_case(206, 700, Some((300, 999, 1000)), Ok(None); "the rest")]
    #[test_case(200, 1000, None, Err(Fault::Length); "all of it again")]
    #[test_case(206, 700, Some((299, 998, 1000)), Err(Fault::Length); "from another byte")]
    #[test_case(206, 800, Some((300, 1099, 1100)), Err(Fault::Length); "of a longer one")]
    #[test_case(206, 700, Some((300, 1000, 1000)), Err(Fault::Malformed); "a length that is not its range's")]
    #[test_case(206, 700, None, Err(Fault::Malformed); "a part without a range")]
    fn an_answer_after_300_of_1000_bytes(
        status: u16,
        length: u64,
        range: Option<(u64, u64, u64)>,
        head: Result<Option<Head>, Fault>,
    ) {
        let mut it = Reading::new("/x".into(), None, 0.0);
        it.head(&answer(200, 1000, None)).unwrap();
        it.gave(300);
        assert_eq!(it.range(), "Range: bytes=300-999\r\n");
        assert_eq!(it.so_far().given, Some(300));
        assert_eq!(it.head(&answer(status, length, range)), head);
    }

    #[test]
    fn a_part_is_read_on_within_itself() {
        let mut it = Reading::new("/x".into(), Some((100, Some(199))), 0.0);
        assert_eq!(it.range(), "Range: bytes=100-199\r\n");
        let head = it.head(&answer(206, 100, Some((100, 199, 1000)))).unwrap().unwrap();
        assert_eq!(head.range, Some((100, 199, 1000)));
        it.gave(50);
        assert_eq!(it.range(), "Range: bytes=150-199\r\n");
        assert_eq!(it.head(&answer(206, 50, Some((150, 199, 1000)))), Ok(None));
    }
}
