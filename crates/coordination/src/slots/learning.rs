//! What an allocator learns from its grants and from the reports at their release.

use super::lease::{LeaseOutcome, LeaseReport, Purpose, Request};
use super::placement::{Expectation, Forecast};
use super::speed::Pace;
use super::{Allocator, Lease, Placed};
use crate::TargetId;
use protocol::ServiceId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of parts that are remembered of all targets together; some 32 MB.
const MAX_PARTS: usize = 300_000;
/// Limits of the number of parts that are remembered of one target.
const PARTS_PER_TARGET: [usize; 2] = [16, 4_096];
/// Reading time of the kept parts from which on a late first event can tell that they weren't kept.
/// Below, it can't be told from other delays.
const MIN_EVIDENCE: Duration = Duration::from_millis(20);
/// Part of the reading time of the kept parts by which the first event must be late for it.
const EVIDENCE_RATIO: f64 = 0.75;

impl Allocator {
    /// Replaces the memory of targets in tokens, by service; 0 if unknown.
    pub fn set_memory(&mut self, memory_tokens: HashMap<ServiceId, u64>) {
        self.memory_tokens = memory_tokens;
        self.update_cache_limits();
    }

    pub(super) fn update_cache_limits(&mut self) {
        let [min, max] = PARTS_PER_TARGET;
        let max_parts = (MAX_PARTS / self.targets.len().max(1)).clamp(min, max);
        for state in self.targets.values_mut() {
            let capacity = self.memory_tokens.get(&state.target.service).copied();
            let capacity = capacity.filter(|capacity| *capacity > 0).unwrap_or(u64::MAX);
            state.cache.set_limits(capacity, max_parts);
        }
    }

    /// The pace of a request's service; `None` if the request isn't placed by delay.
    pub(super) fn pace_for(&self, request: &Request) -> Option<&Pace> {
        let workload = &request.workload;
        let is_known = !workload.prompt.is_empty() || !workload.objective.is_zero();
        if !self.policy.places_by_delay || !is_known {
            return None;
        }
        self.paces.get(&request.service)
    }

    /// Records that the target will read the request's prompt.
    pub(super) fn place(
        &mut self,
        request: &Request,
        target: &TargetId,
        now: Instant,
    ) -> Option<Placed> {
        if self.policy.places_by_delay {
            self.paces.entry(request.service.clone()).or_default();
        }
        let pace = *self.pace_for(request)?;
        let state = self.targets.get_mut(target)?;
        let expected = state.expect(&request.workload, &pace, now);
        let busy_s = expected.wait_s + expected.reading_s;
        state.reading_until = Some(now + Duration::from_secs_f64(busy_s));
        state.cache.on_sent(&request.workload.prompt);
        let prompt = request.workload.prompt.clone();
        Some(Placed { expected, running: state.used() + 1, prompt })
    }

    pub(super) fn forecast(&self, request: &Request, placed: Option<&Placed>) -> Option<Forecast> {
        let pace = self.pace_for(request)?;
        placed.map(|placed| placed.expected.forecast(pace))
    }

    /// Learns from the report of a lease that was released.
    pub(super) fn learn(&mut self, lease: &Lease, report: &LeaseReport, now: Instant) {
        let Some(placed) = &lease.placed else {
            return;
        };
        let Some(state) = self.targets.get_mut(&lease.target) else {
            return;
        };
        match report.outcome {
            LeaseOutcome::Completed => state.cache.on_completed(&placed.prompt),
            // A holder that stops an item may have had its prompt read.
            LeaseOutcome::Unused if lease.purpose == Purpose::Batch => {}
            LeaseOutcome::Unused
            | LeaseOutcome::Rejected
            | LeaseOutcome::Unresponsive
            | LeaseOutcome::Misdirected => {
                state.cache.on_not_run(&placed.prompt, placed.expected.kept_parts);
                let reading = Duration::from_secs_f64(placed.expected.reading_s);
                let end_s = placed.expected.wait_s + placed.expected.reading_s;
                let end = lease.granted + Duration::from_secs_f64(end_s);
                // What was granted after it is read earlier by what it would still have taken.
                let unspent = reading.min(end.saturating_duration_since(now));
                state.reading_until = state.reading_until.and_then(|at| at.checked_sub(unspent));
            }
            LeaseOutcome::Failed | LeaseOutcome::Interrupted => {}
        }
        let Some(pace) = self.paces.get_mut(&state.target.service) else {
            return;
        };
        let slowness = state.slowness.factor(now);
        if let Some(interval) = report.event_interval {
            let running = placed.running.midpoint(state.used());
            let ratio = pace.record_interval(interval.as_secs_f64(), running, slowness);
            state.slowness.record(ratio, now);
        }
        if let Some(first) = report.first_event {
            let first_s = (first.as_secs_f64() - placed.expected.wait_s).max(0.0);
            let mut unread_tokens = placed.expected.unread_tokens;
            if let Some(is_late) = shows_reading(&placed.expected, first_s, pace, slowness) {
                state.cache.on_first_event(&placed.prompt, is_late);
                unread_tokens += if is_late { placed.expected.kept_tokens } else { 0 };
            }
            pace.record_first(first_s, unread_tokens, slowness);
        }
    }
}

/// Whether a first event came so late that the target must have read the parts that count as kept;
/// `None` if their reading time is too short to tell.
fn shows_reading(expected: &Expectation, first_s: f64, pace: &Pace, slowness: f64) -> Option<bool> {
    let kept_s = slowness * pace.token_time_s() * expected.kept_tokens as f64;
    let usual_s = expected.first_s - expected.wait_s;
    (kept_s >= MIN_EVIDENCE.as_secs_f64()).then_some(first_s > usual_s + kept_s * EVIDENCE_RATIO)
}
