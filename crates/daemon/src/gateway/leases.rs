//! Slots: asks for leases, and keeps the accounts that fall to this instance.

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
use crate::clock;
use coordination::membership::Member;
use coordination::slots::{self, Allocator, Grant, LeaseId, Policy, Purpose, WaiterId};
use coordination::{capacity, hash};
use lease::{ActiveLease, Grantor, accept_remote_grant, activate};
use protocol::{DataCentreId, InstanceId, TargetId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest wait for an account's immediate answer. Within a region a round trip
/// takes about 2 ms; a keeper that needs more is slow or gone, and a decision
/// without it is better than none.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Slots of targets that have left, after which an account isn't asked again: it
/// learns of each, and of the others within the 500 ms between comparisons.
const MAX_LEFT_TARGETS: u32 = 4;
/// Leases that an instance grants itself while no account answers carry this
/// bit, so that they never collide with an account's own.
const SELF_GRANTED_BIT: LeaseId = 1 << 63;

/// What is asked of the accounts.
#[derive(Clone, Debug)]
pub struct SlotQuery {
    /// Service.
    pub service: String,
    /// Until when a slot brings the answer within its objective.
    pub latest_start: Instant,
    /// Until when the caller waits.
    pub expires: Instant,
    /// Targets that won't do.
    pub excluded: Vec<String>,
}

/// Why there is no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// All slots are taken; one is expected after this long.
    Full(Duration),
    /// No target of the service is known.
    NoTarget,
    /// The request crashes its targets, and is held for this long.
    Quarantined(Duration),
}

/// Leases that this instance holds, and the accounts that it keeps.
pub struct Leases {
    pub(super) allocator: RefCell<Allocator>,
    pub(super) owned: RefCell<BTreeSet<DataCentreId>>,
    /// Versions of members and targets that the ledger was last set for.
    pub(super) seen_versions: Cell<(u64, u64)>,
    /// Data centres with targets, as of the version seen.
    pub(super) data_centres: RefCell<BTreeSet<DataCentreId>>,
    pub(super) waiters: RefCell<HashMap<WaiterId, oneshot::Sender<Result<Grant, Duration>>>>,
    pub(super) is_checking_waiters: Cell<bool>,
    /// Wishes that wait in the accounts kept here.
    pub(super) pending: RefCell<HashMap<(InstanceId, SlotRequestId), WaiterId>>,
    active: RefCell<HashMap<LeaseId, ActiveLease>>,
    next_self_granted: Cell<LeaseId>,
    next_request_id: Cell<SlotRequestId>,
}

impl Leases {
    /// No leases and no accounts.
    pub fn new(id: InstanceId, policy: Policy, now: Instant) -> Leases {
        // Ids differ between accounts: the upper half comes from the keeper.
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
            next_self_granted: Cell::new(seed | SELF_GRANTED_BIT),
            next_request_id: Cell::default(),
        }
    }

    fn next_request_id(&self) -> SlotRequestId {
        let id = self.next_request_id.get() + 1;
        self.next_request_id.set(id);
        id
    }

    /// Leases of the accounts kept here: online and batch.
    pub fn in_use(&self) -> [u32; 2] {
        self.allocator.borrow().in_use()
    }

    /// Leases that this instance holds.
    pub fn held(&self) -> usize {
        self.active.borrow().len()
    }

    /// Asks the holder of a lease here to stop.
    pub fn on_revoked(&self, lease: LeaseId) {
        if let Some(lease) = self.active.borrow().get(&lease) {
            lease.stop.cancel();
        }
    }
}

/// The member that keeps the account of a data centre: one of the strongest of that
/// data centre, or of all if none of its own is left.
pub fn allocator_owner(node: &Node, data_centre: &str) -> Option<Member> {
    let members = node.members.borrow();
    let choose = |own_only: bool| {
        let fits = |m: &&Member| !own_only || m.data_centre == data_centre;
        let ids = members.workers().filter(fits).map(|member| member.id);
        capacity::owner(data_centre.as_bytes(), ids)
    };
    let id = choose(true).or_else(|| choose(false))?;
    members.workers().find(|member| member.id == id).cloned()
}

/// Data centres with targets of a service, the own one first; the order of the
/// others differs between instances, so that they don't all turn to the same.
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

/// Gets a lease for an online request: a slot that is free now, the own data
/// centre's first, else the first that comes free in any account.
///
/// # Errors
///
/// Why there is none.
pub async fn acquire(node: &Rc<Node>, query: &SlotQuery) -> Result<Lease, AcquireError> {
    loop {
        match acquire_once(node, query).await {
            Outcome::Lease(lease) => return Ok(lease),
            Outcome::Refused(refusal) => return Err(refusal),
            Outcome::Unanswered => return Err(AcquireError::NoTarget),
            // Accounts and their keepers may have changed meanwhile.
            Outcome::Pending => {}
        }
    }
}

enum Outcome {
    Lease(Lease),
    Refused(AcquireError),
    /// Nothing came free so far; there is time left.
    Pending,
    /// No account answered.
    Unanswered,
}

