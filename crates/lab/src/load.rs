//! What a front costs: set-up time over a stand-in's own, the most plays a second, CPU, memory, and relayed
//! bytes against a direct read. Arrivals are open-loop and latency counts from the intended time, so a front
//! that falls behind shows; a generator that falls behind says so.

use crate::environment::{Title, ms};
use crate::fronts::{FRONT, Fronts, Program, portal_keys};
use crate::report::{Quantiles, quantiles};
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use anyhow::{Context, Result, ensure};
use pulleystair_dash::address;
use pulleystair_dash::token::{EntryToken, KeyRing};
use pulleystair_fake_servers::http::HttpPeer;
use pulleystair_fake_servers::server::FakeServers;
use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_rustls::TlsConnector;

/// The p99 of set-up time up to which a rate counts as carried, ms.
const CARRIED: f64 = 50.0;
/// A generator whose latest start is later than this has fallen behind, ms.
const BEHIND: f64 = 25.0;
/// Plays that are held at once for the memory figure.
const HELD: usize = 10_000;

#[derive(Debug, Serialize)]
pub struct Costs {
    pub rates: Vec<Rate>,
    /// The highest rate tried whose p99 stayed within `CARRIED`, plays a second.
    pub most_a_second: f64,
    pub held: usize,
    pub memory_before_kb: u64,
    pub memory_held_kb: u64,
    pub relay_mb_s: f64,
    pub direct_mb_s: f64,
}

#[derive(Debug, Serialize)]
pub struct Rate {
    pub per_s: f64,
    pub plays: usize,
    pub failed: usize,
    /// A bare exchange on a kept connection, a set-up at the server itself, and a play through the front.
    pub bare_ms: Quantiles,
    pub direct_ms: Quantiles,
    pub front_ms: Quantiles,
    pub cpu_ms_a_play: f64,
    pub lateness_ms: f64,
    pub behind: bool,
}

fn day(tls: bool) -> Result<Scenario> {
    Ok(serde_json::from_value(json!({
        "tls": tls, "seed": 1, "seconds": 1, "fronts": 1, "zones": ["here"],
        "fleet": {
            "servers": 8, "racks": 2, "cores": 100_000, "queue": 100_000, "streams": 100_000,
            "link_kb": 1e10, "rack_link_kb": 1e11, "spread": 0, "work_ms": 0, "work_spread": 0,
            "reports_late_ms": 50, "notes_late_ms": 300, "notes_every_ms": 5000,
            "list_late_ms": 300, "lease_ms": 200,
        },
        "ladder": [{ "rate_kb": 12_000, "earns": 0.5 }, { "rate_kb": 15_000, "earns": 1 }],
        "products": [{
            "name": "any", "importance": 1, "first_frame_target_ms": 2000, "time_limit_ms": 10_000,
            "part": 1, "titles": 16, "holders": 8, "seconds": [600, 600],
        }],
        "rules": {
            "drain_grace_ms": 400, "cold_ms": 1000, "cold_from": 0.5, "overload_factor": 2,
            "fall_ms": 1000, "down_ms": 1000, "allocations": 2, "retry_after_ms": 500,
        },
        "players": {
            "per_s": 1, "come_back": 0, "leave": 0, "ask_twice": 0, "ask_again": 0, "small": 0,
            "segment_ms": 1000,
        },
        "limits": {
            "connections": 16_000, "deciding": 16_000, "plays": 16_000, "sessions": 1_000_000,
            "remember_ms": 200, "play_idle_ms": 600_000,
        },
        "admission": { "least": 1000, "most": 1000 },
    }))?)
}

struct Rig {
    boxes: FakeServers,
    fronts: Fronts,
    front: SocketAddr,
    titles: Vec<Title>,
    portal: KeyRing,
    next: AtomicU64,
    /// How players speak to the front, and a front's like to servers, under TLS.
    seals: Option<(TlsConnector, TlsConnector)>,
}

