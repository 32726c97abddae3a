//! Delivers messages to the fronts and mutates the one that is to be mutated. Messages are parsed by the real codecs and passed to
//! the dispatcher, whose actions are then carried out. In observations, `session` and `allocation` are texts: front and play in hex,
//! and for an allocation its number.

use crate::messages::{self, SetUp};
use crate::{Kind, Mutation, fields};
use pulleystair::{Listing, LoadMetric, Outcome, Standing};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use pulleystair_edge::http;
use pulleystair_fleet_member::{Candidate, ListedServer, stable_id};
use pulleystair_gossip::front_id;
use pulleystair_gossip::message::FrontId;
use pulleystair_rtsp as rtsp;
use pulleystair_rule_checker::Observed;
use pulleystair_shared_state::Server;

use crate::front::{Action, ActionQueue, Session, front_name};
use crate::world::{
    COLD_MS, Delivery, Event, FRONTS, HTTP_FRONT, RECORDING_END_MS, SERVERS, STREAMS_PER_SERVER,
    TIME_LIMIT_MS, World,
};

impl World {
    // ---- messages ----

    /// Schedules a message that may be mutated on arrival.
    pub(crate) fn schedule_delivery(&mut self, delay: f64, delivery: Delivery) {
        self.schedule(delay, Event::Deliver(delivery));
    }

    /// Records an arriving message, applies the mutation if it is the one to be mutated, and delivers the others unchanged. After
    /// [`RECORDING_END_MS`], messages are only delivered.
    pub(crate) fn record_and_deliver(&mut self, delivery: Delivery) {
        if self.now > RECORDING_END_MS {
            return self.deliver(delivery);
        }
        let index = self.result.messages.len();
        self.result.messages.push((delivery.kind, delivery.bytes.clone()));
        let previous = self.previous.insert(delivery.kind, delivery.bytes.clone());
        let mutation = self.mutated.filter(|c| c.index == index).map(|c| c.mutation);
        let size = delivery.bytes.len();
        match mutation {
            Some(Mutation::Dropped) => {}
            Some(Mutation::Duplicated) => {
                self.deliver(delivery.clone());
                self.deliver(delivery);
            }
            Some(Mutation::Delayed(ms)) => self.schedule(f64::from(ms), Event::DeliverUnchanged(delivery)),
            Some(Mutation::Reordered) => self.held_back = Some(delivery),
            Some(Mutation::Truncated(eighths)) => {
                self.deliver(Delivery { bytes: delivery.bytes[..size * eighths / 8].to_vec(), ..delivery })
            }
            Some(Mutation::BitFlipped(part)) => {
                let mut bytes = delivery.bytes;
                bytes[size * part / 64] ^= 1 << (part % 8);
                self.deliver(Delivery { bytes, ..delivery });
            }
            Some(Mutation::FieldSet(field, value)) => {
                // The id of the fleet, which a gossip datagram carries in bytes 1 to 4; other kinds don't use it.
                let fleet_id =
                    delivery.bytes.get(1..5).and_then(|b| b.try_into().ok()).map_or(0, u32::from_be_bytes);
                if let Some(bytes) =
                    fields::set(delivery.kind, &delivery.bytes, field, value, previous.as_deref(), fleet_id)
                {
                    self.deliver(Delivery { bytes, ..delivery });
                }
            }
            None => {
                let to = delivery.to;
                self.deliver(delivery);
                if let Some(held) = self.held_back.take_if(|held| held.to == to) {
                    self.deliver(held);
                }
            }
        }
    }

    /// Passes a message to the front that it is for.
    pub(crate) fn deliver(&mut self, delivery: Delivery) {
        match delivery.kind {
            Kind::Viewer => self.receive_set_up(delivery.to, &delivery.bytes),
            Kind::Dns => self.receive_dns_response(delivery.to, &delivery.bytes),
            Kind::Gossip => {
                let now = self.now;
                let datagrams = self.fronts[delivery.to].member.receive(now, &delivery.bytes);
                self.send_datagrams(delivery.to, datagrams);
            }
            Kind::Rtsp => self.receive_rtsp(&delivery),
            Kind::Http => self.receive_http(&delivery),
        }
    }

    /// Sends gossip datagrams of a front to the others.
    pub(crate) fn send_datagrams(&mut self, from: usize, datagrams: Vec<pulleystair_fleet_member::Datagram>) {
        for datagram in datagrams {
            let to = (0..FRONTS).find(|front| front_id(&front_name(*front)) as FrontId == datagram.to);
            let Some(to) = to else { continue };
            let delay = 1.0 + 4.0 * self.random();
            self.schedule_delivery(
                delay,
                Delivery {
                    to,
                    kind: Kind::Gossip,
                    bytes: datagram.bytes,
                    from,
                    connection: 0,
                    allocation: (0, 0),
                },
            );
        }
    }

