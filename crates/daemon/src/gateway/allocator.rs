//! Runs the slot allocators that this instance owns.
//!
//! [`coordination::slots::Allocator`] decides; this module delivers its decisions to
//! requesters, waiters and holders.

use super::leases::allocator_owner;
use super::message::{PeerReply, PeerRequest, SlotRequest, SlotRequestId};
use super::node::Node;
use super::{quota, suspension};
use crate::clock;
use coordination::slots::rate::RateLimit;
use coordination::slots::{
    self, Decision, Grant, HeldLease, Knowledge, LeaseId, LeaseOutcome, LeaseReport, Purpose,
    Revocation, TargetMemory, WAITER_CHECK_INTERVAL, WaiterId,
};
use protocol::routing::{Service, Target};
use protocol::{DataCentreId, InstanceId, ServiceId};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Longest time until all instances know that a target has turned cold.
const COLD_NEWS_DELAY: Duration = Duration::from_millis(2_500);

/// Answers a request for slots, from another instance or from this one for batch. One with a
/// charge is first charged to the quota of its workspace. If its token is due later, the sender
/// waits for it: it takes an instance that replies late for unresponsive.
pub async fn on_slot_request(node: &Rc<Node>, request: SlotRequest) -> PeerReply {
    let Some(workspace) = request.charge.clone() else {
        return grant_slots(node, request).await;
    };
    if !owns(node, &request.data_centre) {
        return PeerReply::NotOwner;
    }
    let data_centre = request.data_centre.clone();
    let until_latest_start = Duration::from_millis(request.latest_start_ms);
    let accepts_wait = request.accepts_reservation;
    let attempt = quota::attempt(node, &request.workload, until_latest_start, accepts_wait);
    match quota::charge_local(node, &data_centre, &workspace, attempt) {
        Err(after) => return PeerReply::OverQuota(after.as_millis() as u64),
        // Rounded up, since the token must not be used before it is due.
        Ok(wait) if !wait.is_zero() => return PeerReply::Reserved(wait.as_millis() as u64 + 1),
        Ok(_) => {}
    }
    match grant_slots(node, request).await {
        PeerReply::NotOwner => {
            quota::refund_local(node, &data_centre, &workspace);
            PeerReply::NotOwner
        }
        reply => PeerReply::Charged(Box::new(reply)),
    }
}

/// Whether the allocator of a data centre runs here, by the current members and targets.
pub fn owns(node: &Rc<Node>, data_centre: &str) -> bool {
    refresh(node);
    node.leases.owned.borrow().contains(data_centre)
}

async fn grant_slots(node: &Rc<Node>, request: SlotRequest) -> PeerReply {
    let now = clock::now();
    let after = |millis: u64| now + Duration::from_millis(millis);
    let slot_request = |may_wait| slots::Request {
        holder: request.from,
        data_centre: request.data_centre.clone(),
        service: request.service.clone(),
        purpose: request.purpose,
        due: after(request.due_ms),
        remaining: Duration::from_millis(request.remaining_ms),
        is_started: request.is_started,
        latest_start: after(request.latest_start_ms),
        safe_start: after(request.safe_start_ms),
        expires: after(request.expires_ms),
        total_slots: request.total_slots,
        excluded: request.excluded.clone(),
        software: request.software.clone(),
        may_wait,
        workload: request.workload.clone(),
    };
    let wait = Duration::from_millis(request.wait_ms);
    let mut grants = Vec::new();
    while grants.len() < request.limit {
        // Only the first slot may be waited for.
        let may_wait = grants.is_empty() && !wait.is_zero();
        let before = clock::since(now);
        match acquire_local(node, &request.data_centre, slot_request(may_wait), request.id, wait)
            .await
        {
            AcquireOutcome::Grant(mut grant) => {
                grant.queued_ms += before.as_millis() as u64;
                grants.push(grant);
            }
            AcquireOutcome::NotOwner => return PeerReply::NotOwner,
            AcquireOutcome::Full(after)
                if grants.is_empty() && request.purpose == Purpose::Online =>
            {
                return PeerReply::Full(after.as_millis() as u64);
            }
            AcquireOutcome::Full(_) | AcquireOutcome::Pending => break,
        }
    }
    PeerReply::Slots(grants, node.leases.allocator.borrow().run_time())
}

/// The outcome of one request.
pub enum AcquireOutcome {
    /// A slot was granted.
    Grant(Grant),
    /// No slot is free; one is expected after this delay.
    Full(Duration),
    /// The wait ended without a slot.
    Pending,
    /// The allocator isn't owned here, or has no target of the service.
    NotOwner,
}

/// Removes a waiter from the allocator's queue when dropped.
struct WaiterGuard {
    node: Rc<Node>,
    id: WaiterId,
    key: (InstanceId, SlotRequestId),
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let leases = &self.node.leases;
        leases.pending.borrow_mut().remove(&self.key);
        if leases.waiters.borrow_mut().remove(&self.id).is_some() {
            leases.allocator.borrow_mut().on_waiter_gone(self.id);
        }
    }
}

