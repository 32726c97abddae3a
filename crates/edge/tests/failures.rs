//! What can go wrong between players, a front and its servers, each story on real sockets: the front is the
//! program itself, the servers are stand-ins, and the rules are checked on what both sides saw.

mod house;

use house::{House, base, closed, day, get, patient, set_ups, text};
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use serde_json::json;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

const FREE: usize = 0;
const PAID: usize = 1;

#[tokio::test]
async fn a_play_from_manifest_to_last_segment() {
    let house = House::open().await;
    let manifest = house.ask("s", FREE).await;
    assert_eq!(manifest.status, 200, "{}", text(&manifest));
    let base = base(&manifest);
    for number in 0..=4u64 {
        let file = if number == 0 { "init.mp4".to_string() } else { format!("{number}.m4s") };
        let segment = house.get(&format!("{base}1/{file}")).await;
        assert_eq!(segment.status, 200);
        let got = content::parse(&segment.body).expect("it says what it is");
        assert!(got.intact && got.number == number && got.title == house.titles[FREE].name, "{got:?}");
        assert!(segment.header("cmsd-dynamic").is_some_and(|h| h.contains("mb=")));
    }
    assert_eq!(house.get(&format!("{base}1/5.m4s")).await.status, 404, "there are four");
    // The last segment has gone out: the play ends by itself, and its server is told.
    house.until("the server's end of the play", |seen| closed(seen) == 1).await;
    house
        .until_true("the play is freed", || house.boxes.model().servers.iter().all(|s| s.plays.is_empty()))
        .await;
    assert_eq!(house.get(&format!("{base}1/4.m4s")).await.status, 410);
    house.kept();
}

#[tokio::test]
async fn servers_that_take_requests_and_never_answer() {
    let house = House::open().await;
    house.ail(|a| a.silent = true);
    let answer = house.ask("s", FREE).await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("1")));
    let paid = house.ask("p", PAID).await;
    assert!([502, 504].contains(&paid.status), "it may have run: {}", paid.status);
    house.kept();
}

#[tokio::test]
async fn servers_whose_answers_break_off_within_the_head() {
    let house = House::open().await;
    house.ail(|a| a.half_heads = 1.0);
    assert_eq!(house.ask("s", FREE).await.status, 503);
    assert!(house.set_ups().len() > 1, "a play that may be set up again is");
    house.kept();
}

#[test_case(FREE, 200, 2; "free: sent again elsewhere")]
#[test_case(PAID, 502, 1; "paid: never sent again, nor called declined")]
#[tokio::test]
async fn a_reset_after_the_set_up_ran(product: usize, status: u16, least: usize) {
    let house = House::open().await;
    house.ail(|a| a.reset = 1.0);
    let asking = house.ask_at(0, "s", product).await;
    house.until("a set-up", |seen| set_ups(seen) == 1).await;
    // Only the first server is ill.
    let first = house.set_ups()[0];
    house.ail_all_but(first, |a| a.reset = 0.0);
    assert_eq!(asking.answer().await.status, status);
    assert!(house.set_ups().len() >= least, "{:?}", house.set_ups());
    assert!(product == FREE || house.set_ups().len() == 1);
    house.kept();
}

/// The front has much to do at once, so that resets come in before it has looked at the connections that it wrote on. How long all
/// that takes is not what is held here: viewers wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_crowd_of_paid_set_ups_that_ran_and_were_reset_is_never_sent_again() {
    let mut day = day();
    day["products"][PAID]["time_limit_ms"] = json!(20_000);
    day["fleet"]["work_ms"] = json!(0);
    day["admission"] = json!({ "least": 1000, "most": 1000, "work_ms": 1e9, "behind_ms": 1e9 });
    let house = House::of(day).await;
    house.stage.list(0, ListedState::Ready { started: 0.0 });
    house.says("list taken", 2).await;
    house.ail(|a| a.reset = 1.0);
    assert_eq!(house.crowd(400, PAID).await, 0);
    assert_eq!(house.set_ups().len(), 400, "one each");
    house.kept();
}

