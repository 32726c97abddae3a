//! Drift: what each front goes by, against the version that was approved for it. No I/O; the wall clock's time is
//! handed in where stages go by it.
//!
//! [`approved`] is the chain of approved documents; [`ActiveVersion`] what one front goes by, read back from what runs;
//! [`verdict`] what a reader says of one front; [`detector`] how long it has said so, and of the whole fleet.

pub mod approved;
pub mod detector;
pub mod stricter;
pub mod verdict;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// What a front goes by, in parts that are approved together; a document may leave some out.
pub const SECTIONS: [&str; 10] =
    ["ladder", "products", "floors", "seats", "rules", "prices", "limits", "list", "parts", "policy"];

/// Sections that the six rules stand on.
pub const RULE_SECTIONS: [&str; 5] = ["products", "floors", "seats", "rules", "policy"];

/// Differences that a front tells of, and how long each value may be, bytes.
const MAX_DIFFERENCES: usize = 6;
const MAX_VALUE_BYTES: usize = 40;

pub type Sections = BTreeMap<String, Value>;

/// The checksum of a value: SHA-256 over its canonical form (RFC 8785).
pub fn digest(value: &Value) -> [u8; 32] {
    Sha256::digest(serde_json_canonicalizer::to_vec(value).unwrap_or_default()).into()
}

/// The same, as it goes round between fronts: its first eight bytes.
pub fn short_digest(value: &Value) -> u64 {
    let bytes = digest(value);
    u64::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]])
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A value that is not as approved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    pub name: String,
    pub approved: String,
    pub active: String,
}

/// What a front says of itself, in its own row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveVersion {
    /// The approved version that it holds: its number, and the start of its digest; none where it has none.
    pub head: Option<(u64, u64)>,
    /// A digest for each of [`SECTIONS`].
    pub sections: Vec<u64>,
    /// What it finds different itself, against its own approved version.
    pub differences: Vec<Difference>,
}

impl ActiveVersion {
    pub fn new(sections: &Sections, head: Option<(u64, u64)>, differences: Vec<Difference>) -> ActiveVersion {
        let section_digest = |name: &&str| short_digest(sections.get(*name).unwrap_or(&Value::Null));
        let mut differences = differences;
        differences.truncate(MAX_DIFFERENCES);
        for difference in &mut differences {
            for text in [&mut difference.name, &mut difference.approved, &mut difference.active] {
                let end = text
                    .char_indices()
                    .map(|c| c.0)
                    .take_while(|end| *end <= MAX_VALUE_BYTES)
                    .last()
                    .unwrap_or(0);
                if text.len() > MAX_VALUE_BYTES {
                    text.truncate(end);
                }
            }
        }
        ActiveVersion { head, sections: SECTIONS.iter().map(section_digest).collect(), differences }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None for what does not read, or has not a digest for each section.
    pub fn decode(bytes: &[u8]) -> Option<ActiveVersion> {
        let active_version: ActiveVersion = postcard::from_bytes(bytes).ok()?;
        (active_version.sections.len() == SECTIONS.len()).then_some(active_version)
    }
}

/// All values of `active` that are not as in `approved`, in sections that it has, by path.
pub fn differences(approved: &Sections, active: &Sections) -> Vec<Difference> {
    let mut out = Vec::new();
    for (name, value) in approved {
        collect_differences(name, value, active.get(name).unwrap_or(&Value::Null), &mut out);
    }
    out
}

fn collect_differences(path: &str, approved: &Value, active: &Value, out: &mut Vec<Difference>) {
    match (approved, active) {
        (Value::Object(a), Value::Object(b)) => {
            for name in a.keys().chain(b.keys().filter(|name| !a.contains_key(*name))) {
                let member =
                    |map: &serde_json::Map<String, Value>| map.get(name).cloned().unwrap_or(Value::Null);
                collect_differences(&format!("{path}.{name}"), &member(a), &member(b), out);
            }
        }
        (Value::Array(a), Value::Array(b)) if a.len() == b.len() => {
            for (i, (a, b)) in a.iter().zip(b).enumerate() {
                collect_differences(&format!("{path}.{i}"), a, b, out);
            }
        }
        // As the canonical form has it, 1 and 1.0 are one number.
        _ if digest(approved) == digest(active) => {}
        _ => {
            let (approved, active) = (approved.to_string(), active.to_string());
            out.push(Difference { name: path.to_string(), approved, active });
        }
    }
}
