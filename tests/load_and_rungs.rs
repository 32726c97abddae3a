//! How the placement logic chooses servers and rungs from what it knows of load, failures and prices. Uses one fake host;
//! times are in ms, rates and capacities in kB.

mod host;

use host::Host;
use pulleystair::{LoadMetric, Next, Outcome, Placement};
use test_case::test_case;

#[test]
fn the_holder_with_most_room_gets_most_plays_and_others_get_some() {
    let mut host = Host::new(&[]);
    let mut sent = [0; 4];
    for _ in 0..400 {
        host.report_utilization(0, 0.1);
        host.report_utilization(1, 0.7);
        let play_index = host.add_play(0, 2);
        sent[host.server_for(play_index).unwrap()] += 1;
        host.report_outcome(play_index, Outcome::Withdrawn);
        host.now += 10_000.0;
    }
    assert!(sent[0] > 320 && sent[1] > 10 && sent[0] + sent[1] == 400, "{sent:?}");
}

#[test]
fn an_unmeasured_holder_is_chosen_first() {
    let mut host = Host::new(&[]);
    host.entries[1].started_at = host.now - 60_000.0;
    host.update_list();
    let play_index = host.add_play(0, 4);
    assert_eq!(host.server_for(play_index), Some(1));
}

#[test_case(0.1, 2; "top rung on an empty link")]
#[test_case(0.6, 1; "middle rung on a fuller link")]
#[test_case(1.3, 0; "lowest rung on an overloaded link")]
fn the_rung_at_set_up_is_the_highest_that_fits(utilization: f64, expected: usize) {
    let mut host = Host::new(&[]);
    host.report_utilization(2, utilization);
    let play_index = host.add_play(2, 1);
    let Placement::Send { rung, .. } = host.place(play_index) else { panic!("the play is sent") };
    assert_eq!(rung, expected);
}

#[test]
fn one_overloaded_measurement_steps_no_play_down_and_two_in_a_row_do() {
    let mut host = Host::new(&[]);
    let (play_index, _) = host.start_play(0, 1);
    let first_rung = host.plays[play_index].rung;
    host.now += 3000.0;
    assert!(host.report_utilization(0, 9.0).is_empty(), "a single measurement may be wrong");
    host.now += 3000.0;
    assert!(host.report_utilization(0, 0.5).is_empty(), "it was wrong");
    host.now += 3000.0;
    assert!(host.report_utilization(0, 2.5).is_empty());
    host.now += 3000.0;
    assert!(!host.report_utilization(0, 2.5).is_empty(), "two in a row are an overload");
    assert!(host.plays[play_index].rung < first_rung);
}

#[test]
fn notes_of_the_same_moment_count_as_one_measurement() {
    let mut host = Host::new(&[]);
    host.start_play(0, 1);
    host.now += 5000.0;
    for metric in [LoadMetric::Delivered(0.6), LoadMetric::Link(9.0), LoadMetric::Link(9.0)] {
        assert!(host.policy.on_load_metric(host.now, &mut host.plays, 0, None, metric).is_empty());
    }
}

#[test]
fn frequent_uplink_reports_cut_only_this_fronts_part_of_the_excess() {
    let mut host = Host::new(&[("balancers", 4.0), ("extra.rack_link_kb", 9000.0)]);
    let plays: Vec<usize> = (0..10).map(|i| host.start_play(2 * (i % 2), 1).0).collect();
    plays.iter().for_each(|p| host.plays[*p].rung = 2);
    let rungs_before = 20;
    host.now += 5000.0;
    host.report_utilization(0, 0.3);
    host.report_utilization(2, 0.3);
    for i in 0..6 {
        host.now += 200.0;
        host.policy.on_load_metric(host.now, &mut host.plays, 2 * (i % 2), None, LoadMetric::Uplink(1.2));
    }
    let stepped = rungs_before - plays.iter().map(|p| host.plays[*p].rung).sum::<usize>();
    // Of the front's own 4000 kB, 4000 * (1 - OVERLOAD_UTILIZATION / 1.2), about 530, are in excess. A step frees 200, so two
    // or three are made. No report shows the steps yet.
    assert!((1..=4).contains(&stepped), "{stepped} of {rungs_before}");
}

