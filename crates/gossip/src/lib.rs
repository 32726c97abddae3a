//! The exchange between the fronts of a fleet, after scuttlebutt reconciliation (van Renesse et al., 2008): each front
//! keeps rows, one an origin, versioned by that origin's incarnation (as in SWIM, Das et al., 2002) and its count of
//! changes. In a round a front tells a few others how far it knows which rows; they answer with what it lacks, and it
//! with what they lack. No I/O and no clock: time, bytes and a seed come in; bytes and whom to send them to go out.
//!
//! Nothing is taken that does not answer a question of this front's own, of this moment. So each row comes with the
//! most that its age can be, with no agreement of clocks: the time since the question, plus the age that the answerer
//! gives, which it has in the same way. Delay, doubling and reorder make a row older than it is, never younger.
//!
//! A front that is not heard is *doubted* after a while and *unheard* after a longer one; its last row stays, as bounds
//! may rest on it. What is sent stays under a rate, whatever the size of the fleet.

pub mod message;
mod row;
mod view;

use message::{Change, MAX_BYTES, Message, MessageError, Origin, RowVersion};
use oorandom::Rand32;
use row::{Row, Taken};
use std::collections::{BTreeMap, VecDeque};
pub use view::{Datagram, FrontView, GossipStats, Liveness};

/// Clocks of two fronts run apart by no more than this part; spans that must not be too short are longer by it.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Questions whose answers are still taken.
const ASKED: usize = 64;
/// Rows told of in one question: so many that changed last, and so many in turn.
const LATEST: usize = 14;
const IN_TURN: usize = 18;
/// Datagrams that answer one.
const ANSWERS: usize = 4;
/// A cell's value, bytes: it must fit into a datagram with its head.
pub const MAX_CELL_BYTES: usize = 1_000;

#[derive(Clone, Debug)]
pub struct GossipConfig {
    pub fleet: String,
    pub name: String,
    pub peers: Vec<String>,
    /// How often a front asks, ms, and how many others each time.
    pub interval: f64,
    pub fan_out: usize,
    /// Bytes sent in a second, at most; questions and answers.
    pub bytes_s: f64,
    /// Not heard for so long, ms.
    pub doubted_after: f64,
    pub unheard_after: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerListError {
    #[error("peers: {0:?} is listed twice, or is this front")]
    Twice(String),
    #[error("peers: {0:?} and {1:?} have one checksum; rename one of them")]
    Alike(String, String),
}

pub fn origin_of(name: &str) -> Origin {
    crc32c::crc32c(name.as_bytes())
}

pub struct Gossip {
    terms: GossipConfig,
    fleet: u32,
    own: Origin,
    rnd: Rand32,
    names: BTreeMap<Origin, String>,
    rows: BTreeMap<Origin, Row>,
    /// Others in an order drawn anew each time it is through: each is asked equally often.
    order: Vec<Origin>,
    /// Where the rows told of in turn go on.
    turn: usize,
    nonce: u32,
    asked: VecDeque<(u32, Origin, f64)>,
    next: f64,
    purse: (f64, f64),
    pub stats: GossipStats,
}

impl Gossip {
    /// `incarnation` must be above that of any earlier start of this front, as a wall clock's reading is; one that is
    /// not is raised once a peer tells.
    pub fn new(terms: GossipConfig, now: f64, incarnation: u64, seed: u64) -> Result<Gossip, PeerListError> {
        let own = origin_of(&terms.name);
        let mut names = BTreeMap::from([(own, terms.name.clone())]);
        for peer in &terms.peers {
            match names.insert(origin_of(peer), peer.clone()) {
                Some(other) if other == *peer => return Err(PeerListError::Twice(other)),
                Some(other) => return Err(PeerListError::Alike(other, peer.clone())),
                None => {}
            }
        }
        let mut rows: BTreeMap<Origin, Row> = names.keys().map(|o| (*o, Row::default())).collect();
        rows.insert(own, Row { incarnation, as_of: f64::INFINITY, ..Row::default() });
        Ok(Gossip {
            fleet: crc32c::crc32c(terms.fleet.as_bytes()),
            own,
            rnd: Rand32::new(seed ^ u64::from(own)),
            names,
            rows,
            order: Vec::new(),
            turn: 0,
            nonce: 0,
            asked: VecDeque::new(),
            next: now,
            purse: (terms.bytes_s, now),
            stats: GossipStats::default(),
            terms,
        })
    }

    pub fn own(&self) -> Origin {
        self.own
    }

    pub fn incarnation(&self) -> u64 {
        self.rows[&self.own].incarnation
    }

