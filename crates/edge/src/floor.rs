//! The floor: what the desk's hands work with. Connections, the sessions' book, servers and their pools, clocks,
//! and the answers written to players. It never calls the desk; what it finds while the desk is busy goes to
//! [`Floor::news`], which [`crate::edge`] tells afterwards.

use crate::http;
use crate::lines::{Doing, Errand, Key, Lines, Role, Stage, What};
use crate::listing::{Title, Watched};
use crate::reading::Head;
use crate::rundown::{Rundown, Rung};
use crate::seals::Seals;
use crate::sessions::{Book, Final, Life};
use crate::tally::Tally;
use calloop::{LoopHandle, RegistrationToken};
use pulleystair::{Figure, Outcome};
use pulleystair_admission::lag::Lag;
use pulleystair_admission::limit::Limit;
use pulleystair_admission::queue::Queue;
use pulleystair_admission::reads::{self, Budget, Next};
use pulleystair_admission::wall::Wall;
use pulleystair_dash::address;
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{Fault, Pass, Ring};
use pulleystair_desk::Hands;
use pulleystair_lines::clocks::Clocks;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tracing::{debug, error, info};
use tracing_appender::non_blocking::ErrorCounter;

use crate::edge::Edge;

/// A connection that is told to close may take so long to read its answer, ms.
const LEAVE: f64 = 1_000.0;

const METHODS: &str = "GET, HEAD, DELETE, OPTIONS";

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Clock {
    Desk(u32),
    /// The time-out of a play's so-many-th allocation.
    TimeOut(u64, usize),
    Line(Key),
    Session(u64),
    /// The word of a step of this play was lost: it is told again.
    Rung(u64),
    Queue,
    List,
    Keys,
    Accept,
    Tally,
    Stop,
}

/// A media server as the floor knows it: how to reach it, and the lines that are there.
pub(crate) struct Server {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) idle: Vec<Key>,
    pub(crate) lines: usize,
    pub(crate) queue: VecDeque<Errand>,
    /// Further tries of segments' reads there.
    pub(crate) budget: Budget,
}

/// An allocation's end that was found while the desk was busy.
pub(crate) struct News {
    pub(crate) play: u64,
    pub(crate) server: u32,
    pub(crate) outcome: Outcome,
}

pub(crate) struct Floor {
    pub(crate) rundown: Rundown,
    pub(crate) entry_keys: Ring,
    pub(crate) pass_keys: Ring,
    pub(crate) keys: Option<Watched>,
    pub(crate) seals: Seals,
    pub(crate) revoked: HashSet<String>,
    pub(crate) lines: Lines,
    pub(crate) handle: LoopHandle<'static, Edge>,
    pub(crate) door: Option<RegistrationToken>,
    pub(crate) book: Book,
    /// Who waits until a set-up more may be out, how many may be and are.
    pub(crate) queue: Queue,
    pub(crate) limit: Limit,
    pub(crate) out: usize,
    pub(crate) lag: Lag,
    pub(crate) wall: Wall,
    /// Where the fronts of this fleet are to be had by players, by rank, and the file that tells; none where they
    /// may all set up any session.
    pub(crate) homes: Vec<String>,
    pub(crate) homes_file: Option<Watched>,
    pub(crate) watched: Watched,
    /// Every title has a number that no other ever has; what is listed now is told beside what it is. One that is
    /// listed no more is kept while a session knows it.
    pub(crate) titles: HashMap<(usize, String), usize>,
    pub(crate) shows: HashMap<usize, (Rc<Title>, bool)>,
    pub(crate) next_title: usize,
    pub(crate) servers: Vec<Server>,
    pub(crate) server_numbers: HashMap<String, u32>,
    pub(crate) clocks: Clocks<Clock>,
    pub(crate) news: VecDeque<News>,
    pub(crate) players: usize,
    /// The pooled connection that fetches for a player, and how many errands are out or wait.
    pub(crate) fetchers: HashMap<Key, Key>,
    pub(crate) errands_out: usize,
    /// Players with a further request at hand when their answer was written.
    pub(crate) woken: Vec<Key>,
    /// Names this run of this front in the names of its allocations.
    pub(crate) run: String,
    pub(crate) tally: Tally,
    /// The sums as they were last written, and the log's count of lines that it dropped.
    pub(crate) tallied: (Tally, usize),
    pub(crate) dropped: ErrorCounter,
    pub(crate) stopping: bool,
    /// A second signal came.
    pub(crate) halted: bool,
}