#[test]
fn a_server_that_delivers_too_little_steps_down_no_plays_on_other_servers_of_its_rack() {
    let mut host = Host::new(&[]);
    let (play_beside, _) = host.start_play(2, 1);
    host.start_play(0, 1);
    host.policy.on_load_metric(host.now, &mut host.plays, 0, None, LoadMetric::Uplink(0.7));
    let rung = host.plays[play_beside].rung;
    for _ in 0..6 {
        host.now += 1000.0;
        host.policy.on_load_metric(host.now, &mut host.plays, 0, Some(1), LoadMetric::Delivered(0.05));
    }
    assert!(rung > 0 && host.plays[play_beside].rung == rung);
    assert_eq!(host.plays[1].rung, 0, "the plays on the server itself step down");
}

#[test]
fn a_front_gives_up_only_its_part_of_an_overload() {
    let mut host = Host::new(&[("balancers", 4.0), ("extra.ladder_kb.2", 210.0)]);
    host.report_utilization(0, 0.0);
    let plays: Vec<usize> = (0..3).map(|_| host.start_play(0, 1).0).collect();
    let rungs_before: usize = plays.iter().map(|p| host.plays[*p].rung).sum();
    for _ in 0..2 {
        host.now += 4000.0;
        host.report_utilization(0, 1.02);
    }
    let rungs_after: usize = plays.iter().map(|p| host.plays[*p].rung).sum();
    assert!(
        rungs_before - rungs_after <= 1,
        "two hundredths of its own load are one step at most: {rungs_before} to {rungs_after}"
    );
}

#[test]
fn a_later_play_gets_more_than_the_lowest_rung() {
    let mut host = Host::new(&[]);
    host.report_utilization(0, 0.0);
    let (first, _) = host.start_play(0, 1);
    let (second, _) = host.start_play(0, 1);
    let (third, _) = host.start_play(0, 1);
    let rungs = [first, second, third].map(|p| host.plays[p].rung);
    assert!(rungs.iter().all(|r| *r >= 1), "{rungs:?}");
}

#[test_case(0.1, 2; "room for the top rung")]
#[test_case(0.7, 1; "room for one rung more")]
fn a_step_up_waits_for_the_quiet_period_and_goes_as_far_as_the_room_allows(
    utilization: f64,
    expected: usize,
) {
    let mut host = Host::new(&[]);
    host.report_utilization(0, 0.8);
    let (play_index, _) = host.start_play(0, 1);
    assert_eq!(host.plays[play_index].rung, 0);
    assert!(host.policy.time_to_recheck(host.now, &host.plays[play_index]).unwrap() >= 5000.0);
    assert_eq!(host.place(play_index), Placement::Keep { rung: 0 }, "not before its quiet period is over");
    host.now += 11_000.0;
    assert_eq!(host.place(play_index), Placement::Keep { rung: 0 }, "no room yet");
    host.now += 11_000.0;
    host.report_utilization(0, utilization);
    assert_eq!(host.place(play_index), Placement::Keep { rung: expected });
}

#[test]
fn a_silent_holder_times_out_within_the_first_frame_target_and_is_then_tried_rarely() {
    let mut host = Host::new(&[]);
    host.report_utilization(0, 0.0);
    host.report_utilization(1, 0.9);
    for _ in 0..3 {
        let play_index = host.add_play(0, 2);
        let Placement::Send { server, time_out, .. } = host.place(play_index) else {
            panic!("the play is sent")
        };
        assert!(time_out < 1000.0, "there is time left for another holder");
        if server == 0 {
            host.now += time_out;
            assert_eq!(host.report_outcome(play_index, Outcome::TimedOut), Next::Place);
            assert_eq!(host.server_for(play_index), Some(1));
        }
    }
    let tries = (0..20).filter(|_| {
        let play_index = host.add_play(0, 2);
        host.server_for(play_index) == Some(0)
    });
    assert!(tries.count() <= 1);
}

