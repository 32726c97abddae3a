//! The front itself: one thread, one event loop. Players' requests and servers' answers are taken off the
//! lines here, told to the desk, and what the desk wants done is done by the [`Floor`], its hands.
//!
//! A play's way: [`Edge::request`] takes the manifest request, the desk sends it ([`Floor::send`]), the
//! allocation's line tells how that went ([`Edge::allocation`]), and the waiting player is answered
//! ([`Floor::answer`]). Segments go by [`Edge::segment`] and [`Edge::errand`].

use crate::floor::{Clock, Floor, News, Server, figures, note_figures, words};
use crate::http::{self, Body};
use crate::lines::{Doing, Errand, Key, Lines, Role, Stage, What};
use crate::listing::{Known, List, Watched};
use crate::reading::Reading;
use crate::rundown::{Effect, Keys, Rundown, homes};
use crate::seals::Seals;
use crate::sessions::{Asked, Book, Bounds, Final, Life, Request};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use pulleystair::{Figure, Outcome};
use pulleystair_admission::homes::home;
use pulleystair_admission::lag::Lag;
use pulleystair_admission::limit::Limit;
use pulleystair_admission::queue::Queue;
use pulleystair_admission::reads::{Budget, Fault};
use pulleystair_admission::wall::Wall;
use pulleystair_dash::address::{self, Address, Which};
use pulleystair_desk::{Desk, Wish};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, error, info, warn};

/// A line of a server's notes at most, bytes.
const NOTE_LINE: usize = 4096;
/// File descriptors beside those of players and plays: to servers, for the log, the list and the loop.
const SPARE_FILES: u64 = 256;
/// After a connection could not be taken, none is for so long, ms.
const ACCEPT_AGAIN: f64 = 100.0;
/// Answers that nobody waits for are read to their end up to this size; larger ones cost their connection.
const DRAIN: u64 = 64 << 10;

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
        sealed: rundown.tls.servers.is_some(),
    }
}

/// Reads the list that a rundown names.
pub fn read_list(rundown: &Rundown) -> Result<List, pulleystair_templates::Fault> {
    List::read(&rundown.list, &known(rundown))
}

fn since_1970() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// The signals to stop and to look at all files anew, held back for the loop to read. To be called before any thread starts: a thread that does
/// not hold them back would end the process.
pub fn stop_signals() -> anyhow::Result<Signals> {
    Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?)
}

/// Starts a front and runs it until it is told to stop.
pub fn run(rundown: Rundown, stop: Signals) -> anyhow::Result<()> {
    let mut event_loop: EventLoop<'static, Edge> = EventLoop::try_new()?;
    let handle = event_loop.handle();
    let listener = TcpListener::bind(rundown.listen)
        .map_err(|e| anyhow::anyhow!("listen: {} can't be had: {e}", rundown.listen))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    // A descriptor for each player's connection and each play, and some to servers.
    let wanted = (rundown.limits.connections + rundown.limits.plays) as u64;
    let may_open = rlimit::increase_nofile_limit(u64::MAX)?;
    if may_open < wanted + SPARE_FILES {
        warn!(target: "front", may_open, wanted, "too few file descriptors for the limits of this front");
    }
    let mut edge = Edge::new(rundown, handle.clone())?;
    let door =
        handle.insert_source(Generic::new(listener, Interest::READ, Mode::Level), |_, listener, edge| {
            edge.accept(listener);
            Ok(PostAction::Continue)
        })?;
    edge.floor.door = Some(door);
    handle.insert_source(stop, |event, (), edge| match event.signal() {
        Signal::SIGHUP => edge.look_at_all(),
        _ => edge.stop(),
    })?;
    info!(target: "front", %address, servers = edge.floor.servers.len(), "listens");
    while !edge.floor.done() {
        let wait = edge.floor.next_clock();
        event_loop.dispatch(wait, &mut edge)?;
        edge.ring();
        let now = edge.floor.now();
        edge.floor.lag.round_ends(now);
        edge.floor.wall.look(now, since_1970().as_secs_f64() * 1000.0);
    }
    info!(target: "front", left = edge.floor.book.held().len(), "stopped");
    Ok(())
}

