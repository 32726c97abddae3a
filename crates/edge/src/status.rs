//! Queries a running front for its status report on the fleet, and prints it, for `pulleystair-edge drift`.

use crate::config::Config;
use crate::http::{self, Body};
use anyhow::{Context, bail, ensure};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Timeout for connecting and for each read; a running front responds within it.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the largest response that is read: some hundred bytes for each of 100,000 fronts.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Requests the status report of the front with this configuration, at the address `sharing.ask`.
pub fn query(config: &Config) -> anyhow::Result<Value> {
    let address = config.sharing.ask.context("sharing.ask: not set, so this front can't be queried")?;
    ensure!(
        address.port() != 0,
        "sharing.ask: {address} has no port; the front has logged which one it chose"
    );
    let mut stream =
        TcpStream::connect_timeout(&address, TIMEOUT).with_context(|| format!("sharing.ask: {address}"))?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")?;
    let mut received = Vec::new();
    loop {
        if let Some((head, head_bytes)) =
            http::parse_response(&received).map_err(|e| anyhow::anyhow!("{address}: {e}"))?
        {
            let Body::Length(length) = head.body else { bail!("{address}: the response has no length") };
            let total_bytes = head_bytes + usize::try_from(length)?;
            ensure!(
                total_bytes <= MAX_RESPONSE_BYTES,
                "{address}: the response of {length} bytes is too large"
            );
            if received.len() >= total_bytes {
                ensure!(head.status == 200, "{address}: status {}", head.status);
                return serde_json::from_slice(&received[head_bytes..total_bytes])
                    .with_context(|| format!("{address}"));
            }
        }
        let mut chunk = [0; 16 << 10];
        let n = stream.read(&mut chunk).with_context(|| format!("{address}"))?;
        ensure!(n > 0, "{address}: the connection closed before the end of the response");
        received.extend_from_slice(&chunk[..n]);
    }
}

/// Exit code of a status report. 1: a front is adrift, torn, behind or ahead, and under alarm; else 2: the state of
/// some front is unknown, or no version is approved; else 0: all are in step or on their way, or not yet under alarm.
pub fn exit_code(report: &Value) -> u8 {
    report["status"].as_u64().map_or(2, |status| status.min(2) as u8)
}

/// Formats a status report as a table for operators.
pub fn table(report: &Value) -> String {
    let mut out = String::new();
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    let drift = &report["drift"];
    if drift.is_null() {
        let _ = writeln!(out, "{}: no version is approved here (sharing.approved)", text(&report["front"]));
        return out;
    }
    let counts = drift["counts"].as_object().into_iter().flatten();
    let counts: Vec<String> = counts.map(|(name, n)| format!("{n} {name}")).collect();
    let _ = writeln!(
        out,
        "fleet {}, by {}: approved version {}; {}{}",
        text(&report["fleet"]),
        text(&report["front"]),
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
    for front in drift["fronts"].as_array().into_iter().flatten() {
        let verdict = text(&front["verdict"]["is"]).replace('_', " ");
        let yes_or_dash = |name: &str| if front[name] == true { "yes" } else { "-" };
        let age = front["age"].as_f64().map_or("never".to_string(), |age| format!("{age:.0}"));
        let mut differs: Vec<String> = Vec::new();
        for difference in front["differences"].as_array().into_iter().flatten() {
            differs.push(format!(
                "{} is {}, approved {}",
                text(&difference["name"]),
                text(&difference["active"]),
                text(&difference["approved"])
            ));
        }
        if differs.is_empty() {
            let out_of_step =
                front["sections"].as_array().into_iter().flatten().filter(|s| s[1]["is"] != "in_step");
            differs.extend(
                out_of_step.map(|s| format!("{}: {}", text(&s[0]), text(&s[1]["is"]).replace('_', " "))),
            );
        }
        let name = text(&front["front"]);
        let _ = writeln!(
            out,
            "{name:<20} {verdict:<14} {:<6} {:<5} {age:>9}  {}",
            yes_or_dash("alarm"),
            yes_or_dash("rule"),
            differs.join("; "),
        );
    }
    out
}
