//! Watches of etcd from a revision: all keys under a prefix are read once, then watched from the revision of that read (JSON
//! gateway: `/v3/kv/range`, `/v3/watch`; 64-bit numbers are sent as text, keys and values in base64). A key is the prefix
//! followed by a server's name. Its value is a JSON object with `address`, `zone`, `kind`, `cell`, and optionally `weight`,
//! `started_ms` and `state` (`ready` or `draining`).

use crate::{MAX_BYTES, MAX_SERVERS, RegistryError, ServerMetadata};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use pulleystair_membership::{Server, Standing, Update};
use serde::{Deserialize, Deserializer};
use serde_json::json;
use std::net::SocketAddr;

/// A watch on all keys under a prefix.
#[derive(Clone, Debug)]
pub struct Watch {
    prefix: String,
    /// Revision up to which all changes are known; none before the full read.
    revision: Option<u64>,
}

/// Response to the range request.
#[derive(Deserialize)]
struct RangeResponse {
    header: Header,
    #[serde(default)]
    kvs: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Header {
    #[serde(deserialize_with = "deserialize_u64")]
    revision: u64,
}

/// A key and its value, both in base64.
#[derive(Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
}

/// A line of the watch stream.
#[derive(Deserialize)]
struct WatchLine {
    result: Option<WatchResponse>,
    error: Option<serde_json::Value>,
}

/// A watch response.
#[derive(Default, Deserialize)]
#[serde(default)]
struct WatchResponse {
    header: Header,
    created: bool,
    canceled: bool,
    #[serde(deserialize_with = "deserialize_u64")]
    compact_revision: u64,
    cancel_reason: String,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    /// `DELETE`; left out for a put.
    #[serde(rename = "type", default)]
    kind: String,
    kv: KeyValue,
}

/// The value of a server's key.
#[derive(Deserialize)]
struct ServerValue {
    address: SocketAddr,
    #[serde(default)]
    state: State,
    #[serde(flatten)]
    metadata: ServerMetadata,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Ready,
    Draining,
}

/// Reads a 64-bit number that is sent as text or as a number.
fn deserialize_u64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum NumberOrText {
        Number(u64),
        Text(String),
    }
    match NumberOrText::deserialize(deserializer)? {
        NumberOrText::Number(n) => Ok(n),
        NumberOrText::Text(text) => text.parse().map_err(serde::de::Error::custom),
    }
}

impl Watch {
    /// A watch that has not read the keys yet.
    pub fn new(prefix: &str) -> Watch {
        Watch { prefix: prefix.into(), revision: None }
    }

    /// The revision after which the watch continues; none if a full read is needed first.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// First key and end of the range of keys with the prefix, in base64.
    fn encoded_key_range(&self) -> (String, String) {
        // The end of the range is the prefix with its last byte below 0xff incremented. If there is no such byte, it is a
        // zero byte, which stands for all keys from the first one.
        let mut end = self.prefix.clone().into_bytes();
        while end.pop_if(|b| *b == 0xff).is_some() {}
        match end.last_mut() {
            Some(last) => *last += 1,
            None => end.push(0),
        }
        (STANDARD.encode(&self.prefix), STANDARD.encode(end))
    }

    /// Target and body of the request that reads all keys.
    pub fn range_request(&self) -> (&'static str, String) {
        let (key, range_end) = self.encoded_key_range();
        ("/v3/kv/range", json!({ "key": key, "range_end": range_end }).to_string())
    }

    /// Target and body of the watch request; the response is a stream of lines for [`Watch::on_line`].
    pub fn watch_request(&self) -> (&'static str, String) {
        let (key, range_end) = self.encoded_key_range();
        let start_revision = self.revision.unwrap_or(0) + 1;
        let create_request = json!({
            "key": key, "range_end": range_end, "start_revision": start_revision.to_string(), "progress_notify": true,
        });
        ("/v3/watch", json!({ "create_request": create_request }).to_string())
    }

    /// Forgets the revision, so that all keys are read anew.
    pub fn reset(&mut self) -> Update {
        self.revision = None;
        Update::Lost
    }

