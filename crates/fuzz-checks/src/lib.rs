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
    let Ok(it) = mpd::parse(text) else { return };
    assert_eq!(mpd::parse(&it.write()), Ok(it.clone()), "it reads as it was written");
    let segments = it.segments();
    assert!(segments.is_none_or(|n| n > 0 && n <= mpd::MAX_SEGMENTS));
    for now in [0, 1, 1_764_600_716_250, u64::MAX] {
        if let Some((first, last)) = it.available(now) {
            assert!(first <= last && segments.is_none_or(|all| last <= all), "{first} to {last}");
        }
    }
    for time in [0, 1, 90_000, u64::MAX] {
        let found = it.at_time(1, time);
        assert!(found.is_none_or(|n| n > 0 && segments.is_none_or(|all| n <= all)));
    }
}

const KID: &str = "fuzzed";

fn ring() -> KeyRing {
    KeyRing::new(&[(KID.into(), vec![7; 32])]).expect("a long key is a ring")
}

/// A token that we did not sign opens nothing and is told why; claims that we signed are read or refused.
pub fn token(bytes: &[u8]) {
    let ring = ring();
    let text = String::from_utf8_lossy(bytes);
    let now = 1_764_600_000;
    for fault in
        [ring.verify_entry(&text, now, "guide", "forms").err(), ring.verify_session(&text, now).err()]
    {
        let Some(fault) = fault else { continue };
        assert!([401, 403, 410].contains(&fault.status()));
        assert!(text.len() <= MAX_BYTES || fault == TokenError::TooLong);
    }
    // Nobody but us has the key: what reads at all must be of our making, to the letter.
    if let Ok(pass) = ring.verify_session_signature(&text, now) {
        assert!(
            text.split('.').count() == 3 && ring.verify_session_signature(&ring.sign(&pass), now) == Ok(pass)
        );
    }
    // The same bytes as claims under a good signature, and under the wrong algorithm.
    let Ok(claims) = serde_json::from_slice::<serde_json::Value>(bytes) else { return };
    for algorithm in [Algorithm::HS256, Algorithm::HS512] {
        let header = Header { kid: Some(KID.into()), ..Header::new(algorithm) };
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
    const MOST: usize = 2048;
    let whole = http::parse_request(bytes, MOST);
    if let Ok(Some((request, used))) = &whole {
        assert!(*used <= bytes.len().min(MOST));
        assert_eq!(http::parse_request(&bytes[..*used], MOST), whole, "what follows changes nothing");
        assert!(
            !matches!(http::parse_request(&bytes[..used - 1], MOST), Ok(Some(_))),
            "it ends where it ends"
        );
        target(&request.target);
    }
    if let Ok(text) = std::str::from_utf8(bytes) {
        target(text);
        if let Some((first, last)) = http::parse_range(text) {
            assert!(last.is_none_or(|last| first <= last));
        }
    }
    answer(bytes);
}

fn target(text: &str) {
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
fn answer(bytes: &[u8]) {
    let Ok(Some((answer, used))) = http::parse_response(bytes) else { return };
    assert!(used <= bytes.len().min(http::ANSWER_HEAD));
    if !matches!(answer.body, Body::Chunked(_)) {
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
        let figures = report.named_metrics.values().chain(report.utilization.values());
        assert!(figures.copied().all(f64::is_finite), "{report:?}");
    }
}

/// What a reader of messages makes of bytes that come in parts of this size: the messages, and whether it went wrong.
fn in_parts<M>(
    bytes: &[u8],
    part: usize,
    read: impl Fn(&[u8]) -> Result<Option<(M, usize)>, String>,
) -> (Vec<M>, Option<String>) {
    let (mut input, mut messages) = (Vec::new(), Vec::new());
    for part in bytes.chunks(part) {
        input.extend_from_slice(part);
        loop {
            match read(&input) {
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
fn cut_anyhow<M: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    read: impl Fn(&[u8]) -> Result<Option<(M, usize)>, String>,
) {
    let (whole, fault) = in_parts(bytes, bytes.len().max(1), &read);
    for part in [1, 7, 1000] {
        let (messages, wrong) = in_parts(bytes, part, &read);
        assert_eq!(messages, whole);
        assert_eq!(wrong.is_some(), fault.is_some(), "{wrong:?} in parts of {part}, {fault:?} in one");
    }
}

/// Viewers' messages, what a message reads as when it is written again, and its parameters within its bounds.
pub fn signal(bytes: &[u8]) {
    cut_anyhow(bytes, |input| {
        let read = protocol::Message::parse(input).map_err(|e| e.to_string())?;
        Ok(read.map(|(message, used)| {
            let parameters: Vec<_> = message.parameters().map_while(Result::ok).collect();
            if message.parameters().all(|p| p.is_ok()) {
                let again = protocol::encode(message.kind, message.session, &parameters);
                assert_eq!(again.as_deref(), Some(&input[..used]), "it is written as it was read");
            }
            let parameters: Vec<_> =
                parameters.into_iter().map(|(code, value)| (code, value.to_vec())).collect();
            ((message.kind, message.session, parameters), used)
        }))
    });
}

/// Media servers' messages.
pub fn rtsp(bytes: &[u8]) {
    cut_anyhow(bytes, |input| {
        let read = rtsp::Message::parse(input).map_err(|e| e.to_string())?;
        if let Some((message, used)) = &read {
            assert!(*used <= rtsp::MAX_BYTES && message.body.len() < *used);
            assert!(message.report().all(|(_, value)| value.is_finite()));
        }
        Ok(read)
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
    if let Ok(it) = gossip::message::Message::decode(bytes, fleet) {
        assert_eq!(gossip::message::Message::decode(&it.encode(fleet), fleet), Ok(it));
    }
    let terms = gossip::GossipConfig {
        fleet: "mutated".into(),
        name: "f0".into(),
        peers: vec!["f1".into(), "f2".into()],
        interval: 200.0,
        fan_out: 2,
        bytes_s: 64_000.0,
        doubted_after: 1_000.0,
        unheard_after: 2_000.0,
    };
    let mut front = gossip::Gossip::new(terms, 0.0, 1_000, 7).expect("three names");
    front.put(1, vec![7; 500]);
    let answers = front.receive(1.0, bytes);
    assert!(answers.len() <= 4 && answers.iter().all(|a| a.bytes.len() <= gossip::message::MAX_BYTES));
    assert!(front.fronts(1.0).all(|f| f.origin == front.own() || f.age.is_infinite()), "nothing was asked");
}
