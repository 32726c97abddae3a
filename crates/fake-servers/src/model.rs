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
    pub overload: f64,
    pub fall_ms: f64,
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
    pub plays: bool,
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
    pub build: ServerSpec,
    pub faults: ServerFaults,
    pub plays: BTreeMap<String, Play>,
    pub started: Option<f64>,
    /// Steps of rung and segments that were asked for, carried out and sent or not.
    pub steps_read: usize,
    pub segments_read: usize,
    /// Counts the starts: what ran before the present one is gone.
    pub life: u64,
    sent: VecDeque<f64>,
    history: VecDeque<(f64, Load)>,
}

pub struct ServerFleetModel {
    pub ground: ServerFleetSpec,
    pub servers: Vec<Server>,
}

impl ServerFleetModel {
    pub fn new(ground: ServerFleetSpec, builds: Vec<ServerSpec>) -> ServerFleetModel {
        let server = |build| Server {
            build,
            faults: ServerFaults::default(),
            plays: BTreeMap::new(),
            started: None,
            steps_read: 0,
            segments_read: 0,
            life: 0,
            sent: VecDeque::new(),
            history: VecDeque::new(),
        };
        ServerFleetModel { ground, servers: builds.into_iter().map(server).collect() }
    }

    fn rack(&self, server: usize) -> usize {
        self.servers[server].build.cell % self.ground.uplinks_kb.len()
    }

    /// What plays ask of a server's link, kB/s: viewers of a live title share its stream.
    pub fn demand(&self, server: usize) -> f64 {
        let mut streams: BTreeMap<(&str, usize, usize), bool> = BTreeMap::new();
        let mut asked = 0.0;
        for play in self.servers[server].plays.values().filter(|p| p.plays) {
            let rate = self.ground.ladder[play.rung] * play.factor;
            let first = streams.insert((&play.title, play.product, play.rung), true).is_none();
            asked += if play.live && !first { rate * self.ground.shared_part } else { rate };
        }
        asked
    }

    pub fn load(&self, server: usize) -> Load {
        let it = &self.servers[server];
        let given = (it.build.link_kb * it.faults.link * (1.0 - it.faults.neighbour)).max(1.0);
        let link = self.demand(server) / given;
        let rack = self.rack(server);
        let there = (0..self.servers.len()).filter(|s| self.rack(*s) == rack);
        let (mut asked, mut part) = (0.0, 1.0f64);
        for s in there {
            asked += self.demand(s);
            part = part.min(self.servers[s].faults.uplink);
        }
        let uplink = asked / (self.ground.uplinks_kb[rack] * part).max(1.0);
        let delivered = (1.0 / link.max(1.0)).min(1.0 / uplink.max(1.0));
        Load { link, uplink, delivered, streams: it.plays.len() as f64 }
    }

    /// Remembers every server's load, for reports that come late.
    pub fn sample(&mut self, now: f64) {
        for server in 0..self.servers.len() {
            let load = self.load(server);
            let history = &mut self.servers[server].history;
            history.push_back((now, load));
            while history.len() > 2 && history[1].0 < now - 15_000.0 {
                history.pop_front();
            }
        }
    }

    /// The load as it was `late` ms ago, or more where reports come late.
    pub fn reported_load(&self, now: f64, server: usize, late: f64) -> Load {
        let it = &self.servers[server];
        let then = now - late - it.faults.late_ms;
        let past = it.history.iter().rev().find(|(at, _)| *at <= then).or(it.history.front());
        past.map_or_else(|| self.load(server), |(_, load)| *load)
    }

    /// A process starts.
    pub fn start(&mut self, now: f64, server: usize, cold: bool) {
        let it = &mut self.servers[server];
        it.life += 1;
        it.faults.down = false;
        it.started = cold.then_some(now);
        it.plays.clear();
        it.sent.clear();
        it.history.clear();
    }

    pub fn stop(&mut self, server: usize) {
        let it = &mut self.servers[server];
        it.life += 1;
        it.faults.down = true;
        it.plays.clear();
    }

