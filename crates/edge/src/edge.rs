//! The front itself: one thread, one event loop. Players' requests and servers' answers are taken off the
//! lines here, told to the desk, and what the desk wants done is done by the [`Floor`], its hands.
//!
//! A play's way: [`Edge::request`] takes the manifest request, the desk sends it ([`Floor::send`]), the
//! allocation's line tells how that went ([`Edge::allocation`]), and the waiting player is answered
//! ([`Floor::answer`]). Segments go by [`Edge::segment`] and [`Edge::errand`].

use crate::http::{self, Body};
use crate::lines::{Doing, Errand, Key, Lines, Role, Stage, What};
use crate::listing::{Known, List, Watched};
use crate::rundown::Rundown;
use crate::sessions::{Asked, Book, Bounds, Final, Request, Stage as Life};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pulleystair::{Figure, Outcome};
use pulleystair_dash::address::{self, Address};
use pulleystair_dash::mpd::{Presentation, segments};
use pulleystair_dash::token::{Pass, Ring};
use pulleystair_desk::{Desk, Hands, Wish};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// A line of a server's notes at most, bytes.
const NOTE_LINE: usize = 4096;
/// A connection that is told to close may take so long to read its answer, ms.
const LEAVE: f64 = 1_000.0;
/// Answers that nobody waits for are read to their end up to this size; larger ones cost their connection.
const DRAIN: u64 = 64 << 10;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Clock {
    Desk(u32),
    /// The time-out of a play's so-many-th allocation.
    TimeOut(u64, usize),
    Line(Key),
    Session(u64),
    List,
    Stop,
}

/// A media server as the floor knows it: how to reach it, and the lines that are there.
struct Server {
    name: String,
    address: SocketAddr,
    idle: Vec<Key>,
    lines: usize,
    queue: VecDeque<Errand>,
}

/// An allocation's end that was found while the desk was busy.
struct News {
    play: u64,
    server: u32,
    outcome: Outcome,
}

pub struct Floor {
    rundown: Rundown,
    entry_keys: Ring,
    pass_keys: Ring,
    lines: Lines,
    book: Book,
    list: List,
    watched: Watched,
    titles: HashMap<(usize, String), usize>,
    servers: Vec<Server>,
    server_numbers: HashMap<String, u32>,
    clocks: BinaryHeap<Reverse<(u64, Clock)>>,
    news: VecDeque<News>,
    players: usize,
    /// The pooled connection that fetches for a player, and how many errands are out or wait.
    fetchers: HashMap<Key, Key>,
    errands_out: usize,
    /// Players with a further request at hand when their answer was written.
    woken: Vec<Key>,
    /// Names this run of this front in the names of its allocations.
    run: String,
    started: (Instant, f64),
    stopping: bool,
    /// A second signal came.
    halted: bool,
}

pub struct Edge {
    desk: Desk,
    floor: Floor,
}

fn known(rundown: &Rundown) -> Known<'_> {
    Known {
        zones: &rundown.zones,
        kinds: rundown.fleet.kinds.iter().map(|k| k.name.as_str()).collect(),
        products: rundown.products.iter().map(|p| p.name.as_str()).collect(),
        cells: rundown.fleet.cells,
    }
}

/// Reads the list that a rundown names.
pub fn read_list(rundown: &Rundown) -> Result<List, pulleystair_templates::Fault> {
    List::read(&rundown.list, &known(rundown))
}

fn words(status: u16, why: &str) -> Final {
    Final { status, body: format!("{why}\n").into(), retry_after: None }
}

/// Starts a front and runs it until it is told to stop.
pub fn run(rundown: Rundown) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Edge> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listener = TcpListener::bind(rundown.listen)
        .map_err(|e| anyhow::anyhow!("listen: {} can't be had: {e}", rundown.listen))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let mut edge = Edge::new(rundown, handle.clone())?;
    handle.insert_source(Generic::new(listener, Interest::READ, Mode::Level), |_, listener, edge| {
        edge.accept(listener);
        Ok(PostAction::Continue)
    })?;
    handle.insert_source(Signals::new(&[Signal::SIGTERM, Signal::SIGINT])?, |_, (), edge| edge.stop())?;
    info!(target: "front", %address, servers = edge.floor.servers.len(), "listens");
    while !edge.floor.done() {
        let wait = edge.floor.next_clock();
        event_loop.dispatch(wait, &mut edge)?;
        edge.ring();
    }
    info!(target: "front", left = edge.floor.book.held().len(), "stopped");
    Ok(())
}

