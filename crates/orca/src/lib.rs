//! Load reports that media servers attach to their responses: the `endpoint-load-metrics` header of the Open Request
//! Cost Aggregation format, in the forms that Envoy reads (`JSON {...}` and `TEXT k=v,...`; the fields are those of
//! `xds.data.orca.v3.OrcaLoadReport`). The binary form (`BIN`) is refused, like any unknown form. The front
//! (`pulleystair-edge`) parses one report for each response that has it.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Name of the HTTP header.
pub const HEADER: &str = "endpoint-load-metrics";
/// Length of the longest report that is read, bytes; one with a dozen named metrics has under 400.
pub const MAX_BYTES: usize = 4096;

/// A load report. Utilisations are fractions of 1; none of them is checked against an upper bound.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Utilisation of the CPU.
    pub cpu_utilization: Option<f64>,
    /// Utilisation of the memory.
    pub mem_utilization: Option<f64>,
    /// Utilisation as the application itself defines it.
    pub application_utilization: Option<f64>,
    /// Requests per second.
    pub rps_fractional: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// Utilisation of named resources.
    pub utilization: BTreeMap<String, f64>,
    /// Metrics chosen by the server.
    pub named_metrics: BTreeMap<String, f64>,
}

/// Why a load report was refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("load report has {0} bytes, more than {MAX_BYTES}")]
    TooLong(usize),
    #[error("load report has form {0:?}; JSON and TEXT are supported")]
    Form(String),
    #[error("load report is not a valid JSON report: {0}")]
    Json(String),
    #[error("load report field {0:?} is not name=number")]
    Field(String),
    #[error("load report has {0} = {1}, which is not a finite number of at least 0")]
    Number(String, String),
}

/// Parses the value of the [`HEADER`] header. Refuses one that is too long, has an unsupported form or an invalid
/// number. A value without a form is parsed as JSON if it starts with `{`.
pub fn parse(value: &str) -> Result<Report, ParseError> {
    if value.len() > MAX_BYTES {
        return Err(ParseError::TooLong(value.len()));
    }
    let (form, fields) = value.split_once(' ').unwrap_or((value, ""));
    let report = match form {
        "JSON" => serde_json::from_str(fields).map_err(|e| ParseError::Json(e.to_string()))?,
        "TEXT" => parse_text(fields)?,
        // Servers that support only JSON may leave out the form.
        _ if value.starts_with('{') => {
            serde_json::from_str(value).map_err(|e| ParseError::Json(e.to_string()))?
        }
        _ => return Err(ParseError::Form(form.chars().take(16).collect())),
    };
    validate(report)
}

/// Parses the fields of the text form; unknown fields are ignored.
fn parse_text(fields: &str) -> Result<Report, ParseError> {
    let mut report = Report::default();
    for field in fields.split(',').map(str::trim).filter(|f| !f.is_empty()) {
        let error = || ParseError::Field(field.chars().take(64).collect());
        let (name, number) = field.split_once('=').ok_or_else(error)?;
        let number: f64 = number.trim().parse().map_err(|_| error())?;
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

/// Refuses a report that has a negative or non-finite number.
fn validate(report: Report) -> Result<Report, ParseError> {
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

/// Formats named metrics as a report in the JSON form.
pub fn json_form(named_metrics: &[(&str, f64)]) -> String {
    let named: BTreeMap<&str, f64> = named_metrics.iter().copied().collect();
    format!("JSON {}", serde_json::json!({ "named_metrics": named }))
}

/// Formats named metrics as a report in the text form.
pub fn text_form(named_metrics: &[(&str, f64)]) -> String {
    let fields: Vec<String> = named_metrics.iter().map(|(k, v)| format!("named_metrics.{k}={v}")).collect();
    format!("TEXT {}", fields.join(","))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&json_form(&[("link", 1.25), ("uplink", 0.5)]); "json")]
    #[test_case(&text_form(&[("link", 1.25), ("uplink", 0.5)]); "text")]
    #[test_case("{\"named_metrics\":{\"link\":1.25,\"uplink\":0.5}}"; "form left out")]
    #[test_case("TEXT named_metrics.link=1.25, named_metrics.uplink=0.5,of_later_versions=3"; "unknown field")]
    fn all_forms_parse_to_the_same_report(value: &str) {
        let report = parse(value).unwrap();
        assert_eq!(report.named_metrics["link"], 1.25);
        assert_eq!(report.named_metrics["uplink"], 0.5);
    }

    #[test_case("BIN CgA=", "form \"BIN\""; "binary")]
    #[test_case("JSON {", "not a valid JSON report"; "truncated JSON")]
    #[test_case("TEXT link", "\"link\" is not name=number"; "no number")]
    #[test_case("TEXT named_metrics.link=NaN", "link = NaN"; "not finite")]
    #[test_case("JSON {\"named_metrics\":{\"link\":-1}}", "link = -1"; "below zero")]
    fn an_invalid_report_is_refused_with_its_cause(value: &str, cause: &str) {
        let error = parse(value).unwrap_err().to_string();
        assert!(error.contains(cause), "{error}");
    }

    #[test]
    fn a_report_over_the_maximum_length_is_refused() {
        assert_eq!(parse(&"x".repeat(MAX_BYTES + 1)), Err(ParseError::TooLong(MAX_BYTES + 1)));
    }
}
