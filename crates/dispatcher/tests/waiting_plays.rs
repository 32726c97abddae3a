//! Waiting plays are answered in the turn of the event loop in which their wait becomes hopeless, whatever the cause; none
//! is held until its deadline. Times are in ms.

mod recorded_actions;

use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing, Value};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use recorded_actions::{Action, RecordedActions};
use test_case::test_case;

/// Settings of the second of two fronts, with one product. With one holder that starts cold, a second play waits there.
fn test_settings() -> Settings {
    let numbers = [
        ("balancers", 2.0),
        ("rank", 1.0),
        ("products.0.importance", 1.0),
        ("products.0.first_frame_target", 1000.0),
        ("extra.ladder_kb.0", 100.0),
        ("extra.rung_worth.0", 1.0),
        ("extra.link_unit_kb", 1000.0),
        ("extra.rack_link_kb", 10_000.0),
        ("extra.fleet_kb", 2000.0),
        ("extra.stall_cost", 7.0),
        ("extra.places", 2.0),
        ("extra.places_by_kind.0", 24.0),
        ("extra.seen_after", 0.0),
        ("ceilings.attempts_cap", 4.0),
        ("ceilings.retry_after", 1.0),
        ("ceilings.max_retry_after", 500.0),
        ("rules.cold", 12_000.0),
        ("rules.cold_from", 0.5),
        ("rules.overload_factor", 2.0),
    ];
    numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect()
}

const COLD_SERVER: u32 = 7;

/// A host with one dispatcher, which knows one cold server.
struct TestHost {
    dispatcher: Dispatcher,
    actions: RecordedActions,
    now: f64,
}

impl TestHost {
    /// The server is listed, and no play has arrived.
    fn with_settings(settings: Settings) -> TestHost {
        let mut host = TestHost {
            dispatcher: Dispatcher::new(settings, 1),
            actions: RecordedActions::default(),
            now: 12_000.0,
        };
        host.update_list(Standing::Ready);
        host
    }

    /// Gives the dispatcher a list with only the cold server, in this standing.
    fn update_list(&mut self, standing: Standing) {
        let entry = Listing { standing, weight: 1.0, started_at: 10_000.0, ..Listing::default() };
        self.dispatcher.update_list(self.now, true, false, &[(COLD_SERVER, entry)]);
    }

    /// A viewer requests a play; both the play and its title get this id.
    fn add_play(&mut self, id: u64) {
        let (now, deadline) = (self.now, self.now + 4000.0);
        let request = PlayRequest {
            product: 0,
            title: id,
            first_cell: 0,
            holder_cells: 1,
            max_rung: 0,
            arrived_at: now,
            deadline,
        };
        self.dispatcher.add_play(now, id, &request, &mut self.actions);
    }

    /// Ends the turn and returns the actions requested in it, except timers.
    fn end_turn(&mut self) -> Vec<Action> {
        self.dispatcher.end_turn(self.now, &mut self.actions);
        std::mem::take(&mut self.actions.0)
            .into_iter()
            .filter(|action| !matches!(action, Action::SetTimer(..)))
            .collect()
    }
}

/// A host where one play runs on the cold server, and the next waits until the server may be sent another.
fn host_with_waiting_play() -> TestHost {
    let mut host = TestHost::with_settings(test_settings());
    host.add_play(1);
    assert!(matches!(host.end_turn()[..], [Action::Send { play: 1, server: COLD_SERVER, .. }]));
    host.dispatcher.on_playing(host.now, 1, &mut host.actions);
    host.now += 10.0;
    host.add_play(2);
    assert_eq!(host.end_turn(), [], "the second play waits");
    host.now += 10.0;
    host
}

fn drain_server(host: &mut TestHost) {
    host.update_list(Standing::Draining);
}

fn remove_server(host: &mut TestHost) {
    host.dispatcher.update_list(host.now, true, false, &[]);
}

