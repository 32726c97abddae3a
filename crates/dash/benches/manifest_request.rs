//! Cost of the tokens and MPDs of a manifest request: `cargo bench -p pulleystair-dash`.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pulleystair_dash::mpd::{self, Period, Presentation, Segments, TimelineEntry};
use pulleystair_dash::token::{EntryClaims, KeyRing, SessionClaims};
use std::hint::black_box;

const NOW: u64 = 1_764_600_000;

fn make_key_ring(kids: &[&str]) -> KeyRing {
    let keys: Vec<(String, Vec<u8>)> = kids.iter().map(|kid| (kid.to_string(), vec![7; 32])).collect();
    KeyRing::new(&keys).expect("keys of 32 bytes form a ring")
}

fn tokens(c: &mut Criterion) {
    let key_ring = make_key_ring(&["new", "old", "older"]);
    let (product, title) = ("guide".to_string(), "forms-12".to_string());
    let jti = "0f3c7a5e9b1d4826".to_string();
    let sub = "viewer-81723".to_string();
    let entry_claims = EntryClaims {
        jti: jti.clone(),
        sub,
        product: product.clone(),
        title: title.clone(),
        top: 4,
        exp: NOW + 60,
    };
    let session_claims =
        SessionClaims { sid: jti, product: product.clone(), title: title.clone(), exp: NOW + 60 };
    let (entry_token, session_token) = (key_ring.sign(&entry_claims), key_ring.sign(&session_claims));
    let forged = format!("{}AA", &session_token[..session_token.len() - 2]);
    let mut group = c.benchmark_group("tokens");
    group.throughput(Throughput::Elements(1));
    group.bench_function("verify an entry token", |b| {
        b.iter(|| key_ring.verify_entry(black_box(&entry_token), NOW, &product, &title).is_ok())
    });
    group.bench_function("verify a session token", |b| {
        b.iter(|| key_ring.verify_session(black_box(&session_token), NOW).is_ok())
    });
    group.bench_function("reject a forged session token", |b| {
        b.iter(|| key_ring.verify_session(black_box(&forged), NOW).is_err())
    });
    group.bench_function("sign a session token", |b| b.iter(|| key_ring.sign(black_box(&session_claims))));
    group.finish();
}

fn manifests(c: &mut Criterion) {
    let bandwidths: Vec<u64> = (1..=5).map(|n| n * 400_000).collect();
    let mut plain = Presentation::single_period("forms-12".into(), 600_000, 2000);
    plain.base_url = format!("/s/{}/", "x".repeat(200));
    plain.periods[0].bandwidths = bandwidths.clone();
    let entries = (0..300)
        .map(|n| TimelineEntry { start: n * 400_000, duration: 180_000 + n % 7, repeat: 1 })
        .collect();
    let segments = Segments::Timeline { timescale: 90_000, entries, by_time: true };
    let timeline = Presentation {
        periods: vec![Period { id: "1".into(), start_ms: 0, segments, bandwidths }],
        ..plain.clone()
    };
    let mut group = c.benchmark_group("MPDs");
    group.throughput(Throughput::Elements(1));
    for (name, presentation) in [("fixed duration", &plain), ("300 timeline entries", &timeline)] {
        let text = presentation.to_xml();
        assert_eq!(mpd::parse(&text).as_ref(), Ok(presentation));
        group.bench_function(format!("write MPD, {name}"), |b| b.iter(|| black_box(presentation).to_xml()));
        group.bench_function(format!("parse MPD, {name}"), |b| {
            b.iter(|| mpd::parse(black_box(&text)).is_ok())
        });
    }
    group.finish();
}

criterion_group!(benches, tokens, manifests);
criterion_main!(benches);
