//! The fields of each kind of message, and how one is set to another value; all else of the message stays sound, its
//! checksum too.

use crate::{FieldValue, Kind};
use pulleystair_gossip::message::Message as Row;
use pulleystair_viewer_protocol::{self as protocol, Message};
use simple_dns::Packet;
use simple_dns::rdata::RData;
use std::ops::Range;

const GREATEST: &str = "99999999999999999999";
/// Fields of a datagram between fronts: of the message, of what it tells first, and of its first change.
const OF_ROW: usize = 15;
/// Serial, id, and priority, weight and port of the first server.
const OF_NAMES: usize = 5;

/// Where the values of a text message's fields are, by name; the status or method is the first.
fn values(bytes: &[u8]) -> Vec<(String, Range<usize>)> {
    let mut out = Vec::new();
    let mut at = 0;
    for line in bytes.split_inclusive(|b| *b == b'\n') {
        let text = String::from_utf8_lossy(line);
        let text = text.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, from) = match (out.is_empty(), text.find(' '), text.find(": ")) {
            (true, Some(space), _) => ("", space + 1),
            (false, _, Some(colon)) => (&text[..colon], colon + 2),
            _ => break,
        };
        let to =
            if out.is_empty() { text[from..].find(' ').map_or(text.len(), |n| from + n) } else { text.len() };
        out.push((name.to_string(), at + from..at + to));
        at += line.len();
    }
    out
}

pub fn count(kind: Kind, bytes: &[u8]) -> usize {
    match kind {
        // Its session, length and type, then its parameters.
        Kind::Signal => match Message::parse(bytes) {
            Ok(Some((message, _))) => 3 + message.parameters().count(),
            _ => 0,
        },
        Kind::Rtsp | Kind::Http => values(bytes).len(),
        Kind::Names => OF_NAMES,
        Kind::Row => OF_ROW,
    }
}

/// The message with this field set; none where the field is not there.
pub fn set(
    kind: Kind,
    bytes: &[u8],
    field: usize,
    to: FieldValue,
    before: Option<&[u8]>,
    fleet: u32,
) -> Option<Vec<u8>> {
    match kind {
        Kind::Signal => set_signal(bytes, field, to, before),
        Kind::Rtsp | Kind::Http => set_text(bytes, field, to, before),
        Kind::Names => set_names(bytes, field, to, before),
        Kind::Row => set_row(bytes, field, to, before, fleet),
    }
}

fn pick<T>(to: FieldValue, least: T, greatest: T, before: Option<T>) -> Option<T> {
    match to {
        FieldValue::Least => Some(least),
        FieldValue::Greatest => Some(greatest),
        FieldValue::Neighbours => before,
    }
}

fn set_signal(bytes: &[u8], field: usize, to: FieldValue, before: Option<&[u8]>) -> Option<Vec<u8>> {
    let (message, _) = Message::parse(bytes).ok()??;
    let other = before.and_then(|b| Message::parse(b).ok()?).map(|m| m.0);
    let mut parameters: Vec<(u8, &[u8])> = message.parameters().map_while(Result::ok).collect();
    let (mut session, mut kind) = (message.session, message.kind);
    match field {
        0 => session = pick(to, 0, u64::MAX, other.map(|o| o.session))?,
        1 => {
            let length = pick(to, [0, 0], [0xff, 0xff], before.and_then(|b| b.first_chunk()).copied())?;
            return Some([&length, &bytes[2..]].concat());
        }
        2 => kind = pick(to, 0, u8::MAX, other.map(|o| o.kind))?,
        _ => {
            let (code, value) = parameters.get_mut(field - 3)?;
            *value = pick(to, &b"0"[..], GREATEST.as_bytes(), other.and_then(|o| o.get(*code)))?;
        }
    }
    protocol::encode(kind, session, &parameters)
}

fn set_text(bytes: &[u8], field: usize, to: FieldValue, before: Option<&[u8]>) -> Option<Vec<u8>> {
    let all = values(bytes);
    let (name, range) = all.get(field)?.clone();
    let same = before.and_then(|b| values(b).into_iter().find(|v| v.0 == name).map(|v| &b[v.1]));
    let value = pick(to, &b"0"[..], GREATEST.as_bytes(), same)?;
    Some([&bytes[..range.start], value, &bytes[range.end..]].concat())
}

