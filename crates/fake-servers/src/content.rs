//! Segments generated on the fly: a first line that identifies the segment, followed by bytes that are specific to it.
//! The fake servers generate them, and the players of the lab verify them.

use pulleystair_rule_checker::Content;

/// First word of a segment's first line.
const HEADER_TAG: &str = "pulleystair-segment";

/// Generates the bytes of a segment: `length` of them, or as many as its first line needs if that is more.
pub fn generate(title: &str, rung: usize, number: u64, length: usize) -> Vec<u8> {
    let mut bytes = format!("{HEADER_TAG} {title} {rung} {number} {length}\n").into_bytes();
    let mut state = initial_state(title, rung, number);
    bytes.reserve(length.saturating_sub(bytes.len()) + 8);
    while bytes.len() < length {
        state = next_state(state);
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(length.max(bytes.iter().position(|b| *b == b'\n').map_or(0, |n| n + 1)));
    bytes
}

/// Reads the identification of a segment and verifies its bytes. None if the first line does not identify a segment.
pub fn parse(bytes: &[u8]) -> Option<Content> {
    let line_end = bytes.iter().take(256).position(|b| *b == b'\n')?;
    let line = std::str::from_utf8(&bytes[..line_end]).ok()?;
    let mut fields = line.split(' ');
    if fields.next()? != HEADER_TAG {
        return None;
    }
    let title = fields.next()?.to_string();
    let (rung, number) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    let length: usize = fields.next()?.parse().ok()?;
    let intact = length.max(line_end + 1) == bytes.len() && generate(&title, rung, number, length) == bytes;
    Some(Content { title, number, rung, intact })
}

/// Initial state of the pseudorandom bytes of a segment.
fn initial_state(title: &str, rung: usize, number: u64) -> u64 {
    let numbers = (number << 8 | rung as u64) ^ 0x9e37_79b9_7f4a_7c15;
    title.bytes().fold(numbers, |state, byte| next_state(state ^ u64::from(byte)))
}

/// Next state of the pseudorandom bytes: a multiplication, an addition and a shift.
fn next_state(state: u64) -> u64 {
    let state = state.wrapping_mul(0x2545_f491_4f6c_dd1d).wrapping_add(0x1405_7b7e_f767_814f);
    state ^ (state >> 29)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_identifies_segments_detects_damage_and_rejects_other_bytes() {
        for length in [0, 40, 1000, 100_001] {
            let good = generate("forms", 2, 17, length);
            let read_back = parse(&good).unwrap();
            assert_eq!((read_back.title.as_str(), read_back.rung, read_back.number), ("forms", 2, 17));
            assert!(read_back.intact);
        }
        let mut bad = generate("forms", 2, 17, 1000);
        bad[700] ^= 1;
        assert!(!parse(&bad).unwrap().intact);
        bad.truncate(900);
        assert!(!parse(&bad).unwrap().intact, "truncated");
        assert_ne!(generate("forms", 2, 17, 1000)[100..], generate("forms", 2, 18, 1000)[100..]);
        assert_eq!(parse(b"something else\n"), None);
    }
}
