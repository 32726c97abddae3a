//! TLS between players, a front and its servers, with certificates that are replaced, invalid or expired, on real sockets.

mod test_fleet;

use pulleystair_fake_servers::certificates::CertificateAuthority;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::{HttpPeer, Stream};
use pulleystair_lab::fronts::FRONT_NAME;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};
use test_fleet::{TestFleet, base_scenario, body_text, get_request, segment_base_url, set_up_count};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const FREE: usize = 0;
const PAID: usize = 1;

/// Base scenario with TLS, certificates polled every 20 ms and 400 ms for a request head.
fn tls_scenario() -> Value {
    let mut scenario = base_scenario();
    scenario["tls"] = json!(true);
    scenario["limits"] = json!({ "keys_poll_ms": 20, "header_ms": 400 });
    scenario
}

/// The moment `seconds` from now.
fn seconds_from_now(seconds: u64) -> SystemTime {
    SystemTime::now() + Duration::from_secs(seconds)
}

/// The certificate that the front presented on a connection.
fn presented_certificate(peer: &HttpPeer) -> Vec<u8> {
    let Stream::Tls(stream) = &peer.stream else { panic!("the connection has no TLS") };
    let (_, connection) = stream.get_ref();
    connection.peer_certificates().expect("the front presents a certificate")[0].to_vec()
}

