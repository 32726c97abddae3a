//! The approved versions: a file that is read at start and looked at while the front runs. One that is no chain, goes not
//! on from the one in hand, or approves what can't be meant is not taken.

use crate::config::Config;
use crate::edge::Edge;
use pulleystair_drift::Sections;
use pulleystair_drift::approved::VersionChain;
use serde_json::Value;
use std::path::Path;
use tracing::{info, warn};

/// The largest file of versions, bytes.
const MOST: u64 = 64 << 20;

/// Reads and checks the file; an error tells path and cause.
pub fn read(file: &Path, rundown: &Config) -> anyhow::Result<VersionChain> {
    let fault = |cause: String| anyhow::anyhow!("sharing.approved: {}: {cause}", file.display());
    let size = std::fs::metadata(file).map_err(|e| fault(e.to_string()))?.len();
    if size > MOST {
        return Err(fault(format!("{size} bytes; {MOST} at most")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| fault(e.to_string()))?;
    let chain = VersionChain::parse(&text).map_err(|e| fault(e.to_string()))?;
    for (i, document) in chain.documents.iter().enumerate() {
        means(rundown, &chain.sections(i)).map_err(|(path, found, allowed)| {
            fault(format!("version {}: {path}: {found}; allowed: {allowed}", document.number))
        })?;
    }
    Ok(chain)
}

/// Whether a front of this rundown could run by these sections.
fn means(rundown: &Config, sections: &Sections) -> Result<(), (String, String, &'static str)> {
    let mut it = rundown.clone();
    let form = |path: &str, e: serde_json::Error| (path.to_string(), e.to_string(), "what a rundown may say");
    let get = |path: &str| sections.get(path).cloned();
    if let Some(value) = get("rules") {
        it.rules = serde_json::from_value(value).map_err(|e| form("rules", e))?;
    }
    if let Some(value) = get("prices") {
        it.prices = serde_json::from_value(value).map_err(|e| form("prices", e))?;
    }
    if let Some(value) = get("ladder") {
        it.ladder = serde_json::from_value(value).map_err(|e| form("ladder", e))?;
    }
    if let Some(value) = get("limits").and_then(|it| it.get("limits").cloned()) {
        it.limits = serde_json::from_value(value).map_err(|e| form("limits", e))?;
    }
    for (section, floor) in [("floors", true), ("seats", false)] {
        for (name, value) in get(section).as_ref().and_then(Value::as_object).into_iter().flatten() {
            let path = format!("{section}.{name}");
            let count = value.as_u64().ok_or((path.clone(), value.to_string(), "a whole number"))? as usize;
            let product = it.products.iter_mut().find(|p| p.name == *name);
            let product = product.ok_or((path, "no such product".into(), "one of the rundown's products"))?;
            if floor { product.floor = count } else { product.seats = count }
        }
    }
    it.check()
}

impl Edge {
    /// Looks at the approved versions; what is not taken leaves those in hand.
    pub(crate) fn poll_approved_versions(&mut self) {
        let floor = &mut self.state;
        let Some(company) = floor.fleet.as_mut() else { return };
        let Some(watched) = company.approved.as_mut() else { return };
        if !watched.check_replaced() {
            return;
        }
        let read = read(watched.file(), &floor.config).map_err(|e| e.to_string());
        let taken = read.and_then(|chain| {
            let number = chain.head().map(|d| d.number);
            company.member.set_approved(chain).map(|()| number)
        });
        match taken {
            Ok(number) => {
                watched.record_acceptance();
                info!(target: "fleet", number, "approved version taken");
            }
            Err(e) => {
                // It may be in the middle of being written.
                if watched.record_refusal(&e, true) {
                    warn!(target: "fleet", "approved version not taken, the one in hand stays: {e}");
                }
            }
        }
    }
}
