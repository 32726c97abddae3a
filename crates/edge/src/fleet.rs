//! The company of other fronts: this front's fellow, its socket, and what they are told of and tell. All that is decided
//! is decided by the fellow's packages and the module; without peers in the rundown none of it is there.

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

/// Datagrams taken in one turn, and the largest; a longer one shows by its length.
const TURN: usize = 256;
const MOST: usize = 2_048;
/// So often what this front goes by is read back and verdicts are looked at, ms.
const VERDICTS: f64 = 500.0;

pub(crate) struct Fleet {
    pub(crate) member: FleetMember,
    socket: Rc<UdpSocket>,
    at: BTreeMap<String, SocketAddr>,
    /// Servers' names by their numbers.
    pub(crate) names: BTreeMap<u64, String>,
    /// What the choice that is sent next was drawn from.
    drawn: Vec<(u32, f64, f64)>,
    pub(crate) approved: Option<WatchedFiles>,
    /// The list's revision, for the fellow.
    pub(crate) list: Value,
    /// Figures that this front holds itself to for being adrift, by path: its own, and the one it goes by.
    pub(crate) held: BTreeMap<String, (f64, f64)>,
    /// What was last written to the log: servers doubted, the lost zone, fronts that are wrong.
    told: (BTreeSet<u64>, Option<usize>, BTreeMap<String, String>),
    verdicts: f64,
    set: f64,
}

impl Fleet {
    /// Joins the fleet that the rundown names, if it names one.
    pub(crate) fn join(
        rundown: &Config,
        handle: &LoopHandle<'static, Edge>,
        now: f64,
        seed: u64,
    ) -> anyhow::Result<Option<Box<Fleet>>> {
        let (Some(fleet), Some(listen), Some(name)) =
            (&rundown.fleet.name, rundown.fleet.listen, rundown.own_name())
        else {
            return Ok(None);
        };
        let it = &rundown.sharing;
        let others = rundown.fleet.peers.iter().filter(|p| p.name != name);
        let longest = rundown.products.iter().map(|p| p.time_limit_ms).fold(1_000.0, f64::max);
        let terms = FleetConfig {
            gossip: GossipConfig {
                fleet: fleet.clone(),
                name: name.to_string(),
                peers: others.clone().map(|p| p.name.clone()).collect(),
                interval: it.every_ms,
                fan_out: it.fan_out,
                bytes_s: it.bytes_s,
                doubted_after: it.doubted_ms,
                unheard_after: it.unheard_ms,
            },
            zone: rundown.zones.iter().position(|z| *z == rundown.zone).unwrap_or(0),
            zones: rundown.zones.clone(),
            lease_ms: it.lend_ms,
            further_s: it.further_s,
            probes_s: it.probes_s,
            alarm_delay: it.hold_ms,
            stricter: it.stricter,
            bucket: it.bucket_ms,
            max_set_up: longest,
        };
        let at = others.map(|p| (p.name.clone(), p.at)).collect();
        let mut fellow =
            FleetMember::new(terms, now, now as u64, seed).map_err(|e| anyhow::anyhow!("fleet.{e}"))?;
        let approved = it.approved.clone().map(|file| {
            let mut watched = WatchedFiles::new(file);
            watched.check_replaced();
            watched
        });
        if let Some(file) = &it.approved {
            let chain = approved_versions::read(file, rundown)?;
            fellow.set_approved(chain).map_err(|e| anyhow::anyhow!("sharing.approved: {e}"))?;
        }
        let socket = UdpSocket::bind(listen)
            .map_err(|e| anyhow::anyhow!("fleet.listen: {listen} can't be had: {e}"))?;
        socket.set_nonblocking(true)?;
        info!(target: "fleet", fleet, name, address = %socket.local_addr()?, "joins");
        let socket = Rc::new(socket);
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        handle.insert_source(source, |_, _, edge: &mut Edge| {
            edge.hear();
            Ok(PostAction::Continue)
        })?;
        Ok(Some(Box::new(Fleet {
            member: fellow,
            socket,
            at,
            names: BTreeMap::new(),
            drawn: Vec::new(),
            approved,
            list: Value::Null,
            held: BTreeMap::new(),
            told: (BTreeSet::new(), None, BTreeMap::new()),
            verdicts: now,
            set: f64::INFINITY,
        })))
    }

