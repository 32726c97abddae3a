//! Histories: what was seen on a day or in a story, with the terms that held, as a file that is kept.
//!
//! One JSON object a line. The first is the head: `{"history":1,"what":"...","breaks":[],"terms":{...}}`, where `breaks`
//! names the rules that a sound checker finds broken; then one line for each thing seen ([`crate::Observation`]); the last is
//! `{"end":N}` with the count of things seen, so that a file cut short is no shorter history.

use crate::rules::{Breach, Coverage, RuleParams, check};
use crate::{Observation, Observed};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The only form that there is.
const FORM: u32 = 1;
/// Lines and bytes of a line at most.
const LINES: usize = 1_000_000;
const LINE: usize = 64 << 10;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    pub history: u32,
    pub what: String,
    pub breaks: Vec<u8>,
    #[serde(rename = "terms")]
    pub params: RuleParams,
}

#[derive(Clone, Debug)]
pub struct History {
    pub head: Header,
    pub seen: Vec<Observation>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct End {
    end: usize,
}

/// Why a file is no history: nothing is concluded from it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {cause}")]
pub struct HistoryError {
    pub line: usize,
    pub cause: String,
}

/// What a checker makes of a history.
#[derive(Debug)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub covered: Coverage,
}

impl Verdict {
    pub fn rules(&self) -> BTreeSet<u8> {
        self.breaches.iter().map(|b| b.rule).collect()
    }
}

impl History {
    pub fn new(what: &str, breaks: &[u8], terms: RuleParams, seen: Vec<Observation>) -> History {
        History {
            head: Header { history: FORM, what: what.into(), breaks: breaks.into(), params: terms },
            seen,
        }
    }

    pub fn parse(text: &str) -> Result<History, HistoryError> {
        let fault = |line: usize, cause: String| HistoryError { line: line + 1, cause };
        let lines: Vec<&str> = text.lines().collect();
        if lines.len() > LINES {
            return Err(fault(LINES, format!("{} lines; {LINES} at most", lines.len())));
        }
        if let Some(long) = lines.iter().position(|l| l.len() > LINE) {
            return Err(fault(long, format!("{} bytes; {LINE} at most", lines[long].len())));
        }
        let [first, between @ .., last] = lines.as_slice() else {
            return Err(fault(0, "a history has a head and an end at least".into()));
        };
        let head: Header = serde_json::from_str(first).map_err(|e| fault(0, format!("no head: {e}")))?;
        if head.history != FORM {
            return Err(fault(0, format!("form {}; this program reads {FORM}", head.history)));
        }
        let end: End = serde_json::from_str(last)
            .map_err(|e| fault(lines.len() - 1, format!("no end, so some of it may be missing: {e}")))?;
        let mut seen = Vec::with_capacity(between.len());
        for (i, line) in between.iter().enumerate() {
            let one: Observation = serde_json::from_str(line).map_err(|e| fault(i + 1, e.to_string()))?;
            known(&one, &head.params).map_err(|cause| fault(i + 1, cause))?;
            seen.push(one);
        }
        if end.end != seen.len() {
            let cause = format!("the end tells of {} things seen, {} are there", end.end, seen.len());
            return Err(fault(lines.len() - 1, cause));
        }
        if !seen.iter().any(|s| matches!(s.what, Observed::Asked { .. })) {
            return Err(fault(
                lines.len() - 1,
                "nobody asked for anything: there is nothing to check".into(),
            ));
        }
        Ok(History { head, seen })
    }

    pub fn to_text(&self) -> serde_json::Result<String> {
        let mut out = serde_json::to_string(&self.head)? + "\n";
        for seen in &self.seen {
            out += &serde_json::to_string(seen)?;
            out.push('\n');
        }
        let _ = writeln!(out, "{}", serde_json::to_string(&End { end: self.seen.len() })?);
        Ok(out)
    }

    pub fn verdict(&self) -> Verdict {
        let (breaches, covered) = check(&self.seen, &self.head.params);
        Verdict { breaches, covered }
    }
}

/// Numbers that the terms know nothing of can't be checked.
fn known(seen: &Observation, terms: &RuleParams) -> Result<(), String> {
    if !seen.at.is_finite() {
        return Err("a time that is none".into());
    }
    let (product, server) = match &seen.what {
        Observed::Asked { product, .. } => (Some(*product), None),
        Observed::SetUp { product, server, .. } => (Some(*product), Some(*server)),
        Observed::Started { server, .. } | Observed::Stopped { server } | Observed::Listed { server, .. } => {
            (None, Some(*server))
        }
        _ => (None, None),
    };
    let of = |what: &str, n: Option<usize>, count: usize| match n {
        Some(n) if n >= count => Err(format!("{what} {n}, the terms have {count}")),
        _ => Ok(()),
    };
    of("product", product, terms.products.len())?;
    let servers = terms.streams.len().min(terms.zones.len()).min(terms.cells.len());
    of("server", server, servers)
}