impl Edge {
    fn new(rundown: Rundown, handle: LoopHandle<'static, Edge>) -> anyhow::Result<Edge> {
        let since = since_1970();
        let seed = rundown.seed.unwrap_or(since.as_nanos() as u64);
        let limits = &rundown.limits;
        let bounds = Bounds {
            deciding: limits.deciding,
            plays: limits.plays,
            sessions: limits.sessions,
            waiters: limits.waiters,
            remember: limits.remember_ms,
        };
        let (entry_keys, pass_keys, revoked) =
            rundown.rings().map_err(|(path, cause)| anyhow::anyhow!("{path}: {cause}"))?;
        let mut keys = rundown.keys.clone().map(Watched::new);
        keys.iter_mut().for_each(|keys| {
            keys.replaced();
        });
        let mut watched = Watched::new(rundown.list.clone());
        watched.replaced();
        let seals = Seals::read(&rundown.tls, since.as_secs())?;
        let floor = Floor {
            entry_keys,
            pass_keys,
            keys,
            seals,
            revoked: revoked.into_iter().collect(),
            lines: Lines::new(handle.clone()),
            queue: Queue::new(rundown.admission.queue()),
            limit: Limit::new(rundown.admission.limit()),
            out: 0,
            lag: Lag::default(),
            wall: Wall::new(since.as_secs_f64() * 1000.0),
            homes: Vec::new(),
            homes_file: rundown.homes.clone().map(Watched::new),
            handle,
            door: None,
            book: Book::new(bounds),
            watched,
            titles: HashMap::new(),
            shows: Vec::new(),
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
        edge.look_at_homes();
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.list_poll_ms, Clock::List);
        edge.floor.clock(edge.floor.now() + edge.floor.rundown.limits.keys_poll_ms, Clock::Keys);
        Ok(edge)
    }

    // ---- the list ----

