//! Whether an online request may wait, and when a refused one comes back.

use std::time::Duration;

/// Longest wait of an online request for a target.
///
/// A request that waits longer misses its first-token goal anyway; a refusal
/// at once lets the caller go elsewhere.
pub const MAX_WAIT: Duration = Duration::from_millis(400);

/// State of one service's queue on one instance.
#[derive(Clone, Copy, Debug)]
pub struct Queue {
    /// Requests waiting now.
    pub waiting: u32,
    /// Most that may wait.
    pub max_waiting: u32,
    /// Requests running now.
    pub running: u32,
    /// Mean time of one request.
    pub mean_duration: Duration,
}

/// What to do with a request that finds no free target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Wait for at most this long.
    Wait(Duration),
    /// Refuse now; come back after this long.
    Refuse(Duration),
}

/// Decides for a request whose caller waits `left` more.
pub fn decide(queue: Queue, left: Duration) -> Decision {
    let ahead = f64::from(queue.waiting + 1);
    let lanes = f64::from(queue.running.max(1));
    let expected = queue.mean_duration.mul_f64(ahead / lanes);
    let full = queue.waiting >= queue.max_waiting;
    let hopeless = expected > left.min(MAX_WAIT * 2);
    if full || hopeless || left.is_zero() {
        return Decision::Refuse(
            expected.clamp(Duration::from_millis(500), Duration::from_secs(30)),
        );
    }
    Decision::Wait(left.min(MAX_WAIT))
}
