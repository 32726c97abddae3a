//! Bad clients hand over sessions under ids that no media server knows, at media servers that no list names, and do the same
//! again as soon as they are turned away. The front node has to stay within its memory.
//!
//! The deployment: 13 media servers, one front node with 64 MB, 2.4 new plays a second.

use review_stand_ins::*;
use std::collections::HashMap;

const CELLS: usize = 13;
const MEMORY_MB: u64 = 64;
/// How many bad clients there are, and how many requests each sends at once: "hundreds of requests at once".
const BAD_CLIENTS: u64 = 3;
const AT_ONCE: u64 = 500;
const WAIT_MS: u64 = 3_000;
const LIFE_MS: f64 = 26_000.0;

/// A bad client: sends its requests, reads what it is sent, and sends the same again under new ids once all are turned away.
fn misbehave(record: &Record, address: std::net::SocketAddr, client: u64) {
    let mut next = client << 40;
    while let Ok(mut viewer) = Viewer::connect(address) {
        while !viewer.has_ended() {
            let mut bytes = Vec::new();
            for _ in 0..AT_ONCE {
                next += 1;
                let extras = format!(
                    "home:1;copies:3;top:4;viewer:{next:016x};at:s-f{client}{:06x}",
                    next & 0xff_ffff
                );
                bytes.extend(set_up(
                    0x4000_0000_0000_0000 + next,
                    "checklist",
                    WAIT_MS,
                    0x7f3a_9c21,
                    &extras,
                ));
            }
            let sent_at = now_ms();
            viewer.send(&bytes);
            let (mut turned_away, mut causes) = (0, HashMap::new());
            while turned_away < AT_ONCE && !viewer.has_ended() {
                for received in viewer.take_received() {
                    turned_away += 1;
                    *causes.entry((received.kind, received.cause)).or_insert(0) += 1;
                }
                sleep_ms(1);
            }
            record.line(format!(
                "bad client {client}: {AT_ONCE} hand-overs under unknown ids, turned away after {:.0} ms: {causes:?}",
                now_ms() - sent_at
            ));
        }
    }
}

fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    record.say(format!("trouble: {trouble}"));
    let servers: Vec<MediaServer> =
        (0..CELLS).map(|i| MediaServer::start(&record, &format!("s-{:08x}", 0xa0 + i), LIFE_MS)).collect();
    let listed: Vec<Listed> = servers
        .iter()
        .enumerate()
        .map(|(cell, s)| Listed {
            id: s.id.clone(),
            address: s.address,
            zone: "wing-a".into(),
            kind: "std-2c".into(),
            cell,
            weight: 2.0,
            started_ms: 0,
            priority: READY,
        })
        .collect();
    let names = NameService::start(&record, listed.clone());
    let mut front = Front::start(Config {
        name: "n1".into(),
        listen: Front::free_address(),
        seed: 0x8c1f30d27a5be964,
        memory_mb: MEMORY_MB,
        sockets: 1024,
        resolver: names.address,
        known: listed,
        settings: settings::porto_guia(1, 0, CELLS),
    });
    let address = front.address;
    if trouble {
        for client in 1..=BAD_CLIENTS {
            let record = record.clone();
            std::thread::spawn(move || misbehave(&record, address, client));
        }
    }
    let started_at = now_ms();
    let mut viewer = Viewer::connect(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
    let mut asked: Vec<(u64, f64)> = Vec::new();
    let (mut crash, mut largest) = (None, 0.0_f64);
    while now_ms() - started_at < 90_000.0 && crash.is_none() {
        let play = asked.len() as u64;
        let session = 0x9b1f_03aa_0000_0000 + play + 1;
        let extras = format!("home:{};copies:3;top:5;viewer:{session:016x}", 4 * (play % 3));
        asked.push((session, now_ms()));
        viewer.send(&set_up(session, "checklist", WAIT_MS, 0x7f3a_9c21 + play % 3, &extras));
        // The platform watches the memory between two plays.
        let until = started_at + asked.len() as f64 * 1000.0 / 2.4;
        while now_ms() < until && crash.is_none() {
            if let Some(status) = front.exit_status() {
                crash = Some(format!("the front node ended: {status}"));
            } else if let Some(mb) = front.memory_mb() {
                largest = largest.max(mb);
                if mb > MEMORY_MB as f64 {
                    front.kill();
                    crash = Some(format!(
                        "the front node held {mb:.1} MB, over its limit of {MEMORY_MB} MB, and is killed"
                    ));
                }
            }
            sleep_ms(20);
        }
        if play % 12 == 0 {
            record.line(format!("memory: {largest:.1} MB at most so far"));
        }
    }
    if let Some(crash) = &crash {
        record.say(format!("BROKEN: after {:.1} s {crash}", (now_ms() - started_at) / 1000.0));
        sleep_ms(200);
    } else {
        sleep_ms(WAIT_MS + 500);
    }
    let received = viewer.received();
    let lost = asked
        .iter()
        .filter(|a| !received.iter().any(|m| m.session == a.0 && m.at - a.1 <= WAIT_MS as f64 + 50.0))
        .count();
    let played = received.iter().filter(|m| m.kind == 9).count();
    let cut: usize = servers.iter().map(|s| s.standing().len()).sum();
    record.say(format!(
        "{} set-ups of usual clients: {played} played, {lost} without an answer; {cut} sessions stand at the end; memory {largest:.1} MB at most",
        asked.len()
    ));
    drop(front);
    std::process::exit(i32::from(crash.is_some()));
}
