//! Batch jobs known to this instance: those it holds, and the reported status of all
//! others.

use super::held_job::HeldJob;
use super::message::{JobFilter, JobStatus, PeerReply, PeerRequest, Update};
use super::node::{Config, Node};
use super::stored_job::StoredJob;
use super::{broadcast, job_writer, peers, takeover};
use crate::clock;
use coordination::membership::Member;
use coordination::pending_jobs::Submission;
use coordination::run_time::Estimate;
use coordination::{hash, pending_jobs};
use protocol::routing::Route;
use protocol::{DataCentreId, ServiceId, WorkspaceId};
use state::progress::{Handoff, Holder, Job, JobId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Statuses that change within this window are broadcast in one message.
const STATUS_BATCH_WINDOW: Duration = Duration::from_millis(60);
/// Longest wait for a witness to acknowledge a new job.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(60);
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// All jobs known to this instance.
#[derive(Default)]
pub struct JobTable {
    /// Jobs in memory.
    pub held: RefCell<HashMap<JobId, Rc<HeldJob>>>,
    /// Statuses as reported by holders.
    pub directory: RefCell<HashMap<JobId, JobStatus>>,
    /// Statuses that wait to be broadcast.
    outbox: RefCell<HashMap<JobId, JobStatus>>,
    /// Jobs read from the platform on behalf of callers, with the time of the read.
    pub(super) cache: RefCell<HashMap<JobId, (Instant, StoredJob)>>,
    /// When open jobs were last fetched from another instance.
    pub last_fetch: Cell<Option<Instant>>,
    pub(super) work: Notify,
    /// Estimate of how long items run.
    pub(super) run_time: RefCell<Estimate>,
    /// Hand-offs received for jobs whose takeover is in progress.
    pub(super) pending_takeovers: RefCell<HashMap<JobId, Vec<Handoff>>>,
    pub(super) acquiring: RefCell<HashSet<(String, ServiceId)>>,
    /// Tokens of submissions whose outcome isn't known.
    pub(super) pending: RefCell<pending_jobs::Table>,
}

impl JobTable {
    /// Number of jobs in memory.
    pub fn held_count(&self) -> usize {
        self.held.borrow().len()
    }

    /// Unfinished jobs held here, without those that are being handed off.
    pub fn open_jobs(&self) -> Vec<Rc<HeldJob>> {
        let held_jobs = self.held.borrow();
        let is_open = |held: &&Rc<HeldJob>| {
            !held.released.is_cancelled() && !held.state.borrow().is_finished()
        };
        held_jobs.values().filter(is_open).cloned().collect()
    }

    /// Records a reported status unless a later revision is known.
    pub fn on_status(&self, status: JobStatus) {
        let mut directory = self.directory.borrow_mut();
        let current = directory.get(&status.job);
        if current.is_none_or(|current| current.revision <= status.revision) {
            directory.insert(status.job.clone(), status);
        }
    }

    /// Wakes the scheduler of items.
    pub fn wake(&self) {
        self.work.notify_one();
    }

    /// The job if it is in memory.
    pub fn held_job(&self, job: &str) -> Option<Rc<HeldJob>> {
        self.held.borrow().get(job).cloned()
    }

    /// Workspace of a job that is known here; `None` for an unknown job.
    pub fn known_owner(&self, job: &str) -> Option<Option<WorkspaceId>> {
        if let Some(held) = self.held_job(job) {
            return Some(held.state.borrow().job().workspace.clone());
        }
        self.directory.borrow().get(job).map(|status| status.workspace.clone())
    }

    /// Handles a job that is pending at another instance; a lifetime of zero ends that.
    pub fn on_pending(&self, pending: Submission, lifetime: Duration, now: Instant) {
        let mut all = self.pending.borrow_mut();
        all.remove_expired(now);
        if lifetime.is_zero() {
            all.remove_expiring(&pending.job);
        } else {
            all.insert(pending, Some(now + lifetime));
        }
    }

    /// Tokens of a workspace's unfinished items on a route over all instances, and of the jobs that
    /// may be stored, without those of the job `except`.
    pub fn waiting_tokens(
        &self,
        node: &Node,
        route: &str,
        workspace: Option<&str>,
        except: &str,
    ) -> u64 {
        let held_jobs = self.held.borrow();
        let held = held_jobs.values().filter(|held| !held.is_read_only);
        let local: u64 = held
            .map(|held| held.state.borrow())
            .filter(|state| state.job().workspace.as_deref() == workspace)
            .filter(|state| route_of(node, state.job()).is_some_and(|found| found.name == route))
            .map(|state| state.waiting_tokens())
            .sum();
        let config = node.config();
        let is_route = |reported: &str| may_be_route(config.as_deref(), reported, route);
        let directory = self.directory.borrow();
        let others = directory.values().filter(|status| {
            is_route(&status.route)
                && status.workspace.as_deref() == workspace
                && !status.is_finished
                && !held_jobs.contains_key(&status.job)
        });
        let others = others.map(|status| status.waiting_tokens).fold(0, u64::saturating_add);
        let is_unknown = |job: &str| {
            job != except && !held_jobs.contains_key(job) && !directory.contains_key(job)
        };
        let pending = self.pending.borrow();
        let pending = pending.tokens(is_route, workspace, is_unknown, clock::now());
        local.saturating_add(others).saturating_add(pending)
    }
}

/// Whether a job reported to be on the route `reported` counts on `route`. One that the configuration
/// doesn't name any more may have been renamed, until the holder reports the new name.
fn may_be_route(config: Option<&Config>, reported: &str, route: &str) -> bool {
    let is_named = |config: &Config| config.table.routes.iter().any(|it| it.name == reported);
    reported == route || (!reported.is_empty() && !config.is_some_and(is_named))
}

/// Handles a reported status. If another instance claims a later revision of a job held
/// here, the holder is verified on the platform; so is a job that others take for held here.
pub fn on_status(node: &Rc<Node>, status: JobStatus) {
    let is_mine = status.holder.instance == node.id();
    match node.jobs.held_job(&status.job) {
        Some(held) if !held.is_read_only && !is_mine && status.revision > held.revision.get() => {
            let node = node.clone();
            spawn_local(async move { job_writer::verify(&node, &held).await });
        }
        None if is_mine && !status.is_finished && !node.is_stopping() => {
            slog::info!(node.log, "unknown job reported as held here"; "job" => &status.job);
            takeover::on_request(node, status.job.clone(), Handoff::default());
        }
        _ => {}
    }
    node.jobs.on_status(status);
}

/// Batch route of a job in the current configuration; `None` if there is none any more.
pub fn route_of(node: &Node, job: &Job) -> Option<Route> {
    node.config()?.table.batch_route_for(&job.host, &job.path, &job.route).cloned()
}

/// Follows changes of a job's route. The others learn of its name, by which they count tokens. Once it
/// was removed, the waiting items fail; those that run may complete.
pub(super) fn check_route(node: &Rc<Node>, held: &HeldJob, now: Instant) {
    let Some(config) = node.config() else {
        return;
    };
    let job = held.state.borrow().job().clone();
    let route = route_of(node, &job);
    if let Some(route) = &route {
        held.state.borrow_mut().set_max_attempts(route.max_attempts);
        if *held.announced_route.borrow() != route.name {
            announce(node, held);
        }
    }
    if !held.route.borrow_mut().is_removed(config.table.version, route.is_some(), now) {
        return;
    }
    let mut state = held.state.borrow_mut();
    let before = state.unwritten();
    state.on_route_removed();
    let failed = state.unwritten() - before;
    drop(state);
    if failed > 0 {
        slog::info!(node.log, "route of a job removed"; "job" => &job.id, "host" => &job.host,
            "path" => &job.path, "failed" => failed, "accepted_at" => job.config,
            "config" => config.table.version);
        held.mark_dirty();
    }
}

/// Loads a job into memory and starts it unless it is finished. One that is held already stays as
/// it is.
pub fn hold(node: &Rc<Node>, stored_job: StoredJob) -> Rc<HeldJob> {
    let id = stored_job.job.id.clone();
    let is_active = |held: &Rc<HeldJob>| !held.is_read_only && !held.released.is_cancelled();
    if let Some(held) = node.jobs.held_job(&id).filter(is_active) {
        return held;
    }
    // While there is no route, no number of failures ends an item.
    let attempts = route_of(node, &stored_job.job).map_or(u32::MAX, |route| route.max_attempts);
    let held = Rc::new(HeldJob::new(stored_job, attempts, clock::now()));
    node.jobs.held.borrow_mut().insert(id, held.clone());
    if !held.is_read_only {
        spawn_local(job_writer::write_loop(node.clone(), held.clone()));
        announce(node, &held);
        node.jobs.wake();
    }
    held
}

/// Drops a job that this instance no longer holds and stops its runs. One that it has taken up again
/// meanwhile stays.
pub fn release(node: &Node, held: &Rc<HeldJob>) {
    held.released.cancel();
    let id = held.state.borrow().job().id.clone();
    let is_current = node.jobs.held_job(&id).is_some_and(|current| Rc::ptr_eq(&current, held));
    if is_current {
        node.jobs.held.borrow_mut().remove(&id);
    }
    held.changed.notify_waiters();
}

fn status(node: &Node, held: &HeldJob) -> JobStatus {
    let state = held.state.borrow();
    JobStatus {
        data_centre: node.data_centre().clone(),
        waiting_tokens: state.waiting_tokens(),
        is_finished: state.is_finished(),
        ..open_status(node, state.job(), node.as_holder(), held.revision.get())
    }
}

/// Status of an open job as stored, none of whose items is known to be done.
pub(super) fn open_status(node: &Node, job: &Job, holder: Holder, revision: u64) -> JobStatus {
    JobStatus {
        job: job.id.clone(),
        holder,
        data_centre: DataCentreId::new(),
        revision,
        route: route_of(node, job).map_or_else(String::new, |route| route.name),
        workspace: job.workspace.clone(),
        residency: job.residency.clone(),
        waiting_tokens: job.tokens(),
        is_finished: false,
    }
}

/// Broadcasts a job's status, batched with others.
pub fn announce(node: &Rc<Node>, held: &HeldJob) {
    let status = status(node, held);
    held.announced_route.replace(status.route.clone());
    let is_first = {
        let mut outbox = node.jobs.outbox.borrow_mut();
        outbox.insert(status.job.clone(), status);
        outbox.len() == 1
    };
    if !is_first {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(STATUS_BATCH_WINDOW).await;
        let statuses = std::mem::take(&mut *node.jobs.outbox.borrow_mut());
        broadcast::send(&node, Update::Statuses(statuses.into_values().collect()));
    });
}

