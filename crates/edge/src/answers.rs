//! Answers written to players, and what their connections do meanwhile.

use crate::config::Rung;
use crate::connections::{ConnectionId, PlayerState, Role};
use crate::http;
use crate::sessions::{Answer, Life};
use pulleystair_dash::address;
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{SessionToken, TokenError};
use std::time::{Duration, UNIX_EPOCH};
use tracing::info;

use crate::state::{EdgeState, Timer, text_answer};

/// A connection that is told to close may take so long to read its answer, ms.
const LEAVE: f64 = 1_000.0;

const METHODS: &str = "GET, HEAD, DELETE, OPTIONS";

impl EdgeState {
    /// Seconds to stay away that a player is told.
    pub(crate) fn retry_after(&self) -> u64 {
        (self.config.rules.retry_after_ms / 1000.0).ceil().max(1.0) as u64
    }

    pub(crate) fn away(&self, why: &str) -> Answer {
        Answer { retry_after: Some(self.retry_after()), ..text_answer(503, why) }
    }

    pub(crate) fn answer(&mut self, key: ConnectionId, answer: &Answer) {
        let keep_alive = self.connections.get_mut(key).is_some_and(|line| !line.options.close);
        self.write_answer(key, answer, keep_alive);
        self.answered(key);
    }

    /// Answers and closes.
    pub(crate) fn leave(&mut self, key: ConnectionId, answer: &Answer) {
        self.write_answer(key, answer, false);
        if let Some(line) = self.connections.get_mut(key) {
            line.options.close = true;
        }
        self.answered(key);
    }