/// Cancels a waiting request. One that was granted meanwhile isn't found; its requester
/// releases the lease.
pub fn on_cancelled(node: &Node, key: (InstanceId, SlotRequestId)) {
    let leases = &node.leases;
    let Some(id) = leases.pending.borrow_mut().remove(&key) else {
        return;
    };
    leases.allocator.borrow_mut().on_waiter_gone(id);
    // Ends the wait without a grant.
    drop(leases.waiters.borrow_mut().remove(&id));
}

/// Requests a slot from an allocator owned here; waits up to `wait` if the request may wait.
pub async fn acquire_local(
    node: &Rc<Node>,
    data_centre: &str,
    request: slots::Request,
    request_id: SlotRequestId,
    wait: Duration,
) -> AcquireOutcome {
    if !owns(node, data_centre) {
        return AcquireOutcome::NotOwner;
    }
    let key = (request.holder, request_id);
    let decision = node.leases.allocator.borrow_mut().on_request(request, clock::now());
    match decision {
        Decision::Granted(grant, revocation) => {
            revocation.into_iter().for_each(|revocation| revoke(node, revocation));
            AcquireOutcome::Grant(grant)
        }
        Decision::Full(after) => AcquireOutcome::Full(after),
        Decision::NoTarget => AcquireOutcome::NotOwner,
        Decision::Queued(id) => {
            let (sender, receiver) = oneshot::channel();
            node.leases.waiters.borrow_mut().insert(id, sender);
            node.leases.pending.borrow_mut().insert(key, id);
            let guard = WaiterGuard { node: node.clone(), id, key };
            check_waiters(node);
            let reply = tokio::time::timeout(wait, receiver).await;
            drop(guard);
            match reply {
                Ok(Ok(Ok(grant))) => AcquireOutcome::Grant(grant),
                Ok(Ok(Err(after))) => AcquireOutcome::Full(after),
                Ok(Err(_)) | Err(_) => AcquireOutcome::Pending,
            }
        }
    }
}

/// Updates the allocators owned here for the current members and targets.
pub fn refresh(node: &Rc<Node>) {
    suspension::check(node);
    let versions = (node.members.borrow().version(), node.registry.borrow().version());
    let leases = &node.leases;
    let before = leases.seen_versions.replace(versions);
    if before == versions {
        return;
    }
    let registry = node.registry.borrow();
    let has_new_targets = before.1 != versions.1;
    if has_new_targets {
        // An evacuated data centre keeps its allocator, and with it its part of the quotas.
        let names = registry.staying().map(|target| target.data_centre.clone());
        *leases.data_centres.borrow_mut() = names.collect();
    }
    let is_owned_here =
        |name: &&DataCentreId| allocator_owner(node, name).is_some_and(|m| m.id == node.id());
    let owned: BTreeSet<DataCentreId> =
        leases.data_centres.borrow().iter().filter(is_owned_here).cloned().collect();
    let mut allocator = leases.allocator.borrow_mut();
    let now = clock::now();
    let taken_over: BTreeSet<DataCentreId> =
        owned.difference(&leases.owned.borrow()).cloned().collect();
    if !taken_over.is_empty() {
        slog::info!(node.log, "slot allocators changed"; "data_centres" => ?owned,
            "members" => versions.0);
        allocator.start_settling(now);
    }
    // Membership changes often while a fleet starts, and there may be many targets.
    if has_new_targets || *leases.owned.borrow() != owned {
        let targets = registry.usable().filter(|target| owned.contains(&target.data_centre));
        allocator.set_targets(targets, now);
    }
    allocator.on_takeover(&taken_over, |target| is_warm(node, target, now), now);
    let members = node.members.borrow();
    for holder in allocator.holders() {
        if members.is_dead(holder) {
            allocator.on_holder_lost(holder);
        }
    }
    leases.quotas.set_owned(&owned, &leases.data_centres.borrow(), &node.log);
    *leases.owned.borrow_mut() = owned;
    drop(members);
    drop(allocator);
    update_shares(node);
}

/// Whether a target has run for so long that news of its cold would have arrived.
fn is_warm(node: &Node, target: &Target, now: Instant) -> bool {
    let config = node.config();
    let service = config.as_ref().and_then(|config| config.table.service(&target.service));
    let cold_period = service.and_then(|service| service.cold).map(|cold| cold.period);
    let starts = node.starts.borrow();
    let known_since = starts.get(&target.id).map(|start| start.known_since);
    known_since.is_some_and(|since| {
        let known_for = now.saturating_duration_since(since);
        known_for > cold_period.unwrap_or_default() + COLD_NEWS_DELAY
    })
}