    fn send(&self, out: Vec<pulleystair_fleet_member::Datagram>) {
        for it in out {
            if let Some(at) = self.at.get(self.member.name(it.to)) {
                // What can't be sent now is lost as any other is.
                let _ = self.socket.send_to(&it.bytes, at);
            }
        }
    }
}

impl EdgeState {
    fn number(&self, server: u32) -> u64 {
        self.servers.get(server as usize).map_or(0, |s| s.stable_id)
    }

    /// The list as the fellow is told it.
    pub(crate) fn fleet_update_list(&mut self, list: &List) {
        let rundown = &self.config;
        let zone = |name: &str| rundown.zones.iter().position(|z| z == name).unwrap_or(0);
        let listed = |s: &&crate::server_list::Server| s.state == State::Ready;
        let servers: Vec<ListedServer> = list
            .servers
            .iter()
            .filter(listed)
            .map(|s| ListedServer {
                server: Server {
                    id: stable_id(&s.name),
                    zone: zone(&s.zone),
                    cell: s.cell,
                    link: s.weight * rundown.fleet.link_unit_kb,
                },
                born: s.started_ms as u64,
                cold_until: s.started_ms + rundown.rules.cold_ms,
            })
            .collect();
        let mut rows: Vec<(usize, usize)> = list.titles.iter().map(|t| (t.first_cell, t.holders)).collect();
        rows.sort_unstable();
        rows.dedup();
        let cells = rundown.fleet.cells;
        let holders = |(first, count): (usize, usize)| -> Vec<u64> {
            let has = |s: &&ListedServer| (s.server.cell + cells - first) % cells < count;
            servers.iter().filter(has).map(|s| s.server.id).collect()
        };
        let titles = rows.into_iter().map(holders).collect();
        let Some(company) = self.fleet.as_mut() else { return };
        company.names = list.servers.iter().map(|s| (stable_id(&s.name), s.name.clone())).collect();
        company.list = active_config::revision(list);
        company.member.update_list(&servers, titles);
    }

    pub(crate) fn fleet_record_candidates(&mut self, odds: &[(u32, f64, f64)]) {
        if let Some(company) = self.fleet.as_mut() {
            company.drawn = odds.to_vec();
        }
    }

    /// An allocation goes out.
    pub(crate) fn fleet_on_sent(&mut self, now: f64, play: u64, n: usize, server: u32) {
        if self.fleet.is_none() {
            return;
        }
        let id = self.number(server);
        let Some(session) = self.sessions.get(play) else { return };
        let (product, title) = (session.product as u16, stable_id(&session.title.name) as u32);
        let drawn = self.fleet.as_mut().map(|it| std::mem::take(&mut it.drawn)).unwrap_or_default();
        let zones = &self.config.zones;
        let at = |number: u32| self.servers.get(number as usize);
        let candidates: Vec<Candidate> = drawn
            .iter()
            .filter_map(|(number, chance, room)| {
                let server = at(*number)?;
                let zone = zones.iter().position(|z| *z == server.zone).unwrap_or(0);
                let server = Candidate {
                    server: server.stable_id,
                    born: server.started_at,
                    zone,
                    chance: *chance,
                    room: *room,
                };
                Some(server)
            })
            .collect();
        let chosen = candidates.iter().position(|c| c.server == id);
        let Some(company) = self.fleet.as_mut() else { return };
        company.member.on_sent(now, id, n > 1);
        if let Some(chosen) = chosen {
            company.member.outcomes.record_choice(play, n as u32, product, title.max(1), chosen, candidates);
        }
    }

    pub(crate) fn fleet_on_probed(&mut self, server: u32) {
        let (now, id) = (self.now(), self.number(server));
        if let Some(company) = self.fleet.as_mut() {
            company.member.on_probed(now, id);
        }
    }

    /// An allocation that was out plays, or is out no more.
    pub(crate) fn fleet_on_result(&mut self, now: f64, play: u64, server: u32, outcome: Outcome) {
        if self.fleet.is_none() {
            return;
        }
        let Some(session) = self.sessions.get(play) else { return };
        let (n, waited, id) = (session.allocation_count() as u32, now - session.sent_at, self.number(server));
        let wall = self.wall_clock_now();
        let Some(company) = self.fleet.as_mut() else { return };
        company.member.on_allocation_result(now, wall, id, (play, n), outcome, waited);
    }
}

