//! Approved versions in an append-only file: one version per line, each naming its parent by digest.
//!
//! A line is `{"number", "parent", "sections", "stages", "by", "at_ms", "digest"}`. The digest is SHA-256 over the canonical
//! form (RFC 8785) of the rest of the line, so that a changed or inserted line is detected.

use crate::{Sections, digest, hex, short_digest};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of versions in a file, and of fronts named in all stages of a version together.
const MAX_VERSIONS: usize = 10_000;
const MAX_STAGE_FRONTS: usize = 100_000;

/// A set of fronts, from when they may run a version, and by when they must; Unix ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStage {
    /// Names of the fronts. If empty, the stage is for all fronts that no stage names.
    #[serde(default)]
    pub fronts: Vec<String>,
    /// From when the fronts may run the version.
    pub from_ms: f64,
    /// By when the fronts must run the version.
    pub by_ms: f64,
}

/// One approved version: the sections that it sets, and when which fronts are to run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApprovedVersion {
    /// Position in the chain, from 1.
    pub number: u64,
    /// Digest of the previous version; `None` for the first.
    pub parent: Option<String>,
    /// The sections that this version sets.
    pub sections: Sections,
    /// The stages of its rollout; at least one.
    pub stages: Vec<RolloutStage>,
    /// Who approved it.
    pub by: String,
    /// When it was approved, Unix ms.
    pub at_ms: f64,
}

/// Why a file was rejected, and at which line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {cause}")]
pub struct ChainError {
    /// Number of the line, from 1.
    pub line: usize,
    /// The field and what is wrong with it.
    pub cause: String,
}

/// All versions, beginning with the first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VersionChain {
    /// The versions in their order.
    pub versions: Vec<ApprovedVersion>,
    digests: Vec<String>,
}

impl ApprovedVersion {
    /// Digest of the version in hexadecimal.
    pub fn digest(&self) -> String {
        hex(&digest(&serde_json::to_value(self).unwrap_or(Value::Null)))
    }

    /// The version's line in the file.
    pub fn to_line(&self) -> String {
        let mut value = serde_json::to_value(self).unwrap_or(Value::Null);
        value["digest"] = Value::String(self.digest());
        format!("{value}\n")
    }

    /// From when a front may run this version, and by when it must, Unix ms. A stage that names the front takes precedence
    /// over the one for all other fronts. `None` if no stage includes the front.
    pub fn stage_times(&self, front: &str) -> Option<(f64, f64)> {
        let named = self.stages.iter().find(|s| s.fronts.iter().any(|f| f == front));
        let stage = named.or_else(|| self.stages.iter().find(|s| s.fronts.is_empty()))?;
        Some((stage.from_ms, stage.by_ms))
    }

    /// Checks the version against its parent, given with its digest.
    fn validate(&self, parent: Option<(&ApprovedVersion, &str)>) -> Result<(), String> {
        match (parent, &self.parent) {
            (None, None) => {}
            (None, Some(parent)) => return Err(format!("parent: {parent} is not in the file")),
            (Some(_), None) => return Err("parent: missing, and this is not the first version".into()),
            (Some((_, digest)), Some(parent)) if digest != parent => {
                return Err(format!(
                    "parent: {parent}, but the digest of the previous line is {digest}; the chain is broken"
                ));
            }
            (Some(_), Some(_)) => {}
        }
        let next_number = parent.map_or(1, |(p, _)| p.number.saturating_add(1));
        if self.number != next_number {
            return Err(format!("number: found {}, expected {next_number}", self.number));
        }
        if !self.at_ms.is_finite() || parent.is_some_and(|(p, _)| self.at_ms < p.at_ms) {
            return Err(format!(
                "at_ms: {} is not finite or is before the approval of the previous version",
                self.at_ms
            ));
        }
        if self.by.trim().is_empty() {
            return Err("by: nobody approved it".into());
        }
        if self.stages.is_empty()
            || self.stages.iter().map(|s| s.fronts.len()).sum::<usize>() > MAX_STAGE_FRONTS
        {
            return Err(format!(
                "stages: found {}; at least 1 is required, with at most {MAX_STAGE_FRONTS} fronts in all",
                self.stages.len()
            ));
        }
        for (i, stage) in self.stages.iter().enumerate() {
            let is_finite = stage.from_ms.is_finite() && stage.by_ms.is_finite();
            if !is_finite || stage.from_ms < self.at_ms {
                let from_ms = stage.from_ms;
                return Err(format!(
                    "stages[{i}].from_ms: {from_ms} lies in the past (before at_ms), or a time of the stage is not finite"
                ));
            }
            if stage.by_ms < stage.from_ms {
                return Err(format!("stages[{i}].by_ms: {} is before from_ms", stage.by_ms));
            }
        }
        let unknown_section = self.sections.keys().find(|name| !crate::SECTIONS.contains(&name.as_str()));
        unknown_section.map_or(Ok(()), |name| Err(format!("sections.{name}: there is no such section")))
    }
}

