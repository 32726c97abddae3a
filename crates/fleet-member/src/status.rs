//! Status of the fleet as this front sees it: verdicts, estimates, and which fronts are heard.

use crate::FleetMember;
use crate::row::{AGGREGATES, CONFIG_REPORT, peer_state};
use pulleystair_drift::ConfigReport;
use pulleystair_drift::verdict::KnownFront;
use pulleystair_gossip::{Gossip, Liveness};
use pulleystair_shared_state::counts::{Interval, PlayBounds};
use pulleystair_whatif::aggregates::{Aggregates, StratumKey};
use pulleystair_whatif::report::{Report, Scope, report};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of titles in the status report: those with the most plays.
const MAX_TITLES: usize = 20;

/// This front, as it knows itself.
pub(crate) fn own_front(name: &str, config_report: ConfigReport) -> KnownFront {
    KnownFront {
        name: name.to_string(),
        age: 0.0,
        unheard: false,
        contradictory: false,
        config_report: Some(config_report),
    }
}

/// All other fronts, with what they report about their configurations.
pub(crate) fn peer_fronts(gossip: &Gossip, now: f64) -> Vec<KnownFront> {
    let others = gossip.fronts(now).filter(|row| row.origin != gossip.own_id());
    let front_from = |row: pulleystair_gossip::FrontView| KnownFront {
        name: gossip.name(row.origin).to_string(),
        age: row.age,
        unheard: row.liveness == Liveness::Unheard,
        contradictory: row.contradictory,
        config_report: row.cell(CONFIG_REPORT).and_then(ConfigReport::decode),
    };
    others.map(front_from).collect()
}

/// Names of the fronts that are unheard now.
pub(crate) fn unheard(gossip: &Gossip, now: f64) -> BTreeSet<String> {
    let others = gossip.fronts(now).filter(|row| row.origin != gossip.own_id());
    let others = others.filter(|row| row.liveness == Liveness::Unheard);
    others.map(|row| gossip.name(row.origin).to_string()).collect()
}

impl FleetMember {
    /// Set-up times under other policies, over all fronts that are heard, for the strata that `include` accepts.
    pub fn whatif(&self, now: f64, include: impl Fn(&StratumKey) -> bool) -> Report {
        report(self.scope(now), &self.aggregates(now), include)
    }

    /// Which fronts' sums the estimates include.
    fn scope(&self, now: f64) -> Scope {
        let unheard: Vec<String> = self.unheard(now).into_iter().collect();
        Scope { fronts: self.front_count, heard: self.front_count - unheard.len(), unheard }
    }

    /// The sums of this front and of each other front that is heard, each added once.
    fn aggregates(&self, now: f64) -> Aggregates {
        let mut aggregates = Aggregates::default();
        let own_cells = self.outcomes.cells();
        aggregates.add(own_cells.iter().map(Vec::as_slice));
        let others = self.gossip.fronts(now).filter(|row| row.origin != self.gossip.own_id());
        for row in others.filter(|row| row.liveness != Liveness::Unheard) {
            let cells = row.cells(AGGREGATES).map(|(_, cell)| cell).filter(|cell| !cell.is_empty());
            aggregates.add(cells.collect::<Vec<&[u8]>>());
        }
        aggregates
    }

    /// Number of plays at a server over the whole fleet, of one product or of all.
    pub fn plays_at(&self, now: f64, server: u64, product: Option<u16>, bounds: PlayBounds) -> Interval {
        let others = self.gossip.fronts(now).filter(|row| row.origin != self.gossip.own_id());
        let others: Vec<_> = others.map(|row| peer_state(&row, &self.config.zones)).collect();
        self.counts.estimate(server, product, &others, bounds)
    }

    /// The status report as JSON, for operators and their tools. `names` gives the servers' names by id.
    pub fn status_report(&mut self, now: f64, wall_clock: f64, names: &BTreeMap<u64, String>) -> Value {
        let drift = self.drift(now, wall_clock);
        let status = drift.as_ref().map(pulleystair_drift::detector::FleetStatus::status);
        let aggregates = self.aggregates(now);
        let overall = report(self.scope(now), &aggregates, |_| true);
        let mut titles: BTreeMap<(u16, u32), u32> = BTreeMap::new();
        aggregates.strata.iter().for_each(|(key, stratum)| {
            *titles.entry((key.product, key.title)).or_default() += stratum.set_ups
        });
        let mut titles: Vec<_> = titles.into_iter().collect();
        titles.sort_by_key(|t| std::cmp::Reverse(t.1));
        let title_value = |((product, title), plays): &((u16, u32), u32)| {
            let is_of_title = |key: &StratumKey| (key.product, key.title) == (*product, *title);
            let title_report = report(self.scope(now), &aggregates, is_of_title);
            json!({ "product": product, "title": title, "plays": plays, "better": title_report.better, "policies": title_report.policies })
        };
        let server_name = |id: &u64| names.get(id).cloned().unwrap_or_else(|| format!("{id:016x}"));
        let servers: Vec<Value> = overall
            .servers
            .iter()
            .map(|estimate| {
                let mut value = serde_json::to_value(estimate).unwrap_or_default();
                value["server"] = Value::String(server_name(&estimate.server));
                value
            })
            .collect();
        let stats = self.gossip_stats();
        let server_values: Vec<Value> = self
            .listed_servers
            .keys()
            .map(|id| {
                let hint = self.last_hints.get(id);
                let bounds =
                    PlayBounds { max_plays: f64::MAX, max_added_per_ms: None, max_ended_per_ms: None };
                let plays = self.plays_at(now, *id, None, bounds);
                json!({
                    "server": server_name(id),
                    "doubted": hint.is_some_and(|hint| hint.doubted),
                    "pace": hint.map(|hint| hint.pace_multiple),
                    "plays_heard": plays.best_estimate,
                })
            })
            .collect();
        json!({
            "front": self.config.gossip.name,
            "fleet": self.config.gossip.fleet,
            "status": status,
            "drift": drift,
            "whatif": {
                "over": overall.over,
                "plays": overall.plays,
                "given_up": overall.given_up,
                "undecided": overall.undecided,
                "because": overall.because,
                "better": overall.better,
                "policies": overall.policies,
                "servers": servers,
                "titles": titles.iter().take(MAX_TITLES).map(title_value).collect::<Vec<Value>>(),
            },
            "servers": server_values,
            "zone_lost": self.health.lost_zone.and_then(|z| self.config.zones.get(z)),
            "unheard": self.unheard(now),
            "exchange": {
                "sent": stats.sent, "sent_bytes": stats.sent_bytes, "taken": stats.taken, "late": stats.late,
                "long": stats.long, "version": stats.version, "foreign": stats.foreign, "spoilt": stats.spoilt,
                "ages": stats.ages, "unknown": stats.unknown, "gaps": stats.gaps, "altered": stats.altered,
                "held_back": stats.held_back, "claimed": stats.claimed,
            },
        })
    }
}
