//! The instances of one process: decodes events into calls on their desks, encodes what the desks want done.

use crate::frame::{Fields, Reply, records, us};
use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing};
use pulleystair_dispatcher::{Actions, Dispatcher, PlayRequest};
use pulleystair_settings::{LoadColumns, parse_settings};
use std::collections::{BTreeMap, BTreeSet};

struct Instance {
    desk: Dispatcher,
    columns: LoadColumns,
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
        let mut told = BTreeSet::new();
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
            told.insert(who);
            if code == 16 {
                let salt = f.u64()?;
                let size = f.u32()? as usize;
                match parse_settings(f.bytes(size)?) {
                    Ok(sheet) => {
                        let mut instance = Instance::new(sheet, salt);
                        instance.desk.watch_list(false, &mut Wire { who, reply: &mut reply });
                        self.instances.insert(who, instance);
                    }
                    Err(e) => die(who, &f.fault(&e), &mut reply),
                }
            } else if code == 25 {
                self.instances.remove(&who);
            } else if let Some(instance) = self.instances.get_mut(&who) {
                instance.event(now, code, &mut f, &self.tables, &mut Wire { who, reply: &mut reply })?;
            } else {
                eprintln!("pulleystair-drill: {}", f.fault(&format!("there is no instance {who}")));
            }
        }
        for who in told {
            if let Some(instance) = self.instances.get_mut(&who) {
                instance.desk.end_turn(now, &mut Wire { who, reply: &mut reply });
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
        lines.push((id, Listing { server: 0, zone, kind, cell, standing, weight, started_at: born }));
    }
    Ok((table, lines))
}

impl Instance {
    fn new(sheet: Settings, salt: u64) -> Instance {
        Instance { columns: LoadColumns::from_settings(&sheet), desk: Dispatcher::new(sheet, salt) }
    }

    fn event(
        &mut self,
        now: f64,
        code: u8,
        f: &mut Fields,
        tables: &BTreeMap<u8, Vec<Line>>,
        hands: &mut Wire,
    ) -> Result<(), String> {
        match code {
            17 => {
                let how = f.u8()?;
                f.u64()?;
                let table = f.u8()?;
                if how == 3 {
                    self.desk.watch_list(true, hands);
                    return Ok(());
                }
                let lines =
                    tables.get(&table).ok_or_else(|| f.fault(&format!("there is no census {table}")))?;
                self.desk.update_list(now, how != 0, how == 2, lines);
            }
            18 => {
                let id = f.u64()?;
                let top = f.f32()?.max(0.0) as usize;
                f.u64()?;
                f.u8()?;
                let holders = f.f32()?.max(0.0) as usize;
                f.u32()?;
                let title = f.u64()?;
                let limit = now + f.ms()?;
                let first_cell = f.f32()?.max(0.0) as usize;
                f.ms()?;
                let product = f.u16()?.into();
                let wish = PlayRequest {
                    product,
                    title,
                    first_cell,
                    holders,
                    max_rung: top,
                    arrived_at: now,
                    deadline: limit,
                };
                if self.sells(&wish, f, hands) {
                    self.desk.add_play(now, id, &wish, hands);
                }
            }
            26 => {
                let id = f.u64()?;
                let product = f.u16()?.into();
                f.u32()?;
                f.u64()?;
                let title = f.u64()?;
                let limit = now + f.ms()?;
                f.ms()?;
                let first_cell = f.f32()?.max(0.0) as usize;
                let holders = f.f32()?.max(0.0) as usize;
                let top = f.f32()?.max(0.0) as usize;
                f.u8()?;
                let server = f.u32()?;
                let wish = PlayRequest {
                    product,
                    title,
                    first_cell,
                    holders,
                    max_rung: top,
                    arrived_at: now,
                    deadline: limit,
                };
                if self.sells(&wish, f, hands) {
                    self.desk.adopt(now, id, &wish, server, hands);
                }
            }
            19 => self.desk.on_playing(now, f.u64()?, hands),
            20 => {
                let id = f.u64()?;
                let outcome = outcome(f.u16()?).map_err(|e| f.fault(&e))?;
                let closed = f.u8()? != 0;
                f.u8()?;
                let server = f.u32()?;
                f.ms()?;
                let load = self.columns.load_metrics(&f.numbers()?);
                self.desk.on_allocation_ended(now, id, server, outcome, closed, &load, hands);
            }
            21 => self.desk.on_viewer_left(f.u64()?, hands),
            22 => self.desk.on_timer(now, f.u32()?, hands),
            23 => {
                f.ms()?;
                f.u16()?;
                let server = f.u32()?;
                let load = self.columns.load_metrics(&f.numbers()?);
                self.desk.on_load_report(now, server, &load, hands);
            }
            27 => {
                let id = f.u64()?;
                let amount = f.f32()?;
                let server = f.u32()?;
                match f.u8()? {
                    1 => self.desk.on_play_note(now, id, server, LoadMetric::Delivered(amount), hands),
                    2 => self.desk.set_adopted_rung(id, amount.max(0.0) as usize),
                    3 => self.desk.on_play_note(now, id, server, LoadMetric::Link(amount), hands),
                    4 => self.desk.on_play_note(now, id, server, LoadMetric::Uplink(amount), hands),
                    _ => {}
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn sells(&self, wish: &PlayRequest, f: &Fields, hands: &mut Wire) -> bool {
        let sells = self.desk.has_product(wish.product);
        if !sells {
            die(hands.who, &f.fault(&format!("there is no product {}", wish.product)), hands.reply);
        }
        sells
    }
}

/// Writes what an instance's desk wants done as records of the reply.
struct Wire<'a> {
    who: u32,
    reply: &'a mut Reply,
}

impl Wire<'_> {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.record(code, self.who, fields);
    }
}

impl Actions for Wire<'_> {
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        self.set_rung(play, rung);
        self.record(29, &[&play.to_le_bytes(), &us(time_out.max(0.001)), &server.to_le_bytes()]);
    }

    /// The bench withdraws by itself what a viewer has left.
    fn withdraw(&mut self, _play: u64) {}

    fn set_rung(&mut self, play: u64, rung: usize) {
        self.record(28, &[&play.to_le_bytes(), &[rung as u8]]);
    }

    fn probe(&mut self, server: u32) {
        self.record(18, &[&server.to_le_bytes()]);
    }

    fn decline(&mut self, play: u64, pause: f64) {
        self.record(17, &[&play.to_le_bytes(), &us(pause)]);
    }

    fn fail(&mut self, play: u64) {
        self.record(25, &[&play.to_le_bytes()]);
    }

    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.record(24, &[&mark.to_le_bytes(), &us(wait)]);
    }

    fn watch_list(&mut self) {
        self.record(21, &[&[1]]);
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
