//! Tells other instances what began the streams forwarded here, and asks them about streams that
//! callers take up again.
//!
//! All instances that know a stream may be gone. What it began at is then clear only where a single
//! software version has served, so the versions are listed on the platform until callers of their
//! streams can't return any more.

use super::leases::AcquireError;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use super::releases::{CLEANUP_INTERVAL, Keeper, List};
use super::{broadcast, watch};
use crate::clock;
use coordination::membership::{Member, MemberTable, State};
use coordination::origins::{self, Place};
use coordination::releases::{History, Release};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use protocol::routing::Origin;
use protocol::{InstanceId, ServiceId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Longest wait for the instances that may know a stream: much longer than a round trip between
/// data centres, and short beside what a caller waits for the next event.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after its start within which an instance may not know all others.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
/// How long callers who state no deadline may return.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(60);
/// Longest wait for the instance that keeps the list of versions.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait of a caller for the list of versions, which is read on meanwhile.
const LIST_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between checks for new versions.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a check after which this instance may have missed changes.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);
/// Longest time for which an origin is kept, whatever deadline a caller states.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Time that is added to a caller's deadline, for requests on their way and clocks that differ.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);

/// Stores the origin of a stream here and at its keepers; `timeout` is the caller's.
pub fn store(node: &Rc<Node>, attempt: &str, origin: &Origin, timeout: Option<Duration>) {
    if attempt.is_empty() {
        return;
    }
    let lifetime = timeout.unwrap_or(DEFAULT_LIFETIME).min(MAX_LIFETIME) + LIFETIME_MARGIN;
    on_store(node, attempt, origin.clone(), lifetime);
    for keeper in keepers(node, attempt) {
        let request = PeerRequest::StoreOrigin {
            attempt: attempt.to_owned(),
            origin: origin.clone(),
            lifetime_ms: lifetime.as_millis() as u64,
        };
        node.notify(keeper, request);
    }
}

/// Handles an origin that another instance stores here, or this one.
pub fn on_store(node: &Node, attempt: &str, origin: Origin, lifetime: Duration) {
    let lifetime = lifetime.min(MAX_LIFETIME + LIFETIME_MARGIN);
    node.origins.borrow_mut().store(attempt.to_owned(), origin, lifetime, clock::now());
}

/// The origin of an attempt as known here.
pub fn known(node: &Node, attempt: &str) -> Option<Origin> {
    node.origins.borrow().get(attempt, clock::now()).cloned()
}

/// Finds the origin of the stream that an attempt began, here or at another instance.
///
/// # Errors
///
/// Returns [`AcquireError::UnknownVersion`] if none knows it, and [`AcquireError::NoReply`] if some
/// that may know it can't be asked.
pub async fn find(node: &Rc<Node>, attempt: &str) -> Result<Origin, AcquireError> {
    if let Some(origin) = known(node, attempt) {
        return Ok(origin);
    }
    let mut replies: FuturesUnordered<_> = candidates(node, attempt)
        .into_iter()
        .map(|candidate| ask(node, candidate, attempt))
        .collect();
    let mut has_all_replies = true;
    while let Some(reply) = replies.next().await {
        match reply {
            Some(Some(origin)) => return Ok(origin),
            Some(None) => {}
            None => has_all_replies = false,
        }
    }
    if !has_all_replies || may_be_outdated(node) {
        return Err(AcquireError::NoReply);
    }
    Err(AcquireError::UnknownVersion)
}

/// Whether targets of a service state versions, or did so lately, as far as this instance knows.
pub fn has_versions(node: &Node, service: &str) -> bool {
    node.registry.borrow().states_software(service) || node.releases.borrow().has_versions(service)
}

/// Whether one of some services has versions, or may have had some before the start of this
/// instance.
///
/// # Errors
///
/// Returns [`AcquireError::NoReply`] if the versions before the start can't be learned.
pub async fn any_has_versions(
    node: &Rc<Node>,
    services: impl Iterator<Item = &ServiceId> + Clone,
) -> Result<bool, AcquireError> {
    let is_known = || services.clone().any(|service| has_versions(node, service));
    if is_known() {
        return Ok(true);
    }
    ensure_listed(node, None).await?;
    Ok(is_known())
}

