//! When to try again, and when not to.

use std::time::Duration;

const SHARE: f64 = 0.2;
const START: f64 = 10.0;
const CAP: f64 = 100.0;

/// A budget of retries: a share of first tries.
///
/// Without it, retries multiply the load just when targets are failing, and a
/// short fault becomes a long one.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { level: START }
    }
}

impl Budget {
    /// Counts a first try.
    pub fn on_request(&mut self) {
        self.level = (self.level + SHARE).min(CAP);
    }

    /// Takes one retry; `false` when none is left.
    pub fn try_take(&mut self) -> bool {
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// How one try at a target ended, for the question whether to try another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection: no byte of the request left.
    NotSent,
    /// The target said that it didn't run it.
    Refused,
    /// Anything after the first byte left.
    Unknown,
}

/// Whether a failed try may be followed by another.
///
/// A request that may run at most once is only sent again when no byte of it
/// ever left. A target's own refusal is not enough: the claim on the request
/// covers one send, and keeping to one send needs no trust in the target.
pub fn may_retry(repeatable: bool, failure: Failure) -> bool {
    match failure {
        Failure::NotSent => true,
        Failure::Refused | Failure::Unknown => repeatable,
    }
}

/// Wait before try number `attempt` (from 1), with `chance` in 0..1 as jitter.
pub fn backoff(attempt: u32, base: Duration, cap: Duration, chance: f64) -> Duration {
    let doubled = base.saturating_mul(1u32 << attempt.saturating_sub(1).min(16));
    let most = doubled.min(cap);
    most.mul_f64(0.5 + chance.clamp(0.0, 1.0) / 2.0)
}
