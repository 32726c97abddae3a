//! Measures the cost of a front: its set-up time compared to that of a fake server alone, the highest rate of plays,
//! CPU, memory, and the throughput of relayed segments compared to a direct read. Arrivals are open-loop and latencies
//! count from the intended start, so a front that falls behind shows up in them. A load generator that falls behind is
//! reported.

use crate::environment::{Title, from_ms};
use crate::fronts::{FRONT_NAME, Fronts, Program, portal_keys};
use crate::report::{Quantiles, quantiles};
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use anyhow::{Context, Result, ensure};
use pulleystair_dash::address;
use pulleystair_dash::token::{EntryClaims, KeyRing};
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

/// Highest p99 of the set-up time at which a front counts as sustaining a rate, ms.
const MAX_SUSTAINED_P99_MS: f64 = 50.0;
/// The load generator has fallen behind if it started one of its plays this long after the intended time, ms.
const MAX_LATENESS_MS: f64 = 25.0;
/// Number of concurrent plays for the memory measurement.
const HELD_PLAYS: usize = 10_000;

/// The results of the measurement, written to load.json.
#[derive(Debug, Serialize)]
pub struct Costs {
    pub rates: Vec<Rate>,
    /// The highest rate that the front sustained, plays per second.
    pub most_a_second: f64,
    /// Number of plays that were set up for the memory measurement.
    pub held: usize,
    /// Resident memory of the front before these plays.
    pub memory_before_kb: u64,
    /// Resident memory of the front with these plays.
    pub memory_held_kb: u64,
    /// Throughput of segments through the front.
    pub relay_mb_s: f64,
    /// Throughput of segments that are read directly from the servers.
    pub direct_mb_s: f64,
}

/// The results at one rate of arrivals.
#[derive(Debug, Serialize)]
pub struct Rate {
    pub per_s: f64,
    pub plays: usize,
    pub failed: usize,
    /// Latency of an HTTP request to a server on an idle connection, or on a new one if none is idle.
    pub bare_ms: Quantiles,
    /// Latency of a set-up that is sent directly to a server, on a new connection.
    pub direct_ms: Quantiles,
    /// Latency of a set-up through the front, on a new connection.
    pub front_ms: Quantiles,
    /// CPU time of the front per requested play.
    pub cpu_ms_a_play: f64,
    /// The longest time by which a play was started after its intended time.
    pub lateness_ms: f64,
    /// Whether the load generator fell behind, so that the rate counts as not sustained.
    pub behind: bool,
}