    /// Handles a viewer's set-up.
    pub(crate) fn receive_set_up(&mut self, front_id: usize, bytes: &[u8]) {
        // An invalid set-up is refused and makes no play; a known id belongs to the play that has it.
        let Some(set_up) = messages::parse_set_up(bytes) else { return };
        if self.fronts[front_id].sessions.contains_key(&set_up.play) {
            return;
        }
        self.request_count += 1;
        let (request, now) = (self.request_count, self.now);
        let SetUp { play, product, title, time_limit, first_cell, holder_cells, max_rung } = set_up;
        let session = format!("{front_id}-{play:x}");
        self.record(Observed::Asked {
            request,
            session,
            front: front_id,
            product,
            title: title.clone(),
            top: max_rung,
        });
        let play_request = PlayRequest {
            product,
            title: stable_id(&title),
            first_cell,
            holder_cells,
            max_rung,
            arrived_at: now,
            deadline: now + time_limit.min(TIME_LIMIT_MS),
        };
        let new_session = Session {
            request,
            product,
            title,
            allocation_number: 0,
            allocated_to: None,
            sent_at: 0.0,
            answered: false,
        };
        self.fronts[front_id].sessions.insert(play, new_session);
        self.call_dispatcher(front_id, |dispatcher, now, actions| {
            dispatcher.add_play(now, play, &play_request, actions)
        });
    }

    /// Handles a response of the name service: applies a newer list.
    pub(crate) fn receive_dns_response(&mut self, front_id: usize, bytes: &[u8]) {
        let Some((id, serial, entries)) = messages::parse_dns_response(bytes) else { return };
        let front = &mut self.fronts[front_id];
        if !front.dns_query_ids.contains(&id)
            || !pulleystair_dns_discovery::is_newer(front.list_serial, serial)
        {
            return;
        }
        front.list_serial = Some(serial);
        let listed = |(server, entry): &(u32, Listing)| ListedServer {
            server: Server {
                id: stable_id(&format!("m{server}")),
                zone: entry.zone,
                placement_cell: entry.cell,
                link: entry.weight,
            },
            process_started_at: entry.started_at as u64,
            cold_until: entry.started_at + COLD_MS,
        };
        let ready = entries.iter().filter(|l| l.1.standing == Standing::Ready);
        let ready_servers: Vec<ListedServer> = ready.map(listed).collect();
        let all = ready_servers.iter().map(|s| s.server.id).collect();
        front.member.update_list(&ready_servers, vec![all]);
        self.call_dispatcher(front_id, |dispatcher, now, _| {
            dispatcher.update_list(now, true, false, &entries)
        });
    }

    /// Handles an RTSP message of a server. One that can't be parsed breaks the connection and ends the open set-ups on it.
    pub(crate) fn receive_rtsp(&mut self, delivery: &Delivery) {
        let (front_id, server, now) = (delivery.to, delivery.from, self.now);
        if self.fronts[front_id].connections[server] != delivery.connection {
            return;
        }
        let Ok(Some((message, _))) = rtsp::Message::parse(&delivery.bytes) else {
            self.fronts[front_id].connections[server] += 1;
            let open =
                |(play, s): (&u64, &Session)| (s.allocated_to == Some((server, false))).then_some(*play);
            let open: Vec<u64> = self.fronts[front_id].sessions.iter().filter_map(open).collect();
            return open
                .into_iter()
                .for_each(|play| self.end_allocation(front_id, play, Outcome::Broken, &[]));
        };
        let play = message.session;
        let allocated_to = self.fronts[front_id]
            .sessions
            .get(&play)
            .and_then(|s| s.allocated_to)
            .filter(|at| at.0 == server);
        let load = messages::load_metrics(&message);
        match (&message.start, allocated_to) {
            (rtsp::StartLine::Response(200), Some((_, false))) => self.on_set_up(front_id, play, &load),
            (rtsp::StartLine::Response(status), Some((_, false))) if *status >= 300 => {
                self.on_refused(front_id, play, *status, &load)
            }
            (rtsp::StartLine::Request(method), Some((_, true))) if method == "TEARDOWN" => {
                self.end_allocation(front_id, play, Outcome::Finished, &[]);
            }
            (rtsp::StartLine::Request(method), Some((_, true))) if method == "ANNOUNCE" => {
                if let Some(metric) =
                    message.number_field("Figure").filter(|_| message.field("X-Why") == Some("l"))
                {
                    let metric = LoadMetric::Link(metric);
                    self.call_dispatcher(front_id, |dispatcher, _, actions| {
                        dispatcher.on_play_note(now, play, server as u32, metric, actions)
                    });
                }
            }
            _ => {}
        }
    }

