//! Histories: the observations of one run, together with the rule parameters that applied, stored as a JSON Lines file.
//!
//! Each line is one JSON object. The first line is the header, `{"history":1,"what":"...","breaks":[],"terms":{...}}`,
//! where `breaks` lists the rules that a correct checker must find broken. One line for each observation
//! ([`crate::Observation`]) follows. The last line is the footer, `{"end":N}`, with the number of observations, so that
//! a truncated file is not mistaken for a shorter history. The lab and the tests of several packages write and read
//! them.

use crate::rules::{Breach, Coverage, RuleParams, check};
use crate::{Observation, Observed};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The only format version that is supported.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of lines of a file.
const MAX_LINES: usize = 1_000_000;
/// Maximum length of a line in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// First line of a history file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Version of the file format.
    pub history: u32,
    /// Description of the run.
    pub what: String,
    /// Numbers of the rules that a correct checker must find broken.
    pub breaks: Vec<u8>,
    /// Parameters of the rules that applied to the run.
    #[serde(rename = "terms")]
    pub params: RuleParams,
}

/// The observations of one run and the parameters that they are checked against.
#[derive(Clone, Debug)]
pub struct History {
    pub header: Header,
    pub observations: Vec<Observation>,
}

/// Last line of a history file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Footer {
    /// Number of observations in the file.
    end: usize,
}

/// Why a file is not a valid history. No verdict is given on such a file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {cause}")]
pub struct HistoryError {
    /// Line number, counted from 1.
    pub line: usize,
    pub cause: String,
}

/// The result of checking a history.
#[derive(Debug)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    pub coverage: Coverage,
}

impl Verdict {
    /// Numbers of the rules that were broken, each once.
    pub fn broken_rules(&self) -> BTreeSet<u8> {
        self.breaches.iter().map(|b| b.rule).collect()
    }
}

impl History {
    /// Builds a history in the supported format; `breaks` lists the rules that a checker must find broken.
    pub fn new(what: &str, breaks: &[u8], params: RuleParams, observations: Vec<Observation>) -> History {
        History {
            header: Header { history: FORMAT_VERSION, what: what.into(), breaks: breaks.into(), params },
            observations,
        }
    }

    /// Parses the text of a history file. Fails on a file that is malformed, truncated, over the size limits, that
    /// refers to products or servers missing from its parameters, or that contains no request.
    pub fn parse(text: &str) -> Result<History, HistoryError> {
        let error_at = |line: usize, cause: String| HistoryError { line: line + 1, cause };
        let lines: Vec<&str> = text.lines().collect();
        if lines.len() > MAX_LINES {
            return Err(error_at(
                MAX_LINES,
                format!("the file has {} lines; the maximum is {MAX_LINES}", lines.len()),
            ));
        }
        if let Some(long) = lines.iter().position(|l| l.len() > MAX_LINE_BYTES) {
            return Err(error_at(
                long,
                format!("the line has {} bytes; the maximum is {MAX_LINE_BYTES}", lines[long].len()),
            ));
        }
        let [header_line, body @ .., footer_line] = lines.as_slice() else {
            return Err(error_at(0, "a history needs at least a header and a footer".into()));
        };
        let header: Header =
            serde_json::from_str(header_line).map_err(|e| error_at(0, format!("invalid header: {e}")))?;
        if header.history != FORMAT_VERSION {
            return Err(error_at(
                0,
                format!("unsupported format {}; this program reads format {FORMAT_VERSION}", header.history),
            ));
        }
        let footer: Footer = serde_json::from_str(footer_line).map_err(|e| {
            error_at(lines.len() - 1, format!("invalid footer, so the file may be truncated: {e}"))
        })?;
        let mut observations = Vec::with_capacity(body.len());
        for (i, line) in body.iter().enumerate() {
            let observation: Observation =
                serde_json::from_str(line).map_err(|e| error_at(i + 1, e.to_string()))?;
            check_indices(&observation, &header.params).map_err(|cause| error_at(i + 1, cause))?;
            observations.push(observation);
        }
        if footer.end != observations.len() {
            let cause = format!(
                "the footer counts {} observations, but the file has {}",
                footer.end,
                observations.len()
            );
            return Err(error_at(lines.len() - 1, cause));
        }
        if !observations.iter().any(|s| matches!(s.what, Observed::Asked { .. })) {
            return Err(error_at(
                lines.len() - 1,
                "the history contains no request: there is nothing to check".into(),
            ));
        }
        Ok(History { header, observations })
    }

    /// Formats the history as the text of a history file.
    pub fn to_text(&self) -> serde_json::Result<String> {
        let mut text = serde_json::to_string(&self.header)? + "\n";
        for observation in &self.observations {
            text += &serde_json::to_string(observation)?;
            text.push('\n');
        }
        let _ = writeln!(text, "{}", serde_json::to_string(&Footer { end: self.observations.len() })?);
        Ok(text)
    }

    /// Checks all rules on the observations.
    pub fn verdict(&self) -> Verdict {
        let (breaches, coverage) = check(&self.observations, &self.header.params);
        Verdict { breaches, coverage }
    }
}

/// Rejects an observation whose time is not finite or whose product or server number is missing from the parameters:
/// the rules could not be checked on it.
fn check_indices(observation: &Observation, params: &RuleParams) -> Result<(), String> {
    if !observation.at.is_finite() {
        return Err("the time is not a finite number".into());
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
        Some(n) if n >= count => Err(format!("{what} {n} is out of range: the rule parameters have {count}")),
        _ => Ok(()),
    };
    check_index("product", product, params.products.len())?;
    let servers = params.streams.len().min(params.zones.len()).min(params.cells.len());
    check_index("server", server, servers)
}