impl VersionChain {
    /// Parses the whole file and checks the chain from its first line on.
    pub fn parse(text: &str) -> Result<VersionChain, ChainError> {
        let mut chain = VersionChain::default();
        for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let line_error = |cause: String| ChainError { line: i + 1, cause };
            if chain.versions.len() >= MAX_VERSIONS {
                return Err(line_error(format!("the file has more than {MAX_VERSIONS} versions")));
            }
            let mut value: Value = serde_json::from_str(line).map_err(|e| line_error(e.to_string()))?;
            let stated = value.as_object_mut().and_then(|object| object.remove("digest"));
            let version: ApprovedVersion =
                serde_json::from_value(value).map_err(|e| line_error(e.to_string()))?;
            let computed = version.digest();
            if stated.as_ref().and_then(Value::as_str) != Some(&computed) {
                return Err(line_error(format!(
                    "digest: does not match the line, whose digest is {computed}"
                )));
            }
            chain.append(version).map_err(line_error)?;
        }
        if chain.versions.is_empty() {
            return Err(ChainError { line: 1, cause: "the file has no approved version".into() });
        }
        Ok(chain)
    }

    /// Appends a version if it may follow the last one. The error names the field and what is wrong with it.
    pub fn append(&mut self, version: ApprovedVersion) -> Result<(), String> {
        let parent = self.versions.last().zip(self.digests.last().map(String::as_str));
        version.validate(parent)?;
        self.digests.push(version.digest());
        self.versions.push(version);
        Ok(())
    }

    /// Whether `other` begins with all versions of this chain, so that it may replace it.
    pub fn is_prefix_of(&self, other: &VersionChain) -> bool {
        other.digests.starts_with(&self.digests)
    }

    /// The newest version.
    pub fn head(&self) -> Option<&ApprovedVersion> {
        self.versions.last()
    }

    /// The newest version's number, and the first eight bytes of its digest.
    pub fn head_id(&self) -> Option<(u64, u64)> {
        let digest = self.digests.last()?;
        Some((self.head()?.number, u64::from_str_radix(digest.get(..16)?, 16).ok()?))
    }

    /// Whether this chain has the version with this number and start of the digest.
    pub fn contains(&self, id: (u64, u64)) -> bool {
        let digest = usize::try_from(id.0).ok().and_then(|n| self.digests.get(n.checked_sub(1)?));
        digest.and_then(|digest| u64::from_str_radix(digest.get(..16)?, 16).ok()) == Some(id.1)
    }

    /// Indices of the newest version that a front may run at a time (Unix ms), and of the newest whose deadline for the
    /// front has passed by then. `None` if there is none.
    pub fn version_window(&self, front: &str, wall_clock: f64) -> (Option<usize>, Option<usize>) {
        let latest = |time: fn((f64, f64)) -> f64| {
            self.versions.iter().rposition(|version| {
                version.stage_times(front).is_some_and(|times| time(times) <= wall_clock)
            })
        };
        (latest(|times| times.0), latest(|times| times.1))
    }

    /// Short digest of a section in a version. A section that the version omits is as in the previous one.
    pub fn section_digest(&self, index: usize, name: &str) -> Option<u64> {
        self.versions[..=index].iter().rev().find_map(|version| version.sections.get(name)).map(short_digest)
    }

    /// All sections of a version, including those that it takes from earlier ones.
    pub fn sections(&self, index: usize) -> Sections {
        let mut out = Sections::new();
        for version in &self.versions[..=index.min(self.versions.len() - 1)] {
            out.extend(version.sections.clone());
        }
        out
    }
}
