//! Messages as they come in, changed where they are to be, read by the real codecs and told to the desk; and what the
//! desk has done.

use crate::inbox::{self, SetUp};
use crate::{Kind, Mutation, fields};
use pulleystair::{Listing, LoadMetric, Outcome as End, Standing};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use pulleystair_edge::http;
use pulleystair_fleet_member::{Candidate, ListedServer, stable_id};
use pulleystair_gossip::message::Origin;
use pulleystair_gossip::origin_of;
use pulleystair_rtsp as rtsp;
use pulleystair_rule_checker::Observed;
use pulleystair_shared_state::Server;

use crate::front::{Deed, Deeds, Session, name};
use crate::world::{BY_HTTP, COLD, Event, FRONTS, LIMIT, Mail, RECORDED, SERVERS, STREAMS, World};

impl World {
    // ---- messages ----

    pub(crate) fn post(&mut self, wait: f64, mail: Mail) {
        self.at(wait, Event::Mail(mail));
    }

    /// A message of the run has come: the one that is to be changed is, all others are taken as they are.
    pub(crate) fn mail(&mut self, mail: Mail) {
        if self.now > RECORDED {
            return self.take(mail);
        }
        let number = self.out.messages.len();
        self.out.messages.push((mail.kind, mail.bytes.clone()));
        let before = self.before.insert(mail.kind, mail.bytes.clone());
        let how = self.change.filter(|c| c.at == number).map(|c| c.mutation);
        let size = mail.bytes.len();
        match how {
            Some(Mutation::Dropped) => {}
            Some(Mutation::Doubled) => {
                self.take(mail.clone());
                self.take(mail);
            }
            Some(Mutation::Late(ms)) => self.at(f64::from(ms), Event::Again(mail)),
            Some(Mutation::Swapped) => self.overtaken = Some(mail),
            Some(Mutation::Cut(eighths)) => {
                self.take(Mail { bytes: mail.bytes[..size * eighths / 8].to_vec(), ..mail })
            }
            Some(Mutation::Bit(part)) => {
                let mut bytes = mail.bytes;
                bytes[size * part / 64] ^= 1 << (part % 8);
                self.take(Mail { bytes, ..mail });
            }
            Some(Mutation::Field(field, to)) => {
                let fleet =
                    mail.bytes.get(1..5).and_then(|b| b.try_into().ok()).map_or(0, u32::from_be_bytes);
                if let Some(bytes) = fields::set(mail.kind, &mail.bytes, field, to, before.as_deref(), fleet)
                {
                    self.take(Mail { bytes, ..mail });
                }
            }
            None => {
                let to = mail.to;
                self.take(mail);
                if let Some(late) = self.overtaken.take_if(|late| late.to == to) {
                    self.take(late);
                }
            }
        }
    }

    pub(crate) fn take(&mut self, mail: Mail) {
        match mail.kind {
            Kind::Signal => self.set_up(mail.to, &mail.bytes),
            Kind::Names => self.names(mail.to, &mail.bytes),
            Kind::Row => {
                let now = self.now;
                let out = self.fronts[mail.to].fellow.receive(now, &mail.bytes);
                self.datagrams(mail.to, out);
            }
            Kind::Rtsp => self.wire(&mail),
            Kind::Http => self.answered_by_http(&mail),
        }
    }

    pub(crate) fn datagrams(&mut self, from: usize, out: Vec<pulleystair_fleet_member::Datagram>) {
        for it in out {
            let to = (0..FRONTS).find(|f| origin_of(&name(*f)) as Origin == it.to);
            let Some(to) = to else { continue };
            let wait = 1.0 + 4.0 * self.draw();
            self.post(wait, Mail { to, kind: Kind::Row, bytes: it.bytes, from, line: 0, of: (0, 0) });
        }
    }

    pub(crate) fn set_up(&mut self, f: usize, bytes: &[u8]) {
        // What can't be used is refused, and no play; an id that is known is that play's.
        let Some(it) = inbox::read_set_up(bytes) else { return };
        if self.fronts[f].sessions.contains_key(&it.play) {
            return;
        }
        self.requests += 1;
        let (request, now) = (self.requests, self.now);
        let SetUp { play, product, title, limit, first_cell, holders, top } = it;
        let session = format!("{f}-{play:x}");
        self.saw(Observed::Asked { request, session, front: f, product, title: title.clone(), top });
        let wish = PlayRequest {
            product,
            title: stable_id(&title),
            first_cell,
            holders,
            max_rung: top,
            arrived_at: now,
            deadline: now + limit.min(LIMIT),
        };
        let it = Session { request, product, title, n: 0, at: None, sent: 0.0, answered: false };
        self.fronts[f].sessions.insert(play, it);
        self.call(f, |desk, now, hands| desk.add_play(now, play, &wish, hands));
    }

