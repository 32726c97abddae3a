//! Outages of a server in simulated time, at the note intervals, dial time-outs and lists that the settings
//! and pages allow.

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

/// What becomes of the server's machine at the end of its outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Return {
    /// The process and its sessions are still there, and the open connections work again.
    Reachable,
    /// Another process runs on it, which knows no session. The open connections stay silent.
    Restarted,
}

/// An outage of a server on which one session plays.
#[derive(Clone, Copy, Debug)]
struct Outage {
    duration: f64,
    then: Return,
    note_interval: f64,
    /// How far the notes' phase is after the beginning of the outage, ms.
    note_phase: f64,
    dial_timeout: f64,
    may_probe: bool,
    /// Whether the name service is silent from the beginning of the outage on.
    is_list_silent: bool,
}

const OUTAGE: Outage = Outage {
    duration: FOREVER,
    then: Return::Reachable,
    note_interval: 2_500.0,
    note_phase: 0.0,
    dial_timeout: 250.0,
    may_probe: true,
    is_list_silent: false,
};

/// The node and the server of an [`Outage`].
struct Simulation {
    outage: Outage,
    liveness: Liveness,
    limits: NodeLimits,
    began_at: f64,
    /// When the pending dials were made, Unix ms.
    pending_dials: Vec<f64>,
    /// Whether a ping on the first connection waits for its response.
    is_pinged: bool,
    /// When a connection beside the first was established, Unix ms.
    second_connection_at: Option<f64>,
}

impl Simulation {
    fn new(outage: Outage) -> Simulation {
        let mut liveness = Liveness::default();
        liveness.on_first_session(START_MS);
        let limits = NodeLimits {
            note_interval: outage.note_interval,
            may_probe: outage.may_probe,
            dial_timeout: outage.dial_timeout,
            ..NodeLimits::default()
        };
        Simulation {
            outage,
            liveness,
            limits,
            began_at: START_MS + OUTAGE_AFTER_MS,
            pending_dials: Vec::new(),
            is_pinged: false,
            second_connection_at: None,
        }
    }

    /// Whether the machine can be reached.
    fn is_up(&self, now: f64) -> bool {
        now < self.began_at || now >= self.began_at + self.outage.duration
    }

    /// Whether the process at which the session began can be reached.
    fn is_same_process_up(&self, now: f64) -> bool {
        self.is_up(now) && (now < self.began_at || self.outage.then == Return::Reachable)
    }

    /// What arrives from the server at this time.
    fn receive(&mut self, now: f64) {
        let interval = self.outage.note_interval;
        let is_note_due =
            interval > 0.0 && (now - self.began_at - self.outage.note_phase).rem_euclid(interval) < STEP_MS;
        if self.is_same_process_up(now) && (is_note_due || std::mem::take(&mut self.is_pinged)) {
            self.liveness.on_heard(now, START_MS);
        }
        for dialled_at in std::mem::take(&mut self.pending_dials) {
            // What was sent during the outage is lost.
            if self.is_up(dialled_at) {
                self.liveness.on_connected(now, true, &self.limits);
                self.second_connection_at = Some(now);
            } else if now - dialled_at >= self.outage.dial_timeout {
                assert!(!self.liveness.on_dial_failed(DialFailure::TimedOut));
            } else {
                self.pending_dials.push(dialled_at);
            }
        }
    }

