//! The sockets of the fake servers: one listener for each server, all on one [`ServerFleetModel`]. The protocol is
//! described in the crate's documentation.

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

/// The properties of a title that servers know.
#[derive(Clone, Debug)]
pub struct Title {
    pub live: bool,
    pub segment_ms: u64,
    /// Factor of its rates relative to the ladder, set by its product.
    pub scale: f64,
}

/// State that all connections of all servers share.
struct Shared {
    model: Mutex<ServerFleetModel>,
    titles: HashMap<String, Title>,
    products: Vec<String>,
    recorder: Recorder,
    /// The cores of each server.
    cores: Vec<Semaphore>,
    /// For each server, the number of set-ups that wait for a core or have one.
    queued: Vec<Mutex<usize>>,
    /// For each server, a channel that notifies its connections when the process ends. The value counts the ends.
    process_ends: Vec<watch::Sender<u64>>,
    /// For each play, notified when a request ends it.
    end_signals: Mutex<HashMap<String, Arc<Notify>>>,
    rng: Mutex<StdRng>,
    /// For each server: the TLS acceptor of its connections; none for plain TCP.
    tls_acceptors: Mutex<Vec<Option<TlsAcceptor>>>,
}

/// Handle of the fake servers, which listen on loopback. Clones refer to the same servers.
#[derive(Clone)]
pub struct FakeServers {
    shared: Arc<Shared>,
    pub addresses: Vec<SocketAddr>,
}

impl FakeServers {
    /// Starts all servers, warm, on ports that the system chooses. `seed` determines all random draws.
    pub async fn start(
        spec: ServerFleetSpec,
        server_specs: Vec<ServerSpec>,
        titles: HashMap<String, Title>,
        products: Vec<String>,
        seed: u64,
        recorder: Recorder,
    ) -> io::Result<FakeServers> {
        let count = server_specs.len();
        let shared = Arc::new(Shared {
            cores: server_specs.iter().map(|b| Semaphore::new(b.cores)).collect(),
            queued: (0..count).map(|_| Mutex::new(0)).collect(),
            process_ends: (0..count).map(|_| watch::channel(0).0).collect(),
            model: Mutex::new(ServerFleetModel::new(spec, server_specs)),
            titles,
            products,
            recorder,
            end_signals: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            tls_acceptors: Mutex::new(vec![None; count]),
        });
        let mut addresses = Vec::new();
        for server in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(accept_connections(shared.clone(), server, listener));
        }
        let sampler = Arc::downgrade(&shared);
        tokio::spawn(async move {
            while let Some(shared) = sampler.upgrade() {
                let now = shared.recorder.now();
                shared.lock_model().sample(now);
                drop(shared);
                sleep(Duration::from_millis(50)).await;
            }
        });
        Ok(FakeServers { shared, addresses })
    }

    /// Locks the model, to inspect it or to inject faults.
    pub fn model(&self) -> MutexGuard<'_, ServerFleetModel> {
        self.shared.lock_model()
    }

    /// Sets the TLS acceptor for new connections of a server; none for plain TCP.
    pub fn set_tls(&self, server: usize, acceptor: Option<TlsAcceptor>) {
        self.shared.tls_acceptors.lock().expect("no task panics while it holds the TLS acceptors")[server] =
            acceptor;
    }

    /// Ends a server's process: its connections are closed, and new ones are reset.
    pub fn stop(&self, server: usize) {
        self.shared.stop(server);
    }

    /// Starts a server's process again.
    pub fn restart(&self, server: usize, cold: bool) {
        self.shared.restart(server, cold);
    }
}

