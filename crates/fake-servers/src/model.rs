//! Load model of the fake servers: links and rack uplinks that are shared evenly when overloaded, streams, servers that
//! fail when they are overloaded during a cold start, and the effects of injected faults. The model does no I/O; the
//! caller passes the time, in ms. Rates are in kB/s.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// The fixed properties of a media server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    pub zone: usize,
    /// Number of the server's cell. A cell is a set of servers that hold the same titles.
    pub cell: usize,
    /// Number of cores that work on set-ups.
    pub cores: usize,
    /// Number of set-ups that may wait for a core.
    pub queue: usize,
    /// Maximum number of concurrent plays.
    pub streams: usize,
    /// True capacity of the link, kB/s.
    pub link_kb: f64,
    /// Median work of a set-up, ms.
    pub work_ms: f64,
    /// Spread of the work of a set-up: sigma of a log-normal distribution.
    pub work_spread: f64,
}

/// Properties that all servers have in common.
#[derive(Clone, Debug)]
pub struct ServerFleetSpec {
    /// Rate of each rung, kB/s.
    pub ladder: Vec<f64>,
    /// Uplink capacity of each rack, kB/s. The rack of a cell is the number of the cell modulo the number of racks.
    pub uplinks_kb: Vec<f64>,
    /// Part of its rate that each further viewer of a live title adds to the load.
    pub shared_part: f64,
    /// True rates differ from the ladder by up to this part.
    pub rate_spread: f64,
    /// Delay of the load in response headers, ms.
    pub reports_late_ms: f64,
    /// Delay of the load in notes, ms.
    pub notes_late_ms: f64,
    /// Interval of link notes, ms.
    pub notes_every_ms: f64,
    /// How long a cold server needs to warm up, ms.
    pub cold_ms: f64,
    /// Part of its capacity that a server has at a cold start.
    pub cold_from: f64,
    /// A cold server is overloaded when set-ups arrive this many times as fast as would fill its streams within
    /// `cold_ms`, counted over a window of `overload_window_ms`.
    pub overload_factor: f64,
    /// Length of the window over which set-ups at a cold server are counted, ms.
    pub overload_window_ms: f64,
    /// How long a server that failed under overload stays down, ms.
    pub down_ms: f64,
    /// How long after its connection broke a play is freed, ms.
    pub lease_ms: f64,
}

/// The faults that are injected at a server at present. All of them may be active at once. Parts are from 0 to 1.
#[derive(Clone, Debug)]
pub struct ServerFaults {
    /// The process is not running.
    pub down: bool,
    /// Accepts connections and requests but never responds.
    pub silent: bool,
    /// Part of the set-ups that fail at once with 502.
    pub errors: f64,
    /// Part of the set-ups that get no response after the work, while the connection stays open.
    pub lost: f64,
    /// Part of the set-ups whose connection is reset after the work, instead of a response.
    pub reset: f64,
    /// Part of the set-ups whose response breaks off within its head, while the connection stays open.
    pub half_heads: f64,
    /// Part of the segments that break off half-way.
    pub cut: f64,
    /// Part of the segments that stall half-way.
    pub stall: f64,
    /// Part of the segments, of those neither cut nor stalled, that have more bytes than announced.
    pub over_long: f64,
    /// Part of the range requests whose range is ignored, so that the complete segment is sent.
    pub no_ranges: f64,
    /// Delay between reading and carrying out a change of rung, ms.
    pub late_steps_ms: f64,
    /// Edition of the titles that the server holds. Editions have the same bytes here but different entity tags.
    pub edition: u32,
    /// Factor by which set-up work takes longer.
    pub slow: f64,
    /// Part of its capacity that the link has.
    pub link: f64,
    /// Part of the link's remaining capacity that another program uses.
    pub neighbour: f64,
    /// Additional delay of load reports and notes, ms.
    pub report_delay_ms: f64,
    /// Part of its capacity that the uplink of the server's rack has.
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
            report_delay_ms: 0.0,
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
    /// Its true rate relative to the ladder's, including the product's scale.
    pub factor: f64,
    /// Whether the set-up is complete; false while it is waiting or worked on.
    pub is_set_up: bool,
}

/// Load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Demand over capacity of the server's link.
    pub link: f64,
    /// Demand over capacity of the rack's uplink.
    pub uplink: f64,
    /// Share of its rate that a play gets, up to 1.
    pub delivered: f64,
    /// Number of plays, including those that are still being set up.
    pub streams: f64,
}

