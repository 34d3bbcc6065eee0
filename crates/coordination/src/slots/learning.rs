//! What an allocator learns from its grants and from the reports at their release.

use super::lease::{LeaseOutcome, LeaseReport, Purpose, Request};
use super::placement::{Expectation, Forecast, Source};
use super::speed::Pace;
use super::target_state::TargetState;
use super::{Allocator, Lease, Placed};
use crate::TargetId;
use protocol::ServiceId;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Number of parts that are remembered of all targets together; some 32 MB.
const MAX_PARTS: usize = 300_000;
/// Limits of the number of parts that are remembered of one target.
const PARTS_PER_TARGET: [usize; 2] = [16, 4_096];
/// Reading time of the kept parts from which on a late first event can tell that they weren't kept.
/// A shorter reading time is within the usual variation of first events.
const MIN_EVIDENCE: Duration = Duration::from_millis(20);
/// Part of the reading time of the kept parts by which the first event must be late for it.
const EVIDENCE_RATIO: f64 = 0.75;

/// Time to copy a token, as a part of the time to read it, up to which a copy is worth taking
/// another target's memory and link for.
const MAX_COPY_RATIO: f64 = 0.25;

/// Memory of the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetMemory {
    /// Tokens that a target keeps; 0 if unknown.
    pub tokens: u64,
    /// Time to copy the memory of a token from another target, in seconds; `None` if they can't.
    pub copy_token_time_s: Option<f64>,
}

impl Allocator {
    /// Replaces what is known of the memory of targets, by service.
    pub fn set_memory(&mut self, memories: HashMap<ServiceId, TargetMemory>) {
        self.memories = memories;
        self.update_cache_limits();
    }

    pub(super) fn update_cache_limits(&mut self) {
        let [min, max] = PARTS_PER_TARGET;
        let max_parts = (MAX_PARTS / self.targets.len().max(1)).clamp(min, max);
        for state in self.targets.values_mut() {
            let memory = self.memories.get(&state.target.service);
            let capacity = memory.map(|memory| memory.tokens).filter(|tokens| *tokens > 0);
            let capacity = capacity.unwrap_or(u64::MAX);
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
        source: Option<&Source>,
        now: Instant,
    ) -> Option<Placed> {
        if self.policy.places_by_delay {
            self.paces.entry(request.service.clone()).or_default();
        }
        let pace = *self.pace_for(request)?;
        let state = self.targets.get_mut(target)?;
        let expected = state.expect(&request.workload, &pace, source, now);
        let busy_s = expected.wait_s + expected.copying_s + expected.reading_s;
        state.reading_until = Some(now + Duration::from_secs_f64(busy_s));
        state.cache.on_sent(&request.workload.prompt);
        let prompt = request.workload.prompt.clone();
        Some(Placed { expected, running: state.used() + 1, prompt })
    }

    /// Where targets of each software version copy a request's prompt from, if anywhere.
    pub(super) fn sources(&self, request: &Request, pace: &Pace, now: Instant) -> Vec<Source> {
        let serving = self.targets.values().filter(|state| state.serves(request));
        let versions: BTreeSet<Option<&str>> =
            serving.map(|state| state.target.software.as_deref()).collect();
        let source = |software| self.source(request, software, pace, now);
        versions.into_iter().filter_map(source).collect()
    }

    /// The target of a software version that keeps most of a request's prompt, if copying that is
    /// much faster than reading it and what is read matters to the caller. What another version
    /// keeps may not fit.
    fn source(
        &self,
        request: &Request,
        software: Option<&str>,
        pace: &Pace,
        now: Instant,
    ) -> Option<Source> {
        let token_time_s = self.memories.get(&request.service)?.copy_token_time_s?;
        let read_time = Duration::from_secs_f64(pace.token_time_s());
        if token_time_s > read_time.as_secs_f64() * MAX_COPY_RATIO {
            return None;
        }
        let min_tokens = request.workload.min_long_tokens(read_time)?;
        request.workload.prompt.long_part(min_tokens)?;
        let can_serve = |state: &&TargetState| {
            state.serves(request)
                && state.target.software.as_deref() == software
                && state.is_available(now)
                && !request.excluded.contains(&state.target.id)
        };
        let kept = self.targets.values().filter(can_serve).map(|state| {
            let (_, kept_tokens) = state.kept(&request.workload);
            (kept_tokens, state.target.address)
        });
        let best = kept.max_by_key(|(kept_tokens, _)| *kept_tokens);
        let best = best.filter(|(kept_tokens, _)| *kept_tokens >= min_tokens);
        // Most likely in another data centre: the targets of this one are known here.
        let is_same_version = request.workload.read_by.as_deref() == software;
        let told = request.workload.read_at.filter(|_| is_same_version);
        let told = told.map(|address| (request.workload.prompt.shared_tokens(), address));
        let (kept_tokens, address) = best.or(told)?;
        let software = software.map(str::to_owned);
        Some(Source { address, software, kept_tokens, token_time_s, min_tokens })
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
            | LeaseOutcome::Misdirected => state.forget_reading(placed, lease.granted, now),
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
            state.learn_first_event(first, placed, pace, slowness, now);
        }
    }
}

impl TargetState {
    /// A request that was granted at `granted` was not run, so its prompt wasn't read.
    fn forget_reading(&mut self, placed: &Placed, granted: Instant, now: Instant) {
        self.cache.on_not_run(&placed.prompt, placed.expected.kept_parts);
        let reading_s = placed.expected.copying_s + placed.expected.reading_s;
        let end = granted + Duration::from_secs_f64(placed.expected.wait_s + reading_s);
        // What was granted after it is read earlier by what it would still have taken.
        let unspent = Duration::from_secs_f64(reading_s).min(end.saturating_duration_since(now));
        self.reading_until = self.reading_until.and_then(|at| at.checked_sub(unspent));
    }

    /// Learns from the time from sending a request to its first event.
    fn learn_first_event(
        &mut self,
        first: Duration,
        placed: &Placed,
        pace: &mut Pace,
        slowness: f64,
        now: Instant,
    ) {
        let before_reading_s = placed.expected.wait_s + placed.expected.copying_s;
        let first_s = (first.as_secs_f64() - before_reading_s).max(0.0);
        let mut unread_tokens = placed.expected.unread_tokens;
        if let Some(is_late) = shows_reading(&placed.expected, first_s, pace, slowness) {
            self.cache.on_first_event(&placed.prompt, is_late);
            unread_tokens += if is_late { placed.expected.kept_tokens } else { 0 };
        }
        let excess_s = pace.record_first(first_s, unread_tokens, slowness);
        self.slowness.record_first_excess(excess_s, now);
    }
}

/// Whether a first event came so late that the target must have read the parts that count as kept;
/// `None` if their reading time is too short to tell.
fn shows_reading(expected: &Expectation, first_s: f64, pace: &Pace, slowness: f64) -> Option<bool> {
    let kept_s = slowness * pace.token_time_s() * expected.kept_tokens as f64;
    let usual_s = expected.first_s - expected.wait_s - expected.copying_s;
    (kept_s >= MIN_EVIDENCE.as_secs_f64()).then_some(first_s > usual_s + kept_s * EVIDENCE_RATIO)
}
