//! Leases on slots that this instance requests and holds, and the state of the slot
//! allocators that it owns.

mod batch;
mod call;
mod lease;
mod report;
mod wait;

pub use batch::{BatchQuery, acquire_batch};
pub(super) use call::REPLY_TIMEOUT;
pub use lease::Lease;
pub use report::report;

use super::message::SlotRequestId;
use super::node::Node;
use super::quota::{self, Charge, Quotas};
use super::residency;
use crate::clock;
use call::{AllocatorCall, AllocatorReply, call_allocator};
use coordination::membership::Member;
use coordination::releases::Release;
use coordination::residency::Residency;
use coordination::slots::{
    Allocator, Forecast, Grant, LeaseId, Policy, Purpose, SentPrompts, WaiterId, Workload,
};
use coordination::{capacity, hash};
use lease::{ActiveLease, Grantor, activate};
use protocol::routing::Target;
use protocol::{DataCentreId, InstanceId, SoftwareVersion, TargetId};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Set in the ids of leases that an instance grants itself, so that they never collide
/// with those of an allocator.
const SELF_GRANTED_BIT: LeaseId = 1 << 63;

/// Minimum interval between slots that an instance grants itself of one target whose rate is
/// limited.
const SELF_GRANT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after a change of the members until their registries have been compared: they may have
/// been cut off from each other.
const SETTLING_TIME: Duration = Duration::from_secs(2);

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
    /// Software version of the targets that qualify; `None` for any.
    pub software: Option<SoftwareVersion>,
    /// Regions in which the request may be served.
    pub residency: Residency,
    /// What is known of the request.
    pub workload: Workload,
}

/// Why no lease was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// All slots are in use; one is expected to be free after this delay.
    Full(Duration),
    /// No usable target of the service is known.
    NoTarget,
    /// No target of the software version that began the stream is left.
    NoTargetOfVersion,
    /// Which version began the stream is unknown.
    UnknownVersion,
    /// Which version began the stream is unknown here, and instances that may know it don't reply.
    NoReply,
    /// The request has crashed targets and is quarantined for this much longer.
    Quarantined(Duration),
    /// The request exceeds the quota of its workspace; its turn is after this delay.
    OverQuota(Duration),
    /// The instance stops and would probably cut the request.
    Stopping,
}

impl SlotQuery {
    /// Whether a target qualifies, wherever it is.
    fn admits(&self, target: &Target) -> bool {
        target.service == self.service
            && (self.software.is_none() || self.software == target.software)
            && !self.excluded.contains(&target.id)
    }
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
    /// Whether the rate of requests to the targets of some service is limited.
    pub(super) has_rate_limits: Cell<bool>,
    next_self_granted: Cell<LeaseId>,
    /// When this instance last granted itself a slot of each target whose rate is limited.
    self_granted_at: RefCell<HashMap<TargetId, Instant>>,
    next_request_id: Cell<SlotRequestId>,
    /// Time to read a token of a prompt, as allocators last told; zero if unknown.
    token_time: Cell<Duration>,
    /// What this instance knows of the targets that it sends requests to.
    pub(super) sent_prompts: RefCell<SentPrompts>,
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
            has_rate_limits: Cell::default(),
            self_granted_at: RefCell::default(),
            next_self_granted: Cell::new(seed | SELF_GRANTED_BIT),
            next_request_id: Cell::default(),
            token_time: Cell::default(),
            sent_prompts: RefCell::default(),
        }
    }

    fn next_request_id(&self) -> SlotRequestId {
        let id = self.next_request_id.get() + 1;
        self.next_request_id.set(id);
        id
    }

    /// Records what an allocator expects of a request.
    pub(super) fn on_forecast(&self, forecast: &Forecast) {
        let token_time = Duration::try_from_secs_f64(forecast.token_us * 1e-6);
        self.token_time.set(token_time.unwrap_or_default());
    }

    /// Records that a target has completed a request, and so has read its prompt.
    pub(super) fn on_completed(&self, grant: &Grant, workload: &Workload) {
        let min_tokens = workload.min_long_tokens(self.token_time.get());
        if let (Some(forecast), Some(min_tokens)) = (&grant.forecast, min_tokens) {
            let mut sent_prompts = self.sent_prompts.borrow_mut();
            sent_prompts.on_completed(&grant.target, &workload.prompt, min_tokens, forecast);
        }
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
    data_centres_of(node, |target| target.service == service)
}

/// As [`data_centres`], for the targets that `fits` selects.
fn data_centres_of(node: &Node, fits: impl Fn(&Target) -> bool) -> Vec<DataCentreId> {
    let registry = node.registry.borrow();
    let selected = registry.usable().filter(|target| fits(target));
    let names: BTreeSet<&DataCentreId> = selected.map(|target| &target.data_centre).collect();
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
            Outcome::Lease(lease) => return Ok(*lease),
            Outcome::Rejected(error) => return Err(error),
            Outcome::NoReply => return Err(AcquireError::NoTarget),
            // The charge was borrowed, its token is due now, or allocators and their owners may have changed during
            // the wait.
            Outcome::Pending => {}
        }
    }
}

enum Outcome {
    Lease(Box<Lease>),
    Rejected(AcquireError),
    /// No slot was granted so far, and the query has not expired.
    Pending,
    /// No allocator replied.
    NoReply,
}

