//! Who belongs to the fleet. Several sources of the list (a file, a registry) pour into one [`View`]; it settles order,
//! duplicates, servers in two sources, lists that shrink suspiciously, and how far old lists are trusted. Free of I/O:
//! callers hand in the time, ms, and what a source told; they ask for the list when [`UpdateResult::changed`] says so, and call
//! [`View::tick`] when [`View::next_deadline`] has come.
//!
//! [`endpoints`] decides which of a registry's endpoints is asked next and when, [`snapshot`] is the last list as bytes.
//!
//! What takes a server out of use is believed sooner than what brings one in: a drain at once and from anybody, a
//! removal at once unless so many go together that the list is more likely wrong than the fleet gone.

pub mod endpoints;
mod settle;
pub mod snapshot;

pub use settle::{Availability, Report, ReportedState, settle_reports};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// How far lists are trusted.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// A list that loses more than this part of its servers in one step is held back for so long, ms; removals in it
    /// count once the source has told the same again after that.
    pub max_shrink_share: f64,
    pub hold_ms: f64,
    /// A server that came back so often within a span, ms, gets nothing new until it has stayed for as long.
    pub max_returns: usize,
    pub return_window_ms: f64,
    /// A list older than this, ms, adds servers only as long as no source is in step.
    pub max_list_age_ms: f64,
    /// How long it is remembered that a source has told a server gone, ms.
    pub forget_gone_after_ms: f64,
}

/// A list shorter than this may lose servers without suspicion, but not all of them.
const MIN_SERVERS_FOR_SHARE: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    Ready,
    Draining,
}

/// A server as a source tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub weight: f64,
    pub standing: Standing,
    /// When its process started, ms since 1970; 0 for long ago.
    #[serde(rename = "started")]
    pub started_at: f64,
}

/// What a source tells.
#[derive(Clone, Debug)]
pub enum Update {
    /// All servers as of a revision, so old when it was told, ms.
    Full { revision: u64, age_ms: f64, servers: Vec<Server> },
    /// What a revision changed.
    Change { revision: u64, put: Vec<Server>, removed: Vec<String> },
    /// Nothing, but the source is there.
    Alive,
    /// The connection broke, or the revision to go on from is compacted: what follows must be whole.
    Lost,
}

/// What became of news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateResult {
    /// The list is another one now.
    pub changed: bool,
    /// The source is to be asked for all of it.
    pub full_list_needed: bool,
    pub held_back: Option<HoldReason>,
}

/// Why a part of the news is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// So many of so many servers were gone at once.
    Shrunk { removed: usize, total: usize },
    /// The revision went back: a stale follower, or a registry that was set up anew.
    Backwards { from: u64, to: u64 },
}

/// A server that plays may go to, or that still has some.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub server: Server,
    /// Told by an old list alone.
    pub cached: bool,
}

#[derive(Clone, Default)]
struct Source {
    revision: u64,
    /// It has told all, and every change since.
    in_step: bool,
    last_heard_at: Option<f64>,
    reports: HashMap<String, ServerReport>,
    /// How many of them it lists.
    listed_count: usize,
    /// Servers whose removal is held back, and since when.
    held_removals: Option<(f64, BTreeSet<String>)>,
    /// A revision that is lower than one seen before, and since when.
    lower_revision: Option<(f64, u64)>,
}

/// A source's last word on a server; `server` is as it was before where it is gone.
#[derive(Clone)]
struct ServerReport {
    server: Server,
    gone: bool,
    from_old_list: bool,
    reported_at: f64,
}

/// A server as the view has it.
#[derive(Clone)]
struct Member {
    server: Server,
    availability: Option<Availability>,
    /// When it came back lately, and until when it gets nothing new for that.
    returned_at: VecDeque<f64>,
    drained_until: f64,
}

#[derive(Clone)]
pub struct View {
    config: MembershipConfig,
    sources: Vec<Source>,
    members: BTreeMap<String, Member>,
    /// Servers on which sources differ, which a mere word from one of them may settle otherwise.
    disputed: BTreeSet<String>,
}

impl View {
    pub fn new(config: MembershipConfig, sources: usize) -> View {
        View {
            config,
            sources: (0..sources).map(|_| Source::default()).collect(),
            members: BTreeMap::new(),
            disputed: BTreeSet::new(),
        }
    }

