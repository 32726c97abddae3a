//! The fields of each kind of message, and how one is set to another value. The rest of the message stays valid, including its
//! checksum.

use crate::{FieldValue, Kind};
use pulleystair_gossip::message::Message as GossipMessage;
use pulleystair_viewer_protocol::{self as protocol, Message};
use simple_dns::Packet;
use simple_dns::rdata::RData;
use std::ops::Range;

/// The value of a text field set to [`FieldValue::Max`]; no integer type of the codecs can hold it.
const MAX_NUMBER: &str = "99999999999999999999";
/// Number of fields of a gossip datagram: of the message, of its first known row version and of its first change.
const GOSSIP_FIELDS: usize = 15;
/// Number of fields of a DNS response: serial, id, and priority, weight and port of the first server.
const DNS_FIELDS: usize = 5;

/// The names of a text message's fields and the ranges of their values. The first, with an empty name, is the second word of the
/// start line: the status of a response, the target of a request.
fn text_values(bytes: &[u8]) -> Vec<(String, Range<usize>)> {
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

/// The number of field indices to try on a message; [`set`] returns `None` for one whose field the message lacks.
pub fn field_count(kind: Kind, bytes: &[u8]) -> usize {
    match kind {
        // Session, length and kind, then the parameters.
        Kind::Viewer => match Message::parse(bytes) {
            Ok(Some((message, _))) => 3 + message.parameters().count(),
            _ => 0,
        },
        Kind::Rtsp | Kind::Http => text_values(bytes).len(),
        Kind::Dns => DNS_FIELDS,
        Kind::Gossip => GOSSIP_FIELDS,
    }
}

/// Returns the message with this field set, or `None` where the message lacks the field. `previous` is the previous message of this
/// kind; the value is taken from it for [`FieldValue::Previous`], and there is `None` if it lacks the field. `fleet_id` is the id of
/// the fleet that a gossip datagram belongs to.
pub fn set(
    kind: Kind,
    bytes: &[u8],
    field: usize,
    value: FieldValue,
    previous: Option<&[u8]>,
    fleet_id: u32,
) -> Option<Vec<u8>> {
    match kind {
        Kind::Viewer => set_viewer_field(bytes, field, value, previous),
        Kind::Rtsp | Kind::Http => set_text_field(bytes, field, value, previous),
        Kind::Dns => set_dns_field(bytes, field, value, previous),
        Kind::Gossip => set_gossip_field(bytes, field, value, previous, fleet_id),
    }
}

/// The value to set: the least, the greatest or the previous one; `None` where there is no previous value.
fn choose_value<T>(value: FieldValue, min: T, max: T, previous: Option<T>) -> Option<T> {
    match value {
        FieldValue::Min => Some(min),
        FieldValue::Max => Some(max),
        FieldValue::Previous => previous,
    }
}

/// Sets a field of a viewer's message: 0 is the session, 1 the length, 2 the kind; the parameters follow.
fn set_viewer_field(
    bytes: &[u8],
    field: usize,
    value: FieldValue,
    previous: Option<&[u8]>,
) -> Option<Vec<u8>> {
    let (message, _) = Message::parse(bytes).ok()??;
    let other = previous.and_then(|b| Message::parse(b).ok()?).map(|m| m.0);
    let mut parameters: Vec<(u8, &[u8])> = message.parameters().map_while(Result::ok).collect();
    let (mut session, mut kind) = (message.session, message.kind);
    match field {
        0 => session = choose_value(value, 0, u64::MAX, other.map(|o| o.session))?,
        1 => {
            let length =
                choose_value(value, [0, 0], [0xff, 0xff], previous.and_then(|b| b.first_chunk()).copied())?;
            return Some([&length, &bytes[2..]].concat());
        }
        2 => kind = choose_value(value, 0, u8::MAX, other.map(|o| o.kind))?,
        _ => {
            let (code, current) = parameters.get_mut(field - 3)?;
            *current =
                choose_value(value, &b"0"[..], MAX_NUMBER.as_bytes(), other.and_then(|o| o.get(*code)))?;
        }
    }
    protocol::encode(kind, session, &parameters)
}

/// Sets a field of an RTSP or HTTP message; the index is that in [`text_values`].
fn set_text_field(bytes: &[u8], field: usize, value: FieldValue, previous: Option<&[u8]>) -> Option<Vec<u8>> {
    let all = text_values(bytes);
    let (name, range) = all.get(field)?.clone();
    let previous_value =
        previous.and_then(|b| text_values(b).into_iter().find(|v| v.0 == name).map(|v| &b[v.1]));
    let value = choose_value(value, &b"0"[..], MAX_NUMBER.as_bytes(), previous_value)?;
    Some([&bytes[..range.start], value, &bytes[range.end..]].concat())
}

/// Sets a field of a DNS response: 0 is the serial, 1 the id, 2 to 4 are priority, weight and port of the first server.
fn set_dns_field(bytes: &[u8], field: usize, value: FieldValue, previous: Option<&[u8]>) -> Option<Vec<u8>> {
    let mut packet = Packet::parse(bytes).ok()?;
    let other = previous.and_then(|b| Packet::parse(b).ok());
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
            let previous_value = other.as_mut().and_then(|o| serial(o).copied());
            *serial(&mut packet)? = choose_value(value, 0, u32::MAX, previous_value)?;
        }
        1 => packet.set_id(choose_value(value, 0, u16::MAX, other.as_ref().map(Packet::id))?),
        _ => {
            let previous_value = other.as_mut().and_then(|o| server(o).cloned());
            let srv = server(&mut packet)?;
            let previous_field =
                |get_field: fn(&simple_dns::rdata::SRV) -> u16| previous_value.as_ref().map(get_field);
            match field {
                2 => srv.priority = choose_value(value, 0, u16::MAX, previous_field(|s| s.priority))?,
                3 => srv.weight = choose_value(value, 0, u16::MAX, previous_field(|s| s.weight))?,
                _ => srv.port = choose_value(value, 0, u16::MAX, previous_field(|s| s.port))?,
            }
        }
    }
    packet.build_bytes_vec().ok()
}

