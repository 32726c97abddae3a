//! A front that is adrift in a rule can go by the stricter of both figures, where there is one.

use crate::Difference;

/// Figures of the rules, by path, and whether the smaller one is the stricter.
const FIGURES: [(&str, bool); 8] = [
    ("rules.drain_grace_ms", true),
    ("rules.budget.share", true),
    ("rules.budget.free", true),
    ("rules.cold_ms", false),
    ("rules.cold_from", true),
    ("rules.overload_factor", true),
    ("rules.allocations", true),
    ("floors.", false),
];

/// The figures to go by, by path: of each that differs, the stricter; those that differ in no such way are left out.
pub fn stricter(differences: &[Difference]) -> Vec<(String, f64)> {
    let of = |d: &Difference| {
        let named = |f: &&(&str, bool)| f.0 == d.name || f.0.ends_with('.') && d.name.starts_with(f.0);
        let (_, smaller) = FIGURES.iter().find(named)?;
        let (approved, active): (f64, f64) = (d.approved.parse().ok()?, d.active.parse().ok()?);
        let it = if *smaller { approved.min(active) } else { approved.max(active) };
        Some((d.name.clone(), it))
    };
    differences.iter().filter_map(of).collect()
}
