//! Burn rate of a service level objective over several windows.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Resolution of the windows.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(10);

/// Reported windows, shortest first.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Requests of one time span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// Total of requests, good and bad.
    pub all: u64,
}

impl Counts {
    /// The sum of both, as in totals over instances.
    pub fn plus(self, other: Counts) -> Counts {
        Counts { good: self.good + other.good, all: self.all + other.all }
    }

    /// Burn rate of the error budget for an objective of `objective` (a ratio below 1); at 1 the
    /// budget lasts exactly for its period, and without requests it is 0.
    pub fn burn(self, objective: f64) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        let bad = (self.all - self.good) as f64 / self.all as f64;
        bad / (1.0 - objective)
    }
}

/// Counts of the longest window, in buckets of [`BUCKET_WIDTH`].
#[derive(Clone, Debug, Default)]
pub struct History {
    start: Option<Instant>,
    buckets: VecDeque<(u64, Counts)>,
}

impl History {
    /// Counts one request.
    pub fn record(&mut self, good: bool, now: Instant) {
        let index = self.index(now);
        if self.buckets.back().is_none_or(|(last, _)| *last < index) {
            self.buckets.push_back((index, Counts::default()));
            self.drop_expired(index);
        }
        if let Some((_, count)) = self.buckets.back_mut() {
            count.all += 1;
            count.good += u64::from(good);
        }
    }

    /// Counts of the last `window` before `now`.
    pub fn count_within(&self, window: Duration, now: Instant) -> Counts {
        let Some(start) = self.start else {
            return Counts::default();
        };
        let current = now.saturating_duration_since(start).as_secs() / BUCKET_WIDTH.as_secs();
        let bucket_count = window.as_secs() / BUCKET_WIDTH.as_secs();
        let recent = self.buckets.iter().filter(|(index, _)| index + bucket_count > current);
        recent.fold(Counts::default(), |sum, (_, count)| sum.plus(*count))
    }

    fn index(&mut self, now: Instant) -> u64 {
        let start = *self.start.get_or_insert(now);
        now.saturating_duration_since(start).as_secs() / BUCKET_WIDTH.as_secs()
    }

    fn drop_expired(&mut self, current: u64) {
        let bucket_count = WINDOWS[WINDOWS.len() - 1].as_secs() / BUCKET_WIDTH.as_secs();
        while self.buckets.front().is_some_and(|(index, _)| index + bucket_count <= current) {
            self.buckets.pop_front();
        }
    }
}