    fn look_at_list(&mut self) {
        let floor = &mut self.floor;
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
                    budget: Budget::default(),
                });
            } else if servers[number as usize].address != server.address {
                servers[number as usize].address = server.address;
                stale.append(&mut servers[number as usize].idle);
            }
            number
        });
        stale.into_iter().for_each(|key| floor.drop_errands_line(key));
        floor.shows.iter_mut().for_each(|(_, listed)| *listed = false);
        for title in &list.titles {
            let product = floor.rundown.products.iter().position(|p| p.name == title.product);
            let next = floor.shows.len();
            let number = *floor.titles.entry((product.unwrap_or(0), title.name.clone())).or_insert(next);
            let show = (Rc::new(title.clone()), true);
            match floor.shows.get_mut(number) {
                Some(known) => *known = show,
                None => floor.shows.push(show),
            }
        }
        let draining = list.servers.iter().filter(|s| s.state == crate::listing::State::Draining).count();
        info!(target: "list", servers = list.servers.len(), draining, titles = list.titles.len(), "list taken");
        self.desk.list(now, true, false, &lines);
    }

    // ---- keys and certificates ----

    /// Puts replaced certificates in service. Connections of players live on; idle ones to servers are closed, for
    /// they were made with servers that another set vouched for.
    fn look_at_seals(&mut self) {
        let floor = &mut self.floor;
        let near = (floor.rundown.limits.expiry_ms / 1000.0) as u64;
        if floor.seals.look((floor.time_of_day() / 1000.0) as u64, near) {
            let idle: Vec<Key> = floor.servers.iter_mut().flat_map(|s| std::mem::take(&mut s.idle)).collect();
            idle.into_iter().for_each(|key| floor.drop_errands_line(key));
        }
    }

    /// Takes up where the fronts are to be had. Until that is known this front takes what comes.
    fn look_at_homes(&mut self) {
        let floor = &mut self.floor;
        let Some(watched) = floor.homes_file.as_mut() else { return };
        if watched.replaced() {
            match homes(watched.file(), floor.rundown.fronts) {
                Ok(homes) => {
                    info!(target: "list", ?homes, "homes taken");
                    floor.homes = homes;
                }
                Err(e) => error!(target: "list", "homes not taken, those in hand stay: {e}"),
            }
        }
    }

    /// Told to look at all files now.
    fn look_at_all(&mut self) {
        info!(target: "front", "looks at list, keys and certificates anew");
        self.floor.watched.again();
        self.floor.keys.iter_mut().for_each(Watched::again);
        self.floor.seals.again();
        self.floor.homes_file.iter_mut().for_each(Watched::again);
        self.look_at_homes();
        self.look_at_list();
        self.look_at_keys();
        self.look_at_seals();
    }

    /// Puts replaced keys in service: checked whole first, so that of a bad set nothing is taken.
    fn look_at_keys(&mut self) {
        let floor = &mut self.floor;
        let now = floor.time_of_day();
        let overlap = (floor.rundown.limits.key_overlap_ms / 1000.0).ceil() as u64;
        let Some(watched) = floor.keys.as_mut() else { return };
        if !watched.replaced() {
            return;
        }
        let now = (now / 1000.0) as u64;
        let taken = Keys::read(watched.file()).map_err(|e| e.to_string()).and_then(|(keys, entry, pass)| {
            let (entries, passes) = (&mut floor.entry_keys, &mut floor.pass_keys);
            // Both are asked before either is changed.
            entries
                .may_replace(&entry, now)
                .and(passes.may_replace(&pass, now))
                .map_err(|e| e.to_string())?;
            entries.replace(&entry, now, overlap).map_err(|e| e.to_string())?;
            passes.replace(&pass, now, overlap).map_err(|e| e.to_string())?;
            Ok(keys.revoked)
        });
        let revoked = match taken {
            Ok(revoked) => revoked,
            Err(e) => return error!(target: "keys", "keys not taken, those in service stay: {e}"),
        };
        let (entry, pass) = (&floor.entry_keys, &floor.pass_keys);
        info!(target: "keys", ?entry, ?pass, revoked = revoked.len(), "keys taken");
        floor.revoked = revoked.into_iter().collect();
        let ended: Vec<u64> = floor.revoked.iter().filter_map(|id| floor.book.by_id(id)).collect();
        for play in ended {
            self.revoke(play);
            self.settle();
        }
    }

    /// Gives up a play that is not decided: it waits for its turn, or is in the desk's hands.
    fn give_up_on(&mut self, play: u64, cause: &'static str, answer: Final) {
        self.floor.over(play, cause, answer);
        if !self.floor.queue.left(play) {
            self.desk.left(play, &mut self.floor);
        }
    }

    /// Ends a session that may no longer be.
    fn revoke(&mut self, play: u64) {
        match self.floor.book.get(play).map(|s| s.life()) {
            Some(Life::Asked | Life::Out) => {
                self.give_up_on(play, "revoked", words(403, "this session was revoked"));
            }
            Some(Life::Playing) => self.finish(play, "revoked"),
            _ => {}
        }
    }

    // ---- players ----

    fn accept(&mut self, listener: &TcpListener) {
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => {
                    // Most likely out of descriptors: asked again at once, it would fail again at once.
                    warn!(target: "front", "connection not taken: {e}");
                    self.floor.take_connections(false);
                    self.floor.clock(self.floor.now() + ACCEPT_AGAIN, Clock::Accept);
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
            let seal = floor.seals.players.as_ref().map(|s| rustls::ServerConnection::new(s.terms.clone()));
            let Ok(seal) = seal.transpose() else { continue };
            let sealed = seal.is_some();
            let seal = seal.map(rustls::Connection::from);
            let Ok(key) = floor.lines.open(stream, seal, Role::Player(Doing::Reading)) else { continue };
            floor.players += 1;
            if floor.players > floor.rundown.limits.connections {
                let answer = floor.away("this front has all the connections it takes");
                floor.leave(key, &answer);
            } else {
                // A handshake is to come whole in the time that a request has.
                let limits = &floor.rundown.limits;
                let wait = if sealed { limits.header_ms } else { limits.idle_ms };
                floor.set_due(key, floor.now() + wait);
            }
        }
    }

    pub(crate) fn line_ready(&mut self, key: Key) {
        let now = self.floor.now();
        self.floor.lag.works(now);
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
                if line.has_shaken_hands() || line.due.is_infinite() {
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
                    line.bare = request.method == "HEAD";
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
            ("OPTIONS", _) => words(204, ""),
            ("GET" | "HEAD", Some(Address::Time)) => {
                words(200, &pulleystair_dash::mpd::date(self.floor.now() as u64))
            }
            ("GET" | "HEAD", Some(Address::Again { pass })) => match self.floor.playing(key, pass) {
                Ok(play) => self.floor.asked_again(play),
                Err(answer) => answer,
            },
            ("HEAD", Some(Address::Manifest { .. })) => {
                words(405, "HEAD would take no play: GET the manifest, or HEAD one that plays")
            }
            ("GET", Some(Address::Manifest { product, title, entry })) => {
                let token = request.bearer.as_deref().or(entry).unwrap_or("");
                match self.manifest(key, product, title, token) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("GET" | "HEAD", Some(Address::Segment { pass, rung, which })) => {
                match self.segment(key, pass, rung, which, request) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("DELETE", Some(Address::Session { pass })) => match self.floor.playing(key, pass) {
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
        let from = floor.lines.get(key).and_then(|line| line.from());
        let by_slow_clocks = ((floor.time_of_day() - floor.rundown.limits.skew_ms) / 1000.0).max(0.0) as u64;
        let entry = match floor.entry_keys.entry(token, by_slow_clocks, product, title) {
            Ok(entry) if floor.revoked.contains(&entry.jti) => {
                return Some(words(403, "this session was revoked"));
            }
            Ok(entry) => entry,
            Err(fault) => return Some(words(fault.status(), &fault.to_string())),
        };
        let rundown = &floor.rundown;
        let number = rundown.products.iter().position(|p| p.name == product);
        let there = number.and_then(|n| Some((n, *floor.titles.get(&(n, title.to_string()))?)));
        let Some((product, title)) = there else { return Some(words(404, "no such title of that product")) };
        let (show, listed) = floor.shows[title].clone();
        if !listed && floor.book.by_id(&entry.jti).is_none() {
            return Some(words(404, "that title is listed no more"));
        }
        let limit = now + rundown.products[product].time_limit_ms;
        let known = floor.book.by_id(&entry.jti).is_some();
        let once = rundown.products[product].effect != Effect::ReadLike;
        if once && !known && floor.homes.len() == rundown.fronts {
            let home = home(&entry.jti, rundown.fronts);
            if home != rundown.rank {
                let at = format!(
                    "//{}{}",
                    floor.homes[home],
                    address::manifest(&entry.product, &entry.title, token)
                );
                let answer = words(307, "this session is at home at another front");
                return Some(Final { location: Some(at.into()), ..answer });
            }
        }
        let request = Request {
            id: &entry.jti,
            viewer: &entry.sub,
            from,
            product,
            title,
            show: &show,
            top: entry.top,
            limit,
        };
        if floor.stopping && !known {
            return Some(floor.away("this front is stopping"));
        }
        let behind = floor.lag.behind(now, floor.rundown.admission.behind_ms);
        if behind && !known {
            return Some(floor.away("this front is behind with its work"));
        }
        match floor.book.ask(now, &request, key) {
            Asked::Foreign => Some(words(403, "this session is another viewer's or title's")),
            Asked::Full(limit) => Some(floor.away(&format!("this front is at its limit of {limit}"))),
            Asked::Answered(answer) if answer.status != 200 => Some(answer),
            // The same play, with a pass whose time begins anew.
            Asked::Answered(answer) => {
                let play = floor.book.by_id(&entry.jti);
                Some(play.and_then(|play| floor.manifest_of(play)).unwrap_or(answer))
            }
            Asked::Joined => {
                floor.wait_for(key, floor.book.by_id(&entry.jti).unwrap_or(0));
                None
            }
            Asked::New(play) => {
                floor.wait_for(key, play);
                self.admit_or_wait(now, play);
                None
            }
        }
    }

    /// A play is taken in hand, or waits where as many set-ups are out as may be.
    fn admit_or_wait(&mut self, now: f64, play: u64) {
        let floor = &mut self.floor;
        if floor.queue.is_empty() && floor.out < floor.limit.now() {
            return self.admit(play);
        }
        let limit = floor.book.get(play).map_or(now, |s| s.limit);
        let until = limit - floor.rundown.admission.reserve_ms;
        if let Some(gives_way) = floor.queue.wait(now, play, until) {
            floor.crowded_out(gives_way);
        }
        if let Some(due) = floor.queue.due() {
            floor.clock(due, Clock::Queue);
        }
    }

    fn admit(&mut self, play: u64) {
        let now = self.floor.now();
        let Some(session) = self.floor.book.get(play) else { return };
        let wish = Wish {
            product: session.product,
            title: session.title as u64,
            first_cell: session.show.first_cell,
            holders: session.show.holders,
            top: session.top.min(self.floor.rundown.ladder.len() - 1),
            came: session.came,
            limit: session.limit,
        };
        self.desk.take(now, play, &wish, &mut self.floor);
        self.floor.limit.decided(self.floor.now() - now);
    }

    /// Tells those for whom it is too late, and takes up whoever may be.
    fn admit_waiting(&mut self) {
        let now = self.floor.now();
        for late in self.floor.queue.late(now) {
            self.floor.crowded_out(late);
        }
        while self.floor.out < self.floor.limit.now() {
            let Some(play) = self.floor.queue.next(now) else { return };
            self.admit(play);
        }
    }

    /// A request for a segment: its answer, or none while it is fetched.
    fn segment(
        &mut self,
        key: Key,
        pass: &str,
        rung: usize,
        which: Which,
        request: &http::Request,
    ) -> Option<Final> {
        let floor = &mut self.floor;
        let now = floor.now();
        let play = match floor.playing(key, pass) {
            Ok(play) => play,
            Err(answer) => return Some(answer),
        };
        let session = floor.book.get_mut(play)?;
        let shape = &session.show.shape;
        let number = match which {
            Which::Initialisation => Some(0),
            Which::Number(number) => Some(number),
            Which::Time { first, time } => shape.at_time(first, time),
        };
        let number = number.filter(|_| rung < floor.rundown.ladder.len());
        let Some(number) = number else { return Some(words(404, "no such segment")) };
        match shape.available(floor.wall.at(now) as u64) {
            _ if number == 0 => {}
            Some((first, _)) if number < first => return Some(words(404, "that segment is kept no more")),
            Some((_, last)) if number <= last => {}
            _ if shape.live.is_some() => return Some(words(404, "that segment is not there yet")),
            _ => return Some(words(404, "no such segment")),
        }
        session.last_asked = now;
        if session.fetching >= floor.rundown.limits.fetches {
            return Some(Final { retry_after: Some(1), ..words(429, "too many reads of this play at once") });
        }
        session.fetching += 1;
        let (rung, server) = (rung.min(session.rung), session.server.unwrap_or(0));
        let n = session.allocations();
        let target = format!("{}/{rung}/{number}", floor.allocation(play, n));
        if let Some(line) = floor.lines.get(key) {
            line.role = Role::Player(Doing::Fetching(play));
        }
        let reads = &floor.rundown.reads;
        let mut reading = Reading::new(target, request.range, now + reads.patience_ms);
        (reading.bare, reading.unless) = (request.method == "HEAD", request.unless.clone());
        let terms = reads.terms();
        floor.servers[server as usize].budget.first(now, &terms);
        let what = What::Segment { player: key, play, number };
        let request = floor.request_to(server, reading.method(), &reading.target, "");
        let errand = Errand { what, request, reading: Some(reading), left: None, last: false };
        floor.run_errand(server, errand);
        None
    }

    /// The play has ended well: the viewer left, or is silent.
    fn finish(&mut self, play: u64, cause: &'static str) {
        let floor = &mut self.floor;
        let now = floor.now();
        let Some(session) = floor.book.get_mut(play) else { return };
        let (Some(server), line, n) = (session.server, session.line.take(), session.allocations()) else {
            return;
        };
        if let Some(line) = line {
            floor.lines.close(line);
        }
        let target = floor.allocation(play, n);
        let request = floor.request_to(server, "DELETE", &target, "");
        floor
            .run_errand(server, Errand { what: What::Word, request, reading: None, left: None, last: false });
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
        // Reading may have been the end of a handshake, the good or the bad one.
        let connected = line.connected();
        let ended = line.ended || connected == Some(false);
        let unsealed = line.unsealed.take();
        let Role::Allocation { play, server, stage } = &mut line.role else { return };
        let (play, server) = (*play, *server);
        if let Stage::Asked = stage {
            if let Some(e) = unsealed {
                warn!(target: "server", server = self.floor.name(server), "set-up's connection: TLS: {e}");
            }
            if connected == Some(false) {
                return self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            let Some(line) = self.floor.lines.get(key) else { return };
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
        let asked = floor.book.get(play).map_or(now, |s| s.sent);
        floor.limit.set_up(now - asked, floor.out);
        floor.out = floor.out.saturating_sub(1);
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
            if let Some(line) = session.line.take() {
                self.floor.lines.close(line);
            }
            closed = self.floor.book.get(play).is_some_and(|s| s.life() == Life::Playing);
            if closed {
                let lost = outcome != Outcome::Finished;
                let cause = if lost { "server lost" } else { "server ended it" };
                self.floor.over(play, cause, words(410, cause));
            } else {
                debug!(target: "play", play, server = self.floor.name(server), ?outcome, "allocation ended");
            }
        }
        if self.floor.book.back(play) {
            let floor = &mut self.floor;
            // What is refused as too much, or not done in time, says that servers are behind.
            if matches!(outcome, Outcome::Full | Outcome::TimedOut) {
                floor.limit.lost(floor.out);
            }
            floor.out = floor.out.saturating_sub(1);
            floor.session_clock(play);
        }
        self.desk.ended(now, play, server, outcome, closed, load, &mut self.floor);
        self.floor.limit.decided(self.floor.now() - now);
    }

    /// Tells the desk what was found while it was busy.
    fn settle(&mut self) {
        loop {
            if let Some(News { play, server, outcome }) = self.floor.news.pop_front() {
                self.allocation_ended(play, server, outcome, &[]);
            } else if let Some(player) = self.floor.woken.pop() {
                self.player(player);
            } else if !self.floor.queue.is_empty() && self.floor.out < self.floor.limit.now() {
                self.admit_waiting();
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
                let (answer, used) = match http::answer(&line.input) {
                    Ok(None) if ended => return floor.errand_failed(key, Fault::Broken),
                    Ok(None) => return,
                    Err(e) => {
                        warn!(target: "server", server = floor.name(server), "answer not read: {e}");
                        return floor.errand_failed(key, Fault::Malformed);
                    }
                    Ok(Some(it)) => it,
                };
                line.input.drain(..used);
                let Body::Length(length) = answer.body else {
                    return floor.errand_failed(key, Fault::Malformed);
                };
                let follows = it.reading.as_ref().map_or(length, |reading| reading.follows(length));
                (it.left, it.last) = (Some(follows), !answer.keep_alive);
                let (what, head) = (it.what, it.reading.as_mut().map(|reading| reading.head(&answer)));
                floor.set_due(key, now + floor.rundown.limits.segment_ms);
                let load = figures(answer.load.as_deref());
                match (what, head) {
                    (What::Segment { player, play, .. }, Some(Ok(Some(head)))) => {
                        floor.segment_head(player, play, &head);
                    }
                    (_, Some(Err(fault))) => floor.errand_failed(key, fault),
                    _ => {}
                }
                self.desk.report(now, server, &load, &mut self.floor);
                continue;
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
                    floor.gave(key, n as u64);
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
                return floor.errand_failed(key, Fault::Truncated);
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
            // More than its length: that answer was right as far as it went, but the connection is not to be kept.
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
                session.complete |= session.show.shape.segments() == Some(number);
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
            let Some(Reverse((due, clock))) = self.floor.clocks.pop() else { return };
            self.floor.lag.rang(now, due as f64 / 1000.0);
            match clock {
                Clock::Desk(mark) => self.desk.rings(now, mark, &mut self.floor),
                Clock::TimeOut(play, n) => self.time_out(now, play, n),
                Clock::Line(key) => self.line_due(now, key),
                Clock::Queue => self.admit_waiting(),
                Clock::Session(play) => self.session_due(now, play),
                Clock::List => {
                    self.floor.clock(now + self.floor.rundown.limits.list_poll_ms, Clock::List);
                    self.look_at_list();
                }
                Clock::Keys => {
                    self.floor.clock(now + self.floor.rundown.limits.keys_poll_ms, Clock::Keys);
                    self.look_at_keys();
                    self.look_at_seals();
                    self.look_at_homes();
                }
                Clock::Accept => self.floor.take_connections(true),
                Clock::Stop => self.give_up(),
            }
            self.settle();
        }
    }

    fn time_out(&mut self, now: f64, play: u64, n: usize) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        if session.allocations() != n || session.life() != Life::Out {
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
            Role::Errands { .. } if connected => floor.errand_failed(key, Fault::Stalled),
            Role::Errands { .. } => floor.errand_failed(key, Fault::Unreachable),
        }
    }

    fn session_due(&mut self, now: f64, play: u64) {
        let floor = &mut self.floor;
        let Some(session) = floor.book.get(play) else { return };
        let idle = floor.idle_of(play);
        if floor.book.due(play, idle, floor.rundown.limits.come_back_ms).is_none_or(|due| due > now) {
            return floor.session_clock(play);
        }
        match session.life() {
            Life::Ending | Life::Over => floor.book.forget(play),
            Life::Asked | Life::Out => {
                let answer = words(410, "the viewer left before the play was set up");
                self.give_up_on(play, "viewer gone", answer);
            }
            Life::Playing if session.fetching > 0 => {
                if let Some(session) = floor.book.get_mut(play) {
                    session.last_asked = now;
                }
                floor.session_clock(play);
            }
            Life::Playing => {
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
            let deciding = self.floor.book.get(play).is_some_and(|s| s.life().deciding());
            if deciding {
                self.give_up_on(play, "front stopped", words(504, "this front has stopped"));
            } else {
                self.finish(play, "front stopped");
            }
            self.settle();
        }
    }
}
