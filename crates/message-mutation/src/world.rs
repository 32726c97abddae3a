//! Simulates three fronts, four servers in two zones, viewers and a name service, from one seed. Servers crash and come back cold,
//! drain or fall silent; fronts exchange gossip. What viewers and servers see is recorded as observations. Times are in ms.

use crate::messages::{self, SetUp};
use crate::{Kind, MutatedMessage};
use oorandom::Rand64;
use pulleystair::{Listing, Outcome, ServerHint, Standing};
use pulleystair_fleet_member::{policy_hint, stable_id};
use pulleystair_rule_checker::rules::check;
use pulleystair_rule_checker::{Observation, Observed};
use pulleystair_shared_state::budgets::PARTS_PER_FRONT;
use std::collections::{BTreeMap, BTreeSet};

use crate::front::{Front, Session, new_front, rule_params};

/// The number of fronts.
pub const FRONTS: usize = 3;
/// The number of media servers.
pub const SERVERS: usize = 4;
/// Index of the front that speaks HTTP with servers; the others speak RTSP.
pub(crate) const HTTP_FRONT: usize = 2;
/// The streams that a server has room for.
pub(crate) const STREAMS_PER_SERVER: f64 = 40.0;
/// The time limit that viewers set.
pub(crate) const TIME_LIMIT_MS: f64 = 1_500.0;
/// Viewers send set-ups until then; in the rest of the run the fronts recover.
const ARRIVALS_END_MS: f64 = 2_000.0;
/// Messages until then are recorded and may be mutated; later ones let the fronts recover.
pub(crate) const RECORDING_END_MS: f64 = 2_300.0;
/// End of the run.
const RUN_END_MS: f64 = 4_600.0;
/// How long a server is cold after its start.
pub(crate) const COLD_MS: f64 = 2_000.0;

/// A scheduled event. Fields are, where they apply, front, server, play and number of the allocation; other fields are named below.
pub(crate) enum Event {
    /// A viewer sends a set-up to this front.
    PlayArrives(usize),
    Deliver(Delivery),
    /// A message that was delayed: it is not mutated again.
    DeliverUnchanged(Delivery),
    /// A timer that the front's dispatcher has set, by its id.
    Timer(usize, u32),
    /// The time for an open allocation has passed.
    AllocationTimeOut(usize, u64, u32),
    /// The next tick of the front's fleet member is due.
    MemberTick(usize),
    /// The front queries the name service.
    DnsQuery(usize),
    /// The session ends at its server, if it is still established there.
    SessionEnd(usize, usize, u64, u32),
    /// The server of an allocation can't be reached.
    Unreachable(usize, u64, u32),
    /// A fault is injected, by its step.
    Fault(usize),
}

/// A message to a front: `from` is the server or front that sent it; `connection` and `allocation` (play, number) are those of a
/// server's message.
#[derive(Clone)]
pub(crate) struct Delivery {
    pub(crate) to: usize,
    pub(crate) kind: Kind,
    pub(crate) bytes: Vec<u8>,
    pub(crate) from: usize,
    pub(crate) connection: u64,
    pub(crate) allocation: (u64, u32),
}

/// The state of a media server.
#[derive(Clone, Copy)]
pub(crate) struct ServerState {
    pub(crate) is_up: bool,
    pub(crate) is_silent: bool,
}

/// The outcome of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    /// The messages as they were before any mutation.
    pub messages: Vec<(Kind, Vec<u8>)>,
    /// Rules broken, and how.
    pub breaches: Vec<(u8, String)>,
    /// Requests that the rules were checked on.
    pub requests: usize,
    /// The most parts of a server's budget that all fronts together ever held.
    pub max_parts_held: u32,
    /// The parts that a server's budget has.
    pub total_parts: u32,
    /// Whether the first front ever held more parts than its own, which it must have borrowed.
    pub has_borrowed: bool,
    /// The status of the drift verdict at the end, by front.
    pub drift_status: Vec<u8>,
    /// The number of servers doubted at the end, by front.
    pub doubted: Vec<usize>,
    /// Whether the latest list is in use at the end, by front.
    pub has_latest_list: Vec<bool>,
    /// Whether a zone is taken for lost at the end, by front.
    pub has_lost_zone: Vec<bool>,
    /// The number of plays in the what-if estimates at the end, by front.
    pub estimated_plays: Vec<u32>,
    /// The number of allocations sent by all fronts.
    pub allocations_sent: u32,
}