#[tokio::test]
async fn an_answer_that_comes_after_the_time_out() {
    let house = House::open().await;
    house.ail(|a| a.slow = 120.0);
    let asking = house.ask_at(0, "s", FREE).await;
    house.until("a set-up", |seen| set_ups(seen) == 1).await;
    let first = house.set_ups()[0];
    house.ail_all_but(first, |a| a.slow = 1.0);
    assert_eq!(asking.answer().await.status, 200);
    assert_eq!(house.set_ups().len(), 2);
    // The first connection was closed before the second set-up went out, so no late answer has a way back.
    house.until("the first one's end", |seen| closed(seen) == 1).await;
    house.kept();
}

#[tokio::test]
async fn two_requests_of_one_session_at_once_are_one_play() {
    let house = House::open().await;
    house.ail(|a| a.slow = 20.0);
    let (one, other) = (house.ask_at(0, "s", FREE).await, house.ask_at(0, "s", FREE).await);
    let (one, other) = tokio::join!(one.answer(), other.answer());
    assert_eq!((one.status, other.status), (200, 200));
    assert_eq!(one.body, other.body);
    let again = house.ask("s", FREE).await;
    assert_eq!(again.status, 200, "asked again later: the same play");
    assert_eq!(house.get(&format!("{}0/1.m4s", base(&again))).await.status, 200);
    assert_eq!(house.set_ups().len(), 1);
    house.kept();
}

#[tokio::test]
async fn a_viewer_that_closes_while_the_set_up_is_out() {
    let house = House::of(patient()).await;
    house.ail(|a| a.silent = true);
    let asking = house.ask_at(0, "s", FREE).await;
    house.until("a set-up", |seen| set_ups(seen) == 1).await;
    asking.leave();
    house.until("the set-up is withdrawn", |seen| closed(seen) == 1).await;
    assert_eq!(house.ask("s", FREE).await.status, 410, "it has left");
    assert_eq!(house.set_ups().len(), 1);
    house.kept();
}

#[tokio::test]
async fn a_viewer_whose_connection_broke_comes_back_for_its_answer() {
    let house = House::of(patient()).await;
    house.ail(|a| a.slow = 40.0);
    let asking = house.ask_at(0, "s", FREE).await;
    house.until("a set-up", |seen| set_ups(seen) == 1).await;
    asking.leave();
    assert_eq!(house.ask("s", FREE).await.status, 200);
    assert_eq!(house.set_ups().len(), 1);
    house.kept();
}

#[tokio::test]
async fn a_player_that_reads_one_byte_at_a_time_is_let_go_and_others_are_served() {
    let mut day = day();
    day["ladder"] = json!([{ "rate_kb": 4000, "earns": 0.4 }, { "rate_kb": 8000, "earns": 1 }]);
    day["limits"] = json!({
        "send_buffer_bytes": 8192, "relay_bytes": 65536, "slow_reader_ms": 300, "slow_reader_kb": 20000,
    });
    let house = House::of(day).await;
    let manifest = house.ask("s", FREE).await;
    let target = format!("{}0/1.m4s", base(&manifest));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut slow = HttpPeer::new(socket.connect(house.at[0]).await.expect("a connection"));
    slow.write(get(&target).as_bytes()).await.expect("the request is taken");
    let mut read = 0;
    let mut byte = [0];
    let ended = loop {
        let quick = house.get(&format!("{}0/init.mp4", base(&manifest))).await;
        assert!(content::parse(&quick.body).is_some_and(|c| c.intact), "another player is served meanwhile");
        match slow.stream.read(&mut byte).await {
            Ok(0) | Err(_) => break true,
            Ok(n) => read += n,
        }
        // What lies in buffers may still be read; the front's end of it shows as soon as it is gone.
        let log = house.log_of(0);
        if log.contains("too slow") {
            let mut rest = Vec::new();
            let _ = slow.stream.read_to_end(&mut rest).await;
            read += rest.len();
            break true;
        }
    };
    assert!(ended && read < 4_000_000, "{read} bytes");
    house.kept();
}