impl Edge {
    fn new(rundown: Rundown, handle: LoopHandle<'static, Edge>) -> anyhow::Result<Edge> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = rundown.seed.unwrap_or(since.as_nanos() as u64);
        let limits = &rundown.limits;
        let bounds = Bounds {
            deciding: limits.deciding,
            plays: limits.plays,
            sessions: limits.sessions,
            waiters: limits.waiters,
            remember: limits.remember_ms,
        };
        let keys = |files| crate::rundown::ring(files).map_err(anyhow::Error::msg);
        let mut watched = Watched::new(rundown.list.clone());
        watched.replaced();
        let floor = Floor {
            entry_keys: keys(&rundown.entry_keys)?,
            pass_keys: keys(&rundown.pass_keys)?,
            lines: Lines::new(handle),
            book: Book::new(bounds),
            list: List { servers: Vec::new(), titles: Vec::new() },
            watched,
            titles: HashMap::new(),
            servers: Vec::new(),
            server_numbers: HashMap::new(),
            clocks: BinaryHeap::new(),
            news: VecDeque::new(),
            players: 0,
            fetchers: HashMap::new(),
            errands_out: 0,
            woken: Vec::new(),
            run: format!("{:x}-{:x}", since.as_millis() as u64, std::process::id()),
            started: (Instant::now(), since.as_secs_f64() * 1000.0),
            stopping: false,
            halted: false,
            rundown,
        };
        let mut edge = Edge { desk: Desk::new(floor.rundown.call_sheet(), seed), floor };
        let list = read_list(&edge.floor.rundown)?;
        edge.take_list(list);
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.list_poll_ms, Clock::List);
        Ok(edge)
    }

    // ---- the list ----

    fn look_at_list(&mut self) {
        let floor = &mut self.floor;
        floor.clock(floor.now() + floor.rundown.limits.list_poll_ms, Clock::List);
        if !floor.watched.replaced() {
            return;
        }
        match read_list(&floor.rundown) {
            Ok(list) => self.take_list(list),
            Err(e) => error!(target: "list", "list not taken, the one in hand stays: {e}"),
        }
    }

    fn take_list(&mut self, list: List) {
        let now = self.floor.now();
        let floor = &mut self.floor;
        let (servers, numbers) = (&mut floor.servers, &mut floor.server_numbers);
        let mut stale = Vec::new();
        let lines = list.lines(&known(&floor.rundown), |server| {
            let next = servers.len() as u32;
            let number = *numbers.entry(server.name.clone()).or_insert(next);
            if number == next {
                servers.push(Server {
                    name: server.name.clone(),
                    address: server.address,
                    idle: Vec::new(),
                    lines: 0,
                    queue: VecDeque::new(),
                });
            } else if servers[number as usize].address != server.address {
                servers[number as usize].address = server.address;
                stale.append(&mut servers[number as usize].idle);
            }
            number
        });
        stale.into_iter().for_each(|key| floor.drop_errands_line(key));
        floor.titles = (0..list.titles.len())
            .filter_map(|i| {
                let title = &list.titles[i];
                let product = floor.rundown.products.iter().position(|p| p.name == title.product)?;
                Some(((product, title.name.clone()), i))
            })
            .collect();
        let draining = list.servers.iter().filter(|s| s.state == crate::listing::State::Draining).count();
        info!(target: "list", servers = list.servers.len(), draining, titles = list.titles.len(), "list taken");
        floor.list = list;
        self.desk.list(now, true, false, &lines);
    }

    // ---- players ----

    fn accept(&mut self, listener: &TcpListener) {
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    warn!(target: "front", "connection not taken: {e}");
                    return;
                }
            };
            let floor = &mut self.floor;
            let limits = &floor.rundown.limits;
            if floor.players >= 2 * limits.connections {
                continue;
            }
            if limits.send_buffer_bytes > 0 {
                let _ = socket2::SockRef::from(&stream).set_send_buffer_size(limits.send_buffer_bytes);
            }
            let Ok(key) = floor.lines.open(stream, Role::Player(Doing::Reading)) else { continue };
            floor.players += 1;
            if floor.players > floor.rundown.limits.connections {
                let mut answer = words(503, "this front has all the connections it takes");
                answer.retry_after = Some(floor.retry_after());
                floor.leave(key, &answer);
            } else {
                floor.set_due(key, floor.now() + floor.rundown.limits.idle_ms);
            }
        }
    }

    pub(crate) fn line_ready(&mut self, key: Key) {
        let Some(line) = self.floor.lines.get(key) else { return };
        match &line.role {
            Role::Player(_) => self.player(key),
            Role::Allocation { .. } => self.allocation(key),
            Role::Errands { .. } => self.errand(key),
        }
        self.settle();
    }

    /// Something happened on a player's connection.
    fn player(&mut self, key: Key) {
        loop {
            let floor = &mut self.floor;
            let now = floor.now();
            let limits = &floor.rundown.limits;
            let (most, header, idle) = (limits.header_bytes, limits.header_ms, limits.idle_ms);
            let Some(line) = floor.lines.get(key) else { return };
            let Role::Player(doing) = line.role else { return };
            line.flush();
            if doing == Doing::Leaving {
                // What is still sent is read and thrown away, so that the answer is not lost by a reset.
                line.read(most);
                line.input.clear();
                if line.pending() == 0 {
                    line.shut();
                }
                if line.ended {
                    floor.player_gone(key);
                }
                return;
            }
            let before = line.input.len();
            let came = line.read(most);
            if line.ended {
                floor.player_gone(key);
                return;
            }
            match doing {
                Doing::Fetching(_) => {
                    let (pending, most) = (line.pending(), floor.rundown.limits.relay_bytes);
                    if pending < most / 2 {
                        self.relay_on(key);
                    }
                    return;
                }
                Doing::Reading if line.pending() == 0 => {}
                _ => return,
            }
            if line.input.is_empty() {
                if line.due.is_infinite() {
                    floor.set_due(key, now + idle);
                }
                return;
            }
            if came && before == 0 {
                floor.set_due(key, now + header);
            }
            let Some(line) = floor.lines.get(key) else { return };
            match http::request(&line.input, most) {
                Ok(None) => return,
                Err(refusal) => {
                    floor.leave(key, &words(refusal.status, refusal.why));
                    return;
                }
                Ok(Some((request, used))) => {
                    line.input.drain(..used);
                    line.keep_alive = request.keep_alive;
                    line.due = f64::INFINITY;
                    self.request(key, &request);
                }
            }
        }
    }

    /// Answers one request, or begins to.
    fn request(&mut self, key: Key, request: &http::Request) {
        let answer = match (request.method.as_str(), address::read(&request.target)) {
            (_, None) => words(404, "nothing is served here"),
            ("GET", Some(Address::Manifest { product, title, entry })) => {
                let token = request.bearer.as_deref().or(entry).unwrap_or("");
                match self.manifest(key, product, title, token) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("GET", Some(Address::Segment { pass, rung, number })) => {
                match self.segment(key, pass, rung, number) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("DELETE", Some(Address::Session { pass })) => match self.floor.playing(pass) {
                Ok(play) => {
                    self.finish(play, "viewer left");
                    words(200, "ended")
                }
                Err(answer) => answer,
            },
            _ => words(405, "GET a manifest or a segment, or DELETE a session"),
        };
        self.floor.answer(key, &answer);
    }

    /// A request for a play: its answer, or none while it is being decided.
    fn manifest(&mut self, key: Key, product: &str, title: &str, token: &str) -> Option<Final> {
        let floor = &mut self.floor;
        let now = floor.now();
        let entry = match floor.entry_keys.entry(token, (now / 1000.0) as u64, product, title) {
            Ok(entry) => entry,
            Err(fault) => return Some(words(fault.status(), &fault.to_string())),
        };
        let rundown = &floor.rundown;
        let number = rundown.products.iter().position(|p| p.name == product);
        let there = number.and_then(|n| Some((n, *floor.titles.get(&(n, title.to_string()))?)));
        let Some((product, title)) = there else { return Some(words(404, "no such title of that product")) };
        let limit = now + rundown.products[product].time_limit_ms;
        let request = Request { id: &entry.jti, viewer: &entry.sub, product, title, top: entry.top, limit };
        if floor.stopping && floor.book.by_id(&entry.jti).is_none() {
            return Some(floor.away("this front is stopping"));
        }
        match floor.book.ask(now, &request, key) {
            Asked::Foreign => Some(words(403, "this session is another viewer's or title's")),
            Asked::Full(limit) => Some(floor.away(&format!("this front is at its limit of {limit}"))),
            Asked::Answered(answer) => Some(answer),
            Asked::Joined => {
                floor.wait_for(key, floor.book.by_id(&entry.jti).unwrap_or(0));
                None
            }
            Asked::New(play) => {
                floor.wait_for(key, play);
                let of = &floor.list.titles[title];
                let (first_cell, holders) = (of.first_cell, of.holders);
                let top = entry.top.min(floor.rundown.ladder.len() - 1);
                let wish = Wish { product, title: title as u64, first_cell, holders, top, limit };
                self.desk.take(now, play, &wish, &mut self.floor);
                None
            }
        }
    }

    /// A request for a segment: its answer, or none while it is fetched.
    fn segment(&mut self, key: Key, pass: &str, rung: usize, number: u64) -> Option<Final> {
        let floor = &mut self.floor;
        let now = floor.now();
        let play = match floor.playing(pass) {
            Ok(play) => play,
            Err(answer) => return Some(answer),
        };
        let session = floor.book.get_mut(play)?;
        let title = &floor.list.titles[session.title];
        if number > segments(title.duration_ms, title.segment_ms) || rung >= floor.rundown.ladder.len() {
            return Some(words(404, "no such segment"));
        }
        session.last_asked = now;
        session.fetching += 1;
        let (rung, server) = (rung.min(session.rung), session.server.unwrap_or(0));
        let name = format!("{}-{play}-{}", floor.run, session.allocations);
        let target = format!("/plays/{name}/{rung}/{number}");
        if let Some(line) = floor.lines.get(key) {
            line.role = Role::Player(Doing::Fetching(play));
        }
        let request = floor.request_to(server, "GET", &target, "");
        let errand =
            Errand { what: What::Segment { player: key, play, number }, request, left: None, last: false };
        floor.run_errand(server, errand);
        None
    }

    /// The play has ended well: the viewer left, or is silent.
    fn finish(&mut self, play: u64, cause: &'static str) {
        let floor = &mut self.floor;
        let now = floor.now();
        let Some(session) = floor.book.get_mut(play) else { return };
        let (Some(server), line, n) = (session.server, session.line.take(), session.allocations) else {
            return;
        };
        if let Some(line) = line {
            floor.lines.close(line);
        }
        let target = format!("/plays/{}-{play}-{n}", floor.run);
        let request = floor.request_to(server, "DELETE", &target, "");
        floor.run_errand(server, Errand { what: What::Word, request, left: None, last: false });
        floor.over(play, cause, words(410, "this play has ended"));
        self.desk.ended(now, play, server, Outcome::Finished, true, &[], &mut self.floor);
    }

    // ---- allocations ----

    /// Something happened on an allocation's connection.
    fn allocation(&mut self, key: Key) {
        let now = self.floor.now();
        let Some(line) = self.floor.lines.get(key) else { return };
        let connected = line.connected();
        if connected == Some(true) {
            line.flush();
        }
        line.read(http::ANSWER_HEAD.max(2 * NOTE_LINE));
        let ended = line.ended || connected == Some(false);
        let Role::Allocation { play, server, stage } = &mut line.role else { return };
        let (play, server) = (*play, *server);
        if let Stage::Asked = stage {
            if connected == Some(false) {
                return self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            match http::answer(&line.input) {
                Ok(None) if ended => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(None) => return,
                Err(e) => {
                    warn!(target: "server", server = self.floor.name(server), "set-up's answer: {e}");
                    return self.allocation_ended(play, server, Outcome::Error, &[]);
                }
                Ok(Some((answer, used))) => {
                    line.input.drain(..used);
                    let load = figures(answer.load.as_deref());
                    match (answer.status, answer.body) {
                        (200, Body::Chunked(chunks)) => {
                            line.role = Role::Allocation {
                                play,
                                server,
                                stage: Stage::Noting { chunks, text: Vec::new() },
                            };
                            self.plays(now, play, server, &load);
                        }
                        (429, _) => return self.allocation_ended(play, server, Outcome::Full, &load),
                        _ => return self.allocation_ended(play, server, Outcome::Error, &load),
                    }
                }
            }
        }
        self.notes(key, play, server);
    }

    /// The first frame is at hand: whoever waits is answered.
    fn plays(&mut self, now: f64, play: u64, server: u32, load: &[Figure]) {
        let floor = &mut self.floor;
        if let Some(answer) = floor.manifest_of(play) {
            for key in floor.book.plays(now, play, answer.clone()) {
                floor.answer(key, &answer);
            }
            floor.session_clock(play);
        }
        self.desk.playing(now, play, &mut self.floor);
        for figure in load {
            match figure {
                Figure::Streams(_) => self.desk.report(now, server, &[*figure], &mut self.floor),
                _ => self.desk.note(now, play, server, *figure, &mut self.floor),
            }
        }
    }

    /// Reads the notes on a play that runs.
    fn notes(&mut self, key: Key, play: u64, server: u32) {
        loop {
            let now = self.floor.now();
            let Some(line) = self.floor.lines.get(key) else { return };
            let ended = line.ended;
            let Role::Allocation { stage: Stage::Noting { chunks, text }, .. } = &mut line.role else {
                return;
            };
            let fed = chunks.feed(&mut line.input, text);
            let mut found = Vec::new();
            while let Some(end) = text.iter().position(|b| *b == b'\n') {
                let note: Vec<u8> = text.drain(..=end).collect();
                found.push(note);
            }
            let long = text.len() > NOTE_LINE;
            for note in &found {
                match note_figures(note) {
                    Some(figures) => figures.into_iter().for_each(|figure| {
                        self.desk.note(now, play, server, figure, &mut self.floor);
                    }),
                    None => debug!(target: "server", server = self.floor.name(server), "note not read"),
                }
            }
            match fed {
                Ok(true) => return self.allocation_ended(play, server, Outcome::Finished, &[]),
                Err(_) => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) if long => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) if ended => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) => {}
            }
            let Some(line) = self.floor.lines.get(key) else { return };
            if !line.read(2 * NOTE_LINE) && !line.ended {
                return;
            }
        }
    }

    /// An allocation is out no more: its connection is closed before the desk may send the play again.
    fn allocation_ended(&mut self, play: u64, server: u32, outcome: Outcome, load: &[Figure]) {
        let now = self.floor.now();
        let mut closed = false;
        if let Some(session) = self.floor.book.get_mut(play) {
            let was = (session.server.take(), session.line.take());
            if let Some(line) = was.1 {
                self.floor.lines.close(line);
            }
            closed = matches!(self.floor.book.get(play).map(|s| &s.stage), Some(Life::Playing(_)));
            if closed {
                let lost = outcome != Outcome::Finished;
                let cause = if lost { "server lost" } else { "server ended it" };
                if let Some(session) = self.floor.book.get_mut(play) {
                    session.server = was.0;
                }
                self.floor.over(play, cause, words(410, cause));
            } else {
                debug!(target: "play", play, server = self.floor.name(server), ?outcome, "allocation ended");
            }
        }
        self.desk.ended(now, play, server, outcome, closed, load, &mut self.floor);
    }

    /// Tells the desk what was found while it was busy.
    fn settle(&mut self) {
        loop {
            if let Some(News { play, server, outcome }) = self.floor.news.pop_front() {
                self.allocation_ended(play, server, outcome, &[]);
            } else if let Some(player) = self.floor.woken.pop() {
                self.player(player);
            } else {
                return;
            }
        }
    }

    // ---- errands ----

    /// A player has taken what it was sent: its server is read on.
    fn relay_on(&mut self, player: Key) {
        let floor = &mut self.floor;
        let Some(line) = floor.lines.get(player) else { return };
        let Role::Player(Doing::Fetching(_)) = line.role else { return };
        if let Some(key) = floor.fetchers.get(&player).copied() {
            self.errand(key);
        }
    }

    /// Something happened on a pooled connection to a server.
    fn errand(&mut self, key: Key) {
        loop {
            let floor = &mut self.floor;
            let now = floor.now();
            let relay = floor.rundown.limits.relay_bytes;
            let Some(line) = floor.lines.get(key) else { return };
            let connected = line.connected();
            if connected == Some(true) {
                line.flush();
            }
            let came = line.read(64 << 10);
            let ended = line.ended || connected == Some(false);
            let Role::Errands { server, errand, .. } = &mut line.role else { return };
            let server = *server;
            let Some(it) = errand else {
                // An idle one that was closed, or says something nobody asked for.
                if ended || !line.input.is_empty() {
                    floor.drop_errands_line(key);
                }
                return;
            };
            if it.left.is_none() {
                match http::answer(&line.input) {
                    Ok(None) if ended => return floor.errand_failed(key, "connection broken"),
                    Ok(None) => return,
                    Err(e) => return floor.errand_failed(key, &e.to_string()),
                    Ok(Some((answer, used))) => {
                        line.input.drain(..used);
                        let Body::Length(length) = answer.body else {
                            return floor.errand_failed(key, "answer without a length");
                        };
                        (it.left, it.last) = (Some(length), !answer.keep_alive);
                        let what = it.what;
                        floor.set_due(key, now + floor.rundown.limits.segment_ms);
                        if let What::Segment { player, play, .. } = what {
                            if answer.status == 200 {
                                floor.segment_head(player, play, length);
                            } else {
                                floor.segment_refused(player, play, answer.status);
                                if let Some(line) = floor.lines.get(key)
                                    && let Role::Errands { errand: Some(it), .. } = &mut line.role
                                {
                                    it.what = What::Word;
                                }
                            }
                        }
                        let load = figures(answer.load.as_deref());
                        self.desk.report(now, server, &load, &mut self.floor);
                        continue;
                    }
                }
            }
            let left = it.left.unwrap_or(0);
            let what = it.what;
            let n = (line.input.len() as u64).min(left) as usize;
            let part: Vec<u8> = line.input.drain(..n).collect();
            it.left = Some(left - n as u64);
            let done = left == n as u64;
            if let What::Segment { player, .. } = what {
                let Some(line) = floor.lines.get(player) else {
                    // The player left in the middle: the rest is of no use.
                    return floor.drop_errands_line(key);
                };
                line.write(&part);
                line.flush();
                let full = line.pending() >= relay && !done;
                if n > 0 {
                    floor.set_due(key, now + floor.rundown.limits.segment_ms);
                }
                if full {
                    // Read on once the player has taken some; its own clock runs meanwhile.
                    if let Some(line) = floor.lines.get(key) {
                        line.due = f64::INFINITY;
                    }
                    return;
                }
            } else if left > DRAIN {
                return floor.drop_errands_line(key);
            }
            if done {
                return self.errand_done(key, server, what);
            }
            if ended {
                return floor.errand_failed(key, "answer cut short");
            }
            if !came {
                return;
            }
        }
    }

    fn errand_done(&mut self, key: Key, server: u32, what: What) {
        let floor = &mut self.floor;
        let now = floor.now();
        let mut last = false;
        if let Some(line) = floor.lines.get(key) {
            last = line.ended || !line.input.is_empty();
            if let Role::Errands { errand, fresh, .. } = &mut line.role {
                last |= errand.as_ref().is_none_or(|e| e.last);
                (*errand, *fresh) = (None, false);
            }
        }
        if last {
            floor.drop_errands_line(key);
        } else {
            floor.set_due(key, now + floor.rundown.limits.server_idle_ms);
            floor.servers[server as usize].idle.push(key);
        }
        floor.next_errand(server);
        if let What::Segment { player, play, number } = what {
            floor.fetchers.remove(&player);
            if let Some(session) = floor.book.get_mut(play) {
                session.fetching = session.fetching.saturating_sub(1);
                session.last_asked = now;
                let title = &floor.list.titles[session.title];
                session.complete |= number == segments(title.duration_ms, title.segment_ms);
                floor.session_clock(play);
            }
            floor.answered(player);
            self.player(player);
        }
    }

    // ---- clocks ----

    /// Does what has fallen due.
    fn ring(&mut self) {
        loop {
            let now = self.floor.now();
            if self.floor.clocks.peek().is_none_or(|c| c.0.0 as f64 / 1000.0 > now) {
                return;
            }
            let Some(Reverse((_, clock))) = self.floor.clocks.pop() else { return };
            match clock {
                Clock::Desk(mark) => self.desk.rings(now, mark, &mut self.floor),
                Clock::TimeOut(play, n) => self.time_out(now, play, n),
                Clock::Line(key) => self.line_due(now, key),
                Clock::Session(play) => self.session_due(now, play),
                Clock::List => self.look_at_list(),
                Clock::Stop => self.give_up(),
            }
            self.settle();
        }
    }

    fn time_out(&mut self, now: f64, play: u64, n: usize) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        if session.allocations != n || session.stage != Life::Deciding {
            return;
        }
        let (Some(server), Some(key)) = (session.server, session.line) else { return };
        let connected = floor.lines.get(key).and_then(|line| line.connected());
        let outcome = if connected == Some(true) { Outcome::TimedOut } else { Outcome::Unreachable };
        debug!(target: "play", play, server = floor.name(server), waited = now - session.came, "timed out");
        self.allocation_ended(play, server, outcome, &[]);
    }

    fn line_due(&mut self, now: f64, key: Key) {
        let floor = &mut self.floor;
        let Some(line) = floor.lines.get(key) else { return };
        if line.due > now {
            return;
        }
        line.due = f64::INFINITY;
        let connected = line.connected() == Some(true);
        match &line.role {
            Role::Player(Doing::Reading) if line.pending() == 0 && !line.input.is_empty() => {
                floor.leave(key, &words(408, "the request did not come whole in time"));
            }
            Role::Player(_) => {
                if line.pending() > 0 {
                    info!(target: "front", "closed a reader that was too slow");
                }
                floor.player_gone(key);
            }
            // A set-up's own time runs by its time-out; this one is for the connection.
            Role::Allocation { play, server, stage: Stage::Asked } if !connected => {
                let (play, server) = (*play, *server);
                self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            Role::Allocation { .. } => {}
            Role::Errands { errand: None, .. } => floor.drop_errands_line(key),
            Role::Errands { .. } => floor.errand_failed(key, "no answer in time"),
        }
    }

    fn session_due(&mut self, now: f64, play: u64) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        let idle = floor.idle_of(play);
        if floor.book.due(play, idle, floor.rundown.limits.come_back_ms).is_none_or(|due| due > now) {
            return floor.session_clock(play);
        }
        match session.stage {
            Life::Over(_) => floor.book.forget(play),
            Life::Deciding => {
                floor.over(play, "viewer gone", words(410, "the viewer left before the play was set up"));
                self.desk.left(play, &mut self.floor);
            }
            Life::Playing(_) if session.fetching > 0 => {
                if let Some(session) = floor.book.get_mut(play) {
                    session.last_asked = now;
                }
                floor.session_clock(play);
            }
            Life::Playing(_) => {
                let cause = if session.complete { "watched to the end" } else { "viewer silent" };
                self.finish(play, cause);
            }
        }
    }

    // ---- stopping ----

    /// A signal: no new plays from now on; a second one ends at once.
    fn stop(&mut self) {
        if self.floor.stopping {
            warn!(target: "front", "second signal: stops at once");
            self.floor.halted = true;
            return;
        }
        let floor = &mut self.floor;
        floor.stopping = true;
        let stop_ms = floor.rundown.limits.stop_ms;
        info!(target: "front", held = floor.book.held().len(), stop_ms, "stopping: no new plays");
        floor.clock(floor.now() + stop_ms, Clock::Stop);
    }

    /// The time to run on has passed: what is in hand gets its final answer.
    fn give_up(&mut self) {
        for play in self.floor.book.held() {
            let deciding = self.floor.book.get(play).is_some_and(|s| s.stage == Life::Deciding);
            if deciding {
                let answer = words(504, "this front has stopped");
                self.floor.over(play, "front stopped", answer);
                self.desk.left(play, &mut self.floor);
            } else {
                self.finish(play, "front stopped");
            }
            self.settle();
        }
    }
}

