//! Tests each rule on a clean log, which must pass, and on manipulated logs, which must be rejected: a check that was
//! never seen to fail proves nothing.

use pulleystair_rule_checker::rules::{Budget, Effect, Group, Product, RuleParams, check};
use pulleystair_rule_checker::{Content, Observation, Observed};
use test_case::test_case;

/// Parameters of three servers in two zones and one product with this effect.
fn rule_params(effect: Effect) -> RuleParams {
    RuleParams {
        products: vec![Product { limit: 1000.0, effect, floor: 1, top: 2, seats: 2 }],
        drain_grace: 500.0,
        cold: 5000.0,
        cold_from: 0.2,
        overload: 2.0,
        overload_window: 1000.0,
        streams: vec![10.0; 3],
        zones: vec![0, 1, 0],
        cells: vec![0, 1, 2],
        budget: Some(Budget { span: 2000.0, share: 0.5, free: 1.0 }),
        list_delay: 50.0,
        slack: 20.0,
    }
}

/// Builder of logs; the product is 0, the title "t" and the front 0 unless said otherwise.
#[derive(Default)]
struct ObservationLog(Vec<Observation>);

impl ObservationLog {
    fn add(&mut self, at: f64, what: Observed) -> &mut ObservationLog {
        self.0.push(Observation { at, what });
        self
    }

    fn request(&mut self, at: f64, request: u64, session: &str) -> &mut ObservationLog {
        let (session, title) = (session.to_string(), "t".to_string());
        self.add(at, Observed::Asked { request, session, front: 0, product: 0, title, top: 9 })
    }

    fn answered(&mut self, at: f64, request: u64, status: u16) -> &mut ObservationLog {
        self.add(at, Observed::Answered { request, status })
    }

    fn set_up(&mut self, at: f64, server: usize, allocation: &str, session: &str) -> &mut ObservationLog {
        self.set_up_on(at, server, allocation, session, 1)
    }

    fn set_up_on(
        &mut self,
        at: f64,
        server: usize,
        allocation: &str,
        session: &str,
        rung: usize,
    ) -> &mut ObservationLog {
        let (allocation, session, title) = (allocation.to_string(), session.to_string(), "t".to_string());
        self.add(at, Observed::SetUp { server, allocation, session, product: 0, title, rung })
    }

    fn done(&mut self, at: f64, allocation: &str, status: u16) -> &mut ObservationLog {
        let allocation = allocation.to_string();
        self.add(at, Observed::Done { allocation, ran: status != 429, status })
    }

    fn closed(&mut self, at: f64, allocation: &str) -> &mut ObservationLog {
        self.add(at, Observed::Closed { allocation: allocation.to_string() })
    }

    /// Adds a late observation, so that all time limits have passed, and returns the rules that are broken.
    fn broken_rules(&mut self, params: &RuleParams) -> Vec<u8> {
        self.add(60_000.0, Observed::Front { front: 0, up: true });
        check(&self.0, params).0.iter().map(|b| b.rule).collect()
    }
}

/// A play whose first set-up is rejected (429) and whose second one succeeds.
fn log_with_one_retry() -> ObservationLog {
    let mut log = ObservationLog::default();
    log.request(0.0, 1, "s").set_up(1.0, 0, "f-1-1", "s").done(50.0, "f-1-1", 429).closed(51.0, "f-1-1");
    log.set_up(52.0, 2, "f-1-2", "s").done(100.0, "f-1-2", 200).answered(101.0, 1, 200);
    log
}

#[test_case(Effect::Free; "free")]
#[test_case(Effect::Paid; "paid, rejected before any processing")]
fn log_without_a_breach_passes(effect: Effect) {
    assert!(log_with_one_retry().closed(3000.0, "f-1-2").broken_rules(&rule_params(effect)).is_empty());
    let (_, coverage) = check(&log_with_one_retry().0, &rule_params(effect));
    assert_eq!((coverage.requests, coverage.set_ups, coverage.further_allocations), (1, 2, 1));
}

