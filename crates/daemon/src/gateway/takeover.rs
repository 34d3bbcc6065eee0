//! Takeover of jobs whose holder is gone, or at the request of another instance.
//!
//! A takeover is a conditional write, so of two concurrent ones only one succeeds. If the
//! holder was merely partitioned, its items run twice; a data centre that becomes
//! unreachable as a whole is therefore given more time than a single instance.

use super::call_reason::CallReason;
use super::handoff;
use super::held_job::HeldJob;
use super::job_store;
use super::job_table;
use super::job_writer;
use super::message::{JobStatus, PeerReply, PeerRequest};
use super::node::Node;
use super::residency;
use super::stored_job::{LoadError, StoredJob};
use crate::clock;
use coordination::hash;
use coordination::membership::{Member, MemberTable, State};
use platform::job;
use platform::store::{Object, StoreError};
use state::progress::{Handoff, Holder, JobId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks for jobs without a holder.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a holder must be gone before its jobs are taken over. Long enough to see
/// whether the rest of its data centre is unreachable too.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_200);
/// The same if its whole data centre is unreachable; longer than a typical network
/// partition.
const PARTITION_TAKEOVER_DELAY: Duration = Duration::from_secs(8);
/// Delay after a takeover before it is verified, since a concurrent one may have followed.
const VERIFY_DELAY: Duration = Duration::from_millis(700);
/// Uptime after which an unknown holder counts as gone.
pub(super) const MEMBERSHIP_WARM_UP: Duration = Duration::from_secs(3);
/// Attempts to take a job over while others write to it.
const MAX_ATTEMPTS: u32 = 4;
/// Minimum delay after a failed takeover.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Takes over jobs without a holder until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let started_at = clock::now();
    let mut absences: HashMap<JobId, Absence> = HashMap::new();
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let now = clock::now();
        if node.is_stopping() || node.store.is_backing_off(now) {
            continue;
        }
        let is_warmed_up = now >= started_at + MEMBERSHIP_WARM_UP;
        for id in due_jobs(&node, &mut absences, is_warmed_up, now) {
            take_over(&node, &id, Handoff::default()).await;
        }
    }
}

/// Whether this instance is the one that takes a job over: of those in its allowed regions. While
/// there is none, the job waits for one.
fn is_successor(node: &Node, id: &str) -> bool {
    let residency = handoff::known_residency(node, id);
    let members = node.members.borrow();
    let is_allowed = |member: &&Member| residency::allows(node, &residency, &member.data_centre);
    let ids = members.workers().filter(is_allowed).map(|member| member.id);
    hash::owner(id.as_bytes(), ids) == Some(members.me().id)
}

/// Whether a job's holder is gone.
pub(super) fn is_gone(node: &Node, holder: Holder, is_warmed_up: bool) -> bool {
    let members = node.members.borrow();
    if holder.instance == members.me().id {
        return false;
    }
    if members.get(holder.instance).is_some() {
        return false;
    }
    is_replaced(&members, holder) || is_warmed_up || members.is_dead(holder.instance)
}

/// Whether another instance has started at the holder's address.
fn is_replaced(members: &MemberTable, holder: Holder) -> bool {
    let is_other = |member: &Member| member.peer == holder.address && member.id != holder.instance;
    members.workers().any(is_other)
}

/// Since when a job's holder is gone.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Instant,
    /// Whether the holder's whole data centre was unreachable at any time since. If it
    /// comes back, so does the holder shortly after.
    was_unreachable: bool,
}

