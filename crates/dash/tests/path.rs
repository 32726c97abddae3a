//! Addresses and tokens, good and bad.

use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dash::token::{EntryToken, KeyError, KeyRing, SessionToken, TokenError};
use test_case::test_case;

#[test]
fn addresses_are_read() {
    let manifest = address::manifest_path("guide", "forms", "x.y.z");
    let entry = Some("x.y.z");
    assert_eq!(address::parse(&manifest), Some(Route::Manifest { product: "guide", title: "forms", entry }));
    assert_eq!(
        address::parse("/s/p/2/17.m4s"),
        Some(Route::Segment { pass: "p", rung: 2, which: SegmentId::Number(17) })
    );
    assert_eq!(
        address::parse("/s/p/0/init.mp4"),
        Some(Route::Segment { pass: "p", rung: 0, which: SegmentId::Initialisation })
    );
    assert_eq!(address::parse("/s/p/"), Some(Route::Session { pass: "p" }));
    let which = SegmentId::Time { first: 18, time: 90_000 };
    assert_eq!(address::parse("/s/p/1/18-t90000.m4s"), Some(Route::Segment { pass: "p", rung: 1, which }));
    assert_eq!(address::parse(&address::refresh_path("p")), Some(Route::Again { pass: "p" }));
    assert_eq!(address::parse("/v1/time"), Some(Route::Time));
}

#[test_case("/"; "root")]
#[test_case("/v1/guide/forms"; "no file")]
#[test_case("/v1/../forms/manifest.mpd"; "climbing")]
#[test_case("/v1/guide/fo%2frms/manifest.mpd"; "escaped")]
#[test_case("/s//0/1.m4s"; "no pass")]
#[test_case("/s/p/0/0.m4s"; "number zero")]
#[test_case("/s/p/0/+1.m4s"; "sign")]
#[test_case("/s/p/0/99999999999999999999.m4s"; "too many digits")]
#[test_case("/s/p/0/1-t.m4s"; "no time")]
#[test_case("/s/p/0/0-t5.m4s"; "a time in no Period")]
#[test_case("/s/p/0/1.m4s/x"; "longer")]
#[test_case("s/p/0/1.m4s"; "relative")]
fn nothing_is_served_elsewhere(target: &str) {
    assert_eq!(address::parse(target), None);
}

fn secret(byte: u8) -> Vec<u8> {
    vec![byte; 32]
}

fn ring(kids: &[(&str, u8)]) -> KeyRing {
    let keys: Vec<(String, Vec<u8>)> = kids.iter().map(|(k, b)| (k.to_string(), secret(*b))).collect();
    KeyRing::new(&keys).unwrap()
}

fn entry() -> EntryToken {
    let text = |t: &str| t.to_string();
    EntryToken {
        jti: text("s1"),
        sub: text("v"),
        product: text("guide"),
        title: text("forms"),
        top: 2,
        exp: 100,
    }
}

#[test]
fn two_keys_are_read_and_the_first_signs() {
    let old = ring(&[("k1", 1)]);
    let both = ring(&[("k2", 2), ("k1", 1)]);
    let new = ring(&[("k2", 2)]);
    let token = old.sign(&entry());
    assert_eq!(both.verify_entry(&token, 99, "guide", "forms"), Ok(entry()));
    assert_eq!(new.verify_entry(&token, 99, "guide", "forms"), Err(TokenError::UnknownKey));
    assert_eq!(new.verify_entry(&both.sign(&entry()), 99, "guide", "forms"), Ok(entry()));
}

fn secrets(kids: &[(&str, u8)]) -> Vec<(String, Vec<u8>)> {
    kids.iter().map(|(k, b)| (k.to_string(), secret(*b))).collect()
}

#[test]
fn a_key_taken_out_is_read_until_its_overlap_ends() {
    let mut keys = ring(&[("k1", 1)]);
    let old = keys.sign(&EntryToken { exp: 1000, ..entry() });
    keys.replace(&secrets(&[("k2", 2)]), 100, 30).unwrap();
    let new = keys.sign(&EntryToken { exp: 1000, ..entry() });
    assert!(keys.verify_entry(&old, 129, "guide", "forms").is_ok());
    assert_eq!(keys.verify_entry(&old, 130, "guide", "forms"), Err(TokenError::UnknownKey));
    assert!(keys.verify_entry(&new, 130, "guide", "forms").is_ok());
    // Back in service before its overlap has ended, it is live as any other.
    keys.replace(&secrets(&[("k1", 1), ("k2", 2)]), 110, 30).unwrap();
    assert!(
        keys.verify_entry(&old, 500, "guide", "forms").is_ok()
            && keys.verify_entry(&new, 500, "guide", "forms").is_ok()
    );
}

