//! A front to measure against, in the lab only: it draws each play's holder evenly from those listed as ready,
//! plays on the lowest rung that the product allows, and tries again elsewhere as the product permits. It reads
//! the list once a play, and knows nothing of drains since, of room, cold servers, seats or budgets.

use crate::environment::ms;
use anyhow::{Context, Result};
use pulleystair_dash::address::{self, Route, SegmentId};
use pulleystair_dash::mpd::Presentation;
use pulleystair_dash::token::{KeyRing, SessionToken};
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

struct Base {
    rundown: Value,
    list: PathBuf,
    entries: KeyRing,
    passes: KeyRing,
    run: String,
    rnd: Mutex<StdRng>,
    sessions: Mutex<HashMap<String, Arc<Session>>>,
}

/// A session's answer, decided once, and where it plays.
#[derive(Default)]
struct Session {
    answer: OnceCell<(u16, String)>,
    plays: Mutex<Option<(String, String)>>,
}

pub async fn run(rundown: &Path) -> Result<()> {
    let folder = rundown.parent().unwrap_or(Path::new(""));
    let it: Value = serde_json::from_slice(&std::fs::read(rundown)?)?;
    let keys = it["keys"].as_str().context("a rundown names its keys")?;
    let keys: Value = serde_json::from_slice(&std::fs::read(folder.join(keys))?)?;
    let ring = |of: &str| -> Result<KeyRing> {
        let key = &keys[of][0];
        let file = key["file"].as_str().context("a key has its file")?;
        let kid = key["kid"].as_str().unwrap_or("").to_string();
        Ok(KeyRing::new(&[(kid, std::fs::read(folder.join(file))?)])?)
    };
    let since = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    let base = Arc::new(Base {
        entries: ring("entry")?,
        passes: ring("pass")?,
        list: folder.join(it["list"].as_str().unwrap_or("list.json")),
        run: format!("b{since:x}{:x}", std::process::id()),
        rnd: Mutex::new(StdRng::seed_from_u64(it["seed"].as_u64().unwrap_or(0))),
        sessions: Mutex::default(),
        rundown: it,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    eprintln!("{}", json!({ "message": "listens", "address": listener.local_addr()?.to_string() }));
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    loop {
        tokio::select! {
            _ = stop.recv() => return Ok(()),
            taken = listener.accept() => {
                let base = base.clone();
                if let Ok((stream, _)) = taken {
                    tokio::spawn(async move { base.serve(HttpPeer::new(stream)).await });
                }
            }
        }
    }
}

fn answer(status: u16, more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} x\r\n{more}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

impl Base {
    async fn serve(self: Arc<Base>, mut player: HttpPeer) -> std::io::Result<()> {
        let mut server = None;
        while let Some(request) = player.read_request().await? {
            let reply = match (request.method.as_str(), address::parse(&request.target)) {
                ("GET", Some(Route::Manifest { product, title, entry })) => {
                    self.manifest(product, title, entry.unwrap_or("")).await
                }
                ("GET", Some(Route::Segment { pass, which: SegmentId::Number(number), .. })) => {
                    self.segment(pass, number, &mut server).await
                }
                ("DELETE", Some(Route::Session { pass })) => {
                    if let Some(session) = self.session(pass) {
                        session.plays.lock().expect("no front dies while it holds a session").take();
                    }
                    answer(200, "", b"")
                }
                _ => answer(404, "", b""),
            };
            player.write(&reply).await?;
        }
        Ok(())
    }

    fn now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }

    fn session(&self, pass: &str) -> Option<Arc<Session>> {
        let pass = self.passes.verify_session(pass, self.now()).ok()?;
        self.sessions.lock().expect("no front dies while it holds its sessions").get(&pass.sid).cloned()
    }

    async fn manifest(self: &Arc<Base>, product: &str, title: &str, token: &str) -> Vec<u8> {
        let entry = match self.entries.verify_entry(token, self.now(), product, title) {
            Ok(entry) => entry,
            Err(fault) => return answer(fault.status(), "", b""),
        };
        let session = {
            let mut all = self.sessions.lock().expect("no front dies while it holds its sessions");
            all.entry(entry.jti.clone()).or_default().clone()
        };
        // Set up apart from the connection: another request of the session waits for the same.
        let (base, of) = (self.clone(), session.clone());
        let decided = tokio::spawn(async move {
            let set_up = base.set_up(of.clone(), entry.jti, entry.product, entry.title);
            of.answer.get_or_init(|| set_up).await.clone()
        });
        let (status, body) = decided.await.unwrap_or((502, String::new()));
        let more = if status == 503 { "Retry-After: 1\r\n" } else { "" };
        answer(status, more, body.as_bytes())
    }

    async fn set_up(
        self: Arc<Base>,
        session: Arc<Session>,
        jti: String,
        product: String,
        title: String,
    ) -> (u16, String) {
        let of = self.rundown["products"].as_array().and_then(|p| p.iter().find(|p| p["name"] == product));
        let Some(of) = of.cloned() else { return (404, String::new()) };
        let Ok(list) = std::fs::read(&self.list) else { return (503, String::new()) };
        let list: Value = serde_json::from_slice(&list).unwrap_or_default();
        let known = list["titles"].as_array().and_then(|t| t.iter().find(|t| t["name"] == title)).cloned();
        let Some(known) = known else { return (404, String::new()) };
        let number = |v: &Value| v.as_u64().unwrap_or(0);
        let cells = number(&self.rundown["fleet"]["cells"]).max(1);
        let row: Vec<u64> =
            (0..number(&known["holders"])).map(|i| (number(&known["first_cell"]) + i) % cells).collect();
        let mut holders: Vec<String> = list["servers"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|s| s["state"] == "ready" && row.contains(&number(&s["cell"])))
            .filter_map(|s| s["address"].as_str().map(String::from))
            .collect();
        let allocations = number(&self.rundown["rules"]["allocations"]).max(1) as usize;
        let limit = of["time_limit_ms"].as_f64().unwrap_or(1000.0) - 20.0;
        let (floor, free) = (number(&of["floor"]) as usize, of["effect"] == "read_like");
        let mut ran = false;
        for n in 1..=allocations {
            if holders.is_empty() || ran && !free {
                break;
            }
            let draw = self.rnd.lock().expect("no draw fails").random_range(0..holders.len());
            let server = holders.swap_remove(draw);
            let name = format!("{}-{jti}-{n}", self.run);
            let body =
                json!({ "title": title, "product": product, "rung": floor, "session": jti }).to_string();
            let wait = ms(limit / allocations as f64);
            let Ok(Some((mut peer, answer))) = timeout(wait, post(&server, &name, &body)).await else {
                ran = true;
                continue;
            };
            if answer.status != 200 {
                ran |= answer.status != 429;
                continue;
            }
            *session.plays.lock().expect("no front dies while it holds a session") =
                Some((server, format!("{name}/{floor}")));
            let duration_ms = number(&known["duration_ms"]);
            let held = session.clone();
            tokio::spawn(async move {
                let over = Duration::from_millis(duration_ms + 4000);
                let left = async {
                    while held.plays.lock().expect("no front dies while it holds a session").is_some() {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                };
                tokio::select! {
                    () = peer.wait_closed() => {}
                    () = tokio::time::sleep(over) => {}
                    () = left => {}
                }
                held.plays.lock().expect("no front dies while it holds a session").take();
            });
            let exp = self.now() + 600;
            let pass = self.passes.sign(&SessionToken { sid: jti, product, title: title.clone(), exp });
            let ladder = self.rundown["ladder"].as_array().into_iter().flatten();
            let ladder: Vec<f64> = ladder.filter_map(|r| r["rate_kb"].as_f64()).collect();
            let mut it = Presentation::plain(title, duration_ms, number(&known["segment_ms"]));
            it.base = address::base_path(&pass);
            let bits = ladder[..=floor.min(ladder.len() - 1)].iter().map(|kb| (kb * 8000.0).ceil() as u64);
            it.periods[0].bandwidths = bits.collect();
            return (200, it.write());
        }
        (if ran && !free { 502 } else { 503 }, String::new())
    }

    async fn segment(&self, pass: &str, number: u64, kept: &mut Option<(String, HttpPeer)>) -> Vec<u8> {
        let Some(session) = self.session(pass) else { return answer(401, "", b"") };
        let at = session.plays.lock().expect("no front dies while it holds a session").clone();
        let Some((server, name)) = at else { return answer(410, "", b"") };
        let peer = match kept.take() {
            Some((of, peer)) if of == server => Some(peer),
            _ => TcpStream::connect(&server).await.ok().map(HttpPeer::new),
        };
        let Some(mut peer) = peer else { return answer(502, "", b"") };
        let request = format!("GET /plays/{name}/{number} HTTP/1.1\r\nHost: {server}\r\n\r\n");
        let got = timeout(Duration::from_secs(5), async {
            peer.write(request.as_bytes()).await?;
            peer.read_response().await
        });
        match got.await {
            Ok(Ok(Some(got))) if got.status == 200 => {
                *kept = Some((server, peer));
                answer(200, "", &got.body)
            }
            _ => answer(502, "", b""),
        }
    }
}

async fn post(server: &str, name: &str, body: &str) -> Option<(HttpPeer, Message)> {
    let mut peer = HttpPeer::new(TcpStream::connect(server).await.ok()?);
    let head =
        format!("POST /plays/{name} HTTP/1.1\r\nHost: {server}\r\nContent-Length: {}\r\n\r\n", body.len());
    peer.write((head + body).as_bytes()).await.ok()?;
    let answer = peer.read_response_head().await.ok()??;
    Some((peer, answer))
}
