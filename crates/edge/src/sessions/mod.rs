//! The table of a front's sessions: which play belongs to an entry token's session, which connections wait for its
//! answer, and what the answer was. It does no I/O; the caller passes the time (ms) and the ids of waiting
//! connections.
//!
//! A session is requested, then plays or not, then ends. Each connection that waits for it is answered once. While
//! the session plays, a repeated request gets its manifest again with a new pass; for `remember_ms` after the end it
//! gets the final answer. [`TRANSITIONS`] lists every change of phase; no other change is made. A running play is one
//! whose session is in phase [`SessionPhase::Playing`].

mod session;
#[cfg(test)]
mod tests;

use crate::server_list::Title;
pub use session::{Answer, Session, SessionPhase, TRANSITIONS, Transition};
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;

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
