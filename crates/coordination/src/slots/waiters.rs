//! The queue of an allocator: which request is served next, and which one never will be.

use super::lease::{Grant, Priority, Purpose, Request, Revocation, WaiterId};
use super::{Allocator, RETRY_AFTER};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Interval between checks of queued requests.
pub const WAITER_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A queued request.
#[derive(Clone, Debug)]
pub(super) struct Waiter {
    pub(super) request: Request,
    pub(super) queued_at: Instant,
}

impl Allocator {
    /// Grants slots to queued requests in order of priority, as far as there are free ones.
    pub fn next_grants(&mut self, now: Instant) -> Vec<(WaiterId, Grant, Option<Revocation>)> {
        let mut grants = Vec::new();
        // Requests without a slot: lower priorities for the same slots are skipped.
        let mut unserved: Vec<Request> = Vec::new();
        let mut skipped: HashSet<WaiterId> = HashSet::new();
        while let Some(id) = self.highest_priority(&unserved, &skipped, now) {
            let Some(Waiter { request, queued_at }) = self.waiters.get(&id).cloned() else {
                break;
            };
            match self.grant(&request, now) {
                Some((mut grant, revocation)) => {
                    grant.queued_ms = now.saturating_duration_since(queued_at).as_millis() as u64;
                    self.waiters.remove(&id);
                    grants.push((id, grant, revocation));
                }
                None if request.excluded.is_empty() => unserved.push(request),
                None => {
                    skipped.insert(id);
                }
            }
        }
        grants
    }

    /// The queued request of highest priority that isn't blocked by a request in `unserved`.
    ///
    /// Runs whenever a slot comes free, mostly for one grant among hundreds of waiters: a scan for
    /// the minimum is several times cheaper than sorting them.
    fn highest_priority(
        &self,
        unserved: &[Request],
        skipped: &HashSet<WaiterId>,
        now: Instant,
    ) -> Option<WaiterId> {
        let is_blocked = |request: &Request| unserved.iter().any(|earlier| earlier.blocks(request));
        let candidates = self
            .waiters
            .iter()
            .filter(|(id, waiter)| !is_blocked(&waiter.request) && !skipped.contains(id));
        candidates
            .min_by_key(|(id, waiter)| {
                (waiter.request.priority(&self.policy, &self.shares_of_work, now), **id)
            })
            .map(|(id, _)| *id)
    }

    /// Queued online requests in order of priority.
    fn online_by_priority(&self, now: Instant) -> Vec<WaiterId> {
        let is_online = |waiter: &Waiter| waiter.request.purpose == Purpose::Online;
        let mut ordered: Vec<(Priority, WaiterId)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| is_online(waiter))
            .map(|(id, waiter)| {
                (waiter.request.priority(&self.policy, &self.shares_of_work, now), *id)
            })
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, id)| id).collect()
    }

    /// Removes the queued requests that won't be served before their callers leave. Each comes
    /// with a delay before retrying, which differs by its place in the queue so that retries are
    /// spread.
    pub fn take_unserviceable(&mut self, now: Instant) -> Vec<(WaiterId, Duration)> {
        self.drop_unresponsive(now);
        let mut rejected = Vec::new();
        let mut ahead: HashMap<(&str, &str, Option<&str>), usize> = HashMap::new();
        for id in self.online_by_priority(now) {
            let Some(request) = self.waiters.get(&id).map(|waiter| &waiter.request) else {
                continue;
            };
            let slots = (&*request.service, &*request.data_centre, request.software.as_deref());
            let ahead = ahead.entry(slots).or_default();
            let wait = self.expected_wait(request, *ahead, now);
            if now + wait > request.expires {
                rejected.push((id, wait.clamp(RETRY_AFTER[0], RETRY_AFTER[1])));
            } else {
                *ahead += 1;
            }
        }
        for (id, _) in &rejected {
            self.waiters.remove(id);
        }
        rejected
    }

    /// The caller of a queued request has left.
    pub fn on_waiter_gone(&mut self, id: WaiterId) {
        self.waiters.remove(&id);
    }

    /// When a request was queued; `None` if it isn't.
    pub fn queued_at(&self, id: WaiterId) -> Option<Instant> {
        self.waiters.get(&id).map(|waiter| waiter.queued_at)
    }
}
