//! A node between scripted peers: two holders of every title, and a name service.
#![allow(dead_code)] // Each file of stories uses a part of it.

use crate::fake_peers::{self, DnsServer, MediaServer, Node, ServerConnection, Viewer, set_up_message};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;

/// A node with two holders of every title.
pub struct NodeFixture {
    pub node: Node,
    pub dns: DnsServer,
    pub servers: Vec<MediaServer>,
}

pub fn start_with_sockets(sockets: usize) -> NodeFixture {
    start_with_replacements(sockets, &[])
}

/// A stage whose node is told otherwise in places of its settings.
pub fn start_with_replacements(sockets: usize, replacements: &[(&str, &str)]) -> NodeFixture {
    start_with_servers(
        vec![MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)],
        sockets,
        replacements,
    )
}

/// The same between these hosts.
pub fn start_with_servers(
    servers: Vec<MediaServer>,
    sockets: usize,
    replacements: &[(&str, &str)],
) -> NodeFixture {
    let dns = DnsServer::start(servers.iter().map(MediaServer::dns_record).collect());
    let all: Vec<&MediaServer> = servers.iter().collect();
    let mut config = Node::config(dns.addr, &all, sockets, 3_000_000);
    for (was, is) in replacements {
        assert!(config.contains(was), "{was}");
        config = config.replace(was, is);
    }
    let node = Node::start(&config);
    NodeFixture { node, dns, servers }
}

pub fn start_fixture() -> NodeFixture {
    start_with_sockets(256)
}

/// A stage whose first host's connections come up only when it is told to.
pub fn start_with_full_backlog(replacements: &[(&str, &str)]) -> NodeFixture {
    start_with_servers(
        vec![MediaServer::start_with_full_backlog("s-0000000a", 0), MediaServer::start("s-0000000b", 1)],
        256,
        replacements,
    )
}

/// Title at the first host only.
pub const TITLE_AT_FIRST: (u8, &str) = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521");

impl NodeFixture {
    /// A play that stands at the first host.
    pub fn start_session(&self, viewer: &mut Viewer, session: u64) -> ServerConnection {
        viewer.send(&set_up_message(session, &[TITLE_AT_FIRST]));
        let mut connection = self.servers[0].accept();
        connection.serve_set_up(viewer, session);
        connection
    }

    /// What this viewer has said was read, and the turn in which it was has ended: of two further questions for the list, the later
    /// is asked in a later one.
    pub fn wait_until_read(&self, viewer: &mut Viewer) {
        viewer.expect_no_message();
        self.dns.wait_for_queries(2);
    }

    /// The next set-up of a play, at whichever host it comes.
    pub fn next_set_up(&self, server: usize) -> (ServerConnection, fake_peers::Request) {
        let mut connection = self.servers[server].accept();
        let request = connection.expect_request("SETUP");
        (connection, request)
    }
}

/// Which host the node has called.
pub fn wait_for_contact(fixture: &NodeFixture) -> bool {
    let started_at = Instant::now();
    loop {
        for server in [0, 1] {
            if fixture.servers[server].has_connection() {
                return server == 1;
            }
        }
        assert!(started_at.elapsed() < fake_peers::TIMEOUT, "a host is called");
        std::thread::sleep(Duration::from_millis(2));
    }
}