#[test]
fn a_bad_set_changes_nothing() {
    let mut keys = ring(&[("k1", 1)]);
    let token = keys.sign(&entry());
    let short = vec![("k2".to_string(), vec![2; 5])];
    assert_eq!(keys.replace(&short, 10, 30), Err(KeyError::Short("k2".into(), 5)));
    assert_eq!(keys.replace(&[], 10, 30), Err(KeyError::Count(0)));
    assert_eq!(keys.replace(&secrets(&[("k1", 9)]), 10, 30), Err(KeyError::Changed("k1".into())));
    assert!(keys.verify_entry(&token, 99, "guide", "forms").is_ok());
    assert_eq!(keys.sign(&entry()), token, "the old one goes on signing");
}

#[test]
fn keys_replaced_in_haste_stay_bounded_and_all_are_read() {
    let mut keys = ring(&[("k0", 0)]);
    let mut tokens = vec![keys.sign(&entry())];
    for n in 1..=32u8 {
        keys.replace(&[(format!("k{n}"), secret(n))], 10, 30).unwrap();
        tokens.push(keys.sign(&entry()));
    }
    assert!(tokens.iter().all(|t| keys.verify_entry(t, 39, "guide", "forms").is_ok()));
    assert_eq!(keys.replace(&secrets(&[("k99", 99)]), 39, 30), Err(KeyError::Leaving(33)));
    assert_eq!(keys.replace(&secrets(&[("k99", 99)]), 40, 30), Ok(()), "their overlap is over");
}

#[test_case(100, "guide", "forms", TokenError::Expired, 410; "expired")]
#[test_case(99, "guide", "fees", TokenError::Foreign, 403; "another title")]
#[test_case(99, "live", "forms", TokenError::Foreign, 403; "another product")]
fn an_entry_token_is_held_to_its_claims(
    now: u64,
    product: &str,
    title: &str,
    fault: TokenError,
    status: u16,
) {
    let ring = ring(&[("k1", 1)]);
    let refused = ring.verify_entry(&ring.sign(&entry()), now, product, title).unwrap_err();
    assert_eq!((refused, refused.status()), (fault, status));
}

#[test]
fn tampered_tokens_are_forged_or_malformed_and_never_read() {
    let mine = ring(&[("k1", 1)]);
    let token = mine.sign(&entry());
    assert_eq!(
        mine.verify_entry(&ring(&[("k1", 9)]).sign(&entry()), 1, "guide", "forms"),
        Err(TokenError::Forged)
    );
    assert_eq!(mine.verify_entry("", 1, "guide", "forms"), Err(TokenError::Missing));
    assert_eq!(mine.verify_entry(&"a".repeat(2000), 1, "guide", "forms"), Err(TokenError::TooLong));
    // alg none: {"alg":"none","kid":"k1"}
    let body = token.split('.').nth(1).unwrap();
    let none = format!("eyJhbGciOiJub25lIiwia2lkIjoiazEifQ.{body}.");
    assert_eq!(mine.verify_entry(&none, 1, "guide", "forms").map_err(TokenError::status), Err(401));
    for at in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        // The last character of the signature holds two bits that no byte needs.
        if at + 1 < token.len() {
            assert!(mine.verify_entry(&changed, 1, "guide", "forms").is_err(), "changed at {at}");
        }
    }
}

#[test]
fn an_entry_is_no_pass_and_a_pass_no_entry() {
    let ring = ring(&[("k1", 1)]);
    let pass = SessionToken { sid: "s1".into(), product: "guide".into(), title: "forms".into(), exp: 100 };
    assert_eq!(ring.verify_session(&ring.sign(&pass), 99), Ok(pass.clone()));
    assert_eq!(ring.verify_session(&ring.sign(&pass), 100), Err(TokenError::Expired));
    assert_eq!(ring.verify_session(&ring.sign(&entry()), 99), Err(TokenError::Malformed));
    assert_eq!(ring.verify_entry(&ring.sign(&pass), 99, "guide", "forms"), Err(TokenError::Malformed));
}

#[test_case(&[], "0 keys"; "none")]
#[test_case(&[("a", 16)], "16 bytes"; "short")]
#[test_case(&[("a", 32), ("a", 32)], "twice"; "twice")]
fn a_bad_ring_is_refused(keys: &[(&str, usize)], says: &str) {
    let keys: Vec<(String, Vec<u8>)> = keys.iter().map(|(k, n)| (k.to_string(), vec![7; *n])).collect();
    let fault: KeyError = KeyRing::new(&keys).unwrap_err();
    assert!(fault.to_string().contains(says), "{fault}");
    assert_eq!(format!("{:?}", ring(&[("k1", 1)])), "[\"k1\"]", "no key material in Debug");
}
