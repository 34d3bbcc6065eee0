//! Order of batch items where slots are short, and which of the running ones is preempted.
//!
//! Addresses load that exceeds the slots for longer than a job has until it is due, with online
//! requests in waves that interrupt most items. Waiting items go by feasibility, then started ones
//! first, then by due time; one that can't be in time runs in slots that nothing else needs. Orders
//! by remaining work or by latest start weren't better in simulated shortage and at full load.

use super::Lease;
use super::lease::{Feasibility, Policy, Request};
use protocol::settings::BatchOrder;
use std::time::Instant;

/// Sort key of batch work that waits; the lowest is served first.
pub type BatchPriority<T> = (Feasibility, bool, T);

/// Sort key of running items; the highest is preempted first.
pub(super) type PreemptionPriority = ([bool; 3], Instant, Instant);

/// An item that waits for a slot. Times are those of the caller's clock, so that the holder of a
/// job and the allocators order by the same rule.
#[derive(Clone, Copy, Debug)]
pub struct BatchWork<T> {
    /// Whether an earlier run has completed a part of it.
    pub is_started: bool,
    /// When it is due.
    pub due: T,
    /// Latest time of a grant for which it may be in time.
    pub latest_start: T,
    /// Latest time of a grant for which it is safely in time.
    pub safe_start: T,
}

impl Policy {
    /// Priority of waiting batch work: feasible before late, then started before unstarted.
    /// Otherwise a long shortage starts many items and completes few.
    pub fn batch_priority<T: PartialOrd + Copy>(
        &self,
        work: &BatchWork<T>,
        now: T,
    ) -> BatchPriority<T> {
        let feasibility = match self.late_last {
            true => Feasibility::at(now, work.safe_start, work.latest_start),
            false => Feasibility::Safe,
        };
        let is_unstarted = self.started_first && !work.is_started;
        (feasibility, is_unstarted, work.due)
    }

    /// By the order `finish`, an item that is about to end is preempted last, one that can't be in
    /// time first, and one that was just started after others; then the one that is due last, as
    /// it has most time to resume. By the order `due`, the one with most work remaining, after
    /// those that were late when they were granted.
    ///
    /// An item that is about to end is preempted only if no other is left: without that, online
    /// requests would wait where estimates are wrong.
    pub(super) fn preemption_priority(&self, lease: &Lease, now: Instant) -> PreemptionPriority {
        match self.batch_order {
            BatchOrder::Due => ([false, lease.is_late, false], lease.ends, lease.due),
            BatchOrder::Finish => {
                let is_known = lease.ends > lease.granted;
                let is_ending = is_known && lease.ends <= now + self.preemption_cost;
                let is_missed = self.late_last && lease.due < lease.ends.max(now);
                let is_new = now < lease.granted + self.preemption_cost;
                let classes = [!is_ending, lease.is_late || is_missed, !is_new];
                (classes, lease.due, lease.ends)
            }
        }
    }
}

impl Request {
    /// The work of a batch request.
    pub(super) fn batch_work(&self) -> BatchWork<Instant> {
        BatchWork {
            is_started: self.is_started,
            due: self.due,
            latest_start: self.latest_start,
            safe_start: self.safe_start,
        }
    }
}
