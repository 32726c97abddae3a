//! Stops at every point: the process is killed, told to stop or can't write, and a connection ends half way. Then a new
//! front starts in its place, and what was promised before must hold. Each story on real sockets, with the real front.

mod house;

use house::{House, base, day, get, set_ups, text};
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::files::replace;
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::{Observation, Observed};
use serde_json::{Value, json};
use std::process::Stdio;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

const FREE: usize = 0;
const PAID: usize = 1;

fn done(seen: &[Observation]) -> usize {
    seen.iter().filter(|s| matches!(s.what, Observed::Done { .. })).count()
}

/// A day on which nothing runs out while a story is told.
fn patient() -> Value {
    let mut day = day();
    for product in [FREE, PAID] {
        day["products"][product]["time_limit_ms"] = json!(20_000);
        day["products"][product]["first_frame_target_ms"] = json!(15_000);
        day["products"][product]["seconds"] = json!([60, 60]);
    }
    day["ladder"] = json!([{ "rate_kb": 200, "earns": 0.4 }, { "rate_kb": 400, "earns": 1 }]);
    day["limits"] = json!({ "send_buffer_bytes": 8192, "relay_bytes": 65536 });
    day["admission"] = json!({ "least": 1, "most": 1, "reserve_ms": 1 });
    day
}

/// Where a front is when it is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Point {
    RequestHalfRead,
    Queued,
    SetUpUnanswered,
    SetUpRan,
    Plays,
    SegmentHalf,
    EndUnheard,
    Withdrawn,
    Stopping,
}

/// Keeps what hangs on a front until it has been killed.
#[derive(Default)]
struct Hanging {
    peers: Vec<HttpPeer>,
    asking: Vec<house::Asking>,
    base: Option<String>,
}

async fn reach(house: &House, point: Point, product: usize) -> Hanging {
    let mut it = Hanging::default();
    match point {
        Point::RequestHalfRead => {
            let mut peer = house.call(0).await.expect("a connection");
            peer.write(b"GET /v1/free/").await.expect("half a head is taken");
            it.peers.push(peer);
        }
        Point::Queued => {
            house.ail(|a| a.silent = true);
            it.asking.push(house.ask_at(0, "out", product).await);
            house.until("the one set-up that may be out", |seen| set_ups(seen) == 1).await;
            it.asking.push(house.ask_at(0, "queued", product).await);
        }
        Point::SetUpUnanswered => {
            house.ail(|a| a.silent = true);
            it.asking.push(house.ask_at(0, "out", product).await);
            house.until("its set-up", |seen| set_ups(seen) == 1).await;
        }
        Point::SetUpRan => {
            house.ail(|a| a.lost = 1.0);
            it.asking.push(house.ask_at(0, "ran", product).await);
            house.until("it ran", |seen| done(seen) == 1).await;
        }
        Point::Withdrawn => {
            house.ail(|a| a.silent = true);
            let asking = house.ask_at(0, "left", product).await;
            house.until("its set-up", |seen| set_ups(seen) == 1).await;
            asking.leave();
        }
        Point::Plays | Point::SegmentHalf | Point::EndUnheard | Point::Stopping => {
            let base = base(&house.ask("plays", product).await);
            match point {
                Point::SegmentHalf => {
                    let socket = TcpSocket::new_v4().expect("a socket");
                    socket.set_recv_buffer_size(4096).expect("a small buffer");
                    let mut slow = HttpPeer::new(socket.connect(house.at[0]).await.expect("a connection"));
                    slow.write(get(&format!("{base}1/1.m4s")).as_bytes()).await.expect("a request");
                    slow.stream.read_exact(&mut [0; 64]).await.expect("it has begun");
                    it.peers.push(slow);
                }
                Point::EndUnheard => {
                    house.ail(|a| a.silent = true);
                    let left = format!("DELETE {base} HTTP/1.1\r\nHost: f\r\n\r\n");
                    assert_eq!(house.send(&left).await.expect("an answer").status, 200);
                }
                Point::Stopping => {
                    house.signal(0, "-TERM").await;
                    house.says("stopping: no new plays", 1).await;
                }
                _ => {}
            }
            it.base = Some(base);
        }
    }
    it
}