/// The plays on the server are worth more than the waiting one, and the link is overloaded already.
fn overload_server(host: &mut TestHost) {
    for _ in 0..2 {
        host.now += 600.0;
        host.dispatcher.on_load_report(host.now, COLD_SERVER, &[LoadMetric::Link(1.3)], &mut host.actions);
    }
}

/// The running play breaks off, so the server's process may have been lost and be colder than before.
fn break_running_play(host: &mut TestHost) {
    host.now = 15_000.0;
    host.dispatcher.on_allocation_ended(
        host.now,
        1,
        COLD_SERVER,
        Outcome::Broken,
        true,
        &[],
        &mut host.actions,
    );
}

#[test_case(drain_server)]
#[test_case(remove_server)]
#[test_case(overload_server)]
#[test_case(break_running_play)]
fn a_waiting_play_is_declined_as_soon_as_its_wait_is_hopeless(end_hope: fn(&mut TestHost)) {
    let mut host = host_with_waiting_play();
    end_hope(&mut host);
    assert_eq!(host.end_turn(), [Action::Decline(2, 500.0)]);
    assert!(host.dispatcher.play(2).is_none());
}

#[test]
fn a_stopping_host_answers_waiting_plays_and_withdraws_set_ups() {
    let mut host = host_with_waiting_play();
    host.dispatcher.expire_unanswered(host.now, &mut host.actions);
    assert_eq!(host.end_turn(), [Action::Decline(2, 500.0)], "the running play continues");
    let mut host = TestHost::with_settings(test_settings());
    host.add_play(1);
    host.end_turn();
    host.dispatcher.expire_unanswered(host.now, &mut host.actions);
    assert_eq!(host.end_turn(), [Action::Withdraw(1)]);
    host.dispatcher.on_allocation_ended(
        host.now,
        1,
        COLD_SERVER,
        Outcome::Withdrawn,
        false,
        &[],
        &mut host.actions,
    );
    assert_eq!(host.end_turn(), [Action::Decline(1, 500.0)], "declined, and not sent again");
}

#[test]
fn a_waiting_play_is_sent_at_once_when_another_server_is_listed() {
    let mut host = host_with_waiting_play();
    let other_server = Listing { standing: Standing::Ready, weight: 1.0, ..Listing::default() };
    host.dispatcher.update_list(host.now, false, false, &[(8, other_server)]);
    assert!(matches!(host.end_turn()[..], [Action::Send { play: 2, server: 8, .. }]));
}

/// One play is sent and 99 wait when their server begins to drain: at most 32 (MAX_RECHECKS_PER_TURN) are answered in each
/// turn of the event loop. The server takes 2000 streams, so that its pace lets all of them wait.
#[test]
fn many_waiting_plays_are_answered_over_several_turns() {
    let mut settings = test_settings();
    settings.insert("extra.places_by_kind.0".into(), Value::Number(2_000.0));
    let mut host = TestHost::with_settings(settings);
    (0..100).for_each(|id| host.add_play(id));
    host.actions.0.clear();
    drain_server(&mut host);
    let mut answers = Vec::new();
    while answers.len() < 99 {
        let turn_answers = host.end_turn();
        assert!(turn_answers.len() <= 32 && host.now < 30_000.0, "{turn_answers:?}");
        answers.extend(turn_answers);
        host.now += 10.0;
    }
    let times_declined = |id| answers.iter().filter(|action| **action == Action::Decline(id, 500.0)).count();
    assert!((1..100).all(|id| times_declined(id) == 1), "{answers:?}");
}

#[test]
fn facts_that_change_nothing_set_no_timers() {
    let mut host = host_with_waiting_play();
    host.actions.0.clear();
    for _ in 0..50 {
        host.now += 1.1;
        host.dispatcher.on_load_report(host.now, COLD_SERVER, &[LoadMetric::Link(0.2)], &mut host.actions);
        host.dispatcher.end_turn(host.now, &mut host.actions);
    }
    assert_eq!(host.actions.0.len(), 0, "{:?}", host.actions.0);
}
