//! Leases on slots that this instance requests and holds, and the state of the slot
//! allocators that it owns.

mod batch;
mod lease;
mod report;
mod wait;

pub use batch::{BatchQuery, acquire_batch};
pub use lease::Lease;
pub use report::report;

use super::allocator;
use super::message::{PeerReply, PeerRequest, SlotRequest, SlotRequestId};
use super::node::Node;
use super::quota::{self, Charge, Keeper, Quotas};
use crate::clock;
use coordination::membership::Member;
use coordination::slots::{self, Allocator, Grant, LeaseId, Policy, Purpose, WaiterId};
use coordination::{capacity, hash};
use lease::{ActiveLease, Grantor, accept_remote_grant, activate};
use protocol::{DataCentreId, InstanceId, TargetId, WorkspaceId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Timeout for the immediate reply of an allocator. Much longer than a round trip within a
/// region, so an owner that exceeds it is overloaded or gone.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Grants on unusable targets after which a call gives up. The allocator is notified of each
/// such target, and anti-entropy brings it up to date.
const MAX_UNUSABLE_GRANTS: u32 = 4;
/// Set in the ids of leases that an instance grants itself, so that they never collide
/// with those of an allocator.
const SELF_GRANTED_BIT: LeaseId = 1 << 63;

/// A request for a slot for an online request.
#[derive(Clone, Debug)]
pub struct SlotQuery {
    /// Service whose targets qualify.
    pub service: String,
    /// Latest time at which a slot still lets the response meet its objective.
    pub latest_start: Instant,
    /// When the caller stops waiting.
    pub expires: Instant,
    /// Targets that must not be granted.
    pub excluded: Vec<String>,
}

/// Why no lease was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// All slots are in use; one is expected to be free after this delay.
    Full(Duration),
    /// No usable target of the service is known.
    NoTarget,
    /// The request has crashed targets and is quarantined for this much longer.
    Quarantined(Duration),
    /// The request exceeds the quota of its workspace; its turn is after this delay.
    OverQuota(Duration),
}

/// Leases held by this instance, and the slot allocators that it owns.
pub struct Leases {
    pub(super) allocator: RefCell<Allocator>,
    /// Data centres whose allocator this instance owns.
    pub(super) owned: RefCell<BTreeSet<DataCentreId>>,
    /// Versions of the membership and the registry that the allocator was last updated for.
    pub(super) seen_versions: Cell<(u64, u64)>,
    /// Data centres with targets, as of `seen_versions`.
    pub(super) data_centres: RefCell<BTreeSet<DataCentreId>>,
    /// Where the outcomes of waiting requests are sent: a grant, or the delay until a slot is
    /// expected.
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<Result<Grant, Duration>>>>,
    pub(super) is_checking_waiters: Cell<bool>,
    /// Requests that wait in the allocators owned here.
    pub(super) pending: RefCell<HashMap<(InstanceId, SlotRequestId), WaiterId>>,
    active: RefCell<HashMap<LeaseId, ActiveLease>>,
    /// Quotas, whose ledgers are kept by the owners of the allocators.
    pub(super) quotas: Quotas,
    next_self_granted: Cell<LeaseId>,
    next_request_id: Cell<SlotRequestId>,
}

impl Leases {
    /// State without leases; allocators are owned once members and targets are known.
    pub fn new(id: InstanceId, policy: Policy, quotas: Quotas, now: Instant) -> Leases {
        // The instance id in the upper half keeps lease ids of different owners distinct.
        let seed = (id << 32) & !SELF_GRANTED_BIT;
        Leases {
            allocator: RefCell::new(Allocator::new(policy, seed, now)),
            owned: RefCell::default(),
            seen_versions: Cell::new((u64::MAX, u64::MAX)),
            data_centres: RefCell::default(),
            waiters: RefCell::default(),
            is_checking_waiters: Cell::new(false),
            pending: RefCell::default(),
            active: RefCell::default(),
            quotas,
            next_self_granted: Cell::new(seed | SELF_GRANTED_BIT),
            next_request_id: Cell::default(),
        }
    }

