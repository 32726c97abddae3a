//! Polling of the files that may be replaced while the front runs: the server list, token keys, certificates (with
//! `tls`) and home addresses; SIGHUP also loads the approved versions again (`approved_versions`). Each is loaded
//! and checked as a whole; an invalid one is logged and changes nothing. Called by the event loop's timers and on
//! SIGHUP.

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
    /// Loads the server list and puts it into effect, if its file was replaced or could not be read before.
    pub(crate) fn poll_list(&mut self) {
        let state = &mut self.state;
        if !state.list_file.check_replaced() {
            return;
        }
        match read_list(&state.config) {
            Ok(list) => {
                state.list_file.record_acceptance();
                self.apply_list(list, false);
            }
            // An unreadable list may contain a drain, so it is read again at every check until that succeeds. A list
            // that was read and is invalid stays invalid until it is replaced, and may be too large to be read at every
            // check.
            Err(e) => {
                if state.list_file.record_refusal(&e, matches!(e, LoadError::Unreadable { .. })) {
                    error!(target: "list", "list not taken, the current one stays in effect: {e}");
                }
            }
        }
    }

    /// Puts a list into effect: adds and updates servers and titles, closes idle connections to a server's previous
    /// address, and drops titles that are neither listed nor in use. `is_cached`: the list may be old, as at start.
    pub(crate) fn apply_list(&mut self, list: List, is_cached: bool) {
        let now = self.state.now();
        let state = &mut self.state;
        let (servers, numbers) = (&mut state.servers, &mut state.server_numbers);
        let mut connections_to_old_address = Vec::new();
        let entries = list.entries(&list_context(&state.config), |server| {
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
                connections_to_old_address.append(&mut servers[number as usize].idle_connections);
            }
            let media_server = &mut servers[number as usize];
            (media_server.zone, media_server.started_at) = (server.zone.clone(), server.started_ms as u64);
            number
        });
        connections_to_old_address
            .into_iter()
            .for_each(|connection| state.close_pooled_connection(connection));
        state.titles_by_number.values_mut().for_each(|(_, listed)| *listed = false);
        for title in &list.titles {
            let product = state.config.products.iter().position(|p| p.name == title.product);
            let next = state.next_title_number;
            let number =
                *state.title_numbers.entry((product.unwrap_or(0), title.name.clone())).or_insert(next);
            state.next_title_number += usize::from(number == next);
            state.titles_by_number.insert(number, (Rc::new(title.clone()), true));
        }
        if state.titles_by_number.len() > list.titles.len() {
            let titles_in_use = state.sessions.title_numbers();
            state.titles_by_number.retain(|number, (_, listed)| *listed || titles_in_use.contains(number));
            let titles_by_number = &state.titles_by_number;
            state.title_numbers.retain(|_, number| titles_by_number.contains_key(number));
        }
        state.fleet_update_list(&list);
        let draining = list.servers.iter().filter(|s| s.state == crate::server_list::State::Draining).count();
        info!(target: "list", servers = list.servers.len(), draining, titles = list.titles.len(), "list taken");
        self.dispatcher.update_list(now, true, is_cached, &entries);
    }

    /// Puts replaced certificates into effect, and logs those that expire soon. Connections of players stay open; idle
    /// connections to servers are closed, because the servers were verified by the previous certificates.
    pub(crate) fn poll_tls(&mut self) {
        let state = &mut self.state;
        let warn_before_s = (state.config.limits.expiry_ms / 1000.0) as u64;
        if state.tls.poll((state.wall_clock_now() / 1000.0) as u64, warn_before_s) {
            let idle_connections: Vec<ConnectionId> =
                state.servers.iter_mut().flat_map(|s| std::mem::take(&mut s.idle_connections)).collect();
            idle_connections.into_iter().for_each(|connection| state.close_pooled_connection(connection));
        }
    }

    /// Loads the home addresses of the fronts if their file was replaced. Until they are known this front accepts every
    /// session.
    pub(crate) fn poll_homes(&mut self) {
        let state = &mut self.state;
        let Some(watched) = state.homes_file.as_mut() else { return };
        if watched.check_replaced() {
            match load_home_addresses(watched.first_file(), state.config.fronts) {
                Ok(homes) => {
                    info!(target: "list", ?homes, "homes taken");
                    state.home_addresses = homes;
                    watched.record_acceptance();
                }
                Err(e) => {
                    if watched.record_refusal(&e, true) {
                        error!(target: "list", "homes not taken, the current ones stay in effect: {e}");
                    }
                }
            }
        }
    }

    /// Loads all files again now, on SIGHUP.
    pub(crate) fn reload_all_files(&mut self) {
        info!(target: "front", "reloading the list, keys, certificates, homes and approved versions");
        self.state.list_file.force_reread();
        self.state.keys_file.iter_mut().for_each(WatchedFiles::force_reread);
        self.state.tls.force_reread();
        self.state.homes_file.iter_mut().for_each(WatchedFiles::force_reread);
        self.poll_homes();
        self.poll_list();
        self.poll_keys();
        self.poll_tls();
        if let Some(approved_file) = self.state.fleet.as_mut().and_then(|fleet| fleet.approved_file.as_mut())
        {
            approved_file.force_reread();
        }
        self.poll_approved_versions();
    }

    /// Puts replaced keys into effect and ends the plays of sessions that are revoked now. The whole set is checked
    /// first, so that an invalid set changes nothing.
    pub(crate) fn poll_keys(&mut self) {
        let state = &mut self.state;
        let now = state.wall_clock_now();
        let overlap_s = (state.config.limits.key_overlap_ms / 1000.0).ceil() as u64;
        let Some(watched) = state.keys_file.as_mut() else { return };
        if !watched.check_replaced() {
            return;
        }
        let now_s = (now / 1000.0) as u64;
        let replaced = Keys::load(watched.first_file()).map_err(|e| e.to_string()).and_then(
            |(keys, entry_secrets, session_secrets)| {
                let (entry_ring, session_ring) = (&mut state.entry_key_ring, &mut state.session_key_ring);
                // Both are checked before either is changed.
                entry_ring
                    .check_replace(&entry_secrets, now_s)
                    .and(session_ring.check_replace(&session_secrets, now_s))
                    .map_err(|e| e.to_string())?;
                entry_ring.replace(&entry_secrets, now_s, overlap_s).map_err(|e| e.to_string())?;
                session_ring.replace(&session_secrets, now_s, overlap_s).map_err(|e| e.to_string())?;
                Ok(keys.revoked)
            },
        );
        let revoked = match replaced {
            Ok(revoked) => revoked,
            // The secrets are separate files, which may be written after the file that names them.
            Err(e) => {
                if watched.record_refusal(&e, true) {
                    error!(target: "keys", "keys not taken, the current ones stay in effect: {e}");
                }
                return;
            }
        };
        watched.record_acceptance();
        let (entry_ring, session_ring) = (&state.entry_key_ring, &state.session_key_ring);
        info!(target: "keys", entry = ?entry_ring, pass = ?session_ring, revoked = revoked.len(), "keys taken");
        state.revoked = revoked.into_iter().collect();
        let revoked_plays: Vec<u64> =
            state.revoked.iter().filter_map(|id| state.sessions.by_id(id)).collect();
        for play in revoked_plays {
            self.revoke(play);
            self.process_pending();
        }
    }
}
