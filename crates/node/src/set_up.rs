//! Parses a viewer's set-up: what the viewer requests, or why the set-up cannot be used.

use crate::node::Node;
use crate::state::{CAUSE_WITHDRAWN, NodeState, Session};
use pulleystair_connections::ConnectionId;
use pulleystair_dispatcher::PlayRequest;
use pulleystair_viewer_protocol::{Message, code};
use std::net::IpAddr;

/// The longest time limit that a viewer may state, ms.
const MAX_TIME_LIMIT_MS: f64 = 600_000.0;

/// A parsed set-up.
pub(crate) struct SetUpRequest {
    /// What the dispatcher places.
    pub(crate) request: PlayRequest,
    pub(crate) class: String,
    pub(crate) title: String,
    pub(crate) description: Vec<u8>,
    /// The id of the server at which the session plays already, if the node is to adopt it.
    pub(crate) current_server_id: Option<String>,
}

impl Node {
    /// Parses a set-up. The error says why it cannot be used.
    pub(crate) fn parse_set_up(&self, now: f64, message: &Message) -> Result<SetUpRequest, &'static str> {
        if message.parameters().any(|p| p.is_err()) {
            return Err("a parameter cannot be parsed");
        }
        // Servers close the connection on id 0, which would also end the other set-ups that are pending on
        // it.
        if message.session == 0 {
            return Err("the session id is 0");
        }
        let limits = &self.state.limits;
        let class = message.text(code::CLASS).ok_or("the class is missing")?;
        let product = limits.products.iter().position(|p| p == class).ok_or("the class is unknown")?;
        if !self.dispatcher.has_product(product) {
            return Err("the class is unknown");
        }
        let title = message.text(code::TITLE).ok_or("the title is missing")?;
        let is_id = !title.is_empty() && title.len() <= 16 && title.bytes().all(|b| b.is_ascii_hexdigit());
        let title_id = u64::from_str_radix(title, 16)
            .ok()
            .filter(|_| is_id)
            .ok_or("the title is not an id of 1 to 16 hex digits")?;
        if let Some(hint) = message.get(code::HINT) {
            let hint: Option<f64> = std::str::from_utf8(hint).ok().and_then(|t| t.parse().ok());
            if !hint.is_some_and(|h| (0.0..1e12).contains(&h)) {
                return Err("the hint is not a time");
            }
        }
        let description = message.get(code::DESCRIPTION).ok_or("the description is missing")?.to_vec();
        let (mut first_cell, mut holder_cells, mut max_rung, mut current_server_id) =
            (None, None, None, None);
        for pair in message.text(code::EXTRAS).ok_or("home, copies and top are missing")?.split(';') {
            let (name, value) = pair.split_once(':').unwrap_or((pair, ""));
            let parse_count =
                || value.parse::<f64>().ok().filter(|x| *x >= 0.0 && x.fract() == 0.0).map(|x| x as usize);
            match name {
                "home" => {
                    first_cell =
                        Some(parse_count().filter(|x| *x < limits.cells).ok_or("home is out of range")?)
                }
                "copies" => {
                    holder_cells = Some(
                        parse_count()
                            .filter(|x| (1..=limits.cells).contains(x))
                            .ok_or("copies is out of range")?,
                    );
                }
                "top" => {
                    max_rung = Some(parse_count().filter(|x| *x < limits.rungs).ok_or("top is out of range")?)
                }
                "at" if !value.is_empty() && value.len() <= 64 => current_server_id = Some(value.to_string()),
                "at" => return Err("at is not a server id"),
                _ => {}
            }
        }
        let (Some(first_cell), Some(holder_cells), Some(max_rung)) = (first_cell, holder_cells, max_rung)
        else {
            return Err("home, copies or top is missing");
        };
        // An adopted session plays already, so its time limit no longer applies.
        let time_limit: f64 = message
            .text(code::TIME_LIMIT)
            .and_then(|t| t.parse().ok())
            .ok_or("the time limit is missing or not a number")?;
        if current_server_id.is_none() && !(time_limit > 0.0 && time_limit <= MAX_TIME_LIMIT_MS) {
            return Err("the time limit is out of range");
        }
        let request = PlayRequest {
            product,
            title: title_id,
            first_cell,
            holder_cells,
            max_rung,
            arrived_at: now,
            deadline: now + time_limit.clamp(0.0, MAX_TIME_LIMIT_MS),
        };
        Ok(SetUpRequest {
            request,
            class: class.to_string(),
            title: title.to_string(),
            description,
            current_server_id,
        })
    }
}

impl NodeState {
    /// Whether the memory for sessions, and for descriptions that wait to be sent, has room for a set-up.
    pub(crate) fn has_room_for(&self, set_up: &SetUpRequest) -> bool {
        let description_bytes = self.held_descriptions.get() + set_up.description.len();
        self.sessions.len() < self.shares.sessions && description_bytes <= self.shares.description_bytes
    }

    /// The session of a play that has no attempt yet.
    pub(crate) fn new_session(
        &self,
        viewer_connection_id: ConnectionId,
        viewer_ip: Option<IpAddr>,
        set_up: SetUpRequest,
    ) -> Session {
        Session {
            viewer_connection_id,
            viewer_ip,
            class: set_up.class,
            title: set_up.title,
            description: self.held_descriptions.hold(set_up.description),
            server_number: None,
            server_connection_id: None,
            is_playing: false,
            phase_started_at: 0.0,
            attempt_deadline: 0.0,
            attempts: 0,
            earlier_connections: Vec::new(),
            may_have_run: None,
            rung: 0,
            rung_sent: 0,
            release_cause: CAUSE_WITHDRAWN,
        }
    }
}
