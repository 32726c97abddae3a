//! Gossip between the fronts of a fleet, after scuttlebutt reconciliation (van Renesse et al., 2008). Each front keeps one
//! row per front ("origin"), versioned by the origin's incarnation (as in SWIM, Das et al., 2002) and its count of
//! changes. In a round, a front asks a few peers and reports up to which version it knows which rows. Each peer answers
//! with the changes that the front lacks, and asks in turn for those that the peer lacks. The module does no I/O and reads
//! no clock: the caller (`pulleystair-fleet-member`) passes in the time (ms), received bytes and a seed, and sends the
//! returned datagrams.
//!
//! A front applies only answers to a recent question of its own. It can therefore bound the age of each row without
//! synchronised clocks: the age is at most the time since the question plus the age that the answering peer gives, which
//! that peer has bounded in the same way. Delay, duplication and reordering can make a row appear older than it is, never
//! younger.
//!
//! A front that has not been heard is *doubted* after a while and *unheard* after a longer while. Its last row is kept,
//! because bounds may depend on it. The bytes sent per second stay under a limit, whatever the size of the fleet.

pub mod message;
mod row;
mod view;

use message::{Change, FrontId, MAX_BYTES, Message, MessageError, RowVersion};
use oorandom::Rand32;
use row::{ChangeResult, Row};
use std::collections::{BTreeMap, VecDeque};
pub use view::{Datagram, FrontView, GossipStats, Liveness};

/// Maximum relative error of one front's clock. Durations that must not be too short are extended by it.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Number of remembered questions above which a round drops the oldest one for each that it adds, or the questions of four
/// rounds if they are more. A question that goes out with an answer is remembered as well and drops none. Answers to
/// questions that are no longer remembered are discarded.
const MAX_OPEN_QUESTIONS: usize = 64;
/// Rows listed in one question beside this front's own: at most the `LATEST_ROWS` that changed last, and `ROTATING_ROWS`
/// others in rotation.
const LATEST_ROWS: usize = 14;
const ROTATING_ROWS: usize = 18;
/// Maximum number of datagrams that answer one datagram.
const MAX_ANSWERS: usize = 4;
/// Maximum size of a cell's value, bytes: it must fit into one datagram together with its header.
pub const MAX_CELL_BYTES: usize = 1_000;

/// What a [`Gossip`] is made with.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// Name of the fleet; datagrams of other fleets are ignored.
    pub fleet: String,
    /// Name of this front.
    pub name: String,
    /// Names of all other fronts.
    pub peers: Vec<String>,
    /// Mean time between two rounds, ms.
    pub interval: f64,
    /// Number of peers asked in each round.
    pub fan_out: usize,
    /// Maximum number of bytes sent per second, questions and answers together.
    pub max_bytes_per_second: f64,
    /// A front is doubted once its row is older than this, ms.
    pub doubted_after: f64,
    /// A front is unheard once its row is older than this, ms.
    pub unheard_after: f64,
}

/// Why a list of peers was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerListError {
    /// A peer occurs twice, or has this front's own name.
    #[error("peers: {0:?} is listed twice or is this front itself")]
    Duplicate(String),
    /// Two names have the same CRC-32C, so the fronts cannot be distinguished.
    #[error("peers: {0:?} and {1:?} have the same checksum; rename one of them")]
    SameChecksum(String, String),
}

/// The identifier of a front: the CRC-32C of its name.
pub fn front_id(name: &str) -> FrontId {
    crc32c::crc32c(name.as_bytes())
}

/// One front's replica of all rows, and its part in the exchange.
pub struct Gossip {
    config: GossipConfig,
    fleet: u32,
    own_id: FrontId,
    rng: Rand32,
    names: BTreeMap<FrontId, String>,
    rows: BTreeMap<FrontId, Row>,
    /// Peers still to be asked, in random order. It is refilled once it is empty, so that all are asked equally often.
    order: Vec<FrontId>,
    /// Index of the row that was last listed in rotation.
    rotation: usize,
    nonce: u32,
    /// Recent questions of this front: nonce, peer, and when it was asked.
    open_questions: VecDeque<(u32, FrontId, f64)>,
    next_round_at: f64,
    /// Bytes that may be sent now, and when that was last updated.
    token_bucket: (f64, f64),
    /// Counters since the start.
    pub stats: GossipStats,
}

