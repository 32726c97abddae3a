//! A node between scripted peers: two holders of every title and a name service.
#![allow(dead_code)] // Each test target uses only some of the functions.

use crate::fake_peers::{self, DnsServer, MediaServer, Node, ServerConnection, Viewer, set_up_message};
use std::time::{Duration, Instant};

/// Message kinds of the viewers' protocol: set-up, answer to it, and the release by which a viewer or the node ends a play.
pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;

/// A running node, its name service and its media servers.
pub struct NodeFixture {
    pub node: Node,
    pub dns: DnsServer,
    pub servers: Vec<MediaServer>,
}

/// Starts a node with this limit of sockets.
pub fn start_with_sockets(sockets: usize) -> NodeFixture {
    start_with_replacements(sockets, &[])
}

/// Starts a node whose configuration has these pairs of (old text, new text) replaced.
pub fn start_with_replacements(sockets: usize, replacements: &[(&str, &str)]) -> NodeFixture {
    start_with_servers(
        vec![MediaServer::start("s-0000000a", 0), MediaServer::start("s-0000000b", 1)],
        sockets,
        replacements,
    )
}

/// Starts a node between these media servers; see [`start_with_replacements`].
pub fn start_with_servers(
    servers: Vec<MediaServer>,
    sockets: usize,
    replacements: &[(&str, &str)],
) -> NodeFixture {
    let dns = DnsServer::start(servers.iter().map(MediaServer::dns_record).collect());
    let all: Vec<&MediaServer> = servers.iter().collect();
    let mut config = Node::config(dns.addr, &all, sockets, 3_000_000);
    for (old_text, new_text) in replacements {
        assert!(config.contains(old_text), "{old_text}");
        config = config.replace(old_text, new_text);
    }
    let node = Node::start(&config);
    NodeFixture { node, dns, servers }
}

/// Starts a node with 256 sockets and the usual settings.
pub fn start_fixture() -> NodeFixture {
    start_with_sockets(256)
}

/// Starts a node whose connections to the first server complete only after [`MediaServer::drain_backlog`].
pub fn start_with_full_backlog(replacements: &[(&str, &str)]) -> NodeFixture {
    start_with_servers(
        vec![MediaServer::start_with_full_backlog("s-0000000a", 0), MediaServer::start("s-0000000b", 1)],
        256,
        replacements,
    )
}

/// Starts twelve servers, each of which holds titles of its own, and a node with 64 sockets, which may have ten connections
/// to servers.
pub fn start_with_twelve_servers() -> NodeFixture {
    let servers = (0..12).map(|cell| MediaServer::start(&format!("s-{cell:08x}"), cell)).collect();
    start_with_servers(servers, 64, &[(r#""places":2"#, r#""places":12"#)])
}

/// Sets a session up at a server that alone holds the title, on a new connection of the node; returns that connection. Fails
/// where the node uses a connection that was accepted before.
pub fn start_session_at(server: &MediaServer, viewer: &mut Viewer, session: u64) -> ServerConnection {
    let extras = format!("home:{};copies:1;top:1;viewer:00000000b4d65521", server.cell);
    viewer.send(&set_up_message(session, &[(18, &extras)]));
    let mut connection = server.accept();
    connection.serve_set_up(viewer, session);
    connection
}

/// Set-up parameter: only the first server holds the title.
pub const TITLE_AT_FIRST: (u8, &str) = (18, "home:0;copies:1;top:1;viewer:00000000b4d65521");

impl NodeFixture {
    /// Sets a session up at the first server; see [`start_session_at`].
    pub fn start_session(&self, viewer: &mut Viewer, session: u64) -> ServerConnection {
        start_session_at(&self.servers[0], viewer, session)
    }

    /// Waits until the node has read all that this viewer sent, and the turn of the event loop in which it did has ended: of
    /// two further DNS queries, the second is sent in a later turn.
    pub fn wait_until_read(&self, viewer: &mut Viewer) {
        viewer.expect_no_message();
        self.dns.wait_for_queries(2);
    }

    /// Accepts the next connection at this server and expects a set-up on it.
    pub fn next_set_up(&self, server: usize) -> (ServerConnection, fake_peers::Request) {
        let mut connection = self.servers[server].accept();
        let request = connection.expect_request("SETUP");
        (connection, request)
    }
}

/// Waits until the node has connected to a server; returns whether that is the second one.
pub fn wait_for_contact(fixture: &NodeFixture) -> bool {
    let started_at = Instant::now();
    loop {
        for server in [0, 1] {
            if fixture.servers[server].has_connection() {
                return server == 1;
            }
        }
        assert!(started_at.elapsed() < fake_peers::TIMEOUT, "the node connected to no server in time");
        std::thread::sleep(Duration::from_millis(2));
    }
}
