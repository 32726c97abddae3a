//! Tests of the view: fixed sequences of updates, and random ones against a simple model of a registry.

use proptest::prelude::*;
use pulleystair_membership::{HoldReason, MembershipConfig, Server, Standing, Update, UpdateResult, View};
use std::collections::BTreeMap;

const CONFIG: MembershipConfig = MembershipConfig {
    max_shrink_share: 0.5,
    hold_ms: 1000.0,
    drain_after_returns: 3,
    return_window_ms: 5000.0,
    max_list_age_ms: 2000.0,
    forget_gone_after_ms: 60_000.0,
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
        started_at: 0.0,
    }
}

fn draining(n: usize) -> Server {
    Server { standing: Standing::Draining, ..server(n) }
}

fn full_list(revision: u64, servers: impl IntoIterator<Item = Server>) -> Update {
    Update::Full { revision, age_ms: 0.0, servers: servers.into_iter().collect() }
}

fn change(revision: u64, put: &[Server], removed: &[usize]) -> Update {
    Update::Change { revision, put: put.to_vec(), removed: removed.iter().map(|n| format!("m{n}")).collect() }
}

/// Numbers of the servers that may get new plays.
fn ready(view: &View, now: f64) -> Vec<usize> {
    let list = view.list(now).into_iter().filter(|l| l.server.standing == Standing::Ready);
    list.map(|l| l.server.cell).collect()
}

/// A view of two sources, the first of which lists this many servers at revision 10.
fn view_with(count: usize) -> View {
    let mut view = View::new(CONFIG, 2);
    assert!(view.apply(0.0, 0, full_list(10, (0..count).map(server))).changed);
    view
}

#[test]
fn changes_follow_a_full_list_and_duplicates_change_nothing() {
    let mut view = view_with(8);
    assert!(view.apply(1.0, 0, change(11, &[draining(2)], &[5])).changed);
    assert_eq!(ready(&view, 1.0), [0, 1, 3, 4, 6, 7]);
    assert_eq!(
        view.apply(2.0, 0, change(11, &[server(2)], &[])),
        UpdateResult::default(),
        "a repeated change"
    );
    assert_eq!(view.apply(2.0, 0, change(9, &[server(5)], &[])), UpdateResult::default(), "a late change");
    assert_eq!(view.revision(0), Some(11));
}

#[test]
fn after_a_lost_connection_only_a_full_list_is_accepted() {
    let mut view = view_with(8);
    assert!(view.apply(1.0, 0, Update::Lost).full_list_needed);
    assert_eq!((view.revision(0), ready(&view, 1.0).len()), (None, 8), "the last list stays in use");
    assert!(
        view.apply(2.0, 0, change(30, &[server(9)], &[])).full_list_needed,
        "the changes in between are not known"
    );
    view.apply(3.0, 0, full_list(40, (0..7).map(|n| if n == 3 { draining(3) } else { server(n) })));
    assert_eq!(
        ready(&view, 3.0),
        [0, 1, 2, 4, 5, 6],
        "servers drained or removed meanwhile get no new plays after the first full list"
    );
}

#[test]
fn removals_in_a_briefly_empty_list_are_held_back_and_drains_apply() {
    let mut view = view_with(8);
    let result = view.apply(1.0, 0, full_list(11, []));
    assert_eq!(result.held_back, Some(HoldReason::Shrunk { removed: 8, total: 8 }));
    assert!(result.full_list_needed && ready(&view, 1.0).len() == 8);
    view.apply(500.0, 0, full_list(12, [draining(0), server(1)]));
    assert_eq!(ready(&view, 500.0), [1, 2, 3, 4, 5, 6, 7], "a drain is never held back");
    assert!(!view.tick(900.0));
    view.apply(950.0, 0, full_list(13, (0..8).map(server)));
    assert!(!view.tick(5000.0), "the shrunk lists were a mistake");
    assert_eq!(ready(&view, 5000.0).len(), 8);
}

#[test]
fn a_large_removal_applies_once_the_source_was_heard_after_the_hold_time() {
    let mut view = view_with(8);
    view.apply(1.0, 0, full_list(11, [server(0)]));
    assert_eq!(view.next_deadline(), Some(1001.0));
    assert!(!view.tick(1001.0), "the source was not heard after the hold time");
    assert_eq!(ready(&view, 1001.0).len(), 8);
    view.apply(1100.0, 0, Update::Alive);
    assert!(view.tick(1100.0));
    assert_eq!(ready(&view, 1100.0), [0]);
}

