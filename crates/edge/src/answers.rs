//! Answers to players: how they are written, what the player's connection does after one, and the ends of plays.
//! The request handlers (`players`), the dispatcher's actions and the timers call this. Times are in ms.

use crate::config::Rung;
use crate::connections::{ConnectionId, PlayerState, Role};
use crate::http;
use crate::sessions::{Answer, SessionPhase};
use pulleystair_dash::address;
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{SessionClaims, TokenError};
use std::time::{Duration, UNIX_EPOCH};
use tracing::info;

use crate::state::{EdgeState, Timer, text_answer};

/// How long a player may take to read its answer on a connection that is to be closed, ms.
const CLOSE_DELAY_MS: f64 = 1_000.0;

/// The methods that some address here accepts.
const ALLOWED_METHODS: &str = "GET, HEAD, DELETE, OPTIONS";

impl EdgeState {
    /// `Retry-After` as configured, in whole seconds.
    pub(crate) fn retry_after(&self) -> u64 {
        (self.config.rules.retry_after_ms / 1000.0).ceil().max(1.0) as u64
    }

    /// A 503 answer with `Retry-After`.
    pub(crate) fn retry_later_answer(&self, why: &str) -> Answer {
        Answer { retry_after: Some(self.retry_after()), ..text_answer(503, why) }
    }

    /// Answers a player's request.
    pub(crate) fn send_answer(&mut self, connection_id: ConnectionId, answer: &Answer) {
        let keep_alive =
            self.connections.get_mut(connection_id).is_some_and(|connection| !connection.options.close);
        self.write_answer(connection_id, answer, keep_alive);
        self.on_answer_written(connection_id);
    }

