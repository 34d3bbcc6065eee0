//! State of one target: its leases, and its recent health.

use super::lease::{LeaseOutcome, LeaseReport, Policy, Purpose, Request};
use super::placement::{Expectation, Source};
use super::prompt_cache::PromptCache;
use super::rate::Meter;
use super::speed::{Pace, Slowness};
use crate::ejection::{Availability, Health};
use protocol::routing::Target;
use std::time::{Duration, Instant};

/// How long a target with an overdue first event is used last.
const OVERDUE_PENALTY: Duration = Duration::from_millis(1_000);
/// Weight of the newest outcome in the failure ratio: two failures in the last six or seven
/// requests reach [`MAX_FAILURE_RATIO`], one doesn't.
const FAILURE_WEIGHT: f64 = 0.15;
/// Failure ratio from which a target is used last, and not for batch; about ten times that of a
/// healthy target.
const MAX_FAILURE_RATIO: f64 = 0.25;
/// Half-life of the failure ratio, so that an unused target is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Exponentially decaying ratio of failed requests.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    ratio: f64,
    at: Option<Instant>,
}

impl Failures {
    fn ratio(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.ratio * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn record(&mut self, has_failed: bool, now: Instant) {
        let ratio = self.ratio(now);
        let outcome = f64::from(u8::from(has_failed));
        *self = Failures { ratio: ratio + (outcome - ratio) * FAILURE_WEIGHT, at: Some(now) };
    }
}

/// A target and its leases.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) target: Target,
    /// Active leases of online requests.
    pub(super) online: u32,
    /// Active leases of batch; revoked ones aren't counted.
    pub(super) batch: u32,
    health: Health,
    failures: Failures,
    /// Running mean of the event interval, in seconds; 0 if unknown.
    pub(super) event_interval: f64,
    /// When a request was last overdue for its first event, or rejected.
    last_overdue: Option<Instant>,
    /// When a response was last interrupted.
    last_interrupted: Option<Instant>,
    /// When a silence was last reported.
    last_silent: Option<Instant>,
    /// Rate of grants, if the service has a limit.
    pub(super) meter: Meter,
    /// What it probably keeps of the prompts that it has read.
    pub(super) cache: PromptCache,
    pub(super) slowness: Slowness,
    /// When it will have read the prompts of all requests granted so far.
    pub(super) reading_until: Option<Instant>,
}

/// Rank of a target for a request; the lowest is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Doubts about the target; a lower class precedes whatever the rest is.
    pub(super) class: u32,
    /// Delay over all callers, see [`TargetState::cost`]; 0 where nothing is known of the request.
    pub(super) cost: u32,
    /// Slots taken, in thousandths of all.
    pub(super) load: u64,
    pub(super) is_full: bool,
}

/// What targets are ranked by, beside the request.
pub(super) struct Ranking<'a> {
    pub(super) policy: &'a Policy,
    /// Median event interval of all targets, in seconds.
    pub(super) median: f64,
    /// Pace of the request's service; `None` if requests aren't placed by expected delays.
    pub(super) pace: Option<&'a Pace>,
    /// Whether so many targets fell silent that this is no evidence against any of them.
    pub(super) is_common_silence: bool,
    /// Where the prompt may be copied from, one for each software version; none if reading it is
    /// as good.
    pub(super) sources: Vec<Source>,
    pub(super) now: Instant,
}

impl TargetState {
    /// A target without leases or history.
    pub(super) fn new(target: Target) -> TargetState {
        TargetState {
            target,
            online: 0,
            batch: 0,
            health: Health::default(),
            failures: Failures::default(),
            event_interval: 0.0,
            last_overdue: None,
            last_interrupted: None,
            last_silent: None,
            meter: Meter::default(),
            cache: PromptCache::new(u64::MAX, 0),
            slowness: Slowness::default(),
            reading_until: None,
        }
    }