/// Sets a field of a gossip datagram: 0 to 2 are those of the message, 3 to 7 those of its first known row version, 8 to 14 those of
/// its first change.
fn set_gossip_field(
    bytes: &[u8],
    field: usize,
    value: FieldValue,
    previous: Option<&[u8]>,
    fleet_id: u32,
) -> Option<Vec<u8>> {
    let mut message = GossipMessage::decode(bytes, fleet_id).ok()?;
    let other = previous.and_then(|b| GossipMessage::decode(b, fleet_id).ok());
    let previous_message = other.as_ref();
    let known = previous_message.and_then(|o| o.known.first());
    let change = previous_message.and_then(|o| o.changes.first());
    match field {
        0 => message.from = choose_value(value, 0, u32::MAX, previous_message.map(|o| o.from))?,
        1 => message.nonce = choose_value(value, 0, u32::MAX, previous_message.map(|o| o.nonce))?,
        2 => message.echo = choose_value(value, None, Some(u32::MAX), previous_message.map(|o| o.echo))?,
        3 => message.known.first_mut()?.origin = choose_value(value, 0, u32::MAX, known.map(|k| k.origin))?,
        4 => {
            message.known.first_mut()?.incarnation =
                choose_value(value, 0, u64::MAX, known.map(|k| k.incarnation))?
        }
        5 => message.known.first_mut()?.version = choose_value(value, 0, u64::MAX, known.map(|k| k.version))?,
        6 => {
            message.known.first_mut()?.age =
                choose_value(value, Some(0), Some(u32::MAX), known.map(|k| k.age))?
        }
        7 => {
            message.known.first_mut()?.checksum =
                choose_value(value, None, Some(u32::MAX), known.map(|k| k.checksum))?
        }
        8 => {
            message.changes.first_mut()?.known.origin =
                choose_value(value, 0, u32::MAX, change.map(|c| c.known.origin))?
        }
        9 => {
            let previous_value = change.map(|c| c.known.incarnation);
            message.changes.first_mut()?.known.incarnation =
                choose_value(value, 0, u64::MAX, previous_value)?;
        }
        10 => {
            let previous_value = change.map(|c| c.known.version);
            message.changes.first_mut()?.known.version = choose_value(value, 0, u64::MAX, previous_value)?;
        }
        11 => {
            message.changes.first_mut()?.known.age =
                choose_value(value, Some(0), Some(u32::MAX), change.map(|c| c.known.age))?
        }
        12 => {
            message.changes.first_mut()?.after_version =
                choose_value(value, 0, u64::MAX, change.map(|c| c.after_version))?
        }
        13 => {
            let previous_value = change.and_then(|c| c.cells.first()).map(|c| c.key);
            message.changes.first_mut()?.cells.first_mut()?.key =
                choose_value(value, 0, u16::MAX, previous_value)?;
        }
        _ => {
            let previous_value = change.and_then(|c| c.cells.first()).map(|c| c.value.clone());
            let cell = message.changes.first_mut()?.cells.first_mut()?;
            cell.value = choose_value(value, Vec::new(), vec![0xff; cell.value.len()], previous_value)?;
        }
    }
    Some(message.encode(fleet_id))
}
