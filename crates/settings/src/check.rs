//! Rejects invalid settings at the start, with their path as the platform names it and the cause. Missing settings keep their
//! defaults, and unknown ones are ignored.

use serde_json::Value as Json;

/// JSON pointers of the settings that have to be numbers of at least 0; `*` stands for each element of an array.
const NUMBERS: &[&str] = &[
    "/balancers",
    "/rank",
    "/zone",
    "/ceilings/attemptsCap",
    "/ceilings/dialTimeoutUs",
    "/ceilings/maxRetryAfterUs",
    "/ceilings/streamsPerConn",
    "/costs/crossZone",
    "/costs/handshake",
    "/costs/probe",
    "/extra/cabinets",
    "/extra/changeCostsS",
    "/extra/classFloor/*",
    "/extra/classScale/*",
    "/extra/fleetKb",
    "/extra/join",
    "/extra/ladderKb/*",
    "/extra/linkUnitKb",
    "/extra/places",
    "/extra/placesByKind/*",
    "/extra/rackLinkKb",
    "/extra/reportsEveryUs",
    "/extra/rungWorth/*",
    "/extra/seats/*",
    "/extra/seenAfterUs",
    "/extra/stallCost",
    "/extra/topByClass/*",
    "/lanes/*/aimUs",
    "/lanes/*/giveUpUs",
    "/lanes/*/repeatWindowUs",
    "/lanes/*/worth",
    "/rules/budgetShare",
    "/rules/budgetSpanUs",
    "/rules/coldFrom",
    "/rules/coldUs",
    "/rules/drainGraceUs",
    "/rules/fallUs",
    "/rules/freeResends",
    "/rules/overloadFactor",
];
/// JSON pointers of the settings that have to be booleans.
const BOOLEANS: &[&str] = &["/ceilings/probes", "/ceilings/retryAfter", "/extra/classLive/*"];
/// JSON pointers of the settings that have to be strings.
const STRINGS: &[&str] =
    &["/discovery", "/failureDomains/*", "/kinds/*", "/lanes/*/name", "/loadInfo/columns/*"];
/// Strings that have to be one of these values: an unknown value could be taken to permit something harmful, such as repeating
/// a set-up.
const CHOICES: &[(&str, &[&str])] = &[
    ("/lanes/*/effect", &["read_like", "idempotency_key", "non_idempotent"]),
    ("/lanes/*/keyScope", &["all", "zone", "cell"]),
];

/// Checks all settings and returns the first error, if any.
pub(crate) fn check(settings: &Json) -> Result<(), String> {
    for path in NUMBERS {
        check_each(settings, path, |value| match value.as_f64() {
            Some(x) if x >= 0.0 => Ok(()),
            _ => Err("a number of at least 0".into()),
        })?;
    }
    for path in BOOLEANS {
        check_each(settings, path, |value| value.as_bool().map(|_| ()).ok_or("true or false".into()))?;
    }
    for path in STRINGS {
        check_each(settings, path, |value| value.as_str().map(|_| ()).ok_or("a string".into()))?;
    }
    for (path, choices) in CHOICES {
        let is_known = |value: &Json| value.as_str().is_some_and(|value| choices.contains(&value));
        check_each(settings, path, |value| {
            if is_known(value) { Ok(()) } else { Err(format!("one of {}", choices.join(", "))) }
        })?;
    }
    check_ladder(settings)
}

/// Checks that the settings of the rungs agree: rates rise, each rung has a value, and lowest rungs exist.
fn check_ladder(settings: &Json) -> Result<(), String> {
    let array = |name: &str| settings.pointer(name).and_then(Json::as_array);
    let Some(rates) = array("/extra/ladderKb") else { return Ok(()) };
    let rate = |i: usize| rates[i].as_f64().unwrap_or(0.0);
    if let Some(i) = (0..rates.len()).find(|i| rate(*i) <= if *i > 0 { rate(i - 1) } else { 0.0 }) {
        return Err(format!(
            "extra.ladderKb[{i}] is {}; each rung's rate has to be above the one before",
            rates[i]
        ));
    }
    if let Some(rung_values) =
        array("/extra/rungWorth").filter(|rung_values| rung_values.len() != rates.len())
    {
        return Err(format!(
            "extra.rungWorth has {} rungs where extra.ladderKb has {}",
            rung_values.len(),
            rates.len()
        ));
    }
    let is_above_ladder =
        |min_rung: &Json| min_rung.as_f64().is_some_and(|min_rung| min_rung >= rates.len() as f64);
    match array("/extra/classFloor").and_then(|min_rungs| min_rungs.iter().position(is_above_ladder)) {
        Some(i) => Err(format!("extra.classFloor[{i}] is above the {} rungs of extra.ladderKb", rates.len())),
        None => Ok(()),
    }
}

