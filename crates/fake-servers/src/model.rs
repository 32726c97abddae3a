//! The model behind the stand-ins: links and rack uplinks that are shared evenly when over-asked, streams,
//! cold starts that can be rushed, and what troubles do to them. No I/O; the caller hands in the time.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// A media server as it is built.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    pub zone: usize,
    pub cell: usize,
    /// Cores that set-ups are worked on, set-ups that may wait for one, and streams, at most.
    pub cores: usize,
    pub queue: usize,
    pub streams: usize,
    /// What its link really carries, kB/s.
    pub link_kb: f64,
    /// Work of a set-up, ms, and its spread (sigma of a log-normal).
    pub work_ms: f64,
    pub work_spread: f64,
}

/// What all servers have in common.
#[derive(Clone, Debug)]
pub struct ServerFleetSpec {
    /// Rate of each rung, kB/s.
    pub ladder: Vec<f64>,
    /// Uplink of each rack; a cell's rack is its number modulo their count.
    pub uplinks_kb: Vec<f64>,
    /// What a further viewer of a live title adds, as a part of the rate.
    pub shared_part: f64,
    /// True rates lie off the ladder by up to this part.
    pub rate_spread: f64,
    /// How late load reports and notes are, ms, and how often link notes come.
    pub reports_late_ms: f64,
    pub notes_late_ms: f64,
    pub notes_every_ms: f64,
    pub cold_ms: f64,
    pub cold_from: f64,
    pub overload_factor: f64,
    pub overload_window_ms: f64,
    /// How long a server that fell over stays down.
    pub down_ms: f64,
    /// A play whose connection broke is freed after this.
    pub lease_ms: f64,
}

/// What is wrong with a server at present; all of it may be at once.
#[derive(Clone, Debug)]
pub struct ServerFaults {
    pub down: bool,
    /// Takes connections and answers nothing.
    pub silent: bool,
    /// Parts of set-ups that fail at once; whose answer is lost after the work, by silence or by a reset; whose
    /// answer breaks off within its head.
    pub errors: f64,
    pub lost: f64,
    pub reset: f64,
    pub half_heads: f64,
    /// Parts of segments that break off half-way, stall there, have more bytes than their length, and, where a
    /// part was asked for, are sent whole.
    pub cut: f64,
    pub stall: f64,
    pub over_long: f64,
    pub no_ranges: f64,
    /// Steps of rung are carried out so much after they were read, ms.
    pub late_steps_ms: f64,
    /// Which edition of its titles it holds: the bytes are the same here, their tags are not.
    pub edition: u32,
    /// Work takes so many times as long.
    pub slow: f64,
    /// The link carries this part, less what another program takes.
    pub link: f64,
    pub neighbour: f64,
    /// Reports come later by this.
    pub late_ms: f64,
    /// Its rack's uplink carries this part.
    pub uplink: f64,
}

impl Default for ServerFaults {
    fn default() -> ServerFaults {
        ServerFaults {
            down: false,
            silent: false,
            errors: 0.0,
            lost: 0.0,
            reset: 0.0,
            half_heads: 0.0,
            cut: 0.0,
            stall: 0.0,
            over_long: 0.0,
            no_ranges: 0.0,
            late_steps_ms: 0.0,
            edition: 0,
            slow: 1.0,
            link: 1.0,
            neighbour: 0.0,
            late_ms: 0.0,
            uplink: 1.0,
        }
    }
}

/// A play at a server.
#[derive(Clone, Debug)]
pub struct Play {
    pub title: String,
    pub product: usize,
    pub live: bool,
    pub rung: usize,
    /// Its true rate over the ladder's, product's scale included.
    pub factor: f64,
    /// Set up, or still worked on.
    pub is_set_up: bool,
}

/// Asked over given of link and uplink, and the share of its rate that a play gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub link: f64,
    pub uplink: f64,
    pub delivered: f64,
    pub streams: f64,
}

pub struct Server {
    pub spec: ServerSpec,
    pub faults: ServerFaults,
    pub plays: BTreeMap<String, Play>,
    pub cold_started_at: Option<f64>,
    /// Steps of rung and segments that were asked for, carried out and sent or not.
    pub steps_read: usize,
    pub segments_read: usize,
    /// Counts the starts: what ran before the present one is gone.
    pub process_number: u64,
    recent_set_ups: VecDeque<f64>,
    load_history: VecDeque<(f64, Load)>,
}

