//! All decisions of one front. The caller creates a [`Policy`] from its settings and a seed, passes it facts
//! (`update_list`, `apply_hint`, `add_play`, `adopt`, `on_load_metric`, `finish_play`, ...), and asks it three questions:
//! `place` (where to send this play, or that it has to wait, or that it is refused), `after_outcome` (what to do after an
//! allocation's outcome) and `time_to_recheck` (how long until the play is to be placed again).
//!
//! `placing` holds the ordinary path of a play, `facts` takes in the facts and draws the consequences, `room` models links
//! and their load, `pace` limits the rate of plays to cold and doubted servers, `rungs` chooses and changes rungs, and
//! `settings_view` shows and overrides settings and decides nothing. Times are in ms, rates and capacities in kB.

mod facts;
mod pace;
mod placing;
mod room;
mod rungs;
mod settings_view;

use crate::{Settings, Value, number};
use room::{Link, Server, fronts_on_link};
use std::collections::{BTreeMap, VecDeque};

/// How long a play keeps its rung at least before it may step up.
const QUIET_MS: f64 = 5_000.0;
/// Upper bound of the random addition to QUIET_MS.
const QUIET_JITTER_MS: f64 = 5_000.0;

/// Time constant of the count of plays that could have been sent to a server.
const ELIGIBLE_MEMORY_MS: f64 = 60_000.0;

/// One product's settings.
struct Product {
    importance: f64,
    /// First-frame target, ms.
    first_frame_target: f64,
    /// Whether a set-up may be repeated: `read_like`, `idempotency_key` or `non_idempotent`.
    effect: String,
    /// Where a repeated set-up with the same key is recognised: `all`, `zone` or `cell`.
    key_scope: String,
    /// How long after its first sending a keyed set-up may be repeated, ms.
    repeat_window: f64,
    min_rung: usize,
    max_rung: usize,
    /// Factor on the ladder's rates.
    rate_scale: f64,
    is_live: bool,
    /// Plays of one title at a time; 0 for no limit.
    seat_limit: usize,
}

/// The placement decisions of one front, and their state.
pub struct Policy {
    settings: Settings,
    rng: oorandom::Rand64,
    front_count: f64,
    /// This front's number among the fronts, from 0.
    rank: f64,
    /// Rate of each rung, kB.
    ladder_kb: Vec<f64>,
    /// Value of each rung to a viewer (`extra.rung_worth`).
    rung_values: Vec<f64>,
    products: Vec<Product>,
    /// The part of its rate that a further viewer adds to a live stream.
    join_share: f64,
    servers: Vec<Server>,
    /// The listed servers of each cell.
    cells: Vec<Vec<usize>>,
    /// The uplink of each rack.
    uplinks: Vec<Link>,
    /// Running mean of the reported link utilizations, assumed for servers without a measurement.
    mean_utilization: f64,
    /// Capacity of all servers' links.
    total_capacity_kb: f64,
    /// Load that this front set up recently (kB), decaying over FLOOD_MEMORY_MS, and the time up to which it has decayed.
    recent_set_up_kb: (f64, f64),
    /// Number of plays that this front was recently asked to place, decaying over FLOOD_MEMORY_MS up to the same time.
    recent_plays: f64,
    /// Seats taken, by product and title.
    seats_taken: BTreeMap<(usize, usize), usize>,
    /// When plays arrived, within the span of the allocation budget.
    arrivals: VecDeque<f64>,
    /// When further allocations (those after a play's first) were sent, within the same span.
    further_allocations: VecDeque<f64>,
    /// When a cached list made all servers count as cold; -1 for never.
    cached_list_at: f64,
    /// Since when this front has had a server list, and so has counted the plays that could be sent to each server.
    listing_since: f64,
}

/// The text setting of this name; empty where the settings have no text of that name.
fn text_setting(settings: &Settings, name: &str) -> String {
    if let Some(Value::Text(t)) = settings.get(name) { t.clone() } else { String::new() }
}

/// The numbers `name.0`, `name.1`, ... up to the first that is not set; one that is set to a text counts as 0.
fn number_list(settings: &Settings, name: &str) -> Vec<f64> {
    let indices = (0..).take_while(|i| settings.contains_key(&format!("{name}.{i}")));
    indices.map(|i| number(settings, &format!("{name}.{i}"), 0.0)).collect()
}