impl Gossip {
    /// Starts with an empty row of this front, and with none of the others' rows known. `incarnation` must be higher than
    /// in any earlier start of this front, e.g. the wall clock's Unix ms. If it is not, it is raised once a peer reports a
    /// newer row of this front. Fails if two names are equal or have the same checksum.
    pub fn new(config: GossipConfig, now: f64, incarnation: u64, seed: u64) -> Result<Gossip, PeerListError> {
        let own_id = front_id(&config.name);
        let mut names = BTreeMap::from([(own_id, config.name.clone())]);
        for peer in &config.peers {
            match names.insert(front_id(peer), peer.clone()) {
                Some(other) if other == *peer => return Err(PeerListError::Duplicate(other)),
                Some(other) => return Err(PeerListError::SameChecksum(other, peer.clone())),
                None => {}
            }
        }
        let mut rows: BTreeMap<FrontId, Row> = names.keys().map(|o| (*o, Row::default())).collect();
        rows.insert(own_id, Row { incarnation, as_of: f64::INFINITY, ..Row::default() });
        Ok(Gossip {
            fleet: crc32c::crc32c(config.fleet.as_bytes()),
            own_id,
            rng: Rand32::new(seed ^ u64::from(own_id)),
            names,
            rows,
            order: Vec::new(),
            rotation: 0,
            nonce: 0,
            open_questions: VecDeque::new(),
            next_round_at: now,
            token_bucket: (config.max_bytes_per_second, now),
            stats: GossipStats::default(),
            config,
        })
    }

    /// The identifier of this front.
    pub fn own_id(&self) -> FrontId {
        self.own_id
    }

    /// The current incarnation of this front's row.
    pub fn incarnation(&self) -> u64 {
        self.rows[&self.own_id].incarnation
    }

    /// The name of a front; "?" if it is unknown.
    pub fn name(&self, origin: FrontId) -> &str {
        self.names.get(&origin).map_or("?", String::as_str)
    }

    /// Writes a cell of this front's own row. Writing the same value again changes nothing. Returns false, and writes
    /// nothing, if the value is too long.
    pub fn set_cell(&mut self, key: u16, value: Vec<u8>) -> bool {
        let fits = value.len() <= MAX_CELL_BYTES;
        if let Some(row) = self.rows.get_mut(&self.own_id).filter(|_| fits)
            && row.cells.get(&key).is_none_or(|(_, old_value)| *old_value != value)
        {
            row.version += 1;
            row.set_cell(key, row.version, value);
        }
        fits
    }

