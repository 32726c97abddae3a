//! The adapter's replies to a recorded tape of batches stay the same to the byte.
//!
//! `tape.bin` holds batch and reply in turn. It was recorded by `record` below, which plays a small made-up
//! deployment against the adapter; run it again (`cargo test -p pulleystair-sim-adapter -- --ignored record`) only
//! for a change of the decisions that is meant.

use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};

const TAPE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tape.bin");

struct Adapter(Child);

impl Adapter {
    fn start() -> Adapter {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pulleystair-drill"));
        Adapter(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("the adapter starts"))
    }

    fn batch(&mut self, body: &[u8]) -> Vec<u8> {
        let input = self.0.stdin.as_mut().expect("input is piped");
        input.write_all(&(body.len() as u32).to_le_bytes()).expect("a batch is taken");
        input.write_all(body).expect("a batch is taken");
        input.flush().expect("a batch is taken");
        let output = self.0.stdout.as_mut().expect("output is piped");
        let mut head = [0; 4];
        output.read_exact(&mut head).expect("a reply comes");
        let mut reply = vec![0; u32::from_le_bytes(head) as usize];
        output.read_exact(&mut reply).expect("a reply comes whole");
        reply
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        drop(self.0.stdin.take());
        self.0.wait().expect("the adapter ends with its input");
    }
}

fn next_part(tape: &mut &[u8]) -> Vec<u8> {
    let (size, rest) = tape.split_first_chunk::<4>().expect("the tape holds a size");
    let (part, rest) = rest.split_at(u32::from_le_bytes(*size) as usize);
    *tape = rest;
    part.to_vec()
}

#[test]
fn replies_are_those_on_the_tape() {
    let tape = std::fs::read(TAPE).expect("the tape is there");
    let mut rest = tape.as_slice();
    let mut adapter = Adapter::start();
    let (mut batches, mut bytes) = (0, 0);
    while !rest.is_empty() {
        let (batch, reply) = (next_part(&mut rest), next_part(&mut rest));
        assert_eq!(adapter.batch(&batch), reply, "batch {batches} is answered otherwise");
        (batches, bytes) = (batches + 1, bytes + reply.len());
    }
    assert!(batches > 300 && bytes > 10_000, "the tape holds {batches} batches, {bytes} bytes of replies");
}

// ---- the recording ----

/// A batch in the making.
struct Batch(Vec<u8>);

impl Batch {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let size: usize = fields.iter().map(|f| f.len()).sum();
        self.0.push(code);
        self.0.extend_from_slice(&(size as u32).to_le_bytes());
        fields.iter().for_each(|f| self.0.extend_from_slice(f));
    }
}

const SHEET: &str = r#"{"balancers":2,"rank":0,"zone":0,"discovery":"subscribe",
"lanes":[{"aimUs":700000,"giveUpUs":2500000,"effect":"read_like","keyScope":"all","worth":2.0},
{"aimUs":900000,"giveUpUs":3000000,"effect":"idempotency_key","keyScope":"zone","worth":1.0,"repeatWindowUs":4000000},
{"aimUs":900000,"giveUpUs":3000000,"effect":"non_idempotent","keyScope":"all","worth":1.0}],
"ceilings":{"attemptsCap":3,"probes":true,"retryAfter":true,"maxRetryAfterUs":400000},
"costs":{"probe":0.01,"crossZone":0.02},"loadInfo":{"columns":["x0","x1","outstanding"],"how":"inline"},
"rules":{"coldUs":5000000,"coldFrom":0.3,"overloadFactor":2.0,"drainGraceUs":300000,"budgetShare":0.2,
"budgetSpanUs":5000000,"freeResends":3},
"extra":{"places":6,"cabinets":2,"ladderKb":[100,200,400,700],"rungWorth":[0.3,0.6,0.9,1.0],
"classFloor":[0,1,0],"topByClass":[3,3,2],"classScale":[1.0,1.2,1.0],"classLive":[false,false,true],
"seats":[0,0,4],"join":0.25,"placesByKind":[16],"fleetKb":12000,"linkUnitKb":500,"rackLinkKb":4500,
"seenAfterUs":600000,"reportsEveryUs":2000000,"stallCost":7.0,"changeCostsS":0.5}}"#;

fn census(table: u8, lines: &[(u32, u8, u64)]) -> Vec<u8> {
    let mut out = vec![table];
    out.extend((lines.len() as u32).to_le_bytes());
    for (server, readiness, born) in lines {
        out.extend(server.to_le_bytes());
        out.extend(((server % 2) as u16).to_le_bytes());
        out.push(0);
        out.extend(((server % 6) as u16).to_le_bytes());
        out.push(*readiness);
        out.extend(4.0f32.to_le_bytes());
        out.extend(born.to_le_bytes());
    }
    out
}

/// An allocation of the made-up deployment: play, server, and when its next event is due.
struct Out {
    play: u64,
    server: u32,
    due: u64,
    playing: bool,
}

