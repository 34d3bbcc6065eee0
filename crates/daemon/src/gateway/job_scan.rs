//! Scans all jobs on the platform for jobs without a holder, and deletes expired ones.
//!
//! Runs after a start and after the loss of a member, since nobody else may know of the
//! jobs that a lost instance accepted last. A few instances share the range of jobs.
//! Findings are reported page by page, because a page takes long on a slow link.

use super::broadcast;
use super::call_reason::CallReason;
use super::held_job::HeldJob;
use super::job_store;
use super::job_table;
use super::message::{JobStatus, PeerRequest, Update};
use super::node::{Node, unix_millis};
use super::stored_job::{JobSummary, Overflow};
use super::takeover::{self, MEMBERSHIP_WARM_UP};
use crate::clock;
use coordination::membership::State;
use coordination::range_scan::{Range, Schedule, View, assigned_range};
use platform::job;
use platform::store::Object;
use state::progress::{Handoff, Job};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Interval between checks whether a scan is due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Retentions after which finished jobs of holders that are gone are deleted; their clocks may have
/// differed.
const FOREIGN_RETENTION: u32 = 2;
/// One in this many instances scans. More of them cost more calls; fewer take longer, as
/// a page of 1 MB takes some 300 ms on the slowest links.
const INSTANCES_PER_SCANNER: usize = 8;

/// Runs scans until `stop`.
pub async fn run(node: Rc<Node>, stop: CancellationToken) {
    let started_at = clock::now();
    let mut schedule = Schedule::new(started_at);
    loop {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let now = clock::now();
        if node.is_stopping() || node.store.is_backing_off(now) || node.config().is_none() {
            continue;
        }
        let view = view(&node);
        if !schedule.is_due(view, now) {
            continue;
        }
        let is_warmed_up = now >= started_at + MEMBERSHIP_WARM_UP;
        let is_complete = match view.range {
            Some(range) => scan(&node, range, is_warmed_up).await,
            None => is_warmed_up,
        };
        schedule.on_scan(view.range, is_complete, clock::now());
        expire(&node);
    }
}

fn view(node: &Node) -> View {
    let members = node.members.borrow();
    let ids = members.workers().map(|member| member.id);
    View {
        losses: members.losses(),
        version: members.version(),
        range: assigned_range(members.me().id, ids, INSTANCES_PER_SCANNER),
    }
}

/// Scans a range of the jobs; `false` if it must be repeated.
async fn scan(node: &Rc<Node>, range: Range, is_warmed_up: bool) -> bool {
    let mut after = range.after.map(str::to_owned);
    let mut is_done = true;
    let (mut jobs, mut orphans, mut unreported) = (0, 0, 0);
    loop {
        let page = match node.store.list(CallReason::Scan, job::KIND, after.as_deref()).await {
            Ok(page) => page,
            Err(error) => {
                slog::info!(node.log, "job list failed"; "fault" => %error);
                return false;
            }
        };
        let is_last = !page.has_more
            || !page.last_name.as_ref().is_some_and(|last| range.is_before_end(last));
        after.clone_from(&page.last_name);
        let mut page_orphans: Vec<JobStatus> = Vec::new();
        let mut page_unreported: HashMap<SocketAddr, Vec<JobStatus>> = HashMap::new();
        for object in page.objects.iter().filter(|object| range.is_before_end(&object.name)) {
            jobs += 1;
            match classify(node, object, is_warmed_up) {
                ScanResult::Orphan(status) => page_orphans.push(*status),
                ScanResult::Unreported(holder, status) => {
                    unreported += 1;
                    page_unreported.entry(holder).or_default().push(*status);
                }
                ScanResult::Own => {
                    is_done &=
                        takeover::take_over(node, &object.name, Handoff::default()).await.is_some();
                }
                // If the hand-off fails, the job has no holder soon.
                ScanResult::Leaving => is_done = false,
                ScanResult::Expired(overflow) => {
                    job_store::delete(node, &object.name, object.revision, &overflow).await;
                }
                ScanResult::Nothing => {}
            }
        }
        orphans += page_orphans.len();
        report_orphans(node, page_orphans);
        for (holder, statuses) in page_unreported {
            node.notify(holder, PeerRequest::Statuses(statuses));
        }
        if is_last {
            break;
        }
    }
    slog::info!(node.log, "job scan finished"; "jobs" => jobs, "without_holder" => orphans,
        "unreported" => unreported,
        "after" => range.after, "before" => range.before, "acquainted" => is_warmed_up);
    // Before the warm-up ends, unknown holders may still appear.
    is_done && is_warmed_up
}