    /// Number of leases for `purpose`.
    pub(super) fn count(&mut self, purpose: Purpose) -> &mut u32 {
        match purpose {
            Purpose::Online => &mut self.online,
            Purpose::Batch => &mut self.batch,
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.online + self.batch
    }

    pub(super) fn is_full(&self) -> bool {
        self.used() >= self.target.slots
    }

    /// Whether the target serves the request's service and data centre by software that may be
    /// used, and isn't leaving.
    pub(super) fn serves(&self, request: &Request) -> bool {
        let Target { service, data_centre, leaving, software, .. } = &self.target;
        *service == request.service
            && *data_centre == request.data_centre
            && !leaving
            && request.allows_software(software.as_deref())
    }

    /// Rank for a request; `None` if the target can't be used.
    pub(super) fn rank(&self, request: &Request, ranking: &Ranking<'_>) -> Option<Rank> {
        let Ranking { policy, median, pace, is_common_silence, ref sources, now } = *ranking;
        if !self.serves(request) || request.excluded.contains(&self.target.id) {
            return None;
        }
        let is_online = request.purpose == Purpose::Online;
        let can_preempt = is_online && self.online < self.target.slots && self.batch > 0;
        if self.is_full() && !can_preempt {
            return None;
        }
        let is_failing = policy.failing_last && self.failures.ratio(now) >= MAX_FAILURE_RATIO;
        if is_failing && !is_online {
            return None;
        }
        let probation_rank = match self.health.availability(now) {
            Availability::Full => 0,
            _ if is_online && is_common_silence && self.health.is_first_silence() => 2,
            Availability::Probation if self.used() == 0 => 1,
            Availability::Probation | Availability::Ejected => return None,
        };
        let is_overdue =
            policy.overdue_last && self.last_overdue.is_some_and(|at| now < at + OVERDUE_PENALTY);
        let doubts = 4 * u32::from(is_overdue || is_failing) + 8 * probation_rank;
        let source = self.source(sources);
        let expected = pace.map(|pace| self.expect(&request.workload, pace, source, now));
        let (class, cost) = match expected {
            Some(expected) => self.rank_by_delay(&expected, request, policy),
            None => (self.rank_by_speed(median, policy), 0),
        };
        // Load in thousandths, since ranks are integers.
        let load = u64::from(self.used()) * 1_000 / u64::from(self.target.slots.max(1));
        Some(Rank { class: class + doubts, cost, load, is_full: self.is_full() })
    }

    /// Where this target may copy a prompt from.
    pub(super) fn source<'a>(&self, sources: &'a [Source]) -> Option<&'a Source> {
        sources.iter().find(|source| source.software == self.target.software)
    }

    /// Class and cost by the delays that are expected.
    fn rank_by_delay(
        &self,
        expected: &Expectation,
        request: &Request,
        policy: &Policy,
    ) -> (u32, u32) {
        let class = u32::from(expected.pauses_too_long(&request.workload));
        (class, self.cost(expected, request, policy))
    }

    /// Class where nothing is known of the request: free targets before full ones, and slow ones
    /// after others.
    fn rank_by_speed(&self, median: f64, policy: &Policy) -> u32 {
        let is_slow = median > 0.0 && self.event_interval > median * policy.slow_factor;
        2 * u32::from(self.is_full()) + u32::from(is_slow)
    }

    /// Records that a request which was granted at `granted` was given up in a silence. All
    /// requests in flight then eject the target once, as those that a reset interrupts.
    fn on_silent(&mut self, granted: Instant, now: Instant) {
        self.last_overdue = Some(now);
        self.failures.record(true, now);
        if self.last_silent.is_some_and(|at| granted < at) {
            return;
        }
        self.last_silent = Some(now);
        self.health.on_silent(now);
    }

    /// A request is overdue for its first event.
    pub(super) fn on_overdue(&mut self, now: Instant) {
        self.last_overdue = Some(now);
    }

    /// Whether health allows any request, be it one at a time.
    pub(super) fn is_available(&self, now: Instant) -> bool {
        self.health.availability(now) != Availability::Ejected
    }

    /// Whether the target is used less, or not at all, only because it fell silent.
    pub(super) fn is_first_silence(&self) -> bool {
        self.health.is_first_silence()
    }

    /// Records the end of a lease that was granted at `granted`; `smoothing` is the weight of the
    /// newest event interval.
    pub(super) fn on_report(
        &mut self,
        report: LeaseReport,
        granted: Instant,
        smoothing: f64,
        now: Instant,
    ) {
        if report.outcome == LeaseOutcome::Interrupted {
            // A reset of connections interrupts all requests in flight: that is one failure, so
            // only leases granted after it count again. Unresponsive targets are exempt: each
            // lease counts.
            if self.last_interrupted.is_some_and(|at| granted < at) {
                return;
            }
            self.last_interrupted = Some(now);
        }
        match report.outcome {
            LeaseOutcome::Unused => {}
            LeaseOutcome::Completed => {
                self.health.on_success();
                self.last_overdue = None;
                self.failures.record(false, now);
            }
            // The request may be the cause, so this doesn't eject the target.
            LeaseOutcome::Failed => self.failures.record(true, now),
            LeaseOutcome::Rejected => self.last_overdue = Some(now),
            LeaseOutcome::Interrupted => {
                self.health.on_failure(now);
                self.failures.record(true, now);
            }
            LeaseOutcome::Unresponsive if report.silence.is_some() => {
                self.on_silent(granted, now);
            }
            // Guards against targets that are gone: they fail each request at once and would
            // attract all load (840 runs of items in 7 s at 12 such targets).
            LeaseOutcome::Unresponsive | LeaseOutcome::Misdirected => {
                self.health.on_unresponsive(now);
                self.last_overdue = Some(now);
                self.failures.record(true, now);
            }
        }
        if let Some(event_interval) = report.event_interval {
            let event_interval = event_interval.as_secs_f64();
            self.event_interval = if self.event_interval == 0.0 {
                event_interval
            } else {
                self.event_interval + (event_interval - self.event_interval) * smoothing
            };
        }
    }
}