impl Edge {
    /// Datagrams of other fronts.
    fn hear(&mut self) {
        let now = self.state.now();
        let Some(company) = self.state.fleet.as_mut() else { return };
        let mut room = [0; MOST];
        for _ in 0..TURN {
            match company.socket.recv_from(&mut room) {
                Ok((n, _)) => {
                    let out = company.member.receive(now, &room[..n]);
                    company.send(out);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // On loopback a datagram to a front that is away comes back as an error of the next call.
                Err(_) => {}
            }
        }
        self.sync_fleet();
    }

    /// Looks at the fellow if it wants to be; before anything is decided, so that no loan is used after its end.
    pub(crate) fn sync_fleet(&mut self) {
        let floor = &mut self.state;
        let (now, wall) = (floor.now(), floor.wall_clock_now());
        let Some(company) = floor.fleet.as_mut() else { return };
        if now >= company.member.next_deadline() {
            let numbers: BTreeMap<u64, u32> =
                (0..).zip(&floor.servers).map(|(n, server)| (server.stable_id, n)).collect();
            let id = |n: &u32| floor.servers.get(*n as usize).map(|s| s.stable_id);
            company.member.on_waiting(now, self.dispatcher.awaited_servers().iter().filter_map(id));
            let counts = self.dispatcher.play_counts();
            let counts = counts.iter().filter_map(|((n, product), c)| Some(((id(n)?, *product as u16), *c)));
            company.member.set_play_counts(counts.collect());
            let (given, out) = company.member.tick(now, wall);
            company.send(out);
            let given: Vec<(u32, ServerHint)> =
                given.iter().filter_map(|it| Some((*numbers.get(&it.server)?, policy_hint(it)))).collect();
            company.log_beliefs();
            if !given.is_empty() {
                debug!(target: "fleet", servers = given.len(), "told of servers");
                self.dispatcher.apply_hints(now, &given);
            }
        }
        if self.state.fleet.as_ref().is_some_and(|it| now >= it.verdicts) {
            self.verdicts(now, wall);
        }
        let Some(company) = self.state.fleet.as_mut() else { return };
        let due = company.member.next_deadline().min(company.verdicts);
        // A clock can't be taken back: one is set only where none rings by then.
        if due < company.set || company.set <= now {
            company.set = due;
            self.state.schedule(due, Timer::FleetSync);
        }
    }

    fn verdicts(&mut self, now: f64, wall: f64) {
        let sections = self.goes_by();
        let Some(company) = self.state.fleet.as_mut() else { return };
        company.verdicts = now + VERDICTS;
        company.member.set_active(sections);
        let stricter = company.member.stricter(wall);
        if let Some(fleet) = company.member.drift(now, wall) {
            let mut wrong = BTreeMap::new();
            for it in fleet.fronts.iter().filter(|it| it.alarm) {
                wrong.insert(it.front.clone(), it.verdict.name().to_string());
                if company.told.2.get(&it.front).map(String::as_str) != Some(it.verdict.name()) {
                    warn!(target: "fleet", front = it.front, verdict = it.verdict.name(), rule = it.rule, differs = ?it.differences, "drift");
                }
            }
            for front in company.told.2.keys().filter(|front| !wrong.contains_key(*front)) {
                info!(target: "fleet", front, "drift is over");
            }
            company.told.2 = wrong;
        }
        self.hold_to(&stricter);
    }

    /// All that this front can tell of the fleet, for `pulleystair-edge drift`.
    pub(crate) fn fleet_status(&mut self) -> Option<Value> {
        let (now, wall) = (self.state.now(), self.state.wall_clock_now());
        self.verdicts(now, wall);
        let company = self.state.fleet.as_mut()?;
        let names = company.names.clone();
        Some(company.member.status_report(now, wall, &names))
    }
}

impl Fleet {
    fn log_beliefs(&mut self) {
        let belief = self.member.health();
        if belief.doubted == self.told.0 && belief.lost == self.told.1 {
            return;
        }
        let name = |id: &u64| self.names.get(id).cloned().unwrap_or_default();
        let doubted: Vec<String> = belief.doubted.iter().map(name).collect();
        info!(target: "fleet", ?doubted, zone_lost = belief.lost, "doubted on hearsay");
        (self.told.0, self.told.1) = (belief.doubted.clone(), belief.lost);
    }
}
