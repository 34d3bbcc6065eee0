//! Keeps the accounts of slots that fall to this instance.
//!
//! What is decided is decided by [`coordination::slots::Ledger`]; here its
//! verdicts are carried to those who asked, who wait, or who must give way.

use super::leases::allocator_owner;
use super::message::{PeerReply, PeerRequest, SlotRequest, SlotRequestId};
use super::node::Node;
use super::suspension;
use crate::clock;
use coordination::slots::{
    self, Decision, Grant, HeldLease, LeaseId, LeaseOutcome, LeaseReport, Purpose, Revocation,
    WAITER_CHECK_INTERVAL, WaiterId,
};
use protocol::{DataCentreId, InstanceId};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Answers a wish of another instance, or of this one for batch.
pub async fn on_slot_request(node: &Rc<Node>, request: SlotRequest) -> PeerReply {
    let now = clock::now();
    let after = |millis: u64| now + Duration::from_millis(millis);
    let ask = |may_wait| slots::Request {
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
        may_wait,
    };
    let wait = Duration::from_millis(request.wait_ms);
    let mut grants = Vec::new();
    while grants.len() < request.limit {
        // The first one may be waited for; more only if they are free now.
        let may_wait = grants.is_empty() && !wait.is_zero();
        match acquire_local(node, &request.data_centre, ask(may_wait), request.id, wait).await {
            AcquireOutcome::Grant(grant) => grants.push(grant),
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

/// The answer to one wish.
pub enum AcquireOutcome {
    /// A slot.
    Grant(Grant),
    /// None is free; one is expected after this long.
    Full(Duration),
    /// The wait is over without a slot.
    Pending,
    /// The account isn't kept here, or has no such service.
    NotOwner,
}

/// A waiter that leaves the account's queue when whoever waits is dropped.
struct WaiterGuard {
    node: Rc<Node>,
    id: WaiterId,
    request: (InstanceId, SlotRequestId),
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let leases = &self.node.leases;
        leases.pending.borrow_mut().remove(&self.request);
        if leases.waiters.borrow_mut().remove(&self.id).is_some() {
            leases.allocator.borrow_mut().on_waiter_gone(self.id);
        }
    }
}

/// A wish that waits here is withdrawn; one that was granted meanwhile isn't
/// found, and its asker gives the lease back.
pub fn on_cancelled(node: &Node, request: (InstanceId, SlotRequestId)) {
    let leases = &node.leases;
    let Some(id) = leases.pending.borrow_mut().remove(&request) else {
        return;
    };
    leases.allocator.borrow_mut().on_waiter_gone(id);
    // Ends the wait: its asker is answered that it got none.
    drop(leases.waiters.borrow_mut().remove(&id));
}

/// Asks an account kept here; waits up to `wait` if the wish may wait.
pub async fn acquire_local(
    node: &Rc<Node>,
    data_centre: &str,
    ask: slots::Request,
    request_id: SlotRequestId,
    wait: Duration,
) -> AcquireOutcome {
    refresh(node);
    if !node.leases.owned.borrow().contains(data_centre) {
        return AcquireOutcome::NotOwner;
    }
    let request = (ask.holder, request_id);
    let verdict = node.leases.allocator.borrow_mut().on_request(ask, clock::now());
    match verdict {
        Decision::Granted(grant, revocation) => {
            revocation.into_iter().for_each(|revocation| revoke(node, revocation));
            AcquireOutcome::Grant(grant)
        }
        Decision::Full(after) => AcquireOutcome::Full(after),
        Decision::NoTarget => AcquireOutcome::NotOwner,
        Decision::Queued(id) => {
            let (sender, receiver) = oneshot::channel();
            node.leases.waiters.borrow_mut().insert(id, sender);
            node.leases.pending.borrow_mut().insert(request, id);
            let guard = WaiterGuard { node: node.clone(), id, request };
            check_waiters(node);
            let answer = tokio::time::timeout(wait, receiver).await;
            drop(guard);
            match answer {
                Ok(Ok(Ok(grant))) => AcquireOutcome::Grant(grant),
                Ok(Ok(Err(after))) => AcquireOutcome::Full(after),
                Ok(Err(_)) | Err(_) => AcquireOutcome::Pending,
            }
        }
    }
}

/// Sets the accounts for the members and targets known now.
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
        let names = registry.usable().map(|target| target.data_centre.clone());
        *leases.data_centres.borrow_mut() = names.collect();
    }
    let is_mine =
        |name: &&DataCentreId| allocator_owner(node, name).is_some_and(|m| m.id == node.id());
    let owned: BTreeSet<DataCentreId> =
        leases.data_centres.borrow().iter().filter(is_mine).cloned().collect();
    let mut allocator = leases.allocator.borrow_mut();
    let is_new = |name: &DataCentreId| !leases.owned.borrow().contains(name);
    if owned.iter().any(is_new) {
        slog::info!(node.log, "slot allocators changed"; "data_centres" => ?owned, "members" => versions.0);
        allocator.start_settling(clock::now());
    }
    // Members change often when a fleet starts, and there may be many targets.
    if has_new_targets || *leases.owned.borrow() != owned {
        allocator
            .set_targets(registry.usable().filter(|target| owned.contains(&target.data_centre)));
    }
    let members = node.members.borrow();
    for holder in allocator.holders() {
        if members.is_dead(holder) {
            allocator.on_holder_lost(holder);
        }
    }
    *leases.owned.borrow_mut() = owned;
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

/// A lease of an account kept here was given back.
pub fn on_release(node: &Rc<Node>, lease: LeaseId, report: LeaseReport) {
    node.leases.allocator.borrow_mut().on_release(lease, report, clock::now());
    grant_waiters(node);
}

/// Somebody waits in vain for a first event at a target.
pub fn on_overdue(node: &Rc<Node>, target: &str) {
    node.leases.allocator.borrow_mut().on_overdue(target, clock::now());
}

/// A holder reports all that it holds.
pub fn on_lease_report(node: &Rc<Node>, holder: InstanceId, held: &[HeldLease]) {
    refresh(node);
    let revocations = {
        let mut allocator = node.leases.allocator.borrow_mut();
        allocator.on_lease_report(holder, held, clock::now());
        allocator.revoke_excess()
    };
    revocations.into_iter().for_each(|revocation| revoke(node, revocation));
    grant_waiters(node);
}

/// Hands free slots to those that wait.
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
                let unused =
                    LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
                node.leases.allocator.borrow_mut().on_release(lease, unused, clock::now());
            }
        }
    }
}

/// Looks after those that wait until nobody does.
fn check_waiters(node: &Rc<Node>) {
    if node.leases.is_checking_waiters.replace(true) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        while !node.leases.waiters.borrow().is_empty() {
            tokio::time::sleep(WAITER_CHECK_INTERVAL).await;
            suspension::check(&node);
            let refused = node.leases.allocator.borrow_mut().take_unserviceable(clock::now());
            for (waiter, after) in refused {
                if let Some(sender) = node.leases.waiters.borrow_mut().remove(&waiter) {
                    // Whoever waited may have gone in this moment.
                    let _gone = sender.send(Err(after));
                }
            }
            grant_waiters(&node);
        }
        node.leases.is_checking_waiters.set(false);
    });
}