impl Shared {
    fn lock_model(&self) -> MutexGuard<'_, ServerFleetModel> {
        self.model.lock().expect("no task panics while it holds the model")
    }

    /// A uniformly distributed random number, from 0 to below 1.
    fn random_fraction(&self) -> f64 {
        self.rng.lock().expect("no task panics while it holds the random generator").random()
    }

    fn stop(&self, server: usize) {
        self.lock_model().stop(server);
        self.process_ends[server].send_modify(|end_count| *end_count += 1);
        self.recorder.record(Observed::Stopped { server });
    }

    fn restart(&self, server: usize, cold: bool) {
        let now = self.recorder.now();
        self.lock_model().start(now, server, cold);
        self.recorder.record(Observed::Started { server, cold });
    }

    /// Draws how long the work of a set-up takes now.
    fn draw_work_time(&self, server: usize) -> Duration {
        let model = self.lock_model();
        let spec = &model.servers[server].spec;
        let distribution =
            LogNormal::new(0.0, spec.work_spread.max(0.0)).expect("the spread is not negative");
        let factor = distribution
            .sample(&mut *self.rng.lock().expect("no task panics while it holds the random generator"));
        let ms = spec.work_ms * factor * model.slowness(self.recorder.now(), server);
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// The `endpoint-load-metrics` header line with the reported load.
    fn load_header(&self, server: usize) -> String {
        let model = self.lock_model();
        let load = model.reported_load(self.recorder.now(), server, model.spec.reports_late_ms);
        let Load { link, uplink, streams, .. } = load;
        // Servers with even numbers use the JSON format, the others the TEXT format.
        if server.is_multiple_of(2) {
            let metrics = serde_json::json!({ "link": link, "uplink": uplink, "streams": streams });
            format!("endpoint-load-metrics: JSON {}", serde_json::json!({ "named_metrics": metrics }))
        } else {
            format!(
                "endpoint-load-metrics: TEXT named_metrics.link={link},named_metrics.uplink={uplink},\
                 named_metrics.streams={streams}"
            )
        }
    }

    /// The head of a response with a body of `length` bytes.
    fn response_head(&self, server: usize, status: u16, length: usize) -> String {
        format!("HTTP/1.1 {status} x\r\n{}\r\nContent-Length: {length}\r\n\r\n", self.load_header(server))
    }

    /// A response without a body.
    fn empty_response(&self, server: usize, status: u16) -> Vec<u8> {
        self.response_head(server, status, 0).into_bytes()
    }
}

/// Accepts the connections of a server and serves each until its process ends.
async fn accept_connections(shared: Arc<Shared>, server: usize, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Subscribed before the check of `down`: a process that ends in between closes this connection too.
        let mut process_end = shared.process_ends[server].subscribe();
        if shared.lock_model().servers[server].faults.down {
            // The port stays bound, so a reset is the closest to a refused connection.
            HttpPeer::new(stream).reset();
            continue;
        }
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = process_end.changed() => {}
                _ = serve_connection(&shared, server, stream) => {}
            }
        });
    }
}

/// Serves the requests of one connection; a set-up takes over the connection.
async fn serve_connection(shared: &Arc<Shared>, server: usize, stream: TcpStream) -> io::Result<()> {
    let acceptor =
        shared.tls_acceptors.lock().expect("no task panics while it holds the TLS acceptors")[server].clone();
    let mut peer = HttpPeer::accept(stream, acceptor).await?;
    while let Some(request) = peer.read_request().await? {
        let silent = shared.lock_model().servers[server].faults.silent;
        let path: Vec<&str> = request.target.split('/').skip(1).collect();
        match (request.method.as_str(), path.as_slice()) {
            ("POST", ["plays", allocation]) => {
                return handle_set_up(shared, server, peer, allocation, &request).await;
            }
            _ if silent => {
                peer.wait_closed().await;
                return Ok(());
            }
            ("GET", ["load"]) => peer.write(&shared.empty_response(server, 200)).await?,
            ("GET" | "HEAD", ["plays", allocation, rung, number]) => {
                let (rung, number) = (rung.parse().ok(), number.parse().ok());
                shared.lock_model().servers[server].segments_read += 1;
                if !send_segment(shared, server, &mut peer, allocation, rung, number, &request).await? {
                    return Ok(());
                }
            }
            ("PATCH", ["plays", allocation]) => {
                let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let delay_ms = {
                    let mut model = shared.lock_model();
                    model.servers[server].steps_read += 1;
                    model.servers[server].faults.late_steps_ms
                };
                if delay_ms > 0.0 {
                    sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await;
                }
                let status = set_rung(shared, server, allocation, body["rung"].as_u64());
                peer.write(&shared.empty_response(server, status)).await?;
            }
            ("DELETE", ["plays", allocation]) => {
                let end_signal = shared
                    .end_signals
                    .lock()
                    .expect("no task panics while it holds the end signals")
                    .get(*allocation)
                    .cloned();
                let status = if end_signal.is_some() { 200 } else { 404 };
                if let Some(end_signal) = end_signal {
                    end_signal.notify_one();
                }
                peer.write(&shared.empty_response(server, status)).await?;
            }
            _ => peer.write(&shared.empty_response(server, 404)).await?,
        }
    }
    Ok(())
}