#[test]
fn rule_1_rejects_missing_late_repeated_and_false_responses() {
    let params = rule_params(Effect::Free);
    assert_eq!(ObservationLog::default().request(0.0, 1, "s").broken_rules(&params), [1]);
    assert_eq!(
        ObservationLog::default().request(0.0, 1, "s").answered(1021.0, 1, 503).broken_rules(&params),
        [1]
    );
    assert_eq!(
        ObservationLog::default()
            .request(0.0, 1, "s")
            .answered(5.0, 1, 503)
            .answered(9.0, 1, 503)
            .broken_rules(&params),
        [1]
    );
    assert_eq!(
        ObservationLog::default().request(0.0, 1, "s").answered(5.0, 1, 200).broken_rules(&params),
        [1]
    );
    assert_eq!(
        ObservationLog::default()
            .request(0.0, 1, "s")
            .add(5.0, Observed::Cut { request: 1 })
            .broken_rules(&params),
        [1]
    );
    assert!(
        ObservationLog::default()
            .request(0.0, 1, "s")
            .add(5.0, Observed::Left { request: 1 })
            .broken_rules(&params)
            .is_empty()
    );
    let mut died = ObservationLog::default();
    died.request(0.0, 1, "s").add(500.0, Observed::Front { front: 0, up: false });
    assert!(died.broken_rules(&params).is_empty(), "requests at a front that died need no response");
}

#[test]
fn rule_2_rejects_two_concurrent_allocations() {
    let mut log = ObservationLog::default();
    log.request(0.0, 1, "s").set_up(1.0, 0, "f-1-1", "s").set_up(300.0, 2, "f-1-2", "s");
    log.closed(350.0, "f-1-1").done(360.0, "f-1-2", 200).answered(361.0, 1, 200);
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), [2]);
}

#[test]
fn rule_2_rejects_repeating_or_declining_a_paid_set_up_that_may_have_run() {
    let mut again = ObservationLog::default();
    again.request(0.0, 1, "s").set_up(1.0, 0, "f-1-1", "s").done(50.0, "f-1-1", 502).closed(51.0, "f-1-1");
    again.set_up(52.0, 2, "f-1-2", "s").done(100.0, "f-1-2", 200).answered(101.0, 1, 200);
    assert_eq!(again.broken_rules(&rule_params(Effect::Paid)), [2]);
    let zone = Effect::Keyed { group: Group::Zone, window: 1000.0 };
    assert!(again.broken_rules(&rule_params(zone)).is_empty(), "servers 0 and 2 are in one zone");
    let cell = Effect::Keyed { group: Group::Cell, window: 1000.0 };
    assert_eq!(again.broken_rules(&rule_params(cell)), [2]);
    let late = Effect::Keyed { group: Group::All, window: 10.0 };
    assert_eq!(again.broken_rules(&rule_params(late)), [2]);
    let mut declined = ObservationLog::default();
    declined.request(0.0, 1, "s").set_up(1.0, 0, "f-1-1", "s").closed(500.0, "f-1-1").answered(501.0, 1, 503);
    assert_eq!(declined.broken_rules(&rule_params(Effect::Paid)), [2]);
    assert!(declined.broken_rules(&rule_params(Effect::Free)).is_empty());
}

#[test_case(490.0, &[]; "within the grace")]
#[test_case(530.0, &[3]; "after it")]
fn rule_3_rejects_set_ups_after_the_drain_grace(after: f64, broken: &[u8]) {
    let mut log = ObservationLog::default();
    log.add(10.0, Observed::Listed { server: 0, ready: false }).set_up(10.0 + after, 0, "f-1-1", "s");
    log.closed(10.0 + after, "f-1-1");
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), broken);
}

#[test_case(1, &[]; "steady rate")]
#[test_case(9, &[4]; "a burst")]
fn rule_4_rejects_overloading_a_cold_server_from_all_fronts(each: usize, broken: &[u8]) {
    let mut log = ObservationLog::default();
    log.add(0.0, Observed::Started { server: 0, cold: true })
        .add(10.0, Observed::Listed { server: 0, ready: true });
    for front in 0..2 {
        for i in 0..each {
            let (name, session) = (format!("f{front}-{i}-1"), format!("s{front}{i}"));
            log.set_up(1000.0 + 300.0 * i as f64, 0, &name, &session)
                .closed(1100.0 + 300.0 * i as f64, &name);
        }
    }
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), broken);
    log.0.retain(|s| !matches!(s.what, Observed::Listed { .. }));
    assert!(
        log.broken_rules(&rule_params(Effect::Free)).is_empty(),
        "no front was informed of the start or had lost plays at the server"
    );
}

#[test_case(0, &[5]; "below the floor")]
#[test_case(1, &[]; "on the floor")]
#[test_case(3, &[5]; "above the top")]
fn rule_5_rejects_rungs_outside_floor_and_top(rung: usize, broken: &[u8]) {
    let mut log = ObservationLog::default();
    log.set_up_on(0.0, 0, "f-1-1", "s", rung).closed(100.0, "f-1-1");
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), broken);
    let mut later = ObservationLog::default();
    later.set_up(0.0, 0, "f-1-1", "s").add(5.0, Observed::Rung { allocation: "f-1-1".into(), rung });
    assert_eq!(later.closed(100.0, "f-1-1").broken_rules(&rule_params(Effect::Free)), broken);
}

