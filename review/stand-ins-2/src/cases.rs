//! The cases.

use crate::Verdict;
use crate::media::{Media, Response, description, message};
use crate::names::{Listed, Names};
use crate::node::{Folder, Node, Setting, config, free_port};
use crate::record::Record;
use crate::sys;
use crate::viewer::{ANSWER, RELEASE, Viewer, Wish};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const LOCALHOST: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// What the page on the protocol adds to every time limit, s.
const SLACK: f64 = 0.05;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "crowd" => crowd(trouble, record),
        "again" => again(trouble, record),
        "flood" => flood(trouble, record),
        "copy" => copy(trouble, record),
        "dead" => dead(trouble, record),
        "replaced" => replaced(trouble, record),
        "foreign" => foreign(trouble, record),
        "short" => short(trouble, record),
        _ => panic!("no such case"),
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Media servers, the name service that lists them, and a node.
struct Fleet {
    node: Node,
    media: Vec<Media>,
    names: Names,
    listen: SocketAddrV4,
    setting: Setting,
    folder: Folder,
    record: Record,
}

impl Fleet {
    /// Starts as many servers as the setting has cells, one a cell.
    fn start(setting: Setting, record: &Record) -> Fleet {
        let media: Vec<Media> =
            (0..setting.cells).map(|cell| Media::start(&format!("s-{cell:08x}"), cell, record)).collect();
        let names = Names::start(media.iter().map(|m| m.listed.clone()).collect(), record);
        let (folder, listen) = (Folder::create(), SocketAddrV4::new(LOCALHOST, free_port()));
        let text = config(&setting, listen, names.address, names.serial(), &names.list());
        let node = Node::start(&folder, listen, &text, record);
        let fleet = Fleet { node, media, names, listen, setting, folder, record: record.clone() };
        fleet.wait_until_tested();
        fleet
    }

    /// Starts the node again, under its name and address, with the list as it is now.
    fn restart(&mut self) {
        let text =
            config(&self.setting, self.listen, self.names.address, self.names.serial(), &self.names.list());
        self.node = Node::start(&self.folder, self.listen, &text, &self.record);
        self.wait_until_tested();
    }

    fn wait_until_tested(&self) {
        let prober = Viewer::connect("front", LOCALHOST, self.listen, &self.record);
        assert!(prober.test(), "the test is passed");
        prober.close();
    }

    fn viewer(&self, name: &str) -> Viewer {
        Viewer::connect(name, LOCALHOST, self.listen, &self.record)
    }

    fn media_of(&self, session: u64) -> Option<&Media> {
        self.media.iter().find(|m| m.stands(session))
    }
}

