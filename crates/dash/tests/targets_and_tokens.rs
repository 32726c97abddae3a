//! Tests of request targets and tokens, valid and invalid.

use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dash::token::{EntryClaims, KeyError, KeyRing, SessionClaims, TokenError};
use test_case::test_case;

#[test]
fn request_targets_parse_to_routes() {
    let manifest = address::play_request_target("guide", "forms", "x.y.z");
    let entry = Some("x.y.z");
    assert_eq!(
        address::parse(&manifest),
        Some(Route::Manifest { product: "guide", title: "forms", entry_token: entry })
    );
    assert_eq!(
        address::parse("/s/p/2/17.m4s"),
        Some(Route::Segment { session_token: "p", rung: 2, segment: SegmentId::Number(17) })
    );
    assert_eq!(
        address::parse("/s/p/0/init.mp4"),
        Some(Route::Segment { session_token: "p", rung: 0, segment: SegmentId::Initialisation })
    );
    assert_eq!(address::parse("/s/p/"), Some(Route::Session { session_token: "p" }));
    let which = SegmentId::Time { first: 18, time: 90_000 };
    assert_eq!(
        address::parse("/s/p/1/18-t90000.m4s"),
        Some(Route::Segment { session_token: "p", rung: 1, segment: which })
    );
    assert_eq!(address::parse(&address::refresh_path("p")), Some(Route::Refresh { session_token: "p" }));
    assert_eq!(address::parse("/v1/time"), Some(Route::Time));
}

#[test_case("/"; "root")]
#[test_case("/v1/guide/forms"; "no file")]
#[test_case("/v1/../forms/manifest.mpd"; "parent directory")]
#[test_case("/v1/guide/fo%2frms/manifest.mpd"; "percent encoding")]
#[test_case("/s//0/1.m4s"; "no session token")]
#[test_case("/s/p/0/0.m4s"; "number zero")]
#[test_case("/s/p/0/+1.m4s"; "sign")]
#[test_case("/s/p/0/99999999999999999999.m4s"; "too many digits")]
#[test_case("/s/p/0/1-t.m4s"; "no time")]
#[test_case("/s/p/0/0-t5.m4s"; "a time without a period")]
#[test_case("/s/p/0/1.m4s/x"; "further path part")]
#[test_case("s/p/0/1.m4s"; "relative")]
fn other_targets_have_no_route(target: &str) {
    assert_eq!(address::parse(target), None);
}

fn secret(byte: u8) -> Vec<u8> {
    vec![byte; 32]
}

fn make_key_ring(kids: &[(&str, u8)]) -> KeyRing {
    let keys: Vec<(String, Vec<u8>)> = kids.iter().map(|(k, b)| (k.to_string(), secret(*b))).collect();
    KeyRing::new(&keys).unwrap()
}

fn entry_claims() -> EntryClaims {
    let text = |t: &str| t.to_string();
    EntryClaims {
        jti: text("s1"),
        sub: text("v"),
        product: text("guide"),
        title: text("forms"),
        top: 2,
        exp: 100,
    }
}

#[test]
fn tokens_of_all_live_keys_verify_and_the_first_key_signs() {
    let old = make_key_ring(&[("k1", 1)]);
    let both = make_key_ring(&[("k2", 2), ("k1", 1)]);
    let new = make_key_ring(&[("k2", 2)]);
    let token = old.sign(&entry_claims());
    assert_eq!(both.verify_entry(&token, 99, "guide", "forms"), Ok(entry_claims()));
    assert_eq!(new.verify_entry(&token, 99, "guide", "forms"), Err(TokenError::UnknownKey));
    assert_eq!(new.verify_entry(&both.sign(&entry_claims()), 99, "guide", "forms"), Ok(entry_claims()));
}

fn secrets(kids: &[(&str, u8)]) -> Vec<(String, Vec<u8>)> {
    kids.iter().map(|(k, b)| (k.to_string(), secret(*b))).collect()
}

#[test]
fn tokens_of_a_retired_key_verify_until_its_overlap_ends() {
    let mut key_ring = make_key_ring(&[("k1", 1)]);
    let old = key_ring.sign(&EntryClaims { exp: 1000, ..entry_claims() });
    key_ring.replace(&secrets(&[("k2", 2)]), 100, 30).unwrap();
    let new = key_ring.sign(&EntryClaims { exp: 1000, ..entry_claims() });
    assert!(key_ring.verify_entry(&old, 129, "guide", "forms").is_ok());
    assert_eq!(key_ring.verify_entry(&old, 130, "guide", "forms"), Err(TokenError::UnknownKey));
    assert!(key_ring.verify_entry(&new, 130, "guide", "forms").is_ok());
    // Listed again before its overlap has ended, the key is live like any other.
    key_ring.replace(&secrets(&[("k1", 1), ("k2", 2)]), 110, 30).unwrap();
    assert!(
        key_ring.verify_entry(&old, 500, "guide", "forms").is_ok()
            && key_ring.verify_entry(&new, 500, "guide", "forms").is_ok()
    );
}