    /// The revision up to which a source has told all; none if it must tell all anew.
    pub fn revision(&self, source: usize) -> Option<u64> {
        self.sources[source].in_step.then_some(self.sources[source].revision)
    }

    /// When a source was last heard.
    pub fn last_heard_at(&self, source: usize) -> Option<f64> {
        self.sources[source].last_heard_at
    }

    /// Takes what a source tells.
    pub fn apply(&mut self, now: f64, source: usize, update: Update) -> UpdateResult {
        let was_in_step = self.in_step();
        let (mut affected, mut result) = match update {
            Update::Full { revision, age_ms, servers } => {
                self.apply_full_list(now, source, revision, age_ms, servers)
            }
            Update::Change { revision, put, removed } => {
                self.apply_change(now, source, revision, put, removed)
            }
            Update::Alive => (BTreeSet::new(), UpdateResult::default()),
            Update::Lost => {
                self.sources[source].in_step = false;
                return UpdateResult { full_list_needed: true, ..UpdateResult::default() };
            }
        };
        self.sources[source].last_heard_at = Some(now);
        if was_in_step != self.in_step() {
            // Whether old lists may add depends on it.
            affected.extend(self.members.keys().cloned());
        }
        affected.extend(self.disputed.iter().cloned());
        result.changed = self.update_members(now, affected);
        result
    }

    fn in_step(&self) -> bool {
        self.sources.iter().any(|s| s.in_step)
    }

    fn apply_full_list(
        &mut self,
        now: f64,
        source: usize,
        revision: u64,
        age_ms: f64,
        servers: Vec<Server>,
    ) -> (BTreeSet<String>, UpdateResult) {
        let (hold_ms, is_old) = (self.config.hold_ms, age_ms > self.config.max_list_age_ms);
        let source_state = &mut self.sources[source];
        if revision < source_state.revision {
            let (since, lower_revision) = *source_state.lower_revision.get_or_insert((now, revision));
            // What stays lower is a new history; until then only drains are taken from it.
            if now < since + hold_ms || revision < lower_revision {
                let draining = servers.into_iter().filter(|s| s.standing == Standing::Draining);
                let draining = draining
                    .filter(|s| source_state.reports.get(&s.name).is_some_and(|report| !report.gone))
                    .collect();
                let affected = source_state.record_servers(now, draining, is_old);
                let held_back = Some(HoldReason::Backwards { from: source_state.revision, to: revision });
                return (
                    affected,
                    UpdateResult { full_list_needed: true, held_back, ..UpdateResult::default() },
                );
            }
        }
        source_state.lower_revision = None;
        // A list as old as that is no ground to go on from.
        (source_state.revision, source_state.in_step) = (revision, !is_old);
        let listed_names: BTreeSet<&str> = servers.iter().map(|s| s.name.as_str()).collect();
        let known = source_state.reports.iter().filter(|(_, report)| !report.gone);
        let removed: Vec<String> = known
            .map(|(name, _)| name.clone())
            .filter(|name| !listed_names.contains(name.as_str()))
            .collect();
        if let Some((_, held)) = source_state.held_removals.as_mut() {
            held.retain(|name| !listed_names.contains(name.as_str()));
        }
        let mut affected = source_state.record_servers(now, servers, is_old);
        let held_back = self.apply_removals(now, source, removed, &mut affected);
        (
            affected,
            UpdateResult {
                full_list_needed: held_back.is_some() || is_old,
                held_back,
                ..UpdateResult::default()
            },
        )
    }

    fn apply_change(
        &mut self,
        now: f64,
        source: usize,
        revision: u64,
        put: Vec<Server>,
        removed: Vec<String>,
    ) -> (BTreeSet<String>, UpdateResult) {
        let source_state = &mut self.sources[source];
        if !source_state.in_step {
            // Something in between may be missing.
            return (BTreeSet::new(), UpdateResult { full_list_needed: true, ..UpdateResult::default() });
        }
        if revision <= source_state.revision {
            // A duplicate, or one that came late: what is known is newer.
            return (BTreeSet::new(), UpdateResult::default());
        }
        source_state.revision = revision;
        if let Some((_, held)) = source_state.held_removals.as_mut() {
            put.iter().for_each(|server| {
                held.remove(&server.name);
            });
        }
        let mut affected = source_state.record_servers(now, put, false);
        let held_back = self.apply_removals(now, source, removed, &mut affected);
        (
            affected,
            UpdateResult { full_list_needed: held_back.is_some(), held_back, ..UpdateResult::default() },
        )
    }

