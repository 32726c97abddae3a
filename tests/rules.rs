//! The rate of plays to cold and doubted servers, and the rules on which servers may be sent a play and when a play is
//! refused. Uses one fake host.

mod host;

use host::{Host, test_settings};
use pulleystair::{Next, Outcome, Placement, Standing};
use test_case::test_case;

#[test]
fn plays_wait_for_a_trial_when_all_holders_are_doubted() {
    let mut host = Host::new(&[]);
    for _ in 0..12 {
        let play_index = host.add_play(0, 2);
        while let Some(_server) = host.server_for(play_index) {
            host.report_outcome(play_index, Outcome::Broken);
        }
        host.policy.finish_play(&mut host.plays, play_index);
    }
    host.now += 5000.0;
    let (first, second) = (host.add_play(0, 1), host.add_play(0, 1));
    assert_eq!(host.server_for(first), Some(0), "the first is sent as a trial");
    assert_eq!(host.place(second), Placement::Wait { probe: vec![] });
    host.now += host.policy.time_to_recheck(host.now, &host.plays[second]).unwrap();
    assert_eq!(
        host.server_for(second),
        Some(0),
        "the second is sent once the server may be sent another play"
    );
}

#[test_case(true; "listed as just started")]
#[test_case(false; "found unreachable, not yet listed")]
fn a_cold_server_is_sent_plays_at_its_pace(listed: bool) {
    let mut host = Host::new(&[("balancers", 2.0)]);
    if listed {
        host.entries[0].started_at = host.now;
        host.update_list();
    } else {
        let play_index = host.add_play(0, 1);
        host.place(play_index);
        host.report_outcome(play_index, Outcome::Unreachable);
    }
    let mut sent = 0;
    for _ in 0..100 {
        let play_index = host.add_play(0, 1);
        sent += usize::from(host.server_for(play_index).is_some());
        host.now += 10.0;
    }
    // 24 streams in 12 s at half pace: 1 play a second. Overload factor 2 allows 2; all fronts send PACED_SHARE (0.6) of that,
    // 1.2; this is one of two fronts, so 0.6.
    assert!(sent <= 1, "{sent} in a second");
}

#[test]
fn a_restarted_front_with_an_old_list_treats_every_server_as_cold() {
    let mut host = Host::new(&[]);
    let entries = host.entries.clone();
    host.policy = pulleystair::logic::Policy::new(test_settings(&[], "read_like"), 8);
    host.policy.update_list(host.now, true, true, &entries);
    let sent = (0..20).filter(|_| {
        let play_index = host.add_play(0, 1);
        host.server_for(play_index).is_some()
    });
    assert!(sent.count() <= 1);
    host.update_list();
    let play_index = host.add_play(0, 1);
    assert_eq!(host.server_for(play_index), Some(0), "discovery has confirmed its start");
}

#[test_case(Standing::Draining)]
#[test_case(Standing::Gone)]
fn no_play_is_sent_to_a_draining_or_gone_server(standing: Standing) {
    let mut host = Host::new(&[]);
    host.entries[0].standing = standing;
    host.update_list();
    for _ in 0..30 {
        let play_index = host.add_play(0, 2);
        assert_ne!(host.server_for(play_index), Some(0));
    }
}

#[test_case(Outcome::TimedOut, false; "may have run")]
#[test_case(Outcome::Full, true; "never ran")]
fn a_non_idempotent_set_up_is_repeated_only_if_it_never_ran(outcome: Outcome, is_repeated: bool) {
    let mut host = Host::with_settings(test_settings(&[], "non_idempotent"));
    let play_index = host.add_play(0, 3);
    host.place(play_index);
    assert_eq!(host.report_outcome(play_index, outcome), Next::Place);
    match host.place(play_index) {
        Placement::Send { .. } => assert!(is_repeated),
        answer => assert_eq!((answer, is_repeated), (Placement::Failed, false)),
    }
}

