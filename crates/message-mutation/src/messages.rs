//! What a front of this small world reads from bytes, by the real codecs; and the messages that are written to it.

use pulleystair::{Listing, LoadMetric, Standing};
use pulleystair_rtsp as rtsp;
use pulleystair_viewer_protocol::{Message, code, encode, kind};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, PacketFlag, ResourceRecord};

pub const CLASSES: [&str; 3] = ["free", "paid", "keyed"];
/// The longest time that a viewer may say that it waits, ms.
const LONGEST: f64 = 600_000.0;

/// A viewer's set-up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub play: u64,
    pub product: usize,
    pub title: String,
    pub limit: f64,
    pub first_cell: usize,
    pub holders: usize,
    pub top: usize,
}

pub fn set_up(it: &SetUp) -> Vec<u8> {
    let extras = format!("home:{};copies:{};top:{}", it.first_cell, it.holders, it.top);
    let limit = format!("{}", it.limit);
    let parameters: Vec<(u8, &[u8])> = vec![
        (code::CLASS, CLASSES[it.product].as_bytes()),
        (code::TIME_LIMIT, limit.as_bytes()),
        (code::TITLE, it.title.as_bytes()),
        (code::EXTRAS, extras.as_bytes()),
    ];
    encode(kind::SET_UP, it.play, &parameters).unwrap_or_default()
}

/// A set-up that can be used.
pub fn read_set_up(bytes: &[u8]) -> Option<SetUp> {
    let (message, _) = Message::parse(bytes).ok()??;
    if message.kind != kind::SET_UP || message.parameters().any(|p| p.is_err()) {
        return None;
    }
    let product = CLASSES.iter().position(|c| Some(*c) == message.text(code::CLASS))?;
    let limit: f64 = message.text(code::TIME_LIMIT)?.parse().ok()?;
    let title = message.text(code::TITLE)?.to_string();
    let mut extras = [None; 3];
    for pair in message.text(code::EXTRAS)?.split(';') {
        let (name, value) = pair.split_once(':')?;
        let at = ["home", "copies", "top"].iter().position(|n| *n == name);
        at.into_iter().for_each(|at| extras[at] = value.parse::<usize>().ok());
    }
    let [Some(first_cell), Some(holders), Some(top)] = extras else { return None };
    let sound = (0.0..=LONGEST).contains(&limit) && holders > 0 && message.session != 0;
    sound.then_some(SetUp { play: message.session, product, title, limit, first_cell, holders, top })
}

/// The four servers as the name service tells them.
pub fn names(id: u16, serial: u32, list: &[Listing]) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    packet.set_flags(PacketFlag::RESPONSE);
    for line in list.iter().filter(|l| l.standing != Standing::Gone) {
        let target = format!("m{}.z{}.hosts", line.server, line.zone);
        let name = || Name::new(&target).map(Name::into_owned);
        let (Ok(service), Ok(host)) = (Name::new("_app._tcp.cluster.lan"), name()) else { continue };
        let priority = u16::from(line.standing == Standing::Draining);
        let srv = SRV { priority, weight: 40, port: 2_905, target: host.clone() };
        packet.answers.push(ResourceRecord::new(service, CLASS::IN, 0, RData::SRV(srv)));
        let a = A { address: 0x0a00_0001 + line.server as u32 };
        packet.additional_records.push(ResourceRecord::new(host.clone(), CLASS::IN, 0, RData::A(a)));
        let mut text = TXT::new();
        let born = format!("started={}", line.started_at);
        let cell = format!("cell={}", line.cell);
        for part in ["kind=std", &cell, &born] {
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

/// Servers by number, as the list has them.
pub type Lines = Vec<(u32, Listing)>;

/// An answer of the name service: its id, its serial, the servers by number.
pub fn read_names(bytes: &[u8]) -> Option<(u16, u32, Lines)> {
    let (serial, list) = pulleystair_dns_discovery::parse_response(bytes).ok()?;
    let line = |it: &pulleystair_dns_discovery::ServerEntry| {
        let server = it.id.strip_prefix('m')?.parse::<usize>().ok().filter(|s| *s < 1_000)?;
        let zone = it.zone.strip_prefix('z')?.parse().ok()?;
        let standing = it.standing;
        let listing = Listing {
            server,
            zone,
            kind: 0,
            cell: it.cell,
            standing,
            weight: it.weight,
            started_at: it.started,
        };
        Some((server as u32, listing))
    };
    Some((pulleystair_dns_discovery::response_id(bytes)?, serial, list.iter().filter_map(line).collect()))
}

/// A media server's answer to a set-up, or the end of a session that stood.
pub fn answer(status: u16, play: u64, link: f64) -> Vec<u8> {
    let report = format!("x0:{link:.3};x1:{:.0}", link * 40.0);
    format!(
        "RTSP/1.0 {status} Told\r\nCSeq: 1\r\nSession: {play:016x}\r\nX-Circuits: {report}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

pub fn ending(play: u64) -> Vec<u8> {
    rtsp::request("TEARDOWN", "s", 2, play, &[("Reason", "cause=16")], b"")
}

pub fn note(play: u64, figure: f64) -> Vec<u8> {
    rtsp::request("ANNOUNCE", "s", 4, play, &[("X-Why", "l"), ("Figure", &format!("{figure:.3}"))], b"")
}

pub fn report(message: &rtsp::Message) -> Vec<LoadMetric> {
    let figure = |(name, x): (&str, f64)| match name {
        "x0" => Some(LoadMetric::Link(x)),
        "x1" => Some(LoadMetric::Streams(x)),
        _ => None,
    };
    message.report().filter_map(figure).collect()
}