    /// Parses the response to [`Watch::range_request`], and sets the revision from which the watch continues. On an error, the
    /// revision stays.
    pub fn on_range_response(&mut self, status: u16, body: &[u8]) -> Result<Update, RegistryError> {
        if status != 200 {
            return Err(RegistryError::UnexpectedStatus(status));
        }
        if body.len() > MAX_BYTES {
            return Err(RegistryError::TooLarge(body.len()));
        }
        let response: RangeResponse =
            serde_json::from_slice(body).map_err(|e| RegistryError::InvalidJson(e.to_string()))?;
        if response.more || response.kvs.len() > MAX_SERVERS {
            return Err(RegistryError::IncompleteOrTooManyServers);
        }
        let servers: Result<Vec<Server>, RegistryError> =
            response.kvs.iter().map(|key_value| self.parse_server(key_value)).collect();
        let (revision, servers) = (response.header.revision, servers?);
        self.revision = Some(revision);
        // The range request does not ask for a serializable read, so it is linearizable, and the list is current.
        Ok(Update::Full { revision, age_ms: 0.0, servers })
    }

    /// Parses a line of the watch stream. If the revision is compacted ([`Update::Lost`]) or the watch was cancelled (an
    /// error), all keys must be read anew. An unreadable value breaks the watch too, because its change is not known.
    pub fn on_line(&mut self, line: &[u8]) -> Result<Update, RegistryError> {
        let parsed: Result<WatchLine, _> = serde_json::from_slice(line);
        let response = match parsed {
            Ok(WatchLine { result: Some(response), error: None }) => response,
            Ok(WatchLine { error, .. }) => {
                self.revision = None;
                let cause = error.map_or("line has no result".into(), |e| e.to_string());
                return Err(RegistryError::WatchCancelled(cause.chars().take(200).collect()));
            }
            Err(e) => {
                self.revision = None;
                return Err(RegistryError::InvalidJson(e.to_string()));
            }
        };
        if response.compact_revision > 0 {
            return Ok(self.reset());
        }
        if response.canceled {
            self.revision = None;
            return Err(RegistryError::WatchCancelled(response.cancel_reason.chars().take(200).collect()));
        }
        let revision = response.header.revision;
        if response.created || response.events.is_empty() {
            // A progress notification: all changes up to its revision have been sent. This does not hold for the response
            // that creates the watch.
            if let Some(known) = self.revision.filter(|_| !response.created) {
                self.revision = Some(known.max(revision));
            }
            return Ok(Update::Alive);
        }
        let (mut put, mut removed) = (Vec::new(), Vec::new());
        for event in &response.events {
            let outcome = match event.kind.as_str() {
                "DELETE" => self.server_name(&event.kv.key).map(|name| {
                    put.retain(|s: &Server| s.name != name);
                    removed.push(name);
                }),
                _ => self.parse_server(&event.kv).map(|server| {
                    removed.retain(|name| *name != server.name);
                    put.retain(|s: &Server| s.name != server.name);
                    put.push(server);
                }),
            };
            if let Err(e) = outcome {
                self.revision = None;
                return Err(e);
            }
        }
        self.revision = self.revision.map(|known| known.max(revision));
        Ok(Update::Change { revision, put, removed })
    }

    /// The server's name from a key in base64.
    fn server_name(&self, key: &str) -> Result<String, RegistryError> {
        let invalid =
            |cause: &str| RegistryError::InvalidServer(key.chars().take(64).collect(), cause.into());
        let key = STANDARD.decode(key).map_err(|_| invalid("key is not base64"))?;
        let key = String::from_utf8(key).map_err(|_| invalid("key is not UTF-8"))?;
        let name = key.strip_prefix(&self.prefix).filter(|name| !name.is_empty() && name.len() <= 64);
        name.map(str::to_string)
            .ok_or_else(|| invalid("key is outside the watched prefix or its name is empty or over 64 bytes"))
    }