impl Floor {
    /// ms since 1970, never going back.
    fn now(&self) -> f64 {
        self.started.1 + self.started.0.elapsed().as_secs_f64() * 1000.0
    }

    fn clock(&mut self, at: f64, clock: Clock) {
        self.clocks.push(Reverse(((at * 1000.0).max(0.0).ceil() as u64, clock)));
    }

    fn next_clock(&self) -> Option<Duration> {
        let next = self.clocks.peek()?.0.0 as f64 / 1000.0;
        Some(Duration::from_secs_f64((next - self.now()).max(0.0) / 1000.0))
    }

    fn done(&self) -> bool {
        let idle = self.book.deciding() + self.book.playing() == 0 && self.errands_out == 0;
        self.halted || self.stopping && idle
    }

    fn name(&self, server: u32) -> &str {
        self.servers.get(server as usize).map_or("?", |s| s.name.as_str())
    }

    fn set_due(&mut self, key: Key, due: f64) {
        if let Some(line) = self.lines.get(key) {
            line.due = due;
            self.clock(due, Clock::Line(key));
        }
    }

    // ---- answers to players ----

    /// Seconds to stay away that a player is told.
    fn retry_after(&self) -> u64 {
        (self.rundown.rules.retry_after_ms / 1000.0).ceil().max(1.0) as u64
    }

