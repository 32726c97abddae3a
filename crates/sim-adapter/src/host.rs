//! The fronts simulated by this process, called instances: decodes the simulator's events into calls of their dispatchers,
//! and encodes the actions that the dispatchers request. Times are in ms, in the protocol in µs.

use crate::frame::{Fields, Reply, encode_ms_as_us, records};
use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing};
use pulleystair_dispatcher::{Actions, Dispatcher, PlayRequest};
use pulleystair_settings::{LoadColumns, parse_settings};
use std::collections::{BTreeMap, BTreeSet};

/// One simulated front.
struct Instance {
    dispatcher: Dispatcher,
    columns: LoadColumns,
}

/// An entry of a server table: the server's id in the protocol, and the entry without a server index.
type TableEntry = (u32, Listing);

/// All instances by id, and the server tables that the simulator has sent, by number.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u8, Vec<TableEntry>>,
}

/// Codes and names of the events that the simulator sends.
const EVENT_NAMES: [(u8, &str); 13] = [
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

impl Instances {
    /// Handles one batch, which is a timestamp and events, and returns the body of the reply.
    pub fn run_batch(&mut self, body: &[u8]) -> Result<Vec<u8>, String> {
        let timestamp = body.first_chunk::<8>().ok_or("the batch ends within its timestamp")?;
        let now = u64::from_le_bytes(*timestamp) as f64 / 1000.0;
        let mut reply = Reply::default();
        let mut instances_called = BTreeSet::new();
        for record in records(&body[8..]) {
            let (code, start, record_fields) = record?;
            // Codes that later versions of the protocol may add are ignored.
            let Some((_, name)) = EVENT_NAMES.iter().find(|(c, _)| *c == code) else { continue };
            let mut fields = Fields::new(name, start + 8, record_fields);
            if code == 28 {
                // CENSUS: a server table, for later MEMBERS events.
                let (table, entries) = parse_server_table(&mut fields)?;
                self.tables.insert(table, entries);
                continue;
            }
            let instance_id = fields.read_u32()?;
            instances_called.insert(instance_id);
            if code == 16 {
                // ENLIST: a new instance with its seed and settings.
                let seed = fields.read_u64()?;
                let size = fields.read_u32()? as usize;
                match parse_settings(fields.read_bytes(size)?) {
                    Ok(settings) => {
                        let mut instance = Instance::new(settings, seed);
                        instance
                            .dispatcher
                            .watch_list(false, &mut ReplyActions { instance_id, reply: &mut reply });
                        self.instances.insert(instance_id, instance);
                    }
                    Err(e) => report_failed_instance(instance_id, &fields.error_at(&e), &mut reply),
                }
            } else if code == 25 {
                // HALT: the instance ends.
                self.instances.remove(&instance_id);
            } else if let Some(instance) = self.instances.get_mut(&instance_id) {
                instance.handle_event(
                    now,
                    code,
                    &mut fields,
                    &self.tables,
                    &mut ReplyActions { instance_id, reply: &mut reply },
                )?;
            } else {
                eprintln!(
                    "pulleystair-drill: {}",
                    fields.error_at(&format!("there is no instance {instance_id}"))
                );
            }
        }
        for instance_id in instances_called {
            if let Some(instance) = self.instances.get_mut(&instance_id) {
                instance.dispatcher.end_turn(now, &mut ReplyActions { instance_id, reply: &mut reply });
            }
        }
        Ok(reply.0)
    }
}

/// Tells the simulator that an instance has failed (record 19), and writes the cause to standard error.
fn report_failed_instance(instance_id: u32, cause: &str, reply: &mut Reply) {
    let text = &cause.as_bytes()[..cause.len().min(u16::MAX.into())];
    reply.record(19, instance_id, &[&(text.len() as u16).to_le_bytes(), text]);
    eprintln!("pulleystair-drill: instance {instance_id}: {cause}");
}

/// Reads a server table: its number and its entries.
fn parse_server_table(fields: &mut Fields) -> Result<(u8, Vec<TableEntry>), String> {
    let table = fields.read_u8()?;
    let count = fields.read_u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let server_id = fields.read_u32()?;
        let (zone, kind, cell) =
            (fields.read_u16()?.into(), fields.read_u8()?.into(), fields.read_u16()?.into());
        let standing = match fields.read_u8()? {
            0 => Standing::Gone,
            1 => Standing::Ready,
            _ => Standing::Draining,
        };
        let (weight, started_at) = (fields.read_f32()?, fields.read_u64()? as f64 / 1000.0);
        entries.push((server_id, Listing { server: 0, zone, kind, cell, standing, weight, started_at }));
    }
    Ok((table, entries))
}