    /// Handles an HTTP response of a server.
    pub(crate) fn receive_http(&mut self, delivery: &Delivery) {
        let (front_id, (play, allocation_number)) = (delivery.to, delivery.allocation);
        let is_pending = self.fronts[front_id].sessions.get(&play).is_some_and(|s| {
            s.allocation_number == allocation_number && s.allocated_to == Some((delivery.from, false))
        });
        if !is_pending {
            return;
        }
        match http::parse_response(&delivery.bytes) {
            Ok(Some((response, _))) if response.status == 200 => self.on_set_up(front_id, play, &[]),
            Ok(Some((response, _))) => self.on_refused(front_id, play, response.status, &[]),
            // The allocation has a connection of its own, so that a partial response means that it broke off.
            _ => self.end_allocation(front_id, play, Outcome::Broken, &[]),
        }
    }

    /// Handles that a server has set a play up: records it as playing and answered, and passes on the load report.
    pub(crate) fn on_set_up(&mut self, front_id: usize, play: u64, load: &[LoadMetric]) {
        let Some(session) = self.fronts[front_id].sessions.get_mut(&play) else { return };
        let Some((server, _)) = session.allocated_to else { return };
        session.allocated_to = Some((server, true));
        let allocation = format!("{front_id}-{play:x}-{}", session.allocation_number);
        self.report_result(front_id, play, server, Outcome::Playing);
        self.record(Observed::Done { allocation, ran: true, status: 200 });
        self.record_answer(front_id, play, 200);
        let load = load.to_vec();
        self.call_dispatcher(front_id, |dispatcher, now, actions| {
            dispatcher.on_playing(now, play, actions);
            dispatcher.on_load_report(now, server as u32, &load, actions);
        });
    }

    /// Handles that a server has refused a play: ends the allocation. The statuses 453 and 429 mean that the server is full.
    pub(crate) fn on_refused(&mut self, front_id: usize, play: u64, status: u16, load: &[LoadMetric]) {
        let Some(session) = self.fronts[front_id].sessions.get(&play) else { return };
        let full = status == 453 || status == 429;
        let allocation = format!("{front_id}-{play:x}-{}", session.allocation_number);
        self.record(Observed::Done { allocation, ran: !full, status: if full { 429 } else { 502 } });
        self.end_allocation(front_id, play, if full { Outcome::Full } else { Outcome::Error }, load);
    }

    /// Ends an open allocation or an established play, with this outcome and load report.
    pub(crate) fn end_allocation(
        &mut self,
        front_id: usize,
        play: u64,
        outcome: Outcome,
        load: &[LoadMetric],
    ) {
        let Some(session) = self.fronts[front_id].sessions.get_mut(&play) else { return };
        let Some((server, playing)) = session.allocated_to.take() else { return };
        let allocation = format!("{front_id}-{play:x}-{}", session.allocation_number);
        // For an established play the result of the allocation was reported when the server set it up.
        if !playing {
            self.report_result(front_id, play, server, outcome);
        }
        self.record(Observed::Closed { allocation });
        let load = load.to_vec();
        self.call_dispatcher(front_id, |dispatcher, now, actions| {
            dispatcher.on_allocation_ended(now, play, server as u32, outcome, playing, &load, actions)
        });
    }

    /// Reports the result of an allocation to the fleet member.
    pub(crate) fn report_result(&mut self, front_id: usize, play: u64, server: usize, outcome: Outcome) {
        let now = self.now;
        let Some(session) = self.fronts[front_id].sessions.get(&play) else { return };
        let (allocation_number, waited) = (session.allocation_number, now - session.sent_at);
        let id = stable_id(&format!("m{server}"));
        self.fronts[front_id].member.on_allocation_result(
            now,
            now,
            id,
            (play, allocation_number),
            outcome,
            waited,
        );
    }

    /// Records the final answer to the viewer; there must be only one.
    pub(crate) fn record_answer(&mut self, front_id: usize, play: u64, status: u16) {
        let Some(session) = self.fronts[front_id].sessions.get_mut(&play) else { return };
        assert!(!std::mem::replace(&mut session.answered, true), "a play was answered twice");
        let request = session.request;
        self.record(Observed::Answered { request, status });
    }

    // ---- actions of the dispatcher ----

