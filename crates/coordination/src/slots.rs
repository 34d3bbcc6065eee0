//! One account of a data centre's slots, so that online never waits behind batch.
//!
//! Engines admit requests in the order in which they arrive and know no
//! priorities, so whatever waits in an engine can't be helped any more. One
//! instance of each data centre therefore keeps the account of its targets'
//! slots: who wants to send asks for a lease on a slot first and gives it back
//! afterwards. Online requests take a free slot, else one that batch holds (its
//! lease is revoked and the item goes on elsewhere or later), else they wait
//! here: who can still be in time goes before who can't, and who can't be served
//! before its caller leaves is refused at once. A request may wait in several
//! accounts; the first grant counts and its other places are given up.
//!
//! The account is soft state. It is rebuilt from what the holders report when
//! another instance takes it over, and a wrong account costs a detour or a wait,
//! never a promise.
//!
//! It does no I/O: whoever runs it carries its verdicts to the holders.

mod batch;
mod holders;
mod lease;
mod target_state;

pub use lease::{
    Decision, Feasibility, Grant, HeldLease, LeaseId, LeaseOutcome, LeaseReport, Policy, Purpose,
    Request, Revocation, WaiterId,
};

use crate::run_time::Estimate;
use crate::{InstanceId, TargetId};
use lease::Priority;
use protocol::routing::Target;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};
use target_state::{Rank, TargetState};

#[derive(Clone, Debug)]
struct Lease {
    target: TargetId,
    holder: InstanceId,
    purpose: Purpose,
    granted: Instant,
    due: Instant,
    /// When its work is expected to be done.
    ends: Instant,
    /// Whether it was granted too late for its work to be in time.
    is_late: bool,
    is_revoked: bool,
}

#[derive(Clone, Debug)]
struct Waiter {
    ask: Request,
    since: Instant,
}

/// Hold time of an online lease that is assumed until one was measured.
const FIRST_GUESS: Duration = Duration::from_millis(500);
/// Shortest and longest time after which a refused caller is asked to come back.
const COME_BACK: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1_500)];

/// The account.
#[derive(Clone, Debug)]
pub struct Allocator {
    policy: Policy,
    since: Instant,
    targets: BTreeMap<TargetId, TargetState>,
    leases: HashMap<LeaseId, Lease>,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// When each holder last said something.
    heard: HashMap<InstanceId, Instant>,
    next: u64,
    /// Running mean of the time for which online leases are held, in seconds.
    hold: f64,
    /// How long items of batch run.
    span: Estimate,
}

impl Allocator {
    /// An empty account; `seed` makes its lease ids differ from those of others.
    pub fn new(policy: Policy, seed: u64, now: Instant) -> Allocator {
        Allocator {
            policy,
            since: now,
            targets: BTreeMap::new(),
            leases: HashMap::new(),
            waiters: BTreeMap::new(),
            heard: HashMap::new(),
            next: seed,
            hold: FIRST_GUESS.as_secs_f64(),
            span: Estimate::default(),
        }
    }