    pub(crate) fn names(&mut self, f: usize, bytes: &[u8]) {
        let Some((id, serial, lines)) = inbox::read_names(bytes) else { return };
        let front = &mut self.fronts[f];
        if !front.asked.contains(&id) || !pulleystair_dns_discovery::is_newer(front.rev, serial) {
            return;
        }
        front.rev = Some(serial);
        let listed = |(server, line): &(u32, Listing)| ListedServer {
            server: Server {
                id: stable_id(&format!("m{server}")),
                zone: line.zone,
                cell: line.cell,
                link: line.weight,
            },
            born: line.started_at as u64,
            cold_until: line.started_at + COLD,
        };
        let ready = lines.iter().filter(|l| l.1.standing == Standing::Ready);
        let servers: Vec<ListedServer> = ready.map(listed).collect();
        let all = servers.iter().map(|s| s.server.id).collect();
        front.fellow.update_list(&servers, vec![all]);
        self.call(f, |desk, now, _| desk.update_list(now, true, false, &lines));
    }

    /// What a server says on its connection. What can't be read costs the set-ups that are open on it.
    pub(crate) fn wire(&mut self, mail: &Mail) {
        let (f, server, now) = (mail.to, mail.from, self.now);
        if self.fronts[f].lines[server] != mail.line {
            return;
        }
        let Ok(Some((message, _))) = rtsp::Message::parse(&mail.bytes) else {
            self.fronts[f].lines[server] += 1;
            let open = |(play, s): (&u64, &Session)| (s.at == Some((server, false))).then_some(*play);
            let open: Vec<u64> = self.fronts[f].sessions.iter().filter_map(open).collect();
            return open.into_iter().for_each(|play| self.over(f, play, End::Broken, &[]));
        };
        let play = message.session;
        let at = self.fronts[f].sessions.get(&play).and_then(|s| s.at).filter(|at| at.0 == server);
        let load = inbox::report(&message);
        match (&message.start, at) {
            (rtsp::Start::Answer(200), Some((_, false))) => self.stands(f, play, &load),
            (rtsp::Start::Answer(status), Some((_, false))) if *status >= 300 => {
                self.turned_away(f, play, *status, &load)
            }
            (rtsp::Start::Request(method), Some((_, true))) if method == "TEARDOWN" => {
                self.over(f, play, End::Finished, &[]);
            }
            (rtsp::Start::Request(method), Some((_, true))) if method == "ANNOUNCE" => {
                if let Some(figure) = message.number("Figure").filter(|_| message.field("X-Why") == Some("l"))
                {
                    let figure = LoadMetric::Link(figure);
                    self.call(f, |desk, _, hands| desk.on_play_note(now, play, server as u32, figure, hands));
                }
            }
            _ => {}
        }
    }

    pub(crate) fn answered_by_http(&mut self, mail: &Mail) {
        let (f, (play, n)) = (mail.to, mail.of);
        let out =
            self.fronts[f].sessions.get(&play).is_some_and(|s| s.n == n && s.at == Some((mail.from, false)));
        if !out {
            return;
        }
        match http::parse_response(&mail.bytes) {
            Ok(Some((answer, _))) if answer.status == 200 => self.stands(f, play, &[]),
            Ok(Some((answer, _))) => self.turned_away(f, play, answer.status, &[]),
            // The connection is its own: what does not come whole has broken off.
            _ => self.over(f, play, End::Broken, &[]),
        }
    }

