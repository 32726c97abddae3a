//! Fronts broken on purpose, one for each rule: the real front, told other terms than those it is held to. Each must be
//! found to break that rule and no other by what its players and servers saw; a checker that passes one of them is
//! worth nothing.

mod house;

use house::{House, day};
use pulleystair_lab::environment::ListedState;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::time::Duration;
use test_case::test_case;

const FREE: usize = 0;
const PAID: usize = 1;

/// A front whose rundown is changed by this word of sed before it starts.
async fn told(day: Value, otherwise: &str) -> House {
    House::within(day, &format!("for last; do :; done; sed -i '{otherwise}' \"$last\"")).await
}

async fn late_answers() -> House {
    let house = told(day(), "s/\"time_limit_ms\": 1500/\"time_limit_ms\": 3000/").await;
    house.ail(|a| a.silent = true);
    house.ask("s", FREE).await;
    house
}

async fn paid_twice() -> House {
    let house = told(day(), "s/\"non_idempotent\"/\"read_like\"/").await;
    house.ail(|a| a.errors = 1.0);
    house.ask("s", PAID).await;
    house
}

async fn deaf_to_drains() -> House {
    let mut day = day();
    day["limits"] = json!({ "list_poll_ms": 300 });
    let deaf = "s/\"drain_grace_ms\": 400/\"drain_grace_ms\": 900000/; s/\"list_poll_ms\": 300/\"list_poll_ms\": 900000/";
    let house = told(day, deaf).await;
    for server in 0..4 {
        house.stage.list(server, ListedState::Draining { started: 0.0 });
    }
    // The grace, and what may be seen late: the rule's own time.
    tokio::time::sleep(Duration::from_millis(700)).await;
    house.ask("s", FREE).await;
    house
}

async fn rushes_the_cold() -> House {
    let mut day = day();
    day["fleet"]["streams"] = json!(24);
    let house = told(day, "s/\"cold_ms\": 3000/\"cold_ms\": 1/").await;
    for server in 0..4 {
        house.boxes.stop(server);
        house.stage.restart(server);
    }
    house.says("list taken", 2).await;
    // Until then a front may not have read what it was told: the check's own time.
    tokio::time::sleep(Duration::from_millis(300)).await;
    house.crowd(100, FREE).await;
    house
}

async fn under_the_floor() -> House {
    let mut day = day();
    day["fleet"]["link_kb"] = json!(15.0);
    day["products"][FREE]["floor"] = json!(1);
    let house = told(day, "s/\"floor\": 1/\"floor\": 0/").await;
    house.ask("s", FREE).await;
    house
}

async fn over_the_budget() -> House {
    let mut day = day();
    day["rules"]["budget"] = json!({ "span_ms": 5000, "share": 0, "free": 0 });
    let house = told(day, "s/\"free\": 0/\"free\": 50/").await;
    house.ail(|a| a.errors = 1.0);
    house.ask("s", FREE).await;
    house
}

#[test_case(1; "answers late")]
#[test_case(2; "sends a paid set-up again")]
#[test_case(3; "does not hear of drains")]
#[test_case(4; "rushes cold servers")]
#[test_case(5; "goes under the floor")]
#[test_case(6; "knows no budget")]
#[tokio::test]
async fn a_front_broken_on_purpose_is_found_out(rule: u8) {
    let house = match rule {
        1 => late_answers().await,
        2 => paid_twice().await,
        3 => deaf_to_drains().await,
        4 => rushes_the_cold().await,
        5 => under_the_floor().await,
        _ => over_the_budget().await,
    };
    let history =
        house.history(&format!("the real front, told other terms than those of rule {rule}"), &[rule]);
    let verdict = history.verdict();
    assert_eq!(verdict.rules().into_iter().collect::<Vec<u8>>(), [rule], "{:?}", verdict.breaches);
    keep(&history, &format!("broken-{rule}"));
}

/// With `PULLEYSTAIR_HISTORIES` set to a folder, the history is written there, to be kept in `crates/rule-checker/histories`.
fn keep(history: &pulleystair_rule_checker::history::History, name: &str) {
    if let Some(folder) = std::env::var_os("PULLEYSTAIR_HISTORIES") {
        let file = std::path::Path::new(&folder).join(format!("{name}.jsonl"));
        std::fs::write(file, history.to_text().expect("a history is plain")).expect("it is written");
    }
}

#[tokio::test]
async fn a_front_that_is_killed_between_two_plays_breaks_nothing() {
    let mut house = House::open().await;
    house.ail(|a| a.errors = 0.5);
    for i in 0..10 {
        house.ask(&format!("before-{i}"), i % 2).await;
    }
    house.ail(|a| (a.silent, a.errors) = (true, 0.0));
    let asking = house.ask_at(0, "out", PAID).await;
    house
        .until(
            "its set-up",
            |seen| matches!(seen.last(), Some(s) if matches!(s.what, Observed::SetUp { .. })),
        )
        .await;
    house.restart(0).await;
    house.log.record(asking.cut());
    house.ail(|a| a.silent = false);
    for i in 0..10 {
        house.ask(&format!("after-{i}"), i % 2).await;
    }
    let history = house.history("a front killed with a paid set-up out, and started again", &[]);
    let verdict = history.verdict();
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    assert!(verdict.covered.set_ups > 15 && verdict.covered.further > 0, "{:?}", verdict.covered);
    keep(&history, "stop");
}
