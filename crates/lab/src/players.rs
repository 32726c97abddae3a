//! Players that come by a schedule, open-loop: each asks for a manifest, fetches segments as it plays, retries,
//! leaves and comes back. They speak to fronts over sockets alone, and log what they see.

use crate::environment::{Title, ms};
use crate::fronts::{FRONT, Fronts};
use crate::scenario::{Kind, Scenario};
use anyhow::Result;
use pulleystair_dash::address;
use pulleystair_dash::token::EntryToken;
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

/// Times that a viewer comes again, at most.
const COMES: usize = 3;
/// Segments that a player keeps ahead of what it shows.
const AHEAD: u64 = 2;
/// Tries of one segment.
const TRIES: usize = 3;
/// After the time limit a player still listens for so long, so that a late answer is seen as late.
const LISTEN: f64 = 1_000.0;

/// One viewer's play as it came, all its tries included.
#[derive(Clone, Debug, Default)]
pub struct PlayerResult {
    pub product: usize,
    /// ms since the day began.
    pub came: f64,
    /// From the first request to the manifest, where one came.
    pub set_up_ms: Option<f64>,
    /// The last answer to a manifest request; 0 where none came.
    pub status: u16,
    pub tries: usize,
    pub segments: usize,
    pub rungs: usize,
    /// What the rungs it was shown at earn, by the second, and how long the title is.
    pub earned_s: f64,
    pub title_s: f64,
    pub stalled_ms: f64,
    pub stalls: usize,
    pub broken: bool,
}

/// One arrival, drawn before the day begins.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub title: usize,
    pub zone: usize,
    pub top: usize,
    pub seed: u64,
}

/// All arrivals of a day: Poisson at the usual rate, more in surges and crowds.
pub fn arrivals(day: &Scenario, titles: &[Title]) -> Vec<Arrival> {
    let mut rnd = StdRng::seed_from_u64(day.seed ^ 0xa221);
    let by_product =
        |p: usize| -> Vec<usize> { (0..titles.len()).filter(|t| titles[*t].product == p).collect() };
    let products: Vec<Vec<usize>> = (0..day.products.len()).map(by_product).collect();
    let parts: f64 = day.products.iter().map(|p| p.part).sum();
    let mut out = Vec::new();
    let mut draw = |at: f64, crowd: bool, rnd: &mut StdRng| {
        let mut pick = rnd.random::<f64>() * parts;
        let product = day.products.iter().position(|p| {
            pick -= p.part;
            pick < 0.0
        });
        let product = if crowd { 0 } else { product.unwrap_or(0) };
        let of = &products[product];
        let zipf = Zipf::new(of.len() as f64, 0.9).expect("titles are counted from 1");
        // A crowd comes for the least wanted title, which few servers are sized for.
        let title = if crowd { of[of.len() - 1] } else { of[zipf.sample(rnd) as usize - 1] };
        let last = day.ladder.len() - 1;
        let top = if rnd.random::<f64>() < day.players.small { last / 2 } else { last };
        let top = top.max(day.products[product].floor);
        let zone = rnd.random_range(0..day.zones.len());
        out.push(Arrival { at, title, zone, top, seed: rnd.random() });
    };
    let mut steady = |from: f64, to: f64, per_s: f64, crowd: bool| {
        let mut at = from;
        loop {
            at += -(1.0 - rnd.random::<f64>()).ln() / per_s;
            if at >= to {
                return;
            }
            draw(at * 1000.0, crowd, &mut rnd);
        }
    };
    steady(0.0, day.seconds, day.players.per_s, false);
    for trouble in day.troubles.iter().filter(|t| matches!(t.kind, Kind::Surge | Kind::Crowd)) {
        let crowd = trouble.kind == Kind::Crowd;
        let more = day.players.per_s * if crowd { trouble.size } else { trouble.size - 1.0 };
        if more > 0.0 {
            steady(trouble.at_s, (trouble.at_s + trouble.length_s).min(day.seconds), more, crowd);
        }
    }
    out.sort_by(|a, b| a.at.total_cmp(&b.at));
    out
}

/// What all players of a day share.
pub struct PlayerPool {
    pub day: Arc<Scenario>,
    pub titles: Arc<Vec<Title>>,
    pub fronts: Fronts,
    /// How players speak to fronts, where that is under TLS.
    pub seal: Option<TlsConnector>,
    pub log: Recorder,
    pub requests: AtomicU64,
    pub watched: Mutex<Vec<PlayerResult>>,
}

/// How a manifest request ended.
enum Told {
    Answer(Message),
    /// The connection broke, or could not be had.
    Cut,
    Silence,
}

