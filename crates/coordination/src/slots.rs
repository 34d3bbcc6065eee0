//! Allocates the slots of a data centre's targets, so that online requests never wait behind
//! batch.
//!
//! Engines serve requests in arrival order and have no priorities, so a request that is queued in
//! an engine can't be reordered any more. Therefore one instance of each data centre leases out
//! the slots of its targets: a sender acquires a lease on a slot first and releases it afterwards.
//! An online request takes a free slot, or preempts a batch item (its lease is revoked and the
//! item runs elsewhere or later), or is queued here. Among queued requests, those that can still
//! meet their deadline precede those that can't; a request whose caller would leave before it is
//! served is rejected at once. A request may be queued by several allocators: it uses the first
//! grant and cancels the others.
//!
//! The allocator's state is soft: an instance that takes over rebuilds it from the holders'
//! reports. A wrong count of slots costs a detour or a wait. The rate of requests to targets that may
//! be cold must hold whatever an allocator knows; [`rate`] says how.
//!
//! There is no I/O here: the embedder delivers decisions to holders.

mod batch;
mod batch_order;
mod holders;
mod knowledge;
mod learning;
mod lease;
mod limited;
mod placement;
mod prompt_cache;
pub mod rate;
mod shares;
mod speed;
pub mod summary;
mod target_state;
mod waiters;

pub use batch_order::{BatchPriority, BatchWork};
pub use knowledge::{Knowledge, SentPrompts};
pub use learning::TargetMemory;
pub use placement::Forecast;
pub use shares::WorkspaceShare;
pub use waiters::WAITER_CHECK_INTERVAL;

pub use lease::{
    Decision, Feasibility, Grant, HeldLease, LeaseId, LeaseOutcome, LeaseReport, Policy, Purpose,
    Request, Revocation, WaiterId, Workload, WorkspaceWeight,
};

use crate::prompt::Prompt;
use crate::run_time::Estimate;
use crate::{InstanceId, TargetId};
use placement::Expectation;
use protocol::{DataCentreId, ServiceId, WorkspaceId};
use rate::{Meter, RateLimit};
use shares::{GrantedWork, Shares};
use speed::Pace;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use target_state::{Rank, Ranking, TargetState};
use waiters::Waiter;

#[derive(Clone, Debug)]
struct Lease {
    target: TargetId,
    holder: InstanceId,
    purpose: Purpose,
    granted: Instant,
    due: Instant,
    /// When its work is expected to complete.
    ends: Instant,
    /// Whether it was granted too late for its work to meet the deadline.
    is_late: bool,
    is_revoked: bool,
    /// What was expected of the work; `None` if it was reported by its holder, or isn't placed by
    /// delay.
    placed: Option<Placed>,
    /// Workspace of the work, for [`summary`]; `None` if unknown.
    workspace: Option<WorkspaceId>,
    /// Work granted with it; `None` if it was reported by its holder.
    work: Option<GrantedWork>,
}

/// What a request was expected to take where it was placed.
#[derive(Clone, Debug)]
struct Placed {
    expected: Expectation,
    /// Number of requests on the target, including this one.
    running: u32,
    prompt: Prompt,
}

/// Mean hold time of online leases before the first sample.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(500);
/// Bounds of the delay after which a rejected caller should retry.
const RETRY_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1_500)];

/// Share of the targets of a service beyond which a silence counts as a pause of all of them.
const MAX_SILENT_SHARE: f64 = 0.5;

/// Leases of a data centre's slots, and the queue for them.
#[derive(Clone, Debug)]
pub struct Allocator {
    policy: Policy,
    settling_since: Instant,
    targets: BTreeMap<TargetId, TargetState>,
    leases: HashMap<LeaseId, Lease>,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// When each holder last sent a request or a report.
    last_heard: HashMap<InstanceId, Instant>,
    next_id: u64,
    /// Running mean of the hold time of online leases, in seconds.
    mean_hold_s: f64,
    /// Run time of batch items.
    run_time: Estimate,
    /// Limits of the services whose targets may be cold.
    rate_limits: HashMap<ServiceId, RateLimit>,
    /// Recent grants of targets that were removed and may come back.
    removed_meters: HashMap<TargetId, Meter>,
    /// Parts of the rate limits that this allocator may use, below 1 in a network partition.
    shares: HashMap<DataCentreId, f64>,
    /// Learned speed of each service.
    paces: HashMap<ServiceId, Pace>,
    /// The memory of the targets of each service.
    memories: HashMap<ServiceId, TargetMemory>,
    /// Work granted to each workspace.
    shares_of_work: Shares,
}

