//! What this front goes by, read back from what runs: the decisions, the limits, the list. Never from the files that it
//! was to be read from.

use crate::config::{Budget, Config, Rung};
use crate::edge::Edge;
use crate::server_list::{List, State};
use pulleystair::{POLICY, Settings, number};
use pulleystair_drift::{Sections, digest, hex};
use serde_json::{Value, json};

/// The list's revision: a checksum of all that it says of servers.
pub(crate) fn revision(list: &List) -> Value {
    let servers: Vec<Value> = list
        .servers
        .iter()
        .map(|s| json!([s.name, s.address, s.zone, s.kind, s.cell, s.weight, s.state, s.started_ms]))
        .collect();
    let draining = list.servers.iter().filter(|s| s.state == State::Draining).count();
    json!({ "revision": hex(&digest(&json!(servers)))[..16], "servers": list.servers.len(), "draining": draining })
}

/// The decisions' sheet, as far as it says what the rundown says, in the rundown's words.
fn as_rundown(was: &Config, sheet: &Settings) -> Config {
    let mut it = was.clone();
    let of = |name: &str, otherwise: f64| number(sheet, name, otherwise);
    it.ladder = (0..was.ladder.len())
        .map(|i| Rung {
            rate_kb: of(&format!("extra.ladder_kb.{i}"), f64::NAN),
            earns: of(&format!("extra.rung_worth.{i}"), f64::NAN),
        })
        .collect();
    it.rules.cold_ms = of("rules.cold", 0.0);
    it.rules.cold_from = of("rules.cold_from", 0.0);
    it.rules.overload_factor = of("rules.overload_factor", 0.0);
    it.rules.allocations = of("ceilings.attempts_cap", 0.0) as usize;
    it.rules.retry_after_ms = of("ceilings.max_retry_after", 0.0);
    it.rules.probes = of("ceilings.probes", 0.0) > 0.0;
    it.rules.budget = sheet.contains_key("rules.budget_share").then(|| Budget {
        span_ms: of("rules.budget_span", 0.0),
        share: of("rules.budget_share", 0.0),
        free: of("rules.free_resends", 0.0),
    });
    it.prices.cross_zone = of("costs.cross_zone", 0.0);
    it.prices.probe = of("costs.probe", 0.0);
    for (i, product) in it.products.iter_mut().enumerate() {
        product.importance = of(&format!("products.{i}.importance"), 0.0);
        product.first_frame_target_ms = of(&format!("products.{i}.first_frame_target"), 0.0);
        product.repeat_window_ms = of(&format!("products.{i}.repeat_window"), 0.0);
        product.floor = of(&format!("extra.class_floor.{i}"), 0.0) as usize;
        product.scale = of(&format!("extra.class_scale.{i}"), 0.0);
        product.seats = of(&format!("extra.seats.{i}"), 0.0) as usize;
    }
    it
}

/// The sections of a rundown, in its own words.
pub fn sections(it: &Config, list: Value) -> Sections {
    let plain = |value: serde_json::Result<Value>| value.unwrap_or(Value::Null);
    let by_name = |of: &dyn Fn(&crate::config::Product) -> Value| -> Value {
        it.products.iter().map(|p| (p.name.clone(), of(p))).collect::<serde_json::Map<_, _>>().into()
    };
    let product = |p: &crate::config::Product| {
        let mut value = plain(serde_json::to_value(p));
        if let Some(value) = value.as_object_mut() {
            ["name", "floor", "seats"].iter().for_each(|part| {
                value.remove(*part);
            });
        }
        value
    };
    let limits = json!({
        "limits": plain(serde_json::to_value(&it.limits)),
        "reads": plain(serde_json::to_value(&it.reads)),
        "admission": plain(serde_json::to_value(&it.admission)),
    });
    let parts = json!({
        "tls_players": it.tls.players.is_some(),
        "tls_servers": it.tls.servers.is_some(),
        "homes": it.homes.is_some(),
        "sharing": !it.fleet.peers.is_empty(),
        "stricter": it.sharing.stricter,
    });
    let policy: Vec<&str> = POLICY.to_vec();
    Sections::from([
        ("ladder".into(), plain(serde_json::to_value(&it.ladder))),
        ("products".into(), by_name(&product)),
        ("floors".into(), by_name(&|p| json!(p.floor))),
        ("seats".into(), by_name(&|p| json!(p.seats))),
        ("rules".into(), plain(serde_json::to_value(&it.rules))),
        ("prices".into(), plain(serde_json::to_value(&it.prices))),
        ("limits".into(), limits),
        ("list".into(), list),
        ("parts".into(), parts),
        ("policy".into(), json!(hex(&digest(&json!(policy))))),
    ])
}

