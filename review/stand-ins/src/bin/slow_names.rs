//! The name service answers slowly while a media server drains. Nothing new may go there once a front node was told.
//!
//! The deployment: two zones, 13 media servers, 2 front nodes, 2.4 new plays a second.

use review_stand_ins::*;
use std::collections::HashMap;
use std::net::SocketAddr;

const CELLS: usize = 13;
/// How late each answer of the name service is.
const DELAY_MS: f64 = 2_500.0;
/// `rules.drainGraceUs`, and "every time limit is 50 ms longer".
const GRACE_MS: f64 = 500.0 + 50.0;
const WAIT_MS: u64 = 3_000;
/// Three titles; the holders of the first are the media servers of cells 0, 1 and 2, of the second 4 to 6, of the third 8 to 10.
const TITLES: [u64; 3] = [0x7f3a_9c21, 0x7f3a_9c24, 0x7f3a_9c28];
/// How long a session lasts: "plays of 26 to 60 s".
const LIFE_MS: f64 = 26_000.0;

fn main() {
    let record = Record::open();
    let trouble = has_trouble();
    record.say(format!("trouble: {trouble}"));
    let zone = |cell: usize| if cell % 2 == 0 { "wing-a" } else { "wing-b" };
    let servers: Vec<MediaServer> =
        (0..CELLS).map(|i| MediaServer::start(&record, &format!("s-{:08x}", 0xa0 + i), LIFE_MS)).collect();
    let listed: Vec<Listed> = servers
        .iter()
        .enumerate()
        .map(|(cell, s)| Listed {
            id: s.id.clone(),
            address: s.address,
            zone: zone(cell).into(),
            kind: "std-2c".into(),
            cell,
            weight: 2.0,
            started_ms: 0,
            priority: READY,
        })
        .collect();
    let names = NameService::start(&record, listed.clone());
    let fronts: Vec<Front> = (0..2)
        .map(|rank| {
            Front::start(Config {
                name: format!("n{}", rank + 1),
                listen: Front::free_address(),
                seed: 0x8c1f30d27a5be964 + rank as u64,
                memory_mb: 192,
                sockets: 1024,
                resolver: names.address,
                known: listed.clone(),
                settings: settings::porto_guia(2, rank, CELLS),
            })
        })
        .collect();
    let noting = servers.clone();
    std::thread::spawn(move || loop {
        sleep_ms(3_250);
        noting.iter().for_each(MediaServer::send_notes);
    });
    let started_at = now_ms();
    let mut drains = None;
    let (mut viewers, mut asked): (Vec<Viewer>, HashMap<u64, (usize, f64)>) = (Vec::new(), HashMap::new());
    for front in &fronts {
        viewers.push(Viewer::connect(front.address).unwrap_or_else(|e| cannot_run(&e.to_string())));
    }
    let mut is_slow = false;
    // 40 s of traffic, 2.4 new plays a second, half of them at either front node. A third of the titles lie on the first
    // three media servers.
    for play in 0..96_u64 {
        sleep_until(started_at + play as f64 * 1000.0 / 2.4);
        let passed = now_ms() - started_at;
        if trouble && !is_slow && passed >= 5_000.0 {
            is_slow = true;
            names.set_delay(DELAY_MS);
            record.say(format!("the name service answers {DELAY_MS:.0} ms late from now on"));
        }
        if drains.is_none() && passed >= 10_000.0 {
            let serial = names.change(|list| list[0].priority = DRAINING);
            drains = Some((serial, now_ms()));
            servers[0].refuse(453);
            record.say(format!("{} drains: list {serial}", servers[0].id));
        }
        let number = (play % 2) as usize;
        let session = 0x9b1f_03aa_0000_0000 + play + 1;
        let (title, home) = (TITLES[play as usize / 2 % 3], [0, 4, 8][play as usize / 2 % 3]);
        let extras = format!("home:{home};copies:3;top:5;viewer:{session:016x}");
        let class = ["interview-prep", "checklist", "booking-help"][play as usize / 6 % 3];
        asked.insert(session, (number, now_ms()));
        record.line(format!("n{}: viewer sends set-up {session:016x}", number + 1));
        viewers[number].send(&set_up(session, class, WAIT_MS, title, &extras));
    }
    sleep_ms(WAIT_MS + 500);
    let (serial, drains_at) = drains.expect("a drain");
    let told = names.told(serial);
    let (queries, answers) = names.counts();
    record.say(format!("the name service: {queries} queries, {answers} answers sent"));
    let mut unanswered = 0;
    for (session, (number, asked_at)) in &asked {
        let received = viewers[*number].received();
        let first = received.iter().find(|m| m.session == *session);
        if let Some(m) = first {
            record.line_at(
                m.at,
                format!(
                    "n{}: viewer gets kind {} for {session:016x}, cause {:?}",
                    number + 1,
                    m.kind,
                    m.cause
                ),
            );
        }
        if first.is_none_or(|m| m.at - asked_at > WAIT_MS as f64 + 50.0) {
            unanswered += 1;
        }
    }
    // Both front nodes count as told only once the later of them was sent the list: the name service can't tell which is which.
    let told_at = told.iter().map(|t: &(SocketAddr, f64)| t.1).fold(drains_at, f64::max);
    if told.len() < 2 {
        cannot_run("the front nodes were not sent the list");
    }
    record.say(format!(
        "both front nodes were sent list {serial} {:.0} ms after the drain began",
        told_at - drains_at
    ));
    let (mut broken, mut last) = (0, 0.0_f64);
    for sent in servers[0].set_ups() {
        let after = sent.at - told_at;
        if after > GRACE_MS {
            broken += 1;
            last = last.max(after);
            record.say(format!(
                "BROKEN: {} gets set-up {:016x} {after:.0} ms after both were told",
                servers[0].id, sent.session
            ));
        }
    }
    record.say(format!(
        "{} set-ups, {unanswered} without an answer in time; broken: {broken}, the last {last:.0} ms after",
        asked.len()
    ));
    drop(fronts);
    std::process::exit(i32::from(broken > 0));
}
