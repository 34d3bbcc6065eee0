//! Learns which software versions may have served, from other instances and from the platform.

use super::{JOIN_PERIOD, RETENTION};
use crate::clock;
use crate::gateway::leases::AcquireError;
use crate::gateway::message::{PeerReply, PeerRequest, Update};
use crate::gateway::node::Node;
use crate::gateway::releases::{CLEANUP_INTERVAL, Keeper, List};
use crate::gateway::{broadcast, watch};
use coordination::membership::State;
use coordination::releases::{History, Release};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Longest wait for the instance that keeps the list of versions.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait of a caller for the list of versions, which is read on meanwhile.
const LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks for new versions.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a check after which this instance may have missed changes.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);
/// Longest wait of a caller for two calls of the platform that begin after its request; short
/// beside what it waits for the next event.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// Learns which versions may have served, unless that is known since the start.
///
/// # Errors
///
/// Returns [`AcquireError::NoReply`] if that can't be learned in time.
pub(super) async fn ensure_listed(node: &Rc<Node>) -> Result<(), AcquireError> {
    if !needs_list(node, None) {
        return Ok(());
    }
    let learning = spawn_local(learn_in_turn(node.clone(), None));
    match tokio::time::timeout(LIST_TIMEOUT, learning).await {
        Ok(Ok(true)) => Ok(()),
        _ => Err(AcquireError::NoReply),
    }
}

fn needs_list(node: &Node, only: Option<&Release>) -> bool {
    let releases = node.releases.borrow();
    only.map_or(!releases.is_listed(), |release| releases.needs_list(release, clock::now()))
}

/// Makes sure that all versions are known that were registered before `time`, by a read of the
/// platform that began no earlier. Requests that come during a read share the next one.
///
/// # Errors
///
/// Returns [`AcquireError::NoReply`] if the platform doesn't reply in time.
pub(super) async fn ensure_fresh(node: &Rc<Node>, time: Instant) -> Result<(), AcquireError> {
    if node.store.is_disconnected() || node.store.is_backing_off(clock::now()) {
        return Err(AcquireError::NoReply);
    }
    let reading = spawn_local(refresh_in_turn(node.clone(), time));
    match tokio::time::timeout(REFRESH_TIMEOUT, reading).await {
        Ok(Ok(true)) => Ok(()),
        _ => Err(AcquireError::NoReply),
    }
}

/// Learns which versions were registered before `time`, unless another call does so first; `false`
/// if that failed.
async fn refresh_in_turn(node: Rc<Node>, time: Instant) -> bool {
    let _turn = node.release_calls.lock().await;
    let is_fresh = || node.releases.borrow().is_fresh(time);
    // A caller has a response after the timeout.
    if is_fresh() || clock::since(time) >= REFRESH_TIMEOUT {
        return is_fresh();
    }
    list(&node).refresh().await.is_ok() && is_fresh()
}

/// Reads the list again if it may have lost the other versions of a service.
pub(super) fn relist(node: &Rc<Node>, only: &Release) {
    let is_due = needs_list(node, Some(only)) && !node.store.is_backing_off(clock::now());
    if is_due && node.release_calls.try_lock().is_ok() {
        spawn_local(learn_in_turn(node.clone(), Some(only.clone())));
    }
}

/// The list of versions on the platform.
fn list(node: &Node) -> List<'_> {
    List {
        store: &node.store,
        releases: &node.releases,
        log: &node.log,
        is_first_start: node.settings.is_first_start,
        lifetime: node.origins.borrow().longest_lifetime(),
    }
}

/// Lists a version on the platform unless it is listed; `false` if that failed.
pub async fn record(node: Rc<Node>, release: Release) -> bool {
    let _turn = node.release_calls.lock().await;
    let is_recorded = node.releases.borrow().is_recorded(&release);
    is_recorded || list(&node).record(&release).await.is_ok()
}

/// Learns which versions may have served, unless another call does so first; `false` if that
/// failed.
async fn learn_in_turn(node: Rc<Node>, only: Option<Release>) -> bool {
    let _turn = node.release_calls.lock().await;
    !needs_list(&node, only.as_ref()) || learn_releases(&node).await
}

/// Learns which versions may have served: after the start from the instance that keeps the list,
/// else from the platform. `false` if that failed.
async fn learn_releases(node: &Rc<Node>) -> bool {
    let was_listed = node.releases.borrow().was_listed();
    let keeper = if was_listed { None } else { watch::global_watcher(node) };
    if let Some(address) = keeper {
        if let Some(history) = ask_history(node, address).await {
            slog::info!(node.log, "earlier software versions known"; "from" => %address,
                "complete_since" => history.complete_since);
            node.releases.borrow_mut().on_history(history, clock::now());
            return true;
        }
        // It may know them soon.
        if clock::since(node.started) < JOIN_PERIOD {
            return false;
        }
    }
    list(node).read().await.is_ok()
}