    pub fn name(&self, origin: Origin) -> &str {
        self.names.get(&origin).map_or("?", String::as_str)
    }

    /// Writes a cell of this front's own row; a value that stands there already is no change. False where it is too long.
    pub fn put(&mut self, key: u16, value: Vec<u8>) -> bool {
        let fits = value.len() <= MAX_CELL_BYTES;
        if let Some(row) = self.rows.get_mut(&self.own).filter(|_| fits)
            && row.cells.get(&key).is_none_or(|(_, was)| *was != value)
        {
            row.version += 1;
            row.set(key, row.version, value);
        }
        fits
    }

    /// All fronts, this one among them, by name's checksum.
    pub fn fronts(&self, now: f64) -> impl Iterator<Item = FrontView<'_>> {
        self.rows.iter().map(move |(origin, row)| self.view(now, *origin, row))
    }

    pub fn front(&self, now: f64, origin: Origin) -> Option<FrontView<'_>> {
        self.rows.get(&origin).map(|row| self.view(now, origin, row))
    }

    fn view<'a>(&self, now: f64, origin: Origin, row: &'a Row) -> FrontView<'a> {
        let age = row.age(now);
        let silence = match age {
            _ if age > self.terms.unheard_after => Liveness::Unheard,
            _ if age > self.terms.doubted_after => Liveness::Doubted,
            _ => Liveness::Heard,
        };
        let contradictory = now < row.contradicted + self.terms.unheard_after;
        let Row { incarnation, version, .. } = *row;
        FrontView { origin, incarnation, version, age, silence, contradictory, row }
    }

    /// When the next round is due.
    pub fn next_deadline(&self) -> f64 {
        self.next
    }

    /// Asks a few others, if a round is due.
    pub fn run_round(&mut self, now: f64) -> Vec<Datagram> {
        if now < self.next {
            return Vec::new();
        }
        // Uneven, so that fronts which started together do not ask together.
        self.next = now + self.terms.interval * (0.75 + 0.5 * f64::from(self.rnd.rand_float()));
        let mut out = Vec::new();
        for _ in 0..self.terms.fan_out.min(self.rows.len() - 1) {
            let Some(to) = self.whom() else { break };
            self.nonce = self.nonce.wrapping_add(1);
            self.asked.push_back((self.nonce, to, now));
            if self.asked.len() > ASKED.max(4 * self.terms.fan_out) {
                self.asked.pop_front();
            }
            let known = self.told_of().into_iter().map(|o| self.rows[&o].had(now, o)).collect();
            let it = Message {
                from: self.own,
                nonce: self.nonce,
                echo: None,
                asks: true,
                known,
                changes: Vec::new(),
            };
            self.send(now, to, &it, &mut out);
        }
        out
    }

    fn whom(&mut self) -> Option<Origin> {
        if self.order.is_empty() {
            self.order = self.rows.keys().copied().filter(|o| *o != self.own).collect();
            for i in (1..self.order.len()).rev() {
                self.order.swap(i, self.rnd.rand_range(0..i as u32 + 1) as usize);
            }
        }
        self.order.pop()
    }

    /// Rows for a question: this front's own, those that changed last, and others in turn.
    fn told_of(&mut self) -> Vec<Origin> {
        let mut latest: Vec<(f64, Origin)> = self.rows.iter().map(|(o, row)| (row.changed, *o)).collect();
        let mut out = vec![self.own];
        if latest.len() <= LATEST + IN_TURN {
            out.extend(latest.iter().map(|l| l.1).filter(|o| *o != self.own));
            return out;
        }
        let all: Vec<Origin> = self.rows.keys().copied().collect();
        latest.sort_by(|a, b| b.0.total_cmp(&a.0));
        out.extend(latest.iter().take(LATEST).map(|l| l.1).filter(|o| *o != self.own));
        for _ in 0..IN_TURN {
            self.turn = (self.turn + 1) % all.len();
            if !out.contains(&all[self.turn]) {
                out.push(all[self.turn]);
            }
        }
        out
    }

    /// A datagram came. What answers it goes to the peer that it is from.
    pub fn receive(&mut self, now: f64, bytes: &[u8]) -> Vec<Datagram> {
        let mut out = Vec::new();
        let it = match Message::decode(bytes, self.fleet) {
            Ok(it) => it,
            Err(fault) => {
                let count = match fault {
                    MessageError::Long => &mut self.stats.long,
                    MessageError::Version => &mut self.stats.version,
                    MessageError::Foreign => &mut self.stats.foreign,
                    MessageError::Spoilt => &mut self.stats.spoilt,
                    MessageError::Age => &mut self.stats.ages,
                };
                *count += 1;
                return out;
            }
        };
        if it.from == self.own || !self.rows.contains_key(&it.from) {
            self.stats.unknown += 1;
            return out;
        }
        // Only what answers a question of ours has an age that we can tell.
        let asked =
            it.echo.map(|echo| self.asked.iter().find(|a| (a.0, a.1) == (echo, it.from)).map(|a| a.2));
        if asked == Some(None) {
            self.stats.late += 1;
            return out;
        }
        self.stats.taken += 1;
        if let Some(asked) = asked.flatten() {
            for change in &it.changes {
                self.take(now, asked, change);
            }
            for known in &it.known {
                self.vouched(now, asked, known);
            }
        }
        if it.asks {
            self.answer(now, &it, asked.is_none(), &mut out);
        }
        out
    }

    /// Takes what changed in a row.
    fn take(&mut self, now: f64, asked: f64, change: &Change) {
        let known = &change.known;
        if known.origin == self.own {
            return self.claimed(known);
        }
        let Some(row) = self.rows.get_mut(&known.origin) else {
            self.stats.unknown += 1;
            return;
        };
        match row.take(now, change) {
            Taken::Yes | Taken::Old => row.vouched(now, asked, known),
            Taken::Gap => self.stats.gaps += 1,
            Taken::Altered => self.stats.altered += 1,
        }
    }

    fn vouched(&mut self, now: f64, asked: f64, known: &RowVersion) {
        if known.origin == self.own {
            self.claimed(known);
        } else if let Some(row) = self.rows.get_mut(&known.origin) {
            row.vouched(now, asked, known);
        }
    }

    /// Somebody knows more of this front than it has said: it was said before a restart under a clock that ran ahead,
    /// or by another that goes by this name. A higher incarnation than both ends it.
    fn claimed(&mut self, known: &RowVersion) {
        let Some(row) = self.rows.get_mut(&self.own) else { return };
        if (known.incarnation, known.version) > (row.incarnation, row.version) {
            row.incarnation = known.incarnation.saturating_add(1);
            self.stats.claimed += 1;
        }
    }

    /// Answers a question, or the question that came with an answer.
    fn answer(&mut self, now: f64, it: &Message, first: bool, out: &mut Vec<Datagram>) {
        let mut answers = vec![Message {
            from: self.own,
            nonce: self.nonce,
            echo: Some(it.nonce),
            asks: false,
            known: Vec::new(),
            changes: Vec::new(),
        }];
        for theirs in &it.known {
            let Some(row) = self.rows.get(&theirs.origin) else {
                self.stats.unknown += 1;
                continue;
            };
            let ours = row.known(now, theirs.origin);
            let newer = (ours.incarnation, ours.version) > (theirs.incarnation, theirs.version);
            let older = (ours.incarnation, ours.version) < (theirs.incarnation, theirs.version);
            if older && theirs.origin == self.own {
                self.claimed(theirs);
                continue;
            }
            if older && first {
                answers[0].asks = true;
                answers[0].known.push(row.had(now, theirs.origin));
            }
            let younger = ours.age.is_some_and(|age| theirs.age.is_none_or(|t| t > age));
            if !newer && !older && (younger || ours.sum != theirs.sum) {
                answers[0].known.push(ours);
            }
            if newer {
                let after = if ours.incarnation == theirs.incarnation { theirs.version } else { 0 };
                self.rows[&theirs.origin].changes(ours, after, &mut answers);
            }
        }
        // What is asked in turn is a question of this front's own.
        if answers[0].asks {
            self.nonce = self.nonce.wrapping_add(1);
            answers[0].nonce = self.nonce;
            self.asked.push_back((self.nonce, it.from, now));
        }
        let empty = |m: &Message| m.known.is_empty() && m.changes.is_empty();
        for answer in answers.iter().take(ANSWERS).filter(|m| !empty(m)) {
            self.send(now, it.from, answer, out);
        }
    }

    fn send(&mut self, now: f64, to: Origin, it: &Message, out: &mut Vec<Datagram>) {
        let bytes = it.encode(self.fleet);
        let rate = self.terms.bytes_s;
        self.purse = ((self.purse.0 + (now - self.purse.1) * rate / 1000.0).min(rate), now);
        if self.purse.0 < bytes.len() as f64 || bytes.len() > MAX_BYTES {
            self.stats.held_back += 1;
            return;
        }
        self.purse.0 -= bytes.len() as f64;
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        out.push(Datagram { to, bytes });
    }
}
