//! Finds a job here, at its holder or on the platform.

use crate::clock;
use crate::gateway::access;
use crate::gateway::call_reason::CallReason;
use crate::gateway::held_job::HeldJob;
use crate::gateway::job_scan;
use crate::gateway::job_store;
use crate::gateway::job_table;
use crate::gateway::message::{JobStatus, PeerReply, PeerRequest};
use crate::gateway::node::Node;
use crate::gateway::stored_job::{LoadError, StoredJob};
use crate::gateway::takeover::{self, MEMBERSHIP_WARM_UP};
use state::progress::{Handoff, Job, Progress};
use std::rc::Rc;
use std::time::Duration;

/// Time for a holder to reply, on top of the time for which it waits for results.
const HOLDER_REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a job read from the platform is served again. Bounded because results returned
/// by one instance must be visible on all others within a second.
const JOB_CACHE_TTL: Duration = Duration::from_millis(700);

/// Where a job was found.
pub(super) enum Location {
    /// Held by this instance.
    Local(Rc<HeldJob>),
    /// The holder's reply.
    Reply(PeerReply),
    /// On the platform; its holder can't be reached.
    Stored(Box<Job>, Box<Progress>),
    NotFound,
    /// Neither the holder nor the platform could be reached.
    Unknown,
}

/// Finds a job here, at its holder or on the platform, unless it belongs to another workspace
/// than the caller.
pub(super) async fn find(
    node: &Rc<Node>,
    id: &str,
    caller: Option<&str>,
    request: impl Fn(String) -> PeerRequest,
    wait: Duration,
) -> Location {
    if let Some(held) = node.jobs.held_job(id) {
        let is_visible = access::may_access(held.state.borrow().job().workspace.as_deref(), caller);
        return if is_visible { Location::Local(held) } else { Location::NotFound };
    }
    let timeout = wait + HOLDER_REPLY_TIMEOUT;
    let status = node.jobs.directory.borrow().get(id).cloned();
    let owner = status.as_ref().and_then(|status| status.workspace.as_deref());
    if !access::may_access(owner, caller) {
        return Location::NotFound;
    }
    // A status without an owner may come from an instance that knows of no workspaces.
    let status = status.filter(|status| status.workspace.is_some() || caller.is_none());
    let mut asked_holder = None;
    if let Some(status) = status {
        if let Some(reply) =
            request_from_holder(node, status.holder.instance, request(id.to_owned()), timeout).await
        {
            return Location::Reply(reply);
        }
        asked_holder = Some(status.holder.instance);
    }
    let stored_job = match load_cached(node, id).await {
        Ok(Some(stored_job)) => stored_job,
        Ok(None) => return Location::NotFound,
        Err(error) => {
            slog::info!(node.log, "job load failed"; "job" => id, "fault" => %error);
            return Location::Unknown;
        }
    };
    if !access::may_access(stored_job.job.workspace.as_deref(), caller) {
        return Location::NotFound;
    }
    let holder = stored_job.holder();
    if !stored_job.is_open() {
        return Location::Local(job_table::hold(node, stored_job));
    }
    let as_stored = |stored_job: StoredJob| {
        Location::Stored(Box::new(stored_job.job), Box::new(stored_job.progress))
    };
    if holder.instance == node.id() && !node.is_stopping() {
        return match takeover::take_over(node, id, Handoff::default()).await {
            Some(held) => Location::Local(held),
            None => as_stored(stored_job),
        };
    }
    if asked_holder != Some(holder.instance) {
        let reply =
            request_from_holder(node, holder.instance, request(id.to_owned()), timeout).await;
        if let Some(reply) = reply {
            return Location::Reply(reply);
        }
    }
    report_if_orphaned(node, &stored_job);
    as_stored(stored_job)
}

/// Reports a job whose holder is gone, unless that is known. Nobody else may look for it: the holder
/// may have accepted it when the others had already looked for the jobs that it left.
fn report_if_orphaned(node: &Rc<Node>, stored_job: &StoredJob) {
    let StoredJob { job, revision, .. } = stored_job;
    let holder = stored_job.holder();
    let is_warmed_up = clock::since(node.started) >= MEMBERSHIP_WARM_UP;
    let reported = node.jobs.directory.borrow().get(&job.id).map(|status| status.holder);
    if reported != Some(holder) && takeover::is_gone(node, holder, is_warmed_up) {
        slog::info!(node.log, "job without a holder was read"; "job" => &job.id);
        let members = node.members.borrow();
        let lost = members.lost(Duration::MAX, clock::now()).find(|it| it.id == holder.instance);
        let data_centre = lost.map(|member| member.data_centre.clone()).unwrap_or_default();
        drop(members);
        let status = job_table::open_status(node, job, holder, *revision);
        job_scan::report_orphans(node, vec![JobStatus { data_centre, ..status }]);
    }
}

/// Whether the platform has a job; `None` if it can't be read now.
pub async fn exists(node: &Node, id: &str) -> Option<bool> {
    match load_cached(node, id).await {
        Ok(stored_job) => Some(stored_job.is_some()),
        Err(error) => {
            slog::info!(node.log, "job load failed"; "job" => id, "fault" => %error);
            None
        }
    }
}

/// Loads a job, serving recent reads from the cache.
async fn load_cached(node: &Node, id: &str) -> Result<Option<StoredJob>, LoadError> {
    let now = clock::now();
    let cached = node.jobs.cache.borrow().get(id).cloned();
    if let Some((_, stored_job)) = cached.filter(|(read, _)| now < *read + JOB_CACHE_TTL) {
        return Ok(Some(stored_job));
    }
    let stored_job = job_store::load(node, CallReason::Lookup, id).await?;
    let mut cache = node.jobs.cache.borrow_mut();
    cache.retain(|_, (read, _)| now < *read + JOB_CACHE_TTL);
    if let Some(stored_job) = &stored_job {
        // Stamped with the time before the call, since the data is no newer than that.
        cache.insert(id.to_owned(), (now, stored_job.clone()));
    }
    Ok(stored_job)
}

/// The holder's reply; `None` if it can't be reached or doesn't hold the job.
async fn request_from_holder(
    node: &Rc<Node>,
    holder: u64,
    request: PeerRequest,
    timeout: Duration,
) -> Option<PeerReply> {
    let address = node.members.borrow().get(holder).map(|member| member.peer)?;
    match node.request(address, &request, timeout).await {
        Ok(PeerReply::NotOwner) => None,
        Ok(reply) => Some(reply),
        Err(error) => {
            slog::info!(node.log, "holder unresponsive"; "holder" => %address, "fault" => ?error);
            None
        }
    }
}