/// What a scanned job needs.
enum ScanResult {
    Nothing,
    /// Held by this instance, which doesn't know it.
    Own,
    /// The holder is stopping.
    Leaving,
    /// The holder is gone.
    Orphan(Box<JobStatus>),
    /// Finished, past its retention, and its holder, which would delete it, is gone.
    Expired(Overflow),
    /// The holder, a member, hasn't reported the job and may not know it.
    Unreported(SocketAddr, Box<JobStatus>),
}

fn classify(node: &Node, object: &Object, is_warmed_up: bool) -> ScanResult {
    let Ok(summary) = job_store::summary(object) else {
        slog::error!(node.log, "malformed job object"; "job" => &object.name,
            "revision" => object.revision);
        return ScanResult::Nothing;
    };
    let JobSummary { holder, is_open, job, overflow, tokens } = summary;
    if !is_open
        && age(&job) > FOREIGN_RETENTION * node.settings.retention
        && takeover::is_gone(node, holder, is_warmed_up)
    {
        return ScanResult::Expired(overflow);
    }
    if !is_open || node.jobs.held_job(&object.name).is_some() {
        return ScanResult::Nothing;
    }
    if holder.instance == node.id() {
        return ScanResult::Own;
    }
    let status = Box::new(JobStatus {
        waiting_tokens: tokens,
        ..job_table::open_status(node, &job, holder, object.revision)
    });
    if takeover::is_gone(node, holder, is_warmed_up) {
        return ScanResult::Orphan(status);
    }
    let is_reported = node.jobs.directory.borrow().contains_key(&object.name);
    match node.members.borrow().get(holder.instance) {
        Some(member) if member.state == State::Leaving => ScanResult::Leaving,
        Some(member) if !is_reported => ScanResult::Unreported(member.peer, status),
        _ => ScanResult::Nothing,
    }
}

/// Reports orphaned jobs to all instances; each is taken over by the instance chosen for
/// it.
pub(super) fn report_orphans(node: &Rc<Node>, orphans: Vec<JobStatus>) {
    if orphans.is_empty() {
        return;
    }
    orphans.iter().for_each(|status| node.jobs.on_status(status.clone()));
    broadcast::send(node, Update::Statuses(orphans));
}

/// Time since a job was accepted.
fn age(job: &Job) -> Duration {
    Duration::from_millis(unix_millis().saturating_sub(job.accepted))
}

/// Deletes finished jobs past their retention from memory and from the platform.
fn expire(node: &Rc<Node>) {
    let held_jobs: Vec<Rc<HeldJob>> = node.jobs.held.borrow().values().cloned().collect();
    for held in held_jobs {
        let (id, is_expired) = {
            let state = held.state.borrow();
            let is_expired = state.is_finished() && age(state.job()) > node.settings.retention;
            (state.job().id.clone(), is_expired)
        };
        if !is_expired {
            continue;
        }
        let is_own = held.state.borrow().holder().instance == node.id();
        node.jobs.held.borrow_mut().remove(&id);
        node.jobs.directory.borrow_mut().remove(&id);
        if is_own {
            let node = node.clone();
            spawn_local(async move {
                let overflow = held.overflow.borrow().clone();
                job_store::delete(&node, &id, held.revision.get(), &overflow).await;
            });
        }
    }
}
