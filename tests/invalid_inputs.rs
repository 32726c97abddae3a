//! Load metrics, settings and server lists with impossible or missing values do not break a front. Uses one fake host.

mod host;

use host::Host;
use pulleystair::{LoadMetric, Outcome, Placement, Standing};
use test_case::test_case;

#[test_case(f64::NAN)]
#[test_case(-3.0)]
#[test_case(f64::INFINITY)]
#[test_case(1e300)]
fn an_impossible_metric_does_not_exclude_a_server(x: f64) {
    let mut host = Host::new(&[]);
    let (play_index, _) = host.start_play(0, 1);
    for metric in [
        LoadMetric::Link,
        LoadMetric::LinkCapped,
        LoadMetric::Uplink,
        LoadMetric::Delivered,
        LoadMetric::Streams,
    ] {
        host.policy.on_load_metric(host.now, &mut host.plays, 0, Some(play_index), metric(x));
        host.policy.on_load_metric(host.now, &mut host.plays, 99, None, metric(x));
    }
    host.policy.on_load_metric(host.now, &mut host.plays, 0, None, LoadMetric::Streams(1.0));
    host.now += 3000.0;
    host.report_utilization(0, 0.1);
    assert_eq!(host.start_play(0, 1).1, 0);
}

#[test_case(&[("extra.cabinets", 0.0), ("extra.places", 0.0)]; "no racks or cells")]
#[test_case(&[("extra.cabinets", 1e15), ("extra.places", 1e15)]; "too many racks and cells")]
#[test_case(&[("balancers", 0.0), ("rank", 7.0)]; "no fronts")]
#[test_case(&[("extra.class_floor.0", 9.0), ("extra.top_by_class.0", 3.0)]; "a floor above the ladder")]
#[test_case(&[("extra.link_unit_kb", 0.0), ("extra.rack_link_kb", 0.0), ("extra.fleet_kb", 0.0)]; "no sizes")]
#[test_case(&[("rules.cold", -1.0), ("rules.overload_factor", 0.0), ("costs.probe", -1.0)]; "impossible rules")]
fn impossible_settings_cause_no_panic(changes: &[(&str, f64)]) {
    let mut host = Host::new(changes);
    let play_index = host.add_play(3, usize::MAX);
    if host.server_for(play_index).is_some() {
        host.report_outcome(play_index, Outcome::Playing);
        host.now += 20_000.0;
        host.report_utilization(0, 2.0);
        assert!(matches!(host.place(play_index), Placement::Keep { .. }));
    } else {
        assert!(
            host.plays[play_index].finished
                || host.policy.time_to_recheck(host.now, &host.plays[play_index]).is_some()
        );
    }
}

#[test]
fn a_list_with_repeated_entries_and_changing_standings_yields_each_holder_once() {
    let mut host = Host::new(&[]);
    host.entries.extend(host.entries.clone());
    for standing in [Standing::Gone, Standing::Ready, Standing::Draining, Standing::Ready] {
        host.entries.iter_mut().for_each(|entry| entry.standing = standing);
        host.update_list();
    }
    host.report_utilization(0, 0.5);
    let servers: Vec<usize> = (0..8).map(|_| host.start_play(0, 1).1).collect();
    assert_eq!(servers, vec![0; 8]);
}

/// A product with a name exists, whatever else the settings leave out of it.
#[test]
fn a_product_without_an_importance_exists() {
    let mut settings = host::test_settings(&[], "read_like");
    settings.remove("products.0.importance");
    for (i, name) in ["plain", "dear"].iter().enumerate() {
        settings.insert(format!("products.{i}.name"), pulleystair::Value::Text((*name).into()));
    }
    let policy = pulleystair::logic::Policy::new(settings, 7);
    assert!(policy.has_product(0) && policy.has_product(1) && !policy.has_product(2));
}