impl PlayerPool {
    /// Watches one play from its first request to its end, coming back as viewers do.
    pub async fn watch(self: Arc<PlayerPool>, arrival: Arrival) {
        let mut rnd = StdRng::seed_from_u64(arrival.seed);
        let title = &self.titles[arrival.title];
        let title_s = title.duration_ms as f64 / 1000.0;
        let mut seen =
            PlayerResult { product: title.product, came: arrival.at, title_s, ..PlayerResult::default() };
        let came = Instant::now();
        let players = &self.day.players;
        for come in 0..COMES {
            seen.tries += 1;
            let session = format!("s{:016x}-{come}", arrival.seed);
            let Some((front, address)) = self.fronts.pick(arrival.zone, rnd.random()) else {
                sleep(ms(500.0)).await;
                continue;
            };
            let mut stay_away = 800.0 + 1300.0 * rnd.random::<f64>();
            let mut address = address;
            let mut told = self.ask(front, address, &session, &arrival, &mut rnd).await;
            if let Told::Answer(answer) = &told
                && answer.status == 307
            {
                // A session is at home at one front; a home that is away is a connection that can't be had.
                let there = answer
                    .header("location")
                    .and_then(|at| at.strip_prefix("//")?.split('/').next()?.parse().ok());
                let home = there.and_then(|there| Some((self.fronts.at(there)?, there)));
                told = match home {
                    Some((front, there)) => {
                        address = there;
                        self.ask(front, there, &session, &arrival, &mut rnd).await
                    }
                    None => Told::Cut,
                };
            }
            match told {
                Told::Answer(answer) => {
                    seen.status = answer.status;
                    if answer.status == 200 {
                        seen.set_up_ms.get_or_insert(came.elapsed().as_secs_f64() * 1000.0);
                        let leaves = rnd.random::<f64>() < players.leave;
                        if self.play(address, &session, &answer.body, &arrival, leaves, &mut seen).await {
                            break;
                        }
                        seen.broken = true;
                    }
                    if let Some(s) = answer.header("retry-after").and_then(|s| s.parse::<f64>().ok()) {
                        stay_away = stay_away.max(s * 1000.0);
                    }
                }
                Told::Cut => {}
                Told::Silence => break,
            }
            if rnd.random::<f64>() >= players.come_back {
                break;
            }
            sleep(ms(stay_away)).await;
        }
        self.watched.lock().expect("no player dies while it reports").push(seen);
    }

    async fn call(&self, address: SocketAddr) -> std::io::Result<HttpPeer> {
        HttpPeer::connect(address, self.seal.as_ref().map(|seal| (seal, FRONT))).await
    }

    fn token(&self, session: &str, arrival: &Arrival) -> String {
        let title = &self.titles[arrival.title];
        self.fronts.sign(&EntryToken {
            jti: session.to_string(),
            sub: format!("v{:x}", arrival.seed),
            product: self.day.products[title.product].name.clone(),
            title: title.name.clone(),
            top: arrival.top,
            exp: (self.log.now() / 1000.0) as u64 + 60,
        })
    }

    /// Asks for the manifest, as some players do twice at once, or again after closing.
    async fn ask(
        &self,
        front: usize,
        address: SocketAddr,
        session: &str,
        arrival: &Arrival,
        rnd: &mut StdRng,
    ) -> Told {
        let dice = rnd.random::<f64>();
        let players = &self.day.players;
        if dice < players.ask_again {
            let patience = Duration::from_millis(rnd.random_range(1..30));
            let early = self.request(front, address, session, arrival, Some(patience)).await;
            if let Told::Answer(answer) = early {
                return Told::Answer(answer);
            }
        } else if dice < players.ask_again + players.ask_twice {
            let (one, other) = tokio::join!(
                self.request(front, address, session, arrival, None),
                self.request(front, address, session, arrival, None)
            );
            return if matches!(one, Told::Answer(_)) { one } else { other };
        }
        self.request(front, address, session, arrival, None).await
    }

