//! Settings that can't be meant are refused at the start, with their path in the platform's own words and the cause. What is not
//! given keeps its default, and what is not known is passed over.

use serde_json::Value as Json;

/// Where numbers from 0 on are read, by JSON pointer; `*` is each of a row.
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
const TRUTHS: &[&str] = &["/ceilings/probes", "/ceilings/retryAfter", "/extra/classLive/*"];
const TEXTS: &[&str] =
    &["/discovery", "/failureDomains/*", "/kinds/*", "/lanes/*/name", "/loadInfo/columns/*"];
/// Texts that have to be one of these: a word that is not known might be read as a leave to do harm.
const WORDS: &[(&str, &[&str])] = &[
    ("/lanes/*/effect", &["read_like", "idempotency_key", "non_idempotent"]),
    ("/lanes/*/keyScope", &["all", "zone", "cell"]),
];

/// The first fault, if there is any.
pub(crate) fn check(settings: &Json) -> Result<(), String> {
    for path in NUMBERS {
        each(settings, path, |it| match it.as_f64() {
            Some(x) if x >= 0.0 => Ok(()),
            _ => Err("a number from 0 on".into()),
        })?;
    }
    for path in TRUTHS {
        each(settings, path, |it| it.as_bool().map(|_| ()).ok_or("true or false".into()))?;
    }
    for path in TEXTS {
        each(settings, path, |it| it.as_str().map(|_| ()).ok_or("a text".into()))?;
    }
    for (path, words) in WORDS {
        let known = |it: &Json| it.as_str().is_some_and(|it| words.contains(&it));
        each(
            settings,
            path,
            |it| if known(it) { Ok(()) } else { Err(format!("one of {}", words.join(", "))) },
        )?;
    }
    ladder(settings)
}

/// What the rungs say must fit together.
fn ladder(settings: &Json) -> Result<(), String> {
    let row = |name: &str| settings.pointer(name).and_then(Json::as_array);
    let Some(rates) = row("/extra/ladderKb") else { return Ok(()) };
    let rate = |i: usize| rates[i].as_f64().unwrap_or(0.0);
    if let Some(i) = (0..rates.len()).find(|i| rate(*i) <= if *i > 0 { rate(i - 1) } else { 0.0 }) {
        return Err(format!(
            "extra.ladderKb[{i}] is {}; each rung's rate has to be above the one before",
            rates[i]
        ));
    }
    if let Some(earns) = row("/extra/rungWorth").filter(|earns| earns.len() != rates.len()) {
        return Err(format!(
            "extra.rungWorth has {} rungs where extra.ladderKb has {}",
            earns.len(),
            rates.len()
        ));
    }
    let above = |floor: &Json| floor.as_f64().is_some_and(|floor| floor >= rates.len() as f64);
    match row("/extra/classFloor").and_then(|floors| floors.iter().position(above)) {
        Some(i) => Err(format!("extra.classFloor[{i}] is above the {} rungs of extra.ladderKb", rates.len())),
        None => Ok(()),
    }
}

/// Looks at all that stand at a path. What is missing or null is passed over; a row that is none is not.
fn each(it: &Json, path: &str, look: impl Fn(&Json) -> Result<(), String> + Copy) -> Result<(), String> {
    let mut found = vec![(String::new(), it)];
    for part in path.split('/').skip(1) {
        let mut next = Vec::new();
        for (name, it) in found {
            let dot = if name.is_empty() { "" } else { "." };
            match (part, it) {
                ("*", Json::Array(row)) => {
                    let given = row.iter().enumerate().filter(|(_, it)| !it.is_null());
                    next.extend(given.map(|(i, it)| (format!("{name}[{i}]"), it)));
                }
                ("*", it) => return Err(format!("{name} is {}, not a row", short(it))),
                (part, Json::Object(parts)) => {
                    next.extend(
                        parts
                            .get(part)
                            .filter(|it| !it.is_null())
                            .map(|it| (format!("{name}{dot}{part}"), it)),
                    );
                }
                (_, it) => return Err(format!("{name} is {}, not an object", short(it))),
            }
        }
        found = next;
    }
    found
        .iter()
        .try_for_each(|(name, it)| look(it).map_err(|want| format!("{name} is {}, not {want}", short(it))))
}

fn short(it: &Json) -> String {
    let text = it.to_string();
    if text.chars().count() > 40 { format!("{}...", text.chars().take(40).collect::<String>()) } else { text }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use test_case::test_case;

    fn sound() -> Json {
        json!({
            "balancers": 3, "rank": 2, "discovery": "automatic", "failureDomains": ["here"], "kinds": ["std"],
            "ceilings": { "probes": true, "retryAfter": false, "attemptsCap": 4 },
            "lanes": [{ "name": "a", "effect": "read_like", "keyScope": "all", "worth": 1.5, "giveUpUs": 3000000 }],
            "extra": { "ladderKb": [100, 200.5], "rungWorth": [0.5, 1], "classFloor": [1], "classLive": [false] },
            "rules": { "coldUs": 0 }, "loadInfo": { "how": "inline", "columns": ["x0"] },
        })
    }

    #[test_case(sound(); "all sound")]
    #[test_case(json!({}); "nothing given")]
    #[test_case(json!({ "extra": { "ladderKb": null, "seats": [null, 0] }, "rules": null }); "null is not given")]
    #[test_case(json!({ "tides": { "high": -3 }, "extra": { "colour": "red" }, "lanes": [{ "mood": [] }] }); "not known")]
    fn what_can_be_meant_passes(settings: Json) {
        assert_eq!(check(&settings), Ok(()));
    }

    #[test_case("/balancers", json!("many"), "balancers is \"many\", not a number from 0 on"; "a text for a number")]
    #[test_case("/rules/coldUs", json!(-1), "rules.coldUs is -1, not a number"; "a time below nothing")]
    #[test_case("/ceilings/probes", json!(1), "ceilings.probes is 1, not true or false"; "a number for a truth")]
    #[test_case("/discovery", json!(["a"]), "discovery is [\"a\"], not a text"; "a row for a text")]
    #[test_case("/kinds", json!("std"), "kinds is \"std\", not a row"; "a text for a row")]
    #[test_case("/extra", json!([]), "extra is [], not an object"; "a row for an object")]
    #[test_case("/lanes/0/effect", json!("free"), "lanes[0].effect is \"free\", not one of read_like"; "a word that is not known")]
    #[test_case("/lanes/0/worth", json!({}), "lanes[0].worth is {}"; "an object for a number")]
    #[test_case("/extra/ladderKb/1", json!(100), "extra.ladderKb[1] is 100; each"; "a ladder that does not rise")]
    #[test_case("/extra/ladderKb/0", json!(0), "extra.ladderKb[0] is 0; each"; "a rung of nothing")]
    #[test_case("/extra/rungWorth", json!([1]), "extra.rungWorth has 1 rungs where extra.ladderKb has 2"; "rows that do not fit")]
    #[test_case("/extra/classFloor/0", json!(2), "extra.classFloor[0] is above the 2 rungs"; "a floor above the ladder")]
    #[test_case("/kinds/0", json!({ "a": "x".repeat(99) }), "xxx..., not a text"; "a long one is cut")]
    fn what_cannot_be_meant_is_refused_with_place_and_cause(path: &str, is: Json, fault: &str) {
        let mut settings = sound();
        *settings.pointer_mut(path).expect("it is there") = is;
        let said = check(&settings).expect_err("it is refused");
        assert!(said.contains(fault), "{said}");
    }
}
