//! Tokens, the keys that sign them, and passes, while a front is in service.

mod house;

use house::{House, base, closed, day};
use pulleystair_dash::token::{EntryToken, KeyRing};
use pulleystair_fake_servers::files::replace;
use pulleystair_lab::fronts::portal_keys;
use serde_json::json;
use std::time::Duration;

const FREE: usize = 0;
const PAID: usize = 1;

fn entry(house: &House) -> EntryToken {
    let (product, title) = (house.day.products[FREE].name.clone(), house.titles[FREE].name.clone());
    EntryToken { jti: "s".into(), sub: "v".into(), product, title, top: 1, exp: u64::MAX >> 12 }
}

#[tokio::test]
async fn tokens_that_open_nothing_cost_no_allocation() {
    let house = House::open().await;
    let good = portal_keys().sign(&entry(&house));
    let forged = KeyRing::new(&[("portal-1".into(), vec![9; 32])]).unwrap().sign(&entry(&house));
    let unknown = KeyRing::new(&[("portal-9".into(), vec![9; 32])]).unwrap().sign(&entry(&house));
    let expired = portal_keys().sign(&EntryToken { exp: 1, ..entry(&house) });
    let other = house.token("p", PAID);
    let title = &house.titles[FREE].name;
    for (token, status) in
        [("", 401), ("a.b.c", 401), (&forged, 401), (&unknown, 401), (&expired, 410), (&other, 403)]
    {
        let answer = house.get(&format!("/v1/free/{title}/manifest.mpd?token={token}")).await;
        assert_eq!(answer.status, status, "{token:.20}");
        let segment = house.get(&format!("/s/{token}/0/1.m4s")).await;
        assert!([401, 404].contains(&segment.status), "no pass: {}", segment.status);
    }
    assert_eq!(house.get(&format!("/v1/free/none/manifest.mpd?token={good}")).await.status, 403);
    assert!(house.set_ups().is_empty());
    let bearer = format!(
        "GET /v1/free/{title}/manifest.mpd HTTP/1.1\r\nHost: f\r\nAuthorization: Bearer {good}\r\n\r\n"
    );
    assert_eq!(house.send(&bearer).await.unwrap().status, 200);
    let theirs = portal_keys().sign(&EntryToken { sub: "w".into(), ..entry(&house) });
    let answer = house.get(&format!("/v1/free/{title}/manifest.mpd?token={theirs}")).await;
    assert_eq!(answer.status, 403, "another viewer's session");
    let log = house.log_of(0);
    assert!(!log.is_empty() && !log.contains(&good[..20]), "no token in a log");
}

/// Puts these keys in service, a portal's and a front's by their numbers, and waits until the front has looked.
async fn put_keys(house: &House, entry: &[u8], pass: &[u8], revoked: &[&str]) {
    let looked =
        || house.log_of(0).matches("keys taken").count() + house.log_of(0).matches("keys not taken").count();
    let before = looked();
    let keys = |kind: &str, numbers: &[u8]| -> Vec<serde_json::Value> {
        let one = |n: &u8| {
            let file = format!("{kind}-{n}.key");
            std::fs::write(house.folder().join(&file), secret(*n)).expect("a key is written");
            json!({ "kid": format!("{kind}-{n}"), "file": file })
        };
        numbers.iter().map(one).collect()
    };
    let it = json!({ "entry": keys("portal", entry), "pass": keys("pass", pass), "revoked": revoked });
    replace(&house.folder().join("keys.json"), it.to_string()).expect("keys are replaced");
    house.until_true("the front has looked at the keys", || looked() > before).await;
}

fn secret(n: u8) -> Vec<u8> {
    vec![b'a' + n; 40]
}

/// Asks for a session with a token of this portal key; the status.
async fn ask_with(house: &House, key: u8, session: &str) -> u16 {
    let token = KeyRing::new(&[(format!("portal-{key}"), secret(key))])
        .expect("a ring")
        .sign(&EntryToken { jti: session.into(), ..entry(house) });
    house.get(&format!("/v1/free/{}/manifest.mpd?token={token}", house.titles[FREE].name)).await.status
}