    /// A check of the node. Returns whether the session ends.
    fn check(&mut self, now: f64) -> bool {
        let list_as_of = if self.outage.is_list_silent { now.min(self.began_at) } else { now };
        let is_connected = self.pending_dials.is_empty();
        let connectivity = if is_connected { Connectivity::Connected } else { Connectivity::Dialling };
        match self.liveness.next_action(now, connectivity, list_as_of, &self.limits) {
            LivenessAction::Wait => {}
            LivenessAction::Ping { established_before } => {
                assert!(START_MS < established_before && self.limits.may_probe);
                self.is_pinged = true;
                self.liveness.on_pinged(now);
            }
            LivenessAction::Dial => {
                self.pending_dials.push(now);
                self.liveness.on_dialled(now);
            }
            LivenessAction::EndSessionsBefore(restarted_at) => {
                assert!(START_MS < restarted_at && self.second_connection_at.is_some());
                return true;
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
    [1.0, 250.0, 1_000.0, 4_000.0, 10_000.0],
    [true, false]
)]
fn sessions_of_a_lost_server_end_in_time(note_interval: f64, dial_timeout: f64, may_probe: bool) {
    for ended_after in run_phases(Outage { note_interval, dial_timeout, may_probe, ..OUTAGE }) {
        let ended_after = ended_after.expect("the session ends");
        assert!(ended_after <= NOTICE_TTL_MS - NOTICE_MARGIN_MS / 2.0, "{ended_after}");
    }
}

/// Guards against sessions that end although their server was cut off for a shorter time than viewers may wait.
#[test_matrix([0.0, 2_200.0, 4_900.0, 9_000.0], [250.0, 10_000.0], [true, false])]
fn sessions_of_a_server_that_was_cut_off_continue(
    note_interval: f64,
    dial_timeout: f64,
    is_list_silent: bool,
) {
    // The server may have been silent before, for as long as the node does not dial it.
    let silent_before = if note_interval > 0.0 { note_interval.min(DIAL_AFTER_MS) } else { DIAL_AFTER_MS };
    let duration = LOST_AFTER_MS - silent_before - PARALLEL_DIAL_INTERVAL_MS - 2.0 * CHECK_INTERVAL_MS;
    let outage = Outage { duration, note_interval, dial_timeout, is_list_silent, ..OUTAGE };
    for ended_after in run_phases(outage) {
        assert_eq!(ended_after, None, "an outage of {duration} ms");
    }
}

/// Guards against sessions that are over, and whose viewers hear so only from the list, after the name service was
/// silent: their server has lost its machine and restarted.
#[test_matrix([500.0, 1_000.0, 3_000.0, 5_000.0, 7_000.0], [0.0, 2_200.0, 4_900.0, 9_000.0], [250.0, 10_000.0])]
fn sessions_end_in_time_after_a_restart_that_no_list_shows(
    duration: f64,
    note_interval: f64,
    dial_timeout: f64,
) {
    let then = Return::Restarted;
    let outage = Outage { duration, then, note_interval, dial_timeout, is_list_silent: true, ..OUTAGE };
    for ended_after in run_phases(outage) {
        let ended_after = ended_after.expect("the session ends");
        assert!(ended_after <= NOTICE_TTL_MS - NOTICE_MARGIN_MS / 2.0, "{ended_after}");
    }
}

/// Guards against sessions that end for lack of a sign that the server cannot give: it answers no pings, and the
/// list has no restart.
#[test_matrix([0.0, 60_000.0], [true, false])]
fn list_without_a_restart_keeps_the_sessions(note_interval: f64, may_probe: bool) {
    let (then, duration) = (Return::Restarted, 1_000.0);
    let outage = Outage { then, duration, note_interval, may_probe, ..OUTAGE };
    assert!(run_phases(outage).all(|ended_after| ended_after.is_none()));
}

/// Guards against sessions that end after every outage of the name service: nothing else can confirm them where
/// servers send no notes and may not be pinged.
#[test]
fn sessions_that_nothing_can_confirm_continue() {
    let outage =
        Outage { duration: 1_000.0, note_interval: 0.0, may_probe: false, is_list_silent: true, ..OUTAGE };
    assert!(run_phases(outage).all(|ended_after| ended_after.is_none()));
}

/// Guards against losing all sessions because the node itself was stopped for longer than a server may be silent.
#[test_matrix([true, false], [Connectivity::Unconnected, Connectivity::Connected])]
fn server_is_lost_only_after_it_was_asked(may_probe: bool, connectivity: Connectivity) {
    let limits = NodeLimits { may_probe, ..NodeLimits::default() };
    let mut liveness = Liveness::default();
    liveness.on_first_session(START_MS);
    let resumed_at = START_MS + 60_000.0;
    assert_eq!(liveness.next_action(resumed_at, connectivity, resumed_at, &limits), LivenessAction::Dial);
    liveness.on_dialled(resumed_at);
    let next_check = resumed_at + CHECK_INTERVAL_MS;
    let action = liveness.next_action(next_check, connectivity, next_check, &limits);
    assert!(!matches!(action, LivenessAction::EndAllSessions), "{action:?}");
    let later = resumed_at + 2.0 * RESPONSE_TIME_MS;
    assert_eq!(liveness.next_action(later, connectivity, later, &limits), LivenessAction::EndAllSessions);
}

/// Guards against a server that counts as silent since its last session, however long ago that ended.
#[test]
fn silence_counts_from_the_first_session() {
    let mut liveness = Liveness::default();
    liveness.on_first_session(START_MS);
    let adopted_at = START_MS + 60_000.0;
    liveness.on_first_session(adopted_at);
    let limits = NodeLimits { may_probe: true, ..NodeLimits::default() };
    assert_eq!(
        liveness.next_action(adopted_at + 1.0, Connectivity::Connected, 0.0, &limits),
        LivenessAction::Wait
    );
}

/// A refused dial shows that no process listens; one that timed out shows nothing.
#[test]
fn only_refused_dials_make_a_server_lost_at_once() {
    let mut liveness = Liveness::default();
    assert!(!liveness.on_dial_failed(DialFailure::TimedOut));
    assert!(!liveness.on_dial_failed(DialFailure::TimedOut));
    assert!(liveness.on_dial_failed(DialFailure::Refused));
    liveness.on_heard(START_MS, START_MS);
    assert!(!liveness.on_dial_failed(DialFailure::Refused));
    assert!(liveness.on_dial_failed(DialFailure::Refused));
}

/// Guards against taking what a restarted server sends on its new connection for a sign that older sessions
/// continue.
#[test]
fn input_on_a_new_connection_says_nothing_of_older_sessions() {
    let limits = NodeLimits { may_probe: true, ..NodeLimits::default() };
    let mut liveness = Liveness::default();
    liveness.on_first_session(START_MS);
    let connected_at = START_MS + DIAL_AFTER_MS;
    liveness.on_connected(connected_at, true, &limits);
    liveness.on_pinged(connected_at);
    liveness.on_heard(connected_at + 500.0, connected_at);
    let lost_at = START_MS + LOST_AFTER_MS;
    let next_action =
        |liveness: &mut Liveness| liveness.next_action(lost_at, Connectivity::Connected, START_MS, &limits);
    assert_eq!(next_action(&mut liveness), LivenessAction::EndSessionsBefore(connected_at));
    // A note on an older session comes from the process before.
    liveness.on_heard(connected_at + 600.0, START_MS);
    assert_eq!(next_action(&mut liveness), LivenessAction::Wait);
}
