//! Entry tokens, session tokens and the keys that sign them, while a front is running.

mod test_fleet;

use pulleystair_dash::token::{EntryClaims, KeyRing};
use pulleystair_fake_servers::files::replace;
use pulleystair_lab::fronts::portal_keys;
use serde_json::json;
use std::time::Duration;
use test_fleet::{TestFleet, base_scenario, closed_count, segment_base_url};

const FREE: usize = 0;
const PAID: usize = 1;

/// The base scenario with keys that are polled every 20 ms. The front accepts plays however late its event loop is, so that a busy
/// machine causes no 503: these tests are about tokens and keys.
fn keys_scenario() -> serde_json::Value {
    let mut scenario = base_scenario();
    scenario["limits"] = json!({ "keys_poll_ms": 20 });
    scenario["admission"] = json!({ "behind_ms": 1e9 });
    scenario
}

/// Claims of an entry token for session `s` that hardly expires.
fn entry_claims(fleet: &TestFleet) -> EntryClaims {
    let (product, title) = (fleet.scenario.products[FREE].name.clone(), fleet.titles[FREE].name.clone());
    EntryClaims { jti: "s".into(), sub: "v".into(), product, title, top: 1, exp: u64::MAX >> 12 }
}

#[tokio::test]
async fn invalid_tokens_cause_no_allocation() {
    let fleet = TestFleet::start_with(keys_scenario()).await;
    let valid = portal_keys().sign(&entry_claims(&fleet));
    let forged = KeyRing::new(&[("portal-1".into(), vec![9; 32])]).unwrap().sign(&entry_claims(&fleet));
    let unknown = KeyRing::new(&[("portal-9".into(), vec![9; 32])]).unwrap().sign(&entry_claims(&fleet));
    let expired = portal_keys().sign(&EntryClaims { exp: 1, ..entry_claims(&fleet) });
    let other_product = fleet.entry_token("p", PAID);
    let title = &fleet.titles[FREE].name;
    for (token, status) in
        [("", 401), ("a.b.c", 401), (&forged, 401), (&unknown, 401), (&expired, 410), (&other_product, 403)]
    {
        let answer = fleet.get(&format!("/v1/free/{title}/manifest.mpd?token={token}")).await;
        assert_eq!(answer.status, status, "{token:.20}");
        let segment = fleet.get(&format!("/s/{token}/0/1.m4s")).await;
        assert!(
            [401, 404].contains(&segment.status),
            "an entry token is no session token: {}",
            segment.status
        );
    }
    assert_eq!(fleet.get(&format!("/v1/free/none/manifest.mpd?token={valid}")).await.status, 403);
    assert!(fleet.set_up_servers().is_empty());
    let bearer = format!(
        "GET /v1/free/{title}/manifest.mpd HTTP/1.1\r\nHost: f\r\nAuthorization: Bearer {valid}\r\n\r\n"
    );
    assert_eq!(fleet.send_raw(&bearer).await.unwrap().status, 200);
    let other_viewer = portal_keys().sign(&EntryClaims { sub: "w".into(), ..entry_claims(&fleet) });
    let answer = fleet.get(&format!("/v1/free/{title}/manifest.mpd?token={other_viewer}")).await;
    assert_eq!(answer.status, 403, "the session belongs to another viewer");
    let log = fleet.front_log(0);
    assert!(!log.is_empty() && !log.contains(&valid[..20]), "the log contains a token");
}

/// Replaces the portal's keys (which sign entry tokens) and the front's keys (which sign session tokens) with those of the
/// given numbers and the revoked sessions with the given ones, and waits until the front has loaded or rejected them.
async fn replace_keys(
    fleet: &TestFleet,
    portal_key_numbers: &[u8],
    front_key_numbers: &[u8],
    revoked: &[&str],
) {
    let files_read = || {
        fleet.front_log(0).matches("keys taken").count()
            + fleet.front_log(0).matches("keys not taken").count()
    };
    let read_before = files_read();
    let keys = |kind: &str, numbers: &[u8]| -> Vec<serde_json::Value> {
        let write_key = |n: &u8| {
            let file = format!("{kind}-{n}.key");
            std::fs::write(fleet.folder().join(&file), secret(*n)).expect("a key is written");
            json!({ "kid": format!("{kind}-{n}"), "file": file })
        };
        numbers.iter().map(write_key).collect()
    };
    let key_set = json!({
        "entry": keys("portal", portal_key_numbers), "pass": keys("pass", front_key_numbers), "revoked": revoked,
    });
    replace(&fleet.folder().join("keys.json"), key_set.to_string()).expect("keys are replaced");
    fleet.wait_until("the front has read the keys", || files_read() > read_before).await;
}

/// The secret of the key with this number.
fn secret(n: u8) -> Vec<u8> {
    vec![b'a' + n; 40]
}

/// Status of a manifest request whose entry token is signed with a portal key.
async fn status_with_portal_key(fleet: &TestFleet, key_number: u8, session: &str) -> u16 {
    let token = KeyRing::new(&[(format!("portal-{key_number}"), secret(key_number))])
        .expect("the key ring is valid")
        .sign(&EntryClaims { jti: session.into(), ..entry_claims(fleet) });
    fleet.get(&format!("/v1/free/{}/manifest.mpd?token={token}", fleet.titles[FREE].name)).await.status
}

