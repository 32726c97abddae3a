//! The effect of hints from other fronts, and the chances of candidates that the placement logic reports. Uses one fake host.

mod host;

use host::Host;
use pulleystair::{Outcome, Placement, ServerHint};

/// A hint with which the front acts as without any hint.
const NEUTRAL_HINT: ServerHint =
    ServerHint { server: 0, doubted: false, pace_multiple: 1.0, further_gap: 0.0, probe_gap: 0.0 };

/// The reported chances add up to 1, include the server that was drawn, and agree with the frequencies of the draw.
#[test]
fn reported_chances_agree_with_the_draw() {
    let mut host = Host::new(&[]);
    let (mut expected, mut drawn) = ([0.0; 4], [0.0; 4]);
    for _ in 0..2_000 {
        (0..4).for_each(|s| drop(host.report_utilization(s, 0.1 + 0.2 * s as f64)));
        let play_index = host.add_play(0, 4);
        let Placement::Send { server, candidates, .. } = host.place(play_index) else {
            panic!("the play is sent")
        };
        assert!((candidates.iter().map(|o| o.chance).sum::<f64>() - 1.0).abs() < 1e-9);
        assert!(candidates.iter().any(|o| o.server == server && o.chance > 0.0));
        candidates.iter().for_each(|o| expected[o.server] += o.chance);
        drawn[server] += 1.0;
        host.report_outcome(play_index, Outcome::Withdrawn);
        host.now += 10_000.0;
    }
    for s in 0..4 {
        assert!((expected[s] - drawn[s]).abs() < 80.0, "{expected:?} {drawn:?}");
    }
}

#[test]
fn unmeasured_holders_have_even_chances_and_all_others_none() {
    let mut host = Host::new(&[]);
    for s in [1, 2] {
        host.entries[s].started_at = host.now - 60_000.0;
    }
    host.update_list();
    let play_index = host.add_play(0, 4);
    let Placement::Send { candidates, .. } = host.place(play_index) else { panic!("the play is sent") };
    assert!(
        candidates.iter().all(|o| o.chance == if [1, 2].contains(&o.server) { 0.5 } else { 0.0 }),
        "{candidates:?}"
    );
}

#[test]
fn a_server_doubted_by_other_fronts_gets_rare_trials_until_it_serves_a_play() {
    let mut host = Host::new(&[("balancers", 3.0)]);
    host.policy.apply_hint(host.now, &ServerHint { doubted: true, ..NEUTRAL_HINT });
    let play_index = host.add_play(0, 1);
    assert!(
        matches!(host.place(play_index), Placement::Wait { .. } | Placement::Declined { .. }),
        "all fronts together try it as often as one would"
    );
    host.policy.finish_play(&mut host.plays, play_index);
    assert_eq!(host.start_play(0, 2).1, 1, "another holder takes plays meanwhile");
    host.now += 120_000.0;
    host.report_utilization(0, 0.1);
    let (_, server) = host.start_play(0, 1);
    assert_eq!(server, 0, "its next trial is due");
    let play_index = host.add_play(0, 1);
    assert_eq!(host.server_for(play_index), Some(0), "it served a play: the doubt is over");
}

/// How long a second play waits for a cold server, by the part of the server's pace that this front holds.
fn second_play_wait(pace: f64) -> f64 {
    let mut host = Host::new(&[("balancers", 4.0)]);
    host.entries[0].started_at = host.now;
    host.update_list();
    host.now += 5_000.0;
    host.policy.apply_hint(host.now, &ServerHint { pace_multiple: pace, ..NEUTRAL_HINT });
    host.start_play(0, 1);
    let play_index = host.add_play(0, 1);
    host.plays[play_index].deadline += 60_000.0;
    assert!(matches!(host.place(play_index), Placement::Wait { .. }));
    host.policy.time_to_recheck(host.now, &host.plays[play_index]).expect("the play waits")
}

#[test]
fn the_wait_for_a_cold_server_follows_the_part_of_its_pace_that_is_held() {
    let (own, lent, borrowed) = (second_play_wait(1.0), second_play_wait(0.5), second_play_wait(3.0));
    assert!((lent / own - 2.0).abs() < 0.01 && borrowed < own, "{own} {lent} {borrowed}");
}

#[test]
fn a_running_wait_is_scaled_to_a_new_pace() {
    let mut host = Host::new(&[("balancers", 4.0)]);
    host.entries[0].started_at = host.now;
    host.update_list();
    host.now += 5_000.0;
    host.start_play(0, 1);
    let play_index = host.add_play(0, 1);
    host.plays[play_index].deadline += 60_000.0;
    host.place(play_index);
    let before = host.policy.time_to_recheck(host.now, &host.plays[play_index]).expect("the play waits");
    host.policy.apply_hint(host.now, &ServerHint { pace_multiple: 0.5, ..NEUTRAL_HINT });
    host.place(play_index);
    let after = host.policy.time_to_recheck(host.now, &host.plays[play_index]).expect("the play still waits");
    assert!((after / before - 2.0).abs() < 0.01, "{before} {after}");
}

#[test]
fn further_allocations_to_a_server_keep_their_distance_and_first_allocations_do_not() {
    let mut host = Host::new(&[]);
    host.policy.apply_hint(host.now, &ServerHint { server: 1, further_gap: 900.0, ..NEUTRAL_HINT });
    for expected in [Some(1), None] {
        let play_index = host.add_play(0, 2);
        host.plays[play_index].allocations = 1;
        host.plays[play_index].tried = vec![0];
        assert_eq!(host.server_for(play_index), expected);
    }
    let first = host.add_play(1, 1);
    assert_eq!(host.server_for(first), Some(1), "a first allocation is not a further one");
}

#[test]
fn overridden_settings_are_shown_and_take_effect() {
    let mut host = Host::new(&[]);
    host.policy.override_setting("extra.class_floor.0", 1.0);
    host.policy.override_setting("rules.cold", 1.0);
    let active = host.policy.active_settings();
    let number_of = |name| pulleystair::number(&active, name, f64::NAN);
    assert_eq!(
        (number_of("extra.class_floor.0"), number_of("rules.cold"), number_of("extra.ladder_kb.2")),
        (1.0, 1.0, 400.0)
    );
    host.report_utilization(0, 1.5);
    let play_index = host.add_play(0, 1);
    let Placement::Send { rung, .. } = host.place(play_index) else { panic!("the play is sent") };
    assert_eq!(rung, 1, "no lower than the lowest rung set now");
}
