//! The list of media servers: the events known when a node starts, from JSON, and the later responses of the
//! name service, from DNS messages. No I/O; called by the node, the fuzz checks and the message mutation.

use pulleystair::Standing;
use serde::Deserialize;
use simple_dns::rdata::RData;
use simple_dns::{CLASS, Name, Packet, PacketFlag, QCLASS, QTYPE, Question, RCODE, TYPE};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use thiserror::Error;

/// The name whose SRV records make up the list.
const SERVICE_NAME: &str = "_app._tcp.cluster.lan";
/// Maximum number of bytes of a response: the size of a UDP datagram. A list of hundreds of servers needs
/// more than 8 KiB.
pub const MAX_BYTES: usize = 64 << 10;
/// The SRV priority of a server that is draining.
const DRAINING_PRIORITY: u16 = 1;
/// The weight of an SRV record is the weight in the list times this.
const WEIGHT_SCALE: f64 = 10.0;

/// A server's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: String,
    pub address: SocketAddr,
    /// The name of the zone in which the server is.
    pub zone: String,
    /// The name of the kind of server.
    pub kind: String,
    /// The number of the cell to which the server belongs.
    pub cell: usize,
    pub standing: Standing,
    pub weight: f64,
    /// When the server started, Unix ms, if it started late; otherwise 0. A later time than that of the
    /// previous list means a restart.
    pub started_at: f64,
}

/// The events known when a node starts, in order.
#[derive(Debug, Deserialize)]
pub struct InitialEvents {
    /// The revision of the list after these events.
    #[serde(rename = "rev")]
    pub revision: u32,
    /// The events, oldest first.
    pub notices: Vec<ListEvent>,
}

/// One event: the whole list, or the entries that have changed.
#[derive(Debug, Deserialize)]
pub struct ListEvent {
    /// The event's number, which is the revision of the list after it.
    #[serde(rename = "rev")]
    pub revision: u32,
    pool: Pool,
}

/// The servers of an event.
#[derive(Debug, Deserialize)]
struct Pool {
    /// Whether the servers are the whole list.
    #[serde(default)]
    full: bool,
    servers: Vec<ServerRecord>,
}

/// A server as an event describes it.
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

/// The state of a server in an event.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ServerState {
    InService,
    Terminating,
    Terminated,
}

impl ListEvent {
    /// The entries of this event, and whether they are the whole list.
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
            started_at: record.started_ms,
        };
        (self.pool.full, self.pool.servers.iter().map(entry).collect())
    }
}

impl InitialEvents {
    /// Merges all events in order into one list. Returns whether the list is whole, and the list.
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

/// Why a response of the name service was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ResponseError {
    #[error("the id of the DNS response belongs to no recent query")]
    UnknownId,
    #[error("the DNS response cannot be parsed: {0}")]
    Unparsable(String),
    #[error("the DNS message is not a response")]
    NotAResponse,
    #[error("the DNS response is truncated")]
    Truncated,
    #[error("the name service reports an error: {0}")]
    ServerFailure(String),
    #[error("the DNS response has no serial")]
    MissingSerial,
    #[error("server {0} has no address or lacks attributes")]
    Incomplete(String),
}

/// The most events that can have happened since the last known one. A serial that is further ahead is
/// corrupt; accepting it would make every later list look old.
const MAX_REVISION_STEP: u32 = 1 << 16;

/// Whether a response's serial, which is the revision of its list, is newer than the known revision.
pub fn is_newer(revision: Option<u32>, serial: u32) -> bool {
    revision.is_none_or(|revision| serial > revision && serial - revision <= MAX_REVISION_STEP)
}

/// Encodes the DNS query for the whole list. The response will carry the same id.
pub fn query(id: u16) -> Vec<u8> {
    let mut packet = Packet::new_query(id);
    let name = Name::new_unchecked(SERVICE_NAME);
    packet.questions.push(Question::new(name, QTYPE::TYPE(TYPE::SRV), QCLASS::CLASS(CLASS::IN), false));
    packet.build_bytes_vec().unwrap_or_default()
}

/// The id of a DNS response, which says which query it answers.
pub fn response_id(bytes: &[u8]) -> Option<u16> {
    bytes.first_chunk::<2>().map(|id| u16::from_be_bytes(*id))
}

/// Parses a DNS response. Returns the serial, which is the number of the last event that the list includes,
/// and the whole list.
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
            started_at: if started_ms.is_finite() { started_ms } else { 0.0 },
        });
    }
    Ok((serial, list))
}