impl Allocator {
    /// An allocator without targets; `seed` keeps its lease ids apart from those of other
    /// allocators.
    pub fn new(policy: Policy, seed: u64, now: Instant) -> Allocator {
        Allocator {
            policy,
            settling_since: now,
            targets: BTreeMap::new(),
            leases: HashMap::new(),
            waiters: BTreeMap::new(),
            last_heard: HashMap::new(),
            next_id: seed,
            mean_hold_s: INITIAL_HOLD_TIME.as_secs_f64(),
            run_time: Estimate::default(),
            rate_limits: HashMap::new(),
            removed_meters: HashMap::new(),
            shares: HashMap::new(),
            paces: HashMap::new(),
            memories: HashMap::new(),
            shares_of_work: Shares::default(),
        }
    }

    /// Restarts the period without batch grants, because targets were added whose leases aren't
    /// known yet.
    pub fn start_settling(&mut self, now: Instant) {
        self.settling_since = now;
    }

    /// Whether any target may serve the request.
    pub fn has_service(&self, request: &Request) -> bool {
        self.targets.values().any(|state| state.serves(request))
    }

    /// Numbers of active leases, for metrics: online, batch.
    pub fn in_use(&self) -> [u32; 2] {
        let sum = |of: fn(&TargetState) -> u32| self.targets.values().map(of).sum();
        [sum(|state| state.online), sum(|state| state.batch)]
    }

    /// Run time of batch items on these targets.
    pub fn run_time(&self) -> Estimate {
        self.run_time
    }

    /// Grants a slot, queues the request or rejects it.
    pub fn on_request(&mut self, request: Request, now: Instant) -> Decision {
        if !self.has_service(&request) {
            return Decision::NoTarget;
        }
        self.record_contact(request.holder, now);
        if !self.has_higher_priority_waiter(&request, now)
            && let Some((grant, revocation)) = self.grant(&request, now)
        {
            return Decision::Granted(grant, revocation);
        }
        self.drop_unresponsive(now);
        let priority = request.priority(&self.policy, &self.shares_of_work, now);
        let precedes = |waiter: &&Waiter| {
            waiter.request.competes_with(&request)
                && waiter.request.priority(&self.policy, &self.shares_of_work, now) < priority
        };
        let ahead = self.waiters.values().filter(precedes).count();
        let wait = self.expected_wait(&request, ahead, now);
        let is_unserviceable = request.purpose == Purpose::Online && now + wait > request.expires;
        if !request.may_wait || is_unserviceable {
            return Decision::Full(wait.clamp(RETRY_AFTER[0], RETRY_AFTER[1]));
        }
        self.next_id += 1;
        let id = self.next_id;
        self.waiters.insert(id, Waiter { request, queued_at: now });
        Decision::Queued(id)
    }

    /// Whether a queued request precedes this one.
    fn has_higher_priority_waiter(&self, request: &Request, now: Instant) -> bool {
        let priority = request.priority(&self.policy, &self.shares_of_work, now);
        self.waiters.values().any(|waiter| {
            waiter.request.competes_with(request)
                && waiter.request.priority(&self.policy, &self.shares_of_work, now) < priority
        })
    }

    /// Expected wait of a request with `ahead` others before it.
    ///
    /// Slots come free one by one as online requests end, at all allocators where the request is
    /// queued. The other allocators are assumed to have lost the same ratio of their targets as
    /// this one.
    fn expected_wait(&self, request: &Request, ahead: usize, now: Instant) -> Duration {
        let is_match = |state: &&TargetState| state.serves(request);
        let local_slots: u32 =
            self.targets.values().filter(is_match).map(|state| state.target.slots).sum();
        let is_common_silence = self.is_common_silence(request, now);
        let is_available = |state: &&TargetState| {
            state.is_available(now) || is_common_silence && state.is_first_silence(now)
        };
        let available = self.targets.values().filter(is_match).filter(is_available);
        let available: u32 = available.map(|state| state.target.slots).sum();
        let available_ratio = f64::from(available) / f64::from(local_slots.max(1));
        let slots = (f64::from(local_slots.max(request.total_slots)) * available_ratio).max(1.0);
        Duration::from_secs_f64(self.mean_hold_s * (ahead + 1) as f64 / slots)
    }

