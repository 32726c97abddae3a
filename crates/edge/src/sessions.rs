//! The table of a front's sessions: which play belongs to an entry token's session, which connections wait for its
//! answer, and what the answer was. It does no I/O; the caller passes the time (ms) and the ids of waiting
//! connections.
//!
//! A session is requested, then plays or not, then ends. Each connection that waits for it is answered once. While
//! the session plays, a repeated request gets its manifest again with a new pass; for `remember_ms` after the end it
//! gets the final answer. [`TRANSITIONS`] lists every change of phase; no other change is made. A running play is one
//! whose session is in phase [`SessionPhase::Playing`].

use crate::server_list::Title;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;

/// A complete answer to a player's request, in contrast to a segment, which is relayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// The manifest, or a text for a person.
    pub body: Rc<str>,
    /// `Retry-After`, seconds.
    pub retry_after: Option<u64>,
    /// `Location`: the address to send the request to instead.
    pub location: Option<Rc<str>>,
}

/// The phases of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// Not answered yet, and no allocation is under way.
    Requested,
    /// Not answered yet, and one allocation awaits its response.
    Allocating,
    /// The play runs: its first frame was ready, and the answer is the manifest.
    Playing,
    /// The final answer is set, and an allocation is still to be withdrawn.
    Ending,
    /// No allocation is left; the final answer is kept for `remember_ms`.
    Ended,
}

/// The events that change a session's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// An allocation is sent.
    SendAllocation,
    /// The allocation that was under way has ended without playing.
    AllocationEnded,
    /// The first frame is ready.
    StartPlaying,
    /// The final answer is set: the play was not set up, or the running play has ended.
    End,
    /// The session and its final answer are removed.
    Remove,
}

/// Every change of phase: the phase before, the event, and the phase after; none where the session is removed.
pub const TRANSITIONS: [(SessionPhase, Transition, Option<SessionPhase>); 8] = [
    (SessionPhase::Requested, Transition::SendAllocation, Some(SessionPhase::Allocating)),
    (SessionPhase::Requested, Transition::End, Some(SessionPhase::Ended)),
    (SessionPhase::Allocating, Transition::AllocationEnded, Some(SessionPhase::Requested)),
    (SessionPhase::Allocating, Transition::StartPlaying, Some(SessionPhase::Playing)),
    (SessionPhase::Allocating, Transition::End, Some(SessionPhase::Ending)),
    (SessionPhase::Playing, Transition::End, Some(SessionPhase::Ended)),
    (SessionPhase::Ending, Transition::AllocationEnded, Some(SessionPhase::Ended)),
    (SessionPhase::Ended, Transition::Remove, None),
];

impl SessionPhase {
    /// Whether the session is not answered yet.
    pub fn is_deciding(self) -> bool {
        matches!(self, SessionPhase::Requested | SessionPhase::Allocating)
    }

    /// Whether the session has its final answer; it has not played, or plays no longer.
    pub fn is_over(self) -> bool {
        matches!(self, SessionPhase::Ending | SessionPhase::Ended)
    }
}

/// A session and its play.
#[derive(Debug)]
pub struct Session {
    /// The id in its entry token.
    pub session_id: String,
    /// The viewer that the entry token names.
    pub viewer: String,
    /// The address from which it was first requested.
    pub viewer_ip: Option<IpAddr>,
    /// The product's index in the configuration.
    pub product: usize,
    /// The title's number at this front, which is never reused.
    pub title_number: usize,
    /// The title as it was listed when the play was requested.
    pub title: Rc<Title>,
    /// The highest rung that the entry token allows.
    pub max_rung: usize,
    /// When the play was requested.
    pub arrived_at: f64,
    /// When the play's set-up must have succeeded.
    pub deadline: f64,
    phase: SessionPhase,
    /// The manifest while the play runs, then the final answer; none while the session is being decided.
    answer: Option<Answer>,
    /// Connections that wait for the answer.
    pub waiters: Vec<u64>,
    /// Since when no connection has waited for the answer. Used only while the session is being decided and `waiters`
    /// is empty.
    pub no_waiters_since: f64,
    /// The server of the latest allocation; none before the first, and once an allocation has ended without playing.
    pub server: Option<u32>,
    allocation_count: usize,
    /// When the latest allocation was sent.
    pub allocation_sent_at: f64,
    /// The connection of the latest allocation, while it is open.
    pub allocation_connection: Option<u64>,
    /// The rung that the play has now.
    pub rung: usize,
    /// The rung last sent to the server, in the set-up or a notification; none where it has to be sent again.
    pub notified_rung: Option<usize>,
    /// Whether a rung notification is under way or waits to be repeated.
    pub is_notifying_rung: bool,
    /// When the play's first frame was ready; 0 before that.
    pub started_at: f64,
    /// When the running play was last active: its player made a request, or a segment response to it ended.
    pub last_active_at: f64,
    /// The player's segment requests under way.
    pub active_fetches: usize,
    /// Until when its pass is valid, as renewed by the pass's last use, ms since 1970 of the wall clock.
    pub pass_valid_until: f64,
    /// Whether its last segment has been delivered.
    pub is_complete: bool,
    /// When the session and its final answer are removed; set at its end.
    expires_at: f64,
}