/// The state of a run.
pub struct World {
    pub(crate) now: f64,
    pub(crate) rng: Rand64,
    /// Events by due time in µs and sequence number.
    pub(crate) queue: BTreeMap<(u64, u64), Event>,
    pub(crate) sequence: u64,
    pub(crate) fronts: Vec<Front>,
    pub(crate) servers: [ServerState; SERVERS],
    pub(crate) list: Vec<Listing>,
    pub(crate) serial: u32,
    pub(crate) observations: Vec<Observation>,
    pub(crate) request_count: u64,
    pub(crate) mutated: Option<MutatedMessage>,
    /// The last message of each kind.
    pub(crate) previous: BTreeMap<Kind, Vec<u8>>,
    /// The reordered message, until the next recorded one to the same front. If there is none, it is never delivered.
    pub(crate) held_back: Option<Delivery>,
    pub(crate) result: RunResult,
}

impl World {
    /// Prepares a run; with no mutated message it is the base run, whose recorded messages the other runs mutate.
    pub fn new(seed: u64, mutated: Option<MutatedMessage>) -> World {
        let listing = |s: usize| Listing {
            server: s,
            zone: s % 2,
            cell: s,
            standing: Standing::Ready,
            weight: 4.0,
            ..Listing::default()
        };
        let mut world = World {
            now: 0.0,
            rng: Rand64::new(seed.into()),
            queue: BTreeMap::new(),
            sequence: 0,
            fronts: (0..FRONTS).map(|front_id| new_front(front_id, seed)).collect(),
            servers: [ServerState { is_up: true, is_silent: false }; SERVERS],
            list: (0..SERVERS).map(listing).collect(),
            serial: 1,
            observations: Vec::new(),
            request_count: 0,
            mutated,
            previous: BTreeMap::new(),
            held_back: None,
            result: RunResult { total_parts: FRONTS as u32 * PARTS_PER_FRONT, ..RunResult::default() },
        };
        for front_id in 0..FRONTS {
            world.record(Observed::Front { front: front_id, up: true });
            world.schedule(0.0, Event::DnsQuery(front_id));
            world.schedule(1.0, Event::MemberTick(front_id));
            world.schedule(20.0, Event::PlayArrives(front_id));
        }
        (0..6).for_each(|step| {
            world.schedule([500.0, 700.0, 900.0, 1_300.0, 1_500.0, 1_900.0][step], Event::Fault(step))
        });
        world
    }

    /// Records an observation at the present time.
    pub(crate) fn record(&mut self, what: Observed) {
        self.observations.push(Observation { at: self.now, what });
    }

    /// Schedules an event after `delay` ms.
    pub(crate) fn schedule(&mut self, delay: f64, event: Event) {
        self.sequence += 1;
        self.queue.insert((((self.now + delay) * 1_000.0).ceil() as u64, self.sequence), event);
    }

    /// Draws a random number from [0, 1).
    pub(crate) fn random(&mut self) -> f64 {
        self.rng.rand_float()
    }

