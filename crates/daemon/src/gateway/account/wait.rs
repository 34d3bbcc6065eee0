//! A wait in several accounts at once: the first slot counts, the other places
//! are given up.

use super::{Answer, Outcome, Refusal, Visit, Want, ask, keeper};
use crate::gateway::keeper as kept;
use crate::gateway::message::{Ask, Ticket};
use crate::gateway::node::Node;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use protocol::DataCentreId;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Longest wait before the accounts are looked up anew: a keeper may have gone,
/// and others may have slots by now. Turns depend on the request, not on when it
/// began to wait, so nothing is lost by asking again. Longer than the 250 ms
/// between heartbeats, and a fifth of the shortest time that callers wait.
const RENEW: Duration = Duration::from_millis(400);

/// Waits for the first slot in any of the accounts.
pub(super) async fn first(node: &Rc<Node>, want: &Want, names: Vec<DataCentreId>) -> Outcome {
    let left = want.until.saturating_duration_since(Instant::now());
    let reach = reach(node, want, &names);
    let visits = names.iter().map(|name| {
        let mut visit = Visit::look(node, want, name);
        visit.ask.reach = reach;
        visit.ask.may_wait = true;
        visit.wait = left.min(RENEW);
        visit
    });
    let visits: Vec<Visit> = visits.collect();
    let tickets = visits.iter().map(|visit| (visit.data_centre.clone(), visit.ticket)).collect();
    let waits = visits.into_iter().map(|visit| ask(node.clone(), visit)).collect();
    let mut places = Places { node: node.clone(), tickets, waits: Some(waits) };
    places.first(left).await
}

/// Slots of the accounts together.
fn reach(node: &Node, want: &Want, names: &[DataCentreId]) -> u32 {
    let registry = node.registry.borrow();
    let fits = |target: &&protocol::routing::Target| {
        target.service == want.service && names.contains(&target.data_centre)
    };
    registry.usable().filter(fits).map(|target| target.slots).sum()
}

/// Places in several accounts; those that are left are given up when it is dropped.
struct Places<F: Future<Output = Answer> + 'static> {
    node: Rc<Node>,
    tickets: Vec<(DataCentreId, Ticket)>,
    waits: Option<FuturesUnordered<F>>,
}

impl<F: Future<Output = Answer> + 'static> Places<F> {
    async fn first(&mut self, left: Duration) -> Outcome {
        let mut shortest: Option<Duration> = None;
        let mut is_pending = false;
        while let Some(waits) = self.waits.as_mut()
            && let Some(answer) = waits.next().await
        {
            match answer {
                Answer::Lease(lease) => return Outcome::Lease(lease),
                Answer::Full(after) => {
                    shortest = Some(shortest.map_or(after, |known| known.min(after)));
                }
                Answer::Pending => is_pending = true,
                Answer::Silent => {}
            }
        }
        match shortest {
            _ if is_pending && left > RENEW => Outcome::Pending,
            Some(after) => Outcome::Refused(Refusal::Full(after)),
            None if left > RENEW => Outcome::Pending,
            None => Outcome::Refused(Refusal::Full(RENEW)),
        }
    }
}

impl<F: Future<Output = Answer> + 'static> Drop for Places<F> {
    fn drop(&mut self) {
        let Some(waits) = self.waits.take().filter(|waits| !waits.is_empty()) else {
            return;
        };
        for (data_centre, ticket) in &self.tickets {
            let wish = (self.node.id(), *ticket);
            match keeper(&self.node, data_centre) {
                Some(keeper) if keeper.id == wish.0 => kept::on_withdrawn(&self.node, wish),
                Some(keeper) => self.node.tell(keeper.peer, Ask::Withdraw(wish.0, wish.1)),
                None => {}
            }
        }
        // A grant that has crossed the withdrawal is given back as it is dropped.
        spawn_local(async move { waits.for_each(|answer| async move { drop(answer) }).await });
    }
}
