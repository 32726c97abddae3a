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
        if self.fronts.iter().any(|s| s.alarm && s.verdict.is_wrong()) {
            1
        } else {
            2 * u8::from(self.unknown > 0)
        }
    }
}

pub struct Detector {
    alarm_delay: f64,
    /// By front: the verdict, since when, and since when it has been other than well.
    verdicts: BTreeMap<String, (Verdict, f64, Option<f64>)>,
}

fn is_same_kind(a: &Verdict, b: &Verdict) -> bool {
    a.name() == b.name()
}

impl Detector {
    /// A verdict is an alarm once it has stood for so many ms.
    pub fn new(alarm_delay: f64) -> Detector {
        Detector { alarm_delay, verdicts: BTreeMap::new() }
    }

    pub fn observe(
        &mut self,
        by: &str,
        wall_clock: f64,
        chain: &VersionChain,
        reports: &[FrontReport],
    ) -> FleetStatus {
        let head = chain.head_id();
        let mut fleet =
            FleetStatus { by: by.to_string(), approved: head.map(|head| head.0), ..FleetStatus::default() };
        for report in reports {
            let (verdict, sections) = judge(chain, wall_clock, report);
            let their_head = report.active.as_ref().and_then(|active| active.head);
            fleet.forked |= their_head
                .zip(head)
                .is_some_and(|(theirs, ours)| theirs.0 <= ours.0 && !chain.contains(theirs));
            let is_bad = verdict.is_wrong() || verdict.is_unknown();
            let entry =
                self.verdicts.entry(report.front.clone()).or_insert((verdict.clone(), wall_clock, None));
            if !is_same_kind(&entry.0, &verdict) {
                entry.1 = wall_clock;
            }
            entry.0 = verdict.clone();
            entry.2 = is_bad.then(|| entry.2.unwrap_or(wall_clock));
            let alarm = entry.2.is_some_and(|since| wall_clock - since >= self.alarm_delay);
            let differs = |name: &str| {
                let is_in_section =
                    |d: &Difference| d.name == name || d.name.starts_with(&format!("{name}."));
                sections.iter().any(|(n, v)| *n == name && v.is_wrong())
                    || report.active.iter().flat_map(|a| &a.differences).any(is_in_section)
            };
            *fleet.counts.entry(verdict.name()).or_default() += 1;
            fleet.unknown += usize::from(verdict.is_unknown());
            let wrong_report = report.active.as_ref().filter(|_| verdict.is_wrong());
            fleet.fronts.push(FrontStatus {
                front: report.front.clone(),
                since: entry.1,
                alarm,
                rule: verdict.is_wrong() && RULE_SECTIONS.iter().any(|name| differs(name)),
                sections: sections.iter().map(|(name, v)| (name.to_string(), v.clone())).collect(),
                differences: wrong_report.map(|a| a.differences.clone()).unwrap_or_default(),
                age: report.age.is_finite().then_some(report.age),
                verdict,
            });
        }
        let names: Vec<&str> = reports.iter().map(|w| w.front.as_str()).collect();
        self.verdicts.retain(|front, _| names.contains(&front.as_str()));
        fleet
    }
}
