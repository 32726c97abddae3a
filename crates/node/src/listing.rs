//! The list of media servers: what is known at the start, and the name service asked for the rest, again and again.

use crate::config::Config;
use crate::floor::{Clock, Floor, News};
use crate::node::Node;
use crate::shares::{SOON, lacks};
use anyhow::Context;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use pulleystair::{Listing, Outcome, Standing};
use pulleystair_dns_discovery::{self as dns, ServerEntry};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info, warn};

/// So often is the list asked for, ms, and the part by which each wait is longer or shorter, so that nodes which started or
/// were signalled together do not ask together. A change is in use well within half a second of being told.
const ASK: f64 = 200.0;
const UNEVEN: f64 = 0.25;
/// Names of zones and of kinds at most, the settings' and others.
const STRANGE: usize = 4_096;
/// Questions whose answers are still taken.
const WAITING: usize = 8;
/// Of answers in a row that can't be taken, one in so many is warned of.
const FAULTS: u32 = 50;

/// The name service as it is asked.
pub(crate) struct Asking {
    socket: UdpSocket,
    source: RegistrationToken,
    ids: VecDeque<u16>,
    /// When it is asked next; clocks that ring before that are left over.
    due: f64,
    /// The number of the last event that is in use.
    pub(crate) rev: Option<u32>,
    /// An answer has been taken since the start.
    pub(crate) heard: bool,
    /// What answers are read into; pages that none has filled are not had.
    room: Vec<u8>,
    /// Answers in a row that could not be taken.
    faults: u32,
}