/// Guards against plays that no server can serve making all servers doubted: an error counts against a server only once
/// another server has served the play.
#[test_case(false, 20; "served nowhere, so no server is doubted")]
#[test_case(true, 0; "served elsewhere, so the server that erred is doubted")]
fn an_error_counts_once_the_play_is_served_elsewhere(is_served_elsewhere: bool, expected: usize) {
    let mut host = Host::new(&[]);
    for _ in 0..8 {
        let play_index = host.add_play(0, 2);
        while let Some(server) = host.server_for(play_index) {
            if is_served_elsewhere && server == 1 {
                host.report_outcome(play_index, Outcome::Playing);
                host.report_outcome(play_index, Outcome::Finished);
                break;
            }
            host.report_outcome(play_index, Outcome::Error);
        }
    }
    let is_sent = |_: &i32| {
        let play_index = host.add_play(0, 1);
        let was_sent = host.server_for(play_index).is_some();
        host.report_outcome(play_index, Outcome::Withdrawn);
        was_sent
    };
    let sent = (0..20).filter(is_sent).count();
    assert!(if expected == 0 { sent <= 1 } else { sent == expected }, "{sent} of 20 are sent at once");
}

#[test]
fn viewers_of_a_live_title_share_a_stream() {
    let mut host = Host::new(&[("extra.class_live.0", 1.0), ("extra.join", 0.2)]);
    let (_, first) = host.start_play(0, 4);
    for _ in 0..5 {
        assert_eq!(host.start_play(0, 4).1, first);
    }
}

#[test_case(1.0, 2)]
#[test_case(4.0, 1; "other fronts see the same room")]
fn a_set_up_leaves_room_for_the_other_fronts(fronts: f64, expected: usize) {
    let mut host = Host::new(&[("balancers", fronts)]);
    host.report_utilization(0, 0.3);
    let play_index = host.add_play(0, 1);
    let Placement::Send { rung, .. } = host.place(play_index) else { panic!("the play is sent") };
    assert_eq!(rung, expected);
}

#[test]
fn rungs_rise_even_with_hundreds_of_fronts() {
    let sizes = [("extra.link_unit_kb", 4000.0), ("extra.rack_link_kb", 20_000.0)];
    let mut host = Host::new(&[("balancers", 200.0), sizes[0], sizes[1]]);
    host.report_utilization(0, 0.0);
    let (play_index, _) = host.start_play(0, 1);
    (host.plays[play_index].rung, host.now) = (0, host.now + 11_000.0);
    host.report_utilization(0, 0.02);
    assert_eq!(
        host.place(play_index),
        Placement::Keep { rung: 1 },
        "only the fronts with plays on the link share its room"
    );
}

#[test_case(0.01, 2; "as many as the price of a probe allows")]
#[test_case(0.1, 0; "none if a probe costs too much")]
fn holders_with_old_metrics_are_probed_and_one_that_does_not_answer_is_avoided(price: f64, probes: usize) {
    let mut host = Host::new(&[("ceilings.probes", 1.0), ("costs.probe", price)]);
    for s in 0..4 {
        host.entries[s].server += 4;
    }
    host.update_list();
    host.now += 60_000.0;
    let play_index = host.add_play(0, 4);
    if probes == 0 {
        assert!(host.server_for(play_index).is_some());
        return;
    }
    let Placement::Wait { probe } = host.place(play_index) else { panic!("the play waits for the answers") };
    assert_eq!(probe.len(), probes);
    host.now += host.policy.time_to_recheck(host.now, &host.plays[play_index]).unwrap();
    host.report_utilization(probe[0], 0.3);
    assert_eq!(host.server_for(play_index), Some(probe[0]), "the other has not answered");
}

#[test]
fn a_play_near_its_deadline_does_not_wait_for_probes() {
    let mut host = Host::new(&[("ceilings.probes", 1.0), ("costs.probe", 0.01)]);
    host.now += 60_000.0;
    let play_index = host.add_play(0, 4);
    host.now = host.plays[play_index].deadline - 100.0;
    assert!(host.server_for(play_index).is_some());
}

