//! Stopping a fake server must close all of its connections, including those that are just being accepted: tests of
//! lost servers rely on it. On one thread the tasks run in a fixed order, so the test can stop the server after each
//! possible number of task polls; the runtime checks sockets about every sixty task polls.

use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_fake_servers::model::{ServerFleetSpec, ServerSpec};
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_fake_servers::server::FakeServers;
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

async fn one_server() -> FakeServers {
    let spec = ServerFleetSpec {
        ladder: vec![100.0],
        uplinks_kb: vec![1000.0],
        shared_part: 1.0,
        rate_spread: 0.0,
        reports_late_ms: 0.0,
        notes_late_ms: 0.0,
        notes_every_ms: 1000.0,
        cold_ms: 1000.0,
        cold_from: 0.5,
        overload_factor: 2.0,
        overload_window_ms: 1000.0,
        down_ms: 1000.0,
        lease_ms: 100.0,
    };
    let server_spec = ServerSpec {
        zone: 0,
        cell: 0,
        cores: 1,
        queue: 1,
        streams: 10,
        link_kb: 1000.0,
        work_ms: 1.0,
        work_spread: 0.0,
    };
    FakeServers::start(spec, vec![server_spec], HashMap::new(), Vec::new(), 1, Recorder::default())
        .await
        .expect("the server starts")
}

/// Stops the server after `polls` task polls: each poll is that of a new task at the end of the run queue.
fn stop_after(polls: usize, servers: FakeServers, stopped_sender: oneshot::Sender<()>) {
    tokio::spawn(async move {
        if polls > 0 {
            return stop_after(polls - 1, servers, stopped_sender);
        }
        servers.stop(0);
        let _ = stopped_sender.send(());
    });
}

#[tokio::test]
async fn stopping_a_server_closes_connections_being_accepted() {
    for polls in 0..200 {
        let servers = one_server().await;
        let mut peer = HttpPeer::new(TcpStream::connect(servers.addresses[0]).await.expect("a connection"));
        let (stopped_sender, stopped_receiver) = oneshot::channel();
        stop_after(polls, servers, stopped_sender);
        stopped_receiver.await.expect("the server is stopped");
        let _ = peer.write(b"GET /load HTTP/1.1\r\nHost: m\r\n\r\n").await;
        let response = timeout(Duration::from_secs(10), peer.read_response())
            .await
            .expect("the connection ends in some way");
        assert!(
            !matches!(response, Ok(Some(_))),
            "a process that was stopped {polls} polls after the connection still responded"
        );
    }
}
