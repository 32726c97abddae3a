//! Conversion of the configuration to the flat settings of the placement logic (`pulleystair`).

use super::*;
use pulleystair::{Settings, Value};

impl Config {
    /// The settings of the placement logic, by their names there. This is the only place that maps names of the
    /// configuration file to names of settings.
    pub fn policy_settings(&self) -> Settings {
        let mut settings = Settings::new();
        let mut set = |name: &str, value: f64| {
            settings.insert(name.to_string(), Value::Number(value));
        };
        let flag = |on: bool| if on { 1.0 } else { 0.0 };
        set("balancers", self.fronts as f64);
        set("rank", self.rank as f64);
        set("zone", self.zones.iter().position(|z| *z == self.zone).unwrap_or(0) as f64);
        set("ceilings.attempts_cap", self.rules.allocations as f64);
        set("ceilings.probes", flag(self.rules.probes));
        set("ceilings.retry_after", flag(self.rules.retry_after_ms > 0.0));
        set("ceilings.max_retry_after", self.rules.retry_after_ms);
        set("costs.cross_zone", self.prices.cross_zone);
        if self.prices.probe > 0.0 {
            set("costs.probe", self.prices.probe);
        }
        set("rules.cold", self.rules.cold_ms);
        set("rules.cold_from", self.rules.cold_from);
        set("rules.overload_factor", self.rules.overload_factor);
        if let Some(budget) = &self.rules.budget {
            set("rules.budget_span", budget.span_ms);
            set("rules.budget_share", budget.share);
            set("rules.free_resends", budget.free);
        }
        set("extra.cabinets", self.fleet.racks as f64);
        set("extra.places", self.fleet.cells as f64);
        set("extra.rack_link_kb", self.fleet.rack_link_kb);
        set("extra.link_unit_kb", self.fleet.link_unit_kb);
        set("extra.fleet_kb", self.fleet.links_kb);
        set("extra.join", self.fleet.shared_part);
        set("extra.seen_after", self.fleet.notes_late_ms);
        set("extra.stall_cost", self.fleet.stall_cost);
        set("extra.change_costs_s", self.fleet.change_costs_s);
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            set(&format!("extra.places_by_kind.{i}"), kind.streams as f64);
        }
        for (i, rung) in self.ladder.iter().enumerate() {
            set(&format!("extra.ladder_kb.{i}"), rung.rate_kb);
            set(&format!("extra.rung_worth.{i}"), rung.earns);
        }
        for (i, product) in self.products.iter().enumerate() {
            set(&format!("products.{i}.importance"), product.importance);
            set(&format!("products.{i}.first_frame_target"), product.first_frame_target_ms);
            set(&format!("products.{i}.repeat_window"), product.repeat_window_ms);
            set(&format!("extra.class_floor.{i}"), product.floor as f64);
            set(&format!("extra.top_by_class.{i}"), product.top.unwrap_or(self.ladder.len() - 1) as f64);
            set(&format!("extra.class_scale.{i}"), product.scale);
            set(&format!("extra.class_live.{i}"), flag(product.live));
            set(&format!("extra.seats.{i}"), product.seats as f64);
        }
        for (i, product) in self.products.iter().enumerate() {
            let effect = match product.effect {
                Effect::ReadLike => "read_like",
                Effect::IdempotencyKey => "idempotency_key",
                Effect::NonIdempotent => "non_idempotent",
            };
            let group = match product.repeat_group {
                Group::All => "all",
                Group::Zone => "zone",
                Group::Cell => "cell",
            };
            settings.insert(format!("products.{i}.effect"), Value::Text(effect.into()));
            settings.insert(format!("products.{i}.key_scope"), Value::Text(group.into()));
        }
        settings
    }
}
