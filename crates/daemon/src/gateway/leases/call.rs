//! One request for a slot to one allocator, with the charge that is made along with it.

use super::lease::{Grantor, Lease, accept_remote_grant, activate};
use super::{SlotQuery, allocator_owner};
use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerReply, PeerRequest, SlotRequest, SlotRequestId};
use crate::gateway::node::Node;
use crate::gateway::quota::{self, Keeper};
use crate::gateway::residency;
use coordination::slots::{self, Purpose, Workload};
use protocol::{DataCentreId, SoftwareVersion, TargetId, WorkspaceId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for the immediate reply of an allocator. Much longer than a round trip within a
/// region, so an owner that exceeds it is overloaded or gone.
pub(in crate::gateway) const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Grants on unusable targets after which a call gives up. The allocator is notified of each
/// such target, and anti-entropy brings it up to date.
const MAX_UNUSABLE_GRANTS: u32 = 4;

/// One request to one allocator.
pub(super) struct AllocatorCall {
    pub(super) data_centre: DataCentreId,
    pub(super) request: slots::Request,
    pub(super) id: SlotRequestId,
    /// Longest wait in the allocator's queue; zero to be rejected instead of queued.
    pub(super) wait: Duration,
    /// Workspace to be charged; `None` if no charge is due.
    pub(super) charge: Option<WorkspaceId>,
    /// Where the request was charged.
    pub(super) keeper: Option<Keeper>,
}

impl AllocatorCall {
    /// A request for a slot that is free now.
    pub(super) fn immediate(node: &Node, query: &SlotQuery, data_centre: &str) -> AllocatorCall {
        let reader = reader(node, query);
        let (read_at, read_by) = reader.map_or((None, None), |(at, by)| (Some(at), by));
        let request = slots::Request {
            holder: node.id(),
            data_centre: data_centre.to_owned(),
            service: query.service.clone(),
            purpose: Purpose::Online,
            due: query.expires,
            remaining: Duration::ZERO,
            is_started: false,
            latest_start: query.latest_start,
            safe_start: query.latest_start,
            expires: query.expires,
            total_slots: 0,
            excluded: query.excluded.clone(),
            software: query.software.clone(),
            may_wait: false,
            workload: Workload { read_at, read_by, ..query.workload.clone() },
        };
        let id = node.leases.next_request_id();
        AllocatorCall {
            data_centre: data_centre.to_owned(),
            request,
            id,
            wait: Duration::ZERO,
            charge: None,
            keeper: None,
        }
    }

    /// Records that the request was charged, so that it isn't charged again.
    fn on_charged(&mut self, keeper: Keeper) {
        self.charge = None;
        self.keeper = Some(keeper);
    }

    fn to_message(&self, now: Instant) -> SlotRequest {
        SlotRequest {
            from: self.request.holder,
            data_centre: self.data_centre.clone(),
            service: self.request.service.clone(),
            purpose: self.request.purpose,
            id: self.id,
            due_ms: millis_until(self.request.due, now),
            remaining_ms: 0,
            is_started: false,
            latest_start_ms: millis_until(self.request.latest_start, now),
            safe_start_ms: millis_until(self.request.safe_start, now),
            expires_ms: millis_until(self.request.expires, now),
            total_slots: self.request.total_slots,
            wait_ms: self.wait.as_millis() as u64,
            limit: 1,
            excluded: self.request.excluded.clone(),
            software: self.request.software.clone(),
            charge: self.charge.clone(),
            accepts_reservation: self.charge.is_some(),
            workload: self.request.workload.clone(),
        }
    }
}

pub(super) enum AllocatorReply {
    Lease(Box<Lease>),
    /// The granted slot is on this target, which is unusable.
    UnusableTarget(TargetId),
    /// No slot is free; one is expected after this delay.
    Full(Duration),
    /// The wait ended without a slot.
    Pending,
    Unresponsive,
    /// The request was charged for a token that is due after this delay; no slot was looked for.
    Reserved(Duration),
    /// The request exceeds the quota of its workspace; its turn is after this delay.
    OverQuota(Duration),
}

/// Calls an allocator; returns the call together with its reply.
pub(super) async fn call_allocator(
    node: Rc<Node>,
    call: AllocatorCall,
) -> (AllocatorCall, AllocatorReply) {
    let mut call = call;
    for _ in 0..MAX_UNUSABLE_GRANTS {
        match try_call(&node, &mut call).await {
            AllocatorReply::UnusableTarget(target) => call.request.excluded.push(target),
            reply => return (call, reply),
        }
    }
    // An allocator with such outdated targets is treated as unavailable.
    (call, AllocatorReply::Unresponsive)
}

async fn try_call(node: &Rc<Node>, call: &mut AllocatorCall) -> AllocatorReply {
    let now = clock::now();
    let Some(owner) = allocator_owner(node, &call.data_centre) else {
        return AllocatorReply::Unresponsive;
    };
    if owner.id == node.id() {
        if let Some(reply) = charge_here(node, call, now) {
            return reply;
        }
        let AllocatorCall { data_centre, request, id, wait, .. } = call;
        return match allocator::acquire_local(node, data_centre, request.clone(), *id, *wait).await
        {
            allocator::AcquireOutcome::Grant(grant) => {
                accept(request, activate(node, grant, Purpose::Online, Grantor::Local, now))
            }
            allocator::AcquireOutcome::Full(after) => AllocatorReply::Full(after),
            allocator::AcquireOutcome::Pending => AllocatorReply::Pending,
            allocator::AcquireOutcome::NotOwner => AllocatorReply::Unresponsive,
        };
    }
    if node.is_unresponsive(owner.peer, now) {
        return AllocatorReply::Unresponsive;
    }
    let message = call.to_message(now);
    let reply = node
        .request(owner.peer, &PeerRequest::Slots(Box::new(message)), call.wait + REPLY_TIMEOUT)
        .await;
    let reply = match reply {
        Ok(PeerReply::Charged(reply)) => {
            call.on_charged(Keeper::Remote(call.data_centre.clone(), owner.peer));
            Ok(*reply)
        }
        reply => reply,
    };
    match reply {
        Ok(PeerReply::Slots(grants, _)) => match grants.into_iter().next() {
            Some(grant) => match accept_remote_grant(node, grant, Purpose::Online, owner.peer, now)
            {
                Ok(lease) => accept(&call.request, lease),
                Err(target) => AllocatorReply::UnusableTarget(target),
            },
            None => AllocatorReply::Pending,
        },
        Ok(PeerReply::Full(after)) => AllocatorReply::Full(Duration::from_millis(after)),
        Ok(PeerReply::Reserved(after)) => {
            call.on_charged(Keeper::Remote(call.data_centre.clone(), owner.peer));
            AllocatorReply::Reserved(Duration::from_millis(after))
        }
        Ok(PeerReply::OverQuota(after)) => AllocatorReply::OverQuota(Duration::from_millis(after)),
        Ok(_) | Err(_) => AllocatorReply::Unresponsive,
    }
}

/// Checks the software version of a granted target by the registry here: the allocator may be of
/// an earlier build, or know less of the target.
fn accept(request: &slots::Request, lease: Lease) -> AllocatorReply {
    if request.allows_software(lease.software.as_deref()) {
        return AllocatorReply::Lease(Box::new(lease));
    }
    AllocatorReply::UnusableTarget(lease.grant.target.clone())
}

/// Address and software version of a target in an allowed region that has read the long shared
/// parts of the prompt for this instance.
fn reader(node: &Node, query: &SlotQuery) -> Option<(SocketAddr, Option<SoftwareVersion>)> {
    let registry = node.registry.borrow();
    let sent_prompts = node.leases.sent_prompts.borrow();
    let targets = sent_prompts.readers(&query.workload.prompt);
    let usable = targets.filter(|id| !registry.is_unusable(id)).filter_map(|id| registry.get(id));
    let mut allowed =
        usable.filter(|target| residency::allows(node, &query.residency, &target.data_centre));
    allowed.next().map(|target| (target.address, target.software.clone()))
}

/// Charges a call to the ledger that is kept here; the reply if no slot is to be requested now.
fn charge_here(node: &Rc<Node>, call: &mut AllocatorCall, now: Instant) -> Option<AllocatorReply> {
    let workspace = call.charge.as_ref()?;
    if !allocator::owns(node, &call.data_centre) {
        return None;
    }
    let until_latest_start = call.request.latest_start.saturating_duration_since(now);
    let attempt = quota::attempt(node, &call.request.workload, until_latest_start, true);
    match quota::charge_local(node, &call.data_centre, workspace, attempt) {
        Err(after) => Some(AllocatorReply::OverQuota(after)),
        Ok(wait) => {
            call.on_charged(Keeper::Local(call.data_centre.clone()));
            (!wait.is_zero()).then_some(AllocatorReply::Reserved(wait))
        }
    }
}

fn millis_until(to: Instant, now: Instant) -> u64 {
    to.saturating_duration_since(now).as_millis() as u64
}
