//! What a front goes by, shown to whoever compares it with what was approved, and other figures put in its place. No decision.

use super::Policy;
use crate::{Settings, Value};

impl Policy {
    /// All that it goes by now, under the call sheet's names.
    pub fn active_settings(&self) -> Settings {
        let mut it = self.sheet.clone();
        let mut put = |name: String, x: f64| it.insert(name, Value::Number(x));
        for (i, (kb, earns)) in self.ladder.iter().zip(&self.earns).enumerate() {
            put(format!("extra.ladder_kb.{i}"), *kb);
            put(format!("extra.rung_worth.{i}"), *earns);
        }
        for (i, p) in self.products.iter().enumerate() {
            put(format!("products.{i}.importance"), p.importance);
            put(format!("products.{i}.first_frame_target"), p.target);
            put(format!("products.{i}.repeat_window"), p.repeat_window);
            put(format!("extra.class_floor.{i}"), p.floor as f64);
            put(format!("extra.class_scale.{i}"), p.scale);
            put(format!("extra.seats.{i}"), p.seats as f64);
        }
        it
    }

    /// Goes by another figure from now on: a rule's, or a product's floor.
    pub fn override_setting(&mut self, name: &str, value: f64) {
        let of = name.strip_prefix("extra.class_floor.").and_then(|i| i.parse::<usize>().ok());
        if let Some(product) = of.and_then(|i| self.products.get_mut(i)) {
            product.floor = (value.max(0.0) as usize).min(self.ladder.len() - 1);
        }
        self.sheet.insert(name.to_string(), Value::Number(value));
    }
}
