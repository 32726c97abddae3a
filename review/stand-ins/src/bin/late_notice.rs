//! Media servers go silent while sessions stand there. Their viewers have to hear of the end within 8 s.
//!
//! The deployment: one site, 15 media servers, 3 front nodes, one class, a note on the load every 4.9 s.

use review_stand_ins::*;
use std::collections::HashMap;

const CELLS: usize = 15;
/// A media server's notes come this often: "every 2.2 to 4.9 s".
const NOTES_MS: f64 = 4_900.0;
/// How long a session lasts: "plays of 30 to 65 s".
const LIFE_MS: f64 = 45_000.0;
/// A viewer gives up after this time.
const WAIT_MS: u64 = 4_000;
/// "if no release could be sent, within 8 s of its end", and "every time limit is 50 ms longer".
const NOTICE_MS: f64 = 8_050.0;
/// "within 1 s of the release by the media server", and the same 50 ms.
const RELEASE_MS: f64 = 1_050.0;

fn settings(rank: usize) -> String {
    format!(
        r#"{{"balancers":3,"rank":{rank},"zone":0,"tier":0,"tiers":["midia-sc"],"failureDomains":["centro-floripa"],
"kinds":["caixa-2n"],"family":"streams","discovery":"automatic","valueBy":"work","weightSource":"nominal",
"ceilings":{{"attemptsCap":4,"cancel":true,"dialTimeoutUs":250000,"idleCloseUs":15000000,"maxRetryAfterUs":1000000,
"mostHeld":1000000,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":32}},
"costs":{{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.0,"lateFail":0.031,"moves":0.1,"probe":0.01}},
"extra":{{"cabinets":2,"changeCostsS":0.7,"classFloor":[0],"classLive":[false],"classScale":[1.0],"fleetKb":90000.0,
"join":1.0,"ladderKb":[200.0,380.0,650.0,1100.0,1900.0],"linkUnitKb":3000.0,"places":15,"placesByKind":[30],
"rackLinkKb":32000.0,"refusesFrom":1.0,"reportsEveryUs":4900000,"rungWorth":[0.23,0.45,0.65,0.85,1.0],"seats":[0],
"seenAfterUs":900000,"stallCost":7.0,"topByClass":[4]}},
"lanes":[{{"aimUs":1000000,"effect":"read_like","giveUpUs":4000000,"keyScope":"all","lateWorth":0.0,"name":"gravado",
"repeatWindowUs":5000000,"streamed":true,"worth":1.0}}],
"loadInfo":{{"columns":["outstanding","x0","x1"],"how":"inline"}},
"rules":{{"answerSlackUs":40000,"coldFrom":0.4,"coldUs":8000000,"drainGraceUs":250000,"fallUs":1500000,"overloadFactor":2.0}},
"tenants":[]}}"#
    )
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
            zone: "centro-floripa".into(),
            kind: "caixa-2n".into(),
            cell,
            weight: 2.0,
            started_ms: 0,
            priority: READY,
        })
        .collect();
    let names = NameService::start(&record, listed.clone());
    // The front nodes start one after the other.
    let mut fronts: Vec<Front> = Vec::new();
    for rank in 0..3 {
        let at = now_ms() + 170.0;
        fronts.push(Front::start(Config {
            name: format!("n{}", rank + 1),
            listen: Front::free_address(),
            seed: 0x8c1f30d27a5be964 + rank as u64,
            memory_mb: 192,
            sockets: 1024,
            resolver: names.address,
            known: listed.clone(),
            settings: settings(rank),
        }));
        sleep_until(at);
    }
    // All media servers note at the same time.
    let first_note_at = now_ms() + 500.0;
    let noting = servers.clone();
    std::thread::spawn(move || {
        for tick in 0.. {
            sleep_until(first_note_at + NOTES_MS * f64::from(tick));
            noting.iter().for_each(MediaServer::send_notes);
        }
    });
    // Sessions at all front nodes: five titles of three holders each, six viewers for each title.
    let mut viewers: Vec<Viewer> = Vec::new();
    let mut asked: HashMap<u64, (usize, f64)> = HashMap::new();
    for (number, front) in fronts.iter().enumerate() {
        let mut viewer = Viewer::connect(front.address).unwrap_or_else(|e| cannot_run(&e.to_string()));
        for play in 0..30 {
            let (title, home) = (play % 5, 3 * (play % 5));
            let session = 0x9b1f_0000_0000_0000 + ((number as u64) << 32) + play + 1;
            let extras = format!("home:{home};copies:3;top:2;viewer:{session:016x}");
            asked.insert(session, (number, now_ms()));
            viewer.send(&set_up(session, "gravado", WAIT_MS, 0x7f3a_9c21 + title, &extras));
            record.line(format!("n{}: viewer sends set-up {session:016x}", number + 1));
            sleep_ms(40);
        }
        viewers.push(viewer);
    }
    // A quiet time follows. Right after a note, three media servers (20%) go silent at once.
    let ticks = ((now_ms() + 3_000.0 - first_note_at) / NOTES_MS).ceil();
    sleep_until(first_note_at + NOTES_MS * ticks + 10.0);
    let mut ends: HashMap<u64, (f64, f64, String)> = HashMap::new();
    if trouble {
        for server in &servers[..3] {
            let (at, cut) = server.vanish();
            for session in cut {
                ends.insert(session, (at, NOTICE_MS, format!("{} went silent", server.id)));
            }
        }
        record.say(format!("{} sessions were cut by 3 media servers that went silent", ends.len()));
    }
    // The other sessions come to their end by themselves. The machines that went silent do not return before that, and the
    // list keeps them until then.
    let last_at = asked.values().map(|a| a.1).fold(0.0, f64::max);
    sleep_until(last_at + LIFE_MS + 2_000.0);
    for server in &servers {
        for (session, at, how) in server.ended() {
            ends.entry(session).or_insert((at, RELEASE_MS, how.to_string()));
        }
    }
    let (mut broken, mut played, mut latest) = (0, 0, 0.0_f64);
    for (number, viewer) in viewers.iter().enumerate() {
        let received = viewer.received();
        for (session, (_, asked_at)) in asked.iter().filter(|a| a.1 .0 == number) {
            let mut own = received.iter().filter(|m| m.session == *session);
            let first = own.next();
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
                broken += 1;
                record.say(format!("BROKEN: n{}: set-up {session:016x} has no answer in time", number + 1));
            }
            if first.is_none_or(|m| m.kind != 9) {
                continue;
            }
            played += 1;
            let released = own.find(|m| m.kind == 12);
            let Some((ended_at, limit, how)) = ends.get(session) else { continue };
            let late = released.map(|m| m.at - ended_at);
            if let Some(m) = released {
                record.line_at(
                    m.at,
                    format!("n{}: viewer gets release of {session:016x}, cause {:?}, {:.0} ms after its end ({how})", number + 1, m.cause, late.unwrap_or(0.0)),
                );
                if *limit == NOTICE_MS {
                    latest = latest.max(m.at - ended_at);
                }
            }
            if late.is_none_or(|ms| ms > *limit) {
                broken += 1;
                record.say(format!(
                    "BROKEN: n{}: session {session:016x} ended ({how}); its viewer heard of it {} (limit {limit:.0} ms)",
                    number + 1,
                    late.map_or("never".to_string(), |ms| format!("{ms:.0} ms later"))
                ));
            }
        }
    }
    record.say(format!(
        "{} set-ups, {played} played; latest notice of a cut session {latest:.0} ms; broken: {broken}",
        asked.len()
    ));
    if played < asked.len() * 9 / 10 || trouble && ends.values().filter(|e| e.1 == NOTICE_MS).count() < 9 {
        cannot_run("too few sessions stood");
    }
    drop(fronts);
    std::process::exit(i32::from(broken > 0));
}