    fn away(&self, why: &str) -> Final {
        Final { retry_after: Some(self.retry_after()), ..words(503, why) }
    }

    fn answer(&mut self, key: Key, answer: &Final) {
        let keep_alive = self.lines.get(key).is_some_and(|line| line.keep_alive);
        self.write_answer(key, answer, keep_alive);
        self.answered(key);
    }

    /// Answers and closes.
    fn leave(&mut self, key: Key, answer: &Final) {
        self.write_answer(key, answer, false);
        if let Some(line) = self.lines.get(key) {
            line.keep_alive = false;
        }
        self.answered(key);
    }

    fn write_answer(&mut self, key: Key, answer: &Final, keep_alive: bool) {
        let kind = if answer.status == 200 && answer.body.starts_with("<?xml") {
            "Content-Type: application/dash+xml"
        } else {
            "Content-Type: text/plain; charset=utf-8"
        };
        let mut more = vec![kind.to_string()];
        if let Some(s) = answer.retry_after {
            more.push(format!("Retry-After: {s}"));
        }
        if answer.status == 401 {
            more.push("WWW-Authenticate: Bearer".into());
        }
        let mut out = Vec::with_capacity(answer.body.len() + 256);
        http::head(&mut out, answer.status, answer.body.len() as u64, keep_alive, &more);
        out.extend_from_slice(answer.body.as_bytes());
        if let Some(line) = self.lines.get(key) {
            line.write(&out);
            line.flush();
        }
    }

