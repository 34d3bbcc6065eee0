//! Taking a failing target out of use, and bringing it back gently.

use std::time::{Duration, Instant};

const FAILURES: u32 = 3;
const BASE: Duration = Duration::from_secs(1);
const CAP: Duration = Duration::from_secs(30);
const DOUBLINGS: u32 = 5;
const PROBATION: u32 = 5;

/// Health of one target as one instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
    probation: u32,
}

/// How much a target may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// As its limit allows.
    Full,
    /// One request at a time, until it has done a few.
    Probation,
    /// Not at all.
    Ejected,
}

impl Health {
    /// How much the target may be used now.
    pub fn availability(&self, now: Instant) -> Availability {
        match self.until {
            Some(until) if now < until => Availability::Ejected,
            _ if self.probation > 0 => Availability::Probation,
            _ => Availability::Full,
        }
    }

    /// A request ended well.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.until = None;
        self.probation = self.probation.saturating_sub(1);
        if self.probation == 0 {
            self.ejections = 0;
        }
    }

    /// The target answers nothing at all: out of use at once.
    pub fn on_unresponsive(&mut self, now: Instant) {
        self.probation = PROBATION;
        self.on_failure(now);
    }

    /// A request failed through the target's fault.
    pub fn on_failure(&mut self, now: Instant) {
        self.failures += 1;
        let on_trial = self.probation > 0;
        if self.failures < FAILURES && !on_trial {
            return;
        }
        let wait = BASE.saturating_mul(1 << self.ejections.min(DOUBLINGS)).min(CAP);
        self.until = Some(now + wait);
        self.ejections += 1;
        self.failures = 0;
        self.probation = PROBATION;
    }
}
