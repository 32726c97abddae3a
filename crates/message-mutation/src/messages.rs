//! Encodes the messages that the simulated fronts receive, and parses them with the real codecs.

use pulleystair::{Listing, LoadMetric, Standing};
use pulleystair_rtsp as rtsp;
use pulleystair_viewer_protocol::{Message, code, encode, kind};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};

/// The class names of the products, by index.
pub const CLASSES: [&str; 3] = ["free", "paid", "keyed"];
/// The longest time limit that a viewer may set, ms.
const MAX_TIME_LIMIT_MS: f64 = 600_000.0;

/// The contents of a viewer's set-up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub play: u64,
    pub product: usize,
    pub title: String,
    pub time_limit: f64,
    pub first_cell: usize,
    pub holder_cells: usize,
    pub max_rung: usize,
}

/// Encodes a viewer's set-up.
pub fn encode_set_up(set_up: &SetUp) -> Vec<u8> {
    let extras = format!("home:{};copies:{};top:{}", set_up.first_cell, set_up.holder_cells, set_up.max_rung);
    let time_limit = format!("{}", set_up.time_limit);
    let parameters: Vec<(u8, &[u8])> = vec![
        (code::CLASS, CLASSES[set_up.product].as_bytes()),
        (code::TIME_LIMIT, time_limit.as_bytes()),
        (code::TITLE, set_up.title.as_bytes()),
        (code::EXTRAS, extras.as_bytes()),
    ];
    encode(kind::SET_UP, set_up.play, &parameters).unwrap_or_default()
}

/// Parses a set-up; `None` where it is invalid.
pub fn parse_set_up(bytes: &[u8]) -> Option<SetUp> {
    let (message, _) = Message::parse(bytes).ok()??;
    if message.kind != kind::SET_UP || message.parameters().any(|p| p.is_err()) {
        return None;
    }
    let product = CLASSES.iter().position(|c| Some(*c) == message.text(code::CLASS))?;
    let time_limit: f64 = message.text(code::TIME_LIMIT)?.parse().ok()?;
    let title = message.text(code::TITLE)?.to_string();
    let mut extras = [None; 3];
    for pair in message.text(code::EXTRAS)?.split(';') {
        let (name, value) = pair.split_once(':')?;
        let index = ["home", "copies", "top"].iter().position(|n| *n == name);
        index.into_iter().for_each(|i| extras[i] = value.parse::<usize>().ok());
    }
    let [Some(first_cell), Some(holder_cells), Some(max_rung)] = extras else { return None };
    let is_valid =
        (0.0..=MAX_TIME_LIMIT_MS).contains(&time_limit) && holder_cells > 0 && message.session != 0;
    is_valid.then_some(SetUp {
        play: message.session,
        product,
        title,
        time_limit,
        first_cell,
        holder_cells,
        max_rung,
    })
}

/// Encodes the response of the name service that lists these servers, without those that are gone.
pub fn encode_dns_response(id: u16, serial: u32, list: &[Listing]) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    packet.set_flags(PacketFlag::RESPONSE);
    for entry in list.iter().filter(|l| l.standing != Standing::Gone) {
        let target = format!("m{}.z{}.hosts", entry.server, entry.zone);
        let name = || Name::new(&target).map(Name::into_owned);
        let (Ok(service), Ok(host)) = (Name::new("_app._tcp.cluster.lan"), name()) else { continue };
        let priority = u16::from(entry.standing == Standing::Draining);
        let srv = SRV { priority, weight: 40, port: 2_905, target: host.clone() };
        packet.answers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SRV(srv)));
        let a = A { address: 0x0a00_0001 + entry.server as u32 };
        packet.additional_records.push(ResourceRecord::new(host.clone(), CLASS::IN, 0, RData::A(a)));
        let mut text = TXT::new();
        let started = format!("started={}", entry.started_at);
        let cell = format!("cell={}", entry.cell);
        for part in ["kind=std", &cell, &started] {
            if let Ok(string) = part.try_into() {
                text.add_char_string(string);
            }
        }
        packet.additional_records.push(ResourceRecord::new(
            host,
            CLASS::IN,
            0,
            RData::TXT(text.into_owned()),
        ));
    }
    if let (Ok(zone), Ok(mname), Ok(rname)) =
        (Name::new("cluster.lan"), Name::new("ns.hosts"), Name::new("admin.hosts"))
    {
        let soa = SOA { mname, rname, serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
        packet.name_servers.push(ResourceRecord::new(zone, CLASS::IN, 0, RData::SOA(soa)));
    }
    packet.build_bytes_vec().unwrap_or_default()
}

/// Listed servers by number.
pub type ServerList = Vec<(u32, Listing)>;

/// Parses a response of the name service into its id, its serial and the listed servers.
pub fn parse_dns_response(bytes: &[u8]) -> Option<(u16, u32, ServerList)> {
    let (serial, list) = pulleystair_dns_discovery::parse_response(bytes).ok()?;
    let listed = |entry: &pulleystair_dns_discovery::ServerEntry| {
        let server = entry.id.strip_prefix('m')?.parse::<usize>().ok().filter(|s| *s < 1_000)?;
        let zone = entry.zone.strip_prefix('z')?.parse().ok()?;
        let standing = entry.standing;
        let listing = Listing {
            server,
            zone,
            kind: 0,
            cell: entry.cell,
            standing,
            weight: entry.weight,
            started_at: entry.started_at,
        };
        Some((server as u32, listing))
    };
    Some((pulleystair_dns_discovery::response_id(bytes)?, serial, list.iter().filter_map(listed).collect()))
}

/// Encodes a media server's response to a set-up, with a load report. `link_load` is the share of the link in use.
pub fn encode_set_up_response(status: u16, play: u64, link_load: f64) -> Vec<u8> {
    let load_report = format!("x0:{link_load:.3};x1:{:.0}", link_load * 40.0);
    format!(
        "RTSP/1.0 {status} Told\r\nCSeq: 1\r\nSession: {play:016x}\r\nX-Circuits: {load_report}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes a media server's notice that a session has ended.
pub fn encode_teardown(play: u64) -> Vec<u8> {
    rtsp::encode_request("TEARDOWN", "s", 2, play, &[("Reason", "cause=16")], b"")
}

/// Encodes a media server's note on a running play: the load of its link.
pub fn encode_note(play: u64, metric: f64) -> Vec<u8> {
    rtsp::encode_request(
        "ANNOUNCE",
        "s",
        4,
        play,
        &[("X-Why", "l"), ("Figure", &format!("{metric:.3}"))],
        b"",
    )
}

/// The load metrics of a message's load report.
pub fn load_metrics(message: &rtsp::Message) -> Vec<LoadMetric> {
    let metric = |(name, x): (&str, f64)| match name {
        "x0" => Some(LoadMetric::Link(x)),
        "x1" => Some(LoadMetric::Streams(x)),
        _ => None,
    };
    message.load_values().filter_map(metric).collect()
}
