//! The list of media servers: what is known at the start, and the name service asked for the rest, again and again.

use crate::floor::{Clock, Floor};
use crate::node::Node;
use crate::posting::Posting;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use pulleystair::{Listing, Standing};
use pulleystair_names::{self as names, Entry};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info, warn};

/// So often is the list asked for, ms, and the part by which each wait is longer or shorter, so that nodes which started or
/// were signalled together do not ask together. A change is in use well within half a second of being told.
const ASK: f64 = 200.0;
const UNEVEN: f64 = 0.25;
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
    heard: bool,
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
        let socket = socket(floor.posting.resolver)?;
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
        let source = floor.handle.insert_source(source, |_, _, node: &mut Node| {
            node.hear();
            Ok(PostAction::Continue)
        });
        let source = source.map_err(|e| anyhow::anyhow!("{}", e.error))?;
        Ok(Asking {
            socket,
            source,
            ids: VecDeque::new(),
            due: 0.0,
            rev,
            heard,
            room: vec![0; names::MOST],
            faults: 0,
        })
    }
}

impl Node {
    /// The events of the start, or those of a new file, in their order. Before the name service was heard they may be older
    /// than what they tell of; later they are taken for being newer, and tell of starts as its answers do.
    pub(crate) fn take_known(&mut self) {
        let notices = std::mem::take(&mut self.floor.posting.known.notices);
        for notice in &notices {
            let (whole, lines) = notice.lines();
            self.take_list(whole, !self.asking.heard, &lines);
        }
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
        let _ = asking.socket.send(&names::question(id));
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
            if !names::id_of(came).is_some_and(|id| asking.ids.contains(&id)) {
                debug!(target: "names", "answer to nothing that was asked");
                continue;
            }
            match names::answer(came) {
                Err(e) => {
                    asking.faults += 1;
                    // A list that stands still for want of a whole answer is not to stand still in silence.
                    if asking.faults % FAULTS == 1 {
                        warn!(target: "names", rev = asking.rev, in_a_row = asking.faults, "answer not taken: {e}");
                    }
                }
                Ok((serial, list)) => {
                    asking.faults = 0;
                    let newer = names::follows(asking.rev, serial);
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

    fn take_list(&mut self, whole: bool, cached: bool, entries: &[Entry]) {
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
            let terms = &self.floor.terms;
            let at = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
            let listing = Listing {
                server: 0,
                zone: at(&terms.zones, &entry.zone),
                kind: at(&terms.kinds, &entry.kind),
                cell: entry.cell,
                standing: entry.standing,
                weight: entry.weight,
                born: entry.started,
            };
            lines.push((number, listing));
            let Some(server) = self.floor.servers.get_mut(&number) else { continue };
            let moved = server.address.is_some_and(|a| a != entry.address);
            if server.address.is_some() && (moved || listing.born > server.listing.born) {
                restarted.push((number, if moved { f64::INFINITY } else { listing.born }));
            }
            (server.address, server.listing) = (Some(entry.address), listing);
        }
        self.desk.list(now, whole, cached, &lines);
        for (number, born) in restarted {
            self.restarted(number, born);
        }
        self.forget_gone();
    }

    /// The file is read anew; its name service is asked from now on.
    pub(crate) fn read_anew(&mut self) {
        let path = self.floor.posting.path.clone();
        let posting = match Posting::read(&path) {
            Ok(posting) => posting,
            Err(e) => return warn!(target: "node", "the old posting stays in force: {e:#}"),
        };
        let resolver = posting.resolver;
        let was = std::mem::replace(&mut self.floor.posting.resolver, resolver);
        match Asking::new(&self.floor, self.asking.rev, self.asking.heard) {
            Ok(asking) => {
                let old = std::mem::replace(&mut self.asking, asking);
                self.floor.handle.remove(old.source);
                info!(target: "names", %was, %resolver, "name service changed");
            }
            Err(e) => {
                self.floor.posting.resolver = was;
                return warn!(target: "node", "the old name service stays in force: {e:#}");
            }
        }
        if self.asking.rev.is_none_or(|rev| posting.known.rev > rev) {
            self.floor.posting.known = posting.known;
            self.take_known();
        }
        self.ask();
    }
}
