//! The file of approved versions: loaded at start and polled while the front runs. It is refused if it is not a valid
//! chain of versions, does not continue the chain loaded before, or approves a configuration that is invalid.

use crate::config::Config;
use crate::edge::Edge;
use pulleystair_drift::Sections;
use pulleystair_drift::approved::VersionChain;
use serde_json::Value;
use std::path::Path;
use tracing::{info, warn};

/// Size of the largest file of versions that is read, bytes.
const MAX_BYTES: u64 = 64 << 20;

/// Loads and checks the file. An error names the file, the version and the path of the invalid value, and the cause.
pub fn load(file: &Path, config: &Config) -> anyhow::Result<VersionChain> {
    let file_error = |cause: String| anyhow::anyhow!("sharing.approved: {}: {cause}", file.display());
    let size = std::fs::metadata(file).map_err(|e| file_error(e.to_string()))?.len();
    if size > MAX_BYTES {
        return Err(file_error(format!("{size} bytes; {MAX_BYTES} at most")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| file_error(e.to_string()))?;
    let chain = VersionChain::parse(&text).map_err(|e| file_error(e.to_string()))?;
    for (i, version) in chain.versions.iter().enumerate() {
        check_sections(config, &chain.sections(i)).map_err(|(path, found, allowed)| {
            file_error(format!("version {}: {path}: {found}; allowed: {allowed}", version.number))
        })?;
    }
    Ok(chain)
}

/// Checks that a front with this configuration could run with the rules, prices, ladder, limits, floors and seats of
/// these sections. An error has the path of the invalid value, what was found, and what is allowed.
fn check_sections(config: &Config, sections: &Sections) -> Result<(), (String, String, &'static str)> {
    let mut changed = config.clone();
    let parse_error = |path: &str, e: serde_json::Error| {
        (path.to_string(), e.to_string(), "what a configuration may contain")
    };
    let section = |name: &str| sections.get(name).cloned();
    if let Some(value) = section("rules") {
        changed.rules = serde_json::from_value(value).map_err(|e| parse_error("rules", e))?;
    }
    if let Some(value) = section("prices") {
        changed.prices = serde_json::from_value(value).map_err(|e| parse_error("prices", e))?;
    }
    if let Some(value) = section("ladder") {
        changed.ladder = serde_json::from_value(value).map_err(|e| parse_error("ladder", e))?;
    }
    if let Some(value) = section("limits").and_then(|limits| limits.get("limits").cloned()) {
        changed.limits = serde_json::from_value(value).map_err(|e| parse_error("limits", e))?;
    }
    for (section_name, is_floor) in [("floors", true), ("seats", false)] {
        for (name, value) in section(section_name).as_ref().and_then(Value::as_object).into_iter().flatten() {
            let path = format!("{section_name}.{name}");
            let count = value.as_u64().ok_or((path.clone(), value.to_string(), "a whole number"))? as usize;
            let product = changed.products.iter_mut().find(|p| p.name == *name);
            let product =
                product.ok_or((path, "no such product".into(), "one of the configuration's products"))?;
            if is_floor { product.floor = count } else { product.seats = count }
        }
    }
    changed.check()
}

impl Edge {
    /// Loads the approved versions if their file was replaced; refused ones leave the current ones in effect.
    pub(crate) fn poll_approved_versions(&mut self) {
        let state = &mut self.state;
        let Some(fleet) = state.fleet.as_mut() else { return };
        let Some(watched) = fleet.approved_file.as_mut() else { return };
        if !watched.check_replaced() {
            return;
        }
        let loaded = load(watched.first_file(), &state.config).map_err(|e| e.to_string());
        let accepted = loaded.and_then(|chain| {
            let number = chain.head().map(|version| version.number);
            fleet.member.set_approved(chain).map(|()| number)
        });
        match accepted {
            Ok(number) => {
                watched.record_acceptance();
                info!(target: "fleet", number, "approved version taken");
            }
            Err(e) => {
                // The file may be in the middle of being written.
                if watched.record_refusal(&e, true) {
                    warn!(target: "fleet", "approved version not taken, the current one stays in effect: {e}");
                }
            }
        }
    }
}
