//! Manifest requests that wait for their responses.

use super::MAX_WAIT;
use pulleystair_fake_servers::http::{HttpPeer, Message};
use pulleystair_fake_servers::recorder::Recorder;
use pulleystair_rule_checker::Observed;

/// A manifest request whose response has not been read.
pub struct PendingRequest {
    pub peer: HttpPeer,
    pub(super) request: u64,
    pub(super) recorder: Recorder,
}

impl PendingRequest {
    /// Waits for the response and records it.
    pub async fn response(mut self) -> Message {
        let answer =
            tokio::time::timeout(MAX_WAIT, self.peer.read_response()).await.expect("a response arrives");
        let answer = answer.expect("the response is complete").expect("the front responds");
        self.recorder.record(Observed::Answered { request: self.request, status: answer.status });
        answer
    }

    /// Reads the response in a separate task, so that the recorded moment is that of its arrival, not that of a later await.
    pub fn read_in_background(self) -> tokio::task::JoinHandle<Message> {
        tokio::spawn(self.response())
    }

    /// Observation that the connection broke before the response, as its player sees it; the caller records it.
    pub fn connection_lost(&self) -> Observed {
        Observed::Cut { request: self.request }
    }

    /// Closes the connection without waiting for the response, and records that the viewer left.
    pub fn leave(self) {
        self.recorder.record(Observed::Left { request: self.request });
    }
}