    pub(crate) fn stands(&mut self, f: usize, play: u64, load: &[LoadMetric]) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        let Some((server, _)) = it.at else { return };
        it.at = Some((server, true));
        let allocation = format!("{f}-{play:x}-{}", it.n);
        self.met(f, play, server, End::Playing);
        self.saw(Observed::Done { allocation, ran: true, status: 200 });
        self.answer(f, play, 200);
        let load = load.to_vec();
        self.call(f, |desk, now, hands| {
            desk.on_playing(now, play, hands);
            desk.on_load_report(now, server as u32, &load, hands);
        });
    }

    pub(crate) fn turned_away(&mut self, f: usize, play: u64, status: u16, load: &[LoadMetric]) {
        let Some(it) = self.fronts[f].sessions.get(&play) else { return };
        let full = status == 453 || status == 429;
        let allocation = format!("{f}-{play:x}-{}", it.n);
        self.saw(Observed::Done { allocation, ran: !full, status: if full { 429 } else { 502 } });
        self.over(f, play, if full { End::Full } else { End::Error }, load);
    }

    /// An allocation is out no more, or a play has ended.
    pub(crate) fn over(&mut self, f: usize, play: u64, outcome: End, load: &[LoadMetric]) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        let Some((server, playing)) = it.at.take() else { return };
        let allocation = format!("{f}-{play:x}-{}", it.n);
        if !playing {
            self.met(f, play, server, outcome);
        }
        self.saw(Observed::Closed { allocation });
        let load = load.to_vec();
        self.call(f, |desk, now, hands| {
            desk.on_allocation_ended(now, play, server as u32, outcome, playing, &load, hands)
        });
    }

    pub(crate) fn met(&mut self, f: usize, play: u64, server: usize, outcome: End) {
        let now = self.now;
        let Some(it) = self.fronts[f].sessions.get(&play) else { return };
        let (n, waited) = (it.n, now - it.sent);
        let id = stable_id(&format!("m{server}"));
        self.fronts[f].fellow.on_allocation_result(now, now, id, (play, n), outcome, waited);
    }

    pub(crate) fn answer(&mut self, f: usize, play: u64, status: u16) {
        let Some(it) = self.fronts[f].sessions.get_mut(&play) else { return };
        assert!(!std::mem::replace(&mut it.answered, true), "answered twice");
        let request = it.request;
        self.saw(Observed::Answered { request, status });
    }

    // ---- what the desk has done ----

    pub(crate) fn call(&mut self, f: usize, call: impl FnOnce(&mut Dispatcher, f64, &mut Deeds)) {
        let mut deeds = Deeds::default();
        call(&mut self.fronts[f].desk, self.now, &mut deeds);
        self.fronts[f].desk.end_turn(self.now, &mut deeds);
        while let Some(deed) = deeds.0.pop_front() {
            match deed {
                Deed::Chose(odds) => self.fronts[f].drawn = odds,
                Deed::Send(play, server, rung, time_out) => {
                    self.send(f, play, server as usize, rung, time_out)
                }
                Deed::Withdraw(play) => self.over(f, play, End::Withdrawn, &[]),
                Deed::Step(play, rung) => {
                    if let Some(it) = self.fronts[f].sessions.get(&play).filter(|it| it.at.is_some()) {
                        let allocation = format!("{f}-{play:x}-{}", it.n);
                        self.saw(Observed::Rung { allocation, rung });
                    }
                }
                Deed::Answer(play, status) => self.answer(f, play, status),
                Deed::Wake(mark, wait) => self.at(wait, Event::Wake(f, mark)),
                Deed::Probe(server) => {
                    let now = self.now;
                    self.fronts[f].fellow.on_probed(now, stable_id(&format!("m{server}")));
                }
            }
        }
    }

    pub(crate) fn send(&mut self, f: usize, play: u64, server: usize, rung: usize, time_out: f64) {
        let now = self.now;
        let dice = self.draw();
        let front = &mut self.fronts[f];
        let Some(it) = front.sessions.get_mut(&play) else { return };
        assert!(it.at.is_none(), "one at a time");
        it.n += 1;
        (it.at, it.sent) = (Some((server, false)), now);
        let (n, product, title) = (it.n, it.product, it.title.clone());
        let candidate = |(s, chance, room): &(u32, f64, f64)| Candidate {
            server: stable_id(&format!("m{s}")),
            born: 0,
            zone: *s as usize % 2,
            chance: *chance,
            room: *room,
        };
        let chosen = front.drawn.iter().position(|d| d.0 as usize == server);
        let candidates = front.drawn.iter().map(candidate).collect();
        front.fellow.on_sent(now, stable_id(&format!("m{server}")), n > 1);
        if let Some(chosen) = chosen {
            front.fellow.outcomes.record_choice(play, n, product as u16, 1, chosen, candidates);
        }
        self.out.sent += 1;
        self.at(time_out, Event::TimeOut(f, play, n));
        if server >= SERVERS || !self.hosts[server].up {
            return self.at(1.0, Event::Unreachable(f, play, n));
        }
        let (allocation, session) = (format!("{f}-{play:x}-{n}"), format!("{f}-{play:x}"));
        self.saw(Observed::SetUp { server, allocation, session, product, title, rung });
        if self.hosts[server].silent {
            return;
        }
        let there = self.fronts.iter().flat_map(|f| f.sessions.values());
        let there = there.filter(|s| s.at.is_some_and(|at| at.0 == server)).count() as f64;
        let (wait, status) = match dice {
            _ if there > STREAMS => (2.0, 453),
            _ if dice < 0.08 => (3.0, 500),
            _ => (15.0 + 60.0 * dice, 200),
        };
        let mail = if f == BY_HTTP {
            let status = if status == 453 { 429 } else { status };
            let head = if status == 200 { "Transfer-Encoding: chunked" } else { "Content-Length: 0" };
            let bytes = format!("HTTP/1.1 {status} Told\r\n{head}\r\n\r\n").into_bytes();
            Mail { to: f, kind: Kind::Http, bytes, from: server, line: 0, of: (play, n) }
        } else {
            let bytes = inbox::answer(status, play, there / STREAMS);
            let line = self.fronts[f].lines[server];
            Mail { to: f, kind: Kind::Rtsp, bytes, from: server, line, of: (play, n) }
        };
        self.post(wait, mail);
        if status == 200 {
            self.at(wait + 200.0 + 500.0 * dice, Event::Ends(f, server, play, n));
        }
    }
}
