//! The sessions of a front: which entry token's session is which play, who waits for its answer, and what the
//! answer was. Free of I/O; the caller hands in the time and small keys for the connections that wait.
//!
//! A session is asked for, then plays or not, then is over; it is answered once, and whoever asks again with
//! the same session within `remember` gets that same answer.

use crate::listing::Title;
use std::collections::HashMap;
use std::rc::Rc;

/// A final answer to a manifest request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Final {
    pub status: u16,
    /// The manifest, or words for a person.
    pub body: Rc<str>,
    /// Seconds to stay away.
    pub retry_after: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    Deciding,
    Playing(Final),
    Over(Final),
}

#[derive(Debug)]
pub struct Session {
    pub id: String,
    pub viewer: String,
    pub product: usize,
    /// The title's number, and what the list said of it when the play was asked for.
    pub title: usize,
    pub show: Rc<Title>,
    pub top: usize,
    pub came: f64,
    pub limit: f64,
    pub stage: Stage,
    /// Connections that wait for the answer.
    pub waiters: Vec<u64>,
    /// Since when nobody has waited, while it is being decided.
    pub alone_since: f64,
    /// Where the latest allocation went, how many there were, when it went, and the connection that carries it.
    pub server: Option<u32>,
    pub allocations: usize,
    pub sent: f64,
    pub line: Option<u64>,
    pub rung: usize,
    /// When the first frame was at hand; when its player last asked for something; requests under way.
    pub started: f64,
    pub last_asked: f64,
    pub fetching: usize,
    /// Until when its pass opens it, by its last use.
    pub renewed: f64,
    /// Its last segment has been delivered.
    pub complete: bool,
    /// Until when its answer is kept.
    until: f64,
}

/// What a manifest request comes to.
#[derive(Debug, PartialEq)]
pub enum Asked {
    /// A play that has not been in hand: to be taken under this number.
    New(u64),
    /// The same play as one that is being decided; its answer will come to this connection too.
    Joined,
    Answered(Final),
    /// The session is known for another viewer, product or title.
    Foreign,
    /// A limit is reached, by its name.
    Full(&'static str),
}

/// Who asks for what.
pub struct Request<'a> {
    pub id: &'a str,
    pub viewer: &'a str,
    pub product: usize,
    pub title: usize,
    pub show: &'a Rc<Title>,
    pub top: usize,
    pub limit: f64,
}

/// The limits of a [`Book`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub deciding: usize,
    pub plays: usize,
    pub sessions: usize,
    pub waiters: usize,
    pub remember: f64,
}

pub struct Book {
    bounds: Bounds,
    by_id: HashMap<String, u64>,
    sessions: HashMap<u64, Session>,
    next: u64,
    deciding: usize,
    playing: usize,
}

impl Book {
    pub fn new(bounds: Bounds) -> Book {
        Book { bounds, by_id: HashMap::new(), sessions: HashMap::new(), next: 1, deciding: 0, playing: 0 }
    }

    pub fn get(&self, play: u64) -> Option<&Session> {
        self.sessions.get(&play)
    }

    pub fn get_mut(&mut self, play: u64) -> Option<&mut Session> {
        self.sessions.get_mut(&play)
    }

    pub fn by_id(&self, id: &str) -> Option<u64> {
        self.by_id.get(id).copied()
    }

    pub fn deciding(&self) -> usize {
        self.deciding
    }

    pub fn playing(&self) -> usize {
        self.playing
    }

    /// The plays that are not over.
    pub fn held(&self) -> Vec<u64> {
        let held = self.sessions.iter().filter(|(_, s)| !matches!(s.stage, Stage::Over(_)));
        let mut held: Vec<u64> = held.map(|(play, _)| *play).collect();
        held.sort_unstable();
        held
    }

    /// A manifest request on connection `waiter`.
    pub fn ask(&mut self, now: f64, it: &Request, waiter: u64) -> Asked {
        if let Some(play) = self.by_id(it.id) {
            let session = self.sessions.get_mut(&play).expect("a known id has its session");
            let same = (session.viewer.as_str(), session.product, session.title);
            if same != (it.viewer, it.product, it.title) {
                return Asked::Foreign;
            }
            return match &session.stage {
                Stage::Playing(answer) => {
                    session.last_asked = now;
                    Asked::Answered(answer.clone())
                }
                Stage::Over(answer) => Asked::Answered(answer.clone()),
                Stage::Deciding if session.waiters.len() >= self.bounds.waiters => Asked::Full("waiters"),
                Stage::Deciding => {
                    session.waiters.push(waiter);
                    Asked::Joined
                }
            };
        }
        let full = [
            ("deciding", self.deciding >= self.bounds.deciding),
            ("plays", self.deciding + self.playing >= self.bounds.plays),
            ("sessions", self.sessions.len() >= self.bounds.sessions),
        ];
        if let Some((limit, _)) = full.iter().find(|f| f.1) {
            return Asked::Full(limit);
        }
        let play = self.next;
        self.next += 1;
        self.deciding += 1;
        self.by_id.insert(it.id.to_string(), play);
        let session = Session {
            id: it.id.to_string(),
            viewer: it.viewer.to_string(),
            product: it.product,
            title: it.title,
            show: it.show.clone(),
            top: it.top,
            came: now,
            limit: it.limit,
            stage: Stage::Deciding,
            waiters: vec![waiter],
            alone_since: now,
            server: None,
            allocations: 0,
            sent: 0.0,
            line: None,
            rung: 0,
            started: 0.0,
            last_asked: now,
            fetching: 0,
            renewed: 0.0,
            complete: false,
            until: 0.0,
        };
        self.sessions.insert(play, session);
        Asked::New(play)
    }

