//! No timer fires before its time.

use pulleystair_connections::timers::Timers;

/// A dispatcher ignores a timer that fires early, and waits for ever if that was its only timer.
#[test]
fn no_timer_fires_early() {
    let mut timers = Timers::new(0.0);
    timers.schedule(1000.0004, "timer");
    assert_eq!(timers.pop_due(1000.0), None);
    assert_eq!(timers.pop_due(1000.001), Some((1000.001, "timer")));
    assert!(timers.is_empty() && timers.time_to_next().is_none());
}

/// At present Unix times, the conversion of `f64` ms to whole µs can round down. Without the correction for
/// this, about one timer in 250 is up to a quarter of a µs early, and its owner ignores it. The node sets the
/// timer of its next query of the server list when it sends a query, so it would send no further one.
#[test]
fn a_timer_at_unix_times_is_due_at_most_3_us_late_and_never_early() {
    let mut rng = oorandom::Rand64::new(7);
    for _ in 0..200_000 {
        let due_at = 1_796_179_500_000.0 + 3e6 * rng.rand_float();
        let mut timers = Timers::new(0.0);
        timers.schedule(due_at, ());
        let (fires_at, ()) = timers.pop_due(f64::MAX).expect("the timer is set");
        assert!(fires_at >= due_at && fires_at < due_at + 0.003, "fires at {fires_at}, due at {due_at}");
    }
}