pub(crate) fn words(status: u16, why: &str) -> Final {
    Final { status, body: format!("{why}\n").into(), retry_after: None, location: None }
}

impl Floor {
    /// ms since 1970, never going back.
    pub(crate) fn now(&self) -> f64 {
        self.clocks.now()
    }

    /// ms since 1970 as tokens and live titles have it.
    pub(crate) fn time_of_day(&self) -> f64 {
        self.wall.at(self.now())
    }

    pub(crate) fn clock(&mut self, at: f64, clock: Clock) {
        self.clocks.set(at, clock);
    }

    pub(crate) fn done(&self) -> bool {
        let idle = self.book.deciding() + self.book.playing() == 0 && self.errands_out == 0;
        self.halted || self.stopping && idle && !self.lines.waits(|role| matches!(role, Role::Player(_)))
    }

    pub(crate) fn name(&self, server: u32) -> &str {
        self.servers.get(server as usize).map_or("?", |s| s.name.as_str())
    }

    pub(crate) fn set_due(&mut self, key: Key, due: f64) {
        if let Some(line) = self.lines.get(key) {
            line.due = due;
            self.clock(due, Clock::Line(key));
        }
    }

    pub(crate) fn take_connections(&self, so: bool) {
        let Some(door) = &self.door else { return };
        let done = if so { self.handle.enable(door) } else { self.handle.disable(door) };
        if let Err(e) = done {
            error!(target: "front", "the listening socket can't be set: {e}");
        }
    }

    /// Writes the sums, where they have changed since they were last written.
    pub(crate) fn write_tally(&mut self) {
        let sums = (self.tally, self.dropped.dropped_lines());
        if sums == self.tallied {
            return;
        }
        self.tallied = sums;
        let Tally { taken, away, played, declined, failed, left, ended, lost, allocations, segments } =
            sums.0;
        let deciding = self.book.deciding();
        info!(
            target: "tally", taken, away, played, declined, failed, left, deciding, ended, lost, allocations, segments,
            lines_dropped = sums.1, "since the start",
        );
    }

    // ---- answers to players ----

    /// Seconds to stay away that a player is told.
    pub(crate) fn retry_after(&self) -> u64 {
        (self.rundown.rules.retry_after_ms / 1000.0).ceil().max(1.0) as u64
    }

    pub(crate) fn away(&self, why: &str) -> Final {
        Final { retry_after: Some(self.retry_after()), ..words(503, why) }
    }

    pub(crate) fn answer(&mut self, key: Key, answer: &Final) {
        let keep_alive = self.lines.get(key).is_some_and(|line| !line.manner.last);
        self.write_answer(key, answer, keep_alive);
        self.answered(key);
    }

    /// Answers and closes.
    pub(crate) fn leave(&mut self, key: Key, answer: &Final) {
        self.write_answer(key, answer, false);
        if let Some(line) = self.lines.get(key) {
            line.manner.last = true;
        }
        self.answered(key);
    }

    pub(crate) fn write_answer(&mut self, key: Key, answer: &Final, keep_alive: bool) {
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
        http::head(&mut out, answer.status, answer.body.len() as u64, keep_alive, &more);
        if let Some(line) = self.lines.get(key) {
            if !line.manner.bare && answer.status != 204 {
                out.extend_from_slice(answer.body.as_bytes());
            }
            line.write(&out);
            line.flush();
        }
    }

