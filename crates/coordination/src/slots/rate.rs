//! Limits the rate of requests to targets that may be cold.
//!
//! A target is cold after its start and may turn cold at any moment; news of that comes late. So
//! every target of a service with a cold rate is limited all the time, and a target known to be
//! cold more strictly. The limits hold for the requests that reach a target in any second, from all
//! instances together:
//!
//! | what could exceed the ceiling | what prevents it |
//! | --- | --- |
//! | grants that lie unused and are sent together | no grant is used after [`MAX_GRANT_AGE`], and grants are counted over a window that is longer by this |
//! | news of the cold that comes late | the limit of a warm target is below the ceiling |
//! | targets that disappear and come back | their grants are remembered for that long |
//! | an allocator that takes over | in its first window it grants [`TAKEOVER_LIMIT`] requests, or one if it doesn't know that the target was warm; the regular limit leaves room for that |
//! | two allocators, each on its side of a network partition | each grants its share, by the members of the data centre that it reaches |

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest time from a grant until its request is sent.
pub const MAX_GRANT_AGE: Duration = Duration::from_millis(150);
/// Time over which limits hold at a target.
const TARGET_WINDOW: Duration = Duration::from_secs(1);
/// Time over which an allocator counts its grants: those sent in one [`TARGET_WINDOW`].
pub(super) const GRANT_WINDOW: Duration = TARGET_WINDOW.saturating_add(MAX_GRANT_AGE);
/// Requests of the ceiling that the regular limit leaves for allocators that take over.
const TAKEOVER_LIMIT: u32 = 3;

/// How fast the targets of a service may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Most requests that a cold target may receive in any second.
    pub ceiling: u32,
    /// How long a target is cold if nothing else is known.
    pub cold_period: Duration,
}

impl RateLimit {
    /// Grants in a window for a warm target.
    fn warm_limit(&self) -> u32 {
        self.ceiling.saturating_sub(TAKEOVER_LIMIT).max(1)
    }

    /// Grants in a window for a cold target.
    fn cold_limit(&self) -> u32 {
        let borne = self.cold_rate * GRANT_WINDOW.as_secs_f64();
        (borne as u32).clamp(1, self.warm_limit())
    }
}

/// What is known of one target, and its grants in the current window.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter {
    grants: VecDeque<Instant>,
    cold_until: Option<Instant>,
    /// Until when another allocator may have granted slots of the target.
    takeover_until: Option<Instant>,
    /// Grants in a window until then.
    takeover_limit: u32,
}

impl Meter {
    /// The target is cold until `until`, or longer if that is known already.
    pub(super) fn set_cold(&mut self, until: Instant) {
        self.cold_until = self.cold_until.max(Some(until));
    }

    /// Another allocator may have granted slots of the target until now. `is_warm` says that the
    /// target is known to have been warm.
    pub(super) fn on_takeover(&mut self, is_warm: bool, now: Instant) {
        self.takeover_until = Some(now + GRANT_WINDOW);
        self.takeover_limit = if is_warm { TAKEOVER_LIMIT } else { 1 };
        if is_warm {
            self.cold_until = None;
        }
    }

    /// Whether one more request may be granted. `share` is the part of the limit that this
    /// allocator may use, in 0..=1.
    pub(super) fn allows(&self, limit: &RateLimit, share: f64, now: Instant) -> bool {
        let is_before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        let base = match () {
            () if is_before(self.takeover_until) => self.takeover_limit,
            () if is_before(self.cold_until) => limit.cold_limit(),
            () => limit.warm_limit(),
        };
        // Without any, a target that only a small side can reach would be idle.
        let allowed = ((f64::from(base) * share) as usize).max(1);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < GRANT_WINDOW;
        self.grants.iter().filter(is_recent).count() < allowed
    }

    /// Whether grants of the current window must be remembered.
    pub(super) fn has_recent_grants(&self, now: Instant) -> bool {
        let last = self.grants.back();
        let is_recent = last.is_some_and(|at| now.saturating_duration_since(*at) < GRANT_WINDOW);
        is_recent || self.takeover_until.is_some_and(|until| now < until)
    }

    /// A request was granted.
    pub(super) fn on_grant(&mut self, now: Instant) {
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= GRANT_WINDOW;
        while self.grants.front().is_some_and(is_past) {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
    }
}
