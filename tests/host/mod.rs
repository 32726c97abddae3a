//! A tiny host: a front with a few servers, and plays put through it without the bench.

use pulleystair::logic::Policy;
use pulleystair::{
    Listing, LoadMetric, Next, Outcome, Placement, Play, RungChanges, Settings, Standing, Value,
};

/// Four servers in two racks, links of 1000 kB, a ladder of 100, 200 and 400 kB.
pub struct Host {
    pub front: Policy,
    pub plays: Vec<Play>,
    pub now: f64,
    pub lines: Vec<Listing>,
}

pub fn sheet(changes: &[(&str, f64)], effect: &str) -> Settings {
    let mut sheet = Settings::new();
    let numbers = [
        ("balancers", 1.0),
        ("products.0.importance", 1.0),
        ("products.0.first_frame_target", 1000.0),
        ("extra.ladder_kb.0", 100.0),
        ("extra.ladder_kb.1", 200.0),
        ("extra.ladder_kb.2", 400.0),
        ("extra.rung_worth.0", 0.3),
        ("extra.rung_worth.1", 0.7),
        ("extra.rung_worth.2", 1.0),
        ("extra.link_unit_kb", 1000.0),
        ("extra.rack_link_kb", 2000.0),
        ("extra.cabinets", 2.0),
        ("extra.places", 4.0),
        ("extra.places_by_kind.0", 24.0),
        ("extra.seen_after", 1000.0),
        ("extra.reports_every", 3000.0),
        ("extra.stall_cost", 7.0),
        ("extra.change_costs_s", 0.5),
        ("ceilings.attempts_cap", 4.0),
        ("ceilings.retry_after", 1.0),
        ("ceilings.max_retry_after", 500.0),
        ("rules.cold", 12_000.0),
        ("rules.cold_from", 0.5),
        ("rules.overload_factor", 2.0),
    ];
    for (name, value) in numbers.iter().chain(changes) {
        sheet.insert((*name).into(), Value::Number(*value));
    }
    sheet.insert("products.0.effect".into(), Value::Text(effect.into()));
    sheet.insert("products.0.key_scope".into(), Value::Text("zone".into()));
    sheet
}

impl Host {
    /// A host whose servers have long been up, all links measured as half asked.
    pub fn new(changes: &[(&str, f64)]) -> Host {
        Host::of(sheet(changes, "read_like"))
    }

    pub fn of(sheet: Settings) -> Host {
        let line = |s| Listing {
            server: s,
            cell: s,
            zone: s % 2,
            standing: Standing::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        let lines: Vec<Listing> = (0..4).map(line).collect();
        let mut host = Host { front: Policy::new(sheet, 7), plays: Vec::new(), now: 100_000.0, lines };
        host.list();
        for s in 0..4 {
            host.measure(s, 0.5);
        }
        host
    }

    pub fn list(&mut self) {
        self.front.update_list(self.now, true, false, &self.lines);
    }

    pub fn measure(&mut self, s: usize, share: f64) -> RungChanges {
        let mut steps =
            self.front.on_load_metric(self.now, &mut self.plays, s, None, LoadMetric::Uplink(0.2));
        steps.extend(self.front.on_load_metric(self.now, &mut self.plays, s, None, LoadMetric::Link(share)));
        steps
    }

    /// A new play of a title on `holders` cells from `first`.
    pub fn take(&mut self, first: usize, holders: usize) -> usize {
        let limit = self.now + 4000.0;
        let play = Play {
            first_cell: first,
            holders,
            max_rung: 2,
            arrived_at: self.now,
            deadline: limit,
            ..Play::default()
        };
        self.plays.push(play);
        let ply = self.plays.len() - 1;
        self.front.add_play(self.now, &mut self.plays[ply]);
        ply
    }

    pub fn ask(&mut self, ply: usize) -> Placement {
        self.front.place(self.now, &mut self.plays, ply).0
    }

    /// Asks and tells the server; none where the play is not sent.
    pub fn sent_to(&mut self, ply: usize) -> Option<usize> {
        match self.ask(ply) {
            Placement::Send { server, .. } => Some(server),
            _ => None,
        }
    }

    pub fn after(&mut self, ply: usize, outcome: Outcome) -> Next {
        self.front.after_outcome(self.now, &mut self.plays, ply, outcome, false)
    }

    /// Takes a play and starts it; answers its server.
    pub fn start(&mut self, first: usize, holders: usize) -> (usize, usize) {
        let ply = self.take(first, holders);
        let server = self.sent_to(ply).expect("a holder takes it");
        self.after(ply, Outcome::Playing);
        (ply, server)
    }
}