/// Applies `check_value` to all values at a path; its error is what the value should have been. Missing values and nulls are
/// skipped; a value other than an array where the path has `*` is an error.
fn check_each(
    value: &Json,
    path: &str,
    check_value: impl Fn(&Json) -> Result<(), String> + Copy,
) -> Result<(), String> {
    let mut found = vec![(String::new(), value)];
    for segment in path.split('/').skip(1) {
        let mut next = Vec::new();
        for (name, value) in found {
            let separator = if name.is_empty() { "" } else { "." };
            match (segment, value) {
                ("*", Json::Array(elements)) => {
                    let present = elements.iter().enumerate().filter(|(_, value)| !value.is_null());
                    next.extend(present.map(|(i, value)| (format!("{name}[{i}]"), value)));
                }
                ("*", value) => return Err(format!("{name} is {}, not an array", to_short_json(value))),
                (segment, Json::Object(members)) => {
                    next.extend(
                        members
                            .get(segment)
                            .filter(|value| !value.is_null())
                            .map(|value| (format!("{name}{separator}{segment}"), value)),
                    );
                }
                (_, value) => return Err(format!("{name} is {}, not an object", to_short_json(value))),
            }
        }
        found = next;
    }
    found.iter().try_for_each(|(name, value)| {
        check_value(value).map_err(|expected| format!("{name} is {}, not {expected}", to_short_json(value)))
    })
}

/// The value as JSON, truncated to 40 characters.
fn to_short_json(value: &Json) -> String {
    let text = value.to_string();
    if text.chars().count() > 40 { format!("{}...", text.chars().take(40).collect::<String>()) } else { text }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use test_case::test_case;

    fn valid_settings() -> Json {
        json!({
            "balancers": 3, "rank": 2, "discovery": "automatic", "failureDomains": ["here"], "kinds": ["std"],
            "ceilings": { "probes": true, "retryAfter": false, "attemptsCap": 4 },
            "lanes": [{ "name": "a", "effect": "read_like", "keyScope": "all", "worth": 1.5, "giveUpUs": 3000000 }],
            "extra": { "ladderKb": [100, 200.5], "rungWorth": [0.5, 1], "classFloor": [1], "classLive": [false] },
            "rules": { "coldUs": 0 }, "loadInfo": { "how": "inline", "columns": ["x0"] },
        })
    }

    #[test_case(valid_settings(); "all valid")]
    #[test_case(json!({}); "nothing set")]
    #[test_case(json!({ "extra": { "ladderKb": null, "seats": [null, 0] }, "rules": null }); "null counts as missing")]
    #[test_case(json!({ "tides": { "high": -3 }, "extra": { "colour": "red" }, "lanes": [{ "mood": [] }] }); "unknown names")]
    fn valid_missing_and_unknown_settings_pass(settings: Json) {
        assert_eq!(check(&settings), Ok(()));
    }

    #[test_case("/balancers", json!("many"), "balancers is \"many\", not a number of at least 0"; "a string for a number")]
    #[test_case("/rules/coldUs", json!(-1), "rules.coldUs is -1, not a number"; "a negative time")]
    #[test_case("/ceilings/probes", json!(1), "ceilings.probes is 1, not true or false"; "a number for a boolean")]
    #[test_case("/discovery", json!(["a"]), "discovery is [\"a\"], not a string"; "an array for a string")]
    #[test_case("/kinds", json!("std"), "kinds is \"std\", not an array"; "a string for an array")]
    #[test_case("/extra", json!([]), "extra is [], not an object"; "an array for an object")]
    #[test_case("/lanes/0/effect", json!("free"), "lanes[0].effect is \"free\", not one of read_like"; "an unknown choice")]
    #[test_case("/lanes/0/worth", json!({}), "lanes[0].worth is {}"; "an object for a number")]
    #[test_case("/extra/ladderKb/1", json!(100), "extra.ladderKb[1] is 100; each"; "a ladder that does not rise")]
    #[test_case("/extra/ladderKb/0", json!(0), "extra.ladderKb[0] is 0; each"; "a rung with rate 0")]
    #[test_case("/extra/rungWorth", json!([1]), "extra.rungWorth has 1 rungs where extra.ladderKb has 2"; "arrays of different lengths")]
    #[test_case("/extra/classFloor/0", json!(2), "extra.classFloor[0] is above the 2 rungs"; "a lowest rung above the ladder")]
    #[test_case("/kinds/0", json!({ "a": "x".repeat(99) }), "xxx..., not a string"; "a long value is truncated")]
    fn an_invalid_setting_is_rejected_with_path_and_cause(path: &str, value: Json, expected: &str) {
        let mut settings = valid_settings();
        *settings.pointer_mut(path).expect("the setting exists") = value;
        let error = check(&settings).expect_err("the settings are rejected");
        assert!(error.contains(expected), "{error}");
    }
}