    /// Calls the dispatcher, ends its turn and carries out the actions that it requested.
    pub(crate) fn call_dispatcher(
        &mut self,
        front_id: usize,
        call: impl FnOnce(&mut Dispatcher, f64, &mut ActionQueue),
    ) {
        let mut actions = ActionQueue::default();
        call(&mut self.fronts[front_id].dispatcher, self.now, &mut actions);
        self.fronts[front_id].dispatcher.end_turn(self.now, &mut actions);
        while let Some(action) = actions.0.pop_front() {
            match action {
                Action::RecordCandidates(candidates) => self.fronts[front_id].candidates = candidates,
                Action::Send(play, server, rung, time_out) => {
                    self.send_set_up(front_id, play, server as usize, rung, time_out)
                }
                Action::Withdraw(play) => self.end_allocation(front_id, play, Outcome::Withdrawn, &[]),
                Action::SetRung(play, rung) => {
                    if let Some(session) =
                        self.fronts[front_id].sessions.get(&play).filter(|s| s.allocated_to.is_some())
                    {
                        let allocation = format!("{front_id}-{play:x}-{}", session.allocation_number);
                        self.record(Observed::Rung { allocation, rung });
                    }
                }
                Action::Answer(play, status) => self.record_answer(front_id, play, status),
                Action::SetTimer(timer, delay) => self.schedule(delay, Event::Timer(front_id, timer)),
                Action::Probe(server) => {
                    let now = self.now;
                    self.fronts[front_id].member.on_probed(now, stable_id(&format!("m{server}")));
                }
            }
        }
    }

    /// Sends a set-up to a server: numbers the allocation, records the choice of the server, and schedules the time-out and what the
    /// server does. A server that is down or unknown is unreachable, and a silent one does nothing. Any other responds; if it sets the
    /// play up, it also ends the session later.
    pub(crate) fn send_set_up(
        &mut self,
        front_id: usize,
        play: u64,
        server: usize,
        rung: usize,
        time_out: f64,
    ) {
        let now = self.now;
        // Decides whether the server fails, how long it takes, and how long the session lasts.
        let draw = self.random();
        let front = &mut self.fronts[front_id];
        let Some(session) = front.sessions.get_mut(&play) else { return };
        assert!(session.allocated_to.is_none(), "a play has one allocation at a time");
        session.allocation_number += 1;
        (session.allocated_to, session.sent_at) = (Some((server, false)), now);
        let (allocation_number, product, title) =
            (session.allocation_number, session.product, session.title.clone());
        let candidate = |(candidate_server, chance, room): &(u32, f64, f64)| Candidate {
            server: stable_id(&format!("m{candidate_server}")),
            // Not simulated: all processes of a server count as one.
            process_started_at: 0,
            zone: *candidate_server as usize % 2,
            chance: *chance,
            room: *room,
        };
        let chosen = front.candidates.iter().position(|c| c.0 as usize == server);
        let candidates = front.candidates.iter().map(candidate).collect();
        front.member.on_sent(now, stable_id(&format!("m{server}")), allocation_number > 1);
        if let Some(chosen) = chosen {
            front.member.outcomes.record_choice(
                play,
                allocation_number,
                product as u16,
                // All titles count as one.
                1,
                chosen,
                candidates,
            );
        }
        self.result.allocations_sent += 1;
        self.schedule(time_out, Event::AllocationTimeOut(front_id, play, allocation_number));
        if server >= SERVERS || !self.servers[server].is_up {
            return self.schedule(1.0, Event::Unreachable(front_id, play, allocation_number));
        }
        let (allocation, session) =
            (format!("{front_id}-{play:x}-{allocation_number}"), format!("{front_id}-{play:x}"));
        self.record(Observed::SetUp { server, allocation, session, product, title, rung });
        if self.servers[server].is_silent {
            return;
        }
        let sessions_at_server = self.fronts.iter().flat_map(|f| f.sessions.values());
        let sessions_at_server =
            sessions_at_server.filter(|s| s.allocated_to.is_some_and(|at| at.0 == server)).count() as f64;
        let (delay, status) = match draw {
            _ if sessions_at_server > STREAMS_PER_SERVER => (2.0, 453),
            _ if draw < 0.08 => (3.0, 500),
            _ => (15.0 + 60.0 * draw, 200),
        };
        let delivery = if front_id == HTTP_FRONT {
            let status = if status == 453 { 429 } else { status };
            let head = if status == 200 { "Transfer-Encoding: chunked" } else { "Content-Length: 0" };
            let bytes = format!("HTTP/1.1 {status} Told\r\n{head}\r\n\r\n").into_bytes();
            Delivery {
                to: front_id,
                kind: Kind::Http,
                bytes,
                from: server,
                connection: 0,
                allocation: (play, allocation_number),
            }
        } else {
            let bytes =
                messages::encode_set_up_response(status, play, sessions_at_server / STREAMS_PER_SERVER);
            let connection = self.fronts[front_id].connections[server];
            Delivery {
                to: front_id,
                kind: Kind::Rtsp,
                bytes,
                from: server,
                connection,
                allocation: (play, allocation_number),
            }
        };
        self.schedule_delivery(delay, delivery);
        if status == 200 {
            self.schedule(
                delay + 200.0 + 500.0 * draw,
                Event::SessionEnd(front_id, server, play, allocation_number),
            );
        }
    }
}
