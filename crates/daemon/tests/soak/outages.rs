//! Random releases beside an outage of the platform and before a loss of all gateways, derived from
//! a seed.

use super::faults::{Fault, Step, random_millis, schedule};
use super::planned::{merge, relative};
use super::scenario::{DATA_CENTRES, VERSIONS};
use super::util::proxy::Mode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::objects;
use std::time::Duration;

/// Longest time from the last replacement of a release to the outage, in milliseconds.
const MAX_OUTAGE_DELAY_MS: u64 = 400;

/// What is the same for all steps of a seed.
#[derive(Clone, Copy)]
pub struct Scope {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of runners.
    pub runners: usize,
    /// Whether all runners are always of one software version, and the platform keeps its history.
    pub has_one_version: bool,
    /// Whether other faults overlap the series.
    pub has_other_faults: bool,
}

/// Series of a release, an outage, a loss of all gateways and another release, for `period`.
pub fn steps(seed: u64, scope: Scope, period: Duration) -> Vec<Step> {
    let mut series =
        Series { rng: StdRng::seed_from_u64(seed), scope, version: 0, timed: Vec::new() };
    let mut start = series.millis(300, 1_500);
    while start < period {
        start = series.add(start);
    }
    let steps = relative(series.timed);
    if !scope.has_other_faults {
        return steps;
    }
    let mut others = schedule(seed, scope.gateways, scope.runners, period);
    others.retain(|(_, fault)| !scope.has_one_version || !matches!(fault, Fault::CompactHistory));
    merge(steps, others)
}

struct Series {
    rng: StdRng,
    scope: Scope,
    /// Index of the version of the last release.
    version: usize,
    /// Faults and when they happen.
    timed: Vec<(Duration, Fault)>,
}

impl Series {
    /// Adds a series that begins at `start`; returns when the next one does.
    fn add(&mut self, start: Duration) -> Duration {
        let before = self.version;
        let begins_in_outage = self.rng.random_bool(0.85);
        let release = start + self.millis(0, 600);
        let released = self.release((before + 1) % VERSIONS.len(), release);
        let outage = released + self.millis(0, MAX_OUTAGE_DELAY_MS);
        if begins_in_outage {
            let period = outage - start + self.millis(0, 100);
            self.timed.push((start, Fault::Quiet(period)));
        }
        let killed = outage + self.millis(500, 1_500);
        let restarted = killed + self.millis(100, 1_000);
        let recovered = match self.rng.random_range(0..3) {
            0 => killed + (restarted - killed) / 2,
            1 => restarted + self.millis(0, 300),
            _ => restarted + self.millis(300, 2_500),
        };
        self.strike(outage, recovered - outage);
        self.timed.push((killed, Fault::KillAll(restarted - killed)));
        let is_roll_back = self.rng.random_bool(0.75);
        let next = if is_roll_back { before } else { (self.version + 1) % VERSIONS.len() };
        self.release(next, killed);
        // The next series sometimes begins before the gateways know each other.
        if self.rng.random_bool(0.3) {
            restarted + self.millis(300, 1_500)
        } else {
            recovered.max(restarted) + self.millis(3_000, 4_000)
        }
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        random_millis(&mut self.rng, from, to)
    }

    /// Replaces all runners, at once or one at a time; returns when the last one is replaced.
    fn release(&mut self, version: usize, start: Duration) -> Duration {
        self.version = if self.scope.has_one_version { 0 } else { version };
        let interval = if self.rng.random_bool(0.5) {
            Duration::ZERO
        } else {
            self.millis(100, 700) / self.scope.runners as u32
        };
        let down = self.millis(0, 100);
        for n in 0..self.scope.runners {
            let fault = Fault::Release(n, VERSIONS[self.version], down);
            self.timed.push((start + interval * n as u32, fault));
        }
        start + interval * self.scope.runners as u32 + down
    }

    /// The platform fails for all, for some or for one data centre's gateways, or for writes, and
    /// sometimes loses answers or its history beside that.
    fn strike(&mut self, at: Duration, period: Duration) {
        if self.rng.random_bool(0.4) {
            self.timed.push((at, Fault::RejectedWrites(period)));
        } else {
            self.strike_connections(at, period);
        }
        if self.rng.random_bool(0.1) {
            let lost_replies = self.rng.random_range(1..20);
            let faults = objects::Faults { lost_replies, ..objects::Faults::default() };
            self.timed.push((at, Fault::PlatformFaults(faults, period)));
        }
        if self.rng.random_bool(0.1) && !self.scope.has_one_version {
            self.timed.push((at, Fault::CompactHistory));
        }
    }

    fn strike_connections(&mut self, at: Duration, period: Duration) {
        let mode = match self.rng.random_range(0..6) {
            0 | 1 => Mode::Stall,
            2 => Mode::Reset,
            3 => Mode::Refuse,
            4 => Mode::Delay(self.millis(100, 400)),
            _ => Mode::StallResponses,
        };
        let all = 0..self.scope.gateways;
        let struck: Vec<usize> = match self.rng.random_range(0..5) {
            0..3 => all.collect(),
            3 => all.filter(|_| self.rng.random_bool(0.5)).collect(),
            _ => {
                let data_centre = DATA_CENTRES[self.rng.random_range(0..DATA_CENTRES.len())];
                all.filter(|n| DATA_CENTRES[n % DATA_CENTRES.len()] == data_centre).collect()
            }
        };
        let fault = |n| (at, Fault::PlatformConnection(n, mode, period));
        self.timed.extend(struck.into_iter().map(fault));
    }
}
