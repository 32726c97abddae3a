//! Outages of a server in simulated time, at the note intervals and dial time-outs that the settings and pages
//! allow.

use super::*;
use test_case::test_matrix;

/// Interval between the node's checks, and the time by which the simulation advances, ms.
const CHECK_INTERVAL_MS: f64 = 100.0;
const STEP_MS: f64 = 10.0;
/// When the session begins, Unix ms.
const START_MS: f64 = 1_000_000.0;
/// Times after the start, ms: the outage begins, and the simulation ends.
const OUTAGE_AFTER_MS: f64 = 20_000.0;
const END_AFTER_MS: f64 = 60_000.0;
const FOREVER: f64 = f64::INFINITY;

/// An outage of a server on which one session plays.
#[derive(Clone, Copy, Debug)]
struct Outage {
    duration: f64,
    note_interval: f64,
    /// How far the notes' phase is after the beginning of the outage, ms.
    note_phase: f64,
    dial_timeout: f64,
}

/// The node and the server of an [`Outage`].
struct Simulation {
    outage: Outage,
    liveness: Liveness,
    began_at: f64,
    /// When the pending dials were made, Unix ms.
    pending_dials: Vec<f64>,
}

impl Simulation {
    fn new(outage: Outage) -> Simulation {
        let mut liveness = Liveness::default();
        liveness.on_heard(START_MS);
        Simulation { outage, liveness, began_at: START_MS + OUTAGE_AFTER_MS, pending_dials: Vec::new() }
    }

    /// Whether the machine can be reached.
    fn is_up(&self, now: f64) -> bool {
        now < self.began_at || now >= self.began_at + self.outage.duration
    }

    /// What arrives from the server at this time.
    fn receive(&mut self, now: f64) {
        let interval = self.outage.note_interval;
        let is_note_due =
            interval > 0.0 && (now - self.began_at - self.outage.note_phase).rem_euclid(interval) < STEP_MS;
        if self.is_up(now) && is_note_due {
            self.liveness.on_heard(now);
        }
        for dialled_at in std::mem::take(&mut self.pending_dials) {
            // What was sent during the outage is lost.
            if self.is_up(dialled_at) {
                self.liveness.on_heard(now);
            } else if now - dialled_at >= self.outage.dial_timeout {
                assert!(!self.liveness.on_dial_failed(DialFailure::TimedOut));
            } else {
                self.pending_dials.push(dialled_at);
            }
        }
    }

    /// A check of the node. Returns whether the session ends.
    fn check(&mut self, now: f64) -> bool {
        let is_connected = self.pending_dials.is_empty();
        let connectivity = if is_connected { Connectivity::Connected } else { Connectivity::Dialling };
        match self.liveness.next_action(now, connectivity) {
            LivenessAction::Wait => {}
            LivenessAction::Dial => {
                self.pending_dials.push(now);
                self.liveness.on_dialled(now);
            }
            LivenessAction::EndAllSessions => return true,
        }
        false
    }

    /// How long after the beginning of the outage the session ends, ms; `None` if it does not.
    fn run(mut self) -> Option<f64> {
        let (mut now, mut next_check) = (START_MS, START_MS);
        while now < START_MS + END_AFTER_MS {
            now += STEP_MS;
            self.receive(now);
            if now >= next_check {
                next_check = now + CHECK_INTERVAL_MS;
                if self.check(now) {
                    return Some(now - self.began_at);
                }
            }
        }
        None
    }
}

/// Runs an outage at several phases of the notes.
fn run_phases(outage: Outage) -> impl Iterator<Item = Option<f64>> {
    let phases = (0..10).map(move |tenth| f64::from(tenth) * outage.note_interval / 10.0);
    phases.map(move |note_phase| Simulation::new(Outage { note_phase, ..outage }).run())
}

/// Guards against viewers who hear too late that a silent server is lost, because the node waits for notes that
/// are far apart, or for dials that are slow to time out.
#[test_matrix(
    [0.0, 500.0, 2_200.0, 4_900.0, 5_000.0, 9_000.0, 60_000.0],
    [1.0, 250.0, 1_000.0, 4_000.0, 10_000.0]
)]
fn sessions_of_a_lost_server_end_in_time(note_interval: f64, dial_timeout: f64) {
    let outage = Outage { duration: FOREVER, note_interval, note_phase: 0.0, dial_timeout };
    for ended_after in run_phases(outage) {
        let ended_after = ended_after.expect("the session ends");
        assert!(ended_after <= NOTICE_TTL_MS - NOTICE_MARGIN_MS / 2.0, "{ended_after}");
    }
}

/// Guards against sessions that end although their server was cut off for a shorter time than viewers may wait.
#[test_matrix([0.0, 2_200.0, 4_900.0, 9_000.0], [250.0, 10_000.0])]
fn sessions_of_a_server_that_was_cut_off_continue(note_interval: f64, dial_timeout: f64) {
    // The server may have been silent before, for as long as the node does not dial it.
    let silent_before = if note_interval > 0.0 { note_interval.min(DIAL_AFTER_MS) } else { DIAL_AFTER_MS };
    let duration = LOST_AFTER_MS - silent_before - PARALLEL_DIAL_INTERVAL_MS - 2.0 * CHECK_INTERVAL_MS;
    let outage = Outage { duration, note_interval, note_phase: 0.0, dial_timeout };
    for ended_after in run_phases(outage) {
        assert_eq!(ended_after, None, "an outage of {duration} ms");
    }
}

/// Guards against losing all sessions because the node itself was stopped for longer than a server may be silent.
#[test_matrix([Connectivity::Unconnected, Connectivity::Connected])]
fn server_is_lost_only_after_it_was_dialled(connectivity: Connectivity) {
    let mut liveness = Liveness::default();
    liveness.on_heard(START_MS);
    let resumed_at = START_MS + 60_000.0;
    assert_eq!(liveness.next_action(resumed_at, connectivity), LivenessAction::Dial);
    liveness.on_dialled(resumed_at);
    assert_eq!(liveness.next_action(resumed_at + CHECK_INTERVAL_MS, connectivity), LivenessAction::Wait);
    let later = resumed_at + 2.0 * RESPONSE_TIME_MS;
    assert_eq!(liveness.next_action(later, connectivity), LivenessAction::EndAllSessions);
}

/// A refused dial shows that no process listens; one that timed out shows nothing.
#[test]
fn only_refused_dials_make_a_server_lost_at_once() {
    let mut liveness = Liveness::default();
    assert!(!liveness.on_dial_failed(DialFailure::TimedOut));
    assert!(!liveness.on_dial_failed(DialFailure::TimedOut));
    assert!(liveness.on_dial_failed(DialFailure::Refused));
    liveness.on_heard(START_MS);
    assert!(!liveness.on_dial_failed(DialFailure::Refused));
    assert!(liveness.on_dial_failed(DialFailure::Refused));
}
