//! Answers written to players, and what their connections do meanwhile.

use crate::config::Rung;
use crate::connections::{ConnectionId, Doing, Role};
use crate::http;
use crate::sessions::{Final, Life};
use pulleystair_dash::address;
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{SessionToken, TokenError};
use std::time::{Duration, UNIX_EPOCH};
use tracing::info;

use crate::floor::{Clock, Floor, words};

/// A connection that is told to close may take so long to read its answer, ms.
const LEAVE: f64 = 1_000.0;

const METHODS: &str = "GET, HEAD, DELETE, OPTIONS";

impl Floor {
    /// Seconds to stay away that a player is told.
    pub(crate) fn retry_after(&self) -> u64 {
        (self.rundown.rules.retry_after_ms / 1000.0).ceil().max(1.0) as u64
    }

    pub(crate) fn away(&self, why: &str) -> Final {
        Final { retry_after: Some(self.retry_after()), ..words(503, why) }
    }

    pub(crate) fn answer(&mut self, key: ConnectionId, answer: &Final) {
        let keep_alive = self.lines.get_mut(key).is_some_and(|line| !line.options.last);
        self.write_answer(key, answer, keep_alive);
        self.answered(key);
    }

    /// Answers and closes.
    pub(crate) fn leave(&mut self, key: ConnectionId, answer: &Final) {
        self.write_answer(key, answer, false);
        if let Some(line) = self.lines.get_mut(key) {
            line.options.last = true;
        }
        self.answered(key);
    }

