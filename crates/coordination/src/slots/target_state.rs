//! One target in the account: what is out there, and how it has done lately.

use super::lease::{LeaseOutcome, LeaseReport, Policy, Purpose, Request};
use crate::ejection::{Availability, Health};
use protocol::routing::Target;
use std::time::{Duration, Instant};

/// How long a doubt about a target keeps requests away from it.
const OVERDUE_PENALTY: Duration = Duration::from_millis(1_000);
/// Weight of the newest outcome in the share of failures: of a target's last six
/// or seven requests, two failures reach [`FAILING`] and one doesn't.
const NEWEST: f64 = 0.15;
/// Share of failures from which a target is used last, and not for batch. Ten
/// times the two or three in a hundred that sound targets were measured to lose.
const FAILING: f64 = 0.25;
/// Time in which what is known of failures loses half of its weight, so that a
/// target that is no longer used gets another chance.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Share of a target's latest requests that failed.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    share: f64,
    at: Option<Instant>,
}

impl Failures {
    fn share(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.share * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn record(&mut self, has_failed: bool, now: Instant) {
        let share = self.share(now);
        let outcome = f64::from(u8::from(has_failed));
        *self = Failures { share: share + (outcome - share) * NEWEST, at: Some(now) };
    }
}

/// A target with its leases.
#[derive(Clone, Debug)]
pub(super) struct TargetState {
    pub(super) target: Target,
    /// Leases of online requests.
    pub(super) online: u32,
    /// Leases of batch that nobody has asked back.
    pub(super) batch: u32,
    health: Health,
    failures: Failures,
    /// Running mean of the time between events, in seconds; 0 while unknown.
    pub(super) pace: f64,
    /// When somebody last waited in vain for a first event there.
    doubted: Option<Instant>,
    /// When a request last broke off there.
    broke: Option<Instant>,
}

/// How good a target is for a wish; the lowest is the best.
pub(super) type Rank = (u32, u64);

impl TargetState {
    /// A target that nothing is known of.
    pub(super) fn new(target: Target) -> TargetState {
        TargetState {
            target,
            online: 0,
            batch: 0,
            health: Health::default(),
            failures: Failures::default(),
            pace: 0.0,
            doubted: None,
            broke: None,
        }
    }

    /// Leases of one purpose.
    pub(super) fn count(&mut self, purpose: Purpose) -> &mut u32 {
        match purpose {
            Purpose::Online => &mut self.online,
            Purpose::Batch => &mut self.batch,
        }
    }

    /// Slots that are taken.
    pub(super) fn used(&self) -> u32 {
        self.online + self.batch
    }

    /// Whether all slots are taken.
    pub(super) fn is_full(&self) -> bool {
        self.used() >= self.target.slots
    }

    /// Whether new requests of a wish's service and data centre may go there.
    pub(super) fn serves(&self, ask: &Request) -> bool {
        let Target { service, data_centre, leaving, .. } = &self.target;
        *service == ask.service && *data_centre == ask.data_centre && !leaving
    }

    /// How good it is for a wish; `None` if it can't be used. `median` is the
    /// usual pace of the account's targets, in seconds.
    pub(super) fn rank(
        &self,
        ask: &Request,
        median: f64,
        policy: &Policy,
        now: Instant,
    ) -> Option<Rank> {
        if !self.serves(ask) || ask.excluded.contains(&self.target.id) {
            return None;
        }
        let is_online = ask.purpose == Purpose::Online;
        let can_stop_batch = is_online && self.online < self.target.slots && self.batch > 0;
        if self.is_full() && !can_stop_batch {
            return None;
        }
        let is_failing = policy.failing_last && self.failures.share(now) >= FAILING;
        if is_failing && !is_online {
            return None;
        }
        let trust = match self.health.availability(now) {
            Availability::Full => 0,
            Availability::Probation if self.used() == 0 => 1,
            Availability::Probation | Availability::Ejected => return None,
        };
        let is_doubted =
            policy.overdue_last && self.doubted.is_some_and(|at| now < at + OVERDUE_PENALTY);
        let is_slow = median > 0.0 && self.pace > median * policy.slow_factor;
        let class = 4 * u32::from(is_doubted || is_failing)
            + 2 * u32::from(self.is_full())
            + u32::from(is_slow);
        // Thousandths, so that whole numbers order the ranks.
        let load = u64::from(self.used()) * 1_000 / u64::from(self.target.slots.max(1));
        Some((class + 8 * trust, load))
    }

    /// Somebody waits in vain for a first event.
    pub(super) fn on_overdue(&mut self, now: Instant) {
        self.doubted = Some(now);
    }

    /// Whether health lets it take requests, be it one at a time.
    pub(super) fn is_in_use(&self, now: Instant) -> bool {
        self.health.availability(now) != Availability::Ejected
    }

    /// A lease that was granted at `granted` was given back; `fresh` is the weight
    /// of a new measurement.
    pub(super) fn on_report(
        &mut self,
        report: LeaseReport,
        granted: Instant,
        fresh: f64,
        now: Instant,
    ) {
        if report.outcome == LeaseOutcome::Interrupted {
            // Requests that were under way together break off together when
            // connections are reset: that is one event, whatever their number.
            // Only one that began after it tells more. Silence is another matter:
            // a target that says nothing to eight is left alone for long.
            if self.broke.is_some_and(|at| granted < at) {
                return;
            }
            self.broke = Some(now);
        }
        match report.outcome {
            LeaseOutcome::Unused => {}
            LeaseOutcome::Completed => {
                self.health.on_success();
                self.doubted = None;
                self.failures.record(false, now);
            }
            // The request may be the reason: many in a row don't eject a target.
            LeaseOutcome::Failed => self.failures.record(true, now),
            LeaseOutcome::Rejected => self.doubted = Some(now),
            LeaseOutcome::Interrupted => {
                self.health.on_failure(now);
                self.failures.record(true, now);
            }
            // Guards against slots of targets that are gone and turn each request away at
            // once: 840 runs of items in 7 s, at 12 targets, on a day of late entries.
            LeaseOutcome::Unresponsive | LeaseOutcome::Misdirected => {
                self.health.on_unresponsive(now);
                self.doubted = Some(now);
                self.failures.record(true, now);
            }
        }
        if let Some(pace) = report.event_interval {
            let pace = pace.as_secs_f64();
            self.pace =
                if self.pace == 0.0 { pace } else { self.pace + (pace - self.pace) * fresh };
        }
    }
}