/// The versions that another instance knows; `None` if it doesn't reply or doesn't know them.
async fn ask_history(node: &Rc<Node>, address: SocketAddr) -> Option<History> {
    let ask =
        async |request: PeerRequest| node.try_request(address, &request, KEEPER_TIMEOUT).await.ok();
    if let PeerReply::ReleaseHistory(history) = ask(PeerRequest::ReleaseHistory).await? {
        return Some(history);
    }
    // An earlier build knows no history, and only its list can be had.
    match ask(PeerRequest::Releases).await? {
        PeerReply::Releases(releases) => {
            Some(History { releases, complete_since: 0, lifetime_ms: 0 })
        }
        _ => None,
    }
}

/// Learns which versions serve, and which served before the start, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    spawn_local(keep_list(node.clone(), stop.clone()));
    let mut registry_version = None;
    let mut members_version = None;
    let mut forgotten_at = clock::now();
    let mut checked_at = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(RELEASE_CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let version = node.registry.borrow().version();
        if registry_version.replace(version) != Some(version) {
            let registry = node.registry.borrow();
            let mut releases = node.releases.borrow_mut();
            releases.set_present(registry.releases());
            releases.on_ended(registry.ended_releases());
        }
        let now = clock::now();
        node.releases.borrow_mut().on_time(now);
        let was_suspended = now.saturating_duration_since(checked_at) >= MIN_SUSPENSION;
        checked_at = now;
        let has_joined = clock::since(node.started) >= JOIN_PERIOD;
        let version = has_joined.then(|| node.members.borrow().version());
        let has_new_members = std::mem::replace(&mut members_version, version) != version;
        if was_suspended || (has_new_members && is_alone(&node)) {
            node.releases.borrow_mut().on_missed();
        }
        // The keeper of the list reads it first, and the others ask it.
        let is_keeper = watch::global_watcher(&node).is_none();
        let is_turn = is_keeper || clock::since(node.started) >= JOIN_PERIOD / 2;
        // Versions that no target states any more are in the list, too.
        let must_learn = {
            let releases = node.releases.borrow();
            let is_outdated = releases.was_listed() && !releases.is_listed();
            let is_overdue = has_joined && !releases.was_listed();
            releases.has_unlisted() || is_overdue || (is_keeper && is_outdated)
        };
        if is_turn && must_learn && !node.store.is_backing_off(now) {
            let _turn = node.release_calls.lock().await;
            learn_releases(&node).await;
            // Calls of a slow platform are no suspension.
            checked_at = clock::now();
        }
        if clock::since(forgotten_at) >= CLEANUP_INTERVAL && !is_keeper {
            forgotten_at = clock::now();
            let mut releases = node.releases.borrow_mut();
            for release in releases.expired(RETENTION, forgotten_at) {
                releases.on_removed(&release);
            }
        }
    }
}

/// Whether this instance reaches no other one, or none of a data centre with targets.
fn is_alone(node: &Node) -> bool {
    let members = node.members.borrow();
    let is_lone = members.losses() > 0 && members.others().all(|other| other.state != State::Alive);
    drop(members);
    is_lone || node.is_isolated()
}

/// Keeps the list of versions for all instances, or stands by, while this one watches the registry.
async fn keep_list(node: Rc<Node>, stop: CancellationToken) {
    let mut keeper: Option<Keeper> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(RELEASE_CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let is_watching = node.releases.borrow().watched().is_some()
            && watch::watches_targets(&node)
            && !node.is_stopping()
            && !node.store.is_disconnected();
        if !is_watching {
            keeper = None;
            continue;
        }
        let now = clock::now();
        let is_first = watch::global_watcher(&node).is_none();
        if keeper.as_ref().is_some_and(|keeper| keeper.is_first() != is_first) {
            keeper = None;
        }
        let keeper = keeper.get_or_insert_with(|| Keeper::new(is_first, now));
        if !keeper.is_due(&list(&node), now) {
            continue;
        }
        let _turn = node.release_calls.lock().await;
        let present = || node.registry.borrow().releases();
        for release in keeper.run(&list(&node), RETENTION, present, now).await {
            broadcast::send(&node, Update::Release(release));
        }
    }
}
