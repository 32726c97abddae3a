//! The instances of one process: decodes events into calls, keeps plays and timers, encodes the answers.

use crate::frame::{Fields, Reply, records, us};
use pulleystair::logic::Front;
use pulleystair::{CallSheet, Figure, Listing, Next, Outcome, Place, Play, Standing, Steps, Value};
use serde_json::Value as Json;
use std::collections::{BTreeMap, HashMap};

/// The timer that reminds a front of its subscription; all others are play slots.
const FOLLOW: u32 = u32::MAX;

/// Small indices for wide ids, in order of first sight.
#[derive(Default)]
struct Indices(HashMap<u64, usize>);

impl Indices {
    fn of(&mut self, id: u64) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

struct Instance {
    front: Front,
    plays: Vec<Play>,
    /// For each slot of `plays`: the wire's id, and when its timer is due.
    slots: Vec<(u64, Option<f64>)>,
    free: Vec<usize>,
    by_id: HashMap<u64, usize>,
    server_index: Indices,
    server_ids: Vec<u32>,
    titles: Indices,
    columns: Vec<String>,
}

/// A line of a census, its server still by the wire's id.
type Line = (u32, Listing);

#[derive(Default)]
pub struct House {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u8, Vec<Line>>,
}

const NAMES: [(u8, &str); 13] = [
    (16, "ENLIST"),
    (17, "MEMBERS"),
    (18, "KNOCK"),
    (19, "ESTABLISHED"),
    (20, "RESULT"),
    (21, "DROPPED"),
    (22, "ALARM"),
    (23, "ECHO"),
    (24, "FROM_PEER"),
    (25, "HALT"),
    (26, "EXISTING"),
    (27, "NOTE"),
    (28, "CENSUS"),
];

impl House {
    /// Plays one batch and answers the body of the reply.
    pub fn batch(&mut self, body: &[u8]) -> Result<Vec<u8>, String> {
        let clock = body.first_chunk::<8>().ok_or("a batch ends within its clock")?;
        let now = u64::from_le_bytes(*clock) as f64 / 1000.0;
        let mut reply = Reply::default();
        for record in records(&body[8..]) {
            let (code, at, fields) = record?;
            // Codes of a later wire are passed over.
            let Some((_, name)) = NAMES.iter().find(|(c, _)| *c == code) else { continue };
            let mut f = Fields::new(name, at + 8, fields);
            if code == 28 {
                let (table, lines) = census(&mut f)?;
                self.tables.insert(table, lines);
                continue;
            }
            let who = f.u32()?;
            if code == 16 {
                let salt = f.u64()?;
                let size = f.u32()? as usize;
                match call_sheet(f.bytes(size)?) {
                    Ok(sheet) => {
                        let mut instance = Instance::new(sheet, salt);
                        instance.follow(who, false, &mut reply);
                        self.instances.insert(who, instance);
                    }
                    Err(e) => die(who, &f.fault(&e), &mut reply),
                }
            } else if code == 25 {
                self.instances.remove(&who);
            } else if let Some(instance) = self.instances.get_mut(&who) {
                instance.event(now, code, who, &mut f, &self.tables, &mut reply)?;
            } else {
                eprintln!("pulleystair-drill: {}", f.fault(&format!("there is no instance {who}")));
            }
        }
        Ok(reply.0)
    }
}

fn die(who: u32, why: &str, reply: &mut Reply) {
    let text = &why.as_bytes()[..why.len().min(u16::MAX.into())];
    reply.record(19, who, &[&(text.len() as u16).to_le_bytes(), text]);
    eprintln!("pulleystair-drill: instance {who}: {why}");
}

fn census(f: &mut Fields) -> Result<(u8, Vec<Line>), String> {
    let table = f.u8()?;
    let count = f.u32()?;
    let mut lines = Vec::new();
    for _ in 0..count {
        let id = f.u32()?;
        let (zone, kind, cell) = (f.u16()?.into(), f.u8()?.into(), f.u16()?.into());
        let standing = match f.u8()? {
            0 => Standing::Gone,
            1 => Standing::Ready,
            _ => Standing::Draining,
        };
        let (weight, born) = (f.f32()?, f.u64()? as f64 / 1000.0);
        lines.push((id, Listing { server: 0, zone, kind, cell, standing, weight, born }));
    }
    Ok((table, lines))
}

/// The settings as a plain map: paths joined by dots, in our words, times in ms.
fn call_sheet(json: &[u8]) -> Result<CallSheet, String> {
    let json: Json = serde_json::from_slice(json).map_err(|e| format!("its settings are no JSON: {e}"))?;
    if !json.is_object() {
        return Err("its settings are no JSON object".into());
    }
    let mut sheet = CallSheet::new();
    flatten("", &json, &mut sheet);
    Ok(sheet)
}

fn flatten(path: &str, json: &Json, sheet: &mut CallSheet) {
    let join = |part: &str| if path.is_empty() { part.to_string() } else { format!("{path}.{part}") };
    let value = match json {
        Json::Object(parts) => return parts.iter().for_each(|(k, v)| flatten(&join(&our_word(k)), v, sheet)),
        Json::Array(parts) => {
            return parts.iter().enumerate().for_each(|(i, v)| flatten(&join(&i.to_string()), v, sheet));
        }
        Json::Null => return,
        Json::Bool(b) => Value::Number(f64::from(u8::from(*b))),
        Json::Number(n) => Value::Number(n.as_f64().unwrap_or(0.0)),
        Json::String(s) => Value::Text(s.clone()),
    };
    let (path, value) = match (path.strip_suffix("_us"), value) {
        (Some(short), Value::Number(n)) => (short, Value::Number(n / 1000.0)),
        (_, value) => (path, value),
    };
    sheet.insert(path.to_string(), value);
}

fn our_word(name: &str) -> String {
    match name {
        "lanes" => return "products".into(),
        "aimUs" => return "first_frame_target_us".into(),
        "giveUpUs" => return "time_limit_us".into(),
        "worth" => return "importance".into(),
        _ => {}
    }
    let mut out = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}

impl Instance {
    fn new(sheet: CallSheet, salt: u64) -> Instance {
        let column = |i: usize| match sheet.get(&format!("load_info.columns.{i}")) {
            Some(Value::Text(t)) => Some(t.clone()),
            _ => None,
        };
        Instance {
            columns: (0..).map_while(column).collect(),
            front: Front::new(sheet, salt),
            plays: Vec::new(),
            slots: Vec::new(),
            free: Vec::new(),
            by_id: HashMap::new(),
            server_index: Indices::default(),
            server_ids: Vec::new(),
            titles: Indices::default(),
        }
    }