/// A figure of the rules by its path: its name on the call sheet, where it has one.
pub(crate) fn on_the_sheet(it: &Config, path: &str) -> Option<String> {
    let name = match path {
        "rules.budget.share" => "rules.budget_share",
        "rules.budget.free" => "rules.free_resends",
        "rules.cold_ms" => "rules.cold",
        "rules.cold_from" | "rules.overload_factor" => path,
        "rules.allocations" => "ceilings.attempts_cap",
        _ => {
            let product = path.strip_prefix("floors.")?;
            let i = it.products.iter().position(|p| p.name == product)?;
            return Some(format!("extra.class_floor.{i}"));
        }
    };
    Some(name.to_string())
}

impl Edge {
    /// What runs, less what this front holds itself to for being adrift.
    pub(crate) fn goes_by(&self) -> Sections {
        let mut sheet = self.dispatcher.active_settings();
        let mut rundown = self.state.config.clone();
        let Some(company) = &self.state.fleet else { return Sections::new() };
        for (path, (own, held)) in &company.held {
            match on_the_sheet(&rundown, path) {
                Some(name) if number(&sheet, &name, f64::NAN) == *held => {
                    sheet.insert(name, pulleystair::Value::Number(*own));
                }
                Some(_) => {}
                None => rundown.rules.drain_grace_ms = *own,
            }
        }
        sections(&as_rundown(&rundown, &sheet), company.list.clone())
    }

    /// Goes by the stricter figures while it is adrift, and by its own again once it is in step.
    pub(crate) fn hold_to(&mut self, stricter: &[(String, f64)]) {
        let Some(company) = &self.state.fleet else { return };
        let held = company.held.clone();
        for (path, (own, _)) in held.iter().filter(|(path, _)| !stricter.iter().any(|s| s.0 == **path)) {
            self.go_by(path, *own);
            tracing::info!(target: "fleet", path, own, "in step: goes by its own figure again");
            self.state.fleet.iter_mut().for_each(|it| {
                it.held.remove(path);
            });
        }
        for (path, figure) in stricter {
            let own = match on_the_sheet(&self.state.config, path) {
                Some(name) => number(&self.dispatcher.active_settings(), &name, f64::NAN),
                None => self.state.config.rules.drain_grace_ms,
            };
            if own == *figure || held.get(path).is_some_and(|held| held.1 == *figure) {
                continue;
            }
            let own = held.get(path).map_or(own, |held| held.0);
            self.go_by(path, *figure);
            tracing::warn!(target: "fleet", path, own, figure, "adrift in a rule: goes by the stricter figure");
            self.state.fleet.iter_mut().for_each(|it| {
                it.held.insert(path.clone(), (own, *figure));
            });
        }
    }

    fn go_by(&mut self, path: &str, figure: f64) {
        match on_the_sheet(&self.state.config, path) {
            Some(name) => self.dispatcher.override_setting(&name, figure),
            // A drain is heard of by a look at the list; those are no further apart than the grace.
            None => {
                let limits = &mut self.state.config.limits;
                limits.list_poll_ms = limits.list_poll_ms.min(figure);
                self.state.config.rules.drain_grace_ms = figure;
            }
        }
    }
}
