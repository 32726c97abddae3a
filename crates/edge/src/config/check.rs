//! Checks of a configuration that was parsed: ranges of single values, and values that contradict each other.

use super::*;
use pulleystair_dash::address;

impl Config {
    /// Checks the values that have bounds or refer to each other. The error is the first invalid value: its path in the
    /// file, what was found, what is allowed.
    pub(crate) fn check(&self) -> Result<(), (String, String, &'static str)> {
        let positive = |path: &str, value: f64| {
            let is_valid = value.is_finite() && value > 0.0 && value <= 1e12;
            is_valid.then_some(()).ok_or((
                path.to_string(),
                value.to_string(),
                "a number above 0, at most 1e12",
            ))
        };
        let non_negative = |path: &str, value: f64| {
            let is_valid = value.is_finite() && (0.0..=1e12).contains(&value);
            is_valid.then_some(()).ok_or((
                path.to_string(),
                value.to_string(),
                "a number of at least 0, at most 1e12",
            ))
        };
        let fraction = |path: &str, value: f64| {
            let is_valid = (0.0..=1.0).contains(&value);
            is_valid.then_some(()).ok_or((path.to_string(), value.to_string(), "a number from 0 to 1"))
        };
        let count = |path: &str, count: usize, max: usize| {
            let is_valid = count > 0 && count <= max;
            is_valid.then_some(()).ok_or((
                path.to_string(),
                count.to_string(),
                "a whole number from 1 to the upper bound of this setting",
            ))
        };
        let valid_name = |path: String, name: &str| {
            let allowed = "1 to 64 letters, digits, - _ .";
            address::is_valid_name(name).then_some(()).ok_or((path, format!("{name:?}"), allowed))
        };
        count("zones", self.zones.len(), 1000)?;
        if !self.zones.contains(&self.zone) {
            return Err(("zone".into(), format!("{:?}", self.zone), "one of zones"));
        }
        count("fronts", self.fronts, 100_000)?;
        if self.rank >= self.fronts {
            return Err(("rank".into(), self.rank.to_string(), "a whole number under fronts"));
        }
        count("ladder", self.ladder.len(), 64)?;
        for (i, rung) in self.ladder.iter().enumerate() {
            positive(&format!("ladder[{i}].rate_kb"), rung.rate_kb)?;
            non_negative(&format!("ladder[{i}].earns"), rung.earns)?;
            if i > 0 && rung.rate_kb <= self.ladder[i - 1].rate_kb {
                let path = format!("ladder[{i}].rate_kb");
                return Err((path, rung.rate_kb.to_string(), "a rate above that of the rung before"));
            }
        }
        count("products", self.products.len(), 1000)?;
        for (i, product) in self.products.iter().enumerate() {
            let path = |name: &str| format!("products[{i}].{name}");
            valid_name(path("name"), &product.name)?;
            if self.products[..i].iter().any(|p| p.name == product.name) {
                return Err((
                    path("name"),
                    format!("{:?}", product.name),
                    "a name that no other product has",
                ));
            }
            positive(&path("importance"), product.importance)?;
            positive(&path("first_frame_target_ms"), product.first_frame_target_ms)?;
            positive(&path("time_limit_ms"), product.time_limit_ms)?;
            if product.time_limit_ms < product.first_frame_target_ms {
                let found = product.time_limit_ms.to_string();
                return Err((path("time_limit_ms"), found, "a time no shorter than first_frame_target_ms"));
            }
            non_negative(&path("repeat_window_ms"), product.repeat_window_ms)?;
            positive(&path("scale"), product.scale)?;
            for (name, rung) in [("floor", Some(product.floor)), ("top", product.top)] {
                if rung.is_some_and(|r| r >= self.ladder.len()) {
                    return Err((path(name), format!("{rung:?}"), "an index of the ladder"));
                }
            }
            if product.top.is_some_and(|top| top < product.floor) {
                return Err((path("top"), format!("{:?}", product.top), "a rung no lower than floor"));
            }
        }
        count("fleet.cells", self.fleet.cells, 65_536)?;
        count("fleet.racks", self.fleet.racks, self.fleet.cells)?;
        count("fleet.kinds", self.fleet.kinds.len(), 256)?;
        for (i, kind) in self.fleet.kinds.iter().enumerate() {
            valid_name(format!("fleet.kinds[{i}].name"), &kind.name)?;
            count(&format!("fleet.kinds[{i}].streams"), kind.streams, 1_000_000)?;
        }
        positive("fleet.rack_link_kb", self.fleet.rack_link_kb)?;
        positive("fleet.link_unit_kb", self.fleet.link_unit_kb)?;
        positive("fleet.links_kb", self.fleet.links_kb)?;
        fraction("fleet.shared_part", self.fleet.shared_part)?;
        non_negative("fleet.notes_late_ms", self.fleet.notes_late_ms)?;
        non_negative("fleet.stall_cost", self.fleet.stall_cost)?;
        non_negative("fleet.change_costs_s", self.fleet.change_costs_s)?;
        non_negative("rules.drain_grace_ms", self.rules.drain_grace_ms)?;
        non_negative("rules.cold_ms", self.rules.cold_ms)?;
        fraction("rules.cold_from", self.rules.cold_from)?;
        positive("rules.overload_factor", self.rules.overload_factor)?;
        count("rules.allocations", self.rules.allocations, 100)?;
        non_negative("rules.retry_after_ms", self.rules.retry_after_ms)?;
        if let Some(budget) = &self.rules.budget {
            positive("rules.budget.span_ms", budget.span_ms)?;
            non_negative("rules.budget.share", budget.share)?;
            non_negative("rules.budget.free", budget.free)?;
        }
        non_negative("prices.probe", self.prices.probe)?;
        non_negative("prices.cross_zone", self.prices.cross_zone)?;
        positive("admission.least", self.admission.least)?;
        positive("admission.most", self.admission.most)?;
        if self.admission.most < self.admission.least {
            let found = self.admission.most.to_string();
            return Err(("admission.most".into(), found, "a number no lower than admission.least"));
        }
        if !(1.0..=100.0).contains(&self.admission.tolerance) {
            let found = self.admission.tolerance.to_string();
            return Err(("admission.tolerance".into(), found, "a number from 1 to 100"));
        }
        non_negative("admission.slack_ms", self.admission.slack_ms)?;
        count("admission.sample", self.admission.sample, 100_000)?;
        count("admission.queue", self.admission.queue, 1_000_000)?;
        non_negative("admission.crowded_ms", self.admission.crowded_ms)?;
        positive("admission.behind_ms", self.admission.behind_ms)?;
        positive("admission.work_ms", self.admission.work_ms)?;
        non_negative("admission.reserve_ms", self.admission.reserve_ms)?;
        count("reads.tries", self.reads.tries, 100)?;
        positive("reads.patience_ms", self.reads.patience_ms)?;
        positive("reads.span_ms", self.reads.span_ms)?;
        non_negative("reads.share", self.reads.share)?;
        non_negative("reads.free", self.reads.free)?;
        let limits = &self.limits;
        let counts = [
            ("connections", limits.connections),
            ("header_bytes", limits.header_bytes),
            ("relay_bytes", limits.relay_bytes),
            ("deciding", limits.deciding),
            ("plays", limits.plays),
            ("sessions", limits.sessions),
            ("waiters", limits.waiters),
            ("fetches", limits.fetches),
            ("server_connections", limits.server_connections),
            ("server_queue", limits.server_queue),
        ];
        for (name, value) in counts {
            count(&format!("limits.{name}"), value, 10_000_000)?;
        }
        let positive_values = [
            ("header_ms", limits.header_ms),
            ("idle_ms", limits.idle_ms),
            ("slow_reader_ms", limits.slow_reader_ms),
            ("slow_reader_kb", limits.slow_reader_kb),
            ("server_idle_ms", limits.server_idle_ms),
            ("dial_ms", limits.dial_ms),
            ("segment_ms", limits.segment_ms),
            ("play_idle_ms", limits.play_idle_ms),
            ("remember_ms", limits.remember_ms),
            ("come_back_ms", limits.come_back_ms),
            ("list_poll_ms", limits.list_poll_ms),
            ("keys_poll_ms", limits.keys_poll_ms),
            ("pass_ms", limits.pass_ms),
            ("key_overlap_ms", limits.key_overlap_ms),
            ("expiry_ms", limits.expiry_ms),
            ("stop_ms", limits.stop_ms),
            ("tally_ms", limits.tally_ms),
        ];
        for (name, value) in positive_values {
            positive(&format!("limits.{name}"), value)?;
        }
        non_negative("limits.skew_ms", limits.skew_ms)?;
        self.check_sharing()?;
        if limits.list_poll_ms > self.rules.drain_grace_ms {
            let allowed = "a time no longer than rules.drain_grace_ms";
            return Err(("limits.list_poll_ms".into(), limits.list_poll_ms.to_string(), allowed));
        }
        Ok(())
    }
}
