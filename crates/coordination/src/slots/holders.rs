//! Reconciles the allocator's leases with its holders' reports.

use super::lease::{HeldLease, LeaseId, Purpose, Request, Revocation, Workload};
use super::target_state::TargetState;
use super::{Allocator, Lease};
use crate::{InstanceId, TargetId};
use std::collections::HashSet;
use std::time::{Duration, Instant};

impl Allocator {
    /// Instances that hold leases.
    pub fn holders(&self) -> HashSet<InstanceId> {
        self.leases.values().map(|lease| lease.holder).collect()
    }

    /// An instance is gone: its leases are released and its queued requests are dropped.
    pub fn on_holder_lost(&mut self, holder: InstanceId) {
        let is_held = |lease: &Lease| lease.holder == holder;
        let held = self.leases.iter().filter(|(_, lease)| is_held(lease));
        let held: Vec<LeaseId> = held.map(|(id, _)| *id).collect();
        for id in held {
            self.drop_lease(id);
        }
        self.waiters.retain(|_, waiter| waiter.request.holder != holder);
        self.last_heard.remove(&holder);
    }

    pub(super) fn record_contact(&mut self, holder: InstanceId, now: Instant) {
        self.last_heard.insert(holder, now);
    }

    /// The allocator's process was suspended. That it received nothing meanwhile doesn't make the
    /// holders unresponsive, and batch gets no grants until they have reported.
    ///
    /// Guards against granting slots that are still in use: after a suspension of 2 s all holders
    /// look unresponsive at once.
    pub fn on_resume(&mut self, now: Instant) {
        self.last_heard.values_mut().for_each(|at| *at = now);
        // Another allocator may have taken over meanwhile.
        self.targets.values_mut().for_each(|state| state.meter.on_takeover(false, now));
        self.start_settling(now);
    }

    /// Drops online leases of unresponsive holders. A holder that is still alive reports its
    /// leases again.
    pub(super) fn drop_unresponsive(&mut self, now: Instant) {
        let holder_timeout = self.policy.holder_timeout;
        let has_timed_out = |at: Instant| now.saturating_duration_since(at) > holder_timeout;
        let is_unresponsive =
            |holder: &InstanceId| self.last_heard.get(holder).is_none_or(|at| has_timed_out(*at));
        let is_lost = |lease: &Lease| {
            lease.purpose == Purpose::Online
                && has_timed_out(lease.granted)
                && is_unresponsive(&lease.holder)
        };
        let lost = self.leases.iter().filter(|(_, lease)| is_lost(lease));
        let lost: Vec<LeaseId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.drop_lease(id);
        }
    }

    /// Reconciles the leases of a holder with the complete list that it reports.
    pub fn on_lease_report(&mut self, holder: InstanceId, held: &[HeldLease], now: Instant) {
        self.record_contact(holder, now);
        let reported: HashSet<LeaseId> = held.iter().map(|held| held.lease).collect();
        let is_lost = |(id, lease): &(&LeaseId, &Lease)| {
            let is_old = now.saturating_duration_since(lease.granted) > self.policy.report_grace;
            lease.holder == holder && is_old && !reported.contains(*id)
        };
        let lost: Vec<LeaseId> = self.leases.iter().filter(is_lost).map(|(id, _)| *id).collect();
        for id in lost {
            self.drop_lease(id);
        }
        for held in held {
            if self.leases.contains_key(&held.lease) || !self.targets.contains_key(&held.target) {
                continue;
            }
            let request = Request {
                holder,
                data_centre: String::new(),
                service: String::new(),
                purpose: held.purpose,
                due: now,
                remaining: Duration::ZERO,
                is_started: false,
                latest_start: now,
                safe_start: now,
                expires: now,
                total_slots: 0,
                excluded: Vec::new(),
                software: None,
                may_wait: false,
                workload: Workload::default(),
            };
            self.add(held.lease, &request, held.target.clone(), None, now);
        }
    }

    fn drop_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if lease.is_revoked {
            return;
        }
        if let Some(state) = self.targets.get_mut(&lease.target) {
            let count = state.count(lease.purpose);
            *count = count.saturating_sub(1);
        }
    }

    /// Revokes one batch lease at each target with more leases than slots, which reports can
    /// cause.
    pub fn revoke_excess(&mut self, now: Instant) -> Vec<Revocation> {
        let is_overcommitted = |state: &&TargetState| {
            state.batch > 0 && state.online + state.batch > state.target.slots
        };
        let overcommitted: Vec<TargetId> = self
            .targets
            .values()
            .filter(is_overcommitted)
            .map(|state| state.target.id.clone())
            .collect();
        let preempted: Vec<LeaseId> = overcommitted
            .iter()
            .filter_map(|target| self.cheapest_to_preempt(|id| id == target, now))
            .collect();
        preempted.into_iter().filter_map(|lease| self.revoke(lease)).collect()
    }
}
