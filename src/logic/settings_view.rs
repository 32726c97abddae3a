//! Shows the settings in effect, for comparison with the approved ones, and overrides single settings. Decides nothing.

use super::Policy;
use crate::{Settings, Value};

impl Policy {
    /// All settings, under their flat names, as last overridden. The defaults and limits in effect are filled in for the
    /// ladder's rates and values, and for each product's importance, first-frame target, repeat window, lowest rung, rate
    /// scale and seat limit.
    pub fn active_settings(&self) -> Settings {
        let mut active = self.settings.clone();
        let mut insert = |name: String, value: f64| active.insert(name, Value::Number(value));
        for (i, (kb, rung_value)) in self.ladder_kb.iter().zip(&self.rung_values).enumerate() {
            insert(format!("extra.ladder_kb.{i}"), *kb);
            insert(format!("extra.rung_worth.{i}"), *rung_value);
        }
        for (i, product) in self.products.iter().enumerate() {
            insert(format!("products.{i}.importance"), product.importance);
            insert(format!("products.{i}.first_frame_target"), product.first_frame_target);
            insert(format!("products.{i}.repeat_window"), product.repeat_window);
            insert(format!("extra.class_floor.{i}"), product.min_rung as f64);
            insert(format!("extra.class_scale.{i}"), product.rate_scale);
            insert(format!("extra.seats.{i}"), product.seat_limit as f64);
        }
        active
    }

    /// Uses another value for a setting from now on. This takes effect for settings that are read at each use, and for a
    /// product's lowest rung. A setting that is read only at the start keeps its former effect;
    /// [`Policy::active_settings`] shows its new value, unless it is one of those that are filled in.
    pub fn override_setting(&mut self, name: &str, value: f64) {
        let product_index = name.strip_prefix("extra.class_floor.").and_then(|i| i.parse::<usize>().ok());
        if let Some(product) = product_index.and_then(|i| self.products.get_mut(i)) {
            product.min_rung = (value.max(0.0) as usize).min(self.ladder_kb.len() - 1);
        }
        self.settings.insert(name.to_string(), Value::Number(value));
    }
}
