//! What the desk has done: allocations, withdrawals, steps, probes and final answers; and servers' figures as it reads them.

use crate::connections::{AllocationStage, RequestKind, Role, ServerRequest};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_dispatcher::Actions;
use std::collections::HashMap;
use tracing::{debug, error};

use crate::state::{AllocationEnd, EdgeState, Timer, text_answer};

impl Actions for EdgeState {
    fn record_candidates(&mut self, _play: u64, odds: &[(u32, f64, f64)]) {
        self.fleet_record_candidates(odds);
    }

    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(n) = self.sessions.send(now, play, server, rung) else {
            // Rule 2: what the book does not allow does not go out.
            error!(target: "play", play, server = self.server_name(server), "not sent: the play has no such step");
            return self.finished_allocations.push_back(AllocationEnd {
                play,
                server,
                outcome: Outcome::NeverSent,
            });
        };
        self.pending_set_ups += 1;
        self.stats.allocations += 1;
        self.fleet_on_sent(now, play, n, server);
        let Some(session) = self.sessions.get(play) else { return };
        let product = session.product;
        let body = serde_json::json!({
            "title": session.title.name,
            "product": self.config.products[product].name,
            "rung": rung,
            "session": session.id,
        });
        let target = self.allocation(play, n);
        let request = self.request_to(server, "POST", &target, &body.to_string());
        match self.dial(server, Role::Allocation { play, server, stage: AllocationStage::AwaitingResponse }) {
            Ok(key) => {
                if let Some(line) = self.connections.get_mut(key) {
                    line.write(&request);
                    line.flush();
                }
                if let Some(session) = self.sessions.get_mut(play) {
                    session.line = Some(key);
                }
                self.set_connection_deadline(key, now + self.config.limits.dial_ms);
                self.schedule(now + time_out, Timer::SetUpTimeout(play, n));
            }
            Err(e) => {
                debug!(target: "server", server = self.server_name(server), "not reached: {e}");
                self.finished_allocations.push_back(AllocationEnd {
                    play,
                    server,
                    outcome: Outcome::Unreachable,
                });
            }
        }
    }

    fn withdraw(&mut self, play: u64) {
        let Some(server) = self.sessions.get(play).and_then(|s| s.server) else { return };
        self.finished_allocations.push_back(AllocationEnd { play, server, outcome: Outcome::Withdrawn });
    }

    fn set_rung(&mut self, play: u64, rung: usize) {
        let Some(session) = self.sessions.get_mut(play) else { return };
        session.rung = rung;
        self.tell_rung(play);
    }

    fn probe(&mut self, server: u32) {
        self.fleet_on_probed(server);
        let request = self.request_to(server, "GET", "/load", "");
        self.run_request(server, ServerRequest::new(RequestKind::Probe, request));
    }

    fn decline(&mut self, play: u64, pause: f64) {
        let mut answer = text_answer(503, "no room for this play now");
        if pause > 0.0 {
            answer.retry_after = Some((pause / 1000.0).ceil() as u64);
        }
        self.over(play, "declined", answer);
    }

    fn fail(&mut self, play: u64) {
        let late = self.sessions.get(play).is_some_and(|s| self.now() >= s.limit - 5.0);
        let answer = if late {
            text_answer(504, "the play could not be set up in time")
        } else {
            text_answer(502, "the play could not be set up")
        };
        self.over(play, "failed", answer);
    }

    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.schedule(self.now() + wait, Timer::Dispatcher(mark));
    }

    /// The list comes unasked, from its file.
    fn watch_list(&mut self) {}
}

/// The figures of a load report that the decisions know: `named_metrics` link, uplink and streams, or the
/// capped `utilization.link`.
pub(crate) fn parse_load_report(load: Option<&str>) -> Vec<LoadMetric> {
    let Some(load) = load else { return Vec::new() };
    let report = match pulleystair_orca::parse(load) {
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

/// A line of notes: a JSON object with `delivered`, `link` and `uplink`, each where the server has it.
pub(crate) fn parse_note(line: &[u8]) -> Option<Vec<LoadMetric>> {
    let note: HashMap<String, f64> = serde_json::from_slice(line).ok()?;
    let of = |name: &str, figure: fn(f64) -> LoadMetric| note.get(name).copied().map(figure);
    let all = [
        of("delivered", LoadMetric::Delivered),
        of("link", LoadMetric::Link),
        of("uplink", LoadMetric::Uplink),
    ];
    Some(all.into_iter().flatten().collect())
}