impl Instance {
    fn new(settings: Settings, seed: u64) -> Instance {
        Instance {
            columns: LoadColumns::from_settings(&settings),
            dispatcher: Dispatcher::new(settings, seed),
        }
    }

    /// Handles one event of this instance. Fields that the dispatcher has no use for are read and discarded, to get to those
    /// after them.
    fn handle_event(
        &mut self,
        now: f64,
        code: u8,
        fields: &mut Fields,
        tables: &BTreeMap<u8, Vec<TableEntry>>,
        actions: &mut ReplyActions,
    ) -> Result<(), String> {
        match code {
            // MEMBERS: the server list, by the number of a table. Kind 0 is changes, 1 the whole list, 2 a cached list, 3 a
            // failed call of discovery.
            17 => {
                let change_kind = fields.read_u8()?;
                fields.read_u64()?;
                let table = fields.read_u8()?;
                if change_kind == 3 {
                    self.dispatcher.watch_list(true, actions);
                    return Ok(());
                }
                let entries = tables
                    .get(&table)
                    .ok_or_else(|| fields.error_at(&format!("there is no server table {table}")))?;
                self.dispatcher.update_list(now, change_kind != 0, change_kind == 2, entries);
            }
            // KNOCK: a viewer requests a play.
            18 => {
                let play_id = fields.read_u64()?;
                let max_rung = fields.read_f32()?.max(0.0) as usize;
                fields.read_u64()?;
                fields.read_u8()?;
                let holder_cells = fields.read_f32()?.max(0.0) as usize;
                fields.read_u32()?;
                let title = fields.read_u64()?;
                let deadline = now + fields.read_us_as_ms()?;
                let first_cell = fields.read_f32()?.max(0.0) as usize;
                fields.read_us_as_ms()?;
                let product = fields.read_u16()?.into();
                let request = PlayRequest {
                    product,
                    title,
                    first_cell,
                    holder_cells,
                    max_rung,
                    arrived_at: now,
                    deadline,
                };
                if self.check_product(&request, fields, actions) {
                    self.dispatcher.add_play(now, play_id, &request, actions);
                }
            }
            // EXISTING: a play that ran before the instance started.
            26 => {
                let play_id = fields.read_u64()?;
                let product = fields.read_u16()?.into();
                fields.read_u32()?;
                fields.read_u64()?;
                let title = fields.read_u64()?;
                let deadline = now + fields.read_us_as_ms()?;
                fields.read_us_as_ms()?;
                let first_cell = fields.read_f32()?.max(0.0) as usize;
                let holder_cells = fields.read_f32()?.max(0.0) as usize;
                let max_rung = fields.read_f32()?.max(0.0) as usize;
                fields.read_u8()?;
                let server_id = fields.read_u32()?;
                let request = PlayRequest {
                    product,
                    title,
                    first_cell,
                    holder_cells,
                    max_rung,
                    arrived_at: now,
                    deadline,
                };
                if self.check_product(&request, fields, actions) {
                    self.dispatcher.adopt(now, play_id, &request, server_id, actions);
                }
            }
            // ESTABLISHED: an allocation plays.
            19 => self.dispatcher.on_playing(now, fields.read_u64()?, actions),
            // RESULT: an allocation has ended.
            20 => {
                let play_id = fields.read_u64()?;
                let outcome = outcome_of_code(fields.read_u16()?).map_err(|e| fields.error_at(&e))?;
                let closed = fields.read_u8()? != 0;
                fields.read_u8()?;
                let server_id = fields.read_u32()?;
                fields.read_us_as_ms()?;
                let load = self.columns.load_metrics(&fields.read_f32_list()?);
                self.dispatcher.on_allocation_ended(now, play_id, server_id, outcome, closed, &load, actions);
            }
            // DROPPED: the viewer has left.
            21 => self.dispatcher.close_play(fields.read_u64()?, actions),
            // ALARM: a timer has fired.
            22 => self.dispatcher.on_timer(now, fields.read_u32()?, actions),
            // ECHO: a probe is answered.
            23 => {
                fields.read_us_as_ms()?;
                fields.read_u16()?;
                let server_id = fields.read_u32()?;
                let load = self.columns.load_metrics(&fields.read_f32_list()?);
                self.dispatcher.on_load_report(now, server_id, &load, actions);
            }
            // NOTE: a server's note about a running play.
            27 => {
                let play_id = fields.read_u64()?;
                let value = fields.read_f32()?;
                let server_id = fields.read_u32()?;
                match fields.read_u8()? {
                    1 => self.dispatcher.on_play_note(
                        now,
                        play_id,
                        server_id,
                        LoadMetric::Delivered(value),
                        actions,
                    ),
                    2 => self.dispatcher.set_adopted_rung(play_id, value.max(0.0) as usize),
                    3 => self.dispatcher.on_play_note(
                        now,
                        play_id,
                        server_id,
                        LoadMetric::Link(value),
                        actions,
                    ),
                    4 => self.dispatcher.on_play_note(
                        now,
                        play_id,
                        server_id,
                        LoadMetric::Uplink(value),
                        actions,
                    ),
                    _ => {}
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Whether the instance has the requested product; reports the instance as failed if not.
    fn check_product(&self, request: &PlayRequest, fields: &Fields, actions: &mut ReplyActions) -> bool {
        let has_product = self.dispatcher.has_product(request.product);
        if !has_product {
            report_failed_instance(
                actions.instance_id,
                &fields.error_at(&format!("there is no product {}", request.product)),
                actions.reply,
            );
        }
        has_product
    }
}

/// Writes the actions that an instance's dispatcher requests as records of the reply. Their codes are numbered apart from
/// those of events ([`EVENT_NAMES`]): record 18 asks for a probe, event 18 is KNOCK.
struct ReplyActions<'a> {
    instance_id: u32,
    reply: &'a mut Reply,
}

impl ReplyActions<'_> {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.record(code, self.instance_id, fields);
    }
}

impl Actions for ReplyActions<'_> {
    fn send(&mut self, play_id: u64, server_id: u32, rung: usize, time_out: f64) {
        self.set_rung(play_id, rung);
        self.record(
            29,
            &[&play_id.to_le_bytes(), &encode_ms_as_us(time_out.max(0.001)), &server_id.to_le_bytes()],
        );
    }

