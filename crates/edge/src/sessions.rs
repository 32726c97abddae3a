//! The sessions of a front: which entry token's session is which play, who waits for its answer, and what the
//! answer was. Free of I/O; the caller hands in the time and small keys for the connections that wait.
//!
//! A session is asked for, then plays or not, then is over; it is answered once, and whoever asks again with
//! the same session within `remember` gets that same answer. [`LIVES`] is the whole of it: a step that is not in
//! that table does not happen.

use crate::server_list::Title;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;

/// A final answer to a manifest request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// The manifest, or words for a person.
    pub body: Rc<str>,
    /// Seconds to stay away.
    pub retry_after: Option<u64>,
    /// Where to ask instead.
    pub location: Option<Rc<str>>,
}

/// Where a session is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Asked for, and no allocation out.
    Asked,
    /// Asked for, and one allocation out.
    Out,
    Playing,
    /// Over and answered, with an allocation that is still to be given up.
    Ending,
    Over,
}

/// What happens to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An allocation goes out.
    Send,
    /// The allocation that was out is out no more, and nothing plays.
    Back,
    /// Its first frame is at hand.
    Plays,
    /// It gets its final answer, or the play that ran has ended.
    Ends,
    /// Its answer is kept no longer.
    Forget,
}

/// The whole life of a session: from there, by this, to there; none is the end of it.
pub const LIVES: [(Life, Step, Option<Life>); 8] = [
    (Life::Asked, Step::Send, Some(Life::Out)),
    (Life::Asked, Step::Ends, Some(Life::Over)),
    (Life::Out, Step::Back, Some(Life::Asked)),
    (Life::Out, Step::Plays, Some(Life::Playing)),
    (Life::Out, Step::Ends, Some(Life::Ending)),
    (Life::Playing, Step::Ends, Some(Life::Over)),
    (Life::Ending, Step::Back, Some(Life::Over)),
    (Life::Over, Step::Forget, None),
];

impl Life {
    /// Not answered yet.
    pub fn deciding(self) -> bool {
        matches!(self, Life::Asked | Life::Out)
    }

    pub fn over(self) -> bool {
        matches!(self, Life::Ending | Life::Over)
    }
}

#[derive(Debug)]
pub struct Session {
    pub id: String,
    pub viewer: String,
    /// The address that it was first asked for from.
    pub from: Option<IpAddr>,
    pub product: usize,
    /// The title's number, and what the list said of it when the play was asked for.
    pub title_number: usize,
    pub title: Rc<Title>,
    pub top: usize,
    pub came: f64,
    pub limit: f64,
    life: Life,
    /// What was answered; none while it is being decided.
    answer: Option<Answer>,
    /// Connections that wait for the answer.
    pub waiters: Vec<u64>,
    /// Since when nobody has waited, while it is being decided.
    pub alone_since: f64,
    /// Where the latest allocation went, how many there were, when it went, and the connection that carries it.
    pub server: Option<u32>,
    allocations: usize,
    pub sent_at: f64,
    pub line: Option<u64>,
    pub rung: usize,
    /// The rung that its server is known to have been told, and whether that word is still under way or to be said again.
    pub told: Option<usize>,
    pub telling: bool,
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

impl Session {
    pub fn life(&self) -> Life {
        self.life
    }

    pub fn answer(&self) -> Option<&Answer> {
        self.answer.as_ref()
    }

    /// How many allocations there were.
    pub fn allocation_count(&self) -> usize {
        self.allocations
    }
}

/// What a manifest request comes to.
#[derive(Debug, PartialEq)]
pub enum Asked {
    /// A play that has not been in hand: to be taken under this number.
    New(u64),
    /// The same play as one that is being decided; its answer will come to this connection too.
    Joined,
    Answered(Answer),
    /// The session is known for another viewer, product or title.
    Foreign,
    /// A limit is reached, by its name.
    Full(&'static str),
}

/// Who asks for what.
pub struct Request<'a> {
    pub id: &'a str,
    pub viewer: &'a str,
    pub from: Option<IpAddr>,
    pub product: usize,
    pub title_number: usize,
    pub title: &'a Rc<Title>,
    pub top: usize,
    pub limit: f64,
}

/// The limits of a [`SessionTable`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub deciding: usize,
    pub plays: usize,
    pub sessions: usize,
    pub waiters: usize,
    pub remember: f64,
}

