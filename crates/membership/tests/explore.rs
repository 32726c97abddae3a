//! Runs every sequence of events of a small registry, up to a fixed length, against the real view: two sources, compaction,
//! lost connections, repeated changes and reconnects.
//!
//! Two invariants are checked in every state. No server is listed for new plays that the newest delivered state of the
//! registry reports gone or draining, except one that is gone there and still in the file. And the view converges: once
//! the connection is back and every change is delivered, the view equals the registry together with the file.

use pulleystair_membership::{MembershipConfig, Server, Standing, Update, View};
use std::collections::{BTreeMap, VecDeque};

const CONFIG: MembershipConfig = MembershipConfig {
    max_shrink_share: 0.9,
    hold_ms: 1000.0,
    drain_after_returns: 1000,
    return_window_ms: 5000.0,
    max_list_age_ms: 2000.0,
    forget_gone_after_ms: 1e9,
};
/// Number of events in a sequence. Each further event takes about eight times as long.
const DEPTH: usize = 6;
/// Index of the registry among the sources.
const REGISTRY: usize = 0;
/// Index of the list file among the sources.
const FILE: usize = 1;

/// Standing of each server in the registry, by number.
type State = BTreeMap<usize, Standing>;

fn server(n: usize, standing: Standing) -> Server {
    Server {
        name: format!("m{n}"),
        address: format!("127.0.0.1:{}", 9000 + n).parse().unwrap(),
        zone: "here".into(),
        kind: "standard".into(),
        cell: n,
        weight: 1.0,
        standing,
        started_at: 0.0,
    }
}

fn servers(state: &State) -> Vec<Server> {
    state.iter().map(|(n, standing)| server(*n, *standing)).collect()
}

/// A change of the registry, or of what arrives from it or from the file.
#[derive(Clone, Copy, Debug)]
enum Event {
    Add(usize),
    Drain(usize),
    Remove(usize),
    /// The next change in flight arrives.
    Deliver,
    /// The last change that arrived arrives again.
    Repeat,
    /// The connection to the registry is lost, with all changes in flight.
    Break,
    /// The registry drops its changes up to the newest revision.
    Compact,
    Reconnect,
    /// The file is read, unchanged.
    FileHeard,
}

const EVENTS: [Event; 10] = [
    Event::Add(0),
    Event::Drain(0),
    Event::Remove(0),
    Event::Remove(1),
    Event::Deliver,
    Event::Repeat,
    Event::Break,
    Event::Compact,
    Event::Reconnect,
    Event::FileHeard,
];

/// The registry, its connection, and the view that is fed from it.
#[derive(Clone)]
struct RegistryModel {
    now: f64,
    /// State of the registry at each revision.
    history: Vec<State>,
    /// Changes below this revision are compacted.
    compacted: usize,
    connected: bool,
    /// Revisions that were sent and have not arrived.
    in_flight: VecDeque<usize>,
    /// Revision of the newest state that has arrived.
    arrived: usize,
    view: View,
}

impl RegistryModel {
    fn new() -> RegistryModel {
        // m2 is never removed; m1 is in the file too.
        let state: State = [0, 1, 2].map(|n| (n, Standing::Ready)).into();
        let mut view = View::new(CONFIG, 2);
        view.apply(0.0, REGISTRY, Update::Full { revision: 0, age_ms: 0.0, servers: servers(&state) });
        let file = vec![server(1, Standing::Ready)];
        view.apply(0.0, FILE, Update::Full { revision: 0, age_ms: 0.0, servers: file });
        RegistryModel {
            now: 0.0,
            history: vec![state],
            compacted: 0,
            connected: true,
            in_flight: VecDeque::new(),
            arrived: 0,
            view,
        }
    }

    /// Passes an update of the registry to the view.
    fn update(&mut self, update: Update) {
        self.view.apply(self.now, REGISTRY, update);
    }

    /// The change that a revision made.
    fn change_at(&mut self, revision: usize) -> Update {
        let (before, after) = (&self.history[revision - 1], &self.history[revision]);
        let put = after.iter().filter(|(n, s)| before.get(n) != Some(s));
        let removed = before.keys().filter(|n| !after.contains_key(n));
        Update::Change {
            revision: revision as u64,
            put: put.map(|(n, s)| server(*n, *s)).collect(),
            removed: removed.map(|n| format!("m{n}")).collect(),
        }
    }

    fn deliver(&mut self, revision: usize) {
        let update = self.change_at(revision);
        self.update(update);
        self.arrived = self.arrived.max(revision);
    }

