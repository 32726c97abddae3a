//! What a fellow says of the fleet when it is asked: verdicts, estimates, who is heard.

use crate::FleetMember;
use crate::row::{ACTIVE, SUMS, heard};
use pulleystair_drift::ActiveVersion;
use pulleystair_drift::verdict::FrontReport;
use pulleystair_gossip::{Gossip, Liveness};
use pulleystair_shared_state::counts::{Interval, PlayBounds};
use pulleystair_whatif::aggregates::{Aggregates, StratumKey};
use pulleystair_whatif::report::{Report, Scope, report};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Titles whose regret is told, of those with most plays.
const TITLES: usize = 20;

pub(crate) fn own(name: &str, active: ActiveVersion) -> FrontReport {
    FrontReport {
        front: name.to_string(),
        age: 0.0,
        unheard: false,
        contradictory: false,
        active: Some(active),
    }
}

/// What every other front says that it goes by.
pub(crate) fn words(gossip: &Gossip, now: f64) -> Vec<FrontReport> {
    let others = gossip.fronts(now).filter(|row| row.origin != gossip.own());
    let word = |row: pulleystair_gossip::FrontView| FrontReport {
        front: gossip.name(row.origin).to_string(),
        age: row.age,
        unheard: row.liveness == Liveness::Unheard,
        contradictory: row.contradictory,
        active: row.cell(ACTIVE).and_then(ActiveVersion::decode),
    };
    others.map(word).collect()
}

pub(crate) fn unheard(gossip: &Gossip, now: f64) -> BTreeSet<String> {
    let silent = gossip.fronts(now).filter(|row| row.origin != gossip.own());
    let silent = silent.filter(|row| row.liveness == Liveness::Unheard);
    silent.map(|row| gossip.name(row.origin).to_string()).collect()
}

impl FleetMember {
    /// Set-up times under other policies, over all fronts that are heard; of all plays, or of some strata.
    pub fn whatif(&self, now: f64, of: impl Fn(&StratumKey) -> bool) -> Report {
        report(self.over(now), &self.sums(now), of)
    }

    fn over(&self, now: f64) -> Scope {
        let unheard: Vec<String> = self.unheard(now).into_iter().collect();
        Scope { fronts: self.fronts, heard: self.fronts - unheard.len(), unheard }
    }

    /// Each front's sums once: this one's own, and the row of each other that is heard.
    fn sums(&self, now: f64) -> Aggregates {
        let mut sums = Aggregates::default();
        let own = self.outcomes.cells();
        sums.add(own.iter().map(Vec::as_slice));
        let others = self.gossip.fronts(now).filter(|row| row.origin != self.gossip.own());
        for row in others.filter(|row| row.liveness != Liveness::Unheard) {
            let cells = row.cells(SUMS).map(|(_, cell)| cell).filter(|cell| !cell.is_empty());
            sums.add(cells.collect::<Vec<&[u8]>>());
        }
        sums
    }

    /// Plays at a server over the whole fleet.
    pub fn plays_at(&self, now: f64, server: u64, product: Option<u16>, bounds: PlayBounds) -> Interval {
        let others = self.gossip.fronts(now).filter(|row| row.origin != self.gossip.own());
        let others: Vec<_> = others.map(|row| heard(&row, &self.terms.zones)).collect();
        self.counts.estimate(server, product, &others, bounds)
    }

    /// All of it, for a person or a program that asks.
    pub fn status_report(&mut self, now: f64, wall: f64, names: &BTreeMap<u64, String>) -> Value {
        let drift = self.drift(now, wall);
        let status = drift.as_ref().map(pulleystair_drift::detector::FleetStatus::status);
        let sums = self.sums(now);
        let whole = report(self.over(now), &sums, |_| true);
        let mut titles: BTreeMap<(u16, u32), u32> = BTreeMap::new();
        sums.strata
            .iter()
            .for_each(|(key, it)| *titles.entry((key.product, key.title)).or_default() += it.set_ups);
        let mut titles: Vec<_> = titles.into_iter().collect();
        titles.sort_by_key(|t| std::cmp::Reverse(t.1));
        let regret = |((product, title), plays): &((u16, u32), u32)| {
            let of = |key: &StratumKey| (key.product, key.title) == (*product, *title);
            let it = report(self.over(now), &sums, of);
            json!({ "product": product, "title": title, "plays": plays, "better": it.better, "policies": it.policies })
        };
        let name = |id: &u64| names.get(id).cloned().unwrap_or_else(|| format!("{id:016x}"));
        let servers: Vec<Value> = whole
            .servers
            .iter()
            .map(|it| {
                let mut value = serde_json::to_value(it).unwrap_or_default();
                value["server"] = Value::String(name(&it.server));
                value
            })
            .collect();
        let counts = self.gossip_stats();
        let known: Vec<Value> = self
            .listed
            .keys()
            .map(|id| {
                let own = self.given.get(id);
                let bounds =
                    PlayBounds { max_plays: f64::MAX, max_added_per_ms: None, max_ended_per_ms: None };
                let plays = self.plays_at(now, *id, None, bounds);
                json!({
                    "server": name(id),
                    "doubted": own.is_some_and(|it| it.doubted),
                    "pace": own.map(|it| it.pace),
                    "plays_heard": plays.middle,
                })
            })
            .collect();
        json!({
            "front": self.terms.gossip.name,
            "fleet": self.terms.gossip.fleet,
            "status": status,
            "drift": drift,
            "whatif": {
                "over": whole.over,
                "plays": whole.plays,
                "given_up": whole.given_up,
                "undecided": whole.undecided,
                "because": whole.because,
                "better": whole.better,
                "policies": whole.policies,
                "servers": servers,
                "titles": titles.iter().take(TITLES).map(regret).collect::<Vec<Value>>(),
            },
            "servers": known,
            "zone_lost": self.belief.lost.and_then(|z| self.terms.zones.get(z)),
            "unheard": self.unheard(now),
            "exchange": {
                "sent": counts.sent, "sent_bytes": counts.sent_bytes, "taken": counts.taken, "late": counts.late,
                "long": counts.long, "version": counts.version, "foreign": counts.foreign, "spoilt": counts.spoilt,
                "ages": counts.ages, "unknown": counts.unknown, "gaps": counts.gaps, "altered": counts.altered,
                "held_back": counts.held_back, "claimed": counts.claimed,
            },
        })
    }
}
