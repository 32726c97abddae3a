//! Properties that parsers must keep for any input from outside. Each function takes bytes and panics if a property fails. The fuzz
//! targets in `fuzz/` call the functions with generated input, the tests with the corpora stored there. Each function has the name
//! of its fuzz target and of the folder of its corpus.

use jsonwebtoken::{Algorithm, EncodingKey, Header, encode};
use pulleystair_dash::address::{self, Route};
use pulleystair_dash::mpd;
use pulleystair_dash::token::{KeyRing, MAX_BYTES, TokenError};
use pulleystair_dns_discovery as dns;
use pulleystair_edge::http::{self, Body, Chunks};
use pulleystair_gossip as gossip;
use pulleystair_rtsp as rtsp;
use pulleystair_viewer_protocol as protocol;

/// Checks an MPD: if it parses, writing and parsing it again gives the same manifest, and its segment numbers are within bounds.
pub fn mpd(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let Ok(manifest) = mpd::parse(text) else { return };
    assert_eq!(
        mpd::parse(&manifest.to_xml()),
        Ok(manifest.clone()),
        "a written manifest parses as the same one"
    );
    let segments = manifest.segment_count();
    assert!(segments.is_none_or(|n| n > 0 && n <= mpd::MAX_SEGMENTS));
    for now in [0, 1, 1_764_600_716_250, u64::MAX] {
        if let Some((first, last)) = manifest.available_segments(now) {
            assert!(first <= last && segments.is_none_or(|all| last <= all), "{first} to {last}");
        }
    }
    for time in [0, 1, 90_000, u64::MAX] {
        let found = manifest.segment_number_at(1, time);
        assert!(found.is_none_or(|n| n > 0 && segments.is_none_or(|all| n <= all)));
    }
}

const KEY_ID: &str = "fuzzed";

/// The key ring with which the tokens below are signed.
fn test_key_ring() -> KeyRing {
    KeyRing::new(&[(KEY_ID.into(), vec![7; 32])]).expect("a key of 32 bytes is valid")
}

/// Checks a token: one that was not signed with our key is rejected with a status; claims signed with it are accepted or rejected.
pub fn token(bytes: &[u8]) {
    let ring = test_key_ring();
    let text = String::from_utf8_lossy(bytes);
    let now = 1_764_600_000;
    for error in
        [ring.verify_entry(&text, now, "guide", "forms").err(), ring.verify_session(&text, now).err()]
    {
        let Some(error) = error else { continue };
        assert!([401, 403, 410].contains(&error.status()));
        assert!(text.len() <= MAX_BYTES || error == TokenError::TooLong);
    }
    // Only we have the key: a token that verifies must be byte for byte one that we sign.
    if let Ok(session_token) = ring.verify_session_signature(&text, now) {
        assert!(
            text.split('.').count() == 3
                && ring.verify_session_signature(&ring.sign(&session_token), now) == Ok(session_token)
        );
    }
    // The same bytes as claims with a valid signature, and signed with the wrong algorithm.
    let Ok(claims) = serde_json::from_slice::<serde_json::Value>(bytes) else { return };
    for algorithm in [Algorithm::HS256, Algorithm::HS512] {
        let header = Header { kid: Some(KEY_ID.into()), ..Header::new(algorithm) };
        let Ok(signed) = encode(&header, &claims, &EncodingKey::from_secret(&[7; 32])) else { continue };
        let entry = ring.verify_entry(&signed, now, "guide", "forms");
        assert!(algorithm == Algorithm::HS256 || entry.is_err(), "only HS256 is accepted");
        if let Ok(entry) = entry {
            assert!(entry.exp > now && !entry.jti.is_empty() && entry.jti.len() <= 64);
            assert_eq!((entry.product.as_str(), entry.title.as_str()), ("guide", "forms"));
        }
    }
}