    /// Takes servers out of a source's list, or holds that back where too many go at once.
    fn apply_removals(
        &mut self,
        now: f64,
        source: usize,
        removed: Vec<String>,
        affected: &mut BTreeSet<String>,
    ) -> Option<HoldReason> {
        let config = self.config;
        let source_state = &mut self.sources[source];
        let total = source_state.listed_count;
        let mut removals: BTreeSet<String> = removed
            .into_iter()
            .filter(|name| source_state.reports.get(name).is_some_and(|report| !report.gone))
            .collect();
        let (since, already_held) = source_state.held_removals.take().unwrap_or((now, BTreeSet::new()));
        removals.extend(already_held);
        let too_many = removals.len() == total && total > 0
            || total >= MIN_SERVERS_FOR_SHARE
                && removals.len() as f64 > config.max_shrink_share * total as f64;
        let hold = too_many && now < since + config.hold_ms;
        // One that drained already has nothing to lose by being gone.
        let was_draining = |name: &String| {
            source_state.reports.get(name).is_some_and(|s| s.server.standing == Standing::Draining)
        };
        let (gone_now, held): (BTreeSet<String>, BTreeSet<String>) =
            removals.into_iter().partition(|name| !hold || was_draining(name));
        let held_count = held.len();
        source_state.held_removals = (held_count > 0).then_some((since, held));
        for name in gone_now {
            if let Some(report) = source_state.reports.get_mut(&name) {
                (report.gone, report.reported_at) = (true, now);
                source_state.listed_count -= 1;
            }
            affected.insert(name);
        }
        (held_count > 0).then_some(HoldReason::Shrunk { removed: held_count, total })
    }

    /// When something becomes due by time alone.
    pub fn next_deadline(&self) -> Option<f64> {
        let hold_ends =
            self.sources.iter().filter_map(|s| Some(s.held_removals.as_ref()?.0 + self.config.hold_ms));
        let drain_ends = self
            .members
            .values()
            .filter(|m| m.availability.is_some())
            .map(|m| m.drained_until)
            .filter(|t| *t > 0.0);
        hold_ends.chain(drain_ends).min_by(f64::total_cmp)
    }

    /// Takes up what has become due; true where the list is another one now. A removal that was held back counts only
    /// if its source has been heard since: one that is cut off has not told it again.
    pub fn tick(&mut self, now: f64) -> bool {
        let mut affected = BTreeSet::new();
        for source in 0..self.sources.len() {
            let source_state = &self.sources[source];
            let is_due = source_state.held_removals.as_ref().is_some_and(|(since, _)| {
                now >= since + self.config.hold_ms
                    && source_state
                        .last_heard_at
                        .is_some_and(|heard_at| heard_at >= since + self.config.hold_ms)
            });
            if is_due {
                self.apply_removals(now, source, Vec::new(), &mut affected);
            }
        }
        let forget_after = self.config.forget_gone_after_ms;
        for source_state in &mut self.sources {
            source_state.reports.retain(|_, report| !report.gone || now < report.reported_at + forget_after);
        }
        let settled = self.members.iter().filter(|(_, m)| m.drained_until > 0.0 && m.drained_until <= now);
        affected.extend(settled.map(|(name, _)| name.clone()));
        self.update_members(now, affected)
    }

