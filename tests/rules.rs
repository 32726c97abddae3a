//! Turns at cold and doubted servers, and the rules: who may be sent to at all, and what is given up on. One fake host.

mod host;

use host::{Host, sheet};
use pulleystair::{Next, Outcome, Placement, Standing};
use test_case::test_case;

#[test]
fn when_all_holders_look_bad_plays_wait_their_turn_and_are_not_shut_out() {
    let mut host = Host::new(&[]);
    for _ in 0..12 {
        let ply = host.take(0, 2);
        while let Some(_server) = host.sent_to(ply) {
            host.after(ply, Outcome::Broken);
        }
        host.front.on_viewer_left(&mut host.plays, ply);
    }
    host.now += 5000.0;
    let (first, second) = (host.take(0, 1), host.take(0, 1));
    assert_eq!(host.sent_to(first), Some(0), "a trial");
    assert_eq!(host.ask(second), Placement::Wait { probe: vec![] });
    host.now += host.front.time_to_recheck(host.now, &host.plays[second]).unwrap();
    assert_eq!(host.sent_to(second), Some(0), "in its turn");
}

#[test_case(true; "listed as just started")]
#[test_case(false; "seen to fail, not yet listed")]
fn a_cold_server_is_not_rushed(listed: bool) {
    let mut host = Host::new(&[("balancers", 2.0)]);
    if listed {
        host.lines[0].started_at = host.now;
        host.list();
    } else {
        let ply = host.take(0, 1);
        host.ask(ply);
        host.after(ply, Outcome::Unreachable);
    }
    let mut sent = 0;
    for _ in 0..100 {
        let ply = host.take(0, 1);
        sent += usize::from(host.sent_to(ply).is_some());
        host.now += 10.0;
    }
    // 24 places over 12 s, half warm, twice that tips it over: 2 a second, of which 2 fronts take 0.6.
    assert!(sent <= 1, "{sent} in a second");
}

#[test]
fn a_restarted_front_with_an_old_list_treats_every_server_as_cold() {
    let mut host = Host::new(&[]);
    let lines = host.lines.clone();
    host.front = pulleystair::logic::Policy::new(sheet(&[], "read_like"), 8);
    host.front.update_list(host.now, true, true, &lines);
    let sent = (0..20).filter(|_| {
        let ply = host.take(0, 1);
        host.sent_to(ply).is_some()
    });
    assert!(sent.count() <= 1);
    host.list();
    let ply = host.take(0, 1);
    assert_eq!(host.sent_to(ply), Some(0), "discovery has vouched for it");
}

#[test_case(Standing::Draining)]
#[test_case(Standing::Gone)]
fn nothing_goes_to_a_server_that_leaves(standing: Standing) {
    let mut host = Host::new(&[]);
    host.lines[0].standing = standing;
    host.list();
    for _ in 0..30 {
        let ply = host.take(0, 2);
        assert_ne!(host.sent_to(ply), Some(0));
    }
}

#[test_case(Outcome::TimedOut, false; "may have run")]
#[test_case(Outcome::Full, true; "provably never ran")]
fn a_paid_set_up_is_sent_again_only_if_it_never_ran(outcome: Outcome, again: bool) {
    let mut host = Host::of(sheet(&[], "non_idempotent"));
    let ply = host.take(0, 3);
    host.ask(ply);
    assert_eq!(host.after(ply, outcome), Next::Place);
    match host.ask(ply) {
        Placement::Send { .. } => assert!(again),
        answer => assert_eq!((answer, again), (Placement::Failed, false)),
    }
}

#[test]
fn a_keyed_set_up_that_may_have_run_stays_in_its_group() {
    let repeat = [("products.0.repeat_window", 3000.0)];
    let mut host = Host::of(sheet(&repeat, "idempotency_key"));
    let ply = host.take(0, 4);
    let first = host.sent_to(ply).unwrap();
    host.after(ply, Outcome::TimedOut);
    assert_eq!(host.sent_to(ply).unwrap() % 2, first % 2, "the same zone");
    host.after(ply, Outcome::TimedOut);
    host.now += 3500.0;
    assert_eq!(host.ask(ply), Placement::Failed, "its window is over");
}

#[test]
fn seats_hold_from_allocation_to_outcome() {
    let mut host = Host::new(&[("extra.seats.0", 1.0)]);
    let (first, second, third) = (host.take(0, 2), host.take(0, 2), host.take(0, 2));
    assert!(host.sent_to(first).is_some());
    assert_eq!(host.ask(second), Placement::Declined { retry_after: 500.0 });
    host.after(first, Outcome::Error);
    assert!(host.sent_to(third).is_some());
}

#[test]
fn further_allocations_keep_to_the_budget() {
    let budget = [("rules.budget_share", 0.1), ("rules.free_resends", 1.0), ("rules.budget_span", 10_000.0)];
    let mut host = Host::new(&budget);
    let mut further = 0;
    for _ in 0..20 {
        let ply = host.take(0, 4);
        host.ask(ply);
        while host.after(ply, Outcome::Full) == Next::Place && host.sent_to(ply).is_some() {
            further += 1;
        }
    }
    assert!((1..=3).contains(&further), "{further}");
}

