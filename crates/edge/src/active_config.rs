//! The configuration in effect, read back from the running front: from the placement logic, the limits and the server
//! list, never from the files that they were loaded from. It is divided into sections, by which drift from the approved
//! version is detected. Names of sections and values are the same at all fronts.

use crate::config::{Budget, Config, Rung};
use crate::edge::Edge;
use crate::server_list::{List, State};
use pulleystair::{POLICY, Settings, number};
use pulleystair_drift::{Sections, digest, hex};
use serde_json::{Value, json};

/// Revision of a server list: a checksum of its servers, and how many there are.
pub(crate) fn list_revision(list: &List) -> Value {
    let servers: Vec<Value> = list
        .servers
        .iter()
        .map(|s| json!([s.name, s.address, s.zone, s.kind, s.cell, s.weight, s.state, s.started_ms]))
        .collect();
    let draining = list.servers.iter().filter(|s| s.state == State::Draining).count();
    json!({ "revision": hex(&digest(&json!(servers)))[..16], "servers": list.servers.len(), "draining": draining })
}

/// The configuration `original` with the values of the ladder, rules, prices and products that the placement logic's
/// settings contain. The products' `top`, `live`, `effect` and `repeat_group` are kept from `original`.
fn config_from_settings(original: &Config, settings: &Settings) -> Config {
    let mut config = original.clone();
    let value = |name: &str, default: f64| number(settings, name, default);
    config.ladder = (0..original.ladder.len())
        .map(|i| Rung {
            rate_kb: value(&format!("extra.ladder_kb.{i}"), f64::NAN),
            earns: value(&format!("extra.rung_worth.{i}"), f64::NAN),
        })
        .collect();
    config.rules.cold_ms = value("rules.cold", 0.0);
    config.rules.cold_from = value("rules.cold_from", 0.0);
    config.rules.overload_factor = value("rules.overload_factor", 0.0);
    config.rules.allocations = value("ceilings.attempts_cap", 0.0) as usize;
    config.rules.retry_after_ms = value("ceilings.max_retry_after", 0.0);
    config.rules.probes = value("ceilings.probes", 0.0) > 0.0;
    config.rules.budget = settings.contains_key("rules.budget_share").then(|| Budget {
        span_ms: value("rules.budget_span", 0.0),
        share: value("rules.budget_share", 0.0),
        free: value("rules.free_resends", 0.0),
    });
    config.prices.cross_zone = value("costs.cross_zone", 0.0);
    config.prices.probe = value("costs.probe", 0.0);
    for (i, product) in config.products.iter_mut().enumerate() {
        product.importance = value(&format!("products.{i}.importance"), 0.0);
        product.first_frame_target_ms = value(&format!("products.{i}.first_frame_target"), 0.0);
        product.repeat_window_ms = value(&format!("products.{i}.repeat_window"), 0.0);
        product.floor = value(&format!("extra.class_floor.{i}"), 0.0) as usize;
        product.scale = value(&format!("extra.class_scale.{i}"), 0.0);
        product.seats = value(&format!("extra.seats.{i}"), 0.0) as usize;
    }
    config
}

/// The sections of a configuration, by the names of its keys; `list` is the revision of the server list.
pub fn sections(config: &Config, list: Value) -> Sections {
    let or_null = |value: serde_json::Result<Value>| value.unwrap_or(Value::Null);
    let by_product = |section: &dyn Fn(&crate::config::Product) -> Value| -> Value {
        config.products.iter().map(|p| (p.name.clone(), section(p))).collect::<serde_json::Map<_, _>>().into()
    };
    let product_values = |p: &crate::config::Product| {
        let mut value = or_null(serde_json::to_value(p));
        if let Some(value) = value.as_object_mut() {
            ["name", "floor", "seats"].iter().for_each(|part| {
                value.remove(*part);
            });
        }
        value
    };
    let limits = json!({
        "limits": or_null(serde_json::to_value(&config.limits)),
        "reads": or_null(serde_json::to_value(&config.reads)),
        "admission": or_null(serde_json::to_value(&config.admission)),
    });
    let parts = json!({
        "tls_players": config.tls.players.is_some(),
        "tls_servers": config.tls.servers.is_some(),
        "homes": config.homes.is_some(),
        "sharing": !config.fleet.peers.is_empty(),
        "stricter": config.sharing.stricter,
    });
    let policy: Vec<&str> = POLICY.to_vec();
    Sections::from([
        ("ladder".into(), or_null(serde_json::to_value(&config.ladder))),
        ("products".into(), by_product(&product_values)),
        ("floors".into(), by_product(&|p| json!(p.floor))),
        ("seats".into(), by_product(&|p| json!(p.seats))),
        ("rules".into(), or_null(serde_json::to_value(&config.rules))),
        ("prices".into(), or_null(serde_json::to_value(&config.prices))),
        ("limits".into(), limits),
        ("list".into(), list),
        ("parts".into(), parts),
        ("policy".into(), json!(hex(&digest(&json!(policy))))),
    ])
}

