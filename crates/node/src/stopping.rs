//! A node's end: after SIGTERM it takes what still comes, answers what it has taken, and then ends, by its last moment at the latest.

use crate::floor::Clock;
use crate::node::Node;
use crate::shares::SOON;
use tracing::{info, warn};

/// After SIGTERM connections and set-ups are taken for so long, ms: they keep coming for 0.6 s.
const OPEN_DOOR: f64 = 900.0;
/// A node that was told to stop is killed no sooner than this after the longest time limit, which counts as `LONGEST` at
/// most; by `MARGIN` all that is still owed is answered, ms.
const LONGEST: f64 = 3_000.0;
const MARGIN: f64 = 600.0;

impl Node {
    /// No new plays once the door is closed. A further signal changes nothing: what was taken by then is owed its answer all the
    /// same, and the end is bounded.
    pub(crate) fn stop(&mut self) {
        if self.floor.stopping.is_some() {
            return warn!(target: "node", "told to stop again: it is stopping");
        }
        let now = self.floor.now();
        self.floor.stopping = Some(now);
        info!(target: "node", open = self.floor.deciding, standing = self.floor.sessions.len(), "stopping");
        let last = now + self.floor.terms.longest.min(LONGEST) + MARGIN;
        self.floor.clock(last, Clock::Stop);
        self.floor.clock(now + OPEN_DOOR, Clock::Door);
    }

    /// Whoever waits in the door's queue was accepted by the machine, and counts as taken: it closes once nobody does.
    pub(crate) fn close_door(&mut self) {
        if !self.accept() {
            let now = self.floor.now();
            return self.floor.clock(now + SOON, Clock::Door);
        }
        if let Some((door, _)) = self.floor.door.take() {
            self.floor.handle.remove(door);
        }
    }

    /// Told to stop, and nothing is owed any more: no answer to a viewer, no half of a set-up that is on its way, no end of a session
    /// that a server is to hear of.
    pub(crate) fn done(&mut self) -> bool {
        if self.halted || self.floor.stopping.is_none() {
            return self.halted;
        }
        let floor = &mut self.floor;
        let half =
            floor.viewers.iter().any(|key| floor.lines.get_mut(*key).is_some_and(|l| !l.input.is_empty()));
        let owes = floor.door.is_some()
            || floor.deciding > 0
            || half
            || !floor.again.is_empty()
            || !floor.cuts.is_empty()
            || floor.lines.any_pending(|_| true);
        !owes
    }

    /// Takes what has come and was not looked at yet, which may be more to answer; true once there is nothing.
    pub(crate) fn nothing_came(&mut self) -> bool {
        if !self.halted {
            self.accept();
            for key in self.floor.lines.ids() {
                self.look_at(key);
            }
            self.end_turn();
        }
        self.done()
    }

    /// What is still open is answered, as the end comes before its time.
    pub(crate) fn answer_all(&mut self) {
        self.nothing_came();
        self.desk.expire_pending(self.floor.now(), &mut self.floor);
        self.settle();
        self.halted = true;
    }
}
