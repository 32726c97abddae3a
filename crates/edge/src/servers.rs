//! What comes from media servers: set-ups' answers, the notes on plays that run, and the answers to errands.

use crate::actions::{parse_load_report, parse_note};
use crate::connections::{AllocationStage, ConnectionId, PlayerState, RequestKind, Role};
use crate::edge::Edge;
use crate::http::{self, Body};
use crate::sessions::Life;
use crate::state::text_answer;
use crate::stats::LOST;
use pulleystair::{LoadMetric, Outcome};
use pulleystair_admission::read_retries::ReadError;
use tracing::{debug, warn};

/// A line of a server's notes at most, bytes.
const NOTE_LINE: usize = 4096;

/// Answers that nobody waits for are read to their end up to this size; larger ones cost their connection.
const DRAIN: u64 = 64 << 10;

impl Edge {
    /// Something happened on an allocation's connection.
    pub(crate) fn allocation(&mut self, key: ConnectionId) {
        let now = self.state.now();
        let Some(line) = self.state.connections.get_mut(key) else { return };
        let connected = line.connected();
        if connected == Some(true) {
            line.flush();
        }
        line.read(http::ANSWER_HEAD.max(2 * NOTE_LINE));
        // Reading may have been the end of a handshake, the good or the bad one.
        let connected = line.connected();
        let ended = line.closed || connected == Some(false);
        let unsealed = line.tls_error.take();
        let Role::Allocation { play, server, stage } = &mut line.role else { return };
        let (play, server) = (*play, *server);
        if let AllocationStage::AwaitingResponse = stage {
            if let Some(e) = unsealed {
                warn!(target: "server", server = self.state.server_name(server), "set-up's connection: TLS: {e}");
            }
            if connected == Some(false) {
                return self.allocation_ended(play, server, Outcome::Unreachable, &[]);
            }
            let Some(line) = self.state.connections.get_mut(key) else { return };
            match http::parse_response(&line.input) {
                Ok(None) if ended => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(None) => return,
                Err(e) => {
                    warn!(target: "server", server = self.state.server_name(server), "set-up's answer: {e}");
                    return self.allocation_ended(play, server, Outcome::Error, &[]);
                }
                Ok(Some((answer, used))) => {
                    line.input.drain(..used);
                    let load = parse_load_report(answer.load.as_deref());
                    match (answer.status, answer.body) {
                        (200, Body::Chunked(chunks)) => {
                            line.role = Role::Allocation {
                                play,
                                server,
                                stage: AllocationStage::ReadingNotes { chunks, text: Vec::new() },
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
    pub(crate) fn plays(&mut self, now: f64, play: u64, server: u32, load: &[LoadMetric]) {
        let floor = &mut self.state;
        floor.fleet_on_result(now, play, server, Outcome::Playing);
        let asked = floor.sessions.get(play).map_or(now, |s| s.sent_at);
        floor.set_up_limit.on_set_up(now - asked, floor.pending_set_ups);
        floor.pending_set_ups = floor.pending_set_ups.saturating_sub(1);
        if let Some(answer) = floor.manifest_of(play) {
            floor.stats.played += u64::from(floor.sessions.get(play).is_some_and(|s| s.life() == Life::Out));
            for key in floor.sessions.plays(now, play, answer.clone()) {
                floor.answer(key, &answer);
            }
            floor.session_clock(play);
            floor.tell_rung(play);
        }
        self.dispatcher.on_playing(now, play, &mut self.state);
        for figure in load {
            match figure {
                LoadMetric::Streams(_) => {
                    self.dispatcher.on_load_report(now, server, &[*figure], &mut self.state)
                }
                _ => self.dispatcher.on_play_note(now, play, server, *figure, &mut self.state),
            }
        }
    }

    /// Reads the notes on a play that runs.
    pub(crate) fn notes(&mut self, key: ConnectionId, play: u64, server: u32) {
        loop {
            let now = self.state.now();
            let Some(line) = self.state.connections.get_mut(key) else { return };
            let ended = line.closed;
            let Role::Allocation { stage: AllocationStage::ReadingNotes { chunks, text }, .. } =
                &mut line.role
            else {
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
                match parse_note(note) {
                    Some(figures) => figures.into_iter().for_each(|figure| {
                        self.dispatcher.on_play_note(now, play, server, figure, &mut self.state);
                    }),
                    None => {
                        debug!(target: "server", server = self.state.server_name(server), "note not read")
                    }
                }
            }
            match fed {
                Ok(true) => return self.allocation_ended(play, server, Outcome::Finished, &[]),
                Err(_) => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) if long => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) if ended => return self.allocation_ended(play, server, Outcome::Broken, &[]),
                Ok(false) => {}
            }
            let Some(line) = self.state.connections.get_mut(key) else { return };
            if !line.read(2 * NOTE_LINE) && !line.closed {
                return;
            }
        }
    }

    /// An allocation is out no more: its connection is closed before the desk may send the play again.
    pub(crate) fn allocation_ended(&mut self, play: u64, server: u32, outcome: Outcome, load: &[LoadMetric]) {
        let now = self.state.now();
        let mut closed = false;
        let out = self.state.sessions.get(play).is_some_and(|s| s.life() == Life::Out);
        if out {
            self.state.fleet_on_result(now, play, server, outcome);
        }
        if let Some(session) = self.state.sessions.get_mut(play) {
            if let Some(line) = session.line.take() {
                self.state.connections.close(line);
            }
            closed = self.state.sessions.get(play).is_some_and(|s| s.life() == Life::Playing);
            if closed {
                let lost = outcome != Outcome::Finished;
                let cause = if lost { LOST } else { "server ended it" };
                self.state.over(play, cause, text_answer(410, cause));
            } else {
                debug!(target: "play", play, server = self.state.server_name(server), ?outcome, "allocation ended");
            }
        }
        if self.state.sessions.back(play) {
            let floor = &mut self.state;
            // What is refused as too much, or not done in time, says that servers are behind.
            if matches!(outcome, Outcome::Full | Outcome::TimedOut) {
                floor.set_up_limit.on_lost(floor.pending_set_ups);
            }
            floor.pending_set_ups = floor.pending_set_ups.saturating_sub(1);
            floor.session_clock(play);
        }
        self.dispatcher.on_allocation_ended(now, play, server, outcome, closed, load, &mut self.state);
        self.state.set_up_limit.on_decided(self.state.now() - now);
    }

    /// A player has taken what it was sent: its server is read on.
    pub(crate) fn relay_on(&mut self, player: ConnectionId) {
        let floor = &mut self.state;
        let Some(line) = floor.connections.get_mut(player) else { return };
        let Role::Player(PlayerState::FetchingSegment(_)) = line.role else { return };
        if let Some(key) = floor.fetch_connections.get(&player).copied() {
            self.on_server_connection(key);
        }
    }

    /// Something happened on a pooled connection to a server.
    pub(crate) fn on_server_connection(&mut self, key: ConnectionId) {
        loop {
            let floor = &mut self.state;
            let now = floor.now();
            let relay = floor.config.limits.relay_bytes;
            let Some(line) = floor.connections.get_mut(key) else { return };
            let connected = line.connected();
            if connected == Some(true) {
                line.flush();
            }
            let came = line.read(64 << 10);
            let ended = line.closed || connected == Some(false);
            let Role::ServerPool { server, errand, .. } = &mut line.role else { return };
            let server = *server;
            let Some(it) = errand else {
                // An idle one that was closed, or says something nobody asked for.
                if ended || !line.input.is_empty() {
                    floor.close_pooled_connection(key);
                }
                return;
            };
            if it.left.is_none() {
                let (answer, used) = match http::parse_response(&line.input) {
                    Ok(None) if ended => return floor.on_request_failed(key, ReadError::Broken),
                    Ok(None) => return,
                    Err(e) => {
                        warn!(target: "server", server = floor.server_name(server), "answer not read: {e}");
                        return floor.on_request_failed(key, ReadError::Malformed);
                    }
                    Ok(Some(it)) => it,
                };
                line.input.drain(..used);
                let Body::Length(length) = answer.body else {
                    return floor.on_request_failed(key, ReadError::Malformed);
                };
                let follows = it.segment_read.as_ref().map_or(length, |reading| reading.follows(length));
                (it.left, it.last) = (Some(follows), !answer.keep_alive);
                let (what, head) = (it.kind, it.segment_read.as_mut().map(|reading| reading.head(&answer)));
                floor.set_connection_deadline(key, now + floor.config.limits.segment_ms);
                let load = parse_load_report(answer.load.as_deref());
                match (what, head) {
                    (RequestKind::Segment { player, play, .. }, Some(Ok(Some(head)))) => {
                        floor.segment_head(player, play, &head);
                    }
                    (_, Some(Err(fault))) => floor.on_request_failed(key, fault),
                    _ => {}
                }
                self.dispatcher.on_load_report(now, server, &load, &mut self.state);
                continue;
            }
            let left = it.left.unwrap_or(0);
            let what = it.kind;
            let n = (line.input.len() as u64).min(left) as usize;
            let part: Vec<u8> = line.input.drain(..n).collect();
            it.left = Some(left - n as u64);
            let done = left == n as u64;
            if let RequestKind::Segment { player, .. } = what {
                let Some(line) = floor.connections.get_mut(player) else {
                    // The player left in the middle: the rest is of no use.
                    return floor.close_pooled_connection(key);
                };
                line.write(&part);
                line.flush();
                let full = line.pending() >= relay && !done;
                if n > 0 {
                    floor.set_connection_deadline(key, now + floor.config.limits.segment_ms);
                    floor.gave(key, n as u64);
                }
                if full {
                    // Read on once the player has taken some; its own clock runs meanwhile.
                    if let Some(line) = floor.connections.get_mut(key) {
                        line.deadline = f64::INFINITY;
                    }
                    return;
                }
            } else if left > DRAIN {
                return floor.close_pooled_connection(key);
            }
            if done {
                return self.on_response_complete(key, server, what);
            }
            if ended {
                return floor.on_request_failed(key, ReadError::Truncated);
            }
            if !came {
                return;
            }
        }
    }

    pub(crate) fn on_response_complete(&mut self, key: ConnectionId, server: u32, what: RequestKind) {
        let floor = &mut self.state;
        let now = floor.now();
        let mut last = false;
        if let Some(line) = floor.connections.get_mut(key) {
            // More than its length: that answer was right as far as it went, but the connection is not to be kept.
            last = line.closed || !line.input.is_empty();
            if let Role::ServerPool { errand, fresh, .. } = &mut line.role {
                last |= errand.as_ref().is_none_or(|e| e.last);
                (*errand, *fresh) = (None, false);
            }
        }
        if last {
            floor.close_pooled_connection(key);
        } else {
            floor.set_connection_deadline(key, now + floor.config.limits.server_idle_ms);
            floor.servers[server as usize].idle_connections.push(key);
        }
        floor.on_request_done(server);
        floor.rung_was_told(what, true);
        if let RequestKind::Segment { player, play, number } = what {
            floor.fetch_connections.remove(&player);
            floor.stats.segments += 1;
            if let Some(session) = floor.sessions.get_mut(play) {
                session.fetching = session.fetching.saturating_sub(1);
                session.last_asked = now;
                session.complete |= session.title.presentation.segments() == Some(number);
                floor.session_clock(play);
            }
            floor.answered(player);
            self.player(player);
        }
    }
}