#[test_case(Point::RequestHalfRead, FREE; "a request half read")]
#[test_case(Point::Queued, FREE; "a play queued")]
#[test_case(Point::SetUpUnanswered, FREE; "a set-up written and not answered")]
#[test_case(Point::SetUpUnanswered, PAID; "a paid set-up written and not answered")]
#[test_case(Point::SetUpRan, PAID; "a paid set-up that ran and was not heard of")]
#[test_case(Point::Plays, PAID; "a play that runs")]
#[test_case(Point::SegmentHalf, FREE; "a segment half relayed")]
#[test_case(Point::EndUnheard, FREE; "an end that the server has not heard")]
#[test_case(Point::Withdrawn, FREE; "a viewer that left")]
#[test_case(Point::Stopping, FREE; "told to stop")]
#[tokio::test]
async fn a_front_killed_there_leaves_nothing_behind_and_starts_anew(point: Point, product: usize) {
    let mut house = House::of(patient()).await;
    let mut hanging = reach(&house, point, product).await;
    let before = set_ups(&house.log.observations());
    house.restart(0).await;
    // Whoever hung on it sees an end, and what is short shows as short.
    for mut peer in hanging.peers.drain(..) {
        let mut rest = Vec::new();
        let _ = peer.stream.read_to_end(&mut rest).await;
        assert!(rest.len() < 400_000);
    }
    for mut asking in hanging.asking.drain(..) {
        let answer = asking.peer.read_response().await;
        assert!(!matches!(answer, Ok(Some(_))), "nobody is told what nobody knows");
        house.log.record(asking.cut());
    }
    house.ail(|a| (a.silent, a.lost) = (false, 0.0));
    house
        .until_true("servers are free", || house.boxes.model().servers.iter().all(|s| s.plays.is_empty()))
        .await;
    assert_eq!(set_ups(&house.log.observations()), before, "the new front does nothing unasked");
    if let Some(base) = hanging.base {
        assert_eq!(house.get(&format!("{base}1/1.m4s")).await.status, 410, "it does not play here any more");
    }
    let manifest = house.ask("new", product).await;
    assert_eq!(manifest.status, 200, "{}", text(&manifest));
    let segment = house.get(&format!("{}0/1.m4s", base(&manifest))).await;
    assert!(content::parse(&segment.body).is_some_and(|c| c.intact));
    assert_eq!(house.set_ups().len(), before + 1);
    house.kept();
}

/// The front keeps nothing on disk, and by the rules a viewer who returns to one that was killed is a new request: its
/// session is set up again, paid or not, but never beside the set-up that was out. See docs/review-of-parts.md.
#[tokio::test]
async fn a_paid_session_asked_for_again_after_a_kill_is_a_new_request_and_not_a_second_one_at_once() {
    let mut house = House::of(patient()).await;
    house.ail(|a| a.silent = true);
    let asking = house.ask_at(0, "s", PAID).await;
    house.until("its set-up", |seen| set_ups(seen) == 1).await;
    house.restart(0).await;
    house.log.record(asking.cut());
    house.ail(|a| a.silent = false);
    let ended = |seen: &[Observation]| seen.iter().any(|s| matches!(s.what, Observed::Closed { .. }));
    house.until("its server has seen the end of it", ended).await;
    assert_eq!(house.ask("s", PAID).await.status, 200);
    assert_eq!(house.ask("s", PAID).await.status, 200, "and that answer is given again");
    assert_eq!(set_ups(&house.log.observations()), 2);
    house.kept();
}