    /// A connection that waited is gone; true if nobody waits any more.
    pub fn gone(&mut self, now: f64, play: u64, waiter: u64) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        session.waiters.retain(|w| *w != waiter);
        session.alone_since = now;
        session.waiters.is_empty() && session.stage == Stage::Deciding
    }

    /// The play plays: its answer, and the connections to give it to.
    pub fn plays(&mut self, now: f64, play: u64, answer: Final) -> Vec<u64> {
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        if session.stage != Stage::Deciding {
            return Vec::new();
        }
        self.deciding -= 1;
        self.playing += 1;
        (session.started, session.last_asked) = (now, now);
        session.stage = Stage::Playing(answer);
        std::mem::take(&mut session.waiters)
    }

    /// The play is over: what whoever asks from now on is answered, and the connections that still wait. A
    /// play that is over stays as it is.
    pub fn over(&mut self, now: f64, play: u64, answer: Final) -> Vec<u64> {
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        match session.stage {
            Stage::Deciding => self.deciding -= 1,
            Stage::Playing(_) => self.playing -= 1,
            Stage::Over(_) => return Vec::new(),
        }
        session.stage = Stage::Over(answer);
        session.until = now + self.bounds.remember;
        std::mem::take(&mut session.waiters)
    }

    /// When the session's timer is to ring next, given how long a player may be silent (`idle`), and how long
    /// nobody may wait (`alone`).
    pub fn due(&self, play: u64, idle: f64, alone: f64) -> Option<f64> {
        let session = self.sessions.get(&play)?;
        match session.stage {
            Stage::Deciding if session.waiters.is_empty() => Some(session.alone_since + alone),
            Stage::Deciding => None,
            Stage::Playing(_) => Some(session.last_asked + idle),
            Stage::Over(_) => Some(session.until),
        }
    }

    /// Forgets a session that is over.
    pub fn forget(&mut self, play: u64) {
        if self.sessions.get(&play).is_some_and(|s| matches!(s.stage, Stage::Over(_)))
            && let Some(session) = self.sessions.remove(&play)
        {
            self.by_id.remove(&session.id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { deciding: 2, plays: 3, sessions: 4, waiters: 2, remember: 100.0 };

    thread_local! {
        static SHOW: &'static Rc<Title> = Box::leak(Box::new(Rc::new(Title {
            name: "t".into(),
            product: "p".into(),
            first_cell: 0,
            holders: 1,
            duration_ms: 1000,
            segment_ms: 1000,
        })));
    }

    fn request(id: &str) -> Request<'_> {
        Request { id, viewer: "v", product: 0, title: 0, show: SHOW.with(|s| *s), top: 1, limit: 1000.0 }
    }

    fn answer(status: u16) -> Final {
        Final { status, body: "".into(), retry_after: None }
    }

    #[test]
    fn the_same_session_is_the_same_play_at_every_stage() {
        let mut book = Book::new(BOUNDS);
        assert_eq!(book.ask(0.0, &request("a"), 1), Asked::New(1));
        assert_eq!(book.ask(1.0, &request("a"), 2), Asked::Joined);
        assert_eq!(book.ask(1.0, &request("a"), 3), Asked::Full("waiters"));
        assert_eq!(book.plays(2.0, 1, answer(200)), [1, 2]);
        assert!(book.plays(2.0, 1, answer(200)).is_empty(), "answered once");
        assert_eq!(book.ask(3.0, &request("a"), 4), Asked::Answered(answer(200)));
        assert!(book.over(4.0, 1, answer(410)).is_empty());
        assert_eq!(book.ask(5.0, &request("a"), 5), Asked::Answered(answer(410)));
        assert_eq!(book.due(1, 50.0, 50.0), Some(104.0));
        book.forget(1);
        assert_eq!(book.ask(105.0, &request("a"), 6), Asked::New(2));
    }

    #[test]
    fn another_viewer_can_not_join() {
        let mut book = Book::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        assert_eq!(book.ask(1.0, &Request { viewer: "w", ..request("a") }, 2), Asked::Foreign);
        assert_eq!(book.ask(1.0, &Request { title: 9, ..request("a") }, 2), Asked::Foreign);
    }

    #[test]
    fn a_flood_is_refused_and_pushes_nothing_out() {
        let mut book = Book::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        book.plays(0.0, 1, answer(200));
        book.ask(0.0, &request("b"), 2);
        book.ask(0.0, &request("c"), 3);
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::Full("deciding"));
        book.plays(0.0, 2, answer(200));
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::Full("plays"));
        book.over(0.0, 3, answer(503));
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::New(4));
        book.over(0.0, 4, answer(503));
        assert_eq!(book.ask(0.0, &request("e"), 5), Asked::Full("sessions"));
        assert_eq!(book.ask(0.0, &request("a"), 6), Asked::Answered(answer(200)), "what plays goes on");
        assert_eq!((book.deciding(), book.playing(), book.held()), (0, 2, vec![1, 2]));
    }

    #[test]
    fn a_viewer_that_closes_may_come_back() {
        let mut book = Book::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        assert_eq!(book.due(1, 50.0, 20.0), None);
        assert!(book.gone(5.0, 1, 1));
        assert_eq!(book.due(1, 50.0, 20.0), Some(25.0));
        assert_eq!(book.ask(6.0, &request("a"), 2), Asked::Joined);
        assert_eq!(book.due(1, 50.0, 20.0), None);
    }
}