    fn server(&mut self, id: u32) -> usize {
        let index = self.server_index.of(id.into());
        if index == self.server_ids.len() {
            self.server_ids.push(id);
        }
        index
    }

    fn keep(&mut self, id: u64, play: Play) -> usize {
        let ply = self.free.pop().unwrap_or(self.plays.len());
        if ply == self.plays.len() {
            self.plays.push(play);
            self.slots.push((id, None));
        } else {
            self.plays[ply] = play;
            self.slots[ply] = (id, None);
        }
        self.by_id.insert(id, ply);
        ply
    }

    fn event(
        &mut self,
        now: f64,
        code: u8,
        who: u32,
        f: &mut Fields,
        tables: &BTreeMap<u8, Vec<Line>>,
        reply: &mut Reply,
    ) -> Result<(), String> {
        match code {
            17 => {
                let how = f.u8()?;
                f.u64()?;
                let table = f.u8()?;
                if how == 3 {
                    self.follow(who, true, reply);
                    return Ok(());
                }
                let lines =
                    tables.get(&table).ok_or_else(|| f.fault(&format!("there is no census {table}")))?;
                let lines: Vec<Listing> =
                    lines.iter().map(|(id, line)| Listing { server: self.server(*id), ..*line }).collect();
                self.front.list(now, how != 0, how == 2, &lines);
            }
            18 => {
                let id = f.u64()?;
                let top = f.f32()?.max(0.0) as usize;
                f.u64()?;
                f.u8()?;
                let holders = f.f32()?.max(0.0) as usize;
                f.u32()?;
                let title = self.titles.of(f.u64()?);
                let limit = now + f.ms()?;
                let first_cell = f.f32()?.max(0.0) as usize;
                f.ms()?;
                let product = f.u16()?.into();
                let play =
                    Play { product, title, first_cell, holders, top, came: now, limit, ..Play::default() };
                if !self.front.sells(product) {
                    die(who, &f.fault(&format!("there is no product {product}")), reply);
                    return Ok(());
                }
                let ply = self.keep(id, play);
                self.front.take(now, &mut self.plays[ply]);
                self.ask(now, who, ply, reply);
            }
            26 => {
                let id = f.u64()?;
                let product = f.u16()?.into();
                f.u32()?;
                f.u64()?;
                let title = self.titles.of(f.u64()?);
                let limit = now + f.ms()?;
                f.ms()?;
                let first_cell = f.f32()?.max(0.0) as usize;
                let holders = f.f32()?.max(0.0) as usize;
                let top = f.f32()?.max(0.0) as usize;
                f.u8()?;
                let server = Some(self.server(f.u32()?));
                let play = Play {
                    product,
                    title,
                    first_cell,
                    holders,
                    top,
                    came: now,
                    limit,
                    server,
                    ..Play::default()
                };
                if !self.front.sells(product) {
                    die(who, &f.fault(&format!("there is no product {product}")), reply);
                    return Ok(());
                }
                let ply = self.keep(id, play);
                self.front.adopt(now, &mut self.plays, ply);
                self.set_timer(now, who, ply, reply);
            }
            19 => {
                let id = f.u64()?;
                if let Some(&ply) = self.by_id.get(&id) {
                    self.front.after(now, &mut self.plays, ply, Outcome::Playing, false);
                    self.set_timer(now, who, ply, reply);
                }
            }
            20 => {
                let id = f.u64()?;
                let outcome = outcome(f.u16()?).map_err(|e| f.fault(&e))?;
                let closed = f.u8()? != 0;
                f.u8()?;
                let id_of_server = f.u32()?;
                let server = self.server(id_of_server);
                f.ms()?;
                let stats = f.numbers()?;
                let next = self
                    .by_id
                    .get(&id)
                    .map(|&ply| (ply, self.front.after(now, &mut self.plays, ply, outcome, closed)));
                self.report(now, who, server, &stats, reply);
                match next {
                    Some((ply, Next::Ask)) => self.ask(now, who, ply, reply),
                    Some((ply, Next::Nothing)) => self.release(ply),
                    None => {}
                }
            }
            21 => {
                let id = f.u64()?;
                if let Some(&ply) = self.by_id.get(&id) {
                    self.front.left(&mut self.plays, ply);
                    self.release(ply);
                }
            }
            22 => {
                let ctx = f.u32()?;
                let ply = ctx as usize;
                if ctx == FOLLOW {
                    self.follow(who, false, reply);
                } else if self.slots.get(ply).and_then(|s| s.1).is_some_and(|due| due <= now) {
                    self.slots[ply].1 = None;
                    self.ask(now, who, ply, reply);
                }
            }
            23 => {
                f.ms()?;
                f.u16()?;
                let id = f.u32()?;
                let server = self.server(id);
                let stats = f.numbers()?;
                self.report(now, who, server, &stats, reply);
            }
            27 => {
                let id = f.u64()?;
                let amount = f.f32()?;
                let server_id = f.u32()?;
                let what = f.u8()?;
                let server = self.server(server_id);
                let Some(&ply) = self.by_id.get(&id) else { return Ok(()) };
                let figure = match what {
                    1 => Figure::Delivered(amount),
                    3 => Figure::Link(amount),
                    4 => Figure::Uplink(amount),
                    2 => {
                        self.front.rung_told(&mut self.plays, ply, amount.max(0.0) as usize);
                        return Ok(());
                    }
                    _ => return Ok(()),
                };
                let steps = self.front.figure(now, &mut self.plays, server, Some(ply), figure);
                self.grade(now, who, &steps, reply);
            }
            _ => {}
        }
        Ok(())
    }

