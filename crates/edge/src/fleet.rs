//! The exchange with the other fronts of the fleet: this front's [`FleetMember`], its UDP socket, and the adapter
//! between them and the front's state. All decisions are made by the fleet member's packages and the placement logic.
//! Without peers in the configuration there is no [`Fleet`]. Times are ms.

use crate::config::Config;
use crate::edge::Edge;
use crate::server_list::{List, State, WatchedFiles};
use crate::state::{EdgeState, Timer};
use crate::{active_config, approved_versions};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use pulleystair::{Outcome, ServerHint};
use pulleystair_fleet_member::{
    Candidate, FleetConfig, FleetMember, GossipConfig, ListedServer, policy_hint, stable_id,
};
use pulleystair_shared_state::Server;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tracing::{debug, info, warn};

/// Datagrams received in one turn of the event loop.
const MAX_DATAGRAMS_PER_TURN: usize = 256;
/// Size of the receive buffer, which exceeds the largest valid datagram, so that a longer one is recognised by its
/// length.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Interval at which the active configuration is read back and the drift verdicts are evaluated.
const VERDICT_INTERVAL_MS: f64 = 500.0;

/// This front's side of the exchange with the other fronts.
pub(crate) struct Fleet {
    pub(crate) member: FleetMember,
    socket: Rc<UdpSocket>,
    /// Addresses of the other fronts, by name.
    addresses: BTreeMap<String, SocketAddr>,
    /// Names of the media servers, by stable id.
    pub(crate) server_names: BTreeMap<u64, String>,
    /// The candidates that the next allocation was drawn from: server, chance, room.
    drawn_candidates: Vec<(u32, f64, f64)>,
    /// The file of approved versions.
    pub(crate) approved_file: Option<WatchedFiles>,
    /// Revision of the server list in effect, for section `list` of the active configuration.
    pub(crate) list_revision: Value,
    /// Values that this front applies because it is adrift, by path: its own value and the stricter one.
    pub(crate) stricter_values: BTreeMap<String, (f64, f64)>,
    /// What was logged last: `.0` the doubted servers, `.1` the lost zone, `.2` the fronts under alarm with their
    /// verdicts.
    last_logged: (BTreeSet<u64>, Option<usize>, BTreeMap<String, String>),
    /// When the verdicts are evaluated next.
    next_verdicts_at: f64,
    /// When the timer that was scheduled last is due.
    timer_due_at: f64,
}

impl Fleet {
    /// Joins the fleet that the configuration names, if it names one: loads the approved versions, binds the UDP socket
    /// and adds it to the event loop.
    pub(crate) fn join(
        config: &Config,
        handle: &LoopHandle<'static, Edge>,
        now: f64,
        seed: u64,
    ) -> anyhow::Result<Option<Box<Fleet>>> {
        let (Some(fleet_name), Some(listen), Some(name)) =
            (&config.fleet.name, config.fleet.listen, config.own_name())
        else {
            return Ok(None);
        };
        let sharing = &config.sharing;
        let others = config.fleet.peers.iter().filter(|p| p.name != name);
        let max_time_limit = config.products.iter().map(|p| p.time_limit_ms).fold(1_000.0, f64::max);
        let fleet_config = FleetConfig {
            gossip: GossipConfig {
                fleet: fleet_name.clone(),
                name: name.to_string(),
                peers: others.clone().map(|p| p.name.clone()).collect(),
                interval: sharing.every_ms,
                fan_out: sharing.fan_out,
                max_bytes_per_second: sharing.bytes_s,
                doubted_after: sharing.doubted_ms,
                unheard_after: sharing.unheard_ms,
            },
            zone: config.zones.iter().position(|z| *z == config.zone).unwrap_or(0),
            zones: config.zones.clone(),
            lease_ms: sharing.lend_ms,
            max_further_per_second: sharing.further_s,
            max_probes_per_second: sharing.probes_s,
            alarm_delay_ms: sharing.hold_ms,
            stricter: sharing.stricter,
            bucket_ms: sharing.bucket_ms,
            max_set_up_ms: max_time_limit,
        };
        let addresses = others.map(|p| (p.name.clone(), p.at)).collect();
        let mut member = FleetMember::new(fleet_config, now, now as u64, seed)
            .map_err(|e| anyhow::anyhow!("fleet.{e}"))?;
        let approved_file = sharing.approved.clone().map(|file| {
            let mut watched = WatchedFiles::new(file);
            watched.check_replaced();
            watched
        });
        if let Some(file) = &sharing.approved {
            let chain = approved_versions::load(file, config)?;
            member.set_approved(chain).map_err(|e| anyhow::anyhow!("sharing.approved: {e}"))?;
        }
        let socket = UdpSocket::bind(listen)
            .map_err(|e| anyhow::anyhow!("fleet.listen: {listen} can't be had: {e}"))?;
        socket.set_nonblocking(true)?;
        info!(target: "fleet", fleet = fleet_name, name, address = %socket.local_addr()?, "joins");
        let socket = Rc::new(socket);
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        handle.insert_source(source, |_, _, edge: &mut Edge| {
            edge.receive_datagrams();
            Ok(PostAction::Continue)
        })?;
        Ok(Some(Box::new(Fleet {
            member,
            socket,
            addresses,
            server_names: BTreeMap::new(),
            drawn_candidates: Vec::new(),
            approved_file,
            list_revision: Value::Null,
            stricter_values: BTreeMap::new(),
            last_logged: (BTreeSet::new(), None, BTreeMap::new()),
            next_verdicts_at: now,
            timer_due_at: f64::INFINITY,
        })))
    }

