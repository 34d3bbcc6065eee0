//! Slots for batch: asked of one account at a time, several at once.

use super::lease::{Grantor, accept_remote_grant, activate};
use super::{Lease, REPLY_TIMEOUT, allocator_owner};
use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerReply, PeerRequest, SlotRequest};
use crate::gateway::node::Node;
use coordination::slots::Purpose;
use std::rc::Rc;
use std::time::Duration;

/// What batch asks of one account.
pub struct BatchQuery<'a> {
    /// Data centre of the account.
    pub data_centre: &'a str,
    /// Service.
    pub service: &'a str,
    /// Time until the most urgent item is due.
    pub due: Duration,
    /// Time in which it must go on to be done by then.
    pub latest_start: Duration,
    /// The same for it to be done for sure.
    pub safe_start: Duration,
    /// Slot time that it needs.
    pub remaining: Duration,
    /// Whether an earlier run has done a part of it.
    pub is_started: bool,
    /// Most slots.
    pub limit: usize,
    /// Longest wait for the first one.
    pub wait: Duration,
}

/// Asks the account of a data centre for slots for batch, and waits for them.
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
    };
    let at = owner.peer;
    let is_here = owner.id == node.id();
    let reply = if is_here {
        allocator::on_slot_request(node, request).await
    } else if node.is_unresponsive(at, now) {
        return None;
    } else {
        node.request(at, &PeerRequest::Slots(request), wait + REPLY_TIMEOUT * 4).await.ok()?
    };
    let PeerReply::Slots(grants, span) = reply else {
        return None;
    };
    node.jobs.run_time.borrow_mut().merge(span);
    let granted = grants.len();
    let lease = |grant| {
        if is_here {
            return Some(activate(node, grant, Purpose::Batch, Grantor::Local));
        }
        accept_remote_grant(node, grant, Purpose::Batch, at).ok()
    };
    let leases: Vec<Lease> = grants.into_iter().filter_map(lease).collect();
    // An account that knows only targets that have left is asked again later.
    let is_vain = granted > 0 && leases.is_empty();
    (!is_vain).then_some(leases)
}
