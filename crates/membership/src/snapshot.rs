//! The last server list as bytes that outlive a restart: a header line with kind, version, checksum (CRC-32C) and length,
//! then JSON. A front that starts while its sources are unreachable starts from the snapshot, which counts as an old
//! list. The caller writes a temporary file and renames it over the old one.

use crate::Server;
use serde::{Deserialize, Serialize};

const FILE_KIND: &str = "pulleystair-list";
const VERSION: u32 = 1;
/// Size limit of a snapshot, bytes: enough for over 100 000 servers.
pub const MAX_BYTES: usize = 64 << 20;
/// Size limit of the header line, bytes.
const MAX_HEADER_BYTES: usize = 96;

/// A server list as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// When the snapshot was taken, ms since 1970.
    #[serde(rename = "taken")]
    pub taken_at: f64,
    /// Revision of the list.
    pub revision: u64,
    pub servers: Vec<Server>,
}

/// Why a snapshot is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    #[error("snapshot has {0} bytes, more than {MAX_BYTES}")]
    TooLarge(usize),
    #[error("not a server list written by this program")]
    NotASnapshot,
    #[error("snapshot version {0} is not supported; expected {VERSION}")]
    UnsupportedVersion(u32),
    #[error("snapshot holds {0} bytes of JSON; its header says {1}")]
    WrongLength(usize, usize),
    #[error("snapshot checksum is {0:08x}; its header says {1:08x}")]
    WrongChecksum(u32, u32),
    #[error("snapshot is not a valid server list: {0}")]
    InvalidJson(String),
}

impl Snapshot {
    /// The snapshot as header line and JSON.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).expect("servers are plain values");
        let checksum = crc32c::crc32c(&body);
        let mut encoded = format!("{FILE_KIND} {VERSION} {checksum:08x} {}\n", body.len()).into_bytes();
        encoded.extend_from_slice(&body);
        encoded
    }

    /// Checks header, length and checksum, and parses the list.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        if bytes.len() > MAX_BYTES {
            return Err(SnapshotError::TooLarge(bytes.len()));
        }
        let header_end = bytes
            .iter()
            .take(MAX_HEADER_BYTES)
            .position(|b| *b == b'\n')
            .ok_or(SnapshotError::NotASnapshot)?;
        let header = std::str::from_utf8(&bytes[..header_end]).map_err(|_| SnapshotError::NotASnapshot)?;
        let mut fields = header.split(' ');
        if fields.next() != Some(FILE_KIND) {
            return Err(SnapshotError::NotASnapshot);
        }
        let version =
            fields.next().and_then(|field| field.parse().ok()).ok_or(SnapshotError::NotASnapshot)?;
        if version != VERSION {
            return Err(SnapshotError::UnsupportedVersion(version));
        }
        let checksum = fields
            .next()
            .and_then(|field| u32::from_str_radix(field, 16).ok())
            .ok_or(SnapshotError::NotASnapshot)?;
        let length = fields.next().and_then(|field| field.parse().ok()).ok_or(SnapshotError::NotASnapshot)?;
        let body = &bytes[header_end + 1..];
        if body.len() != length {
            return Err(SnapshotError::WrongLength(body.len(), length));
        }
        let actual = crc32c::crc32c(body);
        if actual != checksum {
            return Err(SnapshotError::WrongChecksum(actual, checksum));
        }
        serde_json::from_slice(body).map_err(|e| SnapshotError::InvalidJson(e.to_string()))
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
            started_at: 1_764_600_716_250.5,
        };
        Snapshot { taken_at: 1_764_600_800_000.0, revision: 77, servers: (0..3).map(server).collect() }
    }

    #[test]
    fn an_encoded_snapshot_decodes_to_the_same() {
        assert_eq!(Snapshot::decode(&snapshot().encode()), Ok(snapshot()));
    }

    #[test]
    fn truncated_extended_or_altered_snapshots_are_rejected() {
        let whole = snapshot().encode();
        for cut in 0..whole.len() {
            assert!(Snapshot::decode(&whole[..cut]).is_err(), "truncated at {cut}");
            let mut altered = whole.clone();
            altered[cut] ^= 1;
            assert!(Snapshot::decode(&altered).is_err(), "altered at {cut}");
        }
        assert!(Snapshot::decode(&[whole.as_slice(), b"x"].concat()).is_err());
    }

    #[test]
    fn other_files_other_versions_and_oversized_input_are_told_apart() {
        assert_eq!(Snapshot::decode(b""), Err(SnapshotError::NotASnapshot));
        assert_eq!(Snapshot::decode(b"{\"servers\":[]}\n"), Err(SnapshotError::NotASnapshot));
        let newer = String::from_utf8(snapshot().encode()).unwrap().replacen(" 1 ", " 2 ", 1);
        assert_eq!(Snapshot::decode(newer.as_bytes()), Err(SnapshotError::UnsupportedVersion(2)));
        assert_eq!(Snapshot::decode(&vec![b'x'; MAX_BYTES + 1]), Err(SnapshotError::TooLarge(MAX_BYTES + 1)));
    }
}
