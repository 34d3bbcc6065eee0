//! Tells other instances what began the streams forwarded here, and asks them about streams that
//! callers take up again.
//!
//! All instances that know a stream may be gone. What it began at is then clear only where a single
//! software version has served, so the versions are listed on the platform until callers of their
//! streams can't return any more.

use super::leases::AcquireError;
use super::message::{PeerReply, PeerRequest, Update};
use super::node::Node;
use super::releases::List;
use super::{broadcast, watch};
use crate::clock;
use coordination::membership::{Member, MemberTable};
use coordination::origins::{self, Place};
use coordination::releases::{Release, Stored};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use platform::store::StoreError;
use protocol::routing::Origin;
use protocol::{InstanceId, ServiceId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
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
/// Longest wait for another call about the list of versions.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks for new versions.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a failed call about the list until the next one.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between writes of the checkpoint, while the registry may have changed. The platform keeps
/// some 20 s of history, and a loss of all instances may last a few of them.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(4);
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
    ensure_listed(node, || !node.releases.borrow().is_listed()).await?;
    Ok(is_known())
}

/// Learns which versions may have served, if `needs_list`.
async fn ensure_listed(node: &Rc<Node>, needs_list: impl Fn() -> bool) -> Result<(), AcquireError> {
    if !needs_list() {
        return Ok(());
    }
    let turn = tokio::time::timeout(LIST_TIMEOUT, node.release_calls.lock()).await;
    let _turn = turn.map_err(|_elapsed| AcquireError::NoReply)?;
    if needs_list() && !learn_releases(node).await {
        return Err(AcquireError::NoReply);
    }
    Ok(())
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
    ensure_listed(node, needs_list).await?;
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
    }
}

/// Lists a version on the platform unless it is listed; `false` if that failed.
pub async fn record(node: Rc<Node>, release: Release) -> bool {
    let _turn = node.release_calls.lock().await;
    let is_recorded = node.releases.borrow().is_recorded(&release);
    is_recorded || list(&node).record(&release).await.is_ok()
}

/// Learns which versions may have served: after the start from the instance that keeps the list, or
/// from the platform. `false` if that failed.
async fn learn_releases(node: &Rc<Node>) -> bool {
    let is_listed = node.releases.borrow().is_listed();
    // A list that is out of date is read again from the platform.
    let keeper = if is_listed { None } else { watch::global_watcher(node) };
    if let Some(address) = keeper {
        let now = clock::now();
        let reply = node.try_request(address, &PeerRequest::ReleaseHistory, KEEPER_TIMEOUT).await;
        if let Ok(PeerReply::ReleaseHistory(history)) = reply {
            slog::info!(node.log, "earlier software versions known"; "from" => %address,
                "complete_since" => history.complete_since);
            node.releases.borrow_mut().on_history(history, now);
            return true;
        }
    }
    list(node).read().await.is_ok()
}

/// Keeps track of the versions that serve, until `stop`. One instance extends the list for all,
/// advances its checkpoint, and removes versions from it.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let mut registry_version = None;
    let mut upkeep = None;
    let mut forgotten_at = clock::now();
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
        let is_keeper = watch::global_watcher(&node).is_none() && !node.is_stopping();
        // The keeper of the list reads it first, and the others ask it.
        let is_turn = is_keeper || clock::since(node.started) >= JOIN_PERIOD / 2;
        // Versions that no target states any more are in the list, too.
        let is_overdue = clock::since(node.started) >= JOIN_PERIOD;
        let needs_list = {
            let releases = node.releases.borrow();
            releases.has_unlisted() || (is_overdue && !releases.is_listed())
        };
        if is_turn && needs_list && !node.store.is_backing_off(clock::now()) {
            let _turn = node.release_calls.lock().await;
            learn_releases(&node).await;
        }
        if is_keeper && node.releases.borrow().watched().is_some() {
            let upkeep = upkeep.get_or_insert_with(|| Upkeep::new(clock::now()));
            upkeep.run(&node).await;
        } else {
            upkeep = None;
            if clock::since(forgotten_at) >= CLEANUP_INTERVAL {
                forgotten_at = clock::now();
                let expired = expired(&node);
                expired.iter().for_each(|release| node.releases.borrow_mut().on_removed(release));
            }
        }
    }
}

/// Versions whose streams can't be taken up any more.
fn expired(node: &Node) -> Vec<Release> {
    node.releases.borrow_mut().expired(MAX_LIFETIME + LIFETIME_MARGIN, clock::now())
}

/// The work of the instance that keeps the list.
struct Upkeep {
    /// The checkpoint; `None` until it was read.
    stored: Option<Stored>,
    /// Whether the list was read since this instance has kept it.
    is_read: bool,
    /// When the checkpoint is advanced next.
    advances_at: Instant,
    /// When versions are removed next.
    cleans_at: Instant,
    /// No calls are made until then, after one has failed.
    retries_at: Instant,
}

impl Upkeep {
    fn new(now: Instant) -> Upkeep {
        Upkeep {
            stored: None,
            is_read: false,
            advances_at: now,
            cleans_at: now + CLEANUP_INTERVAL,
            retries_at: now,
        }
    }

    /// Makes the calls that are due.
    async fn run(&mut self, node: &Rc<Node>) {
        let now = clock::now();
        let has_unrecorded = !node.releases.borrow().unrecorded().is_empty();
        let is_due = has_unrecorded || now >= self.advances_at || now >= self.cleans_at;
        if !is_due || now < self.retries_at || node.store.is_backing_off(now) {
            return;
        }
        let _turn = node.release_calls.lock().await;
        if self.make_calls(node, now).await.is_err() {
            self.retries_at = clock::now() + RECORD_RETRY_INTERVAL;
        }
    }

    async fn make_calls(&mut self, node: &Rc<Node>, now: Instant) -> Result<(), StoreError> {
        let list = list(node);
        if !self.is_read || now >= self.cleans_at {
            self.stored = list.read().await?;
            self.is_read = true;
        }
        for release in list.record_all().await? {
            broadcast::send(node, Update::Release(release));
        }
        if now >= self.advances_at {
            self.stored = list.advance(self.stored).await?;
            self.advances_at = now + CHECKPOINT_INTERVAL;
        }
        if now >= self.cleans_at {
            self.cleans_at = now + CLEANUP_INTERVAL;
            for release in expired(node) {
                list.remove(&release).await;
            }
        }
        Ok(())
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
