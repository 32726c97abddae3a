//! When clocks ring.

use pulleystair_connections::timers::Timers;

/// A desk passes over a timer that rings before its time, and waits for ever if that was its only one.
#[test]
fn none_rings_before_its_time() {
    let mut clocks = Timers::new(0.0);
    clocks.schedule(1000.0004, "it");
    assert_eq!(clocks.pop_due(1000.0), None);
    assert_eq!(clocks.pop_due(1000.001), Some((1000.001, "it")));
    assert!(clocks.is_empty() && clocks.time_to_next().is_none());
}

/// So does whoever asks for the list: the last question rang a quarter of a microsecond early, in the very instant in which the loop
/// woke for it, and no other was asked. One clock in some 250 was set so.
#[test]
fn none_rings_before_its_time_at_unix_times() {
    let mut chance = oorandom::Rand64::new(7);
    for _ in 0..200_000 {
        let due = 1_796_179_500_000.0 + 3e6 * chance.rand_float();
        let mut clocks = Timers::new(0.0);
        clocks.schedule(due, ());
        let (rings, ()) = clocks.pop_due(f64::MAX).expect("it is set");
        assert!(rings >= due && rings < due + 0.003, "{rings} for {due}");
    }
}
