//! Short stories of what other fronts let a front know, and of the odds that it hands out.

mod host;

use host::Host;
use pulleystair::{Outcome, Placement, ServerHint};

const UNAIDED: ServerHint =
    ServerHint { server: 0, doubted: false, pace: 1.0, further_gap: 0.0, probe_gap: 0.0 };

/// The chances add up, name who was drawn, and are those by which it is drawn.
#[test]
fn the_odds_of_a_choice_are_those_of_the_draw() {
    let mut host = Host::new(&[]);
    let (mut expected, mut drawn) = ([0.0; 4], [0.0; 4]);
    for _ in 0..2_000 {
        (0..4).for_each(|s| drop(host.measure(s, 0.1 + 0.2 * s as f64)));
        let ply = host.take(0, 4);
        let Placement::Send { server, candidates: odds, .. } = host.ask(ply) else { panic!("it is sent") };
        assert!((odds.iter().map(|o| o.chance).sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(odds.iter().any(|o| o.server == server && o.chance > 0.0));
        odds.iter().for_each(|o| expected[o.server] += o.chance);
        drawn[server] += 1.0;
        host.after(ply, Outcome::Withdrawn);
        host.now += 10_000.0;
    }
    for s in 0..4 {
        assert!((expected[s] - drawn[s]).abs() < 80.0, "{expected:?} {drawn:?}");
    }
}

#[test]
fn the_odds_of_unmeasured_holders_are_even_and_of_no_other() {
    let mut host = Host::new(&[]);
    for s in [1, 2] {
        host.lines[s].started_at = host.now - 60_000.0;
    }
    host.list();
    let ply = host.take(0, 4);
    let Placement::Send { candidates: odds, .. } = host.ask(ply) else { panic!("it is sent") };
    assert!(odds.iter().all(|o| o.chance == if [1, 2].contains(&o.server) { 0.5 } else { 0.0 }), "{odds:?}");
}

#[test]
fn a_server_doubted_on_hearsay_waits_for_its_trial_until_it_serves() {
    let mut host = Host::new(&[("balancers", 3.0)]);
    host.front.apply_hint(host.now, &ServerHint { doubted: true, ..UNAIDED });
    let ply = host.take(0, 1);
    assert!(
        matches!(host.ask(ply), Placement::Wait { .. } | Placement::Declined { .. }),
        "all fronts try it as one would"
    );
    host.front.on_viewer_left(&mut host.plays, ply);
    assert_eq!(host.start(0, 2).1, 1, "another holder takes plays meanwhile");
    host.now += 120_000.0;
    host.measure(0, 0.1);
    let (_, server) = host.start(0, 1);
    assert_eq!(server, 0, "its trial's turn has come");
    let ply = host.take(0, 1);
    assert_eq!(host.sent_to(ply), Some(0), "it served: the hearsay is over");
}

/// How long a second play waits for a server that is cold, by the part of its pace that this front holds.
fn second_turn(pace: f64) -> f64 {
    let mut host = Host::new(&[("balancers", 4.0)]);
    host.lines[0].started_at = host.now;
    host.list();
    host.now += 5_000.0;
    host.front.apply_hint(host.now, &ServerHint { pace, ..UNAIDED });
    host.start(0, 1);
    let ply = host.take(0, 1);
    host.plays[ply].deadline += 60_000.0;
    assert!(matches!(host.ask(ply), Placement::Wait { .. }));
    host.front.time_to_recheck(host.now, &host.plays[ply]).expect("it waits")
}

#[test]
fn a_cold_servers_pace_goes_by_the_part_that_is_held() {
    let (own, lent, borrowed) = (second_turn(1.0), second_turn(0.5), second_turn(3.0));
    assert!((lent / own - 2.0).abs() < 0.01 && borrowed < own, "{own} {lent} {borrowed}");
}

#[test]
fn a_wait_that_is_under_way_goes_on_at_the_new_pace() {
    let mut host = Host::new(&[("balancers", 4.0)]);
    host.lines[0].started_at = host.now;
    host.list();
    host.now += 5_000.0;
    host.start(0, 1);
    let ply = host.take(0, 1);
    host.plays[ply].deadline += 60_000.0;
    host.ask(ply);
    let before = host.front.time_to_recheck(host.now, &host.plays[ply]).expect("it waits");
    host.front.apply_hint(host.now, &ServerHint { pace: 0.5, ..UNAIDED });
    host.ask(ply);
    let after = host.front.time_to_recheck(host.now, &host.plays[ply]).expect("it waits on");
    assert!((after / before - 2.0).abs() < 0.01, "{before} {after}");
}

#[test]
fn further_allocations_to_a_server_keep_their_distance_and_first_ones_do_not() {
    let mut host = Host::new(&[]);
    host.front.apply_hint(host.now, &ServerHint { server: 1, further_gap: 900.0, ..UNAIDED });
    for expected in [Some(1), None] {
        let ply = host.take(0, 2);
        host.plays[ply].allocations = 1;
        host.plays[ply].tried = vec![0];
        assert_eq!(host.sent_to(ply), expected);
    }
    let first = host.take(1, 1);
    assert_eq!(host.sent_to(first), Some(1), "a first allocation is no further one");
}

#[test]
fn what_it_goes_by_is_what_it_was_told_last() {
    let mut host = Host::new(&[]);
    host.front.override_setting("extra.class_floor.0", 1.0);
    host.front.override_setting("rules.cold", 1.0);
    let by = host.front.active_settings();
    let of = |name| pulleystair::number(&by, name, f64::NAN);
    assert_eq!((of("extra.class_floor.0"), of("rules.cold"), of("extra.ladder_kb.2")), (1.0, 1.0, 400.0));
    host.measure(0, 1.5);
    let ply = host.take(0, 1);
    let Placement::Send { rung, .. } = host.ask(ply) else { panic!("it is sent") };
    assert_eq!(rung, 1, "no lower than the floor that it goes by now");
}
