//! Players that arrive open-loop at scheduled times. Each requests a manifest, fetches segments as it plays, retries,
//! leaves and returns. Players use only the sockets of the fronts, and record what they observe.

use crate::environment::{Title, from_ms};
use crate::fronts::{FRONT_NAME, Fronts};
use crate::scenario::{FaultKind, Scenario};
use anyhow::Result;
use pulleystair_dash::address;
use pulleystair_dash::token::EntryClaims;
use pulleystair_fake_servers::content;
use pulleystair_fake_servers::http::{HttpPeer, Message};
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_rule_checker::Observed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Zipf};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_rustls::TlsConnector;

/// Maximum number of visits of a viewer, the first one included. Each visit requests the play in a new session.
const MAX_VISITS: usize = 3;
/// Number of segments that a player fetches ahead.
const SEGMENTS_AHEAD: u64 = 2;
/// Maximum number of attempts to fetch one segment, the first one included.
const MAX_SEGMENT_TRIES: usize = 3;
/// How long after the time limit a player keeps waiting, so that a late response is recorded as late.
const LATE_RESPONSE_MS: f64 = 1_000.0;

/// The result of one viewer's play over all its visits.
#[derive(Clone, Debug, Default)]
pub struct PlayerResult {
    pub product: usize,
    /// Time of arrival in ms since the start of the run.
    pub arrived_at: f64,
    /// Time from the first request to the manifest, if one arrived.
    pub set_up_ms: Option<f64>,
    /// Status of the last response to a manifest request; 0 if there was none.
    pub status: u16,
    /// Number of visits, each with a new session.
    pub visits: usize,
    /// Number of segments that arrived.
    pub segments: usize,
    /// Sum of the rungs of all segments.
    pub rung_sum: usize,
    /// Seconds shown, each weighted with what its rung earns.
    pub earned_s: f64,
    /// Length of the title in seconds.
    pub title_s: f64,
    /// Total time of all stalls.
    pub stalled_ms: f64,
    pub stalls: usize,
    /// Whether the play of any visit broke off, even if a later visit played to its end.
    pub broken: bool,
}

/// One arrival, drawn before the run starts.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival in ms since the start of the run.
    pub arrives_at: f64,
    /// Index of the title among those of the scenario.
    pub title: usize,
    /// Zone of the player, whose fronts it prefers.
    pub zone: usize,
    /// Highest rung that the player can use.
    pub max_rung: usize,
    /// Determines the player's random draws, and is part of its session names.
    pub seed: u64,
}

/// Draws all arrivals of a scenario: a Poisson process at the usual rate, and further ones for surges and crowds.
pub fn arrivals(scenario: &Scenario, titles: &[Title]) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(scenario.seed ^ 0xa221);
    let titles_of =
        |p: usize| -> Vec<usize> { (0..titles.len()).filter(|t| titles[*t].product == p).collect() };
    let titles_by_product: Vec<Vec<usize>> = (0..scenario.products.len()).map(titles_of).collect();
    let parts: f64 = scenario.products.iter().map(|p| p.part).sum();
    let mut arrivals = Vec::new();
    let mut draw_arrival = |arrives_at: f64, is_crowd: bool, rng: &mut StdRng| {
        let mut remaining_part = rng.random::<f64>() * parts;
        let product = scenario.products.iter().position(|p| {
            remaining_part -= p.part;
            remaining_part < 0.0
        });
        let product = if is_crowd { 0 } else { product.unwrap_or(0) };
        let product_titles = &titles_by_product[product];
        let zipf = Zipf::new(product_titles.len() as f64, 0.9).expect("a product has at least one title");
        // A crowd requests the least popular title, for which few servers have capacity.
        let title = if is_crowd {
            product_titles[product_titles.len() - 1]
        } else {
            product_titles[zipf.sample(rng) as usize - 1]
        };
        let highest_rung = scenario.ladder.len() - 1;
        let max_rung =
            if rng.random::<f64>() < scenario.players.small { highest_rung / 2 } else { highest_rung };
        let max_rung = max_rung.max(scenario.products[product].floor);
        let zone = rng.random_range(0..scenario.zones.len());
        arrivals.push(Arrival { arrives_at, title, zone, max_rung, seed: rng.random() });
    };
    let mut add_poisson_arrivals = |from: f64, to: f64, per_s: f64, is_crowd: bool| {
        let mut arrives_at = from;
        loop {
            arrives_at += -(1.0 - rng.random::<f64>()).ln() / per_s;
            if arrives_at >= to {
                return;
            }
            draw_arrival(arrives_at * 1000.0, is_crowd, &mut rng);
        }
    };
    add_poisson_arrivals(0.0, scenario.seconds, scenario.players.per_s, false);
    for fault in scenario.troubles.iter().filter(|t| matches!(t.kind, FaultKind::Surge | FaultKind::Crowd)) {
        let is_crowd = fault.kind == FaultKind::Crowd;
        let extra_per_s = scenario.players.per_s * if is_crowd { fault.size } else { fault.size - 1.0 };
        if extra_per_s > 0.0 {
            add_poisson_arrivals(
                fault.at_s,
                (fault.at_s + fault.length_s).min(scenario.seconds),
                extra_per_s,
                is_crowd,
            );
        }
    }
    arrivals.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
    arrivals
}