    /// The answer on this connection is written, or waits in its buffer: on to the next request, or leave.
    fn answered(&mut self, key: Key) {
        let now = self.now();
        let limits = &self.rundown.limits;
        let (idle, slow, rate) = (limits.idle_ms, limits.slow_reader_ms, limits.slow_reader_kb);
        let Some(line) = self.lines.get(key) else { return };
        let pending = line.pending();
        let leaving = !line.keep_alive;
        if !line.input.is_empty() {
            self.woken.push(key);
        }
        line.role = Role::Player(if leaving { Doing::Leaving } else { Doing::Reading });
        if leaving && pending == 0 {
            line.shut();
        }
        let due = match (pending, leaving) {
            (0, true) => now + LEAVE,
            (0, false) => now + idle,
            _ => now + slow + pending as f64 / rate,
        };
        self.set_due(key, due);
    }

    fn wait_for(&mut self, key: Key, play: u64) {
        if let Some(line) = self.lines.get(key) {
            line.role = Role::Player(Doing::Waiting(play));
            line.due = f64::INFINITY;
        }
    }

    fn player_gone(&mut self, key: Key) {
        let now = self.now();
        let Some(Role::Player(doing)) = self.lines.close(key) else { return };
        self.players -= 1;
        match doing {
            Doing::Waiting(play) if self.book.gone(now, play, key) => self.session_clock(play),
            Doing::Fetching(play) => {
                if let Some(session) = self.book.get_mut(play) {
                    session.fetching = session.fetching.saturating_sub(1);
                }
                if let Some(line) = self.fetchers.remove(&key) {
                    self.drop_errands_line(line);
                }
            }
            _ => {}
        }
    }

