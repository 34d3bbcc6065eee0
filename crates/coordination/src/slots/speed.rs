//! Learns how fast targets are from the requests that they served.
//!
//! For each service: how long the events of a stream are apart, how that grows with the number of
//! requests that run on the same target, how long a first event takes and how long each unread
//! token of the prompt adds. For each target: a factor to the interval and to the reading time, in
//! two parts, of which the lasting one tells slow hardware and the recent one a disturbance that
//! will pass; and what its first events take beyond the usual, since not all of that time grows with
//! the target's speed.

use std::time::{Duration, Instant};

/// Weight of the newest sample in the means of a service, once there are many.
const SERVICE_WEIGHT: f64 = 1.0 / 200.0;
/// Time to read a token while nothing is known, in seconds: that of a mid-sized engine.
const DEFAULT_TOKEN_TIME_S: f64 = 20e-6;
/// Limits of the same, so that a few odd samples don't make reading free or impossible.
const TOKEN_TIME_RANGE_S: [f64; 2] = [1e-6, 200e-6];
/// Spread of prompt lengths, in tokens, from which on the samples outweigh the default.
const TOKEN_SPREAD: f64 = 200.0;
/// Spread of the number of running requests from which on the samples outweigh no growth.
const RUNNING_SPREAD: f64 = 1.0;
/// Samples above this multiple of the expected time are taken for it: a stall says nothing of the
/// service.
const MAX_EXCESS: f64 = 4.0;

/// Half-life of what is known of a target's lasting slowness, after which it is tried again.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(30);
/// Half-life of what is known of its recent slowness.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Number of samples that count as much as the assumption that a target is like the others.
const PRIOR_SAMPLES: f64 = 1.0;
/// Number of samples after which the oldest are forgotten.
const MAX_SAMPLES: f64 = 20.0;
/// Limit of the slowness that one sample can show, as a factor either way.
const MAX_RATIO: f64 = 8.0;

/// Exponentially weighted least squares of `y` over `x`.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Regression {
    fn record(&mut self, x: f64, y: f64) {
        let kept = 1.0 - SERVICE_WEIGHT;
        self.weight = self.weight * kept + 1.0;
        self.x = self.x * kept + x;
        self.y = self.y * kept + y;
        self.xx = self.xx * kept + x * x;
        self.xy = self.xy * kept + x * y;
    }

    fn mean_x(&self) -> f64 {
        self.x / self.weight.max(1.0)
    }

    fn mean_y(&self) -> f64 {
        self.y / self.weight.max(1.0)
    }

    /// The slope, drawn towards `default` while `x` varies by less than `spread`.
    fn slope(&self, default: f64, spread: f64) -> f64 {
        let weight = self.weight.max(1.0);
        let covariance = self.xy / weight - self.mean_x() * self.mean_y();
        let variance = (self.xx / weight - self.mean_x().powi(2)).max(0.0);
        let ridge = spread * spread;
        (covariance + ridge * default) / (variance + ridge)
    }
}

/// What a service's requests take on a target of ordinary speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Interval between events over the number of running requests, in seconds.
    intervals: Regression,
    /// The same, without the slowness of each target.
    normalized: Regression,
    /// Time to the first event over the unread tokens times the slowness of the target, in seconds.
    first: Regression,
}

impl Pace {
    /// Interval between the events of one of `running` requests; 0 if unknown.
    pub(super) fn interval_s(&self, running: u32) -> f64 {
        let growth = self.normalized.slope(0.0, RUNNING_SPREAD).max(0.0);
        let distance = f64::from(running) - self.intervals.mean_x();
        (self.intervals.mean_y() + growth * distance).max(0.0)
    }

    /// Interval between events at the mean number of running requests; 0 if unknown.
    pub(super) fn usual_interval_s(&self) -> f64 {
        self.intervals.mean_y()
    }

    /// Whether the time to the first event of any request is known.
    pub(super) fn has_first_event(&self) -> bool {
        self.first.weight > 0.0
    }

    /// Time to read a token of a prompt.
    pub(super) fn token_time_s(&self) -> f64 {
        let [min, max] = TOKEN_TIME_RANGE_S;
        self.first.slope(DEFAULT_TOKEN_TIME_S, TOKEN_SPREAD).clamp(min, max)
    }