/// Set-ups on one connection of viewers; the node is killed and starts again while the name service is down.
fn crowd(trouble: bool, record: &Record) -> Verdict {
    let rate = 80.0;
    let setting = Setting { cells: 16, places: 30, ..Setting::default() };
    let mut fleet = Fleet::start(setting, record);
    fleet.media.iter().for_each(|m| m.set_life(4_000));
    sleep(1.5);
    let mut viewer = fleet.viewer("viewers-1");
    let (mut connections, mut sent): (Vec<Viewer>, BTreeMap<u64, (usize, f64)>) =
        (Vec::new(), BTreeMap::new());
    let (mut number, mut killed) = (1, !trouble);
    let started_at = Instant::now();
    let mut next: u64 = 1;
    while started_at.elapsed().as_secs_f64() < 14.0 {
        let now = started_at.elapsed().as_secs_f64();
        if !killed && now > 3.0 {
            killed = true;
            fleet.names.set_silent(true);
            fleet.node.signal(sys::SIGKILL);
            fleet.node.wait(2.0);
            // What was open is lost with the process, and is not counted.
            viewer.close();
            sent.clear();
            fleet.restart();
            number += 1;
            viewer = fleet.viewer(&format!("viewers-{number}"));
            next = (started_at.elapsed().as_secs_f64() * rate) as u64 + 1;
        }
        if trouble && killed && now > 11.0 && fleet.names.state.lock().expect("the lock").silent {
            fleet.names.set_silent(false);
        }
        if viewer.ended_at().is_some() {
            connections.push(viewer);
            number += 1;
            viewer = fleet.viewer(&format!("viewers-{number}"));
        }
        while next as f64 <= started_at.elapsed().as_secs_f64() * rate {
            let session = 0x5e55_0000_0000 + next;
            let wish =
                Wish { class: "free", limit_ms: 4000, ..Wish::new(session, (next * 7 % 16) as u32, 2) };
            if let Some(at) = viewer.set_up(&wish) {
                sent.insert(session, (connections.len(), at));
            }
            next += 1;
        }
        sleep(0.003);
    }
    sleep(4.2);
    connections.push(viewer);
    let mut lost: Vec<String> = Vec::new();
    let mut refused = 0;
    for (session, (connection, at)) in &sent {
        let connection = &connections[*connection];
        let answer = connection
            .heard()
            .into_iter()
            .find(|h| h.session == *session && matches!(h.kind, ANSWER | RELEASE));
        refused += usize::from(answer.as_ref().is_some_and(|h| h.kind == RELEASE && h.cause == 42));
        // A set-up that crosses a close within 50 ms is sent again, and not counted here.
        if answer.is_none() && connection.ended_at().is_some_and(|end| end - at > 0.05) {
            lost.push(format!("{session:016x}"));
        } else if answer.is_none() && connection.ended_at().is_none() {
            lost.push(format!("{session:016x} (never answered)"));
        }
    }
    let text =
        format!("of {} set-ups {refused} were refused with cause 42; {} were lost", sent.len(), lost.len());
    record.line(&format!("lost: {}", lost.join(" ")));
    if lost.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// A viewer's connection is reset under a request; the viewer hands its standing session over again on a new
/// connection, and then the session ends.
fn again(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting::default(), record);
    sleep(1.0);
    let first = fleet.viewer("viewer-1");
    let wish = Wish::new(0xa1, 0, 4);
    first.set_up(&wish);
    assert!(first.answered(wish.session, 3.0), "the session stands");
    let media = fleet.media_of(wish.session).expect("a server has it");
    sleep(1.0);
    // A further request, which its server answers after 0.3 s.
    fleet.media.iter().for_each(|m| m.set_plan(|_| Response::Stand(300)));
    let request = Wish::new(0xa2, 1, 4);
    first.set_up(&request);
    sleep(0.1);
    if trouble {
        first.reset();
    } else {
        assert!(first.answered(request.session, 3.0), "the further session stands");
    }
    sleep(0.2);
    let second = fleet.viewer("viewer-2");
    second.set_up(&Wish { at: Some(media.id().into()), ..wish.clone() });
    sleep(0.5);
    let ended_at = media.release(wish.session, 16).expect("it stood");
    let is_release = |v: &Viewer| v.released(wish.session, 0.0).map(|h| h.at);
    let until = Instant::now() + Duration::from_secs_f64(8.0 + SLACK + 0.5);
    while Instant::now() < until && is_release(&first).or(is_release(&second)).is_none() {
        sleep(0.005);
    }
    let node_closed = second.ended_at().map_or("stayed open".to_string(), |at| {
        format!("was open until {:.2} s after the end", at - ended_at)
    });
    match is_release(&first).or(is_release(&second)) {
        Some(at) if at - ended_at <= 1.0 + SLACK => {
            Verdict::Held(format!("released {:.3} s after the end", at - ended_at))
        }
        Some(at) => Verdict::Broken(format!(
            "released {:.3} s after the end; the viewer's connection {node_closed}",
            at - ended_at
        )),
        None => Verdict::Broken(format!(
            "not released within 8 s of the end; the viewer's connection {node_closed}"
        )),
    }
}

/// A media server's process dies and starts again 0.3 s later; discovery is down for 8 s.
fn dead(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting::default(), record);
    sleep(1.0);
    let viewer = fleet.viewer("viewer");
    let wish = Wish::new(0xc1, 0, 1);
    viewer.set_up(&wish);
    assert!(viewer.answered(wish.session, 3.0), "the session stands");
    let media = fleet.media_of(wish.session).expect("a server has it");
    sleep(1.0);
    media.note(wish.session);
    sleep(0.05);
    let ended_at = if trouble {
        let died_at = media.die();
        sleep(died_at + 0.3 - record.now());
        let started_ms = media.start_again();
        sleep(died_at + 0.5 - record.now());
        // Discovery breaks off before it has told of the start, 0.2 s after it happened.
        fleet.names.set_silent(true);
        let mut list = fleet.names.list();
        list.iter_mut().filter(|s| s.id == media.id()).for_each(|s| s.started_ms = started_ms);
        fleet.names.publish(list);
        // Other viewers' set-ups go on, twice a second.
        let other = fleet.viewer("viewer-2");
        let mut session = 0x1c0;
        while record.now() < died_at + 8.5 {
            session += 1;
            other.set_up(&Wish::new(session, 0, 1));
            sleep((died_at + 8.5 - record.now()).clamp(0.0, 0.5));
        }
        fleet.names.set_silent(false);
        died_at
    } else {
        media.release(wish.session, 16).expect("it stood")
    };
    match viewer.released(wish.session, (ended_at + 12.0 - record.now()).max(0.0)) {
        Some(h) if h.at - ended_at <= 8.0 + SLACK => {
            Verdict::Held(format!("released {:.2} s after the end", h.at - ended_at))
        }
        Some(h) => Verdict::Broken(format!("released {:.2} s after the end", h.at - ended_at)),
        None => Verdict::Broken("not released within 12 s of the end".into()),
    }
}