    /// The play that a pass opens, if it runs here.
    fn playing(&self, pass: &str) -> Result<u64, Final> {
        let pass = self.pass_keys.pass(pass, (self.now() / 1000.0) as u64);
        let pass = pass.map_err(|fault| words(fault.status(), &fault.to_string()))?;
        let gone = || words(410, "this session does not play here");
        let play = self.book.by_id(&pass.sid).ok_or_else(gone)?;
        let session = self.book.get(play).ok_or_else(gone)?;
        match &session.stage {
            Life::Playing(_) => {}
            Life::Over(answer) if answer.status == 410 => return Err(answer.clone()),
            _ => return Err(gone()),
        }
        let title = &self.list.titles[session.title];
        if (title.product.as_str(), title.name.as_str()) != (pass.product.as_str(), pass.title.as_str()) {
            return Err(words(403, "token is for another title or product"));
        }
        Ok(play)
    }

    fn manifest_of(&self, play: u64) -> Option<Final> {
        let session = self.book.get(play)?;
        let title = &self.list.titles[session.title];
        let product = &self.rundown.products[session.product];
        let last = self.rundown.ladder.len() - 1;
        let top = session.top.min(product.top.unwrap_or(last)).min(last).max(product.floor);
        // The session may play to its end, and be silent now and then.
        let runs = title.duration_ms as f64 * 2.0 + self.rundown.limits.play_idle_ms;
        let pass = Pass {
            sid: session.id.clone(),
            product: product.name.clone(),
            title: title.name.clone(),
            exp: ((self.now() + runs) / 1000.0).ceil() as u64,
        };
        let presentation = Presentation {
            title: title.name.clone(),
            base: address::base(&self.pass_keys.sign(&pass)),
            duration_ms: title.duration_ms,
            segment_ms: title.segment_ms,
            ladder: self.rundown.ladder[..=top].iter().map(|r| r.rate_kb * product.scale).collect(),
        };
        Some(Final { status: 200, body: presentation.write().into(), retry_after: None })
    }