#[test]
fn rule_5_rejects_more_plays_than_seats() {
    let mut log = ObservationLog::default();
    for i in 0..3 {
        log.set_up(10.0 * f64::from(i), 0, &format!("f-{i}-1"), &format!("s{i}"));
    }
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), [5]);
}

#[test_case(1, &[]; "one further")]
#[test_case(4, &[6]; "four further")]
fn rule_6_rejects_further_allocations_over_the_budget(further: u64, broken: &[u8]) {
    let mut log = ObservationLog::default();
    for i in 0..further {
        let (session, at) = (format!("s{i}"), 100.0 * i as f64);
        let (first, second) = (format!("f-{i}-1"), format!("f-{i}-2"));
        log.request(at, i, &session).set_up(at, 0, &first, &session).done(at + 1.0, &first, 502);
        log.closed(at + 1.0, &first).set_up(at + 30.0, 2, &second, &session).done(at + 40.0, &second, 502);
        log.closed(at + 40.0, &second).answered(at + 41.0, i, 502);
    }
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), broken);
}

/// Allocation names are chosen by the front: one that names each allocation as a first one must still break rule 6.
#[test]
fn rule_6_does_not_rely_on_allocation_names() {
    let mut log = ObservationLog::default();
    for i in 0..4 {
        let (session, at) = (format!("s{i}"), 100.0 * i as f64);
        let (first, second) = (format!("f-{i}a-1"), format!("f-{i}b-1"));
        log.request(at, i, &session).set_up(at, 0, &first, &session).done(at + 1.0, &first, 502);
        log.closed(at + 1.0, &first).set_up(at + 30.0, 2, &second, &session).done(at + 40.0, &second, 502);
        log.closed(at + 40.0, &second).answered(at + 41.0, i, 502);
    }
    assert_eq!(log.broken_rules(&rule_params(Effect::Free)), [6]);
}

#[test_case(true, &[]; "requested again: a new play")]
#[test_case(false, &[2]; "not requested again: the same play")]
fn rule_2_counts_a_request_after_a_response_as_a_new_play(again: bool, broken: &[u8]) {
    let mut log = ObservationLog::default();
    log.add(0.0, Observed::Front { front: 0, up: true });
    log.request(1.0, 1, "s").set_up(2.0, 0, "f-1-1", "s").closed(50.0, "f-1-1").answered(60.0, 1, 502);
    if again {
        log.add(70.0, Observed::Front { front: 0, up: false })
            .add(90.0, Observed::Front { front: 0, up: true });
        log.request(100.0, 2, "s").answered(130.0, 2, 200);
    }
    log.set_up(110.0, 0, "g-1-1", "s").done(120.0, "g-1-1", 200).closed(500.0, "g-1-1");
    assert_eq!(log.broken_rules(&rule_params(Effect::Paid)), broken);
}

#[test]
fn rule_4_applies_to_a_front_started_after_the_server() {
    let mut log = ObservationLog::default();
    log.add(0.0, Observed::Started { server: 0, cold: true })
        .add(1.0, Observed::Front { front: 0, up: true });
    for i in 0..20 {
        let (name, session, at) = (format!("f-{i}-1"), format!("s{i}"), 100.0 + i as f64);
        log.request(at, i, &session).set_up(at + 0.1, 0, &name, &session).done(at + 0.2, &name, 200);
        log.answered(at + 0.3, i, 200).closed(at + 50.0, &name);
    }
    let mut seats = rule_params(Effect::Free);
    seats.products[0].seats = 0;
    assert_eq!(
        log.broken_rules(&seats),
        [4],
        "what the front read at its start may be outdated, and it must allow for that"
    );
}

#[test_case("t", 4, 1, true, &[]; "as requested")]
#[test_case("t", 4, 0, true, &[]; "a lower rung")]
#[test_case("t", 5, 1, true, &[0]; "another number")]
#[test_case("u", 4, 1, true, &[0]; "another title")]
#[test_case("t", 4, 2, true, &[0]; "a higher rung")]
#[test_case("t", 4, 1, false, &[0]; "damaged")]
fn wrong_segments_are_rejected(title: &str, number: u64, rung: usize, intact: bool, broken: &[u8]) {
    let got = Some(Content { title: title.into(), number, rung, intact });
    let what = Observed::Fetched { session: "s".into(), title: "t".into(), number: 4, rung: 1, got };
    assert_eq!(ObservationLog::default().add(0.0, what).broken_rules(&rule_params(Effect::Free)), broken);
}
