//! Phases of a planned stop.

use std::time::{Duration, Instant};

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Time in which calls are still accepted, while the balancer notices.
    pub grace: Duration,
    /// Time after which the process exits whatever still runs.
    pub max_duration: Duration,
}

/// Where a stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready, but calls that come are still served.
    Grace,
    /// New calls are refused as not run; running ones finish.
    Draining,
    /// Exit.
    Exit,
}

/// Phase at `now` of a stop ordered at `since` with `running` requests left;
/// `is_closed` says whether new calls were refused already when these were counted.
///
/// A call may come in the moment in which the last one ends, so nothing exits
/// before a count that was made with the door closed.
///
/// The grace time is kept even with nothing running: the balancer may send one
/// more request in the moment before it reads that the instance isn't ready,
/// and a refused connection would cut that request off.
pub fn phase(plan: Plan, since: Instant, running: usize, is_closed: bool, now: Instant) -> Phase {
    let passed = now.saturating_duration_since(since);
    if passed >= plan.max_duration {
        return Phase::Exit;
    }
    if passed < plan.grace {
        return Phase::Grace;
    }
    if running == 0 && is_closed { Phase::Exit } else { Phase::Draining }
}