    /// A set-up was sent to a server; true if that pushed it over while it was cold.
    pub fn on_set_up(&mut self, now: f64, server: usize) -> bool {
        let ground = &self.ground;
        let it = &mut self.servers[server];
        let Some(started) = it.started.filter(|at| now < at + ground.cold_ms) else { return false };
        it.sent.push_back(now);
        while it.sent.front().is_some_and(|at| *at <= now - ground.fall_ms) {
            it.sent.pop_front();
        }
        let warm = ground.cold_from + (1.0 - ground.cold_from) * (now - started) / ground.cold_ms;
        let carries = ground.overload * it.build.streams as f64 / ground.cold_ms * warm * ground.fall_ms;
        it.sent.len() as f64 > carries + 2.0
    }

    /// How long work takes now, against a warm and well server: a cold one is slower.
    pub fn slowness(&self, now: f64, server: usize) -> f64 {
        let it = &self.servers[server];
        let cold = it.started.filter(|at| now < at + self.ground.cold_ms).map_or(1.0, |at| {
            let warm =
                self.ground.cold_from + (1.0 - self.ground.cold_from) * (now - at) / self.ground.cold_ms;
            1.0 / warm.clamp(0.25, 1.0)
        });
        cold * it.faults.slow
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn world() -> ServerFleetModel {
        let ground = ServerFleetSpec {
            ladder: vec![100.0, 200.0],
            uplinks_kb: vec![1000.0, 1000.0],
            shared_part: 0.25,
            rate_spread: 0.0,
            reports_late_ms: 100.0,
            notes_late_ms: 500.0,
            notes_every_ms: 2000.0,
            cold_ms: 5000.0,
            cold_from: 0.2,
            overload: 2.0,
            fall_ms: 1000.0,
            down_ms: 3000.0,
            lease_ms: 500.0,
        };
        let build = |cell| ServerSpec {
            zone: 0,
            cell,
            cores: 2,
            queue: 8,
            streams: 20,
            link_kb: 800.0,
            work_ms: 20.0,
            work_spread: 0.3,
        };
        ServerFleetModel::new(ground, (0..4).map(build).collect())
    }

    fn play(title: &str, live: bool, rung: usize) -> Play {
        Play { title: title.into(), product: 0, live, rung, factor: 1.0, plays: true }
    }

    #[test_case(false, 600.0; "recorded titles add up")]
    #[test_case(true, 300.0; "a live one is shared")]
    fn what_viewers_ask(live: bool, kb: f64) {
        let mut world = world();
        for name in ["a", "b", "c"] {
            world.servers[0].plays.insert(name.into(), play("t", live, 1));
        }
        assert_eq!(world.demand(0), kb);
    }

    #[test]
    fn an_over_asked_uplink_cuts_every_server_of_its_rack_alike() {
        let mut world = world();
        for server in [0, 2] {
            for i in 0..3 {
                world.servers[server].plays.insert(format!("{server}{i}"), play(&i.to_string(), false, 1));
            }
        }
        assert_eq!((world.load(0).link, world.load(0).uplink), (0.75, 1.2));
        assert_eq!(world.load(0).delivered, world.load(2).delivered);
        world.servers[2].faults.uplink = 0.5;
        assert_eq!(world.load(0).uplink, 2.4);
        assert_eq!(world.load(1).delivered, 1.0, "the other rack has room");
        world.servers[0].faults.neighbour = 0.5;
        assert_eq!(world.load(0).link, 1.5);
    }

    #[test]
    fn reports_are_late() {
        let mut world = world();
        world.sample(0.0);
        world.servers[0].plays.insert("a".into(), play("t", false, 1));
        world.sample(1000.0);
        assert_eq!(world.reported_load(1050.0, 0, 100.0).link, 0.0);
        assert_eq!(world.reported_load(1150.0, 0, 100.0).link, 0.25);
        world.servers[0].faults.late_ms = 3000.0;
        assert_eq!(world.reported_load(1150.0, 0, 100.0).link, 0.0);
    }

    #[test]
    fn a_cold_server_falls_over_when_rushed_and_not_at_its_pace() {
        let mut world = world();
        world.start(0.0, 0, true);
        assert!((1..5).all(|i| !world.on_set_up(f64::from(i) * 250.0, 0)));
        assert!((0..20).any(|i| world.on_set_up(1000.0 + f64::from(i), 0)));
        assert!((0..20).all(|i| !world.on_set_up(6000.0 + f64::from(i), 0)), "warm by then");
        assert!(world.slowness(500.0, 0) > 3.0 && world.slowness(6000.0, 0) == 1.0);
    }
}
