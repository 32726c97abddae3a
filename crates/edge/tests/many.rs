//! Many fronts as processes that share, with faults between them: every word that they exchange goes over relays on
//! loopback, which drop, delay, double, reorder and split. What holds is asserted on what servers saw on their sockets,
//! and on what fronts say when asked.

mod company;
mod house;

use company::{Fake, at_fronts, from_title, plays, sharing, stalls, told, until};
use house::House;
use pulleystair_lab::fronts::Program;
use pulleystair_rule_checker::Observed;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

const FREE: usize = 0;

fn edge() -> Program {
    let mut it = Program::edge(env!("CARGO_BIN_EXE_pulleystair-edge").into());
    it.words[3] = "info,play=debug".into();
    it
}

/// Servers of another zone cost nothing, so that all are used.
fn one_price(folder: &Path, fronts: usize) {
    (0..fronts).for_each(|f| company::change_rundown(folder, f, |it| it["prices"]["cross_zone"] = json!(0)));
}

fn names(told: &Value, which: impl Fn(&Value) -> bool) -> Vec<String> {
    let all = told["servers"].as_array().into_iter().flatten().filter(|s| which(s));
    let mut names: Vec<String> = all.map(|s| s["server"].as_str().expect("a name").to_string()).collect();
    names.sort();
    names
}

fn doubted(told: &Value) -> Vec<String> {
    names(told, |s| s["doubted"] == true)
}

fn paces(house: &House, fronts: std::ops::Range<usize>) -> Vec<f64> {
    fronts.map(|front| told(house, front)["servers"][0]["pace"].as_f64().expect("a pace")).collect()
}

/// All fronts hear each other, and know what they have lent.
async fn acquainted(house: &House, fronts: usize, lend: f64) {
    until("all hear each other", || {
        (0..fronts).all(|f| told(house, f)["unheard"].as_array().is_some_and(Vec::is_empty))
    })
    .await;
    sleep(Duration::from_secs_f64(lend * 1.1 / 1000.0)).await;
}

// ---- 1: a budget that holds ----

const STREAMS: u32 = 500;
const COLD: f64 = 9_000.0;

