//! A reader's verdict on one front, from that front's own report and the reader's chain of approved versions.

use crate::approved::VersionChain;
use crate::{ConfigReport, SECTIONS};
use serde::Serialize;

/// How a front's configuration compares with the approved versions.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Verdict {
    /// It runs the newest version that it may run.
    InStep,
    /// It runs an earlier version that it may still run. `until` is the deadline of the version after that one, Unix ms
    /// (infinite if no stage of that version includes the front). A still later version may become required before then.
    OnItsWay { until: f64 },
    /// It runs this earlier version, which is no longer accepted.
    Behind { number: u64 },
    /// It runs this later version, which it may not run yet.
    Ahead { number: u64 },
    /// It runs something that was never approved.
    Adrift,
    /// Each section belongs to some version, but not all of them to a single one.
    Torn,
    /// Not heard for this time (ms; `None` if it was never heard), or heard without a valid report of its configuration.
    Unheard { age: Option<f64> },
    /// It reported two things for the same row version, or holds a different approved version with the same number.
    Contradictory,
    /// It holds an approved version that is newer than the reader's newest.
    Unknown { number: u64 },
}

impl Verdict {
    /// The name as printed for operators.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::InStep => "in step",
            Verdict::OnItsWay { .. } => "on its way",
            Verdict::Behind { .. } => "behind",
            Verdict::Ahead { .. } => "ahead",
            Verdict::Adrift => "adrift",
            Verdict::Torn => "torn",
            Verdict::Unheard { .. } => "unheard",
            Verdict::Contradictory => "contradictory",
            Verdict::Unknown { .. } => "unknown",
        }
    }

    /// Whether it cannot be told if the front is in step.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Verdict::Unheard { .. } | Verdict::Contradictory | Verdict::Unknown { .. })
    }

    /// Whether it is known that the front runs what it must not.
    pub fn is_wrong(&self) -> bool {
        matches!(self, Verdict::Behind { .. } | Verdict::Ahead { .. } | Verdict::Adrift | Verdict::Torn)
    }
}

/// What a reader knows about a front.
#[derive(Clone, Debug)]
pub struct KnownFront {
    /// Name of the front.
    pub name: String,
    /// Upper bound on the time since the front's row was current, ms; infinite if it was never heard.
    pub age: f64,
    /// Whether the front counts as unheard.
    pub unheard: bool,
    /// Whether two different rows of this front with the same version were received recently.
    pub contradictory: bool,
    /// What it reports about its configuration; `None` if nothing or nothing valid.
    pub config_report: Option<ConfigReport>,
}

/// The verdict on the front as a whole, and on each section that was ever approved, at a time (Unix ms). There are no
/// verdicts on sections if the front is unheard, contradictory or unknown.
pub fn judge(
    chain: &VersionChain,
    wall_clock: f64,
    front: &KnownFront,
) -> (Verdict, Vec<(&'static str, Verdict)>) {
    let age = front.age.is_finite().then_some(front.age);
    let Some(report) = front.config_report.as_ref().filter(|_| !front.unheard) else {
        return (Verdict::Unheard { age }, Vec::new());
    };
    if front.contradictory {
        return (Verdict::Contradictory, Vec::new());
    }
    let newest = chain.head().map_or(0, |d| d.number);
    match report.head {
        Some(head_id) if head_id.0 > newest => return (Verdict::Unknown { number: head_id.0 }, Vec::new()),
        Some(head_id) if !chain.contains(head_id) => return (Verdict::Contradictory, Vec::new()),
        _ => {}
    }
    let (allowed, required) = chain.version_window(&front.name, wall_clock);
    let indices = 0..chain.versions.len();
    let approved_sections: Vec<(usize, &'static str)> = SECTIONS
        .iter()
        .enumerate()
        .filter(|(_, name)| indices.clone().any(|index| chain.section_digest(index, name).is_some()))
        .map(|(i, name)| (i, *name))
        .collect();
    let section_matches = |index: usize, i: usize, name: &str| {
        chain.section_digest(index, name).is_none_or(|digest| digest == report.sections[i])
    };
    let judge_section = |i: usize, name: &str| {
        // Of the versions before the newest allowed one, those from the newest required one on are accepted as on their way.
        // While no version is required yet, none of them is.
        let oldest_accepted = required.or(allowed).unwrap_or(0);
        if allowed.is_some_and(|allowed| section_matches(allowed, i, name)) {
            return Verdict::InStep;
        }
        let still_allowed = indices
            .clone()
            .filter(|index| *index >= oldest_accepted && allowed.is_some_and(|allowed| *index < allowed));
        if let Some(index) = still_allowed.clone().rev().find(|index| section_matches(*index, i, name)) {
            let next = chain.versions.get(index + 1).and_then(|version| version.stage_times(&front.name));
            return Verdict::OnItsWay { until: next.map_or(f64::INFINITY, |times| times.1) };
        }
        let matching = indices.clone().rev().find(|index| section_matches(*index, i, name));
        match matching {
            Some(index) if allowed.is_none_or(|allowed| index > allowed) => {
                Verdict::Ahead { number: chain.versions[index].number }
            }
            Some(index) => Verdict::Behind { number: chain.versions[index].number },
            None => Verdict::Adrift,
        }
    };
    let verdicts: Vec<(&'static str, Verdict)> =
        approved_sections.iter().map(|(i, name)| (*name, judge_section(*i, name))).collect();
    let is_single_version = indices
        .clone()
        .any(|index| approved_sections.iter().all(|(i, name)| section_matches(index, *i, name)));
    let overall = if verdicts.iter().any(|(_, v)| *v == Verdict::Adrift) {
        Verdict::Adrift
    } else if !is_single_version {
        Verdict::Torn
    } else {
        // All sections are of one version, so the worst verdict on them is the verdict on that version.
        let rank = |v: &Verdict| match v {
            Verdict::InStep => 0,
            Verdict::OnItsWay { .. } => 1,
            Verdict::Ahead { .. } => 2,
            _ => 3,
        };
        verdicts.iter().map(|(_, v)| v.clone()).max_by_key(rank).unwrap_or(Verdict::InStep)
    };
    (overall, verdicts)
}
