//! How batch yields to online requests: headroom, and preemption of batch leases.

use super::lease::{LeaseId, Purpose, Request, Revocation};
use super::placement::preemption_tolerance;
use super::target_state::{Rank, TargetState};
use super::{Allocator, Lease};
use crate::TargetId;
use std::collections::HashSet;
use std::time::Instant;

/// Lower bound of the optimal reserve, so that two requests that arrive together preempt nothing;
/// the headroom ratio still limits it.
const MIN_RESERVED_SLOTS: f64 = 2.0;

impl Allocator {
    /// Whether batch may take one more slot of the service.
    pub(super) fn has_headroom(&self, request: &Request) -> bool {
        let is_match = |state: &&TargetState| state.serves(request);
        let slots: u32 =
            self.targets.values().filter(is_match).map(|state| state.target.slots).sum();
        let used: u32 = self.targets.values().filter(is_match).map(TargetState::used).sum();
        let online: u32 = self.targets.values().filter(is_match).map(|state| state.online).sum();
        let reserve = self.reserve(slots, online);
        // Without the cap, a service with very few slots would never run batch.
        used + reserve.min(slots.saturating_sub(1)) < slots
    }

    /// Number of slots that batch keeps free.
    ///
    /// With `n` of them the number of free slots varies between 0 and `n` as online requests come
    /// and go: one request in `n + 1` preempts an item, and `n / 2` slots are idle. The total cost
    /// is lowest where `n` is the square root of `2 * arrivals * preemption_cost`. The configured
    /// ratio of all slots is an upper bound, since it grows faster than that.
    fn reserve(&self, slots: u32, online: u32) -> u32 {
        let arrivals = f64::from(online.max(1)) / self.mean_hold_s.max(f64::MIN_POSITIVE);
        let optimal = (2.0 * arrivals * self.policy.preemption_cost.as_secs_f64()).sqrt();
        (f64::from(slots) * self.policy.headroom).min(optimal.max(MIN_RESERVED_SLOTS)).ceil() as u32
    }

    /// Targets that rank about as high for a request as the best one, which is full.
    pub(super) fn equivalent(
        &self,
        request: &Request,
        rank: Rank,
        now: Instant,
    ) -> HashSet<TargetId> {
        let ranking = self.ranking(request, now);
        let tolerance = if ranking.pace.is_some() { preemption_tolerance() } else { 0 };
        let is_equivalent = |state: &TargetState| {
            state.rank(request, &ranking).is_some_and(|other| {
                other.is_full && other.class == rank.class && other.cost <= rank.cost + tolerance
            })
        };
        let equivalent = self
            .targets
            .iter()
            .filter(|(_, state)| is_equivalent(state) && self.is_rate_allowed(state, now));
        equivalent.map(|(id, _)| id.clone()).collect()
    }

    /// The batch lease on matching targets that costs least to preempt.
    pub(super) fn cheapest_to_preempt(
        &self,
        matches: impl Fn(&TargetId) -> bool,
        now: Instant,
    ) -> Option<LeaseId> {
        let batch = self.leases.iter().filter(|(_, lease)| {
            lease.purpose == Purpose::Batch && !lease.is_revoked && matches(&lease.target)
        });
        let priority =
            |(id, lease): &(&LeaseId, &Lease)| (self.policy.preemption_priority(lease, now), **id);
        batch.max_by_key(priority).map(|(id, _)| *id)
    }

    /// Revokes a batch lease. Its slot counts as free at once, since its holder must stop at once.
    pub(super) fn revoke(&mut self, id: LeaseId) -> Option<Revocation> {
        let lease = self.leases.get_mut(&id)?;
        lease.is_revoked = true;
        let holder = lease.holder;
        if let Some(state) = self.targets.get_mut(&lease.target) {
            state.batch = state.batch.saturating_sub(1);
        }
        Some(Revocation { lease: id, holder })
    }
}