/// A house whose one play has a segment of 200 kB to fetch, and that segment's address.
async fn with_segments(reads: serde_json::Value) -> (House, String) {
    let mut day = day();
    day["ladder"] = json!([{ "rate_kb": 200, "earns": 1 }]);
    day["reads"] = reads;
    day["limits"] = json!({ "segment_ms": 300 });
    let house = House::of(day).await;
    let base = base(&house.ask("s", FREE).await);
    (house, format!("{base}0/2.m4s"))
}

fn whole(bytes: &[u8]) -> bool {
    content::parse(bytes).is_some_and(|c| c.intact && c.number == 2)
}

#[test_case(|a| a.cut = 1.0; "cut short")]
#[test_case(|a| a.stall = 1.0; "stalled")]
#[tokio::test]
async fn a_segment_that_breaks_off_is_taken_up_where_it_broke(
    ill: fn(&mut pulleystair_fake_servers::model::ServerFaults),
) {
    // Each try brings half of what is left; ten of them leave a 200th, which comes once the server is well.
    let (house, target) = with_segments(json!({ "tries": 50, "free": 100 })).await;
    house.ail(ill);
    let (fetched, ()) = tokio::join!(house.get(&target), async {
        house.until_true("a further try", || house.log_of(0).contains("Again")).await;
        house.ail(|a| (a.cut, a.stall) = (0.0, 0.0));
    });
    assert_eq!(fetched.status, 200);
    assert!(whole(&fetched.body), "no byte is missing or twice");
    assert_eq!(house.set_ups().len(), 1, "and no second allocation was made for it");
    house.kept();
}

#[test_case(json!({ "tries": 2 }), |a| a.cut = 1.0; "no tries left")]
#[test_case(json!({ "free": 0, "share": 0 }), |a| a.cut = 1.0; "no budget")]
#[test_case(json!({}), |a| (a.cut, a.no_ranges) = (1.0, 1.0); "a server without ranges")]
#[tokio::test]
async fn a_segment_that_can_not_go_on_ends_short_and_is_never_patched_up(
    reads: serde_json::Value,
    ill: fn(&mut pulleystair_fake_servers::model::ServerFaults),
) {
    let (house, target) = with_segments(reads).await;
    house.ail(ill);
    let mut peer = HttpPeer::new(TcpStream::connect(house.at[0]).await.expect("a connection"));
    peer.write(get(&target).as_bytes()).await.expect("the request is taken");
    let mut bytes = Vec::new();
    peer.stream.read_to_end(&mut bytes).await.expect("the front closes");
    let body = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| bytes.split_off(at + 4));
    let body = body.expect("a head had come");
    assert!(body.len() < 200_000, "the player sees that it is short");
    assert_eq!(body, content::generate(&house.titles[FREE].name, 0, 2, 200_000)[..body.len()]);
    house.ail(|a| (a.cut, a.no_ranges) = (0.0, 0.0));
    assert!(whole(&house.get(&target).await.body), "asked again by the player, it comes");
    house.kept();
}

#[tokio::test]
async fn more_bytes_than_told_are_not_passed_on() {
    let (house, target) = with_segments(json!({})).await;
    house.ail(|a| a.over_long = 1.0);
    for _ in 0..5 {
        assert!(whole(&house.get(&target).await.body));
    }
    house.kept();
}

