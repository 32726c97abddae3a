//! What sources of the list do to a view, told as short stories, and random ones against a simple model.

use proptest::prelude::*;
use pulleystair_membership::{Held, MembershipConfig, Server, Standing, Taken, Update, View};
use std::collections::BTreeMap;

const TERMS: MembershipConfig = MembershipConfig {
    shrink: 0.5,
    hold: 1000.0,
    flaps: 3,
    flap_span: 5000.0,
    old: 2000.0,
    forget: 60_000.0,
};

fn server(n: usize) -> Server {
    Server {
        name: format!("m{n}"),
        address: ([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 9000).into(),
        zone: "here".into(),
        kind: "standard".into(),
        cell: n,
        weight: 1.0,
        standing: Standing::Ready,
        started: 0.0,
    }
}

fn draining(n: usize) -> Server {
    Server { standing: Standing::Draining, ..server(n) }
}

fn whole(revision: u64, servers: impl IntoIterator<Item = Server>) -> Update {
    Update::Whole { revision, age: 0.0, servers: servers.into_iter().collect() }
}

fn change(revision: u64, put: &[Server], gone: &[usize]) -> Update {
    Update::Change { revision, put: put.to_vec(), gone: gone.iter().map(|n| format!("m{n}")).collect() }
}

/// Those that may get plays, by their numbers.
fn ready(view: &View, now: f64) -> Vec<usize> {
    let list = view.list(now).into_iter().filter(|l| l.server.standing == Standing::Ready);
    list.map(|l| l.server.cell).collect()
}

fn with(count: usize) -> View {
    let mut view = View::new(TERMS, 2);
    assert!(view.apply(0.0, 0, whole(10, (0..count).map(server))).changed);
    view
}

#[test]
fn changes_go_on_from_a_whole_list_and_duplicates_change_nothing() {
    let mut view = with(8);
    assert!(view.apply(1.0, 0, change(11, &[draining(2)], &[5])).changed);
    assert_eq!(ready(&view, 1.0), [0, 1, 3, 4, 6, 7]);
    assert_eq!(view.apply(2.0, 0, change(11, &[server(2)], &[])), Taken::default(), "told twice");
    assert_eq!(view.apply(2.0, 0, change(9, &[server(5)], &[])), Taken::default(), "told late");
    assert_eq!(view.revision(0), Some(11));
}

#[test]
fn after_a_break_nothing_is_taken_that_is_not_whole() {
    let mut view = with(8);
    assert!(view.apply(1.0, 0, Update::Lost).whole_wanted);
    assert_eq!((view.revision(0), ready(&view, 1.0).len()), (None, 8), "the last view goes on");
    assert!(view.apply(2.0, 0, change(30, &[server(9)], &[])).whole_wanted, "what came between is not known");
    view.apply(3.0, 0, whole(40, (0..7).map(|n| if n == 3 { draining(3) } else { server(n) })));
    assert_eq!(
        ready(&view, 3.0),
        [0, 1, 2, 4, 5, 6],
        "drained and removed meanwhile: nothing from first contact on"
    );
}

#[test]
fn an_empty_list_for_two_seconds_empties_nothing_and_drains_in_it_count() {
    let mut view = with(8);
    let taken = view.apply(1.0, 0, whole(11, []));
    assert_eq!(taken.held, Some(Held::Shrunk { gone: 8, of: 8 }));
    assert!(taken.whole_wanted && ready(&view, 1.0).len() == 8);
    view.apply(500.0, 0, whole(12, [draining(0), server(1)]));
    assert_eq!(ready(&view, 500.0), [1, 2, 3, 4, 5, 6, 7], "a drain is never held back");
    assert!(!view.tick(900.0));
    view.apply(950.0, 0, whole(13, (0..8).map(server)));
    assert!(!view.tick(5000.0), "it was a mistake");
    assert_eq!(ready(&view, 5000.0).len(), 8);
}

#[test]
fn a_fleet_that_did_shrink_is_believed_once_it_is_told_again() {
    let mut view = with(8);
    view.apply(1.0, 0, whole(11, [server(0)]));
    assert_eq!(view.next_deadline(), Some(1001.0));
    assert!(!view.tick(1001.0), "the source has not been heard since");
    assert_eq!(ready(&view, 1001.0).len(), 8);
    view.apply(1100.0, 0, Update::Alive);
    assert!(view.tick(1100.0));
    assert_eq!(ready(&view, 1100.0), [0]);
}

#[test]
fn an_index_that_goes_back_is_a_stale_follower_until_it_stays() {
    let mut view = with(8);
    view.apply(1.0, 0, change(20, &[server(9)], &[1]));
    let stale = view.apply(2.0, 0, whole(15, (0..8).map(|n| if n == 4 { draining(4) } else { server(n) })));
    assert_eq!(stale.held, Some(Held::Backwards { from: 20, to: 15 }));
    assert_eq!(ready(&view, 2.0), [0, 2, 3, 5, 6, 7, 9], "only the drain is taken");
    view.apply(900.0, 0, whole(16, (0..4).map(server)));
    assert_eq!(ready(&view, 900.0).len(), 7);
    // The registry was set up anew: what stays lower is the new history.
    let taken = view.apply(1100.0, 0, whole(17, (0..6).map(server)));
    assert_eq!((taken.held, view.revision(0)), (None, Some(17)));
    assert_eq!(ready(&view, 1100.0), [0, 1, 2, 3, 4, 5]);
}

#[test]
fn a_process_replaced_under_the_same_name_or_address_is_a_new_one() {
    let mut view = with(4);
    view.apply(100.0, 0, change(11, &[Server { address: ([127, 0, 0, 1], 9999).into(), ..server(1) }], &[]));
    assert_eq!(view.list(100.0)[1].server.started, 100.0, "cold from when it was first seen");
    view.apply(200.0, 0, change(12, &[Server { started: 150.0, ..server(2) }], &[]));
    assert_eq!(view.list(200.0)[2].server.started, 150.0);
    // Another name at the address of an old one: the old process is there no more.
    let heir = Server { name: "m7".into(), address: server(3).address, started: 180.0, ..server(7) };
    view.apply(300.0, 0, change(13, &[heir], &[]));
    assert_eq!(ready(&view, 300.0), [0, 1, 2, 7]);
}

#[test]
fn a_server_that_comes_and_goes_gets_nothing_new_until_it_stays() {
    let mut view = with(8);
    let mut revision = 10;
    for _ in 0..3 {
        for gone in [true, false] {
            revision += 1;
            let put: &[Server] = if gone { &[] } else { &[server(2)] };
            let out: &[usize] = if gone { &[2] } else { &[] };
            view.apply(revision as f64, 0, change(revision, put, out));
        }
    }
    assert!(!ready(&view, 20.0).contains(&2));
    assert_eq!(view.list(20.0).len(), 8, "what plays there goes on");
    let due = view.next_deadline().unwrap();
    assert!(view.tick(due) && ready(&view, due).contains(&2));
}

#[test]
fn a_snapshot_starts_a_front_and_a_source_in_step_overrules_it() {
    let mut view = View::new(TERMS, 2);
    let snapshot = Update::Whole { revision: 5, age: 1e6, servers: (0..4).map(server).collect() };
    assert!(view.apply(0.0, 1, snapshot).changed);
    assert!(view.list(0.0).iter().all(|l| l.cached) && ready(&view, 0.0).len() == 4);
    assert_eq!(view.revision(1), None);
    view.apply(1.0, 0, whole(50, [server(1), server(2), server(9)]));
    assert_eq!(ready(&view, 1.0), [1, 2, 9]);
    assert!(view.list(1.0).iter().all(|l| !l.cached));
}

#[test]
fn a_server_in_two_sources_is_gone_when_the_one_that_lists_it_is_not_heard() {
    let mut view = with(8);
    view.apply(1.0, 1, whole(1, (0..8).map(server)));
    view.apply(2.0, 0, change(11, &[], &[6]));
    assert!(!ready(&view, 2.0).contains(&6));
    view.apply(3.0, 1, Update::Alive);
    assert!(ready(&view, 3.0).contains(&6), "the other one is there and still lists it");
    view.apply(4.0, 1, change(2, &[draining(6)], &[]));
    assert!(!ready(&view, 4.0).contains(&6));
}

#[test]
fn a_hundred_thousand_servers_and_a_thousand_changes() {
    let mut view = with(100_000);
    for n in 0..1000u64 {
        let it = if n % 2 == 0 { draining(n as usize) } else { server(n as usize - 1) };
        assert!(view.apply(n as f64, 0, change(11 + n, &[it], &[])).changed);
    }
    assert_eq!(ready(&view, 1000.0).len(), 100_000);
}

#[derive(Clone, Debug)]
enum Does {
    Sets(usize, Option<Standing>),
    Delivers(usize),
    Repeats(usize),
    Breaks,
    ReadsAll,
    ReadsStale(usize),
}

fn does() -> impl Strategy<Value = Does> {
    let standing = prop_oneof![Just(None), Just(Some(Standing::Ready)), Just(Some(Standing::Draining))];
    prop_oneof![
        4 => (0usize..5, standing).prop_map(|(n, s)| Does::Sets(n, s)),
        4 => (0usize..3).prop_map(Does::Delivers),
        1 => (0usize..3).prop_map(Does::Repeats),
        1 => Just(Does::Breaks),
        1 => Just(Does::ReadsAll),
        1 => (0usize..6).prop_map(Does::ReadsStale),
    ]
}

type State = BTreeMap<usize, Standing>;

fn servers(state: &State) -> Vec<Server> {
    state.iter().map(|(n, standing)| Server { standing: *standing, ..server(*n) }).collect()
}

proptest! {
    /// A registry whose events are lost, repeated, late or stale: in the end the view is what the registry is, and
    /// at no time is a server offered that the newest word delivered does not call ready.
    #[test]
    fn the_view_ends_where_the_registry_is(all in prop::collection::vec(does(), 1..120)) {
        let terms = MembershipConfig { shrink: 1.0, flaps: 1000, ..TERMS };
        let mut view = View::new(terms, 1);
        // Two servers that never change keep the list from emptying.
        let mut history: Vec<State> = vec![[(8, Standing::Ready), (9, Standing::Ready)].into()];
        let (mut events, mut now) = (Vec::<Update>::new(), 0.0);
        let mut told = history[0].clone();
        view.apply(now, 0, whole(0, servers(&history[0])));
        for it in all {
            now += 1.0;
            let revision = history.len() as u64;
            match it {
                Does::Sets(n, standing) => {
                    let mut state = history.last().unwrap().clone();
                    let put = match standing {
                        Some(s) => {
                            state.insert(n, s);
                            vec![Server { standing: s, ..server(n) }]
                        }
                        None => {
                            state.remove(&n);
                            Vec::new()
                        }
                    };
                    let gone = if standing.is_none() { vec![format!("m{n}")] } else { Vec::new() };
                    history.push(state);
                    events.push(Update::Change { revision, put, gone });
                }
                // In order, but for those that overtake.
                Does::Delivers(at) | Does::Repeats(at) if at < events.len() => {
                    let news = if matches!(it, Does::Repeats(_)) { events[at].clone() } else { events.remove(at) };
                    let Update::Change { revision, .. } = &news else { unreachable!("only changes are sent") };
                    let skips = view.revision(0).is_some_and(|known| *revision > known + 1);
                    // A watch that leaves out revisions is not one to go on from: its client tells so.
                    let news = if skips { Update::Lost } else { news };
                    view.apply(now, 0, news);
                }
                Does::Breaks => {
                    events.clear();
                    view.apply(now, 0, Update::Lost);
                }
                Does::ReadsAll => {
                    events.clear();
                    view.apply(now, 0, whole(revision - 1, servers(history.last().unwrap())));
                }
                Does::ReadsStale(back) => {
                    let at = history.len().saturating_sub(1 + back);
                    view.apply(now, 0, whole(at as u64, servers(&history[at])));
                }
                _ => {}
            }
            if let Some(known) = view.revision(0) {
                told = history[known as usize].clone();
            }
            for n in ready(&view, now) {
                prop_assert_eq!(told.get(&n), Some(&Standing::Ready), "{} is offered", n);
            }
        }
        let revision = history.len() as u64 - 1;
        view.apply(now, 0, whole(revision, servers(history.last().unwrap())));
        let list: State = view.list(now).iter().map(|l| (l.server.cell, l.server.standing)).collect();
        prop_assert_eq!(&list, history.last().unwrap());
    }
}
