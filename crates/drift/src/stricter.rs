//! For a front with a wrong verdict: the stricter of its own and the approved value of each rule value that can be ordered.

use crate::Difference;

/// Values of the rules that can be ordered: the path (or, if it ends with a dot, its prefix), and whether the smaller value
/// is the stricter one.
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

/// The values to apply, by path: the stricter one of each pair. Differences in other values, or in values
/// that are not numbers, are left out.
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