pub async fn run(program: Program, folder: &Path, seconds: f64, tls: bool) -> Result<Costs> {
    let set = Testbed::build(day(tls)?, program, folder).await?;
    let front = set.start().await?[0];
    let Testbed { boxes, fronts, titles, .. } = set;
    let titles = titles.to_vec();
    let seals = match (fronts.connector()?, &fronts.authority) {
        (Some(players), Some(authority)) => {
            let paper = authority.issue_long_lived(FRONT);
            Some((players, authority.connector(Some(&paper))?))
        }
        _ => None,
    };
    let next = AtomicU64::new(0);
    let rig = Arc::new(Rig { boxes, fronts, front, titles, portal: portal_keys(), next, seals });
    // Warm: allocators, connections, and the decisions' first figures.
    rig.rate(200.0, 1.0).await?;
    let mut rates = vec![rig.rate(30.0, 2.0 * seconds).await?];
    let mut most = 0.0;
    let mut per_s = 250.0;
    while per_s < 20_000.0 {
        let rate = rig.rate(per_s, if per_s < 1500.0 { seconds } else { seconds / 2.0 }).await?;
        let carried = rate.front_ms.p99 <= CARRIED && rate.failed == 0 && !rate.behind;
        rates.push(rate);
        if !carried {
            break;
        }
        most = per_s;
        per_s *= if per_s < 500.0 { 2.0 } else { 1.25 };
    }
    sleep(ms(1000.0)).await;
    let (relay_mb_s, direct_mb_s) = rig.relay(seconds).await?;
    let memory = |rig: &Rig| Ok(rig.fronts.used(0).context("the front runs")?.1);
    let before: Result<u64> = memory(&rig);
    for _ in 0..HELD {
        let (answer, _) = rig.play().await?;
        ensure!(answer == 200, "a play that was to be held was answered {answer}");
    }
    let held: Result<u64> = memory(&rig);
    rig.fronts.kill(0).await;
    Ok(Costs {
        rates,
        most_a_second: most,
        held: HELD,
        memory_before_kb: before?,
        memory_held_kb: held?,
        relay_mb_s,
        direct_mb_s,
    })
}