#[tokio::test]
async fn play_runs_with_tls_to_players_and_servers() {
    let fleet = TestFleet::start_with(tls_scenario()).await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", body_text(&manifest));
    for number in 1..=4 {
        let segment = fleet.get(&format!("{}1/{number}.m4s", segment_base_url(&manifest))).await;
        assert!(
            pulleystair_fake_servers::content::parse(&segment.body)
                .is_some_and(|c| c.intact && c.number == number)
        );
    }
    fleet
        .wait_for_observations("the end of the play at the server", |seen| {
            seen.iter().any(|s| matches!(s.what, Observed::Closed { .. }))
        })
        .await;
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn plaintext_and_silent_connections_are_closed() {
    let fleet = TestFleet::start_with(tls_scenario()).await;
    let mut plain = HttpPeer::new(TcpStream::connect(fleet.front_addresses[0]).await.unwrap());
    plain.write(get_request("/").as_bytes()).await.unwrap();
    assert!(!matches!(plain.read_response().await, Ok(Some(_))), "no response in plain text");
    let mut silent = TcpStream::connect(fleet.front_addresses[0]).await.unwrap();
    assert_eq!(silent.read(&mut [0; 16]).await.unwrap_or(0), 0, "closed after the time for a request head");
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    fleet.assert_rules_kept();
}

/// A server whose certificate the front rejects gets no part of a request, so even a paid play may go to another server.
#[tokio::test]
async fn servers_with_an_invalid_certificate_get_no_set_up() {
    let mut scenario = tls_scenario();
    scenario["rules"]["allocations"] = json!(4);
    for product in [FREE, PAID] {
        scenario["products"][product]["time_limit_ms"] = json!(20_000);
    }
    let fleet = TestFleet::start_with(scenario).await;
    let authority = fleet.fronts.authority.as_ref().unwrap();
    let foreign_authority = CertificateAuthority::default();
    let expired = authority.issue("m1", SystemTime::now() - Duration::from_secs(5));
    let other_name = authority.issue("m9", seconds_from_now(1000));
    let certificates =
        [(0, foreign_authority.issue("m0", seconds_from_now(1000))), (1, expired), (2, other_name)];
    for (server, certificate) in &certificates {
        fleet.servers.set_tls(*server, Some(authority.acceptor(certificate, None).unwrap()));
    }
    for n in 0..6 {
        let product = if n % 2 == 0 { FREE } else { PAID };
        assert_eq!(fleet.fetch_manifest(&format!("s{n}"), product).await.status, 200);
    }
    assert_eq!(fleet.set_up_servers(), [3; 6], "only one server has a valid certificate");
    assert!(fleet.front_log(0).contains("TLS"), "the log names TLS as the cause");
    fleet.assert_rules_kept();
}

/// The servers trust only a foreign authority, so they reject the certificate that the front presents. With TLS 1.3 the
/// front may have sent its request by then, so it must assume that a set-up has run.
#[tokio::test]
async fn servers_that_reject_the_client_certificate_count_as_failed() {
    let fleet = TestFleet::start_with(tls_scenario()).await;
    let authority = fleet.fronts.authority.as_ref().unwrap();
    let foreign_authority = CertificateAuthority::default();
    for server in 0..4 {
        let certificate = authority.issue(&format!("m{server}"), seconds_from_now(1000));
        fleet
            .servers
            .set_tls(server, Some(authority.acceptor(&certificate, Some(&foreign_authority)).unwrap()));
    }
    assert!([502, 503].contains(&fleet.fetch_manifest("s", FREE).await.status));
    assert_eq!(
        fleet.fetch_manifest("p", PAID).await.status,
        502,
        "the set-up may have run, as far as the front knows"
    );
    assert_eq!(set_up_count(&fleet.recorder.observations()), 0);
}

#[tokio::test]
async fn certificates_replaced_ten_times_drop_no_connection() {
    let mut scenario = tls_scenario();
    scenario["products"][FREE]["seconds"] = json!([40, 40]);
    let fleet = TestFleet::start_with(scenario).await;
    let manifest = fleet.fetch_manifest("s", FREE).await;
    let target = format!("{}1/1.m4s", segment_base_url(&manifest));
    let mut old_connection = fleet.connect(0).await.unwrap();
    let mut certificate_before = presented_certificate(&old_connection);
    for n in 1..=10 {
        fleet.fronts.renew_certificates().unwrap();
        // The front logs one line for the players' side and one for the servers'.
        fleet.wait_for_log("certificates taken", 2 * n).await;
        old_connection.write(get_request(&target).as_bytes()).await.unwrap();
        assert_eq!(
            old_connection.read_response().await.unwrap().unwrap().status,
            200,
            "the old connection stays open"
        );
        let certificate_now = presented_certificate(&fleet.connect(0).await.unwrap());
        assert_ne!(certificate_now, certificate_before, "new connections get the new certificate");
        certificate_before = certificate_now;
        assert_eq!(
            fleet.fetch_manifest(&format!("s{n}"), PAID).await.status,
            200,
            "servers accept the new certificate"
        );
    }
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn invalid_certificates_are_rejected_and_the_old_ones_stay_in_use() {
    let fleet = TestFleet::start_with(tls_scenario()).await;
    let certificate_before = presented_certificate(&fleet.connect(0).await.unwrap());
    let folder = fleet.folder().join("players");
    let valid_key = std::fs::read(folder.join("key.pem")).unwrap();
    // A key that does not fit the certificate, then an expired certificate, then a truncated key.
    std::fs::write(folder.join("key.pem"), fleet.fronts.certificate(seconds_from_now(1000)).unwrap().key)
        .unwrap();
    fleet.wait_for_log("key does not fit", 1).await;
    assert_eq!(presented_certificate(&fleet.connect(0).await.unwrap()), certificate_before);
    fleet
        .fronts
        .certificate(SystemTime::now() - Duration::from_secs(60))
        .unwrap()
        .write_files(&folder)
        .unwrap();
    fleet.wait_for_log("expired", 1).await;
    assert_eq!(presented_certificate(&fleet.connect(0).await.unwrap()), certificate_before);
    std::fs::write(folder.join("key.pem"), &valid_key[..valid_key.len() / 2]).unwrap();
    fleet.wait_for_log("certificates not taken", 3).await;
    assert_eq!(presented_certificate(&fleet.connect(0).await.unwrap()), certificate_before);
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    let log = fleet.front_log(0);
    assert!(
        !log.contains("BEGIN") && !log.contains(&lossy_text(&valid_key)[40..80]),
        "the log contains key material"
    );
    // A valid certificate and key are loaded after the invalid ones.
    fleet.fronts.certificate(seconds_from_now(1000)).unwrap().write_files(&folder).unwrap();
    fleet.wait_for_log("certificates taken", 1).await;
    assert_ne!(presented_certificate(&fleet.connect(0).await.unwrap()), certificate_before);
    fleet.assert_rules_kept();
}

/// Bytes as text, with replacement characters where they are not UTF-8.
fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn certificate_expiry_is_logged_and_ends_no_open_connection() {
    let mut scenario = tls_scenario();
    scenario["products"][FREE]["seconds"] = json!([40, 40]);
    let fleet = TestFleet::start_with(scenario).await;
    let folder = fleet.folder().join("players");
    fleet.fronts.certificate(seconds_from_now(3)).unwrap().write_files(&folder).unwrap();
    fleet.wait_for_log("certificates taken", 1).await;
    fleet.wait_for_log("certificate runs out soon", 1).await;
    let mut old_connection = fleet.connect(0).await.expect("the certificate is still valid");
    let manifest = fleet.fetch_manifest("s", FREE).await;
    fleet.wait_for_log("certificate has expired", 1).await;
    let target = format!("{}1/1.m4s", segment_base_url(&manifest));
    old_connection.write(get_request(&target).as_bytes()).await.unwrap();
    assert_eq!(
        old_connection.read_response().await.unwrap().unwrap().status,
        200,
        "the open connection still works"
    );
    // A new connector has no TLS session to resume, so the handshake checks the certificate.
    let new_connector = fleet.fronts.connector().unwrap().unwrap();
    let refused = HttpPeer::connect(fleet.front_addresses[0], Some((&new_connector, FRONT_NAME))).await;
    assert!(refused.is_err(), "players reject the expired certificate");
    fleet.fronts.certificate(seconds_from_now(1000)).unwrap().write_files(&folder).unwrap();
    fleet.wait_for_log("certificates taken", 2).await;
    assert_eq!(fleet.get(&target).await.status, 200);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn sighup_reloads_all_files_at_once() {
    let mut scenario = tls_scenario();
    scenario["limits"] = json!({ "keys_poll_ms": 3_600_000, "list_poll_ms": 300 });
    let fleet = TestFleet::start_with(scenario).await;
    let certificate_before = presented_certificate(&fleet.connect(0).await.unwrap());
    fleet.fronts.renew_certificates().unwrap();
    let process_id = fleet.fronts.process_id(0).unwrap().to_string();
    assert!(std::process::Command::new("kill").args(["-HUP", &process_id]).status().unwrap().success());
    fleet.wait_for_log("certificates taken", 2).await;
    assert_ne!(presented_certificate(&fleet.connect(0).await.unwrap()), certificate_before);
    assert_eq!(fleet.fetch_manifest("s", FREE).await.status, 200);
    fleet.assert_rules_kept();
}

#[tokio::test]
async fn client_certificates_are_required_when_an_authority_is_configured() {
    let fleet = TestFleet::start_with(tls_scenario()).await;
    let (authority, viewer_authority) =
        (fleet.fronts.authority.as_ref().unwrap(), CertificateAuthority::default());
    replace(&fleet.folder().join("players/viewers.pem"), viewer_authority.pem()).unwrap();
    fleet.wait_for_log("certificates taken", 1).await;
    let target = fleet.manifest_target("s", FREE);
    for (certificate, is_accepted) in [
        (None, false),
        (Some(authority.issue("viewer", seconds_from_now(1000))), false),
        (Some(viewer_authority.issue("viewer", SystemTime::now() - Duration::from_secs(5))), false),
        (Some(viewer_authority.issue("viewer", seconds_from_now(1000))), true),
    ] {
        let connector = authority.connector(certificate.as_ref()).unwrap();
        let send_request = async {
            let mut peer =
                HttpPeer::connect(fleet.front_addresses[0], Some((&connector, FRONT_NAME))).await?;
            peer.write(get_request(&target).as_bytes()).await?;
            peer.read_response().await
        };
        let answer = send_request.await.ok().flatten().map(|answer| answer.status);
        assert_eq!(answer, is_accepted.then_some(200));
        assert_eq!(
            set_up_count(&fleet.recorder.observations()),
            usize::from(is_accepted),
            "rejected players cause no allocation"
        );
    }
}