    /// Asks where a play goes, and says so on the wire.
    fn ask(&mut self, now: f64, who: u32, ply: usize, reply: &mut Reply) {
        let id = self.slots[ply].0.to_le_bytes();
        let was = self.plays[ply].rung;
        let (place, steps) = self.front.place(now, &mut self.plays, ply);
        self.grade(now, who, &steps, reply);
        match place {
            Place::Send { server, rung, time_out } => {
                reply.record(28, who, &[&id, &[rung as u8]]);
                reply.record(
                    29,
                    who,
                    &[&id, &us(time_out.max(0.001)), &self.server_ids[server].to_le_bytes()],
                );
            }
            Place::Stays { rung } if rung != was => reply.record(28, who, &[&id, &[rung as u8]]),
            Place::Stays { .. } => {}
            Place::NotYet { sound_out } => {
                for server in sound_out {
                    reply.record(18, who, &[&self.server_ids[server].to_le_bytes()]);
                }
            }
            Place::Declined { pause } => reply.record(17, who, &[&id, &us(pause)]),
            Place::Failed => reply.record(25, who, &[&id]),
        }
        self.set_timer(now, who, ply, reply);
        self.release(ply);
    }

    fn report(&mut self, now: f64, who: u32, server: usize, stats: &[f64], reply: &mut Reply) {
        for (i, value) in stats.iter().enumerate() {
            let figure = match self.columns.get(i).map(String::as_str) {
                Some("x0") => Figure::Link(*value),
                Some("utilization") => Figure::LinkCapped(*value),
                Some("x1") => Figure::Uplink(*value),
                Some("outstanding") => Figure::Streams(*value),
                _ => continue,
            };
            let steps = self.front.figure(now, &mut self.plays, server, None, figure);
            self.grade(now, who, &steps, reply);
        }
    }

