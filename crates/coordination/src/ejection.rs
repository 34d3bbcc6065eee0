//! Outlier ejection: takes a failing target out of use and readmits it gradually.

use std::time::{Duration, Instant};

const FAILURE_LIMIT: u32 = 3;
const BASE_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
const MAX_DOUBLINGS: u32 = 5;
const PROBATION_SUCCESSES: u32 = 5;

/// Health of one target as one instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probation_remaining: u32,
    /// Whether a silence, before which the target had responded, is all that is known against it.
    is_first_silence: bool,
}

/// How much a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Up to its concurrency limit.
    Full,
    /// One request at a time, until a few have succeeded.
    Probation,
    /// Not at all.
    Ejected,
}

impl Health {
    /// Availability at `now`.
    pub fn availability(&self, now: Instant) -> Availability {
        match self.ejected_until {
            Some(ejected_until) if now < ejected_until => Availability::Ejected,
            _ if self.probation_remaining > 0 => Availability::Probation,
            _ => Availability::Full,
        }
    }

    /// Whether the target is in doubt only because it fell silent for the first time since it last
    /// responded. A pause of all targets of a service looks like this at each of them.
    pub fn is_first_silence(&self) -> bool {
        self.is_first_silence
    }

    /// A request succeeded.
    pub fn on_success(&mut self) {
        if self.is_first_silence {
            *self = Health::default();
            return;
        }
        self.failures = 0;
        self.ejected_until = None;
        self.probation_remaining = self.probation_remaining.saturating_sub(1);
        if self.probation_remaining == 0 {
            self.ejections = 0;
        }
    }

    /// The target doesn't respond at all: ejects it at once.
    pub fn on_unresponsive(&mut self, now: Instant) {
        self.probation_remaining = PROBATION_SUCCESSES;
        self.on_failure(now);
    }

    /// The target accepted a request and sent nothing for too long: ejects it at once.
    pub fn on_silent(&mut self, now: Instant) {
        let is_first = self.ejections == 0;
        self.on_unresponsive(now);
        self.is_first_silence = is_first;
    }

    /// A request failed because of the target.
    pub fn on_failure(&mut self, now: Instant) {
        self.is_first_silence = false;
        self.failures += 1;
        let on_probation = self.probation_remaining > 0;
        if self.failures < FAILURE_LIMIT && !on_probation {
            return;
        }
        let ejection =
            BASE_EJECTION.saturating_mul(1 << self.ejections.min(MAX_DOUBLINGS)).min(MAX_EJECTION);
        self.ejected_until = Some(now + ejection);
        self.ejections += 1;
        self.failures = 0;
        self.probation_remaining = PROBATION_SUCCESSES;
    }
}