    /// All fronts including this one, ordered by identifier.
    pub fn fronts(&self, now: f64) -> impl Iterator<Item = FrontView<'_>> {
        self.rows.iter().map(move |(origin, row)| self.view(now, *origin, row))
    }

    /// One front; `None` if it is not in this fleet.
    pub fn front(&self, now: f64, origin: FrontId) -> Option<FrontView<'_>> {
        self.rows.get(&origin).map(|row| self.view(now, origin, row))
    }

    /// A row with its age, and the liveness and contradiction that follow from the time.
    fn view<'a>(&self, now: f64, origin: FrontId, row: &'a Row) -> FrontView<'a> {
        let age = row.age(now);
        let liveness = match age {
            _ if age > self.config.unheard_after => Liveness::Unheard,
            _ if age > self.config.doubted_after => Liveness::Doubted,
            _ => Liveness::Heard,
        };
        let contradictory = now < row.contradicted_at + self.config.unheard_after;
        let Row { incarnation, version, .. } = *row;
        FrontView { origin, incarnation, version, age, liveness, contradictory, row }
    }

    /// When the next round starts.
    pub fn next_deadline(&self) -> f64 {
        self.next_round_at
    }

    /// Asks a few peers if a round is due.
    pub fn run_round(&mut self, now: f64) -> Vec<Datagram> {
        if now < self.next_round_at {
            return Vec::new();
        }
        // The interval is randomised, so that fronts that start together do not all ask at the same time.
        self.next_round_at = now + self.config.interval * (0.75 + 0.5 * f64::from(self.rng.rand_float()));
        let mut out = Vec::new();
        for _ in 0..self.config.fan_out.min(self.rows.len() - 1) {
            let Some(to) = self.next_peer() else { break };
            self.nonce = self.nonce.wrapping_add(1);
            self.open_questions.push_back((self.nonce, to, now));
            if self.open_questions.len() > MAX_OPEN_QUESTIONS.max(4 * self.config.fan_out) {
                self.open_questions.pop_front();
            }
            let known = self
                .rows_to_ask_about()
                .into_iter()
                .map(|o| self.rows[&o].received_version(now, o))
                .collect();
            let question = Message {
                from: self.own_id,
                nonce: self.nonce,
                echo: None,
                wants_answer: true,
                known,
                changes: Vec::new(),
            };
            self.push_datagram(now, to, &question, &mut out);
        }
        out
    }

    /// The peer to ask next.
    fn next_peer(&mut self) -> Option<FrontId> {
        if self.order.is_empty() {
            self.order = self.rows.keys().copied().filter(|o| *o != self.own_id).collect();
            for i in (1..self.order.len()).rev() {
                self.order.swap(i, self.rng.rand_range(0..i as u32 + 1) as usize);
            }
        }
        self.order.pop()
    }

    /// Rows to list in a question: this front's own, those that changed last, and others in rotation.
    fn rows_to_ask_about(&mut self) -> Vec<FrontId> {
        let mut latest: Vec<(f64, FrontId)> = self.rows.iter().map(|(o, row)| (row.changed_at, *o)).collect();
        let mut out = vec![self.own_id];
        if latest.len() <= LATEST_ROWS + ROTATING_ROWS {
            out.extend(latest.iter().map(|l| l.1).filter(|o| *o != self.own_id));
            return out;
        }
        let all: Vec<FrontId> = self.rows.keys().copied().collect();
        latest.sort_by(|a, b| b.0.total_cmp(&a.0));
        out.extend(latest.iter().take(LATEST_ROWS).map(|l| l.1).filter(|o| *o != self.own_id));
        for _ in 0..ROTATING_ROWS {
            self.rotation = (self.rotation + 1) % all.len();
            if !out.contains(&all[self.rotation]) {
                out.push(all[self.rotation]);
            }
        }
        out
    }

    /// Handles a received datagram. The returned answers go to the peer that sent it.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) -> Vec<Datagram> {
        let mut out = Vec::new();
        let message = match Message::decode(bytes, self.fleet) {
            Ok(message) => message,
            Err(error) => {
                let counter = match error {
                    MessageError::TooLong => &mut self.stats.long,
                    MessageError::OtherVersion => &mut self.stats.version,
                    MessageError::OtherFleet => &mut self.stats.foreign,
                    MessageError::Corrupt => &mut self.stats.spoilt,
                    MessageError::ImpossibleAge => &mut self.stats.ages,
                };
                *counter += 1;
                return out;
            }
        };
        if message.from == self.own_id || !self.rows.contains_key(&message.from) {
            self.stats.unknown += 1;
            return out;
        }
        // The age of a row can be bounded only if it answers a question of this front.
        let asked_at = message
            .echo
            .map(|echo| self.open_questions.iter().find(|a| (a.0, a.1) == (echo, message.from)).map(|a| a.2));
        if asked_at == Some(None) {
            self.stats.late += 1;
            return out;
        }
        self.stats.taken += 1;
        if let Some(asked_at) = asked_at.flatten() {
            for change in &message.changes {
                self.apply_change(now, asked_at, change);
            }
            for known in &message.known {
                self.confirm(now, asked_at, known);
            }
        }
        if message.wants_answer {
            self.answer(now, &message, asked_at.is_none(), &mut out);
        }
        out
    }

    /// Applies a change of a row; `asked_at` is when this front asked the question that it answers.
    fn apply_change(&mut self, now: f64, asked_at: f64, change: &Change) {
        let known = &change.known;
        if known.origin == self.own_id {
            return self.raise_incarnation(known);
        }
        let Some(row) = self.rows.get_mut(&known.origin) else {
            self.stats.unknown += 1;
            return;
        };
        match row.apply(now, change) {
            ChangeResult::Accepted | ChangeResult::Outdated => row.confirm(now, asked_at, known),
            ChangeResult::Gap => self.stats.gaps += 1,
            ChangeResult::ChecksumMismatch => self.stats.altered += 1,
        }
    }

    /// Uses a peer's report that it knows a row at this version: the report bounds the row's age, or reveals a
    /// contradiction.
    fn confirm(&mut self, now: f64, asked_at: f64, known: &RowVersion) {
        if known.origin == self.own_id {
            self.raise_incarnation(known);
        } else if let Some(row) = self.rows.get_mut(&known.origin) {
            row.confirm(now, asked_at, known);
        }
    }

    /// Raises this front's incarnation above the one that a peer knows, if the peer knows a newer version of this front's
    /// own row than this front does. That row was written before a restart, under a clock that ran ahead, or by another
    /// process with the same name. The higher incarnation replaces it in both cases.
    fn raise_incarnation(&mut self, known: &RowVersion) {
        let Some(row) = self.rows.get_mut(&self.own_id) else { return };
        if (known.incarnation, known.version) > (row.incarnation, row.version) {
            row.incarnation = known.incarnation.saturating_add(1);
            self.stats.claimed += 1;
        }
    }

    /// Answers a question, or the question that came with an answer. Asks back only if `may_ask_back`.
    fn answer(&mut self, now: f64, message: &Message, may_ask_back: bool, out: &mut Vec<Datagram>) {
        let mut answers = vec![Message {
            from: self.own_id,
            nonce: self.nonce,
            echo: Some(message.nonce),
            wants_answer: false,
            known: Vec::new(),
            changes: Vec::new(),
        }];
        for theirs in &message.known {
            let Some(row) = self.rows.get(&theirs.origin) else {
                self.stats.unknown += 1;
                continue;
            };
            let ours = row.row_version(now, theirs.origin);
            let is_newer = (ours.incarnation, ours.version) > (theirs.incarnation, theirs.version);
            let is_older = (ours.incarnation, ours.version) < (theirs.incarnation, theirs.version);
            if is_older && theirs.origin == self.own_id {
                self.raise_incarnation(theirs);
                continue;
            }
            if is_older && may_ask_back {
                answers[0].wants_answer = true;
                answers[0].known.push(row.received_version(now, theirs.origin));
            }
            let is_fresher = ours.age.is_some_and(|age| theirs.age.is_none_or(|t| t > age));
            if !is_newer && !is_older && (is_fresher || ours.checksum != theirs.checksum) {
                answers[0].known.push(ours);
            }
            if is_newer {
                let after_version = if ours.incarnation == theirs.incarnation { theirs.version } else { 0 };
                self.rows[&theirs.origin].append_changes(ours, after_version, &mut answers);
            }
        }
        // The question that is sent with the answer gets a nonce of its own.
        if answers[0].wants_answer {
            self.nonce = self.nonce.wrapping_add(1);
            answers[0].nonce = self.nonce;
            self.open_questions.push_back((self.nonce, message.from, now));
        }
        let is_empty = |m: &Message| m.known.is_empty() && m.changes.is_empty();
        for answer in answers.iter().take(MAX_ANSWERS).filter(|m| !is_empty(m)) {
            self.push_datagram(now, message.from, answer, out);
        }
    }

    /// Appends a datagram to `out`, unless it is too long or the rate limit is used up.
    fn push_datagram(&mut self, now: f64, to: FrontId, message: &Message, out: &mut Vec<Datagram>) {
        let bytes = message.encode(self.fleet);
        let rate = self.config.max_bytes_per_second;
        self.token_bucket =
            ((self.token_bucket.0 + (now - self.token_bucket.1) * rate / 1000.0).min(rate), now);
        if self.token_bucket.0 < bytes.len() as f64 || bytes.len() > MAX_BYTES {
            self.stats.held_back += 1;
            return;
        }
        self.token_bucket.0 -= bytes.len() as f64;
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        out.push(Datagram { to, bytes });
    }
}
