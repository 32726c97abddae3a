//! Files that are looked at while the front runs: the list, token keys, certificates and homes. Each is read and checked
//! whole; of a bad one nothing is taken, and what is in hand stays.

use crate::config::{Keys, homes};
use crate::connections::ConnectionId;
use crate::edge::{Edge, known, read_list};
use crate::floor::Server;
use crate::server_list::{List, Watched};
use pulleystair_admission::read_retries::RetryBudget;
use pulleystair_jsonnet::LoadError;
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{error, info};

impl Edge {
    pub(crate) fn look_at_list(&mut self) {
        let floor = &mut self.floor;
        if !floor.watched.replaced() {
            return;
        }
        match read_list(&floor.rundown) {
            Ok(list) => {
                floor.watched.taken();
                self.take_list(list, false);
            }
            // One that could not be read may hold a drain: it is read as soon as it can be. One that was read and is
            // wrong stays wrong until it is replaced, and may be too large to be read at every look.
            Err(e) => {
                if floor.watched.refused(&e, matches!(e, LoadError::Unreadable { .. })) {
                    error!(target: "list", "list not taken, the one in hand stays: {e}");
                }
            }
        }
    }

    /// Puts a list in service; `old` where nobody has said that it is of now, as at start.
    pub(crate) fn take_list(&mut self, list: List, old: bool) {
        let now = self.floor.now();
        let floor = &mut self.floor;
        let (servers, numbers) = (&mut floor.servers, &mut floor.server_numbers);
        let mut stale = Vec::new();
        let lines = list.lines(&known(&floor.rundown), |server| {
            let next = servers.len() as u32;
            let number = *numbers.entry(server.name.clone()).or_insert(next);
            if number == next {
                servers.push(Server {
                    name: server.name.clone(),
                    address: server.address,
                    id: pulleystair_fleet_member::stable_id(&server.name),
                    zone: server.zone.clone(),
                    born: server.started_ms as u64,
                    idle: Vec::new(),
                    lines: 0,
                    queue: VecDeque::new(),
                    budget: RetryBudget::default(),
                });
            } else if servers[number as usize].address != server.address {
                servers[number as usize].address = server.address;
                stale.append(&mut servers[number as usize].idle);
            }
            let at = &mut servers[number as usize];
            (at.zone, at.born) = (server.zone.clone(), server.started_ms as u64);
            number
        });
        stale.into_iter().for_each(|key| floor.drop_errands_line(key));
        floor.shows.values_mut().for_each(|(_, listed)| *listed = false);
        for title in &list.titles {
            let product = floor.rundown.products.iter().position(|p| p.name == title.product);
            let next = floor.next_title;
            let number = *floor.titles.entry((product.unwrap_or(0), title.name.clone())).or_insert(next);
            floor.next_title += usize::from(number == next);
            floor.shows.insert(number, (Rc::new(title.clone()), true));
        }
        if floor.shows.len() > list.titles.len() {
            let known = floor.book.titles();
            floor.shows.retain(|number, (_, listed)| *listed || known.contains(number));
            let shows = &floor.shows;
            floor.titles.retain(|_, number| shows.contains_key(number));
        }
        floor.company_listed(&list);
        let draining = list.servers.iter().filter(|s| s.state == crate::server_list::State::Draining).count();
        info!(target: "list", servers = list.servers.len(), draining, titles = list.titles.len(), "list taken");
        self.desk.update_list(now, true, old, &lines);
    }

    /// Puts replaced certificates in service. Connections of players live on; idle ones to servers are closed, for
    /// they were made with servers that another set vouched for.
    pub(crate) fn look_at_seals(&mut self) {
        let floor = &mut self.floor;
        let near = (floor.rundown.limits.expiry_ms / 1000.0) as u64;
        if floor.seals.look((floor.time_of_day() / 1000.0) as u64, near) {
            let idle: Vec<ConnectionId> =
                floor.servers.iter_mut().flat_map(|s| std::mem::take(&mut s.idle)).collect();
            idle.into_iter().for_each(|key| floor.drop_errands_line(key));
        }
    }

    /// Takes up where the fronts are to be had. Until that is known this front takes what comes.
    pub(crate) fn look_at_homes(&mut self) {
        let floor = &mut self.floor;
        let Some(watched) = floor.homes_file.as_mut() else { return };
        if watched.replaced() {
            match homes(watched.file(), floor.rundown.fronts) {
                Ok(homes) => {
                    info!(target: "list", ?homes, "homes taken");
                    floor.homes = homes;
                    watched.taken();
                }
                Err(e) => {
                    if watched.refused(&e, true) {
                        error!(target: "list", "homes not taken, those in hand stay: {e}");
                    }
                }
            }
        }
    }

    /// Told to look at all files now.
    pub(crate) fn look_at_all(&mut self) {
        info!(target: "front", "looks at list, keys and certificates anew");
        self.floor.watched.again();
        self.floor.keys.iter_mut().for_each(Watched::again);
        self.floor.seals.again();
        self.floor.homes_file.iter_mut().for_each(Watched::again);
        self.look_at_homes();
        self.look_at_list();
        self.look_at_keys();
        self.look_at_seals();
        if let Some(approved) = self.floor.company.as_mut().and_then(|it| it.approved.as_mut()) {
            approved.again();
        }
        self.look_at_versions();
    }

    /// Puts replaced keys in service: checked whole first, so that of a bad set nothing is taken.
    pub(crate) fn look_at_keys(&mut self) {
        let floor = &mut self.floor;
        let now = floor.time_of_day();
        let overlap = (floor.rundown.limits.key_overlap_ms / 1000.0).ceil() as u64;
        let Some(watched) = floor.keys.as_mut() else { return };
        if !watched.replaced() {
            return;
        }
        let now = (now / 1000.0) as u64;
        let taken = Keys::read(watched.file()).map_err(|e| e.to_string()).and_then(|(keys, entry, pass)| {
            let (entries, passes) = (&mut floor.entry_keys, &mut floor.pass_keys);
            // Both are asked before either is changed.
            entries
                .may_replace(&entry, now)
                .and(passes.may_replace(&pass, now))
                .map_err(|e| e.to_string())?;
            entries.replace(&entry, now, overlap).map_err(|e| e.to_string())?;
            passes.replace(&pass, now, overlap).map_err(|e| e.to_string())?;
            Ok(keys.revoked)
        });
        let revoked = match taken {
            Ok(revoked) => revoked,
            // The secrets are files of their own, and may come after the file that names them.
            Err(e) => {
                if watched.refused(&e, true) {
                    error!(target: "keys", "keys not taken, those in service stay: {e}");
                }
                return;
            }
        };
        watched.taken();
        let (entry, pass) = (&floor.entry_keys, &floor.pass_keys);
        info!(target: "keys", ?entry, ?pass, revoked = revoked.len(), "keys taken");
        floor.revoked = revoked.into_iter().collect();
        let ended: Vec<u64> = floor.revoked.iter().filter_map(|id| floor.book.by_id(id)).collect();
        for play in ended {
            self.revoke(play);
            self.settle();
        }
    }
}
