//! The adapter's replies to recorded batches stay the same, byte for byte.
//!
//! `tape.bin` holds batches and replies in alternation, each with its length. It was recorded by `record_tape` below, which
//! simulates a small deployment against the adapter. Run that again only after an intended change of the placement logic:
//! `cargo test -p pulleystair-sim-adapter -- --ignored record`.

use std::io::{Read, Write};
use std::process::{Child, Command, Stdio};

const TAPE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tape.bin");

/// A running adapter process.
struct Adapter(Child);

impl Adapter {
    fn start() -> Adapter {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pulleystair-drill"));
        Adapter(command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("the adapter starts"))
    }

    /// Sends a batch and returns the reply.
    fn send_batch(&mut self, body: &[u8]) -> Vec<u8> {
        let input = self.0.stdin.as_mut().expect("input is piped");
        input.write_all(&(body.len() as u32).to_le_bytes()).expect("the adapter reads the batch");
        input.write_all(body).expect("the adapter reads the batch");
        input.flush().expect("the adapter reads the batch");
        let output = self.0.stdout.as_mut().expect("output is piped");
        let mut header = [0; 4];
        output.read_exact(&mut header).expect("a reply follows");
        let mut reply = vec![0; u32::from_le_bytes(header) as usize];
        output.read_exact(&mut reply).expect("the reply is complete");
        reply
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        drop(self.0.stdin.take());
        self.0.wait().expect("the adapter ends with its input");
    }
}

/// Takes the next batch or reply from the recording.
fn next_part(tape: &mut &[u8]) -> Vec<u8> {
    let (size, rest) = tape.split_first_chunk::<4>().expect("the recording holds a size");
    let (part, rest) = rest.split_at(u32::from_le_bytes(*size) as usize);
    *tape = rest;
    part.to_vec()
}

#[test]
fn replies_equal_the_recorded_ones() {
    let tape = std::fs::read(TAPE).expect("the recording exists");
    let mut rest = tape.as_slice();
    let mut adapter = Adapter::start();
    let (mut batches, mut bytes) = (0, 0);
    while !rest.is_empty() {
        let (batch, reply) = (next_part(&mut rest), next_part(&mut rest));
        assert_eq!(adapter.send_batch(&batch), reply, "batch {batches} has another reply than recorded");
        (batches, bytes) = (batches + 1, bytes + reply.len());
    }
    assert!(
        batches > 300 && bytes > 10_000,
        "the recording holds {batches} batches, {bytes} bytes of replies"
    );
}

// ---- the recording ----

/// A batch under construction.
struct Batch(Vec<u8>);

impl Batch {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let size: usize = fields.iter().map(|f| f.len()).sum();
        self.0.push(code);
        self.0.extend_from_slice(&(size as u32).to_le_bytes());
        fields.iter().for_each(|f| self.0.extend_from_slice(f));
    }
}

/// The simulated deployment's settings.
const SETTINGS: &str = r#"{"balancers":2,"rank":0,"zone":0,"discovery":"subscribe",
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

/// The fields of a CENSUS event; an entry is a server, its standing and when it started.
fn encode_table(table: u8, entries: &[(u32, u8, u64)]) -> Vec<u8> {
    let mut encoded = vec![table];
    encoded.extend((entries.len() as u32).to_le_bytes());
    for (server, standing, started_at) in entries {
        encoded.extend(server.to_le_bytes());
        encoded.extend(((server % 2) as u16).to_le_bytes());
        encoded.push(0);
        encoded.extend(((server % 6) as u16).to_le_bytes());
        encoded.push(*standing);
        encoded.extend(4.0f32.to_le_bytes());
        encoded.extend(started_at.to_le_bytes());
    }
    encoded
}

/// An allocation of the simulated deployment, and when its next event is due (µs).
struct Allocation {
    play: u64,
    server: u32,
    due_at: u64,
    playing: bool,
}