impl Rig {
    async fn call_front(&self) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(self.front, self.seals.as_ref().map(|seals| (&seals.0, FRONT))).await
    }

    async fn call_server(&self, server: usize) -> std::io::Result<HttpPeer> {
        let name = format!("m{server}");
        let seal = self.seals.as_ref().map(|seals| (&seals.1, name.as_str()));
        HttpPeer::connect(self.boxes.addresses[server], seal).await
    }

    /// Asks for a play on a connection of its own; its status and the manifest.
    async fn play(&self) -> Result<(u16, Vec<u8>)> {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        let title = &self.titles[n as usize % self.titles.len()].name;
        let token = self.portal.sign(&EntryToken {
            jti: format!("s{n}"),
            sub: "v".into(),
            product: "any".into(),
            title: title.clone(),
            top: 0,
            exp: u64::MAX >> 12,
        });
        let mut peer = self.call_front().await?;
        let target = address::manifest_path("any", title, &token);
        peer.write(format!("GET {target} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
        let answer = peer.read_response().await?.context("the front closed")?;
        Ok((answer.status, answer.body))
    }

    async fn end(&self, manifest: &[u8]) -> Result<()> {
        let mut peer = self.call_front().await?;
        let base = base(manifest)?;
        peer.write(format!("DELETE {base} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
        peer.read_response().await?;
        Ok(())
    }

    /// A set-up at a server itself, and its end.
    async fn direct(&self) -> Result<u16> {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        let mut peer = self.call_server(n as usize % self.boxes.addresses.len()).await?;
        let title = &self.titles[n as usize % self.titles.len()].name;
        let body = json!({ "title": title, "product": "any", "rung": 0, "session": "d" }).to_string();
        let head =
            format!("POST /plays/d-{n}-1 HTTP/1.1\r\nHost: b\r\nContent-Length: {}\r\n\r\n", body.len());
        peer.write((head + &body).as_bytes()).await?;
        Ok(peer.read_response_head().await?.context("the server closed")?.status)
    }

    /// Open-loop arrivals of one kind; latencies from the intended times, failures, and the latest start.
    async fn arrive<F, R>(&self, per_s: f64, seconds: f64, one: F) -> (Vec<f64>, usize, f64)
    where
        F: Fn(Instant) -> R,
        R: Future<Output = Option<f64>> + Send + 'static,
    {
        let start = Instant::now() + ms(20.0);
        let (mut late, mut all) = (0.0f64, Vec::new());
        for i in 0..(per_s * seconds) as usize {
            let due = start + Duration::from_secs_f64(i as f64 / per_s);
            sleep_until(due).await;
            late = late.max(due.elapsed().as_secs_f64() * 1000.0);
            all.push(tokio::spawn(one(due)));
        }
        let (mut took, mut failed) = (Vec::new(), 0);
        for one in all {
            match one.await {
                Ok(Some(ms)) => took.push(ms),
                _ => failed += 1,
            }
        }
        (took, failed, late)
    }

    async fn rate(self: &Arc<Rig>, per_s: f64, seconds: f64) -> Result<Rate> {
        let since = |due: Instant| due.elapsed().as_secs_f64() * 1000.0;
        let rig = self.clone();
        let kept = Arc::new(Mutex::new(Vec::<HttpPeer>::new()));
        let (bare, _, _) = self
            .arrive(per_s, seconds, move |due| {
                let (rig, kept) = (rig.clone(), kept.clone());
                async move {
                    let peer = kept.lock().expect("no exchange dies").pop();
                    let mut peer = match peer {
                        Some(peer) => peer,
                        None => rig.call_server(0).await.ok()?,
                    };
                    peer.write(b"GET /load HTTP/1.1\r\nHost: b\r\n\r\n").await.ok()?;
                    peer.read_response().await.ok()??;
                    let took = since(due);
                    kept.lock().expect("no exchange dies").push(peer);
                    Some(took)
                }
            })
            .await;
        let rig = self.clone();
        let (direct, _, _) = self
            .arrive(per_s, seconds, move |due| {
                let rig = rig.clone();
                async move { (rig.direct().await.ok()? == 200).then(|| since(due)) }
            })
            .await;
        let before = self.fronts.used(0).context("the front runs")?.0;
        let rig = self.clone();
        let (front, failed, late) = self
            .arrive(per_s, seconds, move |due| {
                let rig = rig.clone();
                async move {
                    let (status, manifest) = timeout(ms(15_000.0), rig.play()).await.ok()?.ok()?;
                    let took = since(due);
                    if status == 200 {
                        rig.end(&manifest).await.ok()?;
                    }
                    (status == 200).then_some(took)
                }
            })
            .await;
        let plays = front.len() + failed;
        let cpu = self.fronts.used(0).context("the front runs")?.0 - before;
        Ok(Rate {
            per_s,
            plays,
            failed,
            bare_ms: quantiles(bare.into_iter())?,
            direct_ms: quantiles(direct.into_iter())?,
            front_ms: quantiles(front.into_iter())?,
            cpu_ms_a_play: cpu / plays.max(1) as f64,
            lateness_ms: late,
            behind: late > BEHIND,
        })
    }

    /// Bytes a second of one segment after another, four readers at once, through the front and from a server.
    async fn relay(self: &Arc<Rig>, seconds: f64) -> Result<(f64, f64)> {
        let mut plays = Vec::new();
        for _ in 0..4 {
            let (status, manifest) = self.play().await?;
            ensure!(status == 200, "a play to read from was answered {status}");
            plays.push((self.call_front().await?, format!("{}0/1.m4s", base(&manifest)?)));
        }
        let through = read_for(plays, seconds).await?;
        let mut direct = Vec::new();
        let mut held = Vec::new();
        for n in 0..4 {
            let mut peer = self.call_server(n).await?;
            let body = json!({
                "title": self.titles[n].name, "product": "any", "rung": 0, "session": "r",
            })
            .to_string();
            let head =
                format!("POST /plays/r-{n}-1 HTTP/1.1\r\nHost: b\r\nContent-Length: {}\r\n\r\n", body.len());
            peer.write((head + &body).as_bytes()).await?;
            peer.read_response_head().await?.context("the server closed")?;
            held.push(peer);
            direct.push((self.call_server(n).await?, format!("/plays/r-{n}-1/0/1")));
        }
        Ok((through, read_for(direct, seconds).await?))
    }
}

async fn read_for(from: Vec<(HttpPeer, String)>, seconds: f64) -> Result<f64> {
    let start = Instant::now();
    let until = start + Duration::from_secs_f64(seconds);
    let mut all = Vec::new();
    for (mut peer, target) in from {
        all.push(tokio::spawn(async move {
            let mut bytes = 0;
            while Instant::now() < until {
                peer.write(format!("GET {target} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
                let answer = peer.read_response().await?.context("closed in the middle")?;
                ensure!(answer.status == 200, "a segment was answered {}", answer.status);
                bytes += answer.body.len();
            }
            Ok(bytes)
        }));
    }
    let mut bytes = 0;
    for one in all {
        bytes += one.await??;
    }
    Ok(bytes as f64 / 1e6 / start.elapsed().as_secs_f64())
}

/// Where a manifest says that its segments are. Found by its tags: a parser's milliseconds would be counted as the
/// front's, since they share the machine.
fn base(manifest: &[u8]) -> Result<&str> {
    let text = std::str::from_utf8(manifest)?;
    let rest = text.split_once("<BaseURL>").and_then(|(_, rest)| rest.split_once("</BaseURL>"));
    Ok(rest.context("a manifest has its base")?.0)
}

impl Costs {
    pub fn text(&self) -> String {
        let mut out = format!(
            "{:>9} {:>7} {:>24} {:>24} {:>30} {:>9} {:>8}\n",
            "plays/s",
            "failed",
            "bare p50/p99/p99.9 ms",
            "set-up p50/p99/p99.9",
            "front p50/p99/p99.9 (x bare)",
            "CPU ms",
            "late ms"
        );
        let three = |q: &Quantiles| format!("{:.2}/{:.2}/{:.2}", q.p50, q.p99, q.p999);
        for r in &self.rates {
            let times = r.front_ms.p50 / r.bare_ms.p50.max(1e-9);
            out += &format!(
                "{:>9.0} {:>7} {:>24} {:>24} {:>30} {:>9.3} {:>8.1}{}\n",
                r.per_s,
                r.failed,
                three(&r.bare_ms),
                three(&r.direct_ms),
                format!("{} ({times:.1})", three(&r.front_ms)),
                r.cpu_ms_a_play,
                r.lateness_ms,
                if r.behind { "  the generator fell behind: no result" } else { "" }
            );
        }
        out += &format!("most plays a second with p99 within {CARRIED} ms: {:.0}\n", self.most_a_second);
        let each = (self.memory_held_kb.saturating_sub(self.memory_before_kb)) as f64 / self.held as f64;
        out += &format!(
            "memory: {} kB before, {} kB with {} plays held ({each:.2} kB each)\n",
            self.memory_before_kb, self.memory_held_kb, self.held
        );
        out += &format!(
            "relay: {:.0} MB/s through the front, {:.0} MB/s read from the servers ({:.2})\n",
            self.relay_mb_s,
            self.direct_mb_s,
            self.relay_mb_s / self.direct_mb_s.max(1e-9)
        );
        out
    }
}
