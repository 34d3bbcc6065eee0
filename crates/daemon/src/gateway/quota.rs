//! Charges online requests to the quotas of their workspaces.
//!
//! [`coordination::quota::Ledger`] decides. The instance that runs the slot allocator of a data
//! centre keeps its ledger, so a charge goes along with the request for a slot. While no
//! allocator replies, or its instance knows of no quotas, each instance charges its own part.
//! A ledger whose part is used up borrows from those of the other data centres. Where the next
//! token is due shortly, a fresh request is charged for it and its sender waits.

mod charge;

pub use charge::{Charge, Keeper};

use super::allocator;
use super::leases::{REPLY_TIMEOUT, allocator_owner};
use super::message::{PeerReply, PeerRequest};
use super::node::Node;
use crate::clock;
use coordination::capacity;
use coordination::limit::TokenBucket;
use coordination::membership::Member;
use coordination::quota::{Attempt, Ledger, Policy, Report, Snapshot};
use coordination::slots::Workload;
use protocol::settings::Settings;
use protocol::workspace::Quota;
use protocol::{DataCentreId, WorkspaceId};
use slog::Logger;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Requests that an instance may run at once on its own part of a quota.
const LOCAL_BURST: f64 = 1.0;
/// Longest time after which a caller is asked to retry when an instance's own part is used up.
const MAX_LOCAL_DELAY: Duration = Duration::from_secs(1);
/// Age up to which a ledger reports more often, since it knows no shares yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// How long other data centres are not asked again after all have refused to lend.
const USED_UP_PERIOD: Duration = Duration::from_millis(50);
/// Part of what remains of the objective that a request may wait for its token.
const MAX_WAIT_RATIO: f64 = 1.0 / 3.0;
/// Shortest wait for a token during which other data centres are asked to lend; a shorter one is
/// over about as soon as they reply.
const MIN_BORROWED_WAIT: Duration = Duration::from_millis(5);
/// Age up to which a snapshot tells the shares of a ledger that starts.
const SNAPSHOT_TTL: Duration = Duration::from_secs(2);
/// Time between the reports of a new ledger.
const STARTUP_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// The quota accounts kept by this instance.
pub struct Quotas {
    policy: Policy,
    /// Ledgers of the data centres whose allocator runs here.
    ledgers: RefCell<BTreeMap<DataCentreId, Ledger>>,
    /// Snapshots of ledgers that this instance is the next to keep, with the time of receipt.
    snapshots: RefCell<BTreeMap<DataCentreId, (Instant, Snapshot)>>,
    /// This instance's own part of each quota.
    local: RefCell<HashMap<WorkspaceId, TokenBucket>>,
    /// Workspaces whose quota was used up in all data centres, and until when this is assumed.
    used_up: RefCell<HashMap<WorkspaceId, Instant>>,
}

impl Quotas {
    /// No ledgers yet.
    pub fn new(settings: &Settings) -> Quotas {
        let policy = Policy {
            window: settings.quota.window,
            excess_ratio: settings.quota.excess_ratio,
            excess_requests: settings.quota.excess_requests,
            fresh_first: settings.policy.fresh_first,
            ..Policy::default()
        };
        Quotas {
            policy,
            ledgers: RefCell::default(),
            snapshots: RefCell::default(),
            local: RefCell::default(),
            used_up: RefCell::default(),
        }
    }

    /// Keeps ledgers for the data centres in `owned`; those in `sharers` share the quotas.
    pub fn set_owned(
        &self,
        owned: &BTreeSet<DataCentreId>,
        sharers: &BTreeSet<DataCentreId>,
        log: &Logger,
    ) {
        let now = clock::now();
        let mut ledgers = self.ledgers.borrow_mut();
        ledgers.retain(|name, _| owned.contains(name));
        for name in owned {
            let new = || self.new_ledger(name, sharers, now, log);
            ledgers.entry(name.clone()).or_insert_with(new).set_data_centres(sharers);
        }
    }

    /// A ledger that continues from a recent snapshot, if there is one.
    fn new_ledger(
        &self,
        name: &str,
        sharers: &BTreeSet<DataCentreId>,
        now: Instant,
        log: &Logger,
    ) -> Ledger {
        let mut ledger = Ledger::new(self.policy, name, rand::random(), now);
        ledger.set_data_centres(sharers);
        let snapshot = self.snapshots.borrow_mut().remove(name);
        let recent = snapshot.filter(|(received, _)| now < *received + SNAPSHOT_TTL);
        let age = recent.as_ref().map(|(received, _)| now.saturating_duration_since(*received));
        slog::info!(log, "quota ledger started"; "data_centre" => name,
            "snapshot_age_ms" => age.map(|age| age.as_millis() as u64));
        if let Some((_, snapshot)) = recent {
            ledger.restore(snapshot, now);
        }
        ledger
    }

    /// Time until the next exchange of reports.
    fn exchange_delay(&self) -> Duration {
        let now = clock::now();
        let is_new = |ledger: &Ledger| ledger.age(now) < STARTUP_PERIOD;
        match self.ledgers.borrow().values().any(is_new) {
            true => STARTUP_EXCHANGE_INTERVAL,
            false => self.policy.exchange_interval,
        }
    }
}

