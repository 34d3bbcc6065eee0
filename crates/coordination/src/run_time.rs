//! Estimates how long a batch item takes, from items that completed, and so whether it can meet
//! its deadline.
//!
//! Slot time is the time that an item needs in a slot. Elapsed time is longer, since online
//! requests preempt the item.
//!
//! The slot allocators estimate for all instances: in a fleet of 250, each instance receives one
//! job in some 25 s and would know nothing by itself.
//!
//! ```
//! use coordination::run_time::{Estimate, Sample};
//! use std::time::Duration;
//!
//! let mut estimate = Estimate::default();
//! assert_eq!(estimate.remaining(0), Duration::ZERO, "no samples yet");
//! let (event_interval, elapsed) = (Duration::from_millis(25), Duration::from_secs(10));
//! estimate.record(Sample { events: 200, event_interval, elapsed });
//! assert_eq!(estimate.remaining(0), Duration::from_secs(5));
//! assert_eq!(estimate.remaining(150), Duration::from_millis(1_250));
//! let bound = estimate.upper_bound(0, 1.25);
//! assert_eq!(bound, Duration::from_millis(12_500), "half of its time without a slot");
//! ```

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Weight of the newest sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Cap on the sample count; reaching it means full confidence.
const MAX_SAMPLES: u32 = 20;
/// Minimum of the remaining time, as a ratio of the mean, since item sizes vary.
const MIN_REMAINING_RATIO: f64 = 0.1;
/// Cap on the slowdown of one sample: an item that had no holder for long says little about slots.
const MAX_SLOWDOWN: f64 = 8.0;

/// Run time of a completed item.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Events of all its runs.
    pub events: u32,
    /// Mean time between two events while it ran.
    #[serde(rename = "pace")]
    pub event_interval: Duration,
    /// From the start of its first run to the end of its last.
    #[serde(rename = "took")]
    pub elapsed: Duration,
}

/// Running means over completed items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Events of a whole item; 0 if unknown.
    events: f64,
    /// Seconds between two events.
    #[serde(rename = "pace")]
    interval_s: f64,
    /// Elapsed time per slot time; 0 if unknown, else at least 1.
    #[serde(rename = "stretch")]
    slowdown: f64,
    /// Number of samples, up to [`MAX_SAMPLES`].
    #[serde(rename = "items")]
    samples: u32,
}

impl Estimate {
    /// Adds a completed item.
    pub fn record(&mut self, sample: Sample) {
        let (events, interval_s) = (f64::from(sample.events), sample.event_interval.as_secs_f64());
        let slot_time_s = (events * interval_s).max(f64::MIN_POSITIVE);
        let slowdown = (sample.elapsed.as_secs_f64() / slot_time_s).clamp(1.0, MAX_SLOWDOWN);
        // Equal weights at first, so that the first samples don't dominate.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.events += (events - self.events) * weight;
        self.interval_s += (interval_s - self.interval_s) * weight;
        self.slowdown += (slowdown - self.slowdown) * weight;
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
    }

    /// Replaces this estimate by another instance's if that has at least as many samples.
    ///
    /// An instance runs too few items to order jobs by its own samples alone.
    pub fn merge(&mut self, other: Estimate) {
        if other.samples > 0 && other.samples >= self.samples {
            *self = other;
        }
    }

    /// Slot time that an item still needs after `event_count` events.
    pub fn remaining(&self, event_count: usize) -> Duration {
        let remaining = (self.events - event_count as f64).max(self.events * MIN_REMAINING_RATIO);
        Duration::from_secs_f64(remaining * self.interval_s)
    }

    /// Elapsed time within which such an item most probably completes, with as many preemptions as
    /// the mean times `slack_factor`. Started items precede others, so they are assumed not to
    /// wait.
    pub fn upper_bound(&self, event_count: usize, slack_factor: f64) -> Duration {
        let remaining = self.remaining(event_count);
        if event_count > 0 { remaining } else { remaining.mul_f64(self.slowdown * slack_factor) }
    }
}