    /// Changes the registry; false if its state stays the same.
    fn change_registry(&mut self, change: impl Fn(&mut State)) -> bool {
        let mut state = self.history[self.history.len() - 1].clone();
        change(&mut state);
        if state == self.history[self.history.len() - 1] {
            return false;
        }
        self.history.push(state);
        if self.connected {
            self.in_flight.push_back(self.history.len() - 1);
        }
        true
    }

    /// Applies an event; false if it would change nothing.
    fn apply(&mut self, event: Event) -> bool {
        self.now += 1.0;
        match event {
            Event::Add(n) => self.change_registry(|state| {
                state.insert(n, Standing::Ready);
            }),
            Event::Drain(n) => self.change_registry(|state| {
                state.entry(n).and_modify(|s| *s = Standing::Draining);
            }),
            Event::Remove(n) => self.change_registry(|state| {
                state.remove(&n);
            }),
            Event::Deliver => match self.in_flight.pop_front() {
                Some(revision) => {
                    self.deliver(revision);
                    true
                }
                None => false,
            },
            Event::Repeat if self.arrived > 0 && self.connected => {
                let update = self.change_at(self.arrived);
                self.update(update);
                true
            }
            Event::Break if self.connected => {
                (self.connected, self.in_flight) = (false, VecDeque::new());
                self.update(Update::Lost);
                true
            }
            Event::Compact if self.compacted + 1 < self.history.len() => {
                self.compacted = self.history.len() - 1;
                true
            }
            Event::Reconnect if !self.connected => {
                self.reconnect();
                true
            }
            Event::FileHeard => {
                self.view.apply(self.now, FILE, Update::Alive);
                true
            }
            _ => false,
        }
    }

    /// Reconnects as a client does: it continues from its revision unless that is compacted, and reads the full list if it is.
    fn reconnect(&mut self) {
        self.connected = true;
        match self.view.revision(REGISTRY) {
            Some(known) if known as usize >= self.compacted => {
                self.in_flight = (known as usize + 1..self.history.len()).collect();
            }
            _ => {
                self.arrived = self.history.len() - 1;
                let update = Update::Full {
                    revision: self.arrived as u64,
                    age_ms: 0.0,
                    servers: servers(&self.history[self.arrived]),
                };
                self.update(update);
            }
        }
    }

    /// Numbers of the servers that the view lists as ready.
    fn ready_servers(&self) -> Vec<usize> {
        let list = self.view.list(self.now).into_iter();
        list.filter(|l| l.server.standing == Standing::Ready).map(|l| l.server.cell).collect()
    }

    /// Checks that each server listed as ready is ready in the newest state that arrived, or gone there and in the file.
    fn assert_invariants(&self, events: &[Event]) {
        let known = &self.history[self.arrived];
        for n in self.ready_servers() {
            let is_in_file = n == 1 && known.get(&n).is_none();
            assert!(
                known.get(&n) == Some(&Standing::Ready) || is_in_file,
                "m{n} is listed as ready, but the registry reported {:?}: {events:?}",
                known.get(&n)
            );
        }
    }

    /// Restores the connection, delivers every change, and checks that the view equals the registry together with the file.
    fn assert_convergence(mut self, events: &[Event]) {
        if !self.connected {
            self.reconnect();
        }
        while let Some(revision) = self.in_flight.pop_front() {
            self.deliver(revision);
        }
        self.now += CONFIG.hold_ms + 1.0;
        self.update(Update::Alive);
        self.view.tick(self.now);
        self.view.apply(self.now + 1.0, FILE, Update::Alive);
        let listed: State =
            self.view.list(self.now + 1.0).iter().map(|l| (l.server.cell, l.server.standing)).collect();
        let mut registry = self.history[self.history.len() - 1].clone();
        // The file still lists m1.
        registry.entry(1).or_insert(Standing::Ready);
        assert_eq!(listed, registry, "{events:?}");
    }
}

/// Checks this state, and all that follow from it by one more event, up to [`DEPTH`].
fn explore(model: &RegistryModel, events: &mut Vec<Event>, visited: &mut usize) {
    *visited += 1;
    model.assert_invariants(events);
    model.clone().assert_convergence(events);
    if events.len() == DEPTH {
        return;
    }
    for event in EVENTS {
        let mut next = model.clone();
        if next.apply(event) {
            events.push(event);
            explore(&next, events, visited);
            events.pop();
        }
    }
}

#[test]
fn every_order_of_events_keeps_the_invariants_and_converges() {
    let mut visited = 0;
    explore(&RegistryModel::new(), &mut Vec::new(), &mut visited);
    assert!(visited > 10_000, "{visited} states");
}
