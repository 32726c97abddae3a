//! A viewer's set-up as it is read: what it wants, or why it can't be used.

use crate::node::Node;
use crate::state::{CAUSE_WITHDRAWN, Session};
use pulleystair_connections::ConnectionId;
use pulleystair_dispatcher::PlayRequest;
use pulleystair_viewer_protocol::{Message, code};

/// The longest time that a viewer may say that it waits, ms.
const MAX_TIME_LIMIT_MS: f64 = 600_000.0;

/// A set-up as it was read.
pub(crate) struct SetUpRequest {
    pub(crate) request: PlayRequest,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    pub(crate) adopted_from: Option<String>,
}

impl Node {
    pub(crate) fn parse_set_up(&self, now: f64, message: &Message) -> Result<SetUpRequest, &'static str> {
        if message.parameters().any(|p| p.is_err()) {
            return Err("a parameter does not fit");
        }
        // Servers close on it, and what is open beside it there would end too.
        if message.session == 0 {
            return Err("no id");
        }
        let limits = &self.state.limits;
        let class = message.text(code::CLASS).ok_or("no class")?;
        let product = limits.products.iter().position(|p| p == class).ok_or("unknown class")?;
        if !self.dispatcher.has_product(product) {
            return Err("unknown class");
        }
        let title = message.text(code::TITLE).ok_or("no title")?;
        let is_id = !title.is_empty() && title.len() <= 16 && title.bytes().all(|b| b.is_ascii_hexdigit());
        let title_id = u64::from_str_radix(title, 16).ok().filter(|_| is_id).ok_or("title is no id")?;
        if let Some(hint) = message.get(code::HINT) {
            let hint: Option<f64> = std::str::from_utf8(hint).ok().and_then(|t| t.parse().ok());
            if !hint.is_some_and(|h| (0.0..1e12).contains(&h)) {
                return Err("hint is no time");
            }
        }
        let description = message.get(code::DESCRIPTION).ok_or("no description")?.to_vec();
        let (mut first_cell, mut holders, mut max_rung, mut adopted_from) = (None, None, None, None);
        for pair in message.text(code::EXTRAS).ok_or("no figures")?.split(';') {
            let (name, value) = pair.split_once(':').unwrap_or((pair, ""));
            let parse_count =
                || value.parse::<f64>().ok().filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as usize);
            match name {
                "home" => {
                    first_cell = Some(parse_count().filter(|x| *x < limits.cells).ok_or("home out of range")?)
                }
                "copies" => {
                    holders = Some(
                        parse_count()
                            .filter(|x| (1..=limits.cells).contains(x))
                            .ok_or("copies out of range")?,
                    );
                }
                "top" => {
                    max_rung = Some(parse_count().filter(|x| *x < limits.rungs).ok_or("top out of range")?)
                }
                "at" if !value.is_empty() && value.len() <= 64 => adopted_from = Some(value.to_string()),
                "at" => return Err("at names no server"),
                _ => {}
            }
        }
        let (Some(first_cell), Some(holders), Some(max_rung)) = (first_cell, holders, max_rung) else {
            return Err("figures are missing");
        };
        // Of a session that plays no clock runs any more.
        let time_limit: f64 =
            message.text(code::TIME_LIMIT).and_then(|t| t.parse().ok()).ok_or("no time limit")?;
        if adopted_from.is_none() && !(time_limit > 0.0 && time_limit <= MAX_TIME_LIMIT_MS) {
            return Err("time limit out of range");
        }
        let request = PlayRequest {
            product,
            title: title_id,
            first_cell,
            holders,
            max_rung,
            arrived_at: now,
            deadline: now + time_limit.clamp(0.0, MAX_TIME_LIMIT_MS),
        };
        Ok(SetUpRequest {
            request,
            class: class.to_string(),
            title: title.to_string(),
            description,
            adopted_from,
        })
    }
}

pub(crate) fn new_session(
    viewer_connection: ConnectionId,
    viewer_ip: Option<std::net::IpAddr>,
    set_up: SetUpRequest,
) -> Session {
    Session {
        viewer_connection,
        viewer_ip,
        class: set_up.class,
        title: set_up.title,
        description: set_up.description,
        server: None,
        server_connection: None,
        is_playing: false,
        since: 0.0,
        attempt_deadline: 0.0,
        attempts: 0,
        abandoned_connections: Vec::new(),
        rung: 0,
        rung_sent: 0,
        release_cause: CAUSE_WITHDRAWN,
    }
}