/// Checks a viewer's request: its head parses the same with and without the bytes that follow, and its target and range are valid.
/// The bytes are checked as a media server's response as well.
pub fn request(bytes: &[u8]) {
    const MAX_HEAD_BYTES: usize = 2048;
    let whole = http::parse_request(bytes, MAX_HEAD_BYTES);
    if let Ok(Some((request, used))) = &whole {
        assert!(*used <= bytes.len().min(MAX_HEAD_BYTES));
        assert_eq!(
            http::parse_request(&bytes[..*used], MAX_HEAD_BYTES),
            whole,
            "the bytes after the head change nothing"
        );
        assert!(
            !matches!(http::parse_request(&bytes[..used - 1], MAX_HEAD_BYTES), Ok(Some(_))),
            "the head parses without its last byte"
        );
        check_target(&request.target);
    }
    if let Ok(text) = std::str::from_utf8(bytes) {
        check_target(text);
        if let Some((first, last)) = http::parse_range(text) {
            assert!(last.is_none_or(|last| first <= last));
        }
    }
    check_response(bytes);
}

/// Checks that the parts of a request's target are valid.
fn check_target(text: &str) {
    match address::parse(text) {
        Some(Route::Manifest { product, title, .. }) => {
            assert!(address::is_valid_name(product) && address::is_valid_name(title));
        }
        Some(
            Route::Segment { session_token, .. }
            | Route::Refresh { session_token }
            | Route::Session { session_token },
        ) => {
            assert!(!session_token.is_empty() && !session_token.contains('/'));
        }
        Some(Route::Time) | None => {}
    }
}

/// Checks a media server's response: its head is within the limit, and a chunked body decodes the same wherever the input is split.
fn check_response(bytes: &[u8]) {
    let Ok(Some((response, used))) = http::parse_response(bytes) else { return };
    assert!(used <= bytes.len().min(http::MAX_RESPONSE_HEAD_BYTES));
    if !matches!(response.body, Body::Chunked(_)) {
        return;
    }
    let feed = |parts: [&[u8]; 2]| {
        let (mut chunks, mut input, mut out) = (Chunks::default(), Vec::new(), Vec::new());
        for part in parts {
            input.extend_from_slice(part);
            match chunks.decode(&mut input, &mut out) {
                Ok(true) => return Ok((out, true)),
                Ok(false) => {}
                Err(_) => return Err(()),
            }
        }
        Ok((out, false))
    };
    let body = &bytes[used..];
    let whole = feed([body, &[]]);
    for cut in [body.len() / 2, body.len().min(1), body.len().saturating_sub(1)] {
        assert_eq!(feed([&body[..cut], &body[cut..]]), whole, "cut at {cut}");
    }
}

/// Checks a load report: it is rejected, or all its metrics are finite.
pub fn orca(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    if let Ok(report) = pulleystair_orca::parse(text) {
        let metrics = report.named_metrics.values().chain(report.utilization.values());
        assert!(metrics.copied().all(f64::is_finite), "{report:?}");
    }
}

/// Feeds bytes to a message parser in chunks of this size; returns the messages and the error, if any.
fn parse_in_chunks<M>(
    bytes: &[u8],
    chunk_size: usize,
    parse: impl Fn(&[u8]) -> Result<Option<(M, usize)>, String>,
) -> (Vec<M>, Option<String>) {
    let (mut input, mut messages) = (Vec::new(), Vec::new());
    for chunk in bytes.chunks(chunk_size) {
        input.extend_from_slice(chunk);
        loop {
            match parse(&input) {
                Ok(None) => break,
                Ok(Some((message, used))) => {
                    assert!(
                        used > 0 && used <= input.len(),
                        "a message uses at least one byte and no more than the input"
                    );
                    input.drain(..used);
                    messages.push(message);
                }
                Err(e) => return (messages, Some(e)),
            }
        }
    }
    (messages, None)
}

