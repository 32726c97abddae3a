//! Lets a front that is adrift in a rule apply the stricter of its own and the approved value, where one of them is.

use crate::Difference;

/// Values of the rules, by path or by prefix of the path, and whether the smaller one is the stricter.
const RULE_VALUES: [(&str, bool); 8] = [
    ("rules.drain_grace_ms", true),
    ("rules.budget.share", true),
    ("rules.budget.free", true),
    ("rules.cold_ms", false),
    ("rules.cold_from", true),
    ("rules.overload_factor", true),
    ("rules.allocations", true),
    ("floors.", false),
];

/// The values to apply, by path: the stricter one of each pair. Differences in other values are left out.
pub fn stricter(differences: &[Difference]) -> Vec<(String, f64)> {
    let stricter_value = |d: &Difference| {
        let is_listed = |entry: &&(&str, bool)| {
            entry.0 == d.name || entry.0.ends_with('.') && d.name.starts_with(entry.0)
        };
        let (_, smaller) = RULE_VALUES.iter().find(is_listed)?;
        let (approved, active): (f64, f64) = (d.approved.parse().ok()?, d.active.parse().ok()?);
        let value = if *smaller { approved.min(active) } else { approved.max(active) };
        Some((d.name.clone(), value))
    };
    differences.iter().filter_map(stricter_value).collect()
}
