//! The list of media servers: the events known at the start of a front, from JSON, and what the name service answers since,
//! from DNS messages. No I/O; called by the node.

use pulleystair::Standing;
use serde::Deserialize;
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use thiserror::Error;

/// What the list is asked for under.
const SERVICE_NAME: &str = "_app._tcp.cluster.lan";
/// Bytes of an answer at most: what a datagram can hold. Hundreds of servers fill more than 8 KiB.
pub const MAX_BYTES: usize = 64 << 10;
/// The priority that says that a server drains.
const DRAINING_PRIORITY: u16 = 1;
/// A record's weight for one of the list.
const WEIGHT_SCALE: f64 = 10.0;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: usize,
    pub standing: Standing,
    pub weight: f64,
    /// The Unix millisecond of a late start, or 0.
    pub started: f64,
}

/// The events of the start, in the order in which they came.
#[derive(Debug, Deserialize)]
pub struct InitialEvents {
    pub rev: u32,
    pub notices: Vec<ListEvent>,
}

/// One of them: the list, whole or what changed of it.
#[derive(Debug, Deserialize)]
pub struct ListEvent {
    pub rev: u32,
    pool: Pool,
}

#[derive(Debug, Deserialize)]
struct Pool {
    #[serde(default)]
    full: bool,
    servers: Vec<ServerRecord>,
}

#[derive(Debug, Deserialize)]
struct ServerRecord {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: usize,
    state: ServerState,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    InService,
    Terminating,
    Terminated,
}

impl ListEvent {
    /// Whether it holds the whole list, and its lines.
    pub fn entries(&self) -> (bool, Vec<ServerEntry>) {
        let entry = |record: &ServerRecord| ServerEntry {
            id: record.id.clone(),
            address: record.addr,
            zone: record.zone.clone(),
            kind: record.kind.clone(),
            cell: record.cell,
            standing: match record.state {
                ServerState::InService => Standing::Ready,
                ServerState::Terminating => Standing::Draining,
                ServerState::Terminated => Standing::Gone,
            },
            weight: record.weight,
            started: record.started_ms,
        };
        (self.pool.full, self.pool.servers.iter().map(entry).collect())
    }
}

impl InitialEvents {
    /// What all the events come to, in their order: the list, and whether it is whole.
    pub fn merged_list(&self) -> (bool, Vec<ServerEntry>) {
        let (mut is_whole, mut list): (bool, Vec<ServerEntry>) = (false, Vec::new());
        let mut indices: HashMap<String, usize> = HashMap::new();
        for event in &self.notices {
            let (is_whole_list, entries) = event.entries();
            if is_whole_list {
                (is_whole, list) = (true, Vec::new());
                indices.clear();
            }
            for entry in entries {
                match indices.get(&entry.id) {
                    Some(index) => list[*index] = entry,
                    None => {
                        indices.insert(entry.id.clone(), list.len());
                        list.push(entry);
                    }
                }
            }
        }
        (is_whole, list)
    }
}

/// Why an answer of the name service was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    #[error("it can't be read: {0}")]
    Unparsable(String),
    #[error("it is no answer to what was asked")]
    NotAResponse,
    #[error("it was cut short")]
    Truncated,
    #[error("the name service reports a failure: {0}")]
    ServerFailure(String),
    #[error("it has no serial")]
    MissingSerial,
    #[error("{0} has no address, or not what is to be known of it")]
    Incomplete(String),
}

/// So many events may have come since the last that is known, at most; a serial that says more is a spoilt one, which would
/// make every later list an older one.
const MAX_REVISION_STEP: u32 = 1 << 16;

/// Whether an answer of this serial is newer than what is known.
pub fn is_newer(rev: Option<u32>, serial: u32) -> bool {
    rev.is_none_or(|rev| serial > rev && serial - rev <= MAX_REVISION_STEP)
}

/// The question for the whole list, under an id that its answer is to have.
pub fn query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let name = Name::new_unchecked(SERVICE_NAME);
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec().unwrap_or_default()
}

/// The id of an answer, which says whose it is.
pub fn response_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk::<2>().map(|id| u16::from_be_bytes(*id))
}

/// The number of the last event that an answer holds, and the whole list.
pub fn parse_response(bytes: &[u8]) -> Result<(u32, Vec<ServerEntry>), ResponseError> {
    let packet = Packet::parse(bytes).map_err(|e| ResponseError::Unparsable(e.to_string()))?;
    if !packet.has_flags(PacketFlag::RESPONSE) {
        return Err(ResponseError::NotAResponse);
    }
    if packet.has_flags(PacketFlag::TRUNCATION) {
        return Err(ResponseError::Truncated);
    }
    if packet.rcode() != RCODE::NoError {
        return Err(ResponseError::ServerFailure(format!("{:?}", packet.rcode())));
    }
    let serial = packet
        .name_servers
        .iter()
        .find_map(|r| if let RData::SOA(soa) = &r.rdata { Some(soa.serial) } else { None });
    let serial = serial.ok_or(ResponseError::MissingSerial)?;
    let mut addresses_by_name = HashMap::new();
    let mut attributes_by_name = HashMap::new();
    for record in packet.answers.iter().chain(&packet.additional_records) {
        match &record.rdata {
            RData::A(a) => drop(addresses_by_name.insert(record.name.to_string(), Ipv4Addr::from(a.address))),
            RData::TXT(txt) => drop(attributes_by_name.insert(record.name.to_string(), txt.attributes())),
            _ => {}
        }
    }
    let mut list = Vec::new();
    for record in &packet.answers {
        let RData::SRV(srv) = &record.rdata else { continue };
        let target = srv.target.to_string();
        let incomplete = || ResponseError::Incomplete(target.clone());
        let address = addresses_by_name.get(&target).ok_or_else(incomplete)?;
        let attributes = attributes_by_name.get(&target).ok_or_else(incomplete)?;
        let attribute = |name: &str| attributes.get(name).and_then(|v| v.as_deref()).ok_or_else(incomplete);
        let mut labels = target.split('.');
        let (Some(id), Some(zone)) = (labels.next(), labels.next()) else { return Err(incomplete()) };
        let started_ms: f64 = attribute("started")?.parse().map_err(|_| incomplete())?;
        list.push(ServerEntry {
            id: id.to_string(),
            address: SocketAddr::V4(SocketAddrV4::new(*address, srv.port)),
            zone: zone.to_string(),
            kind: attribute("kind")?.to_string(),
            cell: attribute("cell")?.parse().map_err(|_| incomplete())?,
            standing: if srv.priority == DRAINING_PRIORITY { Standing::Draining } else { Standing::Ready },
            weight: f64::from(srv.weight) / WEIGHT_SCALE,
            started: if started_ms.is_finite() { started_ms } else { 0.0 },
        });
    }
    Ok((serial, list))
}