    fn grade(&mut self, now: f64, who: u32, steps: &Steps, reply: &mut Reply) {
        for (ply, rung) in steps {
            reply.record(28, who, &[&self.slots[*ply].0.to_le_bytes(), &[*rung as u8]]);
            self.set_timer(now, who, *ply, reply);
        }
    }

    /// Sets the play's timer anew where the wait has changed; stale ones are passed over when they ring.
    fn set_timer(&mut self, now: f64, who: u32, ply: usize, reply: &mut Reply) {
        let due = self.front.wait(now, &self.plays[ply]).map(|wait| (wait, now + wait));
        if due.map(|d| d.1) != self.slots[ply].1 {
            self.slots[ply].1 = due.map(|d| d.1);
            if let Some((wait, _)) = due {
                reply.record(24, who, &[&(ply as u32).to_le_bytes(), &us(wait)]);
            }
        }
    }

    /// Gives up the slot of a play that is over and has nothing out.
    fn release(&mut self, ply: usize) {
        if self.plays[ply].over
            && self.plays[ply].server.is_none()
            && self.by_id.remove(&self.slots[ply].0).is_some()
        {
            self.slots[ply].1 = None;
            self.free.push(ply);
        }
    }

    /// Asks discovery for changes, now or later, where the front says that it must be asked.
    fn follow(&mut self, who: u32, failed: bool, reply: &mut Reply) {
        match self.front.follow(failed) {
            Some(0.0) => reply.record(21, who, &[&[1]]),
            Some(pause) => reply.record(24, who, &[&FOLLOW.to_le_bytes(), &us(pause)]),
            None => {}
        }
    }
}

fn outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Finished,
        502 => Outcome::Error,
        429 => Outcome::Full,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::Broken,
        444 => Outcome::Withdrawn,
        409 => Outcome::NeverSent,
        _ => return Err(format!("there is no outcome {code}")),
    })
}
