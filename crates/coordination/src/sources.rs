//! Chooses from which instance to fetch a text that several instances have.
//!
//! A source that fails is asked again after the others, and later each time. Sources of the own
//! data centre go first.

use crate::retry;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Failures in a row after which a source isn't asked any more.
const MAX_FAILURES: u32 = 5;
/// Minimum and maximum delay until a source that failed is asked again.
const RETRY_DELAY_BOUNDS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(500)];

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask this source.
    Ask(SocketAddr),
    /// Wait until this time: all sources have just failed.
    Wait(Instant),
    /// No source is left.
    Exhausted,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    is_remote: bool,
    failures: u32,
    retry_at: Instant,
}

/// The sources of one text.
#[derive(Clone, Debug, Default)]
pub struct Sources(Vec<Source>);

impl Sources {
    /// Adds a source, behind those of its data centre that are known already. `is_remote` says
    /// whether it is in another data centre. One that is known and has failed may be asked again
    /// at once, since it has just said that it has the text.
    pub fn add(&mut self, address: SocketAddr, is_remote: bool, now: Instant) {
        match self.0.iter_mut().find(|source| source.address == address) {
            Some(known) => known.retry_at = now,
            None => self.0.push(Source { address, is_remote, failures: 0, retry_at: now }),
        }
    }

    /// The source to ask next.
    pub fn next(&self, now: Instant) -> Next {
        let usable = || self.0.iter().filter(|source| source.failures < MAX_FAILURES);
        let due = usable().filter(|source| source.retry_at <= now);
        // The first of equal ones.
        let best = due.min_by_key(|source| (source.failures, source.is_remote));
        match (best, usable().map(|source| source.retry_at).min()) {
            (Some(source), _) => Next::Ask(source.address),
            (None, Some(retry_at)) => Next::Wait(retry_at),
            (None, None) => Next::Exhausted,
        }
    }

    /// A source sent something of use.
    pub fn on_progress(&mut self, address: SocketAddr) {
        if let Some(source) = self.0.iter_mut().find(|source| source.address == address) {
            source.failures = 0;
        }
    }

    /// A source failed. `jitter` is in 0..1.
    pub fn on_failure(&mut self, address: SocketAddr, jitter: f64, now: Instant) {
        let [min, max] = RETRY_DELAY_BOUNDS;
        if let Some(source) = self.0.iter_mut().find(|source| source.address == address) {
            source.failures += 1;
            source.retry_at = now + retry::backoff(source.failures, min, max, jitter);
        }
    }
}
