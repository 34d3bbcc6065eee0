//! Chooses the target on which a request delays all callers least.
//!
//! Answers loads in which prompts share long parts, or targets differ in speed. A request that is
//! sent where its prompt was read before has its first event sooner and takes no time of the other
//! requests there; but a target that everybody is sent to is slow for all. So the choice compares
//! times: that until the first event of this request, the delay that reading its prompt causes to
//! the requests that run beside it, and the cost of an item that gives way. What the callers can't
//! tell apart counts as equal, and the load decides.

use super::lease::{Policy, Request, Workload};
use super::speed::Pace;
use super::target_state::{Rank, TargetState};
use protocol::SoftwareVersion;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Part of the objective below which differences between targets don't count.
const COST_RESOLUTION_RATIO: f64 = 1.0 / 30.0;
/// Steps of [`TargetState::cost`] in that difference: enough for the differences between targets to
/// be compared, rather than their rounded costs.
const STEPS_PER_RESOLUTION: u32 = 100;
/// Part of the objective within which targets whose items could give way are compared by what the
/// items lose.
const PREEMPTION_TOLERANCE_RATIO: f64 = 0.25;
/// Part of the time to read a long prompt that copying it counts at least. Whatever the link is
/// like, the copy takes memory that other prompts are kept in, so a target that keeps the prompt is
/// preferred while it has a free slot.
const MIN_COPY_RATIO: f64 = 0.25;
/// Objective assumed for work without one.
const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(300);

/// What an allocator expects of a request on the target that it granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Forecast {
    /// Time from sending the request to its first event, in milliseconds; 0 if unknown.
    pub first_ms: f64,
    /// Tokens of the prompt that the target probably keeps.
    pub kept_tokens: u64,
    /// Tokens that it copies from another target.
    pub copied_tokens: u64,
    /// Tokens that it has to read.
    pub unread_tokens: u64,
    /// Time to read a token on a target of ordinary speed, in microseconds; 0 if unknown.
    pub token_us: f64,
    /// How slow the target is, as a multiple of the usual time; 0 if unknown.
    pub slowness: f64,
}

/// Expected times of a request on one target, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Expectation {
    /// Until the prompts of requests granted before are read.
    pub(super) wait_s: f64,
    /// To read what the target neither keeps nor copies.
    pub(super) reading_s: f64,
    /// To copy what another target keeps; zero if nothing is copied.
    pub(super) copying_s: f64,
    /// Until the first event.
    pub(super) first_s: f64,
    /// Between two events.
    pub(super) interval_s: f64,
    /// Leading parts of the prompt that the target keeps.
    pub(super) kept_parts: usize,
    /// Tokens of these parts.
    pub(super) kept_tokens: u64,
    /// Tokens that it copies from another target.
    pub(super) copied_tokens: u64,
    /// Tokens that it reads.
    pub(super) unread_tokens: u64,
    pub(super) slowness: f64,
}

/// The target that keeps most of a prompt, from which others of its software version may copy it.
#[derive(Clone, Debug)]
pub(super) struct Source {
    pub(super) address: SocketAddr,
    /// `None` if unknown.
    pub(super) software: Option<SoftwareVersion>,
    /// Tokens of the leading parts that it keeps.
    pub(super) kept_tokens: u64,
    /// Time to copy the memory of a token, in seconds.
    pub(super) token_time_s: f64,
    /// Least tokens that are worth a copy.
    pub(super) min_tokens: u64,
}

impl Expectation {
    /// The forecast that is sent to the holder of the lease.
    pub(super) fn forecast(&self, pace: &Pace) -> Forecast {
        Forecast {
            first_ms: self.first_s * 1e3,
            kept_tokens: self.kept_tokens,
            copied_tokens: self.copied_tokens,
            unread_tokens: self.unread_tokens,
            token_us: pace.token_time_s() * 1e6,
            slowness: self.slowness,
        }
    }

    /// Whether the events would be too far apart for the response to be in time.
    pub(super) fn pauses_too_long(&self, workload: &Workload) -> bool {
        !workload.max_event_gap.is_zero() && self.interval_s > workload.max_event_gap.as_secs_f64()
    }
}

