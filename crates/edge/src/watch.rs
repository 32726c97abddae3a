//! Files that are looked at while the front runs: the list, token keys, certificates and homes. Each is read and checked
//! whole; of a bad one nothing is taken, and what is in hand stays.

use crate::config::{Keys, load_home_addresses};
use crate::connections::ConnectionId;
use crate::edge::{Edge, list_context, read_list};
use crate::server_list::{List, WatchedFiles};
use crate::state::MediaServer;
use pulleystair_admission::read_retries::RetryBudget;
use pulleystair_jsonnet::LoadError;
use std::collections::VecDeque;
use std::rc::Rc;
use tracing::{error, info};

impl Edge {
    pub(crate) fn poll_list(&mut self) {
        let floor = &mut self.state;
        if !floor.list_file.check_replaced() {
            return;
        }
        match read_list(&floor.config) {
            Ok(list) => {
                floor.list_file.taken();
                self.apply_list(list, false);
            }
            // One that could not be read may hold a drain: it is read as soon as it can be. One that was read and is
            // wrong stays wrong until it is replaced, and may be too large to be read at every look.
            Err(e) => {
                if floor.list_file.refused(&e, matches!(e, LoadError::Unreadable { .. })) {
                    error!(target: "list", "list not taken, the one in hand stays: {e}");
                }
            }
        }
    }

    /// Puts a list in service; `old` where nobody has said that it is of now, as at start.
    pub(crate) fn apply_list(&mut self, list: List, old: bool) {
        let now = self.state.now();
        let floor = &mut self.state;
        let (servers, numbers) = (&mut floor.servers, &mut floor.server_numbers);
        let mut stale = Vec::new();
        let lines = list.entries(&list_context(&floor.config), |server| {
            let next = servers.len() as u32;
            let number = *numbers.entry(server.name.clone()).or_insert(next);
            if number == next {
                servers.push(MediaServer {
                    name: server.name.clone(),
                    address: server.address,
                    stable_id: pulleystair_fleet_member::stable_id(&server.name),
                    zone: server.zone.clone(),
                    started_at: server.started_ms as u64,
                    idle_connections: Vec::new(),
                    connection_count: 0,
                    waiting_requests: VecDeque::new(),
                    retry_budget: RetryBudget::default(),
                });
            } else if servers[number as usize].address != server.address {
                servers[number as usize].address = server.address;
                stale.append(&mut servers[number as usize].idle_connections);
            }
            let at = &mut servers[number as usize];
            (at.zone, at.started_at) = (server.zone.clone(), server.started_ms as u64);
            number
        });
        stale.into_iter().for_each(|key| floor.close_pooled_connection(key));
        floor.titles_by_number.values_mut().for_each(|(_, listed)| *listed = false);
        for title in &list.titles {
            let product = floor.config.products.iter().position(|p| p.name == title.product);
            let next = floor.next_title_number;
            let number =
                *floor.title_numbers.entry((product.unwrap_or(0), title.name.clone())).or_insert(next);
            floor.next_title_number += usize::from(number == next);
            floor.titles_by_number.insert(number, (Rc::new(title.clone()), true));
        }
        if floor.titles_by_number.len() > list.titles.len() {
            let known = floor.sessions.title_numbers();
            floor.titles_by_number.retain(|number, (_, listed)| *listed || known.contains(number));
            let shows = &floor.titles_by_number;
            floor.title_numbers.retain(|_, number| shows.contains_key(number));
        }
        floor.fleet_update_list(&list);
        let draining = list.servers.iter().filter(|s| s.state == crate::server_list::State::Draining).count();
        info!(target: "list", servers = list.servers.len(), draining, titles = list.titles.len(), "list taken");
        self.dispatcher.update_list(now, true, old, &lines);
    }

    /// Puts replaced certificates in service. Connections of players live on; idle ones to servers are closed, for
    /// they were made with servers that another set vouched for.
    pub(crate) fn poll_tls(&mut self) {
        let floor = &mut self.state;
        let near = (floor.config.limits.expiry_ms / 1000.0) as u64;
        if floor.tls.look((floor.wall_clock_now() / 1000.0) as u64, near) {
            let idle: Vec<ConnectionId> =
                floor.servers.iter_mut().flat_map(|s| std::mem::take(&mut s.idle_connections)).collect();
            idle.into_iter().for_each(|key| floor.close_pooled_connection(key));
        }
    }

    /// Takes up where the fronts are to be had. Until that is known this front takes what comes.
    pub(crate) fn poll_homes(&mut self) {
        let floor = &mut self.state;
        let Some(watched) = floor.homes_file.as_mut() else { return };
        if watched.check_replaced() {
            match load_home_addresses(watched.file(), floor.config.fronts) {
                Ok(homes) => {
                    info!(target: "list", ?homes, "homes taken");
                    floor.home_addresses = homes;
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
    pub(crate) fn reload_all_files(&mut self) {
        info!(target: "front", "looks at list, keys and certificates anew");
        self.state.list_file.again();
        self.state.keys_file.iter_mut().for_each(WatchedFiles::again);
        self.state.tls.again();
        self.state.homes_file.iter_mut().for_each(WatchedFiles::again);
        self.poll_homes();
        self.poll_list();
        self.poll_keys();
        self.poll_tls();
        if let Some(approved) = self.state.fleet.as_mut().and_then(|it| it.approved.as_mut()) {
            approved.again();
        }
        self.poll_approved_versions();
    }

    /// Puts replaced keys in service: checked whole first, so that of a bad set nothing is taken.
    pub(crate) fn poll_keys(&mut self) {
        let floor = &mut self.state;
        let now = floor.wall_clock_now();
        let overlap = (floor.config.limits.key_overlap_ms / 1000.0).ceil() as u64;
        let Some(watched) = floor.keys_file.as_mut() else { return };
        if !watched.check_replaced() {
            return;
        }
        let now = (now / 1000.0) as u64;
        let taken = Keys::load(watched.file()).map_err(|e| e.to_string()).and_then(|(keys, entry, pass)| {
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
        let ended: Vec<u64> = floor.revoked.iter().filter_map(|id| floor.sessions.by_id(id)).collect();
        for play in ended {
            self.revoke(play);
            self.process_pending();
        }
    }
}