fn socket(to: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if to.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(to)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Asking {
    pub(crate) fn new(floor: &Floor, rev: Option<u32>, heard: bool) -> anyhow::Result<Asking> {
        let socket = socket(floor.posting.resolver).context("resolver")?;
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        let source = floor.handle.insert_source(source, |_, _, node: &mut Node| {
            node.hear();
            Ok(PostAction::Continue)
        });
        let source = source.map_err(|e| anyhow::Error::new(std::io::Error::from(e.error)))?;
        Ok(Asking {
            socket,
            source,
            ids: VecDeque::new(),
            due: 0.0,
            rev,
            heard,
            room: vec![0; dns::MAX_BYTES],
            faults: 0,
        })
    }
}

impl Node {
    /// The events of the start, or those of a new file, as the one list that they come to: events that are long past by then start
    /// and end nothing. Before the name service was heard the list may be older than what it tells of; later it is taken for being
    /// newer, and tells of starts as the name service's answers do.
    pub(crate) fn take_known(&mut self) {
        let (whole, entries) = self.floor.posting.known.list();
        self.floor.posting.known.notices.clear();
        self.take_list(whole, !self.asking.heard, &entries);
        self.asking.rev = Some(self.floor.posting.known.rev);
    }

    pub(crate) fn ask_if_due(&mut self, now: f64) {
        if now >= self.asking.due {
            self.ask();
        }
    }

    pub(crate) fn ask(&mut self) {
        let id = self.floor.rnd.rand_range(0..1 << 16) as u16;
        let asking = &mut self.asking;
        asking.ids.push_back(id);
        if asking.ids.len() > WAITING {
            asking.ids.pop_front();
        }
        // What can't be sent now is asked again soon.
        let _ = asking.socket.send(&dns::query(id));
        let wait = ASK * (1.0 + UNEVEN * (2.0 * self.floor.rnd.rand_float() - 1.0));
        let due = self.floor.now() + wait;
        asking.due = due;
        self.floor.clock(due, Clock::Ask);
    }

    fn hear(&mut self) {
        for _ in 0..WAITING {
            let asking = &mut self.asking;
            let Ok(n) = asking.socket.recv(&mut asking.room) else { return };
            let came = &asking.room[..n];
            if !dns::response_id(came).is_some_and(|id| asking.ids.contains(&id)) {
                debug!(target: "names", "answer to nothing that was asked");
                continue;
            }
            match dns::parse_response(came) {
                Err(e) => {
                    asking.faults += 1;
                    // A list that stands still for want of a whole answer is not to stand still in silence.
                    if asking.faults % FAULTS == 1 {
                        warn!(target: "names", rev = asking.rev, in_a_row = asking.faults, "answer not taken: {e}");
                    }
                }
                Ok((serial, list)) => {
                    asking.faults = 0;
                    let newer = dns::is_newer(asking.rev, serial);
                    let same = asking.rev == Some(serial);
                    // The list of the start is vouched for by the first answer that is not older.
                    if newer || same && !asking.heard {
                        (asking.rev, asking.heard) = (Some(serial), true);
                        info!(target: "names", serial, servers = list.len(), "list");
                        self.take_list(true, false, &list);
                    }
                }
            }
        }
    }

    fn take_list(&mut self, whole: bool, cached: bool, entries: &[ServerEntry]) {
        let now = self.floor.now();
        let mut lines = Vec::new();
        let mut restarted = Vec::new();
        if whole {
            for server in self.floor.servers.values_mut().filter(|s| s.address.is_some()) {
                server.listing.standing = Standing::Gone;
            }
        }
        for entry in entries {
            let number = self.floor.number(&entry.id);
            let terms = &mut self.floor.terms;
            let listing = Listing {
                server: 0,
                zone: number_of(&mut terms.zones, &entry.zone, "zone"),
                kind: number_of(&mut terms.kinds, &entry.kind, "kind"),
                cell: entry.cell,
                standing: entry.standing,
                weight: entry.weight,
                started_at: entry.started,
            };
            lines.push((number, listing));
            let Some(server) = self.floor.servers.get_mut(&number) else { continue };
            let moved = server.address.is_some_and(|a| a != entry.address);
            if server.address.is_some() && (moved || listing.started_at > server.listing.started_at) {
                restarted.push((number, if moved { f64::INFINITY } else { listing.started_at }));
            }
            (server.address, server.listing) = (Some(entry.address), listing);
        }
        self.desk.update_list(now, whole, cached, &lines);
        for (number, born) in restarted {
            self.restarted(number, born);
        }
        self.stay_away();
        self.settle();
        self.forget_gone();
    }

    /// Set-ups that wait on their lines to servers that take nothing new by now are not sent any more.
    fn stay_away(&mut self) {
        let leaving = self.floor.servers.iter().filter(|(_, s)| s.listing.standing != Standing::Ready);
        let lines: Vec<(u32, u64)> =
            leaving.flat_map(|(n, s)| s.lines.iter().map(|key| (*n, *key))).collect();
        for (server, key) in lines {
            let open: Vec<u64> =
                self.floor.wire(key).map_or(Vec::new(), |w| w.open.iter().map(|o| o.play).collect());
            for play in open {
                if self.floor.take_back(key, play) {
                    self.floor.news.push_back(News { play, server, outcome: Outcome::NeverSent });
                }
            }
        }
    }

    /// The file is read anew; its name service is asked from now on. What fails for lack of a descriptor is tried again: at once if a
    /// connection that needs none can give way, else soon.
    pub(crate) fn read_anew(&mut self, again: bool) {
        let fault = match self.turn_to_file() {
            Err(e) if is_lack(&e) && self.make_room() => self.turn_to_file().err(),
            other => other.err(),
        };
        match fault {
            Some(e) if is_lack(&e) => {
                if !again {
                    warn!(target: "node", "the old posting stays in force until there is a descriptor: {e:#}");
                }
                let soon = self.floor.now() + SOON;
                self.floor.clock(soon, Clock::Anew);
            }
            Some(e) => warn!(target: "node", "the old posting stays in force: {e:#}"),
            None => self.ask(),
        }
    }

    fn turn_to_file(&mut self) -> anyhow::Result<()> {
        let posting = Config::read(&self.floor.posting.path)?;
        let old = &self.floor.posting;
        // Another node's file, and maybe another customer's: nothing of it is this one's.
        if (&posting.name, posting.listen) != (&old.name, old.listen) {
            let (name, listen) = (&old.name, old.listen);
            anyhow::bail!("name, listen: {:?} at {}, not {name:?} at {listen}", posting.name, posting.listen);
        }
        if posting.policy_settings != old.policy_settings {
            warn!(target: "node", "settings: they have changed; those of the start stay in force until a restart");
        }
        let was = std::mem::replace(&mut self.floor.posting.resolver, posting.resolver);
        let asking = Asking::new(&self.floor, self.asking.rev, self.asking.heard)
            .inspect_err(|_| self.floor.posting.resolver = was)?;
        let old = std::mem::replace(&mut self.asking, asking);
        self.floor.handle.remove(old.source);
        info!(target: "names", %was, resolver = %posting.resolver, "name service changed");
        if self.asking.rev.is_none_or(|rev| posting.known.rev > rev) {
            self.floor.posting.known = posting.known;
            self.take_known();
        }
        Ok(())
    }
}

fn is_lack(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| cause.downcast_ref().is_some_and(lacks))
}

/// The number of a name in the settings' row. One that the settings lack is none of theirs, nor any other's: it gets a number of its
/// own beyond them, which no setting is kept under. So many are told apart; those beyond share the last.
fn number_of(names: &mut Vec<String>, name: &str, what: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        if names.len() < STRANGE {
            warn!(target: "names", name, "the settings have no such {what}");
            names.push(name.to_string());
        }
        names.len() - 1
    })
}