    /// The play is over: whoever waits gets the answer, and the play its line in the log.
    fn over(&mut self, play: u64, cause: &'static str, answer: Final) {
        let now = self.now();
        let Some(session) = self.book.get(play) else { return };
        let played = if session.started > 0.0 { now - session.started } else { 0.0 };
        let set_up = if session.started > 0.0 { session.started - session.came } else { 0.0 };
        info!(
            target: "play",
            play,
            cause,
            answer = if session.started > 0.0 { 200 } else { answer.status },
            product = self.rundown.products[session.product].name,
            title = self.list.titles[session.title].name,
            server = session.server.map_or("", |s| self.name(s)),
            rung = session.rung,
            allocations = session.allocations,
            set_up_ms = set_up,
            played_ms = played,
        );
        for key in self.book.over(now, play, answer.clone()) {
            self.answer(key, &answer);
        }
        self.session_clock(play);
    }

    fn idle_of(&self, play: u64) -> f64 {
        let linger = self.book.get(play).filter(|s| s.complete);
        match linger {
            // The last segment may be asked for once more.
            Some(session) => self.list.titles[session.title].segment_ms as f64,
            None => self.rundown.limits.play_idle_ms,
        }
    }

    fn session_clock(&mut self, play: u64) {
        let idle = self.idle_of(play);
        if let Some(due) = self.book.due(play, idle, self.rundown.limits.come_back_ms) {
            self.clock(due, Clock::Session(play));
        }
    }

    // ---- servers ----

    fn request_to(&self, server: u32, method: &str, target: &str, body: &str) -> Vec<u8> {
        let address = self.servers[server as usize].address;
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n{body}").into_bytes()
    }

    fn dial(&mut self, server: u32, role: Role) -> io::Result<Key> {
        let address = self.servers[server as usize].address;
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            // Under way (EINPROGRESS).
            Err(e) if e.raw_os_error() == Some(115) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        self.lines.open(TcpStream::from(socket), role)
    }

    /// Has the errand run on an idle connection, a new one, or once one comes free.
    fn run_errand(&mut self, server: u32, errand: Errand) {
        let at = &mut self.servers[server as usize];
        if let Some(key) = at.idle.pop() {
            self.errands_out += 1;
            return self.begin(key, errand);
        }
        let limits = &self.rundown.limits;
        if at.lines >= limits.server_connections {
            if at.queue.len() < limits.server_queue {
                self.errands_out += 1;
                return at.queue.push_back(errand);
            }
            return self.errand_lost(&errand.what, "too many requests wait for the server");
        }
        self.errands_out += 1;
        self.on_new_line(server, errand);
    }

    fn on_new_line(&mut self, server: u32, errand: Errand) {
        match self.dial(server, Role::Errands { server, errand: None, fresh: true }) {
            Ok(key) => {
                self.servers[server as usize].lines += 1;
                self.begin(key, errand);
            }
            Err(e) => {
                self.errands_out -= 1;
                self.errand_lost(&errand.what, &format!("server can't be reached: {e}"));
            }
        }
    }

    fn begin(&mut self, key: Key, it: Errand) {
        if let What::Segment { player, .. } = it.what {
            self.fetchers.insert(player, key);
        }
        let due = self.now() + self.rundown.limits.segment_ms;
        if let Some(line) = self.lines.get(key)
            && let Role::Errands { errand, .. } = &mut line.role
        {
            let request = it.request.clone();
            *errand = Some(it);
            line.write(&request);
            line.flush();
        }
        self.set_due(key, due);
    }

    fn next_errand(&mut self, server: u32) {
        self.errands_out = self.errands_out.saturating_sub(1);
        while let Some(errand) = self.servers[server as usize].queue.pop_front() {
            self.errands_out -= 1;
            self.run_errand(server, errand);
            if self.servers[server as usize].lines > 0 {
                return;
            }
        }
    }

    /// Closes a pooled connection; an errand that it is on is no longer wanted.
    fn drop_errands_line(&mut self, key: Key) {
        if let Some(Role::Errands { server, errand, .. }) = self.lines.close(key) {
            let at = &mut self.servers[server as usize];
            at.lines -= 1;
            at.idle.retain(|k| *k != key);
            if errand.is_some() {
                self.next_errand(server);
            }
        }
    }

    /// The errand got no answer. One that was sent on a connection the server had closed meanwhile is run
    /// again on a new one; asking for a segment twice harms nobody.
    fn errand_failed(&mut self, key: Key, why: &str) {
        let Some(Role::Errands { server, errand, fresh }) = self.lines.close(key) else { return };
        self.servers[server as usize].lines -= 1;
        self.servers[server as usize].idle.retain(|k| *k != key);
        let Some(errand) = errand else { return };
        if !fresh && errand.left.is_none() && why == "connection broken" {
            return self.on_new_line(server, errand);
        }
        debug!(target: "server", server = self.name(server), what = ?errand.what, why, "errand failed");
        let begun = errand.left.is_some();
        match errand.what {
            What::Segment { player, .. } if begun => self.player_cut(player),
            _ => self.errand_lost(&errand.what, why),
        }
        self.next_errand(server);
    }

    /// A segment that broke off in the middle: its connection is closed, so that the player sees it is short.
    fn player_cut(&mut self, player: Key) {
        self.fetchers.remove(&player);
        self.player_gone(player);
    }

    fn errand_lost(&mut self, what: &What, why: &str) {
        if let What::Segment { player, play, .. } = what {
            let status = if why == "no answer in time" { 504 } else { 502 };
            self.segment_answer(*player, *play, &Final { retry_after: None, ..words(status, why) });
        }
    }

