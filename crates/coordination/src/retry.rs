//! Retry budget, retry safety and backoff.

use std::time::Duration;

const BUDGET_RATIO: f64 = 0.2;
const INITIAL_BUDGET: f64 = 10.0;
const MAX_BUDGET: f64 = 100.0;

/// A budget of retries: a ratio of first attempts.
///
/// Without it, retries multiply the load while targets fail and prolong the failure.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { tokens: INITIAL_BUDGET }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn on_request(&mut self) {
        self.tokens = (self.tokens + BUDGET_RATIO).min(MAX_BUDGET);
    }

    /// Whether no retry is left.
    pub fn is_used_up(&self) -> bool {
        self.tokens < 1.0
    }

    /// Takes one retry; `false` if the budget is used up.
    pub fn try_take(&mut self) -> bool {
        if self.is_used_up() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection: no byte of the request was sent.
    NotSent,
    /// The target reported that it didn't run the request.
    Refused,
    /// Any failure after the first byte was sent.
    Unknown,
}

/// Whether a failed attempt may be repeated.
///
/// A request that isn't `repeatable` is sent again only if none of its bytes was sent. The
/// target's own rejection isn't enough: the claim on the request covers one send, whatever the
/// target says.
pub fn may_retry(repeatable: bool, failure: Failure) -> bool {
    match failure {
        Failure::NotSent => true,
        Failure::Refused | Failure::Unknown => repeatable,
    }
}

/// Delay before attempt number `attempt` (from 1); `chance` in 0..1 is the jitter.
pub fn backoff(attempt: u32, base: Duration, cap: Duration, chance: f64) -> Duration {
    let delay = base.saturating_mul(1u32 << attempt.saturating_sub(1).min(16));
    let max_delay = delay.min(cap);
    max_delay.mul_f64(0.5 + chance.clamp(0.0, 1.0) / 2.0)
}