    async fn request(
        &self,
        front: usize,
        address: SocketAddr,
        session: &str,
        arrival: &Arrival,
        patience: Option<Duration>,
    ) -> Told {
        let title = &self.titles[arrival.title];
        let product = &self.day.products[title.product];
        let Ok(mut peer) = self.call(address).await else { return Told::Cut };
        let request = self.requests.fetch_add(1, Ordering::Relaxed);
        let target = address::manifest_path(&product.name, &title.name, &self.token(session, arrival));
        self.log.record(Observed::Asked {
            request,
            session: session.to_string(),
            front,
            product: title.product,
            title: title.name.clone(),
            top: arrival.top,
        });
        let wait = patience.unwrap_or(ms(product.time_limit_ms + LISTEN));
        let answer = timeout(wait, async {
            peer.write(format!("GET {target} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes()).await?;
            peer.read_response().await
        });
        match answer.await {
            Ok(Ok(Some(answer))) => {
                self.log.record(Observed::Answered { request, status: answer.status });
                Told::Answer(answer)
            }
            Ok(_) => {
                self.log.record(Observed::Cut { request });
                Told::Cut
            }
            Err(_) => {
                if patience.is_some() {
                    self.log.record(Observed::Left { request });
                }
                Told::Silence
            }
        }
    }

    /// Fetches and shows the segments; false where the play broke off.
    async fn play(
        &self,
        address: SocketAddr,
        session: &str,
        manifest: &[u8],
        arrival: &Arrival,
        leaves: bool,
        seen: &mut PlayerResult,
    ) -> bool {
        let title = &self.titles[arrival.title];
        let Some(form) = read_manifest(manifest) else { return false };
        let segments = title.duration_ms.div_ceil(title.segment_ms);
        let last = if leaves { segments.div_ceil(2) } else { segments };
        let rung = form.rungs - 1;
        let mut line = None;
        let segment = ms(title.segment_ms as f64);
        // When what has been fetched so far is shown to its end.
        let mut shown = Instant::now();
        for number in 1..=last {
            let path = form.base.clone()
                + &form
                    .media
                    .replace("$RepresentationID$", &rung.to_string())
                    .replace("$Number$", &number.to_string());
            let Some(body) = self.fetch(address, &path, &mut line, segment * 8).await else { return false };
            let got = content::parse(&body);
            if let Some(got) = &got {
                seen.rungs += got.rung;
                seen.earned_s += self.day.ladder[got.rung].earns * segment.as_secs_f64();
            }
            let (title, session) = (title.name.clone(), session.to_string());
            self.log.record(Observed::Fetched { session, title, number, rung, got });
            seen.segments += 1;
            let now = Instant::now();
            if number > 1 && now > shown {
                seen.stalls += 1;
                seen.stalled_ms += (now - shown).as_secs_f64() * 1000.0;
            }
            shown = shown.max(now) + segment;
            let early = segment * AHEAD as u32;
            if shown > now + early {
                sleep_until(shown - early).await;
            }
        }
        if leaves {
            if let Ok(mut peer) = self.call(address).await {
                let _ = peer
                    .write(format!("DELETE {} HTTP/1.1\r\nHost: front\r\n\r\n", form.base).as_bytes())
                    .await;
                let _ = timeout(ms(1000.0), peer.read_response()).await;
            }
        } else {
            sleep_until(shown).await;
        }
        true
    }

    /// Fetches one segment over the kept connection, or a new one; none where it can't be had.
    async fn fetch(
        &self,
        address: SocketAddr,
        path: &str,
        line: &mut Option<HttpPeer>,
        patience: Duration,
    ) -> Option<Vec<u8>> {
        for attempt in 0..TRIES {
            if attempt > 0 {
                sleep(ms(100.0 * attempt as f64)).await;
            }
            let mut peer = match line.take() {
                Some(peer) => peer,
                None => self.call(address).await.ok()?,
            };
            let answer = timeout(patience, async {
                peer.write(format!("GET {path} HTTP/1.1\r\nHost: front\r\n\r\n").as_bytes()).await?;
                peer.read_response().await
            });
            match answer.await {
                Ok(Ok(Some(answer))) => {
                    if answer.header("connection") != Some("close") {
                        *line = Some(peer);
                    }
                    match answer.status {
                        200 => return Some(answer.body),
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

struct Form {
    base: String,
    media: String,
    rungs: usize,
}

/// Reads a manifest as a player does, by a parser that is not ours.
fn read_manifest(text: &[u8]) -> Option<Form> {
    let mpd = dash_mpd::parse(std::str::from_utf8(text).ok()?).ok()?;
    let set = mpd.periods.first()?.adaptations.first()?;
    Some(Form {
        base: mpd.base_url.first()?.base.clone(),
        media: set.SegmentTemplate.as_ref()?.media.clone()?,
        rungs: set.representations.len(),
    })
    .filter(|form| form.rungs > 0)
}

/// Lets all arrivals come at their times, whatever becomes of them, and waits until all are through. Tells how
/// late the latest of them set out, ms.
pub async fn run_arrivals(room: Arc<PlayerPool>, arrivals: Vec<Arrival>, start: Instant) -> Result<f64> {
    let mut late = 0.0f64;
    let mut all = Vec::new();
    for arrival in arrivals {
        let due = start + ms(arrival.at);
        sleep_until(due).await;
        late = late.max(due.elapsed().as_secs_f64() * 1000.0);
        all.push(tokio::spawn(room.clone().watch(arrival)));
    }
    for one in all {
        one.await?;
    }
    Ok(late)
}