/// Quota of a workspace in the configuration in force here; `None` if it has none.
fn quota_of(node: &Node, workspace: &str) -> Option<Quota> {
    node.config()?.table.workspaces.as_ref()?.get(workspace)?.quota
}

fn take_local(node: &Node, workspace: &str, quota: Quota) -> Result<(), Duration> {
    let instances = node.members.borrow().workers().count().max(1);
    let rate = quota.rate / instances as f64;
    let now = clock::now();
    let mut local = node.leases.quotas.local.borrow_mut();
    let new = || TokenBucket::new(rate, LOCAL_BURST, now);
    let bucket = local.entry(workspace.to_owned()).or_insert_with(new);
    bucket.set(rate, LOCAL_BURST);
    // An allocator is likely to reply before a small part allows the next request.
    bucket.try_take(now).map_err(|after| after.min(MAX_LOCAL_DELAY))
}

/// What a request is charged as, `until_latest_start` before the latest start with which it meets
/// its objective. It waits for a token only if its sender accepts that.
pub fn attempt(
    node: &Node,
    workload: &Workload,
    until_latest_start: Duration,
    accepts_wait: bool,
) -> Attempt {
    if workload.is_retry {
        return Attempt::Retry;
    }
    if !accepts_wait || until_latest_start.is_zero() {
        return Attempt::Fresh { max_wait: Duration::ZERO };
    }
    let target_time = workload.objective.mul_f64(node.settings.policy.target_share);
    let remaining = workload.objective.min(until_latest_start + target_time);
    Attempt::Fresh { max_wait: remaining.mul_f64(MAX_WAIT_RATIO) }
}

/// Charges a request to the ledger of a data centre, which is kept here. Returns the time until its
/// token is due.
///
/// # Errors
///
/// The request exceeds the quota; the time after which it is its turn.
pub fn charge_local(
    node: &Node,
    data_centre: &str,
    workspace: &str,
    attempt: Attempt,
) -> Result<Duration, Duration> {
    let Some(quota) = quota_of(node, workspace) else {
        return Ok(Duration::ZERO);
    };
    match node.leases.quotas.ledgers.borrow_mut().get_mut(data_centre) {
        Some(ledger) => ledger.charge(workspace, quota, attempt, clock::now()),
        None => Ok(Duration::ZERO),
    }
}

/// Whether a request over the quota may be charged to another data centre. A retry isn't: parts
/// of a quota follow the demand, so where one has nothing to spare for retries, no other has.
pub fn may_borrow(node: &Node, workload: &Workload) -> bool {
    !(workload.is_retry && node.settings.policy.fresh_first)
}

/// Waits until the token of a charge is due, or another data centre lends one that is due now.
pub async fn wait_for_token(
    node: &Rc<Node>,
    charge: &mut Charge,
    after: Duration,
    data_centres: &[DataCentreId],
) {
    let reserved_at = clock::now();
    if let Some(workspace) = charge.workspace().filter(|_| after >= MIN_BORROWED_WAIT) {
        let lender = find_lender(node, workspace, data_centres);
        if let Ok(Some(keeper)) = tokio::time::timeout(after, lender).await {
            charge.move_to(keeper);
            return;
        }
    }
    tokio::time::sleep(after.saturating_sub(clock::since(reserved_at))).await;
    let waited = clock::since(reserved_at);
    charge.on_waited(waited);
    node.metrics.time("quota.wait", waited);
}

/// Charges a request to the ledger of another data centre, since that of its own is used up;
/// `false` if none lends, or all refused a moment ago.
pub async fn borrow(node: &Rc<Node>, charge: &mut Charge, data_centres: &[DataCentreId]) -> bool {
    let Some(workspace) = charge.due() else {
        return false;
    };
    let lender = find_lender(node, workspace, data_centres).await;
    let is_lent = lender.is_some();
    lender.into_iter().for_each(|keeper| charge.on_charged(keeper));
    is_lent
}

/// Charges a request to the ledger of any of these data centres that lends.
async fn find_lender(
    node: &Rc<Node>,
    workspace: &str,
    data_centres: &[DataCentreId],
) -> Option<Keeper> {
    let now = clock::now();
    let used_up_until = node.leases.quotas.used_up.borrow().get(workspace).copied();
    if used_up_until.is_some_and(|until| now < until) {
        return None;
    }
    for name in data_centres {
        if let Some(keeper) = borrow_from(node, name, workspace).await {
            return Some(keeper);
        }
    }
    let mut used_up = node.leases.quotas.used_up.borrow_mut();
    used_up.retain(|_, until| now < *until);
    used_up.insert(workspace.to_owned(), clock::now() + USED_UP_PERIOD);
    None
}