#[test]
fn a_lower_revision_is_held_back_until_it_persists() {
    let mut view = view_with(8);
    view.apply(1.0, 0, change(20, &[server(9)], &[1]));
    let stale =
        view.apply(2.0, 0, full_list(15, (0..8).map(|n| if n == 4 { draining(4) } else { server(n) })));
    assert_eq!(stale.held_back, Some(HoldReason::LowerRevision { from: 20, to: 15 }));
    assert_eq!(ready(&view, 2.0), [0, 2, 3, 5, 6, 7, 9], "only the drain applies");
    view.apply(900.0, 0, full_list(16, (0..4).map(server)));
    assert_eq!(ready(&view, 900.0).len(), 7);
    // The registry was set up anew: a revision that stays lower is the new history.
    let result = view.apply(1100.0, 0, full_list(17, (0..6).map(server)));
    assert_eq!((result.held_back, view.revision(0)), (None, Some(17)));
    assert_eq!(ready(&view, 1100.0), [0, 1, 2, 3, 4, 5]);
}

#[test]
fn a_new_process_under_a_known_name_or_address_replaces_the_old_one() {
    let mut view = view_with(4);
    view.apply(100.0, 0, change(11, &[Server { address: ([127, 0, 0, 1], 9999).into(), ..server(1) }], &[]));
    assert_eq!(
        view.list(100.0)[1].server.started_at,
        100.0,
        "a process at a new address counts as started when first seen"
    );
    view.apply(200.0, 0, change(12, &[Server { started_at: 150.0, ..server(2) }], &[]));
    assert_eq!(view.list(200.0)[2].server.started_at, 150.0);
    // A new name at the address of an old server: the old process no longer runs, and its name is not listed.
    let replacement =
        Server { name: "m7".into(), address: server(3).address, started_at: 180.0, ..server(7) };
    view.apply(300.0, 0, change(13, &[replacement], &[]));
    assert_eq!(ready(&view, 300.0), [0, 1, 2, 7]);
}

#[test]
fn a_flapping_server_gets_no_new_plays_until_it_has_stayed() {
    let mut view = view_with(8);
    let mut revision = 10;
    for _ in 0..3 {
        for removing in [true, false] {
            revision += 1;
            let put: &[Server] = if removing { &[] } else { &[server(2)] };
            let removed: &[usize] = if removing { &[2] } else { &[] };
            view.apply(revision as f64, 0, change(revision, put, removed));
        }
    }
    assert!(!ready(&view, 20.0).contains(&2));
    assert_eq!(view.list(20.0).len(), 8, "its running plays go on");
    let deadline = view.next_deadline().unwrap();
    assert!(view.tick(deadline) && ready(&view, deadline).contains(&2));
}

#[test]
fn a_snapshot_lists_unconfirmed_servers_until_another_source_is_synced() {
    let mut view = View::new(CONFIG, 2);
    let snapshot = Update::Full { revision: 5, age_ms: 1e6, servers: (0..4).map(server).collect() };
    assert!(view.apply(0.0, 1, snapshot).changed);
    assert!(view.list(0.0).iter().all(|l| l.unconfirmed) && ready(&view, 0.0).len() == 4);
    assert_eq!(view.revision(1), None);
    view.apply(1.0, 0, full_list(50, [server(1), server(2), server(9)]));
    assert_eq!(ready(&view, 1.0), [1, 2, 9]);
    assert!(view.list(1.0).iter().all(|l| !l.unconfirmed));
}

#[test]
fn a_server_removed_by_one_source_returns_once_the_other_is_heard_listing_it() {
    let mut view = view_with(8);
    view.apply(1.0, 1, full_list(1, (0..8).map(server)));
    view.apply(2.0, 0, change(11, &[], &[6]));
    assert!(!ready(&view, 2.0).contains(&6));
    view.apply(3.0, 1, Update::Alive);
    assert!(ready(&view, 3.0).contains(&6), "the other source was heard since and still lists it");
    view.apply(4.0, 1, change(2, &[draining(6)], &[]));
    assert!(!ready(&view, 4.0).contains(&6));
}

#[test]
fn a_list_of_a_hundred_thousand_servers_takes_a_thousand_changes() {
    let mut view = view_with(100_000);
    for n in 0..1000u64 {
        let changed = if n % 2 == 0 { draining(n as usize) } else { server(n as usize - 1) };
        assert!(view.apply(n as f64, 0, change(11 + n, &[changed], &[])).changed);
    }
    assert_eq!(ready(&view, 1000.0).len(), 100_000);
}