    /// Nothing to do: the simulator itself withdraws the allocation of a viewer who has left.
    fn withdraw(&mut self, _play_id: u64) {}

    fn set_rung(&mut self, play_id: u64, rung: usize) {
        self.record(28, &[&play_id.to_le_bytes(), &[rung as u8]]);
    }

    fn probe(&mut self, server_id: u32) {
        self.record(18, &[&server_id.to_le_bytes()]);
    }

    fn decline(&mut self, play_id: u64, retry_after: f64) {
        self.record(17, &[&play_id.to_le_bytes(), &encode_ms_as_us(retry_after)]);
    }

    fn fail(&mut self, play_id: u64) {
        self.record(25, &[&play_id.to_le_bytes()]);
    }

    fn set_timer(&mut self, timer: u32, delay: f64) {
        self.record(24, &[&timer.to_le_bytes(), &encode_ms_as_us(delay)]);
    }

    fn watch_list(&mut self) {
        self.record(21, &[&[1]]);
    }
}

/// The outcome that a code of the RESULT event stands for.
fn outcome_of_code(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Finished,
        502 => Outcome::Error,
        429 => Outcome::Full,
        408 => Outcome::TimedOut,
        521 => Outcome::Unreachable,
        520 => Outcome::Broken,
        444 => Outcome::Withdrawn,
        409 => Outcome::NeverSent,
        _ => return Err(format!("unknown outcome code {code}")),
    })
}
