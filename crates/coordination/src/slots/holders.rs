//! Makes an account agree with what its holders say, whatever was lost between.

use super::lease::{HeldLease, LeaseId, Purpose, Request, Revocation};
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

    /// An instance is gone; what it held is free.
    pub fn on_holder_lost(&mut self, holder: InstanceId) {
        let of_holder = |lease: &Lease| lease.holder == holder;
        let held = self.leases.iter().filter(|(_, lease)| of_holder(lease));
        let held: Vec<LeaseId> = held.map(|(id, _)| *id).collect();
        for id in held {
            self.drop_lease(id);
        }
        self.waiters.retain(|_, waiter| waiter.ask.holder != holder);
        self.heard.remove(&holder);
    }

    /// A holder has said something.
    pub(super) fn on_heard(&mut self, holder: InstanceId, now: Instant) {
        self.heard.insert(holder, now);
    }

    /// Whoever keeps the account was suspended: it has heard nobody meanwhile, which says
    /// nothing of the holders, and nothing goes to batch until they have reported.
    ///
    /// Guards against a slot that is given away while its holder uses it: after 2 s asleep
    /// all holders seemed to have fallen silent at once.
    pub fn on_resume(&mut self, now: Instant) {
        self.heard.values_mut().for_each(|at| *at = now);
        self.start_settling(now);
    }

    /// Drops the online leases of holders that have fallen silent. One that still
    /// lives reports them again.
    pub(super) fn drop_silent(&mut self, now: Instant) {
        let silence = self.policy.holder_timeout;
        let is_over = |at: Instant| now.saturating_duration_since(at) > silence;
        let is_silent = |holder: &InstanceId| self.heard.get(holder).is_none_or(|at| is_over(*at));
        let is_lost = |lease: &Lease| {
            lease.purpose == Purpose::Online && is_over(lease.granted) && is_silent(&lease.holder)
        };
        let lost = self.leases.iter().filter(|(_, lease)| is_lost(lease));
        let lost: Vec<LeaseId> = lost.map(|(id, _)| *id).collect();
        for id in lost {
            self.drop_lease(id);
        }
    }

    /// A holder reports all that it holds: the account is made to agree.
    pub fn on_lease_report(&mut self, holder: InstanceId, held: &[HeldLease], now: Instant) {
        self.on_heard(holder, now);
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
            let ask = Request {
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
                may_wait: false,
            };
            self.add(held.lease, &ask, held.target.clone(), now);
        }
    }

    fn drop_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if lease.is_revoked {
            return;
        }
        if let Some(row) = self.targets.get_mut(&lease.target) {
            let count = row.count(lease.purpose);
            *count = count.saturating_sub(1);
        }
    }

    /// Batch leases to take back because online holds more than the free slots:
    /// what reports brought may exceed a target's slots.
    pub fn revoke_excess(&mut self) -> Vec<Revocation> {
        let over = |row: &&TargetState| row.batch > 0 && row.online + row.batch > row.target.slots;
        let over: Vec<TargetId> =
            self.targets.values().filter(over).map(|row| row.target.id.clone()).collect();
        let stopped: Vec<LeaseId> =
            over.iter().filter_map(|target| self.least_loss(|id| id == target)).collect();
        stopped.into_iter().filter_map(|lease| self.revoke(lease)).collect()
    }
}
