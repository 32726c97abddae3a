//! What players ask for: manifests, segments and the end of a play, from the first byte to the desk and back.

use crate::config::Effect;
use crate::connections::{ConnectionId, Doing, Errand, Manner, Role, What};
use crate::edge::Edge;
use crate::floor::{Clock, words};
use crate::http;
use crate::segment_read::Reading;
use crate::sessions::{Asked, Final, Life, Request};
use pulleystair::Outcome;
use pulleystair_admission::homes::home_front;
use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dispatcher::PlayRequest;
use std::io;
use std::net::TcpListener;
use tracing::warn;

/// After a connection could not be taken, none is for so long, ms.
const ACCEPT_AGAIN: f64 = 100.0;

impl Edge {
    pub(crate) fn accept(&mut self, listener: &TcpListener, operator: bool) {
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
            let seals = floor.seals.players.as_ref().filter(|_| !operator);
            let seal = seals.map(|s| rustls::ServerConnection::new(s.config.clone()));
            let Ok(seal) = seal.transpose() else { continue };
            let sealed = seal.is_some();
            let seal = seal.map(rustls::Connection::from);
            let Ok(key) = floor.lines.open(stream, seal, Role::Player(Doing::Reading)) else { continue };
            floor.players += 1;
            floor.lines.get_mut(key).into_iter().for_each(|line| line.options.operator = operator);
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

    /// Something happened on a player's connection.
    pub(crate) fn player(&mut self, key: ConnectionId) {
        loop {
            let floor = &mut self.floor;
            let now = floor.now();
            let limits = &floor.rundown.limits;
            let (most, header, idle) = (limits.header_bytes, limits.header_ms, limits.idle_ms);
            let Some(line) = floor.lines.get_mut(key) else { return };
            let Role::Player(doing) = line.role else { return };
            line.flush();
            if doing == Doing::Leaving {
                // What is still sent is read and thrown away, so that the answer is not lost by a reset.
                line.read(most);
                line.input.clear();
                if line.pending() == 0 {
                    line.shutdown_write();
                }
                if line.closed {
                    floor.player_gone(key);
                }
                return;
            }
            let before = line.input.len();
            let came = line.read(most);
            if line.closed {
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
                if line.take_handshake_done() || line.deadline.is_infinite() {
                    floor.set_due(key, now + idle);
                }
                return;
            }
            if came && before == 0 {
                floor.set_due(key, now + header);
            }
            let Some(line) = floor.lines.get_mut(key) else { return };
            match http::parse_request(&line.input, most) {
                Ok(None) => return,
                Err(refusal) => {
                    floor.leave(key, &words(refusal.status, refusal.why));
                    return;
                }
                Ok(Some((request, used))) => {
                    line.input.drain(..used);
                    let operator = line.options.operator;
                    line.options =
                        Manner { last: !request.keep_alive, bare: request.method == "HEAD", operator };
                    line.deadline = f64::INFINITY;
                    self.request(key, &request);
                }
            }
        }
    }

    /// Answers one request, or begins to.
    pub(crate) fn request(&mut self, key: ConnectionId, request: &http::Request) {
        if self.floor.lines.get_mut(key).is_some_and(|line| line.options.operator) {
            let told = if request.target == "/fleet" { self.fleet_told() } else { None };
            let answer = told.map_or_else(
                || words(404, "GET /fleet tells what this front knows of the fleet"),
                |told| words(200, &told.to_string()),
            );
            return self.floor.answer(key, &answer);
        }
        let answer = match (request.method.as_str(), address::parse(&request.target)) {
            (_, None) => words(404, "nothing is served here"),
            ("OPTIONS", _) => words(204, ""),
            ("GET" | "HEAD", Some(Route::Time)) => {
                words(200, &pulleystair_dash::mpd::date(self.floor.time_of_day() as u64))
            }
            ("GET" | "HEAD", Some(Route::Again { pass })) => match self.floor.playing(key, pass) {
                Ok(play) => self.floor.asked_again(play),
                Err(answer) => answer,
            },
            ("HEAD", Some(Route::Manifest { .. })) => {
                words(405, "HEAD would take no play: GET the manifest, or HEAD one that plays")
            }
            ("GET", Some(Route::Manifest { product, title, entry })) => {
                let token = request.bearer.as_deref().or(entry).unwrap_or("");
                match self.manifest(key, product, title, token) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("GET" | "HEAD", Some(Route::Segment { pass, rung, which })) => {
                match self.segment(key, pass, rung, which, request) {
                    Some(answer) => answer,
                    None => return,
                }
            }
            ("DELETE", Some(Route::Session { pass })) => match self.floor.playing(key, pass) {
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
    pub(crate) fn manifest(
        &mut self,
        key: ConnectionId,
        product: &str,
        title: &str,
        token: &str,
    ) -> Option<Final> {
        let floor = &mut self.floor;
        let now = floor.now();
        let from = floor.lines.get_mut(key).and_then(|line| line.peer_ip());
        let by_slow_clocks = ((floor.time_of_day() - floor.rundown.limits.skew_ms) / 1000.0).max(0.0) as u64;
        let entry = match floor.entry_keys.verify_entry(token, by_slow_clocks, product, title) {
            Ok(entry) if floor.revoked.contains(&entry.jti) => {
                return Some(words(403, "this session was revoked"));
            }
            Ok(entry) => entry,
            Err(fault) => return Some(words(fault.status(), &fault.to_string())),
        };
        let rundown = &floor.rundown;
        let number = rundown.products.iter().position(|p| p.name == product);
        let there = number.and_then(|n| {
            let title = *floor.titles.get(&(n, title.to_string()))?;
            Some((n, title, floor.shows.get(&title)?.clone()))
        });
        let Some((product, title, (show, listed))) = there else {
            return Some(words(404, "no such title of that product"));
        };
        let known = floor.book.by_id(&entry.jti).is_some();
        if !listed && !known {
            return Some(words(404, "that title is listed no more"));
        }
        let limit = now + rundown.products[product].time_limit_ms;
        let once = rundown.products[product].effect != Effect::ReadLike;
        if once && !known && floor.homes.len() == rundown.fronts {
            let home = home_front(&entry.jti, rundown.fronts);
            if home != rundown.rank {
                let at = format!(
                    "//{}{}",
                    floor.homes[home],
                    address::manifest_path(&entry.product, &entry.title, token)
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
            floor.tally.away += 1;
            return Some(floor.away("this front is stopping"));
        }
        let behind = floor.lag.exceeds(now, floor.rundown.admission.behind_ms);
        if behind && !known {
            floor.tally.away += 1;
            return Some(floor.away("this front is behind with its work"));
        }
        match floor.book.ask(now, &request, key) {
            Asked::Foreign => Some(words(403, "this session is another viewer's or title's")),
            Asked::Full(limit) => {
                floor.tally.away += 1;
                Some(floor.away(&format!("this front is at its limit of {limit}")))
            }
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
                floor.tally.taken += 1;
                floor.wait_for(key, play);
                self.admit_or_wait(now, play);
                None
            }
        }
    }

    /// A play is taken in hand, or waits where as many set-ups are out as may be.
    pub(crate) fn admit_or_wait(&mut self, now: f64, play: u64) {
        let floor = &mut self.floor;
        if floor.queue.is_empty() && floor.out < floor.limit.current() {
            return self.admit(play);
        }
        let limit = floor.book.get(play).map_or(now, |s| s.limit);
        let until = limit - floor.rundown.admission.reserve_ms;
        if let Some(gives_way) = floor.queue.push(now, play, until) {
            floor.crowded_out(gives_way);
        }
        if let Some(due) = floor.queue.next_deadline() {
            floor.clock(due, Clock::Queue);
        }
    }

    pub(crate) fn admit(&mut self, play: u64) {
        let now = self.floor.now();
        let Some(session) = self.floor.book.get(play) else { return };
        let wish = PlayRequest {
            product: session.product,
            title: session.title as u64,
            first_cell: session.show.first_cell,
            holders: session.show.holders,
            max_rung: session.top.min(self.floor.rundown.ladder.len() - 1),
            arrived_at: session.came,
            deadline: session.limit,
        };
        self.desk.add_play(now, play, &wish, &mut self.floor);
        self.floor.limit.on_decided(self.floor.now() - now);
    }

    /// Tells those for whom it is too late, and takes up whoever may be.
    pub(crate) fn admit_waiting(&mut self) {
        let now = self.floor.now();
        for late in self.floor.queue.take_expired(now) {
            self.floor.crowded_out(late);
        }
        while self.floor.out < self.floor.limit.current() {
            let Some(play) = self.floor.queue.pop(now) else { return };
            self.admit(play);
        }
    }

    /// A request for a segment: its answer, or none while it is fetched.
    pub(crate) fn segment(
        &mut self,
        key: ConnectionId,
        pass: &str,
        rung: usize,
        which: SegmentId,
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
            SegmentId::Initialisation => Some(0),
            SegmentId::Number(number) => Some(number),
            SegmentId::Time { first, time } => shape.at_time(first, time),
        };
        let number = number.filter(|_| rung < floor.rundown.ladder.len());
        let Some(number) = number else { return Some(words(404, "no such segment")) };
        match shape.available(floor.wall.time_at(now) as u64) {
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
        // Where the decisions sent it, or nowhere: no other server stands in.
        let Some(server) = session.server else { return Some(words(410, "this session does not play here")) };
        session.fetching += 1;
        let rung = rung.min(session.rung);
        let n = session.allocations();
        let target = format!("{}/{rung}/{number}", floor.allocation(play, n));
        if let Some(line) = floor.lines.get_mut(key) {
            line.role = Role::Player(Doing::Fetching(play));
        }
        let reads = &floor.rundown.reads;
        let mut reading = Reading::new(target, request.range, now + reads.patience_ms);
        (reading.bare, reading.unless) = (request.method == "HEAD", request.unless.clone());
        let terms = reads.retry_config();
        floor.servers[server as usize].budget.record_first(now, &terms);
        let what = What::Segment { player: key, play, number };
        let request = floor.request_to(server, reading.method(), &reading.target, "");
        let errand = Errand { reading: Some(reading), ..Errand::new(what, request) };
        floor.run_errand(server, errand);
        None
    }

    /// The play has ended well: the viewer left, or is silent.
    pub(crate) fn finish(&mut self, play: u64, cause: &'static str) {
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
        floor.run_errand(server, Errand::new(What::Word, request));
        floor.over(play, cause, words(410, "this play has ended"));
        self.desk.on_allocation_ended(now, play, server, Outcome::Finished, true, &[], &mut self.floor);
    }

    /// Gives up a play that is not decided: it waits for its turn, or is in the desk's hands.
    pub(crate) fn give_up_on(&mut self, play: u64, cause: &'static str, answer: Final) {
        self.floor.over(play, cause, answer);
        if !self.floor.queue.remove(play) {
            self.desk.on_viewer_left(play, &mut self.floor);
        }
    }

    /// Ends a session that may no longer be.
    pub(crate) fn revoke(&mut self, play: u64) {
        match self.floor.book.get(play).map(|s| s.life()) {
            Some(Life::Asked | Life::Out) => {
                self.give_up_on(play, "revoked", words(403, "this session was revoked"));
            }
            Some(Life::Playing) => self.finish(play, "revoked"),
            _ => {}
        }
    }
}
