//! Decides whether an online request is queued, and when a rejected one should retry.

use std::time::Duration;

/// Maximum time in the queue.
///
/// A request that waits longer misses its first-token objective anyway; after an early rejection
/// the caller can try elsewhere.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// State of one service's queue on one instance.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Requests queued now.
    pub waiting: u32,
    /// Maximum of queued requests.
    pub max_waiting: u32,
    /// Requests running now.
    pub running: u32,
    /// Mean duration of a request.
    pub mean_duration: Duration,
}

/// What to do with a request that finds no free target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Queue it for at most this long.
    Wait(Duration),
    /// Reject it; the caller should retry after this long.
    Refuse(Duration),
}

/// Decides for a request whose caller waits for `remaining` more.
pub fn decide(queue: Queue, remaining: Duration) -> Decision {
    let ahead = f64::from(queue.waiting + 1);
    let concurrency = f64::from(queue.running.max(1));
    let expected = queue.mean_duration.mul_f64(ahead / concurrency);
    let is_full = queue.waiting >= queue.max_waiting;
    let is_unserviceable = expected > remaining.min(MAX_WAIT * 2);
    if is_full || is_unserviceable || remaining.is_zero() {
        return Decision::Refuse(
            expected.clamp(Duration::from_millis(500), Duration::from_secs(30)),
        );
    }
    Decision::Wait(remaining.min(MAX_WAIT))
}