async fn acquire_once(node: &Rc<Node>, query: &SlotQuery, charge: &mut Charge) -> Outcome {
    let mut names = match query.software {
        // Few targets may be of the version: no wait for one that failed before.
        Some(_) => data_centres_of(node, |target| query.admits(target)),
        None => data_centres(node, &query.service),
    };
    names.retain(|name| residency::allows(node, &query.residency, name));
    if names.is_empty() {
        return Outcome::Rejected(no_target(node, query));
    }
    if node.settings.policy.places_by_delay {
        prefer_home(&mut names, &query.workload, node.leases.token_time.get());
    }
    // Bounds the messages per waiting request, however many data centres there are.
    names.truncate(node.settings.policy.max_allocators);
    let nearest = names.remove(0);
    let mut call = AllocatorCall::immediate(node, query, &nearest);
    call.charge = charge.due().cloned();
    let (call, reply) = call_allocator(node.clone(), call).await;
    call.keeper.into_iter().for_each(|keeper| charge.on_charged(keeper));
    match reply {
        AllocatorReply::OverQuota(after) => {
            let may_borrow = quota::may_borrow(node, &query.workload);
            return match may_borrow && quota::borrow(node, charge, &names).await {
                true => Outcome::Pending,
                false => Outcome::Rejected(AcquireError::OverQuota(after)),
            };
        }
        AllocatorReply::Reserved(after) => {
            quota::wait_for_token(node, charge, after, &names).await;
            return Outcome::Pending;
        }
        _ => {}
    }
    if let Err(after) = charge.charge_instance() {
        return Outcome::Rejected(AcquireError::OverQuota(after));
    }
    match reply {
        AllocatorReply::Lease(lease) => return Outcome::Lease(lease),
        AllocatorReply::Full(_) | AllocatorReply::Pending => names.insert(0, nearest),
        AllocatorReply::UnusableTarget(_)
        | AllocatorReply::Unresponsive
        | AllocatorReply::Reserved(_)
        | AllocatorReply::OverQuota(_) => {}
    }
    match wait::first_grant(node, query, names).await {
        Outcome::NoReply => {
            let lease = grant_locally(node, query);
            let lease = lease.map(|lease| Outcome::Lease(Box::new(lease)));
            lease.unwrap_or(Outcome::Rejected(AcquireError::NoTarget))
        }
        outcome => outcome,
    }
}

/// Why no target qualifies. A version without any target is gone, unless the registry may be out
/// of date.
fn no_target(node: &Node, query: &SlotQuery) -> AcquireError {
    let Some(version) = &query.software else {
        return AcquireError::NoTarget;
    };
    let release = Release { service: query.service.clone(), software: version.clone() };
    let is_left = node.registry.borrow().staying().any(|t| Release::of_target(t) == release);
    let may_be_outdated = node.store.is_disconnected() || node.is_isolated();
    if is_left || may_be_outdated || !is_gone(node, &release) {
        return AcquireError::NoTarget;
    }
    AcquireError::NoTargetOfVersion
}

/// Whether a version without targets in the registry probably has none any more: this instance has
/// seen them leave, or members have had time to report them since the last change of members and
/// since it heard of the version.
fn is_gone(node: &Node, release: &Release) -> bool {
    let releases = node.releases.borrow();
    let is_settled = clock::since(node.members_changed.get()) >= SETTLING_TIME;
    let is_old = releases.is_known_for(release, SETTLING_TIME, clock::now());
    releases.has_departed(release) || (is_settled && is_old)
}

/// Orders data centres so that the long parts of a prompt are read in as few of them as possible.
fn prefer_home(names: &mut [DataCentreId], workload: &Workload, token_time: Duration) {
    if let Some(part) = workload.long_part(token_time) {
        names.sort_by_key(|name| Reverse(hash::weight(name.as_bytes(), part)));
    }
}

/// Grants a slot without an allocator: on a random one of the targets with the fewest leases
/// of this instance, in the local data centre if possible. A target whose rate is limited is used
/// only once in a while, since other instances may do the same.
fn grant_locally(node: &Rc<Node>, query: &SlotQuery) -> Option<Lease> {
    let registry = node.registry.borrow();
    let active = node.leases.active.borrow();
    let local_leases = |id: &str| active.values().filter(|lease| lease.held.target == id).count();
    let now = clock::now();
    let mut self_granted_at = node.leases.self_granted_at.borrow_mut();
    self_granted_at.retain(|_, at| now.saturating_duration_since(*at) < SELF_GRANT_INTERVAL);
    let is_rate_limited = node.is_rate_limited(&query.service);
    let fits = |target: &&Target| {
        query.admits(target)
            && !self_granted_at.contains_key(&target.id)
            && residency::allows(node, &query.residency, &target.data_centre)
    };
    let rank = |target: &&Target| {
        let is_remote = target.data_centre != *node.data_centre();
        (is_remote, local_leases(&target.id), rand::random::<u32>())
    };
    let target = registry.usable().filter(fits).min_by_key(rank)?;
    let lease = node.leases.next_self_granted.get() + 1;
    node.leases.next_self_granted.set(lease);
    if is_rate_limited {
        self_granted_at.insert(target.id.clone(), now);
    }
    let grant = Grant {
        lease,
        target: target.id.clone(),
        address: target.address,
        software: target.software.clone(),
        queued_ms: 0,
        forecast: None,
        copy_from: None,
    };
    drop(active);
    slog::info!(node.log, "slot granted without allocator"; "target" => &grant.target,
        "service" => &query.service);
    Some(activate(node, grant, Purpose::Online, Grantor::None, now))
}
