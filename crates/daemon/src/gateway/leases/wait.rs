//! Acquires a slot from several allocators at once: waits at the nearest, which has no free
//! slot, tries the others, then waits at all that replied. The first grant is used, and the
//! other requests are cancelled.

use super::{
    AcquireError, AllocatorCall, AllocatorReply, Outcome, SlotQuery, allocator_owner,
    call_allocator,
};
use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerRequest, SlotRequestId};
use crate::gateway::node::Node;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use protocol::DataCentreId;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Longest wait in the queues before the allocators are looked up again, since an owner may be
/// gone. A request loses nothing by queueing again: its priority does not depend on when it was
/// queued. Longer than the heartbeat interval.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(400);

/// Acquires the first slot that the allocators of some data centres grant. The first data
/// centre is the nearest, whose allocator has just reported no free slot.
pub(super) async fn first_grant(
    node: &Rc<Node>,
    query: &SlotQuery,
    names: Vec<DataCentreId>,
) -> Outcome {
    let mut names = names.into_iter();
    let Some(nearest) = names.next() else {
        return Outcome::NoReply;
    };
    let all: Vec<DataCentreId> = std::iter::once(nearest.clone()).chain(names.clone()).collect();
    let mut search = Search {
        calls: PendingCalls {
            node: node.clone(),
            queued: Vec::new(),
            requests: FuturesUnordered::new(),
        },
        start: call_allocator,
        query,
        total_slots: total_slots(node, query, &all),
        rejected: Vec::new(),
        shortest_wait: None,
        is_pending: false,
    };
    // An unresponsive allocator must not delay the wait at the nearest one.
    search.queue_at(&nearest);
    search.run(names).await
}

/// Number of slots of all these allocators.
fn total_slots(node: &Node, query: &SlotQuery, names: &[DataCentreId]) -> u32 {
    let registry = node.registry.borrow();
    let fits = |target: &&protocol::routing::Target| {
        target.service == query.service
            && (query.software.is_none() || query.software == target.software)
            && names.contains(&target.data_centre)
    };
    registry.usable().filter(fits).map(|target| target.slots).sum()
}

struct Search<'a, S, F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> {
    calls: PendingCalls<F>,
    /// Starts a call to an allocator.
    start: S,
    query: &'a SlotQuery,
    total_slots: u32,
    /// Data centres beside the nearest that rejected an immediate request.
    rejected: Vec<DataCentreId>,
    shortest_wait: Option<Duration>,
    is_pending: bool,
}

impl<S, F> Search<'_, S, F>
where
    S: Fn(Rc<Node>, AllocatorCall) -> F,
    F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static,
{
    fn queue_at(&mut self, name: &str) {
        let node = self.calls.node.clone();
        let mut call = AllocatorCall::immediate(&node, self.query, name);
        call.request.total_slots = self.total_slots;
        call.request.may_wait = true;
        call.wait = self.remaining().min(MAX_QUEUE_WAIT);
        self.calls.queued.push((call.data_centre.clone(), call.id));
        self.calls.requests.push((self.start)(node, call));
    }

    fn try_at(&mut self, name: &str) {
        let node = self.calls.node.clone();
        let call = AllocatorCall::immediate(&node, self.query, name);
        self.calls.requests.push((self.start)(node, call));
    }

    fn remaining(&self) -> Duration {
        self.query.expires.saturating_duration_since(clock::now())
    }

    /// Tries one data centre after the other, so that no two grant a slot at once, then waits
    /// at all that replied.
    async fn run(&mut self, mut names: impl Iterator<Item = DataCentreId>) -> Outcome {
        self.try_next(&mut names);
        while let Some((call, reply)) = self.calls.requests.next().await {
            let is_immediate = !call.request.may_wait;
            match reply {
                AllocatorReply::Lease(lease) => return Outcome::Lease(lease),
                AllocatorReply::Full(_) | AllocatorReply::Pending if is_immediate => {
                    self.rejected.push(call.data_centre);
                }
                AllocatorReply::Full(after) => {
                    self.shortest_wait =
                        Some(self.shortest_wait.map_or(after, |known| known.min(after)));
                }
                AllocatorReply::Pending => self.is_pending = true,
                AllocatorReply::UnusableTarget(_)
                | AllocatorReply::Unresponsive
                | AllocatorReply::Reserved(_)
                | AllocatorReply::OverQuota(_) => {}
            }
            if is_immediate {
                self.try_next(&mut names);
            }
        }
        self.outcome()
    }

    fn try_next(&mut self, names: &mut impl Iterator<Item = DataCentreId>) {
        if let Some(name) = names.next() {
            self.try_at(&name);
            return;
        }
        for name in std::mem::take(&mut self.rejected) {
            self.queue_at(&name);
        }
    }

    fn outcome(&self) -> Outcome {
        match self.shortest_wait {
            _ if self.is_pending && !self.remaining().is_zero() => Outcome::Pending,
            Some(after) => Outcome::Rejected(AcquireError::Full(after)),
            None if self.is_pending => Outcome::Rejected(AcquireError::Full(MAX_QUEUE_WAIT)),
            None => Outcome::NoReply,
        }
    }
}

/// Calls in progress; dropping it cancels those that remain.
struct PendingCalls<F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> {
    node: Rc<Node>,
    /// Requests that may wait in an allocator's queue.
    queued: Vec<(DataCentreId, SlotRequestId)>,
    requests: FuturesUnordered<F>,
}

impl<F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> Drop for PendingCalls<F> {
    fn drop(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        if requests.is_empty() {
            return;
        }
        for (data_centre, id) in &self.queued {
            let request = (self.node.id(), *id);
            match allocator_owner(&self.node, data_centre) {
                Some(owner) if owner.id == request.0 => {
                    allocator::on_cancelled(&self.node, request)
                }
                Some(owner) => {
                    self.node.notify(owner.peer, PeerRequest::CancelSlots(request.0, request.1))
                }
                None => {}
            }
        }
        // A lease granted before the cancellation arrived is released when dropped.
        spawn_local(async move { requests.for_each(|reply| async move { drop(reply) }).await });
    }
}
