//! Leases in use here: each gives itself back to the account that granted it.

use crate::clock;
use crate::gateway::allocator;
use crate::gateway::message::{PeerRequest, Update};
use crate::gateway::node::Node;
use coordination::slots::{Grant, HeldLease, LeaseOutcome, LeaseReport, Purpose};
use platform::store::Revision;
use protocol::TargetId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Where a lease is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Grantor {
    Local,
    Remote(SocketAddr),
    /// Nobody: the instance granted it to itself.
    None,
}

/// A lease that is out, as its holder keeps it.
pub(super) struct ActiveLease {
    pub(super) held: HeldLease,
    pub(super) grantor: Grantor,
    pub(super) stop: CancellationToken,
}

/// A lease on a slot; gives itself back.
pub struct Lease {
    node: Rc<Node>,
    /// The slot.
    pub grant: Grant,
    /// Cancelled when the lease must be given back at once.
    pub stop: CancellationToken,
    /// How it was used.
    pub report: LeaseReport,
    /// Highest revision of the registry known here when it was granted.
    pub registry: Revision,
    asked: Instant,
}

impl Lease {
    /// How long ago it was granted.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.asked)
    }

    /// Notes how the use ended.
    pub fn end(mut self, end: LeaseOutcome) {
        self.report.outcome = end;
    }

    /// Tells the account that a first event is overdue.
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

/// Takes a granted slot into use.
pub(super) fn activate(node: &Rc<Node>, grant: Grant, purpose: Purpose, grantor: Grantor) -> Lease {
    let stop = CancellationToken::new();
    let held = HeldLease { lease: grant.lease, target: grant.target.clone(), purpose };
    let lease = ActiveLease { held, grantor, stop: stop.clone() };
    node.leases.active.borrow_mut().insert(grant.lease, lease);
    // Whoever drops it without a word has not used it to the end.
    let report = LeaseReport { outcome: LeaseOutcome::Unused, ..LeaseReport::default() };
    let registry = node.registry.borrow().revision();
    Lease { node: node.clone(), grant, stop, report, registry, asked: clock::now() }
}

/// Takes a granted slot into use, unless its target is known here to have left: the
/// account may have been cut off and know less. Then the slot goes back, and the
/// account's keeper is told.
///
/// Guards against requests that reach a target after its word: up to 3.4 s after it
/// in replays of cuts of 4 s, where 2 s are allowed.
pub(super) fn accept_remote_grant(
    node: &Rc<Node>,
    grant: Grant,
    purpose: Purpose,
    owner: SocketAddr,
) -> Result<Lease, TargetId> {
    let target = grant.target.clone();
    let lease = activate(node, grant, purpose, Grantor::Remote(owner));
    let known = {
        let registry = node.registry.borrow();
        if !registry.has_left(&target) {
            return Ok(lease);
        }
        registry.change(&target)
    };
    slog::info!(node.log, "slot of a target that has left"; "target" => &target,
        "keeper" => %owner, "registry" => lease.registry);
    let update = Update::Targets(known.into_iter().collect());
    node.notify(owner, PeerRequest::Update(node.as_holder().address, update));
    drop(lease);
    Err(target)
}