#[tokio::test]
async fn a_drain_heard_of_before_a_kill_holds_after_it() {
    let mut house = House::open().await;
    for server in 0..3 {
        house.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    house.says("\"draining\":3", 1).await;
    house.restart(0).await;
    for i in 0..20 {
        assert_eq!(house.ask(&format!("s{i}"), FREE).await.status, 200);
    }
    assert!(house.set_ups().iter().all(|server| *server == 3), "{:?}", house.set_ups());
    house.kept();
}

#[tokio::test]
async fn a_cold_servers_pace_holds_over_kills() {
    let mut day = day();
    day["fleet"]["streams"] = json!(24);
    let mut house = House::of(day).await;
    house.all_start_cold().await;
    for round in 0..3 {
        let mut asking = Vec::new();
        for i in 0..40 {
            asking.push(house.ask_at(0, &format!("s{round}-{i}"), FREE).await);
        }
        let so_far = set_ups(&house.log.observations());
        house.until("plays at their pace", |seen| set_ups(seen) > so_far).await;
        house.restart(0).await;
        asking.into_iter().for_each(|one| house.log.record(one.cut()));
    }
    assert!(house.boxes.model().servers.iter().all(|s| !s.faults.down), "none was pushed over");
    house.kept();
}

#[tokio::test]
async fn a_front_that_starts_with_an_old_list_rushes_no_server_that_started_meanwhile() {
    let mut day = day();
    day["fleet"]["streams"] = json!(24);
    let mut house = House::of(day).await;
    // All start anew, and the list has yet to tell.
    for server in 0..4 {
        house.boxes.stop(server);
        house.boxes.restart(server, true);
    }
    house.restart(0).await;
    assert!(house.crowd(60, FREE).await > 0, "they take plays at their pace");
    house.kept();
}

/// Runs a second front by hand, by a rundown beside the first one's, to its end; what it wrote to its log.
async fn second_front(house: &House, change: impl Fn(&mut Value)) -> (bool, String) {
    let text = std::fs::read_to_string(house.folder().join("front-0.json")).expect("the rundown");
    let mut rundown: Value = serde_json::from_str(&text).expect("it reads");
    change(&mut rundown);
    let file = house.folder().join("second.json");
    replace(&file, rundown.to_string()).expect("a rundown beside");
    let child = tokio::process::Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"))
        .args(["--log", "json", "run"])
        .arg(&file)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let out = child.await.expect("it runs and ends");
    (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
}

#[test_case(|_, r| r["list"] = json!("half.json"), "half.json"; "a list half there")]
#[test_case(|_, r| r["keys"] = json!("half.json"), "half.json"; "keys half there")]
#[test_case(|_, r| r["list"] = json!("nowhere.json"), "can't be read"; "no list")]
#[test_case(|h, r| r["listen"] = json!(h.at[0]), "can't be had"; "a port still held")]
#[tokio::test]
async fn a_front_that_can_not_start_says_why_and_harms_nobody(change: fn(&House, &mut Value), says: &str) {
    let house = House::open().await;
    let list = std::fs::read_to_string(house.folder().join("list.json")).expect("the list");
    std::fs::write(house.folder().join("half.json"), &list[..list.len() / 2]).expect("half a file");
    let (ended_well, log) = second_front(&house, |rundown| change(&house, rundown)).await;
    assert!(!ended_well && log.contains(says) && !log.contains("panicked"), "{log}");
    assert_eq!(house.ask("s", FREE).await.status, 200, "the first one plays on");
    house.kept();
}

#[tokio::test]
async fn a_front_told_to_stop_writes_out_what_it_has_answered() {
    let mut day = patient();
    // The whole segment waits in the front, and its server has long been done.
    day["limits"] = json!({ "send_buffer_bytes": 8192, "relay_bytes": 1_000_000 });
    let house = House::of(day).await;
    let base = base(&house.ask("s", FREE).await);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut slow = HttpPeer::new(socket.connect(house.at[0]).await.expect("a connection"));
    slow.write(get(&format!("{base}0/2.m4s")).as_bytes()).await.expect("a request");
    let left = format!("DELETE {base} HTTP/1.1\r\nHost: f\r\n\r\n");
    slow.stream.read_exact(&mut [0; 16]).await.expect("it has begun");
    // Its server has sent it whole once a further one, which comes after it, is there.
    assert_eq!(house.get(&format!("{base}0/3.m4s")).await.status, 200);
    assert_eq!(house.send(&left).await.expect("an answer").status, 200);
    house.signal(0, "-TERM").await;
    house.says("stopping: no new plays", 1).await;
    let ended = house.fronts.ended(0);
    let read = async {
        let mut rest = Vec::new();
        // The front must still be there to write it: it is not read before that shows.
        while !house.log_of(0).contains("stopped") && rest.len() < 200_000 {
            let mut part = [0; 2048];
            match slow.stream.read(&mut part).await {
                Ok(n) if n > 0 => rest.extend_from_slice(&part[..n]),
                _ => break,
            }
        }
        let _ = slow.stream.read_to_end(&mut rest).await;
        rest
    };
    let (ended, rest) = tokio::join!(ended, read);
    let body = rest.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    assert!(content::parse(&rest[body..]).is_some_and(|c| c.intact && c.number == 2), "{} bytes", rest.len());
    assert!(ended, "and then it ends, and well");
    house.kept();
}

// ---- the log ----

/// A day whose fronts write their sums often.
fn telling() -> Value {
    let mut day = day();
    day["limits"] = json!({ "tally_ms": 50 });
    day
}

/// A log that is read up to 4 kB, and on once the file `go` stands in the folder.
const SLOW_READER: &str = r#"for last; do :; done; d=$(dirname "$last"); mkfifo "$d/p"
    { dd bs=1 count=4000 status=none; n=0; while [ ! -e "$d/go" ] && [ $n -lt 1200 ]; do sleep 0.05; n=$((n+1)); done; cat; } <"$d/p" >&2 &
    exec 2>"$d/p"; set -- --log-lines 16 "$@""#;

/// A log whose reader goes away after 4 kB.
const GONE_READER: &str = r#"for last; do :; done; d=$(dirname "$last"); mkfifo "$d/p"
    dd bs=1 count=4000 status=none <"$d/p" >&2 &
    exec 2>"$d/p""#;

async fn burst(house: &House, plays: usize) -> (u64, u64) {
    let (mut played, mut declined) = (0, 0);
    for i in 0..plays {
        house.ail(|a| a.errors = if i % 2 == 0 { 1.0 } else { 0.0 });
        match house.ask(&format!("s{i}"), FREE).await.status {
            200 => played += 1,
            503 => declined += 1,
            other => panic!("answered {other}"),
        }
    }
    house.ail(|a| a.errors = 0.0);
    (played, declined)
}

#[tokio::test]
async fn what_a_slow_reader_of_the_log_missed_is_in_the_sums() {
    let house = House::within(telling(), SLOW_READER).await;
    let (played, declined) = burst(&house, 1200).await;
    std::fs::write(house.folder().join("go"), "").expect("the reader goes on");
    let number = |name: &str| house.tally(0).get(name).and_then(Value::as_u64).unwrap_or(0);
    house.until_true("the sums of all of it", || number("taken") == 1200).await;
    assert!(number("lines_dropped") > 0, "lines were dropped, and that is told");
    assert_eq!((number("played"), number("declined")), (played, declined));
    assert_eq!(
        number("taken"),
        ["played", "declined", "failed", "left", "deciding"].map(number).iter().sum::<u64>()
    );
    assert_eq!(number("allocations") as usize, house.set_ups().len(), "as servers saw them");
    house.kept();
}

#[test_case(GONE_READER; "its reader is gone")]
#[test_case("ulimit -f 8"; "its file may not grow")]
#[tokio::test]
async fn a_log_that_can_not_be_written_stops_nobody(word: &str) {
    let house = House::within(telling(), word).await;
    burst(&house, 200).await;
    assert!(house.log_of(0).len() <= 4096, "the log has come to its end");
    let last = house.ask("last", FREE).await;
    assert_eq!(house.get(&format!("{}0/1.m4s", base(&last))).await.status, 200);
    house.signal(0, "-TERM").await;
    let left = format!("DELETE {} HTTP/1.1\r\nHost: f\r\n\r\n", base(&last));
    let _ = house.send(&left).await;
    assert!(house.fronts.ended(0).await, "it ends by itself, and well");
    house.kept();
}

#[tokio::test]
async fn half_a_thousand_half_requests_in_little_memory() {
    let house = House::within(day(), "ulimit -v 400000").await;
    let mut held = Vec::new();
    let half = format!("GET /v1/free/{}", "x".repeat(8000));
    for _ in 0..500 {
        let mut peer = HttpPeer::new(TcpStream::connect(house.at[0]).await.expect("a connection"));
        peer.write(half.as_bytes()).await.expect("it is taken");
        held.push(peer);
    }
    assert_eq!(house.ask("s", FREE).await.status, 200);
    house.kept();
}