/// Frees a play when the connection of its set-up has ended, for whatever reason.
struct PlayGuard {
    shared: Arc<Shared>,
    server: usize,
    allocation: String,
    generation: u64,
    /// Whether the play is freed only after the lease.
    has_lease: bool,
}

impl Drop for PlayGuard {
    fn drop(&mut self) {
        let PlayGuard { shared, server, allocation, generation, has_lease } = self;
        shared.recorder.record(Observed::Closed { allocation: allocation.clone() });
        shared.end_signals.lock().expect("no task panics while it holds the end signals").remove(allocation);
        let (shared, server, allocation, generation) =
            (shared.clone(), *server, std::mem::take(allocation), *generation);
        let delay_ms = if *has_lease { shared.lock_model().spec.lease_ms } else { 0.0 };
        let free_play = move || {
            let mut model = shared.lock_model();
            if model.servers[server].generation == generation {
                model.servers[server].plays.remove(&allocation);
            }
        };
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) if delay_ms > 0.0 => {
                runtime.spawn(async move {
                    sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await;
                    free_play();
                });
            }
            _ => free_play(),
        }
    }
}

/// A place among the set-ups that wait for a core or have one; dropping it frees the place.
struct QueueSlot<'a>(&'a Mutex<usize>);

impl QueueSlot<'_> {
    /// Reserves a place; none if the queue is full.
    fn reserve(shared: &Shared, server: usize) -> Option<QueueSlot<'_>> {
        let capacity = {
            let model = shared.lock_model();
            model.servers[server].spec.queue + model.servers[server].spec.cores
        };
        let mut queued =
            shared.queued[server].lock().expect("no task panics while it holds the queue length");
        let has_room = *queued < capacity;
        *queued += usize::from(has_room);
        has_room.then_some(QueueSlot(&shared.queued[server]))
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        *self.0.lock().expect("no task panics while it holds the queue length") -= 1;
    }
}

