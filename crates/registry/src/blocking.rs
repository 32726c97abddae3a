//! Blocking queries: the health of a service's instances, asked with the index of the last answer, and answered when
//! something has changed or the wait is over (Consul's HTTP interface: health endpoint, blocking queries, consistency
//! modes). Each answer is whole.

use crate::{MOST_BYTES, MOST_SERVERS, RegistryError, Told};
use pulleystair_membership::{Server, Standing, Update};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Which service is followed, and how.
#[derive(Clone, Debug)]
pub struct Blocking {
    service: String,
    /// How long a query may wait for a change, s; the registry adds up to a sixteenth to it.
    wait: u64,
    /// Whether any server of the registry may answer, however far behind.
    stale: bool,
    /// Of the last answer; 0 asks for all at once.
    index: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    node: Node,
    service: Service,
    #[serde(default)]
    checks: Vec<Check>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Node {
    address: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: HashMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID", default)]
    id: String,
    status: String,
}

impl Blocking {
    pub fn new(service: &str, wait: u64, stale: bool) -> Blocking {
        Blocking { service: service.into(), wait, stale, index: 0 }
    }

    /// What to ask for next.
    pub fn target(&self) -> String {
        let stale = if self.stale { "&stale" } else { "" };
        match self.index {
            0 => format!("/v1/health/service/{}?{}", self.service, stale.trim_start_matches('&')),
            index => format!("/v1/health/service/{}?index={index}&wait={}s{stale}", self.service, self.wait),
        }
    }

    /// How long the answer may take, ms, before the connection counts as silent.
    pub fn patience(&self) -> f64 {
        let wait = self.wait as f64 * 1000.0;
        if self.index == 0 { 5_000.0 } else { wait + wait / 16.0 + 5_000.0 }
    }

    /// The connection broke, or the query is to begin anew.
    pub fn lost(&mut self) -> Update {
        self.index = 0;
        Update::Lost
    }