#[test]
#[ignore = "writes the tape anew"]
fn record() {
    let mut rnd = oorandom::Rand32::new(11);
    let mut adapter = Adapter::start();
    let mut tape = Vec::new();
    let servers: Vec<u32> = (0..6).map(|i| 7000 + i * 13).collect();
    let (mut out, mut timers, mut probes): (Vec<Out>, Vec<(u64, u32)>, Vec<u32>) = Default::default();
    let mut plays = 0u64;
    for step in 0..600u64 {
        let now = 1_000_000_000 + step * 50_000;
        let mut batch = Batch(now.to_le_bytes().to_vec());
        let who = 3u32.to_le_bytes();
        let share = |rnd: &mut oorandom::Rand32| {
            let figures = [rnd.rand_float() * 1.4, rnd.rand_float() * 1.2, rnd.rand_float() * 12.0];
            let mut stats = vec![3];
            figures.iter().for_each(|f| stats.extend(f.to_le_bytes()));
            stats
        };
        if step == 1 {
            let size = (SHEET.len() as u32).to_le_bytes();
            batch.record(16, &[&who, &99u64.to_le_bytes(), &size, SHEET.as_bytes()]);
        }
        let whole: Vec<(u32, u8, u64)> = servers.iter().map(|s| (*s, 1, 0)).collect();
        let list = match step {
            1 => Some((2u8, whole)),
            40 => Some((1, whole)),
            200 => Some((0, vec![(servers[1], 2, 0)])),
            260 => Some((0, vec![(servers[1], 0, 0), (servers[4], 1, now - 400_000)])),
            340 => Some((0, vec![(servers[1], 1, now - 200_000)])),
            420 => Some((3, Vec::new())),
            _ => None,
        };
        if let Some((how, lines)) = list {
            batch.record(28, &[&census(2, &lines)]);
            batch.record(17, &[&who, &[how], &step.to_le_bytes(), &[2]]);
        }
        if step == 2 {
            let (server, title) = (servers[2].to_le_bytes(), 31u64.to_le_bytes());
            let span = 9_000_000u32.to_le_bytes();
            let f = |x: f32| x.to_le_bytes();
            let fields: [&[u8]; 14] = [
                &who,
                &500u64.to_le_bytes(),
                &[0, 0],
                &[0; 4],
                &[0; 8],
                &title,
                &span,
                &[0; 4],
                &f(1.0),
                &f(3.0),
                &f(3.0),
                &[0],
                &server,
                &[],
            ];
            batch.record(26, &fields);
            out.push(Out { play: 500, server: servers[2], due: now + 4_000_000, playing: true });
        }
        for (_, context) in timers.extract_if(.., |t| t.0 <= now) {
            batch.record(22, &[&who, &context.to_le_bytes()]);
        }
        for server in probes.drain(..) {
            let server = server.to_le_bytes();
            batch.record(23, &[&who, &[0; 4], &200u16.to_le_bytes(), &server, &share(&mut rnd)]);
        }
        let mut ended = Vec::new();
        for (i, o) in out.iter_mut().enumerate() {
            let (id, server) = (o.play.to_le_bytes(), o.server.to_le_bytes());
            if o.due > now {
                if o.playing && rnd.rand_float() < 0.04 {
                    let (what, amount) = [(1u8, 0.8f32), (3, 1.2), (4, 1.1), (1, 1.0)][(step % 4) as usize];
                    batch.record(27, &[&who, &id, &amount.to_le_bytes(), &server, &[what, 0]]);
                }
                continue;
            }
            let dice = rnd.rand_range(0..100);
            if !o.playing && dice < 70 {
                batch.record(19, &[&who, &id, &server, &[0], &[0; 4]]);
                (o.playing, o.due) = (true, now + 1_000_000 + u64::from(rnd.rand_range(0..6_000_000)));
                continue;
            }
            let code: u16 = match (o.playing, dice) {
                (true, 0..90) => 200,
                (true, _) => 520,
                (false, 0..75) => 429,
                (false, 75..82) => 502,
                (false, 82..90) => 408,
                (false, 90..95) => 521,
                (false, _) => 444,
            };
            let closed = u8::from(o.playing);
            batch.record(
                20,
                &[&who, &id, &code.to_le_bytes(), &[closed, 0], &server, &[0; 4], &share(&mut rnd)],
            );
            ended.push(i);
        }
        ended.iter().rev().for_each(|i| {
            out.remove(*i);
        });
        if step > 45 && rnd.rand_float() < 0.4 {
            plays += 1;
            let f = |x: f32| x.to_le_bytes();
            let title = u64::from(rnd.rand_range(20..26));
            let fields: [&[u8]; 13] = [
                &who,
                &(9000 + plays).to_le_bytes(),
                &f(3.0),
                &[0; 8],
                &[0],
                &f(3.0),
                &[0; 4],
                &title.to_le_bytes(),
                &2_500_000u32.to_le_bytes(),
                &f((title % 6) as f32),
                &[0; 4],
                &((plays % 3) as u16).to_le_bytes(),
                &[],
            ];
            batch.record(18, &fields);
        }
        if let Some(o) = out.first().filter(|_| step % 60 == 59) {
            batch.record(21, &[&who, &o.play.to_le_bytes()]);
        }
        let reply = adapter.batch(&batch.0);
        let mut rest = reply.as_slice();
        while let Some((head, after)) = rest.split_first_chunk::<5>() {
            let size = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let (fields, after) = after.split_at(size);
            let word = |at: usize| u32::from_le_bytes(fields[at..at + 4].try_into().unwrap());
            match head[0] {
                29 => out.push(Out {
                    play: u64::from(word(4)) | u64::from(word(8)) << 32,
                    server: word(16),
                    due: now + 30_000 + u64::from(rnd.rand_range(0..300_000)),
                    playing: false,
                }),
                24 => timers.push((now + u64::from(word(8)), word(4))),
                18 => probes.push(word(4)),
                _ => {}
            }
            rest = after;
        }
        for part in [&batch.0, &reply] {
            tape.extend((part.len() as u32).to_le_bytes());
            tape.extend_from_slice(part);
        }
    }
    std::fs::write(TAPE, tape).expect("the tape is written");
}
