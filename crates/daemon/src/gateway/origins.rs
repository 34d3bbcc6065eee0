//! Tells other instances what began the streams forwarded here, and asks them about streams that
//! callers take up again.
//!
//! All instances that know a stream may be gone. What it began at is then clear only where a single
//! software version has served, so the versions are listed on the platform: each before its first
//! stream begins, until callers of its streams can't return any more.

use super::broadcast;
use super::call_reason::CallReason;
use super::leases::AcquireError;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use crate::clock;
use coordination::hash;
use coordination::membership::{Member, MemberTable, State};
use coordination::origins::{self, Place};
use coordination::releases::Release;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use platform::release;
use platform::store::StoreError;
use protocol::routing::Origin;
use protocol::{InstanceId, SoftwareVersion};
use std::collections::BTreeSet;
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
/// Longest wait of a stream for the listing of its version.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the instance that lists a version.
const WRITER_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest wait for another call about the list of versions.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for new versions.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between removals of versions from the list.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
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
    let needs_list = || node.releases.borrow().needs_list(&release, clock::now());
    if needs_list() {
        let turn = tokio::time::timeout(LIST_TIMEOUT, node.release_calls.lock()).await;
        let _turn = turn.map_err(|_elapsed| AcquireError::NoReply)?;
        if needs_list() && !learn_releases(node).await {
            return Err(AcquireError::NoReply);
        }
    }
    if node.releases.borrow().has_others(&release) {
        return Err(AcquireError::UnknownVersion);
    }
    Ok(Origin { service: release.service, software: Some(release.software) })
}

/// Waits until a version is listed at whose target a stream is about to begin, but not for long: if
/// the platform is unavailable, the stream begins all the same.
pub async fn ensure_recorded(node: &Rc<Node>, service: &str, software: Option<&SoftwareVersion>) {
    let Some(software) = software else {
        return;
    };
    let release = Release { service: service.to_owned(), software: software.clone() };
    if node.releases.borrow().is_recorded(&release) {
        return;
    }
    let now = clock::now();
    let wait = node.releases.borrow_mut().remaining_wait(&release, RECORD_TIMEOUT, now);
    // A call in progress is about the same list.
    let is_recording = node.release_calls.try_lock().is_err();
    if wait.is_zero() && (is_recording || node.store.is_backing_off(now)) {
        node.metrics.count("release.unlisted");
        return;
    }
    let recording = spawn_local(request_record(node.clone(), release));
    if wait.is_zero() {
        return;
    }
    if !matches!(tokio::time::timeout(wait, recording).await, Ok(Ok(true))) {
        node.metrics.count("release.unlisted");
        slog::info!(node.log, "stream begins at an unlisted version"; "service" => service,
            "software" => software);
    }
}

/// Has a version listed by the instance that is responsible for it, so that one of them writes it
/// when all need it at once; if that fails, lists it here. `false` if that failed too.
async fn request_record(node: Rc<Node>, release: Release) -> bool {
    if let Some(address) = responsible(&node, &object_name(&release)) {
        let request = PeerRequest::ListRelease(release.clone());
        let reply = node.try_request(address, &request, WRITER_TIMEOUT).await;
        if matches!(reply, Ok(PeerReply::Acknowledged)) {
            node.releases.borrow_mut().on_recorded(release);
            return true;
        }
    }
    record(node, release).await
}

/// Address of the instance that makes calls about an object; `None` for this one.
fn responsible(node: &Node, name: &str) -> Option<SocketAddr> {
    let members = node.members.borrow();
    let alive = members.workers().filter(|member| member.state == State::Alive);
    let owner = hash::owner(name.as_bytes(), alive.map(|member| member.id))?;
    let owner = members.others().find(|member| member.id == owner);
    owner.map(|member| member.peer)
}

