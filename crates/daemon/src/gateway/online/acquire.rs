//! Acquires leases for the attempts of a request.

use super::{ProxiedRequest, RETRY_AFTER};
use crate::clock;
use crate::gateway::leases::{self, AcquireError, Lease, SlotQuery};
use crate::gateway::quarantine::{self, Admission};
use crate::gateway::residency;
use std::time::Instant;

impl ProxiedRequest {
    /// As [`ProxiedRequest::acquire_next`], but waits as long as there may be a target later.
    pub(super) async fn acquire_patiently(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Lease, AcquireError> {
        loop {
            let delay = match self.acquire_next(last_event).await {
                Err(AcquireError::Full(delay)) => delay,
                Err(AcquireError::NoTarget | AcquireError::NoReply) => RETRY_AFTER,
                result => return result,
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// The latest start with which the response meets its objective, and when the caller stops
    /// waiting.
    fn slot_deadlines(&self, is_resumed: bool, now: Instant) -> (Instant, Instant) {
        let route = &self.route;
        let start = self.call.started;
        let deadline = self.call.deadline.min(start + route.timeout);
        let expires = |since: Instant| {
            route
                .caller_idle_timeout
                .map_or(deadline, |idle_timeout| deadline.min(since + idle_timeout))
        };
        if is_resumed {
            // The caller waits for the next event of its stream.
            return (now + route.max_event_gap, expires(now));
        }
        if self.call.is_retry {
            // The objective counts from the first attempt of the caller and is missed already.
            return (start, expires(start));
        }
        let target_share = self.node.settings.policy.target_share;
        (start + route.objective.mul_f64(1.0 - target_share), expires(start))
    }

    /// Acquires a lease for the next attempt, as long as a stop leaves time for it.
    pub(super) async fn acquire_next(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Lease, AcquireError> {
        let too_late = self.candidate().until_too_late();
        tokio::select! {
            biased;
            () = too_late => Err(AcquireError::Stopping),
            lease = self.acquire_usable(last_event) => lease,
        }
    }

    async fn acquire_usable(&mut self, last_event: Option<u64>) -> Result<Lease, AcquireError> {
        loop {
            let lease = self.acquire_admitted(last_event).await?;
            if !lease.is_usable(clock::now()) {
                self.node.metrics.count("lease.unusable");
                continue;
            }
            self.registry = lease.registry;
            self.forecast = lease.grant.forecast;
            self.count_prompt_tokens();
            return Ok(lease);
        }
    }

    /// Acquires a lease, unless the request is quarantined.
    async fn acquire_admitted(&mut self, last_event: Option<u64>) -> Result<Lease, AcquireError> {
        let call = self.call.clone();
        let contents = || call.contents();
        let node = self.node.clone();
        match quarantine::admit(&node, contents).await {
            Admission::Quarantined(remaining) => Err(AcquireError::Quarantined(remaining)),
            Admission::Trial => self.acquire_lease(last_event).await,
            // Similar requests may crash further targets during the wait.
            Admission::Allowed => tokio::select! {
                biased;
                remaining = quarantine::quarantined(&node, contents) => {
                    Err(AcquireError::Quarantined(remaining))
                }
                lease = self.acquire_lease(last_event) => lease,
            },
        }
    }

    async fn acquire_lease(&mut self, last_event: Option<u64>) -> Result<Lease, AcquireError> {
        loop {
            let software = self.required_software()?;
            let (latest_start, expires) = self.slot_deadlines(last_event.is_some(), clock::now());
            let query = SlotQuery {
                service: self.service.clone(),
                latest_start,
                expires,
                excluded: [&self.excluded[..], &self.silent].concat(),
                software,
                residency: residency::of_request(&self.route, self.call.workspace.as_deref()),
                workload: self.workload.clone(),
            };
            let result = leases::acquire(&self.node, &query, &mut self.charge).await;
            self.slot_wait.set(clock::since(self.call.started));
            let lease = result?;
            if self.confirm(&lease).await? {
                return Ok(lease);
            }
        }
    }
}