/// Applies the rate limits and the memory of targets in a configuration.
pub fn set_services(node: &Node, services: &[Service]) {
    let copies = node.settings.policy.copies_prompts;
    let memory = |service: &Service| {
        let transfer = service.transfer.filter(|_| copies);
        let copy_token_time_s = transfer.map(|transfer| transfer.token_time_s());
        (service.name.clone(), TargetMemory { tokens: service.memory_tokens, copy_token_time_s })
    };
    let memories = services.iter().map(memory).collect();
    node.leases.allocator.borrow_mut().set_memory(memories);
    set_rate_limits(node, services);
}

fn set_rate_limits(node: &Node, services: &[Service]) {
    let limit = |service: &Service| {
        let cold = service.cold?;
        let limit = RateLimit {
            cold_rate: cold.rate,
            ceiling: node.settings.cold.ceiling(cold.rate),
            cold_period: cold.period,
        };
        Some((service.name.clone(), limit))
    };
    let limits: HashMap<ServiceId, RateLimit> = services.iter().filter_map(limit).collect();
    node.leases.has_rate_limits.set(!limits.is_empty());
    node.leases.allocator.borrow_mut().set_rate_limits(limits);
}

/// Updates the parts of the rate limits that the allocators owned here may use.
pub fn update_shares(node: &Node) {
    if !node.leases.has_rate_limits.get() {
        return;
    }
    let members = node.members.borrow();
    let now = clock::now();
    let share = |name: &DataCentreId| (name.clone(), members.reachable_ratio(name, now));
    let shares = node.leases.owned.borrow().iter().map(share).collect();
    node.leases.allocator.borrow_mut().set_shares(shares);
}

fn revoke(node: &Rc<Node>, revocation: Revocation) {
    if revocation.holder == node.id() {
        node.leases.on_revoked(revocation.lease);
        return;
    }
    let address = node.members.borrow().get(revocation.holder).map(|member| member.peer);
    if let Some(address) = address {
        node.notify(address, PeerRequest::Revoke(revocation.lease));
    }
}

/// Handles the release of a lease of an allocator owned here.
pub fn on_release(node: &Rc<Node>, lease: LeaseId, report: LeaseReport) {
    node.leases.allocator.borrow_mut().on_release(lease, report, clock::now());
    grant_waiters(node);
}

/// Handles a report that the first event of a target is overdue.
pub fn on_overdue(node: &Rc<Node>, target: &str) {
    node.leases.allocator.borrow_mut().on_overdue(target, clock::now());
}

/// Handles a holder's report of all its leases.
pub fn on_lease_report(node: &Rc<Node>, holder: InstanceId, held: &[HeldLease]) {
    refresh(node);
    let revocations = {
        let now = clock::now();
        let mut allocator = node.leases.allocator.borrow_mut();
        allocator.on_lease_report(holder, held, now);
        allocator.revoke_excess(now)
    };
    revocations.into_iter().for_each(|revocation| revoke(node, revocation));
    grant_waiters(node);
}

/// Handles what a sender knows of targets whose allocator may have just started here.
pub fn on_knowledge(node: &Rc<Node>, knowledge: &[Knowledge]) {
    refresh(node);
    node.leases.allocator.borrow_mut().on_knowledge(knowledge, clock::now());
}

/// Grants free slots to waiters.
pub fn grant_waiters(node: &Rc<Node>) {
    refresh(node);
    loop {
        let grants = node.leases.allocator.borrow_mut().next_grants(clock::now());
        if grants.is_empty() {
            return;
        }
        for (waiter, grant, revocation) in grants {
            revocation.into_iter().for_each(|revocation| revoke(node, revocation));
            let sender = node.leases.waiters.borrow_mut().remove(&waiter);
            let lease = grant.lease;
            let is_taken = sender.is_some_and(|sender| sender.send(Ok(grant)).is_ok());
            if !is_taken {
                let report =
                    LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
                node.leases.allocator.borrow_mut().on_release(lease, report, clock::now());
            }
        }
    }
}

/// Starts a task that grants slots to waiters and rejects those that can't be served in time,
/// until none is left. At most one such task runs.
fn check_waiters(node: &Rc<Node>) {
    if node.leases.is_checking_waiters.replace(true) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        while !node.leases.waiters.borrow().is_empty() {
            tokio::time::sleep(WAITER_CHECK_INTERVAL).await;
            suspension::check(&node);
            let rejected = node.leases.allocator.borrow_mut().take_unserviceable(clock::now());
            for (waiter, after) in rejected {
                if let Some(sender) = node.leases.waiters.borrow_mut().remove(&waiter) {
                    // The waiter may just have been dropped.
                    let _dropped = sender.send(Err(after));
                }
            }
            grant_waiters(&node);
        }
        node.leases.is_checking_waiters.set(false);
    });
}
