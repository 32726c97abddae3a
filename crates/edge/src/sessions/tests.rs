//! Tests of the table of sessions.

use super::*;
use proptest::prelude::*;

const LIMITS: SessionLimits =
    SessionLimits { deciding: 2, plays: 3, sessions: 4, waiters: 2, remember_ms: 100.0 };

thread_local! {
    static TITLE: &'static Rc<Title> = Box::leak(Box::new(Rc::new(Title {
        name: "t".into(),
        product: "p".into(),
        first_cell: 0,
        holders: 1,
        duration_ms: 1000,
        segment_ms: 1000,
        live: None,
        manifest: None,
        presentation: Rc::new(pulleystair_dash::mpd::Presentation::single_period("t".into(), 1000, 1000)),
    })));
}

fn request(id: &str) -> ManifestRequest<'_> {
    ManifestRequest {
        session_id: id,
        viewer: "v",
        viewer_ip: None,
        product: 0,
        title_number: 0,
        title: TITLE.with(|s| *s),
        max_rung: 1,
        deadline: 1000.0,
    }
}

fn answer(status: u16) -> Answer {
    Answer { status, body: "".into(), retry_after: None, location: None }
}

#[test]
fn requests_for_a_session_share_one_play_in_every_phase() {
    let mut sessions = SessionTable::new(LIMITS);
    assert_eq!(sessions.request_play(0.0, &request("a"), 1), RequestResult::New(1));
    assert_eq!(sessions.request_play(1.0, &request("a"), 2), RequestResult::Joined);
    assert_eq!(sessions.request_play(1.0, &request("a"), 3), RequestResult::LimitReached("waiters"));
    assert_eq!(
        (sessions.start_allocation(1.5, 1, 7, 0), sessions.start_allocation(1.5, 1, 8, 0)),
        (Some(1), None),
        "one at a time"
    );
    assert_eq!(sessions.start_playing(2.0, 1, answer(200)), [1, 2]);
    assert!(sessions.start_playing(2.0, 1, answer(200)).is_empty(), "answered once");
    assert_eq!(sessions.request_play(3.0, &request("a"), 4), RequestResult::Answered(answer(200)));
    assert!(sessions.record_end(4.0, 1, answer(410)).is_empty());
    assert_eq!(sessions.request_play(5.0, &request("a"), 5), RequestResult::Answered(answer(410)));
    assert_eq!(sessions.next_deadline(1, 50.0, 50.0), Some(104.0));
    sessions.remove(1);
    assert_eq!(sessions.request_play(105.0, &request("a"), 6), RequestResult::New(2));
}

#[test]
fn a_request_of_another_viewer_or_title_is_a_mismatch() {
    let mut sessions = SessionTable::new(LIMITS);
    sessions.request_play(0.0, &request("a"), 1);
    assert_eq!(
        sessions.request_play(1.0, &ManifestRequest { viewer: "w", ..request("a") }, 2),
        RequestResult::Mismatch
    );
    assert_eq!(
        sessions.request_play(1.0, &ManifestRequest { title_number: 9, ..request("a") }, 2),
        RequestResult::Mismatch
    );
}

#[test]
fn requests_beyond_a_limit_are_refused_and_evict_no_session() {
    let mut sessions = SessionTable::new(LIMITS);
    sessions.request_play(0.0, &request("a"), 1);
    sessions.start_allocation(0.0, 1, 0, 0);
    sessions.start_playing(0.0, 1, answer(200));
    sessions.request_play(0.0, &request("b"), 2);
    sessions.request_play(0.0, &request("c"), 3);
    assert_eq!(sessions.request_play(0.0, &request("d"), 4), RequestResult::LimitReached("deciding"));
    sessions.start_allocation(0.0, 2, 0, 0);
    sessions.start_playing(0.0, 2, answer(200));
    assert_eq!(sessions.request_play(0.0, &request("d"), 4), RequestResult::LimitReached("plays"));
    sessions.record_end(0.0, 3, answer(503));
    assert_eq!(sessions.request_play(0.0, &request("d"), 4), RequestResult::New(4));
    sessions.record_end(0.0, 4, answer(503));
    assert_eq!(sessions.request_play(0.0, &request("e"), 5), RequestResult::LimitReached("sessions"));
    assert_eq!(
        sessions.request_play(0.0, &request("a"), 6),
        RequestResult::Answered(answer(200)),
        "a running play is unaffected"
    );
    assert_eq!(
        (sessions.deciding_count(), sessions.playing_count(), sessions.open_plays()),
        (0, 2, vec![1, 2])
    );
}

#[test]
fn a_viewer_that_disconnects_may_join_again() {
    let mut sessions = SessionTable::new(LIMITS);
    sessions.request_play(0.0, &request("a"), 1);
    assert_eq!(sessions.next_deadline(1, 50.0, 20.0), None);
    assert!(sessions.remove_waiter(5.0, 1, 1));
    assert_eq!(sessions.next_deadline(1, 50.0, 20.0), Some(25.0));
    assert_eq!(sessions.request_play(6.0, &request("a"), 2), RequestResult::Joined);
    assert_eq!(sessions.next_deadline(1, 50.0, 20.0), None);
}