#[test]
#[ignore = "records the tape again"]
fn record_tape() {
    let mut rng = oorandom::Rand32::new(11);
    let mut adapter = Adapter::start();
    let mut tape = Vec::new();
    let servers: Vec<u32> = (0..6).map(|i| 7000 + i * 13).collect();
    let (mut allocations, mut timers, mut probes): (Vec<Allocation>, Vec<(u64, u32)>, Vec<u32>) =
        Default::default();
    let mut plays = 0u64;
    for step in 0..600u64 {
        let now = 1_000_000_000 + step * 50_000;
        let mut batch = Batch(now.to_le_bytes().to_vec());
        let instance_id = 3u32.to_le_bytes();
        let draw_load = |rng: &mut oorandom::Rand32| {
            let values = [rng.rand_float() * 1.4, rng.rand_float() * 1.2, rng.rand_float() * 12.0];
            let mut stats = vec![3];
            values.iter().for_each(|f| stats.extend(f.to_le_bytes()));
            stats
        };
        if step == 1 {
            let size = (SETTINGS.len() as u32).to_le_bytes();
            batch.record(16, &[&instance_id, &99u64.to_le_bytes(), &size, SETTINGS.as_bytes()]);
        }
        let whole_list: Vec<(u32, u8, u64)> = servers.iter().map(|s| (*s, 1, 0)).collect();
        let list = match step {
            1 => Some((2u8, whole_list)),
            40 => Some((1, whole_list)),
            200 => Some((0, vec![(servers[1], 2, 0)])),
            260 => Some((0, vec![(servers[1], 0, 0), (servers[4], 1, now - 400_000)])),
            340 => Some((0, vec![(servers[1], 1, now - 200_000)])),
            420 => Some((3, Vec::new())),
            _ => None,
        };
        if let Some((change_kind, entries)) = list {
            batch.record(28, &[&encode_table(2, &entries)]);
            batch.record(17, &[&instance_id, &[change_kind], &step.to_le_bytes(), &[2]]);
        }
        if step == 2 {
            let (server, title) = (servers[2].to_le_bytes(), 31u64.to_le_bytes());
            let span = 9_000_000u32.to_le_bytes();
            let f = |x: f32| x.to_le_bytes();
            let fields: [&[u8]; 14] = [
                &instance_id,
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
            allocations.push(Allocation {
                play: 500,
                server: servers[2],
                due_at: now + 4_000_000,
                playing: true,
            });
        }
        for (_, timer) in timers.extract_if(.., |t| t.0 <= now) {
            batch.record(22, &[&instance_id, &timer.to_le_bytes()]);
        }
        for server in probes.drain(..) {
            let server = server.to_le_bytes();
            batch.record(23, &[&instance_id, &[0; 4], &200u16.to_le_bytes(), &server, &draw_load(&mut rng)]);
        }
        let mut ended = Vec::new();
        for (i, allocation) in allocations.iter_mut().enumerate() {
            let (id, server) = (allocation.play.to_le_bytes(), allocation.server.to_le_bytes());
            if allocation.due_at > now {
                if allocation.playing && rng.rand_float() < 0.04 {
                    let (note_kind, value) =
                        [(1u8, 0.8f32), (3, 1.2), (4, 1.1), (1, 1.0)][(step % 4) as usize];
                    batch.record(27, &[&instance_id, &id, &value.to_le_bytes(), &server, &[note_kind, 0]]);
                }
                continue;
            }
            let draw = rng.rand_range(0..100);
            if !allocation.playing && draw < 70 {
                batch.record(19, &[&instance_id, &id, &server, &[0], &[0; 4]]);
                (allocation.playing, allocation.due_at) =
                    (true, now + 1_000_000 + u64::from(rng.rand_range(0..6_000_000)));
                continue;
            }
            let code: u16 = match (allocation.playing, draw) {
                (true, 0..90) => 200,
                (true, _) => 520,
                (false, 0..75) => 429,
                (false, 75..82) => 502,
                (false, 82..90) => 408,
                (false, 90..95) => 521,
                (false, _) => 444,
            };
            let closed = u8::from(allocation.playing);
            batch.record(
                20,
                &[
                    &instance_id,
                    &id,
                    &code.to_le_bytes(),
                    &[closed, 0],
                    &server,
                    &[0; 4],
                    &draw_load(&mut rng),
                ],
            );
            ended.push(i);
        }
        ended.iter().rev().for_each(|i| {
            allocations.remove(*i);
        });
        if step > 45 && rng.rand_float() < 0.4 {
            plays += 1;
            let f = |x: f32| x.to_le_bytes();
            let title = u64::from(rng.rand_range(20..26));
            let fields: [&[u8]; 13] = [
                &instance_id,
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
        if let Some(allocation) = allocations.first().filter(|_| step % 60 == 59) {
            batch.record(21, &[&instance_id, &allocation.play.to_le_bytes()]);
        }
        let reply = adapter.send_batch(&batch.0);
        let mut rest = reply.as_slice();
        while let Some((header, after)) = rest.split_first_chunk::<5>() {
            let size = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
            let (fields, after) = after.split_at(size);
            let u32_at = |at: usize| u32::from_le_bytes(fields[at..at + 4].try_into().unwrap());
            match header[0] {
                29 => allocations.push(Allocation {
                    play: u64::from(u32_at(4)) | u64::from(u32_at(8)) << 32,
                    server: u32_at(16),
                    due_at: now + 30_000 + u64::from(rng.rand_range(0..300_000)),
                    playing: false,
                }),
                24 => timers.push((now + u64::from(u32_at(8)), u32_at(4))),
                18 => probes.push(u32_at(4)),
                _ => {}
            }
            rest = after;
        }
        for part in [&batch.0, &reply] {
            tape.extend((part.len() as u32).to_le_bytes());
            tape.extend_from_slice(part);
        }
    }
    std::fs::write(TAPE, tape).expect("the recording is written");
}