/// A media server dies, and another one, under a new id, comes up on its address.
fn replaced(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting::default(), record);
    sleep(1.0);
    let viewer = fleet.viewer("viewer");
    let wish = Wish::new(0xb1, 0, 1);
    viewer.set_up(&wish);
    assert!(viewer.answered(wish.session, 3.0), "the session stands");
    let old = fleet.media_of(wish.session).expect("a server has it").clone();
    sleep(1.0);
    old.note(wish.session);
    sleep(0.05);
    // Other viewers' set-ups for the same title go on, four a second.
    let other = fleet.viewer("viewer-2");
    let mut session = 0x1b0;
    let mut next_set_up = record.now();
    let (mut new, mut next_note): (Option<Media>, f64) = (None, f64::MAX);
    let ended_at = if trouble { old.die() } else { old.release(wish.session, 16).expect("it stood") };
    let mut is_told = !trouble;
    while record.now() < ended_at + 16.0 && viewer.released(wish.session, 0.0).is_none() {
        let now = record.now();
        if now >= next_set_up && now < ended_at + 6.0 {
            (session, next_set_up) = (session + 1, now + 0.25);
            other.set_up(&Wish::new(session, 0, 1));
        }
        if trouble && new.is_none() && now >= ended_at + 0.2 {
            new = Some(old.replace("s-0000000f", old.listed.cell));
            next_note = now + 3.0;
        }
        if let Some(new) = &new {
            // The name service tells of both events 1.2 s after the later one.
            if !is_told && now >= ended_at + 1.4 {
                is_told = true;
                let mut list: Vec<Listed> = fleet.names.list();
                list.retain(|s| s.id != old.listed.id);
                list.push(new.listed.clone());
                fleet.names.publish(list);
            }
            if now >= next_note {
                next_note += 3.0;
                new.oldest().iter().for_each(|session| new.note(*session));
            }
        }
        sleep(0.005);
    }
    match viewer.released(wish.session, 0.0) {
        Some(h) if h.at - ended_at <= 8.0 + SLACK => {
            Verdict::Held(format!("released {:.2} s after the end", h.at - ended_at))
        }
        Some(h) => Verdict::Broken(format!("released {:.2} s after the end", h.at - ended_at)),
        None => Verdict::Broken("not released within 16 s of the end".into()),
    }
}

/// Two viewers at addresses of their own; the connection of one is reset, and its session ends before it is back.
fn foreign(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting::default(), record);
    sleep(1.0);
    let (address_a, address_b) = (Ipv4Addr::new(127, 0, 0, 11), Ipv4Addr::new(127, 0, 0, 12));
    let a = Viewer::connect("viewer-a", address_a, fleet.listen, record);
    let b = Viewer::connect("viewer-b", address_b, fleet.listen, record);
    let (wish_a, wish_b) = (Wish::new(0xaa, 0, 4), Wish::new(0xbb, 1, 4));
    a.set_up(&wish_a);
    b.set_up(&wish_b);
    assert!(a.answered(wish_a.session, 3.0) && b.answered(wish_b.session, 3.0), "both sessions stand");
    let media = fleet.media_of(wish_a.session).expect("a server has it");
    sleep(1.0);
    // A further request of viewer A, which its server answers after 0.3 s.
    fleet.media.iter().for_each(|m| m.set_plan(|_| Response::Stand(300)));
    let request = Wish::new(0xab, 1, 4);
    a.set_up(&request);
    sleep(0.1);
    if trouble {
        a.reset();
    } else {
        assert!(a.answered(request.session, 3.0), "the further session stands");
    }
    sleep(0.2);
    let ended_at = media.release(wish_a.session, 16).expect("it stood");
    sleep(0.5);
    // The viewer comes back, with a further set-up.
    let back = Viewer::connect("viewer-a-2", address_a, fleet.listen, record);
    back.set_up(&Wish::new(0xac, 2, 4));
    back.answered(0xac, 3.0);
    sleep((ended_at + 8.5 - record.now()).max(0.0));
    let own = a.released(wish_a.session, 0.0).or(back.released(wish_a.session, 0.0)).map(|h| h.at - ended_at);
    let other = b.released(wish_a.session, 0.0).is_some();
    let text = format!(
        "the viewer was released: {own:?} s after the end; the other viewer got its release: {other}"
    );
    match own {
        Some(after) if after <= 8.0 + SLACK && !other => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A media server's good answer comes with a length that does not fit.
fn short(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting::default(), record);
    let whole = |session: u64| {
        let text = String::from_utf8(description(session)).expect("text");
        text.trim_end().to_string().into_bytes()
    };
    for media in &fleet.media {
        media.set_plan(move |set_up| {
            let body = whole(set_up.session);
            let mut bytes = message("RTSP/1.0 200 OK", 1, set_up.session, "", &body);
            if trouble && set_up.session == 0xd2 {
                let (fits, short) = (
                    format!("Content-Length: {}", body.len()),
                    format!("Content-Length: {}", body.len() - 3),
                );
                bytes = String::from_utf8(bytes).expect("text").replace(&fits, &short).into_bytes();
            }
            Response::Raw(bytes)
        });
    }
    sleep(1.0);
    let viewer = fleet.viewer("viewer");
    let mut wrong = Vec::new();
    for session in [0xd1, 0xd2, 0xd3] {
        viewer.set_up(&Wish::new(session, 0, 4));
        let answer = viewer.wait(3.1, |h| h.session == session && matches!(h.kind, ANSWER | RELEASE));
        if let Some(h) = answer.filter(|h| h.kind == ANSWER && h.description != whole(session)) {
            wrong.push(format!("{session:x}: {:?}", String::from_utf8_lossy(&h.description)));
        }
    }
    if wrong.is_empty() {
        Verdict::Held("each answer has a server's description".into())
    } else {
        Verdict::Broken(format!("served with what no media server made: {}", wrong.join("; ")))
    }
}

