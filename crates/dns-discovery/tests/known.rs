//! The events known at the start are merged into one list.

use pulleystair::Standing;
use pulleystair_dns_discovery::InitialEvents;

fn initial_events(events: &str) -> InitialEvents {
    serde_json::from_str(&format!(r#"{{"rev":9,"notices":[{events}]}}"#)).expect("valid events")
}

fn server(id: &str, state: &str) -> String {
    format!(r#"{{"id":"{id}","addr":"10.0.0.1:2905","state":"{state}"}}"#)
}

fn event(rev: u32, full: bool, servers: &[String]) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"full":{full},"servers":[{}]}}}}"#, servers.join(","))
}

#[test]
fn later_events_update_the_first_list() {
    let first = event(1, true, &[server("a", "in_service"), server("b", "in_service")]);
    let second = event(2, false, &[server("b", "terminating"), server("c", "in_service")]);
    let last = event(3, false, &[server("b", "terminated")]);
    let (is_whole, list) = initial_events(&[first, second, last].join(",")).merged_list();
    let standings: Vec<(&str, Standing)> = list.iter().map(|e| (e.id.as_str(), e.standing)).collect();
    assert!(is_whole);
    assert_eq!(standings, [("a", Standing::Ready), ("b", Standing::Gone), ("c", Standing::Ready)]);
}

#[test]
fn a_later_whole_list_replaces_earlier_entries() {
    let first = event(1, true, &[server("a", "in_service")]);
    let (is_whole, list) =
        initial_events(&[first, event(2, true, &[server("c", "in_service")])].join(",")).merged_list();
    assert!(is_whole && list.len() == 1 && list[0].id == "c");
    assert_eq!(initial_events("").merged_list(), (false, vec![]));
}