#[tokio::test]
async fn parts_of_a_segment_fit_together() {
    let (house, target) = with_segments(json!({})).await;
    let part = async |range: &str| {
        let text = format!("GET {target} HTTP/1.1\r\nHost: f\r\nRange: {range}\r\n\r\n");
        house.send(&text).await.expect("an answer comes")
    };
    let (first, rest) = (part("bytes=0-99999").await, part("bytes=100000-").await);
    assert_eq!((first.status, rest.status), (206, 206));
    assert_eq!(rest.header("content-range"), Some("bytes 100000-199999/200000"));
    assert!(whole(&[first.body, rest.body].concat()));
    assert_eq!(part("bytes=900000-").await.status, 416);
    assert!(whole(&part("bytes=-100").await.body), "a form that is not served in parts gets the whole");
    house.kept();
}

#[tokio::test]
async fn every_holder_is_cold() {
    let mut day = day();
    day["fleet"]["streams"] = json!(24);
    let house = House::of(day).await;
    house.all_start_cold().await;
    assert!(house.crowd(60, FREE).await > 0, "they take plays at their pace");
    assert!(house.set_ups().len() < 60, "not all at once");
    house.kept();
}

#[tokio::test]
async fn every_holder_drains_between_request_and_set_up() {
    let house = House::open().await;
    house.ail(|a| a.silent = true);
    let asking = house.ask_at(0, "s", FREE).await;
    house.until("a set-up", |seen| set_ups(seen) == 1).await;
    for server in 0..4 {
        house.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    assert_eq!(asking.answer().await.status, 503);
    assert_eq!(house.ask("later", FREE).await.status, 503, "nobody may take it");
    house.kept();
}

#[tokio::test]
async fn a_front_is_killed_with_a_play_in_hand() {
    let mut day = day();
    day["fronts"] = json!(2);
    let house = House::of(day).await;
    assert_eq!(house.ask_at(0, "s", FREE).await.answer().await.status, 200);
    house.fronts.kill(0).await;
    house
        .until_true("the lease runs out", || house.boxes.model().servers.iter().all(|s| s.plays.is_empty()))
        .await;
    assert_eq!(
        house.ask_at(1, "s2", FREE).await.answer().await.status,
        200,
        "the viewer came back elsewhere"
    );
    house.kept();
}

#[tokio::test]
async fn a_list_replaced_half_written_is_not_taken() {
    let house = House::open().await;
    let file = house.folder().join("list.json");
    let whole = std::fs::read_to_string(&file).expect("the list is there");
    let says = |what: &str| {
        let log = house.log_of(0);
        log.matches(what).count()
    };
    std::fs::write(&file, &whole[..whole.len() / 2]).expect("the list is written");
    house.until_true("the front says so", || says("list not taken") >= 1).await;
    assert_eq!(house.ask("s", FREE).await.status, 200, "the list in hand stays");
    std::fs::write(&file, whole.replace("\"weight\":1.0", "\"weight\":-1")).expect("the list is written");
    house.until_true("the front names the value", || says("servers[0].weight: found -1") >= 1).await;
    house.stage.list(0, ListedState::Draining { started: 0.0 });
    house.until_true("the whole list is taken", || says("\"draining\":1") >= 1).await;
    house.kept();
}

#[tokio::test]
async fn a_list_whose_titles_change_places_leaves_plays_with_theirs() {
    let house = House::open().await;
    let manifest = house.ask("s", FREE).await;
    let file = house.folder().join("list.json");
    let mut list: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(&file).unwrap()).expect("the list reads");
    // The title that plays is gone, the other one stands in its place.
    list["titles"].as_array_mut().unwrap().remove(FREE);
    std::fs::write(&file, list.to_string()).expect("the list is written");
    house
        .until_true("the front has read the list", || {
            let log = house.log_of(0);
            log.matches("list taken").count() >= 2
        })
        .await;
    let segment = house.get(&format!("{}0/2.m4s", base(&manifest))).await;
    assert_eq!(content::parse(&segment.body).expect("a segment").title, house.titles[FREE].name);
    assert_eq!(house.ask("s", FREE).await.status, 200, "asked again: the same play");
    assert_eq!(house.get(&house.manifest("new", FREE)).await.status, 404);
    assert_eq!(house.ask("p", PAID).await.status, 200);
    house.kept();
}
