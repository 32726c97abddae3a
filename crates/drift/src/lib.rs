//! Drift detection: compares what each front runs with the version that was approved for it. The package does no I/O; the
//! caller (`pulleystair-fleet-member`) passes in the wall clock's time (Unix ms) where rollout stages depend on it.
//!
//! [`approved`] holds the chain of approved versions. [`ConfigReport`] is what one front reports that it runs, read back
//! from its running configuration. [`verdict`] gives a reader's verdict on one front. [`detector`] tracks how long a
//! verdict has lasted, and summarises the fleet.

pub mod approved;
pub mod detector;
pub mod stricter;
pub mod verdict;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Sections of a front's configuration, each of which is approved as a unit. An approved version may omit some.
pub const SECTIONS: [&str; 10] =
    ["ladder", "products", "floors", "seats", "rules", "prices", "limits", "list", "parts", "policy"];

/// Sections on which the six rules of `pulleystair-rule-checker` depend.
pub const RULE_SECTIONS: [&str; 5] = ["products", "floors", "seats", "rules", "policy"];

/// Maximum number of differences that a front reports.
const MAX_DIFFERENCES: usize = 6;
/// Maximum length of each text in a difference, bytes.
const MAX_VALUE_BYTES: usize = 40;

/// Sections of a configuration by name.
pub type Sections = BTreeMap<String, Value>;

/// Digest of a value: SHA-256 over its canonical form (RFC 8785).
pub fn digest(value: &Value) -> [u8; 32] {
    Sha256::digest(serde_json_canonicalizer::to_vec(value).unwrap_or_default()).into()
}

/// The first eight bytes of [`digest`], as sent between fronts.
pub fn short_digest(value: &Value) -> u64 {
    let bytes = digest(value);
    u64::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]])
}

/// Bytes as lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// A value that differs from the approved one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Path of the value.
    pub name: String,
    /// The approved value, as JSON text.
    pub approved: String,
    /// The value that the front runs, as JSON text.
    pub active: String,
}

/// What a front reports in its own row about its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The newest approved version that the front holds: its number and the start of its digest. `None` if it has none.
    pub head: Option<(u64, u64)>,
    /// The short digest of each of [`SECTIONS`] as the front runs it.
    pub sections: Vec<u64>,
    /// Differences from the newest version that the front may run, as the front itself found them.
    pub differences: Vec<Difference>,
}

impl ConfigReport {
    /// Summarises the active sections. Keeps at most `MAX_DIFFERENCES` differences, and `MAX_VALUE_BYTES` of each text in
    /// them. A missing section counts as null.
    pub fn new(sections: &Sections, head: Option<(u64, u64)>, differences: Vec<Difference>) -> ConfigReport {
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
        ConfigReport { head, sections: SECTIONS.iter().map(section_digest).collect(), differences }
    }

    /// The cell for the front's row.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a cell. `None` if it cannot be decoded, or does not have one digest per section.
    pub fn decode(bytes: &[u8]) -> Option<ConfigReport> {
        let report: ConfigReport = postcard::from_bytes(bytes).ok()?;
        (report.sections.len() == SECTIONS.len()).then_some(report)
    }
}

/// All values of `active` that differ from `approved`, by path, in the sections that `approved` has.
pub fn differences(approved: &Sections, active: &Sections) -> Vec<Difference> {
    let mut out = Vec::new();
    for (name, value) in approved {
        collect_differences(name, value, active.get(name).unwrap_or(&Value::Null), &mut out);
    }
    out
}

/// Appends the differences between two values at `path`.
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
        // The comparison is by canonical form, in which 1 and 1.0 are the same number.
        _ if digest(approved) == digest(active) => {}
        _ => {
            let (approved, active) = (approved.to_string(), active.to_string());
            out.push(Difference { name: path.to_string(), approved, active });
        }
    }
}