#[tokio::test]
async fn keys_replaced_ten_times_drop_no_play() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20 });
    let house = House::of(day).await;
    let first = house.ask("s", FREE).await;
    for n in 2..12 {
        put_keys(&house, &[n, n + 1], &[n], &[]).await;
        assert_eq!(ask_with(&house, n, &format!("s{n}")).await, 200);
        let segment = house.get(&format!("{}0/1.m4s", base(&first))).await;
        assert_eq!(segment.status, 200, "its pass is read within the overlap");
    }
    assert_eq!(ask_with(&house, 2, "old").await, 200, "so is an entry token");
    assert_eq!(ask_with(&house, 20, "unknown").await, 401);
    assert_eq!(house.set_ups().len(), 12);
    assert!(!house.log_of(0).contains(std::str::from_utf8(&secret(3)).unwrap()), "no secret in a log");
    house.kept();
}

#[tokio::test]
async fn a_key_is_read_no_more_once_its_overlap_is_over() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20, "key_overlap_ms": 1000 });
    let house = House::of(day).await;
    put_keys(&house, &[2], &[2], &[]).await;
    put_keys(&house, &[3], &[3], &[]).await;
    let start = tokio::time::Instant::now();
    while ask_with(&house, 2, "old").await != 401 {
        assert!(start.elapsed() < Duration::from_secs(20), "it is read for ever");
    }
    assert_eq!(ask_with(&house, 3, "new").await, 200);
}

#[tokio::test]
async fn a_bad_set_of_keys_is_refused_whole() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20 });
    let house = House::of(day).await;
    put_keys(&house, &[2], &[2], &[]).await;
    let refused = |n: usize| house.log_of(0).matches("keys not taken").count() == n;
    // The portal's keys are good, the front's too many: neither is taken.
    put_keys(&house, &[3], &[3, 4, 5, 6], &[]).await;
    assert!(refused(1) && house.log_of(0).contains("4 keys"));
    assert_eq!((ask_with(&house, 3, "a").await, ask_with(&house, 2, "b").await), (401, 200));
    std::fs::write(house.folder().join("keys.json"), "{ \"entry\": [").expect("half a file is written");
    house.until_true("it is refused", || refused(2)).await;
    // Another secret under a known id.
    std::fs::write(house.folder().join("pass-2.key"), secret(9)).expect("a key is written");
    let same = json!({
        "entry": [{ "kid": "portal-2", "file": "portal-2.key" }], "pass": [{ "kid": "pass-2", "file": "pass-2.key" }],
    });
    std::fs::write(house.folder().join("keys.json"), same.to_string()).expect("keys are written");
    house.until_true("it is refused", || refused(3)).await;
    assert!(house.log_of(0).contains("a new secret needs a new id"));
    assert_eq!(ask_with(&house, 2, "c").await, 200);
}

#[tokio::test]
async fn a_revoked_session_ends_and_does_not_come_again() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20 });
    let house = House::of(day).await;
    put_keys(&house, &[2], &[2], &[]).await;
    assert_eq!(ask_with(&house, 2, "bad").await, 200);
    assert_eq!(ask_with(&house, 2, "good").await, 200);
    put_keys(&house, &[2], &[2], &["bad", "later"]).await;
    house.until("its end at the server", |seen| closed(seen) == 1).await;
    assert_eq!(ask_with(&house, 2, "bad").await, 403);
    assert_eq!(ask_with(&house, 2, "later").await, 403);
    assert_eq!(ask_with(&house, 2, "good").await, 200);
    assert_eq!(house.set_ups().len(), 2);
}

#[tokio::test]
async fn a_pass_is_renewed_by_its_use_and_runs_out_in_a_pause() {
    let mut day = day();
    day["limits"] = json!({ "pass_ms": 3000, "skew_ms": 0, "play_idle_ms": 60_000 });
    let house = House::of(day).await;
    let manifest = house.ask("s", FREE).await;
    let target = format!("{}0/init.mp4", base(&manifest));
    let start = tokio::time::Instant::now();
    // Well past its own time, which is whole seconds.
    while start.elapsed() < Duration::from_millis(4600) {
        assert_eq!(house.get(&target).await.status, 200, "after {:?}", start.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(3200)).await;
    assert_eq!(house.get(&target).await.status, 410, "paused for longer than it lasts");
    let again = house.ask("s", FREE).await;
    assert_eq!(again.status, 200, "the same play, with a new pass");
    assert_eq!(house.get(&format!("{}0/1.m4s", base(&again))).await.status, 200);
    assert_eq!(house.set_ups().len(), 1);
    house.kept();
}
