//! Burn of a service level over several windows.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Width of one bucket of counts.
pub const BUCKET: Duration = Duration::from_secs(10);

/// Windows that are reported, shortest first.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Good and all requests of one time span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the level.
    pub good: u64,
    /// All requests.
    pub all: u64,
}

impl Counts {
    /// The sum of two counts, as when instances are added up.
    pub fn plus(self, other: Counts) -> Counts {
        Counts { good: self.good + other.good, all: self.all + other.all }
    }

    /// How fast the error budget burns: 1 uses it up just in time.
    pub fn burn(self, share: f64) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        let bad = (self.all - self.good) as f64 / self.all as f64;
        bad / (1.0 - share)
    }
}

/// Counts of the last hours, in buckets.
#[derive(Clone, Debug, Default)]
pub struct History {
    start: Option<Instant>,
    buckets: VecDeque<(u64, Counts)>,
}

impl History {
    /// Counts one request.
    pub fn record(&mut self, good: bool, now: Instant) {
        let slot = self.slot(now);
        if self.buckets.back().is_none_or(|(last, _)| *last < slot) {
            self.buckets.push_back((slot, Counts::default()));
            self.forget(slot);
        }
        if let Some((_, count)) = self.buckets.back_mut() {
            count.all += 1;
            count.good += u64::from(good);
        }
    }

    /// Counts within `window` before `now`.
    pub fn count_within(&self, window: Duration, now: Instant) -> Counts {
        let Some(start) = self.start else {
            return Counts::default();
        };
        let current = now.saturating_duration_since(start).as_secs() / BUCKET.as_secs();
        let span = window.as_secs() / BUCKET.as_secs();
        let recent = self.buckets.iter().filter(|(slot, _)| slot + span > current);
        recent.fold(Counts::default(), |sum, (_, count)| sum.plus(*count))
    }

    fn slot(&mut self, now: Instant) -> u64 {
        let start = *self.start.get_or_insert(now);
        now.saturating_duration_since(start).as_secs() / BUCKET.as_secs()
    }

    fn forget(&mut self, current: u64) {
        let span = WINDOWS[WINDOWS.len() - 1].as_secs() / BUCKET.as_secs();
        while self.buckets.front().is_some_and(|(slot, _)| slot + span <= current) {
            self.buckets.pop_front();
        }
    }
}
