//! How long an item of a batch job is going to run, learnt from those that were
//! done, and so whether it can still be done by the time at which it is due.
//!
//! Two times differ: the slot time that an item needs, and the time that passes until
//! it is done, since it is stopped whenever online needs its slot.
//!
//! ```
//! use coordination::run_time::{Sample, Estimate};
//! use std::time::Duration;
//!
//! let mut estimate = Estimate::default();
//! assert_eq!(estimate.remaining(0), Duration::ZERO, "no samples yet");
//! let (event_interval, elapsed) = (Duration::from_millis(25), Duration::from_secs(10));
//! estimate.record(Sample { events: 200, event_interval, elapsed });
//! assert_eq!(estimate.remaining(0), Duration::from_secs(5));
//! assert_eq!(estimate.remaining(150), Duration::from_millis(1_250));
//! assert_eq!(estimate.upper_bound(0, 1.25), Duration::from_millis(12_500), "half of its time without a slot");
//! ```

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Weight of the newest item in the running means: some twenty items count.
const NEWEST: f64 = 0.05;
/// Items after which the means say as much as they ever will.
const ENOUGH: u32 = 20;
/// Share of the mean that an item is taken to have left however much it has made:
/// sizes differ by some quarter around their mean.
const LEAST_LEFT: f64 = 0.1;
/// Longest stretch that one item may add to the mean: one that lay without a holder
/// says nothing of how slots come and go.
const MOST_STRETCH: f64 = 8.0;

/// An item that was done.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Its events in all its runs.
    pub events: u32,
    /// Time between two of them while it ran.
    #[serde(rename = "pace")]
    pub event_interval: Duration,
    /// From its first run's beginning to its last run's end.
    #[serde(rename = "took")]
    pub elapsed: Duration,
}

/// Running means over the items that were done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Events of a whole item; 0 while unknown.
    events: f64,
    /// Seconds between two events.
    pace: f64,
    /// Time that passes for each unit of slot time; 0 while unknown, else 1 or more.
    #[serde(rename = "stretch")]
    slowdown: f64,
    /// Items learnt from, up to [`ENOUGH`].
    items: u32,
}

impl Estimate {
    /// An item was done.
    pub fn record(&mut self, done: Sample) {
        let (events, pace) = (f64::from(done.events), done.event_interval.as_secs_f64());
        let ran = (events * pace).max(f64::MIN_POSITIVE);
        let stretch = (done.elapsed.as_secs_f64() / ran).clamp(1.0, MOST_STRETCH);
        // The first ones count alike, so that the mean isn't theirs for long.
        let weight = NEWEST.max(1.0 / f64::from(self.items + 1));
        self.events += (events - self.events) * weight;
        self.pace += (pace - self.pace) * weight;
        self.slowdown += (stretch - self.slowdown) * weight;
        self.items = (self.items + 1).min(ENOUGH);
    }

    /// Takes over what another has learnt, if it has learnt from as many items.
    ///
    /// Gains an order among jobs where each instance runs few items itself: of 250
    /// instances each sees one job in some 25 s, and would know nothing when it counts.
    pub fn merge(&mut self, other: Estimate) {
        if other.items > 0 && other.items >= self.items {
            *self = other;
        }
    }

    /// Slot time that an item needs which has made some events already.
    pub fn remaining(&self, made: usize) -> Duration {
        let left = (self.events - made as f64).max(self.events * LEAST_LEFT);
        Duration::from_secs_f64(left * self.pace)
    }

    /// Time in which such an item is done for sure, if it stands still as often as
    /// others did; `spare` is what is allowed beyond their mean, as a factor. What was
    /// begun goes before the rest and stands still less.
    pub fn upper_bound(&self, made: usize, spare: f64) -> Duration {
        let left = self.remaining(made);
        if made > 0 { left } else { left.mul_f64(self.slowdown * spare) }
    }
}
