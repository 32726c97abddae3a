//! Merges the server lists of several sources (a file, a registry) into one [`View`]. The view handles late and repeated
//! changes, servers listed by two sources, lists that shrink suspiciously, and old lists. The module does no I/O: callers
//! pass in the time, ms, and each source's updates, read the list when [`UpdateResult::changed`] is set, and call
//! [`View::tick`] at [`View::next_deadline`].
//!
//! [`endpoints`] selects the registry endpoint that is queried next; [`snapshot`] stores the last list as bytes.
//!
//! Reports that take a server out of use apply sooner than reports that add one. A drain applies at once, from any
//! source. A removal applies at once, unless so many servers are removed together that a wrong list is more likely than
//! the loss of that many servers.

pub mod endpoints;
mod merge;
pub mod snapshot;

pub use merge::{Availability, Report, ReportedState, merge_reports};

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// Limits on how far the lists of the sources are trusted.
#[derive(Clone, Copy, Debug)]
pub struct MembershipConfig {
    /// If a list loses more than this share of its servers in one update, their removal is held back.
    pub max_shrink_share: f64,
    /// How long removals are held back, ms; they apply once their source was heard after that time. A full list of a lower
    /// revision is held back as long.
    pub hold_ms: f64,
    /// A server that came back this many times within `return_window_ms` gets no new plays for another `return_window_ms`.
    pub drain_after_returns: usize,
    pub return_window_ms: f64,
    /// A list older than this, ms, adds servers only while no source is synced.
    pub max_list_age_ms: f64,
    /// How long a report that a server is gone is kept, ms.
    pub forget_gone_after_ms: f64,
}

/// [`MembershipConfig::max_shrink_share`] applies to lists of at least this many servers. Shorter ones may lose any share
/// at once, but not all of their servers.
const MIN_SERVERS_FOR_SHARE: usize = 4;

/// Whether a server takes new plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    Ready,
    Draining,
}

/// A server as a source lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Kind of server, one of those that the settings define.
    pub kind: String,
    /// Number of the cell that the server fills; the cell determines which titles the server holds.
    pub cell: usize,
    pub weight: f64,
    pub standing: Standing,
    /// When the process of the server started, ms since 1970; 0 for long ago.
    #[serde(rename = "started")]
    pub started_at: f64,
}

/// An update from a source.
#[derive(Clone, Debug)]
pub enum Update {
    /// All servers as of a revision. `age_ms` is the age of the list when it was sent.
    Full { revision: u64, age_ms: f64, servers: Vec<Server> },
    /// The servers that a revision added, changed or removed.
    Change { revision: u64, put: Vec<Server>, removed: Vec<String> },
    /// Nothing changed; the source is reachable.
    Alive,
    /// The connection broke, or the revision to continue from is compacted: the next update must be a full list.
    Lost,
}

/// Effect of an update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpdateResult {
    /// Whether the merged list may have changed: it is set too if a server that is not listed changed.
    pub changed: bool,
    /// Whether the source must be asked for its full list.
    pub full_list_needed: bool,
    /// Why a part of the update was held back, if it was.
    pub held_back: Option<HoldReason>,
}

/// Why a part of an update is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The update removes this many of the servers that the source lists.
    Shrunk { removed: usize, total: usize },
    /// The list's revision is lower than the known one: the source read a stale follower, or the registry was set up anew.
    LowerRevision { from: u64, to: u64 },
}

/// A server that may get plays, or that drains.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    pub server: Server,
    /// Whether only an old list reports the server ready.
    pub unconfirmed: bool,
}

/// What is known from one source.
#[derive(Clone, Default)]
struct Source {
    revision: u64,
    /// Whether the full list and every change since have arrived.
    is_synced: bool,
    last_heard_at: Option<f64>,
    /// The last report on each server, by name.
    reports: HashMap<String, ServerReport>,
    /// Number of reports on servers that are not gone.
    listed_count: usize,
    /// Since when removals are held back, ms, and the names of the servers to remove. Removals held back later share the time
    /// of the first.
    held_removals: Option<(f64, BTreeSet<String>)>,
    /// When a full list of a lower revision first arrived since the last full list that was applied, ms, and the revision of
    /// that list.
    lower_revision: Option<(f64, u64)>,
}

/// A source's last report on a server. Where `gone` is set, `server` is as it was before its removal.
#[derive(Clone)]
struct ServerReport {
    server: Server,
    gone: bool,
    from_old_list: bool,
    reported_at: f64,
}

/// A server in the merged view.
#[derive(Clone)]
struct Member {
    server: Server,
    availability: Option<Availability>,
    /// When the server came back, within [`MembershipConfig::return_window_ms`].
    returned_at: VecDeque<f64>,
    /// The server gets no new plays before this time because it came back too often; 0 if it did not.
    drained_until: f64,
}

/// The merged server list of all sources.
#[derive(Clone)]
pub struct View {
    config: MembershipConfig,
    sources: Vec<Source>,
    members: BTreeMap<String, Member>,
    /// Servers on which the sources disagree. Hearing from a source can change their availability even if its reports stay
    /// the same.
    disputed: BTreeSet<String>,
}

impl View {
    /// An empty view of this many sources, which callers name by index.
    pub fn new(config: MembershipConfig, source_count: usize) -> View {
        View {
            config,
            sources: (0..source_count).map(|_| Source::default()).collect(),
            members: BTreeMap::new(),
            disputed: BTreeSet::new(),
        }
    }

    /// The revision up to which all of a source's changes are known; none if its full list is needed.
    pub fn revision(&self, source: usize) -> Option<u64> {
        self.sources[source].is_synced.then_some(self.sources[source].revision)
    }