/// Checks that the same bytes give the same messages, and an error or none, whatever the chunk size. Larger chunks may show the error
/// earlier.
fn check_chunked_parsing<M: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    parse: impl Fn(&[u8]) -> Result<Option<(M, usize)>, String>,
) {
    let (whole, whole_error) = parse_in_chunks(bytes, bytes.len().max(1), &parse);
    for chunk_size in [1, 7, 1000] {
        let (messages, error) = parse_in_chunks(bytes, chunk_size, &parse);
        assert_eq!(messages, whole);
        assert_eq!(
            error.is_some(),
            whole_error.is_some(),
            "{error:?} in chunks of {chunk_size}, {whole_error:?} in one"
        );
    }
}

/// Checks viewers' messages (the platform's signalling): they don't depend on the chunk size, and a message with valid parameters encodes to the same bytes.
pub fn signal(bytes: &[u8]) {
    check_chunked_parsing(bytes, |input| {
        let parsed = protocol::Message::parse(input).map_err(|e| e.to_string())?;
        Ok(parsed.map(|(message, used)| {
            let parameters: Vec<_> = message.parameters().map_while(Result::ok).collect();
            if message.parameters().all(|p| p.is_ok()) {
                let encoded = protocol::encode(message.kind, message.session, &parameters);
                assert_eq!(
                    encoded.as_deref(),
                    Some(&input[..used]),
                    "a parsed message encodes to the same bytes"
                );
            }
            let parameters: Vec<_> =
                parameters.into_iter().map(|(code, value)| (code, value.to_vec())).collect();
            ((message.kind, message.session, parameters), used)
        }))
    });
}

/// Checks media servers' RTSP messages: they don't depend on the chunk size, and sizes and load metrics are within bounds.
pub fn rtsp(bytes: &[u8]) {
    check_chunked_parsing(bytes, |input| {
        let parsed = rtsp::Message::parse(input).map_err(|e| e.to_string())?;
        if let Some((message, used)) = &parsed {
            assert!(*used <= rtsp::MAX_BYTES && message.body.len() < *used);
            assert!(message.load_values().all(|(_, value)| value.is_finite()));
        }
        Ok(parsed)
    });
}

/// Checks a response of the name service, a DNS message: it is rejected, or every entry of its list is complete.
pub fn names(bytes: &[u8]) {
    let Ok((_, list)) = dns::parse_response(bytes) else { return };
    for entry in list {
        assert!(
            !entry.id.is_empty() && entry.weight.is_finite() && entry.started_at.is_finite(),
            "{entry:?}"
        );
    }
}

/// Checks a gossip datagram: if it decodes, encoding and decoding it again gives the same message. Whatever arrives, a front answers
/// within its limits and does not count another front as heard from.
pub fn row(bytes: &[u8]) {
    let fleet = bytes.get(1..5).and_then(|b| b.try_into().ok()).map_or(0, u32::from_be_bytes);
    if let Ok(message) = gossip::message::Message::decode(bytes, fleet) {
        assert_eq!(gossip::message::Message::decode(&message.encode(fleet), fleet), Ok(message));
    }
    let config = gossip::GossipConfig {
        fleet: "mutated".into(),
        name: "f0".into(),
        peers: vec!["f1".into(), "f2".into()],
        interval: 200.0,
        fan_out: 2,
        max_bytes_per_second: 64_000.0,
        doubted_after: 1_000.0,
        unheard_after: 2_000.0,
    };
    let mut front = gossip::Gossip::new(config, 0.0, 1_000, 7).expect("the configuration is valid");
    front.set_cell(1, vec![7; 500]);
    let answers = front.receive(1.0, bytes);
    assert!(answers.len() <= 4 && answers.iter().all(|a| a.bytes.len() <= gossip::message::MAX_BYTES));
    assert!(
        front.fronts(1.0).all(|f| f.origin == front.own_id() || f.age.is_infinite()),
        "another front counts as heard from, although nothing was requested"
    );
}
