//! What must hold of whatever comes in from outside. Each function takes bytes and panics if something does not
//! hold; the fuzz targets in `fuzz/` call them with what they make up, the tests with the corpora kept there.

use jsonwebtoken::{Algorithm, EncodingKey, Header, encode};
use pulleystair_dash::address::{self, Route};
use pulleystair_dash::mpd;
use pulleystair_dash::token::{KeyRing, MAX_BYTES, TokenError};
use pulleystair_dns_discovery as dns;
use pulleystair_edge::http::{self, Body, Chunks};
use pulleystair_gossip as gossip;
use pulleystair_rtsp as rtsp;
use pulleystair_viewer_protocol as protocol;

/// An MPD that reads is written so that it reads as the same, and its segments can be asked for.
pub fn mpd(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let Ok(manifest) = mpd::parse(text) else { return };
    assert_eq!(mpd::parse(&manifest.write()), Ok(manifest.clone()), "it reads as it was written");
    let segments = manifest.segments();
    assert!(segments.is_none_or(|n| n > 0 && n <= mpd::MAX_SEGMENTS));
    for now in [0, 1, 1_764_600_716_250, u64::MAX] {
        if let Some((first, last)) = manifest.available(now) {
            assert!(first <= last && segments.is_none_or(|all| last <= all), "{first} to {last}");
        }
    }
    for time in [0, 1, 90_000, u64::MAX] {
        let found = manifest.at_time(1, time);
        assert!(found.is_none_or(|n| n > 0 && segments.is_none_or(|all| n <= all)));
    }
}

const KEY_ID: &str = "fuzzed";

fn test_key_ring() -> KeyRing {
    KeyRing::new(&[(KEY_ID.into(), vec![7; 32])]).expect("a long key is a ring")
}

/// A token that we did not sign opens nothing and is told why; claims that we signed are read or refused.
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
    // Nobody but us has the key: what reads at all must be of our making, to the letter.
    if let Ok(session_token) = ring.verify_session_signature(&text, now) {
        assert!(
            text.split('.').count() == 3
                && ring.verify_session_signature(&ring.sign(&session_token), now) == Ok(session_token)
        );
    }
    // The same bytes as claims under a good signature, and under the wrong algorithm.
    let Ok(claims) = serde_json::from_slice::<serde_json::Value>(bytes) else { return };
    for algorithm in [Algorithm::HS256, Algorithm::HS512] {
        let header = Header { kid: Some(KEY_ID.into()), ..Header::new(algorithm) };
        let Ok(signed) = encode(&header, &claims, &EncodingKey::from_secret(&[7; 32])) else { continue };
        let entry = ring.verify_entry(&signed, now, "guide", "forms");
        assert!(algorithm == Algorithm::HS256 || entry.is_err(), "only one algorithm is taken");
        if let Ok(entry) = entry {
            assert!(entry.exp > now && !entry.jti.is_empty() && entry.jti.len() <= 64);
            assert_eq!((entry.product.as_str(), entry.title.as_str()), ("guide", "forms"));
        }
    }
}