    fn next_request_id(&self) -> SlotRequestId {
        let id = self.next_request_id.get() + 1;
        self.next_request_id.set(id);
        id
    }

    /// Leases granted by the allocators owned here: `[online, batch]`.
    pub fn in_use(&self) -> [u32; 2] {
        self.allocator.borrow().in_use()
    }

    /// Number of leases that this instance holds.
    pub fn held_count(&self) -> usize {
        self.active.borrow().len()
    }

    /// Cancels the work of a lease held here.
    pub fn on_revoked(&self, lease: LeaseId) {
        if let Some(lease) = self.active.borrow().get(&lease) {
            lease.stop.cancel();
        }
    }
}

/// The member that owns the slot allocator of a data centre, chosen by capacity among the
/// members of that data centre, or among all members if it has none. `None` without members.
pub fn allocator_owner(node: &Node, data_centre: &str) -> Option<Member> {
    let members = node.members.borrow();
    let choose = |local_only: bool| {
        let fits = |m: &&Member| !local_only || m.data_centre == data_centre;
        let ids = members.workers().filter(fits).map(|member| member.id);
        capacity::owner(data_centre.as_bytes(), ids)
    };
    let id = choose(true).or_else(|| choose(false))?;
    members.workers().find(|member| member.id == id).cloned()
}

/// Data centres with targets of a service, the local one first. The order of the others
/// differs between instances to spread their load. Recently unreachable data centres are
/// left out unless there are no others.
pub fn data_centres(node: &Node, service: &str) -> Vec<DataCentreId> {
    let registry = node.registry.borrow();
    let of_service = registry.usable().filter(|target| target.service == service);
    let names: BTreeSet<&DataCentreId> = of_service.map(|target| &target.data_centre).collect();
    let mut names: Vec<DataCentreId> = names.into_iter().cloned().collect();
    let now = clock::now();
    if names.iter().any(|name| !node.is_recently_unreachable(name, now)) {
        names.retain(|name| !node.is_recently_unreachable(name, now));
    }
    let id = node.id();
    let own = node.data_centre();
    names.sort_by_key(|name| (name != own, hash::weight(name.as_bytes(), id)));
    names
}

/// Acquires a lease for an online request: a slot that is free now, preferably in the local
/// data centre, or the first that any allocator grants before the query expires. A charge that is
/// due is made along with the first request.
///
/// # Errors
///
/// Returns why no slot was granted.
pub async fn acquire(
    node: &Rc<Node>,
    query: &SlotQuery,
    charge: &mut Charge,
) -> Result<Lease, AcquireError> {
    loop {
        match acquire_once(node, query, charge).await {
            Outcome::Lease(lease) => return Ok(lease),
            Outcome::Rejected(error) => return Err(error),
            Outcome::NoReply => return Err(AcquireError::NoTarget),
            // The charge was borrowed, or allocators and their owners may have changed during
            // the wait.
            Outcome::Pending => {}
        }
    }
}

enum Outcome {
    Lease(Lease),
    Rejected(AcquireError),
    /// No slot was granted so far, and the query has not expired.
    Pending,
    /// No allocator replied.
    NoReply,
}