impl Policy {
    /// A front's decisions by these settings; `seed` determines all random draws.
    pub fn new(settings: Settings, seed: u64) -> Policy {
        let mut ladder_kb = number_list(&settings, "extra.ladder_kb");
        let mut rung_values = number_list(&settings, "extra.rung_worth");
        ladder_kb.resize(ladder_kb.len().max(1), 0.0);
        rung_values.resize(ladder_kb.len(), 0.0);
        let product = |i: usize| {
            let product_number =
                |part: &str, default: f64| number(&settings, &format!("products.{i}.{part}"), default);
            let extra_number =
                |part: &str, default: f64| number(&settings, &format!("extra.{part}.{i}"), default);
            Product {
                importance: product_number("importance", 1.0),
                first_frame_target: product_number("first_frame_target", 1000.0),
                effect: text_setting(&settings, &format!("products.{i}.effect")),
                key_scope: text_setting(&settings, &format!("products.{i}.key_scope")),
                repeat_window: product_number("repeat_window", 0.0),
                min_rung: (extra_number("class_floor", 0.0) as usize).min(ladder_kb.len() - 1),
                max_rung: extra_number("top_by_class", 99.0) as usize,
                rate_scale: extra_number("class_scale", 1.0),
                is_live: extra_number("class_live", 0.0) > 0.0,
                seat_limit: extra_number("seats", 0.0) as usize,
            }
        };
        let has_name = |i: &usize| settings.contains_key(&format!("products.{i}.name"));
        let has_importance = |i: &usize| settings.contains_key(&format!("products.{i}.importance"));
        let product_count = (0..).take_while(|i| has_name(i) || has_importance(i)).count();
        let products = (0..product_count).map(product).collect();
        let rack_count = number(&settings, "extra.cabinets", 1.0).clamp(1.0, 65_536.0) as usize;
        // Uplink capacity is divided among the racks by their numbers of cells.
        let (mean_uplink_kb, cell_count) =
            (number(&settings, "extra.rack_link_kb", 1.0), number(&settings, "extra.places", 1.0));
        let front_count = number(&settings, "balancers", 1.0).max(1.0);
        let uplink = |rack: usize| {
            let rack_cells = ((cell_count - rack as f64) / rack_count as f64).ceil();
            let capacity_kb = (mean_uplink_kb * rack_count as f64 * rack_cells / cell_count).max(1.0);
            Link {
                capacity_kb,
                front_count: fronts_on_link(front_count, &ladder_kb, capacity_kb),
                ..Link::default()
            }
        };
        Policy {
            uplinks: (0..rack_count).map(uplink).collect(),
            rng: oorandom::Rand64::new(seed.into()),
            front_count,
            rank: number(&settings, "rank", 0.0),
            rung_values,
            ladder_kb,
            products,
            join_share: number(&settings, "extra.join", 1.0),
            servers: Vec::new(),
            cells: vec![Vec::new(); cell_count.clamp(1.0, 65_536.0) as usize],
            mean_utilization: 0.5,
            recent_set_up_kb: (0.0, 0.0),
            recent_plays: 0.0,
            total_capacity_kb: number(&settings, "extra.fleet_kb", 1.0).max(1.0),
            seats_taken: BTreeMap::new(),
            arrivals: VecDeque::new(),
            further_allocations: VecDeque::new(),
            cached_list_at: -1.0,
            listing_since: f64::MAX,
            settings,
        }
    }

    /// Whether the settings name this product.
    pub fn has_product(&self, product: usize) -> bool {
        product < self.products.len()
    }

    /// Delay (ms) until discovery is to be asked for changes: 0 at first, 1000 after a failed call; none where discovery sends
    /// changes without being asked.
    pub fn list_watch_delay(&self, failed: bool) -> Option<f64> {
        let must_subscribe = text_setting(&self.settings, "discovery") == "subscribe";
        must_subscribe.then_some(if failed { 1000.0 } else { 0.0 })
    }

    /// Draws a quiet period: how long a play keeps its rung before it may step up.
    fn draw_quiet_period(&mut self) -> f64 {
        QUIET_MS + QUIET_JITTER_MS * self.rng.rand_float()
    }

    /// Makes sure that `servers` has an element of this index.
    fn ensure_server(&mut self, server_index: usize) {
        if server_index >= self.servers.len() {
            self.servers.resize_with(server_index + 1, Server::default);
        }
    }

    /// The numeric setting of this name, or `default`.
    fn number_setting(&self, name: &str, default: f64) -> f64 {
        number(&self.settings, name, default)
    }
}
