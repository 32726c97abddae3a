//! A minimal host for tests of the placement logic: one front's policy, a few servers and plays, without the simulator.
//! Times are in ms.

use pulleystair::logic::Policy;
use pulleystair::{
    Listing, LoadMetric, Next, Outcome, Placement, Play, RungChanges, Settings, Standing, Value,
};

/// Four servers in two racks, links of 1000 kB, a ladder of 100, 200 and 400 kB.
pub struct Host {
    pub policy: Policy,
    pub plays: Vec<Play>,
    pub now: f64,
    pub entries: Vec<Listing>,
}

/// Settings with `changes` applied, and one product whose set-ups have this `effect`.
pub fn test_settings(changes: &[(&str, f64)], effect: &str) -> Settings {
    let mut settings = Settings::new();
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
        settings.insert((*name).into(), Value::Number(*value));
    }
    settings.insert("products.0.effect".into(), Value::Text(effect.into()));
    settings.insert("products.0.key_scope".into(), Value::Text("zone".into()));
    settings
}

impl Host {
    /// A host whose servers started long ago, with a utilization of one half measured on all links.
    pub fn new(changes: &[(&str, f64)]) -> Host {
        Host::with_settings(test_settings(changes, "read_like"))
    }

    /// The same, by these settings.
    pub fn with_settings(settings: Settings) -> Host {
        let entry = |s| Listing {
            server: s,
            cell: s,
            zone: s % 2,
            standing: Standing::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        let entries: Vec<Listing> = (0..4).map(entry).collect();
        let mut host = Host { policy: Policy::new(settings, 7), plays: Vec::new(), now: 100_000.0, entries };
        host.update_list();
        for s in 0..4 {
            host.report_utilization(s, 0.5);
        }
        host
    }

    /// Gives the policy the whole list.
    pub fn update_list(&mut self) {
        self.policy.update_list(self.now, true, false, &self.entries);
    }

    /// Reports a server's link utilization, with an uplink that has room; returns the plays whose rungs change.
    pub fn report_utilization(&mut self, server: usize, utilization: f64) -> RungChanges {
        let mut rung_changes =
            self.policy.on_load_metric(self.now, &mut self.plays, server, None, LoadMetric::Uplink(0.2));
        rung_changes.extend(self.policy.on_load_metric(
            self.now,
            &mut self.plays,
            server,
            None,
            LoadMetric::Link(utilization),
        ));
        rung_changes
    }

    /// Adds a play of a title on `holder_cells` cells from `first_cell` and returns its index.
    pub fn add_play(&mut self, first_cell: usize, holder_cells: usize) -> usize {
        let deadline = self.now + 4000.0;
        let play =
            Play { first_cell, holder_cells, max_rung: 2, arrived_at: self.now, deadline, ..Play::default() };
        self.plays.push(play);
        let play_index = self.plays.len() - 1;
        self.policy.add_play(self.now, &mut self.plays[play_index]);
        play_index
    }

    /// Asks the policy where the play goes.
    pub fn place(&mut self, play_index: usize) -> Placement {
        self.policy.place(self.now, &mut self.plays, play_index).0
    }

    /// Asks where the play goes and returns the server; none if the play is not sent.
    pub fn server_for(&mut self, play_index: usize) -> Option<usize> {
        match self.place(play_index) {
            Placement::Send { server, .. } => Some(server),
            _ => None,
        }
    }

    /// Reports an outcome that does not end the play.
    pub fn report_outcome(&mut self, play_index: usize, outcome: Outcome) -> Next {
        self.policy.after_outcome(self.now, &mut self.plays, play_index, outcome, false)
    }

    /// Adds a play and starts it; returns the play and its server.
    pub fn start_play(&mut self, first_cell: usize, holder_cells: usize) -> (usize, usize) {
        let play_index = self.add_play(first_cell, holder_cells);
        let server = self.server_for(play_index).expect("a holder takes the play");
        self.report_outcome(play_index, Outcome::Playing);
        (play_index, server)
    }
}