    /// The server that a key and its value describe.
    fn parse_server(&self, key_value: &KeyValue) -> Result<Server, RegistryError> {
        let name = self.server_name(&key_value.key)?;
        let invalid = |cause: String| RegistryError::InvalidServer(name.clone(), cause);
        let value = STANDARD.decode(&key_value.value).map_err(|_| invalid("value is not base64".into()))?;
        let ServerValue { address, state, metadata } =
            serde_json::from_slice(&value).map_err(|e| invalid(e.to_string()))?;
        let standing = match state {
            State::Ready => Standing::Ready,
            State::Draining => Standing::Draining,
        };
        metadata.into_server(&name, address, standing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const VALUE: &str =
        r#"{"address":"10.0.0.1:9000","zone":"here","kind":"standard","cell":3,"state":"draining"}"#;

    fn key_value(name: &str, value: &str) -> serde_json::Value {
        json!({ "key": STANDARD.encode(format!("/media/{name}")), "value": STANDARD.encode(value), "mod_revision": "5" })
    }

    fn watch_from_40() -> Watch {
        let mut watch = Watch::new("/media/");
        let body = json!({ "header": { "revision": "40" }, "kvs": [key_value("m1", VALUE)], "count": "1" });
        let update = watch.on_range_response(200, body.to_string().as_bytes()).unwrap();
        assert!(
            matches!(update, Update::Full { revision: 40, ref servers, .. } if servers[0].standing == Standing::Draining)
        );
        watch
    }

    fn respond(watch: &mut Watch, result: serde_json::Value) -> Result<Update, RegistryError> {
        watch.on_line(json!({ "result": result }).to_string().as_bytes())
    }

    #[test]
    fn all_keys_are_read_and_then_watched_from_that_revision() {
        let mut watch = watch_from_40();
        let (target, body) = watch.watch_request();
        let body: serde_json::Value = serde_json::from_str(&body).unwrap();
        let request = &body["create_request"];
        assert_eq!((target, request["start_revision"].as_str()), ("/v3/watch", Some("41")));
        // The range runs from the prefix to the first key that does not begin with it.
        assert_eq!(request["key"].as_str(), Some(STANDARD.encode("/media/").as_str()));
        assert_eq!(request["range_end"].as_str(), Some(STANDARD.encode("/media0").as_str()));
        assert!(matches!(
            respond(&mut watch, json!({ "created": true, "header": { "revision": "45" } })),
            Ok(Update::Alive)
        ));
        assert_eq!(watch.revision(), Some(40), "the creation of the watch does not advance the revision");
        let events = json!([{ "kv": key_value("m2", VALUE) }, { "type": "DELETE", "kv": { "key": key_value("m1", "")["key"] } }]);
        let update =
            respond(&mut watch, json!({ "header": { "revision": "47" }, "events": events })).unwrap();
        let Update::Change { revision: 47, put, removed } = update else { panic!("{update:?}") };
        assert_eq!((put[0].name.as_str(), removed), ("m2", vec!["m1".to_string()]));
        assert!(matches!(respond(&mut watch, json!({ "header": { "revision": "60" } })), Ok(Update::Alive)));
        assert_eq!(watch.revision(), Some(60), "a progress notification");
    }

    #[test]
    fn a_server_removed_and_put_again_in_one_response_is_listed() {
        let mut watch = watch_from_40();
        let removed = json!({ "type": "DELETE", "kv": { "key": key_value("m1", "")["key"] } });
        let events = json!([removed, { "type": "PUT", "kv": key_value("m1", VALUE) }]);
        let update =
            respond(&mut watch, json!({ "header": { "revision": "50" }, "events": events })).unwrap();
        assert!(
            matches!(update, Update::Change { ref put, ref removed, .. } if put.len() == 1 && removed.is_empty())
        );
    }

    #[test]
    fn a_compacted_revision_requires_a_new_full_read() {
        let mut watch = watch_from_40();
        let compacted = json!({ "canceled": true, "compact_revision": "44", "header": { "revision": "60" } });
        assert!(matches!(respond(&mut watch, compacted), Ok(Update::Lost)));
        assert_eq!(watch.revision(), None);
    }

    #[test_case(r#"{"result":{"canceled":true,"cancel_reason":"no more"}}"#, "watch ended: no more"; "cancelled")]
    #[test_case(r#"{"error":{"message":"unavailable"}}"#, "unavailable"; "an error")]
    #[test_case(r#"{"result":{"events":[{"kv":{"key":"!"}}]}}"#, "key is not base64"; "invalid key")]
    #[test_case(r#"{"result":{"events":[{"kv":{"key":"L290aGVyL20x"}}]}}"#, "key is outside the watched prefix"; "key outside the prefix")]
    #[test_case(r#"{"result":{"events":[{"kv":{"key":"L21lZGlhL20x","value":"e30="}}]}}"#, "m1: missing field"; "an empty value")]
    #[test_case(r#"{"result":{"events":[{"kv"#, "not valid"; "truncated line")]
    #[test_case(r#"{"result":{"header":{"revision":"many"}}}"#, "not valid"; "invalid revision")]
    fn an_unreadable_line_breaks_the_watch(text: &str, expected: &str) {
        let mut watch = watch_from_40();
        let error = watch.on_line(text.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
        assert_eq!(watch.revision(), None, "the change that the line held is not known");
    }

    #[test_case(503, "", RegistryError::UnexpectedStatus(503); "another status")]
    #[test_case(200, r#"{"header":{"revision":"1"},"more":true}"#, RegistryError::IncompleteOrTooManyServers; "incomplete response")]
    fn a_failed_or_partial_read_is_an_error(status: u16, body: &str, expected: RegistryError) {
        assert_eq!(Watch::new("/media/").on_range_response(status, body.as_bytes()).unwrap_err(), expected);
    }
}