impl TargetState {
    /// What to expect of one more request on this target, which copies what `source` keeps beyond
    /// its own.
    pub(super) fn expect(
        &self,
        workload: &Workload,
        pace: &Pace,
        source: Option<&Source>,
        now: Instant,
    ) -> Expectation {
        let (kept_parts, kept_tokens) = self.kept(workload);
        let copied_tokens = source.map_or(0, |source| source.copied_tokens(kept_tokens));
        let unread_tokens = workload.prompt.tokens() - kept_tokens - copied_tokens;
        let slowness = self.slowness.factor(now);
        let wait = self.reading_until.map(|until| until.saturating_duration_since(now));
        let wait_s = wait.unwrap_or_default().as_secs_f64();
        let token_time_s = slowness * pace.token_time_s();
        let reading_s = token_time_s * unread_tokens as f64;
        let link_time_s = source.map_or(0.0, |source| source.token_time_s);
        let copying_s = link_time_s.max(token_time_s * MIN_COPY_RATIO) * copied_tokens as f64;
        let first_event_s = (pace.first_event_s() + self.slowness.first_excess_s(now)).max(0.0);
        Expectation {
            wait_s,
            reading_s,
            copying_s,
            first_s: wait_s + first_event_s + copying_s + reading_s,
            interval_s: slowness * pace.interval_s(self.used() + 1),
            kept_parts,
            kept_tokens,
            copied_tokens,
            unread_tokens,
            slowness,
        }
    }

    /// Leading parts of the prompt that the target keeps, and their tokens.
    pub(super) fn kept(&self, workload: &Workload) -> (usize, u64) {
        let parts = self.cache.kept_parts(&workload.prompt);
        let kept = workload.prompt.parts().iter().take(parts);
        (parts, kept.map(|part| u64::from(part.tokens)).sum())
    }

    /// Delay over all callers, in steps of the resolution divided by [`STEPS_PER_RESOLUTION`].
    ///
    /// What an item still needs counts as a whole, so that items take the fast targets: they run for
    /// seconds and must be complete when they are due, while callers are served in time by any target
    /// whose first event and pauses are within their limits.
    pub(super) fn cost(&self, expected: &Expectation, request: &Request, policy: &Policy) -> u32 {
        let workload = &request.workload;
        let preemption = if self.is_full() { policy.preemption_cost } else { Duration::ZERO };
        let delay_s = expected.first_s
            + self.delay_to_others_s(expected, workload)
            + preemption.as_secs_f64()
            + request.remaining.as_secs_f64() * expected.slowness;
        (delay_s / resolution_s(workload) * f64::from(STEPS_PER_RESOLUTION)) as u32
    }

    /// Delay that reading the prompt causes to the requests that run on the target, in seconds.
    /// A stream that pauses for too long because of it is late as a whole, whatever its other
    /// events.
    fn delay_to_others_s(&self, expected: &Expectation, workload: &Workload) -> f64 {
        let max_gap = workload.max_event_gap;
        let pause_s = expected.wait_s + expected.interval_s;
        let is_limit = |pause_s: f64| !max_gap.is_zero() && pause_s > max_gap.as_secs_f64();
        let is_made_late = is_limit(pause_s + expected.reading_s) && !is_limit(pause_s);
        let each_stream_s =
            if is_made_late { objective(workload).as_secs_f64() } else { expected.reading_s };
        f64::from(self.online) * each_stream_s + f64::from(self.batch) * expected.reading_s
    }
}

impl Source {
    /// Tokens that a target which keeps `kept_tokens` itself copies; zero if that isn't worth it.
    fn copied_tokens(&self, kept_tokens: u64) -> u64 {
        let beyond = self.kept_tokens.saturating_sub(kept_tokens);
        if beyond >= self.min_tokens { beyond } else { 0 }
    }
}

fn objective(workload: &Workload) -> Duration {
    if workload.objective.is_zero() { DEFAULT_OBJECTIVE } else { workload.objective }
}

fn resolution_s(workload: &Workload) -> f64 {
    objective(workload).as_secs_f64() * COST_RESOLUTION_RATIO
}

/// Difference of [`TargetState::cost`] up to which items that could give way are compared.
pub(super) fn preemption_tolerance() -> u32 {
    (PREEMPTION_TOLERANCE_RATIO / COST_RESOLUTION_RATIO) as u32 * STEPS_PER_RESOLUTION
}

impl Rank {
    /// The rank in which costs count only as far as callers can tell them from that of `best`.
    pub(super) fn relative_to(self, best: Rank) -> Rank {
        Rank { cost: self.cost.saturating_sub(best.cost) / STEPS_PER_RESOLUTION, ..self }
    }
}