/// A change of the registry, or of what arrives from it.
#[derive(Clone, Debug)]
enum Operation {
    /// Sets a server's standing, or removes the server.
    SetState(usize, Option<Standing>),
    /// Delivers the pending change at this position.
    Deliver(usize),
    /// Delivers the pending change at this position, and leaves it pending.
    Repeat(usize),
    /// Drops all pending changes, and reports the connection as lost.
    Disconnect,
    /// Drops all pending changes, and reads the newest full list.
    ReadAll,
    /// Reads the full list as of this many revisions before the newest.
    ReadStale(usize),
}

/// A random operation on up to five servers.
fn operation() -> impl Strategy<Value = Operation> {
    let standing = prop_oneof![Just(None), Just(Some(Standing::Ready)), Just(Some(Standing::Draining))];
    prop_oneof![
        4 => (0usize..5, standing).prop_map(|(n, s)| Operation::SetState(n, s)),
        4 => (0usize..3).prop_map(Operation::Deliver),
        1 => (0usize..3).prop_map(Operation::Repeat),
        1 => Just(Operation::Disconnect),
        1 => Just(Operation::ReadAll),
        1 => (0usize..6).prop_map(Operation::ReadStale),
    ]
}

type State = BTreeMap<usize, Standing>;

fn servers(state: &State) -> Vec<Server> {
    state.iter().map(|(n, standing)| Server { standing: *standing, ..server(*n) }).collect()
}

proptest! {
    /// Changes of the registry are lost, repeated, late or stale. In the end the view equals the registry, and at no time
    /// does it list a server as ready that is not ready in the newest state delivered.
    #[test]
    fn the_view_converges_to_the_registry(operations in prop::collection::vec(operation(), 1..120)) {
        let config = MembershipConfig { max_shrink_share: 1.0, drain_after_returns: 1000, ..CONFIG };
        let mut view = View::new(config, 1);
        // Two servers that never change keep the list from becoming empty.
        let mut history: Vec<State> = vec![[(8, Standing::Ready), (9, Standing::Ready)].into()];
        let (mut pending, mut now) = (Vec::<Update>::new(), 0.0);
        let mut known_state = history[0].clone();
        view.apply(now, 0, full_list(0, servers(&history[0])));
        for operation in operations {
            now += 1.0;
            let revision = history.len() as u64;
            match operation {
                Operation::SetState(n, standing) => {
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
                    let removed = if standing.is_none() { vec![format!("m{n}")] } else { Vec::new() };
                    history.push(state);
                    pending.push(Update::Change { revision, put, removed });
                }
                // Any of the first three pending changes may arrive next.
                Operation::Deliver(position) | Operation::Repeat(position) if position < pending.len() => {
                    let update = if matches!(operation, Operation::Repeat(_)) { pending[position].clone() } else { pending.remove(position) };
                    let Update::Change { revision, .. } = &update else { unreachable!("only changes are sent") };
                    let has_gap = view.revision(0).is_some_and(|known| *revision > known + 1);
                    // A client that misses revisions can't continue the watch and reports it as lost.
                    let update = if has_gap { Update::Lost } else { update };
                    view.apply(now, 0, update);
                }
                Operation::Disconnect => {
                    pending.clear();
                    view.apply(now, 0, Update::Lost);
                }
                Operation::ReadAll => {
                    pending.clear();
                    view.apply(now, 0, full_list(revision - 1, servers(history.last().unwrap())));
                }
                Operation::ReadStale(back) => {
                    let known = history.len().saturating_sub(1 + back);
                    view.apply(now, 0, full_list(known as u64, servers(&history[known])));
                }
                _ => {}
            }
            if let Some(known) = view.revision(0) {
                known_state = history[known as usize].clone();
            }
            for n in ready(&view, now) {
                prop_assert_eq!(known_state.get(&n), Some(&Standing::Ready), "m{} is listed as ready", n);
            }
        }
        let revision = history.len() as u64 - 1;
        view.apply(now, 0, full_list(revision, servers(history.last().unwrap())));
        let listed: State = view.list(now).iter().map(|l| (l.server.cell, l.server.standing)).collect();
        prop_assert_eq!(&listed, history.last().unwrap());
    }
}
