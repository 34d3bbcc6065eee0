//! Rates of callers and concurrency of targets.

use std::time::{Duration, Instant};

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that fills at `rate` a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, burst, level: burst, at: now }
    }

    /// Changes the rates and keeps the level.
    pub fn set(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// How long until there is one.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.level) / self.rate))
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.at = now;
    }
}

const LIMIT_FLOOR: f64 = 1.0;
const DECREASE: f64 = 0.7;
const SLOTS_OVER: f64 = 1.5;

/// How many requests one target is given at once.
///
/// Additive increase, multiplicative decrease: a target that refuses or breaks
/// off gets fewer at once, and more again with each success. It starts at the
/// configured slots, since these are right until the target says otherwise.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
}

impl ConcurrencyLimit {
    /// For a target with `slots` slots.
    pub fn new(slots: u32) -> ConcurrencyLimit {
        let slots = f64::from(slots);
        ConcurrencyLimit { limit: slots, ceiling: (slots * SLOTS_OVER).ceil() }
    }

    /// Most requests at once now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// A request ended well.
    pub fn on_success(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
    }

    /// The target refused, broke off or was unreachable.
    pub fn on_failure(&mut self) {
        self.limit = (self.limit * DECREASE).max(LIMIT_FLOOR);
    }
}