/// Jobs that this instance should take over now.
fn due_jobs(
    node: &Node,
    absences: &mut HashMap<JobId, Absence>,
    is_warmed_up: bool,
    now: Instant,
) -> Vec<JobId> {
    let directory = node.jobs.directory.borrow();
    let held_jobs = node.jobs.held.borrow();
    let orphans = directory.values().filter(|status| {
        !status.is_finished
            && !held_jobs.contains_key(&status.job)
            && is_gone(node, status.holder, is_warmed_up)
    });
    let orphans: Vec<&JobStatus> = orphans.collect();
    absences.retain(|id, _| orphans.iter().any(|status| status.job == *id));
    let mut due = Vec::new();
    for status in orphans {
        let new = Absence { since: now, was_unreachable: false };
        let absence = absences.entry(status.job.clone()).or_insert(new);
        absence.was_unreachable |= is_unreachable(node, &status.data_centre);
        let delay = match absence.was_unreachable {
            _ if is_replaced(&node.members.borrow(), status.holder) => Duration::ZERO,
            true => PARTITION_TAKEOVER_DELAY,
            false => TAKEOVER_DELAY,
        };
        if now >= absence.since + delay && is_successor(node, &status.job) {
            due.push(status.job.clone());
        }
    }
    due
}

/// Whether a data centre has no reachable member; `false` for an unknown one.
fn is_unreachable(node: &Node, data_centre: &str) -> bool {
    if data_centre.is_empty() {
        return false;
    }
    let members = node.members.borrow();
    let is_reachable =
        |member: &Member| member.data_centre == data_centre && member.state == State::Alive;
    !members.workers().any(is_reachable)
}

/// Handles the request of another instance to take a job over.
///
/// A stopping instance declines, so that the sender asks another one. Otherwise the request is
/// acknowledged at once, since the sender may be about to stop, and a stop waits for the takeover.
pub fn on_request(node: &Rc<Node>, id: JobId, handoff: Handoff) -> PeerReply {
    if node.is_stopping() {
        slog::info!(node.log, "takeover declined"; "job" => id);
        return PeerReply::Stopping;
    }
    let in_flight = node.in_flight.start();
    let node = node.clone();
    spawn_local(async move {
        take_over_with_retry(&node, &id, handoff).await;
        drop(in_flight);
    });
    PeerReply::Acknowledged
}

/// Takes a job over unless it is finished or has a live holder. `None` if that failed or
/// there is no such job.
pub async fn take_over(node: &Rc<Node>, id: &str, handoff: Handoff) -> Option<Rc<HeldJob>> {
    match try_take_over(node, id, &handoff).await {
        Ok(held) => held,
        Err(error) => {
            slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %error);
            None
        }
    }
}

/// Takes a job over at another instance's request, retrying until the platform is
/// available: the other instance considers the job held and won't repeat the request. If this
/// instance stops meanwhile, the job is handed off.
pub async fn take_over_with_retry(node: &Rc<Node>, id: &str, handoff: Handoff) {
    let is_first = {
        let mut pending_takeovers = node.jobs.pending_takeovers.borrow_mut();
        let is_first = !pending_takeovers.contains_key(id);
        pending_takeovers.entry(id.to_owned()).or_default().push(handoff);
        is_first
    };
    if !is_first {
        return; // The takeover in progress merges it.
    }
    while let Err(error) = try_take_over(node, id, &Handoff::default()).await {
        slog::info!(node.log, "job not taken over"; "job" => id, "fault" => %error,
            "again" => !node.is_stopping());
        if node.is_stopping() {
            for handoff in pending_handoffs(node, id) {
                handoff::hand_off_with_retry(node, id, &handoff).await;
            }
            return;
        }
        let delay = node.store.backoff_remaining(clock::now()).max(TAKEOVER_RETRY_DELAY);
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = node.stopping.cancelled() => {}
        }
    }
    for handoff in pending_handoffs(node, id) {
        handoff::forward_handoff(node, id, handoff).await;
    }
}

/// Removes the hand-offs that wait for a job's takeover.
fn pending_handoffs(node: &Node, id: &str) -> Vec<Handoff> {
    node.jobs.pending_takeovers.borrow_mut().remove(id).unwrap_or_default()
}