    /// The answer on this connection is written, or waits in its buffer: on to the next request, or leave.
    pub(crate) fn answered(&mut self, key: Key) {
        let now = self.now();
        let limits = &self.rundown.limits;
        let (idle, slow, rate) = (limits.idle_ms, limits.slow_reader_ms, limits.slow_reader_kb);
        let Some(line) = self.lines.get(key) else { return };
        let pending = line.pending();
        let leaving = line.manner.last;
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

    pub(crate) fn wait_for(&mut self, key: Key, play: u64) {
        if let Some(line) = self.lines.get(key) {
            line.role = Role::Player(Doing::Waiting(play));
            line.due = f64::INFINITY;
        }
    }

    pub(crate) fn player_gone(&mut self, key: Key) {
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
    pub(crate) fn playing(&mut self, player: Key, pass: &str) -> Result<u64, Final> {
        let from = self.lines.get(player).and_then(|line| line.from());
        let (now, limits) = (self.time_of_day(), &self.rundown.limits);
        let pass = self.pass_keys.signed_pass(pass, (now / 1000.0) as u64);
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
            return Err(words(Fault::Expired.status(), &Fault::Expired.to_string()));
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
        let pass = Pass {
            sid: session.id.clone(),
            product: product.name.clone(),
            title: title.name.clone(),
            exp: ((self.time_of_day() + self.rundown.limits.pass_ms) / 1000.0).ceil() as u64,
        };
        let pass = self.pass_keys.sign(&pass);
        let bits = |rung: &Rung| ((rung.rate_kb * product.scale * 8000.0).ceil() as u64).max(1);
        let bandwidths: Vec<u64> = self.rundown.ladder[..=top].iter().map(bits).collect();
        let mut presentation = Presentation::clone(&title.shape);
        presentation.base = address::base(&pass);
        presentation.location = presentation.live.is_some().then(|| address::again(&pass));
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

    // ---- servers ----

    /// Where a server has a play's so-many-th allocation: its name is never used again, by this run or another.
    pub(crate) fn allocation(&self, play: u64, n: usize) -> String {
        format!("/plays/{}-{play}-{n}", self.run)
    }

    pub(crate) fn request_to(&self, server: u32, method: &str, target: &str, body: &str) -> Vec<u8> {
        let address = self.servers[server as usize].address;
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!("{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}\r\n{body}").into_bytes()
    }

    pub(crate) fn dial(&mut self, server: u32, role: Role) -> io::Result<Key> {
        let address = self.servers[server as usize].address;
        let stream = pulleystair_lines::connect(address)?;
        let seal = match &self.seals.servers {
            Some(sealed) => {
                let name =
                    rustls::pki_types::ServerName::try_from(self.servers[server as usize].name.clone());
                let name = name.map_err(io::Error::other)?;
                let seal = rustls::ClientConnection::new(sealed.terms.clone(), name);
                Some(seal.map_err(io::Error::other)?.into())
            }
            None => None,
        };
        self.lines.open(stream, seal, role)
    }

    /// Has the errand run on an idle connection, a new one, or once one comes free.
    pub(crate) fn run_errand(&mut self, server: u32, errand: Errand) {
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
            return self.errand_lost(errand, 503, "too many requests wait for the server");
        }
        self.errands_out += 1;
        self.on_new_line(server, errand);
    }

    /// False where it can't be had; the errand is lost then.
    pub(crate) fn on_new_line(&mut self, server: u32, errand: Errand) -> bool {
        match self.dial(server, Role::Errands { server, errand: None, fresh: true }) {
            Ok(key) => {
                self.servers[server as usize].lines += 1;
                self.begin(key, errand);
                true
            }
            Err(e) => {
                debug!(target: "server", server = self.name(server), "not reached: {e}");
                self.errands_out -= 1;
                self.errand_lost(errand, 502, "the media server can't be reached");
                false
            }
        }
    }

    pub(crate) fn begin(&mut self, key: Key, it: Errand) {
        if let What::Segment { player, .. } = it.what {
            self.fetchers.insert(player, key);
        }
        let due = self.now() + self.rundown.limits.segment_ms;
        if let Some(line) = self.lines.get(key)
            && let Role::Errands { errand, .. } = &mut line.role
        {
            // What is wanted of it goes before the empty line that ends the head.
            let wanted = it.reading.as_ref().map(|r| r.headers()).unwrap_or_default();
            let (head, end) = it.request.split_at(it.request.len() - if wanted.is_empty() { 0 } else { 2 });
            let request = [head, wanted.as_bytes(), end].concat();
            *errand = Some(it);
            line.write(&request);
            line.flush();
        }
        self.set_due(key, due);
    }

    /// An errand is over: the next that waits has its turn.
    pub(crate) fn next_errand(&mut self, server: u32) {
        self.errands_out = self.errands_out.saturating_sub(1);
        self.take_turns(server);
    }

    /// Has those that wait for a connection run until one of them has one. A read whose player is gone is not begun.
    fn take_turns(&mut self, server: u32) {
        while let Some(errand) = self.servers[server as usize].queue.pop_front() {
            self.errands_out -= 1;
            if let What::Segment { player, .. } = errand.what
                && self.lines.get(player).is_none()
            {
                continue;
            }
            self.run_errand(server, errand);
            if self.servers[server as usize].lines > 0 {
                return;
            }
        }
    }

    /// Closes a pooled connection; an errand that it is on is no longer wanted.
    pub(crate) fn drop_errands_line(&mut self, key: Key) {
        if let Some(Role::Errands { server, errand, .. }) = self.lines.close(key) {
            let at = &mut self.servers[server as usize];
            at.lines -= 1;
            at.idle.retain(|k| *k != key);
            if let Some(errand) = errand {
                self.next_errand(server);
                self.rung_was_told(errand.what, true);
            }
        }
    }

    /// The errand got no answer, or not all of it. A segment's read may go on, on a new connection; a word or a
    /// probe only if it was sent on a connection that the server had closed meanwhile.
    pub(crate) fn errand_failed(&mut self, key: Key, fault: reads::Fault) {
        let Some(Role::Errands { server, errand, fresh }) = self.lines.close(key) else { return };
        let now = self.now();
        let at = &mut self.servers[server as usize];
        at.lines -= 1;
        at.idle.retain(|k| *k != key);
        let Some(mut errand) = errand else { return };
        let begun = errand.left.is_some();
        let stale = !fresh && !begun && matches!(fault, reads::Fault::Broken | reads::Fault::Unreachable);
        let fault = if stale { reads::Fault::Stale } else { fault };
        let next = match &errand.reading {
            Some(reading) => at.budget.after(now, &self.rundown.reads.terms(), &reading.so_far(), fault),
            None if stale => Next::Again { from: 0 },
            None => Next::Answer(502),
        };
        debug!(target: "server", server = self.name(server), what = ?errand.what, ?fault, ?next, "errand failed");
        match next {
            Next::Again { .. } => {
                errand.left = None;
                if let Some(reading) = errand.reading.as_mut().filter(|_| !stale) {
                    reading.tries += 1;
                }
                // It goes on as the same errand, so nothing else takes its turn, unless it has come to its end.
                if !self.on_new_line(server, errand) {
                    self.take_turns(server);
                }
                return;
            }
            Next::Answer(status) => self.errand_lost(errand, status, "the media server did not answer well"),
            Next::Cut => {
                if let What::Segment { player, .. } = errand.what {
                    self.player_cut(player);
                }
            }
        }
        self.next_errand(server);
    }

    /// So many bytes of the read on this connection have gone to its player.
    pub(crate) fn gave(&mut self, key: Key, bytes: u64) {
        if let Some(line) = self.lines.get(key)
            && let Role::Errands { errand: Some(Errand { reading: Some(reading), .. }), .. } = &mut line.role
        {
            reading.gave(bytes);
        }
    }

    /// A segment that broke off in the middle: its connection is closed, so that the player sees it is short.
    pub(crate) fn player_cut(&mut self, player: Key) {
        self.fetchers.remove(&player);
        self.player_gone(player);
    }

    /// The errand is given up; a player that waits for it is told, or cut off where a part had gone out.
    pub(crate) fn errand_lost(&mut self, errand: Errand, status: u16, why: &str) {
        self.rung_was_told(errand.what, false);
        let What::Segment { player, play, .. } = errand.what else { return };
        if errand.reading.is_some_and(|r| r.so_far().given.is_some()) {
            return self.player_cut(player);
        }
        let over = self.book.get(play).is_none_or(|s| s.life() != Life::Playing);
        let answer = match status {
            _ if over => words(410, "this session has ended"),
            503 => self.away(why),
            _ => words(status, why),
        };
        self.segment_answer(player, play, &answer);
    }

    pub(crate) fn segment_answer(&mut self, player: Key, play: u64, answer: &Final) {
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

    /// Tells the server of a play the rung that it now has. One whose set-up is still out is told once it plays: a
    /// word that overtakes the set-up would find no play there.
    pub(crate) fn tell_rung(&mut self, play: u64) {
        let Some(session) = self.book.get_mut(play) else { return };
        let (Life::Playing, Some(server), n) = (session.life(), session.server, session.allocations()) else {
            return;
        };
        let rung = session.rung;
        if session.told == Some(rung) || session.telling {
            return;
        }
        (session.told, session.telling) = (Some(rung), true);
        let target = self.allocation(play, n);
        let request = self.request_to(server, "PATCH", &target, &format!("{{\"rung\":{rung}}}"));
        self.run_errand(server, Errand::new(What::Step { play }, request));
    }

    /// The word of a step is under way no more: a step that came meanwhile is told now, and one that was not answered
    /// again after a while, since the server may still run the play on the rung before.
    pub(crate) fn rung_was_told(&mut self, what: What, answered: bool) {
        let What::Step { play } = what else { return };
        let again = self.now() + self.rundown.limits.segment_ms;
        let Some(session) = self.book.get_mut(play) else { return };
        session.telling = !answered;
        if answered {
            self.tell_rung(play);
        } else {
            self.clock(again, Clock::Rung(play));
        }
    }

    /// The time to tell a lost step again has come.
    pub(crate) fn rung_due(&mut self, play: u64) {
        let Some(session) = self.book.get_mut(play) else { return };
        (session.told, session.telling) = (None, false);
        self.tell_rung(play);
    }

    pub(crate) fn segment_head(&mut self, player: Key, play: u64, of: &Head) {
        let Some(session) = self.book.get(play) else { return };
        let product = &self.rundown.products[session.product];
        let kbps = (self.rundown.ladder[session.rung].rate_kb * product.scale * 8.0).ceil() as u64;
        // CTA-5006: the maximum suggested bitrate, kbit/s.
        let mut more =
            vec!["Content-Type: video/mp4".to_string(), format!("CMSD-Dynamic: \"pulleystair\";mb={kbps}")];
        more.push("Accept-Ranges: bytes".into());
        // Its address holds the viewer's pass: nobody else's cache is to keep it, and not beyond the pass.
        let keep = (self.rundown.limits.pass_ms / 1000.0) as u64;
        more.push(format!("Cache-Control: private, max-age={keep}"));
        more.extend(of.tag.iter().map(|tag| format!("ETag: {tag}")));
        if let Some((first, last, whole)) = of.range {
            more.push(format!("Content-Range: bytes {first}-{last}/{whole}"));
        }
        let limits = &self.rundown.limits;
        let due = self.now() + limits.slow_reader_ms + of.length as f64 / limits.slow_reader_kb;
        let Some(line) = self.lines.get(player) else { return };
        let mut out = Vec::new();
        http::head(&mut out, of.status, of.length, !line.manner.last, &more);
        line.write(&out);
        self.set_due(player, due);
    }
}

impl Hands for Floor {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(n) = self.book.send(now, play, server, rung) else {
            // Rule 2: what the book does not allow does not go out.
            error!(target: "play", play, server = self.name(server), "not sent: the play has no such step");
            return self.news.push_back(News { play, server, outcome: Outcome::NeverSent });
        };
        self.out += 1;
        self.tally.allocations += 1;
        let Some(session) = self.book.get(play) else { return };
        let product = session.product;
        let body = serde_json::json!({
            "title": session.show.name,
            "product": self.rundown.products[product].name,
            "rung": rung,
            "session": session.id,
        });
        let target = self.allocation(play, n);
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
        self.tell_rung(play);
    }

    fn probe(&mut self, server: u32) {
        let request = self.request_to(server, "GET", "/load", "");
        self.run_errand(server, Errand::new(What::Probe, request));
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
pub(crate) fn figures(load: Option<&str>) -> Vec<Figure> {
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
pub(crate) fn note_figures(line: &[u8]) -> Option<Vec<Figure>> {
    let note: HashMap<String, f64> = serde_json::from_slice(line).ok()?;
    let of = |name: &str, figure: fn(f64) -> Figure| note.get(name).copied().map(figure);
    let all = [of("delivered", Figure::Delivered), of("link", Figure::Link), of("uplink", Figure::Uplink)];
    Some(all.into_iter().flatten().collect())
}