#[test]
fn hundreds_of_fronts_together_do_not_overload_a_requested_cold_server() {
    let mut sent = 0;
    for i in 0..20 {
        let rank = f64::from((i * 37) % 200);
        let mut host = Host::new(&[("balancers", 200.0), ("rank", rank)]);
        host.entries[0].started_at = host.now;
        host.update_list();
        host.now += 300.0 * f64::from(i);
        let play_index = host.add_play(0, 1);
        sent += usize::from(host.server_for(play_index).is_some());
    }
    // 24 streams in 12 s at half pace: 1 play a second. Overload factor 2 allows 12 in 6 s; all fronts send PACED_SHARE (0.6)
    // of that, 7.
    assert!(sent <= 7, "{sent} of 20 in 6 s");
}

/// Late in a warm-up every front has passed its first send time, and one that has sent nothing yet may send at once. In a
/// flood, all of them together would overload the server.
#[test]
fn in_a_flood_late_in_a_warm_up_only_some_fronts_send_to_the_cold_server() {
    let mut sent = 0;
    for i in 0..16 {
        let settings = [("balancers", 50.0), ("rank", f64::from(i * 3)), ("extra.fleet_kb", 100_000.0)];
        let mut host = Host::new(&settings);
        host.entries[0].started_at = host.now - 10_000.0;
        host.update_list();
        // This front's part (1/50) of 1500 plays in 0.9 s: 15 for each of a hundred servers, as `extra.fleet_kb` is a hundred
        // times a server's link.
        for _ in 0..30 {
            host.now += 30.0;
            let other_play = host.add_play(1, 3);
            host.place(other_play);
        }
        let play_index = host.add_play(0, 1);
        sent += usize::from(host.server_for(play_index).is_some());
    }
    // 24 streams in 12 s, almost warm: 2 plays a second. Overload factor 2 allows 4, and a few more come by chance.
    assert!(sent <= 7, "{sent} of 16 in a second");
}

#[test]
fn a_front_that_sets_up_many_plays_assumes_that_all_fronts_do() {
    let rung_after = |plays: usize| {
        let mut host = Host::new(&[("balancers", 100.0), ("extra.fleet_kb", 100_000.0)]);
        host.report_utilization(1, 0.1);
        for _ in 0..plays {
            host.start_play(0, 1);
        }
        let play_index = host.add_play(1, 1);
        let Placement::Send { rung, .. } = host.place(play_index) else { panic!("the play is sent") };
        rung
    };
    assert!(rung_after(6) < rung_after(0), "{} {}", rung_after(6), rung_after(0));
}

#[test_case(0.0, true; "crossing is free")]
#[test_case(0.05, false; "crossing has a price")]
fn a_priced_zone_crossing_is_avoided_while_the_own_zone_has_room(price: f64, crosses: bool) {
    let sizes = [("extra.link_unit_kb", 9000.0), ("extra.rack_link_kb", 90_000.0)];
    let mut host = Host::new(&[("costs.cross_zone", price), sizes[0], sizes[1]]);
    for s in 0..4 {
        host.report_utilization(s, if s % 2 == 0 { 0.5 } else { 0.1 });
    }
    let zones: Vec<usize> = (0..8).map(|_| host.start_play(0, 4).1 % 2).collect();
    assert_eq!(zones.contains(&1), crosses);
    host.report_utilization(0, 1.0);
    host.report_utilization(2, 1.0);
    assert_eq!(host.start_play(0, 4).1 % 2, 1, "the zone is left once it is full");
}

#[test_case(0.0, true; "connections are free")]
#[test_case(0.05, false; "connections have a price")]
fn a_priced_new_connection_is_avoided_while_a_connected_server_has_room(price: f64, connects: bool) {
    let sizes = [("extra.link_unit_kb", 9000.0), ("extra.rack_link_kb", 90_000.0)];
    let mut host = Host::new(&[("costs.handshake", price), sizes[0], sizes[1]]);
    host.now += 7000.0;
    host.report_utilization(2, 0.2);
    let others = (0..8).filter(|_| host.start_play(0, 4).1 != 2).count();
    assert_eq!(others > 0, connects);
    host.report_utilization(2, 1.0);
    assert_ne!(host.start_play(0, 4).1, 2, "another server is taken once the link is full");
}
