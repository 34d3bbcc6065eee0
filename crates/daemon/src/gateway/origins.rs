//! Tells other instances what began the streams forwarded here, and asks them about streams that
//! callers take up again.
//!
//! All instances that know a stream may be gone. What it began at is then clear only where a single
//! software version has served, so the versions are listed on the platform until callers of their
//! streams can't return any more.

mod versions;

pub use versions::{record, run};

use super::leases::AcquireError;
use super::message::{PeerReply, PeerRequest};
use super::node::Node;
use crate::clock;
use coordination::membership::{Member, MemberTable};
use coordination::origins::{self, Place};
use coordination::releases::Release;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use protocol::routing::Origin;
use protocol::{InstanceId, ServiceId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait for the instances that may know a stream: much longer than a round trip between
/// data centres, and short beside what a caller waits for the next event.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after its start within which an instance may not know all others.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
/// How long callers who state no deadline may return.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(60);
/// Longest time for which an origin is kept, whatever deadline a caller states.
const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Time that is added to a caller's deadline, for requests on their way and clocks that differ.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);
/// Time for which a version is remembered once no target states it.
const RETENTION: Duration = MAX_LIFETIME.saturating_add(LIFETIME_MARGIN);

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
    let lifetime = lifetime.min(RETENTION);
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
/// that may know it can't be asked, lost ones included: they may be alive.
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
    versions::ensure_listed(node).await?;
    Ok(is_known())
}

/// What began each stream of a service that began before this call, as far as it may be taken up:
/// all its targets are of one version, also those that are gone since.
///
/// Targets of another version may serve before this instance knows them, as it may be cut off or
/// have stood still without having noticed. Only the platform can tell that there is none.
///
/// # Errors
///
/// Returns [`AcquireError::UnknownVersion`] if there are several versions or an unstated one, and
/// [`AcquireError::NoReply`] if there may be some that this instance doesn't know.
pub async fn only(node: &Rc<Node>, service: &str) -> Result<Origin, AcquireError> {
    let asked_at = clock::now();
    let (software, states_software) = {
        let registry = node.registry.borrow();
        (registry.only_software(service).cloned(), registry.states_software(service))
    };
    let Some(software) = software else {
        let may_lack_all = !states_software && may_be_outdated(node);
        let error = if may_lack_all { AcquireError::NoReply } else { AcquireError::UnknownVersion };
        return Err(error);
    };
    let release = Release { service: service.to_owned(), software };
    if let Err(error) = check_only(node, &release) {
        versions::relist(node, &release);
        return Err(error);
    }
    versions::ensure_fresh(node, asked_at).await?;
    check_only(node, &release)?;
    Ok(Origin { service: release.service, software: Some(release.software) })
}

/// Checks that no stream can have begun at another version of the service, as far as this instance
/// knows.
fn check_only(node: &Node, release: &Release) -> Result<(), AcquireError> {
    let releases = node.releases.borrow();
    if releases.has_others(release) {
        return Err(AcquireError::UnknownVersion);
    }
    if releases.is_listed() && !releases.is_complete(RETENTION, clock::millis()) {
        node.metrics.count("release.forgotten");
        return Err(AcquireError::UnknownVersion);
    }
    Ok(())
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

/// Addresses of the instances that may have the origin of an attempt, also of those that leave, and
/// of those that were lost while its caller may return.
fn candidates(node: &Node, attempt: &str) -> Vec<SocketAddr> {
    let lifetime = node.origins.borrow().longest_lifetime();
    let lifetime = lifetime.max(DEFAULT_LIFETIME + LIFETIME_MARGIN);
    let members = node.members.borrow();
    let others = members.others().chain(members.lost(lifetime, clock::now()));
    let others: Vec<&Member> = others.collect();
    let places: Vec<Place<'_>> = others.iter().map(|member| place(member)).collect();
    let ids = origins::candidates(attempt, &places);
    let others = others.into_iter().filter(|member| ids.contains(&member.id));
    others.map(|member| member.peer).collect()
}

fn place(member: &Member) -> Place<'_> {
    (member.id, &member.data_centre)
}

fn addresses(members: &MemberTable, ids: &[InstanceId]) -> Vec<SocketAddr> {
    ids.iter().filter_map(|id| members.get(*id)).map(|member| member.peer).collect()
}