/// What all fronts together may send the cold server in a window that begins and ends so long after its start: the whole
/// pace over it, and one play each that had its turn.
fn whole(fronts: usize, from: f64, to: f64) -> f64 {
    let pace = |at: f64| f64::from(STREAMS) / COLD * (0.3 + 0.7 * (at / COLD).clamp(0.0, 1.0)) * 2.5 * 0.6;
    (to - from) * pace(to) + fronts as f64
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_cold_server_gets_no_more_than_the_whole_whatever_befalls_the_exchange() {
    let _alone = company::alone().await;
    let mut day = sharing(8, 1);
    day["sharing"]["lend_ms"] = json!(1_200);
    day["fleet"]["streams"] = json!(STREAMS);
    day["rules"]["cold_ms"] = json!(COLD);
    day["products"][FREE]["time_limit_ms"] = json!(15_000);
    day["products"][FREE]["first_frame_target_ms"] = json!(14_000);
    let mut house = House::some(day, edge(), 8, |_, _| {}).await;
    acquainted(&house, 8, 1_200.0).await;
    let between = house.fronts.between.clone().expect("they share");
    house.stage.restart(0);
    let started = house.log.now();
    // A crowd at two fronts: the others' parts are lent.
    let mut waiting = at_fronts(&house, "first", &[0, 1], 120).await;
    until("parts are lent", || paces(&house, 0..2).iter().all(|p| *p > 1.5)).await;
    let lent = paces(&house, 2..8);
    assert!(lent.iter().all(|p| (0.25..1.0).contains(p)), "{lent:?}");
    // Nobody hears anybody, then half of them are killed and come back.
    between.split(|front| front == 0);
    until("front 0 has its own part alone", || paces(&house, 0..1) == [1.0]).await;
    let deaf = house.log.now();
    until("it goes on unaided", || {
        let seen = house.log.observations();
        seen.iter().filter(|s| s.at > deaf && matches!(s.what, Observed::SetUp { .. })).count() >= 6
    })
    .await;
    between.change(|from, to, way| {
        (way.open, way.lost, way.doubled, way.late_ms) = (from != 3 || to != 0, 0.2, 0.2, 10.0)
    });
    for front in 4..8 {
        house.restart(front).await;
    }
    waiting.extend(at_fronts(&house, "second", &[0, 1, 2, 3, 4, 5, 6, 7], 12).await);
    until("the server is warm", || house.log.now() > started + COLD + 500.0).await;
    drop(waiting);
    let sent: Vec<f64> = house
        .log
        .observations()
        .iter()
        .filter(|s| s.at >= started && matches!(s.what, Observed::SetUp { .. }))
        .map(|s| s.at - started)
        .filter(|at| *at < COLD)
        .collect();
    assert!(sent.len() > 100, "{} set-ups", sent.len());
    for length in [250.0, 1_000.0, 3_000.0] {
        for from in &sent {
            let count = sent.iter().filter(|at| (*from..*from + length).contains(*at)).count() as f64;
            let most = whole(8, *from, from + length);
            assert!(count <= most, "{count} of {most:.1} in {length} ms from {from:.0}");
        }
    }
    house.kept();
}

// ---- 2: who is doubted ----

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_server_that_fails_at_two_fronts_only_is_doubted_by_no_other() {
    let _alone = company::alone().await;
    let stalled = stalls();
    let house = House::some(sharing(5, 4), edge(), 5, |set, folder| {
        (0..2).for_each(|front| company::cut(set, folder, front, &[(0, stalled.at)]));
    })
    .await;
    acquainted(&house, 5, 0.0).await;
    plays(&house, "a", &[0, 1, 2, 3, 4], 14).await;
    until("words have gone round", || {
        (0..5).all(|f| told(&house, f)["exchange"]["taken"].as_u64() > Some(40))
    })
    .await;
    for front in 0..5 {
        assert_eq!((front, doubted(&told(&house, front))), (front, vec![]));
    }
}

/// Three of eight say that every server fails. While the others are served nobody is doubted; once none has anything to
/// say, no more than a quarter of the links, and the first play that is served there takes it back.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn three_that_lie_cost_a_part_until_somebody_is_served() {
    let _alone = company::alone().await;
    let house = House::some(sharing(8, 8), edge(), 5, |_, _| {}).await;
    let liars: Vec<Fake> = (5..8).map(|front| Fake::start(&house, front, "here", Fake::fails_all)).collect();
    acquainted(&house, 5, 0.0).await;
    plays(&house, "a", &[0, 1, 2, 3, 4], 30).await;
    // What each was served the others have heard by then.
    let taken = |f| told(&house, f)["exchange"]["taken"].as_u64().unwrap_or(0);
    let served: Vec<u64> = (0..5).map(taken).collect();
    until("words of that have gone round", || (0..5).all(|f| taken(f) >= served[f] + 24)).await;
    let honest = (0..5).filter(|f| doubted(&told(&house, *f)).is_empty()).count();
    assert_eq!(honest, 5, "outvoted by those that were served");
    until("words of the honest are old", || doubted(&told(&house, 0)).len() == 2).await;
    let at = doubted(&told(&house, 0));
    // Eight servers of one size; titles with four holders.
    assert_eq!(at.len(), 2);
    let mut n = 0;
    while doubted(&told(&house, 0)).iter().any(|s| at.contains(s)) {
        n += 1;
        assert!(n < 60, "never taken back");
        from_title(&house, &format!("b{n}"), 4 * n, &[0], 4).await;
    }
    drop(liars);
    house.kept();
}

/// Zone north can't reach south's servers. North's fronts infer that south is lost to them; south's doubt none.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_zone_that_is_cut_from_the_other_is_lost_to_that_one_alone() {
    let _alone = company::alone().await;
    let stalled = stalls();
    let mut day = sharing(6, 8);
    day["zones"] = json!(["north", "south"]);
    let south: Vec<_> = [1, 3, 5, 7].map(|server| (server, stalled.at)).to_vec();
    let house = House::some(day, edge(), 6, |set, folder| {
        one_price(folder, 6);
        [0, 2, 4].iter().for_each(|front| company::cut(set, folder, *front, &south));
    })
    .await;
    acquainted(&house, 6, 0.0).await;
    let (mut north, mut n) = (0, 0);
    while north < 3 {
        n += 1;
        assert!(n < 20, "never inferred: {north}");
        from_title(&house, &format!("c{n}"), 3 * n, &[0, 1, 2, 3, 4, 5], 3).await;
        let lost: Vec<Value> = (0..6).map(|f| told(&house, f)["zone_lost"].clone()).collect();
        north = [0, 2, 4].iter().filter(|f| lost[**f] == "south").count();
        for front in [1, 3, 5] {
            assert_eq!((front, &lost[front], doubted(&told(&house, front))), (front, &Value::Null, vec![]));
        }
    }
    assert_eq!(doubted(&told(&house, 0)), ["m1", "m3", "m5", "m7"]);
    [0, 2, 4].iter().for_each(|front| company::mend(&house, *front));
    let mut n = 0;
    while (0..6).any(|f| !told(&house, f)["zone_lost"].is_null()) {
        n += 1;
        assert!(n < 40, "never taken back");
        from_title(&house, &format!("d{n}"), 3 * n, &[0, 2, 4], 3).await;
    }
    house.kept();
}

