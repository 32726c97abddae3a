//! The stand-ins' sockets: one listener a server, all over one [`ServerFleetModel`].

use crate::content;
use crate::http::{HttpPeer, Message};
use crate::model::{Load, Play, ServerFleetModel, ServerFleetSpec, ServerSpec};
use crate::recorder::Recorder;
use pulleystair_rule_checker::Observed;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;

/// A title as servers know it.
#[derive(Clone, Debug)]
pub struct Title {
    pub live: bool,
    pub segment_ms: u64,
    /// Its product's scale of rates.
    pub scale: f64,
}

struct Shared {
    world: Mutex<ServerFleetModel>,
    titles: HashMap<String, Title>,
    products: Vec<String>,
    log: Recorder,
    /// One a server: cores for set-ups, those that wait, and the word that its process has ended.
    cores: Vec<Semaphore>,
    waiting: Vec<Mutex<usize>>,
    lives: Vec<watch::Sender<u64>>,
    ends: Mutex<HashMap<String, Arc<Notify>>>,
    rnd: Mutex<StdRng>,
    /// One a server: how its connections are sealed, where they are.
    seals: Mutex<Vec<Option<TlsAcceptor>>>,
}

/// Stand-in servers, listening until dropped.
#[derive(Clone)]
pub struct FakeServers {
    shared: Arc<Shared>,
    pub addresses: Vec<SocketAddr>,
}

impl FakeServers {
    /// Starts all servers, warm, on ports of the system's choice.
    pub async fn start(
        ground: ServerFleetSpec,
        builds: Vec<ServerSpec>,
        titles: HashMap<String, Title>,
        products: Vec<String>,
        seed: u64,
        log: Recorder,
    ) -> io::Result<FakeServers> {
        let count = builds.len();
        let shared = Arc::new(Shared {
            cores: builds.iter().map(|b| Semaphore::new(b.cores)).collect(),
            waiting: (0..count).map(|_| Mutex::new(0)).collect(),
            lives: (0..count).map(|_| watch::channel(0).0).collect(),
            world: Mutex::new(ServerFleetModel::new(ground, builds)),
            titles,
            products,
            log,
            ends: Mutex::default(),
            rnd: Mutex::new(StdRng::seed_from_u64(seed)),
            seals: Mutex::new(vec![None; count]),
        });
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(listen(shared.clone(), server, listener));
        }
        let sampler = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = sampler.upgrade() {
                let now = shared.log.now();
                shared.world().sample(now);
                drop(shared);
                sleep(Duration::from_millis(50)).await;
            }
        });
        Ok(FakeServers { shared, addresses })
    }

    /// The model, to change what ails a server.
    pub fn model(&self) -> MutexGuard<'_, ServerFleetModel> {
        self.shared.world()
    }

    /// How a server's connections are sealed from now on.
    pub fn set_tls(&self, server: usize, seal: Option<TlsAcceptor>) {
        self.shared.seals.lock().expect("nobody dies while sealing")[server] = seal;
    }

    /// Ends a server's process: its connections are reset, new ones refused.
    pub fn stop(&self, server: usize) {
        self.shared.stop(server);
    }

    pub fn restart(&self, server: usize, cold: bool) {
        self.shared.restart(server, cold);
    }
}

impl Shared {
    fn world(&self) -> MutexGuard<'_, ServerFleetModel> {
        self.world.lock().expect("nobody dies while holding the world")
    }

    fn dice(&self) -> f64 {
        self.rnd.lock().expect("nobody dies while rolling").random()
    }

    fn stop(&self, server: usize) {
        self.world().stop(server);
        self.lives[server].send_modify(|life| *life += 1);
        self.log.record(Observed::Stopped { server });
    }

    fn restart(&self, server: usize, cold: bool) {
        let now = self.log.now();
        self.world().start(now, server, cold);
        self.log.record(Observed::Started { server, cold });
    }

    fn work(&self, server: usize) -> Duration {
        let world = self.world();
        let build = &world.servers[server].build;
        let spread = LogNormal::new(0.0, build.work_spread.max(0.0)).expect("a spread from 0");
        let drawn = spread.sample(&mut *self.rnd.lock().expect("nobody dies while rolling"));
        let ms = build.work_ms * drawn * world.slowness(self.log.now(), server);
        Duration::from_secs_f64(ms / 1000.0)
    }

    fn report(&self, server: usize) -> String {
        let world = self.world();
        let load = world.reported_load(self.log.now(), server, world.ground.reports_late_ms);
        let Load { link, uplink, streams, .. } = load;
        // Half the servers speak each published form.
        if server.is_multiple_of(2) {
            let named = serde_json::json!({ "link": link, "uplink": uplink, "streams": streams });
            format!("endpoint-load-metrics: JSON {}", serde_json::json!({ "named_metrics": named }))
        } else {
            format!(
                "endpoint-load-metrics: TEXT named_metrics.link={link},named_metrics.uplink={uplink},\
                 named_metrics.streams={streams}"
            )
        }
    }

    fn head(&self, server: usize, status: u16, length: usize) -> String {
        format!("HTTP/1.1 {status} x\r\n{}\r\nContent-Length: {length}\r\n\r\n", self.report(server))
    }

    /// An answer without a body.
    fn answer(&self, server: usize, status: u16) -> Vec<u8> {
        self.head(server, status, 0).into_bytes()
    }
}