pub struct SessionTable {
    bounds: Bounds,
    by_id: HashMap<String, u64>,
    sessions: HashMap<u64, Session>,
    next: u64,
    deciding: usize,
    playing: usize,
}

impl SessionTable {
    pub fn new(bounds: Bounds) -> SessionTable {
        SessionTable {
            bounds,
            by_id: HashMap::new(),
            sessions: HashMap::new(),
            next: 1,
            deciding: 0,
            playing: 0,
        }
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

    /// The one place where a session's life goes on; false where the table has no such step.
    fn step(&mut self, play: u64, step: Step) -> bool {
        let Some(session) = self.sessions.get_mut(&play) else { return false };
        let was = session.life;
        let Some((_, _, next)) = LIVES.iter().find(|(from, by, _)| (*from, *by) == (was, step)) else {
            return false;
        };
        self.deciding -= usize::from(was.deciding());
        self.playing -= usize::from(was == Life::Playing);
        match next {
            Some(life) => {
                session.life = *life;
                self.deciding += usize::from(life.deciding());
                self.playing += usize::from(*life == Life::Playing);
            }
            None => {
                let id = std::mem::take(&mut session.id);
                self.sessions.remove(&play);
                self.by_id.remove(&id);
            }
        }
        true
    }

    /// An allocation goes to this server: which one of the play's it is, or none where it may not be.
    pub fn send(&mut self, now: f64, play: u64, server: u32, rung: usize) -> Option<usize> {
        if !self.step(play, Step::Send) {
            return None;
        }
        let session = self.sessions.get_mut(&play)?;
        (session.server, session.rung, session.told, session.sent_at) = (Some(server), rung, Some(rung), now);
        session.allocations += 1;
        Some(session.allocations)
    }

    /// The allocation that was out is out no more, and nothing of it plays.
    pub fn back(&mut self, play: u64) -> bool {
        let back = self.step(play, Step::Back);
        if let Some(session) = self.sessions.get_mut(&play).filter(|_| back) {
            session.server = None;
        }
        back
    }

    /// The titles that sessions know.
    pub fn title_numbers(&self) -> HashSet<usize> {
        self.sessions.values().map(|s| s.title_number).collect()
    }

    /// The plays that are not over.
    pub fn open_plays(&self) -> Vec<u64> {
        let held = self.sessions.iter().filter(|(_, s)| !s.life.over());
        let mut held: Vec<u64> = held.map(|(play, _)| *play).collect();
        held.sort_unstable();
        held
    }

    /// A manifest request on connection `waiter`.
    pub fn ask(&mut self, now: f64, it: &Request, waiter: u64) -> Asked {
        if let Some(play) = self.by_id(it.id) {
            let session = self.sessions.get_mut(&play).expect("a known id has its session");
            let same = (session.viewer.as_str(), session.product, session.title_number);
            if same != (it.viewer, it.product, it.title_number) {
                return Asked::Foreign;
            }
            if let Some(answer) = &session.answer {
                if session.life == Life::Playing {
                    session.last_asked = now;
                }
                return Asked::Answered(answer.clone());
            }
            if session.waiters.len() >= self.bounds.waiters {
                return Asked::Full("waiters");
            }
            session.waiters.push(waiter);
            return Asked::Joined;
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
            from: it.from,
            product: it.product,
            title_number: it.title_number,
            title: it.title.clone(),
            top: it.top,
            came: now,
            limit: it.limit,
            life: Life::Asked,
            answer: None,
            waiters: vec![waiter],
            alone_since: now,
            server: None,
            allocations: 0,
            sent_at: 0.0,
            line: None,
            rung: 0,
            told: None,
            telling: false,
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
        session.waiters.is_empty() && session.life.deciding()
    }

    /// The play plays: its answer, and the connections to give it to.
    pub fn plays(&mut self, now: f64, play: u64, answer: Answer) -> Vec<u64> {
        if !self.step(play, Step::Plays) {
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        (session.started, session.last_asked) = (now, now);
        session.answer = Some(answer);
        std::mem::take(&mut session.waiters)
    }

    /// The play is over: what whoever asks from now on is answered, and the connections that still wait. A
    /// play that is over stays as it is.
    pub fn over(&mut self, now: f64, play: u64, answer: Answer) -> Vec<u64> {
        if !self.step(play, Step::Ends) {
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&play) else { return Vec::new() };
        session.answer = Some(answer);
        session.until = now + self.bounds.remember;
        std::mem::take(&mut session.waiters)
    }

    /// When the session's timer is to ring next, given how long a player may be silent (`idle`), and how long
    /// nobody may wait (`alone`).
    pub fn due(&self, play: u64, idle: f64, alone: f64) -> Option<f64> {
        let session = self.sessions.get(&play)?;
        match session.life {
            Life::Asked | Life::Out => session.waiters.is_empty().then_some(session.alone_since + alone),
            Life::Playing => Some(session.last_asked + idle),
            Life::Ending | Life::Over => Some(session.until),
        }
    }

    /// Forgets a session that is over.
    pub fn forget(&mut self, play: u64) {
        self.step(play, Step::Forget);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BOUNDS: Bounds = Bounds { deciding: 2, plays: 3, sessions: 4, waiters: 2, remember: 100.0 };

    thread_local! {
        static SHOW: &'static Rc<Title> = Box::leak(Box::new(Rc::new(Title {
            name: "t".into(),
            product: "p".into(),
            first_cell: 0,
            holders: 1,
            duration_ms: 1000,
            segment_ms: 1000,
            live: None,
            manifest: None,
            presentation: Rc::new(pulleystair_dash::mpd::Presentation::plain("t".into(), 1000, 1000)),
        })));
    }