#[tokio::test]
async fn keys_replaced_ten_times_drop_no_play() {
    let fleet = TestFleet::start_with(keys_scenario()).await;
    let first = fleet.fetch_manifest("s", FREE).await;
    for n in 2..12 {
        replace_keys(&fleet, &[n, n + 1], &[n], &[]).await;
        assert_eq!(status_with_portal_key(&fleet, n, &format!("s{n}")).await, 200);
        let segment = fleet.get(&format!("{}0/1.m4s", segment_base_url(&first))).await;
        assert_eq!(segment.status, 200, "its session token is accepted within the overlap");
    }
    assert_eq!(status_with_portal_key(&fleet, 2, "old").await, 200, "an old entry token is accepted too");
    assert_eq!(status_with_portal_key(&fleet, 20, "unknown").await, 401);
    assert_eq!(fleet.set_up_servers().len(), 12);
    assert!(
        !fleet.front_log(0).contains(std::str::from_utf8(&secret(3)).unwrap()),
        "the log contains a secret"
    );
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn replaced_key_is_refused_after_its_overlap() {
    let mut scenario = keys_scenario();
    scenario["limits"]["key_overlap_ms"] = json!(1000);
    let fleet = TestFleet::start_with(scenario).await;
    replace_keys(&fleet, &[2], &[2], &[]).await;
    replace_keys(&fleet, &[3], &[3], &[]).await;
    let start = tokio::time::Instant::now();
    while status_with_portal_key(&fleet, 2, "old").await != 401 {
        assert!(start.elapsed() < Duration::from_secs(20), "the replaced key is still accepted");
    }
    assert_eq!(status_with_portal_key(&fleet, 3, "new").await, 200);
}

#[tokio::test]
async fn invalid_key_set_is_rejected_as_a_whole() {
    let fleet = TestFleet::start_with(keys_scenario()).await;
    replace_keys(&fleet, &[2], &[2], &[]).await;
    let rejection_count_is = |n: usize| fleet.front_log(0).matches("keys not taken").count() == n;
    // The keys of the portal are valid, those of the front too many: none of them is loaded.
    replace_keys(&fleet, &[3], &[3, 4, 5, 6], &[]).await;
    assert!(rejection_count_is(1) && fleet.front_log(0).contains("4 keys"));
    assert_eq!(
        (status_with_portal_key(&fleet, 3, "a").await, status_with_portal_key(&fleet, 2, "b").await),
        (401, 200)
    );
    std::fs::write(fleet.folder().join("keys.json"), "{ \"entry\": [").expect("half a file is written");
    fleet.wait_until("the truncated file is rejected", || rejection_count_is(2)).await;
    // A changed secret under a known key id.
    std::fs::write(fleet.folder().join("pass-2.key"), secret(9)).expect("a key is written");
    let changed_secret = json!({
        "entry": [{ "kid": "portal-2", "file": "portal-2.key" }], "pass": [{ "kid": "pass-2", "file": "pass-2.key" }],
    });
    std::fs::write(fleet.folder().join("keys.json"), changed_secret.to_string()).expect("keys are written");
    fleet.wait_until("the changed secret is rejected", || rejection_count_is(3)).await;
    assert!(fleet.front_log(0).contains("a new secret needs a new id"));
    assert_eq!(status_with_portal_key(&fleet, 2, "c").await, 200);
}

#[tokio::test]
async fn revoked_session_ends_and_is_refused_afterwards() {
    let fleet = TestFleet::start_with(keys_scenario()).await;
    replace_keys(&fleet, &[2], &[2], &[]).await;
    assert_eq!(status_with_portal_key(&fleet, 2, "bad").await, 200);
    assert_eq!(status_with_portal_key(&fleet, 2, "good").await, 200);
    // Session `never-played` is revoked before its first request.
    replace_keys(&fleet, &[2], &[2], &["bad", "never-played"]).await;
    fleet.wait_for_observations("the end of the play at the server", |seen| closed_count(seen) == 1).await;
    assert_eq!(status_with_portal_key(&fleet, 2, "bad").await, 403);
    assert_eq!(status_with_portal_key(&fleet, 2, "never-played").await, 403);
    assert_eq!(status_with_portal_key(&fleet, 2, "good").await, 200);
    assert_eq!(fleet.set_up_servers().len(), 2);
}

#[tokio::test]
async fn session_token_is_renewed_by_use_and_expires_during_a_pause() {
    let mut scenario = keys_scenario();
    scenario["limits"] = json!({ "pass_ms": 3000, "skew_ms": 0, "play_idle_ms": 60_000 });
    let fleet = TestFleet::start_with(scenario).await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let target = format!("{}0/init.mp4", segment_base_url(&manifest));
    let start = tokio::time::Instant::now();
    // Well past the validity of the token, which is in whole seconds.
    while start.elapsed() < Duration::from_millis(4600) {
        assert_eq!(fleet.get(&target).await.status, 200, "after {:?}", start.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_millis(3200)).await;
    assert_eq!(fleet.get(&target).await.status, 410, "the token expires in a pause");
    let again = fleet.fetch_manifest("s", FREE).await;
    assert_eq!(again.status, 200, "the same play, with a new session token");
    assert_eq!(fleet.get(&format!("{}0/1.m4s", segment_base_url(&again))).await.status, 200);
    assert_eq!(fleet.set_up_servers().len(), 1);
    fleet.assert_rules_kept();
}
