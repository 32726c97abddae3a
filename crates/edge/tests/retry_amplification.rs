//! The maximum number of set-ups and segment reads that one play can cause, with each layer made to retry: players that
//! request twice and come back, fronts that hold the same session, further allocations of the placement logic, and resumed
//! reads of segments. Both are counted at the servers. `docs/review-of-parts.md` has the table of the maxima that this checks.

mod test_fleet;

use pulleystair_rule_checker::Observed;
use serde_json::json;
use test_fleet::{TestFleet, base_scenario, segment_base_url};

const FREE: usize = 0;
const PAID: usize = 1;
const ALLOCATIONS: usize = 3;
const READ_TRIES: usize = 2;

/// Number of set-ups of a session that servers have read.
fn session_set_ups(fleet: &TestFleet, expected_session: &str) -> usize {
    let seen = fleet.recorder.observations();
    seen.iter()
        .filter(|s| matches!(&s.what, Observed::SetUp { session, .. } if session == expected_session))
        .count()
}

/// Number of segment requests that all servers have read.
fn total_segments_read(fleet: &TestFleet) -> usize {
    fleet.servers.model().servers.iter().map(|s| s.segments_read).sum()
}

/// Requests the manifest of a session four times concurrently at each of two fronts and, after the responses, twice more at
/// each, one after the other; returns the 12 statuses.
async fn request_repeatedly(fleet: &TestFleet, session: &str, product: usize) -> Vec<u16> {
    let mut pending = Vec::new();
    for n in 0..8 {
        pending.push(fleet.send_manifest_request(n % 2, session, product).await);
    }
    let mut statuses = Vec::new();
    for request in pending {
        statuses.push(request.response().await.status);
    }
    for n in 0..4 {
        statuses.push(fleet.send_manifest_request(n % 2, session, product).await.response().await.status);
    }
    statuses
}

#[tokio::test]
async fn allocations_and_reads_per_play_stay_at_their_maximum() {
    let mut scenario = base_scenario();
    scenario["fronts"] = json!(2);
    scenario["limits"] = json!({ "keys_poll_ms": 20 });
    scenario["rules"]["allocations"] = json!(ALLOCATIONS);
    scenario["reads"] = json!({ "tries": READ_TRIES, "free": 100 });
    let fleet = TestFleet::start_with(scenario).await;
    for front in 0..2 {
        fleet
            .wait_until("the front knows the homes", || fleet.front_log(front).contains("homes taken"))
            .await;
    }
    fleet.set_faults(|faults| faults.errors = 1.0);
    // A free play: at each requested front, as many set-ups as the setting `allocations` permits.
    let statuses = request_repeatedly(&fleet, "free", FREE).await;
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    assert_eq!(session_set_ups(&fleet, "free"), 2 * ALLOCATIONS);
    // A paid play: one set-up in all, whichever front is requested and however often.
    let statuses = request_repeatedly(&fleet, "paid", PAID).await;
    assert!(statuses.iter().all(|status| [307, 502].contains(status)), "{statuses:?}");
    assert_eq!(session_set_ups(&fleet, "paid"), 1);
    // A running play whose server then sends half of every segment.
    fleet.set_faults(|faults| (faults.errors, faults.cut) = (0.0, 1.0));
    let manifest = fleet.fetch_manifest("plays", FREE).await;
    let reads_before = total_segments_read(&fleet);
    for request_count in 1..=3 {
        assert!(
            fleet
                .send_raw(&test_fleet::get_request(&format!("{}0/1.m4s", segment_base_url(&manifest))))
                .await
                .is_none(),
            "the segment is incomplete"
        );
        assert_eq!(
            total_segments_read(&fleet) - reads_before,
            request_count * READ_TRIES,
            "reads of one segment, requested {request_count} times"
        );
        assert_eq!(fleet.fetch_manifest("plays", FREE).await.status, 200, "the manifest is still served");
    }
    assert_eq!(
        session_set_ups(&fleet, "plays"),
        1,
        "neither reads nor repeated requests set the play up again"
    );
    fleet.assert_rules_kept();
}

/// Reads of a play go only to the server that the placement logic chose for its set-up, on the rung of the set-up or a lower
/// one, and for its title and product.
#[tokio::test]
async fn reads_use_the_server_rung_and_title_of_the_set_up() {
    let fleet = TestFleet::start().await;
    for n in 0..12 {
        let (session, product) = (format!("s{n}"), n % 2);
        let reads_before: Vec<usize> =
            fleet.servers.model().servers.iter().map(|s| s.segments_read).collect();
        let manifest = fleet.fetch_manifest(&session, product).await;
        let seen = fleet.recorder.observations();
        let (server, rung) = seen
            .iter()
            .rev()
            .find_map(|s| match &s.what {
                Observed::SetUp {
                    server,
                    rung,
                    session: actual_session,
                    product: actual_product,
                    title,
                    ..
                } if *actual_session == session => {
                    assert_eq!((*actual_product, title), (product, &fleet.titles[product].name));
                    Some((*server, *rung))
                }
                _ => None,
            })
            .expect("the play was set up");
        for requested_rung in 0..2 {
            let segment = fleet.get(&format!("{}{requested_rung}/1.m4s", segment_base_url(&manifest))).await;
            let content = pulleystair_fake_servers::content::parse(&segment.body).expect("a segment");
            assert!(content.intact && content.title == fleet.titles[product].name);
            assert_eq!(content.rung, requested_rung.min(rung));
        }
        let reads_after: Vec<usize> = fleet.servers.model().servers.iter().map(|s| s.segments_read).collect();
        let other_servers_read =
            (0..4).filter(|s| *s != server && reads_after[*s] != reads_before[*s]).count();
        assert_eq!((reads_after[server] - reads_before[server], other_servers_read), (2, 0));
    }
    fleet.assert_rules_kept();
}