    /// Sends datagrams to other fronts.
    fn send(&self, datagrams: Vec<pulleystair_fleet_member::Datagram>) {
        for datagram in datagrams {
            if let Some(address) = self.addresses.get(self.member.name(datagram.to)) {
                // A datagram that can't be sent now counts as lost, like any other.
                let _ = self.socket.send_to(&datagram.bytes, address);
            }
        }
    }
}

impl EdgeState {
    /// The id of a server that is the same at all fronts; 0 for an unknown server.
    fn stable_server_id(&self, server: u32) -> u64 {
        self.servers.get(server as usize).map_or(0, |s| s.stable_id)
    }

    /// Passes the ready servers of a new list to the fleet member, and for each range of cells that holds titles, the
    /// ready servers in it.
    pub(crate) fn fleet_update_list(&mut self, list: &List) {
        let config = &self.config;
        let zone = |name: &str| config.zones.iter().position(|z| z == name).unwrap_or(0);
        let is_ready = |s: &&crate::server_list::Server| s.state == State::Ready;
        let servers: Vec<ListedServer> = list
            .servers
            .iter()
            .filter(is_ready)
            .map(|s| ListedServer {
                server: Server {
                    id: stable_id(&s.name),
                    zone: zone(&s.zone),
                    placement_cell: s.cell,
                    link: s.weight * config.fleet.link_unit_kb,
                },
                process_started_at: s.started_ms as u64,
                cold_until: s.started_ms + config.rules.cold_ms,
            })
            .collect();
        let mut cell_ranges: Vec<(usize, usize)> =
            list.titles.iter().map(|t| (t.first_cell, t.holders)).collect();
        cell_ranges.sort_unstable();
        cell_ranges.dedup();
        let cells = config.fleet.cells;
        let holders = |(first, count): (usize, usize)| -> Vec<u64> {
            let is_holder = |s: &&ListedServer| (s.server.placement_cell + cells - first) % cells < count;
            servers.iter().filter(is_holder).map(|s| s.server.id).collect()
        };
        let holders_of_titles = cell_ranges.into_iter().map(holders).collect();
        let Some(fleet) = self.fleet.as_mut() else { return };
        fleet.server_names = list.servers.iter().map(|s| (stable_id(&s.name), s.name.clone())).collect();
        fleet.list_revision = active_config::list_revision(list);
        fleet.member.update_list(&servers, holders_of_titles);
    }