/// State that all players of a run share.
pub struct PlayerPool {
    pub scenario: Arc<Scenario>,
    pub titles: Arc<Vec<Title>>,
    pub fronts: Fronts,
    /// The TLS connector to the fronts; none without TLS.
    pub tls: Option<TlsConnector>,
    pub recorder: Recorder,
    /// Number of the next manifest request; numbers are unique within the run.
    pub next_request: AtomicU64,
    /// Results of the players that have ended.
    pub results: Mutex<Vec<PlayerResult>>,
}

/// The outcome of a manifest request.
enum ManifestResult {
    Response(Message),
    /// The connection broke or could not be established.
    Disconnected,
    TimedOut,
}

impl PlayerPool {
    /// Simulates one viewer: up to `MAX_VISITS` visits, each with a new session, until a play ends as intended. After a
    /// failure the viewer returns with the probability `come_back`; it does not return after a time-out. A visit that
    /// finds no running front is always followed by the next one, 500 ms later.
    pub async fn run_player(self: Arc<PlayerPool>, arrival: Arrival) {
        let mut rng = StdRng::seed_from_u64(arrival.seed);
        let title = &self.titles[arrival.title];
        let title_s = title.duration_ms as f64 / 1000.0;
        let mut result = PlayerResult {
            product: title.product,
            arrived_at: arrival.arrives_at,
            title_s,
            ..PlayerResult::default()
        };
        let started_at = Instant::now();
        let players = &self.scenario.players;
        for visit in 0..MAX_VISITS {
            result.visits += 1;
            let session = format!("s{:016x}-{visit}", arrival.seed);
            let Some((front, address)) = self.fronts.choose_front(arrival.zone, rng.random()) else {
                sleep(from_ms(500.0)).await;
                continue;
            };
            let mut retry_delay_ms = 800.0 + 1300.0 * rng.random::<f64>();
            let mut address = address;
            let mut manifest_result =
                self.request_manifest(front, address, &session, &arrival, &mut rng).await;
            if let ManifestResult::Response(response) = &manifest_result
                && response.status == 307
            {
                // Each session has a home front. If that front is not running, the connection counts as failed.
                let location = response
                    .header("location")
                    .and_then(|url| url.strip_prefix("//")?.split('/').next()?.parse().ok());
                let home = location.and_then(|location| Some((self.fronts.front_at(location)?, location)));
                manifest_result = match home {
                    Some((front, location)) => {
                        address = location;
                        self.request_manifest(front, location, &session, &arrival, &mut rng).await
                    }
                    None => ManifestResult::Disconnected,
                };
            }
            match manifest_result {
                ManifestResult::Response(response) => {
                    result.status = response.status;
                    if response.status == 200 {
                        result.set_up_ms.get_or_insert(started_at.elapsed().as_secs_f64() * 1000.0);
                        let leaves_early = rng.random::<f64>() < players.leave;
                        if self
                            .play_segments(
                                address,
                                &session,
                                &response.body,
                                &arrival,
                                leaves_early,
                                &mut result,
                            )
                            .await
                        {
                            break;
                        }
                        result.broken = true;
                    }
                    if let Some(seconds) =
                        response.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok())
                    {
                        retry_delay_ms = retry_delay_ms.max(seconds * 1000.0);
                    }
                }
                ManifestResult::Disconnected => {}
                ManifestResult::TimedOut => break,
            }
            if rng.random::<f64>() >= players.come_back {
                break;
            }
            sleep(from_ms(retry_delay_ms)).await;
        }
        self.results.lock().expect("no player panics while it holds the results").push(result);
    }

    /// Connects to a front.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(address, self.tls.as_ref().map(|connector| (connector, FRONT_NAME))).await
    }

    /// Signs an entry token for a session, valid for a minute.
    fn token(&self, session: &str, arrival: &Arrival) -> String {
        let title = &self.titles[arrival.title];
        self.fronts.sign(&EntryClaims {
            jti: session.to_string(),
            sub: format!("v{:x}", arrival.seed),
            product: self.scenario.products[title.product].name.clone(),
            title: title.name.clone(),
            top: arrival.max_rung,
            exp: (self.recorder.now() / 1000.0) as u64 + 60,
        })
    }

    /// Requests the manifest. Some players send two requests at once, or close the connection early and ask again.
    async fn request_manifest(
        &self,
        front: usize,
        address: SocketAddr,
        session: &str,
        arrival: &Arrival,
        rng: &mut StdRng,
    ) -> ManifestResult {
        let drawn = rng.random::<f64>();
        let players = &self.scenario.players;
        if drawn < players.ask_again {
            let patience = Duration::from_millis(rng.random_range(1..30));
            let first_result =
                self.send_manifest_request(front, address, session, arrival, Some(patience)).await;
            if let ManifestResult::Response(response) = first_result {
                return ManifestResult::Response(response);
            }
        } else if drawn < players.ask_again + players.ask_twice {
            let (first, second) = tokio::join!(
                self.send_manifest_request(front, address, session, arrival, None),
                self.send_manifest_request(front, address, session, arrival, None)
            );
            return if matches!(first, ManifestResult::Response(_)) { first } else { second };
        }
        self.send_manifest_request(front, address, session, arrival, None).await
    }

    /// Sends one manifest request and waits for the response. A player with `patience` closes the connection when that
    /// has passed.
    async fn send_manifest_request(
        &self,
        front: usize,
        address: SocketAddr,
        session: &str,
        arrival: &Arrival,
        patience: Option<Duration>,
    ) -> ManifestResult {
        let title = &self.titles[arrival.title];
        let product = &self.scenario.products[title.product];
        let Ok(mut peer) = self.connect(address).await else { return ManifestResult::Disconnected };
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let target = address::play_request_target(&product.name, &title.name, &self.token(session, arrival));
        self.recorder.record(Observed::Asked {
            request,
            session: session.to_string(),
            front,
            product: title.product,
            title: title.name.clone(),
            top: arrival.max_rung,
        });
        let time_limit = patience.unwrap_or(from_ms(product.time_limit_ms + LATE_RESPONSE_MS));
        let response = timeout(time_limit, async {
            peer.write(format!("GET {target} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes()).await?;
            peer.read_response().await
        });
        match response.await {
            Ok(Ok(Some(response))) => {
                self.recorder.record(Observed::Answered { request, status: response.status });
                ManifestResult::Response(response)
            }
            Ok(_) => {
                self.recorder.record(Observed::Cut { request });
                ManifestResult::Disconnected
            }
            Err(_) => {
                if patience.is_some() {
                    self.recorder.record(Observed::Left { request });
                }
                ManifestResult::TimedOut
            }
        }
    }

    /// Fetches the segments at the speed of the playback; false if the play broke off.
    async fn play_segments(
        &self,
        address: SocketAddr,
        session: &str,
        manifest: &[u8],
        arrival: &Arrival,
        leaves_early: bool,
        result: &mut PlayerResult,
    ) -> bool {
        let title = &self.titles[arrival.title];
        let Some(manifest_info) = parse_manifest(manifest) else { return false };
        let segments = title.duration_ms.div_ceil(title.segment_ms);
        let last_number = if leaves_early { segments.div_ceil(2) } else { segments };
        let rung = manifest_info.rungs - 1;
        let mut connection = None;
        let segment_length = from_ms(title.segment_ms as f64);
        // When the playback of all fetched segments ends.
        let mut shown_until = Instant::now();
        for number in 1..=last_number {
            let path = manifest_info.base.clone()
                + &manifest_info
                    .media
                    .replace("$RepresentationID$", &rung.to_string())
                    .replace("$Number$", &number.to_string());
            let Some(body) = self.fetch_segment(address, &path, &mut connection, segment_length * 8).await
            else {
                return false;
            };
            let content_read = content::parse(&body);
            if let Some(content_read) = &content_read {
                result.rung_sum += content_read.rung;
                result.earned_s +=
                    self.scenario.ladder[content_read.rung].earns * segment_length.as_secs_f64();
            }
            let (title, session) = (title.name.clone(), session.to_string());
            self.recorder.record(Observed::Fetched { session, title, number, rung, got: content_read });
            result.segments += 1;
            let now = Instant::now();
            if number > 1 && now > shown_until {
                result.stalls += 1;
                result.stalled_ms += (now - shown_until).as_secs_f64() * 1000.0;
            }
            shown_until = shown_until.max(now) + segment_length;
            let lead_time = segment_length * SEGMENTS_AHEAD as u32;
            if shown_until > now + lead_time {
                sleep_until(shown_until - lead_time).await;
            }
        }
        if leaves_early {
            if let Ok(mut peer) = self.connect(address).await {
                let _ = peer
                    .write(
                        format!("DELETE {} HTTP/1.1\r\nHost: front\r\n\r\n", manifest_info.base).as_bytes(),
                    )
                    .await;
                let _ = timeout(from_ms(1000.0), peer.read_response()).await;
            }
        } else {
            sleep_until(shown_until).await;
        }
        true
    }

    /// Fetches one segment over the kept connection or a new one; none if all attempts fail.
    async fn fetch_segment(
        &self,
        address: SocketAddr,
        path: &str,
        kept_connection: &mut Option<HttpPeer>,
        time_limit: Duration,
    ) -> Option<Vec<u8>> {
        for attempt in 0..MAX_SEGMENT_TRIES {
            if attempt > 0 {
                sleep(from_ms(100.0 * attempt as f64)).await;
            }
            let mut peer = match kept_connection.take() {
                Some(peer) => peer,
                None => self.connect(address).await.ok()?,
            };
            let response = timeout(time_limit, async {
                peer.write(format!("GET {path} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes()).await?;
                peer.read_response().await
            });
            match response.await {
                Ok(Ok(Some(response))) => {
                    if response.header("connection") != Some("close") {
                        *kept_connection = Some(peer);
                    }
                    match response.status {
                        200 => return Some(response.body),
                        502..=504 => {}
                        _ => return None,
                    }
                }
                Ok(_) => {}
                Err(_) => return None,
            }
        }
        None
    }
}

/// The parts of a manifest that a player uses.
struct ManifestInfo {
    /// Base path of the session, which segment paths begin with.
    base: String,
    /// Template of the rest of a segment path.
    media: String,
    /// Number of rungs.
    rungs: usize,
}

/// Parses a manifest as a player does, with a parser that is not part of this project.
fn parse_manifest(text: &[u8]) -> Option<ManifestInfo> {
    let mpd = dash_mpd::parse(std::str::from_utf8(text).ok()?).ok()?;
    let adaptation_set = mpd.periods.first()?.adaptations.first()?;
    Some(ManifestInfo {
        base: mpd.base_url.first()?.base.clone(),
        media: adaptation_set.SegmentTemplate.as_ref()?.media.clone()?,
        rungs: adaptation_set.representations.len(),
    })
    .filter(|info| info.rungs > 0)
}

/// Starts each player at its arrival time, whether or not earlier ones have ended, and waits until all have ended.
/// Returns the longest delay of a start, ms.
pub async fn run_arrivals(pool: Arc<PlayerPool>, arrivals: Vec<Arrival>, start: Instant) -> Result<f64> {
    let mut max_delay_ms = 0.0f64;
    let mut players = Vec::new();
    for arrival in arrivals {
        let due_at = start + from_ms(arrival.arrives_at);
        sleep_until(due_at).await;
        max_delay_ms = max_delay_ms.max(due_at.elapsed().as_secs_f64() * 1000.0);
        players.push(tokio::spawn(pool.clone().run_player(arrival)));
    }
    for player in players {
        player.await?;
    }
    Ok(max_delay_ms)
}