/// Handles a set-up request: waits for a core, does the work, responds, and sends notes until the play or its
/// connection ends. Injected faults change the response.
async fn handle_set_up(
    shared: &Arc<Shared>,
    server: usize,
    mut peer: HttpPeer,
    allocation_name: &str,
    request: &Message,
) -> io::Result<()> {
    let parameters: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let text_field = |key: &str| parameters[key].as_str().unwrap_or("").to_string();
    let (title, session) = (text_field("title"), text_field("session"));
    let rung = parameters["rung"].as_u64().unwrap_or(0) as usize;
    let product = shared.products.iter().position(|p| *p == text_field("product")).unwrap_or(0);
    let allocation = allocation_name.to_string();
    shared.recorder.record(Observed::SetUp {
        server,
        allocation: allocation.clone(),
        session,
        product,
        title: title.clone(),
        rung,
    });
    let known_title = shared.titles.get(&title).cloned();
    let now = shared.recorder.now();
    let (is_overloaded, is_full, generation, faults, rung_count, rate_spread) = {
        let mut model = shared.lock_model();
        let is_overloaded = model.on_set_up(now, server);
        let state = &model.servers[server];
        let is_full = state.plays.len() >= state.spec.streams;
        (
            is_overloaded,
            is_full,
            state.generation,
            state.faults.clone(),
            model.spec.ladder.len(),
            model.spec.rate_spread,
        )
    };
    let mut guard = PlayGuard {
        shared: shared.clone(),
        server,
        allocation: allocation.clone(),
        generation,
        has_lease: false,
    };
    let record_done =
        |ran, status| shared.recorder.record(Observed::Done { allocation: allocation.clone(), ran, status });
    if is_overloaded {
        let down_time = Duration::from_secs_f64(shared.lock_model().spec.down_ms / 1000.0);
        let shared = shared.clone();
        tokio::spawn(async move {
            shared.stop(server);
            sleep(down_time).await;
            shared.restart(server, true);
        });
        return Ok(());
    }
    if faults.silent {
        peer.wait_closed().await;
        return Ok(());
    }
    let Some(known_title) = known_title.filter(|_| rung < rung_count) else {
        record_done(false, 404);
        return peer.write(&shared.empty_response(server, 404)).await;
    };
    if is_full {
        record_done(false, 429);
        return peer.write(&shared.empty_response(server, 429)).await;
    }
    if shared.random_fraction() < faults.errors {
        record_done(true, 502);
        return peer.write(&shared.empty_response(server, 502)).await;
    }
    let Some(queue_slot) = QueueSlot::reserve(shared, server) else {
        record_done(false, 429);
        return peer.write(&shared.empty_response(server, 429)).await;
    };
    let factor = known_title.scale * (1.0 + rate_spread * (2.0 * shared.random_fraction() - 1.0));
    let play = Play { title, product, live: known_title.live, rung, factor, is_set_up: false };
    shared.lock_model().servers[server].plays.insert(allocation.clone(), play);
    guard.has_lease = true;
    let end_signal = Arc::new(Notify::new());
    shared
        .end_signals
        .lock()
        .expect("no task panics while it holds the end signals")
        .insert(allocation.clone(), end_signal.clone());
    {
        let work = async {
            let _core = shared.cores[server].acquire().await;
            sleep(shared.draw_work_time(server)).await;
        };
        tokio::select! {
            () = work => {}
            () = peer.wait_closed() => return Ok(()),
        }
    }
    drop(queue_slot);
    if let Some(play) = shared.lock_model().servers[server].plays.get_mut(&allocation) {
        play.is_set_up = true;
    }
    let drawn = shared.random_fraction();
    if drawn < faults.lost {
        record_done(true, 0);
        peer.wait_closed().await;
        return Ok(());
    }
    if drawn < faults.lost + faults.reset {
        record_done(true, 0);
        peer.reset();
        return Ok(());
    }
    if drawn < faults.lost + faults.reset + faults.half_heads {
        record_done(true, 0);
        peer.write(b"HTTP/1.1 200 OK\r\nendpoint-load").await?;
        peer.wait_closed().await;
        return Ok(());
    }
    // Recorded before it is written: the front may act on the response at once.
    record_done(true, 200);
    let head =
        format!("HTTP/1.1 200 OK\r\n{}\r\nTransfer-Encoding: chunked\r\n\r\n", shared.load_header(server));
    peer.write(head.as_bytes()).await?;
    let is_ended = tokio::select! {
        () = end_signal.notified() => true,
        r = send_notes(shared, server, &mut peer) => { r?; false }
    };
    if is_ended {
        guard.has_lease = false;
        peer.write(b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Sends the notes of a play until its connection ends.
async fn send_notes(shared: &Arc<Shared>, server: usize, peer: &mut HttpPeer) -> io::Result<()> {
    let (delay_ms, interval_ms) = {
        let model = shared.lock_model();
        (model.spec.notes_late_ms, model.spec.notes_every_ms)
    };
    let (mut since_link_note_ms, mut was_reduced) = (0.0, false);
    let tick_ms = 1000.0f64.min(interval_ms);
    loop {
        if timeout(Duration::from_secs_f64(tick_ms / 1000.0), peer.wait_closed()).await.is_ok() {
            return Ok(());
        }
        since_link_note_ms += tick_ms;
        let load = shared.lock_model().reported_load(shared.recorder.now(), server, delay_ms);
        let mut note = String::new();
        if load.delivered < 0.98 || was_reduced {
            note += &format!("{{\"delivered\":{}}}\n", load.delivered);
            was_reduced = load.delivered < 0.98;
        }
        if since_link_note_ms >= interval_ms {
            since_link_note_ms = 0.0;
            note += &format!("{{\"link\":{},\"uplink\":{}}}\n", load.link, load.uplink);
        }
        if !note.is_empty() && !shared.lock_model().servers[server].faults.silent {
            peer.write(format!("{:x}\r\n{note}\r\n", note.len()).as_bytes()).await?;
        }
    }
}

/// Changes the rung of a play and returns the status of the response.
fn set_rung(shared: &Shared, server: usize, allocation: &str, rung: Option<u64>) -> u16 {
    let mut model = shared.lock_model();
    let rungs = model.spec.ladder.len();
    let play = model.servers[server].plays.get_mut(allocation);
    let (Some(play), Some(rung)) = (play, rung.filter(|r| (*r as usize) < rungs)) else { return 404 };
    play.rung = rung as usize;
    shared.recorder.record(Observed::Rung { allocation: allocation.to_string(), rung: rung as usize });
    200
}

/// Parses the range of a `bytes=FIRST-` or `bytes=FIRST-LAST` header; an open end is `usize::MAX`.
fn parse_range(value: &str) -> Option<(usize, usize)> {
    let (first, last) = value.strip_prefix("bytes=")?.split_once('-')?;
    let last = if last.is_empty() { usize::MAX } else { last.parse().ok()? };
    Some((first.parse().ok()?, last))
}

/// Sends a segment at the speed that the play's share of the link allows: four times its rate while there is spare
/// capacity, less than its rate while the link or the uplink is overloaded. False if the connection is to be closed.
async fn send_segment(
    shared: &Arc<Shared>,
    server: usize,
    peer: &mut HttpPeer,
    allocation: &str,
    rung: Option<usize>,
    number: Option<u64>,
    request: &Message,
) -> io::Result<bool> {
    let (segment_request, faults) = {
        let model = shared.lock_model();
        let play = model.servers[server].plays.get(allocation).filter(|p| p.is_set_up);
        let segment_request = play.zip(rung.filter(|r| *r < model.spec.ladder.len())).zip(number).map(
            |((play, rung), number)| {
                (play.title.clone(), rung, number, model.spec.ladder[rung] * play.factor)
            },
        );
        (segment_request, model.servers[server].faults.clone())
    };
    let Some((title, rung, number, rate_kb)) = segment_request else {
        peer.write(&shared.empty_response(server, 404)).await?;
        return Ok(true);
    };
    let segment_ms = shared.titles.get(&title).map_or(1000, |t| t.segment_ms);
    let length = if number == 0 { 600 } else { (rate_kb * segment_ms as f64) as usize };
    let segment = content::generate(&title, rung, number, length);
    // The tag identifies the segment and the edition: another edition of a title has other tags.
    let etag = format!("\"{title}-{rung}-{number}-{}\"", faults.edition);
    if request.header("if-none-match").is_some_and(|tags| tags.split(',').any(|t| t.trim() == etag)) {
        let head =
            shared.response_head(server, 304, 0).replacen("Content-Length: 0", &format!("ETag: {etag}"), 1);
        peer.write(head.as_bytes()).await?;
        return Ok(true);
    }
    let byte_range = request.header("range").and_then(parse_range);
    let byte_range = byte_range.filter(|_| request.header("if-range").is_none_or(|t| t == etag));
    let byte_range = byte_range.filter(|_| shared.random_fraction() >= faults.no_ranges);
    let (first, last) =
        byte_range.map_or((0, segment.len() - 1), |(first, last)| (first, last.min(segment.len() - 1)));
    if first > last {
        peer.write(&shared.empty_response(server, 416)).await?;
        return Ok(true);
    }
    let body = &segment[first..=last];
    let head = match byte_range {
        None => shared.response_head(server, 200, body.len()),
        Some(_) => shared.response_head(server, 206, body.len()).replacen(
            "\r\n",
            &format!("\r\nContent-Range: bytes {first}-{last}/{}\r\n", segment.len()),
            1,
        ),
    };
    peer.write(head.replacen("\r\n", &format!("\r\nETag: {etag}\r\n"), 1).as_bytes()).await?;
    if request.method == "HEAD" {
        return Ok(true);
    }
    let drawn = shared.random_fraction();
    let (cut, stall) = (drawn < faults.cut, drawn >= faults.cut && drawn < faults.cut + faults.stall);
    let sent_body = if cut || stall { &body[..body.len() / 2] } else { body };
    for chunk in sent_body.chunks(32 << 10) {
        let load = shared.lock_model().load(server);
        let speed = if load.delivered < 1.0 { load.delivered } else { 4.0 };
        let ms = chunk.len() as f64 / (rate_kb * speed);
        // Delays below the timer resolution are skipped: at such a speed the link does not slow down the segment.
        if ms >= 1.0 {
            sleep(Duration::from_secs_f64(ms / 1000.0)).await;
        }
        peer.write(chunk).await?;
    }
    if stall {
        peer.wait_closed().await;
    } else if !cut && shared.random_fraction() < faults.over_long {
        peer.write(b"more than was told").await?;
    }
    Ok(!cut && !stall)
}