    /// Remembers the candidates that the next allocation was drawn from: server, chance, room.
    pub(crate) fn fleet_record_candidates(&mut self, candidates: &[(u32, f64, f64)]) {
        if let Some(fleet) = self.fleet.as_mut() {
            fleet.drawn_candidates = candidates.to_vec();
        }
    }

    /// Records that allocation number `n` of a play, from 1, is sent to a server, and the candidates that it was drawn
    /// from.
    pub(crate) fn fleet_on_sent(&mut self, now: f64, play: u64, n: usize, server: u32) {
        if self.fleet.is_none() {
            return;
        }
        let id = self.stable_server_id(server);
        let Some(session) = self.sessions.get(play) else { return };
        let (product, title) = (session.product as u16, stable_id(&session.title.name) as u32);
        let drawn =
            self.fleet.as_mut().map(|fleet| std::mem::take(&mut fleet.drawn_candidates)).unwrap_or_default();
        let zones = &self.config.zones;
        let server_by_number = |number: u32| self.servers.get(number as usize);
        let candidates: Vec<Candidate> = drawn
            .iter()
            .filter_map(|(number, chance, room)| {
                let server = server_by_number(*number)?;
                let zone = zones.iter().position(|z| *z == server.zone).unwrap_or(0);
                let candidate = Candidate {
                    server: server.stable_id,
                    process_started_at: server.started_at,
                    zone,
                    chance: *chance,
                    room: *room,
                };
                Some(candidate)
            })
            .collect();
        let chosen = candidates.iter().position(|c| c.server == id);
        let Some(fleet) = self.fleet.as_mut() else { return };
        fleet.member.on_sent(now, id, n > 1);
        if let Some(chosen) = chosen {
            // Title 0 stands for all titles that are not counted separately.
            fleet.member.outcomes.record_choice(play, n as u32, product, title.max(1), chosen, candidates);
        }
    }

    /// Records that a server was probed.
    pub(crate) fn fleet_on_probed(&mut self, server: u32) {
        let (now, id) = (self.now(), self.stable_server_id(server));
        if let Some(fleet) = self.fleet.as_mut() {
            fleet.member.on_probed(now, id);
        }
    }

    /// Records the result of an allocation: it plays, or it ended.
    pub(crate) fn fleet_on_result(&mut self, now: f64, play: u64, server: u32, outcome: Outcome) {
        if self.fleet.is_none() {
            return;
        }
        let Some(session) = self.sessions.get(play) else { return };
        let (n, set_up_time, id) = (
            session.allocation_count() as u32,
            now - session.allocation_sent_at,
            self.stable_server_id(server),
        );
        let wall_clock = self.wall_clock_now();
        let Some(fleet) = self.fleet.as_mut() else { return };
        fleet.member.on_allocation_result(now, wall_clock, id, (play, n), outcome, set_up_time);
    }
}

impl Edge {
    /// Receives the waiting datagrams of other fronts, sends the replies, and calls [`Edge::sync_fleet`].
    fn receive_datagrams(&mut self) {
        let now = self.state.now();
        let Some(fleet) = self.state.fleet.as_mut() else { return };
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match fleet.socket.recv_from(&mut buffer) {
                Ok((length, _)) => {
                    let datagrams = fleet.member.receive(now, &buffer[..length]);
                    fleet.send(datagrams);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // On loopback a datagram to a front that is not running causes an error at the next call.
                Err(_) => {}
            }
        }
        self.sync_fleet();
    }