    fn segment_refused(&mut self, player: Key, play: u64, status: u16) {
        let answer = match status {
            503 | 429 => self.away("the media server is busy"),
            _ => words(502, "the media server has not got it"),
        };
        self.segment_answer(player, play, &answer);
    }

    fn segment_answer(&mut self, player: Key, play: u64, answer: &Final) {
        self.fetchers.remove(&player);
        // A player that is gone was counted off when it went.
        if self.lines.get(player).is_none() {
            return;
        }
        if let Some(session) = self.book.get_mut(play) {
            session.fetching = session.fetching.saturating_sub(1);
        }
        self.answer(player, answer);
    }

    fn segment_head(&mut self, player: Key, play: u64, length: u64) {
        let Some(session) = self.book.get(play) else { return };
        let product = &self.rundown.products[session.product];
        let kbps = (self.rundown.ladder[session.rung].rate_kb * product.scale * 8.0).ceil() as u64;
        // CTA-5006: the maximum suggested bitrate, kbit/s.
        let more =
            ["Content-Type: video/mp4".to_string(), format!("CMSD-Dynamic: \"pulleystair\";mb={kbps}")];
        let limits = &self.rundown.limits;
        let due = self.now() + limits.slow_reader_ms + length as f64 / limits.slow_reader_kb;
        let Some(line) = self.lines.get(player) else { return };
        let mut out = Vec::new();
        http::head(&mut out, 200, length, line.keep_alive, &more);
        line.write(&out);
        self.set_due(player, due);
    }
}

impl Hands for Floor {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(session) = self.book.get_mut(play) else { return };
        session.server = Some(server);
        session.rung = rung;
        session.allocations += 1;
        let (n, title, product) = (session.allocations, session.title, session.product);
        let body = serde_json::json!({
            "title": self.list.titles[title].name,
            "product": self.rundown.products[product].name,
            "rung": rung,
            "session": session.id,
        });
        let target = format!("/plays/{}-{play}-{n}", self.run);
        let request = self.request_to(server, "POST", &target, &body.to_string());
        match self.dial(server, Role::Allocation { play, server, stage: Stage::Asked }) {
            Ok(key) => {
                if let Some(line) = self.lines.get(key) {
                    line.write(&request);
                    line.flush();
                }
                if let Some(session) = self.book.get_mut(play) {
                    session.line = Some(key);
                }
                self.set_due(key, now + self.rundown.limits.dial_ms);
                self.clock(now + time_out, Clock::TimeOut(play, n));
            }
            Err(e) => {
                debug!(target: "server", server = self.name(server), "not reached: {e}");
                self.news.push_back(News { play, server, outcome: Outcome::Unreachable });
            }
        }
    }

    fn withdraw(&mut self, play: u64) {
        let Some(server) = self.book.get(play).and_then(|s| s.server) else { return };
        self.news.push_back(News { play, server, outcome: Outcome::Withdrawn });
    }

    fn step(&mut self, play: u64, rung: usize) {
        let Some(session) = self.book.get_mut(play) else { return };
        session.rung = rung;
        let (Life::Playing(_), Some(server), n) = (&session.stage, session.server, session.allocations)
        else {
            return;
        };
        let target = format!("/plays/{}-{play}-{n}", self.run);
        let request = self.request_to(server, "PATCH", &target, &format!("{{\"rung\":{rung}}}"));
        self.run_errand(server, Errand { what: What::Word, request, left: None, last: false });
    }

    fn probe(&mut self, server: u32) {
        let request = self.request_to(server, "GET", "/load", "");
        self.run_errand(server, Errand { what: What::Probe, request, left: None, last: false });
    }

    fn declined(&mut self, play: u64, pause: f64) {
        let mut answer = words(503, "no room for this play now");
        if pause > 0.0 {
            answer.retry_after = Some((pause / 1000.0).ceil() as u64);
        }
        self.over(play, "declined", answer);
    }

    fn failed(&mut self, play: u64) {
        let late = self.book.get(play).is_some_and(|s| self.now() >= s.limit - 5.0);
        let answer = if late {
            words(504, "the play could not be set up in time")
        } else {
            words(502, "the play could not be set up")
        };
        self.over(play, "failed", answer);
    }

    fn wake(&mut self, mark: u32, wait: f64) {
        self.clock(self.now() + wait, Clock::Desk(mark));
    }

    /// The list comes unasked, from its file.
    fn follow(&mut self) {}
}

/// The figures of a load report that the decisions know: `named_metrics` link, uplink and streams, or the
/// capped `utilization.link`.
fn figures(load: Option<&str>) -> Vec<Figure> {
    let Some(load) = load else { return Vec::new() };
    let report = match pulleystair_orca::read(load) {
        Ok(report) => report,
        Err(e) => {
            debug!(target: "server", "{e}");
            return Vec::new();
        }
    };
    let named = |name: &str| report.named_metrics.get(name).copied();
    let link = match (named("link"), report.utilization.get("link")) {
        (Some(x), _) => Some(Figure::Link(x)),
        (None, Some(x)) => Some(Figure::LinkCapped(*x)),
        (None, None) => None,
    };
    let others = [named("uplink").map(Figure::Uplink), named("streams").map(Figure::Streams)];
    link.into_iter().chain(others.into_iter().flatten()).collect()
}

/// A line of notes: a JSON object with `delivered`, `link` and `uplink`, each where the server has it.
fn note_figures(line: &[u8]) -> Option<Vec<Figure>> {
    let note: HashMap<String, f64> = serde_json::from_slice(line).ok()?;
    let of = |name: &str, figure: fn(f64) -> Figure| note.get(name).copied().map(figure);
    let all = [of("delivered", Figure::Delivered), of("link", Figure::Link), of("uplink", Figure::Uplink)];
    Some(all.into_iter().flatten().collect())
}
