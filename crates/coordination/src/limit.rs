//! Rate limits of callers and concurrency limits of targets.

use std::time::{Duration, Instant};

/// A token bucket for rate limits.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that is refilled at `rate` tokens per second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, burst, level: burst, refilled_at: now }
    }

    /// Changes rate and burst; the level stays, up to the new burst.
    pub fn set(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Time until the next token if there is none; [`Duration::MAX`] if it is longer.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64((1.0 - self.level) / self.rate);
        Err(wait.unwrap_or(Duration::MAX))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
    }
}

const MIN_LIMIT: f64 = 1.0;
const DECREASE_FACTOR: f64 = 0.7;
const MAX_LIMIT_FACTOR: f64 = 1.5;

/// Limit of concurrent requests to one target.
///
/// Additive increase, multiplicative decrease: failures lower the limit, successes raise it. It
/// starts at the configured slots.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
}

impl ConcurrencyLimit {
    /// A limit for a target with `slots` slots.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        let slots = f64::from(slots);
        ConcurrencyLimit { limit: slots, max_limit: (slots * MAX_LIMIT_FACTOR).ceil() }
    }

    /// Current maximum of concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// A request succeeded.
    pub fn on_success(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
    }

    /// A request was rejected or interrupted, or the target was unreachable.
    pub fn on_failure(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