#[test]
fn an_invalid_key_set_changes_nothing() {
    let mut key_ring = make_key_ring(&[("k1", 1)]);
    let token = key_ring.sign(&entry_claims());
    let short = vec![("k2".to_string(), vec![2; 5])];
    assert_eq!(key_ring.replace(&short, 10, 30), Err(KeyError::TooShort("k2".into(), 5)));
    assert_eq!(key_ring.replace(&[], 10, 30), Err(KeyError::WrongCount(0)));
    assert_eq!(key_ring.replace(&secrets(&[("k1", 9)]), 10, 30), Err(KeyError::SecretChanged("k1".into())));
    assert!(key_ring.verify_entry(&token, 99, "guide", "forms").is_ok());
    assert_eq!(key_ring.sign(&entry_claims()), token, "the old key still signs");
}

#[test]
fn the_number_of_retired_keys_is_bounded_and_all_of_them_verify() {
    let mut key_ring = make_key_ring(&[("k0", 0)]);
    let mut tokens = vec![key_ring.sign(&entry_claims())];
    for n in 1..=32u8 {
        key_ring.replace(&[(format!("k{n}"), secret(n))], 10, 30).unwrap();
        tokens.push(key_ring.sign(&entry_claims()));
    }
    assert!(tokens.iter().all(|t| key_ring.verify_entry(t, 39, "guide", "forms").is_ok()));
    assert_eq!(key_ring.replace(&secrets(&[("k99", 99)]), 39, 30), Err(KeyError::TooManyRetired(33)));
    assert_eq!(
        key_ring.replace(&secrets(&[("k99", 99)]), 40, 30),
        Ok(()),
        "the overlap of the retired keys is over"
    );
}

#[test_case(100, "guide", "forms", TokenError::Expired, 410; "expired")]
#[test_case(99, "guide", "fees", TokenError::WrongTitleOrProduct, 403; "another title")]
#[test_case(99, "live", "forms", TokenError::WrongTitleOrProduct, 403; "another product")]
fn an_entry_token_is_rejected_outside_its_claims(
    now: u64,
    product: &str,
    title: &str,
    expected: TokenError,
    status: u16,
) {
    let key_ring = make_key_ring(&[("k1", 1)]);
    let error = key_ring.verify_entry(&key_ring.sign(&entry_claims()), now, product, title).unwrap_err();
    assert_eq!((error, error.status()), (expected, status));
}

#[test]
fn altered_tokens_never_verify() {
    let key_ring = make_key_ring(&[("k1", 1)]);
    let token = key_ring.sign(&entry_claims());
    assert_eq!(
        key_ring.verify_entry(&make_key_ring(&[("k1", 9)]).sign(&entry_claims()), 1, "guide", "forms"),
        Err(TokenError::WrongSignature)
    );
    assert_eq!(key_ring.verify_entry("", 1, "guide", "forms"), Err(TokenError::Missing));
    assert_eq!(key_ring.verify_entry(&"a".repeat(2000), 1, "guide", "forms"), Err(TokenError::TooLong));
    // alg none: {"alg":"none","kid":"k1"}
    let body = token.split('.').nth(1).unwrap();
    let none = format!("eyJhbGciOiJub25lIiwia2lkIjoiazEifQ.{body}.");
    assert_eq!(key_ring.verify_entry(&none, 1, "guide", "forms").map_err(TokenError::status), Err(401));
    for at in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        // Two bits of the last character of the signature are unused, so changing them changes nothing.
        if at + 1 < token.len() {
            assert!(key_ring.verify_entry(&changed, 1, "guide", "forms").is_err(), "changed at {at}");
        }
    }
}

#[test]
fn entry_and_session_tokens_are_not_interchangeable() {
    let key_ring = make_key_ring(&[("k1", 1)]);
    let session_claims =
        SessionClaims { sid: "s1".into(), product: "guide".into(), title: "forms".into(), exp: 100 };
    assert_eq!(key_ring.verify_session(&key_ring.sign(&session_claims), 99), Ok(session_claims.clone()));
    assert_eq!(key_ring.verify_session(&key_ring.sign(&session_claims), 100), Err(TokenError::Expired));
    assert_eq!(key_ring.verify_session(&key_ring.sign(&entry_claims()), 99), Err(TokenError::Malformed));
    assert_eq!(
        key_ring.verify_entry(&key_ring.sign(&session_claims), 99, "guide", "forms"),
        Err(TokenError::Malformed)
    );
}

#[test_case(&[], "0 keys"; "none")]
#[test_case(&[("a", 16)], "16 bytes"; "short")]
#[test_case(&[("a", 32), ("a", 32)], "twice"; "twice")]
fn an_invalid_key_ring_is_rejected(keys: &[(&str, usize)], expected: &str) {
    let keys: Vec<(String, Vec<u8>)> = keys.iter().map(|(k, n)| (k.to_string(), vec![7; *n])).collect();
    let error: KeyError = KeyRing::new(&keys).unwrap_err();
    assert!(error.to_string().contains(expected), "{error}");
    assert_eq!(format!("{:?}", make_key_ring(&[("k1", 1)])), "[\"k1\"]", "no key material in Debug");
}
