//! Scripted peers of a real node on loopback: viewers, media servers, the name service. Written from the protocol's page; no
//! codec is shared with the node, so that an error can't cancel itself out. They block, with a time after which a test fails.

use std::cell::RefCell;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(10);
pub const DESCRIPTION: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n";

// ---- the name service ----

#[derive(Clone)]
pub struct Record {
    pub id: String,
    pub at: SocketAddr,
    pub cell: usize,
    pub draining: bool,
    pub started: u64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Manner {
    Good,
    Silent,
    Failing,
    Cut,
    ForeignId,
}

pub struct Zone {
    pub serial: u32,
    pub records: Vec<Record>,
    pub manner: Manner,
}

pub struct Names {
    pub at: SocketAddr,
    pub zone: Arc<Mutex<Zone>>,
    asked: Arc<AtomicUsize>,
}

fn labels(name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for label in name.split('.') {
        out.push(label.len() as u8);
        out.extend(label.bytes());
    }
    out.push(0);
    out
}

fn record(name: &str, kind: u16, data: &[u8]) -> Vec<u8> {
    let mut out = labels(name);
    out.extend(kind.to_be_bytes());
    out.extend([0, 1, 0, 0, 0, 0]);
    out.extend((data.len() as u16).to_be_bytes());
    out.extend(data);
    out
}

fn zone_answer(question: &[u8], zone: &Zone) -> Vec<u8> {
    let (mut srv, mut more) = (Vec::new(), Vec::new());
    for r in &zone.records {
        let target = format!("{}.east.hosts", r.id);
        let mut data = u16::from(r.draining).to_be_bytes().to_vec();
        data.extend(40u16.to_be_bytes());
        data.extend(r.at.port().to_be_bytes());
        data.extend(labels(&target));
        srv.extend(record("_app._tcp.cluster.lan", 33, &data));
        let SocketAddr::V4(at) = r.at else { panic!("IPv4") };
        more.extend(record(&target, 1, &at.ip().octets()));
        let mut texts = Vec::new();
        for text in ["kind=std".to_string(), format!("cell={}", r.cell), format!("started={}", r.started)] {
            texts.push(text.len() as u8);
            texts.extend(text.bytes());
        }
        more.extend(record(&target, 16, &texts));
    }
    let mut soa = labels("ns.hosts");
    soa.extend(labels("admin.hosts"));
    soa.extend(zone.serial.to_be_bytes());
    soa.extend([0; 16]);
    let n = zone.records.len() as u16;
    let mut out = question[..2].to_vec();
    let failing = zone.manner == Manner::Failing;
    out.extend([0x84, if failing { 2 } else { 0 }, 0, 1]);
    out.extend(n.to_be_bytes());
    out.extend([0, 1]);
    out.extend((2 * n).to_be_bytes());
    out.extend(&question[12..]);
    out.extend(srv);
    out.extend(record("cluster.lan", 6, &soa));
    out.extend(more);
    match zone.manner {
        Manner::Cut => out.truncate(out.len() / 2),
        Manner::ForeignId => out[0] ^= 0x55,
        _ => {}
    }
    out
}

impl Names {
    pub fn start(records: Vec<Record>) -> Names {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let at = socket.local_addr().expect("its address");
        let zone = Arc::new(Mutex::new(Zone { serial: 1, records, manner: Manner::Good }));
        let asked = Arc::new(AtomicUsize::new(0));
        let (shown, count) = (zone.clone(), asked.clone());
        std::thread::spawn(move || {
            let mut room = [0; 512];
            while let Ok((n, from)) = socket.recv_from(&mut room) {
                {
                    let zone = shown.lock().expect("the zone");
                    if zone.manner != Manner::Silent {
                        let _ = socket.send_to(&zone_answer(&room[..n], &zone), from);
                    }
                }
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        Names { at, zone, asked }
    }

    pub fn change(&self, with: impl FnOnce(&mut Zone)) {
        with(&mut self.zone.lock().expect("the zone"));
    }

    /// How many questions have come, answered or not.
    pub fn answered(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }

    /// Waits until so many more questions were answered, or not, in the present manner.
    pub fn asked(&self, more: usize) {
        let until = self.asked.load(Ordering::SeqCst) + more;
        let since = Instant::now();
        while self.asked.load(Ordering::SeqCst) < until {
            assert!(since.elapsed() < PATIENCE, "the name service is asked");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

// ---- media servers ----

pub struct Host {
    pub id: String,
    listener: Option<TcpListener>,
    kept: RefCell<Option<TcpStream>>,
    pub at: SocketAddr,
    pub cell: usize,
}

pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

#[derive(Debug)]
pub struct Asked {
    pub line: String,
    fields: Vec<(String, String)>,
    pub body: String,
}

impl Asked {
    pub fn method(&self) -> &str {
        self.line.split(' ').next().expect("a method")
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| f.1.as_str())
    }

    pub fn session(&self) -> u64 {
        u64::from_str_radix(self.get("Session").expect("a session"), 16).expect("hex")
    }
}

impl Host {
    pub fn start(id: &str, cell: usize) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("so");
        let at = listener.local_addr().expect("its address");
        Host { id: id.into(), listener: Some(listener), kept: RefCell::new(None), at, cell }
    }

    /// One that is listed and takes no connections.
    pub fn named(id: &str, cell: usize, at: SocketAddr) -> Host {
        Host { id: id.into(), listener: None, kept: RefCell::new(None), at, cell }
    }

    pub fn record(&self) -> Record {
        Record { id: self.id.clone(), at: self.at, cell: self.cell, draining: false, started: 0 }
    }

    /// The next connection of the node.
    pub fn accept(&self) -> Wire {
        let since = Instant::now();
        while !self.called() {
            assert!(since.elapsed() < PATIENCE, "{}: the node calls", self.id);
            std::thread::sleep(Duration::from_millis(2));
        }
        let stream = self.kept.borrow_mut().take().expect("it has called");
        stream.set_nonblocking(false).expect("so");
        stream.set_nodelay(true).expect("so");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        Wire { stream, input: Vec::new() }
    }

    /// Whether the node has called; its connection is kept for [`Host::accept`].
    pub fn called(&self) -> bool {
        let mut kept = self.kept.borrow_mut();
        if kept.is_none() {
            *kept = self.listener.as_ref().and_then(|listener| listener.accept().ok()).map(|it| it.0);
        }
        kept.is_some()
    }

    /// From now on connections are refused.
    pub fn deaf(&mut self) {
        self.listener = None;
    }
}

impl Wire {
    /// The next request; none once the node has closed.
    pub fn next(&mut self) -> Option<Asked> {
        loop {
            if let Some(end) = self.input.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.input[..end].to_vec()).expect("text");
                let mut lines = head.split("\r\n");
                let line = lines.next().expect("a first line").to_string();
                let fields: Vec<(String, String)> = lines
                    .map(|l| l.split_once(": ").expect("a field"))
                    .map(|(a, b)| (a.into(), b.into()))
                    .collect();
                let length =
                    fields.iter().find(|f| f.0 == "Content-Length").expect("a length").1.parse::<usize>();
                let whole = end + 4 + length.expect("a number");
                if self.input.len() >= whole {
                    let body = String::from_utf8(self.input[end + 4..whole].to_vec()).expect("text");
                    self.input.drain(..whole);
                    return Some(Asked { line, fields, body });
                }
            }
            let mut room = [0; 4096];
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(n) => self.input.extend(&room[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("nothing from the node: {e}"),
            }
        }
    }

    /// The next request, which is this one.
    pub fn wants(&mut self, method: &str) -> Asked {
        let asked = self.next().expect("the node keeps the connection");
        assert_eq!(asked.method(), method, "{asked:?}");
        asked
    }

    pub fn say(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the node reads");
    }

    pub fn answer(&mut self, to: &Asked, status: u16, body: &str) {
        let cseq = to.get("CSeq").expect("a number");
        self.say(&answer(status, cseq, to.session(), body));
    }

    pub fn request(&mut self, method: &str, session: u64, fields: &str) {
        self.say(&format!(
            "{method} rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {session:016x}\r\n{fields}Content-Length: 0\r\n\r\n"
        ));
    }

    /// The set-up that comes next is served, and its viewer hears so.
    pub fn serves(&mut self, viewer: &mut Viewer, play: u64) {
        let asked = self.wants("SETUP");
        self.answer(&asked, 200, DESCRIPTION);
        viewer.hears(9, play);
    }

    /// A play that stands comes to its end, and its viewer hears so.
    pub fn ends(&mut self, viewer: &mut Viewer, play: u64) {
        self.request("TEARDOWN", play, "Reason: cause=16\r\n");
        assert_eq!(viewer.hears(12, play).cause(), 16);
    }

    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("to be reset");
    }
}

pub fn answer(status: u16, cseq: &str, session: u64, body: &str) -> String {
    let length = body.len();
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

// ---- viewers ----

pub struct Viewer {
    pub stream: TcpStream,
}

#[derive(Debug, PartialEq)]
pub struct Told {
    pub kind: u8,
    pub session: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Told {
    pub fn get(&self, code: u8) -> Option<&[u8]> {
        self.parameters.iter().find(|p| p.0 == code).map(|p| p.1.as_slice())
    }

    pub fn cause(&self) -> u8 {
        self.get(45).expect("a cause")[0]
    }
}

pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut rest = vec![kind];
    rest.extend(session.to_be_bytes());
    for (code, value) in parameters {
        rest.push(*code);
        rest.extend((value.len() as u16).to_be_bytes());
        rest.extend(*value);
    }
    let mut out = (rest.len() as u16).to_be_bytes().to_vec();
    out.extend(rest);
    out
}

/// A usual set-up, with these parameters instead of its own; an empty value takes one out.
pub fn set_up(session: u64, other: &[(u8, &str)]) -> Vec<u8> {
    let mut it = vec![
        (3, "paid"),
        (6, "3000"),
        (15, "7f3a9c21e0b4d655"),
        (18, "home:0;copies:2;top:1;viewer:00000000b4d65521"),
        (48, DESCRIPTION),
    ];
    for (code, value) in other {
        it.retain(|p| p.0 != *code);
        if !value.is_empty() {
            it.push((*code, value));
        }
    }
    let parameters: Vec<(u8, &[u8])> = it.iter().map(|p| (p.0, p.1.as_bytes())).collect();
    message(1, session, &parameters)
}

impl Viewer {
    pub fn say(&mut self, bytes: &[u8]) {
        // Whoever is closed on while it still writes learns so when it reads.
        let _ = self.stream.write_all(bytes);
    }

    /// The next message; none once the node has closed.
    pub fn next(&mut self) -> Option<Told> {
        let mut length = [0; 2];
        match self.stream.read_exact(&mut length) {
            Ok(()) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("nothing from the node"),
            Err(_) => return None,
        }
        let mut rest = vec![0; u16::from_be_bytes(length) as usize];
        self.stream.read_exact(&mut rest).expect("a whole message");
        let (mut parameters, mut at) = (Vec::new(), 9);
        while at < rest.len() {
            let length = u16::from_be_bytes([rest[at + 1], rest[at + 2]]) as usize;
            parameters.push((rest[at], rest[at + 3..at + 3 + length].to_vec()));
            at += 3 + length;
        }
        let session = u64::from_be_bytes(rest[1..9].try_into().expect("eight bytes"));
        Some(Told { kind: rest[0], session, parameters })
    }

    pub fn hears(&mut self, kind: u8, session: u64) -> Told {
        let told = self.next().expect("the node keeps the connection");
        assert_eq!((told.kind, told.session), (kind, session), "{told:?}");
        told
    }

    /// What comes before the answer to a test: nothing else was on its way.
    pub fn hears_nothing(&mut self) {
        self.say(&message(52, 77, &[(45, &[0])]));
        self.hears(53, 77);
    }
}

// ---- the node ----

pub struct Node {
    child: Child,
    pub at: SocketAddr,
    pub log: Arc<Mutex<String>>,
    lines: mpsc::Receiver<String>,
    folder: tempfile::TempDir,
}

fn settings(other: &str) -> String {
    let class = r#"{"name":"paid","aimUs":2000000,"giveUpUs":3000000,"effect":"read_like","worth":1.0}"#;
    let free = class.replace("paid", "free");
    format!(
        r#"{{"balancers":1,"rank":0,"zone":0,"failureDomains":["east"],"kinds":["std"],"lanes":[{class},{free}],
        "ceilings":{{"attemptsCap":4,"dialTimeoutUs":250000,"idleCloseUs":30000000,"maxRetryAfterUs":500000,
        "retryAfter":true,"probes":false,"streamsPerConn":100,"cancel":true}},
        "extra":{{"places":2,"cabinets":1,"ladderKb":[100.0,200.0],"rungWorth":[0.5,1.0],"classFloor":[0,0],
        "classScale":[1.0,1.0],"topByClass":[5,5],"fleetKb":80000.0,"rackLinkKb":80000.0,"linkUnitKb":10000.0,
        "placesByKind":[1000.0],"seenAfterUs":500000,"reportsEveryUs":{other},"stallCost":7.0,"changeCostsS":0.5}},
        "loadInfo":{{"how":"inline","columns":["utilization","x1"]}},
        "rules":{{"coldUs":0,"coldFrom":0.5,"overloadFactor":2.5,"drainGraceUs":500000}}}}"#
    )
}

impl Node {
    pub fn posting(names: SocketAddr, hosts: &[&Host], sockets: usize, tells_us: u64) -> String {
        let mut servers = String::new();
        for (i, host) in hosts.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            let _ = write!(
                servers,
                r#"{comma}{{"id":"{}","addr":"{}","zone":"east","kind":"std","cell":{},"state":"in_service","weight":4,"started_ms":0}}"#,
                host.id, host.at, host.cell
            );
        }
        let settings = settings(&tells_us.to_string());
        format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"resolver":"{names}",
            "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"version":1,"full":true,"servers":[{servers}]}}}}]}},
            "settings":{settings}}}"#
        )
    }

    pub fn start(posting: &str) -> Node {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        std::fs::write(&path, posting).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_pulleystair-edge"))
            .args(["--level", "info,belief=debug", "node"])
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (tx, lines) = mpsc::channel();
        let (err, kept) = (child.stderr.take().expect("its log"), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(err).lines().map_while(Result::ok) {
                kept.lock().expect("the log").push_str(&format!("{line}\n"));
                let _ = tx.send(line);
            }
        });
        let mut node = Node { child, at: ([127, 0, 0, 1], 0).into(), log, lines, folder };
        let line = node.logs("listens");
        let at = line.split("at=").nth(1).and_then(|rest| rest.split(' ').next()).expect("an address");
        node.at = at.parse().expect("an address");
        node
    }

    /// The next line of the log with this in it.
    pub fn logs(&self, what: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let line = self.lines.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line =
                line.unwrap_or_else(|_| panic!("no line {what:?}: {}", self.log.lock().expect("the log")));
            if line.contains(what) {
                return line;
            }
        }
    }

    pub fn viewer(&self) -> Viewer {
        let stream = TcpStream::connect(self.at).expect("the node accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time");
        stream.set_nodelay(true).expect("so");
        Viewer { stream }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.expect("kill").success());
    }

    pub fn rewrite(&self, posting: &str) {
        std::fs::write(self.folder.path().join("config.json"), posting).expect("a file");
    }

    pub fn memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("its memory");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("kB")
    }

    pub fn ended(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return status;
            }
            assert!(since.elapsed() < PATIENCE, "it ends");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