    /// When a source was last heard.
    pub fn last_heard_at(&self, source: usize) -> Option<f64> {
        self.sources[source].last_heard_at
    }

    /// Applies an update from a source.
    pub fn apply(&mut self, now: f64, source: usize, update: Update) -> UpdateResult {
        let was_any_synced = self.any_source_synced();
        let (mut affected, mut result) = match update {
            Update::Full { revision, age_ms, servers } => {
                self.apply_full_list(now, source, revision, age_ms, servers)
            }
            Update::Change { revision, put, removed } => {
                self.apply_change(now, source, revision, put, removed)
            }
            Update::Alive => (BTreeSet::new(), UpdateResult::default()),
            Update::Lost => {
                self.sources[source].is_synced = false;
                return UpdateResult { full_list_needed: true, ..UpdateResult::default() };
            }
        };
        self.sources[source].last_heard_at = Some(now);
        if was_any_synced != self.any_source_synced() {
            // Whether old lists may add servers depends on whether a source is synced.
            affected.extend(self.members.keys().cloned());
        }
        affected.extend(self.disputed.iter().cloned());
        result.changed = self.update_members(now, affected);
        result
    }

    /// Whether any source is synced.
    fn any_source_synced(&self) -> bool {
        self.sources.iter().any(|s| s.is_synced)
    }

    /// Replaces a source's list. Returns the names of the servers that it affects, and the effect.
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
            // If the revision is still lower after the hold time, and not below the first lower one, the registry was set
            // up anew, and the list applies. Until then only the drains of listed servers apply.
            if now < since + hold_ms || revision < lower_revision {
                let draining = servers.into_iter().filter(|s| s.standing == Standing::Draining);
                let draining = draining
                    .filter(|s| source_state.reports.get(&s.name).is_some_and(|report| !report.gone))
                    .collect();
                let affected = source_state.record_servers(now, draining, is_old);
                let held_back = Some(HoldReason::LowerRevision { from: source_state.revision, to: revision });
                return (
                    affected,
                    UpdateResult { full_list_needed: true, held_back, ..UpdateResult::default() },
                );
            }
        }
        source_state.lower_revision = None;
        // Changes can't be applied to a list that is too old.
        (source_state.revision, source_state.is_synced) = (revision, !is_old);
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

    /// Applies a change to a source's list. Returns the names of the servers that it affects, and the effect.
    fn apply_change(
        &mut self,
        now: f64,
        source: usize,
        revision: u64,
        put: Vec<Server>,
        removed: Vec<String>,
    ) -> (BTreeSet<String>, UpdateResult) {
        let source_state = &mut self.sources[source];
        if !source_state.is_synced {
            // A change in between may be missing.
            return (BTreeSet::new(), UpdateResult { full_list_needed: true, ..UpdateResult::default() });
        }
        if revision <= source_state.revision {
            // A repeated or late change: the known state is newer.
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

    /// Removes servers from a source's list, together with those held back before. Holds the removals back if there are too
    /// many at once. Adds the names of the removed servers to `affected`.
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
        // A draining server gets no new plays anyway, so its removal is never held back.
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

    /// When [`View::tick`] must be called next: held removals may apply, or a server may get new plays again.
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

    /// Applies what has become due; true if a server changed, listed or not. Held removals apply only if their source was heard
    /// after the hold time: a source that is cut off has not confirmed them.
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
        let drain_ended =
            self.members.iter().filter(|(_, m)| m.drained_until > 0.0 && m.drained_until <= now);
        affected.extend(drain_ended.map(|(name, _)| name.clone()));
        self.update_members(now, affected)
    }

    /// Merges the reports on these servers again; true if one of them changed, listed or not.
    fn update_members(&mut self, now: f64, affected: BTreeSet<String>) -> bool {
        let any_source_synced = self.any_source_synced();
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
            let availability = merge_reports(&inputs, any_source_synced);
            // The newest process counts; of two reports on it, the one of the first source.
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

    /// Sets a server's entry in the view, or removes it; true if the entry changed. A new entry that is not listed does not
    /// count.
    fn update_member(
        &mut self,
        now: f64,
        name: String,
        server: Option<Server>,
        availability: Option<Availability>,
    ) -> bool {
        let (config, known) = (self.config, self.members.get(&name));
        let Some(mut server) = server else { return self.members.remove(&name).is_some() };
        // A new address means a new process: without a later start time, the process counts as started now. At the same
        // address, the start time never decreases.
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
            if member.returned_at.len() >= config.drain_after_returns {
                member.drained_until = now + config.return_window_ms;
            }
        }
        let has_drain_ended = member.drained_until > 0.0 && member.drained_until <= now;
        if has_drain_ended {
            (member.drained_until, member.returned_at) = (0.0, VecDeque::new());
        }
        let changed = has_drain_ended || (member.availability, &member.server) != (availability, &server);
        (member.server, member.availability) = (server, availability);
        changed
    }

    /// The merged list by name: servers that may get plays, and those that drain.
    pub fn list(&self, now: f64) -> Vec<ListedServer> {
        let mut by_address: HashMap<SocketAddr, (f64, &str)> = HashMap::new();
        let listed = || self.members.iter().filter(|(_, m)| m.availability.is_some());
        // Where two names share one address, the process that started last is the one that runs; of equal start times, the
        // first name is listed.
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
                ListedServer { server, unconfirmed: m.availability == Some(Availability::Unconfirmed) }
            })
            .collect()
    }
}

impl Source {
    /// Records reports on servers, and returns the names of those that changed. Where an update lists a server twice, the
    /// process that started later counts.
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