async fn acquire_once(node: &Rc<Node>, query: &SlotQuery, charge: &mut Charge) -> Outcome {
    let mut names = data_centres(node, &query.service);
    if names.is_empty() {
        return Outcome::Rejected(AcquireError::NoTarget);
    }
    // Bounds the messages per waiting request, however many data centres there are.
    names.truncate(node.settings.policy.max_allocators);
    let nearest = names.remove(0);
    let mut call = AllocatorCall::immediate(node, query, &nearest);
    call.charge = charge.due().cloned();
    let (call, reply) = call_allocator(node.clone(), call).await;
    call.keeper.into_iter().for_each(|keeper| charge.on_charged(keeper));
    if let AllocatorReply::OverQuota(after) = reply {
        return match quota::borrow(node, charge, &names).await {
            true => Outcome::Pending,
            false => Outcome::Rejected(AcquireError::OverQuota(after)),
        };
    }
    if let Err(after) = charge.charge_instance() {
        return Outcome::Rejected(AcquireError::OverQuota(after));
    }
    match reply {
        AllocatorReply::Lease(lease) => return Outcome::Lease(lease),
        AllocatorReply::Full(_) | AllocatorReply::Pending => names.insert(0, nearest),
        AllocatorReply::UnusableTarget(_)
        | AllocatorReply::Unresponsive
        | AllocatorReply::OverQuota(_) => {}
    }
    match wait::first_grant(node, query, names).await {
        Outcome::NoReply => {
            let lease = grant_locally(node, query);
            lease.map_or(Outcome::Rejected(AcquireError::NoTarget), Outcome::Lease)
        }
        outcome => outcome,
    }
}

/// One request to one allocator.
struct AllocatorCall {
    data_centre: DataCentreId,
    request: slots::Request,
    id: SlotRequestId,
    /// Longest wait in the allocator's queue; zero to be rejected instead of queued.
    wait: Duration,
    /// Workspace to be charged; `None` if no charge is due.
    charge: Option<WorkspaceId>,
    /// Where the request was charged.
    keeper: Option<Keeper>,
}

impl AllocatorCall {
    /// A request for a slot that is free now.
    fn immediate(node: &Node, query: &SlotQuery, data_centre: &str) -> AllocatorCall {
        let request = slots::Request {
            holder: node.id(),
            data_centre: data_centre.to_owned(),
            service: query.service.clone(),
            purpose: Purpose::Online,
            due: query.expires,
            remaining: Duration::ZERO,
            is_started: false,
            latest_start: query.latest_start,
            safe_start: query.latest_start,
            expires: query.expires,
            total_slots: 0,
            excluded: query.excluded.clone(),
            may_wait: false,
        };
        let id = node.leases.next_request_id();
        AllocatorCall {
            data_centre: data_centre.to_owned(),
            request,
            id,
            wait: Duration::ZERO,
            charge: None,
            keeper: None,
        }
    }

    /// Records that the request was charged, so that it isn't charged again.
    fn on_charged(&mut self, keeper: Keeper) {
        self.charge = None;
        self.keeper = Some(keeper);
    }

    fn to_message(&self, now: Instant) -> SlotRequest {
        SlotRequest {
            from: self.request.holder,
            data_centre: self.data_centre.clone(),
            service: self.request.service.clone(),
            purpose: self.request.purpose,
            id: self.id,
            due_ms: millis_until(self.request.due, now),
            remaining_ms: 0,
            is_started: false,
            latest_start_ms: millis_until(self.request.latest_start, now),
            safe_start_ms: millis_until(self.request.safe_start, now),
            expires_ms: millis_until(self.request.expires, now),
            total_slots: self.request.total_slots,
            wait_ms: self.wait.as_millis() as u64,
            limit: 1,
            excluded: self.request.excluded.clone(),
            charge: self.charge.clone(),
        }
    }
}

enum AllocatorReply {
    Lease(Lease),
    /// The granted slot is on this target, which is unusable.
    UnusableTarget(TargetId),
    /// No slot is free; one is expected after this delay.
    Full(Duration),
    /// The wait ended without a slot.
    Pending,
    Unresponsive,
    /// The request exceeds the quota of its workspace; its turn is after this delay.
    OverQuota(Duration),
}

/// Calls an allocator; returns the call together with its reply.
async fn call_allocator(node: Rc<Node>, call: AllocatorCall) -> (AllocatorCall, AllocatorReply) {
    let mut call = call;
    for _ in 0..MAX_UNUSABLE_GRANTS {
        match try_call(&node, &mut call).await {
            AllocatorReply::UnusableTarget(target) => call.request.excluded.push(target),
            reply => return (call, reply),
        }
    }
    // An allocator with such outdated targets is treated as unavailable.
    (call, AllocatorReply::Unresponsive)
}

