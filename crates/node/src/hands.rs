//! What the desk has done: attempts, withdrawals, steps, probes and final answers.

use crate::floor::{ASK, Attempt, Clock, FAILED, Floor, News, REFUSED};
use pulleystair::Outcome;
use pulleystair_dispatcher::Actions;
use pulleystair_rtsp as rtsp;

impl Actions for Floor {
    /// It goes out at the end of the turn, once its viewer's connection was looked at.
    fn send(&mut self, play: u64, server: u32, rung: usize, time_out: f64) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&play) else { return };
        session.attempts += 1;
        (session.server, session.since, session.until) = (Some(server), now, now + time_out);
        (session.rung, session.rung_sent) = (rung, rung);
        let number = session.attempts;
        self.clock(now + time_out, Clock::TimeOut(play, number));
        self.outgoing.push_back(Attempt { session: play, number });
    }

    fn withdraw(&mut self, play: u64) {
        let Some(session) = self.sessions.get(&play) else { return };
        let Some(server) = session.server else { return };
        let mut outcome = Outcome::Withdrawn;
        if session.playing {
            let (line, cause) = (session.line, session.cause);
            self.cut(server, line, play, cause);
        } else if self.give_up(play) {
            outcome = Outcome::NeverSent;
        }
        self.news.push_back(News { play, server, outcome });
    }

    fn set_rung(&mut self, play: u64, rung: usize) {
        if let Some(session) = self.sessions.get_mut(&play) {
            session.rung = rung;
        }
        self.send_rung(play);
    }

    fn probe(&mut self, server: u32) {
        self.sums.probes += 1;
        let Some(key) = self.any_line(server, false) else { return };
        let id = self.rnd.rand_u64();
        let bytes = rtsp::request("OPTIONS", "load", ASK, id, &[], b"");
        self.write_wire(key, &bytes);
    }

    fn decline(&mut self, play: u64, pause: f64) {
        self.sums.declined += 1;
        self.turn_away(play, REFUSED, pause);
    }

    fn fail(&mut self, play: u64) {
        self.sums.failed += 1;
        self.turn_away(play, FAILED, 0.0);
    }

    fn set_timer(&mut self, mark: u32, wait: f64) {
        let due = self.now() + wait;
        self.clock(due, Clock::Desk(mark));
    }

    /// The list is asked for all the time.
    fn watch_list(&mut self) {}
}
