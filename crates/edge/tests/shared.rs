//! What happens on several connections at once, in the order that hurts: words that overtake each other, reads that
//! wait behind one that fails, files that come in parts, each story on real sockets.

mod house;

use house::{House, base, day, get, one_server};
use pulleystair_dash::token::{EntryToken, KeyRing};
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::{Observation, Observed};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const FREE: usize = 0;
const PAID: usize = 1;

/// No event takes longer on any machine; it bounds a hang.
const PATIENCE: Duration = Duration::from_secs(20);

/// The rungs of all plays of a product, as their servers have them.
fn rungs(house: &House, product: usize) -> Vec<usize> {
    let world = house.boxes.model();
    let plays = world.servers.iter().flat_map(|s| s.plays.values());
    plays.filter(|p| p.product == product).map(|p| p.rung).collect()
}

#[tokio::test]
async fn a_play_stepped_down_while_its_set_up_is_out_runs_on_that_rung() {
    let mut day = one_server();
    day["fleet"]["link_kb"] = json!(450.0);
    day["fleet"]["notes_every_ms"] = json!(600_000);
    day["ladder"] = json!([{ "rate_kb": 10, "earns": 0.4 }, { "rate_kb": 200, "earns": 1 }]);
    day["products"][FREE]["importance"] = json!(0.1);
    for product in [FREE, PAID] {
        day["products"][product]["time_limit_ms"] = json!(20_000);
        day["products"][product]["first_frame_target_ms"] = json!(10_000);
    }
    let house = House::of(day).await;
    // Its answer tells that the link is free.
    assert_eq!(house.ask("first", PAID).await.status, 200);
    house.ail(|a| a.slow = 60.0);
    let cheap = house.ask_at(0, "cheap", FREE).await;
    house
        .until("its set-up", |seen| {
            seen.iter().any(|s| matches!(&s.what, Observed::SetUp { rung: 1, product: FREE, .. }))
        })
        .await;
    // The link does not carry both on the high rung, and this one is worth ten times as much.
    let dear = house.ask_at(0, "dear", PAID).await;
    assert_eq!((cheap.answer().await.status, dear.answer().await.status), (200, 200));
    house.until_true("the server has heard of the step", || rungs(&house, FREE) == [0]).await;
    house.kept();
}

#[tokio::test]
async fn the_last_of_several_steps_is_the_one_that_holds() {
    let mut day = one_server();
    day["ladder"] = json!([
        { "rate_kb": 10, "earns": 0.4 }, { "rate_kb": 20, "earns": 0.8 }, { "rate_kb": 40, "earns": 1 },
    ]);
    let house = House::of(day).await;
    assert_eq!(house.ask_top("s", FREE, 2).await.status, 200);
    // A link of 25 kB under a play of 40: it goes to 20, and its server is slow to do so.
    house.ail(|a| (a.link, a.late_steps_ms) = (0.000_25, 2_500.0));
    house.until_true("a step is under way", || house.boxes.model().servers[0].steps_read == 1).await;
    // Now it is one of 5 kB, and a further step would be carried out at once.
    house.ail(|a| (a.link, a.late_steps_ms) = (0.000_05, 0.0));
    let steps = |seen: &[Observation]| -> Vec<usize> {
        let rung = |s: &Observation| match s.what {
            Observed::Rung { rung, .. } => Some(rung),
            _ => None,
        };
        seen.iter().filter_map(rung).collect()
    };
    house.until("both are carried out", |seen| steps(seen).len() == 2).await;
    assert_eq!(steps(&house.log.observations()), [1, 0], "in the order in which they were decided");
}

#[tokio::test]
async fn a_step_whose_word_was_lost_is_told_again() {
    let mut day = one_server();
    day["limits"] = json!({ "segment_ms": 300 });
    let house = House::of(day).await;
    assert_eq!(house.ask_top("s", FREE, 1).await.status, 200);
    // Steps are read and not answered in time; the front gives up each word.
    house.ail(|a| (a.link, a.late_steps_ms) = (0.000_15, 3_600_000.0));
    house.until_true("a step is under way", || house.boxes.model().servers[0].steps_read >= 1).await;
    house.ail(|a| a.late_steps_ms = 0.0);
    house.until_true("the server has heard of it", || rungs(&house, FREE) == [0]).await;
}

/// A media server in the test's own hands: what is asked of it comes out, and what it answers goes in.
struct ByHand {
    asked: mpsc::UnboundedReceiver<(HttpPeer, String)>,
    at: SocketAddr,
}

impl ByHand {
    async fn open() -> ByHand {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("its address");
        let (tell, asked) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { return };
                let tell = tell.clone();
                tokio::spawn(async move {
                    let mut peer = HttpPeer::new(stream);
                    let Ok(Some(request)) = peer.read_request().await else { return };
                    let _ = tell.send((peer, format!("{} {}", request.method, request.target)));
                });
            }
        });
        ByHand { asked, at }
    }

    /// The next request of this method, and its connection.
    async fn next(&mut self, method: &str) -> (HttpPeer, String) {
        loop {
            let (peer, words) =
                timeout(PATIENCE, self.asked.recv()).await.expect("a request").expect("it listens");
            if words.starts_with(method) {
                return (peer, words);
            }
        }
    }
}

