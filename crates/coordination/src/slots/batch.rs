//! How batch gives way to online: the slots that it leaves free, and the leases that are
//! taken back from it.

use super::lease::{LeaseId, Purpose, Request, Revocation};
use super::target_state::{Rank, TargetState};
use super::{Allocator, Lease};
use crate::TargetId;
use std::collections::HashSet;
use std::time::Instant;

/// Slots that batch leaves free however few requests come, if its share is that much:
/// two that come together stop nothing.
const PAIR: f64 = 2.0;
impl Allocator {
    /// Whether batch may take one more slot of the service.
    pub(super) fn has_headroom(&self, ask: &Request) -> bool {
        let fits = |row: &&TargetState| row.serves(ask);
        let slots: u32 = self.targets.values().filter(fits).map(|row| row.target.slots).sum();
        let used: u32 = self.targets.values().filter(fits).map(TargetState::used).sum();
        let online: u32 = self.targets.values().filter(fits).map(|row| row.online).sum();
        let reserve = self.reserve(slots, online);
        // A service of very few slots would never run batch otherwise.
        used + reserve.min(slots.saturating_sub(1)) < slots
    }

    /// Slots that batch leaves free.
    ///
    /// With `n` of them, free slots wander between none and `n` as online requests come
    /// and go: one request in `n + 1` stops an item, and `n / 2` slots stand empty. Together
    /// that costs least where `n` is the root of `2 * arrivals * stop_cost`. A share of the
    /// slots alone grows too fast: of 217 it was 14, where 4 pay.
    fn reserve(&self, slots: u32, online: u32) -> u32 {
        let arrivals = f64::from(online.max(1)) / self.hold.max(f64::MIN_POSITIVE);
        let pays = (2.0 * arrivals * self.policy.preemption_cost.as_secs_f64()).sqrt();
        (f64::from(slots) * self.policy.headroom).min(pays.max(PAIR)).ceil() as u32
    }

    /// Targets that are as good for a wish as the best, which is full.
    pub(super) fn alike(&self, ask: &Request, rank: Rank, now: Instant) -> HashSet<TargetId> {
        let median = self.median_pace();
        let is_alike = |row: &TargetState| row.rank(ask, median, &self.policy, now) == Some(rank);
        let alike = self.targets.iter().filter(|(_, row)| is_alike(row));
        alike.map(|(id, _)| id.clone()).collect()
    }

    /// The batch lease of some targets whose stop loses least: of work that is late
    /// already, else of what has most of its time before it, else of what is due last.
    pub(super) fn least_loss(&self, is_of: impl Fn(&TargetId) -> bool) -> Option<LeaseId> {
        let of_batch = self.leases.iter().filter(|(_, lease)| {
            lease.purpose == Purpose::Batch && !lease.is_revoked && is_of(&lease.target)
        });
        let loss = |(id, lease): &(&LeaseId, &Lease)| (lease.is_late, lease.ends, lease.due, **id);
        of_batch.max_by_key(loss).map(|(id, _)| *id)
    }

    /// Takes a batch lease back. It counts as given back at once, since its holder
    /// stops without being asked twice.
    pub(super) fn revoke(&mut self, id: LeaseId) -> Option<Revocation> {
        let lease = self.leases.get_mut(&id)?;
        lease.is_revoked = true;
        let holder = lease.holder;
        if let Some(row) = self.targets.get_mut(&lease.target) {
            row.batch = row.batch.saturating_sub(1);
        }
        Some(Revocation { lease: id, holder })
    }
}