async fn borrow_from(node: &Rc<Node>, data_centre: &str, workspace: &str) -> Option<Keeper> {
    let keeper = allocator_owner(node, data_centre)?;
    if keeper.data_centre != data_centre || node.is_unresponsive(keeper.peer, clock::now()) {
        return None;
    }
    let request = PeerRequest::Borrow(data_centre.to_owned(), workspace.to_owned());
    match node.request(keeper.peer, &request, REPLY_TIMEOUT).await {
        Ok(PeerReply::Acknowledged) => Some(Keeper::Remote(data_centre.to_owned(), keeper.peer)),
        Ok(_) | Err(_) => None,
    }
}

/// Handles a request to lend from the ledger of a data centre.
pub fn on_borrow(node: &Rc<Node>, data_centre: &str, workspace: &str) -> PeerReply {
    if !allocator::owns(node, data_centre) {
        return PeerReply::NotOwner;
    }
    let Some(quota) = quota_of(node, workspace) else {
        return PeerReply::Acknowledged;
    };
    let mut ledgers = node.leases.quotas.ledgers.borrow_mut();
    match ledgers.get_mut(data_centre).map(|ledger| ledger.lend(workspace, quota, clock::now())) {
        Some(Ok(())) => PeerReply::Acknowledged,
        Some(Err(_)) | None => PeerReply::NotOwner,
    }
}

/// Gives a charge back to the ledger of a data centre if it is kept here.
pub fn refund_local(node: &Node, data_centre: &str, workspace: &str) {
    if let Some(ledger) = node.leases.quotas.ledgers.borrow_mut().get_mut(data_centre) {
        ledger.refund(workspace);
    }
}

/// Handles the demand that the keeper of another data centre reports.
pub fn on_report(node: &Node, report: Report) {
    let now = clock::now();
    if let Some(ledger) = node.leases.quotas.ledgers.borrow_mut().get_mut(node.data_centre()) {
        ledger.on_report(report, now);
    }
}

/// Handles the snapshot of a ledger that this instance is the next to keep.
pub fn on_snapshot(node: &Node, snapshot: Snapshot) {
    let mut snapshots = node.leases.quotas.snapshots.borrow_mut();
    snapshots.insert(snapshot.data_centre.clone(), (clock::now(), snapshot));
}

/// Exchanges reports with the keepers of the other data centres until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(node.leases.quotas.exchange_delay()) => {}
            () = stop.cancelled() => return,
        }
        exchange(&node);
        node.leases.quotas.ledgers.borrow_mut().values_mut().for_each(|ledger| {
            log_rejected(&node, ledger);
        });
    }
}

/// Only the ledger of this instance's own data centre is exchanged: during a network partition,
/// instances on the other side keep a ledger of this data centre too, which gets no charges.
fn exchange(node: &Rc<Node>) {
    let (report, snapshot) = {
        let mut ledgers = node.leases.quotas.ledgers.borrow_mut();
        let Some(ledger) = ledgers.get_mut(node.data_centre()) else {
            return;
        };
        (ledger.exchange(clock::now()), ledger.snapshot())
    };
    let has_quotas = node.config().is_some_and(|config| config.table.workspaces.is_some());
    if !has_quotas {
        return;
    }
    for name in node.leases.data_centres.borrow().iter() {
        let keeper = allocator_owner(node, name).filter(|owner| owner.data_centre == *name);
        if let Some(keeper) = keeper.filter(|keeper| keeper.id != node.id()) {
            node.notify(keeper.peer, PeerRequest::Demand(report.clone()));
        }
    }
    if let Some(next) = next_keeper(node) {
        node.notify(next.peer, PeerRequest::LedgerSnapshot(snapshot));
    }
}

/// The instance that keeps the ledger of this data centre if this instance is lost.
fn next_keeper(node: &Node) -> Option<Member> {
    let members = node.members.borrow();
    let is_candidate =
        |member: &&Member| member.data_centre == *node.data_centre() && member.id != node.id();
    let ids = members.workers().filter(is_candidate).map(|member| member.id);
    let id = capacity::owner(node.data_centre().as_bytes(), ids)?;
    members.workers().find(|member| member.id == id).cloned()
}

fn log_rejected(node: &Node, ledger: &mut Ledger) {
    let now = clock::now();
    for (workspace, rejected) in ledger.take_rejected() {
        node.metrics.count_many(&format!("quota.rejected.{}", metric_name(&workspace)), rejected);
        let Some(balance) = ledger.balance(&workspace, now) else {
            continue;
        };
        let quota = quota_of(node, &workspace);
        slog::info!(node.log, "quota exceeded"; "workspace" => &workspace, "rejected" => rejected,
            "rate" => quota.map(|quota| quota.rate), "burst" => quota.map(|quota| quota.burst),
            "tokens" => balance.tokens, "share" => balance.share, "demand" => balance.demand,
            "fresh_demand" => balance.fresh_demand,
            "report_age_ms" => balance.report_age.map(|age| age.as_millis() as u64));
    }
}

/// A name without the characters that separate the parts of a metric.
pub fn metric_name(workspace: &str) -> String {
    let is_kept = |c: char| c.is_ascii_alphanumeric() || c == '-';
    workspace.chars().map(|c| if is_kept(c) { c } else { '_' }).collect()
}