    /// Sets the targets of the account; those that are gone, or have started again under
    /// their id, lose their leases, and with them all that was known of their health.
    pub fn set_targets<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>) {
        let mut old = std::mem::take(&mut self.targets);
        for target in targets {
            let known =
                old.remove(&target.id).filter(|row| row.target.started_at == target.started_at);
            let is_kept = known.is_some();
            let mut row = known.unwrap_or_else(|| TargetState::new(target.clone()));
            if !is_kept {
                self.leases.retain(|_, lease| lease.target != target.id);
            }
            row.target.clone_from(target);
            self.targets.insert(target.id.clone(), row);
        }
        let rows = &self.targets;
        self.leases.retain(|_, lease| rows.contains_key(&lease.target));
    }

    /// Starts the time anew in which nothing goes to batch: targets were added
    /// whose leases are not known yet.
    pub fn start_settling(&mut self, now: Instant) {
        self.since = now;
    }

    /// Whether the account has a target that may be used for a wish.
    pub fn has_service(&self, ask: &Request) -> bool {
        self.targets.values().any(|row| row.serves(ask))
    }

    /// Leases that are out, for metrics: online and batch.
    pub fn in_use(&self) -> [u32; 2] {
        let sum = |of: fn(&TargetState) -> u32| self.targets.values().map(of).sum();
        [sum(|row| row.online), sum(|row| row.batch)]
    }

    /// How long items of batch run on these targets.
    pub fn run_time(&self) -> Estimate {
        self.span
    }

    /// Answers a wish.
    pub fn on_request(&mut self, ask: Request, now: Instant) -> Decision {
        if !self.has_service(&ask) {
            return Decision::NoTarget;
        }
        self.on_heard(ask.holder, now);
        if !self.is_behind_others(&ask, now)
            && let Some((grant, revocation)) = self.grant(&ask, now)
        {
            return Decision::Granted(grant, revocation);
        }
        self.drop_silent(now);
        let turn = ask.priority(&self.policy, now);
        let before = |waiter: &&Waiter| {
            waiter.ask.is_like(&ask) && waiter.ask.priority(&self.policy, now) < turn
        };
        let ahead = self.waiters.values().filter(before).count();
        let wait = self.expected_wait(&ask, ahead, now);
        let is_hopeless = ask.purpose == Purpose::Online && now + wait > ask.expires;
        if !ask.may_wait || is_hopeless {
            return Decision::Full(wait.clamp(COME_BACK[0], COME_BACK[1]));
        }
        self.next += 1;
        let id = self.next;
        self.waiters.insert(id, Waiter { ask, since: now });
        Decision::Queued(id)
    }

    /// Whether somebody waits who goes before this wish.
    fn is_behind_others(&self, ask: &Request, now: Instant) -> bool {
        let turn = ask.priority(&self.policy, now);
        self.waiters
            .values()
            .any(|waiter| waiter.ask.is_like(ask) && waiter.ask.priority(&self.policy, now) < turn)
    }

    /// How long a wish with `ahead` others before it is expected to wait: slots
    /// come free one after the other as online requests end, in all the accounts
    /// in which they wait. The others are taken to have lost as large a share of
    /// their targets as this one.
    fn expected_wait(&self, ask: &Request, ahead: usize, now: Instant) -> Duration {
        let fits = |row: &&TargetState| row.serves(ask);
        let own: u32 = self.targets.values().filter(fits).map(|row| row.target.slots).sum();
        let in_use = self.targets.values().filter(fits).filter(|row| row.is_in_use(now));
        let in_use: u32 = in_use.map(|row| row.target.slots).sum();
        let share = f64::from(in_use) / f64::from(own.max(1));
        let slots = (f64::from(own.max(ask.total_slots)) * share).max(1.0);
        Duration::from_secs_f64(self.hold * (ahead + 1) as f64 / slots)
    }

    fn grant(&mut self, ask: &Request, now: Instant) -> Option<(Grant, Option<Revocation>)> {
        let is_settling = now < self.since + self.policy.settling_period;
        if ask.purpose == Purpose::Batch && (is_settling || !self.has_headroom(ask)) {
            return None;
        }
        let (mut target, rank) = self.choose(ask, now)?;
        let mut stopped = None;
        if self.targets.get(&target)?.is_full() {
            let alike = self.alike(ask, rank, now);
            stopped = self.least_loss(|id| alike.contains(id));
            target = self.leases.get(&stopped?)?.target.clone();
        }
        let address = self.targets.get(&target)?.target.address;
        let revocation = stopped.and_then(|lease| self.revoke(lease));
        self.next += 1;
        let lease = self.next;
        self.add(lease, ask, target.clone(), now);
        Some((Grant { lease, target, address }, revocation))
    }

    /// The target for a wish, and its rank: one with a free slot, the least loaded
    /// first; for online, else one where batch can be stopped.
    fn choose(&self, ask: &Request, now: Instant) -> Option<(TargetId, Rank)> {
        let median = self.median_pace();
        let mut best: Option<(Rank, &TargetId)> = None;
        for (id, row) in &self.targets {
            let Some(rank) = row.rank(ask, median, &self.policy, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|(known, _)| rank < *known) {
                best = Some((rank, id));
            }
        }
        best.map(|(rank, id)| (id.clone(), rank))
    }

    fn median_pace(&self) -> f64 {
        let known = self.targets.values().map(|row| row.pace).filter(|pace| *pace > 0.0);
        let mut known: Vec<f64> = known.collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied().unwrap_or(0.0)
    }

    fn add(&mut self, id: LeaseId, ask: &Request, target: TargetId, now: Instant) {
        if let Some(row) = self.targets.get_mut(&target) {
            *row.count(ask.purpose) += 1;
        }
        let lease = Lease {
            target,
            holder: ask.holder,
            purpose: ask.purpose,
            granted: now,
            due: ask.due,
            ends: now + ask.remaining,
            is_late: self.policy.late_last && now > ask.latest_start,
            is_revoked: false,
        };
        self.leases.insert(id, lease);
    }

    /// A lease was given back.
    pub fn on_release(&mut self, id: LeaseId, report: LeaseReport, now: Instant) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        self.on_heard(lease.holder, now);
        let fresh = self.policy.smoothing;
        if lease.purpose == Purpose::Online && report.outcome == LeaseOutcome::Completed {
            let held = now.saturating_duration_since(lease.granted).as_secs_f64();
            self.hold += (held - self.hold) * fresh;
        }
        if let Some(done) = report.completed {
            self.span.record(done);
        }
        let Some(row) = self.targets.get_mut(&lease.target) else {
            return;
        };
        if !lease.is_revoked {
            let count = row.count(lease.purpose);
            *count = count.saturating_sub(1);
        }
        row.on_report(report, lease.granted, fresh, now);
    }

    /// Somebody waits in vain for a first event at the target.
    pub fn on_overdue(&mut self, target: &str, now: Instant) {
        if let Some(row) = self.targets.get_mut(target) {
            row.on_overdue(now);
        }
    }

    /// Slots for those that wait, as far as there are any.
    pub fn next_grants(&mut self, now: Instant) -> Vec<(WaiterId, Grant, Option<Revocation>)> {
        let mut grants = Vec::new();
        // Wishes that found nothing: nobody behind goes before.
        let mut full: Vec<Request> = Vec::new();
        let mut passed_over: HashSet<WaiterId> = HashSet::new();
        while let Some(id) = self.first_in_turn(&full, &passed_over, now) {
            let Some(ask) = self.waiters.get(&id).map(|waiter| waiter.ask.clone()) else {
                break;
            };
            match self.grant(&ask, now) {
                Some((grant, revocation)) => {
                    self.waiters.remove(&id);
                    grants.push((id, grant, revocation));
                }
                None if ask.excluded.is_empty() => full.push(ask),
                None => {
                    passed_over.insert(id);
                }
            }
        }
        grants
    }

    /// Who goes first of those that wait and that no wish in `full` keeps back.
    ///
    /// Gains processor time where it is scarcest: this runs whenever a slot comes free,
    /// mostly for one, with hundreds that wait. To sort and copy them all took 47 us, to
    /// look for the first takes 7 (250 wishes of batch that wait at 217 slots that online
    /// has taken; mean of 2,000 calls), on instances that have an eighth of a core.
    fn first_in_turn(
        &self,
        full: &[Request],
        passed_over: &HashSet<WaiterId>,
        now: Instant,
    ) -> Option<WaiterId> {
        let is_kept_back = |ask: &Request| full.iter().any(|first| first.keeps_back(ask));
        let open = self
            .waiters
            .iter()
            .filter(|(id, waiter)| !is_kept_back(&waiter.ask) && !passed_over.contains(id));
        open.min_by_key(|(id, waiter)| (waiter.ask.priority(&self.policy, now), **id))
            .map(|(id, _)| *id)
    }

    /// Online requests that wait, the first one first.
    fn in_turn(&self, now: Instant) -> Vec<WaiterId> {
        let is_online = |waiter: &Waiter| waiter.ask.purpose == Purpose::Online;
        let mut order: Vec<(Priority, WaiterId)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| is_online(waiter))
            .map(|(id, waiter)| (waiter.ask.priority(&self.policy, now), *id))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Those that wait and won't be served before their callers leave, with the
    /// time after which to come back: each when its own turn is expected, so that
    /// they don't all come at one moment.
    pub fn take_unserviceable(&mut self, now: Instant) -> Vec<(WaiterId, Duration)> {
        self.drop_silent(now);
        let mut refused = Vec::new();
        let mut ahead: HashMap<(&str, &str), usize> = HashMap::new();
        for id in self.in_turn(now) {
            let Some(ask) = self.waiters.get(&id).map(|waiter| &waiter.ask) else {
                continue;
            };
            let ahead = ahead.entry((&ask.service, &ask.data_centre)).or_default();
            let wait = self.expected_wait(ask, *ahead, now);
            if now + wait > ask.expires {
                refused.push((id, wait.clamp(COME_BACK[0], COME_BACK[1])));
            } else {
                *ahead += 1;
            }
        }
        for (id, _) in &refused {
            self.waiters.remove(id);
        }
        refused
    }

    /// Who waited has gone.
    pub fn on_waiter_gone(&mut self, id: WaiterId) {
        self.waiters.remove(&id);
    }

    /// Since when a waiter waits.
    pub fn waits_since(&self, id: WaiterId) -> Option<Instant> {
        self.waiters.get(&id).map(|waiter| waiter.since)
    }
}

/// Time between looks at those that wait.
pub const WAITER_CHECK_INTERVAL: Duration = Duration::from_millis(25);
