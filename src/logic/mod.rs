//! All decisions of one front. A caller makes a [`Policy`] from its call sheet and seed, tells it facts
//! (`update_list`, `apply_hint`, `add_play`, `adopt`, `on_load_metric`, `on_viewer_left`, ...), and asks three things of it: `place` (where to
//! send this play, or not yet, or never), `after_outcome` (what to do after this outcome) and `time_to_recheck` (how long until
//! it is to be asked about again). `placing` has a play's ordinary path, `facts` what is told and what
//! follows, `room` links and what they carry, `pace` turns at cold and doubted servers, `rungs` the steps of
//! quality; `shown` decides nothing.

mod facts;
mod pace;
mod placing;
mod room;
mod rungs;
mod shown;

use crate::{Settings, Value, number};
use room::{Pipe, Server, meeting};
use std::collections::{BTreeMap, VecDeque};

/// Quiet spell before a step up, and the random addition to it, ms.
const QUIET: f64 = 5_000.0;
const JITTER: f64 = 5_000.0;

/// How long a front recalls which servers its plays asked for, ms.
const MEMORY: f64 = 60_000.0;

struct Product {
    importance: f64,
    target: f64,
    effect: String,
    group: String,
    repeat_window: f64,
    floor: usize,
    top: usize,
    scale: f64,
    live: bool,
    seats: usize,
}

pub struct Policy {
    sheet: Settings,
    rnd: oorandom::Rand64,
    fronts: f64,
    rank: f64,
    ladder: Vec<f64>,
    earns: Vec<f64>,
    products: Vec<Product>,
    /// The part of its rate that a further viewer adds to a live stream.
    shared: f64,
    servers: Vec<Server>,
    /// The listed servers of each cell, and the uplink of each rack.
    cells: Vec<Vec<usize>>,
    racks: Vec<Pipe>,
    /// Running mean of the links' shares heard, which stands in for servers that are not measured.
    mean: f64,
    fleet: f64,
    /// What this front set up of late, kB, and how many plays wanted a server; both fade over RECENT.
    recent: (f64, f64),
    wanted: f64,
    seats: BTreeMap<(usize, usize), usize>,
    taken: VecDeque<f64>,
    further: VecDeque<f64>,
    /// When a cached list made all servers count as cold.
    cached: f64,
    /// Since when it has listed servers, and so counts what is asked of them.
    since: f64,
}

fn text(sheet: &Settings, name: &str) -> String {
    if let Some(Value::Text(t)) = sheet.get(name) { t.clone() } else { String::new() }
}

fn row(sheet: &Settings, name: &str) -> Vec<f64> {
    let given = (0..).take_while(|i| sheet.contains_key(&format!("{name}.{i}")));
    given.map(|i| number(sheet, &format!("{name}.{i}"), 0.0)).collect()
}

impl Policy {
    pub fn new(sheet: Settings, seed: u64) -> Policy {
        let mut ladder = row(&sheet, "extra.ladder_kb");
        let mut earns = row(&sheet, "extra.rung_worth");
        ladder.resize(ladder.len().max(1), 0.0);
        earns.resize(ladder.len(), 0.0);
        let product = |i: usize| {
            let of = |part: &str, other: f64| number(&sheet, &format!("products.{i}.{part}"), other);
            let extra = |part: &str, other: f64| number(&sheet, &format!("extra.{part}.{i}"), other);
            Product {
                importance: of("importance", 1.0),
                target: of("first_frame_target", 1000.0),
                effect: text(&sheet, &format!("products.{i}.effect")),
                group: text(&sheet, &format!("products.{i}.key_scope")),
                repeat_window: of("repeat_window", 0.0),
                floor: (extra("class_floor", 0.0) as usize).min(ladder.len() - 1),
                top: extra("top_by_class", 99.0) as usize,
                scale: extra("class_scale", 1.0),
                live: extra("class_live", 0.0) > 0.0,
                seats: extra("seats", 0.0) as usize,
            }
        };
        let named = |i: &usize| sheet.contains_key(&format!("products.{i}.name"));
        let worth = |i: &usize| sheet.contains_key(&format!("products.{i}.importance"));
        let count = (0..).take_while(|i| named(i) || worth(i)).count();
        let products = (0..count).map(product).collect();
        let racks = number(&sheet, "extra.cabinets", 1.0).clamp(1.0, 65_536.0) as usize;
        // A rack's share of all uplinks goes by its part of the cells.
        let (mean, cells) = (number(&sheet, "extra.rack_link_kb", 1.0), number(&sheet, "extra.places", 1.0));
        let fronts = number(&sheet, "balancers", 1.0).max(1.0);
        let rack = |r: usize| {
            let own = ((cells - r as f64) / racks as f64).ceil();
            let size = (mean * racks as f64 * own / cells).max(1.0);
            Pipe { size, fronts: meeting(fronts, &ladder, size), ..Pipe::default() }
        };
        Policy {
            racks: (0..racks).map(rack).collect(),
            rnd: oorandom::Rand64::new(seed.into()),
            fronts,
            rank: number(&sheet, "rank", 0.0),
            earns,
            ladder,
            products,
            shared: number(&sheet, "extra.join", 1.0),
            servers: Vec::new(),
            cells: vec![Vec::new(); cells.clamp(1.0, 65_536.0) as usize],
            mean: 0.5,
            recent: (0.0, 0.0),
            wanted: 0.0,
            fleet: number(&sheet, "extra.fleet_kb", 1.0).max(1.0),
            seats: BTreeMap::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            cached: -1.0,
            since: f64::MAX,
            sheet,
        }
    }

    /// Whether the call sheet names this product.
    pub fn has_product(&self, product: usize) -> bool {
        product < self.products.len()
    }

    /// When to ask discovery for changes, where it must be asked: now, or after a pause if a call has failed.
    pub fn list_watch_delay(&self, failed: bool) -> Option<f64> {
        let asked = text(&self.sheet, "discovery") == "subscribe";
        asked.then_some(if failed { 1000.0 } else { 0.0 })
    }

    fn spell(&mut self) -> f64 {
        QUIET + JITTER * self.rnd.rand_float()
    }

    fn know(&mut self, s: usize) {
        if s >= self.servers.len() {
            self.servers.resize_with(s + 1, Server::default);
        }
    }

    fn rule(&self, name: &str, otherwise: f64) -> f64 {
        number(&self.sheet, name, otherwise)
    }
}
