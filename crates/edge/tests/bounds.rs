//! How much a front takes on at once, and what it takes for a request at all, each story on real sockets.

mod house;

use house::{House, day, get, patient, text};
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::Observed;
use serde_json::json;
use test_case::test_case;
use tokio::net::TcpStream;

const FREE: usize = 0;

/// The most set-ups that were out at once, each until its server was done or saw its connection end. A connection that
/// the front has closed may be seen to end a little after the next set-up is.
fn most_out(house: &House) -> usize {
    const SEEN_LATE: f64 = 25.0;
    let seen = house.log.observations();
    let mut spans: std::collections::BTreeMap<&str, (f64, f64)> = Default::default();
    for s in &seen {
        match &s.what {
            Observed::SetUp { allocation, .. } => {
                spans.insert(allocation, (s.at, f64::INFINITY));
            }
            Observed::Done { allocation, .. } | Observed::Closed { allocation } => {
                spans.entry(allocation).and_modify(|span| span.1 = span.1.min(s.at));
            }
            _ => {}
        }
    }
    let out = |at: f64| spans.values().filter(|(from, to)| *from <= at && at < *to - SEEN_LATE).count();
    spans.values().map(|(from, _)| out(*from)).max().unwrap_or(0)
}

#[tokio::test]
async fn a_thousand_requests_at_once_against_a_limit_of_two_hundred() {
    let mut day = patient();
    day["limits"] = json!({ "deciding": 200 });
    day["admission"] = json!({ "least": 200, "most": 200, "work_ms": 1e9, "behind_ms": 1e9 });
    let house = House::of(day).await;
    // Two seconds of work: by then far more than two hundred have asked, on any machine.
    house.ail(|a| a.slow = 400.0);
    let mut asking = Vec::new();
    for i in 0..1000 {
        asking.push(house.ask_at(0, &format!("s{i}"), FREE).await.reading());
    }
    let (mut played, mut limited) = (0, 0);
    for one in asking {
        let answer = one.await.expect("no player dies");
        played += usize::from(answer.status == 200);
        let at_limit = text(&answer).contains("limit of deciding");
        assert!(!at_limit || answer.status == 503 && answer.header("retry-after").is_some());
        limited += usize::from(at_limit);
    }
    assert!(played >= 100 && limited >= 100, "{played} played, {limited} were told of the limit");
    let most = most_out(&house);
    assert!(most <= 200, "{most} set-ups out at once");
    house.kept();
}

#[tokio::test]
async fn a_crowd_waits_for_its_turn_and_whoever_can_not_be_served_in_time_is_told() {
    let mut day = day();
    day["rules"]["allocations"] = json!(1);
    day["admission"] = json!({
        "least": 8, "most": 8, "queue": 100, "reserve_ms": 400, "work_ms": 1e9, "behind_ms": 1e9,
    });
    let house = House::of(day).await;
    // A list that is told anew vouches for its servers: none is taken for cold, which has a pace of its own.
    house.stage.list(0, ListedState::Ready { started: 0.0 });
    house.says("list taken", 2).await;
    // Eight set-ups of 100 ms at once, for a second and a bit: under a hundred of three hundred.
    house.ail(|a| a.slow = 20.0);
    let mut asking = Vec::new();
    for i in 0..300 {
        asking.push(house.ask_at(0, &format!("s{i}"), FREE).await);
    }
    // Some of those that wait leave.
    asking.drain(250..260).for_each(|one| one.leave());
    let asking: Vec<_> = asking.into_iter().map(|one| one.reading()).collect();
    let (mut played, mut crowded) = (0, 0);
    for one in asking {
        let answer = one.await.expect("no player dies");
        played += usize::from(answer.status == 200);
        crowded += usize::from(answer.status == 503 && text(&answer).contains("too many plays"));
    }
    assert!(played >= 8 && crowded >= 100, "{played} played, {crowded} were told");
    let most = most_out(&house);
    assert!(most <= 8, "{most} set-ups out at once");
    house.kept();
}

#[test_case("GET / HTTP/1.1\r\nHost: f\r\n\r\n", 404; "nothing there")]
#[test_case("POST /v1/free/x/manifest.mpd HTTP/1.1\r\nHost: f\r\n\r\n", 405; "another method")]
#[test_case("POST / HTTP/1.1\r\nHost: f\r\nContent-Length: 3\r\n\r\nabc", 413; "a body")]
#[test_case("nonsense\r\n\r\n", 400; "nonsense")]
#[tokio::test]
async fn a_request_that_can_not_be_served_is_told_so(request: &str, status: u16) {
    let house = House::open().await;
    assert_eq!(house.send(request).await.unwrap().status, status);
}

#[tokio::test]
async fn connections_and_heads_are_bounded() {
    let mut day = day();
    day["limits"] = json!({ "connections": 3, "header_bytes": 2048, "header_ms": 200, "idle_ms": 60000 });
    let house = House::of(day).await;
    let long = format!("GET /{} HTTP/1.1\r\nHost: f\r\n\r\n", "x".repeat(4000));
    assert_eq!(house.send(&long).await.unwrap().status, 431);
    // A head that never comes whole.
    assert_eq!(house.send("GET / HTTP/1.1\r\nHo").await.unwrap().status, 408);
    let mut held = Vec::new();
    for _ in 0..3 {
        held.push(TcpStream::connect(house.at[0]).await.expect("a connection"));
    }
    house.until_true("all three are taken", || true).await;
    let refused = house.send(&get("/")).await.expect("a word before it closes");
    assert_eq!((refused.status, refused.header("retry-after")), (503, Some("1")));
    drop(held);
}