/// A server's specification and state.
pub struct Server {
    pub spec: ServerSpec,
    pub faults: ServerFaults,
    pub plays: BTreeMap<String, Play>,
    /// When the present process started, if it started cold.
    pub cold_started_at: Option<f64>,
    /// Number of rung changes that were requested, whether or not they were carried out.
    pub steps_read: usize,
    /// Number of segments that were requested, whether or not they were sent.
    pub segments_read: usize,
    /// Incremented at each start and each stop of the process. A play belongs to one generation and ends with it.
    pub generation: u64,
    /// Times of the set-ups within the overload window, while the server is cold.
    recent_set_ups: VecDeque<f64>,
    /// Sampled loads with their times, for reports that are delayed.
    load_history: VecDeque<(f64, Load)>,
}

/// All servers with the state of their plays and faults.
pub struct ServerFleetModel {
    pub spec: ServerFleetSpec,
    pub servers: Vec<Server>,
}

impl ServerFleetModel {
    /// Creates a model of servers that are running, warm and idle.
    pub fn new(spec: ServerFleetSpec, server_specs: Vec<ServerSpec>) -> ServerFleetModel {
        let server = |server_spec| Server {
            spec: server_spec,
            faults: ServerFaults::default(),
            plays: BTreeMap::new(),
            cold_started_at: None,
            steps_read: 0,
            segments_read: 0,
            generation: 0,
            recent_set_ups: VecDeque::new(),
            load_history: VecDeque::new(),
        };
        ServerFleetModel { spec, servers: server_specs.into_iter().map(server).collect() }
    }

    /// The rack of a server.
    fn rack_of(&self, server: usize) -> usize {
        self.servers[server].spec.cell % self.spec.uplinks_kb.len()
    }

    /// Demand of the plays on a server's link, kB/s. Viewers of a live title share its stream.
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

    /// The present load of a server.
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

    /// Samples the load of every server, for reports that are delayed. Samples are kept for 15 s.
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

    /// The sampled load as it was `delay_ms` plus the injected `report_delay_ms` ago; the oldest sample if there is
    /// none that old, and the present load if there are no samples.
    pub fn reported_load(&self, now: f64, server: usize, delay_ms: f64) -> Load {
        let state = &self.servers[server];
        let sampled_by = now - delay_ms - state.faults.report_delay_ms;
        let sample =
            state.load_history.iter().rev().find(|(at, _)| *at <= sampled_by).or(state.load_history.front());
        sample.map_or_else(|| self.load(server), |(_, load)| *load)
    }

    /// Starts the process of a server, without plays.
    pub fn start(&mut self, now: f64, server: usize, cold: bool) {
        let state = &mut self.servers[server];
        state.generation += 1;
        state.faults.down = false;
        state.cold_started_at = cold.then_some(now);
        state.plays.clear();
        state.recent_set_ups.clear();
        state.load_history.clear();
    }

    /// Ends the process of a server, with all plays.
    pub fn stop(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.generation += 1;
        state.faults.down = true;
        state.plays.clear();
    }

    /// Records a set-up at a server. True if the server is cold and this overloads it.
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
        let capacity_fraction = spec.cold_from + (1.0 - spec.cold_from) * (now - started_at) / spec.cold_ms;
        let capacity = spec.overload_factor * state.spec.streams as f64 / spec.cold_ms
            * capacity_fraction
            * spec.overload_window_ms;
        state.recent_set_ups.len() as f64 > capacity + 2.0
    }

    /// Factor by which work takes longer now than at a warm server without faults.
    pub fn slowness(&self, now: f64, server: usize) -> f64 {
        let state = &self.servers[server];
        let cold_factor = state.cold_started_at.filter(|at| now < at + self.spec.cold_ms).map_or(1.0, |at| {
            let capacity_fraction =
                self.spec.cold_from + (1.0 - self.spec.cold_from) * (now - at) / self.spec.cold_ms;
            1.0 / capacity_fraction.clamp(0.25, 1.0)
        });
        cold_factor * state.faults.slow
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Four servers in two racks.
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
    #[test_case(true, 300.0; "a live title is shared")]
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
        assert_eq!(model.load(1).delivered, 1.0, "the other rack has spare capacity");
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
        model.servers[0].faults.report_delay_ms = 3000.0;
        assert_eq!(model.reported_load(1150.0, 0, 100.0).link, 0.0);
    }

    #[test]
    fn cold_server_is_overloaded_by_a_burst_but_not_by_a_steady_rate() {
        let mut model = model();
        model.start(0.0, 0, true);
        assert!((1..5).all(|i| !model.on_set_up(f64::from(i) * 250.0, 0)));
        assert!((0..20).any(|i| model.on_set_up(1000.0 + f64::from(i), 0)));
        assert!((0..20).all(|i| !model.on_set_up(6000.0 + f64::from(i), 0)), "the server is warm by then");
        assert!(model.slowness(500.0, 0) > 3.0 && model.slowness(6000.0, 0) == 1.0);
    }
}