/// Three bad clients send hundreds of requests, take them back at once, and do the same again, at full speed
/// but for 0.1 s in between.
fn flood(trouble: bool, record: &Record) -> Verdict {
    let setting = Setting { places: 300, seen_after_us: 1_200_000, ..Setting::default() };
    let fleet = Fleet::start(setting, record);
    sleep(1.5);
    for client in 0..if trouble { 3u64 } else { 0 } {
        let (listen, record) = (fleet.listen, record.clone());
        std::thread::spawn(move || bad_client(client, listen, &record));
    }
    let usual = fleet.viewer("viewer");
    let started_at = record.now();
    let mut sent: Vec<(u64, f64)> = Vec::new();
    while record.now() - started_at < 25.0 {
        let session = 0xe000 + sent.len() as u64;
        if let Some(at) = usual.set_up(&Wish::new(session, (session % 4) as u32, 2)) {
            sent.push((session, at));
        }
        sleep(0.2);
    }
    sleep(6.0);
    let mut late = Vec::new();
    let mut worst: f64 = 0.0;
    for (session, at) in &sent {
        let answer = usual.wait(0.0, |h| h.session == *session && matches!(h.kind, ANSWER | RELEASE));
        let after = answer.map_or(99.0, |h| h.at - at);
        worst = worst.max(after);
        if after > 3.0 + 0.5 + SLACK {
            late.push(*session);
        }
    }
    let text =
        format!("of {} usual set-ups {} were lost; the longest wait {worst:.2} s", sent.len(), late.len());
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

fn bad_client(client: u64, listen: SocketAddrV4, record: &Record) {
    const REQUESTS: u64 = 900;
    let name = format!("bad-{client}");
    let mut next = 0;
    while let Some(viewer) = Viewer::try_connect(&name, LOCALHOST, listen, record) {
        loop {
            let wish = |i| Wish::new(0xbad0_0000_0000_0000 | client << 40 | (next + i), 0, 1);
            let wishes: Vec<Wish> = (0..REQUESTS).map(wish).collect();
            next += REQUESTS;
            if !viewer.set_up_and_take_back(&wishes) {
                break;
            }
            record.line(&format!("{name}: {REQUESTS} set-ups, each taken back at once"));
            sleep(0.1);
        }
    }
}

/// A second copy of a refusal comes while the next attempt of a paid set-up waits on the same connection.
fn copy(trouble: bool, record: &Record) -> Verdict {
    let fleet = Fleet::start(Setting { effect: "non_idempotent", ..Setting::default() }, record);
    let mut count = 0;
    fleet.media[0].set_plan(move |set_up| {
        count += 1;
        let refusal = message("RTSP/1.0 453 Not Enough Bandwidth", 1, set_up.session, "", b"");
        match count {
            1 if trouble => Response::Copy(refusal, 5),
            1 => Response::Raw(refusal),
            _ => Response::Stand(60),
        }
    });
    sleep(1.0);
    let viewer = fleet.viewer("viewer");
    viewer.set_up(&Wish::new(0xe1, 0, 1));
    viewer.wait(3.6, |h| h.session == 0xe1);
    sleep(0.5);
    let sent = fleet.media[0].set_ups().iter().filter(|s| s.session == 0xe1).count();
    let text = format!("the set-up reached its server {sent} times, the first one refused");
    if sent <= 2 { Verdict::Held(text) } else { Verdict::Broken(text) }
}
