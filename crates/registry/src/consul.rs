//! Blocking queries of Consul for the health of a service's instances: a query carries the index of the last response, and
//! is answered when something changed or its wait time has passed (HTTP API: health endpoint, blocking queries, consistency
//! modes). Each response holds the full list.

use crate::{MAX_BYTES, MAX_SERVERS, RegistryError, ServerMetadata};
use pulleystair_membership::{Server, Standing, Update};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// A repeated blocking query of one service.
#[derive(Clone, Debug)]
pub struct BlockingQuery {
    service: String,
    /// How long a query may wait for a change, s; the registry adds up to a sixteenth to it.
    wait_s: u64,
    /// Whether any server of the registry may answer, however stale its data.
    allow_stale: bool,
    /// Index of the last response; 0 asks for an immediate response.
    last_index: u64,
}

/// An instance in the response of the health endpoint; its parts are named as in the API.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
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

impl BlockingQuery {
    /// A query that has no index yet. `wait_s` is the time for which a query may wait for a change, s.
    pub fn new(service: &str, wait_s: u64, allow_stale: bool) -> BlockingQuery {
        BlockingQuery { service: service.into(), wait_s, allow_stale, last_index: 0 }
    }

    /// Request target of the next query.
    pub fn request_target(&self) -> String {
        let stale_parameter = if self.allow_stale { "&stale" } else { "" };
        match self.last_index {
            0 => format!("/v1/health/service/{}?{}", self.service, stale_parameter.trim_start_matches('&')),
            index => format!(
                "/v1/health/service/{}?index={index}&wait={}s{stale_parameter}",
                self.service, self.wait_s
            ),
        }
    }

    /// How long the response may take, ms, before the connection counts as silent.
    pub fn response_timeout_ms(&self) -> f64 {
        let wait_ms = self.wait_s as f64 * 1000.0;
        if self.last_index == 0 { 5_000.0 } else { wait_ms + wait_ms / 16.0 + 5_000.0 }
    }

    /// Resets the index after the connection broke, or to start the query anew.
    pub fn reset(&mut self) -> Update {
        self.last_index = 0;
        Update::Lost
    }

    /// Parses a response. An index that is lower than before, or 0, resets the query, as the API demands of its
    /// clients; the membership view decides whether to use such a list.
    pub fn on_response(
        &mut self,
        status: u16,
        header: impl Fn(&str) -> Option<String>,
        body: &[u8],
    ) -> Result<Update, RegistryError> {
        if status != 200 {
            return Err(RegistryError::UnexpectedStatus(status));
        }
        if body.len() > MAX_BYTES {
            return Err(RegistryError::TooLarge(body.len()));
        }
        let numeric_header = |name: &'static str| header(name).and_then(|v| v.trim().parse::<u64>().ok());
        let revision =
            numeric_header("X-Consul-Index").ok_or(RegistryError::MissingHeader("X-Consul-Index"))?;
        if header("X-Consul-KnownLeader").is_some_and(|v| v.trim() == "false") {
            return Err(RegistryError::NoLeader);
        }
        if revision == self.last_index && revision > 0 {
            return Ok(Update::Alive);
        }
        let age_ms = numeric_header("X-Consul-LastContact").unwrap_or(0) as f64;
        let instances: Vec<Instance> =
            serde_json::from_slice(body).map_err(|e| RegistryError::InvalidJson(e.to_string()))?;
        if instances.len() > MAX_SERVERS {
            return Err(RegistryError::IncompleteOrTooManyServers);
        }
        let servers: Result<Vec<Option<Server>>, RegistryError> =
            instances.into_iter().map(parse_instance).collect();
        let servers = servers?.into_iter().flatten().collect();
        self.last_index = if revision < self.last_index { 0 } else { revision };
        Ok(Update::Full { revision, age_ms, servers })
    }
}