// ---- 3: a zone is lost ----

/// Time-outs of each front while half of the servers are silent.
async fn time_outs(shares: bool) -> Vec<usize> {
    let mut day = sharing(6, 8);
    day["zones"] = json!(["north", "south"]);
    // What is doubted is tried seldom.
    day["fleet"]["streams"] = json!(40);
    day["rules"]["cold_ms"] = json!(3_000);
    if !shares {
        day["sharing"] = Value::Null;
    }
    let house = House::some(day, edge(), 6, |_, folder| one_price(folder, 6)).await;
    if shares {
        acquainted(&house, 6, 0.0).await;
    }
    // The list at start counts as old, and all on it as cold.
    sleep(Duration::from_millis(3_000)).await;
    plays(&house, "a", &[0, 1, 2, 3, 4, 5], 6).await;
    for server in [1, 3, 5, 7] {
        house.boxes.model().servers[server].faults.silent = true;
    }
    // One after the other, as in thin traffic.
    for n in 0..14 {
        from_title(&house, &format!("b{n}"), n, &[0, 1, 2, 3, 4, 5], 1).await;
    }
    house.kept();
    (0..6).map(|front| house.log_of(front).matches("TimedOut").count()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_lost_zone_costs_fewer_time_outs_where_fronts_share() {
    let _alone = company::alone().await;
    let (alone, together) = (time_outs(false).await, time_outs(true).await);
    println!("time-outs of each front, alone {alone:?}, together {together:?}");
    let (alone, together) = (alone.iter().sum::<usize>(), together.iter().sum::<usize>());
    assert!(alone > 12 && together * 3 < alone * 2, "{together} of {alone}");
}

// ---- 5: what other holders would have taken ----

async fn estimates(slower: f64) -> (House, Vec<Value>) {
    let mut day = sharing(8, 4);
    day["zones"] = json!(["north", "south"]);
    day["sharing"]["bucket_ms"] = json!(600_000);
    let house = House::some(day, edge(), 8, |_, _| {}).await;
    acquainted(&house, 8, 0.0).await;
    // Work of 5 ms, and so many times that.
    house.boxes.model().servers[1].faults.slow = 1.0 + slower / 5.0;
    for n in 0..8 {
        plays(&house, &format!("p{n}"), &[0, 1, 2, 3, 4, 5, 6, 7], 8).await;
    }
    until("all plays are known to all", || {
        (0..8).all(|front| told(&house, front)["whatif"]["plays"].as_u64() >= Some(480))
    })
    .await;
    let said = (0..8).map(|front| told(&house, front)["whatif"].clone()).collect();
    (house, said)
}

fn slow(whatif: &Value) -> Vec<String> {
    let all = whatif["servers"].as_array().into_iter().flatten().filter(|s| s["slow"] == true);
    all.map(|s| s["server"].as_str().expect("a name").to_string()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_slower_server_is_named_by_every_front_and_by_none_that_hears_half() {
    let _alone = company::alone().await;
    let (house, said) = estimates(60.0).await;
    for whatif in &said {
        assert_eq!(slow(whatif), ["m1"], "{whatif}");
        let of = whatif["servers"].as_array().and_then(|all| all.iter().find(|s| s["server"] == "m1"));
        let more = &of.expect("it is known")["more"];
        let (low, mean, high) =
            (more["low"].as_f64().unwrap(), more["mean"].as_f64().unwrap(), more["high"].as_f64().unwrap());
        // As the stand-ins know it; sockets and sleeps add a few ms.
        assert!(low - 8.0 <= 60.0 && 60.0 <= high + 8.0 && mean > 40.0, "{more}");
        assert_eq!((whatif["over"]["heard"].as_u64(), whatif["undecided"].as_bool()), (Some(8), Some(false)));
    }
    let between = house.fronts.between.clone().expect("they share");
    between.split(|front| front < 4);
    until("half are unheard", || told(&house, 0)["unheard"].as_array().is_some_and(|u| u.len() == 4)).await;
    let half = told(&house, 0)["whatif"].clone();
    assert_eq!((half["undecided"].as_bool(), slow(&half)), (Some(true), vec![]));
    assert!(half["policies"].as_array().is_some_and(|all| all.iter().all(|p| p["robust"].is_null())));
    between.heal();
    until("all say so again", || slow(&told(&house, 0)["whatif"]) == ["m1"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn a_fleet_without_a_difference_says_none() {
    let _alone = company::alone().await;
    for whatif in estimates(0.0).await.1 {
        assert_eq!((slow(&whatif), &whatif["better"]), (vec![], &Value::Null), "{whatif}");
    }
}