/// Reports a new job to two other instances before its submission is acknowledged, so that
/// its loss is noticed at once if this instance crashes. If neither replies, such a job is
/// only found by the next scan of all jobs.
pub async fn notify_witnesses(node: &Rc<Node>, held: &HeldJob) {
    let now = clock::now();
    let mut members = node.others();
    members.retain(|member| !node.is_unresponsive(member.peer, now));
    // One in another data centre and one in this one, where available.
    let is_local = |member: &Member| member.data_centre == *node.data_centre();
    let id = held.state.borrow().job().id.clone();
    members.sort_by_key(|member| hash::weight(id.as_bytes(), member.id));
    let witnesses = [
        members.iter().find(|member| !is_local(member)),
        members.iter().find(|member| is_local(member)),
    ];
    let request = PeerRequest::Statuses(vec![status(node, held)]);
    let notify = |witness: Option<&Member>| {
        let (node, request) = (node.clone(), request.clone());
        let address = witness.map(|member| member.peer);
        async move {
            match address {
                Some(address) => node.request(address, &request, WITNESS_TIMEOUT).await.is_ok(),
                None => false,
            }
        }
    };
    let (remote, local) = tokio::join!(notify(witnesses[0]), notify(witnesses[1]));
    if !remote && !local {
        slog::info!(node.log, "no witness acknowledged the job"; "job" => id,
            "members" => members.len());
    }
}

