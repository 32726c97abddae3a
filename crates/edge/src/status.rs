//! Asks a front that runs what it knows of the fleet, for `pulleystair-edge drift`.

use crate::config::Config;
use crate::http::{self, Body};
use anyhow::{Context, bail, ensure};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A front that runs answers within this.
const PATIENCE: Duration = Duration::from_secs(5);
/// The largest answer, bytes: some hundreds for each of 100,000 fronts.
const MOST: usize = 64 << 20;

/// What the front of this rundown says of the fleet.
pub fn query(rundown: &Config) -> anyhow::Result<Value> {
    let at =
        rundown.sharing.ask.context("sharing.ask: the rundown does not say where this front is asked")?;
    let mut stream =
        TcpStream::connect_timeout(&at, PATIENCE).with_context(|| format!("sharing.ask: {at}"))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")?;
    let mut came = Vec::new();
    loop {
        if let Some((head, used)) = http::parse_response(&came).map_err(|e| anyhow::anyhow!("{at}: {e}"))? {
            let Body::Length(length) = head.body else { bail!("{at}: an answer without length") };
            let whole = used + usize::try_from(length)?;
            ensure!(whole <= MOST, "{at}: an answer of {length} bytes");
            if came.len() >= whole {
                ensure!(head.status == 200, "{at}: answered {}", head.status);
                return serde_json::from_slice(&came[used..whole]).with_context(|| format!("{at}"));
            }
        }
        let mut part = [0; 16 << 10];
        let n = stream.read(&mut part).with_context(|| format!("{at}"))?;
        ensure!(n > 0, "{at}: the answer broke off");
        came.extend_from_slice(&part[..n]);
    }
}

/// 0: all in step or on their way; 1: one is adrift, torn, behind or ahead; 2: of some nobody can say.
pub fn exit_code(told: &Value) -> u8 {
    told["status"].as_u64().map_or(2, |status| status.min(2) as u8)
}

/// The same as a table for people.
pub fn table(told: &Value) -> String {
    let mut out = String::new();
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let drift = &told["drift"];
    if drift.is_null() {
        let _ = writeln!(out, "{}: no version is approved here (sharing.approved)", text(&told["front"]));
        return out;
    }
    let counts = drift["counts"].as_object().into_iter().flatten();
    let counts: Vec<String> = counts.map(|(name, n)| format!("{n} {name}")).collect();
    let _ = writeln!(
        out,
        "fleet {}, by {}: approved version {}; {}{}",
        text(&told["fleet"]),
        text(&told["front"]),
        drift["approved"],
        counts.join(", "),
        if drift["forked"] == true {
            "; FORKED: another version of this number is held elsewhere"
        } else {
            ""
        },
    );
    let _ = writeln!(
        out,
        "{:<20} {:<14} {:<6} {:<5} {:>9}  differs",
        "front", "verdict", "alarm", "rule", "heard ms"
    );
    for it in drift["fronts"].as_array().into_iter().flatten() {
        let verdict = text(&it["verdict"]["is"]).replace('_', " ");
        let yes = |name: &str| if it[name] == true { "yes" } else { "-" };
        let age = it["age"].as_f64().map_or("never".to_string(), |age| format!("{age:.0}"));
        let mut differs: Vec<String> = Vec::new();
        for d in it["differences"].as_array().into_iter().flatten() {
            differs.push(format!(
                "{} is {}, approved {}",
                text(&d["name"]),
                text(&d["active"]),
                text(&d["approved"])
            ));
        }
        if differs.is_empty() {
            let wrong = it["sections"].as_array().into_iter().flatten().filter(|s| s[1]["is"] != "in_step");
            differs
                .extend(wrong.map(|s| format!("{}: {}", text(&s[0]), text(&s[1]["is"]).replace('_', " "))));
        }
        let front = text(&it["front"]);
        let _ = writeln!(
            out,
            "{front:<20} {verdict:<14} {:<6} {:<5} {age:>9}  {}",
            yes("alarm"),
            yes("rule"),
            differs.join("; "),
        );
    }
    out
}