    /// Runs to the end and checks the rules.
    pub fn run(mut self) -> RunResult {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at as f64 / 1_000.0;
            if self.now > RUN_END_MS {
                break;
            }
            self.handle_event(event);
            let parts = |s: usize| -> u32 {
                let id = stable_id(&format!("m{s}"));
                self.fronts.iter().map(|f| f.member.budget_parts(self.now, id)).sum()
            };
            let parts_held = (0..SERVERS).map(parts).max().unwrap_or(0);
            self.result.max_parts_held = self.result.max_parts_held.max(parts_held);
            self.result.has_borrowed |=
                self.fronts[0].member.budget_parts(self.now, stable_id("m0")) > PARTS_PER_FRONT;
        }
        self.now = RUN_END_MS;
        for front_id in 0..FRONTS {
            let front = &mut self.fronts[front_id];
            let drift = front.member.drift(RUN_END_MS, RUN_END_MS).expect("a version is approved");
            self.result.drift_status.push(drift.status());
            self.result.has_latest_list.push(front.list_serial == Some(self.serial));
            self.result.doubted.push(front.member.health().doubted.len());
            self.result.has_lost_zone.push(front.member.health().lost_zone.is_some());
            self.result.estimated_plays.push(front.member.whatif(RUN_END_MS, |_| true).plays);
        }
        let (breaches, coverage) = check(&self.observations, &rule_params());
        self.result.breaches = breaches.into_iter().map(|b| (b.rule, format!("{b:?}"))).collect();
        self.result.requests = coverage.requests;
        self.result
    }

    // ---- events ----

    /// Carries out a scheduled event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(delivery) => self.record_and_deliver(delivery),
            Event::DeliverUnchanged(delivery) => self.deliver(delivery),
            Event::Timer(front_id, timer) => self.call_dispatcher(front_id, |dispatcher, now, actions| {
                dispatcher.on_timer(now, timer, actions)
            }),
            Event::PlayArrives(front_id) => self.play_arrives(front_id),
            Event::AllocationTimeOut(front_id, play, allocation_number) => {
                let is_pending = |s: &Session| {
                    s.allocation_number == allocation_number && matches!(s.allocated_to, Some((_, false)))
                };
                if self.fronts[front_id].sessions.get(&play).is_some_and(is_pending) {
                    self.end_allocation(front_id, play, Outcome::TimedOut, &[]);
                }
            }
            Event::Unreachable(front_id, play, allocation_number) => {
                if self.fronts[front_id]
                    .sessions
                    .get(&play)
                    .is_some_and(|s| s.allocation_number == allocation_number && s.allocated_to.is_some())
                {
                    self.end_allocation(front_id, play, Outcome::Unreachable, &[]);
                }
            }
            Event::MemberTick(front_id) => self.tick_member(front_id),
            Event::DnsQuery(front_id) => {
                self.schedule(150.0, Event::DnsQuery(front_id));
                let id = self.rng.rand_range(0..1 << 16) as u16;
                let query_ids = &mut self.fronts[front_id].dns_query_ids;
                query_ids.push_back(id);
                if query_ids.len() > 8 {
                    query_ids.pop_front();
                }
                let bytes = messages::encode_dns_response(id, self.serial, &self.list);
                self.schedule_delivery(
                    2.0,
                    Delivery {
                        to: front_id,
                        kind: Kind::Dns,
                        bytes,
                        from: 0,
                        connection: 0,
                        allocation: (0, 0),
                    },
                );
            }
            Event::SessionEnd(front_id, server, play, allocation_number) => {
                let is_playing = |s: &Session| {
                    s.allocation_number == allocation_number && s.allocated_to == Some((server, true))
                };
                if !self.fronts[front_id].sessions.get(&play).is_some_and(is_playing) {
                    return;
                }
                if front_id == HTTP_FRONT {
                    return self.end_allocation(front_id, play, Outcome::Finished, &[]);
                }
                let connection = self.fronts[front_id].connections[server];
                let delivery = |bytes| Delivery {
                    to: front_id,
                    kind: Kind::Rtsp,
                    bytes,
                    from: server,
                    connection,
                    allocation: (play, allocation_number),
                };
                self.schedule_delivery(0.5, delivery(messages::encode_note(play, 0.4)));
                self.schedule_delivery(1.0, delivery(messages::encode_teardown(play)));
            }
            Event::Fault(step) => self.inject_fault(step),
        }
    }

    /// A viewer sends a set-up, and the next arrival at this front is scheduled.
    fn play_arrives(&mut self, front_id: usize) {
        // A crowd arrives at the first front while the first server is cold.
        let crowd = front_id == 0 && (900.0..1_300.0).contains(&self.now);
        let mean_gap = if crowd { 18.0 } else { 70.0 };
        let gap = -mean_gap * (1.0 - self.random()).ln();
        if self.now + gap < ARRIVALS_END_MS {
            self.schedule(gap, Event::PlayArrives(front_id));
        }
        let (product, cell) = ((self.random() * 3.0) as usize, (self.random() * SERVERS as f64) as usize);
        let (cell, holder_cells) = if crowd { (0, 1) } else { (cell, 3) };
        let play = (front_id as u64 + 1) << 32 | (self.sequence & 0xffff_ffff);
        let set_up = SetUp {
            play,
            product,
            title: format!("t{cell}"),
            time_limit: TIME_LIMIT_MS,
            first_cell: cell,
            holder_cells,
            max_rung: 1,
        };
        self.schedule_delivery(
            1.0,
            Delivery {
                to: front_id,
                kind: Kind::Viewer,
                bytes: messages::encode_set_up(&set_up),
                from: 0,
                connection: 0,
                allocation: (0, 0),
            },
        );
    }

    /// Runs a front's fleet member: play counts and waiting plays go in, hints and datagrams come out.
    fn tick_member(&mut self, front_id: usize) {
        let now = self.now;
        let front = &mut self.fronts[front_id];
        let id = |s: &u32| stable_id(&format!("m{s}"));
        front.member.on_waiting(now, front.dispatcher.awaited_servers().iter().map(id));
        let counts = front.dispatcher.play_counts();
        front.member.set_play_counts(counts.iter().map(|((s, p), c)| ((id(s), *p as u16), *c)).collect());
        let (hints, datagrams) = front.member.tick(now, now);
        let deadline = front.member.next_deadline();
        let numbers: BTreeMap<u64, u32> = (0..SERVERS as u32).map(|s| (id(&s), s)).collect();
        let hints: Vec<(u32, ServerHint)> =
            hints.iter().filter_map(|hint| Some((*numbers.get(&hint.server)?, policy_hint(hint)))).collect();
        self.call_dispatcher(front_id, |dispatcher, now, _| dispatcher.apply_hints(now, &hints));
        self.send_datagrams(front_id, datagrams);
        self.schedule((deadline - now).max(0.001), Event::MemberTick(front_id));
    }

    /// Changes the standing of a server in the list under a new serial.
    fn set_standing(&mut self, server: usize, standing: Standing) {
        self.serial += 1;
        self.list[server].standing = standing;
        self.record(Observed::Listed { server, ready: standing == Standing::Ready });
    }

    /// Injects the fault of this step.
    fn inject_fault(&mut self, step: usize) {
        match step {
            // The first server crashes and comes back cold; the second drains; the third is silent for a while.
            0 => {
                self.servers[0].is_up = false;
                self.record(Observed::Stopped { server: 0 });
                for front_id in 0..FRONTS {
                    let at_server = |(play, s): (&u64, &Session)| {
                        s.allocated_to.is_some_and(|at| at.0 == 0).then_some(*play)
                    };
                    let lost: BTreeSet<u64> =
                        self.fronts[front_id].sessions.iter().filter_map(at_server).collect();
                    self.fronts[front_id].connections[0] += 1;
                    lost.into_iter()
                        .for_each(|play| self.end_allocation(front_id, play, Outcome::Broken, &[]));
                }
                self.set_standing(0, Standing::Gone);
            }
            1 => {
                self.servers[0].is_up = true;
                self.record(Observed::Started { server: 0, cold: true });
                self.list[0].started_at = self.now;
                self.set_standing(0, Standing::Ready);
            }
            2 => self.set_standing(1, Standing::Draining),
            3 => self.servers[2].is_silent = true,
            4 => self.set_standing(1, Standing::Ready),
            _ => self.servers[2].is_silent = false,
        }
    }
}