#[test]
fn a_keyed_set_up_that_may_have_run_stays_in_its_key_scope() {
    let repeat = [("products.0.repeat_window", 3000.0)];
    let mut host = Host::with_settings(test_settings(&repeat, "idempotency_key"));
    let play_index = host.add_play(0, 4);
    let first = host.server_for(play_index).unwrap();
    host.report_outcome(play_index, Outcome::TimedOut);
    assert_eq!(host.server_for(play_index).unwrap() % 2, first % 2, "the same zone");
    host.report_outcome(play_index, Outcome::TimedOut);
    host.now += 3500.0;
    assert_eq!(host.place(play_index), Placement::Failed, "its repeat window is over");
}

#[test]
fn a_seat_is_taken_from_allocation_to_outcome() {
    let mut host = Host::new(&[("extra.seats.0", 1.0)]);
    let (first, second, third) = (host.add_play(0, 2), host.add_play(0, 2), host.add_play(0, 2));
    assert!(host.server_for(first).is_some());
    assert_eq!(host.place(second), Placement::Declined { retry_after: 500.0 });
    host.report_outcome(first, Outcome::Error);
    assert!(host.server_for(third).is_some());
}

#[test]
fn further_allocations_stay_within_the_budget() {
    let budget = [("rules.budget_share", 0.1), ("rules.free_resends", 1.0), ("rules.budget_span", 10_000.0)];
    let mut host = Host::new(&budget);
    let mut further = 0;
    for _ in 0..20 {
        let play_index = host.add_play(0, 4);
        host.place(play_index);
        while host.report_outcome(play_index, Outcome::Full) == Next::Place
            && host.server_for(play_index).is_some()
        {
            further += 1;
        }
    }
    assert!((1..=3).contains(&further), "{further}");
}

#[test]
fn a_play_is_declined_if_plays_on_an_overloaded_server_would_lose_more_than_it_gains() {
    let mut host = Host::new(&[]);
    let plays: Vec<usize> = (0..8).map(|_| host.start_play(0, 1).0).collect();
    for _ in 0..4 {
        host.now += 4000.0;
        host.report_utilization(0, 1.3);
    }
    // The plays have stepped down as far as they can, and the server is still overloaded.
    assert!(plays.iter().all(|p| host.plays[*p].rung == 0));
    let play_index = host.add_play(0, 1);
    assert_eq!(
        host.place(play_index),
        Placement::Declined { retry_after: 500.0 },
        "declined at once, with a time to retry"
    );
}

