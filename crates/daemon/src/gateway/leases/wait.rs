//! A search in several accounts at once: a wait where nothing was free, looks at
//! the others, a wait there too. The first slot counts, the other places are given
//! up.

use super::{
    AcquireError, AllocatorCall, AllocatorReply, Outcome, SlotQuery, allocator_owner, ask,
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

/// Longest wait before the accounts are looked up anew: a keeper may have gone,
/// and others may have slots by now. Turns depend on the request, not on when it
/// began to wait, so nothing is lost by asking again. Longer than the 250 ms
/// between heartbeats, and a fifth of the shortest time that callers wait.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(400);

/// Searches the accounts of some data centres, the nearest first, which has just
/// said that nothing is free there.
pub(super) async fn first(node: &Rc<Node>, query: &SlotQuery, names: Vec<DataCentreId>) -> Outcome {
    let mut names = names.into_iter();
    let Some(nearest) = names.next() else {
        return Outcome::Unanswered;
    };
    let all: Vec<DataCentreId> = std::iter::once(nearest.clone()).chain(names.clone()).collect();
    let mut search = Search {
        places: Places {
            node: node.clone(),
            pending: Vec::new(),
            requests: FuturesUnordered::new(),
        },
        start: ask,
        query,
        reach: reach(node, query, &all),
        answered: Vec::new(),
        shortest: None,
        is_pending: false,
    };
    // A silent account must not hold up the wait at one that answers.
    search.wait_at(&nearest);
    search.run(names).await
}

/// Slots of the accounts together.
fn reach(node: &Node, query: &SlotQuery, names: &[DataCentreId]) -> u32 {
    let registry = node.registry.borrow();
    let fits = |target: &&protocol::routing::Target| {
        target.service == query.service && names.contains(&target.data_centre)
    };
    registry.usable().filter(fits).map(|target| target.slots).sum()
}

struct Search<'a, S, F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> {
    places: Places<F>,
    /// Makes a wish.
    start: S,
    query: &'a SlotQuery,
    reach: u32,
    /// Data centres beside the nearest that have answered a look.
    answered: Vec<DataCentreId>,
    shortest: Option<Duration>,
    is_pending: bool,
}

impl<S, F> Search<'_, S, F>
where
    S: Fn(Rc<Node>, AllocatorCall) -> F,
    F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static,
{
    fn wait_at(&mut self, name: &str) {
        let node = self.places.node.clone();
        let mut call = AllocatorCall::look(&node, self.query, name);
        call.ask.total_slots = self.reach;
        call.ask.may_wait = true;
        call.wait = self.left().min(MAX_QUEUE_WAIT);
        self.places.pending.push((call.data_centre.clone(), call.id));
        self.places.requests.push((self.start)(node, call));
    }

    fn look_at(&mut self, name: &str) {
        let node = self.places.node.clone();
        let call = AllocatorCall::look(&node, self.query, name);
        self.places.requests.push((self.start)(node, call));
    }

    fn left(&self) -> Duration {
        self.query.expires.saturating_duration_since(clock::now())
    }

    /// Looks at one data centre after the other, so that no two give a slot, then
    /// waits at all that answered.
    async fn run(&mut self, mut names: impl Iterator<Item = DataCentreId>) -> Outcome {
        self.look_at_next(&mut names);
        while let Some((call, reply)) = self.places.requests.next().await {
            let is_look = !call.ask.may_wait;
            match reply {
                AllocatorReply::Lease(lease) => return Outcome::Lease(lease),
                AllocatorReply::Full(_) | AllocatorReply::Pending if is_look => {
                    self.answered.push(call.data_centre);
                }
                AllocatorReply::Full(after) => {
                    self.shortest = Some(self.shortest.map_or(after, |known| known.min(after)));
                }
                AllocatorReply::Pending => self.is_pending = true,
                AllocatorReply::TargetLeft(_) | AllocatorReply::Unresponsive => {}
            }
            if is_look {
                self.look_at_next(&mut names);
            }
        }
        self.outcome()
    }

    fn look_at_next(&mut self, names: &mut impl Iterator<Item = DataCentreId>) {
        if let Some(name) = names.next() {
            self.look_at(&name);
            return;
        }
        for name in std::mem::take(&mut self.answered) {
            self.wait_at(&name);
        }
    }

    fn outcome(&self) -> Outcome {
        match self.shortest {
            _ if self.is_pending && !self.left().is_zero() => Outcome::Pending,
            Some(after) => Outcome::Refused(AcquireError::Full(after)),
            None if self.is_pending => Outcome::Refused(AcquireError::Full(MAX_QUEUE_WAIT)),
            None => Outcome::Unanswered,
        }
    }
}

/// Wishes under way; those that are left are given up when it is dropped.
struct Places<F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> {
    node: Rc<Node>,
    /// Places in accounts' queues.
    pending: Vec<(DataCentreId, SlotRequestId)>,
    requests: FuturesUnordered<F>,
}

impl<F: Future<Output = (AllocatorCall, AllocatorReply)> + 'static> Drop for Places<F> {
    fn drop(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        if requests.is_empty() {
            return;
        }
        for (data_centre, id) in &self.pending {
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
        // A grant that has crossed the withdrawal is given back as it is dropped.
        spawn_local(async move { requests.for_each(|reply| async move { drop(reply) }).await });
    }
}
