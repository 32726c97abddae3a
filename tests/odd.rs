//! Figures, settings and lists that can't be, or leave something out. One fake host.

mod host;

use host::Host;
use pulleystair::{LoadMetric, Outcome, Placement, Standing};
use test_case::test_case;

#[test_case(f64::NAN)]
#[test_case(-3.0)]
#[test_case(f64::INFINITY)]
#[test_case(1e300)]
fn a_figure_that_cannot_be_is_no_end_of_a_server(x: f64) {
    let mut host = Host::new(&[]);
    let (ply, _) = host.start(0, 1);
    for figure in [
        LoadMetric::Link,
        LoadMetric::LinkCapped,
        LoadMetric::Uplink,
        LoadMetric::Delivered,
        LoadMetric::Streams,
    ] {
        host.front.on_load_metric(host.now, &mut host.plays, 0, Some(ply), figure(x));
        host.front.on_load_metric(host.now, &mut host.plays, 99, None, figure(x));
    }
    host.front.on_load_metric(host.now, &mut host.plays, 0, None, LoadMetric::Streams(1.0));
    host.now += 3000.0;
    host.measure(0, 0.1);
    assert_eq!(host.start(0, 1).1, 0);
}

#[test_case(&[("extra.cabinets", 0.0), ("extra.places", 0.0)]; "no racks or cells")]
#[test_case(&[("extra.cabinets", 1e15), ("extra.places", 1e15)]; "more racks and cells than can be")]
#[test_case(&[("balancers", 0.0), ("rank", 7.0)]; "no fronts")]
#[test_case(&[("extra.class_floor.0", 9.0), ("extra.top_by_class.0", 3.0)]; "a floor above the ladder")]
#[test_case(&[("extra.link_unit_kb", 0.0), ("extra.rack_link_kb", 0.0), ("extra.fleet_kb", 0.0)]; "no sizes")]
#[test_case(&[("rules.cold", -1.0), ("rules.overload_factor", 0.0), ("costs.probe", -1.0)]; "odd rules")]
fn odd_settings_make_no_panic(changes: &[(&str, f64)]) {
    let mut host = Host::new(changes);
    let ply = host.take(3, usize::MAX);
    if host.sent_to(ply).is_some() {
        host.after(ply, Outcome::Playing);
        host.now += 20_000.0;
        host.measure(0, 2.0);
        assert!(matches!(host.ask(ply), Placement::Keep { .. }));
    } else {
        assert!(host.plays[ply].finished || host.front.time_to_recheck(host.now, &host.plays[ply]).is_some());
    }
}

#[test]
fn a_list_that_repeats_and_flaps_names_each_holder_once() {
    let mut host = Host::new(&[]);
    host.lines.extend(host.lines.clone());
    for standing in [Standing::Gone, Standing::Ready, Standing::Draining, Standing::Ready] {
        host.lines.iter_mut().for_each(|l| l.standing = standing);
        host.list();
    }
    host.measure(0, 0.5);
    let servers: Vec<usize> = (0..8).map(|_| host.start(0, 1).1).collect();
    assert_eq!(servers, vec![0; 8]);
}

/// A class that is named is sold, whatever else the settings leave out of it.
#[test]
fn a_class_without_an_importance_is_sold() {
    let mut sheet = host::sheet(&[], "read_like");
    sheet.remove("products.0.importance");
    for (i, name) in ["plain", "dear"].iter().enumerate() {
        sheet.insert(format!("products.{i}.name"), pulleystair::Value::Text((*name).into()));
    }
    let front = pulleystair::logic::Policy::new(sheet, 7);
    assert!(front.has_product(0) && front.has_product(1) && !front.has_product(2));
}
