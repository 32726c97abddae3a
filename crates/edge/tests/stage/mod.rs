//! A node between scripted peers: two holders of every title, and a name service.
#![allow(dead_code)] // Each file of stories uses a part of it.

use crate::peers::{self, Host, Names, Node, Viewer, Wire, set_up};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;

/// A node with two holders of every title.
pub struct Stage {
    pub node: Node,
    pub names: Names,
    pub hosts: Vec<Host>,
}

pub fn stage_of(sockets: usize) -> Stage {
    stage_told(sockets, &[])
}

/// A stage whose node is told otherwise in places of its settings.
pub fn stage_told(sockets: usize, otherwise: &[(&str, &str)]) -> Stage {
    stage_with(vec![Host::start("s-0000000a", 0), Host::start("s-0000000b", 1)], sockets, otherwise)
}

/// The same between these hosts.
pub fn stage_with(hosts: Vec<Host>, sockets: usize, otherwise: &[(&str, &str)]) -> Stage {
    let names = Names::start(hosts.iter().map(Host::record).collect());
    let all: Vec<&Host> = hosts.iter().collect();
    let mut posting = Node::posting(names.at, &all, sockets, 3_000_000);
    for (was, is) in otherwise {
        assert!(posting.contains(was), "{was}");
        posting = posting.replace(was, is);
    }
    let node = Node::start(&posting);
    Stage { node, names, hosts }
}

pub fn stage() -> Stage {
    stage_of(256)
}

/// A stage whose first host's connections come up only when it is told to.
pub fn late_stage(otherwise: &[(&str, &str)]) -> Stage {
    stage_with(vec![Host::late("s-0000000a", 0), Host::start("s-0000000b", 1)], 256, otherwise)
}

/// Title at the first host only.
pub const HERE: (u8, &str) = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521");

impl Stage {
    /// A play that stands at the first host.
    pub fn stands(&self, viewer: &mut Viewer, session: u64) -> Wire {
        viewer.say(&set_up(session, &[HERE]));
        let mut wire = self.hosts[0].accept();
        wire.serves(viewer, session);
        wire
    }

    /// What this viewer has said was read, and the turn in which it was has ended: of two further questions for the list, the later
    /// is asked in a later one.
    pub fn has_read(&self, viewer: &mut Viewer) {
        viewer.hears_nothing();
        self.names.asked(2);
    }

    /// The next set-up of a play, at whichever host it comes.
    pub fn next_at(&self, host: usize) -> (Wire, peers::Asked) {
        let mut wire = self.hosts[host].accept();
        let asked = wire.wants("SETUP");
        (wire, asked)
    }
}

/// Which host the node has called.
pub fn wait_any(stage: &Stage) -> bool {
    let since = Instant::now();
    loop {
        for host in [0, 1] {
            if stage.hosts[host].called() {
                return host == 1;
            }
        }
        assert!(since.elapsed() < peers::PATIENCE, "a host is called");
        std::thread::sleep(Duration::from_millis(2));
    }
}
