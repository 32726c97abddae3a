//! What a front keeps in mind is bounded by what is under way, not by how long it has run: counted by an allocator
//! around everything that the desk and the decisions hold.

use pulleystair::{Listing, LoadMetric, Settings, Standing, Value};
use pulleystair_dispatcher::{Actions, Dispatcher, PlayRequest};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::{Mutex, PoisonError};

struct Counting;

static HELD: AtomicIsize = AtomicIsize::new(0);
/// The count is the whole process's, so one test runs at a time.
static ALONE: Mutex<()> = Mutex::new(());

// SAFETY: all is left to the system's allocator; only a count is kept beside it.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, it: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(it, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Remembers the latest play's server.
#[derive(Default)]
struct Host {
    sent: Option<u32>,
}

impl Actions for Host {
    fn send(&mut self, _play: u64, server: u32, _rung: usize, _time_out: f64) {
        self.sent = Some(server);
    }
    fn withdraw(&mut self, _play: u64) {}
    fn set_rung(&mut self, _play: u64, _rung: usize) {}
    fn probe(&mut self, _server: u32) {}
    fn decline(&mut self, _play: u64, _pause: f64) {}
    fn fail(&mut self, _play: u64) {}
    fn set_timer(&mut self, _mark: u32, _wait: f64) {}
    fn watch_list(&mut self) {}
}

/// A budget of allocations, four servers, and an uplink that none of them ever reports.
fn sheet() -> Settings {
    let numbers = [
        ("balancers", 2.0),
        ("products.0.importance", 1.0),
        ("products.0.first_frame_target", 1000.0),
        ("extra.ladder_kb.0", 10.0),
        ("extra.rung_worth.0", 1.0),
        ("extra.link_unit_kb", 100_000.0),
        ("extra.rack_link_kb", 200_000.0),
        ("extra.cabinets", 2.0),
        ("extra.places", 4.0),
        ("extra.fleet_kb", 400_000.0),
        ("extra.seen_after", 1000.0),
        ("ceilings.attempts_cap", 3.0),
        ("rules.cold", 5_000.0),
        ("rules.overload_factor", 2.0),
        ("rules.budget_share", 0.2),
        ("rules.budget_span", 5_000.0),
        ("rules.free_resends", 2.0),
    ];
    numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect()
}

/// Four servers, numbered from here, each in a cell of its own.
fn lines(from: u32) -> Vec<(u32, Listing)> {
    let line = |cell| Listing { cell, standing: Standing::Ready, weight: 1.0, ..Listing::default() };
    (0..4).map(|s| (from + s, line(s as usize))).collect()
}

fn listed() -> Dispatcher {
    let mut desk = Dispatcher::new(sheet(), 1);
    desk.update_list(0.0, true, false, &lines(0));
    desk
}

/// Plays that come, run for a second and end well, so many of them, of so many titles in turn.
fn run(desk: &mut Dispatcher, from: u64, plays: u64, titles: u64, reports: bool) {
    let mut host = Host::default();
    for id in from..from + plays {
        let now = 10_000.0 + id as f64 * 20.0;
        let wish = PlayRequest {
            product: 0,
            title: id % titles,
            first_cell: 0,
            holders: 4,
            max_rung: 0,
            arrived_at: now,
            deadline: now + 2000.0,
        };
        desk.add_play(now, id, &wish, &mut host);
        let server = host.sent.take().expect("a healthy fleet takes it");
        desk.on_playing(now + 1.0, id, &mut host);
        if reports {
            desk.on_load_report(now + 1.0, server, &[LoadMetric::Link(0.1)], &mut host);
        }
        desk.on_allocation_ended(now + 2.0, id, server, pulleystair::Outcome::Finished, true, &[], &mut host);
    }
}

#[test]
fn a_front_that_runs_for_long_holds_no_more_than_one_that_has_warmed_up() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    for reports in [true, false] {
        let mut desk = listed();
        run(&mut desk, 0, 2_000, 50, reports);
        let warmed_up = HELD.load(Ordering::Relaxed);
        run(&mut desk, 2_000, 20_000, 50, reports);
        let grown = HELD.load(Ordering::Relaxed) - warmed_up;
        assert!(grown < 8_192, "{grown} bytes more after 20,000 plays; servers report: {reports}");
    }
}

#[test]
fn titles_that_are_gone_are_forgotten() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut desk = listed();
    run(&mut desk, 0, 2_000, u64::MAX, true);
    let warmed_up = HELD.load(Ordering::Relaxed);
    run(&mut desk, 2_000, 20_000, u64::MAX, true);
    let grown = HELD.load(Ordering::Relaxed) - warmed_up;
    assert!(grown < 8_192, "{grown} bytes more for titles that are gone");
}

#[test]
fn servers_that_are_gone_for_good_are_forgotten() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut desk = Dispatcher::new(sheet(), 1);
    let replace = |desk: &mut Dispatcher, from: u32, lists: u32| {
        for list in from..from + lists {
            desk.update_list(f64::from(list), true, false, &lines(list * 4));
            run(desk, u64::from(list) * 50, 50, 5, true);
            assert!(
                list == 0 || (0..4).all(|s| desk.forget_server((list - 1) * 4 + s)),
                "none is held there"
            );
        }
    };
    replace(&mut desk, 0, 20);
    let warmed_up = HELD.load(Ordering::Relaxed);
    replace(&mut desk, 20, 200);
    let grown = HELD.load(Ordering::Relaxed) - warmed_up;
    assert!(grown < 8_192, "{grown} bytes more for servers that are gone");
}

#[test]
fn a_server_is_not_forgotten_while_a_play_goes_by_it() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut desk, mut host) = (Dispatcher::new(sheet(), 1), Host::default());
    let line = lines(0)[0].1;
    desk.update_list(0.0, true, false, &[(7, line)]);
    let wish = PlayRequest {
        product: 0,
        title: 1,
        first_cell: 0,
        holders: 1,
        max_rung: 0,
        arrived_at: 1.0,
        deadline: 3000.0,
    };
    desk.add_play(1.0, 1, &wish, &mut host);
    desk.on_playing(2.0, 1, &mut host);
    desk.update_list(3.0, true, false, &[]);
    assert!(!desk.forget_server(7) && desk.play_count_at(7) == 1);
    desk.on_allocation_ended(4.0, 1, 7, pulleystair::Outcome::Finished, true, &[], &mut host);
    assert!(desk.forget_server(7) && desk.play_count_at(7) == 0);
    // Its index is another's now: that one is no worse for it.
    desk.update_list(5.0, true, false, &[(8, line)]);
    desk.add_play(6.0, 2, &PlayRequest { arrived_at: 6.0, ..wish }, &mut host);
    assert_eq!(host.sent, Some(8));
}