    fn request(id: &str) -> Request<'_> {
        Request {
            id,
            viewer: "v",
            from: None,
            product: 0,
            title_number: 0,
            title: SHOW.with(|s| *s),
            top: 1,
            limit: 1000.0,
        }
    }

    fn answer(status: u16) -> Answer {
        Answer { status, body: "".into(), retry_after: None, location: None }
    }

    #[test]
    fn the_same_session_is_the_same_play_at_every_stage() {
        let mut book = SessionTable::new(BOUNDS);
        assert_eq!(book.ask(0.0, &request("a"), 1), Asked::New(1));
        assert_eq!(book.ask(1.0, &request("a"), 2), Asked::Joined);
        assert_eq!(book.ask(1.0, &request("a"), 3), Asked::Full("waiters"));
        assert_eq!((book.send(1.5, 1, 7, 0), book.send(1.5, 1, 8, 0)), (Some(1), None), "one at a time");
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
        let mut book = SessionTable::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        assert_eq!(book.ask(1.0, &Request { viewer: "w", ..request("a") }, 2), Asked::Foreign);
        assert_eq!(book.ask(1.0, &Request { title_number: 9, ..request("a") }, 2), Asked::Foreign);
    }

    #[test]
    fn a_flood_is_refused_and_pushes_nothing_out() {
        let mut book = SessionTable::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        book.send(0.0, 1, 0, 0);
        book.plays(0.0, 1, answer(200));
        book.ask(0.0, &request("b"), 2);
        book.ask(0.0, &request("c"), 3);
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::Full("deciding"));
        book.send(0.0, 2, 0, 0);
        book.plays(0.0, 2, answer(200));
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::Full("plays"));
        book.over(0.0, 3, answer(503));
        assert_eq!(book.ask(0.0, &request("d"), 4), Asked::New(4));
        book.over(0.0, 4, answer(503));
        assert_eq!(book.ask(0.0, &request("e"), 5), Asked::Full("sessions"));
        assert_eq!(book.ask(0.0, &request("a"), 6), Asked::Answered(answer(200)), "what plays goes on");
        assert_eq!((book.deciding(), book.playing(), book.open_plays()), (0, 2, vec![1, 2]));
    }

    #[test]
    fn a_viewer_that_closes_may_come_back() {
        let mut book = SessionTable::new(BOUNDS);
        book.ask(0.0, &request("a"), 1);
        assert_eq!(book.due(1, 50.0, 20.0), None);
        assert!(book.gone(5.0, 1, 1));
        assert_eq!(book.due(1, 50.0, 20.0), Some(25.0));
        assert_eq!(book.ask(6.0, &request("a"), 2), Asked::Joined);
        assert_eq!(book.due(1, 50.0, 20.0), None);
    }

    #[derive(Clone, Copy, Debug)]
    enum Does {
        Asks(u8, u64),
        Steps(u8, Step),
        Leaves(u8, u64),
    }

    fn does() -> impl Strategy<Value = Does> {
        let step = prop::sample::select(vec![Step::Send, Step::Back, Step::Plays, Step::Ends, Step::Forget]);
        prop_oneof![
            3 => (0u8..6, 0u64..30).prop_map(|(s, c)| Does::Asks(s, c)),
            6 => (0u8..6, step).prop_map(|(s, step)| Does::Steps(s, step)),
            1 => (0u8..6, 0u64..30).prop_map(|(s, c)| Does::Leaves(s, c)),
        ]
    }

    proptest! {
        /// Whatever comes in whatever order: a connection is answered at most once for each time it asked, a
        /// play has one allocation out at most, ends once, and is never answered anew; bounds hold.
        #[test]
        fn every_interleaving_keeps_to_one_life(all in prop::collection::vec(does(), 1..300)) {
            let mut book = SessionTable::new(BOUNDS);
            // By play: allocations out, ends, the answer; and who waits for which.
            let (mut out, mut ended, mut told) = (HashMap::new(), HashMap::new(), HashMap::<u64, Answer>::new());
            let mut waits: Vec<(u64, u64)> = Vec::new();
            for (at, it) in all.into_iter().enumerate() {
                let now = at as f64;
                let name = |s: u8| ["a", "b", "c", "d", "e", "f"][s as usize];
                match it {
                    Does::Asks(s, connection) => match book.ask(now, &request(name(s)), connection) {
                        Asked::New(play) => waits.push((play, connection)),
                        Asked::Joined => waits.push((book.by_id(name(s)).unwrap(), connection)),
                        Asked::Answered(answer) => {
                            prop_assert_eq!(told.get(&book.by_id(name(s)).unwrap()), Some(&answer));
                        }
                        Asked::Full(_) => {}
                        Asked::Foreign => prop_assert!(false, "it is the same viewer's"),
                    },
                    Does::Leaves(s, connection) => {
                        if let Some(play) = book.by_id(name(s)) {
                            book.gone(now, play, connection);
                            waits.retain(|w| *w != (play, connection));
                        }
                    }
                    Does::Steps(s, step) => {
                        let Some(play) = book.by_id(name(s)) else { continue };
                        let was = book.get(play).unwrap().life();
                        let answered = match step {
                            Step::Send => {
                                if book.send(now, play, 0, 0).is_some() {
                                    *out.entry(play).or_insert(0) += 1;
                                }
                                Vec::new()
                            }
                            Step::Back => {
                                if book.back(play) {
                                    *out.entry(play).or_insert(0) -= 1;
                                }
                                Vec::new()
                            }
                            Step::Plays => book.plays(now, play, answer(200)),
                            Step::Ends => book.over(now, play, answer(500 + at as u16)),
                            Step::Forget => {
                                book.forget(play);
                                Vec::new()
                            }
                        };
                        let is = book.get(play).map(|s| s.life());
                        if !was.over() && is.is_some_and(Life::over) {
                            *ended.entry(play).or_insert(0) += 1;
                        }
                        if let Some(session) = book.get(play) {
                            prop_assert!(was.deciding() || session.answer().is_some());
                            session.answer().map(|a| told.insert(play, a.clone()));
                        }
                        let mut expected: Vec<u64> = Vec::new();
                        if was.deciding() && !is.is_some_and(Life::deciding) {
                            expected = waits.iter().filter(|w| w.0 == play).map(|w| w.1).collect();
                            waits.retain(|w| w.0 != play);
                        }
                        prop_assert_eq!(answered, expected, "{:?} by {:?}", was, step);
                    }
                }
                prop_assert!(out.values().all(|n| (0..=1).contains(n)), "{out:?}");
                prop_assert!(ended.values().all(|n| *n <= 1));
                let held = book.open_plays();
                prop_assert_eq!(book.deciding() + book.playing(), held.len());
                prop_assert!(book.deciding() <= BOUNDS.deciding && held.len() <= BOUNDS.plays);
                prop_assert!(book.sessions.len() <= BOUNDS.sessions && book.sessions.len() == book.by_id.len());
            }
        }
    }
}
