//! Converts the platform's settings, nested JSON with the platform's names, to the flat settings of the placement logic, and
//! maps the values of a load report to load metrics. Used by the adapter to the simulator and by the node. No I/O.

mod check;

use pulleystair::{LoadMetric, Settings, Value};
use serde_json::Value as Json;

/// Parses and checks the platform's settings (nested JSON) and returns them flat: paths joined by dots, pulleystair's names,
/// booleans as 0 or 1, times in ms. An error is a text for people that names the setting and the cause.
pub fn parse_settings(json: &[u8]) -> Result<Settings, String> {
    let json = serde_json::from_slice(json).map_err(|e| format!("the settings are not valid JSON: {e}"))?;
    settings_from_json(&json)
}

/// Checks the platform's settings and returns them flat, as [`parse_settings`] does, where they are already parsed as part of
/// a larger document.
pub fn settings_from_json(json: &Json) -> Result<Settings, String> {
    if !json.is_object() {
        return Err("the settings are not a JSON object".into());
    }
    check::check(json)?;
    let mut settings = Settings::new();
    flatten("", json, &mut settings);
    Ok(settings)
}

/// Inserts a JSON value and all that it contains into `flat`, under its path. Times, whose names end in `_us`, are converted
/// to ms and lose that ending.
fn flatten(path: &str, json: &Json, flat: &mut Settings) {
    let join =
        |segment: &str| if path.is_empty() { segment.to_string() } else { format!("{path}.{segment}") };
    let value = match json {
        Json::Object(map) => return map.iter().for_each(|(k, v)| flatten(&join(&flat_name(k)), v, flat)),
        Json::Array(list) => {
            return list.iter().enumerate().for_each(|(i, v)| flatten(&join(&i.to_string()), v, flat));
        }
        Json::Null => return,
        Json::Bool(b) => Value::Number(f64::from(u8::from(*b))),
        Json::Number(n) => Value::Number(n.as_f64().unwrap_or(0.0)),
        Json::String(string) => Value::Text(string.clone()),
    };
    let (path, value) = match (path.strip_suffix("_us"), value) {
        (Some(name_in_ms), Value::Number(n)) => (name_in_ms, Value::Number(n / 1000.0)),
        (_, value) => (path, value),
    };
    flat.insert(path.to_string(), value);
}

/// Pulleystair's name for a member of the platform's settings: snake case, and other words for some.
fn flat_name(name: &str) -> String {
    match name {
        "lanes" => return "products".into(),
        "aimUs" => return "first_frame_target_us".into(),
        "giveUpUs" => return "time_limit_us".into(),
        "worth" => return "importance".into(),
        _ => {}
    }
    let mut flat = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            flat.push('_');
        }
        flat.push(c.to_ascii_lowercase());
    }
    flat
}

/// The text settings with the names that `name` gives for 0, 1, ..., up to the first that is missing or is no text.
pub fn text_list(settings: &Settings, name: impl Fn(usize) -> String) -> Vec<String> {
    let text = |i| match settings.get(&name(i)) {
        Some(Value::Text(string)) => Some(string.clone()),
        _ => None,
    };
    (0..).map_while(text).collect()
}

/// The names of the values of a load report, in order.
pub struct LoadColumns(Vec<String>);

impl LoadColumns {
    /// Reads the names from the flat settings.
    pub fn from_settings(settings: &Settings) -> LoadColumns {
        LoadColumns(text_list(settings, |i| format!("load_info.columns.{i}")))
    }

    /// The load metrics in a report with these values; values that the placement logic does not use are left out.
    pub fn load_metrics(&self, values: &[f64]) -> Vec<LoadMetric> {
        self.0.iter().zip(values).filter_map(|(column, value)| load_metric(column, *value)).collect()
    }
}

/// The load metric that a value of this name stands for; none if the placement logic does not use it.
pub fn load_metric(column: &str, value: f64) -> Option<LoadMetric> {
    match column {
        "x0" => Some(LoadMetric::Link(value)),
        "utilization" => Some(LoadMetric::LinkCapped(value)),
        "x1" => Some(LoadMetric::Uplink(value)),
        "outstanding" => Some(LoadMetric::Streams(value)),
        _ => None,
    }
}