/// An instance as a server: none if a check is critical; draining if it is under maintenance or a check warns.
fn parse_instance(instance: Instance) -> Result<Option<Server>, RegistryError> {
    let Instance { node, service, checks } = instance;
    let invalid = |cause: String| RegistryError::InvalidServer(service.id.chars().take(64).collect(), cause);
    let address = if service.address.is_empty() { &node.address } else { &service.address };
    let ip: IpAddr = address.parse().map_err(|_| {
        invalid(format!("address {:?} is not an IP address", address.chars().take(64).collect::<String>()))
    })?;
    let is_maintenance = |c: &Check| c.id.starts_with("_service_maintenance") || c.id == "_node_maintenance";
    let drains = checks.iter().any(|c| is_maintenance(c) || c.status == "warning");
    if checks.iter().any(|c| !is_maintenance(c) && c.status == "critical") {
        return Ok(None);
    }
    let meta_value = |name: &str| service.meta.get(name).map(String::as_str);
    let required = |name: &str| meta_value(name).ok_or_else(|| invalid(format!("meta has no {name}")));
    let number_or = |name: &str, default: f64| match meta_value(name) {
        Some(text) => text.parse::<f64>().map_err(|_| invalid(format!("meta {name} is not a number"))),
        None => Ok(default),
    };
    let metadata = ServerMetadata {
        zone: required("zone")?.into(),
        kind: required("kind")?.into(),
        cell: required("cell")?.parse().map_err(|_| invalid("meta cell is not a number".into()))?,
        weight: number_or("weight", 1.0)?,
        started_ms: number_or("started_ms", 0.0)?,
    };
    let standing = if drains { Standing::Draining } else { Standing::Ready };
    metadata.into_server(&service.id, SocketAddr::new(ip, service.port), standing).map(Some)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn instance(id: &str, checks: &str) -> String {
        format!(
            r#"{{"Node":{{"Node":"n","Address":"10.0.0.7"}},"Service":{{"ID":"{id}","Service":"media","Address":"",
            "Port":9000,"Meta":{{"zone":"here","kind":"standard","cell":"4","weight":"2.5"}}}},"Checks":[{checks}]}}"#
        )
    }

    fn respond(query: &mut BlockingQuery, index: u64, body: &str) -> Result<Update, RegistryError> {
        query.on_response(200, |name| (name == "X-Consul-Index").then(|| index.to_string()), body.as_bytes())
    }

    fn standings(update: Update) -> Vec<(String, Standing)> {
        let Update::Full { servers, .. } = update else { panic!("{update:?} is not a full list") };
        servers.into_iter().map(|s| (s.name, s.standing)).collect()
    }

    #[test]
    fn the_next_query_carries_the_index_and_a_lower_one_resets_it() {
        let mut query = BlockingQuery::new("media", 60, true);
        assert_eq!(query.request_target(), "/v1/health/service/media?stale");
        let list = format!("[{}]", instance("m4", ""));
        assert_eq!(standings(respond(&mut query, 7, &list).unwrap()), [("m4".into(), Standing::Ready)]);
        assert_eq!(query.request_target(), "/v1/health/service/media?index=7&wait=60s&stale");
        assert!(query.response_timeout_ms() > 63_750.0, "the registry may add a sixteenth");
        assert!(
            matches!(respond(&mut query, 7, &list), Ok(Update::Alive)),
            "the wait time has passed without a change"
        );
        assert!(matches!(respond(&mut query, 3, &list), Ok(Update::Full { revision: 3, .. })));
        assert_eq!(query.request_target(), "/v1/health/service/media?stale");
    }

    #[test_case(r#"{"CheckID":"c","Status":"passing"}"#, Some(Standing::Ready); "passing")]
    #[test_case(r#"{"CheckID":"c","Status":"warning"}"#, Some(Standing::Draining); "warning")]
    #[test_case(r#"{"CheckID":"c","Status":"critical"}"#, None; "critical")]
    #[test_case(r#"{"CheckID":"_node_maintenance","Status":"critical"}"#, Some(Standing::Draining); "node under maintenance")]
    #[test_case(r#"{"CheckID":"_service_maintenance:m","Status":"critical"}"#, Some(Standing::Draining); "service under maintenance")]
    #[test_case(r#"{"CheckID":"_node_maintenance","Status":"critical"},{"CheckID":"c","Status":"critical"}"#, None; "under maintenance and critical")]
    fn health_checks_map_to_standings(checks: &str, expected: Option<Standing>) {
        let mut query = BlockingQuery::new("media", 60, false);
        let update = respond(&mut query, 1, &format!("[{}]", instance("m", checks))).unwrap();
        assert_eq!(standings(update).first().map(|s| s.1), expected);
    }

    #[test_case("", "not valid: "; "empty body")]
    #[test_case("[{\"Node\"", "not valid: "; "truncated document")]
    #[test_case("{}", "not valid: "; "not a list")]
    #[test_case("10.0.0.7 -> here", "m: address \"here\" is not an IP address"; "invalid address")]
    #[test_case("\"zone\" -> \"zoom\"", "m: meta has no zone"; "no zone")]
    #[test_case("\"4\" -> \"four\"", "m: meta cell is not a number"; "invalid cell")]
    #[test_case("2.5 -> -1", "m: weight -1 is not a finite number above 0"; "negative weight")]
    #[test_case("9000 -> 90000", "not valid: "; "port out of range")]
    fn a_malformed_response_is_an_error_and_the_index_stays(change: &str, expected: &str) {
        let mut query = BlockingQuery::new("media", 60, false);
        respond(&mut query, 7, "[]").unwrap();
        let body = match change.split_once(" -> ") {
            Some((old, new)) => format!("[{}]", instance("m", "")).replace(old, new),
            None => change.to_string(),
        };
        let error = respond(&mut query, 8, &body).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
        assert!(query.request_target().contains("index=7"));
    }

    #[test]
    fn responses_without_index_or_leader_and_error_statuses_are_errors() {
        let mut query = BlockingQuery::new("media", 60, false);
        assert_eq!(query.on_response(500, |_| None, b"").unwrap_err(), RegistryError::UnexpectedStatus(500));
        assert_eq!(
            query.on_response(200, |_| None, b"[]").unwrap_err(),
            RegistryError::MissingHeader("X-Consul-Index")
        );
        let without_leader = |name: &str| match name {
            "X-Consul-Index" => Some("9".to_string()),
            "X-Consul-KnownLeader" => Some("false".to_string()),
            _ => None,
        };
        assert_eq!(query.on_response(200, without_leader, b"[]").unwrap_err(), RegistryError::NoLeader);
        let behind = |name: &str| match name {
            "X-Consul-Index" => Some("9".to_string()),
            "X-Consul-LastContact" => Some("4500".to_string()),
            _ => None,
        };
        assert!(matches!(query.on_response(200, behind, b"[]"), Ok(Update::Full { age_ms: 4500.0, .. })));
    }
}