    /// Time to the first event without reading; 0 if unknown.
    pub(super) fn first_event_s(&self) -> f64 {
        (self.first.mean_y() - self.token_time_s() * self.first.mean_x()).max(0.0)
    }

    /// Records the interval between a request's events, among `running` on a target that is
    /// `slowness` times as slow as usual. Returns it as a multiple of what was expected on a target
    /// of ordinary speed.
    pub(super) fn record_interval(&mut self, interval_s: f64, running: u32, slowness: f64) -> f64 {
        let expected = self.interval_s(running);
        if expected == 0.0 {
            self.intervals.record(f64::from(running), interval_s);
            self.normalized.record(f64::from(running), interval_s);
            return 1.0;
        }
        let ratio = interval_s / expected;
        let plain = interval_s.min(expected * slowness * MAX_EXCESS);
        self.intervals.record(f64::from(running), plain);
        self.normalized.record(f64::from(running), plain / slowness);
        ratio
    }

    /// Records the time from sending a request to its first event, without waiting for others.
    /// Returns by how much it exceeds what was expected on a target that reads `slowness` times as
    /// slowly as usual; 0 while nothing was expected.
    pub(super) fn record_first(&mut self, first_s: f64, unread_tokens: u64, slowness: f64) -> f64 {
        let tokens = unread_tokens as f64 * slowness;
        let is_known = self.first.weight > 0.0;
        let expected = self.first_event_s() + self.token_time_s() * tokens;
        let plain = if is_known { first_s.min(expected * MAX_EXCESS) } else { first_s };
        self.first.record(tokens, plain);
        if is_known { plain - expected } else { 0.0 }
    }
}

/// Sum of samples, with weights that halve with age.
#[derive(Clone, Copy, Debug, Default)]
struct Memory {
    sum: f64,
    weight: f64,
    at: Option<Instant>,
}

impl Memory {
    fn aged(&self, half_life: Duration, now: Instant) -> (f64, f64) {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / half_life.as_secs_f64()).exp2();
        (self.sum * kept, self.weight * kept)
    }

    fn record(&mut self, value: f64, half_life: Duration, now: Instant) {
        let (sum, weight) = self.aged(half_life, now);
        let kept = (MAX_SAMPLES / (weight + 1.0)).min(1.0);
        *self = Memory { sum: (sum + value) * kept, weight: (weight + 1.0) * kept, at: Some(now) };
    }

    /// The mean, drawn towards `prior` while there are few samples.
    fn mean(&self, prior: f64, half_life: Duration, now: Instant) -> f64 {
        let (sum, weight) = self.aged(half_life, now);
        (sum + prior * PRIOR_SAMPLES) / (weight + PRIOR_SAMPLES)
    }
}

/// An estimate of a target: its lasting level, and how it differs from it at present.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    lasting: Memory,
    recent: Memory,
}

impl Level {
    fn record(&mut self, value: f64, now: Instant) {
        self.lasting.record(value, LASTING_HALF_LIFE, now);
        self.recent.record(value, RECENT_HALF_LIFE, now);
    }

    /// The value expected now; 0 if nothing is known.
    fn value(&self, now: Instant) -> f64 {
        let lasting = self.lasting.mean(0.0, LASTING_HALF_LIFE, now);
        self.recent.mean(lasting, RECENT_HALF_LIFE, now)
    }
}

/// How slow a target is, compared with the times of its service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowness {
    /// Logarithm of the factor to intervals and reading times.
    log_factor: Level,
    /// Seconds that first events take beyond the usual time without reading.
    first_excess: Level,
}

impl Slowness {
    /// Records a time as a multiple of the usual one.
    pub(super) fn record(&mut self, ratio: f64, now: Instant) {
        self.log_factor.record(ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln(), now);
    }

    /// Records by how many seconds a first event exceeded the expected time.
    pub(super) fn record_first_excess(&mut self, excess_s: f64, now: Instant) {
        self.first_excess.record(excess_s, now);
    }

    /// Seconds by which a first event is expected to exceed the usual time; negative if it is sooner.
    pub(super) fn first_excess_s(&self, now: Instant) -> f64 {
        self.first_excess.value(now)
    }

    /// The factor expected now; 1 if nothing is known.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        self.log_factor.value(now).exp()
    }
}