/// Lists a version on the platform unless it is listed; `false` if that failed.
pub async fn record(node: Rc<Node>, release: Release) -> bool {
    let _turn = node.release_calls.lock().await;
    let is_listed = node.releases.borrow().is_listed();
    if !is_listed && !learn_releases(&node).await {
        return false;
    }
    if node.releases.borrow().is_recorded(&release) {
        return true;
    }
    let name = object_name(&release);
    match node.store.create(CallReason::Release, release::KIND, &name, &release).await {
        Ok(_) | Err(StoreError::Conflict(_)) => {
            slog::info!(node.log, "software version listed"; "service" => &release.service,
                "software" => &release.software);
            node.releases.borrow_mut().on_recorded(release.clone());
            broadcast::send(&node, Update::Release(release));
            true
        }
        Err(error) => {
            slog::info!(node.log, "software version not listed"; "service" => &release.service,
                "software" => &release.software, "fault" => %error);
            false
        }
    }
}

/// Learns after the start which versions may have served: from the instance that keeps the list, or
/// from the platform. `false` if that failed.
async fn learn_releases(node: &Rc<Node>) -> bool {
    let is_listed = node.releases.borrow().is_listed();
    // A list that is out of date is read again from the platform.
    let keeper = if is_listed { None } else { list_keeper(node) };
    if let Some(address) = keeper {
        let now = clock::now();
        let reply = node.try_request(address, &PeerRequest::Releases, WRITER_TIMEOUT).await;
        if let Ok(PeerReply::Releases(known)) = reply {
            node.releases.borrow_mut().on_list(known.into_iter().collect(), now);
            return true;
        }
    }
    list_releases(node).await.is_ok()
}

/// Reads the list of versions.
///
/// # Errors
///
/// The failed call of the platform.
async fn list_releases(node: &Rc<Node>) -> Result<BTreeSet<Release>, StoreError> {
    // Stamped with the time before the call, since the list is no newer than that.
    let now = clock::now();
    let objects = node.store.list_all(CallReason::Release, release::KIND).await?;
    let releases = objects.iter().filter_map(|object| serde_json::from_str(object.spec.get()).ok());
    let list: BTreeSet<Release> = releases.collect();
    node.releases.borrow_mut().on_list(list.clone(), now);
    Ok(list)
}

/// Name of a version's object on the platform.
fn object_name(release: &Release) -> String {
    let service = hash::bytes(release.service.as_bytes());
    format!("{service:016x}.{:016x}", hash::bytes(release.software.as_bytes()))
}

/// Keeps track of the versions that serve, and removes others from the list, until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let mut registry_version = None;
    let mut cleaned_at = clock::now();
    loop {
        tokio::select! {
            () = tokio::time::sleep(RELEASE_CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let version = node.registry.borrow().version();
        if registry_version.replace(version) != Some(version) {
            let present = node.registry.borrow().releases();
            node.releases.borrow_mut().set_present(present);
        }
        // The keeper of the list reads it first, and the others ask it.
        let is_turn = list_keeper(&node).is_none() || clock::since(node.started) >= JOIN_PERIOD / 2;
        let has_unlisted = node.releases.borrow().has_unlisted();
        if is_turn && has_unlisted && !node.store.is_backing_off(clock::now()) {
            let _turn = node.release_calls.lock().await;
            learn_releases(&node).await;
        }
        if clock::since(cleaned_at) >= CLEANUP_INTERVAL {
            cleaned_at = clock::now();
            if list_keeper(&node).is_none() {
                remove_expired(&node).await;
            }
        }
    }
}

/// Address of the instance that reads the list for the others and removes versions from it; `None`
/// for this one.
fn list_keeper(node: &Node) -> Option<SocketAddr> {
    responsible(node, release::KIND)
}

/// Removes versions from the list that have been absent for as long as callers may return.
async fn remove_expired(node: &Rc<Node>) {
    let _turn = node.release_calls.lock().await;
    if list_releases(node).await.is_err() {
        return;
    }
    let retention = MAX_LIFETIME + LIFETIME_MARGIN;
    let expired = node.releases.borrow_mut().expired(retention, clock::now());
    for release in expired {
        let name = object_name(&release);
        let result = node.store.delete(CallReason::Release, release::KIND, &name, None).await;
        slog::info!(node.log, "software version removed from the list";
            "service" => &release.service, "software" => &release.software,
            "is_removed" => result.is_ok());
        // It may have come back during the call.
        let is_back = node.registry.borrow().releases().contains(&release);
        if is_back {
            let spec = node.store.create(CallReason::Release, release::KIND, &name, &release).await;
            slog::info!(node.log, "software version listed again"; "is_listed" => spec.is_ok());
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
