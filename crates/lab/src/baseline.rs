//! A simple front to compare measurements with, used only in the lab. It draws the holder of each play evenly from
//! those that are listed as ready, plays on the lowest rung that the product allows, and retries on another server as
//! far as the product permits. It reads the server list once for each play, and ignores drains that begin later, free
//! capacity, cold servers, seats and budgets.

use crate::environment::from_ms;
use anyhow::{Context, Result};
use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{KeyRing, SessionClaims};
use pulleystair_fake_servers::http::{HttpPeer, Message};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OnceCell;
use tokio::time::timeout;

/// State of the baseline front.
struct BaselineFront {
    config: Value,
    list_file: PathBuf,
    entry_keys: KeyRing,
    session_keys: KeyRing,
    /// First part of allocation names, unique to this process.
    allocation_prefix: String,
    rng: Mutex<StdRng>,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
}

/// A session of a player.
#[derive(Default)]
struct Session {
    /// Status and body of the response to all manifest requests of the session.
    set_up_response: OnceCell<(u16, String)>,
    /// While the session plays: the address of the server, and the allocation and rung as in segment paths.
    playing_at: Mutex<Option<(String, String)>>,
}

/// Serves players until the process receives SIGTERM. Writes the listening address to stderr in the log format of the
/// real front.
pub async fn run(config_file: &Path) -> Result<()> {
    let folder = config_file.parent().unwrap_or(Path::new(""));
    let config: Value = serde_json::from_slice(&std::fs::read(config_file)?)?;
    let keys = config["keys"].as_str().context("the configuration does not name its key file")?;
    let keys: Value = serde_json::from_slice(&std::fs::read(folder.join(keys))?)?;
    let load_key_ring = |section: &str| -> Result<KeyRing> {
        let key = &keys[section][0];
        let file = key["file"].as_str().context("a key does not name its file")?;
        let kid = key["kid"].as_str().unwrap_or("").to_string();
        Ok(KeyRing::new(&[(kid, std::fs::read(folder.join(file))?)])?)
    };
    let started_at_ms = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let front = Arc::new(BaselineFront {
        entry_keys: load_key_ring("entry")?,
        session_keys: load_key_ring("pass")?,
        list_file: folder.join(config["list"].as_str().unwrap_or("list.json")),
        allocation_prefix: format!("b{started_at_ms:x}{:x}", std::process::id()),
        rng: Mutex::new(StdRng::seed_from_u64(config["seed"].as_u64().unwrap_or(0))),
        sessions: Mutex::default(),
        config,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("{}", json!({ "message": "listens", "address": listener.local_addr()?.to_string() }));
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            accepted = listener.accept() => {
                let front = front.clone();
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(async move { front.serve_connection(HttpPeer::new(stream)).await });
                }
            }
        }
    }
}

