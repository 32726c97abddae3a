//! Segments made on the fly: a line that says what the segment is, then bytes that only this one has.

use pulleystair_rule_checker::Content;

const MARK: &str = "pulleystair-segment";

/// The segment's bytes, `length` of them, or as many as its first line needs.
pub fn generate(title: &str, rung: usize, number: u64, length: usize) -> Vec<u8> {
    let mut out = format!("{MARK} {title} {rung} {number} {length}\n").into_bytes();
    let mut word = seed(title, rung, number);
    out.reserve(length.saturating_sub(out.len()) + 8);
    while out.len() < length {
        word = step(word);
        out.extend_from_slice(&word.to_le_bytes());
    }
    out.truncate(length.max(out.iter().position(|b| *b == b'\n').map_or(0, |n| n + 1)));
    out
}

/// What a segment says that it is, and whether its bytes are so; none where it says nothing.
pub fn parse(bytes: &[u8]) -> Option<Content> {
    let end = bytes.iter().take(256).position(|b| *b == b'\n')?;
    let line = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut parts = line.split(' ');
    if parts.next()? != MARK {
        return None;
    }
    let title = parts.next()?.to_string();
    let (rung, number) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let length: usize = parts.next()?.parse().ok()?;
    let intact = length.max(end + 1) == bytes.len() && generate(&title, rung, number, length) == bytes;
    Some(Content { title, number, rung, intact })
}

fn seed(title: &str, rung: usize, number: u64) -> u64 {
    let start = (number << 8 | rung as u64) ^ 0x9e37_79b9_7f4a_7c15;
    title.bytes().fold(start, |word, byte| step(word ^ u64::from(byte)))
}

fn step(word: u64) -> u64 {
    let word = word.wrapping_mul(0x2545_f491_4f6c_dd1d).wrapping_add(0x1405_7b7e_f767_814f);
    word ^ (word >> 29)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_segment_is_known_again_and_damage_is_seen() {
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
        assert!(!parse(&bad).unwrap().intact, "cut short");
        assert_ne!(generate("forms", 2, 17, 1000)[100..], generate("forms", 2, 18, 1000)[100..]);
        assert_eq!(parse(b"something else\n"), None);
    }
}
