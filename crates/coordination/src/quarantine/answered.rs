//! Parts of prompts to which targets have recently responded.

use protocol::PartFingerprint;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time for which a part is remembered at least; twice that at most. A part that starts to crash
/// targets is suspected only after it.
const RETENTION: Duration = Duration::from_secs(5);
/// Number of parts that are remembered at least, if so many were recorded.
const MAX_PARTS: usize = 16_384;

/// Parts to which targets have recently responded, in two generations.
#[derive(Clone, Debug)]
pub struct AnsweredParts {
    current: HashSet<PartFingerprint>,
    previous: HashSet<PartFingerprint>,
    /// When the current generation began.
    since: Instant,
}

impl AnsweredParts {
    /// Without any part.
    pub fn new(now: Instant) -> AnsweredParts {
        AnsweredParts { current: HashSet::new(), previous: HashSet::new(), since: now }
    }

    /// Records that a target has responded to a request with these parts.
    pub fn record(&mut self, parts: &[PartFingerprint], now: Instant) {
        self.expire(now);
        self.current.extend(parts);
    }

    /// Whether a target has recently responded to a request with this part.
    pub fn contains(&mut self, part: PartFingerprint, now: Instant) -> bool {
        self.expire(now);
        self.current.contains(&part) || self.previous.contains(&part)
    }

    fn expire(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < RETENTION && self.current.len() < MAX_PARTS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= 2 * RETENTION {
            self.previous.clear();
        }
        self.since = now;
    }
}