async fn try_call(node: &Rc<Node>, call: &mut AllocatorCall) -> AllocatorReply {
    let now = clock::now();
    let Some(owner) = allocator_owner(node, &call.data_centre) else {
        return AllocatorReply::Unresponsive;
    };
    if owner.id == node.id() {
        if let Some(workspace) = &call.charge
            && allocator::owns(node, &call.data_centre)
        {
            if let Err(after) = quota::charge_local(node, &call.data_centre, workspace) {
                return AllocatorReply::OverQuota(after);
            }
            call.on_charged(Keeper::Local(call.data_centre.clone()));
        }
        let AllocatorCall { data_centre, request, id, wait, .. } = call;
        return match allocator::acquire_local(node, data_centre, request.clone(), *id, *wait).await
        {
            allocator::AcquireOutcome::Grant(grant) => {
                AllocatorReply::Lease(activate(node, grant, Purpose::Online, Grantor::Local))
            }
            allocator::AcquireOutcome::Full(after) => AllocatorReply::Full(after),
            allocator::AcquireOutcome::Pending => AllocatorReply::Pending,
            allocator::AcquireOutcome::NotOwner => AllocatorReply::Unresponsive,
        };
    }
    if node.is_unresponsive(owner.peer, now) {
        return AllocatorReply::Unresponsive;
    }
    let message = call.to_message(now);
    let reply =
        node.request(owner.peer, &PeerRequest::Slots(message), call.wait + REPLY_TIMEOUT).await;
    let reply = match reply {
        Ok(PeerReply::Charged(reply)) => {
            call.on_charged(Keeper::Remote(call.data_centre.clone(), owner.peer));
            Ok(*reply)
        }
        reply => reply,
    };
    match reply {
        Ok(PeerReply::Slots(grants, _)) => match grants.into_iter().next() {
            Some(grant) => match accept_remote_grant(node, grant, Purpose::Online, owner.peer) {
                Ok(lease) => AllocatorReply::Lease(lease),
                Err(target) => AllocatorReply::UnusableTarget(target),
            },
            None => AllocatorReply::Pending,
        },
        Ok(PeerReply::Full(after)) => AllocatorReply::Full(Duration::from_millis(after)),
        Ok(PeerReply::OverQuota(after)) => AllocatorReply::OverQuota(Duration::from_millis(after)),
        Ok(_) | Err(_) => AllocatorReply::Unresponsive,
    }
}

fn millis_until(to: Instant, now: Instant) -> u64 {
    to.saturating_duration_since(now).as_millis() as u64
}

/// Grants a slot without an allocator: on a random one of the targets with the fewest leases
/// of this instance, in the local data centre if possible.
fn grant_locally(node: &Rc<Node>, query: &SlotQuery) -> Option<Lease> {
    let registry = node.registry.borrow();
    let active = node.leases.active.borrow();
    let local_leases = |id: &str| active.values().filter(|lease| lease.held.target == id).count();
    let fits = |target: &&protocol::routing::Target| {
        target.service == query.service && !query.excluded.contains(&target.id)
    };
    let rank = |target: &&protocol::routing::Target| {
        let is_remote = target.data_centre != *node.data_centre();
        (is_remote, local_leases(&target.id), rand::random::<u32>())
    };
    let target = registry.usable().filter(fits).min_by_key(rank)?;
    let lease = node.leases.next_self_granted.get() + 1;
    node.leases.next_self_granted.set(lease);
    let grant = Grant { lease, target: target.id.clone(), address: target.address };
    drop(active);
    slog::info!(node.log, "slot granted without allocator"; "target" => &grant.target,
        "service" => &query.service);
    Some(activate(node, grant, Purpose::Online, Grantor::None))
}