/// An operation on the session of this index: a request or a closing by a connection, or a transition.
#[derive(Clone, Copy, Debug)]
enum Operation {
    Request(u8, u64),
    Apply(u8, Transition),
    RemoveWaiter(u8, u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    let transition = prop::sample::select(vec![
        Transition::SendAllocation,
        Transition::AllocationEnded,
        Transition::StartPlaying,
        Transition::End,
        Transition::Remove,
    ]);
    prop_oneof![
        3 => (0u8..6, 0u64..30).prop_map(|(s, c)| Operation::Request(s, c)),
        6 => (0u8..6, transition).prop_map(|(s, transition)| Operation::Apply(s, transition)),
        1 => (0u8..6, 0u64..30).prop_map(|(s, c)| Operation::RemoveWaiter(s, c)),
    ]
}

proptest! {
    /// For operations in any order: a connection is answered at most once for each of its requests, a play has
    /// at most one allocation under way, ends once, and its final answer does not change; the limits hold.
    #[test]
    fn any_order_of_operations_keeps_the_invariants(operations in prop::collection::vec(operation(), 1..300)) {
        let mut sessions = SessionTable::new(LIMITS);
        // By play: allocations under way, ends, the latest answer. `waiting` holds pairs of play and connection.
        let (mut under_way, mut ended, mut answers) = (HashMap::new(), HashMap::new(), HashMap::<u64, Answer>::new());
        let mut waiting: Vec<(u64, u64)> = Vec::new();
        for (index, operation) in operations.into_iter().enumerate() {
            let now = index as f64;
            let name = |s: u8| ["a", "b", "c", "d", "e", "f"][s as usize];
            match operation {
                Operation::Request(s, connection) => match sessions.request_play(now, &request(name(s)), connection) {
                    RequestResult::New(play) => waiting.push((play, connection)),
                    RequestResult::Joined => waiting.push((sessions.by_id(name(s)).unwrap(), connection)),
                    RequestResult::Answered(answer) => {
                        prop_assert_eq!(answers.get(&sessions.by_id(name(s)).unwrap()), Some(&answer));
                    }
                    RequestResult::LimitReached(_) => {}
                    RequestResult::Mismatch => prop_assert!(false, "every request is the same viewer's"),
                },
                Operation::RemoveWaiter(s, connection) => {
                    if let Some(play) = sessions.by_id(name(s)) {
                        sessions.remove_waiter(now, play, connection);
                        waiting.retain(|w| *w != (play, connection));
                    }
                }
                Operation::Apply(s, transition) => {
                    let Some(play) = sessions.by_id(name(s)) else { continue };
                    let phase_before = sessions.get(play).unwrap().phase();
                    let answered = match transition {
                        Transition::SendAllocation => {
                            if sessions.start_allocation(now, play, 0, 0).is_some() {
                                *under_way.entry(play).or_insert(0) += 1;
                            }
                            Vec::new()
                        }
                        Transition::AllocationEnded => {
                            if sessions.end_allocation(play) {
                                *under_way.entry(play).or_insert(0) -= 1;
                            }
                            Vec::new()
                        }
                        Transition::StartPlaying => sessions.start_playing(now, play, answer(200)),
                        Transition::End => sessions.record_end(now, play, answer(500 + index as u16)),
                        Transition::Remove => {
                            sessions.remove(play);
                            Vec::new()
                        }
                    };
                    let phase = sessions.get(play).map(|s| s.phase());
                    if !phase_before.is_over() && phase.is_some_and(SessionPhase::is_over) {
                        *ended.entry(play).or_insert(0) += 1;
                    }
                    if let Some(session) = sessions.get(play) {
                        prop_assert!(phase_before.is_deciding() || session.answer().is_some());
                        session.answer().map(|a| answers.insert(play, a.clone()));
                    }
                    let mut expected: Vec<u64> = Vec::new();
                    if phase_before.is_deciding() && !phase.is_some_and(SessionPhase::is_deciding) {
                        expected = waiting.iter().filter(|w| w.0 == play).map(|w| w.1).collect();
                        waiting.retain(|w| w.0 != play);
                    }
                    prop_assert_eq!(answered, expected, "{:?} by {:?}", phase_before, transition);
                }
            }
            prop_assert!(under_way.values().all(|n| (0..=1).contains(n)), "{under_way:?}");
            prop_assert!(ended.values().all(|n| *n <= 1));
            let open = sessions.open_plays();
            prop_assert_eq!(sessions.deciding_count() + sessions.playing_count(), open.len());
            prop_assert!(sessions.deciding_count() <= LIMITS.deciding && open.len() <= LIMITS.plays);
            prop_assert!(sessions.sessions.len() <= LIMITS.sessions && sessions.sessions.len() == sessions.by_id.len());
        }
    }
}
