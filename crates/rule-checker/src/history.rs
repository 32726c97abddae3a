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
const FORMAT_VERSION: u32 = 1;
/// Lines and bytes of a line at most.
const MAX_LINES: usize = 1_000_000;
const MAX_LINE_BYTES: usize = 64 << 10;

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
    pub header: Header,
    pub observations: Vec<Observation>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Footer {
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
    pub fn new(what: &str, breaks: &[u8], params: RuleParams, observations: Vec<Observation>) -> History {
        History {
            header: Header { history: FORMAT_VERSION, what: what.into(), breaks: breaks.into(), params },
            observations,
        }
    }

    pub fn parse(text: &str) -> Result<History, HistoryError> {
        let error_at = |line: usize, cause: String| HistoryError { line: line + 1, cause };
        let lines: Vec<&str> = text.lines().collect();
        if lines.len() > MAX_LINES {
            return Err(error_at(MAX_LINES, format!("{} lines; {MAX_LINES} at most", lines.len())));
        }
        if let Some(long) = lines.iter().position(|l| l.len() > MAX_LINE_BYTES) {
            return Err(error_at(long, format!("{} bytes; {MAX_LINE_BYTES} at most", lines[long].len())));
        }
        let [header_line, body @ .., footer_line] = lines.as_slice() else {
            return Err(error_at(0, "a history has a head and an end at least".into()));
        };
        let header: Header =
            serde_json::from_str(header_line).map_err(|e| error_at(0, format!("no head: {e}")))?;
        if header.history != FORMAT_VERSION {
            return Err(error_at(0, format!("form {}; this program reads {FORMAT_VERSION}", header.history)));
        }
        let footer: Footer = serde_json::from_str(footer_line)
            .map_err(|e| error_at(lines.len() - 1, format!("no end, so some of it may be missing: {e}")))?;
        let mut observations = Vec::with_capacity(body.len());
        for (i, line) in body.iter().enumerate() {
            let observation: Observation =
                serde_json::from_str(line).map_err(|e| error_at(i + 1, e.to_string()))?;
            check_indices(&observation, &header.params).map_err(|cause| error_at(i + 1, cause))?;
            observations.push(observation);
        }
        if footer.end != observations.len() {
            let cause =
                format!("the end tells of {} things seen, {} are there", footer.end, observations.len());
            return Err(error_at(lines.len() - 1, cause));
        }
        if !observations.iter().any(|s| matches!(s.what, Observed::Asked { .. })) {
            return Err(error_at(
                lines.len() - 1,
                "nobody asked for anything: there is nothing to check".into(),
            ));
        }
        Ok(History { header, observations })
    }

    pub fn to_text(&self) -> serde_json::Result<String> {
        let mut text = serde_json::to_string(&self.header)? + "\n";
        for observation in &self.observations {
            text += &serde_json::to_string(observation)?;
            text.push('\n');
        }
        let _ = writeln!(text, "{}", serde_json::to_string(&Footer { end: self.observations.len() })?);
        Ok(text)
    }

    pub fn verdict(&self) -> Verdict {
        let (breaches, covered) = check(&self.observations, &self.header.params);
        Verdict { breaches, covered }
    }
}

/// Numbers that the terms know nothing of can't be checked.
fn check_indices(observation: &Observation, params: &RuleParams) -> Result<(), String> {
    if !observation.at.is_finite() {
        return Err("a time that is none".into());
    }
    let (product, server) = match &observation.what {
        Observed::Asked { product, .. } => (Some(*product), None),
        Observed::SetUp { product, server, .. } => (Some(*product), Some(*server)),
        Observed::Started { server, .. } | Observed::Stopped { server } | Observed::Listed { server, .. } => {
            (None, Some(*server))
        }
        _ => (None, None),
    };
    let check_index = |what: &str, n: Option<usize>, count: usize| match n {
        Some(n) if n >= count => Err(format!("{what} {n}, the terms have {count}")),
        _ => Ok(()),
    };
    check_index("product", product, params.products.len())?;
    let servers = params.streams.len().min(params.zones.len()).min(params.cells.len());
    check_index("server", server, servers)
}