pub struct ServerFleetModel {
    pub spec: ServerFleetSpec,
    pub servers: Vec<Server>,
}

impl ServerFleetModel {
    pub fn new(spec: ServerFleetSpec, server_specs: Vec<ServerSpec>) -> ServerFleetModel {
        let server = |server_spec| Server {
            spec: server_spec,
            faults: ServerFaults::default(),
            plays: BTreeMap::new(),
            cold_started_at: None,
            steps_read: 0,
            segments_read: 0,
            process_number: 0,
            recent_set_ups: VecDeque::new(),
            load_history: VecDeque::new(),
        };
        ServerFleetModel { spec, servers: server_specs.into_iter().map(server).collect() }
    }

    fn rack_of(&self, server: usize) -> usize {
        self.servers[server].spec.cell % self.spec.uplinks_kb.len()
    }

    /// What plays ask of a server's link, kB/s: viewers of a live title share its stream.
    pub fn demand(&self, server: usize) -> f64 {
        let mut streams: BTreeMap<(&str, usize, usize), bool> = BTreeMap::new();
        let mut demand_kb = 0.0;
        for play in self.servers[server].plays.values().filter(|p| p.is_set_up) {
            let rate = self.spec.ladder[play.rung] * play.factor;
            let is_first_viewer = streams.insert((&play.title, play.product, play.rung), true).is_none();
            demand_kb += if play.live && !is_first_viewer { rate * self.spec.shared_part } else { rate };
        }
        demand_kb
    }

    pub fn load(&self, server: usize) -> Load {
        let state = &self.servers[server];
        let link_capacity_kb =
            (state.spec.link_kb * state.faults.link * (1.0 - state.faults.neighbour)).max(1.0);
        let link = self.demand(server) / link_capacity_kb;
        let rack = self.rack_of(server);
        let rack_servers = (0..self.servers.len()).filter(|s| self.rack_of(*s) == rack);
        let (mut rack_demand_kb, mut uplink_part) = (0.0, 1.0f64);
        for s in rack_servers {
            rack_demand_kb += self.demand(s);
            uplink_part = uplink_part.min(self.servers[s].faults.uplink);
        }
        let uplink = rack_demand_kb / (self.spec.uplinks_kb[rack] * uplink_part).max(1.0);
        let delivered = (1.0 / link.max(1.0)).min(1.0 / uplink.max(1.0));
        Load { link, uplink, delivered, streams: state.plays.len() as f64 }
    }

    /// Remembers every server's load, for reports that come late.
    pub fn sample(&mut self, now: f64) {
        for server in 0..self.servers.len() {
            let load = self.load(server);
            let history = &mut self.servers[server].load_history;
            history.push_back((now, load));
            while history.len() > 2 && history[1].0 < now - 15_000.0 {
                history.pop_front();
            }
        }
    }

    /// The load as it was `late` ms ago, or more where reports come late.
    pub fn reported_load(&self, now: f64, server: usize, delay_ms: f64) -> Load {
        let state = &self.servers[server];
        let sampled_by = now - delay_ms - state.faults.late_ms;
        let sample =
            state.load_history.iter().rev().find(|(at, _)| *at <= sampled_by).or(state.load_history.front());
        sample.map_or_else(|| self.load(server), |(_, load)| *load)
    }

    /// A process starts.
    pub fn start(&mut self, now: f64, server: usize, cold: bool) {
        let state = &mut self.servers[server];
        state.process_number += 1;
        state.faults.down = false;
        state.cold_started_at = cold.then_some(now);
        state.plays.clear();
        state.recent_set_ups.clear();
        state.load_history.clear();
    }

    pub fn stop(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.process_number += 1;
        state.faults.down = true;
        state.plays.clear();
    }

    /// A set-up was sent to a server; true if that pushed it over while it was cold.
    pub fn on_set_up(&mut self, now: f64, server: usize) -> bool {
        let spec = &self.spec;
        let state = &mut self.servers[server];
        let Some(started_at) = state.cold_started_at.filter(|at| now < at + spec.cold_ms) else {
            return false;
        };
        state.recent_set_ups.push_back(now);
        while state.recent_set_ups.front().is_some_and(|at| *at <= now - spec.overload_window_ms) {
            state.recent_set_ups.pop_front();
        }
        let warm_part = spec.cold_from + (1.0 - spec.cold_from) * (now - started_at) / spec.cold_ms;
        let capacity = spec.overload_factor * state.spec.streams as f64 / spec.cold_ms
            * warm_part
            * spec.overload_window_ms;
        state.recent_set_ups.len() as f64 > capacity + 2.0
    }

