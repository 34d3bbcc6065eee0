//! Requests asked for in about the last second.

use std::time::{Duration, Instant};

/// A count of requests whose weights decay with their age.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    weight: f64,
    at: Instant,
}

impl Demand {
    pub(super) fn new(now: Instant) -> Demand {
        Demand { weight: 0.0, at: now }
    }

    /// Counts one request.
    pub(super) fn record(&mut self, window: Duration, now: Instant) {
        *self = Demand { weight: self.decayed(window, now) + 1.0, at: now };
    }

    /// Requests per second, averaged over `window`.
    pub(super) fn per_second(&self, window: Duration, now: Instant) -> f64 {
        self.decayed(window, now) / window.as_secs_f64()
    }

    fn decayed(&self, window: Duration, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-elapsed / window.as_secs_f64()).exp()
    }
}
