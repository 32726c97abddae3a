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

/// At Unix times, the conversion of `f64` ms to whole µs lost up to a quarter of a µs. About one timer in 250 was due that
/// much too early, at exactly the time at which the loop woke for it. The timer of the list query was then ignored, and no
/// further query was sent.
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