/// As [`take_over`], with `None` if the job shouldn't be taken over.
///
/// # Errors
///
/// The failed call of the platform.
async fn try_take_over(
    node: &Rc<Node>,
    id: &str,
    handoff: &Handoff,
) -> Result<Option<Rc<HeldJob>>, StoreError> {
    let mut conflict = None;
    for _ in 0..MAX_ATTEMPTS {
        if let Some(held) = node.jobs.held_job(id) {
            handoff::merge_handoff(node, &held, handoff.clone());
            return Ok(Some(held));
        }
        let Some(object) = node.store.get(CallReason::Takeover, job::KIND, id).await? else {
            return Ok(None);
        };
        match claim(node, &object).await {
            Ok(Some(held)) => {
                handoff::merge_handoff(node, &held, handoff.clone());
                return Ok(Some(held));
            }
            Ok(None) => return Ok(None),
            Err(error @ StoreError::Conflict(_)) => conflict = Some(error),
            Err(error) => return Err(error),
        }
    }
    conflict.map_or(Ok(None), Err)
}

/// Writes this instance to the platform as the holder. `None` if another instance is, or if
/// the job can't be decoded.
async fn claim(node: &Rc<Node>, object: &Object) -> Result<Option<Rc<HeldJob>>, StoreError> {
    let mut stored_job = match job_store::read(node, CallReason::Takeover, object).await {
        Ok(stored_job) => stored_job,
        Err(LoadError::Store(error)) => return Err(error),
        Err(error @ LoadError::Malformed(_)) => {
            slog::warn!(node.log, "job load failed"; "job" => &object.name, "fault" => %error);
            return Ok(None);
        }
    };
    let previous_holder = stored_job.holder();
    if !stored_job.is_open() || previous_holder.instance == node.id() {
        return Ok(Some(job_table::hold(node, stored_job)));
    }
    let residency = residency::of_job(node, &stored_job.job);
    if !residency::allows(node, &residency, node.data_centre()) {
        slog::info!(node.log, "job left to its regions"; "job" => &object.name);
        return Ok(None);
    }
    if let Some(holder) = live_holder(node, previous_holder) {
        // Another instance was faster. It is notified in case it doesn't know that it holds
        // the job, and recorded as the holder.
        slog::info!(node.log, "job has a live holder"; "job" => &object.name,
            "holder" => %holder.peer);
        spawn_local(notify_holder(node.clone(), object.name.clone(), holder.peer));
        let job = &stored_job.job;
        node.jobs.on_status(JobStatus {
            data_centre: holder.data_centre,
            ..job_table::open_status(node, job, previous_holder, object.revision)
        });
        return Ok(None);
    }
    stored_job.progress.holder = Some(node.as_holder());
    let StoredJob { progress, overflow, revision, .. } = &stored_job;
    let written =
        job_store::write(node, CallReason::Takeover, &object.name, *revision, progress, overflow)
            .await;
    let (written, overflow) = written?;
    if let Some(held) = node.jobs.held_job(&object.name) {
        return Ok(Some(held));
    }
    slog::info!(node.log, "job taken over"; "job" => &object.name,
        "from" => format!("{:x}", previous_holder.instance), "revision" => written.revision,
        "results" => progress.outcomes.len(), "items" => stored_job.job.items.len());
    let held =
        job_table::hold(node, StoredJob { overflow, revision: written.revision, ..stored_job });
    let (node, taken) = (node.clone(), held.clone());
    spawn_local(async move {
        tokio::time::sleep(VERIFY_DELAY).await;
        if !taken.released.is_cancelled() {
            job_writer::verify(&node, &taken).await;
        }
    });
    Ok(Some(held))
}

/// Notifies a live holder of its job, retrying because no other instance will.
async fn notify_holder(node: Rc<Node>, id: JobId, holder: SocketAddr) {
    let request = PeerRequest::TakeOver(id.clone(), Handoff::default());
    if !node.deliver(|| holder, &request).await {
        slog::info!(node.log, "holder not notified of its job"; "job" => id, "holder" => %holder);
    }
}

/// The member that holds a job, unless it is gone or stopping.
fn live_holder(node: &Node, holder: Holder) -> Option<Member> {
    let members = node.members.borrow();
    let mut found = members.workers().filter(|member| member.id == holder.instance);
    found.next().cloned()
}
