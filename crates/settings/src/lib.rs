//! The platform's settings, nested JSON with words of its own, as the call sheet that the decisions are given; and which
//! figure each value of a load report is. For all that speak the platform's words: the bench's adapter and the node. No I/O.

mod check;

use pulleystair::{LoadMetric, Settings, Value};
use serde_json::Value as Json;

/// The settings as a plain map: paths joined by dots, in our words, times in ms.
pub fn parse_settings(json: &[u8]) -> Result<Settings, String> {
    let json = serde_json::from_slice(json).map_err(|e| format!("its settings are no JSON: {e}"))?;
    settings_from_json(&json)
}

/// The same, of settings that were read already as part of more.
pub fn settings_from_json(json: &Json) -> Result<Settings, String> {
    if !json.is_object() {
        return Err("its settings are no JSON object".into());
    }
    check::check(json)?;
    let mut sheet = Settings::new();
    flatten("", json, &mut sheet);
    Ok(sheet)
}

fn flatten(path: &str, json: &Json, sheet: &mut Settings) {
    let join = |part: &str| if path.is_empty() { part.to_string() } else { format!("{path}.{part}") };
    let value = match json {
        Json::Object(parts) => return parts.iter().for_each(|(k, v)| flatten(&join(&our_word(k)), v, sheet)),
        Json::Array(parts) => {
            return parts.iter().enumerate().for_each(|(i, v)| flatten(&join(&i.to_string()), v, sheet));
        }
        Json::Null => return,
        Json::Bool(b) => Value::Number(f64::from(u8::from(*b))),
        Json::Number(n) => Value::Number(n.as_f64().unwrap_or(0.0)),
        Json::String(s) => Value::Text(s.clone()),
    };
    let (path, value) = match (path.strip_suffix("_us"), value) {
        (Some(short), Value::Number(n)) => (short, Value::Number(n / 1000.0)),
        (_, value) => (path, value),
    };
    sheet.insert(path.to_string(), value);
}

fn our_word(name: &str) -> String {
    match name {
        "lanes" => return "products".into(),
        "aimUs" => return "first_frame_target_us".into(),
        "giveUpUs" => return "time_limit_us".into(),
        "worth" => return "importance".into(),
        _ => {}
    }
    let mut out = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}

/// A row of texts, by the name of each, up to the first that is not there.
pub fn text_list(sheet: &Settings, name: impl Fn(usize) -> String) -> Vec<String> {
    let text = |i| match sheet.get(&name(i)) {
        Some(Value::Text(t)) => Some(t.clone()),
        _ => None,
    };
    (0..).map_while(text).collect()
}

/// What the values of a load report are, in order.
pub struct LoadColumns(Vec<String>);

impl LoadColumns {
    pub fn from_settings(sheet: &Settings) -> LoadColumns {
        LoadColumns(text_list(sheet, |i| format!("load_info.columns.{i}")))
    }

    /// The figures of a report that has its values in order.
    pub fn load_metrics(&self, values: &[f64]) -> Vec<LoadMetric> {
        self.0.iter().zip(values).filter_map(|(column, value)| load_metric(column, *value)).collect()
    }
}

/// The figure that a value of this name is, if it is one that the decisions know.
pub fn load_metric(column: &str, value: f64) -> Option<LoadMetric> {
    match column {
        "x0" => Some(LoadMetric::Link(value)),
        "utilization" => Some(LoadMetric::LinkCapped(value)),
        "x1" => Some(LoadMetric::Uplink(value)),
        "outstanding" => Some(LoadMetric::Streams(value)),
        _ => None,
    }
}