    pub(crate) fn write_answer(&mut self, key: ConnectionId, answer: &Final, keep_alive: bool) {
        let kind = if answer.status == 200 && answer.body.starts_with("<?xml") {
            "Content-Type: application/dash+xml"
        } else {
            "Content-Type: text/plain; charset=utf-8"
        };
        let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs_f64(self.time_of_day() / 1000.0));
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
        if let Some(line) = self.lines.get_mut(key) {
            if !line.options.bare && answer.status != 204 {
                out.extend_from_slice(answer.body.as_bytes());
            }
            line.write(&out);
            line.flush();
        }
    }

    /// The answer on this connection is written, or waits in its buffer: on to the next request, or leave.
    pub(crate) fn answered(&mut self, key: ConnectionId) {
        let now = self.now();
        let limits = &self.rundown.limits;
        let (idle, slow, rate) = (limits.idle_ms, limits.slow_reader_ms, limits.slow_reader_kb);
        let Some(line) = self.lines.get_mut(key) else { return };
        let pending = line.pending();
        let leaving = line.options.last;
        if !line.input.is_empty() {
            self.woken.push(key);
        }
        line.role = Role::Player(if leaving { Doing::Leaving } else { Doing::Reading });
        if leaving && pending == 0 {
            line.shutdown_write();
        }
        let due = match (pending, leaving) {
            (0, true) => now + LEAVE,
            (0, false) => now + idle,
            _ => now + slow + pending as f64 / rate,
        };
        self.set_due(key, due);
    }

    pub(crate) fn wait_for(&mut self, key: ConnectionId, play: u64) {
        if let Some(line) = self.lines.get_mut(key) {
            line.role = Role::Player(Doing::Waiting(play));
            line.deadline = f64::INFINITY;
        }
    }

    pub(crate) fn player_gone(&mut self, key: ConnectionId) {
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

    /// Nobody could take the play up in time; nothing of it ran.
    pub(crate) fn crowded_out(&mut self, play: u64) {
        let answer = self.away("too many plays are asked for now");
        self.over(play, "crowded out", answer);
    }

    /// The play that a pass opens, if it runs here.
    ///
    /// Each use of a pass renews it: while its play runs it opens that play for `pass_ms` after its last use,
    /// whatever its own time was; a player that paused for longer asks for the manifest again.
    pub(crate) fn playing(&mut self, player: ConnectionId, pass: &str) -> Result<u64, Final> {
        let from = self.lines.get_mut(player).and_then(|line| line.peer_ip());
        let (now, limits) = (self.time_of_day(), &self.rundown.limits);
        let pass = self.pass_keys.verify_session_signature(pass, (now / 1000.0) as u64);
        let pass = pass.map_err(|fault| words(fault.status(), &fault.to_string()))?;
        let gone = || words(410, "this session does not play here");
        let play = self.book.by_id(&pass.sid).ok_or_else(gone)?;
        let session = self.book.get_mut(play).ok_or_else(gone)?;
        if session.life() != Life::Playing {
            let told = session.answer().filter(|answer| answer.status == 410);
            return Err(told.cloned().unwrap_or_else(gone));
        }
        if limits.same_address && session.from != from {
            return Err(words(403, "this session is another viewer's"));
        }
        let title = &session.show;
        if (title.product.as_str(), title.name.as_str()) != (pass.product.as_str(), pass.title.as_str()) {
            return Err(words(403, "token is for another title or product"));
        }
        let own = pass.exp as f64 * 1000.0 + limits.skew_ms;
        if now >= own.max(session.renewed) {
            return Err(words(TokenError::Expired.status(), &TokenError::Expired.to_string()));
        }
        session.renewed = now + limits.pass_ms;
        Ok(play)
    }

    pub(crate) fn manifest_of(&self, play: u64) -> Option<Final> {
        let session = self.book.get(play)?;
        let title = &session.show;
        let product = &self.rundown.products[session.product];
        let last = self.rundown.ladder.len() - 1;
        let top = session.top.min(product.top.unwrap_or(last)).min(last).max(product.floor);
        let pass = SessionToken {
            sid: session.id.clone(),
            product: product.name.clone(),
            title: title.name.clone(),
            exp: ((self.time_of_day() + self.rundown.limits.pass_ms) / 1000.0).ceil() as u64,
        };
        let pass = self.pass_keys.sign(&pass);
        let bits = |rung: &Rung| ((rung.rate_kb * product.scale * 8000.0).ceil() as u64).max(1);
        let bandwidths: Vec<u64> = self.rundown.ladder[..=top].iter().map(bits).collect();
        let mut presentation = Presentation::clone(&title.shape);
        presentation.base = address::base_path(&pass);
        presentation.location = presentation.live.is_some().then(|| address::refresh_path(&pass));
        presentation.periods.iter_mut().for_each(|period| period.bandwidths = bandwidths.clone());
        Some(Final { status: 200, body: presentation.write().into(), retry_after: None, location: None })
    }

    /// The manifest of a play that runs, asked for by its pass.
    pub(crate) fn asked_again(&mut self, play: u64) -> Final {
        let now = self.now();
        if let Some(session) = self.book.get_mut(play) {
            session.last_asked = now;
        }
        self.manifest_of(play).unwrap_or_else(|| words(410, "this session does not play here"))
    }

    /// The play is over: whoever waits gets the answer, and the play its line in the log.
    pub(crate) fn over(&mut self, play: u64, cause: &'static str, answer: Final) {
        let now = self.now();
        let Some(session) = self.book.get(play).filter(|s| !s.life().over()) else { return };
        if session.started > 0.0 {
            self.tally.over(cause);
        } else {
            self.tally.answered(answer.status);
        }
        let played = if session.started > 0.0 { now - session.started } else { 0.0 };
        let set_up = if session.started > 0.0 { session.started - session.came } else { 0.0 };
        info!(
            target: "play",
            play,
            cause,
            answer = if session.started > 0.0 { 200 } else { answer.status },
            product = self.rundown.products[session.product].name,
            title = session.show.name,
            server = session.server.map_or("", |s| self.name(s)),
            rung = session.rung,
            allocations = session.allocations(),
            set_up_ms = set_up,
            played_ms = played,
        );
        for key in self.book.over(now, play, answer.clone()) {
            self.answer(key, &answer);
        }
        self.session_clock(play);
    }

    pub(crate) fn idle_of(&self, play: u64) -> f64 {
        let linger = self.book.get(play).filter(|s| s.complete);
        match linger {
            // The last segment may be asked for once more.
            Some(session) => session.show.shape.longest_segment() as f64,
            None => self.rundown.limits.play_idle_ms,
        }
    }

    pub(crate) fn session_clock(&mut self, play: u64) {
        let idle = self.idle_of(play);
        if let Some(due) = self.book.due(play, idle, self.rundown.limits.come_back_ms) {
            self.clock(due, Clock::Session(play));
        }
    }
}
