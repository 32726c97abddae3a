//! The memory of the dispatcher and the placement logic is bounded by the open plays and known servers, not by how long the
//! front has run. Measured by a counting allocator.

use pulleystair::{Listing, LoadMetric, Settings, Standing, Value};
use pulleystair_dispatcher::{Actions, Dispatcher, PlayRequest};
use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// The system's allocator, with a count of the allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicIsize = AtomicIsize::new(0);
/// Held by each test: the count covers the whole process, so one test runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

// SAFETY: all calls are passed on to the system's allocator; only a count is kept beside it.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Records the server of the latest play.
#[derive(Default)]
struct Host {
    last_server: Option<u32>,
}

impl Actions for Host {
    fn send(&mut self, _play: u64, server: u32, _rung: usize, _time_out: f64) {
        self.last_server = Some(server);
    }
    fn withdraw(&mut self, _play: u64) {}
    fn set_rung(&mut self, _play: u64, _rung: usize) {}
    fn probe(&mut self, _server: u32) {}
    fn decline(&mut self, _play: u64, _retry_after: f64) {}
    fn fail(&mut self, _play: u64) {}
    fn set_timer(&mut self, _timer: u32, _delay: f64) {}
    fn watch_list(&mut self) {}
}

/// Settings with an allocation budget, for four servers that never report their uplink.
fn test_settings() -> Settings {
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

/// A list of four servers with consecutive ids, each in a cell of its own.
fn list_from(first_id: u32) -> Vec<(u32, Listing)> {
    let entry = |cell| Listing { cell, standing: Standing::Ready, weight: 1.0, ..Listing::default() };
    (0..4).map(|s| (first_id + s, entry(s as usize))).collect()
}

fn dispatcher_with_list() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(test_settings(), 1);
    dispatcher.update_list(0.0, true, false, &list_from(0));
    dispatcher
}

/// Runs this many plays one after another, of `titles` titles in turn; each plays for 1 ms and ends well.
fn run_plays(dispatcher: &mut Dispatcher, first_id: u64, plays: u64, titles: u64, reports: bool) {
    let mut host = Host::default();
    for id in first_id..first_id + plays {
        let now = 10_000.0 + id as f64 * 20.0;
        let request = PlayRequest {
            product: 0,
            title: id % titles,
            first_cell: 0,
            holder_cells: 4,
            max_rung: 0,
            arrived_at: now,
            deadline: now + 2000.0,
        };
        dispatcher.add_play(now, id, &request, &mut host);
        let server = host.last_server.take().expect("a healthy fleet takes the play");
        dispatcher.on_playing(now + 1.0, id, &mut host);
        if reports {
            dispatcher.on_load_report(now + 1.0, server, &[LoadMetric::Link(0.1)], &mut host);
        }
        dispatcher.on_allocation_ended(
            now + 2.0,
            id,
            server,
            pulleystair::Outcome::Finished,
            true,
            &[],
            &mut host,
        );
    }
}

#[test]
fn memory_does_not_grow_with_the_number_of_plays() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    for reports in [true, false] {
        let mut dispatcher = dispatcher_with_list();
        run_plays(&mut dispatcher, 0, 2_000, 50, reports);
        let warmed_up = ALLOCATED_BYTES.load(Ordering::Relaxed);
        run_plays(&mut dispatcher, 2_000, 20_000, 50, reports);
        let grown = ALLOCATED_BYTES.load(Ordering::Relaxed) - warmed_up;
        assert!(grown < 8_192, "{grown} bytes more after 20,000 plays; servers report: {reports}");
    }
}

#[test]
fn memory_does_not_grow_with_the_number_of_past_titles() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut dispatcher = dispatcher_with_list();
    run_plays(&mut dispatcher, 0, 2_000, u64::MAX, true);
    let warmed_up = ALLOCATED_BYTES.load(Ordering::Relaxed);
    run_plays(&mut dispatcher, 2_000, 20_000, u64::MAX, true);
    let grown = ALLOCATED_BYTES.load(Ordering::Relaxed) - warmed_up;
    assert!(grown < 8_192, "{grown} bytes more for past titles");
}

#[test]
fn memory_does_not_grow_with_the_number_of_past_servers() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut dispatcher = Dispatcher::new(test_settings(), 1);
    let replace_servers = |dispatcher: &mut Dispatcher, first_list: u32, lists: u32| {
        for list in first_list..first_list + lists {
            dispatcher.update_list(f64::from(list), true, false, &list_from(list * 4));
            run_plays(dispatcher, u64::from(list) * 50, 50, 5, true);
            assert!(
                list == 0 || (0..4).all(|s| dispatcher.forget_server((list - 1) * 4 + s)),
                "no play refers to a past server"
            );
        }
    };
    replace_servers(&mut dispatcher, 0, 20);
    let warmed_up = ALLOCATED_BYTES.load(Ordering::Relaxed);
    replace_servers(&mut dispatcher, 20, 200);
    let grown = ALLOCATED_BYTES.load(Ordering::Relaxed) - warmed_up;
    assert!(grown < 8_192, "{grown} bytes more for past servers");
}

#[test]
fn a_server_is_not_forgotten_while_a_play_refers_to_it() {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut dispatcher, mut host) = (Dispatcher::new(test_settings(), 1), Host::default());
    let entry = list_from(0)[0].1;
    dispatcher.update_list(0.0, true, false, &[(7, entry)]);
    let request = PlayRequest {
        product: 0,
        title: 1,
        first_cell: 0,
        holder_cells: 1,
        max_rung: 0,
        arrived_at: 1.0,
        deadline: 3000.0,
    };
    dispatcher.add_play(1.0, 1, &request, &mut host);
    dispatcher.on_playing(2.0, 1, &mut host);
    dispatcher.update_list(3.0, true, false, &[]);
    assert!(!dispatcher.forget_server(7) && dispatcher.play_count_at(7) == 1);
    dispatcher.on_allocation_ended(4.0, 1, 7, pulleystair::Outcome::Finished, true, &[], &mut host);
    assert!(dispatcher.forget_server(7) && dispatcher.play_count_at(7) == 0);
    // The index now belongs to another server, which is not affected by its former use.
    dispatcher.update_list(5.0, true, false, &[(8, entry)]);
    dispatcher.add_play(6.0, 2, &PlayRequest { arrived_at: 6.0, ..request }, &mut host);
    assert_eq!(host.last_server, Some(8));
}