/// Lists all servers at this address, and waits until the front has read it.
async fn move_servers(house: &House, at: SocketAddr) {
    let taken = house.log_of(0).matches("list taken").count();
    let file = house.folder().join("list.json");
    let mut list: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&file).expect("the list")).expect("it reads");
    for one in list["servers"].as_array_mut().expect("servers") {
        one["address"] = json!(at);
    }
    replace(&file, list.to_string()).expect("the list is replaced");
    house.says("list taken", taken + 1).await;
}

/// A house with one play at a server by hand, that it sets up; where the play's segments are, and its set-up's connection.
async fn by_hand(reads: serde_json::Value) -> (House, ByHand, String, HttpPeer) {
    let mut day = day();
    day["limits"] = json!({ "server_connections": 1 });
    day["reads"] = reads;
    let house = House::of(day).await;
    let mut server = ByHand::open().await;
    move_servers(&house, server.at).await;
    let asking = house.ask_at(0, "s", FREE).await;
    let (mut peer, _) = server.next("POST").await;
    peer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.expect("it is told");
    let base = base(&asking.answer().await);
    (house, server, base, peer)
}

/// Sends a request whose answer is waited for later, and makes sure that the front has read it.
async fn begin(house: &House, target: &str) -> HttpPeer {
    let mut peer = house.call(0).await.expect("a connection");
    peer.write(get(target).as_bytes()).await.expect("the request is taken");
    assert_eq!(house.get("/v1/time").await.status, 200);
    peer
}

#[tokio::test]
async fn a_read_that_waits_behind_one_whose_server_is_lost_is_answered_too() {
    let (house, mut server, base, _play) = by_hand(json!({ "tries": 3, "free": 100 })).await;
    let mut first = begin(&house, &format!("{base}0/1.m4s")).await;
    let (out, _) = server.next("GET").await;
    let mut waits = begin(&house, &format!("{base}0/2.m4s")).await;
    // The server has moved to where nobody can connect, which shows at once, and its last connection is reset.
    move_servers(&house, "127.255.255.255:9".parse().expect("an address")).await;
    out.reset();
    for peer in [&mut first, &mut waits] {
        let answer = timeout(PATIENCE, peer.read_response()).await.expect("an answer, not silence");
        assert_eq!(answer.expect("a whole one").expect("one").status, 502);
    }
}

#[tokio::test]
async fn a_read_whose_player_left_while_it_waited_is_not_begun() {
    let (house, mut server, base, _play) = by_hand(json!({})).await;
    let _first = begin(&house, &format!("{base}0/1.m4s")).await;
    let (mut out, _) = server.next("GET").await;
    let left = begin(&house, &format!("{base}0/2.m4s")).await;
    drop(left);
    let _third = begin(&house, &format!("{base}0/3.m4s")).await;
    out.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
        .await
        .expect("it is told");
    let (_, words) = server.next("GET").await;
    assert!(words.ends_with("/0/3"), "{words}");
}

#[tokio::test]
async fn a_list_that_could_not_be_read_for_want_of_file_handles_is_read_once_there_are_some() {
    let house = House::within(day(), "ulimit -n 48").await;
    let mut held = Vec::new();
    while !house.log_of(0).contains("connection not taken") {
        held.push(TcpStream::connect(house.at[0]).await.expect("the system takes it"));
        tokio::task::yield_now().await;
    }
    for server in 0..4 {
        house.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    house.says("list not taken", 1).await;
    drop(held);
    // The last list of the four, or one before it, could not be read; nothing replaces it any more.
    house.says("\"draining\":4", 1).await;
    assert_eq!(house.ask("s", FREE).await.status, 503, "nobody may take it");
    assert!(house.set_ups().is_empty());
    house.kept();
}

/// A token of this portal key for a session.
fn token(house: &House, n: u8, session: &str) -> String {
    let ring = KeyRing::new(&[(format!("portal-{n}"), vec![b'a' + n; 40])]).expect("a ring");
    ring.sign(&EntryToken {
        jti: session.into(),
        sub: "viewer".into(),
        product: house.day.products[FREE].name.clone(),
        title: house.titles[FREE].name.clone(),
        top: 1,
        exp: u64::MAX >> 12,
    })
}

#[tokio::test]
async fn keys_whose_secrets_come_after_the_file_that_names_them_are_taken() {
    let mut day = day();
    day["limits"] = json!({ "keys_poll_ms": 20 });
    let house = House::of(day).await;
    let keys = json!({
        "entry": [{ "kid": "portal-3", "file": "late.key" }], "pass": [{ "kid": "pass-3", "file": "late.key" }],
    });
    replace(&house.folder().join("keys.json"), keys.to_string()).expect("keys are replaced");
    house.says("keys not taken", 1).await;
    let target = format!("/v1/free/{}/manifest.mpd?token={}", house.titles[FREE].name, token(&house, 3, "s"));
    assert_eq!(house.get(&target).await.status, 401);
    replace(&house.folder().join("late.key"), [b'a' + 3; 40]).expect("the secret comes");
    house.says("keys taken", 1).await;
    assert_eq!(house.get(&target).await.status, 200);
    assert_eq!(house.log_of(0).matches("keys not taken").count(), 1, "told once");
}
