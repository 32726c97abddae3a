//! The decisions' call sheet.

use super::*;
use pulleystair::{Settings, Value};

impl Config {
    /// The decisions' plain map. The only place where what is given here gets the names used there.
    pub fn policy_settings(&self) -> Settings {
        let mut sheet = Settings::new();
        let mut number = |name: &str, x: f64| {
            sheet.insert(name.to_string(), Value::Number(x));
        };
        let truth = |b: bool| if b { 1.0 } else { 0.0 };
        number("balancers", self.fronts as f64);
        number("rank", self.rank as f64);
        number("zone", self.zones.iter().position(|z| *z == self.zone).unwrap_or(0) as f64);
        number("ceilings.attempts_cap", self.rules.allocations as f64);
        number("ceilings.probes", truth(self.rules.probes));
        number("ceilings.retry_after", truth(self.rules.retry_after_ms > 0.0));
        number("ceilings.max_retry_after", self.rules.retry_after_ms);
        number("costs.cross_zone", self.prices.cross_zone);
        if self.prices.probe > 0.0 {
            number("costs.probe", self.prices.probe);
        }
        number("rules.cold", self.rules.cold_ms);
        number("rules.cold_from", self.rules.cold_from);
        number("rules.overload_factor", self.rules.overload_factor);
        if let Some(budget) = &self.rules.budget {
            number("rules.budget_span", budget.span_ms);
            number("rules.budget_share", budget.share);
            number("rules.free_resends", budget.free);
        }
        number("extra.cabinets", self.fleet.racks as f64);
        number("extra.places", self.fleet.cells as f64);
        number("extra.rack_link_kb", self.fleet.rack_link_kb);
        number("extra.link_unit_kb", self.fleet.link_unit_kb);
        number("extra.fleet_kb", self.fleet.links_kb);
        number("extra.join", self.fleet.shared_part);
        number("extra.seen_after", self.fleet.notes_late_ms);
        number("extra.stall_cost", self.fleet.stall_cost);
        number("extra.change_costs_s", self.fleet.change_costs_s);
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            number(&format!("extra.places_by_kind.{i}"), kind.streams as f64);
        }
        for (i, rung) in self.ladder.iter().enumerate() {
            number(&format!("extra.ladder_kb.{i}"), rung.rate_kb);
            number(&format!("extra.rung_worth.{i}"), rung.earns);
        }
        for (i, product) in self.products.iter().enumerate() {
            number(&format!("products.{i}.importance"), product.importance);
            number(&format!("products.{i}.first_frame_target"), product.first_frame_target_ms);
            number(&format!("products.{i}.repeat_window"), product.repeat_window_ms);
            number(&format!("extra.class_floor.{i}"), product.floor as f64);
            number(&format!("extra.top_by_class.{i}"), product.top.unwrap_or(self.ladder.len() - 1) as f64);
            number(&format!("extra.class_scale.{i}"), product.scale);
            number(&format!("extra.class_live.{i}"), truth(product.live));
            number(&format!("extra.seats.{i}"), product.seats as f64);
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
            sheet.insert(format!("products.{i}.effect"), Value::Text(effect.into()));
            sheet.insert(format!("products.{i}.key_scope"), Value::Text(group.into()));
        }
        sheet
    }
}