    /// Takes an answer. An index that is lower than before, or not above 0, begins anew, as the interface asks of its
    /// clients; the view decides what to make of such a list.
    pub fn on_response(
        &mut self,
        status: u16,
        header: impl Fn(&str) -> Option<String>,
        body: &[u8],
    ) -> Result<Update, RegistryError> {
        if status != 200 {
            return Err(RegistryError::Status(status));
        }
        if body.len() > MOST_BYTES {
            return Err(RegistryError::TooLarge(body.len()));
        }
        let number = |name: &'static str| header(name).and_then(|v| v.trim().parse::<u64>().ok());
        let revision = number("X-Consul-Index").ok_or(RegistryError::Header("X-Consul-Index"))?;
        if header("X-Consul-KnownLeader").is_some_and(|v| v.trim() == "false") {
            return Err(RegistryError::NoLeader);
        }
        if revision == self.index && revision > 0 {
            return Ok(Update::Alive);
        }
        let age = number("X-Consul-LastContact").unwrap_or(0) as f64;
        let entries: Vec<Entry> =
            serde_json::from_slice(body).map_err(|e| RegistryError::Json(e.to_string()))?;
        if entries.len() > MOST_SERVERS {
            return Err(RegistryError::TooMany);
        }
        let servers: Result<Vec<Option<Server>>, RegistryError> = entries.into_iter().map(server).collect();
        let servers = servers?.into_iter().flatten().collect();
        self.index = if revision < self.index { 0 } else { revision };
        Ok(Update::Whole { revision, age, servers })
    }
}

/// An instance as a server: one that fails a check is not there, one under maintenance or warning drains.
fn server(entry: Entry) -> Result<Option<Server>, RegistryError> {
    let Entry { node, service, checks } = entry;
    let bad = |cause: String| RegistryError::Server(service.id.chars().take(64).collect(), cause);
    let at = if service.address.is_empty() { &node.address } else { &service.address };
    let ip: IpAddr =
        at.parse().map_err(|_| bad(format!("address is {:?}", at.chars().take(64).collect::<String>())))?;
    let kept = |c: &Check| c.id.starts_with("_service_maintenance") || c.id == "_node_maintenance";
    let drains = checks.iter().any(|c| kept(c) || c.status == "warning");
    if checks.iter().any(|c| !kept(c) && c.status == "critical") {
        return Ok(None);
    }
    let told = |name: &str| service.meta.get(name).map(String::as_str);
    let wanted = |name: &str| told(name).ok_or_else(|| bad(format!("meta has no {name}")));
    let number = |name: &str, other: f64| match told(name) {
        Some(text) => text.parse::<f64>().map_err(|_| bad(format!("meta {name} is no number"))),
        None => Ok(other),
    };
    let it = Told {
        zone: wanted("zone")?.into(),
        kind: wanted("kind")?.into(),
        cell: wanted("cell")?.parse().map_err(|_| bad("meta cell is no number".into()))?,
        weight: number("weight", 1.0)?,
        started_ms: number("started_ms", 0.0)?,
    };
    let standing = if drains { Standing::Draining } else { Standing::Ready };
    it.server(&service.id, SocketAddr::new(ip, service.port), standing).map(Some)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn entry(id: &str, checks: &str) -> String {
        format!(
            r#"{{"Node":{{"Node":"n","Address":"10.0.0.7"}},"Service":{{"ID":"{id}","Service":"media","Address":"",
            "Port":9000,"Meta":{{"zone":"here","kind":"standard","cell":"4","weight":"2.5"}}}},"Checks":[{checks}]}}"#
        )
    }

    fn ask(it: &mut Blocking, index: u64, body: &str) -> Result<Update, RegistryError> {
        it.on_response(200, |name| (name == "X-Consul-Index").then(|| index.to_string()), body.as_bytes())
    }

    fn standings(news: Update) -> Vec<(String, Standing)> {
        let Update::Whole { servers, .. } = news else { panic!("{news:?} is not whole") };
        servers.into_iter().map(|s| (s.name, s.standing)).collect()
    }

    #[test]
    fn an_index_is_followed_and_one_that_goes_back_begins_anew() {
        let mut it = Blocking::new("media", 60, true);
        assert_eq!(it.target(), "/v1/health/service/media?stale");
        let list = format!("[{}]", entry("m4", ""));
        assert_eq!(standings(ask(&mut it, 7, &list).unwrap()), [("m4".into(), Standing::Ready)]);
        assert_eq!(it.target(), "/v1/health/service/media?index=7&wait=60s&stale");
        assert!(it.patience() > 63_750.0, "the registry may add a sixteenth");
        assert!(matches!(ask(&mut it, 7, &list), Ok(Update::Alive)), "the wait was over");
        assert!(matches!(ask(&mut it, 3, &list), Ok(Update::Whole { revision: 3, .. })));
        assert_eq!(it.target(), "/v1/health/service/media?stale");
    }

    #[test_case(r#"{"CheckID":"c","Status":"passing"}"#, Some(Standing::Ready); "passing")]
    #[test_case(r#"{"CheckID":"c","Status":"warning"}"#, Some(Standing::Draining); "warning")]
    #[test_case(r#"{"CheckID":"c","Status":"critical"}"#, None; "critical")]
    #[test_case(r#"{"CheckID":"_node_maintenance","Status":"critical"}"#, Some(Standing::Draining); "node under maintenance")]
    #[test_case(r#"{"CheckID":"_service_maintenance:m","Status":"critical"}"#, Some(Standing::Draining); "service under maintenance")]
    #[test_case(r#"{"CheckID":"_node_maintenance","Status":"critical"},{"CheckID":"c","Status":"critical"}"#, None; "under maintenance and dead")]
    fn health_is_standing(checks: &str, standing: Option<Standing>) {
        let mut it = Blocking::new("media", 60, false);
        let news = ask(&mut it, 1, &format!("[{}]", entry("m", checks))).unwrap();
        assert_eq!(standings(news).first().map(|s| s.1), standing);
    }

    #[test_case("", "not read: "; "nothing")]
    #[test_case("[{\"Node\"", "not read: "; "half a document")]
    #[test_case("{}", "not read: "; "no list")]
    #[test_case("10.0.0.7 -> here", "m: address is \"here\""; "no address")]
    #[test_case("\"zone\" -> \"zoom\"", "m: meta has no zone"; "no zone")]
    #[test_case("\"4\" -> \"four\"", "m: meta cell is no number"; "no cell")]
    #[test_case("2.5 -> -1", "m: weight is -1"; "a weight below zero")]
    #[test_case("9000 -> 90000", "not read: "; "no port")]
    fn a_bad_answer_tells_nothing_and_the_query_goes_on(change: &str, says: &str) {
        let mut it = Blocking::new("media", 60, false);
        ask(&mut it, 7, "[]").unwrap();
        let body = match change.split_once(" -> ") {
            Some((find, put)) => format!("[{}]", entry("m", "")).replace(find, put),
            None => change.to_string(),
        };
        let fault = ask(&mut it, 8, &body).unwrap_err().to_string();
        assert!(fault.contains(says), "{fault}");
        assert!(it.target().contains("index=7"));
    }

    #[test]
    fn answers_without_index_or_leader_and_other_statuses_tell_nothing() {
        let mut it = Blocking::new("media", 60, false);
        assert_eq!(it.on_response(500, |_| None, b"").unwrap_err(), RegistryError::Status(500));
        assert_eq!(
            it.on_response(200, |_| None, b"[]").unwrap_err(),
            RegistryError::Header("X-Consul-Index")
        );
        let headless = |name: &str| match name {
            "X-Consul-Index" => Some("9".to_string()),
            "X-Consul-KnownLeader" => Some("false".to_string()),
            _ => None,
        };
        assert_eq!(it.on_response(200, headless, b"[]").unwrap_err(), RegistryError::NoLeader);
        let stale = |name: &str| match name {
            "X-Consul-Index" => Some("9".to_string()),
            "X-Consul-LastContact" => Some("4500".to_string()),
            _ => None,
        };
        assert!(matches!(it.on_response(200, stale, b"[]"), Ok(Update::Whole { age: 4500.0, .. })));
    }
}
