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
    pub fn unknown(&self) -> bool {
        matches!(self, Verdict::Unheard { .. } | Verdict::Contradictory | Verdict::Unknown { .. })
    }

    /// A person is to look, if it stays.
    pub fn wrong(&self) -> bool {
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
pub fn judge(chain: &VersionChain, wall: f64, word: &FrontReport) -> (Verdict, Vec<(&'static str, Verdict)>) {
    let age = word.age.is_finite().then_some(word.age);
    let Some(active) = word.active.as_ref().filter(|_| !word.unheard) else {
        return (Verdict::Unheard { age }, Vec::new());
    };
    if word.contradictory {
        return (Verdict::Contradictory, Vec::new());
    }
    let newest = chain.head().map_or(0, |d| d.number);
    match active.head {
        Some(mark) if mark.0 > newest => return (Verdict::Unknown { number: mark.0 }, Vec::new()),
        Some(mark) if !chain.has(mark) => return (Verdict::Contradictory, Vec::new()),
        _ => {}
    }
    let (may, must) = chain.window(&word.front, wall);
    let all = 0..chain.documents.len();
    let judged: Vec<(usize, &'static str)> = SECTIONS
        .iter()
        .enumerate()
        .filter(|(_, name)| all.clone().any(|at| chain.section(at, name).is_some()))
        .map(|(i, name)| (i, *name))
        .collect();
    let has = |at: usize, i: usize, name: &str| {
        chain.section(at, name).is_none_or(|digest| digest == active.sections[i])
    };
    let section = |i: usize, name: &str| {
        // The latest version before the first that it must have is in force from the start.
        let floor = must.or(may).unwrap_or(0);
        if may.is_some_and(|may| has(may, i, name)) {
            return Verdict::InStep;
        }
        let within = all.clone().filter(|at| *at >= floor && may.is_some_and(|may| *at < may));
        if let Some(at) = within.clone().rev().find(|at| has(*at, i, name)) {
            let next = chain.documents.get(at + 1).and_then(|d| d.stage(&word.front));
            return Verdict::OnItsWay { until: next.map_or(f64::INFINITY, |stage| stage.1) };
        }
        let known = all.clone().rev().find(|at| has(*at, i, name));
        match known {
            Some(at) if may.is_none_or(|may| at > may) => {
                Verdict::Ahead { number: chain.documents[at].number }
            }
            Some(at) => Verdict::Behind { number: chain.documents[at].number },
            None => Verdict::Adrift,
        }
    };
    let by: Vec<(&'static str, Verdict)> =
        judged.iter().map(|(i, name)| (*name, section(*i, name))).collect();
    let one = all.clone().any(|at| judged.iter().all(|(i, name)| has(at, *i, name)));
    let whole = if by.iter().any(|(_, v)| *v == Verdict::Adrift) {
        Verdict::Adrift
    } else if !one {
        Verdict::Torn
    } else {
        // All are of one version: the worst of them is that version's.
        let rank = |v: &Verdict| match v {
            Verdict::InStep => 0,
            Verdict::OnItsWay { .. } => 1,
            Verdict::Ahead { .. } => 2,
            _ => 3,
        };
        by.iter().map(|(_, v)| v.clone()).max_by_key(rank).unwrap_or(Verdict::InStep)
    };
    (whole, by)
}