    /// Settles these servers anew; true where one of them now stands otherwise.
    fn update_members(&mut self, now: f64, affected: BTreeSet<String>) -> bool {
        let in_step = self.in_step();
        let mut changed = false;
        for name in affected {
            let reports: Vec<(usize, &ServerReport)> = (0..self.sources.len())
                .filter_map(|source| Some((source, self.sources[source].reports.get(&name)?)))
                .collect();
            let inputs: Vec<Report> = reports
                .iter()
                .map(|(source, report)| Report {
                    state: match (report.gone, report.server.standing) {
                        (true, _) => ReportedState::Gone,
                        (false, Standing::Draining) => ReportedState::Draining,
                        (false, Standing::Ready) => ReportedState::Ready,
                    },
                    process_started_at: report.server.started_at,
                    reported_at: report.reported_at,
                    last_heard_at: self.sources[*source].last_heard_at.unwrap_or(f64::NEG_INFINITY),
                    from_old_list: report.from_old_list,
                })
                .collect();
            let is_disputed = inputs
                .iter()
                .any(|s| s.state != inputs[0].state || s.process_started_at != inputs[0].process_started_at);
            let availability = settle_reports(&inputs, in_step);
            // The newest process is the one that counts; of two words on it, the first source's.
            let newest =
                reports.iter().rev().max_by(|a, b| a.1.server.started_at.total_cmp(&b.1.server.started_at));
            let server = newest.map(|(_, report)| report.server.clone());
            if is_disputed {
                self.disputed.insert(name.clone());
            } else {
                self.disputed.remove(&name);
            }
            changed |= self.update_member(now, name, server, availability);
        }
        changed
    }

    fn update_member(
        &mut self,
        now: f64,
        name: String,
        server: Option<Server>,
        availability: Option<Availability>,
    ) -> bool {
        let (config, known) = (self.config, self.members.get(&name));
        let Some(mut server) = server else { return self.members.remove(&name).is_some() };
        // Another address is another process, whatever it says of its start.
        if known
            .is_some_and(|m| m.server.address != server.address && server.started_at <= m.server.started_at)
        {
            server.started_at = now;
        } else if let Some(m) = known.filter(|m| m.server.address == server.address) {
            server.started_at = server.started_at.max(m.server.started_at);
        }
        let Some(member) = self.members.get_mut(&name) else {
            let is_listed = availability.is_some();
            let member = Member { server, availability, returned_at: VecDeque::new(), drained_until: 0.0 };
            self.members.insert(name, member);
            return is_listed;
        };
        let has_returned = member.availability.is_none() && availability.is_some();
        if has_returned {
            member.returned_at.retain(|at| *at > now - config.return_window_ms);
            member.returned_at.push_back(now);
            if member.returned_at.len() >= config.max_returns {
                member.drained_until = now + config.return_window_ms;
            }
        }
        let has_settled = member.drained_until > 0.0 && member.drained_until <= now;
        if has_settled {
            (member.drained_until, member.returned_at) = (0.0, VecDeque::new());
        }
        let changed = has_settled || (member.availability, &member.server) != (availability, &server);
        (member.server, member.availability) = (server, availability);
        changed
    }

    /// The list as it is: servers that may get plays, and those that drain, by name.
    pub fn list(&self, now: f64) -> Vec<ListedServer> {
        let mut by_address: HashMap<SocketAddr, (f64, &str)> = HashMap::new();
        let listed = || self.members.iter().filter(|(_, m)| m.availability.is_some());
        // Two names at one address: the process that started last is the one that is there.
        for (name, m) in listed() {
            let newest = by_address.entry(m.server.address).or_insert((m.server.started_at, name));
            if m.server.started_at > newest.0 {
                *newest = (m.server.started_at, name);
            }
        }
        let current = listed().filter(|(name, m)| by_address[&m.server.address].1 == name.as_str());
        current
            .map(|(_, m)| {
                let drains = m.availability == Some(Availability::Draining) || m.drained_until > now;
                let standing = if drains { Standing::Draining } else { Standing::Ready };
                let server = Server { standing, ..m.server.clone() };
                ListedServer { server, cached: m.availability == Some(Availability::Cached) }
            })
            .collect()
    }
}

impl Source {
    /// Takes what is told of servers; of two words on one the process that started later counts.
    fn record_servers(&mut self, now: f64, servers: Vec<Server>, from_old_list: bool) -> BTreeSet<String> {
        let mut affected = BTreeSet::new();
        for server in servers {
            let name = server.name.clone();
            let repeated = affected.contains(&name);
            if repeated
                && self.reports.get(&name).is_some_and(|report| report.server.started_at >= server.started_at)
            {
                continue;
            }
            let unchanged = self.reports.get(&name).is_some_and(|report| {
                !report.gone && report.server == server && report.from_old_list == from_old_list
            });
            if !unchanged {
                self.listed_count += usize::from(self.reports.get(&name).is_none_or(|report| report.gone));
                self.reports.insert(
                    name.clone(),
                    ServerReport { server, gone: false, from_old_list, reported_at: now },
                );
                affected.insert(name);
            }
        }
        affected
    }
}