/// A response with these additional header lines.
fn response(status: u16, extra_headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\n{extra_headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

impl BaselineFront {
    /// Serves the requests of a player's connection. Segments are read over one connection to a server, which is kept
    /// between requests with the address of the server.
    async fn serve_connection(self: Arc<BaselineFront>, mut player: HttpPeer) -> std::io::Result<()> {
        let mut server_connection = None;
        while let Some(request) = player.read_request().await? {
            let response_bytes = match (request.method.as_str(), address::parse(&request.target)) {
                ("GET", Some(Route::Manifest { product, title, entry_token })) => {
                    self.serve_manifest(product, title, entry_token.unwrap_or("")).await
                }
                ("GET", Some(Route::Segment { session_token, segment: SegmentId::Number(number), .. })) => {
                    self.serve_segment(session_token, number, &mut server_connection).await
                }
                ("DELETE", Some(Route::Session { session_token })) => {
                    if let Some(session) = self.find_session(session_token) {
                        session.playing_at.lock().expect("no task panics while it holds a session").take();
                    }
                    // Also for a session that is unknown or has ended.
                    response(200, "", b"")
                }
                _ => response(404, "", b""),
            };
            player.write(&response_bytes).await?;
        }
        Ok(())
    }

    fn unix_seconds(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }

    /// The session of a valid session token.
    fn find_session(&self, session_token: &str) -> Option<Arc<Session>> {
        let session_token = self.session_keys.verify_session(session_token, self.unix_seconds()).ok()?;
        self.sessions
            .lock()
            .expect("no task panics while it holds the sessions")
            .get(&session_token.sid)
            .cloned()
    }

    /// Responds to a manifest request. The first one of a session sets up the play; later ones get the same response.
    async fn serve_manifest(
        self: &Arc<BaselineFront>,
        product: &str,
        title: &str,
        entry_token: &str,
    ) -> Vec<u8> {
        let entry = match self.entry_keys.verify_entry(entry_token, self.unix_seconds(), product, title) {
            Ok(entry) => entry,
            Err(error) => return response(error.status(), "", b""),
        };
        let session = {
            let mut sessions = self.sessions.lock().expect("no task panics while it holds the sessions");
            sessions.entry(entry.jti.clone()).or_default().clone()
        };
        // Runs in a task of its own: if the set-up panics, the response is 502.
        let (front, new_session) = (self.clone(), session.clone());
        let set_up_task = tokio::spawn(async move {
            let set_up = front.set_up_session(new_session.clone(), entry.jti, entry.product, entry.title);
            new_session.set_up_response.get_or_init(|| set_up).await.clone()
        });
        let (status, body) = set_up_task.await.unwrap_or((502, String::new()));
        let extra_headers = if status == 503 { "Retry-After: 1\r\n" } else { "" };
        response(status, extra_headers, body.as_bytes())
    }

    /// Tries holders of the title until one sets up the play or no further attempt is allowed. Returns the status and
    /// the manifest.
    async fn set_up_session(
        self: Arc<BaselineFront>,
        session: Arc<Session>,
        jti: String,
        product: String,
        title: String,
    ) -> (u16, String) {
        let product_config =
            self.config["products"].as_array().and_then(|p| p.iter().find(|p| p["name"] == product));
        let Some(product_config) = product_config.cloned() else { return (404, String::new()) };
        let Ok(list) = std::fs::read(&self.list_file) else { return (503, String::new()) };
        let list: Value = serde_json::from_slice(&list).unwrap_or_default();
        let title_entry =
            list["titles"].as_array().and_then(|t| t.iter().find(|t| t["name"] == title)).cloned();
        let Some(title_entry) = title_entry else { return (404, String::new()) };
        let to_number = |v: &Value| v.as_u64().unwrap_or(0);
        let cells = to_number(&self.config["fleet"]["cells"]).max(1);
        let holder_cells: Vec<u64> = (0..to_number(&title_entry["holders"]))
            .map(|i| (to_number(&title_entry["first_cell"]) + i) % cells)
            .collect();
        let mut holders: Vec<String> = list["servers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|s| s["state"] == "ready" && holder_cells.contains(&to_number(&s["cell"])))
            .filter_map(|s| s["address"].as_str().map(String::from))
            .collect();
        let max_allocations = to_number(&self.config["rules"]["allocations"]).max(1) as usize;
        let time_limit_ms = product_config["time_limit_ms"].as_f64().unwrap_or(1000.0) - 20.0;
        let (floor, is_repeatable) =
            (to_number(&product_config["floor"]) as usize, product_config["effect"] == "read_like");
        let mut may_have_run = false;
        for attempt in 1..=max_allocations {
            if holders.is_empty() || may_have_run && !is_repeatable {
                break;
            }
            let index = self
                .rng
                .lock()
                .expect("no task panics while it holds the random generator")
                .random_range(0..holders.len());
            let server = holders.swap_remove(index);
            let allocation = format!("{}-{jti}-{attempt}", self.allocation_prefix);
            let body =
                json!({ "title": title, "product": product, "rung": floor, "session": jti }).to_string();
            let attempt_timeout = from_ms(time_limit_ms / max_allocations as f64);
            let Ok(Some((mut peer, response_head))) =
                timeout(attempt_timeout, post_set_up(&server, &allocation, &body)).await
            else {
                may_have_run = true;
                continue;
            };
            if response_head.status != 200 {
                may_have_run |= response_head.status != 429;
                continue;
            }
            *session.playing_at.lock().expect("no task panics while it holds a session") =
                Some((server, format!("{allocation}/{floor}")));
            let duration_ms = to_number(&title_entry["duration_ms"]);
            let playing_session = session.clone();
            tokio::spawn(async move {
                let max_duration = Duration::from_millis(duration_ms + 4000);
                let session_ended = async {
                    while playing_session
                        .playing_at
                        .lock()
                        .expect("no task panics while it holds a session")
                        .is_some()
                    {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                };
                tokio::select! {
                    () = peer.wait_closed() => {}
                    () = tokio::time::sleep(max_duration) => {}
                    () = session_ended => {}
                }
                playing_session.playing_at.lock().expect("no task panics while it holds a session").take();
            });
            let exp = self.unix_seconds() + 600;
            let session_token =
                self.session_keys.sign(&SessionClaims { sid: jti, product, title: title.clone(), exp });
            let ladder = self.config["ladder"].as_array().into_iter().flatten();
            let ladder: Vec<f64> = ladder.filter_map(|r| r["rate_kb"].as_f64()).collect();
            let mut presentation =
                Presentation::single_period(title, duration_ms, to_number(&title_entry["segment_ms"]));
            presentation.base_url = address::base_path(&session_token);
            let bandwidths =
                ladder[..=floor.min(ladder.len() - 1)].iter().map(|kb| (kb * 8000.0).ceil() as u64);
            presentation.periods[0].bandwidths = bandwidths.collect();
            return (200, presentation.to_xml());
        }
        (if may_have_run && !is_repeatable { 502 } else { 503 }, String::new())
    }

    /// Relays a segment from the server of the session, over `server_connection` if that leads there.
    async fn serve_segment(
        &self,
        session_token: &str,
        number: u64,
        server_connection: &mut Option<(String, HttpPeer)>,
    ) -> Vec<u8> {
        let Some(session) = self.find_session(session_token) else { return response(401, "", b"") };
        let playing_at = session.playing_at.lock().expect("no task panics while it holds a session").clone();
        let Some((server, allocation_path)) = playing_at else { return response(410, "", b"") };
        let peer = match server_connection.take() {
            Some((kept_server, peer)) if kept_server == server => Some(peer),
            _ => TcpStream::connect(&server).await.ok().map(HttpPeer::new),
        };
        let Some(mut peer) = peer else { return response(502, "", b"") };
        let request = format!("GET /plays/{allocation_path}/{number} HTTP/1.1\r\nHost: {server}\r\n\r\n");
        let received = timeout(Duration::from_secs(5), async {
            peer.write(request.as_bytes()).await?;
            peer.read_response().await
        });
        match received.await {
            Ok(Ok(Some(received))) if received.status == 200 => {
                *server_connection = Some((server, peer));
                response(200, "", &received.body)
            }
            _ => response(502, "", b""),
        }
    }
}

/// Sends a set-up request to a server and reads the head of the response.
async fn post_set_up(server: &str, allocation: &str, body: &str) -> Option<(HttpPeer, Message)> {
    let mut peer = HttpPeer::new(TcpStream::connect(server).await.ok()?);
    let head = format!(
        "POST /plays/{allocation} HTTP/1.1\r\nHost: {server}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    peer.write((head + body).as_bytes()).await.ok()?;
    let response_head = peer.read_response_head().await.ok()??;
    Some((peer, response_head))
}
