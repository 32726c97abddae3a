//! Plays that wait hear in the same turn when their last hope goes, whatever takes it; none is held until its time is up.

mod notebook;

use notebook::{Deed, Notebook};
use pulleystair::{Listing, LoadMetric, Outcome, Settings, Standing, Value};
use pulleystair_dispatcher::{Dispatcher, PlayRequest};
use test_case::test_case;

/// The second of two fronts, a product, and one holder that starts cold: a play waits for its turn there.
fn sheet() -> Settings {
    let numbers = [
        ("balancers", 2.0),
        ("rank", 1.0),
        ("products.0.importance", 1.0),
        ("products.0.first_frame_target", 1000.0),
        ("extra.ladder_kb.0", 100.0),
        ("extra.rung_worth.0", 1.0),
        ("extra.link_unit_kb", 1000.0),
        ("extra.rack_link_kb", 10_000.0),
        ("extra.fleet_kb", 2000.0),
        ("extra.stall_cost", 7.0),
        ("extra.places", 2.0),
        ("extra.places_by_kind.0", 24.0),
        ("extra.seen_after", 0.0),
        ("ceilings.attempts_cap", 4.0),
        ("ceilings.retry_after", 1.0),
        ("ceilings.max_retry_after", 500.0),
        ("rules.cold", 12_000.0),
        ("rules.cold_from", 0.5),
        ("rules.overload_factor", 2.0),
    ];
    numbers.iter().map(|(name, value)| ((*name).to_string(), Value::Number(*value))).collect()
}

const COLD: u32 = 7;

struct House {
    desk: Dispatcher,
    notes: Notebook,
    now: f64,
}

impl House {
    /// The server has been listed, and no play has come.
    fn of(sheet: Settings) -> House {
        let mut house = House { desk: Dispatcher::new(sheet, 1), notes: Notebook::default(), now: 12_000.0 };
        house.list(Standing::Ready);
        house
    }

    fn list(&mut self, standing: Standing) {
        let line = Listing { standing, weight: 1.0, started_at: 10_000.0, ..Listing::default() };
        self.desk.update_list(self.now, true, false, &[(COLD, line)]);
    }

    fn take(&mut self, id: u64) {
        let (now, limit) = (self.now, self.now + 4000.0);
        let wish = PlayRequest {
            product: 0,
            title: id,
            first_cell: 0,
            holders: 1,
            max_rung: 0,
            arrived_at: now,
            deadline: limit,
        };
        self.desk.add_play(now, id, &wish, &mut self.notes);
    }

    /// What was asked of the hands in this turn, but for timers.
    fn look(&mut self) -> Vec<Deed> {
        self.desk.end_turn(self.now, &mut self.notes);
        std::mem::take(&mut self.notes.0).into_iter().filter(|deed| !matches!(deed, Deed::Wake(..))).collect()
    }
}

/// One play plays at the cold server since its first turn, the next waits for its own turn there.
fn one_waits() -> House {
    let mut house = House::of(sheet());
    house.take(1);
    assert!(matches!(house.look()[..], [Deed::Send { play: 1, server: COLD, .. }]));
    house.desk.on_playing(house.now, 1, &mut house.notes);
    house.now += 10.0;
    house.take(2);
    assert_eq!(house.look(), [], "it waits");
    house.now += 10.0;
    house
}

fn drains(house: &mut House) {
    house.list(Standing::Draining);
}

fn goes(house: &mut House) {
    house.desk.update_list(house.now, true, false, &[]);
}

/// What plays there is worth more than the one that waits, and gets short shares already.
fn fills(house: &mut House) {
    for _ in 0..2 {
        house.now += 600.0;
        house.desk.on_load_report(house.now, COLD, &[LoadMetric::Link(1.3)], &mut house.notes);
    }
}

/// What played there is cut, so the process may have been lost and be colder than it was.
fn breaks(house: &mut House) {
    house.now = 15_000.0;
    house.desk.on_allocation_ended(house.now, 1, COLD, Outcome::Broken, true, &[], &mut house.notes);
}

#[test_case(drains)]
#[test_case(goes)]
#[test_case(fills)]
#[test_case(breaks)]
fn the_answer_comes_when_the_last_hope_goes(takes_it: fn(&mut House)) {
    let mut house = one_waits();
    takes_it(&mut house);
    assert_eq!(house.look(), [Deed::Declined(2, 500.0)]);
    assert!(house.desk.play(2).is_none());
}

#[test]
fn a_host_that_stops_has_all_answered_and_what_is_out_withdrawn() {
    let mut house = one_waits();
    house.desk.expire_pending(house.now, &mut house.notes);
    assert_eq!(house.look(), [Deed::Declined(2, 500.0)], "what plays goes on");
    let mut house = House::of(sheet());
    house.take(1);
    house.look();
    house.desk.expire_pending(house.now, &mut house.notes);
    assert_eq!(house.look(), [Deed::Withdraw(1)]);
    house.desk.on_allocation_ended(house.now, 1, COLD, Outcome::Withdrawn, false, &[], &mut house.notes);
    assert_eq!(house.look(), [Deed::Declined(1, 500.0)], "and not sent again");
}

#[test]
fn a_turn_that_comes_early_is_taken_at_once() {
    let mut house = one_waits();
    let beside = Listing { standing: Standing::Ready, weight: 1.0, ..Listing::default() };
    house.desk.update_list(house.now, false, false, &[(8, beside)]);
    assert!(matches!(house.look()[..], [Deed::Send { play: 2, server: 8, .. }]));
}

/// Each of a hundred plays waits for its turn when their server goes; some of them hear in the same turn, the rest soon.
#[test]
fn a_crowd_that_waits_is_answered_over_several_turns() {
    let mut sheet = sheet();
    sheet.insert("extra.places_by_kind.0".into(), Value::Number(2_000.0));
    let mut house = House::of(sheet);
    (0..100).for_each(|id| house.take(id));
    house.notes.0.clear();
    drains(&mut house);
    let mut told = Vec::new();
    while told.len() < 99 {
        let now = house.look();
        assert!(now.len() <= 32 && house.now < 30_000.0, "{now:?}");
        told.extend(now);
        house.now += 10.0;
    }
    let declined = |id| told.iter().filter(|deed| **deed == Deed::Declined(id, 500.0)).count();
    assert!((1..100).all(|id| declined(id) == 1), "{told:?}");
}

#[test]
fn facts_that_change_nothing_set_no_timers() {
    let mut house = one_waits();
    house.notes.0.clear();
    for _ in 0..50 {
        house.now += 1.1;
        house.desk.on_load_report(house.now, COLD, &[LoadMetric::Link(0.2)], &mut house.notes);
        house.desk.end_turn(house.now, &mut house.notes);
    }
    assert_eq!(house.notes.0.len(), 0, "{:?}", house.notes.0);
}
