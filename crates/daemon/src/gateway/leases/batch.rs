//! Batch leases: several slots per request, from one allocator at a time.

use super::lease::{Grantor, accept_remote_grant, activate};
use super::{Lease, REPLY_TIMEOUT, allocator_owner};
use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerReply, PeerRequest, SlotRequest};
use crate::gateway::node::Node;
use coordination::slots::{Purpose, Workload};
use std::rc::Rc;
use std::time::Duration;

/// A request for batch slots to one allocator; times count from now.
pub struct BatchQuery<'a> {
    /// Data centre whose allocator is called.
    pub data_centre: &'a str,
    /// Service whose targets qualify.
    pub service: &'a str,
    /// Time until the most urgent item is due.
    pub due: Duration,
    /// Time by which it must start to be possibly completed when due.
    pub latest_start: Duration,
    /// Time by which it must start to be certainly completed when due.
    pub safe_start: Duration,
    /// Slot time that the item still needs.
    pub remaining: Duration,
    /// Whether an earlier run has completed a part of the item.
    pub is_started: bool,
    /// Maximum number of slots.
    pub limit: usize,
    /// Longest wait for the first slot.
    pub wait: Duration,
    /// What is known of the job's next item.
    pub workload: Workload,
}

/// Acquires leases for batch from the allocator of a data centre. `None` if it can't be reached
/// or granted only unusable targets; empty if no slot was free in time.
pub async fn acquire_batch(node: &Rc<Node>, query: BatchQuery<'_>) -> Option<Vec<Lease>> {
    let BatchQuery {
        data_centre,
        service,
        due,
        latest_start,
        safe_start,
        remaining,
        is_started,
        limit,
        wait,
        workload,
    } = query;
    let owner = allocator_owner(node, data_centre)?;
    let now = clock::now();
    let request = SlotRequest {
        from: node.id(),
        data_centre: data_centre.to_owned(),
        service: service.to_owned(),
        purpose: Purpose::Batch,
        id: node.leases.next_request_id(),
        due_ms: due.as_millis() as u64,
        remaining_ms: remaining.as_millis() as u64,
        is_started,
        latest_start_ms: latest_start.as_millis() as u64,
        safe_start_ms: safe_start.as_millis() as u64,
        expires_ms: wait.as_millis() as u64,
        total_slots: 0,
        wait_ms: wait.as_millis() as u64,
        limit,
        excluded: Vec::new(),
        software: None,
        charge: None,
        accepts_reservation: false,
        workload,
    };
    let address = owner.peer;
    let is_local = owner.id == node.id();
    let reply = if is_local {
        allocator::on_slot_request(node, request).await
    } else if node.is_unresponsive(address, now) {
        return None;
    } else {
        node.request(address, &PeerRequest::Slots(Box::new(request)), wait + REPLY_TIMEOUT * 4)
            .await
            .ok()?
    };
    let PeerReply::Slots(grants, run_time) = reply else {
        return None;
    };
    node.jobs.run_time.borrow_mut().merge(run_time);
    let grant_count = grants.len();
    let lease = |grant| {
        if is_local {
            return Some(activate(node, grant, Purpose::Batch, Grantor::Local, now));
        }
        accept_remote_grant(node, grant, Purpose::Batch, address, now).ok()
    };
    let leases: Vec<Lease> = grants.into_iter().filter_map(lease).collect();
    // All grants were on unusable targets: the caller retries later.
    let is_outdated = grant_count > 0 && leases.is_empty();
    (!is_outdated).then_some(leases)
}
