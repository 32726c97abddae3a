//! The dispatcher's actions, carried out on a front's state: allocations, withdrawals, rung changes, probes and final
//! answers. Also parses the servers' load reports and notes into the metrics that the dispatcher uses. Times are in
//! ms.

use crate::connections::{AllocationStage, RequestKind, Role, ServerRequest};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_dispatcher::Actions;
use std::collections::HashMap;
use tracing::{debug, error};

use crate::state::{AllocationEnd, EdgeState, Timer, text_answer};

impl Actions for EdgeState {
    /// Remembers the candidates from which the allocation that is sent next is drawn: server, chance, room.
    fn record_candidates(&mut self, _play: u64, candidates: &[(u32, f64, f64)]) {
        self.fleet_record_candidates(candidates);
    }

    /// Sends the play's set-up to this server, on a connection of its own. The allocation ends as timed out after
    /// `time_out`.
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(allocation_number) = self.sessions.start_allocation(now, play, server, rung) else {
            // Two allocations of one play must never be under way (rule 2 of `pulleystair_rule_checker::rules`). The
            // session table refused this one.
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
                    connection.queue(&request);
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

    /// Ends the play's allocation. The end is reported to the dispatcher after the present call by it has returned.
    fn withdraw(&mut self, play: u64) {
        let Some(server) = self.sessions.get(play).and_then(|s| s.server) else { return };
        self.pending_allocation_ends.push_back(AllocationEnd { play, server, outcome: Outcome::Withdrawn });
    }

    /// Records the play's new rung and has its server notified ([`EdgeState::notify_rung`]).
    fn set_rung(&mut self, play: u64, rung: usize) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        session.rung = rung;
        self.notify_rung(play);
    }

    /// Requests a load report from the server. Its response reaches the dispatcher by `on_load_report`. A probe that
    /// can't be sent is dropped, although the server is recorded as probed.
    fn probe(&mut self, server: u32) {
        self.fleet_on_probed(server);
        let request = self.format_request(server, "GET", "/load", "");
        self.run_request(server, ServerRequest::new(RequestKind::Probe, request));
    }

    /// Ends an undecided play with 503; `retry_after` is in ms, 0 for an answer without `Retry-After`.
    fn decline(&mut self, play: u64, retry_after: f64) {
        let mut answer = text_answer(503, "no room for this play now");
        if retry_after > 0.0 {
            answer.retry_after = Some((retry_after / 1000.0).ceil() as u64);
        }
        self.end_play(play, "declined", answer);
    }

    /// Ends an undecided play with 504 at its deadline or up to 5 ms before it, else with 502. The placement logic
    /// gives a play up shortly before its deadline, so a failure at that time is a time-out too.
    fn fail(&mut self, play: u64) {
        let is_late = self.sessions.get(play).is_some_and(|s| self.now() >= s.deadline - 5.0);
        let answer = if is_late {
            text_answer(504, "the play could not be set up in time")
        } else {
            text_answer(502, "the play could not be set up")
        };
        self.end_play(play, "failed", answer);
    }

    /// Has the dispatcher's timer of this number fire after `delay`.
    fn set_timer(&mut self, timer: u32, delay: f64) {
        self.schedule(self.now() + delay, Timer::Dispatcher(timer));
    }

    /// Does nothing: the list's file is polled anyway.
    fn watch_list(&mut self) {}
}

/// The metrics of a load report (ORCA) that the placement logic uses: `link`, `uplink` and `streams` of
/// `named_metrics`. Where these have no `link`, `utilization.link` is used, which is capped (at most 1). An absent or
/// malformed report gives none.
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
