//! Evacuations of data centres: their targets receive nothing until the operator withdraws the
//! order.
//!
//! The watchers of [`super::watch`] read them, and changes are sent to all instances at once. An
//! instance that starts takes them from the first other one that knows them. Earlier versions of
//! the program don't, so among those an instance reads the platform itself.

use super::broadcast;
use super::call_reason::CallReason;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use crate::clock;
use coordination::evacuation::{Change, Digest};
use coordination::membership::Member;
use platform::evacuation::KIND;
use platform::store::{Changes, Listing, Object};
use std::rc::Rc;
use std::time::Duration;

const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between reads of the platform while other instances can't tell.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Handles a full listing of the platform's evacuations.
pub fn on_list(node: &Rc<Node>, listing: &Listing) {
    let listed: Vec<_> = listing
        .objects
        .iter()
        .map(|object| (object.name.clone(), object.revision))
        // Whatever the object holds, its existence orders the evacuation.
        .chain(
            listing
                .undecodable
                .iter()
                .filter_map(|found| found.name.clone().map(|name| (name, listing.revision))),
        )
        .collect();
    let changes = node.evacuations.borrow_mut().on_list(listed, listing.revision);
    on_platform_changes(node, changes);
}

/// Handles changes delivered by a watch.
pub fn on_watched(node: &Rc<Node>, changes: &Changes) {
    let change = |object: &Object, is_removed: bool| Change {
        data_centre: object.name.clone(),
        revision: if is_removed { changes.revision } else { object.revision },
        is_active: !is_removed,
    };
    // Of several changes of an object in one response only the last counts, since a removal has
    // the revision of the whole response.
    let is_last = |index: usize, name: &str| {
        changes.changes.iter().skip(index + 1).all(|later| later.object.name != name)
    };
    let latest = changes.changes.iter().enumerate();
    let latest = latest.filter(|(index, found)| is_last(*index, &found.object.name));
    let mut new: Vec<Change> =
        latest.map(|(_, found)| change(&found.object, found.removed)).collect();
    let undecodable = changes.undecodable.iter().filter_map(|found| found.name.clone());
    new.extend(undecodable.map(|name| Change {
        data_centre: name,
        revision: changes.revision,
        is_active: true,
    }));
    new.retain(|change| node.evacuations.borrow_mut().on_change(change));
    on_platform_changes(node, new);
}

fn on_platform_changes(node: &Rc<Node>, changes: Vec<Change>) {
    on_applied(node, &changes, "platform");
    if !changes.is_empty() {
        broadcast::send(node, Update::Evacuations(changes));
    }
}

/// Applies changes from another instance; returns whether any was new.
pub fn on_changes(node: &Rc<Node>, changes: Vec<Change>, from: &str) -> bool {
    let is_new = |change: &Change| node.evacuations.borrow_mut().on_change(change);
    let applied: Vec<Change> = changes.into_iter().filter(is_new).collect();
    on_applied(node, &applied, from);
    !applied.is_empty()
}

fn on_applied(node: &Rc<Node>, applied: &[Change], from: &str) {
    if applied.is_empty() {
        return;
    }
    let active = node.evacuations.borrow().active();
    for change in applied {
        let registry = node.registry.borrow();
        let is_there =
            |target: &&protocol::routing::Target| target.data_centre == change.data_centre;
        slog::info!(node.log, "evacuation"; "data_centre" => &change.data_centre,
            "in_force" => change.is_active, "revision" => change.revision, "from" => from,
            "targets" => registry.staying().filter(is_there).count(), "all" => ?active);
    }
    // Targets may have turned cold while they were evacuated.
    for change in applied.iter().filter(|change| !change.is_active) {
        let registry = node.registry.borrow();
        let targets = registry.staying().filter(|target| target.data_centre == change.data_centre);
        let mut starts = node.starts.borrow_mut();
        for target in targets {
            starts.entry(target.id.clone()).and_modify(|start| start.known_since = clock::now());
        }
    }
    node.registry.borrow_mut().set_evacuated(active);
    // What waits for a slot there looks for another one.
    super::allocator::grant_waiters(node);
    node.jobs.wake();
}

/// Fetches the evacuations from an instance whose digest differs.
pub async fn compare(node: &Rc<Node>, other: &Member, digest: Option<Digest>) {
    match digest {
        Some(digest) if digest.is_known => {
            if node.evacuations.borrow().digest() != digest {
                fetch(node, other).await;
            }
        }
        // It has just started.
        Some(_) => {}
        None => read_platform(node).await,
    }
}

async fn fetch(node: &Rc<Node>, other: &Member) {
    let reply = node.request(other.peer, &PeerRequest::Evacuations, FETCH_TIMEOUT).await;
    if let Ok(PeerReply::Evacuations(changes)) = reply {
        on_changes(node, changes, "compared");
        node.evacuations.borrow_mut().set_known();
    }
}

/// Reads the platform, at most once in [`READ_INTERVAL`].
async fn read_platform(node: &Rc<Node>) {
    let is_recent = |at| clock::since(at) < READ_INTERVAL;
    if node.evacuations_read.get().is_some_and(is_recent) || node.store.is_disconnected() {
        return;
    }
    node.evacuations_read.set(Some(clock::now()));
    node.store.count_call(CallReason::Watch);
    match node.store.without_breaker().list_all(KIND).await {
        Ok(listing) => on_list(node, &listing),
        Err(error) => slog::info!(node.log, "evacuations not read"; "fault" => %error),
    }
}