/// Statuses that another instance requests.
pub fn statuses_for(node: &Node, filter: &JobFilter) -> Vec<JobStatus> {
    let mut statuses = all_statuses(node);
    if let JobFilter::Open(ids) = filter {
        let ids: HashSet<&JobId> = ids.iter().collect();
        statuses.retain(|status| !status.is_finished || ids.contains(&status.job));
    }
    statuses
}

/// Statuses of all jobs known here.
fn all_statuses(node: &Node) -> Vec<JobStatus> {
    let held_jobs = node.jobs.held.borrow();
    let own = held_jobs.values().filter(|held| !held.is_read_only).map(|held| status(node, held));
    let directory = node.jobs.directory.borrow();
    let others = directory.values().filter(|status| !held_jobs.contains_key(&status.job));
    own.chain(others.cloned()).collect()
}

/// Equal on two instances that know the same open jobs with the same holders.
pub fn digest(node: &Node) -> u64 {
    let weight = |status: &JobStatus| hash::weight(status.job.as_bytes(), status.holder.instance);
    open_statuses(node).iter().map(weight).fold(0, u64::wrapping_add)
}

fn open_statuses(node: &Node) -> Vec<JobStatus> {
    all_statuses(node).into_iter().filter(|status| !status.is_finished).collect()
}

/// Filter for a request to an instance whose open jobs differ. It names the jobs believed
/// open here, since one of them may have finished unnoticed.
pub fn open_jobs_filter(node: &Node) -> JobFilter {
    JobFilter::Open(open_statuses(node).into_iter().map(|status| status.job).collect())
}

/// Fetches statuses from any other instance, retrying until one replies.
pub async fn fetch_statuses(node: &Rc<Node>) {
    loop {
        for member in node.others() {
            if fetch_statuses_from(node, member.peer, JobFilter::All).await {
                return;
            }
        }
        tokio::time::sleep(FETCH_RETRY_DELAY).await;
    }
}

/// Fetches statuses from one instance; `false` if it didn't reply.
pub async fn fetch_statuses_from(node: &Rc<Node>, address: SocketAddr, filter: JobFilter) -> bool {
    let is_open_only = matches!(filter, JobFilter::Open(_));
    let request = PeerRequest::ListJobs(filter);
    let reply = node.request(address, &request, peers::HEARTBEAT_TIMEOUT).await;
    let Ok(PeerReply::Statuses(statuses)) = reply else {
        return false;
    };
    slog::info!(node.log, "job statuses fetched"; "from" => %address, "jobs" => statuses.len(),
        "open_only" => is_open_only);
    statuses.into_iter().for_each(|status| on_status(node, status));
    true
}
