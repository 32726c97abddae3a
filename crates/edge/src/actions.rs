//! The dispatcher's actions, carried out on a front's state: allocations, withdrawals, rung changes, probes and
//! final answers. Also parses the servers' load reports and notes into the metrics that the dispatcher takes.

use crate::connections::{AllocationStage, RequestKind, Role, ServerRequest};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_dispatcher::Actions;
use std::collections::HashMap;
use tracing::{debug, error};

use crate::state::{AllocationEnd, EdgeState, Timer, text_answer};

impl Actions for EdgeState {
    fn record_candidates(&mut self, _play: u64, candidates: &[(u32, f64, f64)]) {
        self.fleet_record_candidates(candidates);
    }

    /// Sends the play's set-up to this server, on a connection of its own.
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(allocation_number) = self.sessions.start_allocation(now, play, server, rung) else {
            // Rule 2: no allocation is sent that the session table does not allow.
            error!(target: "play", play, server = self.server_name(server), "allocation not sent: the session's phase does not allow it");
            return self.pending_allocation_ends.push_back(AllocationEnd {
                play,
                server,
                outcome: Outcome::NeverSent,
            });
        };
        self.pending_set_ups += 1;
        self.stats.allocations += 1;
        self.fleet_on_sent(now, play, allocation_number, server);
        let Some(session) = self.sessions.get(play) else { return };
        let product = session.product;
        let body = serde_json::json!({
            "title": session.title.name,
            "product": self.config.products[product].name,
            "rung": rung,
            "session": session.session_id,
        });
        let target = self.allocation_path(play, allocation_number);
        let request = self.format_request(server, "POST", &target, &body.to_string());
        match self.connect_to_server(
            server,
            Role::Allocation { play, server, stage: AllocationStage::AwaitingResponse },
        ) {
            Ok(connection_id) => {
                if let Some(connection) = self.connections.get_mut(connection_id) {
                    connection.write(&request);
                    connection.flush();
                }
                if let Some(session) = self.sessions.get_mut(play) {
                    session.allocation_connection = Some(connection_id);
                }
                self.set_connection_deadline(connection_id, now + self.config.limits.dial_ms);
                self.schedule(now + time_out, Timer::SetUpTimeout(play, allocation_number));
            }
            Err(e) => {
                debug!(target: "server", server = self.server_name(server), "can't connect to the media server: {e}");
                self.pending_allocation_ends.push_back(AllocationEnd {
                    play,
                    server,
                    outcome: Outcome::Unreachable,
                });
            }
        }
    }

    /// Ends the play's allocation. The dispatcher hears of it once it is no longer busy.
    fn withdraw(&mut self, play: u64) {
        let Some(server) = self.sessions.get(play).and_then(|s| s.server) else { return };
        self.pending_allocation_ends.push_back(AllocationEnd { play, server, outcome: Outcome::Withdrawn });
    }

    /// Records the play's new rung and notifies its server.
    fn set_rung(&mut self, play: u64, rung: usize) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        session.rung = rung;
        self.notify_rung(play);
    }

    /// Requests a load report from the server.
    fn probe(&mut self, server: u32) {
        self.fleet_on_probed(server);
        let request = self.format_request(server, "GET", "/load", "");
        self.run_request(server, ServerRequest::new(RequestKind::Probe, request));
    }

    /// Ends an undecided play with 503; `retry_after` is in ms, 0 where the player is not told a time.
    fn decline(&mut self, play: u64, retry_after: f64) {
        let mut answer = text_answer(503, "no room for this play now");
        if retry_after > 0.0 {
            answer.retry_after = Some((retry_after / 1000.0).ceil() as u64);
        }
        self.end_play(play, "declined", answer);
    }

    /// Ends an undecided play with 504 once its deadline has come (less 5 ms), else with 502.
    fn fail(&mut self, play: u64) {
        let is_late = self.sessions.get(play).is_some_and(|s| self.now() >= s.deadline - 5.0);
        let answer = if is_late {
            text_answer(504, "the play could not be set up in time")
        } else {
            text_answer(502, "the play could not be set up")
        };
        self.end_play(play, "failed", answer);
    }

    fn set_timer(&mut self, timer: u32, delay: f64) {
        self.schedule(self.now() + delay, Timer::Dispatcher(timer));
    }

    /// Nothing to do: the list's file is polled anyway.
    fn watch_list(&mut self) {}
}

/// The metrics of a load report (ORCA) that the placement logic uses: `named_metrics` link, uplink and streams, or
/// the capped `utilization.link`. A malformed report gives none.
pub(crate) fn parse_load_report(load_report: Option<&str>) -> Vec<LoadMetric> {
    let Some(load_report) = load_report else { return Vec::new() };
    let report = match pulleystair_orca::parse(load_report) {
        Ok(report) => report,
        Err(e) => {
            debug!(target: "server", "{e}");
            return Vec::new();
        }
    };
    let named = |name: &str| report.named_metrics.get(name).copied();
    let link = match (named("link"), report.utilization.get("link")) {
        (Some(x), _) => Some(LoadMetric::Link(x)),
        (None, Some(x)) => Some(LoadMetric::LinkCapped(*x)),
        (None, None) => None,
    };
    let others = [named("uplink").map(LoadMetric::Uplink), named("streams").map(LoadMetric::Streams)];
    link.into_iter().chain(others.into_iter().flatten()).collect()
}

/// Parses a note, one line of text: a JSON object with those of `delivered`, `link` and `uplink` that the server
/// knows. None where it is malformed.
pub(crate) fn parse_note(line: &[u8]) -> Option<Vec<LoadMetric>> {
    let note: HashMap<String, f64> = serde_json::from_slice(line).ok()?;
    let metric = |name: &str, variant: fn(f64) -> LoadMetric| note.get(name).copied().map(variant);
    let metrics = [
        metric("delivered", LoadMetric::Delivered),
        metric("link", LoadMetric::Link),
        metric("uplink", LoadMetric::Uplink),
    ];
    Some(metrics.into_iter().flatten().collect())
}