impl Session {
    /// The phase that the session is in.
    pub fn phase(&self) -> SessionPhase {
        self.phase
    }

    /// The manifest while the play runs, then the final answer; none while the session is being decided.
    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    /// The number of allocations so far, which is also the number of the latest one in paths and timers.
    pub fn allocation_count(&self) -> usize {
        self.allocation_count
    }
}

/// The result of a manifest request.
#[derive(Debug, PartialEq)]
pub enum RequestResult {
    /// A new play with this number; the caller must have the dispatcher decide it.
    New(u64),
    /// The play is being decided already; the connection waits for the same answer.
    Joined,
    /// The session was answered before: the manifest of a running play, or the final answer.
    Answered(Answer),
    /// The session belongs to another viewer, product or title.
    Mismatch,
    /// The limit of this name (a field of [`SessionLimits`]) is reached.
    LimitReached(&'static str),
}

/// A request for a session's manifest; the fields are those of [`Session`].
pub struct ManifestRequest<'a> {
    pub session_id: &'a str,
    pub viewer: &'a str,
    pub viewer_ip: Option<IpAddr>,
    pub product: usize,
    pub title_number: usize,
    pub title: &'a Rc<Title>,
    pub max_rung: usize,
    pub deadline: f64,
}

/// The limits of a [`SessionTable`].
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// Undecided plays.
    pub deciding: usize,
    /// Undecided and running plays.
    pub plays: usize,
    /// Sessions, those that have ended included.
    pub sessions: usize,
    /// Connections that wait for one session's answer.
    pub waiters: usize,
    /// How long a session and its final answer are kept after its end.
    pub remember_ms: f64,
}

/// All sessions. A session is found by the number of its play, or by the id in its entry token.
pub struct SessionTable {
    limits: SessionLimits,
    by_id: HashMap<String, u64>,
    sessions: HashMap<u64, Session>,
    next_play_id: u64,
    deciding_count: usize,
    playing_count: usize,
}

impl SessionTable {
    /// An empty table.
    pub fn new(limits: SessionLimits) -> SessionTable {
        SessionTable {
            limits,
            by_id: HashMap::new(),
            sessions: HashMap::new(),
            next_play_id: 1,
            deciding_count: 0,
            playing_count: 0,
        }
    }

    /// The session of this play.
    pub fn get(&self, play: u64) -> Option<&Session> {
        self.sessions.get(&play)
    }

    /// The session of this play, to be changed.
    pub fn get_mut(&mut self, play: u64) -> Option<&mut Session> {
        self.sessions.get_mut(&play)
    }

    /// The play of the session with this id.
    pub fn by_id(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    /// The number of plays that are not answered yet.
    pub fn deciding_count(&self) -> usize {
        self.deciding_count
    }

    /// The number of running plays.
    pub fn playing_count(&self) -> usize {
        self.playing_count
    }

    /// Changes a session's phase; no other function does. Returns false where the session is unknown or
    /// [`TRANSITIONS`] has no such change.
    fn apply_transition(&mut self, play: u64, transition: Transition) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        let phase_before = session.phase;
        let Some((_, _, next_phase)) =
            TRANSITIONS.iter().find(|(from, by, _)| (*from, *by) == (phase_before, transition))
        else {
            return false;
        };
        self.deciding_count -= usize::from(phase_before.is_deciding());
        self.playing_count -= usize::from(phase_before == SessionPhase::Playing);
        match next_phase {
            Some(phase) => {
                session.phase = *phase;
                self.deciding_count += usize::from(phase.is_deciding());
                self.playing_count += usize::from(*phase == SessionPhase::Playing);
            }
            None => {
                let id = std::mem::take(&mut session.session_id);
                self.sessions.remove(&play);
                self.by_id.remove(&id);
            }
        }
        true
    }

    /// Records that an allocation is sent to this server. Returns its number among the play's allocations, from 1, or
    /// none where the session is unknown or its phase is not `Requested`.
    pub fn start_allocation(&mut self, now: f64, play: u64, server: u32, rung: usize) -> Option<usize> {
        if !self.apply_transition(play, Transition::SendAllocation) {
            return None;
        }
        let session = self.sessions.get_mut(&play)?;
        (session.server, session.rung, session.notified_rung, session.allocation_sent_at) =
            (Some(server), rung, Some(rung), now);
        session.allocation_count += 1;
        Some(session.allocation_count)
    }

    /// Records that the allocation that awaited its response, or was to be withdrawn, has ended without playing.
    /// Returns false where there was none; a running play is ended by [`SessionTable::record_end`].
    pub fn end_allocation(&mut self, play: u64) -> bool {
        let has_ended = self.apply_transition(play, Transition::AllocationEnded);
        if let Some(session) = self.sessions.get_mut(&play).filter(|_| has_ended) {
            session.server = None;
        }
        has_ended
    }

