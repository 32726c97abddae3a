//! A front that is told to stop: what it holds is finished, within its time.

mod house;

use house::{House, base, day, set_ups};
use serde_json::json;
use std::time::Duration;

const FREE: usize = 0;
const PAID: usize = 1;

async fn says_that_it_stops(house: &House) {
    house.until_true("it says so", || house.log_of(0).contains("stopping: no new plays")).await;
}

async fn signal(house: &House) {
    house.signal(0, "-TERM").await;
}

#[tokio::test]
async fn a_front_that_is_told_to_stop_finishes_what_it_holds() {
    let house = House::open().await;
    let manifest = house.ask("s", FREE).await;
    house.ail(|a| a.slow = 60.0);
    let waiting = house.ask_at(0, "waits", FREE).await;
    house.until("its set-up", |seen| set_ups(seen) == 2).await;
    signal(&house).await;
    says_that_it_stops(&house).await;
    assert_eq!(house.get(&house.manifest("new", FREE)).await.status, 503);
    let held = waiting.answer().await;
    assert_eq!(held.status, 200, "what it had taken is answered");
    for play in [&manifest, &held] {
        let base = base(play);
        assert_eq!(house.get(&format!("{base}0/1.m4s")).await.status, 200, "and plays on");
        let left = format!("DELETE {base} HTTP/1.1\r\nHost: f\r\n\r\n");
        assert_eq!(house.send(&left).await.unwrap().status, 200);
    }
    assert!(house.fronts.ended(0).await, "it ends by itself, and well");
    house.kept();
}

#[tokio::test]
async fn plays_in_hand_get_a_final_answer_when_the_time_to_stop_is_up_and_a_second_signal_ends_at_once() {
    let mut day = day();
    day["limits"] = json!({ "stop_ms": 100 });
    let house = House::of(day.clone()).await;
    house.ail(|a| a.silent = true);
    let waiting = house.ask_at(0, "waits", FREE).await;
    let paid = house.ask_at(0, "paid", PAID).await;
    house.until("their set-ups", |seen| set_ups(seen) == 2).await;
    signal(&house).await;
    let answer = waiting.answer().await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, Some("1")), "it may be asked for again");
    assert!([502, 504].contains(&paid.answer().await.status), "it may have run");
    assert!(house.fronts.ended(0).await);
    house.kept();

    day["limits"] = json!({ "stop_ms": 600_000 });
    let house = House::of(day).await;
    assert_eq!(house.ask("s", FREE).await.status, 200);
    signal(&house).await;
    says_that_it_stops(&house).await;
    signal(&house).await;
    let ended = tokio::time::timeout(Duration::from_secs(30), house.fronts.ended(0)).await;
    assert_eq!(ended, Ok(true), "ten minutes were not waited for");
}
