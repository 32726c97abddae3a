//! Tracks how long each verdict has lasted, and summarises the fleet. A front raises an alarm once its verdicts have been
//! wrong or unknown without a break for the alarm delay, even if they change from one such verdict to another. A front that
//! is briefly between two versions while it applies one therefore does not alert anyone.

use crate::approved::VersionChain;
use crate::verdict::{KnownFront, Verdict, judge};
use crate::{Difference, RULE_SECTIONS};
use serde::Serialize;
use std::collections::BTreeMap;

/// The verdict on one front, as printed in status reports.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FrontStatus {
    /// Name of the front.
    pub front: String,
    /// The verdict on the front as a whole.
    pub verdict: Verdict,
    /// Since when the verdict has applied, Unix ms on the reader's clock.
    pub since: f64,
    /// Whether the verdicts have been wrong or unknown without a break for the alarm delay.
    pub alarm: bool,
    /// Whether the verdict is wrong and any difference is in one of [`RULE_SECTIONS`].
    pub rule: bool,
    /// The verdict on each section.
    pub sections: Vec<(String, Verdict)>,
    /// What the front itself reports as different, if the verdict is wrong.
    pub differences: Vec<Difference>,
    /// Upper bound on the time since the front last reported, ms; `None` if it never did.
    pub age: Option<f64>,
}

/// The state of the fleet as one front sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Name of the front that reports this.
    pub by: String,
    /// Number of the newest approved version that it holds.
    pub approved: Option<u64>,
    /// Whether some front holds a different version with the same number.
    pub forked: bool,
    /// Number of fronts by verdict.
    pub counts: BTreeMap<&'static str, usize>,
    /// Number of fronts on which no verdict is possible.
    pub unknown: usize,
    /// The verdict on each front.
    pub fronts: Vec<FrontStatus>,
}

impl FleetStatus {
    /// Exit status: 1 if a front with a wrong verdict has an alarm, else 2 if no verdict is possible on some front, else 0.
    /// A wrong verdict without an alarm does not count.
    pub fn status(&self) -> u8 {
        if self.fronts.iter().any(|s| s.alarm && s.verdict.is_wrong()) {
            1
        } else {
            2 * u8::from(self.unknown > 0)
        }
    }
}

/// Tracks the verdicts on all fronts over time.
pub struct Detector {
    alarm_delay: f64,
    /// By front: the verdict, since when it has applied, and since when verdicts have been wrong or unknown.
    verdicts: BTreeMap<String, (Verdict, f64, Option<f64>)>,
}

/// Whether two verdicts are of the same kind, whatever their numbers.
fn is_same_kind(a: &Verdict, b: &Verdict) -> bool {
    a.name() == b.name()
}

impl Detector {
    /// A front raises an alarm once its verdicts have been wrong or unknown without a break for `alarm_delay` ms.
    pub fn new(alarm_delay: f64) -> Detector {
        Detector { alarm_delay, verdicts: BTreeMap::new() }
    }

    /// Judges all fronts at a time (Unix ms), and updates how long each verdict has lasted. `by` is this front's name.
    /// Fronts that are not in `fronts` are forgotten.
    pub fn observe(
        &mut self,
        by: &str,
        wall_clock: f64,
        chain: &VersionChain,
        fronts: &[KnownFront],
    ) -> FleetStatus {
        let head = chain.head_id();
        let mut fleet =
            FleetStatus { by: by.to_string(), approved: head.map(|head| head.0), ..FleetStatus::default() };
        for front in fronts {
            let (verdict, sections) = judge(chain, wall_clock, front);
            let their_head = front.config_report.as_ref().and_then(|report| report.head);
            fleet.forked |= their_head
                .zip(head)
                .is_some_and(|(theirs, ours)| theirs.0 <= ours.0 && !chain.contains(theirs));
            let is_bad = verdict.is_wrong() || verdict.is_unknown();
            let entry =
                self.verdicts.entry(front.name.clone()).or_insert((verdict.clone(), wall_clock, None));
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
                    || front.config_report.iter().flat_map(|r| &r.differences).any(is_in_section)
            };
            *fleet.counts.entry(verdict.name()).or_default() += 1;
            fleet.unknown += usize::from(verdict.is_unknown());
            let wrong_report = front.config_report.as_ref().filter(|_| verdict.is_wrong());
            fleet.fronts.push(FrontStatus {
                front: front.name.clone(),
                since: entry.1,
                alarm,
                rule: verdict.is_wrong() && RULE_SECTIONS.iter().any(|name| differs(name)),
                sections: sections.iter().map(|(name, v)| (name.to_string(), v.clone())).collect(),
                differences: wrong_report.map(|r| r.differences.clone()).unwrap_or_default(),
                age: front.age.is_finite().then_some(front.age),
                verdict,
            });
        }
        let names: Vec<&str> = fronts.iter().map(|f| f.name.as_str()).collect();
        self.verdicts.retain(|front, _| names.contains(&front.as_str()));
        fleet
    }
}