    /// The numbers of the titles to which sessions refer.
    pub fn title_numbers(&self) -> HashSet<usize> {
        self.sessions.values().map(|s| s.title_number).collect()
    }

    /// The plays that have not ended, in order of their numbers.
    pub fn open_plays(&self) -> Vec<u64> {
        let open = self.sessions.iter().filter(|(_, s)| !s.phase.is_over());
        let mut plays: Vec<u64> = open.map(|(play, _)| *play).collect();
        plays.sort_unstable();
        plays
    }

    /// Handles a manifest request from connection `waiter`: opens a session, has the connection wait for the answer
    /// of an undecided one, or returns the answer that the session has.
    pub fn request_play(&mut self, now: f64, request: &ManifestRequest, waiter: u64) -> RequestResult {
        if let Some(play) = self.by_id(request.session_id) {
            let session = self.sessions.get_mut(&play).expect("a known id has its session");
            let known = (session.viewer.as_str(), session.product, session.title_number);
            if known != (request.viewer, request.product, request.title_number) {
                return RequestResult::Mismatch;
            }
            if let Some(answer) = &session.answer {
                if session.phase == SessionPhase::Playing {
                    session.last_active_at = now;
                }
                return RequestResult::Answered(answer.clone());
            }
            if session.waiters.len() >= self.limits.waiters {
                return RequestResult::LimitReached("waiters");
            }
            session.waiters.push(waiter);
            return RequestResult::Joined;
        }
        let limits = [
            ("deciding", self.deciding_count >= self.limits.deciding),
            ("plays", self.deciding_count + self.playing_count >= self.limits.plays),
            ("sessions", self.sessions.len() >= self.limits.sessions),
        ];
        if let Some((limit, _)) = limits.iter().find(|f| f.1) {
            return RequestResult::LimitReached(limit);
        }
        let play = self.next_play_id;
        self.next_play_id += 1;
        self.deciding_count += 1;
        self.by_id.insert(request.session_id.to_string(), play);
        let session = Session {
            session_id: request.session_id.to_string(),
            viewer: request.viewer.to_string(),
            viewer_ip: request.viewer_ip,
            product: request.product,
            title_number: request.title_number,
            title: request.title.clone(),
            max_rung: request.max_rung,
            arrived_at: now,
            deadline: request.deadline,
            phase: SessionPhase::Requested,
            answer: None,
            waiters: vec![waiter],
            no_waiters_since: now,
            server: None,
            allocation_count: 0,
            allocation_sent_at: 0.0,
            allocation_connection: None,
            rung: 0,
            notified_rung: None,
            is_notifying_rung: false,
            started_at: 0.0,
            last_active_at: now,
            active_fetches: 0,
            pass_valid_until: 0.0,
            is_complete: false,
            expires_at: 0.0,
        };
        self.sessions.insert(play, session);
        RequestResult::New(play)
    }

    /// Removes a connection that was closed from those that wait. Returns true if the session is undecided and no
    /// other connection waits for it.
    pub fn remove_waiter(&mut self, now: f64, play: u64, waiter: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        session.waiters.retain(|w| *w != waiter);
        session.no_waiters_since = now;
        session.waiters.is_empty() && session.phase.is_deciding()
    }

    /// Records that the play runs, and its answer, the manifest. Returns the connections that wait for the answer;
    /// none where the session is unknown or its phase is not `Allocating`.
    pub fn start_playing(&mut self, now: f64, play: u64, answer: Answer) -> Vec<u64> {
        if !self.apply_transition(play, Transition::StartPlaying) {
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        (session.started_at, session.last_active_at) = (now, now);
        session.answer = Some(answer);
        std::mem::take(&mut session.waiters)
    }

    /// Records the end of the play with its final answer, which later requests get too. Returns the connections that
    /// still wait. Does nothing where the session has its final answer already.
    pub fn record_end(&mut self, now: f64, play: u64, answer: Answer) -> Vec<u64> {
        if !self.apply_transition(play, Transition::End) {
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        session.answer = Some(answer);
        session.expires_at = now + self.limits.remember_ms;
        std::mem::take(&mut session.waiters)
    }

    /// When the session's timer is to fire next: a running play ends after `play_idle_timeout` without activity, an
    /// undecided one is cancelled after `reconnect_timeout` without a connection that waits for it, and an ended
    /// session is removed.
    pub fn next_deadline(&self, play: u64, play_idle_timeout: f64, reconnect_timeout: f64) -> Option<f64> {
        let session = self.sessions.get(&play)?;
        match session.phase {
            SessionPhase::Requested | SessionPhase::Allocating => {
                session.waiters.is_empty().then_some(session.no_waiters_since + reconnect_timeout)
            }
            SessionPhase::Playing => Some(session.last_active_at + play_idle_timeout),
            SessionPhase::Ending | SessionPhase::Ended => Some(session.expires_at),
        }
    }

    /// Removes a session in phase `Ended`; does nothing in any other phase.
    pub fn remove(&mut self, play: u64) {
        self.apply_transition(play, Transition::Remove);
    }
}

#[cfg(test)]
mod tests {
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
}