async fn listen(shared: Arc<Shared>, server: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Watched from before it is seen to be up: a process that ends in between takes this connection with it.
        let mut life = shared.lives[server].subscribe();
        if shared.world().servers[server].faults.down {
            // Nothing listens there: the nearest to a refused connection while the port is kept.
            HttpPeer::new(stream).reset();
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = life.changed() => {}
                _ = serve(&shared, server, stream) => {}
            }
        });
    }
}

async fn serve(shared: &Arc<Shared>, server: usize, stream: TcpStream) -> io::Result<()> {
    let seal = shared.seals.lock().expect("nobody dies while sealing")[server].clone();
    let mut peer = HttpPeer::accept(stream, seal).await?;
    while let Some(request) = peer.read_request().await? {
        let silent = shared.world().servers[server].faults.silent;
        let path: Vec<&str> = request.target.split('/').skip(1).collect();
        match (request.method.as_str(), path.as_slice()) {
            ("POST", ["plays", name]) => return set_up(shared, server, peer, name, &request).await,
            _ if silent => {
                peer.wait_closed().await;
                return Ok(());
            }
            ("GET", ["load"]) => peer.write(&shared.answer(server, 200)).await?,
            ("GET" | "HEAD", ["plays", name, rung, number]) => {
                let (rung, number) = (rung.parse().ok(), number.parse().ok());
                shared.world().servers[server].segments_read += 1;
                if !segment(shared, server, &mut peer, name, rung, number, &request).await? {
                    return Ok(());
                }
            }
            ("PATCH", ["plays", name]) => {
                let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let late = {
                    let mut world = shared.world();
                    world.servers[server].steps_read += 1;
                    world.servers[server].faults.late_steps_ms
                };
                if late > 0.0 {
                    sleep(Duration::from_secs_f64(late / 1000.0)).await;
                }
                let status = step(shared, server, name, body["rung"].as_u64());
                peer.write(&shared.answer(server, status)).await?;
            }
            ("DELETE", ["plays", name]) => {
                let end = shared.ends.lock().expect("nobody dies while ending").get(*name).cloned();
                let status = if end.is_some() { 200 } else { 404 };
                if let Some(end) = end {
                    end.notify_one();
                }
                peer.write(&shared.answer(server, status)).await?;
            }
            _ => peer.write(&shared.answer(server, 404)).await?,
        }
    }
    Ok(())
}

/// Frees a play when its set-up's connection has ended, however that came about.
struct Held {
    shared: Arc<Shared>,
    server: usize,
    name: String,
    life: u64,
    lease: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        let Held { shared, server, name, life, lease } = self;
        shared.log.record(Observed::Closed { allocation: name.clone() });
        shared.ends.lock().expect("nobody dies while ending").remove(name);
        let (shared, server, name, life) = (shared.clone(), *server, std::mem::take(name), *life);
        let wait = if *lease { shared.world().ground.lease_ms } else { 0.0 };
        let free = move || {
            let mut world = shared.world();
            if world.servers[server].life == life {
                world.servers[server].plays.remove(&name);
            }
        };
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if wait > 0.0 => {
                runtime.spawn(async move {
                    sleep(Duration::from_secs_f64(wait / 1000.0)).await;
                    free();
                });
            }
            _ => free(),
        }
    }
}

/// A place among the set-ups that wait for a core or have one.
struct Waits<'a>(&'a Mutex<usize>);

impl Waits<'_> {
    fn join(shared: &Shared, server: usize) -> Option<Waits<'_>> {
        let most = {
            let world = shared.world();
            world.servers[server].build.queue + world.servers[server].build.cores
        };
        let mut waiting = shared.waiting[server].lock().expect("nobody dies while counting");
        let room = *waiting < most;
        *waiting += usize::from(room);
        room.then_some(Waits(&shared.waiting[server]))
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        *self.0.lock().expect("nobody dies while counting") -= 1;
    }
}