    fn grant(&mut self, request: &Request, now: Instant) -> Option<(Grant, Option<Revocation>)> {
        let is_settling = now < self.settling_since + self.policy.settling_period;
        if request.purpose == Purpose::Batch && (is_settling || !self.has_headroom(request)) {
            return None;
        }
        let (mut target, rank) = self.choose(request, now)?;
        let mut preempted = None;
        if rank.is_full {
            let equivalent = self.equivalent(request, rank, now);
            preempted = self.cheapest_to_preempt(|id| equivalent.contains(id), now);
            target = self.leases.get(&preempted?)?.target.clone();
        }
        let revocation = preempted.and_then(|lease| self.revoke(lease));
        let pace = self.pace_for(request);
        let sources = pace.map(|pace| self.sources(request, pace, now)).unwrap_or_default();
        let state = self.targets.get(&target)?;
        let (address, software) = (state.target.address, state.target.software.clone());
        let source = state.source(&sources).cloned();
        let placed = self.place(request, &target, source.as_ref(), now);
        let forecast = self.forecast(request, placed.as_ref());
        let is_copied = placed.as_ref().is_some_and(|placed| placed.expected.copied_tokens > 0);
        let copy_from = source.filter(|_| is_copied).map(|source| source.address);
        self.next_id += 1;
        let lease = self.next_id;
        self.add(lease, request, target.clone(), placed, now);
        let work = self.record_work(request, now);
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.work = Some(work);
        }
        if self.is_rate_limited(&request.service)
            && let Some(state) = self.targets.get_mut(&target)
        {
            state.meter.on_grant(now);
        }
        let grant = Grant { lease, target, address, software, queued_ms: 0, forecast, copy_from };
        Some((grant, revocation))
    }

    /// The best target for a request and its rank: the least loaded with a free slot; for online
    /// requests also one where batch can be preempted.
    fn choose(&self, request: &Request, now: Instant) -> Option<(TargetId, Rank)> {
        let ranking = self.ranking(request, now);
        let mut candidates: Vec<(Rank, &TargetId)> = Vec::with_capacity(self.targets.len());
        for (id, state) in &self.targets {
            if let Some(rank) = state.rank(request, &ranking)
                && self.is_rate_allowed(state, now)
            {
                candidates.push((rank, id));
            }
        }
        let best = candidates.iter().map(|(rank, _)| *rank).min()?;
        let chosen = candidates.into_iter().min_by_key(|(rank, _)| rank.relative_to(best));
        chosen.map(|(rank, id)| (id.clone(), rank))
    }

    fn ranking(&self, request: &Request, now: Instant) -> Ranking<'_> {
        let pace = self.pace_for(request);
        let median = if pace.is_some() { 0.0 } else { self.median_event_interval() };
        let sources = pace.map(|pace| self.sources(request, pace, now)).unwrap_or_default();
        let is_common_silence = self.is_common_silence(request, now);
        Ranking { policy: &self.policy, median, pace, is_common_silence, sources, now }
    }

    /// Whether several targets that serve the request, and more than [`MAX_SILENT_SHARE`] of them,
    /// fell silent lately.
    fn is_common_silence(&self, request: &Request, now: Instant) -> bool {
        let serving = self.targets.values().filter(|state| state.serves(request));
        let (silent, all) = serving.fold((0, 0), |(silent, all), state| {
            (silent + u32::from(state.is_first_silence(now)), all + 1)
        });
        silent > 1 && f64::from(silent) > f64::from(all) * MAX_SILENT_SHARE
    }

    fn median_event_interval(&self) -> f64 {
        let known = self
            .targets
            .values()
            .map(|state| state.event_interval)
            .filter(|event_interval| *event_interval > 0.0);
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied().unwrap_or(0.0)
    }

    fn add(
        &mut self,
        id: LeaseId,
        request: &Request,
        target: TargetId,
        placed: Option<Placed>,
        now: Instant,
    ) {
        if let Some(state) = self.targets.get_mut(&target) {
            *state.count(request.purpose) += 1;
        }
        let slowness = placed.as_ref().map_or(1.0, |placed| placed.expected.slowness);
        let lease = Lease {
            target,
            holder: request.holder,
            purpose: request.purpose,
            granted: now,
            due: request.due,
            ends: now + request.remaining.mul_f64(slowness),
            is_late: self.policy.late_last && now > request.latest_start,
            is_revoked: false,
            placed,
            workspace: request.workspace().cloned(),
            work: None,
        };
        self.leases.insert(id, lease);
    }

    /// The holder released a lease.
    pub fn on_release(&mut self, id: LeaseId, report: LeaseReport, now: Instant) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.record_contact(lease.holder, now);
        let smoothing = self.policy.smoothing;
        if lease.purpose == Purpose::Online && report.outcome == LeaseOutcome::Completed {
            let hold_s = now.saturating_duration_since(lease.granted).as_secs_f64();
            self.mean_hold_s += (hold_s - self.mean_hold_s) * smoothing;
        }
        if let Some(sample) = report.completed {
            self.run_time.record(sample);
        }
        self.learn(&lease, &report, now);
        if report.outcome.is_not_run() {
            self.take_back_work(&lease);
        }
        let Some(state) = self.targets.get_mut(&lease.target) else {
            return;
        };
        if !lease.is_revoked {
            let count = state.count(lease.purpose);
            *count = count.saturating_sub(1);
        }
        state.on_report(report, lease.granted, smoothing, now);
    }

    /// A request at the target is overdue for its first event.
    pub fn on_overdue(&mut self, target: &str, now: Instant) {
        if let Some(state) = self.targets.get_mut(target) {
            state.on_overdue(now);
        }
    }
}