#[test]
fn a_play_takes_no_more_from_a_crowded_server_than_it_brings() {
    let mut host = Host::new(&[]);
    let plays: Vec<usize> = (0..8).map(|_| host.start(0, 1).0).collect();
    for _ in 0..4 {
        host.now += 4000.0;
        host.measure(0, 1.3);
    }
    assert!(plays.iter().all(|p| host.plays[*p].rung == 0));
    let ply = host.take(0, 1);
    assert_eq!(
        host.ask(ply),
        Placement::Declined { retry_after: 500.0 },
        "at once, with a time to come back"
    );
}

/// What each play is given up on for is met in the same turn as the ask.
#[test_case(1.0, 500.0; "with the longest time to come back that viewers heed")]
#[test_case(0.0, 0.0; "with none where they heed none")]
fn what_is_given_up_on_is_answered_at_once(heeded: f64, pause: f64) {
    let mut answers = Vec::new();
    let mut given_up = |what: &str, changes: &[(&str, f64)], ask: fn(&mut Host) -> usize| {
        let heeded = [("ceilings.retry_after", heeded)];
        let mut host = Host::new(&[changes, &heeded].concat());
        let ply = ask(&mut host);
        answers.push((what.to_string(), host.ask(ply)));
        assert!(
            host.plays[ply].finished && host.front.time_to_recheck(host.now, &host.plays[ply]).is_none(),
            "{what}"
        );
    };
    given_up("no holder is listed", &[], |host| {
        host.lines.iter_mut().for_each(|l| l.standing = Standing::Gone);
        host.list();
        host.take(0, 4)
    });
    given_up("every seat is taken", &[("extra.seats.0", 1.0)], |host| {
        host.start(0, 4);
        host.take(0, 4)
    });
    given_up("as many allocations as may be", &[("ceilings.attempts_cap", 2.0)], |host| {
        let ply = host.take(0, 4);
        while host.sent_to(ply).is_some() && host.plays[ply].allocations < 2 {
            host.after(ply, Outcome::Full);
        }
        host.after(ply, Outcome::Full);
        ply
    });
    given_up("the budget is spent", &[("rules.budget_share", 0.0), ("rules.budget_span", 5000.0)], |host| {
        let ply = host.take(0, 4);
        host.ask(ply);
        host.after(ply, Outcome::TimedOut);
        ply
    });
    given_up("its time is up", &[], |host| {
        let ply = host.take(0, 4);
        host.now = host.plays[ply].deadline;
        ply
    });
    given_up("its turn at a cold server comes too late", &[("balancers", 30.0), ("rank", 29.0)], |host| {
        host.lines[0].started_at = host.now;
        host.list();
        host.take(0, 1)
    });
    given_up("too many wait for that turn before it", &[], |host| {
        host.lines[0].started_at = host.now;
        host.list();
        // 24 places over 12 s, half warm, twice that tips it over, of which 0.6: a turn each 0.8 s.
        while let Placement::Wait { .. } | Placement::Send { .. } = {
            let ply = host.take(0, 1);
            host.now += 1.0;
            host.ask(ply)
        } {
            assert!(host.plays.len() < 10, "the queue for a cold server has an end");
        }
        assert!(host.plays.len() > 4, "turns that come in time are waited for");
        host.take(0, 1)
    });
    for (what, answer) in answers {
        assert_eq!(answer, Placement::Declined { retry_after: pause }, "{what}");
    }
}

#[test_case("non_idempotent", 0.0; "a paid set-up")]
#[test_case("idempotency_key", 3500.0; "a keyed one past its window")]
fn what_may_have_run_fails_at_once(effect: &str, wait: f64) {
    let mut host = Host::of(sheet(&[("products.0.repeat_window", 3000.0)], effect));
    let ply = host.take(0, 4);
    host.ask(ply);
    host.now += wait;
    assert_eq!(host.after(ply, Outcome::TimedOut), Next::Place);
    assert_eq!((host.ask(ply), host.plays[ply].finished), (Placement::Failed, true));
}

#[test]
fn a_play_stepped_down_before_it_plays_is_asked_about_once_its_allocation_fails() {
    let mut host = Host::new(&[]);
    let ply = host.take(0, 2);
    let Placement::Send { server, rung, .. } = host.ask(ply) else { panic!("it is sent") };
    for _ in 0..2 {
        host.now += 600.0;
        host.measure(server, 2.5);
    }
    assert!(host.plays[ply].rung < rung, "its server is short meanwhile");
    assert_eq!(host.after(ply, Outcome::TimedOut), Next::Place);
    assert_eq!(host.sent_to(ply), Some(1 - server), "no spell is waited for");
}

#[test]
fn plays_take_their_turns_at_a_cold_server_in_the_order_in_which_they_came() {
    let mut host = Host::new(&[]);
    host.lines[0].started_at = host.now;
    host.list();
    let first = host.take(0, 1);
    assert_eq!(host.sent_to(first), Some(0));
    let mut due = Vec::new();
    for _ in 0..3 {
        host.now += 1.0;
        let ply = host.take(0, 1);
        assert_eq!(host.ask(ply), Placement::Wait { probe: vec![] });
        due.push(host.plays[ply].recheck_at);
    }
    assert!(due[0] < due[1] && due[1] < due[2], "each has a turn of its own: {due:?}");
    host.now = due[0];
    let late = host.take(0, 1);
    assert_eq!(host.ask(late), Placement::Wait { probe: vec![] }, "not before those that wait");
    assert_eq!(host.sent_to(1), Some(0));
}