    /// Ticks the fleet member if it is due, evaluates the verdicts if they are due, and schedules the next call. Runs
    /// before any decision, so that no lease is used after its end.
    pub(crate) fn sync_fleet(&mut self) {
        let state = &mut self.state;
        let (now, wall_clock) = (state.now(), state.wall_clock_now());
        let Some(fleet) = state.fleet.as_mut() else { return };
        if now >= fleet.member.next_deadline() {
            let numbers: BTreeMap<u64, u32> =
                (0..).zip(&state.servers).map(|(n, server)| (server.stable_id, n)).collect();
            let id = |n: &u32| state.servers.get(*n as usize).map(|s| s.stable_id);
            fleet.member.on_waiting(now, self.dispatcher.awaited_servers().iter().filter_map(id));
            let counts = self.dispatcher.play_counts();
            let counts = counts.iter().filter_map(|((n, product), c)| Some(((id(n)?, *product as u16), *c)));
            fleet.member.set_play_counts(counts.collect());
            let (hints, datagrams) = fleet.member.tick(now, wall_clock);
            fleet.send(datagrams);
            let hints: Vec<(u32, ServerHint)> = hints
                .iter()
                .filter_map(|hint| Some((*numbers.get(&hint.server)?, policy_hint(hint))))
                .collect();
            fleet.log_health();
            if !hints.is_empty() {
                debug!(target: "fleet", servers = hints.len(), "received hints on servers from other fronts");
                self.dispatcher.apply_hints(now, &hints);
            }
        }
        if self.state.fleet.as_ref().is_some_and(|fleet| now >= fleet.next_verdicts_at) {
            self.update_verdicts(now, wall_clock);
        }
        let Some(fleet) = self.state.fleet.as_mut() else { return };
        let due_at = fleet.member.next_deadline().min(fleet.next_verdicts_at);
        // A timer can't be cancelled: one is scheduled only if no earlier one is pending.
        if due_at < fleet.timer_due_at || fleet.timer_due_at <= now {
            fleet.timer_due_at = due_at;
            self.state.schedule(due_at, Timer::FleetSync);
        }
    }

    /// Reads back the active configuration, logs changes of the drift verdicts, and applies stricter values while
    /// adrift.
    fn update_verdicts(&mut self, now: f64, wall_clock: f64) {
        let sections = self.active_sections();
        let Some(fleet) = self.state.fleet.as_mut() else { return };
        fleet.next_verdicts_at = now + VERDICT_INTERVAL_MS;
        fleet.member.set_active(sections);
        let stricter = fleet.member.stricter(wall_clock);
        if let Some(status) = fleet.member.drift(now, wall_clock) {
            let mut under_alarm = BTreeMap::new();
            for front in status.fronts.iter().filter(|front| front.alarm) {
                under_alarm.insert(front.front.clone(), front.verdict.name().to_string());
                if fleet.last_logged.2.get(&front.front).map(String::as_str) != Some(front.verdict.name()) {
                    warn!(target: "fleet", front = front.front, verdict = front.verdict.name(), rule = front.rule, differs = ?front.differences, "drift alarm raised");
                }
            }
            for front in fleet.last_logged.2.keys().filter(|front| !under_alarm.contains_key(*front)) {
                info!(target: "fleet", front, "drift alarm cleared");
            }
            fleet.last_logged.2 = under_alarm;
        }
        self.apply_stricter_values(&stricter);
    }

    /// Status report on the fleet as this front knows it, for `pulleystair-edge drift`; none without a fleet.
    pub(crate) fn fleet_status(&mut self) -> Option<Value> {
        let (now, wall_clock) = (self.state.now(), self.state.wall_clock_now());
        self.update_verdicts(now, wall_clock);
        let fleet = self.state.fleet.as_mut()?;
        let server_names = fleet.server_names.clone();
        Some(fleet.member.status_report(now, wall_clock, &server_names))
    }
}

impl Fleet {
    /// Logs the doubted servers (other fronts report failures of them) and the lost zone, if they have changed since they
    /// were last logged.
    fn log_health(&mut self) {
        let health = self.member.health();
        if health.doubted == self.last_logged.0 && health.lost_zone == self.last_logged.1 {
            return;
        }
        let name = |id: &u64| self.server_names.get(id).cloned().unwrap_or_default();
        let doubted: Vec<String> = health.doubted.iter().map(name).collect();
        info!(target: "fleet", ?doubted, zone_lost = health.lost_zone, "doubted servers or lost zone changed");
        (self.last_logged.0, self.last_logged.1) = (health.doubted.clone(), health.lost_zone);
    }
}
