//! What a planned stop of the instance leaves time for.

use super::ProxiedRequest;
use crate::clock;
use crate::gateway::front::CallerRequest;
use crate::gateway::node::Node;
use coordination::answer_time::Answer;
use coordination::drain;
use protocol::routing::Route;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request that is to be sent to a target.
pub(super) struct Candidate {
    node: Rc<Node>,
    call: Rc<CallerRequest>,
    route: Rc<Route>,
    has_begun: bool,
}

impl Candidate {
    /// How much longer the request may wait until it is sent, while the instance stops; `None` if
    /// the stop would probably cut its answer.
    fn time_to_send(&self, exit: Instant) -> Option<Duration> {
        let now = clock::now();
        drain::time_to_send(exit, self.expected_run(now), self.call.deadline, now)
    }

    /// Expected time from sending the request to the end of its answer.
    fn expected_run(&self, now: Instant) -> Duration {
        let Route { name, objective, .. } = &*self.route;
        let run = self.node.answer_times.borrow().run(name).unwrap_or(*objective);
        if !self.has_begun {
            return run;
        }
        // The caller has a part of the stream already.
        run.saturating_sub(now.saturating_duration_since(self.call.started)).max(*objective)
    }

    /// Waits until a stop leaves too little time to send the request.
    pub(super) async fn until_too_late(self) {
        self.node.stopping.cancelled().await;
        let left = || self.node.exit_at.get().and_then(|exit| self.time_to_send(exit));
        while let Some(left) = left().filter(|left| !left.is_zero()) {
            tokio::time::sleep(left).await;
        }
    }
}

impl ProxiedRequest {
    /// Whether the request may be served here: a stop doesn't cut its answer, by how long others
    /// of the route took in all.
    pub(super) fn is_admitted(&self) -> bool {
        let Some(exit) = self.node.exit_at.get() else {
            return true;
        };
        let whole = self.node.answer_times.borrow().whole(&self.route.name);
        let expected = whole.unwrap_or(self.route.objective);
        drain::time_to_send(exit, expected, self.call.deadline, clock::now()).is_some()
    }

    /// Whether a stop leaves enough time to send the request to a target now.
    pub(super) fn is_in_time(&self) -> bool {
        let exit = self.node.exit_at.get();
        exit.is_none_or(|exit| self.candidate().time_to_send(exit).is_some())
    }

    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            node: self.node.clone(),
            call: self.call.clone(),
            route: self.route.clone(),
            has_begun: self.has_begun,
        }
    }

    /// Records how long the request took; `sent_at` is when it was sent to the target that answered
    /// it as a whole, if one did.
    pub fn record_time(&self, sent_at: Option<Instant>) {
        if self.call.takes_up_stream() {
            return;
        }
        let answer =
            Answer { whole: clock::since(self.call.started), run: sent_at.map(clock::since) };
        self.node.answer_times.borrow_mut().record(&self.route.name, answer);
    }
}