    /// Answers a player's request, then closes the connection.
    pub(crate) fn send_answer_and_close(&mut self, connection_id: ConnectionId, answer: &Answer) {
        self.write_answer(connection_id, answer, false);
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.options.close = true;
        }
        self.on_answer_written(connection_id);
    }

    /// Writes the head and the body of an answer to a player's connection.
    pub(crate) fn write_answer(&mut self, connection_id: ConnectionId, answer: &Answer, keep_alive: bool) {
        let content_type = if answer.status == 200 && answer.body.starts_with("<?xml") {
            "Content-Type: application/dash+xml"
        } else {
            "Content-Type: text/plain; charset=utf-8"
        };
        let date =
            httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs_f64(self.wall_clock_now() / 1000.0));
        let mut headers = vec![content_type.to_string(), format!("Date: {date}")];
        headers.extend(answer.location.iter().map(|at| format!("Location: {at}")));
        if let Some(s) = answer.retry_after {
            headers.push(format!("Retry-After: {s}"));
        }
        match answer.status {
            401 => headers.push("WWW-Authenticate: Bearer".into()),
            405 => headers.push(format!("Allow: {ALLOWED_METHODS}")),
            // The answer to a browser's CORS preflight request (Fetch, section 3.2.2).
            204 => {
                headers.push(format!("Access-Control-Allow-Methods: {ALLOWED_METHODS}"));
                headers.push("Access-Control-Allow-Headers: Authorization, Range, If-None-Match".into());
                headers.push("Access-Control-Max-Age: 86400".into());
            }
            _ => {}
        }
        let mut out = Vec::with_capacity(answer.body.len() + 256);
        http::write_response_head(&mut out, answer.status, answer.body.len() as u64, keep_alive, &headers);
        if let Some(connection) = self.connections.get_mut(connection_id) {
            if !connection.options.head_only && answer.status != 204 {
                out.extend_from_slice(answer.body.as_bytes());
            }
            connection.queue(&out);
            connection.flush();
        }
    }

    /// An answer to a player was written, or is in the write buffer: sets the connection to read the next request or
    /// to close, and its deadline.
    pub(crate) fn on_answer_written(&mut self, connection_id: ConnectionId) {
        let now = self.now();
        let limits = &self.config.limits;
        let (idle_ms, slow_reader_ms, slow_reader_kb) =
            (limits.idle_ms, limits.slow_reader_ms, limits.slow_reader_kb);
        let Some(connection) = self.connections.get_mut(connection_id) else { return };
        let pending = connection.unsent_bytes();
        let is_closing = connection.options.close;
        if !connection.input.is_empty() {
            self.connections_with_buffered_request.push(connection_id);
        }
        connection.role =
            Role::Player(if is_closing { PlayerState::Closing } else { PlayerState::ReadingRequest });
        if is_closing && pending == 0 {
            connection.shutdown_write();
        }
        let deadline = match (pending, is_closing) {
            (0, true) => now + CLOSE_DELAY_MS,
            (0, false) => now + idle_ms,
            _ => now + slow_reader_ms + pending as f64 / slow_reader_kb,
        };
        self.set_connection_deadline(connection_id, deadline);
    }

    /// Sets the connection to wait for the manifest of this play, without a deadline of its own.
    pub(crate) fn await_manifest(&mut self, connection_id: ConnectionId, play: u64) {
        if let Some(connection) = self.connections.get_mut(connection_id) {
            connection.role = Role::Player(PlayerState::AwaitingManifest(play));
            connection.deadline = f64::INFINITY;
        }
    }

    /// Closes a player's connection: it no longer waits for its play's answer, and a segment fetched for it is
    /// aborted.
    pub(crate) fn close_player_connection(&mut self, connection_id: ConnectionId) {
        let now = self.now();
        let Some(Role::Player(player_state)) = self.connections.close(connection_id) else { return };
        self.player_connection_count -= 1;
        match player_state {
            PlayerState::AwaitingManifest(play) if self.sessions.remove_waiter(now, play, connection_id) => {
                self.schedule_session_timer(play)
            }
            PlayerState::FetchingSegment(play) => {
                if let Some(session) = self.sessions.get_mut(play) {
                    session.active_fetches = session.active_fetches.saturating_sub(1);
                }
                if let Some(pooled) = self.fetch_connections.remove(&connection_id) {
                    self.close_pooled_connection(pooled);
                }
            }
            _ => {}
        }
    }

    /// Ends with 503 a queued play that was not admitted: its time ran out, or the full queue displaced it. No
    /// allocation was sent for it.
    pub(crate) fn decline_queued_play(&mut self, play: u64) {
        let answer = self.retry_later_answer("too many plays are asked for now");
        self.end_play(play, "crowded out", answer);
    }

    /// The running play for which this pass (session token) is valid, or the answer that refuses it.
    ///
    /// Each use of a pass renews it: while its play runs, it stays valid for `pass_ms` after its last use, whatever
    /// its own expiry. A player that paused for longer requests the manifest again.
    pub(crate) fn authorize_pass(&mut self, player: ConnectionId, pass: &str) -> Result<u64, Answer> {
        let peer_ip = self.connections.get_mut(player).and_then(|connection| connection.peer_ip());
        let (now, limits) = (self.wall_clock_now(), &self.config.limits);
        let pass = self.session_key_ring.verify_session_signature(pass, (now / 1000.0) as u64);
        let pass = pass.map_err(|e| text_answer(e.status(), &e.to_string()))?;
        let not_here = || text_answer(410, "this session does not play here");
        let play = self.sessions.by_id(&pass.sid).ok_or_else(not_here)?;
        let session = self.sessions.get_mut(play).ok_or_else(not_here)?;
        if session.phase() != SessionPhase::Playing {
            let final_answer = session.answer().filter(|answer| answer.status == 410);
            return Err(final_answer.cloned().unwrap_or_else(not_here));
        }
        if limits.same_address && session.viewer_ip != peer_ip {
            return Err(text_answer(403, "this session is another viewer's"));
        }
        let title = &session.title;
        if (title.product.as_str(), title.name.as_str()) != (pass.product.as_str(), pass.title.as_str()) {
            return Err(text_answer(403, "token is for another title or product"));
        }
        let expires_at = pass.exp as f64 * 1000.0 + limits.skew_ms;
        if now >= expires_at.max(session.pass_valid_until) {
            return Err(text_answer(TokenError::Expired.status(), &TokenError::Expired.to_string()));
        }
        session.pass_valid_until = now + limits.pass_ms;
        Ok(play)
    }

    /// The answer with the manifest of a play, written with a new pass.
    pub(crate) fn manifest_answer(&self, play: u64) -> Option<Answer> {
        let session = self.sessions.get(play)?;
        let title = &session.title;
        let product = &self.config.products[session.product];
        let last_rung = self.config.ladder.len() - 1;
        let max_rung =
            session.max_rung.min(product.top.unwrap_or(last_rung)).min(last_rung).max(product.floor);
        let pass = SessionClaims {
            sid: session.session_id.clone(),
            product: product.name.clone(),
            title: title.name.clone(),
            exp: ((self.wall_clock_now() + self.config.limits.pass_ms) / 1000.0).ceil() as u64,
        };
        let pass = self.session_key_ring.sign(&pass);
        let bits_per_s = |rung: &Rung| ((rung.rate_kb * product.scale * 8000.0).ceil() as u64).max(1);
        let bandwidths: Vec<u64> = self.config.ladder[..=max_rung].iter().map(bits_per_s).collect();
        let mut presentation = Presentation::clone(&title.presentation);
        presentation.base_url = address::base_path(&pass);
        presentation.location = presentation.live.is_some().then(|| address::refresh_path(&pass));
        presentation.periods.iter_mut().for_each(|period| period.bandwidths = bandwidths.clone());
        Some(Answer { status: 200, body: presentation.to_xml().into(), retry_after: None, location: None })
    }

    /// The manifest of a running play, requested again by its pass.
    pub(crate) fn refresh_manifest(&mut self, play: u64) -> Answer {
        let now = self.now();
        if let Some(session) = self.sessions.get_mut(play) {
            session.last_active_at = now;
        }
        self.manifest_answer(play).unwrap_or_else(|| text_answer(410, "this session does not play here"))
    }

    /// Ends a play: counts and logs the end, sends the answer to the connections that wait, and keeps it as the final
    /// answer. Does nothing where the play has ended already.
    pub(crate) fn end_play(&mut self, play: u64, cause: &'static str, answer: Answer) {
        let now = self.now();
        let Some(session) = self.sessions.get(play).filter(|s| !s.phase().is_over()) else { return };
        if session.started_at > 0.0 {
            self.stats.record_end(cause);
        } else {
            self.stats.record_final_answer(answer.status);
        }
        let played_ms = if session.started_at > 0.0 { now - session.started_at } else { 0.0 };
        let set_up_ms = if session.started_at > 0.0 { session.started_at - session.arrived_at } else { 0.0 };
        info!(
            target: "play",
            play,
            cause,
            answer = if session.started_at > 0.0 { 200 } else { answer.status },
            product = self.config.products[session.product].name,
            title = session.title.name,
            server = session.server.map_or("", |s| self.server_name(s)),
            rung = session.rung,
            allocations = session.allocation_count(),
            set_up_ms,
            played_ms,
        );
        for connection_id in self.sessions.record_end(now, play, answer.clone()) {
            self.send_answer(connection_id, &answer);
        }
        self.schedule_session_timer(play);
    }

    /// How long this play may go without a request before it is ended: `play_idle_ms`, or the duration of its longest
    /// segment once its last segment has been delivered.
    pub(crate) fn play_idle_timeout(&self, play: u64) -> f64 {
        let complete_session = self.sessions.get(play).filter(|s| s.is_complete);
        match complete_session {
            // After the last segment, only a repeated request for it can still come: one segment's duration is
            // enough.
            Some(session) => session.title.presentation.max_segment_ms() as f64,
            None => self.config.limits.play_idle_ms,
        }
    }

    /// Schedules the session's timer at its next deadline, if it has one.
    pub(crate) fn schedule_session_timer(&mut self, play: u64) {
        let play_idle_timeout = self.play_idle_timeout(play);
        if let Some(deadline) =
            self.sessions.next_deadline(play, play_idle_timeout, self.config.limits.come_back_ms)
        {
            self.schedule(deadline, Timer::Session(play));
        }
    }
}
