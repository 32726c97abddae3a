//! A viewer's set-up as it is read: what it wants, or why it can't be used.

use crate::floor::{Session, WITHDRAWN};
use crate::node::Node;
use pulleystair_connections::ConnectionId;
use pulleystair_dispatcher::PlayRequest;
use pulleystair_viewer_protocol::{Message, code};

/// The longest time that a viewer may say that it waits, ms.
const LONGEST: f64 = 600_000.0;

/// A set-up as it was read.
pub(crate) struct Asked {
    pub(crate) wish: PlayRequest,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    pub(crate) at: Option<String>,
}

impl Node {
    pub(crate) fn read_set_up(&self, now: f64, message: &Message) -> Result<Asked, &'static str> {
        if message.parameters().any(|p| p.is_err()) {
            return Err("a parameter does not fit");
        }
        // Servers close on it, and what is open beside it there would end too.
        if message.session == 0 {
            return Err("no id");
        }
        let terms = &self.floor.terms;
        let class = message.text(code::CLASS).ok_or("no class")?;
        let product = terms.products.iter().position(|p| p == class).ok_or("unknown class")?;
        if !self.desk.has_product(product) {
            return Err("unknown class");
        }
        let title = message.text(code::TITLE).ok_or("no title")?;
        let digits = !title.is_empty() && title.len() <= 16 && title.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(title, 16).ok().filter(|_| digits).ok_or("title is no id")?;
        if let Some(hint) = message.get(code::HINT) {
            let hint: Option<f64> = std::str::from_utf8(hint).ok().and_then(|t| t.parse().ok());
            if !hint.is_some_and(|h| (0.0..1e12).contains(&h)) {
                return Err("hint is no time");
            }
        }
        let description = message.get(code::DESCRIPTION).ok_or("no description")?.to_vec();
        let (mut home, mut copies, mut top, mut at) = (None, None, None, None);
        for pair in message.text(code::EXTRAS).ok_or("no figures")?.split(';') {
            let (name, value) = pair.split_once(':').unwrap_or((pair, ""));
            let figure =
                || value.parse::<f64>().ok().filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as usize);
            match name {
                "home" => home = Some(figure().filter(|x| *x < terms.cells).ok_or("home out of range")?),
                "copies" => {
                    copies = Some(
                        figure().filter(|x| (1..=terms.cells).contains(x)).ok_or("copies out of range")?,
                    );
                }
                "top" => top = Some(figure().filter(|x| *x < terms.rungs).ok_or("top out of range")?),
                "at" if !value.is_empty() && value.len() <= 64 => at = Some(value.to_string()),
                "at" => return Err("at names no server"),
                _ => {}
            }
        }
        let (Some(first_cell), Some(holders), Some(top)) = (home, copies, top) else {
            return Err("figures are missing");
        };
        // Of a session that plays no clock runs any more.
        let limit: f64 =
            message.text(code::TIME_LIMIT).and_then(|t| t.parse().ok()).ok_or("no time limit")?;
        if at.is_none() && !(limit > 0.0 && limit <= LONGEST) {
            return Err("time limit out of range");
        }
        let wish = PlayRequest {
            product,
            title: number,
            first_cell,
            holders,
            max_rung: top,
            arrived_at: now,
            deadline: now + limit.clamp(0.0, LONGEST),
        };
        Ok(Asked { wish, class: class.to_string(), title: title.to_string(), description, at })
    }
}

pub(crate) fn session(viewer: ConnectionId, from: Option<std::net::IpAddr>, asked: Asked) -> Session {
    Session {
        viewer,
        from,
        class: asked.class,
        title: asked.title,
        description: asked.description,
        server: None,
        line: None,
        playing: false,
        since: 0.0,
        until: 0.0,
        attempts: 0,
        used: Vec::new(),
        rung: 0,
        rung_sent: 0,
        cause: WITHDRAWN,
    }
}
