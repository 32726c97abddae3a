//! Load reports that media servers attach to their answers: the `endpoint-load-metrics` header of the Open
//! Request Cost Aggregation format, in the forms that Envoy reads (`JSON {...}` and `TEXT k=v,...`; the
//! fields are those of `xds.data.orca.v3.OrcaLoadReport`). The binary form is told apart and not read.

use serde::Deserialize;
use std::collections::BTreeMap;

/// The header's name.
pub const HEADER: &str = "endpoint-load-metrics";
/// The longest report that is read, bytes; one with a dozen named metrics has under 400.
pub const MAX_BYTES: usize = 4096;

/// A load report. Utilisations are parts of one; `application_utilization` may go above it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Report {
    pub cpu_utilization: Option<f64>,
    pub mem_utilization: Option<f64>,
    pub application_utilization: Option<f64>,
    pub rps_fractional: Option<f64>,
    pub eps: Option<f64>,
    /// Utilisation of named resources, 0 to 1.
    pub utilization: BTreeMap<String, f64>,
    /// Figures of the server's own choice.
    pub named_metrics: BTreeMap<String, f64>,
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("load report of {0} bytes, over {MAX_BYTES}")]
    TooLong(usize),
    #[error("load report in form {0:?}; JSON and TEXT are read")]
    Form(String),
    #[error("load report is no JSON of its kind: {0}")]
    Json(String),
    #[error("load report field {0:?} is not name=number")]
    Field(String),
    #[error("load report has {0} = {1}, which is no finite number from 0")]
    Number(String, String),
}

/// Reads the value of the header.
pub fn parse(value: &str) -> Result<Report, ParseError> {
    if value.len() > MAX_BYTES {
        return Err(ParseError::TooLong(value.len()));
    }
    let (form, rest) = value.split_once(' ').unwrap_or((value, ""));
    let report = match form {
        "JSON" => serde_json::from_str(rest).map_err(|e| ParseError::Json(e.to_string()))?,
        "TEXT" => text(rest)?,
        // A form may be left out by those that only speak one.
        _ if value.starts_with('{') => {
            serde_json::from_str(value).map_err(|e| ParseError::Json(e.to_string()))?
        }
        _ => return Err(ParseError::Form(form.chars().take(16).collect())),
    };
    checked(report)
}

fn text(fields: &str) -> Result<Report, ParseError> {
    let mut report = Report::default();
    for field in fields.split(',').map(str::trim).filter(|f| !f.is_empty()) {
        let fault = || ParseError::Field(field.chars().take(64).collect());
        let (name, number) = field.split_once('=').ok_or_else(fault)?;
        let number: f64 = number.trim().parse().map_err(|_| fault())?;
        match name.trim() {
            "cpu_utilization" => report.cpu_utilization = Some(number),
            "mem_utilization" => report.mem_utilization = Some(number),
            "application_utilization" => report.application_utilization = Some(number),
            "rps_fractional" => report.rps_fractional = Some(number),
            "eps" => report.eps = Some(number),
            name => {
                if let Some(name) = name.strip_prefix("named_metrics.") {
                    report.named_metrics.insert(name.to_string(), number);
                } else if let Some(name) = name.strip_prefix("utilization.") {
                    report.utilization.insert(name.to_string(), number);
                }
            }
        }
    }
    Ok(report)
}

fn checked(report: Report) -> Result<Report, ParseError> {
    let maps = report.utilization.iter().chain(&report.named_metrics).map(|(k, v)| (k.as_str(), *v));
    let fields = [
        ("cpu_utilization", report.cpu_utilization),
        ("mem_utilization", report.mem_utilization),
        ("application_utilization", report.application_utilization),
        ("rps_fractional", report.rps_fractional),
        ("eps", report.eps),
    ];
    let fields = fields.iter().filter_map(|(k, v)| v.map(|v| (*k, v)));
    match fields.chain(maps).find(|(_, v)| !v.is_finite() || *v < 0.0) {
        Some((name, value)) => Err(ParseError::Number(name.to_string(), value.to_string())),
        None => Ok(report),
    }
}

/// Writes a report in the JSON form.
pub fn json(named_metrics: &[(&str, f64)]) -> String {
    let named: BTreeMap<&str, f64> = named_metrics.iter().copied().collect();
    format!("JSON {}", serde_json::json!({ "named_metrics": named }))
}

/// Writes a report in the text form.
pub fn text_form(named_metrics: &[(&str, f64)]) -> String {
    let fields: Vec<String> = named_metrics.iter().map(|(k, v)| format!("named_metrics.{k}={v}")).collect();
    format!("TEXT {}", fields.join(","))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&json(&[("link", 1.25), ("uplink", 0.5)]); "json")]
    #[test_case(&text_form(&[("link", 1.25), ("uplink", 0.5)]); "text")]
    #[test_case("{\"named_metrics\":{\"link\":1.25,\"uplink\":0.5}}"; "form left out")]
    #[test_case("TEXT named_metrics.link=1.25, named_metrics.uplink=0.5,of_later_versions=3"; "unknown field")]
    fn all_forms_read_alike(value: &str) {
        let report = parse(value).unwrap();
        assert_eq!(report.named_metrics["link"], 1.25);
        assert_eq!(report.named_metrics["uplink"], 0.5);
    }

    #[test_case("BIN CgA=", "form \"BIN\""; "binary")]
    #[test_case("JSON {", "no JSON"; "cut off")]
    #[test_case("TEXT link", "\"link\" is not name=number"; "no number")]
    #[test_case("TEXT named_metrics.link=NaN", "link = NaN"; "not finite")]
    #[test_case("JSON {\"named_metrics\":{\"link\":-1}}", "link = -1"; "below zero")]
    fn a_bad_report_says_what_is_wrong(value: &str, says: &str) {
        let fault = parse(value).unwrap_err().to_string();
        assert!(fault.contains(says), "{fault}");
    }

    #[test]
    fn a_report_is_bounded() {
        assert_eq!(parse(&"x".repeat(MAX_BYTES + 1)), Err(ParseError::TooLong(MAX_BYTES + 1)));
    }
}