/// A scenario with one front and servers whose set-ups take no time.
fn load_scenario(tls: bool) -> Result<Scenario> {
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

/// What all measurements share.
struct LoadTest {
    servers: FakeServers,
    fronts: Fronts,
    front_address: SocketAddr,
    titles: Vec<Title>,
    portal_keys: KeyRing,
    /// Number of the next session or allocation.
    next_number: AtomicU64,
    /// With TLS: the connector to the front, and the connector to servers with a front's certificate.
    tls: Option<(TlsConnector, TlsConnector)>,
}

/// Measures rising rates, for about `seconds` each, until the front no longer sustains one; then the throughput and the
/// memory. The first rate takes twice as long, and those from 1500 plays per second on half as long.
pub async fn run(program: Program, folder: &Path, seconds: f64, tls: bool) -> Result<Costs> {
    let testbed = Testbed::build(load_scenario(tls)?, program, folder).await?;
    let front_address = testbed.start().await?[0];
    let Testbed { servers, fronts, titles, .. } = testbed;
    let titles = titles.to_vec();
    let tls = match (fronts.connector()?, &fronts.authority) {
        (Some(players), Some(authority)) => {
            let certificate = authority.issue_long_lived(FRONT_NAME);
            Some((players, authority.connector(Some(&certificate))?))
        }
        _ => None,
    };
    let next_number = AtomicU64::new(0);
    let test = Arc::new(LoadTest {
        servers,
        fronts,
        front_address,
        titles,
        portal_keys: portal_keys(),
        next_number,
        tls,
    });
    // Warm-up of allocators, connections and the load values that decisions use.
    test.measure_rate(200.0, 1.0).await?;
    let mut rates = vec![test.measure_rate(30.0, 2.0 * seconds).await?];
    let mut max_per_s = 0.0;
    let mut per_s = 250.0;
    while per_s < 20_000.0 {
        let rate = test.measure_rate(per_s, if per_s < 1500.0 { seconds } else { seconds / 2.0 }).await?;
        let is_sustained = rate.front_ms.p99 <= MAX_SUSTAINED_P99_MS && rate.failed == 0 && !rate.behind;
        rates.push(rate);
        if !is_sustained {
            break;
        }
        max_per_s = per_s;
        per_s *= if per_s < 500.0 { 2.0 } else { 1.25 };
    }
    sleep(from_ms(1000.0)).await;
    let (relay_mb_s, direct_mb_s) = test.measure_relay(seconds).await?;
    let read_memory_kb =
        |test: &LoadTest| Ok(test.fronts.resource_usage(0).context("the front is not running")?.1);
    let memory_before: Result<u64> = read_memory_kb(&test);
    for _ in 0..HELD_PLAYS {
        let (status, _) = test.set_up_play().await?;
        ensure!(status == 200, "set-up of a play for the memory measurement got status {status}");
    }
    let memory_held: Result<u64> = read_memory_kb(&test);
    test.fronts.kill(0).await;
    Ok(Costs {
        rates,
        most_a_second: max_per_s,
        held: HELD_PLAYS,
        memory_before_kb: memory_before?,
        memory_held_kb: memory_held?,
        relay_mb_s,
        direct_mb_s,
    })
}

impl LoadTest {
    /// Opens a connection to the front as a player does.
    async fn connect_to_front(&self) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(self.front_address, self.tls.as_ref().map(|tls| (&tls.0, FRONT_NAME))).await
    }

    /// Opens a connection to a server as the front does.
    async fn connect_to_server(&self, server: usize) -> std::io::Result<HttpPeer> {
        let name = format!("m{server}");
        let tls_and_name = self.tls.as_ref().map(|tls| (&tls.1, name.as_str()));
        HttpPeer::connect(self.servers.addresses[server], tls_and_name).await
    }

    /// Requests a play on a new connection; returns the status and the manifest.
    async fn set_up_play(&self) -> Result<(u16, Vec<u8>)> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let title = &self.titles[number as usize % self.titles.len()].name;
        let token = self.portal_keys.sign(&EntryClaims {
            jti: format!("s{number}"),
            sub: "v".into(),
            product: "any".into(),
            title: title.clone(),
            top: 0,
            exp: u64::MAX >> 12,
        });
        let mut peer = self.connect_to_front().await?;
        let target = address::play_request_target("any", title, &token);
        peer.write(format!("GET {target} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
        let response = peer.read_response().await?.context("the front closed the connection")?;
        Ok((response.status, response.body))
    }

    /// Ends the play of a manifest.
    async fn end_play(&self, manifest: &[u8]) -> Result<()> {
        let mut peer = self.connect_to_front().await?;
        let base_path = base_url(manifest)?;
        peer.write(format!("DELETE {base_path} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
        peer.read_response().await?;
        Ok(())
    }

    /// Sets up a play directly at a server and ends it by closing the connection; returns the status.
    async fn set_up_at_server(&self) -> Result<u16> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut peer = self.connect_to_server(number as usize % self.servers.addresses.len()).await?;
        let title = &self.titles[number as usize % self.titles.len()].name;
        let body = json!({ "title": title, "product": "any", "rung": 0, "session": "d" }).to_string();
        let head =
            format!("POST /plays/d-{number}-1 HTTP/1.1\r\nHost: b\r\nContent-Length: {}\r\n\r\n", body.len());
        peer.write((head + &body).as_bytes()).await?;
        Ok(peer.read_response_head().await?.context("the server closed the connection")?.status)
    }

    /// Starts requests at a constant rate, whether or not earlier ones have completed. `start_one` gets the intended
    /// start and returns the latency in ms, or none if the request failed. Returns the latencies, the number of
    /// failures, and the longest time by which a request was started after its intended start, ms.
    async fn run_open_loop<F, R>(&self, per_s: f64, seconds: f64, start_one: F) -> (Vec<f64>, usize, f64)
    where
        F: Fn(Instant) -> R,
        R: Future<Output = Option<f64>> + Send + 'static,
    {
        let start = Instant::now() + from_ms(20.0);
        let (mut max_lateness_ms, mut tasks) = (0.0f64, Vec::new());
        for i in 0..(per_s * seconds) as usize {
            let due_at = start + Duration::from_secs_f64(i as f64 / per_s);
            sleep_until(due_at).await;
            max_lateness_ms = max_lateness_ms.max(due_at.elapsed().as_secs_f64() * 1000.0);
            tasks.push(tokio::spawn(start_one(due_at)));
        }
        let (mut latencies_ms, mut failed) = (Vec::new(), 0);
        for task in tasks {
            match task.await {
                Ok(Some(ms)) => latencies_ms.push(ms),
                _ => failed += 1,
            }
        }
        (latencies_ms, failed, max_lateness_ms)
    }

    /// Measures the latencies of HTTP requests, direct set-ups and plays through the front at one rate.
    async fn measure_rate(self: &Arc<LoadTest>, per_s: f64, seconds: f64) -> Result<Rate> {
        let elapsed_ms = |due_at: Instant| due_at.elapsed().as_secs_f64() * 1000.0;
        let test = self.clone();
        let idle_connections = Arc::new(Mutex::new(Vec::<HttpPeer>::new()));
        let (bare_ms, _, _) = self
            .run_open_loop(per_s, seconds, move |due_at| {
                let (test, idle_connections) = (test.clone(), idle_connections.clone());
                async move {
                    let peer = idle_connections
                        .lock()
                        .expect("no task panics while it holds the idle connections")
                        .pop();
                    let mut peer = match peer {
                        Some(peer) => peer,
                        None => test.connect_to_server(0).await.ok()?,
                    };
                    peer.write(b"GET /load HTTP/1.1\r\nHost: b\r\n\r\n").await.ok()?;
                    peer.read_response().await.ok()??;
                    let latency_ms = elapsed_ms(due_at);
                    idle_connections
                        .lock()
                        .expect("no task panics while it holds the idle connections")
                        .push(peer);
                    Some(latency_ms)
                }
            })
            .await;
        let test = self.clone();
        let (direct_ms, _, _) = self
            .run_open_loop(per_s, seconds, move |due_at| {
                let test = test.clone();
                async move { (test.set_up_at_server().await.ok()? == 200).then(|| elapsed_ms(due_at)) }
            })
            .await;
        let cpu_before_ms = self.fronts.resource_usage(0).context("the front is not running")?.0;
        let test = self.clone();
        let (front_ms, failed, max_lateness_ms) = self
            .run_open_loop(per_s, seconds, move |due_at| {
                let test = test.clone();
                async move {
                    let (status, manifest) =
                        timeout(from_ms(15_000.0), test.set_up_play()).await.ok()?.ok()?;
                    let latency_ms = elapsed_ms(due_at);
                    if status == 200 {
                        test.end_play(&manifest).await.ok()?;
                    }
                    (status == 200).then_some(latency_ms)
                }
            })
            .await;
        let plays = front_ms.len() + failed;
        let cpu_ms = self.fronts.resource_usage(0).context("the front is not running")?.0 - cpu_before_ms;
        Ok(Rate {
            per_s,
            plays,
            failed,
            bare_ms: quantiles(bare_ms.into_iter())?,
            direct_ms: quantiles(direct_ms.into_iter())?,
            front_ms: quantiles(front_ms.into_iter())?,
            cpu_ms_a_play: cpu_ms / plays.max(1) as f64,
            lateness_ms: max_lateness_ms,
            behind: max_lateness_ms > MAX_LATENESS_MS,
        })
    }

    /// Measures the throughput of four readers, in MB/s, through the front and directly from servers.
    async fn measure_relay(self: &Arc<LoadTest>, seconds: f64) -> Result<(f64, f64)> {
        let mut readers = Vec::new();
        for _ in 0..4 {
            let (status, manifest) = self.set_up_play().await?;
            ensure!(status == 200, "set-up of a play for the throughput measurement got status {status}");
            readers.push((self.connect_to_front().await?, format!("{}0/1.m4s", base_url(&manifest)?)));
        }
        let through_front = measure_throughput(readers, seconds).await?;
        let mut direct_readers = Vec::new();
        let mut open_plays = Vec::new();
        for server in 0..4 {
            let mut peer = self.connect_to_server(server).await?;
            let body = json!({
                "title": self.titles[server].name, "product": "any", "rung": 0, "session": "r",
            })
            .to_string();
            let head = format!(
                "POST /plays/r-{server}-1 HTTP/1.1\r\nHost: b\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            peer.write((head + &body).as_bytes()).await?;
            peer.read_response_head().await?.context("the server closed the connection")?;
            open_plays.push(peer);
            direct_readers.push((self.connect_to_server(server).await?, format!("/plays/r-{server}-1/0/1")));
        }
        Ok((through_front, measure_throughput(direct_readers, seconds).await?))
    }
}

/// Reads the same segment again and again on each connection; returns the total throughput in MB/s.
async fn measure_throughput(readers: Vec<(HttpPeer, String)>, seconds: f64) -> Result<f64> {
    let start = Instant::now();
    let ends_at = start + Duration::from_secs_f64(seconds);
    let mut tasks = Vec::new();
    for (mut peer, target) in readers {
        tasks.push(tokio::spawn(async move {
            let mut bytes = 0;
            while Instant::now() < ends_at {
                peer.write(format!("GET {target} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).await?;
                let response = peer
                    .read_response()
                    .await?
                    .context("the connection was closed during the measurement")?;
                ensure!(response.status == 200, "a segment request got status {}", response.status);
                bytes += response.body.len();
            }
            Ok(bytes)
        }));
    }
    let mut bytes = 0;
    for task in tasks {
        bytes += task.await??;
    }
    Ok(bytes as f64 / 1e6 / start.elapsed().as_secs_f64())
}

/// The base URL of a manifest's segments. Found by its tags, since the time of an XML parser would count as the
/// front's: both run on the same machine.
fn base_url(manifest: &[u8]) -> Result<&str> {
    let text = std::str::from_utf8(manifest)?;
    let rest = text.split_once("<BaseURL>").and_then(|(_, rest)| rest.split_once("</BaseURL>"));
    Ok(rest.context("the manifest has no BaseURL")?.0)
}

impl Costs {
    /// The results as a table for the console.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:>9} {:>7} {:>24} {:>24} {:>30} {:>9} {:>8}\n",
            "plays/s",
            "failed",
            "HTTP p50/p99/p99.9 ms",
            "set-up p50/p99/p99.9",
            "front p50/p99/p99.9 (x HTTP)",
            "CPU ms",
            "late ms"
        );
        let format_quantiles = |q: &Quantiles| format!("{:.2}/{:.2}/{:.2}", q.p50, q.p99, q.p999);
        for rate in &self.rates {
            let ratio = rate.front_ms.p50 / rate.bare_ms.p50.max(1e-9);
            text += &format!(
                "{:>9.0} {:>7} {:>24} {:>24} {:>30} {:>9.3} {:>8.1}{}\n",
                rate.per_s,
                rate.failed,
                format_quantiles(&rate.bare_ms),
                format_quantiles(&rate.direct_ms),
                format!("{} ({ratio:.1})", format_quantiles(&rate.front_ms)),
                rate.cpu_ms_a_play,
                rate.lateness_ms,
                if rate.behind { "  load generator fell behind: no result" } else { "" }
            );
        }
        text += &format!(
            "highest rate with p99 within {MAX_SUSTAINED_P99_MS} ms: {:.0} plays per second\n",
            self.most_a_second
        );
        let kb_per_play =
            (self.memory_held_kb.saturating_sub(self.memory_before_kb)) as f64 / self.held as f64;
        text += &format!(
            "memory: {} kB before, {} kB with {} plays held ({kb_per_play:.2} kB each)\n",
            self.memory_before_kb, self.memory_held_kb, self.held
        );
        text += &format!(
            "relay: {:.0} MB/s through the front, {:.0} MB/s read from the servers ({:.2})\n",
            self.relay_mb_s,
            self.direct_mb_s,
            self.relay_mb_s / self.direct_mb_s.max(1e-9)
        );
        text
    }
}
