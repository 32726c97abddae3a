//! What the desk has done: allocations, withdrawals, steps, probes and final answers; and servers' figures as it reads them.

use crate::connections::{Errand, Role, Stage, What};
use pulleystair::{LoadMetric, Outcome};
use pulleystair_dispatcher::Actions;
use std::collections::HashMap;
use tracing::{debug, error};

use crate::floor::{Clock, Floor, News, words};

impl Actions for Floor {
    fn record_candidates(&mut self, _play: u64, odds: &[(u32, f64, f64)]) {
        self.company_drew(odds);
    }

    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(n) = self.book.send(now, play, server, rung) else {
            // Rule 2: what the book does not allow does not go out.
            error!(target: "play", play, server = self.name(server), "not sent: the play has no such step");
            return self.news.push_back(News { play, server, outcome: Outcome::NeverSent });
        };
        self.out += 1;
        self.tally.allocations += 1;
        self.company_sent(now, play, n, server);
        let Some(session) = self.book.get(play) else { return };
        let product = session.product;
        let body = serde_json::json!({
            "title": session.show.name,
            "product": self.rundown.products[product].name,
            "rung": rung,
            "session": session.id,
        });
        let target = self.allocation(play, n);
        let request = self.request_to(server, "POST", &target, &body.to_string());
        match self.dial(server, Role::Allocation { play, server, stage: Stage::Asked }) {
            Ok(key) => {
                if let Some(line) = self.lines.get_mut(key) {
                    line.write(&request);
                    line.flush();
                }
                if let Some(session) = self.book.get_mut(play) {
                    session.line = Some(key);
                }
                self.set_due(key, now + self.rundown.limits.dial_ms);
                self.clock(now + time_out, Clock::TimeOut(play, n));
            }
            Err(e) => {
                debug!(target: "server", server = self.name(server), "not reached: {e}");
                self.news.push_back(News { play, server, outcome: Outcome::Unreachable });
            }
        }
    }

    fn withdraw(&mut self, play: u64) {
        let Some(server) = self.book.get(play).and_then(|s| s.server) else { return };
        self.news.push_back(News { play, server, outcome: Outcome::Withdrawn });
    }

    fn set_rung(&mut self, play: u64, rung: usize) {
        let Some(session) = self.book.get_mut(play) else { return };
        session.rung = rung;
        self.tell_rung(play);
    }

    fn probe(&mut self, server: u32) {
        self.company_probed(server);
        let request = self.request_to(server, "GET", "/load", "");
        self.run_errand(server, Errand::new(What::Probe, request));
    }

    fn decline(&mut self, play: u64, pause: f64) {
        let mut answer = words(503, "no room for this play now");
        if pause > 0.0 {
            answer.retry_after = Some((pause / 1000.0).ceil() as u64);
        }
        self.over(play, "declined", answer);
    }

    fn fail(&mut self, play: u64) {
        let late = self.book.get(play).is_some_and(|s| self.now() >= s.limit - 5.0);
        let answer = if late {
            words(504, "the play could not be set up in time")
        } else {
            words(502, "the play could not be set up")
        };
        self.over(play, "failed", answer);
    }

    fn set_timer(&mut self, mark: u32, wait: f64) {
        self.clock(self.now() + wait, Clock::Desk(mark));
    }

    /// The list comes unasked, from its file.
    fn watch_list(&mut self) {}
}

/// The figures of a load report that the decisions know: `named_metrics` link, uplink and streams, or the
/// capped `utilization.link`.
pub(crate) fn figures(load: Option<&str>) -> Vec<LoadMetric> {
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
pub(crate) fn note_figures(line: &[u8]) -> Option<Vec<LoadMetric>> {
    let note: HashMap<String, f64> = serde_json::from_slice(line).ok()?;
    let of = |name: &str, figure: fn(f64) -> LoadMetric| note.get(name).copied().map(figure);
    let all = [
        of("delivered", LoadMetric::Delivered),
        of("link", LoadMetric::Link),
        of("uplink", LoadMetric::Uplink),
    ];
    Some(all.into_iter().flatten().collect())
}
