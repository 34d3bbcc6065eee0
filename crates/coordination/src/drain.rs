//! Phases of a planned shutdown.

use std::time::{Duration, Instant};

/// Factor to the expected time of an answer, since times vary.
const ANSWER_TIME_FACTOR: f64 = 1.1;

/// Times of a planned shutdown, from its start.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Period in which calls are still accepted, while the load balancer notices.
    pub grace: Duration,
    /// Time after which the process exits even if requests are running.
    pub max_duration: Duration,
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reports itself as not ready, but still accepts calls.
    Grace,
    /// Rejects new calls as not run; running ones finish.
    Draining,
    /// The process exits.
    Exit,
}

/// Phase at `now` of a shutdown that began at `since`, with `running` requests and connections that
/// carry one; `rejects_new` says whether new calls were already rejected when these were counted.
///
/// A call may arrive just as the last one ends, so the process exits only after a count that was
/// taken while new calls are rejected.
///
/// The grace period applies without running requests too: the load balancer may send another call
/// before it notices that the instance isn't ready, and a refused connection would fail it.
pub fn phase(plan: Plan, since: Instant, running: usize, rejects_new: bool, now: Instant) -> Phase {
    let elapsed = now.saturating_duration_since(since);
    if elapsed >= plan.max_duration {
        return Phase::Exit;
    }
    if elapsed < plan.grace {
        return Phase::Grace;
    }
    if running == 0 && rejects_new { Phase::Exit } else { Phase::Draining }
}

/// How much longer a request may wait before it is sent to a target, so that its answer, which takes
/// `expected`, is complete before the process exits at `exit`; `None` if it would be too late now.
///
/// A request whose `deadline` comes before the exit isn't affected: it may wait until then.
pub fn time_to_send(
    exit: Instant,
    expected: Duration,
    deadline: Instant,
    now: Instant,
) -> Option<Duration> {
    if deadline <= exit {
        return Some(deadline.saturating_duration_since(now));
    }
    exit.checked_duration_since(now)?.checked_sub(expected.mul_f64(ANSWER_TIME_FACTOR))
}
