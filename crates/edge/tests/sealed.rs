//! TLS between players, a front and its servers, and certificates that are replaced, wrong or run out, each
//! story on real sockets.

mod house;

use house::{House, base, day, get, set_ups, text};
use pulleystair_fake_servers::certificates::CertificateAuthority;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::{HttpPeer, Stream};
use pulleystair_lab::fronts::FRONT;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const FREE: usize = 0;
const PAID: usize = 1;

fn sealed() -> Value {
    let mut day = day();
    day["tls"] = json!(true);
    day["limits"] = json!({ "keys_poll_ms": 20, "header_ms": 400 });
    day
}

fn soon(seconds: u64) -> SystemTime {
    SystemTime::now() + Duration::from_secs(seconds)
}

/// The certificate that a front shows on this connection.
fn shown(peer: &HttpPeer) -> Vec<u8> {
    let Stream::Tls(stream) = &peer.stream else { panic!("the connection is sealed") };
    let (_, seal) = stream.get_ref();
    seal.peer_certificates().expect("the front shows a certificate")[0].to_vec()
}

#[tokio::test]
async fn a_play_under_tls_on_both_sides() {
    let house = House::of(sealed()).await;
    let manifest = house.ask("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", text(&manifest));
    for number in 1..=4 {
        let segment = house.get(&format!("{}1/{number}.m4s", base(&manifest))).await;
        assert!(
            pulleystair_fake_servers::content::parse(&segment.body)
                .is_some_and(|c| c.intact && c.number == number)
        );
    }
    house
        .until("the server's end", |seen| seen.iter().any(|s| matches!(s.what, Observed::Closed { .. })))
        .await;
    house.kept();
}

#[tokio::test]
async fn a_player_without_tls_and_one_that_never_shakes_hands_are_let_go() {
    let house = House::of(sealed()).await;
    let mut plain = HttpPeer::new(TcpStream::connect(house.at[0]).await.unwrap());
    plain.write(get("/").as_bytes()).await.unwrap();
    assert!(!matches!(plain.read_response().await, Ok(Some(_))), "nothing is said in the open");
    let mut mute = TcpStream::connect(house.at[0]).await.unwrap();
    assert_eq!(mute.read(&mut [0; 16]).await.unwrap_or(0), 0, "closed once its time is up");
    assert_eq!(house.ask("s", FREE).await.status, 200);
    house.kept();
}

/// Servers whose certificate the front does not take get nothing of a request, so a paid play may go elsewhere.
#[tokio::test]
async fn servers_with_a_wrong_or_expired_certificate_never_see_a_set_up() {
    let mut day = sealed();
    day["rules"]["allocations"] = json!(4);
    for product in [FREE, PAID] {
        day["products"][product]["time_limit_ms"] = json!(20_000);
    }
    let house = House::of(day).await;
    let own = house.fronts.authority.as_ref().unwrap();
    let foreign = CertificateAuthority::default();
    let expired = own.issue("m1", SystemTime::now() - Duration::from_secs(5));
    let other = own.issue("m9", soon(1000));
    let papers = [(0, foreign.issue("m0", soon(1000))), (1, expired), (2, other)];
    for (server, paper) in &papers {
        house.boxes.set_tls(*server, Some(own.acceptor(paper, None).unwrap()));
    }
    for n in 0..6 {
        let product = if n % 2 == 0 { FREE } else { PAID };
        assert_eq!(house.ask(&format!("s{n}"), product).await.status, 200);
    }
    assert_eq!(house.set_ups(), [3; 6], "only one server is what it says");
    assert!(house.log_of(0).contains("TLS"), "the log tells why");
    house.kept();
}

/// A server that wants the front's certificate and gets none says so after the request may have reached it.
#[tokio::test]
async fn servers_that_do_not_know_the_front_are_failures_like_others() {
    let house = House::of(sealed()).await;
    let own = house.fronts.authority.as_ref().unwrap();
    let foreign = CertificateAuthority::default();
    for server in 0..4 {
        let paper = own.issue(&format!("m{server}"), soon(1000));
        house.boxes.set_tls(server, Some(own.acceptor(&paper, Some(&foreign)).unwrap()));
    }
    assert!([502, 503].contains(&house.ask("s", FREE).await.status));
    assert_eq!(house.ask("p", PAID).await.status, 502, "it may have run, for all the front knows");
    assert_eq!(set_ups(&house.log.observations()), 0);
}

#[tokio::test]
async fn certificates_replaced_ten_times_while_plays_run_drop_nothing() {
    let mut day = sealed();
    day["products"][FREE]["seconds"] = json!([40, 40]);
    let house = House::of(day).await;
    let manifest = house.ask("s", FREE).await;
    let target = format!("{}1/1.m4s", base(&manifest));
    let mut kept = house.call(0).await.unwrap();
    let mut before = shown(&kept);
    for n in 1..=10 {
        house.fronts.renew_certificates().unwrap();
        // One for each side.
        house.says("certificates taken", 2 * n).await;
        kept.write(get(&target).as_bytes()).await.unwrap();
        assert_eq!(kept.read_response().await.unwrap().unwrap().status, 200, "the old connection lives on");
        let now = shown(&house.call(0).await.unwrap());
        assert_ne!(now, before, "new ones get the new certificate");
        before = now;
        assert_eq!(house.ask(&format!("s{n}"), PAID).await.status, 200, "servers take the new one too");
    }
    house.kept();
}

