//! The most that one play can cause, with every layer that repeats provoked at once: players that ask twice and come
//! back, fronts that hold the same session, the decisions' further allocations, and reads of segments taken up again.
//! Counted on the servers' sockets. `docs/review-of-parts.md` has the table that this holds the program to.

mod house;

use house::{House, base, day};
use pulleystair_rule_checker::Observed;
use serde_json::json;

const FREE: usize = 0;
const PAID: usize = 1;
const ALLOCATIONS: usize = 3;
const TRIES: usize = 2;

/// Set-ups of a session, as servers read them.
fn set_ups(house: &House, of: &str) -> usize {
    let seen = house.log.observations();
    seen.iter().filter(|s| matches!(&s.what, Observed::SetUp { session, .. } if session == of)).count()
}

fn segments_read(house: &House) -> usize {
    house.boxes.model().servers.iter().map(|s| s.segments_read).sum()
}

/// Asked for four times at once at each front, by players that wait, and twice more when they have been answered.
async fn ask_everywhere(house: &House, session: &str, product: usize) -> Vec<u16> {
    let mut asking = Vec::new();
    for n in 0..8 {
        asking.push(house.ask_at(n % 2, session, product).await);
    }
    let mut told = Vec::new();
    for one in asking {
        told.push(one.answer().await.status);
    }
    for n in 0..4 {
        told.push(house.ask_at(n % 2, session, product).await.answer().await.status);
    }
    told
}

#[tokio::test]
async fn the_most_allocations_and_reads_that_one_play_can_cause() {
    let mut day = day();
    day["fronts"] = json!(2);
    day["limits"] = json!({ "keys_poll_ms": 20 });
    day["rules"]["allocations"] = json!(ALLOCATIONS);
    day["reads"] = json!({ "tries": TRIES, "free": 100 });
    let house = House::of(day).await;
    for front in 0..2 {
        house.until_true("the homes are known", || house.log_of(front).contains("homes taken")).await;
    }
    house.ail(|a| a.errors = 1.0);
    // May be set up again: as often as the decisions may, at each front that is asked.
    let told = ask_everywhere(&house, "free", FREE).await;
    assert!(told.iter().all(|status| *status == 503), "{told:?}");
    assert_eq!(set_ups(&house, "free"), 2 * ALLOCATIONS);
    // May not: once in all, whoever is asked and however often.
    let told = ask_everywhere(&house, "paid", PAID).await;
    assert!(told.iter().all(|status| [307, 502].contains(status)), "{told:?}");
    assert_eq!(set_ups(&house, "paid"), 1);
    // A play that runs, and whose server then sends half of every segment.
    house.ail(|a| (a.errors, a.cut) = (0.0, 1.0));
    let manifest = house.ask("plays", FREE).await;
    let before = segments_read(&house);
    for asked in 1..=3 {
        assert!(
            house.send(&house::get(&format!("{}0/1.m4s", base(&manifest)))).await.is_none(),
            "it came short"
        );
        assert_eq!(
            segments_read(&house) - before,
            asked * TRIES,
            "reads of one segment, asked for {asked} times"
        );
        assert_eq!(house.ask("plays", FREE).await.status, 200, "and the manifest meanwhile");
    }
    assert_eq!(set_ups(&house, "plays"), 1, "no read, and no asking again, sets it up anew");
    house.kept();
}

/// What the decisions chose is what the sockets show: a play's reads go to the server of its set-up and nowhere else, on
/// the rung that it was set up on or a lower one, of its own title and product.
#[tokio::test]
async fn nothing_between_the_decisions_and_the_sockets_chooses_again() {
    let house = House::open().await;
    for n in 0..12 {
        let (session, product) = (format!("s{n}"), n % 2);
        let before: Vec<usize> = house.boxes.model().servers.iter().map(|s| s.segments_read).collect();
        let manifest = house.ask(&session, product).await;
        let seen = house.log.observations();
        let (server, rung) = seen
            .iter()
            .rev()
            .find_map(|s| match &s.what {
                Observed::SetUp { server, rung, session: of, product: sold, title, .. } if *of == session => {
                    assert_eq!((*sold, title), (product, &house.titles[product].name));
                    Some((*server, *rung))
                }
                _ => None,
            })
            .expect("it was set up");
        for asked in 0..2 {
            let segment = house.get(&format!("{}{asked}/1.m4s", base(&manifest))).await;
            let got = pulleystair_fake_servers::content::parse(&segment.body).expect("a segment");
            assert!(got.intact && got.title == house.titles[product].name);
            assert_eq!(got.rung, asked.min(rung));
        }
        let after: Vec<usize> = house.boxes.model().servers.iter().map(|s| s.segments_read).collect();
        let elsewhere = (0..4).filter(|s| *s != server && after[*s] != before[*s]).count();
        assert_eq!((after[server] - before[server], elsewhere), (2, 0));
    }
    house.kept();
}