/// Each play is refused for another reason, in the same call that places it.
#[test_case(1.0, 500.0; "with the longest retry delay that viewers heed")]
#[test_case(0.0, 0.0; "without a retry delay if viewers heed none")]
fn a_refused_play_is_answered_at_once(viewers_heed: f64, retry_after: f64) {
    let mut answers = Vec::new();
    let mut refuse = |reason: &str, changes: &[(&str, f64)], add_play: fn(&mut Host) -> usize| {
        let heeded = [("ceilings.retry_after", viewers_heed)];
        let mut host = Host::new(&[changes, &heeded].concat());
        let play_index = add_play(&mut host);
        answers.push((reason.to_string(), host.place(play_index)));
        assert!(
            host.plays[play_index].finished
                && host.policy.time_to_recheck(host.now, &host.plays[play_index]).is_none(),
            "{reason}"
        );
    };
    refuse("no holder is listed", &[], |host| {
        host.entries.iter_mut().for_each(|l| l.standing = Standing::Gone);
        host.update_list();
        host.add_play(0, 4)
    });
    refuse("every seat is taken", &[("extra.seats.0", 1.0)], |host| {
        host.start_play(0, 4);
        host.add_play(0, 4)
    });
    refuse("all allowed allocations are used", &[("ceilings.attempts_cap", 2.0)], |host| {
        let play_index = host.add_play(0, 4);
        while host.server_for(play_index).is_some() && host.plays[play_index].allocations < 2 {
            host.report_outcome(play_index, Outcome::Full);
        }
        host.report_outcome(play_index, Outcome::Full);
        play_index
    });
    refuse("the budget is spent", &[("rules.budget_share", 0.0), ("rules.budget_span", 5000.0)], |host| {
        let play_index = host.add_play(0, 4);
        host.place(play_index);
        host.report_outcome(play_index, Outcome::TimedOut);
        play_index
    });
    refuse("its deadline has passed", &[], |host| {
        let play_index = host.add_play(0, 4);
        host.now = host.plays[play_index].deadline;
        play_index
    });
    refuse(
        "a cold server may be sent it only after its deadline",
        &[("balancers", 30.0), ("rank", 29.0)],
        |host| {
            host.entries[0].started_at = host.now;
            host.update_list();
            host.add_play(0, 1)
        },
    );
    refuse("too many plays wait for a cold server before it", &[], |host| {
        host.entries[0].started_at = host.now;
        host.update_list();
        // 24 streams in 12 s at half pace: 1 play a second. Overload factor 2 allows 2; PACED_SHARE (0.6) of that is one play
        // each 0.8 s.
        while let Placement::Wait { .. } | Placement::Send { .. } = {
            let play_index = host.add_play(0, 1);
            host.now += 1.0;
            host.place(play_index)
        } {
            assert!(host.plays.len() < 10, "the queue for a cold server is bounded");
        }
        assert!(host.plays.len() > 4, "plays wait that can be sent before their deadlines");
        host.add_play(0, 1)
    });
    for (reason, answer) in answers {
        assert_eq!(answer, Placement::Declined { retry_after }, "{reason}");
    }
}

#[test_case("non_idempotent", 0.0; "a non-idempotent set-up")]
#[test_case("idempotency_key", 3500.0; "a keyed set-up past its repeat window")]
fn a_play_that_may_have_run_and_is_not_repeatable_fails_at_once(effect: &str, delay: f64) {
    let mut host = Host::with_settings(test_settings(&[("products.0.repeat_window", 3000.0)], effect));
    let play_index = host.add_play(0, 4);
    host.place(play_index);
    host.now += delay;
    assert_eq!(host.report_outcome(play_index, Outcome::TimedOut), Next::Place);
    assert_eq!((host.place(play_index), host.plays[play_index].finished), (Placement::Failed, true));
}

#[test]
fn a_play_stepped_down_before_it_plays_is_placed_again_once_its_allocation_fails() {
    let mut host = Host::new(&[]);
    let play_index = host.add_play(0, 2);
    let Placement::Send { server, rung, .. } = host.place(play_index) else { panic!("the play is sent") };
    for _ in 0..2 {
        host.now += 600.0;
        host.report_utilization(server, 2.5);
    }
    assert!(host.plays[play_index].rung < rung, "its server is overloaded meanwhile");
    assert_eq!(host.report_outcome(play_index, Outcome::TimedOut), Next::Place);
    assert_eq!(host.server_for(play_index), Some(1 - server), "no quiet period is waited for");
}

#[test]
fn plays_wait_for_a_cold_server_in_order_of_arrival() {
    let mut host = Host::new(&[]);
    host.entries[0].started_at = host.now;
    host.update_list();
    let first = host.add_play(0, 1);
    assert_eq!(host.server_for(first), Some(0));
    let mut send_times = Vec::new();
    for _ in 0..3 {
        host.now += 1.0;
        let play_index = host.add_play(0, 1);
        assert_eq!(host.place(play_index), Placement::Wait { probe: vec![] });
        send_times.push(host.plays[play_index].recheck_at);
    }
    assert!(
        send_times[0] < send_times[1] && send_times[1] < send_times[2],
        "each has a send time of its own: {send_times:?}"
    );
    host.now = send_times[0];
    let late = host.add_play(0, 1);
    assert_eq!(host.place(late), Placement::Wait { probe: vec![] }, "not before those that wait already");
    assert_eq!(host.server_for(1), Some(0));
}