    pub(crate) fn write_answer(&mut self, key: ConnectionId, answer: &Answer, keep_alive: bool) {
        let kind = if answer.status == 200 && answer.body.starts_with("<?xml") {
            "Content-Type: application/dash+xml"
        } else {
            "Content-Type: text/plain; charset=utf-8"
        };
        let date =
            httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs_f64(self.wall_clock_now() / 1000.0));
        let mut more = vec![kind.to_string(), format!("Date: {date}")];
        more.extend(answer.location.iter().map(|at| format!("Location: {at}")));
        if let Some(s) = answer.retry_after {
            more.push(format!("Retry-After: {s}"));
        }
        match answer.status {
            401 => more.push("WWW-Authenticate: Bearer".into()),
            405 => more.push(format!("Allow: {METHODS}")),
            // What a browser asks before it lets a page's player do it (Fetch, section 3.2.2).
            204 => {
                more.push(format!("Access-Control-Allow-Methods: {METHODS}"));
                more.push("Access-Control-Allow-Headers: Authorization, Range, If-None-Match".into());
                more.push("Access-Control-Max-Age: 86400".into());
            }
            _ => {}
        }
        let mut out = Vec::with_capacity(answer.body.len() + 256);
        http::write_response_head(&mut out, answer.status, answer.body.len() as u64, keep_alive, &more);
        if let Some(line) = self.connections.get_mut(key) {
            if !line.options.head_only && answer.status != 204 {
                out.extend_from_slice(answer.body.as_bytes());
            }
            line.write(&out);
            line.flush();
        }
    }

    /// The answer on this connection is written, or waits in its buffer: on to the next request, or leave.
    pub(crate) fn answered(&mut self, key: ConnectionId) {
        let now = self.now();
        let limits = &self.config.limits;
        let (idle, slow, rate) = (limits.idle_ms, limits.slow_reader_ms, limits.slow_reader_kb);
        let Some(line) = self.connections.get_mut(key) else { return };
        let pending = line.pending();
        let leaving = line.options.close;
        if !line.input.is_empty() {
            self.players_to_resume.push(key);
        }
        line.role = Role::Player(if leaving { PlayerState::Closing } else { PlayerState::ReadingRequest });
        if leaving && pending == 0 {
            line.shutdown_write();
        }
        let due = match (pending, leaving) {
            (0, true) => now + LEAVE,
            (0, false) => now + idle,
            _ => now + slow + pending as f64 / rate,
        };
        self.set_connection_deadline(key, due);
    }

    pub(crate) fn wait_for(&mut self, key: ConnectionId, play: u64) {
        if let Some(line) = self.connections.get_mut(key) {
            line.role = Role::Player(PlayerState::AwaitingManifest(play));
            line.deadline = f64::INFINITY;
        }
    }

    pub(crate) fn player_gone(&mut self, key: ConnectionId) {
        let now = self.now();
        let Some(Role::Player(doing)) = self.connections.close(key) else { return };
        self.player_count -= 1;
        match doing {
            PlayerState::AwaitingManifest(play) if self.sessions.gone(now, play, key) => {
                self.session_clock(play)
            }
            PlayerState::FetchingSegment(play) => {
                if let Some(session) = self.sessions.get_mut(play) {
                    session.fetching = session.fetching.saturating_sub(1);
                }
                if let Some(line) = self.fetch_connections.remove(&key) {
                    self.close_pooled_connection(line);
                }
            }
            _ => {}
        }
    }

    /// Nobody could take the play up in time; nothing of it ran.
    pub(crate) fn crowded_out(&mut self, play: u64) {
        let answer = self.away("too many plays are asked for now");
        self.over(play, "crowded out", answer);
    }

    /// The play that a pass opens, if it runs here.
    ///
    /// Each use of a pass renews it: while its play runs it opens that play for `pass_ms` after its last use,
    /// whatever its own time was; a player that paused for longer asks for the manifest again.
    pub(crate) fn playing(&mut self, player: ConnectionId, pass: &str) -> Result<u64, Answer> {
        let from = self.connections.get_mut(player).and_then(|line| line.peer_ip());
        let (now, limits) = (self.wall_clock_now(), &self.config.limits);
        let pass = self.pass_keys.verify_session_signature(pass, (now / 1000.0) as u64);
        let pass = pass.map_err(|fault| text_answer(fault.status(), &fault.to_string()))?;
        let gone = || text_answer(410, "this session does not play here");
        let play = self.sessions.by_id(&pass.sid).ok_or_else(gone)?;
        let session = self.sessions.get_mut(play).ok_or_else(gone)?;
        if session.life() != Life::Playing {
            let told = session.answer().filter(|answer| answer.status == 410);
            return Err(told.cloned().unwrap_or_else(gone));
        }
        if limits.same_address && session.from != from {
            return Err(text_answer(403, "this session is another viewer's"));
        }
        let title = &session.title;
        if (title.product.as_str(), title.name.as_str()) != (pass.product.as_str(), pass.title.as_str()) {
            return Err(text_answer(403, "token is for another title or product"));
        }
        let own = pass.exp as f64 * 1000.0 + limits.skew_ms;
        if now >= own.max(session.renewed) {
            return Err(text_answer(TokenError::Expired.status(), &TokenError::Expired.to_string()));
        }
        session.renewed = now + limits.pass_ms;
        Ok(play)
    }

    pub(crate) fn manifest_of(&self, play: u64) -> Option<Answer> {
        let session = self.sessions.get(play)?;
        let title = &session.title;
        let product = &self.config.products[session.product];
        let last = self.config.ladder.len() - 1;
        let top = session.top.min(product.top.unwrap_or(last)).min(last).max(product.floor);
        let pass = SessionToken {
            sid: session.id.clone(),
            product: product.name.clone(),
            title: title.name.clone(),
            exp: ((self.wall_clock_now() + self.config.limits.pass_ms) / 1000.0).ceil() as u64,
        };
        let pass = self.pass_keys.sign(&pass);
        let bits = |rung: &Rung| ((rung.rate_kb * product.scale * 8000.0).ceil() as u64).max(1);
        let bandwidths: Vec<u64> = self.config.ladder[..=top].iter().map(bits).collect();
        let mut presentation = Presentation::clone(&title.presentation);
        presentation.base = address::base_path(&pass);
        presentation.location = presentation.live.is_some().then(|| address::refresh_path(&pass));
        presentation.periods.iter_mut().for_each(|period| period.bandwidths = bandwidths.clone());
        Some(Answer { status: 200, body: presentation.write().into(), retry_after: None, location: None })
    }

    /// The manifest of a play that runs, asked for by its pass.
    pub(crate) fn asked_again(&mut self, play: u64) -> Answer {
        let now = self.now();
        if let Some(session) = self.sessions.get_mut(play) {
            session.last_asked = now;
        }
        self.manifest_of(play).unwrap_or_else(|| text_answer(410, "this session does not play here"))
    }

    /// The play is over: whoever waits gets the answer, and the play its line in the log.
    pub(crate) fn over(&mut self, play: u64, cause: &'static str, answer: Answer) {
        let now = self.now();
        let Some(session) = self.sessions.get(play).filter(|s| !s.life().over()) else { return };
        if session.started > 0.0 {
            self.stats.over(cause);
        } else {
            self.stats.answered(answer.status);
        }
        let played = if session.started > 0.0 { now - session.started } else { 0.0 };
        let set_up = if session.started > 0.0 { session.started - session.came } else { 0.0 };
        info!(
            target: "play",
            play,
            cause,
            answer = if session.started > 0.0 { 200 } else { answer.status },
            product = self.config.products[session.product].name,
            title = session.title.name,
            server = session.server.map_or("", |s| self.server_name(s)),
            rung = session.rung,
            allocations = session.allocation_count(),
            set_up_ms = set_up,
            played_ms = played,
        );
        for key in self.sessions.over(now, play, answer.clone()) {
            self.answer(key, &answer);
        }
        self.session_clock(play);
    }

    pub(crate) fn idle_of(&self, play: u64) -> f64 {
        let linger = self.sessions.get(play).filter(|s| s.complete);
        match linger {
            // The last segment may be asked for once more.
            Some(session) => session.title.presentation.longest_segment() as f64,
            None => self.config.limits.play_idle_ms,
        }
    }

    pub(crate) fn session_clock(&mut self, play: u64) {
        let idle = self.idle_of(play);
        if let Some(due) = self.sessions.due(play, idle, self.config.limits.come_back_ms) {
            self.schedule(due, Timer::Session(play));
        }
    }
}
