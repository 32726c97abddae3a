//! The last list, as bytes to keep over a restart: a line that tells kind, version, checksum and length, then JSON. A front
//! that starts while its sources are away begins with it, as with an old list. Whoever writes it to disk does so beside
//! the old one and renames.

use crate::Server;
use serde::{Deserialize, Serialize};

const KIND: &str = "pulleystair-list";
const VERSION: u32 = 1;
/// The largest that is read, bytes: over a hundred thousand servers.
pub const MOST_BYTES: usize = 64 << 20;
/// The first line at most, bytes.
const LINE: usize = 96;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// When it was taken, ms since 1970, and of which revision.
    pub taken: f64,
    pub revision: u64,
    pub servers: Vec<Server>,
}

/// Why a snapshot is not taken.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("{0} bytes; {MOST_BYTES} at most")]
    TooLarge(usize),
    #[error("is no list of this program's")]
    Kind,
    #[error("version {0}; {VERSION} is read")]
    Version(u32),
    #[error("holds {0} bytes where {1} were written")]
    Length(usize, usize),
    #[error("checksum is {0:08x} where {1:08x} was written")]
    Checksum(u32, u32),
    #[error("is no list: {0}")]
    Json(String),
}

impl Snapshot {
    pub fn write(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).expect("servers are plain values");
        let sum = crc32c::crc32c(&body);
        let mut out = format!("{KIND} {VERSION} {sum:08x} {}\n", body.len()).into_bytes();
        out.extend_from_slice(&body);
        out
    }

    pub fn read(bytes: &[u8]) -> Result<Snapshot, Fault> {
        if bytes.len() > MOST_BYTES {
            return Err(Fault::TooLarge(bytes.len()));
        }
        let end = bytes.iter().take(LINE).position(|b| *b == b'\n').ok_or(Fault::Kind)?;
        let line = std::str::from_utf8(&bytes[..end]).map_err(|_| Fault::Kind)?;
        let mut words = line.split(' ');
        if words.next() != Some(KIND) {
            return Err(Fault::Kind);
        }
        let version = words.next().and_then(|w| w.parse().ok()).ok_or(Fault::Kind)?;
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        let sum = words.next().and_then(|w| u32::from_str_radix(w, 16).ok()).ok_or(Fault::Kind)?;
        let length = words.next().and_then(|w| w.parse().ok()).ok_or(Fault::Kind)?;
        let body = &bytes[end + 1..];
        if body.len() != length {
            return Err(Fault::Length(body.len(), length));
        }
        let found = crc32c::crc32c(body);
        if found != sum {
            return Err(Fault::Checksum(found, sum));
        }
        serde_json::from_slice(body).map_err(|e| Fault::Json(e.to_string()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Standing;

    fn snapshot() -> Snapshot {
        let server = |n: u8| Server {
            name: format!("m{n}"),
            address: ([127, 0, 0, 1], 9000 + u16::from(n)).into(),
            zone: "here".into(),
            kind: "standard".into(),
            cell: n.into(),
            weight: 1.5,
            standing: if n == 1 { Standing::Draining } else { Standing::Ready },
            started: 1_764_600_716_250.5,
        };
        Snapshot { taken: 1_764_600_800_000.0, revision: 77, servers: (0..3).map(server).collect() }
    }

    #[test]
    fn it_reads_as_it_was_written() {
        assert_eq!(Snapshot::read(&snapshot().write()), Ok(snapshot()));
    }

    #[test]
    fn one_that_is_cut_anywhere_is_refused_and_so_is_one_with_a_byte_changed() {
        let whole = snapshot().write();
        for cut in 0..whole.len() {
            assert!(Snapshot::read(&whole[..cut]).is_err(), "cut at {cut}");
            let mut bent = whole.clone();
            bent[cut] ^= 1;
            assert!(Snapshot::read(&bent).is_err(), "bent at {cut}");
        }
        assert!(Snapshot::read(&[whole.as_slice(), b"x"].concat()).is_err());
    }

    #[test]
    fn what_is_not_ours_is_told_apart() {
        assert_eq!(Snapshot::read(b""), Err(Fault::Kind));
        assert_eq!(Snapshot::read(b"{\"servers\":[]}\n"), Err(Fault::Kind));
        let newer = String::from_utf8(snapshot().write()).unwrap().replacen(" 1 ", " 2 ", 1);
        assert_eq!(Snapshot::read(newer.as_bytes()), Err(Fault::Version(2)));
        assert_eq!(Snapshot::read(&vec![b'x'; MOST_BYTES + 1]), Err(Fault::TooLarge(MOST_BYTES + 1)));
    }
}