/// Name of the setting for a value that may be replaced by a stricter one, given by its path in the sections; `None`
/// for any other path. Of the paths that the callers pass, only `rules.drain_grace_ms` has no setting: the front itself
/// uses it.
pub(crate) fn setting_name(config: &Config, path: &str) -> Option<String> {
    let name = match path {
        "rules.budget.share" => "rules.budget_share",
        "rules.budget.free" => "rules.free_resends",
        "rules.cold_ms" => "rules.cold",
        "rules.cold_from" | "rules.overload_factor" => path,
        "rules.allocations" => "ceilings.attempts_cap",
        _ => {
            let product = path.strip_prefix("floors.")?;
            let i = config.products.iter().position(|p| p.name == product)?;
            return Some(format!("extra.class_floor.{i}"));
        }
    };
    Some(name.to_string())
}

impl Edge {
    /// The sections of the configuration in effect; empty without a fleet. Where a stricter value is applied while
    /// adrift, this front's own value is shown instead, so that the drift stays visible.
    pub(crate) fn active_sections(&self) -> Sections {
        let mut settings = self.dispatcher.active_settings();
        let mut config = self.state.config.clone();
        let Some(fleet) = &self.state.fleet else { return Sections::new() };
        for (path, (own, stricter)) in &fleet.stricter_values {
            match setting_name(&config, path) {
                Some(name) if number(&settings, &name, f64::NAN) == *stricter => {
                    settings.insert(name, pulleystair::Value::Number(*own));
                }
                // The value was changed since the stricter one was applied, and is shown as it is.
                Some(_) => {}
                // Only the path rules.drain_grace_ms has no setting.
                None => config.rules.drain_grace_ms = *own,
            }
        }
        sections(&config_from_settings(&config, &settings), fleet.list_revision.clone())
    }

    /// Applies the given stricter values, by path, and restores this front's own value for each path that is no longer
    /// among them. `limits.list_poll_ms`, which a stricter `rules.drain_grace_ms` may shorten, is not restored.
    pub(crate) fn apply_stricter_values(&mut self, stricter: &[(String, f64)]) {
        let Some(fleet) = &self.state.fleet else { return };
        let applied = fleet.stricter_values.clone();
        for (path, (own, _)) in applied.iter().filter(|(path, _)| !stricter.iter().any(|s| s.0 == **path)) {
            self.apply_value(path, *own);
            tracing::info!(target: "fleet", path, own, "in step: goes by its own figure again");
            self.state.fleet.iter_mut().for_each(|fleet| {
                fleet.stricter_values.remove(path);
            });
        }
        for (path, value) in stricter {
            let own = match setting_name(&self.state.config, path) {
                Some(name) => number(&self.dispatcher.active_settings(), &name, f64::NAN),
                // Only the path rules.drain_grace_ms has no setting.
                None => self.state.config.rules.drain_grace_ms,
            };
            if own == *value || applied.get(path).is_some_and(|applied| applied.1 == *value) {
                continue;
            }
            let own = applied.get(path).map_or(own, |applied| applied.0);
            self.apply_value(path, *value);
            tracing::warn!(target: "fleet", path, own, figure = value, "adrift in a rule: goes by the stricter figure");
            self.state.fleet.iter_mut().for_each(|fleet| {
                fleet.stricter_values.insert(path.clone(), (own, *value));
            });
        }
    }

    /// Puts a value of the rules, given by its path, into effect. A path without a setting is taken for
    /// `rules.drain_grace_ms`.
    fn apply_value(&mut self, path: &str, value: f64) {
        match setting_name(&self.state.config, path) {
            Some(name) => self.dispatcher.override_setting(&name, value),
            // A drain is noticed when the list is polled, so the interval of polls must not exceed the grace period.
            None => {
                let limits = &mut self.state.config.limits;
                limits.list_poll_ms = limits.list_poll_ms.min(value);
                self.state.config.rules.drain_grace_ms = value;
            }
        }
    }
}
