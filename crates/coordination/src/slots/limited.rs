//! The targets of an allocator, and the rate limits that it applies to them.

use super::Allocator;
use super::rate::RateLimit;
use super::target_state::TargetState;
use protocol::routing::Target;
use protocol::{DataCentreId, ServiceId};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

impl Allocator {
    /// Replaces the rate limits, by service; services without one aren't limited.
    pub fn set_rate_limits(&mut self, limits: HashMap<ServiceId, RateLimit>) {
        self.rate_limits = limits;
    }

    /// Replaces the parts of the rate limits that this allocator may use, by data centre; all of
    /// it where none is given.
    pub fn set_shares(&mut self, shares: HashMap<DataCentreId, f64>) {
        self.shares = shares;
    }

    /// Whether the rate limits allow one more request to a target.
    pub(super) fn is_rate_allowed(&self, state: &TargetState, now: Instant) -> bool {
        let Some(limit) = self.rate_limits.get(&state.target.service) else {
            return true;
        };
        let share = self.shares.get(&state.target.data_centre).copied().unwrap_or(1.0);
        state.meter.allows(limit, share, now)
    }

    /// Replaces the set of targets. Targets that are removed, or have restarted under the same id,
    /// lose their leases and their health.
    pub fn set_targets<'a>(&mut self, targets: impl IntoIterator<Item = &'a Target>, now: Instant) {
        let mut previous = std::mem::take(&mut self.targets);
        for target in targets {
            let before = previous.remove(&target.id);
            let (known, restarted): (Option<TargetState>, Option<TargetState>) = match before {
                Some(state) if state.target.is_same_start(target) => (Some(state), None),
                before => (None, before),
            };
            if let Some(state) = restarted {
                self.removed_meters.insert(target.id.clone(), state.meter);
            }
            let is_kept = known.is_some();
            let mut state = known.unwrap_or_else(|| self.new_state(target, now));
            if !is_kept {
                self.leases.retain(|_, lease| lease.target != target.id);
            }
            if state.target.revision != target.revision && target.cold_left_ms > 0 {
                state.meter.set_cold(now + Duration::from_millis(target.cold_left_ms));
            }
            state.target.clone_from(target);
            self.targets.insert(target.id.clone(), state);
        }
        let removed = previous.into_iter().map(|(id, state)| (id, state.meter));
        self.removed_meters.extend(removed);
        self.removed_meters.retain(|_, meter| meter.has_recent_grants(now));
        self.update_cache_limits();
        let targets = &self.targets;
        self.leases.retain(|_, lease| targets.contains_key(&lease.target));
    }

    /// State of a target that this allocator knows nothing about. It counts as cold: it may have
    /// just started, or have been evacuated.
    fn new_state(&mut self, target: &Target, now: Instant) -> TargetState {
        let mut state = TargetState::new(target.clone());
        state.meter = self.removed_meters.remove(&target.id).unwrap_or_default();
        if let Some(limit) = self.rate_limits.get(&target.service) {
            let cold_left = Duration::from_millis(target.cold_left_ms);
            state.meter.set_cold(now + limit.cold_period.max(cold_left));
        }
        state
    }

    /// Records that another allocator may have granted slots of these data centres until now.
    /// `is_warm` says of a target whether it is known to have been warm.
    pub fn on_takeover(
        &mut self,
        data_centres: &BTreeSet<DataCentreId>,
        is_warm: impl Fn(&Target) -> bool,
        now: Instant,
    ) {
        let states = self.targets.values_mut();
        states
            .filter(|state| data_centres.contains(&state.target.data_centre))
            .for_each(|state| state.meter.on_takeover(is_warm(&state.target), now));
    }

    pub(super) fn is_rate_limited(&self, service: &str) -> bool {
        self.rate_limits.contains_key(service)
    }
}
