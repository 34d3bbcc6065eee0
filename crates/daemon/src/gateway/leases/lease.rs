//! Leases in use here. Dropping one releases it at the allocator that granted it.

use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerRequest, Update};
use crate::gateway::node::Node;
use coordination::continuation;
use coordination::slots::rate::MAX_GRANT_AGE;
use coordination::slots::{Grant, HeldLease, LeaseOutcome, LeaseReport, Purpose};
use platform::store::Revision;
use protocol::{SoftwareVersion, TargetId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// The allocator that granted a lease, to which it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Grantor {
    Local,
    Remote(SocketAddr),
    /// The instance granted the lease to itself.
    None,
}

/// A lease in use, as its holder records it.
pub(super) struct ActiveLease {
    pub(super) held: HeldLease,
    pub(super) grantor: Grantor,
    pub(super) stop: CancellationToken,
}

/// A lease on a slot; released when dropped.
pub struct Lease {
    node: Rc<Node>,
    /// The leased slot and its target.
    pub grant: Grant,
    /// Cancelled when the lease is revoked.
    pub stop: CancellationToken,
    /// How the lease was used; sent to the allocator on release.
    pub report: LeaseReport,
    /// Revision of the registry at this instance when the lease was granted.
    pub registry: Revision,
    /// Software version of the target according to the registry then, or to the allocator, which may
    /// know the target earlier; `None` if unknown.
    pub software: Option<SoftwareVersion>,
    /// Whether the target was known then, here or by its version.
    pub is_target_known: bool,
    /// When the request was sent; `None` before.
    pub sent_at: Option<Instant>,
    /// When the target of a stream last sent something; `None` before.
    pub heard_at: Option<Instant>,
    granted_at: Instant,
    /// Earliest time at which the allocator may have granted the lease.
    earliest_grant: Instant,
}

impl Lease {
    /// Time since the lease was granted.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.granted_at)
    }

    /// Whether a request may still be sent to the target: it must not leave or be evacuated, and
    /// where its rate is limited, the grant must be recent.
    pub fn is_usable(&self, now: Instant) -> bool {
        let registry = self.node.registry.borrow();
        if registry.is_unusable(&self.grant.target) {
            return false;
        }
        let service = registry.get(&self.grant.target).map(|target| target.service.as_str());
        let is_rate_limited = service.is_some_and(|service| self.node.is_rate_limited(service));
        !is_rate_limited || now.saturating_duration_since(self.earliest_grant) < MAX_GRANT_AGE
    }

    /// Whether a stream or item that began at a target without a software version may go on at the
    /// leased one: it is known to state none.
    pub fn states_no_software(&self) -> bool {
        self.is_target_known && self.software.is_none()
    }

    /// Software version of the run on the leased target; `None` if it isn't clear.
    pub fn version_of_run(&self) -> Option<SoftwareVersion> {
        let registry = self.node.registry.borrow();
        let target = registry.get(&self.grant.target);
        let at_grant = self.is_target_known.then_some(self.software.as_ref());
        continuation::version_of_run(at_grant, target)
    }

    /// Releases the lease with its outcome.
    pub fn end(mut self, outcome: LeaseOutcome) {
        self.report.outcome = outcome;
    }

    /// Time since the target of an online request last sent something, or was sent the request.
    pub fn silence(&self) -> Duration {
        self.heard_at.or(self.sent_at).map(clock::since).unwrap_or_default()
    }

    /// Releases the lease because its target is silent.
    pub fn end_silent(mut self) {
        self.report.silence = Some(self.silence());
        self.end(LeaseOutcome::Unresponsive);
    }

    /// Reports to the allocator that the first event of the target is overdue.
    pub fn report_overdue(&self) {
        let target = self.grant.target.clone();
        let grantor =
            self.node.leases.active.borrow().get(&self.grant.lease).map(|lease| lease.grantor);
        match grantor {
            Some(Grantor::Local) => {
                self.node.leases.allocator.borrow_mut().on_overdue(&target, clock::now());
            }
            Some(Grantor::Remote(address)) => {
                self.node.notify(address, PeerRequest::TargetOverdue(target))
            }
            Some(Grantor::None) | None => {}
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(lease) = self.node.leases.active.borrow_mut().remove(&self.grant.lease) else {
            return;
        };
        match lease.grantor {
            Grantor::Local => allocator::on_release(&self.node, self.grant.lease, self.report),
            Grantor::Remote(address) => {
                self.node.notify(address, PeerRequest::Release(self.grant.lease, self.report));
            }
            Grantor::None => {}
        }
    }
}

/// Records a lease as active that was granted in reply to a request made at `requested_at`.
pub(super) fn activate(
    node: &Rc<Node>,
    grant: Grant,
    purpose: Purpose,
    grantor: Grantor,
    requested_at: Instant,
) -> Lease {
    let stop = CancellationToken::new();
    let held = HeldLease { lease: grant.lease, target: grant.target.clone(), purpose };
    let lease = ActiveLease { held, grantor, stop: stop.clone() };
    node.leases.active.borrow_mut().insert(grant.lease, lease);
    // A lease that is dropped without an outcome counts as unused.
    let report = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
    let (registry, is_target_known, software) = {
        let registry = node.registry.borrow();
        let target = registry.get(&grant.target);
        let software = target.map_or(&grant.software, |target| &target.software).clone();
        (registry.revision(), target.is_some() || software.is_some(), software)
    };
    let earliest_grant = requested_at + Duration::from_millis(grant.queued_ms);
    let granted_at = clock::now();
    if let Some(forecast) = &grant.forecast {
        node.leases.on_forecast(forecast);
    }
    Lease {
        node: node.clone(),
        grant,
        stop,
        report,
        registry,
        software,
        is_target_known,
        sent_at: None,
        heard_at: None,
        granted_at,
        earliest_grant,
    }
}

/// Activates a lease granted by another instance, unless the registry here lists its target as
/// unusable: an allocator behind a network partition may have an outdated registry. Such a
/// lease is released, and the allocator's owner receives the registry change.
///
/// Guards against requests sent to a target after it has announced that it is leaving: after a
/// partition of 4 s they reached it up to 3.4 s later, where 2 s are allowed.
pub(super) fn accept_remote_grant(
    node: &Rc<Node>,
    grant: Grant,
    purpose: Purpose,
    owner: SocketAddr,
    requested_at: Instant,
) -> Result<Lease, TargetId> {
    let target = grant.target.clone();
    let lease = activate(node, grant, purpose, Grantor::Remote(owner), requested_at);
    let change = {
        let registry = node.registry.borrow();
        if !registry.is_unusable(&target) {
            return Ok(lease);
        }
        registry.change(&target)
    };
    slog::info!(node.log, "granted target is unusable"; "target" => &target,
        "keeper" => %owner, "registry" => lease.registry);
    let update = Update::Targets(change.into_iter().collect());
    node.notify(owner, PeerRequest::Update(node.as_holder().address, update));
    drop(lease);
    Err(target)
}