async fn acquire_once(node: &Rc<Node>, query: &SlotQuery) -> Outcome {
    let mut names = data_centres(node, &query.service);
    if names.is_empty() {
        return Outcome::Refused(AcquireError::NoTarget);
    }
    // Messages grow with the requests that wait, not with the data centres.
    names.truncate(node.settings.policy.max_allocators);
    let nearest = names.remove(0);
    match ask(node.clone(), AllocatorCall::look(node, query, &nearest)).await.1 {
        AllocatorReply::Lease(lease) => return Outcome::Lease(lease),
        AllocatorReply::Full(_) | AllocatorReply::Pending => names.insert(0, nearest),
        AllocatorReply::TargetLeft(_) | AllocatorReply::Unresponsive => {}
    }
    match wait::first(node, query, names).await {
        Outcome::Unanswered => {
            let lease = grant_locally(node, query);
            lease.map_or(Outcome::Refused(AcquireError::NoTarget), Outcome::Lease)
        }
        outcome => outcome,
    }
}

/// One wish at one account.
struct AllocatorCall {
    data_centre: DataCentreId,
    ask: slots::Request,
    id: SlotRequestId,
    /// How long it may wait there; zero if it may not.
    wait: Duration,
}

impl AllocatorCall {
    /// A look for a slot that is free now.
    fn look(node: &Node, query: &SlotQuery, data_centre: &str) -> AllocatorCall {
        let ask = slots::Request {
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
        AllocatorCall { data_centre: data_centre.to_owned(), ask, id, wait: Duration::ZERO }
    }

    fn request(&self, now: Instant) -> SlotRequest {
        SlotRequest {
            from: self.ask.holder,
            data_centre: self.data_centre.clone(),
            service: self.ask.service.clone(),
            purpose: self.ask.purpose,
            id: self.id,
            due_ms: span(self.ask.due, now),
            remaining_ms: 0,
            is_started: false,
            latest_start_ms: span(self.ask.latest_start, now),
            safe_start_ms: span(self.ask.safe_start, now),
            expires_ms: span(self.ask.expires, now),
            total_slots: self.ask.total_slots,
            wait_ms: self.wait.as_millis() as u64,
            limit: 1,
            excluded: self.ask.excluded.clone(),
        }
    }
}

enum AllocatorReply {
    Lease(Lease),
    /// A slot of this target, which has left.
    TargetLeft(TargetId),
    /// Nothing is free; a slot is expected after this long.
    Full(Duration),
    /// The wait there is over without a slot.
    Pending,
    Unresponsive,
}

/// Makes a wish, and gives it back with its answer.
async fn ask(node: Rc<Node>, call: AllocatorCall) -> (AllocatorCall, AllocatorReply) {
    let mut call = call;
    for _ in 0..MAX_LEFT_TARGETS {
        match answer(&node, &call).await {
            AllocatorReply::TargetLeft(target) => call.ask.excluded.push(target),
            reply => return (call, reply),
        }
    }
    // An account that knows so little is no better than none.
    (call, AllocatorReply::Unresponsive)
}

async fn answer(node: &Rc<Node>, call: &AllocatorCall) -> AllocatorReply {
    let now = clock::now();
    let Some(owner) = allocator_owner(node, &call.data_centre) else {
        return AllocatorReply::Unresponsive;
    };
    if owner.id == node.id() {
        let AllocatorCall { data_centre, ask, id, wait } = call;
        return match allocator::acquire_local(node, data_centre, ask.clone(), *id, *wait).await {
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
    let request = call.request(now);
    match node.request(owner.peer, &PeerRequest::Slots(request), call.wait + REPLY_TIMEOUT).await {
        Ok(PeerReply::Slots(grants, _)) => match grants.into_iter().next() {
            Some(grant) => match accept_remote_grant(node, grant, Purpose::Online, owner.peer) {
                Ok(lease) => AllocatorReply::Lease(lease),
                Err(target) => AllocatorReply::TargetLeft(target),
            },
            None => AllocatorReply::Pending,
        },
        Ok(PeerReply::Full(after)) => AllocatorReply::Full(Duration::from_millis(after)),
        Ok(_) | Err(_) => AllocatorReply::Unresponsive,
    }
}

fn span(to: Instant, now: Instant) -> u64 {
    to.saturating_duration_since(now).as_millis() as u64
}

/// A slot chosen without any account: of the least loaded targets by what this
/// instance sends them itself, one by lot.
fn grant_locally(node: &Rc<Node>, query: &SlotQuery) -> Option<Lease> {
    let registry = node.registry.borrow();
    let active = node.leases.active.borrow();
    let own = |id: &str| active.values().filter(|lease| lease.held.target == id).count();
    let fits = |target: &&protocol::routing::Target| {
        target.service == query.service && !query.excluded.contains(&target.id)
    };
    let rank = |target: &&protocol::routing::Target| {
        let is_far = target.data_centre != *node.data_centre();
        (is_far, own(&target.id), rand::random::<u32>())
    };
    let target = registry.usable().filter(fits).min_by_key(rank)?;
    let lease = node.leases.next_self_granted.get() + 1;
    node.leases.next_self_granted.set(lease);
    let grant = Grant { lease, target: target.id.clone(), address: target.address };
    drop(active);
    slog::info!(node.log, "slot without account"; "target" => &grant.target,
        "service" => &query.service);
    Some(activate(node, grant, Purpose::Online, Grantor::None))
}