#[tokio::test]
async fn a_bad_set_is_refused_whole_and_the_old_one_is_still_shown() {
    let house = House::of(sealed()).await;
    let before = shown(&house.call(0).await.unwrap());
    let folder = house.folder().join("players");
    let good = std::fs::read(folder.join("key.pem")).unwrap();
    // A key that fits no more, then an expired set, then half of a good one.
    std::fs::write(folder.join("key.pem"), house.fronts.certificate(soon(1000)).unwrap().key).unwrap();
    house.says("key does not fit", 1).await;
    assert_eq!(shown(&house.call(0).await.unwrap()), before);
    house
        .fronts
        .certificate(SystemTime::now() - Duration::from_secs(60))
        .unwrap()
        .write_files(&folder)
        .unwrap();
    house.says("expired", 1).await;
    assert_eq!(shown(&house.call(0).await.unwrap()), before);
    std::fs::write(folder.join("key.pem"), &good[..good.len() / 2]).unwrap();
    house.says("certificates not taken", 3).await;
    assert_eq!(shown(&house.call(0).await.unwrap()), before);
    assert_eq!(house.ask("s", FREE).await.status, 200);
    let log = house.log_of(0);
    assert!(!log.contains("BEGIN") && !log.contains(&text_of(&good)[40..80]), "no key in the log");
    // A good set is taken after bad ones.
    house.fronts.certificate(soon(1000)).unwrap().write_files(&folder).unwrap();
    house.says("certificates taken", 1).await;
    assert_ne!(shown(&house.call(0).await.unwrap()), before);
    house.kept();
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn a_certificate_that_runs_out_while_in_use_ends_no_play_and_is_told_of() {
    let mut day = sealed();
    day["products"][FREE]["seconds"] = json!([40, 40]);
    let house = House::of(day).await;
    let folder = house.folder().join("players");
    house.fronts.certificate(soon(3)).unwrap().write_files(&folder).unwrap();
    house.says("certificates taken", 1).await;
    house.says("certificate runs out soon", 1).await;
    let mut kept = house.call(0).await.expect("it still holds");
    let manifest = house.ask("s", FREE).await;
    house.says("certificate has expired", 1).await;
    let target = format!("{}1/1.m4s", base(&manifest));
    kept.write(get(&target).as_bytes()).await.unwrap();
    assert_eq!(kept.read_response().await.unwrap().unwrap().status, 200, "what was open goes on");
    // One that has not been here before, so nothing is taken up from an earlier connection.
    let new = house.fronts.connector().unwrap().unwrap();
    let refused = HttpPeer::connect(house.at[0], Some((&new, FRONT))).await;
    assert!(refused.is_err(), "players do not take it any more");
    house.fronts.certificate(soon(1000)).unwrap().write_files(&folder).unwrap();
    house.says("certificates taken", 2).await;
    assert_eq!(house.get(&target).await.status, 200);
    house.kept();
}

#[tokio::test]
async fn a_signal_has_all_files_looked_at_at_once() {
    let mut day = sealed();
    day["limits"] = json!({ "keys_poll_ms": 3_600_000, "list_poll_ms": 300 });
    let house = House::of(day).await;
    let before = shown(&house.call(0).await.unwrap());
    house.fronts.renew_certificates().unwrap();
    let process = house.fronts.process(0).unwrap().to_string();
    assert!(std::process::Command::new("kill").args(["-HUP", &process]).status().unwrap().success());
    house.says("certificates taken", 2).await;
    assert_ne!(shown(&house.call(0).await.unwrap()), before);
    assert_eq!(house.ask("s", FREE).await.status, 200);
    house.kept();
}

#[tokio::test]
async fn players_must_show_a_certificate_where_the_folder_says_whose() {
    let house = House::of(sealed()).await;
    let (own, viewers) = (house.fronts.authority.as_ref().unwrap(), CertificateAuthority::default());
    replace(&house.folder().join("players/viewers.pem"), viewers.pem()).unwrap();
    house.says("certificates taken", 1).await;
    let target = house.manifest("s", FREE);
    for (paper, good) in [
        (None, false),
        (Some(own.issue("viewer", soon(1000))), false),
        (Some(viewers.issue("viewer", SystemTime::now() - Duration::from_secs(5))), false),
        (Some(viewers.issue("viewer", soon(1000))), true),
    ] {
        let connector = own.connector(paper.as_ref()).unwrap();
        let asked = async {
            let mut peer = HttpPeer::connect(house.at[0], Some((&connector, FRONT))).await?;
            peer.write(get(&target).as_bytes()).await?;
            peer.read_response().await
        };
        let answer = asked.await.ok().flatten().map(|answer| answer.status);
        assert_eq!(answer, good.then_some(200));
        assert_eq!(set_ups(&house.log.observations()), usize::from(good), "strangers cost no allocation");
    }
}