fn set_names(bytes: &[u8], field: usize, to: FieldValue, before: Option<&[u8]>) -> Option<Vec<u8>> {
    let mut packet = Packet::parse(bytes).ok()?;
    let other = before.and_then(|b| Packet::parse(b).ok());
    fn serial<'a>(p: &'a mut Packet) -> Option<&'a mut u32> {
        p.name_servers.iter_mut().find_map(|r| match &mut r.rdata {
            RData::SOA(soa) => Some(&mut soa.serial),
            _ => None,
        })
    }
    fn server<'a, 'p>(p: &'a mut Packet<'p>) -> Option<&'a mut simple_dns::rdata::SRV<'p>> {
        p.answers.iter_mut().find_map(|r| match &mut r.rdata {
            RData::SRV(srv) => Some(srv),
            _ => None,
        })
    }
    let mut other = other;
    match field {
        0 => {
            let was = other.as_mut().and_then(|o| serial(o).copied());
            *serial(&mut packet)? = pick(to, 0, u32::MAX, was)?;
        }
        1 => packet.set_id(pick(to, 0, u16::MAX, other.as_ref().map(Packet::id))?),
        _ => {
            let was = other.as_mut().and_then(|o| server(o).cloned());
            let it = server(&mut packet)?;
            let of = |pick: fn(&simple_dns::rdata::SRV) -> u16| was.as_ref().map(pick);
            match field {
                2 => it.priority = pick(to, 0, u16::MAX, of(|s| s.priority))?,
                3 => it.weight = pick(to, 0, u16::MAX, of(|s| s.weight))?,
                _ => it.port = pick(to, 0, u16::MAX, of(|s| s.port))?,
            }
        }
    }
    packet.build_bytes_vec().ok()
}

fn set_row(bytes: &[u8], field: usize, to: FieldValue, before: Option<&[u8]>, fleet: u32) -> Option<Vec<u8>> {
    let mut it = Row::decode(bytes, fleet).ok()?;
    let other = before.and_then(|b| Row::decode(b, fleet).ok());
    let o = other.as_ref();
    let known = o.and_then(|o| o.known.first());
    let change = o.and_then(|o| o.changes.first());
    match field {
        0 => it.from = pick(to, 0, u32::MAX, o.map(|o| o.from))?,
        1 => it.nonce = pick(to, 0, u32::MAX, o.map(|o| o.nonce))?,
        2 => it.echo = pick(to, None, Some(u32::MAX), o.map(|o| o.echo))?,
        3 => it.known.first_mut()?.origin = pick(to, 0, u32::MAX, known.map(|k| k.origin))?,
        4 => it.known.first_mut()?.incarnation = pick(to, 0, u64::MAX, known.map(|k| k.incarnation))?,
        5 => it.known.first_mut()?.version = pick(to, 0, u64::MAX, known.map(|k| k.version))?,
        6 => it.known.first_mut()?.age = pick(to, Some(0), Some(u32::MAX), known.map(|k| k.age))?,
        7 => it.known.first_mut()?.sum = pick(to, None, Some(u32::MAX), known.map(|k| k.sum))?,
        8 => it.changes.first_mut()?.known.origin = pick(to, 0, u32::MAX, change.map(|c| c.known.origin))?,
        9 => {
            let was = change.map(|c| c.known.incarnation);
            it.changes.first_mut()?.known.incarnation = pick(to, 0, u64::MAX, was)?;
        }
        10 => {
            let was = change.map(|c| c.known.version);
            it.changes.first_mut()?.known.version = pick(to, 0, u64::MAX, was)?;
        }
        11 => {
            it.changes.first_mut()?.known.age =
                pick(to, Some(0), Some(u32::MAX), change.map(|c| c.known.age))?
        }
        12 => it.changes.first_mut()?.from = pick(to, 0, u64::MAX, change.map(|c| c.from))?,
        13 => {
            let was = change.and_then(|c| c.cells.first()).map(|c| c.key);
            it.changes.first_mut()?.cells.first_mut()?.key = pick(to, 0, u16::MAX, was)?;
        }
        _ => {
            let was = change.and_then(|c| c.cells.first()).map(|c| c.value.clone());
            let cell = it.changes.first_mut()?.cells.first_mut()?;
            cell.value = pick(to, Vec::new(), vec![0xff; cell.value.len()], was)?;
        }
    }
    Some(it.encode(fleet))
}