    /// How long work takes now, against a warm and well server: a cold one is slower.
    pub fn slowness(&self, now: f64, server: usize) -> f64 {
        let state = &self.servers[server];
        let cold_factor = state.cold_started_at.filter(|at| now < at + self.spec.cold_ms).map_or(1.0, |at| {
            let warm_part =
                self.spec.cold_from + (1.0 - self.spec.cold_from) * (now - at) / self.spec.cold_ms;
            1.0 / warm_part.clamp(0.25, 1.0)
        });
        cold_factor * state.faults.slow
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn model() -> ServerFleetModel {
        let spec = ServerFleetSpec {
            ladder: vec![100.0, 200.0],
            uplinks_kb: vec![1000.0, 1000.0],
            shared_part: 0.25,
            rate_spread: 0.0,
            reports_late_ms: 100.0,
            notes_late_ms: 500.0,
            notes_every_ms: 2000.0,
            cold_ms: 5000.0,
            cold_from: 0.2,
            overload_factor: 2.0,
            overload_window_ms: 1000.0,
            down_ms: 3000.0,
            lease_ms: 500.0,
        };
        let server_spec = |cell| ServerSpec {
            zone: 0,
            cell,
            cores: 2,
            queue: 8,
            streams: 20,
            link_kb: 800.0,
            work_ms: 20.0,
            work_spread: 0.3,
        };
        ServerFleetModel::new(spec, (0..4).map(server_spec).collect())
    }

    fn play(title: &str, live: bool, rung: usize) -> Play {
        Play { title: title.into(), product: 0, live, rung, factor: 1.0, is_set_up: true }
    }

    #[test_case(false, 600.0; "recorded titles add up")]
    #[test_case(true, 300.0; "a live one is shared")]
    fn demand_by_kind_of_title(live: bool, kb: f64) {
        let mut model = model();
        for name in ["a", "b", "c"] {
            model.servers[0].plays.insert(name.into(), play("t", live, 1));
        }
        assert_eq!(model.demand(0), kb);
    }

    #[test]
    fn overloaded_uplink_reduces_delivery_of_its_whole_rack() {
        let mut model = model();
        for server in [0, 2] {
            for i in 0..3 {
                model.servers[server].plays.insert(format!("{server}{i}"), play(&i.to_string(), false, 1));
            }
        }
        assert_eq!((model.load(0).link, model.load(0).uplink), (0.75, 1.2));
        assert_eq!(model.load(0).delivered, model.load(2).delivered);
        model.servers[2].faults.uplink = 0.5;
        assert_eq!(model.load(0).uplink, 2.4);
        assert_eq!(model.load(1).delivered, 1.0, "the other rack has room");
        model.servers[0].faults.neighbour = 0.5;
        assert_eq!(model.load(0).link, 1.5);
    }

    #[test]
    fn reported_load_is_delayed() {
        let mut model = model();
        model.sample(0.0);
        model.servers[0].plays.insert("a".into(), play("t", false, 1));
        model.sample(1000.0);
        assert_eq!(model.reported_load(1050.0, 0, 100.0).link, 0.0);
        assert_eq!(model.reported_load(1150.0, 0, 100.0).link, 0.25);
        model.servers[0].faults.late_ms = 3000.0;
        assert_eq!(model.reported_load(1150.0, 0, 100.0).link, 0.0);
    }

    #[test]
    fn cold_server_is_overloaded_by_a_burst_but_not_by_a_steady_rate() {
        let mut model = model();
        model.start(0.0, 0, true);
        assert!((1..5).all(|i| !model.on_set_up(f64::from(i) * 250.0, 0)));
        assert!((0..20).any(|i| model.on_set_up(1000.0 + f64::from(i), 0)));
        assert!((0..20).all(|i| !model.on_set_up(6000.0 + f64::from(i), 0)), "warm by then");
        assert!(model.slowness(500.0, 0) > 3.0 && model.slowness(6000.0, 0) == 1.0);
    }
}