/// Learns which versions may have served, if that is needed to tell whether one has been the only
/// one of its service, or whether there has been any.
async fn ensure_listed(node: &Rc<Node>, only: Option<&Release>) -> Result<(), AcquireError> {
    if !needs_list(node, only) {
        return Ok(());
    }
    let learning = spawn_local(learn_in_turn(node.clone(), only.cloned()));
    match tokio::time::timeout(LIST_TIMEOUT, learning).await {
        Ok(Ok(true)) => Ok(()),
        _ => Err(AcquireError::NoReply),
    }
}

fn needs_list(node: &Node, only: Option<&Release>) -> bool {
    let releases = node.releases.borrow();
    only.map_or(!releases.is_listed(), |release| releases.needs_list(release, clock::now()))
}

/// What began each stream of a service, as far as it may be taken up: all its targets are of one
/// version, also those that are gone since.
///
/// # Errors
///
/// Returns [`AcquireError::UnknownVersion`] if there are several versions or an unstated one, and
/// [`AcquireError::NoReply`] if there may be some that this instance doesn't know.
pub async fn only(node: &Rc<Node>, service: &str) -> Result<Origin, AcquireError> {
    let software = node.registry.borrow().only_software(service).cloned();
    let software = software.ok_or(AcquireError::UnknownVersion)?;
    if may_be_outdated(node) {
        return Err(AcquireError::NoReply);
    }
    let release = Release { service: service.to_owned(), software };
    ensure_listed(node, Some(&release)).await?;
    let releases = node.releases.borrow();
    if releases.has_others(&release) {
        return Err(AcquireError::UnknownVersion);
    }
    if !releases.is_complete(MAX_LIFETIME + LIFETIME_MARGIN, clock::millis()) {
        node.metrics.count("release.forgotten");
        return Err(AcquireError::UnknownVersion);
    }
    Ok(Origin { service: release.service, software: Some(release.software) })
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
            for release in releases.expired(MAX_LIFETIME + LIFETIME_MARGIN, forgotten_at) {
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
        let retention = MAX_LIFETIME + LIFETIME_MARGIN;
        for release in keeper.run(&list(&node), retention, present, now).await {
            broadcast::send(&node, Update::Release(release));
        }
    }
}

/// Whether this instance may lack members or targets that others know.
fn may_be_outdated(node: &Node) -> bool {
    clock::since(node.started) < JOIN_PERIOD || node.is_isolated() || node.store.is_disconnected()
}

/// Asks an instance for an origin; `None` if it doesn't reply, `Some(None)` if it doesn't know it.
async fn ask(node: &Rc<Node>, to: SocketAddr, attempt: &str) -> Option<Option<Origin>> {
    if node.is_unresponsive(to, clock::now()) {
        return None;
    }
    let request = PeerRequest::Origin(attempt.to_owned());
    match node.try_request(to, &request, LOOKUP_TIMEOUT).await {
        Ok(PeerReply::Origin(origin)) => Some(origin),
        // An earlier build stores no origins.
        Ok(PeerReply::Unavailable) => Some(None),
        Ok(_) | Err(_) => None,
    }
}

/// Addresses of the instances that store the origin of an attempt that began here.
fn keepers(node: &Node, attempt: &str) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let me = members.me().id;
    let others = members.workers().filter(|member| member.id != me);
    let places: Vec<Place<'_>> = others.map(place).collect();
    addresses(&members, &origins::keepers(attempt, node.data_centre(), &places))
}

/// Addresses of the instances that may have the origin of an attempt, also of those that leave.
fn candidates(node: &Node, attempt: &str) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let places: Vec<Place<'_>> = members.others().map(place).collect();
    addresses(&members, &origins::candidates(attempt, &places))
}

fn place(member: &Member) -> Place<'_> {
    (member.id, &member.data_centre)
}

fn addresses(members: &MemberTable, ids: &[InstanceId]) -> Vec<SocketAddr> {
    ids.iter().filter_map(|id| members.get(*id)).map(|member| member.peer).collect()
}