async fn set_up(
    shared: &Arc<Shared>,
    server: usize,
    mut peer: HttpPeer,
    name: &str,
    request: &Message,
) -> io::Result<()> {
    let wish: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let text = |key: &str| wish[key].as_str().unwrap_or("").to_string();
    let (title, session) = (text("title"), text("session"));
    let rung = wish["rung"].as_u64().unwrap_or(0) as usize;
    let product = shared.products.iter().position(|p| *p == text("product")).unwrap_or(0);
    let allocation = name.to_string();
    shared.log.record(Observed::SetUp {
        server,
        allocation: allocation.clone(),
        session,
        product,
        title: title.clone(),
        rung,
    });
    let known = shared.titles.get(&title).cloned();
    let now = shared.log.now();
    let (fell, full, life, ails, ladder, spread) = {
        let mut world = shared.world();
        let fell = world.on_set_up(now, server);
        let it = &world.servers[server];
        let full = it.plays.len() >= it.build.streams;
        (fell, full, it.life, it.faults.clone(), world.ground.ladder.len(), world.ground.rate_spread)
    };
    let mut held = Held { shared: shared.clone(), server, name: allocation.clone(), life, lease: false };
    let done =
        |ran, status| shared.log.record(Observed::Done { allocation: allocation.clone(), ran, status });
    if fell {
        let down = Duration::from_secs_f64(shared.world().ground.down_ms / 1000.0);
        let shared = shared.clone();
        tokio::spawn(async move {
            shared.stop(server);
            sleep(down).await;
            shared.restart(server, true);
        });
        return Ok(());
    }
    if ails.silent {
        peer.wait_closed().await;
        return Ok(());
    }
    let Some(known) = known.filter(|_| rung < ladder) else {
        done(false, 404);
        return peer.write(&shared.answer(server, 404)).await;
    };
    if full {
        done(false, 429);
        return peer.write(&shared.answer(server, 429)).await;
    }
    if shared.dice() < ails.errors {
        done(true, 502);
        return peer.write(&shared.answer(server, 502)).await;
    }
    let Some(waits) = Waits::join(shared, server) else {
        done(false, 429);
        return peer.write(&shared.answer(server, 429)).await;
    };
    let factor = known.scale * (1.0 + spread * (2.0 * shared.dice() - 1.0));
    let play = Play { title, product, live: known.live, rung, factor, plays: false };
    shared.world().servers[server].plays.insert(allocation.clone(), play);
    held.lease = true;
    let end = Arc::new(Notify::new());
    shared.ends.lock().expect("nobody dies while ending").insert(allocation.clone(), end.clone());
    {
        let work = async {
            let _core = shared.cores[server].acquire().await;
            sleep(shared.work(server)).await;
        };
        tokio::select! {
            () = work => {}
            () = peer.wait_closed() => return Ok(()),
        }
    }
    drop(waits);
    if let Some(play) = shared.world().servers[server].plays.get_mut(&allocation) {
        play.plays = true;
    }
    let dice = shared.dice();
    if dice < ails.lost {
        done(true, 0);
        peer.wait_closed().await;
        return Ok(());
    }
    if dice < ails.lost + ails.reset {
        done(true, 0);
        peer.reset();
        return Ok(());
    }
    if dice < ails.lost + ails.reset + ails.half_heads {
        done(true, 0);
        peer.write(b"HTTP/1.1 200 OK\r\nendpoint-load").await?;
        peer.wait_closed().await;
        return Ok(());
    }
    // Seen before it is written: whoever reads it may act on it at once.
    done(true, 200);
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\nTransfer-Encoding: chunked\r\n\r\n", shared.report(server));
    peer.write(head.as_bytes()).await?;
    let ended = tokio::select! {
        () = end.notified() => true,
        r = notes(shared, server, &mut peer) => { r?; false }
    };
    if ended {
        held.lease = false;
        peer.write(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Writes a play's notes until its connection ends.
async fn notes(shared: &Arc<Shared>, server: usize, peer: &mut HttpPeer) -> io::Result<()> {
    let (late, every) = {
        let world = shared.world();
        (world.ground.notes_late_ms, world.ground.notes_every_ms)
    };
    let (mut since, mut short) = (0.0, false);
    let tick = 1000.0f64.min(every);
    loop {
        if timeout(Duration::from_secs_f64(tick / 1000.0), peer.wait_closed()).await.is_ok() {
            return Ok(());
        }
        since += tick;
        let load = shared.world().reported_load(shared.log.now(), server, late);
        let mut note = String::new();
        if load.delivered < 0.98 || short {
            note += &format!("{{\"delivered\":{}}}\n", load.delivered);
            short = load.delivered < 0.98;
        }
        if since >= every {
            since = 0.0;
            note += &format!("{{\"link\":{},\"uplink\":{}}}\n", load.link, load.uplink);
        }
        if !note.is_empty() && !shared.world().servers[server].faults.silent {
            peer.write(format!("{:x}\r\n{note}\r\n", note.len()).as_bytes()).await?;
        }
    }
}

fn step(shared: &Shared, server: usize, name: &str, rung: Option<u64>) -> u16 {
    let mut world = shared.world();
    let rungs = world.ground.ladder.len();
    let play = world.servers[server].plays.get_mut(name);
    let (Some(play), Some(rung)) = (play, rung.filter(|r| (*r as usize) < rungs)) else { return 404 };
    play.rung = rung as usize;
    shared.log.record(Observed::Rung { allocation: name.to_string(), rung: rung as usize });
    200
}

/// `bytes=FIRST-` or `bytes=FIRST-LAST`.
fn range(value: &str) -> Option<(usize, usize)> {
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let last = if last.is_empty() { usize::MAX } else { last.parse().ok()? };
    Some((first.parse().ok()?, last))
}

/// Sends a segment no faster than the play's share of the link lets it come: a fourfold rate where there is
/// room, less than its rate where link or uplink are over-asked. False where the connection is to be closed.
async fn segment(
    shared: &Arc<Shared>,
    server: usize,
    peer: &mut HttpPeer,
    name: &str,
    rung: Option<usize>,
    number: Option<u64>,
    request: &Message,
) -> io::Result<bool> {
    let (found, ails) = {
        let world = shared.world();
        let play = world.servers[server].plays.get(name).filter(|p| p.plays);
        let found = play.zip(rung.filter(|r| *r < world.ground.ladder.len())).zip(number).map(
            |((play, rung), number)| {
                (play.title.clone(), rung, number, world.ground.ladder[rung] * play.factor)
            },
        );
        (found, world.servers[server].faults.clone())
    };
    let Some((title, rung, number, kb)) = found else {
        peer.write(&shared.answer(server, 404)).await?;
        return Ok(true);
    };
    let segment_ms = shared.titles.get(&title).map_or(1000, |t| t.segment_ms);
    let length = if number == 0 { 600 } else { (kb * segment_ms as f64) as usize };
    let whole = content::generate(&title, rung, number, length);
    // What the bytes are, and whose: another edition of a title has other tags.
    let tag = format!("\"{title}-{rung}-{number}-{}\"", ails.edition);
    if request.header("if-none-match").is_some_and(|tags| tags.split(',').any(|t| t.trim() == tag)) {
        let head = shared.head(server, 304, 0).replacen("Content-Length: 0", &format!("ETag: {tag}"), 1);
        peer.write(head.as_bytes()).await?;
        return Ok(true);
    }
    let part = request.header("range").and_then(range);
    let part = part.filter(|_| request.header("if-range").is_none_or(|t| t == tag));
    let part = part.filter(|_| shared.dice() >= ails.no_ranges);
    let (first, last) = part.map_or((0, whole.len() - 1), |(first, last)| (first, last.min(whole.len() - 1)));
    if first > last {
        peer.write(&shared.answer(server, 416)).await?;
        return Ok(true);
    }
    let body = &whole[first..=last];
    let head = match part {
        None => shared.head(server, 200, body.len()),
        Some(_) => shared.head(server, 206, body.len()).replacen(
            "\r\n",
            &format!("\r\nContent-Range: bytes {first}-{last}/{}\r\n", whole.len()),
            1,
        ),
    };
    peer.write(head.replacen("\r\n", &format!("\r\nETag: {tag}\r\n"), 1).as_bytes()).await?;
    if request.method == "HEAD" {
        return Ok(true);
    }
    let dice = shared.dice();
    let (cut, stall) = (dice < ails.cut, dice >= ails.cut && dice < ails.cut + ails.stall);
    let sent = if cut || stall { &body[..body.len() / 2] } else { body };
    for part in sent.chunks(32 << 10) {
        let load = shared.world().load(server);
        let pace = if load.delivered < 1.0 { load.delivered } else { 4.0 };
        let ms = part.len() as f64 / (kb * pace);
        // Shorter pauses than timers can keep are left out: such a link is not what holds a segment up.
        if ms >= 1.0 {
            sleep(Duration::from_secs_f64(ms / 1000.0)).await;
        }
        peer.write(part).await?;
    }
    if stall {
        peer.wait_closed().await;
    } else if !cut && shared.dice() < ails.over_long {
        peer.write(b"more than was told").await?;
    }
    Ok(!cut && !stall)
}
