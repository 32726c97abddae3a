//! The events of a start as the one list that they come to.

use pulleystair::Standing;
use pulleystair_dns_discovery::InitialEvents;

fn known(notices: &str) -> InitialEvents {
    serde_json::from_str(&format!(r#"{{"rev":9,"notices":[{notices}]}}"#)).expect("events")
}

fn server(id: &str, state: &str) -> String {
    format!(r#"{{"id":"{id}","addr":"10.0.0.1:2905","state":"{state}"}}"#)
}

fn notice(rev: u32, full: bool, servers: &[String]) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"full":{full},"servers":[{}]}}}}"#, servers.join(","))
}

#[test]
fn later_events_change_what_the_first_one_listed() {
    let first = notice(1, true, &[server("a", "in_service"), server("b", "in_service")]);
    let then = notice(2, false, &[server("b", "terminating"), server("c", "in_service")]);
    let last = notice(3, false, &[server("b", "terminated")]);
    let (whole, list) = known(&[first, then, last].join(",")).merged_list();
    let told: Vec<(&str, Standing)> = list.iter().map(|e| (e.id.as_str(), e.standing)).collect();
    assert!(whole);
    assert_eq!(told, [("a", Standing::Ready), ("b", Standing::Gone), ("c", Standing::Ready)]);
}

#[test]
fn a_later_whole_list_is_all_that_there_is() {
    let first = notice(1, true, &[server("a", "in_service")]);
    let (whole, list) =
        known(&[first, notice(2, true, &[server("c", "in_service")])].join(",")).merged_list();
    assert!(whole && list.len() == 1 && list[0].id == "c");
    assert_eq!(known("").merged_list(), (false, vec![]));
}