/// A request's head is read the same wherever it is cut, and so is what its target and its range say.
pub fn request(bytes: &[u8]) {
    const MAX_HEAD_BYTES: usize = 2048;
    let whole = http::parse_request(bytes, MAX_HEAD_BYTES);
    if let Ok(Some((request, used))) = &whole {
        assert!(*used <= bytes.len().min(MAX_HEAD_BYTES));
        assert_eq!(
            http::parse_request(&bytes[..*used], MAX_HEAD_BYTES),
            whole,
            "what follows changes nothing"
        );
        assert!(
            !matches!(http::parse_request(&bytes[..used - 1], MAX_HEAD_BYTES), Ok(Some(_))),
            "it ends where it ends"
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

fn check_target(text: &str) {
    match address::parse(text) {
        Some(Route::Manifest { product, title, .. }) => {
            assert!(address::is_valid_name(product) && address::is_valid_name(title));
        }
        Some(Route::Segment { pass, .. } | Route::Again { pass } | Route::Session { pass }) => {
            assert!(!pass.is_empty() && !pass.contains('/'));
        }
        Some(Route::Time) | None => {}
    }
}

/// A media server's answer is read within bounds, and chunks come out the same wherever they are cut.
fn check_response(bytes: &[u8]) {
    let Ok(Some((answer, used))) = http::parse_response(bytes) else { return };
    assert!(used <= bytes.len().min(http::ANSWER_HEAD));
    if !matches!(response.body, Body::Chunked(_)) {
        return;
    }
    let feed = |parts: [&[u8]; 2]| {
        let (mut chunks, mut input, mut out) = (Chunks::default(), Vec::new(), Vec::new());
        for part in parts {
            input.extend_from_slice(part);
            match chunks.feed(&mut input, &mut out) {
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

/// A load report holds finite figures or is refused.
pub fn orca(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    if let Ok(report) = pulleystair_orca::parse(text) {
        let metrics = report.named_metrics.values().chain(report.utilization.values());
        assert!(metrics.copied().all(f64::is_finite), "{report:?}");
    }
}

/// What a reader of messages makes of bytes that come in parts of this size: the messages, and whether it went wrong.
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
                    assert!(used > 0 && used <= input.len(), "it takes what is there");
                    input.drain(..used);
                    messages.push(message);
                }
                Err(e) => return (messages, Some(e)),
            }
        }
    }
    (messages, None)
}

/// The same messages come of the same bytes, however they are cut. Whether what is left went wrong may be known earlier in
/// larger parts, but never goes unnoticed in them.
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

/// Viewers' messages, what a message reads as when it is written again, and its parameters within its bounds.
pub fn signal(bytes: &[u8]) {
    check_chunked_parsing(bytes, |input| {
        let parsed = protocol::Message::parse(input).map_err(|e| e.to_string())?;
        Ok(parsed.map(|(message, used)| {
            let parameters: Vec<_> = message.parameters().map_while(Result::ok).collect();
            if message.parameters().all(|p| p.is_ok()) {
                let encoded = protocol::encode(message.kind, message.session, &parameters);
                assert_eq!(encoded.as_deref(), Some(&input[..used]), "it is written as it was read");
            }
            let parameters: Vec<_> =
                parameters.into_iter().map(|(code, value)| (code, value.to_vec())).collect();
            ((message.kind, message.session, parameters), used)
        }))
    });
}

/// Media servers' messages.
pub fn rtsp(bytes: &[u8]) {
    check_chunked_parsing(bytes, |input| {
        let parsed = rtsp::Message::parse(input).map_err(|e| e.to_string())?;
        if let Some((message, used)) = &parsed {
            assert!(*used <= rtsp::MAX_BYTES && message.body.len() < *used);
            assert!(message.report().all(|(_, value)| value.is_finite()));
        }
        Ok(parsed)
    });
}

/// Answers of the name service: read or refused, and never a list that is not whole.
pub fn names(bytes: &[u8]) {
    let Ok((_, list)) = dns::parse_response(bytes) else { return };
    for entry in list {
        assert!(!entry.id.is_empty() && entry.weight.is_finite() && entry.started.is_finite(), "{entry:?}");
    }
}

/// A datagram between fronts that reads is written as it was; whatever comes, a front answers within its bounds, and says
/// of nobody that it was heard.
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
        bytes_s: 64_000.0,
        doubted_after: 1_000.0,
        unheard_after: 2_000.0,
    };
    let mut front = gossip::Gossip::new(config, 0.0, 1_000, 7).expect("three names");
    front.put(1, vec![7; 500]);
    let answers = front.receive(1.0, bytes);
    assert!(answers.len() <= 4 && answers.iter().all(|a| a.bytes.len() <= gossip::message::MAX_BYTES));
    assert!(front.fronts(1.0).all(|f| f.origin == front.own() || f.age.is_infinite()), "nothing was asked");
}
