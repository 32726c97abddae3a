//! How long each verdict has stood, and the verdict on the fleet. One that changes within the hold time is no alarm, so a
//! front that is between two versions for the moment of taking one wakes nobody.

use crate::approved::VersionChain;
use crate::verdict::{FrontReport, Verdict, judge};
use crate::{Difference, RULE_SECTIONS};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FrontStatus {
    pub front: String,
    pub verdict: Verdict,
    /// Since when it is said of it, Unix ms on the reader's clock, and whether a person is to look.
    pub since: f64,
    pub alarm: bool,
    /// What differs lies in what one of the six rules stands on.
    pub rule: bool,
    pub sections: Vec<(String, Verdict)>,
    pub differences: Vec<Difference>,
    /// ms since it last said so, at most; none where it never did.
    pub age: Option<f64>,
}

/// The fleet, from one front.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The front that says so, and the approved version that it holds.
    pub by: String,
    pub approved: Option<u64>,
    /// Some front holds another version of this number.
    pub forked: bool,
    pub counts: BTreeMap<&'static str, usize>,
    pub unknown: usize,
    pub fronts: Vec<FrontStatus>,
}

impl FleetStatus {
    /// 0: all in step, or on their way. 1: one is not. 2: of some nobody can say.
    pub fn status(&self) -> u8 {
        if self.fronts.iter().any(|s| s.alarm && s.verdict.wrong()) {
            1
        } else {
            2 * u8::from(self.unknown > 0)
        }
    }
}

pub struct Detector {
    hold: f64,
    /// By front: the verdict, since when, and since when it has been other than well.
    stood: BTreeMap<String, (Verdict, f64, Option<f64>)>,
}

fn same(a: &Verdict, b: &Verdict) -> bool {
    a.name() == b.name()
}

impl Detector {
    /// A verdict is an alarm once it has stood for so many ms.
    pub fn new(hold: f64) -> Detector {
        Detector { hold, stood: BTreeMap::new() }
    }

    pub fn observe(
        &mut self,
        by: &str,
        wall: f64,
        chain: &VersionChain,
        words: &[FrontReport],
    ) -> FleetStatus {
        let head = chain.head_id();
        let mut fleet =
            FleetStatus { by: by.to_string(), approved: head.map(|head| head.0), ..FleetStatus::default() };
        for word in words {
            let (verdict, sections) = judge(chain, wall, word);
            let theirs = word.active.as_ref().and_then(|active| active.head);
            fleet.forked |= theirs.zip(head).is_some_and(|(t, h)| t.0 <= h.0 && !chain.has(t));
            let bad = verdict.wrong() || verdict.unknown();
            let stood = self.stood.entry(word.front.clone()).or_insert((verdict.clone(), wall, None));
            if !same(&stood.0, &verdict) {
                stood.1 = wall;
            }
            stood.0 = verdict.clone();
            stood.2 = bad.then(|| stood.2.unwrap_or(wall));
            let alarm = stood.2.is_some_and(|since| wall - since >= self.hold);
            let differs = |name: &str| {
                let own = |d: &Difference| d.name == name || d.name.starts_with(&format!("{name}."));
                sections.iter().any(|(n, v)| *n == name && v.wrong())
                    || word.active.iter().flat_map(|a| &a.differences).any(own)
            };
            *fleet.counts.entry(verdict.name()).or_default() += 1;
            fleet.unknown += usize::from(verdict.unknown());
            let told = word.active.as_ref().filter(|_| verdict.wrong());
            fleet.fronts.push(FrontStatus {
                front: word.front.clone(),
                since: stood.1,
                alarm,
                rule: verdict.wrong() && RULE_SECTIONS.iter().any(|name| differs(name)),
                sections: sections.iter().map(|(name, v)| (name.to_string(), v.clone())).collect(),
                differences: told.map(|a| a.differences.clone()).unwrap_or_default(),
                age: word.age.is_finite().then_some(word.age),
                verdict,
            });
        }
        let named: Vec<&str> = words.iter().map(|w| w.front.as_str()).collect();
        self.stood.retain(|front, _| named.contains(&front.as_str()));
        fleet
    }
}
