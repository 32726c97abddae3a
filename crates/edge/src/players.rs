//! What players ask for: manifests, segments and the end of a play, from the first byte to the desk and back.

use crate::config::Effect;
use crate::connections::{ConnectionId, PlayerState, RequestKind, ResponseOptions, Role, ServerRequest};
use crate::edge::Edge;
use crate::http;
use crate::segment_read::SegmentRead;
use crate::sessions::{Answer, Asked, Life, Request};
use crate::state::{Timer, text_answer};
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
                    self.state.set_accepting(false);
                    self.state.schedule(self.state.now() + ACCEPT_AGAIN, Timer::AcceptRetry);
                    return;
                }
            };
            let floor = &mut self.state;
            let limits = &floor.config.limits;
            if floor.player_count >= 2 * limits.connections {
                continue;
            }
            if limits.send_buffer_bytes > 0 {
                let _ = socket2::SockRef::from(&stream).set_send_buffer_size(limits.send_buffer_bytes);
            }
            let seals = floor.tls.players.as_ref().filter(|_| !operator);
            let seal = seals.map(|s| rustls::ServerConnection::new(s.config.clone()));
            let Ok(seal) = seal.transpose() else { continue };
            let sealed = seal.is_some();
            let seal = seal.map(rustls::Connection::from);
            let Ok(key) = floor.connections.open(stream, seal, Role::Player(PlayerState::ReadingRequest))
            else {
                continue;
            };
            floor.player_count += 1;
            floor.connections.get_mut(key).into_iter().for_each(|line| line.options.is_operator = operator);
            if floor.player_count > floor.config.limits.connections {
                let answer = floor.away("this front has all the connections it takes");
                floor.leave(key, &answer);
            } else {
                // A handshake is to come whole in the time that a request has.
                let limits = &floor.config.limits;
                let wait = if sealed { limits.header_ms } else { limits.idle_ms };
                floor.set_connection_deadline(key, floor.now() + wait);
            }
        }
    }

    /// Something happened on a player's connection.
    pub(crate) fn player(&mut self, key: ConnectionId) {
        loop {
            let floor = &mut self.state;
            let now = floor.now();
            let limits = &floor.config.limits;
            let (most, header, idle) = (limits.header_bytes, limits.header_ms, limits.idle_ms);
            let Some(line) = floor.connections.get_mut(key) else { return };
            let Role::Player(doing) = line.role else { return };
            line.flush();
            if doing == PlayerState::Closing {
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
                PlayerState::FetchingSegment(_) => {
                    let (pending, most) = (line.pending(), floor.config.limits.relay_bytes);
                    if pending < most / 2 {
                        self.relay_on(key);
                    }
                    return;
                }
                PlayerState::ReadingRequest if line.pending() == 0 => {}
                _ => return,
            }
            if line.input.is_empty() {
                if line.take_handshake_done() || line.deadline.is_infinite() {
                    floor.set_connection_deadline(key, now + idle);
                }
                return;
            }
            if came && before == 0 {
                floor.set_connection_deadline(key, now + header);
            }
            let Some(line) = floor.connections.get_mut(key) else { return };
            match http::parse_request(&line.input, most) {
                Ok(None) => return,
                Err(refusal) => {
                    floor.leave(key, &text_answer(refusal.status, refusal.why));
                    return;
                }
                Ok(Some((request, used))) => {
                    line.input.drain(..used);
                    let operator = line.options.is_operator;
                    line.options = ResponseOptions {
                        close: !request.keep_alive,
                        head_only: request.method == "HEAD",
                        is_operator: operator,
                    };
                    line.deadline = f64::INFINITY;
                    self.request(key, &request);
                }
            }
        }
    }

    /// Answers one request, or begins to.
    pub(crate) fn request(&mut self, key: ConnectionId, request: &http::Request) {
        if self.state.connections.get_mut(key).is_some_and(|line| line.options.is_operator) {
            let told = if request.target == "/fleet" { self.fleet_status() } else { None };
            let answer = told.map_or_else(
                || text_answer(404, "GET /fleet tells what this front knows of the fleet"),
                |told| text_answer(200, &told.to_string()),
            );
            return self.state.answer(key, &answer);
        }
        let answer = match (request.method.as_str(), address::parse(&request.target)) {
            (_, None) => text_answer(404, "nothing is served here"),
            ("OPTIONS", _) => text_answer(204, ""),
            ("GET" | "HEAD", Some(Route::Time)) => {
                text_answer(200, &pulleystair_dash::mpd::date(self.state.wall_clock_now() as u64))
            }
            ("GET" | "HEAD", Some(Route::Again { pass })) => match self.state.playing(key, pass) {
                Ok(play) => self.state.asked_again(play),
                Err(answer) => answer,
            },
            ("HEAD", Some(Route::Manifest { .. })) => {
                text_answer(405, "HEAD would take no play: GET the manifest, or HEAD one that plays")
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
            ("DELETE", Some(Route::Session { pass })) => match self.state.playing(key, pass) {
                Ok(play) => {
                    self.finish(play, "viewer left");
                    text_answer(200, "ended")
                }
                Err(answer) => answer,
            },
            _ => text_answer(405, "GET a manifest or a segment, or DELETE a session"),
        };
        self.state.answer(key, &answer);
    }

    /// A request for a play: its answer, or none while it is being decided.
    pub(crate) fn manifest(
        &mut self,
        key: ConnectionId,
        product: &str,
        title: &str,
        token: &str,
    ) -> Option<Answer> {
        let floor = &mut self.state;
        let now = floor.now();
        let from = floor.connections.get_mut(key).and_then(|line| line.peer_ip());
        let by_slow_clocks =
            ((floor.wall_clock_now() - floor.config.limits.skew_ms) / 1000.0).max(0.0) as u64;
        let entry = match floor.entry_keys.verify_entry(token, by_slow_clocks, product, title) {
            Ok(entry) if floor.revoked.contains(&entry.jti) => {
                return Some(text_answer(403, "this session was revoked"));
            }
            Ok(entry) => entry,
            Err(fault) => return Some(text_answer(fault.status(), &fault.to_string())),
        };
        let rundown = &floor.config;
        let number = rundown.products.iter().position(|p| p.name == product);
        let there = number.and_then(|n| {
            let title = *floor.title_numbers.get(&(n, title.to_string()))?;
            Some((n, title, floor.titles_by_number.get(&title)?.clone()))
        });
        let Some((product, title, (show, listed))) = there else {
            return Some(text_answer(404, "no such title of that product"));
        };
        let known = floor.sessions.by_id(&entry.jti).is_some();
        if !listed && !known {
            return Some(text_answer(404, "that title is listed no more"));
        }
        let limit = now + rundown.products[product].time_limit_ms;
        let once = rundown.products[product].effect != Effect::ReadLike;
        if once && !known && floor.home_addresses.len() == rundown.fronts {
            let home = home_front(&entry.jti, rundown.fronts);
            if home != rundown.rank {
                let at = format!(
                    "//{}{}",
                    floor.home_addresses[home],
                    address::manifest_path(&entry.product, &entry.title, token)
                );
                let answer = text_answer(307, "this session is at home at another front");
                return Some(Answer { location: Some(at.into()), ..answer });
            }
        }
        let request = Request {
            id: &entry.jti,
            viewer: &entry.sub,
            from,
            product,
            title_number: title,
            title: &show,
            top: entry.top,
            limit,
        };
        if floor.is_stopping && !known {
            floor.stats.away += 1;
            return Some(floor.away("this front is stopping"));
        }
        let behind = floor.loop_lag.exceeds(now, floor.config.admission.behind_ms);
        if behind && !known {
            floor.stats.away += 1;
            return Some(floor.away("this front is behind with its work"));
        }
        match floor.sessions.ask(now, &request, key) {
            Asked::Foreign => Some(text_answer(403, "this session is another viewer's or title's")),
            Asked::Full(limit) => {
                floor.stats.away += 1;
                Some(floor.away(&format!("this front is at its limit of {limit}")))
            }
            Asked::Answered(answer) if answer.status != 200 => Some(answer),
            // The same play, with a pass whose time begins anew.
            Asked::Answered(answer) => {
                let play = floor.sessions.by_id(&entry.jti);
                Some(play.and_then(|play| floor.manifest_of(play)).unwrap_or(answer))
            }
            Asked::Joined => {
                floor.wait_for(key, floor.sessions.by_id(&entry.jti).unwrap_or(0));
                None
            }
            Asked::New(play) => {
                floor.stats.taken += 1;
                floor.wait_for(key, play);
                self.admit_or_wait(now, play);
                None
            }
        }
    }

    /// A play is taken in hand, or waits where as many set-ups are out as may be.
    pub(crate) fn admit_or_wait(&mut self, now: f64, play: u64) {
        let floor = &mut self.state;
        if floor.queue.is_empty() && floor.pending_set_ups < floor.set_up_limit.current() {
            return self.admit(play);
        }
        let limit = floor.sessions.get(play).map_or(now, |s| s.limit);
        let until = limit - floor.config.admission.reserve_ms;
        if let Some(gives_way) = floor.queue.push(now, play, until) {
            floor.crowded_out(gives_way);
        }
        if let Some(due) = floor.queue.next_deadline() {
            floor.schedule(due, Timer::AdmissionQueue);
        }
    }

    pub(crate) fn admit(&mut self, play: u64) {
        let now = self.state.now();
        let Some(session) = self.state.sessions.get(play) else { return };
        let wish = PlayRequest {
            product: session.product,
            title: session.title_number as u64,
            first_cell: session.title.first_cell,
            holders: session.title.holders,
            max_rung: session.top.min(self.state.config.ladder.len() - 1),
            arrived_at: session.came,
            deadline: session.limit,
        };
        self.dispatcher.add_play(now, play, &wish, &mut self.state);
        self.state.set_up_limit.on_decided(self.state.now() - now);
    }

    /// Tells those for whom it is too late, and takes up whoever may be.
    pub(crate) fn admit_waiting(&mut self) {
        let now = self.state.now();
        for late in self.state.queue.take_expired(now) {
            self.state.crowded_out(late);
        }
        while self.state.pending_set_ups < self.state.set_up_limit.current() {
            let Some(play) = self.state.queue.pop(now) else { return };
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
    ) -> Option<Answer> {
        let floor = &mut self.state;
        let now = floor.now();
        let play = match floor.playing(key, pass) {
            Ok(play) => play,
            Err(answer) => return Some(answer),
        };
        let session = floor.sessions.get_mut(play)?;
        let shape = &session.title.presentation;
        let number = match which {
            SegmentId::Initialisation => Some(0),
            SegmentId::Number(number) => Some(number),
            SegmentId::Time { first, time } => shape.at_time(first, time),
        };
        let number = number.filter(|_| rung < floor.config.ladder.len());
        let Some(number) = number else { return Some(text_answer(404, "no such segment")) };
        match shape.available(floor.wall_clock.time_at(now) as u64) {
            _ if number == 0 => {}
            Some((first, _)) if number < first => {
                return Some(text_answer(404, "that segment is kept no more"));
            }
            Some((_, last)) if number <= last => {}
            _ if shape.live.is_some() => return Some(text_answer(404, "that segment is not there yet")),
            _ => return Some(text_answer(404, "no such segment")),
        }
        session.last_asked = now;
        if session.fetching >= floor.config.limits.fetches {
            return Some(Answer {
                retry_after: Some(1),
                ..text_answer(429, "too many reads of this play at once")
            });
        }
        // Where the decisions sent it, or nowhere: no other server stands in.
        let Some(server) = session.server else {
            return Some(text_answer(410, "this session does not play here"));
        };
        session.fetching += 1;
        let rung = rung.min(session.rung);
        let n = session.allocation_count();
        let target = format!("{}/{rung}/{number}", floor.allocation(play, n));
        if let Some(line) = floor.connections.get_mut(key) {
            line.role = Role::Player(PlayerState::FetchingSegment(play));
        }
        let reads = &floor.config.reads;
        let mut reading = SegmentRead::new(target, request.range, now + reads.patience_ms);
        (reading.bare, reading.unless) = (request.method == "HEAD", request.unless.clone());
        let terms = reads.retry_config();
        floor.servers[server as usize].retry_budget.record_first(now, &terms);
        let what = RequestKind::Segment { player: key, play, number };
        let request = floor.request_to(server, reading.method(), &reading.target, "");
        let errand = ServerRequest { segment_read: Some(reading), ..ServerRequest::new(what, request) };
        floor.run_request(server, errand);
        None
    }

    /// The play has ended well: the viewer left, or is silent.
    pub(crate) fn finish(&mut self, play: u64, cause: &'static str) {
        let floor = &mut self.state;
        let now = floor.now();
        let Some(session) = floor.sessions.get_mut(play) else { return };
        let (Some(server), line, n) = (session.server, session.line.take(), session.allocation_count())
        else {
            return;
        };
        if let Some(line) = line {
            floor.connections.close(line);
        }
        let target = floor.allocation(play, n);
        let request = floor.request_to(server, "DELETE", &target, "");
        floor.run_request(server, ServerRequest::new(RequestKind::Word, request));
        floor.over(play, cause, text_answer(410, "this play has ended"));
        self.dispatcher.on_allocation_ended(now, play, server, Outcome::Finished, true, &[], &mut self.state);
    }

    /// Gives up a play that is not decided: it waits for its turn, or is in the desk's hands.
    pub(crate) fn give_up_on(&mut self, play: u64, cause: &'static str, answer: Answer) {
        self.state.over(play, cause, answer);
        if !self.state.queue.remove(play) {
            self.dispatcher.on_viewer_left(play, &mut self.state);
        }
    }

    /// Ends a session that may no longer be.
    pub(crate) fn revoke(&mut self, play: u64) {
        match self.state.sessions.get(play).map(|s| s.life()) {
            Some(Life::Asked | Life::Out) => {
                self.give_up_on(play, "revoked", text_answer(403, "this session was revoked"));
            }
            Some(Life::Playing) => self.finish(play, "revoked"),
            _ => {}
        }
    }
}
