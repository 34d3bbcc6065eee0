//! What a table knows of one member.

use super::{Member, Policy};
use std::time::{Duration, Instant};

/// Part of the suspect timeout in which second-hand reports of a death are ignored; a
/// member that observed the death itself reports it only after the whole timeout.
const REFUTATION_RATIO: f64 = 0.75;
/// How long a lost member that doesn't return may be alive in another part of the network.
const LOSS_MEMORY: Duration = Duration::from_secs(300);
/// Time after which two parts of a network that meet again have had the same view for a second.
const REUNION_TIME: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) missed_heartbeats: u32,
    pub(super) changed_at: Instant,
    /// Whether it is suspected only because others report it dead.
    pub(super) is_second_hand: bool,
    /// Its last loss, if it died without leaving or being replaced.
    pub(super) loss: Option<Loss>,
}

/// A member was lost, and may have come back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub(super) at: Instant,
    pub(super) returned: Option<Instant>,
}

impl Loss {
    /// Whether the member may be alive in another part of a partitioned network, or may not know
    /// yet that it is in this one again.
    pub(super) fn counts(&self, now: Instant) -> bool {
        let elapsed = |since| now.saturating_duration_since(since);
        match self.returned {
            Some(returned) => elapsed(returned) < REUNION_TIME,
            None => elapsed(self.at) < LOSS_MEMORY,
        }
    }
}

impl Entry {
    /// Whether it has had too little time to refute the suspicion.
    pub(super) fn is_recent_suspect(&self, policy: Policy, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.changed_at);
        elapsed < policy.suspect_timeout.mul_f64(REFUTATION_RATIO)
    }
}
