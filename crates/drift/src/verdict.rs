//! What a reader says of one front, from that front's own word and the reader's chain of approved versions.

use crate::approved::VersionChain;
use crate::{ActiveVersion, SECTIONS};
use serde::Serialize;

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Verdict {
    InStep,
    /// It goes by a version that it may still have until then, Unix ms.
    OnItsWay {
        until: f64,
    },
    /// It goes by a version that it must no longer have.
    Behind {
        number: u64,
    },
    /// It goes by one that it may not have yet.
    Ahead {
        number: u64,
    },
    /// It goes by none that was approved.
    Adrift,
    /// Each part is of some version, but all are of no single one.
    Torn,
    /// Not heard for so long, ms; none where it never was. Never taken for in step.
    Unheard {
        age: Option<f64>,
    },
    /// It said two things at once, or holds another approved version of the same number.
    Contradictory,
    /// It holds an approved version that this reader does not have.
    Unknown {
        number: u64,
    },
}

impl Verdict {
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

    /// Nobody can say whether it is in step.
    pub fn is_unknown(&self) -> bool {
        matches!(self, Verdict::Unheard { .. } | Verdict::Contradictory | Verdict::Unknown { .. })
    }

    /// A person is to look, if it stays.
    pub fn is_wrong(&self) -> bool {
        matches!(self, Verdict::Behind { .. } | Verdict::Ahead { .. } | Verdict::Adrift | Verdict::Torn)
    }
}

/// What is known of a front.
#[derive(Clone, Debug)]
pub struct FrontReport {
    pub front: String,
    /// ms since it said so, at most; infinite where it never did.
    pub age: f64,
    pub unheard: bool,
    pub contradictory: bool,
    pub active: Option<ActiveVersion>,
}

/// The verdict on each section that was approved, and on the front as a whole.
pub fn judge(
    chain: &VersionChain,
    wall_clock: f64,
    report: &FrontReport,
) -> (Verdict, Vec<(&'static str, Verdict)>) {
    let age = report.age.is_finite().then_some(report.age);
    let Some(active) = report.active.as_ref().filter(|_| !report.unheard) else {
        return (Verdict::Unheard { age }, Vec::new());
    };
    if report.contradictory {
        return (Verdict::Contradictory, Vec::new());
    }
    let newest = chain.head().map_or(0, |d| d.number);
    match active.head {
        Some(head_id) if head_id.0 > newest => return (Verdict::Unknown { number: head_id.0 }, Vec::new()),
        Some(head_id) if !chain.contains(head_id) => return (Verdict::Contradictory, Vec::new()),
        _ => {}
    }
    let (allowed, required) = chain.version_window(&report.front, wall_clock);
    let indices = 0..chain.documents.len();
    let approved_sections: Vec<(usize, &'static str)> = SECTIONS
        .iter()
        .enumerate()
        .filter(|(_, name)| indices.clone().any(|index| chain.section(index, name).is_some()))
        .map(|(i, name)| (i, *name))
        .collect();
    let section_matches = |index: usize, i: usize, name: &str| {
        chain.section(index, name).is_none_or(|digest| digest == active.sections[i])
    };
    let judge_section = |i: usize, name: &str| {
        // The latest version before the first that it must have is in force from the start.
        let first_in_force = required.or(allowed).unwrap_or(0);
        if allowed.is_some_and(|allowed| section_matches(allowed, i, name)) {
            return Verdict::InStep;
        }
        let still_allowed = indices
            .clone()
            .filter(|index| *index >= first_in_force && allowed.is_some_and(|allowed| *index < allowed));
        if let Some(index) = still_allowed.clone().rev().find(|index| section_matches(*index, i, name)) {
            let next = chain.documents.get(index + 1).and_then(|d| d.stage_times(&report.front));
            return Verdict::OnItsWay { until: next.map_or(f64::INFINITY, |times| times.1) };
        }
        let matching = indices.clone().rev().find(|index| section_matches(*index, i, name));
        match matching {
            Some(index) if allowed.is_none_or(|allowed| index > allowed) => {
                Verdict::Ahead { number: chain.documents[index].number }
            }
            Some(index) => Verdict::Behind { number: chain.documents[index].number },
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
        // All are of one version: the worst of them is that version's.
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
