//! A search in several accounts at once: a wait where nothing was free, looks at
//! the others, a wait there too. The first slot counts, the other places are given
//! up.

use super::{Answer, Outcome, Refusal, Visit, Want, allocator_owner, ask};
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
const RENEW: Duration = Duration::from_millis(400);

/// Searches the accounts of some data centres, the nearest first, which has just
/// said that nothing is free there.
pub(super) async fn first(node: &Rc<Node>, want: &Want, names: Vec<DataCentreId>) -> Outcome {
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
        want,
        reach: reach(node, want, &all),
        answered: Vec::new(),
        shortest: None,
        is_pending: false,
    };
    // A silent account must not hold up the wait at one that answers.
    search.wait_at(&nearest);
    search.run(names).await
}

/// Slots of the accounts together.
fn reach(node: &Node, want: &Want, names: &[DataCentreId]) -> u32 {
    let registry = node.registry.borrow();
    let fits = |target: &&protocol::routing::Target| {
        target.service == want.service && names.contains(&target.data_centre)
    };
    registry.usable().filter(fits).map(|target| target.slots).sum()
}

struct Search<'a, S, F: Future<Output = (Visit, Answer)> + 'static> {
    places: Places<F>,
    /// Makes a wish.
    start: S,
    want: &'a Want,
    reach: u32,
    /// Data centres beside the nearest that have answered a look.
    answered: Vec<DataCentreId>,
    shortest: Option<Duration>,
    is_pending: bool,
}

impl<S, F> Search<'_, S, F>
where
    S: Fn(Rc<Node>, Visit) -> F,
    F: Future<Output = (Visit, Answer)> + 'static,
{
    fn wait_at(&mut self, name: &str) {
        let node = self.places.node.clone();
        let mut visit = Visit::look(&node, self.want, name);
        visit.ask.total_slots = self.reach;
        visit.ask.may_wait = true;
        visit.wait = self.left().min(RENEW);
        self.places.pending.push((visit.data_centre.clone(), visit.id));
        self.places.requests.push((self.start)(node, visit));
    }

    fn look_at(&mut self, name: &str) {
        let node = self.places.node.clone();
        let visit = Visit::look(&node, self.want, name);
        self.places.requests.push((self.start)(node, visit));
    }

    fn left(&self) -> Duration {
        self.want.until.saturating_duration_since(clock::now())
    }

    /// Looks at one data centre after the other, so that no two give a slot, then
    /// waits at all that answered.
    async fn run(&mut self, mut names: impl Iterator<Item = DataCentreId>) -> Outcome {
        self.look_at_next(&mut names);
        while let Some((visit, answer)) = self.places.requests.next().await {
            let is_look = !visit.ask.may_wait;
            match answer {
                Answer::Lease(lease) => return Outcome::Lease(lease),
                Answer::Full(_) | Answer::Pending if is_look => {
                    self.answered.push(visit.data_centre);
                }
                Answer::Full(after) => {
                    self.shortest = Some(self.shortest.map_or(after, |known| known.min(after)));
                }
                Answer::Pending => self.is_pending = true,
                Answer::Left(_) | Answer::Silent => {}
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
            Some(after) => Outcome::Refused(Refusal::Full(after)),
            None if self.is_pending => Outcome::Refused(Refusal::Full(RENEW)),
            None => Outcome::Unanswered,
        }
    }
}

/// Wishes under way; those that are left are given up when it is dropped.
struct Places<F: Future<Output = (Visit, Answer)> + 'static> {
    node: Rc<Node>,
    /// Places in accounts' queues.
    pending: Vec<(DataCentreId, SlotRequestId)>,
    requests: FuturesUnordered<F>,
}

impl<F: Future<Output = (Visit, Answer)> + 'static> Drop for Places<F> {
    fn drop(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        if requests.is_empty() {
            return;
        }
        for (data_centre, id) in &self.pending {
            let request = (self.node.id(), *id);
            match allocator_owner(&self.node, data_centre) {
                Some(owner) if owner.id == request.0 => {
                    allocator::on_withdrawn(&self.node, request)
                }
                Some(owner) => {
                    self.node.notify(owner.peer, PeerRequest::CancelSlots(request.0, request.1))
                }
                None => {}
            }
        }
        // A grant that has crossed the withdrawal is given back as it is dropped.
        spawn_local(async move { requests.for_each(|answer| async move { drop(answer) }).await });
    }
}
